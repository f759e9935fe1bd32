/* The event loop of a process: one thread, one libuv loop, and the state that
   all HTTP clients share.

   An iteration of the loop runs callbacks in phases (timers, descriptors,
   closed handles).  Deferred calls run before and after the loop polls for
   events, i.e. at the end of a phase.  They are used for work that must not
   happen inside the caller's call, and for work that is done once for many
   calls of a phase.  */

#ifndef GP_TRANSPORT_LOOP_H
#define GP_TRANSPORT_LOOP_H

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>
#include <uv.h>

#include "base/list.h"
#include "base/time.h"

typedef struct gp_loop gp_loop_t;
typedef struct gp_timer gp_timer_t;
typedef struct gp_deferred gp_deferred_t;
typedef struct gp_closer gp_closer_t;

typedef void (*gp_timer_cb_t) (gp_timer_t *timer, void *data);

/* A call deferred to the end of the current phase.  Allocated by the
   caller.  */
struct gp_deferred
{
  gp_list_t link;
  void (*cb) (gp_deferred_t *deferred);
};

/* A cleanup handler for a transport object that its owner may not have closed.
   gp_loop_finish calls the handlers in reverse order of registration: CLOSE
   closes the object's handles; DISPOSE, which may be NULL, frees the object
   once all handles are closed.  */
struct gp_closer
{
  gp_list_t link;
  void (*close) (gp_closer_t *closer);
  void (*dispose) (gp_closer_t *closer);
};

struct gp_loop
{
  uv_loop_t uv;
  h2o_http1client_ctx_t http_client;
  h2o_timeout_t http_client_timeout;
  uv_signal_t sigterm;
  uv_signal_t sigint;
  uv_signal_t sighup;
  uv_prepare_t before_wait;
  uv_check_t after_wait;
  gp_list_t deferred;
  gp_list_t closers;
  gp_time_t now;
  uint64_t now_uv;    /* uv_now when NOW was read, 0: NOW is stale */
  void *read_buffer;  /* of GP_LOOP_BUFFER_SIZE, shared by all peers */
  void *plain_buffer; /* likewise, for decrypted bytes */
  void (*on_stop) (void *data);
  void *stop_data;
  void (*on_reload) (void *data);
  void *reload_data;
};

#define GP_LOOP_BUFFER_SIZE ((size_t)64 * 1024)

/* A one-shot timer, allocated by the caller.  To repeat it, arm it again from
   its callback.  */
struct gp_timer
{
  uv_timer_t uv;
  gp_loop_t *loop;
  gp_time_t deadline;
  gp_time_t uv_deadline; /* deadline for which the libuv timer was started */
  gp_timer_cb_t cb;
  void *data;
};

/* Initialize LOOP.  Large h2o buffers are kept in memory, because there is no
   disk.  */
bool gp_loop_init (gp_loop_t *loop, GError **error);

/* Run until gp_loop_stop is called.  */
void gp_loop_run (gp_loop_t *loop);
void gp_loop_stop (gp_loop_t *loop);

/* Close all remaining objects and free what gp_loop_init allocated.  */
void gp_loop_finish (gp_loop_t *loop);

/* Call ON_STOP for SIGTERM and SIGINT.  SIGPIPE is ignored.  */
void gp_loop_on_signal (gp_loop_t *loop, void (*on_stop) (void *data),
                        void *data);

/* Call ON_RELOAD for SIGHUP, which otherwise terminates the process.  */
void gp_loop_on_reload (gp_loop_t *loop, void (*on_reload) (void *data),
                        void *data);

/* Scheduling runs DEFERRED once at the end of the current phase.  Scheduling
   it twice, or cancelling it when it is not scheduled, has no effect.  */
void gp_deferred_init (gp_deferred_t *deferred,
                       void (*cb) (gp_deferred_t *deferred));
void gp_deferred_schedule (gp_deferred_t *deferred, gp_loop_t *loop);
void gp_deferred_cancel (gp_deferred_t *deferred);

void gp_closer_add (gp_closer_t *closer, gp_loop_t *loop,
                    void (*close) (gp_closer_t *closer),
                    void (*dispose) (gp_closer_t *closer));
void gp_closer_remove (gp_closer_t *closer);

/* Return the time of the current loop iteration; cached, so that the clock is
   read rarely.  */
gp_time_t gp_loop_now (gp_loop_t *loop);

void gp_timer_init (gp_timer_t *timer, gp_loop_t *loop, gp_timer_cb_t cb,
                    void *data);

/* Fire at DEADLINE, which replaces any previous deadline.  */
void gp_timer_arm (gp_timer_t *timer, gp_time_t deadline);
void gp_timer_disarm (gp_timer_t *timer);

/* Disarm and close; the memory may be reused after the next loop
   iteration.  */
void gp_timer_finish (gp_timer_t *timer);

#endif

/* The event loop of a process: one thread, one libuv loop, and what all HTTP
   clients share.

   A turn of the loop runs its callbacks in phases (timers, descriptors,
   closed handles).  At the end of a phase, before the loop waits, it runs
   the deferred calls: what must not happen inside a caller's call, and what
   is done once for many calls of a phase.  */

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

/* A call put off to the end of this phase, on memory of the caller.  */
struct gp_deferred
{
  gp_list_t link;
  void (*cb) (gp_deferred_t *deferred);
};

/* Something of the transport that gp_loop_finish closes when its owner has
   not, the latest first: CLOSE lets go of its handles; DISPOSE, which may be
   NULL, frees it once the loop has none left.  */
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
  uint64_t now_uv;    /* uv_now when NOW was read, 0: to be read again */
  void *read_buffer;  /* shared by all peers, see GP_LOOP_BUFFER_SIZE */
  void *plain_buffer; /* the same after decryption */
  void (*on_stop) (void *data);
  void *stop_data;
  void (*on_reload) (void *data);
  void *reload_data;
};

#define GP_LOOP_BUFFER_SIZE ((size_t)64 * 1024)

/* A one-shot timer on memory of the caller; armed again from its callback
   when it is to repeat.  */
struct gp_timer
{
  uv_timer_t uv;
  gp_loop_t *loop;
  gp_time_t deadline;
  gp_time_t wakes_at; /* deadline for which libuv's timer was started */
  gp_timer_cb_t cb;
  void *data;
};

/* Prepare LOOP.  Large h2o buffers are kept in memory: there is no disk.  */
bool gp_loop_init (gp_loop_t *loop, GError **error);

/* Run until gp_loop_stop.  */
void gp_loop_run (gp_loop_t *loop);
void gp_loop_stop (gp_loop_t *loop);

/* Close what is left and free what gp_loop_init took.  */
void gp_loop_finish (gp_loop_t *loop);

/* Call ON_STOP for SIGTERM and SIGINT.  SIGPIPE is ignored.  */
void gp_loop_on_signal (gp_loop_t *loop, void (*on_stop) (void *data),
                        void *data);

/* Call ON_RELOAD for SIGHUP, which ends the process otherwise.  */
void gp_loop_on_reload (gp_loop_t *loop, void (*on_reload) (void *data),
                        void *data);

/* Run DEFERRED once at the end of this phase; harmless when it is already
   scheduled or not scheduled.  */
void gp_deferred_init (gp_deferred_t *deferred,
                       void (*cb) (gp_deferred_t *deferred));
void gp_deferred_schedule (gp_deferred_t *deferred, gp_loop_t *loop);
void gp_deferred_cancel (gp_deferred_t *deferred);

void gp_closer_add (gp_closer_t *closer, gp_loop_t *loop,
                    void (*close) (gp_closer_t *closer),
                    void (*dispose) (gp_closer_t *closer));
void gp_closer_remove (gp_closer_t *closer);

/* The time of this turn of the loop, refreshed once a turn.  */
gp_time_t gp_loop_now (gp_loop_t *loop);

void gp_timer_init (gp_timer_t *timer, gp_loop_t *loop, gp_timer_cb_t cb,
                    void *data);

/* Fire at DEADLINE, replacing an earlier one.  */
void gp_timer_arm (gp_timer_t *timer, gp_time_t deadline);
void gp_timer_disarm (gp_timer_t *timer);

/* Disarm and close; the memory may be reused after the next turn.  */
void gp_timer_finish (gp_timer_t *timer);

#endif

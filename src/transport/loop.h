/* The event loop of a process: one thread, one libuv loop, and the h2o
   context that HTTP servers and clients share.  */

#ifndef GP_TRANSPORT_LOOP_H
#define GP_TRANSPORT_LOOP_H

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>
#include <uv.h>

#include "base/time.h"

typedef struct gp_loop gp_loop_t;
typedef struct gp_timer gp_timer_t;

typedef void (*gp_timer_cb_t) (gp_timer_t *timer, void *data);

struct gp_loop
{
  uv_loop_t uv;
  h2o_globalconf_t h2o_config;
  h2o_context_t h2o;
  uv_signal_t sigterm;
  uv_signal_t sigint;
  void (*on_stop) (void *data);
  void *stop_data;
};

/* A one-shot timer on memory of the caller; armed again from its callback
   when it is to repeat.  */
struct gp_timer
{
  uv_timer_t uv;
  gp_loop_t *loop;
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

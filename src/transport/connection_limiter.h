/* Applies a connection budget (transport/connection_budget.h) to the
   connections of the servers that share it: closes and resumes them, counts
   and logs.  */

#ifndef GP_TRANSPORT_CONNECTION_LIMITER_H
#define GP_TRANSPORT_CONNECTION_LIMITER_H

#include "base/counters.h"
#include "base/log_sampler.h"
#include "transport/connection_budget.h"
#include "transport/loop.h"

typedef struct gp_limited_connection gp_limited_connection_t;

/* Gauges of one budget, static like all counters.  */
typedef struct
{
  const char *group; /* whose connections, in the log */
  gp_counter_t connections;
  gp_counter_t bytes;
  gp_counter_t max_connections;
  gp_counter_t max_bytes;
} gp_connection_gauges_t;

typedef struct
{
  gp_loop_t *loop;
  gp_connection_budget_t budget;
  gp_connection_gauges_t *gauges;
  gp_deferred_t check;          /* closes and resumes connections */
  gp_timer_t timer;             /* the same, later */
  gp_log_sampler_t log_sampler; /* by cause */
  bool crowded; /* since it was last at less than a quarter of its limits, it
                   was at more than half */
  bool finished;
} gp_connection_limiter_t;

/* The part of a connection in its limiter, embedded in the connection.  */
struct gp_limited_connection
{
  gp_connection_claim_t claim;
  gp_connection_limiter_t *limiter; /* NULL: it is not limited */
  /* Close the connection now; it either leaves the limiter during the call, or
     soon, and holds its bytes until then.  */
  void (*close) (gp_limited_connection_t *connection);
  /* The connection may read on.  */
  void (*resume) (gp_limited_connection_t *connection);
};

/* GAUGES are static.  */
void gp_connection_limiter_init (gp_connection_limiter_t *limiter,
                                 gp_loop_t *loop,
                                 gp_connection_limits_t limits,
                                 gp_connection_gauges_t *gauges);
/* From now on, connections only leave.  Must be called before
   gp_loop_finish.  */
void gp_connection_limiter_finish (gp_connection_limiter_t *limiter);

/* Returns whether a new connection may be accepted; another one may be closed
   for it.  LIMITER may be NULL.  */
bool gp_connection_limiter_admit (gp_connection_limiter_t *limiter);

/* Adds CONNECTION, whose callbacks are set.  LIMITER may be NULL.  */
void gp_limited_connection_enter (gp_limited_connection_t *connection,
                                  gp_connection_limiter_t *limiter);
/* Has no effect on a connection that has left.  */
void gp_limited_connection_leave (gp_limited_connection_t *connection);

void gp_limited_connection_set_phase (gp_limited_connection_t *connection,
                                      gp_connection_phase_t phase);

/* See gp_connection_budget_refresh.  */
void gp_limited_connection_refresh (gp_limited_connection_t *connection);

/* Returns whether CONNECTION may hold BYTES in all; if not, it has to stop
   reading until it is resumed.  */
bool gp_limited_connection_grow (gp_limited_connection_t *connection,
                                 size_t bytes);

/* CONNECTION holds no more than BYTES.  */
void gp_limited_connection_shrink (gp_limited_connection_t *connection,
                                   size_t bytes);

#endif

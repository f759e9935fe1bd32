/* Admission of requests to one upstream: the guard's decision.

   The module decides which request starts now, which waits, and which is
   refused without having run.  It reads no clock and does no I/O: the caller
   passes NOW (never earlier than before) and after each call takes the
   actions with gp_admission_next_action.

   A request is QUEUED, then STARTED, then DONE; or it is REFUSED, at
   submission or from the queue, and then has not run and never will.  There
   is no way from STARTED to REFUSED.

   The rules of precedence are in admission.c and docs/design/admission.md.
   Requests, teams and kinds are memory of the caller, linked intrusively; no
   call allocates.  */

#ifndef GP_COORDINATION_ADMISSION_H
#define GP_COORDINATION_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"
#include "coordination/request_queue.h"

/* How a started request ended.  */
typedef enum
{
  GP_ADMISSION_ANSWERED, /* its duration tells how long the kind takes */
  GP_ADMISSION_FAILED    /* its duration tells nothing */
} gp_admission_end_t;

typedef struct
{
  uint32_t slots;              /* requests that run at once */
  uint32_t connections;        /* open to the upstream at once */
  uint32_t max_queued;         /* requests that wait at once */
  uint32_t critical_reserve;   /* slots kept from batch, < slots */
  uint32_t batch_share;        /* slots urgent batch is sure of */
  gp_time_t reserve_duration;  /* the reserve holds this long after the last
                                  latency-critical request */
  gp_time_t max_critical_wait; /* duration that a latency-critical request
                                  may be predicted to wait, on top of the
                                  bound by its deadline; 0 for none */
} gp_admission_options_t;

typedef struct
{
  gp_admission_options_t options;
  bool leaving;
  uint32_t running[GP_ADMISSION_CLASSES];
  uint32_t open_connections;
  uint32_t idle_connections;
  gp_time_t reserve_until;
  gp_request_queue_t queue;
  gp_list_t actions;
} gp_admission_t;

/* DECLARED is the duration to expect until one has been measured.  */
void gp_admission_kind_init (gp_admission_kind_t *kind, uint32_t max_running,
                             uint32_t max_queued, gp_time_t declared);

void gp_admission_init (gp_admission_t *admission,
                        const gp_admission_options_t *options);

/* Change the limits.  What runs or waits beyond a lower limit stays, and
   nothing is added until it is kept again.  */
void gp_admission_configure (gp_admission_t *admission,
                             const gp_admission_options_t *options,
                             gp_time_t now);
void gp_admission_set_limits (gp_admission_t *admission,
                              gp_request_quota_t *quota, uint32_t max_running,
                              uint32_t max_queued, gp_time_t now);

/* Decide on REQUEST, whose first five fields are set; it must stay valid
   until it is DONE or REFUSED and its action was taken.  */
void gp_admission_submit (gp_admission_t *admission,
                          gp_admission_request_t *request, gp_time_t now);

/* Give a request up.  True: it was queued and is now REFUSED.  False: it has
   started (gp_admission_finish is still due) or has ended.  */
bool gp_admission_cancel (gp_admission_t *admission,
                          gp_admission_request_t *request, gp_time_t now);

/* A started request has left the upstream.  With KEEP its connection is
   idle; otherwise it counts as open until gp_admission_close_connection.  */
void gp_admission_finish (gp_admission_t *admission,
                          gp_admission_request_t *request,
                          gp_admission_end_t end, bool keep, gp_time_t now);

/* A connection without a request is closed, an IDLE one or one that was not
   kept.  */
void gp_admission_close_connection (gp_admission_t *admission, bool idle,
                                    gp_time_t now);

/* Refuse all that waits and all that comes; what has started may finish.  */
void gp_admission_leave (gp_admission_t *admission, gp_time_t now);

/* Whether nothing runs or waits.  */
bool gp_admission_drained (const gp_admission_t *admission);

/* Do what is due at NOW.  */
void gp_admission_advance (gp_admission_t *admission, gp_time_t now);

/* The next point at which gp_admission_advance has something to do, or
   GP_TIME_NEVER.  */
gp_time_t gp_admission_next_deadline (const gp_admission_t *admission);

/* Take the oldest action: a request that is now STARTED (send it, on an idle
   connection if there is one) or REFUSED (answer it).  NULL: no more.  */
gp_admission_request_t *gp_admission_next_action (gp_admission_t *admission);

#endif

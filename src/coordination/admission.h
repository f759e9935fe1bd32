/* Admission control for requests to one upstream, as the guard applies it.

   The module decides which request starts now, which waits, and which is
   refused without having run.  It reads no clock and does no I/O: the
   caller passes NOW, which must not decrease, and after each call takes
   the resulting actions with gp_admission_next_action.

   A request goes from QUEUED to STARTED to DONE.  It can also become
   REFUSED, at submission or while queued; a refused request has not run
   and never will.  A STARTED request is never refused.

   The scheduling rules are described in admission.c and
   docs/design/admission.md.  Requests, teams and kinds are allocated by
   the caller and linked intrusively; no call allocates memory.  */

#ifndef GP_COORDINATION_ADMISSION_H
#define GP_COORDINATION_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"
#include "coordination/request_queue.h"

/* The end of a started request.  */
typedef enum
{
  GP_ADMISSION_ANSWERED, /* its duration is measured */
  GP_ADMISSION_FAILED    /* its duration is ignored */
} gp_admission_end_t;

typedef struct
{
  uint32_t slots;             /* maximum number of running requests */
  uint32_t connections;       /* maximum number of open upstream connections */
  uint32_t max_queued;        /* maximum queue length */
  uint32_t critical_reserve;  /* slots that batch may not use, < slots */
  uint32_t batch_share;       /* slots guaranteed to urgent batch */
  gp_time_t reserve_duration; /* time for which the reserve stays in effect
                                 after the last latency-critical request */
  gp_time_t max_critical_wait; /* maximum predicted wait of a latency-critical
                                  request, in addition to the bound from its
                                  deadline; 0: no such maximum */
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

/* DECLARED is the estimated duration until one has been measured.  */
void gp_admission_kind_init (gp_admission_kind_t *kind, uint32_t max_running,
                             uint32_t max_queued, gp_time_t declared);

void gp_admission_init (gp_admission_t *admission,
                        const gp_admission_options_t *options);

/* Changes the limits.  Requests already running or queued beyond a lowered
   limit are not affected; no further ones are accepted until usage is
   below the limit.  */
void gp_admission_configure (gp_admission_t *admission,
                             const gp_admission_options_t *options,
                             gp_time_t now);
void gp_admission_set_limits (gp_admission_t *admission,
                              gp_request_quota_t *quota, uint32_t max_running,
                              uint32_t max_queued, gp_time_t now);

/* Decides on REQUEST.  The caller has set its first five fields and keeps
   it valid until it is DONE, or until it is REFUSED and its action has
   been taken.  */
void gp_admission_submit (gp_admission_t *admission,
                          gp_admission_request_t *request, gp_time_t now);

/* Cancels a request.  Returns true if it was queued and is now REFUSED;
   false if it has started, in which case gp_admission_finish must still be
   called, or has ended.  */
bool gp_admission_cancel (gp_admission_t *admission,
                          gp_admission_request_t *request, gp_time_t now);

/* Records that a started request has ended at the upstream.  With KEEP its
   connection becomes idle; otherwise the connection counts as open until
   gp_admission_close_connection is called.  */
void gp_admission_finish (gp_admission_t *admission,
                          gp_admission_request_t *request,
                          gp_admission_end_t end, bool keep, gp_time_t now);

/* Records that a connection without a request was closed: an idle one if
   IDLE is set, otherwise one that was not kept.  */
void gp_admission_close_connection (gp_admission_t *admission, bool idle,
                                    gp_time_t now);

/* Refuses all queued requests and all later ones; started requests may
   finish.  */
void gp_admission_leave (gp_admission_t *admission, gp_time_t now);

/* Returns true if no request is running or queued.  */
bool gp_admission_drained (const gp_admission_t *admission);

/* Expires and starts requests as due at NOW.  */
void gp_admission_advance (gp_admission_t *admission, gp_time_t now);

/* Returns the time at which gp_admission_advance must next be called, or
   GP_TIME_NEVER.  */
gp_time_t gp_admission_next_deadline (const gp_admission_t *admission);

/* Removes and returns the oldest action: a request that is now STARTED (to
   be sent, on an idle connection if there is one) or REFUSED (to be
   answered).  Returns NULL if there is none.  */
gp_admission_request_t *gp_admission_next_action (gp_admission_t *admission);

#endif

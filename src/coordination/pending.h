/* The tasks that wait for a worker, and which of them is next.

   Order: latency-critical, then watchers, then batch.  Within a class the
   team that uses the least part of its quota is served first, and within a
   team the task with the earliest latest start (deadline less learned run
   time).  A task without a deadline gets one by the patience of its class,
   so that nothing waits for ever.

   One pick in GP_PENDING_TURN goes to the watcher or batch task whose latest
   start is nearest, if that is closer than the risk ahead: a flood of
   latency-critical tasks slows the others and never stops them.

   A task that finds no room is deferred with back-off, and those behind it
   go on.  Smaller tasks must not starve it: after some deferrals for lack of
   capacity gp_pending_defer tells the caller to keep a worker for it, and
   after as many for lack of quota its team saves: others of its class and
   lower get only what leaves room for it.

   A demand above the whole quota of its team, or above every worker, would
   be tried for ever; the caller parks it.

   Every operation is logarithmic in the tasks; gp_pending_next also looks at
   each team once.  Tasks are memory of the caller.  */

#ifndef GP_COORDINATION_PENDING_H
#define GP_COORDINATION_PENDING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "coordination/quota.h"
#include "coordination/resources.h"
#include "coordination/task_heap.h"

#define GP_PENDING_TURN 4
#define GP_PENDING_CLASSES 3

typedef enum
{
  GP_PENDING_OUT,     /* not in the queue, or taken from it */
  GP_PENDING_READY,   /* in its team's heap */
  GP_PENDING_DEFERRED /* until a point in time */
} gp_pending_state_t;

/* Why a task is deferred.  */
typedef enum
{
  GP_PENDING_NO_CAPACITY,
  GP_PENDING_NO_QUOTA,
  GP_PENDING_OTHER /* a refusal, harm, a suspected worker */
} gp_pending_cause_t;

typedef struct
{
  gp_task_heap_node_t node;
  gp_quota_charge_t charge; /* team and demand */
  gp_work_class_t work_class;
  gp_pending_state_t state;
  gp_time_t latest_start; /* by which it should run */
  uint16_t deferrals;     /* since it was added */
  uint16_t no_capacity;   /* of them for lack of capacity */
  uint16_t no_quota;      /* of them for lack of quota */
} gp_pending_task_t;

typedef struct
{
  gp_time_t backoff_first;
  gp_time_t backoff_most;
  gp_time_t backoff_urgent; /* at most, for latency-critical tasks */
  uint16_t hold_after;      /* deferrals before room is kept for a task */
  gp_time_t risk_ahead;     /* of a latest start */
  gp_time_t patience[GP_PENDING_CLASSES]; /* urgent, watcher, batch */
} gp_pending_settings_t;

#define GP_PENDING_DEFAULTS                                                   \
  ((gp_pending_settings_t){ .backoff_first = 50 * GP_MSEC,                    \
                            .backoff_most = 2 * GP_SEC,                       \
                            .backoff_urgent = 200 * GP_MSEC,                  \
                            .hold_after = 6,                                  \
                            .risk_ahead = 60 * GP_SEC,                        \
                            .patience                                         \
                            = { GP_SEC, 10 * GP_SEC, GP_SEC * 24 * 3600 } })

typedef struct
{
  gp_pending_settings_t settings;
  GArray *teams;           /* of gp_pending_team_t */
  gp_task_heap_t deferred; /* by the end of the back-off */
  uint32_t ready[GP_PENDING_CLASSES];
  uint32_t picks; /* since the last turn of the others */
  double rate;    /* starts a second while paced, 0: unbounded */
  double burst;
  double tokens;
  gp_time_t refilled;
} gp_pending_t;

void gp_pending_init (gp_pending_t *pending,
                      const gp_pending_settings_t *settings);
void gp_pending_finish (gp_pending_t *pending);

/* Prepare TASK of TEAM; LATEST_START may be GP_TIME_NEVER.  */
void gp_pending_task_init (gp_pending_task_t *task, uint64_t id, uint32_t team,
                           gp_work_class_t work_class,
                           const gp_resources_t *demand,
                           gp_time_t latest_start);

/* Queue TASK, which is out.  */
void gp_pending_add (gp_pending_t *pending, gp_pending_task_t *task,
                     gp_time_t now);

/* Take out TASK wherever it is (cancelled or parked) and release what it had
   proposed; harmless for a task that is out.  */
void gp_pending_remove (gp_pending_t *pending, gp_quota_t *quota,
                        gp_pending_task_t *task);

/* Take the next task that may start at NOW and propose its demand to QUOTA;
   NULL when there is none.  */
gp_pending_task_t *gp_pending_next (gp_pending_t *pending, gp_quota_t *quota,
                                    gp_time_t now);

/* TASK, taken, could not start: queue it again after a back-off and release
   what it had proposed.  Return true when room should now be kept for it.  */
bool gp_pending_defer (gp_pending_t *pending, gp_quota_t *quota,
                       gp_pending_task_t *task, gp_pending_cause_t cause,
                       gp_time_t now);

/* Room has come free: end the back-off of the MOST tasks that would try again
   first.  */
void gp_pending_hurry (gp_pending_t *pending, unsigned int most);

/* When gp_pending_next may have something again: NOW when a task is ready
   and not paced, GP_TIME_NEVER when nothing waits.  */
gp_time_t gp_pending_wake (const gp_pending_t *pending, gp_time_t now);

/* Allow RATE starts a second with a burst of BURST from NOW on, after the
   loss of many workers; BURST is at least 1, and latency-critical tasks may
   borrow another.  RATE 0 ends the pacing.  */
void gp_pending_pace (gp_pending_t *pending, double rate, double burst,
                      gp_time_t now);

/* The tasks that wait, ready and deferred.  */
uint32_t gp_pending_length (const gp_pending_t *pending);

#endif

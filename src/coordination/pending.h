/* Queue of the tasks that wait for a worker.

   Order: latency-critical tasks, then watchers, then batch.  Within a
   class the team that uses the smallest share of its quota is served
   first, and within a team the task with the earliest latest start
   (deadline minus learned run time).  A task without a deadline gets one
   from the DEFAULT_WAIT of its class, so that it cannot wait forever.

   One in GP_PENDING_AT_RISK_INTERVAL picks goes to the watcher or batch task
   with the earliest latest start, if that is no further away than
   RISK_HORIZON. Many latency-critical tasks can therefore slow the other
   classes but not starve them.

   A task that cannot be placed is deferred with backoff, and the tasks
   behind it are tried.  To keep smaller tasks from starving it,
   gp_pending_defer tells the caller to hold a worker for it after a number
   of deferrals for lack of capacity.  After the same number of deferrals
   for lack of quota, its team reserves quota for it: other tasks of the
   team in the same or a lower class are started only if enough quota
   remains for it.

   A demand above the whole quota of its team, or above the capacity of
   every worker, can never be met; the caller parks the task.

   Every operation is logarithmic in the number of tasks; gp_pending_next
   also visits each team once.  Tasks are allocated by the caller.  */

#ifndef GP_COORDINATION_PENDING_H
#define GP_COORDINATION_PENDING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "coordination/quota.h"
#include "coordination/resources.h"
#include "coordination/task_heap.h"

#define GP_PENDING_AT_RISK_INTERVAL 4
#define GP_PENDING_CLASSES 3

typedef enum
{
  GP_PENDING_OUT,     /* not in the queue */
  GP_PENDING_READY,   /* in the heap of its team and class */
  GP_PENDING_DEFERRED /* backing off */
} gp_pending_state_t;

/* Reasons for deferring a task.  */
typedef enum
{
  GP_PENDING_NO_CAPACITY,
  GP_PENDING_NO_QUOTA,
  GP_PENDING_OTHER /* refused, harmful, or the worker was suspected */
} gp_pending_cause_t;

typedef struct
{
  gp_task_heap_node_t node;
  gp_quota_charge_t charge; /* its team and demand */
  gp_work_class_t work_class;
  gp_pending_state_t state;
  gp_time_t latest_start; /* time by which it should start */
  uint16_t deferrals;     /* number since it was added */
  uint16_t no_capacity;   /* deferrals for lack of capacity */
  uint16_t no_quota;      /* deferrals for lack of quota */
} gp_pending_task_t;

typedef struct
{
  gp_time_t backoff_first;
  gp_time_t backoff_max;
  gp_time_t backoff_urgent; /* maximum for latency-critical tasks */
  uint16_t hold_after; /* deferrals before capacity or quota is reserved for a
                          task */
  gp_time_t risk_horizon; /* a latest start closer than this is at risk */
  gp_time_t default_wait[GP_PENDING_CLASSES]; /* until the latest start of a
                                                 task without a deadline, by
                                                 rank of its class */
} gp_pending_settings_t;

#define GP_PENDING_DEFAULTS                                                   \
  ((gp_pending_settings_t){ .backoff_first = 50 * GP_MSEC,                    \
                            .backoff_max = 2 * GP_SEC,                        \
                            .backoff_urgent = 200 * GP_MSEC,                  \
                            .hold_after = 6,                                  \
                            .risk_horizon = 60 * GP_SEC,                      \
                            .default_wait                                     \
                            = { GP_SEC, 10 * GP_SEC, GP_SEC * 24 * 3600 } })

typedef struct
{
  gp_pending_settings_t settings;
  GArray *teams;           /* gp_pending_team_t by team */
  gp_task_heap_t deferred; /* ordered by the end of the backoff */
  uint32_t ready[GP_PENDING_CLASSES];
  uint32_t picks; /* picks since the last one for a task at risk */
  double rate;    /* maximum starts per second; 0 if unlimited */
  double burst;
  double tokens;
  gp_time_t refilled;
} gp_pending_t;

void gp_pending_init (gp_pending_t *pending,
                      const gp_pending_settings_t *settings);
void gp_pending_finish (gp_pending_t *pending);

/* Initializes TASK of TEAM; LATEST_START may be GP_TIME_NEVER.  */
void gp_pending_task_init (gp_pending_task_t *task, uint64_t id, uint32_t team,
                           gp_work_class_t work_class,
                           const gp_resources_t *demand,
                           gp_time_t latest_start);

/* Adds TASK, which is not in the queue.  */
void gp_pending_add (gp_pending_t *pending, gp_pending_task_t *task,
                     gp_time_t now);

/* Removes TASK (cancelled or parked) if it is in the queue, and releases
   its proposed charge, if any.  */
void gp_pending_remove (gp_pending_t *pending, gp_quota_t *quota,
                        gp_pending_task_t *task);

/* Removes and returns the next task that may start at NOW and proposes its
   demand to QUOTA; returns NULL if there is none.  */
gp_pending_task_t *gp_pending_next (gp_pending_t *pending, gp_quota_t *quota,
                                    gp_time_t now);

/* Puts TASK, which was returned by gp_pending_next and could not start,
   back into the queue with a backoff, and releases its proposed charge.
   Returns true if a worker should now be held for it.  */
bool gp_pending_defer (gp_pending_t *pending, gp_quota_t *quota,
                       gp_pending_task_t *task, gp_pending_cause_t cause,
                       gp_time_t now);

/* Capacity was freed: ends the backoff of up to MOST tasks, those whose
   backoff would end first.  */
void gp_pending_end_backoffs (gp_pending_t *pending, unsigned int most);

/* Returns when gp_pending_next may next return a task: NOW if a task is
   ready and the rate limit allows its start, GP_TIME_NEVER if the queue is
   empty.  */
gp_time_t gp_pending_next_wake (const gp_pending_t *pending, gp_time_t now);

/* Limits starts to RATE per second with a burst of BURST from NOW on,
   after the loss of many workers.  BURST is at least 1; latency-critical
   tasks may use a further BURST in advance.  RATE 0 removes the limit.  */
void gp_pending_set_rate (gp_pending_t *pending, double rate, double burst,
                          gp_time_t now);

/* Returns the number of tasks in the queue, ready and deferred.  */
uint32_t gp_pending_length (const gp_pending_t *pending);

#endif

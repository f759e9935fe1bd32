/* Remedies on a worker whose service breaches its latency target.

   The remedies escalate: first, throttle the batch tasks that give the
   most relief for their cost; if none is left to throttle, checkpoint and
   evict the cheapest task; after a long calm period, unthrottle tasks one
   at a time, and only if the predicted latency stays below the target.

   Oscillation is prevented as follows: there is a dead band between the
   aim and a breach; only measurements that began after the last action
   took effect are used; each worker has a cool-down period between
   actions; and each breach soon after an unthrottling doubles the calm
   period required before the next one.  */

#ifndef GP_COORDINATION_REMEDY_H
#define GP_COORDINATION_REMEDY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "coordination/resources.h"

#define GP_REMEDY_TASKS_MAX 4 /* throttled in one decision */

typedef enum
{
  GP_REMEDY_NONE,
  GP_REMEDY_THROTTLE,
  GP_REMEDY_EVICT,
  GP_REMEDY_UNTHROTTLE
} gp_remedy_action_t;

typedef struct
{
  double breach;         /* p99 / target above which there is a breach */
  double aim;            /* target of remedies; a lower ratio is calm */
  unsigned int breaches; /* consecutive breaches before an action */
  gp_time_t calm_time;   /* calm period before a task is unthrottled */
  gp_time_t cool_down;   /* minimum time between two actions on a worker */
  gp_time_t settle;      /* time until the effect of an action is measurable */
  gp_time_t relapse;     /* breaches this soon after an unthrottling */
  gp_time_t restart_cost;   /* time lost by any eviction */
  double throttling_relief; /* fraction of the relief that throttling gives */
  double min_relief;        /* minimum relief of the ratio for an action */
} gp_remedy_settings_t;

#define GP_REMEDY_DEFAULTS                                                    \
  ((gp_remedy_settings_t){ .breach = 1.0,                                     \
                           .aim = 0.9,                                        \
                           .breaches = 2,                                     \
                           .calm_time = 30 * GP_SEC,                          \
                           .cool_down = 10 * GP_SEC,                          \
                           .settle = 2 * GP_SEC,                              \
                           .relapse = 120 * GP_SEC,                           \
                           .restart_cost = 10 * GP_SEC,                       \
                           .throttling_relief = 0.75,                         \
                           .min_relief = 0.01 })

/* A task on the worker.  */
typedef struct
{
  uint64_t task;
  gp_work_class_t work_class;
  bool throttled;
  gp_time_t since_checkpoint; /* run time lost by an eviction */
  gp_time_t laxity;           /* spare time before its deadline */
  double relief;              /* reduction of the ratio if it is evicted */
} gp_remedy_resident_t;

/* State of one worker.  */
typedef struct
{
  gp_time_t acted_at;       /* time of the last action, or 0 */
  gp_time_t unthrottled_at; /* time of the last unthrottling, or 0 */
  gp_time_t calm_since;     /* start of the calm period; 0 if not calm */
  unsigned int breaches;    /* consecutive breaches */
  unsigned int relapses;    /* each doubles the required calm period */
} gp_remedy_t;

/* A measurement of the service from FROM to TO.  */
typedef struct
{
  double ratio; /* p99 / target */
  gp_time_t from;
  gp_time_t to;
} gp_remedy_measurement_t;

typedef struct
{
  gp_remedy_action_t action;
  unsigned int n; /* number of tasks affected */
  uint64_t tasks[GP_REMEDY_TASKS_MAX];
} gp_remedy_decision_t;

void gp_remedy_init (gp_remedy_t *remedy);

/* Updates the state with MEASUREMENT at NOW and decides on the N
   RESIDENTS.  Latency-critical tasks are never affected; watchers are
   never throttled, and evicted only if no batch task can be.  */
gp_remedy_decision_t
gp_remedy_decide (gp_remedy_t *remedy, const gp_remedy_settings_t *settings,
                  const gp_remedy_measurement_t *measurement,
                  const gp_remedy_resident_t *residents, unsigned int n,
                  gp_time_t now);

/* Returns the cost of evicting RESIDENT, in seconds of work.  */
double gp_remedy_eviction_cost (const gp_remedy_settings_t *settings,
                                const gp_remedy_resident_t *resident);

#endif

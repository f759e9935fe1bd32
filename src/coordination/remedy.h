/* What to do on a worker whose service breaches its latency target.

   The ladder is: throttle the batch tasks that give the most relief for
   their cost; when none is left to throttle, checkpoint and evict the
   cheapest; when it has been calm for long, let throttled tasks go again, one
   at a time and only if the prediction stays below the target.

   It does not oscillate: between the aim and a breach lies a dead band; only
   measurements that began after the last action took effect count; each
   worker has a cool-down between actions; and every breach that follows soon
   on an unthrottling doubles the calm that the next one needs.  */

#ifndef GP_COORDINATION_REMEDY_H
#define GP_COORDINATION_REMEDY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "coordination/resources.h"

#define GP_REMEDY_TASKS_MAX 4 /* throttled at once */

typedef enum
{
  GP_REMEDY_NONE,
  GP_REMEDY_THROTTLE,
  GP_REMEDY_EVICT,
  GP_REMEDY_UNTHROTTLE
} gp_remedy_action_t;

typedef struct
{
  double breach;          /* p99 / target above which it is one */
  double aim;             /* remedies go no further; below it is calm */
  unsigned int breaches;  /* in a row, before an action */
  gp_time_t calm_time;    /* before a task is unthrottled */
  gp_time_t cool_down;    /* between two actions on a worker */
  gp_time_t settle;       /* until an action shows */
  gp_time_t relapse;      /* a breach so soon after an unthrottling */
  gp_time_t restart_cost; /* work lost by any eviction */
  double throttled_part;  /* of the relief that throttling gives */
  double least_relief;    /* of the ratio; less is not worth an action */
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
                           .throttled_part = 0.75,                            \
                           .least_relief = 0.01 })

/* A task on the worker, as the caller knows it.  */
typedef struct
{
  uint64_t task;
  gp_work_class_t work_class;
  bool throttled;
  gp_time_t since_checkpoint; /* run time that an eviction loses */
  gp_time_t laxity;           /* time to spare before its deadline */
  double relief;              /* of the ratio, when it is evicted */
} gp_remedy_resident_t;

/* One worker.  */
typedef struct
{
  gp_time_t acted;       /* last action, 0: none */
  gp_time_t unthrottled; /* last unthrottling, 0: none */
  gp_time_t calm_since;  /* 0: not calm */
  unsigned int breaches; /* in a row */
  unsigned int relapses; /* double the calm time */
} gp_remedy_t;

/* A measurement of the service over the time FROM to TO.  */
typedef struct
{
  double ratio; /* p99 / target */
  gp_time_t from;
  gp_time_t to;
} gp_remedy_measurement_t;

typedef struct
{
  gp_remedy_action_t action;
  unsigned int n; /* tasks it is for */
  uint64_t tasks[GP_REMEDY_TASKS_MAX];
} gp_remedy_decision_t;

void gp_remedy_init (gp_remedy_t *remedy);

/* Take in MEASUREMENT at NOW and decide on the N RESIDENTS.  Tasks that are
   latency-critical are never touched, watchers never throttled and evicted
   only after batch.  */
gp_remedy_decision_t
gp_remedy_decide (gp_remedy_t *remedy, const gp_remedy_settings_t *settings,
                  const gp_remedy_measurement_t *measurement,
                  const gp_remedy_resident_t *residents, unsigned int n,
                  gp_time_t now);

/* What evicting RESIDENT costs, in seconds of work.  */
double gp_remedy_eviction_cost (const gp_remedy_settings_t *settings,
                                const gp_remedy_resident_t *resident);

#endif

/* The choice of a worker for one task.

   A bounded number of candidates from the fleet's index are scored, the least
   cost wins, and the answer is a worker with the terms of its cost or a typed
   reason.  The choice itself changes nothing; gp_placement_reserve does.  */

#ifndef GP_COORDINATION_PLACEMENT_H
#define GP_COORDINATION_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/fleet.h"
#include "coordination/interference.h"
#include "coordination/spread.h"

#define GP_PLACEMENT_CANDIDATES 32 /* scored in one decision */
#define GP_PLACEMENT_AVOIDED_MAX 8
#define GP_PLACEMENT_ALL_ZONES UINT64_MAX

typedef enum
{
  GP_PLACEMENT_CHOSEN,
  GP_PLACEMENT_NO_CAPACITY_NOW, /* some worker could, none has room */
  GP_PLACEMENT_NEVER_FITS,      /* larger than every worker */
  GP_PLACEMENT_ZONE_CLOSED,     /* than all but those of zones that are not
                                   allowed */
  GP_PLACEMENT_AVOIDED,         /* only workers to be avoided have room */
  GP_PLACEMENT_HARMFUL,         /* every candidate would breach a target */
  GP_PLACEMENT_QUOTA,           /* the team's quota is used up */
  GP_PLACEMENT_PARKED           /* it failed on too many workers */
} gp_placement_outcome_t;

/* The name of OUTCOME for people, in lower case with dashes.  */
const char *gp_placement_outcome_name (gp_placement_outcome_t outcome);

/* What a task asks for.  */
typedef struct
{
  uint64_t task;
  uint16_t kind;
  gp_work_class_t work_class;
  uint32_t group; /* that is to be spread */
  gp_resources_t demand;
  uint64_t zones;      /* allowed, a bit each */
  uint32_t previous;   /* worker it ran on last, or none */
  uint32_t held;       /* worker kept for it, or none */
  bool has_checkpoint; /* made on the previous worker's zone */
  uint32_t avoided[GP_PLACEMENT_AVOIDED_MAX]; /* workers it failed on */
  unsigned int n_avoided;
  double harm_limit; /* refuse more expected harm; INFINITY: take any */
} gp_placement_ask_t;

/* The terms of a worker's cost.  */
typedef struct
{
  double fit;
  double harm;
  double spread;
  double stickiness;
  double locality;
  double accelerators; /* an accelerator would idle */
} gp_placement_cost_t;

typedef struct
{
  gp_placement_outcome_t outcome;
  gp_worker_t *worker; /* NULL unless chosen */
  gp_placement_cost_t cost;
  double total;
  unsigned int candidates; /* scored */
} gp_placement_choice_t;

typedef struct
{
  double tightness; /* batch packs, other classes keep room */
  double balance;   /* processors and memory left in proportion */
  double harm;
  double rack; /* part of the group in the same rack */
  double zone;
  double stickiness; /* of watchers to the worker they ran on */
  double locality;   /* of a checkpoint, for each step zone, region */
} gp_placement_weights_t;

#define GP_PLACEMENT_WEIGHTS_DEFAULT                                          \
  ((gp_placement_weights_t){ .tightness = 1.0,                                \
                             .balance = 0.5,                                  \
                             .harm = 20.0,                                    \
                             .rack = 1.0,                                     \
                             .zone = 1.0,                                     \
                             .stickiness = 2.0,                               \
                             .locality = 0.5 })

/* A demand for which a whole search found nothing at a growth of the fleet;
   a demand no smaller need not be searched before the fleet grows.  */
typedef struct
{
  uint64_t growth;
  uint64_t zones;
  gp_resources_t demand;
} gp_placement_miss_t;

typedef struct
{
  gp_placement_weights_t weights;
  gp_fleet_t *fleet;
  gp_spread_t *spread;
  const gp_interference_t *interference; /* NULL: no term */
  gp_placement_miss_t miss;
} gp_placement_t;

/* All parts stay the caller's and must outlive the placement.  */
void gp_placement_init (gp_placement_t *placement,
                        const gp_placement_weights_t *weights,
                        gp_fleet_t *fleet, gp_spread_t *spread,
                        const gp_interference_t *interference);

/* The cost of ASK on WORKER, which must fit.  */
gp_placement_cost_t gp_placement_cost (const gp_placement_t *placement,
                                       const gp_placement_ask_t *ask,
                                       const gp_worker_t *worker);
double gp_placement_cost_total (const gp_placement_cost_t *cost);

/* Whether ASK may run on WORKER now, by room, zone, state and holds.  */
bool gp_placement_allows (const gp_placement_ask_t *ask,
                          const gp_worker_t *worker);

gp_placement_choice_t gp_placement_choose (gp_placement_t *placement,
                                           const gp_placement_ask_t *ask);

/* Reserve the chosen WORKER for ASK and let go of the worker held for it.  */
void gp_placement_reserve (gp_placement_t *placement,
                           const gp_placement_ask_t *ask, gp_worker_t *worker);
/* The task of ASK is gone from WORKER, which it did run on.  */
void gp_placement_release (gp_placement_t *placement,
                           const gp_placement_ask_t *ask, gp_worker_t *worker);
/* The guard of WORKER refused the task of ASK and told its HEADROOM.  */
void gp_placement_refuse (gp_placement_t *placement,
                          const gp_placement_ask_t *ask, gp_worker_t *worker,
                          const gp_resources_t *headroom);

/* Keep the worker for ASK that will soonest have room, so that smaller tasks
   don't starve it: of those that could ever hold it the one with the greatest
   part of the demand free.  Return its index, or GP_WORKER_NONE when none can
   or one in GP_PLACEMENT_WORKERS_PER_HOLD is held already.  Looks at every
   worker; meant for the few tasks that were deferred often.  */
#define GP_PLACEMENT_WORKERS_PER_HOLD 16
uint32_t gp_placement_hold (gp_placement_t *placement,
                            const gp_placement_ask_t *ask, gp_time_t until);
/* Let go of the worker held for ASK, if it still is.  */
void gp_placement_drop_hold (gp_placement_t *placement,
                             const gp_placement_ask_t *ask);

#endif

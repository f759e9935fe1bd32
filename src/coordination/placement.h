/* Placement: the choice of a worker for one task.

   A bounded number of candidates from the fleet's index are scored and the
   one with the lowest cost is chosen.  The result is a worker with the
   terms of its cost, or the reason why there is none.  Choosing changes no
   state; gp_placement_reserve does.  */

#ifndef GP_COORDINATION_PLACEMENT_H
#define GP_COORDINATION_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/fleet.h"
#include "coordination/interference.h"
#include "coordination/spread.h"

#define GP_PLACEMENT_CANDIDATES 32 /* maximum number scored per decision */
#define GP_PLACEMENT_AVOIDED_MAX 8
#define GP_PLACEMENT_ALL_ZONES UINT64_MAX

typedef enum
{
  GP_PLACEMENT_CHOSEN,
  GP_PLACEMENT_NO_CAPACITY_NOW, /* fits some worker, but none has headroom now
                                 */
  GP_PLACEMENT_NEVER_FITS,      /* larger than the capacity of every worker */
  GP_PLACEMENT_ZONE_EVACUATED,  /* fits only in zones not allowed */
  GP_PLACEMENT_AVOIDED, /* only workers on which it failed have headroom */
  GP_PLACEMENT_HARMFUL, /* every candidate exceeds the harm limit */
  GP_PLACEMENT_QUOTA,   /* the team's quota is used up */
  GP_PLACEMENT_PARKED   /* the task failed on too many workers */
} gp_placement_outcome_t;

/* Returns a readable name of OUTCOME, in lower case with dashes.  */
const char *gp_placement_outcome_name (gp_placement_outcome_t outcome);

/* A task's placement request.  */
typedef struct
{
  uint64_t task;
  uint16_t kind;
  gp_work_class_t work_class;
  uint32_t group; /* spread over racks and zones */
  gp_resources_t demand;
  uint64_t zones;      /* bit mask of allowed zones */
  uint32_t previous;   /* worker it last ran on, or GP_WORKER_NONE */
  uint32_t held;       /* worker held for it, or GP_WORKER_NONE */
  bool has_checkpoint; /* stored in the zone of the previous worker */
  uint32_t avoided[GP_PLACEMENT_AVOIDED_MAX]; /* workers on which it failed */
  unsigned int n_avoided;
  double harm_limit; /* maximum expected harm; INFINITY for no limit */
} gp_placement_request_t;

/* The terms of a worker's cost.  */
typedef struct
{
  double fit;
  double harm;
  double spread;
  double stickiness;
  double locality;
  double accelerators; /* the task would leave accelerators unused */
} gp_placement_cost_t;

typedef struct
{
  gp_placement_outcome_t outcome;
  gp_worker_t *worker; /* NULL unless chosen */
  gp_placement_cost_t cost;
  double total;
  unsigned int candidates; /* number scored */
} gp_placement_choice_t;

typedef struct
{
  double tightness; /* batch prefers full workers, other classes empty ones */
  double balance;   /* penalty for unequal fractions of free processors and
                       memory */
  double harm;
  double rack; /* per fraction of the group in the same rack */
  double zone;
  double stickiness; /* bonus of watchers for the worker they last ran on */
  double locality;   /* penalty for another zone than the checkpoint's, doubled
                        for another region */
} gp_placement_weights_t;

#define GP_PLACEMENT_WEIGHTS_DEFAULT                                          \
  ((gp_placement_weights_t){ .tightness = 1.0,                                \
                             .balance = 0.5,                                  \
                             .harm = 20.0,                                    \
                             .rack = 1.0,                                     \
                             .zone = 1.0,                                     \
                             .stickiness = 2.0,                               \
                             .locality = 0.5 })

/* A demand for which a complete search found no worker, and the fleet's
   growth counter at that time.  A demand that is at least as large need
   not be searched for until the counter changes.  */
typedef struct
{
  uint64_t growth_count;
  uint64_t zones;
  gp_resources_t demand;
} gp_placement_miss_t;

typedef struct
{
  gp_placement_weights_t weights;
  gp_fleet_t *fleet;
  gp_spread_t *spread;
  const gp_interference_t *interference; /* NULL: harm is not considered */
  gp_placement_miss_t miss;
} gp_placement_t;

/* The parts remain owned by the caller and must outlive the placement.  */
void gp_placement_init (gp_placement_t *placement,
                        const gp_placement_weights_t *weights,
                        gp_fleet_t *fleet, gp_spread_t *spread,
                        const gp_interference_t *interference);

/* Returns the cost of placing REQUEST on WORKER, on which it must fit.  */
gp_placement_cost_t gp_placement_cost (const gp_placement_t *placement,
                                       const gp_placement_request_t *request,
                                       const gp_worker_t *worker);
double gp_placement_cost_total (const gp_placement_cost_t *cost);

/* Returns true if REQUEST may be placed on WORKER now, considering free
   resources, zone, state and holds.  */
bool gp_placement_allows (const gp_placement_request_t *request,
                          const gp_worker_t *worker);

gp_placement_choice_t
gp_placement_choose (gp_placement_t *placement,
                     const gp_placement_request_t *request);

/* Reserves resources for REQUEST on the chosen WORKER and ends the hold for
   it.  */
void gp_placement_reserve (gp_placement_t *placement,
                           const gp_placement_request_t *request,
                           gp_worker_t *worker);
/* The task of REQUEST, which did run on WORKER, has ended there.  */
void gp_placement_release (gp_placement_t *placement,
                           const gp_placement_request_t *request,
                           gp_worker_t *worker);
/* The guard of WORKER refused REQUEST's task and reported its HEADROOM.  */
void gp_placement_refuse (gp_placement_t *placement,
                          const gp_placement_request_t *request,
                          gp_worker_t *worker, const gp_resources_t *headroom);

/* Holds the worker for REQUEST that is expected to have headroom soonest, so
   that smaller tasks do not starve it: the worker with the greatest fraction
   of the demand free, among those whose capacity fits.  Returns its index, or
   GP_WORKER_NONE if no worker fits or one in GP_PLACEMENT_WORKERS_PER_HOLD
   workers is already held.  Visits every worker; intended for the few
   tasks that were deferred often.  */
#define GP_PLACEMENT_WORKERS_PER_HOLD 16
uint32_t gp_placement_hold (gp_placement_t *placement,
                            const gp_placement_request_t *request,
                            gp_time_t until);
/* Ends the hold for REQUEST, if it is still in effect.  */
void gp_placement_drop_hold (gp_placement_t *placement,
                             const gp_placement_request_t *request);

#endif

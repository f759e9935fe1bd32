/* Scoring of candidate workers.  */

#include "coordination/placement.h"

#include <math.h>
#include <string.h>

#define IDLE_ACCELERATOR_COST 1000.0 /* more than all other terms together */

const char *
gp_placement_outcome_name (gp_placement_outcome_t outcome)
{
  switch (outcome)
    {
    case GP_PLACEMENT_CHOSEN:
      return "chosen";
    case GP_PLACEMENT_NO_CAPACITY_NOW:
      return "no-capacity-now";
    case GP_PLACEMENT_NEVER_FITS:
      return "never-fits";
    case GP_PLACEMENT_ZONE_EVACUATED:
      return "zone-evacuated";
    case GP_PLACEMENT_AVOIDED:
      return "avoided";
    case GP_PLACEMENT_HARMFUL:
      return "harmful";
    case GP_PLACEMENT_QUOTA:
      return "quota";
    case GP_PLACEMENT_PARKED:
      return "parked";
    }
  return "unknown";
}

void
gp_placement_init (gp_placement_t *placement,
                   const gp_placement_weights_t *weights, gp_fleet_t *fleet,
                   gp_spread_t *spread, const gp_interference_t *interference)
{
  memset (placement, 0, sizeof *placement);
  placement->weights = *weights;
  placement->fleet = fleet;
  placement->spread = spread;
  placement->interference = interference;
}

/* Returns the fraction of CAPACITY that remains of FREE after NEED.  */
static double
fraction_left (uint32_t free, uint32_t need, uint32_t capacity)
{
  return capacity == 0 ? 0.0 : (double)(free - need) / capacity;
}

static double
fit_cost (const gp_placement_weights_t *weights,
          const gp_placement_request_t *request, const gp_worker_t *worker)
{
  double processors
      = fraction_left (worker->free.millicores, request->demand.millicores,
                       worker->capacity.millicores);
  double memory
      = fraction_left (worker->free.memory_mib, request->demand.memory_mib,
                       worker->capacity.memory_mib);
  double room = 0.5 * (processors + memory);
  double tightness = request->work_class == GP_WORK_BATCH ? room : 1.0 - room;

  return weights->tightness * tightness
         + weights->balance * fabs (processors - memory);
}

static double
spread_cost (const gp_placement_t *placement,
             const gp_placement_request_t *request, const gp_worker_t *worker)
{
  const gp_placement_weights_t *weights = &placement->weights;

  return weights->rack
             * gp_spread_rack_fraction (placement->spread, request->group,
                                        worker->rack)
         + weights->zone
               * gp_spread_zone_fraction (placement->spread, request->group,
                                          worker->zone);
}

/* Distance from the checkpoint: 0 in its zone, 1 in another zone, 2 in
   another region.  */
static double
locality_cost (const gp_placement_t *placement,
               const gp_placement_request_t *request,
               const gp_worker_t *worker)
{
  const gp_worker_t *previous
      = gp_fleet_worker (placement->fleet, request->previous);

  if (!request->has_checkpoint || previous == NULL
      || previous->zone == worker->zone)
    return 0.0;
  return placement->weights.locality
         * (previous->region == worker->region ? 1.0 : 2.0);
}

static double
harm_cost (const gp_placement_t *placement,
           const gp_placement_request_t *request, const gp_worker_t *worker)
{
  if (placement->interference == NULL)
    return 0.0;
  return placement->weights.harm
         * gp_interference_harm (placement->interference, worker,
                                 request->kind);
}

/* All terms except harm, which is the most expensive to compute and never
   negative.  */
static gp_placement_cost_t
cost_without_harm (const gp_placement_t *placement,
                   const gp_placement_request_t *request,
                   const gp_worker_t *worker)
{
  gp_placement_cost_t cost = { 0 };

  cost.fit = fit_cost (&placement->weights, request, worker);
  cost.spread = spread_cost (placement, request, worker);
  cost.locality = locality_cost (placement, request, worker);
  if (request->work_class == GP_WORK_WATCHER
      && request->previous == worker->index)
    cost.stickiness = -placement->weights.stickiness;
  if (worker->capacity.accelerators > 0 && request->demand.accelerators == 0)
    cost.accelerators = IDLE_ACCELERATOR_COST;
  return cost;
}

gp_placement_cost_t
gp_placement_cost (const gp_placement_t *placement,
                   const gp_placement_request_t *request,
                   const gp_worker_t *worker)
{
  gp_placement_cost_t cost = cost_without_harm (placement, request, worker);

  cost.harm = harm_cost (placement, request, worker);
  return cost;
}

double
gp_placement_cost_total (const gp_placement_cost_t *cost)
{
  return cost->fit + cost->harm + cost->spread + cost->stickiness
         + cost->locality + cost->accelerators;
}

static bool
is_avoided (const gp_placement_request_t *request, const gp_worker_t *worker)
{
  for (unsigned int i = 0; i < request->n_avoided; i++)
    if (request->avoided[i] == worker->index)
      return true;
  return false;
}

bool
gp_placement_allows (const gp_placement_request_t *request,
                     const gp_worker_t *worker)
{
  return worker->state == GP_WORKER_SERVING
         && (request->zones & (UINT64_C (1) << worker->zone)) != 0
         && (worker->held_for == 0 || worker->held_for == request->task)
         && gp_resources_fit (&request->demand, &worker->free);
}

/* A candidate and its cost, at first without harm.  */
typedef struct
{
  gp_worker_t *worker;
  gp_placement_cost_t cost;
  double least; /* lower bound of its total cost */
} candidate_t;

typedef struct
{
  candidate_t items[2 * GP_FLEET_ZONES_MAX + 2];
  unsigned int n;
} candidates_t;

static void
add_candidate (const gp_placement_t *placement,
               const gp_placement_request_t *request, gp_worker_t *worker,
               candidates_t *candidates)
{
  candidate_t *candidate = &candidates->items[candidates->n];

  if (is_avoided (request, worker) || !gp_placement_allows (request, worker))
    return;
  candidate->worker = worker;
  candidate->cost = cost_without_harm (placement, request, worker);
  candidate->least = gp_placement_cost_total (&candidate->cost);
  candidates->n++;
}

/* Makes CANDIDATE the CHOICE if its cost is lower.  */
static void
consider (const gp_placement_t *placement,
          const gp_placement_request_t *request, candidate_t *candidate,
          gp_placement_choice_t *choice)
{
  gp_worker_t *worker = candidate->worker;
  double total;

  candidate->cost.harm = harm_cost (placement, request, worker);
  total = gp_placement_cost_total (&candidate->cost);
  if (candidate->cost.harm > placement->weights.harm * request->harm_limit)
    return;
  if (choice->worker != NULL
      && (total > choice->total
          || (total == choice->total
              && worker->index > choice->worker->index)))
    return;
  choice->worker = worker;
  choice->cost = candidate->cost;
  choice->total = total;
}

/* Considers the candidates in order of cost without harm, and stops when
   the remaining ones cannot cost less than the best one found.  */
static void
choose_among (const gp_placement_t *placement,
              const gp_placement_request_t *request, candidates_t *candidates,
              gp_placement_choice_t *choice)
{
  choice->candidates = candidates->n;
  while (candidates->n > 0)
    {
      candidate_t *least = &candidates->items[0];

      for (unsigned int i = 1; i < candidates->n; i++)
        if (candidates->items[i].least < least->least)
          least = &candidates->items[i];
      if (choice->worker != NULL && least->least > choice->total)
        break;
      consider (placement, request, least, choice);
      *least = candidates->items[--candidates->n];
    }
}

/* Considers every worker.  Used if all workers that the index returned are
   to be avoided.  */
static void
choose_among_all (const gp_placement_t *placement,
                  const gp_placement_request_t *request,
                  gp_placement_choice_t *choice)
{
  for (guint i = 0; i < placement->fleet->workers->len; i++)
    {
      gp_worker_t *worker = gp_fleet_worker (placement->fleet, i);
      candidates_t one = { .n = 0 };

      if (worker != NULL)
        add_candidate (placement, request, worker, &one);
      choice->candidates += one.n;
      if (one.n > 0)
        consider (placement, request, &one.items[0], choice);
    }
}

static bool
is_known_miss (const gp_placement_t *placement,
               const gp_placement_request_t *request)
{
  const gp_placement_miss_t *miss = &placement->miss;

  return miss->growth_count == placement->fleet->growth_count
         && miss->zones == request->zones
         && gp_resources_fit (&miss->demand, &request->demand);
}

static void
record_miss (gp_placement_t *placement, const gp_placement_request_t *request)
{
  placement->miss.growth_count = placement->fleet->growth_count;
  placement->miss.zones = request->zones;
  placement->miss.demand = request->demand;
}

/* Returns the reason why no worker was chosen; SEEN workers had headroom.  */
static gp_placement_outcome_t
failure_reason (const gp_placement_t *placement,
                const gp_placement_request_t *request, unsigned int seen,
                unsigned int candidates)
{
  if (candidates > 0)
    return GP_PLACEMENT_HARMFUL;
  if (seen > 0)
    return GP_PLACEMENT_AVOIDED;
  if (gp_fleet_can_ever_fit (placement->fleet, &request->demand,
                             request->zones))
    return GP_PLACEMENT_NO_CAPACITY_NOW;
  if (gp_fleet_can_ever_fit (placement->fleet, &request->demand,
                             GP_PLACEMENT_ALL_ZONES))
    return GP_PLACEMENT_ZONE_EVACUATED;
  return GP_PLACEMENT_NEVER_FITS;
}

/* Adds the workers found by the index to CANDIDATES; returns how many
   workers had headroom, including those to be avoided.  */
static unsigned int
search (gp_placement_t *placement, const gp_placement_request_t *request,
        candidates_t *candidates)
{
  gp_worker_t *found[2 * GP_FLEET_ZONES_MAX];
  unsigned int n;

  if (is_known_miss (placement, request))
    return 0;
  n = gp_fleet_search (
      placement->fleet, &request->demand, request->zones, found,
      MAX (GP_PLACEMENT_CANDIDATES, 2 * placement->fleet->n_zones));
  if (n == 0)
    record_miss (placement, request);
  for (unsigned int i = 0; i < n; i++)
    if (found[i]->index != request->previous)
      add_candidate (placement, request, found[i], candidates);
  return n;
}

gp_placement_choice_t
gp_placement_choose (gp_placement_t *placement,
                     const gp_placement_request_t *request)
{
  gp_placement_choice_t choice = { .outcome = GP_PLACEMENT_CHOSEN };
  gp_worker_t *previous
      = gp_fleet_worker (placement->fleet, request->previous);
  gp_worker_t *held = gp_fleet_worker (placement->fleet, request->held);
  candidates_t candidates;
  unsigned int seen;

  candidates.n = 0;
  if (held != NULL)
    add_candidate (placement, request, held, &candidates);
  if (previous != NULL && previous != held)
    add_candidate (placement, request, previous, &candidates);
  seen = search (placement, request, &candidates);
  if (seen > 0 && candidates.n == 0)
    choose_among_all (placement, request, &choice);
  else
    choose_among (placement, request, &candidates, &choice);
  if (choice.worker == NULL)
    choice.outcome
        = failure_reason (placement, request, seen, choice.candidates);
  return choice;
}

void
gp_placement_reserve (gp_placement_t *placement,
                      const gp_placement_request_t *request,
                      gp_worker_t *worker)
{
  gp_placement_drop_hold (placement, request);
  gp_fleet_reserve (placement->fleet, worker, request->kind, &request->demand);
  gp_spread_add (placement->spread, request->group, worker->rack, worker->zone,
                 1);
}

void
gp_placement_release (gp_placement_t *placement,
                      const gp_placement_request_t *request,
                      gp_worker_t *worker)
{
  gp_fleet_release (placement->fleet, worker, request->kind, &request->demand);
  gp_spread_add (placement->spread, request->group, worker->rack, worker->zone,
                 -1);
}

void
gp_placement_refuse (gp_placement_t *placement,
                     const gp_placement_request_t *request,
                     gp_worker_t *worker, const gp_resources_t *headroom)
{
  gp_fleet_refuse (placement->fleet, worker, request->kind, &request->demand,
                   headroom);
  gp_spread_add (placement->spread, request->group, worker->rack, worker->zone,
                 -1);
}

/* Returns the smallest fraction of any component of DEMAND that FREE
   covers.  */
static double
fraction_covered (const gp_resources_t *free, const gp_resources_t *demand)
{
  double share = gp_resources_share (demand, free);

  return share > 0.0 ? 1.0 / share : INFINITY;
}

static bool
may_hold (const gp_placement_request_t *request, const gp_worker_t *worker)
{
  return worker->state == GP_WORKER_SERVING && worker->held_for == 0
         && (request->zones & (UINT64_C (1) << worker->zone)) != 0
         && !is_avoided (request, worker)
         && gp_resources_fit (&request->demand, &worker->capacity);
}

uint32_t
gp_placement_hold (gp_placement_t *placement,
                   const gp_placement_request_t *request, gp_time_t until)
{
  gp_fleet_t *fleet = placement->fleet;
  gp_worker_t *best = NULL;
  double best_part = -1.0;

  if (fleet->n_held > fleet->workers->len / GP_PLACEMENT_WORKERS_PER_HOLD)
    return GP_WORKER_NONE;
  for (guint i = 0; i < fleet->workers->len; i++)
    {
      gp_worker_t *worker = gp_fleet_worker (fleet, i);
      double part;

      if (worker == NULL || !may_hold (request, worker))
        continue;
      part = fraction_covered (&worker->free, &request->demand);
      if (part > best_part)
        {
          best = worker;
          best_part = part;
        }
    }
  if (best == NULL)
    return GP_WORKER_NONE;
  gp_fleet_hold (fleet, best, request->task, until);
  return best->index;
}

void
gp_placement_drop_hold (gp_placement_t *placement,
                        const gp_placement_request_t *request)
{
  gp_worker_t *worker = gp_fleet_worker (placement->fleet, request->held);

  if (worker != NULL && worker->held_for == request->task)
    gp_fleet_hold (placement->fleet, worker, 0, 0);
}

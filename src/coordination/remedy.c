/* Escalating remedies for one worker.  */

#include "coordination/remedy.h"

#include <math.h>
#include <string.h>

#define LATE_FACTOR 10.0  /* multiplier if the task would miss its deadline */
#define THROTTLE_COST 1.0 /* in seconds, without LATE_FACTOR */
#define RELAPSES_MAX 6

void
gp_remedy_init (gp_remedy_t *remedy)
{
  memset (remedy, 0, sizeof *remedy);
}

double
gp_remedy_eviction_cost (const gp_remedy_settings_t *settings,
                         const gp_remedy_resident_t *resident)
{
  gp_time_t lost = settings->restart_cost + resident->since_checkpoint;
  double cost = (double)lost / GP_SEC;

  if (resident->laxity < lost)
    cost *= LATE_FACTOR;
  return cost;
}

static double
throttle_cost (const gp_remedy_settings_t *settings,
               const gp_remedy_resident_t *resident)
{
  if (resident->laxity < settings->calm_time)
    return THROTTLE_COST * LATE_FACTOR;
  return THROTTLE_COST;
}

static bool
may_act (const gp_remedy_settings_t *settings,
         const gp_remedy_resident_t *resident, gp_remedy_action_t action)
{
  switch (action)
    {
    case GP_REMEDY_NONE:
      return false;
    case GP_REMEDY_THROTTLE:
      return resident->work_class == GP_WORK_BATCH && !resident->throttled
             && resident->relief >= settings->min_relief;
    case GP_REMEDY_EVICT:
      return resident->work_class != GP_WORK_LATENCY_CRITICAL
             && resident->relief >= settings->min_relief;
    case GP_REMEDY_UNTHROTTLE:
      return resident->throttled;
    }
  return false;
}

static double
eviction_merit (const gp_remedy_settings_t *settings,
                const gp_remedy_resident_t *resident)
{
  double cost = gp_remedy_eviction_cost (settings, resident);

  if (resident->work_class == GP_WORK_WATCHER)
    return -cost / resident->relief;
  return resident->relief / cost;
}

/* Returns the merit of ACTION on RESIDENT: the relief per cost, or for
   unthrottling the negated harm.  The merit of evicting a watcher is below
   that of any batch task.  */
static double
merit_of (const gp_remedy_settings_t *settings,
          const gp_remedy_resident_t *resident, gp_remedy_action_t action)
{
  switch (action)
    {
    case GP_REMEDY_NONE:
      break;
    case GP_REMEDY_THROTTLE:
      return resident->relief / throttle_cost (settings, resident);
    case GP_REMEDY_EVICT:
      return eviction_merit (settings, resident);
    case GP_REMEDY_UNTHROTTLE:
      return -resident->relief;
    }
  return 0.0;
}

static bool
is_chosen (const gp_remedy_decision_t *decision, uint64_t task)
{
  for (unsigned int i = 0; i < decision->n; i++)
    if (decision->tasks[i] == task)
      return true;
  return false;
}

/* Returns the resident with the highest merit for ACTION that is not yet
   in DECISION, or NULL.  */
static const gp_remedy_resident_t *
best_for (const gp_remedy_settings_t *settings,
          const gp_remedy_resident_t *residents, unsigned int n,
          gp_remedy_action_t action, const gp_remedy_decision_t *decision)
{
  const gp_remedy_resident_t *best = NULL;
  double best_merit = -INFINITY;

  for (unsigned int i = 0; i < n; i++)
    {
      double merit = merit_of (settings, &residents[i], action);

      if (!may_act (settings, &residents[i], action)
          || is_chosen (decision, residents[i].task) || merit <= best_merit)
        continue;
      best = &residents[i];
      best_merit = merit;
    }
  return best;
}

/* Chooses residents for ACTION until their relief covers EXCESS, at most
   MOST of them.  */
static gp_remedy_decision_t
choose (const gp_remedy_settings_t *settings,
        const gp_remedy_resident_t *residents, unsigned int n,
        gp_remedy_action_t action, double excess, unsigned int most)
{
  gp_remedy_decision_t decision = { .action = GP_REMEDY_NONE };
  const gp_remedy_resident_t *best;

  while (decision.n < most && excess > 0.0
         && (best = best_for (settings, residents, n, action, &decision))
                != NULL)
    {
      decision.action = action;
      decision.tasks[decision.n++] = best->task;
      excess -= best->relief * settings->throttling_relief;
    }
  return decision;
}

static gp_remedy_decision_t
choose_relief (const gp_remedy_settings_t *settings, double ratio,
               const gp_remedy_resident_t *residents, unsigned int n)
{
  double excess = ratio - settings->aim;
  gp_remedy_decision_t decision = choose (
      settings, residents, n, GP_REMEDY_THROTTLE, excess, GP_REMEDY_TASKS_MAX);

  if (decision.action == GP_REMEDY_NONE)
    decision = choose (settings, residents, n, GP_REMEDY_EVICT, excess, 1);
  return decision;
}

/* Unthrottles the task that slows the service least, if the ratio is
   expected to stay below the aim.  */
static gp_remedy_decision_t
choose_unthrottle (const gp_remedy_settings_t *settings, double ratio,
                   const gp_remedy_resident_t *residents, unsigned int n)
{
  gp_remedy_decision_t decision = { .action = GP_REMEDY_NONE };
  const gp_remedy_resident_t *best
      = best_for (settings, residents, n, GP_REMEDY_UNTHROTTLE, &decision);

  if (best == NULL
      || ratio + best->relief * settings->throttling_relief > settings->aim)
    return decision;
  decision.action = GP_REMEDY_UNTHROTTLE;
  decision.tasks[decision.n++] = best->task;
  return decision;
}

/* Updates the counts of breaches, calm and relapses; there is at most one
   relapse per unthrottling.  */
static void
update_history (gp_remedy_t *remedy, const gp_remedy_settings_t *settings,
                const gp_remedy_measurement_t *measurement)
{
  bool breach = measurement->ratio > settings->breach;
  bool calm = measurement->ratio < settings->aim;

  remedy->breaches = breach ? remedy->breaches + 1 : 0;
  if (!calm)
    remedy->calm_since = 0;
  else if (remedy->calm_since == 0)
    remedy->calm_since = measurement->from;
  if (remedy->unthrottled_at == 0)
    return;
  if (measurement->to > remedy->unthrottled_at + settings->relapse)
    {
      remedy->unthrottled_at = 0;
      remedy->relapses -= remedy->relapses > 0;
    }
  else if (remedy->breaches >= settings->breaches)
    {
      remedy->unthrottled_at = 0;
      remedy->relapses += remedy->relapses < RELAPSES_MAX;
    }
}

static bool
calm_enough (const gp_remedy_t *remedy, const gp_remedy_settings_t *settings,
             gp_time_t to)
{
  return remedy->calm_since != 0
         && to - remedy->calm_since >= settings->calm_time << remedy->relapses;
}

gp_remedy_decision_t
gp_remedy_decide (gp_remedy_t *remedy, const gp_remedy_settings_t *settings,
                  const gp_remedy_measurement_t *measurement,
                  const gp_remedy_resident_t *residents, unsigned int n,
                  gp_time_t now)
{
  gp_remedy_decision_t decision = { .action = GP_REMEDY_NONE };

  if (remedy->acted_at != 0
      && measurement->from < remedy->acted_at + settings->settle)
    return decision;
  update_history (remedy, settings, measurement);
  if (remedy->acted_at != 0 && now < remedy->acted_at + settings->cool_down)
    return decision;
  if (remedy->breaches >= settings->breaches)
    decision = choose_relief (settings, measurement->ratio, residents, n);
  else if (calm_enough (remedy, settings, measurement->to))
    decision = choose_unthrottle (settings, measurement->ratio, residents, n);
  if (decision.action == GP_REMEDY_NONE)
    return decision;
  remedy->acted_at = now;
  remedy->breaches = 0;
  remedy->calm_since = 0;
  if (decision.action == GP_REMEDY_UNTHROTTLE)
    remedy->unthrottled_at = now;
  return decision;
}

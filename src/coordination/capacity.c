/* Resource reservations on one worker.

   Invariants.  gp_capacity_reserve and raised reservations keep the sum of
   all reservations, including that of the services, within TOTAL.  A task
   is counted until its release, also while it is stopping.  The sum is
   recomputed at each decision, so it cannot diverge from the tasks.

   Hysteresis.  A measurement whose interval began before the last change
   to its task is ignored, as it does not show the effect of the change.  A
   throttled task is evicted after EVICT_SAMPLES consecutive measurements
   above its reservation.  A throttle is lifted as soon as the headroom
   covers the usage the task had when it was throttled, or after CALM_SAMPLES
   consecutive measurements within 7/8 of the reservation.  That number
   doubles each time, so that a task with alternating usage is throttled
   for longer and longer.  */

#include "coordination/capacity.h"

#include <glib.h>

enum
{
  EVICT_SAMPLES = 3,
  CALM_SAMPLES = 4,
  CALM_SAMPLES_MAX = 64,
  MARGIN_DIVISOR = 8 /* margin above the observed usage: 1/8 of it */
};

static const gp_resources_t nothing;

static gp_capacity_task_t *
task_of (const gp_list_t *link)
{
  return GP_CONTAINER_OF (link, gp_capacity_task_t, link);
}

/* Sums.  */

/* The sum of the reservations of the services and the tasks; includes
   tasks that are stopping if WITH_STOPPING.  */
static gp_resources_t
reserved_sum (const gp_capacity_t *capacity, bool with_stopping)
{
  gp_resources_t sum = capacity->service;

  GP_LIST_FOREACH (link, &capacity->tasks)
  {
    if (with_stopping || !task_of (link)->stopping)
      gp_resources_add (&sum, &task_of (link)->reserved);
  }
  return sum;
}

gp_resources_t
gp_capacity_headroom (const gp_capacity_t *capacity)
{
  gp_resources_t sum = reserved_sum (capacity, true);
  gp_resources_t left = capacity->total;

  gp_resources_subtract (&left, &sum);
  return left;
}

/* Returns true if the sum would be within TOTAL with TASK's reservation
   changed to RESERVED.  */
static bool
fits_with (const gp_capacity_t *capacity, const gp_capacity_task_t *task,
           const gp_resources_t *reserved)
{
  gp_resources_t sum = reserved_sum (capacity, true);

  gp_resources_subtract (&sum, &task->reserved);
  gp_resources_add (&sum, reserved);
  return gp_resources_fit (&sum, &capacity->total);
}

/* Actions.  */

static void
queue_action (gp_capacity_t *capacity, gp_capacity_task_t *task,
              const gp_capacity_action_t *action)
{
  gp_list_remove (&task->pending);
  gp_list_push_back (&capacity->actions, &task->pending);
  task->action = *action;
  task->action.task = task->id;
  task->action.epoch = task->epoch;
}

static void
evict (gp_capacity_t *capacity, gp_capacity_task_t *task,
       gp_capacity_evict_reason_t reason)
{
  const gp_capacity_action_t action
      = { .kind = GP_CAPACITY_EVICT, .u.evict = reason };

  task->stopping = true;
  queue_action (capacity, task, &action);
}

static void
throttle (gp_capacity_t *capacity, gp_capacity_task_t *task, gp_time_t now)
{
  const gp_capacity_action_t action = { .kind = GP_CAPACITY_THROTTLE };

  task->throttled = true;
  task->samples_over = 0;
  task->samples_under = 0;
  task->changed_at = now;
  queue_action (capacity, task, &action);
}

/* Sets the reservation of TASK to RESERVED, which fits.  With LIFT its
   throttle ends.  */
static void
set_reservation (gp_capacity_t *capacity, gp_capacity_task_t *task,
                 const gp_resources_t *reserved, bool lift, gp_time_t now)
{
  const gp_capacity_action_t action
      = { .kind = lift ? GP_CAPACITY_UNTHROTTLE : GP_CAPACITY_RAISE,
          .u.raise = *reserved };

  task->reserved = *reserved;
  task->throttled = task->throttled && !lift;
  task->samples_over = 0;
  task->samples_under = 0;
  task->changed_at = now;
  queue_action (capacity, task, &action);
}

/* Usage above the reservation.  */

static uint32_t
with_margin (uint32_t observed, uint32_t reserved)
{
  uint32_t wanted = gp_resources_sum (observed, observed / MARGIN_DIVISOR);

  return observed > reserved ? wanted : reserved;
}

/* The reservation that covers the observed usage of TASK, with a margin
   for the components that exceed it.  Accelerators are indivisible and get
   no margin.  */
static gp_resources_t
covering_reservation (const gp_capacity_task_t *task)
{
  const gp_resources_t *observed = &task->observed;
  const gp_resources_t *reserved = &task->reserved;

  return (gp_resources_t){
    .millicores = with_margin (observed->millicores, reserved->millicores),
    .memory_mib = with_margin (observed->memory_mib, reserved->memory_mib),
    .accelerators = MAX (observed->accelerators, reserved->accelerators)
  };
}

static gp_resources_t
component_max (const gp_resources_t *a, const gp_resources_t *b)
{
  return (gp_resources_t){ .millicores = MAX (a->millicores, b->millicores),
                           .memory_mib = MAX (a->memory_mib, b->memory_mib),
                           .accelerators
                           = MAX (a->accelerators, b->accelerators) };
}

/* A throttled task uses less than it would otherwise, so its throttle is
   lifted only for its earlier, unthrottled usage; its present usage may
   still be covered without lifting the throttle.  */
static void
handle_over (gp_capacity_t *capacity, gp_capacity_task_t *task, gp_time_t now)
{
  gp_resources_t covering = covering_reservation (task);

  task->samples_under = 0;
  task->samples_over++;
  task->needed_reservation
      = task->throttled ? component_max (&task->needed_reservation, &covering)
                        : covering;
  if (fits_with (capacity, task, &task->needed_reservation))
    set_reservation (capacity, task, &task->needed_reservation,
                     task->throttled, now);
  else if (fits_with (capacity, task, &covering))
    set_reservation (capacity, task, &covering, false, now);
  else if (!task->throttled
           && task->observed.millicores > task->reserved.millicores)
    throttle (capacity, task, now);
  else if (task->samples_over >= EVICT_SAMPLES)
    evict (capacity, task, GP_CAPACITY_OVER_RESERVATION);
}

/* Usage within the reservation.  */

static bool
is_calm (const gp_capacity_task_t *task)
{
  uint32_t limit = task->reserved.millicores;

  return task->observed.millicores <= limit - limit / MARGIN_DIVISOR;
}

static void
handle_under (gp_capacity_t *capacity, gp_capacity_task_t *task, gp_time_t now)
{
  const gp_resources_t reserved = task->reserved;

  task->samples_over = 0;
  if (!task->throttled)
    return;
  task->samples_under = is_calm (task) ? task->samples_under + 1 : 0;
  if (task->samples_under < task->calm_samples)
    return;
  task->calm_samples = MIN (2 * task->calm_samples, CALM_SAMPLES_MAX);
  set_reservation (capacity, task, &reserved, true, now);
}

void
gp_capacity_observe (gp_capacity_t *capacity, uint64_t id, uint64_t epoch,
                     const gp_resources_t *observed, gp_time_t span_start,
                     gp_time_t now)
{
  gp_capacity_task_t *task = gp_capacity_find (capacity, id);

  if (task == NULL || task->epoch != epoch)
    return;
  task->observed = *observed;
  if (task->stopping || span_start < task->changed_at)
    return;
  if (gp_resources_fit (observed, &task->reserved))
    handle_under (capacity, task, now);
  else
    handle_over (capacity, task, now);
}

/* Changes to the capacity.  */

/* Lifts the throttles for which there is now headroom, oldest task first.  */
static void
lift_throttles (gp_capacity_t *capacity, gp_time_t now)
{
  GP_LIST_FOREACH (link, &capacity->tasks)
  {
    gp_capacity_task_t *task = task_of (link);

    if (task->throttled && !task->stopping
        && fits_with (capacity, task, &task->needed_reservation))
      set_reservation (capacity, task, &task->needed_reservation, true, now);
  }
}

/* The task to evict in a shortage: the one with the lowest eviction cost,
   and of several the youngest; NULL when all are stopping.  */
static gp_capacity_task_t *
cheapest_to_evict (const gp_capacity_t *capacity)
{
  gp_capacity_task_t *best = NULL;

  GP_LIST_FOREACH (link, &capacity->tasks)
  {
    gp_capacity_task_t *task = task_of (link);

    if (!task->stopping
        && (best == NULL || task->eviction_cost <= best->eviction_cost))
      best = task;
  }
  return best;
}

static void
evict_until_fits (gp_capacity_t *capacity)
{
  gp_resources_t sum = reserved_sum (capacity, false);
  gp_capacity_task_t *task;

  while (!gp_resources_fit (&sum, &capacity->total)
         && (task = cheapest_to_evict (capacity)) != NULL)
    {
      evict (capacity, task, GP_CAPACITY_SHORTAGE);
      sum = reserved_sum (capacity, false);
    }
}

void
gp_capacity_resize (gp_capacity_t *capacity, const gp_resources_t *total,
                    const gp_resources_t *service, gp_time_t now)
{
  capacity->total = *total;
  capacity->service = *service;
  evict_until_fits (capacity);
  lift_throttles (capacity, now);
}

/* Tasks.  */

gp_capacity_task_t *
gp_capacity_find (const gp_capacity_t *capacity, uint64_t id)
{
  GP_LIST_FOREACH (link, &capacity->tasks)
  {
    if (task_of (link)->id == id)
      return task_of (link);
  }
  return NULL;
}

static void
insert_task (gp_capacity_t *capacity, gp_capacity_task_t *task, gp_time_t now)
{
  task->observed = nothing;
  task->throttled = false;
  task->stopping = false;
  task->action = (gp_capacity_action_t){ .kind = GP_CAPACITY_NONE };
  task->needed_reservation = task->reserved;
  task->changed_at = now;
  task->samples_over = 0;
  task->samples_under = 0;
  task->calm_samples = CALM_SAMPLES;
  gp_list_init (&task->pending);
  gp_list_push_back (&capacity->tasks, &task->link);
}

gp_capacity_verdict_t
gp_capacity_reserve (gp_capacity_t *capacity, gp_capacity_task_t *task,
                     gp_time_t now, gp_resources_t *headroom)
{
  gp_resources_t left = gp_capacity_headroom (capacity);
  gp_capacity_verdict_t verdict = GP_CAPACITY_NO_ROOM;

  if (gp_capacity_find (capacity, task->id) != NULL)
    verdict = GP_CAPACITY_PRESENT;
  else if (gp_resources_fit (&task->reserved, &left))
    {
      insert_task (capacity, task, now);
      gp_resources_subtract (&left, &task->reserved);
      verdict = GP_CAPACITY_RESERVED;
    }
  if (headroom != NULL)
    *headroom = left;
  return verdict;
}

gp_capacity_verdict_t
gp_capacity_adopt (gp_capacity_t *capacity, gp_capacity_task_t *task,
                   gp_time_t now)
{
  if (gp_capacity_find (capacity, task->id) != NULL)
    return GP_CAPACITY_PRESENT;
  insert_task (capacity, task, now);
  evict_until_fits (capacity);
  return GP_CAPACITY_RESERVED;
}

void
gp_capacity_set_stopping (gp_capacity_task_t *task)
{
  task->stopping = true;
  gp_list_remove (&task->pending);
}

gp_capacity_task_t *
gp_capacity_release (gp_capacity_t *capacity, uint64_t id, uint64_t epoch,
                     gp_time_t now)
{
  gp_capacity_task_t *task = gp_capacity_find (capacity, id);

  if (task == NULL || task->epoch != epoch)
    return NULL;
  gp_list_remove (&task->link);
  gp_list_remove (&task->pending);
  lift_throttles (capacity, now);
  return task;
}

bool
gp_capacity_next_action (gp_capacity_t *capacity, gp_capacity_action_t *action)
{
  gp_list_t *link = gp_list_pop_front (&capacity->actions);

  if (link == NULL)
    return false;
  *action = GP_CONTAINER_OF (link, gp_capacity_task_t, pending)->action;
  return true;
}

void
gp_capacity_init (gp_capacity_t *capacity, const gp_resources_t *total,
                  const gp_resources_t *service)
{
  capacity->total = *total;
  capacity->service = *service;
  gp_list_init (&capacity->tasks);
  gp_list_init (&capacity->actions);
}

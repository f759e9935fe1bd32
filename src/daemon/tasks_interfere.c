/* Interference of tasks with the services on the same VM: estimates and
   remedies.

   Every entry updates its estimates from the usage that guards report; only
   the entry responsible for the guard applies remedies.  */

#include "daemon/tasks_private.h"

#include <string.h>

#include "base/counters.h"

#define RESIDENTS_MAX 256
#define SECONDS_PER_HOUR 3600.0
/* Evictions per hour; the limiter needs a positive rate.  */
#define MIN_HOURLY_RATE 0.001

static gp_counter_t throttles
    = GP_COUNTER ("entry_throttles_total", "Tasks throttled for a service.");
static gp_counter_t evictions
    = GP_COUNTER ("entry_evictions_total", "Tasks evicted for a service.");

void
gp_tasks_record_residency (gp_tasks_t *tasks, gp_tasks_guard_t *guard,
                           const gp_tasks_task_t *task, int quarters)
{
  gp_residency_change (&guard->residency, task->kind->index, quarters,
                       gp_tasks_now (tasks));
}

static void
update_peaks (gp_tasks_t *tasks, const gp_tasks_guard_t *guard,
              const Gp__Wire__Usage *usage)
{
  for (size_t i = 0; i < usage->n_tasks; i++)
    {
      const Gp__Wire__TaskUsage *one = usage->tasks[i];
      gp_tasks_task_t *task = gp_tasks_find (tasks, one->task);

      if (task == NULL || one->used == NULL || task->epoch != one->epoch
          || task->guard != guard)
        continue;
      task->peak.millicores
          = MAX (task->peak.millicores, one->used->millicores);
      task->peak.memory_mib
          = MAX (task->peak.memory_mib, one->used->memory_mib);
    }
}

/* The latency target in microseconds of the service that GUARD runs, or 0.  */
static double
target_us (const gp_tasks_t *tasks, const gp_tasks_guard_t *guard)
{
  const gp_document_service_t *service;

  if (tasks->document == NULL || guard->member == NULL
      || guard->member->announcement.service == NULL)
    return 0.0;
  service = gp_document_find_service (tasks->document,
                                      guard->member->announcement.service);
  return service == NULL ? 0.0 : service->latency_target_ms * 1000.0;
}

static unsigned int
list_residents (const gp_tasks_t *tasks, const gp_tasks_guard_t *guard,
                gp_remedy_resident_t *residents)
{
  gp_time_t now = gp_tasks_now (tasks);
  unsigned int n = 0;

  GP_LIST_FOREACH (pos, &guard->placed)
  {
    const gp_tasks_task_t *task
        = GP_CONTAINER_OF (pos, gp_tasks_task_t, placed_link);
    gp_interference_estimate_t slope = gp_interference_slope (
        &tasks->interference, guard->worker.service, task->kind->index);

    if (n == RESIDENTS_MAX)
      break;
    if (!task->running)
      continue;
    residents[n++] = (gp_remedy_resident_t){
      .task = task->id,
      .work_class = task->request.work_class,
      .throttled = task->throttled,
      .since_checkpoint = now - task->progress_saved_at,
      .laxity = task->pending.latest_start - now,
      .relief = slope.mean * (1.0 + guard->worker.load_permille / 1000.0)
    };
  }
  return n;
}

static void
set_throttled (gp_tasks_t *tasks, gp_tasks_task_t *task, bool throttled)
{
  int change = GP_RESIDENCY_UNTHROTTLED - GP_RESIDENCY_THROTTLED;

  if (task->throttled == throttled)
    return;
  task->throttled = throttled;
  gp_tasks_record_residency (tasks, task->guard, task,
                             throttled ? -change : change);
}

static void
apply_action (gp_tasks_t *tasks, gp_tasks_task_t *task,
              gp_remedy_action_t action)
{
  switch (action)
    {
    case GP_REMEDY_NONE:
      return;
    case GP_REMEDY_THROTTLE:
      gp_counter_add (&throttles, 1);
      set_throttled (tasks, task, true);
      gp_tasks_stop (tasks, task, GP__WIRE__STOP_MODE__STOP_MODE_THROTTLE);
      gp_tasks_add_event (tasks, GP_TIMELINE_TASK_THROTTLED, task->id,
                          task->epoch, task->guard->name, "throttle");
      return;
    case GP_REMEDY_UNTHROTTLE:
      set_throttled (tasks, task, false);
      gp_tasks_stop (tasks, task, GP__WIRE__STOP_MODE__STOP_MODE_UNTHROTTLE);
      gp_tasks_add_event (tasks, GP_TIMELINE_TASK_THROTTLED, task->id,
                          task->epoch, task->guard->name, "unthrottle");
      return;
    case GP_REMEDY_EVICT:
      gp_counter_add (&evictions, 1);
      gp_tasks_stop (tasks, task, GP__WIRE__STOP_MODE__STOP_MODE_EVICT);
      gp_tasks_add_event (tasks, GP_TIMELINE_TASK_EVICTED, task->id,
                          task->epoch, task->guard->name, NULL);
      return;
    }
}

static gp_remedy_settings_t
remedy_settings (const gp_tasks_t *tasks)
{
  const gp_document_interference_t *declared = &tasks->document->interference;
  gp_remedy_settings_t settings = GP_REMEDY_DEFAULTS;
  uint32_t window_ms = declared->window_s * 1000;

  settings.breach = declared->throttle_percent / 100.0;
  settings.aim = declared->calm_percent / 100.0;
  settings.breaches
      = MAX (settings.breaches, window_ms / tasks->settings->timings.usage_ms);
  settings.cool_down = window_ms * GP_MSEC;
  settings.settle = MIN (settings.settle, settings.cool_down);
  return settings;
}

/* This entry's share of the site's hourly evictions.  */
static uint32_t
own_share_of_evictions (const gp_tasks_t *tasks, uint32_t of_site)
{
  const gp_settings_t *settings = tasks->settings;
  uint32_t count = settings->entries_count;
  uint32_t index = 0;

  if (count == 0)
    return of_site;
  while (index < count
         && strcmp (settings->entries[index].name, settings->name) != 0)
    index++;
  return of_site / count + (index < of_site % count);
}

void
gp_tasks_configure_remedies (gp_tasks_t *tasks)
{
  uint32_t hourly = own_share_of_evictions (
      tasks, tasks->document->interference.evictions_per_hour);
  /* Half as a burst and half at a constant rate, so that no period of one
     hour exceeds the limit.  */
  uint32_t burst = MAX (1, hourly / 2);
  double rate = MAX (hourly - burst, MIN_HOURLY_RATE) / SECONDS_PER_HOUR;

  tasks->may_evict = hourly > 0;
  if (tasks->evictions.token_ns == 0)
    gp_limiter_init (&tasks->evictions, rate, burst);
  else
    gp_limiter_configure (&tasks->evictions, rate, burst,
                          gp_tasks_now (tasks));
}

/* Whether ACTION is allowed, given that the service's latency is RATIO times
   its target, and the site's limit on evictions.  */
static bool
is_allowed (gp_tasks_t *tasks, gp_remedy_action_t action, double ratio)
{
  const gp_document_interference_t *declared = &tasks->document->interference;

  if (action != GP_REMEDY_EVICT)
    return true;
  return ratio >= declared->evict_percent / 100.0 && tasks->may_evict
         && gp_limiter_take (&tasks->evictions, 1, gp_tasks_now (tasks));
}

static void
apply_remedy (gp_tasks_t *tasks, gp_tasks_guard_t *guard,
              const gp_remedy_measurement_t *measurement)
{
  gp_remedy_settings_t settings = remedy_settings (tasks);
  gp_remedy_resident_t residents[RESIDENTS_MAX];
  unsigned int n = list_residents (tasks, guard, residents);
  gp_remedy_decision_t decision
      = gp_remedy_decide (&guard->remedy, &settings, measurement, residents, n,
                          gp_tasks_now (tasks));

  if (!is_allowed (tasks, decision.action, measurement->ratio))
    return;
  for (unsigned int i = 0; i < decision.n; i++)
    {
      gp_tasks_task_t *task = gp_tasks_find (tasks, decision.tasks[i]);

      if (task != NULL && task->guard == guard)
        apply_action (tasks, task, decision.action);
    }
}

void
gp_tasks_on_usage (gp_tasks_t *tasks, gp_session_t *session,
                   const Gp__Wire__Usage *usage)
{
  gp_tasks_guard_t *guard = gp_tasks_find_guard (tasks, session->process);
  gp_remedy_measurement_t measurement;
  double target;

  if (guard == NULL || guard->session != session)
    return;
  gp_counter_register (&throttles);
  gp_counter_register (&evictions);
  update_peaks (tasks, guard, usage);
  target = target_us (tasks, guard);
  if (target <= 0.0 || usage->service_p99_us == 0 || usage->span_us == 0
      || usage->age_us > INT64_MAX / 4 || usage->span_us > INT64_MAX / 4)
    return;
  measurement.ratio = usage->service_p99_us / target;
  measurement.to = gp_tasks_now (tasks) - (gp_time_t)usage->age_us;
  measurement.from = measurement.to - (gp_time_t)usage->span_us;
  (void)gp_interference_measure (&tasks->interference, guard->worker.service,
                                 guard->worker.load_permille / 1000.0,
                                 &guard->residency, measurement.from,
                                 measurement.to, measurement.ratio);
  if (guard->responsible)
    apply_remedy (tasks, guard, &measurement);
}

/* Diagnoses why tasks wait for a place.  */

#include "jobs/placer_waits.h"

#include "base/counters.h"
#include "base/log.h"
#include "jobs/suspicion.h"

/* Time before the first examination of a waiting step and between
   examinations, each of which goes through all executors.  */
#define CHECK_INTERVAL (GP_SEC)
/* Work that could run has to start within this.  */
#define WAIT_LIMIT (3 * GP_SEC)

static const char *const cause_names[] = {
  [GP_WAIT_NONE] = "nothing",
  [GP_WAIT_NO_EXECUTOR] = "no executor of its service and label",
  [GP_WAIT_CAPACITY] = "no room on any executor",
  [GP_WAIT_SPREAD] = "no room apart from the others of its step",
  [GP_WAIT_ZONE] = "zone evacuated",
  [GP_WAIT_UNREACHABLE] = "executors with room are not reached",
  [GP_WAIT_DRAINING] = "executors with room are about to leave",
  [GP_WAIT_DISTRUSTED] = "executors with room have just failed or refused",
  [GP_WAIT_UNKNOWN_RUNS] = "executors with room have runs of unknown jobs",
  [GP_WAIT_DEDICATED] = "executors with room are kept for suspects",
  [GP_WAIT_INTERFERENCE] = "it would harm what serves there",
  [GP_WAIT_GANG] = "no room for all of its gang",
  [GP_WAIT_ISOLATION] = "it is a suspect and starts alone",
  [GP_WAIT_QUARANTINE] = "its queue is in quarantine",
  [GP_WAIT_MEMORY] = "no memory for the state of its tasks",
  [GP_WAIT_STRAY] = "a run that nobody wants has not ended",
};

static gp_counter_t counts[] = {
  [GP_WAIT_ZONE] = GP_COUNTER ("jobs_held_zone_total",
                               "Steps that waited beyond the bound with "
                               "capacity to spare: their executors are "
                               "evacuated"),
  [GP_WAIT_UNREACHABLE]
  = GP_COUNTER ("jobs_held_unreachable_total", "The same: not reached"),
  [GP_WAIT_DRAINING]
  = GP_COUNTER ("jobs_held_draining_total", "The same: about to leave"),
  [GP_WAIT_DISTRUSTED]
  = GP_COUNTER ("jobs_held_distrusted_total", "The same: failing"),
  [GP_WAIT_UNKNOWN_RUNS] = GP_COUNTER ("jobs_held_unknown_total",
                                       "The same: runs of unknown jobs there"),
  [GP_WAIT_DEDICATED]
  = GP_COUNTER ("jobs_held_kept_total", "The same: kept for suspects"),
  [GP_WAIT_INTERFERENCE]
  = GP_COUNTER ("jobs_held_harm_total", "The same: they would do harm"),
  [GP_WAIT_ISOLATION]
  = GP_COUNTER ("jobs_held_alone_total", "The same: suspects, to start alone"),
  [GP_WAIT_QUARANTINE] = GP_COUNTER ("jobs_held_quarantine_total",
                                     "The same: of a queue in quarantine"),
  [GP_WAIT_STRAY] = GP_COUNTER ("jobs_held_stray_total",
                                "The same: a run that nobody wants is there"),
};

void
gp_placer_register_waits (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    if (counts[i].name != NULL)
      gp_counter_register (&counts[i]);
}

const char *
gp_wait_cause_name (gp_wait_cause_t cause)
{
  return cause_names[cause];
}

/* Returns what keeps TASK from EXECUTOR, which is not dead.  */
static gp_wait_cause_t
cause_at (const gp_placer_pass_t *pass, const gp_job_executor_t *executor,
          const gp_job_task_t *task)
{
  const Gp__Jobs__Step *step = gp_task_step (task);

  if (!gp_placer_matches (executor, task, step))
    return GP_WAIT_NO_EXECUTOR;
  if (!gp_placer_has_capacity (executor, task, step, pass->now))
    return GP_WAIT_CAPACITY;
  if (!gp_placer_within_spread_limit (executor, task, step))
    return GP_WAIT_SPREAD;
  if (executor->evacuated)
    return GP_WAIT_ZONE;
  if (!executor->reachable || executor->down)
    return GP_WAIT_UNREACHABLE;
  if (executor->draining)
    return GP_WAIT_DRAINING;
  if (pass->now < executor->distrusted_until
      || pass->now < executor->full_until)
    return GP_WAIT_DISTRUSTED;
  if (executor->unknown_runs > 0)
    return GP_WAIT_UNKNOWN_RUNS;
  if (executor->quarantined
      || !gp_suspicion_allows (executor, task, pass->now))
    return GP_WAIT_DEDICATED;
  return step->gang ? GP_WAIT_GANG : GP_WAIT_INTERFERENCE;
}

gp_wait_cause_t
gp_placer_wait_cause (const gp_placer_pass_t *pass, const gp_job_task_t *task)
{
  gp_wait_cause_t nearest = GP_WAIT_NO_EXECUTOR;
  GHashTableIter iter;
  gpointer value;

  if (gp_job_executor_has_stray (task))
    return GP_WAIT_STRAY;
  if (!gp_book_has_room_for_tasks (pass->book, task->job))
    return GP_WAIT_MEMORY;
  if (gp_placer_needs_quarantine (pass, task))
    return GP_WAIT_QUARANTINE;
  if (gp_placer_needs_isolation (pass, task))
    return GP_WAIT_ISOLATION;
  g_hash_table_iter_init (&iter, pass->book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_executor_t *executor = value;

      if (!executor->dead)
        nearest = MAX (nearest, cause_at (pass, executor, task));
    }
  return nearest;
}

/* Returns whether less than half of the processors of TASK's service are in
   use.  */
static bool
is_mostly_free (const gp_placer_pass_t *pass, const gp_job_task_t *task)
{
  const char *service = task->job->submission->service;
  int64_t capacity = 0;
  int64_t used = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pass->book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_executor_t *executor = value;

      if (executor->dead || g_strcmp0 (executor->service, service) != 0)
        continue;
      capacity += executor->capacity.cpu_milli;
      used += executor->used.cpu_milli;
    }
  return used * 2 < capacity;
}

/* Returns whether EXECUTOR, which stays, has capacity for TASK twice over.  */
static bool
has_capacity_twice (const gp_job_executor_t *executor,
                    const gp_job_task_t *task)
{
  const Gp__Jobs__Step *step = gp_task_step (task);
  const gp_job_resources_t *capacity = &executor->capacity;
  const gp_job_resources_t *used = &executor->used;

  return !executor->dead && !executor->draining && !executor->evacuated
         && gp_placer_matches (executor, task, step)
         && gp_placer_within_spread_limit (executor, task, step)
         && used->cpu_milli + 2 * (int64_t)step->cpu_milli
                <= capacity->cpu_milli
         && used->memory_mb + 2 * (int64_t)step->memory_mb
                <= capacity->memory_mb
         && used->accelerators + 2 * (int64_t)step->accelerators
                <= capacity->accelerators;
}

/* Returns whether TASK could run as far as capacity goes: a long-running one
   if an executor has capacity for it twice over, however full its service is,
   others if most of the service's capacity is free.  */
static bool
has_capacity_to_spare (const gp_placer_pass_t *pass, const gp_job_task_t *task)
{
  GHashTableIter iter;
  gpointer value;

  if (!gp_task_step (task)->long_running)
    return is_mostly_free (pass, task);
  g_hash_table_iter_init (&iter, pass->book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (has_capacity_twice (value, task))
      return true;
  return false;
}

/* Returns whether CAUSE holds work back even though there is capacity for
   it.  */
static bool
holds_back (gp_wait_cause_t cause)
{
  return cause < G_N_ELEMENTS (counts) && counts[cause].name != NULL;
}

static void
log_wait (const gp_job_task_t *task, gp_wait_cause_t cause, gp_time_t waited,
          bool free)
{
  char name[GP_TASK_NAME_SIZE];

  gp_task_name (task, name);
  gp_log (
      GP_LOG_INFO, "job.waits", GP_LOG_S ("job", task->job->id),
      GP_LOG_S ("task", name), GP_LOG_S ("why", gp_wait_cause_name (cause)),
      GP_LOG_I ("for_ms", waited / GP_MSEC), GP_LOG_I ("mostly_free", free));
}

/* TASK's step has waited for TIME more, at the end because of CAUSE.  */
static void
add_delay (const gp_job_task_t *task, gp_wait_cause_t cause, gp_time_t time)
{
  gp_job_delays_t *delays = &task->job->delays;

  if (cause == GP_WAIT_INTERFERENCE)
    delays->interference_waits += time;
  if (cause == GP_WAIT_QUARANTINE)
    delays->quarantine_waits += time;
}

void
gp_placer_note_unplaced (const gp_placer_pass_t *pass,
                         const gp_job_task_t *task)
{
  gp_job_wait_t *wait = &gp_task_tally (task)->wait;
  gp_time_t waited = pass->now - wait->since;
  gp_wait_cause_t cause;
  bool free;
  bool could_run;

  if (wait->since == 0)
    {
      *wait = (gp_job_wait_t){ .since = pass->now,
                               .next_check_at = pass->now + CHECK_INTERVAL };
      return;
    }
  if (pass->now < wait->next_check_at)
    return;
  cause = gp_placer_wait_cause (pass, task);
  add_delay (task, cause, pass->now - wait->next_check_at + CHECK_INTERVAL);
  wait->next_check_at = pass->now + CHECK_INTERVAL;
  free = has_capacity_to_spare (pass, task);
  could_run = free && holds_back (cause);
  if (cause != wait->cause && (could_run || !gp_job_has_run (task->job)))
    log_wait (task, cause, waited, free);
  wait->cause = cause;
  if (waited <= WAIT_LIMIT || wait->counted || !could_run)
    return;
  wait->counted = true;
  gp_counter_add (&counts[cause], 1);
  gp_log (GP_LOG_WARNING, "job.held", GP_LOG_S ("job", task->job->id),
          GP_LOG_S ("why", gp_wait_cause_name (cause)),
          GP_LOG_I ("long_running", gp_task_step (task)->long_running),
          GP_LOG_I ("for_ms", waited / GP_MSEC));
}

/* No place was found for the waiting tasks of the step whose first task is
   INDEX.  */
static void
note_step_unplaced (const gp_placer_pass_t *pass, gp_job_t *job,
                    uint32_t index)
{
  gp_job_task_t probe;

  if (job->tasks == NULL)
    {
      gp_task_init (&probe, job, index);
      gp_placer_note_unplaced (pass, &probe);
      return;
    }
  while (job->tasks[index].state != GP_TASK_WAITING)
    index++;
  gp_placer_note_unplaced (pass, &job->tasks[index]);
}

/* No place was found for the waiting tasks of JOB that are ready to run.  */
static void
note_job_unplaced (const gp_placer_pass_t *pass, gp_job_t *job,
                   int64_t wall_ms)
{
  for (uint32_t k = 0; k < job->occurrences; k++)
    for (uint32_t s = 0; s < job->submission->n_steps; s++)
      {
        if (gp_job_tallies (job, k)[s].waiting > 0
            && gp_job_step_ready (job, k, s, wall_ms))
          note_step_unplaced (pass, job, gp_job_step_index (job, k, s));
      }
}

void
gp_placer_note_all_unplaced (const gp_placer_pass_t *pass, int64_t wall_ms)
{
  GP_LIST_FOREACH (link, &pass->book->live)
  {
    note_job_unplaced (pass, GP_CONTAINER_OF (link, gp_job_t, link), wall_ms);
  }
}

void
gp_placer_clear_wait (const gp_job_task_t *task)
{
  gp_task_tally (task)->wait = (gp_job_wait_t){ 0 };
}

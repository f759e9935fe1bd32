/* Placement of waiting tasks.  */

#include "jobs/placer.h"
#include "jobs/placer_private.h"
#include "jobs/placer_waits.h"

#include "base/log.h"
#include "jobs/suspicion.h"
#include "jobs/urgency.h"

/* Share of an executor's processors, in thousandths, that only jobs of the
   first priority may take, so that short work is placed without
   preemption.  */
#define RESERVED_PERMILLE 60
/* A filling task is placed where at least this share, in thousandths, of the
   processors that it requests is unused; with less it waits for a better
   place.  */
#define FILL_PERMILLE 700
/* Longest interval between placement passes: the phases in which a place is
   free of interference last some seconds.  */
#define PASS_INTERVAL (20 * GP_MSEC)

/* A place with no more interference than this is worth moving a throttled run
   to.  */
#define RELOCATE_MAX_INTERFERENCE 0.05
/* A job that has had no run for this long also takes a place with less unused
   processor time, on an executor of which less than half is reserved.  Filling
   work reserves no processors, so only its speed suffers, and an accepted job
   must not be stuck while most of the capacity is free.  */
#define STARVED_TIME (2 * GP_SEC)

/* Returns whether EXECUTOR may get new work, apart from its zone.  */
static bool
is_usable (const gp_job_executor_t *executor, gp_time_t now)
{
  return executor->reachable && !executor->draining && !executor->dead
         && executor->unknown_runs == 0 && now >= executor->distrusted_until
         && now >= executor->full_until;
}

static bool
accepts_work (const gp_job_executor_t *executor, gp_time_t now)
{
  return !executor->evacuated && is_usable (executor, now);
}

static GArray *
find_candidates (const gp_book_t *book, gp_time_t now)
{
  GArray *candidates
      = g_array_new (FALSE, FALSE, sizeof (gp_placer_candidate_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (accepts_work (value, now))
      {
        gp_placer_candidate_t candidate = { .executor = value };

        g_array_append_val (candidates, candidate);
      }
  return candidates;
}

/* Returns the number of tasks of TASK's step and occurrence on EXECUTOR.  */
static uint32_t
count_siblings (const gp_job_executor_t *executor, const gp_job_task_t *task)
{
  uint32_t step = gp_task_step_number (task);
  uint32_t occurrence = gp_task_occurrence (task);
  uint32_t count = 0;

  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *other
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (other->job == task->job && gp_task_step_number (other) == step
        && gp_task_occurrence (other) == occurrence)
      count++;
  }
  return count;
}

bool
gp_placer_has_idled (const gp_job_t *job, gp_time_t time, gp_time_t now)
{
  return job->idle_since != 0 && now - job->idle_since > time;
}

/* Returns whether the filling TASK may get less than its share on
   EXECUTOR.  */
static bool
may_overcommit (const gp_job_executor_t *executor, const gp_job_task_t *task,
                gp_time_t now)
{
  return gp_placer_has_idled (task->job, STARVED_TIME, now)
         && executor->used.cpu_milli * 2 < executor->capacity.cpu_milli;
}

/* Returns the processors of EXECUTOR that TASK, of STEP, has to leave to jobs
   of the first priority.  A task that would leave less on an empty executor
   may take that one: it would fit on no executor of its size otherwise.  */
static int64_t
reserved_cpu (const gp_job_executor_t *executor, const gp_job_task_t *task,
              const Gp__Jobs__Step *step)
{
  int64_t capacity = executor->capacity.cpu_milli;

  if (task->job->submission->priority == 0)
    return 0;
  return MIN (capacity * RESERVED_PERMILLE / 1000,
              MAX (capacity - step->cpu_milli, 0));
}

static bool
has_processors (const gp_job_executor_t *executor, const gp_job_task_t *task,
                const Gp__Jobs__Step *step, gp_time_t now)
{
  if (step->fills)
    return gp_job_executor_spare_cpu (executor)
               >= (int64_t)step->cpu_milli * FILL_PERMILLE / 1000
           || may_overcommit (executor, task, now);
  return executor->used.cpu_milli + step->cpu_milli
             + reserved_cpu (executor, task, step)
         <= executor->capacity.cpu_milli;
}

bool
gp_placer_matches (const gp_job_executor_t *executor,
                   const gp_job_task_t *task, const Gp__Jobs__Step *step)
{
  return g_strcmp0 (executor->service, task->job->submission->service) == 0
         && (*step->required_label == '\0'
             || gp_job_executor_has_label (executor, step->required_label));
}

bool
gp_placer_has_capacity (const gp_job_executor_t *executor,
                        const gp_job_task_t *task, const Gp__Jobs__Step *step,
                        gp_time_t now)
{
  const gp_job_resources_t *capacity = &executor->capacity;
  const gp_job_resources_t *used = &executor->used;

  return used->memory_mb + step->memory_mb <= capacity->memory_mb
         && used->accelerators + step->accelerators <= capacity->accelerators
         && has_processors (executor, task, step, now);
}

bool
gp_placer_within_spread_limit (const gp_job_executor_t *executor,
                               const gp_job_task_t *task,
                               const Gp__Jobs__Step *step)
{
  return step->max_per_executor == 0
         || count_siblings (executor, task) < step->max_per_executor;
}

/* Returns whether TASK, which is not started in isolation, may be placed on
   EXECUTOR as far as the quarantine is concerned.  */
static bool
quarantine_allows (const gp_placer_pass_t *pass,
                   const gp_job_executor_t *executor,
                   const gp_job_task_t *task)
{
  if (gp_placer_needs_quarantine (pass, task))
    return executor->quarantined;
  return !executor->quarantined || !gp_task_step (task)->fills;
}

bool
gp_placer_fits (const gp_job_executor_t *executor, const gp_job_task_t *task,
                const Gp__Jobs__Step *step, gp_time_t now)
{
  return gp_placer_matches (executor, task, step)
         && gp_placer_has_capacity (executor, task, step, now)
         && gp_suspicion_allows (executor, task, now)
         && gp_placer_within_spread_limit (executor, task, step);
}

static gp_placer_candidate_t *
choose (gp_placer_pass_t *pass, gp_job_task_t *task)
{
  const Gp__Jobs__Step *step = gp_task_step (task);
  gp_placer_candidate_t *best = NULL;
  int64_t best_score = INT64_MIN;

  gp_suspicion_begin_wait (task, pass->now);
  if (gp_placer_needs_quarantine (pass, task))
    return gp_placer_choose_quarantined (pass, task);
  if (gp_placer_needs_isolation (pass, task))
    return gp_placer_choose_isolated (pass, task);
  for (guint i = 0; i < pass->candidates->len; i++)
    {
      gp_placer_candidate_t *candidate
          = &g_array_index (pass->candidates, gp_placer_candidate_t, i);
      int64_t points;

      if (!gp_placer_fits (candidate->executor, task, step, pass->now)
          || !quarantine_allows (pass, candidate->executor, task))
        continue;
      points = gp_placer_score (pass, candidate, task, step);
      if (gp_placer_is_better (candidate, points, best, best_score))
        {
          best = candidate;
          best_score = points;
        }
    }
  return best;
}

static void
assign (gp_placer_pass_t *pass, gp_job_task_t *task,
        gp_placer_candidate_t *candidate, uint32_t run)
{
  const Gp__Jobs__Step *step = gp_task_step (task);
  gp_job_t *job = task->job;

  task->run = run;
  task->ordered_at = pass->now;
  task->throttled_since = 0;
  gp_task_set_state (task, GP_TASK_ASSIGNED);
  gp_job_executor_add (candidate->executor, task);
  if (gp_placer_needs_quarantine (pass, task))
    gp_suspicion_dedicate_until (candidate->executor, job,
                                 pass->now + GP_QUARANTINE_DEDICATION_TIME);
  else if (gp_placer_needs_isolation (pass, task))
    gp_suspicion_dedicate (candidate->executor, task, pass->now);
  gp_suspicion_note_assigned (task, pass->now);
  gp_start_rates_note (&candidate->executor->start_rates,
                       job->submission->queue, pass->now);
  if (gp_job_executor_is_measured_by (task))
    gp_executor_speed_note_assigned (&candidate->executor->speed, pass->now);
  if (step->fills && candidate->fillings_counted)
    gp_placer_add_filling (pass, candidate, step->image);
  job->idle_since = 0;
  g_ptr_array_add (pass->placed, task);
}

/* Returns whether TASK would be placed if no availability zone were
   evacuated.  */
static bool
waits_for_zone (const gp_placer_pass_t *pass, const gp_job_task_t *task)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pass->book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_executor_t *executor = value;

      if (executor->evacuated && is_usable (executor, pass->now)
          && gp_placer_fits (executor, task, gp_task_step (task), pass->now))
        return true;
    }
  return false;
}

/* TASK found no place: records since when its job has work but no run.  */
static void
note_idle (const gp_placer_pass_t *pass, const gp_job_task_t *task)
{
  gp_job_t *job = task->job;

  if (job->idle_since != 0 || gp_job_has_run (job))
    return;
  job->idle_since = pass->now;
  if (waits_for_zone (pass, task))
    gp_log (GP_LOG_INFO, "job.waits", GP_LOG_S ("job", job->id),
            GP_LOG_S ("why", "zone evacuated"));
}

/* Assigns the waiting tasks of a step one by one until one finds no place.
   The later tasks need the same, so they are skipped.  A task that needs an
   isolated start or waits for a stray run to end does not stop the others.  */
static void
assign_each (gp_placer_pass_t *pass, gp_job_task_t *first, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      gp_placer_candidate_t *candidate;

      if (first[i].state != GP_TASK_WAITING)
        continue;
      if (gp_job_executor_has_stray (&first[i]))
        {
          gp_placer_note_unplaced (pass, &first[i]);
          continue;
        }
      candidate = choose (pass, &first[i]);
      if (candidate == NULL)
        gp_placer_note_unplaced (pass, &first[i]);
      if (candidate == NULL
          && gp_suspicion_needs_isolation (&first[i], pass->now))
        continue;
      if (candidate == NULL)
        {
          note_idle (pass, &first[i]);
          return;
        }
      assign (pass, &first[i], candidate, first[i].run + 1);
      gp_placer_clear_wait (&first[i]);
    }
}

/* Cancels the assignment of TASK; an executor that was dedicated to it remains
   so.  */
static void
withdraw_one (const gp_placer_pass_t *pass, gp_job_task_t *task)
{
  gp_job_executor_t *executor = task->executor;

  gp_job_executor_remove (executor, task);
  gp_task_set_state (task, GP_TASK_WAITING);
  if (gp_placer_needs_isolation (pass, task))
    gp_suspicion_dedicate (executor, task, pass->now);
}

static void
withdraw (gp_placer_pass_t *pass, gp_job_task_t *first, uint32_t count,
          uint32_t *runs)
{
  for (uint32_t i = 0; i < count; i++)
    {
      withdraw_one (pass, &first[i]);
      first[i].run = runs[i];
      g_ptr_array_set_size (pass->placed, (gint)pass->placed->len - 1);
    }
}

/* All members resume from the same point, the checkpoint of the first member
   that has one: the scheduler keeps the newest on the first of all.  */
static void
share_checkpoint (gp_job_task_t *first, uint32_t count)
{
  const char *checkpoint = NULL;

  for (uint32_t i = 0; i < count && checkpoint == NULL; i++)
    checkpoint = first[i].checkpoint;
  for (uint32_t i = 0; i < count; i++)
    if (first[i].checkpoint != checkpoint)
      {
        g_free (first[i].checkpoint);
        first[i].checkpoint = g_strdup (checkpoint);
      }
}

/* Assigns all members of a gang under one run number, or none.  */
static void
assign_gang (gp_placer_pass_t *pass, gp_job_task_t *first, uint32_t count)
{
  uint32_t *runs = g_new (uint32_t, count);
  uint32_t run = 0;
  uint32_t placed = 0;
  bool waiting = true;
  const gp_job_task_t *held = NULL;

  for (uint32_t i = 0; i < count; i++)
    {
      runs[i] = first[i].run;
      run = MAX (run, first[i].run + 1);
      waiting = waiting && first[i].state == GP_TASK_WAITING;
      if (gp_job_executor_has_stray (&first[i]))
        held = &first[i];
      gp_suspicion_begin_wait (&first[i], pass->now);
    }
  if (waiting)
    share_checkpoint (first, count);
  for (; waiting && held == NULL && placed < count; placed++)
    {
      gp_placer_candidate_t *candidate = choose (pass, &first[placed]);

      if (candidate == NULL)
        break;
      assign (pass, &first[placed], candidate, run);
    }
  if (placed < count)
    withdraw (pass, first, placed, runs);
  if (waiting && placed < count)
    gp_placer_note_unplaced (pass, held != NULL ? held : &first[placed]);
  if (waiting && placed == count)
    gp_placer_clear_wait (first);
  g_free (runs);
}

/* Returns whether a task of the step may find a place, for a job of which no
   task is known: its tasks are made only then.  */
static bool
may_find_place (gp_placer_pass_t *pass, gp_job_t *job, uint32_t occurrence,
                uint32_t step)
{
  gp_job_task_t probe;

  gp_task_init (&probe, job, gp_job_step_index (job, occurrence, step));
  if (gp_book_has_room_for_tasks (pass->book, job)
      && choose (pass, &probe) != NULL)
    return true;
  gp_placer_note_unplaced (pass, &probe);
  if (!job->submission->steps[step]->gang)
    note_idle (pass, &probe);
  return false;
}

static void
assign_step (gp_placer_pass_t *pass, gp_job_t *job, uint32_t occurrence,
             uint32_t step)
{
  const Gp__Jobs__Step *definition = job->submission->steps[step];
  gp_job_task_t *first;

  if (job->tasks == NULL && !may_find_place (pass, job, occurrence, step))
    return;
  first = gp_job_step_tasks (job, occurrence, step);
  if (definition->gang)
    assign_gang (pass, first, definition->count);
  else
    assign_each (pass, first, definition->count);
}

static void
assign_job (gp_placer_pass_t *pass, gp_job_t *job, int64_t wall_ms)
{
  size_t steps = job->submission->n_steps;

  for (uint32_t k = 0; k < job->occurrences; k++)
    for (uint32_t s = 0; s < steps; s++)
      if (gp_job_tallies (job, k)[s].waiting > 0
          && gp_job_step_ready (job, k, s, wall_ms))
        assign_step (pass, job, k, s);
}

/* Marks the jobs of the placed tasks as started.  Excluded are gangs that were
   withdrawn, tasks on executors that are down, and jobs whose starts were
   refused.  */
static void
mark_jobs_started (const GPtrArray *placed)
{
  for (guint i = 0; i < placed->len; i++)
    {
      const gp_job_task_t *task = g_ptr_array_index (placed, i);

      if (!task->executor->down && !task->job->awaits_begin)
        gp_job_mark_started (task->job);
    }
}

bool
gp_placer_has_better_place (gp_book_t *book, gp_pressure_t *pressure,
                            gp_quarantine_t *quarantine,
                            const gp_job_task_t *task, gp_time_t now)
{
  const Gp__Jobs__Step *step = gp_task_step (task);
  gp_placer_pass_t pass = {
    .book = book, .pressure = pressure, .quarantine = quarantine, .now = now
  };
  bool found = false;

  pass.candidates = find_candidates (book, now);
  for (guint i = 0; i < pass.candidates->len && !found; i++)
    {
      gp_placer_candidate_t *candidate
          = &g_array_index (pass.candidates, gp_placer_candidate_t, i);

      found = candidate->executor != task->executor
              && gp_placer_fits (candidate->executor, task, step, now)
              && quarantine_allows (&pass, candidate->executor, task)
              && gp_placer_interference (&pass, candidate, step->image)
                     <= RELOCATE_MAX_INTERFERENCE;
    }
  g_array_free (pass.candidates, TRUE);
  return found;
}

gp_time_t
gp_placer_assign (gp_book_t *book, gp_pressure_t *pressure,
                  const gp_forecast_t *forecast, gp_quarantine_t *quarantine,
                  gp_time_t now, int64_t wall_ms, GPtrArray *placed)
{
  gp_placer_pass_t pass = { .book = book,
                            .pressure = pressure,
                            .now = now,
                            .quarantine = quarantine,
                            .placed = placed };
  GArray *jobs;

  gp_quarantine_choose_executors (quarantine, book, now);
  pass.candidates = find_candidates (book, now);
  if (pass.candidates->len == 0)
    gp_placer_note_all_unplaced (&pass, wall_ms);
  else
    {
      jobs = gp_urgency_rank (book, forecast, now);
      for (guint i = 0; i < jobs->len; i++)
        assign_job (&pass, g_array_index (jobs, gp_ranked_job_t, i).job,
                    wall_ms);
      g_array_free (jobs, TRUE);
    }
  mark_jobs_started (placed);
  g_array_free (pass.candidates, TRUE);
  return now + PASS_INTERVAL;
}

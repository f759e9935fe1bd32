/* A job, its steps and its tasks.  */

#include "jobs/job.h"

#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "jobs/fields.h"

/* What the allocator adds to a block, and the number of blocks of a step, in
   which its entries in arrays by step are included.  */
#define BLOCK_SIZE ((size_t)32)
#define STEP_BLOCKS 6
/* A usual checkpoint of a task, which is kept as text.  */
#define TASK_TEXT 32

gp_job_t *
gp_job_new (const char *id)
{
  gp_job_t *job = g_new0 (gp_job_t, 1);

  g_strlcpy (job->id, id, sizeof job->id);
  gp_list_init (&job->link);
  gp_list_init (&job->dirty_link);
  return job;
}

static void
free_tasks (gp_job_t *job)
{
  for (uint32_t i = 0; i < job->known_tasks; i++)
    {
      gp_list_remove (&job->tasks[i].on_executor);
      g_free (job->tasks[i].checkpoint);
    }
  g_clear_pointer (&job->tasks, g_free);
  job->known_tasks = 0;
}

static void
free_steps (gp_job_t *job)
{
  g_free (job->tallies);
  g_free (job->task_times);
  g_free (job->loads);
  g_free (job->step_start);
}

void
gp_job_free (gp_job_t *job)
{
  gp_list_remove (&job->link);
  gp_list_remove (&job->dirty_link);
  free_tasks (job);
  free_steps (job);
  gp_job_set_costs (job, (gp_job_costs_t){ 0 });
  if (job->submission != NULL)
    gp__jobs__submission__free_unpacked (job->submission, NULL);
  if (job->early_progress != NULL)
    gp__jobs__progress__free_unpacked (job->early_progress, NULL);
  g_free (job);
}

bool
gp_job_id_valid (const char *text, size_t size)
{
  if (size != GP_JOB_ID_SIZE)
    return false;
  for (size_t i = 0; i < size; i++)
    if (!g_ascii_isxdigit (text[i]))
      return false;
  return true;
}

static bool
check_names (const Gp__Jobs__Step *step, GError **error)
{
  return gp_field_name_or_empty (step->required_label, "required_label", error)
         && gp_field_name_or_empty (step->preferred_rack, "preferred_rack",
                                    error)
         && gp_field_name_or_empty (step->image, "image", error);
}

static bool
check_step (const Gp__Jobs__Submission *submission, size_t number,
            GError **error)
{
  const Gp__Jobs__Step *step = submission->steps[number];

  if (step->count == 0)
    {
      g_set_error (error, GP_STATE_ERROR, GP_STATE_ERROR_INVALID,
                   "steps[%zu]: it has no tasks", number);
      return false;
    }
  for (size_t i = 0; i < step->n_after; i++)
    if (step->after[i] >= number)
      {
        g_set_error (error, GP_STATE_ERROR, GP_STATE_ERROR_INVALID,
                     "steps[%zu]: waits for step %u, which is not an "
                     "earlier one",
                     number, step->after[i]);
        return false;
      }
  if (step->count > GP_JOB_MAX_TASKS)
    {
      g_set_error (error, GP_STATE_ERROR, GP_STATE_ERROR_INVALID,
                   "steps[%zu]: %u tasks, allowed are %d", number, step->count,
                   GP_JOB_MAX_TASKS);
      return false;
    }
  if (check_names (step, error))
    return true;
  g_prefix_error (error, "steps[%zu].", number);
  return false;
}

/* Limits times so that later additions and multiplications cannot
   overflow.  */
static bool
check_times (const Gp__Jobs__Submission *submission, GError **error)
{
  if (submission->repeats > 0
      && (!gp_field_range (submission->first_wall_ms, 0, GP_FIELD_WALL_MAX_MS,
                           "first_wall_ms", error)
          || !gp_field_range (submission->interval_ms, 0,
                              GP_FIELD_WALL_MAX_MS / GP_JOB_MAX_TASKS,
                              "interval_ms", error)))
    return false;
  return gp_field_range (submission->accepted_wall_ms, 0, GP_FIELD_WALL_MAX_MS,
                         "accepted_wall_ms", error)
         && gp_field_range (submission->stretch_percent, 0,
                            GP_JOB_MAX_STRETCH_PERCENT, "stretch_percent",
                            error);
}

bool
gp_job_check (const Gp__Jobs__Submission *submission, GError **error)
{
  uint64_t tasks = 0;
  uint64_t occurrences = MAX (submission->repeats, 1);

  if (submission->n_steps == 0 || submission->n_steps > GP_JOB_MAX_STEPS)
    {
      g_set_error (error, GP_STATE_ERROR, GP_STATE_ERROR_INVALID,
                   "%zu steps, allowed are 1 to %d", submission->n_steps,
                   GP_JOB_MAX_STEPS);
      return false;
    }
  for (size_t i = 0; i < submission->n_steps; i++)
    {
      if (!check_step (submission, i, error))
        return false;
      tasks += submission->steps[i]->count;
    }
  if (tasks * occurrences > GP_JOB_MAX_TASKS)
    {
      g_set_error (error, GP_STATE_ERROR, GP_STATE_ERROR_INVALID,
                   "%" G_GUINT64_FORMAT " tasks, allowed are %d",
                   tasks * occurrences, GP_JOB_MAX_TASKS);
      return false;
    }
  return gp_field_name (submission->queue, "queue", error)
         && gp_field_name (submission->service, "service", error)
         && gp_field_text (&submission->spec, GP_FIELD_SPEC_MAX, "spec", error)
         && check_times (submission, error);
}

size_t
gp_job_cost (const Gp__Jobs__Submission *submission)
{
  size_t occurrences = MAX (submission->repeats, 1);
  size_t cost = sizeof (gp_job_t) + sizeof *submission + submission->spec.len
                + BLOCK_SIZE;

  for (size_t i = 0; i < submission->n_steps; i++)
    {
      const Gp__Jobs__Step *step = submission->steps[i];

      cost += sizeof *step + strlen (step->required_label)
              + strlen (step->preferred_rack) + strlen (step->image)
              + step->n_after * sizeof *step->after + STEP_BLOCKS * BLOCK_SIZE
              + occurrences * sizeof (gp_step_tally_t);
    }
  return cost;
}

size_t
gp_job_tasks_cost (const gp_job_t *job)
{
  return job->task_count * (sizeof (gp_job_task_t) + TASK_TEXT);
}

size_t
gp_job_undefined_cost (void)
{
  return sizeof (gp_job_t) + 2 * BLOCK_SIZE;
}

void
gp_job_set_costs (gp_job_t *job, gp_job_costs_t costs)
{
  gp_job_costs_t *total = job->total;

  if (total != NULL)
    {
      total->submissions += costs.submissions - job->costs.submissions;
      total->cancellations += costs.cancellations - job->costs.cancellations;
      total->tasks += costs.tasks - job->costs.tasks;
    }
  job->costs = costs;
}

static void
set_tasks_cost (gp_job_t *job, size_t tasks)
{
  gp_job_costs_t costs = job->costs;

  costs.tasks = tasks;
  gp_job_set_costs (job, costs);
}

/* Sets the tallies of a job whose tasks all wait.  */
static void
reset_tallies (gp_job_t *job)
{
  size_t steps = job->submission->n_steps;

  for (size_t i = 0; i < job->occurrences * steps; i++)
    job->tallies[i]
        = (gp_step_tally_t){ .waiting
                             = job->submission->steps[i % steps]->count };
  job->done_count = 0;
}

void
gp_task_init (gp_job_task_t *task, gp_job_t *job, uint32_t index)
{
  *task = (gp_job_task_t){ .job = job, .index = index };
  gp_list_init (&task->on_executor);
}

void
gp_job_make_tasks (gp_job_t *job)
{
  if (job->tasks != NULL)
    return;
  job->tasks = g_new (gp_job_task_t, job->task_count);
  job->known_tasks = job->task_count;
  for (uint32_t i = 0; i < job->task_count; i++)
    gp_task_init (&job->tasks[i], job, i);
  set_tasks_cost (job, gp_job_tasks_cost (job));
}

void
gp_job_forget_tasks (gp_job_t *job)
{
  if (job->tasks == NULL)
    return;
  free_tasks (job);
  set_tasks_cost (job, 0);
  reset_tallies (job);
}

gp_job_task_t *
gp_job_task (gp_job_t *job, uint32_t index)
{
  gp_job_make_tasks (job);
  return &job->tasks[index];
}

static void
make_steps (gp_job_t *job)
{
  const Gp__Jobs__Submission *submission = job->submission;
  size_t steps = submission->n_steps;

  job->occurrences = MAX (submission->repeats, 1);
  job->step_start = g_new0 (uint32_t, steps);
  for (size_t i = 0; i < steps; i++)
    {
      job->step_start[i] = job->tasks_per_occurrence;
      job->tasks_per_occurrence += submission->steps[i]->count;
    }
  job->task_count = job->tasks_per_occurrence * job->occurrences;
  job->tallies = g_new0 (gp_step_tally_t, job->occurrences * steps);
  job->task_times = g_new0 (gp_time_t, steps);
  job->loads = g_new0 (gp_headroom_t, steps);
  reset_tallies (job);
}

bool
gp_job_define (gp_job_t *job, Gp__Jobs__Submission *submission,
               gp_time_t submitted_at)
{
  if (job->submission != NULL || !gp_job_check (submission, NULL))
    return false;
  job->submission = submission;
  job->submitted_at = submitted_at;
  job->undefined_wall_ms = 0;
  make_steps (job);
  gp_job_set_costs (
      job, (gp_job_costs_t){ .submissions = gp_job_cost (submission) });
  return true;
}

bool
gp_job_is_readable (const gp_job_t *job)
{
  return !job->submission_unreadable && !job->progress_unknown;
}

bool
gp_job_mark_started (gp_job_t *job)
{
  bool waited = job->state == GP_JOB_QUEUED;

  job->started = true;
  job->awaits_begin = false;
  if (waited)
    job->state = GP_JOB_RUNNING;
  return waited;
}

bool
gp_job_ended (const gp_job_t *job)
{
  return job->state >= GP_JOB_COMPLETED;
}

bool
gp_job_has_run (const gp_job_t *job)
{
  for (uint32_t i = 0; i < job->known_tasks; i++)
    if (job->tasks[i].executor != NULL)
      return true;
  return false;
}

bool
gp_job_end_is_recorded (const gp_job_t *job)
{
  return job->recorded >= GP_JOB_COMPLETED;
}

bool
gp_job_ended_before (const gp_job_t *job, int64_t wall_ms)
{
  return gp_job_end_is_recorded (job) && job->ended_wall_ms < wall_ms;
}

uint32_t
gp_task_occurrence (const gp_job_task_t *task)
{
  return task->index / task->job->tasks_per_occurrence;
}

uint32_t
gp_task_step_number (const gp_job_task_t *task)
{
  const gp_job_t *job = task->job;
  uint32_t within = task->index % job->tasks_per_occurrence;
  uint32_t step = (uint32_t)job->submission->n_steps - 1;

  while (job->step_start[step] > within)
    step--;
  return step;
}

const Gp__Jobs__Step *
gp_task_step (const gp_job_task_t *task)
{
  return task->job->submission->steps[gp_task_step_number (task)];
}

uint32_t
gp_job_step_index (const gp_job_t *job, uint32_t occurrence, uint32_t step)
{
  return occurrence * job->tasks_per_occurrence + job->step_start[step];
}

gp_job_task_t *
gp_job_step_tasks (gp_job_t *job, uint32_t occurrence, uint32_t step)
{
  return gp_job_task (job, gp_job_step_index (job, occurrence, step));
}

uint32_t
gp_task_siblings (const gp_job_task_t *task, gp_job_task_t **first)
{
  uint32_t step = gp_task_step_number (task);

  *first = NULL;
  if (task->job->tasks == NULL)
    return 0;
  *first = gp_job_step_tasks (task->job, gp_task_occurrence (task), step);
  return task->job->submission->steps[step]->count;
}

gp_step_tally_t *
gp_job_tallies (const gp_job_t *job, uint32_t occurrence)
{
  return &job->tallies[(size_t)occurrence * job->submission->n_steps];
}

gp_step_tally_t *
gp_task_tally (const gp_job_task_t *task)
{
  return gp_job_tallies (task->job, gp_task_occurrence (task))
         + gp_task_step_number (task);
}

void
gp_task_name (const gp_job_task_t *task, char name[GP_TASK_NAME_SIZE])
{
  const gp_job_t *job = task->job;
  uint32_t step = gp_task_step_number (task);
  uint32_t within = task->index % job->tasks_per_occurrence;

  snprintf (name, GP_TASK_NAME_SIZE, "%s.%u.%u.%u", job->id,
            gp_task_occurrence (task), step, within - job->step_start[step]);
}

bool
gp_job_step_ready (const gp_job_t *job, uint32_t occurrence, uint32_t step,
                   int64_t wall_ms)
{
  const Gp__Jobs__Submission *submission = job->submission;
  const Gp__Jobs__Step *definition = submission->steps[step];
  const gp_step_tally_t *tallies = gp_job_tallies (job, occurrence);

  if (submission->repeats > 0
      && wall_ms < submission->first_wall_ms
                       + (int64_t)occurrence * submission->interval_ms)
    return false;
  for (size_t i = 0; i < definition->n_after; i++)
    {
      uint32_t earlier = definition->after[i];

      if (tallies[earlier].done < submission->steps[earlier]->count)
        return false;
    }
  return true;
}

gp_time_t
gp_job_occurrence_at (const gp_job_t *job, uint32_t occurrence)
{
  const Gp__Jobs__Submission *submission = job->submission;
  int64_t after_ms;

  if (submission->repeats == 0)
    return job->submitted_at;
  after_ms = submission->first_wall_ms
             + (int64_t)occurrence * submission->interval_ms
             - submission->accepted_wall_ms;
  return job->submitted_at + after_ms * GP_MSEC;
}

void
gp_task_set_state (gp_job_task_t *task, gp_task_state_t state)
{
  gp_step_tally_t *tally = gp_task_tally (task);

  if (task->state == GP_TASK_WAITING)
    tally->waiting--;
  if (task->state == GP_TASK_DONE)
    {
      tally->done--;
      task->job->done_count--;
    }
  task->state = state;
  if (state == GP_TASK_WAITING)
    tally->waiting++;
  if (state == GP_TASK_DONE)
    {
      tally->done++;
      task->job->done_count++;
    }
}

void
gp_task_set_throttled (gp_job_task_t *task, bool throttled, gp_time_t now)
{
  if (!throttled && task->throttled_since != 0)
    task->job->delays.throttled += now - task->throttled_since;
  if (!throttled)
    task->throttled_since = 0;
  else if (task->throttled_since == 0)
    task->throttled_since = now;
}

const char *
gp_job_state_name (gp_job_state_t state)
{
  switch (state)
    {
    case GP_JOB_QUEUED:
      return "queued";
    case GP_JOB_RUNNING:
      return "running";
    case GP_JOB_COMPLETED:
      return "completed";
    case GP_JOB_FAILED:
      return "failed";
    case GP_JOB_CANCELLED:
      return "cancelled";
    }
  return "unknown";
}

const char *
gp_end_name (gp_end_t how)
{
  switch (how)
    {
    case GP_END_DONE:
      return "done";
    case GP_END_FAILED:
      return "failed";
    case GP_END_STOPPED:
      return "stopped";
    case GP_END_LAPSED:
      return "lapsed";
    case GP_END_BROKEN:
      return "broken";
    case GP_END_ALONE:
      return "alone";
    }
  return "unknown";
}

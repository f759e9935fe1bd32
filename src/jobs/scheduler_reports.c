/* Applies what guards report of the runs on their executors.  */

#include "jobs/scheduler_private.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"
#include "jobs/suspicion.h"

/* An order is carried out, and known to the guard's next report, within this
   time.  */
#define ORDER_TIME (300 * GP_MSEC)

static gp_counter_t stray_runs_count = GP_COUNTER (
    "runs_stray_total", "Runs at work that are not wanted where they are");

static gp_counter_t unknown_runs_count
    = GP_COUNTER ("runs_unknown_total",
                  "Executors found with runs at work whose job is not known");

static gp_counter_t queued_again_count = GP_COUNTER (
    "jobs_queued_again_total", "Jobs that wait again, as no run has begun");

void
gp_scheduler_register_reports (void)
{
  gp_counter_register (&queued_again_count);
  gp_counter_register (&stray_runs_count);
  gp_counter_register (&unknown_runs_count);
}

/* Returns the task whose current run on EXECUTOR is RUN, or NULL.  */
static gp_job_task_t *
task_of_run (gp_scheduler_t *scheduler, const gp_job_executor_t *executor,
             const Gp__Jobs__TaskRun *run)
{
  gp_job_task_t *task = gp_book_task (scheduler->book, run->task);

  if (task == NULL || task->executor != executor || task->run != run->run)
    return NULL;
  return task;
}

void
gp_scheduler_move_run (gp_scheduler_t *scheduler, gp_job_executor_t *before,
                       gp_job_executor_t *next, const char *name, uint32_t run)
{
  const Gp__Jobs__TaskRun row = { .task = (char *)name, .run = run };
  gp_job_task_t *task = task_of_run (scheduler, before, &row);

  if (task == NULL)
    return;
  gp_log (GP_LOG_INFO, "run.carried", GP_LOG_S ("task", name),
          GP_LOG_I ("run", run), GP_LOG_S ("executor", next->id),
          GP_LOG_I ("born_ms", next->born_ms));
  gp_job_executor_remove (before, task);
  gp_job_executor_add (next, task);
}

static void
record_stray (gp_job_executor_t *executor, gp_job_task_t *task,
              const Gp__Jobs__TaskRun *run)
{
  bool known = task->stray_on == executor
               && task->stray_report + 1 == executor->reports;

  task->stray_on = executor;
  task->stray_report = executor->reports;
  gp_job_executor_add_stray (executor, gp_task_step (task));
  if (known || gp_job_ended (task->job))
    return;
  gp_counter_add (&stray_runs_count, 1);
  gp_log (
      GP_LOG_INFO, "run.stray", GP_LOG_S ("task", run->task),
      GP_LOG_I ("run", run->run), GP_LOG_I ("last_run", task->run),
      GP_LOG_S ("executor", executor->id),
      GP_LOG_I ("born_ms", executor->born_ms),
      GP_LOG_S ("task_on", task->executor != NULL ? task->executor->id : ""));
}

/* EXECUTOR is reported for the first time to have a run, RUN, of a job that is
   not known.  */
static void
log_unknown (const gp_job_executor_t *executor, const Gp__Jobs__TaskRun *run)
{
  gp_counter_add (&unknown_runs_count, 1);
  gp_log (GP_LOG_WARNING, "run.unknown", GP_LOG_S ("task", run->task),
          GP_LOG_I ("run", run->run), GP_LOG_S ("executor", executor->id));
}

void
gp_scheduler_note_strays (gp_scheduler_t *scheduler,
                          gp_job_executor_t *executor,
                          Gp__Jobs__TaskRun *const *runs, size_t count)
{
  bool had_unknown = executor->unknown_runs > 0;

  executor->reports++;
  gp_job_executor_clear_strays (executor);
  for (size_t i = 0; i < count; i++)
    {
      gp_job_task_t *task = gp_book_task (scheduler->book, runs[i]->task);

      if (task == NULL)
        {
          gp_job_executor_add_stray (executor, NULL);
          if (!had_unknown && executor->unknown_runs == 1)
            log_unknown (executor, runs[i]);
        }
      else if (task->executor != executor || task->run != runs[i]->run)
        record_stray (executor, task, runs[i]);
    }
}

void
gp_scheduler_note_settled (gp_scheduler_t *scheduler,
                           gp_job_executor_t *executor,
                           Gp__Jobs__TaskRun *const *runs, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      gp_job_task_t *task = task_of_run (scheduler, executor, runs[i]);

      if (task == NULL)
        continue;
      gp_scheduler_note_begun (scheduler, task->job);
      if (gp_suspicion_clear (task))
        gp_scheduler_mark_dirty (scheduler, task->job);
    }
}

void
gp_scheduler_note_unconfirmed (gp_scheduler_t *scheduler,
                               const gp_job_executor_t *executor,
                               Gp__Jobs__TaskRun *const *runs, size_t count,
                               gp_time_t now)
{
  for (size_t i = 0; i < count; i++)
    {
      gp_job_task_t *task = task_of_run (scheduler, executor, runs[i]);

      if (task != NULL)
        task->unconfirmed_at = now;
    }
}

/* Returns whether the current run of TASK is one of the COUNT RUNS.  */
static bool
is_current_run_of (const gp_job_task_t *task, Gp__Jobs__TaskRun *const *runs,
                   size_t count)
{
  char name[GP_TASK_NAME_SIZE];

  gp_task_name (task, name);
  for (size_t i = 0; i < count; i++)
    if (runs[i]->run == task->run && strcmp (runs[i]->task, name) == 0)
      return true;
  return false;
}

void
gp_scheduler_note_unsynced (const gp_job_executor_t *executor,
                            Gp__Jobs__TaskRun *const *runs, size_t count,
                            gp_time_t now)
{
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    gp_job_task_t *task = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (!is_current_run_of (task, runs, count))
      task->unconfirmed_at = now;
  }
}

void
gp_scheduler_clear_suspects (gp_job_executor_t *executor)
{
  executor->suspects_reported = false;
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    gp_suspicion_discard_report (
        GP_CONTAINER_OF (link, gp_job_task_t, on_executor));
  }
}

/* Returns whether no report of TASK's guard shows that its run has begun: none
   has come since its start may have been carried out, or the last one told
   that it had not been answered.  Of a run that a previous leader has assigned
   it is not known what that leader was told.  */
static bool
is_unconfirmed (const gp_job_task_t *task)
{
  gp_time_t reported_at = task->executor->reported_at;

  if (task->ordered_at == 0)
    return false;
  return reported_at <= task->ordered_at + ORDER_TIME
         || task->unconfirmed_at == reported_at;
}

/* Returns whether the run of TASK may not have started: its start was refused,
   or its guard is gone and has not shown that it has, or its executor is down
   and its start was not answered or, if its guard does not name it as a
   suspect although it has not settled, was not sent.  */
static bool
may_not_have_started (const gp_job_task_t *task)
{
  if (task->refused)
    return true;
  if (!task->executor->reachable && is_unconfirmed (task))
    return true;
  return task->executor->down
         && (task->suspect ? task->unanswered : !task->settled);
}

/* Returns whether nothing shows that a task of JOB has ever run.  */
static bool
may_not_have_begun (const gp_job_t *job)
{
  if (job->has_begun)
    return false;
  for (uint32_t i = 0; i < job->known_tasks; i++)
    {
      const gp_job_task_t *task = &job->tasks[i];

      if (task->state == GP_TASK_DONE || task->failures > 0
          || task->checkpoint != NULL
          || (task->executor != NULL && !may_not_have_started (task)))
        return false;
    }
  return true;
}

/* JOB waits again because of WHY.  */
static void
queue_again (gp_scheduler_t *scheduler, gp_job_t *job, const char *why)
{
  if (!job->started)
    return;
  gp_counter_add (&queued_again_count, 1);
  gp_log (GP_LOG_INFO, "job.queued_again", GP_LOG_S ("job", job->id),
          GP_LOG_S ("why", why));
  job->started = false;
  job->state = GP_JOB_QUEUED;
  gp_scheduler_mark_dirty (scheduler, job);
}

void
gp_scheduler_withdraw_starts (gp_scheduler_t *scheduler,
                              const gp_job_executor_t *executor)
{
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    gp_job_t *job = GP_CONTAINER_OF (link, gp_job_task_t, on_executor)->job;

    if (!gp_job_ended (job) && may_not_have_begun (job))
      queue_again (scheduler, job, "its executors are down");
  }
}

/* JOB waits again because of WHY, until a report shows that a run of it has
   begun, unless one may have already.  */
static void
await_begin (gp_scheduler_t *scheduler, gp_job_t *job, const char *why)
{
  if (gp_job_ended (job) || !may_not_have_begun (job))
    return;
  job->awaits_begin = true;
  queue_again (scheduler, job, why);
}

void
gp_scheduler_await_begin (gp_scheduler_t *scheduler, gp_job_t *job)
{
  await_begin (scheduler, job, "its start was refused");
}

void
gp_scheduler_guard_lost (gp_scheduler_t *scheduler,
                         gp_job_executor_t *executor)
{
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    await_begin (scheduler, task->job, "its guard is gone");
    executor->has_unconfirmed
        = executor->has_unconfirmed || task->job->awaits_begin;
  }
}

void
gp_scheduler_note_confirmed (gp_scheduler_t *scheduler,
                             gp_job_executor_t *executor, gp_time_t now)
{
  if (!executor->has_unconfirmed)
    return;
  executor->has_unconfirmed = false;
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (!task->job->awaits_begin)
      continue;
    /* A run that is being stopped is not named, and may not have begun.  */
    if (task->state != GP_TASK_ASSIGNED || task->refused
        || task->unconfirmed_at == now || now <= task->ordered_at + ORDER_TIME)
      executor->has_unconfirmed = true;
    else
      gp_scheduler_note_begun (scheduler, task->job);
  }
}

void
gp_scheduler_note_refused (gp_scheduler_t *scheduler,
                           const gp_job_executor_t *executor,
                           Gp__Jobs__TaskRun *const *runs, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      gp_job_task_t *task = task_of_run (scheduler, executor, runs[i]);

      if (task == NULL)
        continue;
      task->refused = true;
      gp_scheduler_await_begin (scheduler, task->job);
    }
}

void
gp_scheduler_note_begun (gp_scheduler_t *scheduler, gp_job_t *job)
{
  job->has_begun = true;
  if (!job->awaits_begin || gp_job_ended (job))
    return;
  gp_job_mark_started (job);
  gp_scheduler_mark_dirty (scheduler, job);
}

void
gp_scheduler_executor_up (gp_scheduler_t *scheduler,
                          gp_job_executor_t *executor, gp_time_t now)
{
  if (executor->down_at != 0)
    gp_log (GP_LOG_INFO, "executor.up", GP_LOG_S ("executor", executor->id),
            GP_LOG_I ("runs", executor->task_count),
            GP_LOG_I ("down_ms", (now - executor->down_at) / GP_MSEC),
            GP_LOG_I ("born_ms", executor->born_ms),
            GP_LOG_I ("counted", executor->failure_id != 0));
  executor->down = false;
  executor->down_at = 0;
  /* Another incarnation has an object of its own, so this one has not
     crashed.  */
  gp_scheduler_withdraw_failure (scheduler, executor, now);
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (!gp_job_ended (task->job) && !task->job->awaits_begin
        && gp_job_mark_started (task->job))
      gp_scheduler_mark_dirty (scheduler, task->job);
  }
}

void
gp_scheduler_note_suspects (gp_scheduler_t *scheduler,
                            gp_job_executor_t *executor,
                            Gp__Jobs__TaskRun *const *runs, size_t count)
{
  executor->suspects_reported = true;
  for (size_t i = 0; i < count; i++)
    {
      gp_job_task_t *task = task_of_run (scheduler, executor, runs[i]);

      if (task == NULL)
        continue;
      task->suspect = true;
      task->fresh = runs[i]->fresh;
      task->just = runs[i]->just;
      task->age_ms = runs[i]->age_ms;
      task->max_age_ms = runs[i]->max_age_ms;
      task->unanswered = runs[i]->unanswered;
      task->timed = runs[i]->timed;
      task->alone = task->alone || runs[i]->alone;
    }
}

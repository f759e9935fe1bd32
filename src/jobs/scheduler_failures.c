/* Failures of executors as evidence against the queues whose runs had just
   begun there; see jobs/quarantine.h.  */

#include "jobs/scheduler_private.h"

#include <string.h>

#include "base/log.h"
#include "jobs/suspicion.h"

/* A start is answered within this time by an executor that is up.  */
#define START_ANSWER_TIME (10 * GP_MSEC)

/* What had just begun on an executor when it failed.  */
typedef struct
{
  const char *queue;   /* of the runs that may have just begun, NULL: there are
                          none */
  const gp_job_t *job; /* of one of them */
  bool several_queues;
  bool several_jobs;
  bool known;      /* some are of tasks that are suspects already */
  unsigned just;   /* number of those that had just begun, if they had
                      begun at all */
  unsigned begun;  /* number of those of which a start was answered */
  uint32_t age_ms; /* at most, of the youngest of these */
} fresh_runs_t;

static fresh_runs_t
find_fresh_runs (const gp_job_executor_t *executor)
{
  fresh_runs_t fresh = { .age_ms = UINT32_MAX };

  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);
    const char *queue = task->job->submission->queue;

    if (!gp_suspicion_may_have_just_started (task))
      continue;
    if (fresh.queue != NULL && strcmp (fresh.queue, queue) != 0)
      fresh.several_queues = true;
    if (fresh.job != NULL && fresh.job != task->job)
      fresh.several_jobs = true;
    fresh.queue = queue;
    fresh.job = task->job;
    fresh.known = fresh.known || task->crashes > 0;
    if (!task->just)
      continue;
    fresh.just++;
    if (task->age_ms == 0)
      continue;
    fresh.begun++;
    fresh.age_ms = MIN (fresh.age_ms, task->max_age_ms);
  }
  return fresh;
}

/* Returns the probability that a run of the queue of FRESH would have begun on
   EXECUTOR as recently before a random moment near FAILED_AT; 1 if it is not
   known how recently.  A start that was not answered tells nothing of an
   executor that may answer again: where starts are frequent, one is nearly
   always the first call that finds it down.  One that has DIED closes its
   connections at that moment, so that the start was on its way then.  */
static double
chance_of (const gp_job_executor_t *executor, const fresh_runs_t *fresh,
           bool died, gp_time_t failed_at)
{
  gp_time_t age = START_ANSWER_TIME;
  gp_time_t since
      = executor->reported_since != 0 ? executor->reported_since : failed_at;

  if (fresh->just == 0 || (fresh->begun == 0 && !died))
    return 1.0;
  if (fresh->begun > 0)
    age = (fresh->age_ms + 1) * GP_MSEC; /* given in whole milliseconds */
  return gp_start_rates_chance (&executor->start_rates, fresh->queue, age,
                                since, failed_at);
}

static void
log_failure (const gp_job_executor_t *executor, const fresh_runs_t *fresh,
             double chance, bool together)
{
  gp_log (GP_LOG_INFO, "executor.down", GP_LOG_S ("executor", executor->id),
          GP_LOG_I ("runs", executor->task_count),
          GP_LOG_I ("just", fresh->just),
          GP_LOG_I ("age_ms", fresh->begun > 0 ? (int64_t)fresh->age_ms : -1),
          GP_LOG_S ("queue", fresh->queue != NULL ? fresh->queue : ""),
          GP_LOG_I ("several", fresh->several_queues),
          GP_LOG_I ("known", fresh->known),
          GP_LOG_I ("chance_ppm", (int64_t)(chance * 1e6)),
          GP_LOG_I ("together", together));
}

void
gp_scheduler_withdraw_failure (gp_scheduler_t *scheduler,
                               gp_job_executor_t *executor, gp_time_t now)
{
  if (executor->failure_id != 0)
    gp_quarantine_withdraw_failure (&scheduler->quarantine,
                                    executor->failure_id, now);
  executor->failure_id = 0;
}

/* Returns whether the failure of EXECUTOR, when FRESH had just begun, tells
   something of queues.  Of suspects that start beside others, each is judged
   by itself.  A guard that is not synced may not know of a run, so that it is
   not certain that nothing had just begun.  */
static bool
tells_of_queues (const gp_job_executor_t *executor, const fresh_runs_t *fresh)
{
  if (fresh->queue == NULL)
    return executor->reachable;
  return !fresh->several_queues && !(fresh->known && fresh->several_jobs);
}

/* The question is how many tasks of a queue crash executors.  So of several
   failures at which the same task had just begun, only the last counts, that
   of EXECUTOR.  */
static void
discard_earlier_failures (gp_scheduler_t *scheduler,
                          const gp_job_executor_t *executor, gp_time_t now)
{
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    gp_job_task_t *task = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (!gp_suspicion_may_have_just_started (task))
      continue;
    if (task->failure_id != 0 && task->failure_id != executor->failure_id)
      gp_quarantine_withdraw_failure (&scheduler->quarantine, task->failure_id,
                                      now);
    task->failure_id = executor->failure_id;
  }
}

void
gp_scheduler_count_failure (gp_scheduler_t *scheduler,
                            gp_job_executor_t *executor, bool known, bool died,
                            bool together, gp_time_t now)
{
  fresh_runs_t fresh = find_fresh_runs (executor);
  gp_time_t failed_at = executor->down_at != 0 ? executor->down_at : now;
  double chance = chance_of (executor, &fresh, died, failed_at);

  if (!known)
    log_failure (executor, &fresh, chance, together);
  if (together || !tells_of_queues (executor, &fresh))
    {
      gp_scheduler_withdraw_failure (scheduler, executor, now);
      return;
    }
  if (executor->vm == 0)
    executor->vm = gp_quarantine_add_vm (&scheduler->quarantine);
  executor->failure_id = gp_quarantine_record_failure (
      &scheduler->quarantine, scheduler->book,
      &(gp_executor_failure_t){ .id = executor->failure_id,
                                .vm = executor->vm,
                                .at = failed_at,
                                .queue = fresh.queue,
                                .chance = chance },
      now);
  discard_earlier_failures (scheduler, executor, now);
}

/* Where tasks are started that are under suspicion, or whose queue is.  */

#include "jobs/placer_private.h"

#include <string.h>

#include "jobs/suspicion.h"

bool
gp_placer_is_better (const gp_placer_candidate_t *candidate, int64_t points,
                     const gp_placer_candidate_t *best, int64_t best_points)
{
  if (points != best_points || best == NULL)
    return points > best_points;
  return strcmp (candidate->executor->id, best->executor->id) < 0;
}

/* Is TASK of a queue that is under suspicion?  */
static bool
is_of_suspects (const gp_placer_pass_t *pass, const gp_job_task_t *task)
{
  return gp_quarantine_is_suspect (pass->quarantine,
                                   task->job->submission->queue, pass->now);
}

bool
gp_placer_wants_alone (const gp_placer_pass_t *pass, const gp_job_task_t *task)
{
  const gp_job_task_t *first;
  uint32_t step = gp_task_step_number (task);

  if (!gp_task_step (task)->gang)
    return gp_suspicion_wants_alone (task, pass->now);
  first = gp_job_step_tasks (task->job, gp_task_occurrence (task), step);
  for (uint32_t i = 0; i < task->job->submission->steps[step]->count; i++)
    if (gp_suspicion_wants_alone (&first[i], pass->now))
      return true;
  return false;
}

bool
gp_placer_wants_quarantine (const gp_placer_pass_t *pass,
                            const gp_job_task_t *task)
{
  if (!gp_quarantine_is_active (pass->quarantine, pass->now))
    return false;
  if (gp_placer_wants_alone (pass, task))
    return !gp_suspicion_is_strong (task);
  return is_of_suspects (pass, task);
}

/* May one more executor be kept for the suspect TASK?  The suspects of a job
   share one, but for those of a gang, which start together.  */
static bool
may_keep_one (const gp_placer_pass_t *pass, const gp_job_task_t *task)
{
  guint kept = 0;

  for (guint i = 0; i < pass->candidates->len; i++)
    {
      const gp_job_executor_t *executor
          = g_array_index (pass->candidates, gp_placer_candidate_t, i)
                .executor;

      if (gp_suspicion_is_kept_for (executor, task->job, pass->now))
        return gp_task_step (task)->gang;
      kept += !executor->quarantined
              && gp_suspicion_is_kept (executor, pass->now);
    }
  return kept < MAX (pass->candidates->len / GP_SUSPICION_SHARE, 1);
}

/* Of the executors in quarantine, of those that are kept for TASK's job, and
   where it may be ELSEWHERE of all others: one that is kept, or else the one
   with the least to lose.  */
static gp_placer_candidate_t *
least_at_stake (const gp_placer_pass_t *pass, const gp_job_task_t *task,
                bool elsewhere)
{
  const Gp__Jobs__Step *step = gp_task_step (task);
  gp_placer_candidate_t *best = NULL;
  int64_t best_points = INT64_MIN;

  for (guint i = 0; i < pass->candidates->len; i++)
    {
      gp_placer_candidate_t *candidate
          = &g_array_index (pass->candidates, gp_placer_candidate_t, i);
      gp_job_executor_t *executor = candidate->executor;
      bool kept = gp_suspicion_is_kept_for (executor, task->job, pass->now);
      int64_t points;

      if (executor->down || (!kept && !executor->quarantined && !elsewhere)
          || !gp_placer_fits (executor, task, step, pass->now))
        continue;
      points = kept ? INT64_MAX : -gp_suspicion_at_stake (executor, pass->now);
      if (gp_placer_is_better (candidate, points, best, best_points))
        {
          best = candidate;
          best_points = points;
        }
    }
  return best;
}

gp_placer_candidate_t *
gp_placer_choose_alone (const gp_placer_pass_t *pass, gp_job_task_t *task)
{
  gp_placer_candidate_t *best
      = least_at_stake (pass, task, may_keep_one (pass, task));

  if (best == NULL || gp_suspicion_is_quiet (best->executor, pass->now))
    return best;
  gp_suspicion_keep (best->executor, task, pass->now);
  return NULL;
}

gp_placer_candidate_t *
gp_placer_choose_quarantined (const gp_placer_pass_t *pass,
                              const gp_job_task_t *task)
{
  gp_placer_candidate_t *best = least_at_stake (pass, task, false);

  if (best == NULL && is_of_suspects (pass, task))
    gp_quarantine_record_waiting (pass->quarantine,
                                  task->job->submission->queue, pass->now);
  return best;
}

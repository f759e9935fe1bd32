/* Places suspect tasks and the tasks of suspect queues.  */

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

/* Returns whether TASK belongs to a suspect queue.  */
static bool
is_of_suspect_queue (const gp_placer_pass_t *pass, const gp_job_task_t *task)
{
  return gp_quarantine_is_suspect (pass->quarantine,
                                   task->job->submission->queue, pass->now);
}

bool
gp_placer_needs_isolation (const gp_placer_pass_t *pass,
                           const gp_job_task_t *task)
{
  gp_job_task_t *first;
  uint32_t count;

  if (!gp_task_step (task)->gang)
    return gp_suspicion_needs_isolation (task, pass->now);
  count = gp_task_siblings (task, &first);
  for (uint32_t i = 0; i < count; i++)
    if (gp_suspicion_needs_isolation (&first[i], pass->now))
      return true;
  return false;
}

bool
gp_placer_needs_quarantine (const gp_placer_pass_t *pass,
                            const gp_job_task_t *task)
{
  if (!gp_quarantine_is_active (pass->quarantine, pass->now))
    return false;
  if (gp_placer_needs_isolation (pass, task))
    return !gp_suspicion_is_strong (task);
  return is_of_suspect_queue (pass, task);
}

/* Returns whether one more executor may be dedicated to the suspect TASK.  The
   suspects of a job share one, except those of a gang, which start
   together.  */
static bool
may_dedicate_one (const gp_placer_pass_t *pass, const gp_job_task_t *task)
{
  guint dedicated = 0;

  for (guint i = 0; i < pass->candidates->len; i++)
    {
      const gp_job_executor_t *executor
          = g_array_index (pass->candidates, gp_placer_candidate_t, i)
                .executor;

      if (gp_suspicion_is_dedicated_to (executor, task->job, pass->now))
        return gp_task_step (task)->gang;
      dedicated
          += !executor->quarantined
             && gp_suspicion_is_dedicated (executor, pass->now)
             && !gp_suspicion_is_dedicated_to_group (executor, pass->now);
    }
  return dedicated
         < gp_placer_dedicated_max (pass, GP_SUSPICION_DEDICATED_SHARE);
}

/* Returns whether TASK, if it is a filling one, would cause more interference
   on CANDIDATE than it may.  A suspect that is to be isolated takes any
   place.  */
static bool
does_harm (const gp_placer_pass_t *pass, gp_placer_candidate_t *candidate,
           const gp_job_task_t *task, const Gp__Jobs__Step *step)
{
  return step->fills && !gp_placer_needs_isolation (pass, task)
         && gp_placer_score (pass, candidate, task, step) == INT64_MIN;
}

/* Chooses among the executors in quarantine, those dedicated to TASK's job
   and, if ELSEWHERE is set, all others: a dedicated one, or else the one with
   the least work to lose.  */
static gp_placer_candidate_t *
choose_least_work_at_risk (const gp_placer_pass_t *pass,
                           const gp_job_task_t *task, bool elsewhere)
{
  const Gp__Jobs__Step *step = gp_task_step (task);
  gp_placer_candidate_t *best = NULL;
  int64_t best_points = INT64_MIN;

  for (guint i = 0; i < pass->candidates->len; i++)
    {
      gp_placer_candidate_t *candidate
          = &g_array_index (pass->candidates, gp_placer_candidate_t, i);
      gp_job_executor_t *executor = candidate->executor;
      bool dedicated
          = gp_suspicion_is_dedicated_to (executor, task->job, pass->now);
      int64_t points;

      if (executor->down
          || (!dedicated && !executor->quarantined && !elsewhere)
          || !gp_placer_fits (executor, task, step, pass->now)
          || does_harm (pass, candidate, task, step))
        continue;
      points = dedicated ? INT64_MAX
                         : -gp_suspicion_work_at_risk (executor, pass->now);
      if (gp_placer_is_better (candidate, points, best, best_points))
        {
          best = candidate;
          best_points = points;
        }
    }
  return best;
}

gp_placer_candidate_t *
gp_placer_choose_isolated (gp_placer_pass_t *pass, gp_job_task_t *task)
{
  gp_placer_candidate_t *best;

  if (gp_placer_starts_in_group (pass, task))
    return gp_placer_choose_in_group (pass, task);
  best = choose_least_work_at_risk (pass, task, may_dedicate_one (pass, task));
  if (best == NULL
      || gp_suspicion_has_no_recent_starts (best->executor, pass->now))
    return best;
  gp_suspicion_dedicate (best->executor, task, pass->now);
  return NULL;
}

gp_placer_candidate_t *
gp_placer_choose_quarantined (const gp_placer_pass_t *pass,
                              const gp_job_task_t *task)
{
  gp_placer_candidate_t *best = choose_least_work_at_risk (pass, task, false);

  if (best == NULL && is_of_suspect_queue (pass, task))
    gp_quarantine_record_waiting (pass->quarantine,
                                  task->job->submission->queue, pass->now);
  return best;
}

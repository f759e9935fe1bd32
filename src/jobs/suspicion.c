/* Which task takes its executors down.  */

#include "jobs/suspicion.h"

gp_time_t
gp_suspicion_settle_time (bool gang)
{
  return GP_SUSPICION_SETTLE_TIME + (gang ? GP_SUSPICION_GANG_TIME : 0);
}

gp_time_t
gp_suspicion_fresh_time (bool gang)
{
  return GP_SUSPICION_FRESH_TIME + (gang ? GP_SUSPICION_GANG_TIME : 0);
}

/* For how long this process knows the run of TASK to have been there, at
   least.  A run that a leader before assigned counts from the first report of
   its executor on.  */
static gp_time_t
known_time (const gp_job_task_t *task)
{
  const gp_job_executor_t *executor = task->executor;

  return executor->reported_at - MAX (task->since, executor->reported_since);
}

/* May the run of TASK have taken its executor down, by what its guard told or,
   where that said nothing, by what this process knows?  */
static bool
is_suspect (const gp_job_task_t *task)
{
  if (task->executor->suspects_told || task->settled)
    return task->suspect && !task->settled;
  return task->executor->reported_at == 0
         || known_time (task)
                < gp_suspicion_settle_time (gp_task_step (task)->gang);
}

bool
gp_suspicion_clear (gp_job_task_t *task)
{
  bool changed = task->crashes > 0;

  task->settled = true;
  task->crashes = 0;
  if (task->executor != NULL && task->executor->watched == task)
    task->executor->watched = NULL;
  return changed;
}

/* Do the executors that have gone down under TASK, the last one with BEGINNERS
   on it, speak against it alone?  An executor may also go down by itself, some
   time after a start or just before.  */
static bool
is_guilty (const gp_job_task_t *task, unsigned beginners)
{
  return task->crashes >= GP_SUSPICION_MOST
         || (task->crashes >= GP_SUSPICION_PROVEN && task->alone && task->fresh
             && beginners == 1);
}

unsigned
gp_suspicion_beginners (const gp_job_executor_t *executor)
{
  unsigned beginners = 0;

  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    beginners += task->suspect && !task->settled
                 && (task->fresh || task->unanswered);
  }
  return beginners;
}

gp_suspicion_t
gp_suspicion_crashed (gp_job_task_t *task, unsigned beginners)
{
  if (!is_suspect (task))
    return GP_SUSPICION_NONE;
  task->alone_since = 0;
  task->crashes++;
  return is_guilty (task, beginners) ? GP_SUSPICION_GUILTY
                                     : GP_SUSPICION_COUNTED;
}

void
gp_suspicion_forget_run (gp_job_task_t *task)
{
  task->settled = false;
  task->suspect = false;
  task->fresh = false;
  task->unanswered = false;
  task->alone = false;
}

void
gp_suspicion_waits (gp_job_task_t *task, gp_time_t now)
{
  if (task->crashes >= GP_SUSPICION_ISOLATED && task->alone_since == 0)
    task->alone_since = now;
}

/* Its patience begins when it can be assigned: suspects that lose theirs while
   the store is away would go to one executor, and down with it.  */
bool
gp_suspicion_wants_alone (const gp_job_task_t *task, gp_time_t now)
{
  gp_time_t patience = gp_task_step (task)->long_running
                           ? GP_SUSPICION_LASTING_PATIENCE
                           : GP_SUSPICION_PATIENCE;

  return task->crashes >= GP_SUSPICION_ISOLATED && task->alone_since != 0
         && now - task->alone_since <= patience;
}

/* Has all that is on EXECUTOR begun for certain?  What a leader before has
   assigned is older than the first report to this one.  */
static bool
is_quiet (const gp_job_executor_t *executor, gp_time_t now)
{
  return executor->task_count == 0
         || now - MAX (executor->assigned_at, executor->reported_since)
                >= GP_SUSPICION_BEGIN_TIME;
}

bool
gp_suspicion_is_kept (const gp_job_executor_t *executor, gp_time_t now)
{
  return executor->watched != NULL && now < executor->kept_until;
}

bool
gp_suspicion_admits (const gp_job_executor_t *executor,
                     const gp_job_task_t *task, gp_time_t now)
{
  if (gp_suspicion_is_kept (executor, now))
    return false;
  return !gp_suspicion_wants_alone (task, now) || is_quiet (executor, now);
}

void
gp_suspicion_assigned (gp_job_task_t *task, gp_time_t now)
{
  gp_job_executor_t *executor = task->executor;

  executor->assigned_at = now;
  gp_suspicion_forget_run (task);
  task->alone = gp_suspicion_wants_alone (task, now);
  if (!task->alone)
    return;
  executor->watched = task;
  executor->kept_until = now
                         + gp_suspicion_settle_time (gp_task_step (task)->gang)
                         + GP_SUSPICION_KEEP_TIME;
}

/* Detects tasks that crash the executors they run on.  */

#include "jobs/suspicion.h"

#include <string.h>

/* Assumed loss for a long-running run, or for a run assigned by a previous
   leader: the time until such work is running again.  */
#define LASTING_LOSS_TIME (5 * GP_SEC)

gp_time_t
gp_suspicion_settle_time (bool gang)
{
  return GP_SUSPICION_SETTLE_TIME + (gang ? GP_SUSPICION_GANG_TIME : 0);
}

/* Returns the minimum time for which this process knows the run of TASK to
   have been present.  A run assigned by a previous leader counts from the
   first report about its executor.  */
static gp_time_t
known_time (const gp_job_task_t *task)
{
  const gp_job_executor_t *executor = task->executor;

  return executor->reported_at - MAX (task->since, executor->reported_since);
}

bool
gp_suspicion_is_beginner (const gp_job_task_t *task)
{
  return task->suspect && !task->settled && (task->fresh || task->unanswered);
}

/* Like gp_suspicion_is_beginner, but if the guard reported no suspects,
   decides by what this process knows.  An isolated run may have started long
   after it was assigned; only its guard can report that it has settled.  */
static bool
is_suspect (const gp_job_task_t *task)
{
  if (task->executor->suspects_told || task->settled)
    return gp_suspicion_is_beginner (task);
  if (task->alone)
    return true;
  return task->executor->reported_at == 0
         || known_time (task)
                < gp_suspicion_settle_time (gp_task_step (task)->gang);
}

bool
gp_suspicion_clear (gp_job_task_t *task)
{
  bool changed = task->crashes > 0;

  task->settled = true;
  task->excused = false;
  task->crashes = 0;
  task->evidence = 0;
  task->alone = false;
  if (task->executor != NULL)
    gp_job_executor_end_keep (task->executor, task->job);
  return changed;
}

const gp_job_t *
gp_suspicion_sole_job (const gp_job_executor_t *executor)
{
  const gp_job_t *job = NULL;

  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (!gp_suspicion_is_beginner (task))
      continue;
    if (job != NULL && job != task->job)
      return NULL;
    job = task->job;
  }
  return job;
}

/* Returns whether the guard of TASK's executor disappeared just after TASK was
   ordered.  Guard and executor share a VM, so the loss of the guard indicates
   when the executor died if no guard is left to report it.  */
static bool
went_with_guard (const gp_job_task_t *task)
{
  gp_time_t cut_at = task->executor->cut_at;

  return task->since != 0 && cut_at >= task->since
         && cut_at - task->since <= GP_SUSPICION_JUST_TIME;
}

/* Returns the evidence that the death of the executor adds against TASK, which
   may have just started.  */
static uint32_t
weight (const gp_job_task_t *task, const gp_job_t *sole_job)
{
  bool sole = sole_job == task->job;

  if (task->alone && !task->executor->suspects_told)
    return went_with_guard (task) ? GP_SUSPICION_PROOF : GP_SUSPICION_HINT;
  if (sole && (task->just || (task->fresh && task->alone && !task->timed)))
    return GP_SUSPICION_PROOF;
  if (sole && task->fresh)
    return GP_SUSPICION_HINT;
  return task->alone && sole ? GP_SUSPICION_HINT : 0;
}

gp_suspicion_t
gp_suspicion_crashed (gp_job_task_t *task, const gp_job_t *sole_job)
{
  if (!is_suspect (task))
    return GP_SUSPICION_NONE;
  task->alone_since = 0;
  task->crashes = MIN (task->crashes + 1, GP_SUSPICION_MOST);
  task->evidence
      = MIN (task->evidence + weight (task, sole_job), GP_SUSPICION_GUILT);
  return task->evidence == GP_SUSPICION_GUILT ? GP_SUSPICION_GUILTY
                                              : GP_SUSPICION_COUNTED;
}

gp_suspicion_t
gp_suspicion_crashed_together (gp_job_task_t *task, const gp_job_t *sole_job)
{
  if (task->alone || task->excused)
    return gp_suspicion_crashed (task, sole_job);
  task->excused = is_suspect (task);
  return GP_SUSPICION_NONE;
}

void
gp_suspicion_forget_told (gp_job_task_t *task)
{
  task->suspect = false;
  task->fresh = false;
  task->just = false;
  task->age_ms = 0;
  task->unanswered = false;
  task->timed = false;
}

void
gp_suspicion_forget_run (gp_job_task_t *task)
{
  gp_suspicion_forget_told (task);
  task->settled = false;
  task->alone = false;
  task->held = false;
}

/* Returns whether TASK has to be started in isolation.  A task with a single
   crash that shared its executor with other recently started runs, known only
   from the executor's lists, does not yet qualify: executors that crash for
   reasons of their own leave many such tasks behind.  */
static bool
is_isolated (const gp_job_task_t *task)
{
  bool by_lists = task->fresh && !task->just;

  return task->evidence > 0 || task->crashes > 1
         || (task->crashes == 1 && !by_lists);
}

/* The isolation timeout starts when the task can be assigned.  If it expired
   while the store is unavailable, the suspects would all go to one executor
   and crash it together.  */
void
gp_suspicion_waits (gp_job_task_t *task, gp_time_t now)
{
  if (is_isolated (task) && task->alone_since == 0)
    task->alone_since = now;
}

void
gp_suspicion_put_off (gp_job_task_t *task, gp_time_t decided_at, gp_time_t now)
{
  if (task->state == GP_TASK_WAITING && task->alone_since != 0)
    task->alone_since += now - MAX (decided_at, task->alone_since);
}

bool
gp_suspicion_is_strong (const gp_job_task_t *task)
{
  return task->evidence > 0 || task->crashes >= GP_SUSPICION_PATIENT;
}

/* Returns the time until which TASK waits for an isolated start.  A gang needs
   several executors at once, and two gangs may each hold some that the other
   needs, so its wait is bounded.  */
static gp_time_t
patient_until (const gp_job_task_t *task)
{
  const Gp__Jobs__Step *step = gp_task_step (task);

  if (gp_suspicion_is_strong (task))
    return step->gang ? task->alone_since + GP_SUSPICION_GANG_PATIENCE
                      : GP_TIME_NEVER;
  return task->alone_since
         + (step->long_running ? GP_SUSPICION_LASTING_PATIENCE
                               : GP_SUSPICION_PATIENCE);
}

bool
gp_suspicion_wants_alone (const gp_job_task_t *task, gp_time_t now)
{
  return is_isolated (task) && task->alone_since != 0
         && now <= patient_until (task);
}

/* Returns the time until which EXECUTOR is dedicated.  A dedication made by a
   previous leader counts from the first report to this leader.  */
static gp_time_t
kept_until (const gp_job_executor_t *executor)
{
  if (executor->kept_until != 0)
    return executor->kept_until;
  return executor->reported_since == 0
             ? GP_TIME_NEVER
             : executor->reported_since + GP_SUSPICION_SETTLE_TIME
                   + GP_SUSPICION_KEEP_TIME;
}

bool
gp_suspicion_is_kept (const gp_job_executor_t *executor, gp_time_t now)
{
  return *executor->kept_for != '\0' && now < kept_until (executor);
}

bool
gp_suspicion_is_kept_for (const gp_job_executor_t *executor,
                          const gp_job_t *job, gp_time_t now)
{
  return gp_suspicion_is_kept (executor, now)
         && strcmp (executor->kept_for, job->id) == 0;
}

bool
gp_suspicion_admits (const gp_job_executor_t *executor,
                     const gp_job_task_t *task, gp_time_t now)
{
  return !gp_suspicion_is_kept (executor, now)
         || gp_suspicion_is_kept_for (executor, task->job, now);
}

/* Returns whether every run on EXECUTOR, except those of the job it is
   dedicated to, has certainly started.  What a previous leader assigned is
   older than the first report to this leader.  */
bool
gp_suspicion_is_quiet (const gp_job_executor_t *executor, gp_time_t now)
{
  return executor->task_count == 0
         || now - MAX (executor->assigned_at, executor->reported_since)
                >= GP_SUSPICION_BEGIN_TIME;
}

static void
keep_until (gp_job_executor_t *executor, const gp_job_t *job, gp_time_t until)
{
  g_strlcpy (executor->kept_for, job->id, sizeof executor->kept_for);
  executor->kept_until = until;
}

void
gp_suspicion_folded (gp_job_task_t *task, bool alone)
{
  task->alone = alone;
  if (alone)
    keep_until (task->executor, task->job, 0);
}

void
gp_suspicion_keep (gp_job_executor_t *executor, const gp_job_task_t *task,
                   gp_time_t now)
{
  if (!gp_suspicion_is_kept (executor, now))
    keep_until (executor, task->job, now + GP_SUSPICION_QUIET_TIME);
}

void
gp_suspicion_keep_for (gp_job_executor_t *executor, const gp_job_t *job,
                       gp_time_t until)
{
  bool kept = strcmp (executor->kept_for, job->id) == 0;

  keep_until (executor, job, kept ? MAX (until, executor->kept_until) : until);
}

int64_t
gp_suspicion_at_stake (const gp_job_executor_t *executor, gp_time_t now)
{
  int64_t sum = 0;

  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);
    const Gp__Jobs__Step *step = gp_task_step (task);
    gp_time_t worked = now - task->since;

    if (step->long_running || task->since == 0)
      worked = LASTING_LOSS_TIME;
    sum += worked / GP_MSEC * step->cpu_milli;
  }
  return sum / MAX (executor->capacity.cpu_milli, 1);
}

/* A run of JOB has been assigned to EXECUTOR: runs of other jobs there are no
   longer isolated.  */
static void
end_alone (gp_job_executor_t *executor, const gp_job_t *job)
{
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    gp_job_task_t *other = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (other->job != job)
      other->alone = false;
  }
}

/* Dedicates the executor of TASK, whose isolated start is ordered at NOW,
   until the run has settled.  */
static void
keep_for_start (const gp_job_task_t *task, gp_time_t now)
{
  keep_until (task->executor, task->job,
              now + gp_suspicion_settle_time (gp_task_step (task)->gang)
                  + GP_SUSPICION_KEEP_TIME);
}

void
gp_suspicion_assigned (gp_job_task_t *task, gp_time_t now)
{
  gp_job_executor_t *executor = task->executor;

  gp_suspicion_forget_run (task);
  end_alone (executor, task->job);
  task->alone = gp_suspicion_wants_alone (task, now);
  if (task->alone)
    keep_for_start (task, now);
  else if (!gp_suspicion_is_kept_for (executor, task->job, now))
    executor->assigned_at = now;
}

/* Marks the runs that are held at the guard until the isolated run ALONE has
   settled, and ALONE itself: they may have started long after they were
   assigned.  */
static void
note_held (gp_job_executor_t *executor, const gp_job_task_t *alone)
{
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    gp_job_task_t *task = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    task->held = task->held || task->since >= alone->since;
  }
}

void
gp_suspicion_goes_on (gp_job_executor_t *executor, gp_time_t now)
{
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (!task->alone || task->settled)
      continue;
    gp_suspicion_keep_for (executor, task->job,
                           now + GP_SUSPICION_SETTLE_TIME);
    note_held (executor, task);
  }
}

void
gp_suspicion_ordered (gp_job_executor_t *executor, gp_time_t decided_at,
                      gp_time_t now)
{
  if (executor->assigned_at >= decided_at)
    executor->assigned_at = now;
  /* The dedication period started at the time of the decision.  */
  if (executor->kept_until > decided_at)
    executor->kept_until += now - decided_at;
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    gp_job_task_t *task = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (task->since < decided_at)
      continue;
    task->since = now;
    if (task->alone)
      keep_for_start (task, now);
  }
}

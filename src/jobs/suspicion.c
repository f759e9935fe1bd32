/* Which task takes its executors down.  */

#include "jobs/suspicion.h"

#include <string.h>

/* The loss of a run that lasts, or of one that another leader has assigned: as
   long as it takes until such work is back.  */
#define LASTING_LOSS_TIME (5 * GP_SEC)

gp_time_t
gp_suspicion_settle_time (bool gang)
{
  return GP_SUSPICION_SETTLE_TIME + (gang ? GP_SUSPICION_GANG_TIME : 0);
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

bool
gp_suspicion_is_beginner (const gp_job_task_t *task)
{
  return task->suspect && !task->settled && (task->fresh || task->unanswered);
}

/* The same, or where its guard said nothing, by what this process knows.  A
   run that is alone may have begun long after it was assigned; its guard tells
   when it has settled.  */
static bool
is_suspect (const gp_job_task_t *task)
{
  if (task->executor->suspects_reported || task->settled)
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
    gp_job_executor_end_dedication (task->executor, task->job);
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

/* Did the guard of TASK's executor go just after TASK was ordered?  They share
   a VM, so that the executor's end is told by that where no guard is left to
   tell it.  */
static bool
went_with_guard (const gp_job_task_t *task)
{
  gp_time_t disconnected_at = task->executor->disconnected_at;

  return task->since != 0 && disconnected_at >= task->since
         && disconnected_at - task->since <= GP_SUSPICION_JUST_TIME;
}

/* What the end of its executor adds to the evidence against TASK, which may
   have begun just then.  */
static uint32_t
weight (const gp_job_task_t *task, const gp_job_t *sole_job)
{
  bool sole = sole_job == task->job;

  if (task->alone && !task->executor->suspects_reported)
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

/* Is TASK to be started alone?  Not yet one that stood beside others under the
   end of one executor, by the lists alone: executors that go down by
   themselves leave many such behind.  */
static bool
is_isolated (const gp_job_task_t *task)
{
  bool by_lists = task->fresh && !task->just;

  return task->evidence > 0 || task->crashes > 1
         || (task->crashes == 1 && !by_lists);
}

/* Its patience begins when it can be assigned: suspects that lose theirs while
   the store is away would go to one executor, and down with it.  */
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

/* Until when TASK waits to be started alone.  A gang needs several executors
   at once, and two gangs may keep some of each other's.  */
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

/* Until when EXECUTOR is kept.  What a leader before has kept counts from the
   first report to this one on.  */
static gp_time_t
dedicated_until (const gp_job_executor_t *executor)
{
  if (executor->dedicated_until != 0)
    return executor->dedicated_until;
  return executor->reported_since == 0
             ? GP_TIME_NEVER
             : executor->reported_since + GP_SUSPICION_SETTLE_TIME
                   + GP_SUSPICION_KEEP_TIME;
}

bool
gp_suspicion_is_kept (const gp_job_executor_t *executor, gp_time_t now)
{
  return *executor->dedicated_to != '\0' && now < dedicated_until (executor);
}

bool
gp_suspicion_is_kept_for (const gp_job_executor_t *executor,
                          const gp_job_t *job, gp_time_t now)
{
  return gp_suspicion_is_kept (executor, now)
         && strcmp (executor->dedicated_to, job->id) == 0;
}

bool
gp_suspicion_admits (const gp_job_executor_t *executor,
                     const gp_job_task_t *task, gp_time_t now)
{
  return !gp_suspicion_is_kept (executor, now)
         || gp_suspicion_is_kept_for (executor, task->job, now);
}

/* Has all that is there, but for the job that it is kept for, begun for
   certain?  What a leader before has assigned is older than the first report
   to this one.  */
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
  g_strlcpy (executor->dedicated_to, job->id, sizeof executor->dedicated_to);
  executor->dedicated_until = until;
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
  bool kept = strcmp (executor->dedicated_to, job->id) == 0;

  keep_until (executor, job,
              kept ? MAX (until, executor->dedicated_until) : until);
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

/* A run of JOB has been assigned to EXECUTOR: those of others that were alone
   there no longer are.  */
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

/* Keep the executor of TASK, which is ordered alone NOW, until it has
   settled.  */
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

/* What waits for ALONE, which has not settled, and that itself may have begun
   long after they were assigned.  */
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
  /* It was kept for a time that begins with the decision.  */
  if (executor->dedicated_until > decided_at)
    executor->dedicated_until += now - decided_at;
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

/* Detects tasks that crash the executors they run on.  */

#include "jobs/suspicion.h"

#include <string.h>

#include "jobs/correlated_loss.h"

/* Assumed loss for a long-running run, or for a run assigned by a previous
   leader: the time until such work is running again.  */
#define LONG_RUNNING_LOSS_TIME (5 * GP_SEC)

gp_time_t
gp_suspicion_settle_time (bool gang)
{
  return GP_SUSPICION_SETTLE_TIME + (gang ? GP_SUSPICION_GANG_SETTLE_TIME : 0);
}

/* Returns the minimum time for which this process knows the run of TASK to
   have been present.  A run assigned by a previous leader counts from the
   first report about its executor.  A start may go unanswered, or wait for the
   next guard process to be synced, long after its order.  */
static gp_time_t
observed_time (const gp_job_task_t *task)
{
  const gp_job_executor_t *executor = task->executor;
  gp_time_t since = MAX (task->ordered_at, executor->reported_since);

  return executor->reported_at - MAX (since, task->unconfirmed_at);
}

bool
gp_suspicion_may_have_just_started (const gp_job_task_t *task)
{
  return task->suspect && !task->settled && (task->fresh || task->unanswered);
}

/* An isolated run may have started long after it was assigned; only its guard
   can report that it has settled.  */
bool
gp_suspicion_may_be_cause (const gp_job_task_t *task)
{
  if (task->executor->suspects_reported || task->settled)
    return gp_suspicion_may_have_just_started (task);
  if (task->alone)
    return true;
  return task->executor->reported_at == 0
         || observed_time (task)
                < gp_suspicion_settle_time (gp_task_step (task)->gang);
}

bool
gp_suspicion_clear (gp_job_task_t *task)
{
  bool changed = task->crashes > 0;

  task->settled = true;
  task->lost_in_outage = false;
  task->crashes = 0;
  task->evidence = 0;
  task->alone = false;
  task->in_group = false;
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

    if (!gp_suspicion_may_have_just_started (task))
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
guard_lost_after_order (const gp_job_task_t *task)
{
  gp_time_t disconnected_at = task->executor->disconnected_at;

  return task->ordered_at != 0 && disconnected_at >= task->ordered_at
         && disconnected_at - task->ordered_at <= GP_SUSPICION_JUST_TIME;
}

/* Returns the evidence that the death of the executor adds against TASK, which
   was isolated, if no guard tells when the run began or the executor died.
   The guard may have been killed by itself and the executor have died later,
   so such a death is strong evidence only where it does not decide.  */
static uint32_t
evidence_without_report (const gp_job_task_t *task)
{
  bool decides = task->evidence + GP_SUSPICION_STRONG_EVIDENCE
                 >= GP_SUSPICION_EVIDENCE_LIMIT;

  return guard_lost_after_order (task) && !decides
             ? GP_SUSPICION_STRONG_EVIDENCE
             : GP_SUSPICION_WEAK_EVIDENCE;
}

/* Returns the evidence that the death of the executor adds against TASK, which
   may have just started.  */
static uint32_t
added_evidence (const gp_job_task_t *task, const gp_job_t *sole_job)
{
  bool sole = sole_job == task->job;

  if (task->alone && !task->executor->suspects_reported)
    return evidence_without_report (task);
  if (sole && (task->just || (task->fresh && task->alone && !task->timed)))
    return GP_SUSPICION_STRONG_EVIDENCE;
  if (sole && task->fresh)
    return GP_SUSPICION_WEAK_EVIDENCE;
  if (task->in_group)
    return GP_SUSPICION_WEAK_EVIDENCE;
  return task->alone && sole ? GP_SUSPICION_WEAK_EVIDENCE : 0;
}

/* Returns how many crashes the death of the executor adds to those of TASK.
   If TASK's guard reports that it may be the cause, the loss of its previous
   run counts as well that was attributed to an outage: tasks that crash
   executors and guards at the same time look like one.  */
static uint32_t
added_crashes (const gp_job_task_t *task)
{
  return task->lost_in_outage && task->executor->suspects_reported ? 2 : 1;
}

gp_suspicion_t
gp_suspicion_crashed (gp_job_task_t *task, const gp_job_t *sole_job)
{
  if (!gp_suspicion_may_be_cause (task))
    {
      task->lost_in_outage = false;
      return GP_SUSPICION_NONE;
    }
  task->isolation_wait_since = 0;
  task->crashes
      = MIN (task->crashes + added_crashes (task), GP_SUSPICION_MAX_CRASHES);
  task->lost_in_outage
      = task->lost_in_outage && !task->executor->suspects_reported;
  task->evidence = MIN (task->evidence + added_evidence (task, sole_job),
                        GP_SUSPICION_EVIDENCE_LIMIT);
  return task->evidence == GP_SUSPICION_EVIDENCE_LIMIT ? GP_SUSPICION_GIVE_UP
                                                       : GP_SUSPICION_COUNTED;
}

/* The loss of TASK's run adds a crash, up to MAX in all, and no evidence.  */
static gp_suspicion_t
count_crash (gp_job_task_t *task, uint32_t max)
{
  if (!gp_suspicion_may_be_cause (task))
    {
      task->lost_in_outage = false;
      return GP_SUSPICION_NONE;
    }
  task->isolation_wait_since = 0;
  if (task->crashes < max)
    task->crashes++;
  return GP_SUSPICION_COUNTED;
}

/* TASK's executor was lost with its VM.  A task crashes its executor, not the
   VM, so that a repetition tells no more.  */
static gp_suspicion_t
lost_with_vm (gp_job_task_t *task, const gp_job_t *sole_job, gp_time_t now)
{
  if (task->alone && !gp_correlated_loss_is_unstable (task->executor, now))
    return gp_suspicion_crashed (task, sole_job);
  return count_crash (task, 1);
}

/* Returns whether the run of TASK may be the cause of a loss of several
   executors, as LOSS says.  */
static bool
may_explain (const gp_job_task_t *task, gp_loss_t loss, gp_time_t now)
{
  if (task->alone && gp_correlated_loss_is_unstable (task->executor, now))
    return false;
  switch (loss)
    {
    case GP_LOSS_JOB:
      return strcmp (task->job->id, task->executor->loss_job) == 0
             && (task->alone || task->lost_in_outage);
    case GP_LOSS_ISOLATED:
      return task->alone;
    case GP_LOSS_ANY:
      return task->lost_in_outage;
    case GP_LOSS_SINGLE:
    case GP_LOSS_UNHEARD:
    case GP_LOSS_VM:
    case GP_LOSS_OUTAGE:
      break;
    }
  return false;
}

gp_suspicion_t
gp_suspicion_lost (gp_job_task_t *task, gp_loss_t loss,
                   const gp_job_t *sole_job, gp_time_t now)
{
  switch (loss)
    {
    case GP_LOSS_SINGLE:
      return gp_suspicion_crashed (task, sole_job);
    case GP_LOSS_UNHEARD:
      if (task->alone || task->in_group)
        return gp_suspicion_crashed (task, sole_job);
      return count_crash (task, GP_SUSPICION_STRONG_CRASHES);
    case GP_LOSS_VM:
      return lost_with_vm (task, sole_job, now);
    case GP_LOSS_JOB:
    case GP_LOSS_ISOLATED:
    case GP_LOSS_ANY:
    case GP_LOSS_OUTAGE:
      break;
    }
  if (may_explain (task, loss, now))
    return gp_suspicion_crashed (task, sole_job);
  task->lost_in_outage = gp_suspicion_may_be_cause (task);
  return GP_SUSPICION_NONE;
}

void
gp_suspicion_discard_report (gp_job_task_t *task)
{
  task->suspect = false;
  task->fresh = false;
  task->just = false;
  task->age_ms = 0;
  task->max_age_ms = 0;
  task->unanswered = false;
  task->timed = false;
}

void
gp_suspicion_reset_run (gp_job_task_t *task)
{
  gp_suspicion_discard_report (task);
  task->settled = false;
  task->alone = false;
  task->in_group = false;
  task->may_start_late = false;
  task->unconfirmed_at = 0;
  task->refused = false;
}

/* Returns whether TASK has to be started in isolation.  A task with a single
   crash that shared its executor with other recently started runs, known only
   from the executor's lists, does not yet qualify: executors that crash for
   reasons of their own leave many such tasks behind.  */
static bool
requires_isolation (const gp_job_task_t *task)
{
  bool from_lists = task->fresh && !task->just;

  return task->evidence > 0 || task->crashes > 1
         || (task->crashes == 1 && !from_lists);
}

/* The isolation timeout starts when the task can be assigned.  If it expired
   while the store is unavailable, the suspects would all go to one executor
   and crash it together.  */
void
gp_suspicion_begin_wait (gp_job_task_t *task, gp_time_t now)
{
  if (requires_isolation (task) && task->isolation_wait_since == 0)
    task->isolation_wait_since = now;
}

void
gp_suspicion_extend_wait (gp_job_task_t *task, gp_time_t decided_at,
                          gp_time_t now)
{
  if (task->state == GP_TASK_WAITING && task->isolation_wait_since != 0)
    task->isolation_wait_since
        += now - MAX (decided_at, task->isolation_wait_since);
}

bool
gp_suspicion_is_strong (const gp_job_task_t *task)
{
  return task->evidence > 0 || task->crashes >= GP_SUSPICION_STRONG_CRASHES;
}

/* Returns the time until which TASK waits for an isolated start.  A gang needs
   several executors at once, and two gangs may each hold some that the other
   needs, so its wait is bounded.  */
static gp_time_t
isolation_deadline (const gp_job_task_t *task)
{
  const Gp__Jobs__Step *step = gp_task_step (task);

  if (gp_suspicion_is_strong (task))
    return step->gang ? task->isolation_wait_since
                            + GP_SUSPICION_ISOLATION_TIMEOUT_GANG
                      : GP_TIME_NEVER;
  return task->isolation_wait_since
         + (step->long_running ? GP_SUSPICION_ISOLATION_TIMEOUT_LONG_RUNNING
                               : GP_SUSPICION_ISOLATION_TIMEOUT);
}

bool
gp_suspicion_needs_isolation (const gp_job_task_t *task, gp_time_t now)
{
  return requires_isolation (task) && task->isolation_wait_since != 0
         && now <= isolation_deadline (task);
}

bool
gp_suspicion_may_start_in_group (const gp_job_task_t *task)
{
  return task->evidence <= GP_SUSPICION_WEAK_EVIDENCE && task->crashes > 0
         && task->crashes <= GP_SUSPICION_GROUP_CRASHES
         && (task->evidence == 0 || task->run < GP_SUSPICION_GROUP_STARTS)
         && !gp_task_step (task)->gang;
}

/* Returns the time until which EXECUTOR is dedicated.  A dedication made by a
   previous leader counts from the first report to this leader.  */
static gp_time_t
dedication_end (const gp_job_executor_t *executor)
{
  if (executor->dedication.until != 0)
    return executor->dedication.until;
  return executor->reported_since == 0
             ? GP_TIME_NEVER
             : executor->reported_since + GP_SUSPICION_SETTLE_TIME
                   + GP_SUSPICION_DEDICATE_TIME;
}

bool
gp_suspicion_is_dedicated (const gp_job_executor_t *executor, gp_time_t now)
{
  return executor->dedication.kind != GP_DEDICATION_NONE
         && now < dedication_end (executor);
}

bool
gp_suspicion_is_dedicated_to (const gp_job_executor_t *executor,
                              const gp_job_t *job, gp_time_t now)
{
  return gp_suspicion_is_dedicated (executor, now)
         && executor->dedication.kind == GP_DEDICATION_JOB
         && strcmp (executor->dedication.job, job->id) == 0;
}

bool
gp_suspicion_is_dedicated_to_group (const gp_job_executor_t *executor,
                                    gp_time_t now)
{
  return gp_suspicion_is_dedicated (executor, now)
         && executor->dedication.kind == GP_DEDICATION_GROUP;
}

/* Returns whether TASK may be started on EXECUTOR, which is dedicated to a
   group.  */
static bool
may_join_group (const gp_job_executor_t *executor, const gp_job_task_t *task,
                gp_time_t now)
{
  return gp_suspicion_needs_isolation (task, now)
         && gp_suspicion_may_start_in_group (task)
         && task->crashes == executor->dedication.crashes;
}

bool
gp_suspicion_allows (const gp_job_executor_t *executor,
                     const gp_job_task_t *task, gp_time_t now)
{
  if (gp_suspicion_is_dedicated_to_group (executor, now))
    return may_join_group (executor, task, now);
  return !gp_suspicion_is_dedicated (executor, now)
         || gp_suspicion_is_dedicated_to (executor, task->job, now);
}

/* Returns whether every run on EXECUTOR, except those of the job it is
   dedicated to, has certainly started.  What a previous leader assigned is
   older than the first report to this leader.  */
bool
gp_suspicion_has_no_recent_starts (const gp_job_executor_t *executor,
                                   gp_time_t now)
{
  return executor->task_count == 0
         || now - MAX (executor->assigned_at, executor->reported_since)
                >= GP_SUSPICION_START_WINDOW;
}

static void
set_dedication (gp_job_executor_t *executor, const gp_job_t *job,
                gp_time_t until)
{
  executor->dedication.kind = GP_DEDICATION_JOB;
  g_strlcpy (executor->dedication.job, job->id,
             sizeof executor->dedication.job);
  executor->dedication.until = until;
}

void
gp_suspicion_restore (gp_job_task_t *task, bool isolated, bool in_group)
{
  gp_dedication_t *dedication = &task->executor->dedication;

  task->alone = isolated;
  task->in_group = in_group;
  if (isolated)
    set_dedication (task->executor, task->job, 0);
  else if (in_group)
    *dedication = (gp_dedication_t){ .kind = GP_DEDICATION_GROUP,
                                     .crashes = task->crashes };
}

void
gp_suspicion_dedicate (gp_job_executor_t *executor, const gp_job_task_t *task,
                       gp_time_t now)
{
  if (!gp_suspicion_is_dedicated (executor, now))
    set_dedication (executor, task->job,
                    now + GP_SUSPICION_DEDICATE_AHEAD_TIME);
}

void
gp_suspicion_dedicate_to_group (gp_job_executor_t *executor,
                                const gp_job_task_t *task, gp_time_t now)
{
  if (gp_suspicion_is_dedicated (executor, now))
    return;
  executor->dedication.kind = GP_DEDICATION_GROUP;
  executor->dedication.crashes = task->crashes;
  executor->dedication.until = now + GP_SUSPICION_DEDICATE_AHEAD_TIME;
}

void
gp_suspicion_dedicate_until (gp_job_executor_t *executor, const gp_job_t *job,
                             gp_time_t until)
{
  bool dedicated = executor->dedication.kind == GP_DEDICATION_JOB
                   && strcmp (executor->dedication.job, job->id) == 0;

  set_dedication (executor, job,
                  dedicated ? MAX (until, executor->dedication.until) : until);
}

int64_t
gp_suspicion_work_at_risk (const gp_job_executor_t *executor, gp_time_t now)
{
  int64_t sum = 0;

  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);
    const Gp__Jobs__Step *step = gp_task_step (task);
    gp_time_t work_time = now - task->ordered_at;

    if (step->long_running || task->ordered_at == 0)
      work_time = LONG_RUNNING_LOSS_TIME;
    sum += work_time / GP_MSEC * step->cpu_milli;
  }
  return sum / MAX (executor->capacity.cpu_milli, 1);
}

/* A run of JOB has been assigned to EXECUTOR: runs of other jobs there are no
   longer isolated.  */
static void
end_isolation (gp_job_executor_t *executor, const gp_job_t *job)
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
dedicate_for_start (const gp_job_task_t *task, gp_time_t now)
{
  set_dedication (task->executor, task->job,
                  now + gp_suspicion_settle_time (gp_task_step (task)->gang)
                      + GP_SUSPICION_DEDICATE_TIME);
}

/* Dedicates the executor of TASK, which starts there in a group at NOW, until
   its run has settled.  */
static void
extend_group (const gp_job_task_t *task, gp_time_t now)
{
  gp_dedication_t *dedication = &task->executor->dedication;

  dedication->until
      = MAX (dedication->until,
             now + GP_SUSPICION_SETTLE_TIME + GP_SUSPICION_DEDICATE_TIME);
}

void
gp_suspicion_note_assigned (gp_job_task_t *task, gp_time_t now)
{
  gp_job_executor_t *executor = task->executor;

  gp_suspicion_reset_run (task);
  end_isolation (executor, task->job);
  task->in_group = gp_suspicion_is_dedicated_to_group (executor, now);
  task->alone = !task->in_group && gp_suspicion_needs_isolation (task, now);
  if (task->in_group)
    extend_group (task, now);
  else if (task->alone)
    dedicate_for_start (task, now);
  else if (!gp_suspicion_is_dedicated_to (executor, task->job, now))
    executor->assigned_at = now;
}

/* Marks the runs that are held at the guard until the isolated run ISOLATED
   has settled, and ISOLATED itself: they may have started long after they were
   assigned.  */
static void
mark_late_starts (gp_job_executor_t *executor, const gp_job_task_t *isolated)
{
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    gp_job_task_t *task = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    task->may_start_late
        = task->may_start_late || task->ordered_at >= isolated->ordered_at;
  }
}

void
gp_suspicion_extend_dedication (gp_job_executor_t *executor, gp_time_t now)
{
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (!task->alone || task->settled)
      continue;
    gp_suspicion_dedicate_until (executor, task->job,
                                 now + GP_SUSPICION_SETTLE_TIME);
    mark_late_starts (executor, task);
  }
}

void
gp_suspicion_orders_delayed (gp_job_executor_t *executor, gp_time_t decided_at,
                             gp_time_t now)
{
  if (executor->assigned_at >= decided_at)
    executor->assigned_at = now;
  /* The dedication period started at the time of the decision.  */
  if (executor->dedication.until > decided_at)
    executor->dedication.until += now - decided_at;
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    gp_job_task_t *task = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (task->ordered_at < decided_at)
      continue;
    task->ordered_at = now;
    if (task->alone)
      dedicate_for_start (task, now);
  }
}

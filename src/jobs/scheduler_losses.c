/* Handles the death of executors and what it means for their runs.  */

#include "jobs/scheduler_private.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"
#include "jobs/correlated_loss.h"
#include "jobs/suspicion.h"

/* Executors that are reported to be down within this time ended together.  */
#define DOWN_TOGETHER_TIME (100 * GP_MSEC)
/* A leader whose process is younger than this may have lost its power together
   with the executors.  VMs come back within seconds of each other.  */
#define POWER_RETURN_TIME (15 * GP_SEC)
/* Maximum number of jobs named in a log line on a lost run.  */
#define MAX_SUSPECTS_LOGGED 4

static gp_counter_t lost_runs_count
    = GP_COUNTER ("runs_lost_total", "Runs on executors that have died");
static gp_counter_t suspect_runs_count
    = GP_COUNTER ("runs_suspect_total",
                  "Of these, runs that may have taken their executor down");
static gp_counter_t bystander_runs_count = GP_COUNTER (
    "runs_lost_beside_total",
    "Of these, runs of others on executors that a task has taken down, by "
    "what had just begun there");
static gp_counter_t given_up_count = GP_COUNTER (
    "tasks_given_up_total", "Tasks that have taken their executors down");
static gp_counter_t outage_count
    = GP_COUNTER ("executors_lost_outage_total",
                  "Dead: lost in an outage of several, which counts against "
                  "no task");
static gp_counter_t vm_count = GP_COUNTER (
    "executors_lost_vm_total", "Dead: their VMs fell silent one at a time");
/* Dead executors, indexed by gp_death_t.  */
static gp_counter_t dead_counts[] = {
  [GP_DEATH_REPLACED]
  = GP_COUNTER ("executors_replaced_total", "Dead: another one is on its VM"),
  [GP_DEATH_RESTARTED] = GP_COUNTER (
      "executors_restarted_total", "Dead: it has started again under its id"),
  [GP_DEATH_DEREGISTERED]
  = GP_COUNTER ("executors_left_total", "Dead: it has said goodbye"),
  [GP_DEATH_LAPSED]
  = GP_COUNTER ("executors_lapsed_total", "Dead: its lease has run out"),
  [GP_DEATH_LAPSED_UNANSWERED] = GP_COUNTER (
      "executors_unheard_total", "Dead: the same, and it does not answer"),
  [GP_DEATH_UNREPORTED] = GP_COUNTER (
      "executors_silent_total", "Dead: silent until all leases were over"),
};

void
gp_scheduler_register_losses (void)
{
  gp_counter_register (&lost_runs_count);
  gp_counter_register (&suspect_runs_count);
  gp_counter_register (&bystander_runs_count);
  gp_counter_register (&given_up_count);
  gp_counter_register (&outage_count);
  gp_counter_register (&vm_count);
  for (size_t i = 0; i < G_N_ELEMENTS (dead_counts); i++)
    gp_counter_register (&dead_counts[i]);
}

static const char *
death_name (gp_death_t why)
{
  switch (why)
    {
    case GP_DEATH_REPLACED:
      return "another one is on its VM";
    case GP_DEATH_RESTARTED:
      return "it has started again under its id";
    case GP_DEATH_DEREGISTERED:
      return "it has left";
    case GP_DEATH_LAPSED:
      return "its lease has run out";
    case GP_DEATH_LAPSED_UNANSWERED:
      return "its lease has run out, and it does not answer";
    case GP_DEATH_UNREPORTED:
      return "silent until all leases were over";
    }
  return "";
}

/* Milliseconds from THEN to NOW, or -1 if THEN is unknown.  */
static int64_t
ms_ago (gp_time_t then, gp_time_t now)
{
  return then != 0 ? (now - then) / GP_MSEC : -1;
}

/* Returns the ids of the first jobs whose runs may have crashed EXECUTOR,
   except that of EXCEPT (may be NULL).  Owned by the caller.  */
static char *
name_suspects (const gp_job_executor_t *executor, const gp_job_t *except)
{
  GString *names = g_string_new (NULL);
  unsigned count = 0;

  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (!gp_suspicion_may_have_just_started (task) || task->job == except
        || strstr (names->str, task->job->id) != NULL)
      continue;
    if (count++ == MAX_SUSPECTS_LOGGED)
      break;
    if (names->len > 0)
      g_string_append_c (names, ' ');
    g_string_append (names, task->job->id);
  }
  return g_string_free (names, FALSE);
}

static void
log_lost (const gp_job_task_t *task, gp_suspicion_t suspicion,
          const char *suspects, gp_time_t now)
{
  const gp_job_executor_t *executor = task->executor;
  char name[GP_TASK_NAME_SIZE];
  /* Jobs whose recent starts make a crash under an isolated run
     inconclusive.  */
  g_autofree char *inconclusive_jobs
      = task->alone ? name_suspects (executor, task->job) : NULL;

  gp_task_name (task, name);
  gp_log (
      GP_LOG_INFO, "run.lost", GP_LOG_S ("task", name),
      GP_LOG_I ("run", task->run), GP_LOG_S ("executor", executor->id),
      GP_LOG_I ("suspect", suspicion != GP_SUSPICION_NONE),
      GP_LOG_I ("crashes", task->crashes),
      GP_LOG_I ("evidence", task->evidence),
      GP_LOG_I ("told", executor->suspects_reported),
      GP_LOG_I ("named", task->suspect), GP_LOG_I ("fresh", task->fresh),
      GP_LOG_I ("just", task->just), GP_LOG_I ("unanswered", task->unanswered),
      GP_LOG_I ("alone", task->alone), GP_LOG_I ("in_group", task->in_group),
      GP_LOG_I ("age_ms", task->age_ms),
      GP_LOG_I ("max_age_ms", task->max_age_ms),
      GP_LOG_S ("suspects", suspects),
      GP_LOG_S ("beside", inconclusive_jobs != NULL ? inconclusive_jobs : ""),
      GP_LOG_I ("assigned_ms_ago", ms_ago (task->ordered_at, now)),
      GP_LOG_I ("guard_gone_ms_ago", ms_ago (executor->disconnected_at, now)),
      GP_LOG_I ("reported_ms_ago", ms_ago (executor->reported_at, now)));
}

/* Returns whether the death of EXECUTOR, for the reason WHY, counts against
   runs that had just started there.  It does not if the executor was about to
   leave or still answers, or if nothing was heard of it since its guard was
   stopped as planned: a VM that is taken away takes both along.  */
static bool
may_be_crash (const gp_job_executor_t *executor, gp_death_t why)
{
  switch (why)
    {
    case GP_DEATH_REPLACED:
    case GP_DEATH_RESTARTED:
    case GP_DEATH_LAPSED_UNANSWERED:
      return !executor->draining;
    case GP_DEATH_UNREPORTED:
      return !executor->draining && !executor->guard_stopping;
    case GP_DEATH_DEREGISTERED:
    case GP_DEATH_LAPSED:
      return false;
    }
  return false;
}

/* TASK's run is lost with its executor; no end will be reported for it.  If
   only reported ends were counted, a task that crashes its executors would be
   started for ever, each time on another executor.  */
static void
lose_run (gp_scheduler_t *scheduler, gp_job_task_t *task,
          gp_suspicion_t suspicion, const char *suspects, gp_time_t now,
          int64_t wall_ms)
{
  gp_job_t *job = task->job;

  log_lost (task, suspicion, suspects, now);
  gp_counter_add (&lost_runs_count, 1);
  gp_counter_add (&suspect_runs_count, suspicion != GP_SUSPICION_NONE);
  gp_scheduler_release (scheduler, task);
  gp_scheduler_stop_gang (scheduler, task);
  if (suspicion != GP_SUSPICION_GIVE_UP || gp_job_ended (job))
    return;
  gp_counter_add (&given_up_count, 1);
  gp_log (GP_LOG_WARNING, "task.given_up", GP_LOG_S ("job", job->id),
          GP_LOG_I ("index", task->index), GP_LOG_I ("run", task->run),
          GP_LOG_I ("crashes", task->crashes));
  gp_scheduler_end_job (scheduler, job, GP_JOB_FAILED, wall_ms);
}

/* Returns whether a guard reports what came after an executor that died of
   WHY.  */
static bool
is_guard_back (gp_death_t why)
{
  switch (why)
    {
    case GP_DEATH_REPLACED:
    case GP_DEATH_RESTARTED:
      return true;
    case GP_DEATH_DEREGISTERED:
    case GP_DEATH_LAPSED:
    case GP_DEATH_LAPSED_UNANSWERED:
    case GP_DEATH_UNREPORTED:
      return false;
    }
  return false;
}

/* Returns whether this process may have been stopped by a loss of power that
   hit executors, too.  */
static bool
may_have_lost_power (const gp_scheduler_t *scheduler, gp_time_t now)
{
  return scheduler->process_started_at != 0
         && now - scheduler->process_started_at <= POWER_RETURN_TIME;
}

/* Returns whether the guard that reports what came after EXECUTOR, which died
   of WHY, has reported EXECUTOR until now: the executor alone was lost.  */
static bool
guard_lives (const gp_job_executor_t *executor, gp_death_t why)
{
  return executor->reachable && is_guard_back (why);
}

/* Returns how EXECUTOR, which died of WHY, was lost.  What its guard reports
   on suspects goes before how others were lost.  If this process has lost its
   power together with the executors, the guards that are back prove
   nothing.  */
static gp_loss_t
classify_loss (const gp_scheduler_t *scheduler, gp_job_executor_t *executor,
               gp_death_t why, gp_time_t now)
{
  bool guard_back
      = is_guard_back (why) && !may_have_lost_power (scheduler, now);

  if (executor->suspects_reported || guard_lives (executor, why))
    return GP_LOSS_SINGLE;
  return gp_correlated_loss_classify (scheduler->book, executor, guard_back,
                                      now);
}

/* Returns the only job of which runs may have started on EXECUTOR just before
   it died, if one of them certainly had (`just`), otherwise NULL.  */
static const gp_job_t *
crashing_job (const gp_job_executor_t *executor)
{
  const gp_job_t *job = gp_suspicion_sole_job (executor);

  if (job == NULL)
    return NULL;
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    if (GP_CONTAINER_OF (link, gp_job_task_t, on_executor)->just)
      return job;
  }
  return NULL;
}

/* Records when EXECUTOR was first reported to be down, and whether a run may
   have crashed it.  */
static void
note_down (gp_job_executor_t *executor, gp_time_t now)
{
  if (executor->down_at != 0)
    return;
  executor->down_at = now;
  executor->down_unexplained = true;
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    if (gp_suspicion_may_have_just_started (
            GP_CONTAINER_OF (link, gp_job_task_t, on_executor)))
      executor->down_unexplained = false;
  }
}

/* Returns whether several executors that no run can have crashed ended
   together with EXECUTOR.  They have a common cause, so what had just started
   on EXECUTOR is not it.  */
static bool
ended_with_others (const gp_scheduler_t *scheduler,
                   const gp_job_executor_t *executor)
{
  unsigned others = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, scheduler->book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_executor_t *other = value;

      others
          += other != executor && other->down_at != 0
             && other->down_unexplained
             && ABS (other->down_at - executor->down_at) <= DOWN_TOGETHER_TIME;
    }
  return others >= GP_LOSS_MIN_OTHERS;
}

/* Each report on an executor that is down tells anew what had just begun.  */
void
gp_scheduler_executor_down (gp_scheduler_t *scheduler,
                            gp_job_executor_t *executor, gp_time_t now)
{
  bool known = executor->down_at != 0;

  note_down (executor, now);
  gp_scheduler_count_failure (scheduler, executor, known, false,
                              ended_with_others (scheduler, executor), now);
}

static void
record_dead (const gp_scheduler_t *scheduler,
             const gp_job_executor_t *executor, gp_death_t why, gp_loss_t loss,
             bool together, gp_time_t now)
{
  gp_log (
      GP_LOG_INFO, "executor.dead", GP_LOG_S ("executor", executor->id),
      GP_LOG_I ("runs", executor->task_count),
      GP_LOG_S ("why", death_name (why)), GP_LOG_I ("together", together),
      GP_LOG_I ("told", executor->suspects_reported),
      GP_LOG_S ("loss", gp_loss_name (loss)),
      GP_LOG_I ("lost_together",
                gp_correlated_loss_others (scheduler->book, executor)),
      GP_LOG_I ("reported_ms_ago", ms_ago (executor->reported_at, now)),
      GP_LOG_I ("guard_gone_ms_ago", ms_ago (executor->disconnected_at, now)));
  gp_counter_add (&dead_counts[why], 1);
  gp_counter_add (&outage_count, loss == GP_LOSS_OUTAGE);
  gp_counter_add (&vm_count, loss == GP_LOSS_VM);
}

void
gp_scheduler_executor_dead (gp_scheduler_t *scheduler,
                            gp_job_executor_t *executor, gp_death_t why,
                            gp_time_t now, int64_t wall_ms)
{
  const gp_job_t *sole_job = gp_suspicion_sole_job (executor);
  char *suspects = name_suspects (executor, NULL);
  bool together = ended_with_others (scheduler, executor);
  bool crash = may_be_crash (executor, why) && !together;
  gp_loss_t loss
      = crash ? classify_loss (scheduler, executor, why, now) : GP_LOSS_SINGLE;
  bool known_down = executor->down_at != 0;
  bool crasher_known = crash && crashing_job (executor) != NULL;
  bool executor_only
      = executor->suspects_reported || guard_lives (executor, why);

  if (crasher_known)
    note_down (executor, now);
  if (crash && executor->suspects_reported)
    gp_scheduler_count_failure (scheduler, executor, known_down, true, false,
                                now);
  else
    gp_scheduler_withdraw_failure (scheduler, executor, now);
  record_dead (scheduler, executor, why, loss, together, now);
  executor->lost_at = executor_only ? 0 : now;
  executor->dead = true;
  executor->reachable = false;
  gp_job_executor_clear_strays (executor);
  GP_LIST_FOREACH_SAFE (link, &executor->tasks)
  {
    gp_job_task_t *task = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);
    gp_suspicion_t suspicion = GP_SUSPICION_NONE;

    if (crash)
      suspicion = gp_suspicion_lost (task, loss, sole_job, now);

    gp_counter_add (&bystander_runs_count,
                    crasher_known && task->job != sole_job);
    lose_run (scheduler, task, suspicion, suspects, now, wall_ms);
  }
  if (gp_loss_is_of_vm (loss))
    executor->vm_lost_at = now;
  executor->suspects_reported = false;
  g_free (suspects);
}

void
gp_scheduler_executor_replaced (const gp_job_executor_t *before,
                                gp_job_executor_t *next)
{
  next->vm_lost_at = MAX (next->vm_lost_at, before->vm_lost_at);
  next->vm = before->vm;
}

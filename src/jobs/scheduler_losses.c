/* What the end of an executor means for its runs.  */

#include "jobs/scheduler_private.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"
#include "jobs/suspicion.h"

/* Executors that are lost without a word within this go together ...  */
#define TOGETHER_TIME (GP_SEC)
/* ... if there are so many others: two may be chance.  */
#define TOGETHER_LEAST 2
/* Jobs that a line on a lost run names.  */
#define SUSPECTS_NAMED 4

static gp_counter_t lost_runs_count
    = GP_COUNTER ("runs_lost_total", "Runs on executors that have died");
static gp_counter_t suspect_runs_count
    = GP_COUNTER ("runs_suspect_total",
                  "Of these, runs that may have taken their executor down");
static gp_counter_t beside_runs_count = GP_COUNTER (
    "runs_lost_beside_total",
    "Of these, runs of others on executors that a task has taken down, by "
    "what had just begun there");
static gp_counter_t stray_runs_count = GP_COUNTER (
    "runs_stray_total", "Runs at work that are not wanted where they are");
static gp_counter_t given_up_count = GP_COUNTER (
    "tasks_given_up_total", "Tasks that have taken their executors down");
/* Executors that have died, by gp_death_t.  */
static gp_counter_t dead_counts[] = {
  [GP_DEATH_REPLACED]
  = GP_COUNTER ("executors_replaced_total", "Dead: another one is on its VM"),
  [GP_DEATH_RESTARTED] = GP_COUNTER (
      "executors_restarted_total", "Dead: it has started again under its id"),
  [GP_DEATH_LEFT]
  = GP_COUNTER ("executors_left_total", "Dead: it has said goodbye"),
  [GP_DEATH_LAPSED]
  = GP_COUNTER ("executors_lapsed_total", "Dead: its lease has run out"),
  [GP_DEATH_UNHEARD] = GP_COUNTER ("executors_unheard_total",
                                   "Dead: the same, and it does not answer"),
  [GP_DEATH_SILENT] = GP_COUNTER ("executors_silent_total",
                                  "Dead: silent until all leases were over"),
};

void
gp_scheduler_register_losses (void)
{
  gp_counter_register (&lost_runs_count);
  gp_counter_register (&suspect_runs_count);
  gp_counter_register (&beside_runs_count);
  gp_counter_register (&given_up_count);
  gp_counter_register (&stray_runs_count);
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
    case GP_DEATH_LEFT:
      return "it has left";
    case GP_DEATH_LAPSED:
      return "its lease has run out";
    case GP_DEATH_UNHEARD:
      return "its lease has run out, and it does not answer";
    case GP_DEATH_SILENT:
      return "silent until all leases were over";
    }
  return "";
}

/* Milliseconds from THEN to NOW, -1 where THEN is not known.  */
static int64_t
ms_ago (gp_time_t then, gp_time_t now)
{
  return then != 0 ? (now - then) / GP_MSEC : -1;
}

/* The first jobs of which runs may have taken EXECUTOR down, but for EXCEPT
   (NULL: none), owned by the caller.  */
static char *
name_suspects (const gp_job_executor_t *executor, const gp_job_t *except)
{
  GString *names = g_string_new (NULL);
  unsigned count = 0;

  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (!gp_suspicion_is_beginner (task) || task->job == except
        || strstr (names->str, task->job->id) != NULL)
      continue;
    if (count++ == SUSPECTS_NAMED)
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
  /* Whose beginning has kept the end of a run that was alone from telling.  */
  g_autofree char *beside
      = task->alone ? name_suspects (executor, task->job) : NULL;

  gp_task_name (task, name);
  gp_log (
      GP_LOG_INFO, "run.lost", GP_LOG_S ("task", name),
      GP_LOG_I ("run", task->run), GP_LOG_S ("executor", executor->id),
      GP_LOG_I ("suspect", suspicion != GP_SUSPICION_NONE),
      GP_LOG_I ("crashes", task->crashes),
      GP_LOG_I ("evidence", task->evidence),
      GP_LOG_I ("told", executor->suspects_reported),
      GP_LOG_I ("fresh", task->fresh), GP_LOG_I ("just", task->just),
      GP_LOG_I ("unanswered", task->unanswered),
      GP_LOG_I ("alone", task->alone), GP_LOG_I ("age_ms", task->age_ms),
      GP_LOG_S ("suspects", suspects),
      GP_LOG_S ("beside", beside != NULL ? beside : ""),
      GP_LOG_I ("assigned_ms_ago", ms_ago (task->since, now)),
      GP_LOG_I ("guard_gone_ms_ago", ms_ago (executor->disconnected_at, now)),
      GP_LOG_I ("reported_ms_ago", ms_ago (executor->reported_at, now)));
}

/* Does the death of EXECUTOR, for the reason WHY, speak against a run that had
   just begun there?  Not that of one which was to leave, or which answers.  */
static bool
may_be_crash (const gp_job_executor_t *executor, gp_death_t why)
{
  switch (why)
    {
    case GP_DEATH_REPLACED:
    case GP_DEATH_RESTARTED:
    case GP_DEATH_UNHEARD:
    case GP_DEATH_SILENT:
      return !executor->draining;
    case GP_DEATH_LEFT:
    case GP_DEATH_LAPSED:
      return false;
    }
  return false;
}

/* TASK's run ends with its executor: nobody will tell of it again.  Counting
   only the ends that executors tell, a task that takes them down would be
   started without end, each time on another executor.  */
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
  if (suspicion != GP_SUSPICION_GUILTY || gp_job_ended (job))
    return;
  gp_counter_add (&given_up_count, 1);
  gp_log (GP_LOG_WARNING, "task.given_up", GP_LOG_S ("job", job->id),
          GP_LOG_I ("index", task->index), GP_LOG_I ("run", task->run),
          GP_LOG_I ("crashes", task->crashes));
  gp_scheduler_end_job (scheduler, job, GP_JOB_FAILED, wall_ms);
}

/* The task whose run on EXECUTOR is RUN, or NULL.  */
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
gp_scheduler_carry (gp_scheduler_t *scheduler, gp_job_executor_t *before,
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
note_stray (gp_job_executor_t *executor, gp_job_task_t *task,
            const Gp__Jobs__TaskRun *run)
{
  bool known = task->stray_on == executor
               && task->stray_report + 1 == executor->reports;

  task->stray_on = executor;
  task->stray_report = executor->reports;
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

void
gp_scheduler_strays (gp_scheduler_t *scheduler, gp_job_executor_t *executor,
                     Gp__Jobs__TaskRun *const *runs, size_t count)
{
  executor->reports++;
  for (size_t i = 0; i < count; i++)
    {
      gp_job_task_t *task = gp_book_task (scheduler->book, runs[i]->task);

      if (task != NULL
          && (task->executor != executor || task->run != runs[i]->run))
        note_stray (executor, task, runs[i]);
    }
}

void
gp_scheduler_settled (gp_scheduler_t *scheduler, gp_job_executor_t *executor,
                      Gp__Jobs__TaskRun *const *runs, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      gp_job_task_t *task = task_of_run (scheduler, executor, runs[i]);

      if (task != NULL && gp_suspicion_clear (task))
        gp_scheduler_mark_dirty (scheduler, task->job);
    }
}

void
gp_scheduler_no_suspects (gp_job_executor_t *executor)
{
  executor->suspects_reported = false;
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    gp_suspicion_forget_told (
        GP_CONTAINER_OF (link, gp_job_task_t, on_executor));
  }
}

void
gp_scheduler_up (gp_scheduler_t *scheduler, gp_job_executor_t *executor)
{
  executor->down = false;
  executor->failure_counted = false;
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (!gp_job_ended (task->job) && gp_job_begin (task->job))
      gp_scheduler_mark_dirty (scheduler, task->job);
  }
}

void
gp_scheduler_suspects (gp_scheduler_t *scheduler, gp_job_executor_t *executor,
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
      task->unanswered = runs[i]->unanswered;
      task->timed = runs[i]->timed;
      task->alone = task->alone || runs[i]->alone;
    }
}

/* Did EXECUTOR, of which no guard has told what may have taken it down, go
   with half of the others, of which no guard speaks either?  Then power was
   lost, or a zone; a task takes one executor down.  */
static bool
went_with_others (const gp_book_t *book, const gp_job_executor_t *executor,
                  gp_time_t now)
{
  unsigned others = 0;
  unsigned gone = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_executor_t *other = value;
      bool lost = other->dead && other->lost_at != 0
                  && now - other->lost_at <= TOGETHER_TIME;

      if (other == executor || (other->dead && !lost))
        continue;
      others++;
      gone += lost || !other->reachable;
    }
  return gone >= TOGETHER_LEAST && gone * 2 >= others;
}

/* The only job of which a run had begun on EXECUTOR just when that went down,
   or NULL.  */
static const gp_job_t *
proved_job (const gp_job_executor_t *executor)
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

void
gp_scheduler_down (gp_scheduler_t *scheduler, gp_job_executor_t *executor,
                   gp_time_t now)
{
  const gp_job_t *job = proved_job (executor);

  if (job == NULL || executor->failure_counted)
    return;
  executor->failure_counted = true;
  gp_quarantine_record_failure (&scheduler->quarantine, scheduler->book,
                                job->submission->queue, now);
}

void
gp_scheduler_dead (gp_scheduler_t *scheduler, gp_job_executor_t *executor,
                   gp_death_t why, gp_time_t now, int64_t wall_ms)
{
  const gp_job_t *sole_job = gp_suspicion_sole_job (executor);
  char *suspects = name_suspects (executor, NULL);
  bool crash = may_be_crash (executor, why);
  bool together = crash && !executor->suspects_reported
                  && went_with_others (scheduler->book, executor, now);
  bool proved = crash && proved_job (executor) != NULL;

  if (proved)
    gp_scheduler_down (scheduler, executor, now);
  gp_log (GP_LOG_INFO, "executor.dead", GP_LOG_S ("executor", executor->id),
          GP_LOG_I ("runs", executor->task_count),
          GP_LOG_S ("why", death_name (why)));
  gp_counter_add (&dead_counts[why], 1);
  executor->lost_at = executor->suspects_reported ? 0 : now;
  executor->dead = true;
  executor->reachable = false;
  GP_LIST_FOREACH_SAFE (link, &executor->tasks)
  {
    gp_job_task_t *task = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);
    gp_suspicion_t suspicion = GP_SUSPICION_NONE;

    if (crash)
      suspicion = together ? gp_suspicion_crashed_together (task, sole_job)
                           : gp_suspicion_crashed (task, sole_job);

    gp_counter_add (&beside_runs_count, proved && task->job != sole_job);
    lose_run (scheduler, task, suspicion, suspects, now, wall_ms);
  }
  executor->suspects_reported = false;
  g_free (suspects);
}

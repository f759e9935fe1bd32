/* Handles the ends of runs and decides which runs to stop.  Placement is in
   jobs/placer.c.  */

#include "jobs/scheduler.h"

#include <string.h>

#include "base/counters.h"
#include "base/histogram.h"
#include "base/log.h"
#include "jobs/placer.h"
#include "jobs/scheduler_private.h"
#include "jobs/suspicion.h"

/* Number of consecutive failures after which an executor gets no new work for
   a while.  Where one run in fifty fails by its own fault, two in a row happen
   by chance once in 2,500.  */
#define FAILURES_TO_DISTRUST 2
/* Length of the first pause; it doubles with each further failure.  */
#define DISTRUST_TIME (GP_SEC)
#define DISTRUST_TIME_MAX (8 * GP_SEC)
/* Pause after an executor refused a run for lack of capacity: its own view of
   what has been stopped lags the leader's by about one stop.  */
#define REFUSED_PAUSE_TIME (300 * GP_MSEC)
/* A run that checkpoints is stopped this long before its executor leaves: the
   time of a stop and a round trip.  */
#define LEAVE_MARGIN (1500 * GP_MSEC)

static gp_histogram_t placed_time = GP_HISTOGRAM (
    "job_placed", "From when a job was known here to its first run");
/* A filling run that is throttled for THROTTLED_TIME is moved, at most one per
   executor in each RELOCATE_TIME: a stop and a start take about a second.  */
#define THROTTLED_TIME (800 * GP_MSEC)
#define RELOCATE_TIME (500 * GP_MSEC)

void
gp_scheduler_init (gp_scheduler_t *scheduler, gp_book_t *book,
                   gp_pressure_t *pressure)
{
  scheduler->book = book;
  scheduler->pressure = pressure;
  gp_forecast_init (&scheduler->forecast);
  gp_quarantine_init (&scheduler->quarantine);
  gp_histogram_register (&placed_time);
  gp_scheduler_register_losses ();
  gp_scheduler_register_reports ();
  gp_scheduler_register_speed ();
  gp_placer_register_waits ();
  gp_placer_register_groups ();
  scheduler->next_due = GP_TIME_NEVER;
  scheduler->process_started_at = 0;
  scheduler->measure_speed = false;
  scheduler->speeds_due = 0;
  scheduler->speeds
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  scheduler->orders = g_array_new (FALSE, FALSE, sizeof (gp_order_t));
  gp_list_init (&scheduler->dirty);
}

void
gp_scheduler_finish (gp_scheduler_t *scheduler)
{
  g_array_free (scheduler->orders, TRUE);
  gp_forecast_finish (&scheduler->forecast);
  gp_quarantine_finish (&scheduler->quarantine);
  g_hash_table_destroy (scheduler->speeds);
}

void
gp_scheduler_reset (gp_scheduler_t *scheduler)
{
  g_array_set_size (scheduler->orders, 0);
  while (gp_list_pop_front (&scheduler->dirty) != NULL)
    ;
  scheduler->next_due = GP_TIME_NEVER;
  gp_quarantine_reset (&scheduler->quarantine);
  gp_scheduler_reset_speeds (scheduler);
}

void
gp_scheduler_mark_dirty (gp_scheduler_t *scheduler, gp_job_t *job)
{
  gp_list_remove (&job->dirty_link);
  gp_list_push_back (&scheduler->dirty, &job->dirty_link);
}

static void
add_order (gp_scheduler_t *scheduler, gp_order_kind_t kind,
           gp_job_task_t *task)
{
  const gp_order_t order = {
    .kind = kind, .executor = task->executor, .task = task, .run = task->run
  };

  g_array_append_val (scheduler->orders, order);
}

bool
gp_scheduler_expects_run (const gp_job_task_t *task)
{
  return task->state == GP_TASK_ASSIGNED && !gp_job_ended (task->job);
}

static void
stop_task (gp_scheduler_t *scheduler, gp_job_task_t *task)
{
  if (task->state != GP_TASK_ASSIGNED)
    return;
  gp_task_set_state (task, GP_TASK_STOPPING);
  add_order (scheduler, GP_ORDER_STOP, task);
  gp_scheduler_mark_dirty (scheduler, task->job);
}

/* Logs that STOPPED members of TASK's gang are stopped because of TASK.  */
static void
log_gang_stopped (const gp_job_task_t *task, uint32_t stopped)
{
  char name[GP_TASK_NAME_SIZE];

  gp_task_name (task, name);
  gp_log (GP_LOG_INFO, "gang.stopped", GP_LOG_S ("task", name),
          GP_LOG_I ("run", task->run), GP_LOG_I ("members", stopped));
}

void
gp_scheduler_stop_gang (gp_scheduler_t *scheduler, const gp_job_task_t *task)
{
  gp_job_task_t *first;
  uint32_t count = gp_task_siblings (task, &first);
  uint32_t stopped = 0;

  if (!gp_task_step (task)->gang || task->state == GP_TASK_DONE)
    return;
  for (uint32_t i = 0; i < count; i++)
    if (first[i].state == GP_TASK_ASSIGNED && !first[i].executor->dead)
      {
        stop_task (scheduler, &first[i]);
        stopped++;
      }
  if (stopped > 0)
    log_gang_stopped (task, stopped);
}

void
gp_scheduler_end_job (gp_scheduler_t *scheduler, gp_job_t *job,
                      gp_job_state_t state, int64_t wall_ms)
{
  bool forecast = job->forecast_at != 0;
  const gp_job_delays_t *delays = &job->delays;

  gp_book_end (job, state, wall_ms);
  gp_scheduler_mark_dirty (scheduler, job);
  for (uint32_t i = 0; i < job->known_tasks; i++)
    stop_task (scheduler, &job->tasks[i]);
  gp_log (
      GP_LOG_INFO, "job.ended", GP_LOG_S ("job", job->id),
      GP_LOG_S ("state", gp_job_state_name (state)),
      GP_LOG_I ("done", job->done_count), GP_LOG_I ("tasks", job->task_count),
      GP_LOG_I ("took_ms", wall_ms - job->submission->accepted_wall_ms),
      GP_LOG_I ("objective_ms",
                forecast ? (job->due_at - job->submitted_at) / GP_MSEC : -1),
      GP_LOG_I ("throttled_ms", delays->throttled / GP_MSEC),
      GP_LOG_I ("interference_wait_ms", delays->interference_waits / GP_MSEC),
      GP_LOG_I ("quarantine_wait_ms", delays->quarantine_waits / GP_MSEC),
      GP_LOG_I ("relocations", delays->relocations));
}

void
gp_scheduler_job_changed (gp_scheduler_t *scheduler, gp_job_t *job,
                          int64_t wall_ms)
{
  if (job->submission == NULL || gp_job_ended (job))
    return;
  if (job->cancelled)
    gp_scheduler_end_job (scheduler, job, GP_JOB_CANCELLED, wall_ms);
}

void
gp_scheduler_rewrite (gp_scheduler_t *scheduler, gp_job_t *job)
{
  job->newest_unreadable = false;
  gp_scheduler_mark_dirty (scheduler, job);
}

void
gp_scheduler_release (gp_scheduler_t *scheduler, gp_job_task_t *task)
{
  gp_job_executor_remove (task->executor, task);
  if (task->state != GP_TASK_DONE)
    gp_task_set_state (task, GP_TASK_WAITING);
  gp_scheduler_mark_dirty (scheduler, task->job);
}

/* The run of TASK has ended with CHECKPOINT.  That of any member of a gang is
   valid for all, and the newest is kept on the first member: another one may
   still have that of an earlier run, if its executor was lost in this one.  */
static void
set_checkpoint (gp_job_task_t *task, const ProtobufCBinaryData *checkpoint)
{
  gp_job_task_t *holder = task;

  if (checkpoint->len == 0 || task->state == GP_TASK_DONE)
    return;
  if (gp_task_step (task)->gang)
    gp_task_siblings (task, &holder);
  g_free (holder->checkpoint);
  holder->checkpoint
      = g_strndup ((const char *)checkpoint->data, checkpoint->len);
}

/* All tasks of TASK's step are done: records how long the longest took.
   Skipped if this process has seen less than half of them.  */
static void
learn_step (gp_scheduler_t *scheduler, gp_job_task_t *task)
{
  gp_job_task_t *first;
  uint32_t count = gp_task_siblings (task, &first);
  gp_time_t longest = 0;
  gp_time_t sum = 0;
  uint32_t known = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      longest = MAX (longest, first[i].duration);
      sum += first[i].duration;
      known += first[i].duration > 0;
    }
  if (known > 0 && known * 2 >= count)
    gp_forecast_learn_spread (&scheduler->forecast,
                              task->job->submission->queue,
                              gp_task_step (task), longest, sum / known);
}

/* TASK was done on EXECUTOR: records its duration.  A run that resumed from a
   checkpoint, was assigned by another process or was held at its guard does
   not show the full duration.  */
static void
learn_duration (gp_scheduler_t *scheduler, gp_job_executor_t *executor,
                gp_job_task_t *task, gp_time_t now)
{
  if (task->ordered_at == 0 || task->checkpoint != NULL
      || task->may_start_late)
    return;
  task->duration = now - task->ordered_at;
  gp_scheduler_measure_run (scheduler, executor, task, now);
  gp_forecast_learn (&scheduler->forecast, task->job->submission->queue,
                     gp_task_step (task), task->duration);
}

static void
finish_task (gp_scheduler_t *scheduler, gp_job_task_t *task, int64_t wall_ms)
{
  gp_job_t *job = task->job;

  gp_task_set_state (task, GP_TASK_DONE);
  g_clear_pointer (&task->checkpoint, g_free);
  if (!gp_job_ended (job) && job->done_count == job->task_count)
    gp_scheduler_end_job (scheduler, job, GP_JOB_COMPLETED, wall_ms);
}

/* Logs that RUN of TASK, or of the gang whose first member it is, was counted
   as a failed attempt.  */
static void
log_failure (const gp_job_task_t *task, uint32_t run)
{
  char name[GP_TASK_NAME_SIZE];

  gp_task_name (task, name);
  gp_log (GP_LOG_INFO, "task.failed", GP_LOG_S ("task", name),
          GP_LOG_I ("run", run), GP_LOG_I ("failures", task->failures),
          GP_LOG_I ("max_attempts", task->job->submission->max_attempts));
}

/* TASK's run has failed.  A run of a gang is one attempt, however many of its
   members fail: each of them reports an end of its own.  */
static void
count_failure (gp_scheduler_t *scheduler, gp_job_task_t *task, int64_t wall_ms)
{
  gp_job_t *job = task->job;
  gp_job_task_t *counted = task;

  if (gp_task_step (task)->gang)
    gp_task_siblings (task, &counted);
  if (counted->failed_run == task->run)
    return;
  counted->failed_run = task->run;
  counted->failures++;
  log_failure (counted, task->run);
  if (gp_task_step (task)->long_running || gp_job_ended (job))
    return;
  if (counted->failures >= job->submission->max_attempts)
    gp_scheduler_end_job (scheduler, job, GP_JOB_FAILED, wall_ms);
}

static void
log_gang_done (const gp_job_task_t *task, uint32_t members, uint32_t unlisted)
{
  char name[GP_TASK_NAME_SIZE];

  gp_task_name (task, name);
  gp_log (GP_LOG_INFO, "gang.done", GP_LOG_S ("task", name),
          GP_LOG_I ("run", task->run), GP_LOG_I ("members", members),
          GP_LOG_I ("unlisted", unlisted));
}

/* TASK is done, and with it all members of its gang.  The runs of the others
   keep their resources until their executors have listed their ends: these are
   on other VMs, which end them a little later.  */
static void
finish_gang (gp_scheduler_t *scheduler, gp_job_task_t *task, int64_t wall_ms)
{
  gp_job_task_t *first;
  uint32_t count = gp_task_siblings (task, &first);
  uint32_t unlisted = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      unlisted += first[i].executor != NULL;
      gp_suspicion_clear (&first[i]);
      if (first[i].state != GP_TASK_DONE)
        finish_task (scheduler, &first[i], wall_ms);
    }
  log_gang_done (task, count, unlisted);
}

/* Records that TASK's run has failed on EXECUTOR.  Returns whether another
   member of its gang has failed there in the same run.  */
static bool
note_gang_failure (gp_job_executor_t *executor, const gp_job_task_t *task)
{
  gp_job_task_t *first;
  bool known;

  if (!gp_task_step (task)->gang)
    return false;
  gp_task_siblings (task, &first);
  known = executor->failed_gang == first
          && executor->failed_gang_run == task->run;
  executor->failed_gang = first;
  executor->failed_gang_run = task->run;
  return known;
}

/* The run of TASK on EXECUTOR has ended as HOW.  Several members of a gang
   that fail there in one run suffice for the first pause, but do not lengthen
   it: they may have failed for the same cause.  */
static void
update_distrust (gp_job_executor_t *executor, const gp_job_task_t *task,
                 gp_end_t how, gp_time_t now)
{
  gp_time_t pause = DISTRUST_TIME;

  if (how == GP_END_DONE)
    executor->failed_in_row = 0;
  if (how != GP_END_FAILED)
    return;
  if (note_gang_failure (executor, task)
      && executor->failed_in_row >= FAILURES_TO_DISTRUST)
    return;
  if (++executor->failed_in_row < FAILURES_TO_DISTRUST)
    return;
  for (uint32_t i = FAILURES_TO_DISTRUST;
       i < executor->failed_in_row && pause < DISTRUST_TIME_MAX; i++)
    pause *= 2;
  executor->distrusted_until = now + pause;
  gp_log (GP_LOG_INFO, "executor.distrusted",
          GP_LOG_S ("executor", executor->id),
          GP_LOG_I ("failed_in_row", executor->failed_in_row),
          GP_LOG_I ("pause_ms", pause / GP_MSEC));
}

static void
apply_end (gp_scheduler_t *scheduler, gp_job_task_t *task, gp_end_t how,
           gp_time_t now, int64_t wall_ms)
{
  const Gp__Jobs__Step *step = gp_task_step (task);
  gp_job_executor_t *executor = task->executor;
  bool was_done = task->state == GP_TASK_DONE;

  gp_task_set_throttled (task, false, now);
  update_distrust (executor, task, how, now);
  if (how == GP_END_DONE)
    gp_suspicion_clear (task);
  gp_scheduler_release (scheduler, task);
  if (was_done)
    return;
  if (how == GP_END_DONE && !step->long_running)
    {
      learn_duration (scheduler, executor, task, now);
      if (step->gang)
        finish_gang (scheduler, task, wall_ms);
      else
        finish_task (scheduler, task, wall_ms);
      if (gp_task_tally (task)->done == step->count)
        learn_step (scheduler, task);
    }
  if (how == GP_END_FAILED)
    {
      task->failed_on = executor;
      count_failure (scheduler, task, wall_ms);
    }
  if (how != GP_END_DONE)
    gp_scheduler_stop_gang (scheduler, task);
}

/* Returns whether END reports that the work of TASK, which waits, was done by
   an earlier run than its last one.  This happens if the next incarnation of
   the executor carried out an old order late; starting the task again would
   repeat work that is already done.  */
static bool
is_done_late (const gp_job_task_t *task, const gp_job_executor_t *executor,
              const Gp__Jobs__End *end)
{
  const Gp__Jobs__Step *step;

  if (task == NULL || executor->dead || end->how != GP_END_DONE)
    return false;
  step = gp_task_step (task);
  return task->state == GP_TASK_WAITING && end->run <= task->run
         && !step->long_running && !gp_job_ended (task->job);
}

static void
accept_late_done (gp_scheduler_t *scheduler, gp_job_task_t *task,
                  const gp_job_executor_t *executor, const Gp__Jobs__End *end,
                  int64_t wall_ms)
{
  gp_log (GP_LOG_INFO, "run.done_late", GP_LOG_S ("task", end->task),
          GP_LOG_I ("run", end->run), GP_LOG_I ("last_run", task->run),
          GP_LOG_S ("executor", executor->id));
  gp_suspicion_clear (task);
  gp_scheduler_note_begun (scheduler, task->job);
  gp_scheduler_mark_dirty (scheduler, task->job);
  gp_scheduler_stop_gang (scheduler, task);
  if (gp_task_step (task)->gang)
    finish_gang (scheduler, task, wall_ms);
  else
    finish_task (scheduler, task, wall_ms);
}

bool
gp_scheduler_run_ended (gp_scheduler_t *scheduler, gp_job_executor_t *executor,
                        const Gp__Jobs__End *end, gp_time_t now,
                        int64_t wall_ms)
{
  gp_job_task_t *task = gp_book_task (scheduler->book, end->task);
  const gp_order_t order
      = { .kind = GP_ORDER_SEEN, .executor = executor, .seen = end->number };
  bool current
      = task != NULL && task->executor == executor && task->run == end->run;

  if (task == NULL && gp_book_awaits_submission (scheduler->book, end->task))
    return false;
  g_array_append_val (scheduler->orders, order);
  if (is_done_late (task, executor, end))
    accept_late_done (scheduler, task, executor, end, wall_ms);
  if (!current)
    return true;
  gp_log (GP_LOG_INFO, "run.ended", GP_LOG_S ("task", end->task),
          GP_LOG_I ("run", end->run), GP_LOG_S ("executor", executor->id),
          GP_LOG_S ("how", gp_end_name ((gp_end_t)end->how)),
          GP_LOG_I ("after_ms", task->ordered_at
                                    ? (now - task->ordered_at) / GP_MSEC
                                    : -1));
  set_checkpoint (task, &end->checkpoint);
  gp_scheduler_note_begun (scheduler, task->job);
  apply_end (scheduler, task, (gp_end_t)end->how, now, wall_ms);
  return true;
}

void
gp_scheduler_run_absent (gp_scheduler_t *scheduler,
                         gp_job_executor_t *executor,
                         const Gp__Jobs__TaskRun *run, gp_time_t now)
{
  gp_job_task_t *task = gp_book_task (scheduler->book, run->task);

  if (task == NULL)
    return;
  if (task->executor == executor && task->run == run->run)
    {
      add_order (scheduler, GP_ORDER_FORGET, task);
      executor->full_until = now + REFUSED_PAUSE_TIME;
      gp_scheduler_release (scheduler, task);
      gp_scheduler_stop_gang (scheduler, task);
      if (task->refused)
        gp_scheduler_await_begin (scheduler, task->job);
      gp_log (GP_LOG_INFO, "run.absent", GP_LOG_S ("task", run->task),
              GP_LOG_I ("run", run->run), GP_LOG_S ("executor", executor->id));
      return;
    }
  const gp_order_t order = { .kind = GP_ORDER_FORGET,
                             .executor = executor,
                             .task = task,
                             .run = run->run };

  g_array_append_val (scheduler->orders, order);
}

void
gp_scheduler_drain (gp_scheduler_t *scheduler, gp_job_executor_t *executor,
                    gp_time_t now)
{
  bool soon = now >= executor->leaves_at - LEAVE_MARGIN;

  GP_LIST_FOREACH_SAFE (link, &executor->tasks)
  {
    gp_job_task_t *task = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);
    const Gp__Jobs__Step *step = gp_task_step (task);

    if (step->long_running || (step->checkpointing && soon))
      stop_task (scheduler, task);
  }
}

static bool
may_move (const gp_job_task_t *task, gp_time_t now)
{
  const Gp__Jobs__Step *step = gp_task_step (task);

  return task->state == GP_TASK_ASSIGNED && step->fills && step->checkpointing
         && !step->gang && task->throttled_since != 0
         && now - task->throttled_since >= THROTTLED_TIME;
}

void
gp_scheduler_relocate (gp_scheduler_t *scheduler, gp_job_executor_t *executor,
                       gp_time_t now)
{
  if (executor->draining || now < executor->relocated_at + RELOCATE_TIME)
    return;
  GP_LIST_FOREACH_SAFE (link, &executor->tasks)
  {
    gp_job_task_t *task = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (!may_move (task, now)
        || !gp_placer_has_better_place (scheduler->book, scheduler->pressure,
                                        &scheduler->quarantine, task, now))
      continue;
    executor->relocated_at = now;
    task->job->delays.relocations++;
    gp_log (GP_LOG_INFO, "run.relocated", GP_LOG_S ("job", task->job->id),
            GP_LOG_I ("index", task->index),
            GP_LOG_S ("executor", executor->id),
            GP_LOG_I ("slow_ms", (now - task->throttled_since) / GP_MSEC));
    stop_task (scheduler, task);
    return;
  }
}

static void
log_assigned (const gp_job_task_t *task)
{
  const gp_job_executor_t *executor = task->executor;
  char name[GP_TASK_NAME_SIZE];

  gp_task_name (task, name);
  gp_log (GP_LOG_INFO, "run.assigned", GP_LOG_S ("task", name),
          GP_LOG_S ("queue", task->job->submission->queue),
          GP_LOG_S ("image", gp_task_step (task)->image),
          GP_LOG_I ("estimate_ms", gp_task_step (task)->estimate_ms),
          GP_LOG_I ("run", task->run), GP_LOG_S ("executor", executor->id),
          GP_LOG_I ("used_cpu_milli", executor->used.cpu_milli),
          GP_LOG_I ("filling_cpu_milli", executor->filling_cpu),
          GP_LOG_I ("serving", executor->serving_count),
          GP_LOG_I ("used_memory_mb", executor->used.memory_mb));
}

void
gp_scheduler_plan (gp_scheduler_t *scheduler, gp_time_t now, int64_t wall_ms)
{
  GPtrArray *placed = g_ptr_array_new ();

  gp_scheduler_compare_speeds (scheduler, now);
  scheduler->next_due = gp_placer_assign (
      scheduler->book, scheduler->pressure, &scheduler->forecast,
      &scheduler->quarantine, now, wall_ms, placed);
  for (guint i = 0; i < placed->len; i++)
    {
      gp_job_task_t *task = g_ptr_array_index (placed, i);

      if (task->index == 0 && task->run == 1)
        gp_histogram_add (&placed_time, now - task->job->submitted_at);
      gp_scheduler_expect_run (scheduler, task);
      task->executor->has_unconfirmed
          = task->executor->has_unconfirmed || task->job->awaits_begin;
      add_order (scheduler, GP_ORDER_START, task);
      log_assigned (task);
      gp_scheduler_mark_dirty (scheduler, task->job);
    }
  g_ptr_array_free (placed, TRUE);
}

/* Logs the runs on EXECUTOR that were assigned at DECIDED_AT or later and are
   ordered only NOW.  */
static void
log_delayed_orders (const gp_job_executor_t *executor, gp_time_t decided_at,
                    gp_time_t now)
{
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);
    char name[GP_TASK_NAME_SIZE];

    if (task->ordered_at < decided_at)
      continue;
    gp_task_name (task, name);
    gp_log (GP_LOG_INFO, "run.put_off", GP_LOG_S ("task", name),
            GP_LOG_I ("run", task->run),
            GP_LOG_S ("why", "its record could not be written"),
            GP_LOG_I ("for_ms", (now - task->ordered_at) / GP_MSEC));
  }
}

void
gp_scheduler_orders_delayed (gp_scheduler_t *scheduler, gp_time_t decided_at,
                             gp_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, scheduler->book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      log_delayed_orders (value, decided_at, now);
      gp_suspicion_orders_delayed (value, decided_at, now);
    }
  GP_LIST_FOREACH (link, &scheduler->book->live)
  {
    gp_job_t *job = GP_CONTAINER_OF (link, gp_job_t, link);

    for (uint32_t i = 0; i < job->known_tasks; i++)
      gp_suspicion_extend_wait (&job->tasks[i], decided_at, now);
  }
}

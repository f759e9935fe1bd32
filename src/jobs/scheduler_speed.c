/* Measures the executors of the book and reports which ones are slow.  */

#include "jobs/scheduler_private.h"

#include "base/counters.h"
#include "base/log.h"

/* Interval between comparisons.  Each one visits all executors, so it is not
   done in every planning round; the interval is short compared with the time
   in which a factor goes back to 1.  */
#define COMPARE_INTERVAL (100 * GP_MSEC)

static gp_counter_t slow_gauge = GP_GAUGE (
    "executors_slow", "Executors whose runs take half as long again or more");

void
gp_scheduler_register_speed (void)
{
  gp_counter_register (&slow_gauge);
}

void
gp_scheduler_reset_speeds (gp_scheduler_t *scheduler)
{
  g_hash_table_remove_all (scheduler->speeds);
  gp_counter_set (&slow_gauge, 0);
}

void
gp_scheduler_expect_run (const gp_scheduler_t *scheduler, gp_job_task_t *task)
{
  gp_time_t expected;

  if (!scheduler->measure_speed || !gp_job_executor_is_measured_by (task))
    return;
  expected = gp_forecast_learned_time (
      &scheduler->forecast, task->job->submission->queue, gp_task_step (task));
  task->expected_ms = (uint32_t)MIN (expected / GP_MSEC, UINT32_MAX);
}

void
gp_scheduler_measure_run (const gp_scheduler_t *scheduler,
                          gp_job_executor_t *executor,
                          const gp_job_task_t *task, gp_time_t now)
{
  /* A run that was ordered from an earlier incarnation began late.  */
  if (scheduler->measure_speed && gp_job_executor_is_measured_by (task)
      && task->ordered_at >= executor->reported_since)
    gp_executor_speed_add (&executor->speed, task->duration,
                           task->expected_ms * GP_MSEC, now);
}

static GPtrArray *
find_measured (const gp_book_t *book)
{
  GPtrArray *measured = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_job_executor_t *executor = value;

      if (!executor->dead && executor->previous_key == NULL
          && executor->service != NULL
          && gp_executor_speed_is_measured (&executor->speed))
        g_ptr_array_add (measured, executor);
    }
  return measured;
}

static void
log_change (const gp_job_executor_t *executor)
{
  const gp_executor_speed_t *speed = &executor->speed;

  gp_log (GP_LOG_INFO, "executor.speed", GP_LOG_S ("executor", executor->id),
          GP_LOG_I ("slow", gp_executor_speed_is_slow (speed)),
          GP_LOG_I ("factor_permille", (int64_t)(speed->factor * 1000)),
          GP_LOG_I ("ratios", speed->count),
          GP_LOG_I ("probing", speed->probing));
}

static gp_executor_speeds_t *
get_speeds (gp_scheduler_t *scheduler, const char *service)
{
  gp_executor_speeds_t *speeds
      = g_hash_table_lookup (scheduler->speeds, service);

  if (speeds == NULL)
    {
      speeds = g_new0 (gp_executor_speeds_t, 1);
      g_hash_table_insert (scheduler->speeds, g_strdup (service), speeds);
    }
  return speeds;
}

/* Compares EXECUTORS, which are of one service, and returns how many are
   slow.  */
static int64_t
compare (gp_scheduler_t *scheduler, const GPtrArray *executors, gp_time_t now)
{
  const gp_job_executor_t *first = g_ptr_array_index (executors, 0);
  gp_executor_speed_t **speeds = g_new (gp_executor_speed_t *, executors->len);
  bool *changed = g_new (bool, executors->len);
  int64_t slow = 0;

  for (guint i = 0; i < executors->len; i++)
    {
      gp_job_executor_t *executor = g_ptr_array_index (executors, i);

      speeds[i] = &executor->speed;
    }
  gp_executor_speeds_compare (get_speeds (scheduler, first->service), speeds,
                              executors->len, now, changed);
  for (guint i = 0; i < executors->len; i++)
    {
      slow += gp_executor_speed_is_slow (speeds[i]);
      if (changed[i])
        log_change (g_ptr_array_index (executors, i));
    }
  g_free (changed);
  g_free (speeds);
  return slow;
}

/* Moves the executors of the first one's service from REST to SERVICE.  */
static void
take_service (GPtrArray *rest, GPtrArray *service)
{
  const gp_job_executor_t *first = g_ptr_array_index (rest, 0);
  guint kept = 0;

  g_ptr_array_set_size (service, 0);
  for (guint i = 0; i < rest->len; i++)
    {
      gp_job_executor_t *executor = g_ptr_array_index (rest, i);

      if (g_strcmp0 (executor->service, first->service) == 0)
        g_ptr_array_add (service, executor);
      else
        g_ptr_array_index (rest, kept++) = executor;
    }
  g_ptr_array_set_size (rest, (gint)kept);
}

void
gp_scheduler_compare_speeds (gp_scheduler_t *scheduler, gp_time_t now)
{
  GPtrArray *rest;
  GPtrArray *service;
  int64_t slow = 0;

  if (!scheduler->measure_speed || now < scheduler->speeds_due)
    return;
  scheduler->speeds_due = now + COMPARE_INTERVAL;
  rest = find_measured (scheduler->book);
  service = g_ptr_array_new ();
  while (rest->len > 0)
    {
      take_service (rest, service);
      slow += compare (scheduler, service, now);
    }
  gp_counter_set (&slow_gauge, slow);
  g_ptr_array_free (service, TRUE);
  g_ptr_array_free (rest, TRUE);
}

/* Measures the cost of a planning round of the leader: placing the waiting
   tasks of jobs on executors, with and without the executors' speeds, and
   packing a job's progress.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "jobs/scheduler.h"

#define TASKS 8
#define CORES 64
/* Rounds that only compare the executors' speeds.  */
#define COMPARISONS 100

static void
add_executors (gp_book_t *book, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      char id[16];
      Gp__Jobs__Executor report = GP__JOBS__EXECUTOR__INIT;
      gp_job_executor_t *executor;

      g_snprintf (id, sizeof id, "x%u", i);
      executor = gp_book_executor (book, id);
      report.id = id;
      report.service = (char *)"s";
      report.cpu_milli = CORES * 1000;
      report.memory_mb = CORES * 1024;
      gp_job_executor_update (executor, &report, 0);
      executor->reachable = true;
    }
}

static void
add_job (gp_book_t *book, unsigned number)
{
  char id[GP_JOB_ID_SIZE + 1];
  Gp__Jobs__Submission submission = GP__JOBS__SUBMISSION__INIT;
  Gp__Jobs__Step step = GP__JOBS__STEP__INIT;
  Gp__Jobs__Step *steps[] = { &step };
  uint8_t bytes[256];
  size_t size;
  GError *error = NULL;

  g_snprintf (id, sizeof id, "%016x", number);
  submission.service = (char *)"s";
  submission.queue = (char *)"queue";
  submission.stretch_percent = 150;
  submission.target_ms = 250;
  submission.steps = steps;
  submission.n_steps = 1;
  submission.max_attempts = 2;
  step.count = TASKS;
  step.cpu_milli = 1000;
  step.memory_mb = 256;
  step.estimate_ms = 1000;
  step.image = (char *)"image";
  size = gp__jobs__submission__pack (&submission, bytes);
  if (gp_book_submit (book, id, bytes, size, 0, 0, &error) == NULL)
    g_error ("%s", error->message);
}

/* Adds ratios to all executors, a seventh of which takes five times as long.
 */
static void
add_ratios (gp_book_t *book, gp_time_t now)
{
  GHashTableIter iter;
  gpointer value;
  unsigned number = 0;

  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_job_executor_t *executor = value;
      gp_time_t duration = number++ % 7 == 0 ? 5 * GP_SEC : GP_SEC;

      for (unsigned i = 0; i < GP_EXECUTOR_SPEED_RATIOS; i++)
        gp_executor_speed_add (&executor->speed,
                               duration + number * GP_MSEC / 10, GP_SEC, now);
    }
}

/* Prints the cost of rounds that place nothing.  */
static void
measure_empty (unsigned executors, bool speeds)
{
  gp_book_t book;
  gp_pressure_t pressure;
  gp_scheduler_t scheduler;
  gp_time_t begin;
  gp_time_t now = GP_SEC;

  gp_book_init (&book);
  gp_pressure_init (&pressure);
  gp_scheduler_init (&scheduler, &book, &pressure);
  scheduler.measure_speed = speeds;
  add_executors (&book, executors);
  begin = gp_time_now ();
  for (unsigned i = 0; i < COMPARISONS; i++, now += 100 * GP_MSEC)
    {
      if (i % 10 == 0)
        add_ratios (&book, now);
      gp_scheduler_plan (&scheduler, now, 0);
    }
  printf ("%4u executors, %s speeds: %7.1f us a round that places nothing, "
          "%zu bytes an executor\n",
          executors, speeds ? "with" : "without",
          (double)(gp_time_now () - begin) / COMPARISONS,
          sizeof (gp_executor_speed_t));
  gp_scheduler_finish (&scheduler);
  gp_pressure_finish (&pressure);
  gp_book_finish (&book);
}

static void
measure (unsigned executors, unsigned jobs, bool speeds)
{
  gp_book_t book;
  gp_pressure_t pressure;
  gp_scheduler_t scheduler;
  gp_time_t begin;
  gp_time_t placed;
  gp_time_t packed;
  guint starts;

  gp_book_init (&book);
  gp_pressure_init (&pressure);
  gp_scheduler_init (&scheduler, &book, &pressure);
  scheduler.measure_speed = speeds;
  add_executors (&book, executors);
  if (speeds)
    add_ratios (&book, 0);
  for (unsigned i = 0; i < jobs; i++)
    add_job (&book, i);
  begin = gp_time_now ();
  gp_scheduler_plan (&scheduler, 0, 0);
  placed = gp_time_now () - begin;
  starts = scheduler.orders->len;
  begin = gp_time_now ();
  GP_LIST_FOREACH (link, &book.live)
  g_bytes_unref (gp_book_pack (GP_CONTAINER_OF (link, gp_job_t, link)));
  packed = gp_time_now () - begin;
  printf ("%4u executors, %5u jobs of %d tasks, %s speeds: %5u starts, "
          "%6.2f us a start, %5.2f us to pack a job\n",
          executors, jobs, TASKS, speeds ? "with" : "without", starts,
          (double)placed / MAX (starts, 1), (double)packed / jobs);
  gp_scheduler_finish (&scheduler);
  gp_pressure_finish (&pressure);
  gp_book_finish (&book);
}

int
main (void)
{
  measure (11, 50, false);
  measure (57, 200, false);
  measure (300, 1000, false);
  measure (3600, 2000, false);
  measure (3600, 2000, true);
  measure_empty (3600, false);
  measure_empty (3600, true);
  return 0;
}

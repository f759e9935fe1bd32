/* Measures the cost of a planning round of the leader: placing the waiting
   tasks of jobs on executors, and packing a job's progress.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "jobs/scheduler.h"

#define TASKS 8
#define CORES 64

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

  g_snprintf (id, sizeof id, "%016x", number);
  submission.service = (char *)"s";
  submission.steps = steps;
  submission.n_steps = 1;
  submission.max_attempts = 2;
  step.count = TASKS;
  step.cpu_milli = 1000;
  step.memory_mb = 256;
  step.estimate_ms = 1000;
  step.image = (char *)"image";
  size = gp__jobs__submission__pack (&submission, bytes);
  gp_book_submit (book, id, bytes, size, 0, 0, NULL);
}

static void
measure (unsigned executors, unsigned jobs)
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
  add_executors (&book, executors);
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
  printf ("%4u executors, %5u jobs of %d tasks: %5u starts, %6.2f us a start, "
          "%5.2f us to pack a job\n",
          executors, jobs, TASKS, starts, (double)placed / MAX (starts, 1),
          (double)packed / jobs);
  gp_scheduler_finish (&scheduler);
  gp_pressure_finish (&pressure);
  gp_book_finish (&book);
}

int
main (void)
{
  measure (11, 50);
  measure (57, 200);
  measure (300, 1000);
  measure (3600, 2000);
  return 0;
}

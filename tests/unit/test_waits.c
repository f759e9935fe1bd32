/* Tests of what is told of work that waits: the cause, and the bound on work
   that could run.  */

#include <stdio.h>

#include "base/counters.h"
#include "jobs/placer_waits.h"
#include "jobs_site.h"
#include "runner.h"

#define JOB "00000000000000aa"
#define TASK JOB ".0.0.0"

typedef void (*arrange_t) (jobs_site_t *site, gp_job_executor_t *executor,
                           gp_job_t *job);

static void
no_more (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  executor->dead = true;
}

static void
full (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  executor->used = executor->capacity;
}

static void
evacuated (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  executor->evacuated = true;
}

static void
silent (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  executor->reachable = false;
}

static void
draining (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  executor->draining = true;
}

static void
failing (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  executor->distrusted_until = GP_TIME_NEVER;
}

static void
kept (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  g_strlcpy (executor->dedicated_to, "00000000000000bb",
             sizeof executor->dedicated_to);
  executor->dedicated_until = GP_TIME_NEVER;
}

static void
stray (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  Gp__Jobs__TaskRun row = GP__JOBS__TASK_RUN__INIT;
  Gp__Jobs__TaskRun *rows[] = { &row };

  row.task = (char *)TASK;
  row.run = 7;
  gp_scheduler_strays (&site->scheduler, executor, rows, 1);
}

static void
too_wide (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  job->submission->steps[0]->gang = true;
  executor->used.cpu_milli = executor->capacity.cpu_milli - 1500;
}

static void
add_held (const gp_counter_t *counter, void *data)
{
  if (g_str_has_prefix (counter->name, "jobs_held_"))
    *(int64_t *)data += counter->value;
}

/* Jobs held back that were counted so far.  */
static int64_t
counted (void)
{
  int64_t sum = 0;

  gp_counters_foreach (add_held, &sum);
  return sum;
}

static void
wait_under (const char *what, unsigned tasks, arrange_t arrange)
{
  jobs_site_t site;
  gp_job_executor_t *executor;
  gp_job_t *job;
  int64_t before = counted ();
  gp_time_t end;

  jobs_site_init (&site);
  executor = jobs_site_executor (&site, "x1", 8);
  job = jobs_site_submit (&site, JOB, jobs_site_submission (tasks, 1000));
  arrange (&site, executor, job);
  end = site.now + 5 * GP_SEC;
  for (; site.now < end; site.now += 100 * GP_MSEC)
    jobs_site_plan (&site);
  printf ("%s: %s, counted %d\n", what,
          gp_wait_cause_name (job->tallies[0].wait.cause),
          (int)(counted () - before));
  jobs_site_finish (&site);
}

/* What users saw: a task that could run did not, for 40 seconds with most of
   the room free, and nothing said so.  */
static void
test_causes (void)
{
  wait_under ("no executor is left", 1, no_more);
  wait_under ("it is full", 1, full);
  wait_under ("its zone is evacuated", 1, evacuated);
  wait_under ("it is silent", 1, silent);
  wait_under ("it drains", 1, draining);
  wait_under ("it fails what it is given", 1, failing);
  wait_under ("it is kept for others", 1, kept);
  wait_under ("a run that nobody wants is there", 1, stray);
  wait_under ("it has room for one of two", 2, too_wide);
}

/* A job with a run: is its other task said to wait?  */
static void
wait_beside (const char *what, arrange_t arrange)
{
  jobs_site_t site;
  gp_job_executor_t *executor;
  gp_job_t *job;
  int64_t before = counted ();
  gp_time_t end;

  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", 8);
  job = jobs_site_submit (&site, JOB, jobs_site_submission (2, 1000));
  job->submission->steps[0]->long_running = true;
  job->submission->steps[0]->max_per_executor = 1;
  jobs_site_plan (&site);
  CU_ASSERT (gp_job_has_run (job));
  executor = jobs_site_executor (&site, "x2", 8);
  arrange (&site, executor, job);
  end = site.now + 5 * GP_SEC;
  for (; site.now < end; site.now += 100 * GP_MSEC)
    jobs_site_plan (&site);
  printf ("beside a run, %s: %s, counted %d\n", what,
          gp_wait_cause_name (job->tallies[0].wait.cause),
          (int)(counted () - before));
  jobs_site_finish (&site);
}

/* A task that lasts and could run is told and counted, though its job has
   another one at work.  */
static void
test_beside (void)
{
  wait_beside ("the other executor is full", full);
  wait_beside ("it fails what it is given", failing);
  wait_beside ("it is kept for others", kept);
}

static void
test_place (void)
{
  jobs_site_t site;
  gp_job_executor_t *executor;
  gp_job_t *job;

  jobs_site_init (&site);
  executor = jobs_site_executor (&site, "x1", 8);
  job = jobs_site_submit (&site, JOB, jobs_site_submission (1, 1000));
  executor->draining = true;
  jobs_site_plan (&site);
  CU_ASSERT (job->tallies[0].wait.since != 0);
  executor->draining = false;
  jobs_site_plan (&site);
  CU_ASSERT_EQUAL (job->tallies[0].wait.since, 0);
  jobs_site_finish (&site);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "causes", test_causes },
                                 { "beside", test_beside },
                                 { "place", test_place },
                                 CU_TEST_INFO_NULL };

  return runner_main ("waits", tests);
}

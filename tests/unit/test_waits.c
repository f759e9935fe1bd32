/* Tests the diagnosis of waiting work: the cause, and the limit for work that
   could run.  */

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
set_dead (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  executor->dead = true;
}

static void
set_full (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  executor->used = executor->capacity;
}

static void
set_evacuated (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  executor->evacuated = true;
}

static void
set_unreachable (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  executor->reachable = false;
}

static void
set_draining (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  executor->draining = true;
}

static void
set_failing (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  executor->distrusted_until = GP_TIME_NEVER;
}

static void
set_dedicated (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  executor->dedication.kind = GP_DEDICATION_JOB;
  g_strlcpy (executor->dedication.job, "00000000000000bb",
             sizeof executor->dedication.job);
  executor->dedication.until = GP_TIME_NEVER;
}

static void
add_stray (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  Gp__Jobs__TaskRun row = GP__JOBS__TASK_RUN__INIT;
  Gp__Jobs__TaskRun *rows[] = { &row };

  row.task = (char *)TASK;
  row.run = 7;
  gp_scheduler_note_strays (&site->scheduler, executor, rows, 1);
}

static void
add_unknown_run (jobs_site_t *site, gp_job_executor_t *executor, gp_job_t *job)
{
  gp_job_executor_add_stray (executor, NULL);
}

static void
make_gang_too_large (jobs_site_t *site, gp_job_executor_t *executor,
                     gp_job_t *job)
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

/* Returns the number of jobs counted as held back so far.  */
static int64_t
counted (void)
{
  int64_t sum = 0;

  gp_counters_foreach (add_held, &sum);
  return sum;
}

static void
wait_with (const char *what, unsigned tasks, arrange_t arrange)
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

/* Guards against a task that could run but waits without notice: one waited
   for 40 seconds with most of the capacity free, and nothing reported it.  */
static void
test_causes (void)
{
  wait_with ("no executor is left", 1, set_dead);
  wait_with ("it is full", 1, set_full);
  wait_with ("its zone is evacuated", 1, set_evacuated);
  wait_with ("it is silent", 1, set_unreachable);
  wait_with ("it drains", 1, set_draining);
  wait_with ("it fails what it is given", 1, set_failing);
  wait_with ("it is kept for others", 1, set_dedicated);
  wait_with ("a run that nobody wants is there", 1, add_stray);
  wait_with ("a run of an unknown job is there", 1, add_unknown_run);
  wait_with ("it has room for one of two", 2, make_gang_too_large);
}

/* Checks whether the waiting task of a job with another run is reported.  */
static void
wait_with_other_run (const char *what, arrange_t arrange)
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

/* A long-running task that could run is logged and counted even if its job has
   another one running.  */
static void
test_beside (void)
{
  wait_with_other_run ("the other executor is full", set_full);
  wait_with_other_run ("it fails what it is given", set_failing);
  wait_with_other_run ("it is kept for others", set_dedicated);
}

static void
make_nearly_full (jobs_site_t *site, gp_job_executor_t *executor,
                  gp_job_t *job)
{
  executor->used.cpu_milli = executor->capacity.cpu_milli - 2500;
  set_failing (site, executor, job);
}

static void
make_full_but_for_one (jobs_site_t *site, gp_job_executor_t *executor,
                       gp_job_t *job)
{
  executor->used.cpu_milli = executor->capacity.cpu_milli - 1500;
  set_failing (site, executor, job);
}

static void
make_long_running (jobs_site_t *site, gp_job_executor_t *executor,
                   gp_job_t *job)
{
  job->submission->steps[0]->long_running = true;
  make_nearly_full (site, executor, job);
}

/* A long-running task is held back if there is capacity for it twice over,
   however full the service is.  */
static void
test_full_service (void)
{
  wait_with ("a full service", 1, make_nearly_full);
  wait_with ("a full service, long-running", 1, make_long_running);
  wait_with_other_run ("capacity for it twice over", make_nearly_full);
  wait_with_other_run ("capacity for it once", make_full_but_for_one);
  wait_with_other_run ("capacity only where executors leave", set_draining);
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
                                 { "full service", test_full_service },
                                 { "place", test_place },
                                 CU_TEST_INFO_NULL };

  return runner_main ("waits", tests);
}

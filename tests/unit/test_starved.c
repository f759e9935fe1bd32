/* Simulates an overload of filling work: jobs that never find enough unused
   processors because of a large one still get one run each, and serving runs
   keep their capacity.  */

#include <glib.h>
#include <stdio.h>

#include "jobs_site.h"
#include "runner.h"

#define JOBS 6
#define STEP (250 * GP_MSEC)
#define STEPS 40

/* Submits a job of COUNT filling tasks.  */
static gp_job_t *
submit_filling (jobs_site_t *site, unsigned number, unsigned count)
{
  Gp__Jobs__Submission *filling = jobs_site_submission (count, 4000);
  char id[GP_JOB_ID_SIZE + 1];

  filling->steps[0]->fills = true;
  filling->steps[0]->memory_mb = 10;
  g_snprintf (id, sizeof id, "%016x", number);
  return jobs_site_submit (site, id, filling);
}

static unsigned
count_runs (gp_job_t *job)
{
  unsigned runs = 0;

  for (uint32_t i = 0; i < job->task_count; i++)
    runs += gp_job_task (job, i)->executor != NULL;
  return runs;
}

/* Returns the longest time for which one of JOBS small jobs has no run while
   there is a large job whose tasks never end, with SERVING_MILLI of 8 cores
   reserved.  */
static gp_time_t
longest_wait (unsigned serving_milli)
{
  jobs_site_t site;
  Gp__Jobs__Submission *serving = jobs_site_submission (1, serving_milli);
  gp_job_t *jobs[JOBS];
  gp_time_t waited[JOBS] = { 0 };
  gp_time_t longest = 0;

  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", 8);
  serving->steps[0]->long_running = true;
  jobs_site_submit (&site, "00000000000000aa", serving);
  submit_filling (&site, 1, 20);
  jobs_site_plan (&site);
  for (unsigned i = 0; i < JOBS; i++)
    jobs[i] = submit_filling (&site, i + 2, 2);
  for (int step = 0; step < STEPS; step++)
    {
      jobs_site_plan (&site);
      for (unsigned i = 0; i < JOBS; i++)
        {
          waited[i] = count_runs (jobs[i]) == 0 ? waited[i] + STEP : 0;
          longest = MAX (longest, waited[i]);
        }
      site.now += STEP;
    }
  for (unsigned i = 0; i < JOBS; i++)
    CU_ASSERT_TRUE (count_runs (jobs[i]) <= 1);
  jobs_site_finish (&site);
  return longest;
}

static void
test_wait (void)
{
  printf ("without a run for %d ms at most with a quarter reserved, "
          "%d ms with three quarters\n",
          (int)(longest_wait (2000) / GP_MSEC),
          (int)(longest_wait (6000) / GP_MSEC));
  CU_ASSERT_TRUE (longest_wait (2000) < 3 * GP_SEC);
  /* Reserved capacity is not used.  */
  CU_ASSERT_TRUE (longest_wait (6000) == STEPS * STEP);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "wait", test_wait }, CU_TEST_INFO_NULL };

  return runner_main ("starved", tests);
}

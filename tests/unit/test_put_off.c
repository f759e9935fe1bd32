/* Tests of decisions whose records are delayed, as the store does not answer
   between a decision and its order.  */

#include <stdio.h>

#include "jobs/suspicion.h"
#include "jobs_site.h"
#include "runner.h"

#define OUTAGE_TIME (7 * GP_SEC)

/* A suspect is assigned to the only executor, which is dedicated to it, and
   its order is sent after DELAY.  Prints where a job that arrives in the
   meantime is placed.  */
static void
delay_order (gp_time_t delay)
{
  jobs_site_t site;
  gp_job_t *suspect;
  gp_job_t *other;
  gp_time_t decided_at;

  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", 8);
  suspect = jobs_site_submit (&site, "00000000000000aa",
                              jobs_site_submission (1, 1000));
  gp_job_task (suspect, 0)->crashes = 2;
  gp_job_task (suspect, 0)->evidence = GP_SUSPICION_STRONG_EVIDENCE;
  decided_at = site.now;
  jobs_site_plan (&site);
  jobs_site_print_job (suspect);
  site.now += delay;
  gp_scheduler_orders_delayed (&site.scheduler, decided_at, site.now);
  other = jobs_site_submit (&site, "00000000000000bb",
                            jobs_site_submission (1, 1000));
  jobs_site_plan (&site);
  jobs_site_print_job (other);
  site.now += GP_SUSPICION_SETTLE_TIME;
  gp_suspicion_clear (gp_job_task (suspect, 0));
  jobs_site_plan (&site);
  jobs_site_print_job (other);
  jobs_site_finish (&site);
}

/* Guards against starting a crashing task six times: its executor was
   dedicated to it from the time of the decision, not of the order, so that
   other runs began on it when the store had recovered.  */
static void
test_alone (void)
{
  printf ("an executor is kept for a start that is alone until that has been "
          "ordered and has settled\n");
  delay_order (0);
  delay_order (OUTAGE_TIME);
}

/* Returns the duration learned for a task that ran 2 s; its start may have
   been HELD back at the guard.  */
static gp_time_t
learned (bool held)
{
  jobs_site_t site;
  gp_job_executor_t *executor;
  gp_job_t *job;
  gp_time_t took;

  jobs_site_init (&site);
  executor = jobs_site_executor (&site, "x1", 8);
  job = jobs_site_submit (&site, "00000000000000aa",
                          jobs_site_submission (2, 1000));
  jobs_site_plan (&site);
  gp_job_task (job, 1)->alone = held;
  gp_suspicion_extend_dedication (executor, site.now);
  site.now += 2 * GP_SEC;
  jobs_site_run_ended (&site, gp_job_task (job, 0), GP_END_DONE);
  took = gp_job_task (job, 0)->duration;
  jobs_site_finish (&site);
  return took;
}

/* If a run was held back at its guard because of an isolated start, it is
   unknown when it began.  */
static void
test_held (void)
{
  printf ("what a run took that was held at its guard: %ld ms, else %ld ms\n",
          (long)(learned (true) / GP_MSEC), (long)(learned (false) / GP_MSEC));
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "alone", test_alone }, { "held", test_held }, CU_TEST_INFO_NULL };

  return runner_main ("put_off", tests);
}

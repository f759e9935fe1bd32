/* Tests of stray runs: the next incarnation of an executor has carried out an
   order late, and a run that no job wants is running.  Its task waits until
   that run ends.  */

#include <stdio.h>

#include "agent_messages.h"
#include "jobs/agent_private.h"
#include "jobs_site.h"
#include "runner.h"

#define JOB "00000000000000aa"
#define TASK JOB ".0.0.0"
#define OTHER_JOB "00000000000000bb"

/* The guard of EXECUTOR reports RUN of TASK as stray, or no stray run (0).  */
static void
report (jobs_site_t *site, gp_job_executor_t *executor, uint32_t run)
{
  Gp__Jobs__TaskRun row = GP__JOBS__TASK_RUN__INIT;
  Gp__Jobs__TaskRun *rows[] = { &row };

  row.task = (char *)TASK;
  row.run = run;
  gp_scheduler_note_strays (&site->scheduler, executor, rows, run != 0);
}

static void
plan (jobs_site_t *site, gp_job_t *job, const char *when)
{
  jobs_site_plan (site);
  printf ("%s: ", when);
  jobs_site_print_job (job);
}

static void
test_waits (void)
{
  jobs_site_t site;
  gp_job_executor_t *first;
  gp_job_t *job;

  printf (
      "a task waits while a run of it is at work, those beside it do not\n");
  jobs_site_init (&site);
  first = jobs_site_executor (&site, "x1", 8);
  jobs_site_executor (&site, "x2", 8);
  job = jobs_site_submit (&site, JOB, jobs_site_submission (2, 1000));
  report (&site, first, 3);
  plan (&site, job, "it is told");
  report (&site, first, 3);
  plan (&site, job, "and once more");
  report (&site, first, 0);
  plan (&site, job, "it has ended");
  report (&site, gp_job_task (job, 0)->executor, gp_job_task (job, 0)->run);
  CU_ASSERT (!gp_job_executor_has_stray (gp_job_task (job, 0)));
  plan (&site, job, "its own run is no stray");
  jobs_site_finish (&site);
}

static void
test_gang (void)
{
  jobs_site_t site;
  gp_job_executor_t *first;
  Gp__Jobs__Submission *submission = jobs_site_submission (2, 1000);
  gp_job_t *job;

  printf ("a gang waits for a member's\n");
  jobs_site_init (&site);
  first = jobs_site_executor (&site, "x1", 8);
  submission->steps[0]->gang = true;
  job = jobs_site_submit (&site, JOB, submission);
  report (&site, first, 3);
  plan (&site, job, "it is told");
  report (&site, first, 0);
  plan (&site, job, "it has ended");
  jobs_site_finish (&site);
}

/* No guard reports the executor any more: the last report remains valid until
   all leases have expired.  */
static void
test_silent (void)
{
  jobs_site_t site;
  gp_job_executor_t *first;
  gp_job_t *job;

  printf ("an executor falls silent with a run that nobody wants\n");
  jobs_site_init (&site);
  first = jobs_site_executor (&site, "x1", 8);
  jobs_site_executor (&site, "x2", 8);
  job = jobs_site_submit (&site, JOB, jobs_site_submission (1, 1000));
  report (&site, first, 3);
  first->reachable = false;
  plan (&site, job, "silent");
  jobs_site_executor_dead (&site, first, GP_DEATH_UNREPORTED);
  plan (&site, job, "dead");
  jobs_site_finish (&site);
}

/* Prints whether JOB is placed while the guard of EXECUTOR reports RUN of
   TASK, and after it.  */
static void
place_beside (const char *what, const char *stray_task, unsigned cores)
{
  Gp__Jobs__TaskRun row = GP__JOBS__TASK_RUN__INIT;
  Gp__Jobs__TaskRun *rows[] = { &row };
  jobs_site_t site;
  gp_job_executor_t *executor;
  gp_job_t *job;

  printf ("%s\n", what);
  jobs_site_init (&site);
  executor = jobs_site_executor (&site, "x1", cores);
  jobs_site_submit (&site, JOB, jobs_site_submission (1, 5000));
  jobs_site_plan (&site);
  row.task = (char *)stray_task;
  row.run = 3;
  for (unsigned i = 0; i < 2; i++)
    gp_scheduler_note_strays (&site.scheduler, executor, rows, 1);
  job = jobs_site_submit (&site, OTHER_JOB, jobs_site_submission (1, 2000));
  plan (&site, job, "it runs");
  gp_scheduler_note_strays (&site.scheduler, executor, rows, 0);
  plan (&site, job, "it has ended");
  CU_ASSERT_EQUAL (executor->used.cpu_milli, 7000);
  jobs_site_finish (&site);
}

/* Guards against a start beyond an executor's capacity: what a run uses that
   the leader does not want, or does not know, was not counted.  */
static void
test_room (void)
{
  place_beside ("a stray run leaves no room", TASK, 8);
  place_beside ("a stray run leaves some room", TASK, 12);
  place_beside ("a run of an unknown job", "00000000000000cc.0.0.0", 16);
}

/* The guard stops a stray run as soon as it has a sync of the leader, not only
   after the next list.  */
static void
test_stopped_at_once (void)
{
  const gp_agent_row_t row = { .task = TASK, .run = 1 };
  Gp__Jobs__Sync sync = GP__JOBS__SYNC__INIT;
  gp_time_t again_at;
  gp_agent_call_t call;
  gp_agent_t agent;

  gp_agent_init (&agent, 0, 0);
  gp_agent_set_executor (&agent, agent_executor_new ("x1"), 1000, 0);
  gp_agent_listed (
      &agent,
      &(gp_agent_list_t){
          .runs = &row, .run_count = 1, .clock_ms = 1000, .complete = true },
      0);
  CU_ASSERT_EQUAL (gp_agent_next_call (&agent, 0, &again_at).kind,
                   GP_AGENT_CALL_NONE);
  sync.number = 1;
  sync.executor = (char *)"x1";
  gp_agent_sync (&agent, &sync);
  call = gp_agent_next_call (&agent, 0, &again_at);
  CU_ASSERT_EQUAL (call.kind, GP_AGENT_CALL_STOP);
  CU_ASSERT_EQUAL (agent.carried->len, 1);
  gp_agent_finish (&agent);
}

/* A run that was listed before the lease expired no longer counts as
   running.  */
static void
test_lapsed (void)
{
  const gp_agent_row_t row = { .task = TASK, .run = 1 };
  gp_agent_t agent;

  gp_agent_init (&agent, 0, 0);
  gp_agent_set_executor (&agent, agent_executor_new ("x1"), 1000, 0);
  gp_agent_listed (
      &agent,
      &(gp_agent_list_t){
          .runs = &row, .run_count = 1, .clock_ms = 1000, .complete = true },
      0);
  CU_ASSERT_EQUAL (agent.carried->len, 1);
  CU_ASSERT (gp_agent_lease_lapsed (&agent, gp_agent_lease_end (0) + 1));
  CU_ASSERT_EQUAL (agent.carried->len, 0);
  gp_agent_finish (&agent);
}

/* The same after the executor has ended.  */
static void
test_ended (void)
{
  const gp_agent_row_t row = { .task = TASK, .run = 1 };
  gp_agent_t agent;

  gp_agent_init (&agent, 0, 0);
  gp_agent_set_executor (&agent, agent_executor_new ("x1"), 1000, 0);
  agent_sync_incarnation (&agent, "x1", TASK, 0, 1, 0);
  gp_agent_listed (
      &agent,
      &(gp_agent_list_t){
          .runs = &row, .run_count = 1, .clock_ms = 1000, .complete = true },
      0);
  CU_ASSERT (gp_agent_find_run (&agent, TASK, 1)->listed);
  gp_agent_executor_ended (&agent);
  CU_ASSERT (!gp_agent_find_run (&agent, TASK, 1)->listed);
  gp_agent_finish (&agent);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "waits", test_waits },
                                 { "gang", test_gang },
                                 { "room", test_room },
                                 { "silent", test_silent },
                                 { "stopped at once", test_stopped_at_once },
                                 { "lapsed", test_lapsed },
                                 { "ended", test_ended },
                                 CU_TEST_INFO_NULL };

  return runner_main ("strays", tests);
}

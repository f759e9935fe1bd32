/* Which runs the leader takes for settled when executor and guard are lost
   together, so that nobody tells what had just begun.

   Guards against starting a task that crashes its executors six times or more:
   its run counted as settled a second after its order, although its start went
   unanswered or its guard was being replaced, and it began only then.  */

#include <stdio.h>

#include "jobs/suspicion.h"
#include "jobs_site.h"
#include "runner.h"

#define JOB "00000000000000aa"
#define TASK JOB ".0.0.0"
#define REPORT_TIME (300 * GP_MSEC)

/* What the reports of the guard say of the run.  */
typedef enum
{
  SAID_NOTHING,
  SAID_UNCONFIRMED, /* it is not known to have begun */
  SAID_UNSYNCED,    /* the guard does not know it, and it is not listed */
  SAID_LISTED       /* the guard does not know it, but it is listed */
} said_t;

static void
report (jobs_site_t *site, gp_job_executor_t *executor, said_t said)
{
  Gp__Jobs__TaskRun run = GP__JOBS__TASK_RUN__INIT;
  Gp__Jobs__TaskRun *runs[] = { &run };

  run.task = TASK;
  run.run = 1;
  executor->reported_at = site->now;
  switch (said)
    {
    case SAID_NOTHING:
      break;
    case SAID_UNCONFIRMED:
      gp_scheduler_note_unconfirmed (&site->scheduler, executor, runs, 1,
                                     site->now);
      break;
    case SAID_UNSYNCED:
      gp_scheduler_note_unsynced (executor, NULL, 0, site->now);
      break;
    case SAID_LISTED:
      gp_scheduler_note_unsynced (executor, runs, 1, site->now);
      break;
    }
}

/* For SAID_FOR after the order reports say SAID, then nothing for THEN; then
   executor and guard are lost.  Prints whether that counts as a crash.  */
static void
lose (const char *what, said_t said, gp_time_t said_for, gp_time_t then)
{
  jobs_site_t site;
  gp_job_executor_t *executor;
  gp_job_t *job;
  gp_time_t ordered_at;

  jobs_site_init (&site);
  executor = jobs_site_executor (&site, "x1", 8);
  executor->reported_since = site.now;
  job = jobs_site_submit (&site, JOB, jobs_site_submission (1, 1000));
  jobs_site_plan (&site);
  ordered_at = site.now;
  while (site.now + REPORT_TIME <= ordered_at + said_for + then)
    {
      site.now += REPORT_TIME;
      report (&site, executor,
              site.now <= ordered_at + said_for ? said : SAID_NOTHING);
    }
  executor->disconnected_at = site.now;
  site.now += GP_SEC;
  jobs_site_executor_dead (&site, executor, GP_DEATH_REPLACED);
  printf ("  %s: %u\n", what, gp_job_task (job, 0)->crashes);
  jobs_site_finish (&site);
}

static void
test_unanswered (void)
{
  printf ("crashes that count, nobody tells what had begun\n");
  lose ("it was there for 2.4 s", SAID_NOTHING, 0, 2400 * GP_MSEC);
  lose ("for 0.9 s", SAID_NOTHING, 0, 900 * GP_MSEC);
  lose ("its start was unanswered for 1.8 s, then it was there for 0.6 s",
        SAID_UNCONFIRMED, 1800 * GP_MSEC, 600 * GP_MSEC);
  lose ("the same, then for 1.2 s", SAID_UNCONFIRMED, 1800 * GP_MSEC,
        1200 * GP_MSEC);
}

static void
test_next_guard (void)
{
  printf ("the same, and its guard was killed before\n");
  lose ("the next one had not started it for 1.8 s, and was there for 0.6 s "
        "then",
        SAID_UNSYNCED, 1800 * GP_MSEC, 600 * GP_MSEC);
  lose ("the next one found it", SAID_LISTED, 1800 * GP_MSEC, 600 * GP_MSEC);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "unanswered", test_unanswered },
                                 { "next guard", test_next_guard },
                                 CU_TEST_INFO_NULL };

  return runner_main ("unconfirmed", tests);
}

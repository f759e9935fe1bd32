/* A suspect whose isolation timeout runs out, as another suspect keeps the
   only executor that may be dedicated.

   Guards against starting a task that crashes its executors six times or more:
   the start after the timeout is not isolated, and only if its end counts does
   the task wait for an isolated one from then on.  */

#include <stdio.h>

#include "jobs/suspicion.h"
#include "jobs_site.h"
#include "runner.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
/* Maximum number of starts of a task that crashes its executors.  */
#define STARTS_MAX 5
#define STEP (500 * GP_MSEC)

/* What the guard tells of the run when its executor crashes.  */
typedef enum
{
  TOLD_EARLIER,   /* it had begun earlier */
  TOLD_UNKNOWN,   /* it may have begun at any time */
  TOLD_JUST_BEGUN /* it had just begun, and nothing else had */
} told_t;

static void
crash (jobs_site_t *site, const gp_job_task_t *task, told_t told)
{
  Gp__Jobs__TaskRun run = GP__JOBS__TASK_RUN__INIT;
  Gp__Jobs__TaskRun *runs[] = { &run };
  gp_job_executor_t *executor = task->executor;
  char name[GP_TASK_NAME_SIZE];
  char next[32];

  gp_task_name (task, name);
  run.task = name;
  run.run = task->run;
  run.unanswered = told == TOLD_UNKNOWN;
  run.fresh = told == TOLD_JUST_BEGUN;
  run.just = told == TOLD_JUST_BEGUN;
  gp_scheduler_note_suspects (&site->scheduler, executor, runs, 1);
  g_snprintf (next, sizeof next, "%s'", executor->id);
  jobs_site_executor_dead (site, executor, GP_DEATH_REPLACED);
  jobs_site_executor (site, next, 8)->reported_at = site->now;
}

/* Plans until TASK is assigned, and prints how long that took.  While BUSY,
   the isolated run of another job does not settle on its executor.  */
static void
wait_for_start (jobs_site_t *site, gp_job_task_t *task,
                gp_job_executor_t *busy)
{
  gp_time_t since = site->now;

  for (jobs_site_plan (site);
       task->executor == NULL && site->now - since < 60 * GP_SEC;
       jobs_site_plan (site))
    {
      site->now += STEP;
      if (busy != NULL)
        gp_suspicion_extend_dedication (busy, site->now);
    }
  printf ("  start %u after %.1f s%s\n", task->run,
          (double)(site->now - since) / GP_SEC,
          task->alone ? ", isolated" : "");
}

/* The first two ends of JOB_A's task are told as FIRST and SECOND.  The second
   start waits until its isolation timeout has run out, and JOB_B settles after
   the end of that run or, if KEEPS, never.  */
static void
play (const char *what, told_t first, told_t second)
{
  jobs_site_t site;
  gp_job_t *job;
  gp_job_t *other;
  gp_job_executor_t *busy;

  printf ("%s\n", what);
  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", 8);
  other = jobs_site_submit (&site, JOB_B, jobs_site_submission (1, 1000));
  jobs_site_plan (&site);
  busy = other->tasks[0].executor;
  other->tasks[0].alone = true;
  gp_suspicion_extend_dedication (busy, site.now);
  jobs_site_executor (&site, "x2", 8);
  jobs_site_executor (&site, "x3", 8);
  job = jobs_site_submit (&site, JOB_A, jobs_site_submission (1, 1000));
  wait_for_start (&site, &job->tasks[0], busy);
  crash (&site, &job->tasks[0], first);
  wait_for_start (&site, &job->tasks[0], busy);
  crash (&site, &job->tasks[0], second);
  other->cancelled = true;
  jobs_site_run_ended (&site, &other->tasks[0], GP_END_DONE);
  while (!gp_job_ended (job) && job->tasks[0].run <= STARTS_MAX)
    {
      site.now += GP_SEC;
      wait_for_start (&site, &job->tasks[0], NULL);
      crash (&site, &job->tasks[0], TOLD_JUST_BEGUN);
    }
  jobs_site_print_job (job);
  CU_ASSERT (job->tasks[0].run <= STARTS_MAX);
  jobs_site_finish (&site);
}

static void
test_timeout (void)
{
  play ("the end of the start after the timeout counts", TOLD_UNKNOWN,
        TOLD_UNKNOWN);
  play ("it does not", TOLD_UNKNOWN, TOLD_EARLIER);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "timeout", test_timeout }, CU_TEST_INFO_NULL };

  return runner_main ("isolation timeout", tests);
}

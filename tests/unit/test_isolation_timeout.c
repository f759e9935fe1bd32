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
  LOST_IN_OUTAGE, /* nothing: it was lost together with the others */
  TOLD_EARLIER,   /* it had begun earlier */
  TOLD_UNKNOWN,   /* it may have begun at any time */
  TOLD_JUST_BEGUN /* it had just begun, and nothing else had */
} told_t;

/* EXECUTOR and its guard are lost, and no guard reports the others.  */
static void
lose_in_outage (jobs_site_t *site, gp_job_executor_t *executor)
{
  static const char *const ids[] = { "x1", "x2", "x3" };

  for (guint i = 0; i < G_N_ELEMENTS (ids); i++)
    gp_book_executor (&site->book, ids[i])->reachable = false;
  jobs_site_executor_dead (site, executor, GP_DEATH_UNREPORTED);
  for (guint i = 0; i < G_N_ELEMENTS (ids); i++)
    gp_book_executor (&site->book, ids[i])->reachable = true;
}

/* Reports the run of TASK as a suspect, as TOLD.  */
static void
report (jobs_site_t *site, const gp_job_task_t *task, told_t told)
{
  Gp__Jobs__TaskRun run = GP__JOBS__TASK_RUN__INIT;
  Gp__Jobs__TaskRun *runs[] = { &run };
  char name[GP_TASK_NAME_SIZE];

  gp_task_name (task, name);
  run.task = name;
  run.run = task->run;
  run.unanswered = told == TOLD_UNKNOWN;
  run.fresh = told == TOLD_JUST_BEGUN;
  run.just = told == TOLD_JUST_BEGUN;
  gp_scheduler_note_suspects (&site->scheduler, task->executor, runs, 1);
}

static void
crash (jobs_site_t *site, const gp_job_task_t *task, told_t told)
{
  gp_job_executor_t *executor = task->executor;
  char next[32];

  if (told == LOST_IN_OUTAGE)
    lose_in_outage (site, executor);
  else
    {
      report (site, task, told);
      jobs_site_executor_dead (site, executor, GP_DEATH_REPLACED);
    }
  g_snprintf (next, sizeof next, "%s'", executor->id);
  jobs_site_executor (site, next, 8)->reported_at = site->now;
}

/* Plans until TASK is assigned, for 20 s at most, and prints how long that
   took.  While BUSY, the isolated run of another job does not settle on its
   executor.  */
static void
wait_for_start (jobs_site_t *site, gp_job_task_t *task,
                gp_job_executor_t *busy)
{
  gp_time_t since = site->now;

  for (jobs_site_plan (site);
       task->executor == NULL && site->now - since < 20 * GP_SEC;
       jobs_site_plan (site))
    {
      site->now += STEP;
      if (busy != NULL)
        gp_suspicion_extend_dedication (busy, site->now);
    }
  if (task->executor == NULL)
    printf ("  waits\n");
  else
    printf ("  start %u after %.1f s%s\n", task->run,
            (double)(site->now - since) / GP_SEC,
            task->alone ? ", isolated" : "");
}

/* The first ends of JOB_A's task are told as those in TOLD, up to the first
   TOLD_JUST_BEGUN, while another suspect keeps the only executor that may be
   dedicated; then that one settles, and the task is the only one to have begun
   each time.  */
static void
play (const char *what, const told_t *told)
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
  busy = gp_job_task (other, 0)->executor;
  gp_job_task (other, 0)->alone = true;
  gp_suspicion_extend_dedication (busy, site.now);
  jobs_site_executor (&site, "x2", 8);
  jobs_site_executor (&site, "x3", 8);
  job = jobs_site_submit (&site, JOB_A, jobs_site_submission (1, 1000));
  for (wait_for_start (&site, gp_job_task (job, 0), busy);
       *told != TOLD_JUST_BEGUN && gp_job_task (job, 0)->executor != NULL;
       told++)
    {
      crash (&site, gp_job_task (job, 0), *told);
      wait_for_start (&site, gp_job_task (job, 0), busy);
    }
  other->cancelled = true;
  jobs_site_run_ended (&site, gp_job_task (other, 0), GP_END_DONE);
  while (!gp_job_ended (job) && gp_job_task (job, 0)->run <= STARTS_MAX)
    {
      if (gp_job_task (job, 0)->executor != NULL)
        crash (&site, gp_job_task (job, 0), TOLD_JUST_BEGUN);
      site.now += GP_SEC;
      if (!gp_job_ended (job))
        wait_for_start (&site, gp_job_task (job, 0), NULL);
    }
  jobs_site_print_job (job);
  CU_ASSERT (gp_job_task (job, 0)->run <= STARTS_MAX);
  jobs_site_finish (&site);
}

static void
test_timeout (void)
{
  static const told_t counts[]
      = { TOLD_UNKNOWN, TOLD_UNKNOWN, TOLD_JUST_BEGUN };
  static const told_t does_not[]
      = { TOLD_UNKNOWN, TOLD_EARLIER, TOLD_JUST_BEGUN };

  play ("the end of the start after the timeout counts", counts);
  play ("it does not", does_not);
}

/* Guards against one more start beside others: several such tasks go down at
   once with their guards, which looks like an outage, and the next end was
   taken for the first.  */
static void
test_outage (void)
{
  static const told_t told[]
      = { LOST_IN_OUTAGE, TOLD_UNKNOWN, TOLD_UNKNOWN, TOLD_JUST_BEGUN };

  play ("its first end passes for an outage", told);
}

/* Guards against a task that waits for an isolated start without limit after a
   single crash: its run before the last one was lost in an outage, and the one
   since was at work for long.  */
static void
test_outage_long_ago (void)
{
  static const told_t told[]
      = { LOST_IN_OUTAGE, TOLD_EARLIER, TOLD_UNKNOWN, TOLD_JUST_BEGUN };

  play ("an outage before a run that had begun earlier", told);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "timeout", test_timeout },
                                 { "outage", test_outage },
                                 { "outage long ago", test_outage_long_ago },
                                 CU_TEST_INFO_NULL };

  return runner_main ("isolation timeout", tests);
}

/* Tests of gangs: what a report about one member means for the whole gang.
   Guards against two faults: a run that several members fail counts as several
   attempts, and the room of a gang that is done is used before the ends of its
   members are listed.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "gang_world.h"
#include "runner.h"

#define JOB "00000000000000aa"
#define MEMBERS 12
#define SEEDS 50
#define JOBS 40

/* Returns a job of one gang, placed on executors that have room for it.  */
static gp_job_t *
place_gang (jobs_site_t *site, unsigned members, unsigned max_attempts)
{
  Gp__Jobs__Submission *submission = jobs_site_submission (members, 3500);
  gp_job_t *job;

  submission->max_attempts = max_attempts;
  submission->steps[0]->gang = true;
  for (unsigned i = 0; i < members; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "x%u", i + 1);
      jobs_site_executor (site, id, GANG_WORKER_CORES);
    }
  job = jobs_site_submit (site, JOB, submission);
  jobs_site_plan (site);
  return job;
}

/* The run of JOB's gang ends: the first FAILING members fail.  */
static void
fail_run (jobs_site_t *site, gp_job_t *job, unsigned failing)
{
  for (uint32_t i = 0; i < job->task_count; i++)
    if (gp_job_task (job, i)->executor != NULL)
      jobs_site_run_ended (site, gp_job_task (job, i),
                           i < failing ? GP_END_FAILED : GP_END_BROKEN);
}

/* Guards against the loss of attempts: a run counted as often as members had
   failed in it.  */
static void
test_attempts (void)
{
  for (unsigned failing = 1; failing <= MEMBERS; failing++)
    for (unsigned max_attempts = 1; max_attempts <= 4; max_attempts++)
      {
        jobs_site_t site;
        gp_job_t *job;
        unsigned runs = 0;

        jobs_site_init (&site);
        job = place_gang (&site, MEMBERS, max_attempts);
        while (!gp_job_ended (job) && runs < 2 * max_attempts)
          {
            runs++;
            fail_run (&site, job, failing);
            site.now += 10 * GP_SEC;
            jobs_site_plan (&site);
          }
        CU_ASSERT_EQUAL (job->state, GP_JOB_FAILED);
        CU_ASSERT_EQUAL (runs, max_attempts);
        jobs_site_finish (&site);
      }
}

/* Guards against a run that is counted by each leader: the record tells the
   next one that it was.  */
static void
test_attempts_after_change (void)
{
  jobs_site_t site;
  jobs_site_t next;
  gp_job_t *job;

  printf ("the leader changes between two failed ends of a run\n");
  jobs_site_init (&site);
  job = place_gang (&site, 3, 2);
  jobs_site_run_ended (&site, gp_job_task (job, 1), GP_END_FAILED);
  jobs_site_print_job (job);
  jobs_site_init (&next);
  jobs_site_rebuild_book (&site, &next.book);
  jobs_site_finish (&site);
  job = gp_book_find (&next.book, JOB);
  jobs_site_run_ended (&next, gp_job_task (job, 0), GP_END_FAILED);
  jobs_site_run_ended (&next, gp_job_task (job, 2), GP_END_BROKEN);
  jobs_site_print_job (job);
  printf ("  failed runs: %u\n", gp_job_task (job, 0)->failures);
  jobs_site_finish (&next);
}

static void
print_used (const jobs_site_t *site, const char *when)
{
  printf ("  %s:", when);
  for (unsigned i = 1; i <= 3; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "x%u", i);
      printf (" %d", (int)gp_book_executor ((gp_book_t *)&site->book, id)
                         ->used.cpu_milli);
    }
  printf ("\n");
}

/* Guards against starts beyond an executor's capacity: the first end `done` of
   a gang freed the room of all its members, and the next leader did not know
   of those that had not ended.  */
static void
test_room (void)
{
  jobs_site_t site;
  jobs_site_t next;
  gp_job_t *job;

  printf ("a gang of three is done, and its runs end one by one\n");
  jobs_site_init (&site);
  job = place_gang (&site, 3, 2);
  print_used (&site, "at work");
  jobs_site_run_ended (&site, gp_job_task (job, 1), GP_END_DONE);
  jobs_site_print_job (job);
  print_used (&site, "first end");
  CU_ASSERT_FALSE (gp_book_expired (job, INT64_MAX));
  jobs_site_init (&next);
  jobs_site_rebuild_book (&site, &next.book);
  jobs_site_finish (&site);
  job = gp_book_find (&next.book, JOB);
  jobs_site_print_job (job);
  print_used (&next, "next leader");
  jobs_site_executor_dead (&next, gp_book_executor (&next.book, "x1"),
                           GP_DEATH_UNREPORTED);
  print_used (&next, "one is lost");
  if (gp_job_task (job, 2)->executor != NULL)
    jobs_site_run_absent (&next, gp_job_task (job, 2));
  print_used (&next, "one is absent");
  jobs_site_print_job (job);
  jobs_site_finish (&next);
}

/* The run of TASK ends as HOW with CHECKPOINT.  */
static void
end_with_checkpoint (jobs_site_t *site, gp_job_task_t *task, gp_end_t how,
                     const char *checkpoint)
{
  Gp__Jobs__End end = GP__JOBS__END__INIT;
  char name[GP_TASK_NAME_SIZE];

  gp_task_name (task, name);
  end.number = 1;
  end.task = name;
  end.run = task->run;
  end.how = how;
  end.checkpoint.data = (uint8_t *)checkpoint;
  end.checkpoint.len = strlen (checkpoint);
  gp_scheduler_run_ended (&site->scheduler, task->executor, &end, site->now,
                          site->now / GP_MSEC);
}

static void
print_checkpoints (gp_job_t *job, const char *when)
{
  printf ("  %s:", when);
  for (uint32_t i = 0; i < job->task_count; i++)
    printf (" %s", gp_job_task (job, i)->checkpoint != NULL
                       ? gp_job_task (job, i)->checkpoint
                       : "-");
  printf ("\n");
}

/* Guards against work that is done twice: a gang resumed from the checkpoint
   of its first member, though that was of an earlier run, as its executor had
   been lost in the last one.  */
static void
test_checkpoint (void)
{
  jobs_site_t site;
  gp_job_t *job;

  printf ("a gang resumes from the last checkpoint of any member\n");
  jobs_site_init (&site);
  job = place_gang (&site, 3, 9);
  end_with_checkpoint (&site, gp_job_task (job, 2), GP_END_FAILED, "first");
  jobs_site_run_ended (&site, gp_job_task (job, 0), GP_END_BROKEN);
  jobs_site_run_ended (&site, gp_job_task (job, 1), GP_END_BROKEN);
  jobs_site_plan (&site);
  print_checkpoints (job, "second run");
  jobs_site_executor_dead (&site, gp_job_task (job, 0)->executor,
                           GP_DEATH_DEREGISTERED);
  for (uint32_t i = 0; i < job->task_count; i++)
    if (gp_job_task (job, i)->executor != NULL)
      end_with_checkpoint (&site, gp_job_task (job, i), GP_END_BROKEN,
                           "second");
  jobs_site_plan (&site);
  print_checkpoints (job, "third run");
  jobs_site_print_job (job);
  jobs_site_finish (&site);
}

/* Guards against a start after a run that was done: the next incarnations of
   the executors have carried out the starts late, and ended the run.  */
static void
test_done_late (void)
{
  Gp__Jobs__End end = GP__JOBS__END__INIT;
  jobs_site_t site;
  gp_job_t *job;
  gp_job_executor_t *next;

  printf ("a gang is done by a run that was given up\n");
  jobs_site_init (&site);
  job = place_gang (&site, 2, 9);
  for (uint32_t i = 0; i < 2; i++)
    jobs_site_executor_dead (&site, gp_job_task (job, i)->executor,
                             GP_DEATH_RESTARTED);
  jobs_site_print_job (job);
  next = gp_book_next_incarnation (&site.book,
                                   gp_book_executor (&site.book, "x1"), 1000);
  end.number = 1;
  end.task = (char *)JOB ".0.0.0";
  end.run = 1;
  end.how = GP_END_DONE;
  gp_scheduler_run_ended (&site.scheduler, next, &end, site.now,
                          site.now / GP_MSEC);
  jobs_site_executor (&site, "x3", GANG_WORKER_CORES);
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  jobs_site_finish (&site);
}

/* Guards against an executor that gets no work for seconds after one failed
   run, as each member on it counted as a further failure.  */
static void
test_pause (void)
{
  for (unsigned members = 2; members <= MEMBERS; members++)
    {
      jobs_site_t site;
      gp_job_executor_t *executor;
      Gp__Jobs__Submission *submission = jobs_site_submission (members, 1000);
      gp_job_t *job;
      gp_time_t failed_at;

      jobs_site_init (&site);
      executor = jobs_site_executor (&site, "x1", GANG_WORKER_CORES);
      submission->steps[0]->gang = true;
      job = jobs_site_submit (&site, JOB, submission);
      jobs_site_plan (&site);
      fail_run (&site, job, members);
      failed_at = site.now;
      CU_ASSERT_EQUAL (executor->failed_in_row, 2);
      while (!gp_job_has_run (job) && site.now < failed_at + 20 * GP_SEC)
        {
          site.now += 10 * GP_MSEC;
          jobs_site_plan (&site);
        }
      CU_ASSERT_EQUAL (site.now - failed_at, GP_SEC);
      jobs_site_finish (&site);
    }
}

/* Guards against attempts that are lost on one bad executor: only the member
   that had failed there avoided it, and the next run had another one there. */
static void
test_avoids_executor (void)
{
  for (unsigned failing = 0; failing < 4; failing++)
    {
      jobs_site_t site;
      gp_job_executor_t *bad;
      gp_job_t *job;

      jobs_site_init (&site);
      job = place_gang (&site, 4, 3);
      jobs_site_executor (&site, "x5", GANG_WORKER_CORES);
      bad = gp_job_task (job, failing)->executor;
      for (uint32_t i = 0; i < job->task_count; i++)
        jobs_site_run_ended (&site, gp_job_task (job, i),
                             i == failing ? GP_END_FAILED : GP_END_BROKEN);
      jobs_site_plan (&site);
      CU_ASSERT (gp_job_has_run (job));
      CU_ASSERT_EQUAL (bad->task_count, 0);
      jobs_site_finish (&site);
    }
}

static void
play_all (const char *what, const gang_faults_t *faults)
{
  gang_result_t sum = { 0 };

  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      const gang_result_t result = gang_world_play (faults, JOBS, seed);

      sum.jobs += result.jobs;
      sum.completed += result.completed;
      sum.failed += result.failed;
      sum.cancelled += result.cancelled;
      sum.leaders += result.leaders;
      sum.lost_workers += result.lost_workers;
      sum.forgotten += result.forgotten;
      sum.overcommits += result.overcommits;
      sum.wrong_failures += result.wrong_failures;
      sum.late_completions += result.late_completions;
      sum.alone += result.alone;
      sum.unended += result.unended;
      sum.reserved += result.reserved;
      if (result.overcommits + result.wrong_failures + result.late_completions
              + result.alone + result.unended + result.reserved
          > 0)
        fprintf (stderr, "%s, seed %u: %u %u %u %u %u %u\n", what, seed,
                 result.overcommits, result.wrong_failures,
                 result.late_completions, result.alone, result.unended,
                 result.reserved);
    }
  fprintf (stderr,
           "%s: %u jobs, %u completed, %u failed, %u cancelled, %u leaders, "
           "%u workers lost, %u ends forgotten\n",
           what, sum.jobs, sum.completed, sum.failed, sum.cancelled,
           sum.leaders, sum.lost_workers, sum.forgotten);
  printf ("%s: %u beyond capacity, %u failed at a wrong run, %u completed "
          "late, %u alone, %u not ended, %u rooms not free\n",
          what, sum.overcommits, sum.wrong_failures, sum.late_completions,
          sum.alone, sum.unended, sum.reserved);
}

/* Members that fail before their run is complete, over SEEDS seeds each.
   Guards against members that begin later and wait for those until they end
   alone.  */
static void
test_failing_starts (void)
{
  gang_faults_t faults = { .spread = 10 * GP_MSEC,
                           .report_delay = 300 * GP_MSEC,
                           .start_delay = 500 * GP_MSEC,
                           .failing_starts = 0.02,
                           .late_members_wait = true };

  play_all ("members fail as they begin", &faults);
  faults.leader_interval = 200 * GP_MSEC;
  play_all ("and leaders change", &faults);
  faults.cancelled_jobs = 0.3;
  faults.forgotten_ends = 0.2;
  faults.loss_interval = GP_SEC;
  play_all ("and workers are lost or forget ends, and jobs are cancelled",
            &faults);
}

/* Random gangs, over SEEDS seeds each.  */
static void
test_random (void)
{
  gang_faults_t faults = { .spread = 10 * GP_MSEC };

  play_all ("ends 10 ms apart", &faults);
  faults.spread = 400 * GP_MSEC;
  faults.report_delay = 300 * GP_MSEC;
  play_all ("ends 400 ms apart, reported up to 300 ms later", &faults);
  faults.failing_runs = 0.4;
  faults.failing_members = 0.5;
  play_all ("runs fail", &faults);
  faults.leader_interval = 200 * GP_MSEC;
  play_all ("and leaders change", &faults);
  faults.refused_starts = 0.02;
  play_all ("and starts are refused", &faults);
  faults.cancelled_jobs = 0.3;
  faults.forgotten_ends = 0.2;
  faults.loss_interval = GP_SEC;
  play_all ("and workers are lost or forget ends, and jobs are cancelled",
            &faults);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "attempts", test_attempts },
                                 { "attempts after a change of the leader",
                                   test_attempts_after_change },
                                 { "room", test_room },
                                 { "checkpoint", test_checkpoint },
                                 { "done late", test_done_late },
                                 { "pause", test_pause },
                                 { "avoids executor", test_avoids_executor },
                                 { "failing starts", test_failing_starts },
                                 { "random", test_random },
                                 CU_TEST_INFO_NULL };

  return runner_main ("gangs", tests);
}

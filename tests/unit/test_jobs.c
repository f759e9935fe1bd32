/* Tests of jobs: the life cycle in the scheduler, the book built from records,
   and the limits of placement.  */

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobs_site.h"
#include "runner.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define JOB_C "00000000000000cc"

/* Prints the orders made since the last call.  */
static void
print_orders (jobs_site_t *site)
{
  static const char *const names[] = { "start", "stop", "forget", "seen" };
  GArray *orders = site->scheduler.orders;

  for (guint i = 0; i < orders->len; i++)
    {
      const gp_order_t *order = &g_array_index (orders, gp_order_t, i);

      if (order->kind == GP_ORDER_SEEN)
        continue;
      printf ("  %s %u.%u on %s\n", names[order->kind], order->task->index,
              order->run, order->executor->id);
    }
  g_array_set_size (orders, 0);
}

static void
test_life (void)
{
  jobs_site_t site;
  Gp__Jobs__Submission *submission = jobs_site_submission (2, 1000);
  gp_job_t *job;

  printf ("two steps, one after the other\n");
  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", 8);
  jobs_site_add_step (submission, 1, 1000);
  job = jobs_site_submit (&site, JOB_A, submission);
  jobs_site_print_job (job);
  jobs_site_plan (&site);
  print_orders (&site);
  jobs_site_print_job (job);
  jobs_site_run_ended (&site, gp_job_task (job, 0), GP_END_DONE);
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  jobs_site_run_ended (&site, gp_job_task (job, 1), GP_END_DONE);
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  jobs_site_run_ended (&site, gp_job_task (job, 2), GP_END_DONE);
  jobs_site_print_job (job);
  jobs_site_finish (&site);
}

static void
test_attempts (void)
{
  jobs_site_t site;
  gp_job_t *job;

  printf ("a task fails as often as it may\n");
  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", 8);
  jobs_site_executor (&site, "x2", 8);
  job = jobs_site_submit (&site, JOB_A, jobs_site_submission (2, 1000));
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  jobs_site_run_ended (&site, gp_job_task (job, 0), GP_END_LAPSED);
  jobs_site_run_ended (&site, gp_job_task (job, 1), GP_END_FAILED);
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  g_array_set_size (site.scheduler.orders, 0);
  jobs_site_run_ended (&site, gp_job_task (job, 1), GP_END_FAILED);
  jobs_site_print_job (job);
  print_orders (&site);
  jobs_site_finish (&site);
}

static void
test_cancel (void)
{
  jobs_site_t site;
  gp_job_t *job;

  printf ("a cancelled job is stopped and starts nothing\n");
  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", 1);
  job = jobs_site_submit (&site, JOB_A, jobs_site_submission (2, 1000));
  jobs_site_plan (&site);
  print_orders (&site);
  gp_book_cancel (&site.book, JOB_A);
  gp_scheduler_job_changed (&site.scheduler, job, 5);
  print_orders (&site);
  jobs_site_print_job (job);
  jobs_site_run_ended (&site, gp_job_task (job, 0), GP_END_STOPPED);
  jobs_site_plan (&site);
  print_orders (&site);
  jobs_site_print_job (job);
  jobs_site_finish (&site);
}

static void
test_lasting (void)
{
  jobs_site_t site;
  Gp__Jobs__Submission *submission = jobs_site_submission (1, 1000);
  gp_job_t *job;

  printf ("a task that lasts comes back however it ends\n");
  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", 8);
  submission->steps[0]->long_running = true;
  job = jobs_site_submit (&site, JOB_A, submission);
  for (int how = GP_END_DONE; how <= GP_END_BROKEN; how++)
    {
      site.now += 20 * GP_SEC;
      jobs_site_plan (&site);
      jobs_site_print_job (job);
      jobs_site_run_ended (&site, gp_job_task (job, 0), (gp_end_t)how);
    }
  jobs_site_print_job (job);
  jobs_site_finish (&site);
}

static void
test_gang (void)
{
  jobs_site_t site;
  Gp__Jobs__Submission *submission = jobs_site_submission (3, 4000);
  gp_job_t *job;

  printf ("a gang starts whole, under one number, and ends as one\n");
  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", 8);
  submission->steps[0]->gang = true;
  job = jobs_site_submit (&site, JOB_A, submission);
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  jobs_site_executor (&site, "x2", 8);
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  jobs_site_run_ended (&site, gp_job_task (job, 0), GP_END_FAILED);
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  jobs_site_run_ended (&site, gp_job_task (job, 1), GP_END_BROKEN);
  jobs_site_run_ended (&site, gp_job_task (job, 2), GP_END_BROKEN);
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  jobs_site_run_ended (&site, gp_job_task (job, 1), GP_END_DONE);
  jobs_site_print_job (job);
  jobs_site_finish (&site);
}

static void
test_repeats (void)
{
  jobs_site_t site;
  Gp__Jobs__Submission *submission = jobs_site_submission (1, 1000);
  gp_job_t *job;

  printf ("occurrences start at their time, and may overlap\n");
  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", 8);
  submission->repeats = 3;
  submission->first_wall_ms = 2000;
  submission->interval_ms = 500;
  job = jobs_site_submit (&site, JOB_A, submission);
  for (int64_t ms = 1900; ms <= 3100; ms += 400)
    {
      site.now = ms * GP_MSEC;
      jobs_site_plan (&site);
      jobs_site_print_job (job);
    }
  jobs_site_finish (&site);
}

static void
test_priority (void)
{
  jobs_site_t site;
  Gp__Jobs__Submission *low = jobs_site_submission (4, 4000);
  gp_job_t *first;
  gp_job_t *second;

  printf ("the first priority goes first, and some room is kept for it\n");
  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", 16);
  low->priority = 2;
  first = jobs_site_submit (&site, JOB_A, low);
  second = jobs_site_submit (&site, JOB_B, jobs_site_submission (1, 2000));
  jobs_site_plan (&site);
  jobs_site_print_job (first);
  jobs_site_print_job (second);
  jobs_site_finish (&site);
}

/* Guards against a job that is accepted and never started: a task of a lower
   priority that needs a whole executor found none on an empty site.  */
static void
test_whole_executor (void)
{
  for (unsigned cpu_milli = 14000; cpu_milli <= 16000; cpu_milli += 500)
    for (unsigned priority = 0; priority <= 2; priority++)
      {
        jobs_site_t site;
        Gp__Jobs__Submission *large = jobs_site_submission (3, cpu_milli);
        Gp__Jobs__Submission *small = jobs_site_submission (1, 500);
        gp_job_t *job;

        jobs_site_init (&site);
        jobs_site_executor (&site, "x1", 16);
        jobs_site_executor (&site, "x2", 16);
        large->priority = priority;
        job = jobs_site_submit (&site, JOB_A, large);
        jobs_site_plan (&site);
        CU_ASSERT_PTR_NOT_NULL (gp_job_task (job, 0)->executor);
        CU_ASSERT_PTR_NOT_NULL (gp_job_task (job, 1)->executor);
        CU_ASSERT_PTR_NULL (gp_job_task (job, 2)->executor);
        /* What the large ones leave is kept for the first priority.  */
        small->priority = 2;
        job = jobs_site_submit (&site, JOB_B, small);
        jobs_site_plan (&site);
        CU_ASSERT_EQUAL (gp_job_has_run (job), cpu_milli <= 14500);
        jobs_site_finish (&site);
      }
}

static void
test_distrust (void)
{
  jobs_site_t site;
  Gp__Jobs__Submission *submission = jobs_site_submission (3, 1000);
  gp_job_t *job;

  printf ("an executor that fails all gets a pause\n");
  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", 8);
  submission->max_attempts = 9;
  job = jobs_site_submit (&site, JOB_A, submission);
  jobs_site_plan (&site);
  for (int i = 0; i < 3; i++)
    jobs_site_run_ended (&site, gp_job_task (job, i), GP_END_FAILED);
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  site.now += 3 * GP_SEC;
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  jobs_site_finish (&site);
}

static void
test_evacuate (void)
{
  jobs_site_t site;
  Gp__Jobs__Submission *submission = jobs_site_submission (1, 1000);
  gp_job_executor_t *executor;
  gp_job_t *long_running;
  gp_job_t *batch;

  printf ("an executor that leaves gives up what lasts\n");
  jobs_site_init (&site);
  executor = jobs_site_executor (&site, "x1", 8);
  submission->steps[0]->long_running = true;
  long_running = jobs_site_submit (&site, JOB_A, submission);
  batch = jobs_site_submit (&site, JOB_B, jobs_site_submission (1, 1000));
  jobs_site_plan (&site);
  executor->draining = true;
  executor->leaves_at = site.now + 5 * GP_SEC;
  gp_scheduler_drain (&site.scheduler, executor, site.now);
  jobs_site_print_job (long_running);
  jobs_site_print_job (batch);
  jobs_site_executor_dead (&site, executor, GP_DEATH_UNREPORTED);
  jobs_site_print_job (long_running);
  jobs_site_print_job (batch);
  jobs_site_finish (&site);
}

static void
test_harm (void)
{
  jobs_site_t site;
  Gp__Jobs__Submission *serving = jobs_site_submission (1, 1000);
  Gp__Jobs__Submission *filling = jobs_site_submission (1, 1000);
  gp_job_t *job;

  printf ("filling that harms waits for a better place, but not for ever\n");
  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", 8);
  serving->steps[0]->long_running = true;
  serving->steps[0]->target_ms = 20;
  jobs_site_submit (&site, JOB_A, serving);
  jobs_site_plan (&site);
  filling->steps[0]->fills = true;
  gp_pressure_set (&site.pressure, "image",
                   gp_pressure_image_index (&site.pressure, "image"), 3.0);
  job = jobs_site_submit (&site, JOB_B, filling);
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  site.now += 2 * GP_SEC;
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  jobs_site_finish (&site);
}

static void
test_relocate (void)
{
  jobs_site_t site;
  Gp__Jobs__Submission *filling = jobs_site_submission (2, 1000);
  gp_job_executor_t *executor;
  gp_job_t *job;

  printf ("a filling run that is held back goes on elsewhere\n");
  jobs_site_init (&site);
  executor = jobs_site_executor (&site, "x1", 8);
  filling->steps[0]->fills = true;
  filling->steps[0]->checkpointing = true;
  job = jobs_site_submit (&site, JOB_A, filling);
  jobs_site_plan (&site);
  gp_job_task (job, 0)->throttled_since = site.now;
  site.now += 2 * GP_SEC;
  gp_scheduler_relocate (&site.scheduler, executor, site.now);
  jobs_site_print_job (job);
  jobs_site_executor (&site, "x2", 8);
  gp_scheduler_relocate (&site.scheduler, executor, site.now);
  jobs_site_print_job (job);
  jobs_site_run_ended (&site, gp_job_task (job, 0), GP_END_STOPPED);
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  jobs_site_finish (&site);
}

static void
test_racks (void)
{
  jobs_site_t site;
  Gp__Jobs__Submission *together = jobs_site_submission (3, 1000);
  Gp__Jobs__Submission *near = jobs_site_submission (2, 1000);
  gp_job_t *first;
  gp_job_t *second;

  printf ("a step that wants one rack gets it, another its data's rack\n");
  jobs_site_init (&site);
  jobs_site_executor_in (&site, "x1", 2, "rack-1");
  jobs_site_executor_in (&site, "x2", 9, "rack-2");
  jobs_site_executor_in (&site, "x3", 2, "rack-1");
  together->steps[0]->same_rack = true;
  first = jobs_site_submit (&site, JOB_A, together);
  jobs_site_plan (&site);
  jobs_site_print_job (first);
  free (near->steps[0]->preferred_rack);
  near->steps[0]->preferred_rack = strdup ("rack-1");
  second = jobs_site_submit (&site, JOB_B, near);
  jobs_site_plan (&site);
  jobs_site_print_job (second);
  jobs_site_finish (&site);
}

static void
test_check (void)
{
  Gp__Jobs__Submission *submission = jobs_site_submission (0, 1000);
  GError *error = NULL;

  printf ("submissions that are refused\n");
  gp_job_check (submission, &error);
  printf ("  %s\n", error->message);
  g_clear_error (&error);
  submission->steps[0]->count = GP_JOB_MAX_TASKS;
  submission->repeats = 2;
  gp_job_check (submission, &error);
  printf ("  %s\n", error->message);
  g_clear_error (&error);
  submission->repeats = 0;
  jobs_site_add_step (submission, 1, 1000);
  submission->steps[1]->after[0] = 1;
  gp_job_check (submission, &error);
  printf ("  %s\n", error->message);
  g_clear_error (&error);
  gp__jobs__submission__free_unpacked (submission, NULL);
}

/* The book built from the records equals the leader's book.  */
static void
check_rebuilt_book (const jobs_site_t *site)
{
  gp_book_t fresh;
  GHashTableIter iter;
  gpointer value;

  gp_book_init (&fresh);
  jobs_site_rebuild_book (site, &fresh);
  g_hash_table_iter_init (&iter, site->book.jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_job_t *job = value;
      gp_job_t *rebuilt = gp_book_find (&fresh, job->id);

      CU_ASSERT (rebuilt != NULL);
      if (rebuilt == NULL)
        continue;
      CU_ASSERT_EQUAL (job->state, rebuilt->state);
      for (uint32_t i = 0; i < job->task_count; i++)
        {
          const gp_job_task_t *task = gp_job_task (job, i);
          const gp_job_task_t *other = gp_job_task (rebuilt, i);

          if (task->executor == NULL)
            CU_ASSERT_PTR_NULL (other->executor);
          if (task->executor != NULL)
            CU_ASSERT_STRING_EQUAL (task->executor->id, other->executor->id);
          if (gp_job_ended (job))
            continue;
          CU_ASSERT_EQUAL (task->state, other->state);
          if (task->state != GP_TASK_DONE)
            CU_ASSERT_EQUAL (task->run, other->run);
        }
    }
  gp_book_finish (&fresh);
}

/* Compares the reservations with a sum over all tasks in the book.  */
static void
check_reservations (const jobs_site_t *site)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, site->book.executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_executor_t *executor = value;
      int64_t cpu = 0;
      int64_t memory = 0;
      GHashTableIter jobs;
      gpointer job_value;

      g_hash_table_iter_init (&jobs, site->book.jobs);
      while (g_hash_table_iter_next (&jobs, NULL, &job_value))
        {
          gp_job_t *job = job_value;

          for (uint32_t i = 0; i < job->task_count; i++)
            {
              const Gp__Jobs__Step *step = gp_task_step (gp_job_task (job, i));

              if (gp_job_task (job, i)->executor != executor)
                continue;
              memory += step->memory_mb;
              if (!step->fills)
                cpu += step->cpu_milli;
            }
        }
      CU_ASSERT_EQUAL (cpu, executor->used.cpu_milli);
      CU_ASSERT_EQUAL (memory, executor->used.memory_mb);
      CU_ASSERT (cpu <= executor->capacity.cpu_milli);
      CU_ASSERT (memory <= executor->capacity.memory_mb);
    }
}

static void
submit_random (jobs_site_t *site, GRand *random, unsigned number)
{
  char id[GP_JOB_ID_SIZE + 1];
  Gp__Jobs__Submission *submission
      = jobs_site_submission ((unsigned)g_rand_int_range (random, 1, 6),
                              (unsigned)g_rand_int_range (random, 100, 4000));

  g_snprintf (id, sizeof id, "%016x", number);
  submission->priority = (unsigned)g_rand_int_range (random, 0, 3);
  submission->steps[0]->fills = g_rand_int_range (random, 0, 3) == 0;
  submission->steps[0]->gang = g_rand_int_range (random, 0, 4) == 0;
  submission->steps[0]->long_running = g_rand_int_range (random, 0, 5) == 0;
  if (g_rand_int_range (random, 0, 2))
    jobs_site_add_step (submission, 2, 500);
  jobs_site_submit (site, id, submission);
}

static void
end_some_runs (jobs_site_t *site, GRand *random)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, site->book.jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_job_t *job = value;

      for (uint32_t i = 0; i < job->task_count; i++)
        if (gp_job_task (job, i)->executor != NULL
            && g_rand_int_range (random, 0, 4) == 0)
          jobs_site_run_ended (site, gp_job_task (job, i),
                               (gp_end_t)g_rand_int_range (random, GP_END_DONE,
                                                           GP_END_ALONE + 1));
    }
}

static void
step_random (jobs_site_t *site, GRand *random, unsigned number)
{
  char id[8];

  site->now += g_rand_int_range (random, 1, 500) * GP_MSEC;
  switch (g_rand_int_range (random, 0, 8))
    {
    case 0:
      g_snprintf (id, sizeof id, "x%d", g_rand_int_range (random, 0, 4));
      jobs_site_executor_dead (site, gp_book_executor (&site->book, id),
                               GP_DEATH_UNREPORTED);
      jobs_site_executor (site, id, 8)->dead = false;
      break;
    case 1:
      {
        char job_id[GP_JOB_ID_SIZE + 1];
        gp_job_t *job;

        g_snprintf (job_id, sizeof job_id, "%016x", number / 2);
        job = gp_book_find (&site->book, job_id);
        if (job == NULL)
          break;
        gp_book_cancel (&site->book, job_id);
        gp_scheduler_job_changed (&site->scheduler, job, site->now / GP_MSEC);
        break;
      }
    default:
      submit_random (site, random, number);
    }
  end_some_runs (site, random);
  jobs_site_plan (site);
}

static void
test_random (void)
{
  for (guint32 seed = 1; seed <= 40; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      jobs_site_t site;

      jobs_site_init (&site);
      for (int i = 0; i < 4; i++)
        {
          char id[8];

          g_snprintf (id, sizeof id, "x%d", i);
          jobs_site_executor (&site, id, 8);
        }
      for (unsigned step = 0; step < 120; step++)
        {
          step_random (&site, random, step);
          check_reservations (&site);
        }
      check_rebuilt_book (&site);
      jobs_site_finish (&site);
      g_rand_free (random);
    }
}

/* An end whose job has progress but no submission yet is not confirmed.  */
static void
test_end_early (void)
{
  const char *id = "00000000000000e1";
  char name[GP_TASK_NAME_SIZE];
  Gp__Jobs__End end = GP__JOBS__END__INIT;
  Gp__Jobs__Progress progress = GP__JOBS__PROGRESS__INIT;
  Gp__Jobs__TaskProgress task = GP__JOBS__TASK_PROGRESS__INIT;
  Gp__Jobs__TaskProgress *tasks[] = { &task };
  uint8_t packed[32];
  size_t size;
  jobs_site_t site;
  gp_job_executor_t *executor;
  unsigned before;

  jobs_site_init (&site);
  executor = jobs_site_executor (&site, "x0", 8);
  before = site.scheduler.orders->len;
  g_snprintf (name, sizeof name, "%s.0.0.0", id);
  end.number = 1;
  end.task = name;
  end.run = 1;
  end.how = GP_END_DONE;
  task.run = 1;
  task.executor = "x0";
  progress.state = GP_JOB_RUNNING;
  progress.tasks = tasks;
  progress.n_tasks = 1;
  size = gp__jobs__progress__pack (&progress, packed);
  CU_ASSERT_PTR_NOT_NULL (
      gp_book_progress (&site.book, id, packed, size, NULL));
  CU_ASSERT_TRUE (gp_book_awaits_submission (&site.book, name));
  CU_ASSERT_FALSE (
      gp_scheduler_run_ended (&site.scheduler, executor, &end, site.now, 0));
  CU_ASSERT_EQUAL (site.scheduler.orders->len, before);

  /* A job that has ended does not await its submission.  */
  progress.state = GP_JOB_COMPLETED;
  progress.ended_wall_ms = 1;
  size = gp__jobs__progress__pack (&progress, packed);
  CU_ASSERT_PTR_NOT_NULL (
      gp_book_progress (&site.book, id, packed, size, NULL));
  CU_ASSERT_FALSE (gp_book_awaits_submission (&site.book, name));

  /* An end of an unknown job is confirmed: the job has expired.  */
  name[0] = '1';
  CU_ASSERT_TRUE (
      gp_scheduler_run_ended (&site.scheduler, executor, &end, site.now, 0));
  CU_ASSERT_EQUAL (site.scheduler.orders->len, before + 1);
  jobs_site_finish (&site);
}

/* An executor of a service that no queue names is never used, however much
   free capacity it has.  */
static void
test_foreign_service (void)
{
  jobs_site_t site;
  Gp__Jobs__Executor report = GP__JOBS__EXECUTOR__INIT;
  gp_job_executor_t *foreign;
  gp_job_t *job;

  printf ("an executor of a service that no queue names\n");
  jobs_site_init (&site);
  foreign = jobs_site_executor (&site, "x1", 8);
  report.id = (char *)"x1";
  report.service = (char *)"elsewhere";
  report.cpu_milli = 64000;
  report.memory_mb = 64000;
  gp_job_executor_update (foreign, &report, site.now);
  job = jobs_site_submit (&site, JOB_A, jobs_site_submission (2, 1000));
  jobs_site_plan (&site);
  print_orders (&site);
  jobs_site_print_job (job);
  jobs_site_executor (&site, "x2", 1);
  jobs_site_plan (&site);
  print_orders (&site);
  jobs_site_print_job (job);
  jobs_site_finish (&site);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "life", test_life },
                                 { "attempts", test_attempts },
                                 { "cancel", test_cancel },
                                 { "lasting", test_lasting },
                                 { "gang", test_gang },
                                 { "whole executor", test_whole_executor },
                                 { "repeats", test_repeats },
                                 { "priority", test_priority },
                                 { "distrust", test_distrust },
                                 { "evacuate", test_evacuate },
                                 { "harm", test_harm },
                                 { "relocate", test_relocate },
                                 { "racks", test_racks },
                                 { "check", test_check },
                                 { "random", test_random },
                                 { "end_early", test_end_early },
                                 { "foreign_service", test_foreign_service },
                                 CU_TEST_INFO_NULL };

  return runner_main ("jobs", tests);
}

/* Tests of forecasts and of the ranking of jobs: what is learned from noisy
   durations, and that in an overload at least as many jobs are in time as when
   ordered by their objectives alone.  */

#include <glib.h>
#include <math.h>
#include <stdio.h>

#include "jobs/urgency.h"
#include "jobs_site.h"
#include "runner.h"

#define SEEDS 60
#define JOBS_MAX 24
#define CORES 8

static void
make_id (char id[GP_JOB_ID_SIZE + 1], unsigned number)
{
  g_snprintf (id, GP_JOB_ID_SIZE + 1, "%016x", number);
}

/* Another process that takes over FORECAST predicts the same for JOB; an
   invalid forecast is refused.  */
static void
check_taken_over (const gp_forecast_t *forecast, gp_job_t *job, gp_time_t now)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Forecast));
  Gp__Jobs__Forecast *row;
  gp_forecast_t other;
  gp_time_t due_at = job->due_at;

  gp_forecast_init (&other);
  gp_forecast_pack (forecast, SIZE_MAX, rows);
  CU_ASSERT_EQUAL_FATAL (rows->len, 1);
  row = &g_array_index (rows, Gp__Jobs__Forecast, 0);
  CU_ASSERT_TRUE (gp_forecast_set (&other, row));
  job->forecast_at = 0;
  gp_forecast_job (&other, job, now);
  CU_ASSERT_DOUBLE_EQUAL ((double)(job->due_at - due_at) / GP_SEC, 0.0, 3.0);
  row->spread = NAN;
  CU_ASSERT_FALSE (gp_forecast_set (&other, row));
  g_array_free (rows, TRUE);
  gp_forecast_finish (&other);
}

/* Durations are 3 s times the square root of the estimate in seconds.  */
static void
test_forecast (void)
{
  Gp__Jobs__Submission *submission = jobs_site_submission (4, 1000);
  Gp__Jobs__Step *step = submission->steps[0];
  GRand *random = g_rand_new_with_seed (3);
  gp_forecast_t forecast;
  jobs_site_t site;
  gp_job_t *job;

  gp_forecast_init (&forecast);
  for (int i = 0; i < 400; i++)
    {
      double noise = g_rand_double_range (random, -0.3, 0.3);

      step->estimate_ms = (uint32_t)g_rand_int_range (random, 200, 9000);
      gp_forecast_learn (&forecast, "queue", step,
                         (gp_time_t)(3.0 * sqrt (step->estimate_ms / 1000.0)
                                     * exp (noise) * GP_SEC));
      gp_forecast_learn_spread (&forecast, "queue", step, 2 * GP_SEC, GP_SEC);
    }
  step->estimate_ms = 4000;
  jobs_site_init (&site);
  job = jobs_site_submit (&site, "00000000000000aa", submission);
  gp_forecast_job (&forecast, job, site.now);
  CU_ASSERT_DOUBLE_EQUAL ((double)job->task_times[0] / GP_SEC, 6.0, 0.4);
  /* One and a half times the longest task, which takes twice the mean.  */
  CU_ASSERT_DOUBLE_EQUAL ((double)(job->due_at - site.now) / GP_SEC, 18.25,
                          1.4);
  check_taken_over (&forecast, job, site.now);
  jobs_site_finish (&site);
  gp_forecast_finish (&forecast);
  g_rand_free (random);
}

static void
test_unknown (void)
{
  gp_forecast_t forecast;
  jobs_site_t site;
  gp_job_t *job;

  gp_forecast_init (&forecast);
  jobs_site_init (&site);
  job = jobs_site_submit (&site, "00000000000000aa",
                          jobs_site_submission (1, 1000));
  gp_forecast_job (&forecast, job, site.now);
  CU_ASSERT_EQUAL (job->task_times[0], GP_SEC);
  CU_ASSERT_EQUAL (job->due_at - site.now, 1750 * GP_MSEC);
  CU_ASSERT_EQUAL (job->useless_at - site.now, 5250 * GP_MSEC);
  jobs_site_finish (&site);
  gp_forecast_finish (&forecast);
}

/* The objective of a timed job is that of its next occurrence.  */
static void
test_timed (void)
{
  gp_forecast_t forecast;
  jobs_site_t site;
  gp_job_t *job;
  Gp__Jobs__Submission *submission = jobs_site_submission (2, 1000);

  submission->repeats = 3;
  submission->interval_ms = 60000;
  submission->first_wall_ms = 10000;
  gp_forecast_init (&forecast);
  jobs_site_init (&site);
  job = jobs_site_submit (&site, "00000000000000aa", submission);
  gp_forecast_job (&forecast, job, site.now);
  CU_ASSERT_EQUAL (job->due_at - job->submitted_at, 11750 * GP_MSEC);
  for (uint32_t i = 0; i < 2; i++)
    gp_task_set_state (gp_job_task (job, i), GP_TASK_DONE);
  job->forecast_at = 0;
  gp_forecast_job (&forecast, job, site.now);
  CU_ASSERT_EQUAL (job->due_at - job->submitted_at, 71750 * GP_MSEC);
  jobs_site_finish (&site);
  gp_forecast_finish (&forecast);
}

/* Steps without an image are learned by queue.  */
static void
test_queues (void)
{
  Gp__Jobs__Submission *submission = jobs_site_submission (1, 1000);
  gp_forecast_t forecast;
  jobs_site_t site;
  gp_job_t *job;

  *submission->steps[0]->image = '\0';
  gp_forecast_init (&forecast);
  for (int i = 0; i < 50; i++)
    gp_forecast_learn (&forecast, "other", submission->steps[0], 9 * GP_SEC);
  jobs_site_init (&site);
  job = jobs_site_submit (&site, "00000000000000aa", submission);
  gp_forecast_job (&forecast, job, site.now);
  CU_ASSERT_EQUAL (job->task_times[0], GP_SEC);
  jobs_site_finish (&site);
  gp_forecast_finish (&forecast);
}

static void
print_order (const jobs_site_t *site)
{
  static const char *const names[] = { "in time", "late", "none" };
  GArray *ranked
      = gp_urgency_rank (&site->book, &site->scheduler.forecast, site->now);

  for (guint i = 0; i < ranked->len; i++)
    {
      const gp_ranked_job_t *row = &g_array_index (ranked, gp_ranked_job_t, i);

      printf ("  %s %s\n", row->job->id + 14, names[row->deadline_class]);
    }
  g_array_free (ranked, TRUE);
}

/* Each job needs all eight cores for one second of its 3.25 s.  */
static Gp__Jobs__Submission *
big_job (void)
{
  Gp__Jobs__Submission *submission = jobs_site_submission (8, 1000);

  submission->stretch_percent = 300;
  return submission;
}

static void
test_order (void)
{
  jobs_site_t site;
  char id[GP_JOB_ID_SIZE + 1];

  printf ("four jobs of a second each, due in four\n");
  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", CORES);
  for (unsigned i = 1; i <= 4; i++)
    {
      make_id (id, i);
      jobs_site_submit (&site, id, big_job ());
    }
  print_order (&site);
  printf ("a fifth finds no room, the one that has begun keeps its own\n");
  make_id (id, 5);
  jobs_site_submit (&site, id, big_job ());
  jobs_site_plan (&site);
  print_order (&site);
  printf ("a job of the first priority takes room before them\n");
  jobs_site_submit (&site, "00000000000000ff", big_job ());
  GP_LIST_FOREACH (link, &site.book.live)
  {
    gp_job_t *job = GP_CONTAINER_OF (link, gp_job_t, link);

    job->submission->priority = job->id[15] == 'f' ? 0 : 2;
  }
  print_order (&site);
  printf ("two seconds later\n");
  site.now += 2 * GP_SEC;
  print_order (&site);
  printf ("much later\n");
  site.now += 20 * GP_SEC;
  print_order (&site);
  jobs_site_finish (&site);
}

static double
work_of (gp_job_t *job)
{
  const Gp__Jobs__Step *step = job->submission->steps[0];

  return (double)job->task_times[0] * step->cpu_milli * step->count
         / (1000.0 * CORES);
}

/* Returns how many jobs finish by their objectives when those in ROWS up to
   DEADLINE_CLASS are done one after the other, each on all cores.  */
static unsigned
in_time (const GArray *rows, gp_deadline_class_t deadline_class, gp_time_t now)
{
  double end = (double)now;
  unsigned count = 0;

  for (guint i = 0; i < rows->len; i++)
    {
      const gp_ranked_job_t *row = &g_array_index (rows, gp_ranked_job_t, i);

      if (row->deadline_class > deadline_class)
        continue;
      end += work_of (row->job);
      count += end <= (double)row->job->due_at;
    }
  return count;
}

static gint
by_objective (gconstpointer a, gconstpointer b)
{
  const gp_ranked_job_t *left = a;
  const gp_ranked_job_t *right = b;

  return left->job->due_at < right->job->due_at ? -1 : 1;
}

/* All jobs ranked as in time are in time, and they are no fewer than with the
   plain order by objectives.  */
static void
check_against_plain (const jobs_site_t *site)
{
  GArray *ranked
      = gp_urgency_rank (&site->book, &site->scheduler.forecast, site->now);
  unsigned ranked_in_time = 0;
  unsigned plain;

  for (guint i = 0; i < ranked->len; i++)
    ranked_in_time += g_array_index (ranked, gp_ranked_job_t, i).deadline_class
                      == GP_DEADLINE_IN_TIME;
  CU_ASSERT_EQUAL (in_time (ranked, GP_DEADLINE_IN_TIME, site->now),
                   ranked_in_time);
  g_array_sort (ranked, by_objective);
  plain = in_time (ranked, GP_DEADLINE_USELESS, site->now);
  CU_ASSERT_TRUE (ranked_in_time >= plain);
  g_array_free (ranked, TRUE);
}

static void
test_plain (void)
{
  for (unsigned seed = 0; seed < SEEDS; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      unsigned jobs = (unsigned)g_rand_int_range (random, 1, JOBS_MAX);
      jobs_site_t site;
      char id[GP_JOB_ID_SIZE + 1];

      jobs_site_init (&site);
      jobs_site_executor (&site, "x1", CORES);
      for (unsigned i = 0; i < jobs; i++)
        {
          Gp__Jobs__Submission *submission
              = jobs_site_submission (CORES, 1000);

          submission->stretch_percent
              = (uint32_t)g_rand_int_range (random, 120, 1500);
          make_id (id, i);
          jobs_site_submit (&site, id, submission);
        }
      check_against_plain (&site);
      jobs_site_finish (&site);
      g_rand_free (random);
    }
}

/* Guards against ranking a long-running job last when its run has to move long
   after the job's start, while there is more work than capacity.  Ranked by
   the objective of that start, it was without a run for 8.4 s and more in two
   runs of a site with planned faults only; with this order for 0.9 s at most
   (tests/soak-seeds, seed 9).  */
static void
test_lasting (void)
{
  Gp__Jobs__Submission *submission = jobs_site_submission (2, 1000);
  char id[GP_JOB_ID_SIZE + 1];
  const gp_ranked_job_t *first;
  jobs_site_t site;
  gp_job_t *long_running;
  GArray *ranked;

  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", CORES);
  submission->steps[0]->long_running = true;
  long_running = jobs_site_submit (&site, "00000000000000aa", submission);
  site.now += 60 * GP_SEC;
  for (unsigned i = 0; i < JOBS_MAX; i++)
    {
      make_id (id, i);
      jobs_site_submit (&site, id, jobs_site_submission (CORES, 1000));
    }
  ranked = gp_urgency_rank (&site.book, &site.scheduler.forecast, site.now);
  first = &g_array_index (ranked, gp_ranked_job_t, 0);
  CU_ASSERT_PTR_EQUAL (first->job, long_running);
  CU_ASSERT_EQUAL (first->deadline_class, GP_DEADLINE_IN_TIME);
  g_array_free (ranked, TRUE);
  jobs_site_finish (&site);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "forecast", test_forecast }, { "unknown", test_unknown },
          { "timed", test_timed },       { "queues", test_queues },
          { "order", test_order },       { "plain", test_plain },
          { "lasting", test_lasting },   CU_TEST_INFO_NULL };

  return runner_main ("urgency", tests);
}

/* What accepted jobs take: submissions are refused before the book is full,
   tasks take memory only once something is known of them, and entries that
   accept jobs at the same time stay within the limit together.  */

#include "jobs/book_limit.h"

#include <glib.h>
#include <stdio.h>

#include "jobs_site.h"
#include "runner.h"

#define KIB ((size_t)1024)
#define MIB (1024 * KIB)

/* An entry that has read the log at NOW, holds HELD bytes, and has accepted
   ACCEPTED in all.  */
static void
print_admitted (gp_book_limit_t *limit, size_t held, uint64_t *accepted,
                size_t cost, gp_time_t now)
{
  gp_book_load_t load
      = { .held = held, .accepted = *accepted, .read_at = now };
  bool admitted = gp_book_limit_admits (limit, &load, cost);

  printf ("  %zu KiB beside %zu KiB at %.1f s: %s\n", cost / KIB, held / KIB,
          (double)now / GP_SEC, admitted ? "accepted" : "refused");
  if (admitted)
    *accepted += cost;
}

/* Guards against small jobs that are refused because of large ones, and
   against a limit that another entry cannot keep.  */
static void
test_script (void)
{
  gp_book_limit_t limit;
  uint64_t accepted = 0;

  printf ("an entry of 16 MiB\n");
  gp_book_limit_init (&limit, 16 * MIB);
  print_admitted (&limit, 0, &accepted, MIB, GP_SEC);
  print_admitted (&limit, 0, &accepted, 2 * MIB, 10 * GP_SEC);
  print_admitted (&limit, 11 * MIB, &accepted, 256 * KIB, 20 * GP_SEC);
  print_admitted (&limit, 11 * MIB, &accepted, 2 * KIB, 20 * GP_SEC);
  print_admitted (&limit, 12 * MIB, &accepted, 2 * KIB, 30 * GP_SEC);
  printf ("within two windows, one of two entries\n");
  gp_book_limit_announced (&limit, "other", 16 * MIB);
  print_admitted (&limit, 0, &accepted, MIB, 40 * GP_SEC);
  print_admitted (&limit, MIB, &accepted, MIB, 41 * GP_SEC);
  print_admitted (&limit, 2 * MIB, &accepted, MIB, 42 * GP_SEC);
  print_admitted (&limit, 2 * MIB, &accepted, MIB, 45 * GP_SEC);
  print_admitted (&limit, 2 * MIB, &accepted, MIB, 48 * GP_SEC);
  printf ("the log is not read after that\n");
  print_admitted (&limit, 2 * MIB, &accepted, MIB / 2, 48 * GP_SEC);
  print_admitted (&limit, 2 * MIB, &accepted, MIB, 48 * GP_SEC);
  print_admitted (&limit, 2 * MIB, &accepted, MIB / 2, 48 * GP_SEC);
  printf ("beside an entry of 4 MiB\n");
  gp_book_limit_announced (&limit, "other", 4 * MIB);
  print_admitted (&limit, 0, &accepted, MIB / 4, 60 * GP_SEC);
  print_admitted (&limit, 3 * MIB, &accepted, KIB, 70 * GP_SEC);
  gp_book_limit_announced (&limit, "other", 0);
  print_admitted (&limit, 3 * MIB, &accepted, KIB, 80 * GP_SEC);
  gp_book_limit_finish (&limit);
}

/* Entries that accept jobs at the same time.  */

#define ENTRIES_MAX 12
#define BOOK_SIZE (16 * MIB)
#define COST_MAX (400 * KIB)
#define STEP_TIME (100 * GP_MSEC)
#define STEPS 300
/* After so many steps, all entries know of a job.  */
#define VIEW_STEPS 20
#define SEEDS 100

typedef struct
{
  gp_book_limit_t limits[ENTRIES_MAX];
  size_t accepted[STEPS][ENTRIES_MAX]; /* by each entry at each step */
  uint64_t totals[ENTRIES_MAX];
  unsigned entries;
} site_t;

/* Returns what ENTRY knows to be held at STEP.  */
static size_t
view_of (const site_t *site, unsigned entry, int step)
{
  size_t held = 0;

  for (int s = 0; s <= step; s++)
    for (unsigned e = 0; e < site->entries; e++)
      if (e == entry || s < step - VIEW_STEPS)
        held += site->accepted[s][e];
  return held;
}

static void
site_init (site_t *site, unsigned entries)
{
  *site = (site_t){ .entries = entries };
  for (unsigned e = 0; e < entries; e++)
    {
      gp_book_limit_init (&site->limits[e], BOOK_SIZE);
      for (unsigned other = 0; other < entries; other++)
        if (other != e)
          {
            g_autofree char *node = g_strdup_printf ("e%u", other);

            gp_book_limit_announced (&site->limits[e], node, BOOK_SIZE);
          }
    }
}

static size_t
play (site_t *site, GRand *rand)
{
  size_t total = 0;

  for (int step = 0; step < STEPS; step++)
    for (unsigned e = 0; e < site->entries; e++)
      for (int i = 0; i < 3; i++)
        {
          size_t cost = (size_t)g_rand_int_range (rand, KIB, COST_MAX);
          gp_book_load_t load = { .held = view_of (site, e, step),
                                  .accepted = site->totals[e],
                                  .read_at = GP_SEC + step * STEP_TIME };

          if (!gp_book_limit_admits (&site->limits[e], &load, cost))
            continue;
          site->accepted[step][e] += cost;
          site->totals[e] += cost;
          total += cost;
        }
  return total;
}

/* Guards against entries that each accept what is left for all: beyond the
   limit there is at most one job of each.  */
static void
test_several_entries (void)
{
  site_t *site = g_new (site_t, 1);

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      size_t total;

      site_init (site, 1 + seed % ENTRIES_MAX);
      total = play (site, rand);
      CU_ASSERT_TRUE (total <= gp_book_limit_submissions (&site->limits[0])
                                   + site->entries * COST_MAX);
      CU_ASSERT_TRUE (total >= BOOK_SIZE / 8);
      for (unsigned e = 0; e < site->entries; e++)
        gp_book_limit_finish (&site->limits[e]);
      g_rand_free (rand);
    }
  g_free (site);
}

/* Tasks.  */

static const unsigned sizes[] = { 1, 10, 100, 1000, 5000 };

/* Guards against waiting jobs that take memory for each of their tasks.  */
static void
test_waiting_tasks (void)
{
  size_t of_one_task = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      jobs_site_t site;

      jobs_site_init (&site);
      jobs_site_executor (&site, "x1", 8);
      for (unsigned n = 0; n < 100; n++)
        {
          Gp__Jobs__Submission *submission
              = jobs_site_submission (sizes[i], 9000);
          g_autofree char *id = g_strdup_printf ("%016x", n);

          jobs_site_submit (&site, id, submission);
        }
      jobs_site_plan (&site);
      if (i == 0)
        of_one_task = site.book.costs.submissions;
      printf ("100 jobs of %u tasks that wait: %.2f times as much as of one, "
              "%zu for tasks\n",
              sizes[i], (double)site.book.costs.submissions / of_one_task,
              site.book.costs.tasks);
      CU_ASSERT_EQUAL (site.book.costs.tasks, 0);
      jobs_site_finish (&site);
    }
}

#define LARGE_JOBS 20
#define LARGE_TASKS 2000
/* Enough for the tasks of one such job.  */
#define MAX_TASKS_SIZE (500 * KIB)

static unsigned
count_known (const gp_book_t *book)
{
  unsigned known = 0;

  GP_LIST_FOREACH (link, &book->live)
  known += GP_CONTAINER_OF (link, gp_job_t, link)->tasks != NULL;
  return known;
}

static void
end_first_run (jobs_site_t *site, gp_job_executor_t *executor)
{
  gp_job_task_t *task
      = GP_CONTAINER_OF (executor->tasks.next, gp_job_task_t, on_executor);

  jobs_site_run_ended (site, task, GP_END_DONE);
}

/* Guards against a leader that makes the tasks of all jobs known at once,
   against jobs that wait for memory for good, and against an ended job that
   keeps its tasks.  */
static void
test_known_tasks (void)
{
  jobs_site_t site;
  gp_job_executor_t *executor;
  gp_job_t *jobs[LARGE_JOBS];
  size_t most = 0;
  unsigned ended = 0;

  jobs_site_init (&site);
  site.book.max_tasks = MAX_TASKS_SIZE;
  executor = jobs_site_executor (&site, "x1", 8);
  for (unsigned n = 0; n < LARGE_JOBS; n++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", n);

      jobs[n] = jobs_site_submit (&site, id,
                                  jobs_site_submission (LARGE_TASKS, 1000));
    }
  jobs_site_plan (&site);
  printf ("%d jobs of %d tasks, 500 KiB for tasks: known %u\n", LARGE_JOBS,
          LARGE_TASKS, count_known (&site.book));
  for (int n = 0; n < LARGE_JOBS * LARGE_TASKS; n++)
    {
      end_first_run (&site, executor);
      most = MAX (most, site.book.costs.tasks);
      for (unsigned i = 0; i < LARGE_JOBS; i++)
        jobs[i]->recorded = jobs[i]->state;
      if (n % 100 == 99)
        gp_book_forget_ended_tasks (&site.book);
      jobs_site_plan (&site);
    }
  for (unsigned i = 0; i < LARGE_JOBS; i++)
    ended += jobs[i]->state == GP_JOB_COMPLETED;
  gp_book_forget_ended_tasks (&site.book);
  printf ("  completed %u, within the limit: %d, now %zu bytes of tasks\n",
          ended, most <= site.book.max_tasks, site.book.costs.tasks);
  CU_ASSERT_TRUE (most <= site.book.max_tasks);
  jobs_site_finish (&site);
}

/* Guards against cancellations of jobs that nobody has submitted that stay for
   good, and against one that is forgotten before its job arrives.  */
static void
test_cancellations (void)
{
  const char *ids[] = { "0000000000000001", "0000000000000002" };
  jobs_site_t site;
  gp_job_t *job;

  jobs_site_init (&site);
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      gp_book_cancel (&site.book, ids[i]);
      gp_book_cancel (&site.book, ids[i]);
    }
  CU_ASSERT_EQUAL (site.book.costs.cancellations,
                   2 * gp_job_undefined_cost ());
  gp_book_note_undefined (&site.book, 1000);
  gp_book_note_undefined (&site.book, 2000);
  gp_book_expire (&site.book, 1000);
  CU_ASSERT_EQUAL (g_hash_table_size (site.book.jobs), 2);
  job = jobs_site_submit (&site, ids[0], jobs_site_submission (1, 1000));
  CU_ASSERT_TRUE (job->cancelled);
  CU_ASSERT_EQUAL (site.book.costs.cancellations, gp_job_undefined_cost ());
  gp_book_expire (&site.book, 1001);
  CU_ASSERT_PTR_EQUAL (gp_book_find (&site.book, ids[0]), job);
  CU_ASSERT_PTR_NULL (gp_book_find (&site.book, ids[1]));
  CU_ASSERT_EQUAL (site.book.costs.cancellations, 0);
  gp_book_clear (&site.book);
  CU_ASSERT_EQUAL (site.book.costs.submissions, 0);
  jobs_site_finish (&site);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "script", test_script },
                          { "several entries", test_several_entries },
                          { "waiting tasks", test_waiting_tasks },
                          { "known tasks", test_known_tasks },
                          { "cancellations", test_cancellations },
                          CU_TEST_INFO_NULL };

  return runner_main ("book_limit", tests);
}

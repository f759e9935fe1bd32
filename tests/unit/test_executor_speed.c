/* Tests of the measure of executors' speeds and of placement by it, on a
   simulated site whose executors run at different speeds.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/counters.h"
#include "jobs/executor_speed.h"
#include "jobs_site.h"
#include "runner.h"

#define TICK (20 * GP_MSEC)
#define CORES 8
#define FIRST "x00"
/* Nominal duration of a quick task, and the objective of its job: one and a
   half times that and the queue's target.  */
#define QUICK_TIME (2 * GP_SEC)
#define QUICK_OBJECTIVE (3250 * GP_MSEC)

typedef struct
{
  gp_job_task_t *task;
  uint32_t run;
  gp_time_t ends_at;
} sim_run_t;

typedef struct
{
  jobs_site_t sites[2]; /* of the leader and of its successor */
  jobs_site_t *site;
  GRand *random;
  GArray *runs;         /* sim_run_t, those that are running */
  GPtrArray *jobs;      /* gp_job_t, all that were submitted */
  unsigned executors;   /* named x00, x01 and so on */
  unsigned slow;        /* the first SLOW executors are slow */
  double slowdown;      /* factor of the duration of runs there */
  unsigned long_one_in; /* one task in LONG_ONE_IN takes seven times as long,
                           0: none */
  gp_time_t next_job_at;
  unsigned slow_seen; /* executors that counted as slow, summed over ticks */
  unsigned wrong;     /* the same, of executors that were not slow */
  unsigned starts_on_first; /* runs started on x00 */
  gp_time_t last_end;       /* last end of a run on x00 */
} sim_t;

static void
add_executors (sim_t *sim)
{
  char id[8];

  for (unsigned i = 0; i < sim->executors; i++)
    {
      g_snprintf (id, sizeof id, "x%02u", i);
      jobs_site_executor (sim->site, id, CORES);
    }
}

/* A leader reads what an earlier one has learned.  */
static void
load_model (sim_t *sim)
{
  Gp__Jobs__Forecast row = GP__JOBS__FORECAST__INIT;

  row.image = (char *)"image";
  row.slope = 1.0;
  row.spread = 1.2;
  CU_ASSERT_TRUE (gp_forecast_set (&sim->site->scheduler.forecast, &row));
}

static void
init (sim_t *sim, unsigned executors, unsigned slow, bool measure,
      guint32 seed)
{
  *sim = (sim_t){ .executors = executors, .slow = slow, .slowdown = 5.0 };
  sim->site = &sim->sites[0];
  jobs_site_init (sim->site);
  sim->site->scheduler.measure_speed = measure;
  sim->random = g_rand_new_with_seed (seed);
  sim->runs = g_array_new (FALSE, FALSE, sizeof (sim_run_t));
  sim->jobs = g_ptr_array_new ();
  sim->next_job_at = sim->site->now;
  add_executors (sim);
  load_model (sim);
}

static void
finish (sim_t *sim)
{
  g_rand_free (sim->random);
  g_array_free (sim->runs, TRUE);
  g_ptr_array_free (sim->jobs, TRUE);
  jobs_site_finish (sim->site);
}

static bool
is_slow_machine (const sim_t *sim, const gp_job_executor_t *executor)
{
  return (unsigned)g_ascii_strtoull (executor->id + 1, NULL, 10) < sim->slow;
}

/* Returns how many executors count as slow, and adds to the sums of SIM.  */
static unsigned
count_slow (sim_t *sim)
{
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, sim->site->book.executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_executor_t *executor = value;
      bool slow = gp_executor_speed_is_slow (&executor->speed);

      count += slow;
      sim->wrong += slow && !is_slow_machine (sim, executor);
    }
  sim->slow_seen += count;
  return count;
}

static void
submit (sim_t *sim, unsigned tasks, gp_time_t estimate)
{
  Gp__Jobs__Submission *submission = jobs_site_submission (tasks, 1000);
  char id[GP_JOB_ID_SIZE + 1];

  g_snprintf (id, sizeof id, "%016x", sim->jobs->len + 1);
  submission->steps[0]->estimate_ms = (uint32_t)(estimate / GP_MSEC);
  g_ptr_array_add (sim->jobs, jobs_site_submit (sim->site, id, submission));
}

/* Returns how long TASK runs on its executor.  */
static gp_time_t
duration_of (sim_t *sim, const gp_job_task_t *task)
{
  double duration = (double)gp_task_step (task)->estimate_ms * GP_MSEC
                    * g_rand_double_range (sim->random, 0.8, 1.2);

  if (is_slow_machine (sim, task->executor))
    duration *= sim->slowdown;
  if (sim->long_one_in > 0
      && g_rand_int_range (sim->random, 0, (gint32)sim->long_one_in) == 0)
    duration *= 7.0;
  return (gp_time_t)duration;
}

static void
begin_runs (sim_t *sim)
{
  GArray *orders = sim->site->scheduler.orders;

  for (guint i = 0; i < orders->len; i++)
    {
      const gp_order_t *order = &g_array_index (orders, gp_order_t, i);
      sim_run_t run = { .task = order->task, .run = order->run };

      if (order->kind != GP_ORDER_START)
        continue;
      run.ends_at = sim->site->now + duration_of (sim, order->task);
      sim->starts_on_first += strcmp (order->executor->id, FIRST) == 0;
      g_array_append_val (sim->runs, run);
    }
  g_array_set_size (orders, 0);
}

static void
end_runs (sim_t *sim)
{
  for (guint i = sim->runs->len; i > 0; i--)
    {
      const sim_run_t run = g_array_index (sim->runs, sim_run_t, i - 1);

      if (run.ends_at > sim->site->now)
        continue;
      g_array_remove_index_fast (sim->runs, i - 1);
      if (run.task->executor == NULL || run.task->run != run.run)
        continue;
      if (strcmp (run.task->executor->id, FIRST) == 0)
        sim->last_end = sim->site->now;
      jobs_site_run_ended (sim->site, run.task, GP_END_DONE);
    }
}

/* Advances by TIME while a quick job of four tasks comes every INTERVAL, 0:
   never.  */
static void
advance (sim_t *sim, gp_time_t time, gp_time_t interval)
{
  gp_time_t end = sim->site->now + time;

  for (; sim->site->now < end; sim->site->now += TICK)
    {
      end_runs (sim);
      for (; interval > 0 && sim->next_job_at <= sim->site->now;
           sim->next_job_at += interval)
        submit (sim, 4, QUICK_TIME);
      jobs_site_plan (sim->site);
      begin_runs (sim);
      count_slow (sim);
    }
  sim->next_job_at = MAX (sim->next_job_at, sim->site->now);
}

static unsigned
count_in_time (const sim_t *sim)
{
  unsigned count = 0;

  for (guint i = 0; i < sim->jobs->len; i++)
    {
      const gp_job_t *job = g_ptr_array_index (sim->jobs, i);

      count += job->state == GP_JOB_COMPLETED
               && job->ended_wall_ms * GP_MSEC
                      <= job->submitted_at + QUICK_OBJECTIVE;
    }
  return count;
}

/* Returns the interval between quick jobs that need PERCENT of the processors
   of EXECUTORS.  */
static gp_time_t
interval_of (unsigned executors, unsigned percent)
{
  return 4 * QUICK_TIME * 100 / ((gp_time_t)executors * CORES * percent);
}

static void
read_gauge (const gp_counter_t *counter, void *data)
{
  if (strcmp (counter->name, "executors_slow") == 0)
    *(int64_t *)data = counter->value;
}

static int64_t
gauge (void)
{
  int64_t value = -1;

  gp_counters_foreach (read_gauge, &value);
  return value;
}

static unsigned
play_burst (bool measure, guint32 seed)
{
  sim_t sim;
  unsigned in_time;

  init (&sim, 35, 5, measure, seed);
  advance (&sim, 60 * GP_SEC, interval_of (35, 60));
  CU_ASSERT_EQUAL (sim.slow_seen > 0, measure);
  CU_ASSERT_EQUAL (sim.wrong, 0);
  advance (&sim, 15 * GP_SEC, 0);
  in_time = count_in_time (&sim);
  printf ("  %s: %u of %u in time\n", measure ? "with" : "without", in_time,
          sim.jobs->len);
  finish (&sim);
  return in_time;
}

/* Guards against quick jobs being late because a free slow executor looks like
   any other.  */
static void
test_burst (void)
{
  printf ("a seventh of 35 executors is five times slower, jobs of two "
          "seconds\n");
  for (guint32 seed = 1; seed <= 3; seed++)
    CU_ASSERT_TRUE (play_burst (false, seed) < play_burst (true, seed));
}

/* Compares SPEED with four executors of the usual speed.  */
static void
compare_with_usual (gp_executor_speed_t *speed, gp_time_t now)
{
  bool changed[5];
  gp_executor_speeds_t common = { 0 };
  gp_executor_speed_t usual[4] = { 0 };
  gp_executor_speed_t *speeds[]
      = { speed, &usual[0], &usual[1], &usual[2], &usual[3] };

  for (unsigned i = 0; i < 4 * GP_EXECUTOR_SPEED_RATIOS; i++)
    gp_executor_speed_add (&usual[i % 4], GP_SEC, GP_SEC, now);
  gp_executor_speeds_compare (&common, speeds, G_N_ELEMENTS (speeds), now,
                              changed);
}

static void
add_ratios (gp_executor_speed_t *speed, gp_time_t ratio, unsigned count,
            gp_time_t now)
{
  for (unsigned i = 0; i < count; i++)
    gp_executor_speed_add (speed, ratio * GP_SEC, GP_SEC, now);
}

/* Guards against a rating by fewer than three slow runs, and against a factor
   that does not go back to 1 within the stated time.  */
static void
test_measure (void)
{
  gp_executor_speed_t speed = { 0 };
  gp_time_t now = GP_SEC;

  add_ratios (&speed, 7, 2, now);
  compare_with_usual (&speed, now);
  CU_ASSERT_EQUAL (gp_executor_speed_lost_share (&speed), 0.0);
  add_ratios (&speed, 1, 2, now);
  compare_with_usual (&speed, now);
  CU_ASSERT_FALSE (gp_executor_speed_is_slow (&speed));
  add_ratios (&speed, 5, 3, now);
  compare_with_usual (&speed, now);
  CU_ASSERT_DOUBLE_EQUAL (gp_executor_speed_lost_share (&speed), 0.8, 0.001);
  now += GP_EXECUTOR_SPEED_MEMORY / 2;
  compare_with_usual (&speed, now);
  CU_ASSERT_DOUBLE_EQUAL (speed.factor, 3.0, 0.001);
  now += GP_EXECUTOR_SPEED_MEMORY / 2;
  compare_with_usual (&speed, now);
  CU_ASSERT_DOUBLE_EQUAL (speed.factor, 1.0, 0.001);
  add_ratios (&speed, 7, 2, now);
  compare_with_usual (&speed, now);
  CU_ASSERT_FALSE (gp_executor_speed_is_slow (&speed));
}

/* Guards against filling a slow executor each time its factor has gone back,
   and against keeping work from one that has recovered.  */
static void
test_probe (void)
{
  gp_executor_speed_t speed = { 0 };
  gp_time_t now = GP_SEC;

  add_ratios (&speed, 5, 5, now);
  compare_with_usual (&speed, now);
  now += 9 * GP_SEC;
  compare_with_usual (&speed, now);
  CU_ASSERT_FALSE (gp_executor_speed_is_slow (&speed));
  gp_executor_speed_note_assigned (&speed, now);
  CU_ASSERT_TRUE (gp_executor_speed_is_slow (&speed));
  now += 5 * GP_SEC;
  add_ratios (&speed, 5, 1, now);
  compare_with_usual (&speed, now);
  CU_ASSERT_TRUE (gp_executor_speed_is_slow (&speed));
  now += 9 * GP_SEC;
  compare_with_usual (&speed, now);
  gp_executor_speed_note_assigned (&speed, now);
  now += GP_SEC;
  add_ratios (&speed, 1, 1, now);
  compare_with_usual (&speed, now);
  CU_ASSERT_FALSE (gp_executor_speed_is_slow (&speed));
}

/* Guards against rating an executor by a single long task.  */
static void
test_long_task (void)
{
  sim_t sim;

  init (&sim, 35, 0, true, 1);
  advance (&sim, 10 * GP_SEC, interval_of (35, 60));
  sim.long_one_in = 1;
  submit (&sim, 1, QUICK_TIME);
  advance (&sim, TICK, 0);
  sim.long_one_in = 0;
  advance (&sim, 30 * GP_SEC, interval_of (35, 60));
  CU_ASSERT_EQUAL (sim.wrong, 0);
  finish (&sim);
}

/* By chance, three of five runs are long once in this many times, if one task
   in thirty is: 10 / 30^3.  */
#define COINCIDENCE 2700

/* Guards against rating executors by the long tasks of an image, except where
   three of the last five runs are long by chance.  */
static void
test_long_tasks (void)
{
  unsigned wrong = 0;
  unsigned ticks = 0;

  for (guint32 seed = 1; seed <= 5; seed++)
    {
      sim_t sim;

      init (&sim, 35, 0, true, seed);
      sim.long_one_in = 30;
      advance (&sim, 60 * GP_SEC, interval_of (35, 60));
      wrong += sim.wrong;
      ticks += 35 * (unsigned)(60 * GP_SEC / TICK);
      finish (&sim);
    }
  printf ("one task in thirty takes seven times as long: of %u ticks, an "
          "executor counts as slow for %u\n",
          ticks, wrong);
  CU_ASSERT_TRUE (wrong * COINCIDENCE <= ticks);
}

static void
play_all_slow (unsigned percent)
{
  gp_time_t interval = interval_of (35, percent);
  sim_t sim;

  init (&sim, 35, 0, true, 5);
  advance (&sim, 20 * GP_SEC, interval);
  sim.slow = 35;
  advance (&sim, 60 * GP_SEC, interval);
  sim.slow = 0;
  advance (&sim, 60 * GP_SEC, interval);
  CU_ASSERT_EQUAL (sim.slow_seen, 0);
  finish (&sim);
}

/* Guards against rating executors when the cause is common to all: with room
   left while they are slow, and with more work than they can do then.  */
static void
test_all_slow (void)
{
  play_all_slow (15);
  play_all_slow (45);
}

/* Guards against keeping work from an executor that has recovered.  */
static void
test_recovery (void)
{
  sim_t sim;
  const gp_job_executor_t *first;
  unsigned starts;

  init (&sim, 14, 2, true, 1);
  first = gp_book_executor (&sim.site->book, FIRST);
  advance (&sim, 40 * GP_SEC, interval_of (14, 50));
  CU_ASSERT_TRUE (sim.slow_seen > 0);
  sim.slow = 0;
  /* Runs that began while it was slow end first.  */
  while (first->task_count > 0)
    advance (&sim, TICK, interval_of (14, 50));
  sim.starts_on_first = 0;
  while (sim.starts_on_first == 0)
    advance (&sim, TICK, interval_of (14, 50));
  CU_ASSERT_TRUE (sim.site->now - sim.last_end <= GP_EXECUTOR_SPEED_MEMORY);
  advance (&sim, 5 * GP_SEC, interval_of (14, 50));
  CU_ASSERT_EQUAL (count_slow (&sim), 0);
  starts = sim.starts_on_first;
  advance (&sim, 10 * GP_SEC, interval_of (14, 50));
  printf ("an executor that has recovered: %u of 280 starts in ten seconds\n",
          sim.starts_on_first - starts);
  CU_ASSERT_TRUE (sim.starts_on_first - starts >= 10);
  finish (&sim);
}

/* Two executors of which the first counts as slow.  */
static void
init_pair (sim_t *sim)
{
  gp_job_executor_t *first;
  gp_job_executor_t *second;

  init (sim, 2, 1, true, 1);
  first = gp_book_executor (&sim->site->book, FIRST);
  second = gp_book_executor (&sim->site->book, "x01");
  add_ratios (&first->speed, 5, 5, sim->site->now);
  add_ratios (&second->speed, 1, 5, sim->site->now);
}

static const char *
place_one (sim_t *sim, bool fills)
{
  Gp__Jobs__Submission *submission = jobs_site_submission (1, 1000);
  char id[GP_JOB_ID_SIZE + 1];
  gp_job_t *job;

  g_snprintf (id, sizeof id, "%016x", sim->jobs->len + 1);
  submission->steps[0]->fills = fills;
  job = jobs_site_submit (sim->site, id, submission);
  g_ptr_array_add (sim->jobs, job);
  jobs_site_plan (sim->site);
  return gp_job_task (job, 0)->executor != NULL
             ? gp_job_task (job, 0)->executor->id
             : "none";
}

/* Guards against jobs that wait although a slow executor has room.  */
static void
test_only_slow (void)
{
  sim_t sim;
  unsigned placed = 0;

  init_pair (&sim);
  CU_ASSERT_STRING_EQUAL (place_one (&sim, true), "x01");
  while (strcmp (place_one (&sim, false), "x01") == 0)
    placed++;
  printf ("%u tasks on the other one, then on the slow one\n", placed);
  CU_ASSERT_EQUAL (placed, CORES);
  CU_ASSERT_STRING_EQUAL (place_one (&sim, false), FIRST);
  finish (&sim);
}

/* Moves everything to a process that has just taken leadership.  */
static void
change_leader (sim_t *sim)
{
  jobs_site_t *old = sim->site;

  sim->site = &sim->sites[1];
  jobs_site_init (sim->site);
  sim->site->now = old->now;
  sim->site->scheduler.measure_speed = true;
  jobs_site_rebuild_book (old, &sim->site->book);
  add_executors (sim);
  load_model (sim);
  for (guint i = 0; i < sim->jobs->len; i++)
    {
      const gp_job_t *job = g_ptr_array_index (sim->jobs, i);

      g_ptr_array_index (sim->jobs, i)
          = gp_book_find (&sim->site->book, job->id);
    }
  for (guint i = 0; i < sim->runs->len; i++)
    {
      sim_run_t *run = &g_array_index (sim->runs, sim_run_t, i);
      char name[GP_TASK_NAME_SIZE];

      gp_task_name (run->task, name);
      run->task = gp_book_task (&sim->site->book, name);
    }
  gp_scheduler_reset (&old->scheduler);
  jobs_site_finish (old);
}

static unsigned
count_done (const sim_t *sim)
{
  unsigned count = 0;

  for (guint i = 0; i < sim->jobs->len; i++)
    count += gp_job_ended (g_ptr_array_index (sim->jobs, i));
  return count;
}

/* Guards against measurements that outlive the leader that made them, and
   against runs of the previous leader that count for the next one.  */
static void
test_leader_changes (void)
{
  sim_t sim;

  init (&sim, 35, 5, true, 1);
  advance (&sim, 30 * GP_SEC, interval_of (35, 60));
  CU_ASSERT_EQUAL (count_slow (&sim), 5);
  change_leader (&sim);
  CU_ASSERT_EQUAL (count_slow (&sim), 0);
  CU_ASSERT_EQUAL (gauge (), 0);
  advance (&sim, 20 * GP_SEC, interval_of (35, 60));
  CU_ASSERT_EQUAL (count_slow (&sim), 5);
  CU_ASSERT_EQUAL (sim.wrong, 0);
  advance (&sim, 20 * GP_SEC, 0);
  CU_ASSERT_EQUAL (count_done (&sim), sim.jobs->len);
  finish (&sim);
}

/* Guards against a rating that passes to the next incarnation, and against a
   ratio for a run that was ordered from the previous one.  */
static void
test_next_incarnation (void)
{
  sim_t sim;
  gp_job_executor_t *next;
  gp_job_t *job;
  char name[GP_TASK_NAME_SIZE];

  init_pair (&sim);
  jobs_site_plan (sim.site);
  CU_ASSERT_EQUAL (gauge (), 1);
  submit (&sim, 2 * CORES, QUICK_TIME);
  job = g_ptr_array_index (sim.jobs, 0);
  jobs_site_plan (sim.site);
  next = gp_book_next_incarnation (
      &sim.site->book, gp_book_executor (&sim.site->book, FIRST), 5000);
  CU_ASSERT_FALSE (gp_executor_speed_is_measured (&next->speed));
  sim.site->now += GP_SEC;
  jobs_site_plan (sim.site);
  CU_ASSERT_EQUAL (gauge (), 0);
  next->reported_since = sim.site->now;
  for (uint32_t i = 0; i < job->task_count; i++)
    if (gp_job_task (job, i)->executor->previous_key != NULL)
      {
        gp_task_name (gp_job_task (job, i), name);
        gp_scheduler_move_run (&sim.site->scheduler,
                               gp_job_task (job, i)->executor, next, name,
                               gp_job_task (job, i)->run);
        CU_ASSERT_PTR_EQUAL_FATAL (gp_job_task (job, i)->executor, next);
        jobs_site_run_ended (sim.site, gp_job_task (job, i), GP_END_DONE);
      }
  CU_ASSERT_FALSE (gp_executor_speed_is_measured (&next->speed));
  finish (&sim);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "measure", test_measure },
                                 { "probe", test_probe },
                                 { "burst", test_burst },
                                 { "long task", test_long_task },
                                 { "long tasks", test_long_tasks },
                                 { "all slow", test_all_slow },
                                 { "recovery", test_recovery },
                                 { "only slow", test_only_slow },
                                 { "leader changes", test_leader_changes },
                                 { "next incarnation", test_next_incarnation },
                                 CU_TEST_INFO_NULL };

  return runner_main ("executor_speed", tests);
}

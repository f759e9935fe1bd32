/* Series of losses of power on sites of several sizes, in virtual time.  No
   task crashes an executor.

   Guards against jobs that wait on an idle site: in losses that take turns,
   nearly every run that had just begun passed for the cause of its executor's
   loss, and started in isolation afterwards, a few at a time.  */

#include <stdio.h>
#include <string.h>

#include "jobs/correlated_loss.h"
#include "jobs/suspicion.h"
#include "jobs_site.h"
#include "runner.h"

#define STEP (20 * GP_MSEC)
#define REPORT_INTERVAL (300 * GP_MSEC)
/* An executor without a report for this time is not reachable.  */
#define REPORT_TIMEOUT (1200 * GP_MSEC)
/* A leader that opens a connection to a VM without power learns after this
   time that it is not answered.  */
#define DIAL_TIMEOUT (GP_SEC)
#define OFF_TIME (2 * GP_SEC)
/* VMs are back, and their guards report, up to this long after each other.  */
#define BOOT_SPREAD_MS 250
#define LOSSES 24
/* Jobs have to go on within this time after the last loss.  */
#define RECOVERY_TIME (14 * GP_SEC)
#define SHORT_WORK_TIME (800 * GP_MSEC)
#define LONG_WORK_TIME (1700 * GP_MSEC)
#define CORES 16
#define SEEDS 8

/* What a series of losses is like.  */
typedef struct
{
  const char *name;
  unsigned share;    /* of the VMs, in percent ... */
  bool zone;         /* ... the same ones each time, or random ones */
  bool same_id;      /* executors are back under their ids */
  bool leader_lost;  /* with each loss another entry becomes leader */
  gp_time_t between; /* time from one loss to the next */
} series_t;

typedef struct
{
  gp_job_executor_t *executor;
  unsigned number;
  unsigned incarnation;
  gp_time_t up_at;     /* without power until then */
  gp_time_t report_at; /* the next report of its guard */
} vm_t;

typedef struct
{
  jobs_site_t site;
  GRand *random;
  const series_t *series;
  unsigned size;
  vm_t *vms;
  unsigned jobs;
  gp_time_t leads_since;
  unsigned suspects; /* runs whose loss counted against their task */
} world_t;

static void
boot (world_t *world, vm_t *vm)
{
  char id[32];

  vm->incarnation++;
  g_snprintf (id, sizeof id, "x%u-%u", vm->number,
              world->series->same_id ? 0 : vm->incarnation);
  if (world->series->same_id && vm->executor != NULL)
    gp_book_next_incarnation (&world->site.book, vm->executor,
                              vm->incarnation);
  vm->executor = jobs_site_executor (&world->site, id, CORES);
  vm->executor->born_ms = vm->incarnation;
  vm->executor->reported_since = world->site.now;
  vm->executor->reported_at = world->site.now;
  vm->report_at = world->site.now + REPORT_INTERVAL;
}

static void
world_init (world_t *world, const series_t *series, unsigned size,
            guint32 seed)
{
  memset (world, 0, sizeof *world);
  jobs_site_init (&world->site);
  world->series = series;
  world->random = g_rand_new_with_seed (seed);
  world->size = size;
  world->vms = g_new0 (vm_t, size);
  for (unsigned i = 0; i < size; i++)
    {
      world->vms[i].number = i;
      boot (world, &world->vms[i]);
      world->vms[i].report_at
          += g_rand_int_range (world->random, 0, 300) * GP_MSEC;
    }
}

static void
world_finish (world_t *world)
{
  g_free (world->vms);
  g_rand_free (world->random);
  jobs_site_finish (&world->site);
}

/* Submits a job as small or as large as those that fill the site.  */
static void
submit (world_t *world)
{
  bool small = g_rand_int_range (world->random, 0, 5) != 0;
  Gp__Jobs__Submission *submission
      = small ? jobs_site_submission (6, 240) : jobs_site_submission (8, 1800);
  char id[GP_JOB_ID_SIZE + 1];

  submission->max_attempts = 100;
  submission->steps[0]->estimate_ms = small ? 800 : 1700;
  g_snprintf (id, sizeof id, "%016x", ++world->jobs);
  jobs_site_submit (&world->site, id, submission);
}

/* VM's guard reports: runs end when their work is done.  */
static void
report (world_t *world, vm_t *vm)
{
  gp_time_t now = world->site.now;

  vm->report_at = now + REPORT_INTERVAL;
  GP_LIST_FOREACH_SAFE (link, &vm->executor->tasks)
  {
    gp_job_task_t *task = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);
    bool small = gp_task_step (task)->estimate_ms == 800;
    gp_time_t age = now - task->ordered_at;

    if (age >= GP_SUSPICION_SETTLE_TIME && !task->settled)
      jobs_site_run_settled (&world->site, task);
    if (age >= (small ? SHORT_WORK_TIME : LONG_WORK_TIME))
      jobs_site_run_ended (&world->site, task, GP_END_DONE);
  }
  if (vm->executor->reported_since == 0)
    vm->executor->reported_since = now;
  vm->executor->reported_at = now;
  vm->executor->unanswered_at = 0;
  vm->executor->reachable = true;
}

/* VM has power again, and its guard reports another executor.  */
static void
come_back (world_t *world, vm_t *vm)
{
  gp_job_executor_t *before = vm->executor;
  GPtrArray *runs = g_ptr_array_new ();
  GArray *crashes = g_array_new (FALSE, FALSE, sizeof (uint32_t));

  GP_LIST_FOREACH (link, &before->tasks)
  {
    gp_job_task_t *task = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    g_ptr_array_add (runs, task);
    g_array_append_val (crashes, task->crashes);
  }
  jobs_site_executor_dead (&world->site, before,
                           world->series->same_id ? GP_DEATH_RESTARTED
                                                  : GP_DEATH_REPLACED);
  for (guint i = 0; i < runs->len; i++)
    world->suspects
        += ((const gp_job_task_t *)g_ptr_array_index (runs, i))->crashes
           > g_array_index (crashes, uint32_t, i);
  boot (world, vm);
  gp_scheduler_executor_replaced (before, vm->executor);
  g_ptr_array_unref (runs);
  g_array_unref (crashes);
}

static void
step_vm (world_t *world, vm_t *vm)
{
  gp_time_t now = world->site.now;

  if (now < vm->up_at)
    {
      if (now - MAX (vm->executor->reported_at, world->leads_since)
          >= REPORT_TIMEOUT)
        vm->executor->reachable = false;
      if (vm->executor->reported_at == 0 && vm->executor->unanswered_at == 0
          && now - world->leads_since >= DIAL_TIMEOUT)
        vm->executor->unanswered_at = world->leads_since;
      return;
    }
  if (vm->up_at != 0)
    {
      vm->up_at = 0;
      come_back (world, vm);
    }
  else if (now >= vm->report_at)
    report (world, vm);
}

static void
run (world_t *world, gp_time_t duration, bool submits)
{
  gp_time_t end = world->site.now + duration;
  double rate = 0.6 * world->size * STEP / GP_SEC;

  for (; world->site.now < end; world->site.now += STEP)
    {
      if (submits && g_rand_double (world->random) < rate)
        submit (world);
      for (unsigned i = 0; i < world->size; i++)
        step_vm (world, &world->vms[i]);
      jobs_site_plan (&world->site);
    }
}

/* COUNT VMs lose power: the first ones, or random ones.  */
static void
lose_power (world_t *world, unsigned count)
{
  unsigned left = world->size;

  for (unsigned i = 0; i < world->size && count > 0; i++, left--)
    {
      vm_t *vm = &world->vms[i];

      if (!world->series->zone
          && g_rand_int_range (world->random, 0, (gint32)left)
                 >= (gint32)count)
        continue;
      count--;
      vm->up_at = MAX (
          vm->up_at,
          world->site.now + OFF_TIME
              + g_rand_int_range (world->random, 0, BOOT_SPREAD_MS) * GP_MSEC);
    }
}

/* Another entry becomes leader: it has not heard of any executor yet.  */
static void
change_leader (world_t *world)
{
  world->leads_since = world->site.now;
  for (unsigned i = 0; i < world->size; i++)
    {
      gp_job_executor_t *executor = world->vms[i].executor;

      executor->reported_at = 0;
      executor->reported_since = 0;
      executor->disconnected_at = 0;
      executor->unanswered_at = 0;
      executor->loss_silent_since = 0;
      executor->vm_lost_at = 0;
      executor->assigned_at = 0;
      executor->reachable = false;
      GP_LIST_FOREACH (link, &executor->tasks)
      {
        gp_job_task_t *task
            = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);
        bool alone = task->alone;
        bool in_group = task->in_group;

        gp_suspicion_reset_run (task);
        gp_suspicion_restore (task, alone, in_group);
        task->ordered_at = 0;
        task->lost_in_outage = false;
      }
    }
}

/* Returns the number of jobs that have not been completed.  */
static unsigned
count_open (const world_t *world)
{
  unsigned count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->site.book.jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const gp_job_t *)value)->state != GP_JOB_COMPLETED;
  return count;
}

static void
play (const series_t *series, unsigned size)
{
  unsigned suspects = 0;
  unsigned seeds = size > 100 ? 1 : SEEDS;

  for (guint32 seed = 1; seed <= seeds; seed++)
    {
      world_t world;

      world_init (&world, series, size, seed);
      run (&world, 3 * GP_SEC, true);
      for (int i = 0; i < LOSSES; i++)
        {
          lose_power (&world, (size * series->share + 99) / 100);
          if (series->leader_lost)
            change_leader (&world);
          run (&world, series->between, true);
        }
      run (&world, RECOVERY_TIME, false);
      if (count_open (&world) > 0)
        fprintf (stderr, "%s, %u VMs, seed %u: %u of %u jobs are open\n",
                 series->name, size, seed, count_open (&world), world.jobs);
      CU_ASSERT_EQUAL (count_open (&world), 0);
      suspects += world.suspects;
      world_finish (&world);
    }
  fprintf (stderr, "%s, %u VMs: %u suspects in %u series\n", series->name,
           size, suspects, seeds);
}

static void
play_sizes (const series_t *series)
{
  static const unsigned sizes[] = { 3, 7, 11, 300 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    play (series, sizes[i]);
}

static void
test_random (void)
{
  static const series_t random
      = { "random", .share = 60, .between = 1400 * GP_MSEC };
  static const series_t apart
      = { "random, apart", .share = 60, .between = 3 * GP_SEC };
  static const series_t close
      = { "random, close", .share = 30, .between = 500 * GP_MSEC };

  play_sizes (&random);
  play_sizes (&apart);
  play_sizes (&close);
}

/* The same VMs lose power each time.  */
static void
test_zone (void)
{
  static const series_t zone
      = { "zone", .share = 33, .zone = true, .between = 3 * GP_SEC };
  static const series_t half
      = { "half a zone", .share = 16, .zone = true, .between = 3 * GP_SEC };

  play_sizes (&zone);
  play_sizes (&half);
}

static void
test_same_id (void)
{
  static const series_t series = { "same ids", .share = 60, .same_id = true,
                                   .between = 1400 * GP_MSEC };

  play_sizes (&series);
}

/* The leader is lost with the executors each time.  */
static void
test_leader (void)
{
  static const series_t series
      = { "leader", .share = 60, .leader_lost = true, .between = 3 * GP_SEC };

  play_sizes (&series);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "random", test_random },
                                 { "zone", test_zone },
                                 { "same id", test_same_id },
                                 { "leader", test_leader },
                                 CU_TEST_INFO_NULL };

  return runner_main ("power series", tests);
}

/* Tests the detection of tasks that crash their executors on random sites,
   with a few such tasks among many others.  Guards against both errors: a
   crashing task that is started without end, and an honest job that is failed.
 */

#include <glib.h>

#include "jobs/suspicion.h"
#include "jobs_site.h"
#include "runner.h"

/* Maximum number of starts of a task that crashes its executors: it crashes
   three, and two more starts are allowed.  */
#define STARTS_MAX 5

#define EXECUTORS 6
/* Task 0 of every fifth job crashes its executors when it starts.  */
#define CRASHER_INTERVAL 5

typedef struct
{
  jobs_site_t site;
  GRand *random;
  unsigned executors;
  unsigned jobs;
} world_t;

static bool
is_crasher (const gp_job_task_t *task)
{
  return task->index == 0
         && g_ascii_strtoull (task->job->id, NULL, 16) % CRASHER_INTERVAL == 0;
}

static void
add_executor (world_t *world)
{
  char id[16];
  gp_job_executor_t *executor;

  g_snprintf (id, sizeof id, "x%u", ++world->executors);
  executor = jobs_site_executor (&world->site, id, 8);
  executor->reported_since = world->site.now;
  executor->reported_at = world->site.now;
}

static void
submit_random (world_t *world)
{
  unsigned count = (unsigned)g_rand_int_range (world->random, 1, 6);
  Gp__Jobs__Submission *submission = jobs_site_submission (count, 1000);
  char id[GP_JOB_ID_SIZE + 1];

  submission->max_attempts = 100;
  submission->steps[0]->long_running
      = g_rand_int_range (world->random, 0, 3) == 0;
  submission->steps[0]->gang = !submission->steps[0]->long_running
                               && g_rand_int_range (world->random, 0, 4) == 0;
  g_snprintf (id, sizeof id, "%016x", ++world->jobs);
  jobs_site_submit (&world->site, id, submission);
}

/* EXECUTOR, on which a crashing run has started, dies, and its guard reports
   which runs may have crashed it.  */
static void
crash_executor (world_t *world, gp_job_executor_t *executor)
{
  GPtrArray *suspects = g_ptr_array_new ();

  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);
    Gp__Jobs__TaskRun *run;

    if (world->site.now - task->ordered_at
        >= gp_suspicion_settle_time (gp_task_step (task)->gang))
      continue;
    run = g_new (Gp__Jobs__TaskRun, 1);
    gp__jobs__task_run__init (run);
    run->task = g_malloc (GP_TASK_NAME_SIZE);
    gp_task_name (task, run->task);
    run->run = task->run;
    run->fresh = world->site.now == task->ordered_at;
    run->just = run->fresh;
    g_ptr_array_add (suspects, run);
  }
  gp_scheduler_note_suspects (&world->site.scheduler, executor,
                              (Gp__Jobs__TaskRun **)suspects->pdata,
                              suspects->len);
  jobs_site_executor_dead (&world->site, executor, GP_DEATH_REPLACED);
  for (guint i = 0; i < suspects->len; i++)
    gp__jobs__task_run__free_unpacked (g_ptr_array_index (suspects, i), NULL);
  g_ptr_array_unref (suspects);
  add_executor (world);
}

/* When one member of a gang ends, the others end as well.  */
static void
break_gang (world_t *world, gp_job_t *job)
{
  for (uint32_t i = 0; i < job->task_count; i++)
    if (gp_job_task (job, i)->executor != NULL)
      jobs_site_run_ended (&world->site, gp_job_task (job, i), GP_END_BROKEN);
}

/* Returns an executor on which a crashing run has started, or NULL, and sets
 *FOUND to its job.  */
static gp_job_executor_t *
find_crashing (world_t *world, gp_job_t **found)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->site.book.jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      *found = value;
      if (is_crasher (gp_job_task ((*found), 0))
          && gp_job_task ((*found), 0)->executor != NULL)
        return gp_job_task ((*found), 0)->executor;
    }
  return NULL;
}

/* Reports the runs of other tasks that have settled, and ends some of
   them.  */
static void
advance_runs (world_t *world)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->site.book.jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_job_t *job = value;

      for (uint32_t i = 0; i < job->task_count; i++)
        {
          gp_job_task_t *task = gp_job_task (job, i);

          if (task->executor == NULL || is_crasher (task))
            continue;
          if (world->site.now - task->ordered_at
              >= gp_suspicion_settle_time (gp_task_step (task)->gang))
            jobs_site_run_settled (&world->site, task);
          if ((!gp_task_step (task)->gang || task->settled)
              && g_rand_int_range (world->random, 0, 4) == 0)
            jobs_site_run_ended (&world->site, task, GP_END_DONE);
        }
    }
}

static void
check_jobs (world_t *world)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->site.book.jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_job_t *job = value;

      bool crasher = is_crasher (gp_job_task (job, 0));

      CU_ASSERT (!crasher || gp_job_task (job, 0)->run <= STARTS_MAX);
      CU_ASSERT (crasher || job->state != GP_JOB_FAILED);
    }
}

static void
step_random (world_t *world)
{
  gp_job_executor_t *executor;
  gp_job_t *job;

  world->site.now += g_rand_int_range (world->random, 50, 900) * GP_MSEC;
  if (g_rand_int_range (world->random, 0, 3) == 0)
    submit_random (world);
  advance_runs (world);
  jobs_site_plan (&world->site);
  check_jobs (world);
  while ((executor = find_crashing (world, &job)) != NULL)
    {
      crash_executor (world, executor);
      if (gp_task_step (gp_job_task (job, 0))->gang)
        break_gang (world, job);
    }
}

/* Whatever the order of events, each crashing task is given up in time, and no
   other.  */
static void
test_random (void)
{
  for (guint32 seed = 1; seed <= 60; seed++)
    {
      world_t world = { .random = g_rand_new_with_seed (seed) };

      jobs_site_init (&world.site);
      for (int i = 0; i < EXECUTORS; i++)
        add_executor (&world);
      for (int i = 0; i < 300; i++)
        step_random (&world);
      jobs_site_finish (&world.site);
      g_rand_free (world.random);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = { { "random", test_random }, CU_TEST_INFO_NULL };

  return runner_main ("suspicion random", tests);
}

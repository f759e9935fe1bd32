/* A site in virtual time on which gangs run.  */

#include "gang_world_private.h"

#include <stdio.h>
#include <string.h>

#define STEP_TIME (10 * GP_MSEC)
#define SUBMIT_INTERVAL (150 * GP_MSEC)
#define PLAY_TIME (120 * GP_SEC)
#define MEMBER_CPU 3500
#define MEMBERS_MAX 12

double
gang_world_chance (gang_world_t *world)
{
  return g_rand_double (world->random);
}

gp_time_t
gang_world_random_time (gang_world_t *world, gp_time_t most)
{
  return (gp_time_t)(gang_world_chance (world) * (double)most);
}

static gp_time_t
next_fault (gang_world_t *world, gp_time_t interval)
{
  if (interval == 0)
    return GP_TIME_NEVER;
  return world->site->now + interval / 2
         + gang_world_random_time (world, interval);
}

/* Workers.  */

static gp_job_executor_t *
executor_of (gang_world_t *world, const worker_t *worker)
{
  return gp_book_executor (&world->site->book, worker->id);
}

static void
report_worker (gang_world_t *world, const worker_t *worker)
{
  gp_job_executor_t *executor
      = jobs_site_executor (world->site, worker->id, GANG_WORKER_CORES);

  executor->reported_since = world->site->now;
  executor->reported_at = world->site->now;
}

static worker_t *
find_worker (gang_world_t *world, const gp_job_executor_t *executor)
{
  for (unsigned i = 0; i < GANG_WORKERS; i++)
    if (strcmp (world->workers[i].id, executor->id) == 0)
      return &world->workers[i];
  return NULL;
}

/* Jobs.  */

static job_account_t *
account_of (gang_world_t *world, const char *id)
{
  return g_hash_table_lookup (world->jobs, id);
}

static void
submit (gang_world_t *world)
{
  unsigned members
      = (unsigned)g_rand_int_range (world->random, 2, MEMBERS_MAX + 1);
  Gp__Jobs__Submission *submission
      = jobs_site_submission (members, MEMBER_CPU);
  char id[GP_JOB_ID_SIZE + 1];

  submission->max_attempts = GANG_MAX_ATTEMPTS;
  submission->steps[0]->gang = true;
  if (g_rand_boolean (world->random))
    jobs_site_add_step (submission, 1, MEMBER_CPU);
  g_snprintf (id, sizeof id, "%016x", ++world->result.jobs);
  g_hash_table_insert (world->jobs, g_strdup (id), g_new0 (job_account_t, 1));
  jobs_site_submit (world->site, id, submission);
}

static void
cancel_random (gang_world_t *world)
{
  char id[GP_JOB_ID_SIZE + 1];
  gp_job_t *job;

  if (world->result.jobs == 0)
    return;
  g_snprintf (
      id, sizeof id, "%016x",
      g_rand_int_range (world->random, 1, (gint32)world->result.jobs + 1));
  job = gp_book_find (&world->site->book, id);
  if (gp_job_ended (job))
    return;
  account_of (world, id)->cancelled = true;
  gp_book_cancel (&world->site->book, id);
  gp_scheduler_job_changed (&world->site->scheduler, job,
                            world->site->now / GP_MSEC);
}

/* Compares the state of the job of END, which was reported, with the runs of
   its gang.  */
static void
judge (gang_world_t *world, const gp_job_task_t *task, const end_t *end)
{
  const gp_job_t *job = task->job;
  job_account_t *account = account_of (world, job->id);
  bool last_step = gp_task_step_number (task) + 1 == job->submission->n_steps;

  if (end->how == GP_END_FAILED && account->last_failed != end->run)
    {
      account->last_failed = end->run;
      account->failed_runs++;
    }
  if (account->cancelled)
    return;
  if ((job->state == GP_JOB_FAILED)
      != (account->failed_runs >= GANG_MAX_ATTEMPTS))
    world->result.wrong_failures++;
  if (end->how == GP_END_DONE && last_step && job->state != GP_JOB_COMPLETED)
    world->result.late_completions++;
}

/* Guards and the leader.  */

static void
report_end (gang_world_t *world, worker_t *worker, const end_t *end)
{
  jobs_site_t *site = world->site;
  gp_job_executor_t *executor = executor_of (world, worker);
  gp_job_task_t *task = gp_book_task (&site->book, end->task);
  Gp__Jobs__End row = GP__JOBS__END__INIT;
  const Gp__Jobs__TaskRun absent
      = { .task = (char *)end->task, .run = end->run };

  if (end->forgotten)
    {
      gp_scheduler_run_absent (&site->scheduler, executor, &absent, site->now);
      return;
    }
  row.number = end->number;
  row.task = (char *)end->task;
  row.run = end->run;
  row.how = end->how;
  gp_scheduler_run_ended (&site->scheduler, executor, &row, site->now,
                          site->now / GP_MSEC);
  judge (world, task, end);
}

static void
report (gang_world_t *world, worker_t *worker)
{
  for (guint i = 0; i < worker->ends->len; i++)
    {
      const end_t end = g_array_index (worker->ends, end_t, i);

      if (end.report_at > world->site->now)
        return;
      report_end (world, worker, &end);
    }
}

static void
confirm (worker_t *worker, const gp_order_t *order)
{
  char name[GP_TASK_NAME_SIZE] = "";

  if (order->kind == GP_ORDER_FORGET)
    gp_task_name (order->task, name);
  for (guint i = worker->ends->len; i-- > 0;)
    {
      const end_t *end = &g_array_index (worker->ends, end_t, i);

      if (end->forgotten
              ? end->run == order->run && strcmp (end->task, name) == 0
              : end->number <= order->seen)
        g_array_remove_index (worker->ends, i);
    }
}

static void
carry_out (gang_world_t *world)
{
  GArray *orders = world->site->scheduler.orders;

  for (guint i = 0; i < orders->len; i++)
    {
      const gp_order_t *order = &g_array_index (orders, gp_order_t, i);
      worker_t *worker = find_worker (world, order->executor);
      char name[GP_TASK_NAME_SIZE];

      if (worker == NULL)
        continue;
      switch (order->kind)
        {
        case GP_ORDER_START:
          if (order->task->run == order->run
              && gp_scheduler_expects_run (order->task))
            gang_worker_receive_start (world, worker, order->task);
          break;
        case GP_ORDER_STOP:
          gp_task_name (order->task, name);
          gang_worker_stop (world, worker, name, order->run);
          break;
        case GP_ORDER_FORGET:
        case GP_ORDER_SEEN:
          confirm (worker, order);
          break;
        }
    }
  g_array_set_size (orders, 0);
  while (gp_list_pop_front (&world->site->scheduler.dirty) != NULL)
    ;
}

/* The guard of WORKER is synced: the runs that the leader does not want there
   are stopped, whether the last leader's order to do so was sent or not.  */
static void
sync_worker (gang_world_t *world, worker_t *worker)
{
  GP_LIST_FOREACH (link, &executor_of (world, worker)->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);
    char name[GP_TASK_NAME_SIZE];

    if (gp_scheduler_expects_run (task))
      continue;
    gp_task_name (task, name);
    gang_worker_stop (world, worker, name, task->run);
  }
}

/* The next leader builds its book from the records.  What the last one had
   confirmed is on record, so the guards may repeat any of the other ends.  */
static void
change_leader (gang_world_t *world)
{
  jobs_site_t *before = world->site;

  world->site = &world->sites[before == &world->sites[0]];
  jobs_site_init (world->site);
  world->site->now = before->now;
  jobs_site_rebuild_book (before, &world->site->book);
  for (unsigned i = 0; i < GANG_WORKERS; i++)
    {
      report_worker (world, &world->workers[i]);
      sync_worker (world, &world->workers[i]);
    }
  jobs_site_finish (before);
  world->result.leaders++;
  world->leader_due = next_fault (world, world->faults->leader_interval);
}

static void
begin_worker (gang_world_t *world, worker_t *worker)
{
  g_snprintf (worker->id, sizeof worker->id, "w%u-%u",
              (unsigned)(worker - world->workers), ++worker->incarnation);
  worker->end_count = 0;
  report_worker (world, worker);
}

static void
lose_worker (gang_world_t *world)
{
  worker_t *worker
      = &world->workers[g_rand_int_range (world->random, 0, GANG_WORKERS)];
  g_autoptr (GArray) work = g_array_copy (worker->work);

  jobs_site_executor_dead (world->site, executor_of (world, worker),
                           GP_DEATH_DEREGISTERED);
  g_array_set_size (worker->starts, 0);
  g_array_set_size (worker->work, 0);
  g_array_set_size (worker->ends, 0);
  for (guint i = 0; i < work->len; i++)
    {
      const work_t *lost = &g_array_index (work, work_t, i);

      gang_world_break_run (world, lost->task, lost->run);
    }
  begin_worker (world, worker);
  world->result.lost_workers++;
  world->loss_due = next_fault (world, world->faults->loss_interval);
}

/* Plays.  */

static void
begin (gang_world_t *world, const gang_faults_t *faults, uint32_t seed)
{
  memset (world, 0, sizeof *world);
  world->faults = faults;
  world->random = g_rand_new_with_seed (seed);
  world->site = &world->sites[0];
  jobs_site_init (world->site);
  world->runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  world->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (unsigned i = 0; i < GANG_WORKERS; i++)
    {
      worker_t *worker = &world->workers[i];

      worker->starts = g_array_new (FALSE, FALSE, sizeof (pending_start_t));
      worker->work = g_array_new (FALSE, FALSE, sizeof (work_t));
      worker->ends = g_array_new (FALSE, FALSE, sizeof (end_t));
      begin_worker (world, worker);
    }
  world->leader_due = next_fault (world, faults->leader_interval);
  world->loss_due = next_fault (world, faults->loss_interval);
}

static void
finish (gang_world_t *world)
{
  for (unsigned i = 0; i < GANG_WORKERS; i++)
    {
      g_array_free (world->workers[i].starts, TRUE);
      g_array_free (world->workers[i].work, TRUE);
      g_array_free (world->workers[i].ends, TRUE);
    }
  g_hash_table_destroy (world->runs);
  g_hash_table_destroy (world->jobs);
  g_rand_free (world->random);
  jobs_site_finish (world->site);
}

static void
step (gang_world_t *world, unsigned jobs)
{
  gp_time_t now = world->site->now;

  if (world->result.jobs < jobs && now % SUBMIT_INTERVAL == 0)
    {
      submit (world);
      if (gang_world_chance (world) < world->faults->cancelled_jobs)
        cancel_random (world);
    }
  for (unsigned i = 0; i < GANG_WORKERS; i++)
    gang_worker_begin_due (world, &world->workers[i]);
  for (unsigned i = 0; i < GANG_WORKERS; i++)
    gang_worker_end_due (world, &world->workers[i]);
  for (unsigned i = 0; i < GANG_WORKERS; i++)
    report (world, &world->workers[i]);
  jobs_site_plan (world->site);
  carry_out (world);
  if (now >= world->loss_due && world->result.jobs < jobs)
    lose_worker (world);
  if (now >= world->leader_due)
    change_leader (world);
  world->site->now += STEP_TIME;
}

static bool
is_idle (const gang_world_t *world)
{
  for (unsigned i = 0; i < GANG_WORKERS; i++)
    if (world->workers[i].starts->len > 0 || world->workers[i].work->len > 0
        || world->workers[i].ends->len > 0)
      return false;
  return gp_list_empty (&world->site->book.live);
}

static void
count_states (gang_world_t *world)
{
  gang_result_t *result = &world->result;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->site->book.jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_t *job = value;

      result->completed += job->state == GP_JOB_COMPLETED;
      result->failed += job->state == GP_JOB_FAILED;
      result->cancelled += job->state == GP_JOB_CANCELLED;
      result->unended += !gp_job_ended (job);
    }
  g_hash_table_iter_init (&iter, world->site->book.executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_executor_t *executor = value;

      result->reserved
          += executor->task_count > 0 || executor->used.cpu_milli != 0;
    }
}

gang_result_t
gang_world_play (const gang_faults_t *faults, unsigned jobs, uint32_t seed)
{
  gang_world_t world;

  begin (&world, faults, seed);
  while (world.site->now < PLAY_TIME
         && (world.result.jobs < jobs || !is_idle (&world)))
    step (&world, jobs);
  count_states (&world);
  finish (&world);
  return world.result;
}

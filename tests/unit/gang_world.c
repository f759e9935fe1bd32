/* A site in virtual time on which gangs run.  */

#include "gang_world.h"

#include <stdio.h>
#include <string.h>

#define STEP_TIME (10 * GP_MSEC)
#define WORK_TIME (500 * GP_MSEC)
#define STOP_TIME (300 * GP_MSEC)
/* A member ends if its run is not complete by then.  */
#define GANG_TIMEOUT (3 * GP_SEC)
#define SUBMIT_INTERVAL (150 * GP_MSEC)
#define PLAY_TIME (120 * GP_SEC)
#define MEMBER_CPU 3500
#define MEMBERS_MAX 12

/* A run on a worker.  */
typedef struct
{
  char task[GP_TASK_NAME_SIZE];
  uint32_t run;
  uint32_t cpu;
  gp_time_t began_at;
  gp_time_t ends_at;
  gp_end_t how;
} work_t;

/* An end that a worker lists, or forgets: it is reported from REPORT_AT on, as
   absent if it was forgotten, until the leader confirms it.  */
typedef struct
{
  uint64_t number;
  char task[GP_TASK_NAME_SIZE];
  uint32_t run;
  gp_end_t how;
  gp_time_t report_at;
  bool forgotten;
} end_t;

/* A start that a worker has not carried out yet.  */
typedef struct
{
  char task[GP_TASK_NAME_SIZE];
  uint32_t run;
  gp_time_t due;
} pending_start_t;

typedef struct
{
  char id[16];
  unsigned incarnation;
  GArray *starts; /* pending_start_t */
  GArray *work;   /* work_t */
  GArray *ends;   /* end_t, in the order of their numbers */
  uint64_t end_count;
} worker_t;

/* One run of a gang.  */
typedef struct
{
  unsigned present;
  bool over; /* it is complete, or a member was lost or stopped */
} gang_run_t;

/* What is known of a job's gang.  */
typedef struct
{
  unsigned failed_runs; /* runs of which an end `failed` was reported */
  uint32_t last_failed;
  bool cancelled;
} job_account_t;

struct gang_world
{
  const gang_faults_t *faults;
  GRand *random;
  jobs_site_t sites[2];
  jobs_site_t *site; /* of the current leader */
  worker_t workers[GANG_WORKERS];
  GHashTable *runs; /* "ID.K.STEP RUN" to gang_run_t */
  GHashTable *jobs; /* id to job_account_t */
  gp_time_t leader_due;
  gp_time_t loss_due;
  gang_result_t result;
};

static double
chance (gang_world_t *world)
{
  return g_rand_double (world->random);
}

static gp_time_t
random_time (gang_world_t *world, gp_time_t most)
{
  return (gp_time_t)(chance (world) * (double)most);
}

static gp_time_t
next_fault (gang_world_t *world, gp_time_t interval)
{
  if (interval == 0)
    return GP_TIME_NEVER;
  return world->site->now + interval / 2 + random_time (world, interval);
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

static work_t *
find_work (const worker_t *worker, const char *task, uint32_t run)
{
  for (guint i = 0; i < worker->work->len; i++)
    {
      work_t *work = &g_array_index (worker->work, work_t, i);

      if (work->run == run && strcmp (work->task, task) == 0)
        return work;
    }
  return NULL;
}

static bool
has_end (const worker_t *worker, const char *task, uint32_t run)
{
  for (guint i = 0; i < worker->ends->len; i++)
    {
      const end_t *end = &g_array_index (worker->ends, end_t, i);

      if (end->run == run && strcmp (end->task, task) == 0)
        return true;
    }
  return false;
}

static gang_run_t *
gang_run_of (gang_world_t *world, const char *task, uint32_t run)
{
  const char *index = strrchr (task, '.');
  g_autofree char *key
      = g_strdup_printf ("%.*s %u", (int)(index - task), task, run);
  gang_run_t *gang = g_hash_table_lookup (world->runs, key);

  if (gang == NULL)
    {
      gang = g_new0 (gang_run_t, 1);
      g_hash_table_insert (world->runs, g_steal_pointer (&key), gang);
    }
  return gang;
}

static bool
is_member_of (const work_t *work, const char *task, uint32_t run)
{
  size_t size = (size_t)(strrchr (task, '.') - task);

  return work->run == run && strncmp (work->task, task, size + 1) == 0;
}

/* The members of TASK's gang in RUN end soon: as HOW or, if that is `failed`,
   the share of them that fails, with FIRST in any case, and the others as
   `broken`.  */
static void
end_gang (gang_world_t *world, const char *task, uint32_t run, gp_end_t how,
          gp_time_t begin)
{
  bool failed_one = false;

  for (unsigned i = 0; i < GANG_WORKERS; i++)
    for (guint j = 0; j < world->workers[i].work->len; j++)
      {
        work_t *work = &g_array_index (world->workers[i].work, work_t, j);

        if (!is_member_of (work, task, run))
          continue;
        work->how = how;
        if (how == GP_END_FAILED && failed_one
            && chance (world) >= world->faults->failing_members)
          work->how = GP_END_BROKEN;
        failed_one = true;
        work->ends_at = begin + random_time (world, world->faults->spread);
      }
}

/* A member of a gang has ended before its run was complete, or was lost.  */
static void
break_gang (gang_world_t *world, const char *task, uint32_t run)
{
  gang_run_t *gang = gang_run_of (world, task, run);

  if (gang->over)
    return;
  gang->over = true;
  end_gang (world, task, run, GP_END_BROKEN, world->site->now);
}

static void
note_present (gang_world_t *world, const gp_job_task_t *task, const char *name,
              uint32_t run)
{
  gang_run_t *gang = gang_run_of (world, name, run);

  gang->present++;
  if (gang->over && !world->faults->late_members_wait)
    end_gang (world, name, run, GP_END_BROKEN, world->site->now);
  else if (!gang->over && gang->present == gp_task_step (task)->count)
    {
      bool fails = chance (world) < world->faults->failing_runs;

      gang->over = true;
      end_gang (world, name, run, fails ? GP_END_FAILED : GP_END_DONE,
                world->site->now + WORK_TIME);
    }
}

/* The run of NAME has ended as HOW, or is absent: reported a little later.  */
static void
add_end (gang_world_t *world, worker_t *worker, const char *name, uint32_t run,
         gp_end_t how, bool forgotten)
{
  end_t end = { .number = ++worker->end_count,
                .run = run,
                .how = how,
                .forgotten = forgotten };

  g_strlcpy (end.task, name, sizeof end.task);
  end.report_at
      = world->site->now + random_time (world, world->faults->report_delay);
  g_array_append_val (worker->ends, end);
}

static bool
fails_at_once (gang_world_t *world)
{
  return world->faults->failing_starts > 0
         && chance (world) < world->faults->failing_starts;
}

static void
start (gang_world_t *world, worker_t *worker, const gp_job_task_t *task,
       uint32_t run)
{
  work_t work
      = { .run = run, .began_at = world->site->now, .ends_at = GP_TIME_NEVER };
  uint32_t used = 0;

  gp_task_name (task, work.task);
  if (find_work (worker, work.task, work.run) != NULL
      || has_end (worker, work.task, work.run))
    return;
  if (chance (world) < world->faults->refused_starts)
    {
      add_end (world, worker, work.task, work.run, GP_END_DONE, true);
      return;
    }
  work.cpu = gp_task_step (task)->cpu_milli;
  for (guint i = 0; i < worker->work->len; i++)
    used += g_array_index (worker->work, work_t, i).cpu;
  world->result.overcommits += used + work.cpu > GANG_WORKER_CORES * 1000;
  if (!gp_task_step (task)->gang)
    {
      work.how = GP_END_DONE;
      work.ends_at = world->site->now + WORK_TIME;
    }
  else if (fails_at_once (world))
    {
      work.how = GP_END_FAILED;
      work.ends_at = world->site->now;
    }
  g_array_append_val (worker->work, work);
  if (gp_task_step (task)->gang && work.ends_at == GP_TIME_NEVER)
    note_present (world, task, work.task, run);
}

static void
receive_start (gang_world_t *world, worker_t *worker,
               const gp_job_task_t *task)
{
  pending_start_t pending = { .run = task->run };

  if (world->faults->start_delay == 0)
    {
      start (world, worker, task, task->run);
      return;
    }
  gp_task_name (task, pending.task);
  pending.due
      = world->site->now + random_time (world, world->faults->start_delay);
  g_array_append_val (worker->starts, pending);
}

/* Carries out the starts of WORKER whose time has come.  */
static void
begin_work (gang_world_t *world, worker_t *worker)
{
  for (guint i = worker->starts->len; i-- > 0;)
    {
      const pending_start_t pending
          = g_array_index (worker->starts, pending_start_t, i);

      if (pending.due > world->site->now)
        continue;
      g_array_remove_index (worker->starts, i);
      start (world, worker, gp_book_task (&world->site->book, pending.task),
             pending.run);
    }
}

/* Drops the start of RUN of TASK, which WORKER has not carried out yet.
   Returns whether there was one.  */
static bool
drop_start (worker_t *worker, const char *task, uint32_t run)
{
  for (guint i = 0; i < worker->starts->len; i++)
    {
      const pending_start_t *pending
          = &g_array_index (worker->starts, pending_start_t, i);

      if (pending->run != run || strcmp (pending->task, task) != 0)
        continue;
      g_array_remove_index (worker->starts, i);
      return true;
    }
  return false;
}

/* A run that has not begun yet will not, and is absent.  */
static void
stop (gang_world_t *world, worker_t *worker, const char *task, uint32_t run)
{
  work_t *work = find_work (worker, task, run);

  if (drop_start (worker, task, run))
    add_end (world, worker, task, run, GP_END_STOPPED, true);
  if (work == NULL || work->ends_at != GP_TIME_NEVER)
    return;
  work->how = GP_END_STOPPED;
  work->ends_at = world->site->now + random_time (world, STOP_TIME);
  gang_run_of (world, task, run)->over = true;
}

/* The runs of WORKER whose time has come end.  */
static void
end_work (gang_world_t *world, worker_t *worker)
{
  for (guint i = worker->work->len; i-- > 0;)
    {
      work_t work = g_array_index (worker->work, work_t, i);
      bool forgotten;

      if (work.ends_at == GP_TIME_NEVER
          && world->site->now >= work.began_at + GANG_TIMEOUT)
        {
          world->result.alone++;
          work.how = GP_END_ALONE;
          work.ends_at = world->site->now;
        }
      if (work.ends_at > world->site->now)
        continue;
      g_array_remove_index (worker->work, i);
      forgotten = chance (world) < world->faults->forgotten_ends;
      world->result.forgotten += forgotten;
      add_end (world, worker, work.task, work.run, work.how, forgotten);
      if (work.how != GP_END_DONE)
        break_gang (world, work.task, work.run);
    }
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
            receive_start (world, worker, order->task);
          break;
        case GP_ORDER_STOP:
          gp_task_name (order->task, name);
          stop (world, worker, name, order->run);
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
    stop (world, worker, name, task->run);
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

      break_gang (world, lost->task, lost->run);
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
      if (chance (world) < world->faults->cancelled_jobs)
        cancel_random (world);
    }
  for (unsigned i = 0; i < GANG_WORKERS; i++)
    begin_work (world, &world->workers[i]);
  for (unsigned i = 0; i < GANG_WORKERS; i++)
    end_work (world, &world->workers[i]);
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

/* The workers of the gang world: starts, stops and ends of runs.  */

#include "gang_world_private.h"

#include <stdio.h>
#include <string.h>

#define WORK_TIME (500 * GP_MSEC)
#define STOP_TIME (300 * GP_MSEC)
/* A member ends if its run is not complete by then.  */
#define GANG_TIMEOUT (3 * GP_SEC)

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
            && gang_world_chance (world) >= world->faults->failing_members)
          work->how = GP_END_BROKEN;
        failed_one = true;
        work->ends_at
            = begin + gang_world_random_time (world, world->faults->spread);
      }
}

void
gang_world_break_run (gang_world_t *world, const char *task, uint32_t run)
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
      bool fails = gang_world_chance (world) < world->faults->failing_runs;

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
      = world->site->now
        + gang_world_random_time (world, world->faults->report_delay);
  g_array_append_val (worker->ends, end);
}

static bool
fails_at_once (gang_world_t *world)
{
  return world->faults->failing_starts > 0
         && gang_world_chance (world) < world->faults->failing_starts;
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
  if (gang_world_chance (world) < world->faults->refused_starts)
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

void
gang_worker_receive_start (gang_world_t *world, worker_t *worker,
                           const gp_job_task_t *task)
{
  pending_start_t pending = { .run = task->run };

  if (world->faults->start_delay == 0)
    {
      start (world, worker, task, task->run);
      return;
    }
  gp_task_name (task, pending.task);
  pending.due = world->site->now
                + gang_world_random_time (world, world->faults->start_delay);
  g_array_append_val (worker->starts, pending);
}

void
gang_worker_begin_due (gang_world_t *world, worker_t *worker)
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

void
gang_worker_stop (gang_world_t *world, worker_t *worker, const char *task,
                  uint32_t run)
{
  work_t *work = find_work (worker, task, run);

  if (drop_start (worker, task, run))
    add_end (world, worker, task, run, GP_END_STOPPED, true);
  if (work == NULL || work->ends_at != GP_TIME_NEVER)
    return;
  work->how = GP_END_STOPPED;
  work->ends_at = world->site->now + gang_world_random_time (world, STOP_TIME);
  gang_run_of (world, task, run)->over = true;
}

void
gang_worker_end_due (gang_world_t *world, worker_t *worker)
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
      forgotten = gang_world_chance (world) < world->faults->forgotten_ends;
      world->result.forgotten += forgotten;
      add_end (world, worker, work.task, work.run, work.how, forgotten);
      if (work.how != GP_END_DONE)
        gang_world_break_run (world, work.task, work.run);
    }
}

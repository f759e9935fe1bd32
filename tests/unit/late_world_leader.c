/* The leader of the late world, the log, and the guards' reports.  */

#include "late_world_impl.h"

#include <string.h>

#include "agent_messages.h"
#include "jobs/suspicion.h"
#include "protocol/message.h"

#define REPORT_TIME (300 * GP_MSEC)
#define RESYNC_TIME (2 * GP_SEC)
#define CORES 8

static Gp__Jobs__Start *
new_start (const gp_job_task_t *task)
{
  char name[GP_TASK_NAME_SIZE];
  Gp__Jobs__Start *start;

  gp_task_name (task, name);
  start = agent_start_new (name, task->run);
  start->watched = task->crashes > 0;
  start->alone = task->alone;
  return start;
}

static void
send_sync (late_world_t *world, late_worker_t *worker)
{
  Gp__Jobs__Sync sync = GP__JOBS__SYNC__INIT;
  GPtrArray *starts = g_ptr_array_new ();

  GP_LIST_FOREACH (link, &worker->executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (gp_scheduler_expects_run (task))
      g_ptr_array_add (starts, new_start (task));
  }
  sync.number = worker->sync;
  sync.executor = worker->executor->id;
  sync.starts = (Gp__Jobs__Start **)starts->pdata;
  sync.n_starts = starts->len;
  sync.raise_fence = worker->executor->dead;
  sync.after = world->site.now;
  worker->executor->dead = false;
  worker->synced_at = world->site.now;
  for (guint i = 0; i < starts->len; i++)
    agent_add_spec (&worker->agent,
                    ((Gp__Jobs__Start *)g_ptr_array_index (starts, i))->task,
                    world->site.now);
  gp_agent_sync (&worker->agent, &sync);
  for (size_t i = 0; i < sync.n_starts; i++)
    gp__jobs__start__free_unpacked (sync.starts[i], NULL);
  g_ptr_array_unref (starts);
}

static late_worker_t *
find_worker (late_world_t *world, const gp_job_executor_t *executor)
{
  for (unsigned i = 0; i < LATE_WORKERS; i++)
    if (world->workers[i].executor == executor)
      return &world->workers[i];
  return NULL;
}

static void
send_start (late_world_t *world, late_worker_t *worker,
            const gp_order_t *order)
{
  Gp__Jobs__Orders orders = GP__JOBS__ORDERS__INIT;
  Gp__Jobs__Start *start;

  if (order->task->executor != order->executor
      || order->task->run != order->run
      || !gp_scheduler_expects_run (order->task))
    return;
  start = new_start (order->task);
  agent_add_spec (&worker->agent, start->task, world->site.now);
  orders.executor = order->executor->id;
  orders.starts = &start;
  orders.n_starts = 1;
  gp_agent_order (&worker->agent, &orders);
  if (orders.n_starts > 0)
    gp__jobs__start__free_unpacked (start, NULL);
}

static void
send_run_order (late_worker_t *worker, const gp_order_t *order)
{
  Gp__Jobs__Orders orders = GP__JOBS__ORDERS__INIT;
  Gp__Jobs__TaskRun run = GP__JOBS__TASK_RUN__INIT;
  Gp__Jobs__TaskRun *runs = &run;
  char name[GP_TASK_NAME_SIZE] = "";

  if (order->kind != GP_ORDER_SEEN)
    gp_task_name (order->task, name);
  run.task = name;
  run.run = order->run;
  orders.executor = order->executor->id;
  orders.seen_ends = order->kind == GP_ORDER_SEEN ? order->seen : 0;
  orders.stops = &runs;
  orders.n_stops = order->kind == GP_ORDER_STOP;
  orders.forget = &runs;
  orders.n_forget = order->kind == GP_ORDER_FORGET;
  gp_agent_order (&worker->agent, &orders);
}

static void
send_order (late_world_t *world, const gp_order_t *order)
{
  late_worker_t *worker = find_worker (world, order->executor);

  if (worker == NULL || !worker->connected
      || !late_worker_has_guard (world, worker))
    return;
  if (order->kind == GP_ORDER_START)
    send_start (world, worker, order);
  else
    send_run_order (worker, order);
}

static void
write_log (late_world_t *world)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, world->pending);
  while (g_hash_table_iter_next (&iter, &key, &value))
    g_hash_table_replace (world->log, g_strdup (key),
                          g_bytes_ref ((GBytes *)value));
  g_hash_table_remove_all (world->pending);
  for (unsigned i = 0; i < LATE_WORKERS; i++)
    g_strlcpy (world->workers[i].recorded_id, world->workers[i].pending_id,
               sizeof world->workers[i].recorded_id);
}

void
late_leader_append_done (late_world_t *world)
{
  gp_time_t now = world->site.now;

  world->append_at = GP_TIME_NEVER;
  write_log (world);
  if (now - world->decided_at > 200 * GP_MSEC)
    gp_scheduler_orders_delayed (&world->site.scheduler, world->decided_at,
                                 now);
  for (unsigned i = 0; i < LATE_WORKERS; i++)
    if (world->syncs[i] && world->workers[i].connected
        && late_worker_has_guard (world, &world->workers[i])
        && world->workers[i].executor != NULL)
      send_sync (world, &world->workers[i]);
  for (guint i = 0; i < world->orders->len; i++)
    send_order (world, &g_array_index (world->orders, gp_order_t, i));
  g_array_set_size (world->orders, 0);
}

/* Plans, and starts an append.  */
void
late_leader_plan (late_world_t *world, bool faulty)
{
  gp_scheduler_t *scheduler = &world->site.scheduler;
  gp_list_t *link;

  if (world->append_at != GP_TIME_NEVER)
    return;
  jobs_site_plan (&world->site);
  while ((link = gp_list_pop_front (&scheduler->dirty)) != NULL)
    {
      const gp_job_t *job = GP_CONTAINER_OF (link, gp_job_t, dirty_link);

      g_hash_table_replace (world->pending, g_strdup (job->id),
                            gp_book_pack (job));
    }
  g_array_append_vals (world->orders, scheduler->orders->data,
                       scheduler->orders->len);
  g_array_set_size (scheduler->orders, 0);
  for (unsigned i = 0; i < LATE_WORKERS; i++)
    {
      late_worker_t *worker = &world->workers[i];

      g_strlcpy (worker->pending_id, worker->executor_id,
                 sizeof worker->pending_id);
      world->syncs[i] = worker->wants_sync && worker->executor != NULL;
      if (!world->syncs[i])
        continue;
      worker->wants_sync = false;
      worker->synced_at = world->site.now;
      worker->sync = ++world->sync_count;
    }
  world->decided_at = world->site.now;
  world->append_at = world->site.now + 5 * GP_MSEC;
  if (faulty && (world->faults & LATE_RECORDS)
      && late_random_chance (world->random, 0.005))
    world->append_at += g_rand_int_range (world->random, 300, 7000) * GP_MSEC;
}

/* Reports.  */

static void
report_suspects (late_world_t *world, const late_worker_t *worker)
{
  GHashTableIter iter;
  gpointer value;

  worker->executor->suspects_reported = true;
  g_hash_table_iter_init (&iter, worker->agent.runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_agent_run_t *run = value;
      Gp__Jobs__TaskRun row = GP__JOBS__TASK_RUN__INIT;
      Gp__Jobs__TaskRun *rows = &row;

      if (!gp_agent_is_suspect (&worker->agent, run))
        continue;
      row.task = (char *)run->name;
      row.run = run->run;
      gp_agent_describe_suspect (&worker->agent, run, &row);
      gp_scheduler_note_suspects (&world->site.scheduler, worker->executor,
                                  &rows, 1);
    }
}

static void
report_runs (late_world_t *world, const late_worker_t *worker)
{
  gp_scheduler_t *scheduler = &world->site.scheduler;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, worker->agent.runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_agent_run_t *run = value;
      Gp__Jobs__TaskRun row = GP__JOBS__TASK_RUN__INIT;
      Gp__Jobs__TaskRun *rows = &row;

      row.task = run->name;
      row.run = run->run;
      if (run->phase == GP_RUN_ABSENT)
        gp_scheduler_run_absent (scheduler, worker->executor, &row,
                                 world->site.now);
      if (gp_agent_report_settled (run))
        gp_scheduler_note_settled (scheduler, worker->executor, &rows, 1);
      if (gp_agent_is_unconfirmed (run))
        gp_scheduler_note_unconfirmed (scheduler, worker->executor, &rows, 1,
                                       world->site.now);
    }
}

/* A guard that is not synced reports all runs on its list.  */
static void
report_unsynced (late_world_t *world, const late_worker_t *worker)
{
  const gp_agent_t *agent = &worker->agent;
  GPtrArray *rows = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_agent_run_t *run = value;
      Gp__Jobs__TaskRun row = GP__JOBS__TASK_RUN__INIT;

      if (!run->listed)
        continue;
      row.task = run->name;
      row.run = run->run;
      g_ptr_array_add (rows, g_memdup2 (&row, sizeof row));
    }
  for (guint i = 0; i < agent->carried->len; i++)
    g_ptr_array_add (rows, g_memdup2 (g_ptr_array_index (agent->carried, i),
                                      sizeof (Gp__Jobs__TaskRun)));
  gp_scheduler_note_unsynced (worker->executor,
                              (Gp__Jobs__TaskRun **)rows->pdata, rows->len,
                              world->site.now);
  g_ptr_array_unref (rows);
}

/* Handles a report that names another executor than the known one.  */
static void
replace_executor (late_world_t *world, late_worker_t *worker)
{
  gp_book_t *book = &world->site.book;
  const Gp__Jobs__Predecessor *before = worker->agent.predecessor;
  gp_job_executor_t *executor;

  if (strcmp (worker->executor_id, worker->id) == 0)
    return;
  if (*worker->executor_id != '\0')
    {
      executor = gp_book_executor (book, worker->executor_id);
      if (before != NULL && strcmp (before->executor, executor->id) == 0)
        {
          gp_scheduler_clear_suspects (executor);
          gp_scheduler_note_suspects (&world->site.scheduler, executor,
                                      before->suspects, before->n_suspects);
        }
      jobs_site_executor_dead (&world->site, executor, GP_DEATH_REPLACED);
    }
  g_strlcpy (worker->executor_id, worker->id, sizeof worker->executor_id);
  worker->wants_sync = true;
}

void
late_leader_report (late_world_t *world, late_worker_t *worker)
{
  gp_agent_t *agent = &worker->agent;
  gp_time_t now = world->site.now;
  bool lapsed = gp_agent_lease_lapsed (agent, now);
  bool down = gp_agent_is_down (agent, now);
  gp_job_executor_t *executor;

  worker->report_at = now + REPORT_TIME;
  gp_agent_reported (agent, now);
  gp_agent_acknowledged (agent, now, 0, now);
  if (strcmp (agent->executor->id, worker->id) == 0)
    replace_executor (world, worker);
  executor = gp_book_executor (&world->site.book, agent->executor->id);
  if (worker->executor != executor)
    worker->wants_sync = true;
  worker->executor = executor;
  jobs_site_executor (&world->site, executor->id, CORES);
  for (guint i = 0; i < agent->ends->len; i++)
    gp_scheduler_run_ended (&world->site.scheduler, executor,
                            g_ptr_array_index (agent->ends, i), now,
                            now / GP_MSEC);
  report_runs (world, worker);
  if (agent->synced == 0)
    report_unsynced (world, worker);
  if (gp_agent_has_isolated_run (agent))
    gp_suspicion_extend_dedication (executor, now);
  if (executor->suspects_reported)
    gp_scheduler_clear_suspects (executor);
  if ((lapsed || down) && !executor->dead)
    report_suspects (world, worker);
  if (lapsed && !executor->dead)
    jobs_site_executor_dead (&world->site, executor,
                             gp_agent_is_responsive (agent, now)
                                 ? GP_DEATH_LAPSED
                                 : GP_DEATH_LAPSED_UNANSWERED);
  if (executor->dead
      || (agent->synced != worker->sync
          && now - worker->synced_at > RESYNC_TIME))
    worker->wants_sync = true;
  executor->down = down;
  executor->reported_at = now;
  executor->disconnected_at = 0;
  if (executor->reported_since == 0)
    executor->reported_since = now;
  executor->reachable
      = !lapsed && !worker->wants_sync && agent->synced == worker->sync;
}

/* Jobs.  */

void
late_leader_submit (late_world_t *world, const char *id, unsigned count,
                    bool long_running)
{
  Gp__Jobs__Submission *submission = jobs_site_submission (count, 1000);

  submission->max_attempts = 100;
  submission->steps[0]->long_running = long_running;
  g_hash_table_replace (world->submitted, g_strdup (id),
                        gp_message_pack (&submission->base));
  jobs_site_submit (&world->site, id, submission);
}

/* Another entry becomes leader, with the state in the log.  */
void
late_leader_change (late_world_t *world)
{
  gp_time_t now = world->site.now;
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  gsize size;

  if (world->append_at != GP_TIME_NEVER
      && late_random_chance (world->random, 0.5))
    write_log (world);
  g_hash_table_remove_all (world->pending);
  g_array_set_size (world->orders, 0);
  world->append_at = GP_TIME_NEVER;
  jobs_site_finish (&world->site);
  jobs_site_init (&world->site);
  world->site.now = now;
  g_hash_table_iter_init (&iter, world->submitted);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const uint8_t *bytes = g_bytes_get_data (value, &size);
      GBytes *progress = g_hash_table_lookup (world->log, key);

      gp_book_submit (&world->site.book, key, bytes, size, now, 0, NULL);
      if (progress == NULL)
        continue;
      bytes = g_bytes_get_data (progress, &size);
      gp_book_progress (&world->site.book, key, bytes, size, NULL);
    }
  for (unsigned i = 0; i < LATE_WORKERS; i++)
    {
      late_worker_t *worker = &world->workers[i];

      worker->executor = NULL;
      worker->wants_sync = true;
      g_strlcpy (worker->executor_id, worker->recorded_id,
                 sizeof worker->executor_id);
      gp_agent_clear_sync (&worker->agent);
      for (gpointer at = g_hash_table_get_values (worker->agent.runs);
           at != NULL; at = g_list_delete_link (at, at))
        ((gp_agent_run_t *)((GList *)at)->data)->settled_reported = false;
      worker->report_at = now + 100 * GP_MSEC;
    }
}

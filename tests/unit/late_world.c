/* A site in virtual time whose orders are late.  */

#include "late_world.h"

#include <string.h>

#include "agent_messages.h"
#include "jobs/agent_private.h"
#include "jobs/suspicion.h"
#include "protocol/message.h"

#define STEP (20 * GP_MSEC)
#define CRASH_TIME (10 * GP_MSEC)
#define DARK_TIME GP_SEC
#define GUARD_TIME (500 * GP_MSEC)
#define REPORT_TIME (300 * GP_MSEC)
#define RESYNC_TIME (2 * GP_SEC)
#define GIVE_UP_TIME (300 * GP_MSEC)
#define CORES 8

/* A call on its way: carried out at DUE, answered unless LOST.  */
typedef struct
{
  gp_agent_call_kind_t kind; /* NONE: a list */
  char name[GP_TASK_NAME_SIZE];
  uint32_t run;
  int64_t fence;
  int64_t lease_ms;
  uint64_t confirmed;
  gp_time_t sent_at;
  gp_time_t due;
  bool lost;
  gp_time_t gives_up; /* 0: the agent knows */
} flight_t;

static bool
chance (GRand *random, double share)
{
  return g_rand_double (random) < share;
}

static bool
is_up (const late_world_t *world, const late_worker_t *worker)
{
  return world->site.now >= worker->up_at;
}

static bool
has_guard (const late_world_t *world, const late_worker_t *worker)
{
  return world->site.now >= worker->guard_up_at;
}

/* Guards.  */

static void
begin_guard (late_world_t *world, late_worker_t *worker)
{
  gp_agent_init (&worker->agent, 0, world->site.now);
  gp_agent_begin_fence (&worker->agent, world->site.now / GP_MSEC * 1000);
  worker->met = false;
  worker->listing = false;
}

static void
kill_guard (late_world_t *world, late_worker_t *worker)
{
  gp_agent_finish (&worker->agent);
  worker->guard_up_at = world->site.now + GUARD_TIME;
  for (guint i = 0; i < worker->flights->len; i++)
    {
      flight_t *flight = &g_array_index (worker->flights, flight_t, i);

      flight->lost = true;
      flight->gives_up = 0;
    }
  if (worker->executor != NULL)
    {
      worker->executor->cut_at = world->site.now;
      worker->executor->reachable = false;
    }
  worker->wants_sync = true;
  begin_guard (world, worker);
}

/* Executors.  */

static void
begin_life (late_worker_t *worker)
{
  worker->life++;
  g_snprintf (worker->id, sizeof worker->id, "x%u-%u", worker->number,
              worker->life);
  fake_executor_init (&worker->fake);
  worker->fake.work_time = 300 * GP_MSEC;
  worker->crash_at = GP_TIME_NEVER;
  worker->met = false;
}

static void
crash (late_world_t *world, late_worker_t *worker)
{
  fake_executor_finish (&worker->fake);
  begin_life (worker);
  worker->up_at = world->site.now + DARK_TIME;
  worker->listing = false;
  g_array_set_size (worker->flights, 0);
  if (has_guard (world, worker))
    gp_agent_list_refused (&worker->agent, GP_AGENT_CUT, -1, world->site.now);
  if ((world->faults & LATE_GUARDS) && chance (world->random, 0.5))
    kill_guard (world, worker);
  if (world->faults & LATE_STARTS)
    for (unsigned i = 0; i < LATE_WORKERS; i++)
      world->workers[i].late_until = world->site.now + 4 * GP_SEC;
}

/* A start was carried out that was not before.  */
static void
note_start (late_world_t *world, late_worker_t *worker, const char *name,
            uint32_t run)
{
  unsigned at_work = 0;

  for (unsigned i = 0; i < LATE_WORKERS; i++)
    for (uint32_t r = 1; r <= run; r++)
      at_work += is_up (world, &world->workers[i])
                 && fake_executor_runs (&world->workers[i].fake, name, r);
  world->twice += at_work > 1;
  if (!g_str_has_prefix (name, LATE_CULPRIT ".0.0.0"))
    return;
  world->starts++;
  worker->crash_at = world->site.now + CRASH_TIME;
}

static void
let_last (late_worker_t *worker)
{
  for (guint i = 0; i < worker->fake.runs->len; i++)
    {
      fake_run_t *run = &g_array_index (worker->fake.runs, fake_run_t, i);

      if (g_str_has_prefix (run->task, "00000000000000dd"))
        run->done_at = GP_TIME_NEVER;
    }
}

static gp_agent_result_t
carry_out (late_world_t *world, late_worker_t *worker, const flight_t *flight)
{
  gp_time_t now = world->site.now;
  bool there;
  gp_agent_result_t result;

  switch (flight->kind)
    {
    case GP_AGENT_CALL_START:
      there = fake_executor_runs (&worker->fake, flight->name, flight->run);
      result = fake_executor_start (&worker->fake, flight->name, flight->run,
                                    flight->lease_ms, flight->fence, now);
      let_last (worker);
      if (result == GP_AGENT_TAKEN && !there)
        note_start (world, worker, flight->name, flight->run);
      return result;
    case GP_AGENT_CALL_STOP:
      return fake_executor_stop (&worker->fake, flight->name, flight->run,
                                 flight->fence, now);
    case GP_AGENT_CALL_NONE:
      return fake_executor_hold (&worker->fake, flight->confirmed,
                                 flight->lease_ms, flight->fence, now);
    case GP_AGENT_CALL_PACE:
      break;
    }
  return GP_AGENT_TAKEN;
}

/* Calls.  */

static flight_t *
take_off (late_world_t *world, late_worker_t *worker,
          gp_agent_call_kind_t kind)
{
  GRand *random = world->random;
  gp_time_t now = world->site.now;
  flight_t flight = { .kind = kind,
                      .sent_at = now,
                      .fence = worker->agent.fence,
                      .due = now + 5 * GP_MSEC,
                      .gives_up = now + GIVE_UP_TIME };

  if (kind == GP_AGENT_CALL_NONE)
    flight.due = now + g_rand_int_range (random, 1, 250) * GP_MSEC;
  if (kind == GP_AGENT_CALL_START && now < worker->late_until
      && chance (random, 0.8))
    {
      flight.lost = true;
      flight.due = now + g_rand_int_range (random, 100, 4500) * GP_MSEC;
    }
  g_array_append_val (worker->flights, flight);
  return &g_array_index (worker->flights, flight_t, worker->flights->len - 1);
}

static void
take_list (late_world_t *world, late_worker_t *worker, gp_time_t sent_at,
           int64_t fence)
{
  fake_executor_t *fake = &worker->fake;
  gp_agent_row_t *rows = g_new (gp_agent_row_t, fake->runs->len);
  Gp__Jobs__End *ends = g_new (Gp__Jobs__End, fake->ends->len);

  for (guint i = 0; i < fake->runs->len; i++)
    {
      const fake_run_t *run = &g_array_index (fake->runs, fake_run_t, i);

      rows[i] = (gp_agent_row_t){ run->task, run->run, 100 };
    }
  for (guint i = 0; i < fake->ends->len; i++)
    ends[i] = *(Gp__Jobs__End *)g_ptr_array_index (fake->ends, i);
  gp_agent_fence_listed (&worker->agent, fence);
  gp_agent_listed (
      &worker->agent, rows, fake->runs->len, ends, fake->ends->len,
      fake_executor_clock (fake, world->site.now), sent_at, world->site.now);
  g_free (rows);
  g_free (ends);
}

static void
answer (late_world_t *world, late_worker_t *worker, const flight_t *flight,
        gp_agent_result_t result)
{
  gp_time_t now = world->site.now;
  int64_t clock = result == GP_AGENT_UNANSWERED
                      ? -1
                      : fake_executor_clock (&worker->fake, now);

  if (!has_guard (world, worker) || !worker->met)
    return;
  if (result == GP_AGENT_FENCED)
    gp_agent_fenced (&worker->agent, flight->fence);
  if (flight->kind != GP_AGENT_CALL_NONE)
    {
      gp_agent_answered (&worker->agent, flight->kind, flight->name,
                         flight->run, 0, result, clock, now);
      return;
    }
  worker->listing = false;
  if (result == GP_AGENT_TAKEN)
    take_list (world, worker, flight->sent_at, flight->fence);
  else
    gp_agent_list_refused (&worker->agent, result, clock, now);
}

static void
land (late_world_t *world, late_worker_t *worker)
{
  for (guint i = worker->flights->len; i-- > 0;)
    {
      flight_t flight = g_array_index (worker->flights, flight_t, i);
      gp_agent_result_t result;

      if (flight.lost && flight.gives_up != 0
          && world->site.now >= flight.gives_up)
        {
          g_array_index (worker->flights, flight_t, i).gives_up = 0;
          answer (world, worker, &flight, GP_AGENT_UNANSWERED);
        }
      if (world->site.now < flight.due)
        continue;
      g_array_remove_index (worker->flights, i);
      result = carry_out (world, worker, &flight);
      if (flight.lost && flight.gives_up == 0)
        continue;
      answer (world, worker, &flight,
              flight.lost ? GP_AGENT_UNANSWERED : result);
    }
}

static void
fly (late_world_t *world, late_worker_t *worker)
{
  gp_time_t again;
  gp_agent_call_t next;
  flight_t *flight;

  while ((next = gp_agent_next_call (&worker->agent, world->site.now, &again))
             .kind
         != GP_AGENT_CALL_NONE)
    {
      flight = take_off (world, worker, next.kind);
      g_strlcpy (flight->name, next.run->name, sizeof flight->name);
      flight->run = next.run->run;
      flight->lease_ms = next.lease_ms;
    }
  if (worker->listing)
    return;
  worker->listing = true;
  flight = take_off (world, worker, GP_AGENT_CALL_NONE);
  flight->confirmed
      = gp_agent_list_confirmed (&worker->agent, world->site.now);
  flight->lease_ms = gp_agent_list_lease (&worker->agent, world->site.now);
  if (gp_agent_keeps_alone (&worker->agent))
    flight->due = MIN (flight->due, world->site.now + 50 * GP_MSEC);
}

/* The guard meets the life that is there.  */
static void
meet (late_world_t *world, late_worker_t *worker)
{
  int64_t fence = gp_agent_ask_fence (&worker->agent);

  gp_agent_begin_fence (&worker->agent, fence);
  while (fake_executor_hold (&worker->fake, 0, 0, fence, world->site.now)
         == GP_AGENT_FENCED)
    {
      gp_agent_fenced (&worker->agent, fence);
      fence = gp_agent_ask_fence (&worker->agent);
      gp_agent_begin_fence (&worker->agent, fence);
    }
  gp_agent_set_executor (&worker->agent, agent_executor_new (worker->id),
                         fake_executor_clock (&worker->fake, world->site.now),
                         world->site.now);
  take_list (world, worker, world->site.now, fence);
  worker->met = true;
  worker->report_at = world->site.now;
}

/* The leader.  */

static Gp__Jobs__Start *
start_of (const gp_job_task_t *task)
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

    if (gp_scheduler_wanted (task))
      g_ptr_array_add (starts, start_of (task));
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
    agent_hold_spec (&worker->agent,
                     ((Gp__Jobs__Start *)g_ptr_array_index (starts, i))->task,
                     world->site.now);
  gp_agent_sync (&worker->agent, &sync);
  for (size_t i = 0; i < sync.n_starts; i++)
    gp__jobs__start__free_unpacked (sync.starts[i], NULL);
  g_ptr_array_unref (starts);
}

static late_worker_t *
worker_of (late_world_t *world, const gp_job_executor_t *executor)
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
      || order->task->run != order->run || !gp_scheduler_wanted (order->task))
    return;
  start = start_of (order->task);
  agent_hold_spec (&worker->agent, start->task, world->site.now);
  orders.executor = order->executor->id;
  orders.starts = &start;
  orders.n_starts = 1;
  gp_agent_order (&worker->agent, &orders);
  if (orders.n_starts > 0)
    gp__jobs__start__free_unpacked (start, NULL);
}

static void
send_run (late_worker_t *worker, const gp_order_t *order)
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
  late_worker_t *worker = worker_of (world, order->executor);

  if (worker == NULL || !worker->met || !has_guard (world, worker))
    return;
  if (order->kind == GP_ORDER_START)
    send_start (world, worker, order);
  else
    send_run (worker, order);
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
    g_strlcpy (world->workers[i].on_record, world->workers[i].pending,
               sizeof world->workers[i].on_record);
}

static void
append_done (late_world_t *world)
{
  gp_time_t now = world->site.now;

  world->append_at = GP_TIME_NEVER;
  write_log (world);
  if (now - world->decided_at > 200 * GP_MSEC)
    gp_scheduler_ordered (&world->site.scheduler, world->decided_at, now);
  for (unsigned i = 0; i < LATE_WORKERS; i++)
    if (world->syncs[i] && world->workers[i].met
        && has_guard (world, &world->workers[i])
        && world->workers[i].executor != NULL)
      send_sync (world, &world->workers[i]);
  for (guint i = 0; i < world->orders->len; i++)
    send_order (world, &g_array_index (world->orders, gp_order_t, i));
  g_array_set_size (world->orders, 0);
}

/* Decide, and write it down.  */
static void
turn (late_world_t *world, bool faulty)
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

      g_strlcpy (worker->pending, worker->place, sizeof worker->pending);
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
      && chance (world->random, 0.005))
    world->append_at += g_rand_int_range (world->random, 300, 7000) * GP_MSEC;
}

/* Reports.  */

static void
tell_suspects (late_world_t *world, const late_worker_t *worker)
{
  GHashTableIter iter;
  gpointer value;

  worker->executor->suspects_told = true;
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
      gp_scheduler_suspects (&world->site.scheduler, worker->executor, &rows,
                             1);
    }
}

static void
take_runs (late_world_t *world, const late_worker_t *worker)
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
        gp_scheduler_absent (scheduler, worker->executor, &row,
                             world->site.now);
      if (gp_agent_tells_settled (run))
        gp_scheduler_settled (scheduler, worker->executor, &rows, 1);
    }
}

/* The guard reports another executor than the one on record.  */
static void
replace (late_world_t *world, late_worker_t *worker)
{
  gp_book_t *book = &world->site.book;
  const Gp__Jobs__Predecessor *before = worker->agent.predecessor;
  gp_job_executor_t *executor;

  if (strcmp (worker->place, worker->id) == 0)
    return;
  if (*worker->place != '\0')
    {
      executor = gp_book_executor (book, worker->place);
      if (before != NULL && strcmp (before->executor, executor->id) == 0)
        {
          gp_scheduler_no_suspects (executor);
          gp_scheduler_suspects (&world->site.scheduler, executor,
                                 before->suspects, before->n_suspects);
        }
      jobs_site_dead (&world->site, executor, GP_DEATH_REPLACED);
    }
  g_strlcpy (worker->place, worker->id, sizeof worker->place);
  worker->wants_sync = true;
}

static void
report (late_world_t *world, late_worker_t *worker)
{
  gp_agent_t *agent = &worker->agent;
  gp_time_t now = world->site.now;
  bool lapsed = gp_agent_lapsed (agent, now);
  bool down = gp_agent_is_down (agent, now);
  gp_job_executor_t *executor;

  worker->report_at = now + REPORT_TIME;
  gp_agent_reported (agent, now);
  gp_agent_acknowledged (agent, now, 0, now);
  if (strcmp (agent->executor->id, worker->id) == 0)
    replace (world, worker);
  executor = gp_book_executor (&world->site.book, agent->executor->id);
  if (worker->executor != executor)
    worker->wants_sync = true;
  worker->executor = executor;
  jobs_site_executor (&world->site, executor->id, CORES);
  for (guint i = 0; i < agent->ends->len; i++)
    gp_scheduler_end (&world->site.scheduler, executor,
                      g_ptr_array_index (agent->ends, i), now, now / GP_MSEC);
  take_runs (world, worker);
  if (gp_agent_keeps_alone (agent))
    gp_suspicion_goes_on (executor, now);
  if (executor->suspects_told)
    gp_scheduler_no_suspects (executor);
  if ((lapsed || down) && !executor->dead)
    tell_suspects (world, worker);
  if (lapsed && !executor->dead)
    jobs_site_dead (&world->site, executor,
                    gp_agent_answers (agent, now) ? GP_DEATH_LAPSED
                                                  : GP_DEATH_UNHEARD);
  if (executor->dead
      || (agent->synced != worker->sync
          && now - worker->synced_at > RESYNC_TIME))
    worker->wants_sync = true;
  executor->down = down;
  executor->reported_at = now;
  executor->cut_at = 0;
  if (executor->reported_since == 0)
    executor->reported_since = now;
  executor->reachable
      = !lapsed && !worker->wants_sync && agent->synced == worker->sync;
}

/* Jobs.  */

static void
submit (late_world_t *world, const char *id, unsigned count, bool lasts)
{
  Gp__Jobs__Submission *submission = jobs_site_submission (count, 1000);

  submission->max_attempts = 100;
  submission->steps[0]->long_running = lasts;
  g_hash_table_replace (world->submitted, g_strdup (id),
                        gp_message_pack (&submission->base));
  jobs_site_submit (&world->site, id, submission);
}

/* Another entry leads, by what is on the log.  */
static void
change_leader (late_world_t *world)
{
  gp_time_t now = world->site.now;
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  gsize size;

  if (world->append_at != GP_TIME_NEVER && chance (world->random, 0.5))
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
      g_strlcpy (worker->place, worker->on_record, sizeof worker->place);
      gp_agent_unsync (&worker->agent);
      for (gpointer at = g_hash_table_get_values (worker->agent.runs);
           at != NULL; at = g_list_delete_link (at, at))
        ((gp_agent_run_t *)((GList *)at)->data)->settled_told = false;
      worker->report_at = now + 100 * GP_MSEC;
    }
}

/* Life.  */

void
late_world_init (late_world_t *world, guint32 seed, unsigned faults)
{
  memset (world, 0, sizeof *world);
  world->random = g_rand_new_with_seed (seed);
  world->faults = faults;
  jobs_site_init (&world->site);
  world->site.now = 100 * GP_SEC;
  world->append_at = GP_TIME_NEVER;
  world->orders = g_array_new (FALSE, FALSE, sizeof (gp_order_t));
  world->log = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)g_bytes_unref);
  world->submitted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_bytes_unref);
  world->pending = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)g_bytes_unref);
  for (unsigned i = 0; i < LATE_WORKERS; i++)
    {
      late_worker_t *worker = &world->workers[i];

      worker->number = i + 1;
      worker->flights = g_array_new (FALSE, FALSE, sizeof (flight_t));
      begin_life (worker);
      begin_guard (world, worker);
    }
  submit (world, "00000000000000dd", 2, true);
  submit (world, LATE_CULPRIT, 3, false);
}

void
late_world_finish (late_world_t *world)
{
  for (unsigned i = 0; i < LATE_WORKERS; i++)
    {
      late_worker_t *worker = &world->workers[i];

      gp_agent_finish (&worker->agent);
      fake_executor_finish (&worker->fake);
      g_array_free (worker->flights, TRUE);
    }
  jobs_site_finish (&world->site);
  g_hash_table_destroy (world->log);
  g_hash_table_destroy (world->submitted);
  g_hash_table_destroy (world->pending);
  g_array_free (world->orders, TRUE);
  g_rand_free (world->random);
}

static void
step_worker (late_world_t *world, late_worker_t *worker, bool faulty)
{
  if (is_up (world, worker))
    {
      fake_executor_advance (&worker->fake, world->site.now);
      land (world, worker);
      if (world->site.now >= worker->crash_at)
        crash (world, worker);
    }
  if (!faulty)
    worker->late_until = 0;
  if (!has_guard (world, worker))
    return;
  if (faulty && (world->faults & LATE_GUARDS) && chance (world->random, 0.001))
    {
      kill_guard (world, worker);
      return;
    }
  if (is_up (world, worker) && !worker->met)
    meet (world, worker);
  if (is_up (world, worker))
    fly (world, worker);
  if (worker->agent.executor != NULL
      && (world->site.now >= worker->report_at || worker->agent.ends->len > 0))
    report (world, worker);
}

void
late_world_run (late_world_t *world, gp_time_t duration, bool faulty)
{
  gp_time_t until = world->site.now + duration;
  char id[GP_JOB_ID_SIZE + 1];

  while (world->site.now < until)
    {
      world->site.now += STEP;
      for (unsigned i = 0; i < LATE_WORKERS; i++)
        step_worker (world, &world->workers[i], faulty);
      if (world->site.now >= world->append_at)
        append_done (world);
      if (faulty && (world->faults & LATE_LEADERS)
          && chance (world->random, 0.003))
        change_leader (world);
      if (chance (world->random, 0.06))
        {
          g_snprintf (id, sizeof id, "%016x", 0x1000 + ++world->jobs);
          submit (world, id, 3, false);
        }
      turn (world, faulty);
    }
}

bool
late_world_gave_up (const late_world_t *world)
{
  return gp_book_find (&world->site.book, LATE_CULPRIT)->state
         == GP_JOB_FAILED;
}

unsigned
late_world_failed (const late_world_t *world)
{
  unsigned failed = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->site.book.jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_t *job = value;

      failed += job->state == GP_JOB_FAILED
                && strcmp (job->id, LATE_CULPRIT) != 0;
    }
  return failed;
}

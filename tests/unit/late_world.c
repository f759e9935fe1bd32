/* The guards and executors of the late world.  */

#include "late_world_impl.h"

#include <string.h>

#include "agent_messages.h"
#include "jobs/agent_private.h"
#include "jobs/suspicion.h"

#define STEP (20 * GP_MSEC)
#define CRASH_TIME (10 * GP_MSEC)
#define DOWN_TIME GP_SEC
#define GUARD_TIME (500 * GP_MSEC)
#define CALL_TIMEOUT (300 * GP_MSEC)
/* No executor crashes by itself sooner after a beginning: that would be
   evidence against the run.  */
#define MIN_RUN_AGE (150 * GP_MSEC)
/* Each executor crashes by itself about once in 10 s.  */
#define CRASH_CHANCE 0.002
/* The task of LATE_CRASHING_JOB that crashes its executors.  */
#define LATE_CRASHING_TASK LATE_CRASHING_JOB ".0.0.0"
/* So many starts of a run are put off for so long: until the run is there.  */
#define STARTS_PUT_OFF 2
#define STARTS_PUT_OFF_LONG 4
#define PUT_OFF_TIME (4 * GP_SEC)
/* Chance that a job is submitted in a step.  */
#define JOB_CHANCE 0.06
#define JOB_CHANCE_BUSY 0.4

/* A call in progress: carried out at DUE, answered unless LOST.  */
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
  gp_time_t times_out_at; /* the agent treats it as unanswered from then on, 0:
                             the agent has its result */
} call_t;

bool
late_random_chance (GRand *random, double share)
{
  return g_rand_double (random) < share;
}

static bool
is_up (const late_world_t *world, const late_worker_t *worker)
{
  return world->site.now >= worker->up_at;
}

bool
late_worker_has_guard (const late_world_t *world, const late_worker_t *worker)
{
  return world->site.now >= worker->guard_up_at;
}

/* Guards.  */

static void
start_guard (late_world_t *world, late_worker_t *worker)
{
  gp_agent_init (&worker->agent, 0, world->site.now);
  gp_agent_raise_fence_to (&worker->agent, world->site.now / GP_MSEC * 1000);
  worker->connected = false;
  worker->listing = false;
  worker->guard_kill_at = GP_TIME_NEVER;
}

static gp_time_t
guard_down_time (late_world_t *world)
{
  if (!(world->faults & LATE_GUARDS_AT_STARTS))
    return GUARD_TIME;
  return g_rand_int_range (world->random, 20, 500) * GP_MSEC;
}

static void
kill_guard (late_world_t *world, late_worker_t *worker)
{
  gp_agent_finish (&worker->agent);
  worker->guard_up_at = world->site.now + guard_down_time (world);
  for (guint i = 0; i < worker->calls->len; i++)
    {
      call_t *call = &g_array_index (worker->calls, call_t, i);

      call->lost = true;
      call->times_out_at = 0;
    }
  if (worker->executor != NULL)
    {
      worker->executor->disconnected_at = world->site.now;
      worker->executor->reachable = false;
    }
  worker->wants_sync = true;
  start_guard (world, worker);
}

/* Executors.  */

static void
start_incarnation (late_worker_t *worker)
{
  worker->incarnation++;
  g_snprintf (worker->id, sizeof worker->id, "x%u-%u", worker->number,
              worker->incarnation);
  fake_executor_init (&worker->fake);
  worker->fake.work_time = 300 * GP_MSEC;
  worker->crash_at = GP_TIME_NEVER;
  worker->connected = false;
}

static void
crash_executor (late_world_t *world, late_worker_t *worker)
{
  fake_executor_finish (&worker->fake);
  start_incarnation (worker);
  worker->up_at = world->site.now + DOWN_TIME;
  worker->listing = false;
  g_array_set_size (worker->calls, 0);
  if (late_worker_has_guard (world, worker))
    gp_agent_list_failed (&worker->agent, GP_AGENT_DISCONNECTED, -1,
                          world->site.now);
  if ((world->faults & LATE_GUARDS_AT_CRASHES)
      || ((world->faults & LATE_GUARDS)
          && late_random_chance (world->random, 0.5)))
    kill_guard (world, worker);
  if (world->faults & LATE_STARTS)
    for (unsigned i = 0; i < LATE_WORKERS; i++)
      world->workers[i].starts_late_until = world->site.now + 4 * GP_SEC;
}

/* A start was carried out for the first time.  */
static void
record_start (late_world_t *world, late_worker_t *worker, const char *name,
              uint32_t run)
{
  unsigned at_work = 0;

  for (unsigned i = 0; i < LATE_WORKERS; i++)
    for (uint32_t r = 1; r <= run; r++)
      at_work += is_up (world, &world->workers[i])
                 && fake_executor_runs (&world->workers[i].fake, name, r);
  world->double_starts += at_work > 1;
  worker->last_start_at = world->site.now;
  if ((world->faults & LATE_GUARDS_AT_STARTS)
      && late_random_chance (world->random, 0.5))
    worker->guard_kill_at
        = world->site.now + g_rand_int_range (world->random, 0, 100) * GP_MSEC;
  if (!g_str_has_prefix (name, LATE_CRASHING_TASK))
    return;
  world->starts++;
  worker->crash_at = world->site.now + CRASH_TIME;
}

static void
keep_long_running_runs (late_worker_t *worker)
{
  for (guint i = 0; i < worker->fake.runs->len; i++)
    {
      fake_run_t *run = &g_array_index (worker->fake.runs, fake_run_t, i);

      if (g_str_has_prefix (run->task, "00000000000000dd"))
        run->done_at = GP_TIME_NEVER;
    }
}

static gp_agent_result_t
carry_out (late_world_t *world, late_worker_t *worker, const call_t *call)
{
  gp_time_t now = world->site.now;
  bool running;
  gp_agent_result_t result;

  switch (call->kind)
    {
    case GP_AGENT_CALL_START:
      running = fake_executor_runs (&worker->fake, call->name, call->run);
      result = fake_executor_start (&worker->fake, call->name, call->run,
                                    call->lease_ms, call->fence, now);
      keep_long_running_runs (worker);
      if (result == GP_AGENT_ACCEPTED && !running)
        record_start (world, worker, call->name, call->run);
      return result;
    case GP_AGENT_CALL_STOP:
      return fake_executor_stop (&worker->fake, call->name, call->run,
                                 call->fence, now);
    case GP_AGENT_CALL_NONE:
      return fake_executor_renew (&worker->fake, call->confirmed,
                                  call->lease_ms, call->fence, now);
    case GP_AGENT_CALL_PACE:
      break;
    }
  return GP_AGENT_ACCEPTED;
}

/* Calls.  */

/* Returns how many starts of this run the executor still has to carry out.  */
static unsigned
count_pending_starts (const late_worker_t *worker, const call_t *start)
{
  unsigned count = 0;

  for (guint i = 0; i < worker->calls->len; i++)
    {
      const call_t *call = &g_array_index (worker->calls, call_t, i);

      count += call->kind == GP_AGENT_CALL_START && call->run == start->run
               && strcmp (call->name, start->name) == 0;
    }
  return count;
}

/* Returns how many starts of each run of the crashing task are put off.  */
static unsigned
starts_to_put_off (const late_world_t *world, bool faulty)
{
  if (!faulty)
    return 0;
  if (world->faults & LATE_CULPRIT_LONG)
    return STARTS_PUT_OFF_LONG;
  return world->faults & LATE_CULPRIT ? STARTS_PUT_OFF : 0;
}

/* Returns whether the executor puts off START without an answer.  */
static bool
puts_off (const late_world_t *world, const late_worker_t *worker,
          const call_t *start)
{
  return g_str_has_prefix (start->name, LATE_CRASHING_TASK)
         && count_pending_starts (worker, start) < world->starts_put_off;
}

static call_t *
send_call (late_world_t *world, late_worker_t *worker,
           const gp_agent_call_t *next)
{
  gp_agent_call_kind_t kind = next->kind;
  GRand *random = world->random;
  gp_time_t now = world->site.now;
  call_t call = { .kind = kind,
                  .sent_at = now,
                  .fence = worker->agent.fence,
                  .due = now + 5 * GP_MSEC,
                  .times_out_at = now + CALL_TIMEOUT };

  if (next->run != NULL)
    {
      g_strlcpy (call.name, next->run->name, sizeof call.name);
      call.run = next->run->run;
      call.lease_ms = next->lease_ms;
    }
  if (kind == GP_AGENT_CALL_NONE)
    call.due = now + g_rand_int_range (random, 1, 250) * GP_MSEC;
  if (kind == GP_AGENT_CALL_START && now < worker->starts_late_until
      && late_random_chance (random, 0.8))
    {
      call.lost = true;
      call.due = now + g_rand_int_range (random, 100, 4500) * GP_MSEC;
    }
  if (kind == GP_AGENT_CALL_START && puts_off (world, worker, &call))
    {
      call.lost = true;
      call.due = now + PUT_OFF_TIME;
    }
  g_array_append_val (worker->calls, call);
  return &g_array_index (worker->calls, call_t, worker->calls->len - 1);
}

static void
process_list (late_world_t *world, late_worker_t *worker, gp_time_t sent_at,
              int64_t fence)
{
  gp_agent_fence_listed (&worker->agent, fence);
  fake_executor_list (&worker->fake, &worker->agent, sent_at, world->site.now);
}

static void
answer (late_world_t *world, late_worker_t *worker, const call_t *call,
        gp_agent_result_t result)
{
  gp_time_t now = world->site.now;
  int64_t clock = result == GP_AGENT_UNANSWERED
                      ? -1
                      : fake_executor_clock (&worker->fake, now);

  if (!late_worker_has_guard (world, worker) || !worker->connected)
    return;
  if (result == GP_AGENT_FENCED)
    gp_agent_fence_rejected (&worker->agent, call->fence);
  if (call->kind != GP_AGENT_CALL_NONE)
    {
      gp_agent_answered (&worker->agent, call->kind, call->name, call->run, 0,
                         result, clock, now);
      return;
    }
  worker->listing = false;
  if (result == GP_AGENT_ACCEPTED)
    process_list (world, worker, call->sent_at, call->fence);
  else
    gp_agent_list_failed (&worker->agent, result, clock, now);
}

static void
deliver_calls (late_world_t *world, late_worker_t *worker)
{
  for (guint i = worker->calls->len; i-- > 0;)
    {
      call_t call = g_array_index (worker->calls, call_t, i);
      gp_agent_result_t result;

      if (call.lost && call.times_out_at != 0
          && world->site.now >= call.times_out_at)
        {
          g_array_index (worker->calls, call_t, i).times_out_at = 0;
          answer (world, worker, &call, GP_AGENT_UNANSWERED);
        }
      if (world->site.now < call.due)
        continue;
      g_array_remove_index (worker->calls, i);
      result = carry_out (world, worker, &call);
      if (call.lost && call.times_out_at == 0)
        continue;
      answer (world, worker, &call, call.lost ? GP_AGENT_UNANSWERED : result);
    }
}

static void
make_calls (late_world_t *world, late_worker_t *worker)
{
  gp_time_t again;
  gp_agent_call_t next;
  call_t *call;

  while ((next = gp_agent_next_call (&worker->agent, world->site.now, &again))
             .kind
         != GP_AGENT_CALL_NONE)
    send_call (world, worker, &next);
  if (worker->listing)
    return;
  worker->listing = true;
  call = send_call (world, worker, &next);
  call->confirmed = gp_agent_list_confirmed (&worker->agent, world->site.now);
  call->lease_ms = gp_agent_list_lease (&worker->agent, world->site.now);
  if (gp_agent_has_isolated_run (&worker->agent))
    call->due = MIN (call->due, world->site.now + 50 * GP_MSEC);
}

/* The guard connects to the current incarnation of the executor.  */
static void
connect_guard (late_world_t *world, late_worker_t *worker)
{
  int64_t fence = gp_agent_query_fence (&worker->agent);

  gp_agent_raise_fence_to (&worker->agent, fence);
  while (fake_executor_renew (&worker->fake, 0, 0, fence, world->site.now)
         == GP_AGENT_FENCED)
    {
      gp_agent_fence_rejected (&worker->agent, fence);
      fence = gp_agent_query_fence (&worker->agent);
      gp_agent_raise_fence_to (&worker->agent, fence);
    }
  gp_agent_set_executor (&worker->agent, agent_executor_new (worker->id),
                         fake_executor_clock (&worker->fake, world->site.now),
                         world->site.now);
  process_list (world, worker, world->site.now, fence);
  worker->connected = true;
  worker->report_at = world->site.now;
}

/* Initialization and the main loop.  */

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
      worker->calls = g_array_new (FALSE, FALSE, sizeof (call_t));
      start_incarnation (worker);
      start_guard (world, worker);
    }
  late_leader_submit (world, "00000000000000dd", 2, true);
  if (!(world->faults & LATE_NO_CULPRIT))
    late_leader_submit (world, LATE_CRASHING_JOB, 3, false);
}

void
late_world_finish (late_world_t *world)
{
  for (unsigned i = 0; i < LATE_WORKERS; i++)
    {
      late_worker_t *worker = &world->workers[i];

      gp_agent_finish (&worker->agent);
      fake_executor_finish (&worker->fake);
      g_array_free (worker->calls, TRUE);
    }
  jobs_site_finish (&world->site);
  g_hash_table_destroy (world->log);
  g_hash_table_destroy (world->submitted);
  g_hash_table_destroy (world->pending);
  g_array_free (world->orders, TRUE);
  g_rand_free (world->random);
}

/* Returns whether the executor of WORKER, which is up, crashes now.  */
static bool
crashes_now (late_world_t *world, const late_worker_t *worker, bool faulty)
{
  if (world->site.now >= worker->crash_at)
    return true;
  return faulty && (world->faults & LATE_CRASHES)
         && world->site.now - worker->last_start_at >= MIN_RUN_AGE
         && late_random_chance (world->random, CRASH_CHANCE);
}

/* Returns whether the guard of WORKER, which is up, is killed now.  */
static bool
guard_dies_now (late_world_t *world, const late_worker_t *worker)
{
  if (world->site.now >= worker->guard_kill_at)
    return true;
  return (world->faults & LATE_GUARDS)
         && late_random_chance (world->random, 0.001);
}

static void
step_worker (late_world_t *world, late_worker_t *worker, bool faulty)
{
  if (is_up (world, worker))
    {
      fake_executor_advance (&worker->fake, world->site.now);
      deliver_calls (world, worker);
      if (crashes_now (world, worker, faulty))
        crash_executor (world, worker);
    }
  if (!faulty)
    worker->starts_late_until = 0;
  if (!late_worker_has_guard (world, worker))
    return;
  if (faulty && guard_dies_now (world, worker))
    {
      kill_guard (world, worker);
      return;
    }
  if (is_up (world, worker) && !worker->connected)
    connect_guard (world, worker);
  if (is_up (world, worker))
    make_calls (world, worker);
  if (worker->agent.executor != NULL
      && (world->site.now >= worker->report_at || worker->agent.ends->len > 0))
    late_leader_report (world, worker);
}

static double
job_chance (const late_world_t *world)
{
  return world->faults & LATE_BUSY ? JOB_CHANCE_BUSY : JOB_CHANCE;
}

void
late_world_run (late_world_t *world, gp_time_t duration, bool faulty)
{
  gp_time_t until = world->site.now + duration;
  char id[GP_JOB_ID_SIZE + 1];

  world->starts_put_off = starts_to_put_off (world, faulty);
  while (world->site.now < until)
    {
      world->site.now += STEP;
      for (unsigned i = 0; i < LATE_WORKERS; i++)
        step_worker (world, &world->workers[i], faulty);
      if (world->site.now >= world->append_at)
        late_leader_append_done (world);
      if (faulty && (world->faults & LATE_LEADERS)
          && late_random_chance (world->random, 0.003))
        late_leader_change (world);
      if (late_random_chance (world->random, job_chance (world)))
        {
          g_snprintf (id, sizeof id, "%016x", 0x1000 + ++world->jobs);
          late_leader_submit (world, id, 3, false);
        }
      late_leader_plan (world, faulty);
    }
}

bool
late_world_gave_up (const late_world_t *world)
{
  return gp_book_find (&world->site.book, LATE_CRASHING_JOB)->state
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
                && strcmp (job->id, LATE_CRASHING_JOB) != 0;
    }
  return failed;
}

/* Random tests of the guard's agent with an executor that leaves calls
   unanswered and carries them out late.  */

#include <glib.h>
#include <string.h>

#include "agent_messages.h"
#include "fake_executor.h"
#include "jobs/agent_private.h"
#include "runner.h"

#define TASK "00000000000000aa.0.0.0"

/* The leader wants one task at a time, and run N + 1 only after run N is known
   to have ended or to be absent.  */

#define STEP (20 * GP_MSEC)
#define STEPS 1500

/* A call in progress: carried out at DUE, and answered unless LOST.  */
typedef struct
{
  gp_agent_call_kind_t kind; /* GP_AGENT_CALL_NONE: a list */
  char name[GP_TASK_NAME_SIZE];
  uint32_t run;
  int64_t fence;
  int64_t lease_ms;
  uint64_t confirmed;
  gp_time_t sent_at;
  gp_time_t due;
  bool lost;
  gp_time_t times_out_at; /* the agent treats it as unanswered from then on */
} pending_call_t;

typedef struct
{
  GRand *random;
  gp_agent_t agent;
  fake_executor_t fake;
  GArray *pending;
  gp_time_t now;
  bool listing;
  uint32_t wanted;   /* the run that the leader wants, 0: none */
  uint32_t given_up; /* runs up to this one must not run any more */
  uint32_t done_runs;
} world_t;

static bool
chance (world_t *world, double share)
{
  return g_rand_double (world->random) < share;
}

static pending_call_t *
send_call (world_t *world, gp_agent_call_kind_t kind)
{
  pending_call_t pending_call
      = { .kind = kind,
          .sent_at = world->now,
          .fence = world->agent.fence,
          .confirmed = world->agent.seen_ends,
          .due
          = world->now + g_rand_int_range (world->random, 1, 30) * GP_MSEC,
          .times_out_at = world->now + 300 * GP_MSEC };

  if (chance (world, 0.1))
    {
      pending_call.lost = true;
      if (chance (world, 0.7))
        pending_call.due
            += g_rand_int_range (world->random, 2000, 12000) * GP_MSEC;
    }
  g_array_append_val (world->pending, pending_call);
  return &g_array_index (world->pending, pending_call_t,
                         world->pending->len - 1);
}

static gp_agent_result_t
carry_out (world_t *world, const pending_call_t *pending_call)
{
  switch (pending_call->kind)
    {
    case GP_AGENT_CALL_START:
      return fake_executor_start (&world->fake, pending_call->name,
                                  pending_call->run, pending_call->lease_ms,
                                  pending_call->fence, world->now);
    case GP_AGENT_CALL_STOP:
      return fake_executor_stop (&world->fake, pending_call->name,
                                 pending_call->run, pending_call->fence,
                                 world->now);
    case GP_AGENT_CALL_NONE:
      return fake_executor_renew (&world->fake, pending_call->confirmed,
                                  pending_call->lease_ms, pending_call->fence,
                                  world->now);
    case GP_AGENT_CALL_PACE:
      break;
    }
  return GP_AGENT_ACCEPTED;
}

static void
answer (world_t *world, const pending_call_t *pending_call,
        gp_agent_result_t result)
{
  int64_t clock = result == GP_AGENT_UNANSWERED
                      ? -1
                      : fake_executor_clock (&world->fake, world->now);

  if (result == GP_AGENT_FENCED)
    gp_agent_fence_rejected (&world->agent, pending_call->fence);
  if (pending_call->kind != GP_AGENT_CALL_NONE)
    {
      gp_agent_answered (&world->agent, pending_call->kind, pending_call->name,
                         pending_call->run, 0, result, clock, world->now);
      return;
    }
  world->listing = false;
  if (result == GP_AGENT_ACCEPTED)
    fake_executor_list (&world->fake, &world->agent, pending_call->sent_at,
                        world->now);
  else
    gp_agent_list_failed (&world->agent, result, clock, world->now);
}

static void
deliver_calls (world_t *world)
{
  for (guint i = world->pending->len; i-- > 0;)
    {
      pending_call_t pending_call
          = g_array_index (world->pending, pending_call_t, i);
      gp_agent_result_t result;

      if (pending_call.lost && pending_call.times_out_at != 0
          && world->now >= pending_call.times_out_at)
        {
          answer (world, &pending_call, GP_AGENT_UNANSWERED);
          g_array_index (world->pending, pending_call_t, i).times_out_at = 0;
        }
      if (world->now < pending_call.due)
        continue;
      result = carry_out (world, &pending_call);
      if (!pending_call.lost)
        answer (world, &pending_call, result);
      else if (pending_call.times_out_at != 0)
        {
          answer (world, &pending_call, GP_AGENT_UNANSWERED);
        }
      g_array_remove_index (world->pending, i);
    }
}

static void
make_calls (world_t *world)
{
  gp_time_t again;
  gp_agent_call_t next;

  while ((next = gp_agent_next_call (&world->agent, world->now, &again)).kind
         != GP_AGENT_CALL_NONE)
    {
      pending_call_t *pending_call = send_call (world, next.kind);

      g_strlcpy (pending_call->name, next.run->name,
                 sizeof pending_call->name);
      pending_call->run = next.run->run;
      pending_call->lease_ms = next.lease_ms;
    }
  if (!world->listing && chance (world, 0.3))
    {
      world->listing = true;
      send_call (world, GP_AGENT_CALL_NONE)->lease_ms
          = gp_agent_list_lease (&world->agent, world->now);
    }
}

/* Acts as the leader does on a report made now.  */
static void
act_as_leader (world_t *world)
{
  gp_agent_t *agent = &world->agent;
  bool lapsed = gp_agent_lease_lapsed (agent, world->now);

  if (lapsed)
    world->given_up = world->wanted;
  for (guint i = 0; i < agent->ends->len; i++)
    {
      const Gp__Jobs__End *end = g_ptr_array_index (agent->ends, i);

      if (end->run == world->wanted)
        world->given_up = world->wanted;
      if (end->how == GP_END_DONE)
        world->done_runs++;
    }
  if (agent->ends->len > 0 && agent->is_synced)
    {
      Gp__Jobs__Orders orders = GP__JOBS__ORDERS__INIT;

      orders.executor = agent->executor->id;
      orders.seen_ends = agent->listed_ends;
      gp_agent_order (agent, &orders);
    }
  gp_agent_reported (agent, world->now);
  gp_agent_acknowledged (agent, world->now, 0, world->now);
  if (lapsed || !agent->is_synced)
    {
      world->wanted = world->given_up + 1;
      agent_sync_with (agent, TASK, world->wanted, world->now);
    }
  else if (world->given_up == world->wanted)
    {
      world->wanted++;
      agent_sync_with (agent, TASK, world->wanted, world->now);
    }
}

static void
give_up_absent (world_t *world)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->agent.runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_agent_run_t *run = value;

      if (run->phase == GP_RUN_ABSENT && run->run == world->wanted)
        world->given_up = world->wanted;
    }
}

/* Checks that no run that was given up is running.  */
static void
check_world (world_t *world)
{
  fake_executor_advance (&world->fake, world->now);
  for (guint i = 0; i < world->fake.runs->len; i++)
    {
      const fake_run_t *run = &g_array_index (world->fake.runs, fake_run_t, i);

      CU_ASSERT_FATAL (run->run > world->given_up);
    }
  CU_ASSERT_FATAL (world->fake.runs->len <= 1);
}

static void
restart_guard (world_t *world)
{
  gp_agent_finish (&world->agent);
  gp_agent_init (&world->agent, 0, world->now);
  agent_add_spec (&world->agent, TASK, world->now);
  world->listing = false;
  for (guint i = 0; i < world->pending->len; i++)
    {
      pending_call_t *pending_call
          = &g_array_index (world->pending, pending_call_t, i);

      pending_call->lost = true;
      pending_call->times_out_at = 0;
    }
  gp_agent_set_executor (&world->agent, agent_executor_new ("x1"),
                         fake_executor_clock (&world->fake, world->now),
                         world->now);
}

/* Returns the number of runs that completed.  */
static uint32_t
play (guint32 seed)
{
  world_t world
      = { .random = g_rand_new_with_seed (seed),
          .pending = g_array_new (FALSE, FALSE, sizeof (pending_call_t)),
          .now = 100 * GP_SEC };
  gp_time_t leader_cut_until = 0;

  fake_executor_init (&world.fake);
  world.fake.slow_permille = g_rand_int_range (world.random, 0, 21);
  gp_agent_init (&world.agent, 0, world.now);
  agent_add_spec (&world.agent, TASK, world.now);
  restart_guard (&world);
  for (int step = 0; step < STEPS; step++)
    {
      world.now += STEP;
      world.fake.work_time
          = g_rand_int_range (world.random, 100, 9000) * GP_MSEC;
      deliver_calls (&world);
      check_world (&world);
      give_up_absent (&world);
      if (chance (&world, 0.002))
        leader_cut_until
            = world.now + g_rand_int_range (world.random, 500, 9000) * GP_MSEC;
      if (world.now >= leader_cut_until && chance (&world, 0.1))
        act_as_leader (&world);
      if (chance (&world, 0.001))
        restart_guard (&world);
      if (chance (&world, 0.003))
        gp_agent_clear_sync (&world.agent);
      make_calls (&world);
    }
  gp_agent_finish (&world.agent);
  fake_executor_finish (&world.fake);
  g_array_free (world.pending, TRUE);
  g_rand_free (world.random);
  return world.done_runs;
}

static void
test_random (void)
{
  uint32_t done = 0;

  for (guint32 seed = 1; seed <= 60; seed++)
    done += play (seed);
  CU_ASSERT (done > 60);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "random", test_random }, CU_TEST_INFO_NULL };

  return runner_main ("agent, random", tests);
}

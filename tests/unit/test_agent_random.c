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

/* A call under way: carried out at DUE, and answered unless LOST.  */
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
  gp_time_t gives_up; /* the agent treats it as unanswered from then on */
} flight_t;

typedef struct
{
  GRand *random;
  gp_agent_t agent;
  fake_executor_t fake;
  GArray *flights;
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

static flight_t *
take_off (world_t *world, gp_agent_call_kind_t kind)
{
  flight_t flight
      = { .kind = kind,
          .sent_at = world->now,
          .fence = world->agent.fence,
          .confirmed = world->agent.seen_ends,
          .due
          = world->now + g_rand_int_range (world->random, 1, 30) * GP_MSEC,
          .gives_up = world->now + 300 * GP_MSEC };

  if (chance (world, 0.1))
    {
      flight.lost = true;
      if (chance (world, 0.7))
        flight.due += g_rand_int_range (world->random, 2000, 12000) * GP_MSEC;
    }
  g_array_append_val (world->flights, flight);
  return &g_array_index (world->flights, flight_t, world->flights->len - 1);
}

static gp_agent_result_t
carry_out (world_t *world, const flight_t *flight)
{
  switch (flight->kind)
    {
    case GP_AGENT_CALL_START:
      return fake_executor_start (&world->fake, flight->name, flight->run,
                                  flight->lease_ms, flight->fence, world->now);
    case GP_AGENT_CALL_STOP:
      return fake_executor_stop (&world->fake, flight->name, flight->run,
                                 flight->fence, world->now);
    case GP_AGENT_CALL_NONE:
      return fake_executor_renew (&world->fake, flight->confirmed,
                                  flight->lease_ms, flight->fence, world->now);
    case GP_AGENT_CALL_PACE:
      break;
    }
  return GP_AGENT_ACCEPTED;
}

static void
answer (world_t *world, const flight_t *flight, gp_agent_result_t result)
{
  int64_t clock = result == GP_AGENT_UNANSWERED
                      ? -1
                      : fake_executor_clock (&world->fake, world->now);

  if (result == GP_AGENT_FENCED)
    gp_agent_fence_rejected (&world->agent, flight->fence);
  if (flight->kind != GP_AGENT_CALL_NONE)
    {
      gp_agent_answered (&world->agent, flight->kind, flight->name,
                         flight->run, 0, result, clock, world->now);
      return;
    }
  world->listing = false;
  if (result == GP_AGENT_ACCEPTED)
    fake_executor_list (&world->fake, &world->agent, flight->sent_at,
                        world->now);
  else
    gp_agent_list_failed (&world->agent, result, clock, world->now);
}

static void
land (world_t *world)
{
  for (guint i = world->flights->len; i-- > 0;)
    {
      flight_t flight = g_array_index (world->flights, flight_t, i);
      gp_agent_result_t result;

      if (flight.lost && flight.gives_up != 0 && world->now >= flight.gives_up)
        {
          answer (world, &flight, GP_AGENT_UNANSWERED);
          g_array_index (world->flights, flight_t, i).gives_up = 0;
        }
      if (world->now < flight.due)
        continue;
      result = carry_out (world, &flight);
      if (!flight.lost)
        answer (world, &flight, result);
      else if (flight.gives_up != 0)
        {
          answer (world, &flight, GP_AGENT_UNANSWERED);
        }
      g_array_remove_index (world->flights, i);
    }
}

static void
fly (world_t *world)
{
  gp_time_t again;
  gp_agent_call_t next;

  while ((next = gp_agent_next_call (&world->agent, world->now, &again)).kind
         != GP_AGENT_CALL_NONE)
    {
      flight_t *flight = take_off (world, next.kind);

      g_strlcpy (flight->name, next.run->name, sizeof flight->name);
      flight->run = next.run->run;
      flight->lease_ms = next.lease_ms;
    }
  if (!world->listing && chance (world, 0.3))
    {
      world->listing = true;
      take_off (world, GP_AGENT_CALL_NONE)->lease_ms
          = gp_agent_list_lease (&world->agent, world->now);
    }
}

/* Does what the leader would do on a report made now.  */
static void
lead (world_t *world)
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
take_absent (world_t *world)
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
  for (guint i = 0; i < world->flights->len; i++)
    {
      flight_t *flight = &g_array_index (world->flights, flight_t, i);

      flight->lost = true;
      flight->gives_up = 0;
    }
  gp_agent_set_executor (&world->agent, agent_executor_new ("x1"),
                         fake_executor_clock (&world->fake, world->now),
                         world->now);
}

/* Returns the number of runs that completed.  */
static uint32_t
play (guint32 seed)
{
  world_t world = { .random = g_rand_new_with_seed (seed),
                    .flights = g_array_new (FALSE, FALSE, sizeof (flight_t)),
                    .now = 100 * GP_SEC };
  gp_time_t cut_until = 0;

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
      land (&world);
      check_world (&world);
      take_absent (&world);
      if (chance (&world, 0.002))
        cut_until
            = world.now + g_rand_int_range (world.random, 500, 9000) * GP_MSEC;
      if (world.now >= cut_until && chance (&world, 0.1))
        lead (&world);
      if (chance (&world, 0.001))
        restart_guard (&world);
      if (chance (&world, 0.003))
        gp_agent_clear_sync (&world.agent);
      fly (&world);
    }
  gp_agent_finish (&world.agent);
  fake_executor_finish (&world.fake);
  g_array_free (world.flights, TRUE);
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

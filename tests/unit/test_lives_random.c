/* Random tests of incarnations, lists and confirmations of an executor that
   restarts under the same id, in virtual time.  */

#include <glib.h>

#include "agent_messages.h"
#include "fake_executor.h"
#include "jobs/agent_private.h"
#include "runner.h"

#define TASK "00000000000000aa.0.0.0"
#define ID "x1"

/* There is one executor id.  The leader wants one task at a time, and the
   next run of it only after the previous one is known to have ended, to be
   absent or to be lost with its incarnation.  */

#define STEP (20 * GP_MSEC)
#define STEPS 1500

typedef struct
{
  gp_agent_call_kind_t kind; /* GP_AGENT_CALL_NONE: a list */
  bool asks;                 /* the list is an identity query of an unknown
                                incarnation */
  int64_t asked_born_ms;     /* as reported by its heartbeat */
  uint32_t run;
  uint64_t life; /* incarnation number of the agent */
  int64_t fence;
  int64_t lease_ms;
  uint64_t confirmed;
  gp_time_t sent_at;
  gp_time_t due;
  bool lost;          /* its answer is lost */
  bool told;          /* the agent knows that it is lost */
  gp_time_t gives_up; /* the agent treats it as unanswered from then on */
  unsigned real_life; /* the incarnation that existed when it was sent */
} flight_t;

typedef struct
{
  GRand *random;
  gp_agent_t agent;
  fake_executor_t fake;
  unsigned real_life;
  int64_t born_ms; /* of the current incarnation */
  gp_time_t dark_until;
  GArray *flights;
  gp_time_t now;
  gp_time_t wall_ms; /* time of day, which may step back */
  bool listing;
  bool list_is_dead;     /* the connection for lists is silently dead; the next
                            list uses another one */
  int64_t known_born_ms; /* as known to the leader */
  uint32_t wanted;
  uint32_t given_up; /* runs up to this one must not run any more */
  uint64_t recorded; /* ends of the current incarnation that the leader has
                        recorded */
  unsigned recorded_life;
  uint32_t done_runs;
  uint32_t early_runs; /* number of times that a check saw a run that the next
                          incarnation had carried out late */
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
          .life = world->agent.incarnation_number,
          .real_life = world->real_life,
          .sent_at = world->now,
          .fence = world->agent.fence,
          .due
          = world->now + g_rand_int_range (world->random, 1, 30) * GP_MSEC,
          .gives_up = world->now + 300 * GP_MSEC };

  if (chance (world, 0.1))
    {
      flight.lost = true;
      flight.due += g_rand_int_range (world->random, 0, 12000) * GP_MSEC;
    }
  g_array_append_val (world->flights, flight);
  return &g_array_index (world->flights, flight_t, world->flights->len - 1);
}

/* Checks that the ends that the executor has dropped as confirmed were
   recorded as ends of its incarnation, unless the confirmation was meant for
   the previous incarnation and arrived before anyone could reach the current
   one.  */
static void
check_confirmed (const world_t *world, const flight_t *flight)
{
  guint left = world->fake.ends->len;
  uint64_t first
      = left == 0
            ? world->fake.end_count + 1
            : ((const Gp__Jobs__End *)g_ptr_array_index (world->fake.ends, 0))
                  ->number;

  if (flight->confirmed == 0 || first == 1
      || flight->fence <= world->fake.birth_fence)
    return;
  CU_ASSERT_FATAL (world->recorded_life == world->real_life);
  CU_ASSERT_FATAL (first - 1 <= world->recorded);
}

static gp_agent_result_t
carry_out (world_t *world, const flight_t *flight)
{
  gp_agent_result_t result = GP_AGENT_ACCEPTED;

  if (world->now < world->dark_until)
    return GP_AGENT_CONNECTION_REFUSED;
  switch (flight->kind)
    {
    case GP_AGENT_CALL_START:
      return fake_executor_start (&world->fake, TASK, flight->run,
                                  flight->lease_ms, flight->fence, world->now);
    case GP_AGENT_CALL_STOP:
      return fake_executor_stop (&world->fake, TASK, flight->run,
                                 flight->fence, world->now);
    case GP_AGENT_CALL_NONE:
      result
          = fake_executor_renew (&world->fake, flight->confirmed,
                                 flight->lease_ms, flight->fence, world->now);
      if (result == GP_AGENT_ACCEPTED)
        check_confirmed (world, flight);
      return result;
    case GP_AGENT_CALL_PACE:
      break;
    }
  return result;
}

/* Handles the answer to an identity query, as in jobsd/guard_beats.c.  */
static void
answer_question (world_t *world, const flight_t *flight,
                 gp_agent_result_t result)
{
  gp_agent_raise_fence_to (&world->agent, flight->fence);
  if (result == GP_AGENT_FENCED)
    gp_agent_fence_rejected (&world->agent, flight->fence);
  if (result != GP_AGENT_ACCEPTED
      || flight->life != world->agent.incarnation_number
      || flight->asked_born_ms != world->born_ms)
    return;
  gp_agent_set_executor (
      &world->agent, agent_incarnation_new (ID, world->born_ms),
      fake_executor_clock (&world->fake, world->now), world->now);
  fake_executor_list (&world->fake, &world->agent, flight->sent_at,
                      world->now);
}

static void
answer (world_t *world, const flight_t *flight, gp_agent_result_t result)
{
  int64_t clock = gp_agent_is_unanswered (result)
                      ? -1
                      : fake_executor_clock (&world->fake, world->now);

  if (flight->asks)
    {
      answer_question (world, flight, result);
      return;
    }
  if (flight->kind == GP_AGENT_CALL_NONE)
    world->listing = false;
  if (flight->life != world->agent.incarnation_number
      || world->agent.executor == NULL)
    return;
  if (result == GP_AGENT_FENCED)
    gp_agent_fence_rejected (&world->agent, flight->fence);
  if (flight->kind != GP_AGENT_CALL_NONE)
    gp_agent_answered (&world->agent, flight->kind, TASK, flight->run, 0,
                       result, clock, world->now);
  else if (result != GP_AGENT_ACCEPTED)
    gp_agent_list_failed (&world->agent, result, clock, world->now);
  else if (world->agent.executor->born_ms == world->born_ms)
    fake_executor_list (&world->fake, &world->agent, flight->sent_at,
                        world->now);
  else
    gp_agent_list_failed (&world->agent, GP_AGENT_CONNECTION_REFUSED, -1,
                          world->now);
}

static void
land (world_t *world)
{
  for (guint i = world->flights->len; i-- > 0;)
    {
      flight_t flight = g_array_index (world->flights, flight_t, i);
      gp_agent_result_t result;

      if (flight.lost && !flight.told && world->now >= flight.gives_up)
        {
          flight.told = true;
          g_array_index (world->flights, flight_t, i).told = true;
          answer (world, &flight, GP_AGENT_UNANSWERED);
        }
      if (world->now < flight.due)
        continue;
      g_array_remove_index (world->flights, i);
      result = carry_out (world, &flight);
      if (!flight.lost)
        answer (world, &flight, result);
      else if (!flight.told)
        answer (world, &flight, GP_AGENT_UNANSWERED);
    }
}

static void
fly (world_t *world)
{
  gp_time_t again;
  gp_agent_call_t next;
  flight_t *flight;

  while ((next = gp_agent_next_call (&world->agent, world->now, &again)).kind
         != GP_AGENT_CALL_NONE)
    {
      flight = take_off (world, next.kind);
      flight->run = next.run->run;
      flight->lease_ms = next.lease_ms;
    }
  if (world->listing || world->agent.executor == NULL || !chance (world, 0.5))
    return;
  world->listing = true;
  flight = take_off (world, GP_AGENT_CALL_NONE);
  flight->confirmed = gp_agent_list_confirmed (&world->agent, world->now);
  flight->lease_ms = gp_agent_list_lease (&world->agent, world->now);
  if (!world->list_is_dead)
    return;
  world->list_is_dead = false;
  flight->lost = true;
  flight->due = GP_TIME_NEVER;
}

/* Sends a heartbeat of the current incarnation, or of another one.  */
static void
beat (world_t *world)
{
  int64_t born_ms
      = chance (world, 0.9)
            ? world->born_ms
            : world->born_ms + g_rand_int_range (world->random, -3, 4);
  flight_t *flight;

  if (gp_agent_is_incarnation (&world->agent, ID, born_ms))
    return;
  flight = take_off (world, GP_AGENT_CALL_NONE);
  flight->asks = true;
  flight->due += g_rand_int_range (world->random, 0, 100) * GP_MSEC;
  flight->fence = gp_agent_query_fence (&world->agent);
  flight->asked_born_ms = born_ms;
}

/* Does a report list RUN as running or ended?  */
static bool
is_carried (const world_t *world, uint32_t run)
{
  const gp_agent_t *agent = &world->agent;
  const gp_agent_run_t *at = gp_agent_find_run (agent, TASK, run);

  for (guint i = 0; i < agent->carried->len; i++)
    if (((const Gp__Jobs__TaskRun *)g_ptr_array_index (agent->carried, i))->run
        == run)
      return true;
  return gp_agent_run_has_ended (agent, TASK, run)
         || (at != NULL && at->listed);
}

static void
take_ends (world_t *world)
{
  gp_agent_t *agent = &world->agent;

  for (guint i = 0; i < agent->ends->len; i++)
    {
      const Gp__Jobs__End *end = g_ptr_array_index (agent->ends, i);

      if (end->run == world->wanted)
        world->given_up = world->wanted;
      if (end->how == GP_END_DONE)
        world->done_runs++;
    }
  if (agent->executor->born_ms == world->born_ms)
    {
      world->recorded_life = world->real_life;
      world->recorded = MAX (agent->listed_ends, agent->seen_ends);
    }
  if (agent->ends->len > 0 && agent->is_synced)
    agent_confirm_ends (agent, ID, world->known_born_ms, agent->listed_ends);
}

/* Does what the leader would do on a report made now.  */
static void
lead (world_t *world)
{
  gp_agent_t *agent = &world->agent;
  bool lapsed;

  if (agent->executor == NULL)
    return;
  lapsed = gp_agent_lease_lapsed (agent, world->now);
  if (lapsed)
    world->given_up = world->wanted;
  if (agent->executor->born_ms != world->known_born_ms
      && !is_carried (world, world->wanted))
    world->given_up = world->wanted;
  world->known_born_ms = agent->executor->born_ms;
  take_ends (world);
  gp_agent_reported (agent, world->now);
  gp_agent_acknowledged (agent, world->now, 0, world->now);
  if (world->given_up == world->wanted)
    world->wanted++;
  else if (agent->is_synced && !lapsed)
    return;
  agent_sync_incarnation (agent, ID, TASK, world->known_born_ms, world->wanted,
                          world->now);
}

static void
take_absent (world_t *world)
{
  const gp_agent_run_t *run
      = gp_agent_find_run (&world->agent, TASK, world->wanted);

  if (run != NULL && run->phase == GP_RUN_ABSENT)
    world->given_up = world->wanted;
}

/* Checks that no run that was given up is running.  Exempt are runs that were
   ordered from the previous incarnation and carried out before anyone could
   reach the current one, which no caller can prevent.  */
static void
check_world (world_t *world)
{
  guint others = 0;

  fake_executor_advance (&world->fake, world->now);
  for (guint i = 0; i < world->fake.runs->len; i++)
    {
      const fake_run_t *run = &g_array_index (world->fake.runs, fake_run_t, i);

      CU_ASSERT_FATAL (run->early || run->run > world->given_up);
      others += !run->early;
      world->early_runs += run->early;
    }
  CU_ASSERT_FATAL (others <= 1);
}

static void
restart_guard (world_t *world)
{
  gp_agent_finish (&world->agent);
  gp_agent_init (&world->agent, 0, world->now);
  gp_agent_raise_fence_to (&world->agent, world->wall_ms);
  agent_add_spec (&world->agent, TASK, world->now);
  world->listing = false;
  for (guint i = 0; i < world->flights->len; i++)
    {
      flight_t *flight = &g_array_index (world->flights, flight_t, i);

      flight->lost = true;
      flight->told = true;
    }
}

/* Loses the answers to all calls under way.  */
static void
lose_silently (world_t *world)
{
  world->list_is_dead = !world->listing;
  for (guint i = 0; i < world->flights->len; i++)
    g_array_index (world->flights, flight_t, i).lost = true;
}

/* The executor restarts under its id.  Its connections are closed, or lost
   silently; calls that have not arrived yet may reach the next
   incarnation.  */
static void
restart_executor (world_t *world)
{
  fake_executor_t *fake = &world->fake;
  gp_time_t slow_permille = fake->slow_permille;

  fake_executor_finish (fake);
  fake_executor_init (fake);
  fake->slow_permille = slow_permille;
  fake->birth_fence = world->agent.fence;
  fake->clock_offset_ms = g_rand_int_range (world->random, 0, 10000) - 5000;
  world->real_life++;
  world->born_ms += g_rand_int_range (world->random, 0, 2) == 0 ? 1 : -7;
  world->dark_until = world->now;
  if (chance (world, 0.5))
    world->dark_until += g_rand_int_range (world->random, 1, 3000) * GP_MSEC;
  if (chance (world, 0.3))
    {
      lose_silently (world);
      return;
    }
  for (guint i = 0; i < world->flights->len; i++)
    {
      flight_t *flight = &g_array_index (world->flights, flight_t, i);

      if (!flight->told)
        answer (world, flight, GP_AGENT_DISCONNECTED);
      flight->lost = true;
      flight->told = true;
    }
}

/* Adds to the numbers of runs that completed and of runs that the next
   incarnation carried out.  */
static void
play (guint32 seed, uint32_t *done, uint32_t *early)
{
  world_t world = { .random = g_rand_new_with_seed (seed),
                    .flights = g_array_new (FALSE, FALSE, sizeof (flight_t)),
                    .born_ms = 1000,
                    .real_life = 1,
                    .wanted = 1,
                    .now = 100 * GP_SEC };

  fake_executor_init (&world.fake);
  gp_agent_init (&world.agent, 0, world.now);
  world.wall_ms = 1000000;
  restart_guard (&world);
  for (int step = 0; step < STEPS; step++)
    {
      world.now += STEP;
      world.wall_ms += STEP / GP_MSEC;
      world.fake.work_time
          = g_rand_int_range (world.random, 20, 2000) * GP_MSEC;
      land (&world);
      check_world (&world);
      take_absent (&world);
      if (chance (&world, 0.2))
        lead (&world);
      if (world.now >= world.dark_until && chance (&world, 0.1))
        beat (&world);
      if (chance (&world, 0.001))
        restart_guard (&world);
      if (chance (&world, 0.003))
        gp_agent_clear_sync (&world.agent);
      if (world.now >= world.dark_until && chance (&world, 0.01))
        restart_executor (&world);
      fly (&world);
    }
  gp_agent_finish (&world.agent);
  fake_executor_finish (&world.fake);
  g_array_free (world.flights, TRUE);
  g_rand_free (world.random);
  *done += world.done_runs;
  *early += world.early_runs;
}

static void
test_random (void)
{
  uint32_t done = 0;
  uint32_t early = 0;

  for (guint32 seed = 1; seed <= 4000; seed++)
    play (seed, &done, &early);
  CU_ASSERT (done > 400);
  CU_ASSERT (early > 0);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "random", test_random }, CU_TEST_INFO_NULL };

  return runner_main ("lives, random", tests);
}

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
  bool is_query;             /* the list is an identity query of an unknown
                                incarnation */
  int64_t asked_born_ms;     /* as reported by its heartbeat */
  uint32_t run;
  uint64_t agent_incarnation; /* incarnation number of the agent */
  int64_t fence;
  int64_t lease_ms;
  uint64_t confirmed;
  gp_time_t sent_at;
  gp_time_t due;
  bool lost;              /* its answer is lost */
  bool loss_known;        /* the agent knows that it is lost */
  gp_time_t times_out_at; /* the agent treats it as unanswered from then on */
  unsigned incarnation;   /* the incarnation that existed when it was sent */
} pending_call_t;

typedef struct
{
  GRand *random;
  gp_agent_t agent;
  fake_executor_t fake;
  unsigned incarnation;
  int64_t born_ms; /* of the current incarnation */
  gp_time_t unreachable_until;
  GArray *pending;
  gp_time_t now;
  gp_time_t wall_ms; /* time of day, which may step back */
  bool listing;
  bool list_is_dead; /* the connection for lists was lost without being closed;
                        the next list uses another one */
  int64_t known_born_ms; /* as known to the leader */
  uint32_t wanted;
  uint32_t given_up; /* runs up to this one must not run any more */
  uint64_t recorded; /* ends of the current incarnation that the leader has
                        recorded */
  unsigned recorded_incarnation;
  uint32_t done_runs;
  uint32_t late_starts; /* number of times that a check saw a run that the next
                           incarnation had carried out late */
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
          .agent_incarnation = world->agent.incarnation_number,
          .incarnation = world->incarnation,
          .sent_at = world->now,
          .fence = world->agent.fence,
          .due
          = world->now + g_rand_int_range (world->random, 1, 30) * GP_MSEC,
          .times_out_at = world->now + 300 * GP_MSEC };

  if (chance (world, 0.1))
    {
      pending_call.lost = true;
      pending_call.due += g_rand_int_range (world->random, 0, 12000) * GP_MSEC;
    }
  g_array_append_val (world->pending, pending_call);
  return &g_array_index (world->pending, pending_call_t,
                         world->pending->len - 1);
}

/* Checks that the ends that the executor has dropped as confirmed were
   recorded as ends of its incarnation, unless the confirmation was sent to the
   previous incarnation and arrived before the agent could reach the current
   one.  */
static void
check_confirmed (const world_t *world, const pending_call_t *pending_call)
{
  guint left = world->fake.ends->len;
  uint64_t first
      = left == 0
            ? world->fake.end_count + 1
            : ((const Gp__Jobs__End *)g_ptr_array_index (world->fake.ends, 0))
                  ->number;

  if (pending_call->confirmed == 0 || first == 1
      || pending_call->fence <= world->fake.birth_fence)
    return;
  CU_ASSERT_FATAL (world->recorded_incarnation == world->incarnation);
  CU_ASSERT_FATAL (first - 1 <= world->recorded);
}

static gp_agent_result_t
carry_out (world_t *world, const pending_call_t *pending_call)
{
  gp_agent_result_t result = GP_AGENT_ACCEPTED;

  if (world->now < world->unreachable_until)
    return GP_AGENT_CONNECTION_REFUSED;
  switch (pending_call->kind)
    {
    case GP_AGENT_CALL_START:
      return fake_executor_start (&world->fake, TASK, pending_call->run,
                                  pending_call->lease_ms, pending_call->fence,
                                  world->now);
    case GP_AGENT_CALL_STOP:
      return fake_executor_stop (&world->fake, TASK, pending_call->run,
                                 pending_call->fence, world->now);
    case GP_AGENT_CALL_NONE:
      result = fake_executor_renew (&world->fake, pending_call->confirmed,
                                    pending_call->lease_ms,
                                    pending_call->fence, world->now);
      if (result == GP_AGENT_ACCEPTED)
        check_confirmed (world, pending_call);
      return result;
    case GP_AGENT_CALL_PACE:
      break;
    }
  return result;
}

/* Handles the answer to an identity query, as in jobsd/guard_heartbeats.c.  */
static void
answer_query (world_t *world, const pending_call_t *pending_call,
              gp_agent_result_t result)
{
  gp_agent_raise_fence_to (&world->agent, pending_call->fence);
  if (result == GP_AGENT_FENCED)
    gp_agent_fence_rejected (&world->agent, pending_call->fence);
  if (result != GP_AGENT_ACCEPTED
      || pending_call->agent_incarnation != world->agent.incarnation_number
      || pending_call->asked_born_ms != world->born_ms)
    return;
  gp_agent_set_executor (
      &world->agent, agent_incarnation_new (ID, world->born_ms),
      fake_executor_clock (&world->fake, world->now), world->now);
  fake_executor_list (&world->fake, &world->agent, pending_call->sent_at,
                      world->now);
}

static void
answer (world_t *world, const pending_call_t *pending_call,
        gp_agent_result_t result)
{
  int64_t clock = gp_agent_is_unanswered (result)
                      ? -1
                      : fake_executor_clock (&world->fake, world->now);

  if (pending_call->is_query)
    {
      answer_query (world, pending_call, result);
      return;
    }
  if (pending_call->kind == GP_AGENT_CALL_NONE)
    world->listing = false;
  if (pending_call->agent_incarnation != world->agent.incarnation_number
      || world->agent.executor == NULL)
    return;
  if (result == GP_AGENT_FENCED)
    gp_agent_fence_rejected (&world->agent, pending_call->fence);
  if (pending_call->kind != GP_AGENT_CALL_NONE)
    gp_agent_answered (&world->agent, pending_call->kind, TASK,
                       pending_call->run, 0, result, clock, world->now);
  else if (result != GP_AGENT_ACCEPTED)
    gp_agent_list_failed (&world->agent, result, clock, world->now);
  else if (world->agent.executor->born_ms == world->born_ms)
    fake_executor_list (&world->fake, &world->agent, pending_call->sent_at,
                        world->now);
  else
    gp_agent_list_failed (&world->agent, GP_AGENT_CONNECTION_REFUSED, -1,
                          world->now);
}

static void
deliver_calls (world_t *world)
{
  for (guint i = world->pending->len; i-- > 0;)
    {
      pending_call_t pending_call
          = g_array_index (world->pending, pending_call_t, i);
      gp_agent_result_t result;

      if (pending_call.lost && !pending_call.loss_known
          && world->now >= pending_call.times_out_at)
        {
          pending_call.loss_known = true;
          g_array_index (world->pending, pending_call_t, i).loss_known = true;
          answer (world, &pending_call, GP_AGENT_UNANSWERED);
        }
      if (world->now < pending_call.due)
        continue;
      g_array_remove_index (world->pending, i);
      result = carry_out (world, &pending_call);
      if (!pending_call.lost)
        answer (world, &pending_call, result);
      else if (!pending_call.loss_known)
        answer (world, &pending_call, GP_AGENT_UNANSWERED);
    }
}

static void
make_calls (world_t *world)
{
  gp_time_t again;
  gp_agent_call_t next;
  pending_call_t *pending_call;

  while ((next = gp_agent_next_call (&world->agent, world->now, &again)).kind
         != GP_AGENT_CALL_NONE)
    {
      pending_call = send_call (world, next.kind);
      pending_call->run = next.run->run;
      pending_call->lease_ms = next.lease_ms;
    }
  if (world->listing || world->agent.executor == NULL || !chance (world, 0.5))
    return;
  world->listing = true;
  pending_call = send_call (world, GP_AGENT_CALL_NONE);
  pending_call->confirmed
      = gp_agent_list_confirmed (&world->agent, world->now);
  pending_call->lease_ms = gp_agent_list_lease (&world->agent, world->now);
  if (!world->list_is_dead)
    return;
  world->list_is_dead = false;
  pending_call->lost = true;
  pending_call->due = GP_TIME_NEVER;
}

/* Sends a heartbeat of the current incarnation, or of another one.  */
static void
send_heartbeat (world_t *world)
{
  int64_t born_ms
      = chance (world, 0.9)
            ? world->born_ms
            : world->born_ms + g_rand_int_range (world->random, -3, 4);
  pending_call_t *pending_call;

  if (gp_agent_is_incarnation (&world->agent, ID, born_ms))
    return;
  pending_call = send_call (world, GP_AGENT_CALL_NONE);
  pending_call->is_query = true;
  pending_call->due += g_rand_int_range (world->random, 0, 100) * GP_MSEC;
  pending_call->fence = gp_agent_query_fence (&world->agent);
  pending_call->asked_born_ms = born_ms;
}

/* Returns whether a report lists RUN as running or ended.  */
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
record_ends (world_t *world)
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
      world->recorded_incarnation = world->incarnation;
      world->recorded = MAX (agent->listed_ends, agent->seen_ends);
    }
  if (agent->ends->len > 0 && agent->is_synced)
    agent_confirm_ends (agent, ID, world->known_born_ms, agent->listed_ends);
}

/* Acts as the leader does on a report made now.  */
static void
act_as_leader (world_t *world)
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
  record_ends (world);
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
give_up_absent (world_t *world)
{
  const gp_agent_run_t *run
      = gp_agent_find_run (&world->agent, TASK, world->wanted);

  if (run != NULL && run->phase == GP_RUN_ABSENT)
    world->given_up = world->wanted;
}

/* Checks that no run that was given up is running.  Exempt are runs that were
   ordered from the previous incarnation and carried out before the agent could
   reach the current one, which cannot be prevented.  */
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
      world->late_starts += run->early;
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
  for (guint i = 0; i < world->pending->len; i++)
    {
      pending_call_t *pending_call
          = &g_array_index (world->pending, pending_call_t, i);

      pending_call->lost = true;
      pending_call->loss_known = true;
    }
}

/* Loses the answers to all calls in progress.  */
static void
lose_answers (world_t *world)
{
  world->list_is_dead = !world->listing;
  for (guint i = 0; i < world->pending->len; i++)
    g_array_index (world->pending, pending_call_t, i).lost = true;
}

/* The executor restarts under its id.  Its connections are closed, or lost
   without being closed; calls that have not arrived yet may reach the next
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
  world->incarnation++;
  world->born_ms += g_rand_int_range (world->random, 0, 2) == 0 ? 1 : -7;
  world->unreachable_until = world->now;
  if (chance (world, 0.5))
    world->unreachable_until
        += g_rand_int_range (world->random, 1, 3000) * GP_MSEC;
  if (chance (world, 0.3))
    {
      lose_answers (world);
      return;
    }
  for (guint i = 0; i < world->pending->len; i++)
    {
      pending_call_t *pending_call
          = &g_array_index (world->pending, pending_call_t, i);

      if (!pending_call->loss_known)
        answer (world, pending_call, GP_AGENT_DISCONNECTED);
      pending_call->lost = true;
      pending_call->loss_known = true;
    }
}

/* Adds to the numbers of runs that completed and of runs that the next
   incarnation carried out.  */
static void
play (guint32 seed, uint32_t *done, uint32_t *late_starts)
{
  world_t world
      = { .random = g_rand_new_with_seed (seed),
          .pending = g_array_new (FALSE, FALSE, sizeof (pending_call_t)),
          .born_ms = 1000,
          .incarnation = 1,
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
      deliver_calls (&world);
      check_world (&world);
      give_up_absent (&world);
      if (chance (&world, 0.2))
        act_as_leader (&world);
      if (world.now >= world.unreachable_until && chance (&world, 0.1))
        send_heartbeat (&world);
      if (chance (&world, 0.001))
        restart_guard (&world);
      if (chance (&world, 0.003))
        gp_agent_clear_sync (&world.agent);
      if (world.now >= world.unreachable_until && chance (&world, 0.01))
        restart_executor (&world);
      make_calls (&world);
    }
  gp_agent_finish (&world.agent);
  fake_executor_finish (&world.fake);
  g_array_free (world.pending, TRUE);
  g_rand_free (world.random);
  *done += world.done_runs;
  *late_starts += world.late_starts;
}

static void
test_random (void)
{
  uint32_t done = 0;
  uint32_t late_starts = 0;

  for (guint32 seed = 1; seed <= 4000; seed++)
    play (seed, &done, &late_starts);
  CU_ASSERT (done > 400);
  CU_ASSERT (late_starts > 0);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "random", test_random }, CU_TEST_INFO_NULL };

  return runner_main ("lives, random", tests);
}

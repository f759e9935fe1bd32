/* Starts that are to be alone, so that an end of the executor tells.

   The leader gives a suspect an executor on which nothing else is to begin
   with it, or until it has settled; see jobs/suspicion.h.  When that was
   decided, when it was written down and when it was ordered tell little of
   when a run begins: a guard waits for leases, for lists and for
   specifications, its orders go unanswered and are carried out seconds later,
   and the next guard makes those again that the one before was killed over.
   What begins when is known here, so it is here that a start is kept alone.

   Invariants, while such a run R has not settled:
   - No start of another job is made.
   - R is started only when a list of this executor was taken in, and the runs
     of other jobs have all begun for so long that they are no suspects.
   - A start that was not answered may be carried out at any time, until the
     executor has seen a higher fence: R is started only when all those of
     others are void by that, and again only when its own are.  The fence is
     raised for it; the next list tells whether they were carried out first.

   An R that can't be begun goes back to the leader: others wait for it.  */

#include "jobs/agent_private.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"
#include "jobs/suspicion.h"

static gp_counter_t held_count
    = GP_COUNTER ("guard_starts_held_total",
                  "Starts that waited for those of others: one was to be "
                  "alone");

static const char *const hold_names[] = { "",
                                          "another one is to be alone",
                                          "it is not its turn to be alone",
                                          "no list tells what has begun",
                                          "others have just begun",
                                          "an order that was not answered" };

void
gp_agent_register_alone (void)
{
  gp_counter_register (&held_count);
}

static bool
is_same_job (const gp_agent_run_t *run, const gp_agent_run_t *other)
{
  return strncmp (run->name, other->name, GP_JOB_ID_SIZE) == 0;
}

/* Is RUN to be alone, and may it begin yet or has it not settled?  */
static bool
keeps_alone (const gp_agent_run_t *run)
{
  if (run->start == NULL || !run->start->alone)
    return false;
  switch (run->phase)
    {
    case GP_RUN_STARTING:
      return true;
    case GP_RUN_PRESENT:
      return !gp_agent_has_settled (run);
    case GP_RUN_STOPPING:
      return run->doubtful;
    case GP_RUN_STOPPED:
    case GP_RUN_ABSENT:
      return false;
    }
  return false;
}

/* Does RUN come before OTHER?  One that may have begun does.  */
static bool
goes_first (const gp_agent_run_t *run, const gp_agent_run_t *other)
{
  bool begun = run->tried_at != 0 || run->phase != GP_RUN_STARTING;
  bool other_begun = other->tried_at != 0 || other->phase != GP_RUN_STARTING;

  if (begun != other_begun)
    return begun;
  return strcmp (run->name, other->name) < 0;
}

const gp_agent_run_t *
gp_agent_alone_run (const gp_agent_t *agent)
{
  const gp_agent_run_t *first = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (keeps_alone (value) && (first == NULL || goes_first (value, first)))
      first = value;
  return first;
}

bool
gp_agent_keeps_alone (const gp_agent_t *agent)
{
  return gp_agent_alone_run (agent) != NULL;
}

/* Let the next calls make the unanswered start of RUN void.  */
static void
make_void (gp_agent_t *agent, const gp_agent_run_t *run)
{
  if (run->start_fence >= agent->fence)
    gp_agent_raise_fence (agent);
}

/* Was a start of RUN made that may be carried out yet?  */
static bool
may_begin_yet (const gp_agent_run_t *run)
{
  if (run->began_at != 0)
    return false;
  switch (run->phase)
    {
    case GP_RUN_STARTING:
      return run->doubtful || run->in_flight;
    case GP_RUN_STOPPING:
      return run->doubtful;
    case GP_RUN_PRESENT:
    case GP_RUN_STOPPED:
    case GP_RUN_ABSENT:
      return false;
    }
  return false;
}

/* What of OTHER keeps a run of another job from being alone?  */
static gp_agent_hold_t
hold_by (gp_agent_t *agent, const gp_agent_run_t *other, gp_time_t now,
         gp_time_t *again_at)
{
  gp_time_t begun_at = other->began_at + GP_SUSPICION_START_WINDOW;

  if (may_begin_yet (other))
    {
      if (other->doubtful)
        make_void (agent, other);
      return GP_HOLD_DOUBT;
    }
  if (other->began_at == 0 || now >= begun_at)
    return GP_HOLD_NOT;
  *again_at = MIN (*again_at, begun_at);
  return GP_HOLD_BEGUN;
}

/* What keeps RUN, whose turn it is, from being alone?  */
static gp_agent_hold_t
hold_of_alone (gp_agent_t *agent, const gp_agent_run_t *run, gp_time_t now,
               gp_time_t *again_at)
{
  gp_agent_hold_t hold = GP_HOLD_NOT;
  GHashTableIter iter;
  gpointer value;

  if (agent->fence_listed == 0)
    return GP_HOLD_LIST;
  if (run->doubtful)
    {
      make_void (agent, run);
      return GP_HOLD_DOUBT;
    }
  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!is_same_job (run, value))
      hold = MAX (hold, hold_by (agent, value, now, again_at));
  return hold;
}

gp_agent_hold_t
gp_agent_hold_of (gp_agent_t *agent, const gp_agent_run_t *run,
                  const gp_agent_run_t *alone, gp_time_t now,
                  gp_time_t *again_at)
{
  if (alone == NULL)
    return GP_HOLD_NOT;
  if (!is_same_job (run, alone))
    return run->start->alone ? GP_HOLD_TURN : GP_HOLD_BESIDE;
  return run->start->alone ? hold_of_alone (agent, run, now, again_at)
                           : GP_HOLD_NOT;
}

void
gp_agent_note_hold (gp_agent_run_t *run, gp_agent_hold_t hold, gp_time_t now)
{
  if (hold != GP_HOLD_NOT)
    {
      if (run->held_since == 0)
        {
          run->held_since = now;
          run->hold = hold;
        }
      return;
    }
  if (run->held_since == 0)
    return;
  gp_counter_add (&held_count, 1);
  gp_log (GP_LOG_INFO, "start.waited", GP_LOG_S ("task", run->name),
          GP_LOG_I ("run", run->run), GP_LOG_S ("why", hold_names[run->hold]),
          GP_LOG_I ("for_ms", (now - run->held_since) / GP_MSEC));
  run->held_since = 0;
}

void
gp_agent_fence_listed (gp_agent_t *agent, int64_t fence)
{
  agent->fence_listed = MAX (agent->fence_listed, fence);
}

void
gp_agent_void_starts (gp_agent_t *agent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_agent_run_t *run = value;

      if (!run->doubtful || run->listed || run->in_flight
          || run->start_fence >= agent->fence_listed)
        continue;
      run->doubtful = false;
      if (run->began_at == 0)
        run->sent_at = 0;
    }
}

void
gp_agent_give_back_alone (gp_agent_t *agent, gp_time_t now)
{
  const gp_agent_run_t *run = gp_agent_alone_run (agent);

  if (run == NULL || run->phase != GP_RUN_STARTING || run->in_flight
      || run->tried_at == 0
      || now - run->tried_at < GP_SUSPICION_DEDICATE_TIME)
    return;
  gp_log (GP_LOG_INFO, "run.given_back", GP_LOG_S ("task", run->name),
          GP_LOG_I ("run", run->run),
          GP_LOG_S ("why", "it is to be alone and can't be begun"));
  gp_agent_want_stop (agent, run->name, run->run);
}

/* Isolated starts: a run that may crash its executor is started on its own, so
   that a failure of the executor can be attributed to it.

   The leader gives a suspect an executor on which no other run begins at the
   same time or before the suspect has settled; see jobs/suspicion.h.  The
   leader cannot enforce that by itself: the times of its decision, its record
   and its order say little about when a run begins.  A guard waits for leases,
   lists and specifications; its calls may go unanswered and be carried out
   seconds later; and if it is killed meanwhile, the next guard process repeats
   them.  Only the guard knows which runs have begun, so the isolation is
   enforced here.

   Invariants, while an isolated run R has not settled:
   - No start of another job is made.
   - R is started only after a list of this executor was received, and when the
     runs of other jobs have all been running for so long that they are no
     suspects.
   - An unanswered start may be carried out at any time until the executor has
     seen a higher fence.  So R is started only when all such starts of other
     jobs are invalidated by a higher fence, and started again only when its
     own are.  The fence is raised for this purpose; the next list shows
     whether the starts were carried out before.

   If R cannot be started, it is returned to the leader, as other runs wait for
   it.  */

#include "jobs/agent_private.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"
#include "jobs/suspicion.h"

static gp_counter_t held_count
    = GP_COUNTER ("guard_starts_held_total",
                  "Starts that waited for those of others: one was to be "
                  "alone");

static const char *const hold_names[]
    = { "",
        "an isolated run of another job has not settled",
        "another isolated run goes first",
        "no list has shown what runs",
        "runs of other jobs have just begun",
        "an unanswered start may still be carried out" };

void
gp_agent_register_counters (void)
{
  gp_counter_register (&held_count);
  gp_agent_register_stop_counters ();
  gp_agent_register_list_counters ();
}

static bool
is_same_job (const gp_agent_run_t *run, const gp_agent_run_t *other)
{
  return strncmp (run->name, other->name, GP_JOB_ID_SIZE) == 0;
}

/* Returns whether RUN is isolated and has not begun or not settled yet.  */
static bool
is_unsettled_isolated (const gp_agent_run_t *run)
{
  if (run->start == NULL || !run->start->alone)
    return false;
  switch (run->phase)
    {
    case GP_RUN_STARTING:
      return true;
    case GP_RUN_STARTED:
      return !gp_agent_has_settled (run);
    case GP_RUN_STOPPING:
      return run->start_uncertain;
    case GP_RUN_STOPPED:
    case GP_RUN_ABSENT:
      return false;
    }
  return false;
}

/* Returns whether RUN goes before OTHER.  A run that may have begun goes
   first.  */
static bool
goes_first (const gp_agent_run_t *run, const gp_agent_run_t *other)
{
  bool begun = run->first_start_at != 0 || run->phase != GP_RUN_STARTING;
  bool other_begun
      = other->first_start_at != 0 || other->phase != GP_RUN_STARTING;

  if (begun != other_begun)
    return begun;
  return strcmp (run->name, other->name) < 0;
}

const gp_agent_run_t *
gp_agent_isolated_run (const gp_agent_t *agent)
{
  const gp_agent_run_t *first = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_unsettled_isolated (value)
        && (first == NULL || goes_first (value, first)))
      first = value;
  return first;
}

bool
gp_agent_has_isolated_run (const gp_agent_t *agent)
{
  return gp_agent_isolated_run (agent) != NULL;
}

/* Invalidates the unanswered start of RUN with the next calls.  */
static void
invalidate_start (gp_agent_t *agent, const gp_agent_run_t *run)
{
  if (run->start_fence >= agent->fence)
    gp_agent_raise_fence (agent);
}

/* Returns whether a start of RUN may still be carried out.  */
static bool
may_still_begin (const gp_agent_run_t *run)
{
  if (run->began_at != 0)
    return false;
  switch (run->phase)
    {
    case GP_RUN_STARTING:
      return run->start_uncertain || run->in_flight;
    case GP_RUN_STOPPING:
      return run->start_uncertain;
    case GP_RUN_STARTED:
    case GP_RUN_STOPPED:
    case GP_RUN_ABSENT:
      return false;
    }
  return false;
}

/* Returns how OTHER prevents the isolated start of a run of another job.  */
static gp_agent_hold_t
hold_due_to (gp_agent_t *agent, const gp_agent_run_t *other, gp_time_t now,
             gp_time_t *again_at)
{
  gp_time_t begun_at = other->began_at + GP_SUSPICION_START_WINDOW;

  if (may_still_begin (other))
    {
      if (other->start_uncertain)
        invalidate_start (agent, other);
      return GP_HOLD_UNANSWERED_START;
    }
  if (other->began_at == 0 || now >= begun_at)
    return GP_HOLD_NONE;
  *again_at = MIN (*again_at, begun_at);
  return GP_HOLD_RECENT_STARTS;
}

/* Returns what prevents the isolated start of RUN, which goes first.  */
static gp_agent_hold_t
hold_of_isolated (gp_agent_t *agent, const gp_agent_run_t *run, gp_time_t now,
                  gp_time_t *again_at)
{
  gp_agent_hold_t hold = GP_HOLD_NONE;
  GHashTableIter iter;
  gpointer value;

  if (agent->fence_listed == 0)
    return GP_HOLD_NO_LIST;
  if (run->start_uncertain)
    {
      invalidate_start (agent, run);
      return GP_HOLD_UNANSWERED_START;
    }
  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!is_same_job (run, value))
      hold = MAX (hold, hold_due_to (agent, value, now, again_at));
  return hold;
}

gp_agent_hold_t
gp_agent_find_hold (gp_agent_t *agent, const gp_agent_run_t *run,
                    const gp_agent_run_t *isolated, gp_time_t now,
                    gp_time_t *again_at)
{
  if (isolated == NULL)
    return GP_HOLD_NONE;
  if (!is_same_job (run, isolated))
    return run->start->alone ? GP_HOLD_QUEUED : GP_HOLD_ISOLATED_RUN;
  return run->start->alone ? hold_of_isolated (agent, run, now, again_at)
                           : GP_HOLD_NONE;
}

void
gp_agent_note_hold (gp_agent_run_t *run, gp_agent_hold_t hold, gp_time_t now)
{
  if (hold != GP_HOLD_NONE)
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
gp_agent_invalidate_starts (gp_agent_t *agent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_agent_run_t *run = value;

      if (!run->start_uncertain || run->listed || run->in_flight
          || run->start_fence >= agent->fence_listed)
        continue;
      run->start_uncertain = false;
      if (run->began_at == 0)
        run->sent_at = 0;
    }
}

void
gp_agent_return_isolated (gp_agent_t *agent, gp_time_t now)
{
  const gp_agent_run_t *run = gp_agent_isolated_run (agent);

  if (run == NULL || run->phase != GP_RUN_STARTING || run->in_flight
      || run->first_start_at == 0
      || now - run->first_start_at < GP_SUSPICION_DEDICATE_TIME)
    return;
  gp_log (GP_LOG_INFO, "run.given_back", GP_LOG_S ("task", run->name),
          GP_LOG_I ("run", run->run),
          GP_LOG_S ("why", "its isolated start goes unanswered"));
  gp_agent_want_stop (agent, run->name, run->run);
}

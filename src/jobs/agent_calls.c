/* Guard: the calls to the executor and the handling of their answers.  */

#include "jobs/agent_private.h"

#include <string.h>

#include "base/log.h"

/* How long after its failure an unanswered call may still be carried out.  The
   longest delay on the known sites is 12 s.  */
#define MAX_CALL_DELAY (13 * GP_SEC)
#define PACE_REPEAT_TIME (GP_SEC)
/* Lists that are requested this long after a stop was taken do not show the
   run.  A stop that takes longer is only sent once more.  */
#define STOP_TIME (GP_SEC)

static const char *const call_names[] = { "none", "start", "stop", "pace" };
static const char *const result_names[]
    = { "taken",   "fenced",   "too old",   "too late", "no room",
        "refused", "replaced", "no answer", "cut",      "connection refused" };

static bool
wants_pace (gp_agent_t *agent, const gp_agent_run_t *run, gp_time_t now)
{
  return run->phase == GP_RUN_STARTED && run->start != NULL
         && run->start->fills
         && (run->pace.percent != gp_agent_wanted_pace (agent, run)
             || now >= run->pace.repeat_at);
}

static bool
has_spec (gp_agent_t *agent, const gp_agent_run_t *run, gp_time_t now)
{
  return run->start != NULL
         && gp_spec_store_find_by_task (&agent->specs, run->name, now) != NULL;
}

/* Returns whether RUN, whose start was refused, is still wanted and may have
   been started by an earlier guard process.  The next list shows it.  */
static bool
may_be_at_work (const gp_agent_t *agent, const gp_agent_run_t *run)
{
  if (!run->start_unchecked || run->stop_ordered)
    return false;
  return agent->fence_listed == 0
         || gp_agent_is_carried (agent, run->name, run->run);
}

static gp_agent_call_kind_t
call_for (gp_agent_t *agent, const gp_agent_run_t *run, gp_time_t now)
{
  switch (run->phase)
    {
    case GP_RUN_STARTING:
      return has_spec (agent, run, now) ? GP_AGENT_CALL_START
                                        : GP_AGENT_CALL_NONE;
    case GP_RUN_STOPPING:
      return may_be_at_work (agent, run) ? GP_AGENT_CALL_NONE
                                         : GP_AGENT_CALL_STOP;
    case GP_RUN_STARTED:
      return wants_pace (agent, run, now) ? GP_AGENT_CALL_PACE
                                          : GP_AGENT_CALL_NONE;
    case GP_RUN_STOPPED:
    case GP_RUN_ABSENT:
      return GP_AGENT_CALL_NONE;
    }
  return GP_AGENT_CALL_NONE;
}

/* Stops come first, as they release resources, then changes of pace, which
   slow runs down.  */
static int
call_priority (gp_agent_call_kind_t kind)
{
  switch (kind)
    {
    case GP_AGENT_CALL_STOP:
      return 3;
    case GP_AGENT_CALL_PACE:
      return 2;
    case GP_AGENT_CALL_START:
      return 1;
    case GP_AGENT_CALL_NONE:
      return 0;
    }
  return 0;
}

/* Only while synced: a start that arrived before the leader's latest sync may
   be outdated.  After a pause of this process it can still be read from a
   connection that the leader has given up.  */
static bool
may_send_starts (const gp_agent_t *agent, gp_time_t now)
{
  return agent->is_synced && now < agent->starts_until
         && gp_agent_lease_is_open (agent, now)
         && gp_start_gate_is_open (&agent->gate, now);
}

/* Returns whether the start of RUN must be held back because of other runs,
   and records the reason.  */
static bool
is_held (gp_agent_t *agent, gp_agent_run_t *run,
         const gp_agent_run_t *isolated, gp_time_t now, gp_time_t *again_at)
{
  gp_agent_hold_t hold
      = gp_agent_find_hold (agent, run, isolated, now, again_at);

  if (hold != GP_HOLD_NONE)
    gp_agent_note_hold (run, hold, now);
  return hold != GP_HOLD_NONE;
}

/* Records that a start of RUN is sent.  */
static void
note_start (const gp_agent_t *agent, gp_agent_run_t *run, gp_time_t now)
{
  gp_agent_note_hold (run, GP_HOLD_NONE, now);
  if (run->first_start_at == 0)
    run->first_start_at = now;
  if (run->sent_at == 0)
    run->sent_at = now;
  run->start_fence = agent->fence;
}

gp_agent_call_t
gp_agent_next_call (gp_agent_t *agent, gp_time_t now, gp_time_t *again_at)
{
  gp_agent_call_t best = { .kind = GP_AGENT_CALL_NONE };
  const gp_agent_run_t *isolated;
  GHashTableIter iter;
  gpointer value;

  *again_at = GP_TIME_NEVER;
  /* While another incarnation may answer, nothing is sent before a list shows
     which one it is.  */
  if (agent->executor == NULL || agent->ended || agent->clock_ms < 0
      || gp_agent_incarnation_is_uncertain (agent, now))
    return best;
  gp_agent_extend_lease (agent, now);
  if (agent->plan_is_stale)
    gp_agent_plan (agent, now);
  isolated = gp_agent_isolated_run (agent);
  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_agent_run_t *run = value;
      gp_agent_call_kind_t kind = call_for (agent, run, now);

      if (kind == GP_AGENT_CALL_NONE || run->in_flight)
        continue;
      if (kind == GP_AGENT_CALL_START
          && (!may_send_starts (agent, now)
              || is_held (agent, run, isolated, now, again_at)))
        continue;
      if (run->retry_at > now)
        *again_at = MIN (*again_at, run->retry_at);
      else if (call_priority (kind) > call_priority (best.kind))
        best = (gp_agent_call_t){ .kind = kind, .run = run };
    }
  if (best.run == NULL)
    return best;
  best.run->in_flight = true;
  best.lease_ms = gp_agent_lease_on_clock (agent);
  if (best.kind == GP_AGENT_CALL_START)
    {
      best.spec
          = gp_spec_store_find_by_task (&agent->specs, best.run->name, now);
      note_start (agent, best.run, now);
    }
  if (best.kind == GP_AGENT_CALL_PACE)
    best.percent = gp_agent_wanted_pace (agent, best.run);
  return best;
}

/* Adds the job of TASK to JOBS, unless it is in there.  */
static void
add_job_of (GPtrArray *jobs, const char *task)
{
  for (guint i = 0; i < jobs->len; i++)
    if (strncmp (g_ptr_array_index (jobs, i), task, GP_JOB_ID_SIZE) == 0)
      return;
  g_ptr_array_add (jobs, g_strndup (task, GP_JOB_ID_SIZE));
}

void
gp_agent_missing_specs (const gp_agent_t *agent, GPtrArray *jobs)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_agent_run_t *run = value;

      if (run->phase == GP_RUN_STARTING && run->start != NULL
          && gp_spec_store_is_missing (&agent->specs, run->name))
        add_job_of (jobs, run->name);
    }
}

bool
gp_agent_is_unanswered (gp_agent_result_t result)
{
  return result == GP_AGENT_UNANSWERED || result == GP_AGENT_DISCONNECTED
         || result == GP_AGENT_CONNECTION_REFUSED;
}

/* Returns whether RUN, a start of which had RESULT, cannot have begun so far.
   A refusal by an unhealthy executor does not show what an earlier guard
   process has started.  */
static bool
shows_not_begun (const gp_agent_run_t *run, gp_agent_result_t result)
{
  if (run->start_uncertain)
    return false;
  return result == GP_AGENT_NO_RESOURCES
         || (result == GP_AGENT_REFUSED && !run->may_predate);
}

static void
start_answered (gp_agent_t *agent, gp_agent_run_t *run,
                gp_agent_result_t result, gp_time_t now)
{
  if (run->phase != GP_RUN_STARTING)
    {
      run->start_uncertain
          = run->start_uncertain || gp_agent_is_unanswered (result);
      if (result == GP_AGENT_ACCEPTED && run->began_at == 0)
        run->began_at = now;
      return;
    }
  switch (result)
    {
    case GP_AGENT_ACCEPTED:
      run->phase = GP_RUN_STARTED;
      run->confirmed_at = now;
      /* The answer to a repeated start is no beginning.  */
      if (run->began_at == 0)
        run->began_at = now;
      break;
    case GP_AGENT_UNANSWERED:
    case GP_AGENT_DISCONNECTED:
    case GP_AGENT_CONNECTION_REFUSED:
      run->start_uncertain = true;
      break;
    case GP_AGENT_TOO_OLD:
    case GP_AGENT_NO_RESOURCES:
    case GP_AGENT_REFUSED:
      run->start_refused = shows_not_begun (run, result);
      if (run->start_refused)
        run->sent_at = 0;
      run->start_unchecked = result == GP_AGENT_REFUSED;
      run->phase = GP_RUN_STOPPING;
      run->retry_at = now;
      break;
    case GP_AGENT_FENCED:
    case GP_AGENT_TOO_LATE:
    case GP_AGENT_REPLACED:
      if (!run->start_uncertain)
        run->sent_at = 0;
      break;
    }
}

/* Returns whether a stop of RUN that had RESULT counts as confirmed until a
   list shows the run.  A refused one has done nothing.  */
static bool
confirms_stop (const gp_agent_run_t *run, gp_agent_result_t result)
{
  if (result == GP_AGENT_REFUSED)
    return !run->start_uncertain && run->began_at == 0;
  return result == GP_AGENT_ACCEPTED || result == GP_AGENT_TOO_OLD;
}

static void
stop_answered (gp_agent_t *agent, gp_agent_run_t *run,
               gp_agent_result_t result, gp_time_t now)
{
  if (run->phase == GP_RUN_STOPPING && confirms_stop (run, result))
    {
      run->phase = GP_RUN_STOPPED;
      run->confirmed_at = now;
      run->stop_refused = result == GP_AGENT_REFUSED;
      run->gone_by = run->stop_refused ? INT64_MIN : now + STOP_TIME;
    }
}

/* A pace call that went unanswered may take effect after newer ones, so the
   wanted pace is repeated until that can no longer happen.  */
static void
pace_answered (gp_agent_run_t *run, gp_agent_result_t result, uint32_t percent,
               gp_time_t now)
{
  if (result == GP_AGENT_ACCEPTED)
    {
      run->pace.previous_percent = run->pace.percent;
      run->pace.percent = percent;
      run->pace.confirmed_at = now;
    }
  if (gp_agent_is_unanswered (result))
    run->pace.certain_at = now + MAX_CALL_DELAY;
  run->pace.repeat_at
      = now < run->pace.certain_at ? now + PACE_REPEAT_TIME : GP_TIME_NEVER;
}

void
gp_agent_answered (gp_agent_t *agent, gp_agent_call_kind_t kind,
                   const char *name, uint32_t number, uint32_t percent,
                   gp_agent_result_t result, int64_t clock_ms, gp_time_t now)
{
  gp_agent_run_t *run = gp_agent_find_run (agent, name, number);

  gp_agent_note_failed (agent, result, now);
  /* After the executor has closed a connection, only a list shows which
     incarnation answers.  */
  if (result != GP_AGENT_REPLACED && !agent->is_disconnected)
    gp_agent_update_clock (agent, clock_ms, now);
  if (kind != GP_AGENT_CALL_PACE || result != GP_AGENT_ACCEPTED)
    gp_log (GP_LOG_INFO, "order.answered", GP_LOG_S ("task", name),
            GP_LOG_I ("run", number), GP_LOG_S ("order", call_names[kind]),
            GP_LOG_S ("result", result_names[result]),
            GP_LOG_I ("fence", agent->fence),
            GP_LOG_I ("lease_ms_ago", (now - agent->lease) / GP_MSEC));
  if (run == NULL)
    return;
  run->in_flight = false;
  run->retry_at = now + agent->retry_time;
  switch (kind)
    {
    case GP_AGENT_CALL_START:
      start_answered (agent, run, result, now);
      break;
    case GP_AGENT_CALL_STOP:
      stop_answered (agent, run, result, now);
      break;
    case GP_AGENT_CALL_PACE:
      pace_answered (run, result, percent, now);
      break;
    case GP_AGENT_CALL_NONE:
      break;
    }
}

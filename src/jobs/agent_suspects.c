/* Guard: which runs may have caused the failure of the executor; see
   jobs/suspicion.h.  */

#include "jobs/agent_private.h"

#include "base/log.h"
#include "jobs/suspicion.h"

/* How long calls must go unanswered before the executor counts as down: single
   calls get lost.  */
#define DOWN_TIME (300 * GP_MSEC)

/* An executor that is up always answers a list within this time.  If a
   connection closes later than that after the last answer, the executor had
   failed before.  */
#define ANSWER_TIME (300 * GP_MSEC)

static bool
is_gang (const gp_agent_run_t *run)
{
  return run->start != NULL && run->start->gang;
}

/* Returns whether RUN had been running for TIME when it was last listed.  */
static bool
was_listed_for (const gp_agent_run_t *run, gp_time_t time)
{
  return run->listed_since != 0 && run->listed_at - run->began_at >= time;
}

bool
gp_agent_has_settled (const gp_agent_run_t *run)
{
  return was_listed_for (run, gp_suspicion_settle_time (is_gang (run)));
}

/* Returns whether it is unknown if the start of RUN has reached the
   executor.  */
static bool
start_is_unconfirmed (const gp_agent_run_t *run)
{
  return run->listed_since == 0 && run->began_at == 0;
}

/* Returns the earliest moment at which RUN may have begun, 0: not known.  */
static gp_time_t
earliest_beginning (const gp_agent_run_t *run)
{
  if (run->may_predate || run->sent_at == 0)
    return 0;
  return start_is_unconfirmed (run) ? run->sent_at
                                    : MAX (run->sent_at, run->not_begun_at);
}

/* Returns whether RUN, if it has begun, did so at most GP_SUSPICION_JUST_TIME
   before the executor ended.  The answer to a start that crashes the executor
   may be lost with it.  */
static bool
had_just_begun (const gp_agent_t *agent, const gp_agent_run_t *run)
{
  gp_time_t earliest = earliest_beginning (run);

  return agent->earliest_end_at != 0 && earliest != 0
         && earliest <= agent->down_since
         && agent->earliest_end_at - earliest <= GP_SUSPICION_JUST_TIME;
}

/* Returns whether a run that began at LATEST or before may have begun recently
   before the executor failed.  */
static bool
may_be_recent (const gp_agent_t *agent, gp_time_t latest)
{
  if (agent->earliest_end_at != 0)
    return agent->earliest_end_at - latest <= GP_SUSPICION_JUST_TIME;
  return agent->answered_at - latest < GP_SUSPICION_FRESH_TIME;
}

/* Returns for how many milliseconds a run that began at BEGAN_AT had been
   running when the executor was last known to be up, 0: not known.  */
static uint32_t
age_ms (const gp_agent_t *agent, gp_time_t began_at)
{
  gp_time_t up = MAX (agent->answered_at, agent->earliest_end_at);

  return began_at != 0 && up > began_at ? (uint32_t)((up - began_at) / GP_MSEC)
                                        : 0;
}

static bool
has_recent_start (const gp_agent_t *agent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (had_just_begun (agent, value))
      return true;
  return false;
}

/* Returns whether RUN had begun recently.  If some runs had only just begun,
   only those count.  A run whose start went unanswered for long may never have
   begun.  If the moment of the executor's end is known, a run that was known
   to have begun some time before did not cause it.  */
static bool
is_fresh (const gp_agent_t *agent, const gp_agent_run_t *run)
{
  gp_time_t earliest = earliest_beginning (run);

  if (has_recent_start (agent))
    return had_just_begun (agent, run);
  return !start_is_unconfirmed (run) && earliest != 0
         && agent->answered_at - earliest < GP_SUSPICION_FRESH_TIME
         && may_be_recent (agent, run->began_at);
}

/* Returns whether it is unknown if RUN has begun recently: its start was not
   answered, or the latest moment at which it may have begun is recent and the
   earliest is not.  Any of several starts may be the one that was carried out,
   also one that an earlier guard process has sent.  */
static bool
is_uncertain (const gp_agent_t *agent, const gp_agent_run_t *run)
{
  if (start_is_unconfirmed (run))
    return !had_just_begun (agent, run);
  return !is_fresh (agent, run) && may_be_recent (agent, run->began_at);
}

void
gp_agent_describe_suspect (const gp_agent_t *agent, const gp_agent_run_t *run,
                           Gp__Jobs__TaskRun *row)
{
  row->fresh = is_fresh (agent, run);
  row->just = had_just_begun (agent, run);
  row->age_ms = age_ms (agent, run->began_at);
  row->max_age_ms = age_ms (agent, earliest_beginning (run));
  row->unanswered = is_uncertain (agent, run);
  row->timed = agent->earliest_end_at != 0;
  row->alone = run->start != NULL && run->start->alone;
}

bool
gp_agent_carried_is_suspect (const gp_agent_t *agent,
                             const Gp__Jobs__TaskRun *run)
{
  return gp_agent_find_run (agent, run->task, run->run) == NULL
         && may_be_recent (agent, agent->first_listed_at);
}

void
gp_agent_describe_carried (const gp_agent_t *agent, Gp__Jobs__TaskRun *row)
{
  row->age_ms = age_ms (agent, agent->first_listed_at);
  row->unanswered = true;
  row->timed = agent->earliest_end_at != 0;
}

bool
gp_agent_incarnation_is_uncertain (const gp_agent_t *agent, gp_time_t now)
{
  return agent->is_disconnected || gp_agent_is_down (agent, now);
}

bool
gp_agent_is_down (const gp_agent_t *agent, gp_time_t now)
{
  return agent->earliest_end_at != 0
         || (agent->down_since != 0 && now - agent->down_since >= DOWN_TIME);
}

/* Returns whether a start of RUN may have reached the executor before it
   failed.  A start that was sent after a call had failed, with no answer
   since, cannot have.  There are many such starts, as the failure is reported
   to the leader only 3 s later.  */
static bool
may_have_begun (const gp_agent_t *agent, const gp_agent_run_t *run)
{
  if (!start_is_unconfirmed (run))
    return true;
  return run->sent_at != 0
         && (agent->down_since == 0 || run->sent_at <= agent->down_since);
}

bool
gp_agent_is_suspect (const gp_agent_t *agent, const gp_agent_run_t *run)
{
  return may_have_begun (agent, run) && !gp_agent_has_settled (run);
}

bool
gp_agent_is_unconfirmed (const gp_agent_run_t *run)
{
  return run->phase == GP_RUN_STARTING && run->began_at == 0;
}

bool
gp_agent_is_refused (const gp_agent_run_t *run)
{
  return run->start_refused && run->began_at == 0;
}

bool
gp_agent_report_settled (gp_agent_run_t *run)
{
  bool watched = run->start != NULL && run->start->watched;

  if (!watched || run->settled_reported || !gp_agent_has_settled (run))
    return false;
  run->settled_reported = true;
  return true;
}

/* A call failed at NOW.  If it is the first to fail since an answer, the
   executor ended at EARLIEST_END_AT at the earliest; 0: not known.  */
static void
record_failure (gp_agent_t *agent, gp_time_t earliest_end_at, gp_time_t now)
{
  if (agent->down_since != 0)
    return;
  agent->down_since = now;
  agent->earliest_end_at = earliest_end_at;
}

/* Raises the fence: the next incarnation must not carry out orders that were
   sent before this process knows of it.  */
void
gp_agent_note_disconnect (gp_agent_t *agent)
{
  if (agent->is_disconnected)
    return;
  agent->is_disconnected = true;
  gp_agent_raise_fence (agent);
}

void
gp_agent_note_failed (gp_agent_t *agent, gp_agent_result_t result,
                      gp_time_t now)
{
  switch (result)
    {
    case GP_AGENT_DISCONNECTED:
      gp_agent_note_disconnect (agent);
      record_failure (
          agent,
          now - agent->answered_at <= ANSWER_TIME ? now : agent->answered_at,
          now);
      break;
    case GP_AGENT_CONNECTION_REFUSED:
      gp_agent_note_disconnect (agent);
      record_failure (agent, agent->answered_at, now);
      break;
    case GP_AGENT_UNANSWERED:
    case GP_AGENT_REPLACED:
      record_failure (agent, 0, now);
      break;
    case GP_AGENT_ACCEPTED:
    case GP_AGENT_FENCED:
    case GP_AGENT_TOO_OLD:
    case GP_AGENT_TOO_LATE:
    case GP_AGENT_NO_RESOURCES:
    case GP_AGENT_REFUSED:
      break;
    }
}

static Gp__Jobs__TaskRun *
task_run_new (const char *task, uint32_t number)
{
  Gp__Jobs__TaskRun *row = g_new (Gp__Jobs__TaskRun, 1);

  gp__jobs__task_run__init (row);
  row->task = g_strdup (task);
  row->run = number;
  return row;
}

static void
add_suspects (const gp_agent_t *agent, Gp__Jobs__Predecessor *predecessor)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_agent_run_t *run = value;
      Gp__Jobs__TaskRun *row;

      if (!gp_agent_is_suspect (agent, run))
        continue;
      row = task_run_new (run->name, run->run);
      gp_agent_describe_suspect (agent, run, row);
      predecessor->suspects[predecessor->n_suspects++] = row;
    }
}

static void
add_carried_suspects (const gp_agent_t *agent,
                      Gp__Jobs__Predecessor *predecessor)
{
  for (guint i = 0; i < agent->carried->len; i++)
    {
      const Gp__Jobs__TaskRun *run = g_ptr_array_index (agent->carried, i);
      Gp__Jobs__TaskRun *row;

      if (!gp_agent_carried_is_suspect (agent, run))
        continue;
      row = task_run_new (run->task, run->run);
      gp_agent_describe_carried (agent, row);
      predecessor->suspects[predecessor->n_suspects++] = row;
    }
}

static Gp__Jobs__Predecessor *
predecessor_new (const gp_agent_t *agent)
{
  Gp__Jobs__Predecessor *predecessor = g_new (Gp__Jobs__Predecessor, 1);

  gp__jobs__predecessor__init (predecessor);
  predecessor->executor = g_strdup (agent->executor->id);
  predecessor->born_ms = agent->executor->born_ms;
  predecessor->suspects
      = g_new (Gp__Jobs__TaskRun *,
               g_hash_table_size (agent->runs) + agent->carried->len);
  add_suspects (agent, predecessor);
  add_carried_suspects (agent, predecessor);
  return predecessor;
}

void
gp_agent_drop_predecessor (gp_agent_t *agent)
{
  if (agent->predecessor != NULL)
    gp__jobs__predecessor__free_unpacked (agent->predecessor, NULL);
  agent->predecessor = NULL;
}

/* An executor without runs does not replace an earlier predecessor, whose runs
   the leader may still wait for.  If there is none, its list tells that what
   the leader believes to be there had not just begun: an earlier guard process
   may have started it.  */
void
gp_agent_keep_predecessor (gp_agent_t *agent, gp_time_t now)
{
  guint runs = g_hash_table_size (agent->runs);
  bool met = agent->first_listed_at != 0 && agent->predecessor == NULL;

  if (agent->executor == NULL)
    return;
  if (runs > 0 || met)
    {
      gp_agent_drop_predecessor (agent);
      agent->predecessor = predecessor_new (agent);
    }
  gp_log (GP_LOG_INFO, "executor.replaced",
          GP_LOG_S ("executor", agent->executor->id), GP_LOG_I ("runs", runs),
          GP_LOG_I ("suspects", runs > 0 || met
                                    ? (int64_t)agent->predecessor->n_suspects
                                    : 0),
          GP_LOG_I ("heard_ms_ago", (now - agent->answered_at) / GP_MSEC),
          GP_LOG_I ("known_ms", (now - agent->known_since) / GP_MSEC));
}

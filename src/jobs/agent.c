/* Guard: the executor, its lease and fence.  */

#include "jobs/agent_private.h"

#include <math.h>
#include <string.h>

#include "base/log.h"
#include "jobs/grants.h"

/* Delay before a call is retried that had no answer or a temporary
   refusal.  */
#define RETRY_TIME (100 * GP_MSEC)
/* Leases are not extended after this time without an answer of the executor:
   the longest wait of a list request plus its timeout.  */
#define SILENCE_TIME (1500 * GP_MSEC)
/* Orders in transit when an executor announces that it leaves still arrive
   within this time; a leader that takes over later may order starts again that
   were never made.  */
#define DRAIN_START_TIME (GP_SEC)
/* The clock readings of answers that arrive out of order differ by less than
   this, in milliseconds.  */
#define CLOCK_DISORDER_MS 5000
/* Steps of the fence, in milliseconds: a step of the time of day back by
   seconds is made up for in a few attempts.  The last step, a month, exceeds
   any step of the clock.  */
#define FENCE_STEP_MS 1000
#define FENCE_STEP_MAX_MS (INT64_C (1) << 31)

gp_time_t
gp_agent_lease_end (gp_time_t sent_at)
{
  return sent_at
         + GP_AGENT_LEASE_TIME * 1000 / (1000 - GP_AGENT_CLOCK_SLOW_PERMILLE)
         + GP_AGENT_LEASE_MARGIN;
}

/* Messages that the agent owns are allocated with malloc, as protobuf-c does
   when it unpacks without an allocator.  */

static void
free_run (gpointer data)
{
  gp_agent_run_t *run = data;

  if (run->start != NULL)
    gp__jobs__start__free_unpacked (run->start, NULL);
  g_free (run);
}

static void
free_start (gpointer data)
{
  gp__jobs__start__free_unpacked (data, NULL);
}

static void
free_task_run (gpointer data)
{
  gp__jobs__task_run__free_unpacked (data, NULL);
}

static void
free_end (gpointer data)
{
  gp__jobs__end__free_unpacked (data, NULL);
}

static void
clear_ended_filling (gpointer data)
{
  g_free (((gp_agent_ended_filling_t *)data)->image);
}

void
gp_agent_init (gp_agent_t *agent, gp_time_t zone_span, gp_time_t now)
{
  memset (agent, 0, sizeof *agent);
  agent->began_at = now;
  agent->first_reported_at = GP_TIME_NEVER;
  agent->runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_run);
  agent->ends = g_ptr_array_new_with_free_func (free_end);
  gp_spec_store_init (&agent->specs);
  gp_start_gate_init (&agent->gate, zone_span);
  agent->granted = INT64_MIN / 2;
  agent->lease = INT64_MIN / 2;
  agent->retry_time = RETRY_TIME;
  gp_pacer_init (&agent->pacer);
  agent->ended_fillings
      = g_array_new (FALSE, FALSE, sizeof (gp_agent_ended_filling_t));
  g_array_set_clear_func (agent->ended_fillings, clear_ended_filling);
  agent->clock_ms = -1;
  agent->carried = g_ptr_array_new_with_free_func (free_task_run);
  agent->sync_starts = g_ptr_array_new_with_free_func (free_start);
  agent->fence = 1;
  agent->fence_step = FENCE_STEP_MS;
}

static void
drop_executor (gp_agent_t *agent)
{
  if (agent->executor != NULL)
    gp__jobs__executor__free_unpacked (agent->executor, NULL);
  agent->executor = NULL;
  agent->is_synced = false;
  agent->synced = 0;
  agent->seen_ends = 0;
  agent->listed_ends = 0;
  g_ptr_array_set_size (agent->carried, 0);
  agent->clock_ms = -1;
  agent->clock_is_behind = false;
  agent->fence_listed = 0;
  agent->first_listed_at = 0;
  agent->stale_ends = 0;
  agent->first_reported_at = GP_TIME_NEVER;
  agent->granted = INT64_MIN / 2;
  agent->lease = INT64_MIN / 2;
  agent->lapsed = false;
  agent->ended = false;
  agent->down_since = 0;
  agent->is_disconnected = false;
  agent->earliest_end_at = 0;
  g_hash_table_remove_all (agent->runs);
  g_array_set_size (agent->ended_fillings, 0);
  g_ptr_array_set_size (agent->ends, 0);
}

void
gp_agent_finish (gp_agent_t *agent)
{
  drop_executor (agent);
  gp_agent_drop_predecessor (agent);
  g_hash_table_destroy (agent->runs);
  gp_spec_store_finish (&agent->specs);
  g_ptr_array_unref (agent->ends);
  g_ptr_array_unref (agent->carried);
  g_ptr_array_unref (agent->sync_starts);
  gp_pacer_finish (&agent->pacer);
  g_array_unref (agent->ended_fillings);
}

/* Logs, once per incarnation, that the executor's clock has gone back.  */
static void
log_clock_behind (gp_agent_t *agent, int64_t clock_ms)
{
  if (agent->clock_is_behind || agent->clock_ms - clock_ms < CLOCK_DISORDER_MS)
    return;
  agent->clock_is_behind = true;
  gp_log (GP_LOG_WARNING, "executor.clock_behind",
          GP_LOG_S ("executor", agent->executor->id),
          GP_LOG_I ("clock_ms", clock_ms),
          GP_LOG_I ("before_ms", agent->clock_ms),
          GP_LOG_I ("fence", agent->fence));
}

void
gp_agent_update_clock (gp_agent_t *agent, int64_t clock_ms, gp_time_t now)
{
  if (clock_ms < 0)
    return;
  log_clock_behind (agent, clock_ms);
  agent->answered_at = now;
  agent->down_since = 0;
  agent->earliest_end_at = 0;
  if (agent->clock_ms >= clock_ms)
    return;
  agent->clock_ms = clock_ms;
  agent->clock_at = now;
}

void
gp_agent_raise_fence_to (gp_agent_t *agent, int64_t fence)
{
  agent->fence = MAX (agent->fence, fence);
}

void
gp_agent_raise_fence (gp_agent_t *agent)
{
  agent->fence++;
}

/* FENCE is lower than the agent's if the call was overtaken by one with a new
   fence; the fence is not raised then.  An unnecessary step would put the
   fence ahead of the time of day, with which the next process begins.  */
void
gp_agent_fence_rejected (gp_agent_t *agent, int64_t fence)
{
  if (fence < agent->fence)
    return;
  agent->fence += agent->fence_step;
  agent->fence_step = MIN (agent->fence_step * 2, FENCE_STEP_MAX_MS);
}

int64_t
gp_agent_query_fence (gp_agent_t *agent)
{
  agent->query_fence = MAX (agent->query_fence, agent->fence) + 1;
  return agent->query_fence;
}

bool
gp_agent_is_incarnation (const gp_agent_t *agent, const char *id,
                         int64_t born_ms)
{
  return agent->executor != NULL && agent->executor->born_ms == born_ms
         && strcmp (agent->executor->id, id) == 0;
}

static bool
has_shrunk (const Gp__Jobs__Executor *before, const Gp__Jobs__Executor *now)
{
  return now->cpu_milli < before->cpu_milli
         || now->memory_mb < before->memory_mb
         || now->accelerators < before->accelerators;
}

/* The leader placed the runs that have not begun on the resources that the
   executor had.  If they were retried for seconds, they would begin where
   these are missing, as the executor does not refuse them.  So they are
   returned to the leader to be placed anew.  */
static void
return_unstarted (gp_agent_t *agent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_agent_run_t *run = value;

      if (run->phase == GP_RUN_STARTING)
        gp_agent_want_stop (agent, run->name, run->run);
    }
}

/* Logs what is lost if EXECUTOR is the next incarnation of the current
   executor.  */
static void
log_restart (const gp_agent_t *agent, const Gp__Jobs__Executor *executor)
{
  const Gp__Jobs__Executor *before = agent->executor;

  if (before == NULL || strcmp (before->id, executor->id) != 0)
    return;
  gp_log (GP_LOG_INFO, "executor.restarted",
          GP_LOG_S ("executor", executor->id),
          GP_LOG_I ("born_ms", executor->born_ms),
          GP_LOG_I ("born_before_ms", before->born_ms),
          GP_LOG_I ("runs", g_hash_table_size (agent->runs)),
          GP_LOG_I ("ends_recorded", agent->seen_ends),
          GP_LOG_I ("ends_void", agent->ends->len),
          GP_LOG_I ("clock_ms", agent->clock_ms));
}

/* Returns until when starts are made at EXECUTOR, which has just sent a
   heartbeat.  An executor that is already leaving when it is found may have
   announced that long ago.  */
static gp_time_t
starts_until (const gp_agent_t *agent, const Gp__Jobs__Executor *executor,
              gp_time_t now)
{
  if (!executor->draining)
    return GP_TIME_NEVER;
  if (!gp_agent_is_incarnation (agent, executor->id, executor->born_ms))
    return now;
  return agent->executor->draining ? agent->starts_until
                                   : now + DRAIN_START_TIME;
}

/* EXECUTOR describes the current incarnation.  The description may have been
   delayed until its sender has ended, so unlike an answer it neither shows
   that the executor is there nor what its clock shows now.  */
static void
update_executor (gp_agent_t *agent, Gp__Jobs__Executor *executor)
{
  if (has_shrunk (agent->executor, executor))
    return_unstarted (agent);
  gp__jobs__executor__free_unpacked (agent->executor, NULL);
  agent->executor = executor;
}

void
gp_agent_set_executor (gp_agent_t *agent, Gp__Jobs__Executor *executor,
                       int64_t clock_ms, gp_time_t now)
{
  agent->starts_until = starts_until (agent, executor, now);
  if (gp_agent_is_incarnation (agent, executor->id, executor->born_ms))
    {
      update_executor (agent, executor);
      return;
    }
  gp_agent_keep_predecessor (agent, now);
  log_restart (agent, executor);
  drop_executor (agent);
  agent->incarnation_number++;
  agent->known_since = now;
  gp_log (GP_LOG_INFO, "executor.known", GP_LOG_S ("executor", executor->id),
          GP_LOG_I ("born_ms", executor->born_ms),
          GP_LOG_I ("clock_ms", clock_ms), GP_LOG_I ("fence", agent->fence));
  agent->executor = executor;
  gp_agent_update_clock (agent, clock_ms, now);
}

void
gp_agent_executor_ended (gp_agent_t *agent)
{
  if (agent->executor == NULL || agent->ended)
    return;
  agent->ended = true;
  gp_agent_clear_list (agent);
  agent->is_synced = false;
  agent->synced = 0;
  gp_log (GP_LOG_INFO, "executor.ended",
          GP_LOG_S ("executor", agent->executor->id),
          GP_LOG_I ("runs", g_hash_table_size (agent->runs)));
}

/* Records the expiry of the lease.  To be called before the lease is
   extended.  */
static void
check_lapse (gp_agent_t *agent, gp_time_t now)
{
  /* An earlier guard process may have extended the lease until it ended.  */
  gp_time_t lease = MAX (agent->lease, agent->known_since);

  if (agent->executor == NULL || agent->lapsed || agent->ended
      || now <= gp_agent_lease_end (lease))
    return;
  agent->lapsed = true;
  agent->lapsed_at = now;
  gp_agent_clear_list (agent);
  agent->is_synced = false;
  agent->synced = 0;
  gp_log (GP_LOG_INFO, "lease.lapsed",
          GP_LOG_S ("executor", agent->executor->id),
          GP_LOG_I ("runs", g_hash_table_size (agent->runs)),
          GP_LOG_I ("moved_ms_ago", (now - lease) / GP_MSEC),
          GP_LOG_I ("heard_ms_ago", (now - agent->answered_at) / GP_MSEC));
}

void
gp_agent_reported (gp_agent_t *agent, gp_time_t sent_at)
{
  if (agent->executor != NULL && agent->first_reported_at == GP_TIME_NEVER)
    agent->first_reported_at = sent_at;
}

void
gp_agent_acknowledged (gp_agent_t *agent, gp_time_t sent_at,
                       gp_time_t lead_age, gp_time_t now)
{
  if (sent_at < agent->first_reported_at
      || !gp_grants_is_trusted (agent->began_at, lead_age, now))
    return;
  check_lapse (agent, now);
  agent->granted = MAX (agent->granted, sent_at);
}

void
gp_agent_set_evacuated (gp_agent_t *agent, bool evacuated, gp_time_t known_at)
{
  bool before = agent->gate.evacuated;

  gp_start_gate_update (&agent->gate, evacuated, known_at);
  if (agent->gate.evacuated == before)
    return;
  gp_log (
      GP_LOG_INFO, before ? "starts.allowed" : "starts.withheld",
      GP_LOG_S ("zone", agent->executor != NULL ? agent->executor->zone : ""),
      GP_LOG_I ("runs", g_hash_table_size (agent->runs)));
}

/* The lease.  */

/* The result is a lower bound: the executor's clock may have run slow since it
   was read.  */
int64_t
gp_agent_lease_on_clock (const gp_agent_t *agent)
{
  gp_time_t ahead = agent->lease - agent->clock_at;

  if (ahead > 0)
    ahead -= ahead * GP_AGENT_CLOCK_SLOW_PERMILLE / 1000;
  return agent->clock_ms + (ahead + GP_AGENT_LEASE_TIME) / GP_MSEC;
}

bool
gp_agent_is_responsive (const gp_agent_t *agent, gp_time_t now)
{
  return now - agent->answered_at < SILENCE_TIME;
}

void
gp_agent_extend_lease (gp_agent_t *agent, gp_time_t now)
{
  check_lapse (agent, now);
  if (gp_agent_is_responsive (agent, now))
    agent->lease = MAX (agent->lease, agent->granted);
}

bool
gp_agent_lease_is_open (const gp_agent_t *agent, gp_time_t now)
{
  return agent->clock_ms >= 0 && agent->lease + GP_AGENT_LEASE_TIME > now;
}

uint64_t
gp_agent_list_confirmed (const gp_agent_t *agent, gp_time_t now)
{
  return gp_agent_incarnation_is_uncertain (agent, now) ? 0 : agent->seen_ends;
}

int64_t
gp_agent_list_lease (gp_agent_t *agent, gp_time_t now)
{
  gp_agent_extend_lease (agent, now);
  if (gp_agent_incarnation_is_uncertain (agent, now))
    return 0;
  return gp_agent_lease_is_open (agent, now) ? gp_agent_lease_on_clock (agent)
                                             : 0;
}

bool
gp_agent_lease_lapsed (gp_agent_t *agent, gp_time_t now)
{
  check_lapse (agent, now);
  return agent->lapsed;
}

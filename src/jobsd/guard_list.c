/* The list of a guard's executor: when it is asked for, and what its answer
   says of who answers.  */

#include "jobsd/guard_private.h"

#include "base/counters.h"
#include "base/log.h"

/* The executor holds a list call so long when nothing ends: half of the time
   that its measures look back.  */
#define LIST_WAIT (250 * GP_MSEC)
/* The same while others wait for a run that is to be alone: lists tell whether
   it has begun, and that orders before it are void.  */
#define LIST_WAIT_ALONE (50 * GP_MSEC)
/* Beyond that without an answer it is made again.  */
#define LIST_TIME (600 * GP_MSEC)
/* Least duration between two list calls: ends that come together then come
   in one, and ends that are not yet on record do not make it spin.  */
#define LIST_SPACING (15 * GP_MSEC)
#define LIST_SPACING_UNSEEN (60 * GP_MSEC)
#define LIST_RETRY_TIME (100 * GP_MSEC)
/* The same for a while after the executor has ended a connection: until it is
   reached, its next life carries out what was ordered of the one before.  */
#define LIST_RETRY_CUT_TIME (10 * GP_MSEC)
#define LIST_CUT_TIME (5 * GP_SEC)
#define LIST_CUT_PATIENCE (150 * GP_MSEC)

static gp_counter_t stale_ends_count
    = GP_COUNTER ("guard_ends_stale_total",
                  "Ends that the executor listed though they are on record");
static gp_counter_t ends_count
    = GP_COUNTER ("guard_ends_total", "Ends that the executor listed");

static gp_time_t
now_of (gp_job_guard_t *guard)
{
  return gp_loop_now (&guard->loop);
}

void
gp_guard_take_list (gp_job_guard_t *guard, const gp_runtime_list_t *list,
                    int64_t fence)
{
  uint64_t listed = guard->agent.listed_ends;
  uint64_t stale = guard->agent.stale_ends;
  /* Nothing is absent from a list that could not be read whole: it is like
     one that was asked for before all runs.  */
  gp_time_t asked_at = list->whole ? list->sent_at : INT64_MIN;

  if (list->whole)
    gp_agent_fence_listed (&guard->agent, fence);
  if (gp_agent_listed (&guard->agent, list->runs, list->run_count, list->ends,
                       list->end_count, list->clock_ms, asked_at,
                       now_of (guard)))
    gp_guard_send_report (guard);
  gp_counter_add (&ends_count, (int64_t)(guard->agent.listed_ends - listed));
  gp_counter_add (&stale_ends_count,
                  (int64_t)(guard->agent.stale_ends - stale));
  gp_guard_act_soon (guard);
}

static bool
is_cut_lately (const gp_agent_t *agent, gp_time_t now)
{
  return agent->is_disconnected && now - agent->down_since < LIST_CUT_TIME;
}

/* What LIST means of the life that works here.  Where another one lists,
   nobody of this one is there any more; the next one is met by its heartbeat.
 */
static gp_agent_result_t
list_result (const gp_agent_t *agent, const gp_runtime_list_t *list,
             gp_time_t now)
{
  if (list->result != GP_AGENT_ACCEPTED)
    return list->result;
  if (list->born_ms == GP_BORN_UNREADABLE)
    return gp_agent_incarnation_is_uncertain (agent, now) ? GP_AGENT_UNANSWERED
                                                          : GP_AGENT_ACCEPTED;
  return list->born_ms == agent->executor->born_ms
             ? GP_AGENT_ACCEPTED
             : GP_AGENT_CONNECTION_REFUSED;
}

/* Returns the pause until the next call.  */
static gp_time_t
take_answer (gp_job_guard_t *guard, const gp_runtime_list_t *list)
{
  gp_agent_result_t result = list_result (&guard->agent, list, now_of (guard));

  if (result == GP_AGENT_ACCEPTED)
    {
      gp_guard_take_list (guard, list, guard->listed_fence);
      return LIST_SPACING;
    }
  if (result != list->result)
    gp_log (GP_LOG_INFO, "list.other_life",
            GP_LOG_S ("executor", guard->agent.executor->id),
            GP_LOG_I ("born_ms", list->born_ms),
            GP_LOG_I ("born_known_ms", guard->agent.executor->born_ms));
  if (result == GP_AGENT_FENCED)
    gp_agent_fence_rejected (&guard->agent, guard->listed_fence);
  gp_agent_list_failed (&guard->agent, result,
                        result == list->result ? list->clock_ms : -1,
                        now_of (guard));
  return is_cut_lately (&guard->agent, now_of (guard)) ? LIST_RETRY_CUT_TIME
                                                       : LIST_RETRY_TIME;
}

static void
on_listed (const gp_runtime_list_t *list, void *data)
{
  gp_job_guard_t *guard = data;
  gp_time_t now = now_of (guard);
  gp_time_t pause = LIST_SPACING;

  guard->listing = false;
  if (guard->agent.executor == NULL)
    return;
  if (guard->listed_life == guard->agent.incarnation_number)
    pause = take_answer (guard, list);
  if (gp_agent_is_down (&guard->agent, now) != guard->told.down)
    gp_guard_send_report (guard);
  if (guard->agent.ends->len > 0 && guard->unrecorded_since == 0)
    guard->unrecorded_since = now;
  if (guard->agent.ends->len > 0)
    pause = MAX (pause, LIST_SPACING_UNSEEN);
  gp_timer_arm (&guard->list, now + pause);
}

/* How long the executor is to hold a list back when nothing ends.  */
static gp_time_t
list_wait (const gp_agent_t *agent, gp_time_t now)
{
  if (gp_agent_incarnation_is_uncertain (agent, now))
    return 0;
  return gp_agent_has_isolated_run (agent) ? LIST_WAIT_ALONE : LIST_WAIT;
}

void
gp_guard_ask_list (gp_job_guard_t *guard)
{
  gp_agent_t *agent = &guard->agent;
  gp_time_t now = now_of (guard);
  gp_time_t wait = list_wait (agent, now);
  gp_time_t patience
      = is_cut_lately (agent, now) ? LIST_CUT_PATIENCE : LIST_TIME;
  gp_runtime_order_t order
      = { .fence = agent->fence, .deadline = now + wait + patience };

  if (guard->listing || agent->executor == NULL || agent->ended)
    return;
  order.executor = agent->executor->id;
  order.born_ms = agent->executor->born_ms;
  guard->listing = true;
  guard->listed_life = agent->incarnation_number;
  guard->listed_fence = agent->fence;
  gp_platform_runtime_list (
      guard->runtime, &order, gp_agent_list_confirmed (agent, now),
      gp_agent_list_lease (agent, now), wait, on_listed, guard);
}

static void
on_list_due (gp_timer_t *timer, void *data)
{
  gp_guard_ask_list (data);
}

void
gp_guard_list_init (gp_job_guard_t *guard)
{
  gp_counter_register (&ends_count);
  gp_counter_register (&stale_ends_count);
  gp_timer_init (&guard->list, &guard->loop, on_list_due, guard);
}

void
gp_guard_list_finish (gp_job_guard_t *guard)
{
  gp_timer_finish (&guard->list);
}

/* List calls to the guard's executor: when one is made, and which incarnation
   its answer is from.  */

#include "jobsd/guard_private.h"

#include "base/counters.h"
#include "base/log.h"

/* How long the executor holds a list call open while nothing ends: half of the
   period that its measurements cover.  */
#define LIST_WAIT (250 * GP_MSEC)
/* The same while others wait for an isolated run: lists show whether it has
   begun, and that earlier orders are invalid.  */
#define LIST_WAIT_ISOLATED (50 * GP_MSEC)
/* Additional time without an answer after which the call is made again.  */
#define LIST_TIMEOUT (600 * GP_MSEC)
/* Minimum time between two list calls, so that ends that come together are
   reported in one list, and ends that are not recorded yet do not cause a busy
   loop.  */
#define LIST_SPACING (15 * GP_MSEC)
#define LIST_SPACING_UNRECORDED (60 * GP_MSEC)
#define LIST_RETRY_DELAY (100 * GP_MSEC)
/* The same for a while after the executor has closed a connection: until the
   guard has reached its next incarnation, that one carries out orders made for
   the previous one.  */
#define LIST_RETRY_DISCONNECTED_DELAY (10 * GP_MSEC)
#define LIST_DISCONNECTED_PERIOD (5 * GP_SEC)
#define LIST_DISCONNECTED_TIMEOUT (150 * GP_MSEC)

static gp_counter_t stale_ends_count
    = GP_COUNTER ("guard_ends_stale_total",
                  "Ends that the executor listed though they are on record");
static gp_counter_t ends_count
    = GP_COUNTER ("guard_ends_total", "Ends that the executor listed");
static gp_counter_t incomplete_count = GP_COUNTER (
    "guard_lists_incomplete_total",
    "Lists of the executor that do not show which runs are absent");

static gp_time_t
now_of (gp_job_guard_t *guard)
{
  return gp_loop_now (&guard->loop);
}

void
gp_guard_apply_list (gp_job_guard_t *guard, const gp_agent_list_t *list,
                     int64_t fence)
{
  uint64_t listed = guard->agent.listed_ends;
  uint64_t stale = guard->agent.stale_ends;

  gp_counter_add (&incomplete_count, !list->complete);
  if (list->complete)
    gp_agent_fence_listed (&guard->agent, fence);
  if (gp_agent_listed (&guard->agent, list, now_of (guard)))
    gp_guard_send_report (guard);
  gp_counter_add (&ends_count, (int64_t)(guard->agent.listed_ends - listed));
  gp_counter_add (&stale_ends_count,
                  (int64_t)(guard->agent.stale_ends - stale));
  gp_guard_schedule_calls (guard);
}

static bool
was_disconnected_recently (const gp_agent_t *agent, gp_time_t now)
{
  return agent->is_disconnected
         && now - agent->down_since < LIST_DISCONNECTED_PERIOD;
}

/* Returns the result of ANSWER for the current incarnation.  If another
   incarnation has sent it, the current one has ended; the other one is
   accepted when its heartbeat arrives.  */
static gp_agent_result_t
list_result (const gp_agent_t *agent, const gp_runtime_list_answer_t *answer,
             gp_time_t now)
{
  if (answer->result != GP_AGENT_ACCEPTED)
    return answer->result;
  if (answer->born_ms == GP_BORN_UNREADABLE)
    return gp_agent_incarnation_is_uncertain (agent, now) ? GP_AGENT_UNANSWERED
                                                          : GP_AGENT_ACCEPTED;
  return answer->born_ms == agent->executor->born_ms
             ? GP_AGENT_ACCEPTED
             : GP_AGENT_CONNECTION_REFUSED;
}

/* Returns the time to wait until the next call.  */
static gp_time_t
apply_answer (gp_job_guard_t *guard, const gp_runtime_list_answer_t *answer)
{
  gp_agent_result_t result
      = list_result (&guard->agent, answer, now_of (guard));

  if (result == GP_AGENT_ACCEPTED)
    {
      gp_guard_apply_list (guard, &answer->list, guard->listed_fence);
      return LIST_SPACING;
    }
  if (result != answer->result)
    gp_log (GP_LOG_INFO, "list.other_life",
            GP_LOG_S ("executor", guard->agent.executor->id),
            GP_LOG_I ("born_ms", answer->born_ms),
            GP_LOG_I ("born_known_ms", guard->agent.executor->born_ms));
  if (result == GP_AGENT_FENCED)
    gp_agent_fence_rejected (&guard->agent, guard->listed_fence);
  gp_agent_list_failed (&guard->agent, result,
                        result == answer->result ? answer->list.clock_ms : -1,
                        now_of (guard));
  return was_disconnected_recently (&guard->agent, now_of (guard))
             ? LIST_RETRY_DISCONNECTED_DELAY
             : LIST_RETRY_DELAY;
}

static void
on_listed (const gp_runtime_list_answer_t *answer, void *data)
{
  gp_job_guard_t *guard = data;
  gp_time_t now = now_of (guard);
  gp_time_t pause = LIST_SPACING;

  guard->list_open = false;
  if (guard->agent.executor == NULL)
    return;
  if (guard->listed_incarnation == guard->agent.incarnation_number)
    pause = apply_answer (guard, answer);
  if (gp_agent_is_down (&guard->agent, now) != guard->sent.down)
    gp_guard_send_report (guard);
  if (guard->agent.ends->len > 0 && guard->unrecorded_since == 0)
    guard->unrecorded_since = now;
  if (guard->agent.ends->len > 0)
    pause = MAX (pause, LIST_SPACING_UNRECORDED);
  gp_timer_arm (&guard->list_timer, now + pause);
}

/* How long the executor is asked to hold a list call open while nothing
   ends.  */
static gp_time_t
list_wait (const gp_agent_t *agent, gp_time_t now)
{
  if (gp_agent_incarnation_is_uncertain (agent, now))
    return 0;
  return gp_agent_has_isolated_run (agent) ? LIST_WAIT_ISOLATED : LIST_WAIT;
}

void
gp_guard_request_list (gp_job_guard_t *guard)
{
  gp_agent_t *agent = &guard->agent;
  gp_time_t now = now_of (guard);
  gp_time_t wait = list_wait (agent, now);
  gp_time_t timeout = was_disconnected_recently (agent, now)
                          ? LIST_DISCONNECTED_TIMEOUT
                          : LIST_TIMEOUT;
  gp_runtime_order_t order
      = { .fence = agent->fence, .deadline = now + wait + timeout };

  if (guard->list_open || agent->executor == NULL || agent->ended)
    return;
  order.executor = agent->executor->id;
  order.born_ms = agent->executor->born_ms;
  guard->list_open = true;
  guard->listed_incarnation = agent->incarnation_number;
  guard->listed_fence = agent->fence;
  gp_platform_runtime_list (
      guard->runtime, &order, gp_agent_list_confirmed (agent, now),
      gp_agent_list_lease (agent, now), wait, on_listed, guard);
}

static void
on_list_due (gp_timer_t *timer, void *data)
{
  gp_guard_request_list (data);
}

void
gp_guard_list_init (gp_job_guard_t *guard)
{
  gp_counter_register (&ends_count);
  gp_counter_register (&stale_ends_count);
  gp_counter_register (&incomplete_count);
  gp_timer_init (&guard->list_timer, &guard->loop, on_list_due, guard);
}

void
gp_guard_list_finish (gp_job_guard_t *guard)
{
  gp_timer_finish (&guard->list_timer);
}

/* Relaying of callers' requests.

   A relay is WAITING for the verdict of its current attempt, then STREAMING
   if the answer comes in parts, and is freed when the caller has its answer
   or has left.  While it waits, its timeout is the deadline of the request
   plus a grace, so that the guard can report the missed deadline first;
   while it streams, the timeout is extended with every part that has been
   sent to the caller.  */

#include "daemon/relay_private.h"

#include <string.h>

#include "base/counters.h"

#define ANSWER_GRACE (250 * GP_MSEC)

/* Interval of the check for callers that have hung up, and number of relays
   checked each time.  */
#define SWEEP_INTERVAL (100 * GP_MSEC)
#define SWEEP_COUNT 256

static gp_counter_t requests
    = GP_COUNTER ("entry_requests_total", "Requests of callers.");
static gp_counter_t attempts_sent
    = GP_COUNTER ("entry_tries_total", "Tries sent to guards.");
static gp_counter_t attempts_abandoned
    = GP_COUNTER ("entry_tries_given_up_total",
                  "Tries ended because their guard was not heard any more.");
static gp_counter_t requests_limited = GP_COUNTER (
    "entry_requests_limited_total", "Requests over a limit of the document.");
static gp_counter_t callers_gone = GP_COUNTER (
    "entry_callers_gone_total", "Callers that left before their answer.");
static gp_counter_t relays_open
    = GP_GAUGE ("entry_requests_open", "Requests in progress.");

/* Lifecycle of a relay.  */

static bool
times_out_before (const gp_heap_node_t *a, const gp_heap_node_t *b)
{
  return GP_CONTAINER_OF (a, gp_relay_t, timeout_node)->timeout_at
         < GP_CONTAINER_OF (b, gp_relay_t, timeout_node)->timeout_at;
}

static void
arm_timer (gp_relays_t *relays)
{
  const gp_heap_node_t *first = gp_heap_first (&relays->timeouts);

  if (first == NULL)
    gp_timer_disarm (&relays->timer);
  else
    gp_timer_arm (
        &relays->timer,
        GP_CONTAINER_OF (first, gp_relay_t, timeout_node)->timeout_at);
}

void
gp_relay_set_timeout (gp_relay_t *relay, gp_time_t at)
{
  gp_heap_remove (&relay->relays->timeouts, &relay->timeout_node);
  relay->timeout_at = at;
  gp_heap_insert (&relay->relays->timeouts, &relay->timeout_node);
  if (gp_heap_first (&relay->relays->timeouts) == &relay->timeout_node)
    arm_timer (relay->relays);
}

/* Ends the current attempt; later messages for its handle are ignored.  */
static void
end_attempt (gp_relay_t *relay)
{
  gp_target_t *target = relay->target;

  if (target == NULL)
    return;
  gp_idpool_remove (&relay->relays->attempts_by_handle, relay->handle);
  gp_list_remove (&relay->target_link);
  relay->target = NULL;
  gp_routes_request_done (relay->relays->routes, target);
}

void
gp_relay_free (gp_relay_t *relay)
{
  gp_relays_t *relays = relay->relays;

  gp_relay_record_outcome (relay, GP__WIRE__VERDICT__VERDICT_UNSPECIFIED);
  end_attempt (relay);
  gp_list_remove (&relay->unanswered_link);
  if (!relay->expired)
    gp_heap_remove (&relays->timeouts, &relay->timeout_node);
  gp_limits_release (&relay->permit);
  if (relay->pending != NULL)
    g_byte_array_unref (relay->pending);
  g_free (relay);
  relays->open_count--;
  gp_counter_set (&relays_open, (int64_t)relays->open_count);
  arm_timer (relays);
}

/* Attempts.  */

static void
fill_capacity (const gp_relay_t *relay, gp_retry_input_t *input)
{
  const gp_router_t *router = &relay->service->router;
  gp_time_t latency = gp_router_latency (router);

  input->expected_us = latency;
  input->wait_us = gp_router_wait (router);
  input->interval_us = latency / (gp_time_t)MAX (router->total_slots, 1);
}

/* Handles the end of the current attempt with VERDICT: dispatches the request
   again or answers the caller.  */
static void
handle_attempt_end (gp_relay_t *relay, Gp__Wire__Verdict verdict,
                    Gp__Wire__Reason reason)
{
  gp_time_t now = gp_loop_now (relay->relays->loop);
  gp_retry_decision_t decision;
  gp_retry_input_t input = {
    .id = relay->id,
    .verdict = verdict,
    .reason = reason,
    .idempotent = relay->idempotent,
    .answer_begun = relay->streaming,
    .attempts = relay->attempts,
    .deadline = relay->deadline,
  };

  end_attempt (relay);
  if (relay->cancelled || relay->exchange == NULL)
    {
      gp_relay_fail (relay, verdict, reason, -1);
      return;
    }
  input.candidate_left
      = gp_router_has_candidate (&relay->service->router, &relay->route);
  fill_capacity (relay, &input);
  decision = gp_retry_decide (&relay->service->retry, &input, now);
  switch (decision.kind)
    {
    case GP_RETRY_AGAIN:
      gp_relay_dispatch (relay);
      break;
    case GP_RETRY_REFUSE:
      gp_relay_fail (relay, decision.u.refuse.verdict,
                     decision.u.refuse.reason,
                     decision.u.refuse.return_at == GP_TIME_NEVER
                         ? -1
                         : MAX (decision.u.refuse.return_at - now, 0));
      break;
    case GP_RETRY_ANSWER:
      break;
    }
}

void
gp_relay_dispatch (gp_relay_t *relay)
{
  gp_relays_t *relays = relay->relays;
  gp_time_t now = gp_loop_now (relays->loop);
  gp_candidate_t *candidate = gp_router_pick (
      &relay->service->router, &relay->route, relays->rand, now);
  gp_target_t *target;

  if (candidate == NULL)
    {
      handle_attempt_end (relay, GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                          GP__WIRE__REASON__REASON_NO_CANDIDATE);
      return;
    }
  target = candidate->data;
  relay->target = target;
  relay->session = target->session;
  relay->handle = gp_idpool_add (&relays->attempts_by_handle, relay);
  relay->sent_at = now;
  relay->attempts++;
  if (relay->route.n_tried < GP_ROUTER_MAX_TRIED)
    relay->route.tried[relay->route.n_tried++] = candidate;
  gp_list_push_back (&target->relays, &relay->target_link);
  gp_routes_request_sent (relays->routes, target);
  gp_counter_add (&attempts_sent, 1);
  gp_relay_send (relay, now);
}

/* Requests.  */

static void
on_caller_gone (void *data)
{
  gp_relay_t *relay = data;

  if (!relay->cancelled)
    gp_counter_add (&callers_gone, 1);
  if (gp_relay_must_await_outcome (relay))
    {
      relay->exchange = NULL;
      return;
    }
  if (relay->target != NULL)
    gp_relay_send_cancel (relay);
  gp_relay_free (relay);
}

static bool
acquire_limits (gp_relay_t *relay, gp_time_t *retry_after)
{
  gp_limits_subject_t subject = { .team = relay->team,
                                  .service = relay->service->name,
                                  .kind = relay->kind,
                                  .work_class = relay->work_class };

  return gp_limits_acquire (&relay->relays->limits, &subject, &relay->permit,
                            gp_loop_now (relay->relays->loop), retry_after);
}

static gp_relay_t *
relay_new (gp_relays_t *relays, gp_http_exchange_t *exchange,
           gp_service_t *service)
{
  gp_relay_t *relay = g_new (gp_relay_t, 1);

  *relay = (gp_relay_t){ .relays = relays,
                         .exchange = exchange,
                         .service = service,
                         .id = ++relays->next_id };
  gp_list_init (&relay->target_link);
  if (gp_list_empty (&relays->unanswered))
    gp_timer_arm (&relays->sweep_timer,
                  gp_loop_now (relays->loop) + SWEEP_INTERVAL);
  gp_list_push_back (&relays->unanswered, &relay->unanswered_link);
  relay->body_size = gp_http_exchange_body (exchange).size;
  gp_relay_apply_policy (relay);
  relay->route.may_probe = relay->idempotent;
  relay->timeout_at = relay->deadline + ANSWER_GRACE;
  gp_heap_insert (&relays->timeouts, &relay->timeout_node);
  relays->open_count++;
  gp_counter_set (&relays_open, (int64_t)relays->open_count);
  gp_http_exchange_watch (exchange, on_caller_gone, gp_relay_on_part_sent,
                          relay);
  return relay;
}

/* Refuses a request for service NAME, of which this entry has never seen an
   upstream.  */
static void
refuse_unknown (const gp_relays_t *relays, gp_http_exchange_t *exchange,
                const char *name)
{
  bool declared = relays->document != NULL
                  && gp_document_find_service (relays->document, name) != NULL;

  gp_relay_answer_failure (exchange, GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                           declared ? GP__WIRE__REASON__REASON_NO_CANDIDATE
                                    : GP__WIRE__REASON__REASON_NO_SUCH_SERVICE,
                           declared ? GP_SEC : -1);
}

void
gp_relays_on_request (gp_http_exchange_t *exchange, void *data)
{
  gp_relays_t *relays = data;
  gp_service_t *service = NULL;
  char name[GP_RELAY_NAME_SIZE];
  gp_time_t retry_after;
  gp_relay_t *relay;

  gp_counter_add (&requests, 1);
  if (!gp_relay_service_name (exchange, name, sizeof name))
    name[0] = '\0';
  else
    service = gp_routes_find_service (relays->routes, name);
  if (service == NULL)
    {
      refuse_unknown (relays, exchange, name);
      return;
    }
  if (!gp_relay_headers_fit (exchange))
    {
      gp_relay_answer_failure (exchange, GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                               GP__WIRE__REASON__REASON_TOO_LARGE, -1);
      return;
    }
  if (relays->open_count >= relays->max_open_count)
    {
      gp_relay_answer_failure (exchange, GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                               GP__WIRE__REASON__REASON_QUEUE_FULL, GP_SEC);
      return;
    }
  relay = relay_new (relays, exchange, service);
  arm_timer (relays);
  if (!acquire_limits (relay, &retry_after))
    {
      gp_counter_add (&requests_limited, 1);
      gp_relay_fail (relay, GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                     GP__WIRE__REASON__REASON_LIMIT, retry_after);
      return;
    }
  gp_relay_start (relay);
}

/* Messages from guards.  */

static gp_relay_t *
find_relay (gp_relays_t *relays, const gp_session_t *session, uint64_t handle)
{
  gp_relay_t *relay = gp_idpool_get (&relays->attempts_by_handle, handle);

  if (relay == NULL || relay->session != session)
    return NULL;
  return relay;
}

/* Whether ANSWER is a failure of a faulty executor, not of a busy one.  */
static bool
is_fault (const Gp__Wire__Answer *answer)
{
  if (answer->verdict == GP__WIRE__VERDICT__VERDICT_RAN)
    return answer->status >= 500;
  return answer->reason == GP__WIRE__REASON__REASON_CONNECT
         || answer->reason == GP__WIRE__REASON__REASON_UPSTREAM;
}

static void
record_answer (gp_relay_t *relay, const Gp__Wire__Answer *answer)
{
  gp_routes_t *routes = relay->relays->routes;
  bool ran = answer->verdict == GP__WIRE__VERDICT__VERDICT_RAN;

  if (answer->load != NULL)
    gp_routes_record_load (routes, relay->target, answer->load);
  if (ran || is_fault (answer))
    gp_routes_record_result (routes, relay->target, !is_fault (answer),
                             gp_loop_now (relay->relays->loop)
                                 - relay->sent_at);
}

void
gp_relays_on_answer (gp_relays_t *relays, gp_session_t *session,
                     const Gp__Wire__Answer *answer)
{
  gp_relay_t *relay = find_relay (relays, session, answer->id);

  if (relay == NULL || relay->streaming)
    return;
  record_answer (relay, answer);
  if (answer->verdict != GP__WIRE__VERDICT__VERDICT_RAN)
    {
      handle_attempt_end (relay, answer->verdict, answer->reason);
      return;
    }
  relay->head_received = true;
  relay->last_received = answer->last;
  if (relay->keyed != NULL)
    gp_keyed_store_head (relay->keyed, answer);
  if (answer->last)
    gp_relay_answer (relay, answer);
  else
    gp_relay_start_stream (relay, answer);
}

void
gp_relays_on_part (gp_relays_t *relays, gp_session_t *session,
                   const Gp__Wire__Part *part)
{
  gp_relay_t *relay = find_relay (relays, session, part->id);

  if (relay == NULL || !relay->streaming)
    return;
  g_byte_array_append (relay->pending, part->data.data, (guint)part->data.len);
  relay->last_received = part->last;
  if (relay->keyed != NULL)
    gp_keyed_store_part (relay->keyed, part->data.data, part->data.len);
  if (part->last)
    end_attempt (relay);
  gp_relay_send_next_part (relay);
}

void
gp_relays_on_broken (gp_relays_t *relays, gp_session_t *session,
                     const Gp__Wire__Broken *broken)
{
  gp_relay_t *relay = find_relay (relays, session, broken->id);

  if (relay != NULL && relay->streaming)
    gp_relay_abort_stream (relay);
}

void
gp_relays_on_session_writable (gp_relays_t *relays, gp_target_t *target)
{
  (void)relays;
  GP_LIST_FOREACH (pos, &target->relays)
  {
    gp_relay_t *relay = GP_CONTAINER_OF (pos, gp_relay_t, target_link);

    if (!relay->streaming && relay->exchange != NULL)
      gp_relay_send_body (relay);
  }
}

/* The verdict on a request whose guard was lost: a guard does not submit a
   request before it has the whole body.  */
static Gp__Wire__Verdict
verdict_after_loss (const gp_relay_t *relay)
{
  bool sent = relay->attempts > 0 && relay->body_sent == relay->body_size;

  return sent ? GP__WIRE__VERDICT__VERDICT_UNKNOWN
              : GP__WIRE__VERDICT__VERDICT_NOT_RUN;
}

void
gp_relays_on_session_closed (gp_relays_t *relays, gp_session_t *session)
{
  gp_target_t *target = session->object;

  (void)relays;
  GP_LIST_FOREACH_SAFE (pos, &target->relays)
  {
    gp_relay_t *relay = GP_CONTAINER_OF (pos, gp_relay_t, target_link);

    if (relay->session != session)
      continue;
    if (relay->streaming)
      gp_relay_abort_stream (relay);
    else
      handle_attempt_end (relay, verdict_after_loss (relay),
                          GP__WIRE__REASON__REASON_UPSTREAM);
  }
}

/* Streaming answers may still continue, and a relay whose caller has left can
   wait for a late verdict.  */
void
gp_relays_on_suspect (gp_relays_t *relays, gp_target_t *target)
{
  (void)relays;
  GP_LIST_FOREACH_SAFE (pos, &target->relays)
  {
    gp_relay_t *relay = GP_CONTAINER_OF (pos, gp_relay_t, target_link);

    if (relay->streaming || relay->exchange == NULL)
      continue;
    gp_counter_add (&attempts_abandoned, 1);
    gp_relay_send_cancel (relay);
    handle_attempt_end (relay, verdict_after_loss (relay),
                        GP__WIRE__REASON__REASON_UPSTREAM);
  }
}

/* Callers that have hung up.  */

/* Cancels the attempt of RELAY if its caller has closed its side of the
   connection.  If the request has not started, the guard drops it and its
   verdict ends the relay.  If it has started, its answer is still sent, as
   the caller may have closed only its sending side.  */
static void
check_caller (gp_relay_t *relay)
{
  if (relay->cancelled || relay->target == NULL || relay->exchange == NULL
      || !gp_http_exchange_client_closed (relay->exchange))
    return;
  gp_counter_add (&callers_gone, 1);
  relay->cancelled = true;
  gp_relay_send_cancel (relay);
}

static void
on_sweep (gp_timer_t *timer, void *data)
{
  gp_relays_t *relays = data;
  size_t left = MIN (relays->open_count, SWEEP_COUNT);
  gp_list_t *link;

  while (left-- > 0
         && (link = gp_list_pop_front (&relays->unanswered)) != NULL)
    {
      gp_relay_t *relay = GP_CONTAINER_OF (link, gp_relay_t, unanswered_link);

      if (relay->streaming)
        continue;
      gp_list_push_back (&relays->unanswered, link);
      check_caller (relay);
    }
  if (!gp_list_empty (&relays->unanswered))
    gp_timer_arm (timer, gp_loop_now (relays->loop) + SWEEP_INTERVAL);
}

/* Timeouts.  */

static void
expire (gp_relay_t *relay)
{
  if (relay->target != NULL)
    gp_relay_send_cancel (relay);
  if (relay->streaming)
    gp_relay_abort_stream (relay);
  else
    gp_relay_fail (relay, verdict_after_loss (relay),
                   GP__WIRE__REASON__REASON_DEADLINE, -1);
}

/* Removes the first relay whose timeout has passed from the heap; NULL if
   there is none.  */
static gp_relay_t *
take_expired (gp_relays_t *relays, gp_time_t now)
{
  gp_heap_node_t *first = gp_heap_first (&relays->timeouts);
  gp_relay_t *relay;

  if (first == NULL)
    return NULL;
  relay = GP_CONTAINER_OF (first, gp_relay_t, timeout_node);
  if (relay->timeout_at > now)
    return NULL;
  gp_heap_pop (&relays->timeouts);
  relay->expired = true;
  return relay;
}

static void
on_timeout (gp_timer_t *timer, void *data)
{
  gp_relays_t *relays = data;
  gp_time_t now = gp_loop_now (relays->loop);
  gp_relay_t *relay;

  (void)timer;
  while ((relay = take_expired (relays, now)) != NULL)
    expire (relay);
  arm_timer (relays);
}

void
gp_relays_init (gp_relays_t *relays, gp_loop_t *loop, gp_routes_t *routes,
                GRand *rand, size_t max_open, gp_time_t stall_timeout)
{
  *relays = (gp_relays_t){ .loop = loop,
                           .routes = routes,
                           .rand = rand,
                           .max_open_count = max_open,
                           .stall_timeout = stall_timeout };
  relays->request_line = g_string_new (NULL);
  gp_idpool_init (&relays->attempts_by_handle);
  gp_list_init (&relays->unanswered);
  gp_timer_init (&relays->sweep_timer, loop, on_sweep, relays);
  gp_heap_init (&relays->timeouts, times_out_before);
  gp_timer_init (&relays->timer, loop, on_timeout, relays);
  gp_counter_register (&requests);
  gp_counter_register (&attempts_sent);
  gp_counter_register (&attempts_abandoned);
  gp_relay_register_counters ();
  gp_counter_register (&requests_limited);
  gp_counter_register (&callers_gone);
  gp_counter_register (&relays_open);
}

void
gp_relays_set_document (gp_relays_t *relays, const gp_document_t *document)
{
  relays->document = document;
  gp_limits_configure (&relays->limits, document, gp_loop_now (relays->loop));
}

void
gp_relays_finish (gp_relays_t *relays)
{
  gp_limits_finish (&relays->limits);
  gp_timer_finish (&relays->timer);
  gp_timer_finish (&relays->sweep_timer);
  gp_idpool_finish (&relays->attempts_by_handle);
  g_string_free (relays->request_line, TRUE);
}

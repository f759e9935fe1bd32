/* Relaying of callers' requests.

   A relay is WAITING for the verdict of its current try, then STREAMING
   when the answer comes in parts, and is freed when the caller has its
   answer or has left.  While it waits its deadline is that of the request
   plus a grace, since the guard speaks first; while it streams, the
   deadline moves with every part that the caller takes.  */

#include "daemon/relay.h"

#include <jansson.h>
#include <string.h>

#include "base/counters.h"
#include "daemon/execution.h"
#include "daemon/text.h"

#define DEFAULT_TIMEOUT (30 * GP_SEC)
#define MAX_TIMEOUT (600 * GP_SEC)
#define ANSWER_GRACE (250 * GP_MSEC)
#define STALL_TIMEOUT (30 * GP_SEC)
#define LOG_RETRY (1 * GP_SEC)
#define NAME_SIZE 128
#define EXTRA_HEADERS 3

typedef struct
{
  gp_relays_t *relays;
  gp_http_exchange_t *exchange; /* NULL once the caller left */
  gp_service_t *service;
  char *kind; /* name of the document's kind, NULL: the caller's word */
  Gp__Wire__WorkClass work_class;
  gp_keyed_t *keyed;   /* its outcome is due, or NULL */
  gp_target_t *target; /* of the current try, or NULL */
  gp_list_t link;      /* in target->relays */
  gp_heap_node_t node; /* in relays->deadlines, unless EXPIRED */
  bool expired;
  gp_time_t wake_at; /* its order there */
  uint64_t id;
  uint64_t handle;
  gp_time_t deadline;
  gp_time_t sent_at;
  gp_time_t remaining_hint;
  gp_route_t route;
  uint32_t attempts;
  bool idempotent;
  bool streaming;
  bool head_received;
  bool part_in_flight;
  bool last_received;
  size_t body_size;
  size_t body_sent;
  size_t in_flight_size;
  GByteArray *pending;
} gp_relay_t;

typedef struct
{
  int status;
  const char *text;
} failure_t;

static gp_counter_t requests
    = GP_COUNTER ("entry_requests_total", "Requests of callers.");
static gp_counter_t tries_sent
    = GP_COUNTER ("entry_tries_total", "Tries sent to guards.");
static gp_counter_t answers_ran
    = GP_COUNTER ("entry_answers_ran_total", "Answers passed on.");
static gp_counter_t answers_not_run = GP_COUNTER (
    "entry_answers_not_run_total", "Requests answered as not run.");
static gp_counter_t answers_unknown = GP_COUNTER (
    "entry_answers_unknown_total", "Requests answered as unknown.");
static gp_counter_t answers_cut
    = GP_COUNTER ("entry_answers_cut_total", "Answers that ended early.");
static gp_counter_t callers_gone = GP_COUNTER (
    "entry_callers_gone_total", "Callers that left before their answer.");
static gp_counter_t relays_open
    = GP_GAUGE ("entry_requests_open", "Requests in progress.");

static void dispatch (gp_relay_t *relay);

/* Names.  */

static const char *
verdict_name (Gp__Wire__Verdict verdict)
{
  switch (verdict)
    {
    case GP__WIRE__VERDICT__VERDICT_NOT_RUN:
      return "not-run";
    case GP__WIRE__VERDICT__VERDICT_RAN:
      return "ran";
    default:
      return "unknown";
    }
}

/* "queue-full" of REASON_QUEUE_FULL.  */
static void
reason_name (Gp__Wire__Reason reason, char *name, size_t size)
{
  const ProtobufCEnumValue *value = protobuf_c_enum_descriptor_get_value (
      &gp__wire__reason__descriptor, (int)reason);
  size_t prefix = strlen ("REASON_");

  g_strlcpy (name, value == NULL ? "unknown" : value->name + prefix, size);
  for (char *c = name; *c != '\0'; c++)
    *c = *c == '_' ? '-' : g_ascii_tolower (*c);
}

/* Life of a relay.  */

static bool
wakes_before (const gp_heap_node_t *a, const gp_heap_node_t *b)
{
  return GP_CONTAINER_OF (a, gp_relay_t, node)->wake_at
         < GP_CONTAINER_OF (b, gp_relay_t, node)->wake_at;
}

static void
arm_timer (gp_relays_t *relays)
{
  const gp_heap_node_t *first = gp_heap_first (&relays->deadlines);

  if (first == NULL)
    gp_timer_disarm (&relays->timer);
  else
    gp_timer_arm (&relays->timer,
                  GP_CONTAINER_OF (first, gp_relay_t, node)->wake_at);
}

static void
set_wake (gp_relay_t *relay, gp_time_t at)
{
  gp_heap_remove (&relay->relays->deadlines, &relay->node);
  relay->wake_at = at;
  gp_heap_insert (&relay->relays->deadlines, &relay->node);
}

/* Tell the outcome of a keyed request, once.  */
static void
end_key (gp_relay_t *relay, Gp__Wire__Verdict verdict)
{
  if (relay->keyed == NULL)
    return;
  if (!relay->last_received)
    gp_keyed_drop_answer (relay->keyed);
  gp_keyed_end (g_steal_pointer (&relay->keyed), verdict);
}

/* What is known of a relay that ends without a verdict.  */
static Gp__Wire__Verdict
verdict_so_far (const gp_relay_t *relay)
{
  if (relay->head_received)
    return GP__WIRE__VERDICT__VERDICT_RAN;
  return relay->attempts > 0 ? GP__WIRE__VERDICT__VERDICT_UNKNOWN
                             : GP__WIRE__VERDICT__VERDICT_NOT_RUN;
}

/* End the current try: late messages for it find nothing.  */
static void
end_try (gp_relay_t *relay)
{
  gp_target_t *target = relay->target;

  if (target == NULL)
    return;
  gp_idpool_remove (&relay->relays->tries, relay->handle);
  gp_list_remove (&relay->link);
  relay->target = NULL;
  gp_routes_done (relay->relays->routes, target);
}

static void
relay_free (gp_relay_t *relay)
{
  gp_relays_t *relays = relay->relays;

  end_key (relay, verdict_so_far (relay));
  end_try (relay);
  if (!relay->expired)
    gp_heap_remove (&relays->deadlines, &relay->node);
  g_byte_array_unref (relay->pending);
  g_free (relay->kind);
  g_free (relay);
  relays->open--;
  gp_counter_set (&relays_open, (int64_t)relays->open);
  arm_timer (relays);
}

/* Answers to the caller.  */

static gp_http_header_t
make_header (const char *name, const char *value)
{
  return (gp_http_header_t){ name, strlen (name), value, strlen (value) };
}

static int
failure_status (Gp__Wire__Verdict verdict, Gp__Wire__Reason reason)
{
  if (verdict == GP__WIRE__VERDICT__VERDICT_UNKNOWN)
    return reason == GP__WIRE__REASON__REASON_DEADLINE ? 504 : 502;
  switch (reason)
    {
    case GP__WIRE__REASON__REASON_TOO_LARGE:
      return 413;
    case GP__WIRE__REASON__REASON_NO_SUCH_SERVICE:
      return 404;
    case GP__WIRE__REASON__REASON_LIMIT:
      return 429;
    case GP__WIRE__REASON__REASON_DEADLINE:
      return 504;
    default:
      return 503;
    }
}

static const char *
failure_message (Gp__Wire__Verdict verdict)
{
  if (verdict == GP__WIRE__VERDICT__VERDICT_NOT_RUN)
    return "The request did not run and may be sent again.";
  return "The request may have run; its outcome is not known.";
}

static char *
failure_body (Gp__Wire__Verdict verdict, const char *reason,
              gp_time_t retry_after)
{
  json_t *body
      = json_pack ("{s:s, s:s, s:s}", "verdict", verdict_name (verdict),
                   "reason", reason, "message", failure_message (verdict));
  char *text;

  if (retry_after >= 0)
    json_object_set_new (body, "retry_after_ms",
                         json_integer (retry_after / GP_MSEC));
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

/* Answer EXCHANGE with a failure.  RETRY_AFTER is a duration, negative: no
   hint is given.  */
static void
answer_failure (gp_http_exchange_t *exchange, Gp__Wire__Verdict verdict,
                Gp__Wire__Reason reason, gp_time_t retry_after)
{
  char reason_text[NAME_SIZE];
  char seconds[24];
  char *body;
  gp_http_header_t headers[4];
  size_t count = 0;

  reason_name (reason, reason_text, sizeof reason_text);
  body = failure_body (verdict, reason_text, retry_after);
  headers[count++] = make_header ("content-type", "application/json");
  headers[count++]
      = make_header ("galenapier-verdict", verdict_name (verdict));
  headers[count++] = make_header ("galenapier-reason", reason_text);
  if (retry_after >= 0)
    {
      g_snprintf (seconds, sizeof seconds, "%lld",
                  (long long)((retry_after + GP_SEC - 1) / GP_SEC));
      headers[count++] = make_header ("retry-after", seconds);
    }
  gp_counter_add (verdict == GP__WIRE__VERDICT__VERDICT_NOT_RUN
                      ? &answers_not_run
                      : &answers_unknown,
                  1);
  gp_http_exchange_answer (exchange, failure_status (verdict, reason), headers,
                           count, body, strlen (body));
  free (body);
}

static void
fail_relay (gp_relay_t *relay, Gp__Wire__Verdict verdict,
            Gp__Wire__Reason reason, gp_time_t retry_after)
{
  if (relay->exchange != NULL)
    answer_failure (relay->exchange, verdict, reason, retry_after);
  end_key (relay, verdict);
  relay_free (relay);
}

static size_t
answer_headers (const Gp__Wire__Answer *answer, gp_http_header_t *headers)
{
  size_t count = gp_http_headers_from_wire (
      headers, GP_HEADERS_MAX, answer->headers, answer->n_headers);

  headers[count++] = make_header ("galenapier-verdict", "ran");
  return count;
}

static void
answer_whole (gp_relay_t *relay, const Gp__Wire__Answer *answer)
{
  gp_http_header_t headers[GP_HEADERS_MAX + EXTRA_HEADERS];
  size_t count = answer_headers (answer, headers);

  gp_counter_add (&answers_ran, 1);
  if (relay->exchange != NULL)
    gp_http_exchange_answer (relay->exchange, (int)answer->status, headers,
                             count, answer->data.data, answer->data.len);
  relay_free (relay);
}

/* The caller sees that the answer is cut short.  */
static void
cut_answer (gp_relay_t *relay)
{
  gp_counter_add (&answers_cut, 1);
  gp_http_exchange_abort (relay->exchange);
  end_key (relay, GP__WIRE__VERDICT__VERDICT_UNKNOWN);
  relay_free (relay);
}

/* Messages to the guard.  */

static void
send_cancel (gp_relay_t *relay)
{
  Gp__Wire__Cancel cancel = GP__WIRE__CANCEL__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (CANCEL, cancel, &cancel);

  cancel.id = relay->handle;
  gp_session_send (relay->target->session, &envelope);
}

static void
send_credit (gp_relay_t *relay, size_t bytes)
{
  Gp__Wire__Credit credit = GP__WIRE__CREDIT__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (CREDIT, credit, &credit);

  credit.id = relay->handle;
  credit.bytes = (uint32_t)bytes;
  gp_session_send (relay->target->session, &envelope);
}

/* Send what the session takes of the request's body.  */
static void
send_body (gp_relay_t *relay)
{
  gp_http_text_t body = gp_http_exchange_body (relay->exchange);
  gp_session_t *session = relay->target->session;

  while (relay->body_sent < body.size && !gp_peer_congested (session->peer))
    {
      size_t size = MIN (body.size - relay->body_sent, GP_PART_SIZE);
      Gp__Wire__Part part = GP__WIRE__PART__INIT;
      Gp__Wire__Envelope envelope
          = GP_ENVELOPE (REQUEST_PART, request_part, &part);

      part.id = relay->handle;
      part.data.data = (uint8_t *)body.base + relay->body_sent;
      part.data.len = size;
      relay->body_sent += size;
      part.last = relay->body_sent == body.size;
      gp_session_send (session, &envelope);
    }
}

static void
copy_text (char *buffer, size_t size, gp_http_text_t text)
{
  size_t length = MIN (text.size, size - 1);

  memcpy (buffer, text.base != NULL ? text.base : "", length);
  buffer[length] = '\0';
}

/* The kind of request: that of the document, or the caller's word.  */
static void
kind_name (const gp_relay_t *relay, char *name, size_t size)
{
  if (relay->kind != NULL)
    g_strlcpy (name, relay->kind, size);
  else
    copy_text (name, size,
               gp_http_exchange_header (relay->exchange, "galenapier-kind"));
}

/* The path behind the service's name.  */
static gp_http_text_t
upstream_path (const gp_relay_t *relay)
{
  gp_http_text_t path = gp_http_exchange_path (relay->exchange);
  size_t skip = 1 + strlen (relay->service->name);

  if (path.size <= skip)
    return (gp_http_text_t){ "/", 1 };
  return (gp_http_text_t){ path.base + skip, path.size - skip };
}

static void
send_request (gp_relay_t *relay, gp_time_t now)
{
  gp_http_header_t headers[GP_HEADERS_MAX];
  gp_wire_headers_t wire;
  char kind[NAME_SIZE];
  char team[NAME_SIZE];
  char *method;
  char *path;
  gp_http_text_t text;
  gp_http_text_t body = gp_http_exchange_body (relay->exchange);
  Gp__Wire__Request request = GP__WIRE__REQUEST__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (REQUEST, request, &request);

  gp_wire_headers_from_http (
      &wire, headers,
      gp_http_exchange_headers (relay->exchange, headers, GP_HEADERS_MAX));
  kind_name (relay, kind, sizeof kind);
  copy_text (team, sizeof team,
             gp_http_exchange_header (relay->exchange, "galenapier-team"));
  text = gp_http_exchange_method (relay->exchange);
  method = g_strndup (text.base, text.size);
  text = upstream_path (relay);
  path = g_strndup (text.base, text.size);
  request.id = relay->handle;
  request.service = relay->service->name;
  request.kind = kind;
  request.team = team;
  request.work_class = relay->work_class;
  request.idempotent = relay->idempotent;
  request.remaining_us = (uint64_t)MAX (relay->deadline - now, 0);
  request.method = method;
  request.path = path;
  request.headers = wire.pointers;
  request.n_headers = wire.count;
  request.body_size = body.size;
  request.body.data = (uint8_t *)body.base;
  request.body.len = MIN (body.size, GP_PART_SIZE);
  request.guard_incarnation = relay->target->session->incarnation;
  relay->body_sent = request.body.len;
  gp_session_send (relay->target->session, &envelope);
  g_free (method);
  g_free (path);
  send_body (relay);
}

/* Tries.  */

static void
fill_capacity (const gp_relay_t *relay, gp_retry_input_t *input)
{
  const gp_router_t *router = &relay->service->router;
  gp_time_t latency = gp_router_latency (router);

  input->expected_us = latency;
  input->wait_us = gp_router_wait (router);
  input->interval_us = latency / (gp_time_t)MAX (router->total_slots, 1);
}

/* The current try has ended with VERDICT; go on or answer.  */
static void
decide (gp_relay_t *relay, Gp__Wire__Verdict verdict, Gp__Wire__Reason reason)
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

  end_try (relay);
  if (relay->exchange == NULL)
    {
      end_key (relay, verdict);
      relay_free (relay);
      return;
    }
  input.candidate_left
      = gp_router_has_candidate (&relay->service->router, &relay->route);
  fill_capacity (relay, &input);
  decision = gp_retry_decide (&relay->service->retry, &input, now);
  switch (decision.kind)
    {
    case GP_RETRY_AGAIN:
      dispatch (relay);
      break;
    case GP_RETRY_REFUSE:
      fail_relay (relay, decision.u.refuse.verdict, decision.u.refuse.reason,
                  decision.u.refuse.return_at == GP_TIME_NEVER
                      ? -1
                      : MAX (decision.u.refuse.return_at - now, 0));
      break;
    case GP_RETRY_ANSWER:
      break;
    }
}

static void
dispatch (gp_relay_t *relay)
{
  gp_relays_t *relays = relay->relays;
  gp_time_t now = gp_loop_now (relays->loop);
  gp_candidate_t *candidate = gp_router_pick (
      &relay->service->router, &relay->route, relays->rand, now);
  gp_target_t *target;

  if (candidate == NULL)
    {
      decide (relay, GP__WIRE__VERDICT__VERDICT_NOT_RUN,
              GP__WIRE__REASON__REASON_NO_CANDIDATE);
      return;
    }
  target = candidate->data;
  relay->target = target;
  relay->handle = gp_idpool_add (&relays->tries, relay);
  relay->sent_at = now;
  relay->attempts++;
  if (relay->route.n_tried < GP_ROUTER_MAX_TRIED)
    relay->route.tried[relay->route.n_tried++] = candidate;
  gp_list_push_back (&target->relays, &relay->link);
  gp_routes_sent (relays->routes, target);
  gp_counter_add (&tries_sent, 1);
  send_request (relay, now);
}

/* Requests.  */

/* Whether the verdict on a keyed request is wanted without its caller.  */
static bool
awaits_outcome (const gp_relay_t *relay)
{
  return relay->keyed != NULL && relay->target != NULL && !relay->streaming
         && relay->body_sent == relay->body_size;
}

static void
on_gone (void *data)
{
  gp_relay_t *relay = data;

  gp_counter_add (&callers_gone, 1);
  relay->exchange = NULL;
  if (awaits_outcome (relay))
    return;
  if (relay->target != NULL)
    send_cancel (relay);
  relay_free (relay);
}

static void
send_next_part (gp_relay_t *relay)
{
  bool final = relay->last_received;

  if (relay->part_in_flight || (relay->pending->len == 0 && !final))
    return;
  relay->part_in_flight = true;
  relay->in_flight_size = relay->pending->len;
  set_wake (relay, gp_loop_now (relay->relays->loop) + STALL_TIMEOUT);
  gp_http_exchange_part (relay->exchange, relay->pending->data,
                         relay->pending->len, final);
  if (final)
    {
      gp_counter_add (&answers_ran, 1);
      relay_free (relay);
      return;
    }
  g_byte_array_set_size (relay->pending, 0);
}

static void
on_proceed (void *data)
{
  gp_relay_t *relay = data;

  relay->part_in_flight = false;
  if (relay->target != NULL && !relay->last_received)
    send_credit (relay, relay->in_flight_size);
  send_next_part (relay);
}

static bool
method_is_idempotent (gp_http_text_t method)
{
  return gp_text_equal (method, "GET") || gp_text_equal (method, "HEAD")
         || gp_text_equal (method, "PUT") || gp_text_equal (method, "DELETE")
         || gp_text_equal (method, "OPTIONS");
}

/* The first segment of the path.  */
static bool
service_name (const gp_http_exchange_t *exchange, char *name, size_t size)
{
  gp_http_text_t path = gp_http_exchange_path (exchange);
  const char *start = path.base + 1;
  size_t left = path.size - 1;
  size_t length = 0;

  if (path.size < 2 || path.base[0] != '/')
    return false;
  while (length < left && start[length] != '/' && start[length] != '?')
    length++;
  if (length == 0 || length >= size)
    return false;
  memcpy (name, start, length);
  name[length] = '\0';
  return true;
}

static const gp_document_kind_t *
find_policy (const gp_relay_t *relay)
{
  const gp_document_t *document = relay->relays->document;
  const gp_document_service_t *service = NULL;
  gp_http_text_t path = upstream_path (relay);

  if (document != NULL)
    service = gp_document_find_service (document, relay->service->name);
  if (service == NULL)
    return NULL;
  return gp_document_find_kind (service, path.base, path.size);
}

static gp_time_t
request_timeout (const gp_relay_t *relay, const gp_document_kind_t *kind)
{
  gp_http_text_t asked
      = gp_http_exchange_header (relay->exchange, "galenapier-timeout-ms");
  gp_time_t timeout = DEFAULT_TIMEOUT;

  if (kind != NULL && kind->timeout_ms > 0)
    timeout = kind->timeout_ms * GP_MSEC;
  timeout = gp_text_number (asked, timeout / GP_MSEC) * GP_MSEC;
  return CLAMP (timeout, GP_MSEC, MAX_TIMEOUT);
}

/* Copies what it needs: the document may change before the answer.  */
static void
set_policy (gp_relay_t *relay)
{
  const gp_document_kind_t *kind = find_policy (relay);

  relay->work_class = GP__WIRE__WORK_CLASS__WORK_CLASS_LATENCY_CRITICAL;
  relay->idempotent
      = method_is_idempotent (gp_http_exchange_method (relay->exchange));
  if (kind != NULL)
    {
      relay->kind = g_strdup (kind->name);
      relay->idempotent = kind->idempotent;
    }
  if (kind != NULL && kind->work_class == GP_DOCUMENT_BATCH)
    relay->work_class = GP__WIRE__WORK_CLASS__WORK_CLASS_BATCH;
  relay->route.may_probe = relay->idempotent;
  relay->deadline
      = gp_loop_now (relay->relays->loop) + request_timeout (relay, kind);
}

static gp_relay_t *
relay_new (gp_relays_t *relays, gp_http_exchange_t *exchange,
           gp_service_t *service)
{
  gp_relay_t *relay = g_new0 (gp_relay_t, 1);

  relay->relays = relays;
  relay->exchange = exchange;
  relay->service = service;
  relay->id = ++relays->next_id;
  relay->pending = g_byte_array_new ();
  gp_list_init (&relay->link);
  relay->body_size = gp_http_exchange_body (exchange).size;
  set_policy (relay);
  relay->wake_at = relay->deadline + ANSWER_GRACE;
  gp_heap_insert (&relays->deadlines, &relay->node);
  relays->open++;
  gp_counter_set (&relays_open, (int64_t)relays->open);
  gp_http_exchange_watch (exchange, on_gone, on_proceed, relay);
  return relay;
}

/* The verdict on a key.  */
static void
on_key_decided (const gp_keys_decision_t *decision, void *data)
{
  gp_relay_t *relay = data;

  if (decision->verdict == GP_KEYS_RUN)
    {
      dispatch (relay);
      return;
    }
  relay->keyed = NULL;
  if (gp_keys_answer (relay->exchange, decision))
    relay_free (relay);
  else if (decision->verdict == GP_KEYS_UNKNOWN)
    fail_relay (relay, GP__WIRE__VERDICT__VERDICT_UNKNOWN,
                GP__WIRE__REASON__REASON_UPSTREAM, -1);
  else if (decision->verdict == GP_KEYS_LATE)
    fail_relay (relay, GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                GP__WIRE__REASON__REASON_DEADLINE, LOG_RETRY);
  else
    fail_relay (relay, GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                GP__WIRE__REASON__REASON_LOG, LOG_RETRY);
}

/* Ask for the right to run a keyed request.  */
static void
begin_keyed (gp_relay_t *relay, gp_http_text_t key)
{
  gp_http_exchange_t *exchange = relay->exchange;
  gp_http_text_t method = gp_http_exchange_method (exchange);
  gp_http_text_t path = gp_http_exchange_path (exchange);
  gp_http_text_t body = gp_http_exchange_body (exchange);
  char team[NAME_SIZE];
  gp_keys_request_t request
      = { .id = relay->id, .team = team, .service = relay->service->name };

  copy_text (team, sizeof team,
             gp_http_exchange_header (exchange, "galenapier-team"));
  request.key = g_bytes_new (key.base, key.size);
  request.request = gp_keys_hash (method.base, method.size, path.base,
                                  path.size, body.base, body.size);
  relay->keyed = gp_keys_begin (relay->relays->keys, &request, relay->deadline,
                                on_key_decided, relay);
  g_bytes_unref (request.key);
}

/* A request that must not run twice is run under its key, if it has one.  */
static void
start_relay (gp_relay_t *relay)
{
  gp_http_text_t key
      = gp_http_exchange_header (relay->exchange, "idempotency-key");

  if (relay->relays->keys != NULL && !relay->idempotent && key.size > 0)
    begin_keyed (relay, key);
  else
    dispatch (relay);
}

void
gp_relays_on_request (gp_http_exchange_t *exchange, void *data)
{
  gp_relays_t *relays = data;
  gp_service_t *service = NULL;
  char name[NAME_SIZE];
  gp_relay_t *relay;

  gp_counter_add (&requests, 1);
  if (service_name (exchange, name, sizeof name))
    service = gp_routes_find (relays->routes, name);
  if (service == NULL)
    {
      answer_failure (exchange, GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                      GP__WIRE__REASON__REASON_NO_SUCH_SERVICE, -1);
      return;
    }
  if (relays->open >= relays->max_open)
    {
      answer_failure (exchange, GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                      GP__WIRE__REASON__REASON_QUEUE_FULL, GP_SEC);
      return;
    }
  relay = relay_new (relays, exchange, service);
  gp_retry_request (&service->retry);
  arm_timer (relays);
  start_relay (relay);
}

/* Messages from guards.  */

static gp_relay_t *
find_relay (gp_relays_t *relays, const gp_session_t *session, uint64_t handle)
{
  gp_relay_t *relay = gp_idpool_get (&relays->tries, handle);

  if (relay == NULL || relay->target->session != session)
    return NULL;
  return relay;
}

/* Failures that tell of a faulty executor, not of a busy one.  */
static bool
is_fault (const Gp__Wire__Answer *answer)
{
  if (answer->verdict == GP__WIRE__VERDICT__VERDICT_RAN)
    return answer->status >= 500;
  return answer->reason == GP__WIRE__REASON__REASON_CONNECT
         || answer->reason == GP__WIRE__REASON__REASON_UPSTREAM;
}

static void
record (gp_relay_t *relay, const Gp__Wire__Answer *answer)
{
  gp_routes_t *routes = relay->relays->routes;
  bool ran = answer->verdict == GP__WIRE__VERDICT__VERDICT_RAN;

  if (answer->load != NULL)
    gp_routes_report (routes, relay->target, answer->load);
  if (ran || is_fault (answer))
    gp_routes_record (routes, relay->target, !is_fault (answer),
                      gp_loop_now (relay->relays->loop) - relay->sent_at);
}

static void
start_streaming (gp_relay_t *relay, const Gp__Wire__Answer *answer)
{
  gp_http_header_t headers[GP_HEADERS_MAX + EXTRA_HEADERS];
  size_t count = answer_headers (answer, headers);

  if (relay->exchange == NULL)
    {
      send_cancel (relay); /* that it ran is all that is wanted */
      relay_free (relay);
      return;
    }
  relay->streaming = true;
  set_wake (relay, gp_loop_now (relay->relays->loop) + STALL_TIMEOUT);
  gp_http_exchange_start (relay->exchange, (int)answer->status, headers, count,
                          answer->content_length);
  g_byte_array_append (relay->pending, answer->data.data,
                       (guint)answer->data.len);
  send_next_part (relay);
}

void
gp_relays_on_answer (gp_relays_t *relays, gp_session_t *session,
                     const Gp__Wire__Answer *answer)
{
  gp_relay_t *relay = find_relay (relays, session, answer->id);

  if (relay == NULL || relay->streaming)
    return;
  record (relay, answer);
  if (answer->verdict != GP__WIRE__VERDICT__VERDICT_RAN)
    {
      decide (relay, answer->verdict, answer->reason);
      return;
    }
  relay->head_received = true;
  relay->last_received = answer->last;
  if (relay->keyed != NULL)
    gp_keyed_keep_head (relay->keyed, answer);
  if (answer->last)
    answer_whole (relay, answer);
  else
    start_streaming (relay, answer);
}

void
gp_relays_on_part (gp_relays_t *relays, gp_session_t *session,
                   const Gp__Wire__Part *part)
{
  gp_relay_t *relay = find_relay (relays, session, part->id);

  if (relay == NULL || !relay->streaming)
    return;
  g_byte_array_append (relay->pending, part->data.data, (guint)part->data.len);
  if (relay->keyed != NULL)
    gp_keyed_keep_part (relay->keyed, part->data.data, part->data.len);
  relay->last_received = part->last;
  if (part->last)
    end_try (relay);
  send_next_part (relay);
}

void
gp_relays_on_broken (gp_relays_t *relays, gp_session_t *session,
                     const Gp__Wire__Broken *broken)
{
  gp_relay_t *relay = find_relay (relays, session, broken->id);

  if (relay != NULL && relay->streaming)
    cut_answer (relay);
}

void
gp_relays_on_drain (gp_relays_t *relays, gp_target_t *target)
{
  (void)relays;
  GP_LIST_FOREACH (pos, &target->relays)
  {
    gp_relay_t *relay = GP_CONTAINER_OF (pos, gp_relay_t, link);

    if (relay->exchange != NULL && !relay->streaming)
      send_body (relay);
  }
}

/* What the loss of the guard says of a request: a body that was not sent
   whole was never submitted.  */
static Gp__Wire__Verdict
verdict_of_loss (const gp_relay_t *relay)
{
  bool sent = relay->attempts > 0 && relay->body_sent == relay->body_size;

  return sent ? GP__WIRE__VERDICT__VERDICT_UNKNOWN
              : GP__WIRE__VERDICT__VERDICT_NOT_RUN;
}

void
gp_relays_on_closed (gp_relays_t *relays, gp_target_t *target)
{
  (void)relays;
  GP_LIST_FOREACH_SAFE (pos, &target->relays)
  {
    gp_relay_t *relay = GP_CONTAINER_OF (pos, gp_relay_t, link);

    if (relay->streaming)
      cut_answer (relay);
    else
      decide (relay, verdict_of_loss (relay),
              GP__WIRE__REASON__REASON_UPSTREAM);
  }
}

/* Deadlines.  */

static void
expire (gp_relay_t *relay)
{
  if (relay->target != NULL)
    send_cancel (relay);
  if (relay->streaming)
    cut_answer (relay);
  else
    fail_relay (relay, verdict_of_loss (relay),
                GP__WIRE__REASON__REASON_DEADLINE, -1);
}

/* The first relay whose time has come, taken out of the heap, or NULL.  */
static gp_relay_t *
take_expired (gp_relays_t *relays, gp_time_t now)
{
  gp_heap_node_t *first = gp_heap_first (&relays->deadlines);
  gp_relay_t *relay;

  if (first == NULL)
    return NULL;
  relay = GP_CONTAINER_OF (first, gp_relay_t, node);
  if (relay->wake_at > now)
    return NULL;
  gp_heap_pop (&relays->deadlines);
  relay->expired = true;
  return relay;
}

static void
on_timer (gp_timer_t *timer, void *data)
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
                GRand *rand, size_t max_open)
{
  *relays = (gp_relays_t){
    .loop = loop, .routes = routes, .rand = rand, .max_open = max_open
  };
  gp_idpool_init (&relays->tries);
  gp_heap_init (&relays->deadlines, wakes_before);
  gp_timer_init (&relays->timer, loop, on_timer, relays);
  gp_counter_register (&requests);
  gp_counter_register (&tries_sent);
  gp_counter_register (&answers_ran);
  gp_counter_register (&answers_not_run);
  gp_counter_register (&answers_unknown);
  gp_counter_register (&answers_cut);
  gp_counter_register (&callers_gone);
  gp_counter_register (&relays_open);
}

void
gp_relays_finish (gp_relays_t *relays)
{
  gp_timer_finish (&relays->timer);
  gp_idpool_finish (&relays->tries);
}

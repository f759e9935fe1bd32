/* Sends answers to callers.

   An answer that arrives in one message is forwarded at once.  A longer one
   is forwarded in parts, each after the previous one has been sent to the
   caller, and the guard gets credit for the bytes sent.  So an entry buffers
   at most one window of each answer, however slow its reader is.  */

#include "daemon/relay_private.h"

#include <jansson.h>
#include <string.h>

#include "base/counters.h"
#include "daemon/text.h"

#define EXTRA_HEADERS 3

static gp_counter_t answers_ran
    = GP_COUNTER ("entry_answers_ran_total", "Answers passed on.");
static gp_counter_t answers_not_run = GP_COUNTER (
    "entry_answers_not_run_total", "Requests answered as not run.");
static gp_counter_t answers_unknown = GP_COUNTER (
    "entry_answers_unknown_total", "Requests answered as unknown.");
static gp_counter_t answers_cut
    = GP_COUNTER ("entry_answers_cut_total", "Answers that ended early.");

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

/* Writes the external name of REASON, such as "queue-full" for
   REASON_QUEUE_FULL.  */
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

/* Answers to the caller.  */

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

void
gp_relay_answer_failure (gp_http_exchange_t *exchange,
                         Gp__Wire__Verdict verdict, Gp__Wire__Reason reason,
                         gp_time_t retry_after)
{
  char reason_text[GP_RELAY_NAME_SIZE];
  char seconds[24];
  char *body;
  gp_http_header_t headers[4];
  size_t count = 0;

  reason_name (reason, reason_text, sizeof reason_text);
  body = failure_body (verdict, reason_text, retry_after);
  headers[count++] = gp_http_header_make ("content-type", "application/json");
  headers[count++]
      = gp_http_header_make ("galenapier-verdict", verdict_name (verdict));
  headers[count++] = gp_http_header_make ("galenapier-reason", reason_text);
  if (retry_after >= 0)
    {
      g_snprintf (seconds, sizeof seconds, "%lld",
                  (long long)((retry_after + GP_SEC - 1) / GP_SEC));
      headers[count++] = gp_http_header_make ("retry-after", seconds);
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
add_failure_event (const gp_relay_t *relay, Gp__Wire__Verdict verdict,
                   Gp__Wire__Reason reason)
{
  gp_timeline_t *timeline = relay->relays->timeline;
  bool refused = verdict == GP__WIRE__VERDICT__VERDICT_NOT_RUN;
  gp_timeline_subject_t subject = { .request = relay->id };
  char text[GP_RELAY_NAME_SIZE];

  if (timeline == NULL)
    return;
  reason_name (reason, text, sizeof text);
  gp_timeline_append (timeline,
                      refused ? GP_TIMELINE_REQUEST_REFUSED
                              : GP_TIMELINE_REQUEST_UNKNOWN,
                      &subject, text, gp_time_wall ());
}

void
gp_relay_fail (gp_relay_t *relay, Gp__Wire__Verdict verdict,
               Gp__Wire__Reason reason, gp_time_t retry_after)
{
  add_failure_event (relay, verdict, reason);
  if (relay->exchange != NULL)
    gp_relay_answer_failure (relay->exchange, verdict, reason, retry_after);
  gp_relay_record_outcome (relay, verdict);
  gp_relay_free (relay);
}

static size_t
answer_headers (const Gp__Wire__Answer *answer, gp_http_header_t *headers)
{
  size_t count = gp_http_headers_from_wire (
      headers, GP_HEADERS_MAX, answer->headers, answer->n_headers);

  headers[count++] = gp_http_header_make ("galenapier-verdict", "ran");
  return count;
}

void
gp_relay_answer (gp_relay_t *relay, const Gp__Wire__Answer *answer)
{
  gp_http_header_t headers[GP_HEADERS_MAX + EXTRA_HEADERS];
  size_t count = answer_headers (answer, headers);

  gp_counter_add (&answers_ran, 1);
  if (relay->exchange != NULL)
    gp_http_exchange_answer (relay->exchange, (int)answer->status, headers,
                             count, answer->data.data, answer->data.len);
  gp_relay_free (relay);
}

/* Streamed answers.  */

static void
restart_stall_timeout (gp_relay_t *relay)
{
  gp_relays_t *relays = relay->relays;

  gp_relay_set_timeout (relay,
                        gp_loop_now (relays->loop) + relays->stall_timeout);
}

void
gp_relay_send_next_part (gp_relay_t *relay)
{
  size_t size = MIN (relay->pending->len, GP_PART_SIZE);
  bool final = relay->last_received && size == relay->pending->len;

  if (relay->part_in_flight || (size == 0 && !final))
    return;
  relay->part_in_flight = true;
  relay->in_flight_size = size;
  restart_stall_timeout (relay);
  gp_http_exchange_part (relay->exchange, relay->pending->data, size, final);
  if (final)
    {
      gp_counter_add (&answers_ran, 1);
      gp_relay_free (relay);
      return;
    }
  g_byte_array_remove_range (relay->pending, 0, (guint)size);
}

void
gp_relay_on_part_sent (void *data)
{
  gp_relay_t *relay = data;

  relay->part_in_flight = false;
  restart_stall_timeout (relay);
  if (relay->target != NULL && !relay->last_received)
    gp_relay_send_credit (relay, relay->in_flight_size);
  gp_relay_send_next_part (relay);
}

void
gp_relay_start_stream (gp_relay_t *relay, const Gp__Wire__Answer *answer)
{
  gp_http_header_t headers[GP_HEADERS_MAX + EXTRA_HEADERS];
  size_t count = answer_headers (answer, headers);

  if (relay->exchange == NULL)
    {
      gp_relay_send_cancel (relay); /* the body has no reader */
      gp_relay_free (relay);
      return;
    }
  relay->streaming = true;
  relay->pending = g_byte_array_new ();
  restart_stall_timeout (relay);
  gp_http_exchange_start (relay->exchange, (int)answer->status, headers, count,
                          answer->content_length);
  g_byte_array_append (relay->pending, answer->data.data,
                       (guint)answer->data.len);
  gp_relay_send_next_part (relay);
}

void
gp_relay_abort_stream (gp_relay_t *relay)
{
  gp_counter_add (&answers_cut, 1);
  gp_http_exchange_abort (relay->exchange);
  gp_relay_record_outcome (relay, GP__WIRE__VERDICT__VERDICT_UNKNOWN);
  gp_relay_free (relay);
}

void
gp_relay_register_counters (void)
{
  gp_counter_register (&answers_ran);
  gp_counter_register (&answers_not_run);
  gp_counter_register (&answers_unknown);
  gp_counter_register (&answers_cut);
}

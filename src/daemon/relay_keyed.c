/* Relays of requests with an idempotency key; see daemon/keys.h.  */

#include "daemon/relay_private.h"

#include <string.h>

#define LOG_RETRY_AFTER (1 * GP_SEC)

/* The verdict on a relay that ends without one from its guard.  */
static Gp__Wire__Verdict
verdict_from_progress (const gp_relay_t *relay)
{
  if (relay->head_received)
    return GP__WIRE__VERDICT__VERDICT_RAN;
  return relay->attempts > 0 ? GP__WIRE__VERDICT__VERDICT_UNKNOWN
                             : GP__WIRE__VERDICT__VERDICT_NOT_RUN;
}

void
gp_relay_record_outcome (gp_relay_t *relay, Gp__Wire__Verdict verdict)
{
  if (relay->keyed == NULL)
    return;
  if (verdict == GP__WIRE__VERDICT__VERDICT_UNSPECIFIED)
    verdict = verdict_from_progress (relay);
  if (!relay->last_received)
    gp_keyed_drop_answer (relay->keyed);
  gp_keyed_end (g_steal_pointer (&relay->keyed), verdict);
}

bool
gp_relay_must_await_outcome (const gp_relay_t *relay)
{
  return relay->keyed != NULL && relay->target != NULL && !relay->streaming
         && relay->body_sent == relay->body_size;
}

static void
on_decided (const gp_keys_decision_t *decision, void *data)
{
  gp_relay_t *relay = data;

  if (decision->verdict == GP_KEYS_RUN)
    {
      gp_relay_dispatch (relay);
      return;
    }
  relay->keyed = NULL;
  if (gp_keys_answer (relay->exchange, decision))
    gp_relay_free (relay);
  else if (decision->verdict == GP_KEYS_UNKNOWN)
    gp_relay_fail (relay, GP__WIRE__VERDICT__VERDICT_UNKNOWN,
                   GP__WIRE__REASON__REASON_UPSTREAM, -1);
  else if (decision->verdict == GP_KEYS_LATE)
    gp_relay_fail (relay, GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                   GP__WIRE__REASON__REASON_DEADLINE, LOG_RETRY_AFTER);
  else
    gp_relay_fail (relay, GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                   GP__WIRE__REASON__REASON_LOG, LOG_RETRY_AFTER);
}

/* Requests a decision on whether the request may run under KEY; on_decided
   gets it.  */
static void
begin_keyed (gp_relay_t *relay, gp_http_text_t key)
{
  gp_http_exchange_t *exchange = relay->exchange;
  gp_http_text_t method = gp_http_exchange_method (exchange);
  gp_http_text_t path = gp_http_exchange_path (exchange);
  gp_http_text_t body = gp_http_exchange_body (exchange);
  gp_http_text_t team = gp_http_exchange_header (exchange, "galenapier-team");
  g_autofree char *name = g_strndup (team.base, team.size);
  g_autoptr (GBytes) bytes = g_bytes_new (key.base, key.size);
  gp_keys_request_t request = { .id = relay->id,
                                .team = name != NULL ? name : "",
                                .service = relay->service->name,
                                .key = bytes };

  request.request = gp_keys_hash (method.base, method.size, path.base,
                                  path.size, body.base, body.size);
  relay->keyed = gp_keys_begin (relay->relays->keys, &request, relay->deadline,
                                on_decided, relay);
}

void
gp_relay_start (gp_relay_t *relay)
{
  gp_http_text_t key
      = gp_http_exchange_header (relay->exchange, "idempotency-key");

  if (relay->relays->keys != NULL && !relay->idempotent && key.size > 0)
    begin_keyed (relay, key);
  else
    gp_relay_dispatch (relay);
}

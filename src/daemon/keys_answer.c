/* Answers to requests whose idempotency key was used before.  */

#include <jansson.h>
#include <string.h>

#include "daemon/keys.h"
#include "daemon/text.h"

#define EXTRA_HEADERS 4
#define BUSY_RETRY_S 1

/* Sends the answer of the earlier request again.  */
static void
replay (gp_http_exchange_t *exchange, const gp_keys_decision_t *decision)
{
  gp_http_header_t headers[GP_HEADERS_MAX + EXTRA_HEADERS];
  Gp__Wire__Answer *answer = NULL;
  size_t count = 0;

  if (decision->answer_size > 0)
    answer = gp__wire__answer__unpack (NULL, decision->answer_size,
                                       decision->answer);
  if (answer != NULL)
    count = gp_http_headers_from_wire (headers, GP_HEADERS_MAX,
                                       answer->headers, answer->n_headers);
  else
    headers[count++]
        = gp_http_header_make ("galenapier-reason", "answer-not-kept");
  headers[count++] = gp_http_header_make ("galenapier-verdict", "ran");
  headers[count++] = gp_http_header_make ("galenapier-replayed", "true");
  gp_http_exchange_answer (exchange, (int)decision->status, headers, count,
                           answer != NULL ? answer->data.data : NULL,
                           answer != NULL ? answer->data.len : 0);
  if (answer != NULL)
    gp__wire__answer__free_unpacked (answer, NULL);
}

static void
answer_failure (gp_http_exchange_t *exchange, int status, const char *verdict,
                const char *reason, const char *message, json_int_t retry_s)
{
  json_t *body = json_pack ("{s:s, s:s, s:s}", "verdict", verdict, "reason",
                            reason, "message", message);
  gp_http_header_t headers[EXTRA_HEADERS];
  char seconds[24];
  size_t count = 0;
  char *text;

  headers[count++] = gp_http_header_make ("content-type", "application/json");
  headers[count++] = gp_http_header_make ("galenapier-verdict", verdict);
  headers[count++] = gp_http_header_make ("galenapier-reason", reason);
  if (retry_s > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%d", (int)retry_s);
      headers[count++] = gp_http_header_make ("retry-after", seconds);
      json_object_set_new (body, "retry_after_ms",
                           json_integer (retry_s * 1000));
    }
  text = json_dumps (body, JSON_COMPACT);
  gp_http_exchange_answer (exchange, status, headers, count, text,
                           strlen (text));
  free (text);
  json_decref (body);
}

bool
gp_keys_answer (gp_http_exchange_t *exchange,
                const gp_keys_decision_t *decision)
{
  switch (decision->verdict)
    {
    case GP_KEYS_REPLAY:
      replay (exchange, decision);
      return true;
    case GP_KEYS_BUSY:
      answer_failure (exchange, 409, "unknown", "key-in-progress",
                      "A request with this key is in progress.", BUSY_RETRY_S);
      return true;
    case GP_KEYS_MISMATCH:
      answer_failure (exchange, 422, "not-run", "key-mismatch",
                      "This key came with another request before.", 0);
      return true;
    case GP_KEYS_RUN:
    case GP_KEYS_UNKNOWN:
    case GP_KEYS_UNAVAILABLE:
    case GP_KEYS_LATE:
      return false;
    }
  return false;
}

/* HTTP API for operators: sign-in, routing and helpers for handlers.  */

#include "daemon/operators.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <string.h>

#include "base/counters.h"
#include "base/log.h"
#include "daemon/console.h"
#include "daemon/entry.h"
#include "daemon/text.h"

#define BEARER "Bearer "
#define JSON_TYPE "application/json"

/* Failed sign-ins allowed per address: burst, and rate per second.  */
#define FAILURES_BURST 10
#define FAILURES_PER_S 0.5
/* Limit of addresses with a limiter of their own.  When it is reached, those
   whose limiter has refilled are removed.  */
#define SENDERS_MAX 1024

static gp_counter_t requests = GP_COUNTER (
    "operators_requests_total", "Requests of operators that were let in.");
static gp_counter_t failures
    = GP_COUNTER ("operators_sign_in_failures_total",
                  "Requests without the token of operators.");
static gp_counter_t limited
    = GP_COUNTER ("operators_sign_in_limited_total",
                  "Requests refused after too many failed sign-ins.");

static const gp_operators_route_t *const tables[] = {
  gp_operators_status_routes, gp_operators_timeline_routes,
  gp_operators_check_routes,  gp_operators_config_routes,
  gp_operators_tasks_routes,
};

/* Answers.  */

void
gp_operators_answer_text (gp_http_exchange_t *exchange, int status,
                          const char *type, const char *text, size_t size)
{
  gp_http_header_t headers[]
      = { gp_http_header_make ("content-type", type),
          gp_http_header_make ("cache-control", "no-store"),
          gp_http_header_make ("x-content-type-options", "nosniff") };

  gp_http_exchange_answer (exchange, status, headers, G_N_ELEMENTS (headers),
                           text, size);
}

void
gp_operators_answer_json (gp_http_exchange_t *exchange, int status,
                          json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  gp_operators_answer_text (exchange, status, JSON_TYPE, text, strlen (text));
  free (text);
  json_decref (json);
}

void
gp_operators_answer_error (gp_http_exchange_t *exchange, int status,
                           const char *message)
{
  gp_operators_answer_json (exchange, status,
                            json_pack ("{s:s}", "message", message));
}

/* Queries and bodies.  */

/* Remove the part of TEXT up to MARK, with MARK, and return it without
   MARK.  */
static gp_http_text_t
split_off_until (gp_http_text_t *text, char mark)
{
  const char *end = memchr (text->base, mark, text->size);
  gp_http_text_t part = *text;

  if (end == NULL)
    {
      *text = (gp_http_text_t){ text->base + text->size, 0 };
      return part;
    }
  part.size = (size_t)(end - text->base);
  text->base = end + 1;
  text->size -= part.size + 1;
  return part;
}

char *
gp_operators_query_string (const gp_operators_request_t *request,
                           const char *name)
{
  gp_http_text_t rest = request->query;

  while (rest.size > 0)
    {
      gp_http_text_t value = split_off_until (&rest, '&');
      gp_http_text_t key = split_off_until (&value, '=');

      if (gp_http_text_equal (key, name))
        return g_uri_unescape_segment (value.base, value.base + value.size,
                                       NULL);
    }
  return NULL;
}

bool
gp_operators_query_number (const gp_operators_request_t *request,
                           const char *name, uint64_t fallback,
                           uint64_t *number)
{
  char *text = gp_operators_query_string (request, name);
  guint64 parsed = fallback;
  bool good
      = text == NULL
        || g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, &parsed, NULL);

  g_free (text);
  *number = parsed;
  return good;
}

json_t *
gp_operators_parse_body (const gp_operators_request_t *request)
{
  gp_http_text_t body = gp_http_exchange_body (request->exchange);
  json_error_t error;
  json_t *json = json_loadb (body.base != NULL ? body.base : "", body.size,
                             JSON_REJECT_DUPLICATES, &error);
  char *message;

  if (json_is_object (json))
    return json;
  message = g_strdup_printf ("the body must be a JSON object%s%s",
                             json == NULL ? ": " : "",
                             json == NULL ? error.text : "");
  gp_operators_answer_error (request->exchange, 400, message);
  g_free (message);
  json_decref (json);
  return NULL;
}

/* Sign-in.  */

/* Compare digests in constant time, so that the time reveals neither where
   the tokens differ nor their length.  */
static bool
is_token (const char *token, gp_http_text_t given)
{
  uint8_t own[SHA256_DIGEST_LENGTH];
  uint8_t other[SHA256_DIGEST_LENGTH];

  SHA256 ((const uint8_t *)token, strlen (token), own);
  SHA256 ((const uint8_t *)given.base, given.size, other);
  return CRYPTO_memcmp (own, other, sizeof own) == 0;
}

static bool
is_authorized (const gp_entry_t *entry, const gp_http_exchange_t *exchange)
{
  const char *token = entry->settings->entry->operator_token;
  gp_http_text_t given = gp_http_exchange_header (exchange, "authorization");
  size_t prefix = strlen (BEARER);

  if (token == NULL || given.base == NULL || given.size < prefix
      || memcmp (given.base, BEARER, prefix) != 0)
    return false;
  given.base += prefix;
  given.size -= prefix;
  return is_token (token, given);
}

static gboolean
has_refilled (gpointer key, gpointer value, gpointer data)
{
  const gp_time_t *now = data;

  (void)key;
  return gp_limiter_ready_at (value, FAILURES_BURST, *now) <= *now;
}

/* The limiter of the sender, or NULL if it has no recent failures.  */
static gp_limiter_t *
find_sender (gp_entry_t *entry, const char *address)
{
  return g_hash_table_lookup (entry->operators_state.senders, address);
}

/* Add a limiter for the sender.  Once the table is full, all further senders
   share the limiter of the empty address.  */
static gp_limiter_t *
add_sender (gp_entry_t *entry, const char *address, gp_time_t now)
{
  GHashTable *senders = entry->operators_state.senders;
  gp_limiter_t *limiter;

  if (g_hash_table_size (senders) >= SENDERS_MAX)
    g_hash_table_foreach_remove (senders, has_refilled, &now);
  if (g_hash_table_size (senders) >= SENDERS_MAX)
    return g_hash_table_lookup (senders, "");
  limiter = g_new (gp_limiter_t, 1);
  gp_limiter_init (limiter, FAILURES_PER_S, FAILURES_BURST);
  g_hash_table_insert (senders, g_strdup (address), limiter);
  return limiter;
}

static void
refuse_unauthenticated (gp_entry_t *entry, gp_http_exchange_t *exchange,
                        gp_limiter_t *limiter, const char *address,
                        gp_time_t now)
{
  if (limiter == NULL)
    limiter = add_sender (entry, address, now);
  gp_limiter_take (limiter, 1, now);
  gp_counter_add (&failures, 1);
  if (gp_limiter_ready_at (limiter, 1, now) > now)
    gp_log (GP_LOG_WARNING, "operators.sign-in-limited",
            GP_LOG_S ("address", address));
  gp_operators_answer_error (exchange, 401,
                             "a valid bearer token is required");
}

/* Refuse without checking the token; otherwise guessing could continue.  */
static void
refuse_limited (gp_http_exchange_t *exchange, gp_time_t wait)
{
  static const char body[]
      = "{\"message\":\"too many failed sign-ins from this address\"}";
  char seconds[24];
  gp_http_header_t headers[]
      = { gp_http_header_make ("content-type", JSON_TYPE),
          gp_http_header_make ("retry-after", seconds) };

  g_snprintf (seconds, sizeof seconds, "%lld",
              (long long)((wait + GP_SEC - 1) / GP_SEC));
  headers[1].value_size = strlen (seconds);
  gp_counter_add (&limited, 1);
  gp_http_exchange_answer (exchange, 429, headers, G_N_ELEMENTS (headers),
                           body, strlen (body));
}

/* Check the sender's limit and token.  Returns false after answering the
   request if it is refused.  */
static bool
authenticate (gp_entry_t *entry, gp_http_exchange_t *exchange)
{
  char address[GP_HTTP_ADDRESS_SIZE];
  gp_time_t now = gp_loop_now (&entry->loop);
  gp_limiter_t *limiter;
  gp_time_t ready_at;

  gp_http_exchange_address (exchange, address);
  limiter = find_sender (entry, address);
  ready_at = limiter != NULL ? gp_limiter_ready_at (limiter, 1, now) : now;
  if (ready_at > now)
    {
      refuse_limited (exchange, ready_at - now);
      return false;
    }
  if (is_authorized (entry, exchange))
    return true;
  refuse_unauthenticated (entry, exchange, limiter, address, now);
  return false;
}

/* Routes.  */

static bool
path_matches (const gp_operators_route_t *route, gp_http_text_t path,
              gp_http_text_t *tail)
{
  size_t size = strlen (route->path);

  *tail = (gp_http_text_t){ path.base + path.size, 0 };
  switch (route->match)
    {
    case GP_OPERATORS_EXACT:
      return gp_http_text_equal (path, route->path);
    case GP_OPERATORS_PREFIX:
      if (path.size <= size || memcmp (path.base, route->path, size) != 0)
        return false;
      *tail = (gp_http_text_t){ path.base + size, path.size - size };
      return true;
    }
  return false;
}

/* Find the route of a request.  PATH_KNOWN is set if the path has routes, but
   none for METHOD.  */
static const gp_operators_route_t *
find_route (gp_http_text_t method, gp_http_text_t path,
            gp_operators_request_t *request, bool *path_known)
{
  *path_known = false;
  for (size_t i = 0; i < G_N_ELEMENTS (tables); i++)
    for (const gp_operators_route_t *route = tables[i]; route->method != NULL;
         route++)
      {
        if (!path_matches (route, path, &request->tail))
          continue;
        if (gp_http_text_equal (method, route->method))
          return route;
        *path_known = true;
      }
  return NULL;
}

static void
route_request (gp_entry_t *entry, gp_http_exchange_t *exchange,
               gp_http_text_t path, gp_http_text_t query)
{
  gp_operators_request_t request
      = { .entry = entry, .exchange = exchange, .query = query };
  const gp_operators_route_t *route;
  bool path_known;

  route = find_route (gp_http_exchange_method (exchange), path, &request,
                      &path_known);
  gp_counter_add (&requests, 1);
  if (route != NULL)
    route->handle (&request);
  else if (path_known)
    gp_operators_answer_error (exchange, 405,
                               "the path does not take this method");
  else
    gp_operators_answer_error (exchange, 404, "there is no such path");
}

void
gp_operators_on_request (gp_http_exchange_t *exchange, void *data)
{
  gp_entry_t *entry = data;
  gp_http_text_t query = gp_http_exchange_path (exchange);
  gp_http_text_t path = split_off_until (&query, '?');

  if (gp_console_answer (exchange, path))
    return;
  if (authenticate (entry, exchange))
    route_request (entry, exchange, path, query);
}

void
gp_operators_init (gp_operators_t *operators)
{
  gp_limiter_t *shared = g_new (gp_limiter_t, 1);

  operators->senders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gp_limiter_init (shared, FAILURES_PER_S, FAILURES_BURST);
  g_hash_table_insert (operators->senders, g_strdup (""), shared);
  gp_counter_register (&requests);
  gp_counter_register (&failures);
  gp_counter_register (&limited);
}

void
gp_operators_finish (gp_operators_t *operators)
{
  g_hash_table_unref (operators->senders);
}

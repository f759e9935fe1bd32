/* HTTP to operators: a table of paths, behind a bearer token.  */

#include "daemon/operators.h"

#include <openssl/crypto.h>
#include <string.h>

#include "base/counters.h"
#include "daemon/entry.h"
#include "daemon/operators_config.h"
#include "daemon/text.h"

#define BEARER "Bearer "

typedef struct
{
  const char *method;
  const char *path;
  void (*answer) (gp_entry_t *entry, gp_http_exchange_t *exchange);
} route_t;

static void
answer_text (gp_http_exchange_t *exchange, int status, const char *text)
{
  gp_http_header_t type = { "content-type", strlen ("content-type"),
                            "text/plain", strlen ("text/plain") };

  gp_http_exchange_answer (exchange, status, &type, 1, text, strlen (text));
}

static void
answer_counters (gp_entry_t *entry, gp_http_exchange_t *exchange)
{
  GString *text = g_string_new (NULL);

  (void)entry;
  gp_counters_format (text);
  answer_text (exchange, 200, text->str);
  g_string_free (text, TRUE);
}

static const route_t routes[] = {
  { "GET", "/v1/counters", answer_counters },
  { "GET", "/v1/config", gp_operators_get_config },
  { "GET", "/v1/config/history", gp_operators_get_history },
  { "POST", "/v1/config", gp_operators_publish },
  { "POST", "/v1/check", gp_operators_check },
};

/* Compare in time that does not depend on where the token differs.  */
static bool
is_authorized (const gp_entry_t *entry, const gp_http_exchange_t *exchange)
{
  const char *token = entry->settings->entry->operator_token;
  gp_http_text_t given = gp_http_exchange_header (exchange, "authorization");
  size_t prefix = strlen (BEARER);

  if (token == NULL || given.base == NULL
      || given.size != prefix + strlen (token)
      || memcmp (given.base, BEARER, prefix) != 0)
    return false;
  return CRYPTO_memcmp (given.base + prefix, token, strlen (token)) == 0;
}

void
gp_operators_on_request (gp_http_exchange_t *exchange, void *data)
{
  gp_entry_t *entry = data;

  if (!is_authorized (entry, exchange))
    {
      answer_text (exchange, 401, "a valid bearer token is required\n");
      return;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    if (gp_text_equal (gp_http_exchange_path (exchange), routes[i].path)
        && gp_text_equal (gp_http_exchange_method (exchange),
                          routes[i].method))
      {
        routes[i].answer (entry, exchange);
        return;
      }
  answer_text (exchange, 404, "no such path\n");
}

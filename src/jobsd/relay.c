/* Passing calls of other entries on to the store.  */

#include "jobsd/relay.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"
#include "platform/exchange.h"

/* A call that is passed on may be a long poll of a second; beyond that as
   long as the caller itself would wait.  */
#define RELAY_TIME (2600 * GP_MSEC)
/* The platform's bound on one append, and some more.  */
#define BODY_MAX ((size_t)4 * 1024 * 1024)
#define HEADER_TIME (15 * GP_SEC)
#define CONNECTIONS 16
#define IDLE_TIME (30 * GP_SEC)

static gp_counter_t relayed_count
    = GP_COUNTER ("store_relayed_total", "Calls of peers passed on");

static gp_traffic_t peers_traffic
    = GP_TRAFFIC ("relay_peers", "calls of peers that are passed on");
static gp_traffic_t store_traffic
    = GP_TRAFFIC ("relay_store", "the same, to the store");

/* A call of a peer until its answer.  */
typedef struct
{
  gp_http_exchange_t *exchange; /* NULL: the peer has gone */
  char *method;
} passing_t;

static void
on_answer (const gp_exchange_answer_t *answer, void *data)
{
  passing_t *passing = data;
  int status = answer->status;

  /* 504 leaves open whether the store has done it.  */
  if (status == 0)
    status = answer->unsent ? 503 : 504;
  if (passing->exchange != NULL)
    gp_http_exchange_answer (passing->exchange, status, NULL, 0, answer->body,
                             answer->size);
  g_free (passing->method);
  g_free (passing);
}

static void
on_gone (void *data)
{
  passing_t *passing = data;

  passing->exchange = NULL;
}

static void
on_request (gp_http_exchange_t *exchange, void *data)
{
  gp_job_relay_t *relay = data;
  gp_time_t now = gp_loop_now (relay->loop);
  gp_http_text_t method = gp_http_exchange_method (exchange);
  gp_http_text_t path = gp_http_exchange_path (exchange);
  gp_http_text_t body = gp_http_exchange_body (exchange);
  passing_t *passing = g_new0 (passing_t, 1);
  char *path_text = g_strndup (path.base, path.size);
  gp_exchange_request_t request = { .path = path_text,
                                    .deadline = now + RELAY_TIME,
                                    .traffic = &store_traffic };

  passing->exchange = exchange;
  passing->method = g_strndup (method.base, method.size);
  request.method = passing->method;
  if (strcmp (passing->method, "POST") == 0)
    request.body = g_bytes_new (body.base, body.size);
  gp_counter_add (&relayed_count, 1);
  gp_http_exchange_watch (exchange, on_gone, NULL, passing);
  gp_exchange_start (relay->client, now, &request, on_answer, passing);
  g_free (path_text);
}

bool
gp_job_relay_init (gp_job_relay_t *relay, gp_loop_t *loop, const char *address,
                   const char *store, GError **error)
{
  const gp_http_client_options_t client = { .address = store,
                                            .max_connections = CONNECTIONS,
                                            .idle_timeout = IDLE_TIME };
  const gp_http_server_options_t server = { .address = address,
                                            .max_body_size = BODY_MAX,
                                            .header_timeout = HEADER_TIME,
                                            .traffic = &peers_traffic,
                                            .on_request = on_request,
                                            .data = relay };

  relay->loop = loop;
  gp_counter_register (&relayed_count);
  gp_traffic_register (&peers_traffic);
  gp_traffic_register (&store_traffic);
  relay->client = gp_http_client_new (loop, &client, error);
  if (relay->client == NULL)
    return false;
  relay->server = gp_http_server_new (loop, &server, error);
  return relay->server != NULL;
}

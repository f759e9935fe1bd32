/* Relaying other entries' calls to the store.  */

#include "jobsd/relay.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"

/* Timeout of a relayed call: it may be a long poll of a second, and after that
   it gets the time that the caller itself would wait.  */
#define RELAY_TIME (2600 * GP_MSEC)
/* Timeout between two parts of a response, the same as for direct calls
   (platform/store.h).  */
#define STALL_TIME (1500 * GP_MSEC)
/* The platform's limit of one append, and some more.  */
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

/* A peer's call until its response has been relayed.  */
typedef struct
{
  gp_http_exchange_t *exchange; /* NULL: the peer has disconnected */
  gp_http_call_t *call;
  bool started; /* the response headers have been relayed */
  char *method;
  char *path;
  GBytes *body;
} passing_t;

static void
passing_free (passing_t *passing)
{
  g_free (passing->method);
  g_free (passing->path);
  g_bytes_unref (passing->body);
  g_free (passing);
}

/* The content length in the response headers; -1: the body is chunked.  */
static int64_t
length_of (const gp_http_header_t *headers, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      const gp_http_text_t name = { headers[i].name, headers[i].name_size };
      const gp_http_text_t value = { headers[i].value, headers[i].value_size };

      if (gp_http_text_equal (name, "content-length"))
        return gp_http_text_number (value, -1);
    }
  return -1;
}

/* The length has to be relayed: the HTTP library ends a response without a
   length, of another status than 200, by closing the connection, which its
   reader could not distinguish from a truncated one.  The store sets the
   length of each response.  */
static void
on_head (int status, const gp_http_header_t *headers, size_t count, void *data)
{
  passing_t *passing = data;

  if (passing->exchange == NULL)
    return;
  passing->started = true;
  gp_http_exchange_start (passing->exchange, status, NULL, 0,
                          length_of (headers, count));
}

/* Parts are relayed as they arrive: the peer sees that its response makes
   progress, and the transfer time of a page is spent once, not twice.  */
static bool
on_body (const void *bytes, size_t size, void *data)
{
  passing_t *passing = data;

  if (passing->exchange == NULL)
    return true;
  gp_http_exchange_part (passing->exchange, bytes, size, false);
  return false;
}

static void
on_proceed (void *data)
{
  passing_t *passing = data;

  if (passing->call != NULL)
    gp_http_call_resume (passing->call);
}

static void
on_done (const GError *error, bool sent, void *data)
{
  passing_t *passing = data;

  passing->call = NULL;
  if (passing->exchange == NULL)
    {
      passing_free (passing);
      return;
    }
  gp_http_exchange_watch (passing->exchange, NULL, NULL, NULL);
  if (error == NULL)
    gp_http_exchange_part (passing->exchange, NULL, 0, true);
  else if (passing->started)
    gp_http_exchange_abort (passing->exchange);
  else
    /* 504 leaves open whether the store has carried the call out.  */
    gp_http_exchange_answer (passing->exchange, sent ? 504 : 503, NULL, 0,
                             NULL, 0);
  passing_free (passing);
}

/* The peer has disconnected; its call may still be carried out.  */
static void
on_gone (void *data)
{
  passing_t *passing = data;

  passing->exchange = NULL;
  if (passing->call != NULL)
    gp_http_call_resume (passing->call);
}

static void
on_request (gp_http_exchange_t *exchange, void *data)
{
  static const gp_http_call_callbacks_t callbacks
      = { on_head, on_body, on_done };
  gp_job_relay_t *relay = data;
  gp_http_text_t method = gp_http_exchange_method (exchange);
  gp_http_text_t path = gp_http_exchange_path (exchange);
  gp_http_text_t body = gp_http_exchange_body (exchange);
  passing_t *passing = g_new0 (passing_t, 1);
  gp_http_text_t type = gp_http_exchange_header (exchange, "content-type");
  const gp_http_header_t header = { .name = "content-type",
                                    .name_size = strlen ("content-type"),
                                    .value = type.base,
                                    .value_size = type.size };
  gp_http_call_request_t request
      = { .headers = &header,
          .header_count = type.base != NULL ? 1 : 0,
          .deadline = gp_loop_now (relay->loop) + RELAY_TIME,
          .stall_time = STALL_TIME,
          .traffic = &store_traffic };

  passing->exchange = exchange;
  passing->method = g_strndup (method.base, method.size);
  passing->path = g_strndup (path.base, path.size);
  passing->body = g_bytes_new (body.base, body.size);
  request.method = passing->method;
  request.path = passing->path;
  request.body = g_bytes_get_data (passing->body, &request.body_size);
  gp_counter_add (&relayed_count, 1);
  gp_http_exchange_watch (exchange, on_gone, on_proceed, passing);
  passing->call
      = gp_http_client_call (relay->client, &request, &callbacks, passing);
}

bool
gp_job_relay_init (gp_job_relay_t *relay, gp_loop_t *loop, const char *address,
                   const char *store, int64_t link_rate, GError **error)
{
  const gp_http_client_options_t client = { .address = store,
                                            .max_connections = CONNECTIONS,
                                            .idle_timeout = IDLE_TIME,
                                            .link_rate = link_rate };
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

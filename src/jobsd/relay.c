/* Relaying other entries' calls to the store.  */

#include "jobsd/relay.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"

/* Timeout of a relayed call: a long poll of a second, plus the time that the
   caller itself would wait for an answer.  */
#define RELAY_TIMEOUT (2600 * GP_MSEC)
/* Timeout between two parts of a response, the same as for direct calls
   (platform/store.h).  */
#define STALL_TIMEOUT (1500 * GP_MSEC)
/* Above the platform's limit of one append.  */
#define BODY_MAX ((size_t)4 * 1024 * 1024)
#define HEADER_TIMEOUT (15 * GP_SEC)
#define CONNECTIONS 16
/* Maximum number of calls that are relayed at the same time; a peer has up to
   ten.  A peer whose call is refused goes to another one.  */
#define OPEN_CALLS_MAX 64
#define IDLE_TIMEOUT (30 * GP_SEC)

static gp_counter_t relayed_count
    = GP_COUNTER ("store_relayed_total", "Calls of peers passed on");

static gp_counter_t refused_count
    = GP_COUNTER ("store_relay_refused_total",
                  "Calls of peers refused, as too many were in progress");

static gp_traffic_t peers_traffic
    = GP_TRAFFIC ("relay_peers", "calls of peers that are passed on");
static gp_traffic_t store_traffic
    = GP_TRAFFIC ("relay_store", "the same, to the store");

/* A peer's call until its response has been relayed.  */
typedef struct
{
  gp_job_relay_t *relay;
  gp_http_exchange_t *exchange; /* NULL: the peer has disconnected */
  gp_http_call_t *call;
  bool started; /* the response headers have been relayed */
  char *method;
  char *path;
  GBytes *body;
} relayed_call_t;

static void
relayed_call_free (relayed_call_t *relayed)
{
  relayed->relay->open_calls--;
  relayed->relay->open_bytes -= g_bytes_get_size (relayed->body);
  g_free (relayed->method);
  g_free (relayed->path);
  g_bytes_unref (relayed->body);
  g_free (relayed);
}

/* The content length in the response headers; -1: the body is chunked.  */
static int64_t
content_length_of (const gp_http_header_t *headers, size_t count)
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
  relayed_call_t *relayed = data;

  if (relayed->exchange == NULL)
    return;
  relayed->started = true;
  gp_http_exchange_start (relayed->exchange, status, NULL, 0,
                          content_length_of (headers, count));
}

/* Parts are relayed as they arrive: the peer sees that its response makes
   progress, and the transfer time of a page is spent once, not twice.  */
static bool
on_body (const void *bytes, size_t size, void *data)
{
  relayed_call_t *relayed = data;

  if (relayed->exchange == NULL)
    return true;
  gp_http_exchange_part (relayed->exchange, bytes, size, false);
  return false;
}

static void
on_proceed (void *data)
{
  relayed_call_t *relayed = data;

  if (relayed->call != NULL)
    gp_http_call_resume (relayed->call);
}

static void
on_done (const GError *error, bool sent, void *data)
{
  relayed_call_t *relayed = data;

  relayed->call = NULL;
  if (relayed->exchange == NULL)
    {
      relayed_call_free (relayed);
      return;
    }
  gp_http_exchange_watch (relayed->exchange, NULL, NULL, NULL);
  if (error == NULL)
    gp_http_exchange_part (relayed->exchange, NULL, 0, true);
  else if (relayed->started)
    gp_http_exchange_abort (relayed->exchange);
  else
    /* 504 leaves open whether the store has carried the call out.  */
    gp_http_exchange_answer (relayed->exchange, sent ? 504 : 503, NULL, 0,
                             NULL, 0);
  relayed_call_free (relayed);
}

/* The peer has disconnected; its call may still be carried out.  */
static void
on_disconnected (void *data)
{
  relayed_call_t *relayed = data;

  relayed->exchange = NULL;
  if (relayed->call != NULL)
    gp_http_call_resume (relayed->call);
}

static void
relay_request (gp_job_relay_t *relay, gp_http_exchange_t *exchange)
{
  static const gp_http_call_callbacks_t callbacks
      = { on_head, on_body, on_done };
  gp_http_text_t method = gp_http_exchange_method (exchange);
  gp_http_text_t path = gp_http_exchange_path (exchange);
  gp_http_text_t body = gp_http_exchange_body (exchange);
  relayed_call_t *relayed = g_new0 (relayed_call_t, 1);
  gp_http_text_t type = gp_http_exchange_header (exchange, "content-type");
  const gp_http_header_t header = { .name = "content-type",
                                    .name_size = strlen ("content-type"),
                                    .value = type.base,
                                    .value_size = type.size };
  gp_http_call_request_t request
      = { .headers = &header,
          .header_count = type.base != NULL ? 1 : 0,
          .deadline = gp_loop_now (relay->loop) + RELAY_TIMEOUT,
          .stall_time = STALL_TIMEOUT,
          .traffic = &store_traffic };

  relay->open_calls++;
  relay->open_bytes += body.size;
  relayed->relay = relay;
  relayed->exchange = exchange;
  relayed->method = g_strndup (method.base, method.size);
  relayed->path = g_strndup (path.base, path.size);
  relayed->body = g_bytes_new (body.base, body.size);
  request.method = relayed->method;
  request.path = relayed->path;
  request.body = g_bytes_get_data (relayed->body, &request.body_size);
  gp_counter_add (&relayed_count, 1);
  gp_http_exchange_watch (exchange, on_disconnected, on_proceed, relayed);
  relayed->call
      = gp_http_client_call (relay->client, &request, &callbacks, relayed);
}

/* A peer's batch at the collector, until the peer is answered.  */
typedef struct
{
  gp_append_collector_t *collector;
  gp_collected_t *collected;
  gp_http_exchange_t *exchange;
} shared_append_t;

static void
on_collected (const gp_platform_store_answer_t *answer, void *data)
{
  shared_append_t *append = data;

  gp_http_exchange_watch (append->exchange, NULL, NULL, NULL);
  gp_platform_store_answer_append (append->exchange, answer);
  g_free (append);
}

static void
on_sender_disconnected (void *data)
{
  shared_append_t *append = data;

  gp_append_collector_cancel (append->collector, append->collected);
  g_free (append);
}

static void
collect_append (gp_append_collector_t *collector, gp_http_exchange_t *exchange)
{
  gp_http_text_t body = gp_http_exchange_body (exchange);
  shared_append_t *append = g_new0 (shared_append_t, 1);

  append->collector = collector;
  append->exchange = exchange;
  append->collected = gp_append_collector_add (
      collector, (const uint8_t *)body.base, body.size, on_collected, append);
  if (append->collected != NULL)
    {
      gp_http_exchange_watch (exchange, on_sender_disconnected, NULL, append);
      return;
    }
  /* 503 tells the peer that nothing was appended.  */
  gp_http_exchange_answer (exchange, 503, NULL, 0, NULL, 0);
  g_free (append);
}

/* Returns whether one more call, with a body of SIZE bytes, can be relayed.
   The body is kept until the store answers, also if the peer disconnects.  */
static bool
has_room (const gp_job_relay_t *relay, size_t size)
{
  return relay->open_calls < OPEN_CALLS_MAX
         && size <= relay->max_bytes - relay->open_bytes;
}

static void
on_request (gp_http_exchange_t *exchange, void *data)
{
  gp_job_relay_t *relay = data;

  if (relay->collector != NULL
      && gp_platform_store_is_jobs_append (gp_http_exchange_method (exchange),
                                           gp_http_exchange_path (exchange)))
    collect_append (relay->collector, exchange);
  else if (!has_room (relay, gp_http_exchange_body (exchange).size))
    {
      gp_counter_add (&refused_count, 1);
      gp_http_exchange_answer (exchange, 503, NULL, 0, NULL, 0);
    }
  else
    relay_request (relay, exchange);
}

bool
gp_job_relay_init (gp_job_relay_t *relay, gp_loop_t *loop, const char *address,
                   const char *store, int64_t link_rate,
                   gp_append_collector_t *collector,
                   gp_process_limiters_t *limiters, GError **error)
{
  const gp_http_client_options_t client = { .address = store,
                                            .max_connections = CONNECTIONS,
                                            .idle_timeout = IDLE_TIMEOUT,
                                            .link_rate = link_rate };
  const gp_http_server_options_t server = { .address = address,
                                            .max_body_size = BODY_MAX,
                                            .header_timeout = HEADER_TIMEOUT,
                                            .traffic = &peers_traffic,
                                            .limiter = &limiters->internal,
                                            .buffers = gp_large_buffers,
                                            .on_request = on_request,
                                            .data = relay };

  relay->loop = loop;
  relay->collector = collector;
  relay->max_bytes = limiters->limits.relayed_bytes;
  gp_counter_register (&relayed_count);
  gp_counter_register (&refused_count);
  gp_traffic_register (&peers_traffic);
  gp_traffic_register (&store_traffic);
  relay->client = gp_http_client_new (loop, &client, error);
  if (relay->client == NULL)
    return false;
  relay->server = gp_http_server_new (loop, &server, error);
  return relay->server != NULL;
}

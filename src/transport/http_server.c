/* HTTP/1 server: a h2o handler that hands requests over as exchanges.

   Each server has a h2o configuration and context of its own, since h2o
   keeps the bounds on body and time there.  h2o_context_dispose turns the
   loop, which must not be done from inside of it; so a server that was shut
   down is freed by gp_loop_finish.

   An exchange lives in the memory pool of its h2o request.  The release of
   that pool is the one sure sign that h2o is done with the request, be the
   answer complete or the connection gone; on_gone and the count of open
   exchanges hang on it.

   h2o calls back at once, and may go on to the next request of the
   connection, when it is given nothing to write; so an empty last part and
   an abort are put off to the end of the phase.  */

#include <sys/socket.h>

#include "base/counters.h"
#include "base/error.h"
#include "transport/endpoint.h"
#include "transport/http_header.h"

#define SERVER_NAME "galenapier"
#define HTTP_1_1 0x101

typedef enum
{
  WAITING, /* for an answer */
  STARTED, /* its head is out, parts may follow */
  ENDED    /* the user is done with it */
} exchange_state_t;

/* What the deferred call of an exchange does.  */
typedef enum
{
  TASK_NONE,
  TASK_PROCEED, /* an empty part counts as written */
  TASK_END,     /* an empty last part */
  TASK_ABORT
} exchange_task_t;

typedef struct
{
  gp_list_t link;
  gp_http_server_t *server;
  h2o_socket_t *socket;
  size_t exchanges;
} connection_t;

struct gp_http_exchange
{
  h2o_generator_t generator;
  h2o_req_t *request;
  gp_http_server_t *server;
  connection_t *connection;
  gp_list_t link;
  gp_deferred_t deferred;
  exchange_task_t task;
  exchange_state_t state;
  bool writing; /* h2o has a part that it has not asked to go on from */
  bool bodiless;
  GByteArray *part;
  void (*on_gone) (void *data);
  void (*on_proceed) (void *data);
  void *data;
};

typedef struct
{
  h2o_handler_t handler;
  gp_http_server_t *server;
} server_handler_t;

struct gp_http_server
{
  gp_closer_t closer;
  gp_loop_t *loop;
  uv_tcp_t listener;
  bool listening;
  bool closing;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  gp_list_t connections;
  gp_list_t exchanges;
  size_t open_exchanges;
  gp_deferred_t done;
  gp_http_server_options_t options;
  void (*on_done) (void *data);
  void *done_data;
};

static gp_counter_t requests_total
    = GP_COUNTER ("http_server_requests_total", "Requests received.");
static gp_counter_t gone_total = GP_COUNTER (
    "http_server_gone_total", "Requests whose caller went away.");
static gp_counter_t accept_errors_total
    = GP_COUNTER ("http_server_accept_errors_total",
                  "Connections that could not be accepted.");

/* Exchanges.  */

static void
on_exchange_disposed (void *memory)
{
  gp_http_exchange_t *exchange = memory;
  bool gone = exchange->state != ENDED;

  gp_deferred_cancel (&exchange->deferred);
  gp_list_remove (&exchange->link);
  exchange->server->open_exchanges--;
  exchange->connection->exchanges--;
  g_byte_array_unref (exchange->part);
  if (!gone)
    return;
  exchange->state = ENDED;
  gp_counter_add (&gone_total, 1);
  if (exchange->on_gone != NULL)
    exchange->on_gone (exchange->data);
}

static int
socket_of (const gp_http_exchange_t *exchange)
{
  return h2o_socket_get_fd (exchange->connection->socket);
}

static void
send_part (gp_http_exchange_t *exchange, h2o_send_state_t state)
{
  h2o_iovec_t bytes
      = h2o_iovec_init (exchange->part->data, exchange->part->len);

  exchange->writing = true;
  h2o_send (exchange->request, &bytes, bytes.len > 0 ? 1 : 0, state);
}

/* h2o has written the last part.  */
static void
on_generator_proceed (h2o_generator_t *generator, h2o_req_t *request)
{
  gp_http_exchange_t *exchange
      = GP_CONTAINER_OF (generator, gp_http_exchange_t, generator);

  exchange->writing = false;
  if (exchange->task != TASK_NONE)
    gp_deferred_schedule (&exchange->deferred, exchange->server->loop);
  else if (exchange->state == STARTED && exchange->on_proceed != NULL)
    exchange->on_proceed (exchange->data);
}

static void
on_exchange_deferred (gp_deferred_t *deferred)
{
  gp_http_exchange_t *exchange
      = GP_CONTAINER_OF (deferred, gp_http_exchange_t, deferred);
  exchange_task_t task = exchange->task;

  exchange->task = TASK_NONE;
  switch (task)
    {
    case TASK_NONE:
      break;
    case TASK_PROCEED:
      if (exchange->on_proceed != NULL)
        exchange->on_proceed (exchange->data);
      break;
    case TASK_END:
      send_part (exchange, H2O_SEND_STATE_FINAL);
      break;
    case TASK_ABORT:
      g_byte_array_set_size (exchange->part, 0);
      send_part (exchange, H2O_SEND_STATE_ERROR);
      break;
    }
}

static void
defer (gp_http_exchange_t *exchange, exchange_task_t task)
{
  exchange->task = task;
  gp_deferred_schedule (&exchange->deferred, exchange->server->loop);
}

static connection_t *
connection_of (h2o_req_t *request)
{
  h2o_socket_t *socket = request->conn->callbacks->get_socket (request->conn);

  return socket->on_close.data;
}

static int
on_h2o_request (h2o_handler_t *handler, h2o_req_t *request)
{
  gp_http_server_t *server
      = GP_CONTAINER_OF (handler, server_handler_t, handler)->server;
  gp_http_exchange_t *exchange = h2o_mem_alloc_shared (
      &request->pool, sizeof *exchange, on_exchange_disposed);

  memset (exchange, 0, sizeof *exchange);
  exchange->generator.proceed = on_generator_proceed;
  exchange->request = request;
  exchange->server = server;
  exchange->connection = connection_of (request);
  exchange->part = g_byte_array_new ();
  gp_deferred_init (&exchange->deferred, on_exchange_deferred);
  gp_list_push_back (&server->exchanges, &exchange->link);
  server->open_exchanges++;
  exchange->connection->exchanges++;
  gp_counter_add (&requests_total, 1);
  if (server->closing)
    request->http1_is_persistent = 0;
  server->options.on_request (exchange, server->options.data);
  return 0;
}

static gp_http_text_t
text_of (h2o_iovec_t bytes)
{
  return (gp_http_text_t){ bytes.base, bytes.len };
}

gp_http_text_t
gp_http_exchange_method (const gp_http_exchange_t *exchange)
{
  return text_of (exchange->request->input.method);
}

gp_http_text_t
gp_http_exchange_path (const gp_http_exchange_t *exchange)
{
  return text_of (exchange->request->input.path);
}

gp_http_text_t
gp_http_exchange_body (const gp_http_exchange_t *exchange)
{
  return text_of (exchange->request->entity);
}

size_t
gp_http_exchange_headers (const gp_http_exchange_t *exchange,
                          gp_http_header_t *headers, size_t max)
{
  const h2o_headers_t *source = &exchange->request->headers;
  size_t count = MIN (source->size, max);

  for (size_t i = 0; i < count; i++)
    headers[i]
        = (gp_http_header_t){ .name = source->entries[i].name->base,
                              .name_size = source->entries[i].name->len,
                              .value = source->entries[i].value.base,
                              .value_size = source->entries[i].value.len };
  return count;
}

gp_http_text_t
gp_http_exchange_header (const gp_http_exchange_t *exchange, const char *name)
{
  const h2o_headers_t *headers = &exchange->request->headers;
  size_t size = strlen (name);

  if (strcmp (name, "host") == 0)
    return text_of (exchange->request->input.authority);
  for (size_t i = 0; i < headers->size; i++)
    if (h2o_memis (headers->entries[i].name->base,
                   headers->entries[i].name->len, name, size))
      return text_of (headers->entries[i].value);
  return (gp_http_text_t){ NULL, 0 };
}

void
gp_http_exchange_watch (gp_http_exchange_t *exchange,
                        void (*on_gone) (void *data),
                        void (*on_proceed) (void *data), void *data)
{
  exchange->on_gone = on_gone;
  exchange->on_proceed = on_proceed;
  exchange->data = data;
}

static void
add_header (h2o_req_t *request, const gp_http_header_t *header)
{
  h2o_iovec_t name
      = h2o_strdup (&request->pool, header->name, header->name_size);
  h2o_iovec_t value
      = h2o_strdup (&request->pool, header->value, header->value_size);

  if (gp_http_header_is_framing (header) || !gp_http_header_is_clean (header))
    return;
  h2o_add_header_by_str (&request->pool, &request->res.headers, name.base,
                         name.len, 1, NULL, value.base, value.len);
}

static bool
status_has_no_body (int status)
{
  return status < 200 || status == 204 || status == 304;
}

void
gp_http_exchange_start (gp_http_exchange_t *exchange, int status,
                        const gp_http_header_t *headers, size_t count,
                        int64_t content_length)
{
  h2o_req_t *request = exchange->request;

  g_assert (exchange->state == WAITING);
  exchange->state = STARTED;
  exchange->bodiless = status_has_no_body (status)
                       || h2o_memis (request->input.method.base,
                                     request->input.method.len, "HEAD", 4);
  request->res.status = status;
  request->res.reason = gp_http_reason (status);
  if (content_length >= 0 && !status_has_no_body (status))
    request->res.content_length = (size_t)content_length;
  else if (request->version < HTTP_1_1 && !exchange->bodiless)
    request->http1_is_persistent = 0;
  for (size_t i = 0; i < count; i++)
    add_header (request, &headers[i]);
  h2o_start_response (request, &exchange->generator);
}

void
gp_http_exchange_part (gp_http_exchange_t *exchange, const void *bytes,
                       size_t size, bool final)
{
  g_assert (exchange->state == STARTED && !exchange->writing);
  g_byte_array_set_size (exchange->part, 0);
  if (!exchange->bodiless)
    g_byte_array_append (exchange->part, bytes, (guint)size);
  if (final)
    exchange->state = ENDED;
  if (exchange->part->len == 0)
    defer (exchange, final ? TASK_END : TASK_PROCEED);
  else
    send_part (exchange,
               final ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void
gp_http_exchange_answer (gp_http_exchange_t *exchange, int status,
                         const gp_http_header_t *headers, size_t count,
                         const void *body, size_t size)
{
  gp_http_exchange_start (exchange, status, headers, count, (int64_t)size);
  gp_http_exchange_part (exchange, body, size, true);
}

/* Have the far side see a reset and not a proper end of the stream, by
   which an HTTP/1.0 answer would look whole.  */
static void
reset_on_close (gp_http_exchange_t *exchange)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (socket_of (exchange), SOL_SOCKET, SO_LINGER, &linger,
              sizeof linger);
}

void
gp_http_exchange_abort (gp_http_exchange_t *exchange)
{
  if (exchange->state == WAITING)
    gp_http_exchange_start (exchange, 500, NULL, 0, -1);
  g_assert (exchange->state == STARTED);
  exchange->state = ENDED;
  exchange->request->http1_is_persistent = 0;
  if (exchange->request->version < HTTP_1_1)
    reset_on_close (exchange);
  if (!exchange->writing)
    {
      defer (exchange, TASK_ABORT);
      return;
    }
  exchange->task = TASK_ABORT;
  shutdown (socket_of (exchange), SHUT_RDWR);
}

/* Connections.  */

static void
check_done (gp_http_server_t *server)
{
  if (server->closing && !server->listening
      && gp_list_empty (&server->connections))
    gp_deferred_schedule (&server->done, server->loop);
}

static void
on_connection_closed (void *data)
{
  connection_t *connection = data;
  gp_http_server_t *server = connection->server;

  gp_list_remove (&connection->link);
  g_free (connection);
  check_done (server);
}

static void
on_tcp_closed (uv_handle_t *handle)
{
  g_free (handle);
}

static void
serve (gp_http_server_t *server, uv_tcp_t *tcp)
{
  connection_t *connection = g_new0 (connection_t, 1);
  h2o_socket_t *socket
      = h2o_uv_socket_create ((uv_stream_t *)tcp, on_tcp_closed);

  uv_tcp_nodelay (tcp, 1);
  connection->server = server;
  connection->socket = socket;
  gp_list_push_back (&server->connections, &connection->link);
  socket->on_close.cb = on_connection_closed;
  socket->on_close.data = connection;
  h2o_accept (&server->accept, socket);
}

/* An error here, such as too many open descriptors, passes: libuv goes on
   listening.  */
static void
on_connection (uv_stream_t *stream, int status)
{
  gp_http_server_t *server = stream->data;
  uv_tcp_t *tcp;

  if (status < 0)
    {
      gp_counter_add (&accept_errors_total, 1);
      return;
    }
  tcp = g_new0 (uv_tcp_t, 1);
  uv_tcp_init (&server->loop->uv, tcp);
  if (uv_accept (stream, (uv_stream_t *)tcp) == 0)
    {
      serve (server, tcp);
      return;
    }
  gp_counter_add (&accept_errors_total, 1);
  uv_close ((uv_handle_t *)tcp, on_tcp_closed);
}

/* The server.  */

static void
on_done_deferred (gp_deferred_t *deferred)
{
  gp_http_server_t *server
      = GP_CONTAINER_OF (deferred, gp_http_server_t, done);
  void (*on_done) (void *data) = server->on_done;

  server->on_done = NULL;
  if (on_done != NULL)
    on_done (server->done_data);
}

static void
on_listener_closed (uv_handle_t *handle)
{
  gp_http_server_t *server = handle->data;

  server->listening = false;
  check_done (server);
}

/* A connection without a request sees the end of its input: what has come
   already is still read and answered.  */
static void
close_idle (connection_t *connection)
{
  if (connection->exchanges == 0 && connection->socket->input->size == 0)
    shutdown (h2o_socket_get_fd (connection->socket), SHUT_RD);
}

static void
start_closing (gp_http_server_t *server)
{
  if (server->closing)
    return;
  server->closing = true;
  if (server->listening)
    uv_close ((uv_handle_t *)&server->listener, on_listener_closed);
  GP_LIST_FOREACH (pos, &server->exchanges)
  GP_CONTAINER_OF (pos, gp_http_exchange_t, link)->request->http1_is_persistent
      = 0;
  GP_LIST_FOREACH (pos, &server->connections)
  close_idle (GP_CONTAINER_OF (pos, connection_t, link));
}

/* The loop ends: nothing is waited for.  */
static void
on_closer_close (gp_closer_t *closer)
{
  gp_http_server_t *server
      = GP_CONTAINER_OF (closer, gp_http_server_t, closer);

  start_closing (server);
  GP_LIST_FOREACH_SAFE (pos, &server->exchanges)
  {
    gp_http_exchange_t *exchange
        = GP_CONTAINER_OF (pos, gp_http_exchange_t, link);

    if (exchange->state == ENDED)
      continue;
    if (exchange->on_gone != NULL)
      exchange->on_gone (exchange->data);
    gp_http_exchange_abort (exchange);
  }
  GP_LIST_FOREACH (pos, &server->connections)
  shutdown (
      h2o_socket_get_fd (GP_CONTAINER_OF (pos, connection_t, link)->socket),
      SHUT_RDWR);
}

static void
on_closer_dispose (gp_closer_t *closer)
{
  gp_http_server_t *server
      = GP_CONTAINER_OF (closer, gp_http_server_t, closer);

  gp_deferred_cancel (&server->done);
  h2o_context_dispose (&server->context);
  h2o_config_dispose (&server->config);
  g_free ((char *)server->options.address);
  g_free (server);
}

static void
configure (gp_http_server_t *server)
{
  h2o_globalconf_t *config = &server->config;
  h2o_hostconf_t *host;
  h2o_pathconf_t *path;
  server_handler_t *handler;

  h2o_config_init (config);
  config->server_name = h2o_iovec_init (H2O_STRLIT (SERVER_NAME));
  config->max_request_entity_size = server->options.max_body_size;
  config->http1.req_timeout
      = (uint64_t)(server->options.header_timeout / GP_MSEC);
  config->http1.upgrade_to_http2 = 0;
  host = h2o_config_register_host (
      config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  path = h2o_config_register_path (host, "/", 0);
  path->error_log.emit_request_errors = 0;
  host->fallback_path.error_log.emit_request_errors = 0;
  handler = (server_handler_t *)h2o_create_handler (path, sizeof *handler);
  handler->handler.on_req = on_h2o_request;
  handler->server = server;
  h2o_context_init (&server->context, &server->loop->uv, config);
  server->accept.ctx = &server->context;
  server->accept.hosts = config->hosts;
}

gp_http_server_t *
gp_http_server_new (gp_loop_t *loop, const gp_http_server_options_t *options,
                    GError **error)
{
  gp_http_server_t *server = g_new0 (gp_http_server_t, 1);

  gp_counter_register (&requests_total);
  gp_counter_register (&gone_total);
  gp_counter_register (&accept_errors_total);
  server->loop = loop;
  server->options = *options;
  server->options.address = g_strdup (options->address);
  gp_list_init (&server->connections);
  gp_list_init (&server->exchanges);
  gp_deferred_init (&server->done, on_done_deferred);
  configure (server);
  gp_closer_add (&server->closer, loop, on_closer_close, on_closer_dispose);
  if (gp_endpoint_listen (&loop->uv, &server->listener, options->address,
                          on_connection, &server->listening, error))
    {
      server->listener.data = server;
      return server;
    }
  server->listener.data = server;
  start_closing (server);
  return NULL;
}

int
gp_http_server_port (const gp_http_server_t *server)
{
  return gp_endpoint_bound_port (&server->listener);
}

void
gp_http_server_shutdown (gp_http_server_t *server,
                         void (*on_done) (void *data), void *data)
{
  server->on_done = on_done;
  server->done_data = data;
  start_closing (server);
  check_done (server);
}

size_t
gp_http_server_open_exchanges (const gp_http_server_t *server)
{
  return server->open_exchanges;
}

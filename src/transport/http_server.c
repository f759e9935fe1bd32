/* HTTP/1 server: an h2o handler that passes requests on as exchanges.

   Each server has its own h2o configuration and context, because h2o keeps the
   limits for body size and time there.  h2o_context_dispose runs the event
   loop, which is not allowed from inside the loop; therefore a server that was
   shut down is freed by gp_loop_finish.

   A server that is shutting down answers every request that was read whole,
   every request of which any byte was read if the rest arrives within
   UNFINISHED_TIME, and every request of a client that was connected before the
   listener began to drop new connections: a connection without a request
   counts as idle only FIRST_REQUEST_TIME after it was accepted.  The one case
   it cannot cover is a request that is sent while its idle, already used
   connection is being closed; gp_http_server_disable_keepalive, called before
   the shutdown, makes this rare.  */

#include <sys/socket.h>

#include "transport/http_private.h"

#define SERVER_NAME "galenapier"

/* Time for which a new connection is kept open during shutdown for its first
   request: in two of 150 stops under load, a connection was closed as idle 41
   and 50 microseconds before its first request arrived.  The value leaves time
   for the retransmission of a lost packet.  */
#define FIRST_REQUEST_TIME (500 * GP_MSEC)

/* Time for which a shutdown waits for the rest of a request, or for a client
   to read its answer.  Without a bound, clients that never do would keep a
   stopping process until it is killed.  */
#define UNFINISHED_TIME GP_SEC

typedef struct
{
  h2o_handler_t handler;
  gp_http_server_t *server;
} server_handler_t;

/* Connections.  */

void
gp_http_server_check_done (gp_http_server_t *server)
{
  if (server->closing && !server->listening
      && gp_list_empty (&server->connections))
    gp_deferred_schedule (&server->done, server->loop);
}

/* Return the time from which CONNECTION counts as idle.  Closing it then loses
   nothing but a request that is already on its way.  h2o keeps a request in
   the input buffer until it is complete.  */
static gp_time_t
idle_from (const gp_http_connection_t *connection)
{
  if (connection->exchanges > 0 || connection->socket->input->size > 0)
    return GP_TIME_NEVER;
  if (connection->used)
    return 0;
  return connection->accepted_at + FIRST_REQUEST_TIME;
}

/* Return the time from which CONNECTION, which is not idle, is not waited for
   any more.  */
static gp_time_t
abandoned_from (const gp_http_connection_t *connection)
{
  gp_time_t until = connection->server->unfinished_until;

  if (connection->exchanges == 0)
    return until;
  if (connection->answered_at == 0)
    return GP_TIME_NEVER;
  return MAX (until, connection->answered_at + UNFINISHED_TIME);
}

/* Shut down the receiving side of idle connections.  Data that has already
   been received is still read and answered.  Then close the connections whose
   clients do not go on.  */
static void
close_idle (gp_http_server_t *server)
{
  gp_time_t now = gp_loop_now (server->loop);
  gp_time_t next = GP_TIME_NEVER;

  GP_LIST_FOREACH_SAFE (pos, &server->connections)
  {
    gp_http_connection_t *connection
        = GP_CONTAINER_OF (pos, gp_http_connection_t, link);
    gp_time_t idle = idle_from (connection);
    gp_time_t abandoned = abandoned_from (connection);

    next = MIN (next, idle > now ? idle : GP_TIME_NEVER);
    next = MIN (next, abandoned > now ? abandoned : GP_TIME_NEVER);
    if (abandoned <= now)
      gp_http_connection_abandon (connection);
    else if (idle <= now)
      shutdown (h2o_socket_get_fd (connection->socket), SHUT_RD);
  }
  gp_timer_arm (&server->idle_timer, next);
}

void
gp_http_server_await_reader (gp_http_server_t *server)
{
  gp_time_t at = gp_loop_now (server->loop) + UNFINISHED_TIME;

  gp_timer_arm (&server->idle_timer, MIN (at, server->idle_timer.deadline));
}

static void
on_refused_closed (uv_handle_t *handle)
{
  g_free (handle);
}

static void
on_connection (gp_listener_t *listener)
{
  gp_http_server_t *server
      = GP_CONTAINER_OF (listener, gp_http_server_t, listener);
  uv_tcp_t *tcp = g_new0 (uv_tcp_t, 1);

  uv_tcp_init (&server->loop->uv, tcp);
  if (uv_accept ((uv_stream_t *)&listener->tcp, (uv_stream_t *)tcp) != 0
      || !gp_connection_limiter_admit (server->options.limiter))
    {
      uv_close ((uv_handle_t *)tcp, on_refused_closed);
      return;
    }
  gp_http_connection_start (server, tcp);
  if (server->closing)
    close_idle (server);
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
on_listener_closed (gp_listener_t *listener)
{
  gp_http_server_t *server
      = GP_CONTAINER_OF (listener, gp_http_server_t, listener);

  server->listening = false;
  gp_http_server_check_done (server);
}

void
gp_http_server_disable_keepalive (gp_http_server_t *server)
{
  server->keepalive_disabled = true;
  GP_LIST_FOREACH (pos, &server->exchanges)
  {
    gp_http_exchange_t *exchange
        = GP_CONTAINER_OF (pos, gp_http_exchange_t, link);

    if (exchange->state == GP_HTTP_EXCHANGE_WAITING)
      exchange->request->http1_is_persistent = 0;
  }
}

/* From now on, every connection is closed after its current request, even if
   the response has started without announcing it.  */
static void
begin_closing (gp_http_server_t *server)
{
  server->closing = true;
  server->keepalive_disabled = true;
  GP_LIST_FOREACH (pos, &server->exchanges)
  GP_CONTAINER_OF (pos, gp_http_exchange_t, link)->request->http1_is_persistent
      = 0;
}

static void
on_idle_timer (gp_timer_t *timer, void *data)
{
  (void)timer;
  close_idle (data);
}

/* The loop is being finished: close without waiting for open exchanges.  */
static void
on_closer_close (gp_closer_t *closer)
{
  gp_http_server_t *server
      = GP_CONTAINER_OF (closer, gp_http_server_t, closer);

  begin_closing (server);
  gp_timer_finish (&server->idle_timer);
  if (!server->listener.closing)
    gp_listener_close (&server->listener, on_listener_closed);
  GP_LIST_FOREACH_SAFE (pos, &server->exchanges)
  gp_http_exchange_force_close (
      GP_CONTAINER_OF (pos, gp_http_exchange_t, link));
  GP_LIST_FOREACH (pos, &server->connections)
  shutdown (h2o_socket_get_fd (
                GP_CONTAINER_OF (pos, gp_http_connection_t, link)->socket),
            SHUT_RDWR);
}

static void
on_closer_dispose (gp_closer_t *closer)
{
  gp_http_server_t *server
      = GP_CONTAINER_OF (closer, gp_http_server_t, closer);

  gp_deferred_cancel (&server->done);
  gp_deferred_cancel (&server->settle);
  h2o_context_dispose (&server->context);
  h2o_config_dispose (&server->config);
  g_free ((char *)server->options.address);
  g_free (server);
}

static int
on_h2o_request (h2o_handler_t *handler, h2o_req_t *request)
{
  gp_http_exchange_begin (
      GP_CONTAINER_OF (handler, server_handler_t, handler)->server, request);
  return 0;
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

/* Connections that wait to be accepted hold bytes as well: there are no more
   of them than could be accepted.  */
static int
backlog_of (const gp_http_server_options_t *options)
{
  size_t connections = options->limiter != NULL
                           ? options->limiter->budget.limits.max_connections
                           : GP_LISTENER_BACKLOG;

  return (int)MIN (connections, GP_LISTENER_BACKLOG);
}

gp_http_server_t *
gp_http_server_new (gp_loop_t *loop, const gp_http_server_options_t *options,
                    GError **error)
{
  gp_http_server_t *server = g_new0 (gp_http_server_t, 1);
  int backlog = backlog_of (options);

  server->loop = loop;
  server->options = *options;
  server->options.address = g_strdup (options->address);
  gp_list_init (&server->connections);
  gp_list_init (&server->exchanges);
  gp_deferred_init (&server->done, on_done_deferred);
  gp_http_server_init_settling (server);
  server->unfinished_until = GP_TIME_NEVER;
  gp_timer_init (&server->idle_timer, loop, on_idle_timer, server);
  configure (server);
  gp_closer_add (&server->closer, loop, on_closer_close, on_closer_dispose);
  server->listening = true;
  if (options->bind_only
          ? gp_listener_bind (&server->listener, loop, options->address,
                              options->buffers, backlog, on_connection, error)
          : gp_listener_open (&server->listener, loop, options->address,
                              options->buffers, backlog, on_connection, error))
    return server;
  begin_closing (server);
  gp_listener_close (&server->listener, on_listener_closed);
  return NULL;
}

void
gp_http_server_listen (gp_http_server_t *server)
{
  gp_listener_listen (&server->listener);
}

int
gp_http_server_port (const gp_http_server_t *server)
{
  return gp_listener_port (&server->listener);
}

void
gp_http_server_shutdown (gp_http_server_t *server,
                         void (*on_done) (void *data), void *data)
{
  server->on_done = on_done;
  server->done_data = data;
  if (!server->closing)
    {
      begin_closing (server);
      server->unfinished_until = gp_loop_now (server->loop) + UNFINISHED_TIME;
      gp_listener_drain (&server->listener, on_listener_closed);
      close_idle (server);
    }
  gp_http_server_check_done (server);
}

size_t
gp_http_server_open_exchanges (const gp_http_server_t *server)
{
  return server->open_exchanges;
}

/* A request and its response on the server side.

   An exchange is allocated in the memory pool of its h2o request.  Only the
   release of that pool reliably indicates that h2o has finished with the
   request, whether the response is complete or the connection was closed;
   on_gone and the count of open exchanges are driven by it.

   When h2o is given nothing to write, it calls back immediately and may
   continue with the next request on the connection.  An empty last part and an
   abort are therefore deferred to the end of the phase.  */

#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "base/counters.h"
#include "transport/http_private.h"

#define HTTP_1_1 0x101
/* Approximate size of a response head in bytes; h2o does not report it.  */
#define RESPONSE_HEAD_SIZE 120
/* Bytes of ": " and CRLF for each header of a request.  */
#define HEADER_SEPARATORS 4

static gp_counter_t requests_total
    = GP_COUNTER ("http_server_requests_total", "Requests received.");
static gp_counter_t gone_total = GP_COUNTER (
    "http_server_gone_total", "Requests whose caller went away.");

static void
on_exchange_disposed (void *memory)
{
  gp_http_exchange_t *exchange = memory;
  bool gone = exchange->state != GP_HTTP_EXCHANGE_ENDED;

  gp_traffic_sent (exchange->server->options.traffic,
                   RESPONSE_HEAD_SIZE + exchange->request->bytes_sent);
  gp_deferred_cancel (&exchange->deferred);
  gp_list_remove (&exchange->link);
  exchange->server->open_exchanges--;
  gp_http_connection_end_exchange (exchange->connection);
  if (exchange->part != NULL)
    g_byte_array_unref (exchange->part);
  if (!gone)
    return;
  exchange->state = GP_HTTP_EXCHANGE_ENDED;
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
send_part (gp_http_exchange_t *exchange, h2o_iovec_t bytes,
           h2o_send_state_t state)
{
  exchange->writing = true;
  h2o_send (exchange->request, &bytes, bytes.len > 0 ? 1 : 0, state);
}

/* h2o has written the previous part.  */
static void
on_generator_proceed (h2o_generator_t *generator, h2o_req_t *request)
{
  gp_http_exchange_t *exchange
      = GP_CONTAINER_OF (generator, gp_http_exchange_t, generator);

  exchange->writing = false;
  if (exchange->action != GP_HTTP_ACTION_NONE)
    gp_deferred_schedule (&exchange->deferred, exchange->server->loop);
  else if (exchange->state == GP_HTTP_EXCHANGE_STARTED
           && exchange->on_proceed != NULL)
    exchange->on_proceed (exchange->data);
}

static void
on_exchange_deferred (gp_deferred_t *deferred)
{
  gp_http_exchange_t *exchange
      = GP_CONTAINER_OF (deferred, gp_http_exchange_t, deferred);
  gp_http_exchange_action_t action = exchange->action;

  exchange->action = GP_HTTP_ACTION_NONE;
  switch (action)
    {
    case GP_HTTP_ACTION_NONE:
      break;
    case GP_HTTP_ACTION_PROCEED:
      if (exchange->on_proceed != NULL)
        exchange->on_proceed (exchange->data);
      break;
    case GP_HTTP_ACTION_END:
      send_part (exchange, h2o_iovec_init (NULL, 0), H2O_SEND_STATE_FINAL);
      break;
    case GP_HTTP_ACTION_ABORT:
      send_part (exchange, h2o_iovec_init (NULL, 0), H2O_SEND_STATE_ERROR);
      break;
    }
}

static void
defer (gp_http_exchange_t *exchange, gp_http_exchange_action_t action)
{
  exchange->action = action;
  gp_deferred_schedule (&exchange->deferred, exchange->server->loop);
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

void
gp_http_exchange_address (const gp_http_exchange_t *exchange,
                          char address[GP_HTTP_ADDRESS_SIZE])
{
  struct sockaddr_storage peer;
  socklen_t size = h2o_socket_getpeername (exchange->connection->socket,
                                           (struct sockaddr *)&peer);

  if (size == 0
      || getnameinfo ((struct sockaddr *)&peer, size, address,
                      GP_HTTP_ADDRESS_SIZE, NULL, 0, NI_NUMERICHOST)
             != 0)
    address[0] = '\0';
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

bool
gp_http_exchange_client_closed (const gp_http_exchange_t *exchange)
{
  struct tcp_info info;
  socklen_t size = sizeof info;

  if (exchange->state == GP_HTTP_EXCHANGE_ENDED)
    return true;
  if (getsockopt (socket_of (exchange), IPPROTO_TCP, TCP_INFO, &info, &size)
      != 0)
    return false;
  return info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE;
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

/* Return whether h2o generates HEADER itself.  */
static bool
is_generated_by_h2o (const gp_http_header_t *header)
{
  return h2o_lcstris (header->name, header->name_size, H2O_STRLIT ("date"))
         || h2o_lcstris (header->name, header->name_size,
                         H2O_STRLIT ("server"));
}

static void
add_header (h2o_req_t *request, const gp_http_header_t *header)
{
  h2o_headers_t *headers = &request->res.headers;
  const h2o_token_t *token;
  h2o_iovec_t name;
  h2o_iovec_t value;

  if (gp_http_header_is_framing (header) || !gp_http_header_is_valid (header)
      || is_generated_by_h2o (header))
    return;
  value = h2o_strdup (&request->pool, header->value, header->value_size);
  token = h2o_lookup_token (header->name, header->name_size);
  if (token != NULL)
    {
      h2o_add_header (&request->pool, headers, token, NULL, value.base,
                      value.len);
      return;
    }
  name = h2o_strdup (&request->pool, header->name, header->name_size);
  h2o_add_header_by_str (&request->pool, headers, name.base, name.len, 0, NULL,
                         value.base, value.len);
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

  g_assert (exchange->state == GP_HTTP_EXCHANGE_WAITING);
  exchange->state = GP_HTTP_EXCHANGE_STARTED;
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

/* Copy a part so that it stays valid until it is written.  The last part is
   allocated in the request's memory pool, the others share a buffer.  */
static h2o_iovec_t
copy_part (gp_http_exchange_t *exchange, const void *bytes, size_t size,
           bool final)
{
  if (final)
    return h2o_strdup (&exchange->request->pool, bytes, size);
  if (exchange->part == NULL)
    exchange->part = g_byte_array_new ();
  g_byte_array_set_size (exchange->part, 0);
  g_byte_array_append (exchange->part, bytes, (guint)size);
  return h2o_iovec_init (exchange->part->data, size);
}

/* The user has finished with EXCHANGE.  */
static void
end (gp_http_exchange_t *exchange)
{
  exchange->state = GP_HTTP_EXCHANGE_ENDED;
  gp_http_connection_answered (exchange->connection);
}

void
gp_http_exchange_part (gp_http_exchange_t *exchange, const void *bytes,
                       size_t size, bool final)
{
  g_assert (exchange->state == GP_HTTP_EXCHANGE_STARTED && !exchange->writing);
  if (final)
    end (exchange);
  if (exchange->bodiless || size == 0)
    defer (exchange, final ? GP_HTTP_ACTION_END : GP_HTTP_ACTION_PROCEED);
  else
    send_part (exchange, copy_part (exchange, bytes, size, final),
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

/* Make the close of the connection a TCP reset.  With a normal end of the
   stream a truncated HTTP/1.0 response would look complete.  */
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
  if (exchange->state == GP_HTTP_EXCHANGE_WAITING)
    gp_http_exchange_start (exchange, 500, NULL, 0, -1);
  g_assert (exchange->state == GP_HTTP_EXCHANGE_STARTED);
  end (exchange);
  exchange->request->http1_is_persistent = 0;
  if (exchange->request->version < HTTP_1_1)
    reset_on_close (exchange);
  if (!exchange->writing)
    {
      defer (exchange, GP_HTTP_ACTION_ABORT);
      return;
    }
  exchange->action = GP_HTTP_ACTION_ABORT;
  shutdown (socket_of (exchange), SHUT_RDWR);
}

void
gp_http_exchange_force_close (gp_http_exchange_t *exchange)
{
  if (exchange->state == GP_HTTP_EXCHANGE_ENDED)
    return;
  if (exchange->on_gone != NULL)
    exchange->on_gone (exchange->data);
  gp_http_exchange_abort (exchange);
}

static gp_http_connection_t *
connection_of (h2o_req_t *request)
{
  h2o_socket_t *socket = request->conn->callbacks->get_socket (request->conn);

  return socket->on_close.data;
}

/* Return the approximate size of REQUEST in bytes, from the parts that h2o
   keeps.  */
static size_t
request_size (const h2o_req_t *request)
{
  size_t size = request->input.method.len + request->input.path.len
                + request->input.authority.len + request->entity.len;

  for (size_t i = 0; i < request->headers.size; i++)
    size += request->headers.entries[i].name->len
            + request->headers.entries[i].value.len + HEADER_SEPARATORS;
  return size;
}

void
gp_http_exchange_begin (gp_http_server_t *server, h2o_req_t *request)
{
  gp_http_exchange_t *exchange = h2o_mem_alloc_shared (
      &request->pool, sizeof *exchange, on_exchange_disposed);

  memset (exchange, 0, sizeof *exchange);
  exchange->generator.proceed = on_generator_proceed;
  exchange->request = request;
  exchange->server = server;
  exchange->connection = connection_of (request);
  gp_deferred_init (&exchange->deferred, on_exchange_deferred);
  gp_list_push_back (&server->exchanges, &exchange->link);
  server->open_exchanges++;
  gp_http_connection_begin_exchange (exchange->connection);
  gp_counter_register (&requests_total);
  gp_counter_register (&gone_total);
  gp_counter_add (&requests_total, 1);
  if (server->keepalive_disabled)
    request->http1_is_persistent = 0;
  gp_traffic_received (server->options.traffic, request_size (request));
  server->options.on_request (exchange, server->options.data);
}

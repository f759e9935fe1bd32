/* A connection of the HTTP server.

   h2o keeps a request in the input buffer of its socket until it is complete,
   and the buffer until the request is answered.  So the buffer's capacity is
   what a connection holds, and the connection's limiter is asked before the
   buffer grows.  For this, h2o's callback for reading is wrapped; h2o sets it
   again when it starts to read, which it does only before the first request
   and between an answer and the next request, so that it is wrapped then.  */

#include <sys/socket.h>

#include "transport/http_private.h"

/* The free space that h2o asks its buffer for before each read, in bytes.  */
#define READ_SPACE 4096

static void
on_connection_closed (void *data)
{
  gp_http_connection_t *connection = data;
  gp_http_server_t *server = connection->server;

  gp_limited_connection_leave (&connection->limited);
  gp_list_remove (&connection->link);
  gp_list_remove (&connection->settle_link);
  g_free (connection);
  gp_http_server_check_done (server);
}

static void
on_tcp_closed (uv_handle_t *handle)
{
  g_free (handle);
}

static gp_http_connection_t *
connection_of (uv_stream_t *stream)
{
  const h2o_socket_t *socket = stream->data;

  return socket->on_close.data;
}

/* Returns the capacity that h2o's BUFFER will have for the next read.  It
   moves the bytes to the front of the buffer if that gives enough space, and
   doubles it otherwise.  */
static size_t
next_capacity (const h2o_buffer_t *buffer)
{
  size_t capacity = buffer->capacity;

  if (buffer->bytes == NULL)
    return READ_SPACE;
  if (capacity - buffer->size - (size_t)(buffer->bytes - buffer->_buf)
          >= READ_SPACE
      || (buffer->size + READ_SPACE) * 2 <= capacity)
    return capacity;
  do
    capacity *= 2;
  while (capacity - buffer->size < READ_SPACE);
  return capacity;
}

static bool
is_reading (const gp_http_connection_t *connection)
{
  return connection->stream->read_cb != NULL;
}

/* Ask for the memory for the next read, and stop reading until it is
   granted.  */
static void
reserve_input (gp_http_connection_t *connection)
{
  size_t bytes = next_capacity (connection->socket->input);

  gp_limited_connection_shrink (&connection->limited, bytes);
  if (!gp_limited_connection_grow (&connection->limited, bytes))
    uv_read_stop (connection->stream);
}

static void
set_phase (gp_http_connection_t *connection)
{
  if (connection->exchanges == 0)
    gp_limited_connection_set_phase (&connection->limited,
                                     connection->socket->input->size > 0
                                         ? GP_CONNECTION_RECEIVING
                                         : GP_CONNECTION_IDLE);
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  gp_http_connection_t *connection = connection_of (stream);

  connection->read_cb (stream, size, buffer);
  if (uv_is_closing ((uv_handle_t *)stream))
    return;
  set_phase (connection);
  if (is_reading (connection))
    reserve_input (connection);
}

/* h2o has started to read on its own.  */
static void
wrap_reading (gp_http_connection_t *connection)
{
  uv_stream_t *stream = connection->stream;

  if (stream->read_cb == NULL || stream->read_cb == on_read)
    return;
  connection->alloc_cb = stream->alloc_cb;
  connection->read_cb = stream->read_cb;
  stream->read_cb = on_read;
}

static void
on_resumed (gp_limited_connection_t *limited)
{
  gp_http_connection_t *connection
      = GP_CONTAINER_OF (limited, gp_http_connection_t, limited);

  uv_read_start (connection->stream, connection->alloc_cb, on_read);
}

static void
on_evicted (gp_limited_connection_t *limited)
{
  gp_http_connection_abandon (
      GP_CONTAINER_OF (limited, gp_http_connection_t, limited));
}

/* While h2o waits for a request, a failed read makes it close the connection
   during the call.  Otherwise it is writing, and notices the shutdown.  */
void
gp_http_connection_abandon (gp_http_connection_t *connection)
{
  const uv_buf_t none = uv_buf_init (NULL, 0);

  if (connection->socket->_cb.read != NULL && connection->exchanges == 0)
    connection->read_cb (connection->stream, UV_ECANCELED, &none);
  else
    shutdown (h2o_socket_get_fd (connection->socket), SHUT_RDWR);
}

void
gp_http_connection_start (gp_http_server_t *server, uv_tcp_t *tcp)
{
  gp_http_connection_t *connection = g_new0 (gp_http_connection_t, 1);
  h2o_socket_t *socket
      = h2o_uv_socket_create ((uv_stream_t *)tcp, on_tcp_closed);

  uv_tcp_nodelay (tcp, 1);
  connection->server = server;
  connection->socket = socket;
  connection->stream = (uv_stream_t *)tcp;
  connection->accepted_at = gp_loop_now (server->loop);
  connection->limited.close = on_evicted;
  connection->limited.resume = on_resumed;
  gp_limited_connection_enter (&connection->limited, server->options.limiter);
  gp_list_push_back (&server->connections, &connection->link);
  gp_list_init (&connection->settle_link);
  socket->on_close.cb = on_connection_closed;
  socket->on_close.data = connection;
  h2o_accept (&server->accept, socket);
  wrap_reading (connection);
}

void
gp_http_connection_begin_exchange (gp_http_connection_t *connection)
{
  connection->exchanges++;
  connection->used = true;
  connection->answered_at = 0;
  gp_limited_connection_set_phase (&connection->limited,
                                   GP_CONNECTION_SERVING);
}

void
gp_http_connection_answered (gp_http_connection_t *connection)
{
  connection->answered_at = gp_loop_now (connection->server->loop);
  gp_limited_connection_set_phase (&connection->limited,
                                   GP_CONNECTION_ANSWERING);
  if (connection->server->closing)
    gp_http_server_await_reader (connection->server);
}

void
gp_http_connection_end_exchange (gp_http_connection_t *connection)
{
  connection->exchanges--;
  if (gp_list_empty (&connection->settle_link))
    gp_list_push_back (&connection->server->settling,
                       &connection->settle_link);
  gp_deferred_schedule (&connection->server->settle, connection->server->loop);
}

/* A request has ended, and the input buffer may be smaller.  The connection
   reads on, or has a complete next request already.  */
static void
on_settle (gp_deferred_t *deferred)
{
  gp_http_server_t *server
      = GP_CONTAINER_OF (deferred, gp_http_server_t, settle);
  gp_list_t *link;

  while ((link = gp_list_pop_front (&server->settling)) != NULL)
    {
      gp_http_connection_t *connection
          = GP_CONTAINER_OF (link, gp_http_connection_t, settle_link);

      wrap_reading (connection);
      set_phase (connection);
      if (is_reading (connection))
        reserve_input (connection);
    }
}

void
gp_http_server_init_settling (gp_http_server_t *server)
{
  gp_list_init (&server->settling);
  gp_deferred_init (&server->settle, on_settle);
}

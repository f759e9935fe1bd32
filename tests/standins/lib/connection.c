#include "connection.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define READ_SIZE (256L * 1024)
#define HEADERS_MAX 64
#define HEAD_MAX_SIZE (64L * 1024)

/* libh2o exports these functions but installs no header that declares
   them.  */
int phr_parse_response (const char *buf, size_t len, int *minor_version,
                        int *status, const char **msg, size_t *msg_len,
                        gp_connection_header_t *headers, size_t *num_headers,
                        size_t last_len);
ssize_t phr_decode_chunked (struct phr_chunked_decoder *decoder, char *buf,
                            size_t *bufsz);

/* Shared by all connections: they run on one event loop in one thread, and
   each read is consumed before the next one starts.  */
static char read_buffer[READ_SIZE];

typedef struct
{
  uv_write_t uv;
  char bytes[];
} pending_write_t;

static void
on_closed (uv_handle_t *handle)
{
  gp_connection_t *connection = (gp_connection_t *)handle;

  g_byte_array_unref (connection->head);
  g_free (connection);
}

void
gp_connection_abort (gp_connection_t *connection)
{
  if (connection->state == GP_CONNECTION_CLOSED)
    return;
  connection->state = GP_CONNECTION_CLOSED;
  uv_close ((uv_handle_t *)&connection->tcp, on_closed);
}

static void
end_closed (gp_connection_t *connection, gp_connection_end_t end)
{
  connection->callbacks->on_end (connection, end, false);
  gp_connection_abort (connection);
}

static void
end_complete (gp_connection_t *connection)
{
  if (!connection->keep_alive)
    {
      end_closed (connection, GP_CONNECTION_COMPLETE);
      return;
    }
  connection->state = GP_CONNECTION_READY;
  connection->callbacks->on_end (connection, GP_CONNECTION_COMPLETE, true);
}

static gp_connection_end_t
end_of_state (gp_connection_state_t state)
{
  switch (state)
    {
    case GP_CONNECTION_READY:
    case GP_CONNECTION_CONNECTING:
    case GP_CONNECTION_CLOSED:
      return GP_CONNECTION_IDLE;
    case GP_CONNECTION_HEAD:
      return GP_CONNECTION_NO_RESPONSE;
    case GP_CONNECTION_BODY:
    case GP_CONNECTION_CHUNKS:
    case GP_CONNECTION_UNTIL_CLOSE:
      return GP_CONNECTION_TRUNCATED;
    }
  return GP_CONNECTION_IDLE;
}

static bool
header_is (const gp_connection_header_t *header, const char *name)
{
  return header->name_size == strlen (name)
         && strncasecmp (header->name, name, header->name_size) == 0;
}

static bool
value_is (const gp_connection_header_t *header, const char *value)
{
  return header->value_size == strlen (value)
         && strncasecmp (header->value, value, header->value_size) == 0;
}

/* Determine from the response headers how the body is delimited and whether
   the connection can be reused.  */
static void
read_framing (gp_connection_t *connection, int minor_version, int status,
              const gp_connection_header_t *headers, size_t count)
{
  bool empty = status == 204 || status == 304;

  connection->keep_alive = minor_version > 0;
  connection->state = empty ? GP_CONNECTION_BODY : GP_CONNECTION_UNTIL_CLOSE;
  connection->body_left = 0;
  for (size_t i = 0; i < count && !empty; i++)
    {
      if (header_is (&headers[i], "content-length"))
        {
          connection->state = GP_CONNECTION_BODY;
          connection->body_left = strtoull (headers[i].value, NULL, 10);
        }
      else if (header_is (&headers[i], "transfer-encoding")
               && value_is (&headers[i], "chunked"))
        {
          memset (&connection->decoder, 0, sizeof connection->decoder);
          connection->decoder.consume_trailer = 1;
          connection->state = GP_CONNECTION_CHUNKS;
        }
      else if (header_is (&headers[i], "connection")
               && value_is (&headers[i], "close"))
        connection->keep_alive = false;
    }
}

static void
on_counted_body (gp_connection_t *connection, const char *bytes, size_t size)
{
  size_t n = MIN (size, connection->body_left);

  connection->body_left -= n;
  if (n > 0)
    connection->callbacks->on_body (connection, bytes, n);
  if (connection->state != GP_CONNECTION_BODY || connection->body_left > 0)
    return;
  connection->keep_alive = connection->keep_alive && n == size;
  end_complete (connection);
}

static void
on_chunks (gp_connection_t *connection, char *bytes, size_t size)
{
  ssize_t rest = phr_decode_chunked (&connection->decoder, bytes, &size);

  if (size > 0 && rest != -1)
    connection->callbacks->on_body (connection, bytes, size);
  if (connection->state != GP_CONNECTION_CHUNKS)
    return;
  if (rest == -1)
    end_closed (connection, GP_CONNECTION_TRUNCATED);
  else if (rest >= 0)
    {
      connection->keep_alive = connection->keep_alive && rest == 0;
      end_complete (connection);
    }
}

static void
on_body_bytes (gp_connection_t *connection, char *bytes, size_t size)
{
  switch (connection->state)
    {
    case GP_CONNECTION_BODY:
      on_counted_body (connection, bytes, size);
      break;
    case GP_CONNECTION_CHUNKS:
      on_chunks (connection, bytes, size);
      break;
    case GP_CONNECTION_UNTIL_CLOSE:
      connection->callbacks->on_body (connection, bytes, size);
      break;
    case GP_CONNECTION_CONNECTING:
    case GP_CONNECTION_READY:
    case GP_CONNECTION_HEAD:
    case GP_CONNECTION_CLOSED:
      break;
    }
}

/* Parse the response head.  An incomplete one is buffered in
   connection->head until more bytes arrive.  */
static void
on_head_bytes (gp_connection_t *connection, char *bytes, size_t size)
{
  gp_connection_header_t headers[HEADERS_MAX];
  size_t count = HEADERS_MAX;
  const char *message;
  size_t message_size;
  int minor_version;
  int status;
  int rc = phr_parse_response (bytes, size, &minor_version, &status, &message,
                               &message_size, headers, &count, 0);

  if (rc == -2 && size < HEAD_MAX_SIZE)
    {
      if (connection->head->len == 0)
        g_byte_array_append (connection->head, (uint8_t *)bytes, (guint)size);
      return;
    }
  if (rc < 0)
    {
      end_closed (connection, GP_CONNECTION_TRUNCATED);
      return;
    }
  read_framing (connection, minor_version, status, headers, count);
  connection->callbacks->on_head (connection, status, headers, count);
  on_body_bytes (connection, bytes + rc, size - (size_t)rc);
}

static void
on_bytes (gp_connection_t *connection, char *bytes, size_t size)
{
  GByteArray *head = connection->head;

  if (connection->state == GP_CONNECTION_READY)
    end_closed (connection, GP_CONNECTION_IDLE);
  else if (connection->state != GP_CONNECTION_HEAD)
    on_body_bytes (connection, bytes, size);
  else if (head->len == 0)
    on_head_bytes (connection, bytes, size);
  else
    {
      g_byte_array_append (head, (uint8_t *)bytes, (guint)size);
      on_head_bytes (connection, (char *)head->data, head->len);
    }
}

static void
on_allocate (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  *buffer = uv_buf_init (read_buffer, sizeof read_buffer);
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  gp_connection_t *connection = (gp_connection_t *)stream;

  if (size > 0)
    on_bytes (connection, buffer->base, (size_t)size);
  else if (size < 0)
    end_closed (connection, end_of_state (connection->state));
}

static void
on_connect (uv_connect_t *connect, int status)
{
  gp_connection_t *connection = connect->data;

  if (connection->state == GP_CONNECTION_CLOSED)
    return;
  if (status == 0)
    {
      connection->state = GP_CONNECTION_READY;
      uv_tcp_nodelay (&connection->tcp, 1);
      uv_read_start ((uv_stream_t *)&connection->tcp, on_allocate, on_read);
    }
  connection->callbacks->on_open (connection, status);
  if (status != 0)
    gp_connection_abort (connection);
}

static void
on_written (uv_write_t *write, int status)
{
  g_free (write);
}

/* Queue the bytes that uv_try_write did not accept.  */
static void
write_later (gp_connection_t *connection, const char *bytes, size_t size)
{
  pending_write_t *pending = g_malloc (sizeof *pending + size);
  uv_buf_t buffer = uv_buf_init (pending->bytes, (unsigned)size);

  memcpy (pending->bytes, bytes, size);
  uv_write (&pending->uv, (uv_stream_t *)&connection->tcp, &buffer, 1,
            on_written);
}

void
gp_connection_send (gp_connection_t *connection, const char *bytes,
                    size_t size)
{
  uv_buf_t buffer = uv_buf_init ((char *)bytes, (unsigned)size);
  int n = uv_try_write ((uv_stream_t *)&connection->tcp, &buffer, 1);
  size_t done = n > 0 ? (size_t)n : 0;

  connection->state = GP_CONNECTION_HEAD;
  g_byte_array_set_size (connection->head, 0);
  if (done < size)
    write_later (connection, bytes + done, size - done);
}

gp_connection_t *
gp_connection_new (uv_loop_t *loop, const struct sockaddr_in *address,
                   const gp_connection_callbacks_t *callbacks)
{
  gp_connection_t *connection = g_new0 (gp_connection_t, 1);

  uv_tcp_init (loop, &connection->tcp);
  connection->callbacks = callbacks;
  connection->connect.data = connection;
  connection->head = g_byte_array_new ();
  gp_list_init (&connection->link);
  uv_tcp_connect (&connection->connect, &connection->tcp,
                  (const struct sockaddr *)address, on_connect);
  return connection;
}

/* One framed connection.

   Writing.  Frames are appended to PENDING.  At the end of the phase they
   are handed to the kernel in one write: without TLS the buffers PENDING and
   INFLIGHT change places, with TLS the encryption moves the bytes.  While
   the kernel has not taken INFLIGHT whole, the next frames gather in
   PENDING.

   Reading.  All peers read into one buffer of the loop, and frames are
   handed over from there without a copy; only the begin of a frame that has
   not come whole is kept, in INPUT.  An idle peer thus holds no buffer.

   The end.  Every way out leads to gp_peer_destroy, which closes the
   handles; the last of their callbacks, which come from the loop, calls
   on_close and frees the peer.  So a peer stays valid in any callback that
   closes it, and on_close is never called from inside a caller's call.

   TLS is OpenSSL over memory and not the TLS of h2o's sockets: its reader
   takes an empty read, which libuv reports after a read that filled the
   buffer, for an error, and it leaves out the name of a TLS 1.3 server.  */

#include "transport/peer.h"

#include <arpa/inet.h>
#include <string.h>

#include "base/counters.h"
#include "base/error.h"
#include "transport/peer_private.h"

#define BACKLOG_HIGH ((size_t)1024 * 1024)
#define BACKLOG_LOW ((size_t)256 * 1024)
/* A peer that has let this much gather is given up.  */
#define BACKLOG_MAX ((size_t)16 * 1024 * 1024)

/* Buffers of up to this size are kept for the next frames.  */
#define KEEP_SIZE 4096

/* Enough for the alert that ends a TLS connection.  */
#define SECURE_END_SIZE 256

#define LINGER_TIME (5 * GP_SEC)
#define KEEPALIVE_SECONDS 30

static gp_counter_t opened_total
    = GP_COUNTER ("peer_opened_total", "Peer connections opened.");
static gp_counter_t failed_total
    = GP_COUNTER ("peer_failed_total",
                  "Peer connections ended by the far side or an error.");
static gp_counter_t frames_in_total
    = GP_COUNTER ("peer_frames_in_total", "Frames received from peers.");
static gp_counter_t frames_out_total
    = GP_COUNTER ("peer_frames_out_total", "Frames queued for peers.");
static gp_counter_t bytes_in_total
    = GP_COUNTER ("peer_bytes_in_total", "Bytes received from peers.");
static gp_counter_t bytes_out_total
    = GP_COUNTER ("peer_bytes_out_total", "Bytes given to the kernel.");

static void
register_counters (void)
{
  gp_counter_register (&opened_total);
  gp_counter_register (&failed_total);
  gp_counter_register (&frames_in_total);
  gp_counter_register (&frames_out_total);
  gp_counter_register (&bytes_in_total);
  gp_counter_register (&bytes_out_total);
}

/* The end.  */

static void
release (gp_peer_t *peer)
{
  if (peer->announced)
    peer->callbacks.on_close (peer, peer->reason, peer->data);
  if (peer->secure.ssl != NULL)
    gp_secure_finish (&peer->secure);
  g_byte_array_unref (peer->input);
  g_byte_array_unref (peer->pending);
  g_byte_array_unref (peer->inflight);
  g_clear_error (&peer->reason);
  g_free (peer);
}

static void
on_handle_closed (uv_handle_t *handle)
{
  gp_peer_t *peer = handle->data;

  if (--peer->handles == 0)
    release (peer);
}

void
gp_peer_destroy (gp_peer_t *peer)
{
  if (peer->state == GP_PEER_CLOSED)
    return;
  peer->state = GP_PEER_CLOSED;
  gp_closer_remove (&peer->closer);
  gp_list_remove (&peer->server_link);
  gp_deferred_cancel (&peer->flush);
  gp_deferred_cancel (&peer->replay);
  peer->handles = 2;
  uv_close ((uv_handle_t *)&peer->tcp, on_handle_closed);
  uv_close ((uv_handle_t *)&peer->timer.uv, on_handle_closed);
}

/* Keep ERROR, which is taken, as the reason if there is none.  */
static void
set_reason (gp_peer_t *peer, GError *error)
{
  if (peer->reason != NULL)
    {
      g_error_free (error);
      return;
    }
  peer->reason = error;
  gp_counter_add (&failed_total, 1);
}

static void
fail (gp_peer_t *peer, gp_transport_error_t code, const char *message)
{
  if (peer->state == GP_PEER_CLOSED)
    return;
  if (peer->state < GP_PEER_CLOSING)
    set_reason (peer, g_error_new (GP_TRANSPORT_ERROR, (gint)code, "%s: %s",
                                   peer->address, message));
  gp_peer_destroy (peer);
}

static void
on_timeout (gp_timer_t *timer, void *data)
{
  fail (data, GP_TRANSPORT_ERROR_TIMEOUT, "not open in time");
}

static void
on_shutdown (uv_shutdown_t *request, int status)
{
  gp_peer_t *peer = GP_CONTAINER_OF (request, gp_peer_t, shutdown);

  if (status < 0)
    gp_peer_destroy (peer);
}

/* Without it the far side could not tell the end from a cut.  */
static void
write_secure_end (gp_peer_t *peer)
{
  uint8_t bytes[SECURE_END_SIZE];
  uv_buf_t buffer;
  size_t size;

  gp_secure_shutdown (&peer->secure);
  size = gp_secure_take (&peer->secure, bytes, sizeof bytes);
  buffer = uv_buf_init ((char *)bytes, (unsigned)size);
  if (size > 0)
    uv_try_write ((uv_stream_t *)&peer->tcp, &buffer, 1);
}

static void
start_lingering (gp_peer_t *peer)
{
  peer->state = GP_PEER_LINGERING;
  if (peer->secure.ssl != NULL)
    write_secure_end (peer);
  if (uv_shutdown (&peer->shutdown, (uv_stream_t *)&peer->tcp, on_shutdown)
      < 0)
    gp_peer_destroy (peer);
}

/* Writing.  */

static void
reset_buffer (GByteArray **buffer)
{
  if ((*buffer)->len <= KEEP_SIZE)
    {
      g_byte_array_set_size (*buffer, 0);
      return;
    }
  g_byte_array_unref (*buffer);
  *buffer = g_byte_array_new ();
}

static void
encrypt_pending (gp_peer_t *peer)
{
  bool may_write
      = peer->state == GP_PEER_OPEN || peer->state == GP_PEER_CLOSING;
  size_t size;

  if (may_write && peer->pending->len > 0)
    {
      gp_secure_write (&peer->secure, peer->pending->data, peer->pending->len);
      reset_buffer (&peer->pending);
    }
  size = gp_secure_pending (&peer->secure);
  g_byte_array_set_size (peer->inflight, (guint)size);
  gp_secure_take (&peer->secure, peer->inflight->data, size);
}

static void
fill_inflight (gp_peer_t *peer)
{
  GByteArray *filled = peer->pending;

  if (peer->secure.ssl != NULL)
    {
      encrypt_pending (peer);
      return;
    }
  peer->pending = peer->inflight;
  peer->inflight = filled;
}

static void flush (gp_peer_t *peer);

static void
on_written (uv_write_t *request, int status)
{
  gp_peer_t *peer = GP_CONTAINER_OF (request, gp_peer_t, write);

  peer->writing = false;
  reset_buffer (&peer->inflight);
  if (status < 0)
    fail (peer, GP_TRANSPORT_ERROR_CLOSED, uv_strerror (status));
  else
    flush (peer);
}

/* Give INFLIGHT to the kernel; what it does not take now follows.  */
static void
write_inflight (gp_peer_t *peer)
{
  uv_stream_t *stream = (uv_stream_t *)&peer->tcp;
  uv_buf_t rest
      = uv_buf_init ((char *)peer->inflight->data, peer->inflight->len);
  int rc = uv_try_write (stream, &rest, 1);

  gp_counter_add (&bytes_out_total, peer->inflight->len);
  if (rc == UV_EAGAIN)
    rc = 0;
  if (rc >= 0 && (size_t)rc == rest.len)
    {
      reset_buffer (&peer->inflight);
      return;
    }
  if (rc >= 0)
    {
      rest.base += rc;
      rest.len -= (size_t)rc;
      rc = uv_write (&peer->write, stream, &rest, 1, on_written);
      peer->writing = rc == 0;
    }
  if (rc < 0)
    fail (peer, GP_TRANSPORT_ERROR_CLOSED, uv_strerror (rc));
}

static void
report_drain (gp_peer_t *peer)
{
  if (!peer->congested || gp_peer_backlog (peer) > BACKLOG_LOW)
    return;
  peer->congested = false;
  if (peer->state == GP_PEER_OPEN && peer->callbacks.on_drain != NULL)
    peer->callbacks.on_drain (peer, peer->data);
}

static void
flush (gp_peer_t *peer)
{
  if (peer->writing || peer->state == GP_PEER_CONNECTING
      || peer->state >= GP_PEER_LINGERING)
    return;
  fill_inflight (peer);
  if (peer->inflight->len > 0)
    write_inflight (peer);
  if (peer->state == GP_PEER_CLOSED)
    return;
  report_drain (peer);
  if (peer->state == GP_PEER_CLOSING && !peer->writing)
    start_lingering (peer);
}

static void
on_flush (gp_deferred_t *deferred)
{
  flush (GP_CONTAINER_OF (deferred, gp_peer_t, flush));
}

static void start_reading (gp_peer_t *peer);

/* Write the rest, tell the far side, wait for it to close, then close.  */
static void
start_closing (gp_peer_t *peer)
{
  peer->state = GP_PEER_CLOSING;
  gp_timer_arm (&peer->timer, gp_loop_now (peer->loop) + LINGER_TIME);
  start_reading (peer);
  gp_deferred_schedule (&peer->flush, peer->loop);
}

/* Reading.  */

static uint32_t
frame_size (const uint8_t *bytes)
{
  uint32_t size;

  memcpy (&size, bytes, sizeof size);
  return ntohl (size);
}

/* Hand over the whole frames at BYTES; returns the bytes that are used.  */
static size_t
parse (gp_peer_t *peer, const uint8_t *bytes, size_t size)
{
  size_t used = 0;

  while (peer->state == GP_PEER_OPEN && !peer->paused
         && size - used >= GP_FRAME_HEADER_SIZE)
    {
      const uint8_t *body = bytes + used + GP_FRAME_HEADER_SIZE;
      size_t frame = frame_size (bytes + used);

      if (frame == 0 || frame > GP_FRAME_MAX_SIZE)
        {
          fail (peer, GP_TRANSPORT_ERROR_SIZE, "frame of a size not allowed");
          break;
        }
      if (size - used - GP_FRAME_HEADER_SIZE < frame)
        break;
      used += GP_FRAME_HEADER_SIZE + frame;
      gp_counter_add (&frames_in_total, 1);
      peer->callbacks.on_frame (peer, body, frame, peer->data);
    }
  return used;
}

static void
parse_input (gp_peer_t *peer)
{
  size_t used = parse (peer, peer->input->data, peer->input->len);

  if (used == peer->input->len)
    reset_buffer (&peer->input);
  else
    g_byte_array_remove_range (peer->input, 0, (guint)used);
}

static void
take_bytes (gp_peer_t *peer, const uint8_t *bytes, size_t size)
{
  size_t used = 0;

  if (peer->input->len > 0)
    {
      g_byte_array_append (peer->input, bytes, (guint)size);
      parse_input (peer);
      return;
    }
  used = parse (peer, bytes, size);
  g_byte_array_append (peer->input, bytes + used, (guint)(size - used));
}

static void
set_open (gp_peer_t *peer)
{
  peer->state = GP_PEER_OPEN;
  gp_timer_disarm (&peer->timer);
  gp_counter_add (&opened_total, 1);
  gp_list_remove (&peer->server_link);
  if (peer->server != NULL)
    {
      peer->announced = true;
      peer->data = peer->server->on_accept (peer, peer->server->data);
      peer->server = NULL;
    }
  if (peer->callbacks.on_open != NULL && peer->state == GP_PEER_OPEN)
    peer->callbacks.on_open (peer, peer->data);
  if (peer->pending->len > 0 && peer->state == GP_PEER_OPEN)
    gp_deferred_schedule (&peer->flush, peer->loop);
}

static void
end_secure (gp_peer_t *peer, GError *error)
{
  g_prefix_error (&error, "%s: ", peer->address);
  set_reason (peer, error);
  g_byte_array_set_size (peer->pending, 0);
  start_closing (peer);
}

static void
proceed_handshake (gp_peer_t *peer)
{
  GError *error = NULL;

  switch (gp_secure_handshake (&peer->secure, &error))
    {
    case GP_SECURE_DONE:
      flush (peer);
      if (peer->state == GP_PEER_HANDSHAKING)
        set_open (peer);
      break;
    case GP_SECURE_WAIT:
      flush (peer);
      break;
    case GP_SECURE_CLOSED:
      fail (peer, GP_TRANSPORT_ERROR_TLS, "refused");
      break;
    case GP_SECURE_FAILED:
      end_secure (peer, error);
      break;
    }
}

/* Decrypt and hand over what has come.  */
static void
read_secure (gp_peer_t *peer)
{
  uint8_t *buffer = peer->loop->plain_buffer;
  gp_secure_result_t result = GP_SECURE_DONE;
  GError *error = NULL;

  while (result == GP_SECURE_DONE && peer->state == GP_PEER_OPEN
         && !peer->paused)
    {
      size_t got = 0;

      result = gp_secure_read (&peer->secure, buffer, GP_LOOP_BUFFER_SIZE,
                               &got, &error);
      if (result == GP_SECURE_DONE)
        take_bytes (peer, buffer, got);
    }
  if (result == GP_SECURE_CLOSED)
    fail (peer, GP_TRANSPORT_ERROR_CLOSED, "closed by the peer");
  if (result == GP_SECURE_FAILED)
    end_secure (peer, error);
  if (peer->state == GP_PEER_OPEN && gp_secure_pending (&peer->secure) > 0)
    gp_deferred_schedule (&peer->flush, peer->loop);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  gp_peer_t *peer = handle->data;

  *buffer = uv_buf_init (peer->loop->read_buffer, GP_LOOP_BUFFER_SIZE);
}

static void
on_end (gp_peer_t *peer, int status)
{
  bool eof = status == UV_EOF;

  if (eof && peer->state == GP_PEER_CLOSING)
    return;
  fail (peer,
        peer->state == GP_PEER_HANDSHAKING ? GP_TRANSPORT_ERROR_TLS
                                           : GP_TRANSPORT_ERROR_CLOSED,
        eof ? "closed by the peer" : uv_strerror (status));
}

static void
on_read (uv_stream_t *stream, ssize_t got, const uv_buf_t *buffer)
{
  gp_peer_t *peer = stream->data;

  if (got < 0)
    {
      on_end (peer, (int)got);
      return;
    }
  gp_counter_add (&bytes_in_total, got);
  if (got == 0 || peer->state >= GP_PEER_CLOSING)
    return;
  if (peer->secure.ssl == NULL)
    {
      take_bytes (peer, (uint8_t *)buffer->base, (size_t)got);
      return;
    }
  gp_secure_feed (&peer->secure, buffer->base, (size_t)got);
  if (peer->state == GP_PEER_HANDSHAKING)
    proceed_handshake (peer);
  read_secure (peer);
}

static void
start_reading (gp_peer_t *peer)
{
  uv_read_start ((uv_stream_t *)&peer->tcp, on_alloc, on_read);
}

static void
on_replay (gp_deferred_t *deferred)
{
  gp_peer_t *peer = GP_CONTAINER_OF (deferred, gp_peer_t, replay);

  if (peer->input->len > 0)
    parse_input (peer);
  if (peer->secure.ssl != NULL)
    read_secure (peer);
  if (peer->state == GP_PEER_OPEN && !peer->paused)
    start_reading (peer);
}

/* Opening.  */

void
gp_peer_begin (gp_peer_t *peer, gp_tls_t *tls, bool server)
{
  uv_tcp_nodelay (&peer->tcp, 1);
  uv_tcp_keepalive (&peer->tcp, 1, KEEPALIVE_SECONDS);
  start_reading (peer);
  if (tls == NULL)
    {
      set_open (peer);
      return;
    }
  peer->state = GP_PEER_HANDSHAKING;
  if (gp_secure_init (&peer->secure, tls, server))
    proceed_handshake (peer);
  else
    fail (peer, GP_TRANSPORT_ERROR_TLS, "no memory");
}

gp_peer_t *
gp_peer_new (gp_loop_t *loop, const gp_peer_callbacks_t *callbacks)
{
  gp_peer_t *peer = g_new0 (gp_peer_t, 1);

  register_counters ();
  peer->loop = loop;
  peer->state = GP_PEER_CONNECTING;
  peer->callbacks = *callbacks;
  peer->input = g_byte_array_new ();
  peer->pending = g_byte_array_new ();
  peer->inflight = g_byte_array_new ();
  gp_list_init (&peer->server_link);
  gp_deferred_init (&peer->flush, on_flush);
  gp_deferred_init (&peer->replay, on_replay);
  gp_timer_init (&peer->timer, loop, on_timeout, peer);
  uv_tcp_init (&loop->uv, &peer->tcp);
  peer->tcp.data = peer;
  peer->timer.uv.data = peer;
  return peer;
}

static void
on_connect (uv_connect_t *request, int status)
{
  gp_peer_t *peer = GP_CONTAINER_OF (request, gp_peer_t, connect);

  if (peer->state == GP_PEER_CLOSED)
    return;
  if (status < 0)
    fail (peer, GP_TRANSPORT_ERROR_CONNECT, uv_strerror (status));
  else
    gp_peer_begin (peer, request->data, false);
}

static void
on_closer (gp_closer_t *closer)
{
  gp_peer_destroy (GP_CONTAINER_OF (closer, gp_peer_t, closer));
}

gp_peer_t *
gp_peer_connect (gp_loop_t *loop, const char *address, gp_tls_t *tls,
                 gp_time_t deadline, const gp_peer_callbacks_t *callbacks,
                 void *data, GError **error)
{
  struct sockaddr_storage target;
  gp_peer_t *peer;
  int rc;

  if (!gp_endpoint_parse (address, &target, error))
    return NULL;
  peer = gp_peer_new (loop, callbacks);
  gp_closer_add (&peer->closer, loop, on_closer, NULL);
  peer->announced = true;
  peer->data = data;
  gp_address_format (&target, peer->address, sizeof peer->address);
  gp_timer_arm (&peer->timer, deadline);
  peer->connect.data = tls;
  rc = uv_tcp_connect (&peer->connect, &peer->tcp, (struct sockaddr *)&target,
                       on_connect);
  if (rc < 0)
    fail (peer, GP_TRANSPORT_ERROR_CONNECT, uv_strerror (rc));
  return peer;
}

/* For the users of a peer.  */

uint8_t *
gp_peer_reserve (gp_peer_t *peer, size_t size)
{
  guint start = peer->pending->len;
  uint32_t header = htonl ((uint32_t)size);

  if (peer->state >= GP_PEER_CLOSING || size == 0 || size > GP_FRAME_MAX_SIZE)
    return NULL;
  if (gp_peer_backlog (peer) + size > BACKLOG_MAX)
    {
      fail (peer, GP_TRANSPORT_ERROR_SIZE, "does not take what is sent");
      return NULL;
    }
  g_byte_array_set_size (peer->pending,
                         start + GP_FRAME_HEADER_SIZE + (guint)size);
  memcpy (peer->pending->data + start, &header, sizeof header);
  gp_counter_add (&frames_out_total, 1);
  if (gp_peer_backlog (peer) > BACKLOG_HIGH)
    peer->congested = true;
  gp_deferred_schedule (&peer->flush, peer->loop);
  return peer->pending->data + start + GP_FRAME_HEADER_SIZE;
}

bool
gp_peer_send (gp_peer_t *peer, const uint8_t *bytes, size_t size)
{
  uint8_t *target = gp_peer_reserve (peer, size);

  if (target == NULL)
    return false;
  memcpy (target, bytes, size);
  return true;
}

size_t
gp_peer_backlog (const gp_peer_t *peer)
{
  size_t unwritten = 0;

  if (peer->writing)
    unwritten
        = uv_stream_get_write_queue_size ((const uv_stream_t *)&peer->tcp);
  return peer->pending->len + unwritten;
}

bool
gp_peer_congested (const gp_peer_t *peer)
{
  return peer->congested;
}

void
gp_peer_pause (gp_peer_t *peer)
{
  peer->paused = true;
  if (peer->state == GP_PEER_OPEN)
    uv_read_stop ((uv_stream_t *)&peer->tcp);
}

void
gp_peer_resume (gp_peer_t *peer)
{
  if (!peer->paused)
    return;
  peer->paused = false;
  if (peer->state == GP_PEER_OPEN)
    gp_deferred_schedule (&peer->replay, peer->loop);
}

void
gp_peer_close (gp_peer_t *peer, bool abort_now)
{
  if (peer->state == GP_PEER_CLOSED)
    return;
  if (abort_now || peer->state < GP_PEER_OPEN)
    gp_peer_destroy (peer);
  else if (peer->state == GP_PEER_OPEN)
    start_closing (peer);
}

const char *
gp_peer_address (const gp_peer_t *peer)
{
  return peer->address;
}

void
gp_peer_set_data (gp_peer_t *peer, void *data)
{
  peer->data = data;
}

void *
gp_peer_data (const gp_peer_t *peer)
{
  return peer->data;
}

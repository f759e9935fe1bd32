/* Reading from a framed connection, including the handshake; see peer.c.  */

#include <arpa/inet.h>
#include <string.h>

#include "base/counters.h"
#include "base/error.h"
#include "transport/peer_private.h"

#define KEEPALIVE_SECONDS 30

static gp_counter_t frames_in_total
    = GP_COUNTER ("peer_frames_in_total", "Frames received from peers.");
static gp_counter_t bytes_in_total
    = GP_COUNTER ("peer_bytes_in_total", "Bytes received from peers.");

static uint32_t
frame_size (const uint8_t *bytes)
{
  uint32_t size;

  memcpy (&size, bytes, sizeof size);
  return ntohl (size);
}

/* Pass the complete frames at BYTES to the user and return the number of bytes
   consumed.  */
static size_t
parse_frames (gp_peer_t *peer, const uint8_t *bytes, size_t size)
{
  size_t used = 0;

  while (peer->state == GP_PEER_OPEN && !peer->paused
         && size - used >= GP_FRAME_HEADER_SIZE)
    {
      const uint8_t *body = bytes + used + GP_FRAME_HEADER_SIZE;
      size_t frame = frame_size (bytes + used);

      if (frame == 0 || frame > GP_FRAME_MAX_SIZE)
        {
          gp_peer_fail (peer, GP_TRANSPORT_ERROR_SIZE, "invalid frame size");
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
  size_t used = parse_frames (peer, peer->input->data, peer->input->len);

  if (used == peer->input->len)
    gp_peer_reset_buffer (&peer->input);
  else
    g_byte_array_remove_range (peer->input, 0, (guint)used);
}

/* Returns the bytes that PEER needs until its incomplete frame is complete. */
static size_t
input_needed (const gp_peer_t *peer)
{
  if (peer->input->len < GP_FRAME_HEADER_SIZE)
    return peer->input->len;
  return MAX (peer->input->len,
              frame_size (peer->input->data) + GP_FRAME_HEADER_SIZE);
}

/* Ask the limiter for the memory of an incomplete frame, and stop reading
   until it is granted.  */
static void
reserve_input (gp_peer_t *peer)
{
  size_t needed = input_needed (peer);

  if (peer->state != GP_PEER_OPEN)
    return;
  if (peer->input->len > 0)
    gp_limited_connection_set_phase (&peer->limited, GP_CONNECTION_RECEIVING);
  else
    gp_limited_connection_refresh (&peer->limited);
  gp_limited_connection_shrink (&peer->limited, needed);
  if (gp_limited_connection_grow (&peer->limited, needed))
    return;
  peer->awaits_memory = true;
  uv_read_stop ((uv_stream_t *)&peer->tcp);
}

static void
process_bytes (gp_peer_t *peer, const uint8_t *bytes, size_t size)
{
  size_t used = 0;

  if (peer->input->len > 0)
    {
      g_byte_array_append (peer->input, bytes, (guint)size);
      parse_input (peer);
      return;
    }
  used = parse_frames (peer, bytes, size);
  g_byte_array_append (peer->input, bytes + used, (guint)(size - used));
}

static void
fail_tls (gp_peer_t *peer, GError *error)
{
  g_prefix_error (&error, "%s: ", peer->address);
  gp_peer_set_reason (peer, error);
  g_byte_array_set_size (peer->pending, 0);
  gp_peer_start_closing (peer);
}

static void
continue_handshake (gp_peer_t *peer)
{
  GError *error = NULL;

  switch (gp_tls_conn_handshake (&peer->tls_conn, &error))
    {
    case GP_TLS_DONE:
      gp_peer_flush (peer);
      if (peer->state == GP_PEER_HANDSHAKING)
        gp_peer_set_open (peer);
      break;
    case GP_TLS_WAIT:
      gp_peer_flush (peer);
      break;
    case GP_TLS_CLOSED:
      gp_peer_fail (peer, GP_TRANSPORT_ERROR_TLS, "refused");
      break;
    case GP_TLS_FAILED:
      fail_tls (peer, error);
      break;
    }
}

/* Decrypt and process received bytes.  */
static void
read_tls (gp_peer_t *peer)
{
  uint8_t *buffer = peer->loop->plain_buffer;
  gp_tls_result_t result = GP_TLS_DONE;
  GError *error = NULL;

  while (result == GP_TLS_DONE && peer->state == GP_PEER_OPEN && !peer->paused)
    {
      size_t got = 0;

      result = gp_tls_conn_read (&peer->tls_conn, buffer, GP_LOOP_BUFFER_SIZE,
                                 &got, &error);
      if (result == GP_TLS_DONE)
        process_bytes (peer, buffer, got);
    }
  if (result == GP_TLS_CLOSED)
    gp_peer_fail (peer, GP_TRANSPORT_ERROR_CLOSED, "closed by the peer");
  if (result == GP_TLS_FAILED)
    fail_tls (peer, error);
  if (peer->state == GP_PEER_OPEN && gp_tls_conn_pending (&peer->tls_conn) > 0)
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

  peer->input_ended = true;
  if (eof && peer->state == GP_PEER_CLOSING)
    return;
  gp_peer_fail (peer,
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
  peer->received_at = gp_loop_now (peer->loop);
  if (got == 0 || peer->state >= GP_PEER_CLOSING)
    return;
  if (peer->tls_conn.ssl == NULL)
    {
      process_bytes (peer, (uint8_t *)buffer->base, (size_t)got);
      reserve_input (peer);
      return;
    }
  gp_tls_conn_feed (&peer->tls_conn, buffer->base, (size_t)got);
  if (peer->state == GP_PEER_HANDSHAKING)
    continue_handshake (peer);
  read_tls (peer);
  reserve_input (peer);
}

void
gp_peer_start_reading (gp_peer_t *peer)
{
  uv_read_start ((uv_stream_t *)&peer->tcp, on_alloc, on_read);
}

static void
on_resume (gp_deferred_t *deferred)
{
  gp_peer_t *peer = GP_CONTAINER_OF (deferred, gp_peer_t, resume);

  if (peer->input->len > 0)
    parse_input (peer);
  if (peer->tls_conn.ssl != NULL)
    read_tls (peer);
  reserve_input (peer);
  if (peer->state == GP_PEER_OPEN && !peer->paused && !peer->awaits_memory)
    gp_peer_start_reading (peer);
}

void
gp_peer_init_reading (gp_peer_t *peer)
{
  gp_counter_register (&frames_in_total);
  gp_counter_register (&bytes_in_total);
  gp_deferred_init (&peer->resume, on_resume);
}

void
gp_peer_start (gp_peer_t *peer, gp_tls_t *tls, bool server)
{
  uv_tcp_nodelay (&peer->tcp, 1);
  uv_tcp_keepalive (&peer->tcp, 1, KEEPALIVE_SECONDS);
  gp_peer_start_reading (peer);
  if (tls == NULL)
    {
      gp_peer_set_open (peer);
      return;
    }
  peer->state = GP_PEER_HANDSHAKING;
  if (gp_tls_conn_init (&peer->tls_conn, tls, server))
    continue_handshake (peer);
  else
    gp_peer_fail (peer, GP_TRANSPORT_ERROR_TLS, "out of memory");
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
    gp_deferred_schedule (&peer->resume, peer->loop);
}

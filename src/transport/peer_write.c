/* Writing to a framed connection, and its orderly shutdown; see peer.c.  */

#include <arpa/inet.h>
#include <string.h>

#include "base/counters.h"
#include "base/error.h"
#include "transport/peer_private.h"

#define BACKLOG_HIGH ((size_t)1024 * 1024)
#define BACKLOG_LOW ((size_t)256 * 1024)
/* A peer with a larger backlog is closed.  */
#define BACKLOG_MAX ((size_t)16 * 1024 * 1024)

/* Sufficient for the close_notify alert that ends a TLS connection.  */
#define CLOSE_NOTIFY_SIZE 256

#define LINGER_TIME (5 * GP_SEC)

static gp_counter_t frames_out_total
    = GP_COUNTER ("peer_frames_out_total", "Frames queued for peers.");
static gp_counter_t bytes_out_total
    = GP_COUNTER ("peer_bytes_out_total", "Bytes given to the kernel.");

static void
on_shutdown (uv_shutdown_t *request, int status)
{
  gp_peer_t *peer = GP_CONTAINER_OF (request, gp_peer_t, shutdown);

  if (status < 0 || peer->input_ended)
    gp_peer_destroy (peer);
}

/* Send the close_notify alert, without which the peer could not
   distinguish the end from a truncation.  */
static void
send_close_notify (gp_peer_t *peer)
{
  uint8_t bytes[CLOSE_NOTIFY_SIZE];
  uv_buf_t buffer;
  size_t size;

  gp_tls_conn_shutdown (&peer->tls_conn);
  size = gp_tls_conn_take (&peer->tls_conn, bytes, sizeof bytes);
  buffer = uv_buf_init ((char *)bytes, (unsigned)size);
  if (size > 0)
    uv_try_write ((uv_stream_t *)&peer->tcp, &buffer, 1);
}

static void
start_lingering (gp_peer_t *peer)
{
  peer->state = GP_PEER_LINGERING;
  if (peer->tls_conn.ssl != NULL)
    send_close_notify (peer);
  if (uv_shutdown (&peer->shutdown, (uv_stream_t *)&peer->tcp, on_shutdown)
      < 0)
    gp_peer_destroy (peer);
}

static void
encrypt_pending (gp_peer_t *peer)
{
  bool may_write
      = peer->state == GP_PEER_OPEN || peer->state == GP_PEER_CLOSING;
  size_t size;

  if (may_write && peer->pending->len > 0)
    {
      gp_tls_conn_write (&peer->tls_conn, peer->pending->data,
                         peer->pending->len);
      gp_peer_reset_buffer (&peer->pending);
    }
  size = gp_tls_conn_pending (&peer->tls_conn);
  g_byte_array_set_size (peer->inflight, (guint)size);
  gp_tls_conn_take (&peer->tls_conn, peer->inflight->data, size);
}

static void
fill_inflight (gp_peer_t *peer)
{
  GByteArray *filled = peer->pending;

  if (peer->tls_conn.ssl != NULL)
    {
      encrypt_pending (peer);
      return;
    }
  peer->pending = peer->inflight;
  peer->inflight = filled;
}

static void
on_written (uv_write_t *request, int status)
{
  gp_peer_t *peer = GP_CONTAINER_OF (request, gp_peer_t, write);

  peer->writing = false;
  gp_peer_reset_buffer (&peer->inflight);
  if (status < 0)
    gp_peer_fail (peer, GP_TRANSPORT_ERROR_CLOSED, uv_strerror (status));
  else
    gp_peer_flush (peer);
}

/* Pass INFLIGHT to the kernel; what does not fit now is written
   asynchronously.  */
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
      gp_peer_reset_buffer (&peer->inflight);
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
    gp_peer_fail (peer, GP_TRANSPORT_ERROR_CLOSED, uv_strerror (rc));
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

void
gp_peer_flush (gp_peer_t *peer)
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
  gp_peer_flush (GP_CONTAINER_OF (deferred, gp_peer_t, flush));
}

void
gp_peer_start_closing (gp_peer_t *peer)
{
  peer->state = GP_PEER_CLOSING;
  gp_timer_arm (&peer->timer, gp_loop_now (peer->loop) + LINGER_TIME);
  gp_peer_start_reading (peer);
  gp_deferred_schedule (&peer->flush, peer->loop);
}

void
gp_peer_init_writing (gp_peer_t *peer)
{
  gp_counter_register (&frames_out_total);
  gp_counter_register (&bytes_out_total);
  gp_deferred_init (&peer->flush, on_flush);
}

uint8_t *
gp_peer_reserve (gp_peer_t *peer, size_t size)
{
  guint start = peer->pending->len;
  uint32_t header = htonl ((uint32_t)size);

  if (peer->state >= GP_PEER_CLOSING || size == 0 || size > GP_FRAME_MAX_SIZE)
    return NULL;
  if (gp_peer_backlog (peer) + size > BACKLOG_MAX)
    {
      gp_peer_fail (peer, GP_TRANSPORT_ERROR_SIZE,
                    "write backlog over the limit");
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

/* One framed connection.

   Writing (peer_write.c).  Frames are appended to PENDING.  At the end of
   the phase they are passed to the kernel in one write: without TLS the
   buffers PENDING and INFLIGHT are swapped, with TLS the encryption moves the
   bytes.  While the kernel has not accepted all of INFLIGHT, further frames
   collect in PENDING.

   Reading (peer_read.c).  All peers read into one buffer of the loop, and
   frames are passed to the user from there without a copy.  Only an
   incomplete frame is kept, in INPUT, so an idle peer holds no buffer.

   Closing.  Every path ends in gp_peer_destroy, which closes the handles.
   Their close callbacks are called from the loop; the last one calls on_close
   and frees the peer.  So a peer stays valid in any callback that closes it,
   and on_close is never called before a function of the user's returns.

   TLS uses OpenSSL with memory buffers and not the TLS of h2o's sockets.
   h2o's reader treats an empty read, which libuv reports after a read that
   filled the buffer, as an error, and it omits the server name with
   TLS 1.3.  */

#include "transport/peer.h"

#include "base/counters.h"
#include "base/error.h"
#include "transport/peer_private.h"

/* Buffers up to this size are kept for reuse.  */
#define RETAINED_BUFFER_SIZE 4096

static gp_counter_t opened_total
    = GP_COUNTER ("peer_opened_total", "Peer connections opened.");
static gp_counter_t failed_total
    = GP_COUNTER ("peer_failed_total",
                  "Peer connections ended by the far side or an error.");

/* Closing.  */

static void
release (gp_peer_t *peer)
{
  if (peer->user_notified)
    peer->callbacks.on_close (peer, peer->reason, peer->data);
  if (peer->tls_conn.ssl != NULL)
    gp_tls_conn_finish (&peer->tls_conn);
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
  gp_limited_connection_leave (&peer->limited);
  gp_closer_remove (&peer->closer);
  gp_list_remove (&peer->server_link);
  gp_deferred_cancel (&peer->flush);
  gp_deferred_cancel (&peer->resume);
  peer->handles = 2;
  uv_close ((uv_handle_t *)&peer->tcp, on_handle_closed);
  uv_close ((uv_handle_t *)&peer->timer.uv, on_handle_closed);
}

void
gp_peer_set_reason (gp_peer_t *peer, GError *error)
{
  if (peer->reason != NULL)
    {
      g_error_free (error);
      return;
    }
  peer->reason = error;
  gp_counter_add (&failed_total, 1);
}

void
gp_peer_fail (gp_peer_t *peer, gp_transport_error_t code, const char *message)
{
  if (peer->state == GP_PEER_CLOSED)
    return;
  if (peer->state < GP_PEER_CLOSING)
    gp_peer_set_reason (peer, g_error_new (GP_TRANSPORT_ERROR, (gint)code,
                                           "%s: %s", peer->address, message));
  gp_peer_destroy (peer);
}

static void
on_timeout (gp_timer_t *timer, void *data)
{
  gp_peer_fail (data, GP_TRANSPORT_ERROR_TIMEOUT,
                "connection not established in time");
}

void
gp_peer_reset_buffer (GByteArray **buffer)
{
  if ((*buffer)->len <= RETAINED_BUFFER_SIZE)
    {
      g_byte_array_set_size (*buffer, 0);
      return;
    }
  g_byte_array_unref (*buffer);
  *buffer = g_byte_array_new ();
}

/* Opening.  */

void
gp_peer_set_open (gp_peer_t *peer)
{
  peer->state = GP_PEER_OPEN;
  peer->received_at = gp_loop_now (peer->loop);
  gp_timer_disarm (&peer->timer);
  gp_counter_add (&opened_total, 1);
  gp_list_remove (&peer->server_link);
  if (peer->paused)
    uv_read_stop ((uv_stream_t *)&peer->tcp);
  if (peer->server != NULL)
    {
      peer->user_notified = true;
      peer->data = peer->server->on_accept (peer, peer->server->data);
      peer->server = NULL;
    }
  if (peer->callbacks.on_open != NULL && peer->state == GP_PEER_OPEN)
    peer->callbacks.on_open (peer, peer->data);
  if (peer->pending->len > 0 && peer->state == GP_PEER_OPEN)
    gp_deferred_schedule (&peer->flush, peer->loop);
}

gp_peer_t *
gp_peer_new (gp_loop_t *loop, const gp_peer_callbacks_t *callbacks)
{
  gp_peer_t *peer = g_new0 (gp_peer_t, 1);

  gp_counter_register (&opened_total);
  gp_counter_register (&failed_total);
  peer->loop = loop;
  peer->state = GP_PEER_CONNECTING;
  peer->callbacks = *callbacks;
  peer->input = g_byte_array_new ();
  peer->pending = g_byte_array_new ();
  peer->inflight = g_byte_array_new ();
  gp_list_init (&peer->server_link);
  gp_peer_init_writing (peer);
  gp_peer_init_reading (peer);
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
    gp_peer_fail (peer, GP_TRANSPORT_ERROR_CONNECT, uv_strerror (status));
  else
    gp_peer_start (peer, request->data, false);
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
  peer->user_notified = true;
  peer->data = data;
  gp_address_format (&target, peer->address, sizeof peer->address);
  gp_timer_arm (&peer->timer, deadline);
  peer->connect.data = tls;
  rc = uv_tcp_connect (&peer->connect, &peer->tcp, (struct sockaddr *)&target,
                       on_connect);
  if (rc < 0)
    gp_peer_fail (peer, GP_TRANSPORT_ERROR_CONNECT, uv_strerror (rc));
  return peer;
}

/* Public functions for open peers.  */

void
gp_peer_close (gp_peer_t *peer, bool abort_now)
{
  if (peer->state == GP_PEER_CLOSED)
    return;
  if (abort_now || peer->state < GP_PEER_OPEN)
    gp_peer_destroy (peer);
  else if (peer->state == GP_PEER_OPEN)
    gp_peer_start_closing (peer);
}

gp_time_t
gp_peer_received_at (const gp_peer_t *peer)
{
  return peer->received_at;
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

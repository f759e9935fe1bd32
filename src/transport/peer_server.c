/* Server side of framed connections.  */

#include "base/error.h"
#include "transport/peer_private.h"

#define HANDSHAKE_TIME (5 * GP_SEC)

/* The kernel's receive buffer of a peer in bytes, for a tenth of a second of
   orders; a peer that does not read holds no more.  */
#define RECEIVE_BUFFER (32 * 1024)

static void
on_peer_closer (gp_closer_t *closer)
{
  gp_peer_destroy (GP_CONTAINER_OF (closer, gp_peer_t, closer));
}

static void
set_peer_address (gp_peer_t *peer)
{
  struct sockaddr_storage address = { 0 };
  int size = sizeof address;

  uv_tcp_getpeername (&peer->tcp, (struct sockaddr *)&address, &size);
  gp_address_format (&address, peer->address, sizeof peer->address);
}

static gp_peer_t *
peer_of (gp_limited_connection_t *limited)
{
  return GP_CONTAINER_OF (limited, gp_peer_t, limited);
}

static void
on_evicted (gp_limited_connection_t *limited)
{
  gp_peer_fail (peer_of (limited), GP_TRANSPORT_ERROR_SIZE,
                "closed to make room for others");
}

static void
on_resumed (gp_limited_connection_t *limited)
{
  gp_peer_t *peer = peer_of (limited);

  peer->awaits_memory = false;
  if (peer->state == GP_PEER_OPEN && !peer->paused)
    gp_peer_start_reading (peer);
}

static void
enter_limiter (gp_peer_t *peer, gp_connection_limiter_t *limiter)
{
  peer->limited.close = on_evicted;
  peer->limited.resume = on_resumed;
  gp_limited_connection_enter (&peer->limited, limiter);
}

static void
on_connection (gp_listener_t *listener)
{
  gp_peer_server_t *server
      = GP_CONTAINER_OF (listener, gp_peer_server_t, listener);
  gp_peer_t *peer = gp_peer_new (server->loop, &server->callbacks);

  gp_closer_add (&peer->closer, server->loop, on_peer_closer, NULL);
  if (uv_accept ((uv_stream_t *)&listener->tcp, (uv_stream_t *)&peer->tcp) < 0
      || !gp_connection_limiter_admit (server->limiter))
    {
      gp_peer_destroy (peer);
      return;
    }
  enter_limiter (peer, server->limiter);
  set_peer_address (peer);
  peer->server = server;
  gp_list_push_back (&server->handshaking, &peer->server_link);
  gp_timer_arm (&peer->timer,
                gp_loop_now (server->loop) + server->handshake_time);
  gp_peer_start (peer, server->tls, true);
}

static void
on_closer (gp_closer_t *closer)
{
  gp_peer_server_close (GP_CONTAINER_OF (closer, gp_peer_server_t, closer));
}

gp_peer_server_t *
gp_peer_listen (gp_loop_t *loop, const char *address, gp_tls_t *tls,
                const gp_peer_callbacks_t *callbacks,
                void *(*on_accept) (gp_peer_t *peer, void *data), void *data,
                GError **error)
{
  static const gp_socket_buffers_t buffers = { .receive = RECEIVE_BUFFER };
  gp_peer_server_t *server = g_new0 (gp_peer_server_t, 1);

  server->loop = loop;
  server->tls = tls;
  server->callbacks = *callbacks;
  server->on_accept = on_accept;
  server->data = data;
  server->handshake_time = HANDSHAKE_TIME;
  gp_list_init (&server->handshaking);
  gp_closer_add (&server->closer, loop, on_closer, NULL);
  if (gp_listener_open (&server->listener, loop, address, buffers,
                        GP_LISTENER_BACKLOG, on_connection, error))
    return server;
  gp_peer_server_close (server);
  return NULL;
}

static void
on_listener_closed (gp_listener_t *listener)
{
  g_free (GP_CONTAINER_OF (listener, gp_peer_server_t, listener));
}

void
gp_peer_server_close (gp_peer_server_t *server)
{
  gp_closer_remove (&server->closer);
  GP_LIST_FOREACH_SAFE (pos, &server->handshaking)
  gp_peer_destroy (GP_CONTAINER_OF (pos, gp_peer_t, server_link));
  gp_listener_close (&server->listener, on_listener_closed);
}

void
gp_peer_trust (gp_peer_t *peer)
{
  gp_limited_connection_set_phase (&peer->limited, GP_CONNECTION_TRUSTED);
}

void
gp_peer_server_set_limiter (gp_peer_server_t *server,
                            gp_connection_limiter_t *limiter)
{
  server->limiter = limiter;
}

int
gp_peer_server_port (const gp_peer_server_t *server)
{
  return gp_listener_port (&server->listener);
}

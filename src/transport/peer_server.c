/* Accepting framed connections.  */

#include "base/counters.h"
#include "base/error.h"
#include "transport/peer_private.h"

#define HANDSHAKE_TIME (5 * GP_SEC)

static gp_counter_t accept_errors_total = GP_COUNTER (
    "peer_accept_errors_total", "Connections that could not be accepted.");

static void
on_peer_closer (gp_closer_t *closer)
{
  gp_peer_destroy (GP_CONTAINER_OF (closer, gp_peer_t, closer));
}

static void
name_peer (gp_peer_t *peer)
{
  struct sockaddr_storage address = { 0 };
  int size = sizeof address;

  uv_tcp_getpeername (&peer->tcp, (struct sockaddr *)&address, &size);
  gp_address_format (&address, peer->address, sizeof peer->address);
}

/* An error here, such as too many open descriptors, passes: libuv goes on
   listening.  */
static void
on_connection (uv_stream_t *stream, int status)
{
  gp_peer_server_t *server = stream->data;
  gp_peer_t *peer;

  if (status < 0)
    {
      gp_counter_add (&accept_errors_total, 1);
      return;
    }
  peer = gp_peer_new (server->loop, &server->callbacks);
  gp_closer_add (&peer->closer, server->loop, on_peer_closer, NULL);
  if (uv_accept (stream, (uv_stream_t *)&peer->tcp) < 0)
    {
      gp_counter_add (&accept_errors_total, 1);
      gp_peer_destroy (peer);
      return;
    }
  name_peer (peer);
  peer->server = server;
  gp_list_push_back (&server->unopened, &peer->server_link);
  gp_timer_arm (&peer->timer,
                gp_loop_now (server->loop) + server->handshake_time);
  gp_peer_begin (peer, server->tls, true);
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
  gp_peer_server_t *server = g_new0 (gp_peer_server_t, 1);
  bool opened = false;

  gp_counter_register (&accept_errors_total);
  server->loop = loop;
  server->tls = tls;
  server->callbacks = *callbacks;
  server->on_accept = on_accept;
  server->data = data;
  server->handshake_time = HANDSHAKE_TIME;
  gp_list_init (&server->unopened);
  gp_closer_add (&server->closer, loop, on_closer, NULL);
  if (gp_endpoint_listen (&loop->uv, &server->listener, address, on_connection,
                          &opened, error))
    {
      server->listener.data = server;
      return server;
    }
  server->listener.data = server;
  if (opened)
    gp_peer_server_close (server);
  else
    {
      gp_closer_remove (&server->closer);
      g_free (server);
    }
  return NULL;
}

static void
on_listener_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

void
gp_peer_server_close (gp_peer_server_t *server)
{
  gp_closer_remove (&server->closer);
  GP_LIST_FOREACH_SAFE (pos, &server->unopened)
  gp_peer_destroy (GP_CONTAINER_OF (pos, gp_peer_t, server_link));
  uv_close ((uv_handle_t *)&server->listener, on_listener_closed);
}

int
gp_peer_server_port (const gp_peer_server_t *server)
{
  return gp_endpoint_bound_port (&server->listener);
}

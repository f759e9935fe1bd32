/* Both ends of a framed connection for the tests of the transport.  */

#include "transport_peer_support.h"

#include "runner.h"

#define CONNECT_TIME (10 * GP_SEC)

uint32_t
sum_bytes (const uint8_t *bytes, size_t size)
{
  uint32_t sum = 0;

  for (size_t i = 0; i < size; i++)
    sum = sum * 31 + bytes[i];
  return sum;
}

static void
on_open (gp_peer_t *peer, void *data)
{
  end_t *end = data;

  end->opens++;
}

static void
on_frame (gp_peer_t *peer, const uint8_t *bytes, size_t size, void *data)
{
  end_t *end = data;

  end->frames++;
  end->last_size = size;
  end->last_sum = sum_bytes (bytes, size);
  end->sum = end->sum * 31 + end->last_sum;
  if (end->echo)
    CU_ASSERT_TRUE (gp_peer_send (peer, bytes, size));
  if (end->frames == end->close_after)
    gp_peer_close (peer, true);
  if (end->frames == end->pause_after)
    gp_peer_pause (peer);
}

static void
on_drain (gp_peer_t *peer, void *data)
{
  end_t *end = data;

  end->drains++;
}

static void
on_close (gp_peer_t *peer, const GError *reason, void *data)
{
  end_t *end = data;

  end->closes++;
  end->peer = NULL;
  end->code = reason != NULL ? reason->code : -1;
}

const gp_peer_callbacks_t end_callbacks
    = { on_open, on_frame, on_drain, on_close };

static void *
on_accept (gp_peer_t *peer, void *data)
{
  fixture_t *fixture = data;

  fixture->acceptor.peer = peer;
  return &fixture->acceptor;
}

void
peer_setup (fixture_t *fixture, gp_tls_t *tls)
{
  GError *error = NULL;

  memset (fixture, 0, sizeof *fixture);
  CU_ASSERT_TRUE_FATAL (gp_loop_init (&fixture->loop, &error));
  fixture->server
      = gp_peer_listen (&fixture->loop, "127.0.0.1:0", tls, &end_callbacks,
                        on_accept, fixture, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->server);
  g_snprintf (fixture->address, sizeof fixture->address, "127.0.0.1:%d",
              gp_peer_server_port (fixture->server));
}

void
connect_initiator (fixture_t *fixture, gp_tls_t *tls)
{
  gp_time_t deadline = gp_loop_now (&fixture->loop) + CONNECT_TIME;

  fixture->initiator.peer
      = gp_peer_connect (&fixture->loop, fixture->address, tls, deadline,
                         &end_callbacks, &fixture->initiator, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->initiator.peer);
}

void
peer_teardown (fixture_t *fixture)
{
  gp_peer_server_close (fixture->server);
  gp_loop_finish (&fixture->loop);
}

void
send_numbered (gp_peer_t *peer, int number, size_t size)
{
  uint8_t *bytes = gp_peer_reserve (peer, size);

  CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
  if (bytes == NULL)
    return;
  for (size_t i = 0; i < size; i++)
    bytes[i] = (uint8_t)(number * 7 + (int)i);
}

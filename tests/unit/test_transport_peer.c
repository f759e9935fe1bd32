/* Tests of framed connections on loopback, with and without TLS.  */

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <sys/socket.h>

#include "base/error.h"
#include "transport/peer.h"
#include "transport_support.h"

#define CONNECT_TIME (10 * GP_SEC)

/* One end: what it has seen.  */
typedef struct
{
  gp_peer_t *peer;
  int opens;
  int frames;
  int closes;
  int drains;
  int code; /* of the reason of its end, -1 without */
  bool echo;
  int close_after; /* frames, 0: never */
  size_t last_size;
  uint32_t last_sum;
  uint32_t sum;
} end_t;

typedef struct
{
  gp_loop_t loop;
  gp_peer_server_t *server;
  end_t near; /* the side that connects */
  end_t far;  /* the side that accepts */
  char address[32];
} fixture_t;

static uint32_t
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
  end->sum += end->last_sum;
  if (end->echo)
    CU_ASSERT_TRUE (gp_peer_send (peer, bytes, size));
  if (end->frames == end->close_after)
    gp_peer_close (peer, true);
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

static const gp_peer_callbacks_t callbacks
    = { on_open, on_frame, on_drain, on_close };

static void *
on_accept (gp_peer_t *peer, void *data)
{
  fixture_t *fixture = data;

  fixture->far.peer = peer;
  return &fixture->far;
}

static void
setup (fixture_t *fixture, gp_tls_t *tls)
{
  GError *error = NULL;

  memset (fixture, 0, sizeof *fixture);
  CU_ASSERT_TRUE_FATAL (gp_loop_init (&fixture->loop, &error));
  fixture->server = gp_peer_listen (&fixture->loop, "127.0.0.1:0", tls,
                                    &callbacks, on_accept, fixture, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->server);
  g_snprintf (fixture->address, sizeof fixture->address, "127.0.0.1:%d",
              gp_peer_server_port (fixture->server));
}

static void
connect_near (fixture_t *fixture, gp_tls_t *tls)
{
  gp_time_t deadline = gp_loop_now (&fixture->loop) + CONNECT_TIME;

  fixture->near.peer
      = gp_peer_connect (&fixture->loop, fixture->address, tls, deadline,
                         &callbacks, &fixture->near, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->near.peer);
}

static void
teardown (fixture_t *fixture)
{
  gp_peer_server_close (fixture->server);
  gp_loop_finish (&fixture->loop);
}

static void
send_numbered (gp_peer_t *peer, int number, size_t size)
{
  uint8_t *bytes = gp_peer_reserve (peer, size);

  CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
  if (bytes == NULL)
    return;
  for (size_t i = 0; i < size; i++)
    bytes[i] = (uint8_t)(number * 7 + (int)i);
}

static void
exchange_frames (gp_tls_t *server_tls, gp_tls_t *client_tls)
{
  fixture_t fixture;

  setup (&fixture, server_tls);
  fixture.far.echo = true;
  connect_near (&fixture, client_tls);
  /* Queued before the connection is open.  */
  send_numbered (fixture.near.peer, 1, 100);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.near.frames, 1));
  for (int i = 0; i < 1000; i++)
    send_numbered (fixture.near.peer, i, 1 + (size_t)(i % 300));
  send_numbered (fixture.near.peer, 3, GP_FRAME_MAX_SIZE);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.near.frames, 1002));
  CU_ASSERT_EQUAL (fixture.far.frames, 1002);
  CU_ASSERT_EQUAL (fixture.far.sum, fixture.near.sum);
  CU_ASSERT_EQUAL (fixture.near.last_size, GP_FRAME_MAX_SIZE);
  CU_ASSERT_EQUAL (fixture.near.opens, 1);
  CU_ASSERT_EQUAL (fixture.far.opens, 1);
  teardown (&fixture);
  CU_ASSERT_EQUAL (fixture.near.closes, 1);
  CU_ASSERT_EQUAL (fixture.far.closes, 1);
}

static void
test_frames_plain (void)
{
  exchange_frames (NULL, NULL);
}

static void
test_frames_tls (void)
{
  test_site_t *site = test_site_new ();
  gp_tls_t *server = test_site_issue (site, GP_TLS_SITE_NAME);
  gp_tls_t *client = test_site_issue (site, GP_TLS_SITE_NAME);

  exchange_frames (server, client);
  gp_tls_free (client);
  gp_tls_free (server);
  test_site_free (site);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("transport/peer", NULL, NULL);
  CU_add_test (suite, "frames, plain", test_frames_plain);
  CU_add_test (suite, "frames, TLS", test_frames_tls);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}

/* Tests of framed connections on loopback, with and without TLS.  */

#include <unistd.h>

#include "base/error.h"
#include "transport/endpoint.h"
#include "transport/peer_private.h"
#include "transport_support.h"
#include "runner.h"

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
  int pause_after;
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

static void
test_frames_split_and_merged (void)
{
  static const uint8_t bytes[] = "\0\0\0\3abc\0\0\0\1d\0\0\0\2ef\0\0\0\4ghij";
  size_t size = sizeof bytes - 1;
  fixture_t fixture;
  int fd;

  setup (&fixture, NULL);
  fd = raw_connect (gp_peer_server_port (fixture.server));
  for (size_t i = 0; i < size; i++)
    {
      raw_send (fd, bytes + i, 1);
      run_turns (&fixture.loop, 2);
    }
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.far.frames, 4));
  raw_send (fd, bytes, size);
  raw_send (fd, bytes, size - 2);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.far.frames, 11));
  CU_ASSERT_EQUAL (fixture.far.last_size, 2);
  raw_send (fd, bytes + size - 2, 2);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.far.frames, 12));
  CU_ASSERT_EQUAL (fixture.far.last_sum,
                   sum_bytes ((const uint8_t *)"ghij", 4));
  close (fd);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.far.closes, 1));
  CU_ASSERT_EQUAL (fixture.far.code, GP_TRANSPORT_ERROR_CLOSED);
  teardown (&fixture);
}

#define RANDOM_FRAMES 300
#define RANDOM_FRAME_MAX 9000
#define RANDOM_SEED 7

/* A stream of random frames, and the sum that its reader should find.  */
static GByteArray *
random_stream (GRand *rand, uint32_t *sum)
{
  GByteArray *stream = g_byte_array_new ();

  *sum = 0;
  for (int i = 0; i < RANDOM_FRAMES; i++)
    {
      guint32 size = (guint32)g_rand_int_range (rand, 1, RANDOM_FRAME_MAX);
      guint32 header = g_htonl (size);
      guint start = stream->len + GP_FRAME_HEADER_SIZE;

      g_byte_array_append (stream, (guint8 *)&header, sizeof header);
      g_byte_array_set_size (stream, start + size);
      for (guint32 j = 0; j < size; j++)
        stream->data[start + j] = (uint8_t)g_rand_int (rand);
      *sum = *sum * 31 + sum_bytes (stream->data + start, size);
    }
  return stream;
}

/* Cuts and pauses at random places change nothing in what is read.  */
static void
test_random_cuts_and_pauses (void)
{
  GRand *rand = g_rand_new_with_seed (RANDOM_SEED);
  uint32_t sum;
  GByteArray *stream = random_stream (rand, &sum);
  fixture_t fixture;
  guint sent = 0;
  int fd;

  setup (&fixture, NULL);
  fd = raw_connect (gp_peer_server_port (fixture.server));
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.far.opens, 1));
  while (sent < stream->len)
    {
      guint size = (guint)g_rand_int_range (rand, 1, RANDOM_FRAME_MAX);

      size = MIN (size, stream->len - sent);
      raw_send (fd, stream->data + sent, size);
      sent += size;
      gp_peer_resume (fixture.far.peer);
      if (g_rand_boolean (rand))
        fixture.far.pause_after = fixture.far.frames + 1;
      if (g_rand_boolean (rand))
        gp_peer_pause (fixture.far.peer);
      run_turns (&fixture.loop, 1);
    }
  fixture.far.pause_after = 0;
  gp_peer_resume (fixture.far.peer);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.far.frames, RANDOM_FRAMES));
  CU_ASSERT_EQUAL (fixture.far.sum, sum);
  close (fd);
  teardown (&fixture);
  g_byte_array_unref (stream);
  g_rand_free (rand);
}

static void
expect_refused_frame (const char *bytes, size_t size)
{
  fixture_t fixture;
  int fd;

  setup (&fixture, NULL);
  fd = raw_connect (gp_peer_server_port (fixture.server));
  raw_send (fd, bytes, size);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.far.closes, 1));
  CU_ASSERT_EQUAL (fixture.far.code, GP_TRANSPORT_ERROR_SIZE);
  CU_ASSERT_EQUAL (fixture.far.frames, 1);
  close (fd);
  teardown (&fixture);
  CU_ASSERT_EQUAL (fixture.far.closes, 1);
}

static void
test_frame_sizes (void)
{
  fixture_t fixture;

  expect_refused_frame ("\0\0\0\1a\0\x10\0\1b", 10);
  expect_refused_frame ("\0\0\0\1a\xff\xff\xff\xff", 9);
  expect_refused_frame ("\0\0\0\1a\0\0\0\0\0\0\0\1a", 14);
  setup (&fixture, NULL);
  connect_near (&fixture, NULL);
  CU_ASSERT_PTR_NULL (gp_peer_reserve (fixture.near.peer, 0));
  CU_ASSERT_PTR_NULL (
      gp_peer_reserve (fixture.near.peer, GP_FRAME_MAX_SIZE + 1));
  teardown (&fixture);
}

static void
test_connect_refused (void)
{
  fixture_t fixture;
  GError *error = NULL;

  setup (&fixture, NULL);
  gp_peer_server_close (fixture.server);
  run_turns (&fixture.loop, 3);
  connect_near (&fixture, NULL);
  CU_ASSERT_EQUAL (fixture.near.closes, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.near.closes, 1));
  CU_ASSERT_EQUAL (fixture.near.code, GP_TRANSPORT_ERROR_CONNECT);
  CU_ASSERT_PTR_NULL (gp_peer_connect (&fixture.loop, "localhost:1", NULL, 0,
                                       &callbacks, NULL, &error));
  CU_ASSERT_TRUE (
      g_error_matches (error, GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_ADDRESS));
  g_clear_error (&error);
  gp_loop_finish (&fixture.loop);
}

/* The far side accepts the connection and then says nothing.  */
static void
test_silent_far_side (void)
{
  test_site_t *site = test_site_new ();
  gp_tls_t *tls = test_site_issue (site, GP_TLS_SITE_NAME);
  fixture_t fixture;
  int listener;
  int port;

  setup (&fixture, tls);
  listener = raw_listen (&port);
  g_snprintf (fixture.address, sizeof fixture.address, "127.0.0.1:%d", port);
  fixture.near.peer
      = gp_peer_connect (&fixture.loop, fixture.address, tls,
                         gp_loop_now (&fixture.loop) + 20 * GP_MSEC,
                         &callbacks, &fixture.near, NULL);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.near.closes, 1));
  CU_ASSERT_EQUAL (fixture.near.code, GP_TRANSPORT_ERROR_TIMEOUT);
  CU_ASSERT_EQUAL (fixture.near.opens, 0);
  close (listener);
  teardown (&fixture);
  gp_tls_free (tls);
  test_site_free (site);
}

/* A caller that never begins its handshake is closed and not reported.  */
static void
test_silent_near_side (void)
{
  test_site_t *site = test_site_new ();
  gp_tls_t *tls = test_site_issue (site, GP_TLS_SITE_NAME);
  GString *out = g_string_new (NULL);
  fixture_t fixture;
  int fd;

  setup (&fixture, tls);
  fixture.server->handshake_time = 0;
  fd = raw_connect (gp_peer_server_port (fixture.server));
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, fd, out, NULL), 0);
  CU_ASSERT_EQUAL (out->len, 0);
  CU_ASSERT_EQUAL (fixture.far.opens + fixture.far.closes, 0);
  close (fd);
  teardown (&fixture);
  g_string_free (out, TRUE);
  gp_tls_free (tls);
  test_site_free (site);
}

static void
test_half_open (void)
{
  fixture_t fixture;
  int fd;

  setup (&fixture, NULL);
  fd = raw_connect (gp_peer_server_port (fixture.server));
  raw_send (fd, "\0\0\0\5ab", 6);
  shutdown (fd, SHUT_WR);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.far.closes, 1));
  CU_ASSERT_EQUAL (fixture.far.code, GP_TRANSPORT_ERROR_CLOSED);
  CU_ASSERT_EQUAL (fixture.far.frames, 0);
  close (fd);
  teardown (&fixture);
}

/* A client whose certificate is wrong learns it after its own handshake.  */
static void
expect_refused_client (test_site_t *site, gp_tls_t *client,
                       gp_transport_error_t code)
{
  gp_tls_t *server = test_site_issue (site, GP_TLS_SITE_NAME);
  fixture_t fixture;

  setup (&fixture, server);
  connect_near (&fixture, client);
  send_numbered (fixture.near.peer, 1, 10);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.near.closes, 1));
  CU_ASSERT_EQUAL (fixture.near.code, (int)code);
  CU_ASSERT_EQUAL (fixture.far.opens + fixture.far.frames, 0);
  teardown (&fixture);
  CU_ASSERT_EQUAL (fixture.far.closes, 0);
  gp_tls_free (client);
  gp_tls_free (server);
}

static void
test_tls_client_refused (void)
{
  test_site_t *site = test_site_new ();
  test_site_t *other = test_site_new ();
  gp_tls_t *server = test_site_issue (site, GP_TLS_SITE_NAME);
  fixture_t fixture;
  int fd;

  expect_refused_client (site, test_site_issue (site, "elsewhere"),
                         GP_TRANSPORT_ERROR_TLS);
  expect_refused_client (site, test_site_issue_foreign (site, other),
                         GP_TRANSPORT_ERROR_TLS);
  expect_refused_client (site, NULL, GP_TRANSPORT_ERROR_CLOSED);
  setup (&fixture, server);
  fd = raw_connect (gp_peer_server_port (fixture.server));
  CU_ASSERT_FALSE (test_site_anonymous (&fixture.loop, fd));
  CU_ASSERT_EQUAL (fixture.far.opens, 0);
  close (fd);
  teardown (&fixture);
  gp_tls_free (server);
  test_site_free (other);
  test_site_free (site);
}

/* The client refuses a server of another name, or of another authority,
   before it sends anything.  */
static void
test_tls_server_refused (void)
{
  test_site_t *site = test_site_new ();
  test_site_t *other = test_site_new ();
  gp_tls_t *client = test_site_issue (site, GP_TLS_SITE_NAME);
  gp_tls_t *servers[] = { test_site_issue (site, "elsewhere"),
                          test_site_issue (other, GP_TLS_SITE_NAME) };

  for (size_t i = 0; i < G_N_ELEMENTS (servers); i++)
    {
      fixture_t fixture;

      setup (&fixture, servers[i]);
      connect_near (&fixture, client);
      CU_ASSERT_TRUE (
          run_until_count (&fixture.loop, &fixture.near.closes, 1));
      CU_ASSERT_EQUAL (fixture.near.code, GP_TRANSPORT_ERROR_TLS);
      CU_ASSERT_EQUAL (fixture.near.opens + fixture.far.opens, 0);
      teardown (&fixture);
      gp_tls_free (servers[i]);
    }
  gp_tls_free (client);
  test_site_free (other);
  test_site_free (site);
}

/* Fill the way to a far side that does not read, until it is congested.  */
static int
send_until_congested (fixture_t *fixture)
{
  int sent = 0;

  while (!gp_peer_congested (fixture->near.peer))
    {
      send_numbered (fixture->near.peer, sent++, (size_t)100 * 1024);
      run_turns (&fixture->loop, 1);
    }
  return sent;
}

static void
check_back_pressure (gp_tls_t *tls)
{
  fixture_t fixture;
  int sent;

  setup (&fixture, tls);
  fixture.far.pause_after = 2;
  connect_near (&fixture, tls);
  sent = send_until_congested (&fixture);
  CU_ASSERT_EQUAL (fixture.far.frames, 2);
  CU_ASSERT_EQUAL (fixture.near.drains, 0);
  gp_peer_resume (fixture.far.peer);
  CU_ASSERT_EQUAL (fixture.far.frames, 2);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.far.frames, sent));
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.near.drains, 1));
  CU_ASSERT_FALSE (gp_peer_congested (fixture.near.peer));
  CU_ASSERT_EQUAL (gp_peer_backlog (fixture.near.peer), 0);
  teardown (&fixture);
}

static void
test_back_pressure (void)
{
  test_site_t *site = test_site_new ();
  gp_tls_t *tls = test_site_issue (site, GP_TLS_SITE_NAME);

  check_back_pressure (NULL);
  check_back_pressure (tls);
  gp_tls_free (tls);
  test_site_free (site);
}

/* A sender that heeds nothing is cut off, and its memory is bounded.  */
static void
test_backlog_bound (void)
{
  static const uint8_t bytes[GP_FRAME_MAX_SIZE];
  fixture_t fixture;
  int sent = 0;

  setup (&fixture, NULL);
  fixture.far.pause_after = 1;
  connect_near (&fixture, NULL);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.far.opens, 1));
  while (gp_peer_send (fixture.near.peer, bytes, sizeof bytes) && sent < 100)
    {
      CU_ASSERT_TRUE (gp_peer_backlog (fixture.near.peer)
                      <= 17 * GP_FRAME_MAX_SIZE);
      sent++;
      run_turns (&fixture.loop, 1);
    }
  CU_ASSERT_TRUE (sent < 100);
  CU_ASSERT_EQUAL (fixture.near.closes, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.near.closes, 1));
  CU_ASSERT_EQUAL (fixture.near.code, GP_TRANSPORT_ERROR_SIZE);
  teardown (&fixture);
}

/* What was queued before a close arrives whole.  */
static void
check_close (gp_tls_t *tls)
{
  fixture_t fixture;

  setup (&fixture, tls);
  connect_near (&fixture, tls);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.far.opens, 1));
  for (int i = 0; i < 100; i++)
    send_numbered (fixture.near.peer, i, 50000);
  gp_peer_close (fixture.near.peer, false);
  CU_ASSERT_FALSE (gp_peer_send (fixture.near.peer, (uint8_t *)"a", 1));
  CU_ASSERT_EQUAL (fixture.near.closes, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.far.closes, 1));
  CU_ASSERT_EQUAL (fixture.far.frames, 100);
  CU_ASSERT_EQUAL (fixture.far.code, GP_TRANSPORT_ERROR_CLOSED);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.near.closes, 1));
  CU_ASSERT_EQUAL (fixture.near.code, -1);
  teardown (&fixture);
}

static void
test_close (void)
{
  test_site_t *site = test_site_new ();
  gp_tls_t *tls = test_site_issue (site, GP_TLS_SITE_NAME);

  check_close (NULL);
  check_close (tls);
  gp_tls_free (tls);
  test_site_free (site);
}

/* The far side has ended its writing before the rest is written: the close
   does not wait for that end once more, nor for its time to run out.  */
static void
test_close_on_both_sides (void)
{
  GString *out = g_string_new (NULL);
  fixture_t fixture;
  int fd;

  setup (&fixture, NULL);
  fd = raw_connect (gp_peer_server_port (fixture.server));
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.far.opens, 1));
  for (int i = 0; i < 15; i++)
    send_numbered (fixture.far.peer, i, GP_FRAME_MAX_SIZE);
  gp_peer_close (fixture.far.peer, false);
  gp_timer_disarm (&fixture.far.peer->timer);
  shutdown (fd, SHUT_WR);
  run_turns (&fixture.loop, 5);
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, fd, out, NULL), 0);
  CU_ASSERT_EQUAL (out->len, 15 * (GP_FRAME_MAX_SIZE + GP_FRAME_HEADER_SIZE));
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.far.closes, 1));
  close (fd);
  g_string_free (out, TRUE);
  teardown (&fixture);
}

/* A callback may close or pause the peer between two frames of one read.  */
static void
test_close_and_pause_between_frames (void)
{
  static const char bytes[] = "\0\0\0\1a\0\0\0\1b\0\0\0\1c";
  fixture_t fixture;
  int fd;

  setup (&fixture, NULL);
  fixture.far.pause_after = 1;
  fixture.far.close_after = 2;
  fd = raw_connect (gp_peer_server_port (fixture.server));
  raw_send (fd, bytes, sizeof bytes - 1);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.far.frames, 1));
  run_turns (&fixture.loop, 5);
  CU_ASSERT_EQUAL (fixture.far.frames, 1);
  gp_peer_resume (fixture.far.peer);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.far.closes, 1));
  CU_ASSERT_EQUAL (fixture.far.frames, 2);
  CU_ASSERT_EQUAL (fixture.far.code, -1);
  close (fd);
  teardown (&fixture);
}

/* Accepting goes on once there are descriptors again.  */
static void
test_without_descriptors (void)
{
  fixture_t fixture;
  int opens;

  setup (&fixture, NULL);
  raw_connect_without_descriptors (&fixture.loop, &fixture.server->listener);
  run_turns (&fixture.loop, 5);
  opens = fixture.far.opens;
  CU_ASSERT_EQUAL (fixture.far.closes, opens);
  connect_near (&fixture, NULL);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.far.opens, opens + 1));
  CU_ASSERT_EQUAL (fixture.near.opens, 1);
  teardown (&fixture);
}

static void
expect_address (const char *text, const char *expected)
{
  struct sockaddr_storage address;
  char again[GP_ADDRESS_TEXT_SIZE] = "";
  GError *error = NULL;

  if (gp_endpoint_parse (text, &address, &error))
    gp_address_format (&address, again, sizeof again);
  CU_ASSERT_EQUAL (error == NULL, expected[0] != '\0');
  CU_ASSERT_STRING_EQUAL (again, expected);
  g_clear_error (&error);
}

static void
test_addresses (void)
{
  expect_address ("127.0.0.1:80", "127.0.0.1:80");
  expect_address ("[::1]:65535", "[::1]:65535");
  expect_address ("127.0.0.1", "");
  expect_address ("127.0.0.1:", "");
  expect_address ("127.0.0.1:65536", "");
  expect_address ("127.0.0.1:+1", "");
  expect_address ("::1:80", "");
  expect_address ("name:80", "");
  expect_address (":80", "");
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "frames, plain", test_frames_plain },
          { "frames, TLS", test_frames_tls },
          { "split and merged", test_frames_split_and_merged },
          { "random cuts and pauses", test_random_cuts_and_pauses },
          { "frame sizes", test_frame_sizes },
          { "connect refused", test_connect_refused },
          { "silent far side", test_silent_far_side },
          { "silent near side", test_silent_near_side },
          { "half open", test_half_open },
          { "TLS client refused", test_tls_client_refused },
          { "TLS server refused", test_tls_server_refused },
          { "back-pressure", test_back_pressure },
          { "backlog bound", test_backlog_bound },
          { "close", test_close },
          { "close on both sides", test_close_on_both_sides },
          { "close and pause between frames",
            test_close_and_pause_between_frames },
          { "without descriptors", test_without_descriptors },
          { "addresses", test_addresses },
          CU_TEST_INFO_NULL };

  return runner_main ("transport/peer", tests);
}

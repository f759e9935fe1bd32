/* Tests of framed connections on loopback, with and without TLS.  */

#include <unistd.h>

#include "base/error.h"
#include "transport_peer_support.h"
#include "runner.h"

static void
exchange_frames (gp_tls_t *server_tls, gp_tls_t *client_tls)
{
  fixture_t fixture;

  peer_setup (&fixture, server_tls);
  fixture.acceptor.echo = true;
  connect_initiator (&fixture, client_tls);
  /* This frame is queued before the connection is open.  */
  send_numbered (fixture.initiator.peer, 1, 100);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.initiator.frames, 1));
  for (int i = 0; i < 1000; i++)
    send_numbered (fixture.initiator.peer, i, 1 + (size_t)(i % 300));
  send_numbered (fixture.initiator.peer, 3, GP_FRAME_MAX_SIZE);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.initiator.frames, 1002));
  CU_ASSERT_EQUAL (fixture.acceptor.frames, 1002);
  CU_ASSERT_EQUAL (fixture.acceptor.sum, fixture.initiator.sum);
  CU_ASSERT_EQUAL (fixture.initiator.last_size, GP_FRAME_MAX_SIZE);
  CU_ASSERT_EQUAL (fixture.initiator.opens, 1);
  CU_ASSERT_EQUAL (fixture.acceptor.opens, 1);
  peer_teardown (&fixture);
  CU_ASSERT_EQUAL (fixture.initiator.closes, 1);
  CU_ASSERT_EQUAL (fixture.acceptor.closes, 1);
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

  peer_setup (&fixture, NULL);
  fd = raw_connect (gp_peer_server_port (fixture.server));
  for (size_t i = 0; i < size; i++)
    {
      raw_send (fd, bytes + i, 1);
      run_loop_iterations (&fixture.loop, 2);
    }
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.acceptor.frames, 4));
  raw_send (fd, bytes, size);
  raw_send (fd, bytes, size - 2);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.acceptor.frames, 11));
  CU_ASSERT_EQUAL (fixture.acceptor.last_size, 2);
  raw_send (fd, bytes + size - 2, 2);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.acceptor.frames, 12));
  CU_ASSERT_EQUAL (fixture.acceptor.last_sum,
                   sum_bytes ((const uint8_t *)"ghij", 4));
  close (fd);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.acceptor.closes, 1));
  CU_ASSERT_EQUAL (fixture.acceptor.code, GP_TRANSPORT_ERROR_CLOSED);
  peer_teardown (&fixture);
}

#define RANDOM_FRAMES 300
#define RANDOM_FRAME_MAX 9000
#define RANDOM_SEED 7

/* Return a stream of random frames, and the checksum expected from the reader
   in SUM.  */
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

/* Splitting the stream and pausing at random positions does not change the
   received frames.  */
static void
test_random_cuts_and_pauses (void)
{
  GRand *rand = g_rand_new_with_seed (RANDOM_SEED);
  uint32_t sum;
  GByteArray *stream = random_stream (rand, &sum);
  fixture_t fixture;
  guint sent = 0;
  int fd;

  peer_setup (&fixture, NULL);
  fd = raw_connect (gp_peer_server_port (fixture.server));
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.acceptor.opens, 1));
  while (sent < stream->len)
    {
      guint size = (guint)g_rand_int_range (rand, 1, RANDOM_FRAME_MAX);

      size = MIN (size, stream->len - sent);
      raw_send (fd, stream->data + sent, size);
      sent += size;
      gp_peer_resume (fixture.acceptor.peer);
      if (g_rand_boolean (rand))
        fixture.acceptor.pause_after = fixture.acceptor.frames + 1;
      if (g_rand_boolean (rand))
        gp_peer_pause (fixture.acceptor.peer);
      run_loop_iterations (&fixture.loop, 1);
    }
  fixture.acceptor.pause_after = 0;
  gp_peer_resume (fixture.acceptor.peer);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.acceptor.frames,
                                   RANDOM_FRAMES));
  CU_ASSERT_EQUAL (fixture.acceptor.sum, sum);
  close (fd);
  peer_teardown (&fixture);
  g_byte_array_unref (stream);
  g_rand_free (rand);
}

static void
expect_refused_frame (const char *bytes, size_t size)
{
  fixture_t fixture;
  int fd;

  peer_setup (&fixture, NULL);
  fd = raw_connect (gp_peer_server_port (fixture.server));
  raw_send (fd, bytes, size);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.acceptor.closes, 1));
  CU_ASSERT_EQUAL (fixture.acceptor.code, GP_TRANSPORT_ERROR_SIZE);
  CU_ASSERT_EQUAL (fixture.acceptor.frames, 1);
  close (fd);
  peer_teardown (&fixture);
  CU_ASSERT_EQUAL (fixture.acceptor.closes, 1);
}

static void
test_frame_sizes (void)
{
  fixture_t fixture;

  expect_refused_frame ("\0\0\0\1a\0\x10\0\1b", 10);
  expect_refused_frame ("\0\0\0\1a\xff\xff\xff\xff", 9);
  expect_refused_frame ("\0\0\0\1a\0\0\0\0\0\0\0\1a", 14);
  peer_setup (&fixture, NULL);
  connect_initiator (&fixture, NULL);
  CU_ASSERT_PTR_NULL (gp_peer_reserve (fixture.initiator.peer, 0));
  CU_ASSERT_PTR_NULL (
      gp_peer_reserve (fixture.initiator.peer, GP_FRAME_MAX_SIZE + 1));
  peer_teardown (&fixture);
}

static void
test_connect_refused (void)
{
  fixture_t fixture;
  GError *error = NULL;

  peer_setup (&fixture, NULL);
  gp_peer_server_close (fixture.server);
  run_loop_iterations (&fixture.loop, 3);
  connect_initiator (&fixture, NULL);
  CU_ASSERT_EQUAL (fixture.initiator.closes, 0);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.initiator.closes, 1));
  CU_ASSERT_EQUAL (fixture.initiator.code, GP_TRANSPORT_ERROR_CONNECT);
  CU_ASSERT_PTR_NULL (gp_peer_connect (&fixture.loop, "localhost:1", NULL, 0,
                                       &end_callbacks, NULL, &error));
  CU_ASSERT_TRUE (
      g_error_matches (error, GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_ADDRESS));
  g_clear_error (&error);
  gp_loop_finish (&fixture.loop);
}

static void
test_half_open (void)
{
  fixture_t fixture;
  int fd;

  peer_setup (&fixture, NULL);
  fd = raw_connect (gp_peer_server_port (fixture.server));
  raw_send (fd, "\0\0\0\5ab", 6);
  shutdown (fd, SHUT_WR);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.acceptor.closes, 1));
  CU_ASSERT_EQUAL (fixture.acceptor.code, GP_TRANSPORT_ERROR_CLOSED);
  CU_ASSERT_EQUAL (fixture.acceptor.frames, 0);
  close (fd);
  peer_teardown (&fixture);
}

/* Send to a peer that does not read until the connection is congested; return
   the number of frames.  */
static int
send_until_congested (fixture_t *fixture)
{
  int sent = 0;

  while (!gp_peer_congested (fixture->initiator.peer))
    {
      send_numbered (fixture->initiator.peer, sent++, (size_t)100 * 1024);
      run_loop_iterations (&fixture->loop, 1);
    }
  return sent;
}

static void
check_back_pressure (gp_tls_t *tls)
{
  fixture_t fixture;
  int sent;

  peer_setup (&fixture, tls);
  fixture.acceptor.pause_after = 2;
  connect_initiator (&fixture, tls);
  sent = send_until_congested (&fixture);
  CU_ASSERT_EQUAL (fixture.acceptor.frames, 2);
  CU_ASSERT_EQUAL (fixture.initiator.drains, 0);
  gp_peer_resume (fixture.acceptor.peer);
  CU_ASSERT_EQUAL (fixture.acceptor.frames, 2);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.acceptor.frames, sent));
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.initiator.drains, 1));
  CU_ASSERT_FALSE (gp_peer_congested (fixture.initiator.peer));
  CU_ASSERT_EQUAL (gp_peer_backlog (fixture.initiator.peer), 0);
  peer_teardown (&fixture);
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

/* A sender that ignores congestion is disconnected, and its backlog is
   limited.  */
static void
test_backlog_bound (void)
{
  static const uint8_t bytes[GP_FRAME_MAX_SIZE];
  fixture_t fixture;
  int sent = 0;

  peer_setup (&fixture, NULL);
  fixture.acceptor.pause_after = 1;
  connect_initiator (&fixture, NULL);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.acceptor.opens, 1));
  while (gp_peer_send (fixture.initiator.peer, bytes, sizeof bytes)
         && sent < 100)
    {
      CU_ASSERT_TRUE (gp_peer_backlog (fixture.initiator.peer)
                      <= 17 * GP_FRAME_MAX_SIZE);
      sent++;
      run_loop_iterations (&fixture.loop, 1);
    }
  CU_ASSERT_TRUE (sent < 100);
  CU_ASSERT_EQUAL (fixture.initiator.closes, 0);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.initiator.closes, 1));
  CU_ASSERT_EQUAL (fixture.initiator.code, GP_TRANSPORT_ERROR_SIZE);
  peer_teardown (&fixture);
}

/* Frames queued before a close are delivered completely.  */
static void
check_close (gp_tls_t *tls)
{
  fixture_t fixture;

  peer_setup (&fixture, tls);
  connect_initiator (&fixture, tls);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.acceptor.opens, 1));
  for (int i = 0; i < 100; i++)
    send_numbered (fixture.initiator.peer, i, 50000);
  gp_peer_close (fixture.initiator.peer, false);
  CU_ASSERT_FALSE (gp_peer_send (fixture.initiator.peer, (uint8_t *)"a", 1));
  CU_ASSERT_EQUAL (fixture.initiator.closes, 0);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.acceptor.closes, 1));
  CU_ASSERT_EQUAL (fixture.acceptor.frames, 100);
  CU_ASSERT_EQUAL (fixture.acceptor.code, GP_TRANSPORT_ERROR_CLOSED);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.initiator.closes, 1));
  CU_ASSERT_EQUAL (fixture.initiator.code, -1);
  peer_teardown (&fixture);
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

/* If the peer ends its stream before the queued frames are written, the close
   completes without waiting for another end of the stream or for the
   timeout.  */
static void
test_close_on_both_sides (void)
{
  GString *out = g_string_new (NULL);
  fixture_t fixture;
  int fd;

  peer_setup (&fixture, NULL);
  fd = raw_connect (gp_peer_server_port (fixture.server));
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.acceptor.opens, 1));
  for (int i = 0; i < 15; i++)
    send_numbered (fixture.acceptor.peer, i, GP_FRAME_MAX_SIZE);
  gp_peer_close (fixture.acceptor.peer, false);
  gp_timer_disarm (&fixture.acceptor.peer->timer);
  shutdown (fd, SHUT_WR);
  run_loop_iterations (&fixture.loop, 5);
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, fd, out, NULL), 0);
  CU_ASSERT_EQUAL (out->len, 15 * (GP_FRAME_MAX_SIZE + GP_FRAME_HEADER_SIZE));
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.acceptor.closes, 1));
  close (fd);
  g_string_free (out, TRUE);
  peer_teardown (&fixture);
}

/* A callback may pause or close the peer between two frames of one read.  */
static void
test_close_and_pause_between_frames (void)
{
  static const char bytes[] = "\0\0\0\1a\0\0\0\1b\0\0\0\1c";
  fixture_t fixture;
  int fd;

  peer_setup (&fixture, NULL);
  fixture.acceptor.pause_after = 1;
  fixture.acceptor.close_after = 2;
  fd = raw_connect (gp_peer_server_port (fixture.server));
  raw_send (fd, bytes, sizeof bytes - 1);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.acceptor.frames, 1));
  run_loop_iterations (&fixture.loop, 5);
  CU_ASSERT_EQUAL (fixture.acceptor.frames, 1);
  gp_peer_resume (fixture.acceptor.peer);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.acceptor.closes, 1));
  CU_ASSERT_EQUAL (fixture.acceptor.frames, 2);
  CU_ASSERT_EQUAL (fixture.acceptor.code, -1);
  close (fd);
  peer_teardown (&fixture);
}

/* The server accepts connections again after file descriptors were
   exhausted.  */
static void
test_without_descriptors (void)
{
  fixture_t fixture;
  int opens;

  peer_setup (&fixture, NULL);
  raw_connect_without_descriptors (&fixture.loop, &fixture.server->listener);
  run_loop_iterations (&fixture.loop, 5);
  opens = fixture.acceptor.opens;
  CU_ASSERT_EQUAL (fixture.acceptor.closes, opens);
  connect_initiator (&fixture, NULL);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.acceptor.opens, opens + 1));
  CU_ASSERT_EQUAL (fixture.initiator.opens, 1);
  peer_teardown (&fixture);
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
          { "half open", test_half_open },
          { "back-pressure", test_back_pressure },
          { "backlog bound", test_backlog_bound },
          { "close", test_close },
          { "close on both sides", test_close_on_both_sides },
          { "close and pause between frames",
            test_close_and_pause_between_frames },
          { "without descriptors", test_without_descriptors },
          CU_TEST_INFO_NULL };

  return runner_main ("transport/peer", tests);
}

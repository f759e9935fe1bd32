/* Tests of the handshake of framed connections: peers that are silent or have
   a wrong certificate.  */

#include <unistd.h>

#include "base/error.h"
#include "transport_peer_support.h"
#include "runner.h"

/* The server accepts the connection and sends nothing.  */
static void
test_silent_server (void)
{
  test_site_t *site = test_site_new ();
  gp_tls_t *tls = test_site_issue (site, GP_TLS_SITE_NAME);
  fixture_t fixture;
  int listener;
  int port;

  peer_setup (&fixture, tls);
  listener = raw_listen (&port);
  g_snprintf (fixture.address, sizeof fixture.address, "127.0.0.1:%d", port);
  fixture.initiator.peer
      = gp_peer_connect (&fixture.loop, fixture.address, tls,
                         gp_loop_now (&fixture.loop) + 20 * GP_MSEC,
                         &end_callbacks, &fixture.initiator, NULL);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.initiator.closes, 1));
  CU_ASSERT_EQUAL (fixture.initiator.code, GP_TRANSPORT_ERROR_TIMEOUT);
  CU_ASSERT_EQUAL (fixture.initiator.opens, 0);
  close (listener);
  peer_teardown (&fixture);
  gp_tls_free (tls);
  test_site_free (site);
}

/* A client that does not start the handshake is disconnected and not reported
   to the user.  */
static void
test_silent_client (void)
{
  test_site_t *site = test_site_new ();
  gp_tls_t *tls = test_site_issue (site, GP_TLS_SITE_NAME);
  GString *out = g_string_new (NULL);
  fixture_t fixture;
  int fd;

  peer_setup (&fixture, tls);
  fixture.server->handshake_time = 0;
  fd = raw_connect (gp_peer_server_port (fixture.server));
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, fd, out, NULL), 0);
  CU_ASSERT_EQUAL (out->len, 0);
  CU_ASSERT_EQUAL (fixture.acceptor.opens + fixture.acceptor.closes, 0);
  close (fd);
  peer_teardown (&fixture);
  g_string_free (out, TRUE);
  gp_tls_free (tls);
  test_site_free (site);
}

/* A client with a wrong certificate is rejected, but learns it only after its
   own side of the handshake is complete.  */
static void
expect_refused_client (test_site_t *site, gp_tls_t *client,
                       gp_transport_error_t code)
{
  gp_tls_t *server = test_site_issue (site, GP_TLS_SITE_NAME);
  fixture_t fixture;

  peer_setup (&fixture, server);
  connect_initiator (&fixture, client);
  send_numbered (fixture.initiator.peer, 1, 10);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.initiator.closes, 1));
  CU_ASSERT_EQUAL (fixture.initiator.code, (int)code);
  CU_ASSERT_EQUAL (fixture.acceptor.opens + fixture.acceptor.frames, 0);
  peer_teardown (&fixture);
  CU_ASSERT_EQUAL (fixture.acceptor.closes, 0);
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
  peer_setup (&fixture, server);
  fd = raw_connect (gp_peer_server_port (fixture.server));
  CU_ASSERT_FALSE (test_site_anonymous (&fixture.loop, fd));
  CU_ASSERT_EQUAL (fixture.acceptor.opens, 0);
  close (fd);
  peer_teardown (&fixture);
  gp_tls_free (server);
  test_site_free (other);
  test_site_free (site);
}

/* The client rejects a server with another name or from another authority
   before it sends any frame.  */
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

      peer_setup (&fixture, servers[i]);
      connect_initiator (&fixture, client);
      CU_ASSERT_TRUE (
          run_until_count (&fixture.loop, &fixture.initiator.closes, 1));
      CU_ASSERT_EQUAL (fixture.initiator.code, GP_TRANSPORT_ERROR_TLS);
      CU_ASSERT_EQUAL (fixture.initiator.opens + fixture.acceptor.opens, 0);
      peer_teardown (&fixture);
      gp_tls_free (servers[i]);
    }
  gp_tls_free (client);
  test_site_free (other);
  test_site_free (site);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "silent far side", test_silent_server },
          { "silent near side", test_silent_client },
          { "TLS client refused", test_tls_client_refused },
          { "TLS server refused", test_tls_server_refused },
          CU_TEST_INFO_NULL };

  return runner_main ("transport/tls", tests);
}

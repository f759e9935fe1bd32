/* Tests of the planned shutdown of an HTTP server: a request that was begun
   before the shutdown is answered, however far it has got.  The client is a
   raw socket, so that each state is reached deterministically.  */

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include "base/error.h"
#include "transport/http_private.h"
#include "transport_support.h"
#include "runner.h"

#define MAX_BODY 1000
#define ITERATIONS 5
/* More than the kernel's buffers of a connection hold.  */
#define UNREAD_SIZE ((size_t)64 * 1024 * 1024)

#define HEAD                                                                  \
  "POST /echo HTTP/1.1\r\nhost: a\r\n"                                        \
  "content-length: 2\r\n\r\n"
#define BODY "ab"
#define CHUNKED_HEAD                                                          \
  "POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"

typedef struct
{
  gp_loop_t loop;
  gp_http_server_t *server;
  gp_http_exchange_t *open_exchange; /* by the path /hold */
  int requests;
  bool shut_down;
} fixture_t;

static void
on_request (gp_http_exchange_t *exchange, void *data)
{
  fixture_t *fixture = data;
  gp_http_text_t body = gp_http_exchange_body (exchange);

  fixture->requests++;
  if (gp_http_text_equal (gp_http_exchange_path (exchange), "/hold"))
    fixture->open_exchange = exchange;
  else
    gp_http_exchange_answer (exchange, 200, NULL, 0, body.base, body.size);
}

static void
on_shut_down (void *data)
{
  fixture_t *fixture = data;

  CU_ASSERT_FALSE (fixture->shut_down);
  fixture->shut_down = true;
}

static void
setup (fixture_t *fixture)
{
  gp_http_server_options_t options = { .address = "127.0.0.1:0",
                                       .max_body_size = MAX_BODY,
                                       .header_timeout = 20 * GP_SEC,
                                       .on_request = on_request,
                                       .data = fixture };

  memset (fixture, 0, sizeof *fixture);
  CU_ASSERT_TRUE_FATAL (gp_loop_init (&fixture->loop, NULL));
  fixture->server = gp_http_server_new (&fixture->loop, &options, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->server);
}

static void
teardown (fixture_t *fixture)
{
  gp_loop_finish (&fixture->loop);
}

static int
connect_client (const fixture_t *fixture)
{
  return raw_connect (gp_http_server_port (fixture->server));
}

/* Send TEXT; a failure to send is one of the faults that these tests
   detect.  */
static void
send_text (int fd, const char *text)
{
  size_t size = strlen (text);

  CU_ASSERT_EQUAL (send (fd, text, size, MSG_NOSIGNAL), (ssize_t)size);
}

static void
stop (fixture_t *fixture)
{
  gp_http_server_shutdown (fixture->server, on_shut_down, fixture);
}

/* Check that the response on FD has BODY and announces the close of the
   connection; close FD.  */
static void
expect_last_response (fixture_t *fixture, int fd)
{
  GString *out = g_string_new (NULL);

  CU_ASSERT_EQUAL (raw_read (&fixture->loop, fd, out, NULL), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (out->str, "\r\n\r\n" BODY));
  CU_ASSERT_PTR_NOT_NULL (strstr (out->str, "onnection: close"));
  g_string_free (out, TRUE);
  close (fd);
}

/* Make a complete request, after which the connection stays open.  */
static void
run_one_request (fixture_t *fixture, int fd)
{
  GString *out = g_string_new (NULL);

  send_text (fd, HEAD BODY);
  CU_ASSERT_EQUAL (raw_read (&fixture->loop, fd, out, "\r\n\r\n" BODY), 0);
  CU_ASSERT_PTR_NULL (strstr (out->str, "onnection: close"));
  g_string_free (out, TRUE);
}

/* A connection that the kernel has established, but the server has not
   accepted yet, is served.  */
static void
test_not_accepted (void)
{
  fixture_t fixture;
  int fd;

  setup (&fixture);
  fd = connect_client (&fixture);
  stop (&fixture);
  send_text (fd, HEAD BODY);
  expect_last_response (&fixture, fd);
  CU_ASSERT_EQUAL (fixture.requests, 1);
  CU_ASSERT_TRUE (run_until (&fixture.loop, &fixture.shut_down));
  teardown (&fixture);
}

/* Likewise an accepted connection whose first request arrives after the
   shutdown has begun: a client that has just connected is about to send.  */
static void
test_accepted (void)
{
  fixture_t fixture;
  int fd;

  setup (&fixture);
  fd = connect_client (&fixture);
  run_loop_iterations (&fixture.loop, ITERATIONS);
  stop (&fixture);
  run_loop_iterations (&fixture.loop, ITERATIONS);
  send_text (fd, HEAD BODY);
  expect_last_response (&fixture, fd);
  CU_ASSERT_TRUE (run_until (&fixture.loop, &fixture.shut_down));
  teardown (&fixture);
}

/* The server reads the first part of a request, then its shutdown begins, then
   the client sends the rest.  */
static void
check_partial_request (const char *first_part, const char *rest)
{
  fixture_t fixture;
  int fd;

  setup (&fixture);
  fd = connect_client (&fixture);
  run_one_request (&fixture, fd);
  send_text (fd, first_part);
  run_loop_iterations (&fixture.loop, ITERATIONS);
  stop (&fixture);
  run_loop_iterations (&fixture.loop, ITERATIONS);
  CU_ASSERT_FALSE (fixture.shut_down);
  send_text (fd, rest);
  expect_last_response (&fixture, fd);
  CU_ASSERT_TRUE (run_until (&fixture.loop, &fixture.shut_down));
  teardown (&fixture);
}

/* A request of which any part was read is served: with an incomplete head,
   before the first byte of the body, between two chunks, and on a connection
   that was used before.  */
static void
test_begun (void)
{
  check_partial_request ("POST /ec", "ho HTTP/1.1\r\nhost: a\r\n"
                                     "content-length: 2\r\n\r\n" BODY);
  check_partial_request (HEAD, BODY);
  check_partial_request (HEAD "a", "b");
  check_partial_request (CHUNKED_HEAD, "2\r\n" BODY "\r\n0\r\n\r\n");
  check_partial_request (CHUNKED_HEAD "1\r\na\r\n", "1\r\nb\r\n0\r\n\r\n");
}

/* An idle connection that was used and one that never had a request are
   closed; neither delays the shutdown indefinitely.  */
static void
test_idle (void)
{
  GString *out = g_string_new (NULL);
  fixture_t fixture;
  int used;
  int unused;

  setup (&fixture);
  used = connect_client (&fixture);
  unused = connect_client (&fixture);
  run_one_request (&fixture, used);
  stop (&fixture);
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, used, out, NULL), 0);
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, unused, out, NULL), 0);
  CU_ASSERT_EQUAL (out->len, 0);
  CU_ASSERT_TRUE (run_until (&fixture.loop, &fixture.shut_down));
  close (used);
  close (unused);
  g_string_free (out, TRUE);
  teardown (&fixture);
}

/* A client that connects during the shutdown is refused; its connection is
   never established and then reset.  */
static void
test_late_connect (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  GString *out = g_string_new (NULL);
  fixture_t fixture;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

  setup (&fixture);
  address.sin_port = htons ((uint16_t)gp_http_server_port (fixture.server));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  stop (&fixture);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0
      && errno == EINPROGRESS)
    CU_ASSERT_EQUAL (raw_read (&fixture.loop, fd, out, NULL), ECONNREFUSED);
  CU_ASSERT_TRUE (run_until (&fixture.loop, &fixture.shut_down));
  CU_ASSERT_EQUAL (fixture.requests, 0);
  close (fd);
  g_string_free (out, TRUE);
  teardown (&fixture);
}

/* If the head of a response was sent without "connection: close" before
   keep-alive was disabled, the connection stays open: the client may send the
   next request on it.  */
static void
test_disable_keepalive_in_response (void)
{
  static const char hold[] = "GET /hold HTTP/1.1\r\nhost: a\r\n\r\n";
  GString *out = g_string_new (NULL);
  fixture_t fixture;
  int fd;

  setup (&fixture);
  fd = connect_client (&fixture);
  send_text (fd, hold);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.requests, 1));
  gp_http_exchange_start (fixture.open_exchange, 200, NULL, 0, 6);
  gp_http_exchange_part (fixture.open_exchange, "one", 3, false);
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, fd, out, "one"), 0);
  run_loop_iterations (&fixture.loop, ITERATIONS);
  gp_http_server_disable_keepalive (fixture.server);
  gp_http_exchange_part (fixture.open_exchange, "two", 3, true);
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, fd, out, "onetwo"), 0);
  CU_ASSERT_PTR_NULL (strstr (out->str, "onnection: close"));
  run_loop_iterations (&fixture.loop, ITERATIONS);
  send_text (fd, HEAD BODY);
  expect_last_response (&fixture, fd);
  g_string_free (out, TRUE);
  teardown (&fixture);
}

/* Guards against a stop that waits for good for a client that does not read
   its answer, if the answer is given after the shutdown has begun.  */
static void
test_unread_answer (void)
{
  static const char hold[] = "GET /hold HTTP/1.1\r\nhost: a\r\n\r\n";
  g_autofree char *body = g_malloc0 (UNREAD_SIZE);
  fixture_t fixture;
  int fd;

  setup (&fixture);
  fd = connect_client (&fixture);
  send_text (fd, hold);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.requests, 1));
  stop (&fixture);
  run_loop_iterations (&fixture.loop, ITERATIONS);
  CU_ASSERT_FALSE (fixture.shut_down);
  gp_http_exchange_answer (fixture.open_exchange, 200, NULL, 0, body,
                           UNREAD_SIZE);
  CU_ASSERT_TRUE (run_until (&fixture.loop, &fixture.shut_down));
  close (fd);
  teardown (&fixture);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "not accepted yet", test_not_accepted },
          { "accepted, nothing sent", test_accepted },
          { "begun", test_begun },
          { "idle", test_idle },
          { "late connect", test_late_connect },
          { "retire within an answer", test_disable_keepalive_in_response },
          { "unread answer", test_unread_answer },
          CU_TEST_INFO_NULL };

  return runner_main ("transport/stop", tests);
}

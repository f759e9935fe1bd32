/* Tests of the HTTP client: limits, invalid responses, closing the client.  */

#include <string.h>
#include <unistd.h>

#include "base/error.h"
#include "transport_http_support.h"
#include "runner.h"

static void
test_timeout (void)
{
  fixture_t fixture;
  call_t active;
  call_t waiting;

  http_setup (&fixture, 1);
  call_init (&active);
  active.time = 20 * GP_MSEC;
  call_start (&fixture, &active, "GET", "/hold", NULL, 0);
  call_init (&waiting);
  waiting.time = 10 * GP_MSEC;
  call_start (&fixture, &waiting, "GET", "/echo", NULL, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &active.done, 1));
  CU_ASSERT_EQUAL (active.code, GP_TRANSPORT_ERROR_TIMEOUT);
  CU_ASSERT_TRUE (active.sent);
  CU_ASSERT_EQUAL (waiting.code, GP_TRANSPORT_ERROR_TIMEOUT);
  CU_ASSERT_FALSE (waiting.sent);
  CU_ASSERT_EQUAL (fixture.requests, 1);
  call_finish (&active);
  call_finish (&waiting);
  call_run (&fixture, &active, "GET", "/echo", NULL, 0);
  CU_ASSERT_EQUAL (active.code, -1);
  call_finish (&active);
  http_teardown (&fixture);
}

#define MANY_CALLS 50

static void
test_connection_bound (void)
{
  fixture_t fixture;
  call_t calls[MANY_CALLS];

  http_setup (&fixture, 2);
  for (int i = 0; i < MANY_CALLS; i++)
    {
      call_init (&calls[i]);
      call_start (&fixture, &calls[i], "GET", i < 2 ? "/hold" : "/echo", NULL,
                  0);
    }
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.requests, 2));
  run_loop_iterations (&fixture.loop, 20);
  CU_ASSERT_EQUAL (fixture.requests, 2);
  /* fixture.open_exchange is the last exchange.  */
  gp_http_exchange_answer (fixture.open_exchange, 200, NULL, 0, NULL, 0);
  for (int i = 2; i < MANY_CALLS; i++)
    {
      CU_ASSERT_TRUE (run_until_count (&fixture.loop, &calls[i].done, 1));
      CU_ASSERT_EQUAL (calls[i].code, -1);
    }
  CU_ASSERT_EQUAL (fixture.requests, MANY_CALLS);
  /* Freeing the client ends its open calls.  */
  gp_http_client_free (fixture.client);
  CU_ASSERT_EQUAL (calls[0].done + calls[1].done, 2);
  CU_ASSERT_TRUE (calls[0].code == -1 || calls[1].code == -1);
  for (int i = 0; i < MANY_CALLS; i++)
    call_finish (&calls[i]);
  gp_loop_finish (&fixture.loop);
}

/* Call a server that sends TEXT as its response and closes the connection.  */
static void
call_raw_server (const char *text, call_t *call)
{
  fixture_t fixture;
  GString *request = g_string_new (NULL);
  gp_http_client_options_t options = { .address = fixture.address,
                                       .max_connections = 1,
                                       .idle_timeout = GP_SEC };
  int listener;
  int port;
  int fd;

  memset (&fixture, 0, sizeof fixture);
  gp_loop_init (&fixture.loop, NULL);
  listener = raw_listen (&port);
  g_snprintf (fixture.address, sizeof fixture.address, "127.0.0.1:%d", port);
  fixture.client = gp_http_client_new (&fixture.loop, &options, NULL);
  call_init (call);
  call_start (&fixture, call, "GET", "/", NULL, 0);
  fd = raw_accept (&fixture.loop, listener);
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, fd, request, "\r\n\r\n"), 0);
  raw_send (fd, text, strlen (text));
  close (fd);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &call->done, 1));
  CU_ASSERT_TRUE (call->sent);
  close (listener);
  g_string_free (request, TRUE);
  http_teardown (&fixture);
}

static void
test_truncated_answers (void)
{
  static const char *const truncated[] = {
    "",
    "HTTP/1.1 200 OK\r\ncontent-le",
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabcd",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nnonsense\r\n",
    "HTTP/1.1 200 OK\r\n\r\nof unknown length",
    "nonsense\r\n\r\n",
  };
  call_t call;

  for (size_t i = 0; i < G_N_ELEMENTS (truncated); i++)
    {
      call_raw_server (truncated[i], &call);
      CU_ASSERT_EQUAL (call.code, GP_TRANSPORT_ERROR_CLOSED);
      call_finish (&call);
    }
  call_raw_server ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                   "X-Answer: raw\r\n\r\nabcde",
                   &call);
  CU_ASSERT_EQUAL (call.code, -1);
  CU_ASSERT_STRING_EQUAL (call.body->str, "abcde");
  CU_ASSERT_STRING_EQUAL (call.header, "raw");
  call_finish (&call);
}

static void
test_connect_refused (void)
{
  fixture_t fixture;
  call_t call;

  http_setup (&fixture, 1);
  gp_http_server_shutdown (fixture.server, NULL, NULL);
  run_loop_iterations (&fixture.loop, 5);
  call_run (&fixture, &call, "GET", "/echo", NULL, 0);
  CU_ASSERT_EQUAL (call.code, GP_TRANSPORT_ERROR_CONNECT);
  CU_ASSERT_FALSE (call.sent);
  call_finish (&call);
  http_teardown (&fixture);
}

/* A call that on_done starts while the client is being freed fails, but not
   before gp_http_client_call returns.  */
static void
test_call_at_client_end (void)
{
  fixture_t fixture;
  call_t call;

  http_setup (&fixture, 1);
  call_init (&call);
  call.again = &fixture;
  call_start (&fixture, &call, "GET", "/hold", NULL, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.requests, 1));
  gp_http_client_free (fixture.client);
  CU_ASSERT_EQUAL (call.done, 1);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &call.done, 2));
  CU_ASSERT_EQUAL (call.code, GP_TRANSPORT_ERROR_CLOSED);
  CU_ASSERT_FALSE (call.sent);
  CU_ASSERT_EQUAL (fixture.requests, 1);
  call_finish (&call);
  gp_loop_finish (&fixture.loop);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "timeout", test_timeout },
          { "connection bound", test_connection_bound },
          { "truncated answers", test_truncated_answers },
          { "connect refused", test_connect_refused },
          { "call at the client's end", test_call_at_client_end },
          CU_TEST_INFO_NULL };

  return runner_main ("transport/client", tests);
}

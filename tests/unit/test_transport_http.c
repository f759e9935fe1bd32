/* Tests of the HTTP server with the HTTP client on loopback.  */

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include "base/error.h"
#include "transport_http_support.h"
#include "runner.h"

static void
test_complete_responses (void)
{
  fixture_t fixture;
  call_t call;

  http_setup (&fixture, 2);
  for (int i = 0; i < 3; i++)
    {
      call_run (&fixture, &call, "POST", "/echo?x=1", "hello", 5);
      CU_ASSERT_EQUAL (call.code, -1);
      CU_ASSERT_EQUAL (call.status, 200);
      CU_ASSERT_STRING_EQUAL (call.body->str, "hello");
      CU_ASSERT_STRING_EQUAL (call.header, "abc");
      CU_ASSERT_TRUE (call.sent);
      call_finish (&call);
    }
  call_run (&fixture, &call, "GET", "/echo", NULL, 0);
  CU_ASSERT_EQUAL (call.code, -1);
  CU_ASSERT_EQUAL (call.received, 0);
  call_finish (&call);
  call_run (&fixture, &call, "GET", "/empty", NULL, 0);
  CU_ASSERT_EQUAL (call.code, -1);
  CU_ASSERT_EQUAL (call.status, 204);
  call_finish (&call);
  call_run (&fixture, &call, "HEAD", "/echo", NULL, 0);
  CU_ASSERT_EQUAL (call.code, -1);
  CU_ASSERT_EQUAL (call.status, 200);
  call_finish (&call);
  CU_ASSERT_EQUAL (gp_http_server_open_exchanges (fixture.server), 0);
  http_teardown (&fixture);
}

/* Run until back-pressure stops the server from sending.  */
static void
run_until_stalled (fixture_t *fixture)
{
  int before = -1;

  while (before != fixture->parts_sent)
    {
      before = fixture->parts_sent;
      run_loop_iterations (&fixture->loop, 50);
    }
}

#define LARGE_PARTS 2000
/* Upper limit for the data in the kernel's socket buffers.  */
#define KERNEL_BYTES ((size_t)16 * 1024 * 1024)

static void
check_large_answer (const char *path)
{
  fixture_t fixture;
  call_t call;

  http_setup (&fixture, 1);
  fixture.parts_left = LARGE_PARTS;
  call_init (&call);
  call.pause = true;
  call_start (&fixture, &call, "GET", path, NULL, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &call.pauses, 1));
  run_until_stalled (&fixture);
  CU_ASSERT_EQUAL (call.pauses, 1);
  CU_ASSERT_TRUE ((size_t)fixture.parts_sent * PART_SIZE < KERNEL_BYTES);
  /* The last pause delays on_done.  */
  while (call.received < LARGE_PARTS * PART_SIZE)
    {
      int pauses = call.pauses;

      CU_ASSERT_EQUAL_FATAL (call.done, 0);
      gp_http_call_resume (call.call);
      CU_ASSERT_TRUE_FATAL (
          run_until_count (&fixture.loop, &call.pauses, pauses + 1));
    }
  call.pause = false;
  if (call.done == 0)
    gp_http_call_resume (call.call);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &call.done, 1));
  CU_ASSERT_EQUAL (call.code, -1);
  CU_ASSERT_EQUAL (call.received, LARGE_PARTS * PART_SIZE);
  CU_ASSERT_EQUAL (fixture.gone, 0);
  call_finish (&call);
  http_teardown (&fixture);
}

static void
test_large_answer (void)
{
  check_large_answer ("/stream");
  check_large_answer ("/sized");
}

static void
check_aborted (const char *path, bool paused)
{
  fixture_t fixture;
  call_t call;

  http_setup (&fixture, 1);
  fixture.parts_left = paused ? LARGE_PARTS : 3;
  fixture.abort_after_parts = true;
  call_init (&call);
  call.pause = paused;
  call_start (&fixture, &call, "GET", path, NULL, 0);
  if (paused)
    {
      CU_ASSERT_TRUE (run_until_count (&fixture.loop, &call.pauses, 1));
      run_until_stalled (&fixture);
      gp_http_exchange_abort (fixture.open_exchange);
      call.pause = false;
      gp_http_call_resume (call.call);
    }
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &call.done, 1));
  CU_ASSERT_EQUAL (call.code, GP_TRANSPORT_ERROR_CLOSED);
  CU_ASSERT_EQUAL (call.status, 200);
  CU_ASSERT_TRUE (call.sent);
  run_loop_iterations (&fixture.loop, 5);
  CU_ASSERT_EQUAL (gp_http_server_open_exchanges (fixture.server), 0);
  CU_ASSERT_EQUAL (fixture.gone, 0);
  call_finish (&call);
  http_teardown (&fixture);
}

static void
test_abort (void)
{
  check_aborted ("/stream", false);
  check_aborted ("/sized", false);
  check_aborted ("/stream", true);
  check_aborted ("/sized", true);
}

/* The end of an HTTP/1.0 response is the close of its connection; an abort
   must be distinguishable from it.  */
static void
test_abort_http_1_0 (void)
{
  static const char request[] = "GET /stream HTTP/1.0\r\n\r\n";
  GString *out = g_string_new (NULL);
  fixture_t fixture;
  int fd;

  http_setup (&fixture, 1);
  fixture.parts_left = 3;
  fixture.abort_after_parts = true;
  fd = raw_connect (gp_http_server_port (fixture.server));
  raw_send (fd, request, sizeof request - 1);
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, fd, out, NULL), ECONNRESET);
  close (fd);
  g_string_set_size (out, 0);
  fixture.parts_left = 3;
  fixture.abort_after_parts = false;
  fd = raw_connect (gp_http_server_port (fixture.server));
  raw_send (fd, request, sizeof request - 1);
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, fd, out, NULL), 0);
  CU_ASSERT_TRUE (out->len > 3 * PART_SIZE);
  close (fd);
  g_string_free (out, TRUE);
  http_teardown (&fixture);
}

static void
test_caller_gone (void)
{
  fixture_t fixture;
  call_t call;

  http_setup (&fixture, 1);
  fixture.parts_left = LARGE_PARTS;
  call_init (&call);
  call.cancel_in_body = true;
  call_start (&fixture, &call, "GET", "/stream", NULL, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.gone, 1));
  CU_ASSERT_EQUAL (call.done, 0);
  CU_ASSERT_EQUAL (gp_http_server_open_exchanges (fixture.server), 0);
  call_finish (&call);
  /* The only connection is available for the next call.  */
  call_run (&fixture, &call, "GET", "/echo", NULL, 0);
  CU_ASSERT_EQUAL (call.code, -1);
  call_finish (&call);
  http_teardown (&fixture);
}

static void
test_body_bound (void)
{
  static const char body[MAX_BODY + 1];
  fixture_t fixture;
  call_t call;

  http_setup (&fixture, 1);
  call_run (&fixture, &call, "POST", "/echo", body, MAX_BODY);
  CU_ASSERT_EQUAL (call.status, 200);
  CU_ASSERT_EQUAL (call.received, MAX_BODY);
  call_finish (&call);
  call_run (&fixture, &call, "POST", "/echo", body, MAX_BODY + 1);
  CU_ASSERT_EQUAL (call.status, 413);
  CU_ASSERT_EQUAL (fixture.requests, 1);
  call_finish (&call);
  http_teardown (&fixture);
}

static void
test_chunked_body_bound (void)
{
  static const char head[] = "POST /echo HTTP/1.1\r\nhost: a\r\n"
                             "transfer-encoding: chunked\r\n\r\n"
                             "400\r\n";
  static const char body[1024];
  GString *out = g_string_new (NULL);
  fixture_t fixture;
  int fd;

  http_setup (&fixture, 1);
  fd = raw_connect (gp_http_server_port (fixture.server));
  raw_send (fd, head, sizeof head - 1);
  raw_send (fd, body, sizeof body);
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, fd, out, "413"), 0);
  CU_ASSERT_EQUAL (fixture.requests, 0);
  close (fd);
  g_string_free (out, TRUE);
  http_teardown (&fixture);
}

static void
on_shut_down (void *data)
{
  fixture_t *fixture = data;

  CU_ASSERT_FALSE (fixture->shut_down);
  fixture->shut_down = true;
}

/* During a shutdown, an idle connection is closed; a connection with a partly
   sent request and one that waits for its response are served.  */
static void
test_shutdown (void)
{
  static const char half[] = "POST /echo HTTP/1.1\r\nhost: a\r\n"
                             "content-length: 2\r\n\r\na";
  GString *out = g_string_new (NULL);
  GString *rest = g_string_new (NULL);
  fixture_t fixture;
  call_t call;
  int idle;
  int slow;

  http_setup (&fixture, 1);
  idle = raw_connect (gp_http_server_port (fixture.server));
  slow = raw_connect (gp_http_server_port (fixture.server));
  raw_send (slow, half, sizeof half - 1);
  call_init (&call);
  call_start (&fixture, &call, "GET", "/hold", NULL, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.requests, 1));
  run_loop_iterations (&fixture.loop, 5);
  gp_http_server_shutdown (fixture.server, on_shut_down, &fixture);
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, idle, out, NULL), 0);
  CU_ASSERT_EQUAL (out->len, 0);
  CU_ASSERT_FALSE (fixture.shut_down);
  CU_ASSERT_EQUAL (gp_http_server_open_exchanges (fixture.server), 1);
  raw_send (slow, "b", 1);
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, slow, rest, NULL), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (rest->str, "\r\n\r\nab"));
  CU_ASSERT_FALSE (fixture.shut_down);
  gp_http_exchange_answer (fixture.open_exchange, 200, NULL, 0, "whole", 5);
  CU_ASSERT_TRUE (run_until (&fixture.loop, &fixture.shut_down));
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &call.done, 1));
  CU_ASSERT_EQUAL (call.code, -1);
  CU_ASSERT_STRING_EQUAL (call.body->str, "whole");
  close (idle);
  close (slow);
  call_finish (&call);
  http_teardown (&fixture);
  g_string_free (out, TRUE);
  g_string_free (rest, TRUE);
}

static void
test_shutdown_idle (void)
{
  fixture_t fixture;
  call_t call;

  http_setup (&fixture, 1);
  call_run (&fixture, &call, "GET", "/echo", NULL, 0);
  call_finish (&call);
  gp_http_server_shutdown (fixture.server, on_shut_down, &fixture);
  CU_ASSERT_FALSE (fixture.shut_down);
  CU_ASSERT_TRUE (run_until (&fixture.loop, &fixture.shut_down));
  http_teardown (&fixture);
}

/* gp_loop_finish ends the open exchange and call and notifies their users.  */
static void
test_loop_end (void)
{
  fixture_t fixture;
  call_t call;

  http_setup (&fixture, 1);
  call_init (&call);
  call_start (&fixture, &call, "GET", "/hold", NULL, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.requests, 1));
  gp_loop_finish (&fixture.loop);
  CU_ASSERT_EQUAL (call.done, 1);
  CU_ASSERT_EQUAL (fixture.gone, 1);
  call_finish (&call);
}

/* The server accepts connections again after file descriptors were
   exhausted.  */
static void
test_without_descriptors (void)
{
  fixture_t fixture;
  call_t call;

  http_setup (&fixture, 1);
  raw_connect_without_descriptors (&fixture.loop, &fixture.server->listener);
  call_run (&fixture, &call, "GET", "/echo", NULL, 0);
  CU_ASSERT_EQUAL (call.code, -1);
  call_finish (&call);
  http_teardown (&fixture);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "whole answers", test_complete_responses },
          { "large answer", test_large_answer },
          { "abort", test_abort },
          { "abort, HTTP/1.0", test_abort_http_1_0 },
          { "caller gone", test_caller_gone },
          { "body bound", test_body_bound },
          { "body bound, chunked", test_chunked_body_bound },
          { "shutdown", test_shutdown },
          { "shutdown, idle", test_shutdown_idle },
          { "loop end", test_loop_end },
          { "without descriptors", test_without_descriptors },
          CU_TEST_INFO_NULL };

  return runner_main ("transport/http", tests);
}

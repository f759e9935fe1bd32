/* Tests of the HTTP server and client against each other on loopback.  */

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include "base/error.h"
#include "transport/http_private.h"
#include "transport_support.h"
#include "runner.h"

#define CALL_TIME (10 * GP_SEC)
#define MAX_BODY 1000
#define PART_SIZE ((size_t)32 * 1024)

typedef struct
{
  gp_loop_t loop;
  gp_http_server_t *server;
  gp_http_client_t *client;
  gp_http_exchange_t *held; /* by the path /hold */
  int parts_left;           /* of the answer to /stream */
  int parts_sent;
  bool abort_after_parts;
  int requests;
  int gone;
  bool shut_down;
  char address[32];
} fixture_t;

/* One call: what it has seen.  */
typedef struct
{
  gp_http_call_t *call;
  int heads;
  int status;
  GString *body;
  size_t received;
  bool pause; /* at each piece of the body */
  int pauses;
  bool cancel_in_body;
  int done;
  int code; /* of the error, -1 without */
  bool sent;
  fixture_t *again; /* call once more from on_done */
  gp_time_t time;   /* until its deadline, 0: CALL_TIME */
  char header[32];  /* value of "x-answer" */
} call_t;

/* The server's side.  */

static void
on_gone (void *data)
{
  fixture_t *fixture = data;

  fixture->gone++;
  fixture->held = NULL;
}

static void
on_proceed (void *data)
{
  static const char zeros[PART_SIZE];
  fixture_t *fixture = data;

  if (fixture->held == NULL)
    return;
  fixture->parts_left--;
  if (fixture->parts_left == 0 && fixture->abort_after_parts)
    {
      gp_http_exchange_abort (fixture->held);
      return;
    }
  fixture->parts_sent++;
  gp_http_exchange_part (fixture->held, zeros, sizeof zeros,
                         fixture->parts_left == 0);
}

static void
start_stream (fixture_t *fixture, gp_http_exchange_t *exchange,
              int64_t content_length)
{
  fixture->held = exchange;
  gp_http_exchange_watch (exchange, on_gone, on_proceed, fixture);
  gp_http_exchange_start (exchange, 200, NULL, 0, content_length);
  gp_http_exchange_part (exchange, NULL, 0, false);
}

static void
answer_echo (gp_http_exchange_t *exchange)
{
  gp_http_text_t body = gp_http_exchange_body (exchange);
  gp_http_text_t value = gp_http_exchange_header (exchange, "x-request");
  gp_http_header_t headers[] = { gp_http_header_make ("x-answer", ""),
                                 gp_http_header_make ("content-length", "5") };

  headers[0].value = value.base;
  headers[0].value_size = value.size;
  gp_http_exchange_answer (exchange, 200, headers, G_N_ELEMENTS (headers),
                           body.base, body.size);
}

static void
on_request (gp_http_exchange_t *exchange, void *data)
{
  fixture_t *fixture = data;
  gp_http_text_t path = gp_http_exchange_path (exchange);

  fixture->requests++;
  if (gp_http_text_equal (path, "/hold"))
    {
      fixture->held = exchange;
      gp_http_exchange_watch (exchange, on_gone, NULL, fixture);
    }
  else if (gp_http_text_equal (path, "/stream"))
    start_stream (fixture, exchange, -1);
  else if (gp_http_text_equal (path, "/sized"))
    start_stream (fixture, exchange, (int64_t)PART_SIZE * fixture->parts_left);
  else if (gp_http_text_equal (path, "/empty"))
    gp_http_exchange_answer (exchange, 204, NULL, 0, NULL, 0);
  else
    answer_echo (exchange);
}

/* The client's side.  */

static void
on_head (int status, const gp_http_header_t *headers, size_t count, void *data)
{
  call_t *call = data;

  call->heads++;
  call->status = status;
  for (size_t i = 0; i < count; i++)
    if (headers[i].name_size == 8
        && memcmp (headers[i].name, "x-answer", 8) == 0)
      g_snprintf (call->header, sizeof call->header, "%.*s",
                  (int)headers[i].value_size, headers[i].value);
}

static bool
on_body (const void *bytes, size_t size, void *data)
{
  call_t *call = data;

  call->received += size;
  if (call->received <= MAX_BODY)
    g_string_append_len (call->body, bytes, (gssize)size);
  if (call->cancel_in_body)
    gp_http_call_cancel (call->call);
  if (call->pause)
    call->pauses++;
  return !call->pause;
}

static void call_again (call_t *call);

static void
on_done (const GError *error, bool sent, void *data)
{
  call_t *call = data;

  call->done++;
  call->call = NULL;
  call->sent = sent;
  call->code = error != NULL ? error->code : -1;
  if (call->again != NULL)
    call_again (call);
}

static const gp_http_call_callbacks_t callbacks
    = { on_head, on_body, on_done };

static void
call_init (call_t *call)
{
  memset (call, 0, sizeof *call);
  call->body = g_string_new (NULL);
}

static void
call_finish (call_t *call)
{
  g_string_free (call->body, TRUE);
}

static void
call_start (fixture_t *fixture, call_t *call, const char *method,
            const char *path, const void *body, size_t size)
{
  gp_http_header_t headers[] = { gp_http_header_make ("x-request", "abc") };
  gp_http_call_request_t request
      = { .method = method,
          .path = path,
          .headers = headers,
          .header_count = G_N_ELEMENTS (headers),
          .body = body,
          .body_size = size,
          .deadline = gp_loop_now (&fixture->loop)
                      + (call->time > 0 ? call->time : CALL_TIME) };

  int done = call->done;

  call->call
      = gp_http_client_call (fixture->client, &request, &callbacks, call);
  CU_ASSERT_EQUAL (call->done, done);
}

static void
call_again (call_t *call)
{
  fixture_t *fixture = call->again;

  call->again = NULL;
  call_start (fixture, call, "GET", "/echo", NULL, 0);
}

/* Make one call and wait for its end.  */
static void
call_run (fixture_t *fixture, call_t *call, const char *method,
          const char *path, const void *body, size_t size)
{
  call_init (call);
  call_start (fixture, call, method, path, body, size);
  CU_ASSERT_TRUE (run_until_count (&fixture->loop, &call->done, 1));
}

static void
setup (fixture_t *fixture, size_t max_connections)
{
  gp_http_server_options_t options = { .address = "127.0.0.1:0",
                                       .max_body_size = MAX_BODY,
                                       .header_timeout = 10 * GP_SEC,
                                       .on_request = on_request,
                                       .data = fixture };
  gp_http_client_options_t client_options
      = { .address = fixture->address,
          .max_connections = max_connections,
          .idle_timeout = 5 * GP_SEC };
  GError *error = NULL;

  memset (fixture, 0, sizeof *fixture);
  CU_ASSERT_TRUE_FATAL (gp_loop_init (&fixture->loop, &error));
  fixture->server = gp_http_server_new (&fixture->loop, &options, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->server);
  g_snprintf (fixture->address, sizeof fixture->address, "127.0.0.1:%d",
              gp_http_server_port (fixture->server));
  fixture->client
      = gp_http_client_new (&fixture->loop, &client_options, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->client);
}

static void
teardown (fixture_t *fixture)
{
  gp_http_client_free (fixture->client);
  gp_loop_finish (&fixture->loop);
}

static void
test_whole_answers (void)
{
  fixture_t fixture;
  call_t call;

  setup (&fixture, 2);
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
  teardown (&fixture);
}

/* Run until the server can send no more.  */
static void
run_until_stalled (fixture_t *fixture)
{
  int before = -1;

  while (before != fixture->parts_sent)
    {
      before = fixture->parts_sent;
      run_turns (&fixture->loop, 50);
    }
}

#define LARGE_PARTS 2000
/* What the kernel may hold between the two sides.  */
#define KERNEL_BYTES ((size_t)16 * 1024 * 1024)

static void
check_large_answer (const char *path)
{
  fixture_t fixture;
  call_t call;

  setup (&fixture, 1);
  fixture.parts_left = LARGE_PARTS;
  call_init (&call);
  call.pause = true;
  call_start (&fixture, &call, "GET", path, NULL, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &call.pauses, 1));
  run_until_stalled (&fixture);
  CU_ASSERT_EQUAL (call.pauses, 1);
  CU_ASSERT_TRUE ((size_t)fixture.parts_sent * PART_SIZE < KERNEL_BYTES);
  /* The last pause holds back the end.  */
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
  teardown (&fixture);
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

  setup (&fixture, 1);
  fixture.parts_left = paused ? LARGE_PARTS : 3;
  fixture.abort_after_parts = true;
  call_init (&call);
  call.pause = paused;
  call_start (&fixture, &call, "GET", path, NULL, 0);
  if (paused)
    {
      CU_ASSERT_TRUE (run_until_count (&fixture.loop, &call.pauses, 1));
      run_until_stalled (&fixture);
      gp_http_exchange_abort (fixture.held);
      call.pause = false;
      gp_http_call_resume (call.call);
    }
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &call.done, 1));
  CU_ASSERT_EQUAL (call.code, GP_TRANSPORT_ERROR_CLOSED);
  CU_ASSERT_EQUAL (call.status, 200);
  CU_ASSERT_TRUE (call.sent);
  run_turns (&fixture.loop, 5);
  CU_ASSERT_EQUAL (gp_http_server_open_exchanges (fixture.server), 0);
  CU_ASSERT_EQUAL (fixture.gone, 0);
  call_finish (&call);
  teardown (&fixture);
}

static void
test_abort (void)
{
  check_aborted ("/stream", false);
  check_aborted ("/sized", false);
  check_aborted ("/stream", true);
  check_aborted ("/sized", true);
}

/* A HTTP/1.0 answer ends with its connection; an abort must not look like
   that end.  */
static void
test_abort_http_1_0 (void)
{
  static const char request[] = "GET /stream HTTP/1.0\r\n\r\n";
  GString *out = g_string_new (NULL);
  fixture_t fixture;
  int fd;

  setup (&fixture, 1);
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
  teardown (&fixture);
}

static void
test_caller_gone (void)
{
  fixture_t fixture;
  call_t call;

  setup (&fixture, 1);
  fixture.parts_left = LARGE_PARTS;
  call_init (&call);
  call.cancel_in_body = true;
  call_start (&fixture, &call, "GET", "/stream", NULL, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.gone, 1));
  CU_ASSERT_EQUAL (call.done, 0);
  CU_ASSERT_EQUAL (gp_http_server_open_exchanges (fixture.server), 0);
  call_finish (&call);
  /* The one connection is free for the next call.  */
  call_run (&fixture, &call, "GET", "/echo", NULL, 0);
  CU_ASSERT_EQUAL (call.code, -1);
  call_finish (&call);
  teardown (&fixture);
}

static void
test_body_bound (void)
{
  static const char body[MAX_BODY + 1];
  fixture_t fixture;
  call_t call;

  setup (&fixture, 1);
  call_run (&fixture, &call, "POST", "/echo", body, MAX_BODY);
  CU_ASSERT_EQUAL (call.status, 200);
  CU_ASSERT_EQUAL (call.received, MAX_BODY);
  call_finish (&call);
  call_run (&fixture, &call, "POST", "/echo", body, MAX_BODY + 1);
  CU_ASSERT_EQUAL (call.status, 413);
  CU_ASSERT_EQUAL (fixture.requests, 1);
  call_finish (&call);
  teardown (&fixture);
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

  setup (&fixture, 1);
  fd = raw_connect (gp_http_server_port (fixture.server));
  raw_send (fd, head, sizeof head - 1);
  raw_send (fd, body, sizeof body);
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, fd, out, "413"), 0);
  CU_ASSERT_EQUAL (fixture.requests, 0);
  close (fd);
  g_string_free (out, TRUE);
  teardown (&fixture);
}

static void
test_timeout (void)
{
  fixture_t fixture;
  call_t held;
  call_t waiting;

  setup (&fixture, 1);
  call_init (&held);
  held.time = 20 * GP_MSEC;
  call_start (&fixture, &held, "GET", "/hold", NULL, 0);
  call_init (&waiting);
  waiting.time = 10 * GP_MSEC;
  call_start (&fixture, &waiting, "GET", "/echo", NULL, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &held.done, 1));
  CU_ASSERT_EQUAL (held.code, GP_TRANSPORT_ERROR_TIMEOUT);
  CU_ASSERT_TRUE (held.sent);
  CU_ASSERT_EQUAL (waiting.code, GP_TRANSPORT_ERROR_TIMEOUT);
  CU_ASSERT_FALSE (waiting.sent);
  CU_ASSERT_EQUAL (fixture.requests, 1);
  call_finish (&held);
  call_finish (&waiting);
  call_run (&fixture, &held, "GET", "/echo", NULL, 0);
  CU_ASSERT_EQUAL (held.code, -1);
  call_finish (&held);
  teardown (&fixture);
}

#define MANY_CALLS 50

static void
test_connection_bound (void)
{
  fixture_t fixture;
  call_t calls[MANY_CALLS];

  setup (&fixture, 2);
  for (int i = 0; i < MANY_CALLS; i++)
    {
      call_init (&calls[i]);
      call_start (&fixture, &calls[i], "GET", i < 2 ? "/hold" : "/echo", NULL,
                  0);
    }
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.requests, 2));
  run_turns (&fixture.loop, 20);
  CU_ASSERT_EQUAL (fixture.requests, 2);
  /* The exchange that came last is the one that is held.  */
  gp_http_exchange_answer (fixture.held, 200, NULL, 0, NULL, 0);
  for (int i = 2; i < MANY_CALLS; i++)
    {
      CU_ASSERT_TRUE (run_until_count (&fixture.loop, &calls[i].done, 1));
      CU_ASSERT_EQUAL (calls[i].code, -1);
    }
  CU_ASSERT_EQUAL (fixture.requests, MANY_CALLS);
  /* The end of the client ends what is open.  */
  gp_http_client_free (fixture.client);
  CU_ASSERT_EQUAL (calls[0].done + calls[1].done, 2);
  CU_ASSERT_TRUE (calls[0].code == -1 || calls[1].code == -1);
  for (int i = 0; i < MANY_CALLS; i++)
    call_finish (&calls[i]);
  gp_loop_finish (&fixture.loop);
}

/* A call to a server that answers TEXT and closes.  */
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
  teardown (&fixture);
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

  setup (&fixture, 1);
  gp_http_server_shutdown (fixture.server, NULL, NULL);
  run_turns (&fixture.loop, 5);
  call_run (&fixture, &call, "GET", "/echo", NULL, 0);
  CU_ASSERT_EQUAL (call.code, GP_TRANSPORT_ERROR_CONNECT);
  CU_ASSERT_FALSE (call.sent);
  call_finish (&call);
  teardown (&fixture);
}

static void
on_shut_down (void *data)
{
  fixture_t *fixture = data;

  CU_ASSERT_FALSE (fixture->shut_down);
  fixture->shut_down = true;
}

/* One connection is idle, one has a request half sent, one waits for its
   answer: the first is closed, the others are served.  */
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

  setup (&fixture, 1);
  idle = raw_connect (gp_http_server_port (fixture.server));
  slow = raw_connect (gp_http_server_port (fixture.server));
  raw_send (slow, half, sizeof half - 1);
  call_init (&call);
  call_start (&fixture, &call, "GET", "/hold", NULL, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.requests, 1));
  run_turns (&fixture.loop, 5);
  gp_http_server_shutdown (fixture.server, on_shut_down, &fixture);
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, idle, out, NULL), 0);
  CU_ASSERT_EQUAL (out->len, 0);
  CU_ASSERT_FALSE (fixture.shut_down);
  CU_ASSERT_EQUAL (gp_http_server_open_exchanges (fixture.server), 1);
  raw_send (slow, "b", 1);
  CU_ASSERT_EQUAL (raw_read (&fixture.loop, slow, rest, NULL), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (rest->str, "\r\n\r\nab"));
  CU_ASSERT_FALSE (fixture.shut_down);
  gp_http_exchange_answer (fixture.held, 200, NULL, 0, "whole", 5);
  CU_ASSERT_TRUE (run_until (&fixture.loop, &fixture.shut_down));
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &call.done, 1));
  CU_ASSERT_EQUAL (call.code, -1);
  CU_ASSERT_STRING_EQUAL (call.body->str, "whole");
  close (idle);
  close (slow);
  call_finish (&call);
  teardown (&fixture);
  g_string_free (out, TRUE);
  g_string_free (rest, TRUE);
}

static void
test_shutdown_idle (void)
{
  fixture_t fixture;
  call_t call;

  setup (&fixture, 1);
  call_run (&fixture, &call, "GET", "/echo", NULL, 0);
  call_finish (&call);
  gp_http_server_shutdown (fixture.server, on_shut_down, &fixture);
  CU_ASSERT_FALSE (fixture.shut_down);
  CU_ASSERT_TRUE (run_until (&fixture.loop, &fixture.shut_down));
  teardown (&fixture);
}

/* The end of the loop ends what is open, and the users are told.  */
static void
test_loop_end (void)
{
  fixture_t fixture;
  call_t call;

  setup (&fixture, 1);
  call_init (&call);
  call_start (&fixture, &call, "GET", "/hold", NULL, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.requests, 1));
  gp_loop_finish (&fixture.loop);
  CU_ASSERT_EQUAL (call.done, 1);
  CU_ASSERT_EQUAL (fixture.gone, 1);
  call_finish (&call);
}

/* Accepting goes on once there are descriptors again.  */
static void
test_without_descriptors (void)
{
  fixture_t fixture;
  call_t call;

  setup (&fixture, 1);
  raw_connect_without_descriptors (&fixture.loop, &fixture.server->listener);
  call_run (&fixture, &call, "GET", "/echo", NULL, 0);
  CU_ASSERT_EQUAL (call.code, -1);
  call_finish (&call);
  teardown (&fixture);
}

/* A retry from inside of the end of the client fails, and fails later.  */
static void
test_call_at_client_end (void)
{
  fixture_t fixture;
  call_t call;

  setup (&fixture, 1);
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

/* Bytes of a header that would begin another are not sent.  */
static void
test_unclean_headers (void)
{
  gp_http_header_t clean = gp_http_header_make ("a", "b\tc");
  gp_http_header_t unclean = gp_http_header_make ("a", "b\r\nx: y");
  gp_http_header_t framing
      = gp_http_header_make ("Transfer-Encoding", "chunked");

  CU_ASSERT_TRUE (gp_http_header_is_clean (&clean));
  CU_ASSERT_FALSE (gp_http_header_is_clean (&unclean));
  CU_ASSERT_TRUE (gp_http_header_is_framing (&framing));
  CU_ASSERT_FALSE (gp_http_header_is_framing (&clean));
}

/* Each byte at each place of a value, against the rule byte by byte.  */
static void
test_clean_bytes (void)
{
  char value[20];
  gp_http_header_t header
      = { .name = "a", .name_size = 1, .value = value, .value_size = 20 };

  for (size_t place = 0; place < sizeof value; place++)
    for (int byte = 0; byte < 256; byte++)
      {
        bool control = (byte < 32 && byte != '\t') || byte == 127;

        memset (value, place % 2 == 0 ? ' ' : '~', sizeof value);
        value[place] = (char)byte;
        CU_ASSERT_EQUAL (gp_http_header_is_clean (&header), !control);
      }
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "whole answers", test_whole_answers },
          { "large answer", test_large_answer },
          { "abort", test_abort },
          { "abort, HTTP/1.0", test_abort_http_1_0 },
          { "caller gone", test_caller_gone },
          { "body bound", test_body_bound },
          { "body bound, chunked", test_chunked_body_bound },
          { "timeout", test_timeout },
          { "connection bound", test_connection_bound },
          { "truncated answers", test_truncated_answers },
          { "connect refused", test_connect_refused },
          { "shutdown", test_shutdown },
          { "shutdown, idle", test_shutdown_idle },
          { "loop end", test_loop_end },
          { "call at the client's end", test_call_at_client_end },
          { "without descriptors", test_without_descriptors },
          { "unclean headers", test_unclean_headers },
          { "clean bytes", test_clean_bytes },
          CU_TEST_INFO_NULL };

  return runner_main ("transport/http", tests);
}

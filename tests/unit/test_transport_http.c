/* Tests of the HTTP server and client against each other on loopback.  */

#include <CUnit/Basic.h>
#include <string.h>

#include "base/error.h"
#include "transport/http.h"
#include "transport_support.h"

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
  char header[32]; /* value of "x-answer" */
} call_t;

/* The server's side.  */

static gp_http_header_t
header (const char *name, const char *value)
{
  return (gp_http_header_t){ name, strlen (name), value, strlen (value) };
}

static bool
text_is (gp_http_text_t text, const char *expected)
{
  return text.size == strlen (expected)
         && memcmp (text.base, expected, text.size) == 0;
}

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
  gp_http_header_t headers[]
      = { header ("x-answer", ""), header ("content-length", "5") };

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
  if (text_is (path, "/hold"))
    {
      fixture->held = exchange;
      gp_http_exchange_watch (exchange, on_gone, NULL, fixture);
    }
  else if (text_is (path, "/stream"))
    start_stream (fixture, exchange, -1);
  else if (text_is (path, "/sized"))
    start_stream (fixture, exchange, (int64_t)PART_SIZE * fixture->parts_left);
  else if (text_is (path, "/empty"))
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

static void
on_done (const GError *error, bool sent, void *data)
{
  call_t *call = data;

  call->done++;
  call->call = NULL;
  call->sent = sent;
  call->code = error != NULL ? error->code : -1;
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
  gp_http_header_t headers[] = { header ("x-request", "abc") };
  gp_http_call_request_t request
      = { .method = method,
          .path = path,
          .headers = headers,
          .header_count = G_N_ELEMENTS (headers),
          .body = body,
          .body_size = size,
          .deadline = gp_loop_now (&fixture->loop) + CALL_TIME };

  call->call
      = gp_http_client_call (fixture->client, &request, &callbacks, call);
  CU_ASSERT_EQUAL (call->done, 0);
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

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("transport/http", NULL, NULL);
  CU_add_test (suite, "whole answers", test_whole_answers);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}

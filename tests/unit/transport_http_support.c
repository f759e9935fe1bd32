/* An HTTP server and client for the tests of the transport.  */

#include "transport_http_support.h"

#include <string.h>

#include "base/error.h"
#include "runner.h"

/* Server.  */

static void
on_gone (void *data)
{
  fixture_t *fixture = data;

  fixture->gone++;
  fixture->open_exchange = NULL;
}

static void
on_proceed (void *data)
{
  static const char zeros[PART_SIZE];
  fixture_t *fixture = data;

  if (fixture->open_exchange == NULL)
    return;
  fixture->parts_left--;
  if (fixture->parts_left == 0 && fixture->abort_after_parts)
    {
      gp_http_exchange_abort (fixture->open_exchange);
      return;
    }
  fixture->parts_sent++;
  gp_http_exchange_part (fixture->open_exchange, zeros, sizeof zeros,
                         fixture->parts_left == 0);
}

static void
start_stream (fixture_t *fixture, gp_http_exchange_t *exchange,
              int64_t content_length)
{
  fixture->open_exchange = exchange;
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
      fixture->open_exchange = exchange;
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

/* Client.  */

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

void
call_init (call_t *call)
{
  memset (call, 0, sizeof *call);
  call->body = g_string_new (NULL);
}

void
call_finish (call_t *call)
{
  g_string_free (call->body, TRUE);
}

void
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

void
call_run (fixture_t *fixture, call_t *call, const char *method,
          const char *path, const void *body, size_t size)
{
  call_init (call);
  call_start (fixture, call, method, path, body, size);
  CU_ASSERT_TRUE (run_until_count (&fixture->loop, &call->done, 1));
}

void
http_setup (fixture_t *fixture, size_t max_connections)
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

void
http_teardown (fixture_t *fixture)
{
  gp_http_client_free (fixture->client);
  gp_loop_finish (&fixture->loop);
}

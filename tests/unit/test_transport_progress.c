/* Tests of calls whose answer arrives slowly: they last as long as there is
   progress, and no longer.  */

#include <string.h>

#include "base/error.h"
#include "transport/http.h"
#include "transport_support.h"
#include "runner.h"

/* A part comes each PART_TIME, so that PARTS of them take longer than
   DEADLINE_TIME.  */
#define PART "0123456789"
#define PART_TIME (20 * GP_MSEC)
#define DEADLINE_TIME (50 * GP_MSEC)
#define PARTS 8
/* Far longer than a part is late on a busy machine.  */
#define PATIENT_TIME (10 * GP_SEC)

typedef struct
{
  gp_loop_t loop;
  gp_http_server_t *server;
  gp_http_client_t *client;
  gp_http_exchange_t *exchange;
  gp_timer_t timer;
  int parts;  /* to be sent */
  bool stall; /* nothing follows them */
  size_t received;
  int done;
  int code; /* of the error, -1: none */
} fixture_t;

static void
on_part_due (gp_timer_t *timer, void *data)
{
  fixture_t *fixture = data;
  bool last = --fixture->parts == 0;

  if (fixture->exchange == NULL)
    return;
  gp_http_exchange_part (fixture->exchange, PART, strlen (PART),
                         last && !fixture->stall);
  if (!last)
    gp_timer_arm (timer, gp_loop_now (&fixture->loop) + PART_TIME);
}

static void
on_gone (void *data)
{
  ((fixture_t *)data)->exchange = NULL;
}

static void
on_request (gp_http_exchange_t *exchange, void *data)
{
  fixture_t *fixture = data;

  fixture->exchange = exchange;
  gp_http_exchange_watch (exchange, on_gone, NULL, fixture);
  gp_http_exchange_start (exchange, 200, NULL, 0, -1);
  gp_timer_arm (&fixture->timer, gp_loop_now (&fixture->loop) + PART_TIME);
}

static void
on_head (int status, const gp_http_header_t *headers, size_t count, void *data)
{
}

static bool
on_body (const void *bytes, size_t size, void *data)
{
  ((fixture_t *)data)->received += size;
  return true;
}

static void
on_done (const GError *error, bool sent, void *data)
{
  fixture_t *fixture = data;

  fixture->done++;
  fixture->code = error != NULL ? error->code : -1;
}

/* The outcome of a call whose answer comes in PARTS parts.  */
static int
call (bool stall, gp_time_t stall_time, size_t *received)
{
  static const gp_http_call_callbacks_t callbacks
      = { on_head, on_body, on_done };
  fixture_t fixture = { .parts = PARTS, .stall = stall };
  const gp_http_server_options_t server = { .address = "127.0.0.1:0",
                                            .header_timeout = 20 * GP_SEC,
                                            .on_request = on_request,
                                            .data = &fixture };
  gp_http_client_options_t client
      = { .max_connections = 1, .idle_timeout = 20 * GP_SEC };
  gp_http_call_request_t request
      = { .method = "GET", .path = "/", .stall_time = stall_time };
  g_autofree char *address = NULL;

  CU_ASSERT_TRUE_FATAL (gp_loop_init (&fixture.loop, NULL));
  gp_timer_init (&fixture.timer, &fixture.loop, on_part_due, &fixture);
  fixture.server = gp_http_server_new (&fixture.loop, &server, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture.server);
  address
      = g_strdup_printf ("127.0.0.1:%d", gp_http_server_port (fixture.server));
  client.address = address;
  fixture.client = gp_http_client_new (&fixture.loop, &client, NULL);
  request.deadline = gp_loop_now (&fixture.loop) + DEADLINE_TIME;
  gp_http_client_call (fixture.client, &request, &callbacks, &fixture);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.done, 1));
  if (fixture.exchange != NULL && fixture.parts > 0)
    gp_http_exchange_abort (fixture.exchange);
  gp_timer_finish (&fixture.timer);
  gp_loop_finish (&fixture.loop);
  *received = fixture.received;
  return fixture.code;
}

static void
test_progress (void)
{
  size_t received;

  /* Without a limit on progress the deadline holds.  */
  CU_ASSERT_EQUAL (call (false, 0, &received), GP_TRANSPORT_ERROR_TIMEOUT);
  CU_ASSERT_TRUE (received < PARTS * strlen (PART));
  /* With one the answer is waited for.  */
  CU_ASSERT_EQUAL (call (false, PATIENT_TIME, &received), -1);
  CU_ASSERT_EQUAL (received, PARTS * strlen (PART));
}

/* An answer that stops coming ends the call.  */
static void
test_stall (void)
{
  size_t received;

  CU_ASSERT_EQUAL (call (true, 3 * PART_TIME, &received),
                   GP_TRANSPORT_ERROR_TIMEOUT);
  CU_ASSERT_TRUE (received > 0);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "progress", test_progress },
                                 { "stall", test_stall },
                                 CU_TEST_INFO_NULL };

  return runner_main ("transport/progress", tests);
}

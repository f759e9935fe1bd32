/* Tests of calls whose response arrives slowly: they continue past their
   deadline only as long as there is progress.  */

#include <string.h>

#include "base/error.h"
#include "transport/http.h"
#include "transport_support.h"
#include "runner.h"

/* A part is sent every PART_TIME, so that PARTS parts take longer than
   DEADLINE_TIME.  */
#define PART "0123456789"
#define PART_TIME (20 * GP_MSEC)
#define DEADLINE_TIME (50 * GP_MSEC)
#define PARTS 8
/* Likewise for the test that blocks the process.  It is blocked after
   BLOCK_AFTER_TIME, when the call has been sent and no part has arrived.  */
#define BLOCKED_PART_TIME (100 * GP_MSEC)
#define BLOCKED_DEADLINE_TIME (400 * GP_MSEC)
#define BLOCK_AFTER_TIME (BLOCKED_PART_TIME / 2)
/* Much longer than a part is delayed on a busy machine.  */
#define LONG_STALL_TIME (10 * GP_SEC)

typedef struct
{
  gp_loop_t loop;
  gp_http_server_t *server;
  gp_http_client_t *client;
  gp_http_exchange_t *exchange;
  gp_timer_t timer;
  gp_timer_t block_timer;
  gp_time_t blocked_until; /* 0: the process is not blocked */
  gp_time_t part_time;     /* interval between parts */
  int parts;               /* left to send */
  bool stall;              /* the response does not end after them */
  size_t received;
  int done;
  int code; /* of the error, -1 for success */
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
    gp_timer_arm (timer, gp_loop_now (&fixture->loop) + fixture->part_time);
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
  gp_timer_arm (&fixture->timer,
                gp_loop_now (&fixture->loop) + fixture->part_time);
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

/* Block the process, as if it were stopped or not scheduled.  */
static void
on_block_timer (gp_timer_t *timer, void *data)
{
  const fixture_t *fixture = data;

  while (gp_time_now () < fixture->blocked_until)
    continue;
}

/* Make a call whose response has PARTS parts and return the error code, or -1.
   If BLOCKED, the process is blocked until after the deadline of the call.  */
static int
run_call (bool stall, gp_time_t stall_time, bool blocked, size_t *received)
{
  static const gp_http_call_callbacks_t callbacks
      = { on_head, on_body, on_done };
  fixture_t fixture = { .parts = PARTS,
                        .stall = stall,
                        .part_time = blocked ? BLOCKED_PART_TIME : PART_TIME };
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
  gp_timer_init (&fixture.block_timer, &fixture.loop, on_block_timer,
                 &fixture);
  fixture.server = gp_http_server_new (&fixture.loop, &server, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture.server);
  address
      = g_strdup_printf ("127.0.0.1:%d", gp_http_server_port (fixture.server));
  client.address = address;
  fixture.client = gp_http_client_new (&fixture.loop, &client, NULL);
  request.deadline = gp_loop_now (&fixture.loop)
                     + (blocked ? BLOCKED_DEADLINE_TIME : DEADLINE_TIME);
  gp_http_client_call (fixture.client, &request, &callbacks, &fixture);
  fixture.blocked_until = blocked ? request.deadline + BLOCKED_PART_TIME : 0;
  gp_timer_arm (&fixture.block_timer,
                gp_loop_now (&fixture.loop) + BLOCK_AFTER_TIME);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.done, 1));
  if (fixture.exchange != NULL && fixture.parts > 0)
    gp_http_exchange_abort (fixture.exchange);
  gp_timer_finish (&fixture.timer);
  gp_timer_finish (&fixture.block_timer);
  gp_loop_finish (&fixture.loop);
  *received = fixture.received;
  return fixture.code;
}

static int
run_unblocked_call (bool stall, gp_time_t stall_time, size_t *received)
{
  return run_call (stall, stall_time, false, received);
}

static void
test_progress (void)
{
  size_t received;

  /* Without a stall time the deadline is final.  */
  CU_ASSERT_EQUAL (run_unblocked_call (false, 0, &received),
                   GP_TRANSPORT_ERROR_TIMEOUT);
  CU_ASSERT_TRUE (received < PARTS * strlen (PART));
  /* With a stall time the call waits for the rest of the response.  */
  CU_ASSERT_EQUAL (run_unblocked_call (false, LONG_STALL_TIME, &received), -1);
  CU_ASSERT_EQUAL (received, PARTS * strlen (PART));
}

/* A process that was blocked until after the deadline still reads a response
   that has arrived meanwhile.  */
static void
test_blocked (void)
{
  size_t received;

  CU_ASSERT_EQUAL (run_call (false, LONG_STALL_TIME, true, &received), -1);
  CU_ASSERT_EQUAL (received, PARTS * strlen (PART));
}

/* The call fails when the response makes no more progress.  */
static void
test_stall (void)
{
  size_t received;

  CU_ASSERT_EQUAL (run_unblocked_call (true, 3 * PART_TIME, &received),
                   GP_TRANSPORT_ERROR_TIMEOUT);
  CU_ASSERT_TRUE (received > 0);
}

/* A call without a response, while the response of another call uses the link.
   If the link is known to be slow, it waits past its deadline until the other
   response is complete.  */
typedef struct
{
  fixture_t bulk;
  gp_http_exchange_t *waiting; /* the request of the waiting call */
  int waiting_done;
  int waiting_code;
} pair_t;

static void
on_pair_request (gp_http_exchange_t *exchange, void *data)
{
  pair_t *pair = data;

  if (gp_http_text_equal (gp_http_exchange_path (exchange), "/bulk"))
    on_request (exchange, &pair->bulk);
  else
    pair->waiting = exchange;
}

static void
on_waiting_done (const GError *error, bool sent, void *data)
{
  pair_t *pair = data;

  pair->waiting_done++;
  pair->waiting_code = error != NULL ? error->code : -1;
}

static void
on_bulk_done (const GError *error, bool sent, void *data)
{
  pair_t *pair = data;

  pair->bulk.done++;
  if (pair->waiting_done == 0)
    gp_http_exchange_answer (pair->waiting, 200, NULL, 0, "", 0);
}

static bool
on_bulk (const void *bytes, size_t size, void *data)
{
  return true;
}

/* Return the error code of the waiting call, or -1.  */
static int
run_waiting_call (int64_t link_rate)
{
  static const gp_http_call_callbacks_t bulk_callbacks
      = { on_head, on_bulk, on_bulk_done };
  static const gp_http_call_callbacks_t waiting_callbacks
      = { on_head, on_bulk, on_waiting_done };
  pair_t pair = { .bulk = { .parts = PARTS, .part_time = PART_TIME } };
  fixture_t *bulk = &pair.bulk;
  const gp_http_server_options_t server = { .address = "127.0.0.1:0",
                                            .header_timeout = 20 * GP_SEC,
                                            .on_request = on_pair_request,
                                            .data = &pair };
  gp_http_client_options_t client = { .max_connections = 2,
                                      .idle_timeout = 20 * GP_SEC,
                                      .link_rate = link_rate };
  gp_http_call_request_t request
      = { .method = "GET", .path = "/bulk", .stall_time = LONG_STALL_TIME };
  g_autofree char *address = NULL;

  CU_ASSERT_TRUE_FATAL (gp_loop_init (&bulk->loop, NULL));
  gp_timer_init (&bulk->timer, &bulk->loop, on_part_due, bulk);
  bulk->server = gp_http_server_new (&bulk->loop, &server, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bulk->server);
  address
      = g_strdup_printf ("127.0.0.1:%d", gp_http_server_port (bulk->server));
  client.address = address;
  bulk->client = gp_http_client_new (&bulk->loop, &client, NULL);
  request.deadline = gp_loop_now (&bulk->loop) + LONG_STALL_TIME;
  gp_http_client_call (bulk->client, &request, &bulk_callbacks, &pair);
  request.path = "/behind";
  request.deadline = gp_loop_now (&bulk->loop) + 3 * PART_TIME;
  gp_http_client_call (bulk->client, &request, &waiting_callbacks, &pair);
  CU_ASSERT_TRUE (run_until_count (&bulk->loop, &bulk->done, 1));
  CU_ASSERT_TRUE (run_until_count (&bulk->loop, &pair.waiting_done, 1));
  gp_timer_finish (&bulk->timer);
  gp_loop_finish (&bulk->loop);
  return pair.waiting_code;
}

static void
test_waiting_call (void)
{
  CU_ASSERT_EQUAL (run_waiting_call (0), GP_TRANSPORT_ERROR_TIMEOUT);
  /* The bandwidth is so low that the parts saturate the link.  */
  CU_ASSERT_EQUAL (run_waiting_call (strlen (PART)), -1);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "progress", test_progress },
                                 { "held up", test_blocked },
                                 { "stall", test_stall },
                                 { "behind", test_waiting_call },
                                 CU_TEST_INFO_NULL };

  return runner_main ("transport/progress", tests);
}

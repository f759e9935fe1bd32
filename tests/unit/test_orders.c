/* Tests of the results that the client derives from an executor's answers:
   each status and body is returned to a start, a stop, an identification and a
   list request.  */

#include <stdio.h>
#include <string.h>

#include "platform/runtime.h"
#include "transport/http.h"
#include "transport_support.h"
#include "runner.h"

#define BODY_MAX 1000
#define ORDER_TIME (10 * GP_SEC)

typedef struct
{
  gp_loop_t loop;
  gp_http_server_t *server;
  gp_platform_runtime_t *runtime;
  int status;
  const char *body;
  int answered;
} fixture_t;

static const char *
result_name (gp_agent_result_t result)
{
  switch (result)
    {
    case GP_AGENT_ACCEPTED:
      return "taken";
    case GP_AGENT_FENCED:
      return "fenced";
    case GP_AGENT_TOO_OLD:
      return "old";
    case GP_AGENT_TOO_LATE:
      return "late";
    case GP_AGENT_NO_RESOURCES:
      return "no room";
    case GP_AGENT_REFUSED:
      return "refused";
    case GP_AGENT_REPLACED:
      return "replaced";
    case GP_AGENT_UNANSWERED:
      return "unanswered";
    case GP_AGENT_DISCONNECTED:
      return "cut";
    case GP_AGENT_CONNECTION_REFUSED:
      return "nobody";
    }
  return "";
}

static void
on_request (gp_http_exchange_t *exchange, void *data)
{
  const fixture_t *fixture = data;

  gp_http_exchange_answer (exchange, fixture->status, NULL, 0, fixture->body,
                           strlen (fixture->body));
}

static void
on_order (gp_agent_result_t result, int64_t clock_ms, void *data)
{
  fixture_t *fixture = data;

  printf (" %s (clock %d)", result_name (result), (int)clock_ms);
  fixture->answered++;
}

static void
on_list (const gp_runtime_list_answer_t *answer, void *data)
{
  fixture_t *fixture = data;

  printf (" %s with %zu runs", result_name (answer->result),
          answer->list.run_count);
  fixture->answered++;
}

static void
send_requests (fixture_t *fixture, int status, const char *body)
{
  static const ProtobufCBinaryData empty = { 0, NULL };
  gp_platform_runtime_t *runtime = fixture->runtime;
  const gp_runtime_order_t order
      = { .executor = "x1",
          .task = "00000000000000aa.0.0.0",
          .run = 1,
          .fence = 1,
          .deadline = gp_loop_now (&fixture->loop) + ORDER_TIME };

  fixture->status = status;
  fixture->body = body;
  fixture->answered = 0;
  printf ("%d %s\n  start:", status, body);
  gp_platform_runtime_start (runtime, &order, &empty, &empty, 0, on_order,
                             fixture);
  CU_ASSERT_TRUE (run_until_count (&fixture->loop, &fixture->answered, 1));
  printf ("\n  stop:");
  gp_platform_runtime_stop (runtime, &order, on_order, fixture);
  CU_ASSERT_TRUE (run_until_count (&fixture->loop, &fixture->answered, 2));
  printf ("\n  identify:");
  gp_platform_runtime_identify (runtime, &order, on_list, fixture);
  CU_ASSERT_TRUE (run_until_count (&fixture->loop, &fixture->answered, 3));
  printf ("\n  list:");
  gp_platform_runtime_list (runtime, &order, 0, 0, 0, on_list, fixture);
  CU_ASSERT_TRUE (run_until_count (&fixture->loop, &fixture->answered, 4));
  printf ("\n");
}

static void
test_answers (void)
{
  /* Static, as its clients are never freed, see gp_platform_runtime_t.  */
  static fixture_t fixture;
  gp_http_server_options_t options = { .address = "127.0.0.1:0",
                                       .max_body_size = BODY_MAX,
                                       .header_timeout = 20 * GP_SEC,
                                       .on_request = on_request,
                                       .data = &fixture };
  g_autofree char *address = NULL;

  CU_ASSERT_TRUE_FATAL (gp_loop_init (&fixture.loop, NULL));
  fixture.server = gp_http_server_new (&fixture.loop, &options, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture.server);
  address
      = g_strdup_printf ("127.0.0.1:%d", gp_http_server_port (fixture.server));
  fixture.runtime = gp_platform_runtime_new (&fixture.loop, address, NULL);
  send_requests (
      &fixture, 200,
      "{\"clockMs\":7,\"running\":[[\"t.0.0.0\",1,\"\",0]],\"ended\":[]}");
  send_requests (&fixture, 200,
                 "{\"clockMs\":\"7\",\"running\":[],\"ended\":[]}");
  send_requests (&fixture, 200, "{}");
  send_requests (&fixture, 200, "[]");
  send_requests (&fixture, 200, "{\"clockMs\":7,\"runn");
  send_requests (&fixture, 200, "");
  send_requests (&fixture, 409, "{\"clockMs\":7,\"reason\":\"old\"}");
  send_requests (&fixture, 409, "{\"clockMs\":7,\"reason\":\"tired\"}");
  send_requests (&fixture, 409, "{\"clockMs\":7,\"reason\":7}");
  send_requests (&fixture, 409, "{\"clockMs\":7}");
  send_requests (&fixture, 409, "{\"clockMs\":7,\"reas");
  send_requests (&fixture, 421, "");
  send_requests (&fixture, 503, "busy");
  gp_loop_finish (&fixture.loop);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "answers", test_answers }, CU_TEST_INFO_NULL };

  return runner_main ("orders", tests);
}

/* Tests of views between processes: three session hosts on one event loop,
   entry A, entry B and guard G.  A has no session to G.  */

#include <CUnit/CUnit.h>
#include <string.h>

#include "daemon/view.h"
#include "runner.h"
#include "transport_support.h"

#define TIMEOUT (5 * GP_SEC)
#define SHORT (1 * GP_MSEC)

typedef struct
{
  gp_session_host_t host;
  gp_views_t views;
  gp_timeline_t timeline;
  gp_timeline_event_t events[4];
  const char *name;
  int ready;
  bool silent; /* does not answer requests */
} process_t;

typedef struct
{
  gp_loop_t loop;
  process_t a;
  process_t b;
  process_t g;
} world_t;

typedef struct
{
  int calls;
  bool missing;
  gp_view_result_t result;
  char *text;
} outcome_t;

static void
on_ready (gp_session_t *session, void *data)
{
  process_t *process = data;

  (void)session;
  process->ready++;
}

static void
on_message (gp_session_t *session, const Gp__Wire__Envelope *envelope,
            void *data)
{
  process_t *process = data;

  if (envelope->message_case == GP__WIRE__ENVELOPE__MESSAGE_VIEW)
    gp_views_on_view (&process->views, session, envelope->view);
  if (envelope->message_case != GP__WIRE__ENVELOPE__MESSAGE_VIEW_ASK
      || process->silent)
    return;
  if (envelope->view_ask->process[0] != '\0')
    gp_views_forward (&process->views, session, envelope->view_ask);
  else
    gp_view_serve (session, &process->timeline, envelope->view_ask);
}

static void
on_close (gp_session_t *session, bool ready, const GError *reason, void *data)
{
  process_t *process = data;

  (void)ready, (void)reason;
  process->ready--;
  gp_views_on_closed (&process->views, session);
}

static const gp_session_callbacks_t callbacks
    = { .on_ready = on_ready, .on_message = on_message, .on_close = on_close };

static void
process_init (process_t *process, gp_loop_t *loop, const char *name)
{
  const gp_identity_t self = { .site = "s",
                               .process = name,
                               .role = GP__WIRE__ROLE__ROLE_ENTRY,
                               .incarnation = 1,
                               .region = "r",
                               .zone = "a",
                               .address = "" };
  const gp_timeline_subject_t subject = { .vm = name };

  *process = (process_t){ .name = name };
  gp_session_host_init (&process->host, loop, NULL, &self, &callbacks,
                        process);
  gp_views_init (&process->views, &process->host);
  gp_timeline_init (&process->timeline, name, 1, process->events, 4);
  gp_timeline_append (&process->timeline, GP_TIMELINE_PROCESS_START, &subject,
                      NULL, 1000000);
  CU_ASSERT_FATAL (
      gp_session_host_listen (&process->host, "127.0.0.1:0", NULL, NULL));
}

static void
connect_to (world_t *world, process_t *from, process_t *to)
{
  char *address
      = g_strdup_printf ("127.0.0.1:%d", gp_session_host_port (&to->host));
  int before = to->ready;

  gp_session_open (&from->host, address, gp_loop_now (&world->loop) + TIMEOUT,
                   NULL, NULL);
  CU_ASSERT_TRUE (run_until_count (&world->loop, &to->ready, before + 1));
  CU_ASSERT_TRUE (run_until_count (&world->loop, &from->ready, 1));
  g_free (address);
}

static void
world_init (world_t *world)
{
  CU_ASSERT_FATAL (gp_loop_init (&world->loop, NULL));
  process_init (&world->a, &world->loop, "a");
  process_init (&world->b, &world->loop, "b");
  process_init (&world->g, &world->loop, "g");
  connect_to (world, &world->a, &world->b);
  connect_to (world, &world->g, &world->b);
}

static void
process_close (process_t *process)
{
  gp_views_close (&process->views);
  gp_session_host_finish (&process->host);
}

static void
process_finish (process_t *process)
{
  gp_views_finish (&process->views);
}

static void
world_finish (world_t *world)
{
  process_close (&world->a);
  process_close (&world->b);
  process_close (&world->g);
  gp_loop_finish (&world->loop);
  process_finish (&world->a);
  process_finish (&world->b);
  process_finish (&world->g);
}

static void
on_view (gp_view_result_t result, const Gp__Wire__View *view, void *data)
{
  outcome_t *outcome = data;

  outcome->calls++;
  outcome->result = result;
  if (view == NULL)
    return;
  outcome->missing = view->missing;
  outcome->text = g_strndup ((const char *)view->text.data, view->text.len);
}

static gp_view_t *
request_view (process_t *from, const char *over, const char *process,
              gp_time_t timeout, outcome_t *outcome)
{
  Gp__Wire__ViewAsk message = GP__WIRE__VIEW_ASK__INIT;
  gp_session_t *session = gp_views_find_session (&from->views, over);

  CU_ASSERT_PTR_NOT_NULL_FATAL (session);
  message.kind = GP__WIRE__VIEW_KIND__VIEW_KIND_TIMELINE;
  message.max = 10;
  message.process = (char *)process;
  return gp_views_request (&from->views, session, &message, timeout, on_view,
                           outcome);
}

/* Views of entry B and, forwarded by it, of guard G.  A process that B has no
   session to is reported as missing.  */
static void
test_forward (void)
{
  world_t *world = g_new0 (world_t, 1);
  outcome_t direct = { 0 };
  outcome_t forwarded = { 0 };
  outcome_t missing = { 0 };

  world_init (world);
  CU_ASSERT_PTR_NULL (gp_views_find_session (&world->a.views, "g"));
  request_view (&world->a, "b", "", TIMEOUT, &direct);
  request_view (&world->a, "b", "g", TIMEOUT, &forwarded);
  request_view (&world->a, "b", "nobody", TIMEOUT, &missing);
  run_until_count (&world->loop, &direct.calls, 1);
  run_until_count (&world->loop, &forwarded.calls, 1);
  run_until_count (&world->loop, &missing.calls, 1);
  CU_ASSERT_PTR_NOT_NULL (strstr (direct.text, "\"process\":\"b\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (forwarded.text, "\"process\":\"g\""));
  CU_ASSERT_TRUE (missing.missing);
  g_free (direct.text);
  g_free (forwarded.text);
  g_free (missing.text);
  world_finish (world);
  g_free (world);
}

/* A request that times out, one whose session closes, and a cancelled one,
   whose callback is never called.  Many requests in a row, which must leave
   nothing allocated.  */
static void
test_ends (void)
{
  world_t *world = g_new0 (world_t, 1);
  outcome_t late = { 0 };
  outcome_t cancelled = { 0 };
  outcome_t lost = { 0 };
  outcome_t many = { 0 };

  world_init (world);
  for (int i = 0; i < 100; i++)
    {
      request_view (&world->a, "b", "", TIMEOUT, &many);
      run_until_count (&world->loop, &many.calls, i + 1);
      g_free (many.text);
    }
  world->b.silent = true;
  gp_view_cancel (request_view (&world->a, "b", "", SHORT, &cancelled));
  request_view (&world->a, "b", "", SHORT, &late);
  request_view (&world->a, "b", "", TIMEOUT, &lost);
  run_until_count (&world->loop, &late.calls, 1);
  CU_ASSERT_EQUAL (late.result, GP_VIEW_TIMED_OUT);
  CU_ASSERT_EQUAL (lost.calls, 0);
  gp_session_host_close (&world->b.host);
  run_until_count (&world->loop, &lost.calls, 1);
  CU_ASSERT_EQUAL (lost.result, GP_VIEW_DISCONNECTED);
  CU_ASSERT_EQUAL (cancelled.calls, 0);
  world_finish (world);
  g_free (world);
}

/* The requesting entry disconnects while its request is being forwarded.  */
static void
test_requester_gone (void)
{
  world_t *world = g_new0 (world_t, 1);
  outcome_t outcome = { 0 };
  bool gone;

  world_init (world);
  world->g.silent = true;
  request_view (&world->a, "b", "g", TIMEOUT, &outcome);
  while (gp_list_empty (&world->b.views.forwards))
    run_loop_iterations (&world->loop, 1);
  gp_session_host_close (&world->a.host);
  run_until_count (&world->loop, &outcome.calls, 1);
  CU_ASSERT_EQUAL (outcome.result, GP_VIEW_DISCONNECTED);
  for (int i = 0; i < 1000 && world->b.ready > 1; i++)
    run_loop_iterations (&world->loop, 1);
  gone = gp_list_empty (&world->b.views.forwards);
  CU_ASSERT_TRUE (gone);
  world_finish (world);
  g_free (world);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "forward", test_forward },
                          { "ends", test_ends },
                          { "asker gone", test_requester_gone },
                          CU_TEST_INFO_NULL };

  return runner_main ("views", tests);
}

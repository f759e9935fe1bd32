/* What the guard tells of a run whose first start went unanswered and that
   began with a later one, when its executor crashes.

   Guards against starting a task that crashes its executors six times or more:
   its run was told as one that had begun earlier, as its first start was old,
   and did not count.  */

#include <stdio.h>

#include "agent_messages.h"
#include "jobs/agent_private.h"
#include "runner.h"

#define TASK "00000000000000aa.0.0.0"
#define OTHER "00000000000000bb.0.0.0"

/* All times are relative to this one, at which the first start is sent.  */
#define FIRST_SENT (10 * GP_SEC)
#define TAKEN_AT (FIRST_SENT + 805 * GP_MSEC)

static void
order_start (gp_agent_t *agent, const char *task)
{
  Gp__Jobs__Orders orders = GP__JOBS__ORDERS__INIT;
  Gp__Jobs__Start *start = agent_start_new (task, 1);

  orders.executor = agent->executor->id;
  orders.starts = &start;
  orders.n_starts = 1;
  gp_agent_order (agent, &orders);
}

/* Returns the executor's clock at NOW.  */
static int64_t
clock_ms (gp_time_t now)
{
  return 5000 + (now - FIRST_SENT) / GP_MSEC;
}

/* The next start is sent at SENT_AT and has RESULT at NOW.  */
static void
start (gp_agent_t *agent, gp_agent_result_t result, gp_time_t sent_at,
       gp_time_t now)
{
  gp_time_t again;
  gp_agent_call_t next = gp_agent_next_call (agent, sent_at, &again);
  char name[GP_TASK_NAME_SIZE];

  CU_ASSERT_EQUAL_FATAL (next.kind, GP_AGENT_CALL_START);
  g_strlcpy (name, next.run->name, sizeof name);
  gp_agent_answered (agent, next.kind, name, 1, 0, result,
                     gp_agent_is_unanswered (result) ? -1 : clock_ms (now),
                     now);
}

/* A list that was requested at SENT_AT shows TASK (SHOWN) or nothing.  */
static void
list (gp_agent_t *agent, bool shown, gp_time_t sent_at, gp_time_t now)
{
  const gp_agent_row_t row = { TASK, 1, 100 };

  gp_agent_listed (agent,
                   &(gp_agent_list_t){ .runs = &row,
                                       .run_count = shown,
                                       .clock_ms = clock_ms (now),
                                       .sent_at = sent_at,
                                       .complete = true },
                   now);
}

/* Sets up a guard that has sent the start of TASK twice, 0 and 400 ms after
   FIRST_SENT, without an answer.  Its last list was requested 250 ms and
   answered 500 ms after it.  */
static void
begin (gp_agent_t *agent)
{
  gp_agent_init (agent, 0, FIRST_SENT);
  agent_add_spec (agent, TASK, FIRST_SENT);
  agent_add_spec (agent, OTHER, FIRST_SENT);
  gp_agent_set_executor (agent, agent_executor_new ("x1"), 5000, FIRST_SENT);
  gp_agent_fence_listed (agent, agent->fence);
  list (agent, false, FIRST_SENT, FIRST_SENT);
  gp_agent_reported (agent, FIRST_SENT);
  gp_agent_acknowledged (agent, FIRST_SENT, 0, FIRST_SENT);
  agent_sync_with (agent, TASK, 1, 0);
  start (agent, GP_AGENT_UNANSWERED, FIRST_SENT, FIRST_SENT + 300 * GP_MSEC);
  list (agent, false, FIRST_SENT + 250 * GP_MSEC, FIRST_SENT + 500 * GP_MSEC);
  start (agent, GP_AGENT_UNANSWERED, FIRST_SENT + 400 * GP_MSEC,
         FIRST_SENT + 700 * GP_MSEC);
}

/* Prints what is told of the runs when a call fails with RESULT at NOW.  */
static void
crash (gp_agent_t *agent, const char *what, gp_agent_result_t result,
       gp_time_t now)
{
  static const char *const names[] = { TASK, OTHER };

  gp_agent_list_failed (agent, result, -1, now);
  printf ("  %s:\n", what);
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      const gp_agent_run_t *run = gp_agent_find_run (agent, names[i], 1);
      Gp__Jobs__TaskRun row = GP__JOBS__TASK_RUN__INIT;

      if (run == NULL)
        continue;
      gp_agent_describe_suspect (agent, run, &row);
      printf ("    %s%s%s%s, %u to %u ms old\n", i == 0 ? "it" : "the other",
              row.fresh ? " fresh" : "", row.just ? " just" : "",
              row.unanswered ? " unknown when" : "", row.age_ms,
              row.max_age_ms);
    }
  gp_agent_finish (agent);
}

static void
test_taken (void)
{
  gp_agent_t agent;

  printf ("the third start is taken, and the connection ends\n");
  begin (&agent);
  order_start (&agent, OTHER);
  start (&agent, GP_AGENT_ACCEPTED, TAKEN_AT - 10 * GP_MSEC, TAKEN_AT);
  start (&agent, GP_AGENT_ACCEPTED, TAKEN_AT - 5 * GP_MSEC, TAKEN_AT);
  crash (&agent, "10 ms later, another run had begun as well",
         GP_AGENT_DISCONNECTED, TAKEN_AT + 10 * GP_MSEC);
  begin (&agent);
  start (&agent, GP_AGENT_ACCEPTED, TAKEN_AT - 5 * GP_MSEC, TAKEN_AT);
  crash (&agent, "10 ms later, nothing else had begun", GP_AGENT_DISCONNECTED,
         TAKEN_AT + 10 * GP_MSEC);
  begin (&agent);
  start (&agent, GP_AGENT_ACCEPTED, TAKEN_AT - 5 * GP_MSEC, TAKEN_AT);
  crash (&agent, "150 ms later", GP_AGENT_DISCONNECTED,
         TAKEN_AT + 150 * GP_MSEC);
}

static void
test_listed (void)
{
  gp_agent_t agent;

  printf ("a list shows it, and calls go unanswered\n");
  begin (&agent);
  list (&agent, true, FIRST_SENT + 500 * GP_MSEC, TAKEN_AT);
  crash (&agent, "the last list", GP_AGENT_UNANSWERED,
         TAKEN_AT + 300 * GP_MSEC);
  begin (&agent);
  list (&agent, true, FIRST_SENT + 500 * GP_MSEC, TAKEN_AT);
  list (&agent, true, TAKEN_AT, TAKEN_AT + 500 * GP_MSEC);
  crash (&agent, "that list and one half a second later", GP_AGENT_UNANSWERED,
         TAKEN_AT + 800 * GP_MSEC);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "taken", test_taken },
                                 { "listed", test_listed },
                                 CU_TEST_INFO_NULL };

  return runner_main ("repeated starts", tests);
}

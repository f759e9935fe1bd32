/* Tests of isolated starts at a guard, and of starts of other runs on the same
   executor.

   Guards against starting a crashing task six times and more: the leader
   isolates its starts, but the failures are inconclusive if an earlier,
   unanswered start of another job may be carried out at any time.  */

#include <stdio.h>
#include <string.h>

#include "agent_messages.h"
#include "jobs/agent_private.h"
#include "jobs/suspicion.h"
#include "runner.h"

#define SUSPECT "00000000000000aa.0.0.0"
#define SIBLING "00000000000000aa.0.0.1"
#define OTHER "00000000000000bb.0.0.0"

typedef struct
{
  gp_agent_t agent;
  gp_time_t now;
} guard_t;

/* The leader orders a start of TASK, isolated if ALONE.  */
static void
order (guard_t *guard, const char *task, bool alone)
{
  Gp__Jobs__Start *start = agent_start_new (task, 1);
  Gp__Jobs__Orders orders = GP__JOBS__ORDERS__INIT;

  start->alone = alone;
  orders.executor = guard->agent.executor->id;
  orders.starts = &start;
  orders.n_starts = 1;
  gp_agent_order (&guard->agent, &orders);
  agent_add_spec (&guard->agent, task, guard->now);
}

static void
begin (guard_t *guard)
{
  guard->now = 10 * GP_SEC;
  gp_agent_init (&guard->agent, 0, guard->now);
  gp_agent_raise_fence_to (&guard->agent, 100);
  gp_agent_set_executor (&guard->agent, agent_executor_new ("x1"), 5000,
                         guard->now);
  gp_agent_reported (&guard->agent, guard->now);
  gp_agent_acknowledged (&guard->agent, guard->now, 0, guard->now);
  agent_sync_with (&guard->agent, OTHER, 0, 0);
}

/* The executor's list, requested with the current fence, arrives 20 ms later
   and shows RUNNING and ANOTHER (NULL: nothing).  */
static void
list (guard_t *guard, const char *running, const char *another)
{
  gp_agent_row_t rows[] = { { running, 1, 100 }, { another, 1, 100 } };
  int64_t fence = guard->agent.fence;
  gp_time_t requested_at = guard->now;
  size_t count = (running != NULL) + (another != NULL);

  guard->now += 20 * GP_MSEC;
  gp_agent_fence_listed (&guard->agent, fence);
  gp_agent_listed (&guard->agent,
                   &(gp_agent_list_t){ .runs = rows,
                                       .run_count = count,
                                       .clock_ms = guard->now / GP_MSEC,
                                       .sent_at = requested_at,
                                       .complete = true },
                   guard->now);
}

static const char *
short_name (const char *task)
{
  if (strcmp (task, SUSPECT) == 0)
    return "suspect";
  return strcmp (task, SIBLING) == 0 ? "sibling" : "other";
}

/* Makes and prints all calls that are due, each with the outcome RESULT.  */
static void
call (guard_t *guard, gp_agent_result_t result)
{
  gp_time_t again_at;
  gp_agent_call_t next;

  printf ("  calls:");
  while (
      (next = gp_agent_next_call (&guard->agent, guard->now, &again_at)).kind
      != GP_AGENT_CALL_NONE)
    {
      char name[GP_TASK_NAME_SIZE];

      g_strlcpy (name, next.run->name, sizeof name);
      printf (" %s %s,", next.kind == GP_AGENT_CALL_START ? "start" : "stop",
              short_name (name));
      gp_agent_answered (
          &guard->agent, next.kind, name, 1, 0, result,
          result == GP_AGENT_ACCEPTED ? guard->now / GP_MSEC : -1, guard->now);
    }
  printf (" fence %ld", (long)guard->agent.fence);
  if (again_at != GP_TIME_NEVER)
    printf (", again in %ld ms", (long)((again_at - guard->now) / GP_MSEC));
  printf ("\n");
}

static void
show_suspect (const guard_t *guard, const char *task)
{
  const gp_agent_run_t *run = gp_agent_find_run (&guard->agent, task, 1);
  Gp__Jobs__TaskRun row = GP__JOBS__TASK_RUN__INIT;

  printf ("  %s: ", short_name (task));
  if (run == NULL || !gp_agent_is_suspect (&guard->agent, run))
    {
      printf ("can't have done it\n");
      return;
    }
  gp_agent_describe_suspect (&guard->agent, run, &row);
  printf ("%s%s%s\n", row.just ? "had just begun" : "",
          row.unanswered ? "may have begun" : "", row.alone ? ", alone" : "");
}

/* A start of OTHER goes unanswered, and SUSPECT is ordered after it.  */
static void
leave_unanswered (guard_t *guard)
{
  begin (guard);
  list (guard, NULL, NULL);
  order (guard, OTHER, false);
  call (guard, GP_AGENT_UNANSWERED);
  order (guard, SUSPECT, true);
  guard->now += 150 * GP_MSEC;
  call (guard, GP_AGENT_ACCEPTED);
}

/* Guards against a fault that soak runs and the scripts of late orders
   found.  */
static void
test_unanswered_beside (void)
{
  guard_t guard;

  printf ("a start that was not answered is void before a suspect begins\n");
  leave_unanswered (&guard);
  list (&guard, NULL, NULL);
  call (&guard, GP_AGENT_ACCEPTED);
  guard.now += 10 * GP_MSEC;
  gp_agent_list_failed (&guard.agent, GP_AGENT_DISCONNECTED, -1, guard.now);
  show_suspect (&guard, SUSPECT);
  show_suspect (&guard, OTHER);
  gp_agent_finish (&guard.agent);
  printf ("it was carried out before: the suspect waits until it has begun\n");
  leave_unanswered (&guard);
  list (&guard, OTHER, NULL);
  call (&guard, GP_AGENT_ACCEPTED);
  guard.now += GP_SUSPICION_START_WINDOW;
  call (&guard, GP_AGENT_ACCEPTED);
  gp_agent_finish (&guard.agent);
}

static void
test_others_wait (void)
{
  guard_t guard;

  printf ("others wait until it has settled, those of its job do not\n");
  begin (&guard);
  list (&guard, NULL, NULL);
  order (&guard, SUSPECT, true);
  order (&guard, SIBLING, false);
  order (&guard, OTHER, false);
  call (&guard, GP_AGENT_ACCEPTED);
  list (&guard, SUSPECT, SIBLING);
  printf ("  keeps alone: %d\n", gp_agent_has_isolated_run (&guard.agent));
  guard.now += GP_SUSPICION_SETTLE_TIME;
  call (&guard, GP_AGENT_ACCEPTED);
  list (&guard, SUSPECT, SIBLING);
  call (&guard, GP_AGENT_ACCEPTED);
  printf ("  keeps alone: %d\n", gp_agent_has_isolated_run (&guard.agent));
  gp_agent_finish (&guard.agent);
}

static void
test_first_list (void)
{
  guard_t guard;

  printf ("a guard that has just begun knows nothing before the first list\n");
  begin (&guard);
  order (&guard, SUSPECT, true);
  call (&guard, GP_AGENT_ACCEPTED);
  list (&guard, NULL, NULL);
  call (&guard, GP_AGENT_ACCEPTED);
  gp_agent_finish (&guard.agent);
}

/* The suspect's own start goes unanswered: each one is invalidated before the
   next is made.  */
static void
test_unanswered (void)
{
  guard_t guard;

  printf ("a suspect's own start is not answered: void before the next one\n");
  begin (&guard);
  list (&guard, NULL, NULL);
  order (&guard, SUSPECT, true);
  order (&guard, OTHER, false);
  for (int i = 0; i < 3; i++)
    {
      call (&guard, GP_AGENT_UNANSWERED);
      guard.now += 150 * GP_MSEC;
      call (&guard, GP_AGENT_UNANSWERED);
      list (&guard, NULL, NULL);
    }
  printf ("it can't be begun: the leader gets it back, others go on\n");
  guard.now += GP_SUSPICION_DEDICATE_TIME;
  list (&guard, NULL, NULL);
  call (&guard, GP_AGENT_ACCEPTED);
  list (&guard, NULL, NULL);
  call (&guard, GP_AGENT_ACCEPTED);
  gp_agent_finish (&guard.agent);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "unanswered_beside", test_unanswered_beside },
          { "others_wait", test_others_wait },
          { "first_list", test_first_list },
          { "unanswered", test_unanswered },
          CU_TEST_INFO_NULL };

  return runner_main ("alone", tests);
}

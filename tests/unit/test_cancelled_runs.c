/* Tests that runs of cancelled jobs end, and wanted ones do not: the guard's
   agent against an executor that refuses orders, leaves them unanswered or
   carries them out late.  */

#include <glib.h>
#include <string.h>

#include "agent_messages.h"
#include "fake_executor.h"
#include "jobs/agent_private.h"
#include "runner.h"

#define TASK "00000000000000aa.0.0.0"
#define EXECUTOR "x1"

/* The guard asks for the next list this long after it has received one.  */
#define LIST_INTERVAL (250 * GP_MSEC)
/* By then a run is gone whose stop the executor takes, with the time to notice
   that a first one had no effect.  */
#define GONE_TIME (3 * GP_SEC)

typedef struct
{
  gp_agent_t agent;
  fake_executor_t fake;
  gp_time_t now;
  unsigned stops; /* number of stops sent */
} guard_t;

static void
begin_process (guard_t *guard, int64_t fence)
{
  gp_agent_init (&guard->agent, 0, guard->now);
  gp_agent_raise_fence_to (&guard->agent, fence);
  gp_agent_set_executor (&guard->agent, agent_executor_new (EXECUTOR),
                         fake_executor_clock (&guard->fake, guard->now),
                         guard->now);
  agent_add_spec (&guard->agent, TASK, guard->now);
  gp_agent_reported (&guard->agent, guard->now);
}

static void
begin (guard_t *guard)
{
  memset (guard, 0, sizeof *guard);
  guard->now = 10 * GP_SEC;
  fake_executor_init (&guard->fake);
  guard->fake.work_time = 3600 * GP_SEC;
  begin_process (guard, 100);
}

static void
finish (guard_t *guard)
{
  gp_agent_finish (&guard->agent);
  fake_executor_finish (&guard->fake);
}

static void
restart (guard_t *guard)
{
  gp_agent_finish (&guard->agent);
  begin_process (guard, 200);
}

static gp_agent_result_t
carry_out (guard_t *guard, const gp_agent_call_t *call)
{
  switch (call->kind)
    {
    case GP_AGENT_CALL_START:
      return fake_executor_start (&guard->fake, call->run->name,
                                  call->run->run, call->lease_ms,
                                  guard->agent.fence, guard->now);
    case GP_AGENT_CALL_STOP:
      guard->stops++;
      return fake_executor_stop (&guard->fake, call->run->name, call->run->run,
                                 guard->agent.fence, guard->now);
    case GP_AGENT_CALL_PACE:
    case GP_AGENT_CALL_NONE:
      break;
    }
  return GP_AGENT_ACCEPTED;
}

/* Makes all calls that are due; each is carried out and answered at once.  */
static void
make_calls (guard_t *guard)
{
  gp_agent_call_t call;
  gp_time_t again_at;

  gp_agent_acknowledged (&guard->agent, guard->now, 0, guard->now);
  while (
      (call = gp_agent_next_call (&guard->agent, guard->now, &again_at)).kind
      != GP_AGENT_CALL_NONE)
    {
      gp_agent_result_t result = carry_out (guard, &call);
      g_autofree char *name = g_strdup (call.run->name);

      gp_agent_answered (
          &guard->agent, call.kind, name, call.run->run, 0, result,
          fake_executor_clock (&guard->fake, guard->now), guard->now);
    }
}

static void
list (guard_t *guard)
{
  gp_time_t sent_at = guard->now;
  int64_t lease_ms = gp_agent_list_lease (&guard->agent, guard->now);

  guard->now += GP_MSEC;
  fake_executor_renew (&guard->fake, 0, lease_ms, guard->agent.fence,
                       guard->now);
  gp_agent_fence_listed (&guard->agent, guard->agent.fence);
  fake_executor_list (&guard->fake, &guard->agent, sent_at, guard->now);
}

static void
go_on (guard_t *guard, gp_time_t time)
{
  gp_time_t until = guard->now + time;

  while (guard->now < until)
    {
      make_calls (guard);
      list (guard);
      make_calls (guard);
      guard->now += LIST_INTERVAL;
    }
}

/* The leader wants TASK, or not.  */
static void
sync_task (guard_t *guard, bool wanted)
{
  agent_sync_with (&guard->agent, TASK, wanted, guard->now);
}

/* The leader does not want TASK's run, and knows neither an end of it nor that
   it is absent.  */
static void
sync_unresolved (guard_t *guard)
{
  Gp__Jobs__Sync sync = GP__JOBS__SYNC__INIT;
  Gp__Jobs__TaskRun stop = GP__JOBS__TASK_RUN__INIT;
  Gp__Jobs__TaskRun *stops[] = { &stop };

  stop.task = TASK;
  stop.run = 1;
  sync.number = guard->agent.synced + 1;
  sync.executor = EXECUTOR;
  sync.after = guard->now;
  sync.stops = stops;
  sync.n_stops = 1;
  gp_agent_sync (&guard->agent, &sync);
}

static void
order_stop (guard_t *guard)
{
  Gp__Jobs__Orders orders = GP__JOBS__ORDERS__INIT;
  Gp__Jobs__TaskRun stop = GP__JOBS__TASK_RUN__INIT;
  Gp__Jobs__TaskRun *stops[] = { &stop };

  stop.task = TASK;
  stop.run = 1;
  orders.executor = EXECUTOR;
  orders.stops = stops;
  orders.n_stops = 1;
  gp_agent_order (&guard->agent, &orders);
}

static gp_run_phase_t
phase (const guard_t *guard)
{
  const gp_agent_run_t *run = gp_agent_find_run (&guard->agent, TASK, 1);

  CU_ASSERT_PTR_NOT_NULL (run);
  return run != NULL ? run->phase : GP_RUN_STARTING;
}

static bool
runs (const guard_t *guard)
{
  return fake_executor_runs (&guard->fake, TASK, 1);
}

static void
check_gone (guard_t *guard)
{
  unsigned stops;

  go_on (guard, GONE_TIME);
  CU_ASSERT_FALSE (runs (guard));
  stops = guard->stops;
  go_on (guard, GONE_TIME);
  CU_ASSERT_EQUAL (guard->stops, stops);
}

/* The executor refuses the stop of a run that it has begun and that no list
   has shown yet.  */
static void
test_stop_refused_before_list (void)
{
  guard_t guard;

  begin (&guard);
  sync_task (&guard, true);
  make_calls (&guard);
  CU_ASSERT (runs (&guard));
  order_stop (&guard);
  guard.fake.refuses = true;
  make_calls (&guard);
  go_on (&guard, GP_SEC);
  guard.fake.refuses = false;
  check_gone (&guard);
  finish (&guard);
}

/* The same if only the guard process before knew that the run had begun.  */
static void
test_stop_refused_in_new_process (void)
{
  guard_t guard;

  begin (&guard);
  sync_task (&guard, true);
  go_on (&guard, GP_SEC);
  restart (&guard);
  guard.fake.refuses = true;
  sync_task (&guard, true);
  make_calls (&guard);
  go_on (&guard, GP_SEC);
  order_stop (&guard);
  go_on (&guard, GP_SEC);
  CU_ASSERT (runs (&guard));
  guard.fake.refuses = false;
  check_gone (&guard);
  finish (&guard);
}

/* A stop that was ordered of a new guard process before its first list.  */
static void
test_unknown_run_stop_refused (void)
{
  guard_t guard;

  begin (&guard);
  sync_task (&guard, true);
  go_on (&guard, GP_SEC);
  restart (&guard);
  guard.fake.refuses = true;
  sync_task (&guard, false);
  order_stop (&guard);
  make_calls (&guard);
  go_on (&guard, GP_SEC);
  guard.fake.refuses = false;
  check_gone (&guard);
  finish (&guard);
}

static void
test_stop_without_effect (void)
{
  guard_t guard;

  begin (&guard);
  sync_task (&guard, true);
  go_on (&guard, GP_SEC);
  guard.fake.ignores_stops = true;
  order_stop (&guard);
  go_on (&guard, GP_SEC / 2);
  CU_ASSERT_EQUAL (guard.stops, 1);
  guard.fake.ignores_stops = false;
  check_gone (&guard);
  CU_ASSERT_EQUAL (guard.stops, 2);
  finish (&guard);
}

/* A run begins after it was found absent.  */
static void
test_begins_when_absent (void)
{
  guard_t guard;

  begin (&guard);
  guard.fake.refuses = true;
  sync_task (&guard, true);
  go_on (&guard, GP_SEC);
  CU_ASSERT_EQUAL (phase (&guard), GP_RUN_ABSENT);
  guard.fake.refuses = false;
  CU_ASSERT_EQUAL (fake_executor_start (&guard.fake, TASK, 1, INT64_MAX / 2,
                                        guard.agent.fence, guard.now),
                   GP_AGENT_ACCEPTED);
  check_gone (&guard);
  finish (&guard);
}

/* An executor that refuses everything gets no more than one stop of a run that
   has not begun.  */
static void
test_refused_start_is_returned (void)
{
  guard_t guard;

  begin (&guard);
  list (&guard);
  guard.fake.refuses = true;
  sync_task (&guard, true);
  go_on (&guard, GP_SEC);
  CU_ASSERT_EQUAL (phase (&guard), GP_RUN_ABSENT);
  CU_ASSERT_EQUAL (guard.stops, 1);
  finish (&guard);
}

/* A run that is wanted goes on though the executor refuses the start that the
   next guard process repeats.  */
static void
check_goes_on (bool listed_before)
{
  guard_t guard;

  begin (&guard);
  sync_task (&guard, true);
  go_on (&guard, GP_SEC);
  restart (&guard);
  if (listed_before)
    list (&guard);
  sync_task (&guard, true);
  guard.fake.refuses_starts = true;
  go_on (&guard, GP_SEC);
  guard.fake.refuses_starts = false;
  go_on (&guard, GONE_TIME);
  CU_ASSERT (runs (&guard));
  CU_ASSERT_EQUAL (phase (&guard), GP_RUN_STARTED);
  CU_ASSERT_EQUAL (guard.stops, 0);
  order_stop (&guard);
  check_gone (&guard);
  finish (&guard);
}

static void
test_wanted_run_goes_on (void)
{
  check_goes_on (false);
  check_goes_on (true);
}

/* The same if the executor refuses everything for a while.  */
static void
test_wanted_run_goes_on_when_healthy (void)
{
  guard_t guard;

  begin (&guard);
  sync_task (&guard, true);
  go_on (&guard, GP_SEC);
  restart (&guard);
  sync_task (&guard, true);
  guard.fake.refuses = true;
  go_on (&guard, GP_SEC);
  guard.fake.refuses = false;
  go_on (&guard, GONE_TIME);
  CU_ASSERT (runs (&guard));
  CU_ASSERT_EQUAL (phase (&guard), GP_RUN_STARTED);
  finish (&guard);
}

/* Guards against resources that stay reserved: the executor lists the run
   neither as active nor as ended, and only a guard process that has ended knew
   of its start.  */
static void
test_unresolved_run_is_reported (void)
{
  guard_t guard;

  begin (&guard);
  sync_unresolved (&guard);
  go_on (&guard, GP_SEC);
  CU_ASSERT_EQUAL (phase (&guard), GP_RUN_ABSENT);
  CU_ASSERT_EQUAL (guard.stops, 1);
  finish (&guard);
}

/* The same if the report of the absence was lost with its connection.  */
static void
test_lost_report_is_repeated (void)
{
  guard_t guard;

  begin (&guard);
  list (&guard);
  guard.fake.refuses = true;
  sync_task (&guard, true);
  go_on (&guard, GP_SEC);
  CU_ASSERT_EQUAL (phase (&guard), GP_RUN_ABSENT);
  sync_unresolved (&guard);
  CU_ASSERT_EQUAL (phase (&guard), GP_RUN_ABSENT);
  sync_task (&guard, false);
  CU_ASSERT_PTR_NULL (gp_agent_find_run (&guard.agent, TASK, 1));
  finish (&guard);
}

/* The run is active, or its end was listed: it ends once.  */
static void
test_unresolved_run_ends (void)
{
  guard_t guard;

  begin (&guard);
  sync_task (&guard, true);
  go_on (&guard, GP_SEC);
  restart (&guard);
  sync_unresolved (&guard);
  go_on (&guard, GONE_TIME);
  CU_ASSERT_FALSE (runs (&guard));
  CU_ASSERT (gp_agent_run_has_ended (&guard.agent, TASK, 1));
  sync_unresolved (&guard);
  CU_ASSERT_PTR_NULL (gp_agent_find_run (&guard.agent, TASK, 1));
  finish (&guard);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "stop_refused_before_list", test_stop_refused_before_list },
          { "stop_refused_in_new_process", test_stop_refused_in_new_process },
          { "unknown_run_stop_refused", test_unknown_run_stop_refused },
          { "stop_without_effect", test_stop_without_effect },
          { "begins_when_absent", test_begins_when_absent },
          { "refused_start_is_returned", test_refused_start_is_returned },
          { "wanted_run_goes_on", test_wanted_run_goes_on },
          { "wanted_run_goes_on_when_healthy",
            test_wanted_run_goes_on_when_healthy },
          { "unresolved_run_is_reported", test_unresolved_run_is_reported },
          { "lost_report_is_repeated", test_lost_report_is_repeated },
          { "unresolved_run_ends", test_unresolved_run_ends },
          CU_TEST_INFO_NULL };

  return runner_main ("cancelled runs", tests);
}

/* Tests of the runner: a real guard between a fake entry and a fake runtime.

   Every step waits for its expected effect.  That something does not happen is
   checked after a later event on the same connection.  */

#include "daemon/runner_private.h"
#include "runner.h"
#include "task_site.h"

#include <signal.h>

#define STATE(name) GP__WIRE__TASK_STATE__TASK_STATE_##name
#define REASON(name) GP__WIRE__REASON__REASON_##name
#define MODE(name) GP__WIRE__STOP_MODE__STOP_MODE_##name

static task_site_t site;
static uint64_t old_lease;

static void
setup (void)
{
  task_site_init (&site);
  CU_ASSERT_TRUE (task_site_ready (&site));
  old_lease = site.lease;
}

static void
teardown (void)
{
  CU_ASSERT_EQUAL (site.runtime.refused, 0);
  task_site_finish (&site);
}

static bool
has_new_lease (const task_site_t *s)
{
  return s->lease > old_lease && s->capacity > 0
         && s->runtime.holder == s->lease && s->free > 0;
}

static bool
has_no_tasks (const task_site_t *s)
{
  return json_object_size (s->runtime.tasks) == 0;
}

/* Run one task to its end, to check that the guard works normally.  */
static void
run_to_end (uint64_t task)
{
  task_site_start (&site, task, 1, site.lease, 1);
  CU_ASSERT_PTR_NOT_NULL (
      task_site_await (&site, task, 1, STATE (RUNNING), 1));
  fake_runtime_set_state (&site.runtime, task, "succeeded", "", "");
  CU_ASSERT_PTR_NOT_NULL (
      task_site_await (&site, task, 1, STATE (SUCCEEDED), 1));
}

/* An end is resent until it is acknowledged; then the task is removed from the
   runtime.  */
static void
test_end (void)
{
  const received_report_t *report;

  setup ();
  CU_ASSERT_EQUAL (site.capacity, 4000);
  CU_ASSERT_EQUAL (site.boot, site.runtime.boot);
  CU_ASSERT_EQUAL (site.inventory->len, 0);
  site.acks = false;
  task_site_start (&site, 7, 1, site.lease, 1000);
  CU_ASSERT_PTR_NOT_NULL (task_site_await (&site, 7, 1, STATE (RUNNING), 1));
  fake_runtime_set_state (&site.runtime, 7, "checkpointed", "", "half");
  report = task_site_await (&site, 7, 1, STATE (CHECKPOINTED), 2);
  CU_ASSERT_STRING_EQUAL (report->text, "/half");
  fake_runtime_set_state (&site.runtime, 7, "succeeded", "good", "half");
  report = task_site_await (&site, 7, 1, STATE (SUCCEEDED), 3);
  CU_ASSERT_STRING_EQUAL (report->text, "good/half");
  CU_ASSERT_STRING_EQUAL (fake_runtime_state (&site.runtime, 7), "succeeded");
  task_site_ack (&site, report);
  CU_ASSERT_TRUE (task_site_until (&site, has_no_tasks));
  CU_ASSERT_EQUAL (site.runtime.forgotten, 1);
  teardown ();
}

/* The acknowledgement of an older checkpoint does not acknowledge the newest
   one, which is resent.  */
static void
test_checkpoint_ack (void)
{
  const received_report_t *report;
  received_report_t older;

  setup ();
  site.acks = false;
  task_site_start (&site, 7, 1, site.lease, 1000);
  task_site_await (&site, 7, 1, STATE (RUNNING), 1);
  fake_runtime_set_state (&site.runtime, 7, "checkpointed", "", "one");
  older = *task_site_await (&site, 7, 1, STATE (CHECKPOINTED), 1);
  fake_runtime_set_state (&site.runtime, 7, "checkpointed", "", "two");
  do
    report = task_site_await (
        &site, 7, 1, STATE (CHECKPOINTED),
        task_site_count (&site, 7, 1, STATE (CHECKPOINTED)) + 1);
  while (report->number == older.number);
  task_site_ack (&site, &older);
  run_to_end (8);
  report = task_site_await (&site, 7, 1, STATE (CHECKPOINTED),
                            task_site_count (&site, 7, 1, STATE (CHECKPOINTED))
                                + 1);
  CU_ASSERT_STRING_EQUAL (report->text, "/two");
  teardown ();
}

static void
test_duplicate (void)
{
  setup ();
  task_site_start (&site, 7, 1, site.lease, 1000);
  task_site_start (&site, 7, 1, site.lease, 1000);
  CU_ASSERT_PTR_NOT_NULL (task_site_await (&site, 7, 1, STATE (RUNNING), 2));
  CU_ASSERT_EQUAL (site.runtime.starts, 1);
  fake_runtime_set_state (&site.runtime, 7, "failed", "", "");
  task_site_await (&site, 7, 1, STATE (FAILED), 1);
  CU_ASSERT_TRUE (task_site_until (&site, has_no_tasks));
  /* A duplicate that arrives after the end was acknowledged is neither started
     nor refused.  */
  task_site_start (&site, 7, 1, site.lease, 1000);
  run_to_end (8);
  CU_ASSERT_EQUAL (site.runtime.starts, 2);
  CU_ASSERT_EQUAL (task_site_count (&site, 7, 1, STATE (REFUSED)), 0);
  teardown ();
}

static void
test_stale (void)
{
  setup ();
  task_site_start (&site, 7, 1, site.lease - 1, 1000);
  run_to_end (8);
  CU_ASSERT_EQUAL (site.runtime.starts, 1);
  CU_ASSERT_EQUAL (task_site_count (&site, 7, 1, STATE (REFUSED)), 0);
  teardown ();
}

/* Of 5,000 millicores, 4,000 are for tasks; an ended task releases its
   share.  */
static void
test_capacity (void)
{
  const received_report_t *report;

  setup ();
  task_site_start (&site, 1, 1, site.lease, 3000);
  task_site_start (&site, 2, 1, site.lease, 1500);
  report = task_site_await (&site, 2, 1, STATE (REFUSED), 1);
  CU_ASSERT_EQUAL (report->reason, REASON (CAPACITY));
  CU_ASSERT_EQUAL (report->free_millicores, 1000);
  task_site_start (&site, 3, 1, site.lease, 1000);
  CU_ASSERT_PTR_NOT_NULL (task_site_await (&site, 3, 1, STATE (RUNNING), 1));
  fake_runtime_set_state (&site.runtime, 1, "succeeded", "", "");
  task_site_await (&site, 1, 1, STATE (SUCCEEDED), 1);
  task_site_start (&site, 2, 2, site.lease, 1500);
  CU_ASSERT_PTR_NOT_NULL (task_site_await (&site, 2, 2, STATE (RUNNING), 1));
  teardown ();
}

/* The answer to a start call is lost: the call is repeated, and the task is
   started once.  */
static void
test_start_unanswered (void)
{
  setup ();
  site.runtime.unanswered_starts = 1;
  task_site_start (&site, 7, 1, site.lease, 1000);
  CU_ASSERT_PTR_NOT_NULL (task_site_await (&site, 7, 1, STATE (RUNNING), 1));
  CU_ASSERT_EQUAL (site.runtime.starts, 1);
  CU_ASSERT_EQUAL (task_site_count (&site, 7, 1, STATE (REFUSED)), 0);
  teardown ();
}

static void
test_start_turned_down (void)
{
  const received_report_t *report;

  setup ();
  site.runtime.refuse_start = 500;
  task_site_start (&site, 7, 1, site.lease, 1000);
  report = task_site_await (&site, 7, 1, STATE (REFUSED), 1);
  CU_ASSERT_EQUAL (report->reason, REASON (UPSTREAM));
  site.runtime.refuse_start = 0;
  /* The refused task has released its capacity for the next epoch.  */
  task_site_start (&site, 7, 2, site.lease, 4000);
  CU_ASSERT_PTR_NOT_NULL (task_site_await (&site, 7, 2, STATE (RUNNING), 1));
  teardown ();
}

/* The end of an epoch is in the log, but the guard has not received the
   acknowledgement: a Start of the next epoch implies it.  */
static void
test_next_epoch (void)
{
  setup ();
  site.acks = false;
  task_site_start (&site, 7, 1, site.lease, 1000);
  task_site_await (&site, 7, 1, STATE (RUNNING), 1);
  fake_runtime_set_state (&site.runtime, 7, "stopped", "", "");
  task_site_await (&site, 7, 1, STATE (STOPPED), 1);
  task_site_start (&site, 7, 2, site.lease, 1000);
  CU_ASSERT_PTR_NOT_NULL (task_site_await (&site, 7, 2, STATE (RUNNING), 1));
  CU_ASSERT_STRING_EQUAL (fake_runtime_state (&site.runtime, 7), "running");
  CU_ASSERT_PTR_NULL (gp_runner_find_task (site.guard.runner, 7, 1));
  teardown ();
}

static void
test_stop (void)
{
  const received_report_t *report;

  setup ();
  task_site_start (&site, 7, 1, site.lease, 1000);
  task_site_await (&site, 7, 1, STATE (RUNNING), 1);
  task_site_stop (&site, 7, 1, MODE (THROTTLE));
  task_site_stop (&site, 7, 1, MODE (EVICT));
  report = task_site_await (&site, 7, 1, STATE (STOPPED), 1);
  CU_ASSERT_STRING_EQUAL (report->text, "/taken at the stop");
  CU_ASSERT_EQUAL (report->reason, REASON (CANCELLED));
  CU_ASSERT_EQUAL (site.runtime.throttles, 1);
  /* A Stop that arrives before its Start.  */
  task_site_stop (&site, 8, 1, MODE (CANCEL));
  report = task_site_await (&site, 8, 1, STATE (REFUSED), 1);
  CU_ASSERT_EQUAL (report->reason, REASON (CANCELLED));
  task_site_start (&site, 8, 1, site.lease, 1000);
  run_to_end (9);
  CU_ASSERT_EQUAL (task_site_count (&site, 8, 1, STATE (RUNNING)), 0);
  teardown ();
}

/* After the end of its lease the guard stops all tasks and continues under a
   new incarnation; Starts for the old one are ignored.  */
static void
check_stopped (void)
{
  const received_report_t *listed;

  CU_ASSERT_TRUE (task_site_until (&site, has_new_lease));
  CU_ASSERT_EQUAL (site.inherits, 0);
  listed = task_site_find_in_inventory (&site, 7, 1);
  CU_ASSERT_PTR_NOT_NULL (listed);
  if (listed == NULL)
    return;
  CU_ASSERT_EQUAL (listed->state, STATE (STOPPED));
  site.grant = 2 * GP_SEC;
  site.runtime.renewals = 0;
  CU_ASSERT_TRUE (task_site_ready (&site));
  task_site_start (&site, 9, 1, old_lease, 1000);
  run_to_end (10);
  CU_ASSERT_EQUAL (task_site_count (&site, 9, 1, STATE (REFUSED)), 0);
}

static void
start_unacknowledged (void)
{
  site.acks = false;
  task_site_start (&site, 7, 1, site.lease, 4000);
  task_site_await (&site, 7, 1, STATE (RUNNING), 1);
}

static void
test_lapse (void)
{
  setup ();
  start_unacknowledged ();
  site.grant = 0;
  check_stopped ();
  teardown ();
}

static void
test_fence (void)
{
  setup ();
  start_unacknowledged ();
  site.fenced = true;
  check_stopped ();
  teardown ();
}

static bool
has_claimed_again (const task_site_t *s)
{
  return s->runtime.holder > old_lease;
}

/* The new incarnation does not begin while a task has not stopped.  */
static void
test_fence_hangs (void)
{
  setup ();
  start_unacknowledged ();
  site.runtime.hang_stop = true;
  site.fenced = true;
  CU_ASSERT_TRUE (task_site_until (&site, has_claimed_again));
  site.heartbeats = 0;
  task_site_start (&site, 8, 1, site.lease, 1);
  CU_ASSERT_EQUAL (task_site_await (&site, 8, 1, STATE (REFUSED), 1)->reason,
                   REASON (FENCED));
  CU_ASSERT_EQUAL (site.lease, old_lease);
  fake_runtime_set_state (&site.runtime, 7, "stopped", "", "");
  check_stopped ();
  teardown ();
}

/* A Start that is handled only after the guard was paused past the end of its
   lease is refused.  */
static void
test_pause (void)
{
  Gp__Wire__Start start = GP__WIRE__START__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (START, start, &start);
  gp_runner_t *runner;

  setup ();
  start_unacknowledged ();
  runner = site.guard.runner;
  start.task = 8;
  start.epoch = 1;
  start.guard_incarnation = site.lease;
  runner->holder.deadline = gp_time_now ();
  gp_runner_on_message (
      runner,
      GP_CONTAINER_OF (site.guard.host.sessions.next, gp_session_t, link),
      &envelope);
  CU_ASSERT_EQUAL (task_site_await (&site, 8, 1, STATE (REFUSED), 1)->reason,
                   REASON (FENCED));
  CU_ASSERT_EQUAL (site.runtime.starts, 1);
  check_stopped ();
  teardown ();
}

/* A guard starts with a runtime that has tasks of its predecessor: it inherits
   them, and their capacity stays reserved.  */
static void
test_adopt (void)
{
  task_site_init (&site);
  site.acks = false;
  site.grant = 0;
  site.runtime.holder = 5;
  site.runtime.deadline = gp_time_now () + 60 * GP_SEC;
  fake_runtime_add_task (&site.runtime, 1, 4, "running", 3000);
  fake_runtime_set_state (&site.runtime, 1, "checkpointed", "", "half");
  fake_runtime_add_task (&site.runtime, 2, 6, "succeeded", 1000);
  site.runtime.renewals = 1;
  CU_ASSERT_TRUE (task_site_ready (&site));
  CU_ASSERT_EQUAL (site.inherits, 5);
  CU_ASSERT_EQUAL (site.runtime.holder, site.lease);
  CU_ASSERT_EQUAL (site.inventory->len, 2);
  CU_ASSERT_EQUAL (task_site_find_in_inventory (&site, 1, 4)->state,
                   STATE (RUNNING));
  CU_ASSERT_EQUAL (task_site_find_in_inventory (&site, 2, 6)->state,
                   STATE (SUCCEEDED));
  CU_ASSERT_EQUAL (site.free, 1000);
  task_site_start (&site, 3, 1, site.lease, 1001);
  CU_ASSERT_EQUAL (task_site_await (&site, 3, 1, STATE (REFUSED), 1)->reason,
                   REASON (CAPACITY));
  task_site_start (&site, 1, 5, site.lease, 1);
  CU_ASSERT_EQUAL (task_site_await (&site, 1, 5, STATE (REFUSED), 1)->reason,
                   REASON (FENCED));
  CU_ASSERT_STRING_EQUAL (
      task_site_await (&site, 1, 4, STATE (CHECKPOINTED), 1)->text, "/half");
  task_site_ack (&site, task_site_await (&site, 2, 6, STATE (SUCCEEDED), 1));
  fake_runtime_set_state (&site.runtime, 1, "failed", "", "");
  CU_ASSERT_PTR_NOT_NULL (task_site_await (&site, 1, 4, STATE (FAILED), 1));
  CU_ASSERT_PTR_NULL (fake_runtime_state (&site.runtime, 2));
  teardown ();
}

/* The predecessor had a greater incarnation, because the wall clock has been
   set back: the guard takes the next greater one.  */
static void
test_greater_predecessor (void)
{
  uint64_t greater = (uint64_t)gp_time_wall () + 3600 * (uint64_t)GP_SEC;

  task_site_init (&site);
  site.runtime.holder = greater;
  CU_ASSERT_TRUE (task_site_ready (&site));
  CU_ASSERT_EQUAL (site.lease, greater + 1);
  run_to_end (1);
  teardown ();
}

static void
test_runtime_restart (void)
{
  const received_report_t *listed;

  setup ();
  start_unacknowledged ();
  fake_runtime_set_state (&site.runtime, 7, "checkpointed", "", "half");
  task_site_await (&site, 7, 1, STATE (CHECKPOINTED), 1);
  fake_runtime_restart (&site.runtime);
  CU_ASSERT_TRUE (task_site_until (&site, has_new_lease));
  CU_ASSERT_EQUAL (site.boot, site.runtime.boot);
  listed = task_site_find_in_inventory (&site, 7, 1);
  CU_ASSERT_PTR_NOT_NULL (listed);
  if (listed == NULL)
    return;
  CU_ASSERT_EQUAL (listed->state, STATE (LOST));
  CU_ASSERT_STRING_EQUAL (listed->text, "/half");
  site.runtime.renewals = 0;
  CU_ASSERT_TRUE (task_site_ready (&site));
  run_to_end (8);
  teardown ();
}

static bool
is_down (const task_site_t *s)
{
  return s->free == 0;
}

/* The runtime is unreachable for a while; an end that happens meanwhile is
   reported afterwards.  */
static void
test_runtime_silent (void)
{
  setup ();
  task_site_start (&site, 7, 1, site.lease, 1000);
  task_site_await (&site, 7, 1, STATE (RUNNING), 1);
  site.runtime.unreachable = true;
  gp_http_exchange_abort (site.runtime.waiting);
  site.runtime.waiting = NULL;
  CU_ASSERT_TRUE (task_site_until (&site, is_down));
  fake_runtime_set_state (&site.runtime, 7, "succeeded", "", "");
  site.runtime.unreachable = false;
  CU_ASSERT_PTR_NOT_NULL (task_site_await (&site, 7, 1, STATE (SUCCEEDED), 1));
  CU_ASSERT_EQUAL (site.lease, old_lease);
  teardown ();
}

/* The epoch table is full: a new incarnation begins and keeps the tasks.  */
static void
test_recycle (void)
{
  setup ();
  task_site_start (&site, 7, 1, site.lease, 1000);
  task_site_await (&site, 7, 1, STATE (RUNNING), 1);
  site.guard.runner->epochs.max_tasks = 3;
  run_to_end (1);
  run_to_end (2);
  CU_ASSERT_TRUE (task_site_until (&site, has_new_lease));
  CU_ASSERT_EQUAL (site.inherits, old_lease);
  CU_ASSERT_EQUAL (task_site_find_in_inventory (&site, 7, 1)->state,
                   STATE (RUNNING));
  CU_ASSERT_STRING_EQUAL (fake_runtime_state (&site.runtime, 7), "running");
  run_to_end (3);
  teardown ();
}

static bool
is_withdrawn (const task_site_t *s)
{
  return s->lease == 0 && s->capacity == 0;
}

static void
test_superseded (void)
{
  setup ();
  site.runtime.holder = old_lease + 1000;
  CU_ASSERT_TRUE (task_site_until (&site, is_withdrawn));
  CU_ASSERT_EQUAL (site.runtime.holder, old_lease + 1000);
  task_site_finish (&site);
}

/* A task uses more than its reservation and there is no free capacity: it is
   throttled first, then evicted.  */
static void
test_usage (void)
{
  const received_report_t *report;

  setup ();
  task_site_start (&site, 1, 1, site.lease, 2000);
  task_site_start (&site, 2, 1, site.lease, 2000);
  task_site_await (&site, 2, 1, STATE (RUNNING), 1);
  json_array_append_new (site.runtime.usage,
                         json_pack ("{s:s,s:i,s:i,s:i}", "task",
                                    "0000000000000001", "epoch", 1,
                                    "millicores", 3000, "memory_mib", 0));
  report = task_site_await (&site, 1, 1, STATE (STOPPED), 1);
  CU_ASSERT_EQUAL (report->reason, REASON (CAPACITY));
  CU_ASSERT_EQUAL (site.runtime.throttles, 1);
  CU_ASSERT_TRUE (site.usages > 0);
  CU_ASSERT_STRING_EQUAL (fake_runtime_state (&site.runtime, 2), "running");
  teardown ();
}

static bool
is_drained (const task_site_t *s)
{
  return s->leaving && s->guard.components_draining == 0;
}

/* The guard shuts down: it refuses new tasks, evicts running ones, and waits
   for the acknowledgement of their ends.  */
static void
test_leave (void)
{
  const received_report_t *report;

  setup ();
  site.acks = false;
  task_site_start (&site, 7, 1, site.lease, 1000);
  task_site_await (&site, 7, 1, STATE (RUNNING), 1);
  raise (SIGTERM);
  report = task_site_await (&site, 7, 1, STATE (STOPPED), 2);
  CU_ASSERT_EQUAL (report->reason, REASON (LEAVING));
  CU_ASSERT_STRING_EQUAL (report->text, "/taken at the stop");
  task_site_start (&site, 8, 1, site.lease, 1000);
  report = task_site_await (&site, 8, 1, STATE (REFUSED), 1);
  CU_ASSERT_EQUAL (report->reason, REASON (LEAVING));
  CU_ASSERT_FALSE (is_drained (&site));
  site.acks = true;
  CU_ASSERT_TRUE (task_site_until (&site, is_drained));
  CU_ASSERT_TRUE (has_no_tasks (&site));
  teardown ();
}

static CU_TestInfo tests[] = {
  { "end", test_end },
  { "checkpoint_ack", test_checkpoint_ack },
  { "duplicate", test_duplicate },
  { "stale", test_stale },
  { "capacity", test_capacity },
  { "start_unanswered", test_start_unanswered },
  { "start_turned_down", test_start_turned_down },
  { "next_epoch", test_next_epoch },
  { "stop", test_stop },
  { "lapse", test_lapse },
  { "fence", test_fence },
  { "fence_hangs", test_fence_hangs },
  { "pause", test_pause },
  { "adopt", test_adopt },
  { "greater_predecessor", test_greater_predecessor },
  { "runtime_restart", test_runtime_restart },
  { "runtime_silent", test_runtime_silent },
  { "recycle", test_recycle },
  { "superseded", test_superseded },
  { "usage", test_usage },
  { "leave", test_leave },
  CU_TEST_INFO_NULL,
};

int
main (void)
{
  gp_log_init ("test", GP_LOG_ERROR);
  return runner_main ("runner", tests);
}

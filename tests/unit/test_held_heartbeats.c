/* Tests of heartbeats that a cut has held up: they arrive after their sender
   has crashed, and prove nothing.  In virtual time.  */

#include <glib.h>

#include "agent_messages.h"
#include "jobs/agent_private.h"
#include "runner.h"

#define TASK "00000000000000aa.0.0.0"
#define ID "x1"
#define BEGIN (10 * GP_SEC)
#define STEP (100 * GP_MSEC)
/* The longest wait of a call for its answer; until then an executor counts as
   one that answers.  */
#define ANSWER_LIMIT (1500 * GP_MSEC)
#define CLOCK_MS 5000

/* The executor answers a list, with TASK's run on it, at NOW.  */
static void
answer_list (gp_agent_t *agent, int64_t clock_ms, gp_time_t now)
{
  const gp_agent_row_t row = { .task = TASK, .run = 1 };

  gp_agent_listed (agent,
                   &(gp_agent_list_t){ .runs = &row,
                                       .run_count = 1,
                                       .clock_ms = clock_ms,
                                       .sent_at = now,
                                       .complete = true },
                   now);
}

/* The leader acknowledges a report that was sent at NOW.  */
static void
acknowledge (gp_agent_t *agent, gp_time_t now)
{
  gp_agent_reported (agent, now);
  gp_agent_acknowledged (agent, now, 0, now);
}

/* An executor at work on TASK, which answers for the last time at BEGIN.  */
static void
begin (gp_agent_t *agent)
{
  gp_time_t again;
  gp_agent_call_t start;

  gp_agent_init (agent, 0, BEGIN);
  agent_add_spec (agent, TASK, BEGIN);
  gp_agent_set_executor (agent, agent_executor_new (ID), CLOCK_MS, BEGIN);
  acknowledge (agent, BEGIN);
  agent_sync_with (agent, TASK, 1, 0);
  start = gp_agent_next_call (agent, BEGIN, &again);
  CU_ASSERT_EQUAL (start.kind, GP_AGENT_CALL_START);
  gp_agent_answered (agent, start.kind, TASK, 1, 0, GP_AGENT_ACCEPTED,
                     CLOCK_MS, BEGIN);
  answer_list (agent, CLOCK_MS, BEGIN);
}

/* A heartbeat of the executor, sent when its clock was CLOCK_MS.  */
static void
take_heartbeat (gp_agent_t *agent, int64_t clock_ms, gp_time_t now)
{
  gp_agent_set_executor (agent, agent_executor_new (ID), clock_ms, now);
}

/* Nothing answers any more after BEGIN, while a heartbeat arrives with each
   step from FROM to UNTIL.  Returns when the lease has lapsed.  */
static gp_time_t
lapse_time (gp_time_t from, gp_time_t until)
{
  gp_agent_t agent;
  gp_time_t now = BEGIN;

  begin (&agent);
  while (!gp_agent_lease_lapsed (&agent, now) && now < BEGIN + 60 * GP_SEC)
    {
      now += STEP;
      acknowledge (&agent, now);
      if (now >= BEGIN + from && now <= BEGIN + until)
        take_heartbeat (&agent, CLOCK_MS + (now - BEGIN) / GP_MSEC / 2, now);
      gp_agent_list_failed (&agent, GP_AGENT_UNANSWERED, -1, now);
      gp_agent_list_lease (&agent, now);
    }
  gp_agent_finish (&agent);
  return now;
}

/* However many arrive, and whenever, the runs of an executor that is gone are
   given up as soon as without them.  */
static void
test_do_not_extend_the_lease (void)
{
  gp_time_t limit = gp_agent_lease_end (BEGIN + ANSWER_LIMIT) + 2 * STEP;

  CU_ASSERT (lapse_time (GP_TIME_NEVER, 0) <= limit);
  for (gp_time_t from = STEP; from < 7 * GP_SEC; from += STEP)
    {
      CU_ASSERT (lapse_time (from, from) <= limit);
      CU_ASSERT (lapse_time (from, 20 * GP_SEC) <= limit);
    }
}

/* Returns how TASK's run is described as a suspect, over a second after the
   executor has gone; LATE: a heartbeat has arrived in between.  */
static Gp__Jobs__TaskRun
suspect (bool late)
{
  gp_agent_t agent;
  Gp__Jobs__TaskRun row = GP__JOBS__TASK_RUN__INIT;
  gp_time_t now = BEGIN + 200 * GP_MSEC;

  begin (&agent);
  gp_agent_list_failed (&agent, GP_AGENT_DISCONNECTED, -1, now);
  now += GP_SEC;
  if (late)
    take_heartbeat (&agent, CLOCK_MS + 100, now);
  CU_ASSERT (gp_agent_is_down (&agent, now));
  gp_agent_list_failed (&agent, GP_AGENT_CONNECTION_REFUSED, -1, now);
  gp_agent_describe_suspect (&agent, gp_agent_find_run (&agent, TASK, 1),
                             &row);
  gp_agent_finish (&agent);
  return row;
}

static void
test_keep_what_is_known_of_the_end (void)
{
  Gp__Jobs__TaskRun late = suspect (true);
  Gp__Jobs__TaskRun without = suspect (false);

  CU_ASSERT_EQUAL (late.age_ms, without.age_ms);
  CU_ASSERT_EQUAL (late.just, without.just);
  CU_ASSERT_EQUAL (late.fresh, without.fresh);
  CU_ASSERT_EQUAL (late.timed, without.timed);
}

/* The lease that is sent is a time on the executor's clock, which an old
   heartbeat shows as it was.  */
static void
test_do_not_set_the_clock_back (void)
{
  gp_agent_t agent;
  gp_time_t now = BEGIN + 4 * GP_SEC;
  int64_t before;

  begin (&agent);
  acknowledge (&agent, BEGIN + GP_SEC);
  gp_agent_list_lease (&agent, BEGIN + GP_SEC);
  before = gp_agent_lease_on_clock (&agent);
  take_heartbeat (&agent, CLOCK_MS + 100, now);
  CU_ASSERT_EQUAL (gp_agent_lease_on_clock (&agent), before);
  gp_agent_finish (&agent);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "do not extend the lease", test_do_not_extend_the_lease },
          { "keep what is known of the end",
            test_keep_what_is_known_of_the_end },
          { "do not set the clock back", test_do_not_set_the_clock_back },
          CU_TEST_INFO_NULL };

  return runner_main ("held_heartbeats", tests);
}

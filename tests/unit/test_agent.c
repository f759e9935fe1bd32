/* Tests of the guard's agent: a scripted transcript.  */

#include <stdio.h>
#include <string.h>

#include "agent_messages.h"
#include "jobs/agent_private.h"
#include "runner.h"

#define TASK "00000000000000aa.0.0.0"
#define OTHER "00000000000000bb.0.0.0"

static void
order_start (gp_agent_t *agent, const char *task, uint32_t run)
{
  Gp__Jobs__Orders orders = GP__JOBS__ORDERS__INIT;
  Gp__Jobs__Start **starts = g_new (Gp__Jobs__Start *, 1);

  starts[0] = agent_start_new (task, run);
  orders.executor = agent->executor->id;
  orders.starts = starts;
  orders.n_starts = 1;
  gp_agent_order (agent, &orders);
  g_free (starts);
}

static void
order_stop (gp_agent_t *agent, const char *task, uint32_t run)
{
  Gp__Jobs__Orders orders = GP__JOBS__ORDERS__INIT;
  Gp__Jobs__TaskRun stop = GP__JOBS__TASK_RUN__INIT;
  Gp__Jobs__TaskRun *stops[] = { &stop };

  stop.task = (char *)task;
  stop.run = run;
  orders.executor = agent->executor->id;
  orders.stops = stops;
  orders.n_stops = 1;
  gp_agent_order (agent, &orders);
}

static const char *const call_names[] = { "none", "start", "stop", "pace" };
static const char *const phase_names[]
    = { "starting", "present", "stopping", "stopped", "absent" };

/* Makes the next call, whose outcome is RESULT.  */
static void
call (gp_agent_t *agent, gp_agent_result_t result, gp_time_t now)
{
  gp_time_t again;
  gp_agent_call_t next = gp_agent_next_call (agent, now, &again);
  char name[GP_TASK_NAME_SIZE];
  uint32_t run;

  printf ("  call: %s", call_names[next.kind]);
  if (next.kind == GP_AGENT_CALL_NONE)
    {
      if (again != GP_TIME_NEVER)
        printf (", again in %d ms", (int)((again - now) / GP_MSEC));
      printf ("\n");
      return;
    }
  g_strlcpy (name, next.run->name, sizeof name);
  run = next.run->run;
  gp_agent_answered (agent, next.kind, name, run, next.percent, result, -1,
                     now);
  printf (" run %u\n", run);
}

static void
show (const gp_agent_t *agent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_agent_run_t *run = value;

      printf ("  run %u: %s\n", run->run, phase_names[run->phase]);
    }
  printf ("  ends to tell: %u\n", agent->ends->len);
}

/* The agent receives a list, requested at SENT_AT, with ROW or, if that is
   NULL, nothing.  */
static void
list (gp_agent_t *agent, const gp_agent_row_t *row, int64_t clock_ms,
      gp_time_t sent_at, gp_time_t now)
{
  gp_agent_listed (agent,
                   &(gp_agent_list_t){ .runs = row,
                                       .run_count = row != NULL,
                                       .clock_ms = clock_ms,
                                       .sent_at = sent_at,
                                       .complete = true },
                   now);
}

/* The guard meets its executor, whose list is empty.  */
static void
begin (gp_agent_t *agent, gp_time_t now)
{
  gp_agent_init (agent, 0, now);
  agent_add_spec (agent, TASK, now);
  gp_agent_set_executor (agent, agent_executor_new ("x1"), 5000, now);
  gp_agent_fence_listed (agent, agent->fence);
  list (agent, NULL, 5000, now, now);
  gp_agent_reported (agent, now);
  gp_agent_acknowledged (agent, now, 0, now);
}

static void
test_no_start_before_sync (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("nothing starts before the sync, after it the run does\n");
  begin (&agent, now);
  call (&agent, GP_AGENT_ACCEPTED, now);
  agent_sync_with (&agent, TASK, 1, 0);
  gp_agent_clear_sync (&agent);
  call (&agent, GP_AGENT_ACCEPTED, now);
  agent_sync_with (&agent, TASK, 1, 0);
  call (&agent, GP_AGENT_ACCEPTED, now);
  show (&agent);
  gp_agent_finish (&agent);
}

static void
test_refused_start (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("a refused start is absent only after a stop and a list\n");
  begin (&agent, now);
  agent_sync_with (&agent, TASK, 1, 0);
  call (&agent, GP_AGENT_UNANSWERED, now);
  call (&agent, GP_AGENT_ACCEPTED, now);
  now += 200 * GP_MSEC;
  call (&agent, GP_AGENT_NO_RESOURCES, now);
  call (&agent, GP_AGENT_ACCEPTED, now);
  show (&agent);
  list (&agent, NULL, 5300, now, now);
  show (&agent);
  list (&agent, NULL, 5400, now + 1, now + 2);
  show (&agent);
  gp_agent_finish (&agent);
}

static void
test_lapse (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("after a lapse only a sync that knows of it lets runs start\n");
  begin (&agent, now);
  agent_sync_with (&agent, TASK, 1, 0);
  gp_agent_list_lease (&agent, now);
  now += 6 * GP_SEC;
  printf ("  lapsed: %d\n", gp_agent_lease_lapsed (&agent, now));
  list (&agent, NULL, 11000, now - 1, now);
  gp_agent_acknowledged (&agent, now, 0, now);
  call (&agent, GP_AGENT_ACCEPTED, now);
  agent_sync_with (&agent, TASK, 1, now - 1);
  call (&agent, GP_AGENT_ACCEPTED, now);
  agent_sync_with (&agent, TASK, 2, now);
  printf ("  lapsed: %d\n", gp_agent_lease_lapsed (&agent, now));
  call (&agent, GP_AGENT_ACCEPTED, now);
  gp_agent_finish (&agent);
}

static void
test_new_executor (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("another executor: what was known of the first is forgotten\n");
  begin (&agent, now);
  agent_sync_with (&agent, TASK, 1, 0);
  call (&agent, GP_AGENT_ACCEPTED, now);
  gp_agent_set_executor (&agent, agent_executor_new ("x2"), 70, now);
  show (&agent);
  call (&agent, GP_AGENT_ACCEPTED, now);
  printf ("  fence %d\n", (int)agent.fence);
  gp_agent_finish (&agent);
}

/* Returns the lease that the next list request would contain, in milliseconds
   after the reading of the executor's clock; 0: none.  */
static int
lease_left (gp_agent_t *agent, gp_time_t now)
{
  int64_t lease = gp_agent_list_lease (agent, now);

  return lease > 0 ? (int)(lease - agent->clock_ms) : 0;
}

static void
test_unnamed (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("a lease counts for the executor that the report named\n");
  gp_agent_init (&agent, 0, now);
  agent_add_spec (&agent, TASK, now);
  gp_agent_reported (&agent, now);
  gp_agent_set_executor (&agent, agent_executor_new ("x1"), 5000, now + 1);
  gp_agent_acknowledged (&agent, now, 0, now + 2);
  printf ("  of the report before: %d ms\n", lease_left (&agent, now + 2));
  gp_agent_reported (&agent, now + 3);
  gp_agent_acknowledged (&agent, now + 3, 0, now + 4);
  printf ("  of the report of it: %d ms\n", lease_left (&agent, now + 4));
  gp_agent_set_executor (&agent, agent_executor_new ("x2"), 70, now + 5);
  gp_agent_acknowledged (&agent, now + 3, 0, now + 6);
  printf ("  of another executor: %d ms\n", lease_left (&agent, now + 6));
  gp_agent_finish (&agent);
}

static void
test_doubtful_lead (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("a guard that has just begun takes no lease of a lead that may be "
          "over\n");
  gp_agent_init (&agent, 0, now);
  agent_add_spec (&agent, TASK, now);
  gp_agent_set_executor (&agent, agent_executor_new ("x1"), 5000, now);
  gp_agent_reported (&agent, now);
  gp_agent_acknowledged (&agent, now, 4 * GP_SEC, now);
  printf ("  last append 4 s ago: %d ms\n", lease_left (&agent, now));
  gp_agent_acknowledged (&agent, now, GP_SEC, now);
  printf ("  1 s ago: %d ms\n", lease_left (&agent, now));
  now += 9 * GP_SEC;
  gp_agent_set_executor (&agent, agent_executor_new ("x2"), 70, now);
  gp_agent_reported (&agent, now);
  gp_agent_acknowledged (&agent, now, 4 * GP_SEC, now);
  printf ("  4 s ago, to a guard of 9 s: %d ms\n", lease_left (&agent, now));
  gp_agent_finish (&agent);
}

/* Regression test: after a restart of the guard its fence was too low, and the
   executor rejected all its calls for the rest of the day.  */
static void
test_fence_rises (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;
  unsigned refusals = 0;

  printf ("a fence that is too low is made up for\n");
  begin (&agent, now);
  while (agent.fence < INT64_C (600000))
    {
      gp_agent_fence_rejected (&agent, agent.fence - 1);
      gp_agent_fence_rejected (&agent, agent.fence);
      refusals++;
    }
  printf ("  by ten minutes after %u refusals\n", refusals);
  gp_agent_finish (&agent);
}

static void
test_ended (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("an executor that has ended gets no calls and no sync; the next "
          "one does\n");
  begin (&agent, now);
  agent_sync_with (&agent, TASK, 1, 0);
  gp_agent_executor_ended (&agent);
  call (&agent, GP_AGENT_ACCEPTED, now);
  agent_sync_with (&agent, TASK, 1, now);
  call (&agent, GP_AGENT_ACCEPTED, now);
  now += 6 * GP_SEC;
  printf ("  lapsed: %d, ended: %d\n", gp_agent_lease_lapsed (&agent, now),
          agent.ended);
  gp_agent_set_executor (&agent, agent_executor_new ("x2"), 70, now);
  gp_agent_reported (&agent, now);
  gp_agent_acknowledged (&agent, now, 0, now);
  agent_sync_with (&agent, TASK, 2, now);
  call (&agent, GP_AGENT_ACCEPTED, now);
  gp_agent_finish (&agent);
}

static void
test_stop (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;
  Gp__Jobs__End end = GP__JOBS__END__INIT;
  const gp_agent_row_t row = { TASK, 1, 100 };

  printf ("a stop goes on until the end is listed\n");
  begin (&agent, now);
  agent_sync_with (&agent, TASK, 1, 0);
  call (&agent, GP_AGENT_ACCEPTED, now);
  order_stop (&agent, TASK, 1);
  call (&agent, GP_AGENT_UNANSWERED, now);
  now += 200 * GP_MSEC;
  call (&agent, GP_AGENT_ACCEPTED, now);
  list (&agent, &row, 5300, now + 1, now + 2);
  show (&agent);
  end.number = 1;
  end.task = TASK;
  end.run = 1;
  end.how = GP_END_STOPPED;
  gp_agent_listed (&agent,
                   &(gp_agent_list_t){ .ends = &end,
                                       .end_count = 1,
                                       .clock_ms = 5600,
                                       .sent_at = now + 3,
                                       .complete = true },
                   now + 4);
  show (&agent);
  gp_agent_finish (&agent);
}

static void
show_suspects (gp_agent_t *agent, gp_time_t now)
{
  gp_agent_set_executor (agent, agent_executor_new ("x2"), 70, now);
  printf ("  suspects of %s: %u", agent->predecessor->executor,
          (unsigned)agent->predecessor->n_suspects);
  if (agent->predecessor->n_suspects > 0)
    printf (", fresh: %d", agent->predecessor->suspects[0]->fresh);
  printf ("\n");
}

/* The executor fails after a run was listed for AGE.  */
static void
crash_after (gp_time_t age, bool gang)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;
  const gp_agent_row_t row = { TASK, 1, 100 };

  begin (&agent, now);
  agent_sync_with (&agent, TASK, 1, 0);
  gp_agent_find_run (&agent, TASK, 1)->start->gang = gang;
  gp_agent_find_run (&agent, TASK, 1)->start->watched = true;
  call (&agent, GP_AGENT_ACCEPTED, now);
  list (&agent, &row, 5300, now + 1, now + 2);
  now += age;
  list (&agent, &row, 9000, now + 1, now + 2);
  printf ("  listed for %d ms%s, told as settled: %d\n", (int)(age / GP_MSEC),
          gang ? " in a gang" : "",
          gp_agent_report_settled (gp_agent_find_run (&agent, TASK, 1)));
  show_suspects (&agent, now + 3);
  gp_agent_finish (&agent);
}

static void
test_suspects (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("runs that may have taken their executor down\n");
  crash_after (400 * GP_MSEC, false);
  crash_after (900 * GP_MSEC, false);
  crash_after (GP_SEC, false);
  crash_after (3900 * GP_MSEC, true);
  crash_after (4 * GP_SEC, true);
  printf ("a start that went unanswered may have reached it\n");
  begin (&agent, now);
  agent_sync_with (&agent, TASK, 1, 0);
  call (&agent, GP_AGENT_UNANSWERED, now);
  show_suspects (&agent, now + 3);
  gp_agent_finish (&agent);
  printf ("one that left after another call had failed has not\n");
  begin (&agent, now);
  gp_agent_list_failed (&agent, GP_AGENT_UNANSWERED, -1, now);
  agent_sync_with (&agent, TASK, 1, 0);
  call (&agent, GP_AGENT_UNANSWERED, now + 1);
  show_suspects (&agent, now + 3);
  gp_agent_finish (&agent);
  /* Guards against isolating honest tasks whose starts were refused.  */
  for (int i = 0; i < 2; i++)
    {
      printf ("nor one that was refused%s\n",
              i == 0 ? "" : ", unless it was sent before without an answer");
      begin (&agent, now);
      agent_sync_with (&agent, TASK, 1, 0);
      if (i == 1)
        call (&agent, GP_AGENT_UNANSWERED, now);
      call (&agent, GP_AGENT_REFUSED, now + 200 * GP_MSEC);
      show_suspects (&agent, now + 200 * GP_MSEC + 3);
      gp_agent_finish (&agent);
    }
  printf ("nor one that was never sent; the one before is told on\n");
  begin (&agent, now);
  agent_sync_with (&agent, TASK, 1, 0);
  show_suspects (&agent, now + 3);
  gp_agent_set_executor (&agent, agent_executor_new ("x3"), 70, now + 4);
  printf ("  of %s\n", agent.predecessor->executor);
  gp_agent_finish (&agent);
}

/* Prints the runs that may have caused the executor's failure, with the flags
   of its predecessor's suspects.  */
static void
show_suspected_runs (gp_agent_t *agent, const char *what, gp_time_t now)
{
  gp_agent_set_executor (agent, agent_executor_new ("x2"), 70, now);
  printf ("  %s:", what);
  for (size_t i = 0; i < agent->predecessor->n_suspects; i++)
    printf (" run %u%s%s", agent->predecessor->suspects[i]->run,
            agent->predecessor->suspects[i]->fresh ? " fresh" : "",
            agent->predecessor->suspects[i]->unanswered ? " unanswered" : "");
  printf ("\n");
  gp_agent_finish (agent);
}

/* TASK was started at NOW - OLDER, and OTHER at NOW with the outcome STARTED;
   a call to the executor fails with RESULT after DELAY.  */
static void
crash_with_other_run (const char *what, gp_time_t older,
                      gp_agent_result_t started, gp_agent_result_t result,
                      gp_time_t delay)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;
  const gp_agent_row_t row = { TASK, 1, 100 };

  begin (&agent, now - older);
  agent_add_spec (&agent, OTHER, now);
  agent_sync_with (&agent, TASK, 1, 0);
  call (&agent, GP_AGENT_ACCEPTED, now - older);
  list (&agent, &row, 5300, now - 2, now - 1);
  order_start (&agent, OTHER, 2);
  call (&agent, started, now);
  if (started == GP_AGENT_ACCEPTED)
    agent.answered_at = now;
  gp_agent_list_failed (&agent, result, -1, now + delay);
  show_suspected_runs (&agent, what, now + 3 * GP_SEC);
}

/* TASK, a member of a gang, was started at NOW; the executor closes its
   connection after DELAY.  */
static void
crash_with_member (const char *what, gp_time_t delay)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  begin (&agent, now);
  agent_sync_with (&agent, TASK, 1, 0);
  gp_agent_find_run (&agent, TASK, 1)->start->gang = true;
  call (&agent, GP_AGENT_ACCEPTED, now);
  agent.answered_at = now;
  gp_agent_list_failed (&agent, GP_AGENT_DISCONNECTED, -1, now + delay);
  show_suspected_runs (&agent, what, now + 3 * GP_SEC);
}

/* Guards against failing jobs because of other work that began on their
   executor up to a second later, when all runs that had not settled were
   considered equally responsible, and because of executors that end by
   themselves some tenths of a second after a start.  A failure is noticed at
   once if the executor closes the connection, or refuses one between two
   lists.  */
static void
test_beginners (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("which of several runs had only just begun\n");
  crash_with_other_run ("the connection ends after 10 ms", 300 * GP_MSEC,
                        GP_AGENT_ACCEPTED, GP_AGENT_DISCONNECTED,
                        10 * GP_MSEC);
  crash_with_other_run ("nobody listens after 60 ms", 300 * GP_MSEC,
                        GP_AGENT_ACCEPTED, GP_AGENT_CONNECTION_REFUSED,
                        60 * GP_MSEC);
  crash_with_other_run ("the answer to the start was lost with it",
                        300 * GP_MSEC, GP_AGENT_DISCONNECTED,
                        GP_AGENT_DISCONNECTED, 10 * GP_MSEC);
  crash_with_other_run ("the connection ends after a second", 300 * GP_MSEC,
                        GP_AGENT_ACCEPTED, GP_AGENT_DISCONNECTED, GP_SEC);
  crash_with_other_run ("calls run out of time", 300 * GP_MSEC,
                        GP_AGENT_ACCEPTED, GP_AGENT_UNANSWERED, 60 * GP_MSEC);
  crash_with_other_run ("the same, after a start that went unanswered",
                        300 * GP_MSEC, GP_AGENT_UNANSWERED,
                        GP_AGENT_UNANSWERED, 60 * GP_MSEC);
  crash_with_other_run ("both had begun for longer", 300 * GP_MSEC,
                        GP_AGENT_ACCEPTED, GP_AGENT_DISCONNECTED,
                        200 * GP_MSEC);
  crash_with_other_run ("one had begun for 100 ms", 300 * GP_MSEC,
                        GP_AGENT_ACCEPTED, GP_AGENT_DISCONNECTED,
                        100 * GP_MSEC);
  crash_with_other_run ("one had begun for a little longer", 300 * GP_MSEC,
                        GP_AGENT_ACCEPTED, GP_AGENT_DISCONNECTED,
                        101 * GP_MSEC);
  crash_with_member ("a member of a gang had begun for 100 ms", 100 * GP_MSEC);
  crash_with_member ("for a little longer", 101 * GP_MSEC);
  printf ("a run that was started and is to be stopped had begun\n");
  begin (&agent, now);
  agent_sync_with (&agent, TASK, 1, 0);
  call (&agent, GP_AGENT_ACCEPTED, now);
  order_stop (&agent, TASK, 1);
  gp_agent_list_failed (&agent, GP_AGENT_UNANSWERED, -1, now + 1);
  show_suspected_runs (&agent, "stopped", now + 3 * GP_SEC);
}

/* Prints what the guard tells about the death of its executor, which it meets
   at 10 s and which runs TASK, started by an earlier guard process.  The
   leader syncs (SYNCED), the start is repeated and answered after 60 ms, and
   the executor closes its connections after END.  */
static void
crash_under_next_guard (const char *what, bool synced, gp_time_t end)
{
  const gp_agent_row_t row = { TASK, 1, 100 };
  gp_time_t now = 10 * GP_SEC;
  gp_agent_t agent;

  gp_agent_init (&agent, 0, now);
  agent_add_spec (&agent, TASK, now);
  gp_agent_set_executor (&agent, agent_executor_new ("x1"), 5000, now);
  gp_agent_fence_listed (&agent, agent.fence);
  list (&agent, &row, 5000, now, now);
  gp_agent_reported (&agent, now);
  gp_agent_acknowledged (&agent, now, 0, now);
  if (synced)
    {
      agent_sync_with (&agent, TASK, 1, 0);
      call (&agent, GP_AGENT_ACCEPTED, now + 60 * GP_MSEC);
    }
  gp_agent_list_failed (&agent, GP_AGENT_DISCONNECTED, -1, now + end);
  gp_agent_set_executor (&agent, agent_executor_new ("x2"), 70, now + GP_SEC);
  printf ("  %s:", what);
  if (agent.predecessor == NULL)
    printf (" nothing is told");
  for (size_t i = 0;
       agent.predecessor != NULL && i < agent.predecessor->n_suspects; i++)
    {
      const Gp__Jobs__TaskRun *run = agent.predecessor->suspects[i];

      printf (" run %u,%s%s%s %u ms old at least", run->run,
              run->fresh ? " fresh" : "", run->just ? " just" : "",
              run->unanswered ? " unknown when" : "", run->age_ms);
    }
  printf ("\n");
  gp_agent_finish (&agent);
}

/* Guards against failing jobs whose executor dies by itself after its guard
   was killed: the answer to the repeated start passed for the beginning.  */
static void
test_earlier_beginning (void)
{
  printf ("a run that an earlier guard process has started\n");
  crash_under_next_guard ("dies 150 ms after it was met", true, 150 * GP_MSEC);
  crash_under_next_guard ("dies 90 ms after it was met", true, 90 * GP_MSEC);
  crash_under_next_guard ("the same, before the leader's sync", false,
                          90 * GP_MSEC);
  crash_under_next_guard ("dies 150 ms after it was met, before the sync",
                          false, 150 * GP_MSEC);
}

static void
show_down (gp_agent_t *agent, const char *what, gp_time_t now)
{
  printf ("  %s: %d\n", what, gp_agent_is_down (agent, now));
}

static void
test_down (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("is the executor down?\n");
  begin (&agent, now);
  gp_agent_list_failed (&agent, GP_AGENT_UNANSWERED, -1, now);
  show_down (&agent, "a call went unanswered", now);
  show_down (&agent, "299 ms later", now + 299 * GP_MSEC);
  show_down (&agent, "300 ms later", now + 300 * GP_MSEC);
  list (&agent, NULL, 5300, now, now + GP_SEC);
  show_down (&agent, "an answer", now + GP_SEC);
  gp_agent_list_failed (&agent, GP_AGENT_DISCONNECTED, -1, now + GP_SEC);
  show_down (&agent, "its side ends a connection", now + GP_SEC);
  list (&agent, NULL, 5400, now, now + GP_SEC);
  show_down (&agent, "but answers on another one", now + GP_SEC);
  gp_agent_list_failed (&agent, GP_AGENT_CONNECTION_REFUSED, -1, now + GP_SEC);
  show_down (&agent, "nobody listens", now + GP_SEC);
  gp_agent_finish (&agent);
}

static Gp__Jobs__Executor *
executor_of_cores (const char *id, unsigned cores)
{
  Gp__Jobs__Executor *executor = agent_executor_new (id);

  executor->cpu_milli = cores * 1000;
  return executor;
}

static void
test_shrink (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("an executor's room shrinks: what has not begun is given back\n");
  gp_agent_init (&agent, 0, now);
  agent_add_spec (&agent, TASK, now);
  gp_agent_set_executor (&agent, executor_of_cores ("x1", 8), 5000, now);
  gp_agent_reported (&agent, now);
  gp_agent_acknowledged (&agent, now, 0, now);
  agent_sync_with (&agent, TASK, 1, 0);
  gp_agent_set_executor (&agent, executor_of_cores ("x1", 16), 5001, now);
  show (&agent);
  call (&agent, GP_AGENT_UNANSWERED, now);
  gp_agent_set_executor (&agent, executor_of_cores ("x1", 4), 5002, now);
  show (&agent);
  gp_agent_finish (&agent);
  printf ("what has begun stays\n");
  begin (&agent, now);
  gp_agent_set_executor (&agent, executor_of_cores ("x1", 8), 5001, now);
  agent_sync_with (&agent, TASK, 1, 0);
  call (&agent, GP_AGENT_ACCEPTED, now);
  gp_agent_set_executor (&agent, executor_of_cores ("x1", 4), 5002, now);
  show (&agent);
  gp_agent_finish (&agent);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "no start before sync", test_no_start_before_sync },
          { "refused start", test_refused_start },
          { "lapse", test_lapse },
          { "new executor", test_new_executor },
          { "unnamed", test_unnamed },
          { "doubtful lead", test_doubtful_lead },
          { "fence rises", test_fence_rises },
          { "ended", test_ended },
          { "stop", test_stop },
          { "suspects", test_suspects },
          { "beginners", test_beginners },
          { "earlier beginning", test_earlier_beginning },
          { "down", test_down },
          { "shrink", test_shrink },
          CU_TEST_INFO_NULL };

  return runner_main ("agent", tests);
}

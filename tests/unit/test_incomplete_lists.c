/* Tests of lists that need not show all runs and ends, as more ends wait than
   fit into one list or a row was refused: what such a list lacks proves
   nothing, and what it shows is as good as on any list.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "agent_messages.h"
#include "jobs/agent_private.h"
#include "platform/executor_list.h"
#include "runner.h"

#define JOB "00000000000000aa"
/* No start of this task arrives; its runs neither begin nor end.  */
#define LOST_TASK JOB ".0.1.0"
#define STEP (20 * GP_MSEC)
/* Time for which no end is recorded, as the store does not answer.  */
#define OUTAGE (5 * GP_SEC)

/* The runs have all ended, and the executor lists the lowest ends that are not
   confirmed.  */
typedef struct
{
  gp_agent_t agent;
  uint64_t run_count;
  uint64_t confirmed;
  unsigned lists;
  unsigned stops;
  gp_time_t now;
} world_t;

static void
task_name (uint64_t number, char *name)
{
  g_snprintf (name, GP_TASK_NAME_SIZE, JOB ".0.0.%" G_GUINT64_FORMAT, number);
}

/* The leader wants a run of each task, and one of LOST_TASK.  */
static void
sync_runs (world_t *world)
{
  Gp__Jobs__Sync sync = GP__JOBS__SYNC__INIT;
  char name[GP_TASK_NAME_SIZE];

  sync.number = 1;
  sync.executor = world->agent.executor->id;
  sync.starts = g_new (Gp__Jobs__Start *, world->run_count + 1);
  for (uint64_t i = 1; i <= world->run_count; i++)
    {
      task_name (i, name);
      sync.starts[sync.n_starts++] = agent_start_new (name, 1);
    }
  sync.starts[sync.n_starts++] = agent_start_new (LOST_TASK, 1);
  gp_agent_sync (&world->agent, &sync);
  g_free (sync.starts);
}

/* Makes the calls that are due.  Starts are carried out, but LOST_TASK has no
   resources; stops find nothing that runs.  */
static void
make_calls (world_t *world)
{
  gp_time_t again_at;
  gp_agent_call_t call;

  while (
      (call = gp_agent_next_call (&world->agent, world->now, &again_at)).kind
      != GP_AGENT_CALL_NONE)
    {
      char name[GP_TASK_NAME_SIZE];
      bool lost = strcmp (call.run->name, LOST_TASK) == 0;

      g_strlcpy (name, call.run->name, sizeof name);
      world->stops += call.kind == GP_AGENT_CALL_STOP && !lost;
      gp_agent_answered (&world->agent, call.kind, name, 1, 0,
                         lost && call.kind == GP_AGENT_CALL_START
                             ? GP_AGENT_NO_RESOURCES
                             : GP_AGENT_ACCEPTED,
                         -1, world->now);
    }
}

/* The agent receives the executor's list.  */
static void
list (world_t *world)
{
  const gp_executor_list_request_t request
      = { .executor = "x1", .confirmed = world->confirmed };
  json_t *rows = json_array ();
  json_t *answer = json_pack ("{s:[], s:o}", "running", "ended", rows);
  gp_executor_list_t decoded;

  world->lists++;
  for (uint64_t i = world->confirmed + 1;
       i <= world->run_count && json_array_size (rows) < GP_EXECUTOR_ENDS_MAX;
       i++)
    {
      char name[GP_TASK_NAME_SIZE];

      task_name (i, name);
      json_array_append_new (
          rows, json_pack ("[I,s,i,s,s]", (json_int_t)i, name, 1, "done", ""));
    }
  gp_executor_list_init (&decoded);
  CU_ASSERT (gp_executor_list_decode (&decoded, answer, &request));
  gp_agent_listed (
      &world->agent,
      &(gp_agent_list_t){ .ends
                          = (const Gp__Jobs__End *)(void *)decoded.ends->data,
                          .end_count = decoded.ends->len,
                          .clock_ms = 5000 + world->now / GP_MSEC,
                          .sent_at = world->now,
                          .complete = decoded.complete },
      world->now);
  gp_executor_list_finish (&decoded);
  json_decref (answer);
}

static void
step (world_t *world)
{
  world->now += STEP;
  gp_agent_acknowledged (&world->agent, world->now, 0, world->now);
  list (world);
  make_calls (world);
}

static unsigned
count_absent (const world_t *world)
{
  unsigned count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->agent.runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const gp_agent_run_t *)value)->phase == GP_RUN_ABSENT;
  return count;
}

/* The leader has recorded all ends that were reported.  */
static void
record_ends (world_t *world)
{
  agent_confirm_ends (&world->agent, "x1", 0, world->agent.listed_ends);
  world->confirmed = gp_agent_list_confirmed (&world->agent, world->now);
}

static void
world_init (world_t *world, uint64_t run_count)
{
  *world = (world_t){ .run_count = run_count, .now = 10 * GP_SEC };
  gp_agent_init (&world->agent, 0, world->now);
  agent_add_spec (&world->agent, LOST_TASK, world->now);
  gp_agent_set_executor (&world->agent, agent_executor_new ("x1"), 5000,
                         world->now);
  gp_agent_reported (&world->agent, world->now);
  gp_agent_acknowledged (&world->agent, world->now, 0, world->now);
  sync_runs (world);
  make_calls (world);
}

/* RUN_COUNT runs end during an outage of the store.  None of them may be
   stopped or become absent; the run that is absent does so once the lists show
   it.  Guards against tasks that run twice because the ends of their runs did
   not fit into the list: the guard reported these runs as absent, and the
   leader started the tasks again.  */
static void
play (uint64_t run_count)
{
  world_t world;
  gp_time_t outage_end;

  world_init (&world, run_count);
  outage_end = world.now + OUTAGE;
  while (world.now < outage_end)
    step (&world);
  printf ("  %5d ends: %u absent in the outage", (int)run_count,
          count_absent (&world));
  world.lists = 0;
  while (world.confirmed < run_count && world.lists <= run_count)
    {
      record_ends (&world);
      step (&world);
    }
  CU_ASSERT_EQUAL (world.confirmed, run_count);
  CU_ASSERT_EQUAL (world.stops, 0);
  printf (", recorded after %u lists, %u stopped, then %u absent\n",
          world.lists, world.stops, count_absent (&world));
  gp_agent_finish (&world.agent);
}

static void
test_outage (void)
{
  static const uint64_t sizes[] = { 1, 499, 500, 501, 1000, 1600, 3000 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    play (sizes[i]);
}

/* A single run, and lists with or without it.  */

#define TASK JOB ".0.0.1"

static void
begin (gp_agent_t *agent, gp_time_t now)
{
  gp_agent_init (agent, 0, now);
  agent_add_spec (agent, TASK, now);
  gp_agent_set_executor (agent, agent_executor_new ("x1"), 5000, now);
  gp_agent_reported (agent, now);
  gp_agent_acknowledged (agent, now, 0, now);
}

static void
list_one (gp_agent_t *agent, bool shown, bool complete, gp_time_t now)
{
  const gp_agent_row_t row = { .task = TASK, .run = 1 };

  if (complete)
    gp_agent_fence_listed (agent, agent->fence);
  gp_agent_listed (agent,
                   &(gp_agent_list_t){ .runs = &row,
                                       .run_count = shown,
                                       .clock_ms = 5000 + now / GP_MSEC,
                                       .sent_at = now,
                                       .complete = complete },
                   now);
}

/* Returns the kind of the next call, which is accepted.  */
static gp_agent_call_kind_t
make_call (gp_agent_t *agent, gp_time_t now)
{
  gp_time_t again_at;
  gp_agent_call_t call = gp_agent_next_call (agent, now, &again_at);

  if (call.kind != GP_AGENT_CALL_NONE)
    gp_agent_answered (agent, call.kind, TASK, 1, 0, GP_AGENT_ACCEPTED, -1,
                       now);
  return call.kind;
}

/* Guards against work that is thrown away: a guard process that has just
   started, in an evacuated zone, stopped a run that was at work, as lists that
   lacked it counted as proof that it had not begun.  */
static void
test_evacuated (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  begin (&agent, now);
  gp_agent_set_evacuated (&agent, true, now);
  agent_sync_with (&agent, TASK, 1, 0);
  for (int i = 0; i < 5; i++)
    {
      now += STEP;
      list_one (&agent, false, false, now);
      CU_ASSERT_EQUAL (make_call (&agent, now), GP_AGENT_CALL_NONE);
    }
  now += STEP;
  list_one (&agent, true, true, now);
  CU_ASSERT_EQUAL (gp_agent_find_run (&agent, TASK, 1)->phase, GP_RUN_STARTED);
  gp_agent_finish (&agent);
}

/* Guards against a cancelled run that works on: a list that showed it long
   after its stop had been accepted did not count, as other rows were
   missing.  */
static void
test_outlived_stop (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  begin (&agent, now);
  agent_sync_with (&agent, TASK, 1, 0);
  CU_ASSERT_EQUAL (make_call (&agent, now), GP_AGENT_CALL_START);
  list_one (&agent, true, true, now + STEP);
  gp_agent_want_stop (&agent, TASK, 1);
  now += GP_SEC;
  CU_ASSERT_EQUAL (make_call (&agent, now), GP_AGENT_CALL_STOP);
  now += 3 * GP_SEC;
  gp_agent_acknowledged (&agent, now, 0, now);
  list_one (&agent, true, false, now);
  CU_ASSERT_EQUAL (make_call (&agent, now), GP_AGENT_CALL_STOP);
  gp_agent_finish (&agent);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "ends wait in an outage", test_outage },
                          { "evacuated", test_evacuated },
                          { "outlived stop", test_outlived_stop },
                          CU_TEST_INFO_NULL };

  return runner_main ("incomplete lists", tests);
}

/* Tests of the agent's evaluation of measurements: a busy filling run is
   slowed down and one that is not busy is not, until a serving run stays over
   its target, which shows that the phases are not measured correctly.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "agent_messages.h"
#include "jobs/agent_private.h"
#include "runner.h"

#define SERVING "00000000000000aa.0.0.0"
#define FILL_A "00000000000000bb.0.0.0"
#define FILL_B "00000000000000bb.0.0.1"
#define TARGET_MS 50
#define CPU_MILLI 3000
#define STEP (250 * GP_MSEC)

static Gp__Jobs__Start *
start_new (const char *task, const char *image, bool fills)
{
  Gp__Jobs__Start *start = agent_start_new (task, 1);

  g_free (start->image);
  start->image = g_strdup (image);
  start->fills = fills;
  start->cpu_milli = CPU_MILLI;
  start->target_ms = fills ? 0 : TARGET_MS;
  return start;
}

static void
begin (gp_agent_t *agent, gp_time_t now)
{
  Gp__Jobs__Sync *sync = g_new (Gp__Jobs__Sync, 1);

  gp_agent_init (agent, 0, now);
  gp_agent_set_executor (agent, agent_executor_new ("x1"), 5000, now);
  gp_agent_reported (agent, now);
  gp_agent_acknowledged (agent, now, 0, now);
  gp__jobs__sync__init (sync);
  sync->number = 1;
  sync->executor = g_strdup ("x1");
  sync->starts = g_new (Gp__Jobs__Start *, 3);
  sync->starts[sync->n_starts++] = start_new (SERVING, "s", false);
  sync->starts[sync->n_starts++] = start_new (FILL_A, "f", true);
  sync->starts[sync->n_starts++] = start_new (FILL_B, "f", true);
  gp_agent_sync (agent, sync);
  gp__jobs__sync__free_unpacked (sync, NULL);
  gp_pressure_set (&agent->pacer.pressure, "s",
                   gp_pressure_image_index (&agent->pacer.pressure, "f"), 0.9);
}

/* The leader reports the headroom of the serving run without filling runs.  */
static void
set_load (gp_agent_t *agent, int32_t headroom_permille, gp_time_t now)
{
  gp_agent_set_load (agent, SERVING, headroom_permille, 0, now);
}

/* The executor lists a tail latency of TAIL_MS and the CPU that A and B
   use.  */
static void
list (gp_agent_t *agent, int64_t tail_ms, int64_t a, int64_t b, gp_time_t now)
{
  const gp_agent_row_t rows[]
      = { { SERVING, 1, tail_ms }, { FILL_A, 1, a }, { FILL_B, 1, b } };

  gp_agent_listed (agent,
                   &(gp_agent_list_t){ .runs = rows,
                                       .run_count = G_N_ELEMENTS (rows),
                                       .clock_ms = 5000 + now / GP_MSEC,
                                       .sent_at = now,
                                       .complete = true },
                   now);
}

static uint32_t
wanted (gp_agent_t *agent, const char *task)
{
  const gp_agent_run_t *run = g_hash_table_lookup (agent->runs, task);

  return gp_agent_wanted_pace (agent, run);
}

static void
show (gp_agent_t *agent, const char *what)
{
  printf ("  %s: a %u %%, b %u %%\n", what, wanted (agent, FILL_A),
          wanted (agent, FILL_B));
}

static void
test_phases (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("a busy run is slowed down, a light one is not\n");
  begin (&agent, now);
  set_load (&agent, 1600, now);
  list (&agent, 30, 0, 0, now);
  show (&agent, "not at work yet");
  for (int i = 0; i < 4; i++)
    {
      now += STEP;
      set_load (&agent, 1600, now);
      list (&agent, 45, CPU_MILLI, CPU_MILLI * 2 / 3, now);
    }
  show (&agent, "a is busy, b is not");
  now += STEP;
  set_load (&agent, 3500, now);
  list (&agent, 20, CPU_MILLI, CPU_MILLI, now);
  show (&agent, "both are busy in a trough of the load");
  now += STEP;
  set_load (&agent, 1600, now);
  list (&agent, 45, CPU_MILLI * 2 / 3, CPU_MILLI * 2 / 3, now);
  show (&agent, "neither is busy");
  gp_agent_finish (&agent);
}

static void
test_distrust (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("a run that stays over its target slows down light ones, too\n");
  begin (&agent, now);
  for (int i = 0; i < 7; i++)
    {
      set_load (&agent, 1600, now);
      list (&agent, 80, CPU_MILLI * 2 / 3, CPU_MILLI * 2 / 3, now);
      if (i == 2)
        show (&agent, "over for 0.5 s");
      now += STEP;
    }
  show (&agent, "over for 1.5 s");
  gp_agent_finish (&agent);
}

/* A run that has ended affects the measurements for another half second.  */
static void
test_gone (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;
  Gp__Jobs__End end = GP__JOBS__END__INIT;
  const gp_agent_row_t left = { SERVING, 1, 30 };
  const gp_agent_ended_filling_t *ended;

  begin (&agent, now);
  for (int i = 0; i < 4; i++)
    list (&agent, 45, CPU_MILLI, CPU_MILLI * 2 / 3, now += STEP);
  end.number = 1;
  end.task = (char *)FILL_A;
  end.run = 1;
  end.how = GP_END_DONE;
  gp_agent_listed (&agent,
                   &(gp_agent_list_t){ .runs = &left,
                                       .run_count = 1,
                                       .ends = &end,
                                       .end_count = 1,
                                       .clock_ms = 5000 + now / GP_MSEC,
                                       .sent_at = now,
                                       .complete = true },
                   now);
  CU_ASSERT_EQUAL_FATAL (agent.ended_fillings->len, 1);
  ended = &g_array_index (agent.ended_fillings, gp_agent_ended_filling_t, 0);
  CU_ASSERT (gp_agent_ended_filling_work (ended, now) > 0.9);
  CU_ASSERT (gp_agent_ended_filling_work (ended, now + STEP) < 0.6);
  CU_ASSERT_EQUAL (gp_agent_ended_filling_work (ended, now + 2 * STEP), 0.0);
  list (&agent, 30, 0, 0, now + 3 * STEP);
  CU_ASSERT_EQUAL (agent.ended_fillings->len, 0);
  gp_agent_finish (&agent);
}

/* Regression test: a long-running run was over its target for its first four
   seconds because of filling runs.  Its load was known only after a second,
   and the plan did not consider it until then.  */
static void
test_unknown_load (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("a run whose load is not known yet is over its target\n");
  begin (&agent, now);
  for (int i = 0; i < 3; i++)
    {
      list (&agent, (int64_t)TARGET_MS * 8, CPU_MILLI, CPU_MILLI, now);
      show (&agent, "so far");
      now += STEP;
    }
  gp_agent_finish (&agent);
}

/* The measurements of a serving run that has just started do not show its
   load.  */
static void
test_warm (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  begin (&agent, now);
  for (int i = 0; i < 4; i++, now += STEP)
    {
      list (&agent, 10, 0, 0, now);
      CU_ASSERT_FALSE (agent.has_measurements);
    }
  list (&agent, 30, 0, 0, now);
  CU_ASSERT_TRUE (agent.has_measurements);
  gp_agent_finish (&agent);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "phases", test_phases }, { "distrust", test_distrust },
          { "gone", test_gone },     { "unknown_load", test_unknown_load },
          { "warm", test_warm },     CU_TEST_INFO_NULL };

  return runner_main ("agent_measure", tests);
}

/* Tests of gp_append_attempts_t: entries whose callers append to one partition
   of a store that is slow, loses answers, is silent or refuses.

   Guards against a slow store that accepts nothing: attempts that an entry has
   given up stay in its queue, and repetitions of what they contain wait behind
   them.  The rules without CONFIRM are played as well, for comparison.  */

#include <glib.h>
#include <stdio.h>

#include "append_world.h"
#include "runner.h"

static void
show (const char *rules, const append_outcome_t *outcome)
{
  printf ("  %s: %u of %u accepted, %u refused, %u open, %u appends", rules,
          outcome->accepted, outcome->arrived, outcome->refused, outcome->open,
          outcome->appends);
  if (outcome->first_refused_at != GP_TIME_NEVER)
    printf (", first refusal after %d ms",
            (int)(outcome->first_refused_at / GP_MSEC));
  printf ("\n");
}

/* Play LOAD by the previous rules, which with CONFIRM off have to be the same,
   and by the new ones.  */
static append_outcome_t
compare (const append_load_t *load, append_outcome_t *previous)
{
  append_outcome_t off = append_world_play (load, APPEND_RULES_OFF);
  append_outcome_t on = append_world_play (load, APPEND_RULES_ON);

  *previous = append_world_play (load, APPEND_RULES_PREVIOUS);
  CU_ASSERT_EQUAL (off.accepted, previous->accepted);
  CU_ASSERT_EQUAL (off.refused, previous->refused);
  CU_ASSERT_EQUAL (off.open, previous->open);
  CU_ASSERT_EQUAL (off.appends, previous->appends);
  CU_ASSERT_EQUAL (off.first_refused_at, previous->first_refused_at);
  printf ("%s\n", load->name);
  show ("previous", previous);
  show ("new", &on);
  return on;
}

static const append_load_t slow
    = { .name = "64 times slower for 6 s, 3 entries",
        .entries = 3,
        .arrivals = 20,
        .begin = 2 * GP_SEC,
        .end = 8 * GP_SEC,
        .slower = 64 };

static void
test_slow (void)
{
  append_load_t many = slow;
  append_outcome_t previous;
  append_outcome_t on = compare (&slow, &previous);

  CU_ASSERT_EQUAL (on.accepted, on.arrived);
  many.name = "the same, 11 entries";
  many.entries = 11;
  many.arrivals = 10;
  on = compare (&many, &previous);
  CU_ASSERT_TRUE (on.accepted > 2 * previous.accepted);
  CU_ASSERT_TRUE (on.open < previous.open);
}

static void
test_lost (void)
{
  append_load_t load = slow;
  append_outcome_t previous, on;

  load.name = "35 of 100 answers lost for 20 s, 3 entries";
  load.end = 22 * GP_SEC;
  load.slower = 1;
  load.lost_percent = 35;
  on = compare (&load, &previous);
  CU_ASSERT_TRUE (on.open <= previous.open);
  CU_ASSERT_TRUE (on.refused <= previous.refused);
  CU_ASSERT_TRUE (on.accepted >= previous.accepted);
}

/* Play LOAD with one entry and 100 phases of its calls at the begin of the
   outage; returns in how many the first refusal comes later than by the
   previous rules.  */
static unsigned
count_later_refusals (append_load_t load)
{
  unsigned later = 0;

  load.entries = 1;
  for (gp_time_t phase = 0; phase < 100; phase++)
    {
      append_outcome_t on, previous;

      load.begin += 8 * GP_MSEC;
      load.slow_before += 8 * GP_MSEC;
      load.end = load.begin + 4 * GP_SEC;
      on = append_world_play (&load, APPEND_RULES_ON);
      previous = append_world_play (&load, APPEND_RULES_PREVIOUS);
      if (on.first_refused_at > previous.first_refused_at
          || on.first_at_once > previous.first_at_once)
        {
          later++;
          fprintf (stderr, "phase %d: %d ms, previous %d ms\n", (int)phase,
                   (int)(on.first_at_once / GP_MSEC),
                   (int)(previous.first_at_once / GP_MSEC));
        }
    }
  return later;
}

static void
test_silent (void)
{
  append_load_t load = slow;
  append_outcome_t previous, on;

  load.name = "silent for 6 s, 3 entries";
  load.slower = 1;
  load.silent = true;
  on = compare (&load, &previous);
  CU_ASSERT_TRUE (on.first_refused_at <= previous.first_refused_at);
  CU_ASSERT_TRUE (on.open <= previous.open);
  CU_ASSERT_EQUAL (count_later_refusals (load), 0);
  load.name = "64 times slower for 4 s, then silent for 6 s";
  load.begin = 6 * GP_SEC;
  load.end = 12 * GP_SEC;
  load.slower = 64;
  load.slow_before = 4 * GP_SEC;
  on = compare (&load, &previous);
  CU_ASSERT_TRUE (on.first_refused_at <= previous.first_refused_at);
  CU_ASSERT_EQUAL (count_later_refusals (load), 0);
}

static void
test_refusing (void)
{
  append_load_t load = slow;
  append_outcome_t previous, on;

  load.name = "refusing for 3 s, 3 entries";
  load.end = 5 * GP_SEC;
  load.slower = 1;
  load.refuses = true;
  on = compare (&load, &previous);
  CU_ASSERT_EQUAL (on.open, 0);
  CU_ASSERT_TRUE (on.first_refused_at <= previous.first_refused_at);
}

/* An append of the first entry gets no answer, and the entry is stopped before
   it reads back.  The caller asks the second one.  */
static void
stop_halfway (const char *what, append_load_t load)
{
  append_world_t *world = append_world_new (&load, APPEND_RULES_ON);
  gp_time_t on_log_at;

  append_world_run_until (world, load.begin);
  append_world_arrive (world, 0);
  append_world_run_until (world, load.begin + 300 * GP_MSEC);
  on_log_at = world->callers[0].on_log_at;
  CU_ASSERT_EQUAL (world->callers[0].status, 0);
  world->entries[0].stopped = true;
  append_world_run_until (world, load.begin + GP_SEC);
  append_world_arrive (world, 1);
  world->callers[1].on_log_at = on_log_at;
  append_world_run_until (world, load.begin + 3 * GP_SEC);
  printf ("  %s: %s, answered with %d\n", what,
          on_log_at == GP_TIME_NEVER ? "not on the log" : "on the log",
          world->callers[1].status);
  CU_ASSERT_EQUAL (world->callers[1].status, 200);
  append_world_free (world);
}

/* Guards against answers about a job that is neither known to the next entry
   nor appended by it.  */
static void
test_stopped (void)
{
  append_load_t load = { .entries = 2,
                         .begin = GP_SEC,
                         .end = GP_SEC + 10 * GP_MSEC,
                         .slower = 1,
                         .lost_percent = 100 };

  printf ("an entry is stopped before it reads back\n");
  stop_halfway ("the answer was lost", load);
  load.silent = true;
  stop_halfway ("the append was lost", load);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "slow", test_slow },       { "lost", test_lost },
          { "silent", test_silent },   { "refusing", test_refusing },
          { "stopped", test_stopped }, CU_TEST_INFO_NULL };

  return runner_main ("append_attempts", tests);
}

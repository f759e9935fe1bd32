/* Random histories in virtual time in which the starts of a task that crashes
   its executors go unanswered several times before the run begins.

   Guards against starting such a task six times or more.  Its run had begun
   just before the crash, but as its first start was old, its guard told it
   neither as one that had just begun nor as one that may have; and if the
   guard was lost as well, the leader took the run for settled.  */

#include "late_world.h"
#include "runner.h"

#include <stdio.h>

#define SEEDS 100
/* The task crashes three executors, and two more starts are allowed until that
   is noticed.  */
#define STARTS_MAX 5
#define FAULTY_TIME (25 * GP_SEC)
/* It has to be given up within this time after the last fault.  */
#define GIVE_UP_LIMIT (60 * GP_SEC)

/* The range of seeds; the command line can set another one.  */
static guint32 first_seed = 1;
static guint32 seed_count = SEEDS;

static void
check_outcome (const late_world_t *world, unsigned faults, guint32 seed)
{
  if (world->starts > STARTS_MAX || !late_world_gave_up (world)
      || late_world_failed (world) > 0)
    fprintf (stderr,
             "faults %u seed %u: %u starts, given up %d, %u others failed\n",
             faults, seed, world->starts, late_world_gave_up (world),
             late_world_failed (world));
  CU_ASSERT (late_world_gave_up (world));
  CU_ASSERT (world->starts <= STARTS_MAX);
  CU_ASSERT (late_world_failed (world) == 0);
  CU_ASSERT (world->double_starts == 0);
}

static void
play_seeds (unsigned faults)
{
  for (guint32 seed = first_seed; seed < first_seed + seed_count; seed++)
    {
      late_world_t world;

      late_world_init (&world, seed, faults);
      late_world_run (&world, FAULTY_TIME, true);
      for (gp_time_t left = GIVE_UP_LIMIT;
           left > 0 && !late_world_gave_up (&world); left -= GP_SEC)
        late_world_run (&world, GP_SEC, false);
      check_outcome (&world, faults, seed);
      late_world_finish (&world);
    }
}

static void
test_quiet (void)
{
  play_seeds (LATE_CULPRIT);
}

static void
test_busy (void)
{
  play_seeds (LATE_CULPRIT | LATE_BUSY);
}

/* No guard is left to tell when a run had begun, and the leader may not take
   it for settled because its order is old.  */
static void
test_guards (void)
{
  play_seeds (LATE_CULPRIT_LONG | LATE_GUARDS_AT_CRASHES);
}

/* usage: test_late_repeats [FIRST SEEDS]  */
int
main (int argc, char **argv)
{
  static CU_TestInfo tests[] = { { "quiet", test_quiet },
                                 { "busy", test_busy },
                                 { "guards", test_guards },
                                 CU_TEST_INFO_NULL };

  if (argc == 3)
    {
      first_seed = (guint32)g_ascii_strtoull (argv[1], NULL, 10);
      seed_count = (guint32)g_ascii_strtoull (argv[2], NULL, 10);
    }
  return runner_main ("late, repeated", tests);
}

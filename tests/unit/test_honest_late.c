/* Random histories in virtual time in which executors crash by themselves,
   never sooner than 150 ms after a run has begun on them, and carry out most
   starts late for some seconds after each crash.  No task crashes them, and
   none may be given up for it.  */

#include "late_world.h"
#include "runner.h"

#include <stdio.h>

#define SEEDS 100
#define FAULTY_TIME (25 * GP_SEC)

/* The range of seeds; the command line can set another one.  */
static guint32 first_seed = 1;
static guint32 seed_count = SEEDS;

static void
test_starts (void)
{
  for (guint32 seed = first_seed; seed < first_seed + seed_count; seed++)
    {
      late_world_t world;

      late_world_init (&world, seed,
                       LATE_CRASHES | LATE_STARTS | LATE_NO_CULPRIT);
      late_world_run (&world, FAULTY_TIME, true);
      if (late_world_failed (&world) > 0)
        fprintf (stderr, "seed %u: %u failed\n", seed,
                 late_world_failed (&world));
      CU_ASSERT (late_world_failed (&world) == 0);
      CU_ASSERT (world.double_starts == 0);
      late_world_finish (&world);
    }
}

/* usage: test_honest_late [FIRST SEEDS]  */
int
main (int argc, char **argv)
{
  static CU_TestInfo tests[]
      = { { "starts", test_starts }, CU_TEST_INFO_NULL };

  if (argc == 3)
    {
      first_seed = (guint32)g_ascii_strtoull (argv[1], NULL, 10);
      seed_count = (guint32)g_ascii_strtoull (argv[2], NULL, 10);
    }
  return runner_main ("honest, late", tests);
}

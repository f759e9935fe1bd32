/* Random histories of decisions, records, orders and lists across several
   leaders, in virtual time.  One task crashes its executors, among others that
   do not, while records are delayed, starts are carried out late, guards are
   killed and leaders change.  */

#include "late_world.h"
#include "runner.h"

#include <stdio.h>

#define SEEDS 60
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
      if (world.starts > STARTS_MAX || !late_world_gave_up (&world))
        fprintf (stderr, "faults %u seed %u: %u starts, given up %d\n", faults,
                 seed, world.starts, late_world_gave_up (&world));
      CU_ASSERT (late_world_gave_up (&world));
      CU_ASSERT (world.starts <= STARTS_MAX);
      CU_ASSERT (late_world_failed (&world) == 0);
      CU_ASSERT (world.double_starts == 0);
      late_world_finish (&world);
    }
}

static void
test_none (void)
{
  play_seeds (0);
}

static void
test_records (void)
{
  play_seeds (LATE_RECORDS);
}

static void
test_starts (void)
{
  play_seeds (LATE_STARTS);
}

static void
test_guards (void)
{
  play_seeds (LATE_GUARDS | LATE_RECORDS);
}

static void
test_leaders (void)
{
  play_seeds (LATE_LEADERS | LATE_RECORDS);
}

static void
test_all (void)
{
  play_seeds (LATE_LEADERS | LATE_GUARDS | LATE_RECORDS | LATE_STARTS);
}

/* usage: test_late_random [FIRST SEEDS]  */
int
main (int argc, char **argv)
{
  static CU_TestInfo tests[] = { { "none", test_none },
                                 { "records", test_records },
                                 { "starts", test_starts },
                                 { "guards", test_guards },
                                 { "leaders", test_leaders },
                                 { "all", test_all },
                                 CU_TEST_INFO_NULL };

  if (argc == 3)
    {
      first_seed = (guint32)g_ascii_strtoull (argv[1], NULL, 10);
      seed_count = (guint32)g_ascii_strtoull (argv[2], NULL, 10);
    }
  return runner_main ("late, random", tests);
}

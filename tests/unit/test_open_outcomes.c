/* Jobs whose outcome an answer has left open.  */

#include <stdio.h>

#include "jobs/open_outcomes.h"
#include "runner.h"

#define CROWD 12000

static void
add (gp_open_outcomes_t *outcomes, unsigned number, gp_time_t now)
{
  char id[17];

  g_snprintf (id, sizeof id, "%016x", number);
  gp_open_outcomes_add (outcomes, id, now);
}

/* Guards against the answer that a job never runs, after a crowd of open
   outcomes has displaced that of the job.  */
static void
test_crowd (void)
{
  gp_open_outcomes_t outcomes;
  const char *first = "0000000000000000";

  gp_open_outcomes_init (&outcomes);
  CU_ASSERT_FALSE (gp_open_outcomes_may_contain (&outcomes, first, GP_SEC));
  for (unsigned i = 0; i < CROWD; i++)
    {
      add (&outcomes, i, GP_SEC);
      CU_ASSERT_TRUE (gp_open_outcomes_may_contain (&outcomes, first, GP_SEC));
      CU_ASSERT_TRUE (g_hash_table_size (outcomes.ids)
                      <= GP_OPEN_OUTCOMES_MAX);
    }
  CU_ASSERT_TRUE (gp_open_outcomes_may_contain (&outcomes, first,
                                                GP_OPEN_OUTCOMES_REPEAT_TIME));
  CU_ASSERT_FALSE (gp_open_outcomes_may_contain (
      &outcomes, first, GP_SEC + GP_OPEN_OUTCOMES_REPEAT_TIME));
  gp_open_outcomes_finish (&outcomes);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "crowd", test_crowd }, CU_TEST_INFO_NULL };

  return runner_main ("open_outcomes", tests);
}

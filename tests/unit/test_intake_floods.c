/* Tests that what is accepted in a flood is done while of use.  Guards against
   entries that all accept work before the leader's next record shows it.  */

#include <glib.h>
#include <stdio.h>

#include "base/log.h"
#include "intake_world.h"
#include "runner.h"

/* A queue that submits forty times the usual for some seconds, again and
   again.  */
static void
test_flood (void)
{
  const intake_load_t loads[] = {
    { INTAKE_QUICK, 0, 60, INTAKE_QUICK_RATE, 0 },
    { INTAKE_BATCH, 5, 8, INTAKE_BATCH_RATE * 40, 0 },
    { INTAKE_BATCH, 25, 28, INTAKE_BATCH_RATE * 40, 0 },
    { INTAKE_BATCH, 45, 48, INTAKE_BATCH_RATE * 40, 0 },
  };
  intake_series_t series = INTAKE_SERIES (loads, 1);

  printf ("a queue that floods\n");
  intake_world_play ("with admission", true, &series);
  intake_world_check_kept (&series);
}

/* Quick jobs at ten times the usual take the processors that accepted batch
   work has counted on.  */
static void
test_quick_flood (void)
{
  const intake_load_t loads[] = {
    { INTAKE_QUICK, 0, 60, INTAKE_QUICK_RATE, 0 },
    { INTAKE_QUICK, 10, 20, INTAKE_QUICK_RATE * 9, 0 },
    { INTAKE_BATCH, 0, 60, INTAKE_BATCH_RATE * 2.4, 0 },
  };
  intake_series_t series = INTAKE_SERIES (loads, 1);

  printf ("batch beside a flood of quick jobs\n");
  intake_world_play ("with admission", true, &series);
  intake_world_check_kept (&series);
}

static CU_TestInfo tests[] = { { "flood", test_flood },
                               { "quick flood", test_quick_flood },
                               CU_TEST_INFO_NULL };

int
main (void)
{
  gp_log_init ("test", GP_LOG_ERROR);
  return runner_main ("intake floods", tests);
}

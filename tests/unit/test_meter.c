/* Tests of the data rate meter.  */

#include "runner.h"
#include "transport/meter.h"

static void
test_rate (void)
{
  gp_meter_t meter = { 0 };
  gp_time_t now = 100 * GP_SEC;

  CU_ASSERT_EQUAL (gp_meter_rate (&meter, now), 0);
  /* 100 bytes every 100 ms.  */
  for (int i = 0; i < 20; i++)
    gp_meter_add (&meter, 100, now + (gp_time_t)i * 100 * GP_MSEC);
  now += 2 * GP_SEC;
  CU_ASSERT_EQUAL (gp_meter_rate (&meter, now), 1000);
  /* Without further bytes the rate is 0 after at most two windows; here it
     takes one.  */
  CU_ASSERT_EQUAL (gp_meter_rate (&meter, now + GP_METER_WINDOW), 0);
  gp_meter_add (&meter, 50, now + GP_METER_WINDOW);
  CU_ASSERT_EQUAL (gp_meter_rate (&meter, now + GP_METER_WINDOW), 100);
  CU_ASSERT_EQUAL (gp_meter_rate (&meter, now + 20 * GP_SEC), 0);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "rate", test_rate }, CU_TEST_INFO_NULL };

  return runner_main ("meter", tests);
}

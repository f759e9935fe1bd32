/* Tests of headroom tracks: an oscillation of unknown period is followed and
   predicted from noisy measurements, better than by the last value.  */

#include <glib.h>
#include <math.h>
#include <stdio.h>

#include "jobs/headroom.h"
#include "runner.h"

#define MEAN 2.7
#define AMPLITUDE 1.1
#define STEP (100 * GP_MSEC)
#define PREDICTION_TIME (1500 * GP_MSEC)

/* Returns the headroom at WHEN of an oscillation with PERIOD, in seconds, and
   PHASE.  */
static double
truth (gp_time_t when, double period, double phase)
{
  double seconds = (double)when / GP_SEC;

  return MEAN + AMPLITUDE * sin (2.0 * G_PI * seconds / period + phase);
}

/* Root mean square errors, 1.5 s ahead, of the track and of the last
   measurement as a prediction.  */
typedef struct
{
  double track;
  double last;
} errors_t;

static errors_t
measure_errors (double period, double phase, GRand *random)
{
  gp_headroom_t track;
  errors_t sums = { 0.0, 0.0 };
  unsigned count = 0;

  gp_headroom_init (&track);
  for (int i = 1; i <= 400; i++)
    {
      gp_time_t now = i * STEP;
      double value = truth (now, period, phase)
                     * (1.0 + g_rand_double_range (random, -0.08, 0.08));
      double ahead = truth (now + PREDICTION_TIME, period, phase);

      gp_headroom_update (&track, value, gp_headroom_noise (value), now);
      if (i <= 150)
        continue;
      sums.track
          += pow (gp_headroom_at (&track, now + PREDICTION_TIME) - ahead, 2.0);
      sums.last += pow (value - ahead, 2.0);
      count++;
    }
  return (errors_t){ sqrt (sums.track / count), sqrt (sums.last / count) };
}

static void
test_foresee (void)
{
  static const double periods[] = { 6.0, 8.5, 10.0, 12.0, 14.0, 17.0, 24.0 };
  GRand *random = g_rand_new_with_seed (11);

  for (size_t i = 0; i < G_N_ELEMENTS (periods); i++)
    for (int j = 0; j < 4; j++)
      {
        errors_t errors = measure_errors (
            periods[i], g_rand_double_range (random, 0.0, 6.28), random);

        CU_ASSERT (errors.track < 0.3);
        CU_ASSERT (errors.track < errors.last / 2.0);
      }
  g_rand_free (random);
}

static void
test_unknown (void)
{
  gp_headroom_t track;

  gp_headroom_init (&track);
  CU_ASSERT_FALSE (gp_headroom_is_known (&track));
  CU_ASSERT_EQUAL (gp_headroom_at (&track, GP_SEC), GP_HEADROOM_PRIOR);
  CU_ASSERT_EQUAL (gp_headroom_slope_at (&track, GP_SEC), 0.0);
  gp_headroom_update (&track, 3.5, 0.01, GP_SEC);
  CU_ASSERT (gp_headroom_is_known (&track));
  CU_ASSERT (fabs (gp_headroom_at (&track, GP_SEC) - 3.5) < 0.05);
}

/* After minutes without measurements a track follows the next one at once.  */
static void
test_pause (void)
{
  gp_headroom_t track;

  gp_headroom_init (&track);
  gp_headroom_update (&track, 3.5, 0.01, GP_SEC);
  gp_headroom_update (&track, 1.7, 0.01, 300 * GP_SEC);
  CU_ASSERT (isfinite (gp_headroom_at (&track, 301 * GP_SEC)));
  CU_ASSERT (fabs (gp_headroom_at (&track, 300 * GP_SEC) - 1.7) < 0.2);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "foresee", test_foresee },
                                 { "unknown", test_unknown },
                                 { "pause", test_pause },
                                 CU_TEST_INFO_NULL };

  return runner_main ("headroom", tests);
}

/* Tests of pressure and pacing: weights are recovered from noisy measurements,
   and the pacer slows only images that interfere.  */

#include <glib.h>
#include <math.h>
#include <stdio.h>

#include "jobs/pacer.h"
#include "runner.h"

#define RUNS 5
#define STEP (300 * GP_MSEC)

static const double truth[] = { 0.9, 0.0, 0.4 };

/* Measures a run at step I, with random busy work on its executor, and learns
   from it.  The headroom oscillates between 1.6 and 3.8 with a period of 14
   s.  */
static void
measure (gp_pressure_t *pressure, gp_headroom_t *load, int i, GRand *random)
{
  gp_time_t now = GP_SEC + i / RUNS * STEP + i % RUNS * GP_MSEC;
  gp_pressure_work_t work = { { 0.0 } };
  double headroom
      = 2.7 + 1.1 * sin (2.0 * G_PI * (double)now / (14.0 * GP_SEC));

  for (int f = 0; f < 3; f++)
    {
      work.work[f] = MAX (0, g_rand_int_range (random, -1, 2));
      headroom -= truth[f] * work.work[f];
    }
  headroom *= 1.0 + g_rand_double_range (random, -0.08, 0.08);
  gp_pressure_learn (pressure, "s", &work, headroom, load, now);
}

static double
worst_error (const gp_pressure_t *pressure)
{
  double worst = 0.0;

  for (unsigned f = 0; f < 3; f++)
    worst = fmax (worst,
                  fabs (gp_pressure_weight (pressure, "s", f) - truth[f]));
  return worst;
}

static void
test_learn (void)
{
  gp_pressure_t pressure;
  gp_headroom_t load;
  GRand *random = g_rand_new_with_seed (7);

  gp_pressure_init (&pressure);
  gp_headroom_init (&load);
  gp_pressure_image_index (&pressure, "a");
  gp_pressure_image_index (&pressure, "b");
  gp_pressure_image_index (&pressure, "c");
  for (int i = 0; i < 600; i++)
    measure (&pressure, &load, i, random);
  CU_ASSERT (worst_error (&pressure) < 0.12);
  CU_ASSERT_EQUAL (gp_pressure_weight (&pressure, "other", 0),
                   GP_PRESSURE_PRIOR);
  gp_pressure_finish (&pressure);
  g_rand_free (random);
}

/* The headroom of an overloaded run only shows that much was taken.  */
static void
test_overloaded (void)
{
  gp_pressure_t pressure;
  gp_headroom_t load;
  gp_pressure_work_t none = { { 0.0 } };
  gp_pressure_work_t busy = { { 1.0 } };

  gp_pressure_init (&pressure);
  gp_headroom_init (&load);
  gp_pressure_image_index (&pressure, "a");
  for (int i = 1; i <= 20; i++)
    gp_pressure_learn (&pressure, "s", &none, 2.0, &load, i * STEP);
  for (int i = 21; i <= 30; i++)
    gp_pressure_learn (&pressure, "s", &busy, 0.01, &load, i * STEP);
  CU_ASSERT (gp_pressure_weight (&pressure, "s", 0) > 1.5);
  CU_ASSERT (gp_headroom_at (&load, 30 * STEP) > 1.5);
  gp_pressure_finish (&pressure);
}

/* Guards against weights that become NaN when they are set repeatedly, as the
   leader sets those of a guard, while learning continues.  If the covariances
   of a weight remained when it was set, variances became negative and the
   weights NaN, which from then on counted as no weight.  */
static void
test_set_while_learning (void)
{
  gp_pressure_t pressure;
  gp_headroom_t load;
  gp_pressure_work_t none = { { 0.0 } };
  gp_pressure_work_t both = { { 1.0, 1.0 } };

  gp_pressure_init (&pressure);
  gp_headroom_init (&load);
  gp_pressure_image_index (&pressure, "a");
  gp_pressure_image_index (&pressure, "b");
  for (int i = 1; i <= 40; i++)
    gp_pressure_learn (&pressure, "s", &none, 2.0, &load, i * STEP);
  for (int i = 41; i <= 200; i++)
    {
      gp_pressure_learn (&pressure, "s", &both, i % 2 == 0 ? 0.7 : 0.9, &load,
                         i * STEP);
      if (i % 12 == 0)
        for (unsigned f = 0; f < 2; f++)
          gp_pressure_set (&pressure, "s", f, 0.6);
      for (unsigned f = 0; f < 2; f++)
        CU_ASSERT (fabs (gp_pressure_weight (&pressure, "s", f) - 0.6) < 0.3);
    }
  gp_pressure_finish (&pressure);
}

static void
print_paces (gp_pacer_t *pacer, double headroom, double missed, double over)
{
  const gp_pacer_serving_t serving = { "s", headroom, missed, over };
  gp_pressure_work_t busy = { { 2.0, 2.0 } };

  gp_pacer_update (pacer, &serving, 1, &busy);
  printf ("  headroom %.2f, %.2f missed, over %.1f s: harmful %u %%, "
          "harmless %u %%\n",
          headroom, missed, over, gp_pacer_pace (pacer, "harmful"),
          gp_pacer_pace (pacer, "harmless"));
}

static void
test_pace (void)
{
  gp_pacer_t pacer;
  gp_pressure_work_t none = { { 0.0 } };

  printf ("the image that presses is slowed down\n");
  gp_pacer_init (&pacer);
  gp_pressure_set (&pacer.pressure, "s",
                   gp_pressure_image_index (&pacer.pressure, "harmful"), 0.6);
  gp_pressure_set (&pacer.pressure, "s",
                   gp_pressure_image_index (&pacer.pressure, "harmless"),
                   0.02);
  print_paces (&pacer, 3.50, 0.0, 0.0);
  print_paces (&pacer, 1.90, 0.0, 0.0);
  print_paces (&pacer, 1.40, 0.0, 0.0);
  print_paces (&pacer, 0.60, 0.0, 0.0);
  print_paces (&pacer, 3.50, 1.6, 0.0);
  print_paces (&pacer, 1.40, 0.7, 0.0);
  print_paces (&pacer, 1.40, 0.0, 2.0);
  print_paces (&pacer, 1.40, 0.0, 4.0);
  print_paces (&pacer, 0.60, 0.0, 2.0);
  print_paces (&pacer, 3.50, 0.0, 0.0);
  gp_pacer_update (&pacer, NULL, 0, &none);
  printf ("  nothing serves: %u %%\n", gp_pacer_pace (&pacer, "harmful"));
  gp_pacer_finish (&pacer);
}

/* Guards against an endless loop in the pacer: with a weight whose quotient
   and product do not cancel, an excess shrank to the smallest positive number
   and never reached zero.  */
static void
test_tiny_excess (void)
{
  gp_pacer_t pacer;
  gp_pressure_work_t busy = { { 1.0 } };
  gp_pacer_serving_t serving = { "s", 0.0, 0.0, 0.0 };

  gp_pacer_init (&pacer);
  gp_pressure_set (&pacer.pressure, "s",
                   gp_pressure_image_index (&pacer.pressure, "f"), 2.101);
  for (int i = 0; i < 20000; i++)
    {
      serving.headroom = 3.0 + i * 1e-5 + i * 1e-13;
      gp_pacer_update (&pacer, &serving, 1, &busy);
    }
  CU_ASSERT_EQUAL (gp_pacer_pace (&pacer, "f"), GP_PACER_FULL_SPEED);
  gp_pacer_finish (&pacer);
}

/* Guards against not slowing down an image that is considered harmless, while
   a serving run on the same executor stays over its target.  */
static void
test_no_weight (void)
{
  gp_pacer_t pacer;
  gp_pressure_work_t busy = { { 1.0 } };
  gp_pacer_serving_t serving = { "s", 2.0, 1.2, 0.5 };

  gp_pacer_init (&pacer);
  gp_pressure_set (&pacer.pressure, "s",
                   gp_pressure_image_index (&pacer.pressure, "f"), 0.0);
  gp_pacer_update (&pacer, &serving, 1, &busy);
  CU_ASSERT_EQUAL (gp_pacer_pace (&pacer, "f"), GP_PACER_FULL_SPEED);
  serving.over_target_s = 2.0;
  gp_pacer_update (&pacer, &serving, 1, &busy);
  CU_ASSERT_EQUAL (gp_pacer_pace (&pacer, "f"), 0);
  gp_pacer_finish (&pacer);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "learn", test_learn },
          { "overloaded", test_overloaded },
          { "set while learning", test_set_while_learning },
          { "pace", test_pace },
          { "no weight", test_no_weight },
          { "tiny excess", test_tiny_excess },
          CU_TEST_INFO_NULL };

  return runner_main ("pressure", tests);
}

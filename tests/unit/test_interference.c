/* Tests of residency, compared with a direct summation, and of
   interference estimates, compared with the coefficients from which the
   measurements were generated.  */

#include "runner.h"

#include <math.h>
#include <stdio.h>

#include "coordination/interference.h"
#include "coordination/residency.h"

enum
{
  CHANGES = 300,
  KINDS = 6,
  MEASUREMENTS = 400
};

static void
test_residency_transcript (void)
{
  gp_residency_t residency;
  double mean[GP_RESIDENCY_KINDS];

  gp_residency_init (&residency, 0);
  gp_residency_change (&residency, 1, GP_RESIDENCY_UNTHROTTLED, 10);
  gp_residency_change (&residency, 1, GP_RESIDENCY_UNTHROTTLED, 20);
  gp_residency_change (&residency, 1,
                       GP_RESIDENCY_THROTTLED - GP_RESIDENCY_UNTHROTTLED, 30);
  gp_residency_change (&residency, 500, GP_RESIDENCY_UNTHROTTLED, 40);
  for (gp_time_t from = 0; from <= 40; from += 10)
    {
      CU_ASSERT_TRUE (gp_residency_mean (&residency, from, from + 20, mean));
      printf ("%ld to %ld: %.3f of kind 1, %.3f of others\n", (long)from,
              (long)from + 20, mean[1], mean[GP_RESIDENCY_KINDS - 1]);
    }
  CU_ASSERT_FALSE (gp_residency_mean (&residency, -1, 20, mean));
}

/* Returns the mean of KIND from FROM to TO by summing over every
   microsecond.  */
static double
naive_mean (const gp_residency_change_t *changes, unsigned int n,
            uint16_t kind, gp_time_t from, gp_time_t to)
{
  double sum = 0.0;

  for (gp_time_t t = from; t < to; t++)
    for (unsigned int i = 0; i < n && changes[i].time <= t; i++)
      if (changes[i].kind == kind)
        sum += changes[i].quarters;
  return sum / (double)(to - from) / GP_RESIDENCY_UNTHROTTLED;
}

static void
test_residency_twin (void)
{
  GRand *random = g_rand_new_with_seed (3);
  gp_residency_change_t changes[CHANGES];
  gp_residency_t residency;
  gp_time_t now = 0;
  unsigned int answered = 0;

  gp_residency_init (&residency, 0);
  for (unsigned int i = 0; i < CHANGES; i++)
    {
      uint16_t kind = (uint16_t)g_rand_int_range (random, 0, KINDS);
      gp_time_t to;
      gp_time_t from;
      double mean[GP_RESIDENCY_KINDS];

      now += g_rand_int_range (random, 0, 10);
      changes[i] = (gp_residency_change_t){ now, kind, i % 3 == 2 ? -4 : 4 };
      gp_residency_change (&residency, kind, changes[i].quarters, now);
      to = now + 5 - g_rand_int_range (random, 0, 200);
      from = to - g_rand_int_range (random, 1, 100);
      if (!gp_residency_mean (&residency, from, to, mean))
        continue;
      answered++;
      for (unsigned int k = 0; k < KINDS; k++)
        CU_ASSERT_DOUBLE_EQUAL (
            mean[k], naive_mean (changes, i + 1, (uint16_t)k, from, to), 1e-9);
    }
  CU_ASSERT_TRUE (answered > CHANGES / 2);
  g_rand_free (random);
}

/* A worker with known residents, measured with noise.  */
typedef struct
{
  gp_interference_t interference;
  gp_worker_t worker;
  gp_resident_t residents[KINDS];
} fixture_t;

static const double truth[KINDS + 2]
    = { 0.4, 0.2, 0.0, 0.01, 0.03, 0.06, 0.1, 0.2 };

static void
fixture_init (fixture_t *f)
{
  gp_interference_init (&f->interference, &GP_INTERFERENCE_DEFAULTS);
  gp_worker_init (&f->worker);
  f->worker.service = 0;
  f->worker.residents = f->residents;
}

/* Adds one measurement with random residents, all of which left after the
   measured interval.  */
static void
fixture_measure (fixture_t *f, GRand *random)
{
  gp_residency_t residency;
  double load = g_rand_double (random);
  double ratio = 0.05 * (g_rand_double (random) - 0.5);
  int counts[KINDS];

  gp_residency_init (&residency, 0);
  ratio += truth[0] + truth[1] * load;
  for (unsigned int k = 0; k < KINDS; k++)
    {
      int count = g_rand_int_range (random, 0, 4);

      ratio += truth[k + 2] * count * (1.0 + load);
      counts[k] = count * GP_RESIDENCY_UNTHROTTLED;
      gp_residency_change (&residency, (uint16_t)k, counts[k], 0);
    }
  for (unsigned int k = 0; k < KINDS; k++)
    gp_residency_change (&residency, (uint16_t)k, -counts[k], 10 * GP_SEC);
  CU_ASSERT_TRUE (gp_interference_measure (
      &f->interference, 0, load, &residency, GP_SEC, 2 * GP_SEC, ratio));
}

static void
fixture_finish (fixture_t *f)
{
  gp_interference_finish (&f->interference);
  g_free (f);
}

static void
test_learning (void)
{
  fixture_t *f = g_new0 (fixture_t, 1);
  GRand *random = g_rand_new_with_seed (5);
  gp_interference_estimate_t before;

  fixture_init (f);
  before = gp_interference_slope (&f->interference, 0, 3);
  for (unsigned int i = 0; i < MEASUREMENTS; i++)
    fixture_measure (f, random);
  for (unsigned int k = 0; k < KINDS; k++)
    {
      gp_interference_estimate_t slope
          = gp_interference_slope (&f->interference, 0, (uint16_t)k);

      printf ("kind %u: slope %.2f, truth %.2f\n", k, slope.mean,
              truth[k + 2]);
      CU_ASSERT_DOUBLE_EQUAL (slope.mean, truth[k + 2], 0.01);
      CU_ASSERT_TRUE (slope.deviation < before.deviation / 4.0);
    }
  CU_ASSERT_EQUAL (
      gp_interference_slope (&f->interference, 0, KINDS).deviation,
      before.deviation);
  fixture_finish (f);
  g_rand_free (random);
}

/* Harm increases with the slope and with the present ratio, and is nearly
   zero where the ratio is low.  */
static void
test_harm (void)
{
  fixture_t *f = g_new0 (fixture_t, 1);
  GRand *random = g_rand_new_with_seed (6);

  fixture_init (f);
  printf ("no model: %.4f\n",
          gp_interference_harm (&f->interference, &f->worker, 0));
  for (unsigned int i = 0; i < MEASUREMENTS; i++)
    fixture_measure (f, random);
  for (uint16_t count = 0; count < 4; count++)
    {
      f->residents[0] = (gp_resident_t){ 5, count };
      f->worker.n_residents = count > 0;
      printf ("%u of kind 5: ratio %.2f, harm of one more of kind", count,
              gp_interference_predict (&f->interference, &f->worker).mean);
      for (unsigned int kind = 0; kind < KINDS; kind++)
        printf (" %.2f", gp_interference_harm (&f->interference, &f->worker,
                                               (uint16_t)kind));
      printf (", unknown %.2f\n",
              gp_interference_harm (&f->interference, &f->worker, 40));
    }
  f->worker.service = GP_SERVICE_NONE;
  CU_ASSERT_EQUAL (gp_interference_harm (&f->interference, &f->worker, 5),
                   0.0);
  fixture_finish (f);
  g_rand_free (random);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "residency transcript", test_residency_transcript },
          { "residency twin", test_residency_twin },
          { "learning", test_learning },
          { "harm", test_harm },
          CU_TEST_INFO_NULL };

  return runner_main ("interference", tests);
}

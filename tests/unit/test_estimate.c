/* Tests of the estimates: learned sizes, and quantiles compared with the
   exact quantiles of the same values.  */

#include "runner.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "coordination/estimate.h"

enum
{
  VALUES = 2000
};

static const gp_resources_t declared = { 1000, 2000, 1 };
static const gp_resources_t largest = { 16000, 60000, 2 };

static void
print_reservation (const char *what, const gp_estimate_t *estimate)
{
  gp_resources_t r = gp_estimate_reservation (estimate, &declared, &largest);

  printf ("%s: %u millicores %u MiB %u accelerators, run time %ld ms\n", what,
          r.millicores, r.memory_mib, r.accelerators,
          (long)(gp_estimate_run_time (estimate, GP_ESTIMATE_EXPECTED_QUANTILE,
                                       60 * GP_SEC)
                 / GP_MSEC));
}

static void
observe (gp_estimate_t *estimate, unsigned int n, uint32_t millicores,
         uint32_t memory_mib, gp_time_t run_time)
{
  gp_resources_t peak = { millicores, memory_mib, 1 };

  for (unsigned int i = 0; i < n; i++)
    {
      gp_estimate_observe_use (estimate, &peak);
      gp_estimate_observe_run (estimate, run_time);
    }
}

static void
test_transcript (void)
{
  gp_estimate_t estimate;
  gp_resources_t use = { 3000, 1500, 1 };
  gp_resources_t raised = gp_estimate_raise (&declared, &use);

  gp_estimate_init (&estimate);
  observe (&estimate, GP_ESTIMATE_MIN_SAMPLES - 1, 3000, 1500, 5 * GP_SEC);
  print_reservation ("too few", &estimate);
  observe (&estimate, 1, 3000, 1500, 5 * GP_SEC);
  print_reservation ("enough", &estimate);
  observe (&estimate, 100, 40000, 1500, 5 * GP_SEC);
  print_reservation ("larger than any worker", &estimate);
  observe (&estimate, 20000, 700, 500, GP_SEC);
  print_reservation ("smaller for long", &estimate);
  printf ("raised: %u millicores %u MiB\n", raised.millicores,
          raised.memory_mib);
  CU_ASSERT_EQUAL (gp_estimate_latest_start (&estimate, GP_TIME_NEVER, GP_SEC),
                   GP_TIME_NEVER);
}

static int
compare (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return (x > y) - (x < y);
}

static void
test_quantiles (void)
{
  static const double wanted[] = { 0.1, 0.5, 0.9, 0.95, 1.0 };
  GRand *random = g_rand_new_with_seed (11);
  uint64_t values[VALUES];
  gp_estimate_histogram_t histogram = { .total = 0 };

  for (unsigned int i = 0; i < VALUES; i++)
    {
      values[i] = (1U << g_rand_int_range (random, 0, 30))
                  + g_rand_int (random) % 1000;
      gp_estimate_histogram_add (&histogram, values[i]);
    }
  qsort (values, VALUES, sizeof values[0], compare);
  for (unsigned int i = 0; i < G_N_ELEMENTS (wanted); i++)
    {
      uint64_t exact = values[(int)(wanted[i] * VALUES) - 1];
      uint64_t found = gp_estimate_histogram_quantile (&histogram, wanted[i]);

      CU_ASSERT_TRUE (found >= exact);
      CU_ASSERT_TRUE (found <= exact + exact / 4 + 1);
    }
  g_rand_free (random);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "transcript", test_transcript },
                                 { "quantiles", test_quantiles },
                                 CU_TEST_INFO_NULL };

  return runner_main ("estimate", tests);
}

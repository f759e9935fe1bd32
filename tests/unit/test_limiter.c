/* Tests of the token bucket, compared with one that counts tokens.  */

#include <glib.h>

#include "coordination/limiter.h"
#include "runner.h"

enum
{
  SEEDS = 20,
  STEPS = 5000
};

/* Reference implementation: counts millionths of tokens and refills on
   each call.  */
typedef struct
{
  int64_t rate;
  int64_t burst;
  int64_t millionths;
  gp_time_t at;
} bucket_t;

static bool
bucket_take (bucket_t *bucket, int64_t count, gp_time_t now)
{
  bucket->millionths += (now - bucket->at) * bucket->rate;
  bucket->millionths = MIN (bucket->millionths, bucket->burst * 1000000);
  bucket->at = now;
  if (bucket->millionths < count * 1000000)
    return false;
  bucket->millionths -= count * 1000000;
  return true;
}

static void
test_differential (void)
{
  /* Rates for which a token takes a whole number of nanoseconds.  */
  static const int64_t rates[] = { 1, 5, 40, 1000, 12500 };

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      bucket_t reference = { .rate = rates[seed % G_N_ELEMENTS (rates)],
                             .burst = g_rand_int_range (random, 1, 30) };
      gp_limiter_t limiter;
      gp_time_t now = 1;
      int wrong = 0;

      reference.millionths = reference.burst * 1000000;
      gp_limiter_init (&limiter, (double)reference.rate,
                       (uint32_t)reference.burst);
      for (int step = 0; step < STEPS; step++)
        {
          int count = g_rand_int_range (random, 1, 4);
          gp_time_t ready = gp_limiter_ready_at (&limiter, count, now);
          bool taken = gp_limiter_take (&limiter, count, now);

          wrong += taken != bucket_take (&reference, count, now);
          wrong += taken != (ready == now);
          now += g_rand_int_range (random, 0,
                                   (gint32)(3000000 / reference.rate));
          if (!taken && ready != GP_TIME_NEVER && step % 2 == 0)
            {
              wrong += bucket_take (&reference, count, ready - 1);
              wrong += !bucket_take (&reference, count, ready);
              wrong += !gp_limiter_take (&limiter, count, ready);
              now = MAX (now, ready);
            }
        }
      CU_ASSERT_EQUAL (wrong, 0);
      g_rand_free (random);
    }
}

static void
test_all_or_none (void)
{
  gp_limiter_t team;
  gp_limiter_t work_class;
  gp_limiter_t *both[] = { &team, &work_class };
  gp_time_t retry_at;

  gp_limiter_init (&team, 10, 2);
  gp_limiter_init (&work_class, 1000, 1);
  CU_ASSERT_TRUE (gp_limiter_take_all (both, 2, 1, 0, &retry_at));
  CU_ASSERT_FALSE (gp_limiter_take_all (both, 2, 1, 500, &retry_at));
  CU_ASSERT_EQUAL (retry_at, 1000);
  CU_ASSERT_TRUE (gp_limiter_take_all (both, 2, 1, 1000, &retry_at));
  CU_ASSERT_FALSE (gp_limiter_take_all (both, 2, 1, 2000, &retry_at));
  CU_ASSERT_EQUAL (retry_at, 100 * GP_MSEC);
  CU_ASSERT_FALSE (gp_limiter_take_all (both, 2, 2, 2000, &retry_at));
  CU_ASSERT_EQUAL (retry_at, GP_TIME_NEVER);
}

static void
test_configure (void)
{
  gp_limiter_t limiter;

  gp_limiter_init (&limiter, 1, 100);
  CU_ASSERT_TRUE (gp_limiter_take (&limiter, 100, 0));
  gp_limiter_configure (&limiter, 10, 2, 0);
  CU_ASSERT_EQUAL (gp_limiter_ready_at (&limiter, 1, 0), 100 * GP_MSEC);
  gp_limiter_configure (&limiter, 1e-30, UINT32_MAX, 0);
  CU_ASSERT_TRUE (gp_limiter_ready_at (&limiter, 1, 0) >= 0);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "differential", test_differential },
                          { "all or none", test_all_or_none },
                          { "configure", test_configure },
                          CU_TEST_INFO_NULL };

  return runner_main ("limiter", tests);
}

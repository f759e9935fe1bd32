/* Tests of outlier detection: a scripted run printed as a transcript, and
   random runs compared with a reference implementation that keeps all
   results and scans them each time.  */

#include <stdio.h>

#include "coordination/outlier.h"
#include "runner.h"

#define N_EXECUTORS 7
#define N_STEPS 600
#define N_SEEDS 20

static const char *const action_names[]
    = { "none", "eject", "offer probe", "readmit" };

static void
show (gp_time_t now, const gp_health_t *health, gp_outlier_action_t action)
{
  if (action != GP_OUTLIER_NONE)
    printf ("%6.1f s  executor-%d %s\n", (double)now / (double)GP_SEC,
            GPOINTER_TO_INT (health->data), action_names[action]);
}

/* Executors 0 and 1 fail every request fast, 2 fails slowly, the others
   succeed.  */
static void
traffic (gp_outlier_t *outlier, gp_health_t *health, gp_time_t now)
{
  for (int i = 0; i < N_EXECUTORS; i++)
    {
      gp_time_t duration = i < 2 ? GP_MSEC : 20 * GP_MSEC;

      show (now, &health[i],
            gp_outlier_record (outlier, &health[i], i > 2, duration, now));
    }
}

static void
test_script (void)
{
  gp_outlier_settings_t settings = GP_OUTLIER_SETTINGS_DEFAULT;
  gp_health_t health[N_EXECUTORS];
  gp_outlier_t outlier;
  gp_time_t now;

  gp_outlier_init (&outlier, &settings, 0);
  for (int i = 0; i < N_EXECUTORS; i++)
    gp_outlier_add (&outlier, &health[i], GINT_TO_POINTER (i));
  for (now = 0; now < 60 * GP_SEC; now += 500 * GP_MSEC)
    {
      gp_outlier_action_t action;
      gp_health_t *due;

      traffic (&outlier, health, now);
      while ((due = gp_outlier_next_due (&outlier, now, &action)) != NULL)
        {
          int i = GPOINTER_TO_INT (due->data);

          show (now, due, action);
          if (action != GP_OUTLIER_OFFER_PROBE)
            continue;
          gp_outlier_probe_sent (&outlier, due, now);
          if (i == 1) /* its probes get no result during the first 20 s */
            show (now, due,
                  now < 20 * GP_SEC
                      ? GP_OUTLIER_NONE
                      : gp_outlier_probe_done (&outlier, due, true, now));
          else
            show (
                now, due,
                gp_outlier_probe_done (&outlier, due, now > 50 * GP_SEC, now));
        }
    }
  for (int i = 0; i < N_EXECUTORS; i++)
    gp_outlier_remove (&outlier, &health[i]);
  CU_ASSERT_EQUAL (outlier.n_members, 0);
  CU_ASSERT_EQUAL (outlier.n_not_healthy, 0);
  CU_ASSERT_EQUAL (outlier.n_failing, 0);
  CU_ASSERT_EQUAL (gp_outlier_deadline (&outlier), GP_TIME_NEVER);
}

/* If all executors fail, none is ejected.  */
static void
test_shared (void)
{
  gp_outlier_settings_t settings = GP_OUTLIER_SETTINGS_DEFAULT;
  gp_health_t health[N_EXECUTORS];
  gp_outlier_t outlier;

  gp_outlier_init (&outlier, &settings, 0);
  for (int i = 0; i < N_EXECUTORS; i++)
    gp_outlier_add (&outlier, &health[i], NULL);
  for (int n = 0; n < 20; n++)
    for (int i = 0; i < N_EXECUTORS; i++)
      gp_outlier_record (&outlier, &health[i], true, 20000, 0);
  for (int n = 0; n < 100; n++)
    for (int i = 0; i < N_EXECUTORS; i++)
      CU_ASSERT_EQUAL (gp_outlier_record (&outlier, &health[i], false, 100, 0),
                       GP_OUTLIER_NONE);
}

/* Of three failing executors only two are ejected, because of
   max_ejected_pct.  */
static void
test_cap (void)
{
  gp_outlier_settings_t settings = GP_OUTLIER_SETTINGS_DEFAULT;
  gp_health_t health[N_EXECUTORS];
  gp_outlier_t outlier;
  int ejected = 0;

  gp_outlier_init (&outlier, &settings, 0);
  for (int i = 0; i < N_EXECUTORS; i++)
    gp_outlier_add (&outlier, &health[i], NULL);
  for (int n = 0; n < 20; n++)
    for (int i = 0; i < N_EXECUTORS; i++)
      ejected += gp_outlier_record (&outlier, &health[i], i > 2, 20000, 0)
                 == GP_OUTLIER_EJECT;
  CU_ASSERT_EQUAL (ejected,
                   0); /* failures as slow as successes cause no ejection */
  for (int n = 0; n < 100; n++)
    for (int i = 0; i < 3; i++)
      ejected += gp_outlier_record (&outlier, &health[i], false, 100, 0)
                 == GP_OUTLIER_EJECT;
  CU_ASSERT_EQUAL (ejected, 2);
}

/* Reference implementation.  */

typedef struct
{
  int executor;
  bool success;
  gp_time_t duration;
  gp_time_t at;
} result_t;

typedef struct
{
  gp_health_state_t state;
  gp_time_t until;
  gp_time_t reset_at;
  guint ejections;
  guint first_result; /* first result since the last readmission */
} naive_health_t;

typedef struct
{
  gp_outlier_settings_t settings;
  GArray *results;
  naive_health_t health[N_EXECUTORS];
} naive_t;

/* Returns the count of results of EXECUTOR, or of all executors if it is
   negative, halved at the end of each window up to NOW.  */
static gp_health_count_t
naive_count (const naive_t *naive, int executor, bool success, gp_time_t now)
{
  guint from = executor < 0 ? 0 : naive->health[executor].first_result;
  gp_health_count_t count = { .n = 0 };
  gp_time_t window = 0;

  for (guint i = from; i <= naive->results->len; i++)
    {
      const result_t *r = &g_array_index (naive->results, result_t,
                                          MIN (i, naive->results->len - 1));
      gp_time_t until = i < naive->results->len ? MIN (r->at, now) : now;

      for (; window < until / naive->settings.window; window++)
        {
          count.n /= 2;
          count.total_us /= 2;
        }
      if (i == naive->results->len || r->success != success
          || (executor >= 0 && r->executor != executor))
        continue;
      count.n++;
      count.total_us += (uint64_t)r->duration;
    }
  return count;
}

/* Returns true if the executor failed at half the ejection rate or more,
   as of its last result.  */
static bool
naive_failing (const naive_t *naive, int executor)
{
  gp_time_t last = -1;
  gp_health_count_t good;
  gp_health_count_t bad;

  for (guint i = naive->health[executor].first_result; i < naive->results->len;
       i++)
    if (g_array_index (naive->results, result_t, i).executor == executor)
      last = g_array_index (naive->results, result_t, i).at;
  if (last < 0)
    return false;
  good = naive_count (naive, executor, true, last);
  bad = naive_count (naive, executor, false, last);
  return bad.n * 4 >= good.n + bad.n;
}

static void
naive_eject (naive_t *naive, naive_health_t *health, gp_time_t now)
{
  gp_time_t length = naive->settings.ejection;

  if (health->state == GP_HEALTH_HEALTHY && now >= health->reset_at)
    health->ejections = 0;
  for (guint i = 0; i < health->ejections; i++)
    length = MIN (length * 2, naive->settings.max_ejection);
  health->ejections++;
  health->state = GP_HEALTH_EJECTED;
  health->until = now + length;
  health->reset_at = length; /* a duration until readmission, then a time */
}

static gp_outlier_action_t
naive_record (naive_t *naive, const result_t *result)
{
  naive_health_t *health = &naive->health[result->executor];
  gp_time_t now = result->at;
  gp_health_count_t good;
  gp_health_count_t bad;
  guint failing = 0;
  guint not_healthy = 0;

  if (health->state != GP_HEALTH_HEALTHY)
    return GP_OUTLIER_NONE;
  g_array_append_val (naive->results, *result);
  for (int i = 0; i < N_EXECUTORS; i++)
    {
      failing += naive_failing (naive, i);
      not_healthy += naive->health[i].state != GP_HEALTH_HEALTHY;
    }
  good = naive_count (naive, result->executor, true, now);
  bad = naive_count (naive, result->executor, false, now);
  if (result->success || bad.n * 2 < good.n + bad.n
      || good.n + bad.n < naive->settings.min_requests)
    return GP_OUTLIER_NONE;
  good = naive_count (naive, -1, true, now);
  if (good.n == 0 || bad.total_us / bad.n * 2 >= good.total_us / good.n
      || failing * 2 > N_EXECUTORS || not_healthy >= 2)
    return GP_OUTLIER_NONE;
  naive_eject (naive, health, now);
  return GP_OUTLIER_EJECT;
}

static gp_outlier_action_t
naive_probe_done (naive_t *naive, int i, bool success, gp_time_t now)
{
  naive_health_t *health = &naive->health[i];

  if (health->state != GP_HEALTH_PROBING)
    return GP_OUTLIER_NONE;
  if (!success)
    {
      naive_eject (naive, health, now);
      return GP_OUTLIER_EJECT;
    }
  health->state = GP_HEALTH_HEALTHY;
  health->reset_at += now;
  health->first_result = naive->results->len;
  return GP_OUTLIER_READMIT;
}

/* Compares the deadlines that have expired at NOW, in any order.  */
static void
check_due (naive_t *naive, gp_outlier_t *outlier, gp_time_t now)
{
  gp_outlier_action_t action;
  gp_health_t *due;

  while ((due = gp_outlier_next_due (outlier, now, &action)) != NULL)
    {
      naive_health_t *health = &naive->health[GPOINTER_TO_INT (due->data)];

      CU_ASSERT_FATAL (health->until <= now);
      CU_ASSERT_EQUAL_FATAL (health->state == GP_HEALTH_PROBING,
                             action == GP_OUTLIER_EJECT);
      if (action == GP_OUTLIER_EJECT)
        naive_eject (naive, health, now);
      else
        health->state = GP_HEALTH_WAITING;
    }
  for (int i = 0; i < N_EXECUTORS; i++)
    if (naive->health[i].state == GP_HEALTH_EJECTED
        || naive->health[i].state == GP_HEALTH_PROBING)
      {
        CU_ASSERT (naive->health[i].until > now);
        CU_ASSERT (gp_outlier_deadline (outlier) <= naive->health[i].until);
      }
}

static void
compare_step (naive_t *naive, gp_outlier_t *outlier, gp_health_t *health,
              GRand *rand, gp_time_t now)
{
  int i = g_rand_int_range (rand, 0, N_EXECUTORS);
  /* Executors alternate between failing and healthy, some of them
     together.  */
  bool bad = (now / (20 * GP_SEC) + i) % 3 == 0 || now / (70 * GP_SEC) == 3;
  bool success = g_rand_int_range (rand, 0, 10) < (bad ? 2 : 9);
  result_t result = { .executor = i,
                      .success = success,
                      .duration = g_rand_int_range (rand, 100, 9000),
                      .at = now };
  gp_outlier_action_t expected = GP_OUTLIER_NONE;
  gp_outlier_action_t action = GP_OUTLIER_NONE;
  guint failing = 0;

  result.duration *= success ? 2 : 1;
  check_due (naive, outlier, now);
  if (naive->health[i].state == GP_HEALTH_WAITING)
    {
      naive->health[i].state = GP_HEALTH_PROBING;
      naive->health[i].until = now + naive->settings.probe_timeout;
      gp_outlier_probe_sent (outlier, &health[i], now);
    }
  else if (g_rand_int_range (rand, 0, 4) == 0)
    {
      expected = naive_probe_done (naive, i, success, now);
      action = gp_outlier_probe_done (outlier, &health[i], success, now);
    }
  else
    {
      expected = naive_record (naive, &result);
      action = gp_outlier_record (outlier, &health[i], success,
                                  result.duration, now);
    }
  CU_ASSERT_EQUAL_FATAL (expected, action);
  for (i = 0; i < N_EXECUTORS; i++)
    {
      CU_ASSERT_EQUAL_FATAL (naive->health[i].state, health[i].state);
      CU_ASSERT_EQUAL_FATAL (naive_failing (naive, i), health[i].failing);
      failing += health[i].failing;
    }
  CU_ASSERT_EQUAL (failing, outlier->n_failing);
}

static void
test_twin (void)
{
  int ejected = 0;

  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    {
      naive_t naive = { .settings = GP_OUTLIER_SETTINGS_DEFAULT };
      gp_health_t health[N_EXECUTORS];
      gp_outlier_t outlier;
      GRand *rand = g_rand_new_with_seed (seed);
      gp_time_t now = 0;

      naive.results = g_array_new (FALSE, FALSE, sizeof (result_t));
      gp_outlier_init (&outlier, &naive.settings, 0);
      for (int i = 0; i < N_EXECUTORS; i++)
        gp_outlier_add (&outlier, &health[i], GINT_TO_POINTER (i));
      for (int step = 0; step < N_STEPS; step++)
        {
          now += g_rand_int_range (rand, 0, GP_SEC);
          compare_step (&naive, &outlier, health, rand, now);
        }
      for (int i = 0; i < N_EXECUTORS; i++)
        ejected += (int)health[i].ejections;
      g_array_free (naive.results, TRUE);
      g_rand_free (rand);
    }
  CU_ASSERT (ejected > N_SEEDS); /* the runs do cause ejections */
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "script", test_script },
                                 { "shared", test_shared },
                                 { "cap", test_cap },
                                 { "twin", test_twin },
                                 CU_TEST_INFO_NULL };

  return runner_main ("outlier", tests);
}

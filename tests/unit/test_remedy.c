/* Tests of remedies: scripted transcripts, and random sites on which the
   actions must cease.  */

#include "runner.h"

#include <glib.h>
#include <stdio.h>

#include "coordination/remedy.h"

enum
{
  RESIDENTS = 6,
  STEPS = 4000 /* five seconds each */
};

#define STEP (5 * GP_SEC)

static const char *const action_names[]
    = { "none", "throttle", "evict", "unthrottle" };

typedef struct
{
  gp_remedy_t remedy;
  gp_remedy_resident_t residents[RESIDENTS];
  unsigned int n;
} site_t;

static void
site_add (site_t *site, gp_work_class_t work_class, gp_time_t since_checkpoint,
          gp_time_t laxity, double relief)
{
  site->residents[site->n]
      = (gp_remedy_resident_t){ .task = site->n + 1,
                                .work_class = work_class,
                                .since_checkpoint = since_checkpoint,
                                .laxity = laxity,
                                .relief = relief };
  site->n++;
}

static void
remove_task (site_t *site, uint64_t task)
{
  for (unsigned int i = 0; i < site->n; i++)
    if (site->residents[i].task == task)
      site->residents[i] = site->residents[--site->n];
}

static void
carry_out (site_t *site, const gp_remedy_decision_t *decision)
{
  for (unsigned int i = 0; i < decision->n; i++)
    {
      if (decision->action == GP_REMEDY_EVICT)
        remove_task (site, decision->tasks[i]);
      for (unsigned int j = 0; j < site->n; j++)
        if (site->residents[j].task == decision->tasks[i])
          site->residents[j].throttled
              = decision->action == GP_REMEDY_THROTTLE;
    }
}

/* Passes a measurement of RATIO over the five seconds before NOW and
   carries out the decision.  */
static gp_remedy_decision_t
step (site_t *site, double ratio, gp_time_t now)
{
  gp_remedy_measurement_t measurement = { ratio, now - STEP, now };
  gp_remedy_decision_t decision
      = gp_remedy_decide (&site->remedy, &GP_REMEDY_DEFAULTS, &measurement,
                          site->residents, site->n, now);

  carry_out (site, &decision);
  return decision;
}

/* Returns the ratio of the site with base ratio BASE and some noise.  */
static double
ratio_of (const site_t *site, double base, GRand *random)
{
  double ratio = base + 0.1 * (g_rand_double (random) - 0.5);

  for (unsigned int i = 0; i < site->n; i++)
    ratio += site->residents[i].relief
             * (site->residents[i].throttled ? 0.25 : 1.0);
  return ratio;
}

static void
step_and_print (site_t *site, double ratio, gp_time_t now)
{
  gp_remedy_decision_t decision = step (site, ratio, now);

  if (decision.action == GP_REMEDY_NONE)
    return;
  printf ("%ld s: ratio %.2f, %s", (long)(now / GP_SEC), ratio,
          action_names[decision.action]);
  for (unsigned int j = 0; j < decision.n; j++)
    printf (" %u", (unsigned int)decision.tasks[j]);
  printf ("\n");
}

/* For a persistent breach, all remedies are applied in order of
   escalation.  */
static void
test_ladder (void)
{
  site_t site = { .n = 0 };

  gp_remedy_init (&site.remedy);
  site_add (&site, GP_WORK_LATENCY_CRITICAL, 0, GP_TIME_NEVER, 0.9);
  site_add (&site, GP_WORK_WATCHER, 0, GP_TIME_NEVER, 0.5);
  site_add (&site, GP_WORK_BATCH, 600 * GP_SEC, 3600 * GP_SEC, 0.1);
  site_add (&site, GP_WORK_BATCH, 5 * GP_SEC, 3600 * GP_SEC, 0.1);
  site_add (&site, GP_WORK_BATCH, 0, 3600 * GP_SEC, 0.001);
  for (int i = 1; i < 20; i++)
    step_and_print (&site, 1.2, i * STEP);
  CU_ASSERT_EQUAL (site.n, 2);
}

/* A breach, a calm period, and a relapse after which the required calm
   period is longer.  */
static void
test_relapse (void)
{
  site_t site = { .n = 0 };
  GRand *random = g_rand_new_with_seed (1);

  gp_remedy_init (&site.remedy);
  for (int i = 0; i < 3; i++)
    site_add (&site, GP_WORK_BATCH, 0, 3600 * GP_SEC, 0.15);
  for (int i = 1; i < 240; i++)
    {
      double base = i % 60 < 30 ? 0.75 : 0.45;

      step_and_print (&site, ratio_of (&site, base, random), i * STEP);
    }
  g_rand_free (random);
}

static void
test_eviction_cost (void)
{
  gp_remedy_resident_t a = { .work_class = GP_WORK_BATCH,
                             .since_checkpoint = 90 * GP_SEC,
                             .laxity = 3600 * GP_SEC };

  printf ("batch %.0f", gp_remedy_eviction_cost (&GP_REMEDY_DEFAULTS, &a));
  a.laxity = 60 * GP_SEC;
  printf (" late %.0f\n", gp_remedy_eviction_cost (&GP_REMEDY_DEFAULTS, &a));
}

/* Under a steady load the actions on a worker cease: there are few in
   total, fewer in the second half, and never two within the cool-down
   period.  */
static void
check_actions_cease (uint32_t seed)
{
  site_t site = { .n = 0 };
  GRand *random = g_rand_new_with_seed (seed);
  double base = 0.3 + 0.5 * g_rand_double (random);
  gp_time_t last = 0;
  unsigned int actions = 0;
  unsigned int late_actions = 0;

  gp_remedy_init (&site.remedy);
  for (unsigned int i = 0; i < RESIDENTS; i++)
    site_add (&site, GP_WORK_BATCH, g_rand_int_range (random, 0, 99) * GP_SEC,
              3600 * GP_SEC, 0.2 * g_rand_double (random));
  for (unsigned int i = 1; i <= STEPS; i++)
    {
      gp_time_t now = i * STEP;
      gp_remedy_decision_t decision
          = step (&site, ratio_of (&site, base, random), now);

      if (decision.action == GP_REMEDY_NONE)
        continue;
      CU_ASSERT_TRUE (last == 0 || now - last >= GP_REMEDY_DEFAULTS.cool_down);
      last = now;
      actions++;
      late_actions += i > STEPS / 2;
    }
  CU_ASSERT_TRUE (actions < 30);
  CU_ASSERT_TRUE (late_actions <= 6);
  CU_ASSERT_TRUE (ratio_of (&site, base, random) < 1.05);
  g_rand_free (random);
}

static void
test_come_to_rest (void)
{
  for (uint32_t seed = 1; seed <= 100; seed++)
    check_actions_cease (seed);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "ladder", test_ladder },
                                 { "relapse", test_relapse },
                                 { "eviction cost", test_eviction_cost },
                                 { "come to rest", test_come_to_rest },
                                 CU_TEST_INFO_NULL };

  return runner_main ("remedy", tests);
}

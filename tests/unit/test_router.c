/* Tests of routing: random runs compared with a reference implementation
   (the choice among few candidates, the sums, the eligible candidates),
   uniform sampling, zone preference, probes and subsets.  */

#include "coordination/router.h"
#include "coordination/subset.h"
#include "runner.h"

#define N_CANDIDATES 9
#define N_STEPS 20000
#define N_SEEDS 10

/* Tolerances.  Loads are rounded to thousandths twice, which is 2/1000 of
   30 ms over two slots, and the mean latency to microseconds.  */
#define ROUNDING_US 40
#define ROUNDING_LOAD 0.002

static const gp_route_t any_route = { .n_tried = 0 };

typedef struct
{
  gp_router_t router;
  gp_candidate_t candidates[N_CANDIDATES];
  gboolean present[N_CANDIDATES];
  guint n;
  GRand *rand;
  gp_time_t now;
} twins_t;

static guint
random_below (GRand *rand, guint bound)
{
  return (guint)g_rand_int_range (rand, 0, (gint32)bound);
}

static void
twins_init (twins_t *twins, guint n, guint32 seed)
{
  gp_router_settings_t settings = GP_ROUTER_SETTINGS_DEFAULT;

  *twins = (twins_t){ .n = n, .rand = g_rand_new_with_seed (seed) };
  gp_router_init (&twins->router, &settings);
  for (guint i = 0; i < n; i++)
    {
      gp_router_add (&twins->router, &twins->candidates[i], i % 2 == 0, 2, 5,
                     NULL);
      twins->present[i] = TRUE;
    }
}

static void
twins_finish (twins_t *twins)
{
  gp_router_finish (&twins->router);
  g_rand_free (twins->rand);
}

/* Reference implementation, which scans all candidates.  */

static gboolean
naive_eligible (const twins_t *twins, guint i, const gp_route_t *route)
{
  const gp_candidate_t *c = &twins->candidates[i];

  for (guint t = 0; t < route->n_tried; t++)
    if (route->tried[t] == c)
      return FALSE;
  return twins->present[i] && c->mode == GP_CANDIDATE_OPEN
         && c->in_flight < c->connections;
}

static double
naive_latency (const twins_t *twins, guint i)
{
  double sum = 0;
  double n = 0;

  if (twins->candidates[i].latency_us != 0)
    return twins->candidates[i].latency_us;
  for (guint k = 0; k < twins->n; k++)
    if (twins->present[k] && twins->candidates[k].latency_us != 0)
      {
        sum += twins->candidates[k].latency_us;
        n += 1;
      }
  return n == 0 ? 10000 : sum / n;
}

static double
naive_load (const twins_t *twins, guint i)
{
  const gp_candidate_t *c = &twins->candidates[i];
  double others = 0;
  double n = 0;
  double weight;

  for (guint k = 0; k < twins->n; k++)
    if (twins->present[k])
      {
        others += twins->candidates[k].others;
        n += 1;
      }
  if (c->reported_at == INT64_MIN)
    return c->in_flight + others / n;
  weight = 1.0
           / (1.0
              + (double)(twins->now - c->reported_at)
                    / (1 + naive_latency (twins, i) / 2));
  return c->in_flight + c->others * weight + others / n * (1 - weight);
}

static double
naive_wait (const twins_t *twins, guint i)
{
  const gp_candidate_t *c = &twins->candidates[i];
  double ahead = naive_load (twins, i) + 1 - c->slots;
  double wait = ahead <= 0 ? 0 : ahead * naive_latency (twins, i) / c->slots;

  return c->near ? wait : wait + (double)twins->router.settings.zone_cost;
}

/* With two candidates per zone every one is sampled, so the pick must be
   the best of all up to rounding; among those without a wait, the one with
   the lowest load.  */
static void
check_best (const twins_t *twins, const gp_route_t *route,
            const gp_candidate_t *picked)
{
  guint p = (guint)(picked - twins->candidates);
  double wait = naive_wait (twins, p);

  for (guint i = 0; i < twins->n; i++)
    {
      if (!naive_eligible (twins, i, route))
        continue;
      CU_ASSERT_FATAL (wait <= naive_wait (twins, i) + ROUNDING_US);
      if (wait == 0 && naive_wait (twins, i) == 0)
        {
          CU_ASSERT (naive_load (twins, p)
                     <= naive_load (twins, i) + ROUNDING_LOAD);
        }
    }
}

static void
check_sums (const twins_t *twins)
{
  uint64_t in_flight = 0;
  uint64_t slots = 0;
  guint apart = 0;
  guint eligible = 0;

  for (guint i = 0; i < twins->n; i++)
    {
      const gp_candidate_t *c = &twins->candidates[i];

      eligible += naive_eligible (twins, i, &any_route) ? 1 : 0;
      apart += c->index == GP_CANDIDATE_NOT_IN_SET;
      if (!twins->present[i])
        continue;
      in_flight += c->in_flight;
      slots += c->slots;
    }
  CU_ASSERT_EQUAL (twins->router.total_in_flight, in_flight);
  CU_ASSERT_EQUAL (twins->router.total_slots, slots);
  CU_ASSERT_EQUAL (twins->n - apart, eligible);
  CU_ASSERT_EQUAL (twins->router.near->len + twins->router.far->len, eligible);
}

static void
random_pick (twins_t *twins)
{
  gp_route_t route = { .n_tried = random_below (twins->rand, 4) };
  gp_candidate_t *picked;
  guint left = 0;

  for (guint i = 0; i < route.n_tried; i++)
    route.tried[i] = &twins->candidates[(random_below (twins->rand, 2) + 2 * i)
                                        % twins->n];
  for (guint i = 0; i < twins->n; i++)
    left += naive_eligible (twins, i, &route) ? 1 : 0;
  CU_ASSERT_EQUAL (gp_router_has_candidate (&twins->router, &route), left > 0);
  picked = gp_router_pick (&twins->router, &route, twins->rand, twins->now);
  CU_ASSERT_EQUAL_FATAL (picked != NULL, left > 0);
  if (picked == NULL)
    return;
  CU_ASSERT_FATAL (
      naive_eligible (twins, (guint)(picked - twins->candidates), &route));
  if (twins->n <= 4)
    check_best (twins, &route, picked);
  gp_router_sent (&twins->router, picked);
}

static void
random_report (twins_t *twins, gp_candidate_t *c)
{
  gp_load_t load = { .running = random_below (twins->rand, 4),
                     .queued = random_below (twins->rand, 6),
                     .latency_us = 1000 * random_below (twins->rand, 30),
                     .at = twins->now - random_below (twins->rand, 2000) };

  gp_router_report (&twins->router, c, &load);
}

static void
random_step (twins_t *twins)
{
  guint i = random_below (twins->rand, twins->n);
  gp_candidate_t *c = &twins->candidates[i];
  guint kind = random_below (twins->rand, 20);

  twins->now += random_below (twins->rand, 20000);
  if (!twins->present[i])
    {
      gp_router_add (&twins->router, c, i % 2 == 0, 2, 5, NULL);
      twins->present[i] = TRUE;
    }
  else if (kind == 0 && c->in_flight == 0 && twins->router.n_candidates > 1)
    {
      gp_router_remove (&twins->router, c);
      twins->present[i] = FALSE;
    }
  else if (kind == 1)
    gp_router_eject (&twins->router, c);
  else if (kind < 4)
    gp_router_readmit (&twins->router, c);
  else if (kind < 8)
    random_report (twins, c);
  else if (kind < 13 && c->in_flight > 0)
    gp_router_done (&twins->router, c);
  else
    random_pick (twins);
  check_sums (twins);
}

static void
test_twin (void)
{
  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    for (guint n = 4; n <= N_CANDIDATES; n += 5)
      {
        twins_t twins;

        twins_init (&twins, n, seed);
        for (int i = 0; i < N_STEPS / N_SEEDS; i++)
          random_step (&twins);
        twins_finish (&twins);
      }
}

/* Equal candidates are picked equally often, also if some were tried.  */
static void
test_uniform (void)
{
  twins_t twins;
  guint counts[N_CANDIDATES] = { 0 };
  gp_route_t route = { .n_tried = 2 };

  twins_init (&twins, N_CANDIDATES, 1);
  route.tried[0] = &twins.candidates[4];
  route.tried[1] = &twins.candidates[0];
  for (int i = 0; i < 30000; i++)
    {
      gp_candidate_t *c
          = gp_router_pick (&twins.router, &route, twins.rand, 0);

      counts[c - twins.candidates]++;
    }
  for (guint i = 0; i < N_CANDIDATES; i++)
    {
      gboolean wanted = i == 2 || i == 6 || i == 8;

      CU_ASSERT_EQUAL (counts[i] > 9500 && counts[i] < 10500, wanted);
      CU_ASSERT_EQUAL (counts[i] == 0, !wanted);
    }
  twins_finish (&twins);
}

/* A request leaves the zone if the wait there exceeds the cost of reaching
   another zone.  */
static void
test_zone (void)
{
  twins_t twins;
  gp_load_t load = { .running = 2, .queued = 0, .latency_us = 4000, .at = 0 };

  twins_init (&twins, 2, 1);
  gp_router_report (&twins.router, &twins.candidates[0], &load);
  /* One of two slots must become free: 2 ms, compared with 3 ms to the
     other zone.  */
  CU_ASSERT_EQUAL (gp_router_wait_at (&twins.router, &twins.candidates[0], 0),
                   2000);
  CU_ASSERT_PTR_EQUAL (
      gp_router_pick (&twins.router, &any_route, twins.rand, 0),
      &twins.candidates[0]);
  load.queued = 1;
  gp_router_report (&twins.router, &twins.candidates[0], &load);
  CU_ASSERT_PTR_EQUAL (
      gp_router_pick (&twins.router, &any_route, twins.rand, 0),
      &twins.candidates[1]);
  twins_finish (&twins);
}

/* A probe is given to one request that can be retried.  */
static void
test_probe (void)
{
  twins_t twins;
  gp_route_t may_probe = { .may_probe = true };
  gp_candidate_t *c;

  twins_init (&twins, 3, 1);
  c = &twins.candidates[1];
  gp_router_eject (&twins.router, c);
  gp_router_offer_probe (&twins.router, c);
  CU_ASSERT_PTR_NOT_EQUAL (
      gp_router_pick (&twins.router, &any_route, twins.rand, 0), c);
  CU_ASSERT_PTR_EQUAL (
      gp_router_pick (&twins.router, &may_probe, twins.rand, 0), c);
  gp_router_sent (&twins.router, c);
  CU_ASSERT_PTR_NOT_EQUAL (
      gp_router_pick (&twins.router, &may_probe, twins.rand, 0), c);
  gp_router_remove (&twins.router, c);
  CU_ASSERT_EQUAL (twins.router.total_in_flight, 0);
  gp_router_done (&twins.router, c);
  CU_ASSERT_EQUAL (twins.router.total_in_flight, 0);
  twins_finish (&twins);
}

/* In each zone exactly the given number of entries route to an executor,
   evenly distributed; removing an entry moves only its own executors.  */
static void
test_subset (void)
{
  enum
  {
    ENTRIES = 18,
    EXECUTORS = 1200
  };
  gp_home_t entries[ENTRIES];
  char names[ENTRIES][16];
  static const char *const zones[] = { "z0", "z1", "z2" };
  size_t counts[ENTRIES] = { 0 };

  CU_ASSERT_EQUAL (gp_subset_size (6, 400), 2);
  CU_ASSERT_EQUAL (gp_subset_size (6, 50), 4);
  CU_ASSERT_EQUAL (gp_subset_size (6, 4), 6);
  CU_ASSERT_EQUAL (gp_subset_size (1, 4000), 1);
  CU_ASSERT_EQUAL (gp_subset_size (3, 0), 3);
  for (size_t i = 0; i < ENTRIES; i++)
    {
      g_snprintf (names[i], sizeof names[i], "entry-%zu", i);
      entries[i] = (gp_home_t){ names[i], "r0", zones[i % 3] };
    }
  for (size_t x = 0; x < EXECUTORS; x++)
    {
      size_t in_zone[3] = { 0 };
      char name[24];

      g_snprintf (name, sizeof name, "guard-%zu", x);
      for (size_t i = 0; i < ENTRIES; i++)
        {
          bool routes = gp_subset_contains (name, entries, ENTRIES, i, 2);
          bool later
              = i < ENTRIES - 1
                && gp_subset_contains (name, entries, ENTRIES - 1, i, 2);

          in_zone[i % 3] += routes;
          counts[i] += routes;
          CU_ASSERT (!routes || later || i == ENTRIES - 1);
        }
      for (size_t z = 0; z < 3; z++)
        CU_ASSERT_EQUAL (in_zone[z], 2);
    }
  for (size_t i = 0; i < ENTRIES; i++)
    CU_ASSERT (counts[i] > 340 && counts[i] < 460);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "twin", test_twin },     { "uniform", test_uniform },
          { "zone", test_zone },     { "probe", test_probe },
          { "subset", test_subset }, CU_TEST_INFO_NULL };

  return runner_main ("router", tests);
}

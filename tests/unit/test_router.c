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
} pair_t;

static guint
random_below (GRand *rand, guint bound)
{
  return (guint)g_rand_int_range (rand, 0, (gint32)bound);
}

static void
pair_init (pair_t *pair, guint n, guint32 seed)
{
  gp_router_settings_t settings = GP_ROUTER_SETTINGS_DEFAULT;

  *pair = (pair_t){ .n = n, .rand = g_rand_new_with_seed (seed) };
  gp_router_init (&pair->router, &settings);
  for (guint i = 0; i < n; i++)
    {
      gp_router_add (&pair->router, &pair->candidates[i], i % 2 == 0, 2, 5,
                     NULL);
      pair->present[i] = TRUE;
    }
}

static void
pair_finish (pair_t *pair)
{
  gp_router_finish (&pair->router);
  g_rand_free (pair->rand);
}

/* Reference implementation, which scans all candidates.  */

static gboolean
is_eligible (const pair_t *pair, guint i, const gp_route_t *route)
{
  const gp_candidate_t *c = &pair->candidates[i];

  for (guint t = 0; t < route->n_tried; t++)
    if (route->tried[t] == c)
      return FALSE;
  return pair->present[i] && c->mode == GP_CANDIDATE_OPEN
         && c->in_flight < c->connections;
}

static double
naive_latency (const pair_t *pair, guint i)
{
  double sum = 0;
  double n = 0;

  if (pair->candidates[i].latency_us != 0)
    return pair->candidates[i].latency_us;
  for (guint k = 0; k < pair->n; k++)
    if (pair->present[k] && pair->candidates[k].latency_us != 0)
      {
        sum += pair->candidates[k].latency_us;
        n += 1;
      }
  return n == 0 ? 10000 : sum / n;
}

static double
naive_load (const pair_t *pair, guint i)
{
  const gp_candidate_t *c = &pair->candidates[i];
  double others = 0;
  double n = 0;
  double weight;

  for (guint k = 0; k < pair->n; k++)
    if (pair->present[k])
      {
        others += pair->candidates[k].others;
        n += 1;
      }
  if (c->reported_at == INT64_MIN)
    return c->in_flight + others / n;
  weight = 1.0
           / (1.0
              + (double)(pair->now - c->reported_at)
                    / (1 + naive_latency (pair, i) / 2));
  return c->in_flight + c->others * weight + others / n * (1 - weight);
}

static double
naive_wait (const pair_t *pair, guint i)
{
  const gp_candidate_t *c = &pair->candidates[i];
  double ahead = naive_load (pair, i) + 1 - c->slots;
  double wait = ahead <= 0 ? 0 : ahead * naive_latency (pair, i) / c->slots;

  return c->near ? wait : wait + (double)pair->router.settings.zone_cost;
}

/* With two candidates per zone every one is sampled, so the pick must be
   the best of all up to rounding; among those without a wait, the one with
   the lowest load.  */
static void
check_best (const pair_t *pair, const gp_route_t *route,
            const gp_candidate_t *picked)
{
  guint p = (guint)(picked - pair->candidates);
  double wait = naive_wait (pair, p);

  for (guint i = 0; i < pair->n; i++)
    {
      if (!is_eligible (pair, i, route))
        continue;
      CU_ASSERT_FATAL (wait <= naive_wait (pair, i) + ROUNDING_US);
      if (wait == 0 && naive_wait (pair, i) == 0)
        {
          CU_ASSERT (naive_load (pair, p)
                     <= naive_load (pair, i) + ROUNDING_LOAD);
        }
    }
}

static void
check_sums (const pair_t *pair)
{
  uint64_t in_flight = 0;
  uint64_t slots = 0;
  guint not_in_set = 0;
  guint eligible = 0;

  for (guint i = 0; i < pair->n; i++)
    {
      const gp_candidate_t *c = &pair->candidates[i];

      eligible += is_eligible (pair, i, &any_route) ? 1 : 0;
      not_in_set += c->index == GP_CANDIDATE_NOT_IN_SET;
      if (!pair->present[i])
        continue;
      in_flight += c->in_flight;
      slots += c->slots;
    }
  CU_ASSERT_EQUAL (pair->router.total_in_flight, in_flight);
  CU_ASSERT_EQUAL (pair->router.total_slots, slots);
  CU_ASSERT_EQUAL (pair->n - not_in_set, eligible);
  CU_ASSERT_EQUAL (pair->router.near->len + pair->router.far->len, eligible);
}

static void
random_pick (pair_t *pair)
{
  gp_route_t route = { .n_tried = random_below (pair->rand, 4) };
  gp_candidate_t *picked;
  guint left = 0;

  for (guint i = 0; i < route.n_tried; i++)
    route.tried[i]
        = &pair->candidates[(random_below (pair->rand, 2) + 2 * i) % pair->n];
  for (guint i = 0; i < pair->n; i++)
    left += is_eligible (pair, i, &route) ? 1 : 0;
  CU_ASSERT_EQUAL (gp_router_has_candidate (&pair->router, &route), left > 0);
  picked = gp_router_pick (&pair->router, &route, pair->rand, pair->now);
  CU_ASSERT_EQUAL_FATAL (picked != NULL, left > 0);
  if (picked == NULL)
    return;
  CU_ASSERT_FATAL (
      is_eligible (pair, (guint)(picked - pair->candidates), &route));
  if (pair->n <= 4)
    check_best (pair, &route, picked);
  gp_router_sent (&pair->router, picked);
}

static void
random_report (pair_t *pair, gp_candidate_t *c)
{
  gp_load_t load = { .running = random_below (pair->rand, 4),
                     .queued = random_below (pair->rand, 6),
                     .latency_us = 1000 * random_below (pair->rand, 30),
                     .at = pair->now - random_below (pair->rand, 2000) };

  gp_router_report (&pair->router, c, &load);
}

static void
random_step (pair_t *pair)
{
  guint i = random_below (pair->rand, pair->n);
  gp_candidate_t *c = &pair->candidates[i];
  guint kind = random_below (pair->rand, 20);

  pair->now += random_below (pair->rand, 20000);
  if (!pair->present[i])
    {
      gp_router_add (&pair->router, c, i % 2 == 0, 2, 5, NULL);
      pair->present[i] = TRUE;
    }
  else if (kind == 0 && c->in_flight == 0 && pair->router.n_candidates > 1)
    {
      gp_router_remove (&pair->router, c);
      pair->present[i] = FALSE;
    }
  else if (kind == 1)
    gp_router_eject (&pair->router, c);
  else if (kind < 4)
    gp_router_readmit (&pair->router, c);
  else if (kind < 8)
    random_report (pair, c);
  else if (kind < 13 && c->in_flight > 0)
    gp_router_done (&pair->router, c);
  else
    random_pick (pair);
  check_sums (pair);
}

static void
test_twin (void)
{
  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    for (guint n = 4; n <= N_CANDIDATES; n += 5)
      {
        pair_t pair;

        pair_init (&pair, n, seed);
        for (int i = 0; i < N_STEPS / N_SEEDS; i++)
          random_step (&pair);
        pair_finish (&pair);
      }
}

/* Equal candidates are picked equally often, also if some were tried.  */
static void
test_uniform (void)
{
  pair_t pair;
  guint counts[N_CANDIDATES] = { 0 };
  gp_route_t route = { .n_tried = 2 };

  pair_init (&pair, N_CANDIDATES, 1);
  route.tried[0] = &pair.candidates[4];
  route.tried[1] = &pair.candidates[0];
  for (int i = 0; i < 30000; i++)
    {
      gp_candidate_t *c = gp_router_pick (&pair.router, &route, pair.rand, 0);

      counts[c - pair.candidates]++;
    }
  for (guint i = 0; i < N_CANDIDATES; i++)
    {
      gboolean wanted = i == 2 || i == 6 || i == 8;

      CU_ASSERT_EQUAL (counts[i] > 9500 && counts[i] < 10500, wanted);
      CU_ASSERT_EQUAL (counts[i] == 0, !wanted);
    }
  pair_finish (&pair);
}

/* A request leaves the zone if the wait there exceeds the cost of reaching
   another zone.  */
static void
test_zone (void)
{
  pair_t pair;
  gp_load_t load = { .running = 2, .queued = 0, .latency_us = 4000, .at = 0 };

  pair_init (&pair, 2, 1);
  gp_router_report (&pair.router, &pair.candidates[0], &load);
  /* One of two slots must become free: 2 ms, compared with 3 ms to the
     other zone.  */
  CU_ASSERT_EQUAL (gp_router_wait_at (&pair.router, &pair.candidates[0], 0),
                   2000);
  CU_ASSERT_PTR_EQUAL (gp_router_pick (&pair.router, &any_route, pair.rand, 0),
                       &pair.candidates[0]);
  load.queued = 1;
  gp_router_report (&pair.router, &pair.candidates[0], &load);
  CU_ASSERT_PTR_EQUAL (gp_router_pick (&pair.router, &any_route, pair.rand, 0),
                       &pair.candidates[1]);
  pair_finish (&pair);
}

/* A probe is given to one request that can be retried.  */
static void
test_probe (void)
{
  pair_t pair;
  gp_route_t may_probe = { .may_probe = true };
  gp_candidate_t *c;

  pair_init (&pair, 3, 1);
  c = &pair.candidates[1];
  gp_router_eject (&pair.router, c);
  gp_router_offer_probe (&pair.router, c);
  CU_ASSERT_PTR_NOT_EQUAL (
      gp_router_pick (&pair.router, &any_route, pair.rand, 0), c);
  CU_ASSERT_PTR_EQUAL (gp_router_pick (&pair.router, &may_probe, pair.rand, 0),
                       c);
  gp_router_sent (&pair.router, c);
  CU_ASSERT_PTR_NOT_EQUAL (
      gp_router_pick (&pair.router, &may_probe, pair.rand, 0), c);
  gp_router_remove (&pair.router, c);
  CU_ASSERT_EQUAL (pair.router.total_in_flight, 0);
  gp_router_done (&pair.router, c);
  CU_ASSERT_EQUAL (pair.router.total_in_flight, 0);
  pair_finish (&pair);
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

#include "coordination/router.h"

/* Loads are in thousandths of a request, so that a decayed load of less
   than one still counts.  */
#define MILLI 1000

/* Power of two choices.  */
#define N_CHOICES 2

/* Service time assumed until one is known.  */
#define LATENCY_UNKNOWN_US 10000

/* A sampled candidate and its cost.  */
typedef struct
{
  gp_candidate_t *candidate;
  gp_time_t wait; /* including the zone cost */
  uint64_t milli_load;
} choice_t;

void
gp_router_init (gp_router_t *router, const gp_router_settings_t *settings)
{
  *router = (gp_router_t){ .settings = *settings };
  router->near = g_ptr_array_new ();
  router->far = g_ptr_array_new ();
  gp_list_init (&router->probes);
}

void
gp_router_finish (gp_router_t *router)
{
  g_ptr_array_free (router->near, TRUE);
  g_ptr_array_free (router->far, TRUE);
}

/* Sampled sets.  */

static GPtrArray *
set_of (const gp_router_t *router, const gp_candidate_t *candidate)
{
  return candidate->near ? router->near : router->far;
}

static bool
candidate_is_eligible (const gp_candidate_t *candidate)
{
  return candidate->mode == GP_CANDIDATE_OPEN
         && candidate->in_flight < candidate->connections;
}

static void
set_insert (GPtrArray *set, gp_candidate_t *candidate)
{
  candidate->index = set->len;
  g_ptr_array_add (set, candidate);
}

static void
set_remove (GPtrArray *set, gp_candidate_t *candidate)
{
  guint index = candidate->index;

  g_ptr_array_remove_index_fast (set, index);
  candidate->index = GP_CANDIDATE_NOT_IN_SET;
  if (index < set->len)
    ((gp_candidate_t *)g_ptr_array_index (set, index))->index = index;
}

/* Adds CANDIDATE to its set if it is eligible, otherwise removes it.  */
static void
update_set (gp_router_t *router, gp_candidate_t *candidate)
{
  bool inside = candidate->index != GP_CANDIDATE_NOT_IN_SET;

  if (candidate_is_eligible (candidate) == inside)
    return;
  if (inside)
    set_remove (set_of (router, candidate), candidate);
  else
    set_insert (set_of (router, candidate), candidate);
}

static void
set_mode (gp_router_t *router, gp_candidate_t *candidate,
          gp_candidate_mode_t mode)
{
  candidate->mode = mode;
  gp_list_remove (&candidate->probe_link);
  update_set (router, candidate);
}

void
gp_router_add (gp_router_t *router, gp_candidate_t *candidate, bool near,
               uint32_t slots, uint32_t connections, void *data)
{
  *candidate = (gp_candidate_t){ .data = data,
                                 .near = near,
                                 .mode = GP_CANDIDATE_OPEN,
                                 .index = GP_CANDIDATE_NOT_IN_SET,
                                 .slots = slots,
                                 .connections = connections,
                                 .reported_at = INT64_MIN };
  gp_list_init (&candidate->probe_link);
  router->n_candidates++;
  router->total_slots += slots;
  update_set (router, candidate);
}

static void
set_latency (gp_router_t *router, gp_candidate_t *candidate,
             uint32_t latency_us)
{
  router->total_latency_us += latency_us;
  router->total_latency_us -= candidate->latency_us;
  router->n_latencies += latency_us != 0;
  router->n_latencies -= candidate->latency_us != 0;
  candidate->latency_us = latency_us;
}

void
gp_router_remove (gp_router_t *router, gp_candidate_t *candidate)
{
  set_mode (router, candidate, GP_CANDIDATE_REMOVED);
  router->n_candidates--;
  router->total_slots -= candidate->slots;
  router->total_in_flight -= candidate->in_flight;
  router->total_others -= candidate->others;
  set_latency (router, candidate, 0);
}

void
gp_router_eject (gp_router_t *router, gp_candidate_t *candidate)
{
  set_mode (router, candidate, GP_CANDIDATE_CLOSED);
}

void
gp_router_offer_probe (gp_router_t *router, gp_candidate_t *candidate)
{
  set_mode (router, candidate, GP_CANDIDATE_PROBING);
  gp_list_push_back (&router->probes, &candidate->probe_link);
}

void
gp_router_readmit (gp_router_t *router, gp_candidate_t *candidate)
{
  set_mode (router, candidate, GP_CANDIDATE_OPEN);
}

/* Load and wait.  */

gp_time_t
gp_router_latency (const gp_router_t *router)
{
  if (router->n_latencies == 0)
    return LATENCY_UNKNOWN_US;
  return (gp_time_t)(router->total_latency_us / router->n_latencies);
}

static uint64_t
latency_of (const gp_router_t *router, const gp_candidate_t *candidate)
{
  if (candidate->latency_us != 0)
    return candidate->latency_us;
  return (uint64_t)gp_router_latency (router);
}

uint64_t
gp_router_load (const gp_router_t *router, const gp_candidate_t *candidate,
                gp_time_t now)
{
  uint64_t mean = router->total_others * MILLI / router->n_candidates;
  uint64_t known = (uint64_t)candidate->others * MILLI;
  uint64_t own = (uint64_t)candidate->in_flight * MILLI;
  uint64_t half_life = 1;
  uint64_t age = 0;

  if (candidate->reported_at == INT64_MIN)
    return own + mean;
  if (now > candidate->reported_at)
    age = (uint64_t)(now - candidate->reported_at);
  half_life
      += latency_of (router, candidate) * router->settings.report_pct / 100;
  return own + (known * half_life + mean * age) / (half_life + age);
}

static gp_time_t
wait_for (uint64_t milli_load, uint64_t slots, uint64_t latency_us)
{
  uint64_t milli_ahead;

  if (milli_load + MILLI <= slots * MILLI || slots == 0)
    return 0;
  milli_ahead = milli_load + MILLI - slots * MILLI;
  return (gp_time_t)(milli_ahead * latency_us / (slots * MILLI));
}

static gp_time_t
candidate_wait (const gp_router_t *router, const gp_candidate_t *candidate,
                uint64_t milli_load)
{
  return wait_for (milli_load, candidate->slots,
                   latency_of (router, candidate));
}

gp_time_t
gp_router_wait_at (const gp_router_t *router, const gp_candidate_t *candidate,
                   gp_time_t now)
{
  return candidate_wait (router, candidate,
                         gp_router_load (router, candidate, now));
}

gp_time_t
gp_router_wait (const gp_router_t *router)
{
  uint64_t load = router->total_in_flight + router->total_others;

  return wait_for (load * MILLI, router->total_slots,
                   (uint64_t)gp_router_latency (router));
}

/* Sampling that excludes tried candidates.  */

/* Inserts INDEX into EXCLUDED, in ascending order, unless it is present.  */
static void
exclude_index (guint *excluded, guint *n, guint index)
{
  guint pos = 0;

  while (pos < *n && excluded[pos] < index)
    pos++;
  if (pos < *n && excluded[pos] == index)
    return;
  for (guint i = *n; i > pos; i--)
    excluded[i] = excluded[i - 1];
  excluded[pos] = index;
  (*n)++;
}

/* Stores in EXCLUDED the indexes in SET of the candidates that ROUTE has
   tried, in ascending order, and returns their number.  */
static guint
excluded_indexes (const gp_router_t *router, const GPtrArray *set,
                  const gp_route_t *route, guint *excluded)
{
  guint n = 0;

  for (guint i = 0; i < route->n_tried; i++)
    {
      const gp_candidate_t *tried = route->tried[i];

      if (tried->index != GP_CANDIDATE_NOT_IN_SET
          && set_of (router, tried) == set)
        exclude_index (excluded, &n, tried->index);
    }
  return n;
}

/* Returns a uniformly random member of SET that is not excluded, or NULL.  */
static gp_candidate_t *
sample (const GPtrArray *set, const guint *excluded, guint n_excluded,
        GRand *rand)
{
  guint index;

  if (set->len <= n_excluded)
    return NULL;
  index = set->len - n_excluded == 1
              ? 0
              : (guint)g_rand_int_range (rand, 0,
                                         (gint32)(set->len - n_excluded));
  for (guint i = 0; i < n_excluded && excluded[i] <= index; i++)
    index++;
  return g_ptr_array_index (set, index);
}

/* Choosing.  */

static choice_t
evaluate (const gp_router_t *router, gp_candidate_t *candidate, gp_time_t now)
{
  uint64_t load = gp_router_load (router, candidate, now);
  choice_t choice = { .candidate = candidate, .milli_load = load };

  choice.wait = candidate_wait (router, candidate, load);
  if (!candidate->near)
    choice.wait += router->settings.zone_cost;
  return choice;
}

static bool
is_better (const choice_t *a, const choice_t *b)
{
  if (a->wait != b->wait)
    return a->wait < b->wait;
  return a->milli_load * b->candidate->slots
         < b->milli_load * a->candidate->slots;
}

/* Samples SET and replaces BEST by a better candidate, if found.  */
static void
choose_from (const gp_router_t *router, const GPtrArray *set,
             const gp_route_t *route, GRand *rand, gp_time_t now,
             choice_t *best)
{
  guint excluded[GP_ROUTER_MAX_TRIED + N_CHOICES];
  guint n_excluded = excluded_indexes (router, set, route, excluded);

  for (guint i = 0; i < N_CHOICES; i++)
    {
      gp_candidate_t *candidate = sample (set, excluded, n_excluded, rand);
      choice_t choice;

      if (candidate == NULL)
        return;
      exclude_index (excluded, &n_excluded, candidate->index);
      choice = evaluate (router, candidate, now);
      if (best->candidate == NULL || is_better (&choice, best))
        *best = choice;
    }
}

static bool
was_tried (const gp_route_t *route, const gp_candidate_t *candidate)
{
  for (guint i = 0; i < route->n_tried; i++)
    if (route->tried[i] == candidate)
      return true;
  return false;
}

/* Returns the candidate that has waited longest for a probe, or NULL if
   there is none or ROUTE has tried it.  */
static gp_candidate_t *
waiting_probe (const gp_router_t *router, const gp_route_t *route)
{
  const gp_list_t *first = router->probes.next;
  gp_candidate_t *candidate;

  if (first == &router->probes)
    return NULL;
  candidate = GP_CONTAINER_OF (first, gp_candidate_t, probe_link);
  return was_tried (route, candidate) ? NULL : candidate;
}

gp_candidate_t *
gp_router_pick (gp_router_t *router, const gp_route_t *route, GRand *rand,
                gp_time_t now)
{
  choice_t best = { .candidate = NULL };

  if (route->may_probe)
    best.candidate = waiting_probe (router, route);
  if (best.candidate != NULL)
    return best.candidate;
  choose_from (router, router->near, route, rand, now, &best);
  if (best.candidate == NULL || best.wait > router->settings.zone_cost)
    choose_from (router, router->far, route, rand, now, &best);
  return best.candidate;
}

static bool
set_has_candidate (const gp_router_t *router, const GPtrArray *set,
                   const gp_route_t *route)
{
  guint excluded[GP_ROUTER_MAX_TRIED];

  return set->len > excluded_indexes (router, set, route, excluded);
}

bool
gp_router_has_candidate (const gp_router_t *router, const gp_route_t *route)
{
  return set_has_candidate (router, router->near, route)
         || set_has_candidate (router, router->far, route);
}

/* Accounting.  */

void
gp_router_sent (gp_router_t *router, gp_candidate_t *candidate)
{
  candidate->in_flight++;
  router->total_in_flight++;
  gp_list_remove (&candidate->probe_link);
  update_set (router, candidate);
}

void
gp_router_done (gp_router_t *router, gp_candidate_t *candidate)
{
  g_assert (candidate->in_flight > 0);
  candidate->in_flight--;
  if (candidate->mode == GP_CANDIDATE_REMOVED)
    return;
  router->total_in_flight--;
  update_set (router, candidate);
}

void
gp_router_report (gp_router_t *router, gp_candidate_t *candidate,
                  const gp_load_t *load)
{
  uint32_t held = load->running + load->queued;
  uint32_t others
      = held > candidate->in_flight ? held - candidate->in_flight : 0;

  if (load->at < candidate->reported_at
      || candidate->mode == GP_CANDIDATE_REMOVED)
    return;
  router->total_others += others;
  router->total_others -= candidate->others;
  candidate->others = others;
  set_latency (router, candidate, load->latency_us);
  candidate->reported_at = load->at;
}

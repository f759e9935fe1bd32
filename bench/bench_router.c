/* Cost of routing: time of a pick, and how evenly requests are
   distributed, in a queueing model in virtual time.  */

#include <math.h>

#include "coordination/outlier.h"
#include "coordination/router.h"
#include "coordination/subset.h"
#include "meter.h"

#define N_PICKS 2000000
#define SLOTS 8
#define CONNECTIONS 64

static const guint sizes[] = { 11, 110, 1100, 3600 };

static void
bench_pick (guint n)
{
  gp_router_settings_t settings = GP_ROUTER_SETTINGS_DEFAULT;
  gp_candidate_t *candidates = g_new (gp_candidate_t, n);
  gp_route_t route = { .n_tried = 0 };
  GRand *rand = g_rand_new_with_seed (1);
  gp_router_t router;
  gint64 started;

  gp_router_init (&router, &settings);
  for (guint i = 0; i < n; i++)
    {
      gp_load_t load = { .running = 4 + i % 7, .latency_us = 10000, .at = 0 };

      gp_router_add (&router, &candidates[i], i % 3 == 0, SLOTS, CONNECTIONS,
                     NULL);
      gp_router_report (&router, &candidates[i], &load);
    }
  started = g_get_monotonic_time ();
  for (gp_time_t t = 0; t < N_PICKS; t++)
    {
      gp_candidate_t *c = gp_router_pick (&router, &route, rand, t);
      gp_load_t load
          = { .running = (uint32_t)(4 + t % 7), .latency_us = 10000, .at = t };

      gp_router_sent (&router, c);
      gp_router_report (&router, c, &load);
      gp_router_done (&router, c);
    }
  gp_meter_print (started, "pick, sent, report, done", n, N_PICKS);
  gp_router_finish (&router);
  g_rand_free (rand);
  g_free (candidates);
}

/* Queueing model: entries route to executors with eight slots and FIFO
   queues; an answer carries the executor's load.  Executors and entries
   are assigned to the zones in turn.  */

#define MAX_ENTRIES 18
#define SERVICE_US 10000.0
#define FAILURE_US 100.0
#define N_REQUESTS 500000
#define ROUND_TRIP (3 * GP_MSEC) /* to another zone */

typedef enum
{
  POLICY_RANDOM,
  POLICY_ROUND_ROBIN,
  POLICY_ROUTER
} policy_t;

typedef struct
{
  const char *name;
  policy_t policy;
  guint n;
  guint n_entries;
  double utilization;
  bool skew;       /* all requests arrive at the entries of one zone */
  bool one_zone;   /* the router treats all zones as one */
  bool black_hole; /* executor 0 fails every request */
  bool eject;
  bool all; /* entries route to all executors instead of a subset */
  gp_router_settings_t settings;
} case_t;

typedef struct
{
  gp_time_t at;
  guint entry;
  guint executor;
} completion_t;

typedef struct
{
  gp_time_t slot_free[SLOTS];
  guint held;
} executor_t;

typedef struct
{
  gp_router_t router;
  gp_outlier_t outlier;
  gp_candidate_t *candidates;
  gp_health_t *health;
  guint next_executor;
} entry_t;

typedef struct
{
  const case_t *c;
  entry_t entries[MAX_ENTRIES];
  executor_t *executors;
  GSequence *completions;
  GRand *rand;
  GArray *delays;
  double imbalance;
  guint samples;
  guint other_zone;
  guint failed;
} model_t;

static gint
compare_completions (gconstpointer a, gconstpointer b, gpointer data)
{
  const completion_t *x = a;
  const completion_t *y = b;

  return (x->at > y->at) - (x->at < y->at);
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  return (*(const gp_time_t *)a > *(const gp_time_t *)b)
         - (*(const gp_time_t *)a < *(const gp_time_t *)b);
}

/* Returns true if the entry routes to executor I.  */
static bool
in_subset (const case_t *c, guint entry, guint i)
{
  static const char *const zones[] = { "z0", "z1", "z2" };
  char names[MAX_ENTRIES][16];
  char name[16];
  gp_home_t entries[MAX_ENTRIES];
  size_t share = gp_subset_size (c->n_entries / 3, c->n / 3);

  for (guint e = 0; e < c->n_entries; e++)
    {
      g_snprintf (names[e], sizeof names[e], "entry-%u", e);
      entries[e] = (gp_home_t){ names[e], "r0", zones[e % 3] };
    }
  g_snprintf (name, sizeof name, "guard-%u", i);
  return gp_subset_contains (name, entries, c->n_entries, entry, share);
}

static void
entry_init (entry_t *entry, const case_t *c, guint e)
{
  gp_outlier_settings_t settings = GP_OUTLIER_SETTINGS_DEFAULT;

  gp_router_init (&entry->router, &c->settings);
  gp_outlier_init (&entry->outlier, &settings, 0);
  entry->candidates = g_new (gp_candidate_t, c->n);
  entry->health = g_new (gp_health_t, c->n);
  for (guint i = 0; i < c->n; i++)
    {
      if (!c->all && !in_subset (c, e, i))
        continue;
      gp_router_add (&entry->router, &entry->candidates[i],
                     c->one_zone || i % 3 == e % 3, SLOTS, CONNECTIONS, NULL);
      gp_outlier_add (&entry->outlier, &entry->health[i],
                      &entry->candidates[i]);
    }
}

static void
entry_finish (entry_t *entry)
{
  gp_router_finish (&entry->router);
  g_free (entry->candidates);
  g_free (entry->health);
}

static guint
model_pick (model_t *model, entry_t *entry, gp_time_t now)
{
  gp_route_t route = { .may_probe = true };
  gp_candidate_t *candidate;
  guint i;

  if (model->c->policy == POLICY_RANDOM)
    return (guint)g_rand_int_range (model->rand, 0, (gint32)model->c->n);
  if (model->c->policy == POLICY_ROUND_ROBIN)
    return entry->next_executor++ % model->c->n;
  candidate = gp_router_pick (&entry->router, &route, model->rand, now);
  gp_router_sent (&entry->router, candidate);
  i = (guint)(candidate - entry->candidates);
  gp_outlier_probe_sent (&entry->outlier, &entry->health[i], now);
  return i;
}

static void
apply (entry_t *entry, const gp_health_t *health, gp_outlier_action_t action)
{
  switch (action)
    {
    case GP_OUTLIER_NONE:
      break;
    case GP_OUTLIER_EJECT:
      gp_router_eject (&entry->router, health->data);
      break;
    case GP_OUTLIER_OFFER_PROBE:
      gp_router_offer_probe (&entry->router, health->data);
      break;
    case GP_OUTLIER_READMIT:
      gp_router_readmit (&entry->router, health->data);
      break;
    }
}

static void
record_result (model_t *model, entry_t *entry, gp_health_t *health,
               bool success, gp_time_t now)
{
  gp_time_t duration = (gp_time_t)(success ? SERVICE_US : FAILURE_US);
  gp_outlier_action_t action;
  gp_health_t *due;

  model->failed += !success;
  if (!model->c->eject)
    return;
  if (health->state == GP_HEALTH_PROBING)
    action = gp_outlier_probe_done (&entry->outlier, health, success, now);
  else
    action
        = gp_outlier_record (&entry->outlier, health, success, duration, now);
  apply (entry, health, action);
  while ((due = gp_outlier_next_due (&entry->outlier, now, &action)) != NULL)
    apply (entry, due, action);
}

static bool
is_black_hole (const model_t *model, guint executor)
{
  return model->c->black_hole && executor == 0;
}

static void
model_complete (model_t *model, gp_time_t now)
{
  GSequenceIter *first = g_sequence_get_begin_iter (model->completions);

  while (!g_sequence_iter_is_end (first))
    {
      completion_t done = *(completion_t *)g_sequence_get (first);
      executor_t *executor = &model->executors[done.executor];
      entry_t *entry = &model->entries[done.entry];
      bool success = !is_black_hole (model, done.executor);
      gp_load_t load = { .at = done.at };

      if (done.at > now)
        return;
      g_sequence_remove (first);
      first = g_sequence_get_begin_iter (model->completions);
      load.running = --executor->held;
      load.latency_us = (uint32_t)(success ? SERVICE_US : FAILURE_US);
      if (model->c->policy != POLICY_ROUTER)
        continue;
      gp_router_done (&entry->router, &entry->candidates[done.executor]);
      gp_router_report (&entry->router, &entry->candidates[done.executor],
                        &load);
      record_result (model, entry, &entry->health[done.executor], success,
                     done.at);
    }
}

/* Serves a request that arrives at NOW and returns its wait for a slot.  */
static gp_time_t
model_serve (model_t *model, guint entry, guint e, gp_time_t now)
{
  executor_t *executor = &model->executors[e];
  completion_t *done = g_new (completion_t, 1);
  double mean = is_black_hole (model, e) ? FAILURE_US : SERVICE_US;
  gp_time_t start;
  guint slot = 0;

  for (guint i = 1; i < SLOTS; i++)
    if (executor->slot_free[i] < executor->slot_free[slot])
      slot = i;
  start = MAX (now, executor->slot_free[slot]);
  executor->slot_free[slot]
      = start + (gp_time_t)(-log (1 - g_rand_double (model->rand)) * mean);
  executor->held++;
  *done = (completion_t){ executor->slot_free[slot], entry, e };
  g_sequence_insert_sorted (model->completions, done, compare_completions,
                            NULL);
  return start - now;
}

static void
model_request (model_t *model, gp_time_t now)
{
  guint n_entries = model->c->n_entries;
  guint entry = (guint)g_rand_int_range (model->rand, 0, (gint32)n_entries);
  gp_time_t delay;
  guint e;

  entry -= model->c->skew ? entry % 3 : 0;
  e = model_pick (model, &model->entries[entry], now);
  delay = model_serve (model, entry, e, now);
  if (e % 3 != entry % 3)
    {
      delay += ROUND_TRIP;
      model->other_zone++;
    }
  g_array_append_val (model->delays, delay);
}

static void
model_sample (model_t *model)
{
  guint max = 0;
  guint sum = 0;

  for (guint i = 0; i < model->c->n; i++)
    {
      max = MAX (max, model->executors[i].held);
      sum += model->executors[i].held;
    }
  model->imbalance += (double)max * model->c->n / MAX (sum, 1);
  model->samples++;
}

static double
percentile_ms (const model_t *model, double part)
{
  size_t i = (size_t)(part * model->delays->len);

  return (double)g_array_index (model->delays, gp_time_t, i) / 1000;
}

static void
model_print (const model_t *model)
{
  const case_t *c = model->c;

  g_array_sort (model->delays, compare_times);
  printf ("%-24s %4u executors %2u entries load %.2f%s: max/mean %5.2f  "
          "delay p50 %5.2f p99 %6.2f p99.9 %6.2f ms  away %4.1f %%",
          c->name, c->n, c->n_entries, c->utilization,
          c->skew ? " skewed" : "", model->imbalance / model->samples,
          percentile_ms (model, 0.5), percentile_ms (model, 0.99),
          percentile_ms (model, 0.999),
          100.0 * model->other_zone / N_REQUESTS);
  if (c->black_hole)
    printf ("  failed %.3f %%", 100.0 * model->failed / N_REQUESTS);
  printf ("\n");
}

static void
model_run (case_t c)
{
  model_t model = { .c = &c, .rand = g_rand_new_with_seed (1) };
  double now = 0;

  model.completions = g_sequence_new (g_free);
  model.executors = g_new0 (executor_t, c.n);
  model.delays = g_array_new (FALSE, FALSE, sizeof (gp_time_t));
  for (guint e = 0; e < c.n_entries; e++)
    entry_init (&model.entries[e], &c, e);
  for (guint r = 0; r < N_REQUESTS; r++)
    {
      now -= log (1 - g_rand_double (model.rand)) * SERVICE_US
             / (c.n * SLOTS * c.utilization);
      model_complete (&model, (gp_time_t)now);
      model_request (&model, (gp_time_t)now);
      if (r % 100 == 0 && r > N_REQUESTS / 5)
        model_sample (&model);
    }
  model_print (&model);
  for (guint e = 0; e < c.n_entries; e++)
    entry_finish (&model.entries[e]);
  g_free (model.executors);
  g_sequence_free (model.completions);
  g_rand_free (model.rand);
  g_array_free (model.delays, TRUE);
}

static void
bench_model (guint n, guint n_entries, double utilization, bool skew)
{
  case_t usual = { .policy = POLICY_ROUTER,
                   .n = n,
                   .n_entries = n_entries,
                   .utilization = utilization,
                   .skew = skew,
                   .settings = GP_ROUTER_SETTINGS_DEFAULT };
  case_t c = usual;

  c.name = "random";
  c.policy = POLICY_RANDOM;
  model_run (c);
  c.name = "round robin";
  c.policy = POLICY_ROUND_ROBIN;
  model_run (c);
  c = usual;
  c.name = "router";
  model_run (c);
  c.name = "router, one zone";
  c.one_zone = true;
  model_run (c);
  c = usual;
  c.name = "router, no reports";
  c.settings.report_pct = 0;
  model_run (c);
  c = usual;
  c.name = "router, all executors";
  c.all = true;
  model_run (c);
  c.name = "all, no reports";
  c.settings.report_pct = 0;
  model_run (c);
}

static void
bench_black_hole (void)
{
  case_t c = { .name = "black hole, kept",
               .policy = POLICY_ROUTER,
               .n = 11,
               .n_entries = 3,
               .utilization = 0.7,
               .black_hole = true,
               .settings = GP_ROUTER_SETTINGS_DEFAULT };

  model_run (c);
  c.name = "black hole, ejected";
  c.eject = true;
  model_run (c);
}

int
main (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    bench_pick (sizes[i]);
  bench_model (11, 3, 0.7, false);
  bench_model (11, 3, 0.9, false);
  bench_model (12, 6, 0.7, true);
  bench_model (110, 6, 0.9, false);
  bench_model (1100, 18, 0.9, false);
  bench_black_hole ();
  return 0;
}

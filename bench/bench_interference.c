/* Compares placement policies on one recorded load in virtual time.

   Eleven workers each run an executor of a service and some tasks.
   The true slowdown depends on the kinds of tasks and multiplies the
   service's latency, which differs from the form assumed by the model.
   The model sees only the p99 of 10 s windows, 20 s late and with 15%
   noise.  A task checkpoints every 120 s.  All policies share the queue,
   the model and the remedies unless stated otherwise; they differ in the
   choice of the worker.  */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "coordination/pending.h"
#include "coordination/placement.h"
#include "coordination/remedy.h"

enum
{
  WORKERS = 11,
  KINDS = 6,
  SECONDS = 4 * 3600,
  WINDOW = 10,
  LAG = 20,
  CHECKPOINT = 120,
  JOBS_MAX = 20000,
  MEASURED = SECONDS * WORKERS,
  SEEDS = 2
};

typedef enum
{
  FIRST_FIT_PLAIN,
  FIRST_FIT,
  NO_TERM,
  NO_WAIT,
  OURS,
  POLICIES
} policy_t;

static const char *const policy_names[]
    = { "first-fit, no remedies", "first-fit", "ours, no interference term",
        "ours, never waits", "ours" };

/* A user's site: its workers, and the batch work with its deadlines.  */
typedef struct
{
  const char *name;
  gp_resources_t capacity; /* without the executor's part */
  double cores;            /* mean size of a task */
  double run_seconds;
  double per_second; /* arrival rate */
  int night_seconds; /* common deadline; 0 if it depends on the run time */
} site_t;

static const site_t sites[]
    = { { "Parabrisas Claros", { 52000, 200000, 0 }, 3.0, 400.0, 0.33, 0 },
        { "Obermaier", { 12000, 48000, 0 }, 0.8, 240.0, 0.5, SECONDS } };

/* Slowdown of the service caused by one task of each kind, at its mean
   size.  */
static const double truth[KINDS] = { 0.0, 0.005, 0.01, 0.03, 0.07, 0.15 };

typedef struct
{
  gp_pending_task_t pending;
  gp_placement_request_t request;
  int arrival;
  double run, deadline, progress, checkpoint;
  unsigned int worker;
  bool throttled, done;
} job_t;

typedef struct
{
  double breach, done, late, evictions, throttles, lost;
} result_t;

typedef struct
{
  const site_t *site;
  policy_t policy;
  double intensity; /* factor on the arrival rate */
  GRand *random;
  gp_fleet_t fleet;
  gp_spread_t spread;
  gp_interference_t interference;
  gp_placement_t placement;
  gp_pending_t pending;
  gp_quota_t quota;
  gp_worker_t workers[WORKERS];
  gp_residency_t residency[WORKERS];
  gp_remedy_t remedy[WORKERS];
  double window[WORKERS], sent[WORKERS][LAG / WINDOW + 1];
  double load[WORKERS][LAG / WINDOW + 1];
  job_t *jobs, *running[JOBS_MAX];
  unsigned int n_jobs, n_running, n_ratios;
  double *ratios;
  result_t result;
} sim_t;

static double
normal (GRand *random)
{
  double sum = 0.0;

  for (int i = 0; i < 12; i++)
    sum += g_rand_double (random);
  return sum - 6.0;
}

/* Load of the executor: a slow wave, and a surge of five minutes every 40
   minutes.  */
static double
load_at (unsigned int worker, int t)
{
  double wave = 0.35 + 0.2 * sin (2.0 * G_PI * t / 5400.0 + worker * 0.3);

  return t % 2400 < 300 ? fmin (0.9, wave + 0.3) : wave;
}

static void
record_jobs (sim_t *sim, uint32_t seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  const site_t *site = sim->site;

  for (int t = 0; t < SECONDS * 9 / 10; t++)
    while (g_rand_double (random) < (t % 1200 < 300 ? 2.0 : 0.67)
                                        * site->per_second / 2.0
                                        * sim->intensity
           && sim->n_jobs < JOBS_MAX)
      {
        job_t *job = &sim->jobs[sim->n_jobs];
        double size = site->cores * (0.5 + g_rand_double (random));
        gp_resources_t demand
            = { (uint32_t)(1000 * size), (uint32_t)(3500 * size), 0 };

        job->arrival = t;
        job->run = site->run_seconds * exp (0.6 * normal (random));
        job->deadline = site->night_seconds > 0 ? site->night_seconds
                                                : t + 300 + 3 * job->run;
        job->request = (gp_placement_request_t){
          .task = ++sim->n_jobs,
          .work_class = GP_WORK_BATCH,
          .kind = (uint16_t)g_rand_int_range (random, 0, KINDS),
          .demand = demand,
          .zones = GP_PLACEMENT_ALL_ZONES,
          .previous = GP_WORKER_NONE,
          .held = GP_WORKER_NONE
        };
        gp_pending_task_init (
            &job->pending, job->request.task, 0, GP_WORK_BATCH, &demand,
            (gp_time_t)((job->deadline - job->run) * GP_SEC));
      }
  g_rand_free (random);
}

static gp_worker_t *
choose (sim_t *sim, job_t *job, int t)
{
  bool at_risk = job->deadline - t < 2 * (job->run - job->checkpoint) + 60;

  job->request.harm_limit = sim->policy == OURS && !at_risk ? 0.02 : INFINITY;
  if (sim->policy >= NO_TERM)
    return gp_placement_choose (&sim->placement, &job->request).worker;
  for (unsigned int i = 0; i < WORKERS; i++)
    if (gp_placement_allows (&job->request, &sim->workers[i]))
      return &sim->workers[i];
  return NULL;
}

static void
start_jobs (sim_t *sim, int t)
{
  gp_pending_task_t *task;

  while ((task = gp_pending_next (&sim->pending, &sim->quota, t * GP_SEC)))
    {
      job_t *job = GP_CONTAINER_OF (task, job_t, pending);
      gp_worker_t *worker = choose (sim, job, t);

      if (worker == NULL)
        {
          gp_pending_defer (&sim->pending, &sim->quota, task,
                            GP_PENDING_NO_CAPACITY, t * GP_SEC);
          continue;
        }
      gp_placement_reserve (&sim->placement, &job->request, worker);
      gp_fleet_confirm (&sim->fleet, worker, &job->request.demand);
      gp_residency_change (&sim->residency[worker->index], job->request.kind,
                           GP_RESIDENCY_UNTHROTTLED, t * GP_SEC);
      job->worker = worker->index;
      sim->running[sim->n_running++] = job;
    }
}

static void
leave (sim_t *sim, unsigned int i, int t)
{
  job_t *job = sim->running[i];

  gp_placement_release (&sim->placement, &job->request,
                        &sim->workers[job->worker]);
  gp_residency_change (&sim->residency[job->worker], job->request.kind,
                       job->throttled ? -GP_RESIDENCY_THROTTLED
                                      : -GP_RESIDENCY_UNTHROTTLED,
                       t * GP_SEC);
  gp_quota_release (&sim->quota, &job->pending.charge);
  job->throttled = false;
  sim->running[i] = sim->running[--sim->n_running];
}

static void
run_jobs (sim_t *sim, int t)
{
  for (unsigned int i = sim->n_running; i-- > 0;)
    {
      job_t *job = sim->running[i];

      job->progress += job->throttled ? 0.25 : 1.0;
      if (job->progress - job->checkpoint >= CHECKPOINT)
        job->checkpoint = job->progress;
      if (job->progress < job->run)
        continue;
      job->done = true;
      sim->result.done += job->run * job->request.demand.millicores / 3.6e6;
      sim->result.late += t > job->deadline;
      leave (sim, i, t);
    }
}

static void
carry_out (sim_t *sim, const gp_remedy_decision_t *decision, unsigned int i,
           int t)
{
  job_t *job = sim->running[i];
  bool throttle = decision->action == GP_REMEDY_THROTTLE;

  if (decision->action != GP_REMEDY_EVICT)
    {
      sim->result.throttles += throttle;
      job->throttled = throttle;
      gp_residency_change (&sim->residency[job->worker], job->request.kind,
                           throttle ? -3 : 3, t * GP_SEC);
      return;
    }
  sim->result.evictions++;
  sim->result.lost += (job->progress - job->checkpoint)
                      * job->request.demand.millicores / 3.6e6;
  job->progress = job->checkpoint;
  leave (sim, i, t);
  gp_pending_add (&sim->pending, &job->pending, t * GP_SEC);
}

/* Processes a measurement of worker W that ended LAG ago.  */
static void
measured (sim_t *sim, unsigned int w, double load, double ratio, int t)
{
  gp_remedy_measurement_t m
      = { ratio, (t - LAG - WINDOW) * GP_SEC, (t - LAG) * GP_SEC };
  gp_remedy_resident_t residents[512];
  gp_remedy_decision_t decision;
  unsigned int n = 0;

  gp_interference_measure (&sim->interference, 0, load, &sim->residency[w],
                           m.from, m.to, ratio);
  for (unsigned int i = 0; i < sim->n_running; i++)
    if (sim->running[i]->worker == w && n < G_N_ELEMENTS (residents))
      {
        job_t *job = sim->running[i];

        residents[n++] = (gp_remedy_resident_t){
          .task = job->request.task,
          .work_class = GP_WORK_BATCH,
          .throttled = job->throttled,
          .since_checkpoint
          = (gp_time_t)((job->progress - job->checkpoint) * GP_SEC),
          .laxity = (gp_time_t)((job->deadline - t - job->run + job->progress)
                                * GP_SEC),
          .relief
          = (1.0 + load)
            * gp_interference_slope (&sim->interference, 0, job->request.kind)
                  .mean
        };
      }
  if (sim->policy == FIRST_FIT_PLAIN)
    return;
  decision = gp_remedy_decide (&sim->remedy[w], &GP_REMEDY_DEFAULTS, &m,
                               residents, n, t * GP_SEC);
  for (unsigned int k = 0; k < decision.n; k++)
    for (unsigned int i = sim->n_running; i-- > 0;)
      if (sim->running[i]->request.task == decision.tasks[k])
        {
          carry_out (sim, &decision, i, t);
          break;
        }
}

static void
run_service (sim_t *sim, unsigned int w, int t)
{
  double slowdown = 1.0;
  double load = load_at (w, t);
  double ratio;
  int slot = t / WINDOW % (LAG / WINDOW + 1);

  for (unsigned int i = 0; i < sim->n_running; i++)
    if (sim->running[i]->worker == w)
      slowdown += truth[sim->running[i]->request.kind] * (1.0 + load)
                  * (sim->running[i]->throttled ? 0.25 : 1.0);
  ratio = (0.35 + 0.25 * load) * slowdown;
  sim->ratios[sim->n_ratios++] = ratio;
  sim->result.breach += ratio > 1.0;
  sim->window[w] += ratio / WINDOW;
  sim->workers[w].load_permille = (uint16_t)(1000 * load);
  if (t % WINDOW != WINDOW - 1)
    return;
  /* The measurement in the oldest slot arrives now.  */
  if (t > LAG + WINDOW)
    measured (sim, w, sim->load[w][(slot + 1) % 3],
              sim->sent[w][(slot + 1) % 3], t + 1);
  sim->sent[w][slot] = sim->window[w] * exp (0.15 * normal (sim->random));
  sim->load[w][slot] = load;
  sim->window[w] = 0.0;
}

static void
sim_init (sim_t *sim, const site_t *site, policy_t policy, double intensity,
          uint32_t seed)
{
  gp_placement_weights_t weights = GP_PLACEMENT_WEIGHTS_DEFAULT;
  gp_resources_t limit = { 1U << 30, 1U << 30, 0 };
  gp_pending_settings_t settings = GP_PENDING_DEFAULTS;

  sim->site = site;
  sim->policy = policy;
  sim->intensity = intensity;
  sim->random = g_rand_new_with_seed (seed);
  sim->jobs = g_new0 (job_t, JOBS_MAX);
  sim->ratios = g_new (double, MEASURED);
  gp_fleet_init (&sim->fleet, 4);
  gp_spread_init (&sim->spread);
  gp_interference_init (&sim->interference, &GP_INTERFERENCE_DEFAULTS);
  gp_placement_init (&sim->placement, &weights, &sim->fleet, &sim->spread,
                     policy >= NO_WAIT ? &sim->interference : NULL);
  settings.backoff_max = 10 * GP_SEC;
  gp_pending_init (&sim->pending, &settings);
  gp_quota_init (&sim->quota);
  gp_quota_set_limit (&sim->quota, 0, &limit);
  for (unsigned int w = 0; w < WORKERS; w++)
    {
      gp_worker_init (&sim->workers[w]);
      sim->workers[w].capacity = site->capacity;
      sim->workers[w].zone = (uint16_t)(w % 4);
      sim->workers[w].rack = w / 3;
      sim->workers[w].service = 0;
      gp_fleet_add (&sim->fleet, &sim->workers[w]);
      gp_residency_init (&sim->residency[w], 0);
      gp_remedy_init (&sim->remedy[w]);
    }
  record_jobs (sim, seed);
}

static int
compare (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
report (sim_t *sim)
{
  unsigned int met = 0;
  unsigned int due = 0;
  result_t *r = &sim->result;

  for (unsigned int i = 0; i < sim->n_jobs; i++)
    {
      due += sim->jobs[i].done || sim->jobs[i].deadline <= SECONDS;
      met += sim->jobs[i].done;
    }
  met -= (unsigned int)r->late;
  qsort (sim->ratios, sim->n_ratios, sizeof *sim->ratios, compare);
  printf ("  %-27s p99 %.2f of target, over it %5.2f%%; batch %6.1f core-h, "
          "deadlines %5.1f%% of %u; %4.0f evictions, %5.2f core-h lost, "
          "%4.0f throttles\n",
          policy_names[sim->policy], sim->ratios[sim->n_ratios * 99 / 100],
          100.0 * r->breach / sim->n_ratios, r->done, 100.0 * met / due, due,
          r->evictions, r->lost, r->throttles);
}

static void
run (const site_t *site, policy_t policy, double intensity, uint32_t seed)
{
  sim_t *sim = g_new0 (sim_t, 1);
  unsigned int next = 0;

  sim_init (sim, site, policy, intensity, seed);
  for (int t = 0; t < SECONDS; t++)
    {
      while (next < sim->n_jobs && sim->jobs[next].arrival <= t)
        gp_pending_add (&sim->pending, &sim->jobs[next++].pending, t * GP_SEC);
      start_jobs (sim, t);
      run_jobs (sim, t);
      for (unsigned int w = 0; w < WORKERS; w++)
        run_service (sim, w, t);
    }
  report (sim);
  gp_quota_finish (&sim->quota);
  gp_pending_finish (&sim->pending);
  gp_interference_finish (&sim->interference);
  gp_spread_finish (&sim->spread);
  gp_fleet_finish (&sim->fleet);
  for (unsigned int w = 0; w < WORKERS; w++)
    gp_worker_finish (&sim->workers[w]);
  g_rand_free (sim->random);
  g_free (sim->ratios);
  g_free (sim->jobs);
  g_free (sim);
}

/* Runs all policies on the load given by SEED and INTENSITY.  */
static void
compare_policies (const site_t *site, double intensity, uint32_t seed)
{
  printf ("%s, load %u at %.1f\n", site->name, seed, intensity);
  for (int policy = 0; policy < POLICIES; policy++)
    run (site, (policy_t)policy, intensity, seed);
}

int
main (void)
{
  static const double intensities[] = { 1.0, 1.4 };

  for (unsigned int i = 0; i < G_N_ELEMENTS (sites); i++)
    for (unsigned int j = 0; j < G_N_ELEMENTS (intensities); j++)
      for (uint32_t seed = 1; seed <= SEEDS; seed++)
        compare_policies (&sites[i], intensities[j], seed);
  return 0;
}

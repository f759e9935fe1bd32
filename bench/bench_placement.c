/* Placement decisions per second and memory use, by size of the fleet.

   Each fleet is filled with the task density of 95,000 tasks on 3,600
   workers; then tasks are placed and released in turn.  */

#include <math.h>
#include <stdio.h>

#include "base/time.h"
#include "coordination/pending.h"
#include "coordination/placement.h"
#include "coordination/residency.h"

enum
{
  ZONES = 9,
  KINDS = 40,
  GROUPS = 200,
  DECISIONS = 200000,
  WAITING = 20000,
  TEAMS = 71,
  TASKS_PER_WORKER = 26 /* 95,000 on 3,600 */
};

typedef struct
{
  gp_placement_request_t request;
  gp_worker_t *worker;
} placed_t;

typedef struct
{
  gp_fleet_t fleet;
  gp_spread_t spread;
  gp_interference_t interference;
  gp_placement_t placement;
  gp_worker_t *workers;
  unsigned int n_workers;
  placed_t *tasks;
  unsigned int n_tasks;
  unsigned int misses;
  GRand *random;
} site_t;

static void
add_worker (site_t *site, unsigned int index)
{
  gp_worker_t *worker = &site->workers[index];

  gp_worker_init (worker);
  worker->capacity = (gp_resources_t){ 64000, 256000, index % 4 == 0 ? 6 : 0 };
  worker->zone = (uint16_t)(index % ZONES);
  worker->region = worker->zone / 3;
  worker->rack = index / 3;
  worker->service = (uint16_t)(index % 20);
  worker->load_permille = (uint16_t)g_rand_int_range (site->random, 0, 1000);
  gp_fleet_add (&site->fleet, worker);
}

static gp_placement_request_t
random_request (site_t *site)
{
  GRand *random = site->random;
  gp_placement_request_t request = { .task = g_rand_int (random) };

  request.kind = (uint16_t)g_rand_int_range (random, 0, KINDS);
  request.group = (uint32_t)g_rand_int_range (random, 0, GROUPS);
  request.work_class
      = g_rand_int_range (random, 0, 5) == 0 ? GP_WORK_WATCHER : GP_WORK_BATCH;
  request.demand.millicores = 250U << g_rand_int_range (random, 0, 5);
  request.demand.memory_mib = 1000U << g_rand_int_range (random, 0, 5);
  request.demand.accelerators = g_rand_int_range (random, 0, 20) == 0;
  request.zones = GP_PLACEMENT_ALL_ZONES;
  request.previous = GP_WORKER_NONE;
  request.held = GP_WORKER_NONE;
  request.harm_limit = INFINITY;
  return request;
}

/* Trains a model for each service, so that no prediction uses only the
   prior.  */
static void
train (site_t *site)
{
  gp_residency_t residency;

  gp_residency_init (&residency, 0);
  for (int kind = 0; kind < KINDS; kind++)
    gp_residency_change (&residency, (uint16_t)kind, GP_RESIDENCY_UNTHROTTLED,
                         kind);
  for (uint16_t service = 0; service < 20; service++)
    for (int i = 1; i < 50; i++)
      gp_interference_measure (&site->interference, service, 0.5, &residency,
                               GP_SEC, GP_SEC + i * GP_SEC, 0.9);
}

static void
place_one (site_t *site)
{
  gp_placement_request_t request = random_request (site);
  gp_placement_choice_t choice
      = gp_placement_choose (&site->placement, &request);

  if (choice.worker == NULL)
    {
      site->misses++;
      return;
    }
  gp_placement_reserve (&site->placement, &request, choice.worker);
  gp_fleet_confirm (&site->fleet, choice.worker, &request.demand);
  site->tasks[site->n_tasks++] = (placed_t){ request, choice.worker };
}

static void
release_one (site_t *site)
{
  unsigned int i
      = (unsigned int)g_rand_int_range (site->random, 0, (gint)site->n_tasks);

  gp_placement_release (&site->placement, &site->tasks[i].request,
                        site->tasks[i].worker);
  site->tasks[i] = site->tasks[--site->n_tasks];
}

static void
site_init (site_t *site, unsigned int n_workers, bool with_interference)
{
  site->random = g_rand_new_with_seed (7);
  site->n_workers = n_workers;
  site->workers = g_new (gp_worker_t, n_workers);
  site->tasks = g_new (placed_t, (gsize)n_workers * 2 * TASKS_PER_WORKER);
  gp_fleet_init (&site->fleet, ZONES);
  gp_spread_init (&site->spread);
  gp_interference_init (&site->interference, &GP_INTERFERENCE_DEFAULTS);
  train (site);
  gp_placement_init (&site->placement, &GP_PLACEMENT_WEIGHTS_DEFAULT,
                     &site->fleet, &site->spread,
                     with_interference ? &site->interference : NULL);
  for (unsigned int i = 0; i < n_workers; i++)
    add_worker (site, i);
}

static void
site_finish (site_t *site)
{
  gp_interference_finish (&site->interference);
  gp_spread_finish (&site->spread);
  gp_fleet_finish (&site->fleet);
  for (unsigned int i = 0; i < site->n_workers; i++)
    gp_worker_finish (&site->workers[i]);
  g_free (site->workers);
  g_free (site->tasks);
  g_rand_free (site->random);
}

static void
run (unsigned int n_workers, bool with_interference)
{
  site_t site = { 0 };
  unsigned int tries = 0;
  gp_time_t begun;
  double seconds;

  site_init (&site, n_workers, with_interference);
  while (site.n_tasks < n_workers * TASKS_PER_WORKER
         && tries++ < 4 * n_workers * TASKS_PER_WORKER)
    place_one (&site);
  site.misses = 0;
  begun = gp_time_now ();
  for (unsigned int i = 0; i < DECISIONS; i++)
    {
      if (site.n_tasks == n_workers * TASKS_PER_WORKER)
        release_one (&site);
      place_one (&site);
    }
  seconds = (double)(gp_time_now () - begun) / GP_SEC;
  printf ("%5u workers %6u tasks, interference %-3s: %8.0f decisions/s, "
          "%u of %d without room\n",
          n_workers, site.n_tasks, with_interference ? "on" : "off",
          DECISIONS / seconds, site.misses, DECISIONS);
  site_finish (&site);
}

/* Takes tasks from a long queue and defers them again.  */
static void
run_pending (void)
{
  gp_pending_t pending;
  gp_quota_t quota;
  gp_pending_task_t *tasks = g_new (gp_pending_task_t, WAITING);
  gp_resources_t limit = { 1U << 30, 1U << 30, 0 };
  gp_resources_t demand = { 1000, 1000, 0 };
  gp_time_t now = GP_SEC;
  gp_time_t begun;
  unsigned int taken = 0;

  gp_pending_init (&pending, &GP_PENDING_DEFAULTS);
  gp_quota_init (&quota);
  for (uint32_t team = 0; team < TEAMS; team++)
    gp_quota_set_limit (&quota, team, &limit);
  for (unsigned int i = 0; i < WAITING; i++)
    {
      gp_pending_task_init (&tasks[i], i + 1, i % TEAMS, GP_WORK_BATCH,
                            &demand, (i * 7919LL % WAITING) * GP_SEC);
      gp_pending_add (&pending, &tasks[i], now);
    }
  begun = gp_time_now ();
  for (; taken < DECISIONS; now += 10 * GP_MSEC)
    {
      gp_pending_task_t *task;

      while ((task = gp_pending_next (&pending, &quota, now)) != NULL)
        {
          gp_pending_defer (&pending, &quota, task, GP_PENDING_NO_CAPACITY,
                            now);
          taken++;
        }
    }
  printf ("%u waiting tasks of %u teams: %8.0f taken and deferred/s\n",
          WAITING, TEAMS, taken / ((double)(gp_time_now () - begun) / GP_SEC));
  begun = gp_time_now ();
  for (unsigned int i = 0; i < WAITING; i++)
    gp_pending_remove (&pending, &quota, &tasks[i]);
  printf ("cancelling all: %8.0f/s\n",
          WAITING / ((double)(gp_time_now () - begun) / GP_SEC));
  gp_quota_finish (&quota);
  gp_pending_finish (&pending);
  g_free (tasks);
}

int
main (void)
{
  static const unsigned int sizes[] = { 11, 110, 1200, 3600 };

  for (unsigned int i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      run (sizes[i], false);
      run (sizes[i], true);
    }
  run_pending ();
  printf ("bytes: worker %zu and 4 a resident kind, residency ring %zu, "
          "interference model %d a service, cells %d a zone, "
          "pending task %zu, ask %zu\n",
          sizeof (gp_worker_t), sizeof (gp_residency_t), 8 * 66 * 67,
          2 * 1024 * 16, sizeof (gp_pending_task_t),
          sizeof (gp_placement_request_t));
  return 0;
}

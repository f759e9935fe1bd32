/* Tests of the pending queue: transcripts, random runs compared with a
   reference implementation that searches a list of all tasks, and
   starvation under tight quotas.  */

#include "runner.h"

#include <math.h>
#include <stdio.h>

#include "coordination/pending.h"

enum
{
  TEAMS = 4,
  TASKS = 600,
  STEPS = 6000
};

static const gp_resources_t limit = { 10000, 100000, 0 };

typedef struct
{
  gp_pending_t pending;
  gp_quota_t quota;
  gp_pending_task_t tasks[TASKS];
  unsigned int n_tasks;
} site_t;

static void
site_init (site_t *site, const gp_pending_settings_t *settings)
{
  gp_pending_init (&site->pending, settings);
  gp_quota_init (&site->quota);
  for (uint32_t team = 0; team < TEAMS; team++)
    gp_quota_set_limit (&site->quota, team, &limit);
  site->n_tasks = 0;
}

static void
site_finish (site_t *site)
{
  gp_quota_finish (&site->quota);
  gp_pending_finish (&site->pending);
}

/* Adds a task; its id is its index plus 1.  */
static gp_pending_task_t *
add (site_t *site, uint32_t team, gp_work_class_t work_class,
     uint32_t millicores, gp_time_t latest_start, gp_time_t now)
{
  gp_pending_task_t *task = &site->tasks[site->n_tasks++];
  gp_resources_t demand = { millicores, 10, 0 };

  gp_pending_task_init (task, site->n_tasks, team, work_class, &demand,
                        latest_start);
  gp_pending_add (&site->pending, task, now);
  return task;
}

static gp_pending_task_t *
print_next (site_t *site, const char *what, gp_time_t now)
{
  gp_pending_task_t *task
      = gp_pending_next (&site->pending, &site->quota, now);

  if (task == NULL)
    printf ("%s: none, again at %ld ms\n", what,
            (long)(gp_pending_next_wake (&site->pending, now) / GP_MSEC));
  else
    printf ("%s: task %u of team %u\n", what, (unsigned int)task->node.task,
            task->charge.team);
  return task;
}

/* After arbitrary removals from a heap, the remaining nodes come out in
   order.  */
static void
test_heap (void)
{
  gp_task_heap_t heap;
  gp_task_heap_node_t nodes[200];
  gp_task_heap_node_t *node;
  GRand *random = g_rand_new_with_seed (2);

  gp_task_heap_init (&heap);
  for (int round = 0; round < 200; round++)
    {
      gp_time_t last = -1;

      for (unsigned int i = 0; i < G_N_ELEMENTS (nodes); i++)
        {
          nodes[i].task = i;
          nodes[i].key = g_rand_int_range (random, 0, 500);
          gp_task_heap_push (&heap, &nodes[i]);
        }
      for (unsigned int i = 0; i < G_N_ELEMENTS (nodes) / 2; i++)
        gp_task_heap_remove (&heap, heap.nodes->pdata[g_rand_int_range (
                                        random, 0, (gint)heap.nodes->len)]);
      for (; (node = gp_task_heap_first (&heap)) != NULL; last = node->key)
        {
          CU_ASSERT_TRUE (node->key >= last);
          gp_task_heap_remove (&heap, node);
        }
    }
  gp_task_heap_finish (&heap);
  g_rand_free (random);
}

static void
test_order (void)
{
  site_t site;

  site_init (&site, &GP_PENDING_DEFAULTS);
  add (&site, 0, GP_WORK_BATCH, 3000, 900 * GP_SEC, 0);
  add (&site, 0, GP_WORK_BATCH, 3000, 30 * GP_SEC, 0);
  add (&site, 0, GP_WORK_WATCHER, 1000, GP_TIME_NEVER, 0);
  add (&site, 1, GP_WORK_BATCH, 3000, 800 * GP_SEC, 0);
  for (int i = 0; i < 5; i++)
    add (&site, 2, GP_WORK_LATENCY_CRITICAL, 100, GP_TIME_NEVER, i);
  for (int i = 0; i < 10; i++)
    print_next (&site, "order", GP_SEC);
  site_finish (&site);
}

/* A task for which the quota has no room is deferred without blocking
   those behind it, gets quota reserved, and is not starved by smaller
   tasks of its team.  */
static void
test_quota_head (void)
{
  site_t site;
  gp_pending_task_t *running;
  gp_time_t now = 0;

  site_init (&site, &GP_PENDING_DEFAULTS);
  add (&site, 0, GP_WORK_BATCH, 6000, 10 * GP_SEC, 0);
  running = print_next (&site, "runs", 0);
  add (&site, 0, GP_WORK_BATCH, 8000, 20 * GP_SEC, 0);
  for (int i = 0; i < 9; i++)
    {
      gp_pending_task_t *small
          = add (&site, 0, GP_WORK_BATCH, 1000, 40 * GP_SEC, now);

      print_next (&site, "behind the large one", now);
      gp_pending_remove (&site.pending, &site.quota, small);
      now += 2 * GP_SEC;
    }
  gp_pending_remove (&site.pending, &site.quota, running);
  print_next (&site, "room at last", now);
  site_finish (&site);
}

static void
test_no_capacity (void)
{
  site_t site;
  gp_pending_task_t *large;
  gp_time_t now = 0;
  bool hold = false;

  site_init (&site, &GP_PENDING_DEFAULTS);
  large = add (&site, 0, GP_WORK_BATCH, 9000, 10 * GP_SEC, 0);
  add (&site, 0, GP_WORK_BATCH, 1000, 20 * GP_SEC, 0);
  for (int tries = 1; !hold; tries++)
    {
      CU_ASSERT_PTR_EQUAL (gp_pending_next (&site.pending, &site.quota, now),
                           large);
      hold = gp_pending_defer (&site.pending, &site.quota, large,
                               GP_PENDING_NO_CAPACITY, now);
      printf ("try %d: again at %ld ms%s\n", tries,
              (long)(large->node.key / GP_MSEC), hold ? ", keep room" : "");
      now = large->node.key;
      if (tries == 1)
        print_next (&site, "goes on", 0);
    }
  gp_pending_remove (&site.pending, &site.quota, large);
  CU_ASSERT_EQUAL (gp_pending_next_wake (&site.pending, now), GP_TIME_NEVER);
  CU_ASSERT_EQUAL (gp_pending_length (&site.pending), 0);
  site_finish (&site);
}

static void
test_pace (void)
{
  site_t site;

  site_init (&site, &GP_PENDING_DEFAULTS);
  for (int i = 0; i < 4; i++)
    add (&site, 0, GP_WORK_WATCHER, 10, GP_TIME_NEVER, 0);
  for (int i = 0; i < 3; i++)
    add (&site, 0, GP_WORK_LATENCY_CRITICAL, 10, GP_TIME_NEVER, 0);
  gp_pending_set_rate (&site.pending, 10.0, 2.0, 0);
  for (int i = 0; i < 5; i++)
    print_next (&site, "at 0 ms", 0);
  print_next (&site, "at 199 ms", 199 * GP_MSEC);
  print_next (&site, "at 250 ms", 250 * GP_MSEC);
  print_next (&site, "at 350 ms", 350 * GP_MSEC);
  gp_pending_set_rate (&site.pending, 0.0, 0.0, 350 * GP_MSEC);
  print_next (&site, "unbounded", 350 * GP_MSEC);
  site_finish (&site);
}

/* Reference implementation, which searches all tasks.  Its runs have ample
   quotas, so that only order, backoff and at-risk picks matter.  */
typedef struct
{
  site_t site;
  gp_time_t retry_at[TASKS]; /* GP_TIME_NEVER if not queued */
  unsigned int picks;
} reference_t;

static unsigned int
reference_rank (const gp_pending_task_t *task)
{
  static const unsigned int ranks[] = {
    [GP_WORK_LATENCY_CRITICAL] = 0, [GP_WORK_WATCHER] = 1, [GP_WORK_BATCH] = 2
  };

  return ranks[task->work_class];
}

/* Returns true if task A precedes B: by latest start only if AT_RISK is
   set, otherwise by class and team first.  */
static bool
reference_before (const reference_t *reference, const gp_pending_task_t *a,
                  const gp_pending_task_t *b, bool at_risk)
{
  double share_a = gp_quota_share (&reference->site.quota, a->charge.team);
  double share_b = gp_quota_share (&reference->site.quota, b->charge.team);

  if (!at_risk && reference_rank (a) != reference_rank (b))
    return reference_rank (a) < reference_rank (b);
  if (!at_risk && share_a != share_b)
    return share_a < share_b;
  if (!at_risk && a->charge.team != b->charge.team)
    return a->charge.team < b->charge.team;
  if (a->latest_start != b->latest_start)
    return a->latest_start < b->latest_start;
  return a->node.task < b->node.task;
}

static unsigned int
reference_find (const reference_t *reference, gp_time_t now, bool at_risk)
{
  unsigned int best = TASKS;

  for (unsigned int i = 0; i < reference->site.n_tasks; i++)
    {
      const gp_pending_task_t *task = &reference->site.tasks[i];

      if (reference->retry_at[i] > now)
        continue;
      if (at_risk
          && (reference_rank (task) == 0
              || task->latest_start
                     > now + reference->site.pending.settings.risk_horizon))
        continue;
      if (best == TASKS
          || reference_before (reference, task, &reference->site.tasks[best],
                               at_risk))
        best = i;
    }
  return best;
}

static unsigned int
reference_next (reference_t *reference, gp_time_t now)
{
  unsigned int found = TASKS;

  if (reference->picks == GP_PENDING_AT_RISK_INTERVAL - 1)
    found = reference_find (reference, now, true);
  if (found < TASKS)
    reference->picks = 0;
  else if ((found = reference_find (reference, now, false)) < TASKS)
    reference->picks += reference->picks < GP_PENDING_AT_RISK_INTERVAL - 1;
  return found;
}

static void
reference_add (reference_t *reference, GRand *random, gp_time_t now)
{
  static const gp_work_class_t classes[]
      = { GP_WORK_LATENCY_CRITICAL, GP_WORK_WATCHER, GP_WORK_BATCH };
  gp_work_class_t work_class = classes[g_rand_int_range (random, 0, 3)];
  /* Each task has a distinct latest start, so that there are no ties.  */
  gp_time_t latest_start = now + g_rand_int_range (random, 0, 200) * GP_SEC
                           + reference->site.n_tasks;

  reference->retry_at[reference->site.n_tasks] = now;
  add (&reference->site, (uint32_t)g_rand_int_range (random, 0, TEAMS),
       work_class, (uint32_t)g_rand_int_range (random, 1, 20), latest_start,
       now);
}

static void
reference_take (reference_t *reference, GRand *random, gp_time_t now)
{
  unsigned int expected = reference_next (reference, now);
  gp_pending_task_t *task = gp_pending_next (&reference->site.pending,
                                             &reference->site.quota, now);

  CU_ASSERT_EQUAL (task == NULL, expected == TASKS);
  if (task == NULL || expected == TASKS)
    return;
  CU_ASSERT_PTR_EQUAL (task, &reference->site.tasks[expected]);
  reference->retry_at[expected] = GP_TIME_NEVER;
  if (!g_rand_boolean (random))
    return;
  (void)gp_pending_defer (&reference->site.pending, &reference->site.quota,
                          task, GP_PENDING_NO_CAPACITY, now);
  reference->retry_at[expected] = task->node.key;
}

static void
reference_run (uint32_t seed)
{
  reference_t *reference = g_new0 (reference_t, 1);
  GRand *random = g_rand_new_with_seed (seed);
  uint32_t queued = 0;

  site_init (&reference->site, &GP_PENDING_DEFAULTS);
  for (unsigned int step = 0; step < STEPS; step++)
    {
      gp_time_t now = step * (20 * GP_MSEC);
      int what = g_rand_int_range (random, 0, 10);
      int any = g_rand_int_range (random, 0, TASKS);

      if (what < 2 && reference->site.n_tasks < TASKS)
        reference_add (reference, random, now);
      else if (what < 9)
        reference_take (reference, random, now);
      else if (any < (int)reference->site.n_tasks)
        {
          gp_pending_remove (&reference->site.pending, &reference->site.quota,
                             &reference->site.tasks[any]);
          reference->retry_at[any] = GP_TIME_NEVER;
        }
    }
  for (unsigned int i = 0; i < reference->site.n_tasks; i++)
    queued += reference->retry_at[i] != GP_TIME_NEVER;
  CU_ASSERT_EQUAL (gp_pending_length (&reference->site.pending), queued);
  CU_ASSERT_EQUAL (reference->site.n_tasks, TASKS);
  site_finish (&reference->site);
  g_rand_free (random);
  g_free (reference);
}

static void
test_twin (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    reference_run (seed);
}

/* Random demands with tight quotas, each task running for some time.  No
   quota is exceeded and every task is started.  Large tasks, which never
   fit next to another one, wait at most 1.5 times as long as the mean.  */
static void
starvation_run (uint32_t seed)
{
  site_t site;
  GRand *random = g_rand_new_with_seed (seed);
  gp_time_t ends[TASKS];
  gp_time_t now = 0;
  gp_time_t waited = 0;
  gp_time_t waited_large = 0;
  unsigned int taken = 0;

  site_init (&site, &GP_PENDING_DEFAULTS);
  for (unsigned int i = 0; i < TASKS; i++)
    add (&site, i % TEAMS, i % 5 == 0 ? GP_WORK_WATCHER : GP_WORK_BATCH,
         i / TEAMS % 10 == 3 ? 9500
                             : (uint32_t)g_rand_int_range (random, 500, 3000),
         GP_TIME_NEVER, 0);
  for (; taken < TASKS && now < 10000 * GP_SEC; now += 500 * GP_MSEC)
    {
      gp_pending_task_t *task;

      for (unsigned int i = 0; i < TASKS; i++)
        if (site.tasks[i].charge.state != GP_QUOTA_NONE && ends[i] <= now)
          gp_quota_release (&site.quota, &site.tasks[i].charge);
      while ((task = gp_pending_next (&site.pending, &site.quota, now)))
        {
          ends[task->node.task - 1]
              = now + g_rand_int_range (random, 1, 20) * GP_SEC;
          taken++;
          waited += now / TASKS;
          if (task->charge.resources.millicores == 9500)
            waited_large += now / (TASKS / 10);
        }
      for (uint32_t team = 0; team < TEAMS; team++)
        CU_ASSERT_TRUE (gp_quota_share (&site.quota, team) <= 1.0);
    }
  CU_ASSERT_EQUAL (taken, TASKS);
  CU_ASSERT_TRUE (waited_large < waited * 3 / 2);
  printf ("mean wait %ld s, of large tasks %ld s\n", (long)(waited / GP_SEC),
          (long)(waited_large / GP_SEC));
  site_finish (&site);
  g_rand_free (random);
}

static void
test_starvation (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    starvation_run (seed);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "heap", test_heap },
                                 { "order", test_order },
                                 { "quota head", test_quota_head },
                                 { "no capacity", test_no_capacity },
                                 { "pace", test_pace },
                                 { "twin", test_twin },
                                 { "starvation", test_starvation },
                                 CU_TEST_INFO_NULL };

  return runner_main ("pending", tests);
}

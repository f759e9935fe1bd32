/* Tests of the attribution of failures to tasks or workers: a scripted
   transcript, and random outcomes.  */

#include "runner.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "coordination/suspects.h"

enum
{
  WORKERS = 20,
  BAD_WORKER = 7,
  TASKS = 400,
  BAD_TASKS = 20, /* the first ones */
  STEPS = 6000
};

static const char *const state_names[] = { "trusted", "suspected", "probing" };

typedef struct
{
  gp_suspects_t suspects;
  gp_suspects_worker_t workers[WORKERS];
  gp_suspects_task_t tasks[TASKS];
} site_t;

static void
site_init (site_t *site)
{
  memset (site, 0, sizeof *site);
  gp_suspects_init (&site->suspects, &GP_SUSPECTS_DEFAULTS, site->workers,
                    WORKERS);
}

static void
end_task (site_t *site, unsigned int task, uint32_t worker, bool failed,
          gp_time_t now)
{
  (void)gp_suspects_outcome (&site->suspects, task + 1, &site->tasks[task],
                             worker, failed, now);
  printf ("%3ld s: task %u %s on worker %u: %s%s\n", (long)(now / GP_SEC),
          task, failed ? "failed" : "succeeded", worker,
          state_names[site->workers[worker].state],
          gp_suspects_should_park (&site->suspects, &site->tasks[task])
              ? ", task parked"
              : "");
}

static void
tick (site_t *site, uint32_t worker, gp_time_t now)
{
  bool changed = gp_suspects_tick (&site->suspects, worker, now);

  printf ("%3ld s: worker %u %s %s, %s\n", (long)(now / GP_SEC), worker,
          changed ? "becomes" : "stays",
          state_names[site->workers[worker].state],
          gp_suspects_allows (&site->suspects, worker) ? "open" : "closed");
}

static void
test_transcript (void)
{
  site_t site;

  site_init (&site);
  for (uint32_t worker = 0; worker < 3; worker++)
    end_task (&site, 0, worker, true, GP_SEC);
  for (unsigned int task = 10; task < 14; task++)
    end_task (&site, task, 5, true, 2 * GP_SEC);
  end_task (&site, 10, 1, true, 3 * GP_SEC);
  end_task (&site, 10, 2, true, 3 * GP_SEC);
  tick (&site, 5, 31 * GP_SEC);
  tick (&site, 5, 32 * GP_SEC);
  gp_suspects_started (&site.suspects, 16, 5, 32 * GP_SEC);
  tick (&site, 5, 33 * GP_SEC);
  end_task (&site, 15, 5, true, 34 * GP_SEC);
  tick (&site, 5, 93 * GP_SEC);
  tick (&site, 5, 94 * GP_SEC);
  gp_suspects_started (&site.suspects, 17, 5, 94 * GP_SEC);
  tick (&site, 5, 694 * GP_SEC);
  tick (&site, 5, 814 * GP_SEC);
  gp_suspects_started (&site.suspects, 18, 5, 814 * GP_SEC);
  end_task (&site, 17, 5, false, 820 * GP_SEC);
  end_task (&site, 10, 6, true, 821 * GP_SEC);
}

/* Tasks that failed elsewhere before do not make a worker suspected,
   however many there are; parking them is enough.  */
static void
test_bad_tasks (void)
{
  site_t site;

  site_init (&site);
  for (unsigned int task = 0; task < 10; task++)
    {
      (void)gp_suspects_outcome (&site.suspects, task + 1, &site.tasks[task],
                                 task, true, GP_SEC);
      CU_ASSERT_FALSE (gp_suspects_outcome (
          &site.suspects, task + 1, &site.tasks[task], 15, true, 2 * GP_SEC));
    }
  CU_ASSERT_TRUE (gp_suspects_allows (&site.suspects, 15));
}

/* One worker fails every task and some tasks fail everywhere: exactly
   these are identified.  */
static void
random_outcomes (uint32_t seed)
{
  site_t site;
  GRand *random = g_rand_new_with_seed (seed);
  unsigned int on_bad = 0;

  site_init (&site);
  for (unsigned int step = 1; step <= STEPS; step++)
    {
      gp_time_t now = step * GP_SEC / 5;
      unsigned int task = (unsigned int)g_rand_int_range (random, 0, TASKS);
      uint32_t worker = (uint32_t)g_rand_int_range (random, 0, WORKERS);
      bool failed = worker == BAD_WORKER || task < BAD_TASKS;

      (void)gp_suspects_tick (&site.suspects, worker, now);
      if (gp_suspects_should_park (&site.suspects, &site.tasks[task])
          || !gp_suspects_allows (&site.suspects, worker))
        continue;
      on_bad += worker == BAD_WORKER;
      gp_suspects_started (&site.suspects, task + 1, worker, now);
      (void)gp_suspects_outcome (&site.suspects, task + 1, &site.tasks[task],
                                 worker, failed, now);
    }
  CU_ASSERT_NOT_EQUAL (site.workers[BAD_WORKER].state, GP_SUSPECTS_TRUSTED);
  CU_ASSERT_TRUE (on_bad < 20);
  for (uint32_t i = 0; i < WORKERS; i++)
    CU_ASSERT_EQUAL (site.workers[i].suspicions > 0, i == BAD_WORKER);
  for (unsigned int i = 0; i < TASKS; i++)
    CU_ASSERT_EQUAL (gp_suspects_should_park (&site.suspects, &site.tasks[i]),
                     i < BAD_TASKS);
  g_rand_free (random);
}

static void
test_random (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    random_outcomes (seed);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "transcript", test_transcript },
                                 { "bad tasks", test_bad_tasks },
                                 { "random", test_random },
                                 CU_TEST_INFO_NULL };

  return runner_main ("suspects", tests);
}

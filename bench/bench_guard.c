/* Cost of the guard's decisions on capacity and rate limits, and of its
   timeline.  */

#include <glib.h>
#include <stdio.h>

#include "base/timeline.h"
#include "coordination/capacity.h"
#include "coordination/limiter.h"

enum
{
  ROUNDS = 1000000,
  RING = 4096
};

static void
report (const char *what, gp_time_t begun)
{
  printf ("%-40s %5.0f ns\n", what, (gp_time_now () - begun) * 1e3 / ROUNDS);
}

/* Replaces tasks in turn on a worker with COUNT tasks.  */
static void
run_capacity (int count)
{
  const gp_resources_t total = { 1000 * count, 1000 * count, 0 };
  const gp_resources_t service = { 0, 0, 0 };
  gp_capacity_task_t *tasks = g_new0 (gp_capacity_task_t, count);
  gp_capacity_t capacity;
  gp_time_t begun;
  char what[64];

  gp_capacity_init (&capacity, &total, &service);
  for (int i = 0; i < count; i++)
    {
      tasks[i].id = i;
      tasks[i].reserved = (gp_resources_t){ 1000, 1000, 0 };
      gp_capacity_reserve (&capacity, &tasks[i], 0, NULL);
    }
  begun = gp_time_now ();
  for (int i = 0; i < ROUNDS; i++)
    {
      gp_capacity_task_t *task
          = gp_capacity_release (&capacity, i % count, 0, i);

      gp_capacity_reserve (&capacity, task, i, NULL);
    }
  g_snprintf (what, sizeof what, "release and reserve, %d tasks", count);
  report (what, begun);
  g_free (tasks);
}

static void
run_limiter (void)
{
  gp_limiter_t limiter;
  gp_time_t begun = gp_time_now ();

  gp_limiter_init (&limiter, 1e5, 100);
  for (int i = 0; i < ROUNDS; i++)
    gp_limiter_take (&limiter, 1, i);
  report ("take a token", begun);
}

static void
run_timeline (void)
{
  gp_timeline_event_t *ring = g_new0 (gp_timeline_event_t, RING);
  gp_timeline_subject_t subject
      = { .task = 7, .epoch = 1, .vm = "worker-0001" };
  GString *out = g_string_new (NULL);
  gp_timeline_t timeline;
  uint64_t next = 0;
  gp_time_t begun = gp_time_now ();

  gp_timeline_init (&timeline, "guard-0001", 1, ring, RING);
  for (int i = 0; i < ROUNDS; i++)
    gp_timeline_append (&timeline, GP_TIMELINE_TASK_STARTED, &subject,
                        "line-test", i);
  report ("append an event", begun);
  begun = gp_time_now ();
  for (int i = 0; i < ROUNDS / RING; i++)
    {
      g_string_truncate (out, 0);
      next = gp_timeline_export (&timeline, ROUNDS - RING, RING, out);
    }
  report ("export an event as JSON", begun);
  printf ("an event is %zu bytes, its line %zu; cursor %d\n", sizeof *ring,
          out->len / RING, (int)next);
  g_string_free (out, TRUE);
  g_free (ring);
}

int
main (void)
{
  run_capacity (5);
  run_capacity (26);
  run_capacity (100);
  run_limiter ();
  run_timeline ();
  return 0;
}

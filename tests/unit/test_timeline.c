/* Tests of the timeline and the hybrid logical clock.  */

#include <glib.h>
#include <stdio.h>

#include "base/time.h"
#include "base/timeline.h"
#include "runner.h"

enum
{
  SEEDS = 20,
  STEPS = 3000,
  PROCESSES = 4,
  RING = 3
};

#define WALL (INT64_C (1700000000000) * 1000) /* us */

/* Random events and messages between processes whose wall clocks are wrong by
   up to a second and step back: stamps increase and preserve causality.  */
static void
test_clock_order (void)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      gp_hlc_t clocks[PROCESSES];
      int64_t wall = WALL;
      int n_wrong = 0;

      for (int i = 0; i < PROCESSES; i++)
        gp_hlc_init (&clocks[i]);
      for (int step = 0; step < STEPS; step++)
        {
          gp_hlc_t *from = &clocks[g_rand_int_range (random, 0, PROCESSES)];
          gp_hlc_t *to = &clocks[g_rand_int_range (random, 0, PROCESSES)];
          int64_t error = g_rand_int_range (random, -1000, 1000) * GP_MSEC;
          gp_hlc_stamp_t before = from->last;
          gp_hlc_stamp_t sent = gp_hlc_tick (from, wall + error);
          gp_hlc_stamp_t received;

          n_wrong += sent <= before;
          before = to->last;
          n_wrong += !gp_hlc_receive (to, sent, wall - error, &received);
          n_wrong += received <= sent || received <= before;
          n_wrong += gp_hlc_stamp_ms (received)
                     > (uint64_t)(wall + GP_SEC) / GP_MSEC;
          wall += g_rand_int_range (random, 0, 3000);
        }
      CU_ASSERT_EQUAL (n_wrong, 0);
      g_rand_free (random);
    }
}

static void
test_clock_bounds (void)
{
  gp_hlc_t clock;
  gp_hlc_stamp_t stamp;
  gp_hlc_stamp_t far = (gp_hlc_stamp_t)(WALL / 1000 + GP_HLC_MAX_AHEAD_MS + 1)
                       << GP_HLC_COUNTER_BITS;

  gp_hlc_init (&clock);
  CU_ASSERT_FALSE (gp_hlc_receive (&clock, far, WALL, &stamp));
  CU_ASSERT_EQUAL (gp_hlc_stamp_ms (stamp), WALL / 1000);
  for (int i = 0; i <= 0xffff; i++)
    stamp = gp_hlc_tick (&clock, WALL);
  CU_ASSERT_EQUAL (gp_hlc_stamp_ms (stamp), WALL / 1000 + 1);
  CU_ASSERT_EQUAL (gp_hlc_stamp_counter (stamp), 0);
}

static void
print_export (const gp_timeline_t *timeline, uint64_t since, size_t max)
{
  GString *out = g_string_new (NULL);
  uint64_t next = gp_timeline_export (timeline, since, max, out);

  printf ("# since %d, at most %d\n%snext %d\n", (int)since, (int)max,
          out->str, (int)next);
  g_string_free (out, TRUE);
}

static void
test_export (void)
{
  gp_timeline_event_t ring[RING];
  gp_timeline_t timeline;
  gp_timeline_subject_t none = { 0 };
  gp_timeline_subject_t task = { .task = 0xabc, .epoch = 3, .vm = "worker-7" };
  gp_timeline_subject_t request
      = { .request = UINT64_MAX,
          .vm = "a name of a machine that is longer than its field" };

  gp_timeline_init (&timeline, "guard-7", 0x11, ring, RING);
  print_export (&timeline, 0, 10);
  gp_timeline_append (&timeline, GP_TIMELINE_PROCESS_START, &none, NULL, WALL);
  gp_timeline_append (&timeline, GP_TIMELINE_TASK_STARTED, &task, "a \"job\"",
                      WALL);
  print_export (&timeline, 0, 10);
  gp_timeline_receive (
      &timeline, (gp_hlc_stamp_t)(WALL / 1000 + 5) << GP_HLC_COUNTER_BITS,
      WALL);
  gp_timeline_append (&timeline, GP_TIMELINE_REQUEST_REFUSED, &request,
                      "forty-six bytes and then a letter of two: ....\xc3\xa9",
                      WALL + 1000);
  gp_timeline_append (&timeline, GP_TIMELINE_TASK_ENDED, &task, "failed",
                      WALL + 9000);
  print_export (&timeline, 0, 10);
  print_export (&timeline, 2, 1);
  print_export (&timeline, 4, 10);
  print_export (&timeline, 99, 1);
  CU_ASSERT_PTR_NULL (gp_timeline_get (&timeline, 0));
  CU_ASSERT_PTR_NULL (gp_timeline_get (&timeline, 1));
  CU_ASSERT_EQUAL (gp_timeline_get (&timeline, 4)->task, 0xabc);
  CU_ASSERT_PTR_NULL (gp_timeline_get (&timeline, 5));
}

int
main (void)
{
  CU_TestInfo tests[] = { { "clock order", test_clock_order },
                          { "clock bounds", test_clock_bounds },
                          { "export", test_export },
                          CU_TEST_INFO_NULL };

  return runner_main ("timeline", tests);
}

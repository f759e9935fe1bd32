/* Tests of which path an append takes, to the store or through the leader, one
   decision at a time.  */

#include <glib.h>

#include "jobs/append_route.h"
#include "runner.h"

typedef struct
{
  gp_append_route_t route;
  gp_append_t append;
  gp_time_t now;
} single_t;

static gp_append_step_t
begin (single_t *single)
{
  return gp_append_begin (&single->route, &single->append, true,
                          single->now + 500 * GP_MSEC, single->now);
}

static gp_append_step_t
note (single_t *single, gp_append_path_t path, gp_append_outcome_t outcome,
      gp_time_t duration)
{
  single->now += duration;
  return gp_append_note (&single->route, &single->append, path, outcome,
                         single->now);
}

/* An entry whose last direct append took 100 ms.  */
static void
single_init (single_t *single)
{
  single->now = GP_SEC;
  gp_append_route_init (&single->route);
  CU_ASSERT_EQUAL (begin (single), GP_APPEND_SEND_DIRECT);
  CU_ASSERT_EQUAL (
      note (single, GP_APPEND_DIRECT, GP_APPEND_DONE, 100 * GP_MSEC),
      GP_APPEND_END_DONE);
}

static void
test_when_shared (void)
{
  single_t single;
  gp_append_route_t *route = &single.route;

  single_init (&single);
  CU_ASSERT_EQUAL (gp_append_route_choose (route, false, single.now),
                   GP_APPEND_DIRECT);
  /* Not before all have been fast for a second.  */
  for (int i = 0; i < 10; i++)
    {
      CU_ASSERT_EQUAL (begin (&single), GP_APPEND_SEND_SHARED);
      CU_ASSERT_EQUAL (
          note (&single, GP_APPEND_SHARED, GP_APPEND_DONE, 49 * GP_MSEC),
          GP_APPEND_END_DONE);
      single.now += 62 * GP_MSEC;
    }
  CU_ASSERT_EQUAL (begin (&single), GP_APPEND_SEND_DIRECT);
  /* One in flight counts as soon as it is slow.  */
  single.now += 99 * GP_MSEC;
  CU_ASSERT_EQUAL (gp_append_route_choose (route, true, single.now),
                   GP_APPEND_DIRECT);
  single.now += GP_MSEC;
  CU_ASSERT_EQUAL (gp_append_route_choose (route, true, single.now),
                   GP_APPEND_SHARED);
}

/* Guards against an append that counts as refused because only the leader
   has refused it, and against a leader that is not asked again after a
   second.  */
static void
test_not_taken (void)
{
  single_t single;

  single_init (&single);
  CU_ASSERT_EQUAL (begin (&single), GP_APPEND_SEND_SHARED);
  CU_ASSERT_EQUAL (
      note (&single, GP_APPEND_SHARED, GP_APPEND_NOT_TAKEN, GP_MSEC),
      GP_APPEND_SEND_DIRECT);
  CU_ASSERT_EQUAL (
      note (&single, GP_APPEND_DIRECT, GP_APPEND_REFUSED, 200 * GP_MSEC),
      GP_APPEND_END_REFUSED);
  single.now += 799 * GP_MSEC;
  CU_ASSERT_EQUAL (gp_append_route_choose (&single.route, true, single.now),
                   GP_APPEND_DIRECT);
  single.now += GP_MSEC;
  CU_ASSERT_EQUAL (begin (&single), GP_APPEND_SEND_SHARED);
  /* The connection breaks: it may have been appended.  */
  CU_ASSERT_EQUAL (note (&single, GP_APPEND_SHARED, GP_APPEND_LOST, GP_MSEC),
                   GP_APPEND_SEND_DIRECT);
  CU_ASSERT_EQUAL (
      note (&single, GP_APPEND_DIRECT, GP_APPEND_REFUSED, 200 * GP_MSEC),
      GP_APPEND_END_UNKNOWN);
}

/* Guards against direct appends after a failure of the store that the
   leader has passed on.  */
static void
test_store_refuses (void)
{
  single_t single;

  single_init (&single);
  CU_ASSERT_EQUAL (begin (&single), GP_APPEND_SEND_SHARED);
  CU_ASSERT_EQUAL (
      note (&single, GP_APPEND_SHARED, GP_APPEND_REFUSED, 200 * GP_MSEC),
      GP_APPEND_END_REFUSED);
  CU_ASSERT_EQUAL (begin (&single), GP_APPEND_SEND_SHARED);
  CU_ASSERT_EQUAL (
      note (&single, GP_APPEND_SHARED, GP_APPEND_UNKNOWN, 200 * GP_MSEC),
      GP_APPEND_END_UNKNOWN);
  CU_ASSERT_EQUAL (begin (&single), GP_APPEND_SEND_SHARED);
}

/* Guards against waiting longer than twice the usual time for a leader: the
   append is sent directly as well then, with as much time as it had, and
   the first success counts.  */
static void
test_copy (void)
{
  single_t single;

  single_init (&single);
  CU_ASSERT_EQUAL (begin (&single), GP_APPEND_SEND_SHARED);
  CU_ASSERT_EQUAL (
      note (&single, GP_APPEND_SHARED, GP_APPEND_DONE, 120 * GP_MSEC),
      GP_APPEND_END_DONE);
  CU_ASSERT_EQUAL (begin (&single), GP_APPEND_SEND_SHARED);
  CU_ASSERT_EQUAL (gp_append_next_check (&single.append),
                   single.now + 240 * GP_MSEC);
  single.now += 239 * GP_MSEC;
  CU_ASSERT_EQUAL (gp_append_check (&single.route, &single.append, single.now),
                   GP_APPEND_WAIT);
  single.now += GP_MSEC;
  CU_ASSERT_EQUAL (gp_append_check (&single.route, &single.append, single.now),
                   GP_APPEND_SEND_DIRECT);
  CU_ASSERT_EQUAL (single.append.deadline, single.now + 500 * GP_MSEC);
  CU_ASSERT_EQUAL (
      note (&single, GP_APPEND_DIRECT, GP_APPEND_UNKNOWN, 100 * GP_MSEC),
      GP_APPEND_WAIT);
  CU_ASSERT_EQUAL (gp_append_route_choose (&single.route, true, single.now),
                   GP_APPEND_DIRECT);
  CU_ASSERT_EQUAL (
      note (&single, GP_APPEND_SHARED, GP_APPEND_DONE, 100 * GP_MSEC),
      GP_APPEND_END_DONE);
  CU_ASSERT_EQUAL (gp_append_route_choose (&single.route, true, single.now),
                   GP_APPEND_SHARED);
}

/* Guards against sharing for longer than 4 s with a leader that never answers,
   when each attempt ends before that time.  */
static void
test_silent_leader (void)
{
  single_t single;
  gp_time_t since;
  gp_append_step_t step;

  single_init (&single);
  since = single.now;
  while ((step = begin (&single)) == GP_APPEND_SEND_SHARED)
    {
      gp_time_t until = MIN (single.append.deadline, single.append.copy_at);

      single.now = until;
      step = gp_append_check (&single.route, &single.append, single.now);
      if (step == GP_APPEND_SEND_DIRECT)
        break;
      CU_ASSERT_EQUAL (note (&single, GP_APPEND_SHARED, GP_APPEND_LOST, 0),
                       GP_APPEND_END_UNKNOWN);
    }
  CU_ASSERT_EQUAL (step, GP_APPEND_SEND_DIRECT);
  CU_ASSERT_EQUAL (single.now - since, 4 * GP_SEC);
}

/* An entry that cannot reach the leader asks it again after 1, 2, 4 and then
   each 8 s: the callers of each attempt wait in vain.  */
static void
test_unreachable_leader (void)
{
  static const int expected_s[] = { 1, 2, 4, 8, 8 };
  single_t single;

  single_init (&single);
  for (size_t i = 0; i < G_N_ELEMENTS (expected_s); i++)
    {
      gp_time_t barred_at;

      CU_ASSERT_EQUAL (begin (&single), GP_APPEND_SEND_SHARED);
      CU_ASSERT_EQUAL (
          note (&single, GP_APPEND_SHARED, GP_APPEND_NOT_TAKEN, GP_MSEC),
          GP_APPEND_SEND_DIRECT);
      barred_at = single.now;
      CU_ASSERT_EQUAL (
          note (&single, GP_APPEND_DIRECT, GP_APPEND_DONE, 400 * GP_MSEC),
          GP_APPEND_END_DONE);
      single.now = barred_at + expected_s[i] * GP_SEC - 1;
      CU_ASSERT_EQUAL (
          gp_append_route_choose (&single.route, true, single.now),
          GP_APPEND_DIRECT);
      single.now++;
    }
  gp_append_route_leader_changed (&single.route);
  CU_ASSERT_EQUAL (single.route.bars, 0);
}

/* Records that are read from the topic show that the leader has appended them:
   an append that is dropped then is no sign of a leader that does not
   answer.  */
static void
test_found (void)
{
  single_t single;

  single_init (&single);
  CU_ASSERT_EQUAL (begin (&single), GP_APPEND_SEND_SHARED);
  single.now += GP_SEC;
  gp_append_found (&single.route, &single.append, single.now);
  gp_append_drop (&single.append);
  single.now += 4 * GP_SEC - 1;
  CU_ASSERT_EQUAL (gp_append_route_choose (&single.route, true, single.now),
                   GP_APPEND_SHARED);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "when_shared", test_when_shared },
                                 { "not_taken", test_not_taken },
                                 { "store_refuses", test_store_refuses },
                                 { "copy", test_copy },
                                 { "silent_leader", test_silent_leader },
                                 { "unreachable", test_unreachable_leader },
                                 { "found", test_found },
                                 CU_TEST_INFO_NULL };

  return runner_main ("append_path", tests);
}

/* Tests of the timeouts of write requests.

   Guards against refusing callers needlessly: during an outage of the store of
   five seconds, callers whose last attempt came just before or after its end
   were refused at once, or got the answer that nothing is known of their job,
   although a record would have taken milliseconds.  Simulated are callers that
   arrive throughout an outage and try again a second after each refusal, with
   the current rules and the previous ones.  */

#include <glib.h>
#include <stdio.h>

#include "jobs/write_request.h"
#include "runner.h"

#define CALLERS 2000
#define TIMEOUT (3 * GP_SEC)
#define BACK_AT (5 * GP_SEC)
#define STORE_TIME (8 * GP_MSEC)
/* A caller that can try again is refused after this time.  */
#define REFUSE_TIME (200 * GP_MSEC)
#define MARGIN_BEFORE (300 * GP_MSEC)

static void
test_transcript (void)
{
  static const gp_time_t timeouts[]
      = { 3 * GP_SEC,    1300 * GP_MSEC, 1200 * GP_MSEC,
          300 * GP_MSEC, 30 * GP_MSEC,   0 };

  for (size_t i = 0; i < G_N_ELEMENTS (timeouts); i++)
    {
      gp_time_t deadline = gp_write_request_deadline (GP_SEC, timeouts[i]);

      printf (
          "%d ms of patience: %d ms to answer in, refused after %d, %s, "
          "%s\n",
          (int)(timeouts[i] / GP_MSEC), (int)((deadline - GP_SEC) / GP_MSEC),
          (int)((gp_write_request_refuse_at (GP_SEC, timeouts[i]) - GP_SEC)
                / GP_MSEC),
          gp_write_request_can_retry (timeouts[i]) ? "may return" : "last try",
          gp_write_request_is_in_time (deadline, STORE_TIME, GP_SEC)
              ? "tried"
              : "refused at once");
    }
}

/* Returns whether a write request that arrives at NOW, with the remaining
   timeout TIMEOUT, is recorded and answered in time.  If not, it is refused at
   *UNTIL.  */
static bool
is_served (gp_time_t now, gp_time_t timeout, gp_time_t *until)
{
  gp_time_t deadline = gp_write_request_deadline (now, timeout);
  gp_time_t begin = MAX (now, BACK_AT);

  *until = gp_write_request_can_retry (timeout)
               ? MIN (now + REFUSE_TIME, deadline)
               : gp_write_request_refuse_at (now, timeout);
  return begin <= *until
         && gp_write_request_is_in_time (deadline, STORE_TIME, begin);
}

/* The previous rules: each request is refused soon, and a caller whose
   remaining timeout is shorter than the margin gets no answer in time.  */
static bool
was_served (gp_time_t now, gp_time_t timeout, gp_time_t *until)
{
  gp_time_t deadline = now + timeout - MARGIN_BEFORE;
  gp_time_t begin = MAX (now, BACK_AT);

  *until = MAX (MIN (now + REFUSE_TIME, deadline), now);
  return begin <= *until && begin + STORE_TIME <= deadline;
}

static unsigned
play (bool (*is_served_by) (gp_time_t now, gp_time_t timeout,
                            gp_time_t *until))
{
  GRand *random = g_rand_new_with_seed (11);
  unsigned served = 0;

  for (int i = 0; i < CALLERS; i++)
    {
      gp_time_t begin = g_rand_int_range (random, 0, 5000) * GP_MSEC;
      gp_time_t now = begin;
      gp_time_t until;

      while (now < begin + TIMEOUT)
        {
          if (is_served_by (now, begin + TIMEOUT - now, &until))
            {
              served++;
              break;
            }
          now = until + g_rand_int_range (random, 300, 1300) * GP_MSEC;
        }
    }
  g_rand_free (random);
  return served;
}

static void
test_outage (void)
{
  unsigned now = play (is_served);
  unsigned before = play (was_served);

  printf ("five seconds away: %u of %d served, %u by the rules before\n", now,
          CALLERS, before);
  CU_ASSERT_TRUE (now > before + CALLERS / 20);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "transcript", test_transcript },
                                 { "outage", test_outage },
                                 CU_TEST_INFO_NULL };

  return runner_main ("hand_in", tests);
}

/* Tests of the delays sent to refused callers: a transcript, and an outage
   with many callers, in which all callers with a sufficient timeout are
   served, with few useless attempts, and not all at once.  */

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

#include "jobs/retry_after.h"
#include "runner.h"

static void
show (const char *what, gp_time_t outage, gp_time_t time, gp_time_t timeout,
      uint32_t jitter)
{
  const gp_retry_after_t refusal = { .store_outage = outage,
                                     .store_time = time,
                                     .timeout = timeout,
                                     .jitter = jitter };

  printf ("  %s: %u s\n", what, gp_retry_after_s (&refusal));
}

static void
test_transcript (void)
{
  printf ("when to come back\n");
  show ("this entry has just started", 0, 4 * GP_MSEC, 3 * GP_SEC, 0);
  show ("the store has just gone, three seconds of patience", 300 * GP_MSEC,
        4 * GP_MSEC, 3 * GP_SEC, 0);
  show ("it is away for ten", 10 * GP_SEC, 4 * GP_MSEC, 3 * GP_SEC, 999);
  show ("ten, a minute of patience", 10 * GP_SEC, 4 * GP_MSEC, 60 * GP_SEC, 0);
  show ("the same, another caller", 10 * GP_SEC, 4 * GP_MSEC, 60 * GP_SEC,
        999);
  show ("an hour of both", 3600 * GP_SEC, 4 * GP_MSEC, 3600 * GP_SEC, 0);
  show ("its answers take two seconds", 0, 2 * GP_SEC, 60 * GP_SEC, 0);
  show ("no patience", 10 * GP_SEC, 4 * GP_MSEC, 0, 0);
}

#define CALLERS 1000

typedef struct
{
  unsigned served;
  unsigned tries;
  unsigned most_at_once; /* in any second after the outage */
} outcome_t;

/* CALLERS requests arrive in the first second of an outage of length OUTAGE.
   Each caller retries after the delay sent to it, or every second, until its
   TIMEOUT is over.  */
static outcome_t
play (gp_time_t outage, gp_time_t timeout, bool each_second)
{
  GRand *random = g_rand_new_with_seed (5);
  unsigned at_once[600] = { 0 };
  outcome_t outcome = { 0 };

  for (int i = 0; i < CALLERS; i++)
    {
      gp_time_t begin = g_rand_int_range (random, 0, 1000) * GP_MSEC;
      gp_time_t now = begin;

      for (; now <= begin + timeout; outcome.tries++)
        {
          const gp_retry_after_t refusal = { .store_outage = now,
                                             .store_time = 4 * GP_MSEC,
                                             .timeout = begin + timeout - now,
                                             .jitter = g_rand_int (random) };

          if (now >= outage)
            {
              outcome.served++;
              outcome.tries++;
              at_once[now / GP_SEC]++;
              break;
            }
          now += each_second ? GP_SEC : gp_retry_after_s (&refusal) * GP_SEC;
        }
    }
  for (size_t i = 0; i < G_N_ELEMENTS (at_once); i++)
    outcome.most_at_once = MAX (outcome.most_at_once, at_once[i]);
  g_rand_free (random);
  return outcome;
}

static void
test_outage (void)
{
  outcome_t guided = play (20 * GP_SEC, 60 * GP_SEC, false);
  outcome_t steady = play (20 * GP_SEC, 60 * GP_SEC, true);
  outcome_t hasty = play (2 * GP_SEC, 3 * GP_SEC, false);

  printf ("20 s away, 60 s of patience: %u of %d served in %u tries, at most "
          "%u in a second; each second: %u in %u, %u\n",
          guided.served, CALLERS, guided.tries, guided.most_at_once,
          steady.served, steady.tries, steady.most_at_once);
  printf ("2 s away, 3 s of patience: %u served\n", hasty.served);
  CU_ASSERT_EQUAL (guided.served, CALLERS);
  CU_ASSERT_EQUAL (hasty.served, CALLERS);
  CU_ASSERT_TRUE (guided.tries * 2 < steady.tries);
  CU_ASSERT_TRUE (guided.most_at_once * 2 < steady.most_at_once);
}

/* Guards against callers that return before what waits is appended, all at
   once, or too late to try again.  */
static void
test_backlog (void)
{
  printf ("a backlog of appends, and how many callers return when\n");
  for (gp_time_t backlog = 400 * GP_MSEC; backlog <= 7 * GP_SEC;
       backlog += 2200 * GP_MSEC)
    {
      unsigned returns[20] = { 0 };

      printf ("  %d ms:", (int)(backlog / GP_MSEC));
      for (uint32_t jitter = 0; jitter < CALLERS; jitter++)
        {
          gp_retry_after_t refusal = { .store_time = 384 * GP_MSEC,
                                       .backlog = backlog,
                                       .timeout = 60 * GP_SEC,
                                       .jitter = jitter };
          unsigned delay = gp_retry_after_s (&refusal);

          CU_ASSERT_TRUE_FATAL (delay < G_N_ELEMENTS (returns));
          returns[delay]++;
          CU_ASSERT_TRUE (delay * GP_SEC >= backlog);
          CU_ASSERT_TRUE (delay == 1 || delay * GP_SEC <= 2 * backlog);
          refusal.timeout = 3 * GP_SEC;
          CU_ASSERT_EQUAL (gp_retry_after_s (&refusal), 1);
        }
      for (size_t i = 0; i < G_N_ELEMENTS (returns); i++)
        if (returns[i] > 0)
          printf (" %u after %u s", returns[i], (unsigned)i);
      printf ("\n");
    }
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "transcript", test_transcript },
                                 { "outage", test_outage },
                                 { "backlog", test_backlog },
                                 CU_TEST_INFO_NULL };

  return runner_main ("retry_after", tests);
}

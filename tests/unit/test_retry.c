/* Tests of retries: the complete decision table as a transcript, the
   budget limit in random runs, and the distribution of hints.  */

#include <glib.h>
#include <stdio.h>

#include "coordination/retry.h"
#include "runner.h"

#define N_STEPS 20000
#define N_SEEDS 10

static gp_retry_input_t
input_of (Gp__Wire__Verdict verdict, Gp__Wire__Reason reason, bool idempotent)
{
  return (gp_retry_input_t){ .id = 1,
                             .verdict = verdict,
                             .reason = reason,
                             .idempotent = idempotent,
                             .candidate_left = true,
                             .attempts = 1,
                             .deadline = 1 * GP_SEC,
                             .expected_us = 10 * GP_MSEC,
                             .interval_us = 1 * GP_MSEC };
}

static const char *
decide_text (const gp_retry_input_t *input)
{
  gp_retry_settings_t settings = GP_RETRY_SETTINGS_DEFAULT;
  gp_retry_decision_t decision;
  gp_retry_t retry;

  gp_retry_init (&retry, &settings, 0);
  decision = gp_retry_decide (&retry, input, 0);
  switch (decision.kind)
    {
    case GP_RETRY_ANSWER:
      return "answer";
    case GP_RETRY_AGAIN:
      return "again";
    case GP_RETRY_REFUSE:
      break;
    }
  CU_ASSERT_EQUAL (decision.u.refuse.verdict, input->verdict);
  CU_ASSERT_EQUAL (decision.u.refuse.reason, input->reason);
  return decision.u.refuse.return_at == GP_TIME_NEVER ? "refuse"
                                                      : "refuse+hint";
}

/* Prints the decision for every verdict and reason: idempotent, not
   idempotent, no candidate left.  */
static void
test_table (void)
{
  const ProtobufCEnumDescriptor *verdicts = &gp__wire__verdict__descriptor;
  const ProtobufCEnumDescriptor *reasons = &gp__wire__reason__descriptor;

  for (unsigned v = 1; v < verdicts->n_values; v++)
    for (unsigned r = 0; r < reasons->n_values; r++)
      {
        gp_retry_input_t input
            = input_of ((Gp__Wire__Verdict)verdicts->values[v].value,
                        (Gp__Wire__Reason)reasons->values[r].value, true);

        printf ("%-15s %-23s %-12s", verdicts->values[v].name,
                reasons->values[r].name, decide_text (&input));
        input.idempotent = false;
        printf (" %-12s", decide_text (&input));
        input.candidate_left = false;
        printf (" %s\n", decide_text (&input));
      }
}

/* Conditions that prevent a retry that is otherwise allowed.  */
static void
test_feasible (void)
{
  gp_retry_input_t ok = input_of (GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                                  GP__WIRE__REASON__REASON_QUEUE_FULL, false);
  gp_retry_input_t input = ok;

  CU_ASSERT_STRING_EQUAL (decide_text (&input), "again");
  input.deadline = input.expected_us;
  CU_ASSERT_STRING_EQUAL (decide_text (&input), "again");
  input.deadline--;
  CU_ASSERT_STRING_EQUAL (decide_text (&input), "refuse+hint");
  input = ok;
  input.attempts = 3;
  CU_ASSERT_STRING_EQUAL (decide_text (&input), "refuse+hint");
  input = ok;
  input.answer_begun = true;
  CU_ASSERT_STRING_EQUAL (decide_text (&input), "refuse+hint");
}

/* Retries never exceed the budget, and none is refused while a reference
   count in floating point has a token.  */
static void
test_budget (void)
{
  gp_retry_settings_t settings = GP_RETRY_SETTINGS_DEFAULT;

  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      gp_retry_t retry;
      gp_time_t now = 0;
      double tokens = 20;

      gp_retry_init (&retry, &settings, now);
      for (int i = 0; i < N_STEPS; i++)
        {
          gp_retry_input_t input
              = input_of (GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                          GP__WIRE__REASON__REASON_CONNECT, false);
          gp_time_t passed = g_rand_int_range (
              rand, 0, g_rand_int_range (rand, 0, 200) == 0 ? 1000000 : 9000);
          bool again;

          now += passed;
          tokens = MIN (20, tokens + (double)passed / (double)GP_SEC);
          if (g_rand_boolean (rand))
            {
              gp_retry_request (&retry);
              tokens = MIN (20, tokens + 0.1);
              continue;
            }
          input.deadline = now + GP_SEC;
          again = gp_retry_decide (&retry, &input, now).kind == GP_RETRY_AGAIN;
          /* The module counts whole thousandths.  */
          CU_ASSERT_FATAL (again ? tokens > 0.998 : tokens < 1.002);
          tokens -= again ? 1 : 0;
        }
      g_rand_free (rand);
    }
}

/* Returns the hint for the first refused request.  */
static gp_time_t
first_hint (uint64_t id, gp_time_t wait_us)
{
  gp_retry_settings_t settings = GP_RETRY_SETTINGS_DEFAULT;
  gp_retry_input_t input
      = input_of (GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                  GP__WIRE__REASON__REASON_NO_CANDIDATE, true);
  gp_retry_t retry;

  gp_retry_init (&retry, &settings, 0);
  input.id = id;
  input.wait_us = wait_us;
  return gp_retry_decide (&retry, &input, 0).u.refuse.return_at;
}

/* The hints let refused callers return no faster than they can be served,
   the same request gets the same jitter, and the hint is never earlier
   than the expected wait.  */
static void
test_hint (void)
{
  enum
  {
    REFUSED = 5000,
    SECONDS = 31
  };
  gp_retry_settings_t settings = GP_RETRY_SETTINGS_DEFAULT;
  gp_retry_input_t input
      = input_of (GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                  GP__WIRE__REASON__REASON_NO_CANDIDATE, true);
  int returning[SECONDS] = { 0 };
  gp_time_t first = 0;
  gp_retry_t retry;

  gp_retry_init (&retry, &settings, 0);
  for (uint64_t id = 0; id < REFUSED; id++)
    {
      gp_retry_decision_t decision;

      input.id = id;
      decision = gp_retry_decide (&retry, &input, 0);
      CU_ASSERT_EQUAL_FATAL (decision.kind, GP_RETRY_REFUSE);
      CU_ASSERT_FATAL (decision.u.refuse.return_at >= settings.min_hint);
      CU_ASSERT_FATAL (decision.u.refuse.return_at <= settings.max_hint);
      returning[decision.u.refuse.return_at / GP_SEC]++;
      first = id == 0 ? decision.u.refuse.return_at : first;
    }
  /* 1,000 requests can be served per second.  */
  for (int s = 0; s < SECONDS; s++)
    CU_ASSERT (returning[s] <= 1000);
  CU_ASSERT_EQUAL (first_hint (0, 0), first);
  CU_ASSERT_NOT_EQUAL (first_hint (1, 0), first);
  CU_ASSERT (first_hint (0, 2 * GP_SEC) >= 2 * GP_SEC);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "table", test_table },
                                 { "feasible", test_feasible },
                                 { "budget", test_budget },
                                 { "hint", test_hint },
                                 CU_TEST_INFO_NULL };

  return runner_main ("retry", tests);
}

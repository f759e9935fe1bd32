#include "coordination/retry.h"

#include <xxhash.h>

#define TOKEN 1000

/* The scope of a failure: where and when another attempt may succeed.  */
typedef enum
{
  SCOPE_ELSEWHERE, /* at another executor */
  SCOPE_LATER,     /* at no executor now */
  SCOPE_NEVER      /* never */
} scope_t;

static uint64_t
min_u64 (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

void
gp_retry_init (gp_retry_t *retry, const gp_retry_settings_t *settings,
               gp_time_t now)
{
  *retry = (gp_retry_t){ .settings = *settings,
                         .millitokens = settings->burst_millitokens,
                         .refilled_at = now,
                         .booked_until = now };
}

/* Retry budget.  */

static void
add_tokens (gp_retry_t *retry, uint64_t millitokens)
{
  retry->millitokens = min_u64 (retry->millitokens + millitokens,
                                retry->settings.burst_millitokens);
}

void
gp_retry_request (gp_retry_t *retry)
{
  add_tokens (retry, retry->settings.request_millitokens);
}

static void
refill (gp_retry_t *retry, gp_time_t now)
{
  gp_time_t passed = now - retry->refilled_at;
  gp_time_t rate = retry->settings.second_millitokens;
  gp_time_t due = passed * rate / GP_SEC;

  if (due <= 0)
    return;
  add_tokens (retry, (uint64_t)due);
  retry->refilled_at += due * GP_SEC / rate;
}

static bool
take_token (gp_retry_t *retry, gp_time_t now)
{
  refill (retry, now);
  if (retry->millitokens < TOKEN)
    return false;
  retry->millitokens -= TOKEN;
  return true;
}

/* Retry hint.  */

/* Returns a fraction of SPAN that is fixed for ID.  */
static gp_time_t
jitter (uint64_t id, gp_time_t span)
{
  uint64_t hash = XXH3_64bits (&id, sizeof id) >> 32;

  return (gp_time_t)((hash * (uint64_t)span) >> 32);
}

static gp_time_t
retry_time (gp_retry_t *retry, const gp_retry_input_t *input, gp_time_t now)
{
  gp_time_t latest = now + retry->settings.max_hint;
  gp_time_t base;

  if (retry->booked_until < now)
    retry->booked_until = now;
  if (retry->booked_until < latest)
    retry->booked_until += input->interval_us;
  base = retry->booked_until - now;
  if (base < input->wait_us)
    base = input->wait_us;
  if (base < retry->settings.min_hint)
    base = retry->settings.min_hint;
  if (base > retry->settings.max_hint / 2)
    base = retry->settings.max_hint / 2;
  return now + base + jitter (input->id, base);
}

/* The decision.  */

static scope_t
scope_of (Gp__Wire__Reason reason)
{
  switch (reason)
    {
    case GP__WIRE__REASON__REASON_UNSPECIFIED:
    case GP__WIRE__REASON__REASON_QUEUE_FULL:
    case GP__WIRE__REASON__REASON_DEADLINE:
    case GP__WIRE__REASON__REASON_LEAVING:
    case GP__WIRE__REASON__REASON_CONNECT:
    case GP__WIRE__REASON__REASON_UPSTREAM:
    case GP__WIRE__REASON__REASON_STALE:
    case GP__WIRE__REASON__REASON_CAPACITY:
    case GP__WIRE__REASON__REASON_FENCED:
      return SCOPE_ELSEWHERE;
    case GP__WIRE__REASON__REASON_LIMIT:
    case GP__WIRE__REASON__REASON_NO_CANDIDATE:
    case GP__WIRE__REASON__REASON_LOG:
      return SCOPE_LATER;
    case GP__WIRE__REASON__REASON_CANCELLED:
    case GP__WIRE__REASON__REASON_NO_SUCH_SERVICE:
    case GP__WIRE__REASON__REASON_TOO_LARGE:
    case _GP__WIRE__REASON_IS_INT_SIZE:
      break;
    }
  return SCOPE_NEVER;
}

/* Returns true if running the request again cannot repeat its effects.  */
static bool
is_safe (const gp_retry_input_t *input)
{
  switch (input->verdict)
    {
    case GP__WIRE__VERDICT__VERDICT_NOT_RUN:
      return true;
    case GP__WIRE__VERDICT__VERDICT_UNKNOWN:
    case GP__WIRE__VERDICT__VERDICT_UNSPECIFIED:
      return input->idempotent;
    case GP__WIRE__VERDICT__VERDICT_RAN:
    case _GP__WIRE__VERDICT_IS_INT_SIZE:
      break;
    }
  return false;
}

static bool
is_feasible (const gp_retry_t *retry, const gp_retry_input_t *input,
             gp_time_t now)
{
  return input->candidate_left && !input->answer_begun
         && input->attempts < retry->settings.max_attempts
         && now + input->expected_us <= input->deadline;
}

static gp_retry_decision_t
refuse (gp_retry_t *retry, const gp_retry_input_t *input, gp_time_t now)
{
  gp_retry_decision_t decision = { .kind = GP_RETRY_REFUSE };

  decision.u.refuse.verdict = input->verdict;
  if (input->verdict != GP__WIRE__VERDICT__VERDICT_NOT_RUN)
    decision.u.refuse.verdict = GP__WIRE__VERDICT__VERDICT_UNKNOWN;
  decision.u.refuse.reason = input->reason;
  decision.u.refuse.return_at = GP_TIME_NEVER;
  /* A hint invites another run, so it is given only if that is safe.  */
  if (is_safe (input) && scope_of (input->reason) != SCOPE_NEVER)
    decision.u.refuse.return_at = retry_time (retry, input, now);
  return decision;
}

gp_retry_decision_t
gp_retry_decide (gp_retry_t *retry, const gp_retry_input_t *input,
                 gp_time_t now)
{
  if (input->verdict == GP__WIRE__VERDICT__VERDICT_RAN)
    return (gp_retry_decision_t){ .kind = GP_RETRY_ANSWER };
  if (is_safe (input) && scope_of (input->reason) == SCOPE_ELSEWHERE
      && is_feasible (retry, input, now) && take_token (retry, now))
    return (gp_retry_decision_t){ .kind = GP_RETRY_AGAIN };
  return refuse (retry, input, now);
}

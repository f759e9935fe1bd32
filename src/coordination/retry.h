/* Retries: what to do once the verdict on a request is known.

   NOT_RUN may be tried at another executor.  UNKNOWN may too, but only for
   an idempotent request.  Every retry must leave enough time before the
   deadline, needs an executor that was not tried, and takes a token from
   the service's budget, into which each request pays a fraction of a token:
   retries thus add a bounded part to the load, also when everything fails.

   A request that is not retried gets its final answer at once.  The hint
   when to come back spreads the refused callers: each refusal books the
   next share of the service's capacity, so that they return no faster than
   they could be served, with a jitter that is fixed for each request.  */

#ifndef GP_COORDINATION_RETRY_H
#define GP_COORDINATION_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "wire.pb-c.h"

typedef struct
{
  uint32_t max_attempts;
  uint32_t request_millitokens; /* paid in by each request */
  uint32_t second_millitokens;  /* paid in by each second */
  uint32_t burst_millitokens;   /* the most that is kept */
  gp_time_t min_hint;
  gp_time_t max_hint;
} gp_retry_settings_t;

/* One retry for ten requests, and one a second for a quiet service.  */
#define GP_RETRY_SETTINGS_DEFAULT                                             \
  ((gp_retry_settings_t){ .max_attempts = 3,                                  \
                          .request_millitokens = 100,                         \
                          .second_millitokens = 1000,                         \
                          .burst_millitokens = 20000,                         \
                          .min_hint = 100 * GP_MSEC,                          \
                          .max_hint = 30 * GP_SEC })

/* The retries of one service.  */
typedef struct
{
  gp_retry_settings_t settings;
  uint64_t millitokens;
  gp_time_t refilled_at;
  gp_time_t booked_until; /* capacity that refused callers were told of */
} gp_retry_t;

/* One request whose current try has ended.  */
typedef struct
{
  uint64_t id; /* of the request, for the jitter */
  Gp__Wire__Verdict verdict;
  Gp__Wire__Reason reason;
  bool idempotent;
  bool answer_begun;   /* a part of an answer went to the caller */
  bool candidate_left; /* an executor that was not tried */
  uint32_t attempts;   /* tries that have ended */
  gp_time_t deadline;
  gp_time_t expected_us; /* what another try would take */
  gp_time_t wait_us;     /* of a new request, by the load */
  gp_time_t interval_us; /* between two completions of the service */
} gp_retry_input_t;

typedef enum
{
  GP_RETRY_ANSWER, /* pass the answer on */
  GP_RETRY_AGAIN,  /* send it to another executor, now */
  GP_RETRY_REFUSE  /* answer the caller that it failed */
} gp_retry_kind_t;

typedef struct
{
  gp_retry_kind_t kind;
  union
  {
    struct
    {
      Gp__Wire__Verdict verdict; /* NOT_RUN or UNKNOWN */
      Gp__Wire__Reason reason;
      gp_time_t return_at; /* the hint; GP_TIME_NEVER: none is given */
    } refuse;
  } u;
} gp_retry_decision_t;

void gp_retry_init (gp_retry_t *retry, const gp_retry_settings_t *settings,
                    gp_time_t now);

/* A request of the service arrived.  */
void gp_retry_request (gp_retry_t *retry);

/* Decide; takes a token if the answer is GP_RETRY_AGAIN.  */
gp_retry_decision_t gp_retry_decide (gp_retry_t *retry,
                                     const gp_retry_input_t *input,
                                     gp_time_t now);

#endif

/* Retry decisions, made once the verdict on a request is known.

   A request with verdict NOT_RUN may be retried at another executor, one
   with UNKNOWN only if it is idempotent.  A retry also needs enough time
   before the deadline, an executor that was not yet tried, and a token
   from the service's retry budget, to which each request adds a fraction
   of a token.  Retries therefore add a bounded fraction to the load, even
   if everything fails.

   A request that is not retried gets its final answer at once.  The hint
   when to retry spreads the refused callers: each refusal books the next
   share of the service's capacity, so that callers return no faster than
   they can be served, with a jitter that is fixed per request.  */

#ifndef GP_COORDINATION_RETRY_H
#define GP_COORDINATION_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "wire.pb-c.h"

typedef struct
{
  uint32_t max_attempts;
  uint32_t request_millitokens; /* added by each request */
  uint32_t second_millitokens;  /* added per second */
  uint32_t burst_millitokens;   /* maximum balance */
  gp_time_t min_hint;
  gp_time_t max_hint;
} gp_retry_settings_t;

/* One retry per ten requests, and one per second for a service with little
   traffic.  */
#define GP_RETRY_SETTINGS_DEFAULT                                             \
  ((gp_retry_settings_t){ .max_attempts = 3,                                  \
                          .request_millitokens = 100,                         \
                          .second_millitokens = 1000,                         \
                          .burst_millitokens = 20000,                         \
                          .min_hint = 100 * GP_MSEC,                          \
                          .max_hint = 30 * GP_SEC })

/* The retry budget of one service.  */
typedef struct
{
  gp_retry_settings_t settings;
  uint64_t millitokens;
  gp_time_t refilled_at;
  gp_time_t booked_until; /* end of the capacity booked for refused callers */
} gp_retry_t;

/* A request whose latest attempt has ended.  */
typedef struct
{
  uint64_t id; /* request id, for the jitter */
  Gp__Wire__Verdict verdict;
  Gp__Wire__Reason reason;
  bool idempotent;
  bool answer_begun;   /* part of an answer was sent to the caller */
  bool candidate_left; /* some executor was not tried */
  uint32_t attempts;   /* number of attempts that have ended */
  gp_time_t deadline;
  gp_time_t expected_us; /* expected duration of another attempt */
  gp_time_t wait_us;     /* expected wait of a new request */
  gp_time_t interval_us; /* mean time between two completions of the service */
} gp_retry_input_t;

typedef enum
{
  GP_RETRY_ANSWER, /* pass on the answer */
  GP_RETRY_AGAIN,  /* send it to another executor now */
  GP_RETRY_REFUSE  /* answer the caller with a failure */
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
      gp_time_t return_at; /* retry hint; GP_TIME_NEVER if none is given */
    } refuse;
  } u;
} gp_retry_decision_t;

void gp_retry_init (gp_retry_t *retry, const gp_retry_settings_t *settings,
                    gp_time_t now);

/* Records the arrival of a request to the service.  */
void gp_retry_request (gp_retry_t *retry);

/* Makes the decision; takes a token if it is GP_RETRY_AGAIN.  */
gp_retry_decision_t gp_retry_decide (gp_retry_t *retry,
                                     const gp_retry_input_t *input,
                                     gp_time_t now);

#endif

/* Token bucket that limits the rate of a team or class.

   The state is a single point in time, at which the bucket will be full
   again, so there is nothing to refill and no timer.  The module reads no
   clock; NOW must not decrease.  */

#ifndef GP_COORDINATION_LIMITER_H
#define GP_COORDINATION_LIMITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

typedef struct
{
  int64_t token_ns;   /* time to add one token */
  int64_t burst_ns;   /* time to fill an empty bucket */
  int64_t full_at_ns; /* when the bucket is full */
} gp_limiter_t;

/* Initializes a full bucket of BURST tokens, to which RATE tokens are
   added per second.  RATE must be greater than zero and BURST at least
   one.  */
void gp_limiter_init (gp_limiter_t *limiter, double rate, uint32_t burst);

/* Changes the limits; tokens already taken remain taken, up to an empty
   bucket.  */
void gp_limiter_configure (gp_limiter_t *limiter, double rate, uint32_t burst,
                           gp_time_t now);

/* Returns the time from which COUNT tokens can be taken: NOW if
   immediately, GP_TIME_NEVER if the bucket is too small.  */
gp_time_t gp_limiter_ready_at (const gp_limiter_t *limiter, uint32_t count,
                               gp_time_t now);

/* Takes COUNT tokens if that many are available.  */
bool gp_limiter_take (gp_limiter_t *limiter, uint32_t count, gp_time_t now);

/* Takes COUNT tokens from each of the SIZE limiters, or from none.  If it
   returns false, RETRY_AT, unless NULL, is set to the time from which all
   of them have enough tokens.  */
bool gp_limiter_take_all (gp_limiter_t *const *limiters, size_t size,
                          uint32_t count, gp_time_t now, gp_time_t *retry_at);

#endif

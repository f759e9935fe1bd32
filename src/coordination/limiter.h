/* Token bucket: a limit on the rate of a team or class.

   The bucket is kept as one point in time, the point at which it will be
   full again, so there is nothing to refill and no timer.  It reads no clock;
   NOW may repeat but not go back.  */

#ifndef GP_COORDINATION_LIMITER_H
#define GP_COORDINATION_LIMITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

typedef struct
{
  int64_t token_ns;   /* duration in which one token comes back, in ns */
  int64_t burst_ns;   /* duration in which an empty bucket fills, in ns */
  int64_t full_at_ns; /* point in ns */
} gp_limiter_t;

/* A full bucket of BURST tokens to which RATE tokens come back per second.
   RATE is greater than zero and BURST at least one.  */
void gp_limiter_init (gp_limiter_t *limiter, double rate, uint32_t burst);

/* Change the limits; what was taken stays taken, up to an empty bucket.  */
void gp_limiter_configure (gp_limiter_t *limiter, double rate, uint32_t burst,
                           gp_time_t now);

/* The point from which COUNT tokens can be taken, NOW if at once, and
   GP_TIME_NEVER if the bucket is too small.  */
gp_time_t gp_limiter_ready_at (const gp_limiter_t *limiter, uint32_t count,
                               gp_time_t now);

/* Take COUNT tokens if there are as many.  */
bool gp_limiter_take (gp_limiter_t *limiter, uint32_t count, gp_time_t now);

/* Take COUNT tokens from each of the SIZE limiters or from none.  False:
   RETRY_AT, unless NULL, is the point from which each has them.  */
bool gp_limiter_take_all (gp_limiter_t *const *limiters, size_t size,
                          uint32_t count, gp_time_t now, gp_time_t *retry_at);

#endif

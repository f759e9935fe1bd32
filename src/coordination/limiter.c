/* Token bucket represented by a point in time.

   The bucket holds (NOW + BURST - FULL_AT) / TOKEN tokens, all in ns, and
   is full from FULL_AT on.  Taking a token advances FULL_AT by TOKEN,
   which is allowed while FULL_AT stays within NOW + BURST.  */

#include "coordination/limiter.h"

#include <glib.h>

#define NS_PER_USEC 1000
#define NS_PER_SEC 1e9
/* Limits the time to add a token to one year, so that sums do not
   overflow.  */
#define TOKEN_NS_MAX (366 * 86400 * NS_PER_SEC)
#define BURST_NS_MAX (INT64_MAX / 4)

static void
set_limits (gp_limiter_t *limiter, double rate, uint32_t burst)
{
  double token_ns = CLAMP (NS_PER_SEC / rate, 1, TOKEN_NS_MAX);

  limiter->token_ns = (int64_t)token_ns;
  limiter->burst_ns
      = (int64_t)MIN ((double)limiter->token_ns * burst, (double)BURST_NS_MAX);
}

void
gp_limiter_init (gp_limiter_t *limiter, double rate, uint32_t burst)
{
  set_limits (limiter, rate, burst);
  limiter->full_at_ns = 0;
}

void
gp_limiter_configure (gp_limiter_t *limiter, double rate, uint32_t burst,
                      gp_time_t now)
{
  set_limits (limiter, rate, burst);
  limiter->full_at_ns
      = MIN (limiter->full_at_ns, now * NS_PER_USEC + limiter->burst_ns);
}

/* Returns FULL_AT after taking COUNT tokens at NOW_NS.  */
static int64_t
full_after (const gp_limiter_t *limiter, uint32_t count, int64_t now_ns)
{
  return MAX (limiter->full_at_ns, now_ns) + count * limiter->token_ns;
}

gp_time_t
gp_limiter_ready_at (const gp_limiter_t *limiter, uint32_t count,
                     gp_time_t now)
{
  int64_t now_ns = now * NS_PER_USEC;
  int64_t ready_ns;

  if (count > limiter->burst_ns / limiter->token_ns)
    return GP_TIME_NEVER;
  ready_ns = full_after (limiter, count, now_ns) - limiter->burst_ns;
  if (ready_ns <= now_ns)
    return now;
  return (ready_ns + NS_PER_USEC - 1) / NS_PER_USEC;
}

bool
gp_limiter_take (gp_limiter_t *limiter, uint32_t count, gp_time_t now)
{
  if (gp_limiter_ready_at (limiter, count, now) > now)
    return false;
  limiter->full_at_ns = full_after (limiter, count, now * NS_PER_USEC);
  return true;
}

bool
gp_limiter_take_all (gp_limiter_t *const *limiters, size_t size,
                     uint32_t count, gp_time_t now, gp_time_t *retry_at)
{
  gp_time_t ready_at = now;

  for (size_t i = 0; i < size; i++)
    ready_at = MAX (ready_at, gp_limiter_ready_at (limiters[i], count, now));
  if (retry_at != NULL)
    *retry_at = ready_at;
  if (ready_at > now)
    return false;
  for (size_t i = 0; i < size; i++)
    gp_limiter_take (limiters[i], count, now);
  return true;
}

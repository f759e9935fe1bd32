/* When a caller that was refused is to come back.  */

#include "jobs/retry_after.h"

#include <glib.h>

/* A caller has to have so many tries within its patience.  */
#define TRIES_LEAST 3
/* An outage is expected to last no longer than this from now on.  */
#define AWAY_MAX (30 * GP_SEC)
/* The time that is waited is spread over so much of it, in thousandths.  */
#define SPREAD_PERMILLE 500

unsigned
gp_retry_after_s (const gp_retry_after_t *refusal)
{
  gp_time_t expected = MAX (refusal->store_away, refusal->store_time);
  gp_time_t bearable = refusal->patience / TRIES_LEAST;
  gp_time_t wait;

  expected = MIN (expected, AWAY_MAX);
  expected
      += expected * SPREAD_PERMILLE / 1000 * (refusal->spread % 1000) / 1000;
  wait = MIN (expected, bearable);
  return (unsigned)MAX (wait / GP_SEC, 1);
}

/* When a refused caller should try again.  */

#include "jobs/retry_after.h"

#include <glib.h>

/* A caller must get this number of tries before it gives up.  */
#define TRIES_LEAST 3
/* Upper bound on how much longer an outage is expected to last.  */
#define AWAY_MAX (30 * GP_SEC)
/* Random addition to the delay, up to this share of it, in thousandths.  */
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

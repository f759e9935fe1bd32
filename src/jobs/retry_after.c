/* When a refused caller should try again.  */

#include "jobs/retry_after.h"

#include <glib.h>

/* A caller must be able to make this number of attempts before it gives
   up.  */
#define MIN_TRIES 3
/* Upper bound on how much longer an outage is expected to last.  */
#define MAX_OUTAGE (30 * GP_SEC)
/* Random addition to the delay, up to this share of it, in thousandths.  */
#define JITTER_PERMILLE 500

/* Returns whole seconds between BACKLOG and twice that, by JITTER.  */
static gp_time_t
backlog_wait (gp_time_t backlog, uint32_t jitter)
{
  gp_time_t first = (backlog + GP_SEC - 1) / GP_SEC;
  gp_time_t last = MAX (2 * backlog / GP_SEC, first);

  return (first + (gp_time_t)jitter % (last - first + 1)) * GP_SEC;
}

unsigned
gp_retry_after_s (const gp_retry_after_t *refusal)
{
  gp_time_t expected = MAX (refusal->store_outage, refusal->store_time);
  gp_time_t max_wait = refusal->timeout / MIN_TRIES;
  gp_time_t wait;

  expected = MIN (expected, MAX_OUTAGE);
  expected
      += expected * JITTER_PERMILLE / 1000 * (refusal->jitter % 1000) / 1000;
  if (refusal->backlog > 0)
    expected = MAX (expected, backlog_wait (MIN (refusal->backlog, MAX_OUTAGE),
                                            refusal->jitter));
  wait = MIN (expected, max_wait);
  return (unsigned)MAX (wait / GP_SEC, 1);
}

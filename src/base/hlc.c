/* Hybrid logical clock.

   Time and counter form one number, so the next stamp is the maximum of the
   wall time and the last stamp plus one; a counter that overflows carries into
   the milliseconds.  */

#include "base/hlc.h"

#include <glib.h>

#define USEC_PER_MSEC INT64_C (1000)

static gp_hlc_stamp_t
wall_to_stamp (int64_t wall)
{
  return (gp_hlc_stamp_t)(MAX (wall, 0) / USEC_PER_MSEC)
         << GP_HLC_COUNTER_BITS;
}

void
gp_hlc_init (gp_hlc_t *clock)
{
  clock->last = 0;
}

gp_hlc_stamp_t
gp_hlc_tick (gp_hlc_t *clock, int64_t wall)
{
  clock->last = MAX (clock->last + 1, wall_to_stamp (wall));
  return clock->last;
}

bool
gp_hlc_receive (gp_hlc_t *clock, gp_hlc_stamp_t remote, int64_t wall,
                gp_hlc_stamp_t *stamp)
{
  gp_hlc_stamp_t limit
      = wall_to_stamp (wall + GP_HLC_MAX_AHEAD_MS * USEC_PER_MSEC);
  bool accepted = remote <= limit;

  if (accepted)
    clock->last = MAX (clock->last, remote);
  *stamp = gp_hlc_tick (clock, wall);
  return accepted;
}

/* Times of the lease protocol, the same at every process of a site.

   A lease is measured by its holder, an entry that waits for its end measures
   on another clock.  The one that waits pays for the difference: it waits the
   stretched length plus the margin.  See docs/design/leases.md.  */

#ifndef GP_COORDINATION_LEASE_TIMING_H
#define GP_COORDINATION_LEASE_TIMING_H

#include "base/settings.h"
#include "base/time.h"

#define GP_PPM 1000000

typedef struct
{
  gp_time_t length;    /* L: a renewal lasts this long from the log read */
  gp_time_t promise;   /* P: a vouch lasts this long from its ask */
  gp_time_t margin;    /* the runtime has killed by deadline + margin */
  gp_time_t heartbeat; /* mean time between a guard's heartbeats */
  gp_time_t silence;   /* a guard unheard for this long is fenced */
  gp_time_t start_min; /* a task starts only with this much lease left */
  int64_t drift_ppm;   /* no clock is faster or slower than this */
} gp_lease_timing_t;

/* Defaults: L = P = 15 s, margin 500 ms, heartbeat 2 s, silence 6 s.  */
static inline gp_lease_timing_t
gp_lease_timing_default (void)
{
  return (gp_lease_timing_t){ .length = 15 * GP_SEC,
                              .promise = 15 * GP_SEC,
                              .margin = 500 * GP_MSEC,
                              .heartbeat = 2 * GP_SEC,
                              .silence = 6 * GP_SEC,
                              .start_min = 2 * GP_SEC,
                              .drift_ppm = 1000 };
}

/* How long this process waits so that DURATION, measured by the slowest
   clock, has passed and the runtime has killed: DURATION (1 + d) / (1 - d)
   rounded up, plus the margin.  */
static inline gp_time_t
gp_lease_timing_wait (const gp_lease_timing_t *timing, gp_time_t duration)
{
  int64_t fast = GP_PPM + timing->drift_ppm;
  int64_t slow = GP_PPM - timing->drift_ppm;

  return duration * fast / slow + 1 + timing->margin;
}

/* The timing that SETTINGS give: the guard's and the entries' sides of the
   protocol are safe only with the same.  */
gp_lease_timing_t
gp_lease_timing_of_settings (const gp_settings_timings_t *settings);

#endif

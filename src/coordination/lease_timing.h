/* Timing parameters of the lease protocol, identical in all processes of a
   site.

   A lease is measured by the clock of its holder, while an entry that
   waits for its end measures with another clock.  The waiting side allows
   for the difference: it waits for the length increased by the maximum
   clock drift, plus the margin.  See docs/design/leases.md.  */

#ifndef GP_COORDINATION_LEASE_TIMING_H
#define GP_COORDINATION_LEASE_TIMING_H

#include "base/settings.h"
#include "base/time.h"

#define GP_PPM 1000000

typedef struct
{
  gp_time_t length;  /* L: duration of a renewal, from the log read */
  gp_time_t promise; /* P: duration of a vouch, from its request */
  gp_time_t margin; /* the runtime has killed all tasks by deadline + margin */
  gp_time_t heartbeat; /* mean time between a guard's heartbeats */
  gp_time_t silence; /* a guard is fenced after this long without heartbeats */
  gp_time_t start_min; /* minimum remaining lease for a task to start */
  int64_t drift_ppm;   /* maximum clock drift, in parts per million */
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

/* Returns how long to wait on this process's clock until DURATION has
   passed on the slowest clock and the runtime has killed all tasks:
   DURATION (1 + d) / (1 - d) rounded up, plus the margin.  */
static inline gp_time_t
gp_lease_timing_wait (const gp_lease_timing_t *timing, gp_time_t duration)
{
  int64_t fast = GP_PPM + timing->drift_ppm;
  int64_t slow = GP_PPM - timing->drift_ppm;

  return duration * fast / slow + 1 + timing->margin;
}

/* Returns the timing for SETTINGS.  The protocol is safe only if guards
   and entries use the same timing.  */
gp_lease_timing_t
gp_lease_timing_of_settings (const gp_settings_timings_t *settings);

#endif

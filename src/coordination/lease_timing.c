/* Timing parameters of the lease protocol, from the settings.  */

#include "coordination/lease_timing.h"

/* Minimum remaining lease for a task to start: 2 s of 15 s.  */
#define START_MIN(length) ((length)*2 / 15)

gp_lease_timing_t
gp_lease_timing_of_settings (const gp_settings_timings_t *settings)
{
  gp_time_t length = settings->lease_ms * GP_MSEC;

  return (gp_lease_timing_t){ .length = length,
                              .promise = settings->vouch_ms * GP_MSEC,
                              .margin = settings->margin_ms * GP_MSEC,
                              .heartbeat = settings->heartbeat_ms * GP_MSEC,
                              .silence = settings->suspect_ms * GP_MSEC,
                              .start_min = START_MIN (length),
                              .drift_ppm = settings->drift_ppm };
}

/* The condition for starts on a guard: its availability zone must not be
   evacuated.

   The guard does not read the operators' records: with each acknowledgement
   the leader sends whether the zone is evacuated and how old that information
   is.  The acknowledgement echoes the time at which the guard sent its report,
   so that the age counts from a point on the guard's own clock.  However long
   the message was in transit, or the leader was cut off or paused, the guard
   knows the latest time at which the zone was certainly open.  A notice that
   the zone is open remains valid for SPAN from that time, which is shorter
   than the time within which operators expect an evacuation to be in force;
   without a newer notice nothing is started.  This also ends retries of
   earlier orders.

   Pure.  */

#ifndef GP_JOBS_START_GATE_H
#define GP_JOBS_START_GATE_H

#include <stdbool.h>

#include "base/time.h"

typedef struct
{
  gp_time_t validity; /* how long a notice that the zone is open remains valid,
                         a duration; 0: without limit */
  gp_time_t known_at; /* time of the information in the last notice */
  gp_time_t open_until; /* no starts after this time */
  bool evacuated;
} gp_start_gate_t;

void gp_start_gate_init (gp_start_gate_t *gate, gp_time_t validity);

/* At KNOWN_AT the zone was evacuated, or not.  Older information than the last
   one is ignored.  */
void gp_start_gate_update (gp_start_gate_t *gate, bool evacuated,
                           gp_time_t known_at);

bool gp_start_gate_is_open (const gp_start_gate_t *gate, gp_time_t now);

#endif

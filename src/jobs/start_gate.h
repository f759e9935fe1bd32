/* May a guard start anything?  Not while its availability zone is evacuated.

   The guard does not read the operators' records: the leader tells it with
   each acknowledgement whether the zone is evacuated and how old that
   knowledge is.  The acknowledgement echoes the time at which the guard sent
   its report, so that the age counts from a point on the guard's own clock:
   however long the word took, or a leader was cut off or held up, the guard
   knows at which time the zone was open at the latest.  A word that the zone
   is open holds for SPAN from there, which is less than the time within which
   operators expect an evacuation to be in force; without a newer one nothing
   is started.  So what was ordered before and is tried again ends with it as
   well.

   Pure.  */

#ifndef GP_JOBS_START_GATE_H
#define GP_JOBS_START_GATE_H

#include <stdbool.h>

#include "base/time.h"

typedef struct
{
  gp_time_t span;       /* a duration; 0: a word holds for good */
  gp_time_t told_at;    /* the last word is of then */
  gp_time_t open_until; /* nothing is started later */
  bool evacuated;
} gp_start_gate_t;

void gp_start_gate_init (gp_start_gate_t *gate, gp_time_t span);

/* At KNOWN_AT the zone was EVACUATED, or was not; an older word than the last
   one changes nothing.  */
void gp_start_gate_told (gp_start_gate_t *gate, bool evacuated,
                         gp_time_t known_at);

bool gp_start_gate_is_open (const gp_start_gate_t *gate, gp_time_t now);

#endif

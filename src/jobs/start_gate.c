/* The condition for starts on a guard: its zone must not be evacuated.  */

#include "jobs/start_gate.h"

void
gp_start_gate_init (gp_start_gate_t *gate, gp_time_t validity)
{
  *gate = (gp_start_gate_t){ .validity = validity,
                             .known_at = INT64_MIN / 2,
                             .open_until
                             = validity > 0 ? INT64_MIN / 2 : GP_TIME_NEVER };
}

void
gp_start_gate_update (gp_start_gate_t *gate, bool evacuated,
                      gp_time_t known_at)
{
  if (known_at < gate->known_at)
    return;
  gate->known_at = known_at;
  gate->evacuated = evacuated;
  if (gate->validity > 0)
    gate->open_until = known_at + gate->validity;
}

bool
gp_start_gate_is_open (const gp_start_gate_t *gate, gp_time_t now)
{
  return !gate->evacuated && now <= gate->open_until;
}

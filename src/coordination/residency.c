/* Ring buffer of the changes to one worker's residents.  */

#include "coordination/residency.h"

#include <string.h>

void
gp_residency_init (gp_residency_t *residency, gp_time_t now)
{
  memset (residency, 0, sizeof *residency);
  residency->since = now;
}

void
gp_residency_change (gp_residency_t *residency, uint16_t kind, int quarters,
                     gp_time_t now)
{
  gp_residency_change_t *change
      = &residency->changes[residency->n_changes % GP_RESIDENCY_CHANGES];

  if (residency->n_changes >= GP_RESIDENCY_CHANGES)
    residency->since = change->time;
  change->time = now;
  change->kind = gp_residency_slot (kind);
  change->quarters = (int16_t)quarters;
  residency->quarters[change->kind] += quarters;
  residency->n_changes++;
}

static uint32_t
recorded_changes (const gp_residency_t *residency)
{
  return residency->n_changes < GP_RESIDENCY_CHANGES ? residency->n_changes
                                                     : GP_RESIDENCY_CHANGES;
}

bool
gp_residency_mean (const gp_residency_t *residency, gp_time_t from,
                   gp_time_t to, double mean[GP_RESIDENCY_KINDS])
{
  double span = (double)(to - from);
  uint32_t last = residency->n_changes;

  if (from < residency->since || from >= to)
    return false;
  for (unsigned int i = 0; i < GP_RESIDENCY_KINDS; i++)
    mean[i] = (double)residency->quarters[i] / GP_RESIDENCY_UNTHROTTLED;
  for (uint32_t i = 1; i <= recorded_changes (residency); i++)
    {
      const gp_residency_change_t *change
          = &residency->changes[(last - i) % GP_RESIDENCY_CHANGES];
      gp_time_t until = change->time < to ? change->time : to;

      if (change->time <= from)
        break;
      mean[change->kind] -= (double)change->quarters / GP_RESIDENCY_UNTHROTTLED
                            * (double)(until - from) / span;
    }
  return true;
}

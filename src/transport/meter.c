/* Measurement of a recent data rate.  */

#include "transport/meter.h"

#include <glib.h>

static void
advance_window (gp_meter_t *meter, gp_time_t now)
{
  if (now < meter->window_end)
    return;
  meter->previous
      = now < meter->window_end + GP_METER_WINDOW ? meter->current : 0;
  meter->current = 0;
  meter->window_end = now + GP_METER_WINDOW;
}

void
gp_meter_add (gp_meter_t *meter, size_t size, gp_time_t now)
{
  advance_window (meter, now);
  meter->current += size;
}

int64_t
gp_meter_rate (gp_meter_t *meter, gp_time_t now)
{
  advance_window (meter, now);
  return (int64_t)MAX (meter->current, meter->previous) * GP_SEC
         / GP_METER_WINDOW;
}

/* Measurement of a recent data rate.  */

#include "transport/meter.h"

#include <glib.h>

static void
turn_to (gp_meter_t *meter, gp_time_t now)
{
  if (now < meter->end)
    return;
  meter->before = now < meter->end + GP_METER_TIME ? meter->now : 0;
  meter->now = 0;
  meter->end = now + GP_METER_TIME;
}

void
gp_meter_add (gp_meter_t *meter, size_t size, gp_time_t now)
{
  turn_to (meter, now);
  meter->now += size;
}

int64_t
gp_meter_rate (gp_meter_t *meter, gp_time_t now)
{
  turn_to (meter, now);
  return (int64_t)MAX (meter->now, meter->before) * GP_SEC / GP_METER_TIME;
}

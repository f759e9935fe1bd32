/* Measurement of a recent data rate.

   Bytes are counted in windows of GP_METER_WINDOW.  The rate is that of the
   previous or of the current window, whichever has more bytes.  The meter
   reads no clock: NOW is passed in.  */

#ifndef GP_TRANSPORT_METER_H
#define GP_TRANSPORT_METER_H

#include <stddef.h>

#include "base/time.h"

#define GP_METER_WINDOW (500 * GP_MSEC)

typedef struct
{
  gp_time_t window_end; /* of the current window */
  size_t current;       /* bytes in the current window */
  size_t previous;      /* bytes in the previous window */
} gp_meter_t;

/* Count SIZE bytes.  */
void gp_meter_add (gp_meter_t *meter, size_t size, gp_time_t now);

/* Return the rate in bytes per second.  */
int64_t gp_meter_rate (gp_meter_t *meter, gp_time_t now);

#endif

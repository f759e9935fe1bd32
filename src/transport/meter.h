/* How many bytes have passed lately.

   Counts in windows of GP_METER_TIME; what is told is the last whole window or
   the present one, whichever has more.  Pure: bytes and NOW in.  */

#ifndef GP_TRANSPORT_METER_H
#define GP_TRANSPORT_METER_H

#include <stddef.h>

#include "base/time.h"

#define GP_METER_TIME (500 * GP_MSEC)

typedef struct
{
  gp_time_t end; /* of the present window */
  size_t now;    /* bytes in it ... */
  size_t before; /* ... and in the one before */
} gp_meter_t;

/* SIZE bytes have passed.  */
void gp_meter_add (gp_meter_t *meter, size_t size, gp_time_t now);

/* Bytes a second.  */
int64_t gp_meter_rate (gp_meter_t *meter, gp_time_t now);

#endif

/* Load of an executor as its guard reports it.  */

#ifndef GP_COORDINATION_LOAD_H
#define GP_COORDINATION_LOAD_H

#include <stdint.h>

#include "base/time.h"

typedef struct
{
  uint32_t running;    /* slots in use */
  uint32_t queued;     /* requests waiting for a slot */
  uint32_t latency_us; /* moving average of the service time */
  gp_time_t at;        /* when it was measured */
} gp_load_t;

#endif

/* How fast filling runs may work beside runs that serve.

   One level for all filling runs of an executor: halved while the tail
   latency of a serving run is near its target, raised step by step while all
   are well under.  */

#ifndef GP_JOBS_PACER_H
#define GP_JOBS_PACER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

#define GP_PACER_FULL 100 /* percent */

typedef struct
{
  uint32_t level;         /* percent of full speed */
  gp_time_t changed_at;   /* the last change */
  gp_time_t zero_since;   /* the level is 0 since, or GP_TIME_NEVER */
  gp_time_t spared_until; /* filling is not the cause: no slowing before */
} gp_pacer_t;

void gp_pacer_init (gp_pacer_t *pacer);

/* WORST is the highest ratio, in thousandths, of a serving run's tail
   latency to its target, 0 when nothing serves.  Returns the new level.  */
uint32_t gp_pacer_update (gp_pacer_t *pacer, uint32_t worst, gp_time_t now);

#endif

/* Running estimate of the duration of one kind of work.

   The mean and the mean deviation are exponentially weighted (1/16 and
   1/4), which takes constant memory and time and follows a change within
   about forty samples.  */

#ifndef GP_COORDINATION_SERVICE_TIME_H
#define GP_COORDINATION_SERVICE_TIME_H

#include <stdbool.h>

#include "base/time.h"

typedef struct
{
  gp_time_t mean;      /* duration */
  gp_time_t deviation; /* duration */
  bool measured;       /* false if only DECLARED is known */
} gp_service_time_t;

/* Initializes the estimate with the configured duration DECLARED.  */
void gp_service_time_init (gp_service_time_t *time, gp_time_t declared);

/* Adds the duration of one completed piece of work.  */
void gp_service_time_add (gp_service_time_t *time, gp_time_t duration);

/* Returns a duration that is rarely exceeded.  */
gp_time_t gp_service_time_high (const gp_service_time_t *time);

#endif

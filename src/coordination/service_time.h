/* Running estimate of how long work of one kind takes.

   The mean and the mean deviation are exponentially weighted (1/16 and 1/4):
   constant memory and time, and a change is followed within some forty
   samples.  */

#ifndef GP_COORDINATION_SERVICE_TIME_H
#define GP_COORDINATION_SERVICE_TIME_H

#include <stdbool.h>

#include "base/time.h"

typedef struct
{
  gp_time_t mean;      /* duration */
  gp_time_t deviation; /* duration */
  bool measured;       /* false while only DECLARED is known */
} gp_service_time_t;

/* Start from the duration that the configuration declares.  */
void gp_service_time_init (gp_service_time_t *time, gp_time_t declared);

/* Take the duration of one completed piece of work into account.  */
void gp_service_time_add (gp_service_time_t *time, gp_time_t duration);

/* A duration that few pieces of work exceed.  */
gp_time_t gp_service_time_high (const gp_service_time_t *time);

#endif

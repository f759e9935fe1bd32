/* How often runs of each queue begin on one executor.

   The rate is an average over the last seconds, by which older starts count
   exponentially less.  Runs that are assigned at the same moment count as one
   start.  Pure.  */

#ifndef GP_JOBS_START_RATES_H
#define GP_JOBS_START_RATES_H

#include <glib.h>

#include "base/time.h"

typedef struct
{
  GHashTable *queues; /* name to its starts, owned */
} gp_start_rates_t;

void gp_start_rates_init (gp_start_rates_t *rates);
void gp_start_rates_finish (gp_start_rates_t *rates);

/* A run of QUEUE begins at NOW.  */
void gp_start_rates_note (gp_start_rates_t *rates, const char *queue,
                          gp_time_t now);

/* Returns the probability, from 0 to 1, that at a random moment near NOW a run
   of QUEUE has begun within the AGE before.  Starts have been noted since
   SINCE.  */
double gp_start_rates_chance (const gp_start_rates_t *rates, const char *queue,
                              gp_time_t age, gp_time_t since, gp_time_t now);

#endif

/* How fast filling runs may work beside runs that serve.

   From each measurement of the serving runs the pacer takes what they would
   have without the filling ones, and gives each image of filling runs the
   highest speed with which all serving runs are expected to stay under their
   targets.  Where a serving run would be over its target, the image that
   presses it most is slowed down first.  */

#ifndef GP_JOBS_PACER_H
#define GP_JOBS_PACER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"
#include "jobs/pressure.h"

#define GP_PACER_FULL 100 /* percent */

/* Serving runs on one executor that are looked at; more are not known.  */
#define GP_PACER_SERVINGS 64

/* A serving run as it was measured.  */
typedef struct
{
  const char *image;
  double log_ratio; /* of its tail latency to its target */
  double over;      /* seconds for which it has been over the target */
} gp_pacer_serving_t;

typedef struct
{
  gp_pressure_t pressure;             /* as the leader has learned it */
  uint32_t paces[GP_PRESSURE_IMAGES]; /* percent, by place of the image */
} gp_pacer_t;

void gp_pacer_init (gp_pacer_t *pacer);
void gp_pacer_finish (gp_pacer_t *pacer);

/* The speed of runs of IMAGE, in percent.  */
uint32_t gp_pacer_pace (gp_pacer_t *pacer, const char *image);

/* Take in that SERVINGS were measured beside WORK; with COUNTS filling runs
   of each image on the executor now.  */
void gp_pacer_update (gp_pacer_t *pacer, const gp_pacer_serving_t *servings,
                      size_t count, const gp_pressure_work_t *work,
                      const gp_pressure_work_t *counts);

#endif

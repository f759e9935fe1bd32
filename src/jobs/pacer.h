/* How fast filling runs may work beside runs that serve.

   Only busy filling runs press (jobs/pressure.h); the others work at full
   speed.  The pacer gives each image of busy runs the highest speed with
   which all serving runs are expected to keep their headroom over the goal.
   Where one would not, the image that presses it most is slowed down
   first.  */

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

/* A serving run.  */
typedef struct
{
  const char *image;
  double headroom;         /* expected without filling work */
  double headroom_deficit; /* what it lacks of that for no known reason */
  double over_target_s;    /* seconds for which it has been over its target */
} gp_pacer_serving_t;

typedef struct
{
  gp_pressure_t pressure;             /* as the leader has learned it */
  uint32_t paces[GP_PRESSURE_IMAGES]; /* percent, of busy runs by place of
                                         their image */
} gp_pacer_t;

void gp_pacer_init (gp_pacer_t *pacer);
void gp_pacer_finish (gp_pacer_t *pacer);

/* The speed of busy runs of IMAGE, in percent.  */
uint32_t gp_pacer_pace (gp_pacer_t *pacer, const char *image);

/* Plan anew for SERVINGS beside BUSY filling runs, counted at full speed.  */
void gp_pacer_update (gp_pacer_t *pacer, const gp_pacer_serving_t *servings,
                      size_t count, const gp_pressure_work_t *busy);

#endif

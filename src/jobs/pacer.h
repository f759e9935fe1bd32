/* Speed limits for filling runs that share an executor with serving runs.

   Only busy filling runs affect serving runs (jobs/pressure.h); the others run
   at full speed.  For each image of busy runs, the pacer finds the highest
   speed at which all serving runs are expected to keep their headroom above
   the goal.  If a serving run would not, the image that affects it most is
   slowed down first.  */

#ifndef GP_JOBS_PACER_H
#define GP_JOBS_PACER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"
#include "jobs/pressure.h"

#define GP_PACER_FULL_SPEED 100 /* percent */

/* Maximum number of serving runs on an executor that are considered.  */
#define GP_PACER_MAX_SERVINGS 64

typedef struct
{
  const char *image;
  double headroom;         /* expected headroom without filling runs */
  double headroom_deficit; /* by how much the measured headroom fell short of
                              the expected one */
  double over_target_s;    /* for how many seconds it has been over its latency
                              target */
} gp_pacer_serving_t;

typedef struct
{
  gp_pressure_t pressure;             /* the weights that the leader has
                                         learned */
  uint32_t paces[GP_PRESSURE_IMAGES]; /* speed of busy runs in percent, by
                                         index of their image */
} gp_pacer_t;

void gp_pacer_init (gp_pacer_t *pacer);
void gp_pacer_finish (gp_pacer_t *pacer);

/* Returns the speed of busy runs of IMAGE, in percent.  */
uint32_t gp_pacer_pace (gp_pacer_t *pacer, const char *image);

/* Computes new speeds for the BUSY filling runs, whose work is counted at full
   speed, on an executor with the serving runs SERVINGS.  */
void gp_pacer_update (gp_pacer_t *pacer, const gp_pacer_serving_t *servings,
                      size_t count, const gp_pressure_work_t *busy);

#endif

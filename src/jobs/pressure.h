/* How much filling runs slow down the runs that serve beside them, learned
   online.

   The logarithm of a serving run's tail latency over its target is a
   baseline of its own, which follows its load, plus a weight for each image
   of filling runs times the work that they do.  The weights belong to the
   pair of images and are learned from all executors together; most pairs are
   harmless, a few are not.  They are learned from what changes between two
   measurements of the same run half a second apart: the baseline swings by a
   factor of four in nine seconds, and a learner that tracks it finds weights
   in pairs that have none.  Measured on the users' sites: the logarithm
   explains 64 to 73 % of the variance, a linear form 48 %.  */

#ifndef GP_JOBS_PRESSURE_H
#define GP_JOBS_PRESSURE_H

#include <glib.h>

/* Images of filling runs that are told apart; further ones share places.  */
#define GP_PRESSURE_IMAGES 32

/* The weight of a pair of which nothing is known.  */
#define GP_PRESSURE_PRIOR 0.25

/* Work that filling runs do, by the place of their image; 1 is one run at
   full speed.  */
typedef struct
{
  double work[GP_PRESSURE_IMAGES];
} gp_pressure_work_t;

typedef struct
{
  GHashTable *places; /* image of filling runs to its place plus one */
  GHashTable *models; /* image of serving runs to its model, owned */
} gp_pressure_t;

void gp_pressure_init (gp_pressure_t *pressure);
void gp_pressure_finish (gp_pressure_t *pressure);

/* The place of IMAGE, which is remembered.  */
unsigned int gp_pressure_place (gp_pressure_t *pressure, const char *image);

/* The weight of the images at PLACE on SERVING.  */
double gp_pressure_weight (const gp_pressure_t *pressure, const char *serving,
                           unsigned int place);
/* Set it to what another has learned, which goes on being learned.  */
void gp_pressure_set (gp_pressure_t *pressure, const char *serving,
                      unsigned int place, double weight);

/* The sum of weight times WORK.  */
double gp_pressure_sum (const gp_pressure_t *pressure, const char *serving,
                        const gp_pressure_work_t *work);

/* Learn that between two measurements the logarithm of a run of SERVING rose
   by LOG_CHANGE while the work beside it changed by CHANGE.  */
void gp_pressure_learn (gp_pressure_t *pressure, const char *serving,
                        const gp_pressure_work_t *change, double log_change);

/* Move *BASELINE, NAN before the first measurement, of a run of SERVING that
   had LOG_RATIO beside WORK.  */
void gp_pressure_follow (const gp_pressure_t *pressure, const char *serving,
                         const gp_pressure_work_t *work, double log_ratio,
                         double *baseline);

#endif

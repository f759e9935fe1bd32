/* How much filling runs press the runs that serve beside them, learned
   online.

   A serving run has a headroom (jobs/headroom.h) by its own load, of which
   each filling run beside it takes a weight.  The weight belongs to the pair
   of images: about two thirds of the pairs are harmless, the others weigh
   around one.  A filling run presses only in its busy phases, in which it uses
   all processors that it may; in the others it uses two thirds of them and
   presses next to nothing.

   The same weights hold at all loads: a busy run takes as much of a headroom
   of 2 as of one of 3.5, where the logarithm of the latency rises by other
   amounts.  */

#ifndef GP_JOBS_PRESSURE_H
#define GP_JOBS_PRESSURE_H

#include <glib.h>

#include "jobs/headroom.h"

/* Images of filling runs that are told apart; further ones share places.  */
#define GP_PRESSURE_IMAGES 32

/* The weight of a pair of which nothing is known: a third of 0.9.  */
#define GP_PRESSURE_PRIOR 0.3

/* The most that a weight can be, in thousandths: one run that takes a hundred
   times the headroom that a run has at its target.  Those known stay below
   two.  */
#define GP_PRESSURE_MAX_PERMILLE 100000

/* The share of time for which a filling run is busy.  */
#define GP_PRESSURE_BUSY_SHARE 0.6

/* Busy work that filling runs do, by the place of their image; 1 is one busy
   run at full speed.  */
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

/* The headroom that WORK takes from a run of SERVING: the sum of weight times
   work.  */
double gp_pressure_sum (const gp_pressure_t *pressure, const char *serving,
                        const gp_pressure_work_t *work);

/* Take in that a run of SERVING had HEADROOM beside WORK at NOW.  LOAD, the
   track of what all runs of its step would have without filling work, and the
   weights share the surprise by how sure they are.  */
void gp_pressure_learn (gp_pressure_t *pressure, const char *serving,
                        const gp_pressure_work_t *work, double headroom,
                        gp_headroom_t *load, gp_time_t now);

#endif

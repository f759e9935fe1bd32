/* Learns online how much filling runs slow down serving runs on the same
   executor.

   A serving run is one with a target for its tail latency.  It has a headroom
   (jobs/headroom.h) determined by its own load.  Each filling run on its
   executor reduces that headroom by a weight, which depends on the pair of
   images: about two thirds of the pairs are harmless, the others have weights
   around one.  A filling run interferes only in its busy phases, in which it
   uses all processors it may; in the other phases it uses two thirds of them
   and has next to no effect.

   The same weights hold at all loads: a busy run takes as much of a headroom
   of 2 as of one of 3.5, whereas the logarithm of the latency rises by
   different amounts.

   Where each build of a program is an image of its own, new ones come without
   end.  So the numbers of images are bounded, and the least recently used ones
   are forgotten.  */

#ifndef GP_JOBS_PRESSURE_H
#define GP_JOBS_PRESSURE_H

#include <glib.h>

#include "base/lru.h"
#include "jobs.pb-c.h"
#include "jobs/headroom.h"

/* Number of images of filling runs that are distinguished; further ones share
   indices.  */
#define GP_PRESSURE_IMAGES 32

/* Maximum numbers of images of filling and of serving runs that are known.  A
   model of a serving image takes 9 KB.  */
#define GP_PRESSURE_FILLINGS_MAX 128
#define GP_PRESSURE_SERVINGS_MAX 256

/* The weight of a pair without data: a third of 0.9.  */
#define GP_PRESSURE_PRIOR 0.3

/* Maximum weight, in thousandths: one run that takes a hundred times the
   headroom that a run has at its target.  Known weights are below two.  */
#define GP_PRESSURE_MAX_PERMILLE 100000

/* The share of time for which a filling run is busy.  */
#define GP_PRESSURE_BUSY_SHARE 0.6

/* Busy work of filling runs, by the index of their image; 1 is one busy run at
   full speed.  */
typedef struct
{
  double work[GP_PRESSURE_IMAGES];
} gp_pressure_work_t;

typedef struct
{
  gp_lru_t fillings;       /* images of filling runs, with their indices */
  gp_lru_t models;         /* images of serving runs, with their weights */
  uint64_t fillings_added; /* number of images ever added to FILLINGS */
} gp_pressure_t;

void gp_pressure_init (gp_pressure_t *pressure);
void gp_pressure_finish (gp_pressure_t *pressure);

/* Returns the index of IMAGE, which is used now, assigning one if needed.  */
unsigned int gp_pressure_image_index (gp_pressure_t *pressure,
                                      const char *image);
/* Returns the index of IMAGE or, if it has none and assigning one would make
   another image be forgotten, -1.  This does not count as a use.  */
int gp_pressure_spare_index (gp_pressure_t *pressure, const char *image);
/* Returns the index of IMAGE, or -1 if it has none.  */
int gp_pressure_find_index (const gp_pressure_t *pressure, const char *image);

/* Returns the weight of the filling images at INDEX on SERVING.  */
double gp_pressure_weight (const gp_pressure_t *pressure, const char *serving,
                           unsigned int index);
/* Sets the weight to one learned by another process; learning continues from
   there.  */
void gp_pressure_set (gp_pressure_t *pressure, const char *serving,
                      unsigned int index, double weight);

/* Returns the headroom that WORK takes from a run of SERVING: the sum of
   weight times work.  */
double gp_pressure_sum (const gp_pressure_t *pressure, const char *serving,
                        const gp_pressure_work_t *work);

/* Learns that a run of SERVING had HEADROOM at NOW, with WORK by filling runs
   on its executor.  LOAD is the track of the headroom that runs of its step
   would have without filling work.  The prediction error is divided between
   LOAD and the weights according to their uncertainty.  */
void gp_pressure_learn (gp_pressure_t *pressure, const char *serving,
                        const gp_pressure_work_t *work, double headroom,
                        gp_headroom_t *load, gp_time_t now);

/* Appends the weights to ROWS, as rows of Gp__Jobs__Pressure that point into
   PRESSURE, those of the most recently used filling images first, while they
   take at most MAX_SIZE bytes in a message.  */
void gp_pressure_pack (const gp_pressure_t *pressure, size_t max_size,
                       GArray *rows);

#endif

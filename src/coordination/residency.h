/* Which kinds of tasks were on one worker, and when.

   Measurements arrive late: one that ended AGE ago over a SPAN speaks of the
   tasks that were on the worker then.  A ring of the last changes lets the
   present counts be rolled back.  Counts are in quarters of a task, since a
   throttled task weighs less than a whole one.  */

#ifndef GP_COORDINATION_RESIDENCY_H
#define GP_COORDINATION_RESIDENCY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

#define GP_RESIDENCY_KINDS 64 /* kinds from the last on share one place */
#define GP_RESIDENCY_WHOLE 4  /* quarters of an unhindered task */
#define GP_RESIDENCY_THROTTLED 1
#define GP_RESIDENCY_CHANGES 64 /* remembered */

typedef struct
{
  gp_time_t time;
  uint16_t kind;
  int16_t quarters;
} gp_residency_change_t;

typedef struct
{
  gp_residency_change_t changes[GP_RESIDENCY_CHANGES];
  uint32_t n_changes; /* in all; the ring keeps the last ones */
  gp_time_t since;    /* the ring is complete after this point */
  int32_t quarters[GP_RESIDENCY_KINDS]; /* at present */
} gp_residency_t;

/* The place of KIND among those that are told apart.  */
static inline uint16_t
gp_residency_place (uint16_t kind)
{
  return kind < GP_RESIDENCY_KINDS - 1 ? kind : GP_RESIDENCY_KINDS - 1;
}

/* Begin with an empty worker at NOW.  */
void gp_residency_init (gp_residency_t *residency, gp_time_t now);

/* At NOW the weight of KIND changed by QUARTERS.  NOW never falls.  */
void gp_residency_change (gp_residency_t *residency, uint16_t kind,
                          int quarters, gp_time_t now);

/* Store the mean number of tasks of each kind between FROM and TO, with
   FROM < TO, into MEAN; return false when the ring does not reach back to
   FROM.  */
bool gp_residency_mean (const gp_residency_t *residency, gp_time_t from,
                        gp_time_t to, double mean[GP_RESIDENCY_KINDS]);

#endif

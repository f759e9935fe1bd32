/* History of the kinds of tasks on one worker.

   Measurements arrive late and describe the tasks that were on the worker
   during the measured interval.  A ring buffer of the latest changes
   allows the present counts to be rolled back.  Counts are in quarters of
   a task, since a throttled task has less weight than a full one.  */

#ifndef GP_COORDINATION_RESIDENCY_H
#define GP_COORDINATION_RESIDENCY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

#define GP_RESIDENCY_KINDS 64 /* further kinds share the last slot */

/* Weights of a task, in quarters of an unthrottled task.  */
#define GP_RESIDENCY_UNTHROTTLED 4
#define GP_RESIDENCY_THROTTLED 1

#define GP_RESIDENCY_CHANGES 64 /* capacity of the ring buffer */

typedef struct
{
  gp_time_t time;
  uint16_t kind;
  int16_t quarters;
} gp_residency_change_t;

typedef struct
{
  gp_residency_change_t changes[GP_RESIDENCY_CHANGES];
  uint32_t n_changes; /* total number; the ring buffer keeps the latest */
  gp_time_t since;    /* the ring buffer is complete after this time */
  int32_t quarters[GP_RESIDENCY_KINDS]; /* present weight by kind */
} gp_residency_t;

/* Returns the slot of KIND.  */
static inline uint16_t
gp_residency_slot (uint16_t kind)
{
  return kind < GP_RESIDENCY_KINDS - 1 ? kind : GP_RESIDENCY_KINDS - 1;
}

/* Initializes the history with an empty worker at NOW.  */
void gp_residency_init (gp_residency_t *residency, gp_time_t now);

/* Records that the weight of KIND changed by QUARTERS at NOW, which must
   not decrease.  */
void gp_residency_change (gp_residency_t *residency, uint16_t kind,
                          int quarters, gp_time_t now);

/* Stores in MEAN the mean number of tasks of each kind between FROM and
   TO, with FROM < TO.  Returns false if the history does not reach back to
   FROM.  */
bool gp_residency_mean (const gp_residency_t *residency, gp_time_t from,
                        gp_time_t to, double mean[GP_RESIDENCY_KINDS]);

#endif

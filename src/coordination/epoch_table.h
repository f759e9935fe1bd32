/* Epochs that a guard knows of: which run, which ended or were refused.

   The guard answers every Start once and for all.  An epoch that it refused
   or saw end is never started again, however late a copy of the message
   comes.  Only the highest such epoch of a task is kept: epoch n is granted
   only after all lower ones have ended.  Epochs count from 1.

   The table is bounded.  An ended epoch may be forgotten only when no Start
   for it can be accepted any more, which no timer can tell.  So nothing is
   forgotten within an incarnation: when the table is full, the guard takes a
   new incarnation and adopts its own running tasks (gp_epoch_table_restart),
   and every Start addressed to the old one is refused by that.  */

#ifndef GP_COORDINATION_EPOCH_TABLE_H
#define GP_COORDINATION_EPOCH_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  GP_EPOCH_NEW,     /* not known: it may start */
  GP_EPOCH_RUNNING, /* this very epoch runs: acknowledge again */
  GP_EPOCH_ENDED,   /* it ended, was refused, or is older than one that did */
  GP_EPOCH_BUSY     /* an older epoch of the task still runs here */
} gp_epoch_status_t;

typedef struct
{
  GHashTable *tasks; /* task id -> epoch and whether it runs */
  unsigned max_tasks;
  unsigned running;
} gp_epoch_table_t;

void gp_epoch_table_init (gp_epoch_table_t *table, unsigned max_tasks);
void gp_epoch_table_finish (gp_epoch_table_t *table);

/* What is known of EPOCH of TASK.  */
gp_epoch_status_t gp_epoch_table_status (const gp_epoch_table_t *table,
                                         uint64_t task, uint64_t epoch);

/* EPOCH of TASK now runs here (accepted or adopted).  */
void gp_epoch_table_set_running (gp_epoch_table_t *table, uint64_t task,
                                 uint64_t epoch);

/* EPOCH of TASK ended here or was refused.  */
void gp_epoch_table_set_ended (gp_epoch_table_t *table, uint64_t task,
                               uint64_t epoch);

/* No further task fits: the guard should take a new incarnation.  */
bool gp_epoch_table_full (const gp_epoch_table_t *table);

/* A new incarnation begins: forget the ended epochs, keep those that run.  */
void gp_epoch_table_restart (gp_epoch_table_t *table);

/* Every task was killed: all known epochs have ended.  */
void gp_epoch_table_end_all (gp_epoch_table_t *table);

#endif

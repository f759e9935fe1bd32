/* The task epochs known to a guard: which are running, and which have
   ended or were refused.

   The guard's answer to a Start is final.  An epoch that it refused or saw
   end is never started again, however late a duplicate of the message
   arrives.  Only the highest such epoch of a task is kept, because epoch n
   is granted only after all lower ones have ended.  Epochs count from 1.

   The table is bounded.  An ended epoch may be removed only when no
   Start for it can be accepted any more, which no timeout can guarantee.
   Entries are therefore never dropped within an incarnation.  When the
   table is full, the guard takes a new incarnation and adopts its own
   running tasks (gp_epoch_table_restart); every Start addressed to the old
   incarnation is then refused.  */

#ifndef GP_COORDINATION_EPOCH_TABLE_H
#define GP_COORDINATION_EPOCH_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  GP_EPOCH_NEW,     /* not known; it may start */
  GP_EPOCH_RUNNING, /* this epoch is running; acknowledge again */
  GP_EPOCH_ENDED, /* it ended, was refused, or is older than one that ended */
  GP_EPOCH_BUSY   /* an older epoch of the task is still running */
} gp_epoch_status_t;

typedef struct
{
  GHashTable *tasks; /* task id -> its running and highest ended epoch */
  unsigned max_tasks;
  unsigned running;
} gp_epoch_table_t;

void gp_epoch_table_init (gp_epoch_table_t *table, unsigned max_tasks);
void gp_epoch_table_finish (gp_epoch_table_t *table);

/* Returns the status of EPOCH of TASK.  */
gp_epoch_status_t gp_epoch_table_status (const gp_epoch_table_t *table,
                                         uint64_t task, uint64_t epoch);

/* Records that EPOCH of TASK is running (accepted or adopted).  */
void gp_epoch_table_set_running (gp_epoch_table_t *table, uint64_t task,
                                 uint64_t epoch);

/* Records that EPOCH of TASK ended or was refused.  */
void gp_epoch_table_set_ended (gp_epoch_table_t *table, uint64_t task,
                               uint64_t epoch);

/* Returns true if the table is full and the guard should take a new
   incarnation.  */
bool gp_epoch_table_full (const gp_epoch_table_t *table);

/* Starts a new incarnation: drops the ended epochs and keeps the running
   ones.  */
void gp_epoch_table_restart (gp_epoch_table_t *table);

/* Marks all running epochs as ended, after every task was killed.  */
void gp_epoch_table_end_all (gp_epoch_table_t *table);

#endif

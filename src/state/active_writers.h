/* Counts the processes that currently write to a stream.

   The count is derived from the batches that the fold has applied: a writer
   is active for GP_ACTIVE_WRITERS_WINDOW after a new batch of it was first
   seen.  The window is measured on this process's clock, so wrong clocks of
   writers do not matter.  */

#ifndef GP_STATE_ACTIVE_WRITERS_H
#define GP_STATE_ACTIVE_WRITERS_H

#include <glib.h>
#include <stdint.h>

#include "base/time.h"
#include "state/fold.h"

/* A writer without a new batch for this long is not counted.  */
#define GP_ACTIVE_WRITERS_WINDOW (2 * GP_SEC)

typedef struct
{
  GHashTable *seen; /* writer name -> its newest batch */
} gp_active_writers_t;

void gp_active_writers_init (gp_active_writers_t *active);
void gp_active_writers_finish (gp_active_writers_t *active);

/* Register the batches that FOLD has applied since the last call and return
   the number of active writers.  */
uint32_t gp_active_writers_update (gp_active_writers_t *active,
                                   const gp_fold_t *fold, gp_time_t now);

#endif

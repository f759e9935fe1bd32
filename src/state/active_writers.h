/* How many processes write to a stream now.

   Counted from the batches that the fold has applied: a writer is active
   while its newest batch was first seen a short while ago.  By the own
   clock, so that wrong clocks of writers do not matter.  */

#ifndef GP_STATE_ACTIVE_WRITERS_H
#define GP_STATE_ACTIVE_WRITERS_H

#include <glib.h>
#include <stdint.h>

#include "base/time.h"
#include "state/fold.h"

/* A writer that has been silent for so long is not counted.  */
#define GP_ACTIVE_WRITERS_WINDOW (2 * GP_SEC)

typedef struct
{
  GHashTable *seen; /* name -> the newest batch, while active */
} gp_active_writers_t;

void gp_active_writers_init (gp_active_writers_t *active);
void gp_active_writers_finish (gp_active_writers_t *active);

/* Take what FOLD has applied since the last call; the count.  */
uint32_t gp_active_writers_update (gp_active_writers_t *active,
                                   const gp_fold_t *fold, gp_time_t now);

#endif

/* Jobs for which an answer has left open whether a record is on the log.

   The answer that a job never runs is true only for a job that is not among
   them.  Their number is bounded; when more are added, all are forgotten, and
   for GP_OPEN_OUTCOMES_REPEAT_TIME every job counts as one of them.

   Pure: ids and the time in.  */

#ifndef GP_JOBS_OPEN_OUTCOMES_H
#define GP_JOBS_OPEN_OUTCOMES_H

#include <glib.h>
#include <stdbool.h>

#include "base/time.h"

/* Maximum number of jobs; an outage leaves a few hundred.  */
#define GP_OPEN_OUTCOMES_MAX 10000

/* Time within which callers repeat a request whose outcome is open.  */
#define GP_OPEN_OUTCOMES_REPEAT_TIME (60 * GP_SEC)

typedef struct
{
  GHashTable *ids;           /* owned */
  gp_time_t forgotten_until; /* any job may be one of them until then */
} gp_open_outcomes_t;

void gp_open_outcomes_init (gp_open_outcomes_t *outcomes);
void gp_open_outcomes_finish (gp_open_outcomes_t *outcomes);

/* An answer at NOW leaves the outcome for the job ID open.  */
void gp_open_outcomes_add (gp_open_outcomes_t *outcomes, const char *id,
                           gp_time_t now);

/* Returns whether an outcome for the job ID may be open at NOW.  */
bool gp_open_outcomes_may_contain (const gp_open_outcomes_t *outcomes,
                                   const char *id, gp_time_t now);

#endif

/* The names of filling images that a leader sends to its guards.

   A guard is sent each name once on a connection, and weights refer to names
   by their position in the list.  New images may come without end, see
   jobs/pressure.h.  Names of forgotten images remain in the list until it has
   GP_FILLING_NAMES_MAX entries; then it starts anew with the images that are
   known.  So its size is bounded, and each name is sent twice on average.

   Pure.  */

#ifndef GP_JOBS_FILLING_NAMES_H
#define GP_JOBS_FILLING_NAMES_H

#include "jobs.pb-c.h"
#include "jobs/pressure.h"

#define GP_FILLING_NAMES_MAX (2 * GP_PRESSURE_FILLINGS_MAX)

typedef struct
{
  GPtrArray *names;  /* owned */
  uint64_t restarts; /* how often the list has started anew */
  uint64_t added;    /* images that the model had ever added at the last
                        update */
} gp_filling_names_t;

/* What a guard has been sent on its connection; zero: nothing.  */
typedef struct
{
  uint64_t restarts; /* of the list that was sent */
  guint count;       /* number of names sent */
} gp_filling_cursor_t;

void gp_filling_names_init (gp_filling_names_t *names);
void gp_filling_names_finish (gp_filling_names_t *names);

/* Adds the images that PRESSURE has learned of since the last update.  */
void gp_filling_names_update (gp_filling_names_t *names,
                              const gp_pressure_t *pressure);

/* Adds the names to MESSAGE that the guard at CURSOR has not been sent, and
   advances CURSOR.  MESSAGE points into NAMES, until the next update.  */
void gp_filling_names_add_news (const gp_filling_names_t *names,
                                gp_filling_cursor_t *cursor,
                                Gp__Jobs__Acknowledge *message);

#endif

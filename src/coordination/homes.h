/* Home entries of a guard.

   A guard heartbeats to two entries of its region only.  They are chosen by
   rendezvous hashing, so that every process that knows the same entries
   names the same homes, and a lost entry moves only the guards that it was
   home to.  The first home is in the guard's own availability zone, the
   second in another, so that neither an entry nor a zone takes both.  */

#ifndef GP_COORDINATION_HOMES_H
#define GP_COORDINATION_HOMES_H

#include <stddef.h>

#include "base/time.h"

#define GP_HOMES_MAX 2

/* An entry as the settings name it.  */
typedef struct
{
  const char *name;
  const char *region;
  const char *zone;
} gp_home_t;

/* Write to CHOSEN the indexes in ENTRIES of the homes of GUARD, best first,
   and return how many there are: fewer than GP_HOMES_MAX only if REGION has
   fewer entries.  */
size_t gp_homes_choose (const char *guard, const char *region,
                        const char *zone, const gp_home_t *entries,
                        size_t n_entries, size_t chosen[GP_HOMES_MAX]);

/* The heartbeat interval that keeps an entry's share of the heartbeats of
   N_GUARDS within BUDGET bytes a second, never under GP_HOMES_MIN_INTERVAL.
   EXCHANGE is the size of a heartbeat with its reply in bytes.  */
gp_time_t gp_homes_interval (size_t n_guards, size_t n_entries,
                             size_t exchange, size_t budget);

#define GP_HOMES_MIN_INTERVAL (2 * GP_SEC)

#endif

/* Selection of a guard's home entries.

   A guard sends heartbeats to only two entries of its region.  They are
   chosen by rendezvous hashing, so that every process that knows the same
   entries computes the same homes, and losing an entry moves only the
   guards that had it as a home.  The first home is in the guard's own
   availability zone and the second in another, so that losing one entry or
   one zone does not take both.  */

#ifndef GP_COORDINATION_HOMES_H
#define GP_COORDINATION_HOMES_H

#include <stddef.h>

#include "base/time.h"

#define GP_HOMES_MAX 2

/* An entry as configured in the settings.  */
typedef struct
{
  const char *name;
  const char *region;
  const char *zone;
} gp_home_t;

/* Stores in CHOSEN the indexes in ENTRIES of the homes of GUARD, best
   first, and returns their number, which is less than GP_HOMES_MAX only if
   REGION has fewer entries.  */
size_t gp_homes_choose (const char *guard, const char *region,
                        const char *zone, const gp_home_t *entries,
                        size_t n_entries, size_t chosen[GP_HOMES_MAX]);

/* Returns the heartbeat interval at which each entry's share of the
   heartbeats of N_GUARDS uses at most BUDGET bytes per second; at least
   GP_HOMES_MIN_INTERVAL.  EXCHANGE is the size in bytes of a heartbeat and
   its reply.  */
gp_time_t gp_homes_interval (size_t n_guards, size_t n_entries,
                             size_t exchange, size_t budget);

#define GP_HOMES_MIN_INTERVAL (2 * GP_SEC)

#endif

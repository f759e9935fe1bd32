#include "coordination/homes.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "coordination/rendezvous.h"

#define NONE SIZE_MAX

/* The highest ranked entry of REGION, other than EXCEPT, that is in ZONE
   if SAME_ZONE is set and in another zone if not.  */
static size_t
best_entry (const char *guard, const char *region, const char *zone,
            bool same_zone, const gp_home_t *entries, size_t n_entries,
            size_t except)
{
  size_t best = NONE;
  uint64_t best_rank = 0;

  for (size_t i = 0; i < n_entries; i++)
    {
      uint64_t r;

      if (i == except || strcmp (entries[i].region, region) != 0)
        continue;
      if ((strcmp (entries[i].zone, zone) == 0) != same_zone)
        continue;
      r = gp_rendezvous_rank (guard, entries[i].name);
      if (best != NONE && r <= best_rank)
        continue;
      best = i;
      best_rank = r;
    }
  return best;
}

size_t
gp_homes_choose (const char *guard, const char *region, const char *zone,
                 const gp_home_t *entries, size_t n_entries,
                 size_t chosen[GP_HOMES_MAX])
{
  size_t n = 0;
  bool same_zone = true;
  size_t except = NONE;

  /* The guard's own zone, then another one.  Repeating both covers a
     region whose entries are all in one zone or all in other zones.  */
  for (int round = 0; round < 2 * GP_HOMES_MAX && n < GP_HOMES_MAX; round++)
    {
      size_t best = best_entry (guard, region, zone, same_zone, entries,
                                n_entries, except);

      same_zone = !same_zone;
      if (best == NONE)
        continue;
      chosen[n++] = best;
      except = best;
    }
  return n;
}

gp_time_t
gp_homes_interval (size_t n_guards, size_t n_entries, size_t exchange,
                   size_t budget)
{
  gp_time_t bytes = (gp_time_t)(n_guards * GP_HOMES_MAX * exchange);
  gp_time_t interval = bytes * GP_SEC / (gp_time_t)(n_entries * budget);

  return interval < GP_HOMES_MIN_INTERVAL ? GP_HOMES_MIN_INTERVAL : interval;
}

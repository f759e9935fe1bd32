/* Distribution of the tasks of a group over racks and zones.

   A group consists of tasks that should not fail together, such as those
   of one kind and team.  Counts are dense arrays, four bytes per rack and
   zone of a group, which grow as larger indexes are used.  */

#ifndef GP_COORDINATION_SPREAD_H
#define GP_COORDINATION_SPREAD_H

#include <glib.h>
#include <stdint.h>

typedef struct
{
  GPtrArray *groups; /* gp_spread_group_t by group */
} gp_spread_t;

void gp_spread_init (gp_spread_t *spread);
void gp_spread_finish (gp_spread_t *spread);

/* Adds AMOUNT tasks of GROUP, which may be negative, in RACK and ZONE.  */
void gp_spread_add (gp_spread_t *spread, uint32_t group, uint32_t rack,
                    uint32_t zone, int amount);

/* Return the fraction of the tasks of GROUP in RACK or in ZONE; zero for a
   group without tasks.  */
double gp_spread_rack_fraction (const gp_spread_t *spread, uint32_t group,
                                uint32_t rack);
double gp_spread_zone_fraction (const gp_spread_t *spread, uint32_t group,
                                uint32_t zone);

#endif

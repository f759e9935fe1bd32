/* How the tasks of a group are spread over racks and zones.

   A group is what must not fall together, such as the tasks of one kind and
   team.  Counts are dense rows, four bytes for each rack and zone of a group,
   grown as numbers appear.  */

#ifndef GP_COORDINATION_SPREAD_H
#define GP_COORDINATION_SPREAD_H

#include <glib.h>
#include <stdint.h>

typedef struct
{
  GPtrArray *groups; /* of gp_spread_group_t */
} gp_spread_t;

void gp_spread_init (gp_spread_t *spread);
void gp_spread_finish (gp_spread_t *spread);

/* Add AMOUNT, which may be negative, tasks of GROUP in RACK and ZONE.  */
void gp_spread_add (gp_spread_t *spread, uint32_t group, uint32_t rack,
                    uint32_t zone, int amount);

/* The part of the tasks of GROUP that are in RACK, or in ZONE; zero for a
   group without tasks.  */
double gp_spread_in_rack (const gp_spread_t *spread, uint32_t group,
                          uint32_t rack);
double gp_spread_in_zone (const gp_spread_t *spread, uint32_t group,
                          uint32_t zone);

#endif

/* Counts of a group's tasks by rack and zone.  */

#include "coordination/spread.h"

typedef struct
{
  GArray *racks; /* uint32_t by rack */
  GArray *zones; /* uint32_t by zone */
  uint32_t total;
} gp_spread_group_t;

static void
group_free (gpointer data)
{
  gp_spread_group_t *group = data;

  if (group == NULL)
    return;
  g_array_free (group->racks, TRUE);
  g_array_free (group->zones, TRUE);
  g_free (group);
}

static gp_spread_group_t *
group_new (void)
{
  gp_spread_group_t *group = g_new0 (gp_spread_group_t, 1);

  group->racks = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  group->zones = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  return group;
}

void
gp_spread_init (gp_spread_t *spread)
{
  spread->groups = g_ptr_array_new_with_free_func (group_free);
}

void
gp_spread_finish (gp_spread_t *spread)
{
  g_ptr_array_free (spread->groups, TRUE);
}

static gp_spread_group_t *
find_group (const gp_spread_t *spread, uint32_t group)
{
  if (group >= spread->groups->len)
    return NULL;
  return g_ptr_array_index (spread->groups, group);
}

static void
add_at (GArray *counts, uint32_t index, int amount)
{
  if (index >= counts->len)
    g_array_set_size (counts, index + 1);
  g_array_index (counts, uint32_t, index) += (uint32_t)amount;
}

void
gp_spread_add (gp_spread_t *spread, uint32_t group, uint32_t rack,
               uint32_t zone, int amount)
{
  if (group >= spread->groups->len)
    g_ptr_array_set_size (spread->groups, (gint)group + 1);
  if (find_group (spread, group) == NULL)
    spread->groups->pdata[group] = group_new ();
  add_at (find_group (spread, group)->racks, rack, amount);
  add_at (find_group (spread, group)->zones, zone, amount);
  find_group (spread, group)->total += (uint32_t)amount;
}

static double
fraction_at (const GArray *counts, uint32_t index, uint32_t total)
{
  if (index >= counts->len || total == 0)
    return 0.0;
  return (double)g_array_index (counts, uint32_t, index) / total;
}

double
gp_spread_rack_fraction (const gp_spread_t *spread, uint32_t group,
                         uint32_t rack)
{
  const gp_spread_group_t *found = find_group (spread, group);

  return found == NULL ? 0.0 : fraction_at (found->racks, rack, found->total);
}

double
gp_spread_zone_fraction (const gp_spread_t *spread, uint32_t group,
                         uint32_t zone)
{
  const gp_spread_group_t *found = find_group (spread, group);

  return found == NULL ? 0.0 : fraction_at (found->zones, zone, found->total);
}

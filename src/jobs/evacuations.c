/* The availability zones that operators have evacuated.  */

#include "jobs/evacuations.h"

/* A zone that was evacuated at least once while this process ran.  */
typedef struct
{
  uint64_t offset; /* of the newest known record */
  bool evacuated;
  bool delivered; /* delivered by the load in progress or the last one */
} zone_t;

void
gp_evacuations_init (gp_evacuations_t *evacuations)
{
  evacuations->zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gp_evacuations_finish (gp_evacuations_t *evacuations)
{
  g_hash_table_destroy (evacuations->zones);
}

static bool
set_evacuated (zone_t *zone, bool evacuated)
{
  bool changed = zone->evacuated != evacuated;

  zone->evacuated = evacuated;
  return changed;
}

static zone_t *
add_zone (gp_evacuations_t *evacuations, const char *name)
{
  zone_t *zone = g_hash_table_lookup (evacuations->zones, name);

  if (zone == NULL)
    {
      zone = g_new0 (zone_t, 1);
      g_hash_table_insert (evacuations->zones, g_strdup (name), zone);
    }
  return zone;
}

bool
gp_evacuations_put (gp_evacuations_t *evacuations, const char *zone,
                    uint64_t offset)
{
  zone_t *known = add_zone (evacuations, zone);

  if (offset < known->offset)
    return false;
  known->offset = offset;
  known->delivered = true;
  return set_evacuated (known, true);
}

bool
gp_evacuations_revoke (gp_evacuations_t *evacuations, const char *zone,
                       uint64_t offset)
{
  zone_t *known = g_hash_table_lookup (evacuations->zones, zone);

  if (known == NULL || offset < known->offset)
    return false;
  known->offset = offset;
  return set_evacuated (known, false);
}

void
gp_evacuations_begin_load (gp_evacuations_t *evacuations)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, evacuations->zones);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((zone_t *)value)->delivered = false;
}

void
gp_evacuations_end_load (gp_evacuations_t *evacuations, GPtrArray *changed)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, evacuations->zones);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      zone_t *zone = value;

      if (!zone->delivered && set_evacuated (zone, false))
        g_ptr_array_add (changed, g_strdup (key));
    }
}

bool
gp_evacuations_has (const gp_evacuations_t *evacuations, const char *zone)
{
  const zone_t *known = g_hash_table_lookup (evacuations->zones, zone);

  return known != NULL && known->evacuated;
}

unsigned
gp_evacuations_count (const gp_evacuations_t *evacuations)
{
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, evacuations->zones);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const zone_t *)value)->evacuated;
  return count;
}

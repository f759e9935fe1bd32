/* Which entries are standbys.  */

#include "jobs/standbys.h"

#include <string.h>
#include <xxhash.h>

void
gp_standbys_init (gp_standbys_t *standbys, const char *node,
                  gp_candidacy_capacity_t capacity, unsigned limit)
{
  *standbys = (gp_standbys_t){ .limit = limit,
                               .node = node,
                               .capacity = capacity,
                               .others = g_hash_table_new_full (
                                   g_str_hash, g_str_equal, g_free, g_free) };
}

void
gp_standbys_finish (gp_standbys_t *standbys)
{
  g_hash_table_destroy (standbys->others);
}

/* Returns whether the entry on NODE with CAPACITY precedes this one.  */
static bool
precedes (const gp_standbys_t *standbys, const char *node,
          const gp_candidacy_capacity_t *capacity)
{
  const gp_candidacy_capacity_t *own = &standbys->capacity;
  XXH64_hash_t hash = XXH3_64bits (node, strlen (node));
  XXH64_hash_t own_hash
      = XXH3_64bits (standbys->node, strlen (standbys->node));

  if (capacity->cpu_milli != own->cpu_milli)
    return capacity->cpu_milli > own->cpu_milli;
  if (capacity->link_kbps != own->link_kbps)
    return capacity->link_kbps > own->link_kbps;
  if (hash != own_hash)
    return hash < own_hash;
  return strcmp (node, standbys->node) < 0;
}

void
gp_standbys_entry_announced (gp_standbys_t *standbys, const char *node,
                             gp_candidacy_capacity_t capacity)
{
  gp_candidacy_capacity_t *known
      = g_hash_table_lookup (standbys->others, node);

  if (known != NULL)
    standbys->preceding -= precedes (standbys, node, known);
  else
    {
      known = g_new (gp_candidacy_capacity_t, 1);
      g_hash_table_insert (standbys->others, g_strdup (node), known);
    }
  *known = capacity;
  standbys->preceding += precedes (standbys, node, known);
}

bool
gp_standbys_is_standby (const gp_standbys_t *standbys)
{
  return standbys->limit == 0 || standbys->preceding < standbys->limit;
}

bool
gp_standbys_are_ordered (const gp_standbys_t *standbys)
{
  return standbys->limit > 0
         && g_hash_table_size (standbys->others) >= standbys->limit;
}

gp_time_t
gp_standbys_claim_delay (const gp_standbys_t *standbys)
{
  if (!gp_standbys_are_ordered (standbys))
    return 0;
  return MIN (standbys->preceding, standbys->limit)
         * GP_STANDBYS_CLAIM_SPACING;
}

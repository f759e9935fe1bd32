#include "coordination/subset.h"

#include <stdint.h>
#include <string.h>

#include "coordination/rendezvous.h"

size_t
gp_subset_size (size_t n_entries, size_t n_executors)
{
  size_t share = n_entries;

  if (n_executors > 0)
    share = (GP_SUBSET_MIN_EXECUTORS * n_entries + n_executors - 1)
            / n_executors;
  if (share < GP_SUBSET_MIN_ENTRIES)
    share = GP_SUBSET_MIN_ENTRIES;
  return share < n_entries ? share : n_entries;
}

bool
gp_subset_contains (const char *executor, const gp_home_t *entries,
                    size_t n_entries, size_t self, size_t share)
{
  uint64_t own = gp_rendezvous_rank (executor, entries[self].name);
  size_t higher = 0;

  for (size_t i = 0; i < n_entries; i++)
    if (strcmp (entries[i].region, entries[self].region) == 0
        && strcmp (entries[i].zone, entries[self].zone) == 0
        && gp_rendezvous_rank (executor, entries[i].name) > own)
      higher++;
  return higher < share;
}

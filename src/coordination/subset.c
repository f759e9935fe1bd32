#include "coordination/subset.h"

#include <stdint.h>
#include <string.h>

#include "coordination/rendezvous.h"

size_t
gp_subset_size (size_t n_entries, size_t n_executors)
{
  size_t size = n_entries;

  if (n_executors > 0)
    size = (GP_SUBSET_MIN_EXECUTORS * n_entries + n_executors - 1)
           / n_executors;
  if (size < GP_SUBSET_MIN_ENTRIES)
    size = GP_SUBSET_MIN_ENTRIES;
  return size < n_entries ? size : n_entries;
}

bool
gp_subset_contains (const char *executor, const gp_home_t *entries,
                    size_t n_entries, size_t self, size_t size)
{
  uint64_t own = gp_rendezvous_rank (executor, entries[self].name);
  size_t higher = 0;

  for (size_t i = 0; i < n_entries; i++)
    if (strcmp (entries[i].region, entries[self].region) == 0
        && strcmp (entries[i].zone, entries[self].zone) == 0
        && gp_rendezvous_rank (executor, entries[i].name) > own)
      higher++;
  return higher < size;
}

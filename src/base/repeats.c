/* Sampling of repeated log lines by key.  */

#include "base/repeats.h"

#include <stdbool.h>

/* Occurrences are logged at the powers of this number, starting with 1.  */
#define LINE_FACTOR 10
/* Common key for all keys beyond the limit.  */
#define OTHERS "others"

void
gp_repeats_init (gp_repeats_t *repeats, guint most)
{
  repeats->counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  repeats->most = most;
}

void
gp_repeats_finish (gp_repeats_t *repeats)
{
  g_hash_table_destroy (repeats->counts);
}

/* Return the count of KEY, creating it if necessary.  */
static uint64_t *
count_of (gp_repeats_t *repeats, const char *key)
{
  uint64_t *count = g_hash_table_lookup (repeats->counts, key);

  if (count == NULL && g_hash_table_size (repeats->counts) >= repeats->most)
    {
      key = OTHERS;
      count = g_hash_table_lookup (repeats->counts, key);
    }
  if (count == NULL)
    {
      count = g_new0 (uint64_t, 1);
      g_hash_table_insert (repeats->counts, g_strdup (key), count);
    }
  return count;
}

static bool
is_power (uint64_t number)
{
  while (number % LINE_FACTOR == 0)
    number /= LINE_FACTOR;
  return number == 1;
}

uint64_t
gp_repeats_note (gp_repeats_t *repeats, const char *key)
{
  uint64_t count = ++*count_of (repeats, key);

  return is_power (count) ? count : 0;
}

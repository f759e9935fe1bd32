/* Sampling of repeated log lines by key.  */

#include "base/log_sampler.h"

#include <stdbool.h>

/* Occurrences are logged at the powers of this number, starting with 1.  */
#define SAMPLING_FACTOR 10
/* Common key for all keys beyond the limit.  */
#define OTHER_KEYS "others"

void
gp_log_sampler_init (gp_log_sampler_t *sampler, guint max_keys)
{
  sampler->counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  sampler->max_keys = max_keys;
}

void
gp_log_sampler_finish (gp_log_sampler_t *sampler)
{
  g_hash_table_destroy (sampler->counts);
}

/* Return the count of KEY, creating it if necessary.  */
static uint64_t *
find_count (gp_log_sampler_t *sampler, const char *key)
{
  uint64_t *count = g_hash_table_lookup (sampler->counts, key);

  if (count == NULL
      && g_hash_table_size (sampler->counts) >= sampler->max_keys)
    {
      key = OTHER_KEYS;
      count = g_hash_table_lookup (sampler->counts, key);
    }
  if (count == NULL)
    {
      count = g_new0 (uint64_t, 1);
      g_hash_table_insert (sampler->counts, g_strdup (key), count);
    }
  return count;
}

static bool
is_power_of_factor (uint64_t number)
{
  while (number % SAMPLING_FACTOR == 0)
    number /= SAMPLING_FACTOR;
  return number == 1;
}

uint64_t
gp_log_sampler_count (gp_log_sampler_t *sampler, const char *key)
{
  uint64_t count = ++*find_count (sampler, key);

  return is_power_of_factor (count) ? count : 0;
}

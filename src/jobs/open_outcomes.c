/* Jobs for which an answer has left open whether a record is on the log.  */

#include "jobs/open_outcomes.h"

void
gp_open_outcomes_init (gp_open_outcomes_t *outcomes)
{
  outcomes->ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  outcomes->forgotten_until = 0;
}

void
gp_open_outcomes_finish (gp_open_outcomes_t *outcomes)
{
  g_hash_table_destroy (outcomes->ids);
}

void
gp_open_outcomes_add (gp_open_outcomes_t *outcomes, const char *id,
                      gp_time_t now)
{
  if (g_hash_table_size (outcomes->ids) >= GP_OPEN_OUTCOMES_MAX)
    {
      g_hash_table_remove_all (outcomes->ids);
      outcomes->forgotten_until = now + GP_OPEN_OUTCOMES_REPEAT_TIME;
    }
  g_hash_table_add (outcomes->ids, g_strdup (id));
}

bool
gp_open_outcomes_may_contain (const gp_open_outcomes_t *outcomes,
                              const char *id, gp_time_t now)
{
  return now < outcomes->forgotten_until
         || g_hash_table_contains (outcomes->ids, id);
}

/* Distribution of job specifications from a leader to the guards.  */

#include "jobs/spec_distribution.h"

/* How long a sent specification counts as in transit: guards report missing
   specifications with each report, every 300 ms.  */
#define IN_TRANSIT_TIME (GP_SEC)

/* How a guard was sent the specification of a job.  */
typedef struct
{
  bool by_leader;
  gp_time_t at;
} delivery_t;

/* Distribution of the specification of one job.  */
typedef struct
{
  GHashTable *deliveries; /* name of a guard to delivery_t, both owned */
  char *holder;      /* last guard that got it from the leader, owned; NULL:
                        none */
  unsigned referred; /* number of guards referred to HOLDER */
} spec_state_t;

static void
free_state (gpointer data)
{
  spec_state_t *state = data;

  g_hash_table_destroy (state->deliveries);
  g_free (state->holder);
  g_free (state);
}

void
gp_spec_distribution_init (gp_spec_distribution_t *distribution)
{
  distribution->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_state);
}

void
gp_spec_distribution_finish (gp_spec_distribution_t *distribution)
{
  g_hash_table_destroy (distribution->jobs);
}

void
gp_spec_distribution_reset (gp_spec_distribution_t *distribution)
{
  g_hash_table_remove_all (distribution->jobs);
}

static spec_state_t *
find_or_add_job (gp_spec_distribution_t *distribution, const char *job)
{
  spec_state_t *state = g_hash_table_lookup (distribution->jobs, job);

  if (state != NULL)
    return state;
  state = g_new0 (spec_state_t, 1);
  state->deliveries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (distribution->jobs, g_strdup (job), state);
  return state;
}

static void
record_delivery (spec_state_t *state, const char *guard, bool by_leader,
                 gp_time_t now)
{
  delivery_t *delivery = g_new (delivery_t, 1);

  *delivery = (delivery_t){ .by_leader = by_leader, .at = now };
  g_hash_table_replace (state->deliveries, g_strdup (guard), delivery);
}

static void
assign_holder (spec_state_t *state, const char *guard, gp_time_t now)
{
  record_delivery (state, guard, true, now);
  g_free (state->holder);
  state->holder = g_strdup (guard);
  state->referred = 0;
}

gp_spec_source_t
gp_spec_distribution_source (gp_spec_distribution_t *distribution,
                             const char *job, const char *guard, gp_time_t now,
                             const char **holder)
{
  spec_state_t *state = find_or_add_job (distribution, job);

  if (g_hash_table_contains (state->deliveries, guard))
    return GP_SPEC_KNOWN;
  if (state->holder == NULL || state->referred >= GP_SPEC_DISTRIBUTION_FANOUT)
    {
      assign_holder (state, guard, now);
      return GP_SPEC_FROM_LEADER;
    }
  state->referred++;
  record_delivery (state, guard, false, now);
  *holder = state->holder;
  return GP_SPEC_FROM_HOLDER;
}

bool
gp_spec_distribution_is_missing (gp_spec_distribution_t *distribution,
                                 const char *job, const char *guard,
                                 gp_time_t now)
{
  spec_state_t *state = find_or_add_job (distribution, job);
  const delivery_t *delivery = g_hash_table_lookup (state->deliveries, guard);

  if (delivery != NULL && delivery->by_leader
      && now < delivery->at + IN_TRANSIT_TIME)
    return false;
  assign_holder (state, guard, now);
  return true;
}

void
gp_spec_distribution_remove_guard (gp_spec_distribution_t *distribution,
                                   const char *guard)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, distribution->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      spec_state_t *state = value;

      g_hash_table_remove (state->deliveries, guard);
      if (g_strcmp0 (state->holder, guard) == 0)
        g_clear_pointer (&state->holder, g_free);
    }
}

void
gp_spec_distribution_remove_job (gp_spec_distribution_t *distribution,
                                 const char *job)
{
  g_hash_table_remove (distribution->jobs, job);
}

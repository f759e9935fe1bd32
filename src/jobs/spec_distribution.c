/* Distribution of job specifications from a leader to the guards.  */

#include "jobs/spec_distribution.h"

/* How long a sent specification counts as under way: guards report missing
   specifications with each report, every 300 ms.  */
#define UNDER_WAY_TIME (GP_SEC)

/* How a guard was sent the specification of a job.  */
typedef struct
{
  bool by_leader;
  gp_time_t at;
} told_t;

/* Distribution of the specification of one job.  */
typedef struct
{
  GHashTable *told; /* name of a guard to told_t, both owned */
  char *holder;     /* last guard that got it from the leader, owned; NULL:
                       none */
  unsigned shared;  /* number of guards referred to HOLDER */
} row_t;

static void
free_row (gpointer data)
{
  row_t *row = data;

  g_hash_table_destroy (row->told);
  g_free (row->holder);
  g_free (row);
}

void
gp_spec_distribution_init (gp_spec_distribution_t *spread)
{
  spread->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_row);
}

void
gp_spec_distribution_finish (gp_spec_distribution_t *spread)
{
  g_hash_table_destroy (spread->jobs);
}

void
gp_spec_distribution_reset (gp_spec_distribution_t *spread)
{
  g_hash_table_remove_all (spread->jobs);
}

static row_t *
row_of (gp_spec_distribution_t *spread, const char *job)
{
  row_t *row = g_hash_table_lookup (spread->jobs, job);

  if (row != NULL)
    return row;
  row = g_new0 (row_t, 1);
  row->told = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (spread->jobs, g_strdup (job), row);
  return row;
}

static void
note_told (row_t *row, const char *guard, bool by_leader, gp_time_t now)
{
  told_t *told = g_new (told_t, 1);

  *told = (told_t){ .by_leader = by_leader, .at = now };
  g_hash_table_replace (row->told, g_strdup (guard), told);
}

static void
send_to (row_t *row, const char *guard, gp_time_t now)
{
  note_told (row, guard, true, now);
  g_free (row->holder);
  row->holder = g_strdup (guard);
  row->shared = 0;
}

gp_spec_source_t
gp_spec_distribution_source (gp_spec_distribution_t *spread, const char *job,
                             const char *guard, gp_time_t now,
                             const char **holder)
{
  row_t *row = row_of (spread, job);

  if (g_hash_table_contains (row->told, guard))
    return GP_SPEC_KNOWN;
  if (row->holder == NULL || row->shared >= GP_SPEC_DISTRIBUTION_FANOUT)
    {
      send_to (row, guard, now);
      return GP_SPEC_FROM_LEADER;
    }
  row->shared++;
  note_told (row, guard, false, now);
  *holder = row->holder;
  return GP_SPEC_FROM_HOLDER;
}

bool
gp_spec_distribution_is_missing (gp_spec_distribution_t *spread,
                                 const char *job, const char *guard,
                                 gp_time_t now)
{
  row_t *row = row_of (spread, job);
  const told_t *told = g_hash_table_lookup (row->told, guard);

  if (told != NULL && told->by_leader && now < told->at + UNDER_WAY_TIME)
    return false;
  send_to (row, guard, now);
  return true;
}

void
gp_spec_distribution_remove_guard (gp_spec_distribution_t *spread,
                                   const char *guard)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, spread->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      row_t *row = value;

      g_hash_table_remove (row->told, guard);
      if (g_strcmp0 (row->holder, guard) == 0)
        g_clear_pointer (&row->holder, g_free);
    }
}

void
gp_spec_distribution_remove_job (gp_spec_distribution_t *spread,
                                 const char *job)
{
  g_hash_table_remove (spread->jobs, job);
}

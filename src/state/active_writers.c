#include "state/active_writers.h"

typedef struct
{
  uint64_t incarnation;
  uint64_t sequence;
  gp_time_t seen_at;
} newest_batch_t;

void
gp_active_writers_init (gp_active_writers_t *active)
{
  active->seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gp_active_writers_finish (gp_active_writers_t *active)
{
  g_hash_table_unref (active->seen);
}

/* Record the newest batch of WRITER.  Returns false if it is already
   recorded.  */
static bool
record_batch (gp_active_writers_t *active, const gp_fold_writer_t *writer,
              gp_time_t now)
{
  newest_batch_t *seen = g_hash_table_lookup (active->seen, writer->name);

  if (seen == NULL)
    {
      seen = g_new0 (newest_batch_t, 1);
      g_hash_table_insert (active->seen, g_strdup (writer->name), seen);
    }
  else if (seen->incarnation == writer->incarnation
           && seen->sequence == writer->sequence)
    return false;
  *seen = (newest_batch_t){ writer->incarnation, writer->sequence, now };
  return true;
}

static gboolean
is_dropped (gpointer name, gpointer value, gpointer data)
{
  (void)value;
  return gp_fold_writer (data, name) == NULL;
}

static uint32_t
count_active (const gp_active_writers_t *active, gp_time_t now)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, active->seen);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count
        += now < ((newest_batch_t *)value)->seen_at + GP_ACTIVE_WRITERS_WINDOW;
  return count;
}

/* The fold orders its writers by their last batch, so the writers with new
   batches since the last call are at the end of the list.  */
uint32_t
gp_active_writers_update (gp_active_writers_t *active, const gp_fold_t *fold,
                          gp_time_t now)
{
  for (const gp_list_t *pos = fold->writers_by_activity.prev;
       pos != &fold->writers_by_activity; pos = pos->prev)
    {
      const gp_fold_writer_t *writer
          = GP_CONTAINER_OF (pos, const gp_fold_writer_t, link);

      if (!record_batch (active, writer, now))
        break;
    }
  if (g_hash_table_size (active->seen) > g_hash_table_size (fold->writers))
    g_hash_table_foreach_remove (active->seen, is_dropped, (gpointer)fold);
  return count_active (active, now);
}

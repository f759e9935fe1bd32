#include "coordination/epoch_table.h"

typedef struct
{
  uint64_t task;    /* hash key */
  uint64_t running; /* the running epoch, or 0 */
  uint64_t ended;   /* the highest epoch that ended or was refused, or 0 */
} entry_t;

void
gp_epoch_table_init (gp_epoch_table_t *table, unsigned max_tasks)
{
  table->tasks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  table->max_tasks = max_tasks;
  table->running = 0;
}

void
gp_epoch_table_finish (gp_epoch_table_t *table)
{
  g_hash_table_destroy (table->tasks);
}

gp_epoch_status_t
gp_epoch_table_status (const gp_epoch_table_t *table, uint64_t task,
                       uint64_t epoch)
{
  const entry_t *entry = g_hash_table_lookup (table->tasks, &task);

  if (entry == NULL)
    return GP_EPOCH_NEW;
  if (epoch == entry->running)
    return GP_EPOCH_RUNNING;
  if (epoch <= entry->ended || epoch < entry->running)
    return GP_EPOCH_ENDED;
  return entry->running != 0 ? GP_EPOCH_BUSY : GP_EPOCH_NEW;
}

static entry_t *
find_or_add_entry (gp_epoch_table_t *table, uint64_t task)
{
  entry_t *entry = g_hash_table_lookup (table->tasks, &task);

  if (entry != NULL)
    return entry;
  entry = g_new0 (entry_t, 1);
  entry->task = task;
  g_hash_table_insert (table->tasks, &entry->task, entry);
  return entry;
}

void
gp_epoch_table_set_running (gp_epoch_table_t *table, uint64_t task,
                            uint64_t epoch)
{
  entry_t *entry = find_or_add_entry (table, task);

  if (entry->running == 0)
    table->running++;
  entry->running = epoch;
}

void
gp_epoch_table_set_ended (gp_epoch_table_t *table, uint64_t task,
                          uint64_t epoch)
{
  entry_t *entry = find_or_add_entry (table, task);

  entry->ended = MAX (entry->ended, epoch);
  if (entry->running != epoch)
    return;
  entry->running = 0;
  table->running--;
}

bool
gp_epoch_table_full (const gp_epoch_table_t *table)
{
  return g_hash_table_size (table->tasks) >= table->max_tasks;
}

static gboolean
entry_ended (gpointer key, gpointer value, gpointer data)
{
  return ((const entry_t *)value)->running == 0;
}

void
gp_epoch_table_restart (gp_epoch_table_t *table)
{
  g_hash_table_foreach_remove (table->tasks, entry_ended, NULL);
}

void
gp_epoch_table_end_all (gp_epoch_table_t *table)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_t *entry = value;

      entry->ended = MAX (entry->ended, entry->running);
      entry->running = 0;
    }
  table->running = 0;
}

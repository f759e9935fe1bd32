/* Bounded map from which the least recently used entry is evicted.  */

#include "base/lru.h"

gp_lru_entry_t *
gp_lru_entry_of (gp_list_t *link)
{
  return GP_CONTAINER_OF (link, gp_lru_entry_t, link);
}

static void
remove_entry (gp_lru_t *lru, gp_lru_entry_t *entry)
{
  char *name = entry->name;

  g_hash_table_remove (lru->entries, name);
  gp_list_remove (&entry->link);
  lru->free_entry (entry);
  g_free (name);
}

void
gp_lru_init (gp_lru_t *lru, guint max_count,
             void (*free_entry) (gp_lru_entry_t *entry))
{
  lru->entries = g_hash_table_new (g_str_hash, g_str_equal);
  gp_list_init (&lru->order);
  lru->max_count = max_count;
  lru->free_entry = free_entry;
}

void
gp_lru_finish (gp_lru_t *lru)
{
  GP_LIST_FOREACH_SAFE (link, &lru->order)
  remove_entry (lru, gp_lru_entry_of (link));
  g_hash_table_destroy (lru->entries);
}

guint
gp_lru_count (const gp_lru_t *lru)
{
  return g_hash_table_size (lru->entries);
}

gp_lru_entry_t *
gp_lru_find (const gp_lru_t *lru, const char *name)
{
  return g_hash_table_lookup (lru->entries, name);
}

void
gp_lru_use (gp_lru_t *lru, gp_lru_entry_t *entry)
{
  gp_list_remove (&entry->link);
  gp_list_push_front (&lru->order, &entry->link);
}

gp_lru_entry_t *
gp_lru_next_evicted (const gp_lru_t *lru)
{
  if (gp_lru_count (lru) < lru->max_count)
    return NULL;
  return gp_lru_entry_of (lru->order.prev);
}

void
gp_lru_add (gp_lru_t *lru, const char *name, gp_lru_entry_t *entry)
{
  gp_lru_entry_t *evicted = gp_lru_next_evicted (lru);

  if (evicted != NULL)
    remove_entry (lru, evicted);
  entry->name = g_strdup (name);
  g_hash_table_insert (lru->entries, entry->name, entry);
  gp_list_push_front (&lru->order, &entry->link);
}

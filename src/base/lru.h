/* Bounded map from names to entries of the caller, from which the least
   recently used entry is evicted.

   An entry embeds a gp_lru_entry_t.  All operations take constant time.  */

#ifndef GP_BASE_LRU_H
#define GP_BASE_LRU_H

#include <glib.h>

#include "base/list.h"

typedef struct
{
  gp_list_t link;
  char *name; /* owned */
} gp_lru_entry_t;

typedef struct
{
  GHashTable *entries; /* name to gp_lru_entry_t */
  gp_list_t order;     /* the most recently used entry first */
  guint max_count;
  void (*free_entry) (gp_lru_entry_t *entry); /* does not free its name */
} gp_lru_t;

/* Iterate over the entries of LRU, the most recently used one first; POS is a
   link, see gp_lru_entry_of.  */
#define GP_LRU_FOREACH(pos, lru) GP_LIST_FOREACH (pos, &(lru)->order)

void gp_lru_init (gp_lru_t *lru, guint max_count,
                  void (*free_entry) (gp_lru_entry_t *entry));
void gp_lru_finish (gp_lru_t *lru);

guint gp_lru_count (const gp_lru_t *lru);
gp_lru_entry_t *gp_lru_entry_of (gp_list_t *link);

/* Returns the entry called NAME, or NULL.  This does not count as a use.  */
gp_lru_entry_t *gp_lru_find (const gp_lru_t *lru, const char *name);

/* ENTRY, which is in LRU, is used now.  */
void gp_lru_use (gp_lru_t *lru, gp_lru_entry_t *entry);

/* Returns the entry that gp_lru_add evicts next, or NULL while there is
   room.  */
gp_lru_entry_t *gp_lru_next_evicted (const gp_lru_t *lru);

/* Adds ENTRY, of which LRU takes ownership, as NAME, which must not be in
   there.  If LRU is full, evicts the least recently used entry.  */
void gp_lru_add (gp_lru_t *lru, const char *name, gp_lru_entry_t *entry);

#endif

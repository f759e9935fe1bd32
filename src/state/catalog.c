#include "state/catalog.h"

#include <string.h>
#include <xxhash.h>

/* Limit of open snapshots; the oldest is dropped when it is exceeded.  */
#define OPEN_MAX 32

static void
free_entry (void *data)
{
  gp_catalog_entry_t *entry = data;

  if (entry == NULL)
    return;
  if (entry->checksum != NULL)
    XXH3_freeState (entry->checksum);
  g_free (entry->writer);
  g_free (entry);
}

void
gp_catalog_init (gp_catalog_t *catalog)
{
  memset (catalog, 0, sizeof *catalog);
  catalog->open = g_ptr_array_new_with_free_func (free_entry);
}

void
gp_catalog_finish (gp_catalog_t *catalog)
{
  g_ptr_array_unref (catalog->open);
  free_entry (catalog->newest);
}

void
gp_catalog_clear (gp_catalog_t *catalog)
{
  g_ptr_array_set_size (catalog->open, 0);
  g_clear_pointer (&catalog->newest, free_entry);
}

void
gp_catalog_reject (gp_catalog_t *catalog)
{
  uint32_t at = catalog->rejected_count++ % GP_CATALOG_REJECTED_MAX;

  catalog->rejected[at] = catalog->newest->as_of + 1;
  gp_catalog_clear (catalog);
}

static bool
is_rejected (const gp_catalog_t *catalog, uint64_t as_of)
{
  for (int i = 0; i < GP_CATALOG_REJECTED_MAX; i++)
    if (catalog->rejected[i] == as_of + 1)
      return true;
  return false;
}

static gp_catalog_entry_t *
find_open (const gp_catalog_t *catalog, const char *writer)
{
  for (guint i = 0; i < catalog->open->len; i++)
    {
      gp_catalog_entry_t *entry = catalog->open->pdata[i];

      if (strcmp (entry->writer, writer) == 0)
        return entry;
    }
  return NULL;
}

const gp_catalog_entry_t *
gp_catalog_open (const gp_catalog_t *catalog, const char *writer)
{
  return find_open (catalog, writer);
}

static bool
process_begin (gp_catalog_t *catalog, uint64_t offset, const char *writer,
               uint64_t incarnation, const Gp__Record__SnapshotBegin *begin)
{
  gp_catalog_entry_t *entry = find_open (catalog, writer);

  if (entry != NULL && entry->incarnation == incarnation
      && entry->id == begin->id)
    return false;
  if (entry != NULL)
    g_ptr_array_remove (catalog->open, entry);
  else if (catalog->open->len >= OPEN_MAX)
    g_ptr_array_remove_index (catalog->open, 0);
  entry = g_new0 (gp_catalog_entry_t, 1);
  entry->writer = g_strdup (writer);
  entry->incarnation = incarnation;
  entry->id = begin->id;
  entry->begin_offset = offset;
  entry->as_of = begin->as_of;
  entry->checksum = XXH3_createState ();
  XXH3_64bits_reset (entry->checksum);
  g_ptr_array_add (catalog->open, entry);
  return false;
}

static bool
process_part (gp_catalog_t *catalog, gp_catalog_entry_t *entry,
              const Gp__Record__SnapshotPart *part)
{
  if (part->index < entry->parts)
    return false;
  if (part->index > entry->parts)
    {
      g_ptr_array_remove (catalog->open, entry);
      return false;
    }
  XXH3_64bits_update (entry->checksum, part->data.data, part->data.len);
  entry->parts++;
  entry->bytes += part->data.len;
  return false;
}

static bool
process_end (gp_catalog_t *catalog, gp_catalog_entry_t *entry, uint64_t offset,
             const Gp__Record__SnapshotEnd *end)
{
  guint index;
  bool newer;

  entry->end_offset = offset;
  entry->digest = end->digest;
  newer = catalog->newest == NULL || entry->as_of > catalog->newest->as_of;
  if (!newer || end->parts != entry->parts || end->as_of != entry->as_of
      || end->checksum != XXH3_64bits_digest (entry->checksum)
      || entry->as_of >= entry->begin_offset
      || is_rejected (catalog, entry->as_of))
    {
      g_ptr_array_remove (catalog->open, entry);
      return false;
    }
  g_ptr_array_find (catalog->open, entry, &index);
  g_ptr_array_steal_index (catalog->open, index);
  free_entry (catalog->newest);
  catalog->newest = entry;
  return true;
}

bool
gp_catalog_add_record (gp_catalog_t *catalog, uint64_t offset,
                       const char *writer, uint64_t incarnation,
                       const Gp__Record__Record *record)
{
  gp_catalog_entry_t *entry = find_open (catalog, writer);
  uint64_t id = 0;

  if (record->record_case == GP__RECORD__RECORD__RECORD_SNAPSHOT_BEGIN)
    return process_begin (catalog, offset, writer, incarnation,
                          record->snapshot_begin);
  if (record->record_case == GP__RECORD__RECORD__RECORD_SNAPSHOT_PART)
    id = record->snapshot_part->id;
  else if (record->record_case == GP__RECORD__RECORD__RECORD_SNAPSHOT_END)
    id = record->snapshot_end->id;
  else
    return false;
  if (entry == NULL || entry->incarnation != incarnation || entry->id != id)
    return false;
  if (record->record_case == GP__RECORD__RECORD__RECORD_SNAPSHOT_PART)
    return process_part (catalog, entry, record->snapshot_part);
  return process_end (catalog, entry, offset, record->snapshot_end);
}

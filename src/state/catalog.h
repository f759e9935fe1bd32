/* Catalog of the snapshots in the log.

   A snapshot is a Begin record, its parts in order and an End record.  They
   are spread over the batches of one writer, interleaved with the batches of
   others.  A writer has one snapshot open at a time.  A snapshot is complete
   once its End has been read and the number and checksum of its parts match;
   any other snapshot is ignored.  Duplicate records are harmless.  */

#ifndef GP_STATE_CATALOG_H
#define GP_STATE_CATALOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "records.pb-c.h"

typedef struct
{
  char *writer;
  uint64_t incarnation;
  uint64_t id;
  uint64_t begin_offset;
  uint64_t end_offset;
  uint64_t as_of; /* offset of the last batch in the state */
  uint32_t parts;
  uint64_t bytes;  /* of the parts */
  uint64_t digest; /* of the state */
  void *checksum;  /* XXH3_state_t while open */
} gp_catalog_entry_t;

/* Number of corrupt snapshots whose as_of is stored.  */
#define GP_CATALOG_REJECTED_MAX 8

typedef struct
{
  GPtrArray *open; /* of gp_catalog_entry_t */
  gp_catalog_entry_t
      *newest; /* complete and with the highest as_of, or NULL */
  uint64_t rejected[GP_CATALOG_REJECTED_MAX]; /* their as_of + 1 */
  uint32_t rejected_count; /* in total; REJECTED is a ring buffer */
} gp_catalog_t;

void gp_catalog_init (gp_catalog_t *catalog);
void gp_catalog_finish (gp_catalog_t *catalog);

/* Process RECORD, of any kind, from the batch of WRITER at OFFSET.  Returns
   true if it completed a snapshot that is now the newest.  */
bool gp_catalog_add_record (gp_catalog_t *catalog, uint64_t offset,
                            const char *writer, uint64_t incarnation,
                            const Gp__Record__Record *record);

/* Return the incomplete snapshot of WRITER, or NULL.  */
const gp_catalog_entry_t *gp_catalog_open (const gp_catalog_t *catalog,
                                           const char *writer);

/* Drop all snapshots but keep the list of rejected ones.  */
void gp_catalog_clear (gp_catalog_t *catalog);

/* Mark the newest snapshot as corrupt: clear the catalog and ignore later
   snapshots with the same as_of.  */
void gp_catalog_reject (gp_catalog_t *catalog);

#endif

/* The snapshots on the log.

   A snapshot is a Begin, its parts in order and an End, spread over batches
   of one writer among the batches of others.  A writer has one snapshot
   open at a time.  A snapshot counts when its End has been seen and the
   number and checksum of the parts are right; any other is ignored.
   Records that come twice do no harm.  */

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
  uint64_t as_of; /* the state after the batch at this offset */
  uint32_t parts;
  uint64_t bytes;  /* of the parts */
  uint64_t digest; /* of the state */
  void *checksum;  /* XXH3_state_t while open */
} gp_catalog_entry_t;

/* Snapshots found corrupt that are remembered.  */
#define GP_CATALOG_REJECTED 8

typedef struct
{
  GPtrArray *open;            /* of gp_catalog_entry_t */
  gp_catalog_entry_t *newest; /* complete, highest as_of; or NULL */
  uint64_t rejected[GP_CATALOG_REJECTED]; /* their as_of + 1 */
  uint32_t rejected_count;                /* in all; the array is a ring */
} gp_catalog_t;

void gp_catalog_init (gp_catalog_t *catalog);
void gp_catalog_finish (gp_catalog_t *catalog);

/* Note RECORD, which may be of any kind, of WRITER in the batch at OFFSET.
   True when it completed a snapshot that is now the newest.  */
bool gp_catalog_note (gp_catalog_t *catalog, uint64_t offset,
                      const char *writer, uint64_t incarnation,
                      const Gp__Record__Record *record);

/* The snapshot of WRITER that is not complete yet, or NULL.  */
const gp_catalog_entry_t *gp_catalog_open (const gp_catalog_t *catalog,
                                           const char *writer);

/* Forget all snapshots but which were rejected.  */
void gp_catalog_clear (gp_catalog_t *catalog);

/* The newest snapshot is corrupt: clear, and never take one of its as_of
   again.  */
void gp_catalog_reject (gp_catalog_t *catalog);

#endif

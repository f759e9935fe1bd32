/* The current configuration, as held by any process.

   A configuration consists of a revision, the operator's document and the
   items built from it, which are opaque key and value bytes.  The digest is
   SHA-256 over the items in key order; with it a process verifies after a
   delta that its items are complete.  A lower revision is always refused.

   A process may hold a slice, which is the subset of items that a filter
   selects.  The digest of a slice covers only its items.  */

#ifndef GP_STATE_CONFIG_H
#define GP_STATE_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire.pb-c.h"

#define GP_CONFIG_DIGEST_SIZE 32
/* Number of revisions whose changed keys are kept to build deltas.  */
#define GP_CONFIG_HISTORY_MAX 64

typedef struct
{
  const char *key;
  const uint8_t *value;
  size_t size; /* 0: removed */
} gp_config_item_t;

/* An update to a higher revision.  The caller owns all memory.  */
typedef struct
{
  uint64_t revision;
  uint64_t base;         /* 0: ITEMS are the full set */
  const uint8_t *digest; /* GP_CONFIG_DIGEST_SIZE bytes, after the update */
  size_t digest_size;
  const gp_config_item_t *items;
  size_t items_count;
  const uint8_t *document; /* may be empty, as in a slice */
  size_t document_size;
  const char *author;  /* may be NULL */
  const char *comment; /* may be NULL */
  int64_t changed_us;  /* wall clock */
} gp_config_update_t;

typedef enum
{
  GP_CONFIG_APPLIED,
  GP_CONFIG_SAME,          /* the revision is the current one */
  GP_CONFIG_STALE,         /* the revision is below the current one */
  GP_CONFIG_BASE_MISMATCH, /* a delta to another revision: request all items */
  GP_CONFIG_DIGEST_MISMATCH /* the digest does not match: request all items */
} gp_config_result_t;

/* The changes made by one revision.  */
typedef struct
{
  uint64_t revision;
  char *author;
  char *comment;
  int64_t changed_us;
  GPtrArray *keys; /* of strings; NULL: all keys */
} gp_config_change_t;

typedef struct
{
  uint64_t revision; /* 0: none yet */
  uint8_t digest[GP_CONFIG_DIGEST_SIZE];
  GTree *items; /* key -> GBytes */
  GBytes *document;
  GQueue history; /* of gp_config_change_t, newest last */
  size_t bytes;   /* of keys, values and document */
} gp_config_t;

/* Return true if the item KEY belongs to the slice.  */
typedef bool (*gp_config_filter_t) (const char *key, void *data);

void gp_config_init (gp_config_t *config);
void gp_config_finish (gp_config_t *config);

/* Apply UPDATE.  On any result other than GP_CONFIG_APPLIED, CONFIG is
   unchanged.  */
gp_config_result_t gp_config_apply (gp_config_t *config,
                                    const gp_config_update_t *update);

/* Like gp_config_apply, for an update received from a peer.  */
gp_config_result_t
gp_config_apply_wire (gp_config_t *config,
                      const Gp__Wire__ConfigUpdate *message);

/* Restore a saved configuration: first each item, then the revision,
   document, author, comment and time.  gp_config_load returns false if UPDATE
   has no revision.  */
void gp_config_load_item (gp_config_t *config, const gp_config_item_t *item);
bool gp_config_load (gp_config_t *config, const gp_config_update_t *update);

/* Return the value of KEY, owned by CONFIG, or NULL.  */
GBytes *gp_config_get (const gp_config_t *config, const char *key);

/* Return the newest change, or NULL.  */
const gp_config_change_t *gp_config_newest_change (const gp_config_t *config);

/* Compute the digest of the items that FILTER selects (NULL: all).  */
void gp_config_digest (const gp_config_t *config, gp_config_filter_t filter,
                       void *data, uint8_t digest[GP_CONFIG_DIGEST_SIZE]);

/* Compute the digest of COUNT items in any order.  Keys must be unique and no
   item may be a removal.  */
void gp_config_digest_items (const gp_config_item_t *items, size_t count,
                             uint8_t digest[GP_CONFIG_DIGEST_SIZE]);

/* Return a packed gp.wire.ConfigUpdate that brings a process from revision
   HAVE of the slice of FILTER to the current revision: a delta if the changes
   since HAVE are still in the history, otherwise all items.  Owned by the
   caller.  */
GBytes *gp_config_pack (const gp_config_t *config, uint64_t have,
                        gp_config_filter_t filter, void *data);

#endif

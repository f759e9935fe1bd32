/* The configuration in force, as any process holds it.

   A configuration is a revision, the operator's document and the items that
   were built from it: opaque key and value bytes.  The digest is SHA-256
   over the items in the order of their keys, so that a holder knows after a
   delta that it has the whole.  A lower revision is always refused.

   A process may hold a slice, that is the items a filter lets through; its
   digest is that of the slice.  */

#ifndef GP_STATE_CONFIG_H
#define GP_STATE_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire.pb-c.h"

#define GP_CONFIG_DIGEST_SIZE 32
/* Revisions of which the changed keys are remembered for deltas.  */
#define GP_CONFIG_HISTORY 64

typedef struct
{
  const char *key;
  const uint8_t *value;
  size_t size; /* 0: removed */
} gp_config_item_t;

/* One step to a higher revision.  All memory is the caller's.  */
typedef struct
{
  uint64_t revision;
  uint64_t base;         /* 0: ITEMS are the whole */
  const uint8_t *digest; /* GP_CONFIG_DIGEST_SIZE bytes, after the step */
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
  GP_CONFIG_SAME,    /* the revision is the current one */
  GP_CONFIG_LOWER,   /* the revision is below the current one */
  GP_CONFIG_NO_BASE, /* a delta on another revision: ask for the whole */
  GP_CONFIG_DIGEST   /* the result has another digest: ask for the whole */
} gp_config_result_t;

/* What one revision changed.  */
typedef struct
{
  uint64_t revision;
  char *author;
  char *comment;
  int64_t changed_us;
  GPtrArray *keys; /* of strings; NULL: everything */
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

/* True when the item KEY belongs to a slice.  */
typedef bool (*gp_config_filter_t) (const char *key, void *data);

void gp_config_init (gp_config_t *config);
void gp_config_finish (gp_config_t *config);

/* Take UPDATE, or leave CONFIG as it was and say why.  */
gp_config_result_t gp_config_apply (gp_config_t *config,
                                    const gp_config_update_t *update);

/* As gp_config_apply, for an update from a peer.  */
gp_config_result_t
gp_config_apply_wire (gp_config_t *config,
                      const Gp__Wire__ConfigUpdate *message);

/* Restore a saved configuration: its items one by one, then its revision,
   document, author, comment and time.  False when UPDATE has no revision.  */
void gp_config_load_item (gp_config_t *config, const gp_config_item_t *item);
bool gp_config_load (gp_config_t *config, const gp_config_update_t *update);

/* The value of KEY, owned by CONFIG, or NULL.  */
GBytes *gp_config_get (const gp_config_t *config, const char *key);

/* The newest change, or NULL.  */
const gp_config_change_t *gp_config_newest (const gp_config_t *config);

/* The digest of the items that FILTER (NULL: all) lets through.  */
void gp_config_digest (const gp_config_t *config, gp_config_filter_t filter,
                       void *data, uint8_t digest[GP_CONFIG_DIGEST_SIZE]);

/* The digest of COUNT items in any order, none removed, no key twice.  */
void gp_config_digest_items (const gp_config_item_t *items, size_t count,
                             uint8_t digest[GP_CONFIG_DIGEST_SIZE]);

/* A packed gp.wire.ConfigUpdate that takes a holder of revision HAVE of the
   slice of FILTER to the current revision: a delta if the changes since
   HAVE are remembered, else the whole.  Owned by the caller.  */
GBytes *gp_config_pack (const gp_config_t *config, uint64_t have,
                        gp_config_filter_t filter, void *data);

#endif

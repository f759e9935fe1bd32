/* A document as a list of items, the form in which it is sent and stored.
   See document.h for what the items are, and state/config.h for the digest
   of a list.

   A list of items is a GPtrArray of gp_document_item_t, ordered by key and
   with unique keys.  */

#ifndef GP_STATE_DOCUMENT_ITEMS_H
#define GP_STATE_DOCUMENT_ITEMS_H

#include <glib.h>
#include <stdbool.h>

#include "base/issue.h"
#include "base/yaml.h"
#include "state/config.h"

typedef struct
{
  char *key;
  GBytes *value; /* canonical YAML on one line; NULL in a delta: removed */
} gp_document_item_t;

/* Return an empty list that owns its items.  */
GPtrArray *gp_document_items_new (void);

/* Append an item; VALUE is referenced and may be NULL.  */
void gp_document_items_add (GPtrArray *items, const char *key, GBytes *value);

/* Sort ITEMS by key.  */
void gp_document_items_sort (GPtrArray *items);

/* Return the delta that turns BASE into TARGET.  */
GPtrArray *gp_document_items_diff (const GPtrArray *base,
                                   const GPtrArray *target);

/* Return BASE with DELTA applied.  */
GPtrArray *gp_document_items_patch (const GPtrArray *base,
                                    const GPtrArray *delta);

bool gp_document_items_equal (const GPtrArray *left, const GPtrArray *right);

/* Return ITEMS as an array for state/config.h with ITEMS->len elements that
   point into ITEMS; free it with g_free.  */
gp_config_item_t *gp_document_items_to_config (const GPtrArray *items);

/* Return the encoding of the canonical tree NODE as an item value.  */
GBytes *gp_document_item_value (const gp_yaml_node_t *node);

/* Split the canonical tree ROOT of a document into its items.  */
GPtrArray *gp_document_items_split (const gp_yaml_node_t *root);

/* Join all items of a document into one line of YAML.  Returns false and adds
   an issue if a key is not valid in a document.  */
bool gp_document_items_join (const GPtrArray *items, GString *out,
                             GPtrArray *issues);

/* Like gp_document_items_join, but in YAML block style for people to read.  */
bool gp_document_items_format (const GPtrArray *items, GString *out,
                               GPtrArray *issues);

#endif

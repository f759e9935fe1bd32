/* A document in parts, as it is sent and stored (see state/config.h, which
   also has the digest of a list).

   A list of items is a GPtrArray of gp_document_item_t ordered by key, each
   key once.  See document.h for what the items are.  */

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
  GBytes *value; /* canonical YAML in one line; NULL in a delta: removed */
} gp_document_item_t;

/* An empty list that owns its items.  */
GPtrArray *gp_document_items_new (void);

/* Append an item; VALUE is referenced and may be NULL.  */
void gp_document_items_add (GPtrArray *items, const char *key, GBytes *value);

/* Order ITEMS by key.  */
void gp_document_items_sort (GPtrArray *items);

/* What turns BASE into TARGET.  */
GPtrArray *gp_document_items_diff (const GPtrArray *base,
                                   const GPtrArray *target);

/* BASE with DELTA applied.  */
GPtrArray *gp_document_items_patch (const GPtrArray *base,
                                    const GPtrArray *delta);

bool gp_document_items_equal (const GPtrArray *left, const GPtrArray *right);

/* ITEMS as state/config.h takes it, ITEMS->len elements that point into ITEMS;
   free with g_free.  */
gp_config_item_t *gp_document_items_config (const GPtrArray *items);

/* The bytes of an item that is the canonical tree NODE.  */
GBytes *gp_document_item_value (const gp_yaml_node_t *node);

/* Split the canonical tree ROOT of a whole document.  */
GPtrArray *gp_document_items_split (const gp_yaml_node_t *root);

/* Put the items of a whole document together as one line of YAML.  False
   and an issue when a key is not one of a document.  */
bool gp_document_items_join (const GPtrArray *items, GString *out,
                             GPtrArray *issues);

/* The items of a whole document as YAML for people; as
   gp_document_items_join otherwise.  */
bool gp_document_items_format (const GPtrArray *items, GString *out,
                               GPtrArray *issues);

#endif

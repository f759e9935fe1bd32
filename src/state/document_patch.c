/* Incremental update of a document from the items that changed.

   All new elements are parsed first, which may fail; the document is modified
   only after that.  A changed element overwrites the old one in its array, a
   new one is appended, and a removed one is replaced by the last element,
   since the order within a section has no meaning.  */

#include <string.h>

#include "state/document_schema.h"

/* A parsed item of a delta.  */
typedef struct
{
  const gp_document_section_t *section;
  const char *name;
  void *element; /* owned; NULL: the item is removed */
} change_t;

static void
change_clear (gpointer data)
{
  change_t *change = data;

  if (change->element)
    gp_yaml_unload (change->element, &change->section->schema);
}

static void *
load_canonical (const gp_document_section_t *section,
                const gp_document_item_t *item, gp_yaml_node_t *root,
                GPtrArray *issues)
{
  gsize size;
  const char *text = g_bytes_get_data (item->value, &size);
  void *element;
  GBytes *canonical;
  bool same;

  gp_yaml_check (root, &section->schema, issues);
  if (gp_issues_count (issues, GP_ISSUE_ERROR) > 0)
    return NULL;
  element = gp_yaml_load (text, size, root, &section->schema, issues);
  gp_yaml_canonicalize (root, &section->schema);
  canonical = gp_document_item_value (root);
  same = g_bytes_equal (canonical, item->value)
         && strcmp (gp_yaml_member (root, "name")->value,
                    item->key + strlen (section->prefix))
                == 0;
  g_bytes_unref (canonical);
  if (same || !element)
    return element;
  gp_yaml_report (NULL, issues, GP_ISSUE_ERROR, item->key, NULL,
                  "the item is not in canonical form");
  gp_yaml_unload (element, &section->schema);
  return NULL;
}

static void *
parse_element (const gp_document_section_t *section,
               const gp_document_item_t *item, GPtrArray *issues)
{
  gsize size;
  const char *text = g_bytes_get_data (item->value, &size);
  gp_yaml_node_t *root = gp_yaml_parse (text, size, issues);
  void *element = NULL;

  if (root)
    element = load_canonical (section, item, root, issues);
  gp_yaml_node_free (root);
  return element;
}

/* Parse all items of DELTA into CHANGES.  Returns false after an error.  */
static bool
parse_changes (const GPtrArray *delta, GArray *changes, GPtrArray *issues)
{
  for (guint i = 0; i < delta->len; i++)
    {
      const gp_document_item_t *item = delta->pdata[i];
      change_t change = { gp_document_find_section (item->key), NULL, NULL };

      change.name = item->key + strlen (change.section->prefix);
      if (item->value)
        change.element = parse_element (change.section, item, issues);
      if (item->value && !change.element)
        return false;
      g_array_append_val (changes, change);
    }
  return true;
}

/* Free the contents of the array element at PLACE.  */
static void
clear_element (const gp_document_section_t *section, void *place)
{
  gp_yaml_unload (g_memdup2 (place, section->element_size), &section->schema);
}

static void *
find_element (const gp_document_t *document, const change_t *change)
{
  char *key = g_strconcat (change->section->prefix, change->name, NULL);
  void *place = g_hash_table_lookup (document->index, key);

  g_free (key);
  return place;
}

/* Remove the element at PLACE: move the last element of the array there and
   update its entry in the index.  */
static void
remove_element (gp_document_t *document, const change_t *change, char *place)
{
  const gp_document_section_t *section = change->section;
  char *list = *(char **)(void *)((char *)document + section->list_offset);
  uint32_t *count
      = (uint32_t *)(void *)((char *)document + section->count_offset);
  char *last = list + (size_t)(*count - 1) * section->element_size;
  char *key = g_strconcat (section->prefix, change->name, NULL);

  g_hash_table_remove (document->index, key);
  g_free (key);
  clear_element (section, place);
  (*count)--;
  if (place == last)
    return;
  memcpy (place, last, section->element_size);
  key = g_strconcat (section->prefix, *(char **)(void *)place, NULL);
  g_hash_table_insert (document->index, key, place);
}

/* Append an uninitialized element.  The array may be reallocated.  */
static char *
append_element (gp_document_t *document, const gp_document_section_t *section)
{
  char **list = (char **)(void *)((char *)document + section->list_offset);
  uint32_t *count
      = (uint32_t *)(void *)((char *)document + section->count_offset);

  *list = g_realloc_n (*list, (size_t)*count + 1, section->element_size);
  return *list + (size_t)(*count)++ * section->element_size;
}

static void
move_element (change_t *change, char *place)
{
  memcpy (place, change->element, change->section->element_size);
  g_free (change->element);
  change->element = NULL;
}

/* Apply CHANGE if the document already has the element: replace or remove
   it.  */
static void
replace_or_remove (gp_document_t *document, change_t *change)
{
  char *place = find_element (document, change);

  if (place && change->element)
    {
      clear_element (change->section, place);
      move_element (change, place);
    }
  else if (place)
    remove_element (document, change, place);
}

static void
apply_service_defaults (gp_document_t *document)
{
  for (uint32_t i = 0; i < document->services_count; i++)
    gp_document_apply_service_defaults (&document->services[i]);
}

static void
apply_changes (gp_document_t *document, const GPtrArray *delta,
               GArray *changes)
{
  GPtrArray *items = gp_document_items_patch (document->items, delta);

  bool added = false;

  for (guint i = 0; i < changes->len; i++)
    replace_or_remove (document, &g_array_index (changes, change_t, i));
  for (guint i = 0; i < changes->len; i++)
    {
      change_t *change = &g_array_index (changes, change_t, i);

      if (!change->element)
        continue;
      move_element (change, append_element (document, change->section));
      added = true;
    }
  if (added) /* the arrays may have been reallocated */
    gp_document_build_index (document);
  apply_service_defaults (document);
  g_ptr_array_unref (document->items);
  document->items = items;
}

/* Load the whole document again, for changes outside the lists.  */
static bool
reload_document (gp_document_t *document, const GPtrArray *delta,
                 GPtrArray *issues)
{
  GPtrArray *items = gp_document_items_patch (document->items, delta);
  gp_document_t loaded;
  bool ok = gp_document_load_items (&loaded, items, issues);

  g_ptr_array_unref (items);
  if (!ok)
    return false;
  gp_document_finish (document);
  *document = loaded;
  return true;
}

/* Check that the keys of DELTA are unique and in order.  */
static bool
check_order (const GPtrArray *delta, GPtrArray *issues)
{
  for (guint i = 1; i < delta->len; i++)
    {
      const gp_document_item_t *before = delta->pdata[i - 1];
      const gp_document_item_t *item = delta->pdata[i];

      if (strcmp (before->key, item->key) < 0)
        continue;
      gp_yaml_report (NULL, issues, GP_ISSUE_ERROR, item->key, NULL,
                      "the item is out of order");
      return false;
    }
  return true;
}

bool
gp_document_patch (gp_document_t *document, const GPtrArray *delta,
                   GPtrArray *issues)
{
  GArray *changes;
  bool ok;

  if (!check_order (delta, issues))
    return false;
  for (guint i = 0; i < delta->len; i++)
    {
      const gp_document_item_t *item = delta->pdata[i];

      if (!gp_document_find_section (item->key))
        return reload_document (document, delta, issues);
    }
  changes = g_array_new (FALSE, FALSE, sizeof (change_t));
  g_array_set_clear_func (changes, change_clear);
  ok = parse_changes (delta, changes, issues);
  if (ok)
    apply_changes (document, delta, changes);
  g_array_unref (changes);
  return ok;
}

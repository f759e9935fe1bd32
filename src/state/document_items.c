/* Lists of document items: comparison, splitting and joining.  */

#include "state/document_items.h"

#include <string.h>

#include "state/document_schema.h"

static void
item_free (gpointer data)
{
  gp_document_item_t *item = data;

  g_free (item->key);
  g_clear_pointer (&item->value, g_bytes_unref);
  g_free (item);
}

GPtrArray *
gp_document_items_new (void)
{
  return g_ptr_array_new_with_free_func (item_free);
}

void
gp_document_items_add (GPtrArray *items, const char *key, GBytes *value)
{
  gp_document_item_t *item = g_new0 (gp_document_item_t, 1);

  item->key = g_strdup (key);
  item->value = value ? g_bytes_ref (value) : NULL;
  g_ptr_array_add (items, item);
}

static gint
compare_keys (gconstpointer left, gconstpointer right)
{
  const gp_document_item_t *a = *(const gp_document_item_t *const *)left;
  const gp_document_item_t *b = *(const gp_document_item_t *const *)right;

  return strcmp (a->key, b->key);
}

void
gp_document_items_sort (GPtrArray *items)
{
  g_ptr_array_sort (items, compare_keys);
}

/* Compare the keys of the items at I in LEFT and at J in RIGHT.  A list that
   has ended compares greater; at most one of the two may have ended.  */
static int
compare_items_at (const GPtrArray *left, guint i, const GPtrArray *right,
                  guint j)
{
  if (i >= left->len)
    return 1;
  if (j >= right->len)
    return -1;
  return compare_keys (&left->pdata[i], &right->pdata[j]);
}

static const gp_document_item_t *
item_at (const GPtrArray *items, guint i)
{
  return g_ptr_array_index (items, i);
}

static void
add_copy (GPtrArray *items, const gp_document_item_t *item)
{
  gp_document_items_add (items, item->key, item->value);
}

GPtrArray *
gp_document_items_diff (const GPtrArray *base, const GPtrArray *target)
{
  GPtrArray *delta = gp_document_items_new ();
  guint i = 0;
  guint j = 0;

  while (i < base->len || j < target->len)
    {
      int order = compare_items_at (base, i, target, j);

      if (order < 0)
        gp_document_items_add (delta, item_at (base, i)->key, NULL);
      else if (order > 0
               || !g_bytes_equal (item_at (base, i)->value,
                                  item_at (target, j)->value))
        add_copy (delta, item_at (target, j));
      i += order <= 0;
      j += order >= 0;
    }
  return delta;
}

GPtrArray *
gp_document_items_patch (const GPtrArray *base, const GPtrArray *delta)
{
  GPtrArray *result = gp_document_items_new ();
  guint i = 0;
  guint j = 0;

  while (i < base->len || j < delta->len)
    {
      int order = compare_items_at (base, i, delta, j);

      if (order < 0)
        add_copy (result, item_at (base, i));
      else if (item_at (delta, j)->value)
        add_copy (result, item_at (delta, j));
      i += order <= 0;
      j += order >= 0;
    }
  return result;
}

bool
gp_document_items_equal (const GPtrArray *left, const GPtrArray *right)
{
  GPtrArray *delta = gp_document_items_diff (left, right);
  bool equal = delta->len == 0;

  g_ptr_array_unref (delta);
  return equal;
}

gp_config_item_t *
gp_document_items_to_config (const GPtrArray *items)
{
  gp_config_item_t *list = g_new0 (gp_config_item_t, items->len + 1);

  for (guint i = 0; i < items->len; i++)
    {
      const gp_document_item_t *item = item_at (items, i);
      gsize size = 0;

      list[i].key = item->key;
      if (item->value)
        list[i].value = g_bytes_get_data (item->value, &size);
      list[i].size = size;
    }
  return list;
}

GBytes *
gp_document_item_value (const gp_yaml_node_t *node)
{
  GString *text = g_string_new (NULL);

  gp_yaml_emit (node, GP_YAML_FLOW, text);
  while (text->len > 0 && text->str[text->len - 1] == '\n')
    g_string_truncate (text, text->len - 1);
  return g_string_free_to_bytes (text);
}

static void
add_node (GPtrArray *items, const char *key, const gp_yaml_node_t *node)
{
  GBytes *value = gp_document_item_value (node);

  gp_document_items_add (items, key, value);
  g_bytes_unref (value);
}

static void
add_elements (GPtrArray *items, const char *prefix, const gp_yaml_node_t *list)
{
  for (guint i = 0; i < list->children->len; i++)
    {
      const gp_yaml_node_t *node = list->children->pdata[i];
      char *key
          = g_strconcat (prefix, gp_yaml_member (node, "name")->value, NULL);

      add_node (items, key, node);
      g_free (key);
    }
}

static const gp_document_section_t *
find_section_by_name (const char *name)
{
  for (size_t i = 0; i < GP_DOCUMENT_SECTIONS; i++)
    if (strcmp (gp_document_sections[i].name, name) == 0)
      return &gp_document_sections[i];
  return NULL;
}

GPtrArray *
gp_document_items_split (const gp_yaml_node_t *root)
{
  GPtrArray *items = gp_document_items_new ();

  for (guint i = 0; i < root->children->len; i++)
    {
      const gp_yaml_node_t *child = root->children->pdata[i];
      const gp_document_section_t *section = find_section_by_name (child->key);

      if (section)
        add_elements (items, section->prefix, child);
      else
        add_node (items, child->key, child);
    }
  gp_document_items_sort (items);
  return items;
}

/* Return true if KEY can be written to YAML without quotes.  */
static bool
is_plain_key (const char *key)
{
  return key[0] != '\0'
         && strspn (key, "abcdefghijklmnopqrstuvwxyz_") == strlen (key);
}

/* Append the text that precedes the value of KEY, closing the section OPEN
   (or NULL) if KEY is not in it.  Returns the section that is open now.  */
static const gp_document_section_t *
open_item (GString *out, const gp_document_section_t *open, const char *key)
{
  const gp_document_section_t *section = gp_document_find_section (key);

  if (section && section == open)
    {
      g_string_append (out, ", ");
      return open;
    }
  if (open)
    g_string_append_c (out, ']');
  if (out->len > 1)
    g_string_append (out, ", ");
  if (section)
    g_string_append_printf (out, "%s: [", section->name);
  else
    g_string_append_printf (out, "%s: ", key);
  return section;
}

bool
gp_document_items_join (const GPtrArray *items, GString *out,
                        GPtrArray *issues)
{
  const gp_document_section_t *open = NULL;

  g_string_assign (out, "{");
  for (guint i = 0; i < items->len; i++)
    {
      const gp_document_item_t *item = items->pdata[i];
      gsize size;
      const char *bytes;

      if (!item->value
          || (!gp_document_find_section (item->key)
              && !is_plain_key (item->key)))
        {
          gp_yaml_report (NULL, issues, GP_ISSUE_ERROR, item->key, NULL,
                          "not an item of a document");
          return false;
        }
      open = open_item (out, open, item->key);
      bytes = g_bytes_get_data (item->value, &size);
      g_string_append_len (out, bytes, (gssize)size);
    }
  g_string_append (out, open ? "]}" : "}");
  return true;
}

bool
gp_document_items_format (const GPtrArray *items, GString *out,
                          GPtrArray *issues)
{
  GString *joined = g_string_new (NULL);
  gp_yaml_node_t *root = NULL;

  if (gp_document_items_join (items, joined, issues))
    root = gp_yaml_parse (joined->str, joined->len, issues);
  if (root)
    gp_yaml_emit (root, GP_YAML_BLOCK, out);
  gp_yaml_node_free (root);
  g_string_free (joined, TRUE);
  return root != NULL;
}

/* Formats JSON as human-readable text.  */

#include "cli/print.h"

#include <stdio.h>
#include <string.h>

/* A table being built.  Columns are in the order of their first
   appearance.  */
typedef struct
{
  GPtrArray *names; /* of columns */
  GArray *widths;   /* size_t, in characters */
  GPtrArray *rows;  /* of GHashTable: column name -> text */
} table_t;

static char *
scalar_text (const json_t *json)
{
  char *dumped;
  char *text;

  if (json_is_string (json))
    return g_strdup (json_string_value (json));
  dumped = json_dumps (json, JSON_ENCODE_ANY | JSON_COMPACT);
  text = g_strdup (dumped);
  free (dumped);
  return text;
}

static bool
is_table (const json_t *json)
{
  return json_array_size (json) > 0
         && json_is_object (json_array_get (json, 0));
}

static char *
joined_name (const char *outer, const char *inner)
{
  return outer[0] == '\0' ? g_strdup (inner)
                          : g_strconcat (outer, ".", inner, NULL);
}

static void
set_cell (table_t *table, GHashTable *row, const char *name, char *text)
{
  size_t width = (size_t)g_utf8_strlen (text, -1);
  guint column;

  if (!g_ptr_array_find_with_equal_func (table->names, name, g_str_equal,
                                         &column))
    {
      size_t title = strlen (name);

      column = table->names->len;
      g_ptr_array_add (table->names, g_strdup (name));
      g_array_append_val (table->widths, title);
    }
  if (g_array_index (table->widths, size_t, column) < width)
    g_array_index (table->widths, size_t, column) = width;
  g_hash_table_insert (row, g_strdup (name), text);
}

static void
fill_row (table_t *table, GHashTable *row, const char *prefix,
          const json_t *object)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)object, key, value)
  {
    char *name = joined_name (prefix, key);

    if (json_is_object (value))
      fill_row (table, row, name, value);
    else
      set_cell (table, row, name, scalar_text (value));
    g_free (name);
  }
}

static void
append_cell (GString *out, const char *text, size_t width, bool last)
{
  g_string_append (out, text);
  for (size_t i = (size_t)g_utf8_strlen (text, -1); i < width && !last; i++)
    g_string_append_c (out, ' ');
  g_string_append (out, last ? "\n" : "  ");
}

static void
append_table (GString *out, const table_t *table)
{
  guint last = table->names->len - 1;

  for (guint column = 0; column <= last; column++)
    append_cell (out, table->names->pdata[column],
                 g_array_index (table->widths, size_t, column),
                 column == last);
  for (guint i = 0; i < table->rows->len; i++)
    for (guint column = 0; column <= last; column++)
      {
        const char *text = g_hash_table_lookup (table->rows->pdata[i],
                                                table->names->pdata[column]);

        append_cell (out, text ? text : "-",
                     g_array_index (table->widths, size_t, column),
                     column == last);
      }
}

static void
format_table (const json_t *rows, GString *out)
{
  table_t table = { g_ptr_array_new_with_free_func (g_free),
                    g_array_new (FALSE, FALSE, sizeof (size_t)),
                    g_ptr_array_new_with_free_func (
                        (GDestroyNotify)g_hash_table_unref) };

  for (size_t i = 0; i < json_array_size (rows); i++)
    {
      GHashTable *row
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);

      fill_row (&table, row, "", json_array_get (rows, i));
      g_ptr_array_add (table.rows, row);
    }
  if (table.names->len > 0)
    append_table (out, &table);
  g_ptr_array_unref (table.names);
  g_array_unref (table.widths);
  g_ptr_array_unref (table.rows);
}

static void
format_scalars (const json_t *object, const char *prefix, GString *out)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)object, key, value)
  {
    char *name = joined_name (prefix, key);
    char *text;

    if (json_is_object (value))
      format_scalars (value, name, out);
    else if (!is_table (value))
      {
        text = scalar_text (value);
        g_string_append_printf (out, "%s: %s\n", name, text);
        g_free (text);
      }
    g_free (name);
  }
}

static void
format_tables (const json_t *object, GString *out)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)object, key, value)
  {
    if (!is_table (value))
      continue;
    if (out->len > 0)
      g_string_append_c (out, '\n');
    g_string_append_printf (out, "%s (%zu)\n", key, json_array_size (value));
    format_table (value, out);
  }
}

void
gp_cli_format (const json_t *json, GString *out)
{
  char *text;

  if (json_is_object (json))
    {
      format_scalars (json, "", out);
      format_tables (json, out);
      return;
    }
  if (is_table (json))
    {
      format_table (json, out);
      return;
    }
  text = scalar_text (json);
  g_string_append_printf (out, "%s\n", text);
  g_free (text);
}

void
gp_cli_print (const json_t *json, bool as_json)
{
  GString *out;

  if (as_json)
    {
      json_dumpf (json, stdout, JSON_INDENT (2) | JSON_ENCODE_ANY);
      putchar ('\n');
      return;
    }
  out = g_string_new (NULL);
  gp_cli_format (json, out);
  fputs (out->str, stdout);
  g_string_free (out, TRUE);
}

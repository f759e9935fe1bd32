/* Reads the JSON lines of process logs.  */

#include "cli/log_lines.h"

#include <string.h>

#include "cli/cli.h"

static void
clear_line (gpointer data)
{
  json_decref (((gp_log_line_t *)data)->json);
}

static gint
compare_time (gconstpointer a, gconstpointer b)
{
  const gp_log_line_t *left = a;
  const gp_log_line_t *right = b;

  if (left->time == right->time)
    return 0;
  return left->time < right->time ? -1 : 1;
}

/* Parse the JSON object in TEXT; NULL if there is none.  Log files also
   contain lines that are not JSON, and text before and after the object.  */
static json_t *
parse (const char *text)
{
  const char *begin = strchr (text, '{');

  return begin != NULL ? json_loads (begin, JSON_DISABLE_EOF_CHECK, NULL)
                       : NULL;
}

static bool
read_log (GArray *lines, const char *path,
          bool (*wanted) (const json_t *json, void *data), void *data)
{
  char *text = gp_cli_read_file (path, NULL);
  char **rows;

  if (text == NULL)
    return false;
  rows = g_strsplit (text, "\n", -1);
  for (char **row = rows; *row != NULL; row++)
    {
      gp_log_line_t line = { .json = parse (*row) };

      if (line.json == NULL)
        continue;
      line.time = json_integer_value (json_object_get (line.json, "time"));
      if (wanted (line.json, data))
        g_array_append_val (lines, line);
      else
        json_decref (line.json);
    }
  g_strfreev (rows);
  g_free (text);
  return true;
}

GArray *
gp_log_lines_read (char **logs,
                   bool (*wanted) (const json_t *json, void *data), void *data)
{
  GArray *lines = g_array_new (FALSE, FALSE, sizeof (gp_log_line_t));

  g_array_set_clear_func (lines, clear_line);
  for (char **log = logs; *log != NULL; log++)
    if (!read_log (lines, *log, wanted, data))
      {
        g_array_unref (lines);
        return NULL;
      }
  g_array_sort (lines, compare_time);
  return lines;
}

const char *
gp_log_line_text (const gp_log_line_t *line, const char *key)
{
  const char *text = json_string_value (json_object_get (line->json, key));

  return text != NULL ? text : "";
}

int64_t
gp_log_line_number (const gp_log_line_t *line, const char *key,
                    int64_t fallback)
{
  const json_t *value = json_object_get (line->json, key);

  return json_is_integer (value) ? json_integer_value (value) : fallback;
}

/* Lists of errors and warnings about a text.  */

#include "base/issue.h"

static void
issue_free (gpointer data)
{
  gp_issue_t *issue = data;

  g_free (issue->path);
  g_free (issue->value);
  g_free (issue->message);
  g_free (issue->allowed);
  g_free (issue);
}

GPtrArray *
gp_issues_new (void)
{
  return g_ptr_array_new_with_free_func (issue_free);
}

void
gp_issues_add (GPtrArray *issues, const gp_issue_t *issue)
{
  gp_issue_t *copy;

  if (issues->len >= GP_ISSUES_MAX)
    return;
  copy = g_new0 (gp_issue_t, 1);
  copy->severity = issue->severity;
  copy->line = issue->line;
  copy->column = issue->column;
  copy->path = g_strdup (issue->path ? issue->path : "");
  copy->value = g_strdup (issue->value);
  copy->message = g_strdup (issue->message);
  copy->allowed = g_strdup (issue->allowed);
  g_ptr_array_add (issues, copy);
}

static gint
compare_position (gconstpointer left, gconstpointer right)
{
  const gp_issue_t *a = *(const gp_issue_t *const *)left;
  const gp_issue_t *b = *(const gp_issue_t *const *)right;

  if (a->line != b->line)
    return a->line < b->line ? -1 : 1;
  if (a->column != b->column)
    return a->column < b->column ? -1 : 1;
  return 0;
}

/* An insertion sort, because it is stable, which GLib's sort does not
   guarantee; lists are short and nearly sorted.  */
void
gp_issues_sort (GPtrArray *issues)
{
  for (guint i = 1; i < issues->len; i++)
    {
      gpointer moved = issues->pdata[i];
      guint hole = i;

      while (hole > 0
             && compare_position (&issues->pdata[hole - 1], &moved) > 0)
        {
          issues->pdata[hole] = issues->pdata[hole - 1];
          hole--;
        }
      issues->pdata[hole] = moved;
    }
}

size_t
gp_issues_count (const GPtrArray *issues, gp_issue_severity_t severity)
{
  size_t count = 0;

  for (guint i = 0; i < issues->len; i++)
    {
      const gp_issue_t *issue = issues->pdata[i];

      count += issue->severity == severity;
    }
  return count;
}

static const char *
severity_name (gp_issue_severity_t severity)
{
  return severity == GP_ISSUE_ERROR ? "error" : "warning";
}

void
gp_issue_format (const gp_issue_t *issue, const char *name, GString *out)
{
  g_string_append (out, name);
  if (issue->line > 0)
    g_string_append_printf (out, ":%u:%u", issue->line, issue->column);
  g_string_append_printf (out, ": %s: ", severity_name (issue->severity));
  if (issue->path[0] != '\0')
    g_string_append_printf (out, "%s: ", issue->path);
  g_string_append (out, issue->message);
  if (issue->allowed)
    g_string_append_printf (out, " (allowed: %s)", issue->allowed);
}

void
gp_issues_format (const GPtrArray *issues, const char *name, GString *out)
{
  for (guint i = 0; i < issues->len; i++)
    {
      gp_issue_format (issues->pdata[i], name, out);
      g_string_append_c (out, '\n');
    }
}

static json_t *
issue_json (const gp_issue_t *issue)
{
  json_t *json = json_pack ("{s:s, s:i, s:i, s:s, s:s}", "severity",
                            severity_name (issue->severity), "line",
                            (int)issue->line, "column", (int)issue->column,
                            "path", issue->path, "message", issue->message);

  if (issue->value)
    json_object_set_new (json, "value", json_string (issue->value));
  if (issue->allowed)
    json_object_set_new (json, "allowed", json_string (issue->allowed));
  return json;
}

json_t *
gp_issues_json (const GPtrArray *issues)
{
  json_t *list = json_array ();

  for (guint i = 0; i < issues->len; i++)
    json_array_append_new (list, issue_json (issues->pdata[i]));
  return list;
}

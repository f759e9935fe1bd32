/* Merges the timelines of many processes into one total order.  */

#include "cli/timeline_merge.h"

#include <stdbool.h>
#include <string.h>

#define MS_PER_S 1000
#define US_PER_MS 1000

void
gp_timeline_merge_init (gp_timeline_merge_t *merge)
{
  *merge = (gp_timeline_merge_t){ 0 };
  merge->events = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  merge->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
gp_timeline_merge_finish (gp_timeline_merge_t *merge)
{
  g_ptr_array_unref (merge->events);
  g_hash_table_unref (merge->seen);
}

static const char *
text_of (const json_t *event, const char *key)
{
  const char *text = json_string_value (json_object_get (event, key));

  return text ? text : "";
}

static json_int_t
number_of (const json_t *event, const char *key)
{
  return json_integer_value (json_object_get (event, key));
}

static bool
is_event (const json_t *event)
{
  return json_is_string (json_object_get (event, "process"))
         && json_is_string (json_object_get (event, "kind"))
         && json_is_integer (json_object_get (event, "ms"))
         && json_is_integer (json_object_get (event, "sequence"));
}

static bool
matches_filter (const json_t *event, const gp_timeline_filter_t *filter)
{
  if (filter->kind
      && !g_str_has_prefix (text_of (event, "kind"), filter->kind))
    return false;
  if (filter->process
      && strcmp (text_of (event, "process"), filter->process) != 0)
    return false;
  if (filter->task && strcmp (text_of (event, "task"), filter->task) != 0)
    return false;
  return !filter->request
         || strcmp (text_of (event, "request"), filter->request) == 0;
}

static void
add_line (gp_timeline_merge_t *merge, const gp_timeline_filter_t *filter,
          const char *line, size_t size)
{
  json_t *event = json_loadb (line, size, 0, NULL);
  char *identity;

  if (json_is_integer (json_object_get (event, "lost")))
    merge->lost += (size_t)number_of (event, "lost");
  else if (!is_event (event))
    merge->malformed++;
  else if (matches_filter (event, filter))
    {
      identity = g_strdup_printf (
          "%s %s %" JSON_INTEGER_FORMAT, text_of (event, "process"),
          text_of (event, "incarnation"), number_of (event, "sequence"));
      if (g_hash_table_add (merge->seen, identity))
        g_ptr_array_add (merge->events, json_incref (event));
    }
  json_decref (event);
}

void
gp_timeline_merge_add (gp_timeline_merge_t *merge,
                       const gp_timeline_filter_t *filter, const char *text,
                       size_t size)
{
  const char *end = text + size;

  while (text < end)
    {
      const char *newline = memchr (text, '\n', (size_t)(end - text));
      const char *stop = newline ? newline : end;

      if (stop > text)
        add_line (merge, filter, text, (size_t)(stop - text));
      text = newline ? newline + 1 : end;
    }
}

static int
compare_numbers (json_int_t a, json_int_t b)
{
  return (a > b) - (a < b);
}

static gint
compare_events (gconstpointer left, gconstpointer right)
{
  const json_t *a = *(const json_t *const *)left;
  const json_t *b = *(const json_t *const *)right;
  int order = compare_numbers (number_of (a, "ms"), number_of (b, "ms"));

  if (order == 0)
    order
        = compare_numbers (number_of (a, "counter"), number_of (b, "counter"));
  if (order == 0)
    order = strcmp (text_of (a, "process"), text_of (b, "process"));
  if (order == 0)
    order = strcmp (text_of (a, "incarnation"), text_of (b, "incarnation"));
  if (order == 0)
    order = compare_numbers (number_of (a, "sequence"),
                             number_of (b, "sequence"));
  return order;
}

void
gp_timeline_merge_sort (gp_timeline_merge_t *merge)
{
  g_ptr_array_sort (merge->events, compare_events);
}

static void
append_time (GString *out, json_int_t ms)
{
  GDateTime *time = g_date_time_new_from_unix_utc (ms / MS_PER_S);
  char *text = time ? g_date_time_format (time, "%Y-%m-%dT%H:%M:%S") : NULL;

  g_string_append_printf (out, "%s.%03dZ", text ? text : "?",
                          (int)(ms % MS_PER_S));
  g_free (text);
  g_clear_pointer (&time, g_date_time_unref);
}

static void
append_member (GString *out, const json_t *event, const char *key)
{
  const char *text = text_of (event, key);

  if (text[0] != '\0')
    g_string_append_printf (out, " %s=%s", key, text);
}

static void
append_event (GString *out, const json_t *event)
{
  append_time (out, number_of (event, "ms"));
  g_string_append_printf (out, "+%" JSON_INTEGER_FORMAT " %s %s",
                          number_of (event, "counter"),
                          text_of (event, "process"), text_of (event, "kind"));
  append_member (out, event, "request");
  append_member (out, event, "task");
  if (json_object_get (event, "epoch"))
    g_string_append_printf (out, " epoch=%" JSON_INTEGER_FORMAT,
                            number_of (event, "epoch"));
  append_member (out, event, "vm");
  if (text_of (event, "text")[0] != '\0')
    g_string_append_printf (out, ": %s", text_of (event, "text"));
  g_string_append_c (out, '\n');
}

void
gp_timeline_merge_text (const gp_timeline_merge_t *merge, GString *out)
{
  for (guint i = 0; i < merge->events->len; i++)
    append_event (out, merge->events->pdata[i]);
}

/* Trace event format.  */

/* The timestamp of EVENT in microseconds.  The logical counter stands in for
   the microseconds, which keeps the order within a millisecond.  */
static json_int_t
trace_time (const json_t *event)
{
  json_int_t counter = number_of (event, "counter");

  return number_of (event, "ms") * US_PER_MS + MIN (counter, US_PER_MS - 1);
}

/* The process id in the trace of the process of EVENT.  A new process gets the
   next number and a metadata event with its name in LIST.  */
static json_int_t
trace_pid (GHashTable *pids, json_t *list, const json_t *event)
{
  const char *name = text_of (event, "process");
  json_int_t number = GPOINTER_TO_INT (g_hash_table_lookup (pids, name));

  if (number > 0)
    return number;
  number = g_hash_table_size (pids) + 1;
  g_hash_table_insert (pids, g_strdup (name), GINT_TO_POINTER (number));
  json_array_append_new (list,
                         json_pack ("{s:s, s:s, s:I, s:i, s:{s:s}}", "ph", "M",
                                    "name", "process_name", "pid", number,
                                    "tid", 0, "args", "name", name));
  return number;
}

/* If EVENT starts or ends a task, append the begin or end event of the task's
   asynchronous event pair.  */
static void
append_task_span (json_t *list, const json_t *event, json_int_t process)
{
  const char *kind = text_of (event, "kind");
  const char *phase = NULL;

  if (strcmp (kind, "task.started") == 0)
    phase = "b";
  else if (strcmp (kind, "task.ended") == 0)
    phase = "e";
  if (!phase || text_of (event, "task")[0] == '\0')
    return;
  json_array_append_new (
      list, json_pack ("{s:s, s:s, s:s, s:s, s:I, s:I, s:i}", "ph", phase,
                       "cat", "task", "name", text_of (event, "task"), "id",
                       text_of (event, "task"), "ts", trace_time (event),
                       "pid", process, "tid", 0));
}

json_t *
gp_timeline_merge_trace (const gp_timeline_merge_t *merge)
{
  GHashTable *pids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  json_t *list = json_array ();

  for (guint i = 0; i < merge->events->len; i++)
    {
      json_t *event = merge->events->pdata[i];
      json_int_t process = trace_pid (pids, list, event);

      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:s, s:I, s:I, s:i, s:O}", "ph", "i",
                           "s", "p", "name", text_of (event, "kind"), "ts",
                           trace_time (event), "pid", process, "tid", 0,
                           "args", event));
      append_task_span (list, event, process);
    }
  g_hash_table_unref (pids);
  return json_pack ("{s:o, s:s}", "traceEvents", list, "displayTimeUnit",
                    "ms");
}

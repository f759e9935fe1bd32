/* galenapier explain ID LOG...: all log lines of all processes about one job,
   task, executor or zone, or about rejected malformed input.  */

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/time.h"
#include "cli/cli.h"
#include "cli/log_lines.h"

/* Given instead of an ID, selects the lines about malformed external input
   that was rejected.  */
#define REFUSED "refused"
#define REFUSAL_SUFFIX ".malformed"
#define UNCONFIRMED_EVENT "executor.unconfirmed"
/* A submission that the forecast of room refused.  */
#define NO_ROOM_EVENT "job.refused"

/* Whether member KEY is ID, or a task of job ID: the name of a task is the id
   of its job, a "." and a suffix.  */
static bool
id_matches (const json_t *json, const char *key, const char *id)
{
  const char *value = json_string_value (json_object_get (json, key));
  size_t size = strlen (id);

  return value != NULL && strncmp (value, id, size) == 0
         && (value[size] == '\0' || value[size] == '.');
}

static bool
is_refusal (const json_t *json)
{
  const char *event = json_string_value (json_object_get (json, "event"));

  return event != NULL
         && (g_str_has_suffix (event, REFUSAL_SUFFIX)
             || strcmp (event, UNCONFIRMED_EVENT) == 0);
}

static bool
is_about (const json_t *json, void *data)
{
  const char *id = data;

  if (strcmp (id, REFUSED) == 0)
    return is_refusal (json);
  return id_matches (json, "job", id) || id_matches (json, "task", id)
         || id_matches (json, "executor", id) || id_matches (json, "zone", id);
}

static bool
is_common (const char *key)
{
  return strcmp (key, "time") == 0 || strcmp (key, "level") == 0
         || strcmp (key, "process") == 0 || strcmp (key, "event") == 0;
}

static void
print_fields (json_t *json)
{
  const char *key;
  json_t *value;

  json_object_foreach (json, key, value)
  {
    if (is_common (key))
      continue;
    if (json_is_string (value))
      printf (" %s=%s", key, json_string_value (value));
    else
      printf (" %s=%" JSON_INTEGER_FORMAT, key, json_integer_value (value));
  }
}

/* Print in words what the forecast of a refused submission was based on.  */
static void
print_forecast (const gp_log_line_t *line)
{
  int64_t margin_ms = gp_log_line_number (line, "margin_ms", 0);
  int64_t end_ms = gp_log_line_number (line, "forecast_ms", 0) + margin_ms;

  printf ("    refused, nothing was done: forecast to be done after %.1f s, "
          "%.1f s of that for errors of earlier forecasts (%" PRId64
          " permille); useful for %.1f s\n",
          (double)end_ms / 1000.0, (double)margin_ms / 1000.0,
          gp_log_line_number (line, "error_permille", 0),
          (double)gp_log_line_number (line, "useful_ms", 0) / 1000.0);
  printf (
      "    ahead of it: %.1f core seconds that reserve processors, %.1f of "
      "filling work, by a forecast %.1f s old\n",
      (double)gp_log_line_number (line, "reserved_ahead_ms", 0) / 1000.0,
      (double)gp_log_line_number (line, "filling_ahead_ms", 0) / 1000.0,
      (double)gp_log_line_number (line, "record_age_ms", 0) / 1000.0);
}

/* Print per line: milliseconds since the first line, milliseconds since the
   previous line, process, event and the other fields.  */
static void
print_lines (const GArray *lines)
{
  const gp_log_line_t *first = &g_array_index (lines, gp_log_line_t, 0);
  json_int_t previous = first->time;

  for (guint i = 0; i < lines->len; i++)
    {
      const gp_log_line_t *line = &g_array_index (lines, gp_log_line_t, i);

      printf ("%9.1f %+8.1f ms  %s %s",
              (double)(line->time - first->time) / GP_MSEC,
              (double)(line->time - previous) / GP_MSEC,
              json_string_value (json_object_get (line->json, "process")),
              json_string_value (json_object_get (line->json, "event")));
      print_fields (line->json);
      putchar ('\n');
      if (strcmp (gp_log_line_text (line, "event"), NO_ROOM_EVENT) == 0)
        print_forecast (line);
      previous = line->time;
    }
}

static void
print_json (const GArray *lines)
{
  for (guint i = 0; i < lines->len; i++)
    {
      json_dumpf (g_array_index (lines, gp_log_line_t, i).json, stdout,
                  JSON_COMPACT);
      putchar ('\n');
    }
}

gp_cli_exit_t
gp_cli_explain_logs (gp_cli_t *cli, const char *id, char **logs)
{
  GArray *lines = gp_log_lines_read (logs, is_about, (void *)id);
  gp_cli_exit_t status = GP_CLI_OK;

  if (lines == NULL)
    return GP_CLI_USAGE;
  if (lines->len == 0)
    {
      gp_cli_error ("no line of these logs names %s", id);
      status = GP_CLI_REFUSED;
    }
  if (lines->len > 0 && cli->json)
    print_json (lines);
  else if (lines->len > 0)
    print_lines (lines);
  g_array_unref (lines);
  return status;
}

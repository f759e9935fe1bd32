/* Structured log lines: one JSON object a line on standard error.  */

#include "base/log.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#include "base/time.h"

static const char *log_process = "galenapier";
static gp_log_level_t log_threshold = GP_LOG_INFO;

static const char *const level_names[]
    = { "debug", "info", "warning", "error" };

void
gp_log_init (const char *process, gp_log_level_t level)
{
  log_process = process;
  log_threshold = level;
}

static void
set_field (json_t *line, const gp_log_field_t *field)
{
  switch (field->kind)
    {
    case GP_LOG_FIELD_STRING:
      json_object_set_new (
          line, field->name,
          json_string (field->u.string ? field->u.string : ""));
      break;
    case GP_LOG_FIELD_INTEGER:
      json_object_set_new (line, field->name, json_integer (field->u.integer));
      break;
    case GP_LOG_FIELD_END:
      break;
    }
}

void
gp_log_write (gp_log_level_t level, const char *event,
              const gp_log_field_t *fields)
{
  json_t *line;
  char *text;
  int64_t wall;

  if (level < log_threshold)
    return;
  line = json_object ();
  wall = gp_time_wall ();
  json_object_set_new (line, "time", json_integer (wall));
  json_object_set_new (line, "level", json_string (level_names[level]));
  json_object_set_new (line, "process", json_string (log_process));
  json_object_set_new (line, "event", json_string (event));
  for (; fields->kind != GP_LOG_FIELD_END; fields++)
    set_field (line, fields);
  text = json_dumps (line, JSON_COMPACT);
  if (text != NULL)
    fprintf (stderr, "%s\n", text);
  free (text);
  json_decref (line);
}

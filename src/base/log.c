/* Structured log: one JSON object per line.

   A line is written with one write of at most PIPE_BUF bytes, and only when it
   does not block, so that a slow or missing reader never stalls a process.
   Lines that are dropped, for that reason or because an event exceeded its
   rate limit, are counted, and the next line reports their number.  */

#include "base/log.h"

#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <limits.h>
#include <poll.h>
#include <string.h>
#include <sys/uio.h>
#include <unistd.h>

#include "base/counters.h"
#include "base/time.h"

/* Maximum number of lines of one event per second.  The peak at known sites is
   about 150 run decisions per second on one entry.  */
#define MAX_LINES_PER_SECOND 400
/* Number of events with a limit of their own; further events share the last
   one.  */
#define MAX_EVENTS 96

/* The number of lines of an event in the current second.  */
typedef struct
{
  const char *event;
  gp_time_t second;
  unsigned lines;
} rate_limit_t;

static const char *log_process = "galenapier";
static gp_log_level_t log_threshold = GP_LOG_INFO;
static int log_descriptor = STDERR_FILENO;
static rate_limit_t rate_limits[MAX_EVENTS];
static int64_t dropped; /* lines dropped since the last written line */

static gp_counter_t lines_count
    = GP_COUNTER ("log_lines_total", "Log lines written");
static gp_counter_t dropped_count = GP_COUNTER (
    "log_lines_left_out_total", "Log lines over the budget or not taken");

static const char *const level_names[]
    = { "debug", "info", "warning", "error" };

void
gp_log_init (const char *process, gp_log_level_t level)
{
  log_process = process;
  log_threshold = level;
  gp_counter_register (&lines_count);
  gp_counter_register (&dropped_count);
}

void
gp_log_to_stdout (void)
{
  log_descriptor = STDOUT_FILENO;
}

static rate_limit_t *
find_rate_limit (const char *event)
{
  unsigned i = 0;

  while (i < MAX_EVENTS - 1 && rate_limits[i].event != NULL
         && strcmp (rate_limits[i].event, event) != 0)
    i++;
  if (rate_limits[i].event == NULL)
    rate_limits[i].event = event;
  return &rate_limits[i];
}

/* Count a line of EVENT and return whether it is within the limit.  */
static bool
check_rate_limit (const char *event, int64_t wall)
{
  rate_limit_t *limit = find_rate_limit (event);
  gp_time_t second = wall / GP_SEC;

  if (limit->second != second)
    {
      limit->second = second;
      limit->lines = 0;
    }
  return ++limit->lines <= MAX_LINES_PER_SECOND;
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

static bool
is_writable (void)
{
  struct pollfd descriptor = { .fd = log_descriptor, .events = POLLOUT };

  return poll (&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

/* Write TEXT and a newline; false when they could not be written completely
   without blocking.  */
static bool
write_line (const char *text)
{
  size_t size = strlen (text);
  struct iovec parts[] = { { (void *)text, size }, { (void *)"\n", 1 } };
  ssize_t written;

  if (size + 1 > PIPE_BUF || !is_writable ())
    return false;
  do
    written = writev (log_descriptor, parts, G_N_ELEMENTS (parts));
  while (written < 0 && errno == EINTR);
  return written == (ssize_t)(size + 1);
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
  wall = gp_time_wall ();
  if (!check_rate_limit (event, wall))
    {
      dropped++;
      gp_counter_add (&dropped_count, 1);
      return;
    }
  line = json_object ();
  json_object_set_new (line, "time", json_integer (wall));
  json_object_set_new (line, "level", json_string (level_names[level]));
  json_object_set_new (line, "process", json_string (log_process));
  json_object_set_new (line, "event", json_string (event));
  for (; fields->kind != GP_LOG_FIELD_END; fields++)
    set_field (line, fields);
  if (dropped > 0)
    json_object_set_new (line, "lines_left_out", json_integer (dropped));
  text = json_dumps (line, JSON_COMPACT);
  if (text != NULL && write_line (text))
    {
      dropped = 0;
      gp_counter_add (&lines_count, 1);
    }
  else
    {
      dropped++;
      gp_counter_add (&dropped_count, 1);
    }
  free (text);
  json_decref (line);
}

/* Timeline: the last events of one process.  */

#include "base/timeline.h"

#include <jansson.h>
#include <string.h>

#define KIND_NAME(name, text) [GP_TIMELINE_##name] = (text),
static const char *const kind_names[] = { GP_TIMELINE_KINDS (KIND_NAME) };
#undef KIND_NAME

const char *
gp_timeline_kind_name (gp_timeline_kind_t kind)
{
  return kind_names[kind];
}

void
gp_timeline_init (gp_timeline_t *timeline, const char *process,
                  uint64_t incarnation, gp_timeline_event_t *events,
                  size_t size)
{
  gp_hlc_init (&timeline->clock);
  timeline->process = process;
  timeline->incarnation = incarnation;
  timeline->next_sequence = 1;
  timeline->events = events;
  timeline->size = size;
}

/* Copy FROM, truncated between two UTF-8 characters if it is too long.  */
static void
copy_text (char *to, size_t size, const char *from)
{
  size_t length = from != NULL ? strnlen (from, size) : 0;

  if (length == size)
    {
      length--;
      while (length > 0 && ((unsigned char)from[length] & 0xc0) == 0x80)
        length--;
    }
  if (length > 0)
    memcpy (to, from, length);
  to[length] = '\0';
}

gp_hlc_stamp_t
gp_timeline_append (gp_timeline_t *timeline, gp_timeline_kind_t kind,
                    const gp_timeline_subject_t *subject, const char *text,
                    int64_t wall)
{
  uint64_t sequence = timeline->next_sequence++;
  gp_timeline_event_t *event = &timeline->events[sequence % timeline->size];

  event->stamp = gp_hlc_tick (&timeline->clock, wall);
  event->sequence = sequence;
  event->kind = kind;
  event->request = subject->request;
  event->task = subject->task;
  event->epoch = subject->epoch;
  copy_text (event->vm, sizeof event->vm, subject->vm);
  copy_text (event->text, sizeof event->text, text);
  return event->stamp;
}

void
gp_timeline_receive (gp_timeline_t *timeline, gp_hlc_stamp_t remote,
                     int64_t wall)
{
  gp_hlc_stamp_t stamp;

  gp_hlc_receive (&timeline->clock, remote, wall, &stamp);
}

const gp_timeline_event_t *
gp_timeline_get (const gp_timeline_t *timeline, uint64_t sequence)
{
  if (sequence == 0 || sequence >= timeline->next_sequence
      || timeline->next_sequence - sequence > timeline->size)
    return NULL;
  return &timeline->events[sequence % timeline->size];
}

/* Export.  */

/* Identifiers are exported as text, because JSON numbers cannot hold 64
   bits.  */
static void
set_id (json_t *line, const char *key, uint64_t id)
{
  char text[17];

  if (id == 0)
    return;
  g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", id);
  json_object_set_new (line, key, json_string (text));
}

static void
set_text (json_t *line, const char *key, const char *text)
{
  if (text[0] == '\0')
    return;
  json_object_set_new (line, key, json_string (text));
}

static json_t *
new_line (const gp_timeline_t *timeline)
{
  json_t *line = json_object ();

  set_text (line, "process", timeline->process);
  set_id (line, "incarnation", timeline->incarnation);
  return line;
}

static void
append_line (GString *out, json_t *line)
{
  char *text = json_dumps (line, JSON_COMPACT);

  g_string_append (out, text);
  g_string_append_c (out, '\n');
  free (text);
  json_decref (line);
}

static json_t *
event_to_json (const gp_timeline_t *timeline, const gp_timeline_event_t *event)
{
  json_t *line = new_line (timeline);

  json_object_set_new (line, "sequence",
                       json_integer ((json_int_t)event->sequence));
  json_object_set_new (
      line, "ms", json_integer ((json_int_t)gp_hlc_stamp_ms (event->stamp)));
  json_object_set_new (line, "counter",
                       json_integer (gp_hlc_stamp_counter (event->stamp)));
  json_object_set_new (line, "kind", json_string (kind_names[event->kind]));
  set_id (line, "request", event->request);
  set_id (line, "task", event->task);
  if (event->epoch != 0)
    json_object_set_new (line, "epoch",
                         json_integer ((json_int_t)event->epoch));
  set_text (line, "vm", event->vm);
  set_text (line, "text", event->text);
  return line;
}

uint64_t
gp_timeline_export (const gp_timeline_t *timeline, uint64_t since, size_t max,
                    GString *out)
{
  uint64_t last = timeline->next_sequence - 1;
  uint64_t oldest = last > timeline->size ? last - timeline->size + 1 : 1;
  uint64_t end;

  if (since > last)
    since = 0; /* the cursor is from a previous start of this process */
  if (since + 1 < oldest)
    {
      json_t *line = new_line (timeline);

      json_object_set_new (line, "lost",
                           json_integer ((json_int_t)(oldest - 1 - since)));
      append_line (out, line);
      since = oldest - 1;
    }
  end = last - since > max ? since + max : last;
  while (since < end)
    {
      since++;
      append_line (
          out, event_to_json (timeline, gp_timeline_get (timeline, since)));
    }
  return end;
}

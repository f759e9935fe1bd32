/* Merges the timelines of many processes into one total order.

   Every process serves its events as JSON lines (base/timeline.h).  The merge
   keeps each event once, even if it was received several times, and orders
   the events by hybrid logical time, then process, incarnation and
   sequence.  */

#ifndef GP_CLI_TIMELINE_MERGE_H
#define GP_CLI_TIMELINE_MERGE_H

#include <glib.h>
#include <jansson.h>
#include <stddef.h>

typedef struct
{
  GPtrArray *events; /* of json_t, sorted by gp_timeline_merge_sort */
  GHashTable *seen;  /* identities of the events received */
  size_t malformed;  /* lines that were dropped */
  size_t lost;       /* events that their processes no longer keep */
} gp_timeline_merge_t;

/* Selects the events to keep; a NULL member matches any.  */
typedef struct
{
  const char *kind; /* a prefix: "task." matches "task.started" */
  const char *process;
  const char *task;
  const char *request;
} gp_timeline_filter_t;

void gp_timeline_merge_init (gp_timeline_merge_t *merge);
void gp_timeline_merge_finish (gp_timeline_merge_t *merge);

/* Add the JSON lines of TEXT that pass FILTER.  */
void gp_timeline_merge_add (gp_timeline_merge_t *merge,
                            const gp_timeline_filter_t *filter,
                            const char *text, size_t size);

void gp_timeline_merge_sort (gp_timeline_merge_t *merge);

/* Append the events to OUT as human-readable lines.  */
void gp_timeline_merge_text (const gp_timeline_merge_t *merge, GString *out);

/* The events in the JSON trace event format, owned by the caller.  Each
   process of the site is a process of the trace, and each event an instant
   event of it; the start and the end of a task also form an asynchronous
   event pair.  */
json_t *gp_timeline_merge_trace (const gp_timeline_merge_t *merge);

#endif

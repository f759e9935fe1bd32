/* Events of many processes in one order.

   Every process hands out its events as JSON lines (base/timeline.h).  The
   merge keeps each event once, whoever handed it out, and orders them by
   hybrid logical time, then process, incarnation and sequence.  */

#ifndef GP_CLI_TIMELINE_MERGE_H
#define GP_CLI_TIMELINE_MERGE_H

#include <glib.h>
#include <jansson.h>
#include <stddef.h>

typedef struct
{
  GPtrArray *events; /* of json_t, in the order of the merge after _sort */
  GHashTable *seen;
  size_t malformed; /* lines that were dropped */
  size_t lost;      /* events that their processes no longer had */
} gp_timeline_merge_t;

/* Which events to keep; NULL: any.  */
typedef struct
{
  const char *kind; /* "task." keeps all kinds that start so */
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

/* Append the events as lines for people.  */
void gp_timeline_merge_text (const gp_timeline_merge_t *merge, GString *out);

/* The events as the JSON that trace viewers open: each process is one of
   the trace, with a track for its VM; events with a task also span a bar
   from the task's start to its end.  */
json_t *gp_timeline_merge_trace (const gp_timeline_merge_t *merge);

#endif

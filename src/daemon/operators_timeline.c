/* Operators: timelines and counters, of this entry or of any process that an
   entry has a session to.  */

#include <string.h>

#include "daemon/entry.h"

#define TYPE_LINES "application/x-ndjson"
#define TYPE_TEXT "text/plain; version=0.0.4"

static void
answer_own (const gp_operators_request_t *request,
            const Gp__Wire__ViewAsk *ask, const char *type)
{
  GString *text = g_string_new (NULL);

  gp_view_fill (&request->entry->timeline, ask, text);
  gp_operators_answer_text (request->exchange, 200, type, text->str,
                            text->len);
  g_string_free (text, TRUE);
}

/* The session over which a view of PROCESS can be requested: that to PROCESS,
   or that to an entry which receives its heartbeats; then ASK is set to be
   forwarded.  Returns NULL if there is none.  */
static gp_session_t *
find_view_session (gp_entry_t *entry, const char *process,
                   Gp__Wire__ViewAsk *ask)
{
  gp_session_t *session = gp_views_find_session (&entry->views, process);
  const gp_member_t *member
      = gp_members_find (&entry->routes.members, process);
  const char *reporter = NULL;

  if (session != NULL)
    return session;
  if (member != NULL)
    reporter = gp_member_reporter (member);
  ask->process = (char *)process;
  return reporter == NULL ? NULL
                          : gp_views_find_session (&entry->views, reporter);
}

static void
request_view (const gp_operators_request_t *request, const char *process,
              Gp__Wire__ViewAsk *ask)
{
  gp_entry_t *entry = request->entry;
  gp_session_t *session = find_view_session (entry, process, ask);

  if (session != NULL)
    gp_views_answer (&entry->views, request->exchange, session, ask);
  else
    gp_operators_answer_error (request->exchange, 404,
                               "no entry has a connection to such a process");
}

static void
answer_view (const gp_operators_request_t *request, Gp__Wire__ViewAsk *ask,
             const char *type)
{
  gp_entry_t *entry = request->entry;
  char *process = gp_operators_query_string (request, "process");

  if (process == NULL || strcmp (process, entry->settings->name) == 0)
    answer_own (request, ask, type);
  else
    request_view (request, process, ask);
  g_free (process);
}

static void
answer_timeline (const gp_operators_request_t *request)
{
  Gp__Wire__ViewAsk ask = GP__WIRE__VIEW_ASK__INIT;
  uint64_t max;

  ask.kind = GP__WIRE__VIEW_KIND__VIEW_KIND_TIMELINE;
  if (!gp_operators_query_number (request, "since", 0, &ask.since)
      || !gp_operators_query_number (request, "max", GP_VIEW_EVENTS_MAX, &max))
    {
      gp_operators_answer_error (request->exchange, 400,
                                 "`since' and `max' must be numbers");
      return;
    }
  ask.max = (uint32_t)MIN (max, GP_VIEW_EVENTS_MAX);
  answer_view (request, &ask, TYPE_LINES);
}

static void
answer_counters (const gp_operators_request_t *request)
{
  Gp__Wire__ViewAsk ask = GP__WIRE__VIEW_ASK__INIT;

  ask.kind = GP__WIRE__VIEW_KIND__VIEW_KIND_COUNTERS;
  answer_view (request, &ask, TYPE_TEXT);
}

const gp_operators_route_t gp_operators_timeline_routes[] = {
  { "GET", "/v1/timeline", GP_OPERATORS_EXACT, answer_timeline },
  { "GET", "/v1/counters", GP_OPERATORS_EXACT, answer_counters },
  { NULL, NULL, GP_OPERATORS_EXACT, NULL },
};

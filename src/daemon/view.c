/* Views for operators between processes.  */

#include "daemon/view.h"

#include <string.h>

#include "base/counters.h"
#include "daemon/operators.h"

#define VIEW_TIMEOUT (5 * GP_SEC)
#define OPEN_MAX 256
#define TYPE_LINES "application/x-ndjson"
#define TYPE_TEXT "text/plain; version=0.0.4"

typedef struct
{
  gp_views_t *views;
  gp_http_exchange_t *exchange;
  gp_session_t *session;
  gp_timer_t timer;
  uint64_t id;
  Gp__Wire__ViewKind kind;
} view_t;

static gp_counter_t asked = GP_COUNTER (
    "views_asked_total", "Views asked of other processes for operators.");
static gp_counter_t lost = GP_COUNTER (
    "views_lost_total", "Views that another process did not give in time.");

/* The end of a question; its exchange has been answered or is gone.  */
static void
view_free (gpointer data)
{
  view_t *view = data;

  gp_timer_finish (&view->timer);
  g_free (view);
}

static void
end_view (view_t *view)
{
  uint64_t id = view->id;

  g_hash_table_remove (view->views->open, &id);
}

static void
fail_view (view_t *view, int status, const char *message)
{
  gp_counter_add (&lost, 1);
  gp_operators_fail (view->exchange, status, message);
  end_view (view);
}

static void
on_gone (void *data)
{
  end_view (data);
}

static void
on_timeout (gp_timer_t *timer, void *data)
{
  (void)timer;
  fail_view (data, 504, "the process did not answer in time");
}

static gp_session_t *
find_session (const gp_views_t *views, const char *process)
{
  GP_LIST_FOREACH (pos, &views->host->sessions)
  {
    gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (session->ready && strcmp (session->process, process) == 0)
      return session;
  }
  return NULL;
}

static view_t *
view_new (gp_views_t *views, gp_http_exchange_t *exchange,
          gp_session_t *session, Gp__Wire__ViewKind kind)
{
  view_t *view = g_new0 (view_t, 1);

  view->views = views;
  view->exchange = exchange;
  view->session = session;
  view->kind = kind;
  view->id = ++views->next_id;
  gp_timer_init (&view->timer, views->host->loop, on_timeout, view);
  gp_timer_arm (&view->timer, gp_loop_now (views->host->loop) + VIEW_TIMEOUT);
  g_hash_table_insert (views->open, &view->id, view);
  gp_http_exchange_watch (exchange, on_gone, NULL, view);
  return view;
}

void
gp_views_ask (gp_views_t *views, gp_http_exchange_t *exchange,
              const char *process, Gp__Wire__ViewAsk *ask)
{
  Gp__Wire__Envelope envelope = GP_ENVELOPE (VIEW_ASK, view_ask, ask);
  gp_session_t *session = find_session (views, process);
  view_t *view;

  if (session == NULL)
    {
      gp_operators_fail (exchange, 404,
                         "this entry has no connection to such a process");
      return;
    }
  if (g_hash_table_size (views->open) >= OPEN_MAX)
    {
      gp_operators_fail (exchange, 503, "too many open questions");
      return;
    }
  view = view_new (views, exchange, session, ask->kind);
  ask->id = view->id;
  gp_counter_add (&asked, 1);
  if (!gp_session_send (session, &envelope))
    fail_view (view, 502, "the connection to the process is closing");
}

void
gp_views_on_view (gp_views_t *views, gp_session_t *session,
                  const Gp__Wire__View *message)
{
  uint64_t id = message->id;
  view_t *view = g_hash_table_lookup (views->open, &id);
  bool lines;

  if (view == NULL || view->session != session)
    return;
  lines = view->kind == GP__WIRE__VIEW_KIND__VIEW_KIND_TIMELINE;
  gp_operators_answer_text (
      view->exchange, 200, lines ? TYPE_LINES : TYPE_TEXT,
      (const char *)message->text.data, message->text.len);
  end_view (view);
}

void
gp_views_on_closed (gp_views_t *views, gp_session_t *session)
{
  GList *open = g_hash_table_get_values (views->open);

  for (GList *pos = open; pos != NULL; pos = pos->next)
    {
      view_t *view = pos->data;

      if (view->session == session)
        fail_view (view, 502, "the connection to the process was lost");
    }
  g_list_free (open);
}

void
gp_views_init (gp_views_t *views, gp_session_host_t *host)
{
  *views = (gp_views_t){ .host = host };
  views->open
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, view_free);
  gp_counter_register (&asked);
  gp_counter_register (&lost);
}

void
gp_views_finish (gp_views_t *views)
{
  g_hash_table_unref (views->open);
}

/* Serving.  */

uint64_t
gp_view_fill (const gp_timeline_t *timeline, const Gp__Wire__ViewAsk *ask,
              GString *out)
{
  size_t max = ask->max;

  switch (ask->kind)
    {
    case GP__WIRE__VIEW_KIND__VIEW_KIND_TIMELINE:
      return gp_timeline_export (timeline, ask->since,
                                 MIN (max, GP_VIEW_EVENTS_MAX), out);
    case GP__WIRE__VIEW_KIND__VIEW_KIND_COUNTERS:
      gp_counters_format (out);
      return 0;
    case GP__WIRE__VIEW_KIND__VIEW_KIND_UNSPECIFIED:
    case _GP__WIRE__VIEW_KIND_IS_INT_SIZE:
      break;
    }
  return 0;
}

void
gp_view_serve (gp_session_t *session, const gp_timeline_t *timeline,
               const Gp__Wire__ViewAsk *ask)
{
  Gp__Wire__View view = GP__WIRE__VIEW__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (VIEW, view, &view);
  GString *text = g_string_new (NULL);

  view.id = ask->id;
  view.next = gp_view_fill (timeline, ask, text);
  view.text.data = (uint8_t *)text->str;
  view.text.len = text->len;
  gp_session_send (session, &envelope);
  g_string_free (text, TRUE);
}

/* Views: timelines and counters of processes, for operators.  */

#include "daemon/view.h"

#include <string.h>

#include "base/counters.h"
#include "daemon/operators.h"

#define VIEW_TIMEOUT (5 * GP_SEC)
#define OPEN_MAX 256
#define TYPE_LINES "application/x-ndjson"
#define TYPE_TEXT "text/plain; version=0.0.4"

struct gp_view
{
  gp_views_t *views;
  gp_session_t *session;
  gp_time_t deadline;
  uint64_t id;
  gp_view_done_t done;
  void *data;
};

/* An operator's HTTP request that waits for a view.  */
typedef struct
{
  gp_http_exchange_t *exchange;
  gp_view_t *view;
  Gp__Wire__ViewKind kind;
} waiter_t;

/* A request that is forwarded for another entry.  */
typedef struct
{
  gp_list_t link;
  gp_session_t *from;
  gp_view_t *view;
  uint64_t id; /* of the other entry's request */
} forward_t;

static gp_counter_t views_requested = GP_COUNTER (
    "views_asked_total", "Views asked of other processes for operators.");
static gp_counter_t views_lost = GP_COUNTER (
    "views_lost_total", "Views that another process did not give in time.");

/* Requests.  */

void
gp_view_cancel (gp_view_t *view)
{
  uint64_t id = view->id;

  g_hash_table_remove (view->views->open, &id);
}

static void
finish_view (gp_view_t *view, gp_view_result_t result,
             const Gp__Wire__View *message)
{
  gp_view_done_t done = view->done;
  void *data = view->data;

  if (result != GP_VIEW_RECEIVED)
    gp_counter_add (&views_lost, 1);
  gp_view_cancel (view);
  done (result, message, data);
}

static void
arm_timer (gp_views_t *views)
{
  gp_time_t first = GP_TIME_NEVER;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, views->open);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    first = MIN (first, ((gp_view_t *)value)->deadline);
  if (first == GP_TIME_NEVER)
    gp_timer_disarm (&views->timer);
  else
    gp_timer_arm (&views->timer, first);
}

static gboolean
has_timed_out (gpointer key, gpointer value, gpointer now)
{
  const gp_view_t *view = value;

  (void)key;
  return view->deadline <= *(const gp_time_t *)now;
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_views_t *views = data;
  gp_time_t now = gp_loop_now (views->host->loop);
  gp_view_t *view;

  (void)timer;
  while ((view = g_hash_table_find (views->open, has_timed_out, &now)) != NULL)
    finish_view (view, GP_VIEW_TIMED_OUT, NULL);
  arm_timer (views);
}

gp_session_t *
gp_views_find_session (const gp_views_t *views, const char *process)
{
  GP_LIST_FOREACH (pos, &views->host->sessions)
  {
    gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (session->ready && session->peer != NULL
        && strcmp (session->process, process) == 0)
      return session;
  }
  return NULL;
}

gp_view_t *
gp_views_request (gp_views_t *views, gp_session_t *session,
                  Gp__Wire__ViewAsk *ask, gp_time_t timeout,
                  gp_view_done_t done, void *data)
{
  Gp__Wire__Envelope envelope = GP_ENVELOPE (VIEW_ASK, view_ask, ask);
  gp_view_t *view;

  if (g_hash_table_size (views->open) >= OPEN_MAX)
    return NULL;
  ask->id = ++views->next_id;
  if (!gp_session_send (session, &envelope))
    return NULL;
  view = g_new0 (gp_view_t, 1);
  view->views = views;
  view->session = session;
  view->id = ask->id;
  view->done = done;
  view->data = data;
  view->deadline = gp_loop_now (views->host->loop) + timeout;
  g_hash_table_insert (views->open, &view->id, view);
  arm_timer (views);
  gp_counter_add (&views_requested, 1);
  return view;
}

void
gp_views_on_view (gp_views_t *views, gp_session_t *session,
                  const Gp__Wire__View *message)
{
  uint64_t id = message->id;
  gp_view_t *view = g_hash_table_lookup (views->open, &id);

  if (view != NULL && view->session == session)
    finish_view (view, GP_VIEW_RECEIVED, message);
}

/* Operators.  */

static void
answer_waiter (const waiter_t *waiter, const Gp__Wire__View *view)
{
  bool lines = waiter->kind == GP__WIRE__VIEW_KIND__VIEW_KIND_TIMELINE;

  if (view->missing)
    gp_operators_answer_error (waiter->exchange, 404,
                               "no entry has a connection to such a process");
  else
    gp_operators_answer_text (waiter->exchange, 200,
                              lines ? TYPE_LINES : TYPE_TEXT,
                              (const char *)view->text.data, view->text.len);
}

static void
on_waiter_view (gp_view_result_t result, const Gp__Wire__View *view,
                void *data)
{
  waiter_t *waiter = data;

  switch (result)
    {
    case GP_VIEW_RECEIVED:
      answer_waiter (waiter, view);
      break;
    case GP_VIEW_TIMED_OUT:
      gp_operators_answer_error (waiter->exchange, 504,
                                 "the process did not answer in time");
      break;
    case GP_VIEW_DISCONNECTED:
      gp_operators_answer_error (waiter->exchange, 502,
                                 "the connection to the process was lost");
      break;
    }
  g_free (waiter);
}

static void
on_waiter_gone (void *data)
{
  waiter_t *waiter = data;

  gp_view_cancel (waiter->view);
  g_free (waiter);
}

void
gp_views_answer (gp_views_t *views, gp_http_exchange_t *exchange,
                 gp_session_t *session, Gp__Wire__ViewAsk *ask)
{
  waiter_t *waiter = g_new0 (waiter_t, 1);

  waiter->exchange = exchange;
  waiter->kind = ask->kind;
  waiter->view = gp_views_request (views, session, ask, VIEW_TIMEOUT,
                                   on_waiter_view, waiter);
  if (waiter->view != NULL)
    {
      gp_http_exchange_watch (exchange, on_waiter_gone, NULL, waiter);
      return;
    }
  g_free (waiter);
  gp_operators_answer_error (exchange, 503, "the process cannot be asked now");
}

/* Forwarding for other entries.  */

static void
send_missing (gp_session_t *session, uint64_t id)
{
  Gp__Wire__View view = GP__WIRE__VIEW__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (VIEW, view, &view);

  view.id = id;
  view.missing = true;
  gp_session_send (session, &envelope);
}

static void
forward_free (forward_t *forward)
{
  gp_list_remove (&forward->link);
  g_free (forward);
}

/* A view that did not arrive is answered as missing.  After a timeout the
   requesting entry has normally timed out as well and ignores the answer.  */
static void
on_forward_view (gp_view_result_t result, const Gp__Wire__View *view,
                 void *data)
{
  forward_t *forward = data;
  Gp__Wire__View back;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (VIEW, view, &back);

  switch (result)
    {
    case GP_VIEW_RECEIVED:
      back = *view;
      back.id = forward->id;
      gp_session_send (forward->from, &envelope);
      break;
    case GP_VIEW_TIMED_OUT:
    case GP_VIEW_DISCONNECTED:
      send_missing (forward->from, forward->id);
      break;
    }
  forward_free (forward);
}

void
gp_views_forward (gp_views_t *views, gp_session_t *from,
                  const Gp__Wire__ViewAsk *ask)
{
  gp_session_t *session = gp_views_find_session (views, ask->process);
  Gp__Wire__ViewAsk forwarded = *ask;
  forward_t *forward;

  if (session == NULL)
    {
      send_missing (from, ask->id);
      return;
    }
  forwarded.process = "";
  forward = g_new0 (forward_t, 1);
  forward->from = from;
  forward->id = ask->id;
  gp_list_push_back (&views->forwards, &forward->link);
  forward->view = gp_views_request (views, session, &forwarded, VIEW_TIMEOUT,
                                    on_forward_view, forward);
  if (forward->view != NULL)
    return;
  send_missing (from, ask->id);
  forward_free (forward);
}

/* Sessions.  */

static gboolean
is_of_session (gpointer key, gpointer value, gpointer session)
{
  const gp_view_t *view = value;

  (void)key;
  return view->session == session;
}

void
gp_views_on_closed (gp_views_t *views, gp_session_t *session)
{
  gp_view_t *view;

  GP_LIST_FOREACH_SAFE (pos, &views->forwards)
  {
    forward_t *forward = GP_CONTAINER_OF (pos, forward_t, link);

    if (forward->from != session)
      continue;
    gp_view_cancel (forward->view);
    forward_free (forward);
  }
  while ((view = g_hash_table_find (views->open, is_of_session, session))
         != NULL)
    finish_view (view, GP_VIEW_DISCONNECTED, NULL);
}

static gboolean
is_any (gpointer key, gpointer value, gpointer data)
{
  (void)key, (void)value, (void)data;
  return TRUE;
}

void
gp_views_init (gp_views_t *views, gp_session_host_t *host)
{
  *views = (gp_views_t){ .host = host };
  views->open
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  gp_timer_init (&views->timer, host->loop, on_timer, views);
  gp_list_init (&views->forwards);
  gp_counter_register (&views_requested);
  gp_counter_register (&views_lost);
}

void
gp_views_close (gp_views_t *views)
{
  gp_view_t *view;

  while ((view = g_hash_table_find (views->open, is_any, NULL)) != NULL)
    finish_view (view, GP_VIEW_DISCONNECTED, NULL);
  gp_timer_finish (&views->timer);
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
    case GP__WIRE__VIEW_KIND__VIEW_KIND_LAGGARDS:
    case GP__WIRE__VIEW_KIND__VIEW_KIND_UNSPECIFIED:
    case _GP__WIRE__VIEW_KIND_IS_INT_SIZE:
      break;
    }
  return 0;
}

void
gp_view_send (gp_session_t *session, uint64_t id, const GString *text,
              uint64_t next)
{
  Gp__Wire__View view = GP__WIRE__VIEW__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (VIEW, view, &view);

  view.id = id;
  view.next = next;
  view.text.data = (uint8_t *)text->str;
  view.text.len = text->len;
  gp_session_send (session, &envelope);
}

void
gp_view_serve (gp_session_t *session, const gp_timeline_t *timeline,
               const Gp__Wire__ViewAsk *ask)
{
  GString *text = g_string_new (NULL);
  uint64_t next = gp_view_fill (timeline, ask, text);

  gp_view_send (session, ask->id, text, next);
  g_string_free (text, TRUE);
}

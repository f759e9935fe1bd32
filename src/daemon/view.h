/* Views for operators between processes: the time line and the counters of
   any process, reached through an entry.

   An operator needs the address of one entry only; that entry asks the
   process over their session.  An answer that does not come in time, or
   whose session is lost, is told as such.  */

#ifndef GP_DAEMON_VIEW_H
#define GP_DAEMON_VIEW_H

#include "base/timeline.h"
#include "protocol/session.h"
#include "transport/http.h"

/* Events of one answer, so that it fits a frame.  */
#define GP_VIEW_EVENTS_MAX 2000

/* Questions of this entry that are open.  */
typedef struct
{
  gp_session_host_t *host;
  GHashTable *open; /* id -> view */
  uint64_t next_id;
} gp_views_t;

void gp_views_init (gp_views_t *views, gp_session_host_t *host);
void gp_views_finish (gp_views_t *views);

/* Answer EXCHANGE with the view of PROCESS that ASK names; its id is set
   here.  404 when there is no session to PROCESS.  */
void gp_views_ask (gp_views_t *views, gp_http_exchange_t *exchange,
                   const char *process, Gp__Wire__ViewAsk *ask);

/* Messages and the end of a session.  */
void gp_views_on_view (gp_views_t *views, gp_session_t *session,
                       const Gp__Wire__View *message);
void gp_views_on_closed (gp_views_t *views, gp_session_t *session);

/* Append the view of this process to OUT; returns the cursor for the next
   question.  */
uint64_t gp_view_fill (const gp_timeline_t *timeline,
                       const Gp__Wire__ViewAsk *ask, GString *out);

/* Answer another process.  */
void gp_view_serve (gp_session_t *session, const gp_timeline_t *timeline,
                    const Gp__Wire__ViewAsk *ask);

#endif

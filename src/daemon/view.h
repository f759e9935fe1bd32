/* Views for operators between processes: the time line and the counters of
   any process, reached through an entry.

   An operator needs the address of one entry only; that entry asks the
   process over their session.  In a large site an entry has no session to
   some guards; then it asks another entry, one that hears the guard, to pass
   the question on.  A view that does not come in time, or whose session is
   lost, is told as such.  */

#ifndef GP_DAEMON_VIEW_H
#define GP_DAEMON_VIEW_H

#include "base/timeline.h"
#include "protocol/session.h"
#include "transport/http.h"

/* Events of one answer, so that it fits a frame.  */
#define GP_VIEW_EVENTS_MAX 1000

typedef struct gp_view gp_view_t;

typedef enum
{
  GP_VIEW_COME,
  GP_VIEW_LATE, /* not in time */
  GP_VIEW_LOST  /* its session ended */
} gp_view_result_t;

/* How a question ended; VIEW is NULL unless it has come.  */
typedef void (*gp_view_done_t) (gp_view_result_t result,
                                const Gp__Wire__View *view, void *data);

/* Questions of this entry that are open.  */
typedef struct
{
  gp_session_host_t *host;
  GHashTable *open;   /* id -> gp_view_t */
  gp_list_t forwards; /* questions of other entries that were passed on */
  gp_timer_t timer;
  uint64_t next_id;
} gp_views_t;

void gp_views_init (gp_views_t *views, gp_session_host_t *host);
/* End what is open as lost, while all else is still there, and release the
   timer before the end of the loop; and the rest after it.  */
void gp_views_close (gp_views_t *views);
void gp_views_finish (gp_views_t *views);

/* The ready session to PROCESS, or NULL.  */
gp_session_t *gp_views_session (const gp_views_t *views, const char *process);

/* Ask over SESSION; the id in ASK is set here.  DONE is called once, within
   TIMEOUT, not from inside, unless the question is cancelled.  NULL when it
   cannot be asked now.  */
gp_view_t *gp_views_ask (gp_views_t *views, gp_session_t *session,
                         Gp__Wire__ViewAsk *ask, gp_time_t timeout,
                         gp_view_done_t done, void *data);
void gp_view_cancel (gp_view_t *view);

/* Ask over SESSION and answer EXCHANGE with what comes.  */
void gp_views_answer (gp_views_t *views, gp_http_exchange_t *exchange,
                      gp_session_t *session, Gp__Wire__ViewAsk *ask);

/* Pass the question of the entry at the far side of FROM on to the process
   that it names, and the answer back.  */
void gp_views_forward (gp_views_t *views, gp_session_t *from,
                       const Gp__Wire__ViewAsk *ask);

/* A view came over SESSION, or SESSION is closed.  */
void gp_views_on_view (gp_views_t *views, gp_session_t *session,
                       const Gp__Wire__View *message);
void gp_views_on_closed (gp_views_t *views, gp_session_t *session);

/* Append the time line or the counters of this process to OUT; returns the
   cursor for the next question.  */
uint64_t gp_view_fill (const gp_timeline_t *timeline,
                       const Gp__Wire__ViewAsk *ask, GString *out);

/* Answer the far side of SESSION with TEXT.  */
void gp_view_send (gp_session_t *session, uint64_t id, const GString *text,
                   uint64_t next);

/* Answer it with what gp_view_fill gives.  */
void gp_view_serve (gp_session_t *session, const gp_timeline_t *timeline,
                    const Gp__Wire__ViewAsk *ask);

#endif

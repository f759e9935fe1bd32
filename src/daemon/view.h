/* Views: the timeline and the counters of any process, requested by operators
   through an entry.

   An operator needs the address of one entry only; that entry requests the
   view from the process over their session.  In a large site an entry has no
   session to some guards; then it sends the request to another entry that
   receives the guard's heartbeats, which forwards it.  A view that does not
   arrive in time, or whose session closes, is reported as such.  */

#ifndef GP_DAEMON_VIEW_H
#define GP_DAEMON_VIEW_H

#include "base/timeline.h"
#include "protocol/session.h"
#include "transport/http.h"

/* Limit of events in one view, so that it fits in a frame.  */
#define GP_VIEW_EVENTS_MAX 1000

typedef struct gp_view gp_view_t;

typedef enum
{
  GP_VIEW_RECEIVED,    /* received */
  GP_VIEW_TIMED_OUT,   /* timed out */
  GP_VIEW_DISCONNECTED /* its session closed */
} gp_view_result_t;

/* Called with the result of a request; VIEW is NULL unless it was
   received.  */
typedef void (*gp_view_done_t) (gp_view_result_t result,
                                const Gp__Wire__View *view, void *data);

/* The requests of an entry that are in progress.  */
typedef struct
{
  gp_session_host_t *host;
  GHashTable *open;   /* id -> gp_view_t */
  gp_list_t forwards; /* forwarded requests of other entries */
  gp_timer_t timer;
  uint64_t next_id;
} gp_views_t;

void gp_views_init (gp_views_t *views, gp_session_host_t *host);
/* gp_views_close ends the requests in progress as lost, while the other
   objects still exist, and releases the timer before the event loop is
   finalized; gp_views_finish frees the rest afterwards.  */
void gp_views_close (gp_views_t *views);
void gp_views_finish (gp_views_t *views);

/* The ready session to PROCESS, or NULL.  */
gp_session_t *gp_views_find_session (const gp_views_t *views,
                                     const char *process);

/* Send ASK, whose id is set here, over SESSION.  DONE is called once, within
   TIMEOUT and never from inside this call, unless the request is cancelled.
   Returns NULL if the request cannot be sent now.  */
gp_view_t *gp_views_request (gp_views_t *views, gp_session_t *session,
                             Gp__Wire__ViewAsk *ask, gp_time_t timeout,
                             gp_view_done_t done, void *data);
void gp_view_cancel (gp_view_t *view);

/* Request the view over SESSION and answer EXCHANGE with the result.  */
void gp_views_answer (gp_views_t *views, gp_http_exchange_t *exchange,
                      gp_session_t *session, Gp__Wire__ViewAsk *ask);

/* Forward the request of the entry at the other end of FROM to the process
   that it names, and return the view to FROM.  */
void gp_views_forward (gp_views_t *views, gp_session_t *from,
                       const Gp__Wire__ViewAsk *ask);

/* A view was received over SESSION, or SESSION has closed.  */
void gp_views_on_view (gp_views_t *views, gp_session_t *session,
                       const Gp__Wire__View *message);
void gp_views_on_closed (gp_views_t *views, gp_session_t *session);

/* Append the timeline or the counters of this process to OUT.  Returns the
   cursor for the next request.  */
uint64_t gp_view_fill (const gp_timeline_t *timeline,
                       const Gp__Wire__ViewAsk *ask, GString *out);

/* Send TEXT over SESSION as the view for the request ID.  */
void gp_view_send (gp_session_t *session, uint64_t id, const GString *text,
                   uint64_t next);

/* Answer ASK over SESSION with the result of gp_view_fill.  */
void gp_view_serve (gp_session_t *session, const gp_timeline_t *timeline,
                    const Gp__Wire__ViewAsk *ask);

#endif

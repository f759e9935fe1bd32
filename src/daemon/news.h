/* Exchange of membership between the entries of a region: each entry sends
   the others the changes of the guards whose heartbeats it receives, and
   messages that show that it is alive (see coordination/members.h).  None of
   this depends on the platform's log.  */

#ifndef GP_DAEMON_NEWS_H
#define GP_DAEMON_NEWS_H

#include "coordination/members.h"
#include "protocol/session.h"

typedef struct
{
  gp_session_host_t *host;
  gp_members_t *members;
  GHashTable *peers; /* gp_session_t -> gp_news_peer_t */
  gp_timer_t timer;
  gp_deferred_t deferred;
  gp_time_t heartbeat_interval; /* interval of messages without news, which
                                   serve as heartbeats */
} gp_news_t;

void gp_news_init (gp_news_t *news, gp_session_host_t *host,
                   gp_members_t *members);
void gp_news_finish (gp_news_t *news);

/* Called when a session with another entry is ready: the entry will be sent
   everything that this one knows directly.  */
void gp_news_on_ready (gp_news_t *news, gp_session_t *session);
void gp_news_on_closed (gp_news_t *news, gp_session_t *session);

/* Called for every message on a session; any message from an entry shows that
   it is alive.  */
void gp_news_on_message (gp_news_t *news, gp_session_t *session,
                         const Gp__Wire__Envelope *envelope);

/* Schedules changes to be sent at the end of this iteration of the event
   loop.  */
void gp_news_schedule (gp_news_t *news);

#endif

/* Membership between entries: each tells the others of its region what it
   hears of guards, as changes, and that it lives (coordination/members.h).
   Nothing here needs the platform's log.  */

#ifndef GP_DAEMON_NEWS_H
#define GP_DAEMON_NEWS_H

#include "coordination/members.h"
#include "protocol/session.h"

typedef struct
{
  gp_session_host_t *host;
  gp_members_t *members;
  GHashTable *readers; /* gp_session_t -> gp_news_reader_t */
  gp_timer_t timer;
  gp_deferred_t deferred;
  gp_time_t interval; /* between signs of life */
} gp_news_t;

void gp_news_init (gp_news_t *news, gp_session_host_t *host,
                   gp_members_t *members);
void gp_news_finish (gp_news_t *news);

/* A session with another entry is ready: it is told all.  */
void gp_news_on_ready (gp_news_t *news, gp_session_t *session);
void gp_news_on_closed (gp_news_t *news, gp_session_t *session);

/* Any message came from another entry.  */
void gp_news_on_message (gp_news_t *news, gp_session_t *session,
                         const Gp__Wire__Envelope *envelope);

/* Tell what changed at the end of this phase of the loop.  */
void gp_news_schedule (gp_news_t *news);

#endif

/* Finds a connection over which a leader's replies no longer reach the guard.

   A connection may go silent in one direction for good: the guard's reports
   arrive, but nothing that the leader sends does.  The leader would then keep
   an executor to which no order and no lease gets through.  So a guard reports
   for how long it has received nothing, and the leader compares that with its
   own replies: it sends nothing while its leadership is unconfirmed, and
   nothing while the process is paused.

   Pure.  */

#ifndef GP_JOBS_REPLY_WATCH_H
#define GP_JOBS_REPLY_WATCH_H

#include <stdbool.h>

#include "base/time.h"

/* The leader's side of one connection.  */
typedef struct
{
  gp_time_t replying_since; /* replies have been sent without a pause since;
                               0: none was sent */
  gp_time_t replied_at;     /* time of the last reply */
} gp_reply_watch_t;

/* The connection is new, or a reply is withheld.  */
void gp_reply_watch_reset (gp_reply_watch_t *watch);

/* A reply is sent at NOW.  */
void gp_reply_watch_replied (gp_reply_watch_t *watch, gp_time_t now);

/* Returns whether replies are lost on the connection: the guard reports that
   it has received nothing for the duration UNHEARD.  To be called before the
   reply to that report is noted.  */
bool gp_reply_watch_is_unheard (const gp_reply_watch_t *watch,
                                gp_time_t unheard, gp_time_t now);

#endif

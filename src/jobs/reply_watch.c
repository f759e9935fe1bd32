/* Finds a connection over which replies no longer reach the guard.  */

#include "jobs/reply_watch.h"

/* Reports come every 300 ms, and each is answered at once.  A longer time
   without a reply is a pause, of this process or of the reports.  */
#define PAUSE_TIME (1200 * GP_MSEC)
/* After this time the connection is given up: longer than a pause that goes
   unnoticed, and short enough for orders to resume within 3 s.  */
#define UNHEARD_TIMEOUT (1500 * GP_MSEC)

void
gp_reply_watch_reset (gp_reply_watch_t *watch)
{
  *watch = (gp_reply_watch_t){ 0 };
}

void
gp_reply_watch_replied (gp_reply_watch_t *watch, gp_time_t now)
{
  if (watch->replying_since == 0 || now - watch->replied_at > PAUSE_TIME)
    watch->replying_since = now;
  watch->replied_at = now;
}

bool
gp_reply_watch_is_unheard (const gp_reply_watch_t *watch, gp_time_t unheard,
                           gp_time_t now)
{
  return unheard > UNHEARD_TIMEOUT && watch->replying_since != 0
         && now - watch->replied_at <= PAUSE_TIME
         && now - watch->replying_since > UNHEARD_TIMEOUT;
}

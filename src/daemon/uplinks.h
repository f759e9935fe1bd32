/* Sessions of a guard to entries.

   A guard sends heartbeats to its home entries (coordination/homes.h) and
   keeps sessions to them open.  Other entries connect to its address when they
   have work for it.  An unreachable home is replaced by the next best entry;
   dialing it continues, and it becomes a home again once it is reached.  A
   guard without an address cannot be connected to, so all entries of its
   region are its homes.  */

#ifndef GP_DAEMON_UPLINKS_H
#define GP_DAEMON_UPLINKS_H

#include "base/settings.h"
#include "coordination/homes.h"
#include "protocol/dialer.h"

typedef struct
{
  gp_home_t entry;
  gp_dialer_t dialer;
  bool home;
} gp_uplink_t;

typedef struct
{
  gp_session_host_t *host;
  const gp_settings_t *settings;
  gp_uplink_t *links; /* one for each entry of the region */
  size_t count;
  bool stopped;
} gp_uplinks_t;

void gp_uplinks_init (gp_uplinks_t *uplinks, gp_session_host_t *host,
                      const gp_settings_t *settings, GRand *rand);
/* gp_uplinks_close releases the timers and is called before the event loop is
   finalized; gp_uplinks_finish frees the memory, which sessions refer to, and
   is called afterwards.  */
void gp_uplinks_close (gp_uplinks_t *uplinks);
void gp_uplinks_finish (gp_uplinks_t *uplinks);

/* Whether SESSION leads to a home entry.  */
bool gp_uplinks_is_home (const gp_uplinks_t *uplinks,
                         const gp_session_t *session);

/* A session is ready or has closed; must be called for all sessions.  */
void gp_uplinks_on_ready (gp_uplinks_t *uplinks, gp_session_t *session);
void gp_uplinks_on_close (gp_uplinks_t *uplinks, gp_session_t *session);

/* Stop dialing.  */
void gp_uplinks_stop (gp_uplinks_t *uplinks);

#endif

/* Connections that an entry opens to guards that other entries reported.

   A guard connects to its homes itself; the other entries connect to its
   address if they may have work for it: if they route to its upstream
   (coordination/subset.h) or if it has a worker.  */

#ifndef GP_DAEMON_DOWNLINKS_H
#define GP_DAEMON_DOWNLINKS_H

#include "base/settings.h"
#include "coordination/members.h"
#include "protocol/dialer.h"

typedef struct
{
  gp_session_host_t *host;
  gp_members_t *members;
  GRand *rand;
  gp_home_t *entries; /* of the region */
  size_t entry_count;
  size_t self_index; /* in entries */
  size_t zone_count; /* entries of this entry's zone */
  GHashTable
      *executor_counts;     /* "SERVICE/ZONE" -> number of serving members */
  GHashTable *dialers;      /* name of a guard -> gp_dialer_t */
  GPtrArray *spare_dialers; /* dialers that are not in use */
  gp_timer_t timer;
  bool members_changed; /* some member changed since the last review */
} gp_downlinks_t;

void gp_downlinks_init (gp_downlinks_t *downlinks, gp_session_host_t *host,
                        gp_members_t *members, const gp_settings_t *settings,
                        GRand *rand);

/* Release the timers, before the event loop is finished, and the memory,
   which sessions refer to, after it.  */
void gp_downlinks_close (gp_downlinks_t *downlinks);
void gp_downlinks_finish (gp_downlinks_t *downlinks);

/* Handles a change of a member: connects to it or disconnects if need
   be.  */
void gp_downlinks_on_member (gp_downlinks_t *downlinks,
                             const gp_member_t *member);

#endif

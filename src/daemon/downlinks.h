/* Connections that an entry opens to guards it learnt of from others.

   A guard keeps sessions to its homes; the other entries connect to its
   address when they may have work for it: when they route to its upstream
   (coordination/subset.h) or when it has a worker.  */

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
  size_t self;           /* in entries */
  size_t zone_count;     /* entries of this entry's zone */
  GHashTable *executors; /* "SERVICE/ZONE" -> how many serve */
  GHashTable *dialers;   /* name of a guard -> gp_dialer_t */
  GPtrArray *spare;      /* dialers that are not in use */
  gp_timer_t timer;
  bool changed; /* members, since they were last looked over */
} gp_downlinks_t;

void gp_downlinks_init (gp_downlinks_t *downlinks, gp_session_host_t *host,
                        gp_members_t *members, const gp_settings_t *settings,
                        GRand *rand);

/* Release the timers, before the end of the loop, and the memory, which
   sessions refer to, after it.  */
void gp_downlinks_close (gp_downlinks_t *downlinks);
void gp_downlinks_finish (gp_downlinks_t *downlinks);

/* A member changed: it may have to be connected to, or no more.  */
void gp_downlinks_on_member (gp_downlinks_t *downlinks,
                             const gp_member_t *member);

#endif

/* The way of a process's calls to the store: direct, or through a peer that
   passes them on (see jobsd/relay.h).

   A way is left after a few failures in a row, for each peer by turns and
   then the direct way again; while calls are passed on the direct way is
   tried again and again and taken as soon as it serves.  */

#ifndef GP_JOBSD_WAY_H
#define GP_JOBSD_WAY_H

#include "platform/store.h"

typedef struct
{
  gp_loop_t *loop;
  gp_platform_store_t *store;
  GPtrArray *peers;      /* addresses of relays, owned */
  guint next;            /* the peer to try next */
  unsigned failures;     /* calls that failed in a row on this way */
  unsigned failed_peers; /* in a row, since the direct way did */
  gp_time_t stay_until;  /* no other way is tried before */
  bool relayed;
  gp_timer_t probe; /* the direct way is tried again */
  gp_platform_store_call_t *probing;
} gp_way_t;

void gp_way_init (gp_way_t *way, gp_loop_t *loop, gp_platform_store_t *store);
void gp_way_finish (gp_way_t *way);

/* A peer passes calls on at ADDRESS.  */
void gp_way_add (gp_way_t *way, const char *address);

#endif

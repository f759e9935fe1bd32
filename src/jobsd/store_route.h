/* The route of a process's calls to the store: direct, or through a peer that
   relays them (see jobsd/relay.h).

   After a few consecutive failures the route is changed, to one peer after the
   other and then back to the direct route.  While calls are relayed the direct
   route is probed regularly, and used as soon as it works.  */

#ifndef GP_JOBSD_STORE_ROUTE_H
#define GP_JOBSD_STORE_ROUTE_H

#include "platform/store.h"

typedef struct
{
  gp_loop_t *loop;
  gp_platform_store_t *store;
  GPtrArray *peers;      /* addresses of relays, owned */
  guint next;            /* index of the peer to try next */
  unsigned failures;     /* consecutive calls that failed on this route */
  unsigned failed_peers; /* consecutive peers that failed since the direct
                            route did */
  gp_time_t stay_until;  /* no other route is tried before this time */
  bool relayed;
  gp_timer_t probe; /* probes the direct route */
  gp_platform_store_call_t *probing;
} gp_store_route_t;

void gp_store_route_init (gp_store_route_t *route, gp_loop_t *loop,
                          gp_platform_store_t *store);
void gp_store_route_finish (gp_store_route_t *route);

/* A call on the current route was answered, or failed.  To be called by
   whoever replaces the callback that gp_store_route_init sets with
   gp_platform_store_set_on_result.  */
void gp_store_route_add_result (gp_store_route_t *route, bool answered);

/* Add a peer that relays calls at ADDRESS.  */
void gp_store_route_add_peer (gp_store_route_t *route, const char *address);

#endif

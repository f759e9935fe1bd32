/* The route of a process's calls to the store: direct, or through a peer that
   relays them (see jobsd/relay.h).

   When the route is changed, and to which peer, is decided in
   jobs/relay_choice.h.  While calls are relayed the direct route is probed
   regularly, and used as soon as it works.  */

#ifndef GP_JOBSD_STORE_ROUTE_H
#define GP_JOBSD_STORE_ROUTE_H

#include "jobs/relay_choice.h"
#include "platform/store.h"

typedef struct
{
  gp_loop_t *loop;
  gp_platform_store_t *store;
  gp_relay_choice_t choice;
  gp_timer_t probe; /* probes the direct route */
  gp_platform_store_call_t *probing;
} gp_store_route_t;

/* This process is on NODE in ZONE, both of which have to stay valid.  */
void gp_store_route_init (gp_store_route_t *route, gp_loop_t *loop,
                          gp_platform_store_t *store, const char *node,
                          const char *zone);
void gp_store_route_finish (gp_store_route_t *route);

/* A call on the current route that was sent at SENT_AT was answered, or
   failed.  To be called by whoever replaces the callback that
   gp_store_route_init sets with gp_platform_store_set_on_result.  */
void gp_store_route_add_result (gp_store_route_t *route, bool answered,
                                gp_time_t sent_at);

/* Add a peer, on NODE in ZONE, that relays calls at ADDRESS.  */
void gp_store_route_add_peer (gp_store_route_t *route, const char *node,
                              const char *zone, const char *address);

#endif

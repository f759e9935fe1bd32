/* A way to the store through another entry.

   The platform may turn one VM away and serve the others, or one VM may be
   cut off from it.  Each entry therefore passes calls of its peers on to the
   store, as they are, and has its own calls passed on by a peer while its own
   way fails.  A peer passes nothing on that was passed on to it.  Conditions
   on appends are the store's, so that the way makes no difference to them.  */

#ifndef GP_JOBSD_RELAY_H
#define GP_JOBSD_RELAY_H

#include "platform/store.h"
#include "transport/http.h"

/* The side that passes calls on.  */
typedef struct
{
  gp_loop_t *loop;
  gp_http_server_t *server;
  gp_http_client_t *client;
} gp_relay_t;

bool gp_relay_init (gp_relay_t *relay, gp_loop_t *loop, const char *address,
                    const char *store, GError **error);

/* The side that chooses the way.  */
typedef struct
{
  gp_loop_t *loop;
  gp_store_t *store;
  GPtrArray *peers;     /* addresses of relays, owned */
  guint next;           /* the peer to try next */
  unsigned failures;    /* calls that failed in a row on this way */
  unsigned ways;        /* peers that failed since the direct way did */
  gp_time_t stay_until; /* no other way is tried before */
  bool relayed;
  gp_timer_t probe; /* the direct way is tried again */
  gp_store_call_t *probing;
} gp_route_t;

void gp_route_init (gp_route_t *route, gp_loop_t *loop, gp_store_t *store);
void gp_route_finish (gp_route_t *route);

/* A peer passes calls on at ADDRESS.  */
void gp_route_add (gp_route_t *route, const char *address);

#endif

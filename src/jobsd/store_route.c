/* The route of this process's own calls to the store.  */

#include "jobsd/store_route.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"

/* Interval between probes of the direct route while calls are relayed.  */
#define PROBE_INTERVAL (400 * GP_MSEC)

static gp_counter_t relayed_gauge = GP_GAUGE (
    "store_by_relay", "1 while a peer passes this process's calls on");
static gp_counter_t peers_gauge
    = GP_GAUGE ("store_peers", "Peers that can pass this process's calls on");

/* Send further calls on the route that was chosen.  */
static void
use_route (gp_store_route_t *route)
{
  const gp_relay_peer_t *peer = route->choice.peer;
  const char *address = peer != NULL ? peer->address : NULL;

  gp_log (GP_LOG_INFO, "store.way", GP_LOG_S ("peer", address));
  gp_counter_set (&relayed_gauge, peer != NULL);
  gp_platform_store_set_relay (route->store, address);
  if (peer != NULL)
    gp_timer_arm (&route->probe, gp_loop_now (route->loop) + PROBE_INTERVAL);
}

void
gp_store_route_add_result (gp_store_route_t *route, bool answered,
                           gp_time_t sent_at)
{
  if (answered)
    gp_relay_choice_answered (&route->choice);
  else if (gp_relay_choice_failed (&route->choice, sent_at,
                                   gp_loop_now (route->loop)))
    use_route (route);
}

static void
on_result (bool answered, gp_time_t sent_at, void *data)
{
  gp_store_route_add_result (data, answered, sent_at);
}

static void
on_probed (const gp_platform_store_answer_t *answer, void *data)
{
  gp_store_route_t *route = data;

  route->probing = NULL;
  if (route->choice.peer == NULL)
    return;
  if (answer->result == GP_PLATFORM_STORE_DONE
      || answer->result == GP_PLATFORM_STORE_EXPIRED)
    {
      gp_relay_choice_use_direct (&route->choice);
      use_route (route);
    }
  else
    gp_timer_arm (&route->probe, gp_loop_now (route->loop) + PROBE_INTERVAL);
}

static void
on_probe_due (gp_timer_t *timer, void *data)
{
  gp_store_route_t *route = data;

  if (route->choice.peer != NULL && route->probing == NULL)
    route->probing = gp_platform_store_probe (
        route->store, gp_loop_now (route->loop) + PROBE_INTERVAL, on_probed,
        route);
}

void
gp_store_route_init (gp_store_route_t *route, gp_loop_t *loop,
                     gp_platform_store_t *store, const char *node,
                     const char *zone)
{
  memset (route, 0, sizeof *route);
  route->loop = loop;
  route->store = store;
  gp_relay_choice_init (&route->choice, node, zone);
  gp_counter_register (&relayed_gauge);
  gp_counter_register (&peers_gauge);
  gp_timer_init (&route->probe, loop, on_probe_due, route);
  gp_platform_store_set_on_result (store, on_result, route);
}

void
gp_store_route_finish (gp_store_route_t *route)
{
  if (route->probing != NULL)
    gp_platform_store_cancel (route->probing);
  gp_timer_finish (&route->probe);
  gp_relay_choice_finish (&route->choice);
}

void
gp_store_route_add_peer (gp_store_route_t *route, const char *node,
                         const char *zone, const char *address)
{
  gp_relay_choice_add_peer (&route->choice, node, zone, address);
  gp_counter_set (&peers_gauge, gp_relay_choice_peers (&route->choice));
}

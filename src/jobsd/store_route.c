/* The route of this process's own calls to the store.  */

#include "jobsd/store_route.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"

/* Consecutive failed calls before another route is tried: a single failure may
   be chance.  */
#define FAILURES_TO_SWITCH 2
/* If this many peers have no route either, the store is considered down, and
   no peer is tried for PEERS_PAUSE.  When a third of all entries cannot reach
   the store, one in a hundred does not find a peer that can; trying all peers
   one after the other would take as long as an outage.  */
#define PEERS_TO_TRY 4
#define PEERS_PAUSE (1500 * GP_MSEC)
/* Interval between probes of the direct route while calls are relayed.  */
#define PROBE_INTERVAL (400 * GP_MSEC)

static gp_counter_t relayed_gauge = GP_GAUGE (
    "store_by_relay", "1 while a peer passes this process's calls on");
static gp_counter_t peers_gauge
    = GP_GAUGE ("store_peers", "Peers that can pass this process's calls on");

static void
set_route (gp_store_route_t *route, const char *peer)
{
  gp_log (GP_LOG_INFO, "store.way", GP_LOG_S ("peer", peer),
          GP_LOG_I ("failures", route->failures));
  route->failures = 0;
  route->relayed = peer != NULL;
  gp_counter_set (&relayed_gauge, route->relayed);
  gp_platform_store_set_relay (route->store, peer);
  if (route->relayed)
    gp_timer_arm (&route->probe, gp_loop_now (route->loop) + PROBE_INTERVAL);
}

void
gp_store_route_add_result (gp_store_route_t *route, bool answered)
{
  gp_time_t now = gp_loop_now (route->loop);

  if (answered)
    {
      route->failures = 0;
      route->failed_peers = 0;
      return;
    }
  if (++route->failures < FAILURES_TO_SWITCH || route->peers->len == 0
      || now < route->stay_until)
    return;
  if (route->failed_peers++ < MIN (route->peers->len, PEERS_TO_TRY))
    {
      set_route (route, g_ptr_array_index (route->peers,
                                           route->next++ % route->peers->len));
      return;
    }
  route->failed_peers = 0;
  route->stay_until = now + PEERS_PAUSE;
  if (route->relayed)
    set_route (route, NULL);
}

static void
on_result (bool answered, void *data)
{
  gp_store_route_add_result (data, answered);
}

static void
on_probed (const gp_platform_store_answer_t *answer, void *data)
{
  gp_store_route_t *route = data;

  route->probing = NULL;
  if (!route->relayed)
    return;
  if (answer->result == GP_PLATFORM_STORE_DONE
      || answer->result == GP_PLATFORM_STORE_EXPIRED)
    set_route (route, NULL);
  else
    gp_timer_arm (&route->probe, gp_loop_now (route->loop) + PROBE_INTERVAL);
}

static void
on_probe_due (gp_timer_t *timer, void *data)
{
  gp_store_route_t *route = data;

  if (route->relayed && route->probing == NULL)
    route->probing = gp_platform_store_probe (
        route->store, gp_loop_now (route->loop) + PROBE_INTERVAL, on_probed,
        route);
}

void
gp_store_route_init (gp_store_route_t *route, gp_loop_t *loop,
                     gp_platform_store_t *store)
{
  memset (route, 0, sizeof *route);
  route->loop = loop;
  route->store = store;
  route->peers = g_ptr_array_new_with_free_func (g_free);
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
  g_ptr_array_unref (route->peers);
}

void
gp_store_route_add_peer (gp_store_route_t *route, const char *address)
{
  for (guint i = 0; i < route->peers->len; i++)
    if (strcmp (g_ptr_array_index (route->peers, i), address) == 0)
      return;
  g_ptr_array_add (route->peers, g_strdup (address));
  gp_counter_set (&peers_gauge, route->peers->len);
}

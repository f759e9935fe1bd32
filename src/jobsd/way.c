/* The way of this process's own calls to the store.  */

#include "jobsd/way.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"

/* Calls in a row that fail before another way is tried: one may be chance.  */
#define FAILURES_TO_LEAVE 2
/* When none of so many peers has a way either, the store is down: no peer is
   tried again for a while.  With a third of all entries turned away one in a
   hundred waits in vain; trying all of them in turn would take as long as an
   outage.  */
#define PEERS_TO_TRY 4
#define GIVE_UP_TIME (1500 * GP_MSEC)
/* While calls are passed on, the direct way is tried so often.  */
#define PROBE_TIME (400 * GP_MSEC)

static gp_counter_t relayed_gauge = GP_GAUGE (
    "store_by_relay", "1 while a peer passes this process's calls on");
static gp_counter_t peers_gauge
    = GP_GAUGE ("store_peers", "Peers that can pass this process's calls on");

static void
take_way (gp_way_t *way, const char *peer)
{
  gp_log (GP_LOG_INFO, "store.way", GP_LOG_S ("peer", peer),
          GP_LOG_I ("failures", way->failures));
  way->failures = 0;
  way->relayed = peer != NULL;
  gp_counter_set (&relayed_gauge, way->relayed);
  gp_platform_store_set_relay (way->store, peer);
  if (way->relayed)
    gp_timer_arm (&way->probe, gp_loop_now (way->loop) + PROBE_TIME);
}

static void
on_result (bool answered, void *data)
{
  gp_way_t *way = data;

  gp_time_t now = gp_loop_now (way->loop);

  if (answered)
    {
      way->failures = 0;
      way->failed_peers = 0;
      return;
    }
  if (++way->failures < FAILURES_TO_LEAVE || way->peers->len == 0
      || now < way->stay_until)
    return;
  if (way->failed_peers++ < MIN (way->peers->len, PEERS_TO_TRY))
    {
      take_way (way,
                g_ptr_array_index (way->peers, way->next++ % way->peers->len));
      return;
    }
  way->failed_peers = 0;
  way->stay_until = now + GIVE_UP_TIME;
  if (way->relayed)
    take_way (way, NULL);
}

static void
on_probed (const gp_platform_store_answer_t *answer, void *data)
{
  gp_way_t *way = data;

  way->probing = NULL;
  if (!way->relayed)
    return;
  if (answer->result == GP_PLATFORM_STORE_DONE
      || answer->result == GP_PLATFORM_STORE_EXPIRED)
    take_way (way, NULL);
  else
    gp_timer_arm (&way->probe, gp_loop_now (way->loop) + PROBE_TIME);
}

static void
on_probe_due (gp_timer_t *timer, void *data)
{
  gp_way_t *way = data;

  if (way->relayed && way->probing == NULL)
    way->probing = gp_platform_store_probe (
        way->store, gp_loop_now (way->loop) + PROBE_TIME, on_probed, way);
}

void
gp_way_init (gp_way_t *way, gp_loop_t *loop, gp_platform_store_t *store)
{
  memset (way, 0, sizeof *way);
  way->loop = loop;
  way->store = store;
  way->peers = g_ptr_array_new_with_free_func (g_free);
  gp_counter_register (&relayed_gauge);
  gp_counter_register (&peers_gauge);
  gp_timer_init (&way->probe, loop, on_probe_due, way);
  gp_platform_store_set_on_result (store, on_result, way);
}

void
gp_way_finish (gp_way_t *way)
{
  if (way->probing != NULL)
    gp_platform_store_cancel (way->probing);
  gp_timer_finish (&way->probe);
  g_ptr_array_unref (way->peers);
}

void
gp_way_add (gp_way_t *way, const char *address)
{
  for (guint i = 0; i < way->peers->len; i++)
    if (strcmp (g_ptr_array_index (way->peers, i), address) == 0)
      return;
  g_ptr_array_add (way->peers, g_strdup (address));
  gp_counter_set (&peers_gauge, way->peers->len);
}

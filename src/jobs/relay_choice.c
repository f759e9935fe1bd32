/* Through which peer an entry's calls to the store are relayed, and when.  */

#include "jobs/relay_choice.h"

#include <glib.h>
#include <string.h>

#include "coordination/rendezvous.h"

/* Failed calls before another route is tried: a single failure may be
   chance.  */
#define FAILURES_TO_SWITCH 2
/* Calls that fail within this time, and were sent before the first of them
   did, have failed for the same reason.  */
#define SAME_MOMENT (100 * GP_MSEC)
/* For how long no peer is tried after GP_RELAY_PEERS_TO_TRY have failed.  */
#define PEERS_PAUSE (1500 * GP_MSEC)

void
gp_relay_choice_init (gp_relay_choice_t *choice, const char *node,
                      const char *zone)
{
  *choice = (gp_relay_choice_t){ .node = node, .zone = zone };
  gp_list_init (&choice->near.peers);
  gp_list_init (&choice->far.peers);
}

static gp_relay_peer_t *
peer_of (gp_list_t *link)
{
  return GP_CONTAINER_OF (link, gp_relay_peer_t, link);
}

static void
free_peers (gp_relay_peers_t *peers)
{
  GP_LIST_FOREACH_SAFE (link, &peers->peers)
  {
    gp_relay_peer_t *peer = peer_of (link);

    g_free (peer->node);
    g_free (peer->address);
    g_free (peer);
  }
  gp_list_init (&peers->peers);
  peers->count = 0;
}

void
gp_relay_choice_finish (gp_relay_choice_t *choice)
{
  choice->peer = NULL;
  free_peers (&choice->near);
  free_peers (&choice->far);
}

static gp_relay_peer_t *
find (const gp_relay_peers_t *peers, const char *node)
{
  GP_LIST_FOREACH (link, &peers->peers)
  {
    if (strcmp (peer_of (link)->node, node) == 0)
      return peer_of (link);
  }
  return NULL;
}

static void
insert (gp_relay_peers_t *peers, gp_relay_peer_t *peer)
{
  gp_list_t *before = peers->peers.next;

  while (before != &peers->peers && peer_of (before)->rank > peer->rank)
    before = before->next;
  gp_list_insert_before (before, &peer->link);
  peers->count++;
}

void
gp_relay_choice_add_peer (gp_relay_choice_t *choice, const char *node,
                          const char *zone, const char *address)
{
  gp_relay_peers_t *peers
      = strcmp (zone, choice->zone) == 0 ? &choice->near : &choice->far;
  gp_relay_peer_t *peer = find (peers, node);

  if (peer == NULL)
    {
      peer = g_new0 (gp_relay_peer_t, 1);
      peer->node = g_strdup (node);
      peer->rank = gp_rendezvous_rank (choice->node, node);
      insert (peers, peer);
    }
  g_free (peer->address);
  peer->address = g_strdup (address);
}

unsigned
gp_relay_choice_peers (const gp_relay_choice_t *choice)
{
  return choice->near.count + choice->far.count;
}

/* Returns the peer to try next, after FAILED_PEERS others.  There must be
   one.  */
static const gp_relay_peer_t *
next_peer (gp_relay_choice_t *choice)
{
  gp_relay_peers_t *peers
      = choice->failed_peers == 0 ? &choice->near : &choice->far;
  gp_list_t *link;

  if (peers->count == 0)
    peers = peers == &choice->near ? &choice->far : &choice->near;
  link = peers->peers.next;
  for (unsigned i = peers->tried++ % peers->count; i > 0; i--)
    link = link->next;
  return peer_of (link);
}

static void
set_peer (gp_relay_choice_t *choice, const gp_relay_peer_t *peer)
{
  choice->peer = peer;
  choice->failures = 0;
}

void
gp_relay_choice_use_direct (gp_relay_choice_t *choice)
{
  set_peer (choice, NULL);
}

void
gp_relay_choice_answered (gp_relay_choice_t *choice)
{
  choice->failures = 0;
  choice->failed_peers = 0;
}

/* Returns whether a call that was sent at SENT_AT and failed at NOW broke
   together with the last one that counts.  */
static bool
broke_together (const gp_relay_choice_t *choice, gp_time_t sent_at,
                gp_time_t now)
{
  return choice->failures > 0 && sent_at <= choice->failed_at
         && now <= choice->failed_at + SAME_MOMENT;
}

bool
gp_relay_choice_failed (gp_relay_choice_t *choice, gp_time_t sent_at,
                        gp_time_t now)
{
  unsigned peers = gp_relay_choice_peers (choice);

  if (broke_together (choice, sent_at, now))
    return false;
  choice->failed_at = now;
  if (++choice->failures < FAILURES_TO_SWITCH || peers == 0
      || now < choice->stay_until)
    return false;
  if (choice->failed_peers < MIN (peers, GP_RELAY_PEERS_TO_TRY))
    {
      set_peer (choice, next_peer (choice));
      choice->failed_peers++;
      return true;
    }
  choice->failed_peers = 0;
  choice->stay_until = now + PEERS_PAUSE;
  if (choice->peer == NULL)
    return false;
  set_peer (choice, NULL);
  return true;
}

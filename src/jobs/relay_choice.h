/* Through which peer an entry's calls to the store are relayed, and when.

   Calls go directly to the store.  After FAILURES_TO_SWITCH failures the route
   is changed: to one peer after the other, and then back to the direct route.

   A connection that is reset, or a store that drops its history, ends all open
   calls of all entries at the same moment.  Two rules follow.  The calls that
   break at one moment count as one failure, so that the direct route is tried
   again before another one.  And the order of the peers differs for each
   entry, by rendezvous hashing, so that the entries that need a relay are
   spread over all peers.  The first peer to try is one in the entry's own
   zone; the next ones are in other zones, as the whole zone may have lost the
   store.

   Pure: events and NOW in, the next route out.  */

#ifndef GP_JOBS_RELAY_CHOICE_H
#define GP_JOBS_RELAY_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"

/* If this many peers have no route either, the store is considered down, and
   no peer is tried for a while.  When a third of all entries cannot reach the
   store, one in a hundred does not find a peer that can; trying all peers one
   after the other would take as long as an outage.  */
#define GP_RELAY_PEERS_TO_TRY 4

typedef struct
{
  gp_list_t link;
  char *node;    /* owned */
  char *address; /* of its relay, owned */
  uint64_t rank; /* of the peer for this entry; the highest is tried first */
} gp_relay_peer_t;

/* Peers in the order in which they are tried.  */
typedef struct
{
  gp_list_t peers; /* gp_relay_peer_t, owned */
  unsigned count;
  unsigned tried; /* number of tries so far */
} gp_relay_peers_t;

typedef struct
{
  const char *node; /* this entry */
  const char *zone;
  gp_relay_peers_t near; /* in the zone of this entry */
  gp_relay_peers_t far;
  const gp_relay_peer_t *peer; /* relays the calls; NULL: they are direct */
  unsigned failures;           /* that count, on the current route */
  gp_time_t failed_at;         /* when the last of them was noted */
  unsigned failed_peers; /* consecutive peers that failed since the direct
                            route did */
  gp_time_t stay_until;  /* no other route is tried before this time */
} gp_relay_choice_t;

/* This entry is on NODE in ZONE, both of which have to stay valid.  */
void gp_relay_choice_init (gp_relay_choice_t *choice, const char *node,
                           const char *zone);
void gp_relay_choice_finish (gp_relay_choice_t *choice);

/* The entry on NODE, in ZONE, relays calls at ADDRESS.  */
void gp_relay_choice_add_peer (gp_relay_choice_t *choice, const char *node,
                               const char *zone, const char *address);

/* A call on the current route was answered.  */
void gp_relay_choice_answered (gp_relay_choice_t *choice);

/* A call on the current route that was sent at SENT_AT has failed.  Returns
   whether the route has changed, to PEER in CHOICE.  */
bool gp_relay_choice_failed (gp_relay_choice_t *choice, gp_time_t sent_at,
                             gp_time_t now);

/* Returns the number of peers.  */
unsigned gp_relay_choice_peers (const gp_relay_choice_t *choice);

/* The direct route works again, and is used from now on.  */
void gp_relay_choice_use_direct (gp_relay_choice_t *choice);

#endif

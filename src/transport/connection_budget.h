/* What the connections to a group of servers may hold together.

   Pure: events and the time in, actions out.  Each connection has a claim.  A
   claim of at most GP_CONNECTION_SMALL bytes needs no permission, as the limit
   on connections covers it; a larger one is covered by max_bytes.  A
   connection that cannot get the bytes that it needs stops reading and waits,
   in the order of arrival, until others have returned theirs.  If nothing is
   returned, the connections that have held more than GP_CONNECTION_SMALL bytes
   for the longest time are closed, none within GP_CONNECTION_PATIENCE: a slow
   sender is closed only when others wait for what it holds.

   A connection with a complete request and no answer is never closed here:
   what the request asks for may have been done.  So a server has to bound the
   time that requests take.  Likewise, the connection that gives way to a new
   one is idle, is receiving a request, or its peer does not read the answer.

   A connection whose peer is known to belong to the site counts no more among
   the connections, and is never closed here: a site has as many processes as
   it has.  What it holds above GP_CONNECTION_SMALL bytes still needs
   permission.

   Invariants: BYTES is the sum of the claims above GP_CONNECTION_SMALL and
   exceeds max_bytes at no time; a claim is in LARGE only if its connection may
   be closed and holds more than GP_CONNECTION_SMALL.  */

#ifndef GP_TRANSPORT_CONNECTION_BUDGET_H
#define GP_TRANSPORT_CONNECTION_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

#include "base/list.h"
#include "base/time.h"

/* Bytes that each connection may hold: the head of a request and a usual
   body.  */
#define GP_CONNECTION_SMALL ((size_t)16 * 1024)

/* How long a connection may hold up others at least: long enough for a request
   to arrive that is retransmitted once or twice.  */
#define GP_CONNECTION_PATIENCE GP_SEC

typedef struct
{
  size_t max_connections;
  size_t max_bytes; /* of all claims above GP_CONNECTION_SMALL */
} gp_connection_limits_t;

/* What a connection is doing.  */
typedef enum
{
  GP_CONNECTION_IDLE,      /* no part of a request has arrived */
  GP_CONNECTION_RECEIVING, /* part of a request has */
  GP_CONNECTION_ANSWERING, /* the answer is complete, but not all written */
  GP_CONNECTION_SERVING,   /* a request is complete and not answered */
  GP_CONNECTION_TRUSTED,   /* its peer belongs to the site */
  GP_CONNECTION_CLOSING,   /* it is being closed */
  GP_CONNECTION_PHASES     /* number of phases */
} gp_connection_phase_t;

/* The part of a connection in its budget, embedded in the connection.  */
typedef struct
{
  gp_list_t link;       /* in the list of its phase, by SINCE */
  gp_list_t large_link; /* in LARGE */
  gp_list_t wait_link;  /* in WAITING */
  gp_connection_phase_t phase;
  gp_time_t since;       /* when the phase began */
  gp_time_t large_since; /* when it was put into LARGE */
  size_t bytes;          /* granted */
  size_t wanted;         /* while it waits: bytes that it needs in all */
} gp_connection_claim_t;

typedef struct
{
  gp_connection_limits_t limits;
  size_t connections; /* without those that are trusted */
  size_t bytes;
  gp_list_t phases[GP_CONNECTION_PHASES];
  gp_list_t large;   /* may be closed, the first one first */
  gp_list_t waiting; /* for bytes, the first one first */
} gp_connection_budget_t;

/* What is to be done next.  */
typedef enum
{
  GP_BUDGET_NOTHING, /* nobody waits */
  GP_BUDGET_RESUME,  /* CLAIM has its bytes, and its connection may read */
  GP_BUDGET_CLOSE,   /* close the connection of CLAIM, for others */
  GP_BUDGET_REJECT,  /* close it, as it needs more than there is for all */
  GP_BUDGET_WAIT     /* ask again at AT */
} gp_budget_action_kind_t;

typedef struct
{
  gp_budget_action_kind_t kind;
  union
  {
    gp_connection_claim_t *claim; /* RESUME, CLOSE, REJECT */
    gp_time_t at;                 /* WAIT; GP_TIME_NEVER: when one ends */
  } u;
} gp_budget_action_t;

/* Whether a new connection can be accepted.  */
typedef enum
{
  GP_BUDGET_ACCEPT,
  GP_BUDGET_REPLACE, /* after another one has been closed */
  GP_BUDGET_REFUSE
} gp_budget_verdict_t;

void gp_connection_budget_init (gp_connection_budget_t *budget,
                                gp_connection_limits_t limits);

/* Returns whether a connection can be accepted at NOW, and sets *VICTIM to the
   claim of the one that has to be closed first, NULL if none.  */
gp_budget_verdict_t
gp_connection_budget_admit (const gp_connection_budget_t *budget,
                            gp_time_t now, gp_connection_claim_t **victim);

/* Adds CLAIM, of a new and idle connection, which the caller keeps in place
   until it is removed.  */
void gp_connection_budget_add (gp_connection_budget_t *budget,
                               gp_connection_claim_t *claim, gp_time_t now);
void gp_connection_budget_remove (gp_connection_budget_t *budget,
                                  gp_connection_claim_t *claim);

/* The connection of CLAIM is in PHASE.  A call with the present phase has no
   effect; a trusted connection stays so.  */
void gp_connection_budget_set_phase (gp_connection_budget_t *budget,
                                     gp_connection_claim_t *claim,
                                     gp_connection_phase_t phase,
                                     gp_time_t now);

/* The connection of CLAIM is idle from NOW on, as its peer has just sent
   something whole; it gives way after those that have been idle for longer.
   */
void gp_connection_budget_refresh (gp_connection_budget_t *budget,
                                   gp_connection_claim_t *claim,
                                   gp_time_t now);

/* Returns whether the connection of CLAIM may hold BYTES in all.  If not, it
   has to stop reading until GP_BUDGET_RESUME names it.  */
bool gp_connection_budget_grow (gp_connection_budget_t *budget,
                                gp_connection_claim_t *claim, size_t bytes,
                                gp_time_t now);

/* The connection of CLAIM holds no more than BYTES.  */
void gp_connection_budget_shrink (gp_connection_budget_t *budget,
                                  gp_connection_claim_t *claim, size_t bytes);

/* Returns whether BYTES can be granted at all.  */
bool gp_connection_budget_fits (const gp_connection_budget_t *budget,
                                size_t bytes);

/* Returns what to do at NOW.  A claim to be resumed has been granted its bytes
   and does not wait any more; one to be closed has to be removed, or set to
   GP_CONNECTION_CLOSING, before the next call.  */
gp_budget_action_t gp_connection_budget_next (gp_connection_budget_t *budget,
                                              gp_time_t now);

#endif

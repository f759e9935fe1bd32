/* Routing: which executor of a service gets a request.

   A router holds the candidates of one service as one entry sees them.  A
   pick samples two candidates of the entry's own availability zone and takes
   the one with the least expected wait; equal waits are decided by the
   fraction of slots in use.  Only if that wait exceeds the cost of the way
   to another zone are two candidates of other zones sampled as well, which
   pay that cost.  Below its slot count a candidate has no wait, so work
   leaves the zone only when that saves more time than it costs.

   The load of a candidate is this entry's own requests in flight, which it
   knows exactly, and those of others, which it knows from the last report
   and which fade towards the mean over all candidates as the report ages.
   The pace is that of the queue itself, so it is set as a part of the time
   that a request spends in a slot.

   A pick takes constant time for any number of candidates and allocates
   nothing.  Candidates that cannot take a request (ejected, or with all
   their connections in use) are kept apart and so are never sampled.  */

#ifndef GP_COORDINATION_ROUTER_H
#define GP_COORDINATION_ROUTER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"
#include "coordination/load.h"

/* Candidates that one request may have tried already.  */
#define GP_ROUTER_MAX_TRIED 4

typedef enum
{
  GP_CANDIDATE_OPEN,    /* takes requests */
  GP_CANDIDATE_CLOSED,  /* ejected: takes none */
  GP_CANDIDATE_PROBING, /* takes one request, see gp_router_offer_probe */
  GP_CANDIDATE_REMOVED  /* only waits for its exchanges to end */
} gp_candidate_mode_t;

/* One executor; memory of the caller.  */
typedef struct
{
  void *data; /* of the caller */

  /* The rest belongs to the router.  */
  bool near; /* in the entry's own zone */
  gp_candidate_mode_t mode;
  guint index; /* in its set, or GP_CANDIDATE_APART */
  uint32_t slots;
  uint32_t connections;
  uint32_t in_flight;  /* requests of this entry */
  uint32_t others;     /* requests of others at reported_at */
  uint32_t latency_us; /* time in a slot, 0 when unknown */
  gp_time_t reported_at;
  gp_list_t probe_link;
} gp_candidate_t;

#define GP_CANDIDATE_APART G_MAXUINT

typedef struct
{
  gp_time_t zone_cost; /* there and back to another zone */
  uint32_t report_pct; /* the age, in % of the time in a slot, at which a
                          report has half its weight */
} gp_router_settings_t;

#define GP_ROUTER_SETTINGS_DEFAULT                                            \
  ((gp_router_settings_t){ .zone_cost = 3 * GP_MSEC, .report_pct = 50 })

typedef struct
{
  gp_router_settings_t settings;
  GPtrArray *near; /* candidates of the own zone that take requests */
  GPtrArray *far;  /* and of other zones */
  gp_list_t probes;
  /* Sums over all candidates that were added.  */
  guint n_candidates;
  guint n_latencies; /* candidates whose latency is known */
  uint64_t total_slots;
  uint64_t total_in_flight;
  uint64_t total_others;
  uint64_t total_latency_us;
} gp_router_t;

/* What a pick must respect.  */
typedef struct
{
  gp_candidate_t *tried[GP_ROUTER_MAX_TRIED];
  guint n_tried;
  bool may_probe; /* it can be run again if the probe fails */
} gp_route_t;

void gp_router_init (gp_router_t *router,
                     const gp_router_settings_t *settings);

/* Candidates that are still there stay the caller's.  */
void gp_router_finish (gp_router_t *router);

/* Add a candidate, which takes requests at once, or remove it.  NEAR: it is
   in the entry's own zone.  CONNECTIONS bounds the requests in flight.
   After removal its memory must stay until its exchanges have ended.  */
void gp_router_add (gp_router_t *router, gp_candidate_t *candidate, bool near,
                    uint32_t slots, uint32_t connections, void *data);
void gp_router_remove (gp_router_t *router, gp_candidate_t *candidate);

/* Take no requests, one that may probe, or all.  */
void gp_router_eject (gp_router_t *router, gp_candidate_t *candidate);
void gp_router_offer_probe (gp_router_t *router, gp_candidate_t *candidate);
void gp_router_readmit (gp_router_t *router, gp_candidate_t *candidate);

/* The candidate for ROUTE, or NULL when none is left.  Nothing is counted
   until gp_router_sent; a candidate that is probing is offered until then.  */
gp_candidate_t *gp_router_pick (gp_router_t *router, const gp_route_t *route,
                                GRand *rand, gp_time_t now);

/* Does a candidate remain for ROUTE?  */
bool gp_router_has_candidate (const gp_router_t *router,
                              const gp_route_t *route);

/* A request was sent to the candidate, or its exchange ended.  */
void gp_router_sent (gp_router_t *router, gp_candidate_t *candidate);
void gp_router_done (gp_router_t *router, gp_candidate_t *candidate);

/* The guard reported its load, which includes what this entry has in
   flight there.  Reports older than the last one are ignored.  */
void gp_router_report (gp_router_t *router, gp_candidate_t *candidate,
                       const gp_load_t *load);

/* The requests a candidate is thought to hold, in thousandths.  */
uint64_t gp_router_load (const gp_router_t *router,
                         const gp_candidate_t *candidate, gp_time_t now);

/* How long a new request would wait for a slot, in microseconds: at one
   candidate, or at a mean one of the service.  */
gp_time_t gp_router_wait_at (const gp_router_t *router,
                             const gp_candidate_t *candidate, gp_time_t now);
gp_time_t gp_router_wait (const gp_router_t *router);

/* The mean time in a slot over the candidates, in microseconds.  */
gp_time_t gp_router_latency (const gp_router_t *router);

#endif

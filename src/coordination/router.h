/* Routing: selects the executor of a service that gets a request.

   A router holds the candidates of one service as seen by one entry.  To
   pick one, it samples two candidates in the entry's own availability zone
   and takes the one with the shorter expected wait; ties are broken by the
   fraction of slots in use.  Only if that wait exceeds the cost of
   reaching another zone are two candidates in other zones sampled as well,
   with that cost added.  A candidate with a free slot has no wait, so work
   leaves the zone only if that saves more time than it costs.

   The load of a candidate consists of this entry's own requests in flight,
   which are known exactly, and those of other entries, which are known
   from the last report and decay towards the mean over all candidates as
   the report ages.  The decay rate is that of the queue itself, so it is
   configured as a fraction of the service time.

   A pick takes constant time for any number of candidates and allocates
   nothing.  Candidates that are not eligible (ejected, or with all
   connections in use) are kept separate and so are never sampled.  */

#ifndef GP_COORDINATION_ROUTER_H
#define GP_COORDINATION_ROUTER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"
#include "coordination/load.h"

/* Maximum number of candidates that a request has already tried.  */
#define GP_ROUTER_MAX_TRIED 4

typedef enum
{
  GP_CANDIDATE_OPEN,    /* eligible while a connection is free */
  GP_CANDIDATE_CLOSED,  /* ejected: not eligible */
  GP_CANDIDATE_PROBING, /* eligible for one request, the probe */
  GP_CANDIDATE_REMOVED  /* waits for its exchanges to end */
} gp_candidate_mode_t;

/* State of one executor, allocated by the caller.  */
typedef struct
{
  void *data; /* for the caller */

  /* Private.  */
  bool near; /* in the entry's own zone */
  gp_candidate_mode_t mode;
  guint index; /* index in its set, or GP_CANDIDATE_NOT_IN_SET */
  uint32_t slots;
  uint32_t connections;
  uint32_t in_flight;  /* requests from this entry */
  uint32_t others;     /* requests from other entries, at reported_at */
  uint32_t latency_us; /* service time; 0 if unknown */
  gp_time_t reported_at;
  gp_list_t probe_link;
} gp_candidate_t;

#define GP_CANDIDATE_NOT_IN_SET G_MAXUINT

typedef struct
{
  gp_time_t zone_cost; /* round trip to another zone */
  uint32_t report_pct; /* age, in % of the service time, at which a report has
                          half its weight */
} gp_router_settings_t;

#define GP_ROUTER_SETTINGS_DEFAULT                                            \
  ((gp_router_settings_t){ .zone_cost = 3 * GP_MSEC, .report_pct = 50 })

typedef struct
{
  gp_router_settings_t settings;
  GPtrArray *near; /* eligible candidates in the own zone */
  GPtrArray *far;  /* the same in other zones */
  gp_list_t probes;
  /* Sums over all candidates.  */
  guint n_candidates;
  guint n_latencies; /* candidates whose latency is known */
  uint64_t total_slots;
  uint64_t total_in_flight;
  uint64_t total_others;
  uint64_t total_latency_us;
} gp_router_t;

/* Constraints of a pick.  */
typedef struct
{
  gp_candidate_t *tried[GP_ROUTER_MAX_TRIED];
  guint n_tried;
  bool may_probe; /* can be retried if the probe fails */
} gp_route_t;

void gp_router_init (gp_router_t *router,
                     const gp_router_settings_t *settings);

/* Remaining candidates stay owned by the caller.  */
void gp_router_finish (gp_router_t *router);

/* Adds a candidate, which is eligible immediately, or removes it.  NEAR
   means that it is in the entry's own zone.  CONNECTIONS limits the
   requests in flight.  After removal the candidate must stay valid until
   its exchanges have ended.  */
void gp_router_add (gp_router_t *router, gp_candidate_t *candidate, bool near,
                    uint32_t slots, uint32_t connections, void *data);
void gp_router_remove (gp_router_t *router, gp_candidate_t *candidate);

/* Make the candidate eligible for no request, for one request with may_probe
   set, or for all requests.  */
void gp_router_eject (gp_router_t *router, gp_candidate_t *candidate);
void gp_router_offer_probe (gp_router_t *router, gp_candidate_t *candidate);
void gp_router_readmit (gp_router_t *router, gp_candidate_t *candidate);

/* Returns the candidate for ROUTE, or NULL if none is left.  Nothing is
   counted until gp_router_sent is called; until then a probing candidate
   may be returned again.  */
gp_candidate_t *gp_router_pick (gp_router_t *router, const gp_route_t *route,
                                GRand *rand, gp_time_t now);

/* Returns true if a candidate is left for ROUTE.  */
bool gp_router_has_candidate (const gp_router_t *router,
                              const gp_route_t *route);

/* Record that a request was sent to the candidate, or that its exchange
   ended.  */
void gp_router_sent (gp_router_t *router, gp_candidate_t *candidate);
void gp_router_done (gp_router_t *router, gp_candidate_t *candidate);

/* Updates the candidate from its guard's load report, which includes this
   entry's requests in flight.  Reports older than the last one are
   ignored.  */
void gp_router_report (gp_router_t *router, gp_candidate_t *candidate,
                       const gp_load_t *load);

/* Returns the estimated number of requests at a candidate, in thousandths.  */
uint64_t gp_router_load (const gp_router_t *router,
                         const gp_candidate_t *candidate, gp_time_t now);

/* Return how long a new request would wait for a slot, in microseconds: at
   one candidate, or on average over the service.  */
gp_time_t gp_router_wait_at (const gp_router_t *router,
                             const gp_candidate_t *candidate, gp_time_t now);
gp_time_t gp_router_wait (const gp_router_t *router);

/* Returns the mean service time over the candidates, in microseconds.  */
gp_time_t gp_router_latency (const gp_router_t *router);

#endif

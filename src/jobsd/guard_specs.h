/* Exchange of job specifications between guards: requests to the guard that
   holds one, and answers to requests of other guards.  The specifications
   themselves are in jobs/spec_store.h.  */

#ifndef GP_JOBSD_GUARD_SPECS_H
#define GP_JOBSD_GUARD_SPECS_H

#include "base/list.h"
#include "jobs.pb-c.h"
#include "jobs/spec_store.h"
#include "jobsd/refusals.h"
#include "transport/peer.h"

typedef struct
{
  gp_loop_t *loop;
  gp_spec_store_t *store;
  gp_refusals_t *refusals;
  GHashTable *holders; /* address to the connection there, owned */
  gp_list_t requests;  /* requests for specifications that are not held yet */
  guint request_count;
  gp_time_t request_timeout; /* timeout of the first of them, or
                                GP_TIME_NEVER */
  gp_timer_t timer;          /* timeout of a holder or a request, or of an idle
                                connection */
  /* A specification was received or, if FAILED, cannot be obtained from its
     holder.  */
  void (*on_change) (bool failed, void *data);
  void *data;
} gp_guard_specs_t;

void gp_guard_specs_init (gp_guard_specs_t *specs, gp_loop_t *loop,
                          gp_spec_store_t *store, gp_refusals_t *refusals,
                          void (*on_change) (bool failed, void *data),
                          void *data);
void gp_guard_specs_finish (gp_guard_specs_t *specs);

/* The leader has sent COUNT specifications or their holders.  */
void gp_guard_specs_from_leader (gp_guard_specs_t *specs,
                                 Gp__Jobs__Spec **offered, size_t count);

/* The guard behind PEER requests a specification.  */
void gp_guard_specs_requested (gp_guard_specs_t *specs, gp_peer_t *peer,
                               const Gp__Jobs__WantSpec *want);
/* The connection of that guard was closed.  */
void gp_guard_specs_peer_closed (gp_guard_specs_t *specs,
                                 const gp_peer_t *peer);

#endif

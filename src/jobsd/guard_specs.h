/* Specifications of jobs between guards: asking the guard that holds one, and
   answering those that ask here.  What is held stands in
   jobs/spec_store.h.  */

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
  gp_list_t askers;    /* guards that wait for what is not held yet */
  guint asker_count;
  gp_time_t askers_end; /* the first of them has waited long enough then, or
                           GP_TIME_NEVER */
  gp_timer_t timer; /* a holder, an asker or an idle connection is given up */
  /* A specification has come (FAILED: it cannot be got from its holder).  */
  void (*on_change) (bool failed, void *data);
  void *data;
} gp_guard_specs_t;

void gp_guard_specs_init (gp_guard_specs_t *specs, gp_loop_t *loop,
                          gp_spec_store_t *store, gp_refusals_t *refusals,
                          void (*on_change) (bool failed, void *data),
                          void *data);
void gp_guard_specs_finish (gp_guard_specs_t *specs);

/* The leader has told of COUNT specifications.  */
void gp_guard_specs_told (gp_guard_specs_t *specs, Gp__Jobs__Spec **told,
                          size_t count);

/* The guard behind PEER asks for one.  */
void gp_guard_specs_asked (gp_guard_specs_t *specs, gp_peer_t *peer,
                           const Gp__Jobs__WantSpec *want);
/* It has gone.  */
void gp_guard_specs_asker_gone (gp_guard_specs_t *specs,
                                const gp_peer_t *peer);

#endif

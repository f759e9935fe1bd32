/* Relaying of callers' requests: HTTP on one side, a guard on the other.

   A relay carries one request through its tries.  Each try has a handle of
   its own, so an answer of an earlier try finds nothing.  What the caller
   is told follows from the verdicts (see coordination/retry.h); a request
   that is given up gets its final answer at once.  */

#ifndef GP_DAEMON_RELAY_H
#define GP_DAEMON_RELAY_H

#include "base/heap.h"
#include "base/idpool.h"
#include "daemon/keys.h"
#include "daemon/limits.h"
#include "daemon/routes.h"
#include "state/document.h"
#include "transport/http.h"

typedef struct
{
  gp_loop_t *loop;
  gp_routes_t *routes;
  GRand *rand;
  const gp_document_t *document; /* NULL before the first configuration */
  gp_keys_t *keys;               /* NULL: keys of callers are not heeded */
  gp_idpool_t tries;             /* handle -> gp_relay_t */
  gp_heap_t deadlines;
  gp_timer_t timer;
  gp_limits_t limits;
  gp_timeline_t *timeline; /* may be NULL */
  gp_list_t waiting;       /* relays without an answer, to ask their callers */
  gp_timer_t sweep_timer;
  uint64_t next_id;
  size_t open;
  size_t max_open;
  GString *line;           /* method and path of the request being sent */
  gp_time_t stall_timeout; /* without progress of an answer in parts */
} gp_relays_t;

void gp_relays_init (gp_relays_t *relays, gp_loop_t *loop, gp_routes_t *routes,
                     GRand *rand, size_t max_open, gp_time_t stall_timeout);
void gp_relays_finish (gp_relays_t *relays);

/* The configuration in force; DOCUMENT stays valid until the next call.  */
void gp_relays_set_document (gp_relays_t *relays,
                             const gp_document_t *document);

/* A caller's request; DATA is the gp_relays_t.  */
void gp_relays_on_request (gp_http_exchange_t *exchange, void *data);

/* Messages of a guard's session.  */
void gp_relays_on_answer (gp_relays_t *relays, gp_session_t *session,
                          const Gp__Wire__Answer *answer);
void gp_relays_on_part (gp_relays_t *relays, gp_session_t *session,
                        const Gp__Wire__Part *part);
void gp_relays_on_broken (gp_relays_t *relays, gp_session_t *session,
                          const Gp__Wire__Broken *broken);

/* The session of TARGET can take more; a session with a target is closed.  */
void gp_relays_on_drain (gp_relays_t *relays, gp_target_t *target);
void gp_relays_on_closed (gp_relays_t *relays, gp_session_t *session);

/* TARGET is not heard any more, though its session is open.  What waits for
   it is ended: tried elsewhere, or answered at once.  */
void gp_relays_on_silent (gp_relays_t *relays, gp_target_t *target);

#endif

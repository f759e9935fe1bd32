/* Relays requests between callers (HTTP) and guards (sessions).

   A relay represents one request and its attempts.  Each attempt has its own
   handle, so an answer to an earlier attempt is ignored.  The answer to the
   caller follows from the verdicts of the attempts (see
   coordination/retry.h); a request that is not retried is answered at
   once.  */

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
  const gp_document_t *document;  /* NULL before the first configuration */
  gp_keys_t *keys;                /* NULL: idempotency keys are ignored */
  gp_idpool_t attempts_by_handle; /* handle of an attempt -> gp_relay_t */
  gp_heap_t timeouts;             /* by gp_relay_t.timeout_at */
  gp_timer_t timer;
  gp_limits_t limits;
  gp_timeline_t *timeline; /* may be NULL */
  gp_list_t unanswered;    /* relays without an answer, whose callers are
                           checked for having hung up */
  gp_timer_t sweep_timer;
  uint64_t next_id;
  size_t open_count;
  size_t max_open_count;
  GString *request_line;   /* method and path of the request being sent */
  gp_time_t stall_timeout; /* for a streamed answer that makes no progress */
} gp_relays_t;

void gp_relays_init (gp_relays_t *relays, gp_loop_t *loop, gp_routes_t *routes,
                     GRand *rand, size_t max_open, gp_time_t stall_timeout);
void gp_relays_finish (gp_relays_t *relays);

/* Sets the configuration in force; DOCUMENT must stay valid until the next
   call.  */
void gp_relays_set_document (gp_relays_t *relays,
                             const gp_document_t *document);

/* Handles a caller's request; DATA is the gp_relays_t.  */
void gp_relays_on_request (gp_http_exchange_t *exchange, void *data);

/* Handle messages received from a guard.  */
void gp_relays_on_answer (gp_relays_t *relays, gp_session_t *session,
                          const Gp__Wire__Answer *answer);
void gp_relays_on_part (gp_relays_t *relays, gp_session_t *session,
                        const Gp__Wire__Part *part);
void gp_relays_on_broken (gp_relays_t *relays, gp_session_t *session,
                          const Gp__Wire__Broken *broken);

/* Called when the session of TARGET can accept more data, and when a session
   that has a target was closed.  */
void gp_relays_on_session_writable (gp_relays_t *relays, gp_target_t *target);
void gp_relays_on_session_closed (gp_relays_t *relays, gp_session_t *session);

/* Called when TARGET has become suspect (no heartbeats) although its session
   is open.  Attempts that wait for it are ended: the request is retried on
   another target, or answered at once.  */
void gp_relays_on_suspect (gp_relays_t *relays, gp_target_t *target);

#endif

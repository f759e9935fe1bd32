/* Declarations shared by the relay's source files: relay (attempts and retry
   decisions), relay_policy (deadline, team and kind of a request),
   relay_keyed (idempotency keys), relay_answer (answers to callers) and
   relay_send (messages to guards).  */

#ifndef GP_DAEMON_RELAY_PRIVATE_H
#define GP_DAEMON_RELAY_PRIVATE_H

#include "daemon/execution.h"
#include "daemon/relay.h"

#define GP_RELAY_NAME_SIZE 128

typedef struct
{
  gp_relays_t *relays;
  gp_http_exchange_t *exchange; /* NULL: the caller has left, and the relay
                                   only waits for the outcome */
  gp_service_t *service;
  char kind[GP_RELAY_NAME_SIZE]; /* from the document, or else the caller's
                                    header */
  char team[GP_RELAY_NAME_SIZE];
  gp_document_class_t work_class;
  gp_limits_permit_t permit;
  gp_keyed_t *keyed;           /* whose outcome must be recorded, or NULL */
  gp_target_t *target;         /* of the current attempt, or NULL */
  gp_session_t *session;       /* of the current or last attempt */
  gp_list_t target_link;       /* in target->relays */
  gp_list_t unanswered_link;   /* in gp_relays_t.unanswered */
  gp_heap_node_t timeout_node; /* in gp_relays_t.timeouts, unless EXPIRED */
  bool expired;
  gp_time_t timeout_at; /* sort key in gp_relays_t.timeouts */
  uint64_t id;
  uint64_t handle; /* of the current attempt */
  gp_time_t deadline;
  gp_time_t target_at; /* end of its latency target, or 0 */
  gp_time_t sent_at;
  gp_route_t route;
  uint32_t attempts;
  bool idempotent;
  bool streaming;
  bool head_received;
  bool cancelled; /* a Cancel was sent since the caller has left */
  bool part_in_flight;
  bool last_received;
  size_t body_size;
  size_t body_sent;
  size_t in_flight_size;
  GByteArray *pending; /* streamed bytes not yet sent to the caller, or
                          NULL if the answer is not streamed */
} gp_relay_t;

/* Lifecycle.  */
void gp_relay_set_timeout (gp_relay_t *relay, gp_time_t at);
void gp_relay_free (gp_relay_t *relay);

/* Sends the request to an upstream, or answers that there is none.  */
void gp_relay_dispatch (gp_relay_t *relay);

/* Dispatches the request.  A request that is not idempotent and has an
   idempotency key is dispatched only after an Intent for its key was
   accepted.  */
void gp_relay_start (gp_relay_t *relay);

/* Records the outcome of a keyed request, once.  UNSPECIFIED: the verdict is
   derived from the progress of the relay.  */
void gp_relay_record_outcome (gp_relay_t *relay, Gp__Wire__Verdict verdict);

/* Whether to wait for the verdict on a keyed request after its caller has
   left.  */
bool gp_relay_must_await_outcome (const gp_relay_t *relay);

/* Copies the first segment of EXCHANGE's path to NAME; false if it is empty
   or does not fit.  */
bool gp_relay_service_name (const gp_http_exchange_t *exchange, char *name,
                            size_t size);

/* Whether path and headers are short enough to be forwarded.  */
bool gp_relay_headers_fit (const gp_http_exchange_t *exchange);

/* Copies the settings for the request from the document, whose structures
   may be replaced while the request is in progress.  */
void gp_relay_apply_policy (gp_relay_t *relay);

/* The path after the service's name.  */
gp_http_text_t gp_relay_path (const gp_relay_t *relay);

/* Messages to the guard of the current attempt.  */
void gp_relay_send (gp_relay_t *relay, gp_time_t now);
void gp_relay_send_body (gp_relay_t *relay);
void gp_relay_send_cancel (gp_relay_t *relay);
void gp_relay_send_credit (gp_relay_t *relay, size_t bytes);

/* Answers EXCHANGE with a failure.  RETRY_AFTER is a duration; if it is
   negative, the answer has no retry hint.  */
void gp_relay_answer_failure (gp_http_exchange_t *exchange,
                              Gp__Wire__Verdict verdict,
                              Gp__Wire__Reason reason, gp_time_t retry_after);

/* Answers RELAY's exchange with a failure and frees RELAY.  */
void gp_relay_fail (gp_relay_t *relay, Gp__Wire__Verdict verdict,
                    Gp__Wire__Reason reason, gp_time_t retry_after);

/* Sends an answer that arrived in one message; frees RELAY.  */
void gp_relay_answer (gp_relay_t *relay, const Gp__Wire__Answer *answer);

/* Starts to stream an answer; ANSWER holds its head and first part.  */
void gp_relay_start_stream (gp_relay_t *relay, const Gp__Wire__Answer *answer);

/* Sends the next pending part to the caller; frees RELAY after the last.  */
void gp_relay_send_next_part (gp_relay_t *relay);
void gp_relay_on_part_sent (void *data);

/* Aborts a streamed answer, so that the caller sees it is incomplete; frees
   RELAY.  */
void gp_relay_abort_stream (gp_relay_t *relay);

void gp_relay_register_counters (void);

#endif

/* What the parts of relaying share: relay.c (tries and decisions),
   relay_policy.c (what is asked for), relay_answer.c (the caller's side) and
   relay_send.c (the guard's).  */

#ifndef GP_DAEMON_RELAY_PRIVATE_H
#define GP_DAEMON_RELAY_PRIVATE_H

#include "daemon/execution.h"
#include "daemon/relay.h"

#define GP_RELAY_NAME_SIZE 128

typedef struct
{
  gp_relays_t *relays;
  gp_http_exchange_t *exchange; /* NULL: its outcome is awaited alone */
  gp_service_t *service;
  char kind[GP_RELAY_NAME_SIZE]; /* of the document, or the caller's word */
  char team[GP_RELAY_NAME_SIZE];
  gp_document_class_t work_class;
  gp_limits_hold_t hold;
  gp_keyed_t *keyed;   /* its outcome is due, or NULL */
  gp_target_t *target; /* of the current try, or NULL */
  gp_session_t *session;
  gp_list_t link;      /* in target->relays */
  gp_list_t waiting;   /* in relays->waiting */
  gp_heap_node_t node; /* in relays->deadlines, unless EXPIRED */
  bool expired;
  gp_time_t wake_at; /* its order there */
  uint64_t id;
  uint64_t handle;
  gp_time_t deadline;
  gp_time_t due; /* when its latency target is, or 0 */
  gp_time_t sent_at;
  gp_route_t route;
  uint32_t attempts;
  bool idempotent;
  bool streaming;
  bool head_received;
  bool cancelled; /* the guard was told that the caller has gone */
  bool part_in_flight;
  bool last_received;
  size_t body_size;
  size_t body_sent;
  size_t in_flight_size;
  GByteArray *pending; /* of an answer in parts, else NULL */
} gp_relay_t;

/* Life.  */
void gp_relay_set_wake (gp_relay_t *relay, gp_time_t at);
void gp_relay_free (gp_relay_t *relay);

/* Send the request to an upstream, or answer that there is none.  */
void gp_relay_dispatch (gp_relay_t *relay);

/* Dispatch, after a request that must not run twice has the right to run
   under its key, if it has one.  */
void gp_relay_start (gp_relay_t *relay);

/* Tell the outcome of a keyed request, once.  UNSPECIFIED: what is known so
   far.  */
void gp_relay_end_key (gp_relay_t *relay, Gp__Wire__Verdict verdict);

/* Whether the verdict on a keyed request is wanted without its caller.  */
bool gp_relay_awaits_outcome (const gp_relay_t *relay);

/* Write the first segment of EXCHANGE's path to NAME; false when there is
   none that fits.  */
bool gp_relay_service_name (const gp_http_exchange_t *exchange, char *name,
                            size_t size);

/* Whether path and headers are not too long to be passed on.  */
bool gp_relay_headers_fit (const gp_http_exchange_t *exchange);

/* Take over what the document says of the request; its structures may be
   replaced while the request is under way.  */
void gp_relay_find_policy (gp_relay_t *relay);

/* The path behind the service's name.  */
gp_http_text_t gp_relay_path (const gp_relay_t *relay);

/* Messages to the guard of the current try.  */
void gp_relay_send (gp_relay_t *relay, gp_time_t now);
void gp_relay_send_body (gp_relay_t *relay);
void gp_relay_send_cancel (gp_relay_t *relay);
void gp_relay_send_credit (gp_relay_t *relay, size_t bytes);

/* Answer EXCHANGE with a failure.  RETRY_AFTER is a duration, negative: no
   hint is given.  */
void gp_relay_refuse (gp_http_exchange_t *exchange, Gp__Wire__Verdict verdict,
                      Gp__Wire__Reason reason, gp_time_t retry_after);

/* The same for RELAY, which is freed.  */
void gp_relay_fail (gp_relay_t *relay, Gp__Wire__Verdict verdict,
                    Gp__Wire__Reason reason, gp_time_t retry_after);

/* An answer that came whole; RELAY is freed.  */
void gp_relay_answer (gp_relay_t *relay, const Gp__Wire__Answer *answer);

/* The head and first part of a longer one.  */
void gp_relay_stream (gp_relay_t *relay, const Gp__Wire__Answer *answer);

/* Pass on what is pending; RELAY is freed with the last part.  */
void gp_relay_send_next (gp_relay_t *relay);
void gp_relay_on_proceed (void *data);

/* The caller sees that the answer is cut short; RELAY is freed.  */
void gp_relay_cut (gp_relay_t *relay);

void gp_relay_register_counters (void);

#endif

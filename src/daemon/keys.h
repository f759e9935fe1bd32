/* Requests with an idempotency key ("keyed requests"): at most one run for
   each key.

   A caller sends a key with a request that must not run twice.  Before the
   request is dispatched an Intent is proposed; if several entries get
   requests with the same key, the first Intent in the log decides which of
   them dispatches.  The Outcome is appended after the caller has been
   answered, so that any entry can replay the first answer to a later request
   with the key.

   A key whose entry terminated without an Outcome may have run: it is reported
   as unknown and never run again.  While the log accepts no records, requests
   with a new key are refused, and have not run.  */

#ifndef GP_DAEMON_KEYS_H
#define GP_DAEMON_KEYS_H

#include "base/timeline.h"
#include "daemon/store.h"
#include "protocol/session.h"
#include "transport/http.h"

typedef struct gp_keys gp_keys_t;

/* A keyed request of this entry, until its Outcome is in the log.  */
typedef struct gp_keyed gp_keyed_t;

typedef enum
{
  GP_KEYS_RUN,         /* dispatch it, then call gp_keyed_end */
  GP_KEYS_REPLAY,      /* it ran: replay the answer */
  GP_KEYS_BUSY,        /* it is in progress */
  GP_KEYS_MISMATCH,    /* the key was used for a different request */
  GP_KEYS_UNKNOWN,     /* it may have run, and will not run again */
  GP_KEYS_UNAVAILABLE, /* not run: the log accepts no records now */
  GP_KEYS_LATE         /* not run: its deadline has passed */
} gp_keys_verdict_t;

/* The decision on a keyed request, with the answer to replay, if any.  */
typedef struct
{
  gp_keys_verdict_t verdict;
  uint32_t status;       /* REPLAY */
  const uint8_t *answer; /* REPLAY: a packed gp.wire.Answer */
  size_t answer_size;    /* 0 if the answer was not stored */
} gp_keys_decision_t;

typedef void (*gp_keys_decided_t) (const gp_keys_decision_t *decision,
                                   void *data);

/* The identity of a keyed request and a hash of its content.  */
typedef struct
{
  uint64_t id; /* shown in the timeline */
  const char *team;
  const char *service;
  GBytes *key;      /* as the caller sent it */
  uint64_t request; /* hash of method, path and body */
} gp_keys_request_t;

gp_keys_t *gp_keys_new (gp_session_host_t *host, gp_store_t *store,
                        gp_timeline_t *timeline);
void gp_keys_free (gp_keys_t *keys);

/* Decides on REQUEST.  DECIDED is called once, never from within this
   function; unless its verdict is GP_KEYS_RUN, the returned object is invalid
   after the call.  */
gp_keyed_t *gp_keys_begin (gp_keys_t *keys, const gp_keys_request_t *request,
                           gp_time_t deadline, gp_keys_decided_t decided,
                           void *data);

/* Store the head of an answer and its first part, then its further parts, for
   replay; an answer that is too large is dropped.  */
void gp_keyed_store_head (gp_keyed_t *keyed, const Gp__Wire__Answer *answer);
void gp_keyed_store_part (gp_keyed_t *keyed, const void *bytes, size_t size);
/* Drops the stored answer, which is incomplete.  */
void gp_keyed_drop_answer (gp_keyed_t *keyed);

/* Ends the request: it ran (with the answer that was stored), did not run, or
   this is unknown.  If DECIDED was not called yet, the request is abandoned
   and DECIDED will not be called.  KEYED is invalid afterwards.  */
void gp_keyed_end (gp_keyed_t *keyed, Gp__Wire__Verdict verdict);

/* Answers a request whose key was used before: DECISION is REPLAY, BUSY or
   MISMATCH.  For other decisions it does nothing and returns false.  */
bool gp_keys_answer (gp_http_exchange_t *exchange,
                     const gp_keys_decision_t *decision);

/* Computes gp_keys_request_t.request.  */
uint64_t gp_keys_hash (const char *method, size_t method_size,
                       const char *path, size_t path_size, const void *body,
                       size_t body_size);

/* Computes the digest of team, service and key under which the log stores
   REQUEST's key.  */
void gp_keys_digest (const gp_keys_request_t *request,
                     uint8_t key[GP_FOLD_KEY_SIZE]);

/* Decides by the state of KEY in FOLD (NULL: not seen), without side effects.
   RUN means that an Intent may be proposed.  OWNER_ALIVE is whether the
   entry that holds an open key is alive.  */
gp_keys_verdict_t gp_keys_decide (const gp_fold_t *fold,
                                  const gp_fold_key_t *key, uint64_t request,
                                  bool owner_alive);

#endif

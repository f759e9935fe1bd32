/* Keyed requests at an entry: at most one run for a key.

   A request that must not run twice comes with a key of its caller's.  Before
   it is dispatched an Intent is proposed; of several entries that are asked
   for one key the log's order chooses the one that dispatches.  Its Outcome
   follows on the log, after the caller has been answered, so that a later
   try is answered as the first one was, by whatever entry it comes to.

   A key whose entry died without an Outcome may have run: it is told as
   unknown and is never run again.  While the log takes nothing a new key is
   refused, and has not run.  */

#ifndef GP_DAEMON_KEYS_H
#define GP_DAEMON_KEYS_H

#include "base/timeline.h"
#include "daemon/store.h"
#include "protocol/session.h"
#include "transport/http.h"

typedef struct gp_keys gp_keys_t;

/* One keyed request of this entry, until its Outcome is on the log.  */
typedef struct gp_keyed gp_keyed_t;

typedef enum
{
  GP_KEYS_RUN,         /* dispatch it; gp_keyed_end is due */
  GP_KEYS_REPLAY,      /* it ran: answer as then */
  GP_KEYS_BUSY,        /* it is in progress */
  GP_KEYS_MISMATCH,    /* the key came with another request before */
  GP_KEYS_UNKNOWN,     /* it may have run, and never will again */
  GP_KEYS_UNAVAILABLE, /* not run: the log takes nothing now */
  GP_KEYS_LATE         /* not run: the deadline came first */
} gp_keys_verdict_t;

/* What is to be done with a keyed request.  */
typedef struct
{
  gp_keys_verdict_t verdict;
  uint32_t status;       /* REPLAY */
  const uint8_t *answer; /* REPLAY: a packed gp.wire.Answer, ... */
  size_t answer_size;    /* ... or 0 when it was not kept */
} gp_keys_decision_t;

typedef void (*gp_keys_decided_t) (const gp_keys_decision_t *decision,
                                   void *data);

/* What identifies a request, and what it asks for.  */
typedef struct
{
  uint64_t id; /* for the timeline */
  const char *team;
  const char *service;
  GBytes *key;      /* as the caller sent it */
  uint64_t request; /* hash of method, path and body */
} gp_keys_request_t;

gp_keys_t *gp_keys_new (gp_session_host_t *host, gp_store_t *store,
                        gp_timeline_t *timeline);
void gp_keys_free (gp_keys_t *keys);

/* Decide on REQUEST.  DECIDED is called once, never from inside; unless it
   says GP_KEYS_RUN the result is invalid after.  */
gp_keyed_t *gp_keys_begin (gp_keys_t *keys, const gp_keys_request_t *request,
                           gp_time_t deadline, gp_keys_decided_t decided,
                           void *data);

/* Keep the head of an answer and its first part, then its further parts, to
   be replayed; what is too large to be kept is dropped.  */
void gp_keyed_keep_head (gp_keyed_t *keyed, const Gp__Wire__Answer *answer);
void gp_keyed_keep_part (gp_keyed_t *keyed, const void *bytes, size_t size);
/* What was kept is not the whole answer.  */
void gp_keyed_drop_answer (gp_keyed_t *keyed);

/* The request has come to its end: it ran (with the answer that was kept),
   did not, or this is not known.  Before DECIDED: it is given up, and
   DECIDED is not called.  KEYED is invalid after.  */
void gp_keyed_end (gp_keyed_t *keyed, Gp__Wire__Verdict verdict);

/* Answer a request by a DECISION that says what a key's earlier try has come
   to: REPLAY, BUSY and MISMATCH.  False, and nothing done, for others.  */
bool gp_keys_answer (gp_http_exchange_t *exchange,
                     const gp_keys_decision_t *decision);

/* The hash of a request for gp_keys_request_t.  */
uint64_t gp_keys_hash (const char *method, size_t method_size,
                       const char *path, size_t path_size, const void *body,
                       size_t body_size);

/* The digest of team, service and key that names REQUEST's key on the log. */
void gp_keys_digest (const gp_keys_request_t *request,
                     uint8_t key[GP_FOLD_KEY_SIZE]);

/* The pure decision by KEY as FOLD has it (NULL: not seen); RUN means that
   an Intent may be proposed.  OWNER_ALIVE tells whether the entry that holds
   an open key is there.  */
gp_keys_verdict_t gp_keys_decide (const gp_fold_t *fold,
                                  const gp_fold_key_t *key, uint64_t request,
                                  bool owner_alive);

#endif

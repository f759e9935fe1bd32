/* Keyed requests at an entry.

   A keyed request is DECIDING until its verdict, RUNNING while this entry may
   dispatch it, and ENDED while its Outcome is being written to the log.  An
   Outcome that the log refuses for now is proposed again until it is
   accepted.  All of this entry's requests that are RUNNING, ENDED or have a
   proposed Intent are in ACTIVE, at most one for each key.  So if this entry
   did not read its Intent back as a single record, for example because it
   read a snapshot, the Intent was accepted if the state of the key names
   this entry as its owner.  */

#include "daemon/keys.h"

#include <string.h>

#include "base/counters.h"
#include "daemon/stored_answer.h"

#define OUTCOME_RETRY (200 * GP_MSEC)
/* An entry that has not connected by this time after the start is taken to be
   dead.  */
#define PEERS_GRACE (2 * GP_SEC)

typedef enum
{
  KEYED_DECIDING,
  KEYED_RUNNING,
  KEYED_ENDED
} keyed_state_t;

struct gp_keyed
{
  uint8_t key[GP_FOLD_KEY_SIZE]; /* must be first: hash key of ACTIVE */
  gp_list_t link;                /* in gp_keys_t.unwritten */
  gp_keys_t *keys;
  keyed_state_t state;
  bool active;
  uint64_t id;
  uint64_t request;
  gp_time_t deadline;
  gp_proposal_t *proposal; /* of the Intent */
  gp_deferred_t deferred;  /* calls DECIDED */
  bool has_verdict;        /* VERDICT is set */
  gp_keys_verdict_t verdict;
  gp_keys_decided_t decided; /* NULL once called or abandoned */
  void *data;
  Gp__Wire__Verdict outcome;
  gp_stored_answer_t stored;
};

struct gp_keys
{
  gp_session_host_t *host;
  gp_store_t *store;
  gp_timeline_t *timeline;
  gp_time_t started_at;
  GHashTable *active;  /* set of gp_keyed_t */
  gp_list_t unwritten; /* of gp_keyed_t: outcomes that the log refused */
  gp_timer_t timer;    /* proposes them again */
  gp_closer_t closer;  /* frees the memory after the timer is closed */
};

static gp_counter_t intents
    = GP_COUNTER ("keys_intents_total", "Intents accepted.");
static gp_counter_t replayed
    = GP_COUNTER ("keys_replayed_total", "Answers replayed.");
static gp_counter_t busy
    = GP_COUNTER ("keys_busy_total", "Tries of a key in progress.");
static gp_counter_t mismatched = GP_COUNTER (
    "keys_mismatched_total", "Keys that came with another request.");
static gp_counter_t unknown
    = GP_COUNTER ("keys_unknown_total", "Tries answered as unknown.");
static gp_counter_t not_run = GP_COUNTER (
    "keys_refused_total", "Keyed requests refused without an intent.");
static gp_counter_t active_keys
    = GP_GAUGE ("keys_active", "Keys of this entry without an outcome.");

static guint
hash_key (const void *key)
{
  guint hash;

  memcpy (&hash, key, sizeof hash);
  return hash;
}

static gboolean
equal_keys (const void *a, const void *b)
{
  return memcmp (a, b, GP_FOLD_KEY_SIZE) == 0;
}

/* Lifecycle of a keyed request.  */

static void
set_active (gp_keyed_t *keyed)
{
  if (keyed->active)
    return;
  keyed->active = true;
  g_hash_table_add (keyed->keys->active, keyed);
  gp_counter_set (&active_keys, g_hash_table_size (keyed->keys->active));
}

static void
keyed_free (gp_keyed_t *keyed)
{
  if (keyed->active)
    g_hash_table_remove (keyed->keys->active, keyed);
  gp_counter_set (&active_keys, g_hash_table_size (keyed->keys->active));
  gp_list_remove (&keyed->link);
  gp_deferred_cancel (&keyed->deferred);
  gp_stored_answer_finish (&keyed->stored);
  g_free (keyed);
}

static void
add_event (const gp_keyed_t *keyed, gp_timeline_kind_t kind, const char *text)
{
  const gp_timeline_subject_t subject = { .request = keyed->id };

  if (keyed->keys->timeline != NULL)
    gp_timeline_append (keyed->keys->timeline, kind, &subject, text,
                        gp_time_wall ());
}

/* Outcomes.  */

static Gp__Record__KeyState
outcome_state (Gp__Wire__Verdict verdict)
{
  switch (verdict)
    {
    case GP__WIRE__VERDICT__VERDICT_RAN:
      return GP__RECORD__KEY_STATE__KEY_STATE_RAN;
    case GP__WIRE__VERDICT__VERDICT_NOT_RUN:
      return GP__RECORD__KEY_STATE__KEY_STATE_NOT_RUN;
    default:
      return GP__RECORD__KEY_STATE__KEY_STATE_UNKNOWN;
    }
}

static void
on_outcome_read (gp_proposal_result_t result, gp_fold_verdict_t verdict,
                 void *data)
{
  keyed_free (data);
}

static gp_writer_result_t
propose_outcome (gp_store_t *store, uint8_t *key, Gp__Record__KeyState state,
                 gp_keyed_t *keyed)
{
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  Gp__Record__Outcome outcome = GP__RECORD__OUTCOME__INIT;

  outcome.key.data = key;
  outcome.key.len = GP_FOLD_KEY_SIZE;
  outcome.state = state;
  if (keyed != NULL)
    outcome.status = keyed->stored.status;
  if (keyed != NULL && keyed->stored.packed != NULL)
    {
      outcome.answer.data = keyed->stored.packed->data;
      outcome.answer.len = keyed->stored.packed->len;
    }
  record.record_case = GP__RECORD__RECORD__RECORD_OUTCOME;
  record.outcome = &outcome;
  return gp_store_propose (store, &record, GP_WRITER_NORMAL, GP_TIME_NEVER,
                           keyed != NULL ? on_outcome_read : NULL, keyed,
                           NULL);
}

/* Proposes the outcome of an ended request, now or after OUTCOME_RETRY.  */
static void
write_outcome (gp_keyed_t *keyed)
{
  gp_keys_t *keys = keyed->keys;

  if (propose_outcome (keys->store, keyed->key, outcome_state (keyed->outcome),
                       keyed)
      == GP_WRITER_QUEUED)
    return;
  gp_list_push_back (&keys->unwritten, &keyed->link);
  gp_timer_arm (&keys->timer, gp_loop_now (keys->host->loop) + OUTCOME_RETRY);
}

static void
on_outcome_retry (gp_timer_t *timer, void *data)
{
  gp_keys_t *keys = data;
  gp_list_t waiting;
  gp_list_t *link;

  gp_list_init (&waiting);
  while ((link = gp_list_pop_front (&keys->unwritten)) != NULL)
    gp_list_push_back (&waiting, link);
  while ((link = gp_list_pop_front (&waiting)) != NULL)
    write_outcome (GP_CONTAINER_OF (link, gp_keyed_t, link));
}

/* Answers.  */

void
gp_keyed_drop_answer (gp_keyed_t *keyed)
{
  gp_stored_answer_drop (&keyed->stored);
}

void
gp_keyed_store_part (gp_keyed_t *keyed, const void *bytes, size_t size)
{
  gp_stored_answer_part (&keyed->stored, bytes, size);
}

void
gp_keyed_store_head (gp_keyed_t *keyed, const Gp__Wire__Answer *answer)
{
  gp_stored_answer_head (&keyed->stored, answer);
}

/* Abandons the decision.  If the Intent is in the log or may still get there,
   the request stays until its Outcome has been written.  */
static void
abandon (gp_keyed_t *keyed)
{
  bool may_be_open = keyed->verdict == GP_KEYS_RUN;

  if (!keyed->has_verdict)
    may_be_open = keyed->proposal != NULL
                  && !gp_store_withdraw (keyed->keys->store, keyed->proposal);
  if (!may_be_open)
    keyed_free (keyed);
}

void
gp_keyed_end (gp_keyed_t *keyed, Gp__Wire__Verdict verdict)
{
  keyed->decided = NULL;
  if (keyed->state == KEYED_DECIDING)
    {
      abandon (keyed);
      return;
    }
  keyed->state = KEYED_ENDED;
  keyed->outcome = verdict;
  if (verdict == GP__WIRE__VERDICT__VERDICT_RAN)
    gp_stored_answer_pack (&keyed->stored);
  add_event (keyed, GP_TIMELINE_KEY_OUTCOME,
             verdict == GP__WIRE__VERDICT__VERDICT_RAN       ? "ran"
             : verdict == GP__WIRE__VERDICT__VERDICT_NOT_RUN ? "not-run"
                                                             : "unknown");
  write_outcome (keyed);
}

/* Decisions.  */

gp_keys_verdict_t
gp_keys_decide (const gp_fold_t *fold, const gp_fold_key_t *key,
                uint64_t request, bool owner_alive)
{
  if (key == NULL)
    return GP_KEYS_RUN;
  if (key->request != request)
    return GP_KEYS_MISMATCH;
  switch (gp_fold_key_state (fold, key))
    {
    case GP__RECORD__KEY_STATE__KEY_STATE_RAN:
      return GP_KEYS_REPLAY;
    case GP__RECORD__KEY_STATE__KEY_STATE_OPEN:
      return owner_alive ? GP_KEYS_BUSY : GP_KEYS_UNKNOWN;
    default:
      return GP_KEYS_UNKNOWN;
    }
}

static bool
is_own (const gp_keys_t *keys, const gp_fold_key_t *key)
{
  return key->owner_incarnation == keys->host->self.incarnation
         && strcmp (key->owner, keys->host->self.process) == 0;
}

/* Whether the entry that opened KEY is still alive, as far as this entry
   knows.  */
static bool
owner_alive (const gp_keys_t *keys, const gp_fold_key_t *key)
{
  if (strcmp (key->owner, keys->host->self.process) == 0)
    return is_own (keys, key);
  GP_LIST_FOREACH (pos, &keys->host->sessions)
  {
    const gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (session->ready && strcmp (session->process, key->owner) == 0)
      return session->incarnation == key->owner_incarnation;
  }
  return gp_loop_now (keys->host->loop) < keys->started_at + PEERS_GRACE;
}

static void
count_verdict (gp_keys_verdict_t verdict)
{
  switch (verdict)
    {
    case GP_KEYS_RUN:
      gp_counter_add (&intents, 1);
      break;
    case GP_KEYS_REPLAY:
      gp_counter_add (&replayed, 1);
      break;
    case GP_KEYS_BUSY:
      gp_counter_add (&busy, 1);
      break;
    case GP_KEYS_MISMATCH:
      gp_counter_add (&mismatched, 1);
      break;
    case GP_KEYS_UNKNOWN:
      gp_counter_add (&unknown, 1);
      break;
    case GP_KEYS_UNAVAILABLE:
    case GP_KEYS_LATE:
      gp_counter_add (&not_run, 1);
      break;
    }
}

/* Sets the answer to be replayed, either from the log or from a request of
   this entry whose outcome is not in the log yet.  */
static void
fill_replay (const gp_keyed_t *keyed, gp_keys_decision_t *decision)
{
  gp_keys_t *keys = keyed->keys;
  const gp_keyed_t *other = g_hash_table_lookup (keys->active, keyed->key);
  gp_fold_key_t *key = gp_fold_key (gp_store_fold (keys->store), keyed->key);

  if (key != NULL && key->state == GP__RECORD__KEY_STATE__KEY_STATE_RAN)
    {
      decision->status = key->status;
      decision->answer = gp_blob_data (key->answer);
      decision->answer_size = gp_blob_size (key->answer);
    }
  else if (other != NULL)
    {
      decision->status = other->stored.status;
      if (other->stored.packed != NULL)
        {
          decision->answer = other->stored.packed->data;
          decision->answer_size = other->stored.packed->len;
        }
    }
}

static void
deliver (gp_deferred_t *deferred)
{
  gp_keyed_t *keyed = GP_CONTAINER_OF (deferred, gp_keyed_t, deferred);
  gp_keys_decision_t decision = { .verdict = keyed->verdict };
  gp_keys_decided_t decided = keyed->decided;
  void *data = keyed->data;

  keyed->decided = NULL;
  count_verdict (decision.verdict);
  if (decision.verdict == GP_KEYS_RUN)
    {
      keyed->state = KEYED_RUNNING;
      add_event (keyed, GP_TIMELINE_KEY_INTENT, NULL);
      if (decided != NULL)
        decided (&decision, data);
      else
        gp_keyed_end (keyed, GP__WIRE__VERDICT__VERDICT_NOT_RUN);
      return;
    }
  if (decision.verdict == GP_KEYS_REPLAY)
    fill_replay (keyed, &decision);
  if (decided != NULL)
    decided (&decision, data);
  keyed_free (keyed);
}

static void
schedule_verdict (gp_keyed_t *keyed, gp_keys_verdict_t verdict)
{
  keyed->has_verdict = true;
  keyed->verdict = verdict;
  gp_deferred_schedule (&keyed->deferred, keyed->keys->host->loop);
}

/* Decides by the state of the key, after another Intent came first or this
   one was not read back as a single record.  */
static void
decide_by_state (gp_keyed_t *keyed)
{
  gp_keys_t *keys = keyed->keys;
  const gp_fold_t *fold = gp_store_fold (keys->store);
  const gp_fold_key_t *key = gp_fold_key (fold, keyed->key);

  if (key == NULL)
    schedule_verdict (keyed,
                      GP_KEYS_BUSY); /* released meanwhile: may be retried */
  else if (is_own (keys, key) && key->request == keyed->request
           && key->state == GP__RECORD__KEY_STATE__KEY_STATE_OPEN)
    schedule_verdict (keyed, GP_KEYS_RUN);
  else
    schedule_verdict (keyed, gp_keys_decide (fold, key, keyed->request,
                                             owner_alive (keys, key)));
}

static void
on_intent_read (gp_proposal_result_t result, gp_fold_verdict_t verdict,
                void *data)
{
  gp_keyed_t *keyed = data;

  keyed->proposal = NULL;
  switch (result)
    {
    case GP_PROPOSAL_DECIDED:
      if (verdict == GP_FOLD_ACCEPTED)
        schedule_verdict (keyed, GP_KEYS_RUN);
      else if (verdict == GP_FOLD_VOID_KEY_TAKEN)
        decide_by_state (keyed);
      else
        schedule_verdict (keyed, GP_KEYS_UNAVAILABLE);
      break;
    case GP_PROPOSAL_EXPIRED:
      schedule_verdict (keyed, GP_KEYS_LATE);
      break;
    case GP_PROPOSAL_UNREAD:
      decide_by_state (keyed);
      break;
    }
}

static void
propose_intent (gp_keyed_t *keyed)
{
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  Gp__Record__Intent intent = GP__RECORD__INTENT__INIT;

  intent.key.data = keyed->key;
  intent.key.len = GP_FOLD_KEY_SIZE;
  intent.request = keyed->request;
  record.record_case = GP__RECORD__RECORD__RECORD_INTENT;
  record.intent = &intent;
  set_active (keyed);
  switch (gp_store_propose (keyed->keys->store, &record, GP_WRITER_URGENT,
                            keyed->deadline, on_intent_read, keyed,
                            &keyed->proposal))
    {
    case GP_WRITER_QUEUED:
      return;
    case GP_WRITER_DEADLINE_PASSED:
      schedule_verdict (keyed, GP_KEYS_LATE);
      break;
    case GP_WRITER_UNAVAILABLE:
    case GP_WRITER_FULL:
    case GP_WRITER_TOO_LARGE:
      schedule_verdict (keyed, GP_KEYS_UNAVAILABLE);
      break;
    }
}

/* Decides on KEYED while OTHER, a request of this entry, has the key.  */
static gp_keys_verdict_t
decide_with_active (const gp_keyed_t *keyed, const gp_keyed_t *other)
{
  if (other->request != keyed->request)
    return GP_KEYS_MISMATCH;
  if (other->state != KEYED_ENDED)
    return GP_KEYS_BUSY;
  switch (other->outcome)
    {
    case GP__WIRE__VERDICT__VERDICT_RAN:
      return GP_KEYS_REPLAY;
    case GP__WIRE__VERDICT__VERDICT_NOT_RUN:
      return GP_KEYS_BUSY; /* until the outcome in the log releases the key */
    default:
      return GP_KEYS_UNKNOWN;
    }
}

static void
decide_or_propose (gp_keyed_t *keyed)
{
  gp_keys_t *keys = keyed->keys;
  const gp_fold_t *fold = gp_store_fold (keys->store);
  const gp_keyed_t *other = g_hash_table_lookup (keys->active, keyed->key);
  gp_fold_key_t *key;
  gp_keys_verdict_t verdict;

  if (other != NULL)
    {
      schedule_verdict (keyed, decide_with_active (keyed, other));
      return;
    }
  key = gp_store_ready (keys->store) ? gp_fold_key (fold, keyed->key) : NULL;
  verdict = gp_keys_decide (fold, key, keyed->request,
                            key != NULL && owner_alive (keys, key));
  if (verdict == GP_KEYS_RUN)
    {
      propose_intent (keyed);
      return;
    }
  if (verdict == GP_KEYS_UNKNOWN
      && key->state == GP__RECORD__KEY_STATE__KEY_STATE_OPEN)
    propose_outcome (keys->store, keyed->key,
                     GP__RECORD__KEY_STATE__KEY_STATE_UNKNOWN, NULL);
  schedule_verdict (keyed, verdict);
}

gp_keyed_t *
gp_keys_begin (gp_keys_t *keys, const gp_keys_request_t *request,
               gp_time_t deadline, gp_keys_decided_t decided, void *data)
{
  gp_keyed_t *keyed = g_new0 (gp_keyed_t, 1);

  keyed->keys = keys;
  keyed->id = request->id;
  keyed->request = request->request;
  keyed->deadline = deadline;
  keyed->decided = decided;
  keyed->data = data;
  gp_list_init (&keyed->link);
  gp_deferred_init (&keyed->deferred, deliver);
  gp_keys_digest (request, keyed->key);
  decide_or_propose (keyed);
  return keyed;
}

/* Initialization.  */

gp_keys_t *
gp_keys_new (gp_session_host_t *host, gp_store_t *store,
             gp_timeline_t *timeline)
{
  gp_keys_t *keys = g_new0 (gp_keys_t, 1);

  gp_counter_register (&intents);
  gp_counter_register (&replayed);
  gp_counter_register (&busy);
  gp_counter_register (&mismatched);
  gp_counter_register (&unknown);
  gp_counter_register (&not_run);
  gp_counter_register (&active_keys);
  keys->host = host;
  keys->store = store;
  keys->timeline = timeline;
  keys->started_at = gp_loop_now (host->loop);
  keys->active = g_hash_table_new (hash_key, equal_keys);
  gp_list_init (&keys->unwritten);
  gp_timer_init (&keys->timer, host->loop, on_outcome_retry, keys);
  return keys;
}

static void
no_close (gp_closer_t *closer)
{
}

static void
dispose (gp_closer_t *closer)
{
  g_free (GP_CONTAINER_OF (closer, gp_keys_t, closer));
}

void
gp_keys_free (gp_keys_t *keys)
{
  g_autoptr (GList) left = g_hash_table_get_keys (keys->active);

  for (GList *at = left; at != NULL; at = at->next)
    keyed_free (at->data);
  g_hash_table_unref (keys->active);
  gp_timer_finish (&keys->timer);
  gp_closer_add (&keys->closer, keys->host->loop, no_close, dispose);
}

/* Replicated state machine of the site: a fold over the batches in the log.

   Every process that follows the log applies the same batches in offset order
   and therefore has the same state.  Each record is either accepted or void,
   that is rejected for one of the reasons in gp_fold_verdict_t.  The verdict
   depends only on the state before the record, never on a clock, randomness
   or the identity of the process.

   Retention windows are measured in log time: the second highest wall clock
   in the last batches of the most recently active writers, so that a single
   wrong clock cannot end a window.  With only one writer, log time is that
   writer's clock.  Log time never decreases.

   A batch is identified by its writer, incarnation and sequence.  A writer
   has one batch in flight at a time and repeats the same bytes until it has
   read them back, so the last sequence of each writer is sufficient to drop
   duplicates.  A batch with a lower incarnation than the highest one seen of
   its writer is dropped as a whole.

   A guard must be adopted before it can be granted a task, so its grants
   always belong to its current incarnation.  */

#ifndef GP_STATE_FOLD_H
#define GP_STATE_FOLD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "records.pb-c.h"
#include "state/blob.h"
#include "state/config.h"

#define GP_FOLD_VERSION 1
#define GP_FOLD_KEY_SIZE 16
#define GP_FOLD_FAILED_WORKERS 4
/* A task is parked when this many of its epochs in a row ended as LOST, each
   within GP_FOLD_LOSS_TIME_US of its grant, because it probably crashes the
   runtimes of its workers.  A task that merely runs next to such a task is
   rarely lost five times in a row that quickly.  Users accept two more
   starts after three losses; without the limit a task was started six
   times in 1.1 s (tests/scripts/tasks_lost.py).  */
#define GP_FOLD_LOSSES_MAX 5
#define GP_FOLD_LOSS_TIME_US ((int64_t)2000 * 1000)

/* Limits for a single record; a record that exceeds them is malformed.  */
#define GP_FOLD_NAME_MAX 255
#define GP_FOLD_PAYLOAD_MAX ((size_t)64 * 1024)
#define GP_FOLD_CHECKPOINT_MAX ((size_t)16 * 1024)
#define GP_FOLD_RESULT_MAX ((size_t)16 * 1024)
#define GP_FOLD_DOCUMENT_MAX ((size_t)128 * 1024)
#define GP_FOLD_ITEM_MAX ((size_t)64 * 1024)
#define GP_FOLD_COMMENT_MAX 1024
#define GP_FOLD_ANSWER_MAX ((size_t)4 * 1024)

/* Limits of the state.  They affect verdicts, so all processes of a site must
   use the same values.  */
typedef struct
{
  int64_t key_window_us;    /* retention of a key */
  int64_t ended_window_us;  /* retention of an ended task */
  int64_t writer_window_us; /* retention of an inactive writer; at least
                               key_window_us */
  int64_t guard_window_us;  /* retention of a guard that is gone */
  uint32_t tasks_max;       /* tasks that have not ended */
  uint32_t ended_max;       /* ended tasks; the oldest are dropped */
  uint32_t keys_max;
  uint32_t writers_max;      /* the least recently active are dropped */
  uint64_t task_bytes_max;   /* payloads and checkpoints of tasks that have not
                                ended */
  uint64_t result_bytes_max; /* of ended tasks; the oldest are dropped */
  uint64_t answer_bytes_max; /* the oldest answers are dropped */
} gp_fold_limits_t;

/* Sized for 95,000 running tasks and 64,000 jobs a day.  */
extern const gp_fold_limits_t gp_fold_default_limits;

typedef enum
{
  GP_FOLD_ACCEPTED,
  GP_FOLD_VOID_MALFORMED, /* a field is out of range */
  GP_FOLD_VOID_EXISTS,    /* the task already exists */
  GP_FOLD_VOID_NO_TASK,
  GP_FOLD_VOID_PHASE,     /* not allowed in the phase of the task */
  GP_FOLD_VOID_EPOCH,     /* not the current epoch of the task */
  GP_FOLD_VOID_GUARD,     /* unknown guard, or another incarnation of it */
  GP_FOLD_VOID_FENCED,    /* not allowed in the fence state of the guard */
  GP_FOLD_VOID_KEY_TAKEN, /* the key already has an intent */
  GP_FOLD_VOID_NO_KEY,
  GP_FOLD_VOID_OWNER,   /* the key has another owner */
  GP_FOLD_VOID_DECIDED, /* the key already has its outcome */
  GP_FOLD_VOID_BASE,    /* not based on the current revision */
  GP_FOLD_VOID_DIGEST,  /* the digest does not match the result */
  GP_FOLD_VOID_FULL,    /* a limit of the state is reached */
  GP_FOLD_VERDICTS
} gp_fold_verdict_t;

/* The result of applying a batch.  */
typedef enum
{
  GP_FOLD_APPLIED,
  GP_FOLD_DUPLICATE,  /* already applied */
  GP_FOLD_STALE,      /* from an earlier incarnation of its writer */
  GP_FOLD_MALFORMED,  /* skipped */
  GP_FOLD_OLD,        /* below the next offset: ignored */
  GP_FOLD_GAP,        /* above the next offset: ignored */
  GP_FOLD_UNREADABLE, /* of a later version: not applied; the process must
                         stop acting, since its state is no longer that of
                         the site */
  GP_FOLD_RESULTS
} gp_fold_result_t;

typedef struct
{
  char *name; /* interned */
  uint64_t incarnation;
  uint64_t sequence; /* the last applied */
  int64_t heard_us;  /* log time of its last batch */
  int64_t wall_us;   /* wall clock in its last batch */
  gp_list_t link;    /* in gp_fold_t.writers_by_activity, least recent first */
} gp_fold_writer_t;

typedef struct
{
  char *name; /* interned */
  uint64_t incarnation;
  bool fenced;
  bool gone; /* fenced, and all its leases have expired */
  uint64_t fence_offset;
  int64_t changed_us;
  uint32_t granted; /* length of GRANTS */
  gp_list_t grants; /* of gp_fold_task_t, in order of their grants */
  gp_list_t link;   /* in gp_fold_t.guards_gone when gone */
} gp_fold_guard_t;

typedef struct
{
  uint64_t id;            /* must be first: key of the hash table */
  uint64_t epoch;         /* 0: never granted */
  gp_list_t link;         /* in the guard's grants or gp_fold_t.ended */
  gp_fold_guard_t *guard; /* in phase GRANTED, else NULL */
  char *kind;             /* interned */
  char *team;             /* interned */
  int64_t submitted_us;
  int64_t changed_us;  /* last change of phase or epoch, log time */
  int64_t deadline_us; /* 0: none */
  gp_blob_t *payload;
  gp_blob_t *checkpoint;
  gp_blob_t *result; /* of an ended task */
  uint32_t millicores;
  uint32_t memory_mib;
  uint32_t accelerators;
  uint32_t failed_workers[GP_FOLD_FAILED_WORKERS]; /* hashes of names */
  uint16_t tries; /* epochs that ended as FAILED */
  uint16_t max_tries;
  uint8_t losses;       /* epochs LOST in a row, see GP_FOLD_LOSSES_MAX */
  uint8_t failed_count; /* length of FAILED_WORKERS, which are distinct */
  uint8_t phase;        /* Gp__Record__TaskPhase */
  uint8_t work_class;   /* Gp__Wire__WorkClass */
  uint8_t end_state;    /* Gp__Wire__TaskState of the last epoch */
  uint8_t reason;       /* Gp__Wire__Reason of the end or cancellation */
  uint8_t park_reason;  /* Gp__Record__ParkReason */
  bool cancelled;
} gp_fold_task_t;

typedef struct
{
  uint8_t key[GP_FOLD_KEY_SIZE]; /* must be first: key of the hash table */
  gp_list_t link;                /* in gp_fold_t.keys_opened, oldest first */
  uint64_t request;
  char *owner; /* interned */
  uint64_t owner_incarnation;
  int64_t opened_us;
  gp_blob_t *answer;
  uint16_t status;
  uint8_t state; /* Gp__Record__KeyState; see gp_fold_key_state */
  bool answer_dropped;
} gp_fold_key_t;

typedef enum
{
  GP_FOLD_OWN_BATCH,      /* verdicts on a batch of the own writer */
  GP_FOLD_WRITER_STARTED, /* open keys of earlier incarnations are unknown */
  GP_FOLD_TASK_SUBMITTED,
  GP_FOLD_TASK_GRANTED,
  GP_FOLD_TASK_CHECKPOINT,
  GP_FOLD_TASK_CANCELLING, /* granted and to be stopped */
  GP_FOLD_TASK_RETURNED,   /* its epoch ended; it is pending again */
  GP_FOLD_TASK_ENDED,      /* it will not run again */
  GP_FOLD_TASK_PARKED,
  GP_FOLD_TASK_UNPARKED,
  GP_FOLD_TASK_DROPPED, /* about to be freed */
  GP_FOLD_GUARD_ADOPTED,
  GP_FOLD_GUARD_FENCED,
  GP_FOLD_GUARD_GONE,
  GP_FOLD_GUARD_DROPPED, /* about to be freed */
  GP_FOLD_KEY_OPENED,
  GP_FOLD_KEY_DECIDED,
  GP_FOLD_KEY_RELEASED, /* the request did not run; about to be freed */
  GP_FOLD_KEY_DROPPED,  /* its window has ended; about to be freed */
  GP_FOLD_CONFIG_CHANGED,
  GP_FOLD_SNAPSHOT /* a record of a snapshot */
} gp_fold_change_kind_t;

/* A change of the state.  Pointers are valid only during the call.  */
typedef struct
{
  gp_fold_change_kind_t kind;
  uint64_t offset;
  union
  {
    struct
    {
      uint64_t sequence;
      const gp_fold_verdict_t *verdicts;
      size_t count;
    } own;
    const gp_fold_writer_t *writer;
    struct
    {
      const gp_fold_task_t *task;
      const gp_fold_guard_t *guard; /* that held the epoch, or NULL */
    } task;
    const gp_fold_guard_t *guard;
    const gp_fold_key_t *key;
    const gp_config_t *config;
    struct
    {
      const gp_fold_writer_t *writer;
      const Gp__Record__Record *record;
    } snapshot;
  } u;
} gp_fold_change_t;

typedef void (*gp_fold_sink_t) (const gp_fold_change_t *change, void *data);

typedef struct
{
  gp_fold_limits_t limits;
  uint64_t next_offset;
  int64_t log_time_us;
  GHashTable *tasks;   /* set of gp_fold_task_t */
  GHashTable *guards;  /* set of gp_fold_guard_t, by name */
  GHashTable *writers; /* set of gp_fold_writer_t, by name */
  GHashTable *keys;    /* set of gp_fold_key_t */
  gp_list_t ended;     /* of gp_fold_task_t, oldest first */
  gp_list_t guards_gone;
  gp_list_t writers_by_activity;
  gp_list_t keys_opened;
  gp_list_t *answer_cursor; /* no key before it has a stored answer */
  uint32_t phase_count[5];  /* by Gp__Record__TaskPhase */
  uint64_t task_bytes;
  uint64_t result_bytes;
  uint64_t answer_bytes;
  gp_config_t config;
  /* Statistics; not part of the state.  */
  uint64_t result_count[GP_FOLD_RESULTS];
  uint64_t verdict_count[GP_FOLD_VERDICTS];
  /* The batch being applied.  */
  uint64_t offset;
  gp_fold_writer_t *writer;
  gp_fold_sink_t sink;
  void *sink_data;
  /* The writer whose verdicts are reported.  */
  char *own_name;
  uint64_t own_incarnation;
  uint32_t active_savers; /* nothing may be applied unless 0 */
} gp_fold_t;

/* Initialize an empty state at offset 0.  LIMITS may be NULL for the
   defaults.  */
void gp_fold_init (gp_fold_t *fold, const gp_fold_limits_t *limits);
void gp_fold_finish (gp_fold_t *fold);

/* Set the own writer, whose batches are reported as GP_FOLD_OWN_BATCH.  */
void gp_fold_set_own_writer (gp_fold_t *fold, const char *writer,
                             uint64_t incarnation);

/* Apply the batch at OFFSET.  SINK, which may be NULL, receives the changes in
   order and must not modify the fold.  No saver may be active.  */
gp_fold_result_t gp_fold_apply (gp_fold_t *fold, uint64_t offset,
                                const uint8_t *bytes, size_t size,
                                gp_fold_sink_t sink, void *data);

/* Look up an object; NULL if there is none.  */
gp_fold_task_t *gp_fold_task (const gp_fold_t *fold, uint64_t id);
gp_fold_guard_t *gp_fold_guard (const gp_fold_t *fold, const char *name);
gp_fold_writer_t *gp_fold_writer (const gp_fold_t *fold, const char *name);
gp_fold_key_t *gp_fold_key (const gp_fold_t *fold,
                            const uint8_t key[GP_FOLD_KEY_SIZE]);

/* Return the state of KEY.  An open key whose owner has restarted since is
   UNKNOWN, because the owner no longer knows the outcome.  */
Gp__Record__KeyState gp_fold_key_state (const gp_fold_t *fold,
                                        const gp_fold_key_t *key);

/* Return true if TASK has reached GP_FOLD_LOSSES_MAX and is to be parked.  */
bool gp_fold_loss_limit_reached (const gp_fold_task_t *task);

/* Return true if TASK may be granted to GUARD in its INCARNATION.  */
bool gp_fold_may_grant (const gp_fold_t *fold, const gp_fold_task_t *task,
                        const gp_fold_guard_t *guard, uint64_t incarnation);

/* Return a digest of the whole state, which is equal on all replicas at the
   same offset.  */
uint64_t gp_fold_digest (gp_fold_t *fold);

/* Return an estimate of the memory that the state uses, in bytes.  */
uint64_t gp_fold_memory (const gp_fold_t *fold);

/* Serializes the state incrementally as packed gp.record.StateChunk messages.
   No batch may be applied to the fold between init and finish.  */
typedef struct
{
  gp_fold_t *fold;
  size_t part_bytes;
  void (*emit) (GBytes *part, void *data); /* takes the reference */
  void *data;
  GByteArray *part; /* not yet emitted */
  uint64_t digest;  /* of the rows so far; finally that of gp_fold_digest */
  int stage;
  gp_list_t *position; /* next element in the list of the stage */
  GHashTableIter iter;
  gp_fold_guard_t *guard; /* whose grants are being written */
} gp_fold_saver_t;

/* Emit parts of about PART_BYTES each.  */
void gp_fold_saver_init (gp_fold_saver_t *saver, gp_fold_t *fold,
                         size_t part_bytes,
                         void (*emit) (GBytes *part, void *data), void *data);
void gp_fold_saver_finish (gp_fold_saver_t *saver);

/* Write up to ROWS more rows.  Returns true once all parts are emitted.  */
bool gp_fold_saver_step (gp_fold_saver_t *saver, size_t rows);

/* Load the rows of one chunk into a newly initialized fold.  Chunks must be
   loaded in order.  Returns false if the chunk is corrupt; the fold must then
   be finished.  */
bool gp_fold_load (gp_fold_t *fold, const uint8_t *bytes, size_t size);

/* Complete the load: the chunks are the state after the batch at AS_OF.  */
void gp_fold_load_done (gp_fold_t *fold, uint64_t as_of);

/* Return a short readable name, such as "key-taken".  */
const char *gp_fold_verdict_name (gp_fold_verdict_t verdict);

#endif

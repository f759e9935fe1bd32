/* Benchmarks the state layer for a large fleet: speed and memory of the fold,
   snapshots and recovery with 95,000 tasks, and group commit of 1,300 task
   starts per second in virtual time.  */

#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "base/time.h"
#include "state/follower.h"
#include "state/snapshot.h"
#include "state/writer.h"

#define TASKS 95000
#define GUARDS 3600
#define KEYS 100000
#define BATCH_RECORDS 40
#define PAYLOAD 120
#define TAIL_STARTS 100000
#define READ_BYTES ((size_t)256 * 1024)

#define STARTS_PER_SECOND 1300
#define RUN_TIME (20 * GP_SEC)
#define ACK_DELAY (10 * GP_MSEC)
#define READ_DELAY (15 * GP_MSEC)

/* A log in memory, written by a single writer in batches.  */
typedef struct
{
  GPtrArray *log; /* of GBytes */
  Gp__Record__Record records[BATCH_RECORDS];
  Gp__Record__Record *list[BATCH_RECORDS];
  union
  {
    Gp__Record__Submit submit;
    Gp__Record__Grant grant;
    Gp__Record__End end;
    Gp__Record__Adopt adopt;
    Gp__Record__Intent intent;
    Gp__Record__Outcome outcome;
  } u[BATCH_RECORDS];
  char guards[BATCH_RECORDS][16];
  uint8_t keys[BATCH_RECORDS][GP_FOLD_KEY_SIZE];
  size_t count;
  uint64_t sequence;
  uint64_t records_total;
} site_t;

static uint8_t payload[PAYLOAD];

static void
flush (site_t *site)
{
  Gp__Record__Batch batch = GP__RECORD__BATCH__INIT;
  uint8_t *bytes;

  if (site->count == 0)
    return;
  batch.version = GP_FOLD_VERSION;
  batch.writer = "entry-1";
  batch.incarnation = 1;
  batch.sequence = ++site->sequence;
  batch.wall_us = (int64_t)site->sequence;
  batch.n_records = site->count;
  batch.records = site->list;
  bytes = g_malloc (gp__record__batch__get_packed_size (&batch));
  g_ptr_array_add (
      site->log,
      g_bytes_new_take (bytes, gp__record__batch__pack (&batch, bytes)));
  site->records_total += site->count;
  site->count = 0;
}

/* Return the index of a new record in the current batch.  */
static size_t
next_record (site_t *site)
{
  size_t at;

  if (site->count == BATCH_RECORDS)
    flush (site);
  at = site->count++;
  gp__record__record__init (&site->records[at]);
  site->list[at] = &site->records[at];
  return at;
}

static void
add_adopt (site_t *site, uint64_t guard)
{
  size_t at = next_record (site);
  Gp__Record__Adopt *adopt = &site->u[at].adopt;

  gp__record__adopt__init (adopt);
  g_snprintf (site->guards[at], sizeof site->guards[at], "worker-%04u",
              (unsigned)guard);
  adopt->guard = site->guards[at];
  adopt->incarnation = 1;
  site->records[at].record_case = GP__RECORD__RECORD__RECORD_ADOPT;
  site->records[at].adopt = adopt;
}

static void
make_submit (Gp__Record__Record *record, Gp__Record__Submit *submit,
             Gp__Wire__Resources *resources, uint64_t task)
{
  gp__wire__resources__init (resources);
  resources->millicores = 2000;
  resources->memory_mib = 4096;
  gp__record__submit__init (submit);
  submit->task = task;
  submit->kind = "assessment";
  submit->team = "claims-andina";
  submit->work_class = GP__WIRE__WORK_CLASS__WORK_CLASS_BATCH;
  submit->resources = resources;
  submit->payload.data = payload;
  submit->payload.len = PAYLOAD;
  submit->max_tries = 3;
  record->record_case = GP__RECORD__RECORD__RECORD_SUBMIT;
  record->submit = submit;
}

static void
add_submit (site_t *site, uint64_t task)
{
  static Gp__Wire__Resources resources;
  size_t at = next_record (site);

  make_submit (&site->records[at], &site->u[at].submit, &resources, task);
}

static void
add_grant (site_t *site, uint64_t task, uint64_t epoch)
{
  size_t at = next_record (site);
  Gp__Record__Grant *grant = &site->u[at].grant;

  gp__record__grant__init (grant);
  g_snprintf (site->guards[at], sizeof site->guards[at], "worker-%04u",
              (unsigned)(task % GUARDS));
  grant->task = task;
  grant->epoch = epoch;
  grant->guard = site->guards[at];
  grant->guard_incarnation = 1;
  site->records[at].record_case = GP__RECORD__RECORD__RECORD_GRANT;
  site->records[at].grant = grant;
}

static void
add_end (site_t *site, uint64_t task, uint64_t epoch)
{
  size_t at = next_record (site);
  Gp__Record__End *end = &site->u[at].end;

  gp__record__end__init (end);
  end->task = task;
  end->epoch = epoch;
  end->state = GP__WIRE__TASK_STATE__TASK_STATE_STOPPED;
  end->checkpoint.data = payload;
  end->checkpoint.len = PAYLOAD / 2;
  site->records[at].record_case = GP__RECORD__RECORD__RECORD_END;
  site->records[at].end = end;
}

static void
add_key (site_t *site, uint64_t number)
{
  size_t at = next_record (site);
  Gp__Record__Intent *intent = &site->u[at].intent;

  memcpy (site->keys[at], &number, sizeof number);
  gp__record__intent__init (intent);
  intent->key.data = site->keys[at];
  intent->key.len = GP_FOLD_KEY_SIZE;
  site->records[at].record_case = GP__RECORD__RECORD__RECORD_INTENT;
  site->records[at].intent = intent;
}

static size_t
log_bytes (const GPtrArray *log, guint from)
{
  size_t bytes = 0;

  for (guint i = from; i < log->len; i++)
    bytes += g_bytes_get_size (log->pdata[i]);
  return bytes;
}

static double
apply_log (gp_fold_t *fold, const site_t *site)
{
  gp_time_t start = gp_time_now ();

  while (fold->next_offset < site->log->len)
    {
      size_t size;
      const uint8_t *bytes
          = g_bytes_get_data (site->log->pdata[fold->next_offset], &size);

      gp_fold_apply (fold, fold->next_offset, bytes, size, NULL, NULL);
    }
  return (double)(gp_time_now () - start) / 1e6;
}

static size_t
heap_bytes (void)
{
  return mallinfo2 ().uordblks;
}

/* Apply the records added since the last call and report speed and memory.  */
static void
measure_fold (gp_fold_t *fold, site_t *site, const char *what, uint64_t each)
{
  uint64_t before = site->records_total;
  size_t heap;
  double seconds;

  flush (site);
  before = site->records_total - before;
  heap = heap_bytes ();
  seconds = apply_log (fold, site);
  printf ("%-28s %8.0f records/s, heap %+6.0f bytes each\n", what,
          (double)(each > 0 ? each : before) / seconds,
          each > 0 ? ((double)heap_bytes () - (double)heap) / (double)each
                   : 0);
}

static void
build_state (gp_fold_t *fold, site_t *site)
{
  for (uint64_t i = 0; i < GUARDS; i++)
    add_adopt (site, i);
  measure_fold (fold, site, "adopt 3,600 guards", GUARDS);
  for (uint64_t i = 1; i <= TASKS; i++)
    add_submit (site, i);
  measure_fold (fold, site, "submit 95,000 tasks", TASKS);
  for (uint64_t i = 1; i <= TASKS; i++)
    add_grant (site, i, 1);
  measure_fold (fold, site, "grant 95,000 tasks", TASKS);
  for (uint64_t i = 1; i <= KEYS; i++)
    add_key (site, i);
  measure_fold (fold, site, "open 100,000 keys", KEYS);
  printf ("%-28s %8.1f MB\n", "state by its own estimate",
          (double)gp_fold_memory (fold) / 1e6);
}

static void
add_tail (gp_fold_t *fold, site_t *site)
{
  for (uint64_t i = 0; i < TAIL_STARTS; i++)
    {
      uint64_t task = i % TASKS + 1;
      uint64_t epoch = i / TASKS + 1;

      add_end (site, task, epoch);
      add_grant (site, task, epoch + 1);
    }
  measure_fold (fold, site, "stop and grant 100,000",
                UINT64_C (2) * TAIL_STARTS);
}

static void
write_snapshot (gp_fold_t *fold, site_t *site)
{
  GRand *rand = g_rand_new_with_seed (1);
  gp_snapshot_t snapshot;
  const Gp__Record__Record *record;
  guint from = site->log->len;
  gp_time_t now = 0;
  gp_time_t start;
  gp_time_t longest = 0;
  int steps = 0;

  gp_snapshot_init (&snapshot, NULL, rand);
  start = gp_time_now ();
  gp_fold_digest (fold);
  printf ("%-28s %8.1f ms\n", "digest of the state",
          (double)(gp_time_now () - start) / 1e3);
  start = gp_time_now ();
  gp_snapshot_begin (&snapshot, fold, now);
  for (bool more = true; more; steps++)
    {
      gp_time_t step_start = gp_time_now ();

      more = gp_snapshot_copy (&snapshot);
      longest = MAX (longest, gp_time_now () - step_start);
    }
  printf ("%-28s %8.1f ms in %d turns, longest %.2f ms, %u parts\n",
          "copy of the state", (double)(gp_time_now () - start) / 1e3, steps,
          (double)longest / 1e3, snapshot.parts_count);
  while (snapshot.writing)
    {
      record = gp_snapshot_next (&snapshot, now);
      if (record != NULL)
        {
          size_t at = next_record (site);

          site->records[at] = *record;
          flush (site);
          gp_snapshot_queued (&snapshot, now);
        }
      now += GP_MSEC;
    }
  printf ("%-28s %8.1f MB in %u appends, %.1f s at its pace\n",
          "snapshot on the log", (double)log_bytes (site->log, from) / 1e6,
          site->log->len - from, (double)now / 1e6);
  gp_snapshot_finish (&snapshot);
  g_rand_free (rand);
}

/* Read about READ_BYTES from the log.  */
static void
read_log (gp_follower_t *follower, const site_t *site, uint64_t first_offset,
          size_t *read)
{
  static gp_follower_record_t records[4096];
  gp_follower_reply_t reply = { .first_offset = first_offset,
                                .next_offset = site->log->len,
                                .records = records };
  uint64_t at = gp_follower_read_offset (follower);
  size_t bytes = 0;

  while (at >= first_offset && at < site->log->len && bytes < READ_BYTES
         && reply.count < G_N_ELEMENTS (records))
    {
      gp_follower_record_t *record = &records[reply.count++];

      record->offset = at;
      record->bytes = g_bytes_get_data (site->log->pdata[at++], &record->size);
      bytes += record->size;
    }
  *read += bytes;
  gp_follower_handle_reply (follower, &reply);
}

static void
measure_recovery (gp_fold_t *fold, const site_t *site, uint64_t first_offset,
                  const char *what)
{
  gp_follower_t follower;
  size_t read = 0;
  size_t reads = 0;
  gp_time_t start = gp_time_now ();
  double seconds;

  gp_follower_init (&follower, NULL, NULL, NULL);
  for (; !gp_follower_caught_up (&follower); reads++)
    read_log (&follower, site, first_offset, &read);
  seconds = (double)(gp_time_now () - start) / 1e6;
  printf ("%-28s %8.3f s, %.1f MB in %zu reads, digest %s\n", what, seconds,
          (double)read / 1e6, reads,
          gp_fold_digest (&follower.fold) == gp_fold_digest (fold)
              ? "equal"
              : "DIFFERS");
  gp_follower_finish (&follower);
}

/* Group commit in virtual time.  */

typedef struct
{
  gp_time_t at;
  uint64_t sequence;
  GBytes *bytes; /* NULL: an acknowledgement */
} event_t;

typedef struct
{
  gp_writer_t writer;
  gp_fold_t fold;
  GQueue events;     /* of event_t, ordered by time */
  GArray *queued_at; /* of gp_time_t, by token */
  GArray *latency;   /* of double, ms */
  gp_time_t now;
} commit_t;

static void
push_event (commit_t *commit, gp_time_t at, uint64_t sequence, GBytes *bytes)
{
  event_t *event = g_new (event_t, 1);

  *event = (event_t){ at, sequence, bytes };
  g_queue_push_tail (&commit->events, event);
}

static void
observe (const gp_fold_change_t *change, void *data)
{
  commit_t *commit = data;

  if (change->kind == GP_FOLD_OWN_BATCH)
    gp_writer_observe (&commit->writer, change->u.own.sequence,
                       change->u.own.verdicts, change->u.own.count,
                       commit->now);
}

static void
run_events (commit_t *commit)
{
  event_t *event;

  while ((event = g_queue_peek_head (&commit->events)) != NULL
         && event->at <= commit->now)
    {
      g_queue_pop_head (&commit->events);
      if (event->bytes == NULL)
        gp_writer_acked (&commit->writer, event->sequence, commit->now);
      else
        {
          gp_fold_apply (&commit->fold, commit->fold.next_offset,
                         g_bytes_get_data (event->bytes, NULL),
                         g_bytes_get_size (event->bytes), observe, commit);
          g_bytes_unref (event->bytes);
        }
      g_free (event);
    }
}

static void
run_actions (commit_t *commit)
{
  gp_writer_action_t action;

  while (gp_writer_next_action (&commit->writer, &action))
    switch (action.kind)
      {
      case GP_WRITER_APPEND:
        push_event (commit, commit->now + ACK_DELAY, action.u.append.sequence,
                    NULL);
        push_event (commit, commit->now + READ_DELAY, action.u.append.sequence,
                    action.u.append.bytes);
        break;
      case GP_WRITER_VERDICT:
        {
          gp_time_t at = g_array_index (commit->queued_at, gp_time_t,
                                        action.u.verdict.token);
          double latency = (double)(commit->now - at) / 1e3;

          g_array_append_val (commit->latency, latency);
        }
        break;
      case GP_WRITER_EXPIRED:
      case GP_WRITER_UNREAD:
        break;
      }
}

static void
enqueue_start (commit_t *commit)
{
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  Gp__Record__Submit submit;
  Gp__Wire__Resources resources;
  uint64_t token = commit->queued_at->len;

  g_array_append_val (commit->queued_at, commit->now);
  make_submit (&record, &submit, &resources, token + 1);
  gp_writer_enqueue (&commit->writer, &record, GP_WRITER_NORMAL, token,
                     GP_TIME_NEVER, commit->now, NULL);
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
measure_commit (uint64_t per_second)
{
  GRand *rand = g_rand_new_with_seed (1);
  commit_t commit = { .now = 0 };
  uint64_t due = 0;
  const gp_writer_t *writer = &commit.writer;

  gp_writer_init (&commit.writer, "entry-1", 1, NULL, rand);
  gp_fold_init (&commit.fold, NULL);
  gp_fold_set_own_writer (&commit.fold, "entry-1", 1);
  g_queue_init (&commit.events);
  commit.queued_at = g_array_new (FALSE, FALSE, sizeof (gp_time_t));
  commit.latency = g_array_new (FALSE, FALSE, sizeof (double));
  for (; commit.now < RUN_TIME; commit.now += GP_MSEC / 10)
    {
      run_events (&commit);
      for (; due < per_second * (uint64_t)commit.now / GP_SEC; due++)
        enqueue_start (&commit);
      if (gp_writer_deadline (&commit.writer) <= commit.now)
        gp_writer_step (&commit.writer, commit.now);
      run_actions (&commit);
    }
  g_array_sort (commit.latency, compare_doubles);
  printf (
      "%5u records/s %16.1f appends/s, %.1f records and %.0f bytes each, "
      "verdict after %.1f ms median, %.1f ms p99\n",
      (unsigned)per_second, (double)writer->appends / (RUN_TIME / 1e6),
      (double)writer->records / (double)writer->appends,
      (double)writer->bytes / (double)writer->appends,
      g_array_index (commit.latency, double, commit.latency->len / 2),
      g_array_index (commit.latency, double, commit.latency->len * 99 / 100));
  for (event_t *event; (event = g_queue_pop_head (&commit.events)) != NULL;)
    {
      if (event->bytes != NULL)
        g_bytes_unref (event->bytes);
      g_free (event);
    }
  g_array_unref (commit.queued_at);
  g_array_unref (commit.latency);
  gp_writer_finish (&commit.writer);
  gp_fold_finish (&commit.fold);
  g_rand_free (rand);
}

int
main (void)
{
  site_t *site = g_new0 (site_t, 1);
  guint early;
  gp_fold_t fold;

  site->log = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  gp_fold_init (&fold, NULL);
  printf ("a task %zu bytes, a guard %zu, a key %zu, and their strings\n",
          sizeof (gp_fold_task_t), sizeof (gp_fold_guard_t),
          sizeof (gp_fold_key_t));
  build_state (&fold, site);
  early = site->log->len;
  write_snapshot (&fold, site);
  add_tail (&fold, site);
  printf ("%-28s %8.1f MB, %.1f bytes a record\n", "log in all",
          (double)log_bytes (site->log, 0) / 1e6,
          (double)log_bytes (site->log, 0) / (double)site->records_total);
  measure_recovery (&fold, site, 0, "recovery, nothing dropped");
  measure_recovery (&fold, site, early, "recovery, snapshot and tail");
  measure_commit (STARTS_PER_SECOND);
  measure_commit ((uint64_t)STARTS_PER_SECOND / 9);
  measure_commit ((uint64_t)STARTS_PER_SECOND * 3);
  gp_fold_finish (&fold);
  g_ptr_array_unref (site->log);
  g_free (site);
  return 0;
}

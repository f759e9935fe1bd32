#include "state/fold.h"

#include <string.h>

#include "state/fold_internal.h"

#define HOUR_US (INT64_C (3600) * 1000000)
#define MIB (UINT64_C (1024) * 1024)
#define BATCH_RECORDS_MAX 16384
/* Number of most recently active writers whose clocks determine log time.  */
#define CLOCKS 8

const gp_fold_limits_t gp_fold_default_limits = {
  .key_window_us = 24 * HOUR_US,
  .ended_window_us = HOUR_US,
  .writer_window_us = 48 * HOUR_US,
  .guard_window_us = 24 * HOUR_US,
  .tasks_max = 300000,
  .ended_max = 50000,
  .keys_max = 200000,
  .writers_max = 1024,
  .task_bytes_max = 64 * MIB,
  .result_bytes_max = 16 * MIB,
  .answer_bytes_max = 16 * MIB,
};

bool
gp_fold_name_valid (const char *name)
{
  size_t length = strnlen (name, GP_FOLD_NAME_MAX + 1);

  return length > 0 && length <= GP_FOLD_NAME_MAX;
}

/* Hash functions for objects whose first field is their name.  */
static guint
hash_name (const void *row)
{
  return g_str_hash (*(char *const *)row);
}

static gboolean
equal_name (const void *a, const void *b)
{
  return strcmp (*(char *const *)a, *(char *const *)b) == 0;
}

static guint
hash_key (const void *row)
{
  guint hash;

  memcpy (&hash, row, sizeof hash);
  return hash;
}

static gboolean
equal_key (const void *a, const void *b)
{
  return memcmp (a, b, GP_FOLD_KEY_SIZE) == 0;
}

void
gp_fold_init (gp_fold_t *fold, const gp_fold_limits_t *limits)
{
  memset (fold, 0, sizeof *fold);
  fold->limits = limits != NULL ? *limits : gp_fold_default_limits;
  fold->tasks = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                       gp_fold_free_task, NULL);
  fold->guards = g_hash_table_new_full (hash_name, equal_name,
                                        gp_fold_free_guard, NULL);
  fold->writers = g_hash_table_new_full (hash_name, equal_name,
                                         gp_fold_free_writer, NULL);
  fold->keys
      = g_hash_table_new_full (hash_key, equal_key, gp_fold_free_key, NULL);
  gp_list_init (&fold->ended);
  gp_list_init (&fold->guards_gone);
  gp_list_init (&fold->writers_by_activity);
  gp_list_init (&fold->keys_opened);
  fold->answer_cursor = &fold->keys_opened;
  gp_config_init (&fold->config);
}

void
gp_fold_finish (gp_fold_t *fold)
{
  g_hash_table_unref (fold->tasks);
  g_hash_table_unref (fold->guards);
  g_hash_table_unref (fold->writers);
  g_hash_table_unref (fold->keys);
  gp_config_finish (&fold->config);
  g_free (fold->own_name);
}

void
gp_fold_set_own_writer (gp_fold_t *fold, const char *writer,
                        uint64_t incarnation)
{
  g_free (fold->own_name);
  fold->own_name = g_strdup (writer);
  fold->own_incarnation = incarnation;
}

gp_fold_writer_t *
gp_fold_writer (const gp_fold_t *fold, const char *name)
{
  return g_hash_table_lookup (fold->writers, &name);
}

gp_fold_writer_t *
gp_fold_add_writer (gp_fold_t *fold, const char *name)
{
  gp_fold_writer_t *writer = g_new0 (gp_fold_writer_t, 1);

  writer->name = g_ref_string_new_intern (name);
  gp_list_push_back (&fold->writers_by_activity, &writer->link);
  g_hash_table_add (fold->writers, writer);
  return writer;
}

void
gp_fold_free_writer (void *data)
{
  gp_fold_writer_t *writer = data;

  g_ref_string_release (writer->name);
  g_free (writer);
}

/* Drop writers beyond their window or their maximum number, but never the
   current one.  */
static void
expire_writers (gp_fold_t *fold)
{
  while (!gp_list_empty (&fold->writers_by_activity))
    {
      gp_fold_writer_t *oldest = GP_CONTAINER_OF (
          fold->writers_by_activity.next, gp_fold_writer_t, link);
      bool expired = oldest->heard_us + fold->limits.writer_window_us
                     <= fold->log_time_us;
      bool too_many
          = g_hash_table_size (fold->writers) > fold->limits.writers_max;

      if (oldest == fold->writer || (!expired && !too_many))
        return;
      gp_list_remove (&oldest->link);
      g_hash_table_remove (fold->writers, oldest);
    }
}

/* Return the second highest clock of the most recently active writers, or the
   only one.  */
static int64_t
second_clock (const gp_fold_t *fold)
{
  int64_t highest = -1;
  int64_t second = -1;
  int count = 0;

  for (const gp_list_t *pos = fold->writers_by_activity.prev;
       pos != &fold->writers_by_activity && count < CLOCKS; pos = pos->prev)
    {
      const gp_fold_writer_t *writer
          = GP_CONTAINER_OF (pos, gp_fold_writer_t, link);

      second = MAX (second, MIN (highest, writer->wall_us));
      highest = MAX (highest, writer->wall_us);
      count++;
    }
  return count > 1 ? second : highest;
}

/* Check that BATCH is new; if so, make its writer the current one.  */
static gp_fold_result_t
accept_writer (gp_fold_t *fold, const Gp__Record__Batch *batch)
{
  gp_fold_writer_t *writer = gp_fold_writer (fold, batch->writer);
  gp_fold_change_t change = GP_FOLD_CHANGE (fold, GP_FOLD_WRITER_STARTED);
  bool started;

  if (writer != NULL && batch->incarnation < writer->incarnation)
    return GP_FOLD_STALE;
  started = writer == NULL || batch->incarnation > writer->incarnation;
  if (!started && batch->sequence <= writer->sequence)
    return GP_FOLD_DUPLICATE;
  if (writer == NULL)
    writer = gp_fold_add_writer (fold, batch->writer);
  writer->incarnation = batch->incarnation;
  writer->sequence = batch->sequence;
  writer->wall_us = batch->wall_us;
  gp_list_remove (&writer->link);
  gp_list_push_back (&fold->writers_by_activity, &writer->link);
  fold->log_time_us = MAX (fold->log_time_us, second_clock (fold));
  writer->heard_us = fold->log_time_us;
  fold->writer = writer;
  change.u.writer = writer;
  if (started)
    gp_fold_emit (fold, &change);
  return GP_FOLD_APPLIED;
}

static gp_fold_verdict_t
forward_snapshot (gp_fold_t *fold, const Gp__Record__Record *record)
{
  gp_fold_change_t change = GP_FOLD_CHANGE (
      fold, GP_FOLD_SNAPSHOT, .u.snapshot = { fold->writer, record });

  gp_fold_emit (fold, &change);
  return GP_FOLD_ACCEPTED;
}

static gp_fold_verdict_t
apply_record (gp_fold_t *fold, const Gp__Record__Record *record)
{
  switch (record->record_case)
    {
    case GP__RECORD__RECORD__RECORD_SUBMIT:
      return gp_fold_submit (fold, record->submit);
    case GP__RECORD__RECORD__RECORD_GRANT:
      return gp_fold_grant (fold, record->grant);
    case GP__RECORD__RECORD__RECORD_END:
      return gp_fold_end (fold, record->end);
    case GP__RECORD__RECORD__RECORD_CHECKPOINT:
      return gp_fold_checkpoint (fold, record->checkpoint);
    case GP__RECORD__RECORD__RECORD_CANCEL:
      return gp_fold_cancel (fold, record->cancel);
    case GP__RECORD__RECORD__RECORD_ADOPT:
      return gp_fold_adopt (fold, record->adopt);
    case GP__RECORD__RECORD__RECORD_FENCE:
      return gp_fold_fence (fold, record->fence);
    case GP__RECORD__RECORD__RECORD_FENCE_DONE:
      return gp_fold_fence_done (fold, record->fence_done);
    case GP__RECORD__RECORD__RECORD_INTENT:
      return gp_fold_intent (fold, record->intent);
    case GP__RECORD__RECORD__RECORD_OUTCOME:
      return gp_fold_outcome (fold, record->outcome);
    case GP__RECORD__RECORD__RECORD_CONFIG:
      return gp_fold_configure (fold, record->config);
    case GP__RECORD__RECORD__RECORD_PARK:
      return gp_fold_park (fold, record->park);
    case GP__RECORD__RECORD__RECORD_UNPARK:
      return gp_fold_unpark (fold, record->unpark);
    case GP__RECORD__RECORD__RECORD_SNAPSHOT_BEGIN:
    case GP__RECORD__RECORD__RECORD_SNAPSHOT_PART:
    case GP__RECORD__RECORD__RECORD_SNAPSHOT_END:
      return forward_snapshot (fold, record);
    case GP__RECORD__RECORD__RECORD__NOT_SET:
    case _GP__RECORD__RECORD__RECORD__CASE_IS_INT_SIZE:
      return GP_FOLD_VOID_MALFORMED;
    }
  return GP_FOLD_VOID_MALFORMED;
}

static bool
is_own (const gp_fold_t *fold)
{
  return fold->own_name != NULL
         && fold->writer->incarnation == fold->own_incarnation
         && strcmp (fold->writer->name, fold->own_name) == 0;
}

static void
apply_records (gp_fold_t *fold, const Gp__Record__Batch *batch)
{
  gp_fold_verdict_t *verdicts = g_new (gp_fold_verdict_t, batch->n_records);
  gp_fold_change_t change = GP_FOLD_CHANGE (
      fold, GP_FOLD_OWN_BATCH,
      .u.own = { batch->sequence, verdicts, batch->n_records });

  for (size_t i = 0; i < batch->n_records; i++)
    {
      verdicts[i] = apply_record (fold, batch->records[i]);
      fold->verdict_count[verdicts[i]]++;
    }
  if (is_own (fold))
    gp_fold_emit (fold, &change);
  g_free (verdicts);
}

static bool
batch_valid (const Gp__Record__Batch *batch)
{
  return gp_fold_name_valid (batch->writer) && batch->incarnation != 0
         && batch->sequence != 0 && batch->wall_us >= 0
         && batch->wall_us <= INT64_MAX / 2 && batch->n_records > 0
         && batch->n_records <= BATCH_RECORDS_MAX;
}

static gp_fold_result_t
apply_batch (gp_fold_t *fold, const Gp__Record__Batch *batch)
{
  gp_fold_result_t result;

  if (batch == NULL)
    return GP_FOLD_MALFORMED;
  if (batch->version > GP_FOLD_VERSION)
    return GP_FOLD_UNREADABLE;
  if (!batch_valid (batch))
    return GP_FOLD_MALFORMED;
  result = accept_writer (fold, batch);
  if (result != GP_FOLD_APPLIED)
    return result;
  expire_writers (fold);
  gp_fold_expire_tasks (fold);
  gp_fold_expire_guards (fold);
  gp_fold_expire_keys (fold);
  apply_records (fold, batch);
  fold->writer = NULL;
  return result;
}

gp_fold_result_t
gp_fold_apply (gp_fold_t *fold, uint64_t offset, const uint8_t *bytes,
               size_t size, gp_fold_sink_t sink, void *data)
{
  Gp__Record__Batch *batch;
  gp_fold_result_t result;

  g_assert (fold->active_savers == 0);
  if (offset != fold->next_offset)
    {
      result = offset < fold->next_offset ? GP_FOLD_OLD : GP_FOLD_GAP;
      fold->result_count[result]++;
      return result;
    }
  fold->offset = offset;
  fold->sink = sink;
  fold->sink_data = data;
  batch = gp__record__batch__unpack (NULL, size, bytes);
  result = apply_batch (fold, batch);
  if (batch != NULL)
    gp__record__batch__free_unpacked (batch, NULL);
  fold->result_count[result]++;
  if (result != GP_FOLD_UNREADABLE)
    fold->next_offset++;
  return result;
}

const char *
gp_fold_verdict_name (gp_fold_verdict_t verdict)
{
  static const char *const names[GP_FOLD_VERDICTS] = {
    [GP_FOLD_ACCEPTED] = "accepted",
    [GP_FOLD_VOID_MALFORMED] = "malformed",
    [GP_FOLD_VOID_EXISTS] = "exists",
    [GP_FOLD_VOID_NO_TASK] = "no-task",
    [GP_FOLD_VOID_PHASE] = "phase",
    [GP_FOLD_VOID_EPOCH] = "epoch",
    [GP_FOLD_VOID_GUARD] = "guard",
    [GP_FOLD_VOID_FENCED] = "fenced",
    [GP_FOLD_VOID_KEY_TAKEN] = "key-taken",
    [GP_FOLD_VOID_NO_KEY] = "no-key",
    [GP_FOLD_VOID_OWNER] = "owner",
    [GP_FOLD_VOID_DECIDED] = "decided",
    [GP_FOLD_VOID_BASE] = "base",
    [GP_FOLD_VOID_DIGEST] = "digest",
    [GP_FOLD_VOID_FULL] = "full",
  };

  return names[verdict];
}

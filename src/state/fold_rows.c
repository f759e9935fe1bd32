/* Digest, save and load of the folded state.

   Each object has one row message (see protocol/records.proto).  The digest
   is the sum of the hashes of the packed rows, so that the order of the
   tables does not matter.  A save packs each row as a StateChunk of its own
   and joins them: packed messages that are joined are one message with the
   repeated fields of all.  Rows that stand in a list are saved in its
   order, so that a replica that loads them goes on in the same way.  */

#include <string.h>
#include <xxhash.h>

#include "state/fold_internal.h"

typedef Gp__Record__StateChunk chunk_t;

/* Gets one row in a chunk of its own.  */
typedef void (*row_sink_t) (const chunk_t *chunk, void *data);

typedef struct
{
  const gp_fold_t *fold;
  row_sink_t sink;
  void *data;
} walk_t;

static ProtobufCBinaryData
blob_field (gp_blob_t *blob)
{
  return (ProtobufCBinaryData){ .len = gp_blob_size (blob),
                                .data = gp_blob_data (blob) };
}

static void
walk_task (const walk_t *walk, gp_fold_task_t *task)
{
  chunk_t chunk = GP__RECORD__STATE_CHUNK__INIT;
  Gp__Record__TaskRow row = GP__RECORD__TASK_ROW__INIT;
  Gp__Record__TaskRow *rows = &row;
  Gp__Record__Submit submit = GP__RECORD__SUBMIT__INIT;
  Gp__Wire__Resources resources = GP__WIRE__RESOURCES__INIT;

  resources.millicores = task->millicores;
  resources.memory_mib = task->memory_mib;
  resources.accelerators = task->accelerators;
  submit.task = task->id;
  submit.kind = task->kind;
  submit.work_class = task->work_class;
  submit.team = task->team;
  submit.resources = &resources;
  submit.payload = blob_field (task->payload);
  submit.deadline_us = task->deadline_us;
  submit.max_tries = task->max_tries;
  row.submit = &submit;
  row.phase = task->phase;
  row.epoch = task->epoch;
  row.end_state = task->end_state;
  row.reason = task->reason;
  row.park_reason = task->park_reason;
  row.cancelled = task->cancelled;
  row.tries = task->tries;
  if (task->guard != NULL)
    row.guard = task->guard->name;
  row.submitted_us = task->submitted_us;
  row.changed_us = task->changed_us;
  row.checkpoint = blob_field (task->checkpoint);
  row.result = blob_field (task->result);
  row.n_failed_workers = task->failed_count;
  row.failed_workers = task->failed_workers;
  chunk.n_tasks = 1;
  chunk.tasks = &rows;
  walk->sink (&chunk, walk->data);
}

static void
walk_guard (const walk_t *walk, const gp_fold_guard_t *guard)
{
  chunk_t chunk = GP__RECORD__STATE_CHUNK__INIT;
  Gp__Record__GuardRow row = GP__RECORD__GUARD_ROW__INIT;
  Gp__Record__GuardRow *rows = &row;

  row.name = guard->name;
  row.incarnation = guard->incarnation;
  row.fenced = guard->fenced;
  row.gone = guard->gone;
  row.fence_offset = guard->fence_offset;
  row.changed_us = guard->changed_us;
  chunk.n_guards = 1;
  chunk.guards = &rows;
  walk->sink (&chunk, walk->data);
}

static void
walk_writer (const walk_t *walk, const gp_fold_writer_t *writer)
{
  chunk_t chunk = GP__RECORD__STATE_CHUNK__INIT;
  Gp__Record__WriterRow row = GP__RECORD__WRITER_ROW__INIT;
  Gp__Record__WriterRow *rows = &row;

  row.name = writer->name;
  row.incarnation = writer->incarnation;
  row.sequence = writer->sequence;
  row.heard_us = writer->heard_us;
  chunk.n_writers = 1;
  chunk.writers = &rows;
  walk->sink (&chunk, walk->data);
}

static void
walk_key (const walk_t *walk, gp_fold_key_t *key)
{
  chunk_t chunk = GP__RECORD__STATE_CHUNK__INIT;
  Gp__Record__KeyRow row = GP__RECORD__KEY_ROW__INIT;
  Gp__Record__KeyRow *rows = &row;

  row.key.len = GP_FOLD_KEY_SIZE;
  row.key.data = key->key;
  row.request = key->request;
  row.owner = key->owner;
  row.owner_incarnation = key->owner_incarnation;
  row.state = key->state;
  row.status = key->status;
  row.answer = blob_field (key->answer);
  row.opened_us = key->opened_us;
  row.answer_dropped = key->answer_dropped;
  chunk.n_keys = 1;
  chunk.keys = &rows;
  walk->sink (&chunk, walk->data);
}

static gboolean
walk_config_item (void *key, void *value, void *data)
{
  const walk_t *walk = data;
  chunk_t chunk = GP__RECORD__STATE_CHUNK__INIT;
  Gp__Record__ConfigItem item = GP__RECORD__CONFIG_ITEM__INIT;
  Gp__Record__ConfigItem *items = &item;
  size_t size;

  item.key = key;
  item.value.data = (uint8_t *)g_bytes_get_data (value, &size);
  item.value.len = size;
  chunk.n_config_items = 1;
  chunk.config_items = &items;
  walk->sink (&chunk, walk->data);
  return FALSE;
}

static void
walk_config (const walk_t *walk)
{
  const gp_config_t *config = &walk->fold->config;
  const gp_config_change_t *newest = gp_config_newest (config);
  chunk_t chunk = GP__RECORD__STATE_CHUNK__INIT;
  Gp__Record__ConfigRow row = GP__RECORD__CONFIG_ROW__INIT;
  size_t size;

  if (newest == NULL)
    return;
  g_tree_foreach (config->items, walk_config_item, (void *)walk);
  row.revision = config->revision;
  row.document.data = (uint8_t *)g_bytes_get_data (config->document, &size);
  row.document.len = size;
  row.author = newest->author;
  row.comment = newest->comment;
  row.changed_us = newest->changed_us;
  chunk.config = &row;
  walk->sink (&chunk, walk->data);
}

/* Guards in the order in which they went, then the tasks of each in the
   order of their grants, ended tasks in the order of their ends, others.  */
static void
walk_guards (const walk_t *walk)
{
  GHashTableIter iter;
  gp_fold_guard_t *guard;

  GP_LIST_FOREACH (pos, &walk->fold->guards_gone)
  walk_guard (walk, GP_CONTAINER_OF (pos, gp_fold_guard_t, link));
  g_hash_table_iter_init (&iter, walk->fold->guards);
  while (g_hash_table_iter_next (&iter, (void **)&guard, NULL))
    {
      if (!guard->gone)
        walk_guard (walk, guard);
      GP_LIST_FOREACH (pos, &guard->grants)
      walk_task (walk, GP_CONTAINER_OF (pos, gp_fold_task_t, link));
    }
}

static void
walk_tasks (const walk_t *walk)
{
  GHashTableIter iter;
  gp_fold_task_t *task;

  GP_LIST_FOREACH (pos, &walk->fold->ended)
  walk_task (walk, GP_CONTAINER_OF (pos, gp_fold_task_t, link));
  g_hash_table_iter_init (&iter, walk->fold->tasks);
  while (g_hash_table_iter_next (&iter, (void **)&task, NULL))
    if (task->phase == GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING
        || task->phase == GP__RECORD__TASK_PHASE__TASK_PHASE_PARKED)
      walk_task (walk, task);
}

static void
walk_state (const gp_fold_t *fold, row_sink_t sink, void *data)
{
  walk_t walk = { .fold = fold, .sink = sink, .data = data };
  chunk_t chunk = GP__RECORD__STATE_CHUNK__INIT;

  chunk.log_time_us = fold->log_time_us;
  sink (&chunk, data);
  GP_LIST_FOREACH (pos, &fold->writers_heard)
  walk_writer (&walk, GP_CONTAINER_OF (pos, gp_fold_writer_t, link));
  walk_guards (&walk);
  walk_tasks (&walk);
  GP_LIST_FOREACH (pos, &fold->keys_opened)
  walk_key (&walk, GP_CONTAINER_OF (pos, gp_fold_key_t, link));
  walk_config (&walk);
}

/* Digest.  */

typedef struct
{
  uint64_t sum;
  GByteArray *buffer;
} digest_t;

static void
digest_row (const chunk_t *chunk, void *data)
{
  digest_t *digest = data;
  size_t size = gp__record__state_chunk__get_packed_size (chunk);

  g_byte_array_set_size (digest->buffer, (guint)size);
  gp__record__state_chunk__pack (chunk, digest->buffer->data);
  digest->sum += XXH3_64bits (digest->buffer->data, size);
}

uint64_t
gp_fold_digest (const gp_fold_t *fold)
{
  digest_t digest = { .sum = 0, .buffer = g_byte_array_sized_new (1024) };

  walk_state (fold, digest_row, &digest);
  g_byte_array_unref (digest.buffer);
  return digest.sum;
}

/* Save.  */

typedef struct
{
  size_t part_bytes;
  GByteArray *part;
  void (*emit) (GBytes *part, void *data);
  void *data;
} save_t;

static void
flush_part (save_t *save)
{
  if (save->part->len == 0)
    return;
  save->emit (g_bytes_new (save->part->data, save->part->len), save->data);
  g_byte_array_set_size (save->part, 0);
}

static void
save_row (const chunk_t *chunk, void *data)
{
  save_t *save = data;
  size_t size = gp__record__state_chunk__get_packed_size (chunk);
  guint at = save->part->len;

  if (at > 0 && at + size > save->part_bytes)
    {
      flush_part (save);
      at = 0;
    }
  g_byte_array_set_size (save->part, (guint)(at + size));
  gp__record__state_chunk__pack (chunk, save->part->data + at);
}

void
gp_fold_save (const gp_fold_t *fold, size_t part_bytes,
              void (*emit) (GBytes *part, void *data), void *data)
{
  save_t save = { .part_bytes = part_bytes, .emit = emit, .data = data };

  save.part = g_byte_array_sized_new ((guint)part_bytes);
  walk_state (fold, save_row, &save);
  flush_part (&save);
  g_byte_array_unref (save.part);
}

/* Load.  */

static bool
load_writer (gp_fold_t *fold, const Gp__Record__WriterRow *row)
{
  gp_fold_writer_t *writer;

  if (!gp_fold_name_valid (row->name)
      || gp_fold_writer (fold, row->name) != NULL)
    return false;
  writer = gp_fold_add_writer (fold, row->name);
  writer->incarnation = row->incarnation;
  writer->sequence = row->sequence;
  writer->heard_us = row->heard_us;
  return true;
}

static bool
load_guard (gp_fold_t *fold, const Gp__Record__GuardRow *row)
{
  gp_fold_guard_t *guard;

  if (!gp_fold_name_valid (row->name)
      || gp_fold_guard (fold, row->name) != NULL)
    return false;
  guard = gp_fold_add_guard (fold, row->name);
  guard->incarnation = row->incarnation;
  guard->fenced = row->fenced;
  guard->gone = row->gone;
  guard->fence_offset = row->fence_offset;
  guard->changed_us = row->changed_us;
  if (guard->gone)
    gp_list_push_back (&fold->guards_gone, &guard->link);
  return true;
}

/* Put TASK into the list of its phase.  */
static bool
link_task (gp_fold_t *fold, gp_fold_task_t *task, const char *guard_name)
{
  gp_fold_guard_t *guard = gp_fold_guard (fold, guard_name);

  switch ((Gp__Record__TaskPhase)task->phase)
    {
    case GP__RECORD__TASK_PHASE__TASK_PHASE_GRANTED:
      if (guard == NULL)
        return false;
      task->guard = guard;
      guard->granted++;
      gp_list_push_back (&guard->grants, &task->link);
      return true;
    case GP__RECORD__TASK_PHASE__TASK_PHASE_ENDED:
      gp_list_push_back (&fold->ended, &task->link);
      return true;
    case GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING:
    case GP__RECORD__TASK_PHASE__TASK_PHASE_PARKED:
      return true;
    case GP__RECORD__TASK_PHASE__TASK_PHASE_UNSPECIFIED:
    case _GP__RECORD__TASK_PHASE_IS_INT_SIZE:
      return false;
    }
  return false;
}

static bool
load_task (gp_fold_t *fold, const Gp__Record__TaskRow *row)
{
  gp_fold_task_t *task;

  if (row->submit == NULL || !gp_fold_submit_valid (row->submit)
      || row->n_failed_workers > GP_FOLD_FAILED_WORKERS
      || row->phase < GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING
      || row->phase > GP__RECORD__TASK_PHASE__TASK_PHASE_ENDED
      || gp_fold_task (fold, row->submit->task) != NULL)
    return false;
  task = gp_fold_add_task (fold, row->submit);
  gp_fold_set_phase (fold, task, row->phase);
  task->epoch = row->epoch;
  task->end_state = (uint8_t)row->end_state;
  task->reason = (uint8_t)row->reason;
  task->park_reason = (uint8_t)row->park_reason;
  task->cancelled = row->cancelled;
  task->tries = (uint16_t)row->tries;
  task->submitted_us = row->submitted_us;
  task->changed_us = row->changed_us;
  task->checkpoint = gp_blob_new (row->checkpoint.data, row->checkpoint.len);
  task->result = gp_blob_new (row->result.data, row->result.len);
  fold->task_bytes += row->checkpoint.len;
  task->failed_count = (uint8_t)row->n_failed_workers;
  for (size_t i = 0; i < row->n_failed_workers; i++)
    task->failed_workers[i] = row->failed_workers[i];
  return link_task (fold, task, row->guard);
}

static bool
load_key (gp_fold_t *fold, const Gp__Record__KeyRow *row)
{
  gp_fold_key_t *key;

  if (row->key.len != GP_FOLD_KEY_SIZE
      || gp_fold_key (fold, row->key.data) != NULL)
    return false;
  key = gp_fold_add_key (fold, row->key.data, row->owner);
  key->request = row->request;
  key->owner_incarnation = row->owner_incarnation;
  key->state = (uint8_t)row->state;
  key->status = (uint16_t)row->status;
  key->opened_us = row->opened_us;
  key->answer = gp_blob_new (row->answer.data, row->answer.len);
  key->answer_dropped = row->answer_dropped;
  fold->answer_bytes += row->answer.len;
  if (key->answer_dropped)
    fold->answer_cursor = key->link.next;
  return true;
}

static void
load_config_item (gp_fold_t *fold, const Gp__Record__ConfigItem *row)
{
  gp_config_item_t item
      = { .key = row->key, .value = row->value.data, .size = row->value.len };

  gp_config_load_item (&fold->config, &item);
}

static bool
load_config (gp_fold_t *fold, const Gp__Record__ConfigRow *row)
{
  gp_config_update_t update = {
    .revision = row->revision,
    .document = row->document.data,
    .document_size = row->document.len,
    .author = row->author,
    .comment = row->comment,
    .changed_us = row->changed_us,
  };

  return gp_config_load (&fold->config, &update);
}

static bool
load_chunk (gp_fold_t *fold, const chunk_t *chunk)
{
  bool ok = true;

  fold->log_time_us = MAX (fold->log_time_us, chunk->log_time_us);
  for (size_t i = 0; ok && i < chunk->n_writers; i++)
    ok = load_writer (fold, chunk->writers[i]);
  for (size_t i = 0; ok && i < chunk->n_guards; i++)
    ok = load_guard (fold, chunk->guards[i]);
  for (size_t i = 0; ok && i < chunk->n_tasks; i++)
    ok = load_task (fold, chunk->tasks[i]);
  for (size_t i = 0; ok && i < chunk->n_keys; i++)
    ok = load_key (fold, chunk->keys[i]);
  for (size_t i = 0; ok && i < chunk->n_config_items; i++)
    load_config_item (fold, chunk->config_items[i]);
  if (ok && chunk->config != NULL)
    ok = load_config (fold, chunk->config);
  return ok;
}

bool
gp_fold_load (gp_fold_t *fold, const uint8_t *bytes, size_t size)
{
  chunk_t *chunk = gp__record__state_chunk__unpack (NULL, size, bytes);
  bool ok;

  if (chunk == NULL)
    return false;
  ok = load_chunk (fold, chunk);
  gp__record__state_chunk__free_unpacked (chunk, NULL);
  return ok;
}

void
gp_fold_load_done (gp_fold_t *fold, uint64_t as_of)
{
  fold->next_offset = as_of + 1;
}

uint64_t
gp_fold_memory (const gp_fold_t *fold)
{
  uint64_t slot = sizeof (void *) + sizeof (guint);
  uint64_t tasks = g_hash_table_size (fold->tasks);
  uint64_t guards = g_hash_table_size (fold->guards);
  uint64_t keys = g_hash_table_size (fold->keys);

  /* A hash table is about half full.  */
  return tasks * (sizeof (gp_fold_task_t) + 2 * slot)
         + guards * (sizeof (gp_fold_guard_t) + 2 * slot)
         + keys * (sizeof (gp_fold_key_t) + 2 * slot) + fold->task_bytes
         + fold->answer_bytes + fold->config.bytes;
}

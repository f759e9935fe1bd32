/* Digest and serialization of the state; fold_load.c deserializes it.

   Each object is one row message (see protocol/records.proto).  The digest is
   the sum of the hashes of the packed rows, so that the iteration order of the
   hash tables does not matter.  Each row is packed as a StateChunk of its own,
   and the chunks are concatenated: concatenated protobuf messages decode as
   one message with the repeated fields of all.  Rows that belong to a list are
   saved in list order, so that a replica that loads them behaves like the
   one that saved them.  */

#include <string.h>
#include <xxhash.h>

#include "state/fold_internal.h"

typedef Gp__Record__StateChunk chunk_t;

/* The stages of a save, in their order; see step_row.  */
typedef enum
{
  STAGE_TIME,
  STAGE_WRITERS,
  STAGE_GUARDS_GONE,
  STAGE_GUARDS, /* each guard, followed by its grants in order */
  STAGE_ENDED,
  STAGE_TASKS, /* pending and parked */
  STAGE_KEYS,
  STAGE_CONFIG,
  STAGE_END
} stage_t;

static void
flush_part (gp_fold_saver_t *saver)
{
  if (saver->part->len == 0)
    return;
  if (saver->emit != NULL)
    saver->emit (g_bytes_new (saver->part->data, saver->part->len),
                 saver->data);
  g_byte_array_set_size (saver->part, 0);
}

/* Append a chunk that holds a single row.  */
static void
put_row (gp_fold_saver_t *saver, const chunk_t *chunk)
{
  size_t size = gp__record__state_chunk__get_packed_size (chunk);
  guint at;

  if (saver->part->len + size > saver->part_bytes)
    flush_part (saver);
  at = saver->part->len;
  g_byte_array_set_size (saver->part, (guint)(at + size));
  gp__record__state_chunk__pack (chunk, saver->part->data + at);
  saver->digest += XXH3_64bits (saver->part->data + at, size);
}

static ProtobufCBinaryData
blob_field (gp_blob_t *blob)
{
  return (ProtobufCBinaryData){ .len = gp_blob_size (blob),
                                .data = gp_blob_data (blob) };
}

static void
put_task (gp_fold_saver_t *saver, gp_fold_task_t *task)
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
  row.losses = task->losses;
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
  put_row (saver, &chunk);
}

static void
put_guard (gp_fold_saver_t *saver, const gp_fold_guard_t *guard)
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
  put_row (saver, &chunk);
}

static void
put_writer (gp_fold_saver_t *saver, const gp_fold_writer_t *writer)
{
  chunk_t chunk = GP__RECORD__STATE_CHUNK__INIT;
  Gp__Record__WriterRow row = GP__RECORD__WRITER_ROW__INIT;
  Gp__Record__WriterRow *rows = &row;

  row.name = writer->name;
  row.incarnation = writer->incarnation;
  row.sequence = writer->sequence;
  row.heard_us = writer->heard_us;
  row.wall_us = writer->wall_us;
  chunk.n_writers = 1;
  chunk.writers = &rows;
  put_row (saver, &chunk);
}

static void
put_key (gp_fold_saver_t *saver, gp_fold_key_t *key)
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
  put_row (saver, &chunk);
}

static gboolean
put_config_item (void *key, void *value, void *data)
{
  gp_fold_saver_t *saver = data;
  chunk_t chunk = GP__RECORD__STATE_CHUNK__INIT;
  Gp__Record__ConfigItem item = GP__RECORD__CONFIG_ITEM__INIT;
  Gp__Record__ConfigItem *items = &item;
  size_t size;

  item.key = key;
  item.value.data = (uint8_t *)g_bytes_get_data (value, &size);
  item.value.len = size;
  chunk.n_config_items = 1;
  chunk.config_items = &items;
  put_row (saver, &chunk);
  return FALSE;
}

static void
put_config (gp_fold_saver_t *saver)
{
  const gp_config_t *config = &saver->fold->config;
  const gp_config_change_t *newest = gp_config_newest_change (config);
  chunk_t chunk = GP__RECORD__STATE_CHUNK__INIT;
  Gp__Record__ConfigRow row = GP__RECORD__CONFIG_ROW__INIT;
  size_t size;

  if (newest == NULL)
    return;
  g_tree_foreach (config->items, put_config_item, saver);
  row.revision = config->revision;
  row.document.data = (uint8_t *)g_bytes_get_data (config->document, &size);
  row.document.len = size;
  row.author = newest->author;
  row.comment = newest->comment;
  row.changed_us = newest->changed_us;
  chunk.config = &row;
  put_row (saver, &chunk);
}

static void
put_time (gp_fold_saver_t *saver)
{
  chunk_t chunk = GP__RECORD__STATE_CHUNK__INIT;

  chunk.log_time_us = saver->fold->log_time_us;
  put_row (saver, &chunk);
}

static void
start_stage (gp_fold_saver_t *saver, stage_t stage)
{
  gp_fold_t *fold = saver->fold;

  saver->stage = (int)stage;
  switch (stage)
    {
    case STAGE_WRITERS:
      saver->position = fold->writers_by_activity.next;
      break;
    case STAGE_GUARDS_GONE:
      saver->position = fold->guards_gone.next;
      break;
    case STAGE_GUARDS:
      g_hash_table_iter_init (&saver->iter, fold->guards);
      saver->guard = NULL;
      break;
    case STAGE_ENDED:
      saver->position = fold->ended.next;
      break;
    case STAGE_TASKS:
      g_hash_table_iter_init (&saver->iter, fold->tasks);
      break;
    case STAGE_KEYS:
      saver->position = fold->keys_opened.next;
      break;
    case STAGE_TIME:
    case STAGE_CONFIG:
    case STAGE_END:
      break;
    }
}

/* Return the next link of the list HEAD, or NULL at its end.  */
static gp_list_t *
next_link (gp_fold_saver_t *saver, const gp_list_t *head)
{
  gp_list_t *link = saver->position;

  if (link == head)
    return NULL;
  saver->position = link->next;
  return link;
}

/* Write the next grant of the current guard, or the next guard.  Returns
   false if there is none.  */
static bool
step_guards (gp_fold_saver_t *saver)
{
  gp_list_t *link = NULL;

  if (saver->guard != NULL)
    link = next_link (saver, &saver->guard->grants);
  if (link != NULL)
    {
      put_task (saver, GP_CONTAINER_OF (link, gp_fold_task_t, link));
      return true;
    }
  if (!g_hash_table_iter_next (&saver->iter, (void **)&saver->guard, NULL))
    return false;
  saver->position = saver->guard->grants.next;
  if (!saver->guard->gone)
    put_guard (saver, saver->guard);
  return true;
}

static bool
step_tasks (gp_fold_saver_t *saver)
{
  gp_fold_task_t *task;

  if (!g_hash_table_iter_next (&saver->iter, (void **)&task, NULL))
    return false;
  if (task->phase == GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING
      || task->phase == GP__RECORD__TASK_PHASE__TASK_PHASE_PARKED)
    put_task (saver, task);
  return true;
}

static bool
step_writers (gp_fold_saver_t *saver)
{
  gp_list_t *link = next_link (saver, &saver->fold->writers_by_activity);

  if (link != NULL)
    put_writer (saver, GP_CONTAINER_OF (link, gp_fold_writer_t, link));
  return link != NULL;
}

static bool
step_guards_gone (gp_fold_saver_t *saver)
{
  gp_list_t *link = next_link (saver, &saver->fold->guards_gone);

  if (link != NULL)
    put_guard (saver, GP_CONTAINER_OF (link, gp_fold_guard_t, link));
  return link != NULL;
}

static bool
step_ended (gp_fold_saver_t *saver)
{
  gp_list_t *link = next_link (saver, &saver->fold->ended);

  if (link != NULL)
    put_task (saver, GP_CONTAINER_OF (link, gp_fold_task_t, link));
  return link != NULL;
}

static bool
step_keys (gp_fold_saver_t *saver)
{
  gp_list_t *link = next_link (saver, &saver->fold->keys_opened);

  if (link != NULL)
    put_key (saver, GP_CONTAINER_OF (link, gp_fold_key_t, link));
  return link != NULL;
}

/* Write the next row of the stage.  Returns false if the stage is complete. */
static bool
step_row (gp_fold_saver_t *saver)
{
  switch ((stage_t)saver->stage)
    {
    case STAGE_TIME:
      put_time (saver);
      return false;
    case STAGE_WRITERS:
      return step_writers (saver);
    case STAGE_GUARDS_GONE:
      return step_guards_gone (saver);
    case STAGE_GUARDS:
      return step_guards (saver);
    case STAGE_ENDED:
      return step_ended (saver);
    case STAGE_TASKS:
      return step_tasks (saver);
    case STAGE_KEYS:
      return step_keys (saver);
    case STAGE_CONFIG:
      put_config (saver);
      return false;
    case STAGE_END:
      return true;
    }
  return true;
}

void
gp_fold_saver_init (gp_fold_saver_t *saver, gp_fold_t *fold, size_t part_bytes,
                    void (*emit) (GBytes *part, void *data), void *data)
{
  memset (saver, 0, sizeof *saver);
  saver->fold = fold;
  saver->part_bytes = part_bytes;
  saver->emit = emit;
  saver->data = data;
  saver->part = g_byte_array_sized_new ((guint)part_bytes);
  fold->active_savers++;
  start_stage (saver, STAGE_TIME);
}

void
gp_fold_saver_finish (gp_fold_saver_t *saver)
{
  saver->fold->active_savers--;
  g_byte_array_unref (saver->part);
}

bool
gp_fold_saver_step (gp_fold_saver_t *saver, size_t rows)
{
  for (size_t i = 0; i < rows && saver->stage != STAGE_END; i++)
    if (!step_row (saver))
      start_stage (saver, (stage_t)(saver->stage + 1));
  if (saver->stage != STAGE_END)
    return false;
  flush_part (saver);
  return true;
}

uint64_t
gp_fold_digest (gp_fold_t *fold)
{
  gp_fold_saver_t saver;
  uint64_t digest;

  gp_fold_saver_init (&saver, fold, 0, NULL, NULL);
  gp_fold_saver_step (&saver, SIZE_MAX);
  digest = saver.digest;
  gp_fold_saver_finish (&saver);
  return digest;
}

uint64_t
gp_fold_memory (const gp_fold_t *fold)
{
  uint64_t slot = sizeof (void *) + sizeof (guint);
  uint64_t tasks = g_hash_table_size (fold->tasks);
  uint64_t guards = g_hash_table_size (fold->guards);
  uint64_t keys = g_hash_table_size (fold->keys);

  /* Assume that a hash table is half full.  */
  return tasks * (sizeof (gp_fold_task_t) + 2 * slot)
         + guards * (sizeof (gp_fold_guard_t) + 2 * slot)
         + keys * (sizeof (gp_fold_key_t) + 2 * slot) + fold->task_bytes
         + fold->result_bytes + fold->answer_bytes + fold->config.bytes;
}

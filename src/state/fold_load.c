/* Deserializes the state from the rows that fold_rows.c writes.

   Rows are loaded in the order in which they were saved, and a row that
   belongs to a list is appended to it, so that the lists have the same order
   as on the replica that saved them.  */

#include <string.h>

#include "state/fold_internal.h"

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
  writer->wall_us = row->wall_us;
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

/* Link TASK into the list for its phase.  */
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
  task->losses = (uint8_t)MIN (row->losses, GP_FOLD_LOSSES_MAX);
  task->submitted_us = row->submitted_us;
  task->changed_us = row->changed_us;
  task->checkpoint = gp_blob_new (row->checkpoint.data, row->checkpoint.len);
  task->result = gp_blob_new (row->result.data, row->result.len);
  fold->task_bytes += row->checkpoint.len;
  fold->result_bytes += row->result.len;
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
load_chunk (gp_fold_t *fold, const Gp__Record__StateChunk *chunk)
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
  Gp__Record__StateChunk *chunk
      = gp__record__state_chunk__unpack (NULL, size, bytes);
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

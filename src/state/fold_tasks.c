#include <string.h>
#include <xxhash.h>

#include "state/fold_internal.h"

#define TRIES_MAX 1000

gp_fold_task_t *
gp_fold_task (const gp_fold_t *fold, uint64_t id)
{
  return g_hash_table_lookup (fold->tasks, &id);
}

static void
emit_task (gp_fold_t *fold, gp_fold_change_kind_t kind,
           const gp_fold_task_t *task, const gp_fold_guard_t *guard)
{
  gp_fold_change_t change
      = GP_FOLD_CHANGE (fold, kind, .u.task = { task, guard });

  gp_fold_emit (fold, &change);
}

void
gp_fold_set_phase (gp_fold_t *fold, gp_fold_task_t *task,
                   Gp__Record__TaskPhase phase)
{
  fold->phase_count[task->phase]--;
  fold->phase_count[phase]++;
  task->phase = (uint8_t)phase;
}

bool
gp_fold_submit_valid (const Gp__Record__Submit *submit)
{
  return submit->task != 0 && gp_fold_name_valid (submit->kind)
         && strnlen (submit->team, GP_FOLD_NAME_MAX + 1) <= GP_FOLD_NAME_MAX
         && (submit->work_class == GP__WIRE__WORK_CLASS__WORK_CLASS_BATCH
             || submit->work_class == GP__WIRE__WORK_CLASS__WORK_CLASS_WATCHER)
         && submit->payload.len <= GP_FOLD_PAYLOAD_MAX
         && submit->max_tries <= TRIES_MAX && submit->deadline_us >= 0;
}

gp_fold_task_t *
gp_fold_add_task (gp_fold_t *fold, const Gp__Record__Submit *submit)
{
  gp_fold_task_t *task = g_new0 (gp_fold_task_t, 1);

  task->id = submit->task;
  gp_list_init (&task->link);
  task->kind = g_ref_string_new_intern (submit->kind);
  task->team = g_ref_string_new_intern (submit->team);
  task->work_class = (uint8_t)submit->work_class;
  task->payload = gp_blob_new (submit->payload.data, submit->payload.len);
  task->deadline_us = submit->deadline_us;
  task->max_tries = (uint16_t)MAX (submit->max_tries, 1);
  if (submit->resources != NULL)
    {
      task->millicores = submit->resources->millicores;
      task->memory_mib = submit->resources->memory_mib;
      task->accelerators = submit->resources->accelerators;
    }
  task->phase = GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING;
  fold->phase_count[task->phase]++;
  fold->task_bytes += submit->payload.len;
  g_hash_table_add (fold->tasks, task);
  return task;
}

void
gp_fold_free_task (void *data)
{
  gp_fold_task_t *task = data;

  g_ref_string_release (task->kind);
  g_ref_string_release (task->team);
  g_free (task->payload);
  g_free (task->checkpoint);
  g_free (task->result);
  g_free (task);
}

gp_fold_verdict_t
gp_fold_submit (gp_fold_t *fold, const Gp__Record__Submit *submit)
{
  uint32_t ended = fold->phase_count[GP__RECORD__TASK_PHASE__TASK_PHASE_ENDED];
  gp_fold_task_t *task;

  if (!gp_fold_submit_valid (submit))
    return GP_FOLD_VOID_MALFORMED;
  if (gp_fold_task (fold, submit->task) != NULL)
    return GP_FOLD_VOID_EXISTS;
  if (g_hash_table_size (fold->tasks) - ended >= fold->limits.tasks_max)
    return GP_FOLD_VOID_FULL;
  if (fold->task_bytes + submit->payload.len > fold->limits.task_bytes_max)
    return GP_FOLD_VOID_FULL;
  task = gp_fold_add_task (fold, submit);
  task->submitted_us = fold->log_time_us;
  task->changed_us = fold->log_time_us;
  emit_task (fold, GP_FOLD_TASK_SUBMITTED, task, NULL);
  return GP_FOLD_ACCEPTED;
}

static gp_fold_verdict_t
check_grant (const gp_fold_t *fold, const gp_fold_task_t *task,
             const gp_fold_guard_t *guard, uint64_t incarnation)
{
  if (task == NULL)
    return GP_FOLD_VOID_NO_TASK;
  if (task->phase != GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING)
    return GP_FOLD_VOID_PHASE;
  if (guard == NULL || guard->incarnation != incarnation)
    return GP_FOLD_VOID_GUARD;
  if (guard->fenced)
    return GP_FOLD_VOID_FENCED;
  return GP_FOLD_ACCEPTED;
}

bool
gp_fold_may_grant (const gp_fold_t *fold, const gp_fold_task_t *task,
                   const gp_fold_guard_t *guard, uint64_t incarnation)
{
  return check_grant (fold, task, guard, incarnation) == GP_FOLD_ACCEPTED;
}

gp_fold_verdict_t
gp_fold_grant (gp_fold_t *fold, const Gp__Record__Grant *grant)
{
  gp_fold_task_t *task = gp_fold_task (fold, grant->task);
  gp_fold_guard_t *guard = gp_fold_guard (fold, grant->guard);
  gp_fold_verdict_t verdict
      = check_grant (fold, task, guard, grant->guard_incarnation);

  if (verdict != GP_FOLD_ACCEPTED)
    return verdict;
  if (grant->epoch != task->epoch + 1)
    return GP_FOLD_VOID_EPOCH;
  task->epoch = grant->epoch;
  task->guard = guard;
  task->changed_us = fold->log_time_us;
  gp_list_push_back (&guard->grants, &task->link);
  guard->granted++;
  gp_fold_set_phase (fold, task, GP__RECORD__TASK_PHASE__TASK_PHASE_GRANTED);
  emit_task (fold, GP_FOLD_TASK_GRANTED, task, guard);
  return GP_FOLD_ACCEPTED;
}

static void
record_failure (gp_fold_task_t *task, const gp_fold_guard_t *guard)
{
  uint32_t worker = XXH32 (guard->name, strlen (guard->name), 0);

  if (task->tries < TRIES_MAX)
    task->tries++;
  for (int i = 0; i < task->failed_count; i++)
    if (task->failed_workers[i] == worker)
      return;
  if (task->failed_count < GP_FOLD_FAILED_WORKERS)
    task->failed_workers[task->failed_count++] = worker;
}

/* Update the number of losses in a row after an epoch of TASK has ended in
   STATE.  */
static void
count_loss (const gp_fold_t *fold, gp_fold_task_t *task,
            Gp__Wire__TaskState state)
{
  bool soon = fold->log_time_us - task->changed_us < GP_FOLD_LOSS_TIME_US;

  if (state != GP__WIRE__TASK_STATE__TASK_STATE_LOST || !soon)
    task->losses = 0;
  else if (task->losses < GP_FOLD_LOSSES_MAX)
    task->losses++;
}

bool
gp_fold_loss_limit_reached (const gp_fold_task_t *task)
{
  return task->losses >= GP_FOLD_LOSSES_MAX;
}

/* Return true if TASK, whose epoch has just ended, is to run again.  */
static bool
runs_again (const gp_fold_task_t *task)
{
  if (task->end_state == GP__WIRE__TASK_STATE__TASK_STATE_SUCCEEDED
      || task->cancelled)
    return false;
  if (task->work_class == GP__WIRE__WORK_CLASS__WORK_CLASS_WATCHER)
    return true;
  return task->end_state != GP__WIRE__TASK_STATE__TASK_STATE_FAILED
         || task->tries < task->max_tries;
}

static void
end_task (gp_fold_t *fold, gp_fold_task_t *task, const gp_fold_guard_t *guard)
{
  gp_list_push_back (&fold->ended, &task->link);
  fold->result_bytes += gp_blob_size (task->result);
  fold->task_bytes -= gp_blob_size (task->payload);
  fold->task_bytes -= gp_blob_size (task->checkpoint);
  g_clear_pointer (&task->payload, g_free);
  g_clear_pointer (&task->checkpoint, g_free);
  gp_fold_set_phase (fold, task, GP__RECORD__TASK_PHASE__TASK_PHASE_ENDED);
  emit_task (fold, GP_FOLD_TASK_ENDED, task, guard);
}

void
gp_fold_end_epoch (gp_fold_t *fold, gp_fold_task_t *task,
                   Gp__Wire__TaskState state, Gp__Wire__Reason reason)
{
  gp_fold_guard_t *guard = task->guard;

  gp_list_remove (&task->link);
  guard->granted--;
  task->guard = NULL;
  task->end_state = (uint8_t)state;
  if (!task->cancelled)
    task->reason = (uint8_t)reason;
  count_loss (fold, task, state);
  task->changed_us = fold->log_time_us;
  if (state == GP__WIRE__TASK_STATE__TASK_STATE_FAILED)
    record_failure (task, guard);
  if (!runs_again (task))
    {
      end_task (fold, task, guard);
      return;
    }
  g_clear_pointer (&task->result, g_free);
  gp_fold_set_phase (fold, task, GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING);
  emit_task (fold, GP_FOLD_TASK_RETURNED, task, guard);
}

/* Check that EPOCH is the current epoch of TASK and TASK is granted.  */
static gp_fold_verdict_t
check_epoch (const gp_fold_task_t *task, uint64_t epoch)
{
  if (task == NULL)
    return GP_FOLD_VOID_NO_TASK;
  if (epoch != task->epoch)
    return GP_FOLD_VOID_EPOCH;
  if (task->phase != GP__RECORD__TASK_PHASE__TASK_PHASE_GRANTED)
    return GP_FOLD_VOID_PHASE;
  return GP_FOLD_ACCEPTED;
}

/* Replace the checkpoint by DATA, unless DATA is empty or would exceed the
   limit of task_bytes.  */
static bool
set_checkpoint (gp_fold_t *fold, gp_fold_task_t *task,
                const ProtobufCBinaryData *data)
{
  uint64_t bytes
      = fold->task_bytes - gp_blob_size (task->checkpoint) + data->len;

  if (data->len == 0 || bytes > fold->limits.task_bytes_max)
    return false;
  fold->task_bytes = bytes;
  g_free (task->checkpoint);
  task->checkpoint = gp_blob_new (data->data, data->len);
  return true;
}

static bool
end_valid (const Gp__Record__End *end)
{
  return end->state >= GP__WIRE__TASK_STATE__TASK_STATE_SUCCEEDED
         && end->state <= GP__WIRE__TASK_STATE__TASK_STATE_LOST
         && end->result.len <= GP_FOLD_RESULT_MAX
         && end->checkpoint.len <= GP_FOLD_CHECKPOINT_MAX && end->reason >= 0
         && end->reason <= UINT8_MAX;
}

gp_fold_verdict_t
gp_fold_end (gp_fold_t *fold, const Gp__Record__End *end)
{
  gp_fold_task_t *task = gp_fold_task (fold, end->task);
  gp_fold_verdict_t verdict = check_epoch (task, end->epoch);

  if (!end_valid (end))
    return GP_FOLD_VOID_MALFORMED;
  if (verdict != GP_FOLD_ACCEPTED)
    return verdict;
  set_checkpoint (fold, task, &end->checkpoint);
  task->result = gp_blob_new (end->result.data, end->result.len);
  gp_fold_end_epoch (fold, task, end->state, end->reason);
  return GP_FOLD_ACCEPTED;
}

gp_fold_verdict_t
gp_fold_checkpoint (gp_fold_t *fold, const Gp__Record__Checkpoint *record)
{
  gp_fold_task_t *task = gp_fold_task (fold, record->task);
  gp_fold_verdict_t verdict = check_epoch (task, record->epoch);

  if (record->data.len == 0 || record->data.len > GP_FOLD_CHECKPOINT_MAX)
    return GP_FOLD_VOID_MALFORMED;
  if (verdict != GP_FOLD_ACCEPTED)
    return verdict;
  if (!set_checkpoint (fold, task, &record->data))
    return GP_FOLD_VOID_FULL;
  emit_task (fold, GP_FOLD_TASK_CHECKPOINT, task, task->guard);
  return GP_FOLD_ACCEPTED;
}

gp_fold_verdict_t
gp_fold_cancel (gp_fold_t *fold, const Gp__Record__Cancel *cancel)
{
  gp_fold_task_t *task = gp_fold_task (fold, cancel->task);

  if (cancel->reason < 0 || cancel->reason > UINT8_MAX)
    return GP_FOLD_VOID_MALFORMED;
  if (task == NULL)
    return GP_FOLD_VOID_NO_TASK;
  if (task->cancelled
      || task->phase == GP__RECORD__TASK_PHASE__TASK_PHASE_ENDED)
    return GP_FOLD_VOID_PHASE;
  task->cancelled = true;
  task->reason = (uint8_t)cancel->reason;
  if (task->phase == GP__RECORD__TASK_PHASE__TASK_PHASE_GRANTED)
    {
      emit_task (fold, GP_FOLD_TASK_CANCELLING, task, task->guard);
      return GP_FOLD_ACCEPTED;
    }
  task->changed_us = fold->log_time_us;
  end_task (fold, task, NULL);
  return GP_FOLD_ACCEPTED;
}

gp_fold_verdict_t
gp_fold_park (gp_fold_t *fold, const Gp__Record__Park *park)
{
  gp_fold_task_t *task = gp_fold_task (fold, park->task);

  if (park->reason <= GP__RECORD__PARK_REASON__PARK_REASON_UNSPECIFIED
      || park->reason > GP__RECORD__PARK_REASON__PARK_REASON_OPERATOR)
    return GP_FOLD_VOID_MALFORMED;
  if (task == NULL)
    return GP_FOLD_VOID_NO_TASK;
  if (task->phase != GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING)
    return GP_FOLD_VOID_PHASE;
  task->park_reason = (uint8_t)park->reason;
  task->changed_us = fold->log_time_us;
  gp_fold_set_phase (fold, task, GP__RECORD__TASK_PHASE__TASK_PHASE_PARKED);
  emit_task (fold, GP_FOLD_TASK_PARKED, task, NULL);
  return GP_FOLD_ACCEPTED;
}

/* Unparking resets the losses and the list of failed workers, but not the
   number of tries.  */
gp_fold_verdict_t
gp_fold_unpark (gp_fold_t *fold, const Gp__Record__Unpark *unpark)
{
  gp_fold_task_t *task = gp_fold_task (fold, unpark->task);

  if (task == NULL)
    return GP_FOLD_VOID_NO_TASK;
  if (task->phase != GP__RECORD__TASK_PHASE__TASK_PHASE_PARKED)
    return GP_FOLD_VOID_PHASE;
  task->park_reason = GP__RECORD__PARK_REASON__PARK_REASON_UNSPECIFIED;
  task->failed_count = 0;
  task->losses = 0;
  task->changed_us = fold->log_time_us;
  gp_fold_set_phase (fold, task, GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING);
  emit_task (fold, GP_FOLD_TASK_UNPARKED, task, NULL);
  return GP_FOLD_ACCEPTED;
}

void
gp_fold_expire_tasks (gp_fold_t *fold)
{
  uint32_t *ended
      = &fold->phase_count[GP__RECORD__TASK_PHASE__TASK_PHASE_ENDED];

  while (!gp_list_empty (&fold->ended))
    {
      gp_fold_task_t *task
          = GP_CONTAINER_OF (fold->ended.next, gp_fold_task_t, link);
      bool expired = task->changed_us + fold->limits.ended_window_us
                     <= fold->log_time_us;

      bool too_many = *ended > fold->limits.ended_max
                      || fold->result_bytes > fold->limits.result_bytes_max;

      if (!expired && !too_many)
        return;
      emit_task (fold, GP_FOLD_TASK_DROPPED, task, NULL);
      gp_list_remove (&task->link);
      fold->result_bytes -= gp_blob_size (task->result);
      (*ended)--;
      g_hash_table_remove (fold->tasks, task);
    }
}

#include "fold_twin.h"

#include <stdlib.h>
#include <string.h>

const gp_fold_limits_t fold_twin_limits = {
  .key_window_us = KEY_WINDOW,
  .ended_window_us = TASK_WINDOW,
  .writer_window_us = INT64_MAX / 4,
  .guard_window_us = GUARD_WINDOW,
  .tasks_max = 8,
  .ended_max = 100,
  .keys_max = 5,
  .writers_max = 16,
  .task_bytes_max = 1000,
  .result_bytes_max = 1000,
  .answer_bytes_max = 30,
};

static int
twin_count_live (const fold_twin_t *twin)
{
  int live = 0;

  for (int i = 0; i < TASKS; i++)
    live += twin->tasks[i].phase != 0 && twin->tasks[i].phase != PHASE (ENDED);
  return live;
}

static void
twin_end_epoch (fold_twin_t *twin, fold_twin_task_t *task, int state)
{
  bool over = state == TASK_STATE (SUCCEEDED) || task->cancelled;

  if (state == TASK_STATE (FAILED))
    {
      task->tries++;
      over = over || (!task->watcher && task->tries >= task->max_tries);
    }
  if (state == TASK_STATE (LOST)
      && twin->now - task->changed < GP_FOLD_LOSS_TIME_US)
    task->losses += task->losses < GP_FOLD_LOSSES_MAX;
  else
    task->losses = 0;
  task->phase = over ? PHASE (ENDED) : PHASE (PENDING);
  task->changed = twin->now;
}

static gp_fold_verdict_t
twin_submit (fold_twin_t *twin, const Gp__Record__Submit *submit)
{
  fold_twin_task_t *task = &twin->tasks[submit->task - 1];

  if (task->phase != 0)
    return GP_FOLD_VOID_EXISTS;
  if (twin_count_live (twin) >= (int)fold_twin_limits.tasks_max)
    return GP_FOLD_VOID_FULL;
  memset (task, 0, sizeof *task);
  task->phase = PHASE (PENDING);
  task->watcher
      = submit->work_class == GP__WIRE__WORK_CLASS__WORK_CLASS_WATCHER;
  task->max_tries = MAX (submit->max_tries, 1);
  task->changed = twin->now;
  return GP_FOLD_ACCEPTED;
}

static gp_fold_verdict_t
twin_grant (fold_twin_t *twin, const fold_slot_t *slot)
{
  const Gp__Record__Grant *grant = slot->record.grant;
  fold_twin_task_t *task = &twin->tasks[grant->task - 1];
  const fold_twin_guard_t *guard = &twin->guards[slot->guard];

  if (task->phase == 0)
    return GP_FOLD_VOID_NO_TASK;
  if (task->phase != PHASE (PENDING))
    return GP_FOLD_VOID_PHASE;
  if (guard->incarnation != grant->guard_incarnation)
    return GP_FOLD_VOID_GUARD;
  if (guard->fenced)
    return GP_FOLD_VOID_FENCED;
  if (grant->epoch != task->epoch + 1)
    return GP_FOLD_VOID_EPOCH;
  task->epoch++;
  task->phase = PHASE (GRANTED);
  task->guard = slot->guard;
  task->guard_incarnation = grant->guard_incarnation;
  task->changed = twin->now;
  return GP_FOLD_ACCEPTED;
}

static gp_fold_verdict_t
twin_end (fold_twin_t *twin, const Gp__Record__End *end)
{
  fold_twin_task_t *task = &twin->tasks[end->task - 1];

  if (task->phase == 0)
    return GP_FOLD_VOID_NO_TASK;
  if (end->epoch != task->epoch)
    return GP_FOLD_VOID_EPOCH;
  if (task->phase != PHASE (GRANTED))
    return GP_FOLD_VOID_PHASE;
  twin_end_epoch (twin, task, end->state);
  return GP_FOLD_ACCEPTED;
}

static gp_fold_verdict_t
twin_cancel (fold_twin_t *twin, const Gp__Record__Cancel *cancel)
{
  fold_twin_task_t *task = &twin->tasks[cancel->task - 1];

  if (task->phase == 0)
    return GP_FOLD_VOID_NO_TASK;
  if (task->cancelled || task->phase == PHASE (ENDED))
    return GP_FOLD_VOID_PHASE;
  task->cancelled = true;
  if (task->phase == PHASE (GRANTED))
    return GP_FOLD_ACCEPTED;
  task->phase = PHASE (ENDED);
  task->changed = twin->now;
  return GP_FOLD_ACCEPTED;
}

static gp_fold_verdict_t
twin_adopt (fold_twin_t *twin, const fold_slot_t *slot)
{
  const Gp__Record__Adopt *adopt = slot->record.adopt;
  fold_twin_guard_t *guard = &twin->guards[slot->guard];

  if (adopt->incarnation <= guard->incarnation)
    return GP_FOLD_VOID_GUARD;
  *guard = (fold_twin_guard_t){ .incarnation = adopt->incarnation,
                                .changed = twin->now };
  for (int i = 0; i < TASKS; i++)
    {
      fold_twin_task_t *task = &twin->tasks[i];
      bool kept = false;

      if (task->phase != PHASE (GRANTED) || task->guard != slot->guard)
        continue;
      for (size_t k = 0; k < adopt->n_running; k++)
        kept = kept
               || (adopt->running[k]->task == (uint64_t)i + 1
                   && adopt->running[k]->epoch == task->epoch);
      if (kept)
        task->guard_incarnation = adopt->incarnation;
      else
        twin_end_epoch (twin, task, TASK_STATE (LOST));
    }
  return GP_FOLD_ACCEPTED;
}

static gp_fold_verdict_t
twin_fence (fold_twin_t *twin, const fold_slot_t *slot)
{
  fold_twin_guard_t *guard = &twin->guards[slot->guard];

  if (guard->incarnation == 0
      || guard->incarnation != slot->record.fence->incarnation)
    return GP_FOLD_VOID_GUARD;
  if (guard->fenced)
    return GP_FOLD_VOID_FENCED;
  guard->fenced = true;
  guard->changed = twin->now;
  return GP_FOLD_ACCEPTED;
}

static gp_fold_verdict_t
twin_fence_done (fold_twin_t *twin, const fold_slot_t *slot)
{
  fold_twin_guard_t *guard = &twin->guards[slot->guard];
  uint64_t incarnation = slot->record.fence_done->incarnation;

  if (guard->incarnation == 0 || guard->incarnation != incarnation)
    return GP_FOLD_VOID_GUARD;
  if (!guard->fenced || guard->gone)
    return GP_FOLD_VOID_FENCED;
  guard->gone = true;
  guard->changed = twin->now;
  for (int i = 0; i < TASKS; i++)
    if (twin->tasks[i].phase == PHASE (GRANTED)
        && twin->tasks[i].guard == slot->guard
        && twin->tasks[i].guard_incarnation <= incarnation)
      twin_end_epoch (twin, &twin->tasks[i], TASK_STATE (LOST));
  return GP_FOLD_ACCEPTED;
}

static gp_fold_verdict_t
twin_intent (fold_twin_t *twin, const fold_slot_t *slot, int writer)
{
  fold_twin_key_t *key = &twin->keys[slot->key[0]];
  int count = 0;

  for (int i = 0; i < KEYS; i++)
    count += twin->keys[i].state != 0;
  if (key->state != 0)
    return GP_FOLD_VOID_KEY_TAKEN;
  if (count >= (int)fold_twin_limits.keys_max)
    return GP_FOLD_VOID_FULL;
  *key = (fold_twin_key_t){ KEY_STATE (OPEN), writer,
                            twin->incarnation[writer], twin->now };
  return GP_FOLD_ACCEPTED;
}

static gp_fold_verdict_t
twin_outcome (fold_twin_t *twin, const fold_slot_t *slot, int writer)
{
  fold_twin_key_t *key = &twin->keys[slot->key[0]];
  int state = slot->record.outcome->state;

  if (key->state == 0)
    return GP_FOLD_VOID_NO_KEY;
  if (key->state == KEY_STATE (RAN)
      || (key->state == KEY_STATE (UNKNOWN) && state == KEY_STATE (UNKNOWN)))
    return GP_FOLD_VOID_DECIDED;
  if (state != KEY_STATE (UNKNOWN)
      && (key->owner != writer
          || key->owner_incarnation != twin->incarnation[writer]))
    return GP_FOLD_VOID_OWNER;
  key->state = state == KEY_STATE (NOT_RUN) ? 0 : state;
  return GP_FOLD_ACCEPTED;
}

static gp_fold_verdict_t
twin_config (fold_twin_t *twin, const fold_slot_t *slot)
{
  const Gp__Record__Config *config = slot->record.config;

  if (config->base_revision != twin->revision)
    return GP_FOLD_VOID_BASE;
  if (config->digest.data != slot->digest)
    return GP_FOLD_VOID_DIGEST;
  twin->revision = config->revision;
  return GP_FOLD_ACCEPTED;
}

static gp_fold_verdict_t
twin_change_phase (fold_twin_t *twin, uint64_t id, int from, int to)
{
  fold_twin_task_t *task = &twin->tasks[id - 1];

  if (task->phase == 0)
    return GP_FOLD_VOID_NO_TASK;
  if (task->phase != from)
    return GP_FOLD_VOID_PHASE;
  task->phase = to;
  task->changed = twin->now;
  return GP_FOLD_ACCEPTED;
}

static gp_fold_verdict_t
twin_unpark (fold_twin_t *twin, uint64_t id)
{
  gp_fold_verdict_t verdict
      = twin_change_phase (twin, id, PHASE (PARKED), PHASE (PENDING));

  if (verdict == GP_FOLD_ACCEPTED)
    twin->tasks[id - 1].losses = 0;
  return verdict;
}

gp_fold_verdict_t
fold_twin_record (fold_twin_t *twin, const fold_slot_t *slot, int writer)
{
  switch ((int)slot->record.record_case)
    {
    case GP__RECORD__RECORD__RECORD_SUBMIT:
      return twin_submit (twin, slot->record.submit);
    case GP__RECORD__RECORD__RECORD_GRANT:
      return twin_grant (twin, slot);
    case GP__RECORD__RECORD__RECORD_END:
      return twin_end (twin, slot->record.end);
    case GP__RECORD__RECORD__RECORD_CANCEL:
      return twin_cancel (twin, slot->record.cancel);
    case GP__RECORD__RECORD__RECORD_ADOPT:
      return twin_adopt (twin, slot);
    case GP__RECORD__RECORD__RECORD_FENCE:
      return twin_fence (twin, slot);
    case GP__RECORD__RECORD__RECORD_FENCE_DONE:
      return twin_fence_done (twin, slot);
    case GP__RECORD__RECORD__RECORD_INTENT:
      return twin_intent (twin, slot, writer);
    case GP__RECORD__RECORD__RECORD_OUTCOME:
      return twin_outcome (twin, slot, writer);
    case GP__RECORD__RECORD__RECORD_CONFIG:
      return twin_config (twin, slot);
    case GP__RECORD__RECORD__RECORD_PARK:
      return twin_change_phase (twin, slot->record.park->task, PHASE (PENDING),
                                PHASE (PARKED));
    case GP__RECORD__RECORD__RECORD_UNPARK:
      return twin_unpark (twin, slot->record.unpark->task);
    default:
      return GP_FOLD_VOID_MALFORMED;
    }
}

static int
compare_clocks (const void *a, const void *b)
{
  return *(const int64_t *)a < *(const int64_t *)b ? 1 : -1;
}

void
fold_twin_clock (fold_twin_t *twin, int writer, int64_t wall_us)
{
  int64_t sorted[WRITERS];

  twin->clock[writer] = wall_us;
  memcpy (sorted, twin->clock, sizeof sorted);
  qsort (sorted, WRITERS, sizeof sorted[0], compare_clocks);
  twin->now = MAX (twin->now, sorted[1] >= 0 ? sorted[1] : sorted[0]);
}

void
fold_twin_expire (fold_twin_t *twin)
{
  for (int i = 0; i < TASKS; i++)
    if (twin->tasks[i].phase == PHASE (ENDED)
        && twin->tasks[i].changed + TASK_WINDOW <= twin->now)
      twin->tasks[i].phase = 0;
  for (int i = 0; i < KEYS; i++)
    if (twin->keys[i].state != 0
        && twin->keys[i].opened + KEY_WINDOW <= twin->now)
      twin->keys[i].state = 0;
  for (int i = 0; i < GUARDS; i++)
    if (twin->guards[i].gone
        && twin->guards[i].changed + GUARD_WINDOW <= twin->now)
      twin->guards[i] = (fold_twin_guard_t){ 0 };
}

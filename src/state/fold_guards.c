#include "state/fold_internal.h"

gp_fold_guard_t *
gp_fold_guard (const gp_fold_t *fold, const char *name)
{
  return g_hash_table_lookup (fold->guards, &name);
}

gp_fold_guard_t *
gp_fold_add_guard (gp_fold_t *fold, const char *name)
{
  gp_fold_guard_t *guard = g_new0 (gp_fold_guard_t, 1);

  guard->name = g_ref_string_new_intern (name);
  gp_list_init (&guard->grants);
  gp_list_init (&guard->link);
  g_hash_table_add (fold->guards, guard);
  return guard;
}

void
gp_fold_free_guard (void *data)
{
  gp_fold_guard_t *guard = data;

  g_ref_string_release (guard->name);
  g_free (guard);
}

static void
emit_guard (gp_fold_t *fold, gp_fold_change_kind_t kind,
            const gp_fold_guard_t *guard)
{
  gp_fold_change_t change = GP_FOLD_CHANGE (fold, kind, .u.guard = guard);

  gp_fold_emit (fold, &change);
}

/* End the grants of GUARD except those in RUNNING, a map from task to epoch.
   RUNNING may be NULL.  */
static void
end_grants (gp_fold_t *fold, gp_fold_guard_t *guard, GHashTable *running)
{
  GP_LIST_FOREACH_SAFE (pos, &guard->grants)
  {
    gp_fold_task_t *task = GP_CONTAINER_OF (pos, gp_fold_task_t, link);
    uint64_t *epoch = NULL;

    if (running != NULL)
      epoch = g_hash_table_lookup (running, &task->id);
    if (epoch != NULL && *epoch == task->epoch)
      continue;
    gp_fold_end_epoch (fold, task, GP__WIRE__TASK_STATE__TASK_STATE_LOST,
                       GP__WIRE__REASON__REASON_STALE);
  }
}

gp_fold_verdict_t
gp_fold_adopt (gp_fold_t *fold, const Gp__Record__Adopt *adopt)
{
  gp_fold_guard_t *guard;
  GHashTable *running;

  if (!gp_fold_name_valid (adopt->guard) || adopt->incarnation == 0)
    return GP_FOLD_VOID_MALFORMED;
  guard = gp_fold_guard (fold, adopt->guard);
  if (guard != NULL && adopt->incarnation <= guard->incarnation)
    return GP_FOLD_VOID_GUARD;
  if (guard == NULL)
    guard = gp_fold_add_guard (fold, adopt->guard);
  gp_list_remove (&guard->link);
  guard->incarnation = adopt->incarnation;
  guard->fenced = false;
  guard->gone = false;
  guard->changed_us = fold->log_time_us;
  running = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (size_t i = 0; i < adopt->n_running; i++)
    g_hash_table_insert (running, &adopt->running[i]->task,
                         &adopt->running[i]->epoch);
  end_grants (fold, guard, running);
  g_hash_table_unref (running);
  emit_guard (fold, GP_FOLD_GUARD_ADOPTED, guard);
  return GP_FOLD_ACCEPTED;
}

gp_fold_verdict_t
gp_fold_fence (gp_fold_t *fold, const Gp__Record__Fence *fence)
{
  gp_fold_guard_t *guard = gp_fold_guard (fold, fence->guard);

  if (guard == NULL || guard->incarnation != fence->incarnation)
    return GP_FOLD_VOID_GUARD;
  if (guard->fenced)
    return GP_FOLD_VOID_FENCED;
  guard->fenced = true;
  guard->fence_offset = fold->offset;
  guard->changed_us = fold->log_time_us;
  emit_guard (fold, GP_FOLD_GUARD_FENCED, guard);
  return GP_FOLD_ACCEPTED;
}

gp_fold_verdict_t
gp_fold_fence_done (gp_fold_t *fold, const Gp__Record__FenceDone *done)
{
  gp_fold_guard_t *guard = gp_fold_guard (fold, done->guard);

  if (guard == NULL || guard->incarnation != done->incarnation)
    return GP_FOLD_VOID_GUARD;
  if (!guard->fenced || guard->gone)
    return GP_FOLD_VOID_FENCED;
  guard->gone = true;
  guard->changed_us = fold->log_time_us;
  gp_list_push_back (&fold->guards_gone, &guard->link);
  end_grants (fold, guard, NULL);
  emit_guard (fold, GP_FOLD_GUARD_GONE, guard);
  return GP_FOLD_ACCEPTED;
}

void
gp_fold_expire_guards (gp_fold_t *fold)
{
  while (!gp_list_empty (&fold->guards_gone))
    {
      gp_fold_guard_t *guard
          = GP_CONTAINER_OF (fold->guards_gone.next, gp_fold_guard_t, link);

      if (guard->changed_us + fold->limits.guard_window_us > fold->log_time_us)
        return;
      emit_guard (fold, GP_FOLD_GUARD_DROPPED, guard);
      gp_list_remove (&guard->link);
      g_hash_table_remove (fold->guards, guard);
    }
}

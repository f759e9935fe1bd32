#include "lease_fold.h"

static bool
is_live (const lease_fold_t *fold, const lease_record_t *r)
{
  return fold->guards[r->guard].current == r->incarnation
         && !fold->guards[r->guard].fenced;
}

static bool
apply_grant (lease_fold_t *fold, const lease_record_t *r)
{
  if (fold->tasks[r->task].granted || !is_live (fold, r)
      || r->epoch != fold->tasks[r->task].epoch + 1)
    return false;
  fold->tasks[r->task].epoch = r->epoch;
  fold->tasks[r->task].granted = true;
  fold->tasks[r->task].guard = r->guard;
  fold->tasks[r->task].incarnation = r->incarnation;
  return true;
}

static bool
apply_end (lease_fold_t *fold, const lease_record_t *r)
{
  if (!fold->tasks[r->task].granted || fold->tasks[r->task].epoch != r->epoch)
    return false;
  fold->tasks[r->task].granted = false;
  return true;
}

/* Ends the grants of the guard, except those that the record lists as
   running.  */
static void
end_grants (lease_fold_t *fold, const lease_record_t *r)
{
  for (unsigned t = 0; t < LW_TASKS; t++)
    {
      if (!fold->tasks[t].granted || fold->tasks[t].guard != r->guard)
        continue;
      if (r->kind == LEASE_RECORD_ADOPT
          && r->running[t] == fold->tasks[t].epoch)
        fold->tasks[t].incarnation = r->incarnation;
      else
        fold->tasks[t].granted = false;
    }
}

static bool
apply_adopt (lease_fold_t *fold, const lease_record_t *r)
{
  if (r->incarnation <= fold->guards[r->guard].current)
    return false;
  fold->guards[r->guard].current = r->incarnation;
  fold->guards[r->guard].fenced = false;
  fold->guards[r->guard].done = false;
  end_grants (fold, r);
  return true;
}

static bool
apply_fence (lease_fold_t *fold, const lease_record_t *r)
{
  if (!is_live (fold, r))
    return false;
  fold->guards[r->guard].fenced = true;
  return true;
}

static bool
apply_fence_done (lease_fold_t *fold, const lease_record_t *r)
{
  if (fold->guards[r->guard].current != r->incarnation
      || !fold->guards[r->guard].fenced || fold->guards[r->guard].done)
    return false;
  fold->guards[r->guard].done = true;
  end_grants (fold, r);
  return true;
}

bool
lease_fold_apply (lease_fold_t *fold, const lease_record_t *record)
{
  switch (record->kind)
    {
    case LEASE_RECORD_GRANT:
      return apply_grant (fold, record);
    case LEASE_RECORD_END:
      return apply_end (fold, record);
    case LEASE_RECORD_ADOPT:
      return apply_adopt (fold, record);
    case LEASE_RECORD_FENCE:
      return apply_fence (fold, record);
    case LEASE_RECORD_FENCE_DONE:
      return apply_fence_done (fold, record);
    }
  return false;
}

bool
lease_fold_ended (const lease_fold_t *fold, unsigned task, uint64_t epoch)
{
  if (epoch < fold->tasks[task].epoch)
    return true;
  return epoch == fold->tasks[task].epoch && !fold->tasks[task].granted;
}

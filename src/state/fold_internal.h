/* Internal interface between the files of the fold; see state/fold.h.

   fold.c         batches: writers, dispatch, log time
   fold_tasks.c   submissions, epochs, cancellation, parking
   fold_guards.c  guards: adoption and fences
   fold_keys.c    keys of non-idempotent requests
   fold_config.c  configuration
   fold_rows.c    digest and serialization
   fold_load.c    deserialization  */

#ifndef GP_STATE_FOLD_INTERNAL_H
#define GP_STATE_FOLD_INTERNAL_H

#include "state/fold.h"

/* Initializer for a change of KIND_ caused by the batch being applied.  */
#define GP_FOLD_CHANGE(fold_, kind_, ...)                                     \
  {                                                                           \
    .kind = (kind_), .offset = (fold_)->offset, __VA_ARGS__                   \
  }

static inline void
gp_fold_emit (gp_fold_t *fold, const gp_fold_change_t *change)
{
  if (fold->sink != NULL)
    fold->sink (change, fold->sink_data);
}

/* Return true if NAME is not empty and not too long.  */
bool gp_fold_name_valid (const char *name);

/* fold_tasks.c */
gp_fold_verdict_t gp_fold_submit (gp_fold_t *fold,
                                  const Gp__Record__Submit *submit);
gp_fold_verdict_t gp_fold_grant (gp_fold_t *fold,
                                 const Gp__Record__Grant *grant);
gp_fold_verdict_t gp_fold_end (gp_fold_t *fold, const Gp__Record__End *end);
gp_fold_verdict_t gp_fold_checkpoint (gp_fold_t *fold,
                                      const Gp__Record__Checkpoint *record);
gp_fold_verdict_t gp_fold_cancel (gp_fold_t *fold,
                                  const Gp__Record__Cancel *cancel);
gp_fold_verdict_t gp_fold_park (gp_fold_t *fold, const Gp__Record__Park *park);
gp_fold_verdict_t gp_fold_unpark (gp_fold_t *fold,
                                  const Gp__Record__Unpark *unpark);

/* End the epoch of the granted TASK, which becomes pending again or ended.  */
void gp_fold_end_epoch (gp_fold_t *fold, gp_fold_task_t *task,
                        Gp__Wire__TaskState state, Gp__Wire__Reason reason);

/* Create a task from a valid SUBMIT and add it to the hash table.  */
gp_fold_task_t *gp_fold_add_task (gp_fold_t *fold,
                                  const Gp__Record__Submit *submit);
bool gp_fold_submit_valid (const Gp__Record__Submit *submit);
void gp_fold_set_phase (gp_fold_t *fold, gp_fold_task_t *task,
                        Gp__Record__TaskPhase phase);
void gp_fold_free_task (void *data);
void gp_fold_expire_tasks (gp_fold_t *fold);

/* fold_guards.c */
gp_fold_verdict_t gp_fold_adopt (gp_fold_t *fold,
                                 const Gp__Record__Adopt *adopt);
gp_fold_verdict_t gp_fold_fence (gp_fold_t *fold,
                                 const Gp__Record__Fence *fence);
gp_fold_verdict_t gp_fold_fence_done (gp_fold_t *fold,
                                      const Gp__Record__FenceDone *done);
gp_fold_guard_t *gp_fold_add_guard (gp_fold_t *fold, const char *name);
void gp_fold_free_guard (void *data);
void gp_fold_expire_guards (gp_fold_t *fold);

/* fold_keys.c */
gp_fold_verdict_t gp_fold_intent (gp_fold_t *fold,
                                  const Gp__Record__Intent *intent);
gp_fold_verdict_t gp_fold_outcome (gp_fold_t *fold,
                                   const Gp__Record__Outcome *outcome);
gp_fold_key_t *gp_fold_add_key (gp_fold_t *fold, const uint8_t *key,
                                const char *owner);
void gp_fold_free_key (void *data);
void gp_fold_expire_keys (gp_fold_t *fold);

/* fold_config.c */
gp_fold_verdict_t gp_fold_configure (gp_fold_t *fold,
                                     const Gp__Record__Config *record);

/* fold.c */
gp_fold_writer_t *gp_fold_add_writer (gp_fold_t *fold, const char *name);
void gp_fold_free_writer (void *data);

#endif

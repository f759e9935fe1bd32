/* Distinguishes the loss of a single executor from a loss of several that have
   a common cause: power, a rack or a zone.

   Only losses of which no guard reports suspects are classified.  A task
   crashes the executor that starts it; the VM and the guard's process live on,
   and the guard reports what had just begun.

   - Executors are lost together if the last reports on them are at most
     GP_LOSS_REPORTS_APART_TIME apart.  When a loss becomes known proves
     nothing: VMs are back at different times, and so are their guards.
   - A guard whose connection was closed when its reports ended was killed by
     itself: a VM without power closes nothing.  Its executor is not part of a
     correlated loss.
   - A single other executor may be lost by chance, so there must be at least
     GP_LOSS_MIN_OTHERS, or half of the others on a small site.
   - A correlated loss may still be caused by tasks if they explain each of the
     lost executors: either runs of the same job may have just started on all
     of them, and of no other job, or an isolated run on each.  Otherwise no
     task is the cause.
   - What is lost while an outage lasts, that is before all executors lost in
   it are back, is part of it: power that comes and goes takes some at a time.
   - A VM that is lost again and again is unstable: the loss of an isolated run
     there is no evidence against its task.
   - To a leader that has had no report on an executor its VM is silent from
     the first connection that was not answered.  A VM that is up and whose
     guard was killed refuses it.
   - Where neither is known, losses are correlated if they become known
     together, and tasks cannot be ruled out.

   The executors of a correlated loss are classified together, when the first
   of them is found dead: later their runs are assigned elsewhere.

   Pure.  */

#ifndef GP_JOBS_CORRELATED_LOSS_H
#define GP_JOBS_CORRELATED_LOSS_H

#include "jobs/book.h"

/* Twice the time between two reports of a guard.  */
#define GP_LOSS_REPORTS_APART_TIME (600 * GP_MSEC)
/* A single other executor may be lost by chance.  */
#define GP_LOSS_MIN_OTHERS 2

/* Classifies the loss of EXECUTOR, which is not marked as dead yet.
   GUARD_BACK: its guard reports what came after it; executors that a leader
   without reports has not heard of show nothing then, as their guards are
   just reaching it.  */
gp_loss_t gp_correlated_loss_classify (const gp_book_t *book,
                                       gp_job_executor_t *executor,
                                       bool guard_back, gp_time_t now);

/* Returns the number of other executors whose VMs fell silent together with
   that of EXECUTOR; 0 if it is not known when that was.  */
unsigned gp_correlated_loss_others (const gp_book_t *book,
                                    const gp_job_executor_t *executor);

/* Returns whether the VM was lost with the executor.  */
bool gp_loss_is_of_vm (gp_loss_t loss);

/* Returns whether EXECUTOR's VM was lost so recently that it may be lost again
   without a task's doing.  */
bool gp_correlated_loss_is_unstable (const gp_job_executor_t *executor,
                                     gp_time_t now);

/* Short name of LOSS, for logs.  */
const char *gp_loss_name (gp_loss_t loss);

#endif

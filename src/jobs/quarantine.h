/* Quarantine for queues whose tasks crash executors.

   A single task that crashes executors comes under suspicion by itself, see
   jobs/suspicion.h.  If a queue has many such tasks, each of them still
   crashes the executor on which it is started first, and all runs there are
   lost.  So a queue comes under suspicion when it explains failures of
   executors within GP_QUARANTINE_SUSPICION_TIME that are too unlikely a
   coincidence, see jobs/executor_failures.h.  This is judged again with each
   failure, and when one turns out to be none; otherwise the suspicion ends
   GP_QUARANTINE_SUSPICION_TIME after the last failure that the queue explains.
   All this applies only if its work, what is running as well as what arrives,
   fits into quarantine: the work of a site's only queue would come to a halt
   there.

   - Its new tasks are started on the few executors in quarantine, each of
     which takes the tasks of one job at a time, so that the cause of a failure
     is known at once.
   - Tasks of other queues go to other executors as long as there is a place.

   The executors with the least work to lose are chosen.  One that is in
   quarantine stays there, and the next incarnation that takes its place has
   nothing to lose yet.

   The leader learns this from failures; nothing is recorded, and a new leader
   starts without it.  Pure.  */

#ifndef GP_JOBS_QUARANTINE_H
#define GP_JOBS_QUARANTINE_H

#include "jobs/book.h"
#include "jobs/executor_failures.h"

/* A queue is suspect if the failures that it explains are a coincidence with
   at most this probability.  A smaller one takes more failures, each of which
   costs all runs on an executor, before a queue that causes them is
   confined.  */
#define GP_QUARANTINE_CHANCE 0.01
/* How long such a failure counts.  */
#define GP_QUARANTINE_SUSPICION_TIME (10 * GP_SEC)
/* How long after the last failure waiting tasks of the queue can prolong the
   suspicion, if all its work fits into quarantine.  */
#define GP_QUARANTINE_MAX_TIME (30 * GP_SEC)
/* One of so many executors is in quarantine, at least one.  */
#define GP_QUARANTINE_SHARE 4
/* How long an executor in quarantine is reserved for the job that has begun
   there: orders are answered within milliseconds, and a failure that a task
   causes shows as quickly.  */
#define GP_QUARANTINE_DEDICATION_TIME (150 * GP_MSEC)

typedef struct
{
  gp_executor_failures_t failures;
  GHashTable *queues; /* name to what is held against it, owned */
  uint64_t last_vm;
  bool has_executors; /* there are executors in quarantine */
} gp_quarantine_t;

void gp_quarantine_init (gp_quarantine_t *quarantine);
void gp_quarantine_finish (gp_quarantine_t *quarantine);

/* Forgets everything, at the start of a new term as leader: the executors that
   the failures belong to are read anew then, so that none could be taken back,
   and one that is still down would count twice.  */
void gp_quarantine_reset (gp_quarantine_t *quarantine);

/* Returns a new number for gp_executor_failure_t.vm.  */
uint64_t gp_quarantine_add_vm (gp_quarantine_t *quarantine);

/* An executor of BOOK failed as FAILURE says, or what is known of that failure
   has changed.  Returns its id.  */
uint64_t gp_quarantine_record_failure (gp_quarantine_t *quarantine,
                                       const gp_book_t *book,
                                       const gp_executor_failure_t *failure,
                                       gp_time_t now);

/* The failure ID counts no longer: its executor has not crashed, or something
   else explains it.  */
void gp_quarantine_withdraw_failure (gp_quarantine_t *quarantine, uint64_t id,
                                     gp_time_t now);

/* A task of QUEUE finds no place in quarantine: tasks that have not been
   started yet may fail like the previous ones.  */
void gp_quarantine_record_waiting (gp_quarantine_t *quarantine,
                                   const char *queue, gp_time_t now);

/* Return whether QUEUE is under suspicion, and whether any queue is.  */
bool gp_quarantine_is_suspect (const gp_quarantine_t *quarantine,
                               const char *queue, gp_time_t now);
bool gp_quarantine_is_active (const gp_quarantine_t *quarantine,
                              gp_time_t now);

/* Chooses the executors of BOOK that are in quarantine from NOW on.  */
void gp_quarantine_choose_executors (gp_quarantine_t *quarantine,
                                     const gp_book_t *book, gp_time_t now);

#endif

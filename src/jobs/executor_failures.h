/* Recent failures of executors, and whether a queue explains them.

   An executor also fails by itself, and where runs of a queue begin often, one
   has then nearly always just begun.  So a failure is evidence against a queue
   only as far as that is unlikely.  Each failure has the chance that a run of
   the queue would have begun as recently before a random moment.  Of N
   failures, K with a chance of at most C are a coincidence with the
   probability that K or more of N independent events of probability C
   occur.

   - A cause explains what it is charged with: failures on which nothing of the
     queue had just begun count among the N.
   - A VM that has also failed with nothing of the queue on it fails by itself,
     and none of its failures counts among the K.
   - The smallest probability over K is multiplied by the number of K tried,
     and by a factor that grows with N, as each failure is one more occasion to
     judge.

   Failures that may have a common cause are not recorded, nor are those at
   which runs of several queues had just begun.  Pure.  */

#ifndef GP_JOBS_EXECUTOR_FAILURES_H
#define GP_JOBS_EXECUTOR_FAILURES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

/* Number of failures that make a queue suspect at the least.  A single one
   tells nothing of the next.  */
#define GP_EXECUTOR_FAILURES_MIN 2
/* Maximum number kept, the newest ones.  Judging a queue takes a time that
   grows with the square of it, for each failure of many at once.  */
#define GP_EXECUTOR_FAILURES_MAX 64

typedef struct
{
  uint64_t id; /* of the failure; 0: it is not recorded yet */
  uint64_t vm; /* the same for all executors on one VM */
  gp_time_t at;
  const char *queue; /* of which runs may have just begun, NULL: of none */
  double chance;     /* that a run of it would have begun as recently before a
                        random moment; 1: not known, so that the failure says
                        nothing of the queue */
} gp_executor_failure_t;

typedef struct
{
  GArray *rows; /* gp_executor_failure_t with a QUEUE of its own, oldest
                   first */
  uint64_t last_id;
} gp_executor_failures_t;

void gp_executor_failures_init (gp_executor_failures_t *failures);
void gp_executor_failures_finish (gp_executor_failures_t *failures);

/* Returns whether FAILURE is recorded and tells nothing new: reports repeat
   what had just begun, and the chance is that of the first one that tells
   it.  */
bool gp_executor_failures_is_known (const gp_executor_failures_t *failures,
                                    const gp_executor_failure_t *failure);

/* Records FAILURE, whose queue is copied, in place of the one with its id if
   that is not 0.  Returns its id.  */
uint64_t gp_executor_failures_record (gp_executor_failures_t *failures,
                                      const gp_executor_failure_t *failure);

/* Discards the failure ID, and those before TIME.  */
void gp_executor_failures_discard (gp_executor_failures_t *failures,
                                   uint64_t id);
void gp_executor_failures_discard_before (gp_executor_failures_t *failures,
                                          gp_time_t time);

/* What the failures since a moment say of a queue.  */
typedef struct
{
  unsigned failures;  /* all that say something of it */
  unsigned explained; /* those that count against the queue */
  gp_time_t last_at;  /* the last of these, 0: none */
  double chance;      /* that they are a coincidence; 1 if fewer than
                         GP_EXECUTOR_FAILURES_MIN count */
} gp_failure_evidence_t;

gp_failure_evidence_t
gp_executor_failures_evidence (const gp_executor_failures_t *failures,
                               const char *queue, gp_time_t since);

#endif

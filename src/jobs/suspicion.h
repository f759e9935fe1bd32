/* Which task takes its executors down.

   A task may bring down every executor that starts it.  Such a run tells no
   end, so it is counted when its executor is found dead.  Beside it stand
   others that have done nothing; these tell them apart:

   - A run that has settled, which was listed as at work for SETTLE_TIME, did
     not take its executor down by being started.  Its task is above suspicion
     again, and what was counted of it is forgotten.
   - A run whose start cannot have reached its executor counts for nothing: it
     was given to one that was down already.
   - A task under which ISOLATED executors have gone down is started alone: on
     an executor on which nothing has just begun, and which takes nothing else
     until the run has settled.
   - It is given up when PROVEN executors have gone down under it and the last
     run was alone and fresh: it had begun for certain, and only just.  Another
     one beside it that may have begun just then as well, as its start was held
     up, leaves it open which of the two it was.  Else after MOST.

   Only a few executors at a time are kept for one task, and not for longer
   than PATIENCE: after a disaster many are under suspicion, and all have to
   run again.

   The count stands in the job's progress, in the same record as the run that
   is assigned next: no start is made that a later leader does not know of.
   Each member of a gang counts for itself.

   Pure.  */

#ifndef GP_JOBS_SUSPICION_H
#define GP_JOBS_SUSPICION_H

#include "jobs/executor.h"

/* Executors that go down under a task before it is started alone: by chance a
   task is under one, seldom under two within seconds.  */
#define GP_SUSPICION_ISOLATED 2
/* Before it is given up, if the last one went down under it alone, as soon as
   it had begun.  */
#define GP_SUSPICION_PROVEN 3
/* Before it is given up in any case.  Users allow two starts after three
   executors; one is left for an executor whose end was not noticed.  */
#define GP_SUSPICION_MOST 4

/* How long a run has to be listed as at work to have settled.  Tasks that take
   their executor down do so milliseconds after their start; the longer this is
   the more runs stand under suspicion after executors went down by themselves.
 */
#define GP_SUSPICION_SETTLE_TIME (GP_SEC)
/* And not to have only just begun: such a run stands against its task, when it
   was alone.  Twice as long as a list may wait before it is answered.  */
#define GP_SUSPICION_FRESH_TIME (500 * GP_MSEC)
/* Members of a gang are listed while they wait for each other, up to 3 s.  */
#define GP_SUSPICION_GANG_TIME (3 * GP_SEC)

/* A run that was assigned so long ago has begun: its order is answered within
   milliseconds, or made again after 300 ms.  */
#define GP_SUSPICION_BEGIN_TIME (500 * GP_MSEC)
/* A task waits no longer for an executor of its own: one that lasts has to run
   again within 6 s, the others are late already.  */
#define GP_SUSPICION_LASTING_PATIENCE (3 * GP_SEC)
#define GP_SUSPICION_PATIENCE (10 * GP_SEC)
/* Of all executors, at most one in so many is kept for one task (but one
   may be) ... */
#define GP_SUSPICION_SHARE 4
/* ... and for no longer: three orders without an answer, and what it takes to
   settle.  A run that can't be begun must not close its executor.  */
#define GP_SUSPICION_KEEP_TIME (2 * GP_SEC)

/* What the loss of a run with its executor says of its task.  */
typedef enum
{
  GP_SUSPICION_NONE, /* it only stood beside */
  GP_SUSPICION_COUNTED,
  GP_SUSPICION_GUILTY /* it is to be given up */
} gp_suspicion_t;

/* How long a run of a task, a member of a GANG, has to be at work.  */
gp_time_t gp_suspicion_settle_time (bool gang);
/* And not to have only just begun.  */
gp_time_t gp_suspicion_fresh_time (bool gang);

/* The run of TASK has settled, or its end was done.  Returns whether what was
   counted of it has changed, so that its progress has to be written.  */
bool gp_suspicion_clear (gp_job_task_t *task);

/* Runs on EXECUTOR, which went down without a word, that may have begun just
   then.  */
unsigned gp_suspicion_beginners (const gp_job_executor_t *executor);

/* TASK's executor went down without a word; TASK is still on it, and of the
   runs there BEGINNERS may have begun just then.  */
gp_suspicion_t gp_suspicion_crashed (gp_job_task_t *task, unsigned beginners);

/* Nothing is known of the run of TASK any more, or not yet.  */
void gp_suspicion_forget_run (gp_job_task_t *task);

/* TASK waits, and is about to be assigned if there is a place for it.  */
void gp_suspicion_waits (gp_job_task_t *task, gp_time_t now);

/* Is TASK to be started alone?  */
bool gp_suspicion_wants_alone (const gp_job_task_t *task, gp_time_t now);

/* Is EXECUTOR kept for one task?  */
bool gp_suspicion_is_kept (const gp_job_executor_t *executor, gp_time_t now);

/* Does EXECUTOR take TASK, for what else has just begun there or is watched?
 */
bool gp_suspicion_admits (const gp_job_executor_t *executor,
                          const gp_job_task_t *task, gp_time_t now);

/* TASK is on its executor now, assigned anew.  */
void gp_suspicion_assigned (gp_job_task_t *task, gp_time_t now);

#endif

/* Which task takes its executors down.

   A task may bring down every executor that starts it.  Such a run tells no
   end, so its executor is found dead.  Beside it stand others that have done
   nothing; what tells them apart is evidence, never a count of ends, as any
   number of them proves nothing against who only stood nearby:

   - Such a task does it as soon as it begins.  An end speaks only against runs
     that had just begun or, as their start was held up or nobody is left to
     tell, may have.  Others on the executor have nothing to do with it.
   - It is a PROOF where all of these are of one job, which is given up as a
     whole, and had begun just then, or, where the lists alone tell, were
     started alone; or where a run was alone, and executor and guard went
     together just after its order.  It is a HINT where they had begun a little
     earlier, or where nobody can tell anything of a run that was alone.
   - A run that has settled, which was listed as at work for SETTLE_TIME, did
     not take its executor down by being started.  Its task is above suspicion
     again, and what was counted of it is forgotten.
   - A task is given up for GUILT: two proofs, as an executor may also go down
     by itself under a task that has just begun, or what hints make up.

   So that the next end tells, a task under which an executor has gone down is
   started alone, unless others had begun with it and no more is known: on an
   executor that takes nothing else until the run has settled, but for tasks of
   the same job.  Where no executor is quiet, the one with the least to lose is
   kept until it is.  Only a few executors at a time are kept; after a disaster
   many are under suspicion, and all have to run again, so that those of which
   no more is known wait no longer than PATIENCE.

   What was counted stands in the job's progress, in the same record as the run
   that is assigned next: no start is made that a later leader does not know
   of.  Each member of a gang counts for itself.

   Pure.  */

#ifndef GP_JOBS_SUSPICION_H
#define GP_JOBS_SUSPICION_H

#include "jobs/executor.h"

/* After so many executors a task waits for a start that tells, for as long as
   that takes: users allow two starts after three.  */
#define GP_SUSPICION_PATIENT 2
/* Executors that are counted at the most: more of them change nothing.  */
#define GP_SUSPICION_MOST 4

/* What ends weigh, and what a task is given up for.  With hints alone that is
   the fifth start, the last that users allow.  */
#define GP_SUSPICION_PROOF 2
#define GP_SUSPICION_HINT 1
#define GP_SUSPICION_GUILT 4

/* How long a run has to be listed as at work to have settled.  Tasks that take
   their executor down do so milliseconds after their start; the longer this is
   the longer executors are kept.  */
#define GP_SUSPICION_SETTLE_TIME (GP_SEC)
/* A run that its executor outlived for longer had not begun lately.  Answers
   tell that in steps of a quarter of a second ...  */
#define GP_SUSPICION_FRESH_TIME (500 * GP_MSEC)
/* ... a connection that ends with the executor at once: ten times what such a
   task takes, as a VM may be busy, and little else begins in that time.  */
#define GP_SUSPICION_JUST_TIME (100 * GP_MSEC)
/* Members of a gang are listed while they wait for each other, up to 3 s.  */
#define GP_SUSPICION_GANG_TIME (3 * GP_SEC)

/* A run that was assigned so long ago has not begun lately: its order is
   answered within milliseconds, or made again after 300 ms.  */
#define GP_SUSPICION_BEGIN_TIME (GP_SUSPICION_FRESH_TIME + 100 * GP_MSEC)
/* An executor is kept for a start for so long, until all there has begun and
   the next look at what waits.  */
#define GP_SUSPICION_QUIET_TIME (GP_SUSPICION_BEGIN_TIME + 250 * GP_MSEC)
/* A task waits no longer for an executor of its own: one that lasts has to run
   again within 6 s, the others are late already.  */
#define GP_SUSPICION_LASTING_PATIENCE (3 * GP_SEC)
#define GP_SUSPICION_PATIENCE (10 * GP_SEC)
/* Nor do the members of a gang against which something speaks.  */
#define GP_SUSPICION_GANG_PATIENCE (60 * GP_SEC)
/* Of all executors, at most one in so many is kept (but one may be) ... */
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

/* The run of TASK has settled, or its end was done.  Returns whether what was
   counted of it has changed, so that its progress has to be written.  */
bool gp_suspicion_clear (gp_job_task_t *task);

/* May the run of TASK have begun just when its executor went down, by what its
   guard told?  */
bool gp_suspicion_is_beginner (const gp_job_task_t *task);

/* The job of all runs on EXECUTOR, which went down without a word, that may
   have begun just then by what its guard told; NULL: there is none, or they
   are of several.  */
const gp_job_t *gp_suspicion_sole_job (const gp_job_executor_t *executor);

/* TASK's executor went down without a word; TASK is still on it, and SOLE_JOB
   is what gp_suspicion_sole_job said.  */
gp_suspicion_t gp_suspicion_crashed (gp_job_task_t *task,
                                     const gp_job_t *sole_job);

/* The same where half of the others went TOGETHER with the executor, of which
   nobody tells: power was lost, or several tasks took executors and guards
   down at once.  A start that was alone counts nevertheless, and so does the
   second such end in a row of any other.  */
gp_suspicion_t gp_suspicion_crashed_together (gp_job_task_t *task,
                                              const gp_job_t *sole_job);

/* What a guard has told of the run of TASK as a suspect is void.  */
void gp_suspicion_forget_told (gp_job_task_t *task);

/* Nothing is known of the run of TASK any more, or not yet.  */
void gp_suspicion_forget_run (gp_job_task_t *task);

/* TASK waits, and is about to be assigned if there is a place for it.  */
void gp_suspicion_waits (gp_job_task_t *task, gp_time_t now);

/* Does something speak against TASK, or has it been counted for so long that
   only a start that tells helps?  */
bool gp_suspicion_is_strong (const gp_job_task_t *task);

/* Is TASK to be started alone?  */
bool gp_suspicion_wants_alone (const gp_job_task_t *task, gp_time_t now);

/* Is EXECUTOR kept for one job with suspects?  And for JOB?  */
bool gp_suspicion_is_kept (const gp_job_executor_t *executor, gp_time_t now);
bool gp_suspicion_is_kept_for (const gp_job_executor_t *executor,
                               const gp_job_t *job, gp_time_t now);

/* Does EXECUTOR take TASK, for what it is kept for?  */
bool gp_suspicion_admits (const gp_job_executor_t *executor,
                          const gp_job_task_t *task, gp_time_t now);

/* Would TASK, which EXECUTOR takes, be alone if it were assigned now?  */
bool gp_suspicion_is_quiet (const gp_job_executor_t *executor, gp_time_t now);

/* A record tells that TASK is on its executor, ALONE or not.  */
void gp_suspicion_folded (gp_job_task_t *task, bool alone);

/* Keep EXECUTOR for TASK, which is to be started there when it is quiet.  */
void gp_suspicion_keep (gp_job_executor_t *executor, const gp_job_task_t *task,
                        gp_time_t now);

/* Keep EXECUTOR, on which a task of JOB is assigned, for it until UNTIL at
   least.  */
void gp_suspicion_keep_for (gp_job_executor_t *executor, const gp_job_t *job,
                            gp_time_t until);

/* From DECIDED_AT to NOW nothing could be assigned: TASK's patience, if it
   waits, does not run in that time.  */
void gp_suspicion_put_off (gp_job_task_t *task, gp_time_t decided_at,
                           gp_time_t now);

/* What the end of EXECUTOR would cost: milliseconds of work on all its
   processors.  */
int64_t gp_suspicion_at_stake (const gp_job_executor_t *executor,
                               gp_time_t now);

/* TASK is on its executor now, assigned anew.  */
void gp_suspicion_assigned (gp_job_task_t *task, gp_time_t now);

/* EXECUTOR's guard tells that a run which is to be alone has not settled
   there, and that others wait for it: they are better assigned elsewhere.  */
void gp_suspicion_goes_on (gp_job_executor_t *executor, gp_time_t now);

/* What was assigned to EXECUTOR at DECIDED_AT or since is ordered only NOW, as
   its record had to wait: it begins now, and what EXECUTOR is kept for is kept
   from now on.  */
void gp_suspicion_ordered (gp_job_executor_t *executor, gp_time_t decided_at,
                           gp_time_t now);

#endif

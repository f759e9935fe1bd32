/* Detects tasks that crash the executors they run on.

   A task may crash every executor that starts it.  No end is reported for such
   a run; its executor is found dead.  Other runs on the same executor are
   innocent.  Suspects are distinguished by evidence, never by a count of
   crashes: any number of crashes proves nothing against a task that merely
   shared the executors.

   - A crashing task crashes the executor as soon as it starts.  A crash
     therefore counts only against runs that had just started, or that may
     have, if their start was delayed or no guard is left to report it.  Other
     runs on the executor are not affected.
   - A crash is strong evidence if all such runs belong to one job, which fails
     when one of its tasks is given up, and they had started within
     GP_SUSPICION_JUST_TIME or, where only the executor's lists show it, were
     started in isolation.  It is also strong evidence if a run was isolated
     and executor and guard disappeared together just after its order, unless
     the task would be given up by it: guards are also killed alone, and no
     report shows that the executor died at the same time.  It is weak evidence
     if the runs may have started a little earlier, if nothing is known about a
     run that was isolated, or for a run that was started in a group.
   - A run that is known to have begun more than GP_SUSPICION_JUST_TIME before
     the executor ended, as its connection shows, did not crash it.  This
     includes members of gangs: they crash it as they begin, too, and do not
     wait for the others.
   - If several executors on which no run had just started go down together
     with this one, they have a common cause, and the crash counts against
     nobody.  Neither does it if several executors and their guards are lost
     together and no task explains the loss of all of them; see
     jobs/correlated_loss.h.
   - A run that a guard has found on its executor, started by an earlier guard
     process, may have started at any time before.  It is no evidence that the
     start of such a run is answered anew.  Likewise a run whose start went
     unanswered at first: any of its starts may be the one that was carried
     out.
   - A run that has settled, which means that it was listed as running for
     GP_SUSPICION_SETTLE_TIME, did not crash its executor by starting.  Its
     task is no longer suspect, and what was counted against it is cleared.  If
     no guard is left to tell, a run passes for settled that the guard's
     reports have covered for that long, not from its order but from the last
     report by which it may not have begun.
   - A task is given up once its evidence reaches the threshold: two crashes
     with strong evidence, because an executor may also crash by itself under a
     task that has just started, or the equivalent in weak evidence.

   To make the next crash conclusive, a task whose executor has crashed is
   started in isolation, unless other runs had started with it and nothing more
   is known: on an executor that takes no other work until the run has settled,
   except tasks of the same job.  If no executor is without recent starts, the
   one with the least work to lose is dedicated until it is.  Only a few
   executors are dedicated at a time.  After a large outage many tasks are
   suspect, and all have to run again, so those with no further evidence wait
   no longer than the isolation timeout, and if too many wait for that, they
   start in groups; see jobs/placer_groups.c.

   The counts are stored in the job's progress, in the same record as the run
   that is assigned next: no start is made that a later leader does not know
   of.  Each member of a gang counts for itself.

   Pure.  */

#ifndef GP_JOBS_SUSPICION_H
#define GP_JOBS_SUSPICION_H

#include "jobs/executor.h"

/* Number of crashes after which a task waits for an isolated start without a
   time limit.  Users allow two starts after three.  */
#define GP_SUSPICION_STRONG_CRASHES 2
/* Maximum number of crashes counted; further ones change nothing.  */
#define GP_SUSPICION_MAX_CRASHES 4

/* Evidence that one crash adds, and the sum at which a task is given up.  With
   weak evidence alone that is the fifth start, the last that users allow.  */
#define GP_SUSPICION_STRONG_EVIDENCE 2
#define GP_SUSPICION_WEAK_EVIDENCE 1
#define GP_SUSPICION_EVIDENCE_LIMIT 4

/* How long a run has to be listed as running to have settled.  Tasks that
   crash their executor do so within milliseconds of their start; a longer time
   keeps executors dedicated for longer.  */
#define GP_SUSPICION_SETTLE_TIME (GP_SEC)
/* A run that its executor outlived by more than this was not a recent start.
   The executor's answers show this in steps of 250 ms ...  */
#define GP_SUSPICION_FRESH_TIME (500 * GP_MSEC)
/* ... while a connection that closes with the executor shows it at once: ten
   times what a crashing task takes, as a VM may be busy, and little else
   starts in that time.  */
#define GP_SUSPICION_JUST_TIME (100 * GP_MSEC)
/* Added for gangs, whose members are listed while they wait for each other for
   up to 3 s.  */
#define GP_SUSPICION_GANG_SETTLE_TIME (3 * GP_SEC)

/* A run that was assigned longer ago than this is not a recent start: its
   order is answered within milliseconds, or repeated after 300 ms.  */
#define GP_SUSPICION_START_WINDOW (GP_SUSPICION_FRESH_TIME + 100 * GP_MSEC)
/* How long an executor is dedicated ahead of an isolated start: until
   everything on it has started, and until the next placement pass.  */
#define GP_SUSPICION_DEDICATE_AHEAD_TIME                                      \
  (GP_SUSPICION_START_WINDOW + 250 * GP_MSEC)
/* How long a task waits for an isolated start.  Long-running ones have to run
   again within 6 s; the others are late already.  */
#define GP_SUSPICION_ISOLATION_TIMEOUT_LONG_RUNNING (3 * GP_SEC)
#define GP_SUSPICION_ISOLATION_TIMEOUT (10 * GP_SEC)
/* The limit for members of a gang with evidence against them.  */
#define GP_SUSPICION_ISOLATION_TIMEOUT_GANG (60 * GP_SEC)
/* At most one in so many of all executors is dedicated, but always at least
   one is allowed.  */
#define GP_SUSPICION_DEDICATED_SHARE 4
/* At most one in so many is dedicated where suspects start in groups: most of
   the work that waits is theirs then.  */
#define GP_SUSPICION_GROUP_SHARE 2
/* A task with more crashes than this starts in isolation, never in a group:
   with its first start and two isolated ones, users allow two in groups.  Each
   start after the first adds evidence.  */
#define GP_SUSPICION_GROUP_CRASHES 2
/* A task with evidence against it, from a group that crashed, is started in
   another one only before it has had this many starts.  */
#define GP_SUSPICION_GROUP_STARTS 3
/* Limit on the dedication of an executor for one start: three unanswered
   orders, plus the time to settle.  A run that cannot be started must not
   block its executor.  */
#define GP_SUSPICION_DEDICATE_TIME (2 * GP_SEC)

/* What the loss of a run with its executor means for its task.  */
typedef enum
{
  GP_SUSPICION_NONE, /* not suspect */
  GP_SUSPICION_COUNTED,
  GP_SUSPICION_GIVE_UP /* the task is to be given up */
} gp_suspicion_t;

/* Returns how long a run has to run to have settled.  GANG: the task is
   a member of a gang.  */
gp_time_t gp_suspicion_settle_time (bool gang);

/* The run of TASK has settled or ended as done.  Clears what was counted
   against TASK and returns whether that changed, in which case the job's
   progress has to be written.  */
bool gp_suspicion_clear (gp_job_task_t *task);

/* Returns whether the run of TASK may have just started when its executor
   died, according to the guard's report.  */
bool gp_suspicion_may_have_just_started (const gp_job_task_t *task);

/* Returns whether the run of TASK may have just started when its executor was
   lost: according to the guard's report or, if there is none, by what this
   process knows.  */
bool gp_suspicion_may_be_cause (const gp_job_task_t *task);

/* EXECUTOR died without reporting the end of its runs.  Returns the job of all
   runs on it that may have just started according to the guard's report, or
   NULL if there are none or they belong to several jobs.  */
const gp_job_t *gp_suspicion_sole_job (const gp_job_executor_t *executor);

/* TASK's executor died without reporting the end of its runs.  TASK is still
   on it, and SOLE_JOB is the result of gp_suspicion_sole_job.  */
gp_suspicion_t gp_suspicion_crashed (gp_job_task_t *task,
                                     const gp_job_t *sole_job);

/* The same for an executor that was lost as LOSS says and whose guard reported
   nothing.  If others were lost as well, an isolated start of a run that may
   be the cause counts, or the second such loss in a row of any other; the
   first one counts once a guard reports that the next run may have crashed its
   executor.  However often VMs fall silent under a task, that is one crash,
   unless it was started in isolation.  An outage counts against nobody.  */
gp_suspicion_t gp_suspicion_lost (gp_job_task_t *task, gp_loss_t loss,
                                  const gp_job_t *sole_job, gp_time_t now);

/* Discards what a guard has reported about the run of TASK as a suspect.  */
void gp_suspicion_discard_report (gp_job_task_t *task);

/* Discards everything known about the run of TASK.  */
void gp_suspicion_reset_run (gp_job_task_t *task);

/* TASK is waiting and will be assigned as soon as there is a place for it.
   Starts its isolation timeout.  */
void gp_suspicion_begin_wait (gp_job_task_t *task, gp_time_t now);

/* Returns whether there is evidence against TASK, or it has so many crashes
   that only an isolated start can be conclusive.  */
bool gp_suspicion_is_strong (const gp_job_task_t *task);

/* Returns whether TASK has to be started in isolation.  */
bool gp_suspicion_needs_isolation (const gp_job_task_t *task, gp_time_t now);

/* Return whether EXECUTOR is dedicated to one job with suspects, and to
   JOB.  */
bool gp_suspicion_is_dedicated (const gp_job_executor_t *executor,
                                gp_time_t now);
bool gp_suspicion_is_dedicated_to (const gp_job_executor_t *executor,
                                   const gp_job_t *job, gp_time_t now);

/* Returns whether EXECUTOR's dedication, if any, allows TASK on it.  */
bool gp_suspicion_allows (const gp_job_executor_t *executor,
                          const gp_job_task_t *task, gp_time_t now);

/* Returns whether TASK, if allowed on EXECUTOR, would be isolated if it were
   assigned now.  */
bool gp_suspicion_has_no_recent_starts (const gp_job_executor_t *executor,
                                        gp_time_t now);

/* Restores from a record that TASK is on its executor; ISOLATED: it was
   started in isolation; IN_GROUP: it was started in a group.  */
void gp_suspicion_restore (gp_job_task_t *task, bool isolated, bool in_group);

/* Dedicates EXECUTOR to TASK, which is to be started there once all other runs
   there have certainly started.  */
void gp_suspicion_dedicate (gp_job_executor_t *executor,
                            const gp_job_task_t *task, gp_time_t now);

/* Dedicates EXECUTOR, to which a task of JOB is assigned, to JOB until UNTIL
   or later.  */
void gp_suspicion_dedicate_until (gp_job_executor_t *executor,
                                  const gp_job_t *job, gp_time_t until);

/* Nothing could be assigned from DECIDED_AT to NOW: extends TASK's isolation
   timeout by that time if TASK is waiting.  */
void gp_suspicion_extend_wait (gp_job_task_t *task, gp_time_t decided_at,
                               gp_time_t now);

/* Returns the cost of losing EXECUTOR now: milliseconds of work on all its
   processors.  */
int64_t gp_suspicion_work_at_risk (const gp_job_executor_t *executor,
                                   gp_time_t now);

/* TASK has been newly assigned to its executor.  */
void gp_suspicion_note_assigned (gp_job_task_t *task, gp_time_t now);

/* Returns whether TASK may be started beside suspects of other jobs.  */
bool gp_suspicion_may_start_in_group (const gp_job_task_t *task);

/* Returns whether EXECUTOR is dedicated to a group of suspects.  */
bool gp_suspicion_is_dedicated_to_group (const gp_job_executor_t *executor,
                                         gp_time_t now);

/* Dedicates EXECUTOR, unless it is dedicated, to a group of suspects that have
   as many crashes as TASK.  */
void gp_suspicion_dedicate_to_group (gp_job_executor_t *executor,
                                     const gp_job_task_t *task, gp_time_t now);

/* EXECUTOR's guard reports that an isolated run has not settled there and that
   other runs are held back until it does; the leader had better assign those
   elsewhere.  */
void gp_suspicion_extend_dedication (gp_job_executor_t *executor,
                                     gp_time_t now);

/* What was assigned to EXECUTOR at DECIDED_AT or later is ordered only NOW,
   because its record could not be written earlier.  The runs start now, and
   dedications are extended accordingly.  */
void gp_suspicion_orders_delayed (gp_job_executor_t *executor,
                                  gp_time_t decided_at, gp_time_t now);

#endif

/* Functions shared by the source files of the scheduler.  */

#ifndef GP_JOBS_SCHEDULER_PRIVATE_H
#define GP_JOBS_SCHEDULER_PRIVATE_H

#include "jobs/scheduler.h"

/* Marks the progress of JOB as changed; it has to be written.  */
void gp_scheduler_mark_dirty (gp_scheduler_t *scheduler, gp_job_t *job);

/* Sets the final STATE of JOB and stops its runs.  */
void gp_scheduler_end_job (gp_scheduler_t *scheduler, gp_job_t *job,
                           gp_job_state_t state, int64_t wall_ms);

/* The run of TASK, which was released, never began, is lost or has ended
   before it was done.  If TASK is a member of a gang, stops the run of the
   others: it cannot become complete any more, and those that have not begun
   yet would wait for TASK until they time out.  */
void gp_scheduler_stop_gang (gp_scheduler_t *scheduler,
                             const gp_job_task_t *task);

/* The run of TASK has ended or never began: takes TASK off its executor.  It
   waits again unless it is done.  */
void gp_scheduler_release (gp_scheduler_t *scheduler, gp_job_task_t *task);

/* TASK was assigned: records how long its run is expected to take.  This is
   done now, as what is learned while the run is at work must not change it. */
void gp_scheduler_expect_run (const gp_scheduler_t *scheduler,
                              gp_job_task_t *task);
/* TASK was done on EXECUTOR by a run whose duration is known.  */
void gp_scheduler_measure_run (const gp_scheduler_t *scheduler,
                               gp_job_executor_t *executor,
                               const gp_job_task_t *task, gp_time_t now);
/* Compares the executors' speeds with each other, if that is due.  */
void gp_scheduler_compare_speeds (gp_scheduler_t *scheduler, gp_time_t now);
/* Discards what the executors of each service have in common.  */
void gp_scheduler_reset_speeds (gp_scheduler_t *scheduler);
/* Registers the counter of slow executors.  */
void gp_scheduler_register_speed (void);

/* EXECUTOR has failed, and its guard has reported what had just begun there:
   counts the failure for the quarantine of queues, unless others failed
   TOGETHER with it.  KNOWN: it was reported to be down before; DIED: it is
   known to be dead.  */
void gp_scheduler_count_failure (gp_scheduler_t *scheduler,
                                 gp_job_executor_t *executor, bool known,
                                 bool died, bool together, gp_time_t now);
/* EXECUTOR's failure, if it was counted, does not count any longer.  */
void gp_scheduler_withdraw_failure (gp_scheduler_t *scheduler,
                                    gp_job_executor_t *executor,
                                    gp_time_t now);
/* Registers the counters of dead executors and lost runs.  */
void gp_scheduler_register_losses (void);
/* A start of JOB was refused.  If nothing shows that a run of it has begun,
   JOB is queued again until one is known to have.  */
void gp_scheduler_await_begin (gp_scheduler_t *scheduler, gp_job_t *job);
/* A run of JOB is known to have begun.  */
void gp_scheduler_note_begun (gp_scheduler_t *scheduler, gp_job_t *job);
/* Registers the counter of stray runs.  */
void gp_scheduler_register_reports (void);

#endif

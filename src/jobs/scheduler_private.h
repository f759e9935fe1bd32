/* What the files of the scheduler share.  */

#ifndef GP_JOBS_SCHEDULER_PRIVATE_H
#define GP_JOBS_SCHEDULER_PRIVATE_H

#include "jobs/scheduler.h"

/* The progress of JOB has changed, and is to be written.  */
void gp_scheduler_mark_dirty (gp_scheduler_t *scheduler, gp_job_t *job);

/* JOB has come to STATE; what runs of it is stopped.  */
void gp_scheduler_end_job (gp_scheduler_t *scheduler, gp_job_t *job,
                           gp_job_state_t state, int64_t wall_ms);

/* Take TASK off its executor; it waits again.  */
void gp_scheduler_release (gp_scheduler_t *scheduler, gp_job_task_t *task);

/* The counters of executors that have died, and of what went with them.  */
void gp_scheduler_register_losses (void);

#endif

/* What work waits for that finds no place.

   A step of which a task finds no place is looked at each second: what keeps
   the task from the executor that is nearest to taking it is told when that
   changes.  One that waits for longer than three seconds with most of its
   service's room free, and not for want of room, is counted by its cause: that
   is never to be.  Where its job has a run, which may be one of many tasks
   that wait for room, only such a cause is told.

   Pure but for its lines and counters.  */

#ifndef GP_JOBS_PLACER_WAITS_H
#define GP_JOBS_PLACER_WAITS_H

#include "jobs/placer_private.h"

const char *gp_wait_cause_name (gp_wait_cause_t cause);

/* What keeps TASK, whose turn has come, from a place.  */
gp_wait_cause_t gp_placer_wait_cause (const gp_placer_pass_t *pass,
                                      const gp_job_task_t *task);

/* PASS has found no place for TASK.  */
void gp_placer_found_none (const gp_placer_pass_t *pass,
                           const gp_job_task_t *task);

/* No executor takes work: there is no place for any task whose turn has come.
 */
void gp_placer_look_at_all (const gp_placer_pass_t *pass, int64_t wall_ms);

/* A task like TASK, of its step, has found a place.  */
void gp_placer_found_place (const gp_job_task_t *task);

#endif

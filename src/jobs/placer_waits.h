/* Diagnoses why tasks wait for a place.

   A step with a task that finds no place is examined once per second.  What
   keeps the task from the executor that is closest to being able to take it is
   logged when it changes.  A step that waits for longer than three seconds
   while there is capacity to spare, for another reason than lack of it, is
   counted under that reason and logged: this should never happen.  Capacity to
   spare is most of the service's, for a long-running step an executor with
   capacity for one of its tasks twice over.  If the
   job has a run, it may be one of many tasks that wait for capacity, so only
   reasons of that kind are logged.

   Pure but for its log lines and counters.  */

#ifndef GP_JOBS_PLACER_WAITS_H
#define GP_JOBS_PLACER_WAITS_H

#include "jobs/placer_private.h"

const char *gp_wait_cause_name (gp_wait_cause_t cause);

/* Returns what keeps TASK, which is ready to run, from being placed.  */
gp_wait_cause_t gp_placer_wait_cause (const gp_placer_pass_t *pass,
                                      const gp_job_task_t *task);

/* PASS has found no place for TASK.  */
void gp_placer_note_unplaced (const gp_placer_pass_t *pass,
                              const gp_job_task_t *task);

/* No executor takes work: records that no task which is ready to run has found
   a place.  */
void gp_placer_note_all_unplaced (const gp_placer_pass_t *pass,
                                  int64_t wall_ms);

/* A task of the same step as TASK, or TASK itself, has been placed.  */
void gp_placer_clear_wait (const gp_job_task_t *task);

#endif

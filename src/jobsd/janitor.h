/* Deletion of the records of jobs that ended long ago.

   The end of a job is reported to callers for the time that the platform sets.
   After that its records are deleted in two steps: the submission after 1.5
   times that time, the progress after twice.  So a reader that loads the two
   topics one after the other never sees a submission without the progress
   record which says that the job has ended.  The progress is deleted only once
   the deletion of the submission was acknowledged: a submission that is left
   alone is a new job to a process that starts later.  */

#ifndef GP_JOBSD_JANITOR_H
#define GP_JOBSD_JANITOR_H

#include "jobsd/leader.h"

typedef struct
{
  gp_loop_t *loop;
  gp_platform_store_t *store;
  gp_book_t *book;
  gp_leader_t *leader;
  int64_t retention_ms; /* time for which a job's end is reported to callers */
  gp_timer_t timer;
  GPtrArray *dropping; /* ids, owned, of the jobs whose submissions the append
                          in flight deletes; empty: there is none */
} gp_janitor_t;

void gp_janitor_init (gp_janitor_t *janitor, gp_loop_t *loop,
                      gp_platform_store_t *store, gp_book_t *book,
                      gp_leader_t *leader, gp_time_t keep);
void gp_janitor_finish (gp_janitor_t *janitor);

#endif

/* Deletion of the records of jobs that ended long ago.

   The end of a job is reported to callers for the time that the platform sets.
   After that its records are deleted in two steps: the submission after 1.5
   times that time, the progress after twice.  So a reader that loads the two
   topics one after the other never sees a submission without the progress
   record which says that the job has ended.  */

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
  bool dropping; /* an append that deletes submissions is in flight */
} gp_janitor_t;

void gp_janitor_init (gp_janitor_t *janitor, gp_loop_t *loop,
                      gp_platform_store_t *store, gp_book_t *book,
                      gp_leader_t *leader, gp_time_t keep);
void gp_janitor_finish (gp_janitor_t *janitor);

#endif

/* Dropping the records of jobs that ended long ago.

   A job's end is told for the platform's time; after that its records go,
   in two steps, so that no reader that loads the two topics one after the
   other meets a submission without the progress that says it has ended: the
   submission goes after 1.5 times that time, the progress after twice.  */

#ifndef GP_JOBSD_JANITOR_H
#define GP_JOBSD_JANITOR_H

#include "jobsd/leader.h"

typedef struct
{
  gp_loop_t *loop;
  gp_platform_store_t *store;
  gp_book_t *book;
  gp_leader_t *leader;
  int64_t keep_ms; /* for which a job's end is told */
  gp_timer_t timer;
  bool dropping; /* submissions are being dropped */
} gp_janitor_t;

void gp_janitor_init (gp_janitor_t *janitor, gp_loop_t *loop,
                      gp_platform_store_t *store, gp_book_t *book,
                      gp_leader_t *leader, gp_time_t keep);
void gp_janitor_finish (gp_janitor_t *janitor);

#endif

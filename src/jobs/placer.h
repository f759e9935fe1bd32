/* Placement: which waiting task goes to which executor now.

   Jobs are taken by priority.  Within one, those that can still meet the
   objective that their estimates give come first, by that objective; then
   those that are late, the shortest first; then those whose time is past, in
   which an overload ends instead of making all jobs late.  A task that serves
   or works goes where most processors are left; a task that fills goes where
   the most is left over by the others and where it is expected to harm those
   that serve least (jobs/pressure.h).  */

#ifndef GP_JOBS_PLACER_H
#define GP_JOBS_PLACER_H

#include "jobs/book.h"
#include "jobs/pressure.h"

/* Is there another executor where the filling TASK fits and would do next to
   no harm?  */
bool gp_placer_has_better (gp_book_t *book, gp_pressure_t *pressure,
                           const gp_job_task_t *task, gp_time_t now);

/* Assign waiting tasks of BOOK, add each to PLACED and return when time
   alone may allow more (a due time or the end of a pause).  */
gp_time_t gp_placer_assign (gp_book_t *book, gp_pressure_t *pressure,
                            gp_time_t now, int64_t wall_ms, GPtrArray *placed);

#endif

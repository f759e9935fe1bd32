/* Placement: which waiting task goes to which executor now.

   Jobs are taken by urgency (jobs/urgency.h).  A regular task goes where most
   processors are free.  A filling task goes where the others leave most
   processors unused and where it is expected to interfere least with serving
   runs (jobs/pressure.h).  */

#ifndef GP_JOBS_PLACER_H
#define GP_JOBS_PLACER_H

#include "jobs/book.h"
#include "jobs/forecast.h"
#include "jobs/pressure.h"
#include "jobs/quarantine.h"

/* Returns whether there is another executor that takes the filling TASK, where
   it fits and would hardly interfere with serving runs.  */
bool gp_placer_has_better_place (gp_book_t *book, gp_pressure_t *pressure,
                                 gp_quarantine_t *quarantine,
                                 const gp_job_task_t *task, gp_time_t now);

/* Register the counters of waiting work, see jobs/placer_waits.h, and of
   suspects that are started in groups.  */
void gp_placer_register_waits (void);
void gp_placer_register_groups (void);

/* Assigns waiting tasks of BOOK, adds each to PLACED and returns the time at
   which more may become possible by the passage of time alone (a due time or
   the end of a pause).  */
gp_time_t gp_placer_assign (gp_book_t *book, gp_pressure_t *pressure,
                            const gp_forecast_t *forecast,
                            gp_quarantine_t *quarantine, gp_time_t now,
                            int64_t wall_ms, GPtrArray *placed);

#endif

/* Job statistics computed from the logs of all entries and guards: how many of
   the submitted jobs were completed in time, and why the others were not.

   A job that was late, failed or is still in progress is attributed to the one
   cause that took most of its time: it had no active run, as no executor had
   the resources; its runs were lost or failed and had to be repeated; or its
   runs were executing.

   Performs no I/O.  */

#ifndef GP_CLI_LOSSES_H
#define GP_CLI_LOSSES_H

#include <glib.h>
#include <jansson.h>

#include "base/time.h"

/* LINES are gp_log_line_t ordered by time.  Returns a JSON object, owned by
   the caller, with the tables
   "queues": jobs by queue;
   "answers": answers other than 200, by status and reason;
   "runs": runs by queue and how they ended;
   "moments": jobs by submission time, in intervals of EVERY;
   "executors": executors that may have crashed because of a run, with the
   suspected jobs;
   "restarts": executors that restarted under the same id.  */
json_t *gp_losses_compute (const GArray *lines, gp_time_t every);

#endif

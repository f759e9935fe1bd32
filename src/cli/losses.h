/* What became of the jobs that callers handed in, by the logs of all entries
   and guards: how many were in time, and where the others lost their time.

   A job that is late, has failed or still goes on lost most of its time in one
   of three ways: it had no run, as there was no room; its runs had to be made
   again; or it was at work.

   Pure.  */

#ifndef GP_CLI_LOSSES_H
#define GP_CLI_LOSSES_H

#include <glib.h>
#include <jansson.h>

#include "base/time.h"

/* LINES are gp_log_line_t by time.  A JSON object of the caller's with the
   tables "queues"; "answers": those other than success, by why; "runs": by how
   they ended; "moments": by when jobs were handed in, in steps of EVERY;
   "executors": those that runs there may have taken down, with these jobs;
   "restarts": those that have started again under their id.  */
json_t *gp_losses_of (const GArray *lines, gp_time_t every);

#endif

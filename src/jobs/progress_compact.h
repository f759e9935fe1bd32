/* Progress of jobs in few bytes.

   A record of progress replaces the one before with each change of the job,
   and all entries read it: 43 KB a second for 100 starts a second with one
   message for each run (346 bytes a record, 15 runs and 32 done tasks in the
   mean).  In the compact form tasks that are done are ranges, and runs that
   are at work columns of numbers: the executor's id is a prefix, which most
   of a record's executors share, and hexadecimal digits.  What doesn't fit
   stays a message of its own, and so does all in a record that was written
   without columns.

   Pure.  */

#ifndef GP_JOBS_PROGRESS_COMPACT_H
#define GP_JOBS_PROGRESS_COMPACT_H

#include <glib.h>
#include <stdbool.h>

#include "jobs.pb-c.h"

/* PROGRESS as bytes, in the compact form; tasks come in the order of their
   index.  */
GBytes *gp_progress_pack (const Gp__Jobs__Progress *progress);

/* Bring PROGRESS, as it was unpacked, into the form with one message for each
   run.  False and ERROR, with the field, when that is not possible; PROGRESS
   is then as it was.  */
bool gp_progress_expand (Gp__Jobs__Progress *progress, GError **error);

#endif

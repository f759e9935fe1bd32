/* Compact encoding of the progress of jobs.

   A progress record replaces the previous one with each change of the job, and
   all entries read it.  With one message for each run that took 43 KB/s at 100
   starts per second (346 bytes per record, with 15 runs and 32 done tasks on
   average).  In the compact form, done tasks are ranges and running tasks are
   columns of numbers; an executor's id is split into a prefix, which most
   executors in a record share, and hexadecimal digits.  Tasks that do not fit
   remain separate messages, and so does everything in a record that was
   written without columns.

   Where most tasks are separate messages, the names of their executors make up
   most of the record.  If it would be too large for the log, it has each name
   once, and the tasks refer to it.

   Pure.  */

#ifndef GP_JOBS_PROGRESS_COMPACT_H
#define GP_JOBS_PROGRESS_COMPACT_H

#include <glib.h>
#include <stdbool.h>

#include "jobs.pb-c.h"

/* Returns PROGRESS as bytes in the compact form.  Its tasks have to be ordered
   by index.  */
GBytes *gp_progress_pack (const Gp__Jobs__Progress *progress);

/* Makes the tasks of PROGRESS refer to their executors by index.  The name of
   each is added to NAMES, which is empty and has to exist, as the strings
   have, as long as PROGRESS is used.  */
void gp_progress_share_executors (Gp__Jobs__Progress *progress,
                                  GPtrArray *names);

/* Converts the unpacked PROGRESS to the form with one message for each run.
   Returns false and sets ERROR, naming the field, if that is not possible;
   PROGRESS is unchanged then.  */
bool gp_progress_expand (Gp__Jobs__Progress *progress, GError **error);

#endif

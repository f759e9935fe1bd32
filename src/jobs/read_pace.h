/* How often an entry reads each topic of the log.

   The leader and the standbys (jobs/standbys.h) read closely.  Any other entry
   reads at longer intervals, and at once when a caller asks for something that
   may have changed since (jobsd/fresh_reads.h), so that its answers are no
   older than the question, and its reads grow with its own callers and not
   with the changes of the whole site.

   Entries that start, or lose the store, at the same moment must not read in
   step from then on: intervals vary at random, and those between retries grow.

   Pure: random numbers are passed in.  */

#ifndef GP_JOBS_READ_PACE_H
#define GP_JOBS_READ_PACE_H

#include <stdbool.h>

#include "base/time.h"

/* Who reads.  */
typedef enum
{
  GP_READER_LEADER,
  GP_READER_STANDBY,
  GP_READER_OTHER
} gp_reader_t;

/* What a topic contains.  */
typedef enum
{
  GP_READ_DOCUMENTS,
  GP_READ_JOBS,
  GP_READ_PROGRESS,
  GP_READ_NODES
} gp_read_subject_t;

/* All values are durations.  */
typedef struct
{
  gp_time_t spacing;   /* from the sending of a read to that of the next */
  gp_time_t poll_time; /* how long a read waits for new records */
  gp_time_t retry_max; /* upper limit of the delay after a failed read */
  bool varies;         /* spacing and delays vary at random */
  bool verifies_polls; /* a poll that ends without records, or does not end in
                          time, is followed by a read that does not wait: the
                          store may have failed to wake it */
} gp_read_pace_t;

/* Returns the pace of READER for the topic of SUBJECT.  */
gp_read_pace_t gp_read_pace_of (gp_reader_t reader, gp_read_subject_t subject);

/* Returns the earliest time of the read after one that was sent at SENT_AT.
   RANDOM is in [0, 1).  */
gp_time_t gp_read_pace_next (const gp_read_pace_t *pace, gp_time_t sent_at,
                             double random);

/* Returns the time of the next attempt after FAILURES (1 or more) consecutive
   failed reads, the last at NOW.  RANDOM is in [0, 1).  */
gp_time_t gp_read_pace_retry (const gp_read_pace_t *pace, unsigned failures,
                              gp_time_t now, double random);

#endif

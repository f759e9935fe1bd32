/* How often an entry reads each topic of the log.  */

#include "jobs/read_pace.h"

#include <glib.h>

/* An idle topic is confirmed to be current once in this time.  */
#define POLL_TIME (GP_SEC)
/* The leader's polls for submissions.  While the store changes its history it
   does not wake polls, and runs then start later by at most this.  */
#define LEADER_JOBS_POLL_TIME (250 * GP_MSEC)
/* Standbys.  The end of a job is reported later by up to the first.
   Submissions are needed only for requests about jobs that another entry has
   accepted, and for taking over leadership.  */
#define STANDBY_PROGRESS_SPACING (100 * GP_MSEC)
#define STANDBY_JOBS_SPACING (800 * GP_MSEC)
/* Delay after the first failed read, which limits how soon the end of an
   outage is detected.  */
#define RETRY_DELAY (150 * GP_MSEC)
/* Entries that are neither the leader nor standbys.  Their interval for jobs
   and progress is below the time for which the log keeps records, and short
   enough to notice that all standbys are gone.  */
#define OTHER_SPACING (2 * GP_SEC)
/* A poll whose answer is lost ends only after this time, which delays the next
   document.  Of nodes, such an entry only needs the addresses of relays.  */
#define OTHER_DOCUMENTS_POLL_TIME (2 * GP_SEC)
#define OTHER_NODES_POLL_TIME (4 * GP_SEC)
#define OTHER_RETRY_MAX (8 * RETRY_DELAY)
/* Part of an interval by which it varies.  */
#define VARIATION 0.25

static gp_read_pace_t
other_pace (gp_read_subject_t subject)
{
  gp_read_pace_t pace = { .retry_max = OTHER_RETRY_MAX, .varies = true };

  switch (subject)
    {
    case GP_READ_DOCUMENTS:
      pace.poll_time = OTHER_DOCUMENTS_POLL_TIME;
      break;
    case GP_READ_NODES:
      /* All processes of a site that starts announce themselves one after the
         other, and each entry would read each of these records by itself.  */
      pace.spacing = OTHER_SPACING;
      pace.poll_time = OTHER_NODES_POLL_TIME;
      break;
    case GP_READ_JOBS:
    case GP_READ_PROGRESS:
      pace.spacing = OTHER_SPACING;
      break;
    }
  return pace;
}

gp_read_pace_t
gp_read_pace_of (gp_reader_t reader, gp_read_subject_t subject)
{
  gp_read_pace_t pace = { .poll_time = POLL_TIME, .retry_max = RETRY_DELAY };

  switch (reader)
    {
    case GP_READER_LEADER:
      if (subject == GP_READ_JOBS)
        {
          pace.poll_time = LEADER_JOBS_POLL_TIME;
          pace.verifies_polls = true;
        }
      break;
    case GP_READER_STANDBY:
      /* Reads in batches, as each read has a cost.  */
      if (subject == GP_READ_PROGRESS)
        pace.spacing = STANDBY_PROGRESS_SPACING;
      else if (subject == GP_READ_JOBS)
        pace.spacing = STANDBY_JOBS_SPACING;
      break;
    case GP_READER_OTHER:
      return other_pace (subject);
    }
  return pace;
}

/* Returns DURATION, varied at random.  */
static gp_time_t
vary (gp_time_t duration, double random)
{
  return (gp_time_t)((double)duration
                     * (1.0 + VARIATION * (2.0 * random - 1.0)));
}

gp_time_t
gp_read_pace_next (const gp_read_pace_t *pace, gp_time_t sent_at,
                   double random)
{
  return sent_at
         + (pace->varies ? vary (pace->spacing, random) : pace->spacing);
}

gp_time_t
gp_read_pace_retry (const gp_read_pace_t *pace, unsigned failures,
                    gp_time_t now, double random)
{
  gp_time_t delay = RETRY_DELAY;

  for (unsigned i = 1; i < failures && delay < pace->retry_max; i++)
    delay *= 2;
  delay = MIN (delay, pace->retry_max);
  return now + (pace->varies ? vary (delay, random) : delay);
}

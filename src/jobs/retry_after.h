/* When a refused caller should try again.

   Pure: the state of the store and of the caller in, whole seconds out.

   A store that has not answered for some time is expected to stay unavailable
   for about as long again: earlier attempts are useless, and in an outage of
   minutes callers need not retry every second.  But a caller that would give
   up before then must be able to make another attempt in time.  And after an
   outage the callers must not all retry at once, so that each delay is
   extended by an amount that depends on the request.

   If the backlog of appends is measured, a caller returns once what waits now
   has been appended, but within twice that time.  */

#ifndef GP_JOBS_RETRY_AFTER_H
#define GP_JOBS_RETRY_AFTER_H

#include <stdint.h>

#include "base/time.h"

typedef struct
{
  gp_time_t store_outage; /* for how long the store has not answered, a
                             duration; 0: it answers, and only this process is
                             not ready */
  gp_time_t store_time;   /* how long the store takes to answer, a duration */
  gp_time_t backlog;      /* expected time until what waits now is appended, a
                             duration; 0: not measured */
  gp_time_t timeout; /* for how long the caller waits in all, a duration */
  uint32_t jitter;   /* any number that differs between requests */
} gp_retry_after_t;

/* Returns the delay in seconds, at least 1.  */
unsigned gp_retry_after_s (const gp_retry_after_t *refusal);

#endif

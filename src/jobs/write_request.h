/* Timeouts of write requests: of a submission or cancellation that waits for
   the store.

   Pure.

   While the store fails, a caller that can try again within its timeout is
   soon refused: by then this entry may have found another route to the store,
   or another entry has one.  A caller that cannot try again depends on this
   request: the request waits for part of its timeout, as the store may recover
   at any time, but it is refused early enough to try another entry at once.  A
   write that the store could not complete before the answer is due is refused
   rather than begun, as its outcome would be unknown.  */

#ifndef GP_JOBS_WRITE_REQUEST_H
#define GP_JOBS_WRITE_REQUEST_H

#include <stdbool.h>

#include "base/time.h"

/* Returns when the answer is due to a caller whose request arrives at NOW and
   that waits for TIMEOUT, a duration.  */
gp_time_t gp_write_request_deadline (gp_time_t now, gp_time_t timeout);

/* Returns when that caller is refused at the latest, unless a record for it
   has been begun.  */
gp_time_t gp_write_request_refuse_at (gp_time_t now, gp_time_t timeout);

/* Returns whether a caller whose remaining timeout is TIMEOUT can try again if
   it is refused.  */
bool gp_write_request_can_retry (gp_time_t timeout);

/* Returns whether a record that takes STORE_TIME, a duration, to write may be
   begun at NOW, if the answer to its caller is due at DEADLINE.  */
bool gp_write_request_is_in_time (gp_time_t deadline, gp_time_t store_time,
                                  gp_time_t now);

#endif

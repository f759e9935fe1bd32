/* How long a hand-in (a submission or cancellation) waits for the store.

   Pure.

   While the store fails, a caller that can come again within its patience is
   told soon to do so: by then this entry may have found another way to the
   store, or another entry has one.  One that can't has hardly another chance
   than this one: it waits for a part of its time, as the store may be back any
   moment, but not so long that it could not try another entry at once.  What
   the store could not write down before the answer has to leave is refused
   rather than begun, as its fate would be left open.  */

#ifndef GP_JOBS_HAND_IN_H
#define GP_JOBS_HAND_IN_H

#include <stdbool.h>

#include "base/time.h"

/* When the answer to a caller that comes NOW, and waits for PATIENCE (a
   duration), has to leave.  */
gp_time_t gp_hand_in_deadline (gp_time_t now, gp_time_t patience);

/* When that caller is refused at the latest, unless a record for it has been
   begun.  */
gp_time_t gp_hand_in_refuse_at (gp_time_t now, gp_time_t patience);

/* Can a caller with so much PATIENCE left come again, if it is refused?  */
bool gp_hand_in_may_return (gp_time_t patience);

/* May a record be begun NOW that takes STORE_TIME (a duration), for a caller
   whose answer has to leave at DEADLINE?  */
bool gp_hand_in_is_in_time (gp_time_t deadline, gp_time_t store_time,
                            gp_time_t now);

#endif

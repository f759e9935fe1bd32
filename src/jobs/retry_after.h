/* When a caller that was refused is to come back.

   Pure: what is known of the store and of the caller in, whole seconds out.

   A store that has not answered for a while is expected to stay away for about
   as long again: calls that come sooner are in vain, and in an outage of
   minutes nobody has to be asked each second.  But a caller that would give up
   before then must have another try within its time, and after the end of an
   outage not all are to come at once: each waits for a share of the time that
   follows from its request.  */

#ifndef GP_JOBS_RETRY_AFTER_H
#define GP_JOBS_RETRY_AFTER_H

#include <stdint.h>

#include "base/time.h"

typedef struct
{
  gp_time_t store_away; /* a duration: the store has not answered for so long;
                           0: it has, and this process only is not ready */
  gp_time_t store_time; /* a duration: what its answers take */
  gp_time_t patience;   /* a duration: the caller waits for so long in all */
  uint32_t spread;      /* any number that differs from request to request */
} gp_retry_after_t;

/* At least 1.  */
unsigned gp_retry_after_s (const gp_retry_after_t *refusal);

#endif

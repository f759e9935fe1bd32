/* Timeouts of write requests.  */

#include "jobs/write_request.h"

#include <glib.h>

/* How long before the caller's timeout the answer is sent, to allow for the
   time that it travels and for a busy event loop; at most one MARGIN_SHAREth
   of the timeout.  */
#define ANSWER_MARGIN (300 * GP_MSEC)
#define MARGIN_SHARE 3
/* Least remaining timeout with which a refused caller can try again: the
   shortest delay that it can be sent, and some time for the next attempt.  */
#define MIN_RETRY_TIMEOUT (1300 * GP_MSEC)
/* Share of the timeout, in thousandths, for which the last attempt of a caller
   waits.  */
#define LAST_TRY_PERMILLE 450

gp_time_t
gp_write_request_deadline (gp_time_t now, gp_time_t timeout)
{
  return now + timeout - MIN (ANSWER_MARGIN, timeout / MARGIN_SHARE);
}

gp_time_t
gp_write_request_refuse_at (gp_time_t now, gp_time_t timeout)
{
  if (gp_write_request_can_retry (timeout))
    return gp_write_request_deadline (now, timeout);
  return now + timeout * LAST_TRY_PERMILLE / 1000;
}

bool
gp_write_request_can_retry (gp_time_t timeout)
{
  return timeout >= MIN_RETRY_TIMEOUT;
}

bool
gp_write_request_is_in_time (gp_time_t deadline, gp_time_t store_time,
                             gp_time_t now)
{
  return now + store_time <= deadline;
}

/* How long a hand-in waits for the store.  */

#include "jobs/hand_in.h"

#include <glib.h>

/* The answer leaves so long before the caller's patience ends, for the way
   back and a busy loop; but not before this share of the patience is over.  */
#define ANSWER_MARGIN (300 * GP_MSEC)
#define MARGIN_SHARE 3
/* A refused caller is back after this: the least that it can be told to wait,
   and some time between its tries.  */
#define RETURN_TIME (1300 * GP_MSEC)
/* A last try waits for this share of the caller's patience.  */
#define LAST_TRY_PERMILLE 450

gp_time_t
gp_hand_in_deadline (gp_time_t now, gp_time_t patience)
{
  return now + patience - MIN (ANSWER_MARGIN, patience / MARGIN_SHARE);
}

gp_time_t
gp_hand_in_refuse_at (gp_time_t now, gp_time_t patience)
{
  if (gp_hand_in_may_return (patience))
    return gp_hand_in_deadline (now, patience);
  return now + patience * LAST_TRY_PERMILLE / 1000;
}

bool
gp_hand_in_may_return (gp_time_t patience)
{
  return patience >= RETURN_TIME;
}

bool
gp_hand_in_is_in_time (gp_time_t deadline, gp_time_t store_time, gp_time_t now)
{
  return now + store_time <= deadline;
}

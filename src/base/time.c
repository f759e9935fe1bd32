/* Reading of the clocks.  */

#include "base/time.h"

#include <time.h>

static int64_t
read_clock (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (int64_t)ts.tv_sec * GP_SEC + ts.tv_nsec / 1000;
}

gp_time_t
gp_time_now (void)
{
  return read_clock (CLOCK_BOOTTIME);
}

int64_t
gp_time_wall (void)
{
  return read_clock (CLOCK_REALTIME);
}

int64_t
gp_time_wall_ms (void)
{
  return gp_time_wall () / GP_MSEC;
}

/* Points in time.

   A gp_time_t is a point in microseconds on a monotonic clock that counts
   the time the machine is suspended.  Deadlines are stored as points, never
   as durations; durations appear only in settings and on the wire, where
   clocks differ, and are turned into points on arrival.  Decision logic
   takes NOW as an argument and never reads a clock.  */

#ifndef GP_BASE_TIME_H
#define GP_BASE_TIME_H

#include <stdint.h>

typedef int64_t gp_time_t;

#define GP_USEC ((gp_time_t)1)
#define GP_MSEC ((gp_time_t)1000)
#define GP_SEC ((gp_time_t)1000000)
#define GP_TIME_NEVER INT64_MAX

/* The present on CLOCK_BOOTTIME.  */
gp_time_t gp_time_now (void);

/* The present on CLOCK_REALTIME, microseconds since the epoch; only for
   people, incarnation numbers and hybrid logical clocks.  */
int64_t gp_time_wall (void);

/* The same in milliseconds, for records that other processes read: their
   clocks differ a little.  */
int64_t gp_time_wall_ms (void);

/* POINT + DURATION, kept at GP_TIME_NEVER when POINT is that.  */
static inline gp_time_t
gp_time_add (gp_time_t point, gp_time_t duration)
{
  return point == GP_TIME_NEVER ? GP_TIME_NEVER : point + duration;
}

#endif

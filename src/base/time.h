/* Points in time.

   A gp_time_t is a point in time in microseconds on a monotonic clock that
   includes the time during which the machine is suspended.  Deadlines are
   stored as points in time, never as durations.  Durations appear only in
   settings and on the wire, because clocks of processes differ; they are
   converted to points in time on arrival.  Decision logic takes NOW as an
   argument and never reads a clock.  */

#ifndef GP_BASE_TIME_H
#define GP_BASE_TIME_H

#include <stdint.h>

typedef int64_t gp_time_t;

#define GP_USEC ((gp_time_t)1)
#define GP_MSEC ((gp_time_t)1000)
#define GP_SEC ((gp_time_t)1000000)
#define GP_TIME_NEVER INT64_MAX

/* Return the time of CLOCK_BOOTTIME.  */
gp_time_t gp_time_now (void);

/* Return the time of CLOCK_REALTIME in microseconds since the epoch.  Only for
   output to people, incarnation numbers and hybrid logical clocks.  */
int64_t gp_time_wall (void);

/* Likewise in milliseconds, for records that other processes read; their
   clocks differ slightly.  */
int64_t gp_time_wall_ms (void);

/* Return POINT + DURATION, or GP_TIME_NEVER when POINT is GP_TIME_NEVER.  */
static inline gp_time_t
gp_time_add (gp_time_t point, gp_time_t duration)
{
  return point == GP_TIME_NEVER ? GP_TIME_NEVER : point + duration;
}

#endif

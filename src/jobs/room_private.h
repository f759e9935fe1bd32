/* Bounds and units shared by the source files of jobs/room.h.  */

#ifndef GP_JOBS_ROOM_PRIVATE_H
#define GP_JOBS_ROOM_PRIVATE_H

#include "jobs/room.h"

/* Upper bounds of the values in a record: capacity in thousandths of a core (a
   billion cores), and work in milliseconds of one core (a million cores for
   eleven days).  Sums of such values do not overflow an int64_t.  */
#define GP_ROOM_MILLI_MAX INT64_C (1000000000000)
#define GP_ROOM_WORK_MAX_MS INT64_C (1000000000000000)
/* Upper bound of forecast durations, so that sums of them are valid times.  */
#define GP_ROOM_DURATION_MAX ((gp_time_t)30 * 24 * 3600 * GP_SEC)
/* Thousandths of a core times microseconds in a millisecond of one core.  */
#define GP_ROOM_WORK_UNIT 1e6

/* Converts WORK, in thousandths of a core times a duration, to milliseconds of
   one core.  */
int64_t gp_room_work_ms (double work);

#endif

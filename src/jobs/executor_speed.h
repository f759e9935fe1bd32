/* The speed of an executor, measured by the runs that are done there.

   A run that is done gives a ratio: its duration divided by the one that was
   expected (jobs/forecast.h).  The ratio is divided by a reference, so that no
   executor counts as slow when all are.  The reference follows the median of
   the recent last ratios of all executors of the service, or 1 if the median
   is less, as an executor whose runs take as long as expected is not slow.  It
   is the largest of these medians in the current and the previous period of
   GP_EXECUTOR_SPEED_MEMORY, as runs that began while all were slow end later.
   Each ratio is divided by the reference of its own time, so that old ratios
   do not count against an executor when all recover.

   The factor of an executor is the third largest of its last
   GP_EXECUTOR_SPEED_RATIOS ratios.  That is the median once there are five;
   with fewer, two long tasks do not change it either.  Without a new ratio it
   goes back to 1 linearly within GP_EXECUTOR_SPEED_MEMORY, so that an executor
   that has recovered gets work.  The first run that is assigned to an executor
   whose factor has fallen below GP_EXECUTOR_SPEED_SLOW in this way is a probe:
   the factor returns to its full value and goes back to 1 again, so that a
   slow executor is not filled each time.  A probe that is not slow discards
   the older ratios.

   Pure: ratios and NOW in, factors out.  */

#ifndef GP_JOBS_EXECUTOR_SPEED_H
#define GP_JOBS_EXECUTOR_SPEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

/* Number of ratios that are kept for an executor.  */
#define GP_EXECUTOR_SPEED_RATIOS 5
/* Without a new ratio or a probe, all ratios are discarded after this
   time.  */
#define GP_EXECUTOR_SPEED_MEMORY (10 * GP_SEC)
/* An executor with this factor or a larger one is slow.  */
#define GP_EXECUTOR_SPEED_SLOW 1.5

/* State of one executor, initially zeroed.  */
typedef struct
{
  float ratios[GP_EXECUTOR_SPEED_RATIOS]; /* a ring */
  uint8_t count;                          /* number of ratios */
  uint8_t last;                           /* index of the last one */
  uint8_t fresh;     /* how many of them are not divided by a reference yet */
  bool probing : 1;  /* a probe was assigned, and no run was compared since */
  bool was_slow : 1; /* it was slow after the last comparison */
  float last_undivided; /* the last ratio, before it is divided */
  float factor;         /* as of the last comparison */
  gp_time_t renewed_at; /* time of the last ratio or probe */
} gp_executor_speed_t;

/* What the executors of a service have in common, initially zeroed.  */
typedef struct
{
  float largest;        /* largest median since the current period began */
  float largest_before; /* largest median in the period before */
  gp_time_t period_end; /* of the current period */
} gp_executor_speeds_t;

/* A run that was expected to take EXPECTED was done at NOW and took
   DURATION.  */
void gp_executor_speed_add (gp_executor_speed_t *speed, gp_time_t duration,
                            gp_time_t expected, gp_time_t now);

/* A run whose end will give a ratio was assigned to the executor at NOW.  */
void gp_executor_speed_note_assigned (gp_executor_speed_t *speed,
                                      gp_time_t now);

/* Returns whether SPEED has to be compared with the others.  */
bool gp_executor_speed_is_measured (const gp_executor_speed_t *speed);

/* Sets the factors of the COUNT executors of a service, which have COMMON, at
   NOW.  Those that are not measured may be left out.  CHANGED has room for
   COUNT flags: whether the executor was slow after its last comparison and is
   not now, or the reverse.  */
void gp_executor_speeds_compare (gp_executor_speeds_t *common,
                                 gp_executor_speed_t *const *speeds,
                                 size_t count, gp_time_t now, bool *changed);

/* Returns whether the factor is GP_EXECUTOR_SPEED_SLOW or larger.  */
bool gp_executor_speed_is_slow (const gp_executor_speed_t *speed);

/* Returns the share of its time that a run loses on the executor, 0 unless the
   executor is slow.  */
double gp_executor_speed_lost_share (const gp_executor_speed_t *speed);

#endif

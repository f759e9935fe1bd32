/* The headroom of runs that serve, tracked over time.

   Headroom is the target of a run over its tail latency: 1 at the target,
   less when it is over, up to five or so when it is idle.  The reciprocal of
   a tail latency falls in a straight line with the share of time for which
   the run is occupied, so that its own load and what presses it from beside
   add up; their effects on the latency itself do not.

   A track follows the headroom that runs would have without filling work.
   All runs of one step of a job share their load, so that one track serves
   them all.  The load swings around a mean; the period is not known.  So a
   track is a bank of Kalman filters, one for each period, each with a mean,
   a displacement and a speed, of which the one that foresaw the measures
   best is believed.  Pure.  */

#ifndef GP_JOBS_HEADROOM_H
#define GP_JOBS_HEADROOM_H

#include <stdbool.h>

#include "base/time.h"

/* Under this a run is overloaded and its latency tells no more how much: the
   straight line was seen to hold down to here.  */
#define GP_HEADROOM_LEAST 0.15

/* What a run is taken to have before it was measured: the middle of a swing
   between overloaded and idle.  */
#define GP_HEADROOM_UNKNOWN 2.5

/* Periods that are told apart.  */
#define GP_HEADROOM_PERIODS 8

/* Of one filter: mean, displacement from it, and speed in 1/s.  */
#define GP_HEADROOM_STATES 3

typedef struct
{
  double state[GP_HEADROOM_STATES];
  double covariance[GP_HEADROOM_STATES][GP_HEADROOM_STATES];
  double likelihood; /* logarithm, of the measures lately */
} gp_headroom_filter_t;

typedef struct
{
  gp_time_t at; /* of what follows; 0: never measured */
  gp_headroom_filter_t filters[GP_HEADROOM_PERIODS];
  unsigned int best;
} gp_headroom_t;

/* The headroom of a run with a tail of MEASURED_MS and a target of
   TARGET_MS.  */
double gp_headroom_of (double measured_ms, double target_ms);

/* The variance of one measurement of HEADROOM.  */
double gp_headroom_noise (double headroom);

/* Set up TRACK as never measured.  */
void gp_headroom_init (gp_headroom_t *track);

bool gp_headroom_is_known (const gp_headroom_t *track);

/* What is expected at WHEN.  */
double gp_headroom_at (const gp_headroom_t *track, gp_time_t when);

/* How fast it rises at WHEN, in 1/s.  */
double gp_headroom_slope_at (const gp_headroom_t *track, gp_time_t when);

/* The variance of what is expected at WHEN.  */
double gp_headroom_variance (const gp_headroom_t *track, gp_time_t when);

/* At NOW it was VALUE, measured with VARIANCE.  */
void gp_headroom_update (gp_headroom_t *track, double value, double variance,
                         gp_time_t now);

#endif

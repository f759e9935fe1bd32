/* Tracks the headroom of serving runs over time.

   Headroom is the target of a run divided by its tail latency: 1 at the
   target, less when the target is missed, up to about 5 when the run is idle.
   The reciprocal of a tail latency falls linearly with the share of time for
   which the run is occupied, so the effects of its own load and of its
   neighbours add up; their effects on the latency itself do not.

   A track follows the headroom that runs would have without filling work.  All
   runs of one step of a job share their load, so one track covers them all.
   The load oscillates around a mean with an unknown period.  A track is
   therefore a bank of Kalman filters, one for each period, each with a mean, a
   displacement and a speed; the filter that predicted the measurements best is
   used.  Pure.  */

#ifndef GP_JOBS_HEADROOM_H
#define GP_JOBS_HEADROOM_H

#include <stdbool.h>

#include "base/time.h"

/* Below this a run is overloaded and its latency no longer shows by how much:
   measurements were linear down to this value.  */
#define GP_HEADROOM_MIN 0.15

/* Assumed headroom before the first measurement: the middle between overloaded
   and idle.  */
#define GP_HEADROOM_PRIOR 2.5

/* Number of periods in the filter bank.  */
#define GP_HEADROOM_PERIODS 8

/* State variables of one filter: mean, displacement from it, and speed in
   1/s.  */
#define GP_HEADROOM_STATES 3

typedef struct
{
  double state[GP_HEADROOM_STATES];
  double covariance[GP_HEADROOM_STATES][GP_HEADROOM_STATES];
  double likelihood; /* log-likelihood of the recent measurements */
} gp_headroom_filter_t;

typedef struct
{
  gp_time_t at; /* time of the state below; 0: never measured */
  gp_headroom_filter_t filters[GP_HEADROOM_PERIODS];
  unsigned int best;
} gp_headroom_t;

/* Returns the headroom of a run with a tail latency of MEASURED_MS and a
   target of TARGET_MS.  */
double gp_headroom_of (double measured_ms, double target_ms);

/* Returns the variance of one measurement of HEADROOM.  */
double gp_headroom_noise (double headroom);

/* Initialises TRACK as never measured.  */
void gp_headroom_init (gp_headroom_t *track);

bool gp_headroom_is_known (const gp_headroom_t *track);

/* Returns the headroom expected at WHEN.  */
double gp_headroom_at (const gp_headroom_t *track, gp_time_t when);

/* Returns the rate at which the headroom rises at WHEN, in 1/s.  */
double gp_headroom_slope_at (const gp_headroom_t *track, gp_time_t when);

/* Returns the variance of the headroom expected at WHEN.  */
double gp_headroom_variance (const gp_headroom_t *track, gp_time_t when);

/* Adds a measurement: at NOW the headroom was VALUE, measured with
   VARIANCE.  */
void gp_headroom_update (gp_headroom_t *track, double value, double variance,
                         gp_time_t now);

#endif

/* Tracks the headroom of serving runs over time.  */

#include "jobs/headroom.h"

#include <math.h>
#include <string.h>

/* Standard deviation of a measurement: a share of it, plus what rounding to
   whole milliseconds and the delay between measurement and report add.  */
#define NOISE_SHARE 0.05
#define NOISE_MIN 0.05
/* Prior standard deviations of mean, displacement and speed.  */
#define MEAN_DEVIATION 0.4
#define DISPLACEMENT_DEVIATION 0.9
#define SPEED_DEVIATION 0.5
/* Increase of the variances of mean and speed per second, to allow for
   oscillations that are not quite regular and for periods between two of those
   below.  */
#define MEAN_DRIFT 0.0005
#define SPEED_DRIFT 0.01
/* Decay of the likelihood per measurement: a memory of about ten seconds for a
   job with six runs.  */
#define LIKELIHOOD_DECAY 0.99
/* Prediction errors are clipped at this many standard deviations.  */
#define CLIP_DEVIATIONS 3.0

/* Seconds, spaced by a factor of 1.2: a period between two of these is
   followed by the nearer one.  */
static const double periods[GP_HEADROOM_PERIODS]
    = { 5.8, 7.0, 8.4, 10.0, 12.0, 14.0, 17.0, 22.0 };

enum
{
  MEAN,
  DISPLACEMENT,
  SPEED
};

typedef double matrix_t[GP_HEADROOM_STATES][GP_HEADROOM_STATES];

double
gp_headroom_of (double measured_ms, double target_ms)
{
  return target_ms / fmax (measured_ms, 1.0);
}

double
gp_headroom_noise (double headroom)
{
  double deviation = NOISE_MIN + NOISE_SHARE * headroom;

  return deviation * deviation;
}

void
gp_headroom_init (gp_headroom_t *track)
{
  memset (track, 0, sizeof *track);
}

bool
gp_headroom_is_known (const gp_headroom_t *track)
{
  return track->at != 0;
}

static void
start_track (gp_headroom_t *track, gp_time_t now)
{
  track->at = now;
  for (unsigned int i = 0; i < GP_HEADROOM_PERIODS; i++)
    {
      gp_headroom_filter_t *filter = &track->filters[i];

      memset (filter, 0, sizeof *filter);
      filter->state[MEAN] = GP_HEADROOM_PRIOR;
      filter->covariance[MEAN][MEAN] = MEAN_DEVIATION * MEAN_DEVIATION;
      filter->covariance[DISPLACEMENT][DISPLACEMENT]
          = DISPLACEMENT_DEVIATION * DISPLACEMENT_DEVIATION;
      filter->covariance[SPEED][SPEED] = SPEED_DEVIATION * SPEED_DEVIATION;
    }
}

/* Fills the matrix that advances the state by SECONDS in an oscillation of
   PERIOD.  */
static void
make_transition (matrix_t transition, double period, double seconds)
{
  double omega = 2.0 * M_PI / period;
  double c = cos (omega * seconds);
  double s = sin (omega * seconds);

  memset (transition, 0, sizeof (matrix_t));
  transition[MEAN][MEAN] = 1.0;
  transition[DISPLACEMENT][DISPLACEMENT] = c;
  transition[DISPLACEMENT][SPEED] = s / omega;
  transition[SPEED][DISPLACEMENT] = -omega * s;
  transition[SPEED][SPEED] = c;
}

/* RESULT = A B, or A B' if TRANSPOSED.  */
static void
multiply (matrix_t result, matrix_t a, matrix_t b, bool transposed)
{
  for (int i = 0; i < GP_HEADROOM_STATES; i++)
    for (int j = 0; j < GP_HEADROOM_STATES; j++)
      {
        result[i][j] = 0.0;
        for (int k = 0; k < GP_HEADROOM_STATES; k++)
          result[i][j] += a[i][k] * (transposed ? b[j][k] : b[k][j]);
      }
}

/* Advances the state of FILTER by TRANSITION, but not its covariance.  */
static void
advance_state (gp_headroom_filter_t *filter, matrix_t transition)
{
  double state[GP_HEADROOM_STATES];

  for (int i = 0; i < GP_HEADROOM_STATES; i++)
    {
      state[i] = 0.0;
      for (int k = 0; k < GP_HEADROOM_STATES; k++)
        state[i] += transition[i][k] * filter->state[k];
    }
  memcpy (filter->state, state, sizeof state);
}

/* Advances FILTER by SECONDS in an oscillation of PERIOD.  */
static void
predict (gp_headroom_filter_t *filter, double period, double seconds)
{
  matrix_t transition;
  matrix_t half;

  make_transition (transition, period, seconds);
  multiply (half, transition, filter->covariance, false);
  multiply (filter->covariance, half, transition, true);
  filter->covariance[MEAN][MEAN] += MEAN_DRIFT * seconds;
  filter->covariance[SPEED][SPEED] += SPEED_DRIFT * seconds;
  advance_state (filter, transition);
}

static double
level_of (const gp_headroom_filter_t *filter)
{
  return filter->state[MEAN] + filter->state[DISPLACEMENT];
}

static double
variance_of (const gp_headroom_filter_t *filter)
{
  return filter->covariance[MEAN][MEAN]
         + 2.0 * filter->covariance[MEAN][DISPLACEMENT]
         + filter->covariance[DISPLACEMENT][DISPLACEMENT];
}

static double
seconds_until (const gp_headroom_t *track, gp_time_t when)
{
  return (double)(when - track->at) / GP_SEC;
}

/* Returns the best filter of TRACK with its state advanced to WHEN.  Placement
   needs this for each serving run and place, so the covariance is not
   advanced.  */
static gp_headroom_filter_t
predict_best (const gp_headroom_t *track, gp_time_t when)
{
  gp_headroom_filter_t filter = track->filters[track->best];
  matrix_t transition;

  make_transition (transition, periods[track->best],
                   seconds_until (track, when));
  advance_state (&filter, transition);
  return filter;
}

double
gp_headroom_at (const gp_headroom_t *track, gp_time_t when)
{
  gp_headroom_filter_t filter;

  if (!gp_headroom_is_known (track))
    return GP_HEADROOM_PRIOR;
  filter = predict_best (track, when);
  return level_of (&filter);
}

double
gp_headroom_slope_at (const gp_headroom_t *track, gp_time_t when)
{
  gp_headroom_filter_t filter;

  if (!gp_headroom_is_known (track))
    return 0.0;
  filter = predict_best (track, when);
  return filter.state[SPEED];
}

double
gp_headroom_variance (const gp_headroom_t *track, gp_time_t when)
{
  gp_headroom_filter_t filter;

  if (!gp_headroom_is_known (track))
    return DISPLACEMENT_DEVIATION * DISPLACEMENT_DEVIATION;
  filter = track->filters[track->best];
  predict (&filter, periods[track->best], seconds_until (track, when));
  return variance_of (&filter);
}

static void
correct (gp_headroom_filter_t *filter, double value, double variance)
{
  double total = variance_of (filter) + variance;
  double limit = CLIP_DEVIATIONS * sqrt (total);
  double innovation = fmax (-limit, fmin (limit, value - level_of (filter)));
  double gain[GP_HEADROOM_STATES];

  for (int i = 0; i < GP_HEADROOM_STATES; i++)
    gain[i]
        = (filter->covariance[i][MEAN] + filter->covariance[i][DISPLACEMENT])
          / total;
  for (int i = 0; i < GP_HEADROOM_STATES; i++)
    {
      filter->state[i] += gain[i] * innovation;
      for (int j = 0; j < GP_HEADROOM_STATES; j++)
        filter->covariance[i][j] -= gain[i] * gain[j] * total;
    }
  filter->likelihood = LIKELIHOOD_DECAY * filter->likelihood
                       - (log (total) + innovation * innovation / total) / 2.0;
}

void
gp_headroom_update (gp_headroom_t *track, double value, double variance,
                    gp_time_t now)
{
  double seconds;

  if (!gp_headroom_is_known (track))
    start_track (track, now);
  seconds = seconds_until (track, now);
  track->at = now;
  for (unsigned int i = 0; i < GP_HEADROOM_PERIODS; i++)
    {
      predict (&track->filters[i], periods[i], seconds);
      correct (&track->filters[i], value, variance);
      if (track->filters[i].likelihood
          > track->filters[track->best].likelihood)
        track->best = i;
    }
}

/* Recursive least squares in Kalman form, with sparse features.  */

#include "coordination/regression.h"

#include <math.h>
#include <stddef.h>

#define CLIP_DEVIATIONS 3. /* bound of an innovation */
#define NOISE_GAIN 0.02    /* weight of a sample in the noise estimate */
#define NOISE_MIN 0.02

void
gp_regression_init (gp_regression_t *regression, unsigned int features,
                    double *coefficients, double *covariance, double noise)
{
  regression->features = features;
  regression->coefficients = coefficients;
  regression->covariance = covariance;
  regression->noise = noise;
}

void
gp_regression_push (gp_regression_input_t *input, unsigned int index,
                    double value)
{
  input->index[input->n] = index;
  input->value[input->n] = value;
  input->n++;
}

double
gp_regression_mean (const gp_regression_t *regression,
                    const gp_regression_input_t *input)
{
  double mean = 0.0;

  for (unsigned int j = 0; j < input->n; j++)
    mean += regression->coefficients[input->index[j]] * input->value[j];
  return mean;
}

/* Returns element I of P x.  */
static double
gain_of (const gp_regression_t *regression, const gp_regression_input_t *input,
         unsigned int i)
{
  const double *row
      = &regression->covariance[(size_t)i * regression->features];
  double gain = 0.0;

  for (unsigned int j = 0; j < input->n; j++)
    gain += row[input->index[j]] * input->value[j];
  return gain;
}

double
gp_regression_variance (const gp_regression_t *regression,
                        const gp_regression_input_t *input)
{
  double variance = 0.0;

  for (unsigned int j = 0; j < input->n; j++)
    variance += input->value[j] * gain_of (regression, input, input->index[j]);
  return variance;
}

void
gp_regression_update (gp_regression_t *regression,
                      const gp_regression_input_t *input, double value)
{
  double gain[GP_REGRESSION_MAX];
  double variance = gp_regression_variance (regression, input);
  double total = variance + regression->noise;
  double most = CLIP_DEVIATIONS * sqrt (total);
  double innovation = value - gp_regression_mean (regression, input);
  double excess;

  innovation = fmax (-most, fmin (most, innovation));
  excess = fmax (NOISE_MIN * NOISE_MIN, innovation * innovation - variance);
  regression->noise += NOISE_GAIN * (excess - regression->noise);
  for (unsigned int i = 0; i < regression->features; i++)
    gain[i] = gain_of (regression, input, i);
  for (unsigned int i = 0; i < regression->features; i++)
    {
      double *row = &regression->covariance[(size_t)i * regression->features];

      regression->coefficients[i] += gain[i] / total * innovation;
      for (unsigned int j = 0; j < regression->features; j++)
        row[j] -= gain[i] * gain[j] / total;
    }
}

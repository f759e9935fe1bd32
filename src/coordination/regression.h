/* Recursive least squares in Kalman form, with sparse features.

   The prior regularises the estimate, outliers are clipped, and the
   measurement noise is estimated along the way.  An update costs the
   square of the number of features.  */

#ifndef GP_COORDINATION_REGRESSION_H
#define GP_COORDINATION_REGRESSION_H

#define GP_REGRESSION_MAX 66 /* features */

typedef struct
{
  unsigned int features;
  double *coefficients; /* one per feature */
  double *covariance;   /* symmetric matrix in row-major order */
  double noise;         /* estimated variance of a measurement */
} gp_regression_t;

/* The non-zero features of a measurement.  */
typedef struct
{
  unsigned int n;
  unsigned int index[GP_REGRESSION_MAX];
  double value[GP_REGRESSION_MAX];
} gp_regression_input_t;

/* COEFFICIENTS and COVARIANCE are owned by the caller and initially hold
   the prior.  */
void gp_regression_init (gp_regression_t *regression, unsigned int features,
                         double *coefficients, double *covariance,
                         double noise);

void gp_regression_push (gp_regression_input_t *input, unsigned int index,
                         double value);

/* Returns the expected value of a measurement with INPUT.  */
double gp_regression_mean (const gp_regression_t *regression,
                           const gp_regression_input_t *input);

/* Returns the variance of that expectation, without the measurement noise.  */
double gp_regression_variance (const gp_regression_t *regression,
                               const gp_regression_input_t *input);

/* Updates the coefficients with a measurement of VALUE for INPUT.  */
void gp_regression_update (gp_regression_t *regression,
                           const gp_regression_input_t *input, double value);

#endif

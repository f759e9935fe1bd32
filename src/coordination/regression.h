/* Recursive least squares in Kalman form, on sparse features.

   The prior regularises; outliers are clipped; the noise of the
   measurements is estimated on the way.  An update costs the square of the
   number of features.  */

#ifndef GP_COORDINATION_REGRESSION_H
#define GP_COORDINATION_REGRESSION_H

#define GP_REGRESSION_MAX 66 /* features */

typedef struct
{
  unsigned int features;
  double *coefficients; /* one a feature */
  double *covariance;   /* square, row after row, symmetric */
  double noise;         /* variance of a measurement */
} gp_regression_t;

/* The features of a measurement that are not zero.  */
typedef struct
{
  unsigned int n;
  unsigned int index[GP_REGRESSION_MAX];
  double value[GP_REGRESSION_MAX];
} gp_regression_input_t;

/* COEFFICIENTS and COVARIANCE are the caller's and hold the prior.  */
void gp_regression_init (gp_regression_t *regression, unsigned int features,
                         double *coefficients, double *covariance,
                         double noise);

void gp_regression_push (gp_regression_input_t *input, unsigned int index,
                         double value);

/* The expected value of a measurement with INPUT.  */
double gp_regression_mean (const gp_regression_t *regression,
                           const gp_regression_input_t *input);

/* The variance of that expectation, without the noise.  */
double gp_regression_variance (const gp_regression_t *regression,
                               const gp_regression_input_t *input);

/* Learn that a measurement with INPUT gave VALUE.  */
void gp_regression_update (gp_regression_t *regression,
                           const gp_regression_input_t *input, double value);

#endif

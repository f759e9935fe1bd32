/* Recursive least squares of a service's tail latency on its neighbours.

   A model has two features of the service, a constant and its load, and
   one feature per kind slot.  P is the covariance of the coefficients,
   symmetric and stored in full.  An update costs the square of the number
   of features (66); a prediction costs the square of the number of kinds
   present.  */

#include "coordination/interference.h"

#include <math.h>

#include "coordination/regression.h"

enum
{
  FEATURE_BASE = 0,
  FEATURE_LOAD = 1,
  FEATURE_KINDS = 2, /* index of the first kind */
  FEATURES = FEATURE_KINDS + GP_RESIDENCY_KINDS
};

#define RATIO_MAX 5.0 /* larger ratios are clipped */
#define USEC_PER_HOUR (3600.0 * GP_SEC)

struct gp_interference_model
{
  double coefficients[FEATURES];
  double covariance[FEATURES][FEATURES];
  gp_regression_t regression; /* uses the two arrays above */
  gp_time_t updated;
};

G_STATIC_ASSERT (FEATURES <= GP_REGRESSION_MAX);

static double
prior_mean (const gp_interference_settings_t *settings, unsigned int feature)
{
  if (feature == FEATURE_BASE)
    return settings->base_mean;
  return feature == FEATURE_LOAD ? 0.0 : settings->slope_mean;
}

static double
prior_variance (const gp_interference_settings_t *settings,
                unsigned int feature)
{
  double deviation = feature < FEATURE_KINDS ? settings->base_deviation
                                             : settings->slope_deviation;

  return deviation * deviation;
}

static gp_interference_model_t *
model_new (const gp_interference_settings_t *settings, gp_time_t now)
{
  gp_interference_model_t *model = g_new0 (gp_interference_model_t, 1);

  for (unsigned int i = 0; i < FEATURES; i++)
    {
      model->coefficients[i] = prior_mean (settings, i);
      model->covariance[i][i] = prior_variance (settings, i);
    }
  gp_regression_init (&model->regression, FEATURES, model->coefficients,
                      &model->covariance[0][0],
                      settings->noise_deviation * settings->noise_deviation);
  model->updated = now;
  return model;
}

void
gp_interference_init (gp_interference_t *interference,
                      const gp_interference_settings_t *settings)
{
  interference->settings = *settings;
  interference->models = g_ptr_array_new_with_free_func (g_free);
  interference->measurements = 0;
  interference->too_old = 0;
}

void
gp_interference_finish (gp_interference_t *interference)
{
  g_ptr_array_free (interference->models, TRUE);
}

static gp_interference_model_t *
find_model (const gp_interference_t *interference, uint16_t service)
{
  if (service >= interference->models->len)
    return NULL;
  return g_ptr_array_index (interference->models, service);
}

static gp_interference_model_t *
find_or_add_model (gp_interference_t *interference, uint16_t service,
                   gp_time_t now)
{
  GPtrArray *models = interference->models;

  if (service >= models->len)
    g_ptr_array_set_size (models, service + 1);
  if (models->pdata[service] == NULL)
    models->pdata[service] = model_new (&interference->settings, now);
  return models->pdata[service];
}

static void
begin_features (gp_regression_input_t *features, double load)
{
  features->n = 0;
  gp_regression_push (features, FEATURE_BASE, 1.0);
  gp_regression_push (features, FEATURE_LOAD, load);
}

/* Increases the variance of the coefficients with time, up to that of the
   prior.  */
static void
increase_uncertainty (gp_interference_model_t *model,
                      const gp_interference_settings_t *settings,
                      gp_time_t now)
{
  double hours = (double)(now - model->updated) / USEC_PER_HOUR;

  if (hours <= 0.0)
    return;
  model->updated = now;
  for (unsigned int i = 0; i < FEATURES; i++)
    {
      double most = prior_variance (settings, i);
      double *variance = &model->covariance[i][i];

      *variance = fmin (*variance + most * settings->drift * hours,
                        fmax (most, *variance));
    }
}

bool
gp_interference_measure (gp_interference_t *interference, uint16_t service,
                         double load, const gp_residency_t *residency,
                         gp_time_t from, gp_time_t to, double ratio)
{
  gp_interference_model_t *model;
  gp_regression_input_t features;
  double counts[GP_RESIDENCY_KINDS];

  if (!gp_residency_mean (residency, from, to, counts))
    {
      interference->too_old++;
      return false;
    }
  begin_features (&features, load);
  for (unsigned int i = 0; i < GP_RESIDENCY_KINDS; i++)
    if (counts[i] > 0.0)
      gp_regression_push (&features, FEATURE_KINDS + i,
                          counts[i] * (1.0 + load));
  model = find_or_add_model (interference, service, to);
  increase_uncertainty (model, &interference->settings, to);
  gp_regression_update (&model->regression, &features,
                        fmin (ratio, RATIO_MAX));
  interference->measurements++;
  return true;
}

static double
coefficient (const gp_interference_t *interference,
             const gp_interference_model_t *model, unsigned int feature)
{
  if (model == NULL)
    return prior_mean (&interference->settings, feature);
  return model->coefficients[feature];
}

static double
covariance (const gp_interference_t *interference,
            const gp_interference_model_t *model, unsigned int i,
            unsigned int j)
{
  if (model != NULL)
    return model->covariance[i][j];
  return i == j ? prior_variance (&interference->settings, i) : 0.0;
}

gp_interference_estimate_t
gp_interference_slope (const gp_interference_t *interference, uint16_t service,
                       uint16_t kind)
{
  const gp_interference_model_t *model = find_model (interference, service);
  unsigned int feature = FEATURE_KINDS + gp_residency_slot (kind);

  return (gp_interference_estimate_t){
    .mean = coefficient (interference, model, feature),
    .deviation = sqrt (covariance (interference, model, feature, feature))
  };
}

static void
worker_features (const gp_worker_t *worker, gp_regression_input_t *features)
{
  double load = worker->load_permille / 1000.0;

  begin_features (features, load);
  for (unsigned int i = 0; i < worker->n_residents; i++)
    {
      const gp_resident_t *resident = &worker->residents[i];

      if (features->n == FEATURES)
        break;
      gp_regression_push (features,
                          FEATURE_KINDS + gp_residency_slot (resident->kind),
                          resident->count * (1.0 + load));
    }
}

/* Mean and variance of the ratio for given features, and its covariance
   with one coefficient.  */
typedef struct
{
  double mean;
  double variance;
  double covariance;
} gp_interference_moments_t;

/* Same as moments_of, for a service without a model: independent priors.  */
static gp_interference_moments_t
prior_moments (const gp_interference_settings_t *settings,
               const gp_regression_input_t *features, unsigned int feature)
{
  gp_interference_moments_t moments = { 0.0, 0.0, 0.0 };

  for (unsigned int i = 0; i < features->n; i++)
    {
      double value = features->value[i];
      double variance = prior_variance (settings, features->index[i]);

      moments.mean += prior_mean (settings, features->index[i]) * value;
      moments.variance += variance * value * value;
      if (features->index[i] == feature)
        moments.covariance += variance * value;
    }
  return moments;
}

static gp_interference_moments_t
moments_of (const gp_interference_t *interference,
            const gp_interference_model_t *model,
            const gp_regression_input_t *features, unsigned int feature)
{
  gp_interference_moments_t moments = { 0.0, 0.0, 0.0 };

  if (model == NULL)
    return prior_moments (&interference->settings, features, feature);
  for (unsigned int i = 0; i < features->n; i++)
    {
      const double *row = model->covariance[features->index[i]];
      double value = features->value[i];
      double sum = 0.0;

      for (unsigned int j = 0; j < i; j++)
        sum += row[features->index[j]] * features->value[j];
      moments.mean += model->coefficients[features->index[i]] * value;
      moments.covariance += row[feature] * value;
      moments.variance
          += (2.0 * sum + row[features->index[i]] * value) * value;
    }
  return moments;
}

gp_interference_estimate_t
gp_interference_predict (const gp_interference_t *interference,
                         const gp_worker_t *worker)
{
  const gp_interference_model_t *model
      = find_model (interference, worker->service);
  gp_regression_input_t features;
  gp_interference_moments_t moments;

  worker_features (worker, &features);
  moments = moments_of (interference, model, &features, FEATURE_BASE);
  return (gp_interference_estimate_t){ .mean = moments.mean,
                                       .deviation
                                       = sqrt (fmax (0.0, moments.variance)) };
}

/* Returns the mean of max (0, X) for a normally distributed X.  */
static double
expected_excess (double mean, double variance)
{
  double deviation = sqrt (fmax (variance, 1e-12));
  double z = mean / deviation;
  double density = exp (-0.5 * z * z) / sqrt (2.0 * G_PI);

  return deviation * density + mean * 0.5 * erfc (-z / G_SQRT2);
}

double
gp_interference_harm (const gp_interference_t *interference,
                      const gp_worker_t *worker, uint16_t kind)
{
  const gp_interference_model_t *model
      = find_model (interference, worker->service);
  unsigned int feature = FEATURE_KINDS + gp_residency_slot (kind);
  double weight = 1.0 + worker->load_permille / 1000.0;
  double knee = interference->settings.knee;
  gp_regression_input_t features;
  gp_interference_moments_t before;
  double mean;
  double variance;

  if (worker->service == GP_SERVICE_NONE)
    return 0.0;
  worker_features (worker, &features);
  before = moments_of (interference, model, &features, feature);
  mean = before.mean
         + weight * fmax (0.0, coefficient (interference, model, feature));
  variance
      = before.variance + 2.0 * weight * before.covariance
        + weight * weight * covariance (interference, model, feature, feature);
  return fmax (0.0,
               expected_excess (mean - knee, variance)
                   - expected_excess (before.mean - knee, before.variance));
}

/* How much filling runs slow down the runs that serve beside them.  */

#include "jobs/pressure.h"

#include <math.h>

#include "coordination/regression.h"

/* Variance of a weight before it is known: most are between 0 and 1.  */
#define WEIGHT_VARIANCE 0.1
/* The same of a weight that another has learned.  */
#define LEARNED_VARIANCE 0.02
/* Variance of a change between two measurements to begin with.  */
#define CHANGE_VARIANCE 0.1
/* Share of a measurement's surprise that goes to the baseline: it follows a
   load that swings in about ten seconds, at three measurements a second.  */
#define BASELINE_GAIN 0.3
/* More surprise than this (a factor of 2.7) counts as so much: a run that is
   overloaded is slow beyond all proportion.  */
#define SURPRISE_MAX 1.0
/* Less work than this, of a run at full speed, is no change.  */
#define WORK_CHANGE_MIN 0.02

typedef struct
{
  double weights[GP_PRESSURE_IMAGES];
  double covariance[GP_PRESSURE_IMAGES * GP_PRESSURE_IMAGES];
  gp_regression_t regression;
} model_t;

void
gp_pressure_init (gp_pressure_t *pressure)
{
  pressure->places
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  pressure->models
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gp_pressure_finish (gp_pressure_t *pressure)
{
  g_hash_table_destroy (pressure->places);
  g_hash_table_destroy (pressure->models);
}

unsigned int
gp_pressure_place (gp_pressure_t *pressure, const char *image)
{
  guint place
      = GPOINTER_TO_UINT (g_hash_table_lookup (pressure->places, image));

  if (place == 0)
    {
      place = g_hash_table_size (pressure->places) % GP_PRESSURE_IMAGES + 1;
      g_hash_table_insert (pressure->places, g_strdup (image),
                           GUINT_TO_POINTER (place));
    }
  return place - 1;
}

static model_t *
model_new (void)
{
  model_t *model = g_new0 (model_t, 1);

  for (unsigned int i = 0; i < GP_PRESSURE_IMAGES; i++)
    {
      model->weights[i] = GP_PRESSURE_PRIOR;
      model->covariance[i * GP_PRESSURE_IMAGES + i] = WEIGHT_VARIANCE;
    }
  gp_regression_init (&model->regression, GP_PRESSURE_IMAGES, model->weights,
                      model->covariance, CHANGE_VARIANCE);
  return model;
}

static model_t *
need_model (gp_pressure_t *pressure, const char *serving)
{
  model_t *model = g_hash_table_lookup (pressure->models, serving);

  if (model == NULL)
    {
      model = model_new ();
      g_hash_table_insert (pressure->models, g_strdup (serving), model);
    }
  return model;
}

double
gp_pressure_weight (const gp_pressure_t *pressure, const char *serving,
                    unsigned int place)
{
  const model_t *model = g_hash_table_lookup (pressure->models, serving);

  return model != NULL ? model->weights[place] : GP_PRESSURE_PRIOR;
}

void
gp_pressure_set (gp_pressure_t *pressure, const char *serving,
                 unsigned int place, double weight)
{
  model_t *model = need_model (pressure, serving);

  model->weights[place] = weight;
  model->covariance[(size_t)place * (GP_PRESSURE_IMAGES + 1)]
      = LEARNED_VARIANCE;
}

double
gp_pressure_sum (const gp_pressure_t *pressure, const char *serving,
                 const gp_pressure_work_t *work)
{
  const model_t *model = g_hash_table_lookup (pressure->models, serving);
  double sum = 0.0;

  for (unsigned int i = 0; i < GP_PRESSURE_IMAGES; i++)
    sum += work->work[i]
           * (model != NULL ? model->weights[i] : GP_PRESSURE_PRIOR);
  return sum;
}

/* Neighbours do not speed a run up: what says so is noise.  */
static void
clamp_weights (model_t *model)
{
  for (unsigned int i = 0; i < GP_PRESSURE_IMAGES; i++)
    model->weights[i] = fmax (model->weights[i], 0.0);
}

void
gp_pressure_learn (gp_pressure_t *pressure, const char *serving,
                   const gp_pressure_work_t *change, double log_change)
{
  model_t *model = need_model (pressure, serving);
  gp_regression_input_t input = { .n = 0 };

  for (unsigned int i = 0; i < GP_PRESSURE_IMAGES; i++)
    if (fabs (change->work[i]) > WORK_CHANGE_MIN)
      gp_regression_push (&input, i, change->work[i]);
  if (input.n == 0)
    return;
  gp_regression_update (&model->regression, &input, log_change);
  clamp_weights (model);
}

void
gp_pressure_follow (const gp_pressure_t *pressure, const char *serving,
                    const gp_pressure_work_t *work, double log_ratio,
                    double *baseline)
{
  double measured = log_ratio - gp_pressure_sum (pressure, serving, work);

  if (isnan (*baseline))
    *baseline = measured;
  else
    *baseline += BASELINE_GAIN
                 * CLAMP (measured - *baseline, -SURPRISE_MAX, SURPRISE_MAX);
}

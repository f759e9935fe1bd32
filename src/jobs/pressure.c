/* Learns how much filling runs slow down serving runs on the same
   executor.  */

#include "jobs/pressure.h"

#include <math.h>

#include "coordination/regression.h"
#include "protocol/message.h"

/* Prior variance of a weight: a third of them lie around 0.9, the others at
   zero.  */
#define WEIGHT_VARIANCE 0.2
/* Variance of a weight learned by another process.  */
#define LEARNED_VARIANCE 0.02
/* Initial variance of the normalised prediction error.  */
#define ERROR_VARIANCE 1.0
/* Standard deviation of the headroom taken by filling runs, as a share of it:
   filling runs come, go and change phase during a measurement.  */
#define TAKEN_NOISE 0.3
/* Busy work below this, in runs at full speed, is ignored.  */
#define WORK_MIN 0.02

/* An image of filling runs.  */
typedef struct
{
  gp_lru_entry_t entry;
  unsigned int index;
} filling_t;

/* The weights of all filling images on an image of serving runs.  */
typedef struct
{
  gp_lru_entry_t entry;
  double weights[GP_PRESSURE_IMAGES];
  double covariance[GP_PRESSURE_IMAGES * GP_PRESSURE_IMAGES];
  gp_regression_t regression;
} model_t;

static filling_t *
filling_of (gp_lru_entry_t *entry)
{
  return entry != NULL ? GP_CONTAINER_OF (entry, filling_t, entry) : NULL;
}

static model_t *
model_of (gp_lru_entry_t *entry)
{
  return entry != NULL ? GP_CONTAINER_OF (entry, model_t, entry) : NULL;
}

static void
free_filling (gp_lru_entry_t *entry)
{
  g_free (filling_of (entry));
}

static void
free_model (gp_lru_entry_t *entry)
{
  g_free (model_of (entry));
}

void
gp_pressure_init (gp_pressure_t *pressure)
{
  gp_lru_init (&pressure->fillings, GP_PRESSURE_FILLINGS_MAX, free_filling);
  gp_lru_init (&pressure->models, GP_PRESSURE_SERVINGS_MAX, free_model);
  pressure->fillings_added = 0;
}

void
gp_pressure_finish (gp_pressure_t *pressure)
{
  gp_lru_finish (&pressure->fillings);
  gp_lru_finish (&pressure->models);
}

/* An image takes the index of the one that is forgotten for it, so that all
   indices have equally many.  */
static filling_t *
add_filling (gp_pressure_t *pressure, const char *image)
{
  filling_t *evicted = filling_of (gp_lru_next_evicted (&pressure->fillings));
  filling_t *filling = g_new0 (filling_t, 1);

  filling->index = evicted != NULL ? evicted->index
                                   : gp_lru_count (&pressure->fillings)
                                         % GP_PRESSURE_IMAGES;
  gp_lru_add (&pressure->fillings, image, &filling->entry);
  pressure->fillings_added++;
  return filling;
}

unsigned int
gp_pressure_image_index (gp_pressure_t *pressure, const char *image)
{
  filling_t *filling = filling_of (gp_lru_find (&pressure->fillings, image));

  if (filling == NULL)
    filling = add_filling (pressure, image);
  else
    gp_lru_use (&pressure->fillings, &filling->entry);
  return filling->index;
}

int
gp_pressure_spare_index (gp_pressure_t *pressure, const char *image)
{
  int index = gp_pressure_find_index (pressure, image);

  if (index >= 0 || gp_lru_next_evicted (&pressure->fillings) != NULL)
    return index;
  return (int)add_filling (pressure, image)->index;
}

int
gp_pressure_find_index (const gp_pressure_t *pressure, const char *image)
{
  const filling_t *filling
      = filling_of (gp_lru_find (&pressure->fillings, image));

  return filling != NULL ? (int)filling->index : -1;
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
                      model->covariance, ERROR_VARIANCE);
  return model;
}

static const model_t *
find_model (const gp_pressure_t *pressure, const char *serving)
{
  return model_of (gp_lru_find (&pressure->models, serving));
}

static model_t *
get_model (gp_pressure_t *pressure, const char *serving)
{
  model_t *model = model_of (gp_lru_find (&pressure->models, serving));

  if (model == NULL)
    {
      model = model_new ();
      gp_lru_add (&pressure->models, serving, &model->entry);
    }
  else
    gp_lru_use (&pressure->models, &model->entry);
  return model;
}

double
gp_pressure_weight (const gp_pressure_t *pressure, const char *serving,
                    unsigned int index)
{
  const model_t *model = find_model (pressure, serving);

  return model != NULL ? model->weights[index] : GP_PRESSURE_PRIOR;
}

void
gp_pressure_set (gp_pressure_t *pressure, const char *serving,
                 unsigned int index, double weight)
{
  model_t *model = get_model (pressure, serving);
  size_t row = (size_t)index * GP_PRESSURE_IMAGES;

  model->weights[index] = weight;
  /* Clears the covariances as well: a variance that is too small for its
     covariances is invalid.  */
  for (size_t i = 0; i < GP_PRESSURE_IMAGES; i++)
    {
      model->covariance[row + i] = 0.0;
      model->covariance[i * GP_PRESSURE_IMAGES + index] = 0.0;
    }
  model->covariance[row + index] = LEARNED_VARIANCE;
}

/* Returns the sum of weight times WORK according to MODEL; NULL: nothing was
   learned.  */
static double
sum_by (const model_t *model, const gp_pressure_work_t *work)
{
  double sum = 0.0;

  for (unsigned int i = 0; i < GP_PRESSURE_IMAGES; i++)
    sum += work->work[i]
           * (model != NULL ? model->weights[i] : GP_PRESSURE_PRIOR);
  return sum;
}

double
gp_pressure_sum (const gp_pressure_t *pressure, const char *serving,
                 const gp_pressure_work_t *work)
{
  return sum_by (find_model (pressure, serving), work);
}

/* Filling runs do not speed a run up; a negative weight is noise.  */
static void
clamp_weights (model_t *model)
{
  for (unsigned int i = 0; i < GP_PRESSURE_IMAGES; i++)
    model->weights[i] = fmax (model->weights[i], 0.0);
}

/* Returns the regression's input for WORK, in units of DEVIATION.  */
static gp_regression_input_t
input_of (const gp_pressure_work_t *work, double deviation)
{
  gp_regression_input_t input = { .n = 0 };

  for (unsigned int i = 0; i < GP_PRESSURE_IMAGES; i++)
    if (work->work[i] > WORK_MIN)
      gp_regression_push (&input, i, work->work[i] / deviation);
  return input;
}

/* Learns that WORK took LOST, known with VARIANCE, of the headroom of a
   run.  */
static void
learn_lost (model_t *model, const gp_pressure_work_t *work, double lost,
            double variance)
{
  double deviation = sqrt (variance);
  gp_regression_input_t input = input_of (work, deviation);

  if (input.n == 0)
    return;
  gp_regression_update (&model->regression, &input, lost / deviation);
  clamp_weights (model);
}

void
gp_pressure_learn (gp_pressure_t *pressure, const char *serving,
                   const gp_pressure_work_t *work, double headroom,
                   gp_headroom_t *load, gp_time_t now)
{
  model_t *model = get_model (pressure, serving);
  double least = fmax (headroom, GP_HEADROOM_MIN);
  double expected = gp_headroom_at (load, now);
  double taken = sum_by (model, work);
  double noise = gp_headroom_noise (headroom)
                 + TAKEN_NOISE * taken * TAKEN_NOISE * taken;
  gp_regression_input_t input = input_of (work, 1.0);
  bool overloaded = headroom < GP_HEADROOM_MIN;

  /* The headroom of an overloaded run is only an upper bound: the filling work
     took at least this much.  */
  if (gp_headroom_is_known (load) && (!overloaded || expected - taken > least))
    learn_lost (model, work, expected - least,
                noise + gp_headroom_variance (load, now));
  if (overloaded)
    return;
  taken = sum_by (model, work);
  gp_headroom_update (
      load, headroom + taken,
      noise + gp_regression_variance (&model->regression, &input), now);
}

void
gp_pressure_pack (const gp_pressure_t *pressure, size_t max_size, GArray *rows)
{
  size_t size = 0;

  GP_LRU_FOREACH (filling_link, &pressure->fillings)
  {
    const filling_t *filling = filling_of (gp_lru_entry_of (filling_link));

    GP_LRU_FOREACH (model_link, &pressure->models)
    {
      const model_t *model = model_of (gp_lru_entry_of (model_link));
      Gp__Jobs__Pressure row = GP__JOBS__PRESSURE__INIT;

      row.serving = model->entry.name;
      row.filling = filling->entry.name;
      row.weight_permille = (int32_t)(model->weights[filling->index] * 1000.0);
      size += gp_message_row_size (&row.base);
      if (size > max_size)
        return;
      g_array_append_val (rows, row);
    }
  }
}

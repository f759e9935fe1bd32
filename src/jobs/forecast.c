/* Predicts how long tasks take, learned online.  */

#include "jobs/forecast.h"

#include <math.h>

#include "coordination/regression.h"
#include "jobs/fields.h"
#include "protocol/message.h"

/* The coefficients of a line: its height at an estimate of one second, and its
   slope.  */
#define FEATURES 2
/* Prior variances of both: estimates are off by a factor of two, and some are
   nearly uncorrelated with the duration.  */
#define HEIGHT_VARIANCE 0.5
#define SLOPE_VARIANCE 0.3
/* Variances for a model learned by another process.  */
#define LEARNED_VARIANCE 0.02
/* Initial variance of the logarithm of a duration around the line.  */
#define NOISE_VARIANCE 0.3
/* The ratio of a step's longest task to the mean before anything was learned,
   and the weight of the latest step in the moving average.  */
#define SPREAD_PRIOR 1.3
#define SPREAD_GAIN 0.05
/* Steps with fewer tasks do not show how long the longest takes.  */
#define SPREAD_TASKS_MIN 4
/* Used if a step has no estimate.  */
#define ESTIMATE_UNKNOWN_MS 1000
/* A job's forecast is valid for this long; the models change much within a
   second.  */
#define FORECAST_TIME (500 * GP_MSEC)
/* A job is no longer useful after this many objectives, by the users'
   terms.  */
#define USELESS_FACTOR 3
/* No task is expected to take longer than 30 days, so that sums and products
   of such durations are still valid times.  */
#define TASK_TIME_MAX ((gp_time_t)30 * 24 * 3600 * GP_SEC)
/* Bounds of learned values.  A task with an estimate of one second takes from
   nanoseconds to years, and a slope beyond the third power of the estimate is
   noise.  */
#define HEIGHT_MAX 20.0
#define SLOPE_MAX 3.0

typedef struct
{
  gp_lru_entry_t entry;
  double coefficients[FEATURES];
  double covariance[FEATURES * FEATURES];
  gp_regression_t regression;
  double spread;
} model_t;

static model_t *
model_of (gp_lru_entry_t *entry)
{
  return entry != NULL ? GP_CONTAINER_OF (entry, model_t, entry) : NULL;
}

static void
free_model (gp_lru_entry_t *entry)
{
  g_free (model_of (entry));
}

void
gp_forecast_init (gp_forecast_t *forecast)
{
  gp_lru_init (&forecast->models, GP_FORECAST_IMAGES_MAX, free_model);
}

void
gp_forecast_finish (gp_forecast_t *forecast)
{
  gp_lru_finish (&forecast->models);
}

static const model_t *
find_model (const gp_forecast_t *forecast, const char *image)
{
  return model_of (gp_lru_find (&forecast->models, image));
}

static model_t *
get_model (gp_forecast_t *forecast, const char *image)
{
  model_t *model = model_of (gp_lru_find (&forecast->models, image));

  if (model != NULL)
    {
      gp_lru_use (&forecast->models, &model->entry);
      return model;
    }
  model = g_new0 (model_t, 1);
  model->coefficients[1] = 1.0;
  model->covariance[0] = HEIGHT_VARIANCE;
  model->covariance[FEATURES + 1] = SLOPE_VARIANCE;
  model->spread = SPREAD_PRIOR;
  gp_regression_init (&model->regression, FEATURES, model->coefficients,
                      model->covariance, NOISE_VARIANCE);
  gp_lru_add (&forecast->models, image, &model->entry);
  return model;
}

static const char *
model_key (const char *queue, const Gp__Jobs__Step *step)
{
  return *step->image != '\0' ? step->image : queue;
}

static gp_regression_input_t
input_of (const Gp__Jobs__Step *step)
{
  uint32_t estimate_ms
      = step->estimate_ms > 0 ? step->estimate_ms : ESTIMATE_UNKNOWN_MS;
  gp_regression_input_t input = { .n = 0 };

  gp_regression_push (&input, 0, 1.0);
  gp_regression_push (&input, 1, log (estimate_ms / 1000.0));
  return input;
}

void
gp_forecast_learn (gp_forecast_t *forecast, const char *queue,
                   const Gp__Jobs__Step *step, gp_time_t duration)
{
  gp_regression_input_t input = input_of (step);
  model_t *model = get_model (forecast, model_key (queue, step));

  if (duration <= 0)
    return;
  gp_regression_update (&model->regression, &input,
                        log ((double)duration / GP_SEC));
}

void
gp_forecast_learn_spread (gp_forecast_t *forecast, const char *queue,
                          const Gp__Jobs__Step *step, gp_time_t longest,
                          gp_time_t mean)
{
  model_t *model = get_model (forecast, model_key (queue, step));

  if (mean > 0 && step->count >= SPREAD_TASKS_MIN)
    model->spread
        += SPREAD_GAIN * ((double)longest / (double)mean - model->spread);
}

void
gp_forecast_pack (const gp_forecast_t *forecast, size_t max_size, GArray *rows)
{
  size_t size = 0;

  GP_LRU_FOREACH (link, &forecast->models)
  {
    const model_t *model = model_of (gp_lru_entry_of (link));
    Gp__Jobs__Forecast row = GP__JOBS__FORECAST__INIT;

    row.image = model->entry.name;
    row.height = model->coefficients[0];
    row.slope = model->coefficients[1];
    row.spread = model->spread;
    size += gp_message_row_size (&row.base);
    if (size > max_size)
      return;
    g_array_append_val (rows, row);
  }
}

bool
gp_forecast_check (const Gp__Jobs__Forecast *row, GError **error)
{
  return gp_field_name_or_empty (row->image, "image", error)
         && gp_field_real (row->height, -HEIGHT_MAX, HEIGHT_MAX, "height",
                           error)
         && gp_field_real (row->slope, -SLOPE_MAX, SLOPE_MAX, "slope", error)
         && gp_field_real (row->spread, 1.0, GP_JOB_MAX_TASKS, "spread",
                           error);
}

bool
gp_forecast_set (gp_forecast_t *forecast, const Gp__Jobs__Forecast *row)
{
  model_t *model;

  if (!gp_forecast_check (row, NULL))
    return false;
  model = get_model (forecast, row->image);
  model->coefficients[0] = row->height;
  model->coefficients[1] = row->slope;
  model->covariance[0] = LEARNED_VARIANCE;
  model->covariance[FEATURES + 1] = LEARNED_VARIANCE;
  model->spread = row->spread;
  return true;
}

/* Returns the expected duration of a task of STEP.  The mean of a log-normal
   distribution lies above its median.  */
static gp_time_t
task_time (const gp_forecast_t *forecast, const char *queue,
           const Gp__Jobs__Step *step)
{
  const model_t *model = find_model (forecast, model_key (queue, step));
  gp_regression_input_t input = input_of (step);
  double seconds;

  if (model == NULL)
    return MIN ((gp_time_t)MAX (step->estimate_ms, 1) * GP_MSEC,
                TASK_TIME_MAX);
  seconds = exp (gp_regression_mean (&model->regression, &input)
                 + model->regression.noise / 2.0);
  return (gp_time_t)fmin (seconds * GP_SEC, (double)TASK_TIME_MAX);
}

gp_time_t
gp_forecast_learned_time (const gp_forecast_t *forecast, const char *queue,
                          const Gp__Jobs__Step *step)
{
  if (find_model (forecast, model_key (queue, step)) == NULL)
    return 0;
  return task_time (forecast, queue, step);
}

static double
spread_of (const gp_forecast_t *forecast, const char *queue,
           const Gp__Jobs__Step *step)
{
  const model_t *model = find_model (forecast, model_key (queue, step));

  if (step->count < SPREAD_TASKS_MIN)
    return 1.0;
  return model != NULL ? model->spread : SPREAD_PRIOR;
}

/* Returns the duration of the longest chain of SUBMISSION's steps, which take
   DURATIONS.  */
static gp_time_t
longest_chain (const Gp__Jobs__Submission *submission,
               const gp_time_t *durations)
{
  gp_time_t ends[GP_JOB_MAX_STEPS];
  gp_time_t longest = 0;

  for (size_t i = 0; i < submission->n_steps; i++)
    {
      const Gp__Jobs__Step *step = submission->steps[i];

      ends[i] = 0;
      for (size_t j = 0; j < step->n_after; j++)
        ends[i] = MAX (ends[i], ends[step->after[j]]);
      ends[i] += durations[i];
      longest = MAX (longest, ends[i]);
    }
  return longest;
}

/* Computes the expected duration of a task of each step.  */
static void
compute_task_times (const gp_forecast_t *forecast,
                    const Gp__Jobs__Submission *submission,
                    gp_time_t *task_times)
{
  for (size_t i = 0; i < submission->n_steps; i++)
    task_times[i]
        = task_time (forecast, submission->queue, submission->steps[i]);
}

/* Returns the objective of SUBMISSION, a duration, from the longest chain of
   all its steps, by the longest task of each step.  */
static gp_time_t
objective_of (const gp_forecast_t *forecast,
              const Gp__Jobs__Submission *submission,
              const gp_time_t *task_times)
{
  gp_time_t durations[GP_JOB_MAX_STEPS];

  for (size_t i = 0; i < submission->n_steps; i++)
    durations[i] = (gp_time_t)((double)task_times[i]
                               * spread_of (forecast, submission->queue,
                                            submission->steps[i]));
  return MIN (longest_chain (submission, durations), TASK_TIME_MAX)
             * submission->stretch_percent / 100
         + submission->target_ms * GP_MSEC;
}

static bool
is_done (const gp_job_t *job, uint32_t occurrence)
{
  const gp_step_tally_t *tallies = gp_job_tallies (job, occurrence);

  for (size_t i = 0; i < job->submission->n_steps; i++)
    if (tallies[i].done < job->submission->steps[i]->count)
      return false;
  return true;
}

/* Returns the time at which JOB's first unfinished occurrence is due to
   start.  */
static gp_time_t
next_start_at (const gp_job_t *job)
{
  uint32_t occurrence = 0;

  while (occurrence + 1 < job->occurrences && is_done (job, occurrence))
    occurrence++;
  return gp_job_occurrence_at (job, occurrence);
}

void
gp_forecast_job (const gp_forecast_t *forecast, gp_job_t *job, gp_time_t now)
{
  const Gp__Jobs__Submission *submission = job->submission;
  gp_time_t begin;
  gp_time_t objective;

  if (job->forecast_at != 0 && now < job->forecast_at + FORECAST_TIME)
    return;
  compute_task_times (forecast, submission, job->task_times);
  objective = objective_of (forecast, submission, job->task_times);
  begin = next_start_at (job);
  job->forecast_at = now;
  job->due_at = begin + objective;
  job->useless_at = begin + USELESS_FACTOR * objective;
}

void
gp_forecast_submission (const gp_forecast_t *forecast,
                        const Gp__Jobs__Submission *submission,
                        gp_forecast_times_t *times)
{
  compute_task_times (forecast, submission, times->task_times);
  times->chain = longest_chain (submission, times->task_times);
  times->useful = USELESS_FACTOR
                  * objective_of (forecast, submission, times->task_times);
}

/* Returns the remaining duration of one occurrence, by the mean of its tasks:
   a job must not be given up because its longest task might be late.  */
static gp_time_t
remaining_chain (const gp_job_t *job, const gp_step_tally_t *tallies)
{
  const Gp__Jobs__Submission *submission = job->submission;
  gp_time_t durations[GP_JOB_MAX_STEPS];

  for (size_t i = 0; i < submission->n_steps; i++)
    {
      durations[i] = 0;
      if (tallies[i].waiting > 0)
        durations[i] = job->task_times[i];
      else if (tallies[i].done < submission->steps[i]->count)
        durations[i] = job->task_times[i] / 2;
    }
  return longest_chain (submission, durations);
}

gp_time_t
gp_forecast_remaining (const gp_job_t *job)
{
  gp_time_t longest = 0;

  for (uint32_t k = 0; k < job->occurrences; k++)
    longest = MAX (longest, remaining_chain (job, gp_job_tallies (job, k)));
  return longest;
}

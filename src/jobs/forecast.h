/* Predicts how long tasks take, learned online.

   The estimates submitted with a job are rough, for some images more than for
   others.  For each image (or queue, if steps name no image), the logarithm of
   a run's duration is modelled as a linear function of the logarithm of its
   estimate, learned from runs that are done.  The longest task of a step is
   modelled as a learned multiple of the mean.  Without any data, estimates are
   used as they are.

   At most GP_FORECAST_IMAGES_MAX images are known; the one of which the last
   run was done longest ago is forgotten.  */

#ifndef GP_JOBS_FORECAST_H
#define GP_JOBS_FORECAST_H

#include "base/lru.h"
#include "jobs/job.h"

#define GP_FORECAST_IMAGES_MAX 1024

typedef struct
{
  gp_lru_t models; /* image to its model */
} gp_forecast_t;

void gp_forecast_init (gp_forecast_t *forecast);
void gp_forecast_finish (gp_forecast_t *forecast);

/* Learns that a task of STEP, from a job of QUEUE, was done by a run that took
   DURATION.  */
void gp_forecast_learn (gp_forecast_t *forecast, const char *queue,
                        const Gp__Jobs__Step *step, gp_time_t duration);

/* Learns from a STEP whose tasks are all done: the longest took LONGEST, and
   MEAN is the mean of all.  */
void gp_forecast_learn_spread (gp_forecast_t *forecast, const char *queue,
                               const Gp__Jobs__Step *step, gp_time_t longest,
                               gp_time_t mean);

/* Returns the expected duration of a task of STEP, from a job of QUEUE, or 0
   if nothing was learned about such tasks.  */
gp_time_t gp_forecast_learned_time (const gp_forecast_t *forecast,
                                    const char *queue,
                                    const Gp__Jobs__Step *step);

/* Appends what was learned to ROWS, as rows of Gp__Jobs__Forecast that point
   into FORECAST, of the most recently used images first, while they take at
   most MAX_SIZE bytes in a message.  */
void gp_forecast_pack (const gp_forecast_t *forecast, size_t max_size,
                       GArray *rows);
/* Returns whether ROW is within the bounds of what can be learned.  FALSE sets
   ERROR.  */
bool gp_forecast_check (const Gp__Jobs__Forecast *row, GError **error);
/* Takes over what another process has learned about an image.  Returns false
   and changes nothing if gp_forecast_check refuses ROW.  */
bool gp_forecast_set (gp_forecast_t *forecast, const Gp__Jobs__Forecast *row);

/* Updates JOB's task times and objective to what is known NOW, unless that was
   done recently.  A timed job has the objective of its first occurrence that
   is not done.  */
void gp_forecast_job (const gp_forecast_t *forecast, gp_job_t *job,
                      gp_time_t now);

/* What is expected of a submission on free executors, as durations.  */
typedef struct
{
  gp_time_t task_times[GP_JOB_MAX_STEPS]; /* of a task, by step */
  gp_time_t chain;  /* of its longest chain of steps, by the mean of their
                       tasks */
  gp_time_t useful; /* its result is useful for this long after its submission,
                       0: it has no objective */
} gp_forecast_times_t;

/* Computes TIMES of SUBMISSION, which has passed gp_job_check, without a
   job.  */
void gp_forecast_submission (const gp_forecast_t *forecast,
                             const Gp__Jobs__Submission *submission,
                             gp_forecast_times_t *times);

/* Returns the expected duration, on free executors, of the longest chain of
   steps that JOB still has to do.  JOB's forecast has to be up to date.  */
gp_time_t gp_forecast_remaining (const gp_job_t *job);

#endif

/* How long tasks take, learned online.

   The estimates that come with a job are rough, for some images more than for
   others.  So for each image (for each queue where steps name none) the
   logarithm of a run's duration is a line over the logarithm of its estimate,
   learned from runs that are done, and the longest task of a step is a learned
   multiple of the mean.  A process that knows nothing yet takes estimates as
   they are.  */

#ifndef GP_JOBS_FORECAST_H
#define GP_JOBS_FORECAST_H

#include "jobs/job.h"

typedef struct
{
  GHashTable *models; /* image to its model, owned */
} gp_forecast_t;

void gp_forecast_init (gp_forecast_t *forecast);
void gp_forecast_finish (gp_forecast_t *forecast);

/* A task of STEP, from a job of QUEUE, has been done by a run that took
   DURATION.  */
void gp_forecast_learn (gp_forecast_t *forecast, const char *queue,
                        const Gp__Jobs__Step *step, gp_time_t duration);

/* All tasks of STEP are done: the longest took LONGEST, MEAN is the mean of
   all.  */
void gp_forecast_learn_spread (gp_forecast_t *forecast, const char *queue,
                               const Gp__Jobs__Step *step, gp_time_t longest,
                               gp_time_t mean);

/* What was learned, as rows of Gp__Jobs__Forecast that point into FORECAST,
   are added to ROWS.  */
void gp_forecast_pack (const gp_forecast_t *forecast, GArray *rows);
/* Can ROW have been learned?  FALSE sets ERROR.  */
bool gp_forecast_check (const Gp__Jobs__Forecast *row, GError **error);
/* Take over what another has learned of an image; false, and nothing is
   changed, when ROW is none that gp_forecast_pack makes.  */
bool gp_forecast_set (gp_forecast_t *forecast, const Gp__Jobs__Forecast *row);

/* Bring JOB's task times and objective up to what is known NOW, unless that
   was done lately.  A timed job has the objective of its first occurrence that
   is not done.  */
void gp_forecast_job (const gp_forecast_t *forecast, gp_job_t *job,
                      gp_time_t now);

/* The expected duration of the longest chain of steps that JOB, whose
   forecast was made, still has to do on free executors.  */
gp_time_t gp_forecast_remaining (const gp_job_t *job);

#endif

/* Refuses submissions that cannot be done in time: answers, counts and logs
   what jobs/intake.h decides.  */

#ifndef GP_JOBSD_JOB_INTAKE_H
#define GP_JOBSD_JOB_INTAKE_H

#include "base/log_sampler.h"
#include "jobs/intake.h"
#include "jobsd/store_route.h"
#include "transport/http.h"

/* Admission at an entry.  */
typedef struct
{
  gp_intake_t decisions;
  const gp_room_reading_t *room; /* NULL: nothing is refused */
  const gp_forecast_t *forecast;
  const gp_store_route_t *route; /* has the other entries as peers */
  gp_log_sampler_t refusals;     /* by queue, as callers choose their ids */
  bool forecasts; /* the last decision on an eligible job used a forecast */
} gp_job_intake_t;

/* Nothing is refused until gp_job_intake_enable is called.  */
void gp_job_intake_init (gp_job_intake_t *intake);
void gp_job_intake_finish (gp_job_intake_t *intake);

/* From now on, submissions are refused by the newest record of ROOM, with the
   run times of FORECAST.  ROUTE gives the number of entries.  All have to
   outlive INTAKE.  */
void gp_job_intake_enable (gp_job_intake_t *intake,
                           const gp_room_reading_t *room,
                           const gp_forecast_t *forecast,
                           const gp_store_route_t *route);

/* Decides on SUBMISSION of the job ID, which arrives at NOW.  IRREFUSABLE: a
   record of the job is or may be on the log.  Returns whether the submission
   was refused; if so, EXCHANGE was answered and nothing else was done.  */
bool gp_job_intake_refuse (gp_job_intake_t *intake,
                           gp_http_exchange_t *exchange, const char *id,
                           const Gp__Jobs__Submission *submission,
                           bool irrefusable, gp_time_t now);

#endif

/* Responses to callers, and the timeouts that their requests state.  */

#ifndef GP_JOBSD_JOB_ANSWERS_H
#define GP_JOBSD_JOB_ANSWERS_H

#include "jobs/retry_after.h"
#include "transport/http.h"

/* Returns how long the caller of EXCHANGE waits for its response (a
   duration).  */
gp_time_t gp_job_caller_timeout (const gp_http_exchange_t *exchange);

/* Respond with the JSON text BODY.  */
void gp_job_answer (gp_http_exchange_t *exchange, int status,
                    const char *body);

/* Respond with the error message WHY.  */
void gp_job_answer_error (gp_http_exchange_t *exchange, int status,
                          const char *why);

/* The same with 503: nothing was done, and the caller is to retry after the
   time that follows from REFUSAL, whose timeout and jitter are filled in
   here.  */
void gp_job_refuse (gp_http_exchange_t *exchange, const char *why,
                    gp_retry_after_t refusal);

/* The same with a delay of SECONDS.  */
void gp_job_refuse_for (gp_http_exchange_t *exchange, const char *why,
                        unsigned seconds);

#endif

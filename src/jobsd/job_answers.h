/* Answers to callers, and what their requests tell of how long they wait.  */

#ifndef GP_JOBSD_JOB_ANSWERS_H
#define GP_JOBSD_JOB_ANSWERS_H

#include "jobs/retry_after.h"
#include "transport/http.h"

/* How long the caller of EXCHANGE waits for its answer (a duration).  */
gp_time_t gp_job_patience (const gp_http_exchange_t *exchange);

/* Answer with the JSON text BODY.  */
void gp_job_answer (gp_http_exchange_t *exchange, int status,
                    const char *body);

/* Answer that it failed and WHY.  */
void gp_job_answer_error (gp_http_exchange_t *exchange, int status,
                          const char *why);

/* The same with 503: nothing was done, and the caller is to come back by what
   REFUSAL says, in which timeout and jitter are filled in.  */
void gp_job_refuse (gp_http_exchange_t *exchange, const char *why,
                    gp_retry_after_t refusal);

#endif

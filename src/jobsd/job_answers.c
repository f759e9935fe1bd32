/* Responses to callers.  */

#include "jobsd/job_answers.h"

#include <stdlib.h>
#include <string.h>

#include "platform/jobs_http.h"

/* Timeout of a caller that states none, and upper limit of a stated one.  */
#define TIMEOUT_DEFAULT (3 * GP_SEC)
#define TIMEOUT_MAX (10 * GP_SEC)

gp_time_t
gp_job_caller_timeout (const gp_http_exchange_t *exchange)
{
  gp_http_text_t header
      = gp_http_exchange_header (exchange, GP_PLATFORM_TIMEOUT_HEADER);
  char text[32];
  gp_time_t stated;

  if (header.base == NULL || header.size >= sizeof text)
    return TIMEOUT_DEFAULT;
  memcpy (text, header.base, header.size);
  text[header.size] = '\0';
  stated = (gp_time_t)CLAMP (g_ascii_strtoll (text, NULL, 10), 0, INT32_MAX)
           * GP_MSEC;
  return stated > 0 ? MIN (stated, TIMEOUT_MAX) : TIMEOUT_DEFAULT;
}

void
gp_job_answer (gp_http_exchange_t *exchange, int status, const char *body)
{
  const gp_http_header_t type
      = gp_http_header_make ("content-type", "application/json");

  gp_http_exchange_answer (exchange, status, &type, 1, body, strlen (body));
}

void
gp_job_answer_error (gp_http_exchange_t *exchange, int status, const char *why)
{
  char *body = gp_platform_error_body (why);

  gp_job_answer (exchange, status, body);
  free (body);
}

void
gp_job_refuse_for (gp_http_exchange_t *exchange, const char *why,
                   unsigned seconds)
{
  char *body = gp_platform_error_body (why);
  char delay[16];

  g_snprintf (delay, sizeof delay, "%u", seconds);

  const gp_http_header_t headers[]
      = { gp_http_header_make ("content-type", "application/json"),
          gp_http_header_make ("retry-after", delay) };

  gp_http_exchange_answer (exchange, 503, headers, G_N_ELEMENTS (headers),
                           body, strlen (body));
  free (body);
}

void
gp_job_refuse (gp_http_exchange_t *exchange, const char *why,
               gp_retry_after_t refusal)
{
  refusal.timeout = gp_job_caller_timeout (exchange);
  refusal.jitter = g_random_int ();
  gp_job_refuse_for (exchange, why, gp_retry_after_s (&refusal));
}

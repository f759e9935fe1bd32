/* Refuses submissions that cannot be done in time.  */

#include "jobsd/job_intake.h"

#include "base/counters.h"
#include "base/log.h"
#include "jobsd/job_answers.h"

/* Maximum number of queues that the log sampler counts separately.  */
#define QUEUES_MAX 1000

static gp_counter_t no_room_count
    = GP_COUNTER ("jobs_refused_room_total",
                  "Submissions refused as there is too much work ahead");
static gp_counter_t too_long_count = GP_COUNTER (
    "jobs_refused_length_total",
    "Submissions refused as they take longer than their result is useful");
static gp_counter_t turns_count
    = GP_COUNTER ("jobs_refused_turns_total",
                  "Refused callers whose work counts until they come back");

void
gp_job_intake_init (gp_job_intake_t *intake)
{
  *intake = (gp_job_intake_t){ .forecasts = false };
  gp_intake_init (&intake->decisions);
  gp_log_sampler_init (&intake->refusals, QUEUES_MAX);
  gp_counter_register (&no_room_count);
  gp_counter_register (&too_long_count);
  gp_counter_register (&turns_count);
}

void
gp_job_intake_finish (gp_job_intake_t *intake)
{
  gp_intake_finish (&intake->decisions);
  gp_log_sampler_finish (&intake->refusals);
}

void
gp_job_intake_enable (gp_job_intake_t *intake, const gp_room_reading_t *room,
                      const gp_forecast_t *forecast,
                      const gp_store_route_t *route)
{
  intake->room = room;
  intake->forecast = forecast;
  intake->route = route;
}

/* Log when forecasts begin and when all jobs are accepted again for lack of
   one.  */
static void
note_forecasts (gp_job_intake_t *intake, const gp_intake_decision_t *decision)
{
  if (!decision->eligible || decision->forecast == intake->forecasts)
    return;
  intake->forecasts = decision->forecast;
  gp_log (GP_LOG_INFO, decision->forecast ? "intake.forecasts" : "intake.open",
          GP_LOG_I ("record_age_ms", decision->record_age / GP_MSEC));
}

static void
log_refusal (gp_job_intake_t *intake, const char *id,
             const Gp__Jobs__Submission *submission,
             const gp_intake_decision_t *decision, unsigned seconds)
{
  const gp_room_outlook_t *outlook = &decision->outlook;
  uint64_t count = gp_log_sampler_count (&intake->refusals, submission->queue);

  if (count == 0)
    return;
  gp_log (GP_LOG_WARNING, "job.refused", GP_LOG_S ("job", id),
          GP_LOG_S ("queue", submission->queue),
          GP_LOG_S ("why", gp_intake_cause (decision->verdict)),
          GP_LOG_I ("forecast_ms", (outlook->wait + outlook->own) / GP_MSEC),
          GP_LOG_I ("margin_ms", outlook->margin / GP_MSEC),
          GP_LOG_I ("useful_ms", decision->useful / GP_MSEC),
          GP_LOG_I ("record_age_ms", decision->record_age / GP_MSEC),
          GP_LOG_I ("error_permille", outlook->error_permille),
          GP_LOG_I ("delay_ms", outlook->delay / GP_MSEC),
          GP_LOG_I ("slack_ms", outlook->late ? outlook->slack / GP_MSEC : -1),
          GP_LOG_I ("reserved_ahead_ms", outlook->ahead.ms[GP_ROOM_RESERVED]),
          GP_LOG_I ("filling_ahead_ms", outlook->ahead.ms[GP_ROOM_FILLING]),
          GP_LOG_I ("retry_s", seconds), GP_LOG_I ("count", count));
}

bool
gp_job_intake_refuse (gp_job_intake_t *intake, gp_http_exchange_t *exchange,
                      const char *id, const Gp__Jobs__Submission *submission,
                      bool irrefusable, gp_time_t now)
{
  gp_intake_request_t request = { .id = id,
                                  .submission = submission,
                                  .forecast = intake->forecast,
                                  .room = intake->room,
                                  .timeout = gp_job_caller_timeout (exchange),
                                  .irrefusable = irrefusable };
  gp_intake_decision_t decision;
  unsigned seconds;

  if (intake->room == NULL)
    return false;
  request.entries = gp_relay_choice_peers (&intake->route->choice) + 1;
  decision = gp_intake_decide (&intake->decisions, &request, now);
  note_forecasts (intake, &decision);
  if (decision.verdict == GP_INTAKE_ACCEPTED)
    return false;
  gp_counter_add (decision.verdict == GP_INTAKE_TOO_LONG ? &too_long_count
                                                         : &no_room_count,
                  1);
  gp_counter_add (&turns_count, decision.keeps_turn);
  seconds = (unsigned)((decision.come_back_at - now + GP_SEC - 1) / GP_SEC);
  log_refusal (intake, id, submission, &decision, seconds);
  gp_job_refuse_for (exchange, gp_intake_cause (decision.verdict), seconds);
  return true;
}

/* Heartbeats of the executor on a guard's VM.

   A heartbeat may be delayed and arrive after its sender has crashed and
   another executor, or another incarnation of it, runs at the same address.
   If the delayed one were taken for the newest, the executor that is running
   would be declared dead and its runs started elsewhere; and start times come
   from a clock that may step back, so they do not show which incarnation is
   newer.  Therefore another incarnation than the current one is accepted only
   once the executor that answers at the VM's address has sent a list under
   that incarnation.  Answers to calls made before yet another incarnation was
   accepted do not count.

   For the same reason a heartbeat does not show that the current incarnation
   is still there.  Only an answer to a call does; a heartbeat causes a call.

   A malformed heartbeat changes nothing.  Nor does one that gives the current
   executor another service: an executor never changes its service, so the
   heartbeat is from another writer.  If such heartbeats continue, it was the
   first heartbeat that came from another writer, and the service that is
   repeated is accepted.  */

#include "jobsd/guard_private.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"
#include "platform/json.h"
#include "platform/refusals.h"

/* Limit of executors being identified at the same time.  Each takes a call,
   and the orders to the executor of this VM must not queue behind calls for
   ids that another writer makes up.  */
#define IDENTIFICATIONS_MAX 8
/* Consecutive heartbeats that have to give the current executor another
   service before it is accepted.  */
#define OTHER_SERVICE_MAX 3

/* Limit of identification calls to an executor that rejects them as it has
   seen a higher fence.  The fence is raised in doubling leaps, which exceed
   any time of day by then.  */
#define IDENTIFY_ATTEMPTS_MAX 40

static gp_counter_t incarnations_count
    = GP_COUNTER ("guard_lives_total", "Lives of executors that were met");

static gp_counter_t unproven_count = GP_COUNTER (
    "guard_beats_unproven_total",
    "Heartbeats of an executor that answered no calls at that time");

/* Limit of identification calls that go unanswered.  The connections to the
   previous incarnation may be silent, and each takes a call; the next call is
   made on a new one.  */
#define UNANSWERED_MAX (GP_RUNTIME_ORDER_CONNECTIONS + 1)

/* A heartbeat of an unknown incarnation, until that is identified.  */
typedef struct
{
  gp_job_guard_t *guard;
  gp_heartbeat_t heartbeat;
  uint64_t incarnation; /* current incarnation when the heartbeat arrived */
  int64_t fence;        /* fence of the last identification call */
  unsigned attempts;
  unsigned unanswered; /* how many of them had no answer */
} identification_t;

void
gp_guard_register_heartbeats (void)
{
  gp_counter_register (&incarnations_count);
  gp_counter_register (&unproven_count);
}

/* Returns whether HEARTBEAT is from the current incarnation.  */
static bool
is_current (const gp_job_guard_t *guard, const gp_heartbeat_t *heartbeat)
{
  return gp_agent_is_incarnation (&guard->agent, heartbeat->executor->id,
                                  heartbeat->executor->born_ms);
}

/* Counts a heartbeat of an executor that does not answer, and logs the first
   one since its last answer.  */
static void
note_unproven (gp_job_guard_t *guard, const gp_heartbeat_t *heartbeat)
{
  const gp_agent_t *agent = &guard->agent;
  gp_time_t now = gp_loop_now (&guard->loop);

  if (!gp_agent_is_down (agent, now))
    return;
  gp_counter_add (&unproven_count, 1);
  if (guard->unproven_after == agent->answered_at)
    return;
  guard->unproven_after = agent->answered_at;
  gp_log (GP_LOG_INFO, "heartbeat.unproven",
          GP_LOG_S ("executor", heartbeat->executor->id),
          GP_LOG_I ("seq", (int64_t)heartbeat->sequence),
          GP_LOG_I ("answered_ms_ago", (now - agent->answered_at) / GP_MSEC),
          GP_LOG_I ("runs", g_hash_table_size (agent->runs)));
}

/* Process a heartbeat of the current incarnation.  */
static void
apply_heartbeat (gp_job_guard_t *guard, gp_heartbeat_t *heartbeat)
{
  bool changed;

  if (heartbeat->sequence < guard->heartbeat_sequence)
    return;
  note_unproven (guard, heartbeat);
  changed = guard->agent.executor->draining != heartbeat->executor->draining;
  guard->heartbeat_sequence = heartbeat->sequence;
  gp_agent_set_executor (&guard->agent, g_steal_pointer (&heartbeat->executor),
                         heartbeat->clock_ms, gp_loop_now (&guard->loop));
  if (changed)
    gp_guard_send_report (guard);
  gp_guard_request_list (guard);
}

/* The incarnation that sent HEARTBEAT has answered with ANSWER, requested with
   FENCE: it is the current one from now on.  The report names it to the
   leader, together with what is left to report of the previous
   incarnation.  */
static void
accept_incarnation (gp_job_guard_t *guard, gp_heartbeat_t *heartbeat,
                    const gp_runtime_list_answer_t *answer, int64_t fence)
{
  gp_counter_add (&incarnations_count, 1);
  guard->heartbeat_sequence = heartbeat->sequence;
  gp_agent_set_executor (&guard->agent, g_steal_pointer (&heartbeat->executor),
                         heartbeat->clock_ms, gp_loop_now (&guard->loop));
  gp_guard_apply_list (guard, &answer->list, fence);
  gp_guard_send_report (guard);
  gp_guard_request_list (guard);
}

/* Count and log that the heartbeat of the executor ID was not confirmed.  */
static void
log_unconfirmed (const char *id, const char *why)
{
  GError *error
      = g_error_new_literal (GP_JSON_ERROR, GP_JSON_ERROR_IDENTITY, why);
  uint64_t count = gp_refusals_add (GP_REFUSED_HEARTBEAT, id, error);

  if (count > 0)
    gp_log (GP_LOG_INFO, "executor.unconfirmed", GP_LOG_S ("executor", id),
            GP_LOG_S ("why", why), GP_LOG_I ("count", count));
  g_error_free (error);
}

/* Reason for which ANSWER does not confirm the heartbeat; NULL if it does.  */
static const char *
rejection_reason (const identification_t *identification,
                  const gp_runtime_list_answer_t *answer)
{
  if (identification->incarnation
      != identification->guard->agent.incarnation_number)
    return "another incarnation was accepted in the meantime";
  if (answer->result == GP_AGENT_REPLACED)
    return "another executor answers at its address";
  if (answer->result != GP_AGENT_ACCEPTED)
    return "the executor does not answer";
  if (answer->born_ms != identification->heartbeat.executor->born_ms)
    return "another incarnation of it answers at its address";
  return NULL;
}

/* Returns whether to repeat the identification call, to which ANSWER is the
   result.  */
static bool
is_to_be_repeated (identification_t *identification,
                   const gp_runtime_list_answer_t *answer)
{
  gp_agent_t *agent = &identification->guard->agent;

  if (answer->result == GP_AGENT_FENCED
      && identification->attempts < IDENTIFY_ATTEMPTS_MAX)
    {
      gp_agent_fence_rejected (agent, identification->fence);
      return true;
    }
  return answer->result == GP_AGENT_UNANSWERED
         && identification->incarnation == agent->incarnation_number
         && ++identification->unanswered < UNANSWERED_MAX;
}

static void send_identify (identification_t *identification);

static void
on_identified (const gp_runtime_list_answer_t *answer, void *data)
{
  identification_t *identification = data;
  gp_job_guard_t *guard = identification->guard;
  gp_heartbeat_t *heartbeat = &identification->heartbeat;
  const char *reason = rejection_reason (identification, answer);

  gp_agent_raise_fence_to (&guard->agent, identification->fence);
  if (is_to_be_repeated (identification, answer))
    {
      send_identify (identification);
      return;
    }
  guard->identifications--;
  if (is_current (guard, heartbeat))
    apply_heartbeat (guard, heartbeat);
  else if (reason == NULL)
    accept_incarnation (guard, heartbeat, answer, identification->fence);
  else
    log_unconfirmed (heartbeat->executor->id, reason);
  gp_heartbeat_finish (heartbeat);
  g_free (identification);
}

/* Send an identification call.  Its fence is above those of all orders to the
   previous incarnation, including orders made until its answer arrives: once
   it is answered none of them can be carried out any more.  */
static void
send_identify (identification_t *identification)
{
  gp_job_guard_t *guard = identification->guard;
  const Gp__Jobs__Executor *executor = identification->heartbeat.executor;
  gp_runtime_order_t order
      = { .executor = executor->id,
          .born_ms = executor->born_ms,
          .deadline = gp_loop_now (&guard->loop) + GP_GUARD_ORDER_TIMEOUT };

  identification->fence = gp_agent_query_fence (&guard->agent);
  order.fence = identification->fence;
  identification->attempts++;
  gp_platform_runtime_identify (guard->runtime, &order, on_identified,
                                identification);
}

/* Takes ownership of HEARTBEAT; returns the HTTP status of the response.  */
static int
identify (gp_job_guard_t *guard, gp_heartbeat_t *heartbeat)
{
  identification_t *identification;

  if (guard->identifications >= IDENTIFICATIONS_MAX)
    {
      log_unconfirmed (heartbeat->executor->id,
                       "too many executors are being identified");
      return 503;
    }
  guard->identifications++;
  identification = g_new0 (identification_t, 1);
  identification->guard = guard;
  identification->heartbeat = *heartbeat;
  identification->incarnation = guard->agent.incarnation_number;
  heartbeat->executor = NULL;
  send_identify (identification);
  return 200;
}

/* Count and log ERROR, which is freed; returns the HTTP status of the
   response.  */
static int
reject (const char *id, GError *error)
{
  uint64_t count = gp_refusals_add (GP_REFUSED_HEARTBEAT, id, error);

  if (count > 0)
    gp_log (GP_LOG_WARNING, "heartbeat.malformed", GP_LOG_S ("executor", id),
            GP_LOG_S ("cause", gp_json_error_kind (error)),
            GP_LOG_S ("why", error->message), GP_LOG_I ("count", count));
  g_error_free (error);
  return 400;
}

void
gp_guard_reject_invalid_id (void)
{
  reject ("", g_error_new (GP_JSON_ERROR, GP_JSON_ERROR_RANGE,
                           "id: not a valid executor id"));
}

/* Returns an error if HEARTBEAT gives the current executor another
   service.  */
static GError *
check_service (gp_job_guard_t *guard, const gp_heartbeat_t *heartbeat)
{
  const char *service = heartbeat->executor->service;

  if (!is_current (guard, heartbeat))
    return NULL;
  if (strcmp (guard->agent.executor->service, service) == 0)
    {
      guard->other_service_count = 0;
      return NULL;
    }
  if (++guard->other_service_count >= OTHER_SERVICE_MAX)
    {
      guard->heartbeat_sequence = 0;
      return NULL;
    }
  return g_error_new (GP_JSON_ERROR, GP_JSON_ERROR_IDENTITY,
                      "service: '%s' is not the service of this executor",
                      service);
}

int
gp_guard_heartbeat (gp_job_guard_t *guard, const char *id, gp_http_text_t body)
{
  gp_heartbeat_t heartbeat = { 0 };
  GError *error = NULL;
  int status = 200;

  if (!gp_platform_heartbeat_parse (&heartbeat, id, body.base, body.size,
                                    &error))
    return reject (id, error);
  error = check_service (guard, &heartbeat);
  if (error != NULL)
    {
      gp_heartbeat_finish (&heartbeat);
      return reject (id, error);
    }
  if (is_current (guard, &heartbeat))
    apply_heartbeat (guard, &heartbeat);
  else
    status = identify (guard, &heartbeat);
  gp_heartbeat_finish (&heartbeat);
  return status;
}

/* Heartbeats of the executor on a guard's VM.

   A heartbeat may be delayed and arrive after its sender has crashed and
   another executor has come to the same address.  Taking the old one for the
   newest would declare the one that works dead and start its runs elsewhere.
   So an id that is not the current one only counts once the executor that
   answers at the VM's address has said that it is its own.

   A heartbeat that is not in form changes nothing, nor does one that gives the
   current executor another service: an executor keeps its service for life,
   so that another writer has sent it.  When that goes on, it is the first
   heartbeat that was another writer's, and the service that is told on and on
   is taken.  */

#include "jobsd/guard_private.h"

#include <string.h>

#include "base/log.h"
#include "platform/json.h"
#include "platform/refusals.h"

/* Executors that are identified at a time.  Each takes a call, and the orders
   of the executor that works here must not wait behind those for whatever ids
   another writer makes up.  */
#define INTRODUCTIONS_MAX 8
/* Heartbeats in a row that give the current executor another service before
   one is believed.  */
#define OTHER_SERVICE_MAX 3

/* A heartbeat of an executor that is not known yet, until it is identified.
 */
typedef struct
{
  gp_job_guard_t *guard;
  gp_heartbeat_t heartbeat;
} introduction_t;

static void
take_heartbeat (gp_job_guard_t *guard, gp_heartbeat_t *heartbeat)
{
  const char *id = heartbeat->executor->id;
  bool known = gp_guard_executor_is (guard, id);
  bool changed;

  if (known && heartbeat->sequence < guard->beat_sequence)
    return;
  changed
      = !known
        || guard->agent.executor->draining != heartbeat->executor->draining;
  guard->beat_sequence = heartbeat->sequence;
  gp_agent_set_executor (&guard->agent, g_steal_pointer (&heartbeat->executor),
                         heartbeat->clock_ms, gp_loop_now (&guard->loop));
  if (changed)
    gp_guard_send_report (guard);
  gp_guard_ask_list (guard);
}

/* Count and tell that the executor ID is not believed in.  */
static void
note_unconfirmed (const char *id, const char *why)
{
  GError *error
      = g_error_new_literal (GP_JSON_ERROR, GP_JSON_ERROR_IDENTITY, why);
  uint64_t refusals = gp_refusal_note (GP_REFUSED_HEARTBEAT, id, error);

  if (refusals > 0)
    gp_log (GP_LOG_INFO, "executor.unconfirmed", GP_LOG_S ("executor", id),
            GP_LOG_S ("why", why), GP_LOG_I ("count", refusals));
  g_error_free (error);
}

static void
on_identified (gp_agent_result_t result, int64_t clock_ms, void *data)
{
  introduction_t *introduction = data;
  const char *id = introduction->heartbeat.executor->id;

  introduction->guard->introductions--;
  if (result == GP_AGENT_REPLACED)
    note_unconfirmed (id, "another one answers at its address");
  else if (gp_agent_is_unanswered (result))
    note_unconfirmed (id, "no answer");
  else
    take_heartbeat (introduction->guard, &introduction->heartbeat);
  gp_heartbeat_finish (&introduction->heartbeat);
  g_free (introduction);
}

/* Takes HEARTBEAT over; returns the status to answer.  */
static int
identify (gp_job_guard_t *guard, gp_heartbeat_t *heartbeat)
{
  introduction_t *introduction;
  const gp_runtime_order_t order
      = { .executor = heartbeat->executor->id,
          .deadline = gp_loop_now (&guard->loop) + GP_GUARD_ORDER_TIME };

  if (guard->introductions >= INTRODUCTIONS_MAX)
    {
      note_unconfirmed (heartbeat->executor->id, "too many at a time");
      return 503;
    }
  guard->introductions++;
  introduction = g_new (introduction_t, 1);
  introduction->guard = guard;
  introduction->heartbeat = *heartbeat;
  heartbeat->executor = NULL;
  gp_platform_runtime_identify (guard->runtime, &order, on_identified,
                                introduction);
  return 200;
}

/* Count and tell ERROR, which is freed; returns the status to answer.  */
static int
refuse (const char *id, GError *error)
{
  uint64_t refusals = gp_refusal_note (GP_REFUSED_HEARTBEAT, id, error);

  if (refusals > 0)
    gp_log (GP_LOG_WARNING, "heartbeat.malformed", GP_LOG_S ("executor", id),
            GP_LOG_S ("cause", gp_json_error_kind (error)),
            GP_LOG_S ("why", error->message), GP_LOG_I ("count", refusals));
  g_error_free (error);
  return 400;
}

void
gp_guard_refuse_unnamed (void)
{
  refuse ("", g_error_new (GP_JSON_ERROR, GP_JSON_ERROR_RANGE,
                           "id: not an executor's"));
}

/* An error when HEARTBEAT gives the current executor another service.  */
static GError *
check_service (gp_job_guard_t *guard, const gp_heartbeat_t *heartbeat)
{
  const char *service = heartbeat->executor->service;

  if (!gp_guard_executor_is (guard, heartbeat->executor->id))
    return NULL;
  if (strcmp (guard->agent.executor->service, service) == 0)
    {
      guard->other_service = 0;
      return NULL;
    }
  if (++guard->other_service >= OTHER_SERVICE_MAX)
    {
      guard->beat_sequence = 0;
      return NULL;
    }
  return g_error_new (GP_JSON_ERROR, GP_JSON_ERROR_IDENTITY,
                      "service: '%s' is not the one of this executor",
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
    return refuse (id, error);
  error = check_service (guard, &heartbeat);
  if (error != NULL)
    {
      gp_heartbeat_finish (&heartbeat);
      return refuse (id, error);
    }
  if (gp_guard_executor_is (guard, id))
    take_heartbeat (guard, &heartbeat);
  else
    status = identify (guard, &heartbeat);
  gp_heartbeat_finish (&heartbeat);
  return status;
}

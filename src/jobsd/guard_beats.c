/* Heartbeats of the executor on a guard's VM.

   A heartbeat may be delayed and arrive after its sender has crashed and
   another executor has come to the same address.  Taking the old one for the
   newest would declare the one that works dead and start its runs elsewhere.
   So an id that is not the current one only counts once the executor that
   answers at the VM's address has said that it is its own.  */

#include "jobsd/guard_private.h"

#include "base/log.h"

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

static void
on_identified (gp_agent_result_t result, int64_t clock_ms, void *data)
{
  introduction_t *introduction = data;
  const char *id = introduction->heartbeat.executor->id;

  if (result == GP_AGENT_REPLACED || result == GP_AGENT_UNANSWERED
      || result == GP_AGENT_NOBODY)
    gp_log (GP_LOG_INFO, "executor.unconfirmed", GP_LOG_S ("executor", id),
            GP_LOG_S ("why", result == GP_AGENT_REPLACED
                                 ? "another one answers at its address"
                                 : "no answer"));
  else
    take_heartbeat (introduction->guard, &introduction->heartbeat);
  gp_heartbeat_finish (&introduction->heartbeat);
  g_free (introduction);
}

/* Takes HEARTBEAT over.  */
static void
identify (gp_job_guard_t *guard, gp_heartbeat_t *heartbeat)
{
  introduction_t *introduction = g_new (introduction_t, 1);
  const gp_runtime_order_t order
      = { .executor = heartbeat->executor->id,
          .deadline = gp_loop_now (&guard->loop) + GP_GUARD_ORDER_TIME };

  introduction->guard = guard;
  introduction->heartbeat = *heartbeat;
  heartbeat->executor = NULL;
  gp_platform_runtime_identify (guard->runtime, &order, on_identified,
                                introduction);
}

int
gp_guard_heartbeat (gp_job_guard_t *guard, const char *id, gp_http_text_t body)
{
  gp_heartbeat_t heartbeat = { 0 };
  GError *error = NULL;

  if (!gp_platform_heartbeat_parse (&heartbeat, id, body.base, body.size,
                                    &error))
    {
      gp_log (GP_LOG_WARNING, "heartbeat.malformed",
              GP_LOG_S ("why", error->message));
      g_error_free (error);
      return 400;
    }
  if (gp_guard_executor_is (guard, id))
    take_heartbeat (guard, &heartbeat);
  else
    identify (guard, &heartbeat);
  gp_heartbeat_finish (&heartbeat);
  return 200;
}

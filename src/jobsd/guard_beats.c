/* Heartbeats of the executor on a guard's VM.

   A heartbeat may be delayed and arrive after its sender has crashed and
   another executor, or another life of it, has come to the same address.
   Taking the old one for the newest would declare the one that works dead and
   start its runs elsewhere; and times of birth are by a clock that may step
   back, so they don't tell which life is newer.  So a life that is not the
   current one only counts once the executor that answers at the VM's address
   has listed under it.  Of answers that were asked for before another life was
   met, none counts.

   A heartbeat that is not in form changes nothing, nor does one that gives the
   current executor another service: an executor keeps its service for life,
   so that another writer has sent it.  When that goes on, it is the first
   heartbeat that was another writer's, and the service that is told on and on
   is taken.  */

#include "jobsd/guard_private.h"

#include <string.h>

#include "base/counters.h"
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

/* Questions to an executor that has seen a higher fence, until one is taken:
   leaps of the fence reach any time of day by then.  */
#define QUESTIONS_MAX 40

static gp_counter_t lives_count
    = GP_COUNTER ("guard_lives_total", "Lives of executors that were met");

/* A heartbeat of a life that is not known yet, until it is identified.  */
typedef struct
{
  gp_job_guard_t *guard;
  gp_heartbeat_t heartbeat;
  uint64_t life; /* the current one when it was asked for */
  int64_t fence; /* of the last question */
  unsigned questions;
} introduction_t;

void
gp_guard_register_beats (void)
{
  gp_counter_register (&lives_count);
}

/* Is HEARTBEAT of the life that works here?  */
static bool
is_current (const gp_job_guard_t *guard, const gp_heartbeat_t *heartbeat)
{
  return gp_agent_is_incarnation (&guard->agent, heartbeat->executor->id,
                                  heartbeat->executor->born_ms);
}

/* Of the current life.  */
static void
take_heartbeat (gp_job_guard_t *guard, gp_heartbeat_t *heartbeat)
{
  bool changed;

  if (heartbeat->sequence < guard->beat_sequence)
    return;
  changed = guard->agent.executor->draining != heartbeat->executor->draining;
  guard->beat_sequence = heartbeat->sequence;
  gp_agent_set_executor (&guard->agent, g_steal_pointer (&heartbeat->executor),
                         heartbeat->clock_ms, gp_loop_now (&guard->loop));
  if (changed)
    gp_guard_send_report (guard);
  gp_guard_ask_list (guard);
}

/* The life of HEARTBEAT has answered with LIST, asked for with FENCE: it works
   here from now on. The leader hears of it with what it has of the life
   before.  */
static void
meet (gp_job_guard_t *guard, gp_heartbeat_t *heartbeat,
      const gp_runtime_list_t *list, int64_t fence)
{
  gp_counter_add (&lives_count, 1);
  guard->beat_sequence = heartbeat->sequence;
  gp_agent_set_executor (&guard->agent, g_steal_pointer (&heartbeat->executor),
                         heartbeat->clock_ms, gp_loop_now (&guard->loop));
  gp_guard_take_list (guard, list, fence);
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

/* Why the heartbeat is not believed now that LIST has come, NULL: it is.  */
static const char *
doubt_of (const introduction_t *introduction, const gp_runtime_list_t *list)
{
  if (introduction->life != introduction->guard->agent.incarnation_number)
    return "another life was met meanwhile";
  if (list->result == GP_AGENT_REPLACED)
    return "another one answers at its address";
  if (list->result != GP_AGENT_ACCEPTED)
    return "no answer";
  if (list->born_ms != introduction->heartbeat.executor->born_ms)
    return "another life of it answers at its address";
  return NULL;
}

static void ask (introduction_t *introduction);

static void
on_identified (const gp_runtime_list_t *list, void *data)
{
  introduction_t *introduction = data;
  gp_job_guard_t *guard = introduction->guard;
  gp_heartbeat_t *heartbeat = &introduction->heartbeat;
  const char *doubt = doubt_of (introduction, list);

  gp_agent_raise_fence_to (&guard->agent, introduction->fence);
  if (list->result == GP_AGENT_FENCED
      && introduction->questions < QUESTIONS_MAX)
    {
      gp_agent_fence_rejected (&guard->agent, introduction->fence);
      ask (introduction);
      return;
    }
  guard->introductions--;
  if (is_current (guard, heartbeat))
    take_heartbeat (guard, heartbeat);
  else if (doubt == NULL)
    meet (guard, heartbeat, list, introduction->fence);
  else
    note_unconfirmed (heartbeat->executor->id, doubt);
  gp_heartbeat_finish (heartbeat);
  g_free (introduction);
}

/* Each question has a fence above all orders to the life before, also those
   that are made until its answer comes: with that none of them will be carried
   out any more.  */
static void
ask (introduction_t *introduction)
{
  gp_job_guard_t *guard = introduction->guard;
  const Gp__Jobs__Executor *executor = introduction->heartbeat.executor;
  gp_runtime_order_t order
      = { .executor = executor->id,
          .born_ms = executor->born_ms,
          .deadline = gp_loop_now (&guard->loop) + GP_GUARD_ORDER_TIME };

  introduction->fence = gp_agent_query_fence (&guard->agent);
  order.fence = introduction->fence;
  introduction->questions++;
  gp_platform_runtime_identify (guard->runtime, &order, on_identified,
                                introduction);
}

/* Takes HEARTBEAT over; returns the status to answer.  */
static int
identify (gp_job_guard_t *guard, gp_heartbeat_t *heartbeat)
{
  introduction_t *introduction;

  if (guard->introductions >= INTRODUCTIONS_MAX)
    {
      note_unconfirmed (heartbeat->executor->id, "too many at a time");
      return 503;
    }
  guard->introductions++;
  introduction = g_new0 (introduction_t, 1);
  introduction->guard = guard;
  introduction->heartbeat = *heartbeat;
  introduction->life = guard->agent.incarnation_number;
  heartbeat->executor = NULL;
  ask (introduction);
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

  if (!is_current (guard, heartbeat))
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
  if (is_current (guard, &heartbeat))
    take_heartbeat (guard, &heartbeat);
  else
    status = identify (guard, &heartbeat);
  gp_heartbeat_finish (&heartbeat);
  return status;
}

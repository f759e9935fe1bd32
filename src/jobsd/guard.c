/* The guard of a worker's VM: the only process that calls its executor.

   It answers the executor's heartbeats, keeps a list call open at all times,
   makes the calls that jobs/agent.c requests, and reports to the leading
   entry, which connects to it.  Each guard process announces its address in
   the log once.  */

#include "jobsd/guard_private.h"

#include <string.h>

#include "base/counters.h"
#include "base/histogram.h"
#include "base/log.h"
#include "jobs/grants.h"
#include "jobsd/frame_io.h"
#include "jobsd/metrics.h"

/* A heartbeat has a few hundred bytes; the platform allows more than this
   limit.  */
#define BODY_MAX ((size_t)64 * 1024)
#define HEADER_TIMEOUT (5 * GP_SEC)
#define CALLS_MAX 4
/* Starts end this long before an evacuation has to be in force: an order that
   gets no answer is abandoned after a third of this time.  */
#define ZONE_MARGIN GP_SEC
/* How long a stopping guard waits for an executor that has deregistered to
   end, and for a leader to record that.  A new leader usually takes over
   within 1.5 s, and the platform gives a process 6 s to stop.  */
#define STOP_TIMEOUT (4 * GP_SEC)

static gp_counter_t starts_count
    = GP_COUNTER ("guard_starts_total", "Start orders sent to the executor");
static gp_counter_t unanswered_count = GP_COUNTER (
    "guard_unanswered_total", "Orders that the executor did not answer");
static gp_counter_t fenced_count = GP_COUNTER (
    "guard_fenced_total",
    "Orders refused by an executor that has seen a higher fence");
static gp_counter_t paces_count
    = GP_COUNTER ("guard_paces_total", "Changes of a filling run's speed");

static gp_histogram_t order_time = GP_HISTOGRAM (
    "executor_order", "From an order to the executor's answer");
static gp_histogram_t record_time = GP_HISTOGRAM (
    "end_record",
    "From the first unrecorded end on the executor's list to its record");

/* An order in flight.  */
typedef struct
{
  gp_job_guard_t *guard;
  gp_agent_call_kind_t kind;
  uint64_t incarnation; /* incarnation that it is for, as counted by
                           gp_agent_t */
  int64_t fence;
  char name[GP_TASK_NAME_SIZE];
  uint32_t run;
  uint32_t percent; /* speed limit, for GP_AGENT_CALL_PACE */
  gp_time_t sent_at;
} order_t;

void
gp_guard_schedule_calls (gp_job_guard_t *guard)
{
  gp_deferred_schedule (&guard->call_round, &guard->loop);
}

static gp_time_t
now_of (gp_job_guard_t *guard)
{
  return gp_loop_now (&guard->loop);
}

static void
on_report_due (gp_timer_t *timer, void *data)
{
  gp_guard_send_report (data);
}

/* Stopping.  */

/* Returns whether there may be an end of an executor that only this process
   can report.  */
static bool
has_unrecorded_end (const gp_job_guard_t *guard)
{
  return guard->deregistration.executor != NULL
         || guard->executor_ends.since != 0;
}

static void
stop (gp_job_guard_t *guard)
{
  gp_log (GP_LOG_INFO, "process.stop",
          GP_LOG_I ("end_unrecorded", has_unrecorded_end (guard)));
  gp_loop_stop (&guard->loop);
}

void
gp_guard_stop_if_done (gp_job_guard_t *guard)
{
  if (guard->stopping && !has_unrecorded_end (guard))
    stop (guard);
}

static void
on_stop_timeout (gp_timer_t *timer, void *data)
{
  stop (data);
}

/* Calls to the executor.  */

bool
gp_guard_executor_is (const gp_job_guard_t *guard, const char *id)
{
  return guard->agent.executor != NULL
         && strcmp (guard->agent.executor->id, id) == 0;
}

static void
on_order_answered (gp_agent_result_t result, int64_t clock_ms, void *data)
{
  order_t *order = data;
  gp_job_guard_t *guard = order->guard;

  guard->calls_open--;
  if (gp_agent_is_unanswered (result))
    gp_counter_add (&unanswered_count, 1);
  else
    gp_histogram_add (&order_time, now_of (guard) - order->sent_at);
  gp_counter_add (&fenced_count, result == GP_AGENT_FENCED);
  if (order->incarnation == guard->agent.incarnation_number)
    {
      if (result == GP_AGENT_FENCED)
        gp_agent_fence_rejected (&guard->agent, order->fence);
      gp_agent_answered (&guard->agent, order->kind, order->name, order->run,
                         order->percent, result, clock_ms, now_of (guard));
    }
  g_free (order);
  gp_guard_schedule_calls (guard);
}

static void
send_call (gp_job_guard_t *guard, const gp_agent_call_t *call)
{
  static const ProtobufCBinaryData nothing = { 0, NULL };
  gp_agent_t *agent = &guard->agent;
  order_t *order = g_new0 (order_t, 1);
  const gp_runtime_order_t what
      = { .executor = agent->executor->id,
          .task = call->run->name,
          .run = call->run->run,
          .fence = agent->fence,
          .deadline = now_of (guard) + GP_GUARD_ORDER_TIMEOUT };
  const Gp__Jobs__Start *start = call->run->start;
  ProtobufCBinaryData spec = { 0, NULL };

  order->guard = guard;
  order->kind = call->kind;
  order->incarnation = agent->incarnation_number;
  order->fence = agent->fence;
  g_strlcpy (order->name, call->run->name, sizeof order->name);
  order->run = call->run->run;
  order->percent = call->percent;
  order->sent_at = now_of (guard);
  guard->calls_open++;
  switch (call->kind)
    {
    case GP_AGENT_CALL_START:
      gp_counter_add (&starts_count, 1);
      spec.data
          = (uint8_t *)g_bytes_get_data ((GBytes *)call->spec, &spec.len);
      gp_platform_runtime_start (guard->runtime, &what, &spec,
                                 start != NULL ? &start->checkpoint : &nothing,
                                 call->lease_ms, on_order_answered, order);
      break;
    case GP_AGENT_CALL_STOP:
      gp_platform_runtime_stop (guard->runtime, &what, on_order_answered,
                                order);
      break;
    case GP_AGENT_CALL_PACE:
      gp_counter_add (&paces_count, 1);
      gp_platform_runtime_limit_speed (guard->runtime, &what, call->percent,
                                       on_order_answered, order);
      break;
    case GP_AGENT_CALL_NONE:
      break;
    }
}

static void
send_calls (gp_job_guard_t *guard)
{
  gp_time_t again_at = GP_TIME_NEVER;

  while (guard->calls_open < CALLS_MAX && guard->agent.executor != NULL)
    {
      gp_agent_call_t call
          = gp_agent_next_call (&guard->agent, now_of (guard), &again_at);

      if (call.kind == GP_AGENT_CALL_NONE)
        break;
      send_call (guard, &call);
    }
  if (again_at != GP_TIME_NEVER)
    gp_timer_arm (&guard->retry_timer, again_at);
}

static void
on_calls_due (gp_timer_t *timer, void *data)
{
  gp_guard_schedule_calls (data);
}

static void
on_calls (gp_deferred_t *deferred)
{
  send_calls (GP_CONTAINER_OF (deferred, gp_job_guard_t, call_round));
}

/* HTTP requests of the executor.  */

static void
on_request (gp_http_exchange_t *exchange, void *data)
{
  gp_job_guard_t *guard = data;
  gp_http_text_t path = gp_http_exchange_path (exchange);
  char *id;
  int status = 404;

  switch (gp_platform_executor_request (path.base, path.size, &id))
    {
    case GP_EXECUTOR_REQUEST_HEARTBEAT:
      status
          = gp_guard_heartbeat (guard, id, gp_http_exchange_body (exchange));
      break;
    case GP_EXECUTOR_REQUEST_DEREGISTER:
      gp_guard_deregister (guard, id, gp_http_exchange_body (exchange));
      status = 200;
      break;
    case GP_EXECUTOR_REQUEST_INVALID_ID:
      gp_guard_reject_invalid_id ();
      status = 400;
      break;
    case GP_EXECUTOR_REQUEST_UNKNOWN:
      break;
    }
  g_free (id);
  gp_http_exchange_answer (exchange, status, NULL, 0, "{}", 2);
}

/* The leader.  */

static void
on_lead (gp_job_guard_t *guard, gp_peer_t *peer, const Gp__Jobs__Lead *lead)
{
  if (lead->epoch < guard->epoch)
    {
      gp_log (GP_LOG_INFO, "leader.outdated", GP_LOG_S ("leader", lead->node),
              GP_LOG_I ("epoch", lead->epoch),
              GP_LOG_I ("current", guard->epoch));
      gp_peer_close (peer, true);
      return;
    }
  if (guard->leader != NULL && guard->leader != peer)
    gp_peer_close (guard->leader, true);
  guard->leader = peer;
  guard->epoch = lead->epoch;
  gp_agent_clear_sync (&guard->agent);
  gp_guard_reset_sent_state (guard);
  gp_log (GP_LOG_INFO, "leader.known", GP_LOG_S ("leader", lead->node),
          GP_LOG_I ("epoch", lead->epoch));
  gp_guard_send_report (guard);
}

static void
measure_record_time (gp_job_guard_t *guard)
{
  if (guard->unrecorded_since == 0 || guard->agent.ends->len > 0)
    return;
  gp_histogram_add (&record_time, now_of (guard) - guard->unrecorded_since);
  guard->unrecorded_since = 0;
}

static void
on_acknowledge (gp_job_guard_t *guard, const Gp__Jobs__Acknowledge *message)
{
  gp_agent_acknowledged (&guard->agent, message->sent_at,
                         message->lead_age_ms > 0
                             ? (gp_time_t)message->lead_age_ms * GP_MSEC
                             : GP_GRANTS_TERM_TIME,
                         now_of (guard));
  if (message->zone_age_ms > 0)
    gp_agent_set_evacuated (&guard->agent, message->evacuated,
                            message->sent_at
                                - (gp_time_t)message->zone_age_ms * GP_MSEC);
  gp_guard_apply_model_update (guard, message);
}

static void
on_frame (gp_peer_t *peer, const uint8_t *bytes, size_t size, void *data)
{
  gp_job_guard_t *guard = data;
  Gp__Jobs__Frame *frame
      = gp_frame_receive (peer, &guard->refusals, now_of (guard), bytes, size);

  if (frame == NULL)
    return;
  if (frame->message_case == GP__JOBS__FRAME__MESSAGE_LEAD)
    on_lead (guard, peer, frame->lead);
  else if (frame->message_case == GP__JOBS__FRAME__MESSAGE_WANT_SPEC)
    gp_guard_specs_requested (&guard->specs, peer, frame->want_spec);
  else if (peer == guard->leader)
    switch (frame->message_case)
      {
      case GP__JOBS__FRAME__MESSAGE_ACKNOWLEDGE:
        on_acknowledge (guard, frame->acknowledge);
        break;
      case GP__JOBS__FRAME__MESSAGE_SYNC:
        gp_agent_sync (&guard->agent, frame->sync);
        gp_guard_send_report (guard);
        break;
      case GP__JOBS__FRAME__MESSAGE_ORDERS:
        gp_guard_specs_from_leader (&guard->specs, frame->orders->specs,
                                    frame->orders->n_specs);
        gp_agent_order (&guard->agent, frame->orders);
        measure_record_time (guard);
        gp_guard_reports_recorded (guard, frame->orders->recorded);
        break;
      case GP__JOBS__FRAME__MESSAGE__NOT_SET:
      case GP__JOBS__FRAME__MESSAGE_LEAD:
      case GP__JOBS__FRAME__MESSAGE_REPORT:
      case GP__JOBS__FRAME__MESSAGE_WANT_SPEC:
      case GP__JOBS__FRAME__MESSAGE_SPEC:
      default:
        break;
      }
  gp__jobs__frame__free_unpacked (frame, NULL);
  gp_guard_schedule_calls (guard);
}

static void
on_close (gp_peer_t *peer, const GError *reason, void *data)
{
  gp_job_guard_t *guard = data;

  gp_guard_specs_peer_closed (&guard->specs, peer);
  if (guard->leader != peer)
    return;
  guard->leader = NULL;
  gp_log (GP_LOG_INFO, "leader.lost",
          GP_LOG_S ("why", reason != NULL ? reason->message
                                          : "closed by this process"));
}

/* A specification was received, so runs can be started; or, if FAILED, it has
   to be requested from the leader.  */
static void
on_spec_change (bool failed, void *data)
{
  gp_job_guard_t *guard = data;

  if (failed)
    gp_guard_send_report (guard);
  gp_guard_schedule_calls (guard);
}

static void *
on_accept (gp_peer_t *peer, void *data)
{
  return data;
}

/* Initialization and shutdown.  */

static void
on_reload (void *data)
{
  const gp_job_guard_t *guard = data;

  gp_platform_settings_reload (guard->settings);
}

/* Before stopping, the guard waits until an executor that has just
   deregistered has ended, and until a leader has the ends of executors on
   record: no other process could report them, and the runs there would wait
   for leases to expire.  */
static void
on_stop (void *data)
{
  gp_job_guard_t *guard = data;

  if (guard->stopping)
    return;
  guard->stopping = true;
  gp_guard_send_report (guard);
  gp_timer_arm (&guard->stop_timer, now_of (guard) + STOP_TIMEOUT);
  gp_guard_stop_if_done (guard);
}

static void
register_counters (void)
{
  gp_counter_register (&starts_count);
  gp_counter_register (&unanswered_count);
  gp_counter_register (&fenced_count);
  gp_guard_register_heartbeats ();
  gp_agent_register_counters ();
  gp_guard_register_reports ();
  gp_histogram_register (&order_time);
  gp_histogram_register (&record_time);
  gp_counter_register (&paces_count);
}

static bool
open_servers (gp_job_guard_t *guard, GError **error)
{
  static const gp_peer_callbacks_t callbacks
      = { .on_frame = on_frame, .on_close = on_close };
  gp_http_server_options_t options = { .address = guard->settings->beats,
                                       .max_body_size = BODY_MAX,
                                       .header_timeout = HEADER_TIMEOUT,
                                       .limiter = &guard->limiters.callers,
                                       .buffers = gp_small_buffers,
                                       .on_request = on_request,
                                       .data = guard };

  guard->heartbeat_server = gp_http_server_new (&guard->loop, &options, error);
  if (guard->heartbeat_server == NULL)
    return false;
  options.address = guard->settings->metrics;
  options.limiter = &guard->limiters.internal;
  options.buffers = gp_large_buffers;
  options.on_request = gp_metrics_request;
  guard->metrics_server = gp_http_server_new (&guard->loop, &options, error);
  if (guard->metrics_server == NULL)
    return false;
  guard->peers = gp_peer_listen (&guard->loop, guard->settings->peers, NULL,
                                 &callbacks, on_accept, guard, error);
  if (guard->peers == NULL)
    return false;
  gp_peer_server_set_limiter (guard->peers, &guard->limiters.internal);
  return true;
}

/* How long the information that the zone is open remains valid: an order sent
   within this time has to arrive before the evacuation must be in force.  */
static gp_time_t
zone_validity (const gp_platform_settings_t *settings)
{
  if (settings->evacuation_time <= 0)
    return 0;
  return MAX (settings->evacuation_time - ZONE_MARGIN, GP_MSEC);
}

bool
gp_job_guard_init (gp_job_guard_t *guard,
                   const gp_platform_settings_t *settings, GError **error)
{
  memset (guard, 0, sizeof *guard);
  guard->settings = settings;
  if (!gp_loop_init (&guard->loop, error))
    return false;
  gp_process_limiters_init (&guard->limiters, &guard->loop,
                            settings->memory_bytes, settings->descriptors,
                            gp_small_buffers);
  gp_loop_on_signal (&guard->loop, on_stop, guard);
  gp_loop_on_reload (&guard->loop, on_reload, guard);
  register_counters ();
  gp_frame_io_register ();
  gp_traffic_reporter_init (&guard->traffic, &guard->loop);
  gp_refusals_init (&guard->refusals);
  gp_agent_init (&guard->agent, zone_validity (settings), now_of (guard));
  gp_agent_raise_fence_to (&guard->agent, gp_time_wall_ms ());
  gp_deferred_init (&guard->call_round, on_calls);
  gp_timer_init (&guard->report_timer, &guard->loop, on_report_due, guard);
  gp_timer_init (&guard->retry_timer, &guard->loop, on_calls_due, guard);
  gp_guard_list_init (guard);
  gp_guard_deregistration_init (guard);
  gp_guard_reports_init (guard);
  gp_guard_specs_init (&guard->specs, &guard->loop, &guard->agent.specs,
                       &guard->refusals, on_spec_change, guard);
  gp_timer_init (&guard->stop_timer, &guard->loop, on_stop_timeout, guard);
  guard->store = gp_platform_store_new (&guard->loop, settings->store,
                                        settings->link_rate, error);
  if (guard->store == NULL)
    return false;
  guard->runtime
      = gp_platform_runtime_new (&guard->loop, settings->executor, error);
  if (guard->runtime == NULL || !open_servers (guard, error))
    return false;
  gp_log (GP_LOG_INFO, "process.start", GP_LOG_S ("zone", settings->zone),
          GP_LOG_S ("executor", settings->executor),
          GP_LOG_S ("peers", settings->peers),
          GP_LOG_I ("link_rate", settings->link_rate));
  gp_announcer_start (&guard->announcer, &guard->loop, guard->store, settings,
                      settings->peers, true, (uint64_t)gp_time_wall ());
  return true;
}

void
gp_job_guard_run (gp_job_guard_t *guard)
{
  gp_loop_run (&guard->loop);
}

void
gp_job_guard_finish (gp_job_guard_t *guard)
{
  gp_timer_finish (&guard->report_timer);
  gp_timer_finish (&guard->retry_timer);
  gp_guard_list_finish (guard);
  gp_guard_deregistration_finish (guard);
  gp_guard_specs_finish (&guard->specs);
  gp_guard_reports_finish (guard);
  gp_traffic_reporter_finish (&guard->traffic);
  gp_timer_finish (&guard->stop_timer);
  gp_announcer_finish (&guard->announcer);
  gp_process_limiters_finish (&guard->limiters);
  gp_loop_finish (&guard->loop);
  gp_agent_finish (&guard->agent);
  gp_refusals_finish (&guard->refusals);
}

/* The guard: sessions, announcements, heartbeats, shutdown.  */

#include "daemon/guard.h"

#include "base/counters.h"
#include "base/error.h"
#include "base/log.h"
#include "daemon/program.h"
#include "daemon/view.h"
#include "daemon/execution_limits.h"

#define HEARTBEAT_JITTER 0.1
/* On a worker each lease renewal sends a heartbeat, which rearms the timer.
   The longer interval lets the timer fire only while there is no lease to
   renew.  */
#define WORKER_HEARTBEAT_FACTOR 1.5
#define CLOSE_GRACE (200 * GP_MSEC)
#define LEAVE_TIME (10 * GP_SEC)

static gp_counter_t entries_connected
    = GP_GAUGE ("guard_entries_connected", "Open sessions to entries.");
static gp_counter_t heartbeats_sent
    = GP_COUNTER ("guard_heartbeats_sent_total", "Heartbeats sent.");

static bool
has_upstream (const gp_guard_t *guard)
{
  return guard->settings->guard->upstream != NULL;
}

/* Announcements and heartbeats.  */

static void
announce (gp_guard_t *guard, gp_session_t *session)
{
  const gp_settings_guard_t *settings = guard->settings->guard;
  Gp__Wire__Announce message = GP__WIRE__ANNOUNCE__INIT;
  Gp__Wire__Upstream upstream = GP__WIRE__UPSTREAM__INIT;
  Gp__Wire__Resources capacity = GP__WIRE__RESOURCES__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (ANNOUNCE, announce, &message);

  message.state = guard->leaving
                      ? GP__WIRE__MEMBER_STATE__MEMBER_STATE_LEAVING
                      : GP__WIRE__MEMBER_STATE__MEMBER_STATE_SERVING;
  if (guard->settings->rack != NULL)
    message.rack = guard->settings->rack;
  if (settings->upstream != NULL && !guard->executor.down)
    {
      upstream.service = settings->upstream->service;
      upstream.slots = settings->upstream->slots;
      upstream.connections = settings->upstream->connections;
      message.upstream = &upstream;
    }
  if (settings->worker != NULL)
    {
      capacity.millicores = settings->worker->millicores;
      capacity.memory_mib = settings->worker->memory_mib;
      capacity.accelerators = settings->worker->accelerators;
      message.capacity = &capacity;
    }
  if (guard->runner != NULL)
    gp_runner_fill_announce (guard->runner, &message);
  gp_session_send (session, &envelope);
}

static void
send_heartbeat (gp_guard_t *guard, gp_session_t *session)
{
  Gp__Wire__Heartbeat heartbeat = GP__WIRE__HEARTBEAT__INIT;
  Gp__Wire__Load load = GP__WIRE__LOAD__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (HEARTBEAT, heartbeat, &heartbeat);

  heartbeat.sequence = guard->heartbeat_sequence;
  if (has_upstream (guard))
    {
      gp_executor_load (&guard->executor, &load);
      heartbeat.load = &load;
    }
  if (guard->runner != NULL)
    gp_runner_fill_heartbeat (guard->runner, &heartbeat);
  heartbeat.config_revision = gp_configuration_revision (guard->configuration);
  gp_counter_add (&heartbeats_sent, 1);
  gp_session_send (session, &envelope);
}

static void
arm_heartbeat (gp_guard_t *guard)
{
  double interval = (double)guard->settings->timings.heartbeat_ms * GP_MSEC
                    * g_rand_double_range (guard->rand, 1 - HEARTBEAT_JITTER,
                                           1 + HEARTBEAT_JITTER);

  if (guard->runner != NULL)
    interval *= WORKER_HEARTBEAT_FACTOR;
  gp_timer_arm (&guard->heartbeat,
                gp_loop_now (&guard->loop) + (gp_time_t)interval);
}

static void
send_heartbeats (gp_guard_t *guard)
{
  guard->heartbeat_sequence++;
  GP_LIST_FOREACH (pos, &guard->host.sessions)
  {
    gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (session->ready && gp_uplinks_is_home (&guard->uplinks, session))
      send_heartbeat (guard, session);
  }
  arm_heartbeat (guard);
}

static void
on_heartbeat (gp_timer_t *timer, void *data)
{
  (void)timer;
  send_heartbeats (data);
}

static void
send_state (gp_guard_t *guard, gp_session_t *session)
{
  Gp__Wire__ProcessState state = GP__WIRE__PROCESS_STATE__INIT;
  Gp__Wire__Envelope envelope
      = GP_ENVELOPE (PROCESS_STATE, process_state, &state);

  state.state = guard->leaving ? GP__WIRE__MEMBER_STATE__MEMBER_STATE_LEAVING
                               : GP__WIRE__MEMBER_STATE__MEMBER_STATE_SERVING;
  state.config_revision = gp_configuration_revision (guard->configuration);
  gp_session_send (session, &envelope);
}

/* Sessions.  */

static void
on_ready (gp_session_t *session, void *data)
{
  gp_guard_t *guard = data;

  /* Recorded before the announcement is sent, so that events caused by the
     announcement come later in the timeline.  */
  gp_program_record_event (&guard->timeline, GP_TIMELINE_PEER_UP,
                           session->process);
  gp_uplinks_on_ready (&guard->uplinks, session);
  gp_counter_add (&entries_connected, 1);
  gp_log (GP_LOG_INFO, "session.open", GP_LOG_S ("entry", session->process));
  if (has_upstream (guard))
    {
      gp_execution_set_t *set = g_new0 (gp_execution_set_t, 1);

      gp_execution_set_init (set, &guard->executor, session);
      session->object = set;
    }
  announce (guard, session);
  if (guard->runner != NULL)
    gp_runner_on_ready (guard->runner, session);
  gp_configuration_on_ready (guard->configuration, session);
  send_state (guard, session);
  if (gp_uplinks_is_home (&guard->uplinks, session))
    send_heartbeat (guard, session);
}

static void
on_request_message (gp_execution_set_t *set,
                    const Gp__Wire__Envelope *envelope)
{
  switch (envelope->message_case)
    {
    case GP__WIRE__ENVELOPE__MESSAGE_REQUEST:
      gp_execution_set_request (set, envelope->request);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_REQUEST_PART:
      gp_execution_set_part (set, envelope->request_part);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_CANCEL:
      gp_execution_set_cancel (set, envelope->cancel->id);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_CREDIT:
      gp_execution_set_credit (set, envelope->credit);
      break;
    default:
      break;
    }
}

static void
on_message (gp_session_t *session, const Gp__Wire__Envelope *envelope,
            void *data)
{
  gp_guard_t *guard = data;

  if (session->object != NULL)
    on_request_message (session->object, envelope);
  if (envelope->message_case == GP__WIRE__ENVELOPE__MESSAGE_VIEW_ASK)
    gp_view_serve (session, &guard->timeline, envelope->view_ask);
  if (guard->runner != NULL)
    gp_runner_on_message (guard->runner, session, envelope);
  gp_configuration_on_message (guard->configuration, session, envelope);
}

static void
on_drain (gp_session_t *session, void *data)
{
  (void)data;
  if (session->object != NULL)
    gp_execution_set_drain (session->object);
}

static void
on_close (gp_session_t *session, bool ready, const GError *reason, void *data)
{
  gp_guard_t *guard = data;

  gp_configuration_on_closed (guard->configuration, session);
  if (ready)
    {
      gp_counter_add (&entries_connected, -1);
      gp_program_record_event (&guard->timeline, GP_TIMELINE_PEER_DOWN,
                               session->process);
      gp_log (GP_LOG_INFO, "session.closed",
              GP_LOG_S ("entry", session->process),
              GP_LOG_S ("reason", reason != NULL ? reason->message : "left"));
    }
  if (session->object != NULL)
    {
      gp_execution_set_finish (session->object);
      g_free (session->object);
      session->object = NULL;
    }
  gp_uplinks_on_close (&guard->uplinks, session);
}

static const gp_session_callbacks_t session_callbacks = {
  .on_ready = on_ready,
  .on_message = on_message,
  .on_drain = on_drain,
  .on_close = on_close,
};

static void
announce_all (gp_guard_t *guard)
{
  GP_LIST_FOREACH (pos, &guard->host.sessions)
  {
    gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (session->ready)
      announce (guard, session);
  }
}

/* The upstream went down or came up.  */
static void
on_upstream_change (void *data)
{
  announce_all (data);
}

/* Shutdown.  */

static void
on_sessions_closed (gp_timer_t *timer, void *data)
{
  gp_guard_t *guard = data;

  (void)timer;
  gp_loop_stop (&guard->loop);
}

static void
on_component_drained (void *data)
{
  gp_guard_t *guard = data;

  if (--guard->components_draining > 0)
    return;
  gp_log (GP_LOG_INFO, "guard.drained");
  gp_session_host_close (&guard->host);
  guard->heartbeat.cb = on_sessions_closed;
  gp_timer_arm (&guard->heartbeat, gp_loop_now (&guard->loop) + CLOSE_GRACE);
}

static void
on_stop (void *data)
{
  gp_guard_t *guard = data;

  if (guard->leaving)
    return;
  guard->leaving = true;
  gp_log (GP_LOG_INFO, "guard.leaving");
  gp_program_record_event (&guard->timeline, GP_TIMELINE_PROCESS_STOP,
                           guard->settings->name);
  gp_uplinks_stop (&guard->uplinks);
  announce_all (guard);
  guard->components_draining = has_upstream (guard) + (guard->runner != NULL);
  if (has_upstream (guard))
    gp_executor_leave (&guard->executor, on_component_drained, guard);
  if (guard->runner != NULL)
    gp_runner_leave (guard->runner, gp_loop_now (&guard->loop) + LEAVE_TIME,
                     on_component_drained, guard);
}

/* The lease has a new incarnation, or the worker has changed.  */
static void
on_runner_announcement_changed (void *data)
{
  announce_all (data);
}

static void
on_runner_heartbeat_due (void *data)
{
  gp_guard_t *guard = data;

  /* Once everything has drained, the heartbeat timer is used to stop the
     event loop and must not be rearmed.  */
  if (!guard->leaving || guard->components_draining > 0)
    send_heartbeats (guard);
}

static void
on_configuration (const gp_document_t *document, uint64_t revision, void *data)
{
  gp_guard_t *guard = data;

  gp_log (GP_LOG_INFO, "configuration.in-force",
          GP_LOG_I ("revision", revision));
  GP_LIST_FOREACH (pos, &guard->host.sessions)
  {
    gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (session->ready)
      send_state (guard, session);
  }
  if (has_upstream (guard))
    gp_executor_configure (&guard->executor, document);
}

static bool
start_components (gp_guard_t *guard, GError **error)
{
  const gp_settings_t *settings = guard->settings;
  const gp_runner_callbacks_t callbacks
      = { .on_announcement_changed = on_runner_announcement_changed,
          .on_heartbeat_due = on_runner_heartbeat_due,
          .data = guard };

  guard->events = g_new0 (gp_timeline_event_t, GP_GUARD_TIMELINE_SIZE);
  gp_timeline_init (&guard->timeline, settings->name, guard->incarnation,
                    guard->events, GP_GUARD_TIMELINE_SIZE);
  guard->host.timeline = &guard->timeline;
  gp_program_record_event (&guard->timeline, GP_TIMELINE_PROCESS_START,
                           guard->settings->name);
  guard->configuration = gp_configuration_new (
      &guard->host, NULL, &guard->timeline, on_configuration, guard);
  if (has_upstream (guard)
      && !gp_executor_init (&guard->executor, &guard->loop,
                            settings->guard->upstream, guard->incarnation,
                            settings->timings.stall_ms * GP_MSEC, error))
    return false;
  if (settings->guard->worker == NULL)
    return true;
  guard->runner
      = gp_runner_new (&guard->host, settings, guard->incarnation, guard->rand,
                       &guard->timeline, &callbacks, error);
  return guard->runner != NULL;
}

bool
gp_guard_init (gp_guard_t *guard, const gp_settings_t *settings,
               GError **error)
{
  gp_identity_t self
      = { .site = settings->site,
          .process = settings->name,
          .role = GP__WIRE__ROLE__ROLE_GUARD,
          .region = settings->region,
          .zone = settings->zone,
          .address
          = settings->guard->peers != NULL ? settings->guard->peers : "" };

  *guard = (gp_guard_t){ .settings = settings };
  guard->incarnation = (uint64_t)gp_time_wall ();
  self.incarnation = guard->incarnation;
  if (!gp_program_load_tls (settings, &guard->tls, error)
      || !gp_loop_init (&guard->loop, error))
    return false;
  gp_process_limiters_init (&guard->limiters, &guard->loop,
                            settings->memory_mib * GP_PROCESS_MIB, 0,
                            gp_large_buffers);
  guard->rand = g_rand_new ();
  gp_counter_register (&entries_connected);
  gp_counter_register (&heartbeats_sent);
  gp_session_host_init (&guard->host, &guard->loop, guard->tls, &self,
                        &session_callbacks, guard);
  if (!start_components (guard, error))
    return false;
  if (settings->guard->peers != NULL
      && !gp_session_host_listen (&guard->host, settings->guard->peers,
                                  &guard->limiters.internal, error))
    return false;
  gp_timer_init (&guard->heartbeat, &guard->loop, on_heartbeat, guard);
  arm_heartbeat (guard);
  if (has_upstream (guard))
    gp_executor_watch (&guard->executor, on_upstream_change, guard);
  gp_uplinks_init (&guard->uplinks, &guard->host, settings, guard->rand);
  gp_loop_on_signal (&guard->loop, on_stop, guard);
  return true;
}

void
gp_guard_run (gp_guard_t *guard)
{
  gp_log (GP_LOG_INFO, "guard.started",
          GP_LOG_I ("incarnation", guard->incarnation));
  gp_loop_run (&guard->loop);
  gp_log (GP_LOG_INFO, "guard.stopped");
}

void
gp_guard_finish (gp_guard_t *guard)
{
  gp_uplinks_stop (&guard->uplinks);
  gp_session_host_finish (&guard->host);
  gp_uplinks_close (&guard->uplinks);
  gp_timer_finish (&guard->heartbeat);
  if (has_upstream (guard))
    gp_executor_finish (&guard->executor);
  if (guard->runner != NULL)
    gp_runner_free (guard->runner);
  gp_configuration_free (guard->configuration);
  g_free (guard->events);
  gp_process_limiters_finish (&guard->limiters);
  gp_loop_finish (&guard->loop);
  gp_uplinks_finish (&guard->uplinks);
  if (guard->tls != NULL)
    gp_tls_free (guard->tls);
  g_rand_free (guard->rand);
}

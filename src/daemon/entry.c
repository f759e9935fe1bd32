/* The entry process: listeners, session callbacks and graceful shutdown.  */

#include "daemon/entry.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"
#include "daemon/laggards.h"
#include "daemon/operators.h"
#include "daemon/program.h"
#include "daemon/text.h"

#define CLOSE_GRACE (200 * GP_MSEC)

/* Guards try to reconnect to a lost entry at least every two seconds, so by
   then every guard has had a chance to connect.  */
#define OPENING_TIMEOUT (2500 * GP_MSEC)
#define OPENING_QUIET_TIME (100 * GP_MSEC)
#define READY_PATH "/-/ready"

/* Sessions.  */

static void
send_state (gp_entry_t *entry, gp_session_t *session)
{
  Gp__Wire__ProcessState state = GP__WIRE__PROCESS_STATE__INIT;
  Gp__Wire__Envelope envelope
      = GP_ENVELOPE (PROCESS_STATE, process_state, &state);

  state.state = entry->leaving ? GP__WIRE__MEMBER_STATE__MEMBER_STATE_LEAVING
                               : GP__WIRE__MEMBER_STATE__MEMBER_STATE_SERVING;
  state.config_revision = gp_configuration_revision (entry->configuration);
  gp_session_send (session, &envelope);
}

/* Sends the state of this process to all other entries.  */
static void
broadcast_state (gp_entry_t *entry)
{
  GP_LIST_FOREACH (pos, &entry->host.sessions)
  {
    gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (session->ready && session->role == GP__WIRE__ROLE__ROLE_ENTRY)
      send_state (entry, session);
  }
}

static void
on_ready (gp_session_t *session, void *data)
{
  gp_entry_t *entry = data;

  if (session->owner != NULL)
    gp_dialer_on_ready (session->owner);
  gp_processes_session_opened (&entry->processes, session, gp_time_wall ());
  gp_program_record_event (&entry->timeline, GP_TIMELINE_PEER_UP,
                           session->process);
  if (session->role == GP__WIRE__ROLE__ROLE_ENTRY)
    send_state (entry, session);
  gp_log (GP_LOG_INFO, "session.open", GP_LOG_S ("peer", session->process),
          GP_LOG_I ("incarnation", session->incarnation));
  if (session->role == GP__WIRE__ROLE__ROLE_ENTRY)
    gp_news_on_ready (&entry->news, session);
  gp_configuration_on_ready (entry->configuration, session);
}

static void
on_announce (gp_entry_t *entry, gp_session_t *session,
             const Gp__Wire__Announce *announce)
{
  if (session->role != GP__WIRE__ROLE__ROLE_GUARD
      || !gp_routes_announce (&entry->routes, session, announce))
    gp_session_close (session, true);
}

static void
on_view_ask (gp_entry_t *entry, gp_session_t *session,
             const Gp__Wire__ViewAsk *ask)
{
  if (ask->process[0] != '\0'
      && strcmp (ask->process, entry->settings->name) != 0)
    gp_views_forward (&entry->views, session, ask);
  else if (ask->kind == GP__WIRE__VIEW_KIND__VIEW_KIND_LAGGARDS)
    gp_laggards_answer (entry, session, ask);
  else
    gp_view_serve (session, &entry->timeline, ask);
}

static void
on_message (gp_session_t *session, const Gp__Wire__Envelope *envelope,
            void *data)
{
  gp_entry_t *entry = data;

  gp_news_on_message (&entry->news, session, envelope);
  switch (envelope->message_case)
    {
    case GP__WIRE__ENVELOPE__MESSAGE_ANNOUNCE:
      on_announce (entry, session, envelope->announce);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_HEARTBEAT:
      gp_processes_set_revision (&entry->processes, session,
                                 envelope->heartbeat->config_revision,
                                 gp_time_wall ());
      gp_routes_heartbeat (&entry->routes, session, envelope->heartbeat);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_ANSWER:
      gp_relays_on_answer (&entry->relays, session, envelope->answer);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_ANSWER_PART:
      gp_relays_on_part (&entry->relays, session, envelope->answer_part);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_BROKEN:
      gp_relays_on_broken (&entry->relays, session, envelope->broken);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_PROCESS_STATE:
      gp_processes_set_state (&entry->processes, session,
                              envelope->process_state, gp_time_wall ());
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_VIEW_ASK:
      on_view_ask (entry, session, envelope->view_ask);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_VIEW:
      gp_views_on_view (&entry->views, session, envelope->view);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_MEMBERS:
      gp_routes_apply_changes (&entry->routes);
      break;
    default:
      break;
    }
  gp_tasks_on_message (entry->tasks, session, envelope);
  gp_configuration_on_message (entry->configuration, session, envelope);
}

static void
on_drain (gp_session_t *session, void *data)
{
  gp_entry_t *entry = data;

  if (session->object != NULL)
    gp_relays_on_session_writable (&entry->relays, session->object);
}

static void
on_close (gp_session_t *session, bool ready, const GError *reason, void *data)
{
  gp_entry_t *entry = data;

  if (session->owner != NULL)
    gp_dialer_on_close (session->owner);
  if (!ready)
    return;
  gp_log (GP_LOG_INFO, "session.closed", GP_LOG_S ("peer", session->process),
          GP_LOG_S ("reason", reason != NULL ? reason->message : "left"));
  gp_processes_session_closed (&entry->processes, session, gp_time_wall ());
  gp_program_record_event (&entry->timeline, GP_TIMELINE_PEER_DOWN,
                           session->process);
  gp_views_on_closed (&entry->views, session);
  gp_news_on_closed (&entry->news, session);
  if (session->object != NULL)
    gp_relays_on_session_closed (&entry->relays, session);
  gp_tasks_on_closed (entry->tasks, session);
  gp_configuration_on_closed (entry->configuration, session);
  if (session->role == GP__WIRE__ROLE__ROLE_GUARD)
    gp_routes_session_closed (&entry->routes, session);
}

static const gp_session_callbacks_t session_callbacks = {
  .on_ready = on_ready,
  .on_message = on_message,
  .on_drain = on_drain,
  .on_close = on_close,
};

/* Callers.  */

static void
answer_ready (const gp_entry_t *entry, gp_http_exchange_t *exchange)
{
  if (entry->leaving)
    gp_http_exchange_answer (exchange, 503, NULL, 0, "leaving\n", 8);
  else
    gp_http_exchange_answer (exchange, 200, NULL, 0, "ready\n", 6);
}

static void
on_caller (gp_http_exchange_t *exchange, void *data)
{
  gp_entry_t *entry = data;

  if (gp_http_text_equal (gp_http_exchange_path (exchange), READY_PATH))
    answer_ready (entry, exchange);
  else
    gp_relays_on_request (exchange, &entry->relays);
}

/* Shutdown.  */

static void
on_close_grace_over (gp_timer_t *timer, void *data)
{
  gp_entry_t *entry = data;

  (void)timer;
  gp_loop_stop (&entry->loop);
}

static void
on_callers_closed (void *data)
{
  gp_entry_t *entry = data;

  gp_log (GP_LOG_INFO, "entry.drained");
  entry->callers = NULL;
  for (size_t i = 0; i < entry->dialer_count; i++)
    gp_dialer_stop (&entry->dialers[i]);
  gp_session_host_close (&entry->host);
  entry->stop_timer.cb = on_close_grace_over;
  gp_timer_arm (&entry->stop_timer, gp_loop_now (&entry->loop) + CLOSE_GRACE);
}

static void
on_leave_delay_over (gp_timer_t *timer, void *data)
{
  gp_entry_t *entry = data;

  (void)timer;
  gp_http_server_shutdown (entry->callers, on_callers_closed, entry);
}

static void
on_stop (void *data)
{
  gp_entry_t *entry = data;

  if (entry->leaving)
    return;
  entry->leaving = true;
  gp_log (GP_LOG_INFO, "entry.leaving");
  gp_program_record_event (&entry->timeline, GP_TIMELINE_PROCESS_STOP,
                           entry->settings->name);
  broadcast_state (entry);
  gp_http_server_disable_keepalive (entry->callers);
  gp_timer_arm (&entry->stop_timer,
                gp_loop_now (&entry->loop)
                    + entry->settings->timings.leave_ms * GP_MSEC);
}

static gp_http_server_options_t
caller_options (gp_entry_t *entry)
{
  const gp_settings_entry_t *settings = entry->settings->entry;

  return (gp_http_server_options_t){
    .address = settings->callers,
    .bind_only = true,
    .max_body_size = settings->max_body_kib * 1024UL,
    .header_timeout = entry->settings->timings.header_ms * GP_MSEC,
    .limiter = &entry->limiters.callers,
    .buffers = gp_large_buffers,
    .on_request = on_caller,
    .data = entry
  };
}

/* Starts accepting callers, once: when no new upstream has appeared for
   OPENING_QUIET_TIME, or at OPENING_TIMEOUT after the start.  If it accepted
   requests earlier, the entry would refuse some that other entries could
   serve.  */
static void
open_to_callers (gp_entry_t *entry)
{
  gp_timer_disarm (&entry->opening_timer);
  if (entry->open || entry->leaving)
    return;
  entry->open = true;
  gp_http_server_listen (entry->callers);
  gp_log (GP_LOG_INFO, "entry.open");
}

static void
on_target_added (void *data)
{
  gp_entry_t *entry = data;

  if (!entry->open)
    gp_timer_arm (
        &entry->opening_timer,
        MIN (gp_loop_now (&entry->loop) + OPENING_QUIET_TIME, entry->open_at));
}

static void
on_opening_timer (gp_timer_t *timer, void *data)
{
  (void)timer;
  open_to_callers (data);
}

static bool
listen_http (gp_entry_t *entry, GError **error)
{
  gp_http_server_options_t options = caller_options (entry);

  entry->callers = gp_http_server_new (&entry->loop, &options, error);
  if (entry->callers == NULL)
    return false;
  options.bind_only = false;
  if (entry->settings->entry->operators == NULL)
    return true;
  options.address = entry->settings->entry->operators;
  options.limiter = &entry->limiters.internal;
  options.on_request = gp_operators_on_request;
  entry->operators = gp_http_server_new (&entry->loop, &options, error);
  return entry->operators != NULL;
}

static void
on_configuration (const gp_document_t *document, uint64_t revision, void *data)
{
  gp_entry_t *entry = data;

  gp_log (GP_LOG_INFO, "configuration.in-force",
          GP_LOG_I ("revision", revision));
  entry->config_since_us = gp_time_wall ();
  broadcast_state (entry);
  gp_routes_set_evacuated_zones (
      &entry->routes, document != NULL ? document->evacuated_zones : NULL,
      document != NULL ? document->evacuated_zones_count : 0);
  gp_relays_set_document (&entry->relays, document);
  gp_tasks_set_document (entry->tasks, document, revision);
}

/* Maps the state of a member to a timeline event; false if it has none.  */
static bool
timeline_kind_of (gp_member_state_t state, gp_timeline_kind_t *kind)
{
  switch (state)
    {
    case GP_MEMBER_SERVING:
      *kind = GP_TIMELINE_MEMBER_SERVING;
      return true;
    case GP_MEMBER_LEAVING:
      *kind = GP_TIMELINE_MEMBER_LEAVING;
      return true;
    case GP_MEMBER_GONE:
      *kind = GP_TIMELINE_MEMBER_GONE;
      return true;
    case GP_MEMBER_JOINING:
    case GP_MEMBER_SUSPECT:
      break;
    }
  return false;
}

static void
add_member_event (gp_entry_t *entry, const gp_member_t *member)
{
  const gp_timeline_subject_t subject = { .vm = member->announcement.name };
  gp_timeline_kind_t kind = GP_TIMELINE_MEMBER_GONE;

  if (timeline_kind_of (member->state, &kind))
    gp_timeline_append (&entry->timeline, kind, &subject, NULL,
                        gp_time_wall ());
}

static void
on_member_change (gp_member_t *member, void *data)
{
  gp_entry_t *entry = data;

  add_member_event (entry, member);
  gp_downlinks_on_member (&entry->downlinks, member);
  gp_news_schedule (&entry->news);
  gp_tasks_on_member (entry->tasks, member);
}

static void
on_target_suspect (gp_target_t *target, void *data)
{
  gp_entry_t *entry = data;

  gp_relays_on_suspect (&entry->relays, target);
}

/* Each pair of entries shares one session, opened by the one that comes first
   in the settings.  */
static void
start_dialers (gp_entry_t *entry)
{
  const gp_settings_t *settings = entry->settings;
  bool after = false;

  entry->dialers = g_new0 (gp_dialer_t, settings->entries_count);
  for (uint32_t i = 0; i < settings->entries_count; i++)
    if (after)
      gp_dialer_init (&entry->dialers[entry->dialer_count++], &entry->host,
                      settings->entries[i].peers, entry->rand);
    else
      after = strcmp (settings->entries[i].name, settings->name) == 0;
}

static bool
open_config_store (gp_entry_t *entry, GError **error)
{
  const gp_settings_t *settings = entry->settings;

  entry->config_store = entry->store;
  if (gp_settings_has_config_stream (settings->platform_log))
    entry->config_store
        = gp_store_new_config (&entry->loop, settings, entry->incarnation,
                               entry->rand, &entry->timeline, error);
  return entry->config_store != NULL;
}

static bool
init_components (gp_entry_t *entry, GError **error)
{
  const gp_settings_t *settings = entry->settings;

  entry->events = g_new0 (gp_timeline_event_t, GP_ENTRY_TIMELINE_SIZE);
  gp_timeline_init (&entry->timeline, settings->name, entry->incarnation,
                    entry->events, GP_ENTRY_TIMELINE_SIZE);
  entry->host.timeline = &entry->timeline;
  gp_program_record_event (&entry->timeline, GP_TIMELINE_PROCESS_START,
                           entry->settings->name);
  gp_processes_init (&entry->processes);
  gp_views_init (&entry->views, &entry->host);
  gp_operators_init (&entry->operators_state);
  entry->store = gp_store_new (&entry->loop, settings, entry->incarnation,
                               entry->rand, &entry->timeline, error);
  if (entry->store == NULL || !open_config_store (entry, error))
    return false;
  entry->keys = gp_keys_new (&entry->host, entry->store, &entry->timeline);
  entry->relays.keys = entry->keys;
  entry->tasks
      = gp_tasks_new (&entry->host, entry->store, settings, entry->incarnation,
                      entry->rand, &entry->timeline);
  entry->configuration
      = gp_configuration_new (&entry->host, entry->config_store,
                              &entry->timeline, on_configuration, entry);
  entry->routes.timeline = &entry->timeline;
  entry->relays.timeline = &entry->timeline;
  entry->routes.on_member_change = on_member_change;
  entry->routes.on_target_added = on_target_added;
  entry->routes.on_target_suspect = on_target_suspect;
  entry->routes.data = entry;
  return true;
}

/* The index of this entry in the settings; all processes list the entries in
   the same order.  */
static uint32_t
own_index (const gp_settings_t *settings)
{
  uint32_t place = 0;

  while (place + 1 < settings->entries_count
         && strcmp (settings->entries[place].name, settings->name) != 0)
    place++;
  return place;
}

bool
gp_entry_init (gp_entry_t *entry, const gp_settings_t *settings,
               GError **error)
{
  gp_members_settings_t members = GP_MEMBERS_SETTINGS_DEFAULT;
  gp_identity_t self = { .site = settings->site,
                         .process = settings->name,
                         .role = GP__WIRE__ROLE__ROLE_ENTRY,
                         .region = settings->region,
                         .zone = settings->zone,
                         .address = settings->entry->peers };

  *entry = (gp_entry_t){ .settings = settings };
  entry->started_us = gp_time_wall ();
  entry->incarnation = (uint64_t)entry->started_us;
  self.incarnation = entry->incarnation;
  members.suspect_after = settings->timings.suspect_ms * GP_MSEC;
  if (!gp_program_load_tls (settings, &entry->tls, error)
      || !gp_loop_init (&entry->loop, error))
    return false;
  gp_process_limiters_init (&entry->limiters, &entry->loop,
                            settings->memory_mib * GP_PROCESS_MIB, 0,
                            gp_large_buffers);
  entry->rand = g_rand_new ();
  gp_session_host_init (&entry->host, &entry->loop, entry->tls, &self,
                        &session_callbacks, entry);
  gp_routes_init (&entry->routes, &entry->host, settings->zone, &members);
  gp_news_init (&entry->news, &entry->host, &entry->routes.members);
  gp_downlinks_init (&entry->downlinks, &entry->host, &entry->routes.members,
                     settings, entry->rand);
  gp_relays_init (&entry->relays, &entry->loop, &entry->routes, entry->rand,
                  settings->entry->max_requests,
                  settings->timings.stall_ms * GP_MSEC);
  gp_limits_init (&entry->relays.limits, MAX (settings->entries_count, 1),
                  own_index (settings));
  if (!init_components (entry, error))
    return false;
  gp_timer_init (&entry->stop_timer, &entry->loop, on_leave_delay_over, entry);
  if (!gp_session_host_listen (&entry->host, settings->entry->peers,
                               &entry->limiters.internal, error))
    return false;
  if (!listen_http (entry, error))
    return false;
  gp_timer_init (&entry->opening_timer, &entry->loop, on_opening_timer, entry);
  entry->open_at = gp_loop_now (&entry->loop) + OPENING_TIMEOUT;
  gp_timer_arm (&entry->opening_timer, entry->open_at);
  start_dialers (entry);
  gp_loop_on_signal (&entry->loop, on_stop, entry);
  return true;
}

void
gp_entry_run (gp_entry_t *entry)
{
  gp_log (GP_LOG_INFO, "entry.started",
          GP_LOG_I ("incarnation", entry->incarnation));
  gp_loop_run (&entry->loop);
  gp_log (GP_LOG_INFO, "entry.stopped");
}

void
gp_entry_finish (gp_entry_t *entry)
{
  gp_views_close (&entry->views);
  gp_timer_finish (&entry->stop_timer);
  gp_timer_finish (&entry->opening_timer);
  for (size_t i = 0; i < entry->dialer_count; i++)
    gp_dialer_stop (&entry->dialers[i]);
  gp_session_host_finish (&entry->host);
  for (size_t i = 0; i < entry->dialer_count; i++)
    gp_dialer_finish (&entry->dialers[i]);
  gp_configuration_free (entry->configuration);
  gp_tasks_free (entry->tasks);
  gp_keys_free (entry->keys);
  if (entry->config_store != entry->store)
    gp_store_free (entry->config_store);
  gp_store_free (entry->store);
  gp_relays_finish (&entry->relays);
  gp_news_finish (&entry->news);
  gp_downlinks_close (&entry->downlinks);
  gp_routes_finish (&entry->routes);
  gp_process_limiters_finish (&entry->limiters);
  gp_loop_finish (&entry->loop);
  gp_views_finish (&entry->views);
  gp_processes_finish (&entry->processes);
  gp_operators_finish (&entry->operators_state);
  g_free (entry->events);
  g_free (entry->dialers);
  gp_downlinks_finish (&entry->downlinks);
  if (entry->tls != NULL)
    gp_tls_free (entry->tls);
  g_rand_free (entry->rand);
}

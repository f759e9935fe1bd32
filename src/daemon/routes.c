/* Services, their targets, and the routing changes that follow from the
   membership.  */

#include "daemon/routes.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"

#define TICK (100 * GP_MSEC)

/* A tick is late if more time than this has passed since the last one.  */
#define LATE_TICK (5 * TICK)

static gp_counter_t targets_routed
    = GP_GAUGE ("entry_targets_routed", "Upstreams that take requests.");
static gp_counter_t ejections
    = GP_COUNTER ("entry_ejections_total", "Upstreams ejected as outliers.");
static gp_counter_t stale_messages = GP_COUNTER (
    "entry_stale_incarnations_total", "Messages of older incarnations.");

static void
service_free (gpointer data)
{
  gp_service_t *service = data;

  gp_router_finish (&service->router);
  g_free (service->name);
  g_free (service);
}

static gp_service_t *
service_new (gp_routes_t *routes, const char *name)
{
  gp_service_t *service = g_new0 (gp_service_t, 1);
  gp_time_t now = gp_loop_now (routes->loop);

  service->name = g_strdup (name);
  gp_router_init (&service->router, &GP_ROUTER_SETTINGS_DEFAULT);
  gp_outlier_init (&service->outlier, &GP_OUTLIER_SETTINGS_DEFAULT, now);
  gp_retry_init (&service->retry, &GP_RETRY_SETTINGS_DEFAULT, now);
  g_hash_table_insert (routes->services, service->name, service);
  return service;
}

gp_service_t *
gp_routes_find_service (gp_routes_t *routes, const char *name)
{
  return g_hash_table_lookup (routes->services, name);
}

/* Adds an event about TARGET to the timeline.  */
static void
add_event (const gp_routes_t *routes, gp_timeline_kind_t kind,
           const gp_target_t *target, const char *text)
{
  gp_timeline_subject_t subject = { .vm = target->member->announcement.name };

  if (routes->timeline != NULL)
    gp_timeline_append (routes->timeline, kind, &subject, text,
                        gp_time_wall ());
}

/* Targets.  */

static gp_target_t *
target_new (gp_routes_t *routes, gp_member_t *member)
{
  gp_target_t *target = g_new0 (gp_target_t, 1);
  const char *name = member->announcement.service;

  target->service = gp_routes_find_service (routes, name);
  if (target->service == NULL)
    target->service = service_new (routes, name);
  target->member = member;
  gp_list_init (&target->relays);
  gp_list_init (&target->suspect_link);
  member->data = target;
  return target;
}

/* Adds TARGET to its router.  Requests sent while it was routed earlier may
   still be in progress; the router has to count them again.  */
static void
add_route (gp_routes_t *routes, gp_target_t *target)
{
  const gp_announcement_t *a = &target->member->announcement;
  bool near = strcmp (a->zone, routes->zone) == 0;

  target->candidate = (gp_candidate_t){ .data = target };
  target->health = (gp_health_t){ .data = target };
  gp_router_add (&target->service->router, &target->candidate, near, a->slots,
                 a->connections, target);
  gp_outlier_add (&target->service->outlier, &target->health, target);
  target->routed = true;
  GP_LIST_FOREACH (pos, &target->relays)
  gp_router_sent (&target->service->router, &target->candidate);
  gp_counter_add (&targets_routed, 1);
  if (routes->on_target_added != NULL)
    routes->on_target_added (routes->data);
  gp_log (GP_LOG_INFO, "target.up", GP_LOG_S ("guard", a->name),
          GP_LOG_S ("service", a->service), GP_LOG_S ("zone", a->zone));
}

static void
remove_route (gp_target_t *target)
{
  gp_router_remove (&target->service->router, &target->candidate);
  gp_outlier_remove (&target->service->outlier, &target->health);
  target->routed = false;
  gp_counter_add (&targets_routed, -1);
  gp_log (GP_LOG_INFO, "target.down",
          GP_LOG_S ("guard", target->member->announcement.name),
          GP_LOG_S ("service", target->service->name));
}

/* Frees TARGET unless it has a member, a session or requests in progress.  */
static void
target_free_if_unused (gp_target_t *target)
{
  if (target->member == NULL && gp_list_empty (&target->relays)
      && target->session == NULL)
    g_free (target);
}

static void
set_session (gp_target_t *target, gp_session_t *session)
{
  target->session = session;
  if (session != NULL)
    session->object = target;
}

/* An open session with the current incarnation of MEMBER, or NULL.  */
static gp_session_t *
find_session (const gp_routes_t *routes, const gp_member_t *member)
{
  GP_LIST_FOREACH (pos, &routes->host->sessions)
  {
    gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (session->ready && session->peer != NULL
        && session->incarnation == member->announcement.incarnation
        && strcmp (session->process, member->announcement.name) == 0)
      return session;
  }
  return NULL;
}

static void
update_member (gp_routes_t *routes, gp_member_t *member)
{
  gp_target_t *target = member->data;
  bool routable = gp_member_routable (member)
                  && member->announcement.service != NULL
                  && !g_hash_table_contains (routes->evacuated,
                                             member->announcement.zone);

  if (target == NULL && routable)
    target = target_new (routes, member);
  if (target == NULL)
    return;
  if (routable && target->session == NULL)
    set_session (target, find_session (routes, member));
  if (routable && !target->routed && target->session != NULL)
    add_route (routes, target);
  else if (!routable && target->routed)
    remove_route (target);
  gp_list_remove (&target->suspect_link);
  if (member->state == GP_MEMBER_SUSPECT)
    gp_list_push_back (&routes->new_suspects, &target->suspect_link);
  if (member->state == GP_MEMBER_GONE)
    {
      member->data = NULL;
      target->member = NULL;
      target_free_if_unused (target);
    }
}

/* Calls on_target_suspect for the targets that became suspect, after all of
   them have been removed from their routers: a retry must not pick one of
   them.  */
static void
notify_suspects (gp_routes_t *routes)
{
  gp_list_t *link;

  while ((link = gp_list_pop_front (&routes->new_suspects)) != NULL)
    if (routes->on_target_suspect != NULL)
      routes->on_target_suspect (
          GP_CONTAINER_OF (link, gp_target_t, suspect_link), routes->data);
}

void
gp_routes_apply_changes (gp_routes_t *routes)
{
  gp_member_t *member;

  while ((member = gp_members_next_change (&routes->members)) != NULL)
    {
      if (routes->on_member_change != NULL)
        routes->on_member_change (member, routes->data);
      update_member (routes, member);
    }
  notify_suspects (routes);
}

void
gp_routes_set_evacuated_zones (gp_routes_t *routes,
                               const gp_document_zone_t *zones, uint32_t count)
{
  GHashTableIter iter;
  gpointer member;

  g_hash_table_remove_all (routes->evacuated);
  for (uint32_t i = 0; i < count; i++)
    g_hash_table_add (routes->evacuated, g_strdup (zones[i].name));
  g_hash_table_iter_init (&iter, routes->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, &member))
    update_member (routes, member);
}

/* Events.  */

static gp_announcement_t
announcement_of (const gp_session_t *session,
                 const Gp__Wire__Announce *announce)
{
  gp_announcement_t a = {
    .name = session->process,
    .address = session->address,
    .region = session->region,
    .zone = session->zone,
    .incarnation = session->incarnation,
    .leaving = announce->state == GP__WIRE__MEMBER_STATE__MEMBER_STATE_LEAVING,
  };

  if (announce->upstream != NULL)
    {
      a.service = announce->upstream->service;
      a.slots = announce->upstream->slots;
      a.connections = announce->upstream->connections;
    }
  if (announce->capacity != NULL)
    {
      a.millicores = announce->capacity->millicores;
      a.memory_mib = announce->capacity->memory_mib;
      a.accelerators = announce->capacity->accelerators;
    }
  return a;
}

static void
attach_session (gp_routes_t *routes, gp_session_t *session)
{
  gp_member_t *member = gp_members_find (&routes->members, session->process);
  gp_target_t *target;

  if (member == NULL || member->announcement.service == NULL)
    return;
  target = member->data;
  if (target == NULL)
    target = target_new (routes, member);
  if (target->session != NULL
      && target->session->incarnation == session->incarnation)
    return;
  if (target->session != NULL)
    gp_session_close (target->session, true);
  target->session = session;
  session->object = target;
}

/* Records an announcement in the membership.  A guard that this entry
   connected to sends its heartbeats to other entries, its homes: its
   announcement shows that it can be reached, but this entry must not expect
   heartbeats from it.  */
static gp_members_result_t
record_announcement (gp_routes_t *routes, const gp_session_t *session,
                     const gp_announcement_t *a)
{
  gp_members_t *members = &routes->members;
  gp_time_t now = gp_loop_now (routes->loop);
  gp_members_result_t result = GP_MEMBERS_UNKNOWN;

  if (session->outgoing)
    result = gp_members_connection_open (members, a->name, a->incarnation);
  if (result == GP_MEMBERS_UNKNOWN)
    return gp_members_announce (members, a, now);
  if (result == GP_MEMBERS_ACCEPTED && a->leaving)
    gp_members_leaving (members, a->name, a->incarnation, now);
  return result;
}

bool
gp_routes_announce (gp_routes_t *routes, gp_session_t *session,
                    const Gp__Wire__Announce *announce)
{
  gp_announcement_t a = announcement_of (session, announce);

  if (record_announcement (routes, session, &a) == GP_MEMBERS_STALE)
    {
      gp_counter_add (&stale_messages, 1);
      return false;
    }
  attach_session (routes, session);
  gp_routes_apply_changes (routes);
  return true;
}

void
gp_routes_heartbeat (gp_routes_t *routes, gp_session_t *session,
                     const Gp__Wire__Heartbeat *heartbeat)
{
  gp_time_t now = gp_loop_now (routes->loop);
  gp_load_t load = { .at = now };
  gp_load_t *reported = NULL;
  gp_target_t *target = session->object;

  if (heartbeat->load != NULL)
    {
      load.running = heartbeat->load->running;
      load.queued = heartbeat->load->queued;
      load.latency_us = heartbeat->load->latency_us;
      reported = &load;
    }
  if (gp_members_heartbeat (&routes->members, session->process,
                            session->incarnation, reported, now)
      == GP_MEMBERS_STALE)
    gp_counter_add (&stale_messages, 1);
  else if (target != NULL && target->routed && reported != NULL)
    gp_router_report (&target->service->router, &target->candidate, &load);
  gp_routes_apply_changes (routes);
}

/* Another open session with the same incarnation of a guard, or NULL.  */
static gp_session_t *
find_other_session (const gp_routes_t *routes, const gp_session_t *session)
{
  GP_LIST_FOREACH (pos, &routes->host->sessions)
  {
    gp_session_t *other = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (other != session && other->ready && other->peer != NULL
        && other->incarnation == session->incarnation
        && strcmp (other->process, session->process) == 0)
      return other;
  }
  return NULL;
}

void
gp_routes_session_closed (gp_routes_t *routes, gp_session_t *session)
{
  gp_target_t *target = session->object;
  gp_session_t *other = find_other_session (routes, session);

  if (target != NULL && target->session == session)
    {
      target->session = other;
      session->object = NULL;
    }
  if (other != NULL && target != NULL && other->object == NULL)
    other->object = target;
  if (other == NULL)
    gp_members_connection_lost (&routes->members, session->process,
                                session->incarnation,
                                gp_loop_now (routes->loop));
  gp_routes_apply_changes (routes);
}

void
gp_routes_record_load (gp_routes_t *routes, gp_target_t *target,
                       const Gp__Wire__Load *load)
{
  gp_load_t reported = { .running = load->running,
                         .queued = load->queued,
                         .latency_us = load->latency_us,
                         .at = gp_loop_now (routes->loop) };

  if (target->routed)
    gp_router_report (&target->service->router, &target->candidate, &reported);
}

static void
apply_outlier_action (const gp_routes_t *routes, gp_target_t *target,
                      gp_outlier_action_t action)
{
  gp_router_t *router = &target->service->router;

  switch (action)
    {
    case GP_OUTLIER_NONE:
      break;
    case GP_OUTLIER_EJECT:
      gp_counter_add (&ejections, 1);
      gp_log (GP_LOG_WARNING, "target.ejected",
              GP_LOG_S ("guard", target->member->announcement.name));
      add_event (routes, GP_TIMELINE_MEMBER_GONE, target, "ejected");
      gp_router_eject (router, &target->candidate);
      break;
    case GP_OUTLIER_OFFER_PROBE:
      gp_router_offer_probe (router, &target->candidate);
      break;
    case GP_OUTLIER_READMIT:
      gp_log (GP_LOG_INFO, "target.readmitted",
              GP_LOG_S ("guard", target->member->announcement.name));
      add_event (routes, GP_TIMELINE_MEMBER_SERVING, target, "readmitted");
      gp_router_readmit (router, &target->candidate);
      break;
    }
}

void
gp_routes_record_result (gp_routes_t *routes, gp_target_t *target,
                         bool success, gp_time_t duration)
{
  gp_outlier_t *outlier = &target->service->outlier;
  gp_time_t now = gp_loop_now (routes->loop);

  if (!target->routed)
    return;
  if (target->health.state == GP_HEALTH_PROBING)
    apply_outlier_action (
        routes, target,
        gp_outlier_probe_done (outlier, &target->health, success, now));
  else
    apply_outlier_action (
        routes, target,
        gp_outlier_record (outlier, &target->health, success, duration, now));
}

void
gp_routes_request_sent (gp_routes_t *routes, gp_target_t *target)
{
  gp_outlier_t *outlier = &target->service->outlier;

  gp_router_sent (&target->service->router, &target->candidate);
  if (target->health.state == GP_HEALTH_WAITING)
    gp_outlier_probe_sent (outlier, &target->health,
                           gp_loop_now (routes->loop));
}

void
gp_routes_request_done (gp_routes_t *routes, gp_target_t *target)
{
  (void)routes;
  gp_router_done (&target->service->router, &target->candidate);
  target_free_if_unused (target);
}

static void
tick_service (const gp_routes_t *routes, gp_service_t *service, gp_time_t now)
{
  gp_outlier_action_t action;
  gp_health_t *health;

  while ((health = gp_outlier_next_due (&service->outlier, now, &action))
         != NULL)
    apply_outlier_action (routes, health->data, action);
}

/* Whether members without heartbeats may be declared suspect.  If the tick is
   late, this process was blocked itself and has to read the messages that have
   arrived meanwhile first.  Only one tick in a row is skipped for this.  */
static bool
may_suspect_members (gp_routes_t *routes, gp_time_t now)
{
  bool late = now - routes->last_tick > LATE_TICK;
  bool allowed = !late || routes->last_tick_late;

  routes->last_tick = now;
  routes->last_tick_late = late;
  return allowed;
}

static void
on_tick (gp_timer_t *timer, void *data)
{
  gp_routes_t *routes = data;
  gp_time_t now = gp_loop_now (routes->loop);
  GHashTableIter iter;
  gpointer service;

  if (may_suspect_members (routes, now))
    gp_members_tick (&routes->members, now);
  gp_routes_apply_changes (routes);
  g_hash_table_iter_init (&iter, routes->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    tick_service (routes, service, now);
  gp_timer_arm (timer, now + TICK);
}

void
gp_routes_init (gp_routes_t *routes, gp_session_host_t *host, const char *zone,
                const gp_members_settings_t *settings)
{
  gp_loop_t *loop = host->loop;

  *routes = (gp_routes_t){ .host = host, .loop = loop, .zone = zone };
  gp_members_init (&routes->members, settings);
  gp_list_init (&routes->new_suspects);
  routes->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  routes->evacuated
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gp_counter_register (&targets_routed);
  gp_counter_register (&ejections);
  gp_counter_register (&stale_messages);
  gp_timer_init (&routes->timer, loop, on_tick, routes);
  routes->last_tick = gp_loop_now (loop);
  gp_timer_arm (&routes->timer, routes->last_tick + TICK);
}

/* Frees the targets of all members.  */
static void
free_targets (gp_routes_t *routes)
{
  GHashTableIter iter;
  gpointer member;

  g_hash_table_iter_init (&iter, routes->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, &member))
    g_free (((gp_member_t *)member)->data);
}

void
gp_routes_finish (gp_routes_t *routes)
{
  gp_timer_finish (&routes->timer);
  free_targets (routes);
  g_hash_table_unref (routes->services);
  g_hash_table_unref (routes->evacuated);
  gp_members_finish (&routes->members);
}

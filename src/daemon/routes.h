/* Services and their upstreams at an entry: membership turned into routing.

   A target is a guard with an upstream, as this entry reaches it.  It is a
   candidate of its service's router while membership says that work may be
   sent to it.  */

#ifndef GP_DAEMON_ROUTES_H
#define GP_DAEMON_ROUTES_H

#include "base/timeline.h"
#include "coordination/members.h"
#include "coordination/outlier.h"
#include "coordination/retry.h"
#include "coordination/router.h"
#include "protocol/session.h"
#include "state/document.h"

/* What the router, outlier detection and retries keep of one service.  */
typedef struct
{
  char *name;
  gp_router_t router;
  gp_outlier_t outlier;
  gp_retry_t retry;
} gp_service_t;

typedef struct
{
  gp_service_t *service;
  gp_member_t *member; /* NULL once it was forgotten */
  gp_session_t *session;
  gp_candidate_t candidate;
  gp_health_t health;
  gp_list_t relays; /* requests under way, see daemon/relay.c */
  gp_list_t silent; /* in routes->silent, or empty */
  bool routed;      /* in the service's router */
} gp_target_t;

typedef struct
{
  gp_session_host_t *host;
  gp_loop_t *loop;
  const char *zone; /* of this entry */
  gp_members_t members;
  GHashTable *services;  /* name -> gp_service_t */
  GHashTable *evacuated; /* names of zones, owned, that get no requests */
  gp_list_t silent;      /* targets that became suspect, not yet told */
  gp_timer_t timer;
  gp_time_t ticked_at;
  bool was_late;                                       /* at the last tick */
  gp_timeline_t *timeline;                             /* may be NULL */
  void (*on_change) (gp_member_t *member, void *data); /* may be NULL */
  void (*on_route) (void *data); /* a target was routed; may be NULL */
  void (*on_silent) (gp_target_t *target, void *data); /* may be NULL */
  void *data;
} gp_routes_t;

void gp_routes_init (gp_routes_t *routes, gp_session_host_t *host,
                     const char *zone, const gp_members_settings_t *settings);
void gp_routes_finish (gp_routes_t *routes);

/* Upstreams in the COUNT ZONES get no more requests, the others do; those that
   are under way go on.  */
void gp_routes_evacuate (gp_routes_t *routes, const gp_document_zone_t *zones,
                         uint32_t count);

/* The service NAME, or NULL when no upstream ever announced it.  */
gp_service_t *gp_routes_find (gp_routes_t *routes, const char *name);

/* A guard announced itself over SESSION.  False: an older incarnation; the
   session should be closed.  When both sides connected at once there are two
   sessions; the first is used, the second takes its place when it closes.  */
bool gp_routes_announce (gp_routes_t *routes, gp_session_t *session,
                         const Gp__Wire__Announce *announce);

/* A heartbeat came over SESSION.  */
void gp_routes_heartbeat (gp_routes_t *routes, gp_session_t *session,
                          const Gp__Wire__Heartbeat *heartbeat);

/* The session of a guard is closed; its target takes nothing any more.  The
   relays under way must have been ended before.  */
void gp_routes_closed (gp_routes_t *routes, gp_session_t *session);

/* A report of load came with an answer of TARGET.  */
void gp_routes_report (gp_routes_t *routes, gp_target_t *target,
                       const Gp__Wire__Load *load);

/* The result of a request at TARGET, for outlier detection.  */
void gp_routes_record (gp_routes_t *routes, gp_target_t *target, bool success,
                       gp_time_t duration);

/* A request was sent to TARGET, or its exchange ended.  */
void gp_routes_sent (gp_routes_t *routes, gp_target_t *target);
void gp_routes_done (gp_routes_t *routes, gp_target_t *target);

/* Carry out what changed in the membership.  */
void gp_routes_settle (gp_routes_t *routes);

#endif

/* Services and their upstreams at an entry: keeps the routers in line with
   the membership.

   A target is a guard with an upstream that this entry may send requests to.
   It is a candidate of its service's router while the membership table says
   that work may be sent to it and its zone is not evacuated.  */

#ifndef GP_DAEMON_ROUTES_H
#define GP_DAEMON_ROUTES_H

#include "base/timeline.h"
#include "coordination/members.h"
#include "coordination/outlier.h"
#include "coordination/retry.h"
#include "coordination/router.h"
#include "protocol/session.h"
#include "state/document.h"

/* Router, outlier detection and retry state of one service.  */
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
  gp_member_t *member; /* NULL once the member is gone */
  gp_session_t *session;
  gp_candidate_t candidate;
  gp_health_t health;
  gp_list_t relays;       /* requests in progress, see daemon/relay.c */
  gp_list_t suspect_link; /* in gp_routes_t.new_suspects, or empty */
  bool routed;            /* in the service's router */
} gp_target_t;

typedef struct
{
  gp_session_host_t *host;
  gp_loop_t *loop;
  const char *zone; /* of this entry */
  gp_members_t members;
  GHashTable *services;   /* name -> gp_service_t */
  GHashTable *evacuated;  /* names of zones, owned, that get no requests */
  gp_list_t new_suspects; /* targets that became suspect and for which
                             on_target_suspect was not called yet */
  gp_timer_t timer;
  gp_time_t last_tick;
  bool last_tick_late;     /* the last tick was late */
  gp_timeline_t *timeline; /* may be NULL */
  /* A member changed; may be NULL.  */
  void (*on_member_change) (gp_member_t *member, void *data);
  /* A target was added to its router; may be NULL.  */
  void (*on_target_added) (void *data);
  /* A target became suspect; may be NULL.  */
  void (*on_target_suspect) (gp_target_t *target, void *data);
  void *data;
} gp_routes_t;

void gp_routes_init (gp_routes_t *routes, gp_session_host_t *host,
                     const char *zone, const gp_members_settings_t *settings);
void gp_routes_finish (gp_routes_t *routes);

/* Sets the evacuated zones: upstreams in them get no new requests.  Requests
   in progress continue.  */
void gp_routes_set_evacuated_zones (gp_routes_t *routes,
                                    const gp_document_zone_t *zones,
                                    uint32_t count);

/* Finds the service NAME; NULL if no upstream ever announced it.  */
gp_service_t *gp_routes_find_service (gp_routes_t *routes, const char *name);

/* Handles the announcement of a guard over SESSION.  Returns false if the
   guard's incarnation is outdated; the session should be closed then.  When
   both sides connected at the same time there are two sessions: the first is
   used, and the second replaces it when it closes.  */
bool gp_routes_announce (gp_routes_t *routes, gp_session_t *session,
                         const Gp__Wire__Announce *announce);

/* Handles a guard's heartbeat over SESSION.  */
void gp_routes_heartbeat (gp_routes_t *routes, gp_session_t *session,
                          const Gp__Wire__Heartbeat *heartbeat);

/* Handles the end of a guard's session; its target gets no more requests
   unless there is another session.  The relays on the session must have been
   ended before.  */
void gp_routes_session_closed (gp_routes_t *routes, gp_session_t *session);

/* Records the load that TARGET reported with an answer.  */
void gp_routes_record_load (gp_routes_t *routes, gp_target_t *target,
                            const Gp__Wire__Load *load);

/* Records the result of a request at TARGET for outlier detection.  */
void gp_routes_record_result (gp_routes_t *routes, gp_target_t *target,
                              bool success, gp_time_t duration);

/* Record that a request was sent to TARGET, and that it has ended.  */
void gp_routes_request_sent (gp_routes_t *routes, gp_target_t *target);
void gp_routes_request_done (gp_routes_t *routes, gp_target_t *target);

/* Applies pending changes of the membership to the routers.  */
void gp_routes_apply_changes (gp_routes_t *routes);

#endif

/* The entry: HTTP to callers and operators, sessions to guards and other
   entries.  */

#ifndef GP_DAEMON_ENTRY_H
#define GP_DAEMON_ENTRY_H

#include "base/settings.h"
#include "base/timeline.h"
#include "daemon/configuration.h"
#include "daemon/operators.h"
#include "daemon/processes.h"
#include "daemon/news.h"
#include "daemon/downlinks.h"
#include "daemon/relay.h"
#include "daemon/routes.h"
#include "daemon/store.h"
#include "daemon/tasks.h"
#include "daemon/view.h"
#include "protocol/dialer.h"
#include "protocol/session.h"

#define GP_ENTRY_TIMELINE_SIZE 65536

struct gp_entry
{
  gp_loop_t loop;
  const gp_settings_t *settings;
  gp_tls_t *tls;
  GRand *rand;
  uint64_t incarnation;
  gp_session_host_t host;
  gp_routes_t routes;
  gp_news_t news;
  gp_downlinks_t downlinks;
  gp_relays_t relays;
  gp_store_t *store;        /* of the region */
  gp_store_t *config_store; /* the same, unless the regions share another */
  gp_keys_t *keys;
  gp_tasks_t *tasks;
  gp_configuration_t *configuration;
  gp_timeline_t timeline;
  gp_timeline_event_t *events;
  gp_dialer_t *dialers; /* to the entries after this one in the settings */
  size_t dialer_count;
  gp_http_server_t *callers;
  gp_http_server_t *operators;
  gp_operators_t operators_state;
  gp_views_t views;
  gp_processes_t processes;
  int64_t started_us; /* wall clock, as the next */
  int64_t config_since_us;
  gp_timer_t stop_timer;
  gp_timer_t opening_timer;
  gp_time_t open_at; /* to callers, at the latest */
  bool leaving;
  bool open; /* to callers */
};

bool gp_entry_init (gp_entry_t *entry, const gp_settings_t *settings,
                    GError **error);

/* Run until a signal has been followed to the end: fail readiness, serve on
   until the balancer has gone, finish what is open.  */
void gp_entry_run (gp_entry_t *entry);
void gp_entry_finish (gp_entry_t *entry);

#endif

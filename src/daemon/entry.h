/* The entry process: an HTTP server for callers and for operators, and
   sessions with guards and other entries.  */

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
#include "transport/process_limits.h"

#define GP_ENTRY_TIMELINE_SIZE 65536

struct gp_entry
{
  gp_loop_t loop;
  gp_process_limiters_t limiters;
  const gp_settings_t *settings;
  gp_tls_t *tls;
  GRand *rand;
  uint64_t incarnation;
  gp_session_host_t host;
  gp_routes_t routes;
  gp_news_t news;
  gp_downlinks_t downlinks;
  gp_relays_t relays;
  gp_store_t *store;        /* the region's log */
  gp_store_t *config_store; /* same as STORE unless regions share a log for
                               the configuration */
  gp_keys_t *keys;
  gp_tasks_t *tasks;
  gp_configuration_t *configuration;
  gp_timeline_t timeline;
  gp_timeline_event_t *events;
  gp_dialer_t *dialers; /* to the entries listed after this one in the
                           settings */
  size_t dialer_count;
  gp_http_server_t *callers;
  gp_http_server_t *operators;
  gp_operators_t operators_state;
  gp_views_t views;
  gp_processes_t processes;
  int64_t started_us;      /* wall clock */
  int64_t config_since_us; /* wall clock; when the configuration in force
                              took effect */
  gp_timer_t stop_timer;
  gp_timer_t opening_timer;
  gp_time_t open_at; /* latest time to start accepting callers */
  bool leaving;
  bool open; /* accepts callers */
};

bool gp_entry_init (gp_entry_t *entry, const gp_settings_t *settings,
                    GError **error);

/* Runs the event loop until a stop signal has been handled completely: the
   readiness check fails, requests are still served until the load balancer
   has had time to notice, and requests in progress are finished.  */
void gp_entry_run (gp_entry_t *entry);
void gp_entry_finish (gp_entry_t *entry);

#endif

/* The entry of a site that runs on the platform.  */

#include <string.h>

#include "base/log.h"
#include "jobsd/entry_private.h"
#include "jobsd/metrics.h"

/* Limit of a request body; no known document of operators allows more.  */
#define BODY_MAX ((size_t)256 * 1024)
#define HEADER_TIMEOUT (15 * GP_SEC)
/* How long a stopping entry continues to serve callers: until the load
   balancer, which probes once a second, has found it not ready twice, plus a
   margin; at most half of the time that the entry is given to stop.  */
#define STOP_SERVE_TIME (3200 * GP_MSEC)

static gp_traffic_t callers_traffic
    = GP_TRAFFIC ("callers", "requests of callers and their answers");

/* Requests.  */

static void
on_request (gp_http_exchange_t *exchange, void *data)
{
  gp_job_entry_t *entry = data;

  gp_jobs_api_request (&entry->api, exchange);
}

static bool
is_ready (const gp_job_entry_t *entry)
{
  return !entry->stopping && entry->operators.queues.version > 0
         && entry->jobs.loaded
         && (entry->progress.loaded
             || entry->leader.role == GP_LEADER_LEADING);
}

static void
on_ready_request (gp_http_exchange_t *exchange, void *data)
{
  gp_http_exchange_answer (exchange, is_ready (data) ? 200 : 503, NULL, 0,
                           NULL, 0);
}

/* Opens a server of the site's own clients at ADDRESS.  */
static gp_http_server_t *
open_server (gp_job_entry_t *entry, const char *address,
             void (*on_call) (gp_http_exchange_t *exchange, void *data),
             GError **error)
{
  const gp_http_server_options_t options
      = { .address = address,
          .max_body_size = BODY_MAX,
          .header_timeout = HEADER_TIMEOUT,
          .limiter = &entry->limiters.internal,
          .buffers = gp_large_buffers,
          .on_request = on_call,
          .data = entry };

  return gp_http_server_new (&entry->loop, &options, error);
}

static gp_http_server_t *
open_caller_server (gp_job_entry_t *entry, GError **error)
{
  const gp_http_server_options_t options
      = { .address = entry->settings->front,
          .max_body_size = BODY_MAX,
          .header_timeout = HEADER_TIMEOUT,
          .traffic = &callers_traffic,
          .limiter = &entry->limiters.callers,
          .buffers = gp_small_buffers,
          .on_request = on_request,
          .data = entry };

  return gp_http_server_new (&entry->loop, &options, error);
}

static bool
open_servers (gp_job_entry_t *entry, GError **error)
{
  const gp_platform_settings_t *settings = entry->settings;

  gp_traffic_register (&callers_traffic);
  entry->caller_server = open_caller_server (entry, error);
  if (entry->caller_server == NULL)
    return false;
  entry->ready_server
      = open_server (entry, settings->ready, on_ready_request, error);
  if (entry->ready_server == NULL)
    return false;
  entry->metrics_server
      = open_server (entry, settings->metrics, gp_metrics_request, error);
  return entry->metrics_server != NULL;
}

/* Initialization and shutdown.  */

static void
on_drained (void *data)
{
  gp_job_entry_t *entry = data;

  gp_log (GP_LOG_INFO, "process.stop");
  gp_loop_stop (&entry->loop);
}

static void
on_serve_end (gp_timer_t *timer, void *data)
{
  gp_job_entry_t *entry = data;

  gp_http_server_shutdown (entry->caller_server, on_drained, entry);
}

static void
on_reload (void *data)
{
  const gp_job_entry_t *entry = data;

  gp_platform_settings_reload (entry->settings);
}

static void
on_stop (void *data)
{
  gp_job_entry_t *entry = data;

  if (entry->stopping)
    return;
  gp_log (GP_LOG_INFO, "process.stopping");
  entry->stopping = true;
  gp_leader_resign (&entry->leader);
  gp_http_server_disable_keepalive (entry->caller_server);
  gp_timer_arm (&entry->serve_timer,
                gp_loop_now (&entry->loop)
                    + MIN (STOP_SERVE_TIME, entry->settings->grace_time / 2));
}

/* Initialize what reads and writes the log.  */
static void
init_log (gp_job_entry_t *entry)
{
  const gp_platform_settings_t *settings = entry->settings;

  gp_store_route_init (&entry->route, &entry->loop, entry->store,
                       settings->node, settings->zone);
  gp_frame_io_register ();
  gp_traffic_reporter_init (&entry->traffic, &entry->loop);
  gp_standbys_init (
      &entry->standbys, settings->node,
      (gp_candidacy_capacity_t){ gp_announced_cpu_milli (settings),
                                 gp_announced_link_kbps (settings) },
      settings->standbys);
  gp_entry_init_feeds (entry);
  gp_leader_init (&entry->leader, &entry->loop, entry->store, &entry->book,
                  &entry->operators, settings->node,
                  gp_entry_on_leadership_lost, entry);
  entry->leader.standbys = &entry->standbys;
  if (settings->rank_leaders)
    gp_leader_set_capacity (&entry->leader, gp_announced_cpu_milli (settings),
                            gp_announced_link_kbps (settings));
  entry->leader.scheduler.measure_speed = settings->measure_speed;
  gp_janitor_init (&entry->janitor, &entry->loop, entry->store, &entry->book,
                   &entry->leader, settings->status_time);
  gp_append_collector_init (&entry->collector, &entry->loop, entry->store);
  gp_job_appender_init (&entry->appender, &entry->loop, entry->store,
                        &entry->leader,
                        settings->share_appends ? &entry->collector : NULL);
  entry->leader.record_bytes = settings->record_bytes;
  entry->leader.append_bytes = settings->append_bytes;
  entry->leader.writes_room = settings->forecast_admission;
}

/* Initialize the part that answers callers.  */
static void
init_api (gp_job_entry_t *entry)
{
  const gp_platform_settings_t *settings = entry->settings;

  gp_jobs_api_init (&entry->api, &entry->loop, &entry->appender, &entry->book,
                    &entry->operators.queues, &entry->jobs, &entry->progress,
                    settings->confirm_appends, gp_entry_on_job_record, entry);
  gp_book_limit_init (&entry->book_limit, entry->limiters.limits.book_bytes);
  entry->book.max_tasks = gp_book_limit_tasks (&entry->book_limit);
  gp_jobs_api_set_limits (&entry->api, &entry->book_limit,
                          entry->limiters.limits.pending_bytes);
  gp_platform_store_set_on_result (entry->store, gp_entry_on_store_result,
                                   entry);
  if (settings->forecast_admission)
    gp_job_intake_enable (&entry->api.intake, &entry->leader.room_reading,
                          &entry->leader.scheduler.forecast, &entry->route);
}

static void
start_feeds (gp_job_entry_t *entry)
{
  gp_feed_start (&entry->operators.feed);
  gp_feed_start (&entry->jobs);
  gp_feed_start (&entry->progress);
  gp_feed_start (&entry->nodes);
}

bool
gp_job_entry_init (gp_job_entry_t *entry,
                   const gp_platform_settings_t *settings, GError **error)
{
  memset (entry, 0, sizeof *entry);
  entry->settings = settings;
  if (!gp_loop_init (&entry->loop, error))
    return false;
  gp_process_limiters_init (&entry->limiters, &entry->loop,
                            settings->memory_bytes, settings->descriptors,
                            gp_small_buffers);
  gp_loop_on_signal (&entry->loop, on_stop, entry);
  gp_loop_on_reload (&entry->loop, on_reload, entry);
  gp_entry_register_gauges ();
  gp_timer_init (&entry->serve_timer, &entry->loop, on_serve_end, entry);
  gp_book_init (&entry->book);
  entry->store = gp_platform_store_new (&entry->loop, settings->store,
                                        settings->link_rate, error);
  if (entry->store == NULL)
    return false;
  init_log (entry);
  init_api (entry);
  if (!gp_job_relay_init (&entry->relay, &entry->loop, settings->relay,
                          settings->store, settings->link_rate,
                          settings->share_appends ? &entry->collector : NULL,
                          &entry->limiters, error))
    return false;
  if (!open_servers (entry, error))
    return false;
  gp_log (GP_LOG_INFO, "process.start", GP_LOG_S ("zone", settings->zone),
          GP_LOG_S ("front", settings->front),
          GP_LOG_S ("store", settings->store),
          GP_LOG_I ("link_rate", settings->link_rate));
  /* Peers learn the address of this entry's relay.  */
  gp_announcer_start (&entry->announcer, &entry->loop, entry->store, settings,
                      settings->relay, false, entry->leader.incarnation);
  start_feeds (entry);
  return true;
}

void
gp_job_entry_run (gp_job_entry_t *entry)
{
  gp_loop_run (&entry->loop);
}

void
gp_job_entry_finish (gp_job_entry_t *entry)
{
  gp_jobs_api_finish (&entry->api);
  gp_job_appender_finish (&entry->appender);
  gp_append_collector_finish (&entry->collector);
  gp_traffic_reporter_finish (&entry->traffic);
  gp_janitor_finish (&entry->janitor);
  gp_operator_feed_finish (&entry->operators);
  gp_feed_finish (&entry->jobs);
  gp_feed_finish (&entry->progress);
  gp_feed_finish (&entry->nodes);
  gp_leader_finish (&entry->leader);
  gp_standbys_finish (&entry->standbys);
  gp_store_route_finish (&entry->route);
  gp_announcer_finish (&entry->announcer);
  gp_timer_finish (&entry->serve_timer);
  gp_process_limiters_finish (&entry->limiters);
  gp_loop_finish (&entry->loop);
  gp_book_finish (&entry->book);
  gp_book_limit_finish (&entry->book_limit);
}

/* The entry of a site that runs on the platform: it serves callers' requests,
   and assigns runs to all executors while this process is the leader.  */

#ifndef GP_JOBSD_ENTRY_H
#define GP_JOBSD_ENTRY_H

#include "jobs/book.h"
#include "jobs/standbys.h"
#include "jobsd/announce.h"
#include "jobsd/append_collector.h"
#include "jobsd/feed.h"
#include "jobsd/janitor.h"
#include "jobsd/job_appender.h"
#include "jobsd/jobs_api.h"
#include "jobsd/leader.h"
#include "jobsd/operator_feed.h"
#include "jobsd/relay.h"
#include "jobsd/traffic_reporter.h"
#include "jobsd/store_route.h"
#include "platform/settings.h"
#include "transport/process_limits.h"

typedef struct
{
  const gp_platform_settings_t *settings;
  gp_loop_t loop;
  gp_process_limiters_t limiters;
  gp_platform_store_t *store;
  gp_job_relay_t relay;
  gp_store_route_t route;
  gp_announcer_t announcer;
  gp_http_server_t *caller_server;
  gp_http_server_t *ready_server;
  gp_http_server_t *metrics_server;
  gp_book_t book;
  gp_book_limit_t book_limit;
  gp_operator_feed_t operators;
  gp_feed_t jobs;
  gp_feed_t progress;
  gp_feed_t nodes;
  gp_append_collector_t collector;
  gp_job_appender_t appender;
  gp_jobs_api_t api;
  gp_leader_t leader;
  gp_standbys_t standbys;
  gp_reader_t reader; /* how the topics are read */
  gp_janitor_t janitor;
  gp_traffic_reporter_t traffic;
  gp_timer_t serve_timer; /* while stopping: callers are served until then */
  bool stopping;
} gp_job_entry_t;

bool gp_job_entry_init (gp_job_entry_t *entry,
                        const gp_platform_settings_t *settings,
                        GError **error);
void gp_job_entry_run (gp_job_entry_t *entry);
void gp_job_entry_finish (gp_job_entry_t *entry);

#endif

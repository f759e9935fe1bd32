/* The entry of a site that runs on the platform.  */

#include "jobsd/entry.h"
#include "jobsd/metrics.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"
#include "platform/jobs_http.h"

/* What a caller may send; the documents known allow no more.  */
#define BODY_MAX ((size_t)256 * 1024)
#define HEADER_TIME (15 * GP_SEC)
/* A stopping entry serves on until the balancer has seen it unready twice,
   at one look a second, and some more; at most for half of the time that it
   is given to stop.  */
#define SERVE_ON_TIME (3200 * GP_MSEC)
/* Entries that do not lead read in portions, as each read has its price and is
   made by each of them.  A job's end is told that much later; of submissions
   they only need to know what is asked for at another entry than the one that
   took them, and for a takeover.  */
#define PROGRESS_SPACING (100 * GP_MSEC)
#define JOBS_SPACING (800 * GP_MSEC)
/* How old the book may be for this entry to take the lead: an idle feed is
   known to be fresh once a second.  */
#define LEAD_AGE (2 * GP_SEC)

static gp_counter_t jobs_gauge = GP_GAUGE ("jobs", "Jobs in the book");
static gp_counter_t leading_gauge
    = GP_GAUGE ("leading", "1 while this process leads");

static gp_traffic_t callers_traffic
    = GP_TRAFFIC ("callers", "requests of callers and their answers");

/* Fold a record that was decoded, NULL and ERROR when it does not fit what is
   known.  */
static gp_job_t *
take_record (gp_job_entry_t *entry, gp_record_t *record, GError **error)
{
  if (record->kind == GP_RECORD_CANCELLATION)
    return gp_book_cancel (&entry->book, record->subject);
  return gp_book_take_submission (
      &entry->book, record->subject, g_steal_pointer (&record->u.submission),
      gp_loop_now (&entry->loop), gp_time_wall_ms (), error);
}

static void
turn_record (gp_job_entry_t *entry, const gp_platform_store_record_t *origin)
{
  gp_record_t record;
  gp_job_t *job = NULL;
  GError *error = NULL;

  if (gp_record_parse_job (&record, origin->key, origin->key_size,
                           origin->value, origin->value_size, &error))
    job = take_record (entry, &record, &error);
  else if (record.kind == GP_RECORD_SUBMISSION)
    gp_book_refuse_submission (&entry->book, record.subject);
  if (error != NULL)
    {
      gp_refusals_record (&entry->leader.refusals, "jobs", &record, origin,
                          error);
      g_error_free (error);
    }
  if (job != NULL)
    gp_leader_job (&entry->leader, job);
  gp_counter_set (&jobs_gauge, g_hash_table_size (entry->book.jobs));
  gp_record_finish (&record);
}

static void
on_job_record (const gp_platform_store_record_t *record, void *data)
{
  if (record->value_size > 0)
    turn_record (data, record);
}

static void
on_progress_record (const gp_platform_store_record_t *record, void *data)
{
  gp_job_entry_t *entry = data;

  gp_leader_record (&entry->leader, record, !entry->progress.loaded);
}

static void
take_node (gp_job_entry_t *entry, const char *name, const Gp__Jobs__Node *node)
{
  if (node->guard)
    gp_leader_guard (&entry->leader, name, node->address, node->zone);
  else if (strcmp (name, entry->settings->node) == 0)
    {
      if (gp_leader_outnumber (&entry->leader, node->incarnation))
        gp_announcer_renumber (&entry->announcer, entry->leader.incarnation);
    }
  else
    {
      gp_way_add (&entry->way, node->address);
      gp_leader_announced (&entry->leader, name, node->incarnation,
                           node->ceased);
    }
}

static void
on_node (const gp_platform_store_record_t *origin, void *data)
{
  gp_job_entry_t *entry = data;
  gp_record_t record;
  GError *error = NULL;

  if (origin->value_size == 0)
    return;
  if (gp_record_parse_node (&record, origin->key, origin->key_size,
                            origin->value, origin->value_size, &error))
    take_node (entry, record.subject, record.u.node);
  else
    {
      gp_refusals_record (&entry->leader.refusals, "nodes", &record, origin,
                          error);
      g_error_free (error);
    }
  gp_record_finish (&record);
}

/* A leader reads submissions at once, so that their work starts.  */
static void
space_jobs (gp_job_entry_t *entry)
{
  bool follows = entry->leader.role == GP_LEADER_FOLLOWING;

  gp_feed_set_spacing (&entry->jobs, follows ? JOBS_SPACING : 0);
}

/* Any feed that has become fresh may be the last one that the lead waited
   for.  */
static void
on_fresh (void *data)
{
  gp_job_entry_t *entry = data;
  bool ready = gp_feed_fresh (&entry->jobs, LEAD_AGE)
               && gp_feed_fresh (&entry->progress, LEAD_AGE)
               && entry->nodes.loaded && entry->operators.queues.version > 0;

  if (!entry->progress.running)
    return;
  gp_leader_fresh (&entry->leader, entry->progress.position,
                   entry->progress.fresh_at, ready);
  gp_counter_set (&leading_gauge, entry->leader.role == GP_LEADER_LEADING);
  entry->progress.look_at = gp_leader_claim_at (&entry->leader);
  /* From the lead on the book is ahead of the log: this entry reads no more of
     what it writes itself.  */
  if (entry->leader.role != GP_LEADER_FOLLOWING)
    gp_feed_stop (&entry->progress);
  space_jobs (entry);
}

/* The store has answered the feed of TOPIC after a failure: other calls may
   hang since the outage.  */
static void
retry_calls (gp_job_entry_t *entry, gp_topic_t topic)
{
  gp_feed_t *feeds[] = { &entry->operators.feed, &entry->jobs,
                         &entry->progress, &entry->nodes };

  for (size_t i = 0; i < G_N_ELEMENTS (feeds); i++)
    if (feeds[i]->topic != topic)
      gp_feed_retry (feeds[i]);
  gp_leader_retry (&entry->leader);
}

static void
on_state (gp_topic_t topic, bool down, const char *reason, void *data)
{
  static const char *const topics[]
      = { "documents", "jobs", "progress", "nodes" };
  gp_job_entry_t *entry = data;

  gp_log (GP_LOG_INFO, down ? "store.down" : "store.up",
          GP_LOG_S ("topic", topics[topic]), GP_LOG_S ("why", reason));
  gp_leader_deaf (&entry->leader);
  if (!down)
    retry_calls (entry, topic);
}

static void
on_deposed (bool claimed, void *data)
{
  gp_job_entry_t *entry = data;

  gp_counter_set (&leading_gauge, 0);
  space_jobs (entry);
  if (claimed)
    {
      gp_feed_resume (&entry->progress);
      return;
    }
  gp_announcer_cease (&entry->announcer, entry->leader.position);
  gp_book_clear (&entry->book);
  gp_feed_start (&entry->jobs);
  gp_feed_start (&entry->progress);
}

static void
on_zones (void *data)
{
  gp_job_entry_t *entry = data;

  gp_leader_zones_changed (&entry->leader);
}

static void
init_feeds (gp_job_entry_t *entry)
{
  static const gp_feed_callbacks_t jobs
      = { on_job_record, NULL, on_fresh, on_state };
  static const gp_feed_callbacks_t progress
      = { on_progress_record, NULL, on_fresh, on_state };
  static const gp_feed_callbacks_t nodes
      = { on_node, NULL, on_fresh, on_state };
  static const gp_operator_feed_callbacks_t operators
      = { on_zones, on_fresh, on_state };

  gp_operator_feed_init (&entry->operators, &entry->loop, entry->store,
                         &operators, entry);
  gp_feed_init (&entry->jobs, &entry->loop, entry->store, GP_TOPIC_JOBS,
                JOBS_SPACING, &jobs, entry);
  gp_feed_init (&entry->progress, &entry->loop, entry->store,
                GP_TOPIC_PROGRESS, PROGRESS_SPACING, &progress, entry);
  gp_feed_init (&entry->nodes, &entry->loop, entry->store, GP_TOPIC_NODES, 0,
                &nodes, entry);
}

/* Requests.  */

static void
on_request (gp_http_exchange_t *exchange, void *data)
{
  gp_job_entry_t *entry = data;

  gp_jobs_front_request (&entry->front, exchange);
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

static gp_http_server_t *
open_server (gp_job_entry_t *entry, const char *address, gp_traffic_t *traffic,
             void (*on_call) (gp_http_exchange_t *exchange, void *data),
             GError **error)
{
  const gp_http_server_options_t options = { .address = address,
                                             .max_body_size = BODY_MAX,
                                             .header_timeout = HEADER_TIME,
                                             .traffic = traffic,
                                             .on_request = on_call,
                                             .data = entry };

  return gp_http_server_new (&entry->loop, &options, error);
}

static bool
open_servers (gp_job_entry_t *entry, GError **error)
{
  const gp_platform_settings_t *settings = entry->settings;

  gp_traffic_register (&callers_traffic);
  entry->callers = open_server (entry, settings->front, &callers_traffic,
                                on_request, error);
  if (entry->callers == NULL)
    return false;
  entry->ready
      = open_server (entry, settings->ready, NULL, on_ready_request, error);
  if (entry->ready == NULL)
    return false;
  entry->metrics = open_server (entry, settings->metrics, NULL,
                                gp_metrics_request, error);
  return entry->metrics != NULL;
}

/* Life.  */

static void
on_served (void *data)
{
  gp_job_entry_t *entry = data;

  gp_log (GP_LOG_INFO, "process.stop");
  gp_loop_stop (&entry->loop);
}

static void
on_leave (gp_timer_t *timer, void *data)
{
  gp_job_entry_t *entry = data;

  gp_http_server_shutdown (entry->callers, on_served, entry);
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
  gp_http_server_disable_keepalive (entry->callers);
  gp_timer_arm (&entry->leave,
                gp_loop_now (&entry->loop)
                    + MIN (SERVE_ON_TIME, entry->settings->grace_time / 2));
}

bool
gp_job_entry_init (gp_job_entry_t *entry,
                   const gp_platform_settings_t *settings, GError **error)
{
  memset (entry, 0, sizeof *entry);
  entry->settings = settings;
  if (!gp_loop_init (&entry->loop, error))
    return false;
  gp_loop_on_signal (&entry->loop, on_stop, entry);
  gp_loop_on_reload (&entry->loop, on_reload, entry);
  gp_counter_register (&jobs_gauge);
  gp_counter_register (&leading_gauge);
  gp_timer_init (&entry->leave, &entry->loop, on_leave, entry);
  gp_book_init (&entry->book);
  entry->store = gp_platform_store_new (&entry->loop, settings->store,
                                        settings->link_rate, error);
  if (entry->store == NULL)
    return false;
  gp_way_init (&entry->way, &entry->loop, entry->store);
  gp_link_register ();
  gp_traffic_reporter_init (&entry->traffic, &entry->loop);
  init_feeds (entry);
  gp_leader_init (&entry->leader, &entry->loop, entry->store, &entry->book,
                  &entry->operators, settings->node, on_deposed, entry);
  gp_janitor_init (&entry->janitor, &entry->loop, entry->store, &entry->book,
                   &entry->leader, settings->status_time);
  gp_jobs_front_init (&entry->front, &entry->loop, entry->store, &entry->book,
                      &entry->operators.queues, &entry->jobs, on_job_record,
                      entry);
  if (!gp_job_relay_init (&entry->relay, &entry->loop, settings->relay,
                          settings->store, settings->link_rate, error))
    return false;
  if (!open_servers (entry, error))
    return false;
  gp_log (GP_LOG_INFO, "process.start", GP_LOG_S ("zone", settings->zone),
          GP_LOG_S ("front", settings->front),
          GP_LOG_S ("store", settings->store),
          GP_LOG_I ("link_rate", settings->link_rate));
  /* Peers are told where this entry passes calls on.  */
  gp_announcer_start (&entry->announcer, &entry->loop, entry->store, settings,
                      settings->relay, false, entry->leader.incarnation);
  gp_feed_start (&entry->operators.feed);
  gp_feed_start (&entry->jobs);
  gp_feed_start (&entry->progress);
  gp_feed_start (&entry->nodes);
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
  gp_jobs_front_finish (&entry->front);
  gp_traffic_reporter_finish (&entry->traffic);
  gp_janitor_finish (&entry->janitor);
  gp_operator_feed_finish (&entry->operators);
  gp_feed_finish (&entry->jobs);
  gp_feed_finish (&entry->progress);
  gp_feed_finish (&entry->nodes);
  gp_leader_finish (&entry->leader);
  gp_way_finish (&entry->way);
  gp_announcer_finish (&entry->announcer);
  gp_timer_finish (&entry->leave);
  gp_loop_finish (&entry->loop);
  gp_book_finish (&entry->book);
}

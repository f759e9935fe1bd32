/* What an entry reads from the log: records that are applied to the book, and
   the pace at which the topics are read.  */

#include <string.h>

#include "base/counters.h"
#include "base/log.h"
#include "jobsd/entry_private.h"

/* Maximum age of the book for this entry to take leadership: a feed of an idle
   topic is confirmed to be current once a second.  */
#define CLAIM_AGE_MAX (2 * GP_SEC)

static gp_counter_t jobs_gauge = GP_GAUGE ("jobs", "Jobs in the book");
static gp_counter_t submissions_gauge
    = GP_GAUGE ("book_submission_bytes", "Memory of accepted submissions");
static gp_counter_t tasks_gauge
    = GP_GAUGE ("book_task_bytes", "Memory of tasks that are known");
static gp_counter_t cancellations_gauge
    = GP_GAUGE ("book_cancellation_bytes",
                "Memory of cancellations of jobs that are not known");
static gp_counter_t submissions_max_gauge = GP_GAUGE (
    "book_submission_bytes_max", "Most bytes of accepted submissions");
static gp_counter_t tasks_max_gauge
    = GP_GAUGE ("book_task_bytes_max", "Most bytes of known tasks");
static gp_counter_t pending_gauge
    = GP_GAUGE ("pending_bytes", "Memory of submissions and cancellations "
                                 "that are on their way to the log");
static gp_counter_t pending_max_gauge
    = GP_GAUGE ("pending_bytes_max",
                "Most bytes of submissions and cancellations on their way");
static gp_counter_t leading_gauge
    = GP_GAUGE ("leading", "1 while this process leads");

static gp_counter_t standby_gauge = GP_GAUGE (
    "standby", "1 while this process leads, or follows the log closely");

void
gp_entry_register_gauges (void)
{
  gp_counter_register (&jobs_gauge);
  gp_counter_register (&submissions_gauge);
  gp_counter_register (&tasks_gauge);
  gp_counter_register (&cancellations_gauge);
  gp_counter_register (&submissions_max_gauge);
  gp_counter_register (&tasks_max_gauge);
  gp_counter_register (&pending_gauge);
  gp_counter_register (&pending_max_gauge);
  gp_counter_register (&leading_gauge);
  gp_counter_register (&standby_gauge);
}

/* Show what jobs and changes hold, and their limits.  */
static void
update_gauges (const gp_job_entry_t *entry)
{
  gp_counter_set (&jobs_gauge, g_hash_table_size (entry->book.jobs));
  gp_counter_set (&submissions_gauge, (int64_t)entry->book.costs.submissions);
  gp_counter_set (&tasks_gauge, (int64_t)entry->book.costs.tasks);
  gp_counter_set (&cancellations_gauge,
                  (int64_t)entry->book.costs.cancellations);
  gp_counter_set (&submissions_max_gauge,
                  (int64_t)gp_book_limit_submissions (&entry->book_limit));
  gp_counter_set (&tasks_max_gauge,
                  (int64_t)gp_book_limit_tasks (&entry->book_limit));
  gp_counter_set (&pending_gauge, (int64_t)entry->api.changes.bytes);
  gp_counter_set (&pending_max_gauge, (int64_t)entry->api.changes.max_bytes);
}

/* Apply a decoded record to the book; returns NULL and sets ERROR if it does
   not fit the current state.  */
static gp_job_t *
apply_record (gp_job_entry_t *entry, gp_record_t *record, GError **error)
{
  if (record->kind == GP_RECORD_CANCELLATION)
    return gp_book_cancel (&entry->book, record->subject);
  return gp_book_apply_submission (
      &entry->book, record->subject, g_steal_pointer (&record->u.submission),
      gp_loop_now (&entry->loop), gp_time_wall_ms (), error);
}

static void
apply_job_record (gp_job_entry_t *entry,
                  const gp_platform_store_record_t *origin)
{
  gp_record_t record;
  gp_job_t *job = NULL;
  GError *error = NULL;

  if (gp_record_parse_job (&record, origin->key, origin->key_size,
                           origin->value, origin->value_size, &error))
    job = apply_record (entry, &record, &error);
  else if (record.kind == GP_RECORD_SUBMISSION)
    gp_book_refuse_submission (&entry->book, record.subject);
  if (error != NULL)
    {
      gp_refusals_record (&entry->leader.refusals, "jobs", &record, origin,
                          error);
      g_error_free (error);
    }
  if (job != NULL)
    gp_leader_job_changed (&entry->leader, job);
  update_gauges (entry);
  gp_record_finish (&record);
}

void
gp_entry_on_job_record (const gp_platform_store_record_t *record, void *data)
{
  if (record->value_size > 0)
    apply_job_record (data, record);
}

/* A record that the feed delivers also answers the callers that wait for
   it.  */
static void
on_delivered_job_record (const gp_platform_store_record_t *record, void *data)
{
  gp_job_entry_t *entry = data;

  gp_entry_on_job_record (record, entry);
  gp_job_changes_delivered (&entry->api.changes, record);
}

static void
on_progress_record (const gp_platform_store_record_t *record, void *data)
{
  gp_job_entry_t *entry = data;

  gp_leader_apply_record (&entry->leader, record, !entry->progress.loaded);
}

static void
apply_node (gp_job_entry_t *entry, const char *name,
            const Gp__Jobs__Node *node)
{
  if (node->guard)
    gp_leader_set_guard (&entry->leader, name, node->address, node->zone);
  else if (strcmp (name, entry->settings->node) == 0)
    {
      if (gp_leader_raise_incarnation (&entry->leader, node->incarnation))
        gp_announcer_set_incarnation (&entry->announcer,
                                      entry->leader.incarnation);
    }
  else
    {
      gp_store_route_add_peer (&entry->route, name, node->zone, node->address);
      gp_job_appender_set_relay (&entry->appender, name, node->address);
      gp_leader_announced (&entry->leader, name, node->incarnation,
                           node->ceased);
      gp_standbys_entry_announced (
          &entry->standbys, name,
          (gp_candidacy_capacity_t){ node->cpu_milli, node->link_kbps });
      gp_book_limit_announced (&entry->book_limit, name,
                               (size_t)node->book_kib * 1024);
      entry->book.max_tasks = gp_book_limit_tasks (&entry->book_limit);
      if (entry->settings->rank_leaders)
        gp_leader_note_capacity (&entry->leader, name, node);
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
    apply_node (entry, record.subject, record.u.node);
  else
    {
      gp_refusals_record (&entry->leader.refusals, "nodes", &record, origin,
                          error);
      g_error_free (error);
    }
  gp_record_finish (&record);
}

static gp_reader_t
current_reader (const gp_job_entry_t *entry)
{
  /* A leader reads submissions without delay, so that their runs start.  */
  if (entry->leader.role != GP_LEADER_FOLLOWING)
    return GP_READER_LEADER;
  return gp_standbys_is_standby (&entry->standbys) ? GP_READER_STANDBY
                                                   : GP_READER_OTHER;
}

static void
set_pace (gp_feed_t *feed, gp_reader_t reader, gp_read_subject_t subject)
{
  gp_read_pace_t pace = gp_read_pace_of (reader, subject);

  gp_feed_set_pace (feed, &pace);
}

/* Set the pace of all topics to that of this entry's role.  */
static void
set_reader (gp_job_entry_t *entry)
{
  gp_reader_t reader = current_reader (entry);

  if (reader == entry->reader)
    return;
  entry->reader = reader;
  gp_counter_set (&standby_gauge, reader != GP_READER_OTHER);
  set_pace (&entry->operators.feed, reader, GP_READ_DOCUMENTS);
  set_pace (&entry->jobs, reader, GP_READ_JOBS);
  set_pace (&entry->progress, reader, GP_READ_PROGRESS);
  set_pace (&entry->nodes, reader, GP_READ_NODES);
}

/* Returns whether the submissions of all jobs that the progress names have
   been read.  A leader that lacked one would stop the runs of that job, and
   could not tell what an executor's end means for it.  */
static bool
knows_jobs (const gp_job_entry_t *entry)
{
  return gp_feed_is_current (&entry->jobs, CLAIM_AGE_MAX)
         && entry->jobs.caught_up_at
                >= gp_leader_record_read_at (&entry->leader);
}

/* Leadership can be claimed once all feeds have caught up, so each of them
   tries.  */
static void
on_caught_up (void *data)
{
  gp_job_entry_t *entry = data;
  bool ready = knows_jobs (entry)
               && gp_feed_is_current (&entry->progress, CLAIM_AGE_MAX)
               && entry->nodes.loaded && entry->operators.queues.version > 0;

  update_gauges (entry);
  gp_fresh_reads_check (&entry->api.reads);
  if (!entry->progress.running)
    return;
  if (!knows_jobs (entry)
      && entry->progress.caught_up_at >= gp_leader_claim_at (&entry->leader))
    gp_feed_refresh (&entry->jobs);
  gp_leader_caught_up (&entry->leader, entry->progress.position,
                       entry->progress.caught_up_at, ready);
  gp_counter_set (&leading_gauge, entry->leader.role == GP_LEADER_LEADING);
  entry->progress.poll_until = gp_leader_claim_at (&entry->leader);
  /* Once this entry leads, the book is ahead of the log: the entry stops
     reading the topic that it writes itself.  */
  if (entry->leader.role != GP_LEADER_FOLLOWING)
    gp_feed_stop (&entry->progress);
  set_reader (entry);
}

static void
on_jobs_caught_up (void *data)
{
  gp_job_entry_t *entry = data;

  gp_job_changes_caught_up (&entry->api.changes);
  on_caught_up (entry);
}

/* The store has answered the feed of TOPIC after a failure: other calls that
   were sent during the outage may still hang.  */
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
  gp_leader_reset_takeover_timeout (&entry->leader);
  if (!down)
    retry_calls (entry, topic);
  else
    gp_fresh_reads_check (&entry->api.reads);
}

void
gp_entry_on_leadership_lost (bool claimed, void *data)
{
  gp_job_entry_t *entry = data;

  gp_counter_set (&leading_gauge, 0);
  set_reader (entry);
  if (claimed)
    {
      gp_feed_resume (&entry->progress);
      return;
    }
  gp_announcer_end_term (&entry->announcer, entry->leader.position);
  gp_book_clear (&entry->book);
  gp_feed_start (&entry->jobs);
  gp_feed_start (&entry->progress);
}

void
gp_entry_on_store_result (bool answered, gp_time_t sent_at, void *data)
{
  gp_job_entry_t *entry = data;

  gp_store_route_add_result (&entry->route, answered, sent_at);
  if (answered)
    gp_job_changes_answered (&entry->api.changes);
}

static void
on_zones (void *data)
{
  gp_job_entry_t *entry = data;

  gp_leader_zones_changed (&entry->leader);
}

void
gp_entry_init_feeds (gp_job_entry_t *entry)
{
  static const gp_feed_callbacks_t jobs
      = { on_delivered_job_record, NULL, on_jobs_caught_up, on_state };
  static const gp_feed_callbacks_t progress
      = { on_progress_record, NULL, on_caught_up, on_state };
  static const gp_feed_callbacks_t nodes
      = { on_node, NULL, on_caught_up, on_state };
  static const gp_operator_feed_callbacks_t operators
      = { on_zones, on_caught_up, on_state };

  gp_operator_feed_init (&entry->operators, &entry->loop, entry->store,
                         &operators, entry);
  gp_feed_init (&entry->jobs, &entry->loop, entry->store, GP_TOPIC_JOBS, &jobs,
                entry);
  gp_feed_init (&entry->progress, &entry->loop, entry->store,
                GP_TOPIC_PROGRESS, &progress, entry);
  gp_feed_init (&entry->nodes, &entry->loop, entry->store, GP_TOPIC_NODES,
                &nodes, entry);
  set_reader (entry);
}

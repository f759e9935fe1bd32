/* Declarations shared by the files of the store: proposals (store.c), reading
   of the log (store_read.c) and snapshots (store_snapshot.c).  */

#ifndef GP_DAEMON_STORE_PRIVATE_H
#define GP_DAEMON_STORE_PRIVATE_H

#include "base/counters.h"
#include "base/idpool.h"
#include "daemon/store.h"
#include "state/active_writers.h"
#include "state/snapshot.h"
#include "transport/log_client.h"

struct gp_proposal
{
  gp_list_t link; /* in gp_store_t.decided once it has its result */
  gp_writer_entry_t *entry;
  uint64_t token;
  bool decided;
  gp_proposal_result_t result;
  gp_fold_verdict_t verdict;
  gp_proposal_done_t done;
  void *data;
};

/* The stream that a store reads, and its gauges, which two stores of one
   process must not share.  */
typedef struct
{
  const char *address;
  const char *stream;
  uint32_t stream_count; /* number of such streams on the same log service */
  gp_counter_t *ready;
  gp_counter_t *available;
} gp_store_source_t;

struct gp_store
{
  gp_store_source_t source; /* its strings belong to the settings */
  gp_loop_t *loop;
  gp_timeline_t *timeline;
  char *name;
  uint64_t incarnation;
  gp_stream_t *stream;
  gp_follower_t follower;
  gp_writer_t writer;
  gp_active_writers_t active_writers;
  gp_snapshot_t snapshot;
  gp_list_t subscribers;
  gp_idpool_t proposals;    /* token -> gp_proposal_t */
  gp_list_t decided;        /* of gp_proposal_t whose done is due */
  gp_deferred_t deliver;    /* calls done of the decided proposals */
  gp_timer_t timer;         /* for the writer and the next snapshot record */
  gp_timer_t copy_timer;    /* for the next rows of a snapshot */
  gp_closer_t closer;       /* frees the memory after the timers */
  gp_time_t append_timeout; /* duration */
  gp_time_t read_at;        /* when the last complete read was sent */
  unsigned read_failures;   /* consecutive failed reads */
  uint64_t restarts;        /* restarts of the follower that were reported to
                               subscribers */
  uint64_t snapshot_as_of;  /* as_of of the newest known snapshot, plus 1 */
  bool up;                  /* as recorded in the timeline */
  bool closing;
};

/* Open the stream and start reading; store_read.c.  */
bool gp_store_open_stream (gp_store_t *store, const gp_settings_t *settings,
                           GError **error);

/* Callback of the fold for each change while it applies a batch.  */
void gp_store_on_change (const gp_fold_change_t *change, void *data);

/* Make the stream read from the offset that the follower needs.  */
void gp_store_follow (gp_store_t *store);

/* Process the writer's actions.  Must be called right after each call that
   may decide a record, since the record's writer entry is freed by it.  */
void gp_store_process_actions (gp_store_t *store);

/* Write what is due and rearm the timer.  */
void gp_store_process (gp_store_t *store);

/* Record an event in the timeline, if there is one.  */
void gp_store_record_event (gp_store_t *store, gp_timeline_kind_t kind);

/* Update the gauge, and log a change between up and down.  */
void gp_store_update_health (gp_store_t *store);

/* Start a snapshot if one is due.  */
void gp_store_check_snapshot (gp_store_t *store);

/* Queue the snapshot's next record if it is due.  */
void gp_store_write_snapshot (gp_store_t *store);

void gp_store_on_copy_timer (gp_timer_t *timer, void *data);

#endif

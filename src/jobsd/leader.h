/* The leading entry: the one process that assigns runs to executors.

   Any entry can become the leader.  Leadership is taken by a conditional
   append to the progress topic: it is refused unless the topic still ends at
   the offset up to which the writer has read.  Every later append has the same
   condition, so the next process that appends ends the leadership of the one
   before it, and each decision of a leader is either in the log or has no
   effect.  The offset of the record that took leadership is the epoch.

   Orders are sent only after the append that records their reason was
   acknowledged.  An append that gets no answer is repeated with the same bytes
   and the same condition until its outcome is known.

   A guard's reports renew its executor's lease: each acknowledged report lets
   the executor work for another GP_AGENT_LEASE_TIME.  A leader acknowledges
   reports only while its own last acknowledged append is at most
   GP_GRANTS_TERM_TIME old, and not after it has begun to resign.  How long
   other leaders may still have renewed leases is tracked in jobs/grants.h.

   A leader resigns when its process stops or, if leaders are ranked by
   capacity, when it hands over to a stronger entry.  In the second case its
   process follows the log again, with a new book as after any other loss of
   leadership.  */

#ifndef GP_JOBSD_LEADER_H
#define GP_JOBSD_LEADER_H

#include "jobs/candidacy.h"
#include "jobs/filling_names.h"
#include "jobs/grants.h"
#include "jobs/reply_watch.h"
#include "jobs/room.h"
#include "jobs/scheduler.h"
#include "jobs/spec_distribution.h"
#include "jobs/standbys.h"
#include "jobsd/feed.h"
#include "jobsd/frame_io.h"
#include "jobsd/operator_feed.h"
#include "jobsd/refusals.h"
#include "platform/store.h"

typedef enum
{
  GP_LEADER_FOLLOWING,
  GP_LEADER_CLAIMING, /* append that takes leadership is in flight */
  GP_LEADER_LEADING
} gp_leader_role_t;

typedef struct gp_leader gp_leader_t;

/* The leader's connection to the guard of one VM.  */
typedef struct
{
  gp_leader_t *leader;
  char *node;
  char *address;
  char *zone; /* availability zone of the VM */
  gp_peer_t *peer;
  gp_timer_t redial;
  gp_job_executor_t *executor; /* the executor on the VM, NULL if unknown */
  gp_time_t reported_at;     /* last report received, or connection attempt */
  gp_time_t first_report_at; /* first report to this leader received; 0: none
                                yet */
  gp_time_t report_sent_at;  /* last report sent, on the guard's clock */
  uint64_t sync;             /* number of the last sync sent or queued */
  bool needs_sync; /* the guard has to be sent the full list of its runs */
  gp_time_t sync_sent_at; /* the last sync was built, or sent */
  bool has_executor;      /* the guard's last report names an executor */
  bool executor_lost;     /* the executor's lease has expired and it does not
                             answer, or it has ended */
  gp_time_t weights_sent_at;    /* interference weights were last sent to the
                                   guard */
  gp_filling_cursor_t fillings; /* the part of leader->fillings that was sent
                                   to the guard */
  GPtrArray *missing_specs;     /* ids, owned, of jobs whose specification the
                                   guard has to be sent */
  bool reporting;               /* the guard reports on this connection */
  bool awaits_record;  /* its last report asks for confirmation that it is on
                          record */
  gp_time_t confirmed; /* send time of the last report that was confirmed so on
                          this connection, on the guard's clock */
  gp_reply_watch_t replies; /* on this connection */
  bool unheard;             /* they do not reach the guard */
} gp_guard_link_t;

struct gp_leader
{
  gp_loop_t *loop;
  gp_platform_store_t *store;
  gp_book_t *book;
  const char *node;
  const gp_operator_feed_t *operators;
  uint64_t incarnation;
  gp_scheduler_t scheduler;
  gp_pressure_t pressure;      /* interference model, learned from the guards'
                                  reports */
  gp_filling_names_t fillings; /* images of filling runs, as sent to guards */
  GHashTable *links;           /* node to gp_guard_link_t, owned */
  GHashTable *places;          /* node to id of its executor, owned */
  GHashTable *disputed; /* ids, owned, of executors that records place on two
                           VMs: until a guard reports such an executor, its
                           place is not taken as proof of a replacement */
  gp_spec_distribution_t specs; /* which guards hold which specifications */
  GPtrArray *progress_drops; /* ids, owned, of jobs whose progress records are
                                to be deleted */
  GHashTable *new_places;    /* key to place record, owned, not written yet */
  gp_leader_role_t role;
  uint64_t epoch;
  uint64_t position; /* end offset of the progress topic, as far as known */
  uint64_t heartbeat_number;
  uint64_t sync_count;
  gp_time_t confirmed_at; /* send time of the last acknowledged append */
  gp_grants_t grants; /* until when other leaders may have renewed leases */
  gp_time_t record_read_at;  /* last readable record of the topic read while
                                following */
  gp_time_t record_interval; /* moving average of the time between such
                                reads */
  bool resigned;     /* the last leader has ended: its record says so, or it
                        was an earlier process of this VM */
  bool led_here;     /* it was an earlier process of this VM */
  bool leader_known; /* a leader's record has been read */
  char *leader_node; /* owned: the node that the last such record names; NULL:
                        it resigned, the record was unreadable, or there was
                        none since this entry led */
  bool book_reset;   /* this entry lost leadership and reset its book, and no
                        other entry has led since */
  GByteArray *batch; /* the append in progress */
  unsigned batch_records;
  guint leadership_at;  /* position in the batch of the leader's record, which
                           is its last one */
  GArray *batch_states; /* batch_state_t of the jobs in the batch */
  gp_time_t batch_began_at;    /* first attempt to send the batch, also if that
                                  was refused */
  gp_time_t batch_leases_from; /* the leadership that the batch confirms,
                                  and leases based on that, count from here:
                                  the first attempt that may have been
                                  carried out */
  bool batch_is_partial;       /* changed jobs are left that did not fit in */
  bool outcome_unknown;  /* an attempt to append the batch got no answer */
  bool resigning;        /* the batch gives leadership up */
  bool handing_over;     /* it does so for a stronger entry, and this process
                            goes on as a follower */
  gp_time_t append_time; /* a duration: of the last acknowledged append, from
                            its first attempt */
  const gp_standbys_t *standbys; /* order of claims; NULL: none */
  gp_candidacy_t candidacy; /* without capacities unless leaders are ranked */
  gp_platform_store_call_t *call;
  GPtrArray *frames; /* frame_t of leader_frames.c, sent when the append is
                        done */
  gp_time_t heartbeat_due;
  gp_time_t check_due;   /* next check of all executors */
  gp_time_t learned_due; /* next write of the learned model */
  size_t record_bytes;   /* most bytes of a record of the log, with its key, 0:
                            not known */
  size_t append_bytes;   /* the same of all records of an append */
  bool writes_room;      /* this entry writes room records while it leads */
  gp_room_t room;
  gp_room_reading_t room_reading; /* the newest room record, also of this
                                     entry */
  gp_timer_t timer;
  gp_timer_t retry;
  gp_deferred_t round;
  bool stopping;
  /* Leadership was lost or, if CLAIMED, the attempt to take it failed.  The
     book of an entry that has led has to be reloaded, as it contains decisions
     that are not in the log; that of one that has not still matches the
     log.  */
  void (*on_leadership_lost) (bool claimed, void *data);
  void *data;
  gp_refusals_t refusals; /* of the whole entry, not only of the leader */
};

void gp_leader_init (gp_leader_t *leader, gp_loop_t *loop,
                     gp_platform_store_t *store, gp_book_t *book,
                     const gp_operator_feed_t *operators, const char *node,
                     void (*on_leadership_lost) (bool claimed, void *data),
                     void *data);
void gp_leader_finish (gp_leader_t *leader);

/* Another process of this VM has used INCARNATION.  Incarnations are read from
   the wall clock, which may step back between two starts, and other entries
   take a record with a lower incarnation as that of a process that has ended.
   Returns whether a higher incarnation was chosen, which then has to be
   announced.  */
bool gp_leader_raise_incarnation (gp_leader_t *leader, uint64_t incarnation);

/* The entry on NODE has announced itself, see gp_grants_process_announced.  */
void gp_leader_announced (gp_leader_t *leader, const char *node,
                          uint64_t incarnation, uint64_t ceased);

/* Rank the entries by capacity, see jobs/candidacy.h.  CPU_MILLI, in
   thousandths of a core, and LINK_KBPS, in kilobits per second, are those of
   this entry; 0: unknown.  */
void gp_leader_set_capacity (gp_leader_t *leader, uint32_t cpu_milli,
                             uint32_t link_kbps);
/* The entry on NODE has announced itself with RECORD, which contains its
   capacity.  */
void gp_leader_note_capacity (gp_leader_t *leader, const char *node,
                              const Gp__Jobs__Node *record);

/* A record of the progress topic was read while following, possibly a deletion
   of a key.  LOADING: it is the newest record of its key, and earlier ones
   were not read.  */
void gp_leader_apply_record (gp_leader_t *leader,
                             const gp_platform_store_record_t *record,
                             bool loading);
/* The topic was read up to offset POSITION by a read sent at SENT_AT.  READY:
   the jobs are known as well, so leadership may be claimed.  */
void gp_leader_caught_up (gp_leader_t *leader, uint64_t position,
                          gp_time_t sent_at, bool ready);
/* Time of the last record read while following.  A leader writes only about
   jobs whose submissions it has read, so the jobs that the records name are
   known once the submissions have been read after that.  */
gp_time_t gp_leader_record_read_at (const gp_leader_t *leader);
/* When this follower claims leadership unless a record of the leader arrives
   before.  */
gp_time_t gp_leader_claim_at (const gp_leader_t *leader);
/* Returns the node of the entry that leads, as far as this entry knows, or
   NULL.  */
const char *gp_leader_current_node (const gp_leader_t *leader);
/* The store answers again: repeat an append that may hang.  */
void gp_leader_retry (gp_leader_t *leader);
/* The progress topic could not be read for a while: restart the time without a
   leader's record, which says nothing about the leader then.  */
void gp_leader_reset_takeover_timeout (gp_leader_t *leader);

/* The guard of NODE, in availability zone ZONE, is reached at ADDRESS.  */
void gp_leader_set_guard (gp_leader_t *leader, const char *node,
                          const char *address, const char *zone);
/* The set of evacuated availability zones has changed.  */
void gp_leader_zones_changed (gp_leader_t *leader);
/* JOB was submitted or cancelled.  */
void gp_leader_job_changed (gp_leader_t *leader, gp_job_t *job);

/* With the next append, delete the progress records of jobs that ended before
   WALL_MS, and remove these jobs from the book.  */
void gp_leader_drop_progress (gp_leader_t *leader, int64_t wall_ms);

/* Give leadership up, once the append in flight is done.  */
void gp_leader_resign (gp_leader_t *leader);

#endif

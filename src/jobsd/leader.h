/* The leading entry: the one process that assigns runs.

   Any entry may lead.  The lead is taken by an append to the progress topic
   that is refused unless the topic ends where its writer has read to, and
   each later append has the same condition; so whoever appends next ends the
   lead of the one before, and all that a leader decided is on the log or
   never happened.  The offset of the record that took the lead is the epoch.

   Orders leave only after the append that holds their reason was
   acknowledged.  An append without an answer is repeated with the same bytes
   and the same condition until its fate is known.

   A guard's reports are leases: each one that is acknowledged lets the
   executor work for GP_AGENT_LEASE_TIME more.  A leader acknowledges while
   its own last append is at most GP_GRANTS_TERM_TIME old, and not once it has
   begun to resign.  Until when others may have given leases is in
   jobs/grants.h.  */

#ifndef GP_JOBSD_LEADER_H
#define GP_JOBSD_LEADER_H

#include "jobs/grants.h"
#include "jobs/scheduler.h"
#include "jobs/spec_distribution.h"
#include "jobsd/feed.h"
#include "jobsd/link.h"
#include "jobsd/operator_feed.h"
#include "jobsd/refusals.h"
#include "platform/store.h"

typedef enum
{
  GP_LEADER_FOLLOWING,
  GP_LEADER_CLAIMING, /* the append that takes the lead is on its way */
  GP_LEADER_LEADING
} gp_leader_role_t;

typedef struct gp_leader gp_leader_t;

/* The connection to one guard.  */
typedef struct
{
  gp_leader_t *leader;
  char *node;
  char *address;
  char *zone; /* availability zone of the VM */
  gp_peer_t *peer;
  gp_timer_t redial;
  gp_job_executor_t *executor; /* the one on the VM, NULL: none known */
  gp_time_t reported_at;       /* the last report came, or it was dialled */
  gp_time_t obeyed_at;         /* the first report to this leader came, 0: none
                                  yet */
  gp_time_t report_sent_at;    /* the last report left, on the guard's clock */
  uint64_t sync;               /* number of the last sync sent or being sent */
  bool wants_sync;             /* the guard has to be told all its runs */
  gp_time_t synced_at;         /* the last sync was made, or sent */
  bool sees_executor;          /* the guard's last report names one */
  bool silent; /* the executor's lease has run out and it does not answer, or
                  it has ended */
  gp_time_t taught_at; /* the guard was told the pressures last */
  guint taught_images; /* images that fill that it was told */
  GPtrArray *lacking;  /* ids of jobs, owned, whose specification the guard
                          is to be sent */
  bool up;             /* it reports */
} gp_link_t;

struct gp_leader
{
  gp_loop_t *loop;
  gp_platform_store_t *store;
  gp_book_t *book;
  const char *node;
  const gp_operator_feed_t *operators;
  uint64_t incarnation;
  gp_scheduler_t scheduler;
  gp_pressure_t pressure; /* learned from the guards' reports */
  GPtrArray *fillings;    /* images that fill, owned, in the order in which
                             guards are told of them */
  GHashTable *links;      /* node to gp_link_t, owned */
  GHashTable *places;     /* node to id of its executor, owned */
  GHashTable *disputed;   /* ids that records place on two VMs, owned: until
                             a guard reports one, its place proves nothing */
  gp_spec_distribution_t specs; /* what the guards hold */
  GPtrArray *drops;             /* ids of jobs whose progress goes, owned */
  GHashTable *new_places;       /* key to record, owned: not yet written */
  gp_leader_role_t role;
  uint64_t epoch;
  uint64_t position; /* the progress topic's end, as far as known */
  uint64_t beat;
  uint64_t sync_count;
  gp_time_t confirmed_at; /* sending of the last acknowledged append */
  gp_grants_t grants;     /* leases that others may have given */
  gp_time_t heard_at;     /* the last record of another leader was read */
  gp_time_t heard_gap;    /* mean duration between such reads */
  bool resigned;          /* the last leader's record says so */
  bool led;               /* there was a leader's record at all */
  bool forgot;            /* it threw its book away, and no other has led
                             since */
  GByteArray *batch;      /* the append in progress */
  unsigned batch_records;
  GArray *batch_states;     /* of the jobs in it, see jobsd/leader.c */
  gp_time_t batch_began_at; /* its first sending, also if that was refused */
  gp_time_t batch_leases_from; /* the lead that it confirms, and leases by
                                  that, count from then: its first sending that
                                  may have been carried out */
  bool doubtful;               /* it went unanswered once */
  bool resigning;              /* it gives the lead up */
  gp_platform_store_call_t *call;
  GPtrArray *frames; /* gp_leader_frame_t, to be sent when it is done */
  gp_time_t heartbeat_due;
  gp_time_t look_due;    /* executors are looked after then */
  gp_time_t learned_due; /* what was learned is to be written down then */
  gp_timer_t timer;
  gp_timer_t retry;
  gp_deferred_t turn;
  bool stopping;
  /* The lead was lost, or (CLAIMED) not won.  A book that was led has to be
     read anew; one that was not is still what the log says.  */
  void (*on_deposed) (bool claimed, void *data);
  void *data;
  gp_refusals_t refusals; /* of the whole entry */
};

void gp_leader_init (gp_leader_t *leader, gp_loop_t *loop,
                     gp_platform_store_t *store, gp_book_t *book,
                     const gp_operator_feed_t *operators, const char *node,
                     void (*on_deposed) (bool claimed, void *data),
                     void *data);
void gp_leader_finish (gp_leader_t *leader);

/* A process of this VM has had the number INCARNATION.  Numbers are read off
   the time of day, which may jump back between two starts; others take the
   word of a lower one for that of a process that has ended.  Returns whether a
   higher number than it was taken, which has to be announced.  */
bool gp_leader_outnumber (gp_leader_t *leader, uint64_t incarnation);

/* The entry on NODE has announced itself, see gp_grants_process_announced.  */
void gp_leader_announced (gp_leader_t *leader, const char *node,
                          uint64_t incarnation, uint64_t ceased);

/* A record of the progress topic was read (while following), also one that
   drops a key; LOADING: it is the newest of its key, and those before it were
   not read.  */
void gp_leader_record (gp_leader_t *leader,
                       const gp_platform_store_record_t *record, bool loading);
/* All up to POSITION was read, by a read sent at SENT_AT.  READY: the jobs
   are known as well, so that the lead may be taken.  */
void gp_leader_fresh (gp_leader_t *leader, uint64_t position,
                      gp_time_t sent_at, bool ready);
/* When this follower tries to lead unless it hears the leader before.  */
gp_time_t gp_leader_claim_at (const gp_leader_t *leader);
/* The store answers again: an append that may hang is made again.  */
void gp_leader_retry (gp_leader_t *leader);
/* The progress topic could not be read for a while: silence says nothing.  */
void gp_leader_deaf (gp_leader_t *leader);

/* The guard of NODE, in availability zone ZONE, is reached at ADDRESS.  */
void gp_leader_guard (gp_leader_t *leader, const char *node,
                      const char *address, const char *zone);
/* Availability zones were evacuated or taken back.  */
void gp_leader_zones_changed (gp_leader_t *leader);
/* JOB has come or was cancelled.  */
void gp_leader_job (gp_leader_t *leader, gp_job_t *job);

/* Drop the progress of jobs that ended before WALL_MS with the next append,
   and forget them.  */
void gp_leader_drop_progress (gp_leader_t *leader, int64_t wall_ms);

/* Give the lead up; ends when what is on its way is done.  */
void gp_leader_resign (gp_leader_t *leader);

#endif

/* What the parts of daemon/tasks.h share.

   tasks.c           wiring, responsibility, time
   tasks_mirror.c    the mirror of the fold's tasks
   tasks_place.c     queue, placement, grants and starts
   tasks_park.c      tasks that can't run
   tasks_report.c    reports of guards, ends, checkpoints, stops
   tasks_lease.c     heartbeats, vouches, adoptions and fences
   tasks_guard.c     guards and their workers in the fleet
   tasks_watch.c     watchers at their declared counts
   tasks_interfere.c usage, learning, remedies
   tasks_submit.c    submissions and cancellations
   tasks_view.c      views for operators

   A gp_tasks_task_t mirrors each task of the fold that has not ended, with
   what this entry knows beside the fold.  Quotas are charged by declared
   sizes in log order, so that all entries agree.  The fleet is charged by
   what this entry reserves, which may be a learned size.  */

#ifndef GP_DAEMON_TASKS_PRIVATE_H
#define GP_DAEMON_TASKS_PRIVATE_H

#include "base/heap.h"
#include "coordination/estimate.h"
#include "coordination/fleet.h"
#include "coordination/interference.h"
#include "coordination/lease_grantor.h"
#include "coordination/limiter.h"
#include "coordination/members.h"
#include "coordination/pending.h"
#include "coordination/placement.h"
#include "coordination/quota.h"
#include "coordination/remedy.h"
#include "coordination/residency.h"
#include "coordination/spread.h"
#include "coordination/suspects.h"
#include "daemon/tasks.h"

/* How long a proposal may wait to be sent.  */
#define GP_TASKS_PROPOSAL_TIME (5 * GP_SEC)

typedef enum
{
  GP_TASKS_IDLE,     /* parked, or another entry places it */
  GP_TASKS_QUEUED,   /* this entry places it */
  GP_TASKS_PROPOSED, /* a grant is on its way to the log */
  GP_TASKS_GRANTED
} gp_tasks_stage_t;

/* A batch job or watcher by its name.  */
typedef struct
{
  char *name;
  uint16_t index;
  gp_estimate_t estimate;
  /* Of a watcher: */
  uint32_t live;     /* neither ended nor cancelled */
  uint32_t proposed; /* submissions on their way to the log */
  uint64_t salt;     /* of ids, after one was taken */
  int64_t seed_us;   /* when the last was submitted, log time */
} gp_tasks_kind_t;

typedef struct
{
  char *name;
  uint32_t index;
  bool mine; /* this entry places its tasks */
  uint32_t max_tasks;
  uint32_t running; /* granted or proposed here */
} gp_tasks_team_t;

/* A guard with a worker.  */
typedef struct
{
  char *name;
  gp_session_t *session;     /* announced, or NULL */
  const gp_member_t *member; /* NULL: gone */
  uint64_t incarnation;      /* of its lease, as announced last */
  uint64_t inherits;
  bool mine;    /* this entry proposes its fences and adoptions first */
  bool leaving; /* it said so */
  bool added;   /* its worker is in the fleet */
  gp_worker_t worker;
  uint32_t slots;        /* of its upstream */
  gp_time_t heard;       /* last heartbeat, 0: never */
  gp_time_t lease_until; /* as far as this entry renewed it */
  gp_list_t placed;      /* of gp_tasks_task_t */
  gp_residency_t residency;
  gp_remedy_t remedy;
  uint64_t inventory_of; /* incarnation of the inventory, 0: none */
  GArray *inventory;     /* of gp_tasks_epoch_t */
  /* Records to be proposed until they are read: incarnations, 0: none.  */
  uint64_t adopt;
  uint64_t fence;
  uint64_t fence_done;
  gp_time_t propose_at;
  gp_time_t fence_asked;
  bool proposing;
  gp_list_t wanted_link; /* in gp_tasks_t.wanted */
  gp_heap_node_t look;   /* in gp_tasks_t.looks */
  gp_time_t look_at;     /* its order there */
} gp_tasks_guard_t;

typedef struct
{
  uint64_t task;
  uint64_t epoch;
} gp_tasks_epoch_t;

typedef struct
{
  uint64_t id; /* first: key of the table */
  gp_tasks_stage_t stage;
  gp_pending_task_t pending;
  gp_placement_request_t ask;
  gp_suspects_task_t failures;
  gp_tasks_kind_t *kind;
  gp_tasks_team_t *team;
  gp_tasks_guard_t *guard; /* where it is placed, or NULL */
  gp_list_t placed_link;   /* in the guard's list */
  gp_list_t due_link;      /* in gp_tasks_t.due */
  gp_time_t due_at;
  uint64_t epoch; /* proposed or granted */
  bool counted;   /* in the running tasks of its team */
  bool confirmed; /* the fleet's reservation is in the guard's report */
  bool running;   /* the guard said so */
  bool over_quota;
  bool throttled;
  bool ending;        /* an End of this epoch is on its way */
  bool checkpointing; /* likewise a Checkpoint */
  bool parking;       /* likewise a Park */
  bool cancelling;    /* likewise a Cancel of a watcher */
  gp_resources_t peak;
  gp_time_t waits_since; /* for a start or a stop */
  gp_time_t reported_at; /* first copy of the report of its end, 0: none */
  gp_time_t saved_at;    /* last checkpoint, or start */
  gp_placement_outcome_t outcome; /* of the last choice */
  gp_placement_cost_t cost;
} gp_tasks_task_t;

typedef struct gp_tasks_submitting gp_tasks_submitting_t;

struct gp_tasks
{
  gp_session_host_t *host;
  gp_store_t *store;
  const gp_settings_t *settings;
  gp_timeline_t *timeline;
  GRand *rand;
  uint64_t incarnation;
  const gp_document_t *document; /* NULL before the first */
  uint64_t revision;             /* of it */
  gp_store_subscriber_t subscriber;
  gp_timer_t timer;
  gp_deferred_t deferred; /* places what waits */
  gp_time_t tick_at;
  gp_time_t started_at;

  GHashTable *tasks;  /* set of gp_tasks_task_t */
  GHashTable *guards; /* name -> gp_tasks_guard_t */
  gp_heap_t looks;    /* of all of them, by the time of their next look */
  gp_list_t wanted;   /* those with a record that may be wanted */
  GHashTable *kinds;  /* name -> gp_tasks_kind_t */
  GHashTable *teams;  /* name -> gp_tasks_team_t */
  GHashTable *places; /* zone and rack names -> number from 1 */
  GHashTable *racks;
  GHashTable *services;
  uint64_t zones;     /* in use, a bit each */
  uint64_t evacuated; /* of these, those in which nothing is started */
  uint32_t n_zones;

  gp_pending_t pending;
  gp_quota_t quota;
  gp_fleet_t fleet;
  gp_spread_t spread;
  gp_interference_t interference;
  gp_placement_t placement;
  gp_suspects_t suspects;
  gp_limiter_t evictions;
  bool may_evict;
  gp_list_t due; /* of gp_tasks_task_t: to be looked at again, by time */
  gp_time_t due_period;
  uint32_t lost;        /* epochs, since lost_since */
  gp_time_t lost_since; /* of the count */
  bool paced;
  uint64_t released;    /* changes when quota or a task comes free */
  uint64_t full_growth; /* of the fleet and RELEASED, when nothing fitted */
  gp_time_t full_until;
  gp_time_t room_at; /* when more room is next looked at */

  gp_lease_grantor_t grantor;
  const gp_settings_member_t *others[GP_LEASE_GRANTOR_MAX_ENTRIES];
  unsigned n_others;
  uint64_t entry_set;

  uint64_t live_entries; /* digest of the other entries thought alive */
  GPtrArray *entries;    /* their names */
  uint64_t next_id;
  GPtrArray *submitting; /* of gp_tasks_submitting_t */
  bool watchers_changed; /* counts are to be compared again */
  bool shapes_changed;   /* what was too large may fit now */
  uint64_t shapes_growth;
};

static inline gp_time_t
gp_tasks_now (const gp_tasks_t *tasks)
{
  return gp_loop_now (tasks->host->loop);
}

/* tasks.c */

gp_tasks_task_t *gp_tasks_find (const gp_tasks_t *tasks, uint64_t id);
gp_tasks_kind_t *gp_tasks_kind (gp_tasks_t *tasks, const char *name);
gp_tasks_team_t *gp_tasks_team (gp_tasks_t *tasks, const char *name);

/* Whether this entry is the one that acts first on NAME of SCOPE.  */
bool gp_tasks_is_mine (const gp_tasks_t *tasks, const char *scope,
                       const char *name);

/* Look at TASK again after the usual period.  */
void gp_tasks_set_due (gp_tasks_t *tasks, gp_tasks_task_t *task);

/* Propose RECORD; false when the store took nothing.  */
bool gp_tasks_propose (gp_tasks_t *tasks, const Gp__Record__Record *record,
                       gp_writer_priority_t priority, gp_proposal_done_t done,
                       void *data);

void gp_tasks_event (gp_tasks_t *tasks, gp_timeline_kind_t kind, uint64_t task,
                     uint64_t epoch, const char *vm, const char *text);

/* A short name of the state of a task.  */
const char *gp_tasks_state_name (const gp_tasks_t *tasks,
                                 const gp_fold_task_t *state);

/* tasks_mirror.c */

/* For the store: DATA is the gp_tasks_t.  */
void gp_tasks_on_change (const gp_fold_change_t *change, void *data);
void gp_tasks_on_rebuilt (void *data);
/* Drop the mirror; what the fleet holds of it goes with it.  */
void gp_tasks_forget_all (gp_tasks_t *tasks);

/* tasks_place.c */

void gp_tasks_place_init (gp_tasks_t *tasks);
void gp_tasks_place_finish (gp_tasks_t *tasks);

/* Place what may start now, and arm for the rest.  */
void gp_tasks_place (gp_tasks_t *tasks);
void gp_tasks_place_soon (gp_tasks_t *tasks);

/* Put TASK, pending on the log, into the queue if its team is placed here;
   with BACKOFF not at once.  */
void gp_tasks_enqueue (gp_tasks_t *tasks, gp_tasks_task_t *task, bool backoff);
void gp_tasks_dequeue (gp_tasks_t *tasks, gp_tasks_task_t *task);

/* The grant of TASK was read.  */
void gp_tasks_granted (gp_tasks_t *tasks, gp_tasks_task_t *task,
                       const gp_fold_task_t *state, const gp_fold_guard_t *of);

/* Reserve the worker of GUARD for TASK, or let go of it.  */
void gp_tasks_put (gp_tasks_t *tasks, gp_tasks_task_t *task,
                   gp_tasks_guard_t *guard);
void gp_tasks_unput (gp_tasks_t *tasks, gp_tasks_task_t *task);

/* The guard's reports hold TASK from now on.  */
void gp_tasks_confirm (gp_tasks_t *tasks, gp_tasks_task_t *task);

/* Send what TASK, granted, still lacks: start, stop or end.  */
void gp_tasks_push (gp_tasks_t *tasks, gp_tasks_task_t *task);

/* tasks_park.c */

/* Propose to park TASK, or to end that.  */
void gp_tasks_park (gp_tasks_t *tasks, gp_tasks_task_t *task,
                    Gp__Record__ParkReason reason);
void gp_tasks_unpark_fitting (gp_tasks_t *tasks);

/* Whether DEMAND fits a worker that is there or that the document names.  */
bool gp_tasks_ever_fits (const gp_tasks_t *tasks,
                         const gp_resources_t *demand);

/* tasks_report.c */

void gp_tasks_on_report (gp_tasks_t *tasks, gp_session_t *session,
                         const Gp__Wire__TaskReport *report);
void gp_tasks_on_inventory (gp_tasks_t *tasks, gp_session_t *session,
                            const Gp__Wire__Inventory *inventory);
void gp_tasks_stop (gp_tasks_t *tasks, const gp_tasks_task_t *task,
                    Gp__Wire__StopMode mode);

/* tasks_lease.c */

void gp_tasks_lease_init (gp_tasks_t *tasks);
void gp_tasks_lease_finish (gp_tasks_t *tasks);
void gp_tasks_lease_tick (gp_tasks_t *tasks);
void gp_tasks_lease_rebuild (gp_tasks_t *tasks);
void gp_tasks_lease_change (gp_tasks_t *tasks, const gp_fold_change_t *change);
void gp_tasks_on_heartbeat (gp_tasks_t *tasks, gp_session_t *session,
                            const Gp__Wire__Heartbeat *heartbeat);
void gp_tasks_on_vouch_ask (gp_tasks_t *tasks, gp_session_t *session,
                            const Gp__Wire__VouchAsk *ask);
void gp_tasks_on_vouch (gp_tasks_t *tasks, gp_session_t *session,
                        const Gp__Wire__Vouch *vouch);

/* tasks_guard.c */

gp_tasks_guard_t *gp_tasks_guard (gp_tasks_t *tasks, const char *name);
gp_tasks_guard_t *gp_tasks_find_guard (const gp_tasks_t *tasks,
                                       const char *name);
gp_tasks_guard_t *gp_tasks_guard_of_worker (gp_worker_t *worker);
/* Start nothing in the zones that the document evacuates, of those known.  */
void gp_tasks_close_zones (gp_tasks_t *tasks);
void gp_tasks_guard_free (gpointer data);
void gp_tasks_on_announce (gp_tasks_t *tasks, gp_session_t *session,
                           const Gp__Wire__Announce *announce);
/* Bring the state of the worker in line with what is known of GUARD.  */
void gp_tasks_guard_settle (gp_tasks_t *tasks, gp_tasks_guard_t *guard);
void gp_tasks_guards_init (gp_tasks_t *tasks);
/* Look at the guards whose time has come: at the end of a lease, a suspicion
   or a hold, in each tick while there is no session, and once a period.  */
void gp_tasks_guards_tick (gp_tasks_t *tasks);
/* Have GUARD looked at in the next tick after AT, if not before.  */
void gp_tasks_guard_look_by (gp_tasks_t *tasks, gp_tasks_guard_t *guard,
                             gp_time_t at);

/* tasks_watch.c */

void gp_tasks_watch (gp_tasks_t *tasks);

/* tasks_interfere.c */

void gp_tasks_on_usage (gp_tasks_t *tasks, gp_session_t *session,
                        const Gp__Wire__Usage *usage);
/* Take the limits on remedies from the document.  */
void gp_tasks_interfere_configure (gp_tasks_t *tasks);
/* TASK came to its guard, left it, or was throttled or let go.  */
void gp_tasks_weigh (gp_tasks_t *tasks, gp_tasks_guard_t *guard,
                     const gp_tasks_task_t *task, int quarters);

/* tasks_submit.c */

void gp_tasks_submit_tick (gp_tasks_t *tasks);
void gp_tasks_submitting_free (gpointer data);
uint64_t gp_tasks_new_id (gp_tasks_t *tasks);
/* A Submit record's parts for a batch job or watcher.  */
void gp_tasks_resources_to_wire (Gp__Wire__Resources *wire,
                                 const gp_document_resources_t *resources);

#endif

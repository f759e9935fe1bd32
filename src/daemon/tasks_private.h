/* Declarations shared by the source files behind daemon/tasks.h.

   tasks.c           initialization, responsibility, periodic work
   tasks_mirror.c    mirror of the fold's tasks
   tasks_place.c     queue, placement, grants and starts
   tasks_park.c      tasks that cannot run
   tasks_report.c    reports of guards, ends, checkpoints, stops
   tasks_lease.c     heartbeats, vouches, adoptions and fences
   tasks_guard.c     guards and their workers in the fleet
   tasks_watch.c     watchers and their declared counts
   tasks_interfere.c usage reports, interference estimates and remedies
   tasks_submit.c    submissions and cancellations
   tasks_view.c      views for operators

   A gp_tasks_task_t mirrors each task of the fold that has not ended and adds
   state that only this entry has.  Quotas are charged with declared sizes in
   log order, so that all entries agree.  The fleet is charged with what this
   entry reserves, which may be an estimated size.  */

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

/* Maximum time for which a proposal is queued before it is sent.  */
#define GP_TASKS_PROPOSAL_TIME (5 * GP_SEC)

typedef enum
{
  GP_TASKS_IDLE,     /* parked, or placed by another entry */
  GP_TASKS_QUEUED,   /* placed by this entry */
  GP_TASKS_PROPOSED, /* a grant was proposed and not read back yet */
  GP_TASKS_GRANTED
} gp_tasks_stage_t;

/* A batch job or watcher of the document, identified by its name.  */
typedef struct
{
  char *name;
  uint16_t index;
  gp_estimate_t estimate;
  /* For watchers only: */
  uint32_t live_count;     /* tasks neither ended nor cancelled */
  uint32_t proposed_count; /* submissions proposed and not read back yet */
  uint64_t id_salt;   /* part of new ids; changes if an id exists already */
  int64_t id_seed_us; /* when the last task was submitted, log time */
} gp_tasks_kind_t;

typedef struct
{
  char *name;
  uint32_t index;
  bool responsible; /* this entry places its tasks */
  uint32_t max_tasks;
  uint32_t running_count; /* tasks granted, or with a grant proposed here */
} gp_tasks_team_t;

/* A guard with a worker.  */
typedef struct
{
  char *name;
  gp_session_t *session;     /* over which it was announced, or NULL */
  const gp_member_t *member; /* NULL: gone */
  uint64_t incarnation;      /* of its lease, as announced last */
  uint64_t inherits;
  bool responsible; /* this entry proposes its fences and adoptions first */
  bool leaving;     /* as announced */
  bool in_fleet;    /* its worker is in the fleet */
  gp_worker_t worker;
  uint32_t slots;        /* of its upstream */
  gp_time_t heard_at;    /* last heartbeat; 0: never */
  gp_time_t lease_until; /* end of the lease as renewed by this entry */
  gp_list_t placed;      /* of gp_tasks_task_t */
  gp_residency_t residency;
  gp_remedy_t remedy;
  uint64_t inventory_incarnation; /* incarnation of the inventory; 0: none */
  GArray *inventory;              /* of gp_tasks_epoch_t */
  /* Incarnations for which a record has to be proposed until it is read back;
     0: none.  */
  uint64_t adopt_incarnation;
  uint64_t fence_incarnation;
  uint64_t fence_done_incarnation;
  gp_time_t propose_at;
  gp_time_t fence_requested_at;
  bool proposal_pending;
  gp_list_t to_propose_link; /* in gp_tasks_t.to_propose */
  gp_heap_node_t check_node; /* in gp_tasks_t.guard_checks */
  gp_time_t check_at;        /* sort key in gp_tasks_t.guard_checks */
} gp_tasks_guard_t;

typedef struct
{
  uint64_t task;
  uint64_t epoch;
} gp_tasks_epoch_t;

typedef struct
{
  uint64_t id; /* first: key of gp_tasks_t.tasks */
  gp_tasks_stage_t stage;
  gp_pending_task_t pending;
  gp_placement_request_t request;
  gp_suspects_task_t failures;
  gp_tasks_kind_t *kind;
  gp_tasks_team_t *team;
  gp_tasks_guard_t *guard; /* on whose worker it is placed, or NULL */
  gp_list_t placed_link;   /* in the guard's list */
  gp_list_t due_link;      /* in gp_tasks_t.due_tasks */
  gp_time_t due_at;
  uint64_t epoch;          /* proposed or granted */
  bool counted_as_running; /* in gp_tasks_team_t.running_count */
  bool confirmed;          /* the guard's report includes its reservation */
  bool running;            /* as reported by the guard */
  bool over_quota;
  bool throttled;
  bool end_proposed;        /* an End of this epoch was proposed */
  bool checkpoint_proposed; /* a Checkpoint was proposed */
  bool park_proposed;       /* a Park was proposed */
  bool cancel_proposed;     /* a Cancel of a watcher was proposed */
  gp_resources_t peak;      /* highest reported usage in this epoch */
  gp_time_t waiting_since;  /* when it began to wait for a start or a stop */
  gp_time_t reported_at;    /* when its end was first reported; 0: not yet */
  gp_time_t progress_saved_at;    /* last checkpoint, or the grant */
  gp_placement_outcome_t outcome; /* of the last placement attempt */
  gp_placement_cost_t cost;
} gp_tasks_task_t;

typedef struct gp_tasks_pending_submission gp_tasks_pending_submission_t;

struct gp_tasks
{
  gp_session_host_t *host;
  gp_store_t *store;
  const gp_settings_t *settings;
  gp_timeline_t *timeline;
  GRand *rand;
  uint64_t incarnation;
  const gp_document_t *document; /* NULL before the first configuration */
  uint64_t revision;             /* of DOCUMENT */
  gp_store_subscriber_t subscriber;
  gp_timer_t timer;
  gp_deferred_t deferred; /* places queued tasks */
  gp_time_t next_tick;
  gp_time_t started_at;

  GHashTable *tasks;      /* set of gp_tasks_task_t */
  GHashTable *guards;     /* name -> gp_tasks_guard_t */
  gp_heap_t guard_checks; /* all guards by the time of their next check */
  gp_list_t to_propose; /* guards for which a record may have to be proposed */
  GHashTable *kinds;    /* name -> gp_tasks_kind_t */
  GHashTable *teams;    /* name -> gp_tasks_team_t */
  GHashTable *zone_numbers;    /* zone names -> number from 1 */
  GHashTable *rack_numbers;    /* "ZONE/RACK" -> number from 1 */
  GHashTable *service_numbers; /* service names -> number from 1 */
  uint64_t zones;              /* bit set of the zones in use */
  uint64_t evacuated; /* bit set of the zones in which nothing is started */
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
  gp_list_t due_tasks; /* of gp_tasks_task_t: to be checked again, by time */
  gp_time_t due_period;
  uint32_t lost_count;        /* epochs lost since LOST_COUNT_SINCE */
  gp_time_t lost_count_since; /* when LOST_COUNT was last reset */
  bool starts_limited;        /* the rate of starts is limited */
  uint64_t release_count; /* changes when a task ends or enters the queue */
  uint64_t seen_growth; /* fleet.growth + RELEASE_COUNT at the last reaction */
  gp_time_t full_until; /* when to try again although nothing changed */
  gp_time_t next_growth_check; /* earliest time to react to freed capacity */

  gp_lease_grantor_t grantor;
  const gp_settings_member_t *others[GP_LEASE_GRANTOR_MAX_ENTRIES];
  unsigned n_others;
  uint64_t entry_set;

  uint64_t live_digest;        /* digest of the other entries with a session */
  GPtrArray *live_entry_names; /* their names */
  GPtrArray *unknown_reports; /* on tasks that are not in the state, owned; see
                                 tasks_report.c */
  uint64_t next_id;
  GPtrArray *submissions; /* of gp_tasks_pending_submission_t */
  bool watchers_changed;  /* their counts have to be compared again */
  bool shapes_changed;    /* tasks that were too large may fit now */
  uint64_t shapes_growth;
};

static inline gp_time_t
gp_tasks_now (const gp_tasks_t *tasks)
{
  return gp_loop_now (tasks->host->loop);
}

/* tasks.c */

gp_tasks_task_t *gp_tasks_find (const gp_tasks_t *tasks, uint64_t id);
gp_tasks_kind_t *gp_tasks_ensure_kind (gp_tasks_t *tasks, const char *name);
gp_tasks_team_t *gp_tasks_ensure_team (gp_tasks_t *tasks, const char *name);

/* Whether this entry is the one responsible for NAME of SCOPE ("team",
   "guard" or "watcher"), so that it acts first.  */
bool gp_tasks_is_responsible (const gp_tasks_t *tasks, const char *scope,
                              const char *name);

/* Schedules the next check of TASK after due_period.  */
void gp_tasks_set_due (gp_tasks_t *tasks, gp_tasks_task_t *task);

/* Proposes RECORD; false if the store did not accept the proposal.  */
bool gp_tasks_propose (gp_tasks_t *tasks, const Gp__Record__Record *record,
                       gp_writer_priority_t priority, gp_proposal_done_t done,
                       void *data);

void gp_tasks_add_event (gp_tasks_t *tasks, gp_timeline_kind_t kind,
                         uint64_t task, uint64_t epoch, const char *vm,
                         const char *text);

/* The short name of the state of a task.  */
const char *gp_tasks_state_name (const gp_tasks_t *tasks,
                                 const gp_fold_task_t *state);

/* tasks_mirror.c */

/* Callbacks for the store; DATA is the gp_tasks_t.  */
void gp_tasks_on_change (const gp_fold_change_t *change, void *data);
void gp_tasks_on_rebuilt (void *data);
/* Clears the mirror, including the reservations of its tasks in the
   fleet.  */
void gp_tasks_clear_mirror (gp_tasks_t *tasks);

/* tasks_place.c */

void gp_tasks_place_init (gp_tasks_t *tasks);
void gp_tasks_place_finish (gp_tasks_t *tasks);

/* Places queued tasks that may start now, and arms the timer for the
   others.  */
void gp_tasks_place (gp_tasks_t *tasks);
void gp_tasks_schedule_placement (gp_tasks_t *tasks);

/* Adds TASK, which is pending in the log, to the queue if this entry places
   the tasks of its team; BACKOFF delays the next attempt.  */
void gp_tasks_enqueue (gp_tasks_t *tasks, gp_tasks_task_t *task, bool backoff);
void gp_tasks_dequeue (gp_tasks_t *tasks, gp_tasks_task_t *task);

/* Handles an accepted grant of TASK that was read from the log.  */
void gp_tasks_on_granted (gp_tasks_t *tasks, gp_tasks_task_t *task,
                          const gp_fold_task_t *state,
                          const gp_fold_guard_t *fold_guard);

/* Reserve resources on the worker of GUARD for TASK, and release them.  */
void gp_tasks_reserve (gp_tasks_t *tasks, gp_tasks_task_t *task,
                       gp_tasks_guard_t *guard);
void gp_tasks_release (gp_tasks_t *tasks, gp_tasks_task_t *task);

/* Records that the guard's reports include TASK from now on.  */
void gp_tasks_confirm (gp_tasks_t *tasks, gp_tasks_task_t *task);

/* Sends the message that the granted TASK still needs, a Start or a Stop.  */
void gp_tasks_send_pending (gp_tasks_t *tasks, gp_tasks_task_t *task);

/* tasks_park.c */

/* Propose to park TASK, and to unpark the tasks that fit a worker now.  */
void gp_tasks_park (gp_tasks_t *tasks, gp_tasks_task_t *task,
                    Gp__Record__ParkReason reason);
void gp_tasks_unpark_fitting (gp_tasks_t *tasks);

/* Whether DEMAND fits a worker that is present or declared by the
   document.  */
bool gp_tasks_may_ever_fit (const gp_tasks_t *tasks,
                            const gp_resources_t *demand);

/* tasks_report.c */

GPtrArray *gp_tasks_unknown_reports_new (void);
/* The log was read to its end by a read sent at READ_AT: acknowledge the
   reports that arrived before on tasks that it does not show at work.  */
void gp_tasks_judge_unknown (gp_tasks_t *tasks, gp_time_t read_at);

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

gp_tasks_guard_t *gp_tasks_ensure_guard (gp_tasks_t *tasks, const char *name);
gp_tasks_guard_t *gp_tasks_find_guard (const gp_tasks_t *tasks,
                                       const char *name);
gp_tasks_guard_t *gp_tasks_guard_of_worker (gp_worker_t *worker);
/* Updates gp_tasks_t.evacuated from the document, for the zones that have a
   number.  */
void gp_tasks_update_evacuated (gp_tasks_t *tasks);
void gp_tasks_guard_free (gpointer data);
void gp_tasks_on_announce (gp_tasks_t *tasks, gp_session_t *session,
                           const Gp__Wire__Announce *announce);
/* Updates the state of GUARD's worker in the fleet.  */
void gp_tasks_guard_update_state (gp_tasks_t *tasks, gp_tasks_guard_t *guard);
void gp_tasks_guards_init (gp_tasks_t *tasks);
/* Checks the guards that are due: at the end of a lease, a suspicion or a
   hold, in each tick while there is no session, and at least once per
   due_period.  */
void gp_tasks_guards_check_due (gp_tasks_t *tasks);
/* Makes sure that GUARD is checked in the first tick after AT at the
   latest.  */
void gp_tasks_guard_check_by (gp_tasks_t *tasks, gp_tasks_guard_t *guard,
                              gp_time_t at);

/* tasks_watch.c */

/* Submits and cancels watchers to reach the declared counts.  */
void gp_tasks_adjust_watchers (gp_tasks_t *tasks);

/* tasks_interfere.c */

void gp_tasks_on_usage (gp_tasks_t *tasks, gp_session_t *session,
                        const Gp__Wire__Usage *usage);
/* Applies the document's limits on remedies.  */
void gp_tasks_configure_remedies (gp_tasks_t *tasks);
/* Records a change of how much TASK uses its worker, in quarters: it was
   placed, left, was throttled or unthrottled.  */
void gp_tasks_record_residency (gp_tasks_t *tasks, gp_tasks_guard_t *guard,
                                const gp_tasks_task_t *task, int quarters);

/* tasks_submit.c */

void gp_tasks_expire_submissions (gp_tasks_t *tasks);
void gp_tasks_pending_submission_free (gpointer data);
uint64_t gp_tasks_new_id (gp_tasks_t *tasks);
/* Fills the resources of a Submit record.  */
void gp_tasks_resources_to_wire (Gp__Wire__Resources *wire,
                                 const gp_document_resources_t *resources);

#endif

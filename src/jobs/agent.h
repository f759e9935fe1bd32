/* Guard: decides which calls to make to the executor of its VM.

   The leading entry says which runs belong on this executor (first a sync,
   then orders).  The agent brings the executor to that state with calls that
   may stay unanswered and be carried out late, and reports to the leader the
   ends that the executor lists and the runs that are absent.

   Invariants:
   - A run counts as absent only after a stop of it was confirmed, or its only
     start was refused, and a list requested after that does not show it: from
     then on the executor refuses to start it.
   - What an answer says of a run holds until a list says otherwise: a run
     that is listed although its stop was confirmed is stopped again, and a
     refused stop confirms nothing of a run that is known to have begun.
   - The lease that is sent with calls ends GP_AGENT_LEASE_TIME after the
     sending of the last report that the leader acknowledged, on a clock that
     may run slow by GP_AGENT_CLOCK_SLOW_PERMILLE.  It is not extended while
     the executor does not answer, so that its end becomes certain.
   - An acknowledgement extends the lease only of the executor that its report
     named: an executor found later is not under a lease that the leader does
     not know of.  A guard that has just started accepts no acknowledgement
     from a leader whose leadership may be over, see jobs/grants.h.
   - Once the lease has certainly expired, nothing is started until a sync
     arrives that takes a report of the expiry into account: the leader may
     have assigned the runs elsewhere.
   - Nothing is started while the gate is closed, see jobs/start_gate.h, nor
     later than DRAIN_START_TIME after the executor announced that it leaves.
     Runs that have not begun by then, or in an evacuated zone, are returned to
     the leader.
   - The fence only rises: with each incarnation of the executor that is found,
     each connection that ends, where the leader requests it, and where an
     unanswered start must be invalidated, see jobs/agent_isolation.c.  Its
     first value is the time of day, which puts it above the fences of earlier
     guard processes.  If the time of day has stepped back, the fence is raised
     in growing steps until the executor accepts it.
   - Ends, clock and lease belong to one incarnation.  After a connection has
     ended, another incarnation may answer the next list; such a list confirms
     no ends and extends no lease, and no order is sent before it is answered.
     It is requested with a new fence.  So an order to the previous incarnation
     either shows in the list with which the next one is found, or is never
     carried out.

   Pure: events and NOW in, calls and reports out.  */

#ifndef GP_JOBS_AGENT_H
#define GP_JOBS_AGENT_H

#include "jobs/job.h"
#include "jobs/pacer.h"
#include "jobs/spec_store.h"
#include "jobs/start_gate.h"

/* Duration of an executor's lease.  It outlives a guard that is killed or
   frozen for 4 s; work of a VM that is lost for good is placed anew within
   6 s.  */
#define GP_AGENT_LEASE_TIME (5 * GP_SEC)
/* Assumed upper bound on how slow an executor's clock may run, in
   thousandths.  */
#define GP_AGENT_CLOCK_SLOW_PERMILLE 20
/* Safety margin added to the end of a lease before it counts as expired.  */
#define GP_AGENT_LEASE_MARGIN (150 * GP_MSEC)

/* Returns the latest time at which a lease granted for a report sent at
   SENT_AT ends on an executor.  */
gp_time_t gp_agent_lease_end (gp_time_t sent_at);

typedef enum
{
  GP_RUN_STARTING, /* not started yet */
  GP_RUN_STARTED,  /* started */
  GP_RUN_STOPPING, /* a stop has to be confirmed */
  GP_RUN_STOPPED,  /* the stop was confirmed; a list will show its end or its
                      absence */
  GP_RUN_ABSENT    /* it never ran here and never will */
} gp_run_phase_t;

/* Why the start of a run is held back, see jobs/agent_isolation.c.  */
typedef enum
{
  GP_HOLD_NONE,
  GP_HOLD_ISOLATED_RUN, /* an isolated run of another job has not settled */
  /* The run is isolated and ...  */
  GP_HOLD_QUEUED,        /* ... another isolated run goes first */
  GP_HOLD_NO_LIST,       /* ... no list has shown yet which runs have begun */
  GP_HOLD_RECENT_STARTS, /* ... runs of other jobs have only just begun */
  GP_HOLD_UNANSWERED_START /* ... an unanswered start may still be carried
                              out */
} gp_agent_hold_t;

/* The load of a serving run without the effect of filling runs, as the leader
   estimates it from all runs of its image.  */
typedef struct
{
  double headroom;
  double slope;          /* change of HEADROOM per second */
  gp_time_t received_at; /* 0: never */
} gp_agent_leader_load_t;

/* The speed limit of a filling run.  A call that sets it may go unanswered and
   be carried out late, after a newer one.  */
typedef struct
{
  uint32_t percent;          /* of full speed, as last confirmed */
  gp_time_t confirmed_at;    /* when PERCENT was confirmed, 0: never */
  uint32_t previous_percent; /* the limit before that */
  gp_time_t repeat_at;  /* when to repeat the call, as an unanswered one may
                           still set an older limit; GP_TIME_NEVER: not
                           needed */
  gp_time_t certain_at; /* from then on no unanswered call can take effect */
} gp_agent_pace_t;

typedef struct
{
  char name[GP_TASK_NAME_SIZE];
  uint32_t run;
  gp_run_phase_t phase;
  Gp__Jobs__Start *start; /* owned; NULL for a run that is only to be
                             stopped */
  bool in_flight;
  bool start_uncertain;   /* a start went unanswered and may still be carried
                             out */
  bool listed;            /* it is on the executor's last list */
  gp_time_t listed_since; /* time of the first list that showed it, 0: none */
  gp_time_t listed_at;    /* time of the last list that showed it */
  unsigned missed_lists;  /* number of consecutive lists that did not show
                             it */
  bool stop_ordered;      /* it is not wanted here any more; false in phase
                             "stopping": its start was refused, or a list did
                             not show it */
  bool start_refused;     /* the executor refused its start, and it cannot have
                             begun before */
  bool start_unchecked;   /* an unhealthy executor refused its start, which
                             does not show whether the run is there */
  bool stop_refused;      /* its stop counts as confirmed because it had not
                             begun */
  gp_time_t gone_by;      /* once its stop was confirmed: lists requested from
                             then on do not show it */
  bool settled_reported;  /* it was reported to the leader that the run has
                             settled */
  gp_time_t sent_at;      /* when the first start was sent that was or may
                             still be carried out; 0: none */
  gp_time_t first_start_at; /* when its first start was sent, 0: never */
  int64_t start_fence;      /* fence of its last start */
  gp_time_t held_since;     /* since when its start is held back, 0: it is
                               not */
  gp_agent_hold_t hold;     /* the first reason for which it is held back */
  gp_time_t retry_at;       /* no call before this time */
  gp_time_t confirmed_at;   /* when an answer or a list last confirmed a change
                               of phase */
  gp_time_t began_at;       /* the latest moment at which it may have begun:
                               when it was first known to have, 0: not known
                               to */
  gp_time_t not_begun_at;   /* the last moment at which a list showed that it
                               had not begun, 0: none did */
  bool may_predate;         /* it may have begun by a start that an earlier
                               guard process has sent, at any time */
  int64_t measure;          /* from the last list, see gp_agent_row_t */
  gp_headroom_t headroom; /* of a serving run, excluding the effect of filling
                             runs */
  gp_agent_leader_load_t leader_load;
  double headroom_deficit; /* by how much the measured headroom fell short of
                              the expected one */
  double over_target_s;    /* for how many seconds it was over its latency
                              target at the last measurement */
  gp_time_t over_target_since; /* since when it is over the target, or
                                  GP_TIME_NEVER */
  double busy_share; /* share of the last half second in which a filling run
                        was busy; NAN: not measured yet */
  double work;       /* busy work that it did in that time */
  gp_time_t active_since; /* when first measured as running, 0: never */
  gp_agent_pace_t pace;
} gp_agent_run_t;

typedef enum
{
  GP_AGENT_CALL_NONE,
  GP_AGENT_CALL_START,
  GP_AGENT_CALL_STOP,
  GP_AGENT_CALL_PACE
} gp_agent_call_kind_t;

typedef struct
{
  gp_agent_call_kind_t kind;
  gp_agent_run_t *run; /* valid during the call only */
  const GBytes *spec;  /* for a start, valid during the call only */
  int64_t lease_ms;    /* for a start: end of the lease on the executor's
                          clock */
  uint32_t percent;    /* for a pace, in percent of full speed */
} gp_agent_call_t;

/* Outcome of a call.  */
typedef enum
{
  GP_AGENT_ACCEPTED,
  GP_AGENT_FENCED,   /* the executor has seen a higher fence */
  GP_AGENT_TOO_OLD,  /* the executor has stopped or ended this run or a later
                        one of the task */
  GP_AGENT_TOO_LATE, /* the lease in the order had expired */
  GP_AGENT_NO_RESOURCES,
  GP_AGENT_REFUSED,      /* nothing was done: the executor is unhealthy or the
                            order is invalid */
  GP_AGENT_REPLACED,     /* another executor answered */
  GP_AGENT_UNANSWERED,   /* it may be carried out now or later */
  GP_AGENT_DISCONNECTED, /* the same, and the other side closed the
                            connection */
  GP_AGENT_CONNECTION_REFUSED /* the connection to the executor's address was
                                 refused */
} gp_agent_result_t;

/* A filling run that has ended and still contributes to the current
   measurement window.  */
typedef struct
{
  char *image; /* owned */
  double work; /* busy work when it was last measured */
  gp_time_t ended_at;
} gp_agent_ended_filling_t;

/* One run on the executor's list.  */
typedef struct
{
  const char *task;
  uint32_t run;
  int64_t measure; /* of a serving run the tail latency in milliseconds, of
                      other runs the CPU in use in thousandths of a core; over
                      the last half second */
} gp_agent_row_t;

/* The executor's list.  */
typedef struct
{
  const gp_agent_row_t *runs;
  size_t run_count;
  const Gp__Jobs__End *ends; /* not yet confirmed, in ascending order */
  size_t end_count;
  int64_t clock_ms;  /* the executor's clock when it answered, -1: not given */
  gp_time_t sent_at; /* when the list was requested */
  bool complete;     /* all active runs and all ends that are not confirmed are
                        listed; otherwise a run that is missing may be active or
                        have ended */
} gp_agent_list_t;

typedef struct
{
  Gp__Jobs__Executor *executor;       /* owned, NULL: not known yet */
  Gp__Jobs__Predecessor *predecessor; /* owned: the last executor before this
                                         one that had runs; NULL: none
                                         known */
  GHashTable *runs;                   /* name to gp_agent_run_t, owned */
  gp_spec_store_t specs;  /* not cleared when the executor changes */
  GPtrArray *ends;        /* Gp__Jobs__End, owned: listed, but not durably
                             recorded yet */
  uint64_t seen_ends;     /* ends up to this number are durably recorded */
  uint64_t listed_ends;   /* highest end number received in a list */
  uint64_t stale_ends;    /* number of ends that were listed although they were
                             recorded */
  uint64_t synced;        /* number of the last sync */
  bool is_synced;         /* RUNS is what the leader wants */
  uint64_t sync_part_of;  /* number of the last sync or part of one */
  GPtrArray *sync_starts; /* Gp__Jobs__Start, owned: of the parts of a sync
                             whose last one has not arrived */
  uint64_t incarnation_number; /* number of executor incarnations found */
  GPtrArray *carried; /* Gp__Jobs__TaskRun, owned: runs on the last list that
                         are not in RUNS */
  int64_t fence;
  int64_t query_fence;       /* highest fence of an identity query */
  int64_t fence_step;        /* how far to raise the fence when it is too low;
                                doubles each time */
  int64_t fence_listed;      /* highest fence of a list that this incarnation
                                answered: no order with a lower one is carried out
                                after that list; 0: no list was answered */
  gp_time_t first_listed_at; /* time of the first complete list of this
                                incarnation, 0: none.  What it does not show
                                can only be begun by this process.  */
  int64_t clock_ms;          /* reading of the executor's clock, -1: none */
  gp_time_t clock_at;        /* local time of that reading, no earlier than the
                                reading itself */
  bool clock_is_behind;      /* an answer had a lower clock value */
  gp_time_t began_at;        /* when this process started */
  gp_time_t first_reported_at; /* when the first report with this executor was
                                  sent, or GP_TIME_NEVER */
  gp_time_t granted; /* sending time of the last acknowledged report */
  gp_time_t lease;   /* the same of the report for which the lease sent with
                        calls was granted */
  gp_time_t answered_at; /* time of the executor's last answer */
  gp_time_t down_since; /* time of the first failed call since the last answer;
                           0: none has failed */
  bool is_disconnected; /* the executor closed a connection or left a list
                           unanswered, and no list was answered since: another
                           incarnation may answer */
  gp_time_t earliest_end_at; /* earliest time at which the executor may have
                                ended, from the first failed call; 0: no call
                                showed that */
  bool lapsed; /* the lease expired, and no sync has taken that into account
                  yet */
  gp_time_t lapsed_at;
  bool ended;             /* the executor has ended for good */
  gp_time_t known_since;  /* since when this process knows the executor */
  gp_time_t starts_until; /* no starts from then on, as the executor is about
                             to leave; GP_TIME_NEVER: it is not */
  gp_start_gate_t gate;   /* closed while no starts are allowed */
  gp_pacer_t pacer;
  GArray *ended_fillings; /* gp_agent_ended_filling_t */
  bool assumes_busy;      /* a serving run stays over its target although all
                             runs measured as busy are slowed down: treat all
                             filling runs as busy */
  bool plan_is_stale;     /* filling runs have started or ended since the
                             pacer's last plan */
  gp_time_t measured_at;  /* when the runs were last measured */
  bool has_measurements;  /* there are measurements that the leader does not
                             have yet */
  gp_time_t retry_time;   /* delay before a call is retried */
} gp_agent_t;

/* ZONE_SPAN is how long a notice that the zone is open remains valid, 0:
   without limit.  */
void gp_agent_init (gp_agent_t *agent, gp_time_t zone_span, gp_time_t now);
void gp_agent_finish (gp_agent_t *agent);

/* Raises the fence to FENCE, unless it is higher already.  */
void gp_agent_raise_fence_to (gp_agent_t *agent, int64_t fence);
/* Raises the fence, which invalidates earlier orders as soon as the executor
   accepts an order made from now on.  */
void gp_agent_raise_fence (gp_agent_t *agent);
/* The executor has seen a higher fence than FENCE, which was sent with a call
   to its current incarnation or with an identity query.  */
void gp_agent_fence_rejected (gp_agent_t *agent, int64_t fence);
/* Returns the fence for a query of the executor's identity: above all orders,
   including those made until its answer arrives.  Orders after the answer
   start with that fence.  */
int64_t gp_agent_query_fence (gp_agent_t *agent);

/* Returns whether the executor of this VM is the incarnation of ID that was
   born at BORN_MS.  */
bool gp_agent_is_incarnation (const gp_agent_t *agent, const char *id,
                              int64_t born_ms);
/* EXECUTOR, of which the agent takes ownership, is the executor of this VM
   now.  If it is another executor or another incarnation, which has just
   answered a call, everything known of the previous one is dropped, and
   CLOCK_MS is its clock, or -1.  Otherwise only its description is
   replaced.  */
void gp_agent_set_executor (gp_agent_t *agent, Gp__Jobs__Executor *executor,
                            int64_t clock_ms, gp_time_t now);
/* Returns whether RUN may have caused the failure of the executor, if the
   executor does not answer again.  */
bool gp_agent_is_suspect (const gp_agent_t *agent, const gp_agent_run_t *run);
/* Returns whether a run on the last list that is not among RUNS may have begun
   just before the executor failed, if it does not answer again.  */
bool gp_agent_carried_is_suspect (const gp_agent_t *agent,
                                  const Gp__Jobs__TaskRun *run);
/* Fills in the fields of ROW that describe a suspect that is not among
   RUNS.  */
void gp_agent_describe_carried (const gp_agent_t *agent,
                                Gp__Jobs__TaskRun *row);
/* Fills in the fields of ROW that describe RUN as a suspect, such as when it
   began.  */
void gp_agent_describe_suspect (const gp_agent_t *agent,
                                const gp_agent_run_t *run,
                                Gp__Jobs__TaskRun *row);
/* Returns whether RUN is to be started and not known to have begun.  */
bool gp_agent_is_unconfirmed (const gp_agent_run_t *run);
/* Returns whether RUN has not begun, as its start was refused.  */
bool gp_agent_is_refused (const gp_agent_run_t *run);
/* Returns whether to report to the leader now that RUN, which it watches, has
   settled.  It counts as reported from then on.  */
bool gp_agent_report_settled (gp_agent_run_t *run);
/* The executor and all runs on it have ended: it deregistered, and its address
   refuses connections now.  The agent continues to report it.  */
void gp_agent_executor_ended (gp_agent_t *agent);

/* A report was sent at SENT_AT, which is later than for all previous
   reports.  */
void gp_agent_reported (gp_agent_t *agent, gp_time_t sent_at);

/* Messages from the leader.  LEAD_AGE is the age of its last append to the
   log.  */
void gp_agent_acknowledged (gp_agent_t *agent, gp_time_t sent_at,
                            gp_time_t lead_age, gp_time_t now);
/* At KNOWN_AT the zone of the VM was evacuated, or not.  */
void gp_agent_set_evacuated (gp_agent_t *agent, bool evacuated,
                             gp_time_t known_at);
void gp_agent_sync (gp_agent_t *agent, Gp__Jobs__Sync *sync);
void gp_agent_order (gp_agent_t *agent, Gp__Jobs__Orders *orders);
/* There is a new leader, and the runs that it wants are not known yet.  */
void gp_agent_clear_sync (gp_agent_t *agent);

/* The executor's list, which shows everything that runs, was requested with
   FENCE.  To be called before gp_agent_listed.  */
void gp_agent_fence_listed (gp_agent_t *agent, int64_t fence);

/* Registers the counters of starts that were held back, of stops without
   effect and of runs that a list lacks.  */
void gp_agent_register_counters (void);

/* Returns whether there is an isolated run that has not settled, so that runs
   of other jobs wait for it.  */
bool gp_agent_has_isolated_run (const gp_agent_t *agent);

/* The leader reports the load of a serving run, as estimated from all replicas
   of its service.  */
void gp_agent_set_load (gp_agent_t *agent, const char *task,
                        int32_t headroom_permille, int32_t slope_permille,
                        gp_time_t now);

/* Returns the next call to make and marks it as in flight.  Its kind is
   GP_AGENT_CALL_NONE if no call is due before *AGAIN_AT.  */
gp_agent_call_t gp_agent_next_call (gp_agent_t *agent, gp_time_t now,
                                    gp_time_t *again_at);
/* Returns whether RESULT means that no answer arrived, so that the call was or
   may still be carried out.  */
bool gp_agent_is_unanswered (gp_agent_result_t result);
/* A call about run NUMBER of the task NAME was answered or failed; PERCENT is
   the pace that it requested.  */
void gp_agent_answered (gp_agent_t *agent, gp_agent_call_kind_t kind,
                        const char *name, uint32_t number, uint32_t percent,
                        gp_agent_result_t result, int64_t clock_ms,
                        gp_time_t now);

/* Returns the highest end number that the next list request confirms.  */
uint64_t gp_agent_list_confirmed (const gp_agent_t *agent, gp_time_t now);
/* Returns the end of the lease for the next list request, on the executor's
   clock; 0: do not extend it.  */
int64_t gp_agent_list_lease (gp_agent_t *agent, gp_time_t now);
/* Handles the executor's list.  Returns whether there is something new to
   report to the leader.  */
bool gp_agent_listed (gp_agent_t *agent, const gp_agent_list_t *list,
                      gp_time_t now);
/* Returns whether the measurement of RUN at NOW shows the load of a warmed-up
   serving run.  */
bool gp_agent_shows_load (const gp_agent_run_t *run, gp_time_t now);

/* Returns the busy work of FILLING that still falls into the measurement
   window at NOW.  */
double gp_agent_ended_filling_work (const gp_agent_ended_filling_t *filling,
                                    gp_time_t now);

/* The list request failed: no answer, an answer of another executor, or a
   refusal because of the fence.  */
void gp_agent_list_failed (gp_agent_t *agent, gp_agent_result_t result,
                           int64_t clock_ms, gp_time_t now);

/* Adds to JOBS the ids, owned, of the jobs whose specification must be
   requested from the leader.  */
void gp_agent_missing_specs (const gp_agent_t *agent, GPtrArray *jobs);

/* Returns whether another incarnation of the executor may answer the next
   call.  */
bool gp_agent_incarnation_is_uncertain (const gp_agent_t *agent,
                                        gp_time_t now);

/* Returns whether calls to the executor have failed, with no answer since.
   Its runs may still be running.  */
bool gp_agent_is_down (const gp_agent_t *agent, gp_time_t now);

/* Returns whether the executor has answered a call recently.  */
bool gp_agent_is_responsive (const gp_agent_t *agent, gp_time_t now);

/* Returns whether the executor's lease has certainly expired, with no sync
   since that takes this into account.  */
bool gp_agent_lease_lapsed (gp_agent_t *agent, gp_time_t now);

#endif

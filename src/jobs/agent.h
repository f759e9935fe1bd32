/* Decisions of the guard: what to tell the executor of its VM.

   The leading entry says which runs belong here (a sync, then orders).  The
   worker brings the executor there with calls that may stay unanswered and
   be carried out late, and tells the leader the ends that the executor lists
   and the runs that are absent.

   Invariants:
   - A run counts as absent only after a stop of it was confirmed, or its
     only start was refused, and a list asked for after that does not show
     it: the executor refuses a start of it from then on.
   - The lease that calls carry ends LEASE_TIME after the sending of the last
     report that the leader has acknowledged, on a clock that may run slow by
     GP_AGENT_CLOCK_SLOW_PERMILLE; it is not moved on while the executor
     does not answer, so that its end becomes certain.
   - An acknowledgement counts for the executor that its report named: one that
     is met later is not under a lease that the leader does not know of.  A
     guard that has just begun takes none of a leader whose lead may be over,
     see jobs/grants.h.
   - Once the lease has certainly run out, nothing is started until a sync
     that takes a report of that into account: the leader may have given the
     runs to others.
   - Nothing is started while the gate is closed, see jobs/start_gate.h, nor
     longer than DRAIN_START_TIME after the executor has said that it leaves.
     What has not begun then, or in a zone that is evacuated, is given back.
   - The fence only rises: with each life of the executor that is met, each
     connection that ends, each word of the leader, and where a start that was
     not answered has to be made void, see jobs/agent_alone.c.  It begins at
     the time of day, so that it is above those of processes before this one;
     where that has stepped back it leaps until the executor takes it.
   - Ends, clock and lease are those of one life.  A list that another life
     may answer, as a connection has ended, confirms nothing and extends
     nothing, and no order is sent before it is answered.  It carries a new
     fence.  So what was ordered of the life before is either shown by the list
     with which the next one is met, or never carried out.

   Pure: events and NOW in, calls and reports out.  */

#ifndef GP_JOBS_AGENT_H
#define GP_JOBS_AGENT_H

#include "jobs/job.h"
#include "jobs/pacer.h"
#include "jobs/spec_store.h"
#include "jobs/start_gate.h"

/* Duration of an executor's lease.  Long enough to outlive a guard that is
   killed or frozen for 4 s; short enough that work on a VM that is gone for
   good is back within 6 s.  */
#define GP_AGENT_LEASE_TIME (5 * GP_SEC)
/* How slow an executor's clock may run, in thousandths.  */
#define GP_AGENT_CLOCK_SLOW_PERMILLE 20
/* Added to the end of a lease before it counts as certain.  */
#define GP_AGENT_LEASE_MARGIN (150 * GP_MSEC)

/* The latest point at which a lease given for a report sent at SENT_AT ends
   on an executor.  */
gp_time_t gp_agent_lease_end (gp_time_t sent_at);

typedef enum
{
  GP_RUN_STARTING, /* to be started */
  GP_RUN_PRESENT,  /* it was started */
  GP_RUN_STOPPING, /* to be stopped */
  GP_RUN_STOPPED,  /* the stop was taken: an end or its absence will show */
  GP_RUN_ABSENT    /* it never ran here and never will */
} gp_run_phase_t;

/* Why a start waits, see jobs/agent_alone.c.  */
typedef enum
{
  GP_HOLD_NOT,
  GP_HOLD_BESIDE, /* for a run that is to be alone, to settle */
  /* It is to be alone, and ...  */
  GP_HOLD_TURN,  /* ... so is another one */
  GP_HOLD_LIST,  /* ... nothing is known of what has begun before */
  GP_HOLD_BEGUN, /* ... others have only just begun */
  GP_HOLD_DOUBT  /* ... a start that was not answered may begin yet */
} gp_agent_hold_t;

typedef struct
{
  char name[GP_TASK_NAME_SIZE];
  uint32_t run;
  gp_run_phase_t phase;
  Gp__Jobs__Start *start; /* owned; NULL for a run that is only stopped */
  bool in_flight;
  bool doubtful;          /* a start went unanswered, and may be carried out
                             yet */
  bool listed;            /* seen on the executor's list */
  gp_time_t listed_since; /* first, 0: never ... */
  gp_time_t listed_at;    /* ... and last */
  unsigned unlisted;      /* lists that did not show it, one after the other */
  bool settled_told;      /* the leader was told that it has settled */
  gp_time_t sent_at;      /* its first start that may have been carried out,
                             or be yet; 0: none */
  gp_time_t tried_at;     /* its first start, 0: never */
  int64_t start_fence;    /* of its last start */
  gp_time_t held_since;   /* its start waits for those of others, 0: it does
                             not ... */
  gp_agent_hold_t hold;   /* ... for this, at first */
  gp_time_t retry_at;     /* no call before */
  gp_time_t confirmed_at; /* when the phase was entered by an answer */
  gp_time_t began_at;     /* when it was first known to have begun, 0: it is
                             not */
  int64_t measure;        /* as last listed, see gp_agent_row_t */
  gp_headroom_t headroom; /* of a serving run, without filling work */
  double taught_headroom; /* the same as the leader had it ... */
  double taught_slope;    /* ... with its rise in a second ... */
  gp_time_t taught_at;    /* ... then, 0: never */
  double missed;          /* headroom that it lacks of what is foreseen */
  double over;            /* seconds for which it was over its target then */
  gp_time_t over_since;   /* the time since when, or GP_TIME_NEVER */
  double busy;            /* share of the last half second for which a filling
                             run was busy; NAN: not seen yet */
  double work;            /* busy work that it did in that time */
  gp_time_t at_work_at;   /* it was first seen at work, 0: never */
  uint32_t pace;          /* percent of full speed, as last confirmed ... */
  gp_time_t paced_at;     /* ... then, 0: never */
  uint32_t pace_before;   /* until then */
  gp_time_t pace_again;   /* repeat it then: a call without an answer may
                             still set an older one; GP_TIME_NEVER */
  gp_time_t pace_sure_at; /* no such call is left by then */
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
  const GBytes *spec;  /* the same, for a start */
  int64_t lease_ms;    /* on the executor's clock, for a start */
  uint32_t percent;    /* for a pace */
} gp_agent_call_t;

/* What an order came to.  */
typedef enum
{
  GP_AGENT_TAKEN,
  GP_AGENT_FENCED,   /* a higher fence was seen there */
  GP_AGENT_TOO_OLD,  /* this run or a later one was stopped or ended there */
  GP_AGENT_TOO_LATE, /* the lease of the order had run out */
  GP_AGENT_NO_ROOM,
  GP_AGENT_REFUSED,    /* nothing was done: unhealthy, or a bad order */
  GP_AGENT_REPLACED,   /* another executor answered */
  GP_AGENT_UNANSWERED, /* it may be carried out now or later */
  GP_AGENT_CUT,        /* the same: the other side ended the connection */
  GP_AGENT_NOBODY      /* nobody listens at the executor's address */
} gp_agent_result_t;

/* A filling run that has ended, of which the measures still tell.  */
typedef struct
{
  char *image; /* owned */
  double work; /* busy work, as last measured */
  gp_time_t ended_at;
} gp_agent_gone_t;

/* A row of the executor's list.  */
typedef struct
{
  const char *task;
  uint32_t run;
  int64_t measure; /* tail latency in milliseconds of a run that serves, else
                      thousandths of a core in use; over half a second */
} gp_agent_row_t;

typedef struct
{
  Gp__Jobs__Executor *executor;       /* owned, NULL: none known */
  Gp__Jobs__Predecessor *predecessor; /* owned: the last executor before it
                                         that had runs; NULL: none known */
  GHashTable *runs;                   /* name to gp_agent_run_t, owned */
  gp_spec_store_t specs;              /* kept when the executor changes */
  GPtrArray *ends;      /* Gp__Jobs__End, owned, not yet on record */
  uint64_t seen_ends;   /* on record */
  uint64_t listed_ends; /* the highest number taken in */
  uint64_t stale_ends;  /* rows of ends that were listed though on record */
  uint64_t synced;      /* number of the last sync */
  bool is_synced;       /* RUNS is what the leader wants */
  uint64_t life;        /* counts the lives that were met */
  GPtrArray *carried; /* Gp__Jobs__TaskRun, owned: other runs than RUNS on the
                         last list */
  int64_t fence;
  int64_t fence_asked;  /* the highest of a question */
  int64_t fence_leap;   /* added when the fence is too low, doubles */
  int64_t fence_listed; /* the highest that a list of this life was asked for
                           with: no order with a lower one is carried out after
                           that list; 0: none was answered */
  int64_t clock_ms;     /* the executor's clock ... */
  gp_time_t clock_at;   /* ... no earlier than here */
  bool clock_is_behind; /* an answer told of a lower one */
  gp_time_t began_at;   /* this process did */
  gp_time_t named_at;   /* sending of the first report of the executor, or
                           GP_TIME_NEVER */
  gp_time_t granted;    /* sending of the last acknowledged report */
  gp_time_t lease;      /* the same of the lease that calls carry */
  gp_time_t heard_at;   /* last answer of the executor */
  gp_time_t down_since; /* a call failed, and none was answered since; 0: one
                           was */
  bool is_cut;          /* its side has ended a connection, or a list went
                           unanswered, and none was answered since: another
                           life may answer */
  gp_time_t gone_from;  /* where the first failure showed that it may have
                           ended: its end at the earliest; 0: it did not */
  bool lapsed;          /* the lease ran out, and no sync since says so */
  gp_time_t lapsed_at;
  bool ended;             /* the executor has ended for good */
  gp_time_t known_since;  /* this process knows the executor since */
  gp_time_t starts_until; /* nothing is started there from then on, as it is
                             about to leave; GP_TIME_NEVER: it is not */
  gp_start_gate_t gate;   /* may anything be started? */
  gp_pacer_t pacer;
  GArray *gone;          /* gp_agent_gone_t */
  bool distrusts_phases; /* a run stays over its target though all that was
                            seen busy is slowed down */
  bool plan_is_old;      /* filling runs have come or gone since the pacer's
                            last plan */
  gp_time_t measured_at; /* the measures of the runs are from then */
  bool has_measures;     /* and the leader does not have them yet */
  gp_time_t retry_time;  /* duration between tries of a call */
} gp_agent_t;

/* ZONE_SPAN is the duration for which a word that the zone is open holds, 0:
   for good.  */
void gp_agent_init (gp_agent_t *agent, gp_time_t zone_span, gp_time_t now);
void gp_agent_finish (gp_agent_t *agent);

/* Use fences from FENCE on.  */
void gp_agent_begin_fence (gp_agent_t *agent, int64_t fence);
/* Orders that were made before count no more, once one is carried out that is
   made from now on.  */
void gp_agent_raise_fence (gp_agent_t *agent);
/* The executor has seen a higher fence than FENCE, which a call of its current
   life carried, or a question.  */
void gp_agent_fenced (gp_agent_t *agent, int64_t fence);
/* The fence for a question which life is there: above all orders, also those
   that are made until its answer has come; those after it begin with it.  */
int64_t gp_agent_ask_fence (gp_agent_t *agent);

/* Is the executor of this VM that life of ID?  */
bool gp_agent_is_life (const gp_agent_t *agent, const char *id,
                       int64_t born_ms);
/* The executor of this VM is EXECUTOR now, which the agent takes over; if
   it is another one, or another life, all that was known is forgotten.
   CLOCK_MS is its clock or -1.  */
void gp_agent_set_executor (gp_agent_t *agent, Gp__Jobs__Executor *executor,
                            int64_t clock_ms, gp_time_t now);
/* May RUN have taken the executor down, should that not answer again?  */
bool gp_agent_is_suspect (const gp_agent_t *agent, const gp_agent_run_t *run);
/* Say in ROW what tells the suspect RUN from others: when it had begun.  */
void gp_agent_describe_suspect (const gp_agent_t *agent,
                                const gp_agent_run_t *run,
                                Gp__Jobs__TaskRun *row);
/* Is the leader to be told now that RUN, which it watches, has settled? Counts
   as told from then on.  */
bool gp_agent_tells_settled (gp_agent_run_t *run);
/* The executor has ended, and all that ran on it: it said goodbye, and nobody
   listens at its address any more.  It stays the one that is reported.  */
void gp_agent_executor_ended (gp_agent_t *agent);

/* A report was sent, at a time later than all before.  */
void gp_agent_reported (gp_agent_t *agent, gp_time_t sent_at);

/* The leader's words.  LEAD_AGE is the age of its last append.  */
void gp_agent_acknowledged (gp_agent_t *agent, gp_time_t sent_at,
                            gp_time_t lead_age, gp_time_t now);
/* At KNOWN_AT the zone of the VM was EVACUATED, or was not.  */
void gp_agent_zone_told (gp_agent_t *agent, bool evacuated,
                         gp_time_t known_at);
void gp_agent_sync (gp_agent_t *agent, Gp__Jobs__Sync *sync);
void gp_agent_order (gp_agent_t *agent, Gp__Jobs__Orders *orders);
/* Another leader has come: what it wants is not known yet.  */
void gp_agent_unsync (gp_agent_t *agent);

/* The executor's list, which showed all that runs, was asked for with FENCE;
   to be told before that is taken in.  */
void gp_agent_fence_listed (gp_agent_t *agent, int64_t fence);

/* The counter of starts that waited.  */
void gp_agent_register_alone (void);

/* Has a run that is to be alone not settled, so that those of other jobs wait
   for it?  */
bool gp_agent_keeps_alone (const gp_agent_t *agent);

/* The leader knows the load of a serving run from all of its kind.  */
void gp_agent_teach_load (gp_agent_t *agent, const char *task,
                          int32_t headroom_permille, int32_t slope_permille,
                          gp_time_t now);

/* The next call to make, marked as in flight; NONE when there is none before
 *AGAIN_AT.  */
gp_agent_call_t gp_agent_next_call (gp_agent_t *agent, gp_time_t now,
                                    gp_time_t *again_at);
/* May a call that came to RESULT have been carried out, or be yet, as no
   answer came?  */
bool gp_agent_is_unanswered (gp_agent_result_t result);
/* The answer to a call about run NUMBER of the task NAME; PERCENT is what a
   pace asked for.  */
void gp_agent_answered (gp_agent_t *agent, gp_agent_call_kind_t kind,
                        const char *name, uint32_t number, uint32_t percent,
                        gp_agent_result_t result, int64_t clock_ms,
                        gp_time_t now);

/* The ends that the next list confirms.  */
uint64_t gp_agent_list_confirmed (const gp_agent_t *agent, gp_time_t now);
/* The lease for the next list on the executor's clock, 0: do not extend.  */
int64_t gp_agent_list_lease (gp_agent_t *agent, gp_time_t now);
/* The executor's list, asked for at SENT_AT.  Returns whether there is news
   for the leader.  */
bool gp_agent_listed (gp_agent_t *agent, const gp_agent_row_t *rows,
                      size_t row_count, const Gp__Jobs__End *ends,
                      size_t end_count, int64_t clock_ms, gp_time_t sent_at,
                      gp_time_t now);
/* Does the measure of RUN at NOW tell of the load of a run that serves?  */
bool gp_agent_is_telling (const gp_agent_run_t *run, gp_time_t now);

/* The busy work that the measures at NOW still tell of GONE.  */
double gp_agent_gone_work (const gp_agent_gone_t *gone, gp_time_t now);

/* The list was answered by another executor, or refused for the fence.  */
void gp_agent_list_refused (gp_agent_t *agent, gp_agent_result_t result,
                            int64_t clock_ms, gp_time_t now);

/* Add to JOBS the ids, owned, of the jobs whose specification is to be asked
   of the leader.  */
void gp_agent_lacking (const gp_agent_t *agent, GPtrArray *jobs);

/* May another life answer the next call?  */
bool gp_agent_doubts_life (const gp_agent_t *agent, gp_time_t now);

/* Have calls to the executor failed, and was none answered since?  Its runs
   may be at work nevertheless.  */
bool gp_agent_is_down (const gp_agent_t *agent, gp_time_t now);

/* Has the executor answered a call lately?  */
bool gp_agent_answers (const gp_agent_t *agent, gp_time_t now);

/* Has the executor's lease certainly run out, and did no sync take that into
   account yet?  */
bool gp_agent_lapsed (gp_agent_t *agent, gp_time_t now);

#endif

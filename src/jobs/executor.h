/* An executor: one incarnation of the runtime that runs tasks on a VM.

   An incarnation is identified by its id together with its start time, if the
   executor reports one: it may restart under its previous id, and then runs
   nothing and knows nothing of earlier runs.  Each incarnation has an object
   of its own, so that what is known of the previous one, and what was ordered
   from it, remains there; see gp_book_next_incarnation.

   The object holds the view of the leading entry: capacity and labels as
   reported by the guard, the resources reserved by the runs assigned to it,
   and how its runs ended recently.  */

#ifndef GP_JOBS_EXECUTOR_H
#define GP_JOBS_EXECUTOR_H

#include "jobs/executor_speed.h"
#include "jobs/job.h"
#include "jobs/start_rates.h"

/* Resources that a run needs or an executor has.  */
typedef struct
{
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
} gp_job_resources_t;

/* What a dedicated executor takes; see jobs/suspicion.h.  */
typedef enum
{
  GP_DEDICATION_NONE, /* it is not dedicated */
  GP_DEDICATION_JOB,  /* runs of one job */
  GP_DEDICATION_GROUP /* suspects of several jobs */
} gp_dedication_kind_t;

typedef struct
{
  gp_dedication_kind_t kind;
  char job[GP_JOB_ID_SIZE + 1]; /* GP_DEDICATION_JOB: its id */
  uint32_t crashes; /* GP_DEDICATION_GROUP: those of each suspect in it */
  gp_time_t until;  /* its end at the latest; 0: a previous leader dedicated
                       the executor */
} gp_dedication_t;

/* What the loss of an executor of which no guard reports suspects may have
   been; see jobs/correlated_loss.h.  */
typedef enum
{
  GP_LOSS_SINGLE,   /* the executor was lost on its own ... */
  GP_LOSS_UNHEARD,  /* ... or this leader has had no report on it ... */
  GP_LOSS_VM,       /* ... or its VM fell silent */
  GP_LOSS_JOB,      /* others were lost as well, and runs of one job may be the
                       cause ... */
  GP_LOSS_ISOLATED, /* ... or isolated runs ... */
  GP_LOSS_ANY,      /* ... or any run, as this leader has had no report ... */
  GP_LOSS_OUTAGE    /* ... or none */
} gp_loss_t;

struct gp_job_executor
{
  char *id;
  int64_t born_ms;    /* its start time, 0: not known */
  char *previous_key; /* its own key in the book once another incarnation uses
                         its id; NULL until then */
  char *service;
  char **labels; /* NULL-terminated, may be NULL */
  gp_job_resources_t capacity;
  gp_job_resources_t used;  /* by runs; of filling runs only the memory */
  gp_job_resources_t stray; /* the part of USED that is of stray runs, by the
                               last report of its guard */
  uint32_t unknown_runs;    /* number of further runs in that report whose job
                               is not known, and so not what they use */
  int64_t long_running_cpu; /* CPU of long-running runs, in thousandths of a
                               core */
  int64_t filling_cpu;   /* CPU requested by filling runs, in thousandths of a
                            core */
  int64_t serving_count; /* number of runs with a latency target */
  gp_list_t tasks;       /* gp_job_task_t.on_executor */
  uint32_t task_count;
  bool reachable;           /* its guard reports to this leader */
  gp_time_t reported_at;    /* when its guard last reported it to this leader,
                               0: never */
  gp_time_t reported_since; /* when its guard first reported it to this leader,
                               0: never */
  uint64_t reports;         /* number of reports from its guard */
  gp_time_t assigned_at;    /* when this process last assigned a run to it, 0:
                               never */
  gp_dedication_t dedication;
  bool suspects_reported; /* its guard has reported which runs may have crashed
                             it */
  gp_time_t disconnected_at; /* when its guard closed the connection to this
                                leader, without a report since; 0: it did
                                not */
  gp_time_t unanswered_at;   /* before the first report to this leader: when a
                                connection was first opened to its guard that the
                                VM did not answer, 0: none */
  bool guard_stopping; /* its guard was being stopped as planned when it last
                          reported */
  gp_time_t unreported_since; /* since when no guard reports it, 0: one does */
  bool has_unconfirmed;  /* jobs with runs here wait for a report that shows
                            that these have begun */
  bool wait_logged;      /* it was logged that its runs wait because no guard
                            reports it */
  bool down;             /* its guard gets no answer from it */
  gp_time_t down_at;     /* when that was first reported, 0: it answers */
  bool down_unexplained; /* no run on it might have crashed it then */
  uint64_t failure_id;   /* of its failure in gp_quarantine_t, 0: none */
  uint64_t vm; /* number of its VM in gp_quarantine_t, 0: it has none yet */
  bool quarantined; /* see jobs/quarantine.h */
  bool draining;
  bool evacuated;    /* its zone is evacuated: it gets no new work */
  bool dead;         /* it certainly runs nothing any more */
  gp_time_t lost_at; /* when it was lost with its guard, which has reported no
                        runs that may have crashed it; 0: it was not */
  gp_loss_t loss;    /* how it was lost, if LOSS_SILENT_SINCE is when its VM
                        fell silent */
  gp_time_t loss_silent_since;
  char loss_job[GP_JOB_ID_SIZE + 1]; /* GP_LOSS_JOB: id of that job */
  gp_time_t vm_lost_at; /* when a loss of its VM became known last, under this
                           executor or an earlier one; 0: never */
  gp_time_t leaves_at;  /* while draining: the earliest time of its end */
  uint32_t failed_in_row; /* number of failed runs since the last successful
                             one */
  const gp_job_task_t *failed_gang; /* the first member of the gang of which a
                                       run failed here last; only to compare,
                                       as it may be freed */
  uint32_t failed_gang_run;         /* the number of that run */
  gp_time_t
      distrusted_until;   /* no new work before this time, after failures */
  gp_time_t relocated_at; /* when a run was last moved away from it */
  gp_time_t full_until;   /* no new work before this time, as it has refused a
                             run for lack of resources */
  gp_executor_speed_t speed;
  gp_start_rates_t start_rates; /* as assigned by this process */
};

gp_job_executor_t *gp_job_executor_new (const char *id);
void gp_job_executor_free (gp_job_executor_t *executor);

/* Updates EXECUTOR from a report of its guard.  */
void gp_job_executor_update (gp_job_executor_t *executor,
                             const Gp__Jobs__Executor *report, gp_time_t now);

/* Reserves the resources of TASK, which is assigned to EXECUTOR now, and
   releases them.  */
void gp_job_executor_add (gp_job_executor_t *executor, gp_job_task_t *task);
void gp_job_executor_remove (gp_job_executor_t *executor, gp_job_task_t *task);

/* Reserves the resources of a stray run of STEP on EXECUTOR.  STEP may be NULL
   if the job of the run is not known; the run is only counted then.  */
void gp_job_executor_add_stray (gp_job_executor_t *executor,
                                const Gp__Jobs__Step *step);
/* Releases the resources of all stray runs on EXECUTOR.  */
void gp_job_executor_clear_strays (gp_job_executor_t *executor);

/* Ends the dedication of EXECUTOR to JOB or to a group, unless it has an
   isolated run of that job, or a run of the group, that has not settled.  */
void gp_job_executor_end_dedication (gp_job_executor_t *executor,
                                     const gp_job_t *job);

/* Returns whether a stray run of TASK, one that no job wants any more, is
   still on its executor, by the last report of the executor's guard.  The task
   waits until that run ends: started elsewhere meanwhile, it would run
   twice.  */
bool gp_job_executor_has_stray (const gp_job_task_t *task);

/* Returns the CPU on EXECUTOR that is available to further filling runs, in
   thousandths of a core.  Negative if there are too many.  */
int64_t gp_job_executor_spare_cpu (const gp_job_executor_t *executor);

/* Returns whether a run of TASK, when it is done, shows how fast its executor
   is.  Filling runs are slowed down by other runs, members of a gang by each
   other, and a run that resumes from a checkpoint is shorter.  */
bool gp_job_executor_is_measured_by (const gp_job_task_t *task);

bool gp_job_executor_has_label (const gp_job_executor_t *executor,
                                const char *label);

#endif

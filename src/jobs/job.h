/* A job, its steps and its tasks.

   A job is a Submission (protocol/jobs.proto) and the state of its tasks.
   Step S of occurrence K has COUNT tasks.  All tasks of a job are stored in
   one array, ordered by occurrence and then by step, so each task has a single
   index.  The array exists from when something becomes known of a task until
   the job has ended and has no run: otherwise all its tasks wait, or do not
   matter, and the tallies say so.  The state of the tasks is packed into a
   Progress record, which replaces the previous one; a reader needs only the
   newest.

   The right to run: at most one run of a task may be running, the one numbered
   RUN on EXECUTOR.  It is given up only when the run's end or absence on that
   executor has been reported, or the executor is certainly dead (see
   jobs/scheduler.h).  */

#ifndef GP_JOBS_JOB_H
#define GP_JOBS_JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"
#include "jobs.pb-c.h"
#include "jobs/headroom.h"

typedef struct gp_job gp_job_t;
typedef struct gp_job_task gp_job_task_t;
typedef struct gp_job_executor gp_job_executor_t;

/* Hexadecimal digits of a job's id.  */
#define GP_JOB_ID_SIZE 16
/* Limits on a submission; it is refused if it exceeds them.  */
#define GP_JOB_MAX_STEPS 64
#define GP_JOB_MAX_TASKS 5000
/* Limit on an objective's stretch: ten thousand times the duration of the
   work.  Its product with the longest duration is still a valid time.  */
#define GP_JOB_MAX_STRETCH_PERCENT 1000000
/* Enough for the name of any task: id, occurrence, step and index.  */
#define GP_TASK_NAME_SIZE 64

typedef enum
{
  GP_JOB_QUEUED,
  GP_JOB_RUNNING,
  GP_JOB_COMPLETED,
  GP_JOB_FAILED,
  GP_JOB_CANCELLED
} gp_job_state_t;

typedef enum
{
  GP_TASK_WAITING,
  GP_TASK_ASSIGNED, /* its run may be running on its executor */
  GP_TASK_STOPPING, /* the same, and a stop of the run has been ordered */
  GP_TASK_DONE      /* a member of a gang that another member has shown to be
                       done remains on its executor until its own run is known to
                       have ended there */
} gp_task_state_t;

/* How a run ended.  */
typedef enum
{
  GP_END_DONE,
  GP_END_FAILED,  /* by its own or the executor's fault */
  GP_END_STOPPED, /* on order */
  GP_END_LAPSED,  /* the executor's lease expired */
  GP_END_BROKEN,  /* another member of its gang ended */
  GP_END_ALONE    /* the other members of its gang did not arrive in time */
} gp_end_t;

struct gp_job_task
{
  gp_job_t *job;
  uint32_t index;
  gp_task_state_t state;
  uint32_t run;        /* the last number used, 0: none */
  uint32_t failures;   /* number of failed runs; those of a gang are counted on
                          its first member */
  uint32_t failed_run; /* the last run counted in FAILURES, 0: none */
  uint32_t crashes;  /* consecutive crashes of executors that count against the
                        task; see jobs/suspicion.h */
  uint32_t evidence; /* evidence of these that the task caused them */
  gp_time_t isolation_wait_since; /* waits for an isolated start since then, 0:
                                     it does not; known to this process only */
  bool lost_in_outage; /* the loss of its last run was attributed to an outage;
                          known to this process only */
  bool alone; /* its run is isolated: no run of another job on the executor had
                 just started, nor will any be started there */
  bool in_group;   /* its run was started on an executor that is dedicated to a
                      group of suspects */
  bool settled;    /* its run has run for long enough not to be the one that
                      crashes its executor */
  bool suspect;    /* its guard reported the run as a suspect ... */
  bool fresh;      /* ... that had started recently ... */
  bool just;       /* ... or immediately before the crash ... */
  uint32_t age_ms; /* ... at least this long before, 0: unknown ... */
  uint32_t max_age_ms; /* ... and at most this long, 0: unknown ... */
  bool unanswered;     /* ... or may have at any time */
  bool timed; /* known from when its executor ended, not from its lists */
  gp_job_executor_t *executor; /* as long as its run may be running */
  gp_list_t on_executor;       /* in gp_job_executor_t.tasks */
  char *checkpoint;            /* NULL: none */
  gp_time_t duration;   /* duration of the run that was done, as seen by this
                           process, 0: unknown */
  gp_time_t ordered_at; /* when this process assigned the run, or ordered it if
                           the order was delayed */
  gp_time_t unconfirmed_at; /* when its guard last reported that it may not
                               have begun, 0: never */
  bool refused; /* its guard has reported that its start was refused and it has
                   not begun */
  bool may_start_late;  /* it may have started long after that, because it is
                           isolated or waits for an isolated run to settle */
  uint32_t expected_ms; /* how long the run was expected to take when this
                           process assigned it, 0: unknown */
  gp_job_executor_t *failed_on; /* the last executor it failed on */
  gp_job_executor_t *stray_on;  /* the executor reported to have a stray run of
                                   it, NULL: none ... */
  uint64_t stray_report;        /* ... and the number of the guard's report */
  gp_time_t throttled_since; /* since when this filling run has been throttled,
                                0: it is not */
  uint64_t failure_id; /* of the last failure of an executor that it may have
                          caused, in gp_quarantine_t; 0: none */
};

/* What keeps a task from being placed, in order of how close the task is to
   being placed.  */
typedef enum
{
  GP_WAIT_NONE,
  GP_WAIT_NO_EXECUTOR, /* no executor of its service and label */
  GP_WAIT_CAPACITY,    /* no executor has enough free capacity */
  GP_WAIT_SPREAD,      /* only where its step's max_per_executor is reached */
  /* There are executors with enough free capacity that ...  */
  GP_WAIT_ZONE,         /* ... are in an evacuated zone */
  GP_WAIT_UNREACHABLE,  /* ... are not reported, or do not answer */
  GP_WAIT_DRAINING,     /* ... are about to leave */
  GP_WAIT_DISTRUSTED,   /* ... have just failed runs or refused one */
  GP_WAIT_UNKNOWN_RUNS, /* ... have runs of jobs that are not known */
  GP_WAIT_DEDICATED,    /* ... are dedicated to suspects, or in quarantine */
  GP_WAIT_INTERFERENCE, /* ... have runs that it would interfere with */
  GP_WAIT_GANG,         /* ... are too few for all of its gang */
  /* The task itself is held back:  */
  GP_WAIT_ISOLATION,  /* a suspect that waits for an isolated start */
  GP_WAIT_QUARANTINE, /* it belongs to a suspect queue */
  GP_WAIT_MEMORY,     /* there is no memory for the state of its tasks */
  GP_WAIT_STRAY       /* see gp_job_executor_has_stray */
} gp_wait_cause_t;

/* Memory that jobs take, in bytes.  */
typedef struct
{
  size_t submissions;   /* from when a job is accepted */
  size_t cancellations; /* of jobs whose submission is not known */
  size_t tasks;         /* known tasks */
} gp_job_costs_t;

/* How a step waits for a place.  */
typedef struct
{
  gp_time_t since; /* since when a task of it finds none, 0: none waits */
  gp_time_t next_check_at; /* time of the next examination */
  gp_wait_cause_t cause;   /* as last logged */
  bool counted;            /* counted among the steps that could run */
} gp_job_wait_t;

/* What has delayed the filling runs of a job, as far as this leader knows.  */
typedef struct
{
  gp_time_t throttled;          /* sum over its runs: time spent throttled */
  gp_time_t interference_waits; /* sum over its steps: time without a place
                                   where they would do no harm ... */
  gp_time_t quarantine_waits;   /* ... and without one in quarantine */
  uint32_t relocations;         /* runs that were stopped to be moved */
} gp_job_delays_t;

/* The tasks of one step in one occurrence.  */
typedef struct
{
  uint32_t done;
  uint32_t waiting;
  gp_job_wait_t wait; /* see jobs/placer_waits.h */
} gp_step_tally_t;

struct gp_job
{
  char id[GP_JOB_ID_SIZE + 1];
  Gp__Jobs__Submission *submission; /* NULL until its record is read */
  gp_job_state_t state;
  gp_job_state_t recorded; /* the state in the log, which is the one sent to
                              callers, as a later one may be lost */
  bool cancelled;
  int64_t undefined_wall_ms;  /* since when its cancellation is known without a
                                 submission, as far as was looked, 0: it is not
                                 */
  bool submission_unreadable; /* its record cannot be read */
  bool progress_unknown; /* its progress cannot be read, and no earlier one was
                            seen: its runs are unknown, so none is started */
  bool newest_unreadable; /* the newest progress cannot be read, but the one
                             before is known */
  uint64_t progress_end; /* one past the offset of the newest progress applied,
                            0: none */
  int64_t ended_wall_ms;
  gp_time_t submitted_at; /* by its record, on this process's clock */
  gp_time_t forecast_at;  /* when due_at, useless_at and task_times were
                             computed, 0: never; see jobs/forecast.h */
  gp_time_t due_at;       /* its objective */
  gp_time_t useless_at;   /* its result is useless after this */
  gp_time_t forecast_end; /* the leader's forecast of its end when it was first
                             counted, 0: none yet, GP_TIME_NEVER: its error has
                             been learned; see jobs/room.h */
  gp_time_t *task_times;  /* expected duration of a task, by step */
  gp_headroom_t *loads;   /* headroom of the serving runs, by step */
  uint32_t occurrences;
  uint32_t tasks_per_occurrence;
  uint32_t *step_start;     /* first index of each step in an occurrence */
  gp_job_task_t *tasks;     /* NULL: nothing is known of any task */
  uint32_t known_tasks;     /* number of elements of TASKS: none or all */
  gp_step_tally_t *tallies; /* by occurrence and step */
  uint32_t task_count;
  gp_job_costs_t costs;
  gp_job_costs_t *total; /* of the book, which includes COSTS; NULL: none */
  uint32_t done_count;
  bool started; /* a run was assigned at some time to an executor that was not
                   known to be down */
  bool has_begun;       /* a run of it is known to have begun */
  bool awaits_begin;    /* its starts were refused or may not have arrived:
                           until a run is known to have begun, assignments do
                           not count */
  gp_time_t idle_since; /* no run but work to do since then, 0: it has a run */
  gp_job_delays_t delays;
  bool dropped;   /* its submission was deleted from the log */
  gp_list_t link; /* in gp_book_t.live while it has not ended and its progress
                     is known */
  gp_list_t dirty_link;               /* in gp_scheduler_t.dirty */
  Gp__Jobs__Progress *early_progress; /* received before its submission */
};

gp_job_t *gp_job_new (const char *id);
void gp_job_free (gp_job_t *job);

/* Returns whether TEXT, SIZE bytes long, is the id of a job.  */
bool gp_job_id_valid (const char *text, size_t size);

/* Sets SUBMISSION, which the job then owns; possible only once.  Returns false
   if it exceeds a limit; the caller keeps SUBMISSION then.  */
bool gp_job_define (gp_job_t *job, Gp__Jobs__Submission *submission,
                    gp_time_t submitted_at);

/* Returns whether SUBMISSION can be scheduled at all.  FALSE sets ERROR.  */
bool gp_job_check (const Gp__Jobs__Submission *submission, GError **error);

/* Returns the memory in bytes that a job with SUBMISSION takes as long as
   nothing is known of its tasks.  */
size_t gp_job_cost (const Gp__Jobs__Submission *submission);

/* Returns the memory in bytes that the tasks of JOB, which is defined, take
   once they are known.  */
size_t gp_job_tasks_cost (const gp_job_t *job);

/* Returns the memory in bytes of a job of which only the cancellation is
   known.  */
size_t gp_job_undefined_cost (void);

/* JOB has COSTS, which are part of the total that JOB refers to, if any.  */
void gp_job_set_costs (gp_job_t *job, gp_job_costs_t costs);

/* Something is known of a task of JOB, which is defined: makes the tasks,
   unless they exist.  */
void gp_job_make_tasks (gp_job_t *job);

/* Frees the tasks of JOB, of which none is on an executor.  All wait then, by
   the tallies.  */
void gp_job_forget_tasks (gp_job_t *job);

/* Returns task INDEX of JOB, which is defined; makes the tasks if necessary.
 */
gp_job_task_t *gp_job_task (gp_job_t *job, uint32_t index);

/* Initializes TASK as task INDEX of JOB of which nothing is known.  */
void gp_task_init (gp_job_task_t *task, gp_job_t *job, uint32_t index);

/* Returns whether the newest records of JOB, or earlier ones, are known.  */
bool gp_job_is_readable (const gp_job_t *job);

bool gp_job_ended (const gp_job_t *job);

/* Returns whether any task of JOB is on an executor.  */
bool gp_job_has_run (const gp_job_t *job);

/* A run of JOB may be running: the job is no longer queued.  Returns whether
   it was.  */
bool gp_job_mark_started (gp_job_t *job);

/* Like gp_job_ended, but by the state in the log, which is the one sent to
   callers.  */
bool gp_job_end_is_recorded (const gp_job_t *job);

/* Returns whether JOB's end is in the log and was before WALL_MS (since
   1970).  */
bool gp_job_ended_before (const gp_job_t *job, int64_t wall_ms);

const Gp__Jobs__Step *gp_task_step (const gp_job_task_t *task);
uint32_t gp_task_step_number (const gp_job_task_t *task);
uint32_t gp_task_occurrence (const gp_job_task_t *task);
gp_step_tally_t *gp_task_tally (const gp_job_task_t *task);

/* Returns the index of the first task of STEP in OCCURRENCE.  */
uint32_t gp_job_step_index (const gp_job_t *job, uint32_t occurrence,
                            uint32_t step);

/* Returns the tasks of STEP in OCCURRENCE, as many as the step counts; makes
   the tasks if necessary.  */
gp_job_task_t *gp_job_step_tasks (gp_job_t *job, uint32_t occurrence,
                                  uint32_t step);

/* Sets *FIRST to the first task of TASK's step and occurrence, for a gang its
   members, and returns their number; NULL and 0 if the job's tasks are not
   known.  */
uint32_t gp_task_siblings (const gp_job_task_t *task, gp_job_task_t **first);

/* Returns the tallies of OCCURRENCE, one for each step.  */
gp_step_tally_t *gp_job_tallies (const gp_job_t *job, uint32_t occurrence);

/* Writes the task's name, "ID.OCCURRENCE.STEP.INDEX".  */
void gp_task_name (const gp_job_task_t *task, char name[GP_TASK_NAME_SIZE]);

/* Returns whether all steps that STEP of OCCURRENCE depends on are done and
   the occurrence is due (WALL_MS since 1970).  */
bool gp_job_step_ready (const gp_job_t *job, uint32_t occurrence,
                        uint32_t step, int64_t wall_ms);

/* Returns when OCCURRENCE is due, on this process's clock; for a job that is
   not timed, when it was submitted.  */
gp_time_t gp_job_occurrence_at (const gp_job_t *job, uint32_t occurrence);

/* Sets the state of TASK and updates the tallies.  The caller updates the
   executor's list.  */
void gp_task_set_state (gp_job_task_t *task, gp_task_state_t state);

/* The filling run of TASK is THROTTLED, or not, from NOW on: adds the time for
   which it was to the delays of its job.  */
void gp_task_set_throttled (gp_job_task_t *task, bool throttled,
                            gp_time_t now);

const char *gp_job_state_name (gp_job_state_t state);
const char *gp_end_name (gp_end_t how);

#endif

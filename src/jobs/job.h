/* A job of steps and its tasks.

   A job is a Submission (protocol/jobs.proto) and what became of its tasks.
   Step S of occurrence K has COUNT tasks; all tasks of a job stand in one
   array, occurrence after occurrence and in it step after step, so that a
   task has one index.  What a task has come to is packed into a Progress
   record, which replaces the one before; a reader needs only the newest.

   The right to run: a task has at most one run that may be at work, the one
   numbered RUN on EXECUTOR.  It is given up only when that executor has told
   its end or its absence, or is certainly dead (see jobs/scheduler.h).  */

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
/* Bounds of a submission; beyond them it is refused.  */
#define GP_JOB_MAX_STEPS 64
#define GP_JOB_MAX_TASKS 5000
/* The same of an objective's stretch: ten thousand times the duration of the
   work.  The product with the longest duration is still a point in time.  */
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
  GP_TASK_ASSIGNED, /* its run may be at work on its executor */
  GP_TASK_STOPPING, /* the same, and the run is to end */
  GP_TASK_DONE
} gp_task_state_t;

/* How a run has ended.  */
typedef enum
{
  GP_END_DONE,
  GP_END_FAILED,  /* by its own or the executor's fault */
  GP_END_STOPPED, /* on order */
  GP_END_LAPSED,  /* the executor's lease ran out */
  GP_END_BROKEN,  /* another member of its gang ended */
  GP_END_ALONE    /* the others of its gang did not come in time */
} gp_end_t;

struct gp_job_task
{
  gp_job_t *job;
  uint32_t index;
  gp_task_state_t state;
  uint32_t run; /* the last number used, 0: none */
  uint32_t failures;
  uint32_t crashes;      /* executors that have gone down under it, one after
                            the other; see jobs/suspicion.h */
  uint32_t evidence;     /* of these ends, that it has brought them about */
  gp_time_t alone_since; /* it looks for an executor of its own, 0: not yet; by
                            this process */
  bool excused;    /* the end of its last run passed for a loss of power; by
                      this process */
  bool alone;      /* nothing of other jobs had just begun beside its run, nor
                      will */
  bool settled;    /* its run was at work for long enough not to be what
                      takes its executor down */
  bool suspect;    /* its guard told that its run may be ... */
  bool fresh;      /* ... and had begun lately ... */
  bool just;       /* ... or just then ... */
  uint32_t age_ms; /* ... so long before, 0: not known */
  bool unanswered; /* ... or may have: its start was not answered */
  bool timed;      /* by when its executor ended, not by the lists */
  gp_job_executor_t *executor; /* while assigned or stopping */
  gp_list_t on_executor;       /* in gp_job_executor_t.tasks */
  char *checkpoint;            /* NULL: none */
  gp_time_t took;              /* duration of the run that was done, as seen
                                  by this process, 0: not known */
  gp_time_t since; /* when the run was assigned, or ordered where that was put
                      off, by this process */
  bool held;       /* it may have begun long after that: it is alone, or waits
                      for one that is */
  gp_job_executor_t *failed_on; /* the last executor it failed on */
  gp_job_executor_t *stray_on;  /* that was told to be at work with a run which
                                   is not wanted there, NULL: none ... */
  uint64_t stray_report;        /* ... in this report of its guard */
  gp_time_t slow_since; /* a filling run is held to little speed since, 0:
                           it is not */
};

/* What keeps a task from a place, the nearest to one last.  */
typedef enum
{
  GP_WAIT_NOT,
  GP_WAIT_NOBODY, /* no executor of its service and label */
  GP_WAIT_ROOM,   /* no room on any */
  GP_WAIT_APART,  /* only beside others of its step */
  /* There is room on executors that ...  */
  GP_WAIT_ZONE,        /* ... are in an evacuated zone */
  GP_WAIT_UNREACHABLE, /* ... are silent, or have no leader's word yet */
  GP_WAIT_DRAINING,    /* ... are about to leave */
  GP_WAIT_DISTRUSTED,  /* ... have just failed runs or refused one */
  GP_WAIT_KEPT,        /* ... are kept for suspects, or in quarantine */
  GP_WAIT_HARM,        /* ... run what it would harm */
  GP_WAIT_GANG,        /* ... are too few for all of its gang */
  /* It is held back itself: */
  GP_WAIT_ALONE,      /* a suspect, which starts alone */
  GP_WAIT_QUARANTINE, /* of a queue that brings suspects */
  GP_WAIT_STRAY       /* see gp_job_executor_has_stray */
} gp_wait_cause_t;

/* A step's wait for a place.  */
typedef struct
{
  gp_time_t since;       /* a task of it finds none, 0: none waits */
  gp_time_t look_at;     /* no look before */
  gp_wait_cause_t cause; /* as last told */
  bool counted;          /* among those that could run */
} gp_job_wait_t;

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
  gp_job_state_t recorded; /* the state that is on the log: what callers are
                              told, as a later one may be lost */
  bool cancelled;
  bool lacks_submission; /* its record cannot be read */
  bool lacks_progress;   /* the same, and what stood before was not seen: which
                            runs it has is unknown, so none is started */
  bool overwritten;      /* the newest progress cannot be read, and what stood
                            before is known here */
  uint64_t progress_end; /* one past the offset of the newest progress that was
                            folded, 0: none was */
  int64_t ended_wall_ms;
  gp_time_t submitted_at; /* by its record, on this process's clock */
  gp_time_t forecast_at;  /* what follows was computed, 0: it was not; see
                             jobs/forecast.h */
  gp_time_t due_at;       /* its objective */
  gp_time_t useless_at;   /* its end earns nothing after */
  gp_time_t *task_times;  /* expected duration of a task, by step */
  gp_headroom_t *loads;   /* of the runs that serve, by step */
  uint32_t occurrences;
  uint32_t tasks_per_occurrence;
  uint32_t *step_start; /* first index of each step in an occurrence */
  gp_job_task_t *tasks;
  gp_step_tally_t *tallies; /* by occurrence and step */
  uint32_t task_count;
  uint32_t done_count;
  bool started;         /* a run was assigned once, to an executor that was
                           not known to be down */
  gp_time_t idle_since; /* it has work and no run since, 0: it has a run */
  bool dropped;         /* its submission is being dropped from the log */
  gp_list_t link;       /* in gp_book_t.live while it has not ended and
                           its progress is known */
  gp_list_t dirty_link; /* in gp_scheduler_t.dirty */
  Gp__Jobs__Progress *early_progress; /* came before its submission */
};

gp_job_t *gp_job_new (const char *id);
void gp_job_free (gp_job_t *job);

/* Is TEXT, SIZE bytes long, the id of a job?  */
bool gp_job_id_valid (const char *text, size_t size);

/* Take SUBMISSION, which the job owns from then on, once.  False when it
   breaks a bound; SUBMISSION is then the caller's.  */
bool gp_job_define (gp_job_t *job, Gp__Jobs__Submission *submission,
                    gp_time_t submitted_at);

/* Can SUBMISSION be scheduled at all?  FALSE sets ERROR.  */
bool gp_job_check (const Gp__Jobs__Submission *submission, GError **error);

/* Are the newest records of JOB, or what stood before them, known?  */
bool gp_job_is_readable (const gp_job_t *job);

bool gp_job_ended (const gp_job_t *job);

/* Is any task of JOB on an executor?  */
bool gp_job_has_run (const gp_job_t *job);

/* A run of JOB may be at work: it waits no longer.  FALSE: nor did it
   before.  */
bool gp_job_begin (gp_job_t *job);

/* The same by what is on the log, which is what callers are told.  */
bool gp_job_end_is_recorded (const gp_job_t *job);

/* Is an end before WALL_MS (since 1970) on the log?  */
bool gp_job_ended_before (const gp_job_t *job, int64_t wall_ms);

const Gp__Jobs__Step *gp_task_step (const gp_job_task_t *task);
uint32_t gp_task_step_number (const gp_job_task_t *task);
uint32_t gp_task_occurrence (const gp_job_task_t *task);
gp_step_tally_t *gp_task_tally (const gp_job_task_t *task);

/* The tasks of STEP in OCCURRENCE, as many as the step counts.  */
gp_job_task_t *gp_job_step_tasks (const gp_job_t *job, uint32_t occurrence,
                                  uint32_t step);

/* The tallies of OCCURRENCE, one for each step.  */
gp_step_tally_t *gp_job_tallies (const gp_job_t *job, uint32_t occurrence);

/* Write the task's name, "ID.OCCURRENCE.STEP.INDEX".  */
void gp_task_name (const gp_job_task_t *task, char name[GP_TASK_NAME_SIZE]);

/* Are all steps that STEP of OCCURRENCE waits for done, and its time come
   (WALL_MS since 1970)?  */
bool gp_job_step_ready (const gp_job_t *job, uint32_t occurrence,
                        uint32_t step, int64_t wall_ms);

/* When OCCURRENCE is due, on this process's clock: for a job that is not timed
   when it was submitted.  */
gp_time_t gp_job_occurrence_at (const gp_job_t *job, uint32_t occurrence);

/* Set the state of TASK and keep the tallies; the executor's lists are the
   caller's.  */
void gp_task_set_state (gp_job_task_t *task, gp_task_state_t state);

const char *gp_job_state_name (gp_job_state_t state);
const char *gp_end_name (gp_end_t how);

#endif

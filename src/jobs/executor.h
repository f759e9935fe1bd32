/* An executor: one life of the runtime that works on a VM.

   A life is named by its id together with the time of its birth, where the
   executor tells one: it may start again under the id that it had, and then
   runs nothing and knows nothing of before.  Each life has an object of its
   own, so that what was believed of the one before, or ordered of it, stays
   with that; see gp_book_next_incarnation.

   What the leading entry believes of its executors stands here: capacity and
   labels as reported by the guard, what is reserved by the runs assigned to
   it, and how its runs have ended lately.  */

#ifndef GP_JOBS_EXECUTOR_H
#define GP_JOBS_EXECUTOR_H

#include "jobs/job.h"

/* What a run takes, or an executor has.  */
typedef struct
{
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
} gp_room_t;

struct gp_job_executor
{
  char *id;
  int64_t born_ms; /* 0: not known */
  char *past_name; /* a key in the book of its own, once another life has its
                      id; NULL until then */
  char *service;
  char **labels; /* NULL-terminated, may be NULL */
  gp_room_t capacity;
  gp_room_t used;  /* by runs, filling ones only by their memory */
  int64_t lasting; /* thousandths of a core of runs that last */
  int64_t filling; /* thousandths of a core that filling runs ask for */
  int64_t serving; /* number of runs with a tail latency to keep */
  gp_list_t tasks; /* gp_job_task_t.on_executor */
  uint32_t task_count;
  bool reachable;           /* its guard reports */
  gp_time_t reported_at;    /* its guard reported it to this leader last, 0:
                               never */
  gp_time_t reported_since; /* and first, 0: never */
  uint64_t reports;         /* number of its guard's reports */
  gp_time_t assigned_at;    /* this process gave it its last run, 0: never */
  char kept_for[GP_JOB_ID_SIZE + 1]; /* it takes no runs but those of this
                                        job, "": it does ... */
  gp_time_t kept_until; /* ... but for no longer than this; 0: a leader before
                           has kept it */
  bool
      suspects_told; /* its guard has told which runs may have taken it down */
  gp_time_t cut_at;  /* its guard ended its connection to this leader, and has
                        not reported it since; 0: it did not */
  gp_time_t unspoken_since; /* no guard reports it since then, 0: one does */
  bool awaited;     /* it was noted what its runs wait for since it does not */
  bool down;        /* its guard gets no answer from it */
  bool blamed;      /* that was noted against a queue */
  bool quarantined; /* see jobs/quarantine.h */
  bool draining;
  bool evacuated;          /* its availability zone is: it gets no new work */
  bool dead;               /* certainly runs nothing any more */
  gp_time_t lost_at;       /* since then, and its guard told nothing of what
                              may have taken it down; 0: it did */
  gp_time_t leaves_at;     /* while draining: its end at the earliest */
  uint32_t failed_in_row;  /* runs that failed since one was done */
  gp_time_t trusted_again; /* no new work before, after failures */
  gp_time_t relocated_at;  /* a run was moved away last */
  gp_time_t full_until;    /* it has refused for want of room */
};

gp_job_executor_t *gp_job_executor_new (const char *id);
void gp_job_executor_free (gp_job_executor_t *executor);

/* Take over what its guard says.  */
void gp_job_executor_update (gp_job_executor_t *executor,
                             const Gp__Jobs__Executor *report, gp_time_t now);

/* Reserve for TASK, which has been assigned to EXECUTOR, and let go.  */
void gp_job_executor_add (gp_job_executor_t *executor, gp_job_task_t *task);
void gp_job_executor_remove (gp_job_executor_t *executor, gp_job_task_t *task);

/* EXECUTOR takes other runs again, if it was kept for JOB and no suspect of
   that is there any more that has not settled.  */
void gp_job_executor_end_keep (gp_job_executor_t *executor,
                               const gp_job_t *job);

/* Is a run of TASK at work that nobody wants, by the last report of the
   executor's guard?  The task waits for its end: begun elsewhere it would be
   at work twice.  */
bool gp_job_executor_has_stray (const gp_job_task_t *task);

/* Thousandths of a core that filling runs find on EXECUTOR, beside those that
   it has; negative when it has too many.  */
int64_t gp_job_executor_left_over (const gp_job_executor_t *executor);

bool gp_job_executor_has_label (const gp_job_executor_t *executor,
                                const char *label);

#endif

/* Functions shared by the source files of the placer.  */

#ifndef GP_JOBS_PLACER_PRIVATE_H
#define GP_JOBS_PLACER_PRIVATE_H

#include "jobs/placer.h"
#include "jobs/suspicion.h"

/* Data about an executor that a pass needs more than once.  */
typedef struct
{
  gp_job_executor_t *executor;
  bool fillings_counted;
  gp_pressure_work_t fillings; /* expected busy work of its filling runs */
} gp_placer_candidate_t;

/* The suspects that wait for an isolated start and may start in a group, by
   their crashes.  */
typedef struct
{
  bool counted;
  guint jobs[GP_SUSPICION_GROUP_CRASHES + 1]; /* number of their jobs */
  /* One that found no place in a group, so that those that need as much need
     not be tried; NULL: none.  */
  const gp_job_task_t *unplaced[GP_SUSPICION_GROUP_CRASHES + 1];
} gp_placer_suspects_t;

typedef struct
{
  const gp_book_t *book;
  gp_pressure_t *pressure;
  gp_time_t now;
  gp_quarantine_t *quarantine;
  GArray *candidates; /* gp_placer_candidate_t, those that may take work */
  GPtrArray *placed;
  gp_placer_suspects_t suspects;
} gp_placer_pass_t;

/* Returns whether EXECUTOR has the service and the label that TASK, of STEP,
   requires.  */
bool gp_placer_matches (const gp_job_executor_t *executor,
                        const gp_job_task_t *task, const Gp__Jobs__Step *step);
/* Returns whether EXECUTOR has enough free capacity for TASK.  */
bool gp_placer_has_capacity (const gp_job_executor_t *executor,
                             const gp_job_task_t *task,
                             const Gp__Jobs__Step *step, gp_time_t now);
/* Returns whether EXECUTOR has fewer tasks of TASK's step than the step's
   max_per_executor.  */
bool gp_placer_within_spread_limit (const gp_job_executor_t *executor,
                                    const gp_job_task_t *task,
                                    const Gp__Jobs__Step *step);

/* Returns whether all of these hold and EXECUTOR is not dedicated to another
   job.  */
bool gp_placer_fits (const gp_job_executor_t *executor,
                     const gp_job_task_t *task, const Gp__Jobs__Step *step,
                     gp_time_t now);

/* Returns whether JOB has had work but no run for longer than TIME.  */
bool gp_placer_has_idled (const gp_job_t *job, gp_time_t time, gp_time_t now);

/* Adds one filling run of IMAGE to the work expected on CANDIDATE.  */
void gp_placer_add_filling (const gp_placer_pass_t *pass,
                            gp_placer_candidate_t *candidate,
                            const char *image);

/* Returns how far one more filling run of IMAGE would push the serving runs on
   CANDIDATE below their headroom goal.  */
double gp_placer_interference (const gp_placer_pass_t *pass,
                               gp_placer_candidate_t *candidate,
                               const char *image);

/* Returns the score of CANDIDATE for TASK, of STEP, in thousandths of the
   executor's processors; higher is better.  INT64_MIN: TASK must not be placed
   there.  */
int64_t gp_placer_score (const gp_placer_pass_t *pass,
                         gp_placer_candidate_t *candidate,
                         const gp_job_task_t *task,
                         const Gp__Jobs__Step *step);

/* Returns whether a candidate with POINTS is preferred to BEST, which has
   BEST_POINTS.  */
bool gp_placer_is_better (const gp_placer_candidate_t *candidate,
                          int64_t points, const gp_placer_candidate_t *best,
                          int64_t best_points);

/* Returns whether TASK has to be started in isolation.  This applies to a gang
   as a whole: recent starts of its other members would make the result
   inconclusive.  */
bool gp_placer_needs_isolation (const gp_placer_pass_t *pass,
                                const gp_job_task_t *task);

/* Returns whether TASK has to be started in quarantine.  While a quarantine is
   active, this includes suspects of other queues against which there is no
   strong evidence yet.  */
bool gp_placer_needs_quarantine (const gp_placer_pass_t *pass,
                                 const gp_job_task_t *task);

/* Returns the place for TASK in quarantine: an executor dedicated to its job,
   or else the quarantined executor with the least work to lose that is not
   dedicated to another job.  */
gp_placer_candidate_t *
gp_placer_choose_quarantined (const gp_placer_pass_t *pass,
                              const gp_job_task_t *task);

/* Returns the place for an isolated start of the suspect TASK: an executor
   dedicated to its job, or to a group if more suspects wait than can be
   isolated in time, or else the one with the least work to lose.  NULL: none
   yet; an executor may then have been dedicated to the task until everything
   on it has started.  */
gp_placer_candidate_t *gp_placer_choose_isolated (gp_placer_pass_t *pass,
                                                  gp_job_task_t *task);

/* Returns how many executors may be dedicated at the same time: one in SHARE,
   at least one.  */
guint gp_placer_dedicated_max (const gp_placer_pass_t *pass, guint share);

/* Returns whether the suspect TASK is to be started in a group: more jobs with
   such suspects wait than can be started in isolation in time.  */
bool gp_placer_starts_in_group (gp_placer_pass_t *pass,
                                const gp_job_task_t *task);

/* Returns the place for TASK in a group, or NULL if there is none yet; an
   executor may then have been dedicated to a group until everything on it has
   started.  */
gp_placer_candidate_t *gp_placer_choose_in_group (gp_placer_pass_t *pass,
                                                  gp_job_task_t *task);

#endif

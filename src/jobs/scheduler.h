/* Decisions of the leader: which run goes where, and what its end means.

   Pure: takes events and NOW, returns changed jobs and orders.  The caller
   packs the changed jobs into one append and sends the orders only after the
   append is acknowledged, so that everything an executor may run is in the log
   first.  A task's run is given up only with proof: its reported end, the
   guard's statement that it is not there and never will be, or the certain
   death of the executor.  */

#ifndef GP_JOBS_SCHEDULER_H
#define GP_JOBS_SCHEDULER_H

#include "jobs/book.h"
#include "jobs/forecast.h"
#include "jobs/pressure.h"
#include "jobs/quarantine.h"

typedef enum
{
  GP_ORDER_START,
  GP_ORDER_STOP,
  GP_ORDER_FORGET, /* the absence of a run has been recorded; the guard drops
                      the run */
  GP_ORDER_SEEN    /* ends up to a number have been recorded */
} gp_order_kind_t;

typedef struct
{
  gp_order_kind_t kind;
  gp_job_executor_t *executor;
  gp_job_task_t *task; /* unused for GP_ORDER_SEEN */
  uint32_t run;
  uint64_t seen; /* only for GP_ORDER_SEEN */
} gp_order_t;

typedef struct
{
  gp_book_t *book;
  gp_pressure_t *pressure;
  gp_forecast_t forecast;
  gp_quarantine_t quarantine;
  gp_list_t dirty;    /* gp_job_t.dirty_link */
  GArray *orders;     /* gp_order_t, in the order they were decided */
  gp_time_t next_due; /* latest time of the next gp_scheduler_plan */
  gp_time_t process_started_at; /* when this process started; 0: long ago */
  bool measure_speed;   /* slow executors get less work; off by default */
  GHashTable *speeds;   /* service to gp_executor_speeds_t, owned */
  gp_time_t speeds_due; /* next comparison of the executors' speeds */
} gp_scheduler_t;

void gp_scheduler_init (gp_scheduler_t *scheduler, gp_book_t *book,
                        gp_pressure_t *pressure);
void gp_scheduler_finish (gp_scheduler_t *scheduler);

/* Discards pending changes and orders at the start of a new term as
   leader.  */
void gp_scheduler_reset (gp_scheduler_t *scheduler);

/* JOB was submitted or cancelled.  */
void gp_scheduler_job_changed (gp_scheduler_t *scheduler, gp_job_t *job,
                               int64_t wall_ms);

/* Marks the progress of JOB to be written again, as its newest record cannot
   be read.  */
void gp_scheduler_rewrite (gp_scheduler_t *scheduler, gp_job_t *job);

/* EXECUTOR lists END.  Returns FALSE if the submission of the job is not known
   yet: END must not be confirmed and has to be reported again.  A confirmation
   covers all earlier numbers, so the ends after it wait as well.  */
bool gp_scheduler_run_ended (gp_scheduler_t *scheduler,
                             gp_job_executor_t *executor,
                             const Gp__Jobs__End *end, gp_time_t now,
                             int64_t wall_ms);

/* The guard reports that RUN never ran on EXECUTOR and never will.  */
void gp_scheduler_run_absent (gp_scheduler_t *scheduler,
                              gp_job_executor_t *executor,
                              const Gp__Jobs__TaskRun *run, gp_time_t now);

/* The incarnation NEXT has executed RUN of the task NAME, which was ordered
   from the incarnation BEFORE and carried out late.  If the run is still
   wanted there, it is moved to NEXT.  */
void gp_scheduler_move_run (gp_scheduler_t *scheduler,
                            gp_job_executor_t *before, gp_job_executor_t *next,
                            const char *name, uint32_t run);

/* EXECUTOR's guard reports the COUNT RUNS on the latest list of running tasks.
   Runs that are not wanted there are strays: an order to an earlier
   incarnation was carried out late.  They hold resources until they are no
   longer reported.  Nothing is assigned to EXECUTOR while it has a run whose
   job is not known, as it is not known either what that run uses.  */
void gp_scheduler_note_strays (gp_scheduler_t *scheduler,
                               gp_job_executor_t *executor,
                               Gp__Jobs__TaskRun *const *runs, size_t count);

/* EXECUTOR's guard reports that the COUNT RUNS there have settled; see
   jobs/suspicion.h.  */
void gp_scheduler_note_settled (gp_scheduler_t *scheduler,
                                gp_job_executor_t *executor,
                                Gp__Jobs__TaskRun *const *runs, size_t count);

/* EXECUTOR's guard reports at NOW that the COUNT RUNS there are not known to
   have begun.  */
void gp_scheduler_note_unconfirmed (gp_scheduler_t *scheduler,
                                    const gp_job_executor_t *executor,
                                    Gp__Jobs__TaskRun *const *runs,
                                    size_t count, gp_time_t now);

/* EXECUTOR's guard reports that it has refused the starts of the COUNT RUNS,
   which have not begun.  A job of which nothing else shows that it has ever
   run is queued again, until a run of it is known to have begun.  */
void gp_scheduler_note_refused (gp_scheduler_t *scheduler,
                                const gp_job_executor_t *executor,
                                Gp__Jobs__TaskRun *const *runs, size_t count);

/* EXECUTOR's guard, which does not know yet what is to run there, reports at
   NOW that the COUNT RUNS are running.  It may start the others once it
   knows.  */
void gp_scheduler_note_unsynced (const gp_job_executor_t *executor,
                                 Gp__Jobs__TaskRun *const *runs, size_t count,
                                 gp_time_t now);

/* EXECUTOR's guard reports that of all runs there the COUNT RUNS, and no
   others, may have crashed it.  */
void gp_scheduler_note_suspects (gp_scheduler_t *scheduler,
                                 gp_job_executor_t *executor,
                                 Gp__Jobs__TaskRun *const *runs, size_t count);

/* The connection to EXECUTOR's guard is lost, and EXECUTOR not reachable. Jobs
   of which no report shows that a run has begun wait again.  */
void gp_scheduler_guard_lost (gp_scheduler_t *scheduler,
                              gp_job_executor_t *executor);

/* EXECUTOR's guard, which is synced, reports at NOW, and has named the starts
   that are not answered: the other runs there have begun.  */
void gp_scheduler_note_confirmed (gp_scheduler_t *scheduler,
                                  gp_job_executor_t *executor, gp_time_t now);

/* EXECUTOR does not answer, and the runs that may have crashed it have been
   reported: counts this against their queue, see jobs/quarantine.h, unless
   others ended together with it.  */
void gp_scheduler_executor_down (gp_scheduler_t *scheduler,
                                 gp_job_executor_t *executor, gp_time_t now);

/* Discards what was reported about suspects on EXECUTOR.  */
void gp_scheduler_clear_suspects (gp_job_executor_t *executor);

/* EXECUTOR answers, for the first time or again.  Runs that were assigned to
   it while it did not answer may start now, which is recorded for the other
   entries.  */
void gp_scheduler_executor_up (gp_scheduler_t *scheduler,
                               gp_job_executor_t *executor, gp_time_t now);

/* EXECUTOR is down, and its guard has reported which runs may have crashed it,
   and which starts were not answered.  A job of which nothing else shows that
   it has ever run is queued again, which is recorded for the other entries. */
void gp_scheduler_withdraw_starts (gp_scheduler_t *scheduler,
                                   const gp_job_executor_t *executor);

/* What proves that an executor no longer runs anything.  */
typedef enum
{
  GP_DEATH_REPLACED,     /* another executor is on its VM */
  GP_DEATH_RESTARTED,    /* its next incarnation is up */
  GP_DEATH_DEREGISTERED, /* it deregistered, and nothing listens on its address
                    any more */
  GP_DEATH_LAPSED,       /* its guard reports that its lease has expired ... */
  GP_DEATH_LAPSED_UNANSWERED, /* ... and that it does not answer */
  GP_DEATH_UNREPORTED /* no guard reports it, and all leases have expired */
} gp_death_t;

/* EXECUTOR no longer runs anything, for the reason WHY.  Crashes are counted
   against tasks whose run may have crashed it; a task with enough evidence
   against it is given up.  */
void gp_scheduler_executor_dead (gp_scheduler_t *scheduler,
                                 gp_job_executor_t *executor, gp_death_t why,
                                 gp_time_t now, int64_t wall_ms);

/* NEXT has taken the place of BEFORE, which is dead, on its VM.  */
void gp_scheduler_executor_replaced (const gp_job_executor_t *before,
                                     gp_job_executor_t *next);

/* EXECUTOR is about to leave: stops runs that have to continue elsewhere.  */
void gp_scheduler_drain (gp_scheduler_t *scheduler,
                         gp_job_executor_t *executor, gp_time_t now);

/* EXECUTOR's filling runs are throttled: stops one that can resume from a
   checkpoint if a better place is free.  */
void gp_scheduler_relocate (gp_scheduler_t *scheduler,
                            gp_job_executor_t *executor, gp_time_t now);

/* Assigns waiting tasks.  */
void gp_scheduler_plan (gp_scheduler_t *scheduler, gp_time_t now,
                        int64_t wall_ms);

/* What was decided at DECIDED_AT or later is ordered only NOW, because its
   record could not be written earlier.  */
void gp_scheduler_orders_delayed (gp_scheduler_t *scheduler,
                                  gp_time_t decided_at, gp_time_t now);

/* Returns whether TASK, which is on an executor's list, should be running
   there.  */
bool gp_scheduler_expects_run (const gp_job_task_t *task);

#endif

/* Shared parts of the gang world: what is at work on its workers.  */

#ifndef GP_TESTS_GANG_WORLD_PRIVATE_H
#define GP_TESTS_GANG_WORLD_PRIVATE_H

#include "gang_world.h"

/* A run on a worker.  */
typedef struct
{
  char task[GP_TASK_NAME_SIZE];
  uint32_t run;
  uint32_t cpu;
  gp_time_t began_at;
  gp_time_t ends_at;
  gp_end_t how;
} work_t;

/* An end that a worker lists, or forgets: it is reported from REPORT_AT on, as
   absent if it was forgotten, until the leader confirms it.  */
typedef struct
{
  uint64_t number;
  char task[GP_TASK_NAME_SIZE];
  uint32_t run;
  gp_end_t how;
  gp_time_t report_at;
  bool forgotten;
} end_t;

/* A start that a worker has not carried out yet.  */
typedef struct
{
  char task[GP_TASK_NAME_SIZE];
  uint32_t run;
  gp_time_t due;
} pending_start_t;

typedef struct
{
  char id[16];
  unsigned incarnation;
  GArray *starts; /* pending_start_t */
  GArray *work;   /* work_t */
  GArray *ends;   /* end_t, in the order of their numbers */
  uint64_t end_count;
} worker_t;

/* One run of a gang.  */
typedef struct
{
  unsigned present;
  bool over; /* it is complete, or a member was lost or stopped */
} gang_run_t;

/* What is known of a job's gang.  */
typedef struct
{
  unsigned failed_runs; /* runs of which an end `failed` was reported */
  uint32_t last_failed;
  bool cancelled;
} job_account_t;

struct gang_world
{
  const gang_faults_t *faults;
  GRand *random;
  jobs_site_t sites[2];
  jobs_site_t *site; /* of the current leader */
  worker_t workers[GANG_WORKERS];
  GHashTable *runs; /* "ID.K.STEP RUN" to gang_run_t */
  GHashTable *jobs; /* id to job_account_t */
  gp_time_t leader_due;
  gp_time_t loss_due;
  gang_result_t result;
};

/* Returns a random number from 0 to 1, and a random time up to MOST.  */
double gang_world_chance (gang_world_t *world);
gp_time_t gang_world_random_time (gang_world_t *world, gp_time_t most);

/* A member of TASK's gang has ended before RUN was complete, or was lost.  */
void gang_world_break_run (gang_world_t *world, const char *task,
                           uint32_t run);

/* WORKER receives the order to start the current run of TASK.  */
void gang_worker_receive_start (gang_world_t *world, worker_t *worker,
                                const gp_job_task_t *task);
/* Carries out the starts of WORKER whose time has come.  */
void gang_worker_begin_due (gang_world_t *world, worker_t *worker);
/* WORKER receives the order to stop RUN of TASK.  A run that has not begun yet
   will not, and is absent.  */
void gang_worker_stop (gang_world_t *world, worker_t *worker, const char *task,
                       uint32_t run);
/* The runs of WORKER whose time has come end.  */
void gang_worker_end_due (gang_world_t *world, worker_t *worker);

#endif

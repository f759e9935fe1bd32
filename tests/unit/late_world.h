/* A site in virtual time: a leader whose records are delayed, guards that are
   killed, and executors that carry out starts late.  One task crashes every
   executor that starts it.  The decisions are made by the code under test; the
   code that connects it to sockets is replaced by a short simulation.  */

#ifndef GP_TESTS_LATE_WORLD_H
#define GP_TESTS_LATE_WORLD_H

#include "fake_executor.h"
#include "jobs_site.h"

#define LATE_WORKERS 6

/* Kinds of faults.  */
typedef enum
{
  LATE_RECORDS = 1,  /* the store is unavailable for seconds */
  LATE_STARTS = 2,   /* starts are not answered, and carried out later */
  LATE_GUARDS = 4,   /* guards are killed */
  LATE_LEADERS = 8,  /* another entry becomes leader */
  LATE_CRASHES = 16, /* executors crash by themselves, when nothing on them has
                        just begun */
  LATE_GUARDS_AT_STARTS = 32, /* guards are killed just after starts */
  LATE_NO_CULPRIT = 64,       /* no task crashes its executors */
  LATE_CULPRIT = 128, /* the first starts of each run of the crashing task are
                         not answered, and the run begins with the next one */
  LATE_BUSY = 256,    /* starts of others follow each other closely */
  LATE_CULPRIT_LONG = 512,      /* like LATE_CULPRIT, for over a second */
  LATE_GUARDS_AT_CRASHES = 1024 /* guards are killed with their executors */
} late_fault_t;

typedef struct
{
  GRand *random;
  unsigned number;
  unsigned incarnation;
  char id[16];
  gp_agent_t agent;
  gp_time_t guard_up_at; /* the guard is down until then */
  fake_executor_t fake;
  gp_time_t up_at;    /* the executor is down until then */
  gp_time_t crash_at; /* GP_TIME_NEVER: no crash is due */
  gp_time_t last_start_at;
  gp_time_t guard_kill_at; /* GP_TIME_NEVER: no kill is due */
  gp_time_t starts_late_until;
  bool connected; /* the guard knows this incarnation of the executor */
  bool listing;
  GArray *calls; /* calls in progress, see late_world.c */
  gp_time_t report_at;
  gp_time_t crashed_with; /* delay from the crash to the kill of its guard */
  /* The leader's view of the guard.  */
  char executor_id[16]; /* the executor that the leader knows here, "": none
                           ... */
  char pending_id[16];  /* ... the same in the append in progress ... */
  char recorded_id[16]; /* ... and in the log */
  gp_job_executor_t *executor;
  uint64_t sync;
  gp_time_t synced_at;
  bool wants_sync;
} late_worker_t;

typedef struct
{
  GRand *random;
  unsigned faults; /* late_fault_t */
  jobs_site_t site;
  GHashTable *log;          /* job to its newest record, GBytes */
  GHashTable *submitted;    /* job to its submission, GBytes */
  GHashTable *pending;      /* job to its record in the append in progress */
  GArray *orders;           /* gp_order_t that wait for this append */
  bool syncs[LATE_WORKERS]; /* syncs that wait for this append */
  gp_time_t decided_at;
  gp_time_t append_at; /* when the append completes, GP_TIME_NEVER: none is in
                          progress */
  uint64_t sync_count;
  unsigned starts_put_off; /* so many starts of each run of the crashing task
                              are put off now */
  late_worker_t workers[LATE_WORKERS];
  unsigned jobs;
  unsigned starts;        /* of the task that crashes executors */
  unsigned double_starts; /* starts of tasks that were already running */
} late_world_t;

#define LATE_CRASHING_JOB "00000000000000cc"

void late_world_init (late_world_t *world, guint32 seed, unsigned faults);
void late_world_finish (late_world_t *world);

/* Advances the site by DURATION; FAULTY: faults occur.  */
void late_world_run (late_world_t *world, gp_time_t duration, bool faulty);

/* Returns whether the job of the crashing task has been given up.  */
bool late_world_gave_up (const late_world_t *world);

/* Returns the number of jobs that have failed, except that of the crashing
   task.  */
unsigned late_world_failed (const late_world_t *world);

#endif

/* A site in virtual time: a leader whose records are put off, guards that are
   killed, and executors that carry starts out late; one task takes down every
   executor that starts it.  The decisions are the product's; what binds them
   to sockets is played here in short.  */

#ifndef GP_TESTS_LATE_WORLD_H
#define GP_TESTS_LATE_WORLD_H

#include "fake_executor.h"
#include "jobs_site.h"

#define LATE_WORKERS 6

/* What goes wrong.  */
typedef enum
{
  LATE_RECORDS = 1, /* the store is away for seconds */
  LATE_STARTS = 2,  /* starts are not answered, and carried out later */
  LATE_GUARDS = 4,  /* guards are killed */
  LATE_LEADERS = 8  /* another entry leads */
} late_fault_t;

typedef struct
{
  GRand *random;
  unsigned number;
  unsigned life;
  char id[16];
  gp_agent_t agent;
  gp_time_t guard_up_at; /* it is killed until then */
  fake_executor_t fake;
  gp_time_t up_at;    /* the executor is down until then */
  gp_time_t crash_at; /* GP_TIME_NEVER: nothing takes it down */
  gp_time_t late_until;
  bool met; /* the guard has met this life */
  bool listing;
  GArray *flights; /* see late_world.c */
  gp_time_t report_at;
  gp_time_t crashed_with; /* its guard is killed so long after it */
  /* The leader's link.  */
  char place[16];     /* the executor by the leader, "": none ... */
  char pending[16];   /* ... the same with the append on its way ... */
  char on_record[16]; /* ... and on the log */
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
  GHashTable *pending;      /* the same as LOG of the append on its way */
  GArray *orders;           /* gp_order_t of that append */
  bool syncs[LATE_WORKERS]; /* those of that append */
  gp_time_t decided_at;
  gp_time_t append_at; /* the append is done then, GP_TIME_NEVER: there is
                          none */
  uint64_t sync_count;
  late_worker_t workers[LATE_WORKERS];
  unsigned jobs;
  unsigned starts; /* of the task that takes executors down */
  unsigned twice;  /* tasks that were at work twice */
} late_world_t;

#define LATE_CULPRIT "00000000000000cc"

void late_world_init (late_world_t *world, guint32 seed, unsigned faults);
void late_world_finish (late_world_t *world);

/* Go on for DURATION, with faults or without.  */
void late_world_run (late_world_t *world, gp_time_t duration, bool faulty);

/* Is the job of the culprit given up, by what is on record?  */
bool late_world_gave_up (const late_world_t *world);

/* How many other jobs have failed?  */
unsigned late_world_failed (const late_world_t *world);

#endif

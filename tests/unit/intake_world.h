/* Simulates a site in virtual time for tests of admission by a forecast of
   room: a leader that places jobs and writes records, entries that read them,
   callers that come back, and a plain model of executors that shows when jobs
   are done.  */

#ifndef GP_TESTS_INTAKE_WORLD_H
#define GP_TESTS_INTAKE_WORLD_H

#include "jobs/intake.h"

/* For how long a caller waits in all.  */
#define INTAKE_CALLER_TIMEOUT (3 * GP_SEC)

typedef enum
{
  INTAKE_QUICK, /* priority 0, reserves its processors */
  INTAKE_BATCH, /* priority 2, large and filling */
  INTAKE_HUGE,  /* priority 2, a chain that takes longer than it is of use */
  INTAKE_KINDS
} intake_kind_t;

/* What the callers of one kind got.  */
typedef struct
{
  unsigned callers;
  unsigned in_use;   /* accepted, and done while of use */
  unsigned too_late; /* accepted, and done later or never */
  unsigned cancelled;
  unsigned refused;
  gp_time_t longest_wait;    /* until the end of a job done while of use */
  gp_time_t longest_refusal; /* until the last refusal */
} intake_outcome_t;

/* The load: callers of KIND arrive at RATE per second.  */
typedef struct
{
  intake_kind_t kind;
  double from_s; /* from the begin of the run */
  double to_s;
  double rate;
  unsigned leave_percent; /* share of callers that cancel after a second */
} intake_load_t;

/* Faults, each from the first time until the second, as points in time.  */
typedef struct
{
  gp_time_t no_leader[2];
  gp_time_t no_store[2];
  gp_time_t evacuated[2]; /* the zone of a third of the executors */
  gp_time_t garbled[2];   /* records are not readable */
} intake_faults_t;

/* The usual load: 20 % of 72 cores for quick jobs, 45 % for batch.  */
#define INTAKE_QUICK_RATE 36.0
#define INTAKE_BATCH_RATE 0.675

/* Runs of the same loads with the seeds from 1 to SEEDS, and the sums of what
   callers got in them.  */
typedef struct
{
  const intake_load_t *loads;
  size_t count; /* number of loads */
  unsigned seeds;
  void (*fail) (intake_faults_t *faults, gp_time_t begin); /* or NULL */
  intake_outcome_t outcomes[INTAKE_KINDS];
  unsigned unreadable; /* records that entries could not read */
} intake_series_t;

#define INTAKE_SERIES(loads_, seeds_)                                         \
  {                                                                           \
    .loads = (loads_), .count = G_N_ELEMENTS (loads_), .seeds = (seeds_)      \
  }

/* Run the loads of SERIES with each of its seeds, with or without ADMISSION,
   and print and sum up what callers get.  WHAT is printed before.  */
void intake_world_play (const char *what, bool admission,
                        intake_series_t *series);

/* Checks that of the accepted jobs that were not cancelled one in fifty at
   most was not done while of use, and that no caller was refused too late.  */
void intake_world_check_kept (const intake_series_t *series);

#endif

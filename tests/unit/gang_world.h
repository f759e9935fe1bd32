/* A site in virtual time on which gangs run: workers whose runs hold their
   room until they end, guards that report the ends later and repeat them until
   they are confirmed, and leaders that are replaced.

   The world keeps its own account of what is at work on each worker and of how
   the runs of each gang have ended, and compares the leader's decisions with
   it.  */

#ifndef GP_TESTS_GANG_WORLD_H
#define GP_TESTS_GANG_WORLD_H

#include "jobs_site.h"

#define GANG_WORKERS 6
#define GANG_WORKER_CORES 16
#define GANG_MAX_ATTEMPTS 3

/* Shares of one, and times.  */
typedef struct
{
  double failing_runs;    /* complete runs of a gang that end `failed` ... */
  double failing_members; /* ... by this share of the members, one at least */
  double cancelled_jobs;
  gp_time_t spread;       /* the members of a run end this far apart at most */
  gp_time_t report_delay; /* and are reported up to this much later */
  gp_time_t leader_interval; /* mean time between changes of the leader, 0:
                                none */
  gp_time_t loss_interval;   /* the same, between losses of a worker */
  double forgotten_ends;     /* ends that a worker forgets unreported */
  double refused_starts;
  double failing_starts;  /* members that fail as soon as they begin, before
                             their run is complete */
  gp_time_t start_delay;  /* starts are carried out up to this much later */
  bool late_members_wait; /* a member that begins after another one has ended
                             waits for the others in place of ending at once:
                             the executors do not say which they do */
} gang_faults_t;

typedef struct gang_world gang_world_t;

/* Numbers of one play.  */
typedef struct
{
  unsigned jobs;
  unsigned completed;
  unsigned failed;
  unsigned cancelled;
  unsigned leaders;
  unsigned lost_workers;
  unsigned forgotten;
  unsigned overcommits;    /* starts beyond a worker's capacity */
  unsigned wrong_failures; /* jobs that failed before the last attempt of their
                              gang did, or not by then */
  unsigned late_completions; /* jobs not completed with the first end `done` of
                                their last gang */
  unsigned alone;   /* members that ended as they waited too long for others */
  unsigned unended; /* jobs that did not end */
  unsigned reserved; /* executors with room reserved at the end */
} gang_result_t;

/* Plays JOBS jobs with FAULTS and the random numbers of SEED.  */
gang_result_t gang_world_play (const gang_faults_t *faults, unsigned jobs,
                               uint32_t seed);

#endif

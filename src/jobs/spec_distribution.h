/* Distribution of job specifications from a leader to the guards.

   Each guard gets the specification of a job once, with the first run of the
   job: the first guard from the leader, the next GP_SPEC_DISTRIBUTION_FANOUT
   from that guard (see jobs/spec_store.h), and so on.  A job of 160 tasks on
   as many workers costs its leader five copies; the link of an entry may have
   no more than 2 Mbit/s.  A guard that could not get the specification from
   another guard reports that and gets it from the leader.

   The state of a guard is dropped when its connection ends.  Pure.  */

#ifndef GP_JOBS_SPEC_DISTRIBUTION_H
#define GP_JOBS_SPEC_DISTRIBUTION_H

#include <glib.h>
#include <stdbool.h>

#include "base/time.h"

/* Number of guards referred to one holder.  Each of them opens a connection to
   the holder, which costs it about 0.1 ms of CPU.  */
#define GP_SPEC_DISTRIBUTION_FANOUT 32

typedef enum
{
  GP_SPEC_KNOWN,       /* the guard has it or gets it with an earlier
                          message */
  GP_SPEC_FROM_LEADER, /* the leader has to send it */
  GP_SPEC_FROM_HOLDER /* the guard has to be sent the address of the guard that
                         has it */
} gp_spec_source_t;

typedef struct
{
  GHashTable *jobs; /* id of a job to its state, owned */
} gp_spec_distribution_t;

void gp_spec_distribution_init (gp_spec_distribution_t *distribution);
void gp_spec_distribution_finish (gp_spec_distribution_t *distribution);

/* Drops all state.  */
void gp_spec_distribution_reset (gp_spec_distribution_t *distribution);

/* Returns how the specification of JOB gets to GUARD, a VM's name, for a run
   there.  For GP_SPEC_FROM_HOLDER, HOLDER is set to the guard that has it,
   valid until the next call.  The guard counts as having it from now on.  */
gp_spec_source_t
gp_spec_distribution_source (gp_spec_distribution_t *distribution,
                             const char *job, const char *guard, gp_time_t now,
                             const char **holder);

/* GUARD reports that it has no specification of JOB.  Returns whether the
   leader has to send it, which is not the case while an earlier copy may still
   be in transit.  */
bool gp_spec_distribution_is_missing (gp_spec_distribution_t *distribution,
                                      const char *job, const char *guard,
                                      gp_time_t now);

/* The connection to GUARD has ended.  */
void gp_spec_distribution_remove_guard (gp_spec_distribution_t *distribution,
                                        const char *guard);

/* No more runs of JOB will be started.  */
void gp_spec_distribution_remove_job (gp_spec_distribution_t *distribution,
                                      const char *job);

#endif

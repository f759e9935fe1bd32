/* How a leader brings specifications of jobs to the guards.

   Each guard gets the specification of a job once, with its first run: the
   first guard from the leader, the next GP_SPEC_SPREAD_SHARE from that guard
   (see jobs/spec_store.h), and so on.  So a job of 160 tasks on as many
   workers costs its leader five copies; an entry may have 2 Mbit/s.  A guard
   that could not get it from the other one says so and gets it from the
   leader.

   What a guard has been told is forgotten with its connection.  Pure.  */

#ifndef GP_JOBS_SPEC_SPREAD_H
#define GP_JOBS_SPEC_SPREAD_H

#include <glib.h>
#include <stdbool.h>

#include "base/time.h"

/* Guards that are sent to one holder: each asks it over a connection of its
   own, for some 0.1 ms of its processor.  */
#define GP_SPEC_SPREAD_SHARE 32

typedef enum
{
  GP_SPEC_KNOWN,       /* the guard has it, or gets it with what was sent */
  GP_SPEC_FROM_LEADER, /* it has to be sent */
  GP_SPEC_FROM_HOLDER  /* the guard is to be told who has it */
} gp_spec_way_t;

typedef struct
{
  GHashTable *jobs; /* id to its row, owned */
} gp_spec_spread_t;

void gp_spec_spread_init (gp_spec_spread_t *spread);
void gp_spec_spread_finish (gp_spec_spread_t *spread);

/* Forget all.  */
void gp_spec_spread_reset (gp_spec_spread_t *spread);

/* A run of JOB goes to GUARD, a VM's name: how does the specification get
   there?  HOLDER is set to the guard that has it, valid until the next call,
   for GP_SPEC_FROM_HOLDER.  The guard counts as knowing it from now on.  */
gp_spec_way_t gp_spec_spread_way (gp_spec_spread_t *spread, const char *job,
                                  const char *guard, gp_time_t now,
                                  const char **holder);

/* GUARD lacks the specification of JOB.  Returns whether it is to be sent: not
   while one from the leader may still be on its way.  */
bool gp_spec_spread_lacks (gp_spec_spread_t *spread, const char *job,
                           const char *guard, gp_time_t now);

/* The connection to GUARD has ended.  */
void gp_spec_spread_forget_guard (gp_spec_spread_t *spread, const char *guard);

/* No run of JOB is started any more.  */
void gp_spec_spread_forget_job (gp_spec_spread_t *spread, const char *job);

#endif

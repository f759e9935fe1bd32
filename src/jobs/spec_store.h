/* The specifications of jobs that a guard holds.

   A start names its job, and the job's specification goes to a guard once,
   whatever number of runs it gets: in each start it would be most of what a
   leader sends.  It comes from the leader or from another guard that has it
   already; guards have wide links, entries do not.

   A specification is known by its job and a digest of its bytes, so that one
   that another writer has put in place of the first is not mistaken for it.
   What was used longest ago is dropped when all of them hold more than a
   bound: whoever needs it again asks the leader.

   Pure: events and NOW in, specifications and wants out.  */

#ifndef GP_JOBS_SPEC_STORE_H
#define GP_JOBS_SPEC_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "jobs.pb-c.h"

/* Bytes of specifications that are kept: a thousand of the longest, in a
   process that may use some hundred megabytes.  */
#define GP_SPEC_STORE_MAX ((size_t)4 * 1024 * 1024)

/* One that is held or awaited.  */
typedef struct
{
  char *job; /* owned */
  uint64_t digest;
  GBytes *bytes;       /* owned; NULL: awaited */
  char *holder;        /* owned: "IP:port" of the guard that has it, NULL: the
                          leader is to be asked */
  gp_time_t await_end; /* awaited: the holder is given up then */
  gp_time_t used_at;
} gp_spec_t;

typedef struct
{
  GHashTable *specs; /* job to gp_spec_t, owned */
  size_t size;       /* bytes held */
} gp_spec_store_t;

uint64_t gp_spec_digest (const uint8_t *bytes, size_t size);

void gp_spec_store_init (gp_spec_store_t *store);
void gp_spec_store_finish (gp_spec_store_t *store);

/* The leader has told of a specification: with its bytes, which are copied, or
   with the guard that holds it.  Returns whether the holder is to be asked. */
bool gp_spec_store_tell (gp_spec_store_t *store, const Gp__Jobs__Spec *spec,
                         gp_time_t now);

/* The holder has answered.  Bytes other than those announced are refused.
   False: the leader is to be asked.  */
bool gp_spec_store_take (gp_spec_store_t *store, const Gp__Jobs__Spec *spec,
                         gp_time_t now);

/* The guard at HOLDER cannot be reached: what is awaited of it is to be asked
   of the leader.  Returns whether there was any.  */
bool gp_spec_store_lost (gp_spec_store_t *store, const char *holder);

/* Give up the holders that have not answered in time.  Returns whether there
   were any.  */
bool gp_spec_store_expire (gp_spec_store_t *store, gp_time_t now);

/* When the next holder is to be given up, or GP_TIME_NEVER.  */
gp_time_t gp_spec_store_next_expiry (const gp_spec_store_t *store);

/* The specification of the job of TASK, NULL when it is not held.  */
const GBytes *gp_spec_store_of_task (gp_spec_store_t *store, const char *task,
                                     gp_time_t now);

/* The specification of JOB with DIGEST, NULL when it is not held.  */
GBytes *gp_spec_store_find (const gp_spec_store_t *store, const char *job,
                            uint64_t digest);

/* Is the leader to be asked for the specification of the job of TASK?  */
bool gp_spec_store_lacks (const gp_spec_store_t *store, const char *task);

#endif

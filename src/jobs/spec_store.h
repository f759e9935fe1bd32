/* The job specifications that a guard holds.

   A start only names its job, and the specification of the job is sent to a
   guard once, however many of its runs the guard gets: repeated in each start
   it would be most of what a leader sends.  It comes from the leader or from
   another guard that holds it; guards have fast links, entries do not.

   A specification is identified by its job and a digest of its bytes, so that
   one that another writer stored in its place is not mistaken for it.  When
   the total size exceeds GP_SPEC_STORE_MAX_SIZE, the least recently used
   specification is dropped; a guard that needs it again requests it from the
   leader.

   Pure: events and NOW in, specifications and requests out.  */

#ifndef GP_JOBS_SPEC_STORE_H
#define GP_JOBS_SPEC_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "jobs.pb-c.h"

/* Maximum total size in bytes: a thousand specifications of the largest size,
   in a process that may use a few hundred megabytes.  */
#define GP_SPEC_STORE_MAX_SIZE ((size_t)4 * 1024 * 1024)

/* A specification that is held or awaited.  */
typedef struct
{
  char *job; /* owned */
  uint64_t digest;
  GBytes *bytes; /* owned; NULL while awaited */
  char *holder; /* owned: "IP:port" of the guard that holds it, NULL: it has to
                   be requested from the leader */
  gp_time_t await_end; /* while awaited: when to give the holder up */
  gp_time_t used_at;
} gp_spec_t;

typedef struct
{
  GHashTable *specs; /* job to gp_spec_t, owned */
  size_t size;       /* total size of the specifications held */
} gp_spec_store_t;

uint64_t gp_spec_digest (const uint8_t *bytes, size_t size);

void gp_spec_store_init (gp_spec_store_t *store);
void gp_spec_store_finish (gp_spec_store_t *store);

/* The leader has sent a specification: either its bytes, which are copied, or
   the address of the guard that holds it.  Returns whether to request it from
   that holder.  */
bool gp_spec_store_add (gp_spec_store_t *store, const Gp__Jobs__Spec *spec,
                        gp_time_t now);

/* The holder has answered.  Bytes with another digest than announced are
   rejected.  Returns false if the specification has to be requested from the
   leader.  */
bool gp_spec_store_receive (gp_spec_store_t *store, const Gp__Jobs__Spec *spec,
                            gp_time_t now);

/* The guard at HOLDER cannot be reached: the specifications awaited from it
   have to be requested from the leader.  Returns whether there were any.  */
bool gp_spec_store_drop_holder (gp_spec_store_t *store, const char *holder);

/* Gives up the holders that have not answered in time.  Returns whether there
   were any.  */
bool gp_spec_store_expire (gp_spec_store_t *store, gp_time_t now);

/* Returns when the next holder is to be given up, or GP_TIME_NEVER.  */
gp_time_t gp_spec_store_next_expiry (const gp_spec_store_t *store);

/* Returns the specification of the job of TASK, or NULL if it is not held.  */
const GBytes *gp_spec_store_find_by_task (gp_spec_store_t *store,
                                          const char *task, gp_time_t now);

/* Returns the specification of JOB with DIGEST, or NULL if it is not held.  */
GBytes *gp_spec_store_find (const gp_spec_store_t *store, const char *job,
                            uint64_t digest);

/* Returns whether the specification of the job of TASK has to be requested
   from the leader.  */
bool gp_spec_store_is_missing (const gp_spec_store_t *store, const char *task);

#endif

/* The guard's side of the lease protocol.

   One lease covers all tasks of a worker.  Invariants:

   - The deadline is counted from the time at which the guard SENT the
     heartbeat, so that message delays and pauses of the entry only shorten
     the lease.
   - Every function first checks the lease, then its input: after a pause
     nothing is done under a lease that has lapsed.
   - A lease is one contiguous period for an incarnation.  Once it has
     lapsed or was fenced, the guard stops all tasks, waits for the runtime
     to confirm, and continues as a new incarnation; a late renewal or
     Start for the old one is ignored.  Entries rely on this: when the wait
     of a fence is over, the fenced lease can no longer be renewed.
   - A vouched renewal only extends a lease that is held; the first lease
     of an incarnation must come from an entry that has read the log.
   - The runtime accepts calls only from the highest incarnation that
     claimed it.  STOP_ALL claims it for the next incarnation, so that a
     Start of the present one that has not yet reached the runtime cannot
     take effect after the stop.
   - A guard process that starts while the runtime still runs tasks
     inherits the runtime's deadline from its predecessor.

   The module only makes decisions.  The caller carries out the actions, in
   order.  */

#ifndef GP_COORDINATION_LEASE_HOLDER_H
#define GP_COORDINATION_LEASE_HOLDER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "coordination/epoch_table.h"
#include "coordination/lease_timing.h"

typedef enum
{
  GP_LEASE_NONE,     /* new incarnation without a lease yet */
  GP_LEASE_HELD,     /* tasks may start and run */
  GP_LEASE_EXPIRING, /* held, but renewals are overdue */
  GP_LEASE_LAPSED,   /* stopping all tasks, then a new incarnation */
  GP_LEASE_FENCED    /* same as lapsed, on notice from an entry */
} gp_lease_state_t;

typedef enum
{
  GP_LEASE_HOLDER_RENEW,        /* send heartbeats with this sequence number */
  GP_LEASE_HOLDER_SET_DEADLINE, /* pass the deadline to the runtime */
  GP_LEASE_HOLDER_STOP_ALL,     /* claim the runtime, kill all tasks, then call
                                   gp_lease_holder_stopped */
  GP_LEASE_HOLDER_ANNOUNCE /* announce the incarnation, with the inventory */
} gp_lease_holder_action_kind_t;

typedef struct
{
  gp_lease_holder_action_kind_t kind;
  union
  {
    struct
    {
      uint64_t sequence;
      bool held;        /* a vouched renewal would be accepted */
      bool wants_vouch; /* and needed: log-fresh renewals are missing */
    } renew;
    gp_time_t deadline;
    uint64_t claim; /* STOP_ALL: the next incarnation */
    struct
    {
      uint64_t incarnation;
      uint64_t inherits; /* incarnation whose lease is continued, or 0 */
    } announce;
  } u;
} gp_lease_holder_action_t;

#define GP_LEASE_HOLDER_MAX_ACTIONS 4

/* Actions produced by one call; the caller sets count to 0 before.  */
typedef struct
{
  unsigned count;
  gp_lease_holder_action_t items[GP_LEASE_HOLDER_MAX_ACTIONS];
} gp_lease_holder_actions_t;

/* An entry's reply to a heartbeat.  */
typedef struct
{
  uint64_t incarnation;   /* incarnation that sent the heartbeat */
  uint64_t sequence;      /* sequence number of the heartbeat */
  gp_time_t remaining;    /* 0 if not renewed */
  bool vouched;           /* renewed by vouches, without the log */
  bool fenced;            /* this incarnation is fenced */
  uint64_t superseded_by; /* a later incarnation in the log, or 0 */
} gp_lease_reply_t;

typedef enum
{
  GP_START_ACCEPTED,  /* start it now */
  GP_START_DUPLICATE, /* already running; acknowledge again */
  GP_START_REFUSED,   /* did not run and never will with this epoch */
  GP_START_STALE      /* for another incarnation; the log shows how it ended */
} gp_start_verdict_t;

/* Number of heartbeats whose send time is kept.  */
#define GP_LEASE_HOLDER_SENT_TIMES 64

typedef struct
{
  gp_lease_timing_t timing;
  GRand *random; /* owned by the caller */
  gp_epoch_table_t *epochs;
  gp_lease_state_t state;
  uint64_t incarnation;
  uint64_t inherits;
  uint64_t next_incarnation; /* lowest number not known to be used */
  gp_time_t deadline;        /* end of the lease while it is held */
  gp_time_t fresh_at; /* when a sufficient log-fresh renewal last arrived */
  gp_time_t renew_at;
  uint64_t sequence; /* sequence number of the last heartbeat */
  gp_time_t sent_at[GP_LEASE_HOLDER_SENT_TIMES];
} gp_lease_holder_t;

/* Starts as INCARNATION, which must be greater than that of any earlier
   start on this VM.  The runtime must already be claimed for it.  EPOCHS
   and RANDOM remain owned by the caller.  */
void gp_lease_holder_init (gp_lease_holder_t *holder,
                           const gp_lease_timing_t *timing,
                           gp_epoch_table_t *epochs, GRand *random,
                           uint64_t incarnation, gp_time_t now);

/* Called right after init if the runtime, in the same boot, still runs
   tasks of PREDECESSOR under the deadline DEADLINE.  Ignored if that has
   passed.  */
void gp_lease_holder_inherit (gp_lease_holder_t *holder, uint64_t predecessor,
                              gp_time_t deadline, gp_time_t now);

/* Checks the lease and sends due heartbeats; must be called first on any
   wake-up.  */
void gp_lease_holder_check (gp_lease_holder_t *holder, gp_time_t now,
                            gp_lease_holder_actions_t *actions);

void gp_lease_holder_reply (gp_lease_holder_t *holder,
                            const gp_lease_reply_t *reply, gp_time_t now,
                            gp_lease_holder_actions_t *actions);

/* The runtime was restarted: no task is running, and everything granted to
   this incarnation has ended.  Continues as after a lapse.  */
void gp_lease_holder_runtime_restarted (gp_lease_holder_t *holder,
                                        gp_lease_holder_actions_t *actions);

/* The runtime has confirmed, after STOP_ALL, that no task is left.  */
void gp_lease_holder_stopped (gp_lease_holder_t *holder, gp_time_t now,
                              gp_lease_holder_actions_t *actions);

/* Takes a new incarnation that adopts the running tasks and the lease,
   because the epoch table is full.  Does nothing unless the lease is held.  */
void gp_lease_holder_new_incarnation (gp_lease_holder_t *holder, gp_time_t now,
                                      gp_lease_holder_actions_t *actions);

/* Decides on a Start of (TASK, EPOCH) addressed to INCARNATION.  A refusal
   is final and recorded in the epoch table.  A stale Start gets no reply:
   the record that registers this incarnation shows whether an earlier one
   ran the task.  */
gp_start_verdict_t gp_lease_holder_start (gp_lease_holder_t *holder,
                                          uint64_t task, uint64_t epoch,
                                          uint64_t incarnation, gp_time_t now,
                                          gp_lease_holder_actions_t *actions);

/* Returns true if tasks may run.  */
static inline bool
gp_lease_holder_held (const gp_lease_holder_t *holder)
{
  return holder->state == GP_LEASE_HELD || holder->state == GP_LEASE_EXPIRING;
}

/* Returns the time at which gp_lease_holder_check must next be called.  */
gp_time_t gp_lease_holder_next_deadline (const gp_lease_holder_t *holder);

const char *gp_lease_state_name (gp_lease_state_t state);

#endif

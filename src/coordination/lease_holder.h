/* The guard's side of the lease protocol.

   One lease covers every task of a worker.  Invariants:

   - The deadline counts from the time the guard SENT the heartbeat, so that
     delays of messages and pauses of the entry only shorten it.
   - Every entry point checks the lease before it looks at its input: after a
     pause nothing is done under a lease that has lapsed.
   - A lease is one unbroken stretch of time for an incarnation.  Once it has
     lapsed or was fenced the guard stops every task, waits for the runtime to
     confirm, and goes on as a new incarnation; a late renewal or Start for
     the old one finds nobody.  Entries rely on this: a fence whose wait is
     over can never meet a renewed lease.
   - A vouched renewal only extends a lease that is held; the first lease of
     an incarnation comes from an entry that read the log.
   - The runtime takes calls of the greatest incarnation that claimed it only.
     A stop claims it for the next incarnation, so that a Start of this one
     that is still under way to the runtime cannot land after the stop.
   - A guard process that starts beside a runtime which still runs tasks
     inherits the runtime's deadline from its predecessor.

   The module decides only.  The caller carries out the actions, in order.  */

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
  GP_LEASE_NONE,     /* new incarnation, no lease yet */
  GP_LEASE_HELD,     /* tasks may run and start */
  GP_LEASE_EXPIRING, /* held, renewals are overdue */
  GP_LEASE_LAPSED,   /* stopping every task, then a new incarnation */
  GP_LEASE_FENCED    /* as lapsed, by an entry's word */
} gp_lease_state_t;

typedef enum
{
  GP_LEASE_HOLDER_RENEW,        /* send heartbeats with this sequence */
  GP_LEASE_HOLDER_SET_DEADLINE, /* tell the runtime */
  GP_LEASE_HOLDER_STOP_ALL,     /* claim, kill, then call .._stopped */
  GP_LEASE_HOLDER_ANNOUNCE      /* announce, with the inventory */
} gp_lease_holder_action_kind_t;

typedef struct
{
  gp_lease_holder_action_kind_t kind;
  union
  {
    struct
    {
      uint64_t sequence;
      bool held;        /* a vouched renewal is of use */
      bool wants_vouch; /* and needed: the log-fresh ones stay out */
    } renew;
    gp_time_t deadline;
    uint64_t claim; /* STOP_ALL: the next incarnation */
    struct
    {
      uint64_t incarnation;
      uint64_t inherits; /* whose lease goes on, or 0 */
    } announce;
  } u;
} gp_lease_holder_action_t;

#define GP_LEASE_HOLDER_MAX_ACTIONS 4

/* Actions of one call; the caller passes it with count 0.  */
typedef struct
{
  unsigned count;
  gp_lease_holder_action_t items[GP_LEASE_HOLDER_MAX_ACTIONS];
} gp_lease_holder_actions_t;

/* What an entry answered to a heartbeat.  */
typedef struct
{
  uint64_t incarnation;   /* to which the heartbeat belonged */
  uint64_t sequence;      /* of the heartbeat */
  gp_time_t remaining;    /* 0: not renewed */
  bool vouched;           /* renewed without the log */
  bool fenced;            /* this incarnation is fenced */
  uint64_t superseded_by; /* a later incarnation on the log, or 0 */
} gp_lease_reply_t;

typedef enum
{
  GP_START_ACCEPTED,  /* start it now */
  GP_START_DUPLICATE, /* it runs already: acknowledge again */
  GP_START_REFUSED,   /* it did not run and never will under this epoch */
  GP_START_STALE /* meant for another incarnation; the log tells its end */
} gp_start_verdict_t;

/* Heartbeats whose send time is remembered.  */
#define GP_LEASE_HOLDER_SENT 64

typedef struct
{
  gp_lease_timing_t timing;
  GRand *random; /* of the caller */
  gp_epoch_table_t *epochs;
  gp_lease_state_t state;
  uint64_t incarnation;
  uint64_t inherits;
  uint64_t next_incarnation; /* the least number not known to be used */
  gp_time_t deadline;        /* of the lease while it is held */
  gp_time_t fresh_at;        /* when a sound log-fresh renewal last came */
  gp_time_t renew_at;
  uint64_t sequence; /* of the last heartbeat */
  gp_time_t sent_at[GP_LEASE_HOLDER_SENT];
} gp_lease_holder_t;

/* Begin as INCARNATION, which must be greater than that of any earlier start
   on this VM.  The runtime must have been claimed for it before.  EPOCHS and
   RANDOM stay the caller's.  */
void gp_lease_holder_init (gp_lease_holder_t *holder,
                           const gp_lease_timing_t *timing,
                           gp_epoch_table_t *epochs, GRand *random,
                           uint64_t incarnation, gp_time_t now);

/* Right after init: the runtime, on the same boot, still runs tasks of
   PREDECESSOR under its deadline DEADLINE.  Ignored when that has passed.  */
void gp_lease_holder_inherit (gp_lease_holder_t *holder, uint64_t predecessor,
                              gp_time_t deadline, gp_time_t now);

/* Check the lease and do what is due; to be called first on any wake-up.  */
void gp_lease_holder_check (gp_lease_holder_t *holder, gp_time_t now,
                            gp_lease_holder_actions_t *actions);

void gp_lease_holder_reply (gp_lease_holder_t *holder,
                            const gp_lease_reply_t *reply, gp_time_t now,
                            gp_lease_holder_actions_t *actions);

/* The runtime was started anew: nothing runs, and what was granted to this
   incarnation has ended.  Goes on as after a lapse.  */
void gp_lease_holder_give_up (gp_lease_holder_t *holder,
                              gp_lease_holder_actions_t *actions);

/* The runtime confirmed, after STOP_ALL, that no task is left.  */
void gp_lease_holder_stopped (gp_lease_holder_t *holder, gp_time_t now,
                              gp_lease_holder_actions_t *actions);

/* Take a new incarnation that adopts the running tasks and the lease, since
   the epoch table is full.  Does nothing unless the lease is held.  */
void gp_lease_holder_recycle (gp_lease_holder_t *holder, gp_time_t now,
                              gp_lease_holder_actions_t *actions);

/* Decide on a Start of (TASK, EPOCH) addressed to INCARNATION.  A refusal is
   final and remembered.  A stale Start has no answer of its own: whether an
   earlier incarnation ran it is said by the record that registers this
   one.  */
gp_start_verdict_t gp_lease_holder_start (gp_lease_holder_t *holder,
                                          uint64_t task, uint64_t epoch,
                                          uint64_t incarnation, gp_time_t now,
                                          gp_lease_holder_actions_t *actions);

/* Whether tasks may run.  */
static inline bool
gp_lease_holder_held (const gp_lease_holder_t *holder)
{
  return holder->state == GP_LEASE_HELD || holder->state == GP_LEASE_EXPIRING;
}

/* When gp_lease_holder_check has something to do again.  */
gp_time_t gp_lease_holder_due (const gp_lease_holder_t *holder);

const char *gp_lease_state_name (gp_lease_state_t state);

#endif

/* The entry's side of the lease protocol: renewals, vouches and fences.

   An entry renews a guard's lease in one of two ways.

   - Log-fresh: until s + L, where s is the time at which the entry SENT
     its last log read that reached the tail.  The records up to that read
     show the guard's incarnation as current and not fenced.
   - Vouched, while the log cannot be read: until a + P, where a is the
     time at which it sent the oldest of its vouch requests to the other
     entries, all of which have vouched.  To vouch is to promise not to
     act, for P from now, on any fence other than those listed.  A vouched
     renewal only extends a lease that the guard reports as held, and never
     that of a guard listed in a vouch.  Vouches are requested only while
     some guard reports that it gets no sufficient log-fresh renewals, so
     that one entry that is cut off from the log does not bind the others
     by promises.

   An entry acts on a fence, by appending FENCE_DONE, only when every lease
   of that incarnation has lapsed: at b + wait (L), where b is the time at
   which it read the fence, but not before the promises given until b have
   ended, nor, after a restart, before those of its predecessor have ended.
   A holder never resumes a lapsed lease under the same incarnation, so the
   leases remain lapsed however late the record is appended to the log.

   After a gap in the log the entry's state is unknown until it has read a
   snapshot and the tail.  Until then it neither renews leases nor acts on
   fences, but it may vouch.

   The caller passes the records of a read in log order, then calls
   gp_lease_grantor_read_done.  It follows the writer's rule: an action
   that proposes a record is carried out by retrying the same record until
   it is read back.  */

#ifndef GP_COORDINATION_LEASE_GRANTOR_H
#define GP_COORDINATION_LEASE_GRANTOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"
#include "coordination/lease_timing.h"

#define GP_LEASE_GRANTOR_MAX_ENTRIES 32

typedef enum
{
  GP_LEASE_GRANTOR_REGISTER,     /* propose ADOPT from the guard's inventory */
  GP_LEASE_GRANTOR_FENCE,        /* propose FENCE */
  GP_LEASE_GRANTOR_FENCE_DONE,   /* propose FENCE_DONE */
  GP_LEASE_GRANTOR_REQUEST_VOUCH /* send a VouchAsk */
} gp_lease_grantor_action_kind_t;

typedef struct
{
  gp_lease_grantor_action_kind_t kind;
  union
  {
    struct
    {
      const char *name; /* valid until the next call */
      uint64_t incarnation;
    } guard; /* REGISTER, FENCE, FENCE_DONE */
    struct
    {
      unsigned entry; /* index in the settings */
      uint64_t id;
    } vouch_request; /* REQUEST_VOUCH */
  } u;
} gp_lease_grantor_action_t;

#define GP_LEASE_GRANTOR_MAX_ACTIONS 64

/* Actions produced by one call; the caller sets count to 0 before.  If the
   array is full, the remaining actions are produced by the next tick.  */
typedef struct
{
  unsigned count;
  gp_lease_grantor_action_t items[GP_LEASE_GRANTOR_MAX_ACTIONS];
} gp_lease_grantor_actions_t;

/* The lease part of a guard's heartbeat.  */
typedef struct
{
  uint64_t incarnation;
  uint64_t inherits; /* incarnation whose lease is continued, or 0 */
  bool held;         /* the guard held its lease when it sent this */
  bool wants_vouch;  /* held, without sufficient log-fresh renewals */
} gp_lease_request_t;

typedef struct
{
  gp_time_t remaining; /* lease time from now; 0 if not renewed */
  bool vouched;
  bool fenced;
  uint64_t superseded_by; /* a later incarnation in the log, or 0 */
} gp_lease_grant_t;

/* A fence listed in a vouch.  */
typedef struct
{
  char *guard;
  uint64_t incarnation;
} gp_lease_fence_t;

/* State of the vouches of one other entry.  */
typedef struct
{
  uint64_t vouch_request_id;    /* id of the pending request, or 0 */
  gp_time_t vouch_requested_at; /* send time of the pending request */
  gp_time_t vouched_since;      /* when the vouch was requested, or -1 */
  GHashTable *fences;           /* in the vouch: guard -> incarnation */
} gp_lease_voucher_t;

typedef struct
{
  gp_lease_timing_t timing;
  uint64_t entry_set;   /* digest of the configured entries */
  unsigned num_others;  /* number of entries other than this one */
  GHashTable *guards;   /* name -> gp_lease_guard_t, see lease_grantor.c */
  gp_list_t by_heard;   /* registered and not fenced guards, by the time they
                           were last heard */
  gp_list_t fenced;     /* guards fenced in the log, FENCE_DONE not read */
  gp_time_t fresh_at;   /* s above, or -1 */
  gp_time_t valid_from; /* reads sent before this are ignored */
  gp_time_t last_tick;  /* time of the last tick */
  gp_time_t listening_since;       /* since when heartbeats have been received
                                      without a pause */
  gp_time_t promised_until;        /* until then acts on listed fences only */
  gp_time_t next_vouch_request_at; /* when vouches may next be requested */
  gp_time_t vouch_wanted_at; /* when a guard last asked for a vouched renewal,
                                or -1 */
  uint64_t next_vouch_request_id;
  gp_lease_voucher_t others[GP_LEASE_GRANTOR_MAX_ENTRIES];
} gp_lease_grantor_t;

/* Initializes the grantor at process start.  NUM_OTHERS is the number of
   other entries in the settings; ENTRY_SET is a digest of all entry names.
   INCARNATION, in microseconds of wall time and not 0, is the first vouch
   request id, so that a reply to a predecessor's request is not accepted.  */
void gp_lease_grantor_init (gp_lease_grantor_t *grantor,
                            const gp_lease_timing_t *timing,
                            unsigned num_others, uint64_t entry_set,
                            uint64_t incarnation, gp_time_t now);
void gp_lease_grantor_finish (gp_lease_grantor_t *grantor);

/* Events for records read from the log.  */
void gp_lease_grantor_registered (gp_lease_grantor_t *grantor,
                                  const char *name, uint64_t incarnation,
                                  gp_time_t now);
void gp_lease_grantor_fence_read (gp_lease_grantor_t *grantor,
                                  const char *name, uint64_t incarnation,
                                  gp_time_t now);
void gp_lease_grantor_fence_done_read (gp_lease_grantor_t *grantor,
                                       const char *name, uint64_t incarnation);
/* The guard was removed permanently.  */
void gp_lease_grantor_removed (gp_lease_grantor_t *grantor, const char *name);

/* All records of a read sent at SENT, which reached the tail, have been
   passed.  Not called for reads that did not reach the tail.  */
void gp_lease_grantor_read_done (gp_lease_grantor_t *grantor, gp_time_t sent);

/* Records were lost to retention; a snapshot and the tail follow.  */
void gp_lease_grantor_log_gap (gp_lease_grantor_t *grantor, gp_time_t now);

/* Handles a heartbeat of the guard NAME; GRANT receives the reply.  */
void gp_lease_grantor_heartbeat (gp_lease_grantor_t *grantor, const char *name,
                                 const gp_lease_request_t *request,
                                 gp_time_t now, gp_lease_grant_t *grant,
                                 gp_lease_grantor_actions_t *actions);

/* Another entry received a heartbeat of the guard NAME at HEARD, on this
   process's clock.  */
void gp_lease_grantor_heard (gp_lease_grantor_t *grantor, const char *name,
                             gp_time_t heard);

/* Handles a vouch request from an entry with the digest ENTRY_SET.
   Returns false, without vouching, if that entry's settings name a
   different set of entries.  Otherwise the promise is made, and the fences
   to list in the vouch are appended to FENCES as gp_lease_fence_t with
   borrowed names.  */
bool gp_lease_grantor_vouch (gp_lease_grantor_t *grantor, uint64_t entry_set,
                             gp_time_t now, GArray *fences);

/* Handles the vouch of ENTRY for the request ID.  */
void gp_lease_grantor_vouched (gp_lease_grantor_t *grantor, unsigned entry,
                               uint64_t id, const gp_lease_fence_t *fences,
                               unsigned num_fences);

/* Does periodic work; called several times per second.  */
void gp_lease_grantor_tick (gp_lease_grantor_t *grantor, gp_time_t now,
                            gp_lease_grantor_actions_t *actions);

/* Return the time until which a heartbeat received now could be renewed,
   by the log or by vouches; -1 if it could not.  */
gp_time_t gp_lease_grantor_fresh_until (const gp_lease_grantor_t *grantor);
gp_time_t gp_lease_grantor_vouched_until (const gp_lease_grantor_t *grantor);

#endif

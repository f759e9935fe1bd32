/* The entry's side of the lease protocol: renewals, vouches and fences.

   An entry renews a guard's lease in one of two ways.

   - Log-fresh: until s + L, where s is when it SENT the last read of the log
     that reached the tail.  The records of that read show the guard's
     incarnation as current and not fenced.
   - Vouched, while the log cannot be read: until a + P, where a is when it
     sent the oldest of its asks to the other entries, all of which have
     vouched: "until P from now I act on no fence but these".  Such a renewal
     only extends a lease that the guard says it holds, and never that of a
     guard in one of those lists.  Vouches are asked for only while a guard
   says that it gets no sound renewals: one entry that is cut off from the log
   does not make the others promise anything.

   An entry acts on a fence, by appending FENCE_DONE, only when every lease of
   that incarnation has lapsed: at b + wait (L), where b is when it read the
   fence, not before the promises given until b have ended, and, after a
   restart, not before those of its predecessor have ended.  A holder never
   resumes a lapsed lease under the same incarnation, so what holds at that
   moment holds for ever, however late the record lands on the log.

   After a gap in the log the entry knows nothing until it has read a snapshot
   and the tail: it neither renews nor acts, but it may vouch.

   The caller feeds the records of a read in log order, then calls
   gp_lease_grantor_read_done.  It keeps the writer's rule: an action that
   proposes a record is carried out by retrying that same record until it is
   read back.  */

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
  GP_LEASE_GRANTOR_REGISTER,   /* propose ADOPT from the guard's inventory */
  GP_LEASE_GRANTOR_FENCE,      /* propose FENCE */
  GP_LEASE_GRANTOR_FENCE_DONE, /* propose FENCE_DONE */
  GP_LEASE_GRANTOR_ASK_VOUCH   /* send a VouchAsk */
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
      unsigned entry; /* its index in the settings */
      uint64_t id;
    } ask;
  } u;
} gp_lease_grantor_action_t;

#define GP_LEASE_GRANTOR_MAX_ACTIONS 64

/* Actions of one call; the caller passes it with count 0.  A call that finds
   it full leaves the rest for the next tick.  */
typedef struct
{
  unsigned count;
  gp_lease_grantor_action_t items[GP_LEASE_GRANTOR_MAX_ACTIONS];
} gp_lease_grantor_actions_t;

/* What a guard's heartbeat says of its lease.  */
typedef struct
{
  uint64_t incarnation;
  uint64_t inherits; /* the incarnation whose lease goes on, or 0 */
  bool held;         /* it held its lease when it sent this */
  bool wants_vouch;  /* and gets no sound log-fresh renewals */
} gp_lease_request_t;

typedef struct
{
  gp_time_t remaining; /* from now; 0: not renewed */
  bool vouched;
  bool fenced;
  uint64_t superseded_by; /* a later incarnation on the log, or 0 */
} gp_lease_grant_t;

/* A fence in a vouch.  */
typedef struct
{
  char *guard;
  uint64_t incarnation;
} gp_lease_fence_t;

/* What the grantor keeps of one other entry.  */
typedef struct
{
  uint64_t ask_id;         /* of the ask under way, or 0 */
  gp_time_t ask_sent;      /* of the ask under way */
  gp_time_t vouched_since; /* when the ask of the vouch was sent, or -1 */
  GHashTable *fences;      /* guard -> incarnation, as in the vouch */
} gp_lease_voucher_t;

typedef struct
{
  gp_lease_timing_t timing;
  uint64_t entry_set;   /* digest of the configured entries */
  unsigned num_others;  /* entries but this one */
  GHashTable *guards;   /* name -> gp_lease_guard_t, see the source */
  gp_list_t by_heard;   /* registered, not fenced, the longest unheard first */
  gp_list_t fenced;     /* fenced on the log, FENCE_DONE not read */
  gp_time_t fresh;      /* s, or -1 */
  gp_time_t valid_from; /* reads sent before this count for nothing */
  gp_time_t ticked;     /* the last tick */
  gp_time_t listening;  /* since when heartbeats can have been heard */
  gp_time_t promised;   /* acts on no unlisted fence before this */
  gp_time_t ask_at;     /* when the vouches are next asked for */
  gp_time_t wanted;     /* when a guard last wanted a vouched renewal */
  uint64_t next_ask;
  gp_lease_voucher_t others[GP_LEASE_GRANTOR_MAX_ENTRIES];
} gp_lease_grantor_t;

/* Begin at the start of the process.  NUM_OTHERS is how many other entries
   the settings name; ENTRY_SET is a digest of all their names.  INCARNATION,
   in microseconds of wall time and not 0, numbers the asks, so that an answer
   to the predecessor is not taken for one's own.  */
void gp_lease_grantor_init (gp_lease_grantor_t *grantor,
                            const gp_lease_timing_t *timing,
                            unsigned num_others, uint64_t entry_set,
                            uint64_t incarnation, gp_time_t now);
void gp_lease_grantor_finish (gp_lease_grantor_t *grantor);

/* Records read from the log.  */
void gp_lease_grantor_registered (gp_lease_grantor_t *grantor,
                                  const char *name, uint64_t incarnation,
                                  gp_time_t now);
void gp_lease_grantor_fence_read (gp_lease_grantor_t *grantor,
                                  const char *name, uint64_t incarnation,
                                  gp_time_t now);
void gp_lease_grantor_fence_done_read (gp_lease_grantor_t *grantor,
                                       const char *name, uint64_t incarnation);
/* The guard has left for good.  */
void gp_lease_grantor_removed (gp_lease_grantor_t *grantor, const char *name);

/* A read sent at SENT has been fed; it reached the tail.  Reads that did not
   are not reported.  */
void gp_lease_grantor_read_done (gp_lease_grantor_t *grantor, gp_time_t sent);

/* Records were lost to retention; a snapshot and the tail will be fed.  */
void gp_lease_grantor_gap (gp_lease_grantor_t *grantor, gp_time_t now);

/* Decide on a heartbeat of the guard NAME.  */
void gp_lease_grantor_heartbeat (gp_lease_grantor_t *grantor, const char *name,
                                 const gp_lease_request_t *request,
                                 gp_time_t now, gp_lease_grant_t *grant,
                                 gp_lease_grantor_actions_t *actions);

/* Another entry heard the guard NAME at HEARD, by this process's clock.  */
void gp_lease_grantor_heard (gp_lease_grantor_t *grantor, const char *name,
                             gp_time_t heard);

/* Another entry with the digest ENTRY_SET asks for a vouch.  Returns false
   when its settings name other entries: no vouch is given.  Otherwise the
   promise is made; FENCES receives gp_lease_fence_t with borrowed names.  */
bool gp_lease_grantor_vouch (gp_lease_grantor_t *grantor, uint64_t entry_set,
                             gp_time_t now, GArray *fences);

/* The vouch that ENTRY gave to the ask ID.  */
void gp_lease_grantor_vouched (gp_lease_grantor_t *grantor, unsigned entry,
                               uint64_t id, const gp_lease_fence_t *fences,
                               unsigned num_fences);

/* Time passes; to be called a few times a second.  */
void gp_lease_grantor_tick (gp_lease_grantor_t *grantor, gp_time_t now,
                            gp_lease_grantor_actions_t *actions);

/* Until when a heartbeat could be renewed now, by the log or by vouches; -1
   when never.  */
gp_time_t gp_lease_grantor_fresh_until (const gp_lease_grantor_t *grantor);
gp_time_t gp_lease_grantor_vouched_until (const gp_lease_grantor_t *grantor);

#endif

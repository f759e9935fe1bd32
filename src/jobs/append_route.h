/* The route of an entry's appends to the topic of jobs: direct, or shared.

   Pure: events and NOW in, the next step of an append out.

   A partition of the store processes its appends one at a time, and each takes
   the same time, however many records it has.  When that time is long, the
   entries together send more appends than the partition can process, and those
   that their senders have given up are still processed in their turn.
   Therefore an entry whose appends are slow shares them: it sends them to the
   leader, whose collector makes one append of all batches that wait there
   (jobs/append_batch.h).

   A shared append that is not answered in time is sent directly as well, and
   the first success counts.  Both may take effect, which changes nothing: a
   second record of a job or cancellation has no effect.  An append ends as
   refused only if it was refused on each route that it took.  */

#ifndef GP_JOBS_APPEND_ROUTE_H
#define GP_JOBS_APPEND_ROUTE_H

#include <stdbool.h>

#include "base/list.h"
#include "base/time.h"

/* The path of one append; both may be taken.  */
typedef enum
{
  GP_APPEND_DIRECT, /* to the store, on this process's own route */
  GP_APPEND_SHARED  /* through the leader */
} gp_append_path_t;

/* The outcome of an append on one path.  The last two are of a shared append
   only.  */
typedef enum
{
  GP_APPEND_DONE,
  GP_APPEND_REFUSED,   /* by the store: not carried out, and will not be */
  GP_APPEND_UNKNOWN,   /* the store did not answer */
  GP_APPEND_NOT_TAKEN, /* the leader refused it or was not reached: not carried
                          out, and will not be */
  GP_APPEND_LOST       /* the leader did not answer */
} gp_append_outcome_t;

/* What the caller does next with an append.  */
typedef enum
{
  GP_APPEND_WAIT, /* for an outcome, or until the time to send it directly */
  GP_APPEND_SEND_DIRECT, /* with the append's current deadline */
  GP_APPEND_SEND_SHARED, /* likewise */
  GP_APPEND_END_DONE,
  GP_APPEND_END_REFUSED, /* certainly not carried out */
  GP_APPEND_END_UNKNOWN
} gp_append_step_t;

/* An append until its end, allocated by the caller.  */
typedef struct
{
  gp_list_t link;
  gp_time_t shared_at; /* when it was sent on each path, 0: it was not */
  gp_time_t direct_at;
  bool shared_open; /* no outcome on that path yet */
  bool direct_open;
  bool in_doubt;     /* one path ended with an unknown outcome */
  gp_time_t copy_at; /* when a shared append is sent directly as well */
  gp_time_t deadline;
} gp_append_t;

/* What an entry knows of both paths.  */
typedef struct
{
  gp_list_t appends;     /* gp_append_t in progress */
  bool slow;             /* appends are shared if there is a leader */
  gp_time_t fast_since;  /* appends have been fast since then, 0: the last one
                            was not */
  gp_time_t shared_time; /* moving average of the duration of shared appends, a
                            duration */
  gp_time_t answered_at; /* when the last shared append was done, 0: none was,
                            or its duration does not count any more */
  gp_time_t unanswered_since; /* since when the leader has not answered a
                                 shared append: when the first was sent, or its
                                 last answer; 0: none is waited for */
  gp_time_t barred_until;     /* no append is shared before this time */
  unsigned bars; /* consecutive times that sharing was barred without an answer
                    of the leader in between */
} gp_append_route_t;

void gp_append_route_init (gp_append_route_t *route);

/* Another entry leads: failures of the previous leader to answer do not count
   any more.  */
void gp_append_route_leader_changed (gp_append_route_t *route);

/* Returns the path that an append takes at NOW.  HAS_COLLECTOR: this entry
   leads and reaches the store directly, or it knows the address of the
   leader's relay.  */
gp_append_path_t gp_append_route_choose (gp_append_route_t *route,
                                         bool has_collector, gp_time_t now);

/* Begin APPEND, which is to be done by DEADLINE.  Returns
   GP_APPEND_SEND_DIRECT or GP_APPEND_SEND_SHARED.  */
gp_append_step_t gp_append_begin (gp_append_route_t *route,
                                  gp_append_t *append, bool has_collector,
                                  gp_time_t deadline, gp_time_t now);

/* APPEND had OUTCOME on PATH.  Returns the next step.  After one that ends
   APPEND, ROUTE does not refer to it any more, and further outcomes need not
   be passed.  */
gp_append_step_t gp_append_note (gp_append_route_t *route, gp_append_t *append,
                                 gp_append_path_t path,
                                 gp_append_outcome_t outcome, gp_time_t now);

/* Returns GP_APPEND_SEND_DIRECT if APPEND is now to be sent directly as well,
   GP_APPEND_WAIT otherwise.  */
gp_append_step_t gp_append_check (gp_append_route_t *route,
                                  gp_append_t *append, gp_time_t now);

/* Returns when gp_append_check has to be called, or GP_TIME_NEVER.  */
gp_time_t gp_append_next_check (const gp_append_t *append);

/* The records of APPEND, which has no outcome yet, are on the log.  If it was
   sent to the leader only, the leader has made the append.  */
void gp_append_found (gp_append_route_t *route, const gp_append_t *append,
                      gp_time_t now);

/* Stop APPEND without an outcome.  */
void gp_append_drop (gp_append_t *append);

#endif

/* The site's state as an entry follows it on the platform's log, and the
   records that the entry proposes.

   The store binds the log client (transport/log_client.h) to the follower,
   the writer and the snapshots of the state layer.  It tells subscribers
   each change of the folded state in log order.  A proposal is decided only
   when its record has been read back; one that was never written is told as
   such, so that a caller can be told truly that nothing happened.  */

#ifndef GP_DAEMON_STORE_H
#define GP_DAEMON_STORE_H

#include <glib.h>
#include <stdbool.h>

#include "base/settings.h"
#include "base/timeline.h"
#include "state/follower.h"
#include "state/writer.h"
#include "transport/loop.h"

typedef struct gp_store gp_store_t;
typedef struct gp_proposal gp_proposal_t;

typedef enum
{
  GP_PROPOSAL_DECIDED, /* read back: see the verdict */
  GP_PROPOSAL_EXPIRED, /* certainly not on the log, and never will be */
  GP_PROPOSAL_UNREAD   /* on the log; look at the state for its effect */
} gp_proposal_result_t;

/* How a proposal ended; the proposal is invalid after.  */
typedef void (*gp_proposal_done_t) (gp_proposal_result_t result,
                                    gp_fold_verdict_t verdict, void *data);

/* One who wants to know of changes; memory of the caller.  */
typedef struct
{
  gp_list_t link;
  /* A change in log order, while the store is ready.  Proposing from inside
     is allowed.  */
  void (*on_change) (const gp_fold_change_t *change, void *data);
  /* The state was built anew: look at all of it.  May be NULL.  */
  void (*on_rebuilt) (void *data);
  /* A read that was sent at SENT_AT reached the tail.  May be NULL.  */
  void (*on_read) (gp_time_t sent_at, void *data);
  /* Records were lost to retention; on_rebuilt follows later.  May be
     NULL.  */
  void (*on_gap) (void *data);
  void *data;
} gp_store_subscriber_t;

/* What `status' shows of the log.  */
typedef struct
{
  bool ready;        /* the state may be acted upon */
  bool available;    /* appends make progress */
  uint64_t offset;   /* next to be read */
  gp_time_t read_at; /* when the last complete read was sent */
  uint64_t appends;
  uint64_t repeats;
  uint64_t restarts; /* after a gap */
} gp_store_health_t;

/* NULL and ERROR when the settings of the log are unusable.  TIMELINE may be
   NULL.  */
gp_store_t *gp_store_new (gp_loop_t *loop, const gp_settings_t *settings,
                          uint64_t incarnation, GRand *rand,
                          gp_timeline_t *timeline, GError **error);

/* The same for the stream of the configuration, where that is another.  */
gp_store_t *gp_store_new_config (gp_loop_t *loop,
                                 const gp_settings_t *settings,
                                 uint64_t incarnation, GRand *rand,
                                 gp_timeline_t *timeline, GError **error);
void gp_store_free (gp_store_t *store);

void gp_store_subscribe (gp_store_t *store, gp_store_subscriber_t *subscriber);

/* Whether the state may be acted upon: it was built, and since the start or
   the last gap the tail was reached.  */
bool gp_store_ready (const gp_store_t *store);

/* The folded state; only to be acted upon when ready.  */
const gp_fold_t *gp_store_fold (const gp_store_t *store);

void gp_store_health (const gp_store_t *store, gp_store_health_t *health);

/* Propose a copy of RECORD.  Unless the result is GP_WRITER_QUEUED nothing
   was taken and DONE is not called.  A record that has not been sent at
   DEADLINE expires.  *PROPOSAL (may be NULL) is valid until DONE, which is
   never called from inside.  DONE may be NULL.  */
gp_writer_result_t gp_store_propose (gp_store_t *store,
                                     const Gp__Record__Record *record,
                                     gp_writer_priority_t priority,
                                     gp_time_t deadline,
                                     gp_proposal_done_t done, void *data,
                                     gp_proposal_t **proposal);

/* Take a proposal back.  True: it was not sent and never will be, and DONE is
   not called.  False: DONE will be called.  */
bool gp_store_withdraw (gp_store_t *store, gp_proposal_t *proposal);

#endif

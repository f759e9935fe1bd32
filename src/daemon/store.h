/* The store: the site's state, which an entry builds from the platform's log,
   and the records that the entry proposes.

   The store connects the log client (transport/log_client.h) to the follower,
   the writer and the snapshots of the state layer.  It notifies subscribers
   of each change of the folded state in log order.  A proposal is decided
   only when its record has been read back from the log.  One that was never
   written is reported as expired, so that a caller can rely on the answer
   that nothing was done.  */

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
  GP_PROPOSAL_EXPIRED, /* not in the log, and will never be written */
  GP_PROPOSAL_UNREAD   /* in the log, verdict unknown: check the state */
} gp_proposal_result_t;

/* Called with the result of a proposal, which is invalid afterwards.  */
typedef void (*gp_proposal_done_t) (gp_proposal_result_t result,
                                    gp_fold_verdict_t verdict, void *data);

/* A subscriber to changes of the state; allocated by the caller.  */
typedef struct
{
  gp_list_t link;
  /* The state has changed.  Called in log order while the store is ready; may
     call gp_store_propose.  */
  void (*on_change) (const gp_fold_change_t *change, void *data);
  /* The state was rebuilt as a whole.  May be NULL.  */
  void (*on_rebuilt) (void *data);
  /* A read that was sent at SENT_AT reached the end of the log.  May be
     NULL.  */
  void (*on_read) (gp_time_t sent_at, void *data);
  /* Records were lost to retention; on_rebuilt follows later.  May be
     NULL.  */
  void (*on_gap) (void *data);
  void *data;
} gp_store_subscriber_t;

/* The health of the log, as `status' shows it.  */
typedef struct
{
  bool ready;        /* see gp_store_ready */
  bool available;    /* appends make progress */
  uint64_t offset;   /* next offset to read */
  gp_time_t read_at; /* when the last complete read was sent */
  uint64_t appends;
  uint64_t repeats;
  uint64_t restarts; /* rebuilds of the state after a gap */
} gp_store_health_t;

/* Returns NULL and sets ERROR if the settings of the log are unusable.
   TIMELINE may be NULL.  */
gp_store_t *gp_store_new (gp_loop_t *loop, const gp_settings_t *settings,
                          uint64_t incarnation, GRand *rand,
                          gp_timeline_t *timeline, GError **error);

/* Likewise for the configuration's stream, if that is a separate one.  */
gp_store_t *gp_store_new_config (gp_loop_t *loop,
                                 const gp_settings_t *settings,
                                 uint64_t incarnation, GRand *rand,
                                 gp_timeline_t *timeline, GError **error);
void gp_store_free (gp_store_t *store);

void gp_store_subscribe (gp_store_t *store, gp_store_subscriber_t *subscriber);

/* Whether the state may be acted upon: it has been built, and the end of the
   log has been reached since the start or the last gap.  */
bool gp_store_ready (const gp_store_t *store);

/* The folded state; must be acted upon only while the store is ready.  */
const gp_fold_t *gp_store_fold (const gp_store_t *store);

void gp_store_health (const gp_store_t *store, gp_store_health_t *health);

/* Propose a copy of RECORD.  Unless the result is GP_WRITER_QUEUED, nothing
   was queued and DONE is not called.  A record that has not been sent by
   DEADLINE expires.  *PROPOSAL is valid until DONE is called, which never
   happens from inside this call.  PROPOSAL and DONE may be NULL.  */
gp_writer_result_t gp_store_propose (gp_store_t *store,
                                     const Gp__Record__Record *record,
                                     gp_writer_priority_t priority,
                                     gp_time_t deadline,
                                     gp_proposal_done_t done, void *data,
                                     gp_proposal_t **proposal);

/* Withdraw a proposal.  Returns true if it was not sent; then it never will
   be, and DONE is not called.  Returns false if DONE will be called.  */
bool gp_store_withdraw (gp_store_t *store, gp_proposal_t *proposal);

#endif

/* One append to the topic of jobs for the batches of several entries.

   While the store is slow, entries send their batches to the leader
   (jobs/append_route.h), by HTTP to its relay (jobsd/relay.h) as the same
   request that they would send to the store; the leader's own are added by a
   function call.  Which batches go into the next append is decided by
   jobs/append_batch.h.  Every entry collects the batches that it is sent,
   whether it leads or not: as these appends have no condition, the store
   accepts them from any entry.

   The collector uses only the direct route to the store, so that no call is
   relayed in a loop.  While this process's own calls are relayed it takes no
   batch, and those that wait are refused.  */

#ifndef GP_JOBSD_APPEND_COLLECTOR_H
#define GP_JOBSD_APPEND_COLLECTOR_H

#include "jobs/append_batch.h"
#include "platform/store.h"

/* The collector of an entry.  */
typedef struct
{
  gp_loop_t *loop;
  gp_platform_store_t *store;
  gp_append_queue_t queue;
  gp_platform_store_call_t *call; /* the append in flight, or NULL */
  gp_timer_t timer;               /* the next append */
} gp_append_collector_t;

/* A batch until its sender is answered.  */
typedef struct gp_collected gp_collected_t;

void gp_append_collector_init (gp_append_collector_t *collector,
                               gp_loop_t *loop, gp_platform_store_t *store);
/* Cancel the append in flight and answer the senders that still wait: with an
   unknown outcome if their batches are in it, with a refusal otherwise.  */
void gp_append_collector_finish (gp_append_collector_t *collector);

/* Add the SIZE bytes of BATCH, which are copied.  ON_DONE is called once,
   after this function has returned: with the store's answer (COLLECTED is
   set), whose offset is that of the first record of this batch, or with a
   refusal of the collector.  Returns NULL if the batch is not taken, because
   calls are relayed, too much waits, or it is malformed; it is certainly not
   appended then.  */
gp_collected_t *gp_append_collector_add (gp_append_collector_t *collector,
                                         const uint8_t *batch, size_t size,
                                         gp_platform_store_cb_t on_done,
                                         void *data);

/* The sender does not wait any more: ON_DONE is not called, and COLLECTED is
   freed.  A batch that is in the append in flight may still be appended.  */
void gp_append_collector_cancel (gp_append_collector_t *collector,
                                 gp_collected_t *collected);

/* Returns the outcome of an append without a condition that the store has
   answered with ANSWER.  */
gp_append_outcome_t
gp_append_outcome_of (const gp_platform_store_answer_t *answer);

#endif

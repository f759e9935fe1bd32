/* The batches of several entries that wait for one append to the store.

   Pure: batches and NOW in, the next append out.

   One append is in flight at a time.  When it has ended, the batches that have
   arrived in the meantime go into the next one, in the order of arrival, up to
   GP_APPEND_MAX_SIZE.  So if they fit, a batch waits for the end of one append
   at most, whatever the number of senders.

   An append is atomic: its batches are all on the log or none is, and each
   follows on the one before.  Hence the offset of the first record of a batch
   is that of the append plus the number of records before it.  */

#ifndef GP_JOBS_APPEND_BATCH_H
#define GP_JOBS_APPEND_BATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "jobs/append_route.h"

/* Maximum size of an append in bytes, unless a single batch is larger.  */
#define GP_APPEND_MAX_SIZE ((size_t)256 * 1024)
/* Maximum total size of the batches that wait: four appends.  A sender whose
   batch is not accepted appends it directly.  */
#define GP_APPEND_QUEUE_MAX_SIZE (4 * GP_APPEND_MAX_SIZE)

/* A batch, allocated by the caller.  */
typedef struct
{
  gp_list_t link;
  size_t size; /* bytes */
  unsigned records;
  bool in_append;
  uint64_t place; /* in the append in flight: number of records before it */
} gp_append_batch_t;

/* The batches that wait, and those in the append in flight.  */
typedef struct
{
  gp_list_t waiting;     /* gp_append_batch_t, in the order of arrival */
  gp_list_t in_flight;   /* those in the append, in its order */
  size_t waiting_size;   /* bytes */
  bool busy;             /* an append is in flight */
  gp_time_t sent_at;     /* when it was sent */
  gp_time_t start_at;    /* no append is started before this time */
  gp_time_t append_time; /* moving average of the duration of appends, a
                            duration */
  gp_time_t measured_at; /* end of the last append that was done, 0: none */
} gp_append_queue_t;

void gp_append_queue_init (gp_append_queue_t *queue);

/* Add BATCH of SIZE bytes and RECORDS records.  Returns false if too much is
   waiting; the batch is certainly not appended then.  */
bool gp_append_queue_add (gp_append_queue_t *queue, gp_append_batch_t *batch,
                          size_t size, unsigned records);

/* Remove BATCH, whose sender does not wait any more.  If it is in the append
   in flight, that is not changed.  */
void gp_append_queue_remove (gp_append_queue_t *queue,
                             gp_append_batch_t *batch);

/* Returns when the next append can be started, or GP_TIME_NEVER: one is in
   flight, or no batch waits.  */
gp_time_t gp_append_queue_start_at (const gp_append_queue_t *queue);

/* Start the next append, if it is time: move the batches that it consists of
   to IN_FLIGHT, and set their places.  Returns whether there is one.  */
bool gp_append_queue_start (gp_append_queue_t *queue, gp_time_t now);

/* Returns when the append in flight is given up.  */
gp_time_t gp_append_queue_deadline (const gp_append_queue_t *queue);

/* The append in flight has ended with OUTCOME, which is that of a direct
   append.  Its batches are moved to ENDED, an empty list.  */
void gp_append_queue_end (gp_append_queue_t *queue,
                          gp_append_outcome_t outcome, gp_time_t now,
                          gp_list_t *ended);

#endif

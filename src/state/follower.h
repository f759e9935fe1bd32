/* Builds the state of the site from the log and keeps it up to date.

   A follower begins at the first offset that the log retains and goes
   through these phases:

   SCAN   find the newest complete snapshot up to the end of the log at start
   LOAD   read that snapshot again and load its parts
   REPLAY apply the batches after it up to the end of the log at the end of
          SCAN
   READY  apply new batches and forward the changes

   If the log is complete (first offset 0) and has no snapshot, LOAD is
   skipped.  If batches have been dropped and no snapshot is usable, the
   follower stays in SCAN until there is one: it never skips a gap.  If an
   offset that it needs is gone, or the log ends before an offset it has
   read, it restarts with an empty state.  The state may be acted upon only
   in READY.

   The caller reads the log: it requests records from gp_follower_read_offset
   and passes each reply to gp_follower_handle_reply.  */

#ifndef GP_STATE_FOLLOWER_H
#define GP_STATE_FOLLOWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/catalog.h"
#include "state/fold.h"

typedef enum
{
  GP_FOLLOWER_SCAN,
  GP_FOLLOWER_LOAD,
  GP_FOLLOWER_REPLAY,
  GP_FOLLOWER_READY,
  GP_FOLLOWER_STOPPED /* the log has a later version */
} gp_follower_phase_t;

/* One record of a reply.  */
typedef struct
{
  uint64_t offset;
  const uint8_t *bytes;
  size_t size;
} gp_follower_record_t;

/* A reply from the log.  There is a gap if the first record or FIRST_OFFSET is
   above the requested offset.  */
typedef struct
{
  uint64_t first_offset; /* first retained offset */
  uint64_t next_offset;  /* offset after the last record */
  const gp_follower_record_t *records;
  size_t count;
} gp_follower_reply_t;

typedef struct
{
  gp_fold_t fold; /* the state; valid only when READY */
  gp_catalog_t catalog;
  gp_follower_phase_t phase;
  uint64_t read_offset; /* next offset to read */
  uint64_t target;      /* offset at which SCAN and REPLAY end */
  bool target_known;
  uint64_t first_offset; /* of the last reply */
  uint64_t next_offset;  /* of the last reply */
  uint32_t loaded;       /* LOAD: number of parts loaded */
  bool rebuilt;          /* since the last gp_follower_take_rebuilt */
  uint64_t restarts;     /* because of a gap or a corrupt snapshot */
  gp_fold_sink_t sink;
  void *sink_data;
} gp_follower_t;

/* SINK receives all changes when READY, and before that only the verdicts on
   own batches.  The own writer is set once with gp_fold_set_own_writer on
   FOLLOWER.fold; restarts keep it.  */
void gp_follower_init (gp_follower_t *follower, const gp_fold_limits_t *limits,
                       gp_fold_sink_t sink, void *data);
void gp_follower_finish (gp_follower_t *follower);

/* Return the offset to read from.  */
uint64_t gp_follower_read_offset (const gp_follower_t *follower);

/* Process the reply to a read from gp_follower_read_offset.  While a saver of
   the fold is active the reply is ignored; the caller keeps it or reads the
   same offset again.  */
gp_follower_phase_t
gp_follower_handle_reply (gp_follower_t *follower,
                          const gp_follower_reply_t *reply);

/* Return true once after the state was rebuilt.  The caller must then examine
   the whole state and call gp_writer_skip with the sequence of the own
   writer.  */
bool gp_follower_take_rebuilt (gp_follower_t *follower);

/* Return true if READY and everything up to the end of the log in the last
   reply is applied.  */
bool gp_follower_caught_up (const gp_follower_t *follower);

#endif

/* Following the log: from nothing to the site's state, and on.

   A follower begins at the first offset that the log retains and goes
   through phases:

   SCAN   find the newest complete snapshot up to the tail seen at the start
   LOAD   read that snapshot again and load its parts
   TAIL   apply the batches after it up to the tail seen at the end of SCAN
   READY  apply new batches and pass the changes on

   With nothing lost (first offset 0) and no snapshot, LOAD is skipped.
   With batches lost and no usable snapshot the follower stays in SCAN and
   waits for one: it never passes over a gap.  Whenever an offset that it
   needs is gone, or the log ends before what was read, it starts again from
   nothing.  Only a READY state may be acted upon.

   The caller does the reads: it asks for records from gp_follower_from and
   gives each reply to gp_follower_read.  */

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
  GP_FOLLOWER_TAIL,
  GP_FOLLOWER_READY,
  GP_FOLLOWER_STOPPED /* the log is of a later version */
} gp_follower_phase_t;

/* One record of a reply.  */
typedef struct
{
  uint64_t offset;
  const uint8_t *bytes;
  size_t size;
} gp_follower_record_t;

/* One reply of the log.  With records beyond the asked offset, or
   FIRST_OFFSET beyond it, there is a gap.  */
typedef struct
{
  uint64_t first_offset; /* the first retained */
  uint64_t next_offset;  /* after the last */
  const gp_follower_record_t *records;
  size_t count;
} gp_follower_reply_t;

typedef struct
{
  gp_fold_t fold; /* the state; to be used when READY */
  gp_catalog_t catalog;
  gp_follower_phase_t phase;
  uint64_t from;   /* next offset to read */
  uint64_t target; /* SCAN, TAIL: done when FROM reaches it */
  bool target_known;
  uint64_t first_offset; /* as last seen */
  uint64_t next_offset;  /* as last seen */
  uint32_t loaded;       /* LOAD: parts */
  bool rebuilt;          /* since the last gp_follower_take_rebuilt */
  uint64_t restarts;     /* because of a gap or a corrupt snapshot */
  gp_fold_sink_t sink;
  void *sink_data;
} gp_follower_t;

/* SINK gets all changes when READY; before that only the verdicts on own
   batches (see gp_fold_watch on FOLLOWER.fold, once; it is kept).  */
void gp_follower_init (gp_follower_t *follower, const gp_fold_limits_t *limits,
                       gp_fold_sink_t sink, void *data);
void gp_follower_finish (gp_follower_t *follower);

/* The offset to read from.  */
uint64_t gp_follower_from (const gp_follower_t *follower);

/* Take the reply to a read from gp_follower_from.  While the fold is held
   by a saver nothing is taken: keep the reply, or read again.  */
gp_follower_phase_t gp_follower_read (gp_follower_t *follower,
                                      const gp_follower_reply_t *reply);

/* True once after the state was built anew: look at the whole state, and
   call gp_writer_skip with the own writer's sequence.  */
bool gp_follower_take_rebuilt (gp_follower_t *follower);

/* True when READY and everything that the last reply knew of is applied.  */
bool gp_follower_caught_up (const gp_follower_t *follower);

#endif

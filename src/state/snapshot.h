/* Writing a snapshot of the state to the log.

   Before retention drops what the state was built from, some process writes
   the state again: any process may, two at once are harmless, and one that
   dies half-way leaves parts that every reader ignores.  Each process draws
   its own point of time, so that mostly one of them does it.

   A snapshot is due when the newest one lies too far back in offsets or log
   time, or in the older half of what the log retains.

   The state is copied when the snapshot begins, a few rows in each turn of
   the loop so that requests are served meanwhile; the fold is held until
   the copy is complete.  The copy is written in parts at a pace.  The
   machine hands out records; the caller queues them with a gp_writer_t.  */

#ifndef GP_STATE_SNAPSHOT_H
#define GP_STATE_SNAPSHOT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"
#include "records.pb-c.h"
#include "state/catalog.h"
#include "state/fold.h"

typedef struct
{
  size_t part_bytes;
  size_t rows;         /* copied at once */
  gp_time_t pace;      /* between records, microseconds */
  uint64_t distance;   /* offsets since the newest snapshot */
  int64_t interval_us; /* log time since it was completed */
  uint64_t patience;   /* offsets: an open snapshot older than this is
                          taken for abandoned */
} gp_snapshot_limits_t;

extern const gp_snapshot_limits_t gp_snapshot_default_limits;

typedef struct
{
  gp_snapshot_limits_t limits;
  GRand *rand;       /* the caller's */
  double factor;     /* own point of time, 1.0 to 1.5 */
  int64_t newest_us; /* log time when the newest was completed */
  bool copying;
  bool writing; /* or still copying */
  uint64_t id;
  uint64_t as_of;
  uint64_t checksum;
  uint64_t digest;
  gp_fold_saver_t saver; /* while copying */
  void *checksum_state;  /* XXH3_state_t, while copying */
  GQueue parts;          /* of GBytes, still to be handed out */
  uint32_t parts_count;
  uint32_t step; /* 0: Begin, 1..parts_count: parts, then End */
  gp_time_t next_at;
  /* The record handed out.  */
  Gp__Record__Record record;
  Gp__Record__SnapshotBegin begin;
  Gp__Record__SnapshotPart part;
  Gp__Record__SnapshotEnd end;
} gp_snapshot_t;

/* LIMITS NULL: the default.  RAND must stay valid.  */
void gp_snapshot_init (gp_snapshot_t *snapshot,
                       const gp_snapshot_limits_t *limits, GRand *rand);
void gp_snapshot_finish (gp_snapshot_t *snapshot);

/* True when this process should begin.  FIRST_OFFSET is the first that the
   log retains.  The first call starts the interval.  */
bool gp_snapshot_due (gp_snapshot_t *snapshot, const gp_fold_t *fold,
                      const gp_catalog_t *catalog, uint64_t first_offset);

/* Begin to copy the state of FOLD, which must have applied something.  */
void gp_snapshot_begin (gp_snapshot_t *snapshot, gp_fold_t *fold,
                        gp_time_t now);

/* Copy some rows more; nothing if no copy is under way.  True when there is
   more to copy: call it again in the next turn of the loop.  */
bool gp_snapshot_copy (gp_snapshot_t *snapshot);

/* The record to be queued now, or NULL.  It is valid until
   gp_snapshot_queued, which says that it has been queued.  */
const Gp__Record__Record *gp_snapshot_next (gp_snapshot_t *snapshot,
                                            gp_time_t now);
void gp_snapshot_queued (gp_snapshot_t *snapshot, gp_time_t now);

/* A snapshot as of AS_OF, of whatever writer, was completed on the log at
   log time LOG_TIME_US; an own one that is not newer is given up.  */
void gp_snapshot_completed (gp_snapshot_t *snapshot, uint64_t as_of,
                            int64_t log_time_us);

/* Stop writing: the records so far will be ignored.  */
void gp_snapshot_abandon (gp_snapshot_t *snapshot);

#endif

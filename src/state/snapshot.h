/* Writes snapshots of the state to the log.

   The state has to be saved in the log before the log drops the batches from
   which it was built.  Any process may do so.  Two snapshots at the same time
   are harmless, and a process that exits midway leaves parts that readers
   ignore.  Each process randomizes its threshold, so that usually only one of
   them writes a snapshot.

   A snapshot is due when the newest one is too old in offsets or log time, or
   lies in the older half of the retained log.

   When a snapshot begins, the state is copied, a few rows in each iteration
   of the event loop so that requests are still served.  No batch may be
   applied until the copy is complete.  The copy is then written in parts at a
   limited rate.  This module provides the records; the caller queues them
   with a gp_writer_t.  */

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
  size_t rows_per_step;      /* copied per gp_snapshot_copy */
  gp_time_t record_interval; /* between two records, microseconds */
  uint64_t offset_interval;  /* offsets since the newest snapshot */
  int64_t interval_us;       /* log time since the newest was completed */
  uint64_t abandoned_after;  /* age in offsets at which an open snapshot counts
                                as abandoned */
} gp_snapshot_limits_t;

extern const gp_snapshot_limits_t gp_snapshot_default_limits;

typedef struct
{
  gp_snapshot_limits_t limits;
  GRand *rand;             /* owned by the caller */
  double threshold_factor; /* random factor of the thresholds, 1.0 to 1.5 */
  int64_t newest_us;       /* log time when the newest was completed */
  bool copying;
  bool writing; /* also true while copying */
  uint64_t id;
  uint64_t as_of;
  uint64_t checksum;
  uint64_t digest;
  gp_fold_saver_t saver; /* while copying */
  void *checksum_state;  /* XXH3_state_t, while copying */
  GQueue parts;          /* of GBytes, not yet queued */
  uint32_t parts_count;
  uint32_t step; /* of the next record: 0 is Begin, 1..parts_count are
                    parts, then End */
  gp_time_t next_at;
  /* The record returned by gp_snapshot_next.  */
  Gp__Record__Record record;
  Gp__Record__SnapshotBegin begin;
  Gp__Record__SnapshotPart part;
  Gp__Record__SnapshotEnd end;
} gp_snapshot_t;

/* LIMITS may be NULL for the defaults.  RAND must stay valid.  */
void gp_snapshot_init (gp_snapshot_t *snapshot,
                       const gp_snapshot_limits_t *limits, GRand *rand);
void gp_snapshot_finish (gp_snapshot_t *snapshot);

/* Return true if this process should begin a snapshot.  FIRST_OFFSET is the
   first offset that the log retains.  The first call starts the interval.  */
bool gp_snapshot_due (gp_snapshot_t *snapshot, const gp_fold_t *fold,
                      const gp_catalog_t *catalog, uint64_t first_offset);

/* Begin to copy the state of FOLD, which must have applied a batch.  */
void gp_snapshot_begin (gp_snapshot_t *snapshot, gp_fold_t *fold,
                        gp_time_t now);

/* Copy some more rows, if a copy is in progress.  Returns true if there is
   more to copy; the caller calls again in the next iteration of the event
   loop.  */
bool gp_snapshot_copy (gp_snapshot_t *snapshot);

/* Return the record to be queued now, or NULL.  It is valid until
   gp_snapshot_queued, which the caller calls once it has queued the
   record.  */
const Gp__Record__Record *gp_snapshot_next (gp_snapshot_t *snapshot,
                                            gp_time_t now);
void gp_snapshot_queued (gp_snapshot_t *snapshot, gp_time_t now);

/* To be called when a snapshot as of AS_OF, of any writer, was completed on
   the log at log time LOG_TIME_US.  Abandons the snapshot being written if it
   is not newer.  */
void gp_snapshot_completed (gp_snapshot_t *snapshot, uint64_t as_of,
                            int64_t log_time_us);

/* Stop writing.  Readers ignore the records written so far.  */
void gp_snapshot_abandon (gp_snapshot_t *snapshot);

#endif

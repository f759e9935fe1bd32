#include "state/snapshot.h"

#include <string.h>
#include <xxhash.h>

#define HOUR_US (INT64_C (3600) * 1000000)

const gp_snapshot_limits_t gp_snapshot_default_limits = {
  .part_bytes = (size_t)128 * 1024,
  .rows_per_step = 1000,
  .record_interval = 100 * GP_MSEC,
  .offset_interval = 200000,
  .interval_us = 2 * HOUR_US,
  .abandoned_after = 20000,
};

static void
draw_factor (gp_snapshot_t *snapshot)
{
  snapshot->threshold_factor = g_rand_double_range (snapshot->rand, 1.0, 1.5);
}

void
gp_snapshot_init (gp_snapshot_t *snapshot, const gp_snapshot_limits_t *limits,
                  GRand *rand)
{
  memset (snapshot, 0, sizeof *snapshot);
  snapshot->limits = limits != NULL ? *limits : gp_snapshot_default_limits;
  snapshot->rand = rand;
  g_queue_init (&snapshot->parts);
  draw_factor (snapshot);
}

static void
end_copy (gp_snapshot_t *snapshot)
{
  gp_fold_saver_finish (&snapshot->saver);
  XXH3_freeState (snapshot->checksum_state);
  snapshot->copying = false;
}

void
gp_snapshot_abandon (gp_snapshot_t *snapshot)
{
  if (snapshot->copying)
    end_copy (snapshot);
  g_queue_clear_full (&snapshot->parts, (GDestroyNotify)g_bytes_unref);
  snapshot->writing = false;
}

void
gp_snapshot_finish (gp_snapshot_t *snapshot)
{
  gp_snapshot_abandon (snapshot);
}

/* Return true if another process is writing a snapshot.  An open snapshot
   that began more than abandoned_after offsets ago is considered
   abandoned.  */
static bool
another_writes (const gp_snapshot_t *snapshot, const gp_fold_t *fold,
                const gp_catalog_t *catalog)
{
  for (guint i = 0; i < catalog->open->len; i++)
    {
      const gp_catalog_entry_t *entry = catalog->open->pdata[i];

      if (entry->begin_offset + snapshot->limits.abandoned_after
          > fold->next_offset)
        return true;
    }
  return false;
}

bool
gp_snapshot_due (gp_snapshot_t *snapshot, const gp_fold_t *fold,
                 const gp_catalog_t *catalog, uint64_t first_offset)
{
  uint64_t covered = catalog->newest != NULL ? catalog->newest->as_of + 1 : 0;
  double behind = (double)(fold->next_offset - covered);
  double retained = (double)(fold->next_offset - first_offset);
  double age;

  if (snapshot->newest_us == 0)
    snapshot->newest_us = fold->log_time_us;
  age = (double)(fold->log_time_us - snapshot->newest_us);
  if (snapshot->writing || covered >= fold->next_offset
      || another_writes (snapshot, fold, catalog))
    return false;
  if (behind
      >= (double)snapshot->limits.offset_interval * snapshot->threshold_factor)
    return true;
  if (first_offset > 0 && behind * 2 >= retained * snapshot->threshold_factor)
    return true;
  return age
         >= (double)snapshot->limits.interval_us * snapshot->threshold_factor;
}

static void
queue_part (GBytes *part, void *data)
{
  gp_snapshot_t *snapshot = data;

  XXH3_64bits_update (snapshot->checksum_state, g_bytes_get_data (part, NULL),
                      g_bytes_get_size (part));
  g_queue_push_tail (&snapshot->parts, part);
}

void
gp_snapshot_begin (gp_snapshot_t *snapshot, gp_fold_t *fold, gp_time_t now)
{
  gp_snapshot_abandon (snapshot);
  snapshot->checksum_state = XXH3_createState ();
  XXH3_64bits_reset (snapshot->checksum_state);
  gp_fold_saver_init (&snapshot->saver, fold, snapshot->limits.part_bytes,
                      queue_part, snapshot);
  snapshot->copying = true;
  snapshot->writing = true;
  snapshot->id++;
  snapshot->as_of = fold->next_offset - 1;
  snapshot->step = 0;
  snapshot->next_at = now;
}

bool
gp_snapshot_copy (gp_snapshot_t *snapshot)
{
  if (!snapshot->copying)
    return false;
  if (!gp_fold_saver_step (&snapshot->saver, snapshot->limits.rows_per_step))
    return true;
  snapshot->parts_count = snapshot->parts.length;
  snapshot->checksum = XXH3_64bits_digest (snapshot->checksum_state);
  snapshot->digest = snapshot->saver.digest;
  end_copy (snapshot);
  return false;
}

static void
make_begin (gp_snapshot_t *snapshot)
{
  Gp__Record__SnapshotBegin *begin = &snapshot->begin;

  gp__record__snapshot_begin__init (begin);
  begin->id = snapshot->id;
  begin->as_of = snapshot->as_of;
  snapshot->record.record_case = GP__RECORD__RECORD__RECORD_SNAPSHOT_BEGIN;
  snapshot->record.snapshot_begin = begin;
}

static void
make_part (gp_snapshot_t *snapshot)
{
  Gp__Record__SnapshotPart *part = &snapshot->part;
  GBytes *bytes = g_queue_peek_head (&snapshot->parts);

  gp__record__snapshot_part__init (part);
  part->id = snapshot->id;
  part->index = snapshot->step - 1;
  part->data.data = (uint8_t *)g_bytes_get_data (bytes, &part->data.len);
  snapshot->record.record_case = GP__RECORD__RECORD__RECORD_SNAPSHOT_PART;
  snapshot->record.snapshot_part = part;
}

static void
make_end (gp_snapshot_t *snapshot)
{
  Gp__Record__SnapshotEnd *end = &snapshot->end;

  gp__record__snapshot_end__init (end);
  end->id = snapshot->id;
  end->as_of = snapshot->as_of;
  end->parts = snapshot->parts_count;
  end->checksum = snapshot->checksum;
  end->digest = snapshot->digest;
  snapshot->record.record_case = GP__RECORD__RECORD__RECORD_SNAPSHOT_END;
  snapshot->record.snapshot_end = end;
}

const Gp__Record__Record *
gp_snapshot_next (gp_snapshot_t *snapshot, gp_time_t now)
{
  if (!snapshot->writing || snapshot->copying || now < snapshot->next_at)
    return NULL;
  gp__record__record__init (&snapshot->record);
  if (snapshot->step == 0)
    make_begin (snapshot);
  else if (snapshot->step <= snapshot->parts_count)
    make_part (snapshot);
  else
    make_end (snapshot);
  return &snapshot->record;
}

void
gp_snapshot_queued (gp_snapshot_t *snapshot, gp_time_t now)
{
  bool is_part = snapshot->step > 0 && snapshot->step <= snapshot->parts_count;

  if (is_part)
    g_bytes_unref (g_queue_pop_head (&snapshot->parts));
  snapshot->next_at = now + snapshot->limits.record_interval;
  snapshot->writing = snapshot->step <= snapshot->parts_count;
  snapshot->step++;
}

void
gp_snapshot_completed (gp_snapshot_t *snapshot, uint64_t as_of,
                       int64_t log_time_us)
{
  snapshot->newest_us = MAX (snapshot->newest_us, log_time_us);
  draw_factor (snapshot);
  if (snapshot->writing && snapshot->as_of <= as_of)
    gp_snapshot_abandon (snapshot);
}

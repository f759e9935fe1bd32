#include "state/follower.h"

#include <string.h>

void
gp_follower_init (gp_follower_t *follower, const gp_fold_limits_t *limits,
                  gp_fold_sink_t sink, void *data)
{
  memset (follower, 0, sizeof *follower);
  gp_fold_init (&follower->fold, limits);
  gp_catalog_init (&follower->catalog);
  follower->sink = sink;
  follower->sink_data = data;
}

void
gp_follower_finish (gp_follower_t *follower)
{
  gp_fold_finish (&follower->fold);
  gp_catalog_finish (&follower->catalog);
}

uint64_t
gp_follower_read_offset (const gp_follower_t *follower)
{
  return follower->read_offset;
}

bool
gp_follower_caught_up (const gp_follower_t *follower)
{
  return follower->phase == GP_FOLLOWER_READY
         && follower->read_offset >= follower->next_offset;
}

bool
gp_follower_take_rebuilt (gp_follower_t *follower)
{
  bool rebuilt = follower->rebuilt;

  follower->rebuilt = false;
  return rebuilt;
}

/* Reset the fold to an empty state with the same limits and own writer.  */
static void
reset_fold (gp_follower_t *follower)
{
  gp_fold_limits_t limits = follower->fold.limits;
  char *name = g_steal_pointer (&follower->fold.own_name);
  uint64_t incarnation = follower->fold.own_incarnation;

  gp_fold_finish (&follower->fold);
  gp_fold_init (&follower->fold, &limits);
  follower->fold.own_name = name;
  follower->fold.own_incarnation = incarnation;
}

static void
restart (gp_follower_t *follower)
{
  reset_fold (follower);
  gp_catalog_clear (&follower->catalog);
  follower->phase = GP_FOLLOWER_SCAN;
  follower->read_offset = follower->first_offset;
  follower->target_known = false;
  follower->restarts++;
}

/* SCAN.  */

static void
scan_record (gp_follower_t *follower, const gp_follower_record_t *record)
{
  Gp__Record__Batch *batch
      = gp__record__batch__unpack (NULL, record->size, record->bytes);

  if (batch == NULL)
    return;
  for (size_t i = 0; i < batch->n_records; i++)
    gp_catalog_add_record (&follower->catalog, record->offset, batch->writer,
                           batch->incarnation, batch->records[i]);
  gp__record__batch__free_unpacked (batch, NULL);
}

static void
start_replay (gp_follower_t *follower)
{
  follower->phase = GP_FOLLOWER_REPLAY;
  follower->read_offset = follower->fold.next_offset;
  follower->target = follower->next_offset;
}

/* Return true if all batches after the newest snapshot are retained.  */
static bool
snapshot_usable (const gp_follower_t *follower)
{
  const gp_catalog_entry_t *newest = follower->catalog.newest;

  return newest != NULL && newest->as_of + 1 >= follower->first_offset;
}

static void
end_scan (gp_follower_t *follower)
{
  if (snapshot_usable (follower))
    {
      follower->phase = GP_FOLLOWER_LOAD;
      follower->read_offset = follower->catalog.newest->begin_offset;
      follower->loaded = 0;
    }
  else if (follower->first_offset == 0)
    start_replay (follower);
}

/* LOAD.  */

static bool
load_part (gp_follower_t *follower, const Gp__Record__Record *record)
{
  const Gp__Record__SnapshotPart *part = record->snapshot_part;

  if (record->record_case != GP__RECORD__RECORD__RECORD_SNAPSHOT_PART
      || part->id != follower->catalog.newest->id
      || part->index != follower->loaded)
    return true;
  follower->loaded++;
  return gp_fold_load (&follower->fold, part->data.data, part->data.len);
}

/* Load the parts of the newest snapshot that RECORD contains.  Return false if
   the snapshot is corrupt.  */
static bool
load_record (gp_follower_t *follower, const gp_follower_record_t *record)
{
  const gp_catalog_entry_t *newest = follower->catalog.newest;
  Gp__Record__Batch *batch
      = gp__record__batch__unpack (NULL, record->size, record->bytes);
  bool ok = true;

  if (batch == NULL)
    return true;
  if (batch->incarnation == newest->incarnation
      && strcmp (batch->writer, newest->writer) == 0)
    for (size_t i = 0; ok && i < batch->n_records; i++)
      ok = load_part (follower, batch->records[i]);
  gp__record__batch__free_unpacked (batch, NULL);
  return ok;
}

/* The loaded state is corrupt: restart and use another snapshot.  */
static void
reject_snapshot (gp_follower_t *follower)
{
  gp_catalog_reject (&follower->catalog);
  restart (follower);
}

static void
end_load (gp_follower_t *follower)
{
  const gp_catalog_entry_t *newest = follower->catalog.newest;

  if (follower->loaded != newest->parts
      || gp_fold_digest (&follower->fold) != newest->digest)
    {
      reject_snapshot (follower);
      return;
    }
  gp_fold_load_done (&follower->fold, newest->as_of);
  start_replay (follower);
}

/* REPLAY and READY.  */

static void
forward_change (const gp_fold_change_t *change, void *data)
{
  gp_follower_t *follower = data;

  if (change->kind == GP_FOLD_SNAPSHOT)
    gp_catalog_add_record (
        &follower->catalog, change->offset, change->u.snapshot.writer->name,
        change->u.snapshot.writer->incarnation, change->u.snapshot.record);
  if (follower->sink == NULL)
    return;
  if (follower->phase == GP_FOLLOWER_READY
      || change->kind == GP_FOLD_OWN_BATCH)
    follower->sink (change, follower->sink_data);
}

static void
apply_record (gp_follower_t *follower, const gp_follower_record_t *record)
{
  gp_fold_result_t result
      = gp_fold_apply (&follower->fold, record->offset, record->bytes,
                       record->size, forward_change, follower);

  if (result == GP_FOLD_UNREADABLE)
    follower->phase = GP_FOLLOWER_STOPPED;
}

/* Process one record.  Returns false if the rest of the reply must be
   ignored.  */
static bool
process_record (gp_follower_t *follower, const gp_follower_record_t *record)
{
  gp_follower_phase_t phase = follower->phase;

  switch (phase)
    {
    case GP_FOLLOWER_SCAN:
      scan_record (follower, record);
      break;
    case GP_FOLLOWER_LOAD:
      if (!load_record (follower, record))
        {
          reject_snapshot (follower);
          return false;
        }
      break;
    case GP_FOLLOWER_REPLAY:
    case GP_FOLLOWER_READY:
      apply_record (follower, record);
      break;
    case GP_FOLLOWER_STOPPED:
      return false;
    }
  if (follower->phase != phase)
    return false;
  follower->read_offset = record->offset + 1;
  return true;
}

/* Enter the next phase if this one is complete; returns true if so.  */
static bool
end_phase (gp_follower_t *follower)
{
  gp_follower_phase_t phase = follower->phase;

  switch (phase)
    {
    case GP_FOLLOWER_SCAN:
      if (follower->read_offset >= follower->target)
        end_scan (follower);
      break;
    case GP_FOLLOWER_LOAD:
      if (follower->read_offset > follower->catalog.newest->end_offset)
        end_load (follower);
      break;
    case GP_FOLLOWER_REPLAY:
      if (follower->read_offset >= follower->target)
        {
          follower->phase = GP_FOLLOWER_READY;
          follower->rebuilt = true;
        }
      break;
    case GP_FOLLOWER_READY:
    case GP_FOLLOWER_STOPPED:
      break;
    }
  return follower->phase != phase;
}

gp_follower_phase_t
gp_follower_handle_reply (gp_follower_t *follower,
                          const gp_follower_reply_t *reply)
{
  if (follower->fold.active_savers > 0)
    return follower->phase;
  follower->first_offset = reply->first_offset;
  follower->next_offset = reply->next_offset;
  if (follower->phase == GP_FOLLOWER_STOPPED)
    return follower->phase;
  if (reply->first_offset > follower->read_offset
      || reply->next_offset < follower->read_offset)
    {
      restart (follower);
      return follower->phase;
    }
  if (!follower->target_known)
    follower->target = reply->next_offset;
  follower->target_known = true;
  for (size_t i = 0; i < reply->count; i++)
    {
      if (reply->records[i].offset < follower->read_offset)
        continue;
      if (reply->records[i].offset > follower->read_offset)
        {
          restart (follower);
          return follower->phase;
        }
      if (!process_record (follower, &reply->records[i])
          || end_phase (follower))
        return follower->phase;
    }
  while (end_phase (follower))
    continue;
  return follower->phase;
}

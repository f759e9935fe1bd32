/* The store: snapshots.

   The state is copied over several iterations of the event loop, some rows in
   each.  Meanwhile the fold must not change: reading of the log pauses and
   resumes after the copy.  */

#include "base/counters.h"
#include "daemon/store_private.h"

static gp_counter_t snapshots
    = GP_COUNTER ("store_snapshots_total", "Snapshots begun.");

void
gp_store_on_copy_timer (gp_timer_t *timer, void *data)
{
  gp_store_t *store = data;

  if (gp_snapshot_copy (&store->snapshot))
    {
      gp_timer_arm (timer, gp_loop_now (store->loop));
      return;
    }
  gp_store_follow (store);
  gp_store_process (store);
}

static void
check_completed (gp_store_t *store)
{
  const gp_catalog_entry_t *newest = store->follower.catalog.newest;

  if (newest == NULL || newest->as_of + 1 <= store->snapshot_as_of)
    return;
  store->snapshot_as_of = newest->as_of + 1;
  gp_snapshot_completed (&store->snapshot, newest->as_of,
                         store->follower.fold.log_time_us);
}

void
gp_store_check_snapshot (gp_store_t *store)
{
  gp_follower_t *follower = &store->follower;

  check_completed (store);
  if (!gp_follower_caught_up (follower) || follower->fold.next_offset == 0
      || !gp_snapshot_due (&store->snapshot, &follower->fold,
                           &follower->catalog, follower->first_offset))
    return;
  gp_counter_register (&snapshots);
  gp_counter_add (&snapshots, 1);
  gp_snapshot_begin (&store->snapshot, &follower->fold,
                     gp_loop_now (store->loop));
  gp_timer_arm (&store->copy_timer, gp_loop_now (store->loop));
}

void
gp_store_write_snapshot (gp_store_t *store)
{
  gp_time_t now = gp_loop_now (store->loop);
  const Gp__Record__Record *record = gp_snapshot_next (&store->snapshot, now);

  if (record == NULL)
    return;
  switch (gp_writer_enqueue (&store->writer, record, GP_WRITER_BULK, 0,
                             GP_TIME_NEVER, now, NULL))
    {
    case GP_WRITER_QUEUED:
      gp_snapshot_queued (&store->snapshot, now);
      break;
    case GP_WRITER_UNAVAILABLE:
    case GP_WRITER_FULL:
      store->snapshot.next_at = now + store->snapshot.limits.record_interval;
      break;
    case GP_WRITER_TOO_LARGE:
    case GP_WRITER_DEADLINE_PASSED:
      gp_snapshot_abandon (&store->snapshot);
      break;
    }
}

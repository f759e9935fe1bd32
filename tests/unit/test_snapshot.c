/* Snapshots and recovery on a log with retention: writers that exit midway,
   write at the same time or repeat batches, and readers whose next offset is
   dropped before they read it.  */

#include <string.h>

#include "state/follower.h"
#include "state/snapshot.h"
#include "runner.h"

#define SEEDS 30
#define STEPS 1500
#define WRITERS 2
#define RETAINED 120

static const gp_snapshot_limits_t limits = {
  .part_bytes = 300,
  .rows_per_step = 7,
  .record_interval = 0,
  .offset_interval = 40,
  .interval_us = INT64_MAX / 4,
  .abandoned_after = 10,
};

typedef struct
{
  GRand *rand;
  GPtrArray *log; /* of GBytes */
  uint64_t first_offset;
  uint64_t sequence[WRITERS + 1];
  uint64_t incarnation[WRITERS];
  gp_snapshot_t snapshots[WRITERS];
  gp_follower_t live;
  guint started; /* length of the log when the reader started */
  size_t ready;
  size_t completed;
} site_t;

static void
append_record (site_t *site, const char *writer, uint64_t incarnation,
               uint64_t sequence, const Gp__Record__Record *record)
{
  Gp__Record__Record *records[] = { (Gp__Record__Record *)record };
  Gp__Record__Batch batch = GP__RECORD__BATCH__INIT;
  uint8_t *bytes;

  batch.version = GP_FOLD_VERSION;
  batch.writer = (char *)writer;
  batch.incarnation = incarnation;
  batch.sequence = sequence;
  batch.wall_us = (int64_t)site->log->len;
  batch.n_records = 1;
  batch.records = records;
  bytes = g_malloc (gp__record__batch__get_packed_size (&batch));
  g_ptr_array_add (
      site->log,
      g_bytes_new_take (bytes, gp__record__batch__pack (&batch, bytes)));
}

/* Append a submission or a cancellation.  */
static void
append_load (site_t *site)
{
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  Gp__Record__Submit submit = GP__RECORD__SUBMIT__INIT;
  Gp__Record__Cancel cancel = GP__RECORD__CANCEL__INIT;
  uint64_t *sequence = &site->sequence[WRITERS];

  submit.task = ++*sequence;
  submit.kind = "line-test";
  submit.work_class = GP__WIRE__WORK_CLASS__WORK_CLASS_BATCH;
  cancel.task = (uint64_t)g_rand_int_range (site->rand, 0, (int)*sequence);
  record.record_case = GP__RECORD__RECORD__RECORD_SUBMIT;
  record.submit = &submit;
  if (g_rand_boolean (site->rand))
    {
      record.record_case = GP__RECORD__RECORD__RECORD_CANCEL;
      record.cancel = &cancel;
    }
  append_record (site, "load", 1, *sequence, &record);
}

/* Let FOLLOWER read at most COUNT records.  */
static gp_follower_phase_t
read_some (const site_t *site, gp_follower_t *follower, size_t count)
{
  gp_follower_record_t records[16];
  gp_follower_reply_t reply = { .first_offset = site->first_offset,
                                .next_offset = site->log->len,
                                .records = records };
  uint64_t from = gp_follower_read_offset (follower);

  for (uint64_t at = from;
       from >= site->first_offset && at < site->log->len && at < from + count;
       at++)
    {
      gp_follower_record_t *record = &records[reply.count++];

      record->offset = at;
      record->bytes = g_bytes_get_data (site->log->pdata[at], &record->size);
    }
  return gp_follower_handle_reply (follower, &reply);
}

static void
read_all (const site_t *site, gp_follower_t *follower)
{
  for (int i = 0; i < 1000; i++)
    {
      read_some (site, follower, 16);
      if (gp_follower_caught_up (follower))
        return;
    }
}

static void
count_completed (const gp_fold_change_t *change, void *data)
{
  site_t *site = data;

  if (change->kind == GP_FOLD_SNAPSHOT
      && change->u.snapshot.record->record_case
             == GP__RECORD__RECORD__RECORD_SNAPSHOT_END)
    site->completed++;
}

static void
site_init (site_t *site, guint32 seed)
{
  memset (site, 0, sizeof *site);
  site->rand = g_rand_new_with_seed (seed);
  site->log = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  gp_follower_init (&site->live, NULL, count_completed, site);
  for (int i = 0; i < WRITERS; i++)
    {
      site->incarnation[i] = 1;
      gp_snapshot_init (&site->snapshots[i], &limits, site->rand);
    }
}

static void
site_finish (site_t *site)
{
  for (int i = 0; i < WRITERS; i++)
    gp_snapshot_finish (&site->snapshots[i]);
  gp_follower_finish (&site->live);
  g_ptr_array_unref (site->log);
  g_rand_free (site->rand);
}

static void
begin_snapshot (site_t *site, int i)
{
  uint64_t from = gp_follower_read_offset (&site->live);

  gp_snapshot_begin (&site->snapshots[i], &site->live.fold, 0);
  while (gp_snapshot_copy (&site->snapshots[i]))
    {
      CU_ASSERT_PTR_NULL (gp_snapshot_next (&site->snapshots[i], 0));
      read_some (site, &site->live, 16);
    }
  CU_ASSERT_EQUAL (gp_follower_read_offset (&site->live), from); /* not read */
}

/* Append the next record of the snapshot of writer I.  */
static bool
append_snapshot (site_t *site, int i)
{
  const Gp__Record__Record *record = gp_snapshot_next (&site->snapshots[i], 0);

  if (record == NULL)
    return false;
  append_record (site, i == 0 ? "s0" : "s1", site->incarnation[i],
                 ++site->sequence[i], record);
  gp_snapshot_queued (&site->snapshots[i], 0);
  return true;
}

static void
step_writer (site_t *site, int i)
{
  gp_snapshot_t *snapshot = &site->snapshots[i];
  int choice = g_rand_int_range (site->rand, 0, 60);

  if (choice == 0) /* the writer restarts */
    {
      gp_snapshot_abandon (snapshot);
      site->incarnation[i]++;
      site->sequence[i] = 0;
    }
  else if (gp_follower_caught_up (&site->live)
           && (choice == 1 /* even if not due */
               || gp_snapshot_due (snapshot, &site->live.fold,
                                   &site->live.catalog, site->first_offset)))
    begin_snapshot (site, i);
  append_snapshot (site, i);
  if (choice < 15) /* a late duplicate of a recent batch */
    {
      int back = g_rand_int_range (site->rand, 1, 8);
      int at = MAX ((int)site->log->len - back, 0);

      g_ptr_array_add (site->log, g_bytes_ref (site->log->pdata[at]));
    }
}

/* Let a new process read some records.  Whenever it has caught up, its state
   must equal that of the live one.  Returns the number of errors.  */
static size_t
step_reader (site_t *site, gp_follower_t *reader)
{
  size_t wrong = 0;

  read_some (site, reader, (size_t)g_rand_int_range (site->rand, 0, 16));
  if (reader->phase == GP_FOLLOWER_READY)
    wrong += reader->fold.next_offset < site->started;
  if (!gp_follower_caught_up (reader))
    return wrong;
  wrong += gp_fold_digest (&reader->fold) != gp_fold_digest (&site->live.fold);
  site->ready++;
  if (g_rand_int_range (site->rand, 0, 4) != 0)
    return wrong;
  gp_follower_finish (reader);
  gp_follower_init (reader, NULL, NULL, NULL);
  site->started = site->log->len;
  return wrong;
}

static size_t
run_seed (guint32 seed, uint64_t *restarts, size_t *ready)
{
  site_t site;
  gp_follower_t reader;
  size_t wrong = 0;

  site_init (&site, seed);
  gp_follower_init (&reader, NULL, NULL, NULL);
  for (int i = 0; i < STEPS; i++)
    {
      append_load (&site);
      for (int w = 0; w < WRITERS; w++)
        step_writer (&site, w);
      if (site.log->len > RETAINED)
        site.first_offset = site.log->len - RETAINED;
      read_all (&site, &site.live);
      wrong += site.live.restarts != 0;
      wrong += step_reader (&site, &reader);
    }
  *restarts += reader.restarts;
  *ready += site.ready;
  wrong += site.completed == 0;
  gp_follower_finish (&reader);
  site_finish (&site);
  return wrong;
}

static void
test_random (void)
{
  uint64_t restarts = 0;
  size_t ready = 0;

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    CU_ASSERT_EQUAL (run_seed (seed, &restarts, &ready), 0);
  CU_ASSERT_TRUE (restarts > 0);
  CU_ASSERT_TRUE (ready > SEEDS);
}

/* Write the snapshot of writer I without its last LESS records, each batch
   twice.  */
static void
write_snapshot (site_t *site, int i, uint32_t less)
{
  gp_snapshot_t *snapshot = &site->snapshots[i];

  begin_snapshot (site, i);
  while (snapshot->step + less < snapshot->parts_count + 2)
    {
      append_snapshot (site, i);
      g_ptr_array_add (site->log,
                       g_bytes_ref (site->log->pdata[site->log->len - 1]));
    }
}

static void
test_gap (void)
{
  site_t site;
  gp_follower_t reader;

  site_init (&site, 1);
  for (int i = 0; i < 50; i++)
    append_load (&site);
  read_all (&site, &site.live);
  write_snapshot (&site, 0, 1); /* without its End */
  site.first_offset = 10;
  gp_follower_init (&reader, NULL, NULL, NULL);
  read_all (&site, &reader);
  CU_ASSERT_EQUAL (reader.phase, GP_FOLLOWER_SCAN);
  read_all (&site, &site.live);
  CU_ASSERT_EQUAL (site.live.phase, GP_FOLLOWER_READY);
  write_snapshot (&site, 1, 0);
  read_all (&site, &reader);
  read_all (&site, &site.live);
  CU_ASSERT_EQUAL (reader.phase, GP_FOLLOWER_READY);
  CU_ASSERT_EQUAL (reader.restarts, 1); /* at offset 0 */
  CU_ASSERT_EQUAL (gp_fold_digest (&reader.fold),
                   gp_fold_digest (&site.live.fold));
  /* The next offset of a paused reader is dropped.  */
  for (int i = 0; i < 50; i++)
    append_load (&site);
  CU_ASSERT_TRUE (gp_follower_take_rebuilt (&reader));
  site.first_offset = site.log->len - 20;
  read_all (&site, &reader);
  CU_ASSERT_EQUAL (reader.phase, GP_FOLLOWER_SCAN);
  CU_ASSERT_FALSE (gp_follower_take_rebuilt (&reader));
  gp_follower_finish (&reader);
  site_finish (&site);
}

/* A complete snapshot with a wrong digest or checksum is rejected and an older
   one is used.  */
static void
test_corrupt (void)
{
  site_t site;
  gp_follower_t reader;

  site_init (&site, 2);
  for (int i = 0; i < 50; i++)
    append_load (&site);
  read_all (&site, &site.live);
  write_snapshot (&site, 0, 0);
  read_all (&site, &site.live);
  begin_snapshot (&site, 1);
  site.snapshots[1].digest++;
  while (append_snapshot (&site, 1))
    continue;
  read_all (&site, &site.live);
  begin_snapshot (&site, 0);
  site.snapshots[0].checksum++;
  while (append_snapshot (&site, 0))
    continue;
  site.first_offset = 5;
  gp_follower_init (&reader, NULL, NULL, NULL);
  read_all (&site, &reader);
  read_all (&site, &site.live);
  CU_ASSERT_EQUAL (reader.phase, GP_FOLLOWER_READY);
  CU_ASSERT_EQUAL (reader.catalog.rejected_count, 1);
  CU_ASSERT_EQUAL (gp_fold_digest (&reader.fold),
                   gp_fold_digest (&site.live.fold));
  gp_follower_finish (&reader);
  site_finish (&site);
}

static bool
is_due (site_t *site, int i)
{
  read_all (site, &site->live);
  return gp_snapshot_due (&site->snapshots[i], &site->live.fold,
                          &site->live.catalog, site->first_offset);
}

static void
test_due (void)
{
  site_t site;
  int until_due = 0;

  site_init (&site, 3);
  for (; !is_due (&site, 0) && until_due < 100; until_due++)
    append_load (&site);
  /* offset_interval x threshold_factor */
  CU_ASSERT_TRUE (until_due >= 40 && until_due <= 60);
  write_snapshot (&site, 0, 1);
  CU_ASSERT_FALSE (is_due (&site, 1)); /* another process is writing one */
  for (int i = 0; i < 10; i++)
    append_load (&site);
  CU_ASSERT_TRUE (is_due (&site, 1)); /* that one is considered abandoned */
  write_snapshot (&site, 1, 0);
  CU_ASSERT_FALSE (is_due (&site, 1));
  for (int i = 0; i < 10; i++)
    append_load (&site);
  CU_ASSERT_FALSE (is_due (&site, 1));
  site.first_offset = site.log->len - 21; /* half of the log is after it */
  CU_ASSERT_TRUE (is_due (&site, 1));
  site_finish (&site);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "random", test_random },
                                 { "gap", test_gap },
                                 { "corrupt", test_corrupt },
                                 { "due", test_due },
                                 CU_TEST_INFO_NULL };

  return runner_main ("snapshot", tests);
}

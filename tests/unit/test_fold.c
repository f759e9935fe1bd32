/* Compares the fold with a naive reference implementation (fold_twin.c) on
   random batches, including duplicate, stale and malformed ones, and with
   replicas that are loaded from a serialized state.  */

#include <string.h>

#include "fold_twin.h"
#include "runner.h"

#define SEEDS 40
#define STEPS 400
#define RECORDS 4

/* Generation of random records.  */

#define MAKE(slot, field, type, CASE)                                         \
  do                                                                          \
    {                                                                         \
      gp__record__##type##__init (&(slot)->u.field);                          \
      (slot)->record.record_case = GP__RECORD__RECORD__RECORD_##CASE;         \
      (slot)->record.field = &(slot)->u.field;                                \
    }                                                                         \
  while (0)

static void
make_config (fold_slot_t *slot, const fold_twin_t *twin, GRand *rand)
{
  Gp__Record__Config *config = &slot->u.config;
  gp_config_item_t item = { "item", slot->value, sizeof slot->value };

  MAKE (slot, config, config, CONFIG);
  config->base_revision
      = twin->revision - (g_rand_int_range (rand, 0, 4) == 0);
  config->base_revision = MIN (config->base_revision, twin->revision);
  config->revision = config->base_revision + 1;
  memset (slot->value, (int)g_rand_int_range (rand, 0, 256), 8);
  gp_config_digest_items (&item, 1, slot->digest);
  gp__record__config_item__init (&slot->item);
  slot->item.key = "item";
  slot->item.value.data = slot->value;
  slot->item.value.len = sizeof slot->value;
  slot->items[0] = &slot->item;
  config->items = slot->items;
  config->n_items = 1;
  config->full = g_rand_boolean (rand);
  config->digest.data = slot->digest;
  config->digest.len = sizeof slot->digest;
  if (g_rand_int_range (rand, 0, 5) == 0)
    config->digest.data = (uint8_t *)"0123456789abcdef0123456789abcdef";
}

static void
make_adopt (fold_slot_t *slot, const fold_twin_t *twin, GRand *rand)
{
  Gp__Record__Adopt *adopt = &slot->u.adopt;

  MAKE (slot, adopt, adopt, ADOPT);
  adopt->guard = slot->guard_name;
  adopt->incarnation = twin->guards[slot->guard].incarnation
                       + (uint64_t)g_rand_int_range (rand, 0, 3);
  adopt->incarnation = MAX (adopt->incarnation, 1);
  adopt->running = slot->running_list;
  for (int i = 0; i < TASKS; i++)
    {
      if (g_rand_int_range (rand, 0, 3) == 0)
        continue;
      gp__record__task_epoch__init (&slot->running[i]);
      slot->running[i].task = (uint64_t)i + 1;
      slot->running[i].epoch
          = twin->tasks[i].epoch + (g_rand_int_range (rand, 0, 5) == 0);
      slot->running_list[adopt->n_running++] = &slot->running[i];
    }
}

static void
make_task_record (fold_slot_t *slot, const fold_twin_t *twin, GRand *rand,
                  int choice)
{
  uint64_t id = (uint64_t)g_rand_int_range (rand, 1, TASKS + 1);
  uint64_t epoch = twin->tasks[id - 1].epoch;
  bool wrong = g_rand_int_range (rand, 0, 6) == 0;

  if (choice < 3)
    {
      MAKE (slot, submit, submit, SUBMIT);
      slot->u.submit.task = id;
      slot->u.submit.kind = "triage";
      slot->u.submit.team = "desk";
      slot->u.submit.work_class
          = g_rand_boolean (rand) ? GP__WIRE__WORK_CLASS__WORK_CLASS_WATCHER
                                  : GP__WIRE__WORK_CLASS__WORK_CLASS_BATCH;
      slot->u.submit.max_tries = (uint32_t)g_rand_int_range (rand, 0, 3);
    }
  else if (choice < 8)
    {
      MAKE (slot, grant, grant, GRANT);
      slot->u.grant.task = id;
      slot->u.grant.epoch = epoch + (wrong ? 0 : 1);
      slot->u.grant.guard = slot->guard_name;
      slot->u.grant.guard_incarnation
          = MAX (twin->guards[slot->guard].incarnation, 1);
    }
  else if (choice < 12)
    {
      MAKE (slot, end, end, END);
      slot->u.end.task = id;
      slot->u.end.epoch = epoch + wrong;
      slot->u.end.state = g_rand_int_range (rand, TASK_STATE (SUCCEEDED),
                                            TASK_STATE (LOST) + 1);
    }
  else if (choice == 12)
    {
      MAKE (slot, cancel, cancel, CANCEL);
      slot->u.cancel.task = id;
    }
  else if (choice == 13)
    {
      MAKE (slot, park, park, PARK);
      slot->u.park.task = id;
      slot->u.park.reason = GP__RECORD__PARK_REASON__PARK_REASON_FAILS;
    }
  else
    {
      MAKE (slot, unpark, unpark, UNPARK);
      slot->u.unpark.task = id;
    }
}

static void
make_key_record (fold_slot_t *slot, GRand *rand, int choice)
{
  ProtobufCBinaryData key = { GP_FOLD_KEY_SIZE, slot->key };

  memset (slot->key, 0, sizeof slot->key);
  slot->key[0] = (uint8_t)g_rand_int_range (rand, 0, KEYS);
  if (choice % 2 == 0)
    {
      MAKE (slot, intent, intent, INTENT);
      slot->u.intent.key = key;
      return;
    }
  MAKE (slot, outcome, outcome, OUTCOME);
  slot->u.outcome.key = key;
  slot->u.outcome.state = (Gp__Record__KeyState)g_rand_int_range (
      rand, KEY_STATE (RAN), KEY_STATE (NOT_RUN) + 1);
  slot->u.outcome.answer.data = (uint8_t *)"the whole answer";
  slot->u.outcome.answer.len = (size_t)g_rand_int_range (rand, 0, 16);
}

static void
make_record (fold_slot_t *slot, const fold_twin_t *twin, GRand *rand)
{
  int choice = g_rand_int_range (rand, 0, 26);

  gp__record__record__init (&slot->record);
  slot->guard = g_rand_int_range (rand, 0, GUARDS);
  g_snprintf (slot->guard_name, sizeof slot->guard_name, "g%d", slot->guard);
  if (choice < 15)
    make_task_record (slot, twin, rand, choice);
  else if (choice < 17)
    make_adopt (slot, twin, rand);
  else if (choice == 17)
    {
      MAKE (slot, fence, fence, FENCE);
      slot->u.fence.guard = slot->guard_name;
      slot->u.fence.incarnation = twin->guards[slot->guard].incarnation;
    }
  else if (choice == 18)
    {
      MAKE (slot, fence_done, fence_done, FENCE_DONE);
      slot->u.fence_done.guard = slot->guard_name;
      slot->u.fence_done.incarnation = twin->guards[slot->guard].incarnation;
    }
  else if (choice < 25)
    make_key_record (slot, rand, choice);
  else
    make_config (slot, twin, rand);
}

/* A test run with one seed.  */

typedef struct
{
  fold_twin_t twin;
  gp_fold_t fold;
  gp_fold_t replica;
  bool replicated;
  GRand *rand;
  GPtrArray *sent; /* packed batches */
  gp_fold_verdict_t expected[RECORDS];
  size_t expected_count;
  size_t wrong;
} run_t;

static void
check_verdicts (const gp_fold_change_t *change, void *data)
{
  run_t *run = data;

  if (change->kind != GP_FOLD_OWN_BATCH)
    return;
  if (change->u.own.count != run->expected_count
      || memcmp (change->u.own.verdicts, run->expected,
                 run->expected_count * sizeof run->expected[0])
             != 0)
    run->wrong++;
  run->expected_count = 0;
}

static size_t
compare_states (const run_t *run)
{
  const fold_twin_t *twin = &run->twin;
  size_t wrong = run->fold.config.revision != twin->revision;

  for (int i = 0; i < TASKS; i++)
    {
      const fold_twin_task_t *t = &twin->tasks[i];
      const gp_fold_task_t *f = gp_fold_task (&run->fold, (uint64_t)i + 1);

      wrong += (f == NULL ? 0 : f->phase) != t->phase;
      if (f == NULL || t->phase == 0)
        continue;
      wrong += f->epoch != t->epoch || f->tries != t->tries
               || f->losses != t->losses;
      wrong += f->guard != NULL && f->guard->name[1] - '0' != t->guard;
      wrong
          += f->guard != NULL && f->guard->incarnation != t->guard_incarnation;
    }
  for (int i = 0; i < KEYS; i++)
    {
      uint8_t key[GP_FOLD_KEY_SIZE] = { (uint8_t)i };
      const gp_fold_key_t *f = gp_fold_key (&run->fold, key);

      wrong += (f == NULL ? 0 : f->state) != twin->keys[i].state;
    }
  return wrong;
}

static void
load_part (GBytes *part, void *data)
{
  size_t size;
  const uint8_t *bytes = g_bytes_get_data (part, &size);

  CU_ASSERT_TRUE_FATAL (gp_fold_load (data, bytes, size));
  g_bytes_unref (part);
}

static void
start_replica (run_t *run)
{
  gp_fold_saver_t saver;

  if (run->replicated)
    gp_fold_finish (&run->replica);
  gp_fold_init (&run->replica, &fold_twin_limits);
  gp_fold_saver_init (&saver, &run->fold, 200, load_part, &run->replica);
  while (!gp_fold_saver_step (&saver, 3))
    continue;
  run->wrong += saver.digest != gp_fold_digest (&run->fold);
  gp_fold_saver_finish (&saver);
  gp_fold_load_done (&run->replica, run->fold.next_offset - 1);
  run->replicated = true;
}

static gp_fold_result_t
apply_everywhere (run_t *run, GBytes *batch)
{
  uint64_t offset = run->fold.next_offset;
  size_t size;
  const uint8_t *bytes = g_bytes_get_data (batch, &size);
  gp_fold_result_t result
      = gp_fold_apply (&run->fold, offset, bytes, size, check_verdicts, run);

  if (run->replicated)
    {
      gp_fold_apply (&run->replica, offset, bytes, size, NULL, NULL);
      run->wrong
          += gp_fold_digest (&run->replica) != gp_fold_digest (&run->fold);
    }
  run->wrong += compare_states (run);
  return result;
}

static void
send_new (run_t *run)
{
  fold_twin_t *twin = &run->twin;
  int writer = g_rand_int_range (run->rand, 0, WRITERS);
  char name[8];
  fold_slot_t slots[RECORDS] = { 0 };
  Gp__Record__Record *records[RECORDS];
  Gp__Record__Batch batch = GP__RECORD__BATCH__INIT;
  uint8_t *bytes;

  if (twin->incarnation[writer] == 0
      || g_rand_int_range (run->rand, 0, 40) == 0)
    {
      twin->incarnation[writer]++;
      twin->sequence[writer] = 0;
    }
  g_snprintf (name, sizeof name, "w%d", writer);
  batch.version = GP_FOLD_VERSION;
  batch.writer = name;
  batch.incarnation = twin->incarnation[writer];
  batch.sequence = ++twin->sequence[writer];
  batch.wall_us = twin->now + g_rand_int_range (run->rand, -50, 100);
  batch.wall_us = MAX (batch.wall_us, 0);
  if (g_rand_int_range (run->rand, 0, 300) == 0)
    batch.wall_us += KEY_WINDOW; /* a clock that jumps forward */
  fold_twin_clock (twin, writer, batch.wall_us);
  fold_twin_expire (twin);
  batch.n_records = (size_t)g_rand_int_range (run->rand, 1, RECORDS + 1);
  batch.records = records;
  for (size_t i = 0; i < batch.n_records; i++)
    {
      make_record (&slots[i], twin, run->rand);
      records[i] = &slots[i].record;
      run->expected[i] = fold_twin_record (twin, &slots[i], writer);
    }
  run->expected_count = batch.n_records;
  bytes = g_malloc (gp__record__batch__get_packed_size (&batch));
  g_ptr_array_add (
      run->sent,
      g_bytes_new_take (bytes, gp__record__batch__pack (&batch, bytes)));
  gp_fold_set_own_writer (&run->fold, name, batch.incarnation);
  run->wrong += apply_everywhere (run, run->sent->pdata[run->sent->len - 1])
                != GP_FOLD_APPLIED;
  run->wrong += run->expected_count != 0;
}

static void
send_duplicate (run_t *run)
{
  guint at = (guint)g_rand_int_range (run->rand, 0, (int)run->sent->len);
  gp_fold_result_t result = apply_everywhere (run, run->sent->pdata[at]);

  run->wrong += result != GP_FOLD_DUPLICATE && result != GP_FOLD_STALE;
}

static size_t
run_seed (guint32 seed, uint64_t *accepted)
{
  run_t run = { .rand = g_rand_new_with_seed (seed) };
  GBytes *junk = g_bytes_new_static ("\xff\xff\xff junk", 8);

  run.sent = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  for (int i = 0; i < WRITERS; i++)
    run.twin.clock[i] = -1;
  gp_fold_init (&run.fold, &fold_twin_limits);
  for (int i = 0; i < STEPS; i++)
    {
      int choice = g_rand_int_range (run.rand, 0, 20);

      if (choice == 0 && run.sent->len > 0)
        send_duplicate (&run);
      else if (choice == 1)
        run.wrong += apply_everywhere (&run, junk) != GP_FOLD_MALFORMED;
      else
        send_new (&run);
      if (choice == 2)
        start_replica (&run);
    }
  *accepted += run.fold.verdict_count[GP_FOLD_ACCEPTED];
  gp_fold_finish (&run.fold);
  if (run.replicated)
    gp_fold_finish (&run.replica);
  g_ptr_array_unref (run.sent);
  g_bytes_unref (junk);
  g_rand_free (run.rand);
  return run.wrong;
}

static void
test_twin (void)
{
  uint64_t accepted = 0;

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    CU_ASSERT_EQUAL (run_seed (seed, &accepted), 0);
  CU_ASSERT_TRUE (accepted > SEEDS * STEPS / 4);
}

static void
test_offsets (void)
{
  gp_fold_t fold;
  uint8_t later[] = { 0x08, GP_FOLD_VERSION + 1 }; /* field version */

  gp_fold_init (&fold, NULL);
  CU_ASSERT_EQUAL (gp_fold_apply (&fold, 1, NULL, 0, NULL, NULL), GP_FOLD_GAP);
  CU_ASSERT_EQUAL (fold.next_offset, 0);
  CU_ASSERT_EQUAL (gp_fold_apply (&fold, 0, NULL, 0, NULL, NULL),
                   GP_FOLD_MALFORMED);
  CU_ASSERT_EQUAL (gp_fold_apply (&fold, 0, NULL, 0, NULL, NULL), GP_FOLD_OLD);
  CU_ASSERT_EQUAL (gp_fold_apply (&fold, 1, later, sizeof later, NULL, NULL),
                   GP_FOLD_UNREADABLE);
  CU_ASSERT_EQUAL (fold.next_offset, 1);
  gp_fold_finish (&fold);
}

/* Three tasks end with results of 24 bytes in total, above the limit of 20.
   The next batch drops the oldest, which can then be submitted again.  */
static void
test_result_bytes (void)
{
  gp_fold_limits_t limits = fold_twin_limits;
  fold_slot_t slots[10] = { 0 };
  Gp__Record__Record *records[10];
  Gp__Record__Batch batch = GP__RECORD__BATCH__INIT;
  uint8_t bytes[1024];
  gp_fold_t fold;

  limits.result_bytes_max = 20;
  gp_fold_init (&fold, &limits);
  MAKE (&slots[0], adopt, adopt, ADOPT);
  slots[0].u.adopt.guard = "g0";
  slots[0].u.adopt.incarnation = 1;
  for (uint64_t i = 1; i <= 3; i++)
    {
      fold_slot_t *slot = &slots[i];

      MAKE (slot, submit, submit, SUBMIT);
      slot->u.submit.task = i;
      slot->u.submit.kind = "triage";
      slot->u.submit.work_class = GP__WIRE__WORK_CLASS__WORK_CLASS_BATCH;
      MAKE (slot + 3, grant, grant, GRANT);
      slot[3].u.grant.task = i;
      slot[3].u.grant.epoch = 1;
      slot[3].u.grant.guard = "g0";
      slot[3].u.grant.guard_incarnation = 1;
      MAKE (slot + 6, end, end, END);
      slot[6].u.end.task = i;
      slot[6].u.end.epoch = 1;
      slot[6].u.end.state = TASK_STATE (SUCCEEDED);
      slot[6].u.end.result.data = (uint8_t *)"no fault";
      slot[6].u.end.result.len = 8;
    }
  for (int i = 0; i < 10; i++)
    {
      records[i] = &slots[i].record;
      slots[i].record.base.descriptor = &gp__record__record__descriptor;
    }
  batch.writer = "w0";
  batch.incarnation = 1;
  batch.records = records;
  batch.n_records = 10;
  for (batch.sequence = 1; batch.sequence <= 2; batch.sequence++)
    gp_fold_apply (&fold, fold.next_offset, bytes,
                   gp__record__batch__pack (&batch, bytes), NULL, NULL);
  CU_ASSERT_EQUAL (fold.verdict_count[GP_FOLD_ACCEPTED], 10 + 3);
  CU_ASSERT_EQUAL (fold.result_bytes, 24);
  CU_ASSERT_EQUAL (gp_fold_task (&fold, 1)->phase, PHASE (ENDED));
  gp_fold_finish (&fold);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "twin", test_twin },
                                 { "offsets", test_offsets },
                                 { "result bytes", test_result_bytes },
                                 CU_TEST_INFO_NULL };

  return runner_main ("fold", tests);
}

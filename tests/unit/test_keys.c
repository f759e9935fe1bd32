/* Tests of the decision on an idempotency key.  Random histories of a key are
   applied to a fold and to a simple reference model, and both must lead to
   the same decision.  */

#include <string.h>

#include "daemon/keys.h"
#include "runner.h"

enum
{
  SEEDS = 200,
  STEPS = 12,
  OWNERS = 2,
  RECORD_SIZE = 512
};

static const char *const owners[OWNERS] = { "entry-1", "entry-2" };
static const uint8_t key_bytes[GP_FOLD_KEY_SIZE] = "0123456789abcde";

typedef struct
{
  gp_fold_t fold;
  uint64_t incarnation[OWNERS];
  uint64_t sequence[OWNERS];
  /* The reference model: owner and outcome of the key.  */
  bool open;
  bool decided;
  Gp__Record__KeyState state;
  uint64_t request;
  int owner;
  uint64_t owner_incarnation;
  uint64_t heard[OWNERS]; /* highest incarnation in the log */
} world_t;

static void
append (world_t *world, int writer, Gp__Record__Record *record)
{
  Gp__Record__Batch batch = GP__RECORD__BATCH__INIT;
  uint8_t bytes[RECORD_SIZE];
  Gp__Record__Record *records[] = { record };

  batch.version = GP_FOLD_VERSION;
  batch.writer = (char *)owners[writer];
  batch.incarnation = world->incarnation[writer];
  batch.sequence = ++world->sequence[writer];
  batch.n_records = 1;
  batch.records = records;
  CU_ASSERT (gp_fold_apply (&world->fold, world->fold.next_offset, bytes,
                            gp__record__batch__pack (&batch, bytes), NULL,
                            NULL)
             == GP_FOLD_APPLIED);
  world->heard[writer] = world->incarnation[writer];
}

/* Appends a record that has nothing to do with keys.  */
static void
append_other (world_t *world, int writer)
{
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  Gp__Record__Cancel cancel = GP__RECORD__CANCEL__INIT;

  cancel.task = 1;
  record.record_case = GP__RECORD__RECORD__RECORD_CANCEL;
  record.cancel = &cancel;
  append (world, writer, &record);
}

static void
append_intent (world_t *world, int writer, uint64_t request)
{
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  Gp__Record__Intent intent = GP__RECORD__INTENT__INIT;

  intent.key.data = (uint8_t *)key_bytes;
  intent.key.len = sizeof key_bytes;
  intent.request = request;
  record.record_case = GP__RECORD__RECORD__RECORD_INTENT;
  record.intent = &intent;
  append (world, writer, &record);
  if (world->open)
    return;
  world->open = true;
  world->decided = false;
  world->request = request;
  world->owner = writer;
  world->owner_incarnation = world->incarnation[writer];
}

static void
model_outcome (world_t *world, int writer, Gp__Record__KeyState state)
{
  bool is_owner = writer == world->owner
                  && world->incarnation[writer] == world->owner_incarnation;

  if (!world->open
      || (world->decided
          && world->state == GP__RECORD__KEY_STATE__KEY_STATE_RAN))
    return;
  if (state == GP__RECORD__KEY_STATE__KEY_STATE_UNKNOWN ? world->decided
                                                        : !is_owner)
    return;
  world->open = state != GP__RECORD__KEY_STATE__KEY_STATE_NOT_RUN;
  world->decided = true;
  world->state = state;
}

static void
append_outcome (world_t *world, int writer, Gp__Record__KeyState state)
{
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  Gp__Record__Outcome outcome = GP__RECORD__OUTCOME__INIT;

  outcome.key.data = (uint8_t *)key_bytes;
  outcome.key.len = sizeof key_bytes;
  outcome.state = state;
  record.record_case = GP__RECORD__RECORD__RECORD_OUTCOME;
  record.outcome = &outcome;
  append (world, writer, &record);
  model_outcome (world, writer, state);
}

static gp_keys_verdict_t
model_decide (const world_t *world, uint64_t request, bool owner_alive)
{
  if (!world->open)
    return GP_KEYS_RUN;
  if (world->request != request)
    return GP_KEYS_MISMATCH;
  if (world->decided)
    return world->state == GP__RECORD__KEY_STATE__KEY_STATE_RAN
               ? GP_KEYS_REPLAY
               : GP_KEYS_UNKNOWN;
  if (world->heard[world->owner] > world->owner_incarnation || !owner_alive)
    return GP_KEYS_UNKNOWN;
  return GP_KEYS_BUSY;
}

static void
step (world_t *world, GRand *rand)
{
  int writer = g_rand_int_range (rand, 0, OWNERS);

  switch (g_rand_int_range (rand, 0, 4))
    {
    case 0: /* the writer restarts */
      world->incarnation[writer]++;
      world->sequence[writer] = 0;
      append_other (world, writer);
      break;
    case 1:
      append_intent (world, writer, 7 + g_rand_boolean (rand));
      break;
    default:
      append_outcome (world, writer,
                      (Gp__Record__KeyState)g_rand_int_range (rand, 2, 5));
    }
}

static void
test_differential (void)
{
  int seen[GP_KEYS_LATE + 1] = { 0 };

  for (guint32 seed = 0; seed < SEEDS; seed++)
    {
      world_t world = { .incarnation = { 1, 1 } };
      GRand *rand = g_rand_new_with_seed (seed);

      gp_fold_init (&world.fold, NULL);
      for (int i = 0; i < STEPS; i++)
        {
          bool alive = g_rand_boolean (rand);
          gp_keys_verdict_t verdict;

          step (&world, rand);
          verdict = gp_keys_decide (
              &world.fold, gp_fold_key (&world.fold, key_bytes), 7, alive);
          CU_ASSERT (verdict == model_decide (&world, 7, alive));
          seen[verdict]++;
        }
      gp_fold_finish (&world.fold);
      g_rand_free (rand);
    }
  for (int i = GP_KEYS_RUN; i <= GP_KEYS_UNKNOWN; i++)
    CU_ASSERT (seen[i] > 0);
}

static void
test_hash (void)
{
  uint64_t hash = gp_keys_hash ("POST", 4, "/a", 2, "xy", 2);

  CU_ASSERT (hash == gp_keys_hash ("POST", 4, "/a", 2, "xy", 2));
  CU_ASSERT (hash != gp_keys_hash ("POST", 4, "/ax", 3, "y", 1));
  CU_ASSERT (hash != gp_keys_hash ("PUT", 3, "/a", 2, "xy", 2));
  CU_ASSERT (hash != gp_keys_hash ("POST", 4, "/a", 2, NULL, 0));
}

int
main (void)
{
  CU_TestInfo tests[] = { { "differential", test_differential },
                          { "hash", test_hash },
                          CU_TEST_INFO_NULL };

  return runner_main ("keys", tests);
}

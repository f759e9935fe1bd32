/* Replication of the configuration: revisions, deltas, slices and conflicting
   changes.  */

#include <string.h>

#include "state/config.h"
#include "state/fold.h"
#include "runner.h"

#define SEEDS 30
#define REVISIONS 120
#define KEYS 9

typedef struct
{
  char name[16];
  uint8_t value[4];
} item_t;

/* The items are named "a/N" and "b/N"; a slice is the items of one letter.  */
static bool
in_slice (const char *key, void *data)
{
  return key[0] == *(const char *)data;
}

/* Apply the next random revision, as a delta or as the full set of items.  */
static gp_config_result_t
change_config (gp_config_t *config, GRand *rand, bool full)
{
  item_t storage[KEYS * 2];
  gp_config_item_t items[KEYS * 2];
  uint8_t digest[GP_CONFIG_DIGEST_SIZE];
  size_t count = (size_t)g_rand_int_range (rand, 0, 4);
  gp_config_update_t update = { .revision = config->revision + 1,
                                .base = config->revision,
                                .digest = digest,
                                .digest_size = sizeof digest,
                                .items = items,
                                .items_count = count };
  gp_config_t trial;

  for (size_t i = 0; i < count; i++)
    {
      g_snprintf (storage[i].name, sizeof storage[i].name, "%c/%d",
                  g_rand_boolean (rand) ? 'a' : 'b',
                  g_rand_int_range (rand, 0, KEYS));
      memset (storage[i].value, g_rand_int_range (rand, 0, 256),
              sizeof storage[i].value);
      items[i] = (gp_config_item_t){ storage[i].name, storage[i].value,
                                     (size_t)g_rand_int_range (rand, 0, 5) };
    }
  if (full)
    update.base = 0;
  /* Compute the digest from a copy to which the items are added one by one. */
  gp_config_init (&trial);
  if (update.base != 0)
    {
      GBytes *packed = gp_config_pack (config, 0, NULL, NULL);
      Gp__Wire__ConfigUpdate *message = gp__wire__config_update__unpack (
          NULL, g_bytes_get_size (packed), g_bytes_get_data (packed, NULL));

      gp_config_apply_wire (&trial, message);
      gp__wire__config_update__free_unpacked (message, NULL);
      g_bytes_unref (packed);
    }
  for (size_t i = 0; i < count; i++)
    gp_config_load_item (&trial, &items[i]);
  gp_config_digest (&trial, NULL, NULL, digest);
  gp_config_finish (&trial);
  return gp_config_apply (config, &update);
}

static gp_config_result_t
send_update (gp_config_t *holder, const gp_config_t *source, uint64_t have,
             gp_config_filter_t filter, char *letter, size_t *bytes)
{
  GBytes *packed = gp_config_pack (source, have, filter, letter);
  Gp__Wire__ConfigUpdate *message = gp__wire__config_update__unpack (
      NULL, g_bytes_get_size (packed), g_bytes_get_data (packed, NULL));
  gp_config_result_t result = gp_config_apply_wire (holder, message);

  *bytes += g_bytes_get_size (packed);
  gp__wire__config_update__free_unpacked (message, NULL);
  g_bytes_unref (packed);
  return result;
}

static gboolean
compare_item (void *key, void *value, void *data)
{
  GBytes *other = gp_config_get (data, key);

  if (other == NULL || !g_bytes_equal (other, value))
    CU_FAIL ("item differs");
  return FALSE;
}

static void
run_seed (guint32 seed, size_t bytes[2])
{
  GRand *rand = g_rand_new_with_seed (seed);
  gp_config_t source;
  gp_config_t whole;
  gp_config_t slice;
  char letter = 'a';

  gp_config_init (&source);
  gp_config_init (&whole);
  gp_config_init (&slice);
  for (int i = 0; i < REVISIONS; i++)
    {
      CU_ASSERT_EQUAL (
          change_config (&source, rand, g_rand_int_range (rand, 0, 30) == 0),
          GP_CONFIG_APPLIED);
      if (g_rand_int_range (rand, 0, i % 50 == 0 ? 100 : 3) != 0)
        continue;
      CU_ASSERT_EQUAL (
          send_update (&whole, &source, whole.revision, NULL, NULL, &bytes[0]),
          GP_CONFIG_APPLIED);
      CU_ASSERT_EQUAL (send_update (&slice, &source, slice.revision, in_slice,
                                    &letter, &bytes[0]),
                       GP_CONFIG_APPLIED);
      CU_ASSERT_EQUAL (
          memcmp (whole.digest, source.digest, sizeof whole.digest), 0);
      CU_ASSERT_EQUAL (g_tree_nnodes (whole.items),
                       g_tree_nnodes (source.items));
      g_tree_foreach (whole.items, compare_item, &source);
      g_tree_foreach (slice.items, compare_item, &source);
      CU_ASSERT_EQUAL (send_update (&whole, &source, 0, NULL, NULL, &bytes[1]),
                       GP_CONFIG_SAME);
    }
  gp_config_finish (&source);
  gp_config_finish (&whole);
  gp_config_finish (&slice);
  g_rand_free (rand);
}

static void
test_follow (void)
{
  size_t bytes[2] = { 0, 0 }; /* deltas, full updates */

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    run_seed (seed, bytes);
  CU_ASSERT_TRUE (bytes[0] < 2 * bytes[1]); /* bytes[0] counts two receivers */
}

static void
test_never_reverts (void)
{
  GRand *rand = g_rand_new_with_seed (1);
  gp_config_t source;
  gp_config_t holder;
  gp_config_t old;
  size_t bytes = 0;

  gp_config_init (&source);
  gp_config_init (&old);
  gp_config_init (&holder);
  for (int i = 0; i < 5; i++)
    change_config (&source, rand, false);
  send_update (&old, &source, 0, NULL, NULL, &bytes);
  for (int i = 0; i < GP_CONFIG_HISTORY_MAX + 5; i++)
    change_config (&source, rand, false);
  send_update (&holder, &source, 0, NULL, NULL, &bytes);
  CU_ASSERT_EQUAL (send_update (&holder, &old, 0, NULL, NULL, &bytes),
                   GP_CONFIG_STALE);
  CU_ASSERT_EQUAL (holder.revision, source.revision);
  /* A delta to a base that the receiver does not have.  */
  CU_ASSERT_EQUAL (
      send_update (&old, &source, source.revision - 1, NULL, NULL, &bytes),
      GP_CONFIG_BASE_MISMATCH);
  /* The history is too short for a delta, so all items are sent.  */
  CU_ASSERT_EQUAL (
      send_update (&old, &source, old.revision, NULL, NULL, &bytes),
      GP_CONFIG_APPLIED);
  /* A delta that does not produce the digest changes nothing.  */
  change_config (&source, rand, false);
  source.digest[0]++;
  g_tree_replace (holder.items, g_strdup ("c/stray"), g_bytes_new ("x", 1));
  CU_ASSERT_EQUAL (
      send_update (&holder, &source, holder.revision, NULL, NULL, &bytes),
      GP_CONFIG_DIGEST_MISMATCH);
  CU_ASSERT_EQUAL (holder.revision, source.revision - 1);
  gp_config_finish (&source);
  gp_config_finish (&holder);
  gp_config_finish (&old);
  g_rand_free (rand);
}

static gp_fold_verdict_t
publish (gp_fold_t *fold, uint64_t base, char *author, uint64_t sequence)
{
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  Gp__Record__Record *records[] = { &record };
  Gp__Record__Config config = GP__RECORD__CONFIG__INIT;
  Gp__Record__ConfigItem item = GP__RECORD__CONFIG_ITEM__INIT;
  Gp__Record__ConfigItem *items[] = { &item };
  Gp__Record__Batch batch = GP__RECORD__BATCH__INIT;
  uint8_t digest[GP_CONFIG_DIGEST_SIZE];
  gp_config_item_t plain
      = { "service/reclamos-api", (uint8_t *)author, strlen (author) };
  uint64_t before = fold->verdict_count[GP_FOLD_ACCEPTED];
  uint8_t bytes[512];

  item.key = (char *)plain.key;
  item.value.data = (uint8_t *)author;
  item.value.len = strlen (author);
  gp_config_digest_items (&plain, 1, digest);
  config.revision = base + 1;
  config.base_revision = base;
  config.digest.data = digest;
  config.digest.len = sizeof digest;
  config.full = true;
  config.n_items = 1;
  config.items = items;
  config.author = author;
  record.record_case = GP__RECORD__RECORD__RECORD_CONFIG;
  record.config = &config;
  batch.version = GP_FOLD_VERSION;
  batch.writer = author;
  batch.incarnation = 1;
  batch.sequence = sequence;
  batch.n_records = 1;
  batch.records = records;
  gp_fold_apply (fold, fold->next_offset, bytes,
                 gp__record__batch__pack (&batch, bytes), NULL, NULL);
  return fold->verdict_count[GP_FOLD_ACCEPTED] > before ? GP_FOLD_ACCEPTED
                                                        : GP_FOLD_VOID_BASE;
}

static void
test_race (void)
{
  gp_fold_t fold;

  gp_fold_init (&fold, NULL);
  CU_ASSERT_EQUAL (publish (&fold, 0, "ana", 1), GP_FOLD_ACCEPTED);
  CU_ASSERT_EQUAL (publish (&fold, 1, "josef", 1), GP_FOLD_ACCEPTED);
  CU_ASSERT_EQUAL (publish (&fold, 1, "ana", 2), GP_FOLD_VOID_BASE);
  CU_ASSERT_EQUAL (fold.verdict_count[GP_FOLD_VOID_BASE], 1);
  CU_ASSERT_EQUAL (fold.config.revision, 2);
  CU_ASSERT_STRING_EQUAL (gp_config_newest_change (&fold.config)->author,
                          "josef");
  gp_fold_finish (&fold);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "follow", test_follow },
                                 { "never reverts", test_never_reverts },
                                 { "race", test_race },
                                 CU_TEST_INFO_NULL };

  return runner_main ("config", tests);
}

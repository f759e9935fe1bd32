/* Tests of team quotas: a scripted transcript, and random races between
   several entries.  */

#include "runner.h"

#include <stdio.h>

#include "coordination/quota.h"

enum
{
  ENTRIES = 3,
  TASKS = 400,
  STEPS = 5000
};

static const gp_resources_t limit = { 10000, 40000, 2 };

static void
print_team (const char *what, const gp_quota_t *quota, bool answer)
{
  gp_quota_team_t team = gp_quota_team (quota, 0);

  printf ("%s: %s, charged %u proposed %u share %.2f\n", what,
          answer ? "yes" : "no", team.charged.millicores,
          team.proposed.millicores, gp_quota_share (quota, 0));
}

static void
test_transcript (void)
{
  gp_quota_t quota;
  gp_quota_charge_t a = { .resources = { 6000, 1000, 0 } };
  gp_quota_charge_t b = a;
  gp_resources_t lower = { 3000, 40000, 0 };

  gp_quota_init (&quota);
  print_team ("no quota", &quota, gp_quota_propose (&quota, &a));
  gp_quota_set_limit (&quota, 0, &limit);
  print_team ("a proposed", &quota, gp_quota_propose (&quota, &a));
  print_team ("b proposed", &quota, gp_quota_propose (&quota, &b));
  print_team ("b granted by another", &quota, gp_quota_grant (&quota, &b));
  print_team ("a granted", &quota, gp_quota_grant (&quota, &a));
  gp_quota_set_limit (&quota, 0, &lower);
  print_team ("lowered", &quota, gp_quota_propose (&quota, &a));
  gp_quota_release (&quota, &b);
  gp_quota_release (&quota, &b);
  print_team ("b ended", &quota, gp_quota_propose (&quota, &a));
  gp_quota_finish (&quota);
}

/* Several entries read the same log at different speeds and make proposals
   according to their own view; the charges that they agree on never exceed
   the quota.  */
typedef struct
{
  gp_quota_t quota;
  gp_quota_charge_t charges[TASKS];
  bool granted[TASKS];
  unsigned int read; /* number of log records read */
} reader_t;

typedef struct
{
  unsigned int task;
  bool end;
} record_t;

static void
read_record (reader_t *reader, const record_t *record)
{
  gp_quota_charge_t *charge = &reader->charges[record->task];
  gp_resources_t used;

  if (record->end)
    gp_quota_release (&reader->quota, charge);
  else if (charge->state != GP_QUOTA_CHARGED)
    reader->granted[record->task] = gp_quota_grant (&reader->quota, charge);
  used = gp_quota_team (&reader->quota, charge->team).charged;
  CU_ASSERT_TRUE (gp_resources_fit (&used, &limit));
}

static void
reader_init (reader_t *reader)
{
  gp_quota_init (&reader->quota);
  for (uint32_t team = 0; team < 4; team++)
    gp_quota_set_limit (&reader->quota, team, &limit);
  for (unsigned int i = 0; i < TASKS; i++)
    {
      reader->charges[i].team = i % 4;
      reader->charges[i].resources
          = (gp_resources_t){ 500 + 100 * (i % 31), 100 * i, i % 7 == 0 };
    }
}

static void
race (uint32_t seed)
{
  reader_t *readers = g_new0 (reader_t, ENTRIES);
  GArray *log = g_array_new (FALSE, FALSE, sizeof (record_t));
  GRand *random = g_rand_new_with_seed (seed);
  unsigned int refused = 0;

  for (unsigned int i = 0; i < ENTRIES; i++)
    reader_init (&readers[i]);
  for (unsigned int step = 0; step < STEPS; step++)
    {
      reader_t *reader = &readers[g_rand_int_range (random, 0, ENTRIES)];
      record_t record = { (unsigned int)g_rand_int_range (random, 0, TASKS),
                          g_rand_boolean (random) };
      gp_quota_charge_t *charge = &reader->charges[record.task];

      if (reader->read < log->len && g_rand_int_range (random, 0, 3) > 0)
        read_record (reader, &g_array_index (log, record_t, reader->read++));
      else if (record.end ? charge->state == GP_QUOTA_CHARGED
                          : charge->state == GP_QUOTA_NONE
                                && gp_quota_propose (&reader->quota, charge))
        g_array_append_val (log, record);
    }
  for (unsigned int i = 0; i < ENTRIES; i++)
    while (readers[i].read < log->len)
      read_record (&readers[i],
                   &g_array_index (log, record_t, readers[i].read++));
  for (unsigned int i = 0; i < TASKS; i++)
    {
      CU_ASSERT_EQUAL (readers[0].charges[i].state,
                       readers[1].charges[i].state);
      refused += !readers[0].granted[i];
    }
  CU_ASSERT_TRUE (refused > 0);
  for (unsigned int i = 0; i < ENTRIES; i++)
    gp_quota_finish (&readers[i].quota);
  g_rand_free (random);
  g_array_free (log, TRUE);
  g_free (readers);
}

static void
test_race (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    race (seed);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "transcript", test_transcript },
                                 { "race", test_race },
                                 CU_TEST_INFO_NULL };

  return runner_main ("quota", tests);
}

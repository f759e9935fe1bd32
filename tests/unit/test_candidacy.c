/* Tests of the decision which entry leads, in virtual time.

   Guards against a site that a weak entry leads for good once the strong ones
   were restarted, and against entries that pass leadership around when there
   is no strong one.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "jobs/candidacy.h"
#include "runner.h"

#define ENTRIES_MAX 8
#define STEP (10 * GP_MSEC)
#define BEGIN (100 * GP_SEC)
#define HEARTBEAT_INTERVAL (250 * GP_MSEC)
/* Without a record for this time, followers claim leadership.  */
#define TAKEOVER_TIMEOUT (1500 * GP_MSEC)
/* From the start of a process until it has loaded the log.  */
#define LOAD_TIME (500 * GP_MSEC)
/* Followers read every 100 ms, and a claim takes a read and an append.  */
#define READ_INTERVAL (100 * GP_MSEC)
#define CLAIM_TIME (30 * GP_MSEC)
#define RECORDS_MAX 20000

static const gp_candidacy_capacity_t strong = { 500, 200000 };
static const gp_candidacy_capacity_t weak = { 120, 10000 };
static const gp_candidacy_capacity_t unknown = { 0, 0 };

typedef struct
{
  int writer;
  bool resigned;
} record_t;

typedef struct
{
  char name[8];
  gp_candidacy_capacity_t capacity;
  bool alive;
  uint64_t incarnation;
  gp_candidacy_t candidacy;
  gp_time_t loaded_at;
  gp_time_t read_due;
  gp_time_t heard_at; /* the last record was read */
  gp_time_t claim_at; /* the append of its claim ends, 0: none in flight */
  size_t claim_next;  /* the position at which that append has to be */
  size_t next;        /* the next record to read */
  bool resigned;      /* the last record read says so */
} entry_t;

typedef struct
{
  entry_t entries[ENTRIES_MAX];
  int count;
  record_t log[RECORDS_MAX];
  size_t end;
  gp_time_t now;
  gp_time_t append_time;
  gp_time_t append_due;
  int leader; /* -1: none */
  unsigned handovers;
  gp_time_t resigned_at;
  gp_time_t longest_gap; /* from a resignation to the next leader */
  gp_time_t weak_time;   /* for how long weak entries have led */
} world_t;

static void
announce_to (world_t *world, int from, int to)
{
  const entry_t *entry = &world->entries[from];

  if (from != to && world->entries[to].alive)
    gp_candidacy_entry_announced (&world->entries[to].candidacy, entry->name,
                                  entry->incarnation, entry->capacity,
                                  world->now);
}

static void
start (world_t *world, int index)
{
  entry_t *entry = &world->entries[index];

  entry->alive = true;
  entry->incarnation++;
  gp_candidacy_init (&entry->candidacy, entry->name);
  gp_candidacy_set_capacity (&entry->candidacy, entry->capacity);
  entry->loaded_at = world->now + LOAD_TIME;
  entry->heard_at = entry->loaded_at;
  entry->read_due = entry->loaded_at;
  entry->claim_at = 0;
  entry->next = world->end > 0 ? world->end - 1 : 0;
  entry->resigned = true;
  for (int i = 0; i < world->count; i++)
    {
      announce_to (world, index, i);
      if (world->entries[i].incarnation > 0)
        announce_to (world, i, index);
    }
}

static void
kill_entry (world_t *world, int index)
{
  entry_t *entry = &world->entries[index];

  if (!entry->alive)
    return;
  entry->alive = false;
  gp_candidacy_finish (&entry->candidacy);
  if (world->leader == index)
    world->leader = -1;
}

static void
append (world_t *world, int writer, bool resigned)
{
  g_assert_cmpuint (world->end, <, RECORDS_MAX);
  world->log[world->end++] = (record_t){ writer, resigned };
  world->append_due
      = world->now + MAX (HEARTBEAT_INTERVAL, world->append_time);
}

/* A planned stop.  */
static void
stop (world_t *world, int index)
{
  if (world->leader == index)
    {
      append (world, index, true);
      world->resigned_at = world->now;
    }
  kill_entry (world, index);
}

static void
lead (world_t *world)
{
  entry_t *entry = &world->entries[world->leader];

  if (entry->capacity.cpu_milli == weak.cpu_milli)
    world->weak_time += STEP;
  if (world->now < world->append_due)
    return;
  if (!gp_candidacy_hands_over (&entry->candidacy, world->append_time,
                                world->now))
    {
      append (world, world->leader, false);
      return;
    }
  append (world, world->leader, true);
  gp_candidacy_leader_read (&entry->candidacy, entry->name, true,
                            world->end - 1, world->now);
  entry->next = world->end - 1;
  entry->loaded_at = world->now + LOAD_TIME;
  entry->read_due = entry->loaded_at;
  world->resigned_at = world->now;
  world->handovers++;
  world->leader = -1;
}

static void
read_log (world_t *world, entry_t *entry)
{
  if (world->now < entry->read_due)
    return;
  entry->read_due = world->now + READ_INTERVAL;
  for (; entry->next < world->end; entry->next++)
    {
      const record_t *record = &world->log[entry->next];

      gp_candidacy_leader_read (&entry->candidacy,
                                world->entries[record->writer].name,
                                record->resigned, entry->next, world->now);
      entry->resigned = record->resigned;
      entry->heard_at = world->now;
    }
}

static void
take (world_t *world, int index)
{
  world->leader = index;
  if (world->resigned_at > 0)
    world->longest_gap
        = MAX (world->longest_gap, world->now - world->resigned_at);
  world->resigned_at = 0;
  gp_candidacy_taken (&world->entries[index].candidacy, world->now);
  append (world, index, false);
}

static gp_time_t
claim_due (const entry_t *entry)
{
  if (entry->next == 0)
    return entry->loaded_at - LOAD_TIME
           + gp_candidacy_claim_delay (&entry->candidacy);
  return entry->heard_at + (entry->resigned ? 0 : TAKEOVER_TIMEOUT)
         + gp_candidacy_claim_delay (&entry->candidacy);
}

/* The append of a claim succeeds only if its writer has read everything.  */
static void
follow (world_t *world, int index)
{
  entry_t *entry = &world->entries[index];

  read_log (world, entry);
  if (entry->claim_at == 0 && world->now >= entry->loaded_at
      && world->now >= claim_due (entry))
    {
      entry->claim_at = world->now + CLAIM_TIME + world->append_time;
      entry->claim_next = entry->next;
    }
  if (entry->claim_at == 0 || world->now < entry->claim_at)
    return;
  entry->claim_at = 0;
  if (entry->claim_next == world->end)
    take (world, index);
}

static void
run (world_t *world, gp_time_t time)
{
  gp_time_t end = world->now + time;

  for (; world->now < end; world->now += STEP)
    {
      if (world->leader >= 0)
        lead (world);
      for (int i = 0; i < world->count; i++)
        if (world->entries[i].alive && i != world->leader)
          follow (world, i);
    }
}

/* Entries with the CAPACITIES start one after the other.  */
static world_t *
world_new (int count, const gp_candidacy_capacity_t *const *capacities)
{
  world_t *world = g_new0 (world_t, 1);

  world->count = count;
  world->now = BEGIN;
  world->append_time = 10 * GP_MSEC;
  world->leader = -1;
  for (int i = 0; i < count; i++)
    {
      g_snprintf (world->entries[i].name, sizeof world->entries[i].name, "e%d",
                  i);
      world->entries[i].capacity = *capacities[i];
    }
  for (int i = 0; i < count; i++)
    {
      start (world, i);
      run (world, 40 * GP_MSEC);
    }
  return world;
}

static bool
strong_leads (const world_t *world)
{
  return world->leader >= 0
         && world->entries[world->leader].capacity.cpu_milli
                == strong.cpu_milli;
}

/* Prints what happened in SECONDS, and forgets it.  */
static void
report (world_t *world, const char *what, int seconds)
{
  run (world, seconds * GP_SEC);
  printf ("  %s: %s leads; handovers: %u; without a leader after a "
          "resignation: at most %d ms; led by weak ones: %.1f s\n",
          what,
          world->leader < 0      ? "nobody"
          : strong_leads (world) ? "a strong one"
                                 : "another",
          world->handovers, (int)(world->longest_gap / GP_MSEC),
          (double)world->weak_time / GP_SEC);
  world->handovers = 0;
  world->longest_gap = 0;
  world->weak_time = 0;
}

static void
world_free (world_t *world)
{
  for (int i = 0; i < world->count; i++)
    kill_entry (world, i);
  g_free (world);
}

static const gp_candidacy_capacity_t *const mixed[]
    = { &weak, &weak, &strong, &weak, &strong, &weak };

static void
test_restarts_in_turn (void)
{
  world_t *world = world_new (6, mixed);

  printf ("all entries are restarted in turn\n");
  report (world, "after the first start", 12);
  CU_ASSERT_TRUE (strong_leads (world));
  for (int i = 0; i < world->count; i++)
    {
      stop (world, i);
      run (world, GP_SEC);
      start (world, i);
      run (world, 3 * GP_SEC);
    }
  CU_ASSERT_TRUE (world->longest_gap < 500 * GP_MSEC);
  report (world, "afterwards", 8);
  CU_ASSERT_TRUE (strong_leads (world));
  world_free (world);
}

static void
test_strong_ones_killed (void)
{
  world_t *world = world_new (6, mixed);

  printf ("the strong ones are killed in turn and come back\n");
  report (world, "after the first start", 12);
  kill_entry (world, 2);
  report (world, "one killed", 10);
  CU_ASSERT_TRUE (strong_leads (world));
  kill_entry (world, 4);
  report (world, "both killed", 20);
  CU_ASSERT_FALSE (strong_leads (world));
  start (world, 2);
  report (world, "one back", 10);
  CU_ASSERT_TRUE (strong_leads (world));
  kill_entry (world, 2);
  start (world, 4);
  report (world, "the other instead", 15);
  CU_ASSERT_TRUE (strong_leads (world));
  world_free (world);
}

static void
test_slow_store (void)
{
  world_t *world = world_new (
      2, (const gp_candidacy_capacity_t *const[]){ &weak, &unknown });

  printf ("the store is slow while a weak entry leads\n");
  run (world, 2 * GP_SEC);
  CU_ASSERT_EQUAL_FATAL (world->leader, 0);
  world->append_time = GP_CANDIDACY_APPEND_LIMIT;
  kill_entry (world, 1);
  world->entries[1].capacity = strong;
  start (world, 1);
  report (world, "slow", 60);
  CU_ASSERT_EQUAL (world->leader, 0);
  world->append_time = GP_CANDIDACY_APPEND_LIMIT - STEP;
  report (world, "a little faster", 2);
  CU_ASSERT_TRUE (strong_leads (world));
  world_free (world);
}

/* Guards against two leaders: both strong entries claim with the same
   position, and one append is refused.  */
static void
test_two_strong_ones (void)
{
  world_t *world = world_new (1, mixed);

  printf ("two strong entries start at once beside a weak leader\n");
  run (world, 10 * GP_SEC);
  CU_ASSERT_EQUAL_FATAL (world->leader, 0);
  world->weak_time = 0;
  for (int i = 1; i < 3; i++)
    {
      g_snprintf (world->entries[i].name, sizeof world->entries[i].name, "e%d",
                  i);
      world->entries[i].capacity = strong;
    }
  world->count = 3;
  start (world, 1);
  start (world, 2);
  report (world, "together", 4);
  CU_ASSERT_TRUE (strong_leads (world));
  report (world, "later", 60);
  CU_ASSERT_TRUE (strong_leads (world));
  world_free (world);
}

static void
test_unknown_capacities (void)
{
  world_t *world = world_new (4, (const gp_candidacy_capacity_t *const[]){
                                     &unknown, &strong, &unknown, &weak });

  printf ("an entry of unknown capacity leads, as before\n");
  report (world, "for a minute", 60);
  CU_ASSERT_EQUAL (world->leader, 0);
  CU_ASSERT_EQUAL (gp_candidacy_claim_delay (&world->entries[0].candidacy), 0);
  CU_ASSERT_EQUAL (gp_candidacy_claim_delay (&world->entries[1].candidacy), 0);
  CU_ASSERT_EQUAL (gp_candidacy_claim_delay (&world->entries[3].candidacy),
                   GP_CANDIDACY_CLAIM_DELAY);
  world_free (world);
}

/* Guards against entries that pass leadership around when no strong one is
   left, whose records remain.  The waiting times of 5, 10, 20 and 40 s and
   then 60 s allow six handovers in the first three minutes.  */
static void
test_only_weak_ones_left (void)
{
  world_t *world = world_new (6, mixed);

  printf ("the strong ones are gone for good\n");
  run (world, 12 * GP_SEC);
  kill_entry (world, 2);
  kill_entry (world, 4);
  run (world, 1500 * GP_MSEC);
  world->handovers = 0;
  world->weak_time = 0;
  run (world, 180 * GP_SEC);
  CU_ASSERT_TRUE (world->handovers <= 6);
  report (world, "in the next five minutes", 120);
  run (world, 570 * GP_SEC);
  CU_ASSERT_TRUE (world->handovers <= 10);
  report (world, "in ten more minutes", 30);
  start (world, 4);
  report (world, "one is back", 5);
  CU_ASSERT_TRUE (strong_leads (world));
  world_free (world);
}

/* A strong entry is killed whenever it leads, and comes back.  Guards
   against more than one handover for each of its processes: it gets
   leadership after it has loaded the log and the weak one has led for its
   time.  */
static void
test_strong_one_fails (void)
{
  world_t *world = world_new (
      3, (const gp_candidacy_capacity_t *const[]){ &weak, &weak, &strong });
  unsigned kills = 0;

  printf ("the only strong entry is killed a second after it has begun to "
          "lead\n");
  for (int second = 0; second < 300; second++)
    {
      bool led = strong_leads (world);

      run (world, GP_SEC);
      if (!led || !strong_leads (world))
        continue;
      kill_entry (world, 2);
      start (world, 2);
      kills++;
    }
  printf ("  killed %u times in 300 s\n", kills);
  CU_ASSERT_TRUE (
      world->handovers
      <= 1 + 300 * GP_SEC / (GP_CANDIDACY_LOAD_TIME + GP_CANDIDACY_LEAD_TIME));
  report (world, "left alone", 70);
  CU_ASSERT_TRUE (strong_leads (world));
  world_free (world);
}

static gp_time_t
delay_beside (gp_candidacy_capacity_t own, gp_candidacy_capacity_t other)
{
  gp_candidacy_t candidacy;
  gp_time_t delay;

  gp_candidacy_init (&candidacy, "e0");
  gp_candidacy_set_capacity (&candidacy, own);
  gp_candidacy_entry_announced (&candidacy, "e1", 1, other, BEGIN);
  delay = gp_candidacy_claim_delay (&candidacy);
  gp_candidacy_finish (&candidacy);
  return delay;
}

static void
test_comparison (void)
{
  static const struct
  {
    gp_candidacy_capacity_t own;
    gp_candidacy_capacity_t other;
    bool weak;
  } cases[] = {
    { { 120, 10000 }, { 500, 200000 }, true },
    { { 120, 10000 }, { 240, 10000 }, true },
    { { 120, 10000 }, { 239, 19999 }, false },
    { { 120, 10000 }, { 120, 20000 }, true },
    { { 120, 10000 }, { 500, 9999 }, false },
    { { 500, 200000 }, { 120, 10000 }, false },
    { { 120, 0 }, { 500, 200000 }, true },
    { { 120, 10000 }, { 500, 0 }, true },
    { { 0, 10000 }, { 500, 10000 }, false },
    { { 0, 0 }, { 500, 200000 }, false },
    { { 120, 10000 }, { 0, 0 }, false },
    { { 3000000000, 1 }, { 4000000000, 1 }, false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    CU_ASSERT_EQUAL (delay_beside (cases[i].own, cases[i].other),
                     cases[i].weak ? GP_CANDIDACY_CLAIM_DELAY : 0);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "comparison", test_comparison },
          { "restarts in turn", test_restarts_in_turn },
          { "strong ones killed", test_strong_ones_killed },
          { "slow store", test_slow_store },
          { "two strong ones", test_two_strong_ones },
          { "unknown capacities", test_unknown_capacities },
          { "only weak ones left", test_only_weak_ones_left },
          { "the strong one fails", test_strong_one_fails },
          CU_TEST_INFO_NULL };

  return runner_main ("candidacy", tests);
}

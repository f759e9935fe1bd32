/* Tests of membership: a scripted run printed as a transcript, random runs
   compared with a reference implementation, and updates passed from one
   table to another.  */

#include <stdio.h>
#include <string.h>

#include "coordination/members.h"
#include "runner.h"

#define N_GUARDS 6
#define N_ENTRIES 3
#define N_STEPS 4000
#define N_SEEDS 20

static const char *const state_names[]
    = { "joining", "serving", "suspect", "leaving", "gone" };
static const char *const reach_names[] = { "none", "up", "down" };
static const char *const guard_names[N_GUARDS]
    = { "guard-0", "guard-1", "guard-2", "guard-3", "guard-4", "guard-5" };
static const char *const entry_names[N_ENTRIES]
    = { "entry-0", "entry-1", "entry-2" };

static gp_announcement_t
announcement (const char *name, uint64_t incarnation, bool leaving)
{
  return (gp_announcement_t){ .name = name,
                              .address = "127.0.0.1:7000",
                              .region = "andina",
                              .zone = "tunja",
                              .service = "reclamos-api",
                              .incarnation = incarnation,
                              .slots = 8,
                              .connections = 64,
                              .leaving = leaving };
}

/* Scripted run.  */

static void
show (gp_members_t *members, const char *event, gp_time_t now)
{
  gp_member_t *member;

  printf ("%6.1f s  %s\n", (double)now / (double)GP_SEC, event);
  while ((member = gp_members_next_change (members)) != NULL)
    printf ("          %s/%d %s %s%s\n", member->announcement.name,
            (int)member->announcement.incarnation, state_names[member->state],
            reach_names[member->reach],
            gp_member_routable (member) ? " routable" : "");
}

static void
announce (gp_members_t *members, const char *name, uint64_t incarnation,
          gp_time_t now)
{
  gp_announcement_t a = announcement (name, incarnation, false);
  gp_members_result_t result = gp_members_announce (members, &a, now);

  show (members, result == GP_MEMBERS_STALE ? "announce: stale" : "announce",
        now);
}

static void
apply_update (gp_members_t *members, const char *reporter, const char *name,
              bool gone, gp_time_t now)
{
  gp_member_news_t news = { .announcement = announcement (name, 1, false),
                            .load.at = now,
                            .gone = gone };

  gp_members_apply_news (members, reporter, &news, now);
  show (members, gone ? "news: gone" : "news: heard", now);
}

static void
tick (gp_members_t *members, gp_time_t now)
{
  gp_members_tick (members, now);
  show (members, "tick", now);
}

static void
test_script (void)
{
  gp_members_settings_t settings = GP_MEMBERS_SETTINGS_DEFAULT;
  gp_members_t members;
  gp_time_t t = 0;

  gp_members_init (&members, &settings);
  announce (&members, "a", 1, t);
  gp_members_heartbeat (&members, "a", 1, NULL, t += GP_SEC);
  show (&members, "heartbeat", t);
  tick (&members, t += 6 * GP_SEC - 1);
  tick (&members, t += 1);
  gp_members_heartbeat (&members, "a", 1, NULL, t += GP_SEC);
  show (&members, "heartbeat after a pause", t);
  gp_members_connection_lost (&members, "a", 1, t += GP_SEC);
  show (&members, "connection lost", t);
  announce (&members, "a", 2, t += GP_SEC);
  announce (&members, "a", 1, t);
  gp_members_leaving (&members, "a", 1, t);
  show (&members, "leaving, of an old incarnation", t);
  gp_members_leaving (&members, "a", 2, t);
  show (&members, "leaving", t);
  announce (&members, "a", 2, t += GP_SEC);
  gp_members_connection_lost (&members, "a", 2, t);
  show (&members, "connection lost", t);
  gp_members_reporter_open (&members, "entry-1", t += GP_SEC);
  gp_members_reporter_open (&members, "entry-2", t);
  apply_update (&members, "entry-1", "b", false, t);
  apply_update (&members, "entry-2", "b", false, t);
  gp_members_connection_open (&members, "b", 1);
  show (&members, "connection open", t);
  apply_update (&members, "entry-1", "b", true, t);
  tick (&members, t += 6 * GP_SEC);
  gp_members_reporter_heard (&members, "entry-2", t += GP_SEC);
  show (&members, "reporter heard again", t);
  gp_members_reporter_open (&members, "entry-2", t += GP_SEC);
  tick (&members, t += 5 * GP_SEC);
  gp_members_reporter_heard (&members, "entry-2", t);
  tick (&members, t += GP_SEC);
  tick (&members, t += 30 * GP_SEC);
  tick (&members, t + 60 * GP_SEC);
  CU_ASSERT_EQUAL (gp_members_count (&members), 0);
  gp_members_finish (&members);
}

/* Reference implementation, which records the events and derives the state
   by scanning them.  */

typedef struct
{
  bool known;
  bool leaving;
  bool direct;
  bool heartbeat_received;
  gp_reach_t reach;
  uint64_t incarnation;
  gp_time_t heard_at;
  uint64_t report_generation[N_ENTRIES]; /* connection generation of the
                               reporter's last report, or 0 */
  gp_member_state_t state;
  gp_time_t state_since;
} naive_guard_t;

typedef struct
{
  naive_guard_t guards[N_GUARDS];
  uint64_t generation[N_ENTRIES]; /* 0 if never open */
  gp_time_t opened_at[N_ENTRIES];
  gp_time_t heard_at[N_ENTRIES];
} naive_t;

/* Drops what has expired at NOW.  */
static void
naive_expire (naive_t *naive, gp_time_t now)
{
  gp_members_settings_t s = GP_MEMBERS_SETTINGS_DEFAULT;

  for (int g = 0; g < N_GUARDS; g++)
    {
      naive_guard_t *guard = &naive->guards[g];

      if (now >= guard->heard_at + s.suspect_after)
        guard->direct = false;
      for (int e = 0; e < N_ENTRIES; e++)
        if ((guard->report_generation[e] < naive->generation[e]
             && now >= naive->opened_at[e] + s.suspect_after)
            || now >= naive->heard_at[e] + s.gone_after + s.forget_after)
          guard->report_generation[e] = 0;
    }
}

static gp_member_state_t
naive_state (const naive_t *naive, const naive_guard_t *guard, gp_time_t now)
{
  gp_members_settings_t s = GP_MEMBERS_SETTINGS_DEFAULT;
  bool others = false;

  for (int e = 0; e < N_ENTRIES; e++)
    if (guard->report_generation[e] != 0
        && now < naive->heard_at[e] + s.suspect_after)
      others = true;
  if (others || guard->direct)
    {
      if (guard->leaving)
        return GP_MEMBER_LEAVING;
      return others || guard->heartbeat_received ? GP_MEMBER_SERVING
                                                 : GP_MEMBER_JOINING;
    }
  if (guard->leaving || guard->state == GP_MEMBER_GONE)
    return GP_MEMBER_GONE;
  if (guard->state == GP_MEMBER_SUSPECT
      && now >= guard->state_since + s.gone_after)
    return GP_MEMBER_GONE;
  return GP_MEMBER_SUSPECT;
}

static void
naive_update_states (naive_t *naive, gp_time_t now)
{
  gp_members_settings_t s = GP_MEMBERS_SETTINGS_DEFAULT;

  for (int g = 0; g < N_GUARDS; g++)
    {
      naive_guard_t *guard = &naive->guards[g];
      gp_member_state_t state = naive_state (naive, guard, now);

      if (!guard->known)
        continue;
      if (state != guard->state)
        guard->state_since = now;
      guard->state = state;
      if (state == GP_MEMBER_GONE
          && now >= guard->state_since + s.forget_after)
        *guard = (naive_guard_t){ .heard_at = INT32_MIN };
    }
}

/* Returns true if an event of INCARNATION is accepted.  An announcement of
   a newer incarnation resets the guard.  */
static bool
naive_accept (naive_guard_t *guard, uint64_t incarnation, bool announces)
{
  if (guard->known && incarnation == guard->incarnation)
    return true;
  if (!announces || (guard->known && incarnation < guard->incarnation))
    return false;
  *guard
      = (naive_guard_t){ .known = true,
                         .incarnation = incarnation,
                         .heard_at = INT32_MIN,
                         .state = guard->known ? guard->state : GP_MEMBER_GONE,
                         .state_since = guard->state_since };
  return true;
}

typedef struct
{
  gp_members_t members;
  naive_t naive;
  gp_member_t seen[N_GUARDS]; /* copies as of the last change taken */
  GRand *rand;
  gp_time_t now;
} pair_t;

static void
guard_event (pair_t *pair, int g, uint64_t incarnation)
{
  naive_guard_t *guard = &pair->naive.guards[g];
  const char *name = guard_names[g];
  gp_announcement_t a = announcement (name, incarnation, false);
  int kind = g_rand_int_range (pair->rand, 0, 12);
  bool counts = naive_accept (guard, incarnation, kind == 0);

  a.slots = (uint32_t)g_rand_int_range (pair->rand, 8, 10);
  if (kind == 0)
    {
      gp_members_announce (&pair->members, &a, pair->now);
      if (counts)
        guard->reach = GP_REACH_UP;
      guard->heartbeat_received
          = counts ? guard->heartbeat_received && guard->direct
                   : guard->heartbeat_received;
    }
  else if (kind == 1)
    {
      gp_members_connection_lost (&pair->members, name, incarnation,
                                  pair->now);
      guard->direct = guard->direct && !counts;
      guard->reach = counts ? GP_REACH_DOWN : guard->reach;
    }
  else if (kind == 2)
    {
      gp_members_leaving (&pair->members, name, incarnation, pair->now);
      guard->leaving = guard->leaving || counts;
    }
  else if (kind == 3)
    {
      gp_members_connection_open (&pair->members, name, incarnation);
      guard->reach = counts ? GP_REACH_UP : guard->reach;
    }
  else
    {
      gp_members_heartbeat (&pair->members, name, incarnation, NULL,
                            pair->now);
      counts = counts && (guard->direct || guard->reach == GP_REACH_UP);
      guard->heartbeat_received = guard->heartbeat_received || counts;
    }
  if (counts && (kind == 0 || kind > 3))
    {
      guard->direct = true;
      guard->heard_at = pair->now;
    }
}

static void
entry_event (pair_t *pair, int g, int e, uint64_t incarnation)
{
  naive_t *naive = &pair->naive;
  naive_guard_t *guard = &naive->guards[g];
  int kind = g_rand_int_range (pair->rand, 0, 8);
  gp_member_news_t news = { .announcement = announcement (
                                guard_names[g], incarnation, kind == 3),
                            .gone = kind == 2 };
  bool known = naive->generation[e] != 0
               && pair->now < naive->heard_at[e] + 90 * GP_SEC;

  if (kind == 0)
    {
      gp_members_reporter_open (&pair->members, entry_names[e], pair->now);
      naive->generation[e]++;
      naive->opened_at[e] = pair->now;
      naive->heard_at[e] = pair->now;
      return;
    }
  CU_ASSERT_EQUAL (
      gp_members_reporter_heard (&pair->members, entry_names[e], pair->now),
      known);
  if (!known)
    return;
  naive->heard_at[e] = pair->now;
  naive_update_states (naive,
                       pair->now); /* for the table these are two events */
  if (kind > 4)
    return;
  gp_members_apply_news (&pair->members, entry_names[e], &news, pair->now);
  if (naive_accept (guard, incarnation, !news.gone))
    {
      guard->report_generation[e] = news.gone ? 0 : naive->generation[e];
      guard->leaving = guard->leaving || kind == 3;
    }
}

static int
guard_index (const gp_member_t *member)
{
  return member->announcement.name[strlen ("guard-")] - '0';
}

/* Takes the changes and checks that members not among them are unchanged.  */
static void
check_changes (pair_t *pair)
{
  gp_member_t *member;

  while ((member = gp_members_next_change (&pair->members)) != NULL)
    pair->seen[guard_index (member)] = *member;
  for (int g = 0; g < N_GUARDS; g++)
    {
      const gp_member_t *seen = &pair->seen[g];

      member = gp_members_find (&pair->members, guard_names[g]);
      if (member == NULL)
        continue;
      CU_ASSERT_EQUAL_FATAL (seen->state, member->state);
      CU_ASSERT_EQUAL_FATAL (seen->reach, member->reach);
      CU_ASSERT_EQUAL_FATAL (seen->announcement.incarnation,
                             member->announcement.incarnation);
      CU_ASSERT_EQUAL_FATAL (seen->announcement.slots,
                             member->announcement.slots);
    }
}

static void
compare (pair_t *pair)
{
  for (int g = 0; g < N_GUARDS; g++)
    {
      const naive_guard_t *guard = &pair->naive.guards[g];
      const gp_member_t *member
          = gp_members_find (&pair->members, guard_names[g]);

      CU_ASSERT_EQUAL_FATAL (guard->known, member != NULL);
      if (member == NULL)
        continue;
      CU_ASSERT_EQUAL_FATAL (guard->state, member->state);
      CU_ASSERT_EQUAL_FATAL (guard->reach, member->reach);
      CU_ASSERT_EQUAL_FATAL (guard->direct, member->direct);
    }
}

static void
pair_step (pair_t *pair)
{
  int g = g_rand_int_range (pair->rand, 0, N_GUARDS);
  uint64_t incarnation = pair->naive.guards[g].incarnation;
  int other = g_rand_int_range (pair->rand, 0, 30);
  gp_time_t pause = g_rand_int_range (pair->rand, 0, 100) == 0 ? 130 : 2;

  incarnation += other == 0 ? 1 : 0;
  incarnation -= other == 1 && incarnation > 0 ? 1 : 0;
  pair->now += g_rand_int_range (pair->rand, 0, (gint32)(pause * GP_SEC));
  naive_expire (&pair->naive, pair->now);
  naive_update_states (&pair->naive, pair->now);
  gp_members_tick (&pair->members, pair->now);
  if (g_rand_boolean (pair->rand))
    guard_event (pair, g, incarnation);
  else
    entry_event (pair, g, g_rand_int_range (pair->rand, 0, N_ENTRIES),
                 incarnation);
  naive_update_states (&pair->naive, pair->now);
  check_changes (pair);
  compare (pair);
}

static void
test_twin (void)
{
  gp_members_settings_t settings = GP_MEMBERS_SETTINGS_DEFAULT;

  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    {
      pair_t pair = { .rand = g_rand_new_with_seed (seed) };

      gp_members_init (&pair.members, &settings);
      for (int g = 0; g < N_GUARDS; g++)
        pair.naive.guards[g].heard_at = INT32_MIN;
      for (int i = 0; i < N_STEPS; i++)
        pair_step (&pair);
      gp_members_finish (&pair.members);
      g_rand_free (pair.rand);
    }
}

/* Updates sent in pieces bring another table to the same state.  */

static size_t
deliver_update (const gp_member_news_t *news, void *data)
{
  gp_members_apply_news (data, "entry-0", news, 0);
  return 1;
}

static void
test_news (void)
{
  gp_members_settings_t settings = GP_MEMBERS_SETTINGS_DEFAULT;
  pair_t home = { .rand = g_rand_new_with_seed (7) };
  gp_members_t away;
  uint64_t cursor = 0;

  gp_members_init (&home.members, &settings);
  gp_members_init (&away, &settings);
  gp_members_reporter_open (&away, "entry-0", 0);
  for (int i = 0; i < N_STEPS; i++)
    {
      int g = g_rand_int_range (home.rand, 0, N_GUARDS);
      size_t budget = (size_t)g_rand_int_range (home.rand, 0, 3);

      guard_event (&home, g, home.naive.guards[g].incarnation + (i % 50 == 0));
      cursor = gp_members_visit_news (&home.members, cursor, budget,
                                      deliver_update, &away);
      if (i % 10 != 0)
        continue;
      cursor = gp_members_visit_news (&home.members, cursor, N_GUARDS,
                                      deliver_update, &away);
      for (g = 0; g < N_GUARDS; g++)
        {
          const gp_member_t *a
              = gp_members_find (&home.members, guard_names[g]);
          const gp_member_t *b = gp_members_find (&away, guard_names[g]);
          bool alive = b != NULL
                       && (b->state == GP_MEMBER_SERVING
                           || b->state == GP_MEMBER_LEAVING);

          CU_ASSERT_EQUAL_FATAL (a != NULL && a->direct, alive);
          if (alive)
            CU_ASSERT_EQUAL (a->announcement.leaving, b->announcement.leaving);
        }
    }
  gp_members_finish (&home.members);
  gp_members_finish (&away);
  g_rand_free (home.rand);
}

/* Only a newer load is accepted, and a reader that missed the removal of a
   member gets the result that its cursor is lost.  */
static void
test_news_edges (void)
{
  gp_members_settings_t settings = GP_MEMBERS_SETTINGS_DEFAULT;
  gp_announcement_t a = announcement ("guard-0", 1, false);
  gp_member_news_t news = { .announcement = a };
  gp_members_t members;
  uint64_t cursor;

  gp_members_init (&members, &settings);
  gp_members_reporter_open (&members, "entry-0", 0);
  news.load = (gp_load_t){ .running = 5, .at = 10 };
  gp_members_apply_news (&members, "entry-0", &news, 10);
  news.load = (gp_load_t){ .running = 3, .at = 9 };
  gp_members_apply_news (&members, "entry-0", &news, 10);
  CU_ASSERT_EQUAL (gp_members_find (&members, "guard-0")->load.running, 5);
  gp_members_finish (&members);

  gp_members_init (&members, &settings);
  gp_members_announce (&members, &a, 0);
  cursor = members.sequence;
  CU_ASSERT_FALSE (gp_members_cursor_lost (&members, cursor));
  for (gp_time_t now = 0; now < 200 * GP_SEC; now += GP_SEC)
    {
      gp_members_tick (&members, now);
      while (gp_members_next_change (&members) != NULL)
        ;
    }
  CU_ASSERT_EQUAL (gp_members_count (&members), 0);
  CU_ASSERT_TRUE (gp_members_cursor_lost (&members, cursor));
  CU_ASSERT_FALSE (gp_members_cursor_lost (&members, 0));
  gp_members_finish (&members);
}

/* Home entries: one is in the guard's zone and one outside, and removing
   entries moves only the guards that had them as homes.  */

#define N_HOMES 18

static void
test_homes (void)
{
  gp_home_t entries[N_HOMES];
  char names[N_HOMES][16];
  static const char *const zones[] = { "z0", "z1", "z2" };
  static const char *const regions[] = { "r0", "r1", "r2" };
  size_t without = 0;
  size_t moved = 0;

  for (size_t i = 0; i < N_HOMES; i++)
    {
      g_snprintf (names[i], sizeof names[i], "entry-%zu", i);
      entries[i] = (gp_home_t){ names[i], regions[i / 6], zones[i % 3] };
    }
  for (int g = 0; g < 300; g++)
    {
      char guard[16];
      size_t before[GP_HOMES_MAX];
      size_t after[GP_HOMES_MAX];

      g_snprintf (guard, sizeof guard, "guard-%d", g);
      CU_ASSERT_EQUAL (
          gp_homes_choose (guard, "r1", "z2", entries, N_HOMES, before), 2);
      CU_ASSERT_STRING_EQUAL (entries[before[0]].zone, "z2");
      CU_ASSERT_STRING_NOT_EQUAL (entries[before[1]].zone, "z2");
      CU_ASSERT_STRING_EQUAL (entries[before[0]].region, "r1");
      CU_ASSERT_STRING_EQUAL (entries[before[1]].region, "r1");
      gp_homes_choose (guard, "r1", "z2", entries, N_HOMES - 7, after);
      without += before[0] == N_HOMES - 7 || before[1] == N_HOMES - 7;
      moved += before[0] != after[0] || before[1] != after[1];
    }
  CU_ASSERT_EQUAL (moved, without);
  CU_ASSERT_EQUAL (
      gp_homes_choose ("g", "r0", "elsewhere", entries, 1, (size_t[2]){ 0 }),
      1);
  CU_ASSERT_EQUAL (gp_homes_interval (11, 3, 70, 10000), 2 * GP_SEC);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "script", test_script }, { "twin", test_twin },
          { "news", test_news },     { "news edges", test_news_edges },
          { "homes", test_homes },   CU_TEST_INFO_NULL };

  return runner_main ("members", tests);
}

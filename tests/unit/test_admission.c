/* Tests of admission: scripted transcripts, and random runs compared with
   a reference implementation.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "admission_twin.h"
#include "runner.h"

static const char *const reason_names[]
    = { "queue full", "deadline", "leaving", "cancelled", "limit" };

/* Scripted transcripts.  */

enum
{
  SCRIPT_REQUESTS = 32
};

typedef struct
{
  gp_admission_t admission;
  gp_request_quota_t wide; /* team without limits */
  gp_request_quota_t
      narrow; /* team limited to one running and one queued request */
  gp_admission_kind_t kind;
  gp_admission_request_t requests[SCRIPT_REQUESTS];
} script_t;

static void
print_actions (script_t *script, gp_time_t now)
{
  gp_admission_request_t *r;
  gp_time_t next = gp_admission_next_deadline (&script->admission);

  while ((r = gp_admission_next_action (&script->admission)) != NULL)
    {
      int number = (int)(r - script->requests);

      if (r->state == GP_ADMISSION_STARTED)
        printf ("  %d started\n", number);
      else
        printf ("  %d refused: %s, retry in %d ms\n", number,
                reason_names[r->reason], (int)((r->retry_at - now) / GP_MSEC));
    }
  if (next != GP_TIME_NEVER)
    printf ("  next at %d\n", (int)(next / GP_MSEC));
}

/* Runs one line: TIME VERB [NUMBER [CLASS TEAM DEADLINE [DUE]]], with
   times in ms.  */
static void
run_line (script_t *script, const char *line)
{
  char verb[16] = "";
  char work_class[16] = "";
  char team[16] = "";
  int at = 0;
  int number = 0;
  int deadline = 0;
  int due = 0;
  gp_time_t now;
  gp_admission_request_t *r;

  sscanf (line, "%d %15s %d %15s %15s %d %d", &at, verb, &number, work_class,
          team, &deadline, &due);
  now = at * GP_MSEC;
  r = &script->requests[number];
  printf ("%s\n", line);
  if (strcmp (verb, "submit") == 0)
    {
      *r = (gp_admission_request_t){
        .work_class = strcmp (work_class, "batch") == 0
                          ? GP_ADMISSION_BATCH
                          : GP_ADMISSION_LATENCY_CRITICAL,
        .team = strcmp (team, "wide") == 0 ? &script->wide : &script->narrow,
        .kind = &script->kind,
        .deadline = deadline * GP_MSEC,
        .due = due * GP_MSEC
      };
      gp_admission_submit (&script->admission, r, now);
    }
  else if (strcmp (verb, "finish") == 0)
    gp_admission_finish (&script->admission, r, GP_ADMISSION_FAILED, true,
                         now);
  else if (strcmp (verb, "break") == 0)
    gp_admission_finish (&script->admission, r, GP_ADMISSION_FAILED, false,
                         now);
  else if (strcmp (verb, "closed") == 0)
    gp_admission_close_connection (&script->admission, false, now);
  else if (strcmp (verb, "cancel") == 0)
    printf ("  %s\n", gp_admission_cancel (&script->admission, r, now)
                          ? "did not run"
                          : "too late");
  else if (strcmp (verb, "leave") == 0)
    gp_admission_leave (&script->admission, now);
  else
    gp_admission_advance (&script->admission, now);
  print_actions (script, now);
}

static void
run_script (const char *title, const char *const *lines)
{
  static const gp_admission_options_t options
      = { .slots = 2,
          .connections = 3,
          .max_queued = 4,
          .critical_reserve = 1,
          .batch_share = 1,
          .reserve_duration = 1000 * GP_MSEC,
          .max_critical_wait = 500 * GP_MSEC };
  script_t script;

  gp_admission_init (&script.admission, &options);
  gp_request_quota_init (&script.wide, GP_ADMISSION_UNLIMITED,
                         GP_ADMISSION_UNLIMITED);
  gp_request_quota_init (&script.narrow, 1, 1);
  gp_admission_kind_init (&script.kind, GP_ADMISSION_UNLIMITED,
                          GP_ADMISSION_UNLIMITED, 100 * GP_MSEC);
  printf ("# %s\n", title);
  for (; *lines != NULL; lines++)
    run_line (&script, *lines);
}

static void
test_script (void)
{
  static const char *const precedence[] = { "0 submit 0 critical wide 900",
                                            "0 submit 1 batch wide 900",
                                            "1 submit 2 batch wide 2000",
                                            "2 submit 3 critical wide 900",
                                            "3 submit 4 critical wide 700",
                                            "10 finish 0",
                                            "20 finish 1",
                                            "30 finish 4",
                                            "40 finish 3",
                                            NULL };
  static const char *const targets[] = { "0 submit 0 critical wide 9000 250",
                                         "0 submit 1 critical wide 9000 250",
                                         "1 submit 2 critical wide 4000 251",
                                         "2 submit 3 critical wide 1000 252",
                                         "3 submit 4 critical wide 4000 253",
                                         "4 submit 5 critical wide 900 9000",
                                         "10 finish 0",
                                         "20 finish 1",
                                         "30 finish 2",
                                         "40 finish 3",
                                         NULL };
  static const char *const urgent[] = { "0 submit 0 critical wide 900",
                                        "0 submit 1 critical wide 900",
                                        "1 submit 2 batch wide 500",
                                        "2 submit 3 batch wide 501",
                                        "3 submit 4 critical wide 900",
                                        "310 finish 0",
                                        "320 finish 1",
                                        "330 finish 4",
                                        "340 finish 2",
                                        NULL };
  static const char *const reserve[] = { "0 submit 0 critical wide 900",
                                         "5 finish 0",
                                         "10 submit 1 batch wide 5000",
                                         "10 submit 2 batch wide 5000",
                                         "1000 advance",
                                         NULL };
  static const char *const full[] = { "0 submit 0 critical wide 9000",
                                      "0 submit 1 critical wide 9000",
                                      "1 submit 2 batch wide 9000",
                                      "1 submit 3 batch wide 8000",
                                      "1 submit 4 batch wide 7000",
                                      "1 submit 5 batch wide 6000",
                                      "2 submit 6 batch wide 5000",
                                      "3 submit 7 critical wide 5000",
                                      "4 submit 8 critical wide 5000",
                                      "5 submit 9 critical wide 5000",
                                      "6 submit 10 critical wide 500",
                                      "7 submit 11 critical wide 5000",
                                      "480 submit 12 batch wide 5000",
                                      "4910 submit 13 batch wide 9900",
                                      NULL };
  static const char *const deadlines[] = { "0 submit 0 critical wide 900",
                                           "0 submit 1 critical wide 900",
                                           "1 submit 2 critical wide 150",
                                           "1 submit 3 critical wide 350",
                                           "1 submit 4 critical wide 1",
                                           "2 submit 5 critical wide 320",
                                           "2 submit 6 critical wide 290",
                                           "320 finish 0",
                                           "330 advance",
                                           "340 finish 1",
                                           NULL };
  static const char *const groups[] = { "0 submit 0 critical narrow 900",
                                        "1 submit 1 critical narrow 900",
                                        "2 submit 2 critical narrow 900",
                                        "3 submit 3 critical wide 900",
                                        "4 submit 4 critical wide 900",
                                        "10 finish 3",
                                        "20 finish 0",
                                        NULL };
  static const char *const endings[] = { "0 submit 0 critical wide 900",
                                         "0 submit 1 critical wide 900",
                                         "1 submit 2 critical wide 900",
                                         "2 cancel 2",
                                         "3 cancel 0",
                                         "4 break 0",
                                         "5 break 1",
                                         "6 submit 3 critical wide 900",
                                         "7 submit 4 critical wide 900",
                                         "8 closed",
                                         "9 submit 5 critical wide 900",
                                         "10 leave",
                                         "11 submit 6 batch wide 900",
                                         "12 finish 3",
                                         "13 finish 4",
                                         NULL };

  run_script ("latency-critical before batch", precedence);
  run_script ("equal targets, different deadlines: by arrival", targets);
  run_script ("batch out of laxity has its share", urgent);
  run_script ("the reserve lapses", reserve);
  run_script ("a full queue", full);
  run_script ("deadlines", deadlines);
  run_script ("limits of a team", groups);
  run_script ("cancel, connections, leave", endings);
}

/* Comparison with the reference implementation.  */

enum
{
  SEEDS = 60,
  REQUESTS = 250,
  GROUPS = 3
};

typedef struct
{
  GRand *random;
  gp_time_t now;
  gp_admission_t admission;
  admission_twin_t twin;
  gp_request_quota_t
      teams[2][GROUPS]; /* of the module and of the reference implementation */
  gp_admission_kind_t kinds[2][GROUPS];
  gp_admission_request_t requests[2][REQUESTS];
  int submitted;
  int actions;
  bool started[REQUESTS];
  int mismatches;
  int breaches;
} pair_t;

static uint32_t
random_limit (GRand *random, int low, int high)
{
  if (g_rand_int_range (random, 0, 3) == 0)
    return GP_ADMISSION_UNLIMITED;
  return g_rand_int_range (random, low, high);
}

static void
pair_init (pair_t *pair, guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  gp_admission_options_t options
      = { .slots = g_rand_int_range (random, 1, 9),
          .connections = g_rand_int_range (random, 2, 14),
          .max_queued = g_rand_int_range (random, 1, 40),
          .reserve_duration = g_rand_int_range (random, 1, 200) * GP_MSEC,
          .max_critical_wait = g_rand_int_range (random, 1, 300) * GP_MSEC };

  *pair = (pair_t){ .random = random };
  options.critical_reserve = g_rand_int_range (random, 0, options.slots);
  options.batch_share = g_rand_int_range (random, 0, options.slots + 1);
  gp_admission_init (&pair->admission, &options);
  admission_twin_init (&pair->twin, &options);
  for (int i = 0; i < GROUPS; i++)
    {
      uint32_t running = random_limit (random, 1, 4);
      uint32_t queued = random_limit (random, 5, 20);
      gp_time_t declared = g_rand_int_range (random, 1, 15) * GP_MSEC;

      for (int side = 0; side < 2; side++)
        {
          gp_request_quota_init (&pair->teams[side][i], running, queued);
          gp_admission_kind_init (&pair->kinds[side][i], running, queued,
                                  declared);
        }
    }
}

static void
pair_submit (pair_t *pair)
{
  int number = pair->submitted++;
  int team = g_rand_int_range (pair->random, 0, GROUPS);
  int kind = g_rand_int_range (pair->random, 0, GROUPS);
  int work_class = g_rand_int_range (pair->random, 0, GP_ADMISSION_CLASSES);
  gp_time_t deadline
      = pair->now + g_rand_int_range (pair->random, -5, 500) * GP_MSEC;
  gp_time_t due = 0;

  if (g_rand_boolean (pair->random))
    due = pair->now + g_rand_int_range (pair->random, 0, 250) * GP_MSEC;
  for (int side = 0; side < 2; side++)
    {
      pair->requests[side][number]
          = (gp_admission_request_t){ .work_class = work_class,
                                      .deadline = deadline,
                                      .due = due,
                                      .team = &pair->teams[side][team],
                                      .kind = &pair->kinds[side][kind] };
    }
  gp_admission_submit (&pair->admission, &pair->requests[0][number],
                       pair->now);
  admission_twin_submit (&pair->twin, &pair->requests[1][number], pair->now);
}

static void
pair_finish (pair_t *pair, int number)
{
  bool keep = g_rand_boolean (pair->random);
  gp_admission_end_t end = g_rand_int_range (pair->random, 0, 2);

  if (pair->requests[0][number].state != GP_ADMISSION_STARTED
      || pair->requests[1][number].state != GP_ADMISSION_STARTED)
    return;
  gp_admission_finish (&pair->admission, &pair->requests[0][number], end, keep,
                       pair->now);
  admission_twin_finish (&pair->twin, &pair->requests[1][number], end, keep,
                         pair->now);
}

static void
pair_cancel (pair_t *pair, int number)
{
  gp_admission_cancel (&pair->admission, &pair->requests[0][number],
                       pair->now);
  admission_twin_cancel (&pair->twin, &pair->requests[1][number], pair->now);
}

static void
pair_close (pair_t *pair)
{
  uint32_t held = pair->admission.running[0] + pair->admission.running[1]
                  + pair->admission.idle_connections;

  if (pair->admission.open_connections > held)
    {
      pair->twin.open--;
      gp_admission_close_connection (&pair->admission, false, pair->now);
    }
  else if (pair->admission.idle_connections > 0)
    {
      pair->twin.open--;
      pair->twin.idle--;
      gp_admission_close_connection (&pair->admission, true, pair->now);
    }
  gp_admission_advance (&pair->admission, pair->now);
  admission_twin_advance (&pair->twin, pair->now);
}

static void
pair_set_limits (pair_t *pair)
{
  int team = g_rand_int_range (pair->random, 0, GROUPS);
  uint32_t running = random_limit (pair->random, 1, 6);
  uint32_t queued = random_limit (pair->random, 1, 20);

  pair->teams[1][team].max_running = running;
  pair->teams[1][team].max_queued = queued;
  gp_admission_set_limits (&pair->admission, &pair->teams[0][team], running,
                           queued, pair->now);
  admission_twin_advance (&pair->twin, pair->now);
}

/* Compares the actions since the last call and checks the hard limits.  */
static void
pair_compare (pair_t *pair)
{
  const gp_admission_options_t *options = &pair->admission.options;
  gp_admission_request_t *a;

  while ((a = gp_admission_next_action (&pair->admission)) != NULL)
    {
      int number = (int)(a - pair->requests[0]);
      const gp_admission_request_t *b = &pair->requests[1][number];
      guint index = pair->actions++;

      if (index >= pair->twin.actions->len
          || pair->twin.actions->pdata[index] != b || a->state != b->state
          || a->started_at != b->started_at || a->reason != b->reason
          || a->retry_at != b->retry_at)
        pair->mismatches++;
      if (pair->started[number])
        pair->breaches++; /* a second decision on the same request */
      pair->started[number] |= a->state == GP_ADMISSION_STARTED;
    }
  pair->mismatches += (guint)pair->actions != pair->twin.actions->len;
  pair->breaches
      += pair->admission.running[0] + pair->admission.running[1]
             > options->slots
         || pair->admission.open_connections > options->connections
         || pair->admission.queue.count[0] + pair->admission.queue.count[1]
                > options->max_queued;
}

/* Returns the number of the first started request from NUMBER on, wrapping
   around, or NUMBER if there is none.  */
static int
started_from (const pair_t *pair, int number)
{
  for (int i = 0; i < pair->submitted; i++)
    {
      int candidate = (number + i) % pair->submitted;

      if (pair->requests[0][candidate].state == GP_ADMISSION_STARTED)
        return candidate;
    }
  return number;
}

static void
pair_step (pair_t *pair)
{
  int number = g_rand_int_range (pair->random, 0, MAX (pair->submitted, 1));
  int choice = g_rand_int_range (pair->random, 0, 100);

  pair->now += g_rand_int_range (pair->random, 0, 4) * GP_MSEC;
  if (choice < 40 && pair->submitted < REQUESTS)
    pair_submit (pair);
  else if (choice < 80)
    pair_finish (pair, started_from (pair, number));
  else if (choice < 83 && pair->submitted > 0)
    pair_cancel (pair, number);
  else if (choice < 90)
    pair_close (pair);
  else if (choice < 92)
    pair_set_limits (pair);
  else
    {
      gp_time_t next = gp_admission_next_deadline (&pair->admission);

      if (next != GP_TIME_NEVER && choice < 95)
        pair->now = MAX (pair->now, next);
      gp_admission_advance (&pair->admission, pair->now);
      admission_twin_advance (&pair->twin, pair->now);
    }
  pair_compare (pair);
}

/* Checks that nothing happens before the time returned by
   gp_admission_next_deadline.  */
static void
pair_check_next_deadline (pair_t *pair)
{
  gp_time_t next;

  gp_admission_advance (&pair->admission, pair->now);
  admission_twin_advance (&pair->twin, pair->now);
  pair_compare (pair);
  next = gp_admission_next_deadline (&pair->admission);
  if (next == GP_TIME_NEVER)
    return;
  pair->now = MAX (pair->now, next - 1);
  admission_twin_advance (&pair->twin, pair->now);
  pair_compare (pair);
}

static void
pair_end (pair_t *pair)
{
  gp_admission_leave (&pair->admission, pair->now);
  admission_twin_leave (&pair->twin, pair->now);
  pair_compare (pair);
  for (int i = 0; i < pair->submitted; i++)
    pair_finish (pair, i);
  pair_compare (pair);
  CU_ASSERT_TRUE (gp_admission_drained (&pair->admission));
  CU_ASSERT_EQUAL (pair->actions, pair->submitted);
  CU_ASSERT_EQUAL (pair->admission.queue.work[0], 0);
  CU_ASSERT_EQUAL (pair->admission.queue.work[1], 0);
  CU_ASSERT_EQUAL (pair->mismatches, 0);
  CU_ASSERT_EQUAL (pair->breaches, 0);
  CU_ASSERT_EQUAL (pair->twin.breaches, 0);
  admission_twin_clear (&pair->twin);
  g_rand_free (pair->random);
}

static void
test_differential (void)
{
  pair_t *pair = g_new (pair_t, 1);

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      pair_init (pair, seed);
      for (int step = 0; step < 3 * REQUESTS; step++)
        {
          pair_step (pair);
          if (step % 20 == 0)
            pair_check_next_deadline (pair);
        }
      pair_end (pair);
    }
  g_free (pair);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "script", test_script },
                          { "differential", test_differential },
                          CU_TEST_INFO_NULL };

  return runner_main ("admission", tests);
}

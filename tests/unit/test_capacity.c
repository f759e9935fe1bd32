/* Tests of a worker's reservations: scripted transcripts, and random runs
   that check the invariants by recomputing the sums.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "coordination/capacity.h"
#include "runner.h"

static void
print_resources (const gp_resources_t *r)
{
  printf ("%u m, %u MiB, %u acc", r->millicores, r->memory_mib,
          r->accelerators);
}

/* Scripted transcripts.  */

enum
{
  SCRIPT_TASKS = 16
};

static void
print_state (gp_capacity_t *capacity)
{
  static const char *const names[]
      = { "none", "raise", "throttle", "unthrottle", "evict" };
  gp_resources_t headroom = gp_capacity_headroom (capacity);
  gp_capacity_action_t action;

  while (gp_capacity_next_action (capacity, &action))
    {
      printf ("  %s %d", names[action.kind], (int)action.task);
      switch (action.kind)
        {
        case GP_CAPACITY_RAISE:
        case GP_CAPACITY_UNTHROTTLE:
          printf (" at ");
          print_resources (&action.u.raise);
          break;
        case GP_CAPACITY_EVICT:
          printf (action.u.evict == GP_CAPACITY_SHORTAGE ? " for a shortage"
                                                         : " for its use");
          break;
        case GP_CAPACITY_NONE:
        case GP_CAPACITY_THROTTLE:
          break;
        }
      printf ("\n");
    }
  printf ("  headroom ");
  print_resources (&headroom);
  printf ("\n");
}

/* Runs one line: TIME VERB TASK EPOCH MILLICORES MEMORY ACCELERATORS.  The
   eviction cost of a task is its number.  "total" and "service" use only
   the last three; "observe" reports a measurement whose interval begins
   now, "late" one that began 10 s ago.  */
static void
run_line (gp_capacity_t *capacity, gp_capacity_task_t *tasks, const char *line)
{
  static const char *const verdicts[] = { "reserved", "no room", "present" };
  char verb[16] = "";
  int at = 0;
  int id = 0;
  int epoch = 0;
  gp_resources_t r = { 0, 0, 0 };
  gp_time_t now;

  sscanf (line, "%d %15s %d %d %u %u %u", &at, verb, &id, &epoch,
          &r.millicores, &r.memory_mib, &r.accelerators);
  now = at * GP_SEC;
  printf ("%s\n", line);
  if (strcmp (verb, "reserve") == 0 || strcmp (verb, "adopt") == 0)
    {
      gp_capacity_task_t *task = &tasks[id + 8 * (epoch - 1)];

      *task = (gp_capacity_task_t){
        .id = id, .epoch = epoch, .eviction_cost = id, .reserved = r
      };
      if (strcmp (verb, "adopt") == 0)
        printf ("  %s\n", verdicts[gp_capacity_adopt (capacity, task, now)]);
      else
        printf ("  %s\n",
                verdicts[gp_capacity_reserve (capacity, task, now, NULL)]);
    }
  else if (strcmp (verb, "observe") == 0)
    gp_capacity_observe (capacity, id, epoch, &r, now, now);
  else if (strcmp (verb, "late") == 0)
    gp_capacity_observe (capacity, id, epoch, &r, now - 10 * GP_SEC, now);
  else if (strcmp (verb, "release") == 0)
    printf ("  %s\n", gp_capacity_release (capacity, id, epoch, now) != NULL
                          ? "gone"
                          : "no such task");
  else if (strcmp (verb, "total") == 0)
    gp_capacity_resize (capacity, &r, &capacity->service, now);
  else if (strcmp (verb, "service") == 0)
    gp_capacity_resize (capacity, &capacity->total, &r, now);
  print_state (capacity);
}

static void
run_script (const char *title, const char *const *lines)
{
  static const gp_resources_t total = { 16000, 60000, 2 };
  static const gp_resources_t service = { 4000, 10000, 0 };
  gp_capacity_task_t tasks[SCRIPT_TASKS];
  gp_capacity_t capacity;

  gp_capacity_init (&capacity, &total, &service);
  printf ("# %s\n", title);
  for (; *lines != NULL; lines++)
    run_line (&capacity, tasks, *lines);
}

static void
test_script (void)
{
  static const char *const reserve[] = { "0 reserve 1 1 6000 20000 1",
                                         "0 reserve 2 1 6000 20000 2",
                                         "0 reserve 2 1 6000 40000 1",
                                         "0 reserve 2 1 7000 20000 1",
                                         "0 reserve 2 1 6000 20000 1",
                                         "0 reserve 1 2 0 0 0",
                                         "1 release 1 2 0 0 0",
                                         "1 release 1 1 0 0 0",
                                         "1 release 1 1 0 0 0",
                                         "2 reserve 1 2 6000 20000 1",
                                         NULL };
  static const char *const over[]
      = { "0 reserve 1 1 4000 20000 0",   "0 reserve 2 1 6000 20000 0",
          "1 observe 1 1 4800 20000 0",   "2 late 1 1 9000 20000 0",
          "3 observe 1 1 9000 20000 0",   "4 observe 1 9 9000 20000 0",
          "4 observe 1 1 5400 20000 0",   "5 release 2 1 0 0 0",
          "6 reserve 3 1 1800 20000 0",   "7 observe 1 1 11000 20000 0",
          "8 observe 1 1 11000 20000 0",  "9 observe 1 1 11000 20000 0",
          "10 observe 1 1 11000 20000 0", "11 observe 1 1 11000 20000 0",
          "12 release 1 1 0 0 0",         NULL };
  static const char *const calm[]
      = { "0 reserve 1 1 6000 9000 0", "0 reserve 2 1 6000 9000 0",
          "1 observe 1 1 8000 9000 0", "2 observe 1 1 5000 9000 0",
          "3 observe 1 1 5900 9000 0", "4 observe 1 1 5000 9000 0",
          "5 observe 1 1 5000 9000 0", "6 observe 1 1 5000 9000 0",
          "7 observe 1 1 5000 9000 0", NULL };
  static const char *const memory[]
      = { "0 reserve 1 1 1000 25000 0", "0 reserve 2 1 1000 25000 0",
          "1 observe 1 1 900 26000 0",  "2 observe 1 1 900 24000 0",
          "3 observe 1 1 900 26000 0",  "4 observe 1 1 900 26000 0",
          "5 observe 1 1 900 26000 0",  NULL };
  static const char *const both[]
      = { "0 reserve 1 1 6000 9000 0", "0 reserve 2 1 6000 9000 0",
          "1 observe 1 1 8000 9000 0", "2 observe 1 1 6000 16000 0",
          "3 release 2 1 0 0 0",       NULL };
  static const char *const shortage[]
      = { "0 adopt 3 1 6000 20000 1",  "0 adopt 1 1 6000 20000 1",
          "0 adopt 2 1 6000 20000 0",  "1 reserve 4 1 10 10 0",
          "2 release 1 1 0 0 0",       "3 service 0 0 10000 10000 0",
          "4 total 0 0 12000 60000 2", NULL };

  run_script ("reserve and release", reserve);
  run_script ("more than was reserved", over);
  run_script ("a throttle is lifted", calm);
  run_script ("memory cannot be throttled", memory);
  run_script ("memory is raised under a throttle", both);
  run_script ("shortage", shortage);
}

/* Random runs.  */

enum
{
  SEEDS = 40,
  TASKS = 40,
  STEPS = 2000
};

typedef struct
{
  GRand *random;
  gp_capacity_t capacity;
  gp_capacity_task_t tasks[TASKS];
  bool present[TASKS];
  bool throttled[TASKS]; /* according to the actions */
  bool evicted[TASKS];
  gp_time_t changed[TASKS]; /* time of the last action */
  int over[TASKS]; /* consecutive valid measurements above the reservation */
  gp_time_t now;
  int wrong;
} run_t;

static gp_resources_t
random_resources (GRand *random)
{
  return (gp_resources_t){ .millicores = g_rand_int_range (random, 0, 4000),
                           .memory_mib = g_rand_int_range (random, 0, 10000),
                           .accelerators
                           = g_rand_int_range (random, 0, 8) == 0 };
}

/* Computes the unreserved resources of the worker by summing up; negative
   if too much is reserved.  */
static void
sum_left (const run_t *run, int64_t left[3])
{
  const gp_capacity_t *c = &run->capacity;

  left[0] = (int64_t)c->total.millicores - c->service.millicores;
  left[1] = (int64_t)c->total.memory_mib - c->service.memory_mib;
  left[2] = (int64_t)c->total.accelerators - c->service.accelerators;
  for (int i = 0; i < TASKS; i++)
    {
      if (!run->present[i])
        continue;
      left[0] -= run->tasks[i].reserved.millicores;
      left[1] -= run->tasks[i].reserved.memory_mib;
      left[2] -= run->tasks[i].reserved.accelerators;
    }
}

static void
check_actions (run_t *run)
{
  gp_capacity_action_t action;
  int64_t left[3];

  while (gp_capacity_next_action (&run->capacity, &action))
    {
      int i = (int)action.task;

      run->wrong += !run->present[i] || run->evicted[i];
      run->wrong += action.kind == GP_CAPACITY_THROTTLE && run->throttled[i];
      run->wrong
          += action.kind == GP_CAPACITY_UNTHROTTLE && !run->throttled[i];
      if (action.kind == GP_CAPACITY_THROTTLE)
        run->throttled[i] = true;
      if (action.kind == GP_CAPACITY_UNTHROTTLE)
        run->throttled[i] = false;
      if (action.kind == GP_CAPACITY_EVICT)
        {
          run->evicted[i] = true;
          run->wrong += run->over[i] < 3;
        }
      run->over[i] = 0;
      run->changed[i] = run->now;
    }
  for (int i = 0; i < TASKS; i++)
    run->wrong += run->present[i] && run->over[i] >= 3;
  sum_left (run, left);
  run->wrong += left[0] < 0 || left[1] < 0 || left[2] < 0;
}

static void
toggle_task (run_t *run, int i)
{
  gp_capacity_task_t *task = &run->tasks[i];
  int64_t left[3];
  bool fits;

  if (run->present[i])
    {
      run->wrong
          += gp_capacity_release (&run->capacity, i, 1, run->now) != task;
      run->present[i] = false;
      return;
    }
  *task = (gp_capacity_task_t){ .id = i,
                                .epoch = 1,
                                .eviction_cost = i % 3,
                                .reserved = random_resources (run->random) };
  sum_left (run, left);
  fits = task->reserved.millicores <= left[0]
         && task->reserved.memory_mib <= left[1]
         && task->reserved.accelerators <= left[2];
  run->present[i] = gp_capacity_reserve (&run->capacity, task, run->now, NULL)
                    == GP_CAPACITY_RESERVED;
  run->wrong += run->present[i] != fits;
  run->throttled[i] = false;
  run->evicted[i] = false;
  run->changed[i] = run->now;
  run->over[i] = 0;
}

static void
observe_task (run_t *run, int i)
{
  gp_resources_t observed = random_resources (run->random);
  gp_time_t start = run->now - g_rand_int_range (run->random, 0, 3) * GP_SEC;
  uint64_t epoch = g_rand_int_range (run->random, 1, 4) == 1 ? 2 : 1;

  if (epoch == 1 && start >= run->changed[i] && !run->evicted[i])
    {
      if (gp_resources_fit (&observed, &run->tasks[i].reserved))
        run->over[i] = 0;
      else
        run->over[i]++;
    }
  gp_capacity_observe (&run->capacity, i, epoch, &observed, start, run->now);
}

static void
test_random (void)
{
  static const gp_resources_t total = { 20000, 60000, 3 };
  static const gp_resources_t service = { 4000, 10000, 1 };

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      run_t *run = g_new0 (run_t, 1);

      run->random = g_rand_new_with_seed (seed);
      gp_capacity_init (&run->capacity, &total, &service);
      for (int step = 0; step < STEPS; step++)
        {
          int i = g_rand_int_range (run->random, 0, TASKS);

          run->now += g_rand_int_range (run->random, 0, 2) * GP_SEC;
          if (g_rand_int_range (run->random, 0, 6) == 0)
            toggle_task (run, i);
          else
            observe_task (run, i);
          check_actions (run);
        }
      CU_ASSERT_EQUAL (run->wrong, 0);
      g_rand_free (run->random);
      g_free (run);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = { { "script", test_script },
                          { "random", test_random },
                          CU_TEST_INFO_NULL };

  return runner_main ("capacity", tests);
}

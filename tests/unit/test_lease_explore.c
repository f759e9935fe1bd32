/* Explores interleavings of the lease protocol: every pair of faults on a
   grid of times, then random scripts of up to six faults.  Mutation tests
   check that scripts of this kind find a violation when a rule of the
   protocol is left out.

   GP_LEASE_SOAK=N multiplies the number of random scripts by N.  */

#include <stdlib.h>

#include "lease_world.h"
#include "runner.h"

#define MAX_FAULTS 6
#define RANDOM_SCRIPTS 3000
#define MUTANT_SCRIPTS 5000
/* Time allowed after the last fault for the silence timeout, the wait of
   the fence, the hold after a restart, and messages delayed for up to 20
   s.  */
#define SETTLE (80 * GP_SEC)

typedef struct
{
  lease_world_options_t options;
  lease_world_fault_t faults[MAX_FAULTS];
  unsigned num_faults;
  gp_time_t end;
} script_t;

static lease_world_options_t
options_default (void)
{
  return (lease_world_options_t){ .timing = gp_lease_timing_default (),
                                  .num_entries = LW_ENTRIES,
                                  .tick = 500 * GP_MSEC };
}

/* Chooses the targets A and B of fault F, which depending on its kind are
   entries, guards or unused.  */
static void
choose_targets (GRand *rng, lease_world_fault_t *f)
{
  unsigned entry = g_rand_int_range (rng, 0, LW_ENTRIES);
  unsigned guard = g_rand_int_range (rng, 0, LW_GUARDS);

  f->a = 0;
  f->b = 0;
  switch (f->kind)
    {
    case LW_LOG_DOWN:
    case LW_RETENTION:
    case LW_FAULT_KINDS:
      break;
    case LW_LOG_CUT:
    case LW_LOG_NO_READ:
    case LW_LOG_LATE:
    case LW_CUT_ENTRY:
    case LW_PAUSE_ENTRY:
    case LW_KILL_ENTRY:
      f->a = entry;
      break;
    case LW_CUT_ALL:
    case LW_DELAY_START:
    case LW_PAUSE_GUARD:
    case LW_PAUSE_VM:
    case LW_KILL_GUARD:
    case LW_KILL_VM:
      f->a = guard;
      break;
    case LW_FENCE:
    case LW_CUT_GUARD:
      f->a = entry;
      f->b = guard;
      break;
    }
}

static gp_time_t
choose_length (GRand *rng)
{
  static const gint32 longest[] = { 1000, 8000, 20000, 45000 };
  gint32 limit = longest[g_rand_int_range (rng, 0, G_N_ELEMENTS (longest))];

  return g_rand_int_range (rng, 10, limit) * GP_MSEC;
}

static void
script_random (script_t *s, uint32_t seed)
{
  GRand *rng = g_rand_new_with_seed (seed);

  s->num_faults = g_rand_int_range (rng, 1, MAX_FAULTS + 1);
  s->end = 0;
  s->options.noisy = g_rand_boolean (rng);
  s->options.seed = seed;
  for (unsigned i = 0; i < s->num_faults; i++)
    {
      lease_world_fault_t *f = &s->faults[i];

      f->kind = g_rand_int_range (rng, 0, LW_FAULT_KINDS);
      choose_targets (rng, f);
      f->at = g_rand_int_range (rng, 0, 50000) * GP_MSEC;
      f->end = f->at + choose_length (rng);
      s->end = MAX (s->end, f->end);
    }
  s->options.noisy_until = s->end;
  s->end += SETTLE;
  g_rand_free (rng);
}

static void
script_print (const script_t *s, const lease_world_result_t *r)
{
  printf ("  seed %u: %s at %.3f, run %d %d\n", s->options.seed,
          r->violation != NULL ? r->violation : "no violation",
          (double)r->violation_at / GP_SEC, r->running[0], r->running[1]);
  for (unsigned i = 0; i < s->num_faults; i++)
    printf ("    %s %u %u from %.3f to %.3f\n",
            lease_world_fault_name (s->faults[i].kind), s->faults[i].a + 1,
            s->faults[i].b + 1, (double)s->faults[i].at / GP_SEC,
            (double)s->faults[i].end / GP_SEC);
}

/* Runs the script; prints it and returns 1 if it fails.  */
static unsigned
script_check (const script_t *s)
{
  lease_world_result_t r
      = lease_world_run (&s->options, s->faults, s->num_faults, s->end);

  if (r.violation == NULL && r.running[0] && r.running[1])
    return 0;
  script_print (s, &r);
  return 1;
}

static unsigned
soak_factor (void)
{
  const char *text = getenv ("GP_LEASE_SOAK");

  return text != NULL ? (unsigned)atoi (text) : 1;
}

/* Runs the pair FIRST and SECOND with several start times and lengths of
   the second fault.  */
static unsigned
pair_check (script_t *s, lease_world_fault_t first, lease_world_fault_t second)
{
  static const gp_time_t starts[] = { 10, 17, 28 };
  static const gp_time_t lengths[] = { 3, 20 };
  unsigned failures = 0;

  first.at = starts[0] * GP_SEC;
  first.end = first.at + lengths[1] * GP_SEC;
  s->num_faults = 2;
  s->faults[0] = first;
  s->faults[1] = second;
  for (unsigned i = 0; i < G_N_ELEMENTS (starts); i++)
    for (unsigned j = 0; j < G_N_ELEMENTS (lengths); j++)
      {
        s->faults[1].at = starts[i] * GP_SEC;
        s->faults[1].end = s->faults[1].at + lengths[j] * GP_SEC;
        s->options.noisy_until = MAX (first.end, s->faults[1].end);
        s->end = s->options.noisy_until + SETTLE;
        s->options.seed++;
        failures += script_check (s);
      }
  return failures;
}

/* Returns the number of targets of a fault of KIND among two entries and
   two guards.  */
static unsigned
num_targets (lease_world_fault_kind_t kind)
{
  if (kind == LW_LOG_DOWN || kind == LW_RETENTION)
    return 1;
  return kind == LW_CUT_GUARD || kind == LW_FENCE ? 4 : 2;
}

static void
test_pairs (void)
{
  script_t s = { .options = options_default () };
  unsigned failures = 0;

  s.options.num_entries = 2;
  s.options.noisy = true;
  for (unsigned first = 0; first < LW_FAULT_KINDS; first++)
    for (unsigned second = 0; second < LW_FAULT_KINDS; second++)
      for (unsigned target = 0; target < num_targets (second); target++)
        {
          lease_world_fault_t f = { .kind = first };
          lease_world_fault_t g = { .kind = second };

          g.a = target % 2;
          g.b = target / 2;
          failures += pair_check (&s, f, g);
        }
  CU_ASSERT_EQUAL (failures, 0);
}

static void
test_random (void)
{
  script_t s = { .options = options_default () };
  unsigned failures = 0;
  unsigned num_scripts = RANDOM_SCRIPTS * soak_factor ();

  for (uint32_t seed = 0; seed < num_scripts && failures < 5; seed++)
    {
      script_random (&s, seed);
      s.options.timing.promise = (seed % 4 == 0 ? 40 : 15) * GP_SEC;
      s.options.timing.length = (seed % 3 == 0 ? 8 : 15) * GP_SEC;
      failures += script_check (&s);
    }
  CU_ASSERT_EQUAL (failures, 0);
}

/* A scenario in which a rule of the protocol matters, with one entry and
   one guard as targets.  Times are in milliseconds; a random time up to
   SPREAD is added to each.  */
typedef struct
{
  lease_world_fault_kind_t kind;
  gint32 at;
  gint32 length;
} scenario_fault_t;

typedef struct
{
  lease_world_mutation_t mutation;
  gint32 promise; /* in seconds */
  gint32 tick;
  gint32 spread;
  scenario_fault_t faults[MAX_FAULTS]; /* terminated by one of length 0 */
} scenario_t;

static const scenario_t scenarios[] = {
  { LW_NO_MARGIN,
    15,
    50,
    400,
    { { LW_CUT_ALL, 10000, 30000 }, { LW_FENCE, 10000, 1 } } },
  { LW_HOLDER_RECEIVE,
    15,
    500,
    4000,
    { { LW_CUT_ALL, 10000, 30000 }, { LW_FENCE, 10000, 1 } } },
  { LW_READ_RECEIVE,
    15,
    500,
    3000,
    { { LW_PAUSE_ENTRY, 10000, 8000 },
      { LW_LOG_NO_READ, 13500, 40000 },
      { LW_CUT_GUARD, 10000, 50000 },
      { LW_FENCE, 11000, 1 } } },
  { LW_READ_INCOMPLETE,
    15,
    500,
    1500,
    { { LW_LOG_NO_READ, 1500, 9000 },
      { LW_CUT_GUARD, 6500, 50000 },
      { LW_CUT_ALL, 14000, 40000 },
      { LW_FENCE, 7000, 1 } } },
  { LW_ACT_AT_ONCE, 15, 500, 3000, { { LW_CUT_ALL, 10000, 30000 } } },
  { LW_PARTIAL_VOUCH,
    15,
    500,
    3000,
    { { LW_LOG_CUT, 10000, 40000 },
      { LW_CUT_GUARD, 10000, 40000 },
      { LW_FENCE, 14000, 1 } } },
  { LW_NO_PROMISE,
    40,
    500,
    3000,
    { { LW_LOG_CUT, 10000, 60000 },
      { LW_CUT_GUARD, 10000, 60000 },
      { LW_FENCE, 16000, 1 } } },
  { LW_NO_RESTART_HOLD,
    40,
    500,
    1500,
    { { LW_LOG_CUT, 9000, 60000 },
      { LW_CUT_GUARD, 10000, 60000 },
      { LW_KILL_ENTRY, 15500, 500 },
      { LW_FENCE, 18000, 1 } } },
  { LW_SAME_INCARNATION,
    15,
    500,
    1500,
    { { LW_LOG_DOWN, 4000, 17000 },
      { LW_CUT_ENTRY, 4000, 17000 },
      { LW_DELAY_START, 2500, 25000 } } },
  { LW_VOUCH_REVIVES,
    15,
    500,
    500,
    { { LW_DELAY_START, 9000, 45000 },
      { LW_KILL_VM, 10000, 200 },
      { LW_LOG_CUT, 9000, 80000 },
      { LW_CUT_ALL, 10700, 24000 },
      { LW_CUT_GUARD, 10700, 70000 },
      { LW_FENCE, 11700, 1 } } },
  { LW_NO_CLAIM,
    15,
    500,
    3000,
    { { LW_KILL_GUARD, 2000, 50 }, { LW_KILL_GUARD, 6000, 50 } } },
  { LW_STOP_UNCLAIMED,
    15,
    500,
    3000,
    { { LW_PAUSE_GUARD, 500, 10000 }, { LW_FENCE, 2000, 1 } } },
  { LW_GAP_IGNORED,
    15,
    500,
    3000,
    { { LW_CUT_GUARD, 5000, 50000 },
      { LW_LOG_NO_READ, 5000, 10000 },
      { LW_FENCE, 8000, 1 },
      { LW_RETENTION, 10000, 1 } } },
  { LW_EARLY_RENEWAL,
    15,
    500,
    3000,
    { { LW_CUT_GUARD, 8000, 60000 },
      { LW_LOG_LATE, 9000, 40000 },
      { LW_KILL_GUARD, 10000, 3000 },
      { LW_FENCE, 11000, 1 } } },
};

/* Sets the targets of F to the entry and the guard of the script.  */
static void
set_targets (lease_world_fault_t *f, unsigned entry, unsigned guard)
{
  unsigned other = 1 - entry;

  f->b = 0;
  switch (f->kind)
    {
    case LW_LOG_DOWN:
    case LW_RETENTION:
    case LW_FAULT_KINDS:
      f->a = 0;
      break;
    case LW_LOG_CUT:
    case LW_LOG_NO_READ:
    case LW_LOG_LATE:
    case LW_CUT_ENTRY:
    case LW_PAUSE_ENTRY:
      f->a = entry;
      break;
    case LW_KILL_ENTRY:
      f->a = other;
      break;
    case LW_FENCE:
    case LW_CUT_GUARD:
      f->a = other;
      f->b = guard;
      break;
    case LW_CUT_ALL:
    case LW_DELAY_START:
    case LW_PAUSE_GUARD:
    case LW_PAUSE_VM:
    case LW_KILL_GUARD:
    case LW_KILL_VM:
      f->a = guard;
      break;
    }
}

static void
script_from_scenario (script_t *s, const scenario_t *scenario, uint32_t seed)
{
  GRand *rng = g_rand_new_with_seed (seed);
  unsigned entry = g_rand_int_range (rng, 0, 2);
  unsigned guard = g_rand_int_range (rng, 0, LW_GUARDS);

  s->options.seed = seed;
  s->options.noisy = true;
  s->options.num_entries = 2;
  s->options.timing.promise = scenario->promise * GP_SEC;
  s->options.tick = scenario->tick * GP_MSEC;
  s->end = 0;
  for (unsigned i = 0; i < MAX_FAULTS && scenario->faults[i].length > 0; i++)
    {
      lease_world_fault_t *f = &s->faults[i];
      gint32 later = g_rand_int_range (rng, 0, scenario->spread);
      gint32 longer = g_rand_int_range (rng, 0, scenario->spread);

      s->num_faults = i + 1;
      f->kind = scenario->faults[i].kind;
      set_targets (f, entry, guard);
      f->at = (scenario->faults[i].at + later) * GP_MSEC;
      f->end = f->at + (scenario->faults[i].length + longer) * GP_MSEC;
      s->end = MAX (s->end, f->end);
    }
  s->end += 5 * GP_SEC;
  s->options.noisy_until = s->end;
  g_rand_free (rng);
}

/* Returns the number of the first script of SCENARIO that ends in a
   violation with MUTATION, or NUM_SCRIPTS.  */
static unsigned
first_violation (const scenario_t *scenario, lease_world_mutation_t mutation,
                 unsigned num_scripts)
{
  script_t s = { .options = options_default () };

  s.options.mutation = mutation;
  for (uint32_t seed = 0; seed < num_scripts; seed++)
    {
      lease_world_result_t r;

      script_from_scenario (&s, scenario, seed);
      r = lease_world_run (&s.options, s.faults, s.num_faults, s.end);
      if (r.violation != NULL)
        return seed;
    }
  return num_scripts;
}

static void
test_mutations (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (scenarios); i++)
    {
      const scenario_t *scenario = &scenarios[i];
      unsigned found
          = first_violation (scenario, scenario->mutation, MUTANT_SCRIPTS);

      printf ("  %s: script %u\n",
              lease_world_mutation_name (scenario->mutation), found);
      fflush (stdout);
      CU_ASSERT_TRUE (found < MUTANT_SCRIPTS);
      /* The same scripts find no violation in the unmodified protocol.  */
      CU_ASSERT_EQUAL (first_violation (scenario, LW_NO_MUTATION, found + 1),
                       found + 1);
    }
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "every pair of faults", test_pairs },
          { "random scripts", test_random },
          { "rules left out are found", test_mutations },
          CU_TEST_INFO_NULL };

  return runner_main ("lease exploration", tests);
}

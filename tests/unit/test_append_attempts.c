/* Tests of gp_append_attempts_t: entries whose callers append to one partition
   of a store that is slow, loses answers, is silent or refuses.

   Guards against a slow store that accepts nothing: attempts that an entry has
   given up stay in its queue, and repetitions of what they contain wait behind
   them.  The rules without CONFIRM, one attempt at a time that is given up at
   its timeout, are implemented here as well, for comparison.  */

#include <glib.h>
#include <stdio.h>

#include "jobs/append_attempts.h"
#include "runner.h"

#define ENTRIES_MAX 11
#define CALLERS_MAX 4000
#define CALLER_TIME (2700 * GP_MSEC)
#define FEED_SPACING (800 * GP_MSEC)
#define OTHER_SPACING (100 * GP_MSEC)
#define FEED_TIMEOUT (1500 * GP_MSEC)
#define REFUSALS_MAX 4
/* No caller is refused at once if any call was answered within this time.  */
#define RECENT (900 * GP_MSEC)
/* Longest time before an answer is due at which the last read is sent.  */
#define LAST_READ_TIME (500 * GP_MSEC)
/* The store.  */
#define APPEND_COST (2 * GP_MSEC)
#define ANSWER_TIME (4 * GP_MSEC)
#define QUEUE_MAX (2 * GP_SEC)

typedef enum
{
  RULES_PREVIOUS,
  RULES_OFF, /* the module with CONFIRM off */
  RULES_ON
} rules_t;

typedef struct
{
  const char *name;
  unsigned entries;
  unsigned arrivals;     /* per second, of each entry */
  gp_time_t begin, end;  /* of the fault */
  int slower;            /* factor */
  gp_time_t slow_before; /* how long before the fault it is slower already */
  int lost_percent;      /* answers that are lost */
  bool silent;
  bool refuses;
} load_t;

/* State of the previous rules: those of gp_append_attempts_t without CONFIRM,
   implemented independently of it.  */
typedef struct
{
  gp_time_t latency;
  gp_time_t next_at;
  unsigned failures;
} previous_t;

typedef struct
{
  unsigned entry;
  gp_time_t arrived_at;
  int status; /* 0: waits */
  gp_time_t answered_at;
  gp_time_t on_log_at; /* GP_TIME_NEVER: not on the log */
  gp_time_t read_at;   /* its record was in a read answered at this time */
  bool open;           /* was in an append with an open outcome */
  unsigned in_calls;   /* bits */
  unsigned refusals;
  bool last_read;
} caller_t;

typedef struct
{
  bool in_flight;
  gp_time_t sent_at;
  gp_time_t answer_at; /* GP_TIME_NEVER: lost */
  gp_time_t give_up_at;
  gp_attempt_end_t end;
} call_t;

typedef struct
{
  gp_append_attempts_t attempts;
  previous_t previous;
  call_t calls[GP_APPEND_ATTEMPTS_MAX];
  call_t read; /* of the topic, by its feed */
  gp_time_t next_read_at;
  call_t other; /* read of another topic */
  gp_time_t next_other_at;
  gp_time_t answered_at; /* any of its calls */
  bool stopped;
} entry_t;

typedef struct
{
  rules_t rules;
  load_t load;
  GRand *random;
  gp_time_t now;
  gp_time_t busy_until; /* the partition */
  entry_t entries[ENTRIES_MAX];
  caller_t callers[CALLERS_MAX];
  unsigned n_callers;
  unsigned first; /* all callers before this one have their answers */
  unsigned appends;
} world_t;

typedef struct
{
  unsigned arrived, accepted, refused, open; /* callers during the fault */
  unsigned appends;
  gp_time_t first_refused_at; /* after the begin of the fault */
  gp_time_t first_at_once;    /* the same, of a caller refused on arrival */
} outcome_t;

/* The store.  */

static bool
is_faulty (const world_t *world, gp_time_t at)
{
  return at >= world->load.begin && at < world->load.end;
}

static int
factor (const world_t *world)
{
  return world->now >= world->load.begin - world->load.slow_before
                 && world->now < world->load.end
             ? world->load.slower
             : 1;
}

/* Returns when an answer that is due at AT arrives.  */
static gp_time_t
arrival (world_t *world, gp_time_t at)
{
  bool faulty = is_faulty (world, world->now);

  if (world->load.silent && (faulty || is_faulty (world, at)))
    return GP_TIME_NEVER;
  if (faulty
      && g_rand_int_range (world->random, 0, 100) < world->load.lost_percent)
    return GP_TIME_NEVER;
  return at;
}

/* Returns when an append that is sent now is on the log, GP_TIME_NEVER: it is
   refused or does not arrive.  */
static gp_time_t
store_append (world_t *world, call_t *call)
{
  gp_time_t answer_time = ANSWER_TIME * factor (world);
  bool faulty = is_faulty (world, world->now);
  gp_time_t done_at = GP_TIME_NEVER;

  world->appends++;
  call->in_flight = true;
  call->sent_at = world->now;
  if ((faulty && world->load.refuses)
      || world->busy_until - world->now > QUEUE_MAX)
    {
      call->end = GP_ATTEMPT_REFUSED;
      call->answer_at = arrival (world, world->now + answer_time);
      return GP_TIME_NEVER;
    }
  if (!faulty || !world->load.silent)
    done_at
        = MAX (world->busy_until, world->now) + APPEND_COST * factor (world);
  if (done_at != GP_TIME_NEVER)
    world->busy_until = done_at;
  call->end = GP_ATTEMPT_DONE;
  call->answer_at = done_at == GP_TIME_NEVER
                        ? GP_TIME_NEVER
                        : arrival (world, done_at + answer_time);
  return done_at;
}

static call_t
store_read (world_t *world)
{
  gp_time_t answer_at = world->now + ANSWER_TIME * factor (world);

  return (call_t){ .in_flight = true,
                   .sent_at = world->now,
                   .answer_at = arrival (world, answer_at),
                   .give_up_at = world->now + FEED_TIMEOUT };
}

static void
start_read (world_t *world, entry_t *entry)
{
  entry->read = store_read (world);
  entry->next_read_at = world->now + FEED_SPACING;
}

/* Callers.  */

#define FOREACH_WAITING(world, number, caller)                                \
  for (caller_t *caller = (world)->callers + (world)->first;                  \
       caller < (world)->callers + (world)->n_callers; caller++)              \
    if (caller->status == 0 && caller->entry == (number))

static bool
is_open (const caller_t *caller)
{
  return caller->in_calls != 0 || caller->open;
}

static void
answer (world_t *world, caller_t *caller, int status)
{
  caller->status = status;
  caller->answered_at = world->now;
  caller->in_calls = 0;
}

static void
give_up (world_t *world, caller_t *caller)
{
  answer (world, caller, is_open (caller) ? 504 : 503);
}

static unsigned
count_waiting (world_t *world, unsigned number, unsigned slot)
{
  unsigned count = 0;

  FOREACH_WAITING (world, number, caller)
  count += caller->in_calls >> slot & 1;
  return count;
}

static bool
any_open (world_t *world, unsigned number)
{
  FOREACH_WAITING (world, number, caller)
  if (is_open (caller))
    return true;
  return false;
}

/* One entry.  */

static gp_time_t
timeout_of (const world_t *world, const entry_t *entry)
{
  if (world->rules == RULES_PREVIOUS)
    return CLAMP (5 * entry->previous.latency, 500 * GP_MSEC, 1200 * GP_MSEC);
  return gp_append_attempts_timeout (&entry->attempts);
}

/* A caller that has less time left is refused.  */
static gp_time_t
needed_time (const world_t *world, const entry_t *entry)
{
  if (world->rules == RULES_PREVIOUS)
    return MIN (entry->previous.latency, 500 * GP_MSEC);
  if (world->rules == RULES_OFF)
    return MIN (entry->attempts.latency, 500 * GP_MSEC);
  return MIN (entry->attempts.latency, CALLER_TIME * 3 / 4);
}

static bool
refuses (const world_t *world, const entry_t *entry)
{
  if (world->rules == RULES_PREVIOUS)
    return entry->previous.failures >= 2 && entry->calls[0].in_flight;
  return gp_append_attempts_refuses (&entry->attempts);
}

static void
note_end (world_t *world, entry_t *entry, unsigned slot, gp_attempt_end_t end)
{
  previous_t *previous = &entry->previous;
  gp_time_t duration = world->now - entry->calls[slot].sent_at;

  if (world->rules != RULES_PREVIOUS)
    {
      gp_append_attempts_ended (&entry->attempts, slot, end, world->now);
      return;
    }
  if (end == GP_ATTEMPT_LOST)
    duration = MAX (duration, 2 * previous->latency);
  previous->latency
      += (gp_time_t)((double)(duration - previous->latency) * 0.3);
  previous->failures = end == GP_ATTEMPT_DONE ? 0 : previous->failures + 1;
  previous->next_at
      = end == GP_ATTEMPT_DONE ? world->now : world->now + 50 * GP_MSEC;
}

static void
end_append (world_t *world, unsigned number, unsigned slot,
            gp_attempt_end_t end)
{
  entry_t *entry = &world->entries[number];

  entry->calls[slot].in_flight = false;
  if (end != GP_ATTEMPT_LOST)
    entry->answered_at = world->now;
  note_end (world, entry, slot, end);
  FOREACH_WAITING (world, number, caller)
  {
    if ((caller->in_calls >> slot & 1) == 0)
      continue;
    caller->in_calls &= ~(1U << slot);
    if (end == GP_ATTEMPT_DONE)
      answer (world, caller, 200);
    else if (end == GP_ATTEMPT_LOST)
      caller->open = true;
    else if (!is_open (caller) && ++caller->refusals >= REFUSALS_MAX)
      give_up (world, caller);
  }
}

static void
cancel_append (world_t *world, unsigned number, unsigned slot)
{
  entry_t *entry = &world->entries[number];

  FOREACH_WAITING (world, number, caller)
  if ((caller->in_calls >> slot & 1) != 0)
    {
      caller->in_calls &= ~(1U << slot);
      caller->open = true;
    }
  entry->calls[slot].in_flight = false;
  gp_append_attempts_cancelled (&entry->attempts, slot);
}

static void
cancel_useless (world_t *world, unsigned number)
{
  entry_t *entry = &world->entries[number];

  for (unsigned slot = 0; slot < GP_APPEND_ATTEMPTS_MAX; slot++)
    {
      if (entry->calls[slot].in_flight
          && count_waiting (world, number, slot) == 0)
        gp_append_attempts_settle (&entry->attempts, slot);
      if (gp_append_attempts_is_useless (&entry->attempts, slot))
        cancel_append (world, number, slot);
    }
}

static void
send_append (world_t *world, unsigned number, unsigned slot)
{
  entry_t *entry = &world->entries[number];
  call_t *call = &entry->calls[slot];
  bool holds_back = world->rules == RULES_ON
                    && gp_append_attempts_is_unavailable (&entry->attempts);
  gp_time_t on_log_at;
  unsigned count = 0;

  if (call->in_flight)
    cancel_append (world, number, slot);
  FOREACH_WAITING (world, number, caller)
  {
    if (!is_open (caller)
        && world->now + needed_time (world, entry)
               > caller->arrived_at + CALLER_TIME)
      give_up (world, caller);
    else if (!(holds_back && count > 0 && !is_open (caller)))
      {
        caller->in_calls |= 1U << slot;
        count++;
      }
  }
  if (count == 0)
    return;
  on_log_at = store_append (world, call);
  call->give_up_at = world->now + timeout_of (world, entry);
  if (world->rules != RULES_PREVIOUS)
    gp_append_attempts_sent (&entry->attempts, slot, 0, world->now);
  FOREACH_WAITING (world, number, caller)
  if ((caller->in_calls >> slot & 1) != 0)
    caller->on_log_at = MIN (caller->on_log_at, on_log_at);
}

static void
end_read (world_t *world, unsigned number)
{
  entry_t *entry = &world->entries[number];
  gp_time_t seen_at = entry->read.sent_at;

  entry->read.in_flight = false;
  entry->answered_at = world->now;
  if (world->rules == RULES_PREVIOUS)
    return;
  gp_append_attempts_answered (&entry->attempts, world->now);
  if (world->rules == RULES_ON)
    FOREACH_WAITING (world, number, caller)
  if (caller->on_log_at <= seen_at)
    {
      gp_append_attempts_found (&entry->attempts);
      answer (world, caller, 200);
    }
  gp_append_attempts_seen (&entry->attempts, seen_at, world->now);
}

/* Returns whether a caller is due to be read for shortly before its answer. */
static bool
last_read_is_due (world_t *world, unsigned number)
{
  const gp_append_attempts_t *attempts = &world->entries[number].attempts;
  bool due = false;

  FOREACH_WAITING (world, number, caller)
  if (!caller->last_read && is_open (caller)
      && world->now >= gp_append_attempts_last_read_at (
             attempts, caller->arrived_at + CALLER_TIME))
    due = caller->last_read = true;
  return due;
}

static void
take_step (world_t *world, unsigned number)
{
  entry_t *entry = &world->entries[number];
  gp_attempt_step_t step;

  if (world->rules == RULES_PREVIOUS)
    {
      if (!entry->calls[0].in_flight && world->now >= entry->previous.next_at)
        send_append (world, number, 0);
      return;
    }
  step = gp_append_attempts_next (&entry->attempts, any_open (world, number),
                                  true, world->now);
  switch (step.act)
    {
    case GP_ATTEMPT_WAIT:
      CU_ASSERT_TRUE (step.at > world->now);
      return;
    case GP_ATTEMPT_SEND:
      send_append (world, number, step.slot);
      return;
    case GP_ATTEMPT_READ_BACK:
      gp_append_attempts_read_back (&entry->attempts, world->now);
      start_read (world, entry);
      return;
    }
}

/* The feed of another topic.  */
static void
run_other (world_t *world, entry_t *entry)
{
  call_t *other = &entry->other;

  if (other->in_flight && world->now >= other->answer_at)
    {
      other->in_flight = false;
      entry->answered_at = world->now;
      if (world->rules != RULES_PREVIOUS)
        gp_append_attempts_answered (&entry->attempts, world->now);
    }
  else if (other->in_flight && world->now >= other->give_up_at)
    other->in_flight = false;
  if (!other->in_flight && world->now >= entry->next_other_at)
    {
      *other = store_read (world);
      entry->next_other_at = world->now + OTHER_SPACING;
    }
}

static void
run_calls (world_t *world, unsigned number)
{
  entry_t *entry = &world->entries[number];
  unsigned overdue;

  for (unsigned slot = 0; slot < GP_APPEND_ATTEMPTS_MAX; slot++)
    {
      call_t *call = &entry->calls[slot];

      if (call->in_flight && world->now >= call->answer_at)
        end_append (world, number, slot, call->end);
      else if (call->in_flight && world->rules != RULES_ON
               && world->now >= call->give_up_at)
        end_append (world, number, slot, GP_ATTEMPT_LOST);
    }
  if (entry->read.in_flight && world->now >= entry->read.answer_at)
    end_read (world, number);
  else if (entry->read.in_flight && world->now >= entry->read.give_up_at)
    entry->read.in_flight = false;
  if (!entry->read.in_flight && world->now >= entry->next_read_at)
    start_read (world, entry);
  run_other (world, entry);
  if (world->rules == RULES_ON)
    {
      gp_append_attempts_expire (&entry->attempts, world->now, &overdue);
      cancel_useless (world, number);
    }
}

static void
run_entry (world_t *world, unsigned number)
{
  entry_t *entry = &world->entries[number];
  bool waits = false;

  run_calls (world, number);
  FOREACH_WAITING (world, number, caller)
  if (world->now >= caller->arrived_at + CALLER_TIME)
    give_up (world, caller);
  if (world->rules == RULES_ON && last_read_is_due (world, number))
    start_read (world, entry);
  FOREACH_WAITING (world, number, caller)
  waits = true;
  if (waits)
    take_step (world, number);
}

static void
arrive (world_t *world, unsigned number)
{
  caller_t *caller = &world->callers[world->n_callers++];
  const entry_t *entry = &world->entries[number];

  *caller = (caller_t){ .entry = number,
                        .arrived_at = world->now,
                        .on_log_at = GP_TIME_NEVER };
  if (!refuses (world, entry))
    return;
  answer (world, caller, 503);
  if (world->rules == RULES_ON)
    CU_ASSERT_TRUE (world->now - entry->answered_at >= RECENT);
}

/* Returns what callers got that arrived during the fault.  */
static outcome_t
judge (const world_t *world)
{
  outcome_t outcome = { .appends = world->appends,
                        .first_refused_at = GP_TIME_NEVER,
                        .first_at_once = GP_TIME_NEVER };

  for (unsigned i = 0; i < world->n_callers; i++)
    {
      const caller_t *caller = &world->callers[i];

      CU_ASSERT_TRUE (caller->status != 200
                      || caller->on_log_at <= caller->answered_at);
      CU_ASSERT_TRUE (caller->status != 503
                      || caller->on_log_at == GP_TIME_NEVER);
      /* It was not on the log when reads for it were answered.  */
      if (world->rules == RULES_ON && !world->load.silent
          && world->load.lost_percent == 0)
        CU_ASSERT_TRUE (caller->status != 504
                        || caller->on_log_at
                               > caller->answered_at - LAST_READ_TIME);
      if (caller->status == 503)
        outcome.first_refused_at = MIN (
            outcome.first_refused_at, caller->answered_at - world->load.begin);
      if (caller->status == 503 && caller->answered_at == caller->arrived_at)
        outcome.first_at_once = MIN (outcome.first_at_once,
                                     caller->arrived_at - world->load.begin);
      if (!is_faulty (world, caller->arrived_at))
        continue;
      outcome.arrived++;
      outcome.accepted += caller->status == 200;
      outcome.refused += caller->status == 503;
      outcome.open += caller->status == 504;
    }
  return outcome;
}

static world_t *
world_new (const load_t *load, rules_t rules)
{
  world_t *world = g_new0 (world_t, 1);

  world->rules = rules;
  world->load = *load;
  world->random = g_rand_new_with_seed (7);
  for (unsigned i = 0; i < load->entries; i++)
    {
      gp_append_attempts_init (&world->entries[i].attempts, rules == RULES_ON);
      world->entries[i].next_read_at = (gp_time_t)i * 50 * GP_MSEC;
    }
  return world;
}

static void
world_free (world_t *world)
{
  g_rand_free (world->random);
  g_free (world);
}

/* Callers arrive regularly, until one second after the fault.  */
static void
let_arrive (world_t *world)
{
  gp_time_t interval = GP_SEC / world->load.arrivals;

  for (unsigned i = 0; i < world->load.entries; i++)
    if (world->now < world->load.end + GP_SEC
        && (world->now + (gp_time_t)(i + 1) * 37 * GP_MSEC) % interval == 0)
      arrive (world, i);
}

static void
run_until (world_t *world, gp_time_t end)
{
  for (; world->now < end; world->now += GP_MSEC)
    {
      if (world->load.arrivals > 0)
        let_arrive (world);
      for (unsigned i = 0; i < world->load.entries; i++)
        if (!world->entries[i].stopped)
          run_entry (world, i);
      while (world->first < world->n_callers
             && world->callers[world->first].status != 0)
        world->first++;
    }
}

static outcome_t
play (const load_t *load, rules_t rules)
{
  world_t *world = world_new (load, rules);
  outcome_t outcome;

  run_until (world, load->end + 5 * GP_SEC);
  outcome = judge (world);
  world_free (world);
  return outcome;
}

static void
show (const char *rules, const outcome_t *outcome)
{
  printf ("  %s: %u of %u accepted, %u refused, %u open, %u appends", rules,
          outcome->accepted, outcome->arrived, outcome->refused, outcome->open,
          outcome->appends);
  if (outcome->first_refused_at != GP_TIME_NEVER)
    printf (", first refusal after %d ms",
            (int)(outcome->first_refused_at / GP_MSEC));
  printf ("\n");
}

/* Play LOAD by the previous rules, which with CONFIRM off have to be the same,
   and by the new ones.  */
static outcome_t
compare (const load_t *load, outcome_t *previous)
{
  outcome_t off = play (load, RULES_OFF);
  outcome_t on = play (load, RULES_ON);

  *previous = play (load, RULES_PREVIOUS);
  CU_ASSERT_EQUAL (off.accepted, previous->accepted);
  CU_ASSERT_EQUAL (off.refused, previous->refused);
  CU_ASSERT_EQUAL (off.open, previous->open);
  CU_ASSERT_EQUAL (off.appends, previous->appends);
  CU_ASSERT_EQUAL (off.first_refused_at, previous->first_refused_at);
  printf ("%s\n", load->name);
  show ("previous", previous);
  show ("new", &on);
  return on;
}

static const load_t slow = { .name = "64 times slower for 6 s, 3 entries",
                             .entries = 3,
                             .arrivals = 20,
                             .begin = 2 * GP_SEC,
                             .end = 8 * GP_SEC,
                             .slower = 64 };

static void
test_slow (void)
{
  load_t many = slow;
  outcome_t previous;
  outcome_t on = compare (&slow, &previous);

  CU_ASSERT_EQUAL (on.accepted, on.arrived);
  many.name = "the same, 11 entries";
  many.entries = 11;
  many.arrivals = 10;
  on = compare (&many, &previous);
  CU_ASSERT_TRUE (on.accepted > 2 * previous.accepted);
  CU_ASSERT_TRUE (on.open < previous.open);
}

static void
test_lost (void)
{
  load_t load = slow;
  outcome_t previous, on;

  load.name = "35 of 100 answers lost for 20 s, 3 entries";
  load.end = 22 * GP_SEC;
  load.slower = 1;
  load.lost_percent = 35;
  on = compare (&load, &previous);
  CU_ASSERT_TRUE (on.open <= previous.open);
  CU_ASSERT_TRUE (on.refused <= previous.refused);
  CU_ASSERT_TRUE (on.accepted >= previous.accepted);
}

/* Play LOAD with one entry and 100 phases of its calls at the begin of the
   outage; returns in how many the first refusal comes later than by the
   previous rules.  */
static unsigned
count_later_refusals (load_t load)
{
  unsigned later = 0;

  load.entries = 1;
  for (gp_time_t phase = 0; phase < 100; phase++)
    {
      outcome_t on, previous;

      load.begin += 8 * GP_MSEC;
      load.slow_before += 8 * GP_MSEC;
      load.end = load.begin + 4 * GP_SEC;
      on = play (&load, RULES_ON);
      previous = play (&load, RULES_PREVIOUS);
      if (on.first_refused_at > previous.first_refused_at
          || on.first_at_once > previous.first_at_once)
        {
          later++;
          fprintf (stderr, "phase %d: %d ms, previous %d ms\n", (int)phase,
                   (int)(on.first_at_once / GP_MSEC),
                   (int)(previous.first_at_once / GP_MSEC));
        }
    }
  return later;
}

static void
test_silent (void)
{
  load_t load = slow;
  outcome_t previous, on;

  load.name = "silent for 6 s, 3 entries";
  load.slower = 1;
  load.silent = true;
  on = compare (&load, &previous);
  CU_ASSERT_TRUE (on.first_refused_at <= previous.first_refused_at);
  CU_ASSERT_TRUE (on.open <= previous.open);
  CU_ASSERT_EQUAL (count_later_refusals (load), 0);
  load.name = "64 times slower for 4 s, then silent for 6 s";
  load.begin = 6 * GP_SEC;
  load.end = 12 * GP_SEC;
  load.slower = 64;
  load.slow_before = 4 * GP_SEC;
  on = compare (&load, &previous);
  CU_ASSERT_TRUE (on.first_refused_at <= previous.first_refused_at);
  CU_ASSERT_EQUAL (count_later_refusals (load), 0);
}

static void
test_refusing (void)
{
  load_t load = slow;
  outcome_t previous, on;

  load.name = "refusing for 3 s, 3 entries";
  load.end = 5 * GP_SEC;
  load.slower = 1;
  load.refuses = true;
  on = compare (&load, &previous);
  CU_ASSERT_EQUAL (on.open, 0);
  CU_ASSERT_TRUE (on.first_refused_at <= previous.first_refused_at);
}

/* An append of the first entry gets no answer, and the entry is stopped before
   it reads back.  The caller asks the second one.  */
static void
stop_halfway (const char *what, load_t load)
{
  world_t *world = world_new (&load, RULES_ON);
  gp_time_t on_log_at;

  run_until (world, load.begin);
  arrive (world, 0);
  run_until (world, load.begin + 300 * GP_MSEC);
  on_log_at = world->callers[0].on_log_at;
  CU_ASSERT_EQUAL (world->callers[0].status, 0);
  world->entries[0].stopped = true;
  run_until (world, load.begin + GP_SEC);
  arrive (world, 1);
  world->callers[1].on_log_at = on_log_at;
  run_until (world, load.begin + 3 * GP_SEC);
  printf ("  %s: %s, answered with %d\n", what,
          on_log_at == GP_TIME_NEVER ? "not on the log" : "on the log",
          world->callers[1].status);
  CU_ASSERT_EQUAL (world->callers[1].status, 200);
  world_free (world);
}

/* Guards against answers about a job that is neither known to the next entry
   nor appended by it.  */
static void
test_stopped (void)
{
  load_t load = { .entries = 2,
                  .begin = GP_SEC,
                  .end = GP_SEC + 10 * GP_MSEC,
                  .slower = 1,
                  .lost_percent = 100 };

  printf ("an entry is stopped before it reads back\n");
  stop_halfway ("the answer was lost", load);
  load.silent = true;
  stop_halfway ("the append was lost", load);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "slow", test_slow },       { "lost", test_lost },
          { "silent", test_silent },   { "refusing", test_refusing },
          { "stopped", test_stopped }, CU_TEST_INFO_NULL };

  return runner_main ("append_attempts", tests);
}

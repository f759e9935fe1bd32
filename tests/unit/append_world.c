/* Entries in virtual time whose callers append to one partition.  */

#include "append_world.h"

#include "runner.h"

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

/* The store.  */

static bool
is_faulty (const append_world_t *world, gp_time_t at)
{
  return at >= world->load.begin && at < world->load.end;
}

static int
factor (const append_world_t *world)
{
  return world->now >= world->load.begin - world->load.slow_before
                 && world->now < world->load.end
             ? world->load.slower
             : 1;
}

/* Returns when an answer that is due at AT arrives.  */
static gp_time_t
arrival (append_world_t *world, gp_time_t at)
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
store_append (append_world_t *world, append_call_t *call)
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

static append_call_t
store_read (append_world_t *world)
{
  gp_time_t answer_at = world->now + ANSWER_TIME * factor (world);

  return (append_call_t){ .in_flight = true,
                          .sent_at = world->now,
                          .answer_at = arrival (world, answer_at),
                          .give_up_at = world->now + FEED_TIMEOUT };
}

static void
start_read (append_world_t *world, append_entry_t *entry)
{
  entry->read = store_read (world);
  entry->next_read_at = world->now + FEED_SPACING;
}

/* Callers.  */

#define FOREACH_WAITING(world, number, caller)                                \
  for (append_caller_t *caller = (world)->callers + (world)->first;           \
       caller < (world)->callers + (world)->n_callers; caller++)              \
    if (caller->status == 0 && caller->entry == (number))

static bool
is_open (const append_caller_t *caller)
{
  return caller->in_calls != 0 || caller->open;
}

static void
answer (append_world_t *world, append_caller_t *caller, int status)
{
  caller->status = status;
  caller->answered_at = world->now;
  caller->in_calls = 0;
}

static void
give_up (append_world_t *world, append_caller_t *caller)
{
  answer (world, caller, is_open (caller) ? 504 : 503);
}

static unsigned
count_waiting (append_world_t *world, unsigned number, unsigned slot)
{
  unsigned count = 0;

  FOREACH_WAITING (world, number, caller)
  count += caller->in_calls >> slot & 1;
  return count;
}

static bool
any_open (append_world_t *world, unsigned number)
{
  FOREACH_WAITING (world, number, caller)
  if (is_open (caller))
    return true;
  return false;
}

/* One entry.  */

static gp_time_t
timeout_of (const append_world_t *world, const append_entry_t *entry)
{
  if (world->rules == APPEND_RULES_PREVIOUS)
    return CLAMP (5 * entry->previous.latency, 500 * GP_MSEC, 1200 * GP_MSEC);
  return gp_append_attempts_timeout (&entry->attempts);
}

/* A caller that has less time left is refused.  */
static gp_time_t
needed_time (const append_world_t *world, const append_entry_t *entry)
{
  if (world->rules == APPEND_RULES_PREVIOUS)
    return MIN (entry->previous.latency, 500 * GP_MSEC);
  if (world->rules == APPEND_RULES_OFF)
    return MIN (entry->attempts.latency, 500 * GP_MSEC);
  return MIN (entry->attempts.latency, CALLER_TIME * 3 / 4);
}

static bool
refuses (const append_world_t *world, const append_entry_t *entry)
{
  if (world->rules == APPEND_RULES_PREVIOUS)
    return entry->previous.failures >= 2 && entry->calls[0].in_flight;
  return gp_append_attempts_refuses (&entry->attempts);
}

static void
note_end (append_world_t *world, append_entry_t *entry, unsigned slot,
          gp_attempt_end_t end)
{
  append_previous_t *previous = &entry->previous;
  gp_time_t duration = world->now - entry->calls[slot].sent_at;

  if (world->rules != APPEND_RULES_PREVIOUS)
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
end_append (append_world_t *world, unsigned number, unsigned slot,
            gp_attempt_end_t end)
{
  append_entry_t *entry = &world->entries[number];

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
cancel_append (append_world_t *world, unsigned number, unsigned slot)
{
  append_entry_t *entry = &world->entries[number];

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
cancel_useless (append_world_t *world, unsigned number)
{
  append_entry_t *entry = &world->entries[number];

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
send_append (append_world_t *world, unsigned number, unsigned slot)
{
  append_entry_t *entry = &world->entries[number];
  append_call_t *call = &entry->calls[slot];
  bool holds_back = world->rules == APPEND_RULES_ON
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
  if (world->rules != APPEND_RULES_PREVIOUS)
    gp_append_attempts_sent (&entry->attempts, slot, 0, world->now);
  FOREACH_WAITING (world, number, caller)
  if ((caller->in_calls >> slot & 1) != 0)
    caller->on_log_at = MIN (caller->on_log_at, on_log_at);
}

static void
end_read (append_world_t *world, unsigned number)
{
  append_entry_t *entry = &world->entries[number];
  gp_time_t seen_at = entry->read.sent_at;

  entry->read.in_flight = false;
  entry->answered_at = world->now;
  if (world->rules == APPEND_RULES_PREVIOUS)
    return;
  gp_append_attempts_answered (&entry->attempts, world->now);
  if (world->rules == APPEND_RULES_ON)
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
last_read_is_due (append_world_t *world, unsigned number)
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
take_step (append_world_t *world, unsigned number)
{
  append_entry_t *entry = &world->entries[number];
  gp_attempt_step_t step;

  if (world->rules == APPEND_RULES_PREVIOUS)
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
run_other (append_world_t *world, append_entry_t *entry)
{
  append_call_t *other = &entry->other;

  if (other->in_flight && world->now >= other->answer_at)
    {
      other->in_flight = false;
      entry->answered_at = world->now;
      if (world->rules != APPEND_RULES_PREVIOUS)
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
run_calls (append_world_t *world, unsigned number)
{
  append_entry_t *entry = &world->entries[number];
  unsigned overdue;

  for (unsigned slot = 0; slot < GP_APPEND_ATTEMPTS_MAX; slot++)
    {
      append_call_t *call = &entry->calls[slot];

      if (call->in_flight && world->now >= call->answer_at)
        end_append (world, number, slot, call->end);
      else if (call->in_flight && world->rules != APPEND_RULES_ON
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
  if (world->rules == APPEND_RULES_ON)
    {
      gp_append_attempts_expire (&entry->attempts, world->now, &overdue);
      cancel_useless (world, number);
    }
}

static void
run_entry (append_world_t *world, unsigned number)
{
  append_entry_t *entry = &world->entries[number];
  bool waits = false;

  run_calls (world, number);
  FOREACH_WAITING (world, number, caller)
  if (world->now >= caller->arrived_at + CALLER_TIME)
    give_up (world, caller);
  if (world->rules == APPEND_RULES_ON && last_read_is_due (world, number))
    start_read (world, entry);
  FOREACH_WAITING (world, number, caller)
  waits = true;
  if (waits)
    take_step (world, number);
}

void
append_world_arrive (append_world_t *world, unsigned number)
{
  append_caller_t *caller = &world->callers[world->n_callers++];
  const append_entry_t *entry = &world->entries[number];

  *caller = (append_caller_t){ .entry = number,
                               .arrived_at = world->now,
                               .on_log_at = GP_TIME_NEVER };
  if (!refuses (world, entry))
    return;
  answer (world, caller, 503);
  if (world->rules == APPEND_RULES_ON)
    CU_ASSERT_TRUE (world->now - entry->answered_at >= RECENT);
}

/* Returns what callers got that arrived during the fault.  */
static append_outcome_t
judge (const append_world_t *world)
{
  append_outcome_t outcome = { .appends = world->appends,
                               .first_refused_at = GP_TIME_NEVER,
                               .first_at_once = GP_TIME_NEVER };

  for (unsigned i = 0; i < world->n_callers; i++)
    {
      const append_caller_t *caller = &world->callers[i];

      CU_ASSERT_TRUE (caller->status != 200
                      || caller->on_log_at <= caller->answered_at);
      CU_ASSERT_TRUE (caller->status != 503
                      || caller->on_log_at == GP_TIME_NEVER);
      /* It was not on the log when reads for it were answered.  */
      if (world->rules == APPEND_RULES_ON && !world->load.silent
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

append_world_t *
append_world_new (const append_load_t *load, append_rules_t rules)
{
  append_world_t *world = g_new0 (append_world_t, 1);

  world->rules = rules;
  world->load = *load;
  world->random = g_rand_new_with_seed (7);
  for (unsigned i = 0; i < load->entries; i++)
    {
      gp_append_attempts_init (&world->entries[i].attempts,
                               rules == APPEND_RULES_ON);
      world->entries[i].next_read_at = (gp_time_t)i * 50 * GP_MSEC;
    }
  return world;
}

void
append_world_free (append_world_t *world)
{
  g_rand_free (world->random);
  g_free (world);
}

/* Callers arrive regularly, until one second after the fault.  */
static void
let_arrive (append_world_t *world)
{
  gp_time_t interval = GP_SEC / world->load.arrivals;

  for (unsigned i = 0; i < world->load.entries; i++)
    if (world->now < world->load.end + GP_SEC
        && (world->now + (gp_time_t)(i + 1) * 37 * GP_MSEC) % interval == 0)
      append_world_arrive (world, i);
}

void
append_world_run_until (append_world_t *world, gp_time_t end)
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

append_outcome_t
append_world_play (const append_load_t *load, append_rules_t rules)
{
  append_world_t *world = append_world_new (load, rules);
  append_outcome_t outcome;

  append_world_run_until (world, load->end + 5 * GP_SEC);
  outcome = judge (world);
  append_world_free (world);
  return outcome;
}

/* Attempts of an entry to append the records that its callers wait for.  */

#include "jobs/append_attempts.h"

#include <glib.h>

/* Timeout of an attempt, within these bounds: a multiple of the average
   duration of appends, so that a slow store does not get the next attempt
   while it still processes one.  The upper bound limits the wait for an answer
   that was lost.  */
#define TIMEOUT_FACTOR 5
#define TIMEOUT_MIN (500 * GP_MSEC)
#define TIMEOUT_MAX (1200 * GP_MSEC)
/* Weight of the last duration in the moving average.  */
#define LATENCY_GAIN 0.3
/* Delay of the next append after a failed one.  */
#define DELAY (50 * GP_MSEC)
/* Consecutive failures, or attempts and read backs without an answer, after
   which new callers are refused at once.  */
#define FAILURES_TO_REFUSE 2
/* An append is repeated while another one is in flight only if that one has
   taken this percentage of the average: an earlier repetition would only make
   the store's queue longer.  */
#define REPEAT_PERCENT 150
/* The store refuses an append if those that wait there need more than this
   time, so an attempt that is not on the log by then has not reached the
   store.  */
#define QUEUE_TIME_MAX (2 * GP_SEC)
/* An answer that arrives within this percentage of the average duration of
   appends after a call was sent may have left the store before the call
   reached it, so it does not show that the store still answers.  */
#define CROSSING_PERCENT 150
/* Bounds of the time for the last read of the topic before a caller's answer
   is due; the time is that of an average append, as a read takes less.  */
#define LAST_READ_MIN (150 * GP_MSEC)
#define LAST_READ_MAX (500 * GP_MSEC)

void
gp_append_attempts_init (gp_append_attempts_t *attempts, bool confirm)
{
  *attempts = (gp_append_attempts_t){ .confirm = confirm,
                                      .open_at = INT64_MIN / 2,
                                      .seen_at = INT64_MIN / 2,
                                      .answered_at = INT64_MIN / 2 };
}

gp_time_t
gp_append_attempts_timeout (const gp_append_attempts_t *attempts)
{
  return CLAMP (TIMEOUT_FACTOR * attempts->latency, TIMEOUT_MIN, TIMEOUT_MAX);
}

static void
add_duration (gp_append_attempts_t *attempts, gp_time_t duration)
{
  attempts->latency
      += (gp_time_t)((double)(duration - attempts->latency) * LATENCY_GAIN);
}

/* The attempt in flight that was sent last, NULL: none.  */
static const gp_attempt_t *
newest (const gp_append_attempts_t *attempts)
{
  const gp_attempt_t *found = NULL;

  for (unsigned i = 0; i < GP_APPEND_ATTEMPTS_MAX; i++)
    {
      const gp_attempt_t *attempt = &attempts->attempts[i];

      if (attempt->in_flight
          && (found == NULL || attempt->sent_at > found->sent_at))
        found = attempt;
    }
  return found;
}

/* Find the slot for the next attempt: a free one, or the one of an attempt
   that is replaceable.  */
static bool
find_slot (const gp_append_attempts_t *attempts, unsigned *slot)
{
  for (*slot = 0; *slot < GP_APPEND_ATTEMPTS_MAX; (*slot)++)
    if (!attempts->attempts[*slot].in_flight)
      return true;
  for (*slot = 0; *slot < GP_APPEND_ATTEMPTS_MAX; (*slot)++)
    if (attempts->attempts[*slot].replaceable)
      return true;
  return false;
}

/* Returns when the first attempt is replaceable.  */
static gp_time_t
first_replaceable_at (const gp_append_attempts_t *attempts)
{
  gp_time_t at = GP_TIME_NEVER;

  for (unsigned i = 0; i < GP_APPEND_ATTEMPTS_MAX; i++)
    at = MIN (at, attempts->attempts[i].sent_at + QUEUE_TIME_MAX);
  return at;
}

static gp_attempt_step_t
wait_until (gp_time_t at)
{
  return (gp_attempt_step_t){ .act = GP_ATTEMPT_WAIT, .at = at };
}

/* What to do when no attempt in flight is expected to be answered soon.  */
static gp_attempt_step_t
next_repetition (const gp_append_attempts_t *attempts, bool reads,
                 gp_time_t now)
{
  const gp_attempt_t *last = newest (attempts);
  gp_attempt_step_t step = { .act = GP_ATTEMPT_SEND };
  bool has_slot = find_slot (attempts, &step.slot);
  gp_time_t at = attempts->next_at;

  if (reads && attempts->open_at > attempts->seen_at
      && !(attempts->read_failed && has_slot))
    return (gp_attempt_step_t){ .act = GP_ATTEMPT_READ_BACK };
  if (!has_slot)
    return wait_until (first_replaceable_at (attempts));
  if (last != NULL)
    at = MAX (at, last->sent_at + attempts->latency * REPEAT_PERCENT / 100);
  return now < at ? wait_until (at) : step;
}

gp_attempt_step_t
gp_append_attempts_next (const gp_append_attempts_t *attempts, bool open,
                         bool can_read, gp_time_t now)
{
  const gp_attempt_t *last = newest (attempts);

  if (!attempts->confirm && last != NULL)
    return wait_until (GP_TIME_NEVER);
  /* An attempt that is overdue is older than one that is not.  */
  if (last != NULL && !last->overdue)
    return wait_until (last->overdue_at);
  if (attempts->reading)
    return wait_until (attempts->read_give_up);
  return next_repetition (attempts, attempts->confirm && open && can_read,
                          now);
}

void
gp_append_attempts_sent (gp_append_attempts_t *attempts, unsigned slot,
                         gp_time_t extra, gp_time_t now)
{
  attempts->attempts[slot] = (gp_attempt_t){
    .in_flight = true,
    .sent_at = now,
    .overdue_at = now + gp_append_attempts_timeout (attempts) + extra
  };
  attempts->read_failed = false;
}

/* The attempt or read back that was sent at SENT_AT got no answer.  */
static void
count_silence (gp_append_attempts_t *attempts, gp_time_t sent_at)
{
  gp_time_t crossing = MIN (attempts->latency * CROSSING_PERCENT / 100,
                            gp_append_attempts_timeout (attempts));

  if (attempts->answered_at <= sent_at + crossing)
    attempts->silent++;
  if (attempts->failing_since == 0)
    attempts->failing_since = sent_at;
}

void
gp_append_attempts_answered (gp_append_attempts_t *attempts, gp_time_t now)
{
  attempts->answered_at = now;
  attempts->silent = 0;
}

/* An outcome is left open, so the topic has to be read.  */
static void
leave_open (gp_append_attempts_t *attempts, gp_time_t now)
{
  attempts->open_at = now;
  attempts->read_failed = false;
}

static void
end_unconfirmed (gp_append_attempts_t *attempts, gp_attempt_end_t end,
                 gp_time_t duration)
{
  if (end == GP_ATTEMPT_LOST)
    duration = MAX (duration, 2 * attempts->latency);
  add_duration (attempts, duration);
}

static void
end_confirmed (gp_append_attempts_t *attempts, const gp_attempt_t *attempt,
               gp_attempt_end_t end, gp_time_t now)
{
  switch (end)
    {
    case GP_ATTEMPT_DONE:
      add_duration (attempts, now - attempt->sent_at);
      gp_append_attempts_answered (attempts, now);
      return;
    case GP_ATTEMPT_REFUSED:
      /* It may not have come from the store, or not have been connected.  */
      return;
    case GP_ATTEMPT_LOST:
      leave_open (attempts, now);
      if (!attempt->overdue && !attempt->settled)
        count_silence (attempts, attempt->sent_at);
      return;
    }
}

void
gp_append_attempts_ended (gp_append_attempts_t *attempts, unsigned slot,
                          gp_attempt_end_t end, gp_time_t now)
{
  gp_attempt_t *attempt = &attempts->attempts[slot];

  attempt->in_flight = false;
  if (attempts->confirm)
    end_confirmed (attempts, attempt, end, now);
  else
    end_unconfirmed (attempts, end, now - attempt->sent_at);
  attempts->next_at = end == GP_ATTEMPT_DONE ? now : now + DELAY;
  attempts->failures = end == GP_ATTEMPT_DONE ? 0 : attempts->failures + 1;
  if (end == GP_ATTEMPT_DONE)
    attempts->failing_since = 0;
  else if (attempts->failing_since == 0)
    attempts->failing_since = attempt->sent_at;
}

void
gp_append_attempts_settle (gp_append_attempts_t *attempts, unsigned slot)
{
  attempts->attempts[slot].settled = true;
}

void
gp_append_attempts_found (gp_append_attempts_t *attempts)
{
  attempts->failures = 0;
  attempts->failing_since = 0;
}

bool
gp_append_attempts_is_useless (const gp_append_attempts_t *attempts,
                               unsigned slot)
{
  const gp_attempt_t *attempt = &attempts->attempts[slot];

  return attempts->confirm && attempt->in_flight && attempt->settled
         && attempt->overdue;
}

void
gp_append_attempts_cancelled (gp_append_attempts_t *attempts, unsigned slot)
{
  attempts->attempts[slot].in_flight = false;
}

void
gp_append_attempts_read_back (gp_append_attempts_t *attempts, gp_time_t now)
{
  attempts->reading = true;
  attempts->read_at = now;
  attempts->read_give_up = now + gp_append_attempts_timeout (attempts);
}

void
gp_append_attempts_seen (gp_append_attempts_t *attempts, gp_time_t seen_at,
                         gp_time_t now)
{
  attempts->seen_at = MAX (attempts->seen_at, seen_at);
  if (!attempts->reading || seen_at < attempts->read_at)
    return;
  attempts->reading = false;
  attempts->read_failed = false;
  /* An append takes at least as long as this read.  */
  if (now - attempts->read_at > attempts->latency)
    add_duration (attempts, now - attempts->read_at);
  gp_append_attempts_answered (attempts, now);
}

/* Returns whether ATTEMPT has become overdue, and a caller waits for it.  */
static bool
expire_attempt (gp_append_attempts_t *attempts, gp_attempt_t *attempt,
                gp_time_t now)
{
  if (!attempt->in_flight || now < attempt->overdue_at)
    return false;
  if (!attempt->replaceable && now >= attempt->sent_at + QUEUE_TIME_MAX)
    {
      attempt->replaceable = true;
      leave_open (attempts, now);
    }
  if (attempt->overdue)
    return false;
  attempt->overdue = true;
  if (attempt->settled)
    return false;
  leave_open (attempts, now);
  count_silence (attempts, attempt->sent_at);
  return true;
}

bool
gp_append_attempts_expire (gp_append_attempts_t *attempts, gp_time_t now,
                           unsigned *slot)
{
  bool expired = false;

  for (unsigned i = 0; attempts->confirm && i < GP_APPEND_ATTEMPTS_MAX; i++)
    if (expire_attempt (attempts, &attempts->attempts[i], now))
      {
        *slot = i;
        expired = true;
      }
  if (attempts->reading && now >= attempts->read_give_up)
    {
      attempts->reading = false;
      attempts->read_failed = true;
      count_silence (attempts, attempts->read_at);
      *slot = GP_APPEND_ATTEMPTS_MAX;
      expired = true;
    }
  return expired;
}

bool
gp_append_attempts_is_unavailable (const gp_append_attempts_t *attempts)
{
  return (attempts->confirm ? attempts->silent : attempts->failures)
         >= FAILURES_TO_REFUSE;
}

bool
gp_append_attempts_refuses (const gp_append_attempts_t *attempts)
{
  return gp_append_attempts_is_unavailable (attempts)
         && (newest (attempts) != NULL || attempts->reading);
}

gp_time_t
gp_append_attempts_last_read_at (const gp_append_attempts_t *attempts,
                                 gp_time_t deadline)
{
  return deadline - CLAMP (attempts->latency, LAST_READ_MIN, LAST_READ_MAX);
}

gp_time_t
gp_append_attempts_outage (const gp_append_attempts_t *attempts, gp_time_t now)
{
  if (attempts->failing_since == 0)
    return 0;
  /* An attempt that is overdue may still be answered.  */
  if (attempts->confirm && attempts->failures < FAILURES_TO_REFUSE
      && !gp_append_attempts_is_unavailable (attempts))
    return 0;
  return now - attempts->failing_since;
}

gp_time_t
gp_append_attempts_backlog (const gp_append_attempts_t *attempts,
                            unsigned batches, gp_time_t now)
{
  const gp_attempt_t *last = newest (attempts);
  gp_time_t duration = attempts->latency;
  unsigned appends = batches;

  if (last != NULL)
    {
      duration = MAX (duration, now - last->sent_at);
      appends++;
    }
  return duration * appends;
}

#include "coordination/lease_holder.h"

/* A renewal is overdue when less than length / EXPIRING_DIVISOR of the lease
   is left.  */
#define EXPIRING_DIVISOR 2
/* If log-fresh renewals are for less than length * (1 - 1 / FRESH_DIVISOR),
   or none has arrived for length / FRESH_DIVISOR, entries have trouble
   reading the log.  */
#define FRESH_DIVISOR 4
/* Heartbeats are sent this many times as often while the lease is not held
   or is expiring.  */
#define URGENT_FACTOR 4
/* Maximum deviation of the heartbeat period, as a fraction of it.  */
#define JITTER 0.25

static gp_lease_holder_action_t *
action_add (gp_lease_holder_actions_t *actions,
            gp_lease_holder_action_kind_t kind)
{
  gp_lease_holder_action_t *action;

  g_assert (actions->count < GP_LEASE_HOLDER_MAX_ACTIONS);
  action = &actions->items[actions->count++];
  action->kind = kind;
  return action;
}

void
gp_lease_holder_init (gp_lease_holder_t *holder,
                      const gp_lease_timing_t *timing,
                      gp_epoch_table_t *epochs, GRand *random,
                      uint64_t incarnation, gp_time_t now)
{
  *holder = (gp_lease_holder_t){ .timing = *timing,
                                 .random = random,
                                 .epochs = epochs,
                                 .state = GP_LEASE_NONE,
                                 .incarnation = incarnation,
                                 .next_incarnation = incarnation + 1,
                                 .renew_at = now };
}

void
gp_lease_holder_inherit (gp_lease_holder_t *holder, uint64_t predecessor,
                         gp_time_t deadline, gp_time_t now)
{
  if (deadline <= now)
    return;
  holder->inherits = predecessor;
  holder->deadline = deadline;
  holder->state = GP_LEASE_HELD;
}

static void
lose_lease (gp_lease_holder_t *holder, gp_lease_state_t state,
            gp_lease_holder_actions_t *actions)
{
  holder->state = state;
  gp_epoch_table_end_all (holder->epochs);
  action_add (actions, GP_LEASE_HOLDER_STOP_ALL)->u.claim
      = holder->next_incarnation;
}

/* Checks the lease for having lapsed or being overdue; called before
   anything else.  */
static void
check_lease (gp_lease_holder_t *holder, gp_time_t now,
             gp_lease_holder_actions_t *actions)
{
  if (!gp_lease_holder_held (holder))
    return;
  if (now >= holder->deadline)
    lose_lease (holder, GP_LEASE_LAPSED, actions);
  else if (holder->deadline - now < holder->timing.length / EXPIRING_DIVISOR)
    holder->state = GP_LEASE_EXPIRING;
}

static gp_time_t
renewal_period (const gp_lease_holder_t *holder)
{
  gp_time_t period = holder->timing.heartbeat;

  return holder->state == GP_LEASE_HELD ? period : period / URGENT_FACTOR;
}

static void
send_heartbeat (gp_lease_holder_t *holder, gp_time_t now,
                gp_lease_holder_actions_t *actions)
{
  gp_lease_holder_action_t *action;
  double jitter = g_rand_double_range (holder->random, -JITTER, JITTER);

  holder->sequence++;
  holder->sent_at[holder->sequence % GP_LEASE_HOLDER_SENT_TIMES] = now;
  holder->renew_at
      = now + (gp_time_t)(renewal_period (holder) * (1.0 + jitter));
  action = action_add (actions, GP_LEASE_HOLDER_RENEW);
  action->u.renew.sequence = holder->sequence;
  action->u.renew.held = gp_lease_holder_held (holder);
  action->u.renew.wants_vouch
      = action->u.renew.held
        && now - holder->fresh_at > holder->timing.length / FRESH_DIVISOR;
}

static bool
is_stopping (const gp_lease_holder_t *holder)
{
  return holder->state == GP_LEASE_LAPSED || holder->state == GP_LEASE_FENCED;
}

void
gp_lease_holder_check (gp_lease_holder_t *holder, gp_time_t now,
                       gp_lease_holder_actions_t *actions)
{
  check_lease (holder, now, actions);
  if (!is_stopping (holder) && now >= holder->renew_at)
    send_heartbeat (holder, now, actions);
}

/* Returns when the heartbeat SEQUENCE was sent, or -1 if that is no longer
   known.  */
static gp_time_t
sent_time (const gp_lease_holder_t *holder, uint64_t sequence)
{
  if (sequence == 0 || sequence > holder->sequence)
    return -1;
  if (holder->sequence - sequence >= GP_LEASE_HOLDER_SENT_TIMES)
    return -1;
  return holder->sent_at[sequence % GP_LEASE_HOLDER_SENT_TIMES];
}

static bool
is_sufficient_renewal (const gp_lease_holder_t *holder,
                       const gp_lease_reply_t *reply)
{
  gp_time_t length = holder->timing.length;

  return !reply->vouched
         && reply->remaining >= length - length / FRESH_DIVISOR;
}

static void
extend_lease (gp_lease_holder_t *holder, const gp_lease_reply_t *reply,
              gp_time_t now, gp_lease_holder_actions_t *actions)
{
  gp_time_t sent = sent_time (holder, reply->sequence);
  gp_time_t deadline = sent + reply->remaining;

  if (sent < 0 || reply->remaining <= 0 || deadline <= now)
    return;
  if (is_sufficient_renewal (holder, reply))
    holder->fresh_at = now;
  if (reply->vouched && !gp_lease_holder_held (holder))
    return;
  if (gp_lease_holder_held (holder) && deadline <= holder->deadline)
    return;
  holder->deadline = deadline;
  holder->state = GP_LEASE_HELD;
  action_add (actions, GP_LEASE_HOLDER_SET_DEADLINE)->u.deadline = deadline;
  check_lease (holder, now, actions);
}

void
gp_lease_holder_reply (gp_lease_holder_t *holder,
                       const gp_lease_reply_t *reply, gp_time_t now,
                       gp_lease_holder_actions_t *actions)
{
  check_lease (holder, now, actions);
  if (is_stopping (holder) || reply->incarnation != holder->incarnation)
    return;
  if (reply->superseded_by >= holder->next_incarnation)
    holder->next_incarnation = reply->superseded_by + 1;
  if (reply->fenced || reply->superseded_by > holder->incarnation)
    lose_lease (holder, GP_LEASE_FENCED, actions);
  else
    extend_lease (holder, reply, now, actions);
}

void
gp_lease_holder_runtime_restarted (gp_lease_holder_t *holder,
                                   gp_lease_holder_actions_t *actions)
{
  if (!is_stopping (holder))
    lose_lease (holder, GP_LEASE_LAPSED, actions);
}

static void
begin_incarnation (gp_lease_holder_t *holder, uint64_t inherits, gp_time_t now,
                   gp_lease_holder_actions_t *actions)
{
  gp_lease_holder_action_t *action;

  holder->incarnation = holder->next_incarnation++;
  holder->inherits = inherits;
  holder->renew_at = now;
  gp_epoch_table_restart (holder->epochs);
  action = action_add (actions, GP_LEASE_HOLDER_ANNOUNCE);
  action->u.announce.incarnation = holder->incarnation;
  action->u.announce.inherits = inherits;
}

void
gp_lease_holder_stopped (gp_lease_holder_t *holder, gp_time_t now,
                         gp_lease_holder_actions_t *actions)
{
  if (!is_stopping (holder))
    return;
  holder->state = GP_LEASE_NONE;
  holder->deadline = 0;
  begin_incarnation (holder, 0, now, actions);
}

void
gp_lease_holder_new_incarnation (gp_lease_holder_t *holder, gp_time_t now,
                                 gp_lease_holder_actions_t *actions)
{
  check_lease (holder, now, actions);
  if (gp_lease_holder_held (holder))
    begin_incarnation (holder, holder->incarnation, now, actions);
}

static bool
may_start (const gp_lease_holder_t *holder, gp_time_t now)
{
  if (gp_epoch_table_full (holder->epochs))
    return false;
  if (!gp_lease_holder_held (holder))
    return false;
  return holder->deadline - now >= holder->timing.start_min;
}

gp_start_verdict_t
gp_lease_holder_start (gp_lease_holder_t *holder, uint64_t task,
                       uint64_t epoch, uint64_t incarnation, gp_time_t now,
                       gp_lease_holder_actions_t *actions)
{
  gp_epoch_status_t status;

  check_lease (holder, now, actions);
  status = gp_epoch_table_status (holder->epochs, task, epoch);
  if (status == GP_EPOCH_RUNNING)
    return GP_START_DUPLICATE;
  if (incarnation != holder->incarnation)
    return GP_START_STALE;
  if (status == GP_EPOCH_NEW && may_start (holder, now))
    {
      gp_epoch_table_set_running (holder->epochs, task, epoch);
      return GP_START_ACCEPTED;
    }
  gp_epoch_table_set_ended (holder->epochs, task, epoch);
  return GP_START_REFUSED;
}

gp_time_t
gp_lease_holder_next_deadline (const gp_lease_holder_t *holder)
{
  if (is_stopping (holder))
    return GP_TIME_NEVER;
  if (gp_lease_holder_held (holder))
    return MIN (holder->renew_at, holder->deadline);
  return holder->renew_at;
}

const char *
gp_lease_state_name (gp_lease_state_t state)
{
  switch (state)
    {
    case GP_LEASE_NONE:
      return "none";
    case GP_LEASE_HELD:
      return "held";
    case GP_LEASE_EXPIRING:
      return "expiring";
    case GP_LEASE_LAPSED:
      return "lapsed";
    case GP_LEASE_FENCED:
      return "fenced";
    }
  return "?";
}

/* Lease simulation: worker VMs with their runtime and guard.  */

#include "lease_world_impl.h"

static void
task_gone (world_t *w, unsigned guard, unsigned task)
{
  runtime_t *rt = &w->runtimes[guard];
  event_t event = { .kind = EV_TASK_ENDED, .task = task };

  event.id = rt->running[task];
  lw_trace (w, "%s: task %u epoch %" PRIu64 " gone", lw_guard_names[guard],
            task + 1, rt->running[task]);
  rt->running[task] = NO_EPOCH;
  rt->dying[task] = false;
  if (lw_count_running (w, task) == 0)
    w->idle_since[task] = w->now;
  lw_send_local (w, guard, &event);
}

static void
confirm_stop (world_t *w, unsigned guard)
{
  runtime_t *rt = &w->runtimes[guard];
  event_t event = { .kind = EV_STOPPED, .pid = w->pid[lw_guard_node (guard)] };

  for (unsigned t = 0; t < LW_TASKS; t++)
    if (rt->running[t] != NO_EPOCH)
      return;
  if (!rt->stop_wanted)
    return;
  rt->stop_wanted = false;
  lw_send_local (w, guard, &event);
}

/* Kills every task.  In noisy runs that takes up to 90% of the margin,
   except right after a suspension, when it happens before anything else.  */
static void
kill_all (world_t *w, unsigned guard)
{
  runtime_t *rt = &w->runtimes[guard];
  gp_time_t margin = 500 * GP_MSEC;
  bool slow = w->options->noisy;

  for (unsigned i = 0; i < w->num_faults; i++)
    if (w->faults[i].kind == LW_PAUSE_VM && w->faults[i].a == guard
        && w->faults[i].end == w->now)
      slow = false;
  for (unsigned t = 0; t < LW_TASKS; t++)
    {
      event_t event = { .kind = EV_RT_DEAD, .node = lw_guard_node (guard) };

      if (rt->running[t] == NO_EPOCH || (rt->dying[t] && slow))
        continue;
      event.from = w->boots[guard];
      event.task = t;
      event.id = rt->running[t];
      rt->dying[t] = true;
      if (slow)
        lw_push (
            w, w->now + g_rand_int_range (w->rng, 0, (gint32)margin * 9 / 10),
            &event);
      else
        task_gone (w, guard, t);
    }
  confirm_stop (w, guard);
}

static bool
claim_refused (const world_t *w, const event_t *e, const runtime_t *rt)
{
  return w->options->mutation != LW_NO_CLAIM && e->incarnation < rt->holder;
}

void
lw_runtime_check (world_t *w, unsigned guard)
{
  runtime_t *rt = &w->runtimes[guard];
  gp_time_t now = lw_local_time (w, lw_guard_node (guard));

  if (now >= rt->deadline)
    kill_all (w, guard);
}

static void
runtime_lease (world_t *w, unsigned guard, gp_time_t deadline)
{
  runtime_t *rt = &w->runtimes[guard];
  event_t check = { .kind = EV_RT_CHECK, .node = lw_guard_node (guard) };

  lw_runtime_check (w, guard);
  if (deadline <= rt->deadline)
    return;
  rt->deadline = deadline;
  check.from = w->boots[guard];
  lw_push (w, lw_true_time (w, lw_guard_node (guard), deadline), &check);
}

static void
runtime_start (world_t *w, unsigned guard, const event_t *e)
{
  runtime_t *rt = &w->runtimes[guard];

  lw_runtime_check (w, guard);
  if (claim_refused (w, e, rt) || rt->running[e->task] != NO_EPOCH
      || e->deadline <= lw_local_time (w, lw_guard_node (guard)))
    {
      event_t refused = { .kind = EV_TASK_ENDED, .task = e->task };

      refused.id = e->id;
      lw_send_local (w, guard, &refused);
      return;
    }
  runtime_lease (w, guard, e->deadline);
  lw_trace (w, "%s: task %u epoch %" PRIu64 " runs", lw_guard_names[guard],
            e->task + 1, e->id);
  if (lw_count_running (w, e->task) == 0)
    lw_end_idle (w, e->task);
  rt->running[e->task] = e->id;
  w->result.starts++;
  lw_check_world (w);
}

void
lw_runtime_event (world_t *w, unsigned guard, const event_t *e)
{
  runtime_t *rt = &w->runtimes[guard];

  if (e->kind == EV_RT_START)
    runtime_start (w, guard, e);
  else if (e->kind == EV_RT_LEASE && !claim_refused (w, e, rt))
    runtime_lease (w, guard, e->deadline);
  else if (e->kind == EV_RT_CHECK)
    lw_runtime_check (w, guard);
  else if (e->kind == EV_RT_STOP && !claim_refused (w, e, rt))
    {
      rt->stop_wanted = true;
      if (w->options->mutation != LW_STOP_UNCLAIMED)
        rt->holder = e->id;
      kill_all (w, guard);
    }
  else if (e->kind == EV_RT_DEAD && rt->running[e->task] == e->id
           && rt->dying[e->task])
    {
      task_gone (w, guard, e->task);
      confirm_stop (w, guard);
    }
}

/* The guard.  */

static void
guard_heartbeat (world_t *w, unsigned guard,
                 const gp_lease_holder_action_t *action)
{
  guard_t *g = &w->guards[guard];

  for (unsigned e = 0; e < w->options->num_entries; e++)
    {
      event_t beat = { .kind = EV_HEARTBEAT };

      beat.id = action->u.renew.sequence;
      beat.request.incarnation = g->holder.incarnation;
      beat.request.inherits = g->holder.inherits;
      beat.request.held = action->u.renew.held;
      beat.request.wants_vouch = action->u.renew.wants_vouch;
      for (uint64_t t = 0; t < LW_TASKS; t++)
        for (uint64_t n = 1; n <= w->fold.tasks[t].epoch; n++)
          if (gp_epoch_table_status (&g->epochs, t, n) == GP_EPOCH_RUNNING)
            beat.running[t] = n;
      memcpy (beat.ended, g->ended, sizeof beat.ended);
      lw_send_message (w, lw_guard_node (guard), e, &beat);
    }
}

static void
guard_announce (world_t *w, unsigned guard, uint64_t old)
{
  guard_t *g = &w->guards[guard];

  if (w->options->mutation == LW_SAME_INCARNATION)
    g->holder.incarnation = old;
  w->incarnation[lw_guard_node (guard)] = g->holder.incarnation;
  w->runtimes[guard].holder = g->holder.incarnation;
  lw_trace (w, "%s: incarnation %" PRIu64, lw_guard_names[guard],
            g->holder.incarnation);
}

static void
guard_execute_actions (world_t *w, unsigned guard,
                       gp_lease_holder_actions_t *actions, uint64_t old)
{
  guard_t *g = &w->guards[guard];
  event_t call = { .incarnation = old };

  for (unsigned i = 0; i < actions->count; i++)
    switch (actions->items[i].kind)
      {
      case GP_LEASE_HOLDER_RENEW:
        guard_heartbeat (w, guard, &actions->items[i]);
        break;
      case GP_LEASE_HOLDER_SET_DEADLINE:
        call.kind = EV_RT_LEASE;
        call.deadline = actions->items[i].u.deadline;
        lw_send_local (w, guard, &call);
        break;
      case GP_LEASE_HOLDER_STOP_ALL:
        lw_trace (w, "%s: lease %s", lw_guard_names[guard],
                  gp_lease_state_name (g->holder.state));
        call.kind = EV_RT_STOP;
        call.id = actions->items[i].u.claim;
        lw_send_local (w, guard, &call);
        break;
      case GP_LEASE_HOLDER_ANNOUNCE:
        guard_announce (w, guard, old);
        break;
      }
  actions->count = 0;
}

static void
guard_wake_later (world_t *w, unsigned guard)
{
  unsigned node = lw_guard_node (guard);
  gp_time_t due = gp_lease_holder_next_deadline (&w->guards[guard].holder);
  event_t wake = { .kind = EV_WAKE, .node = node, .pid = w->pid[node] };

  if (due == GP_TIME_NEVER || due == w->guards[guard].wake_at)
    return;
  w->guards[guard].wake_at = due;
  lw_push (w, lw_true_time (w, node, due), &wake);
}

static void
guard_start (world_t *w, unsigned guard, const event_t *e,
             gp_lease_holder_actions_t *actions)
{
  guard_t *g = &w->guards[guard];
  event_t call = { .kind = EV_RT_START, .task = e->task, .id = e->id };

  switch (gp_lease_holder_start (&g->holder, e->task, e->id, e->incarnation,
                                 lw_local_time (w, lw_guard_node (guard)),
                                 actions))
    {
    case GP_START_ACCEPTED:
      call.incarnation = g->holder.incarnation;
      call.deadline = g->holder.deadline;
      lw_send_local (w, guard, &call);
      break;
    case GP_START_REFUSED:
      g->ended[e->task] = MAX (g->ended[e->task], e->id);
      break;
    case GP_START_DUPLICATE:
    case GP_START_STALE:
      break;
    }
}

static void
guard_reply (world_t *w, unsigned guard, const event_t *e,
             gp_lease_holder_actions_t *actions)
{
  gp_lease_holder_t *holder = &w->guards[guard].holder;
  gp_time_t now = lw_local_time (w, lw_guard_node (guard));
  gp_lease_reply_t reply = e->reply;

  if (w->options->mutation == LW_HOLDER_RECEIVE && reply.remaining > 0)
    reply.remaining
        += now - holder->sent_at[reply.sequence % GP_LEASE_HOLDER_SENT_TIMES];
  if (w->options->mutation == LW_VOUCH_REVIVES)
    reply.vouched = false;
  gp_lease_holder_reply (holder, &reply, now, actions);
}

void
lw_guard_event (world_t *w, unsigned guard, const event_t *e)
{
  guard_t *g = &w->guards[guard];
  gp_lease_holder_actions_t actions = { 0 };
  gp_time_t now = lw_local_time (w, lw_guard_node (guard));
  uint64_t old = g->holder.incarnation;

  gp_lease_holder_check (&g->holder, now, &actions);
  guard_execute_actions (w, guard, &actions, old);
  if (e->kind == EV_REPLY)
    guard_reply (w, guard, e, &actions);
  else if (e->kind == EV_START)
    guard_start (w, guard, e, &actions);
  else if (e->kind == EV_STOPPED)
    gp_lease_holder_stopped (&g->holder, now, &actions);
  else if (e->kind == EV_WAKE && w->options->noisy
           && g_rand_int_range (w->rng, 0, 32) == 0)
    gp_lease_holder_new_incarnation (&g->holder, now, &actions);
  else if (e->kind == EV_TASK_ENDED && e->id != NO_EPOCH)
    {
      gp_epoch_table_set_ended (&g->epochs, e->task, e->id);
      g->ended[e->task] = MAX (g->ended[e->task], e->id);
    }
  guard_execute_actions (w, guard, &actions, old);
  guard_wake_later (w, guard);
}

uint64_t
lw_next_incarnation (world_t *w, unsigned node)
{
  w->incarnation[node]
      = (w->incarnation[node] / INCARNATION_STEP + 1) * INCARNATION_STEP;
  return w->incarnation[node];
}

void
lw_guard_boot (world_t *w, unsigned guard)
{
  guard_t *g = &w->guards[guard];
  runtime_t *rt = &w->runtimes[guard];
  unsigned node = lw_guard_node (guard);
  uint64_t predecessor = rt->holder;
  event_t wake = { .kind = EV_WAKE, .node = node, .pid = w->pid[node] };

  memset (g->ended, 0, sizeof g->ended);
  g->wake_at = 0;
  gp_epoch_table_init (&g->epochs, 1024);
  rt->holder = lw_next_incarnation (w, node);
  rt->stop_wanted = false;
  gp_lease_holder_init (&g->holder, &w->options->timing, &g->epochs, w->rng,
                        rt->holder, lw_local_time (w, node));
  if (predecessor != 0)
    gp_lease_holder_inherit (&g->holder, predecessor, rt->deadline,
                             lw_local_time (w, node));
  for (unsigned t = 0; t < LW_TASKS; t++)
    if (rt->running[t] != NO_EPOCH)
      gp_epoch_table_set_running (&g->epochs, t, rt->running[t]);
  lw_trace (w, "%s: guard starts, incarnation %" PRIu64, lw_guard_names[guard],
            rt->holder);
  lw_push (w, w->now, &wake);
}

void
lw_vm_kill (world_t *w, unsigned guard)
{
  runtime_t *rt = &w->runtimes[guard];

  for (unsigned t = 0; t < LW_TASKS; t++)
    if (rt->running[t] != NO_EPOCH)
      {
        lw_trace (w, "%s: task %u epoch %" PRIu64 " dies with the VM",
                  lw_guard_names[guard], t + 1, rt->running[t]);
        rt->running[t] = NO_EPOCH;
        if (lw_count_running (w, t) == 0)
          w->idle_since[t] = w->now;
      }
  *rt = (runtime_t){ 0 };
  w->boots[guard]++;
}

/* The runner: lease and messages.  */

#include "daemon/runner_private.h"

#include "base/counters.h"
#include "base/log.h"

/* Limit of tasks whose epochs are stored; see
   coordination/epoch_table.h.  */
#define MAX_EPOCHS 8192

static gp_counter_t lapses_total = GP_COUNTER (
    "runner_lapses_total", "Leases of the worker that lapsed or were fenced.");
static gp_counter_t incarnations_total = GP_COUNTER (
    "runner_incarnations_total", "Incarnations of the lease begun.");

/* Shared helpers.  */

void
gp_runner_record_event (gp_runner_t *runner, gp_timeline_kind_t kind,
                        const gp_runner_key_t *key, const char *text)
{
  gp_timeline_subject_t subject = { .vm = runner->settings->name };

  if (runner->timeline == NULL)
    return;
  if (key != NULL)
    {
      subject.task = key->task;
      subject.epoch = key->epoch;
    }
  gp_timeline_append (runner->timeline, kind, &subject, text, gp_time_wall ());
}

static bool
is_entry (const gp_session_t *session)
{
  return session->ready && session->role == GP__WIRE__ROLE__ROLE_ENTRY;
}

void
gp_runner_broadcast (gp_runner_t *runner, const Gp__Wire__Envelope *envelope)
{
  GP_LIST_FOREACH (pos, &runner->host->sessions)
  {
    gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (is_entry (session))
      gp_session_send (session, envelope);
  }
}

void
gp_runner_announce (gp_runner_t *runner)
{
  runner->callbacks.on_announcement_changed (runner->callbacks.data);
  GP_LIST_FOREACH (pos, &runner->host->sessions)
  {
    gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (is_entry (session))
      gp_runner_send_inventory (runner, session);
  }
}

void
gp_runner_on_claimed (gp_runner_t *runner, uint64_t holder)
{
  if (holder <= runner->runtime.holder
      || runner->phase == GP_RUNNER_SUPERSEDED)
    return;
  gp_log (GP_LOG_ERROR, "runner.superseded", GP_LOG_I ("holder", holder));
  runner->phase = GP_RUNNER_SUPERSEDED;
  gp_timer_disarm (&runner->lease_timer);
  runner->callbacks.on_announcement_changed (runner->callbacks.data);
  gp_runner_check_drained (runner);
}

/* Lease.  */

static void on_renewal (const gp_runtime_answer_t *answer, void *data);

/* Send the lease deadline to the runtime.  While a call is in progress, only
   the latest deadline is kept and sent afterwards.  */
static void
send_deadline (gp_runner_t *runner, gp_time_t deadline)
{
  if (runner->renewal_in_progress)
    {
      runner->queued_deadline = deadline;
      return;
    }
  runner->renewal_in_progress = true;
  runner->queued_deadline = 0;
  gp_runtime_renew (&runner->runtime, deadline, on_renewal);
}

static void
on_renewal (const gp_runtime_answer_t *answer, void *data)
{
  gp_runner_t *runner = data;

  runner->renewal_in_progress = false;
  gp_runner_check_lease (runner);
  if (answer->claimed_by != 0)
    gp_runner_on_claimed (runner, answer->claimed_by);
  if (runner->queued_deadline != 0 && gp_lease_holder_held (&runner->holder))
    send_deadline (runner, runner->queued_deadline);
}

static void
stop_all (gp_runner_t *runner, uint64_t claim)
{
  const char *state = gp_lease_state_name (runner->holder.state);

  gp_log (GP_LOG_WARNING, "lease.ended", GP_LOG_S ("state", state),
          GP_LOG_I ("next", claim));
  gp_counter_add (&lapses_total, 1);
  gp_runner_record_event (runner,
                          runner->holder.state == GP_LEASE_FENCED
                              ? GP_TIMELINE_FENCE
                              : GP_TIMELINE_LEASE_LAPSED,
                          NULL, state);
  runner->phase = GP_RUNNER_STOPPING;
  runner->runtime.holder = claim;
  runner->queued_deadline = 0;
  gp_runner_attach (runner);
}

static void
on_incarnation_claimed (const gp_runtime_answer_t *answer, void *data)
{
  gp_runner_t *runner = data;

  gp_runner_check_lease (runner);
  if (answer->claimed_by != 0)
    gp_runner_on_claimed (runner, answer->claimed_by);
}

static void
begin_incarnation (gp_runner_t *runner, uint64_t incarnation,
                   uint64_t inherits)
{
  runner->runtime.holder = incarnation;
  if (inherits != 0)
    gp_runtime_claim (&runner->runtime, on_incarnation_claimed);
  gp_counter_add (&incarnations_total, 1);
  gp_log (GP_LOG_INFO, "lease.incarnation",
          GP_LOG_I ("incarnation", incarnation),
          GP_LOG_I ("inherits", inherits));
  gp_runner_announce (runner);
}

static void
apply_lease_action (gp_runner_t *runner,
                    const gp_lease_holder_action_t *action)
{
  switch (action->kind)
    {
    case GP_LEASE_HOLDER_RENEW:
      runner->wants_vouch = action->u.renew.wants_vouch;
      runner->callbacks.on_heartbeat_due (runner->callbacks.data);
      break;
    case GP_LEASE_HOLDER_SET_DEADLINE:
      send_deadline (runner, action->u.deadline);
      break;
    case GP_LEASE_HOLDER_STOP_ALL:
      stop_all (runner, action->u.claim);
      break;
    case GP_LEASE_HOLDER_ANNOUNCE:
      begin_incarnation (runner, action->u.announce.incarnation,
                         action->u.announce.inherits);
      break;
    }
}

static void
arm_lease_timer (gp_runner_t *runner)
{
  gp_time_t due = gp_lease_holder_next_deadline (&runner->holder);

  if (due == GP_TIME_NEVER || runner->phase == GP_RUNNER_SUPERSEDED)
    gp_timer_disarm (&runner->lease_timer);
  else
    gp_timer_arm (&runner->lease_timer, due);
}

void
gp_runner_apply_lease_actions (gp_runner_t *runner,
                               gp_lease_holder_actions_t *actions)
{
  for (unsigned i = 0; i < actions->count; i++)
    apply_lease_action (runner, &actions->items[i]);
  actions->count = 0;
  arm_lease_timer (runner);
}

/* Whether the lease holder has been initialized and is in use.  */
static bool
has_lease_holder (const gp_runner_t *runner)
{
  switch (runner->phase)
    {
    case GP_RUNNER_SERVING:
    case GP_RUNNER_STOPPING:
      return true;
    case GP_RUNNER_STARTING:
    case GP_RUNNER_SUPERSEDED:
      break;
    }
  return false;
}

void
gp_runner_check_lease (gp_runner_t *runner)
{
  gp_lease_holder_actions_t actions = { 0 };

  if (!has_lease_holder (runner))
    return;
  gp_lease_holder_check (&runner->holder, gp_time_now (), &actions);
  gp_runner_apply_lease_actions (runner, &actions);
}

static void
on_lease_timer (gp_timer_t *timer, void *data)
{
  (void)timer;
  gp_runner_check_lease (data);
}

static void
on_repeat_timer (gp_timer_t *timer, void *data)
{
  gp_runner_t *runner = data;

  gp_runner_check_lease (runner);
  gp_runner_repeat_unanswered (runner);
  gp_timer_arm (timer, gp_time_now () + runner->timing.heartbeat);
}

static void
on_usage_timer (gp_timer_t *timer, void *data)
{
  gp_runner_t *runner = data;
  gp_time_t period = runner->settings->timings.usage_ms * GP_MSEC;

  gp_runner_check_lease (runner);
  gp_runner_measure_usage (runner);
  gp_timer_arm (timer, gp_time_now () + period);
}

static gp_resources_t
resources_of (const gp_settings_resources_t *settings)
{
  return (gp_resources_t){ .millicores = settings->millicores,
                           .memory_mib = settings->memory_mib,
                           .accelerators = settings->accelerators };
}

/* The resources for tasks: those of the settings, limited to what the runtime
   has.  */
static gp_resources_t
total_resources (const gp_runner_t *runner)
{
  const gp_settings_worker_t *worker = runner->settings->guard->worker;
  const gp_resources_t *has = &runner->info.capacity;

  return (gp_resources_t){
    .millicores = MIN (worker->millicores, has->millicores),
    .memory_mib = MIN (worker->memory_mib, has->memory_mib),
    .accelerators = MIN (worker->accelerators, has->accelerators)
  };
}

static gp_resources_t
service_resources (const gp_runner_t *runner)
{
  const gp_settings_upstream_t *upstream = runner->settings->guard->upstream;

  if (upstream == NULL)
    return (gp_resources_t){ 0 };
  return resources_of (&upstream->reserve);
}

void
gp_runner_update_capacity (gp_runner_t *runner)
{
  gp_resources_t total = total_resources (runner);
  gp_resources_t service = service_resources (runner);

  gp_capacity_resize (&runner->capacity, &total, &service, gp_time_now ());
}

void
gp_runner_begin_lease (gp_runner_t *runner)
{
  gp_time_t now = gp_time_now ();
  gp_resources_t total = total_resources (runner);
  gp_resources_t service = service_resources (runner);

  gp_capacity_init (&runner->capacity, &total, &service);
  gp_lease_holder_init (&runner->holder, &runner->timing, &runner->epochs,
                        runner->rand, runner->runtime.holder, now);
  if (runner->predecessor != 0)
    gp_lease_holder_inherit (&runner->holder, runner->predecessor,
                             runner->info.deadline, now);
}

/* Shutdown.  */

static void
on_leave_timer (gp_timer_t *timer, void *data)
{
  gp_runner_t *runner = data;
  void (*on_drained) (void *data) = runner->on_drained;

  (void)timer;
  runner->on_drained = NULL;
  if (on_drained != NULL)
    on_drained (runner->drained_data);
}

void
gp_runner_check_drained (gp_runner_t *runner)
{
  if (!runner->leaving || runner->on_drained == NULL)
    return;
  if (runner->phase == GP_RUNNER_SUPERSEDED
      || g_hash_table_size (runner->tasks) == 0)
    gp_timer_arm (&runner->leave_timer, gp_time_now ());
}

void
gp_runner_leave (gp_runner_t *runner, gp_time_t deadline,
                 void (*on_drained) (void *data), void *data)
{
  GHashTableIter iter;
  void *value;

  gp_runner_check_lease (runner);
  runner->leaving = true;
  runner->on_drained = on_drained;
  runner->drained_data = data;
  gp_timer_arm (&runner->leave_timer, deadline);
  g_hash_table_iter_init (&iter, runner->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    gp_runner_evict_task (runner, value, "stop",
                          GP__WIRE__REASON__REASON_LEAVING);
  gp_runner_check_drained (runner);
}

/* Messages.  */

Gp__Wire__Resources
gp_runner_wire_resources (const gp_resources_t *resources)
{
  Gp__Wire__Resources wire = GP__WIRE__RESOURCES__INIT;

  wire.millicores = resources->millicores;
  wire.memory_mib = resources->memory_mib;
  wire.accelerators = resources->accelerators;
  return wire;
}

void
gp_runner_fill_announce (gp_runner_t *runner, Gp__Wire__Announce *announce)
{
  gp_resources_t capacity = runner->capacity.total;

  announce->capacity = NULL;
  if (!has_lease_holder (runner))
    return;
  gp_resources_subtract (&capacity, &runner->capacity.service);
  runner->announced_capacity = gp_runner_wire_resources (&capacity);
  announce->capacity = &runner->announced_capacity;
  announce->runtime_incarnation = runner->info.boot;
  announce->lease_incarnation = runner->holder.incarnation;
  announce->inherits = runner->holder.inherits;
}

void
gp_runner_on_ready (gp_runner_t *runner, gp_session_t *session)
{
  gp_runner_check_lease (runner);
  if (has_lease_holder (runner) && is_entry (session))
    gp_runner_send_inventory (runner, session);
}

void
gp_runner_fill_heartbeat (gp_runner_t *runner, Gp__Wire__Heartbeat *heartbeat)
{
  const gp_lease_holder_t *holder = &runner->holder;
  gp_resources_t free = { 0 };

  if (!has_lease_holder (runner))
    return;
  if (runner->phase == GP_RUNNER_SERVING && runner->runtime_up
      && !runner->leaving)
    free = gp_capacity_headroom (&runner->capacity);
  runner->heartbeat_free = gp_runner_wire_resources (&free);
  heartbeat->free = &runner->heartbeat_free;
  heartbeat->sequence = holder->sequence;
  heartbeat->lease_incarnation = holder->incarnation;
  heartbeat->inherits = holder->inherits;
  heartbeat->renew
      = runner->phase == GP_RUNNER_SERVING && holder->sequence != 0;
  heartbeat->held
      = gp_lease_holder_held (holder) && gp_time_now () < holder->deadline;
  heartbeat->wants_vouch = heartbeat->held && runner->wants_vouch;
}

static void
on_heartbeat_reply (gp_runner_t *runner,
                    const Gp__Wire__HeartbeatReply *message)
{
  gp_lease_holder_actions_t actions = { 0 };
  gp_lease_state_t before = runner->holder.state;
  const gp_lease_reply_t reply
      = { .incarnation = message->lease_incarnation,
          .sequence = message->sequence,
          .remaining = (gp_time_t)MIN (message->lease_remaining_us,
                                       (uint64_t)runner->timing.length),
          .vouched = message->vouched,
          .fenced = message->fenced,
          .superseded_by = message->superseded_by };

  gp_lease_holder_reply (&runner->holder, &reply, gp_time_now (), &actions);
  if (before == GP_LEASE_NONE && gp_lease_holder_held (&runner->holder))
    {
      gp_log (GP_LOG_INFO, "lease.held",
              GP_LOG_I ("incarnation", runner->holder.incarnation));
      gp_runner_record_event (runner, GP_TIMELINE_LEASE_RENEWED, NULL,
                              "first");
    }
  gp_runner_apply_lease_actions (runner, &actions);
}

void
gp_runner_on_message (gp_runner_t *runner, gp_session_t *session,
                      const Gp__Wire__Envelope *envelope)
{
  gp_runner_check_lease (runner);
  if (!has_lease_holder (runner) || !is_entry (session))
    return;
  switch (envelope->message_case)
    {
    case GP__WIRE__ENVELOPE__MESSAGE_HEARTBEAT_REPLY:
      on_heartbeat_reply (runner, envelope->heartbeat_reply);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_START:
      gp_runner_start_task (runner, session, envelope->start);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_STOP:
      gp_runner_stop_task (runner, envelope->stop);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_TASK_REPORT_ACK:
      gp_runner_acknowledge (runner, envelope->task_report_ack);
      break;
    default:
      break;
    }
}

/* Initialization and finalization.  */

static void
init_timers (gp_runner_t *runner)
{
  gp_loop_t *loop = runner->host->loop;
  gp_time_t now = gp_loop_now (loop);

  gp_timer_init (&runner->lease_timer, loop, on_lease_timer, runner);
  gp_timer_init (&runner->retry_timer, loop, gp_runner_on_retry, runner);
  gp_timer_init (&runner->repeat_timer, loop, on_repeat_timer, runner);
  gp_timer_init (&runner->usage_timer, loop, on_usage_timer, runner);
  gp_timer_init (&runner->leave_timer, loop, on_leave_timer, runner);
  gp_timer_arm (&runner->retry_timer, now);
  gp_timer_arm (&runner->repeat_timer, now + runner->timing.heartbeat);
  gp_timer_arm (&runner->usage_timer,
                now + runner->settings->timings.usage_ms * GP_MSEC);
}

gp_runner_t *
gp_runner_new (gp_session_host_t *host, const gp_settings_t *settings,
               uint64_t incarnation, GRand *rand, gp_timeline_t *timeline,
               const gp_runner_callbacks_t *callbacks, GError **error)
{
  gp_runner_t *runner = g_new0 (gp_runner_t, 1);

  runner->host = host;
  runner->settings = settings;
  runner->timeline = timeline;
  runner->callbacks = *callbacks;
  runner->rand = rand;
  runner->timing = gp_lease_timing_of_settings (&settings->timings);
  if (!gp_runtime_init (&runner->runtime, host->loop,
                        settings->guard->worker->runtime, runner, error))
    {
      gp_runtime_finish (&runner->runtime);
      g_free (runner);
      return NULL;
    }
  runner->runtime.holder = incarnation;
  gp_counter_register (&lapses_total);
  gp_counter_register (&incarnations_total);
  gp_epoch_table_init (&runner->epochs, MAX_EPOCHS);
  gp_runner_tasks_init (runner);
  init_timers (runner);
  return runner;
}

static void
on_loop_close (gp_closer_t *closer)
{
  (void)closer;
}

static void
on_loop_dispose (gp_closer_t *closer)
{
  g_free (GP_CONTAINER_OF (closer, gp_runner_t, closer));
}

/* The memory is freed by the loop once it has closed the timers.  */
void
gp_runner_free (gp_runner_t *runner)
{
  gp_timer_finish (&runner->lease_timer);
  gp_timer_finish (&runner->retry_timer);
  gp_timer_finish (&runner->repeat_timer);
  gp_timer_finish (&runner->usage_timer);
  gp_timer_finish (&runner->leave_timer);
  gp_runtime_finish (&runner->runtime);
  g_hash_table_destroy (runner->tasks);
  gp_epoch_table_finish (&runner->epochs);
  gp_closer_add (&runner->closer, runner->host->loop, on_loop_close,
                 on_loop_dispose);
}

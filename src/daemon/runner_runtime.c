/* The runner and its runtime: attaching and reading events.

   The attach sequence consists of these calls, one after another: get the
   runtime's state with its holder, claim the runtime, get its state again
   (after the claim no other guard can change its deadline), and list its
   tasks. While serving, the sequence only checks that the runtime has not
   restarted. At most one call of the sequence is in progress; if a step fails,
   the sequence is restarted from the beginning.  */

#include "daemon/runner_private.h"

#include "base/counters.h"
#include "base/log.h"

#define RETRY_INTERVAL (100 * GP_MSEC)

static gp_counter_t unreadable_total
    = GP_COUNTER ("runner_unreadable_total",
                  "Tasks on the runtime's list that could not be read.");

static void on_events (const gp_runtime_answer_t *answer, void *data);

static void
retry_later (gp_runner_t *runner)
{
  gp_timer_arm (&runner->retry_timer, gp_time_now () + RETRY_INTERVAL);
}

void
gp_runner_on_retry (gp_timer_t *timer, void *data)
{
  gp_runner_t *runner = data;

  (void)timer;
  gp_runner_check_lease (runner);
  gp_runner_attach (runner);
}

static void
await_events (gp_runner_t *runner)
{
  if (runner->awaiting_events)
    return;
  runner->awaiting_events = true;
  gp_runtime_await_events (&runner->runtime, runner->next_event, on_events);
}

static void
set_runtime_up (gp_runner_t *runner, bool up)
{
  if (runner->runtime_up == up)
    return;
  runner->runtime_up = up;
  gp_log (up ? GP_LOG_INFO : GP_LOG_WARNING,
          up ? "runtime.up" : "runtime.down");
  if (up)
    gp_runner_repeat_unanswered (runner);
}

/* Events.  */

static void
process_events (gp_runner_t *runner, const json_t *list)
{
  gp_runtime_task_t event;
  const json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    if (gp_runtime_read_task (item, &event))
      gp_runner_update_task (runner, &event);
  }
}

static bool
handle_events (gp_runner_t *runner, const gp_runtime_answer_t *answer)
{
  json_int_t next;
  json_t *list;

  if (!gp_runtime_answer_ok (answer)
      || json_unpack (answer->body, "{s:I,s:o}", "next", &next, "events",
                      &list)
             != 0)
    return false;
  process_events (runner, list);
  if (answer->called_at >= runner->attached_at)
    runner->next_event = (uint64_t)next;
  return true;
}

static void
on_events (const gp_runtime_answer_t *answer, void *data)
{
  gp_runner_t *runner = data;

  runner->awaiting_events = false;
  gp_runner_check_lease (runner);
  if (runner->phase != GP_RUNNER_SERVING)
    return;
  if (handle_events (runner, answer))
    {
      await_events (runner);
      return;
    }
  set_runtime_up (runner, false);
  gp_runner_attach (runner);
}

/* The attach sequence.  */

/* A step has completed.  Returns whether to continue with the next one.  */
static bool
finish_step (gp_runner_t *runner, const gp_runtime_answer_t *answer)
{
  runner->step_in_progress = false;
  gp_runner_check_lease (runner);
  if (answer->claimed_by != 0 && runner->phase != GP_RUNNER_STARTING)
    gp_runner_on_claimed (runner, answer->claimed_by);
  if (runner->step_in_progress || runner->phase == GP_RUNNER_SUPERSEDED)
    return false; /* restarted by the check, or abandoned */
  if (runner->restart_requested)
    {
      runner->restart_requested = false;
      gp_runner_attach (runner);
      return false;
    }
  if (gp_runtime_answer_ok (answer))
    return true;
  if (runner->phase == GP_RUNNER_SERVING)
    set_runtime_up (runner, false);
  retry_later (runner);
  return false;
}

static void
begin_serving (gp_runner_t *runner)
{
  runner->phase = GP_RUNNER_SERVING;
  set_runtime_up (runner, true);
  await_events (runner);
}

/* Returns whether all items of LIST can be read; counts and logs the
   others.  */
static bool
check_items (const json_t *list)
{
  gp_runtime_task_t task;
  const json_t *item;
  unsigned unreadable = 0;
  size_t i;

  json_array_foreach (list, i, item) unreadable
      += !gp_runtime_read_task (item, &task);
  if (unreadable == 0)
    return true;
  gp_counter_add (&unreadable_total, unreadable);
  gp_log (GP_LOG_WARNING, "runtime.malformed",
          GP_LOG_S ("why", "tasks on its list cannot be read"),
          GP_LOG_I ("count", unreadable),
          GP_LOG_I ("listed", json_array_size (list)));
  return false;
}

/* Attached for the first time in this process: take over the listed tasks and
   start to hold a lease.  */
static void
adopt_tasks (gp_runner_t *runner, const json_t *list)
{
  gp_runtime_task_t task;
  const json_t *item;
  size_t i;

  gp_runner_begin_lease (runner);
  check_items (list);
  json_array_foreach (list, i, item)
  {
    if (gp_runtime_read_task (item, &task))
      gp_runner_adopt_task (runner, &task);
  }
  gp_log (GP_LOG_INFO, "runner.attached",
          GP_LOG_I ("incarnation", runner->holder.incarnation),
          GP_LOG_I ("inherits", runner->holder.inherits),
          GP_LOG_I ("tasks", g_hash_table_size (runner->tasks)));
  begin_serving (runner);
  gp_runner_announce (runner);
  gp_runner_apply_capacity_actions (runner);
  gp_runner_check_lease (runner);
}

/* Whether the list names (TASK, EPOCH).  */
static bool
is_listed (const json_t *list, const gp_runner_key_t *key)
{
  gp_runtime_task_t task;
  const json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    if (gp_runtime_read_task (item, &task) && task.task == key->task
        && task.epoch == key->epoch)
      return true;
  }
  return false;
}

/* Nothing is lost by a list with items that cannot be read: they may be the
   tasks that seem to be missing.  */
static void
set_unlisted_lost (gp_runner_t *runner, const json_t *list)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, runner->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_runner_task_t *task = value;

      if (task->phase != GP_RUNNER_TASK_ENDED && !is_listed (list, &task->key))
        gp_runner_set_task_lost (runner, task);
    }
}

/* Cancel the listed tasks that still run.  Returns their number.  */
static unsigned
cancel_listed (gp_runner_t *runner, const json_t *list)
{
  gp_runtime_task_t task;
  unsigned running = 0;
  const json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    if (!gp_runtime_read_task (item, &task))
      continue;
    if (task.state == GP__WIRE__TASK_STATE__TASK_STATE_RUNNING)
      {
        gp_runtime_command (&runner->runtime, task.task, task.epoch, "cancel",
                            NULL);
        running++;
      }
    else
      gp_runner_update_task (runner, &task);
  }
  return running;
}

static void
check_all_stopped (gp_runner_t *runner, const json_t *list)
{
  gp_lease_holder_actions_t actions = { 0 };

  if (check_items (list))
    set_unlisted_lost (runner, list);
  if (cancel_listed (runner, list) > 0)
    {
      retry_later (runner);
      return;
    }
  gp_runner_update_capacity (runner);
  begin_serving (runner);
  gp_lease_holder_stopped (&runner->holder, gp_time_now (), &actions);
  gp_runner_apply_lease_actions (runner, &actions);
}

static void
on_tasks (const gp_runtime_answer_t *answer, void *data)
{
  gp_runner_t *runner = data;
  json_t *list;

  if (!finish_step (runner, answer))
    return;
  if (json_unpack (answer->body, "{s:o}", "tasks", &list) != 0)
    {
      retry_later (runner);
      return;
    }
  switch (runner->phase)
    {
    case GP_RUNNER_STARTING:
      adopt_tasks (runner, list);
      break;
    case GP_RUNNER_STOPPING:
      check_all_stopped (runner, list);
      break;
    case GP_RUNNER_SERVING:
    case GP_RUNNER_SUPERSEDED:
      break;
    }
}

static void
on_claimed_info (const gp_runtime_answer_t *answer, void *data)
{
  gp_runner_t *runner = data;

  if (!finish_step (runner, answer))
    return;
  if (!gp_runtime_read_info (answer->body, &runner->info)
      || runner->info.holder != runner->runtime.holder)
    {
      retry_later (runner);
      return;
    }
  runner->next_event = runner->info.last_event;
  runner->attached_at = gp_time_now ();
  runner->step_in_progress = true;
  gp_runtime_list_tasks (&runner->runtime, on_tasks);
}

static void
on_claim (const gp_runtime_answer_t *answer, void *data)
{
  gp_runner_t *runner = data;

  if (!finish_step (runner, answer))
    return;
  runner->step_in_progress = true;
  gp_runtime_get_info (&runner->runtime, on_claimed_info);
}

/* While serving, after the runtime was unreachable: check whether it has
   restarted.  */
static void
check_restarted (gp_runner_t *runner, const gp_runtime_info_t *info)
{
  gp_lease_holder_actions_t actions = { 0 };

  if (info->boot == runner->info.boot)
    {
      begin_serving (runner);
      return;
    }
  gp_log (GP_LOG_WARNING, "runtime.restarted");
  gp_lease_holder_runtime_restarted (&runner->holder, &actions);
  gp_runner_apply_lease_actions (runner, &actions);
}

static void
claim (gp_runner_t *runner, const gp_runtime_info_t *info)
{
  gp_runtime_t *runtime = &runner->runtime;

  if (info->holder != runtime->holder)
    runner->predecessor = info->holder;
  if (info->holder > runtime->holder && runner->phase == GP_RUNNER_STARTING)
    runtime->holder = info->holder + 1;
  runner->step_in_progress = true;
  gp_runtime_claim (runtime, on_claim);
}

static void
on_info (const gp_runtime_answer_t *answer, void *data)
{
  gp_runner_t *runner = data;
  gp_runtime_info_t info;

  if (!finish_step (runner, answer))
    return;
  if (!gp_runtime_read_info (answer->body, &info))
    retry_later (runner);
  else if (runner->phase == GP_RUNNER_SERVING)
    check_restarted (runner, &info);
  else
    claim (runner, &info);
}

void
gp_runner_attach (gp_runner_t *runner)
{
  if (runner->phase == GP_RUNNER_SUPERSEDED)
    return;
  if (runner->step_in_progress)
    {
      runner->restart_requested = true;
      return;
    }
  gp_timer_disarm (&runner->retry_timer);
  runner->step_in_progress = true;
  gp_runtime_get_info (&runner->runtime, on_info);
}

/* The runner's tasks: table, starting, stopping, state from the runtime.  */

#include "daemon/runner_private.h"

#include <string.h>

#include "base/counters.h"

/* Eviction costs by class.  */
#define COST_BATCH 1
#define COST_WATCHER 4

static gp_counter_t starts_total
    = GP_COUNTER ("runner_starts_total", "Tasks that were started.");
static gp_counter_t checkpoints_total
    = GP_COUNTER ("runner_checkpoints_total", "Checkpoints passed on.");
static gp_counter_t tasks_running
    = GP_GAUGE ("runner_tasks", "Tasks starting or running.");

static void on_started (const gp_runtime_answer_t *answer, void *data);

/* The table of tasks.  */

static guint
key_hash (gconstpointer key)
{
  const gp_runner_key_t *k = key;
  uint64_t mixed = k->task ^ (k->epoch << 48 | k->epoch >> 16);

  return g_int64_hash (&mixed);
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  const gp_runner_key_t *ka = a;
  const gp_runner_key_t *kb = b;

  return ka->task == kb->task && ka->epoch == kb->epoch;
}

static void
task_free (void *data)
{
  gp_runner_task_t *task = data;

  g_free (task->kind);
  g_free (task->payload);
  g_free (task->checkpoint);
  g_free (task->result);
  g_free (task);
}

void
gp_runner_tasks_init (gp_runner_t *runner)
{
  runner->tasks = g_hash_table_new_full (key_hash, key_equal, NULL, task_free);
  gp_runner_reports_init ();
  gp_counter_register (&starts_total);
  gp_counter_register (&checkpoints_total);
  gp_counter_register (&tasks_running);
}

gp_runner_task_t *
gp_runner_find_task (const gp_runner_t *runner, uint64_t task, uint64_t epoch)
{
  const gp_runner_key_t key = { .task = task, .epoch = epoch };

  return g_hash_table_lookup (runner->tasks, &key);
}

static gp_runner_task_t *
add_task (gp_runner_t *runner, uint64_t id, uint64_t epoch)
{
  gp_runner_task_t *task = g_new0 (gp_runner_task_t, 1);

  task->key = (gp_runner_key_t){ .task = id, .epoch = epoch };
  task->reservation.id = id;
  task->reservation.epoch = epoch;
  g_hash_table_insert (runner->tasks, &task->key, task);
  return task;
}

void
gp_runner_release_capacity (gp_runner_t *runner, const gp_runner_task_t *task)
{
  if (gp_capacity_release (&runner->capacity, task->key.task, task->key.epoch,
                           gp_time_now ())
      != NULL)
    gp_counter_add (&tasks_running, -1);
}

void
gp_runner_remove_task (gp_runner_t *runner, gp_runner_task_t *task)
{
  g_hash_table_remove (runner->tasks, &task->key);
  gp_runner_check_drained (runner);
}

/* Starting.  */

static void
send_start (gp_runner_t *runner, gp_runner_task_t *task)
{
  const gp_runtime_start_t start
      = { .task = task->key.task,
          .epoch = task->key.epoch,
          .kind = task->kind,
          .payload = task->payload,
          .checkpoint = task->checkpoint != NULL ? task->checkpoint : "",
          .resources = task->reservation.reserved,
          .deadline = runner->holder.deadline };

  if (!gp_lease_holder_held (&runner->holder))
    return; /* without a lease all tasks are stopped soon */
  task->start_due = false;
  gp_runtime_start (&runner->runtime, &start, on_started);
}

static void
set_running (gp_runner_t *runner, gp_runner_task_t *task)
{
  task->phase = GP_RUNNER_TASK_RUNNING;
  task->in_runtime = true;
  gp_counter_add (&starts_total, 1);
  gp_runner_record_event (runner, GP_TIMELINE_TASK_STARTED, &task->key, NULL);
  gp_runner_report (runner, task);
}

/* The runtime answered that it already has the task: under this epoch, so it
   runs, or under another one that has ended in the log and can be
   removed.  */
static void
on_already_present (gp_runner_t *runner, gp_runner_task_t *task,
                    const gp_runtime_answer_t *answer)
{
  json_int_t epoch = 0;

  json_unpack (answer->body, "{s?I}", "epoch", &epoch);
  if ((uint64_t)epoch == task->key.epoch)
    {
      set_running (runner, task);
      return;
    }
  gp_runtime_forget (&runner->runtime, task->key.task, (uint64_t)epoch, NULL);
  task->start_due = true;
}

static bool
is_present (const gp_runtime_answer_t *answer)
{
  const char *error = "";

  if (answer->status != 409)
    return false;
  json_unpack (answer->body, "{s?s}", "error", &error);
  return strcmp (error, "present") == 0;
}

/* Whether it is unknown if the runtime started the task; then the start call
   is repeated until it is known.  */
static bool
start_is_uncertain (const gp_runner_task_t *task,
                    const gp_runtime_answer_t *answer)
{
  return task->start_maybe_sent || answer->claimed_by != 0
         || (answer->status == 0 && answer->sent);
}

static void
on_not_started (gp_runner_t *runner, gp_runner_task_t *task,
                const gp_runtime_answer_t *answer)
{
  if (answer->status == 0 && answer->sent)
    task->start_maybe_sent = true;
  if (start_is_uncertain (task, answer))
    task->start_due = true;
  else if (answer->status == 0)
    gp_runner_refuse_task (runner, task, GP__WIRE__REASON__REASON_CONNECT);
  else
    gp_runner_refuse_task (runner, task, GP__WIRE__REASON__REASON_UPSTREAM);
}

/* Check the lease and the claim, then find the task that the runtime's ANSWER
   is about.  Returns NULL if there is none.  */
static gp_runner_task_t *
answered_task (gp_runner_t *runner, const gp_runtime_answer_t *answer)
{
  gp_runner_check_lease (runner);
  if (answer->claimed_by != 0)
    gp_runner_on_claimed (runner, answer->claimed_by);
  return gp_runner_find_task (runner, answer->task, answer->epoch);
}

static void
on_started (const gp_runtime_answer_t *answer, void *data)
{
  gp_runner_t *runner = data;
  gp_runner_task_t *task;

  task = answered_task (runner, answer);
  if (task == NULL || task->phase != GP_RUNNER_TASK_STARTING)
    return;
  if (gp_runtime_answer_ok (answer))
    set_running (runner, task);
  else if (is_present (answer))
    on_already_present (runner, task, answer);
  else
    on_not_started (runner, task, answer);
}

static char *
copy_text (const ProtobufCBinaryData *data)
{
  return g_strndup ((const char *)data->data, data->len);
}

static gp_resources_t
resources_of (const Gp__Wire__Resources *wire)
{
  if (wire == NULL)
    return (gp_resources_t){ 0 };
  return (gp_resources_t){ .millicores = wire->millicores,
                           .memory_mib = wire->memory_mib,
                           .accelerators = wire->accelerators };
}

static gp_runner_task_t *
add_from_start (gp_runner_t *runner, const Gp__Wire__Start *start)
{
  gp_runner_task_t *task = add_task (runner, start->task, start->epoch);

  task->kind = g_strdup (start->kind);
  task->payload = g_strdup (start->payload);
  if (start->checkpoint.len > 0)
    task->checkpoint = copy_text (&start->checkpoint);
  task->reservation.reserved = resources_of (start->resources);
  task->reservation.eviction_cost
      = start->work_class == GP__WIRE__WORK_CLASS__WORK_CLASS_WATCHER
            ? COST_WATCHER
            : COST_BATCH;
  return task;
}

static void
reserve_and_start (gp_runner_t *runner, const Gp__Wire__Start *start)
{
  gp_runner_task_t *task = add_from_start (runner, start);

  if (runner->leaving)
    {
      gp_runner_refuse_task (runner, task, GP__WIRE__REASON__REASON_LEAVING);
      return;
    }
  if (gp_capacity_reserve (&runner->capacity, &task->reservation,
                           gp_time_now (), &task->free)
      != GP_CAPACITY_RESERVED)
    {
      gp_runner_refuse_task (runner, task, GP__WIRE__REASON__REASON_CAPACITY);
      return;
    }
  gp_counter_add (&tasks_running, 1);
  send_start (runner, task);
}

void
gp_runner_start_task (gp_runner_t *runner, gp_session_t *session,
                      const Gp__Wire__Start *start)
{
  gp_lease_holder_actions_t actions = { 0 };
  const gp_runner_task_t *known
      = gp_runner_find_task (runner, start->task, start->epoch);
  gp_epoch_status_t status;
  gp_start_verdict_t verdict;

  if (known != NULL)
    {
      gp_runner_answer_duplicate_start (session, known);
      return;
    }
  gp_runner_acknowledge_older (runner, start->task, start->epoch);
  status = gp_epoch_table_status (&runner->epochs, start->task, start->epoch);
  verdict = gp_lease_holder_start (&runner->holder, start->task, start->epoch,
                                   start->guard_incarnation, gp_time_now (),
                                   &actions);
  if (verdict == GP_START_ACCEPTED)
    reserve_and_start (runner, start);
  else if (verdict == GP_START_REFUSED && status != GP_EPOCH_ENDED)
    gp_runner_refuse_task (runner, add_from_start (runner, start),
                           GP__WIRE__REASON__REASON_FENCED);
  if (gp_epoch_table_full (&runner->epochs))
    gp_lease_holder_new_incarnation (&runner->holder, gp_time_now (),
                                     &actions);
  gp_runner_apply_lease_actions (runner, &actions);
}

/* Stopping.  */

static void
on_stop_answered (const gp_runtime_answer_t *answer, void *data)
{
  gp_runner_t *runner = data;
  gp_runner_task_t *task;

  task = answered_task (runner, answer);
  if (task == NULL || task->phase == GP_RUNNER_TASK_ENDED)
    return;
  task->stop_due = !gp_runtime_answer_ok (answer);
}

static void
send_stop (gp_runner_t *runner, gp_runner_task_t *task)
{
  task->stop_due = false;
  gp_runtime_command (&runner->runtime, task->key.task, task->key.epoch,
                      task->stop_verb, on_stop_answered);
}

void
gp_runner_evict_task (gp_runner_t *runner, gp_runner_task_t *task,
                      const char *verb, Gp__Wire__Reason reason)
{
  if (task->phase == GP_RUNNER_TASK_ENDED)
    return;
  if (task->stop_verb == NULL || strcmp (task->stop_verb, "cancel") != 0)
    {
      task->stop_verb = verb;
      task->stop_reason = reason;
    }
  gp_capacity_set_stopping (&task->reservation);
  gp_runner_record_event (runner, GP_TIMELINE_TASK_EVICTED, &task->key, verb);
  send_stop (runner, task);
}

/* The task is not in the table.  If its epoch is new, refuse it, so that a
   Start that arrives later does not run it.  */
static void
refuse_unknown (gp_runner_t *runner, const Gp__Wire__Stop *stop)
{
  if (gp_epoch_table_status (&runner->epochs, stop->task, stop->epoch)
      == GP_EPOCH_NEW)
    gp_runner_refuse_task (runner, add_task (runner, stop->task, stop->epoch),
                           GP__WIRE__REASON__REASON_CANCELLED);
}

static void
command_task (gp_runner_t *runner, const Gp__Wire__Stop *stop,
              const char *verb)
{
  if (gp_runner_find_task (runner, stop->task, stop->epoch) != NULL)
    gp_runtime_command (&runner->runtime, stop->task, stop->epoch, verb, NULL);
}

static void
end_by_message (gp_runner_t *runner, const Gp__Wire__Stop *stop,
                const char *verb)
{
  gp_runner_task_t *task
      = gp_runner_find_task (runner, stop->task, stop->epoch);

  if (task == NULL)
    refuse_unknown (runner, stop);
  else if (task->phase != GP_RUNNER_TASK_ENDED)
    gp_runner_evict_task (runner, task, verb,
                          GP__WIRE__REASON__REASON_CANCELLED);
  else if (!task->acknowledged)
    gp_runner_report (runner, task);
}

void
gp_runner_stop_task (gp_runner_t *runner, const Gp__Wire__Stop *stop)
{
  switch (stop->mode)
    {
    case GP__WIRE__STOP_MODE__STOP_MODE_EVICT:
      end_by_message (runner, stop, "stop");
      break;
    case GP__WIRE__STOP_MODE__STOP_MODE_CANCEL:
      end_by_message (runner, stop, "cancel");
      break;
    case GP__WIRE__STOP_MODE__STOP_MODE_THROTTLE:
      command_task (runner, stop, "throttle");
      break;
    case GP__WIRE__STOP_MODE__STOP_MODE_UNTHROTTLE:
      command_task (runner, stop, "unthrottle");
      break;
    case GP__WIRE__STOP_MODE__STOP_MODE_UNSPECIFIED:
    case _GP__WIRE__STOP_MODE_IS_INT_SIZE:
      break;
    }
}

/* State from the runtime.  */

static void
record_checkpoint (gp_runner_t *runner, gp_runner_task_t *task,
                   const char *checkpoint)
{
  gp_runner_set_checkpoint (task, checkpoint);
  gp_counter_add (&checkpoints_total, 1);
  gp_runner_record_event (runner, GP_TIMELINE_TASK_CHECKPOINTED, &task->key,
                          NULL);
  gp_runner_report_new (runner, task);
}

void
gp_runner_update_task (gp_runner_t *runner, const gp_runtime_task_t *reported)
{
  gp_runner_task_t *task
      = gp_runner_find_task (runner, reported->task, reported->epoch);

  if (task == NULL || task->phase == GP_RUNNER_TASK_ENDED)
    return;
  if (reported->state == GP__WIRE__TASK_STATE__TASK_STATE_CHECKPOINTED)
    record_checkpoint (runner, task, reported->checkpoint);
  else if (reported->state != GP__WIRE__TASK_STATE__TASK_STATE_RUNNING)
    gp_runner_end_task (runner, task, reported);
  else if (task->phase == GP_RUNNER_TASK_STARTING)
    set_running (runner, task);
}

/* No report is sent, since an inventory follows.  */
void
gp_runner_adopt_task (gp_runner_t *runner, const gp_runtime_task_t *listed)
{
  gp_runner_task_t *task = add_task (runner, listed->task, listed->epoch);

  task->in_runtime = true;
  if (listed->state != GP__WIRE__TASK_STATE__TASK_STATE_RUNNING)
    {
      gp_runner_record_end (runner, task, listed);
      task->report_number = ++runner->last_report_number;
      return;
    }
  task->phase = GP_RUNNER_TASK_RUNNING;
  task->reservation.reserved = listed->resources;
  task->reservation.eviction_cost = COST_BATCH;
  gp_runner_set_checkpoint (task, listed->checkpoint);
  if (task->checkpoint != NULL)
    task->report_number
        = ++runner->last_report_number; /* may not be in the log yet */
  gp_epoch_table_set_running (&runner->epochs, listed->task, listed->epoch);
  gp_capacity_adopt (&runner->capacity, &task->reservation, gp_time_now ());
  gp_counter_add (&tasks_running, 1);
}

/* Repetition.  */

static void
repeat_task (gp_runner_t *runner, gp_runner_task_t *task)
{
  if (runner->runtime_up && task->start_due)
    send_start (runner, task);
  if (runner->runtime_up && task->stop_due)
    send_stop (runner, task);
  if (runner->runtime_up && task->forget_due)
    gp_runner_forget_task (runner, task);
  if (task->report_number == 0 || task->acknowledged)
    return;
  gp_runner_resend_report (runner, task);
}

void
gp_runner_repeat_unanswered (gp_runner_t *runner)
{
  GHashTableIter iter;
  void *value;

  if (runner->phase != GP_RUNNER_SERVING)
    return;
  g_hash_table_iter_init (&iter, runner->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    repeat_task (runner, value);
}

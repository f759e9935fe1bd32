/* The runner's tasks: from a Start to the acknowledged end.  */

#include "daemon/runner_private.h"

#include <string.h>

#include "base/counters.h"

/* Eviction costs by class.  */
#define COST_BATCH 1
#define COST_WATCHER 4

static gp_counter_t starts_total
    = GP_COUNTER ("runner_starts_total", "Tasks that were started.");
static gp_counter_t refused_total
    = GP_COUNTER ("runner_refused_total", "Starts that were refused.");
static gp_counter_t ends_total
    = GP_COUNTER ("runner_ends_total", "Tasks that ended after a start.");
static gp_counter_t checkpoints_total
    = GP_COUNTER ("runner_checkpoints_total", "Checkpoints passed on.");
static gp_counter_t repeats_total
    = GP_COUNTER ("runner_repeats_total", "Reports sent again.");
static gp_counter_t tasks_running
    = GP_GAUGE ("runner_tasks", "Tasks starting or running.");

static void on_started (const gp_runtime_answer_t *answer, void *data);

/* The table.  */

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
  gp_counter_register (&starts_total);
  gp_counter_register (&refused_total);
  gp_counter_register (&ends_total);
  gp_counter_register (&checkpoints_total);
  gp_counter_register (&repeats_total);
  gp_counter_register (&tasks_running);
}

gp_runner_task_t *
gp_runner_find (const gp_runner_t *runner, uint64_t task, uint64_t epoch)
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

static void
remove_task (gp_runner_t *runner, gp_runner_task_t *task)
{
  g_hash_table_remove (runner->tasks, &task->key);
  gp_runner_check_drained (runner);
}

/* Reports.  */

/* A report with what it points to.  */
typedef struct
{
  Gp__Wire__TaskReport message;
  Gp__Wire__Resources used;
  Gp__Wire__Resources free;
} report_t;

static Gp__Wire__Resources
wire_resources (const gp_resources_t *resources)
{
  Gp__Wire__Resources wire = GP__WIRE__RESOURCES__INIT;

  wire.millicores = resources->millicores;
  wire.memory_mib = resources->memory_mib;
  wire.accelerators = resources->accelerators;
  return wire;
}

static ProtobufCBinaryData
wire_text (char *text)
{
  if (text == NULL)
    return (ProtobufCBinaryData){ 0 };
  return (ProtobufCBinaryData){ .len = strlen (text), .data = (void *)text };
}

static void
fill_end (report_t *report, const gp_runner_task_t *task)
{
  Gp__Wire__TaskReport *message = &report->message;

  message->state = task->end;
  message->reason = task->reason;
  message->result = wire_text (task->result);
  message->run_time_us = task->run_time_us;
  message->number = task->number;
  if (task->reason != GP__WIRE__REASON__REASON_CAPACITY)
    return;
  report->free = wire_resources (&task->free);
  message->free = &report->free;
}

/* What there is to say of TASK now.  */
static void
fill_report (report_t *report, const gp_runner_task_t *task)
{
  Gp__Wire__TaskReport *message = &report->message;

  gp__wire__task_report__init (message);
  message->task = task->key.task;
  message->epoch = task->key.epoch;
  report->used = wire_resources (&task->reservation.observed);
  message->used = &report->used;
  message->checkpoint = wire_text (task->checkpoint);
  if (task->phase == GP_RUNNER_TASK_ENDED)
    {
      fill_end (report, task);
      return;
    }
  message->state = GP__WIRE__TASK_STATE__TASK_STATE_RUNNING;
  if (task->number == 0)
    return;
  message->state = GP__WIRE__TASK_STATE__TASK_STATE_CHECKPOINTED;
  message->number = task->number;
}

static void
send_report (gp_runner_t *runner, const gp_runner_task_t *task)
{
  report_t report;
  Gp__Wire__Envelope envelope
      = GP_ENVELOPE (TASK_REPORT, task_report, &report.message);

  fill_report (&report, task);
  gp_runner_broadcast (runner, &envelope);
}

/* Tell all entries something new of TASK, to be acknowledged.  */
static void
report_new (gp_runner_t *runner, gp_runner_task_t *task)
{
  task->number = ++runner->last_report;
  send_report (runner, task);
}

/* A copy of Start has come: say again what became of it.  */
static void
answer_start (gp_session_t *session, const gp_runner_task_t *task)
{
  report_t report;
  Gp__Wire__Envelope envelope
      = GP_ENVELOPE (TASK_REPORT, task_report, &report.message);

  if (task->acknowledged)
    return;
  fill_report (&report, task);
  if (task->phase != GP_RUNNER_TASK_ENDED)
    {
      report.message.state = GP__WIRE__TASK_STATE__TASK_STATE_RUNNING;
      report.message.number = 0;
    }
  gp_session_send (session, &envelope);
}

void
gp_runner_send_inventory (gp_runner_t *runner, gp_session_t *session)
{
  Gp__Wire__Inventory message = GP__WIRE__INVENTORY__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (INVENTORY, inventory, &message);
  guint count = g_hash_table_size (runner->tasks);
  report_t *reports = g_new (report_t, count);
  Gp__Wire__TaskReport **pointers = g_new (Gp__Wire__TaskReport *, count);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, runner->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_runner_task_t *task = value;
      report_t *report = &reports[message.n_tasks];

      if (task->acknowledged)
        continue;
      fill_report (report, task);
      if (task->phase != GP_RUNNER_TASK_ENDED)
        report->message.state = GP__WIRE__TASK_STATE__TASK_STATE_RUNNING;
      pointers[message.n_tasks++] = &report->message;
    }
  message.tasks = pointers;
  message.lease_incarnation = runner->holder.incarnation;
  gp_session_send (session, &envelope);
  g_free (pointers);
  g_free (reports);
}

/* The end.  */

static void
on_forgotten (const gp_runtime_answer_t *answer, void *data)
{
  gp_runner_t *runner = data;
  gp_runner_task_t *task
      = gp_runner_find (runner, answer->task, answer->epoch);

  gp_runner_check (runner);
  if (answer->claimed != 0)
    gp_runner_on_claimed (runner, answer->claimed);
  if (task == NULL)
    return;
  if (gp_runtime_done_well (answer) || answer->status == 404
      || (answer->status == 409 && answer->claimed == 0))
    remove_task (runner, task);
  else
    task->forget_due = true;
}

static void
forget (gp_runner_t *runner, gp_runner_task_t *task)
{
  task->forget_due = false;
  gp_runtime_forget (&runner->runtime, task->key.task, task->key.epoch,
                     on_forgotten);
}

/* The end of TASK is on the log.  */
static void
settle (gp_runner_t *runner, gp_runner_task_t *task)
{
  if (task->acknowledged)
    return;
  task->acknowledged = true;
  if (task->in_runtime)
    forget (runner, task);
  else
    remove_task (runner, task);
}

static void
set_ended (gp_runner_t *runner, gp_runner_task_t *task,
           Gp__Wire__TaskState end)
{
  const gp_runner_key_t *key = &task->key;

  if (gp_capacity_release (&runner->capacity, key->task, key->epoch,
                           gp_time_now ())
      != NULL)
    gp_counter_add (&tasks_running, -1);
  gp_epoch_table_set_ended (&runner->epochs, key->task, key->epoch);
  task->phase = GP_RUNNER_TASK_ENDED;
  task->end = end;
  task->start_due = false;
  task->stop_due = false;
}

static void
take_checkpoint (gp_runner_task_t *task, const char *checkpoint)
{
  if (*checkpoint == '\0')
    return;
  g_free (task->checkpoint);
  task->checkpoint = g_strdup (checkpoint);
}

/* Take note of the end that the runtime tells.  */
static void
take_end (gp_runner_t *runner, gp_runner_task_t *task,
          const gp_runtime_task_t *heard)
{
  set_ended (runner, task, heard->state);
  task->in_runtime = true;
  task->result = g_strdup (heard->result);
  task->run_time_us = heard->run_time_us;
  take_checkpoint (task, heard->checkpoint);
  if (heard->state == GP__WIRE__TASK_STATE__TASK_STATE_STOPPED)
    task->reason = task->stop_reason;
}

static void
end_task (gp_runner_t *runner, gp_runner_task_t *task,
          const gp_runtime_task_t *heard)
{
  take_end (runner, task, heard);
  gp_counter_add (&ends_total, 1);
  gp_runner_note (runner, GP_TIMELINE_TASK_ENDED, &task->key, heard->result);
  report_new (runner, task);
  gp_runner_relieve (runner);
}

void
gp_runner_lose (gp_runner_t *runner, gp_runner_task_t *task)
{
  set_ended (runner, task, GP__WIRE__TASK_STATE__TASK_STATE_LOST);
  gp_counter_add (&ends_total, 1);
  gp_runner_note (runner, GP_TIMELINE_TASK_ENDED, &task->key, "lost");
  report_new (runner, task);
}

static void
refuse (gp_runner_t *runner, gp_runner_task_t *task, Gp__Wire__Reason reason)
{
  set_ended (runner, task, GP__WIRE__TASK_STATE__TASK_STATE_REFUSED);
  task->reason = reason;
  gp_counter_add (&refused_total, 1);
  if (reason == GP__WIRE__REASON__REASON_CAPACITY)
    gp_runner_note (runner, GP_TIMELINE_CAPACITY_REFUSED, &task->key, NULL);
  report_new (runner, task);
}

void
gp_runner_acknowledge (gp_runner_t *runner, const Gp__Wire__TaskReportAck *ack)
{
  gp_runner_task_t *task = gp_runner_find (runner, ack->task, ack->epoch);

  if (task == NULL || task->number == 0 || ack->number != task->number)
    return;
  if (task->phase == GP_RUNNER_TASK_ENDED)
    settle (runner, task);
  else
    task->number = 0;
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
    return; /* about to be stopped */
  task->start_due = false;
  gp_runtime_start (&runner->runtime, &start, on_started);
}

static void
set_running (gp_runner_t *runner, gp_runner_task_t *task)
{
  task->phase = GP_RUNNER_TASK_RUNNING;
  task->in_runtime = true;
  gp_counter_add (&starts_total, 1);
  gp_runner_note (runner, GP_TIMELINE_TASK_STARTED, &task->key, NULL);
  send_report (runner, task);
}

/* The runtime has another epoch of the task, which has ended on the log, or
   this one.  */
static void
on_present (gp_runner_t *runner, gp_runner_task_t *task,
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

/* The start may or may not have been taken: ask again until it is known.  */
static bool
is_unknown (const gp_runner_task_t *task, const gp_runtime_answer_t *answer)
{
  return task->maybe_sent || answer->claimed != 0
         || (answer->status == 0 && answer->sent);
}

static void
on_not_started (gp_runner_t *runner, gp_runner_task_t *task,
                const gp_runtime_answer_t *answer)
{
  if (answer->status == 0 && answer->sent)
    task->maybe_sent = true;
  if (is_unknown (task, answer))
    task->start_due = true;
  else if (answer->status == 0)
    refuse (runner, task, GP__WIRE__REASON__REASON_CONNECT);
  else
    refuse (runner, task, GP__WIRE__REASON__REASON_UPSTREAM);
}

static void
on_started (const gp_runtime_answer_t *answer, void *data)
{
  gp_runner_t *runner = data;
  gp_runner_task_t *task;

  gp_runner_check (runner);
  if (answer->claimed != 0)
    gp_runner_on_claimed (runner, answer->claimed);
  task = gp_runner_find (runner, answer->task, answer->epoch);
  if (task == NULL || task->phase != GP_RUNNER_TASK_STARTING)
    return;
  if (gp_runtime_done_well (answer))
    set_running (runner, task);
  else if (is_present (answer))
    on_present (runner, task, answer);
  else
    on_not_started (runner, task, answer);
}

/* All epochs of the task below EPOCH have ended on the log.  */
static void
settle_older (gp_runner_t *runner, uint64_t id, uint64_t epoch)
{
  g_autoptr (GPtrArray) older = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, runner->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_runner_task_t *task = value;

      if (task->key.task == id && task->key.epoch < epoch
          && task->phase == GP_RUNNER_TASK_ENDED)
        g_ptr_array_add (older, value);
    }
  for (guint i = 0; i < older->len; i++)
    settle (runner, older->pdata[i]);
}

static char *
text_of (const ProtobufCBinaryData *data)
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
add_started (gp_runner_t *runner, const Gp__Wire__Start *start)
{
  gp_runner_task_t *task = add_task (runner, start->task, start->epoch);

  task->kind = g_strdup (start->kind);
  task->payload = g_strdup (start->payload);
  if (start->checkpoint.len > 0)
    task->checkpoint = text_of (&start->checkpoint);
  task->reservation.reserved = resources_of (start->resources);
  task->reservation.eviction_cost
      = start->work_class == GP__WIRE__WORK_CLASS__WORK_CLASS_WATCHER
            ? COST_WATCHER
            : COST_BATCH;
  return task;
}

static void
admit (gp_runner_t *runner, const Gp__Wire__Start *start)
{
  gp_runner_task_t *task = add_started (runner, start);

  if (runner->leaving)
    {
      refuse (runner, task, GP__WIRE__REASON__REASON_LEAVING);
      return;
    }
  if (gp_capacity_reserve (&runner->capacity, &task->reservation,
                           gp_time_now (), &task->free)
      != GP_CAPACITY_RESERVED)
    {
      refuse (runner, task, GP__WIRE__REASON__REASON_CAPACITY);
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
      = gp_runner_find (runner, start->task, start->epoch);
  gp_epoch_status_t status;
  gp_start_verdict_t verdict;

  if (known != NULL)
    {
      answer_start (session, known);
      return;
    }
  settle_older (runner, start->task, start->epoch);
  status = gp_epoch_table_status (&runner->epochs, start->task, start->epoch);
  verdict = gp_lease_holder_start (&runner->holder, start->task, start->epoch,
                                   start->guard_incarnation, gp_time_now (),
                                   &actions);
  if (verdict == GP_START_ACCEPTED)
    admit (runner, start);
  else if (verdict == GP_START_REFUSED && status != GP_EPOCH_ENDED)
    refuse (runner, add_started (runner, start),
            GP__WIRE__REASON__REASON_FENCED);
  if (gp_epoch_table_full (&runner->epochs))
    gp_lease_holder_recycle (&runner->holder, gp_time_now (), &actions);
  gp_runner_act (runner, &actions);
}

/* Stopping.  */

static void
on_stop_answered (const gp_runtime_answer_t *answer, void *data)
{
  gp_runner_t *runner = data;
  gp_runner_task_t *task;

  gp_runner_check (runner);
  if (answer->claimed != 0)
    gp_runner_on_claimed (runner, answer->claimed);
  task = gp_runner_find (runner, answer->task, answer->epoch);
  if (task == NULL || task->phase == GP_RUNNER_TASK_ENDED)
    return;
  task->stop_due = !gp_runtime_done_well (answer);
}

static void
send_stop (gp_runner_t *runner, gp_runner_task_t *task)
{
  task->stop_due = false;
  gp_runtime_command (&runner->runtime, task->key.task, task->key.epoch,
                      task->stop_verb, on_stop_answered);
}

void
gp_runner_evict (gp_runner_t *runner, gp_runner_task_t *task, const char *verb,
                 Gp__Wire__Reason reason)
{
  if (task->phase == GP_RUNNER_TASK_ENDED)
    return;
  if (task->stop_verb == NULL || strcmp (task->stop_verb, "cancel") != 0)
    {
      task->stop_verb = verb;
      task->stop_reason = reason;
    }
  gp_capacity_set_stopping (&task->reservation);
  gp_runner_note (runner, GP_TIMELINE_TASK_EVICTED, &task->key, verb);
  send_stop (runner, task);
}

/* The epoch is not known here: see to it that it never runs.  */
static void
refuse_unknown (gp_runner_t *runner, const Gp__Wire__Stop *stop)
{
  if (gp_epoch_table_status (&runner->epochs, stop->task, stop->epoch)
      == GP_EPOCH_NEW)
    refuse (runner, add_task (runner, stop->task, stop->epoch),
            GP__WIRE__REASON__REASON_CANCELLED);
}

static void
command_task (gp_runner_t *runner, const Gp__Wire__Stop *stop,
              const char *verb)
{
  if (gp_runner_find (runner, stop->task, stop->epoch) != NULL)
    gp_runtime_command (&runner->runtime, stop->task, stop->epoch, verb, NULL);
}

static void
end_by_message (gp_runner_t *runner, const Gp__Wire__Stop *stop,
                const char *verb)
{
  gp_runner_task_t *task = gp_runner_find (runner, stop->task, stop->epoch);

  if (task == NULL)
    refuse_unknown (runner, stop);
  else if (task->phase != GP_RUNNER_TASK_ENDED)
    gp_runner_evict (runner, task, verb, GP__WIRE__REASON__REASON_CANCELLED);
  else if (!task->acknowledged)
    send_report (runner, task);
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

/* What the runtime says.  */

static void
hear_checkpoint (gp_runner_t *runner, gp_runner_task_t *task,
                 const char *checkpoint)
{
  take_checkpoint (task, checkpoint);
  gp_counter_add (&checkpoints_total, 1);
  gp_runner_note (runner, GP_TIMELINE_TASK_CHECKPOINTED, &task->key, NULL);
  report_new (runner, task);
}

void
gp_runner_hear (gp_runner_t *runner, const gp_runtime_task_t *heard)
{
  gp_runner_task_t *task = gp_runner_find (runner, heard->task, heard->epoch);

  if (task == NULL || task->phase == GP_RUNNER_TASK_ENDED)
    return;
  if (heard->state == GP__WIRE__TASK_STATE__TASK_STATE_CHECKPOINTED)
    hear_checkpoint (runner, task, heard->checkpoint);
  else if (heard->state != GP__WIRE__TASK_STATE__TASK_STATE_RUNNING)
    end_task (runner, task, heard);
  else if (task->phase == GP_RUNNER_TASK_STARTING)
    set_running (runner, task);
}

/* Nothing is sent: the inventory follows.  */
void
gp_runner_adopt (gp_runner_t *runner, const gp_runtime_task_t *listed)
{
  gp_runner_task_t *task = add_task (runner, listed->task, listed->epoch);

  task->in_runtime = true;
  if (listed->state != GP__WIRE__TASK_STATE__TASK_STATE_RUNNING)
    {
      take_end (runner, task, listed);
      task->number = ++runner->last_report;
      return;
    }
  task->phase = GP_RUNNER_TASK_RUNNING;
  task->reservation.reserved = listed->resources;
  task->reservation.eviction_cost = COST_BATCH;
  take_checkpoint (task, listed->checkpoint);
  gp_epoch_table_set_running (&runner->epochs, listed->task, listed->epoch);
  gp_capacity_adopt (&runner->capacity, &task->reservation, gp_time_now ());
  gp_counter_add (&tasks_running, 1);
}

/* Again.  */

static void
repeat_task (gp_runner_t *runner, gp_runner_task_t *task)
{
  if (runner->up && task->start_due)
    send_start (runner, task);
  if (runner->up && task->stop_due)
    send_stop (runner, task);
  if (runner->up && task->forget_due)
    forget (runner, task);
  if (task->number == 0 || task->acknowledged)
    return;
  gp_counter_add (&repeats_total, 1);
  send_report (runner, task);
}

void
gp_runner_repeat (gp_runner_t *runner)
{
  GHashTableIter iter;
  void *value;

  if (runner->phase != GP_RUNNER_SERVING)
    return;
  g_hash_table_iter_init (&iter, runner->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    repeat_task (runner, value);
}

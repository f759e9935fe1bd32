/* Task reports of the runner, and ends of tasks from the runtime's report or
   a refusal to the acknowledgement.  */

#include "daemon/runner_private.h"

#include <string.h>

#include "base/counters.h"

static gp_counter_t refused_total
    = GP_COUNTER ("runner_refused_total", "Starts that were refused.");
static gp_counter_t ends_total
    = GP_COUNTER ("runner_ends_total", "Tasks that ended after a start.");
static gp_counter_t repeats_total
    = GP_COUNTER ("runner_repeats_total", "Reports sent again.");

void
gp_runner_reports_init (void)
{
  gp_counter_register (&refused_total);
  gp_counter_register (&ends_total);
  gp_counter_register (&repeats_total);
}

/* Reports.  */

/* A report and the messages that it points to.  */
typedef struct
{
  Gp__Wire__TaskReport message;
  Gp__Wire__Resources used;
  Gp__Wire__Resources free;
} report_t;

static ProtobufCBinaryData
text_to_wire (char *text)
{
  if (text == NULL)
    return (ProtobufCBinaryData){ 0 };
  return (ProtobufCBinaryData){ .len = strlen (text), .data = (void *)text };
}

static void
fill_end (report_t *report, const gp_runner_task_t *task)
{
  Gp__Wire__TaskReport *message = &report->message;

  message->state = task->end_state;
  message->reason = task->end_reason;
  message->result = text_to_wire (task->result);
  message->run_time_us = task->run_time_us;
  message->number = task->report_number;
  if (task->end_reason != GP__WIRE__REASON__REASON_CAPACITY)
    return;
  report->free = gp_runner_wire_resources (&task->free);
  message->free = &report->free;
}

/* Fill REPORT with the current state of TASK.  */
static void
fill_report (report_t *report, const gp_runner_task_t *task)
{
  Gp__Wire__TaskReport *message = &report->message;

  gp__wire__task_report__init (message);
  message->task = task->key.task;
  message->epoch = task->key.epoch;
  report->used = gp_runner_wire_resources (&task->reservation.observed);
  message->used = &report->used;
  message->checkpoint = text_to_wire (task->checkpoint);
  if (task->phase == GP_RUNNER_TASK_ENDED)
    {
      fill_end (report, task);
      return;
    }
  message->state = GP__WIRE__TASK_STATE__TASK_STATE_RUNNING;
  if (task->report_number == 0)
    return;
  message->state = GP__WIRE__TASK_STATE__TASK_STATE_CHECKPOINTED;
  message->number = task->report_number;
}

void
gp_runner_report (gp_runner_t *runner, const gp_runner_task_t *task)
{
  report_t report;
  Gp__Wire__Envelope envelope
      = GP_ENVELOPE (TASK_REPORT, task_report, &report.message);

  fill_report (&report, task);
  gp_runner_broadcast (runner, &envelope);
}

void
gp_runner_resend_report (gp_runner_t *runner, const gp_runner_task_t *task)
{
  gp_counter_add (&repeats_total, 1);
  gp_runner_report (runner, task);
}

void
gp_runner_report_new (gp_runner_t *runner, gp_runner_task_t *task)
{
  task->report_number = ++runner->last_report_number;
  gp_runner_report (runner, task);
}

void
gp_runner_answer_duplicate_start (gp_session_t *session,
                                  const gp_runner_task_t *task)
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

/* Ends.  */

static void
on_forgotten (const gp_runtime_answer_t *answer, void *data)
{
  gp_runner_t *runner = data;
  gp_runner_task_t *task
      = gp_runner_find_task (runner, answer->task, answer->epoch);

  gp_runner_check_lease (runner);
  if (answer->claimed_by != 0)
    gp_runner_on_claimed (runner, answer->claimed_by);
  if (task == NULL)
    return;
  if (gp_runtime_answer_ok (answer) || answer->status == 404
      || (answer->status == 409 && answer->claimed_by == 0))
    gp_runner_remove_task (runner, task);
  else
    task->forget_due = true;
}

void
gp_runner_forget_task (gp_runner_t *runner, gp_runner_task_t *task)
{
  task->forget_due = false;
  gp_runtime_forget (&runner->runtime, task->key.task, task->key.epoch,
                     on_forgotten);
}

/* The end of TASK is in the log: remove the task, from the runtime first.  */
static void
remove_acknowledged (gp_runner_t *runner, gp_runner_task_t *task)
{
  if (task->acknowledged)
    return;
  task->acknowledged = true;
  if (task->in_runtime)
    gp_runner_forget_task (runner, task);
  else
    gp_runner_remove_task (runner, task);
}

static void
set_ended (gp_runner_t *runner, gp_runner_task_t *task,
           Gp__Wire__TaskState end)
{
  const gp_runner_key_t *key = &task->key;

  gp_runner_release_capacity (runner, task);
  gp_epoch_table_set_ended (&runner->epochs, key->task, key->epoch);
  task->phase = GP_RUNNER_TASK_ENDED;
  task->end_state = end;
  task->start_due = false;
  task->stop_due = false;
}

void
gp_runner_set_checkpoint (gp_runner_task_t *task, const char *checkpoint)
{
  if (*checkpoint == '\0')
    return;
  g_free (task->checkpoint);
  task->checkpoint = g_strdup (checkpoint);
}

void
gp_runner_record_end (gp_runner_t *runner, gp_runner_task_t *task,
                      const gp_runtime_task_t *reported)
{
  set_ended (runner, task, reported->state);
  task->in_runtime = true;
  task->result = g_strdup (reported->result);
  task->run_time_us = reported->run_time_us;
  gp_runner_set_checkpoint (task, reported->checkpoint);
  if (reported->state == GP__WIRE__TASK_STATE__TASK_STATE_STOPPED)
    task->end_reason = task->stop_reason;
}

void
gp_runner_end_task (gp_runner_t *runner, gp_runner_task_t *task,
                    const gp_runtime_task_t *reported)
{
  gp_runner_record_end (runner, task, reported);
  gp_counter_add (&ends_total, 1);
  gp_runner_record_event (runner, GP_TIMELINE_TASK_ENDED, &task->key,
                          reported->result);
  gp_runner_report_new (runner, task);
  gp_runner_apply_capacity_actions (runner);
}

void
gp_runner_set_task_lost (gp_runner_t *runner, gp_runner_task_t *task)
{
  set_ended (runner, task, GP__WIRE__TASK_STATE__TASK_STATE_LOST);
  gp_counter_add (&ends_total, 1);
  gp_runner_record_event (runner, GP_TIMELINE_TASK_ENDED, &task->key, "lost");
  gp_runner_report_new (runner, task);
}

void
gp_runner_refuse_task (gp_runner_t *runner, gp_runner_task_t *task,
                       Gp__Wire__Reason reason)
{
  set_ended (runner, task, GP__WIRE__TASK_STATE__TASK_STATE_REFUSED);
  task->end_reason = reason;
  gp_counter_add (&refused_total, 1);
  if (reason == GP__WIRE__REASON__REASON_CAPACITY)
    gp_runner_record_event (runner, GP_TIMELINE_CAPACITY_REFUSED, &task->key,
                            NULL);
  gp_runner_report_new (runner, task);
}

void
gp_runner_acknowledge (gp_runner_t *runner, const Gp__Wire__TaskReportAck *ack)
{
  gp_runner_task_t *task = gp_runner_find_task (runner, ack->task, ack->epoch);

  if (task == NULL || task->report_number == 0
      || ack->number != task->report_number)
    return;
  if (task->phase == GP_RUNNER_TASK_ENDED)
    remove_acknowledged (runner, task);
  else
    task->report_number = 0;
}

void
gp_runner_acknowledge_older (gp_runner_t *runner, uint64_t id, uint64_t epoch)
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
    remove_acknowledged (runner, older->pdata[i]);
}

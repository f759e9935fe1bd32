/* Reports of guards about tasks, and Stop messages to guards.

   Every entry gets every report, and any of them may propose its record.  The
   responsible entry does so at once, the others when the report is repeated
   after due_period.  A report is acknowledged when its record was read back,
   whatever the verdict, or when the log shows that the epoch is over.  A task
   that is not in the state may have ended long ago, or its records are not
   read yet: only a read of the log that was sent after the report tells the
   two apart.  */

#include "daemon/tasks_private.h"

#include <string.h>

#include "base/counters.h"

/* Reports on tasks that are not in the state which wait for a read of the log.
   More are ignored; guards repeat them.  */
#define UNKNOWN_MAX 256

typedef struct
{
  gp_tasks_t *tasks;
  gp_time_t since; /* when the report arrived */
  char *guard;
  uint64_t session_incarnation; /* incarnation of the guard's session */
  uint64_t task;
  uint64_t epoch;
  uint64_t number;
  Gp__Wire__TaskState state;
} pending_report_t;

static gp_counter_t ends_proposed
    = GP_COUNTER ("entry_task_ends_proposed_total",
                  "Ends and checkpoints put forward for the log.");
static gp_counter_t acks_sent = GP_COUNTER (
    "entry_task_acks_total", "Reports of guards that were acknowledged.");

static void
acknowledge (const pending_report_t *pending)
{
  gp_tasks_guard_t *guard
      = gp_tasks_find_guard (pending->tasks, pending->guard);
  Gp__Wire__TaskReportAck ack = GP__WIRE__TASK_REPORT_ACK__INIT;
  Gp__Wire__Envelope envelope
      = GP_ENVELOPE (TASK_REPORT_ACK, task_report_ack, &ack);

  if (guard == NULL || guard->session == NULL
      || guard->session->incarnation != pending->session_incarnation)
    return;
  ack.task = pending->task;
  ack.epoch = pending->epoch;
  ack.state = pending->state;
  ack.number = pending->number;
  gp_counter_register (&acks_sent);
  gp_counter_add (&acks_sent, 1);
  gp_session_send (guard->session, &envelope);
}

static pending_report_t *
pending_report_new (gp_tasks_t *tasks, const gp_tasks_guard_t *guard,
                    const Gp__Wire__TaskReport *report)
{
  pending_report_t *pending = g_new (pending_report_t, 1);

  *pending
      = (pending_report_t){ .tasks = tasks,
                            .since = gp_tasks_now (tasks),
                            .guard = g_strdup (guard->name),
                            .session_incarnation = guard->session->incarnation,
                            .task = report->task,
                            .epoch = report->epoch,
                            .number = report->number,
                            .state = report->state };
  return pending;
}

static void
pending_report_free (pending_report_t *pending)
{
  g_free (pending->guard);
  g_free (pending);
}

static void
on_decided (gp_proposal_result_t result, gp_fold_verdict_t verdict, void *data)
{
  pending_report_t *pending = data;
  gp_tasks_task_t *task = gp_tasks_find (pending->tasks, pending->task);

  (void)verdict;
  if (task != NULL && task->epoch == pending->epoch)
    {
      if (pending->state == GP__WIRE__TASK_STATE__TASK_STATE_CHECKPOINTED)
        task->checkpoint_proposed = false;
      else
        task->end_proposed = false;
    }
  if (result == GP_PROPOSAL_DECIDED)
    acknowledge (pending);
  pending_report_free (pending);
}

static bool
propose (gp_tasks_t *tasks, const gp_tasks_guard_t *guard,
         const Gp__Wire__TaskReport *report, Gp__Record__Record *record)
{
  pending_report_t *pending = pending_report_new (tasks, guard, report);

  if (gp_tasks_propose (tasks, record, GP_WRITER_NORMAL, on_decided, pending))
    {
      gp_counter_register (&ends_proposed);
      gp_counter_add (&ends_proposed, 1);
      return true;
    }
  pending_report_free (pending);
  return false;
}

static void
propose_end (gp_tasks_t *tasks, gp_tasks_task_t *task,
             const Gp__Wire__TaskReport *report)
{
  Gp__Record__End end = GP__RECORD__END__INIT;
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;

  end.task = report->task;
  end.epoch = report->epoch;
  end.state = report->state;
  end.reason = report->reason;
  end.run_time_us = report->run_time_us;
  end.result = report->result;
  end.result.len = MIN (end.result.len, GP_FOLD_RESULT_MAX);
  if (report->checkpoint.len <= GP_FOLD_CHECKPOINT_MAX)
    end.checkpoint = report->checkpoint;
  record.record_case = GP__RECORD__RECORD__RECORD_END;
  record.end = &end;
  task->end_proposed = propose (tasks, task->guard, report, &record);
}

static void
propose_checkpoint (gp_tasks_t *tasks, gp_tasks_task_t *task,
                    const Gp__Wire__TaskReport *report)
{
  Gp__Record__Checkpoint checkpoint = GP__RECORD__CHECKPOINT__INIT;
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;

  checkpoint.task = report->task;
  checkpoint.epoch = report->epoch;
  checkpoint.data = report->checkpoint;
  record.record_case = GP__RECORD__RECORD__RECORD_CHECKPOINT;
  record.checkpoint = &checkpoint;
  task->checkpoint_proposed = propose (tasks, task->guard, report, &record);
}

/* Whether EPOCH of the task of STATE has ended.  */
static bool
epoch_has_ended (const gp_fold_task_t *state, uint64_t epoch)
{
  return state->epoch > epoch
         || (state->epoch == epoch
             && state->phase != GP__RECORD__TASK_PHASE__TASK_PHASE_GRANTED);
}

static void
pending_report_destroy (gpointer data)
{
  pending_report_free (data);
}

GPtrArray *
gp_tasks_unknown_reports_new (void)
{
  return g_ptr_array_new_with_free_func (pending_report_destroy);
}

static bool
is_same_report (const pending_report_t *a, const pending_report_t *b)
{
  return a->task == b->task && a->epoch == b->epoch && a->number == b->number
         && a->state == b->state && strcmp (a->guard, b->guard) == 0;
}

/* REPORT of GUARD is about a task that is not in the state.  */
static void
add_unknown (gp_tasks_t *tasks, const gp_tasks_guard_t *guard,
             const Gp__Wire__TaskReport *report)
{
  pending_report_t *pending = pending_report_new (tasks, guard, report);
  bool ignored = tasks->unknown_reports->len >= UNKNOWN_MAX;

  for (guint i = 0; i < tasks->unknown_reports->len && !ignored; i++)
    ignored = is_same_report (g_ptr_array_index (tasks->unknown_reports, i),
                              pending);
  if (ignored)
    pending_report_free (pending);
  else
    g_ptr_array_add (tasks->unknown_reports, pending);
}

/* Returns whether the log, read up to a time after PENDING arrived, shows that
   nothing is to be done about it any more.  */
static bool
is_settled (const pending_report_t *pending)
{
  const gp_fold_task_t *state
      = gp_fold_task (gp_store_fold (pending->tasks->store), pending->task);

  return state == NULL || epoch_has_ended (state, pending->epoch);
}

void
gp_tasks_judge_unknown (gp_tasks_t *tasks, gp_time_t read_at)
{
  GPtrArray *reports = tasks->unknown_reports;

  for (guint i = 0; i < reports->len;)
    {
      const pending_report_t *pending = g_ptr_array_index (reports, i);

      if (pending->since >= read_at)
        {
          i++;
          continue;
        }
      if (is_settled (pending))
        acknowledge (pending);
      g_ptr_array_remove_index_fast (reports, i);
    }
}

/* Updates the run time estimate from the first copy of the report of an
   end.  */
static void
observe_run_time (gp_tasks_t *tasks, gp_tasks_task_t *task,
                  const Gp__Wire__TaskReport *report)
{
  if (task->reported_at != 0)
    return;
  task->reported_at = gp_tasks_now (tasks);
  if (report->state == GP__WIRE__TASK_STATE__TASK_STATE_SUCCEEDED
      && report->run_time_us > 0 && report->run_time_us < INT64_MAX)
    gp_estimate_observe_run (&task->kind->estimate,
                             (gp_time_t)report->run_time_us);
}

static void
on_running (gp_tasks_t *tasks, gp_tasks_task_t *task)
{
  gp_tasks_confirm (tasks, task);
  if (task->running)
    return;
  task->running = true;
  gp_tasks_add_event (tasks, GP_TIMELINE_TASK_STARTED, task->id, task->epoch,
                      task->guard->name, NULL);
}

static void
on_end (gp_tasks_t *tasks, gp_tasks_task_t *task,
        const Gp__Wire__TaskReport *report)
{
  gp_time_t now = gp_tasks_now (tasks);

  observe_run_time (tasks, task, report);
  if (task->end_proposed)
    return;
  if (task->team->responsible || now - task->reported_at >= tasks->due_period)
    propose_end (tasks, task, report);
}

static void
on_checkpointed (gp_tasks_t *tasks, gp_tasks_guard_t *guard,
                 gp_tasks_task_t *task, const Gp__Wire__TaskReport *report)
{
  size_t size = report->checkpoint.len;
  pending_report_t *pending;

  on_running (tasks, task);
  if (task->checkpoint_proposed || !task->team->responsible)
    return;
  if (size > 0 && size <= GP_FOLD_CHECKPOINT_MAX)
    {
      propose_checkpoint (tasks, task, report);
      return;
    }
  pending = pending_report_new (tasks, guard, report);
  acknowledge (pending);
  pending_report_free (pending);
}

static void
on_report (gp_tasks_t *tasks, gp_tasks_guard_t *guard,
           const Gp__Wire__TaskReport *report)
{
  gp_tasks_task_t *task = gp_tasks_find (tasks, report->task);
  const gp_fold_task_t *state
      = gp_fold_task (gp_store_fold (tasks->store), report->task);

  if (!gp_store_ready (tasks->store))
    return;
  if (state == NULL)
    {
      if (report->state != GP__WIRE__TASK_STATE__TASK_STATE_RUNNING)
        add_unknown (tasks, guard, report);
      return;
    }
  if (epoch_has_ended (state, report->epoch))
    {
      pending_report_t *pending = pending_report_new (tasks, guard, report);

      if (report->state != GP__WIRE__TASK_STATE__TASK_STATE_RUNNING)
        acknowledge (pending);
      pending_report_free (pending);
      return;
    }
  if (task == NULL || task->stage != GP_TASKS_GRANTED
      || task->epoch != report->epoch || task->guard != guard)
    return;
  switch ((int)report->state)
    {
    case GP__WIRE__TASK_STATE__TASK_STATE_RUNNING:
      on_running (tasks, task);
      break;
    case GP__WIRE__TASK_STATE__TASK_STATE_CHECKPOINTED:
      on_checkpointed (tasks, guard, task, report);
      break;
    case GP__WIRE__TASK_STATE__TASK_STATE_SUCCEEDED:
    case GP__WIRE__TASK_STATE__TASK_STATE_FAILED:
    case GP__WIRE__TASK_STATE__TASK_STATE_STOPPED:
    case GP__WIRE__TASK_STATE__TASK_STATE_REFUSED:
    case GP__WIRE__TASK_STATE__TASK_STATE_LOST:
      on_end (tasks, task, report);
      break;
    default:
      break;
    }
}

void
gp_tasks_on_report (gp_tasks_t *tasks, gp_session_t *session,
                    const Gp__Wire__TaskReport *report)
{
  gp_tasks_guard_t *guard = gp_tasks_find_guard (tasks, session->process);

  if (guard != NULL && guard->session == session)
    on_report (tasks, guard, report);
}

void
gp_tasks_on_inventory (gp_tasks_t *tasks, gp_session_t *session,
                       const Gp__Wire__Inventory *inventory)
{
  gp_tasks_guard_t *guard = gp_tasks_find_guard (tasks, session->process);

  if (guard == NULL || guard->session != session
      || inventory->lease_incarnation == 0)
    return;
  guard->inventory_incarnation = inventory->lease_incarnation;
  g_array_set_size (guard->inventory, 0);
  for (size_t i = 0; i < inventory->n_tasks; i++)
    {
      const Gp__Wire__TaskReport *report = inventory->tasks[i];
      gp_tasks_epoch_t epoch = { report->task, report->epoch };

      g_array_append_val (guard->inventory, epoch);
      on_report (tasks, guard, report);
    }
}

void
gp_tasks_stop (gp_tasks_t *tasks, const gp_tasks_task_t *task,
               Gp__Wire__StopMode mode)
{
  Gp__Wire__Stop stop = GP__WIRE__STOP__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (STOP, stop, &stop);

  (void)tasks;
  if (task->guard == NULL || task->guard->session == NULL)
    return;
  stop.task = task->id;
  stop.epoch = task->epoch;
  stop.mode = mode;
  gp_session_send (task->guard->session, &envelope);
}

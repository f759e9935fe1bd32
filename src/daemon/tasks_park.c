/* Tasks that cannot run: too large for every worker, or failing
   everywhere.  */

#include "daemon/tasks_private.h"

/* Time after the start by which all running guards should have
   connected.  */
#define FLEET_CONNECT_TIME (60 * GP_SEC)

typedef struct
{
  gp_tasks_t *tasks;
  uint64_t task;
} park_proposal_t;

/* Sizes.  */

static bool
fits_document (const gp_document_t *document, const gp_resources_t *demand)
{
  for (uint32_t i = 0; document != NULL && i < document->workers_count; i++)
    {
      const gp_document_worker_t *worker = &document->workers[i];
      gp_resources_t size
          = { worker->millicores, worker->memory_mib, worker->accelerators };

      if (gp_resources_fit (demand, &size))
        return true;
    }
  return false;
}

bool
gp_tasks_may_ever_fit (const gp_tasks_t *tasks, const gp_resources_t *demand)
{
  if (gp_fleet_can_ever_fit (&tasks->fleet, demand, GP_PLACEMENT_ALL_ZONES))
    return true;
  if (tasks->document != NULL && tasks->document->workers_count > 0)
    return fits_document (tasks->document, demand);
  /* Without a list of workers in the document, the answer is only known after
     all guards have had time to connect.  */
  return tasks->fleet.shapes->len == 0
         || gp_tasks_now (tasks) < tasks->started_at + FLEET_CONNECT_TIME;
}

/* Parking.  */

static void
on_parked (gp_proposal_result_t result, gp_fold_verdict_t verdict, void *data)
{
  park_proposal_t *proposal = data;
  gp_tasks_task_t *task = gp_tasks_find (proposal->tasks, proposal->task);

  (void)verdict;
  if (task != NULL && task->park_proposed)
    {
      task->park_proposed = false;
      if (result == GP_PROPOSAL_EXPIRED && task->stage == GP_TASKS_IDLE)
        gp_tasks_enqueue (proposal->tasks, task, true);
    }
  g_free (proposal);
}

void
gp_tasks_park (gp_tasks_t *tasks, gp_tasks_task_t *task,
               Gp__Record__ParkReason reason)
{
  Gp__Record__Park park = GP__RECORD__PARK__INIT;
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  park_proposal_t *proposal = g_new (park_proposal_t, 1);

  *proposal = (park_proposal_t){ tasks, task->id };
  park.task = task->id;
  park.reason = reason;
  record.record_case = GP__RECORD__RECORD__RECORD_PARK;
  record.park = &park;
  task->park_proposed = gp_tasks_propose (tasks, &record, GP_WRITER_NORMAL,
                                          on_parked, proposal);
  if (task->park_proposed)
    return;
  g_free (proposal);
  gp_tasks_enqueue (tasks, task, true);
}

static void
unpark (gp_tasks_t *tasks, uint64_t id)
{
  Gp__Record__Unpark message = GP__RECORD__UNPARK__INIT;
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;

  message.task = id;
  record.record_case = GP__RECORD__RECORD__RECORD_UNPARK;
  record.unpark = &message;
  (void)gp_tasks_propose (tasks, &record, GP_WRITER_NORMAL, NULL, NULL);
}

void
gp_tasks_unpark_fitting (gp_tasks_t *tasks)
{
  GHashTableIter iter;
  gpointer value;

  if (!tasks->shapes_changed)
    return;
  tasks->shapes_changed = false;
  g_hash_table_iter_init (&iter, tasks->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_tasks_task_t *task = value;
      const gp_fold_task_t *state
          = gp_fold_task (gp_store_fold (tasks->store), task->id);

      if (task->team->responsible && state != NULL
          && state->park_reason
                 == GP__RECORD__PARK_REASON__PARK_REASON_TOO_LARGE
          && state->phase == GP__RECORD__TASK_PHASE__TASK_PHASE_PARKED
          && gp_tasks_may_ever_fit (tasks, &task->pending.charge.resources))
        unpark (tasks, task->id);
    }
}

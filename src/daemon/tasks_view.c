/* Views of tasks for operators.  */

#include "daemon/tasks_private.h"

#include <inttypes.h>
#include <string.h>

#define ID_SIZE 17

static json_t *
json_id (uint64_t id)
{
  char text[ID_SIZE];

  g_snprintf (text, sizeof text, "%016" PRIx64, id);
  return json_string (text);
}

static const char *
ended_name (const gp_fold_task_t *state)
{
  if (state->end_state == GP__WIRE__TASK_STATE__TASK_STATE_SUCCEEDED)
    return "succeeded";
  return state->cancelled ? "cancelled" : "failed";
}

const char *
gp_tasks_state_name (const gp_tasks_t *tasks, const gp_fold_task_t *state)
{
  const gp_tasks_task_t *task = gp_tasks_find (tasks, state->id);

  switch ((int)state->phase)
    {
    case GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING:
      return "pending";
    case GP__RECORD__TASK_PHASE__TASK_PHASE_GRANTED:
      if (state->cancelled)
        return "stopping";
      return task != NULL && task->running ? "running" : "starting";
    case GP__RECORD__TASK_PHASE__TASK_PHASE_PARKED:
      return "parked";
    default:
      return ended_name (state);
    }
}

static const char *
class_name (int work_class)
{
  return work_class == GP__WIRE__WORK_CLASS__WORK_CLASS_WATCHER ? "watcher"
                                                                : "batch";
}

static const char *
park_explanation (int reason)
{
  switch (reason)
    {
    case GP__RECORD__PARK_REASON__PARK_REASON_TOO_LARGE:
      return "it is larger than every worker";
    case GP__RECORD__PARK_REASON__PARK_REASON_FAILS:
      return "it failed on several workers";
    case GP__RECORD__PARK_REASON__PARK_REASON_LIMIT:
      return "its team may not run it";
    default:
      return "an operator parked it";
    }
}

/* Converts a blob to a JSON string; invalid UTF-8 is replaced.  */
static json_t *
json_text (gp_blob_t *blob)
{
  char *text = g_utf8_make_valid ((const char *)(void *)gp_blob_data (blob),
                                  (gssize)gp_blob_size (blob));
  json_t *json = json_string (text);

  g_free (text);
  return json;
}

static json_t *
describe (const gp_tasks_t *tasks, const gp_fold_task_t *state)
{
  json_t *json = json_pack (
      "{s:o, s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I}", "id",
      json_id (state->id), "state", gp_tasks_state_name (tasks, state), "kind",
      state->kind, "class", class_name (state->work_class), "team",
      state->team, "epoch", (json_int_t)state->epoch, "failures",
      (json_int_t)state->tries, "submitted_us",
      (json_int_t)state->submitted_us, "changed_us",
      (json_int_t)state->changed_us, "deadline_us",
      (json_int_t)state->deadline_us);

  if (state->guard != NULL)
    json_object_set_new (json, "worker", json_string (state->guard->name));
  return json;
}

json_t *
gp_tasks_describe (const gp_tasks_t *tasks, uint64_t task)
{
  const gp_fold_task_t *state
      = gp_fold_task (gp_store_fold (tasks->store), task);
  json_t *json;

  if (state == NULL)
    return NULL;
  json = describe (tasks, state);
  json_object_set_new (json, "millicores", json_integer (state->millicores));
  json_object_set_new (json, "memory_mib", json_integer (state->memory_mib));
  json_object_set_new (json, "accelerators",
                       json_integer (state->accelerators));
  if (state->result != NULL)
    json_object_set_new (json, "result", json_text (state->result));
  if (state->checkpoint != NULL)
    json_object_set_new (json, "checkpoint_bytes",
                         json_integer (gp_blob_size (state->checkpoint)));
  return json;
}

static bool
matches (const char *wanted, const char *text)
{
  return wanted == NULL || strcmp (wanted, text) == 0;
}

static bool
matches_filter (const gp_tasks_t *tasks, const gp_tasks_filter_t *filter,
                const gp_fold_task_t *state)
{
  if (filter->work_class != GP__WIRE__WORK_CLASS__WORK_CLASS_UNSPECIFIED
      && state->work_class != filter->work_class)
    return false;
  return matches (filter->team, state->team)
         && matches (filter->kind, state->kind)
         && matches (filter->state, gp_tasks_state_name (tasks, state));
}

json_t *
gp_tasks_list_filtered (const gp_tasks_t *tasks,
                        const gp_tasks_filter_t *filter, size_t max)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, gp_store_fold (tasks->store)->tasks);
  while (json_array_size (list) < max
         && g_hash_table_iter_next (&iter, &key, NULL))
    if (matches_filter (tasks, filter, key))
      json_array_append_new (list, describe (tasks, key));
  return list;
}

json_t *
gp_tasks_list (const gp_tasks_t *tasks, Gp__Wire__WorkClass work_class,
               size_t max)
{
  gp_tasks_filter_t filter = { .work_class = work_class };

  return gp_tasks_list_filtered (tasks, &filter, max);
}

/* Explanations of a task's state.  */

static void
explain_pending (const gp_tasks_t *tasks, const gp_fold_task_t *state,
                 GString *text)
{
  const gp_tasks_task_t *task = gp_tasks_find (tasks, state->id);
  const char *team = state->team;

  if (task == NULL || !task->team->responsible)
    {
      g_string_append_printf (
          text, "it waits; another entry places the tasks of %s", team);
      return;
    }
  switch (task->outcome)
    {
    case GP_PLACEMENT_NO_CAPACITY_NOW:
      g_string_append_printf (
          text, "no worker has %u millicores and %u MiB free now",
          state->millicores, state->memory_mib);
      break;
    case GP_PLACEMENT_NEVER_FITS:
      g_string_append (text, "no worker that is there is large enough");
      break;
    case GP_PLACEMENT_ZONE_EVACUATED:
      g_string_append (text, "the workers that are large enough are in an "
                             "evacuated zone");
      break;
    case GP_PLACEMENT_AVOIDED:
      g_string_append (text, "only workers on which it failed have room");
      break;
    case GP_PLACEMENT_HARMFUL:
      g_string_append (text, "it would slow a service beside it wherever "
                             "there is room, and it has time to wait");
      break;
    case GP_PLACEMENT_QUOTA:
    case GP_PLACEMENT_PARKED:
    case GP_PLACEMENT_CHOSEN:
      g_string_append_printf (
          text, "%s",
          gp_quota_has_room (&tasks->quota, task->team->index,
                             &task->pending.charge.resources)
              ? "its turn has not come"
              : "the quota of its team is used up");
      break;
    }
}

static void
explain_granted (const gp_tasks_t *tasks, const gp_fold_task_t *state,
                 GString *text)
{
  const gp_tasks_task_t *task = gp_tasks_find (tasks, state->id);

  g_string_append_printf (text, "it was granted to %s", state->guard->name);
  if (task == NULL)
    return;
  g_string_append_printf (text, " as epoch %" PRIu64, state->epoch);
  if (task->throttled)
    g_string_append (text, ", throttled for the service beside it");
  if (task->over_quota)
    g_string_append (text, ", over the quota of its team");
  if (task->cost.harm > 0)
    g_string_append_printf (text, "; expected harm there %.3f",
                            task->cost.harm);
}

static const char *
end_explanation (int end_state)
{
  switch (end_state)
    {
    case GP__WIRE__TASK_STATE__TASK_STATE_FAILED:
      return "failed";
    case GP__WIRE__TASK_STATE__TASK_STATE_STOPPED:
      return "was stopped with a checkpoint";
    case GP__WIRE__TASK_STATE__TASK_STATE_REFUSED:
      return "was refused by the worker";
    case GP__WIRE__TASK_STATE__TASK_STATE_LOST:
      return "was lost with its worker";
    default:
      return "ended";
    }
}

json_t *
gp_tasks_explain (const gp_tasks_t *tasks, uint64_t id)
{
  const gp_fold_task_t *state
      = gp_fold_task (gp_store_fold (tasks->store), id);
  GString *text;
  json_t *json;

  if (state == NULL)
    return NULL;
  text = g_string_new (NULL);
  switch ((int)state->phase)
    {
    case GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING:
      explain_pending (tasks, state, text);
      break;
    case GP__RECORD__TASK_PHASE__TASK_PHASE_GRANTED:
      explain_granted (tasks, state, text);
      break;
    case GP__RECORD__TASK_PHASE__TASK_PHASE_PARKED:
      g_string_append (text, park_explanation (state->park_reason));
      break;
    default:
      g_string_append_printf (text, "it has ended: %s", ended_name (state));
      break;
    }
  if (state->epoch > 0
      && state->phase == GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING)
    g_string_append_printf (text, "; its last run %s",
                            end_explanation (state->end_state));
  json = json_pack ("{s:o, s:s, s:[s]}", "id", json_id (id), "state",
                    gp_tasks_state_name (tasks, state), "reasons", text->str);
  g_string_free (text, TRUE);
  return json;
}

/* Status.  */

static const char *
worker_state_name (gp_worker_state_t state)
{
  switch (state)
    {
    case GP_WORKER_SERVING:
      return "serving";
    case GP_WORKER_SUSPECTED:
      return "suspected";
    case GP_WORKER_LEAVING:
      return "leaving";
    case GP_WORKER_LOST:
      return "lost";
    }
  return "lost";
}

static json_t *
json_resources (const gp_resources_t *resources)
{
  return json_pack ("{s:I, s:I, s:I}", "millicores",
                    (json_int_t)resources->millicores, "memory_mib",
                    (json_int_t)resources->memory_mib, "accelerators",
                    (json_int_t)resources->accelerators);
}

static json_t *
describe_worker (const gp_tasks_guard_t *guard)
{
  gp_resources_t reserved = guard->worker.capacity;
  gp_resources_t observed = { 0, 0, 0 };
  json_int_t count = 0;

  gp_resources_subtract (&reserved, &guard->worker.free);
  GP_LIST_FOREACH (pos, &guard->placed)
  {
    const gp_tasks_task_t *task
        = GP_CONTAINER_OF (pos, gp_tasks_task_t, placed_link);

    gp_resources_add (&observed, &task->peak);
    count++;
  }
  return json_pack (
      "{s:s, s:s, s:I, s:o, s:o, s:o}", "worker", guard->name, "state",
      worker_state_name (guard->worker.state), "tasks", count, "capacity",
      json_resources (&guard->worker.capacity), "reserved",
      json_resources (&reserved), "observed", json_resources (&observed));
}

static gint
compare_guards (gconstpointer a, gconstpointer b)
{
  const gp_tasks_guard_t *one = *(gp_tasks_guard_t *const *)a;
  const gp_tasks_guard_t *other = *(gp_tasks_guard_t *const *)b;

  return strcmp (one->name, other->name);
}

json_t *
gp_tasks_status (const gp_tasks_t *tasks)
{
  const uint32_t *count = gp_store_fold (tasks->store)->phase_count;
  GPtrArray *guards = g_ptr_array_new ();
  json_t *workers = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, tasks->guards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((gp_tasks_guard_t *)value)->in_fleet)
      g_ptr_array_add (guards, value);
  g_ptr_array_sort (guards, compare_guards);
  for (guint i = 0; i < guards->len; i++)
    json_array_append_new (workers,
                           describe_worker (g_ptr_array_index (guards, i)));
  g_ptr_array_unref (guards);
  return json_pack (
      "{s:o, s:{s:I, s:I, s:I, s:I}}", "workers", workers, "tasks", "pending",
      (json_int_t)count[GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING], "granted",
      (json_int_t)count[GP__RECORD__TASK_PHASE__TASK_PHASE_GRANTED], "parked",
      (json_int_t)count[GP__RECORD__TASK_PHASE__TASK_PHASE_PARKED], "ended",
      (json_int_t)count[GP__RECORD__TASK_PHASE__TASK_PHASE_ENDED]);
}

/* Keeps the number of watchers at the counts that the document declares.

   The responsible entry submits missing watchers and cancels surplus ones.
   Task ids are derived from the state in the log, so that two entries that
   both consider themselves responsible submit the same tasks, and the log
   accepts each of them once.  */

#include "daemon/tasks_private.h"

#include <string.h>
#include <xxhash.h>

#include "base/counters.h"

#define MAX_CHANGES_PER_ROUND 500

typedef struct
{
  gp_tasks_t *tasks;
  gp_tasks_kind_t *kind;
  uint64_t id;
} change_t;

static gp_counter_t submitted = GP_COUNTER (
    "entry_watchers_submitted_total", "Watchers submitted to reach a count.");
static gp_counter_t withdrawn = GP_COUNTER (
    "entry_watchers_withdrawn_total", "Watchers cancelled to reach a count.");

static void
on_submitted (gp_proposal_result_t result, gp_fold_verdict_t verdict,
              void *data)
{
  change_t *change = data;

  change->kind->proposed_count--;
  if (result == GP_PROPOSAL_DECIDED && verdict == GP_FOLD_VOID_EXISTS)
    change->kind->id_salt++;
  change->tasks->watchers_changed = true;
  g_free (change);
}

static uint64_t
id_of (const gp_tasks_t *tasks, const gp_tasks_kind_t *kind, uint32_t number)
{
  const char *region = tasks->settings->region;
  uint64_t parts[4] = { (uint64_t)kind->id_seed_us, kind->id_salt, number,
                        XXH3_64bits (region, strlen (region)) };

  return XXH3_64bits_withSeed (parts, sizeof parts,
                               XXH3_64bits (kind->name, strlen (kind->name)));
}

static bool
submit_one (gp_tasks_t *tasks, gp_tasks_kind_t *kind,
            const gp_document_watcher_t *watcher, uint32_t number)
{
  Gp__Wire__Resources resources = GP__WIRE__RESOURCES__INIT;
  Gp__Record__Submit submit = GP__RECORD__SUBMIT__INIT;
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  change_t *change = g_new (change_t, 1);

  gp_tasks_resources_to_wire (&resources, &watcher->resources);
  submit.task = id_of (tasks, kind, number);
  submit.kind = watcher->name;
  submit.work_class = GP__WIRE__WORK_CLASS__WORK_CLASS_WATCHER;
  submit.team = watcher->team;
  submit.resources = &resources;
  submit.payload.data = (uint8_t *)watcher->payload;
  submit.payload.len
      = watcher->payload == NULL ? 0 : strlen (watcher->payload);
  record.record_case = GP__RECORD__RECORD__RECORD_SUBMIT;
  record.submit = &submit;
  *change = (change_t){ tasks, kind, submit.task };
  if (gp_tasks_propose (tasks, &record, GP_WRITER_NORMAL, on_submitted,
                        change))
    {
      kind->proposed_count++;
      return true;
    }
  g_free (change);
  return false;
}

static void
submit_missing (gp_tasks_t *tasks, gp_tasks_kind_t *kind,
                const gp_document_watcher_t *watcher, uint32_t missing)
{
  gp_counter_register (&submitted);
  for (uint32_t i = 0; i < MIN (missing, MAX_CHANGES_PER_ROUND); i++)
    {
      if (!submit_one (tasks, kind, watcher, i))
        {
          tasks->watchers_changed = true;
          return;
        }
      gp_counter_add (&submitted, 1);
    }
}

static void
on_cancelled (gp_proposal_result_t result, gp_fold_verdict_t verdict,
              void *data)
{
  change_t *change = data;
  gp_tasks_task_t *task = gp_tasks_find (change->tasks, change->id);

  (void)result, (void)verdict;
  if (task != NULL)
    task->cancel_proposed = false;
  change->tasks->watchers_changed = true;
  g_free (change);
}

static bool
cancel_one (gp_tasks_t *tasks, gp_tasks_task_t *task)
{
  Gp__Record__Cancel cancel = GP__RECORD__CANCEL__INIT;
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  change_t *change = g_new (change_t, 1);

  cancel.task = task->id;
  cancel.reason = GP__WIRE__REASON__REASON_CANCELLED;
  record.record_case = GP__RECORD__RECORD__RECORD_CANCEL;
  record.cancel = &cancel;
  *change = (change_t){ tasks, task->kind, task->id };
  task->cancel_proposed = gp_tasks_propose (tasks, &record, GP_WRITER_NORMAL,
                                            on_cancelled, change);
  if (!task->cancel_proposed)
    g_free (change);
  return task->cancel_proposed;
}

/* Orders watchers by which to cancel first: those that are not granted, then
   those with higher ids, so that all entries choose the same ones.  */
static gint
compare_for_cancel (gconstpointer a, gconstpointer b)
{
  const gp_tasks_task_t *one = *(gp_tasks_task_t *const *)a;
  const gp_tasks_task_t *other = *(gp_tasks_task_t *const *)b;
  bool one_runs = one->stage == GP_TASKS_GRANTED;
  bool other_runs = other->stage == GP_TASKS_GRANTED;

  if (one_runs != other_runs)
    return one_runs ? 1 : -1;
  return one->id > other->id ? -1 : one->id < other->id;
}

static void
cancel_surplus (gp_tasks_t *tasks, gp_tasks_kind_t *kind, uint32_t surplus)
{
  GPtrArray *live = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  gp_counter_register (&withdrawn);
  g_hash_table_iter_init (&iter, tasks->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_tasks_task_t *task = value;
      const gp_fold_task_t *state
          = gp_fold_task (gp_store_fold (tasks->store), task->id);

      if (task->kind == kind && task->request.work_class == GP_WORK_WATCHER
          && state != NULL && !state->cancelled)
        g_ptr_array_add (live, task);
    }
  g_ptr_array_sort (live, compare_for_cancel);
  for (guint i = 0; i < live->len && i < MIN (surplus, MAX_CHANGES_PER_ROUND);
       i++)
    {
      gp_tasks_task_t *task = g_ptr_array_index (live, i);

      if (!task->cancel_proposed && !cancel_one (tasks, task))
        {
          tasks->watchers_changed = true;
          break;
        }
      gp_counter_add (&withdrawn, 1);
    }
  g_ptr_array_unref (live);
}

static void
adjust_kind (gp_tasks_t *tasks, gp_tasks_kind_t *kind)
{
  const gp_document_watcher_t *watcher
      = gp_document_find_watcher (tasks->document, kind->name);
  uint32_t wanted
      = watcher == NULL
            ? 0
            : gp_settings_region_share (tasks->settings, watcher->count);

  if (kind->live_count == wanted || kind->proposed_count > 0)
    return;
  if (!gp_tasks_is_responsible (tasks, "watcher", kind->name))
    return;
  if (kind->live_count < wanted)
    submit_missing (tasks, kind, watcher, wanted - kind->live_count);
  else
    cancel_surplus (tasks, kind, kind->live_count - wanted);
}

void
gp_tasks_adjust_watchers (gp_tasks_t *tasks)
{
  GHashTableIter iter;
  gpointer value;

  if (!tasks->watchers_changed || tasks->document == NULL)
    return;
  tasks->watchers_changed = false;
  g_hash_table_iter_init (&iter, tasks->kinds);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    adjust_kind (tasks, value);
}

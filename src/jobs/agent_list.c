/* Guard: handling of the executor's list: ends, runs, measurements, and runs
   that are absent.  */

#include "jobs/agent_private.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"

static gp_counter_t missing_count = GP_COUNTER (
    "guard_runs_missing_total",
    "Started runs that the executor listed neither as active nor as ended");

void
gp_agent_register_list_counters (void)
{
  gp_counter_register (&missing_count);
}

static Gp__Jobs__End *
copy_end (const Gp__Jobs__End *end)
{
  Gp__Jobs__End *copy = g_new (Gp__Jobs__End, 1);

  gp__jobs__end__init (copy);
  copy->number = end->number;
  copy->task = g_strdup (end->task);
  copy->run = end->run;
  copy->how = end->how;
  if (end->checkpoint.len > 0)
    {
      copy->checkpoint.data
          = g_memdup2 (end->checkpoint.data, end->checkpoint.len);
      copy->checkpoint.len = end->checkpoint.len;
    }
  return copy;
}

static bool
add_ends (gp_agent_t *agent, const Gp__Jobs__End *ends, size_t count,
          gp_time_t now)
{
  bool news = false;

  for (size_t i = 0; i < count; i++)
    {
      const gp_agent_run_t *run;

      agent->stale_ends += ends[i].number <= agent->seen_ends;
      if (ends[i].number <= agent->listed_ends
          || ends[i].number <= agent->seen_ends)
        continue;
      agent->listed_ends = ends[i].number;
      g_ptr_array_add (agent->ends, copy_end (&ends[i]));
      run = gp_agent_find_run (agent, ends[i].task, ends[i].run);
      if (run != NULL)
        {
          gp_agent_note_ended (agent, run, now);
          g_hash_table_remove (agent->runs, ends[i].task);
        }
      news = true;
    }
  return news;
}

void
gp_agent_clear_list (gp_agent_t *agent)
{
  GHashTableIter iter;
  gpointer value;

  g_ptr_array_set_size (agent->carried, 0);
  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((gp_agent_run_t *)value)->listed = false;
}

/* Records a run that the executor lists and the leader is not known to
   want.  */
static void
add_carried (gp_agent_t *agent, const gp_agent_row_t *row)
{
  Gp__Jobs__TaskRun *run = g_new (Gp__Jobs__TaskRun, 1);

  gp__jobs__task_run__init (run);
  run->task = g_strdup (row->task);
  run->run = row->run;
  g_ptr_array_add (agent->carried, run);
}

bool
gp_agent_is_carried (const gp_agent_t *agent, const char *name,
                     uint32_t number)
{
  for (guint i = 0; i < agent->carried->len; i++)
    {
      const Gp__Jobs__TaskRun *run = g_ptr_array_index (agent->carried, i);

      if (run->run == number && strcmp (run->task, name) == 0)
        return true;
    }
  return false;
}

static void
update_runs (gp_agent_t *agent, const gp_agent_list_t *list, gp_time_t now)
{
  gp_agent_clear_list (agent);
  for (size_t i = 0; i < list->run_count; i++)
    {
      const gp_agent_row_t *row = &list->runs[i];
      gp_agent_run_t *run = gp_agent_find_run (agent, row->task, row->run);

      if (run == NULL)
        {
          if (!gp_agent_run_has_ended (agent, row->task, row->run))
            add_carried (agent, row);
          continue;
        }
      run->listed = true;
      run->missed_lists = 0;
      run->listed_at = now;
      if (run->listed_since == 0)
        run->listed_since = now;
      if (run->began_at == 0)
        run->began_at = now;
      run->measure = row->measure;
      gp_agent_check_stop (agent, run, list->sent_at, now);
      if (run->phase == GP_RUN_STARTING && run->start != NULL)
        {
          run->phase = GP_RUN_STARTED;
          run->confirmed_at = now;
        }
    }
}

/* Notes which runs had not begun when the list, a complete one, was requested
   at SENT_AT.  */
static void
note_not_begun (gp_agent_t *agent, gp_time_t sent_at)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_agent_run_t *run = value;

      if (run->listed || run->began_at != 0)
        continue;
      run->may_predate = false;
      run->not_begun_at = MAX (run->not_begun_at, sent_at);
    }
}

/* Returns the runs that have not begun to the leader, as nothing more is
   started here because of WHY.  A guard process that has just started knows
   only from the lists which runs have begun.  The first list that does not
   show a run may have been requested before the run was known, the second was
   not.  */
static void
return_unlisted (gp_agent_t *agent, const char *why)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_agent_run_t *run = value;

      if (run->phase != GP_RUN_STARTING || run->listed || run->in_flight
          || ++run->missed_lists < 2)
        continue;
      gp_log (GP_LOG_INFO, "run.given_back", GP_LOG_S ("task", run->name),
              GP_LOG_I ("run", run->run), GP_LOG_S ("why", why));
      gp_agent_want_stop (agent, run->name, run->run);
    }
}

/* Returns to the leader what a complete list shows not to have begun, if
   nothing more is to be started here.  */
static void
return_not_begun (gp_agent_t *agent, gp_time_t now)
{
  if (agent->gate.evacuated)
    return_unlisted (agent, "zone evacuated");
  else if (now >= agent->starts_until)
    return_unlisted (agent, "executor leaves");
}

static void
log_missing (const gp_agent_t *agent, const gp_agent_run_t *run,
             const gp_agent_list_t *list, gp_time_t now)
{
  gp_counter_add (&missing_count, 1);
  gp_log (
      GP_LOG_INFO, "run.missing", GP_LOG_S ("task", run->name),
      GP_LOG_I ("run", run->run), GP_LOG_S ("executor", agent->executor->id),
      GP_LOG_I ("listed_runs", list->run_count),
      GP_LOG_I ("listed_ends", list->end_count),
      GP_LOG_I ("seen_ends", agent->seen_ends),
      GP_LOG_I ("listed_ms_ago",
                run->listed_at != 0 ? (now - run->listed_at) / GP_MSEC : -1));
}

/* Finds the runs that are missing in LIST, a complete one that was requested
   after their phase was confirmed.  Returns whether one of them became
   absent.  */
static bool
find_absent (gp_agent_t *agent, const gp_agent_list_t *list, gp_time_t now)
{
  bool news = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_agent_run_t *run = value;

      if (run->listed || run->in_flight || run->confirmed_at >= list->sent_at)
        continue;
      if (run->phase == GP_RUN_STARTED)
        {
          run->phase = GP_RUN_STOPPING;
          log_missing (agent, run, list, now);
        }
      if (run->phase == GP_RUN_STOPPED)
        {
          run->phase = GP_RUN_ABSENT;
          news = true;
        }
    }
  return news;
}

bool
gp_agent_listed (gp_agent_t *agent, const gp_agent_list_t *list, gp_time_t now)
{
  bool news;

  agent->is_disconnected = false;
  gp_agent_update_clock (agent, list->clock_ms, now);
  news = add_ends (agent, list->ends, list->end_count, now);
  update_runs (agent, list, now);
  if (list->complete && agent->fence_listed != 0)
    {
      if (agent->first_listed_at == 0)
        agent->first_listed_at = now;
      note_not_begun (agent, list->sent_at);
    }
  gp_agent_invalidate_starts (agent);
  if (agent->is_synced)
    gp_agent_stop_carried (agent);
  gp_agent_measure (agent, now);
  if (list->complete)
    return_not_begun (agent, now);
  gp_agent_return_isolated (agent, now);
  return (list->complete && find_absent (agent, list, now)) || news;
}

void
gp_agent_list_failed (gp_agent_t *agent, gp_agent_result_t result,
                      int64_t clock_ms, gp_time_t now)
{
  gp_agent_note_failed (agent, result, now);
  /* The next list is requested on a new connection.  */
  if (gp_agent_is_unanswered (result))
    gp_agent_note_disconnect (agent);
  /* A refusal does not show which incarnation sent it.  */
  if (result != GP_AGENT_REPLACED
      && !gp_agent_incarnation_is_uncertain (agent, now))
    gp_agent_update_clock (agent, clock_ms, now);
}

/* The runs that the leader wants on the executor: its syncs and orders.  */

#include "jobs/agent_private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

gp_agent_run_t *
gp_agent_find_run (const gp_agent_t *agent, const char *name, uint32_t number)
{
  gp_agent_run_t *run = g_hash_table_lookup (agent->runs, name);

  return run != NULL && run->run == number ? run : NULL;
}

static gp_agent_run_t *
add_run (gp_agent_t *agent, const char *name, uint32_t number,
         gp_run_phase_t phase)
{
  gp_agent_run_t *run = g_new0 (gp_agent_run_t, 1);
  bool carried = gp_agent_is_carried (agent, name, number);

  g_strlcpy (run->name, name, sizeof run->name);
  run->run = number;
  run->phase = phase;
  run->may_predate = carried || agent->first_listed_at == 0;
  run->began_at = carried ? agent->first_listed_at : 0;
  run->pace.percent = GP_PACER_FULL_SPEED;
  run->pace.repeat_at = GP_TIME_NEVER;
  run->busy_share = NAN;
  gp_headroom_init (&run->headroom);
  run->over_target_since = GP_TIME_NEVER;
  g_hash_table_replace (agent->runs, run->name, run);
  return run;
}

bool
gp_agent_run_has_ended (const gp_agent_t *agent, const char *name,
                        uint32_t number)
{
  for (guint i = 0; i < agent->ends->len; i++)
    {
      const Gp__Jobs__End *end = g_ptr_array_index (agent->ends, i);

      if (end->run == number && strcmp (end->task, name) == 0)
        return true;
    }
  return false;
}

/* Adds the start in *SLOT, unless it is outdated or known already.  If it is
   added, takes ownership of it and sets *SLOT to NULL.  */
static void
add_start (gp_agent_t *agent, Gp__Jobs__Start **slot)
{
  Gp__Jobs__Start *start = *slot;
  gp_agent_run_t *run = g_hash_table_lookup (agent->runs, start->task);

  if (gp_agent_run_has_ended (agent, start->task, start->run))
    return;
  if (run != NULL && run->run > start->run)
    return;
  if (run == NULL || run->run < start->run)
    run = add_run (agent, start->task, start->run, GP_RUN_STARTING);
  if (run->start == NULL)
    {
      run->start = start;
      *slot = NULL;
      agent->plan_is_stale = true;
    }
}

void
gp_agent_want_stop (gp_agent_t *agent, const char *name, uint32_t number)
{
  gp_agent_run_t *run = g_hash_table_lookup (agent->runs, name);

  if (gp_agent_run_has_ended (agent, name, number)
      || (run != NULL && run->run > number))
    return;
  if (run == NULL || run->run < number)
    run = add_run (agent, name, number, GP_RUN_STOPPING);
  run->stop_ordered = true;
  if (run->phase == GP_RUN_STARTING || run->phase == GP_RUN_STARTED)
    {
      run->phase = GP_RUN_STOPPING;
      run->retry_at = 0;
    }
}

/* Removes the NULL entries that starts left in an array when they were taken
   over: protobuf-c does not handle them when it frees the message.  */
static void
compact_starts (Gp__Jobs__Start **starts, size_t *count)
{
  size_t kept = 0;

  for (size_t i = 0; i < *count; i++)
    if (starts[i] != NULL)
      starts[kept++] = starts[i];
  *count = kept;
}

static bool
is_wanted (const Gp__Jobs__Sync *sync, const gp_agent_run_t *run)
{
  for (size_t i = 0; i < sync->n_starts; i++)
    if (sync->starts[i]->run == run->run
        && strcmp (sync->starts[i]->task, run->name) == 0)
      return true;
  return false;
}

/* Returns whether SYNC names RUN among those of which the leader knows neither
   an end nor the absence.  */
static bool
is_unresolved (const Gp__Jobs__Sync *sync, const gp_agent_run_t *run)
{
  for (size_t i = 0; i < sync->n_stops; i++)
    if (sync->stops[i]->run == run->run
        && strcmp (sync->stops[i]->task, run->name) == 0)
      return true;
  return false;
}

/* Stops the runs that the leader does not want.  An absent run that it does
   not want has been recorded and is dropped, unless the leader names it.  */
static void
stop_unwanted (gp_agent_t *agent, const Gp__Jobs__Sync *sync)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_agent_run_t *run = value;

      if (is_wanted (sync, run))
        continue;
      if (run->phase == GP_RUN_ABSENT && !is_unresolved (sync, run))
        g_hash_table_iter_remove (&iter);
      else
        gp_agent_want_stop (agent, run->name, run->run);
    }
  for (size_t i = 0; i < sync->n_stops; i++)
    gp_agent_want_stop (agent, sync->stops[i]->task, sync->stops[i]->run);
}

void
gp_agent_stop_carried (gp_agent_t *agent)
{
  for (guint i = 0; i < agent->carried->len; i++)
    {
      const Gp__Jobs__TaskRun *run = g_ptr_array_index (agent->carried, i);

      if (gp_agent_find_run (agent, run->task, run->run) == NULL)
        gp_agent_want_stop (agent, run->task, run->run);
    }
}

/* Returns whether ID and BORN_MS, from a message of the leader, name the
   current incarnation.  A leader of the previous version sends no start
   time.  */
static bool
is_addressed (const gp_agent_t *agent, const char *id, int64_t born_ms)
{
  return agent->executor != NULL
         && gp_agent_is_incarnation (
             agent, id, born_ms != 0 ? born_ms : agent->executor->born_ms);
}

/* Keeps the starts of SYNC, a part of a sync, until its last part arrives.  */
static void
keep_part (gp_agent_t *agent, Gp__Jobs__Sync *sync)
{
  for (size_t i = 0; i < sync->n_starts; i++)
    g_ptr_array_add (agent->sync_starts, sync->starts[i]);
  sync->n_starts = 0;
}

/* Adds the starts of the earlier parts to SYNC, the last one.  */
static void
join_parts (gp_agent_t *agent, Gp__Jobs__Sync *sync)
{
  gsize count;
  gpointer *earlier = g_ptr_array_steal (agent->sync_starts, &count);

  if (count > 0)
    {
      sync->starts = realloc (sync->starts, (sync->n_starts + count)
                                                * sizeof (Gp__Jobs__Start *));
      memcpy (sync->starts + sync->n_starts, earlier,
              count * sizeof (Gp__Jobs__Start *));
      sync->n_starts += count;
    }
  g_free (earlier);
}

static void
drop_parts (gp_agent_t *agent)
{
  g_ptr_array_set_size (agent->sync_starts, 0);
  agent->sync_part_of = 0;
}

void
gp_agent_sync (gp_agent_t *agent, Gp__Jobs__Sync *sync)
{
  if (sync->number != agent->sync_part_of)
    drop_parts (agent);
  agent->sync_part_of = sync->number;
  if (sync->more)
    {
      keep_part (agent, sync);
      return;
    }
  join_parts (agent, sync);
  if (!is_addressed (agent, sync->executor, sync->born_ms) || agent->ended
      || (agent->lapsed && sync->after < agent->lapsed_at))
    return;
  if (agent->lapsed)
    agent->lease = agent->granted;
  agent->lapsed = false;
  stop_unwanted (agent, sync);
  for (size_t i = 0; i < sync->n_starts; i++)
    add_start (agent, &sync->starts[i]);
  compact_starts (sync->starts, &sync->n_starts);
  gp_agent_stop_carried (agent);
  agent->synced = sync->number;
  agent->is_synced = true;
  if (sync->raise_fence)
    gp_agent_raise_fence (agent);
}

void
gp_agent_clear_sync (gp_agent_t *agent)
{
  drop_parts (agent);
  agent->is_synced = false;
  agent->synced = 0;
}

static void
drop_absent (gp_agent_t *agent, const Gp__Jobs__TaskRun *what)
{
  const gp_agent_run_t *run = gp_agent_find_run (agent, what->task, what->run);

  if (run != NULL && run->phase == GP_RUN_ABSENT)
    g_hash_table_remove (agent->runs, what->task);
}

static void
drop_recorded_ends (gp_agent_t *agent, uint64_t seen)
{
  /* At most up to what this incarnation has listed: a leader of the previous
     version may mean another one.  */
  agent->seen_ends = MAX (agent->seen_ends, MIN (seen, agent->listed_ends));
  while (agent->ends->len > 0)
    {
      const Gp__Jobs__End *end = g_ptr_array_index (agent->ends, 0);

      if (end->number > agent->seen_ends)
        break;
      g_ptr_array_remove_index (agent->ends, 0);
    }
}

void
gp_agent_order (gp_agent_t *agent, Gp__Jobs__Orders *orders)
{
  if (!is_addressed (agent, orders->executor, orders->born_ms)
      || !agent->is_synced)
    return;
  for (size_t i = 0; i < orders->n_forget; i++)
    drop_absent (agent, orders->forget[i]);
  drop_recorded_ends (agent, orders->seen_ends);
  for (size_t i = 0; i < orders->n_starts; i++)
    add_start (agent, &orders->starts[i]);
  compact_starts (orders->starts, &orders->n_starts);
  for (size_t i = 0; i < orders->n_stops; i++)
    gp_agent_want_stop (agent, orders->stops[i]->task, orders->stops[i]->run);
}

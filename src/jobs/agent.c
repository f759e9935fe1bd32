/* Decisions of the guard: what to tell the executor of its VM.  */

#include "jobs/agent.h"

#include <math.h>
#include <string.h>

#include "base/log.h"

/* Between tries of a call without an answer or with a passing refusal.  */
#define RETRY_TIME (100 * GP_MSEC)
/* How long after a call went unanswered it may still be carried out: 12 s on
   the sites known, and some more.  */
#define LATE_TIME (13 * GP_SEC)
#define PACE_REPEAT_TIME (GP_SEC)
/* Measures are of the last half second.  */
#define MEASURE_TIME (480 * GP_MSEC)
/* Without an answer of the executor for so long, leases are not moved on:
   the longest wait of a list and its timeout.  */
#define SILENCE_TIME (1500 * GP_MSEC)

static const char *const call_names[] = { "none", "start", "stop", "pace" };
static const char *const result_names[]
    = { "taken",   "fenced",  "too old",  "too late",
        "no room", "refused", "replaced", "no answer" };

gp_time_t
gp_agent_lease_end (gp_time_t sent_at)
{
  return sent_at
         + GP_AGENT_LEASE_TIME * 1000 / (1000 - GP_AGENT_CLOCK_SLOW_PERMILLE)
         + GP_AGENT_LEASE_MARGIN;
}

/* Messages that the agent keeps are made with malloc, as protobuf-c does
   when it unpacks without an allocator.  */

static void
free_run (gpointer data)
{
  gp_agent_run_t *run = data;

  if (run->start != NULL)
    gp__jobs__start__free_unpacked (run->start, NULL);
  g_free (run);
}

static void
free_end (gpointer data)
{
  gp__jobs__end__free_unpacked (data, NULL);
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

void
gp_agent_init (gp_agent_t *agent)
{
  memset (agent, 0, sizeof *agent);
  agent->runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_run);
  agent->ends = g_ptr_array_new_with_free_func (free_end);
  agent->granted = INT64_MIN / 2;
  agent->lease = INT64_MIN / 2;
  agent->retry_time = RETRY_TIME;
  gp_pacer_init (&agent->pacer);
  agent->clock_ms = -1;
}

void
gp_agent_finish (gp_agent_t *agent)
{
  gp_agent_drop_executor (agent);
  g_hash_table_destroy (agent->runs);
  g_ptr_array_unref (agent->ends);
  gp_pacer_finish (&agent->pacer);
}

void
gp_agent_drop_executor (gp_agent_t *agent)
{
  if (agent->executor != NULL)
    gp__jobs__executor__free_unpacked (agent->executor, NULL);
  agent->executor = NULL;
  agent->is_synced = false;
  agent->synced = 0;
  agent->seen_ends = 0;
  agent->listed_ends = 0;
  agent->fence = 0;
  agent->raise_fence = false;
  agent->clock_ms = -1;
  agent->lease = INT64_MIN / 2;
  agent->lapsed = false;
  g_hash_table_remove_all (agent->runs);
  g_ptr_array_set_size (agent->ends, 0);
}

static void
take_clock (gp_agent_t *agent, int64_t clock_ms, gp_time_t now)
{
  if (clock_ms < 0)
    return;
  agent->heard_at = now;
  if (agent->clock_ms >= clock_ms)
    return;
  agent->clock_ms = clock_ms;
  agent->clock_at = now;
  if (agent->fence == 0 || agent->raise_fence)
    {
      agent->fence = clock_ms;
      agent->raise_fence = false;
    }
}

void
gp_agent_set_executor (gp_agent_t *agent, Gp__Jobs__Executor *executor,
                       int64_t clock_ms, gp_time_t now)
{
  if (agent->executor != NULL
      && strcmp (agent->executor->id, executor->id) == 0)
    gp__jobs__executor__free_unpacked (agent->executor, NULL);
  else
    {
      gp_agent_drop_executor (agent);
      agent->known_since = now;
      gp_log (GP_LOG_INFO, "executor.known",
              GP_LOG_S ("executor", executor->id),
              GP_LOG_I ("clock_ms", clock_ms));
    }
  agent->executor = executor;
  take_clock (agent, clock_ms, now);
}

/* Note when the lease has run out; before anything moves it on.  */
static void
check_lapse (gp_agent_t *agent, gp_time_t now)
{
  /* A process before this one may have moved the lease until it ended.  */
  gp_time_t lease = MAX (agent->lease, agent->known_since);

  if (agent->executor == NULL || agent->lapsed
      || now <= gp_agent_lease_end (lease))
    return;
  agent->lapsed = true;
  agent->lapsed_at = now;
  agent->is_synced = false;
  agent->synced = 0;
  gp_log (GP_LOG_INFO, "lease.lapsed",
          GP_LOG_S ("executor", agent->executor->id),
          GP_LOG_I ("runs", g_hash_table_size (agent->runs)),
          GP_LOG_I ("moved_ms_ago", (now - lease) / GP_MSEC),
          GP_LOG_I ("heard_ms_ago", (now - agent->heard_at) / GP_MSEC));
}

void
gp_agent_acknowledged (gp_agent_t *agent, gp_time_t sent_at, gp_time_t now)
{
  check_lapse (agent, now);
  agent->granted = MAX (agent->granted, sent_at);
}

/* What the leader wants.  */

static gp_agent_run_t *
find_run (const gp_agent_t *agent, const char *name, uint32_t number)
{
  gp_agent_run_t *run = g_hash_table_lookup (agent->runs, name);

  return run != NULL && run->run == number ? run : NULL;
}

static gp_agent_run_t *
add_run (gp_agent_t *agent, const char *name, uint32_t number,
         gp_run_phase_t phase)
{
  gp_agent_run_t *run = g_new0 (gp_agent_run_t, 1);

  g_strlcpy (run->name, name, sizeof run->name);
  run->run = number;
  run->phase = phase;
  run->pace = GP_PACER_FULL;
  run->pace_again = GP_TIME_NEVER;
  run->over_since = GP_TIME_NEVER;
  g_hash_table_replace (agent->runs, run->name, run);
  return run;
}

/* Has the executor already told the end of this run?  */
static bool
has_ended (const gp_agent_t *agent, const char *name, uint32_t number)
{
  for (guint i = 0; i < agent->ends->len; i++)
    {
      const Gp__Jobs__End *end = g_ptr_array_index (agent->ends, i);

      if (end->run == number && strcmp (end->task, name) == 0)
        return true;
    }
  return false;
}

/* Take START over from *PLACE.  */
static void
want_start (gp_agent_t *agent, Gp__Jobs__Start **place)
{
  Gp__Jobs__Start *start = *place;
  gp_agent_run_t *run = g_hash_table_lookup (agent->runs, start->task);

  if (has_ended (agent, start->task, start->run))
    return;
  if (run != NULL && run->run > start->run)
    return;
  if (run == NULL || run->run < start->run)
    run = add_run (agent, start->task, start->run, GP_RUN_STARTING);
  if (run->start == NULL)
    {
      run->start = start;
      *place = NULL;
    }
}

static void
want_stop (gp_agent_t *agent, const char *name, uint32_t number)
{
  gp_agent_run_t *run = g_hash_table_lookup (agent->runs, name);

  if (has_ended (agent, name, number) || (run != NULL && run->run > number))
    return;
  if (run == NULL || run->run < number)
    run = add_run (agent, name, number, GP_RUN_STOPPING);
  if (run->phase == GP_RUN_STARTING || run->phase == GP_RUN_PRESENT)
    {
      run->phase = GP_RUN_STOPPING;
      run->retry_at = 0;
    }
}

/* A run that was taken out of an array leaves a hole, which protobuf-c does
   not free: close it.  */
static void
close_holes (Gp__Jobs__Start **starts, size_t *count)
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

/* Stop what the leader does not want; what was absent and is not wanted is
   on record.  */
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
      if (run->phase == GP_RUN_ABSENT)
        g_hash_table_iter_remove (&iter);
      else
        want_stop (agent, run->name, run->run);
    }
}

void
gp_agent_sync (gp_agent_t *agent, Gp__Jobs__Sync *sync)
{
  if (agent->executor == NULL
      || strcmp (agent->executor->id, sync->executor) != 0
      || (agent->lapsed && sync->after < agent->lapsed_at))
    return;
  if (agent->lapsed)
    agent->lease = agent->granted;
  agent->lapsed = false;
  stop_unwanted (agent, sync);
  for (size_t i = 0; i < sync->n_starts; i++)
    want_start (agent, &sync->starts[i]);
  close_holes (sync->starts, &sync->n_starts);
  agent->synced = sync->number;
  agent->is_synced = true;
  if (sync->raise_fence)
    agent->raise_fence = true;
}

void
gp_agent_unsync (gp_agent_t *agent)
{
  agent->is_synced = false;
  agent->synced = 0;
}

static void
forget_absent (gp_agent_t *agent, const Gp__Jobs__TaskRun *what)
{
  const gp_agent_run_t *run = find_run (agent, what->task, what->run);

  if (run != NULL && run->phase == GP_RUN_ABSENT)
    g_hash_table_remove (agent->runs, what->task);
}

static void
forget_ends (gp_agent_t *agent, uint64_t seen)
{
  agent->seen_ends = MAX (agent->seen_ends, seen);
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
  if (agent->executor == NULL
      || strcmp (agent->executor->id, orders->executor) != 0
      || !agent->is_synced)
    return;
  for (size_t i = 0; i < orders->n_forget; i++)
    forget_absent (agent, orders->forget[i]);
  forget_ends (agent, orders->seen_ends);
  for (size_t i = 0; i < orders->n_starts; i++)
    want_start (agent, &orders->starts[i]);
  close_holes (orders->starts, &orders->n_starts);
  for (size_t i = 0; i < orders->n_stops; i++)
    want_stop (agent, orders->stops[i]->task, orders->stops[i]->run);
}

/* The lease.  */

/* The lease point on the executor's clock, taken low: its clock may run
   slow since it was read.  */
static int64_t
lease_on_clock (const gp_agent_t *agent)
{
  gp_time_t ahead = agent->lease - agent->clock_at;

  if (ahead > 0)
    ahead -= ahead * GP_AGENT_CLOCK_SLOW_PERMILLE / 1000;
  return agent->clock_ms + (ahead + GP_AGENT_LEASE_TIME) / GP_MSEC;
}

bool
gp_agent_answers (const gp_agent_t *agent, gp_time_t now)
{
  return now - agent->heard_at < SILENCE_TIME;
}

static void
move_lease (gp_agent_t *agent, gp_time_t now)
{
  check_lapse (agent, now);
  if (gp_agent_answers (agent, now))
    agent->lease = MAX (agent->lease, agent->granted);
}

static bool
lease_is_open (const gp_agent_t *agent, gp_time_t now)
{
  return agent->clock_ms >= 0 && agent->lease + GP_AGENT_LEASE_TIME > now;
}

int64_t
gp_agent_list_lease (gp_agent_t *agent, gp_time_t now)
{
  move_lease (agent, now);
  return lease_is_open (agent, now) ? lease_on_clock (agent) : 0;
}

bool
gp_agent_lapsed (gp_agent_t *agent, gp_time_t now)
{
  check_lapse (agent, now);
  return agent->lapsed;
}

/* Calls.  */

static bool
wants_pace (gp_agent_t *agent, const gp_agent_run_t *run, gp_time_t now)
{
  return run->phase == GP_RUN_PRESENT && run->listed && run->start != NULL
         && run->start->fills
         && (run->pace != gp_pacer_pace (&agent->pacer, run->start->image)
             || now >= run->pace_again);
}

static gp_agent_call_kind_t
call_for (gp_agent_t *agent, const gp_agent_run_t *run, gp_time_t now)
{
  switch (run->phase)
    {
    case GP_RUN_STARTING:
      return run->start != NULL ? GP_AGENT_CALL_START : GP_AGENT_CALL_NONE;
    case GP_RUN_STOPPING:
      return GP_AGENT_CALL_STOP;
    case GP_RUN_PRESENT:
      return wants_pace (agent, run, now) ? GP_AGENT_CALL_PACE
                                          : GP_AGENT_CALL_NONE;
    case GP_RUN_STOPPED:
    case GP_RUN_ABSENT:
      return GP_AGENT_CALL_NONE;
    }
  return GP_AGENT_CALL_NONE;
}

/* Stops go first, as they make room; slowing down is next.  */
static int
rank (gp_agent_call_kind_t kind)
{
  switch (kind)
    {
    case GP_AGENT_CALL_STOP:
      return 3;
    case GP_AGENT_CALL_PACE:
      return 2;
    case GP_AGENT_CALL_START:
      return 1;
    case GP_AGENT_CALL_NONE:
      return 0;
    }
  return 0;
}

/* A start that came before the leader's last word may be outdated: after a
   pause it can still be read from a connection that the leader gave up.  */
static bool
may_start (const gp_agent_t *agent, gp_time_t now)
{
  return agent->is_synced && lease_is_open (agent, now) && !agent->raise_fence;
}

gp_agent_call_t
gp_agent_next_call (gp_agent_t *agent, gp_time_t now, gp_time_t *again_at)
{
  gp_agent_call_t best = { GP_AGENT_CALL_NONE, NULL, 0, 0 };
  GHashTableIter iter;
  gpointer value;

  *again_at = GP_TIME_NEVER;
  if (agent->executor == NULL || agent->clock_ms < 0)
    return best;
  move_lease (agent, now);
  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_agent_run_t *run = value;
      gp_agent_call_kind_t kind = call_for (agent, run, now);

      if (kind == GP_AGENT_CALL_NONE || run->in_flight)
        continue;
      if (kind == GP_AGENT_CALL_START && !may_start (agent, now))
        continue;
      if (run->retry_at > now)
        *again_at = MIN (*again_at, run->retry_at);
      else if (rank (kind) > rank (best.kind))
        best = (gp_agent_call_t){ kind, run, 0, 0 };
    }
  if (best.run == NULL)
    return best;
  best.run->in_flight = true;
  best.lease_ms = lease_on_clock (agent);
  if (best.kind == GP_AGENT_CALL_PACE)
    best.percent = gp_pacer_pace (&agent->pacer, best.run->start->image);
  return best;
}

static void
start_answered (gp_agent_t *agent, gp_agent_run_t *run,
                gp_agent_result_t result, gp_time_t now)
{
  if (run->phase != GP_RUN_STARTING)
    {
      run->doubtful = run->doubtful || result == GP_AGENT_UNANSWERED;
      return;
    }
  switch (result)
    {
    case GP_AGENT_TAKEN:
      run->phase = GP_RUN_PRESENT;
      run->confirmed_at = now;
      break;
    case GP_AGENT_UNANSWERED:
      run->doubtful = true;
      break;
    case GP_AGENT_FENCED:
      agent->raise_fence = true;
      break;
    case GP_AGENT_TOO_OLD:
    case GP_AGENT_NO_ROOM:
    case GP_AGENT_REFUSED:
      run->phase = GP_RUN_STOPPING;
      run->retry_at = now;
      break;
    case GP_AGENT_TOO_LATE:
    case GP_AGENT_REPLACED:
      break;
    }
}

static void
stop_answered (gp_agent_t *agent, gp_agent_run_t *run,
               gp_agent_result_t result, gp_time_t now)
{
  if (run->phase != GP_RUN_STOPPING)
    return;
  if (result == GP_AGENT_FENCED)
    agent->raise_fence = true;
  if (result == GP_AGENT_TAKEN || result == GP_AGENT_TOO_OLD
      || (result == GP_AGENT_REFUSED && !run->doubtful && !run->listed))
    {
      run->phase = GP_RUN_STOPPED;
      run->confirmed_at = now;
    }
}

/* A pace that went unanswered may take effect after newer ones: until that
   is over, the one that is wanted is repeated.  */
static void
pace_answered (gp_agent_run_t *run, gp_agent_result_t result, uint32_t percent,
               gp_time_t now)
{
  if (result == GP_AGENT_TAKEN)
    run->pace = percent;
  if (result == GP_AGENT_UNANSWERED)
    run->pace_sure_at = now + LATE_TIME;
  run->pace_again
      = now < run->pace_sure_at ? now + PACE_REPEAT_TIME : GP_TIME_NEVER;
}

void
gp_agent_answered (gp_agent_t *agent, gp_agent_call_kind_t kind,
                   const char *name, uint32_t number, uint32_t percent,
                   gp_agent_result_t result, int64_t clock_ms, gp_time_t now)
{
  gp_agent_run_t *run = find_run (agent, name, number);

  if (result != GP_AGENT_REPLACED)
    take_clock (agent, clock_ms, now);
  if (kind != GP_AGENT_CALL_PACE || result != GP_AGENT_TAKEN)
    gp_log (GP_LOG_INFO, "order.answered", GP_LOG_S ("task", name),
            GP_LOG_I ("run", number), GP_LOG_S ("order", call_names[kind]),
            GP_LOG_S ("result", result_names[result]),
            GP_LOG_I ("fence", agent->fence),
            GP_LOG_I ("lease_ms_ago", (now - agent->lease) / GP_MSEC));
  if (run == NULL)
    return;
  run->in_flight = false;
  run->retry_at = now + agent->retry_time;
  switch (kind)
    {
    case GP_AGENT_CALL_START:
      start_answered (agent, run, result, now);
      break;
    case GP_AGENT_CALL_STOP:
      stop_answered (agent, run, result, now);
      break;
    case GP_AGENT_CALL_PACE:
      pace_answered (run, result, percent, now);
      break;
    case GP_AGENT_CALL_NONE:
      break;
    }
}

/* The executor's list.  */

static bool
take_ends (gp_agent_t *agent, const Gp__Jobs__End *ends, size_t count)
{
  bool news = false;

  for (size_t i = 0; i < count; i++)
    {
      const gp_agent_run_t *run;

      if (ends[i].number <= agent->listed_ends
          || ends[i].number <= agent->seen_ends)
        continue;
      agent->listed_ends = ends[i].number;
      g_ptr_array_add (agent->ends, copy_end (&ends[i]));
      run = find_run (agent, ends[i].task, ends[i].run);
      if (run != NULL)
        g_hash_table_remove (agent->runs, ends[i].task);
      news = true;
    }
  return news;
}

static void
clear_listed (gp_agent_t *agent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((gp_agent_run_t *)value)->listed = false;
}

static void
take_rows (gp_agent_t *agent, const gp_agent_row_t *rows, size_t count,
           gp_time_t now)
{
  clear_listed (agent);
  for (size_t i = 0; i < count; i++)
    {
      gp_agent_run_t *run = find_run (agent, rows[i].task, rows[i].run);

      if (run == NULL)
        {
          if (agent->is_synced
              && !has_ended (agent, rows[i].task, rows[i].run))
            want_stop (agent, rows[i].task, rows[i].run);
          continue;
        }
      run->listed = true;
      run->measure = rows[i].measure;
      if (run->phase == GP_RUN_STARTING && run->start != NULL)
        {
          run->phase = GP_RUN_PRESENT;
          run->confirmed_at = now;
        }
    }
}

/* The share of its full speed that a filling run works at.  */
double
gp_agent_run_work (const gp_agent_run_t *run)
{
  double full = run->start->cpu_milli;

  return full > 0.0 ? CLAMP ((double)run->measure / full, 0.0, 1.0) : 0.0;
}

static void
add_filling (gp_agent_t *agent, const gp_agent_run_t *run,
             gp_pressure_work_t *work, gp_pressure_work_t *counts)
{
  unsigned int place
      = gp_pressure_place (&agent->pacer.pressure, run->start->image);

  work->work[place] += gp_agent_run_work (run);
  counts->work[place] += 1.0;
}

static gp_pacer_serving_t
serving_of (gp_agent_run_t *run, gp_time_t now)
{
  bool over = run->measure > run->start->target_ms;

  if (!over)
    run->over_since = GP_TIME_NEVER;
  else if (run->over_since == GP_TIME_NEVER)
    run->over_since = now;
  return (gp_pacer_serving_t){
    .image = run->start->image,
    .log_ratio = log ((double)run->measure / run->start->target_ms),
    .over = over ? (double)(now - run->over_since) / GP_SEC : 0.0
  };
}

/* Give the pacer the measures of the runs, when they are new ones.  */
static void
take_measures (gp_agent_t *agent, gp_time_t now)
{
  gp_pacer_serving_t servings[GP_PACER_SERVINGS];
  size_t count = 0;
  gp_pressure_work_t work = { { 0.0 } };
  gp_pressure_work_t counts = { { 0.0 } };
  GHashTableIter iter;
  gpointer value;

  if (now - agent->measured_at < MEASURE_TIME)
    return;
  agent->measured_at = now;
  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_agent_run_t *run = value;

      if (!run->listed || run->start == NULL)
        continue;
      if (run->start->fills)
        add_filling (agent, run, &work, &counts);
      else if (run->start->target_ms > 0 && run->measure > 0
               && count < GP_PACER_SERVINGS)
        servings[count++] = serving_of (run, now);
    }
  agent->has_measures = count > 0;
  gp_pacer_update (&agent->pacer, servings, count, &work, &counts);
}

/* Runs that the list, asked for after their phase was sure, does not show.
   Returns whether one became absent.  */
static bool
find_absent (gp_agent_t *agent, gp_time_t sent_at)
{
  bool news = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_agent_run_t *run = value;

      if (run->listed || run->in_flight || run->confirmed_at >= sent_at)
        continue;
      if (run->phase == GP_RUN_PRESENT)
        run->phase = GP_RUN_STOPPING;
      if (run->phase == GP_RUN_STOPPED)
        {
          run->phase = GP_RUN_ABSENT;
          news = true;
        }
    }
  return news;
}

bool
gp_agent_listed (gp_agent_t *agent, const gp_agent_row_t *rows,
                 size_t row_count, const Gp__Jobs__End *ends, size_t end_count,
                 int64_t clock_ms, gp_time_t sent_at, gp_time_t now)
{
  bool news;

  take_clock (agent, clock_ms, now);
  news = take_ends (agent, ends, end_count);
  take_rows (agent, rows, row_count, now);
  take_measures (agent, now);
  return find_absent (agent, sent_at) || news;
}

void
gp_agent_list_refused (gp_agent_t *agent, gp_agent_result_t result,
                       int64_t clock_ms, gp_time_t now)
{
  if (result == GP_AGENT_FENCED)
    agent->raise_fence = true;
  if (result != GP_AGENT_REPLACED)
    take_clock (agent, clock_ms, now);
}

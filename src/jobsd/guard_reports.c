/* What the guard tells the leader.  */

#include "jobsd/guard_private.h"

#include "base/counters.h"
#include "jobsd/link.h"
#include "protocol/message.h"

/* Reports are leases, so a few have to fit into one.  */
#define REPORT_TIME (300 * GP_MSEC)

static gp_counter_t runs_gauge
    = GP_GAUGE ("guard_runs", "Runs that belong on the executor");

void
gp_guard_register_reports (void)
{
  gp_counter_register (&runs_gauge);
}

static Gp__Jobs__TaskRun
row_of (const gp_agent_run_t *run)
{
  Gp__Jobs__TaskRun row = GP__JOBS__TASK_RUN__INIT;

  row.task = (char *)run->name;
  row.run = run->run;
  return row;
}

static void
add_row (GArray *rows, const gp_agent_run_t *run)
{
  Gp__Jobs__TaskRun row = row_of (run);

  g_array_append_val (rows, row);
}

static void
add_suspect (GArray *rows, const gp_agent_t *agent, const gp_agent_run_t *run)
{
  Gp__Jobs__TaskRun row = row_of (run);

  gp_agent_describe_suspect (agent, run, &row);
  g_array_append_val (rows, row);
}

static void
report_runs (const gp_agent_t *agent, Gp__Jobs__Report *report, GArray *absent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_agent_run_t *run = value;

      if (run->phase == GP_RUN_ABSENT)
        add_row (absent, run);
    }
  report->absent = gp_link_pointers (absent);
  report->n_absent = absent->len;
}

static bool
is_carried (const gp_agent_t *agent, const gp_agent_run_t *run)
{
  return run->listed
         && (!agent->is_synced || run->phase == GP_RUN_STOPPING
             || run->phase == GP_RUN_STOPPED);
}

/* What the executor has on its list though nobody wants it there.  A leader
   that has not synced yet is told all of the list: it may find that this is
   another life than it knew, where orders to the one before were carried out
   late.  */
static void
report_carried (const gp_agent_t *agent, Gp__Jobs__Report *report,
                GArray *carried)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < agent->carried->len; i++)
    g_array_append_val (
        carried,
        *(const Gp__Jobs__TaskRun *)g_ptr_array_index (agent->carried, i));
  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_carried (agent, value))
      add_row (carried, value);
  report->carried = gp_link_pointers (carried);
  report->n_carried = carried->len;
}

/* Runs that have settled, and those that go down with an executor that does
   not answer or whose lease has run out and may be what it went down for.  */
static void
report_suspects (const gp_agent_t *agent, Gp__Jobs__Report *report,
                 GArray *settled, GArray *suspects)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (gp_agent_report_settled (value))
        add_row (settled, value);
      if ((report->lapsed || report->down)
          && gp_agent_is_suspect (agent, value))
        add_suspect (suspects, agent, value);
    }
  report->settled = gp_link_pointers (settled);
  report->n_settled = settled->len;
  report->suspects = gp_link_pointers (suspects);
  report->n_suspects = suspects->len;
}

/* The work that is left in the measures of runs that have ended.  */
static void
add_gone (const gp_agent_t *agent, GArray *fillings)
{
  for (guint i = 0; i < agent->ended_fillings->len; i++)
    {
      const gp_agent_ended_filling_t *gone = &g_array_index (
          agent->ended_fillings, gp_agent_ended_filling_t, i);
      Gp__Jobs__Filling filling = GP__JOBS__FILLING__INIT;

      filling.image = gone->image;
      filling.pace_percent = GP_PACER_FULL_SPEED;
      filling.work_permille
          = (uint32_t)(gp_agent_ended_filling_work (gone, agent->measured_at)
                       * 1000.0);
      g_array_append_val (fillings, filling);
    }
}

/* The measures of the runs, for the leader to learn from.  */
static void
report_measures (gp_job_guard_t *guard, Gp__Jobs__Report *report,
                 GArray *servings, GArray *fillings)
{
  gp_agent_t *agent = &guard->agent;
  GHashTableIter iter;
  gpointer value;

  if (!agent->has_measurements)
    return;
  agent->has_measurements = false;
  g_ptr_array_set_size (guard->told.servings, 0);
  guard->told.servings_at = report->sent_at;
  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_agent_run_t *run = value;
      Gp__Jobs__Serving serving = GP__JOBS__SERVING__INIT;
      Gp__Jobs__Filling filling = GP__JOBS__FILLING__INIT;

      if (!run->listed || run->start == NULL)
        continue;
      if (run->start->fills)
        {
          filling.task = (char *)run->name;
          filling.pace_percent = run->pace;
          filling.work_permille = (uint32_t)(run->work * 1000.0);
          g_array_append_val (fillings, filling);
        }
      else if (gp_agent_shows_load (run, agent->measured_at))
        {
          serving.task = (char *)run->name;
          serving.ratio_permille
              = (uint32_t)(run->measure * 1000 / run->start->target_ms);
          g_array_append_val (servings, serving);
          g_ptr_array_add (guard->told.servings, g_strdup (run->name));
        }
    }
  add_gone (agent, fillings);
  report->servings = gp_link_pointers (servings);
  report->n_servings = servings->len;
  report->fillings = gp_link_pointers (fillings);
  report->n_fillings = fillings->len;
}

/* Is the executor as it was reported last?  If not, it counts as reported now:
   its description is half of a report's bytes and changes a few times in its
   life.  */
static bool
is_executor_told (gp_job_guard_t *guard)
{
  gp_told_t *told = &guard->told;
  const Gp__Jobs__Executor *executor = guard->agent.executor;
  GBytes *now;

  if (executor == NULL)
    return false;
  now = gp_message_pack (&executor->base);
  if (told->executor != NULL && g_bytes_equal (told->executor, now))
    {
      g_bytes_unref (now);
      return true;
    }
  if (told->executor != NULL)
    g_bytes_unref (told->executor);
  told->executor = now;
  return false;
}

void
gp_guard_reports_init (gp_job_guard_t *guard)
{
  guard->told.servings = g_ptr_array_new_with_free_func (g_free);
  guard->told.fillings = g_ptr_array_new_with_free_func (g_free);
}

void
gp_guard_tell_anew (gp_job_guard_t *guard)
{
  gp_told_t *told = &guard->told;
  GHashTableIter iter;
  gpointer value;

  g_clear_pointer (&told->executor, g_bytes_unref);
  g_ptr_array_set_size (told->servings, 0);
  g_ptr_array_set_size (told->fillings, 0);
  told->servings_at = 0;
  g_hash_table_iter_init (&iter, guard->agent.runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((gp_agent_run_t *)value)->settled_reported = false;
}

void
gp_guard_reports_finish (gp_job_guard_t *guard)
{
  gp_guard_tell_anew (guard);
  g_ptr_array_unref (guard->told.servings);
  g_ptr_array_unref (guard->told.fillings);
}

static void
take_weights (gp_job_guard_t *guard, const Gp__Jobs__Weights *weights)
{
  gp_pressure_t *pressure = &guard->agent.pacer.pressure;
  const GPtrArray *fillings = guard->told.fillings;

  for (size_t i = 0; i < weights->n_permille && i < fillings->len; i++)
    gp_pressure_set (
        pressure, weights->serving,
        gp_pressure_place (pressure, g_ptr_array_index (fillings, i)),
        weights->permille[i] / 1000.0);
}

void
gp_guard_take_teaching (gp_job_guard_t *guard,
                        const Gp__Jobs__Acknowledge *message)
{
  const gp_told_t *told = &guard->told;
  gp_time_t now = gp_loop_now (&guard->loop);

  for (size_t i = 0; i < message->n_fillings; i++)
    g_ptr_array_add (told->fillings, g_strdup (message->fillings[i]));
  for (size_t i = 0; i < message->n_weights; i++)
    take_weights (guard, message->weights[i]);
  if (message->sent_at != told->servings_at
      || message->n_headrooms != told->servings->len)
    return;
  for (size_t i = 0; i < message->n_headrooms; i++)
    if (message->headrooms[i] != 0)
      gp_agent_set_load (&guard->agent, g_ptr_array_index (told->servings, i),
                         message->headrooms[i], message->slopes[i], now);
}

void
gp_guard_send_report (gp_job_guard_t *guard)
{
  gp_agent_t *agent = &guard->agent;
  gp_time_t now = gp_loop_now (&guard->loop);
  Gp__Jobs__Report report = GP__JOBS__REPORT__INIT;
  Gp__Jobs__Executor unchanged = GP__JOBS__EXECUTOR__INIT;
  Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;
  GPtrArray *lacking;
  GArray *absent;
  GArray *settled;
  GArray *suspects;
  GArray *servings;
  GArray *fillings;
  GArray *carried;

  gp_timer_arm (&guard->report, now + REPORT_TIME);
  if (guard->leader == NULL)
    return;
  lacking = g_ptr_array_new_with_free_func (g_free);
  absent = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__TaskRun));
  settled = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__TaskRun));
  suspects = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__TaskRun));
  servings = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Serving));
  fillings = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Filling));
  carried = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__TaskRun));
  /* Each report has a time of its own, so that an acknowledgement tells which
     one it is for.  */
  guard->report_sent_at = MAX (now, guard->report_sent_at + 1);
  report.sent_at = guard->report_sent_at;
  report.node = guard->settings->node;
  report.executor = agent->executor;
  if (is_executor_told (guard))
    {
      unchanged.id = agent->executor->id;
      unchanged.born_ms = agent->executor->born_ms;
      unchanged.unchanged = true;
      report.executor = &unchanged;
    }
  else
    report.predecessor = agent->predecessor;
  report.lapsed = gp_agent_lease_lapsed (agent, now);
  report.answers = gp_agent_is_responsive (agent, now);
  report.down = gp_agent_is_down (agent, now);
  report.keeps_alone = gp_agent_has_isolated_run (agent);
  guard->told.down = report.down;
  report.ended = agent->ended;
  report.synced = agent->synced;
  report.ends = (Gp__Jobs__End **)agent->ends->pdata;
  report.n_ends = agent->ends->len;
  gp_agent_missing_specs (agent, lacking);
  report.lacking = (char **)lacking->pdata;
  report.n_lacking = lacking->len;
  report_runs (agent, &report, absent);
  report_carried (agent, &report, carried);
  report_suspects (agent, &report, settled, suspects);
  report_measures (guard, &report, servings, fillings);
  frame.message_case = GP__JOBS__FRAME__MESSAGE_REPORT;
  frame.report = &report;
  gp_agent_reported (agent, report.sent_at);
  gp_link_send (guard->leader, &frame);
  g_free (report.absent);
  g_free (report.settled);
  g_free (report.suspects);
  g_free (report.servings);
  g_free (report.fillings);
  g_free (report.carried);
  g_ptr_array_unref (lacking);
  g_array_free (absent, TRUE);
  g_array_free (settled, TRUE);
  g_array_free (suspects, TRUE);
  g_array_free (servings, TRUE);
  g_array_free (fillings, TRUE);
  g_array_free (carried, TRUE);
  gp_counter_set (&runs_gauge, g_hash_table_size (agent->runs));
}

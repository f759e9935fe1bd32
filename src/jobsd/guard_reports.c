/* What the guard tells the leader.  */

#include "jobsd/guard_private.h"

#include "base/counters.h"
#include "jobsd/link.h"

/* Reports are leases, so a few have to fit into one.  */
#define REPORT_TIME (300 * GP_MSEC)

static gp_counter_t runs_gauge
    = GP_GAUGE ("guard_runs", "Runs that belong on the executor");

void
gp_guard_register_reports (void)
{
  gp_counter_register (&runs_gauge);
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
      Gp__Jobs__TaskRun row = GP__JOBS__TASK_RUN__INIT;

      if (run->phase != GP_RUN_ABSENT)
        continue;
      row.task = (char *)run->name;
      row.run = run->run;
      g_array_append_val (absent, row);
    }
  report->absent = gp_link_pointers (absent);
  report->n_absent = absent->len;
}

/* The work that is left in the measures of runs that have ended.  */
static void
add_gone (const gp_agent_t *agent, GArray *fillings)
{
  for (guint i = 0; i < agent->gone->len; i++)
    {
      const gp_agent_gone_t *gone
          = &g_array_index (agent->gone, gp_agent_gone_t, i);
      Gp__Jobs__Filling filling = GP__JOBS__FILLING__INIT;

      filling.image = gone->image;
      filling.pace_percent = GP_PACER_FULL;
      filling.work_permille
          = (uint32_t)(gp_agent_gone_work (gone, agent->measured_at) * 1000.0);
      g_array_append_val (fillings, filling);
    }
}

/* The measures of the runs, for the leader to learn from.  */
static void
report_measures (gp_agent_t *agent, Gp__Jobs__Report *report, GArray *servings,
                 GArray *fillings)
{
  GHashTableIter iter;
  gpointer value;

  if (!agent->has_measures)
    return;
  agent->has_measures = false;
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
          filling.image = run->start->image;
          filling.task = (char *)run->name;
          filling.pace_percent = run->pace;
          filling.work_permille = (uint32_t)(run->work * 1000.0);
          g_array_append_val (fillings, filling);
        }
      else if (gp_agent_is_telling (run, agent->measured_at))
        {
          serving.task = (char *)run->name;
          serving.image = run->start->image;
          serving.ratio_permille
              = (uint32_t)(run->measure * 1000 / run->start->target_ms);
          g_array_append_val (servings, serving);
        }
    }
  add_gone (agent, fillings);
  report->servings = gp_link_pointers (servings);
  report->n_servings = servings->len;
  report->fillings = gp_link_pointers (fillings);
  report->n_fillings = fillings->len;
}

void
gp_guard_send_report (gp_job_guard_t *guard)
{
  gp_agent_t *agent = &guard->agent;
  gp_time_t now = gp_loop_now (&guard->loop);
  Gp__Jobs__Report report = GP__JOBS__REPORT__INIT;
  Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;
  GPtrArray *lacking;
  GArray *absent;
  GArray *servings;
  GArray *fillings;

  gp_timer_arm (&guard->report, now + REPORT_TIME);
  if (guard->leader == NULL)
    return;
  lacking = g_ptr_array_new_with_free_func (g_free);
  absent = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__TaskRun));
  servings = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Serving));
  fillings = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Filling));
  /* Each report has a time of its own, so that an acknowledgement tells which
     one it is for.  */
  guard->report_sent_at = MAX (now, guard->report_sent_at + 1);
  report.sent_at = guard->report_sent_at;
  report.node = guard->settings->node;
  report.executor = agent->executor;
  report.lapsed = gp_agent_lapsed (agent, now);
  report.answers = gp_agent_answers (agent, now);
  report.ended = agent->ended;
  report.synced = agent->synced;
  report.ends = (Gp__Jobs__End **)agent->ends->pdata;
  report.n_ends = agent->ends->len;
  gp_agent_lacking (agent, lacking);
  report.lacking = (char **)lacking->pdata;
  report.n_lacking = lacking->len;
  report_runs (agent, &report, absent);
  report_measures (agent, &report, servings, fillings);
  frame.message_case = GP__JOBS__FRAME__MESSAGE_REPORT;
  frame.report = &report;
  gp_agent_reported (agent, report.sent_at);
  gp_link_send (guard->leader, &frame);
  g_free (report.absent);
  g_free (report.servings);
  g_free (report.fillings);
  g_ptr_array_unref (lacking);
  g_array_free (absent, TRUE);
  g_array_free (servings, TRUE);
  g_array_free (fillings, TRUE);
  gp_counter_set (&runs_gauge, g_hash_table_size (agent->runs));
}

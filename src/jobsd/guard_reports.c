/* Reports from the guard to the leader.  */

#include "jobsd/guard_private.h"

#include "base/counters.h"
#include "base/log.h"
#include "jobs/frame_parts.h"
#include "jobsd/frame_io.h"
#include "protocol/message.h"

/* Acknowledged reports renew the lease, so several have to fit into its
   duration.  */
#define REPORT_INTERVAL (300 * GP_MSEC)
/* A leader answers each report.  It is told for how long nothing has come only
   from this time on, as reports are frequent.  */
#define UNHEARD_MIN (GP_SEC)

/* The rows to which a report points.  */
typedef struct
{
  GPtrArray *lacking;
  GArray *absent; /* Gp__Jobs__TaskRun, as those below */
  GArray *unconfirmed;
  GArray *refused;
  GArray *carried;
  GArray *settled;
  GArray *suspects;
  GArray *servings; /* Gp__Jobs__Serving */
  GArray *fillings; /* Gp__Jobs__Filling */
  GArray *ends;     /* Gp__Jobs__End, if they are without their checkpoints */
} report_rows_t;

static gp_counter_t runs_gauge
    = GP_GAUGE ("guard_runs", "Runs that belong on the executor");
static gp_counter_t parted_count
    = GP_COUNTER ("reports_parted_total",
                  "Reports that had no room for all ends or checkpoints");

void
gp_guard_register_reports (void)
{
  gp_counter_register (&parted_count);
  gp_counter_register (&runs_gauge);
}

static void
report_rows_init (report_rows_t *rows)
{
  rows->lacking = g_ptr_array_new_with_free_func (g_free);
  rows->absent = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__TaskRun));
  rows->unconfirmed = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__TaskRun));
  rows->refused = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__TaskRun));
  rows->carried = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__TaskRun));
  rows->settled = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__TaskRun));
  rows->suspects = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__TaskRun));
  rows->servings = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Serving));
  rows->fillings = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Filling));
  rows->ends = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__End));
}

/* Frees the rows and REPORT's arrays of pointers to them.  */
static void
report_rows_finish (report_rows_t *rows, Gp__Jobs__Report *report)
{
  g_free (report->absent);
  g_free (report->unconfirmed);
  g_free (report->refused);
  g_free (report->carried);
  g_free (report->settled);
  g_free (report->suspects);
  g_free (report->servings);
  g_free (report->fillings);
  if (rows->ends->len > 0)
    g_free (report->ends);
  g_ptr_array_unref (rows->lacking);
  g_array_free (rows->absent, TRUE);
  g_array_free (rows->unconfirmed, TRUE);
  g_array_free (rows->refused, TRUE);
  g_array_free (rows->carried, TRUE);
  g_array_free (rows->settled, TRUE);
  g_array_free (rows->suspects, TRUE);
  g_array_free (rows->servings, TRUE);
  g_array_free (rows->fillings, TRUE);
  g_array_free (rows->ends, TRUE);
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
add_run (GArray *rows, const gp_agent_run_t *run)
{
  Gp__Jobs__TaskRun row = row_of (run);

  g_array_append_val (rows, row);
}

static void
add_suspected_run (GArray *rows, const gp_agent_t *agent,
                   const gp_agent_run_t *run)
{
  Gp__Jobs__TaskRun row = row_of (run);

  gp_agent_describe_suspect (agent, run, &row);
  g_array_append_val (rows, row);
}

static void
report_runs (const gp_agent_t *agent, Gp__Jobs__Report *report,
             report_rows_t *rows)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_agent_run_t *run = value;

      if (run->phase == GP_RUN_ABSENT)
        add_run (rows->absent, run);
      if (gp_agent_is_unconfirmed (run))
        add_run (rows->unconfirmed, run);
      if (gp_agent_is_refused (run))
        add_run (rows->refused, run);
    }
  report->absent = gp_frame_row_pointers (rows->absent);
  report->n_absent = rows->absent->len;
  report->unconfirmed = gp_frame_row_pointers (rows->unconfirmed);
  report->n_unconfirmed = rows->unconfirmed->len;
  report->refused = gp_frame_row_pointers (rows->refused);
  report->n_refused = rows->refused->len;
}

static bool
is_carried (const gp_agent_t *agent, const gp_agent_run_t *run)
{
  return run->listed
         && (!agent->is_synced || run->phase == GP_RUN_STOPPING
             || run->phase == GP_RUN_STOPPED);
}

/* Runs that the executor lists although the leader does not want them there.
   A leader that has not synced yet is sent the complete list: it may find that
   this is another incarnation than it knew, one that has carried out late
   orders to the previous one.  */
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
      add_run (carried, value);
  report->carried = gp_frame_row_pointers (carried);
  report->n_carried = carried->len;
}

static void
add_carried_suspects (GArray *rows, const gp_agent_t *agent)
{
  for (guint i = 0; i < agent->carried->len; i++)
    {
      const Gp__Jobs__TaskRun *run = g_ptr_array_index (agent->carried, i);
      Gp__Jobs__TaskRun row = GP__JOBS__TASK_RUN__INIT;

      if (!gp_agent_carried_is_suspect (agent, run))
        continue;
      row.task = run->task;
      row.run = run->run;
      gp_agent_describe_carried (agent, &row);
      g_array_append_val (rows, row);
    }
}

/* Runs that have settled, and runs that may be the reason why the executor
   does not answer or its lease has expired.  */
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
        add_run (settled, value);
      if ((report->lapsed || report->down)
          && gp_agent_is_suspect (agent, value))
        add_suspected_run (suspects, agent, value);
    }
  if (report->lapsed || report->down)
    add_carried_suspects (suspects, agent);
  report->settled = gp_frame_row_pointers (settled);
  report->n_settled = settled->len;
  report->suspects = gp_frame_row_pointers (suspects);
  report->n_suspects = suspects->len;
}

/* Adds the work of ended runs that is still in the measurements.  */
static void
add_ended_work (const gp_agent_t *agent, GArray *fillings)
{
  for (guint i = 0; i < agent->ended_fillings->len; i++)
    {
      const gp_agent_ended_filling_t *ended = &g_array_index (
          agent->ended_fillings, gp_agent_ended_filling_t, i);
      Gp__Jobs__Filling filling = GP__JOBS__FILLING__INIT;

      filling.image = ended->image;
      filling.pace_percent = GP_PACER_FULL_SPEED;
      filling.work_permille
          = (uint32_t)(gp_agent_ended_filling_work (ended, agent->measured_at)
                       * 1000.0);
      g_array_append_val (fillings, filling);
    }
}

/* Measurements of the runs, for the leader's model.  */
static void
report_measurements (gp_job_guard_t *guard, Gp__Jobs__Report *report,
                     GArray *servings, GArray *fillings)
{
  gp_agent_t *agent = &guard->agent;
  GHashTableIter iter;
  gpointer value;

  if (!agent->has_measurements)
    return;
  agent->has_measurements = false;
  g_ptr_array_set_size (guard->sent.servings, 0);
  guard->sent.servings_at = report->sent_at;
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
          filling.pace_percent = run->pace.percent;
          filling.work_permille = (uint32_t)(run->work * 1000.0);
          g_array_append_val (fillings, filling);
        }
      else if (gp_agent_shows_load (run, agent->measured_at))
        {
          serving.task = (char *)run->name;
          serving.ratio_permille
              = (uint32_t)(run->measure * 1000 / run->start->target_ms);
          g_array_append_val (servings, serving);
          g_ptr_array_add (guard->sent.servings, g_strdup (run->name));
        }
    }
  add_ended_work (agent, fillings);
  report->servings = gp_frame_row_pointers (servings);
  report->n_servings = servings->len;
  report->fillings = gp_frame_row_pointers (fillings);
  report->n_fillings = fillings->len;
}

/* Returns whether the description of the executor is the same as in the last
   report.  If not, it is recorded as reported.  The description makes up half
   of a report's bytes and changes a few times in the executor's lifetime.  */
static bool
is_executor_reported (gp_job_guard_t *guard)
{
  gp_sent_state_t *sent = &guard->sent;
  const Gp__Jobs__Executor *executor = guard->agent.executor;
  GBytes *now;

  if (executor == NULL)
    return false;
  now = gp_message_pack (&executor->base);
  if (sent->executor != NULL && g_bytes_equal (sent->executor, now))
    {
      g_bytes_unref (now);
      return true;
    }
  if (sent->executor != NULL)
    g_bytes_unref (sent->executor);
  sent->executor = now;
  return false;
}

void
gp_guard_reports_init (gp_job_guard_t *guard)
{
  guard->sent.servings = g_ptr_array_new_with_free_func (g_free);
  guard->sent.fillings = g_ptr_array_new_with_free_func (g_free);
}

void
gp_guard_reset_sent_state (gp_job_guard_t *guard)
{
  gp_sent_state_t *sent = &guard->sent;
  GHashTableIter iter;
  gpointer value;

  g_clear_pointer (&sent->executor, g_bytes_unref);
  g_ptr_array_set_size (sent->servings, 0);
  g_ptr_array_set_size (sent->fillings, 0);
  sent->servings_at = 0;
  g_hash_table_iter_init (&iter, guard->agent.runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((gp_agent_run_t *)value)->settled_reported = false;
}

void
gp_guard_reports_finish (gp_job_guard_t *guard)
{
  gp_guard_reset_sent_state (guard);
  g_ptr_array_unref (guard->sent.servings);
  g_ptr_array_unref (guard->sent.fillings);
}

static void
apply_weights (gp_job_guard_t *guard, const Gp__Jobs__Weights *weights)
{
  gp_pressure_t *pressure = &guard->agent.pacer.pressure;
  const GPtrArray *fillings = guard->sent.fillings;

  for (size_t i = 0; i < weights->n_permille && i < fillings->len; i++)
    {
      int index = gp_pressure_spare_index (pressure,
                                           g_ptr_array_index (fillings, i));

      if (index >= 0)
        gp_pressure_set (pressure, weights->serving, (unsigned int)index,
                         weights->permille[i] / 1000.0);
    }
}

void
gp_guard_apply_model_update (gp_job_guard_t *guard,
                             const Gp__Jobs__Acknowledge *message)
{
  const gp_sent_state_t *sent = &guard->sent;
  gp_time_t now = gp_loop_now (&guard->loop);

  if (message->fillings_restart)
    g_ptr_array_set_size (sent->fillings, 0);
  for (size_t i = 0; i < message->n_fillings; i++)
    g_ptr_array_add (sent->fillings, g_strdup (message->fillings[i]));
  for (size_t i = 0; i < message->n_weights; i++)
    apply_weights (guard, message->weights[i]);
  if (message->sent_at != sent->servings_at
      || message->n_headrooms != sent->servings->len)
    return;
  for (size_t i = 0; i < message->n_headrooms; i++)
    if (message->headrooms[i] != 0)
      gp_agent_set_load (&guard->agent, g_ptr_array_index (sent->servings, i),
                         message->headrooms[i], message->slopes[i], now);
}

/* For how long nothing has come from the leader, in milliseconds; 0: not for
   long.  */
static uint32_t
unheard_ms (const gp_job_guard_t *guard, gp_time_t now)
{
  gp_time_t unheard = now - gp_peer_received_at (guard->leader);

  return unheard >= UNHEARD_MIN ? (uint32_t)(unheard / GP_MSEC) : 0;
}

/* Describes AGENT's executor in REPORT: by UNCHANGED, which the caller
   allocates, if the leader knows the rest.  */
static void
report_executor (gp_job_guard_t *guard, Gp__Jobs__Report *report,
                 Gp__Jobs__Executor *unchanged)
{
  const gp_agent_t *agent = &guard->agent;

  if (!is_executor_reported (guard))
    {
      report->executor = agent->executor;
      report->predecessor = agent->predecessor;
      return;
    }
  unchanged->id = agent->executor->id;
  unchanged->born_ms = agent->executor->born_ms;
  unchanged->unchanged = true;
  report->executor = unchanged;
}

/* Fills in the fields of REPORT that describe the state of the executor and of
   this guard.  */
static void
report_state (gp_job_guard_t *guard, Gp__Jobs__Report *report, gp_time_t now)
{
  gp_agent_t *agent = &guard->agent;

  report->node = guard->settings->node;
  report->unheard_ms = unheard_ms (guard, now);
  report->lapsed = gp_agent_lease_lapsed (agent, now);
  report->answers = gp_agent_is_responsive (agent, now);
  report->down = gp_agent_is_down (agent, now);
  report->keeps_alone = gp_agent_has_isolated_run (agent);
  report->awaits_record = guard->executor_ends.since != 0;
  report->stopping = guard->stopping;
  report->ended = agent->ended;
  report->synced = agent->synced;
  guard->sent.down = report->down;
}

/* Sets REPORT's ends to ENDS without their checkpoints.  */
static void
report_short_ends (Gp__Jobs__Report *report, const GPtrArray *ends,
                   report_rows_t *rows)
{
  for (guint i = 0; i < ends->len; i++)
    {
      Gp__Jobs__End end = *(const Gp__Jobs__End *)g_ptr_array_index (ends, i);

      end.checkpoint.len = 0;
      g_array_append_val (rows->ends, end);
    }
  report->ends = gp_frame_row_pointers (rows->ends);
  report->n_ends = ends->len;
}

/* Fills in the ends of REPORT, whose other fields are set.  Those for which a
   frame has no room follow once the others are on record.  But if the executor
   is down or its lease is over, all ends have to come with that: runs that
   have not been reported as ended count as lost then.  */
static void
report_ends (const gp_agent_t *agent, Gp__Jobs__Report *report,
             report_rows_t *rows)
{
  const GPtrArray *ends = agent->ends;
  bool needs_all = report->lapsed || report->ended || report->down;
  size_t size = gp__jobs__report__get_packed_size (report);

  report->ends = (Gp__Jobs__End **)ends->pdata;
  report->n_ends = gp_frame_rows_that_fit ((ProtobufCMessage **)report->ends,
                                           ends->len, &size);
  if (report->n_ends == ends->len)
    return;
  gp_counter_add (&parted_count, 1);
  gp_log (GP_LOG_INFO, "report.parted", GP_LOG_I ("ends", ends->len),
          GP_LOG_I ("fit", (int64_t)report->n_ends),
          GP_LOG_I ("without_checkpoints", needs_all));
  if (needs_all)
    report_short_ends (report, ends, rows);
}

/* Fills in the rows of REPORT.  */
static void
report_rows (gp_job_guard_t *guard, Gp__Jobs__Report *report,
             report_rows_t *rows)
{
  gp_agent_t *agent = &guard->agent;

  gp_agent_missing_specs (agent, rows->lacking);
  report->lacking = (char **)rows->lacking->pdata;
  report->n_lacking = rows->lacking->len;
  report_runs (agent, report, rows);
  report_carried (agent, report, rows->carried);
  report_suspects (agent, report, rows->settled, rows->suspects);
  report_measurements (guard, report, rows->servings, rows->fillings);
  report_ends (agent, report, rows);
}

void
gp_guard_send_report (gp_job_guard_t *guard)
{
  gp_agent_t *agent = &guard->agent;
  gp_time_t now = gp_loop_now (&guard->loop);
  Gp__Jobs__Report report = GP__JOBS__REPORT__INIT;
  Gp__Jobs__Executor unchanged = GP__JOBS__EXECUTOR__INIT;
  Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;
  report_rows_t rows;

  gp_timer_arm (&guard->report_timer, now + REPORT_INTERVAL);
  gp_guard_note_executor_ends (guard);
  if (guard->leader == NULL)
    return;
  /* Each report has a unique send time, by which its acknowledgement refers to
     it.  */
  guard->report_sent_at = MAX (now, guard->report_sent_at + 1);
  report.sent_at = guard->report_sent_at;
  report_rows_init (&rows);
  report_executor (guard, &report, &unchanged);
  report_state (guard, &report, now);
  report_rows (guard, &report, &rows);
  frame.message_case = GP__JOBS__FRAME__MESSAGE_REPORT;
  frame.report = &report;
  gp_agent_reported (agent, report.sent_at);
  gp_frame_send (guard->leader, &frame);
  report_rows_finish (&rows, &report);
  gp_counter_set (&runs_gauge, g_hash_table_size (agent->runs));
}

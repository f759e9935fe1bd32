/* What the leader learns from the guards' measures of interference, and what
   it teaches them.  */

#include "jobsd/leader_private.h"
#include "protocol/message.h"

/* A filling run that is held to no more speed than this is slow.  */
#define SLOW_PERCENT 60
/* Guards are told what was learned so often.  */
#define TEACH_TIME (500 * GP_MSEC)
/* What was learned is written down so often; a few kilobytes.  */
#define LEARNED_TIME (2 * GP_SEC)
/* What was learned of the images that fill anywhere beside SERVING, which has
   to outlive ROWS.  */
static void
add_pressures (const gp_pressure_t *pressure, const char *serving,
               GArray *rows)
{
  GHashTableIter iter;
  gpointer image;
  gpointer place;

  g_hash_table_iter_init (&iter, pressure->places);
  while (g_hash_table_iter_next (&iter, &image, &place))
    {
      Gp__Jobs__Pressure row = GP__JOBS__PRESSURE__INIT;

      row.serving = (char *)serving;
      row.filling = image;
      row.weight_permille
          = (int32_t)(gp_pressure_weight (pressure, serving,
                                          GPOINTER_TO_UINT (place) - 1)
                      * 1000.0);
      g_array_append_val (rows, row);
    }
}

/* The track of the load of TASK, of its step's runs, or NULL.  */
static gp_headroom_t *
load_of (const gp_link_t *link, const char *name)
{
  gp_job_task_t *task = gp_book_task (link->leader->book, name);

  if (task == NULL || task->executor != link->executor)
    return NULL;
  return &task->job->loads[gp_task_step_number (task)];
}

static void
add_loads (const gp_link_t *link, const Gp__Jobs__Report *report,
           GArray *loads)
{
  gp_time_t now = gp_loop_now (link->leader->loop);

  for (size_t i = 0; i < report->n_servings; i++)
    {
      Gp__Jobs__Load row = GP__JOBS__LOAD__INIT;
      const gp_headroom_t *load = load_of (link, report->servings[i]->task);

      if (load == NULL || !gp_headroom_is_known (load))
        continue;
      row.task = report->servings[i]->task;
      row.headroom_permille = (int32_t)(gp_headroom_at (load, now) * 1000.0);
      row.slope_permille
          = (int32_t)(gp_headroom_slope_at (load, now) * 1000.0);
      g_array_append_val (loads, row);
    }
}

void
gp_leader_teach (gp_link_t *link, const Gp__Jobs__Report *report,
                 Gp__Jobs__Acknowledge *message, gp_teaching_t *teaching)
{
  gp_time_t now = gp_loop_now (link->leader->loop);

  add_loads (link, report, teaching->loads);
  message->loads = gp_link_pointers (teaching->loads);
  message->n_loads = teaching->loads->len;
  if (report->n_servings == 0 || now - link->taught_at < TEACH_TIME)
    return;
  link->taught_at = now;
  for (size_t i = 0; i < report->n_servings; i++)
    add_pressures (&link->leader->pressure, report->servings[i]->image,
                   teaching->pressures);
  message->pressures = gp_link_pointers (teaching->pressures);
  message->n_pressures = teaching->pressures->len;
}

void
gp_teaching_init (gp_teaching_t *teaching)
{
  teaching->pressures
      = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Pressure));
  teaching->loads = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Load));
}

void
gp_teaching_finish (gp_teaching_t *teaching, Gp__Jobs__Acknowledge *message)
{
  g_free (message->pressures);
  g_free (message->loads);
  g_array_free (teaching->pressures, TRUE);
  g_array_free (teaching->loads, TRUE);
}

static void
note_speed (gp_link_t *link, const Gp__Jobs__Filling *filling)
{
  gp_job_task_t *task = gp_book_task (link->leader->book, filling->task);
  gp_time_t now = gp_loop_now (link->leader->loop);

  if (task == NULL || task->executor != link->executor)
    return;
  if (filling->pace_percent > SLOW_PERCENT)
    task->slow_since = 0;
  else if (task->slow_since == 0)
    task->slow_since = now;
}

static gp_pressure_work_t
work_of (gp_link_t *link, const Gp__Jobs__Report *report)
{
  gp_pressure_work_t work = { { 0.0 } };

  for (size_t i = 0; i < report->n_fillings; i++)
    work.work[gp_pressure_place (&link->leader->pressure,
                                 report->fillings[i]->image)]
        += report->fillings[i]->work_permille / 1000.0;
  return work;
}

static void
learn_serving (gp_link_t *link, const Gp__Jobs__Serving *serving,
               const gp_pressure_work_t *work, gp_time_t now)
{
  gp_headroom_t *load = load_of (link, serving->task);

  if (load == NULL || serving->ratio_permille == 0)
    return;
  gp_pressure_learn (&link->leader->pressure, serving->image, work,
                     1000.0 / serving->ratio_permille, load, now);
}

void
gp_leader_learn (gp_link_t *link, const Gp__Jobs__Report *report)
{
  gp_time_t now = gp_loop_now (link->leader->loop);
  gp_pressure_work_t work = work_of (link, report);

  for (size_t i = 0; i < report->n_fillings; i++)
    note_speed (link, report->fillings[i]);
  for (size_t i = 0; i < report->n_servings; i++)
    learn_serving (link, report->servings[i], &work, now);
}

static GBytes *
pack_learned (const gp_leader_t *leader)
{
  Gp__Jobs__Learned learned = GP__JOBS__LEARNED__INIT;
  GArray *pressures = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Pressure));
  GArray *forecasts = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Forecast));
  GHashTableIter iter;
  gpointer serving;
  GBytes *bytes;

  g_hash_table_iter_init (&iter, leader->pressure.models);
  while (g_hash_table_iter_next (&iter, &serving, NULL))
    add_pressures (&leader->pressure, serving, pressures);
  gp_forecast_pack (&leader->scheduler.forecast, forecasts);
  learned.pressures = gp_link_pointers (pressures);
  learned.n_pressures = pressures->len;
  learned.forecasts = gp_link_pointers (forecasts);
  learned.n_forecasts = forecasts->len;
  bytes = gp_message_pack (&learned.base);
  g_free (learned.pressures);
  g_free (learned.forecasts);
  g_array_free (pressures, TRUE);
  g_array_free (forecasts, TRUE);
  return bytes;
}

void
gp_leader_add_learned (gp_leader_t *leader)
{
  gp_time_t now = gp_loop_now (leader->loop);
  GBytes *bytes;

  if (now < leader->learned_due)
    return;
  leader->learned_due = now + LEARNED_TIME;
  bytes = pack_learned (leader);
  if (g_bytes_get_size (bytes) > 0)
    gp_leader_add_record (leader, GP_LEARNED_KEY, bytes);
  g_bytes_unref (bytes);
}

void
gp_leader_take_learned (gp_leader_t *leader, const Gp__Jobs__Learned *learned)
{
  gp_pressure_t *pressure = &leader->pressure;

  for (size_t i = 0; i < learned->n_pressures; i++)
    {
      const Gp__Jobs__Pressure *row = learned->pressures[i];

      gp_pressure_set (pressure, row->serving,
                       gp_pressure_place (pressure, row->filling),
                       row->weight_permille / 1000.0);
    }
  for (size_t i = 0; i < learned->n_forecasts; i++)
    gp_forecast_set (&leader->scheduler.forecast, learned->forecasts[i]);
}

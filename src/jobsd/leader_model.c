/* The leader's interference model: updating it from the guards' measurements,
   and sending it to the guards.  */

#include "jobsd/leader_private.h"
#include "protocol/message.h"

#include <string.h>

/* A filling run whose speed is limited to at most this percentage counts as
   slow.  */
#define SLOW_PERCENT 60
/* Interval between two transmissions of the weights to a guard.  */
#define WEIGHTS_INTERVAL (500 * GP_MSEC)
/* Interval between two records of the model, which take a few kilobytes
   each.  */
#define MODEL_RECORD_INTERVAL (2 * GP_SEC)
/* Maximum sizes in bytes of the two parts of such a record, which all entries
   read.  The store refuses records of more than some hundred kilobytes, and
   with them the progress of jobs in the same append.  */
#define PRESSURES_MAX_SIZE ((size_t)32 * 1024)
#define FORECASTS_MAX_SIZE ((size_t)16 * 1024)

/* The load estimate of the step that the run NAME belongs to; NULL if the run
   is not on the executor of LINK.  */
static gp_headroom_t *
load_of (const gp_guard_link_t *link, const char *name)
{
  gp_job_task_t *task = gp_book_task (link->leader->book, name);

  if (task == NULL || task->executor != link->executor)
    return NULL;
  return &task->job->loads[gp_task_step_number (task)];
}

/* The image of the run NAME; NULL if it is unknown.  */
static const char *
image_of (const gp_guard_link_t *link, const char *name)
{
  const gp_job_task_t *task = gp_book_task (link->leader->book, name);

  return task != NULL ? gp_task_step (task)->image : NULL;
}

/* Add the loads of the serving runs in the order of the report, so that no
   names are needed.  */
static void
add_loads (const gp_guard_link_t *link, const Gp__Jobs__Report *report,
           gp_model_update_t *update)
{
  gp_time_t now = gp_loop_now (link->leader->loop);

  for (size_t i = 0; i < report->n_servings; i++)
    {
      const gp_headroom_t *load = load_of (link, report->servings[i]->task);
      bool known = load != NULL && gp_headroom_is_known (load);
      int32_t headroom
          = known ? (int32_t)(gp_headroom_at (load, now) * 1000.0) : 0;
      int32_t slope
          = known ? (int32_t)(gp_headroom_slope_at (load, now) * 1000.0) : 0;

      g_array_append_val (update->headrooms, headroom);
      g_array_append_val (update->slopes, slope);
    }
}

/* The weight of the filling image at POSITION of the list that guards are sent
   next to SERVING, in thousandths.  */
static int32_t
weight_at (const gp_leader_t *leader, const char *serving, guint position)
{
  const char *filling = g_ptr_array_index (leader->fillings.names, position);
  int index = gp_pressure_find_index (&leader->pressure, filling);
  double weight = index >= 0 ? gp_pressure_weight (&leader->pressure, serving,
                                                   (unsigned int)index)
                             : GP_PRESSURE_PRIOR;

  return (int32_t)(weight * 1000.0);
}

/* Add the weights of all filling images next to the serving image SERVING,
   once per message.  */
static void
add_weights (gp_leader_t *leader, const char *serving, GPtrArray *rows)
{
  Gp__Jobs__Weights *weights;

  for (guint i = 0; i < rows->len; i++)
    if (strcmp (((Gp__Jobs__Weights *)g_ptr_array_index (rows, i))->serving,
                serving)
        == 0)
      return;
  weights = g_new (Gp__Jobs__Weights, 1);
  gp__jobs__weights__init (weights);
  weights->serving = (char *)serving;
  weights->n_permille = leader->fillings.names->len;
  weights->permille = g_new (int32_t, weights->n_permille);
  for (guint i = 0; i < weights->n_permille; i++)
    weights->permille[i] = weight_at (leader, serving, i);
  g_ptr_array_add (rows, weights);
}

static void
free_weights (gpointer data)
{
  Gp__Jobs__Weights *weights = data;

  g_free (weights->permille);
  g_free (weights);
}

static void
add_weights_of_runs (gp_guard_link_t *link, const Gp__Jobs__Report *report,
                     Gp__Jobs__Acknowledge *message, gp_model_update_t *update)
{
  gp_leader_t *leader = link->leader;

  gp_filling_names_update (&leader->fillings, &leader->pressure);
  gp_filling_names_add_news (&leader->fillings, &link->fillings, message);
  for (size_t i = 0; i < report->n_servings; i++)
    {
      const char *image = image_of (link, report->servings[i]->task);

      if (image != NULL)
        add_weights (leader, image, update->weights);
    }
  message->weights = (Gp__Jobs__Weights **)update->weights->pdata;
  message->n_weights = update->weights->len;
}

void
gp_leader_add_model_update (gp_guard_link_t *link,
                            const Gp__Jobs__Report *report,
                            Gp__Jobs__Acknowledge *message,
                            gp_model_update_t *update)
{
  gp_time_t now = gp_loop_now (link->leader->loop);

  add_loads (link, report, update);
  message->headrooms = (int32_t *)(void *)update->headrooms->data;
  message->n_headrooms = update->headrooms->len;
  message->slopes = (int32_t *)(void *)update->slopes->data;
  message->n_slopes = update->slopes->len;
  if (report->n_servings == 0
      || now - link->weights_sent_at < WEIGHTS_INTERVAL)
    return;
  link->weights_sent_at = now;
  add_weights_of_runs (link, report, message, update);
}

void
gp_model_update_init (gp_model_update_t *update)
{
  update->weights = g_ptr_array_new_with_free_func (free_weights);
  update->headrooms = g_array_new (FALSE, FALSE, sizeof (int32_t));
  update->slopes = g_array_new (FALSE, FALSE, sizeof (int32_t));
}

void
gp_model_update_finish (gp_model_update_t *update)
{
  g_ptr_array_unref (update->weights);
  g_array_unref (update->headrooms);
  g_array_unref (update->slopes);
}

static void
update_slow_since (gp_guard_link_t *link, const Gp__Jobs__Filling *filling)
{
  gp_job_task_t *task = gp_book_task (link->leader->book, filling->task);
  gp_time_t now = gp_loop_now (link->leader->loop);

  if (task == NULL || task->executor != link->executor)
    return;
  gp_task_set_throttled (task, filling->pace_percent <= SLOW_PERCENT, now);
}

static gp_pressure_work_t
work_of (gp_guard_link_t *link, const Gp__Jobs__Report *report)
{
  gp_pressure_work_t work = { { 0.0 } };

  for (size_t i = 0; i < report->n_fillings; i++)
    {
      const Gp__Jobs__Filling *filling = report->fillings[i];
      const char *image = *filling->task != '\0'
                              ? image_of (link, filling->task)
                              : filling->image;

      if (image != NULL)
        work.work[gp_pressure_image_index (&link->leader->pressure, image)]
            += filling->work_permille / 1000.0;
    }
  return work;
}

static void
update_from_serving (gp_guard_link_t *link, const Gp__Jobs__Serving *serving,
                     const gp_pressure_work_t *work, gp_time_t now)
{
  gp_headroom_t *load = load_of (link, serving->task);

  if (load == NULL || serving->ratio_permille == 0)
    return;
  gp_pressure_learn (&link->leader->pressure, image_of (link, serving->task),
                     work, 1000.0 / serving->ratio_permille, load, now);
}

void
gp_leader_update_model (gp_guard_link_t *link, const Gp__Jobs__Report *report)
{
  gp_time_t now = gp_loop_now (link->leader->loop);
  gp_pressure_work_t work = work_of (link, report);

  for (size_t i = 0; i < report->n_fillings; i++)
    update_slow_since (link, report->fillings[i]);
  for (size_t i = 0; i < report->n_servings; i++)
    update_from_serving (link, report->servings[i], &work, now);
}

static GBytes *
pack_model (const gp_leader_t *leader)
{
  Gp__Jobs__Learned learned = GP__JOBS__LEARNED__INIT;
  GArray *pressures = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Pressure));
  GArray *forecasts = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Forecast));
  GBytes *bytes;

  gp_pressure_pack (&leader->pressure, PRESSURES_MAX_SIZE, pressures);
  gp_forecast_pack (&leader->scheduler.forecast, FORECASTS_MAX_SIZE,
                    forecasts);
  learned.pressures = gp_frame_row_pointers (pressures);
  learned.n_pressures = pressures->len;
  learned.forecasts = gp_frame_row_pointers (forecasts);
  learned.n_forecasts = forecasts->len;
  bytes = gp_message_pack (&learned.base);
  g_free (learned.pressures);
  g_free (learned.forecasts);
  g_array_free (pressures, TRUE);
  g_array_free (forecasts, TRUE);
  return bytes;
}

void
gp_leader_add_model (gp_leader_t *leader)
{
  gp_time_t now = gp_loop_now (leader->loop);
  GBytes *bytes;

  if (now < leader->learned_due)
    return;
  leader->learned_due = now + MODEL_RECORD_INTERVAL;
  bytes = pack_model (leader);
  if (g_bytes_get_size (bytes) > 0)
    gp_leader_add_record (leader, GP_LEARNED_KEY, bytes);
  g_bytes_unref (bytes);
}

/* The rows begin with the most recently used images: in reverse order they
   leave the images in the order of their use.  */
void
gp_leader_load_model (gp_leader_t *leader, const Gp__Jobs__Learned *learned)
{
  gp_pressure_t *pressure = &leader->pressure;

  for (size_t i = learned->n_pressures; i-- > 0;)
    {
      const Gp__Jobs__Pressure *row = learned->pressures[i];

      gp_pressure_set (pressure, row->serving,
                       gp_pressure_image_index (pressure, row->filling),
                       row->weight_permille / 1000.0);
    }
  for (size_t i = learned->n_forecasts; i-- > 0;)
    gp_forecast_set (&leader->scheduler.forecast, learned->forecasts[i]);
}

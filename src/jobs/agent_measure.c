/* Guard: evaluation of the measurements of the executor's runs.

   For each serving run the executor reports its tail latency, and for each
   filling run the CPU that it uses, both over the last half second.  A filling
   run affects serving runs only while it is busy, which shows in its use of
   CPU (jobs/pressure.h).  For cause and effect to match, its work is counted
   over the same half second: scaled by the pace that it had in that time, from
   the time at which it began to run, and for a while after its end.  */

#include "jobs/agent_private.h"

#include <math.h>

/* Length of the window before a measurement over which it is taken.  */
#define WINDOW_TIME (500 * GP_MSEC)
/* Least time between evaluations.  Twice per window shows an increase a
   quarter of a second earlier.  */
#define MEASURE_INTERVAL (230 * GP_MSEC)
/* Mean time from the beginning of a run to the first measurement that shows it
   running.  */
#define DETECTION_DELAY (150 * GP_MSEC)
/* Delay until a confirmed pace shows in the measurements.  */
#define PACE_DELAY (100 * GP_MSEC)
/* Share of its allowed CPU that a run uses while it is not busy; a busy run
   uses all of it.  */
#define IDLE_SHARE (2.0 / 3.0)
/* Below this mean pace (1.0 is full speed) the CPU in use is too little to
   show whether a run is busy.  */
#define MIN_CONCLUSIVE_PACE 0.08
/* A run counts as busy from this share of the window on.  A busy phase lasts
   five to nine seconds, so such a run has just entered one.  */
#define MIN_BUSY_SHARE 0.3
/* Time after now that a plan has to cover: from when its paces take effect to
   when those of the next plan do.  */
#define PLAN_FROM (100 * GP_MSEC)
#define PLAN_UNTIL (450 * GP_MSEC)
/* When a serving run was over its target for so many seconds, all filling runs
   count as busy.  */
#define ASSUME_BUSY_AFTER 1.2
/* A serving run is not under its full load before it has run for this
   long.  */
#define WARM_UP_TIME (GP_SEC)
/* Feedback for the plan: if the measured headroom is below FEEDBACK_BELOW, the
   plan allows for FEEDBACK_SHARE of the amount by which it falls short of the
   expected headroom.  */
#define FEEDBACK_BELOW 1.3
#define FEEDBACK_SHARE 0.7
/* How long the leader's estimate of a load takes precedence over local
   measurements, as being more recent.  */
#define LEADER_LOAD_TIME (GP_SEC)

/* Returns the share of the window that ends at NOW that lies after SINCE.  */
static double
window_share (gp_time_t since, gp_time_t now)
{
  return CLAMP ((double)(now - since) / WINDOW_TIME, 0.0, 1.0);
}

/* Returns the mean pace of RUN in the window, from 0 to 1.  */
static double
mean_pace (const gp_agent_run_t *run, gp_time_t now)
{
  double before = run->pace.previous_percent;
  double after = run->pace.percent;
  double share = 1.0;

  if (run->pace.confirmed_at != 0)
    share = window_share (run->pace.confirmed_at + PACE_DELAY, now);
  return (before + (after - before) * share) / GP_PACER_FULL_SPEED;
}

/* Estimates the share of the window in which RUN, at the mean pace PACE, was
   busy.  While its pace changes, the previous estimate remains.  */
static void
estimate_busy_share (gp_agent_run_t *run, double pace, gp_time_t now)
{
  double full = run->start->cpu_milli;
  bool changes = run->pace.confirmed_at != 0
                 && now < run->pace.confirmed_at + PACE_DELAY + WINDOW_TIME;
  double share;

  if (run->measure == 0 || full == 0.0 || pace < MIN_CONCLUSIVE_PACE)
    return;
  if (changes && !isnan (run->busy_share))
    return;
  share = (double)run->measure / full / pace;
  run->busy_share
      = CLAMP ((share - IDLE_SHARE) / (1.0 - IDLE_SHARE), 0.0, 1.0);
}

static void
measure_filling (gp_agent_run_t *run, gp_time_t now)
{
  double pace = mean_pace (run, now);

  if (run->measure > 0 && run->active_since == 0)
    run->active_since = now - DETECTION_DELAY;
  estimate_busy_share (run, pace, now);
  run->work = 0.0;
  if (run->active_since != 0)
    run->work = pace * window_share (run->active_since, now)
                * (isnan (run->busy_share) ? GP_PRESSURE_BUSY_SHARE
                                           : run->busy_share);
}

static unsigned int
image_index (gp_agent_t *agent, const char *image)
{
  return gp_pressure_image_index (&agent->pacer.pressure, image);
}

void
gp_agent_note_ended (gp_agent_t *agent, const gp_agent_run_t *run,
                     gp_time_t now)
{
  gp_agent_ended_filling_t filling;

  agent->plan_is_stale = true;
  if (run->start == NULL || !run->start->fills)
    return;
  filling = (gp_agent_ended_filling_t){ .image = g_strdup (run->start->image),
                                        .work = run->work,
                                        .ended_at = now };
  g_array_append_val (agent->ended_fillings, filling);
}

double
gp_agent_ended_filling_work (const gp_agent_ended_filling_t *filling,
                             gp_time_t now)
{
  return filling->work * (1.0 - window_share (filling->ended_at, now));
}

/* Adds to WORK the work of ended runs that still lies in the window.  */
static void
add_ended_fillings (gp_agent_t *agent, gp_pressure_work_t *work, gp_time_t now)
{
  for (guint i = agent->ended_fillings->len; i-- > 0;)
    {
      const gp_agent_ended_filling_t *filling = &g_array_index (
          agent->ended_fillings, gp_agent_ended_filling_t, i);

      work->work[image_index (agent, filling->image)]
          += gp_agent_ended_filling_work (filling, now);
      if (now - filling->ended_at >= WINDOW_TIME)
        g_array_remove_index_fast (agent->ended_fillings, i);
    }
}

/* Returns the busy work of the filling runs in the window that ends at
   NOW.  */
static gp_pressure_work_t
measure_fillings (gp_agent_t *agent, gp_time_t now)
{
  gp_pressure_work_t work = { { 0.0 } };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_agent_run_t *run = value;

      if (!run->listed || run->start == NULL || !run->start->fills)
        continue;
      measure_filling (run, now);
      work.work[image_index (agent, run->start->image)] += run->work;
    }
  add_ended_fillings (agent, &work, now);
  return work;
}

static bool
is_measured (const gp_agent_run_t *run)
{
  return run->listed && run->start != NULL && !run->start->fills
         && run->start->target_ms > 0 && run->measure > 0;
}

bool
gp_agent_shows_load (const gp_agent_run_t *run, gp_time_t now)
{
  return is_measured (run) && run->active_since != 0
         && now - run->active_since >= WARM_UP_TIME;
}

void
gp_agent_set_load (gp_agent_t *agent, const char *task,
                   int32_t headroom_permille, int32_t slope_permille,
                   gp_time_t now)
{
  gp_agent_run_t *run = g_hash_table_lookup (agent->runs, task);

  if (run == NULL)
    return;
  run->leader_load.headroom = headroom_permille / 1000.0;
  run->leader_load.slope = slope_permille / 1000.0;
  run->leader_load.received_at = now;
}

static bool
has_leader_load (const gp_agent_run_t *run, gp_time_t now)
{
  return run->leader_load.received_at != 0
         && now - run->leader_load.received_at < LEADER_LOAD_TIME;
}

/* Returns the expected headroom of RUN at WHEN, soon after NOW, without
   filling runs.  */
static double
headroom_at (const gp_agent_run_t *run, gp_time_t now, gp_time_t when)
{
  if (!has_leader_load (run, now))
    return gp_headroom_at (&run->headroom, when);
  return run->leader_load.headroom
         + run->leader_load.slope
               * (double)(when - run->leader_load.received_at) / GP_SEC;
}

/* Records for how long RUN has been over its target.  */
static void
update_over_target (gp_agent_run_t *run, gp_time_t now)
{
  bool over = run->measure > run->start->target_ms;

  if (!over)
    run->over_target_since = GP_TIME_NEVER;
  else if (run->over_target_since == GP_TIME_NEVER)
    run->over_target_since = now;
  run->over_target_s
      = over ? (double)(now - run->over_target_since) / GP_SEC : 0.0;
}

/* Returns the weighted amount by which the measured HEADROOM of RUN falls
   short of the expected one, when filling runs take TAKEN of it.  */
static double
deficit_of (const gp_agent_run_t *run, double headroom, double taken,
            gp_time_t now)
{
  double expected = headroom_at (run, now, now) - taken;

  if (headroom >= FEEDBACK_BELOW)
    return 0.0;
  return FEEDBACK_SHARE * fmax (0.0, expected - headroom);
}

/* Evaluates the measurement of the serving RUN, with WORK by filling runs on
   the same executor.  Returns whether it shows the run's load.  */
static bool
measure_serving (gp_agent_t *agent, gp_agent_run_t *run,
                 const gp_pressure_work_t *work, gp_time_t now)
{
  gp_pressure_t *pressure = &agent->pacer.pressure;
  const char *image = run->start->image;
  double headroom
      = gp_headroom_of ((double)run->measure, run->start->target_ms);

  if (run->active_since == 0)
    run->active_since = now;
  update_over_target (run, now);
  run->headroom_deficit = deficit_of (
      run, headroom, gp_pressure_sum (pressure, image, work), now);
  if (!gp_agent_shows_load (run, now))
    return false;
  gp_pressure_learn (pressure, image, work, headroom, &run->headroom, now);
  return true;
}

/* Returns whether RUN is running, or will be once its start is carried
   out.  */
static bool
is_or_will_be_running (const gp_agent_run_t *run)
{
  return run->listed || run->phase == GP_RUN_STARTING
         || run->phase == GP_RUN_STARTED;
}

static bool
may_be_busy (const gp_agent_t *agent, const gp_agent_run_t *run)
{
  return agent->assumes_busy || isnan (run->busy_share)
         || run->busy_share >= MIN_BUSY_SHARE;
}

uint32_t
gp_agent_wanted_pace (gp_agent_t *agent, const gp_agent_run_t *run)
{
  return may_be_busy (agent, run)
             ? gp_pacer_pace (&agent->pacer, run->start->image)
             : GP_PACER_FULL_SPEED;
}

static gp_pacer_serving_t
plan_serving (const gp_agent_run_t *run, gp_time_t now)
{
  double from = headroom_at (run, now, now + PLAN_FROM);
  double until = headroom_at (run, now, now + PLAN_UNTIL);

  return (gp_pacer_serving_t){ .image = run->start->image,
                               .headroom = MIN (from, until),
                               .headroom_deficit = run->headroom_deficit,
                               .over_target_s = run->over_target_s };
}

/* Returns whether the plan considers the serving RUN, which it does if the
   load of RUN is known or RUN is over its target: the load of a new run is
   known only after a second, and users tolerate four seconds over the
   target.  */
static bool
is_protected (const gp_agent_run_t *run, gp_time_t now)
{
  return gp_headroom_is_known (&run->headroom) || has_leader_load (run, now)
         || run->over_target_s > 0.0;
}

void
gp_agent_plan (gp_agent_t *agent, gp_time_t now)
{
  gp_pacer_serving_t servings[GP_PACER_MAX_SERVINGS];
  size_t count = 0;
  gp_pressure_work_t busy = { { 0.0 } };
  GHashTableIter iter;
  gpointer value;

  agent->plan_is_stale = false;
  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_agent_run_t *run = value;

      if (run->start == NULL || !is_or_will_be_running (run))
        continue;
      if (run->start->fills)
        busy.work[image_index (agent, run->start->image)]
            += may_be_busy (agent, run);
      else if (is_protected (run, now) && count < GP_PACER_MAX_SERVINGS)
        servings[count++] = plan_serving (run, now);
    }
  gp_pacer_update (&agent->pacer, servings, count, &busy);
}

void
gp_agent_measure (gp_agent_t *agent, gp_time_t now)
{
  gp_pressure_work_t work;
  GHashTableIter iter;
  gpointer value;

  if (now - agent->measured_at < MEASURE_INTERVAL)
    return;
  agent->measured_at = now;
  agent->has_measurements = false;
  agent->assumes_busy = false;
  work = measure_fillings (agent, now);
  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_agent_run_t *run = value;

      if (!is_measured (run))
        continue;
      if (measure_serving (agent, run, &work, now))
        agent->has_measurements = true;
      if (run->over_target_s > ASSUME_BUSY_AFTER)
        agent->assumes_busy = true;
    }
  gp_agent_plan (agent, now);
}

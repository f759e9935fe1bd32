/* Scores places for waiting tasks: free capacity, interference with serving
   runs, rack, and the other runs there.  */

#include "jobs/placer_private.h"

#include <math.h>
#include <string.h>

/* Headroom below which filling work is considered to interfere with a serving
   run: twice that at its target, as its load and its phase may change while
   the filling run is running.  */
#define HEADROOM_GOAL 2.0
/* Interference is the mean of what is expected at these times from now, which
   lie within the duration of most filling runs.  */
static const gp_time_t interference_times[]
    = { 300 * GP_MSEC, 1500 * GP_MSEC };
/* Points that a task loses for each unit of expected interference.  One unit
   is the headroom that a run has at its target; all processors of an executor
   are worth 1000 points.  */
#define INTERFERENCE_POINTS 3000.0
/* A filling task waits rather than cause more interference than this, but no
   longer than MAX_INTERFERENCE_WAIT if its job has no other run: the pacer
   then limits the interference.  */
#define MAX_INTERFERENCE 0.3
#define MAX_INTERFERENCE_WAIT (1200 * GP_MSEC)

/* Points for each run of the same image on the executor.  Runs of one image
   suffer from the same neighbours, so grouping them leaves other executors
   free for those neighbours.  */
#define SAME_IMAGE_POINTS 300

/* Points for the preferred rack: as much as an empty executor has over a full
   one, as the work takes 1.5 to 3 times as long elsewhere.  */
#define RACK_POINTS 1000
/* Points subtracted for an executor on which the task has failed: four times
   the difference between an empty and a full one, so that it is a last
   resort.  */
#define FAILED_POINTS 4000

/* Points subtracted for an executor in quarantine, which is also a last
   resort.  */
#define QUARANTINE_POINTS 4000

/* Points subtracted for a slow executor, multiplied by the share of its time
   that a task loses there.  A share of a half costs as much as the preferred
   rack, outside of which work loses about that share.  Filling work is less
   urgent, so it loses fewer points.  */
#define LOST_TIME_POINTS 2000
#define FILLING_LOST_TIME_POINTS (LOST_TIME_POINTS / 2)

void
gp_placer_add_filling (const gp_placer_pass_t *pass,
                       gp_placer_candidate_t *candidate, const char *image)
{
  candidate->fillings.work[gp_pressure_image_index (pass->pressure, image)]
      += GP_PRESSURE_BUSY_SHARE;
}

static void
count_fillings (const gp_placer_pass_t *pass, gp_placer_candidate_t *candidate)
{
  if (candidate->fillings_counted)
    return;
  candidate->fillings_counted = true;
  GP_LIST_FOREACH (link, &candidate->executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);
    const Gp__Jobs__Step *step = gp_task_step (task);

    if (step->fills)
      gp_placer_add_filling (pass, candidate, step->image);
  }
}

/* Returns by how much HEADROOM falls short of the goal.  */
static double
shortfall (double headroom)
{
  return fmax (0.0, HEADROOM_GOAL - headroom);
}

/* Returns by how much a filling run of WEIGHT, when it is busy, increases the
   shortfall of the serving TASK, from which the filling work already takes
   TAKEN.  */
static double
added_shortfall (const gp_placer_pass_t *pass, const gp_job_task_t *task,
                 double taken, double weight)
{
  const gp_headroom_t *load = &task->job->loads[gp_task_step_number (task)];
  double sum = 0.0;

  for (size_t i = 0; i < G_N_ELEMENTS (interference_times); i++)
    {
      double before
          = gp_headroom_at (load, pass->now + interference_times[i]) - taken;

      sum += shortfall (before - weight) - shortfall (before);
    }
  return sum / G_N_ELEMENTS (interference_times) * GP_PRESSURE_BUSY_SHARE;
}

double
gp_placer_interference (const gp_placer_pass_t *pass,
                        gp_placer_candidate_t *candidate, const char *image)
{
  unsigned int place = gp_pressure_image_index (pass->pressure, image);
  double sum = 0.0;

  if (candidate->executor->serving_count == 0)
    return 0.0;
  count_fillings (pass, candidate);
  GP_LIST_FOREACH (link, &candidate->executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);
    const Gp__Jobs__Step *step = gp_task_step (task);

    if (step->target_ms > 0)
      sum += added_shortfall (
          pass, task,
          gp_pressure_sum (pass->pressure, step->image, &candidate->fillings),
          gp_pressure_weight (pass->pressure, step->image, place));
  }
  return sum;
}

/* Returns the number of runs of IMAGE on EXECUTOR.  */
static unsigned
count_same_image (const gp_job_executor_t *executor, const char *image)
{
  unsigned count = 0;

  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    count += strcmp (gp_task_step (task)->image, image) == 0;
  }
  return count;
}

/* Returns the label that names the rack: executors list their kind first and
   their rack last.  */
static const char *
rack_of (const gp_job_executor_t *executor)
{
  guint count
      = executor->labels != NULL ? g_strv_length (executor->labels) : 0;

  return count > 1 ? executor->labels[count - 1] : NULL;
}

/* Returns whether the runs of TASK's step and occurrence that are already
   placed are in EXECUTOR's rack, or there are none.  */
static bool
is_with_siblings (const gp_job_executor_t *executor, const gp_job_task_t *task)
{
  gp_job_task_t *first;
  uint32_t count = gp_task_siblings (task, &first);

  for (uint32_t i = 0; i < count; i++)
    if (first[i].executor != NULL)
      return g_strcmp0 (rack_of (first[i].executor), rack_of (executor)) == 0;
  return true;
}

static double
interference_limit (const gp_job_t *job, gp_time_t now)
{
  return gp_placer_has_idled (job, MAX_INTERFERENCE_WAIT, now)
             ? INFINITY
             : MAX_INTERFERENCE;
}

/* Returns the points subtracted for the speed of EXECUTOR.  */
static int64_t
speed_points (const gp_job_executor_t *executor, const Gp__Jobs__Step *step)
{
  double points = step->fills ? FILLING_LOST_TIME_POINTS : LOST_TIME_POINTS;

  return (int64_t)(points * gp_executor_speed_lost_share (&executor->speed));
}

/* Returns whether TASK, or if it is a member of a gang any member, has failed
   on EXECUTOR.  */
static bool
has_failed_on (const gp_job_task_t *task, const gp_job_executor_t *executor)
{
  gp_job_task_t *first;

  if (!gp_task_step (task)->gang)
    return task->failed_on == executor;
  gp_task_siblings (task, &first);
  return first != NULL && executor->failed_gang == first;
}

int64_t
gp_placer_score (const gp_placer_pass_t *pass,
                 gp_placer_candidate_t *candidate, const gp_job_task_t *task,
                 const Gp__Jobs__Step *step)
{
  const gp_job_executor_t *executor = candidate->executor;
  int64_t capacity = MAX (executor->capacity.cpu_milli, 1);
  int64_t free = capacity - executor->used.cpu_milli;
  int64_t points;

  if (step->fills)
    {
      double expected = gp_placer_interference (pass, candidate, step->image);

      if (expected > interference_limit (task->job, pass->now))
        return INT64_MIN;
      points = gp_job_executor_spare_cpu (executor) * 1000 / capacity
               - (int64_t)(expected * INTERFERENCE_POINTS);
    }
  else
    points = (free - executor->filling_cpu / 2) * 1000 / capacity;
  if (step->target_ms > 0)
    points += (int64_t)SAME_IMAGE_POINTS
              * count_same_image (executor, step->image);
  if (*step->preferred_rack != '\0'
      && gp_job_executor_has_label (executor, step->preferred_rack))
    points += RACK_POINTS;
  if (step->same_rack && !is_with_siblings (executor, task))
    points -= RACK_POINTS;
  if (has_failed_on (task, executor))
    points -= FAILED_POINTS;
  if (executor->quarantined)
    points -= QUARANTINE_POINTS;
  return points - speed_points (executor, step);
}

/* What a place is worth to a waiting task: room, the harm that it would do to
   those who serve there, its rack, and those beside it.  */

#include "jobs/placer_private.h"

#include <math.h>
#include <string.h>

/* Filling work harms a serving run that has less headroom than this left:
   twice that of the target, as the load goes on while the filling run works,
   and its phase turns.  */
#define HEADROOM_GOAL 2.0
/* Harm is the mean of what is expected at these times from now on, which lie
   within the duration of most filling runs.  */
static const gp_time_t harm_times[] = { 300 * GP_MSEC, 1500 * GP_MSEC };
/* Points that a task loses for each unit of harm that it is expected to do.
   A unit is as much headroom as a run has at its target; all the processors of
   an executor are 1000.  */
#define HARM_POINTS 3000.0
/* A filling task waits rather than do more harm than this, but no longer
   than the time below when its job has no other run: the pacer then keeps
   the harm down.  */
#define HARM_MAX 0.3
#define IDLE_MAX_TIME (1200 * GP_MSEC)

/* Points for each run of the same image on the executor: like images suffer
   from the same neighbours, so that others are left for those.  */
#define ALIKE_POINTS 300

/* Points for the right rack: as much as an executor that is empty has over
   one that is full, as the work takes 1.5 to 3 times as long elsewhere.  */
#define RACK_POINTS 1000
/* Points that an executor loses on which the task has failed: four times what
   one that is empty has over one that is full, so that it is a last resort. */
#define FAILED_POINTS 4000

/* And that one loses that is in quarantine: a last resort as well.  */
#define QUARANTINE_POINTS 4000

void
gp_placer_add_filling (const gp_placer_pass_t *pass,
                       gp_placer_candidate_t *candidate, const char *image)
{
  candidate->fillings.work[gp_pressure_place (pass->pressure, image)]
      += GP_PRESSURE_BUSY_SHARE;
}

static void
count_fillings (const gp_placer_pass_t *pass, gp_placer_candidate_t *candidate)
{
  if (candidate->counted)
    return;
  candidate->counted = true;
  GP_LIST_FOREACH (link, &candidate->executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);
    const Gp__Jobs__Step *step = gp_task_step (task);

    if (step->fills)
      gp_placer_add_filling (pass, candidate, step->image);
  }
}

/* What a run with HEADROOM lacks of the goal.  */
static double
lack_of (double headroom)
{
  return fmax (0.0, HEADROOM_GOAL - headroom);
}

/* What a run that takes WEIGHT, when it is busy, adds to the lack of the
   serving TASK beside the filling work TAKEN.  */
static double
harm_to (const gp_placer_pass_t *pass, const gp_job_task_t *task, double taken,
         double weight)
{
  const gp_headroom_t *load = &task->job->loads[gp_task_step_number (task)];
  double sum = 0.0;

  for (size_t i = 0; i < G_N_ELEMENTS (harm_times); i++)
    {
      double before = gp_headroom_at (load, pass->now + harm_times[i]) - taken;

      sum += lack_of (before - weight) - lack_of (before);
    }
  return sum / G_N_ELEMENTS (harm_times) * GP_PRESSURE_BUSY_SHARE;
}

double
gp_placer_harm (const gp_placer_pass_t *pass, gp_placer_candidate_t *candidate,
                const char *image)
{
  unsigned int place = gp_pressure_place (pass->pressure, image);
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
      sum += harm_to (
          pass, task,
          gp_pressure_sum (pass->pressure, step->image, &candidate->fillings),
          gp_pressure_weight (pass->pressure, step->image, place));
  }
  return sum;
}

/* Runs of IMAGE on EXECUTOR.  */
static unsigned
alike_on (const gp_job_executor_t *executor, const char *image)
{
  unsigned alike = 0;

  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    alike += strcmp (gp_task_step (task)->image, image) == 0;
  }
  return alike;
}

/* The label that tells the rack: executors name their kind first and their
   rack after it.  */
static const char *
rack_of (const gp_job_executor_t *executor)
{
  guint count
      = executor->labels != NULL ? g_strv_length (executor->labels) : 0;

  return count > 1 ? executor->labels[count - 1] : NULL;
}

/* Do the runs of TASK's step and occurrence that were placed before stand in
   EXECUTOR's rack, or are there none?  */
static bool
is_with_siblings (const gp_job_executor_t *executor, const gp_job_task_t *task)
{
  const gp_job_t *job = task->job;
  uint32_t step = gp_task_step_number (task);
  const gp_job_task_t *first
      = gp_job_step_tasks (job, gp_task_occurrence (task), step);

  for (uint32_t i = 0; i < job->submission->steps[step]->count; i++)
    if (first[i].executor != NULL)
      return g_strcmp0 (rack_of (first[i].executor), rack_of (executor)) == 0;
  return true;
}

static double
harm_limit (const gp_job_t *job, gp_time_t now)
{
  return gp_placer_has_waited (job, IDLE_MAX_TIME, now) ? INFINITY : HARM_MAX;
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
      double expected = gp_placer_harm (pass, candidate, step->image);

      if (expected > harm_limit (task->job, pass->now))
        return INT64_MIN;
      points = gp_job_executor_spare_cpu (executor) * 1000 / capacity
               - (int64_t)(expected * HARM_POINTS);
    }
  else
    points = (free - executor->filling_cpu / 2) * 1000 / capacity;
  if (step->target_ms > 0)
    points += (int64_t)ALIKE_POINTS * alike_on (executor, step->image);
  if (*step->preferred_rack != '\0'
      && gp_job_executor_has_label (executor, step->preferred_rack))
    points += RACK_POINTS;
  if (step->same_rack && !is_with_siblings (executor, task))
    points -= RACK_POINTS;
  if (task->failed_on == executor)
    points -= FAILED_POINTS;
  if (executor->quarantined)
    points -= QUARANTINE_POINTS;
  return points;
}

/* The leading entry's view of an executor.  */

#include "jobs/executor.h"

#include <string.h>

/* Share of the CPU reserved on an executor, in thousandths, that filling runs
   may use in addition, as serving runs leave it unused on average.  */
#define SERVING_UNUSED_PERMILLE 500

gp_job_executor_t *
gp_job_executor_new (const char *id)
{
  gp_job_executor_t *executor = g_new0 (gp_job_executor_t, 1);

  executor->id = g_strdup (id);
  gp_list_init (&executor->tasks);
  gp_start_rates_init (&executor->start_rates);
  return executor;
}

void
gp_job_executor_free (gp_job_executor_t *executor)
{
  while (gp_list_pop_front (&executor->tasks) != NULL)
    ;
  g_free (executor->id);
  g_free (executor->previous_key);
  g_free (executor->service);
  gp_start_rates_finish (&executor->start_rates);
  g_strfreev (executor->labels);
  g_free (executor);
}

static bool
has_labels (const gp_job_executor_t *executor,
            const Gp__Jobs__Executor *report)
{
  if (executor->labels == NULL
      || g_strv_length (executor->labels) != report->n_labels)
    return false;
  for (size_t i = 0; i < report->n_labels; i++)
    if (strcmp (executor->labels[i], report->labels[i]) != 0)
      return false;
  return true;
}

/* Copies the labels only if they have changed: reports arrive a few times a
   second and rarely differ.  */
static void
set_labels (gp_job_executor_t *executor, const Gp__Jobs__Executor *report)
{
  if (has_labels (executor, report))
    return;
  g_strfreev (executor->labels);
  executor->labels = g_new0 (char *, report->n_labels + 1);
  for (size_t i = 0; i < report->n_labels; i++)
    executor->labels[i] = g_strdup (report->labels[i]);
}

void
gp_job_executor_update (gp_job_executor_t *executor,
                        const Gp__Jobs__Executor *report, gp_time_t now)
{
  if (g_strcmp0 (executor->service, report->service) != 0)
    {
      g_free (executor->service);
      executor->service = g_strdup (report->service);
    }
  set_labels (executor, report);
  executor->capacity.cpu_milli = report->cpu_milli;
  executor->capacity.memory_mb = report->memory_mb;
  executor->capacity.accelerators = report->accelerators;
  executor->draining = report->draining;
  if (report->draining)
    executor->leaves_at = now + (gp_time_t)report->remaining_ms * GP_MSEC;
}

static void
reserve (gp_job_executor_t *executor, const Gp__Jobs__Step *step, int64_t sign)
{
  if (step->fills)
    executor->filling_cpu += sign * step->cpu_milli;
  else
    executor->used.cpu_milli += sign * step->cpu_milli;
  if (step->long_running)
    executor->long_running_cpu += sign * step->cpu_milli;
  if (step->target_ms > 0)
    executor->serving_count += sign;
  executor->used.memory_mb += sign * step->memory_mb;
  executor->used.accelerators += sign * step->accelerators;
}

void
gp_job_executor_add (gp_job_executor_t *executor, gp_job_task_t *task)
{
  task->executor = executor;
  gp_list_push_back (&executor->tasks, &task->on_executor);
  executor->task_count++;
  reserve (executor, gp_task_step (task), 1);
}

void
gp_job_executor_remove (gp_job_executor_t *executor, gp_job_task_t *task)
{
  gp_list_remove (&task->on_executor);
  task->executor = NULL;
  executor->task_count--;
  reserve (executor, gp_task_step (task), -1);
  gp_job_executor_end_dedication (executor, task->job);
}

static void
add_resources (gp_job_resources_t *sum, const gp_job_resources_t *resources,
               int64_t sign)
{
  sum->cpu_milli += sign * resources->cpu_milli;
  sum->memory_mb += sign * resources->memory_mb;
  sum->accelerators += sign * resources->accelerators;
}

void
gp_job_executor_add_stray (gp_job_executor_t *executor,
                           const Gp__Jobs__Step *step)
{
  gp_job_resources_t resources;

  if (step == NULL)
    {
      executor->unknown_runs++;
      return;
    }
  resources
      = (gp_job_resources_t){ .cpu_milli = step->fills ? 0 : step->cpu_milli,
                              .memory_mb = step->memory_mb,
                              .accelerators = step->accelerators };
  add_resources (&executor->used, &resources, 1);
  add_resources (&executor->stray, &resources, 1);
}

void
gp_job_executor_clear_strays (gp_job_executor_t *executor)
{
  add_resources (&executor->used, &executor->stray, -1);
  executor->stray = (gp_job_resources_t){ 0 };
  executor->unknown_runs = 0;
}

/* Returns whether EXECUTOR is dedicated because of the run of TASK there.  */
static bool
is_dedicated_for (const gp_job_executor_t *executor, const gp_job_task_t *task)
{
  switch (executor->dedication.kind)
    {
    case GP_DEDICATION_NONE:
      return false;
    case GP_DEDICATION_JOB:
      return task->alone
             && strcmp (executor->dedication.job, task->job->id) == 0;
    case GP_DEDICATION_GROUP:
      return task->in_group;
    }
  return false;
}

void
gp_job_executor_end_dedication (gp_job_executor_t *executor,
                                const gp_job_t *job)
{
  if (executor->dedication.kind == GP_DEDICATION_JOB
      && strcmp (executor->dedication.job, job->id) != 0)
    return;
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (!task->settled && is_dedicated_for (executor, task))
      return;
  }
  executor->dedication.kind = GP_DEDICATION_NONE;
}

bool
gp_job_executor_has_stray (const gp_job_task_t *task)
{
  const gp_job_executor_t *executor = task->stray_on;

  return executor != NULL && !executor->dead
         && task->stray_report == executor->reports;
}

int64_t
gp_job_executor_spare_cpu (const gp_job_executor_t *executor)
{
  int64_t unused = executor->capacity.cpu_milli - executor->used.cpu_milli;

  return unused - executor->filling_cpu
         + executor->used.cpu_milli * SERVING_UNUSED_PERMILLE / 1000
               * (executor->serving_count > 0);
}

bool
gp_job_executor_is_measured_by (const gp_job_task_t *task)
{
  const Gp__Jobs__Step *step = gp_task_step (task);

  return step->cpu_milli > 0 && !step->fills && !step->gang
         && !step->long_running && task->checkpoint == NULL;
}

bool
gp_job_executor_has_label (const gp_job_executor_t *executor,
                           const char *label)
{
  for (char **at = executor->labels; at != NULL && *at != NULL; at++)
    if (strcmp (*at, label) == 0)
      return true;
  return false;
}

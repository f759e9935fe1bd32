/* Sums of capacity and of unfinished work.  */

#include "jobs/room.h"

#include <string.h>

#include "jobs/executor.h"

/* Share of a running task that counts as done.  */
#define RUNNING_PROGRESS 0.5

gp_room_service_t *
gp_room_find_service (const GArray *services, const char *name)
{
  for (guint i = 0; i < services->len; i++)
    {
      gp_room_service_t *service
          = &g_array_index (services, gp_room_service_t, i);

      if (g_strcmp0 (service->name, name) == 0)
        return service;
    }
  return NULL;
}

static void
add_executor (gp_room_service_t *service, const gp_job_executor_t *executor)
{
  int64_t spare = gp_job_executor_spare_cpu (executor);

  service->capacity[GP_ROOM_RESERVED]
      += (double)(executor->capacity.cpu_milli - executor->long_running_cpu);
  service->capacity[GP_ROOM_FILLING]
      += (double)(executor->filling_cpu + MAX (spare, 0));
  service->unfilled += (double)MAX (executor->filling_cpu + spare, 0);
  service->busy
      += (double)(executor->used.cpu_milli - executor->long_running_cpu);
}

GArray *
gp_room_sum_capacity (const gp_book_t *book)
{
  GArray *services = g_array_new (FALSE, FALSE, sizeof (gp_room_service_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_executor_t *executor = value;
      gp_room_service_t added = { .name = executor->service };

      if (!executor->reachable || executor->dead || executor->draining
          || executor->evacuated)
        continue;
      if (gp_room_find_service (services, executor->service) == NULL)
        g_array_append_val (services, added);
      add_executor (gp_room_find_service (services, executor->service),
                    executor);
    }
  return services;
}

double
gp_room_count_work (const gp_job_t *job, gp_time_t now,
                    double work[GP_ROOM_KINDS])
{
  double left = 0.0;

  for (uint32_t k = 0; k < job->occurrences; k++)
    for (size_t s = 0; s < job->submission->n_steps; s++)
      {
        const Gp__Jobs__Step *step = job->submission->steps[s];
        const gp_step_tally_t *tally = &gp_job_tallies (job, k)[s];
        uint32_t running = step->count - tally->done - tally->waiting;
        double tasks = tally->waiting + running * (1.0 - RUNNING_PROGRESS);

        left += tasks;
        if (!step->long_running && gp_job_occurrence_at (job, k) <= now)
          work[step->fills ? GP_ROOM_FILLING : GP_ROOM_RESERVED]
              += tasks * (double)step->cpu_milli * (double)job->task_times[s];
      }
  return left;
}

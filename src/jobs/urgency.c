/* Ranks jobs by urgency.  */

#include "jobs/urgency.h"

#include <string.h>

#include "jobs/room.h"

typedef struct
{
  gp_ranked_job_t ranked;     /* first member: the array is sorted by it */
  gp_room_service_t *service; /* NULL: the service has no executor */
  double work[GP_ROOM_KINDS]; /* remaining work of the job */
} rated_job_t;

/* Returns whether JOB has long-running runs.  Such a job is useful for as long
   as they run, so it never becomes useless.  Ranked by the objective of its
   first start it would come after all others of its priority from a few
   seconds on, and runs that have to move would wait for as long as there is
   more work than capacity.  */
static bool
is_long_running (const gp_job_t *job)
{
  for (size_t s = 0; s < job->submission->n_steps; s++)
    if (job->submission->steps[s]->long_running)
      return true;
  return false;
}

/* Assesses JOB on its own, without regard to the others.  */
static rated_job_t
assess (const GArray *services, gp_job_t *job, gp_time_t now)
{
  gp_time_t remaining = gp_forecast_remaining (job);
  rated_job_t rated_job = { .ranked = { .job = job,
                                        .deadline_class = GP_DEADLINE_USELESS,
                                        .rank = job->due_at },
                            .service = gp_room_find_service (
                                services, job->submission->service) };
  double left;

  if (now + remaining <= job->due_at || is_long_running (job))
    rated_job.ranked.deadline_class = GP_DEADLINE_IN_TIME;
  else if (now + remaining <= job->useless_at)
    {
      rated_job.ranked.deadline_class = GP_DEADLINE_LATE;
      rated_job.ranked.rank = remaining;
    }
  left = gp_room_count_work (job, now, rated_job.work);
  rated_job.ranked.progress = 1.0 - left / job->task_count;
  return rated_job;
}

static gint
by_urgency (gconstpointer a, gconstpointer b)
{
  const gp_ranked_job_t *left = a;
  const gp_ranked_job_t *right = b;
  uint32_t left_priority = left->job->submission->priority;
  uint32_t right_priority = right->job->submission->priority;

  if (left_priority != right_priority)
    return left_priority < right_priority ? -1 : 1;
  if (left->deadline_class != right->deadline_class)
    return left->deadline_class < right->deadline_class ? -1 : 1;
  if (left->rank != right->rank)
    return left->rank < right->rank ? -1 : 1;
  return strcmp (left->job->id, right->job->id);
}

static void
add_work (const rated_job_t *rated_job, double sign)
{
  for (int kind = 0; kind < GP_ROOM_KINDS; kind++)
    rated_job->service->work[kind] += sign * rated_job->work[kind];
}

/* Returns whether some work of the job will not be finished by its
   objective.  */
static bool
is_overbooked (const rated_job_t *rated_job, gp_time_t now)
{
  const gp_room_service_t *service = rated_job->service;
  double time = (double)(rated_job->ranked.job->due_at - now);

  for (int kind = 0; kind < GP_ROOM_KINDS; kind++)
    if (rated_job->work[kind] > 0.0
        && service->work[kind] > service->capacity[kind] * time)
      return true;
  return false;
}

static bool
has_work_left (const rated_job_t *rated_job)
{
  return rated_job->work[GP_ROOM_RESERVED] > 0.0
         || rated_job->work[GP_ROOM_FILLING] > 0.0;
}

/* Returns the job to demote so that the one at LAST may be in time: of the
   jobs up to it with the same service and priority that are in time, the one
   with the least progress; of two, the later one.  */
static rated_job_t *
least_progressed (GArray *rated, guint last)
{
  rated_job_t *least = &g_array_index (rated, rated_job_t, last);
  uint32_t priority = least->ranked.job->submission->priority;
  const gp_room_service_t *service = least->service;

  for (guint i = last; i-- > 0;)
    {
      rated_job_t *other = &g_array_index (rated, rated_job_t, i);

      if (other->ranked.job->submission->priority != priority)
        break;
      if (other->service == service
          && other->ranked.deadline_class == GP_DEADLINE_IN_TIME
          && has_work_left (other)
          && other->ranked.progress < least->ranked.progress)
        least = other;
    }
  return least;
}

static void
admit (GArray *rated, gp_time_t now)
{
  for (guint i = 0; i < rated->len; i++)
    {
      rated_job_t *rated_job = &g_array_index (rated, rated_job_t, i);

      if (rated_job->ranked.deadline_class != GP_DEADLINE_IN_TIME
          || rated_job->service == NULL)
        continue;
      add_work (rated_job, 1.0);
      while (rated_job->ranked.deadline_class == GP_DEADLINE_IN_TIME
             && is_overbooked (rated_job, now))
        {
          rated_job_t *demoted = least_progressed (rated, i);

          add_work (demoted, -1.0);
          demoted->ranked.deadline_class = GP_DEADLINE_LATE;
          demoted->ranked.rank = gp_forecast_remaining (demoted->ranked.job);
        }
    }
}

static GArray *
ranked_of (const GArray *rated)
{
  GArray *ranked = g_array_new (FALSE, FALSE, sizeof (gp_ranked_job_t));

  for (guint i = 0; i < rated->len; i++)
    g_array_append_val (ranked, g_array_index (rated, rated_job_t, i).ranked);
  return ranked;
}

GArray *
gp_urgency_rank (const gp_book_t *book, const gp_forecast_t *forecast,
                 gp_time_t now)
{
  GArray *rated = g_array_new (FALSE, FALSE, sizeof (rated_job_t));
  GArray *services = gp_room_sum_capacity (book);
  GArray *ranked;

  GP_LIST_FOREACH (link, &book->live)
  {
    gp_job_t *job = GP_CONTAINER_OF (link, gp_job_t, link);
    rated_job_t rated_job;

    if (job->cancelled)
      continue;
    gp_forecast_job (forecast, job, now);
    rated_job = assess (services, job, now);
    g_array_append_val (rated, rated_job);
  }
  g_array_sort (rated, by_urgency);
  admit (rated, now);
  ranked = ranked_of (rated);
  g_array_sort (ranked, by_urgency);
  g_array_free (rated, TRUE);
  g_array_free (services, TRUE);
  return ranked;
}

/* In which order jobs get room.  */

#include "jobs/urgency.h"

#include <string.h>

#include "jobs/executor.h"

/* Share of a task that is at work that counts as done.  */
#define AT_WORK_DONE 0.5

/* Kinds of room on an executor: filling tasks live on what others leave.  */
typedef enum
{
  KIND_RESERVED,
  KIND_FILLING,
  KINDS
} kind_t;

/* The executors of a service: their room, in thousandths of a core, and the
   work that admitted jobs want of it, in these times a duration.  */
typedef struct
{
  const char *name;
  double room[KINDS];
  double work[KINDS];
} service_t;

typedef struct
{
  gp_ranked_job_t ranked; /* first: the list of both is sorted by it */
  service_t *service;     /* NULL: it has no executor */
  double work[KINDS];     /* what the job still wants */
} rated_job_t;

static service_t *
find_service (const GArray *services, const char *name)
{
  for (guint i = 0; i < services->len; i++)
    {
      service_t *service = &g_array_index (services, service_t, i);

      if (g_strcmp0 (service->name, name) == 0)
        return service;
    }
  return NULL;
}

static GArray *
count_room (const gp_book_t *book)
{
  GArray *services = g_array_new (FALSE, FALSE, sizeof (service_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_executor_t *executor = value;
      service_t added = { .name = executor->service };
      service_t *service;

      if (!executor->reachable || executor->dead || executor->draining
          || executor->evacuated)
        continue;
      if (find_service (services, executor->service) == NULL)
        g_array_append_val (services, added);
      service = find_service (services, executor->service);
      service->room[KIND_RESERVED] += (double)(executor->capacity.cpu_milli
                                               - executor->long_running_cpu);
      service->room[KIND_FILLING]
          += (double)(executor->filling_cpu
                      + MAX (gp_job_executor_spare_cpu (executor), 0));
    }
  return services;
}

/* Count what the job wants by now and how far it has got; occurrences whose
   time has not come want nothing.  */
static void
count_work (rated_job_t *rated_job, gp_time_t now)
{
  const gp_job_t *job = rated_job->ranked.job;
  double left = 0.0;

  for (uint32_t k = 0; k < job->occurrences; k++)
    for (size_t s = 0; s < job->submission->n_steps; s++)
      {
        const Gp__Jobs__Step *step = job->submission->steps[s];
        const gp_step_tally_t *tally = &gp_job_tallies (job, k)[s];
        uint32_t at_work = step->count - tally->done - tally->waiting;
        double tasks = tally->waiting + at_work * (1.0 - AT_WORK_DONE);

        left += tasks;
        if (!step->long_running && gp_job_occurrence_at (job, k) <= now)
          rated_job->work[step->fills ? KIND_FILLING : KIND_RESERVED]
              += tasks * (double)step->cpu_milli * (double)job->task_times[s];
      }
  rated_job->ranked.progress = 1.0 - left / job->task_count;
}

/* Has JOB runs that last?  It earns as long as they are at work, so that its
   time is never past.  Ranked by the objective of its first start it would
   come behind all others of its priority from a few seconds on, and runs that
   have to move would wait for as long as there is more work than room.  */
static bool
lasts (const gp_job_t *job)
{
  for (size_t s = 0; s < job->submission->n_steps; s++)
    if (job->submission->steps[s]->long_running)
      return true;
  return false;
}

/* What is expected of JOB by itself.  */
static rated_job_t
assess (const GArray *services, gp_job_t *job, gp_time_t now)
{
  gp_time_t remaining = gp_forecast_remaining (job);
  rated_job_t rated_job
      = { .ranked = { .job = job, .hope = GP_HOPE_NONE, .rank = job->due_at },
          .service = find_service (services, job->submission->service) };

  if (now + remaining <= job->due_at || lasts (job))
    rated_job.ranked.hope = GP_HOPE_IN_TIME;
  else if (now + remaining <= job->useless_at)
    {
      rated_job.ranked.hope = GP_HOPE_LATE;
      rated_job.ranked.rank = remaining;
    }
  count_work (&rated_job, now);
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
  if (left->hope != right->hope)
    return left->hope < right->hope ? -1 : 1;
  if (left->rank != right->rank)
    return left->rank < right->rank ? -1 : 1;
  return strcmp (left->job->id, right->job->id);
}

static void
add_work (const rated_job_t *rated_job, double sign)
{
  for (int kind = 0; kind < KINDS; kind++)
    rated_job->service->work[kind] += sign * rated_job->work[kind];
}

/* Will work of the job not be through by its objective?  */
static bool
is_overbooked (const rated_job_t *rated_job, gp_time_t now)
{
  const service_t *service = rated_job->service;
  double time = (double)(rated_job->ranked.job->due_at - now);

  for (int kind = 0; kind < KINDS; kind++)
    if (rated_job->work[kind] > 0.0
        && service->work[kind] > service->room[kind] * time)
      return true;
  return false;
}

static bool
wants_work (const rated_job_t *rated_job)
{
  return rated_job->work[KIND_RESERVED] > 0.0
         || rated_job->work[KIND_FILLING] > 0.0;
}

/* The job to put behind so that the one at LAST may be in time: of those up
   to it with its service and priority, in time, the one that has got least
   far; the later of two.  */
static rated_job_t *
least_far (GArray *rated, guint last)
{
  rated_job_t *least = &g_array_index (rated, rated_job_t, last);
  uint32_t priority = least->ranked.job->submission->priority;
  const service_t *service = least->service;

  for (guint i = last; i-- > 0;)
    {
      rated_job_t *other = &g_array_index (rated, rated_job_t, i);

      if (other->ranked.job->submission->priority != priority)
        break;
      if (other->service == service && other->ranked.hope == GP_HOPE_IN_TIME
          && wants_work (other)
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

      if (rated_job->ranked.hope != GP_HOPE_IN_TIME
          || rated_job->service == NULL)
        continue;
      add_work (rated_job, 1.0);
      while (rated_job->ranked.hope == GP_HOPE_IN_TIME
             && is_overbooked (rated_job, now))
        {
          rated_job_t *behind = least_far (rated, i);

          add_work (behind, -1.0);
          behind->ranked.hope = GP_HOPE_LATE;
          behind->ranked.rank = gp_forecast_remaining (behind->ranked.job);
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
  GArray *services = count_room (book);
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

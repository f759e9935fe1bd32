/* Starts suspects in groups where too many wait to start each in isolation.

   After a loss of many executors hundreds of tasks may be suspects, and hardly
   any of them has done it.  Isolated starts take a time that grows with their
   number.  So if more jobs wait than can be started in isolation within the
   isolation timeout, their suspects start beside each other on a few executors
   that take nothing else: if such an executor lives, all of them are cleared
   at once.

   Invariants:
   - Only suspects with weak evidence or none start in a group, and those in a
     group have equally many crashes.
   - After a first crash a group is as large as its executor has room for.  If
     that executor crashes, its suspects start in groups of the square root of
     their number next, and then in isolation: a task that crashes executors is
     found after two groups, and the others that went down with it wait for a
     number of starts that grows with that square root.
   - A group loses no work but that of suspects.  */

#include "jobs/placer_private.h"

#include <math.h>
#include <string.h>

#include "base/counters.h"
#include "base/log.h"
#include "jobs/suspicion.h"

/* Time that an isolated start takes: until everything on the executor has
   started, and until the run has settled.  */
#define ISOLATED_START_TIME                                                   \
  (GP_SUSPICION_DEDICATE_AHEAD_TIME + GP_SUSPICION_SETTLE_TIME)
/* Number of isolated starts on one executor within the isolation timeout.  */
#define STARTS_IN_TIME (GP_SUSPICION_ISOLATION_TIMEOUT / ISOLATED_START_TIME)

static gp_counter_t grouped_count
    = GP_COUNTER ("suspects_grouped_total",
                  "Places found for suspects in a group, as more of them wait "
                  "than can be started in isolation in time");

void
gp_placer_register_groups (void)
{
  gp_counter_register (&grouped_count);
}

guint
gp_placer_dedicated_max (const gp_placer_pass_t *pass, guint share)
{
  return MAX (pass->candidates->len / share, 1);
}

/* Adds the suspects of JOB to SUSPECTS.  */
static void
count_suspects_of (const gp_placer_pass_t *pass, gp_job_t *job,
                   gp_placer_suspects_t *suspects)
{
  bool found[GP_SUSPICION_GROUP_CRASHES + 1] = { false };

  for (uint32_t i = 0; i < job->known_tasks; i++)
    {
      const gp_job_task_t *task = &job->tasks[i];

      if (task->state == GP_TASK_WAITING
          && gp_suspicion_needs_isolation (task, pass->now)
          && gp_suspicion_may_start_in_group (task))
        found[task->crashes] = true;
    }
  for (guint i = 0; i < G_N_ELEMENTS (found); i++)
    suspects->jobs[i] += found[i];
}

static void
count_suspects (gp_placer_pass_t *pass)
{
  GHashTableIter iter;
  gpointer value;

  if (pass->suspects.counted)
    return;
  pass->suspects.counted = true;
  g_hash_table_iter_init (&iter, pass->book->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!gp_job_ended (value))
      count_suspects_of (pass, value, &pass->suspects);
}

bool
gp_placer_starts_in_group (gp_placer_pass_t *pass, const gp_job_task_t *task)
{
  if (!gp_suspicion_may_start_in_group (task))
    return false;
  count_suspects (pass);
  return pass->suspects.jobs[task->crashes]
         > STARTS_IN_TIME
               * gp_placer_dedicated_max (pass, GP_SUSPICION_DEDICATED_SHARE);
}

/* Returns the number of jobs that a group with TASK may have at most.  */
static guint
group_size (const gp_placer_pass_t *pass, const gp_job_task_t *task)
{
  if (task->crashes < GP_SUSPICION_GROUP_CRASHES)
    return G_MAXUINT;
  return (guint)ceil (sqrt (pass->suspects.jobs[task->crashes]));
}

/* Returns the number of jobs, except that of TASK, with runs of the group on
   EXECUTOR that have not settled, but not more than LIMIT.  */
static guint
count_group_jobs (const gp_job_executor_t *executor, const gp_job_task_t *task,
                  guint limit)
{
  GHashTable *jobs = g_hash_table_new (NULL, NULL);
  guint count;

  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *other
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (other->in_group && !other->settled && other->job != task->job
        && g_hash_table_size (jobs) < limit)
      g_hash_table_add (jobs, other->job);
  }
  count = g_hash_table_size (jobs);
  g_hash_table_unref (jobs);
  return count;
}

/* Returns whether the group on EXECUTOR is complete without TASK.  */
static bool
is_group_full (const gp_placer_pass_t *pass, const gp_job_executor_t *executor,
               const gp_job_task_t *task)
{
  guint size = group_size (pass, task);

  return size != G_MAXUINT && count_group_jobs (executor, task, size) >= size;
}

/* Returns whether one more executor may be dedicated to a group.  */
static bool
may_open_group (const gp_placer_pass_t *pass)
{
  guint dedicated = 0;

  for (guint i = 0; i < pass->candidates->len; i++)
    dedicated += gp_suspicion_is_dedicated (
        g_array_index (pass->candidates, gp_placer_candidate_t, i).executor,
        pass->now);
  return dedicated < gp_placer_dedicated_max (pass, GP_SUSPICION_GROUP_SHARE);
}

/* Returns how well EXECUTOR, on which TASK fits, suits a group with TASK:
   INT64_MAX if it is dedicated to one already, INT64_MIN if it is not to be
   used, otherwise the less work it would lose the better.  */
static int64_t
group_points (const gp_placer_pass_t *pass, const gp_job_executor_t *executor,
              const gp_job_task_t *task, bool may_open)
{
  if (gp_suspicion_is_dedicated_to (executor, task->job, pass->now))
    return INT64_MAX;
  if (gp_suspicion_is_dedicated_to_group (executor, pass->now))
    return gp_suspicion_has_no_recent_starts (executor, pass->now)
                   && !is_group_full (pass, executor, task)
               ? INT64_MAX
               : INT64_MIN;
  return may_open ? -gp_suspicion_work_at_risk (executor, pass->now)
                  : INT64_MIN;
}

/* Returns whether TASK needs what OTHER needs, or more of it.  */
static bool
needs_as_much (const gp_job_task_t *task, const gp_job_task_t *other)
{
  const Gp__Jobs__Step *step = gp_task_step (task);
  const Gp__Jobs__Step *less = gp_task_step (other);

  return g_strcmp0 (task->job->submission->service,
                    other->job->submission->service)
             == 0
         && strcmp (step->required_label, less->required_label) == 0
         && step->cpu_milli >= less->cpu_milli
         && step->memory_mb >= less->memory_mb
         && step->accelerators >= less->accelerators;
}

static gp_placer_candidate_t *
find_in_group (const gp_placer_pass_t *pass, const gp_job_task_t *task)
{
  const Gp__Jobs__Step *step = gp_task_step (task);
  bool may_open = may_open_group (pass);
  gp_placer_candidate_t *best = NULL;
  int64_t best_points = INT64_MIN;

  for (guint i = 0; i < pass->candidates->len; i++)
    {
      gp_placer_candidate_t *candidate
          = &g_array_index (pass->candidates, gp_placer_candidate_t, i);
      int64_t points;

      if (candidate->executor->down
          || !gp_placer_fits (candidate->executor, task, step, pass->now))
        continue;
      points = group_points (pass, candidate->executor, task, may_open);
      if (points != INT64_MIN
          && gp_placer_is_better (candidate, points, best, best_points))
        {
          best = candidate;
          best_points = points;
        }
    }
  return best;
}

/* Dedicates EXECUTOR to a group of suspects like TASK.  */
static void
open_group (const gp_placer_pass_t *pass, gp_job_executor_t *executor,
            const gp_job_task_t *task)
{
  gp_suspicion_dedicate_to_group (executor, task, pass->now);
  gp_log (GP_LOG_INFO, "suspects.grouped", GP_LOG_S ("executor", executor->id),
          GP_LOG_I ("jobs", pass->suspects.jobs[task->crashes]),
          GP_LOG_I ("crashes", task->crashes));
}

gp_placer_candidate_t *
gp_placer_choose_in_group (gp_placer_pass_t *pass, gp_job_task_t *task)
{
  const gp_job_task_t **unplaced = &pass->suspects.unplaced[task->crashes];
  gp_placer_candidate_t *best;

  if (*unplaced != NULL && needs_as_much (task, *unplaced))
    return NULL;
  best = find_in_group (pass, task);
  if (best == NULL)
    {
      *unplaced = task;
      return NULL;
    }
  if (!gp_suspicion_is_dedicated (best->executor, pass->now))
    open_group (pass, best->executor, task);
  if (!gp_suspicion_has_no_recent_starts (best->executor, pass->now))
    return NULL;
  gp_counter_add (&grouped_count, 1);
  return best;
}

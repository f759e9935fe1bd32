/* Attribution of failures to tasks or workers.  */

#include "coordination/suspects.h"

#include <string.h>

#include <glib.h>

void
gp_suspects_init (gp_suspects_t *suspects,
                  const gp_suspects_settings_t *settings,
                  gp_suspects_worker_t *workers, uint32_t n_workers)
{
  suspects->settings = *settings;
  suspects->workers = workers;
  suspects->n_workers = n_workers;
  if (n_workers > 0)
    memset (workers, 0, n_workers * sizeof *workers);
}

/* Returns true if the failure at INDEX of TASK counts: its worker was not
   suspected since.  */
static bool
failure_counts (const gp_suspects_t *suspects, const gp_suspects_task_t *task,
                unsigned int index)
{
  uint32_t worker = task->workers[index];

  return suspects->workers[worker].suspicions == task->suspicions[index];
}

/* Returns on how many workers TASK failed, not counting EXCEPT and workers
   that were suspected since.  */
static unsigned int
trusted_failures (const gp_suspects_t *suspects,
                  const gp_suspects_task_t *task, uint32_t except)
{
  unsigned int n = 0;

  for (unsigned int i = 0; i < task->n; i++)
    if (task->workers[i] != except && failure_counts (suspects, task, i))
      n++;
  return n;
}

bool
gp_suspects_should_park (const gp_suspects_t *suspects,
                         const gp_suspects_task_t *task)
{
  return trusted_failures (suspects, task, UINT32_MAX)
         >= suspects->settings.park_after;
}

/* Removes the failure at INDEX of TASK.  */
static void
remove_failure (gp_suspects_task_t *task, unsigned int index)
{
  size_t after = task->n - index - 1;

  memmove (&task->workers[index], &task->workers[index + 1],
           after * sizeof task->workers[0]);
  memmove (&task->suspicions[index], &task->suspicions[index + 1],
           after * sizeof task->suspicions[0]);
  task->n--;
}

/* Records that TASK failed on WORKER, dropping the oldest failure if there
   are too many.  */
static void
add_worker (gp_suspects_task_t *task, uint32_t worker, uint32_t suspicions)
{
  for (unsigned int i = 0; i < task->n; i++)
    if (task->workers[i] == worker)
      {
        remove_failure (task, i);
        break;
      }
  if (task->n == GP_SUSPECTS_WORKERS_MAX)
    remove_failure (task, 0);
  task->workers[task->n] = worker;
  task->suspicions[task->n] = suspicions;
  task->n++;
}

static void
set_suspected (gp_suspects_worker_t *worker,
               const gp_suspects_settings_t *settings, gp_time_t now)
{
  gp_time_t backoff = settings->backoff_first;

  for (unsigned int i = 0;
       i < worker->failures && backoff < settings->backoff_max; i++)
    backoff *= 2;
  worker->state = GP_SUSPECTS_SUSPECTED;
  worker->suspicions++;
  worker->until = now + MIN (backoff, settings->backoff_max);
  worker->probe = 0;
  worker->n_outcomes = 0;
}

static void
set_trusted (gp_suspects_worker_t *worker)
{
  worker->state = GP_SUSPECTS_TRUSTED;
  worker->probe = 0;
  worker->failures = 0;
  worker->n_outcomes = 0;
}

/* Returns the number of recorded outcomes of WORKER.  */
static unsigned int
recorded_outcomes (const gp_suspects_worker_t *worker)
{
  return MIN (worker->n_outcomes, GP_SUSPECTS_OUTCOMES_MAX);
}

static bool
failed_later (const gp_suspects_worker_t *worker, unsigned int index)
{
  for (unsigned int i = index + 1; i < recorded_outcomes (worker); i++)
    if (worker->outcomes[i].failed
        && worker->outcomes[i].task == worker->outcomes[index].task)
      return true;
  return false;
}

static bool
should_suspect (const gp_suspects_worker_t *worker,
                const gp_suspects_settings_t *settings, gp_time_t now)
{
  unsigned int failed = 0;
  unsigned int succeeded = 0;

  for (unsigned int i = 0; i < recorded_outcomes (worker); i++)
    {
      const gp_suspects_outcome_t *outcome = &worker->outcomes[i];

      if (outcome->time + settings->window <= now)
        continue;
      if (!outcome->failed)
        succeeded++;
      else if (!failed_later (worker, i))
        failed++;
    }
  return failed >= settings->suspect_after && failed > succeeded;
}

static void
record_outcome (gp_suspects_worker_t *worker, uint64_t task, bool failed,
                gp_time_t now)
{
  unsigned int index = worker->n_outcomes % GP_SUSPECTS_OUTCOMES_MAX;

  worker->outcomes[index] = (gp_suspects_outcome_t){ task, now, failed };
  worker->n_outcomes++;
}

static bool
probe_outcome (gp_suspects_t *suspects, gp_suspects_worker_t *worker,
               bool failed, gp_time_t now)
{
  if (!failed)
    {
      set_trusted (worker);
      return true;
    }
  worker->failures++;
  set_suspected (worker, &suspects->settings, now);
  return true;
}

bool
gp_suspects_outcome (gp_suspects_t *suspects, uint64_t task_id,
                     gp_suspects_task_t *task, uint32_t worker, bool failed,
                     gp_time_t now)
{
  gp_suspects_worker_t *state;
  bool task_to_blame = trusted_failures (suspects, task, worker) > 0;

  g_assert (worker < suspects->n_workers);
  state = &suspects->workers[worker];
  if (failed)
    add_worker (task, worker, state->suspicions);
  if (state->state == GP_SUSPECTS_PROBING && state->probe == task_id)
    return probe_outcome (suspects, state, failed, now);
  if (state->state != GP_SUSPECTS_TRUSTED || (failed && task_to_blame))
    return false;
  record_outcome (state, task_id, failed, now);
  if (!should_suspect (state, &suspects->settings, now))
    return false;
  set_suspected (state, &suspects->settings, now);
  return true;
}

bool
gp_suspects_tick (gp_suspects_t *suspects, uint32_t worker, gp_time_t now)
{
  gp_suspects_worker_t *state = &suspects->workers[worker];

  if (now < state->until)
    return false;
  switch (state->state)
    {
    case GP_SUSPECTS_TRUSTED:
      return false;
    case GP_SUSPECTS_SUSPECTED:
      state->state = GP_SUSPECTS_PROBING;
      state->until = GP_TIME_NEVER;
      return true;
    case GP_SUSPECTS_PROBING:
      state->failures++;
      set_suspected (state, &suspects->settings, now);
      return true;
    }
  return false;
}

bool
gp_suspects_allows (const gp_suspects_t *suspects, uint32_t worker)
{
  const gp_suspects_worker_t *state = &suspects->workers[worker];

  switch (state->state)
    {
    case GP_SUSPECTS_TRUSTED:
      return true;
    case GP_SUSPECTS_SUSPECTED:
      return false;
    case GP_SUSPECTS_PROBING:
      return state->probe == 0;
    }
  return false;
}

void
gp_suspects_started (gp_suspects_t *suspects, uint64_t task_id,
                     uint32_t worker, gp_time_t now)
{
  gp_suspects_worker_t *state = &suspects->workers[worker];

  if (state->state != GP_SUSPECTS_PROBING || state->probe != 0)
    return;
  state->probe = task_id;
  state->until = now + suspects->settings.probe_time;
}

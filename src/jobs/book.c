/* Applies submissions, cancellations and progress to the book.  */

#include "jobs/book.h"

#include <stdio.h>
#include <string.h>

#include "jobs/fields.h"
#include "jobs/progress_compact.h"
#include "jobs/records.h"
#include "jobs/suspicion.h"

/* No job is retained for longer than this; an earlier submission comes from a
   wrong clock.  */
#define AGE_MAX_MS ((int64_t)3600 * 1000)

static void
free_job (gpointer job)
{
  gp_job_free (job);
}

static void
free_executor (gpointer executor)
{
  gp_job_executor_free (executor);
}

void
gp_book_init (gp_book_t *book)
{
  gp_list_init (&book->live);
  book->costs = (gp_job_costs_t){ 0 };
  book->max_tasks = 0;
  book->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_job);
  book->executors
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_executor);
}

void
gp_book_finish (gp_book_t *book)
{
  g_hash_table_destroy (book->jobs);
  g_hash_table_destroy (book->executors);
}

void
gp_book_clear (gp_book_t *book)
{
  g_hash_table_remove_all (book->jobs);
  g_hash_table_remove_all (book->executors);
  gp_list_init (&book->live);
}

gp_job_t *
gp_book_find (const gp_book_t *book, const char *id)
{
  return g_hash_table_lookup (book->jobs, id);
}

static gp_job_t *
get_job (gp_book_t *book, const char *id)
{
  gp_job_t *job = gp_book_find (book, id);

  if (job == NULL)
    {
      job = gp_job_new (id);
      job->total = &book->costs;
      g_hash_table_insert (book->jobs, job->id, job);
    }
  return job;
}

gp_job_executor_t *
gp_book_executor (gp_book_t *book, const char *id)
{
  gp_job_executor_t *executor = g_hash_table_lookup (book->executors, id);

  if (executor == NULL)
    {
      executor = gp_job_executor_new (id);
      g_hash_table_insert (book->executors, executor->id, executor);
    }
  return executor;
}

gp_job_executor_t *
gp_book_next_incarnation (gp_book_t *book, gp_job_executor_t *executor,
                          int64_t born_ms)
{
  gp_job_executor_t *next = gp_job_executor_new (executor->id);

  next->born_ms = born_ms;
  g_hash_table_steal (book->executors, executor->id);
  executor->previous_key
      = g_strdup_printf ("%s born %" G_GINT64_FORMAT " past %p", executor->id,
                         executor->born_ms, (void *)executor);
  g_hash_table_insert (book->executors, executor->previous_key, executor);
  g_hash_table_insert (book->executors, next->id, next);
  return next;
}

gp_job_task_t *
gp_book_task (const gp_book_t *book, const char *name)
{
  char id[GP_JOB_ID_SIZE + 1];
  unsigned occurrence;
  unsigned step;
  unsigned index;
  gp_job_t *job;

  if (strlen (name) < GP_JOB_ID_SIZE)
    return NULL;
  g_strlcpy (id, name, sizeof id);
  if (sscanf (name + GP_JOB_ID_SIZE, ".%u.%u.%u", &occurrence, &step, &index)
      != 3)
    return NULL;
  job = gp_book_find (book, id);
  if (job == NULL || job->submission == NULL || occurrence >= job->occurrences
      || step >= job->submission->n_steps
      || index >= job->submission->steps[step]->count)
    return NULL;
  return gp_job_step_tasks (job, occurrence, step) + index;
}

bool
gp_book_awaits_submission (const gp_book_t *book, const char *name)
{
  char id[GP_JOB_ID_SIZE + 1];
  const gp_job_t *job;

  g_strlcpy (id, name, sizeof id);
  job = gp_book_find (book, id);
  /* A submission that cannot be read never arrives: waiting for it would block
     all later ends of the executor.  */
  return job != NULL && job->submission == NULL && !job->submission_unreadable
         && job->early_progress != NULL
         && job->early_progress->state < GP_JOB_COMPLETED;
}

/* Resets a task to its initial state before a record is applied.  */
static void
reset_task (gp_job_task_t *task)
{
  if (task->executor != NULL)
    gp_job_executor_remove (task->executor, task);
  gp_task_set_state (task, GP_TASK_WAITING);
  task->run = 0;
  task->failures = 0;
  task->failed_run = 0;
  task->crashes = 0;
  task->evidence = 0;
  gp_suspicion_reset_run (task);
  g_clear_pointer (&task->checkpoint, g_free);
}

/* Returns the state of a task that PROGRESS gives an executor.  */
static gp_task_state_t
assigned_state (const Gp__Jobs__TaskProgress *progress)
{
  if (progress->done)
    return GP_TASK_DONE;
  return progress->stopping ? GP_TASK_STOPPING : GP_TASK_ASSIGNED;
}

static void
apply_task (gp_book_t *book, gp_job_task_t *task,
            const Gp__Jobs__TaskProgress *progress)
{
  task->run = progress->run;
  task->failures = progress->failures;
  task->failed_run = progress->failed_run;
  task->crashes = progress->crashes;
  task->evidence = progress->evidence;
  if (progress->checkpoint.len > 0)
    task->checkpoint = g_strndup ((const char *)progress->checkpoint.data,
                                  progress->checkpoint.len);
  if (*progress->executor == '\0')
    return;
  gp_job_executor_add (gp_book_executor (book, progress->executor), task);
  gp_suspicion_restore (task, progress->alone, progress->in_group);
  if (progress->done)
    gp_suspicion_clear (task);
  gp_task_set_state (task, assigned_state (progress));
}

/* Adds JOB to the list of live jobs or removes it.  */
static void
update_live (gp_book_t *book, gp_job_t *job)
{
  bool live = job->submission != NULL && !gp_job_ended (job)
              && !job->progress_unknown;

  if (!live)
    gp_list_remove (&job->link);
  else if (gp_list_empty (&job->link))
    gp_list_push_back (&book->live, &job->link);
}

static void
apply (gp_book_t *book, gp_job_t *job, const Gp__Jobs__Progress *progress)
{
  for (uint32_t i = 0; i < job->known_tasks; i++)
    reset_task (&job->tasks[i]);
  for (size_t i = 0; i < progress->n_done; i++)
    gp_task_set_state (gp_job_task (job, progress->done[i]), GP_TASK_DONE);
  for (size_t i = 0; i < progress->n_tasks; i++)
    apply_task (book, gp_job_task (job, progress->tasks[i]->index),
                progress->tasks[i]);
  /* A job remains queued as long as its runs are on executors that are
     down.  */
  job->started = progress->n_done > 0 || progress->state > GP_JOB_QUEUED;
  job->ended_wall_ms = progress->ended_wall_ms;
  job->state = (gp_job_state_t)progress->state;
  job->recorded = job->state;
  update_live (book, job);
}

/* Applies the progress received before the submission.  */
static bool
apply_early (gp_book_t *book, gp_job_t *job, GError **error)
{
  Gp__Jobs__Progress *early = g_steal_pointer (&job->early_progress);
  bool fits;

  if (early == NULL)
    return true;
  fits = gp_record_progress_fits (early, job->task_count, error);
  if (fits && !job->progress_unknown)
    apply (book, job, early);
  gp__jobs__progress__free_unpacked (early, NULL);
  return fits;
}

/* Returns how long ago SUBMISSION was accepted; clocks may differ a
   little.  */
static gp_time_t
age_of (const Gp__Jobs__Submission *submission, int64_t wall_ms)
{
  int64_t age_ms = wall_ms - submission->accepted_wall_ms;

  return CLAMP (age_ms, 0, AGE_MAX_MS) * GP_MSEC;
}

gp_job_t *
gp_book_apply_submission (gp_book_t *book, const char *id,
                          Gp__Jobs__Submission *submission, gp_time_t now,
                          int64_t wall_ms, GError **error)
{
  gp_job_t *job = get_job (book, id);

  if (!gp_job_define (job, submission, now - age_of (submission, wall_ms)))
    {
      gp__jobs__submission__free_unpacked (submission, NULL);
      return job;
    }
  job->submission_unreadable = false;
  if (!apply_early (book, job, error))
    {
      job->progress_unknown = true;
      return NULL;
    }
  update_live (book, job);
  return job;
}

gp_job_t *
gp_book_submit (gp_book_t *book, const char *id, const uint8_t *bytes,
                size_t size, gp_time_t now, int64_t wall_ms, GError **error)
{
  Gp__Jobs__Submission *submission = gp_record_submission (bytes, size, error);

  if (submission == NULL)
    return NULL;
  return gp_book_apply_submission (book, id, submission, now, wall_ms, error);
}

gp_job_t *
gp_book_cancel (gp_book_t *book, const char *id)
{
  gp_job_t *job = get_job (book, id);

  job->cancelled = true;
  if (job->submission == NULL)
    gp_job_set_costs (
        job, (gp_job_costs_t){ .cancellations = gp_job_undefined_cost () });
  return job;
}

static void
store_early (gp_job_t *job, Gp__Jobs__Progress *progress)
{
  if (job->early_progress != NULL)
    gp__jobs__progress__free_unpacked (job->early_progress, NULL);
  job->early_progress = progress;
}

/* Stands for the run number of a task that is done.  */
#define RUN_DONE UINT64_MAX

/* Returns the run numbers in PROGRESS, by task; owned by the caller.  */
static uint64_t *
recorded_runs (const gp_job_t *job, const Gp__Jobs__Progress *progress)
{
  uint64_t *runs = g_new0 (uint64_t, job->task_count);

  for (size_t i = 0; i < progress->n_done; i++)
    runs[progress->done[i]] = RUN_DONE;
  for (size_t i = 0; i < progress->n_tasks; i++)
    runs[progress->tasks[i]->index]
        = progress->tasks[i]->done ? RUN_DONE : progress->tasks[i]->run;
  return runs;
}

/* Returns whether PROGRESS can follow the known state of JOB.  Run numbers
   only grow, and a done task stays done; a record that says otherwise would
   cause a run to be started twice.  The record of a job that has ended does
   not list all its tasks.  */
static bool
can_follow (const gp_job_t *job, const Gp__Jobs__Progress *progress,
            GError **error)
{
  uint64_t *runs;
  bool grows = true;

  if (progress->state >= GP_JOB_COMPLETED)
    return true;
  if (gp_job_ended (job))
    return gp_field_fail (error, "state", "the job has ended");
  runs = recorded_runs (job, progress);
  for (uint32_t i = 0; i < job->known_tasks; i++)
    if (runs[i]
        < (job->tasks[i].state == GP_TASK_DONE ? RUN_DONE : job->tasks[i].run))
      grows = false;
  g_free (runs);
  return grows || gp_field_fail (error, "run", "goes back");
}

/* Returns whether PROGRESS can belong to JOB, whose submission may not have
   arrived yet.  */
static bool
is_of_job (const gp_job_t *job, const Gp__Jobs__Progress *progress,
           GError **error)
{
  return job->submission == NULL
         || (gp_record_progress_fits (progress, job->task_count, error)
             && can_follow (job, progress, error));
}

gp_job_t *
gp_book_apply_progress (gp_book_t *book, const char *id,
                        Gp__Jobs__Progress *progress,
                        gp_book_position_t position, GError **error)
{
  gp_job_t *job = get_job (book, id);

  if (!position.loading && position.offset < job->progress_end)
    {
      gp__jobs__progress__free_unpacked (progress, NULL);
      return job;
    }
  if (!is_of_job (job, progress, error))
    {
      gp__jobs__progress__free_unpacked (progress, NULL);
      gp_book_refuse_progress (book, id, position);
      return NULL;
    }
  job->progress_end = position.offset + 1;
  job->progress_unknown = false;
  job->newest_unreadable = false;
  if (job->submission == NULL)
    store_early (job, progress);
  else
    {
      apply (book, job, progress);
      gp__jobs__progress__free_unpacked (progress, NULL);
    }
  return job;
}

gp_job_t *
gp_book_progress (gp_book_t *book, const char *id, const uint8_t *bytes,
                  size_t size, GError **error)
{
  Gp__Jobs__Progress *progress = gp_record_progress (bytes, size, error);
  gp_book_position_t position = { .offset = get_job (book, id)->progress_end };

  if (progress == NULL)
    return NULL;
  return gp_book_apply_progress (book, id, progress, position, error);
}

void
gp_book_refuse_submission (gp_book_t *book, const char *id)
{
  gp_job_t *job = get_job (book, id);

  job->submission_unreadable = job->submission == NULL;
}

void
gp_book_refuse_progress (gp_book_t *book, const char *id,
                         gp_book_position_t position)
{
  gp_job_t *job = get_job (book, id);

  if (position.loading)
    job->progress_unknown = true;
  job->newest_unreadable = !job->progress_unknown;
  update_live (book, job);
}

void
gp_book_end (gp_job_t *job, gp_job_state_t state, int64_t wall_ms)
{
  job->state = state;
  job->ended_wall_ms = wall_ms;
  job->progress_unknown = false;
  gp_list_remove (&job->link);
}

unsigned
gp_book_pending (const gp_book_t *book, const char *queue)
{
  unsigned pending = 0;

  GP_LIST_FOREACH (link, &book->live)
  {
    const gp_job_t *job = GP_CONTAINER_OF (link, gp_job_t, link);

    if (!job->started && !job->cancelled
        && strcmp (job->submission->queue, queue) == 0)
      pending++;
  }
  return pending;
}

/* Returns whether JOB is only known by its cancellation.  */
static bool
is_undefined (const gp_job_t *job)
{
  return job->cancelled && job->submission == NULL
         && !job->submission_unreadable && job->early_progress == NULL;
}

static void
note_if_undefined (gpointer key, gpointer value, gpointer data)
{
  gp_job_t *job = value;

  if (is_undefined (job) && job->undefined_wall_ms == 0)
    job->undefined_wall_ms = *(const int64_t *)data;
}

void
gp_book_note_undefined (gp_book_t *book, int64_t wall_ms)
{
  g_hash_table_foreach (book->jobs, note_if_undefined, &wall_ms);
}

bool
gp_book_expired (const gp_job_t *job, int64_t wall_ms)
{
  if (is_undefined (job))
    return job->undefined_wall_ms != 0 && job->undefined_wall_ms < wall_ms;
  return job->submission != NULL && gp_job_ended_before (job, wall_ms)
         && !gp_job_has_run (job);
}

bool
gp_book_has_room_for_tasks (const gp_book_t *book, const gp_job_t *job)
{
  return job->tasks != NULL || book->max_tasks == 0 || book->costs.tasks == 0
         || book->costs.tasks + gp_job_tasks_cost (job) <= book->max_tasks;
}

static bool
has_gang (const gp_job_t *job)
{
  for (size_t i = 0; i < job->submission->n_steps; i++)
    if (job->submission->steps[i]->gang)
      return true;
  return false;
}

/* Executors refer to the gangs that have failed on them.  */
static void
forget_failed_gangs (const gp_book_t *book, const gp_job_t *job)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_job_executor_t *executor = value;

      if (executor->failed_gang >= job->tasks
          && executor->failed_gang < job->tasks + job->known_tasks)
        executor->failed_gang = NULL;
    }
}

static void
forget_if_ended (gpointer key, gpointer value, gpointer book)
{
  gp_job_t *job = value;

  if (job->tasks == NULL || !gp_job_end_is_recorded (job)
      || gp_job_has_run (job))
    return;
  if (has_gang (job))
    forget_failed_gangs (book, job);
  gp_job_forget_tasks (job);
}

void
gp_book_forget_ended_tasks (gp_book_t *book)
{
  g_hash_table_foreach (book->jobs, forget_if_ended, book);
}

static gboolean
expired (gpointer key, gpointer value, gpointer data)
{
  return gp_book_expired (value, *(const int64_t *)data);
}

void
gp_book_expire (gp_book_t *book, int64_t wall_ms)
{
  g_hash_table_foreach_remove (book->jobs, expired, &wall_ms);
}

/* Fold of submissions, cancellations and progress.  */

#include "jobs/book.h"

#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "protocol/message.h"

/* More than any job is kept; an older time is a clock that is wrong.  */
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
gp_book_awaits (const gp_book_t *book, const char *name)
{
  char id[GP_JOB_ID_SIZE + 1];
  Gp__Jobs__Progress *progress;
  gp_job_t *job;
  bool live;
  gsize size;
  const uint8_t *bytes;

  g_strlcpy (id, name, sizeof id);
  job = gp_book_find (book, id);
  if (job == NULL || job->submission != NULL || job->early_progress == NULL)
    return false;
  bytes = g_bytes_get_data (job->early_progress, &size);
  progress = gp__jobs__progress__unpack (NULL, size, bytes);
  /* Bytes that do not decode are reported when the submission comes.  */
  if (progress == NULL)
    return false;
  live = progress->state < GP_JOB_COMPLETED;
  gp__jobs__progress__free_unpacked (progress, NULL);
  return live;
}

/* Set a task back to its beginning before a record is applied.  */
static void
reset_task (gp_job_task_t *task)
{
  if (task->executor != NULL)
    gp_job_executor_remove (task->executor, task);
  gp_task_set_state (task, GP_TASK_WAITING);
  task->run = 0;
  task->failures = 0;
  g_clear_pointer (&task->checkpoint, g_free);
}

static void
apply_task (gp_book_t *book, gp_job_task_t *task,
            const Gp__Jobs__TaskProgress *progress)
{
  task->run = progress->run;
  task->failures = progress->failures;
  if (progress->checkpoint.len > 0)
    task->checkpoint = g_strndup ((const char *)progress->checkpoint.data,
                                  progress->checkpoint.len);
  if (*progress->executor == '\0')
    return;
  gp_job_executor_add (gp_book_executor (book, progress->executor), task);
  gp_task_set_state (task,
                     progress->stopping ? GP_TASK_STOPPING : GP_TASK_ASSIGNED);
}

static void
apply (gp_book_t *book, gp_job_t *job, const Gp__Jobs__Progress *progress)
{
  for (uint32_t i = 0; i < job->task_count; i++)
    reset_task (&job->tasks[i]);
  for (size_t i = 0; i < progress->n_done; i++)
    if (progress->done[i] < job->task_count)
      gp_task_set_state (&job->tasks[progress->done[i]], GP_TASK_DONE);
  for (size_t i = 0; i < progress->n_tasks; i++)
    if (progress->tasks[i]->index < job->task_count)
      apply_task (book, &job->tasks[progress->tasks[i]->index],
                  progress->tasks[i]);
  job->started = progress->n_done > 0 || progress->n_tasks > 0;
  job->ended_wall_ms = progress->ended_wall_ms;
  job->state = (gp_job_state_t)progress->state;
  job->recorded = job->state;
  if (gp_job_ended (job))
    gp_list_remove (&job->link);
}

static bool
apply_bytes (gp_book_t *book, gp_job_t *job, const uint8_t *bytes, size_t size,
             GError **error)
{
  Gp__Jobs__Progress *progress
      = gp__jobs__progress__unpack (NULL, size, bytes);

  if (progress == NULL || progress->state > GP_JOB_CANCELLED)
    {
      if (progress != NULL)
        gp__jobs__progress__free_unpacked (progress, NULL);
      g_set_error (error, GP_STATE_ERROR, GP_STATE_ERROR_CORRUPT,
                   "progress of job %s: %zu bytes do not decode", job->id,
                   size);
      return false;
    }
  apply (book, job, progress);
  gp__jobs__progress__free_unpacked (progress, NULL);
  return true;
}

static bool
apply_early (gp_book_t *book, gp_job_t *job, GError **error)
{
  GBytes *early = g_steal_pointer (&job->early_progress);
  size_t size;
  const uint8_t *bytes;
  bool applied;

  if (early == NULL)
    return true;
  bytes = g_bytes_get_data (early, &size);
  applied = apply_bytes (book, job, bytes, size, error);
  g_bytes_unref (early);
  return applied;
}

/* How long ago SUBMISSION was accepted; clocks may differ a little.  */
static gp_time_t
age_of (const Gp__Jobs__Submission *submission, int64_t wall_ms)
{
  int64_t age_ms = wall_ms - submission->accepted_wall_ms;

  return CLAMP (age_ms, 0, AGE_MAX_MS) * GP_MSEC;
}

gp_job_t *
gp_book_submit (gp_book_t *book, const char *id, const uint8_t *bytes,
                size_t size, gp_time_t now, int64_t wall_ms, GError **error)
{
  gp_job_t *job = get_job (book, id);
  Gp__Jobs__Submission *submission;

  if (job->submission != NULL)
    return job;
  submission = gp__jobs__submission__unpack (NULL, size, bytes);
  if (submission == NULL
      || !gp_job_define (job, submission, now - age_of (submission, wall_ms)))
    {
      if (submission != NULL)
        gp__jobs__submission__free_unpacked (submission, NULL);
      g_set_error (error, GP_STATE_ERROR, GP_STATE_ERROR_CORRUPT,
                   "submission of job %s: %zu bytes do not decode", id, size);
      return NULL;
    }
  gp_list_push_back (&book->live, &job->link);
  if (!apply_early (book, job, error))
    return NULL;
  return job;
}

gp_job_t *
gp_book_cancel (gp_book_t *book, const char *id)
{
  gp_job_t *job = get_job (book, id);

  job->cancelled = true;
  return job;
}

gp_job_t *
gp_book_progress (gp_book_t *book, const char *id, const uint8_t *bytes,
                  size_t size, GError **error)
{
  gp_job_t *job = get_job (book, id);

  if (job->submission != NULL)
    return apply_bytes (book, job, bytes, size, error) ? job : NULL;
  if (job->early_progress != NULL)
    g_bytes_unref (job->early_progress);
  job->early_progress = g_bytes_new (bytes, size);
  return job;
}

/* Does a record of the job need TASK?  When the job has ended, only what may
   still be at work.  */
static bool
is_packed (const gp_job_task_t *task, bool ended)
{
  if (ended)
    return task->executor != NULL;
  return task->state != GP_TASK_WAITING || task->run != 0;
}

static void
pack_task (const gp_job_task_t *task, Gp__Jobs__TaskProgress *progress)
{
  gp__jobs__task_progress__init (progress);
  progress->index = task->index;
  progress->run = task->run;
  progress->failures = task->failures;
  progress->stopping = task->state == GP_TASK_STOPPING;
  if (task->executor != NULL)
    progress->executor = task->executor->id;
  if (task->checkpoint != NULL)
    {
      progress->checkpoint.data = (uint8_t *)task->checkpoint;
      progress->checkpoint.len = strlen (task->checkpoint);
    }
}

GBytes *
gp_book_pack (const gp_job_t *job)
{
  Gp__Jobs__Progress progress = GP__JOBS__PROGRESS__INIT;
  Gp__Jobs__TaskProgress *tasks
      = g_new (Gp__Jobs__TaskProgress, job->task_count);
  bool ended = gp_job_ended (job);
  GBytes *bytes;

  progress.state = job->state;
  progress.ended_wall_ms = job->ended_wall_ms;
  progress.done = g_new (uint32_t, job->task_count);
  progress.tasks = g_new (Gp__Jobs__TaskProgress *, job->task_count);
  for (uint32_t i = 0; i < job->task_count; i++)
    if (job->tasks[i].state == GP_TASK_DONE && !ended)
      progress.done[progress.n_done++] = i;
    else if (is_packed (&job->tasks[i], ended))
      {
        progress.tasks[progress.n_tasks] = &tasks[progress.n_tasks];
        pack_task (&job->tasks[i], &tasks[progress.n_tasks++]);
      }
  bytes = gp_message_pack (&progress.base);
  g_free (progress.done);
  g_free (progress.tasks);
  g_free (tasks);
  return bytes;
}

void
gp_book_end (gp_job_t *job, gp_job_state_t state, int64_t wall_ms)
{
  job->state = state;
  job->ended_wall_ms = wall_ms;
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

/* Has JOB ended, so long ago that nothing of it is at work?  */
bool
gp_book_expired (const gp_job_t *job, int64_t wall_ms)
{
  if (job->submission == NULL || !gp_job_ended_before (job, wall_ms))
    return false;
  for (uint32_t i = 0; i < job->task_count; i++)
    if (job->tasks[i].executor != NULL)
      return false;
  return true;
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

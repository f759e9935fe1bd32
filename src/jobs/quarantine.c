/* Quarantine for queues whose tasks take executors down.  */

#include "jobs/quarantine.h"

#include <string.h>

#include "base/log.h"
#include "jobs/suspicion.h"

/* The last failures of executors that tasks of a queue caused, newest
   first.  */
typedef struct
{
  gp_time_t ends[GP_QUARANTINE_FAILURES];
  gp_time_t waited_at; /* when a task of the queue last found no place in
                          quarantine */
  bool fits;           /* its work fitted into quarantine when it came under
                          suspicion */
} record_t;

void
gp_quarantine_init (gp_quarantine_t *quarantine)
{
  quarantine->chosen = false;
  quarantine->queues
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gp_quarantine_finish (gp_quarantine_t *quarantine)
{
  g_hash_table_destroy (quarantine->queues);
}

/* Returns until when the queue of RECORD is under suspicion.  */
static gp_time_t
fresh_until (const record_t *record)
{
  gp_time_t oldest = record->ends[GP_QUARANTINE_FAILURES - 1];
  gp_time_t until = MAX (record->ends[0], record->waited_at)
                    + GP_QUARANTINE_SUSPICION_TIME;

  if (oldest == 0 || record->ends[0] - oldest > GP_QUARANTINE_SUSPICION_TIME)
    return 0;
  return MIN (until, record->ends[0] + GP_QUARANTINE_MAX_TIME);
}

static bool
is_fresh (const record_t *record, gp_time_t now)
{
  return now <= fresh_until (record);
}

/* Do the runs of QUEUE fit on the share of BOOK's executors that would be in
   quarantine?  */
static bool
fits (const gp_book_t *book, const char *queue)
{
  int64_t capacity = 0;
  int64_t used = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_executor_t *executor = value;

      if (executor->dead)
        continue;
      capacity += executor->capacity.cpu_milli;
      GP_LIST_FOREACH (link, &executor->tasks)
      {
        const gp_job_task_t *task
            = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

        if (strcmp (task->job->submission->queue, queue) == 0)
          used += gp_task_step (task)->cpu_milli;
      }
    }
  return used <= capacity / GP_QUARANTINE_SHARE;
}

void
gp_quarantine_record_failure (gp_quarantine_t *quarantine,
                              const gp_book_t *book, const char *queue,
                              gp_time_t now)
{
  record_t *record = g_hash_table_lookup (quarantine->queues, queue);
  bool before;

  if (record == NULL)
    {
      record = g_new0 (record_t, 1);
      g_hash_table_insert (quarantine->queues, g_strdup (queue), record);
    }
  before = is_fresh (record, now);
  memmove (&record->ends[1], &record->ends[0],
           (GP_QUARANTINE_FAILURES - 1) * sizeof record->ends[0]);
  record->ends[0] = now;
  if (before || !is_fresh (record, now))
    return;
  record->fits = fits (book, queue);
  gp_log (GP_LOG_WARNING, "queue.suspect", GP_LOG_S ("queue", queue),
          GP_LOG_I ("confined", record->fits));
}

void
gp_quarantine_record_waiting (gp_quarantine_t *quarantine, const char *queue,
                              gp_time_t now)
{
  record_t *record = g_hash_table_lookup (quarantine->queues, queue);

  if (record != NULL)
    record->waited_at = now;
}

bool
gp_quarantine_is_suspect (const gp_quarantine_t *quarantine, const char *queue,
                          gp_time_t now)
{
  const record_t *record = g_hash_table_lookup (quarantine->queues, queue);

  return record != NULL && record->fits && is_fresh (record, now);
}

bool
gp_quarantine_is_active (const gp_quarantine_t *quarantine, gp_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const record_t *record = value;

      if (record->fits && is_fresh (record, now))
        return true;
    }
  return false;
}

typedef struct
{
  gp_job_executor_t *executor;
  int64_t at_stake;
} rated_t;

static gint
by_stake (gconstpointer a, gconstpointer b)
{
  const rated_t *left = a;
  const rated_t *right = b;

  if (left->executor->quarantined != right->executor->quarantined)
    return left->executor->quarantined ? -1 : 1;
  if (left->at_stake != right->at_stake)
    return left->at_stake < right->at_stake ? -1 : 1;
  return strcmp (left->executor->id, right->executor->id);
}

/* Returns the executors that answer: first those in quarantine, then those
   with the least work to lose.  Sets DOWN to the number of executors in
   quarantine that do not answer.  */
static GArray *
rate (const gp_book_t *book, gp_time_t now, guint *down)
{
  GArray *rated = g_array_new (FALSE, FALSE, sizeof (rated_t));
  GHashTableIter iter;
  gpointer value;

  *down = 0;
  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      rated_t row = { .executor = value };

      if (row.executor->dead || !row.executor->reachable
          || row.executor->draining)
        continue;
      if (row.executor->down)
        {
          *down += row.executor->quarantined;
          continue;
        }
      row.at_stake = gp_suspicion_at_stake (row.executor, now);
      g_array_append_val (rated, row);
    }
  g_array_sort (rated, by_stake);
  return rated;
}

/* Clears the quarantine.  Executors are rated only while there is one, as
   there may be many.  */
static void
choose_none (gp_quarantine_t *quarantine, const gp_book_t *book)
{
  GHashTableIter iter;
  gpointer value;

  if (!quarantine->chosen)
    return;
  quarantine->chosen = false;
  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((gp_job_executor_t *)value)->quarantined = false;
}

void
gp_quarantine_choose_executors (gp_quarantine_t *quarantine,
                                const gp_book_t *book, gp_time_t now)
{
  guint down;
  guint wanted;
  guint count;
  GArray *rated;

  if (!gp_quarantine_is_active (quarantine, now))
    {
      choose_none (quarantine, book);
      return;
    }
  quarantine->chosen = true;
  rated = rate (book, now, &down);
  wanted = MAX ((rated->len + down) / GP_QUARANTINE_SHARE, 1);
  count = wanted > down ? wanted - down : 0;
  for (guint i = 0; i < rated->len; i++)
    g_array_index (rated, rated_t, i).executor->quarantined = i < count;
  g_array_free (rated, TRUE);
}

/* Quarantine for queues whose tasks crash executors.  */

#include "jobs/quarantine.h"

#include <string.h>

#include "base/log.h"
#include "jobs/suspicion.h"

/* How often the work of a queue in quarantine is compared with the room
   there, which goes through all runs and jobs.  */
#define FITS_INTERVAL GP_SEC
/* The work that arrives is averaged over this time.  */
#define OFFERED_TIME (10 * GP_SEC)

/* A queue that is, or was, under suspicion.  */
typedef struct
{
  gp_time_t suspect_since;  /* 0: it is not under suspicion */
  gp_time_t failures_since; /* failures count from then on */
  gp_time_t failed_at;      /* the last one that it explains */
  gp_time_t waited_at;      /* when a task of the queue last found no place in
                               quarantine */
  bool fits;          /* its work fitted into quarantine when it came under
                         suspicion */
  gp_time_t fits_due; /* when to see next whether it still does */
} suspect_t;

void
gp_quarantine_init (gp_quarantine_t *quarantine)
{
  gp_executor_failures_init (&quarantine->failures);
  quarantine->last_vm = 0;
  quarantine->has_executors = false;
  quarantine->queues
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gp_quarantine_finish (gp_quarantine_t *quarantine)
{
  gp_executor_failures_finish (&quarantine->failures);
  g_hash_table_destroy (quarantine->queues);
}

void
gp_quarantine_reset (gp_quarantine_t *quarantine)
{
  gp_executor_failures_discard_before (&quarantine->failures, GP_TIME_NEVER);
  g_hash_table_remove_all (quarantine->queues);
}

uint64_t
gp_quarantine_add_vm (gp_quarantine_t *quarantine)
{
  return ++quarantine->last_vm;
}

/* Returns until when the queue of SUSPECT is under suspicion.  */
static gp_time_t
suspicion_end (const suspect_t *suspect)
{
  gp_time_t until = MAX (suspect->failed_at, suspect->waited_at)
                    + GP_QUARANTINE_SUSPICION_TIME;

  return MIN (until, suspect->failed_at + GP_QUARANTINE_MAX_TIME);
}

static bool
is_suspect (const suspect_t *suspect, gp_time_t now)
{
  return suspect->suspect_since != 0 && now <= suspicion_end (suspect);
}

/* Returns how many occurrences of JOB have come due lately.  */
static uint32_t
count_recent_occurrences (const gp_job_t *job, gp_time_t now)
{
  uint32_t count = 0;

  for (uint32_t k = 0; k < job->occurrences; k++)
    {
      gp_time_t age = now - gp_job_occurrence_at (job, k);

      count += age >= 0 && age < OFFERED_TIME;
    }
  return count;
}

/* Returns the work of an occurrence of JOB, apart from long-running steps: CPU
   in thousandths of a core, times the expected duration.  */
static double
work_of (const gp_job_t *job)
{
  double work = 0.0;

  for (size_t s = 0; s < job->submission->n_steps; s++)
    {
      const Gp__Jobs__Step *step = job->submission->steps[s];
      gp_time_t time = job->task_times != NULL ? job->task_times[s] : 0;

      if (step->long_running)
        continue;
      if (time == 0)
        time = step->estimate_ms * GP_MSEC;
      work += (double)step->count * step->cpu_milli * (double)time;
    }
  return work;
}

/* Returns the CPU that the work of QUEUE that has come due lately needs on
   average, in thousandths of a core.  */
static int64_t
offered_cpu (const gp_book_t *book, const char *queue, gp_time_t now)
{
  double work = 0.0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, book->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_t *job = value;

      if (job->submission != NULL
          && strcmp (job->submission->queue, queue) == 0)
        work += count_recent_occurrences (job, now) * work_of (job);
    }
  return (int64_t)(work / OFFERED_TIME);
}

/* Returns the CPU that the runs of QUEUE on EXECUTOR request, in thousandths
   of a core.  */
static int64_t
running_cpu (const gp_job_executor_t *executor, const char *queue)
{
  int64_t sum = 0;

  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if (strcmp (task->job->submission->queue, queue) == 0)
      sum += gp_task_step (task)->cpu_milli;
  }
  return sum;
}

/* Returns whether the work of QUEUE, what is running as well as what arrives,
   fits on the share of BOOK's executors that would be in quarantine.  */
static bool
fits (const gp_book_t *book, const char *queue, gp_time_t now)
{
  int64_t capacity = 0;
  int64_t running = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_executor_t *executor = value;

      if (executor->dead)
        continue;
      capacity += executor->capacity.cpu_milli;
      running += running_cpu (executor, queue);
    }
  return MAX (running, offered_cpu (book, queue, now))
         <= capacity / GP_QUARANTINE_SHARE;
}

static int64_t
per_million (double chance)
{
  return (int64_t)(chance * 1e6);
}

/* QUEUE is no longer under suspicion.  */
static void
clear (suspect_t *suspect, const char *queue, const char *why, gp_time_t now)
{
  gp_log (GP_LOG_INFO, "queue.cleared", GP_LOG_S ("queue", queue),
          GP_LOG_S ("why", why), GP_LOG_I ("confined", suspect->fits),
          GP_LOG_I ("for_ms", (now - suspect->suspect_since) / GP_MSEC),
          GP_LOG_I ("failed_ms_ago", (now - suspect->failed_at) / GP_MSEC));
  suspect->suspect_since = 0;
}

/* QUEUE comes under suspicion by EVIDENCE.  */
static void
add_suspect (gp_quarantine_t *quarantine, const gp_book_t *book,
             const char *queue, const gp_failure_evidence_t *evidence,
             gp_time_t now)
{
  suspect_t *suspect = g_new0 (suspect_t, 1);

  *suspect = (suspect_t){ .suspect_since = now,
                          .failures_since = now - GP_QUARANTINE_SUSPICION_TIME,
                          .failed_at = evidence->last_at,
                          .fits = fits (book, queue, now) };
  g_hash_table_insert (quarantine->queues, g_strdup (queue), suspect);
  gp_log (GP_LOG_WARNING, "queue.suspect", GP_LOG_S ("queue", queue),
          GP_LOG_I ("confined", suspect->fits),
          GP_LOG_I ("failures", evidence->failures),
          GP_LOG_I ("explained", evidence->explained),
          GP_LOG_I ("chance_ppm", per_million (evidence->chance)));
}

/* Judges QUEUE, which is under suspicion, by the failures since those that
   brought it there.  */
static void
judge_again (gp_quarantine_t *quarantine, suspect_t *suspect,
             const char *queue, gp_time_t now)
{
  gp_failure_evidence_t evidence = gp_executor_failures_evidence (
      &quarantine->failures, queue, suspect->failures_since);

  if (evidence.chance > GP_QUARANTINE_CHANCE)
    clear (suspect, queue, "coincidence", now);
  else
    suspect->failed_at = evidence.last_at;
}

static void
judge_suspects (gp_quarantine_t *quarantine, gp_time_t now)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->queues);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (is_suspect (value, now))
      judge_again (quarantine, value, key, now);
}

/* Judges QUEUE, which is not under suspicion, by the last failures.  */
static void
judge (gp_quarantine_t *quarantine, const gp_book_t *book, const char *queue,
       gp_time_t now)
{
  gp_failure_evidence_t evidence = gp_executor_failures_evidence (
      &quarantine->failures, queue, now - GP_QUARANTINE_SUSPICION_TIME);

  if (evidence.chance <= GP_QUARANTINE_CHANCE)
    add_suspect (quarantine, book, queue, &evidence, now);
}

uint64_t
gp_quarantine_record_failure (gp_quarantine_t *quarantine,
                              const gp_book_t *book,
                              const gp_executor_failure_t *failure,
                              gp_time_t now)
{
  const suspect_t *suspect;
  uint64_t id;

  if (gp_executor_failures_is_known (&quarantine->failures, failure))
    return failure->id;
  gp_executor_failures_discard_before (&quarantine->failures,
                                       now - GP_QUARANTINE_SUSPICION_TIME
                                           - GP_QUARANTINE_MAX_TIME);
  id = gp_executor_failures_record (&quarantine->failures, failure);
  judge_suspects (quarantine, now);
  if (failure->queue == NULL)
    return id;
  suspect = g_hash_table_lookup (quarantine->queues, failure->queue);
  if (suspect == NULL || !is_suspect (suspect, now))
    judge (quarantine, book, failure->queue, now);
  return id;
}

void
gp_quarantine_withdraw_failure (gp_quarantine_t *quarantine, uint64_t id,
                                gp_time_t now)
{
  gp_executor_failures_discard (&quarantine->failures, id);
  judge_suspects (quarantine, now);
}

void
gp_quarantine_record_waiting (gp_quarantine_t *quarantine, const char *queue,
                              gp_time_t now)
{
  suspect_t *suspect = g_hash_table_lookup (quarantine->queues, queue);

  if (suspect != NULL)
    suspect->waited_at = now;
}

bool
gp_quarantine_is_suspect (const gp_quarantine_t *quarantine, const char *queue,
                          gp_time_t now)
{
  const suspect_t *suspect = g_hash_table_lookup (quarantine->queues, queue);

  return suspect != NULL && suspect->fits && is_suspect (suspect, now);
}

bool
gp_quarantine_is_active (const gp_quarantine_t *quarantine, gp_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const suspect_t *suspect = value;

      if (suspect->fits && is_suspect (suspect, now))
        return true;
    }
  return false;
}

/* Returns whether the suspicion of QUEUE, whose last failure counts no longer,
   has to end because its work does not fit into quarantine any more: its own
   backlog would keep it there.  */
static bool
has_outgrown (suspect_t *suspect, const gp_book_t *book, const char *queue,
              gp_time_t now)
{
  if (!suspect->fits || now < suspect->fits_due
      || now <= suspect->failed_at + GP_QUARANTINE_SUSPICION_TIME)
    return false;
  suspect->fits_due = now + FITS_INTERVAL;
  return !fits (book, queue, now);
}

/* Clears the queues of which the suspicion has ended.  */
static void
clear_ended (gp_quarantine_t *quarantine, const gp_book_t *book, gp_time_t now)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->queues);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      suspect_t *suspect = value;

      if (is_suspect (suspect, now))
        {
          if (!has_outgrown (suspect, book, key, now))
            continue;
          clear (suspect, key, "no room", now);
        }
      else if (suspect->suspect_since != 0)
        clear (suspect, key, "no further failure", now);
      g_hash_table_iter_remove (&iter);
    }
}

typedef struct
{
  gp_job_executor_t *executor;
  int64_t at_stake;
} candidate_t;

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const candidate_t *left = a;
  const candidate_t *right = b;

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
rate_executors (const gp_book_t *book, gp_time_t now, guint *down)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  GHashTableIter iter;
  gpointer value;

  *down = 0;
  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      candidate_t candidate = { .executor = value };

      if (candidate.executor->dead || !candidate.executor->reachable
          || candidate.executor->draining)
        continue;
      if (candidate.executor->down)
        {
          *down += candidate.executor->quarantined;
          continue;
        }
      candidate.at_stake = gp_suspicion_work_at_risk (candidate.executor, now);
      g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, compare_candidates);
  return candidates;
}

/* Clears the quarantine.  Executors are rated only while there is one, as
   there may be many.  */
static void
clear_quarantine (gp_quarantine_t *quarantine, const gp_book_t *book)
{
  GHashTableIter iter;
  gpointer value;

  if (!quarantine->has_executors)
    return;
  quarantine->has_executors = false;
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
  GArray *candidates;

  clear_ended (quarantine, book, now);
  if (!gp_quarantine_is_active (quarantine, now))
    {
      clear_quarantine (quarantine, book);
      return;
    }
  quarantine->has_executors = true;
  candidates = rate_executors (book, now, &down);
  wanted = MAX ((candidates->len + down) / GP_QUARANTINE_SHARE, 1);
  count = wanted > down ? wanted - down : 0;
  for (guint i = 0; i < candidates->len; i++)
    g_array_index (candidates, candidate_t, i).executor->quarantined
        = i < count;
  g_array_free (candidates, TRUE);
}

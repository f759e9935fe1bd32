/* Distinguishes the loss of a single executor from a correlated loss.  */

#include "jobs/correlated_loss.h"

#include "jobs/suspicion.h"

/* Losses that become known within this time count as one where no last report
   is known.  */
#define KNOWN_TOGETHER_TIME (GP_SEC)
/* A VM that was lost within this time may be lost again by itself.  */
#define UNSTABLE_TIME (30 * GP_SEC)

const char *
gp_loss_name (gp_loss_t loss)
{
  switch (loss)
    {
    case GP_LOSS_SINGLE:
      return "single";
    case GP_LOSS_UNHEARD:
      return "unheard";
    case GP_LOSS_VM:
      return "VM";
    case GP_LOSS_JOB:
      return "others, one job";
    case GP_LOSS_ISOLATED:
      return "others, isolated runs";
    case GP_LOSS_ANY:
      return "others, unheard";
    case GP_LOSS_OUTAGE:
      return "outage";
    }
  return "";
}

/* Returns whether EXECUTOR is lost, or may be: no guard reports it.  */
static bool
may_be_lost (const gp_job_executor_t *executor)
{
  return executor->dead ? executor->lost_at != 0 : !executor->reachable;
}

/* Returns since when nothing is heard of EXECUTOR's VM, 0: not known.  */
static gp_time_t
silent_since (const gp_job_executor_t *executor)
{
  return executor->reported_at != 0 ? executor->reported_at
                                    : executor->unanswered_at;
}

/* Returns whether the connection of EXECUTOR's guard was closed when its
   reports ended.  */
static bool
guard_was_killed (const gp_job_executor_t *executor)
{
  return executor->reported_at != 0 && executor->disconnected_at != 0
         && executor->disconnected_at - executor->reported_at
                <= GP_LOSS_REPORTS_APART_TIME;
}

static bool
lost_together (const gp_job_executor_t *executor,
               const gp_job_executor_t *other)
{
  return other != executor && silent_since (other) != 0 && may_be_lost (other)
         && !guard_was_killed (other)
         && ABS (silent_since (other) - silent_since (executor))
                <= GP_LOSS_REPORTS_APART_TIME;
}

/* Returns the executors that were lost together with EXECUTOR, without
   itself.  Owned by the caller.  */
static GPtrArray *
find_lost_together (const gp_book_t *book, const gp_job_executor_t *executor)
{
  GPtrArray *others = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  if (silent_since (executor) == 0 || guard_was_killed (executor))
    return others;
  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (lost_together (executor, value))
      g_ptr_array_add (others, value);
  return others;
}

unsigned
gp_correlated_loss_others (const gp_book_t *book,
                           const gp_job_executor_t *executor)
{
  GPtrArray *others = find_lost_together (book, executor);
  unsigned count = others->len;

  g_ptr_array_unref (others);
  return count;
}

/* Returns whether a run of JOB (NULL: an isolated run of any job) may have
   just started when EXECUTOR was lost.  */
static bool
has_suspect_of (const gp_job_executor_t *executor, const gp_job_t *job)
{
  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);

    if ((job != NULL ? task->job == job : task->alone)
        && gp_suspicion_may_be_cause (task))
      return true;
  }
  return false;
}

/* Returns whether a run of JOB, or an isolated run if JOB is NULL, explains
   the loss of EXECUTOR and of each of OTHERS.  The runs of executors that are
   dead already are no longer known.  */
static bool
explains_all (const gp_job_executor_t *executor, const GPtrArray *others,
              const gp_job_t *job)
{
  if (!has_suspect_of (executor, job))
    return false;
  for (guint i = 0; i < others->len; i++)
    {
      const gp_job_executor_t *other = g_ptr_array_index (others, i);

      if (!other->dead && !has_suspect_of (other, job))
        return false;
    }
  return true;
}

/* Returns the only job whose runs explain the loss of EXECUTOR and of each of
   OTHERS, or NULL if there is none or several.  */
static const gp_job_t *
explaining_job (const gp_job_executor_t *executor, const GPtrArray *others)
{
  const gp_job_t *found = NULL;

  GP_LIST_FOREACH (link, &executor->tasks)
  {
    const gp_job_t *job
        = GP_CONTAINER_OF (link, gp_job_task_t, on_executor)->job;

    if (job == found || !explains_all (executor, others, job))
      continue;
    if (found != NULL)
      return NULL;
    found = job;
  }
  return found;
}

/* Returns the number of executors besides EXECUTOR that may run something.  */
static unsigned
count_others (const gp_book_t *book, const gp_job_executor_t *executor)
{
  unsigned count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += value != executor && !((gp_job_executor_t *)value)->dead;
  return count;
}

/* Returns whether LOST of the executors besides EXECUTOR are more than chance
   would take at the same moment.  */
static bool
are_many (const gp_book_t *book, const gp_job_executor_t *executor,
          unsigned lost)
{
  return lost >= GP_LOSS_MIN_OTHERS
         || (lost > 0 && lost * 2 >= count_others (book, executor));
}

/* Returns whether EXECUTOR's loss was classified as an outage.  */
static bool
is_lost_in_outage (const gp_job_executor_t *executor)
{
  return executor->loss == GP_LOSS_OUTAGE
         && executor->loss_silent_since == silent_since (executor);
}

/* Returns whether EXECUTOR was lost before another one that was lost in an
   outage was back.  */
static bool
lost_during_outage (const gp_book_t *book, const gp_job_executor_t *executor)
{
  GHashTableIter iter;
  gpointer value;

  if (guard_was_killed (executor))
    return false;
  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_executor_t *other = value;

      if (other != executor && is_lost_in_outage (other) && may_be_lost (other)
          && silent_since (other)
                 <= silent_since (executor) + GP_LOSS_REPORTS_APART_TIME
          && (!other->dead || other->lost_at >= silent_since (executor)))
        return true;
    }
  return false;
}

static void
set_loss (gp_job_executor_t *executor, gp_loss_t loss, const gp_job_t *job)
{
  executor->loss = loss;
  executor->loss_silent_since = silent_since (executor);
  g_strlcpy (executor->loss_job, job != NULL ? job->id : "",
             sizeof executor->loss_job);
}

/* Classifies the loss of EXECUTOR together with OTHERS, and that of OTHERS as
   well.  */
static void
classify_together (gp_job_executor_t *executor, const GPtrArray *others,
                   bool in_outage)
{
  const gp_job_t *job = in_outage ? NULL : explaining_job (executor, others);
  gp_loss_t loss = GP_LOSS_OUTAGE;

  if (job != NULL)
    loss = GP_LOSS_JOB;
  else if (!in_outage && explains_all (executor, others, NULL))
    loss = GP_LOSS_ISOLATED;
  set_loss (executor, loss, job);
  for (guint i = 0; i < others->len; i++)
    set_loss (g_ptr_array_index (others, i), loss, job);
}

static gp_loss_t
classify_by_silence (const gp_book_t *book, gp_job_executor_t *executor)
{
  GPtrArray *others;
  bool in_outage;

  if (executor->loss_silent_since == silent_since (executor))
    return executor->loss;
  others = find_lost_together (book, executor);
  in_outage = lost_during_outage (book, executor);
  if (in_outage || are_many (book, executor, others->len))
    classify_together (executor, others, in_outage);
  else
    set_loss (executor,
              guard_was_killed (executor) ? GP_LOSS_SINGLE : GP_LOSS_VM, NULL);
  g_ptr_array_unref (others);
  return executor->loss;
}

/* Classifies the loss of EXECUTOR if it is not known since when its VM was
   silent.  It is a correlated one if at least half of the other executors are
   lost.  */
static gp_loss_t
classify_by_knowledge (const gp_book_t *book,
                       const gp_job_executor_t *executor, bool guard_back,
                       gp_time_t now)
{
  GPtrArray *lost_others = g_ptr_array_new ();
  unsigned others = 0;
  gp_loss_t loss = GP_LOSS_UNHEARD;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_executor_t *other = value;
      bool lost = other->dead && other->lost_at != 0
                  && now - other->lost_at <= KNOWN_TOGETHER_TIME;

      if (other == executor || (other->dead && !lost)
          || (guard_back && !lost && other->reported_at == 0))
        continue;
      others++;
      if (lost || (!other->reachable && other->reported_at == 0))
        g_ptr_array_add (lost_others, value);
    }
  if (lost_others->len >= GP_LOSS_MIN_OTHERS && lost_others->len * 2 >= others)
    loss = explains_all (executor, lost_others, NULL) ? GP_LOSS_ISOLATED
                                                      : GP_LOSS_ANY;
  g_ptr_array_unref (lost_others);
  return loss;
}

gp_loss_t
gp_correlated_loss_classify (const gp_book_t *book,
                             gp_job_executor_t *executor, bool guard_back,
                             gp_time_t now)
{
  if (silent_since (executor) != 0)
    return classify_by_silence (book, executor);
  return classify_by_knowledge (book, executor, guard_back, now);
}

bool
gp_loss_is_of_vm (gp_loss_t loss)
{
  switch (loss)
    {
    case GP_LOSS_SINGLE:
    case GP_LOSS_UNHEARD:
      return false;
    case GP_LOSS_VM:
    case GP_LOSS_JOB:
    case GP_LOSS_ISOLATED:
    case GP_LOSS_ANY:
    case GP_LOSS_OUTAGE:
      return true;
    }
  return false;
}

bool
gp_correlated_loss_is_unstable (const gp_job_executor_t *executor,
                                gp_time_t now)
{
  return executor->vm_lost_at != 0
         && now - executor->vm_lost_at <= UNSTABLE_TIME;
}

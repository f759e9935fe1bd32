/* Recent failures of executors, and whether a queue explains them.  */

#include "jobs/executor_failures.h"

#include <math.h>

static void
clear_row (gpointer row)
{
  g_free ((char *)((gp_executor_failure_t *)row)->queue);
}

void
gp_executor_failures_init (gp_executor_failures_t *failures)
{
  failures->last_id = 0;
  failures->rows = g_array_new (FALSE, FALSE, sizeof (gp_executor_failure_t));
  g_array_set_clear_func (failures->rows, clear_row);
}

void
gp_executor_failures_finish (gp_executor_failures_t *failures)
{
  g_array_free (failures->rows, TRUE);
}

static gp_executor_failure_t *
row_at (const gp_executor_failures_t *failures, guint index)
{
  return &g_array_index (failures->rows, gp_executor_failure_t, index);
}

/* Returns the row of the failure ID, or NULL.  */
static gp_executor_failure_t *
find (const gp_executor_failures_t *failures, uint64_t id)
{
  for (guint i = 0; id != 0 && i < failures->rows->len; i++)
    if (row_at (failures, i)->id == id)
      return row_at (failures, i);
  return NULL;
}

bool
gp_executor_failures_is_known (const gp_executor_failures_t *failures,
                               const gp_executor_failure_t *failure)
{
  const gp_executor_failure_t *row = find (failures, failure->id);

  return row != NULL && g_strcmp0 (row->queue, failure->queue) == 0
         && (row->chance < 1.0 || failure->chance >= 1.0);
}

uint64_t
gp_executor_failures_record (gp_executor_failures_t *failures,
                             const gp_executor_failure_t *failure)
{
  gp_executor_failure_t row = *failure;
  gp_executor_failure_t *before = find (failures, row.id);

  row.queue = g_strdup (failure->queue);
  if (before != NULL)
    {
      clear_row (before);
      *before = row;
      return row.id;
    }
  if (failures->rows->len == GP_EXECUTOR_FAILURES_MAX)
    g_array_remove_index (failures->rows, 0);
  row.id = ++failures->last_id;
  g_array_append_val (failures->rows, row);
  return row.id;
}

void
gp_executor_failures_discard (gp_executor_failures_t *failures, uint64_t id)
{
  for (guint i = 0; i < failures->rows->len; i++)
    if (row_at (failures, i)->id == id)
      {
        g_array_remove_index (failures->rows, i);
        return;
      }
}

void
gp_executor_failures_discard_before (gp_executor_failures_t *failures,
                                     gp_time_t time)
{
  guint old = 0;

  while (old < failures->rows->len && row_at (failures, old)->at < time)
    old++;
  if (old > 0)
    g_array_remove_range (failures->rows, 0, old);
}

static bool
is_of_queue (const gp_executor_failure_t *failure, const char *queue)
{
  return g_strcmp0 (failure->queue, queue) == 0;
}

/* Returns whether VM has failed since SINCE with no run of QUEUE that may have
   just begun.  */
static bool
fails_by_itself (const gp_executor_failures_t *failures, uint64_t vm,
                 const char *queue, gp_time_t since)
{
  for (guint i = 0; i < failures->rows->len; i++)
    {
      const gp_executor_failure_t *row = row_at (failures, i);

      if (row->vm == vm && row->at >= since && !is_of_queue (row, queue))
        return true;
    }
  return false;
}

/* Returns the probability that K or more of N independent events of
   probability P occur.  */
static double
binomial_tail (unsigned n, unsigned k, double p)
{
  double sum = 0.0;

  if (p <= 0.0)
    return 0.0;
  if (p >= 1.0)
    return 1.0;
  for (unsigned i = k; i <= n; i++)
    sum += exp (lgamma (n + 1.0) - lgamma (i + 1.0) - lgamma (n - i + 1.0)
                + i * log (p) + (n - i) * log1p (-p));
  return fmin (sum, 1.0);
}

static gint
compare_chances (gconstpointer a, gconstpointer b)
{
  const double *left = a;
  const double *right = b;

  return (*left > *right) - (*left < *right);
}

/* Returns how unlikely a coincidence it is that CHANCES, in ascending order,
   are among those of N failures, as a probability.  The tail is multiplied by
   the number of K tried and by N (N - 1): the failures are judged with the
   second and each one since, and 1 / (N (N - 1)) adds up to 1 over all N, so
   that the probability of a mistake does not grow with their number.  */
static double
coincidence (const GArray *chances, unsigned n)
{
  double least = 1.0;
  double tried;

  if (chances->len < GP_EXECUTOR_FAILURES_MIN)
    return 1.0;
  for (guint k = GP_EXECUTOR_FAILURES_MIN; k <= chances->len; k++)
    least = fmin (
        least, binomial_tail (n, k, g_array_index (chances, double, k - 1)));
  tried = (double)(chances->len - GP_EXECUTOR_FAILURES_MIN + 1) * n * (n - 1);
  return fmin (least * tried, 1.0);
}

gp_failure_evidence_t
gp_executor_failures_evidence (const gp_executor_failures_t *failures,
                               const char *queue, gp_time_t since)
{
  GArray *chances = g_array_new (FALSE, FALSE, sizeof (double));
  gp_failure_evidence_t evidence = { 0 };

  for (guint i = 0; i < failures->rows->len; i++)
    {
      const gp_executor_failure_t *row = row_at (failures, i);

      if (row->at < since || (is_of_queue (row, queue) && row->chance >= 1.0))
        continue;
      evidence.failures++;
      if (!is_of_queue (row, queue)
          || fails_by_itself (failures, row->vm, queue, since))
        continue;
      g_array_append_val (chances, row->chance);
      evidence.last_at = MAX (evidence.last_at, row->at);
    }
  evidence.explained = chances->len;
  g_array_sort (chances, compare_chances);
  evidence.chance = coincidence (chances, evidence.failures);
  g_array_free (chances, TRUE);
  return evidence;
}

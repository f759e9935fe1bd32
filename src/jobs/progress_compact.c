/* Compact encoding of the progress of jobs.  */

#include "jobs/progress_compact.h"

#include <string.h>

#include "jobs/fields.h"
#include "jobs/job.h"
#include "protocol/message.h"

/* Maximum number of hexadecimal digits in an executor's number.  */
#define DIGITS_MAX 15
/* Size limit of an id that is split.  */
#define ID_MAX 64

/* An executor's id, split into PREFIX and NUMBER with DIGITS hexadecimal
   digits.  */
typedef struct
{
  char prefix[ID_MAX];
  uint32_t digits; /* 0: the id has no digits, or is too long */
  uint64_t number;
} split_id_t;

static bool
is_digit (char c)
{
  return g_ascii_isdigit (c) || (c >= 'a' && c <= 'f');
}

static split_id_t
split (const char *id)
{
  split_id_t split = { .digits = 0 };
  size_t size = strlen (id);
  size_t start = size;

  if (size >= ID_MAX)
    return split;
  while (start > 0 && size - start < DIGITS_MAX && is_digit (id[start - 1]))
    start--;
  memcpy (split.prefix, id, start);
  split.digits = (uint32_t)(size - start);
  if (split.digits > 0)
    split.number = g_ascii_strtoull (id + start, NULL, 16);
  return split;
}

/* Packing.  */

typedef struct
{
  GArray *ranges;  /* uint32_t */
  GArray *gaps;    /* uint32_t */
  GArray *runs;    /* uint32_t */
  GArray *numbers; /* uint64_t */
  GPtrArray *rest; /* Gp__Jobs__TaskProgress, owned by the caller */
  split_id_t first;
  uint32_t next; /* one past the index of the last run in a column */
} columns_t;

static void
columns_init (columns_t *columns)
{
  memset (columns, 0, sizeof *columns);
  columns->ranges = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  columns->gaps = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  columns->runs = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  columns->numbers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  columns->rest = g_ptr_array_new ();
}

static void
columns_finish (columns_t *columns)
{
  g_array_unref (columns->ranges);
  g_array_unref (columns->gaps);
  g_array_unref (columns->runs);
  g_array_unref (columns->numbers);
  g_ptr_array_unref (columns->rest);
}

/* A range is two numbers: the count of tasks since the previous range, and the
   count of tasks in the range.  */
static void
add_done (columns_t *columns, const Gp__Jobs__Progress *progress)
{
  uint32_t next = 0;

  for (size_t i = 0; i < progress->n_done;)
    {
      uint32_t begin = progress->done[i];
      uint32_t gap = begin - next;
      uint32_t count = 0;

      while (i < progress->n_done && progress->done[i] == begin + count)
        {
          count++;
          i++;
        }
      g_array_append_val (columns->ranges, gap);
      g_array_append_val (columns->ranges, count);
      next = begin + count;
    }
}

/* Returns whether TASK has more than a run and an executor's name, so that it
   cannot be a row of the columns.  */
static bool
needs_message (const Gp__Jobs__TaskProgress *task)
{
  return task->failures > 0 || task->crashes > 0 || task->alone
         || task->in_group || task->checkpoint.len > 0 || task->stopping
         || task->done || task->executor_ref > 0;
}

/* Adds TASK to the columns if it fits.  Returns whether it did.  */
static bool
add_run (columns_t *columns, const Gp__Jobs__TaskProgress *task)
{
  split_id_t id = split (task->executor);
  uint32_t gap = task->index - columns->next;

  if (needs_message (task) || id.digits == 0 || task->index < columns->next)
    return false;
  if (columns->numbers->len == 0)
    columns->first = id;
  else if (id.digits != columns->first.digits
           || strcmp (id.prefix, columns->first.prefix) != 0)
    return false;
  columns->next = task->index + 1;
  g_array_append_val (columns->gaps, gap);
  g_array_append_val (columns->runs, task->run);
  g_array_append_val (columns->numbers, id.number);
  return true;
}

void
gp_progress_share_executors (Gp__Jobs__Progress *progress, GPtrArray *names)
{
  GHashTable *refs = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < progress->n_tasks; i++)
    {
      Gp__Jobs__TaskProgress *task = progress->tasks[i];
      guint ref;

      if (*task->executor == '\0')
        continue;
      ref = GPOINTER_TO_UINT (g_hash_table_lookup (refs, task->executor));
      if (ref == 0)
        {
          g_ptr_array_add (names, task->executor);
          ref = names->len;
          g_hash_table_insert (refs, task->executor, GUINT_TO_POINTER (ref));
        }
      task->executor_ref = ref;
      task->executor = (char *)protobuf_c_empty_string;
    }
  progress->executors = (char **)names->pdata;
  progress->n_executors = names->len;
  g_hash_table_unref (refs);
}

/* Returns by how many numbers RUNS is longer than the other columns.  */
static size_t
unpaired_runs (const Gp__Jobs__Progress *progress)
{
  return progress->n_executors > 0 ? 1 : 0;
}

GBytes *
gp_progress_pack (const Gp__Jobs__Progress *progress)
{
  const uint32_t no_run = 0;
  Gp__Jobs__Progress compact = *progress;
  columns_t columns;
  GBytes *bytes;

  columns_init (&columns);
  add_done (&columns, progress);
  for (size_t i = 0; i < progress->n_tasks; i++)
    if (!add_run (&columns, progress->tasks[i]))
      g_ptr_array_add (columns.rest, progress->tasks[i]);
  if (unpaired_runs (progress) > 0)
    g_array_append_val (columns.runs, no_run);
  compact.n_done = 0;
  compact.done_ranges = (uint32_t *)(void *)columns.ranges->data;
  compact.n_done_ranges = columns.ranges->len;
  compact.tasks = (Gp__Jobs__TaskProgress **)columns.rest->pdata;
  compact.n_tasks = columns.rest->len;
  compact.executor_prefix = columns.first.prefix;
  compact.executor_digits = columns.first.digits;
  compact.run_gaps = (uint32_t *)(void *)columns.gaps->data;
  compact.n_run_gaps = columns.gaps->len;
  compact.runs = (uint32_t *)(void *)columns.runs->data;
  compact.n_runs = columns.runs->len;
  compact.run_executors = (uint64_t *)(void *)columns.numbers->data;
  compact.n_run_executors = columns.numbers->len;
  bytes = gp_message_pack (&compact.base);
  columns_finish (&columns);
  return bytes;
}

/* Expanding.  Data that remains in a message is allocated with malloc, as
   protobuf-c does when it unpacks without an allocator.  */

static bool
check_ranges (const Gp__Jobs__Progress *progress, GError **error)
{
  uint64_t next = 0;

  if (progress->n_done_ranges % 2 != 0)
    return gp_field_fail (error, "done_ranges", "half a range");
  for (size_t i = 0; i < progress->n_done_ranges; i++)
    next += progress->done_ranges[i];
  if (next > GP_JOB_MAX_TASKS)
    return gp_field_fail (error, "done_ranges", "out of bounds");
  return true;
}

static bool
check_columns (const Gp__Jobs__Progress *progress, GError **error)
{
  uint64_t next = 0;

  if (progress->n_runs != progress->n_run_gaps + unpaired_runs (progress)
      || progress->n_run_executors != progress->n_run_gaps)
    return gp_field_fail (error, "runs", "columns of different lengths");
  if (progress->n_run_gaps == 0)
    return true;
  if (strlen (progress->executor_prefix) >= ID_MAX)
    return gp_field_fail (error, "executor_prefix", "too long");
  if (!gp_field_range (progress->executor_digits, 1, DIGITS_MAX,
                       "executor_digits", error))
    return false;
  for (size_t i = 0; i < progress->n_run_gaps; i++)
    {
      next += (uint64_t)progress->run_gaps[i] + 1;
      if (progress->run_executors[i] >> (4 * progress->executor_digits) != 0)
        return gp_field_fail (error, "run_executors", "out of bounds");
    }
  if (next > GP_JOB_MAX_TASKS)
    return gp_field_fail (error, "run_gaps", "out of bounds");
  return true;
}

static bool
check_refs (const Gp__Jobs__Progress *progress, GError **error)
{
  for (size_t i = 0; i < progress->n_tasks; i++)
    {
      const Gp__Jobs__TaskProgress *task = progress->tasks[i];

      if (task->executor_ref > progress->n_executors)
        return gp_field_fail (error, "executor_ref", "no such executor");
      if (task->executor_ref > 0 && *task->executor != '\0')
        return gp_field_fail (error, "executor_ref", "beside a name");
    }
  return true;
}

static void
expand_executors (Gp__Jobs__Progress *progress)
{
  for (size_t i = 0; i < progress->n_tasks; i++)
    {
      Gp__Jobs__TaskProgress *task = progress->tasks[i];

      if (task->executor_ref == 0)
        continue;
      if (task->executor != (char *)protobuf_c_empty_string)
        free (task->executor);
      task->executor = strdup (progress->executors[task->executor_ref - 1]);
      task->executor_ref = 0;
    }
  for (size_t i = 0; i < progress->n_executors; i++)
    free (progress->executors[i]);
  free (progress->executors);
  progress->executors = NULL;
  progress->n_executors = 0;
}

static void
expand_done (Gp__Jobs__Progress *progress)
{
  uint32_t next = 0;
  size_t count = progress->n_done;

  for (size_t i = 1; i < progress->n_done_ranges; i += 2)
    count += progress->done_ranges[i];
  progress->done = realloc (progress->done, count * sizeof *progress->done);
  for (size_t i = 0; i < progress->n_done_ranges; i += 2)
    {
      next += progress->done_ranges[i];
      for (uint32_t k = 0; k < progress->done_ranges[i + 1]; k++)
        progress->done[progress->n_done++] = next++;
    }
}

static Gp__Jobs__TaskProgress *
task_new (const Gp__Jobs__Progress *progress, size_t i, uint32_t index)
{
  Gp__Jobs__TaskProgress *task = malloc (sizeof *task);
  char id[ID_MAX + DIGITS_MAX + 1];

  gp__jobs__task_progress__init (task);
  task->index = index;
  task->run = progress->runs[i];
  g_snprintf (id, sizeof id, "%s%0*" G_GINT64_MODIFIER "x",
              progress->executor_prefix, (int)progress->executor_digits,
              progress->run_executors[i]);
  task->executor = strdup (id);
  return task;
}

static void
expand_runs (Gp__Jobs__Progress *progress)
{
  uint32_t next = 0;
  size_t count = progress->n_tasks + progress->n_run_gaps;

  progress->tasks
      = realloc (progress->tasks, count * sizeof (Gp__Jobs__TaskProgress *));
  for (size_t i = 0; i < progress->n_run_gaps; i++)
    {
      next += progress->run_gaps[i];
      progress->tasks[progress->n_tasks++] = task_new (progress, i, next++);
    }
}

bool
gp_progress_expand (Gp__Jobs__Progress *progress, GError **error)
{
  if (!check_ranges (progress, error) || !check_columns (progress, error)
      || !check_refs (progress, error))
    return false;
  expand_executors (progress);
  if (progress->n_done_ranges > 0)
    expand_done (progress);
  if (progress->n_run_gaps > 0)
    expand_runs (progress);
  progress->n_done_ranges = 0;
  progress->n_run_gaps = 0;
  progress->n_runs = 0;
  progress->n_run_executors = 0;
  return true;
}

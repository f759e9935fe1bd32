/* Tests of the compact form of progress: expanding returns what was packed,
   for random jobs, and records that this product never writes are refused.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "jobs/progress_compact.h"
#include "jobs/records.h"
#include "protocol/message.h"
#include "runner.h"

#define TASKS_MAX 160
#define ROUNDS 3000

typedef struct
{
  Gp__Jobs__Progress message;
  Gp__Jobs__TaskProgress tasks[TASKS_MAX];
  Gp__Jobs__TaskProgress *rows[TASKS_MAX];
  uint32_t done[TASKS_MAX];
  char executors[TASKS_MAX][80];
} progress_t;

static const char *const prefixes[] = { "i-", "w1-", "", "executor-of-a-vm-" };

static void
choose_executor (GRand *random, char *id, size_t size, bool alike)
{
  const char *prefix
      = alike ? "i-" : prefixes[g_rand_int_range (random, 0, 4)];

  switch (alike ? 0 : g_rand_int_range (random, 0, 5))
    {
    case 0:
    case 1:
      g_snprintf (id, size, "%s%08x%02x", prefix, g_rand_int (random),
                  g_rand_int_range (random, 0, 256));
      break;
    case 2:
      g_snprintf (id, size, "%s%d", prefix, g_rand_int_range (random, 0, 99));
      break;
    case 3:
      g_snprintf (id, size, "%sno number", prefix);
      break;
    default:
      g_snprintf (id, size, "%s%08x%08x%08x%08x", prefix, g_rand_int (random),
                  g_rand_int (random), g_rand_int (random),
                  g_rand_int (random));
    }
}

/* Draws a job with COUNT tasks; ALIKE: all of them fit into columns.  */
static void
draw_progress (progress_t *progress, GRand *random, uint32_t count, bool alike)
{
  gp__jobs__progress__init (&progress->message);
  progress->message.state = 1;
  progress->message.done = progress->done;
  progress->message.tasks = progress->rows;
  for (uint32_t i = 0; i < count; i++)
    {
      size_t at = progress->message.n_tasks;
      Gp__Jobs__TaskProgress *task = &progress->tasks[at];

      if (g_rand_int_range (random, 0, 72) < 32)
        {
          progress->done[progress->message.n_done++] = i;
          continue;
        }
      if (g_rand_int_range (random, 0, 40) >= 15)
        continue;
      gp__jobs__task_progress__init (task);
      task->index = i;
      task->run = 1;
      choose_executor (random, progress->executors[at],
                       sizeof progress->executors[at], alike);
      task->executor = progress->executors[at];
      if (!alike && g_rand_int_range (random, 0, 5) == 0)
        {
          task->run = g_rand_int_range (random, 1, 100000);
          task->failures = g_rand_int_range (random, 0, 3);
          task->crashes = (uint32_t)g_rand_int_range (random, 0, 3);
          task->alone = g_rand_boolean (random);
          task->stopping = g_rand_boolean (random);
          task->checkpoint.data = (uint8_t *)"00000bb87a21d94b";
          task->checkpoint.len = g_rand_boolean (random) ? 16 : 0;
          task->failed_run = task->failures;
          task->done = !task->stopping && g_rand_boolean (random);
        }
      progress->rows[at] = task;
      progress->message.n_tasks++;
    }
}

static int
by_index (const void *a, const void *b)
{
  const Gp__Jobs__TaskProgress *const *first = a;
  const Gp__Jobs__TaskProgress *const *second = b;

  return (*first)->index < (*second)->index ? -1 : 1;
}

/* Returns whether PROGRESS, in the order of its tasks, is EXPECTED unpacked.
 */
static bool
is_same (GBytes *expected, Gp__Jobs__Progress *progress)
{
  GBytes *bytes;
  bool same;

  if (progress->n_tasks > 0)
    qsort (progress->tasks, progress->n_tasks, sizeof (void *), by_index);
  progress->executor_prefix = (char *)protobuf_c_empty_string;
  progress->executor_digits = 0;
  bytes = gp_message_pack (&progress->base);
  same = g_bytes_equal (expected, bytes);
  g_bytes_unref (bytes);
  return same;
}

/* Packs random records, in the form that names each executor once if SHARED,
   and reads them.  */
static void
read_random (bool shared)
{
  GRand *random = g_rand_new_with_seed (1);
  progress_t *progress = g_new (progress_t, 1);

  for (int i = 0; i < ROUNDS; i++)
    {
      uint32_t count = (uint32_t)g_rand_int_range (random, 1, TASKS_MAX);
      GBytes *bytes;
      gsize size;
      const uint8_t *data;
      Gp__Jobs__Progress *read;
      GBytes *expected;
      GPtrArray *names;
      char *prefix;

      draw_progress (progress, random, count, false);
      if (progress->message.n_done + progress->message.n_tasks == 0)
        continue;
      expected = gp_message_pack (&progress->message.base);
      names = g_ptr_array_new ();
      if (shared)
        gp_progress_share_executors (&progress->message, names);
      bytes = gp_progress_pack (&progress->message);
      data = g_bytes_get_data (bytes, &size);
      read = gp_record_progress (data, size, NULL);
      CU_ASSERT_PTR_NOT_NULL_FATAL (read);
      if (read == NULL)
        return;
      prefix = read->executor_prefix;
      CU_ASSERT_TRUE_FATAL (is_same (expected, read));
      read->executor_prefix = prefix;
      gp__jobs__progress__free_unpacked (read, NULL);
      g_bytes_unref (bytes);
      g_bytes_unref (expected);
      g_ptr_array_unref (names);
    }
  g_rand_free (random);
  g_free (progress);
  printf ("%d random records are read as they were packed\n", ROUNDS);
}

static void
test_random (void)
{
  read_random (false);
  read_random (true);
}

/* Jobs as on a busy site: 72 tasks, on average 32 done and 15 running.  */
static void
test_size (void)
{
  GRand *random = g_rand_new_with_seed (2);
  progress_t *progress = g_new (progress_t, 1);
  size_t plain = 0;
  size_t compact = 0;

  for (int i = 0; i < 1000; i++)
    {
      GBytes *bytes;

      draw_progress (progress, random, 72, true);
      plain += gp__jobs__progress__get_packed_size (&progress->message);
      bytes = gp_progress_pack (&progress->message);
      compact += g_bytes_get_size (bytes);
      g_bytes_unref (bytes);
    }
  printf ("a record of 72 tasks: %zu bytes plain, %zu compact\n", plain / 1000,
          compact / 1000);
  CU_ASSERT_TRUE (compact * 100 < plain * 55);
  g_rand_free (random);
  g_free (progress);
}

static void
print_result (const char *name, Gp__Jobs__Progress *progress)
{
  GBytes *bytes = gp_message_pack (&progress->base);
  gsize size;
  const uint8_t *data = g_bytes_get_data (bytes, &size);
  GError *error = NULL;
  Gp__Jobs__Progress *read = gp_record_progress (data, size, &error);

  printf ("%s: %s\n", name, error != NULL ? error->message : "taken");
  g_clear_error (&error);
  if (read != NULL)
    gp__jobs__progress__free_unpacked (read, NULL);
  g_bytes_unref (bytes);
}

static void
test_refused (void)
{
  uint32_t ranges[] = { 1, 2, 0xffffffff, 0xffffffff };
  uint32_t gaps[] = { 0, 0xffffffff };
  uint32_t runs[] = { 1, 1 };
  uint64_t executors[] = { 0xab, UINT64_MAX };
  uint32_t done[] = { 0 };
  Gp__Jobs__Progress progress = GP__JOBS__PROGRESS__INIT;

  progress.state = 1;
  progress.done_ranges = ranges;
  progress.n_done_ranges = 2;
  print_result ("a range", &progress);
  progress.n_done_ranges = 1;
  print_result ("half a range", &progress);
  progress.n_done_ranges = 4;
  print_result ("a range beyond all tasks", &progress);
  progress.n_done_ranges = 0;
  progress.run_gaps = gaps;
  progress.runs = runs;
  progress.run_executors = executors;
  progress.executor_prefix = "i-";
  progress.executor_digits = 2;
  progress.n_run_gaps = progress.n_runs = progress.n_run_executors = 1;
  print_result ("a run", &progress);
  progress.done = done;
  progress.n_done = 1;
  print_result ("a run of a task that is done", &progress);
  progress.n_done = 0;
  progress.executor_digits = 1;
  print_result ("a number of too many digits", &progress);
  progress.executor_digits = 16;
  print_result ("too many digits", &progress);
  progress.executor_digits = 0;
  print_result ("no digits", &progress);
  progress.executor_digits = 15;
  progress.n_runs = 2;
  print_result ("columns of different lengths", &progress);
  progress.n_run_gaps = progress.n_run_executors = 2;
  print_result ("a number out of bounds", &progress);
  executors[1] = 0;
  print_result ("a task beyond all", &progress);
  gaps[1] = 0;
  runs[1] = 0;
  print_result ("a run without a number", &progress);
}

/* References to executors that this product never writes.  A record with names
   but without an unpaired run would be read by an earlier version, which does
   not know the names, as one of tasks that wait.  */
static void
test_refused_refs (void)
{
  char *names[] = { "i-1", "i-2" };
  uint32_t runs[] = { 0 };
  Gp__Jobs__TaskProgress task = GP__JOBS__TASK_PROGRESS__INIT;
  Gp__Jobs__TaskProgress *tasks[] = { &task };
  Gp__Jobs__Progress progress = GP__JOBS__PROGRESS__INIT;

  task.run = 1;
  task.executor_ref = 2;
  progress.state = 1;
  progress.tasks = tasks;
  progress.n_tasks = 1;
  progress.executors = names;
  progress.n_executors = 2;
  print_result ("a reference without an unpaired run", &progress);
  progress.runs = runs;
  progress.n_runs = 1;
  print_result ("a reference", &progress);
  task.executor = "i-1";
  print_result ("a reference and a name", &progress);
  task.executor = (char *)protobuf_c_empty_string;
  task.executor_ref = 3;
  print_result ("a reference beyond the names", &progress);
  progress.n_executors = 0;
  progress.n_runs = 0;
  print_result ("a reference without names", &progress);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "random", test_random },
                                 { "size", test_size },
                                 { "refused", test_refused },
                                 { "refused references", test_refused_refs },
                                 CU_TEST_INFO_NULL };

  return runner_main ("progress compact", tests);
}

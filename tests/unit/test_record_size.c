/* Tests that the record of a job's progress never outgrows what the log
   accepts.  Guards against a job that stops all others: its record was refused
   for its size, and the leader repeated the append for ever.  */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobs_site.h"
#include "runner.h"

#define JOB "00000000000000aa"
#define RECORD_BYTES 262144
/* The fields of a checkpoint and of a row that grow with it: a tag, two bytes
   of the checkpoint's length and one more of the row's.  */
#define CHECKPOINT_OVERHEAD 4

/* Executors with names of NAME_SIZE characters.  */
typedef struct
{
  unsigned count;
  unsigned name_size;
} fleet_t;

static const fleet_t one_executor = { 1, 10 };

static gp_job_executor_t *
add_executor (jobs_site_t *site, const fleet_t *fleet, unsigned number)
{
  char *name = g_strdup_printf ("i-%0*x", (int)fleet->name_size - 2, number);
  gp_job_executor_t *executor = jobs_site_executor (site, name, 1000);

  g_free (name);
  return executor;
}

/* Returns a job of TASKS tasks that have failed once, each with a checkpoint
   of CHECKPOINT_SIZE bytes, and run again, spread over FLEET.  */
static gp_job_t *
make_job (jobs_site_t *site, unsigned tasks, size_t checkpoint_size,
          const fleet_t *fleet)
{
  Gp__Jobs__Submission *submission = jobs_site_submission (tasks, 1);
  gp_job_executor_t **executors = g_new (gp_job_executor_t *, fleet->count);
  gp_job_t *job;

  jobs_site_init (site);
  for (unsigned i = 0; i < fleet->count; i++)
    executors[i] = add_executor (site, fleet, i);
  job = jobs_site_submit (site, JOB, submission);
  for (uint32_t i = 0; i < job->task_count; i++)
    {
      gp_job_task_t *task = gp_job_task (job, i);
      gp_job_executor_t *executor = executors[i % fleet->count];

      task->run = 2;
      task->failures = 1;
      task->failed_run = 1;
      if (checkpoint_size > 0)
        task->checkpoint = g_strnfill (checkpoint_size, 'c');
      gp_task_set_state (task, GP_TASK_ASSIGNED);
      gp_job_executor_add (executor, task);
    }
  job->state = GP_JOB_RUNNING;
  g_free (executors);
  return job;
}

/* Checks that BYTES are a valid record of JOB with everything but LEFT_OUT
   checkpoints.  */
static void
check_record (gp_job_t *job, GBytes *bytes, unsigned left_out)
{
  jobs_site_t other;
  gsize size;
  const uint8_t *data = g_bytes_get_data (bytes, &size);
  gp_job_t *read;
  unsigned lacking = 0;

  jobs_site_init (&other);
  jobs_site_submit (&other, JOB, jobs_site_submission (job->task_count, 1));
  read = gp_book_progress (&other.book, JOB, data, size, NULL);
  CU_ASSERT_PTR_NOT_NULL (read);
  if (read == NULL)
    return;
  for (uint32_t i = 0; i < read->task_count; i++)
    {
      const gp_job_task_t *task = gp_job_task (read, i);

      CU_ASSERT_EQUAL (task->run, 2);
      CU_ASSERT_EQUAL (task->failures, 1);
      CU_ASSERT_PTR_NOT_NULL (task->executor);
      if (task->executor != NULL)
        CU_ASSERT_STRING_EQUAL (task->executor->id,
                                gp_job_task (job, i)->executor->id);
      lacking += task->checkpoint == NULL
                 && gp_job_task (job, i)->checkpoint != NULL;
      if (task->checkpoint != NULL)
        CU_ASSERT_STRING_EQUAL (task->checkpoint,
                                gp_job_task (job, i)->checkpoint);
    }
  CU_ASSERT_EQUAL (lacking, left_out);
  jobs_site_finish (&other);
}

/* Packs the record of a job of TASKS tasks with checkpoints of CHECKPOINT_SIZE
   bytes on FLEET, and checks it.  */
static void
check_job (unsigned tasks, size_t checkpoint_size, const fleet_t *fleet)
{
  jobs_site_t site;
  gp_job_t *job = make_job (&site, tasks, checkpoint_size, fleet);
  GBytes *whole = gp_book_pack (job);
  unsigned left_out;
  GBytes *bytes = gp_book_pack_within (job, RECORD_BYTES, &left_out);
  size_t size = g_bytes_get_size (bytes);
  bool fits = g_bytes_get_size (whole) <= RECORD_BYTES;

  printf ("%u tasks, checkpoints of %zu: %s, %u left out\n", tasks,
          checkpoint_size, fits ? "fits" : "does not fit", left_out);
  CU_ASSERT (size <= RECORD_BYTES);
  if (fits)
    CU_ASSERT (left_out == 0 && g_bytes_equal (whole, bytes));
  if (left_out > 0)
    CU_ASSERT (size + checkpoint_size + CHECKPOINT_OVERHEAD > RECORD_BYTES);
  check_record (job, bytes, left_out);
  g_bytes_unref (bytes);
  g_bytes_unref (whole);
  jobs_site_finish (&site);
}

static void
test_sizes (void)
{
  static const unsigned tasks[] = { 10, 64, 180, 500, 4900, 5000 };
  static const size_t sizes[] = { 16, 32, 1600, 4096 };

  for (unsigned i = 0; i < G_N_ELEMENTS (tasks); i++)
    for (unsigned k = 0; k < G_N_ELEMENTS (sizes); k++)
      check_job (tasks[i], sizes[k], &one_executor);
}

/* Guards against a job whose record is too large even without checkpoints, as
   each of its tasks has the name of its executor: such a record is never
   written, and the job never ends.  */
static void
test_long_names (void)
{
  static const fleet_t fleets[]
      = { { 1, 45 }, { 1, 1024 }, { 11, 1024 }, { 160, 1024 }, { 3600, 45 } };

  for (unsigned i = 0; i < G_N_ELEMENTS (fleets); i++)
    {
      printf ("%u executors, names of %u:\n", fleets[i].count,
              fleets[i].name_size);
      check_job (5000, 0, &fleets[i]);
      check_job (5000, 16, &fleets[i]);
    }
}

/* The record just fits with the names of executors in each row, then with
   references to them, then without a checkpoint.  */
static void
test_limit (void)
{
  jobs_site_t site;
  gp_job_t *job = make_job (&site, 100, 100, &one_executor);
  GBytes *whole = gp_book_pack (job);
  size_t limit = g_bytes_get_size (whole);

  for (unsigned expected = 0; expected < 3; expected++)
    {
      unsigned left_out;
      GBytes *bytes = gp_book_pack_within (job, limit, &left_out);
      size_t size = g_bytes_get_size (bytes);

      CU_ASSERT_EQUAL (size == limit, expected == 0);
      CU_ASSERT (size <= limit);
      CU_ASSERT_EQUAL (left_out, expected == 2);
      check_record (job, bytes, left_out);
      limit = size - 1;
      g_bytes_unref (bytes);
    }
  g_bytes_unref (whole);
  jobs_site_finish (&site);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "sizes", test_sizes },
                                 { "long names", test_long_names },
                                 { "limit", test_limit },
                                 CU_TEST_INFO_NULL };

  return runner_main ("record size", tests);
}

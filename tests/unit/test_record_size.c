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
#define EXECUTOR "i-7f3a91c2"

/* Returns a job of TASKS tasks that have failed once, each with a checkpoint
   of CHECKPOINT_SIZE bytes, and run again.  */
static gp_job_t *
make_job (jobs_site_t *site, unsigned tasks, size_t checkpoint_size)
{
  Gp__Jobs__Submission *submission = jobs_site_submission (tasks, 1);
  gp_job_executor_t *executor;
  gp_job_t *job;

  jobs_site_init (site);
  executor = jobs_site_executor (site, EXECUTOR, 1000);
  job = jobs_site_submit (site, JOB, submission);
  for (uint32_t i = 0; i < job->task_count; i++)
    {
      gp_job_task_t *task = &job->tasks[i];

      task->run = 2;
      task->failures = 1;
      task->failed_run = 1;
      task->checkpoint = g_strnfill (checkpoint_size, 'c');
      gp_task_set_state (task, GP_TASK_ASSIGNED);
      gp_job_executor_add (executor, task);
    }
  job->state = GP_JOB_RUNNING;
  return job;
}

/* Checks that BYTES are a valid record of JOB with everything but LEFT_OUT
   checkpoints.  */
static void
check_record (const gp_job_t *job, GBytes *bytes, unsigned left_out)
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
      const gp_job_task_t *task = &read->tasks[i];

      CU_ASSERT_EQUAL (task->run, 2);
      CU_ASSERT_EQUAL (task->failures, 1);
      CU_ASSERT_PTR_NOT_NULL (task->executor);
      lacking += task->checkpoint == NULL;
      if (task->checkpoint != NULL)
        CU_ASSERT_STRING_EQUAL (task->checkpoint, job->tasks[i].checkpoint);
    }
  CU_ASSERT_EQUAL (lacking, left_out);
  jobs_site_finish (&other);
}

static void
test_sizes (void)
{
  static const unsigned tasks[] = { 10, 64, 180, 500, 4900, 5000 };
  static const size_t sizes[] = { 16, 32, 1600, 4096 };

  for (unsigned i = 0; i < G_N_ELEMENTS (tasks); i++)
    for (unsigned k = 0; k < G_N_ELEMENTS (sizes); k++)
      {
        jobs_site_t site;
        gp_job_t *job = make_job (&site, tasks[i], sizes[k]);
        GBytes *whole = gp_book_pack (job);
        unsigned left_out;
        GBytes *bytes = gp_book_pack_within (job, RECORD_BYTES, &left_out);
        bool fits = g_bytes_get_size (whole) <= RECORD_BYTES;

        printf ("%u tasks, checkpoints of %zu: %s, %u left out\n", tasks[i],
                sizes[k], fits ? "fits" : "does not fit", left_out);
        CU_ASSERT (g_bytes_get_size (bytes) <= RECORD_BYTES);
        CU_ASSERT_EQUAL (left_out == 0, fits);
        if (fits)
          CU_ASSERT (g_bytes_equal (whole, bytes));
        check_record (job, bytes, left_out);
        g_bytes_unref (bytes);
        g_bytes_unref (whole);
        jobs_site_finish (&site);
      }
}

/* The record just fits, or lacks one byte.  */
static void
test_limit (void)
{
  jobs_site_t site;
  gp_job_t *job = make_job (&site, 100, 100);
  GBytes *whole = gp_book_pack (job);
  size_t size = g_bytes_get_size (whole);

  for (size_t limit = size - 1; limit <= size + 1; limit++)
    {
      unsigned left_out;
      GBytes *bytes = gp_book_pack_within (job, limit, &left_out);

      CU_ASSERT (g_bytes_get_size (bytes) <= limit);
      CU_ASSERT_EQUAL (left_out == 0, limit >= size);
      g_bytes_unref (bytes);
    }
  g_bytes_unref (whole);
  jobs_site_finish (&site);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "sizes", test_sizes },
                                 { "limit", test_limit },
                                 CU_TEST_INFO_NULL };

  return runner_main ("record size", tests);
}

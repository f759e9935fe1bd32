/* Tests the decoders of records and frames with bytes that another writer may
   have written, and that an unreadable record affects nothing else.
   test_records --corpus DIR writes the cases as inputs for
   tests/fuzz/fuzz_records.c.  */

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "jobs/frames.h"
#include "jobs/records.h"
#include "jobs_site.h"
#include "protocol/message.h"
#include "record_cases.h"
#include "runner.h"

#define JOB RECORD_CASES_JOB
#define NOW GP_SEC

static const gp_book_position_t in_order = { .offset = 1 };
static const gp_book_position_t in_load = { .offset = 1, .loading = true };

/* Decodes a frame; the reasons go to REFUSED and ERROR.  */
static bool
parse_frame (const uint8_t *bytes, size_t size, GError **refused,
             GError **error)
{
  Gp__Jobs__Frame *frame = gp_frame_parse (bytes, size, NOW, refused, error);

  if (frame == NULL)
    return false;
  gp__jobs__frame__free_unpacked (frame, NULL);
  return true;
}

/* Decodes the first SIZE bytes of a record's value.  */
static bool
parse_record (const record_case_t *one, size_t size, gp_record_t *record,
              GError **error)
{
  const uint8_t *value = g_bytes_get_data (one->value, NULL);
  size_t key_size = strlen (one->key);

  if (one->kind == RECORD_CASE_JOB)
    return gp_record_parse_job (record, one->key, key_size, value, size,
                                error);
  if (one->kind == RECORD_CASE_NODE)
    return gp_record_parse_node (record, one->key, key_size, value, size,
                                 error);
  return gp_record_parse_progress (record, one->key, key_size, value, size,
                                   error);
}

/* Decodes the first SIZE bytes of the value of ONE.  */
static bool
parse (const record_case_t *one, size_t size, GError **refused, GError **error)
{
  gp_record_t record;
  bool taken;

  if (one->kind == RECORD_CASE_FRAME)
    return parse_frame (g_bytes_get_data (one->value, NULL), size, refused,
                        error);
  taken = parse_record (one, size, &record, error);
  *refused = g_steal_pointer (&record.refused);
  gp_record_finish (&record);
  return taken;
}

static void
print_case (const record_case_t *one)
{
  GError *refused = NULL;
  GError *error = NULL;
  bool taken = parse (one, g_bytes_get_size (one->value), &refused, &error);

  CU_ASSERT_EQUAL (taken, error == NULL);
  printf ("  %.24s%s%s: %s", one->key, *one->key != '\0' ? ", " : "",
          one->name, error == NULL ? "taken" : error->message);
  if (refused != NULL)
    printf (", without %s", refused->message);
  putchar ('\n');
  g_clear_error (&refused);
  g_clear_error (&error);
}

static void
test_cases (void)
{
  static const char *const titles[]
      = { "records of jobs", "records of progress", "records of nodes",
          "frames" };
  GArray *cases = record_cases_new ();
  int kind = -1;

  for (guint i = 0; i < cases->len; i++)
    {
      const record_case_t *one = &g_array_index (cases, record_case_t, i);

      if ((int)one->kind != kind)
        printf ("%s\n", titles[one->kind]);
      kind = (int)one->kind;
      print_case (one);
    }
  g_array_unref (cases);
}

/* Each prefix of a complete record is refused, or is a complete record itself:
   with fewer rows, or without optional fields at its end.  */
static void
test_cut (void)
{
  GArray *cases = record_cases_new ();
  unsigned taken = 0;
  unsigned refused = 0;

  for (guint i = 0; i < cases->len; i++)
    {
      const record_case_t *one = &g_array_index (cases, record_case_t, i);

      for (size_t size = 0; size < g_bytes_get_size (one->value); size++)
        {
          GError *row = NULL;
          GError *error = NULL;

          if (parse (one, size, &row, &error))
            taken++;
          else
            refused++;
          CU_ASSERT_EQUAL (row != NULL && error != NULL, false);
          g_clear_error (&row);
          g_clear_error (&error);
        }
    }
  printf ("beginnings of records: %u taken, %u refused\n", taken, refused);
  g_array_unref (cases);
}

/* Sets up a site with the job JOB, of 3 tasks, running on x0.  */
static gp_job_t *
start_job (jobs_site_t *site)
{
  gp_job_t *job;

  jobs_site_init (site);
  jobs_site_executor (site, "x0", 8);
  job = jobs_site_submit (site, JOB, jobs_site_submission (3, 1000));
  CU_ASSERT_PTR_NOT_NULL_FATAL (job);
  jobs_site_plan (site);
  return job;
}

static void
print_job (const char *when, gp_job_t *job)
{
  if (job == NULL)
    {
      printf ("  %s: unknown\n", when);
      return;
    }
  printf ("  %s: %s%s%s,", when, gp_job_state_name (job->state),
          gp_job_is_readable (job) ? "" : ", unreadable",
          job->newest_unreadable ? ", overwritten" : "");
  for (uint32_t i = 0; i < job->task_count; i++)
    printf (" %s/%u",
            gp_job_task (job, i)->executor ? gp_job_task (job, i)->executor->id
                                           : "-",
            gp_job_task (job, i)->run);
  putchar ('\n');
}

/* Returns progress of JOB with one task, INDEX, running on EXECUTOR as run
   1.  */
static Gp__Jobs__Progress *
make_progress (const char *executor, uint32_t index)
{
  Gp__Jobs__Progress progress = GP__JOBS__PROGRESS__INIT;
  Gp__Jobs__TaskProgress task = GP__JOBS__TASK_PROGRESS__INIT;
  Gp__Jobs__TaskProgress *tasks[] = { &task };
  Gp__Jobs__Progress *copy;
  GBytes *bytes;
  gsize size;
  const uint8_t *data;

  task.index = index;
  task.run = 1;
  task.executor = (char *)executor;
  progress.state = GP_JOB_RUNNING;
  progress.tasks = tasks;
  progress.n_tasks = 1;
  bytes = gp_message_pack (&progress.base);
  data = g_bytes_get_data (bytes, &size);
  copy = gp_record_progress (data, size, NULL);
  g_bytes_unref (bytes);
  return copy;
}

/* Applies such progress and prints why it is refused.  */
static void
apply_progress (jobs_site_t *site, const char *executor, uint32_t index,
                bool loading)
{
  static uint64_t offset = 100;
  const gp_book_position_t place = { .offset = offset++, .loading = loading };
  GError *error = NULL;

  if (gp_book_apply_progress (&site->book, JOB,
                              make_progress (executor, index), place, &error)
      == NULL)
    printf ("  refused: %s\n", error->message);
  g_clear_error (&error);
}

/* If a record in the order of the log is unreadable, the earlier one remains
   valid; the next leader writes it again.  */
static void
test_overwritten (void)
{
  jobs_site_t site;
  gp_job_t *job = start_job (&site);

  printf ("progress that is overwritten\n");
  print_job ("before", job);
  gp_book_refuse_progress (&site.book, JOB, in_order);
  print_job ("unreadable bytes", job);
  apply_progress (&site, "x1", 3, false);
  print_job ("a task beyond the job", job);
  CU_ASSERT_FALSE (gp_list_empty (&job->link));
  gp_scheduler_reset (&site.scheduler);
  gp_scheduler_rewrite (&site.scheduler, job);
  CU_ASSERT_FALSE (gp_list_empty (&job->dirty_link));
  print_job ("written again", job);
  jobs_site_finish (&site);
}

/* If no earlier record was seen, the runs are unknown: none is started until
   the progress can be read or the job is cancelled.  */
static void
test_unreadable_progress (void)
{
  jobs_site_t site;
  gp_job_t *job;

  jobs_site_init (&site);
  jobs_site_executor (&site, "x0", 8);
  printf ("progress that was never read\n");
  gp_book_refuse_progress (&site.book, JOB, in_load);
  job = jobs_site_submit (&site, JOB, jobs_site_submission (3, 1000));
  jobs_site_plan (&site);
  print_job ("planned", job);
  CU_ASSERT_EQUAL (gp_book_pending (&site.book, "queue"), 0);
  apply_progress (&site, "x0", 1, false);
  jobs_site_plan (&site);
  print_job ("readable again", job);
  gp_book_refuse_progress (&site.book, JOB, in_load);
  print_job ("unreadable in a new load", job);
  job->cancelled = true;
  gp_scheduler_job_changed (&site.scheduler, job, 1000);
  print_job ("cancelled", job);
  jobs_site_finish (&site);
}

/* Progress that arrives first and does not belong to this job has the same
   effect.  */
static void
test_early_progress (void)
{
  jobs_site_t site;
  gp_job_t *job;

  jobs_site_init (&site);
  jobs_site_executor (&site, "x0", 8);
  printf ("early progress that is not of this job\n");
  apply_progress (&site, "x0", 3, true);
  job = jobs_site_submit (&site, JOB, jobs_site_submission (3, 1000));
  CU_ASSERT_PTR_NULL (job);
  job = gp_book_find (&site.book, JOB);
  jobs_site_plan (&site);
  print_job ("planned", job);
  jobs_site_finish (&site);
}

/* Run numbers never go back: a record that omits a run would cause it to be
   started twice.  Records that were read already change nothing.  */
static void
test_goes_back (void)
{
  jobs_site_t site;
  gp_job_t *job = start_job (&site);
  Gp__Jobs__Progress *older;

  printf ("progress that goes back\n");
  apply_progress (&site, "x1", 0, false);
  print_job ("two runs forgotten", job);
  older = make_progress ("x1", 0);
  job->progress_end = 10;
  CU_ASSERT_PTR_EQUAL (
      gp_book_apply_progress (&site.book, JOB, older, in_order, NULL), job);
  print_job ("an older record", job);
  gp_book_end (job, GP_JOB_COMPLETED, 1000);
  apply_progress (&site, "x1", 0, false);
  print_job ("after the end", job);
  jobs_site_finish (&site);
}

/* A run on an executor that no guard has reported stays there: nothing proves
   that it is not running.  */
static void
test_ghost (void)
{
  jobs_site_t site;
  gp_job_t *job;

  printf ("a run on an executor that nobody has reported\n");
  jobs_site_init (&site);
  jobs_site_executor (&site, "x0", 8);
  job = jobs_site_submit (&site, JOB, jobs_site_submission (3, 1000));
  apply_progress (&site, "ghost", 1, false);
  jobs_site_plan (&site);
  print_job ("planned", job);
  CU_ASSERT_EQUAL (gp_job_task (job, 1)->state, GP_TASK_ASSIGNED);
  jobs_site_finish (&site);
}

/* A submission that cannot be read neither blocks the ends of other jobs nor
   makes its own job unknown; a second submission by the caller is
   accepted.  */
static void
test_unreadable_submission (void)
{
  Gp__Jobs__End end = GP__JOBS__END__INIT;
  char task[] = JOB ".0.0.1";
  gp_job_executor_t *executor;
  jobs_site_t site;
  gp_job_t *job;

  jobs_site_init (&site);
  executor = jobs_site_executor (&site, "x0", 8);
  apply_progress (&site, "x0", 1, true);
  end.number = 1;
  end.task = task;
  end.run = 1;
  CU_ASSERT_FALSE (
      gp_scheduler_run_ended (&site.scheduler, executor, &end, site.now, 0));
  gp_book_refuse_submission (&site.book, JOB);
  CU_ASSERT_TRUE (
      gp_scheduler_run_ended (&site.scheduler, executor, &end, site.now, 0));
  job = gp_book_find (&site.book, JOB);
  CU_ASSERT_PTR_NOT_NULL_FATAL (job);
  printf ("a submission that cannot be read\n");
  print_job ("refused", job);
  job = jobs_site_submit (&site, JOB, jobs_site_submission (3, 1000));
  CU_ASSERT_PTR_NOT_NULL_FATAL (job);
  print_job ("submitted again", job);
  gp_book_refuse_submission (&site.book, JOB);
  print_job ("overwritten", job);
  jobs_site_finish (&site);
}

/* What this product writes is accepted: the progress of a job in each
   state.  */
static void
test_own (void)
{
  jobs_site_t site;
  gp_job_t *job = start_job (&site);
  gp_book_t fresh;

  for (int i = 0; i < 3; i++)
    {
      jobs_site_run_ended (&site, gp_job_task (job, i), GP_END_DONE);
      gp_book_init (&fresh);
      jobs_site_rebuild_book (&site, &fresh);
      CU_ASSERT_PTR_NOT_NULL_FATAL (gp_book_find (&fresh, JOB));
      CU_ASSERT_EQUAL (gp_book_find (&fresh, JOB)->state, job->state);
      CU_ASSERT_EQUAL (gp_book_find (&fresh, JOB)->done_count,
                       i < 2 ? job->done_count : 0);
      gp_book_finish (&fresh);
    }
  jobs_site_finish (&site);
}

/* Writes each case as an input for the fuzz target: its kind, the size of its
   key, the key and the value.  */
static int
write_corpus (const char *directory)
{
  GArray *cases = record_cases_new ();
  int status = 0;

  for (guint i = 0; i < cases->len; i++)
    {
      const record_case_t *one = &g_array_index (cases, record_case_t, i);
      GByteArray *input = g_byte_array_new ();
      char *path = g_strdup_printf ("%s/case-%03u", directory, i);
      const uint8_t head[]
          = { (uint8_t)one->kind, (uint8_t)MIN (strlen (one->key), 255) };

      g_byte_array_append (input, head, sizeof head);
      g_byte_array_append (input, (const uint8_t *)one->key, head[1]);
      g_byte_array_append (input, g_bytes_get_data (one->value, NULL),
                           (guint)g_bytes_get_size (one->value));
      if (!g_file_set_contents (path, (const char *)input->data,
                                (gssize)input->len, NULL))
        status = 1;
      g_byte_array_unref (input);
      g_free (path);
    }
  g_array_unref (cases);
  return status;
}

int
main (int argc, char **argv)
{
  static CU_TestInfo tests[]
      = { { "cases", test_cases },
          { "cut", test_cut },
          { "overwritten", test_overwritten },
          { "unreadable_progress", test_unreadable_progress },
          { "early_progress", test_early_progress },
          { "goes_back", test_goes_back },
          { "ghost", test_ghost },
          { "unreadable_submission", test_unreadable_submission },
          { "own", test_own },
          CU_TEST_INFO_NULL };

  if (argc == 3 && strcmp (argv[1], "--corpus") == 0)
    return write_corpus (argv[2]);
  return runner_main ("records", tests);
}

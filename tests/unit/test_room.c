/* Tests of the record of room: its sums against a plain twin over random
   books, when it is written, and what is learned about its forecasts.  Guards
   against sums that drift from the book, records that cost an append more than
   needed, and errors of faults or of batch work that refuse quick jobs.  */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "jobs/room.h"
#include "jobs_site.h"
#include "protocol/message.h"
#include "runner.h"

#define SEEDS 40

static gp_job_t *
submit (jobs_site_t *site, unsigned number, uint32_t priority, bool fills,
        unsigned count)
{
  Gp__Jobs__Submission *submission = jobs_site_submission (count, 1000);
  char id[GP_JOB_ID_SIZE + 1];

  submission->priority = priority;
  submission->steps[0]->fills = fills;
  g_snprintf (id, sizeof id, "%016x", number);
  return jobs_site_submit (site, id, submission);
}

static const Gp__Jobs__Room *
make (gp_room_t *room, jobs_site_t *site)
{
  const Gp__Jobs__Room *record
      = gp_room_make (room, &site->book, &site->scheduler.forecast, site->now);

  if (record != NULL)
    CU_ASSERT_TRUE (gp_room_check (record, NULL));
  return record;
}

/* The twin: the work of PRIORITY and the higher ones, task by task, in
   milliseconds of one core.  */
static uint64_t
plain_work (const jobs_site_t *site, uint32_t priority, bool fills)
{
  uint64_t halves = 0;

  GP_LIST_FOREACH (link, &site->book.live)
  {
    gp_job_t *job = GP_CONTAINER_OF (link, gp_job_t, link);

    if (job->cancelled || job->submission->priority > priority
        || job->submission->steps[0]->fills != fills)
      continue;
    for (uint32_t i = 0; i < job->task_count; i++)
      if (gp_job_task (job, i)->state == GP_TASK_WAITING)
        halves += 2;
      else if (gp_job_task (job, i)->state != GP_TASK_DONE)
        halves++;
  }
  return halves * 500;
}

/* Tasks take a second, so half of one is half a second of work.  */
static void
check_sums (const jobs_site_t *site, const Gp__Jobs__Room *record)
{
  for (size_t i = 0; i < record->n_backlogs; i++)
    {
      const Gp__Jobs__Backlog *row = record->backlogs[i];

      CU_ASSERT_EQUAL (row->reserved_ms,
                       plain_work (site, row->priority, false));
      CU_ASSERT_EQUAL (row->filling_ms,
                       plain_work (site, row->priority, true));
    }
}

static void
change_book (jobs_site_t *site, GRand *random, unsigned number)
{
  gp_job_t *job = submit (
      site, number, (uint32_t)g_rand_int_range (random, 0, 3),
      g_rand_boolean (random), (unsigned)g_rand_int_range (random, 1, 9));

  if (g_rand_int_range (random, 0, 4) == 0)
    gp_book_cancel (&site->book, job->id);
  jobs_site_plan (site);
  for (uint32_t i = 0; i < job->task_count; i++)
    if (gp_job_task (job, i)->state == GP_TASK_ASSIGNED
        && g_rand_boolean (random))
      gp_task_set_state (gp_job_task (job, i), GP_TASK_DONE);
}

static void
test_sums (void)
{
  for (unsigned seed = 0; seed < SEEDS; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      jobs_site_t site;
      gp_room_t room;
      const Gp__Jobs__Room *record;

      jobs_site_init (&site);
      gp_room_init (&room);
      /* Enough for all work to be done while of use.  */
      jobs_site_executor (&site, "x1", 64);
      jobs_site_executor (&site, "x2", 4)->evacuated = true;
      for (unsigned i = 0; i < 12; i++)
        change_book (&site, random, i);
      record = make (&room, &site);
      CU_ASSERT_PTR_NOT_NULL_FATAL (record);
      CU_ASSERT_EQUAL (record->n_services, 1);
      CU_ASSERT_EQUAL (record->services[0]->reserved_milli, 64000);
      check_sums (&site, record);
      gp_room_finish (&room);
      jobs_site_finish (&site);
      g_rand_free (random);
    }
}

/* Guards against records that are made more often than every half second or,
   without a change of a tenth, more often than every second.  */
static void
test_times (void)
{
  unsigned written = 0;
  jobs_site_t site;
  gp_room_t room;
  gp_time_t end;

  jobs_site_init (&site);
  gp_room_init (&room);
  jobs_site_executor (&site, "x1", 4);
  gp_room_begin (&room, NULL, site.now);
  /* The guards have not reported yet.  */
  site.now += GP_SEC;
  CU_ASSERT_PTR_NULL (make (&room, &site));
  site.now += GP_SEC;
  CU_ASSERT_PTR_NOT_NULL (make (&room, &site));
  end = site.now + 10 * GP_SEC;
  for (; site.now < end; site.now += 10 * GP_MSEC)
    written += make (&room, &site) != NULL;
  printf ("unchanged for 10 s: %u records\n", written);
  written = 0;
  end = site.now + 10 * GP_SEC;
  for (unsigned i = 0; site.now < end; site.now += 10 * GP_MSEC, i++)
    {
      submit (&site, i, 0, false, 1);
      written += make (&room, &site) != NULL;
    }
  printf ("a job every 10 ms: %u records\n", written);
  gp_room_finish (&room);
  jobs_site_finish (&site);
}

/* Guards against room that still includes an evacuated zone: its share is
   gone at once, also from the room for filling work, which is an average
   otherwise.  */
static void
test_evacuation (void)
{
  jobs_site_t site;
  gp_room_t room;
  const Gp__Jobs__Room *record;

  jobs_site_init (&site);
  gp_room_init (&room);
  for (unsigned i = 0; i < 3; i++)
    {
      char id[4];

      g_snprintf (id, sizeof id, "x%u", i);
      jobs_site_executor (&site, id, 4);
    }
  record = make (&room, &site);
  CU_ASSERT_EQUAL (record->services[0]->filling_milli, 12000);
  gp_book_executor (&site.book, "x1")->evacuated = true;
  site.now += GP_SEC;
  record = make (&room, &site);
  CU_ASSERT_EQUAL (record->services[0]->reserved_milli, 8000);
  CU_ASSERT_EQUAL (record->services[0]->filling_milli, 8000);
  gp_room_finish (&room);
  jobs_site_finish (&site);
}

/* Guards against refusing new jobs because of work that is no longer
   useful: it is behind new work of its priority, and ahead of lower
   priorities.  */
static void
test_useless (void)
{
  jobs_site_t site;
  gp_room_t room;
  const Gp__Jobs__Room *record;

  jobs_site_init (&site);
  gp_room_init (&room);
  jobs_site_executor (&site, "x1", 2);
  submit (&site, 1, 1, false, 4);
  site.now += 60 * GP_SEC;
  submit (&site, 2, 1, false, 1);
  submit (&site, 3, 2, false, 1);
  record = make (&room, &site);
  CU_ASSERT_EQUAL (record->n_backlogs, 2);
  CU_ASSERT_EQUAL (record->backlogs[0]->reserved_ms, 1000);
  CU_ASSERT_EQUAL (record->backlogs[1]->reserved_ms, 6000);
  gp_room_finish (&room);
  jobs_site_finish (&site);
}

/* The same for work that is useful now and will not be when it is done: new
   jobs overtake it.  */
static void
test_lost (void)
{
  jobs_site_t site;
  gp_room_t room;
  const Gp__Jobs__Room *record;

  jobs_site_init (&site);
  gp_room_init (&room);
  jobs_site_executor (&site, "x1", 1);
  submit (&site, 1, 1, false, 20);
  submit (&site, 2, 2, false, 1);
  record = make (&room, &site);
  CU_ASSERT_EQUAL (record->n_backlogs, 1);
  CU_ASSERT_EQUAL (record->backlogs[0]->priority, 2);
  CU_ASSERT_EQUAL (record->backlogs[0]->reserved_ms, 21000);
  gp_room_finish (&room);
  jobs_site_finish (&site);
}

static uint32_t
error_of (const Gp__Jobs__Room *record, uint32_t priority)
{
  for (size_t i = 0; i < record->n_backlogs; i++)
    if (record->backlogs[i]->priority == priority)
      return record->backlogs[i]->error_permille;
  return 0;
}

/* Ends the job NUMBER of PRIORITY after DURATION, when it was forecast to
   take a second.  */
static void
end_job (jobs_site_t *site, gp_room_t *room, unsigned number,
         uint32_t priority, gp_time_t duration)
{
  gp_job_t *job = submit (site, number, priority, false, 1);

  make (room, site);
  CU_ASSERT_EQUAL (job->forecast_end, site->now + GP_SEC);
  site->now += duration;
  gp_book_end (job, GP_JOB_COMPLETED, 1);
  gp_room_job_ended (room, job, site->now);
  gp_room_job_ended (room, job, site->now + GP_SEC);
}

/* Guards against errors of one priority that count for another, against
   early ends that count as errors, and against a next leader that begins
   without the average.  */
static void
test_errors (void)
{
  jobs_site_t site;
  gp_room_t room;
  gp_room_t next;
  const Gp__Jobs__Room *record;

  jobs_site_init (&site);
  gp_room_init (&room);
  gp_room_init (&next);
  jobs_site_executor (&site, "x1", 4);
  for (unsigned i = 0; i < 30; i++)
    end_job (&site, &room, i, 0, 600 * GP_MSEC);
  for (unsigned i = 30; i < 60; i++)
    end_job (&site, &room, i, 2, 2 * GP_SEC);
  site.now += GP_SEC;
  record = make (&room, &site);
  printf ("error: %u permille of quick, %u of batch work\n",
          error_of (record, 0), error_of (record, 2));
  gp_room_begin (&next, record, site.now);
  site.now += 2 * GP_SEC;
  CU_ASSERT_EQUAL (error_of (make (&next, &site), 2), error_of (record, 2));
  gp_room_finish (&next);
  gp_room_finish (&room);
  jobs_site_finish (&site);
}

/* Guards against an error that ignores jobs that are never done.  */
static void
test_never_done (void)
{
  jobs_site_t site;
  gp_room_t room;

  jobs_site_init (&site);
  gp_room_init (&room);
  jobs_site_executor (&site, "x1", 4);
  submit (&site, 1, 2, false, 1);
  CU_ASSERT_EQUAL (error_of (make (&room, &site), 2), 0);
  site.now += 60 * GP_SEC;
  make (&room, &site);
  site.now += GP_SEC;
  CU_ASSERT_TRUE (error_of (make (&room, &site), 2) > 0);
  gp_room_finish (&room);
  jobs_site_finish (&site);
}

/* Guards against new jobs that delay accepted ones beyond their usefulness:
   the record has the time for which they may.  Jobs whose tasks are all
   running are not delayed.  */
static void
test_slack (void)
{
  jobs_site_t site;
  gp_room_t room;
  const Gp__Jobs__Room *record;
  const gp_room_request_t request
      = { .service = "upstream", .work = { { 1000, 0 } }, .chain = GP_SEC };
  gp_room_outlook_t outlook;

  jobs_site_init (&site);
  gp_room_init (&room);
  jobs_site_executor (&site, "x1", 1);
  submit (&site, 1, 0, false, 1);
  jobs_site_plan (&site);
  submit (&site, 2, 0, false, 1);
  site.now += 1500 * GP_MSEC;
  record = make (&room, &site);
  CU_ASSERT_TRUE (gp_room_forecast (record, &request, &outlook));
  printf ("wait %d ms, own %d ms, late %d, delay %d ms, slack %d ms\n",
          (int)(outlook.wait / GP_MSEC), (int)(outlook.own / GP_MSEC),
          outlook.late, (int)(outlook.delay / GP_MSEC),
          (int)(outlook.slack / GP_MSEC));
  CU_ASSERT_TRUE (outlook.late);
  gp_book_cancel (&site.book, "0000000000000002");
  site.now += GP_SEC;
  record = make (&room, &site);
  CU_ASSERT_TRUE (gp_room_forecast (record, &request, &outlook));
  CU_ASSERT_FALSE (outlook.late);
  gp_room_finish (&room);
  jobs_site_finish (&site);
}

/* Guards against refusing jobs because of work that cannot be placed for
   lack of an executor with its label, however long it waits.  */
static void
test_other_waits (void)
{
  Gp__Jobs__Submission *submission = jobs_site_submission (100, 1000);
  jobs_site_t site;
  gp_room_t room;
  const Gp__Jobs__Room *record;

  jobs_site_init (&site);
  gp_room_init (&room);
  jobs_site_executor (&site, "x1", 4);
  free (submission->steps[0]->required_label);
  submission->steps[0]->required_label = strdup ("nowhere");
  jobs_site_submit (&site, "00000000000000aa", submission);
  for (unsigned i = 0; i < 30; i++, site.now += 100 * GP_MSEC)
    jobs_site_plan (&site);
  submit (&site, 1, 0, false, 2);
  record = make (&room, &site);
  CU_ASSERT_EQUAL (record->n_backlogs, 1);
  CU_ASSERT_EQUAL (record->backlogs[0]->reserved_ms, 2000);
  gp_room_finish (&room);
  jobs_site_finish (&site);
}

static CU_TestInfo tests[] = { { "sums", test_sums },
                               { "times", test_times },
                               { "evacuation", test_evacuation },
                               { "useless", test_useless },
                               { "lost", test_lost },
                               { "errors", test_errors },
                               { "never done", test_never_done },
                               { "slack", test_slack },
                               { "other waits", test_other_waits },
                               CU_TEST_INFO_NULL };

int
main (void)
{
  gp_log_init ("test", GP_LOG_ERROR);
  return runner_main ("room", tests);
}

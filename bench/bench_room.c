/* Measures what a record of the room for new work costs: making it at the
   leader, reading it at an entry, and deciding on a submission by it, with
   3,600 executors and 95,000 tasks.  */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "jobs/intake.h"
#include "jobs/records.h"
#include "jobs/scheduler.h"
#include "protocol/message.h"

#define EXECUTORS 3600
#define CORES 32
#define TASKS 95000
#define PRIORITIES 3
#define RECORDS 20
#define DECISIONS 100000
/* Callers that come back, as many as an entry keeps a turn for.  */
#define RETURNING 1000
#define ENTRIES 18

static void
add_executors (gp_book_t *book)
{
  for (unsigned i = 0; i < EXECUTORS; i++)
    {
      char id[16];
      Gp__Jobs__Executor report = GP__JOBS__EXECUTOR__INIT;
      gp_job_executor_t *executor;

      g_snprintf (id, sizeof id, "x%u", i);
      executor = gp_book_executor (book, id);
      report.id = id;
      report.service = (char *)"s";
      report.cpu_milli = CORES * 1000;
      report.memory_mb = CORES * 1024;
      gp_job_executor_update (executor, &report, 0);
      executor->reachable = true;
    }
}

/* Packs a submission of COUNT tasks; returns its size.  */
static size_t
pack_job (uint8_t bytes[256], unsigned number, unsigned count)
{
  Gp__Jobs__Submission submission = GP__JOBS__SUBMISSION__INIT;
  Gp__Jobs__Step step = GP__JOBS__STEP__INIT;
  Gp__Jobs__Step *steps[] = { &step };

  submission.queue = (char *)"q";
  submission.service = (char *)"s";
  submission.steps = steps;
  submission.n_steps = 1;
  submission.max_attempts = 2;
  submission.stretch_percent = 150;
  submission.target_ms = 250;
  submission.priority = number % PRIORITIES;
  step.count = count;
  step.cpu_milli = 1000;
  step.memory_mb = 256;
  step.estimate_ms = 1000;
  step.fills = number % PRIORITIES == 2;
  step.image = (char *)"image";
  return gp__jobs__submission__pack (&submission, bytes);
}

static void
add_jobs (gp_book_t *book, unsigned tasks_per_job)
{
  for (unsigned i = 0; i < TASKS / tasks_per_job; i++)
    {
      char id[GP_JOB_ID_SIZE + 1];
      uint8_t bytes[256];
      size_t size = pack_job (bytes, i, tasks_per_job);

      g_snprintf (id, sizeof id, "%016x", i);
      gp_book_submit (book, id, bytes, size, 0, 0, NULL);
    }
}

/* Returns how long DECISIONS decisions take, a duration; RETURNING: number of
   callers that come back, 0: each is a new one.  */
static gp_time_t
measure_decisions (const gp_forecast_t *forecast,
                   const gp_room_reading_t *room, unsigned returning)
{
  uint8_t bytes[256];
  size_t size = pack_job (bytes, 0, 8);
  Gp__Jobs__Submission *submission
      = gp__jobs__submission__unpack (NULL, size, bytes);
  gp_intake_request_t request = { .submission = submission,
                                  .forecast = forecast,
                                  .room = room,
                                  .timeout = 3 * GP_SEC,
                                  .entries = ENTRIES };
  gp_intake_t intake;
  gp_time_t begin;

  gp_intake_init (&intake);
  begin = gp_time_now ();
  for (unsigned i = 0; i < DECISIONS; i++)
    {
      char id[GP_JOB_ID_SIZE + 1];

      g_snprintf (id, sizeof id, "%016x", returning > 0 ? i % returning : i);
      request.id = id;
      gp_intake_decide (&intake, &request, room->read_at);
    }
  begin = gp_time_now () - begin;
  gp_intake_finish (&intake);
  gp__jobs__submission__free_unpacked (submission, NULL);
  return begin;
}

/* Reads BYTES as an entry does, RECORDS times, and returns how long that
   takes, a duration.  */
static gp_time_t
measure_reading (gp_room_reading_t *reading, GBytes *bytes, gp_time_t now)
{
  gsize size;
  const uint8_t *data = g_bytes_get_data (bytes, &size);
  gp_time_t begin = gp_time_now ();

  for (unsigned i = 0; i < RECORDS; i++)
    {
      gp_record_t record;

      if (gp_record_parse_progress (&record, GP_ROOM_KEY, strlen (GP_ROOM_KEY),
                                    data, size, NULL))
        gp_room_reading_set (reading, g_steal_pointer (&record.u.room), now);
      gp_record_finish (&record);
    }
  return gp_time_now () - begin;
}

static void
measure (unsigned tasks_per_job)
{
  gp_book_t book;
  gp_pressure_t pressure;
  gp_scheduler_t scheduler;
  gp_room_t room;
  gp_room_reading_t reading = { .record = NULL };
  const Gp__Jobs__Room *record = NULL;
  GBytes *bytes;
  gp_time_t now = GP_SEC;
  gp_time_t took;

  gp_book_init (&book);
  gp_pressure_init (&pressure);
  gp_scheduler_init (&scheduler, &book, &pressure);
  gp_room_init (&room);
  add_executors (&book);
  add_jobs (&book, tasks_per_job);
  gp_scheduler_plan (&scheduler, now, 0);
  took = gp_time_now ();
  for (unsigned i = 0; i < RECORDS; i++, now += GP_SEC)
    record = gp_room_make (&room, &book, &scheduler.forecast, now);
  took = gp_time_now () - took;
  bytes = gp_message_pack (&record->base);
  printf ("%d executors, %d tasks, %u a job: %6.2f ms a record, %zu bytes, ",
          EXECUTORS, TASKS, tasks_per_job,
          (double)took / RECORDS / (double)GP_MSEC, g_bytes_get_size (bytes));
  took = measure_reading (&reading, bytes, now);
  printf ("%.1f us to read one\n", (double)took / RECORDS);
  took = measure_decisions (&scheduler.forecast, &reading, 0);
  printf ("  %.2f us a decision, ", (double)took / DECISIONS);
  took = measure_decisions (&scheduler.forecast, &reading, RETURNING);
  printf ("%.2f us with %d callers that come back\n", (double)took / DECISIONS,
          RETURNING);
  g_bytes_unref (bytes);
  gp_room_reading_finish (&reading);
  gp_room_finish (&room);
  gp_scheduler_finish (&scheduler);
  gp_pressure_finish (&pressure);
  gp_book_finish (&book);
}

int
main (void)
{
  gp_log_init ("bench", GP_LOG_ERROR);
  measure (40);
  measure (8);
  return 0;
}

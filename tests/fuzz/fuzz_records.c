/* Fuzz target: log records, decoded and applied to a small site, and frames
   between processes, decoded.

   The first byte selects the topic or a frame, the second is the size of the
   key that follows; the rest is the value.  After a record is applied, the
   scheduler plans all jobs: the one that the site already has and any that the
   record has added.  */

#include <stddef.h>
#include <stdint.h>

#include "base/log.h"
#include "jobs/frames.h"
#include "jobs/records.h"
#include "jobs/scheduler.h"
#include "protocol/message.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#define JOB "00000000000000aa"
#define NOW (10 * GP_SEC)
#define WALL_MS 2000

typedef struct
{
  gp_book_t book;
  gp_pressure_t pressure;
  gp_scheduler_t scheduler;
} site_t;

/* Add a reachable executor with 4000 millicores and 4000 MB.  */
static void
add_executor (site_t *site, const char *id)
{
  Gp__Jobs__Executor report = GP__JOBS__EXECUTOR__INIT;
  gp_job_executor_t *executor = gp_book_executor (&site->book, id);

  report.id = (char *)id;
  report.service = "service";
  report.cpu_milli = 4000;
  report.memory_mb = 4000;
  gp_job_executor_update (executor, &report, NOW);
  executor->reachable = true;
}

/* Add a job with a step of three tasks, followed by a step of two.  */
static void
add_job (site_t *site)
{
  Gp__Jobs__Submission submission = GP__JOBS__SUBMISSION__INIT;
  Gp__Jobs__Step first = GP__JOBS__STEP__INIT;
  Gp__Jobs__Step second = GP__JOBS__STEP__INIT;
  Gp__Jobs__Step *steps[] = { &first, &second };
  uint32_t after = 0;
  GBytes *bytes;
  gsize size;
  const uint8_t *value;

  submission.queue = "queue";
  submission.service = "service";
  submission.steps = steps;
  submission.n_steps = G_N_ELEMENTS (steps);
  first.count = 3;
  second.count = 2;
  second.after = &after;
  second.n_after = 1;
  bytes = gp_message_pack (&submission.base);
  value = g_bytes_get_data (bytes, &size);
  gp_book_submit (&site->book, JOB, value, size, NOW, WALL_MS, NULL);
  g_bytes_unref (bytes);
}

static void
site_init (site_t *site)
{
  gp_book_init (&site->book);
  gp_pressure_init (&site->pressure);
  gp_scheduler_init (&site->scheduler, &site->book, &site->pressure);
  add_executor (site, "x0");
  add_executor (site, "x1");
  add_job (site);
}

static void
site_finish (site_t *site)
{
  gp_scheduler_finish (&site->scheduler);
  gp_pressure_finish (&site->pressure);
  gp_book_finish (&site->book);
}

static void
apply_learned (site_t *site, const Gp__Jobs__Learned *learned)
{
  for (size_t i = 0; i < learned->n_pressures; i++)
    gp_pressure_set (&site->pressure, learned->pressures[i]->serving,
                     gp_pressure_image_index (&site->pressure,
                                              learned->pressures[i]->filling),
                     learned->pressures[i]->weight_permille / 1000.0);
  for (size_t i = 0; i < learned->n_forecasts; i++)
    gp_forecast_set (&site->scheduler.forecast, learned->forecasts[i]);
}

static void
apply_record (site_t *site, gp_record_t *record)
{
  const gp_book_position_t place = { .offset = 1 };

  switch (record->kind)
    {
    case GP_RECORD_SUBMISSION:
      gp_book_apply_submission (&site->book, record->subject,
                                g_steal_pointer (&record->u.submission), NOW,
                                WALL_MS, NULL);
      break;
    case GP_RECORD_CANCELLATION:
      gp_book_cancel (&site->book, record->subject);
      break;
    case GP_RECORD_PROGRESS:
      gp_book_apply_progress (&site->book, record->subject,
                              g_steal_pointer (&record->u.progress), place,
                              NULL);
      break;
    case GP_RECORD_LEARNED:
      apply_learned (site, record->u.learned);
      break;
    case GP_RECORD_UNKNOWN:
    case GP_RECORD_PLACE:
    case GP_RECORD_LEADERSHIP:
    case GP_RECORD_ROOM:
    case GP_RECORD_NODE:
      break;
    }
}

/* Plan all jobs and encode their progress, as a leader does.  */
static void
plan_jobs (site_t *site)
{
  GHashTableIter iter;
  gpointer value;

  gp_scheduler_plan (&site->scheduler, NOW, WALL_MS);
  g_hash_table_iter_init (&iter, site->book.jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_job_t *job = value;

      gp_scheduler_job_changed (&site->scheduler, job, WALL_MS);
      if (job->submission != NULL)
        g_bytes_unref (gp_book_pack (job));
    }
  gp_scheduler_plan (&site->scheduler, NOW + GP_SEC, WALL_MS + 1000);
  gp_scheduler_reset (&site->scheduler);
}

typedef bool (*parse_t) (gp_record_t *record, const char *key, size_t key_size,
                         const uint8_t *value, size_t value_size,
                         GError **error);

static void
fuzz_record (parse_t parse, const char *key, size_t key_size,
             const uint8_t *value, size_t size)
{
  gp_record_t record;
  site_t site;

  if (parse (&record, key, key_size, value, size, NULL))
    {
      site_init (&site);
      apply_record (&site, &record);
      plan_jobs (&site);
      site_finish (&site);
    }
  gp_record_finish (&record);
}

static void
fuzz_frame (const uint8_t *value, size_t size)
{
  GError *refused = NULL;
  Gp__Jobs__Frame *frame = gp_frame_parse (value, size, NOW, &refused, NULL);

  if (frame != NULL)
    gp__jobs__frame__free_unpacked (frame, NULL);
  g_clear_error (&refused);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const uint8_t *value;
  size_t key_size;

  /* Log errors only: the scheduler logs each decision.  */
  gp_log_init ("fuzz", GP_LOG_ERROR);
  if (size < 2 || size - 2 < data[1])
    return 0;
  key_size = data[1];
  value = data + 2 + key_size;
  size -= 2 + key_size;
  switch (data[0] % 4)
    {
    case 0:
      fuzz_record (gp_record_parse_job, (const char *)data + 2, key_size,
                   value, size);
      break;
    case 1:
      fuzz_record (gp_record_parse_progress, (const char *)data + 2, key_size,
                   value, size);
      break;
    case 2:
      fuzz_record (gp_record_parse_node, (const char *)data + 2, key_size,
                   value, size);
      break;
    case 3:
      fuzz_frame (value, size);
      break;
    }
  return 0;
}

/* Decoding and validation of the frames between the leading entry and the
   guards.  */

#include "jobs/frames.h"

#include "base/error.h"
#include "jobs/fields.h"
#include "jobs/job.h"
#include "jobs/pressure.h"
#include "jobs/records.h"
#include "jobs/spec_store.h"

#include <string.h>

/* Reports of the same iteration of the event loop get distinct times, a
   microsecond apart, which therefore run ahead of the clock.  */
#define SENT_AT_SLACK GP_MSEC

/* Rows that are checked one by one.  */

typedef bool (*check_row_t) (const ProtobufCMessage *row, GError **error);

/* Removes the ROWS that CHECK rejects; FIELD is their name in the error.  */
static void
remove_invalid (void *rows, size_t *count, check_row_t check,
                const char *field, GError **refused)
{
  ProtobufCMessage **messages = rows;
  size_t kept = 0;

  for (size_t i = 0; i < *count; i++)
    {
      GError **error = *refused == NULL ? refused : NULL;

      if (check (messages[i], error))
        {
          messages[kept++] = messages[i];
          continue;
        }
      g_prefix_error (error, "%s[%zu].", field, i);
      protobuf_c_message_free_unpacked (messages[i], NULL);
    }
  *count = kept;
}

/* Checks a run that an executor has reported.  A task name of any form is
   allowed, as tasks unknown to the scheduler are reported as well.  */
static bool
check_reported_run (const char *task, uint32_t run, GError **error)
{
  return gp_field_name (task, "task", error)
         && gp_field_range (run, 1, UINT32_MAX, "run", error);
}

static bool
check_end (const ProtobufCMessage *row, GError **error)
{
  const Gp__Jobs__End *end = (const Gp__Jobs__End *)row;

  if (end->number == 0)
    return gp_field_fail (error, "number", "missing");
  return check_reported_run (end->task, end->run, error)
         && gp_field_range (end->how, GP_END_DONE, GP_END_ALONE, "how", error)
         && gp_field_text (&end->checkpoint, GP_FIELD_CHECKPOINT_MAX,
                           "checkpoint", error);
}

static bool
check_run (const ProtobufCMessage *row, GError **error)
{
  const Gp__Jobs__TaskRun *run = (const Gp__Jobs__TaskRun *)row;

  return check_reported_run (run->task, run->run, error);
}

static bool
check_serving (const ProtobufCMessage *row, GError **error)
{
  const Gp__Jobs__Serving *serving = (const Gp__Jobs__Serving *)row;

  return gp_field_name (serving->task, "task", error);
}

static bool
check_filling (const ProtobufCMessage *row, GError **error)
{
  const Gp__Jobs__Filling *filling = (const Gp__Jobs__Filling *)row;

  return gp_field_name_or_empty (filling->task, "task", error)
         && gp_field_name_or_empty (filling->image, "image", error);
}

static bool
check_weights (const ProtobufCMessage *row, GError **error)
{
  const Gp__Jobs__Weights *weights = (const Gp__Jobs__Weights *)row;

  for (size_t i = 0; i < weights->n_permille; i++)
    if (!gp_field_range (weights->permille[i], 0, GP_PRESSURE_MAX_PERMILLE,
                         "permille", error))
      return false;
  return gp_field_name (weights->serving, "serving", error);
}

static bool
check_fillings (char *const *images, size_t count, GError **error)
{
  for (size_t i = 0; i < count; i++)
    if (!gp_field_name_or_empty (images[i], "acknowledge.fillings", error))
      return false;
  return true;
}

/* Messages of the leader.  */

static bool
check_lead (const Gp__Jobs__Lead *lead, GError **error)
{
  if (lead->epoch > GP_EPOCH_MAX)
    return gp_field_fail (error, "lead.epoch", "too high");
  return gp_field_name (lead->node, "lead.node", error);
}

/* A lease ends some time after the sending of a report: with a sending time
   many years ahead it would never end.  */
static bool
check_acknowledge (Gp__Jobs__Acknowledge *acknowledge, gp_time_t now,
                   GError **refused, GError **error)
{
  if (acknowledge->sent_at > now + SENT_AT_SLACK)
    return gp_field_fail (error, "acknowledge.sent_at", "in the future");
  if (acknowledge->n_headrooms != acknowledge->n_slopes)
    return gp_field_fail (error, "acknowledge.slopes",
                          "not as many as headrooms");
  remove_invalid (acknowledge->weights, &acknowledge->n_weights, check_weights,
                  "weights", refused);
  return check_fillings (acknowledge->fillings, acknowledge->n_fillings,
                         error);
}

static bool
check_start (const Gp__Jobs__Start *start, GError **error)
{
  return gp_field_task (start->task, "task", error)
         && gp_field_range (start->run, 1, UINT32_MAX, "run", error)
         && gp_field_text (&start->checkpoint, GP_FIELD_CHECKPOINT_MAX,
                           "checkpoint", error)
         && gp_field_name_or_empty (start->image, "image", error);
}

static bool
check_starts (Gp__Jobs__Start *const *starts, size_t count, GError **error)
{
  for (size_t i = 0; i < count; i++)
    if (!check_start (starts[i], error))
      {
        g_prefix_error (error, "starts[%zu].", i);
        return false;
      }
  return true;
}

static bool
check_job (const char *job, GError **error)
{
  if (!gp_job_id_valid (job, strlen (job)))
    return gp_field_fail (error, "job", "not the id of a job");
  return true;
}

/* Checks the address of the holder, or that the bytes match the digest.  */
static bool
check_source (const Gp__Jobs__Spec *spec, GError **error)
{
  if (!spec->held)
    return gp_field_address (spec->holder, "holder", error);
  if (!gp_field_text (&spec->bytes, GP_FIELD_SPEC_MAX, "bytes", error))
    return false;
  if (gp_spec_digest (spec->bytes.data, spec->bytes.len) != spec->digest)
    return gp_field_fail (error, "digest", "of other bytes");
  return true;
}

static bool
check_specs (Gp__Jobs__Spec *const *specs, size_t count, GError **error)
{
  for (size_t i = 0; i < count; i++)
    if (!check_job (specs[i]->job, error) || !check_source (specs[i], error))
      {
        g_prefix_error (error, "specs[%zu].", i);
        return false;
      }
  return true;
}

/* The leader names only runs to which it has assigned the number itself.  */
static bool
check_runs (Gp__Jobs__TaskRun *const *runs, size_t count, const char *field,
            GError **error)
{
  for (size_t i = 0; i < count; i++)
    if (!gp_field_task (runs[i]->task, "task", error)
        || !gp_field_range (runs[i]->run, 1, UINT32_MAX, "run", error))
      {
        g_prefix_error (error, "%s[%zu].", field, i);
        return false;
      }
  return true;
}

static bool
check_sync (const Gp__Jobs__Sync *sync, gp_time_t now, GError **error)
{
  if (sync->number == 0)
    return gp_field_fail (error, "sync.number", "missing");
  if (sync->after > now + SENT_AT_SLACK)
    return gp_field_fail (error, "sync.after", "in the future");
  return gp_field_name (sync->executor, "sync.executor", error)
         && check_starts (sync->starts, sync->n_starts, error)
         && check_runs (sync->stops, sync->n_stops, "stops", error);
}

static bool
check_orders (const Gp__Jobs__Orders *orders, GError **error)
{
  return gp_field_name (orders->executor, "orders.executor", error)
         && check_starts (orders->starts, orders->n_starts, error)
         && check_specs (orders->specs, orders->n_specs, error)
         && check_runs (orders->stops, orders->n_stops, "stops", error)
         && check_runs (orders->forget, orders->n_forget, "forget", error);
}

/* Messages of the guards.  */

static bool
check_answer (const Gp__Jobs__Spec *spec, GError **error)
{
  return check_job (spec->job, error)
         && (!spec->held || check_source (spec, error));
}

static bool
check_executor (const Gp__Jobs__Executor *executor, GError **error)
{
  if (!gp_field_name (executor->id, "executor.id", error)
      || !gp_field_range (executor->born_ms, 0, GP_FIELD_WALL_MAX_MS,
                          "executor.born_ms", error)
      || !gp_field_name_or_empty (executor->service, "executor.service", error)
      || !gp_field_name_or_empty (executor->zone, "executor.zone", error))
    return false;
  for (size_t i = 0; i < executor->n_labels; i++)
    if (!gp_field_name_or_empty (executor->labels[i], "executor.labels",
                                 error))
      return false;
  return true;
}

static bool
check_report (Gp__Jobs__Report *report, GError **refused, GError **error)
{
  if (!gp_field_name (report->node, "report.node", error))
    return false;
  if (report->executor != NULL && !check_executor (report->executor, error))
    return false;
  if (report->predecessor != NULL
      && !gp_field_name (report->predecessor->executor,
                         "report.predecessor.executor", error))
    return false;
  for (size_t i = 0; i < report->n_lacking; i++)
    if (!check_job (report->lacking[i], error))
      {
        g_prefix_error (error, "report.lacking[%zu].", i);
        return false;
      }
  remove_invalid (report->ends, &report->n_ends, check_end, "ends", refused);
  remove_invalid (report->absent, &report->n_absent, check_run, "absent",
                  refused);
  remove_invalid (report->unconfirmed, &report->n_unconfirmed, check_run,
                  "unconfirmed", refused);
  remove_invalid (report->refused, &report->n_refused, check_run, "refused",
                  refused);
  remove_invalid (report->carried, &report->n_carried, check_run, "carried",
                  refused);
  remove_invalid (report->settled, &report->n_settled, check_run, "settled",
                  refused);
  remove_invalid (report->suspects, &report->n_suspects, check_run, "suspects",
                  refused);
  if (report->predecessor != NULL)
    remove_invalid (report->predecessor->suspects,
                    &report->predecessor->n_suspects, check_run,
                    "predecessor.suspects", refused);
  remove_invalid (report->servings, &report->n_servings, check_serving,
                  "servings", refused);
  remove_invalid (report->fillings, &report->n_fillings, check_filling,
                  "fillings", refused);
  return true;
}

static bool
check_frame (const Gp__Jobs__Frame *frame, gp_time_t now, GError **refused,
             GError **error)
{
  switch (frame->message_case)
    {
    case GP__JOBS__FRAME__MESSAGE_LEAD:
      return check_lead (frame->lead, error);
    case GP__JOBS__FRAME__MESSAGE_REPORT:
      return check_report (frame->report, refused, error);
    case GP__JOBS__FRAME__MESSAGE_ACKNOWLEDGE:
      return check_acknowledge (frame->acknowledge, now, refused, error);
    case GP__JOBS__FRAME__MESSAGE_SYNC:
      return check_sync (frame->sync, now, error);
    case GP__JOBS__FRAME__MESSAGE_ORDERS:
      return check_orders (frame->orders, error);
    case GP__JOBS__FRAME__MESSAGE_WANT_SPEC:
      return check_job (frame->want_spec->job, error);
    case GP__JOBS__FRAME__MESSAGE_SPEC:
      return check_answer (frame->spec, error);
    case GP__JOBS__FRAME__MESSAGE__NOT_SET:
    case _GP__JOBS__FRAME__MESSAGE__CASE_IS_INT_SIZE:
      break;
    }
  return gp_field_fail (error, "message", "missing");
}

Gp__Jobs__Frame *
gp_frame_parse (const uint8_t *bytes, size_t size, gp_time_t now,
                GError **refused, GError **error)
{
  Gp__Jobs__Frame *frame = gp__jobs__frame__unpack (NULL, size, bytes);

  if (frame == NULL)
    {
      g_set_error (error, GP_STATE_ERROR, GP_STATE_ERROR_CORRUPT,
                   "%zu bytes do not decode", size);
      return NULL;
    }
  if (check_frame (frame, now, refused, error))
    return frame;
  gp__jobs__frame__free_unpacked (frame, NULL);
  return NULL;
}

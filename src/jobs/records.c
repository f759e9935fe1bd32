/* Typed values of the records that processes keep in the log.  */

#include "jobs/records.h"

#include <string.h>

#include "base/error.h"
#include "jobs/fields.h"
#include "jobs/forecast.h"
#include "jobs/grants.h"
#include "jobs/job.h"
#include "jobs/pressure.h"
#include "jobs/progress_compact.h"
#include "jobs/room.h"
#include "jobs/suspicion.h"

/* Decodes the message of DESCRIPTOR in VALUE; NULL sets ERROR.  */
static void *
unpack (const ProtobufCMessageDescriptor *descriptor, const uint8_t *value,
        size_t size, GError **error)
{
  ProtobufCMessage *message
      = protobuf_c_message_unpack (descriptor, NULL, size, value);

  if (message == NULL)
    g_set_error (error, GP_STATE_ERROR, GP_STATE_ERROR_CORRUPT,
                 "%zu bytes do not decode", size);
  return message;
}

/* Returns MESSAGE if its fields are VALID, otherwise frees it and returns
   NULL.  */
static void *
keep_valid (void *message, bool valid)
{
  if (valid)
    return message;
  if (message != NULL)
    protobuf_c_message_free_unpacked (message, NULL);
  return NULL;
}

/* Submissions.  */

Gp__Jobs__Submission *
gp_record_submission (const uint8_t *value, size_t size, GError **error)
{
  Gp__Jobs__Submission *submission
      = unpack (&gp__jobs__submission__descriptor, value, size, error);

  return keep_valid (submission,
                     submission != NULL && gp_job_check (submission, error));
}

/* Progress.  */

/* Marks the task INDEX as named; SEEN has one element for each task.  */
static bool
check_index (uint32_t index, bool *seen, GError **error)
{
  if (index >= GP_JOB_MAX_TASKS)
    return gp_field_fail (error, "index", "beyond the tasks of any job");
  if (seen[index])
    return gp_field_fail (error, "index", "named before");
  seen[index] = true;
  return true;
}

static bool
check_task (const Gp__Jobs__TaskProgress *task, bool *seen, GError **error)
{
  if (!check_index (task->index, seen, error)
      || !gp_field_range (task->run, 1, UINT32_MAX, "run", error)
      || !gp_field_range (task->crashes, 0, GP_SUSPICION_MAX_CRASHES,
                          "crashes", error)
      || !gp_field_range (task->evidence, 0, GP_SUSPICION_EVIDENCE_LIMIT,
                          "evidence", error)
      || !gp_field_name_or_empty (task->executor, "executor", error)
      || !gp_field_text (&task->checkpoint, GP_FIELD_CHECKPOINT_MAX,
                         "checkpoint", error))
    return false;
  if (task->failed_run > task->run)
    return gp_field_fail (error, "failed_run", "not started yet");
  if (task->failed_run > 0 && task->failures == 0)
    return gp_field_fail (error, "failed_run", "without failures");
  if (task->stopping && *task->executor == '\0')
    return gp_field_fail (error, "stopping", "on no executor");
  if (task->done && *task->executor == '\0')
    return gp_field_fail (error, "done", "on no executor");
  return true;
}

static bool
check_tasks (const Gp__Jobs__Progress *progress, GError **error)
{
  bool seen[GP_JOB_MAX_TASKS] = { false };

  for (size_t i = 0; i < progress->n_done; i++)
    if (!check_index (progress->done[i], seen, error))
      {
        g_prefix_error (error, "done[%zu].", i);
        return false;
      }
  for (size_t i = 0; i < progress->n_tasks; i++)
    if (!check_task (progress->tasks[i], seen, error))
      {
        g_prefix_error (error, "tasks[%zu].", i);
        return false;
      }
  return true;
}

/* A job has an end time exactly if it has ended.  The progress of a job that
   has not ended is written because of its runs: a record without any would
   reset the job to its initial state.  */
static bool
check_progress (const Gp__Jobs__Progress *progress, GError **error)
{
  bool ended = progress->state >= GP_JOB_COMPLETED;

  if (!ended && progress->n_done + progress->n_tasks == 0)
    return gp_field_fail (error, "tasks", "missing");

  return gp_field_range (progress->state, GP_JOB_QUEUED, GP_JOB_CANCELLED,
                         "state", error)
         && gp_field_range (progress->ended_wall_ms, ended ? 1 : 0,
                            ended ? GP_FIELD_WALL_MAX_MS : 0, "ended_wall_ms",
                            error)
         && check_tasks (progress, error);
}

Gp__Jobs__Progress *
gp_record_progress (const uint8_t *value, size_t size, GError **error)
{
  Gp__Jobs__Progress *progress
      = unpack (&gp__jobs__progress__descriptor, value, size, error);

  return keep_valid (progress, progress != NULL
                                   && gp_progress_expand (progress, error)
                                   && check_progress (progress, error));
}

bool
gp_record_progress_fits (const Gp__Jobs__Progress *progress,
                         uint32_t task_count, GError **error)
{
  bool fits = true;

  for (size_t i = 0; i < progress->n_done; i++)
    fits = fits && progress->done[i] < task_count;
  for (size_t i = 0; i < progress->n_tasks; i++)
    fits = fits && progress->tasks[i]->index < task_count;
  if (!fits)
    g_set_error (error, GP_STATE_ERROR, GP_STATE_ERROR_INVALID,
                 "index: beyond the %u tasks of the job", task_count);
  return fits;
}

/* Places, leadership and nodes.  */

static Gp__Jobs__Place *
parse_place (const uint8_t *value, size_t size, GError **error)
{
  Gp__Jobs__Place *place
      = unpack (&gp__jobs__place__descriptor, value, size, error);

  return keep_valid (
      place, place != NULL
                 && gp_field_name (place->executor, "executor", error)
                 && gp_field_range (place->born_ms, 0, GP_FIELD_WALL_MAX_MS,
                                    "born_ms", error));
}

/* Incarnation numbers of processes start at the time of day and count up from
   there, and other numbers start at 1: zero means that the field is
   missing.  */
static bool
check_incarnation (uint64_t incarnation, const char *field, GError **error)
{
  if (incarnation == 0)
    return gp_field_fail (error, field, "missing");
  if (incarnation > INT64_MAX)
    return gp_field_fail (error, field, "not a time");
  return true;
}

/* No lease is granted for longer than a term.  */
static bool
check_term (uint32_t milliseconds, const char *field, GError **error)
{
  if (milliseconds > GP_GRANTS_TERM_TIME / GP_MSEC)
    return gp_field_fail (error, field, "longer than a term");
  return true;
}

static bool
check_former (const Gp__Jobs__Former *former, GError **error)
{
  return gp_field_name (former->node, "formers.node", error)
         && check_incarnation (former->incarnation, "formers.incarnation",
                               error)
         && check_term (former->until_ms, "formers.until_ms", error)
         && check_term (former->fresh_ms, "formers.fresh_ms", error);
}

static bool
check_leadership (const Gp__Jobs__Leadership *leadership, GError **error)
{
  if (!gp_field_name (leadership->node, "node", error))
    return false;
  if (!check_incarnation (leadership->incarnation, "incarnation", error))
    return false;
  if (leadership->beat == 0)
    return gp_field_fail (error, "beat", "missing");
  for (size_t i = 0; i < leadership->n_formers; i++)
    if (!check_former (leadership->formers[i], error))
      return false;
  return check_term (leadership->unread_ms, "unread_ms", error)
         && check_term (leadership->unread_fresh_ms, "unread_fresh_ms", error);
}

static Gp__Jobs__Leadership *
parse_leadership (const uint8_t *value, size_t size, GError **error)
{
  Gp__Jobs__Leadership *leadership
      = unpack (&gp__jobs__leadership__descriptor, value, size, error);

  return keep_valid (leadership, leadership != NULL
                                     && check_leadership (leadership, error));
}

static bool
check_node (const Gp__Jobs__Node *node, GError **error)
{
  if (!gp_field_address (node->address, "address", error)
      || !gp_field_name_or_empty (node->zone, "zone", error)
      || !gp_field_range (node->cpu_milli, 0, GP_NODE_CPU_MILLI_MAX,
                          "cpu_milli", error)
      || !gp_field_range (node->link_kbps, 0, GP_NODE_LINK_KBPS_MAX,
                          "link_kbps", error))
    return false;
  return check_incarnation (node->incarnation, "incarnation", error);
}

static Gp__Jobs__Node *
parse_node (const uint8_t *value, size_t size, GError **error)
{
  Gp__Jobs__Node *node
      = unpack (&gp__jobs__node__descriptor, value, size, error);

  return keep_valid (node, node != NULL && check_node (node, error));
}

/* Learned values.  The rows are independent of each other: an invalid one is
   removed and the others remain valid.  */

static bool
check_pressure (const Gp__Jobs__Pressure *row, GError **error)
{
  return gp_field_name_or_empty (row->serving, "serving", error)
         && gp_field_name_or_empty (row->filling, "filling", error)
         && gp_field_range (row->weight_permille, 0, GP_PRESSURE_MAX_PERMILLE,
                            "weight_permille", error);
}

void
gp_record_filter_pressures (Gp__Jobs__Pressure **rows, size_t *count,
                            GError **refused)
{
  size_t kept = 0;

  for (size_t i = 0; i < *count; i++)
    {
      GError **error = *refused == NULL ? refused : NULL;

      if (check_pressure (rows[i], error))
        {
          rows[kept++] = rows[i];
          continue;
        }
      g_prefix_error (error, "pressures[%zu].", i);
      gp__jobs__pressure__free_unpacked (rows[i], NULL);
    }
  *count = kept;
}

static void
filter_forecasts (Gp__Jobs__Learned *learned, GError **refused)
{
  size_t kept = 0;

  for (size_t i = 0; i < learned->n_forecasts; i++)
    {
      Gp__Jobs__Forecast *row = learned->forecasts[i];
      GError **error = *refused == NULL ? refused : NULL;

      if (gp_forecast_check (row, error))
        {
          learned->forecasts[kept++] = row;
          continue;
        }
      g_prefix_error (error, "forecasts[%zu].", i);
      gp__jobs__forecast__free_unpacked (row, NULL);
    }
  learned->n_forecasts = kept;
}

static Gp__Jobs__Learned *
parse_learned (const uint8_t *value, size_t size, GError **refused,
               GError **error)
{
  Gp__Jobs__Learned *learned
      = unpack (&gp__jobs__learned__descriptor, value, size, error);

  if (learned == NULL)
    return NULL;
  gp_record_filter_pressures (learned->pressures, &learned->n_pressures,
                              refused);
  filter_forecasts (learned, refused);
  return learned;
}

/* The rows of a room record are sums that belong together: one invalid row
   refuses the record.  */
static Gp__Jobs__Room *
parse_room (const uint8_t *value, size_t size, GError **error)
{
  Gp__Jobs__Room *room
      = unpack (&gp__jobs__room__descriptor, value, size, error);

  return keep_valid (room, room != NULL && gp_room_check (room, error));
}

/* Keys.  */

static void
set_kind (gp_record_t *record, gp_record_kind_t kind, const char *subject)
{
  char *copy = g_strdup (subject);

  g_free (record->subject);
  record->kind = kind;
  record->subject = copy;
}

/* The kind is not known yet.  The subject is the key up to the first zero
   byte, which no valid key contains.  */
static void
begin_record (gp_record_t *record, const char *key, size_t key_size)
{
  *record = (gp_record_t){ .kind = GP_RECORD_UNKNOWN,
                           .subject = key_size > 0 ? g_strndup (key, key_size)
                                                   : g_strdup ("") };
}

static bool
fail_unknown (GError **error)
{
  g_set_error (error, GP_STATE_ERROR, GP_STATE_ERROR_UNKNOWN,
               "key: none of this topic's");
  return false;
}

/* Returns whether NAME, taken from SIZE bytes of a key, is the name of a
   VM.  */
static bool
is_node_name (const char *name, size_t size)
{
  return strlen (name) == size && gp_field_name (name, "key", NULL);
}

/* Returns the part of KEY, SIZE bytes long, after PREFIX, or NULL.  */
static const char *
after_prefix (const char *key, const char *prefix, size_t *size)
{
  if (!g_str_has_prefix (key, prefix))
    return NULL;
  *size -= strlen (prefix);
  return key + strlen (prefix);
}

/* Records of each topic.  */

static bool
is_cancellation (const uint8_t *value, size_t size, GError **error)
{
  if (size == strlen (GP_CANCEL_VALUE)
      && memcmp (value, GP_CANCEL_VALUE, size) == 0)
    return true;
  return gp_field_fail (error, "value", "not that of a cancellation");
}

bool
gp_record_parse_job (gp_record_t *record, const char *key, size_t key_size,
                     const uint8_t *value, size_t value_size, GError **error)
{
  size_t size = key_size;
  const char *id;

  begin_record (record, key, key_size);
  id = after_prefix (record->subject, GP_CANCEL_PREFIX, &size);
  if (id != NULL && gp_job_id_valid (id, size))
    {
      set_kind (record, GP_RECORD_CANCELLATION, id);
      return is_cancellation (value, value_size, error);
    }
  if (!gp_job_id_valid (record->subject, key_size))
    return fail_unknown (error);
  record->kind = GP_RECORD_SUBMISSION;
  record->u.submission = gp_record_submission (value, value_size, error);
  if (record->u.submission == NULL)
    return false;
  /* This is the last field: without it the record was truncated after its
     steps, and they would run without the policy of their queue.  */
  if (record->u.submission->accepted_wall_ms == 0)
    return gp_field_fail (error, "accepted_wall_ms", "missing");
  return true;
}

/* Sets the kind of a progress record according to its key.  */
static void
find_kind (gp_record_t *record, size_t key_size)
{
  size_t size = key_size;
  const char *node = after_prefix (record->subject, GP_PLACE_PREFIX, &size);

  if (node != NULL && is_node_name (node, size))
    set_kind (record, GP_RECORD_PLACE, node);
  else if (g_strcmp0 (record->subject, GP_LEADER_KEY) == 0)
    record->kind = GP_RECORD_LEADERSHIP;
  else if (g_strcmp0 (record->subject, GP_LEARNED_KEY) == 0)
    record->kind = GP_RECORD_LEARNED;
  else if (g_strcmp0 (record->subject, GP_ROOM_KEY) == 0)
    record->kind = GP_RECORD_ROOM;
  else if (gp_job_id_valid (record->subject, key_size))
    record->kind = GP_RECORD_PROGRESS;
}

bool
gp_record_parse_progress (gp_record_t *record, const char *key,
                          size_t key_size, const uint8_t *value,
                          size_t value_size, GError **error)
{
  begin_record (record, key, key_size);
  find_kind (record, key_size);
  switch (record->kind)
    {
    case GP_RECORD_PROGRESS:
      record->u.progress = gp_record_progress (value, value_size, error);
      return record->u.progress != NULL;
    case GP_RECORD_PLACE:
      record->u.place = parse_place (value, value_size, error);
      return record->u.place != NULL;
    case GP_RECORD_LEADERSHIP:
      record->u.leadership = parse_leadership (value, value_size, error);
      return record->u.leadership != NULL;
    case GP_RECORD_LEARNED:
      record->u.learned
          = parse_learned (value, value_size, &record->refused, error);
      return record->u.learned != NULL;
    case GP_RECORD_ROOM:
      record->u.room = parse_room (value, value_size, error);
      return record->u.room != NULL;
    case GP_RECORD_UNKNOWN:
    case GP_RECORD_SUBMISSION:
    case GP_RECORD_CANCELLATION:
    case GP_RECORD_NODE:
      break;
    }
  return fail_unknown (error);
}

bool
gp_record_parse_node (gp_record_t *record, const char *key, size_t key_size,
                      const uint8_t *value, size_t value_size, GError **error)
{
  begin_record (record, key, key_size);
  if (!is_node_name (record->subject, key_size))
    return fail_unknown (error);
  record->kind = GP_RECORD_NODE;
  record->u.node = parse_node (value, value_size, error);
  return record->u.node != NULL;
}

/* Frees the message of a record; each message begins with its base.  */
static void
free_message (ProtobufCMessage *message)
{
  if (message != NULL)
    protobuf_c_message_free_unpacked (message, NULL);
}

void
gp_record_finish (gp_record_t *record)
{
  switch (record->kind)
    {
    case GP_RECORD_SUBMISSION:
      free_message ((ProtobufCMessage *)record->u.submission);
      break;
    case GP_RECORD_PROGRESS:
      free_message ((ProtobufCMessage *)record->u.progress);
      break;
    case GP_RECORD_PLACE:
      free_message ((ProtobufCMessage *)record->u.place);
      break;
    case GP_RECORD_LEADERSHIP:
      free_message ((ProtobufCMessage *)record->u.leadership);
      break;
    case GP_RECORD_LEARNED:
      free_message ((ProtobufCMessage *)record->u.learned);
      break;
    case GP_RECORD_ROOM:
      free_message ((ProtobufCMessage *)record->u.room);
      break;
    case GP_RECORD_NODE:
      free_message ((ProtobufCMessage *)record->u.node);
      break;
    case GP_RECORD_UNKNOWN:
    case GP_RECORD_CANCELLATION:
      break;
    }
  g_free (record->subject);
  g_clear_error (&record->refused);
}

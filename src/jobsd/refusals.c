/* Rejected records and frames of other processes.  */

#include "jobsd/refusals.h"

#include <string.h>

#include "base/counters.h"
#include "base/error.h"
#include "base/log.h"

/* Limit of keys and senders counted separately.  */
#define COUNTS_MAX 1000
/* Limit of bytes of a key in a log line: a line has to fit into a write that
   is never split.  */
#define KEY_SIZE_MAX 100

static gp_counter_t undecodable_count = GP_COUNTER (
    "records_undecodable_total", "Records of the log that do not decode");
static gp_counter_t invalid_count = GP_COUNTER (
    "records_invalid_total", "Records of the log with a field out of bounds");
static gp_counter_t unknown_count = GP_COUNTER (
    "records_unknown_total", "Records of the log under an unknown key");
static gp_counter_t record_rows_count = GP_COUNTER (
    "record_rows_invalid_total", "Rows left out of records of the log");
static gp_counter_t frames_undecodable_count
    = GP_COUNTER ("frames_undecodable_total", "Frames that do not decode");
static gp_counter_t frames_invalid_count
    = GP_COUNTER ("frames_invalid_total", "Frames with a field out of bounds");
static gp_counter_t frame_rows_count
    = GP_COUNTER ("frame_rows_invalid_total", "Rows left out of frames");

void
gp_refusals_init (gp_refusals_t *refusals)
{
  gp_log_sampler_init (&refusals->sampler, COUNTS_MAX);
  gp_counter_register (&undecodable_count);
  gp_counter_register (&invalid_count);
  gp_counter_register (&unknown_count);
  gp_counter_register (&record_rows_count);
  gp_counter_register (&frames_undecodable_count);
  gp_counter_register (&frames_invalid_count);
  gp_counter_register (&frame_rows_count);
}

void
gp_refusals_finish (gp_refusals_t *refusals)
{
  gp_log_sampler_finish (&refusals->sampler);
}

/* Count another rejection of WHAT from ORIGIN.  Returns the count if it is to
   be logged, otherwise 0.  */
static uint64_t
count_rejection (gp_refusals_t *refusals, const char *what, const char *origin)
{
  char *key = g_strdup_printf ("%s %s", what, origin);
  uint64_t count = gp_log_sampler_count (&refusals->sampler, key);

  g_free (key);
  return count;
}

static void
count_record (const GError *why)
{
  if (g_error_matches (why, GP_STATE_ERROR, GP_STATE_ERROR_CORRUPT))
    gp_counter_add (&undecodable_count, 1);
  else if (g_error_matches (why, GP_STATE_ERROR, GP_STATE_ERROR_UNKNOWN))
    gp_counter_add (&unknown_count, 1);
  else
    gp_counter_add (&invalid_count, 1);
}

/* The job that RECORD belongs to, for the log field by which the lines of a
   job are found; "" if none.  */
static const char *
job_of (const gp_record_t *record)
{
  switch (record->kind)
    {
    case GP_RECORD_SUBMISSION:
    case GP_RECORD_CANCELLATION:
    case GP_RECORD_PROGRESS:
      return record->subject;
    case GP_RECORD_UNKNOWN:
    case GP_RECORD_PLACE:
    case GP_RECORD_LEADERSHIP:
    case GP_RECORD_LEARNED:
    case GP_RECORD_ROOM:
    case GP_RECORD_NODE:
      break;
    }
  return "";
}

static const char *
kind_name (gp_record_kind_t kind)
{
  switch (kind)
    {
    case GP_RECORD_UNKNOWN:
      return "unknown";
    case GP_RECORD_SUBMISSION:
      return "submission";
    case GP_RECORD_CANCELLATION:
      return "cancellation";
    case GP_RECORD_PROGRESS:
      return "progress";
    case GP_RECORD_PLACE:
      return "place";
    case GP_RECORD_LEADERSHIP:
      return "leadership";
    case GP_RECORD_LEARNED:
      return "learned";
    case GP_RECORD_ROOM:
      return "room";
    case GP_RECORD_NODE:
      return "node";
    }
  return "unknown";
}

/* Convert a key of arbitrary bytes to valid UTF-8 for a log line.  */
static char *
printable_key (const char *key)
{
  return g_utf8_make_valid (key, (gssize)MIN (strlen (key), KEY_SIZE_MAX));
}

void
gp_refusals_record (gp_refusals_t *refusals, const char *topic,
                    const gp_record_t *record,
                    const gp_platform_store_record_t *origin,
                    const GError *why)
{
  uint64_t count = count_rejection (refusals, topic, record->subject);
  char *subject;

  count_record (why);
  if (count == 0)
    return;
  subject = printable_key (record->subject);
  gp_log (GP_LOG_WARNING, "record.malformed", GP_LOG_S ("topic", topic),
          GP_LOG_S ("kind", kind_name (record->kind)),
          GP_LOG_S ("of", subject), GP_LOG_S ("job", job_of (record)),
          GP_LOG_I ("offset", origin->offset), GP_LOG_S ("why", why->message),
          GP_LOG_I ("count", count));
  g_free (subject);
}

void
gp_refusals_record_row (gp_refusals_t *refusals, const gp_record_t *record,
                        const GError *why)
{
  uint64_t count = count_rejection (refusals, "row", record->subject);

  gp_counter_add (&record_rows_count, 1);
  if (count > 0)
    gp_log (GP_LOG_WARNING, "row.malformed",
            GP_LOG_S ("of", kind_name (record->kind)),
            GP_LOG_S ("why", why->message), GP_LOG_I ("count", count));
}

/* The host of ADDRESS; the port differs between connections.  */
static char *
host_of (const char *address)
{
  const char *colon = strrchr (address, ':');

  return colon != NULL ? g_strndup (address, (gsize)(colon - address))
                       : g_strdup (address);
}

void
gp_refusals_frame (gp_refusals_t *refusals, const char *address,
                   const GError *why)
{
  char *host = host_of (address);
  uint64_t count = count_rejection (refusals, "frame", host);

  g_free (host);
  if (g_error_matches (why, GP_STATE_ERROR, GP_STATE_ERROR_CORRUPT))
    gp_counter_add (&frames_undecodable_count, 1);
  else
    gp_counter_add (&frames_invalid_count, 1);
  if (count > 0)
    gp_log (GP_LOG_WARNING, "frame.malformed", GP_LOG_S ("peer", address),
            GP_LOG_S ("why", why->message), GP_LOG_I ("count", count));
}

void
gp_refusals_frame_row (gp_refusals_t *refusals, const char *address,
                       const GError *why)
{
  char *host = host_of (address);
  uint64_t count = count_rejection (refusals, "frame row", host);

  g_free (host);
  gp_counter_add (&frame_rows_count, 1);
  if (count > 0)
    gp_log (GP_LOG_WARNING, "row.malformed", GP_LOG_S ("of", address),
            GP_LOG_S ("why", why->message), GP_LOG_I ("count", count));
}

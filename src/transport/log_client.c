/* Client of the platform's log service: appends and following the tail.  */

#include "transport/log_client.h"

#include <inttypes.h>

#include "base/counters.h"
#include "base/error.h"
#include "platform_log.pb-c.h"
#include "transport/http.h"

/* Upper limit for the encoding overhead of a read reply.  */
#define REPLY_OVERHEAD ((size_t)64 * 1024)
#define ACK_MAX_SIZE ((size_t)1024)
#define IDLE_TIME (10 * GP_SEC)

#define STATUS_OK 200
#define STATUS_CREATED 201
#define STATUS_BAD_REQUEST 400
#define STATUS_GONE 410
#define STATUS_TOO_LARGE 413

/* A response that is being received.  */
typedef struct
{
  int status;
  GByteArray *body;
  size_t max_size;
  bool too_large;
} response_t;

/* An append in progress.  */
typedef struct
{
  gp_list_t link;
  gp_deferred_t refusal; /* fails a record of invalid size, not sent */
  response_t response;
  void (*on_done) (gp_append_result_t result, uint64_t offset,
                   const GError *error, void *data);
  void *data;
} append_t;

struct gp_stream
{
  gp_closer_t closer;
  gp_loop_t *loop;
  gp_http_client_t *reader;
  gp_http_client_t *writer;
  gp_stream_callbacks_t callbacks;
  void *data;
  gp_stream_options_t options;
  char *path;
  gp_list_t appends;
  gp_timer_t retry;
  gp_time_t retry_time; /* pause before the next retry */
  gp_http_call_t *read; /* in progress */
  response_t response;
  gp_time_t sent_at;
  uint64_t from;
  uint64_t follow_generation; /* counts calls of gp_stream_follow and
                                 gp_stream_unfollow */
  bool following;
  bool poll_at_once; /* no long poll: first read after a start or error */
};

static gp_counter_t appends_total
    = GP_COUNTER ("log_appends_total", "Appends sent to the platform's log.");
static gp_counter_t append_failures_total = GP_COUNTER (
    "log_append_failures_total", "Appends that were not acknowledged.");
static gp_counter_t reads_total
    = GP_COUNTER ("log_reads_total", "Reads of the log that were answered.");
static gp_counter_t read_failures_total
    = GP_COUNTER ("log_read_failures_total", "Reads of the log that failed.");
static gp_counter_t records_total
    = GP_COUNTER ("log_records_total", "Records read from the log.");

/* Responses.  */

static void
response_init (response_t *response, size_t max_size)
{
  response->status = 0;
  response->body = g_byte_array_new ();
  response->max_size = max_size;
  response->too_large = false;
}

static void
response_finish (response_t *response)
{
  if (response->body != NULL)
    g_byte_array_unref (response->body);
  response->body = NULL;
}

static void
response_append (response_t *response, const void *bytes, size_t size)
{
  if (response->body->len + size > response->max_size)
    response->too_large = true;
  else
    g_byte_array_append (response->body, bytes, (guint)size);
}

static GError *
response_error (const response_t *response, const char *what)
{
  if (response->too_large)
    return g_error_new (GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_SIZE,
                        "%s: response is too large", what);
  return g_error_new (GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_ANSWER,
                      "%s: unexpected response with status %d", what,
                      response->status);
}

/* Appends.  */

static void
end_append (append_t *append, gp_append_result_t result, uint64_t offset,
            const GError *error)
{
  gp_list_remove (&append->link);
  gp_deferred_cancel (&append->refusal);
  if (result != GP_APPEND_DONE)
    gp_counter_add (&append_failures_total, 1);
  append->on_done (result, offset, error, append->data);
  response_finish (&append->response);
  g_free (append);
}

static void
on_append_head (int status, const gp_http_header_t *headers, size_t count,
                void *data)
{
  append_t *append = data;

  append->response.status = status;
}

static bool
on_append_body (const void *bytes, size_t size, void *data)
{
  append_t *append = data;

  response_append (&append->response, bytes, size);
  return true;
}

static void
on_append_response (append_t *append)
{
  const response_t *response = &append->response;
  bool refused = response->status == STATUS_BAD_REQUEST
                 || response->status == STATUS_TOO_LARGE;
  Gp__Log__AppendReply *reply = NULL;
  GError *error = NULL;

  if (response->status == STATUS_CREATED && !response->too_large)
    reply = gp__log__append_reply__unpack (NULL, response->body->len,
                                           response->body->data);
  if (reply != NULL)
    {
      end_append (append, GP_APPEND_DONE, reply->offset, NULL);
      gp__log__append_reply__free_unpacked (reply, NULL);
      return;
    }
  error = response_error (response, "append");
  end_append (append, refused ? GP_APPEND_REFUSED : GP_APPEND_UNKNOWN, 0,
              error);
  g_error_free (error);
}

static void
on_append_done (const GError *error, bool sent, void *data)
{
  append_t *append = data;

  if (error == NULL)
    on_append_response (append);
  else
    end_append (append, sent ? GP_APPEND_UNKNOWN : GP_APPEND_REFUSED, 0,
                error);
}

static const gp_http_call_callbacks_t append_callbacks
    = { on_append_head, on_append_body, on_append_done };

static void
on_refusal (gp_deferred_t *deferred)
{
  append_t *append = GP_CONTAINER_OF (deferred, append_t, refusal);
  GError *error = g_error_new (GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_SIZE,
                               "append: a record must have 1 to %zu bytes",
                               GP_STREAM_RECORD_MAX);

  end_append (append, GP_APPEND_REFUSED, 0, error);
  g_error_free (error);
}

void
gp_stream_append (gp_stream_t *stream, const void *bytes, size_t size,
                  gp_time_t deadline,
                  void (*on_done) (gp_append_result_t result, uint64_t offset,
                                   const GError *error, void *data),
                  void *data)
{
  append_t *append = g_new0 (append_t, 1);
  gp_http_call_request_t request = { .method = "POST",
                                     .path = stream->path,
                                     .body = bytes,
                                     .body_size = size,
                                     .deadline = deadline };

  append->on_done = on_done;
  append->data = data;
  response_init (&append->response, ACK_MAX_SIZE);
  gp_deferred_init (&append->refusal, on_refusal);
  gp_list_push_back (&stream->appends, &append->link);
  gp_counter_add (&appends_total, 1);
  if (size > 0 && size <= GP_STREAM_RECORD_MAX)
    gp_http_client_call (stream->writer, &request, &append_callbacks, append);
  else
    gp_deferred_schedule (&append->refusal, stream->loop);
}

/* The follower.  */

static void start_read (gp_stream_t *stream);

static void
on_retry (gp_timer_t *timer, void *data)
{
  start_read (data);
}

/* Report ERROR, taking ownership of it, and schedule another read.  */
static void
fail_read (gp_stream_t *stream, GError *error)
{
  gp_time_t pause = stream->retry_time;

  stream->poll_at_once = true;
  gp_counter_add (&read_failures_total, 1);
  stream->retry_time
      = MIN (2 * stream->retry_time, stream->options.retry_time_max);
  gp_timer_arm (&stream->retry, gp_time_now () + pause);
  stream->callbacks.on_error (error, stream->data);
  g_error_free (error);
}

static void
report_gap (gp_stream_t *stream, uint64_t first_offset)
{
  stream->following = false;
  stream->callbacks.on_gap (stream->from, first_offset, stream->data);
}

/* Convert the records of REPLY, which must have consecutive offsets that start
   with FROM; NULL when they do not.  */
static gp_stream_record_t *
convert_records (const Gp__Log__ReadReply *reply, uint64_t from)
{
  gp_stream_record_t *records
      = g_new (gp_stream_record_t, reply->n_records + 1);

  for (size_t i = 0; i < reply->n_records; i++)
    {
      const Gp__Log__Record *record = reply->records[i];

      records[i] = (gp_stream_record_t){ .offset = record->offset,
                                         .data = record->data.data,
                                         .size = record->data.len };
      if (record->offset != from + i || record->offset >= reply->next_offset)
        {
          g_free (records);
          return NULL;
        }
    }
  return records;
}

/* Return whether a long poll without records returned too early.  The next
   read is then delayed, so as not to loop on such a service.  */
static bool
returned_early (const gp_stream_t *stream)
{
  return gp_time_now () - stream->sent_at < stream->options.poll_time / 2
         || stream->options.poll_time == 0;
}

/* Report the read and start the next one, unless the callback stopped or
   restarted following.  */
static void
report_read (gp_stream_t *stream, const Gp__Log__ReadReply *reply,
             const gp_stream_record_t *records)
{
  uint64_t follow_generation = stream->follow_generation;
  uint64_t read_up_to = stream->from + reply->n_records;
  bool waited = !stream->poll_at_once;
  gp_stream_read_t read = { .sent_at = stream->sent_at,
                            .from = stream->from,
                            .first_offset = reply->first_offset,
                            .next_offset = reply->next_offset,
                            .records = records,
                            .count = reply->n_records,
                            .complete = read_up_to == reply->next_offset };

  gp_counter_add (&reads_total, 1);
  gp_counter_add (&records_total, (int64_t)reply->n_records);
  stream->retry_time = stream->options.retry_time;
  stream->from = read_up_to;
  stream->poll_at_once = false;
  stream->callbacks.on_read (&read, stream->data);
  if (stream->follow_generation != follow_generation)
    return;
  if (reply->n_records == 0 && waited && returned_early (stream))
    gp_timer_arm (&stream->retry, gp_time_now () + stream->retry_time);
  else
    start_read (stream);
}

static void
process_reply (gp_stream_t *stream, const Gp__Log__ReadReply *reply)
{
  gp_stream_record_t *records;

  if (reply->first_offset > stream->from || reply->next_offset < stream->from)
    {
      report_gap (stream, reply->first_offset);
      return;
    }
  records = convert_records (reply, stream->from);
  if (records == NULL)
    fail_read (stream, g_error_new_literal (GP_TRANSPORT_ERROR,
                                            GP_TRANSPORT_ERROR_ANSWER,
                                            "read: records are not dense"));
  else
    report_read (stream, reply, records);
  g_free (records);
}

static void
on_read_response (gp_stream_t *stream, const response_t *response)
{
  bool expected
      = response->status == STATUS_OK || response->status == STATUS_GONE;
  Gp__Log__ReadReply *reply = NULL;

  if (expected && !response->too_large)
    reply = gp__log__read_reply__unpack (NULL, response->body->len,
                                         response->body->data);
  if (reply == NULL)
    {
      fail_read (stream, response_error (response, "read"));
      return;
    }
  if (response->status == STATUS_GONE)
    report_gap (stream, reply->first_offset);
  else
    process_reply (stream, reply);
  gp__log__read_reply__free_unpacked (reply, NULL);
}

static void
on_read_head (int status, const gp_http_header_t *headers, size_t count,
              void *data)
{
  gp_stream_t *stream = data;

  stream->response.status = status;
}

static bool
on_read_body (const void *bytes, size_t size, void *data)
{
  gp_stream_t *stream = data;

  response_append (&stream->response, bytes, size);
  return true;
}

static void
on_read_done (const GError *error, bool sent, void *data)
{
  gp_stream_t *stream = data;
  response_t response = stream->response;

  stream->read = NULL;
  stream->response.body = NULL;
  if (error != NULL)
    fail_read (stream, g_error_copy (error));
  else
    on_read_response (stream, &response);
  response_finish (&response);
}

static const gp_http_call_callbacks_t read_callbacks
    = { on_read_head, on_read_body, on_read_done };

static void
start_read (gp_stream_t *stream)
{
  const gp_stream_options_t *options = &stream->options;
  gp_time_t wait = stream->poll_at_once ? 0 : options->poll_time;
  char *path = g_strdup_printf (
      "%s?from=%" PRIu64 "&max_bytes=%zu&wait_ms=%" PRId64, stream->path,
      stream->from, options->max_read_size, (int64_t)(wait / GP_MSEC));
  gp_http_call_request_t request = { .method = "GET", .path = path };

  response_init (&stream->response, options->max_read_size
                                        + GP_STREAM_RECORD_MAX
                                        + REPLY_OVERHEAD);
  stream->sent_at = gp_time_now ();
  request.deadline
      = stream->sent_at + options->poll_time + options->read_timeout;
  stream->read = gp_http_client_call (stream->reader, &request,
                                      &read_callbacks, stream);
  g_free (path);
}

void
gp_stream_unfollow (gp_stream_t *stream)
{
  stream->follow_generation++;
  stream->following = false;
  gp_timer_disarm (&stream->retry);
  if (stream->read == NULL)
    return;
  gp_http_call_cancel (stream->read);
  stream->read = NULL;
  response_finish (&stream->response);
}

void
gp_stream_follow (gp_stream_t *stream, uint64_t from)
{
  gp_stream_unfollow (stream);
  stream->from = from;
  stream->following = true;
  stream->poll_at_once = true;
  stream->retry_time = stream->options.retry_time;
  start_read (stream);
}

/* The stream.  */

static bool
is_valid_name (const char *name)
{
  if (name[0] == '\0')
    return false;
  for (; *name != '\0'; name++)
    if (!g_ascii_isalnum (*name) && strchr ("._-", *name) == NULL)
      return false;
  return true;
}

static gp_http_client_t *
new_client (gp_loop_t *loop, const gp_stream_options_t *options,
            size_t max_connections, GError **error)
{
  gp_http_client_options_t client = { .address = options->address,
                                      .max_connections = max_connections,
                                      .idle_timeout = IDLE_TIME };

  return gp_http_client_new (loop, &client, error);
}

static void
register_counters (void)
{
  gp_counter_register (&appends_total);
  gp_counter_register (&append_failures_total);
  gp_counter_register (&reads_total);
  gp_counter_register (&read_failures_total);
  gp_counter_register (&records_total);
}

static void
on_closer (gp_closer_t *closer)
{
  gp_stream_free (GP_CONTAINER_OF (closer, gp_stream_t, closer));
}

gp_stream_t *
gp_stream_new (gp_loop_t *loop, const gp_stream_options_t *options,
               const gp_stream_callbacks_t *callbacks, void *data,
               GError **error)
{
  gp_http_client_t *reader;
  gp_stream_t *stream;

  if (!is_valid_name (options->name))
    {
      g_set_error (error, GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_ADDRESS,
                   "'%s' is not a valid stream name", options->name);
      return NULL;
    }
  reader = new_client (loop, options, 1, error);
  if (reader == NULL)
    return NULL;
  register_counters ();
  stream = g_new0 (gp_stream_t, 1);
  stream->loop = loop;
  stream->reader = reader;
  stream->writer = new_client (loop, options, options->max_appends, NULL);
  stream->callbacks = *callbacks;
  stream->data = data;
  stream->options = *options;
  stream->options.address = NULL;
  stream->options.name = NULL;
  stream->path = g_strdup_printf ("/v1/streams/%s/records", options->name);
  gp_list_init (&stream->appends);
  gp_timer_init (&stream->retry, loop, on_retry, stream);
  stream->retry.uv.data = stream;
  gp_closer_add (&stream->closer, loop, on_closer, NULL);
  return stream;
}

static void
on_stream_closed (uv_handle_t *handle)
{
  gp_stream_t *stream = handle->data;

  g_free (stream->path);
  g_free (stream);
}

void
gp_stream_free (gp_stream_t *stream)
{
  if (stream == NULL)
    return;
  gp_closer_remove (&stream->closer);
  gp_stream_unfollow (stream);
  gp_http_client_free (stream->reader);
  gp_http_client_free (stream->writer);
  GP_LIST_FOREACH_SAFE (pos, &stream->appends)
  on_refusal (&GP_CONTAINER_OF (pos, append_t, link)->refusal);
  uv_close ((uv_handle_t *)&stream->retry.uv, on_stream_closed);
}

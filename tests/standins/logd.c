/* logd: stand-in for the platform's log service.

   Named streams of records with consecutive offsets, kept in memory.  A
   delayed append takes effect even if its caller has disconnected, as with the
   real service.  Fault switches (POST /faults):

   down             respond with 503 to every request
   refuse_from      close connections from these IPs without a response
   refuse_on        the same for requests received on these ports
   append_delay_ms  delay before an append takes effect and is acknowledged
   append_rate      appends per second, 0: unlimited; further ones wait
   late_ack_ms      delay of the acknowledgement after an append took effect
   lost_ack         the next N appends take effect without a response
   drop_append      the next N appends have no effect and no response
   read_delay_ms    delay before a read is evaluated and answered
   retain_records, retain_bytes, retain_ms   retention of each stream, 0: no
                    limit  */

#include <stdlib.h>
#include <string.h>

#include "base/list.h"
#include "base/time.h"
#include "lib/server.h"
#include "platform_log.pb-c.h"

#define RECORD_MAX_SIZE (512L * 1024)
#define READ_DEFAULT_SIZE (1024L * 1024)
#define READ_MAX_SIZE (16L * 1024 * 1024)
#define STREAM_PREFIX "/v1/streams/"
#define STREAM_SUFFIX "/records"
#define OCTETS "application/octet-stream"

typedef struct
{
  GBytes *data;
  gp_time_t appended_at;
} record_t;

typedef struct
{
  char *name;
  GQueue records; /* of record_t */
  uint64_t first_offset;
  uint64_t next_offset;
  int64_t bytes;
  gp_list_t readers; /* reads waiting for an append */
} stream_t;

/* An append or a read in progress.  */
typedef struct
{
  stream_t *stream;
  gp_deferred_request_t request;
  GBytes *data; /* of an append */
  uint64_t offset;
  int64_t max_bytes; /* this and the next fields: of a read */
  uint64_t wait_ms;
  gp_list_t link; /* in the stream's readers */
  uv_timer_t timer;
} operation_t;

static struct
{
  bool down;
  json_t *refuse_from;
  json_t *refuse_on;
  int64_t append_delay_ms;
  int64_t append_rate;
  int64_t late_ack_ms;
  int64_t lost_ack;
  int64_t drop_append;
  int64_t read_delay_ms;
  int64_t retain_records;
  int64_t retain_bytes;
  int64_t retain_ms;
} faults;

static const gp_fault_t fault_table[] = {
  GP_FAULT_IS_FLAG ("down", &faults.down),
  GP_FAULT_IS_LIST ("refuse_from", &faults.refuse_from),
  GP_FAULT_IS_LIST ("refuse_on", &faults.refuse_on),
  GP_FAULT_IS_INTEGER ("append_delay_ms", &faults.append_delay_ms),
  GP_FAULT_IS_INTEGER ("append_rate", &faults.append_rate),
  GP_FAULT_IS_INTEGER ("late_ack_ms", &faults.late_ack_ms),
  GP_FAULT_IS_INTEGER ("lost_ack", &faults.lost_ack),
  GP_FAULT_IS_INTEGER ("drop_append", &faults.drop_append),
  GP_FAULT_IS_INTEGER ("read_delay_ms", &faults.read_delay_ms),
  GP_FAULT_IS_INTEGER ("retain_records", &faults.retain_records),
  GP_FAULT_IS_INTEGER ("retain_bytes", &faults.retain_bytes),
  GP_FAULT_IS_INTEGER ("retain_ms", &faults.retain_ms),
};

static gp_standin_t standin;
static GHashTable *streams;
static gp_time_t next_append_at; /* earliest time allowed by append_rate */
static int64_t appends, appended_bytes, reads, read_bytes;

static stream_t *
stream_get (const char *name)
{
  stream_t *stream = g_hash_table_lookup (streams, name);

  if (stream != NULL)
    return stream;
  stream = g_new0 (stream_t, 1);
  stream->name = g_strdup (name);
  g_queue_init (&stream->records);
  gp_list_init (&stream->readers);
  g_hash_table_insert (streams, stream->name, stream);
  return stream;
}

static bool
over_retention (const stream_t *stream, gp_time_t now)
{
  const record_t *oldest = g_queue_peek_head ((GQueue *)&stream->records);

  if (oldest == NULL)
    return false;
  if (faults.retain_records > 0
      && stream->records.length > (uint64_t)faults.retain_records)
    return true;
  if (faults.retain_bytes > 0 && stream->bytes > faults.retain_bytes)
    return true;
  return faults.retain_ms > 0
         && oldest->appended_at + faults.retain_ms * GP_MSEC < now;
}

static void
stream_trim (stream_t *stream)
{
  gp_time_t now = gp_time_now ();

  while (over_retention (stream, now))
    {
      record_t *record = g_queue_pop_head (&stream->records);

      stream->bytes -= (int64_t)g_bytes_get_size (record->data);
      stream->first_offset++;
      g_bytes_unref (record->data);
      g_free (record);
    }
}

/* Reads.  */

static void
on_operation_closed (uv_handle_t *handle)
{
  g_free (GP_CONTAINER_OF (handle, operation_t, timer));
}

static operation_t *
operation_new (stream_t *stream, h2o_req_t *req)
{
  operation_t *operation = g_new0 (operation_t, 1);

  operation->stream = stream;
  gp_deferred_request_init (&operation->request, req);
  gp_list_init (&operation->link);
  uv_timer_init (&standin.uv, &operation->timer);
  return operation;
}

static void
operation_free (operation_t *operation)
{
  gp_list_remove (&operation->link);
  gp_deferred_request_release (&operation->request);
  g_clear_pointer (&operation->data, g_bytes_unref);
  uv_close ((uv_handle_t *)&operation->timer, on_operation_closed);
}

static void
reply_message (h2o_req_t *req, int status, const ProtobufCMessage *message)
{
  size_t size = protobuf_c_message_get_packed_size (message);
  uint8_t *bytes = g_malloc (size + 1);

  protobuf_c_message_pack (message, bytes);
  gp_reply_bytes (req, status, OCTETS, bytes, size);
  g_free (bytes);
}

/* Return the records from OFFSET on: at least one, and further ones up to
   MAX_BYTES in total.  */
static GPtrArray *
collect (const stream_t *stream, uint64_t offset, int64_t max_bytes)
{
  GPtrArray *found = g_ptr_array_new_with_free_func (g_free);
  guint index = (guint)(offset - stream->first_offset);
  GList *link = g_queue_peek_nth_link ((GQueue *)&stream->records, index);
  int64_t total = 0;

  for (; link != NULL; link = link->next, offset++)
    {
      const record_t *record = link->data;
      size_t size;
      const void *data = g_bytes_get_data (record->data, &size);
      Gp__Log__Record *message;

      total += (int64_t)size;
      if (found->len > 0 && total > max_bytes)
        break;
      message = g_new (Gp__Log__Record, 1);
      gp__log__record__init (message);
      message->offset = offset;
      message->data.data = (uint8_t *)data;
      message->data.len = size;
      read_bytes += (int64_t)size;
      g_ptr_array_add (found, message);
    }
  return found;
}

static void
read_finish (operation_t *operation)
{
  stream_t *stream = operation->stream;
  h2o_req_t *req = gp_deferred_request_release (&operation->request);
  Gp__Log__ReadReply reply = GP__LOG__READ_REPLY__INIT;
  g_autoptr (GPtrArray) found = NULL;
  int status = 200;

  stream_trim (stream);
  reply.first_offset = stream->first_offset;
  reply.next_offset = stream->next_offset;
  if (operation->offset < stream->first_offset)
    status = 410;
  else if (operation->offset < stream->next_offset)
    {
      found = collect (stream, operation->offset, operation->max_bytes);
      reply.n_records = found->len;
      reply.records = (Gp__Log__Record **)found->pdata;
    }
  reads++;
  if (req != NULL && faults.down)
    gp_reply_status (req, 503);
  else if (req != NULL)
    reply_message (req, status, &reply.base);
  operation_free (operation);
}

static void
on_wait_over (uv_timer_t *timer)
{
  read_finish (GP_CONTAINER_OF (timer, operation_t, timer));
}

static void
read_start (void *data)
{
  operation_t *operation = data;
  stream_t *stream = operation->stream;

  if (operation->offset != stream->next_offset || operation->wait_ms == 0)
    {
      read_finish (operation);
      return;
    }
  gp_list_push_back (&stream->readers, &operation->link);
  uv_timer_start (&operation->timer, on_wait_over, operation->wait_ms, 0);
}

static void
wake_readers (stream_t *stream)
{
  gp_list_t *link;

  while ((link = gp_list_pop_front (&stream->readers)) != NULL)
    read_finish (GP_CONTAINER_OF (link, operation_t, link));
}

static void
handle_read (stream_t *stream, h2o_req_t *req)
{
  operation_t *operation = operation_new (stream, req);
  int64_t max_bytes = gp_request_number (req, "max_bytes", READ_DEFAULT_SIZE);

  operation->offset = (uint64_t)gp_request_number (req, "from", 0);
  operation->max_bytes = CLAMP (max_bytes, 0, READ_MAX_SIZE);
  operation->wait_ms = (uint64_t)gp_request_number (req, "wait_ms", 0);
  gp_standin_call_later (&standin, (uint64_t)faults.read_delay_ms, read_start,
                         operation);
}

/* Appends.  */

static void
append_acknowledge (void *data)
{
  operation_t *operation = data;
  h2o_req_t *req = gp_deferred_request_release (&operation->request);
  Gp__Log__AppendReply reply = GP__LOG__APPEND_REPLY__INIT;

  reply.offset = operation->offset;
  if (req != NULL)
    reply_message (req, 201, &reply.base);
  operation_free (operation);
}

static void
append_abort (operation_t *operation)
{
  h2o_req_t *req = gp_deferred_request_release (&operation->request);

  if (req != NULL)
    gp_reply_abort (req);
  operation_free (operation);
}

static void
append_take_effect (operation_t *operation)
{
  stream_t *stream = operation->stream;
  record_t *record = g_new (record_t, 1);

  record->data = g_bytes_ref (operation->data);
  record->appended_at = gp_time_now ();
  operation->offset = stream->next_offset++;
  stream->bytes += (int64_t)g_bytes_get_size (record->data);
  g_queue_push_tail (&stream->records, record);
  stream_trim (stream);
  appends++;
  appended_bytes += (int64_t)g_bytes_get_size (record->data);
  gp_ledger_begin (&standin.ledger, "append");
  gp_ledger_string (&standin.ledger, "stream", stream->name,
                    strlen (stream->name));
  gp_ledger_integer (&standin.ledger, "offset", (int64_t)operation->offset);
  gp_ledger_integer (&standin.ledger, "bytes",
                     (int64_t)g_bytes_get_size (record->data));
  gp_ledger_end (&standin.ledger);
  wake_readers (stream);
}

static void
append_start (void *data)
{
  operation_t *operation = data;

  if (faults.drop_append > 0)
    {
      faults.drop_append--;
      append_abort (operation);
      return;
    }
  append_take_effect (operation);
  if (faults.lost_ack > 0)
    {
      faults.lost_ack--;
      append_abort (operation);
      return;
    }
  gp_standin_call_later (&standin, (uint64_t)faults.late_ack_ms,
                         append_acknowledge, operation);
}

/* Return how long the next append must wait because of append_rate, in
   milliseconds, and advance next_append_at.  */
static uint64_t
append_rate_delay_ms (void)
{
  gp_time_t now = gp_time_now ();
  gp_time_t turn = MAX (now, next_append_at);

  if (faults.append_rate <= 0)
    return 0;
  next_append_at = turn + GP_SEC / faults.append_rate;
  return (uint64_t)((turn - now) / GP_MSEC);
}

static void
handle_append (stream_t *stream, h2o_req_t *req)
{
  operation_t *operation;

  if (req->entity.len > RECORD_MAX_SIZE)
    {
      gp_reply_status (req, 413);
      return;
    }
  operation = operation_new (stream, req);
  operation->data = g_bytes_new (req->entity.base, req->entity.len);
  gp_standin_call_later (
      &standin, (uint64_t)faults.append_delay_ms + append_rate_delay_ms (),
      append_start, operation);
}

/* Requests.  */

static bool
refused (h2o_req_t *req)
{
  size_t i;
  json_t *value;

  json_array_foreach (faults.refuse_from, i, value)
  {
    if (json_is_string (value)
        && gp_request_from (req, json_string_value (value)))
      return true;
  }
  json_array_foreach (faults.refuse_on, i, value)
  {
    if (json_integer_value (value) == gp_request_port (req))
      return true;
  }
  return false;
}

/* Return the stream named in the path, or NULL if the path has another
   form.  */
static stream_t *
request_stream (const h2o_req_t *req)
{
  h2o_iovec_t rest = gp_request_suffix (req, STREAM_PREFIX);
  size_t suffix = sizeof STREAM_SUFFIX - 1;
  g_autofree char *name = NULL;

  if (rest.base == NULL || rest.len <= suffix
      || memcmp (rest.base + rest.len - suffix, STREAM_SUFFIX, suffix) != 0)
    return NULL;
  name = g_strndup (rest.base, rest.len - suffix);
  return strchr (name, '/') == NULL ? stream_get (name) : NULL;
}

static void
on_request (gp_standin_t *self, h2o_req_t *req)
{
  stream_t *stream = request_stream (req);

  if (refused (req))
    gp_reply_abort (req);
  else if (faults.down)
    gp_reply_status (req, 503);
  else if (stream == NULL)
    gp_reply_status (req, 404);
  else if (h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("POST")))
    handle_append (stream, req);
  else if (h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("GET")))
    handle_read (stream, req);
  else
    gp_reply_status (req, 405);
}

static void
on_faults (gp_standin_t *self)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      stream_trim (value);
      if (faults.down)
        wake_readers (value);
    }
}

static json_t *
show_stats (gp_standin_t *self)
{
  json_t *list = json_object ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const stream_t *stream = value;

      json_object_set_new (list, stream->name,
                           json_pack ("{s:I,s:I,s:I}", "first_offset",
                                      (json_int_t)stream->first_offset,
                                      "next_offset",
                                      (json_int_t)stream->next_offset, "bytes",
                                      (json_int_t)stream->bytes));
    }
  return json_pack ("{s:I,s:I,s:I,s:I,s:i,s:o}", "appends", appends,
                    "appended_bytes", appended_bytes, "reads", reads,
                    "read_bytes", read_bytes, "connections",
                    standin.connections, "streams", list);
}

int
main (int argc, char **argv)
{
  streams = g_hash_table_new (g_str_hash, g_str_equal);
  standin.summary = "Stand-in for the platform's log service.";
  standin.on_request = on_request;
  standin.faults = fault_table;
  standin.fault_count = G_N_ELEMENTS (fault_table);
  standin.on_faults = on_faults;
  standin.stats = show_stats;
  gp_standin_start (&standin, NULL, argc, argv);
  gp_standin_run (&standin);
  return 0;
}

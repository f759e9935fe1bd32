/* Tests of the log client with a simple in-memory log service.  */

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "platform_log.pb-c.h"
#include "transport/http.h"
#include "transport/log_client.h"
#include "transport_support.h"
#include "runner.h"

#define APPEND_TIME (10 * GP_SEC)
#define PATH "/v1/streams/site.events/records"

typedef struct
{
  gp_loop_t loop;
  /* The log service.  */
  gp_http_server_t *server;
  GPtrArray *records; /* of GString */
  uint64_t first_offset;
  gp_http_exchange_t *poll; /* the pending long poll */
  size_t records_per_read;
  int fail_status; /* status of all responses unless 0 */
  bool lose_ack;
  bool skip_record; /* in reads, by shifting the offsets */
  int reads_requested;
  /* Events reported by the client.  */
  gp_stream_t *stream;
  int reads;
  int complete_reads;
  int records_read;
  GString *text;
  gp_stream_read_t last;
  int gaps;
  uint64_t gap_from;
  uint64_t gap_to;
  int errors;
  int error_code;
  bool stop_in_read;
  bool free_in_read;
} fixture_t;

typedef struct
{
  int done;
  gp_append_result_t result;
  uint64_t offset;
  int code;
} append_t;

/* The log service.  */

static uint64_t
parameter (gp_http_exchange_t *exchange, const char *name)
{
  gp_http_text_t path = gp_http_exchange_path (exchange);
  char *text = g_strndup (path.base, path.size);
  char *found = strstr (text, name);
  uint64_t value = 0;

  CU_ASSERT_PTR_NOT_NULL (found);
  if (found != NULL)
    value = strtoull (found + strlen (name) + 1, NULL, 10);
  g_free (text);
  return value;
}

static void
answer_read (fixture_t *fixture, gp_http_exchange_t *exchange)
{
  uint64_t from = parameter (exchange, "from");
  Gp__Log__ReadReply reply = GP__LOG__READ_REPLY__INIT;
  Gp__Log__Record records[16];
  Gp__Log__Record *pointers[16];
  uint8_t buffer[4096];

  reply.first_offset = fixture->first_offset;
  reply.next_offset = fixture->records->len;
  reply.records = pointers;
  for (uint64_t i = from; i >= fixture->first_offset && i < reply.next_offset
                          && reply.n_records < fixture->records_per_read;
       i++)
    {
      GString *data = g_ptr_array_index (fixture->records, i);
      Gp__Log__Record *record = &records[reply.n_records];

      gp__log__record__init (record);
      record->offset = i + (fixture->skip_record ? 1 : 0);
      record->data.data = (uint8_t *)data->str;
      record->data.len = data->len;
      pointers[reply.n_records++] = record;
    }
  gp_http_exchange_answer (exchange, from < reply.first_offset ? 410 : 200,
                           NULL, 0, buffer,
                           gp__log__read_reply__pack (&reply, buffer));
}

static void
on_poll_gone (void *data)
{
  fixture_t *fixture = data;

  fixture->poll = NULL;
}

static void
handle_read (fixture_t *fixture, gp_http_exchange_t *exchange)
{
  fixture->reads_requested++;
  if (parameter (exchange, "from") == fixture->records->len)
    {
      fixture->poll = exchange;
      gp_http_exchange_watch (exchange, on_poll_gone, NULL, fixture);
      return;
    }
  answer_read (fixture, exchange);
}

static void
answer_poll (fixture_t *fixture)
{
  gp_http_exchange_t *poll = fixture->poll;

  fixture->poll = NULL;
  if (poll != NULL)
    answer_read (fixture, poll);
}

static void
handle_append (fixture_t *fixture, gp_http_exchange_t *exchange)
{
  gp_http_text_t body = gp_http_exchange_body (exchange);
  Gp__Log__AppendReply reply = GP__LOG__APPEND_REPLY__INIT;
  uint8_t buffer[64];

  reply.offset = fixture->records->len;
  g_ptr_array_add (fixture->records,
                   g_string_new_len (body.base, (gssize)body.size));
  if (fixture->lose_ack)
    {
      gp_http_exchange_start (exchange, 201, NULL, 0, 10);
      gp_http_exchange_abort (exchange);
    }
  else
    gp_http_exchange_answer (exchange, 201, NULL, 0, buffer,
                             gp__log__append_reply__pack (&reply, buffer));
  answer_poll (fixture);
}

static void
on_request (gp_http_exchange_t *exchange, void *data)
{
  fixture_t *fixture = data;
  gp_http_text_t path = gp_http_exchange_path (exchange);

  CU_ASSERT_TRUE (path.size >= strlen (PATH)
                  && memcmp (path.base, PATH, strlen (PATH)) == 0);
  if (fixture->fail_status != 0)
    gp_http_exchange_answer (exchange, fixture->fail_status, NULL, 0, NULL, 0);
  else if (gp_http_exchange_method (exchange).base[0] == 'P')
    handle_append (fixture, exchange);
  else
    handle_read (fixture, exchange);
}

/* The client.  */

static void
on_read (const gp_stream_read_t *read, void *data)
{
  fixture_t *fixture = data;

  fixture->reads++;
  fixture->complete_reads += read->complete ? 1 : 0;
  fixture->last = *read;
  for (size_t i = 0; i < read->count; i++)
    {
      CU_ASSERT_EQUAL (read->records[i].offset, read->from + i);
      g_string_append_len (fixture->text, (const char *)read->records[i].data,
                           (gssize)read->records[i].size);
      fixture->records_read++;
    }
  if (fixture->stop_in_read)
    gp_stream_unfollow (fixture->stream);
  if (fixture->free_in_read)
    gp_stream_free (fixture->stream);
}

static void
on_gap (uint64_t from, uint64_t first_offset, void *data)
{
  fixture_t *fixture = data;

  fixture->gaps++;
  fixture->gap_from = from;
  fixture->gap_to = first_offset;
}

static void
on_error (const GError *error, void *data)
{
  fixture_t *fixture = data;

  fixture->errors++;
  fixture->error_code = error->code;
}

static const gp_stream_callbacks_t callbacks = { on_read, on_gap, on_error };

static void
on_append (gp_append_result_t result, uint64_t offset, const GError *error,
           void *data)
{
  append_t *append = data;

  append->done++;
  append->result = result;
  append->offset = offset;
  append->code = error != NULL ? error->code : -1;
}

static void
append_run (fixture_t *fixture, append_t *append, const char *text,
            size_t size)
{
  memset (append, 0, sizeof *append);
  gp_stream_append (fixture->stream, text, size,
                    gp_loop_now (&fixture->loop) + APPEND_TIME, on_append,
                    append);
  CU_ASSERT_EQUAL (append->done, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture->loop, &append->done, 1));
}

static void
free_record (gpointer record)
{
  g_string_free (record, TRUE);
}

static void
setup (fixture_t *fixture)
{
  char address[32];
  gp_http_server_options_t server = { .address = "127.0.0.1:0",
                                      .max_body_size = GP_STREAM_RECORD_MAX,
                                      .header_timeout = 10 * GP_SEC,
                                      .on_request = on_request,
                                      .data = fixture };
  gp_stream_options_t options = { .address = address,
                                  .name = "site.events",
                                  .max_appends = 2,
                                  .poll_time = 10 * GP_SEC,
                                  .read_timeout = GP_SEC,
                                  .retry_time = GP_MSEC,
                                  .retry_time_max = 4 * GP_MSEC,
                                  .max_read_size = 4096 };
  GError *error = NULL;

  memset (fixture, 0, sizeof *fixture);
  gp_loop_init (&fixture->loop, NULL);
  fixture->records = g_ptr_array_new_with_free_func (free_record);
  fixture->records_per_read = 10;
  fixture->text = g_string_new (NULL);
  fixture->server = gp_http_server_new (&fixture->loop, &server, NULL);
  g_snprintf (address, sizeof address, "127.0.0.1:%d",
              gp_http_server_port (fixture->server));
  fixture->stream
      = gp_stream_new (&fixture->loop, &options, &callbacks, fixture, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->stream);
  options.name = "a/b";
  CU_ASSERT_PTR_NULL (
      gp_stream_new (&fixture->loop, &options, &callbacks, fixture, &error));
  CU_ASSERT_TRUE (
      g_error_matches (error, GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_ADDRESS));
  g_clear_error (&error);
}

static void
teardown (fixture_t *fixture)
{
  gp_loop_finish (&fixture->loop);
  g_ptr_array_unref (fixture->records);
  g_string_free (fixture->text, TRUE);
}

static void
test_append_and_follow (void)
{
  fixture_t fixture;
  append_t append;
  gp_time_t between;

  setup (&fixture);
  for (int i = 0; i < 3; i++)
    {
      append_run (&fixture, &append, "abc" + i, 1);
      CU_ASSERT_EQUAL (append.result, GP_APPEND_DONE);
      CU_ASSERT_EQUAL (append.offset, (uint64_t)i);
    }
  fixture.records_per_read = 2;
  gp_stream_follow (fixture.stream, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.reads, 2));
  CU_ASSERT_EQUAL (fixture.complete_reads, 1);
  CU_ASSERT_TRUE (fixture.last.complete);
  CU_ASSERT_STRING_EQUAL (fixture.text->str, "abc");
  CU_ASSERT_EQUAL (fixture.last.next_offset, 3);
  /* The pending poll returns the next record; its sent_at is the time of the
     request, before the append.  */
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.reads_requested, 3));
  between = gp_time_now ();
  append_run (&fixture, &append, "d", 1);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.reads, 3));
  CU_ASSERT_TRUE (fixture.last.sent_at < between);
  CU_ASSERT_TRUE (fixture.last.complete);
  CU_ASSERT_STRING_EQUAL (fixture.text->str, "abcd");
  /* A poll without records is reported as well.  */
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.reads_requested, 4));
  answer_poll (&fixture);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.reads, 4));
  CU_ASSERT_TRUE (fixture.last.sent_at >= between);
  CU_ASSERT_EQUAL (fixture.last.count, 0);
  CU_ASSERT_TRUE (fixture.last.complete);
  CU_ASSERT_EQUAL (fixture.errors + fixture.gaps, 0);
  teardown (&fixture);
}

/* The result of an append whose acknowledgement is lost is unknown.  A retry
   adds a second record, which readers must discard.  */
static void
test_lost_ack (void)
{
  fixture_t fixture;
  append_t append;

  setup (&fixture);
  fixture.lose_ack = true;
  append_run (&fixture, &append, "a", 1);
  CU_ASSERT_EQUAL (append.result, GP_APPEND_UNKNOWN);
  CU_ASSERT_EQUAL (append.code, GP_TRANSPORT_ERROR_CLOSED);
  fixture.lose_ack = false;
  append_run (&fixture, &append, "a", 1);
  CU_ASSERT_EQUAL (append.result, GP_APPEND_DONE);
  CU_ASSERT_EQUAL (append.offset, 1);
  teardown (&fixture);
}

static void
test_append_refused (void)
{
  static const char large[GP_STREAM_RECORD_MAX + 1];
  fixture_t fixture;
  append_t append;

  setup (&fixture);
  append_run (&fixture, &append, large, sizeof large);
  CU_ASSERT_EQUAL (append.result, GP_APPEND_REFUSED);
  CU_ASSERT_EQUAL (append.code, GP_TRANSPORT_ERROR_SIZE);
  append_run (&fixture, &append, large, 0);
  CU_ASSERT_EQUAL (append.result, GP_APPEND_REFUSED);
  append_run (&fixture, &append, large, GP_STREAM_RECORD_MAX);
  CU_ASSERT_EQUAL (append.result, GP_APPEND_DONE);
  fixture.fail_status = 400;
  append_run (&fixture, &append, "a", 1);
  CU_ASSERT_EQUAL (append.result, GP_APPEND_REFUSED);
  fixture.fail_status = 503;
  append_run (&fixture, &append, "a", 1);
  CU_ASSERT_EQUAL (append.result, GP_APPEND_UNKNOWN);
  CU_ASSERT_EQUAL (append.code, GP_TRANSPORT_ERROR_ANSWER);
  gp_http_server_shutdown (fixture.server, NULL, NULL);
  run_loop_iterations (&fixture.loop, 5);
  append_run (&fixture, &append, "a", 1);
  CU_ASSERT_EQUAL (append.result, GP_APPEND_REFUSED);
  CU_ASSERT_EQUAL (append.code, GP_TRANSPORT_ERROR_CONNECT);
  teardown (&fixture);
}

static void
test_outage (void)
{
  fixture_t fixture;
  append_t append;

  setup (&fixture);
  append_run (&fixture, &append, "a", 1);
  fixture.fail_status = 503;
  gp_stream_follow (fixture.stream, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.errors, 5));
  CU_ASSERT_EQUAL (fixture.error_code, GP_TRANSPORT_ERROR_ANSWER);
  CU_ASSERT_EQUAL (fixture.reads, 0);
  fixture.fail_status = 0;
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.reads, 1));
  CU_ASSERT_STRING_EQUAL (fixture.text->str, "a");
  teardown (&fixture);
}

static void
expect_gap (uint64_t from, uint64_t first_offset)
{
  fixture_t fixture;
  append_t append;

  setup (&fixture);
  for (int i = 0; i < 8; i++)
    append_run (&fixture, &append, "a", 1);
  fixture.first_offset = first_offset;
  gp_stream_follow (fixture.stream, from);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.gaps, 1));
  CU_ASSERT_EQUAL (fixture.gap_from, from);
  CU_ASSERT_EQUAL (fixture.gap_to, first_offset);
  CU_ASSERT_EQUAL (fixture.reads + fixture.errors, 0);
  run_loop_iterations (&fixture.loop, 10);
  CU_ASSERT_EQUAL (fixture.reads_requested, 1);
  /* The user continues from the oldest retained record.  */
  gp_stream_follow (fixture.stream, first_offset);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.reads, 1));
  CU_ASSERT_EQUAL (fixture.records_read, 8 - (int)first_offset);
  teardown (&fixture);
}

static void
test_gap (void)
{
  expect_gap (2, 5);
  expect_gap (100, 0);
}

static void
test_not_dense (void)
{
  fixture_t fixture;
  append_t append;

  setup (&fixture);
  append_run (&fixture, &append, "a", 1);
  append_run (&fixture, &append, "b", 1);
  fixture.skip_record = true;
  gp_stream_follow (fixture.stream, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.errors, 1));
  CU_ASSERT_EQUAL (fixture.error_code, GP_TRANSPORT_ERROR_ANSWER);
  CU_ASSERT_EQUAL (fixture.reads, 0);
  teardown (&fixture);
}

static void
test_end_from_callback (void)
{
  fixture_t fixture;
  append_t append;

  setup (&fixture);
  append_run (&fixture, &append, "a", 1);
  fixture.stop_in_read = true;
  gp_stream_follow (fixture.stream, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.reads, 1));
  run_loop_iterations (&fixture.loop, 10);
  CU_ASSERT_EQUAL (fixture.reads_requested, 1);
  fixture.stop_in_read = false;
  fixture.free_in_read = true;
  gp_stream_follow (fixture.stream, 0);
  CU_ASSERT_TRUE (run_until_count (&fixture.loop, &fixture.reads, 2));
  run_loop_iterations (&fixture.loop, 10);
  CU_ASSERT_EQUAL (fixture.reads_requested, 2);
  teardown (&fixture);
}

/* Finishing the loop while a read is pending reports no error.  */
static void
test_loop_end (void)
{
  fixture_t fixture;

  setup (&fixture);
  gp_stream_follow (fixture.stream, 0);
  CU_ASSERT_TRUE (
      run_until_count (&fixture.loop, &fixture.reads_requested, 1));
  teardown (&fixture);
  CU_ASSERT_EQUAL (fixture.errors, 0);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "append and follow", test_append_and_follow },
          { "lost acknowledgement", test_lost_ack },
          { "append refused", test_append_refused },
          { "outage", test_outage },
          { "gap", test_gap },
          { "not dense", test_not_dense },
          { "end from a callback", test_end_from_callback },
          { "loop end", test_loop_end },
          CU_TEST_INFO_NULL };

  return runner_main ("transport/log", tests);
}

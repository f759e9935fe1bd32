/* Tests of the store against a log in memory: results of proposals, the order
   of changes and verdicts, an outage, a gap.  */

#include <stdlib.h>
#include <string.h>

#include "daemon/store.h"
#include "platform_log.pb-c.h"
#include "runner.h"
#include "transport/http.h"
#include "transport/log_client.h"
#include "transport_support.h"

#define READ_MAX 64
#define TURNS 10
#define FAR (30 * GP_SEC)

typedef struct
{
  gp_loop_t loop;
  gp_settings_t settings;
  gp_settings_platform_log_t log_settings;
  GRand *rand;
  /* The log.  */
  gp_http_server_t *server;
  GPtrArray *records; /* of GBytes */
  uint64_t first_offset;
  gp_http_exchange_t *poll; /* a read that waits for records */
  bool down;
  bool lose_ack; /* of the next append */
  /* The store and counts of its notifications.  */
  gp_store_t *store;
  gp_store_subscriber_t subscriber;
  int reads;
  int rebuilt;
  int gaps;
  int keys_opened;
} fixture_t;

typedef struct
{
  const fixture_t *fixture;
  int done;
  gp_proposal_result_t result;
  gp_fold_verdict_t verdict;
  int keys_opened_before; /* changes notified before the proposal was done */
} outcome_t;

/* The log.  */

static uint64_t
query_number (gp_http_exchange_t *exchange, const char *name)
{
  gp_http_text_t path = gp_http_exchange_path (exchange);
  g_autofree char *text = g_strndup (path.base, path.size);
  const char *found = strstr (text, name);

  return found == NULL ? 0 : strtoull (found + strlen (name) + 1, NULL, 10);
}

static void
answer_read (fixture_t *fixture, gp_http_exchange_t *exchange)
{
  uint64_t from = query_number (exchange, "from");
  Gp__Log__ReadReply reply = GP__LOG__READ_REPLY__INIT;
  Gp__Log__Record records[READ_MAX];
  Gp__Log__Record *pointers[READ_MAX];
  g_autofree uint8_t *bytes = NULL;
  size_t size;

  reply.first_offset = fixture->first_offset;
  reply.next_offset = fixture->records->len;
  reply.records = pointers;
  for (uint64_t i = from; i >= fixture->first_offset && i < reply.next_offset
                          && reply.n_records < READ_MAX;
       i++)
    {
      Gp__Log__Record *record = &records[reply.n_records];

      gp__log__record__init (record);
      record->offset = i;
      record->data.data = (uint8_t *)g_bytes_get_data (
          fixture->records->pdata[i], &record->data.len);
      pointers[reply.n_records++] = record;
    }
  bytes = g_malloc (gp__log__read_reply__get_packed_size (&reply) + 1);
  size = gp__log__read_reply__pack (&reply, bytes);
  gp_http_exchange_answer (exchange, from < reply.first_offset ? 410 : 200,
                           NULL, 0, bytes, size);
}

static void
on_poll_gone (void *data)
{
  ((fixture_t *)data)->poll = NULL;
}

static void
handle_read (fixture_t *fixture, gp_http_exchange_t *exchange)
{
  if (query_number (exchange, "from") != fixture->records->len
      || query_number (exchange, "wait_ms") == 0)
    {
      answer_read (fixture, exchange);
      return;
    }
  fixture->poll = exchange;
  gp_http_exchange_watch (exchange, on_poll_gone, NULL, fixture);
}

static void
answer_poll (fixture_t *fixture)
{
  gp_http_exchange_t *poll = g_steal_pointer (&fixture->poll);

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
  g_ptr_array_add (fixture->records, g_bytes_new (body.base, body.size));
  if (fixture->lose_ack)
    gp_http_exchange_answer (exchange, 503, NULL, 0, NULL, 0);
  else
    gp_http_exchange_answer (exchange, 201, NULL, 0, buffer,
                             gp__log__append_reply__pack (&reply, buffer));
  fixture->lose_ack = false;
  answer_poll (fixture);
}

static void
on_request (gp_http_exchange_t *exchange, void *data)
{
  fixture_t *fixture = data;

  if (fixture->down)
    gp_http_exchange_answer (exchange, 503, NULL, 0, NULL, 0);
  else if (gp_http_exchange_method (exchange).base[0] == 'P')
    handle_append (fixture, exchange);
  else
    handle_read (fixture, exchange);
}

/* Notifications of the store.  */

static void
on_change (const gp_fold_change_t *change, void *data)
{
  fixture_t *fixture = data;

  fixture->keys_opened += change->kind == GP_FOLD_KEY_OPENED ? 1 : 0;
}

static void
on_rebuilt (void *data)
{
  ((fixture_t *)data)->rebuilt++;
}

static void
on_read (gp_time_t sent_at, void *data)
{
  ((fixture_t *)data)->reads++;
}

static void
on_gap (void *data)
{
  ((fixture_t *)data)->gaps++;
}

static void
on_done (gp_proposal_result_t result, gp_fold_verdict_t verdict, void *data)
{
  outcome_t *outcome = data;

  outcome->done++;
  outcome->result = result;
  outcome->verdict = verdict;
  outcome->keys_opened_before = outcome->fixture->keys_opened;
}

static void
setup (fixture_t *fixture)
{
  char address[32];
  gp_http_server_options_t server = { .address = "127.0.0.1:0",
                                      .max_body_size = GP_STREAM_RECORD_MAX,
                                      .header_timeout = FAR,
                                      .on_request = on_request,
                                      .data = fixture };

  memset (fixture, 0, sizeof *fixture);
  gp_loop_init (&fixture->loop, NULL);
  fixture->rand = g_rand_new_with_seed (1);
  fixture->records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  fixture->server = gp_http_server_new (&fixture->loop, &server, NULL);
  g_snprintf (address, sizeof address, "127.0.0.1:%d",
              gp_http_server_port (fixture->server));
  fixture->log_settings
      = (gp_settings_platform_log_t){ .address = address,
                                      .stream = (char *)"site" };
  fixture->settings.name = (char *)"entry-1";
  fixture->settings.platform_log = &fixture->log_settings;
  fixture->settings.timings = (gp_settings_timings_t){ .log_wait_ms = 10000,
                                                       .log_timeout_ms = 3000,
                                                       .log_batch_ms = 5 };
  fixture->store = gp_store_new (&fixture->loop, &fixture->settings, 1,
                                 fixture->rand, NULL, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->store);
  fixture->subscriber = (gp_store_subscriber_t){ .on_change = on_change,
                                                 .on_rebuilt = on_rebuilt,
                                                 .on_read = on_read,
                                                 .on_gap = on_gap,
                                                 .data = fixture };
  gp_store_subscribe (fixture->store, &fixture->subscriber);
}

static void
setup_ready (fixture_t *fixture)
{
  setup (fixture);
  CU_ASSERT_FALSE (gp_store_ready (fixture->store));
  CU_ASSERT (run_until_count (&fixture->loop, &fixture->reads, 1));
  CU_ASSERT (gp_store_ready (fixture->store));
  CU_ASSERT (fixture->rebuilt == 1);
}

static void
teardown (fixture_t *fixture)
{
  gp_store_free (fixture->store);
  answer_poll (fixture);
  run_loop_iterations (&fixture->loop, TURNS);
  gp_loop_finish (&fixture->loop);
  g_ptr_array_unref (fixture->records);
  g_rand_free (fixture->rand);
}

static gp_writer_result_t
propose (fixture_t *fixture, const char *key, gp_writer_priority_t priority,
         gp_time_t duration, outcome_t *outcome, gp_proposal_t **proposal)
{
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  Gp__Record__Intent intent = GP__RECORD__INTENT__INIT;

  *outcome = (outcome_t){ .fixture = fixture };
  intent.key.data = (uint8_t *)key;
  intent.key.len = GP_FOLD_KEY_SIZE;
  record.record_case = GP__RECORD__RECORD__RECORD_INTENT;
  record.intent = &intent;
  return gp_store_propose (fixture->store, &record, priority,
                           gp_loop_now (&fixture->loop) + duration, on_done,
                           outcome, proposal);
}

/* Tests.  */

static void
test_decided (void)
{
  fixture_t fixture;
  outcome_t first;
  outcome_t second;

  setup (&fixture);
  CU_ASSERT (propose (&fixture, "aaaaaaaaaaaaaaaa", GP_WRITER_URGENT, FAR,
                      &first, NULL)
             == GP_WRITER_UNAVAILABLE); /* not ready */
  teardown (&fixture);
  setup_ready (&fixture);
  CU_ASSERT (propose (&fixture, "aaaaaaaaaaaaaaaa", GP_WRITER_URGENT, FAR,
                      &first, NULL)
             == GP_WRITER_QUEUED);
  CU_ASSERT (propose (&fixture, "aaaaaaaaaaaaaaaa", GP_WRITER_URGENT, FAR,
                      &second, NULL)
             == GP_WRITER_QUEUED);
  CU_ASSERT (run_until_count (&fixture.loop, &second.done, 1));
  CU_ASSERT (first.done == 1 && first.result == GP_PROPOSAL_DECIDED);
  CU_ASSERT (first.verdict == GP_FOLD_ACCEPTED
             && first.keys_opened_before == 1);
  CU_ASSERT (second.verdict == GP_FOLD_VOID_KEY_TAKEN);
  CU_ASSERT (fixture.records->len == 1);
  CU_ASSERT (
      gp_fold_key (gp_store_fold (fixture.store), (void *)"aaaaaaaaaaaaaaaa")
      != NULL);
  teardown (&fixture);
}

/* A proposal that is withdrawn or expires before it is sent is never written
   to the log.  */
static void
test_not_sent (void)
{
  fixture_t fixture;
  outcome_t withdrawn;
  outcome_t expired;
  outcome_t late;
  gp_proposal_t *proposal;

  setup_ready (&fixture);
  CU_ASSERT (propose (&fixture, "aaaaaaaaaaaaaaaa", GP_WRITER_NORMAL, FAR,
                      &withdrawn, &proposal)
             == GP_WRITER_QUEUED);
  CU_ASSERT (gp_store_withdraw (fixture.store, proposal));
  CU_ASSERT (propose (&fixture, "bbbbbbbbbbbbbbbb", GP_WRITER_NORMAL, GP_MSEC,
                      &expired, NULL)
             == GP_WRITER_QUEUED);
  CU_ASSERT (
      propose (&fixture, "cccccccccccccccc", GP_WRITER_NORMAL, 0, &late, NULL)
      == GP_WRITER_DEADLINE_PASSED);
  CU_ASSERT (run_until_count (&fixture.loop, &expired.done, 1));
  CU_ASSERT (expired.result == GP_PROPOSAL_EXPIRED);
  CU_ASSERT (withdrawn.done == 0 && late.done == 0);
  CU_ASSERT (fixture.records->len == 0);
  teardown (&fixture);
}

/* After a lost acknowledgement the record is in the log twice, but is applied
   to the state once.  */
static void
test_lost_acknowledgement (void)
{
  fixture_t fixture;
  outcome_t outcome;
  outcome_t next;

  setup_ready (&fixture);
  fixture.lose_ack = true;
  propose (&fixture, "aaaaaaaaaaaaaaaa", GP_WRITER_URGENT, FAR, &outcome,
           NULL);
  CU_ASSERT (run_until_count (&fixture.loop, &outcome.done, 1));
  CU_ASSERT (outcome.verdict == GP_FOLD_ACCEPTED);
  propose (&fixture, "bbbbbbbbbbbbbbbb", GP_WRITER_URGENT, FAR, &next, NULL);
  CU_ASSERT (run_until_count (&fixture.loop, &next.done, 1));
  CU_ASSERT (next.verdict == GP_FOLD_ACCEPTED && fixture.keys_opened == 2);
  teardown (&fixture);
}

static bool
available (const fixture_t *fixture)
{
  gp_store_health_t health;

  gp_store_health (fixture->store, &health);
  return health.available;
}

/* While the log is down new proposals are refused; a proposal that was already
   sent is decided once the log is up.  */
static void
test_outage (void)
{
  fixture_t fixture;
  outcome_t sent;
  outcome_t refused;
  outcome_t after;
  gp_time_t end;

  setup_ready (&fixture);
  fixture.down = true;
  CU_ASSERT (propose (&fixture, "aaaaaaaaaaaaaaaa", GP_WRITER_URGENT, FAR,
                      &sent, NULL)
             == GP_WRITER_QUEUED);
  end = gp_time_now () + FAR;
  while (available (&fixture) && gp_time_now () < end)
    {
      run_loop_iterations (&fixture.loop, 1);
      answer_poll (&fixture);
    }
  CU_ASSERT (propose (&fixture, "bbbbbbbbbbbbbbbb", GP_WRITER_URGENT, FAR,
                      &refused, NULL)
             == GP_WRITER_UNAVAILABLE);
  CU_ASSERT (sent.done == 0);
  fixture.down = false;
  CU_ASSERT (run_until_count (&fixture.loop, &sent.done, 1));
  CU_ASSERT (sent.verdict == GP_FOLD_ACCEPTED && refused.done == 0);
  CU_ASSERT (propose (&fixture, "bbbbbbbbbbbbbbbb", GP_WRITER_URGENT, FAR,
                      &after, NULL)
             == GP_WRITER_QUEUED);
  CU_ASSERT (run_until_count (&fixture.loop, &after.done, 1));
  CU_ASSERT (after.verdict == GP_FOLD_ACCEPTED);
  teardown (&fixture);
}

/* Records are lost to retention and there is no snapshot: the state is
   discarded and the store is not ready; proposals are refused.  */
static void
test_gap (void)
{
  fixture_t fixture;
  outcome_t outcome;

  setup_ready (&fixture);
  propose (&fixture, "aaaaaaaaaaaaaaaa", GP_WRITER_URGENT, FAR, &outcome,
           NULL);
  CU_ASSERT (run_until_count (&fixture.loop, &outcome.done, 1));
  for (int i = 0; i < 3; i++)
    g_ptr_array_add (fixture.records, g_bytes_new_static ("x", 1));
  fixture.first_offset = 3;
  answer_poll (&fixture);
  CU_ASSERT (run_until_count (&fixture.loop, &fixture.gaps, 1));
  CU_ASSERT_FALSE (gp_store_ready (fixture.store));
  CU_ASSERT (propose (&fixture, "bbbbbbbbbbbbbbbb", GP_WRITER_URGENT, FAR,
                      &outcome, NULL)
             == GP_WRITER_UNAVAILABLE);
  CU_ASSERT (fixture.rebuilt == 1);
  teardown (&fixture);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "decided", test_decided },
          { "not sent", test_not_sent },
          { "lost acknowledgement", test_lost_acknowledgement },
          { "outage", test_outage },
          { "gap", test_gap },
          CU_TEST_INFO_NULL };

  return runner_main ("store", tests);
}

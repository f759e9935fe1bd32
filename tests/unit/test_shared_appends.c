/* Tests of gp_append_collector_t, the relay and gp_job_appender_t on loopback,
   with a store that answers when it is told to: what the store is sent, and
   what each sender gets.  Guards against wrong offsets, against a refusal of a
   batch that may be on the log, and against calls that are relayed in a
   loop.  */

#include <stdio.h>
#include <string.h>

#include "jobsd/job_appender.h"
#include "jobsd/relay.h"
#include "runner.h"
#include "transport_support.h"

/* Nothing listens there.  */
#define UNUSED_ADDRESS "127.0.0.1:1"
#define BODY_MAX 10000
#define SENDERS_MAX 8

typedef struct fixture fixture_t;

typedef struct
{
  fixture_t *fixture;
  const char *name;
} sender_t;

struct fixture
{
  gp_loop_t loop;
  gp_process_limiters_t limiters;
  gp_http_server_t *server;
  gp_http_exchange_t *asked; /* the request that the store has not answered */
  int requests;
  gp_platform_store_t *store; /* of the entry that collects */
  gp_append_collector_t collector;
  gp_job_relay_t relay;
  char *relay_address;
  gp_platform_store_t *peer; /* of another entry */
  gp_leader_t leader;        /* as that entry sees it */
  gp_job_appender_t appender;
  sender_t senders[SENDERS_MAX];
  int sent;
  int answers;
};

/* Stores are never freed, see gp_platform_store_t; this keeps them
   reachable.  */
static GPtrArray *stores;

static void
on_asked (gp_http_exchange_t *exchange, void *data)
{
  fixture_t *fixture = data;
  gp_http_text_t path = gp_http_exchange_path (exchange);
  gp_http_text_t body = gp_http_exchange_body (exchange);

  fixture->requests++;
  fixture->asked = exchange;
  printf ("  store: %.*s, records", (int)path.size, path.base);
  /* Records of tests are a length of four bytes, that of the key in one, and
     the key.  */
  for (size_t at = 0; at < body.size; at += 5 + (uint8_t)body.base[at + 4])
    printf (" %.*s", (uint8_t)body.base[at + 4], body.base + at + 5);
  printf ("\n");
}

/* Wait for request NUMBER to the store, counted from 1.  */
static void
await_request (fixture_t *fixture, int number)
{
  CU_ASSERT_TRUE_FATAL (
      run_until_count (&fixture->loop, &fixture->requests, number));
}

static void
answer_store (fixture_t *fixture, int status, const char *body)
{
  gp_http_exchange_answer (fixture->asked, status, NULL, 0, body,
                           strlen (body));
}

/* Wait for the answers to all senders.  */
static void
await_answers (fixture_t *fixture)
{
  CU_ASSERT_TRUE_FATAL (
      run_until_count (&fixture->loop, &fixture->answers, fixture->sent));
}

static void
on_done (const gp_platform_store_answer_t *answer, void *data)
{
  static const char *const results[]
      = { "done", "refused", "conflict", "expired", "unknown" };
  const sender_t *sender = data;

  sender->fixture->answers++;
  printf ("  %s: %s", sender->name, results[answer->result]);
  if (answer->result == GP_PLATFORM_STORE_DONE)
    printf (" at %d, end %d", (int)answer->offset, (int)answer->end);
  else if (answer->collected)
    printf (" by the store");
  printf ("\n");
}

static sender_t *
sender_new (fixture_t *fixture, const char *name)
{
  sender_t *sender = &fixture->senders[fixture->sent++];

  *sender = (sender_t){ .fixture = fixture, .name = name };
  return sender;
}

/* A batch of two records, NAME1 and NAME2.  */
static GByteArray *
batch_new (const char *name)
{
  GByteArray *batch = g_byte_array_new ();

  for (int i = 1; i <= 2; i++)
    {
      g_autofree char *key = g_strdup_printf ("%s%d", name, i);

      gp_platform_store_batch_add (batch, key, NULL, 0);
    }
  return batch;
}

static gp_time_t
deadline_of (fixture_t *fixture)
{
  return gp_loop_now (&fixture->loop) + 10 * GP_SEC;
}

static gp_platform_store_call_t *
send_by_peer (fixture_t *fixture, const char *name)
{
  GByteArray *batch = batch_new (name);
  gp_platform_store_call_t *call = gp_platform_store_append_by_peer (
      fixture->peer, fixture->relay_address, batch, deadline_of (fixture),
      on_done, sender_new (fixture, name));

  g_byte_array_unref (batch);
  return call;
}

static gp_collected_t *
send_here (fixture_t *fixture, const char *name)
{
  GByteArray *batch = batch_new (name);
  gp_collected_t *collected
      = gp_append_collector_add (&fixture->collector, batch->data, batch->len,
                                 on_done, sender_new (fixture, name));

  g_byte_array_unref (batch);
  return collected;
}

static void
send_by_appender (fixture_t *fixture, const char *name)
{
  GByteArray *batch = batch_new (name);

  /* However long this test takes, appends remain slow.  */
  fixture->appender.route.fast_since = 0;
  gp_job_appender_append (&fixture->appender, batch, deadline_of (fixture),
                          on_done, sender_new (fixture, name));
  g_byte_array_unref (batch);
}

static gp_platform_store_t *
store_new (fixture_t *fixture, const char *address)
{
  gp_platform_store_t *store
      = gp_platform_store_new (&fixture->loop, address, 0, NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (store);
  g_ptr_array_add (stores, store);
  return store;
}

/* Start the store, the collecting entry and a peer.  The peer's appends are
   slow, and LEADER is the node that it takes for the leader.  */
static void
fixture_init (fixture_t *fixture, const char *name, bool shares,
              const char *leader)
{
  gp_http_server_options_t options = { .address = "127.0.0.1:0",
                                       .max_body_size = BODY_MAX,
                                       .header_timeout = 20 * GP_SEC,
                                       .on_request = on_asked,
                                       .data = fixture };
  g_autofree char *address = NULL;

  printf ("%s\n", name);
  memset (fixture, 0, sizeof *fixture);
  CU_ASSERT_TRUE_FATAL (gp_loop_init (&fixture->loop, NULL));
  gp_process_limiters_init (&fixture->limiters, &fixture->loop, 0, 0,
                            gp_small_buffers);
  fixture->server = gp_http_server_new (&fixture->loop, &options, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->server);
  address = g_strdup_printf ("127.0.0.1:%d",
                             gp_http_server_port (fixture->server));
  fixture->store = store_new (fixture, address);
  fixture->peer = store_new (fixture, address);
  gp_append_collector_init (&fixture->collector, &fixture->loop,
                            fixture->store);
  CU_ASSERT_TRUE_FATAL (gp_job_relay_init (
      &fixture->relay, &fixture->loop, "127.0.0.1:0", address, 0,
      shares ? &fixture->collector : NULL, &fixture->limiters, NULL));
  fixture->relay_address = g_strdup_printf (
      "127.0.0.1:%d", gp_http_server_port (fixture->relay.server));
  fixture->leader.node = "peer";
  fixture->leader.leader_node = (char *)leader;
  gp_job_appender_init (&fixture->appender, &fixture->loop, fixture->peer,
                        &fixture->leader, shares ? &fixture->collector : NULL);
  gp_job_appender_set_relay (&fixture->appender, "lead",
                             fixture->relay_address);
  gp_job_appender_set_relay (&fixture->appender, "gone", UNUSED_ADDRESS);
  fixture->appender.route.slow = true;
}

static void
fixture_finish (fixture_t *fixture)
{
  gp_job_appender_finish (&fixture->appender);
  gp_append_collector_finish (&fixture->collector);
  gp_process_limiters_finish (&fixture->limiters);
  gp_loop_finish (&fixture->loop);
  g_free (fixture->relay_address);
}

/* Guards against wrong offsets when three batches that wait go into one
   append.  One of them belongs to the entry itself, another one to a peer
   whose calls are relayed.  */
static void
test_collected (void)
{
  fixture_t fixture;
  GByteArray *batch = batch_new ("r");

  fixture_init (&fixture, "collected", true, NULL);
  send_by_peer (&fixture, "a");
  await_request (&fixture, 1);
  gp_platform_store_set_relay (fixture.peer, fixture.relay_address);
  gp_platform_store_append (
      fixture.peer, GP_TOPIC_JOBS, batch, GP_PLATFORM_STORE_UNCONDITIONAL,
      deadline_of (&fixture), on_done, sender_new (&fixture, "r"));
  while (gp_list_empty (&fixture.collector.queue.waiting))
    run_loop_iterations (&fixture.loop, 1);
  CU_ASSERT_PTR_NOT_NULL (send_here (&fixture, "b"));
  answer_store (&fixture, 200, "{\"offset\":10,\"end\":12}");
  await_request (&fixture, 2);
  answer_store (&fixture, 200, "{\"offset\":20,\"end\":24}");
  await_answers (&fixture);
  g_byte_array_unref (batch);
  fixture_finish (&fixture);
}

/* Guards against appending the batch of a sender that left while it was in
   the queue, and against a sender that leaves later and changes the answers
   to others.  */
static void
test_sender_leaves (void)
{
  fixture_t fixture;
  gp_collected_t *first;
  gp_collected_t *third;

  fixture_init (&fixture, "senders leave", true, NULL);
  first = send_here (&fixture, "a");
  await_request (&fixture, 1);
  send_here (&fixture, "b");
  third = send_here (&fixture, "c");
  send_here (&fixture, "d");
  gp_append_collector_cancel (&fixture.collector, third);
  gp_append_collector_cancel (&fixture.collector, first);
  fixture.answers = 2;
  answer_store (&fixture, 200, "{\"offset\":0,\"end\":2}");
  await_request (&fixture, 2);
  answer_store (&fixture, 200, "{\"offset\":2,\"end\":6}");
  await_answers (&fixture);
  fixture_finish (&fixture);
}

/* Guards against an answer to a sender whose connection has ended while its
   batch was in the append.  */
static void
test_sender_disconnects (void)
{
  fixture_t fixture;
  gp_platform_store_call_t *call;

  fixture_init (&fixture, "a sender disconnects", true, NULL);
  call = send_by_peer (&fixture, "a");
  await_request (&fixture, 1);
  gp_platform_store_cancel (call);
  fixture.answers = 1;
  send_by_peer (&fixture, "b");
  while (gp_list_empty (&fixture.collector.queue.waiting))
    run_loop_iterations (&fixture.loop, 1);
  answer_store (&fixture, 200, "{\"offset\":0,\"end\":2}");
  await_request (&fixture, 2);
  answer_store (&fixture, 200, "{\"offset\":2,\"end\":4}");
  await_answers (&fixture);
  fixture_finish (&fixture);
}

/* Guards against a refusal of a batch that may be on the log: only what the
   store refuses is passed on as refused by it; without an answer of the
   store the outcome is unknown to all senders.  */
static void
test_store_fails (void)
{
  fixture_t fixture;

  fixture_init (&fixture, "the store fails", true, NULL);
  send_by_peer (&fixture, "a");
  await_request (&fixture, 1);
  answer_store (&fixture, 503, "{}");
  await_answers (&fixture);
  send_by_peer (&fixture, "b");
  await_request (&fixture, 2);
  answer_store (&fixture, 504, "{}");
  await_answers (&fixture);
  fixture_finish (&fixture);
}

/* Guards against calls that are relayed in a loop: an entry whose own calls
   are relayed takes no batches and refuses those that wait.  */
static void
test_relayed_collector (void)
{
  fixture_t fixture;

  fixture_init (&fixture, "the collector's calls are relayed", true, NULL);
  send_here (&fixture, "a");
  await_request (&fixture, 1);
  send_here (&fixture, "b");
  gp_platform_store_set_relay (fixture.store, UNUSED_ADDRESS);
  answer_store (&fixture, 200, "{\"offset\":0,\"end\":2}");
  await_answers (&fixture);
  send_by_peer (&fixture, "c");
  await_answers (&fixture);
  CU_ASSERT_EQUAL (fixture.requests, 1);
  fixture_finish (&fixture);
}

/* Guards against collecting other requests than appends to the topic of
   jobs without a condition, and against collecting without a collector:
   these are relayed.  */
static void
test_not_collected (void)
{
  fixture_t fixture;
  GByteArray *batch = batch_new ("c");

  fixture_init (&fixture, "with a condition", true, NULL);
  gp_platform_store_set_relay (fixture.peer, fixture.relay_address);
  gp_platform_store_append (fixture.peer, GP_TOPIC_JOBS, batch, 7,
                            deadline_of (&fixture), on_done,
                            sender_new (&fixture, "c"));
  await_request (&fixture, 1);
  CU_ASSERT_FALSE (fixture.collector.queue.busy);
  answer_store (&fixture, 200, "{\"offset\":7,\"end\":9}");
  await_answers (&fixture);
  fixture_finish (&fixture);
  g_byte_array_unref (batch);

  fixture_init (&fixture, "appends are not shared", false, "lead");
  send_by_peer (&fixture, "a");
  await_request (&fixture, 1);
  answer_store (&fixture, 503, "{}");
  await_answers (&fixture);
  send_by_appender (&fixture, "b");
  await_request (&fixture, 2);
  CU_ASSERT_FALSE (fixture.collector.queue.busy);
  answer_store (&fixture, 200, "{\"offset\":0,\"end\":2}");
  await_answers (&fixture);
  fixture_finish (&fixture);
}

/* What an entry gets that shares its appends.  */
static void
test_appender (void)
{
  fixture_t fixture;

  fixture_init (&fixture, "through the leader", true, "lead");
  send_by_appender (&fixture, "a");
  await_request (&fixture, 1);
  CU_ASSERT_TRUE (fixture.collector.queue.busy);
  answer_store (&fixture, 200, "{\"offset\":0,\"end\":2}");
  await_answers (&fixture);
  send_by_appender (&fixture, "b");
  await_request (&fixture, 2);
  answer_store (&fixture, 503, "{}");
  await_answers (&fixture);
  send_by_appender (&fixture, "c");
  await_request (&fixture, 3);
  answer_store (&fixture, 504, "{}");
  await_answers (&fixture);
  fixture_finish (&fixture);

  fixture_init (&fixture, "the leader refuses", true, "lead");
  gp_platform_store_set_relay (fixture.store, UNUSED_ADDRESS);
  send_by_appender (&fixture, "a");
  await_request (&fixture, 1);
  answer_store (&fixture, 200, "{\"offset\":0,\"end\":2}");
  await_answers (&fixture);
  fixture_finish (&fixture);

  fixture_init (&fixture, "the leader is not reached", true, "gone");
  send_by_appender (&fixture, "a");
  await_request (&fixture, 1);
  answer_store (&fixture, 503, "{}");
  await_answers (&fixture);
  fixture_finish (&fixture);

  fixture_init (&fixture, "no leader is known", true, NULL);
  send_by_appender (&fixture, "a");
  await_request (&fixture, 1);
  answer_store (&fixture, 200, "{\"offset\":0,\"end\":2}");
  await_answers (&fixture);
  fixture_finish (&fixture);
}

/* The leader's process ends with a batch in flight, and the append is sent
   directly.  Guards against a refusal of the append because the store
   refuses the second attempt, as the first one may be on the log.  */
static void
test_leader_dies (void)
{
  fixture_t fixture;
  gp_http_exchange_t *in_flight;

  fixture_init (&fixture, "the leader dies", true, "lead");
  send_by_appender (&fixture, "a");
  await_request (&fixture, 1);
  in_flight = fixture.asked;
  gp_append_collector_finish (&fixture.collector);
  await_request (&fixture, 2);
  gp_append_collector_init (&fixture.collector, &fixture.loop, fixture.store);
  answer_store (&fixture, 503, "{}");
  await_answers (&fixture);
  gp_http_exchange_answer (in_flight, 200, NULL, 0, "{}", 2);
  fixture_finish (&fixture);
}

/* Guards against a batch that is not a sequence of complete records: it
   would make the records of others unreadable.  */
static void
test_malformed (void)
{
  static const struct
  {
    const char *bytes;
    size_t size;
    unsigned records;
  } cases[] = { { "", 0, 0 },
                { "\0\0\0\2\1k", 6, 1 },
                { "\0\0\0\2\1k\0\0\0\4\1kvv", 14, 2 },
                { "\0\0\0\2\1k\0\0\0\4\1kv", 13, 0 },
                { "\0\0\0\2\1k\0", 7, 0 },
                { "\0\0\0\2\2k", 6, 0 },
                { "\0\0\0\0\0", 5, 0 },
                { "\377\377\377\377\1k", 6, 0 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    CU_ASSERT_EQUAL (gp_platform_store_batch_count (
                         (const uint8_t *)cases[i].bytes, cases[i].size),
                     cases[i].records);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "collected", test_collected },
          { "sender_leaves", test_sender_leaves },
          { "sender_disconnects", test_sender_disconnects },
          { "store_fails", test_store_fails },
          { "relayed_collector", test_relayed_collector },
          { "not_collected", test_not_collected },
          { "appender", test_appender },
          { "leader_dies", test_leader_dies },
          { "malformed", test_malformed },
          CU_TEST_INFO_NULL };

  stores = g_ptr_array_new ();
  return runner_main ("shared_appends", tests);
}

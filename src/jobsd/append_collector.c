/* One append to the topic of jobs for the batches of several entries.  */

#include "jobsd/append_collector.h"

#include "base/counters.h"
#include "base/histogram.h"

static gp_counter_t appends_count = GP_COUNTER (
    "collected_appends_total", "Appends made of the batches of entries");
static gp_counter_t batches_count = GP_COUNTER (
    "collected_batches_total", "Batches of entries in those appends");
static gp_counter_t records_count
    = GP_COUNTER ("collected_records_total", "Records in those appends");
static gp_counter_t not_taken_count = GP_COUNTER (
    "collected_not_taken_total", "Batches of entries that were not taken");
static gp_counter_t batches_gauge = GP_GAUGE (
    "collected_batches", "Batches in the last append of the collector");

static gp_histogram_t append_time = GP_HISTOGRAM (
    "collected_append", "From an append of the collector to its answer");

struct gp_collected
{
  gp_append_batch_t batch;
  GBytes *bytes;
  gp_platform_store_cb_t on_done;
  void *data;
};

static void
collected_free (gp_collected_t *collected)
{
  g_bytes_unref (collected->bytes);
  g_free (collected);
}

static gp_collected_t *
collected_of (gp_list_t *link)
{
  gp_append_batch_t *batch = GP_CONTAINER_OF (link, gp_append_batch_t, link);

  return GP_CONTAINER_OF (batch, gp_collected_t, batch);
}

static void start_append (gp_append_collector_t *collector);

/* Answer the senders of the batches in LIST.  */
static void
answer_senders (gp_append_collector_t *collector, gp_list_t *list,
                const gp_platform_store_answer_t *answer)
{
  while (!gp_list_empty (list))
    {
      gp_collected_t *collected = collected_of (list->next);
      gp_platform_store_answer_t own = *answer;

      gp_append_queue_remove (&collector->queue, &collected->batch);
      own.offset += collected->batch.place;
      collected->on_done (&own, collected->data);
      collected_free (collected);
    }
}

gp_append_outcome_t
gp_append_outcome_of (const gp_platform_store_answer_t *answer)
{
  switch (answer->result)
    {
    case GP_PLATFORM_STORE_DONE:
      return GP_APPEND_DONE;
    case GP_PLATFORM_STORE_UNKNOWN:
      return GP_APPEND_UNKNOWN;
    case GP_PLATFORM_STORE_REFUSED:
    case GP_PLATFORM_STORE_CONFLICT:
    case GP_PLATFORM_STORE_EXPIRED:
      break;
    }
  return GP_APPEND_REFUSED;
}

static void
on_appended (const gp_platform_store_answer_t *answer, void *data)
{
  gp_append_collector_t *collector = data;
  gp_time_t now = gp_loop_now (collector->loop);
  gp_platform_store_answer_t collected = *answer;
  gp_list_t ended;

  collected.collected = true;
  collector->call = NULL;
  gp_histogram_add (&append_time, now - answer->sent_at);
  gp_append_queue_end (&collector->queue, gp_append_outcome_of (answer), now,
                       &ended);
  answer_senders (collector, &ended, &collected);
  start_append (collector);
}

/* Count the batches in flight and join their bytes.  */
static GByteArray *
join_batches (const gp_append_collector_t *collector)
{
  GByteArray *bytes = g_byte_array_new ();
  int64_t batches = 0;

  GP_LIST_FOREACH (link, &collector->queue.in_flight)
  {
    const gp_collected_t *collected = collected_of (link);
    gsize size;
    const uint8_t *part = g_bytes_get_data (collected->bytes, &size);

    g_byte_array_append (bytes, part, (guint)size);
    gp_counter_add (&records_count, collected->batch.records);
    batches++;
  }
  gp_counter_add (&appends_count, 1);
  gp_counter_add (&batches_count, batches);
  gp_counter_set (&batches_gauge, batches);
  return bytes;
}

static void
refuse_waiting (gp_append_collector_t *collector)
{
  const gp_platform_store_answer_t refusal
      = { .result = GP_PLATFORM_STORE_REFUSED,
          .sent_at = gp_loop_now (collector->loop),
          .reason = "the leader does not reach the store directly" };

  answer_senders (collector, &collector->queue.waiting, &refusal);
}

/* Start the next append, or arm the timer for it.  */
static void
start_append (gp_append_collector_t *collector)
{
  gp_time_t now = gp_loop_now (collector->loop);
  GByteArray *bytes;

  if (gp_platform_store_is_relayed (collector->store))
    refuse_waiting (collector);
  else if (gp_append_queue_start (&collector->queue, now))
    {
      bytes = join_batches (collector);
      collector->call = gp_platform_store_append (
          collector->store, GP_TOPIC_JOBS, bytes,
          GP_PLATFORM_STORE_UNCONDITIONAL,
          gp_append_queue_deadline (&collector->queue), on_appended,
          collector);
      g_byte_array_unref (bytes);
    }
  else
    gp_timer_arm (&collector->timer,
                  gp_append_queue_start_at (&collector->queue));
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  start_append (data);
}

gp_collected_t *
gp_append_collector_add (gp_append_collector_t *collector,
                         const uint8_t *batch, size_t size,
                         gp_platform_store_cb_t on_done, void *data)
{
  unsigned records = gp_platform_store_batch_count (batch, size);
  gp_collected_t *collected = g_new0 (gp_collected_t, 1);

  if (records == 0 || gp_platform_store_is_relayed (collector->store)
      || !gp_append_queue_add (&collector->queue, &collected->batch, size,
                               records))
    {
      gp_counter_add (&not_taken_count, 1);
      g_free (collected);
      return NULL;
    }
  collected->bytes = g_bytes_new (batch, size);
  collected->on_done = on_done;
  collected->data = data;
  start_append (collector);
  return collected;
}

void
gp_append_collector_cancel (gp_append_collector_t *collector,
                            gp_collected_t *collected)
{
  gp_append_queue_remove (&collector->queue, &collected->batch);
  collected_free (collected);
}

void
gp_append_collector_init (gp_append_collector_t *collector, gp_loop_t *loop,
                          gp_platform_store_t *store)
{
  *collector = (gp_append_collector_t){ .loop = loop, .store = store };
  gp_append_queue_init (&collector->queue);
  gp_timer_init (&collector->timer, loop, on_timer, collector);
  gp_counter_register (&appends_count);
  gp_counter_register (&batches_count);
  gp_counter_register (&records_count);
  gp_counter_register (&not_taken_count);
  gp_counter_register (&batches_gauge);
  gp_histogram_register (&append_time);
}

void
gp_append_collector_finish (gp_append_collector_t *collector)
{
  const gp_platform_store_answer_t unknown
      = { .result = GP_PLATFORM_STORE_UNKNOWN, .reason = "stopping" };
  const gp_platform_store_answer_t refusal
      = { .result = GP_PLATFORM_STORE_REFUSED, .reason = "stopping" };

  if (collector->call != NULL)
    gp_platform_store_cancel (collector->call);
  gp_timer_finish (&collector->timer);
  answer_senders (collector, &collector->queue.in_flight, &unknown);
  answer_senders (collector, &collector->queue.waiting, &refusal);
}

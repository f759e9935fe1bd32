#include "state/writer.h"

#include <string.h>

#define BACKOFF_SHIFT_MAX 16

struct gp_writer_entry
{
  gp_list_t link; /* in a queue or in a batch */
  uint64_t token;
  gp_time_t queued_at;
  gp_time_t deadline;
  bool sent;
  size_t size;
  uint8_t data[]; /* a packed gp.record.Batch with this one record */
};

struct gp_writer_batch
{
  gp_list_t link;
  uint64_t sequence;
  gp_list_t entries;
  size_t count;
  GBytes *bytes;
  gp_time_t sent_at;  /* when it was first sent */
  gp_time_t deadline; /* time limit of the append in flight, or the time of its
                         repetition */
  bool in_flight;
  uint32_t failures;
};

const gp_writer_limits_t gp_writer_default_limits = {
  .batch_bytes_max = (size_t)256 * 1024,
  .batch_records_max = 4096,
  .queue_bytes_max = (size_t)4 * 1024 * 1024,
  .queue_records_max = 65536,
  .unread_max = 8,
  .linger = { 5 * GP_MSEC, 30 * GP_MSEC, 30 * GP_MSEC },
  .spacing = 25 * GP_MSEC,
  .spacing_writers = 6,
  .urgent_spacing_max = 50 * GP_MSEC,
  .timeout = 2 * GP_SEC,
  .backoff_min = 50 * GP_MSEC,
  .backoff_max = 2 * GP_SEC,
  .skew_max = 10 * GP_SEC,
  .failures_max = 3,
  .outage_after = 3 * GP_SEC,
};

static gp_writer_entry_t *
entry_of (gp_list_t *link)
{
  return GP_CONTAINER_OF (link, gp_writer_entry_t, link);
}

static gp_writer_batch_t *
batch_of (gp_list_t *link)
{
  return GP_CONTAINER_OF (link, gp_writer_batch_t, link);
}

void
gp_writer_init (gp_writer_t *writer, const char *name, uint64_t incarnation,
                const gp_writer_limits_t *limits, GRand *rand)
{
  memset (writer, 0, sizeof *writer);
  writer->limits = limits != NULL ? *limits : gp_writer_default_limits;
  writer->name = g_strdup (name);
  writer->incarnation = incarnation;
  writer->rand = rand;
  writer->next_expiry = GP_TIME_NEVER;
  writer->last_batch_at = -GP_SEC;
  writer->spacing = writer->limits.spacing;
  for (int i = 0; i < GP_WRITER_PRIORITIES; i++)
    gp_list_init (&writer->queues[i]);
  gp_list_init (&writer->unread);
  g_queue_init (&writer->actions);
}

static void
free_entries (gp_list_t *entries)
{
  GP_LIST_FOREACH_SAFE (pos, entries)
  {
    gp_list_remove (pos);
    g_free (entry_of (pos));
  }
}

static void
free_batch (gp_writer_batch_t *batch)
{
  free_entries (&batch->entries);
  g_bytes_unref (batch->bytes);
  g_free (batch);
}

void
gp_writer_finish (gp_writer_t *writer)
{
  gp_writer_action_t action;

  while (gp_writer_next_action (writer, &action))
    if (action.kind == GP_WRITER_APPEND)
      g_bytes_unref (action.u.append.bytes);
  for (int i = 0; i < GP_WRITER_PRIORITIES; i++)
    free_entries (&writer->queues[i]);
  GP_LIST_FOREACH_SAFE (pos, &writer->unread)
  {
    gp_list_remove (pos);
    free_batch (batch_of (pos));
  }
  if (writer->current != NULL)
    free_batch (writer->current);
  g_free (writer->name);
}

void
gp_writer_set_wall_offset (gp_writer_t *writer, int64_t offset)
{
  writer->wall_offset = offset;
}

void
gp_writer_set_writers (gp_writer_t *writer, uint32_t count)
{
  uint32_t threshold = writer->limits.spacing_writers;

  writer->spacing = writer->limits.spacing;
  if (threshold > 0 && count > threshold)
    writer->spacing = writer->limits.spacing * count / threshold;
}

bool
gp_writer_merge_time (gp_writer_t *writer, int64_t wall_us, uint32_t logical,
                      gp_time_t now)
{
  if (wall_us > now + writer->wall_offset + writer->limits.skew_max)
    return false;
  if (wall_us > writer->wall_us)
    {
      writer->wall_us = wall_us;
      writer->logical = logical;
    }
  else if (wall_us == writer->wall_us)
    writer->logical = MAX (writer->logical, logical);
  return true;
}

static void
advance_clock (gp_writer_t *writer, gp_time_t now)
{
  int64_t wall_us = now + writer->wall_offset;

  if (wall_us > writer->wall_us)
    {
      writer->wall_us = wall_us;
      writer->logical = 0;
    }
  else
    writer->logical++;
}

static void
push_action (gp_writer_t *writer, const gp_writer_action_t *action)
{
  g_queue_push_tail (&writer->actions, g_memdup2 (action, sizeof *action));
}

bool
gp_writer_next_action (gp_writer_t *writer, gp_writer_action_t *action)
{
  gp_writer_action_t *first = g_queue_pop_head (&writer->actions);

  if (first == NULL)
    return false;
  *action = *first;
  g_free (first);
  return true;
}

/* Return when the oldest batch not read back was sent, or GP_TIME_NEVER.  */
static gp_time_t
waiting_since (const gp_writer_t *writer)
{
  if (!gp_list_empty (&writer->unread))
    return batch_of (writer->unread.next)->sent_at;
  if (writer->current != NULL)
    return writer->current->sent_at;
  return GP_TIME_NEVER;
}

bool
gp_writer_available (const gp_writer_t *writer, gp_time_t now)
{
  const gp_writer_batch_t *batch = writer->current;

  if (batch != NULL && batch->failures >= writer->limits.failures_max)
    return false;
  return now
         < gp_time_add (waiting_since (writer), writer->limits.outage_after);
}

/* Pack a batch without records.  */
static GByteArray *
pack_header (const gp_writer_t *writer, uint64_t sequence)
{
  Gp__Record__Batch header = GP__RECORD__BATCH__INIT;
  GByteArray *bytes = g_byte_array_new ();

  header.version = GP_FOLD_VERSION;
  header.writer = writer->name;
  header.incarnation = writer->incarnation;
  header.sequence = sequence;
  header.wall_us = writer->wall_us;
  header.logical = writer->logical;
  g_byte_array_set_size (bytes,
                         (guint)gp__record__batch__get_packed_size (&header));
  gp__record__batch__pack (&header, bytes->data);
  return bytes;
}

/* Pack RECORD as a batch of its own.  Concatenated protobuf messages decode as
   one message with the repeated fields of all, so a record is packed only
   once and later appended to the header.  */
static gp_writer_entry_t *
pack_entry (const Gp__Record__Record *record)
{
  Gp__Record__Record *records[] = { (Gp__Record__Record *)record };
  Gp__Record__Batch batch = GP__RECORD__BATCH__INIT;
  gp_writer_entry_t *entry;
  size_t size;

  batch.n_records = 1;
  batch.records = records;
  size = gp__record__batch__get_packed_size (&batch);
  entry = g_malloc (sizeof *entry + size);
  entry->size = size;
  entry->sent = false;
  gp__record__batch__pack (&batch, entry->data);
  return entry;
}

/* Return an upper bound of the size of a batch header.  */
static size_t
header_size_max (const gp_writer_t *writer)
{
  return strlen (writer->name) + 64;
}

gp_writer_result_t
gp_writer_enqueue (gp_writer_t *writer, const Gp__Record__Record *record,
                   gp_writer_priority_t priority, uint64_t token,
                   gp_time_t deadline, gp_time_t now,
                   gp_writer_entry_t **entry)
{
  gp_writer_entry_t *queued;
  size_t bytes;

  if (deadline <= now)
    return GP_WRITER_DEADLINE_PASSED;
  if (!gp_writer_available (writer, now))
    return GP_WRITER_UNAVAILABLE;
  if (writer->queue_records >= writer->limits.queue_records_max)
    return GP_WRITER_FULL;
  queued = pack_entry (record);
  bytes = writer->queue_bytes + queued->size;
  if (queued->size + header_size_max (writer) > writer->limits.batch_bytes_max
      || bytes > writer->limits.queue_bytes_max)
    {
      gp_writer_result_t result = bytes > writer->limits.queue_bytes_max
                                      ? GP_WRITER_FULL
                                      : GP_WRITER_TOO_LARGE;
      g_free (queued);
      return result;
    }
  queued->token = token;
  queued->queued_at = now;
  queued->deadline = deadline;
  gp_list_push_back (&writer->queues[priority], &queued->link);
  writer->queue_bytes = bytes;
  writer->queue_records++;
  writer->next_expiry = MIN (writer->next_expiry, deadline);
  if (entry != NULL)
    *entry = queued;
  gp_writer_step (writer, now);
  return GP_WRITER_QUEUED;
}

static void
dequeue (gp_writer_t *writer, gp_writer_entry_t *entry)
{
  gp_list_remove (&entry->link);
  writer->queue_bytes -= entry->size;
  writer->queue_records--;
}

bool
gp_writer_withdraw (gp_writer_t *writer, gp_writer_entry_t *entry)
{
  if (entry->sent)
    return false;
  dequeue (writer, entry);
  g_free (entry);
  return true;
}

static void
expire_entry (gp_writer_t *writer, gp_writer_entry_t *entry)
{
  gp_writer_action_t action
      = { .kind = GP_WRITER_EXPIRED, .u.expired.token = entry->token };

  dequeue (writer, entry);
  push_action (writer, &action);
  g_free (entry);
}

static void
expire_entries (gp_writer_t *writer, gp_time_t now)
{
  if (now < writer->next_expiry)
    return;
  writer->next_expiry = GP_TIME_NEVER;
  for (int i = 0; i < GP_WRITER_PRIORITIES; i++)
    GP_LIST_FOREACH_SAFE (pos, &writer->queues[i])
    {
      gp_writer_entry_t *entry = entry_of (pos);

      if (entry->deadline <= now)
        expire_entry (writer, entry);
      else
        writer->next_expiry = MIN (writer->next_expiry, entry->deadline);
    }
}

static void
send_batch (gp_writer_t *writer, gp_writer_batch_t *batch, gp_time_t now)
{
  gp_writer_action_t action
      = { .kind = GP_WRITER_APPEND,
          .u.append = { batch->sequence, g_bytes_ref (batch->bytes) } };

  batch->in_flight = true;
  batch->deadline = now + writer->limits.timeout;
  writer->appends++;
  writer->bytes += g_bytes_get_size (batch->bytes);
  push_action (writer, &action);
}

/* Move records from QUEUE to BATCH and append their bytes to BYTES.  Returns
   false if the batch is full.  */
static bool
fill_batch (gp_writer_t *writer, gp_writer_batch_t *batch, GByteArray *bytes,
            gp_list_t *queue)
{
  while (!gp_list_empty (queue))
    {
      gp_writer_entry_t *entry = entry_of (queue->next);

      if (batch->count >= writer->limits.batch_records_max
          || bytes->len + entry->size > writer->limits.batch_bytes_max)
        return false;
      dequeue (writer, entry);
      entry->sent = true;
      gp_list_push_back (&batch->entries, &entry->link);
      batch->count++;
      g_byte_array_append (bytes, entry->data, (guint)entry->size);
    }
  return true;
}

static void
form_batch (gp_writer_t *writer, gp_time_t now)
{
  gp_writer_batch_t *batch = g_new0 (gp_writer_batch_t, 1);
  GByteArray *bytes;

  gp_list_init (&batch->link);
  gp_list_init (&batch->entries);
  advance_clock (writer, now);
  batch->sequence = ++writer->sequence;
  batch->sent_at = now;
  writer->last_batch_at = now;
  bytes = pack_header (writer, batch->sequence);
  for (int i = 0; i < GP_WRITER_PRIORITIES; i++)
    if (!fill_batch (writer, batch, bytes, &writer->queues[i]))
      break;
  writer->records += batch->count;
  batch->bytes = g_byte_array_free_to_bytes (bytes);
  writer->current = batch;
  send_batch (writer, batch, now);
}

static gp_time_t
spacing_of (const gp_writer_t *writer, int priority)
{
  gp_time_t max = writer->limits.urgent_spacing_max;

  if (priority == GP_WRITER_URGENT && max > 0)
    return MIN (writer->spacing, max);
  return writer->spacing;
}

/* Return when the queued records are to be sent if no batch is in flight.  */
static gp_time_t
queue_due_at (const gp_writer_t *writer)
{
  gp_time_t due = GP_TIME_NEVER;

  if (writer->queue_records >= writer->limits.batch_records_max
      || writer->queue_bytes + header_size_max (writer)
             >= writer->limits.batch_bytes_max)
    return 0;
  for (int i = 0; i < GP_WRITER_PRIORITIES; i++)
    if (!gp_list_empty (&writer->queues[i]))
      {
        gp_writer_entry_t *oldest = entry_of (writer->queues[i].next);

        gp_time_t linger_end = oldest->queued_at + writer->limits.linger[i];

        due = MIN (due, MAX (linger_end,
                             writer->last_batch_at + spacing_of (writer, i)));
      }
  return due;
}

static gp_time_t
backoff (const gp_writer_t *writer, uint32_t failures)
{
  uint32_t shift = MIN (failures - 1, BACKOFF_SHIFT_MAX);
  gp_time_t full
      = MIN (writer->limits.backoff_min << shift, writer->limits.backoff_max);

  return (gp_time_t)((double)full
                     * g_rand_double_range (writer->rand, 0.5, 1.0));
}

static void
fail_append (gp_writer_t *writer, gp_time_t now)
{
  gp_writer_batch_t *batch = writer->current;

  batch->in_flight = false;
  batch->failures++;
  batch->deadline = now + backoff (writer, batch->failures);
}

static void
step_current (gp_writer_t *writer, gp_time_t now)
{
  gp_writer_batch_t *batch = writer->current;

  if (now < batch->deadline)
    return;
  if (batch->in_flight)
    {
      fail_append (writer, now);
      return;
    }
  writer->repeats++;
  send_batch (writer, batch, now);
}

static bool
can_form_batch (const gp_writer_t *writer)
{
  return writer->current == NULL && writer->queue_records > 0
         && writer->unread_count < writer->limits.unread_max;
}

void
gp_writer_step (gp_writer_t *writer, gp_time_t now)
{
  expire_entries (writer, now);
  if (writer->current != NULL)
    step_current (writer, now);
  else if (can_form_batch (writer) && queue_due_at (writer) <= now)
    form_batch (writer, now);
}

gp_time_t
gp_writer_deadline (const gp_writer_t *writer)
{
  gp_time_t deadline = writer->next_expiry;

  if (writer->current != NULL)
    return MIN (deadline, writer->current->deadline);
  if (can_form_batch (writer))
    return MIN (deadline, queue_due_at (writer));
  return deadline;
}

void
gp_writer_acked (gp_writer_t *writer, uint64_t sequence, gp_time_t now)
{
  gp_writer_batch_t *batch = writer->current;

  if (batch == NULL || batch->sequence != sequence)
    return;
  writer->current = NULL;
  gp_list_push_back (&writer->unread, &batch->link);
  writer->unread_count++;
  gp_writer_step (writer, now);
}

void
gp_writer_failed (gp_writer_t *writer, uint64_t sequence, gp_time_t now)
{
  gp_writer_batch_t *batch = writer->current;

  if (batch == NULL || batch->sequence != sequence || !batch->in_flight)
    return;
  fail_append (writer, now);
}

/* Unlink and return the sent batch SEQUENCE, or NULL if there is none.  */
static gp_writer_batch_t *
take_batch (gp_writer_t *writer, uint64_t sequence)
{
  gp_writer_batch_t *batch = writer->current;

  if (batch != NULL && batch->sequence == sequence)
    {
      writer->current = NULL;
      return batch;
    }
  GP_LIST_FOREACH (pos, &writer->unread)
  if (batch_of (pos)->sequence == sequence)
    {
      batch = batch_of (pos);
      gp_list_remove (pos);
      writer->unread_count--;
      return batch;
    }
  return NULL;
}

void
gp_writer_observe (gp_writer_t *writer, uint64_t sequence,
                   const gp_fold_verdict_t *verdicts, size_t count,
                   gp_time_t now)
{
  gp_writer_batch_t *batch = take_batch (writer, sequence);
  size_t i = 0;

  if (batch == NULL)
    return;
  g_assert (batch->count == count);
  GP_LIST_FOREACH (pos, &batch->entries)
  {
    gp_writer_action_t action
        = { .kind = GP_WRITER_VERDICT,
            .u.verdict = { entry_of (pos)->token, verdicts[i++] } };

    push_action (writer, &action);
  }
  free_batch (batch);
  gp_writer_step (writer, now);
}

static void
report_unread (gp_writer_t *writer, gp_writer_batch_t *batch)
{
  GP_LIST_FOREACH (pos, &batch->entries)
  {
    gp_writer_action_t action = { .kind = GP_WRITER_UNREAD,
                                  .u.unread.token = entry_of (pos)->token };

    push_action (writer, &action);
  }
  free_batch (batch);
}

void
gp_writer_skip (gp_writer_t *writer, uint64_t sequence, gp_time_t now)
{
  GP_LIST_FOREACH_SAFE (pos, &writer->unread)
  {
    if (batch_of (pos)->sequence > sequence)
      break;
    gp_list_remove (pos);
    writer->unread_count--;
    report_unread (writer, batch_of (pos));
  }
  if (writer->current != NULL && writer->current->sequence <= sequence)
    report_unread (writer, g_steal_pointer (&writer->current));
  gp_writer_step (writer, now);
}

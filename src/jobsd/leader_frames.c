/* Frames from the leader to the guards: built before an append and sent when
   it is done.  */

#include <string.h>

#include "jobs/frame_parts.h"
#include "jobs/spec_store.h"
#include "jobsd/leader_private.h"
#include "protocol/message.h"

/* A frame that waits for the append that records its reason.  */
typedef struct
{
  gp_guard_link_t *link;
  gp_peer_t *peer; /* connection for which it was built */
  Gp__Jobs__Frame__MessageCase kind;
  GBytes *bytes;
} frame_t;

/* The scheduler's orders for one executor.  */
typedef struct
{
  GPtrArray *starts; /* Gp__Jobs__Start */
  GPtrArray *stops;  /* Gp__Jobs__TaskRun */
  GPtrArray *forget; /* Gp__Jobs__TaskRun */
  uint64_t seen;
} outbox_t;

static void
frame_free (frame_t *frame)
{
  g_bytes_unref (frame->bytes);
  g_free (frame);
}

static void
queue_frame (gp_guard_link_t *link, const Gp__Jobs__Frame *message)
{
  frame_t *frame = g_new (frame_t, 1);

  frame->link = link;
  frame->peer = link->peer;
  frame->kind = message->message_case;
  frame->bytes = gp_message_pack (&message->base);
  g_ptr_array_add (link->leader->frames, frame);
}

void
gp_leader_send_frames (gp_leader_t *leader)
{
  for (guint i = 0; i < leader->frames->len; i++)
    {
      frame_t *frame = g_ptr_array_index (leader->frames, i);

      if (frame->peer != NULL && frame->peer == frame->link->peer)
        gp_frame_send_packed (frame->peer, frame->bytes, frame->kind);
      /* The time to wait for it starts now, not while its append was
         delayed.  */
      if (frame->kind == GP__JOBS__FRAME__MESSAGE_SYNC)
        frame->link->sync_sent_at = gp_loop_now (leader->loop);
      frame_free (frame);
    }
  g_ptr_array_set_size (leader->frames, 0);
}

void
gp_leader_discard_frames (gp_leader_t *leader)
{
  for (guint i = 0; i < leader->frames->len; i++)
    frame_free (g_ptr_array_index (leader->frames, i));
  g_ptr_array_set_size (leader->frames, 0);
}

static Gp__Jobs__Start *
start_message (const gp_job_task_t *task)
{
  const Gp__Jobs__Step *step = gp_task_step (task);
  Gp__Jobs__Start *start = g_new (Gp__Jobs__Start, 1);

  gp__jobs__start__init (start);
  start->task = g_malloc (GP_TASK_NAME_SIZE);
  gp_task_name (task, start->task);
  start->run = task->run;
  if (task->checkpoint != NULL)
    {
      start->checkpoint.data = (uint8_t *)task->checkpoint;
      start->checkpoint.len = strlen (task->checkpoint);
    }
  start->fills = step->fills;
  start->target_ms = step->target_ms;
  start->image = step->image;
  start->cpu_milli = step->cpu_milli;
  start->watched = task->crashes > 0 || task->job->awaits_begin;
  start->gang = step->gang;
  start->alone = task->alone;
  return start;
}

static void
free_start (gpointer data)
{
  Gp__Jobs__Start *start = data;

  g_free (start->task);
  g_free (start);
}

static Gp__Jobs__TaskRun *
run_message (const gp_job_task_t *task, uint32_t number)
{
  Gp__Jobs__TaskRun *run = g_new (Gp__Jobs__TaskRun, 1);

  gp__jobs__task_run__init (run);
  run->task = g_malloc (GP_TASK_NAME_SIZE);
  gp_task_name (task, run->task);
  run->run = number;
  return run;
}

static void
free_run (gpointer data)
{
  Gp__Jobs__TaskRun *run = data;

  g_free (run->task);
  g_free (run);
}

static void
outbox_free (gpointer data)
{
  outbox_t *outbox = data;

  g_ptr_array_unref (outbox->starts);
  g_ptr_array_unref (outbox->stops);
  g_ptr_array_unref (outbox->forget);
  g_free (outbox);
}

static outbox_t *
outbox_of (GHashTable *outboxes, gp_job_executor_t *executor)
{
  outbox_t *outbox = g_hash_table_lookup (outboxes, executor);

  if (outbox != NULL)
    return outbox;
  outbox = g_new0 (outbox_t, 1);
  outbox->starts = g_ptr_array_new_with_free_func (free_start);
  outbox->stops = g_ptr_array_new_with_free_func (free_run);
  outbox->forget = g_ptr_array_new_with_free_func (free_run);
  g_hash_table_insert (outboxes, executor, outbox);
  return outbox;
}

static void
collect (GHashTable *outboxes, const gp_order_t *order)
{
  outbox_t *outbox = outbox_of (outboxes, order->executor);

  switch (order->kind)
    {
    case GP_ORDER_START:
      if (order->task->executor == order->executor
          && order->task->run == order->run
          && gp_scheduler_expects_run (order->task))
        g_ptr_array_add (outbox->starts, start_message (order->task));
      break;
    case GP_ORDER_STOP:
      g_ptr_array_add (outbox->stops, run_message (order->task, order->run));
      break;
    case GP_ORDER_FORGET:
      g_ptr_array_add (outbox->forget, run_message (order->task, order->run));
      break;
    case GP_ORDER_SEEN:
      outbox->seen = MAX (outbox->seen, order->seen);
      break;
    }
}

/* Add the specification of JOB to SPECS or, if HOLDER is not NULL, the address
   of the guard to fetch it from.  */
static void
add_spec (GArray *specs, const gp_job_t *job, const char *holder)
{
  const ProtobufCBinaryData *bytes = &job->submission->spec;
  Gp__Jobs__Spec spec = GP__JOBS__SPEC__INIT;

  spec.job = (char *)job->id;
  spec.digest = gp_spec_digest (bytes->data, bytes->len);
  spec.held = holder == NULL;
  if (holder != NULL)
    spec.holder = (char *)holder;
  else
    spec.bytes = *bytes;
  g_array_append_val (specs, spec);
}

/* A run of JOB is started on the guard of LINK: provide the specification.  */
static void
add_spec_for_run (gp_guard_link_t *link, const gp_job_t *job, GArray *specs)
{
  gp_leader_t *leader = link->leader;
  const gp_guard_link_t *holder;
  const char *name;

  switch (gp_spec_distribution_source (&leader->specs, job->id, link->node,
                                       gp_loop_now (leader->loop), &name))
    {
    case GP_SPEC_KNOWN:
      break;
    case GP_SPEC_FROM_LEADER:
      add_spec (specs, job, NULL);
      break;
    case GP_SPEC_FROM_HOLDER:
      holder = g_hash_table_lookup (leader->links, name);
      add_spec (specs, job, holder->address);
      break;
    }
}

static void
collect_specs (gp_guard_link_t *link, const outbox_t *outbox, GArray *specs)
{
  const gp_book_t *book = link->leader->book;

  for (guint i = 0; i < link->missing_specs->len; i++)
    {
      const gp_job_t *job
          = gp_book_find (book, g_ptr_array_index (link->missing_specs, i));

      if (job != NULL && job->submission != NULL)
        add_spec (specs, job, NULL);
    }
  g_ptr_array_set_size (link->missing_specs, 0);
  for (guint i = 0; outbox != NULL && i < outbox->starts->len; i++)
    {
      const Gp__Jobs__Start *start = g_ptr_array_index (outbox->starts, i);

      add_spec_for_run (link, gp_book_task (book, start->task)->job, specs);
    }
}

/* Returns whether the guard of LINK has to be told that its last report is on
   record: what was decided on it is in the next append, or in an earlier
   one.  */
static bool
has_report_to_confirm (const gp_guard_link_t *link)
{
  return link->awaits_record && link->report_sent_at > link->confirmed;
}

/* How much of each list of orders is in earlier parts.  */
typedef struct
{
  size_t forget;
  size_t specs;
  size_t starts;
  size_t stops;
} orders_cursor_t;

/* Returns how many of the COUNT messages at ROWS are added to a part of SIZE
   bytes: none if it is FULL, which is set if some are left.  */
static size_t
rows_for_part (void *rows, size_t count, size_t *size, bool *full)
{
  size_t fit = *full ? 0 : gp_frame_rows_that_fit (rows, count, size);

  *full = *full || fit < count;
  return fit;
}

/* Returns the part of ALL from CURSOR on, which is moved to its end, and sets
   *LAST if that is the last one.  Earlier runs are forgotten before new ones
   start, and these start before they are stopped.  */
static Gp__Jobs__Orders
next_part (const Gp__Jobs__Orders *all, orders_cursor_t *cursor, bool *last)
{
  Gp__Jobs__Orders part = *all;
  bool full = false;
  size_t size;

  part.n_forget = part.n_specs = part.n_starts = part.n_stops = 0;
  size = gp__jobs__orders__get_packed_size (&part);
  part.forget = all->forget + cursor->forget;
  part.n_forget = rows_for_part (part.forget, all->n_forget - cursor->forget,
                                 &size, &full);
  part.specs = all->specs + cursor->specs;
  part.n_specs
      = rows_for_part (part.specs, all->n_specs - cursor->specs, &size, &full);
  part.starts = all->starts + cursor->starts;
  part.n_starts = rows_for_part (part.starts, all->n_starts - cursor->starts,
                                 &size, &full);
  part.stops = all->stops + cursor->stops;
  part.n_stops
      = rows_for_part (part.stops, all->n_stops - cursor->stops, &size, &full);
  cursor->forget += part.n_forget;
  cursor->specs += part.n_specs;
  cursor->starts += part.n_starts;
  cursor->stops += part.n_stops;
  if (full)
    part.recorded = 0;
  *last = !full;
  return part;
}

/* Queues ORDERS, in several frames if they are too large for one.  */
static void
queue_orders (gp_guard_link_t *link, const Gp__Jobs__Orders *orders)
{
  orders_cursor_t cursor = { 0 };
  bool last = false;

  while (!last)
    {
      Gp__Jobs__Orders part = next_part (orders, &cursor, &last);
      Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;

      frame.message_case = GP__JOBS__FRAME__MESSAGE_ORDERS;
      frame.orders = &part;
      queue_frame (link, &frame);
    }
}

/* OUTBOX may be NULL.  */
static void
build_orders (gp_guard_link_t *link, const outbox_t *outbox)
{
  GArray *specs = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Spec));
  Gp__Jobs__Orders orders = GP__JOBS__ORDERS__INIT;

  orders.executor = link->executor->id;
  orders.born_ms = link->executor->born_ms;
  if (has_report_to_confirm (link))
    {
      orders.recorded = link->report_sent_at;
      link->confirmed = link->report_sent_at;
    }
  collect_specs (link, outbox, specs);
  orders.specs = gp_frame_row_pointers (specs);
  orders.n_specs = specs->len;
  if (outbox != NULL)
    {
      orders.starts = (Gp__Jobs__Start **)outbox->starts->pdata;
      orders.n_starts = outbox->starts->len;
      orders.stops = (Gp__Jobs__TaskRun **)outbox->stops->pdata;
      orders.n_stops = outbox->stops->len;
      orders.forget = (Gp__Jobs__TaskRun **)outbox->forget->pdata;
      orders.n_forget = outbox->forget->len;
      orders.seen_ends = outbox->seen;
    }
  queue_orders (link, &orders);
  g_free (orders.specs);
  g_array_free (specs, TRUE);
}

/* Queues SYNC with STARTS, in several parts if they are too large for a frame.
   If its stops alone are, the frame is not sent, and is counted as such.  */
static void
queue_sync (gp_guard_link_t *link, Gp__Jobs__Sync *sync,
            const GPtrArray *starts)
{
  size_t base = gp__jobs__sync__get_packed_size (sync);
  size_t done = 0;

  do
    {
      Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;
      size_t size = base;

      sync->starts = (Gp__Jobs__Start **)starts->pdata + done;
      sync->n_starts = gp_frame_rows_that_fit (
          (ProtobufCMessage **)sync->starts, starts->len - done, &size);
      done += sync->n_starts;
      sync->more = done < starts->len;
      frame.message_case = GP__JOBS__FRAME__MESSAGE_SYNC;
      frame.sync = sync;
      queue_frame (link, &frame);
    }
  while (sync->more && sync->n_starts > 0);
}

/* The full list of the executor's runs: those that are wanted, and those of
   which neither the end nor the absence is known.  It is built before the
   orders of the same append, which have no further effect then.  */
static void
build_sync (gp_guard_link_t *link)
{
  GPtrArray *starts = g_ptr_array_new_with_free_func (free_start);
  GPtrArray *stops = g_ptr_array_new_with_free_func (free_run);
  Gp__Jobs__Sync sync = GP__JOBS__SYNC__INIT;

  GP_LIST_FOREACH (at, &link->executor->tasks)
  {
    const gp_job_task_t *task
        = GP_CONTAINER_OF (at, gp_job_task_t, on_executor);

    if (gp_scheduler_expects_run (task))
      g_ptr_array_add (starts, start_message (task));
    else
      g_ptr_array_add (stops, run_message (task, task->run));
  }
  link->sync = ++link->leader->sync_count;
  link->sync_sent_at = gp_loop_now (link->leader->loop);
  link->needs_sync = false;
  sync.number = link->sync;
  sync.executor = link->executor->id;
  sync.born_ms = link->executor->born_ms;
  sync.stops = (Gp__Jobs__TaskRun **)stops->pdata;
  sync.n_stops = stops->len;
  sync.raise_fence = link->executor->dead;
  sync.after = link->report_sent_at;
  queue_sync (link, &sync, starts);
  link->executor->dead = false;
  g_ptr_array_unref (starts);
  g_ptr_array_unref (stops);
}

void
gp_leader_build_frames (gp_leader_t *leader)
{
  GHashTable *outboxes = g_hash_table_new_full (NULL, NULL, NULL, outbox_free);
  GArray *orders = leader->scheduler.orders;
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < orders->len; i++)
    collect (outboxes, &g_array_index (orders, gp_order_t, i));
  g_array_set_size (orders, 0);
  g_hash_table_iter_init (&iter, leader->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_guard_link_t *link = value;
      const outbox_t *outbox;

      if (link->peer == NULL || !link->has_executor)
        continue;
      if (link->needs_sync && !link->executor_lost)
        build_sync (link);
      outbox = g_hash_table_lookup (outboxes, link->executor);
      if (outbox != NULL || link->missing_specs->len > 0
          || has_report_to_confirm (link))
        build_orders (link, outbox);
    }
  g_hash_table_destroy (outboxes);
}

/* Lease simulation: clocks, faults, event queue, messages and checks.  */

#include "lease_world_impl.h"

const char *const lw_guard_names[LW_GUARDS] = { "w1", "w2" };

unsigned
lw_guard_node (unsigned guard)
{
  return LW_ENTRIES + guard;
}

gp_time_t
lw_local_time (const world_t *w, unsigned node)
{
  return w->now + w->now * w->drift[node] / GP_PPM;
}

gp_time_t
lw_true_time (const world_t *w, unsigned node, gp_time_t local)
{
  return local * GP_PPM / (GP_PPM + w->drift[node]) + 1;
}

/* Returns the fault of KIND on (A, B) that is in effect now, or NULL.  */
const lease_world_fault_t *
lw_fault_on (const world_t *w, lease_world_fault_kind_t kind, unsigned a,
             unsigned b)
{
  for (unsigned i = 0; i < w->num_faults; i++)
    {
      const lease_world_fault_t *f = &w->faults[i];

      if (f->kind == kind && f->a == a && f->b == b && f->at <= w->now
          && w->now < f->end)
        return f;
    }
  return NULL;
}

bool
lw_log_cut (const world_t *w, unsigned entry)
{
  return lw_fault_on (w, LW_LOG_DOWN, 0, 0) != NULL
         || lw_fault_on (w, LW_LOG_CUT, entry, 0) != NULL;
}

bool
lw_link_cut (const world_t *w, unsigned a, unsigned b)
{
  unsigned low = MIN (a, b);
  unsigned high = MAX (a, b);

  if (high < LW_ENTRIES)
    return lw_fault_on (w, LW_CUT_ENTRY, low, 0) != NULL
           || lw_fault_on (w, LW_CUT_ENTRY, high, 0) != NULL;
  return lw_fault_on (w, LW_CUT_GUARD, low, high - LW_ENTRIES) != NULL
         || lw_fault_on (w, LW_CUT_ALL, high - LW_ENTRIES, 0) != NULL;
}

/* Returns when the pause of the process or VM that handles KIND at NODE
   ends, or 0.  */
gp_time_t
lw_paused_until (const world_t *w, event_kind_t kind, unsigned node)
{
  const lease_world_fault_t *f;

  if (kind == EV_READ || kind == EV_APPEND || kind == EV_KILL)
    return 0;
  if (node < LW_ENTRIES)
    {
      f = lw_fault_on (w, LW_PAUSE_ENTRY, node, 0);
      return f != NULL ? f->end : 0;
    }
  f = lw_fault_on (w, LW_PAUSE_VM, node - LW_ENTRIES, 0);
  if (f == NULL && kind < EV_RT_START)
    f = lw_fault_on (w, LW_PAUSE_GUARD, node - LW_ENTRIES, 0);
  return f != NULL ? f->end : 0;
}

/* Event queue, a binary heap.  */

static bool
earlier (const event_t *a, const event_t *b)
{
  return a->time != b->time ? a->time < b->time : a->order < b->order;
}

static void
heap_swap (event_t *x, event_t *y)
{
  event_t hold = *x;

  *x = *y;
  *y = hold;
}

void
lw_push (world_t *w, gp_time_t time, event_t *event)
{
  event_t *heap;
  guint i = w->queue->len;

  event->time = MAX (time, w->now);
  event->order = w->order++;
  g_array_append_val (w->queue, *event);
  heap = (event_t *)(void *)w->queue->data;
  for (; i > 0 && earlier (&heap[i], &heap[(i - 1) / 2]); i = (i - 1) / 2)
    heap_swap (&heap[i], &heap[(i - 1) / 2]);
}

event_t
lw_pop (world_t *w)
{
  event_t *heap = (event_t *)(void *)w->queue->data;
  event_t first = heap[0];
  guint len = w->queue->len - 1;
  guint i = 0;

  heap[0] = heap[len];
  g_array_set_size (w->queue, len);
  for (;;)
    {
      guint child = 2 * i + 1;

      if (child >= len)
        return first;
      if (child + 1 < len && earlier (&heap[child + 1], &heap[child]))
        child++;
      if (!earlier (&heap[child], &heap[i]))
        return first;
      heap_swap (&heap[i], &heap[child]);
      i = child;
    }
}

void
lw_trace (const world_t *w, const char *format, ...)
{
  va_list args;

  if (w->options->trace == NULL || w->now < w->options->trace_from)
    return;
  fprintf (w->options->trace, "%8.3f  ", (double)w->now / GP_SEC);
  va_start (args, format);
  vfprintf (w->options->trace, format, args);
  va_end (args);
  fputc ('\n', w->options->trace);
}

gp_time_t
lw_delay (world_t *w)
{
  gp_time_t usual = g_rand_int_range (w->rng, 1, 10) * GP_MSEC;

  if (!w->options->noisy || w->now >= w->options->noisy_until
      || g_rand_int_range (w->rng, 0, 64) != 0)
    return usual;
  return g_rand_int_range (w->rng, 1, 20000) * GP_MSEC;
}

/* Sends EVENT from node FROM to node TO, unless the link is cut.  */
void
lw_send_message (world_t *w, unsigned from, unsigned to, event_t *event)
{
  event->node = to;
  event->from = from;
  if (!lw_link_cut (w, from, to))
    lw_push (w, w->now + lw_delay (w), event);
}

/* Sends a call of the guard to the runtime of its VM, or the reply.  */
void
lw_send_local (world_t *w, unsigned guard, event_t *event)
{
  event->node = lw_guard_node (guard);
  event->from = w->boots[guard];
  lw_push (w, w->now + lw_delay (w), event);
}

/* Checks.  */

static void
record_violation (world_t *w, const char *what)
{
  if (w->result.violation != NULL)
    return;
  lw_trace (w, "VIOLATION: %s", what);
  w->result.violation = what;
  w->result.violation_at = w->now;
}

unsigned
lw_count_running (const world_t *w, unsigned task)
{
  unsigned count = 0;

  for (unsigned g = 0; g < LW_GUARDS; g++)
    if (w->runtimes[g].running[task] != NO_EPOCH
        && lw_fault_on (w, LW_PAUSE_VM, g, 0) == NULL)
      count++;
  return count;
}

void
lw_check_world (world_t *w)
{
  for (unsigned t = 0; t < LW_TASKS; t++)
    {
      if (lw_count_running (w, t) > 1)
        record_violation (w, "a task runs in two places");
      for (unsigned g = 0; g < LW_GUARDS; g++)
        if (w->runtimes[g].running[t] != NO_EPOCH
            && lw_fault_on (w, LW_PAUSE_VM, g, 0) == NULL
            && lease_fold_ended (&w->fold, t, w->runtimes[g].running[t]))
          record_violation (w, "an ended epoch runs");
    }
}

void
lw_end_idle (world_t *w, unsigned task)
{
  gp_time_t idle = w->now - w->idle_since[task];

  w->result.idle[task] += idle;
  if (w->idle_since[task] > 0)
    w->result.worst[task] = MAX (w->result.worst[task], idle);
}

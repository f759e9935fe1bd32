/* Lease simulation: entries and the log that they share.  */

#include "lease_world_impl.h"

static void
log_append (world_t *w, unsigned entry, const lease_record_t *record)
{
  event_t event = { .kind = EV_APPEND, .record = *record };
  const lease_world_fault_t *late = lw_fault_on (w, LW_LOG_LATE, entry, 0);

  if (lw_log_cut (w, entry))
    return;
  lw_push (w, (late != NULL ? late->end : w->now) + lw_delay (w), &event);
}

static void
entry_propose (world_t *w, unsigned entry, lease_record_t record)
{
  entry_t *e = &w->entries[entry];

  if (e->num_outstanding == MAX_OUTSTANDING || w->next_id == MAX_RECORDS)
    return;
  record.id = w->next_id++;
  e->outstanding[e->num_outstanding++] = record;
  log_append (w, entry, &record);
}

static unsigned
guard_index (const char *name)
{
  return strcmp (name, lw_guard_names[0]) == 0 ? 0 : 1;
}

void
lw_entry_propose_for (world_t *w, unsigned entry, lease_record_kind_t kind,
                      unsigned guard, uint64_t incarnation,
                      const uint64_t *running)
{
  lease_record_t record = { .kind = kind, .guard = guard };

  record.incarnation = incarnation;
  if (running != NULL)
    memcpy (record.running, running, sizeof record.running);
  entry_propose (w, entry, record);
}

/* Returns the node of the entry that has INDEX among the entries other
   than ENTRY.  */
static unsigned
other_entry (unsigned entry, unsigned index)
{
  return index < entry ? index : index + 1;
}

static void
entry_execute_actions (world_t *w, unsigned entry,
                       gp_lease_grantor_actions_t *actions,
                       const uint64_t *running)
{
  for (unsigned i = 0; i < actions->count; i++)
    {
      gp_lease_grantor_action_t *a = &actions->items[i];
      event_t ask = { .kind = EV_VOUCH_REQUEST };

      switch (a->kind)
        {
        case GP_LEASE_GRANTOR_REGISTER:
          lw_entry_propose_for (w, entry, LEASE_RECORD_ADOPT,
                                guard_index (a->u.guard.name),
                                a->u.guard.incarnation, running);
          break;
        case GP_LEASE_GRANTOR_FENCE:
          lw_entry_propose_for (w, entry, LEASE_RECORD_FENCE,
                                guard_index (a->u.guard.name),
                                a->u.guard.incarnation, NULL);
          break;
        case GP_LEASE_GRANTOR_FENCE_DONE:
          lw_entry_propose_for (w, entry, LEASE_RECORD_FENCE_DONE,
                                guard_index (a->u.guard.name),
                                a->u.guard.incarnation, NULL);
          break;
        case GP_LEASE_GRANTOR_REQUEST_VOUCH:
          ask.id = a->u.vouch_request.id;
          lw_send_message (
              w, entry, other_entry (entry, a->u.vouch_request.entry), &ask);
          break;
        }
    }
  actions->count = 0;
}

static void
entry_apply (world_t *w, unsigned entry, const lease_record_t *r)
{
  entry_t *e = &w->entries[entry];
  const char *name = lw_guard_names[r->guard];
  gp_time_t now = lw_local_time (w, entry);

  for (unsigned i = 0; i < e->num_outstanding; i++)
    if (e->outstanding[i].id == r->id)
      e->outstanding[i--] = e->outstanding[--e->num_outstanding];
  if (!lease_fold_apply (&e->fold, r))
    {
      /* If this entry proposed it, it may propose again.  */
      if (r->kind == LEASE_RECORD_GRANT)
        e->granting[r->task] = NO_EPOCH;
      return;
    }
  if (r->kind == LEASE_RECORD_ADOPT)
    gp_lease_grantor_registered (&e->grantor, name, r->incarnation, now);
  else if (r->kind == LEASE_RECORD_FENCE_DONE)
    gp_lease_grantor_fence_done_read (&e->grantor, name, r->incarnation);
  else if (r->kind == LEASE_RECORD_FENCE)
    {
      gp_lease_grantor_fence_read (&e->grantor, name, r->incarnation, now);
      if (w->options->mutation == LW_ACT_AT_ONCE)
        lw_entry_propose_for (w, entry, LEASE_RECORD_FENCE_DONE, r->guard,
                              r->incarnation, NULL);
    }
}

static void
entry_snapshot (world_t *w, unsigned entry)
{
  entry_t *e = &w->entries[entry];
  gp_time_t now = lw_local_time (w, entry);

  e->offset = w->first;
  if (w->options->mutation == LW_GAP_IGNORED && e->fold.guards[0].current != 0)
    return;
  gp_lease_grantor_log_gap (&e->grantor, now);
  e->fold = w->snapshot;
  /* It is not known whether its proposals were accepted, so it decides
     again.  */
  e->num_outstanding = 0;
  memset (e->granting, 0, sizeof e->granting);
  memset (e->ending, 0, sizeof e->ending);
  for (unsigned g = 0; g < LW_GUARDS; g++)
    {
      uint64_t current = e->fold.guards[g].current;

      if (current == 0)
        continue;
      gp_lease_grantor_registered (&e->grantor, lw_guard_names[g], current,
                                   now);
      if (e->fold.guards[g].fenced)
        gp_lease_grantor_fence_read (&e->grantor, lw_guard_names[g], current,
                                     now);
      if (e->fold.guards[g].done)
        gp_lease_grantor_fence_done_read (&e->grantor, lw_guard_names[g],
                                          current);
    }
}

static void
entry_read (world_t *w, unsigned entry)
{
  event_t event = { .kind = EV_READ, .node = entry, .pid = w->pid[entry] };

  event.sent = lw_local_time (w, entry);
  event.offset = w->entries[entry].offset;
  w->entries[entry].read_at = event.sent;
  lw_push (w, w->now + lw_delay (w), &event);
}

void
lw_log_read (world_t *w, event_t *e)
{
  bool slow = w->options->mutation == LW_READ_INCOMPLETE && e->node == 0;
  unsigned limit = slow ? RECORDS_PER_SLOW_READ : RECORDS_PER_READ;

  if (lw_log_cut (w, e->node)
      || lw_fault_on (w, LW_LOG_NO_READ, e->node, 0) != NULL)
    return;
  e->kind = EV_READ_DONE;
  e->next = MIN (w->tail, e->offset + limit);
  e->id = w->tail;
  lw_push (w, w->now + lw_delay (w), e);
}

static void
entry_read_done (world_t *w, const event_t *event)
{
  unsigned entry = event->node;
  entry_t *e = &w->entries[entry];
  bool complete = event->next == event->id;
  gp_time_t s = event->sent;

  if (event->offset != e->offset)
    return;
  if (event->offset < w->first)
    {
      entry_snapshot (w, entry);
      entry_read (w, entry);
      return;
    }
  for (; e->offset < event->next; e->offset++)
    if (!w->repeated[e->offset])
      entry_apply (w, entry, &w->log[e->offset]);
  if (w->options->mutation == LW_READ_RECEIVE)
    s = lw_local_time (w, entry);
  if (complete || w->options->mutation == LW_READ_INCOMPLETE)
    gp_lease_grantor_read_done (&e->grantor, s);
  if (!complete && (w->options->mutation != LW_READ_INCOMPLETE || entry != 0))
    entry_read (w, entry);
}

static void
trace_record (const world_t *w, const lease_record_t *r)
{
  static const char *names[]
      = { "GRANT", "END", "ADOPT", "FENCE", "FENCE_DONE" };

  if (r->kind == LEASE_RECORD_GRANT || r->kind == LEASE_RECORD_END)
    lw_trace (w, "log: %s task %u epoch %" PRIu64, names[r->kind], r->task + 1,
              r->epoch);
  else
    lw_trace (w, "log: %s %s incarnation %" PRIu64, names[r->kind],
              lw_guard_names[r->guard], r->incarnation);
}

void
lw_log_accept (world_t *w, const lease_record_t *record)
{
  if (w->tail == MAX_RECORDS)
    return;
  w->log[w->tail] = *record;
  w->repeated[w->tail++] = w->seen[record->id];
  if (w->seen[record->id])
    return;
  w->seen[record->id] = true;
  if (lease_fold_apply (&w->fold, record))
    trace_record (w, record);
  lw_check_world (w);
}

static void
entry_grant (world_t *w, unsigned entry, unsigned task)
{
  entry_t *e = &w->entries[entry];
  gp_time_t now = lw_local_time (w, entry);
  lease_record_t record = { .kind = LEASE_RECORD_GRANT, .task = task };
  unsigned first = g_rand_int_range (w->rng, 0, LW_GUARDS);

  record.epoch = e->fold.tasks[task].epoch + 1;
  if (e->granting[task] == record.epoch)
    return;
  for (unsigned i = 0; i < LW_GUARDS; i++)
    {
      unsigned g = (first + i) % LW_GUARDS;

      if ((!e->held[g] && !w->options->noisy) || now - e->heard[g] > 4 * GP_SEC
          || e->fold.guards[g].current == 0 || e->fold.guards[g].fenced)
        continue;
      record.guard = g;
      record.incarnation = e->fold.guards[g].current;
      e->granting[task] = record.epoch;
      entry_propose (w, entry, record);
      return;
    }
}

static void
entry_send_start (world_t *w, unsigned entry, unsigned task)
{
  entry_t *e = &w->entries[entry];
  unsigned guard = e->fold.tasks[task].guard;
  gp_time_t now = lw_local_time (w, entry);
  event_t start = { .kind = EV_START, .from = entry, .task = task };
  const lease_world_fault_t *late = lw_fault_on (w, LW_DELAY_START, guard, 0);

  if (e->running[guard][task] == e->fold.tasks[task].epoch
      || (e->starting[task] == e->fold.tasks[task].epoch
          && now - e->started[task] < START_PERIOD))
    return;
  e->starting[task] = e->fold.tasks[task].epoch;
  e->started[task] = now;
  start.id = e->fold.tasks[task].epoch;
  start.incarnation = e->fold.tasks[task].incarnation;
  start.node = lw_guard_node (guard);
  if (late != NULL)
    lw_push (w, late->end, &start);
  else
    lw_send_message (w, entry, start.node, &start);
}

static void
entry_plan (world_t *w, unsigned entry)
{
  entry_t *e = &w->entries[entry];
  gp_time_t now = lw_local_time (w, entry);

  if (e->grantor.fresh_at < 0 || now - e->grantor.fresh_at > 3 * GP_SEC)
    return;
  for (unsigned t = 0; t < LW_TASKS; t++)
    {
      if (!e->fold.tasks[t].granted)
        entry_grant (w, entry, t);
      else
        entry_send_start (w, entry, t);
    }
}

static void
entry_send_news (world_t *w, unsigned entry)
{
  entry_t *e = &w->entries[entry];
  event_t news = { .kind = EV_NEWS };

  for (unsigned g = 0; g < LW_GUARDS; g++)
    news.heard[g] = lw_local_time (w, entry) - e->heard[g];
  for (unsigned o = 0; o < w->options->num_entries; o++)
    if (o != entry)
      lw_send_message (w, entry, o, &news);
}

static void
entry_tick (world_t *w, unsigned entry)
{
  entry_t *e = &w->entries[entry];
  gp_time_t now = lw_local_time (w, entry);
  gp_lease_grantor_actions_t actions = { 0 };
  event_t tick = { .kind = EV_TICK, .node = entry, .pid = w->pid[entry] };

  gp_lease_grantor_tick (&e->grantor, now, &actions);
  entry_execute_actions (w, entry, &actions, NULL);
  for (unsigned i = 0; i < e->num_outstanding; i++)
    log_append (w, entry, &e->outstanding[i]);
  if (now - e->read_at >= 2 * w->options->tick)
    entry_read (w, entry);
  entry_plan (w, entry);
  entry_send_news (w, entry);
  lw_push (w, w->now + w->options->tick, &tick);
}

static void
entry_heartbeat (world_t *w, const event_t *event)
{
  unsigned entry = event->node;
  unsigned g = event->from - LW_ENTRIES;
  entry_t *e = &w->entries[entry];
  gp_time_t now = lw_local_time (w, entry);
  gp_lease_request_t request = event->request;
  gp_lease_grantor_actions_t actions = { 0 };
  gp_lease_grant_t grant;
  event_t answer = { .kind = EV_REPLY };

  if (w->options->mutation == LW_VOUCH_REVIVES)
    request.held = true;
  gp_lease_grantor_heartbeat (&e->grantor, lw_guard_names[g], &request, now,
                              &grant, &actions);
  if (w->options->mutation == LW_EARLY_RENEWAL && e->grantor.fresh_at >= 0
      && request.incarnation > e->fold.guards[g].current)
    grant.remaining
        = MAX (gp_lease_grantor_fresh_until (&e->grantor) - now, 0);
  entry_execute_actions (w, entry, &actions, event->running);
  e->heard[g] = now;
  e->held[g] = grant.remaining > 0 && event->request.held;
  memcpy (e->running[g], event->running, sizeof event->running);
  for (unsigned t = 0; t < LW_TASKS; t++)
    {
      lease_record_t end = { .kind = LEASE_RECORD_END, .task = t };

      end.epoch = event->ended[t];
      if (end.epoch == NO_EPOCH || e->ending[t] == end.epoch
          || !e->fold.tasks[t].granted || e->fold.tasks[t].epoch != end.epoch)
        continue;
      e->ending[t] = end.epoch;
      entry_propose (w, entry, end);
    }
  answer.reply = (gp_lease_reply_t){ .incarnation = request.incarnation,
                                     .sequence = event->id,
                                     .remaining = grant.remaining,
                                     .vouched = grant.vouched,
                                     .fenced = grant.fenced,
                                     .superseded_by = grant.superseded_by };
  lw_send_message (w, entry, event->from, &answer);
}

static void
entry_vouch_request (world_t *w, const event_t *event)
{
  entry_t *e = &w->entries[event->node];
  GArray *fences = g_array_new (FALSE, FALSE, sizeof (gp_lease_fence_t));
  event_t vouch = { .kind = EV_VOUCH, .id = event->id };
  gp_time_t promised = e->grantor.promised_until;

  gp_lease_grantor_vouch (&e->grantor, ENTRY_SET,
                          lw_local_time (w, event->node), fences);
  if (w->options->mutation == LW_NO_PROMISE)
    e->grantor.promised_until = promised;
  for (guint i = 0; i < fences->len; i++)
    {
      gp_lease_fence_t *f = &g_array_index (fences, gp_lease_fence_t, i);

      vouch.fences[guard_index (f->guard)] = f->incarnation;
    }
  g_array_free (fences, TRUE);
  lw_send_message (w, event->node, event->from, &vouch);
}

static void
entry_vouch (world_t *w, const event_t *event)
{
  unsigned entry = event->node;
  unsigned index = event->from < entry ? event->from : event->from - 1;
  gp_lease_fence_t fences[LW_GUARDS];
  unsigned num_fences = 0;

  for (unsigned g = 0; g < LW_GUARDS; g++)
    if (event->fences[g] != 0)
      fences[num_fences++]
          = (gp_lease_fence_t){ (char *)lw_guard_names[g], event->fences[g] };
  if (index < w->entries[entry].grantor.num_others)
    gp_lease_grantor_vouched (&w->entries[entry].grantor, index, event->id,
                              fences, num_fences);
}

void
lw_entry_event (world_t *w, const event_t *event)
{
  entry_t *e = &w->entries[event->node];
  gp_time_t now = lw_local_time (w, event->node);

  if (event->kind == EV_TICK)
    entry_tick (w, event->node);
  else if (event->kind == EV_READ_DONE)
    entry_read_done (w, event);
  else if (event->kind == EV_HEARTBEAT)
    entry_heartbeat (w, event);
  else if (event->kind == EV_VOUCH_REQUEST)
    entry_vouch_request (w, event);
  else if (event->kind == EV_VOUCH)
    entry_vouch (w, event);
  else if (event->kind == EV_NEWS)
    for (unsigned g = 0; g < LW_GUARDS; g++)
      gp_lease_grantor_heard (&e->grantor, lw_guard_names[g],
                              now - event->heard[g]);
}

void
lw_entry_boot (world_t *w, unsigned entry)
{
  entry_t *e = &w->entries[entry];
  gp_lease_timing_t timing = w->options->timing;
  unsigned others = w->options->num_entries - 1;
  event_t tick = { .kind = EV_TICK, .node = entry, .pid = w->pid[entry] };

  if (w->options->mutation == LW_NO_MARGIN)
    timing.margin = timing.drift_ppm = 0;
  if (w->options->mutation == LW_PARTIAL_VOUCH)
    others--;
  memset (e, 0, sizeof *e);
  e->read_at = -2 * w->options->tick;
  gp_lease_grantor_init (&e->grantor, &timing, others, ENTRY_SET,
                         lw_next_incarnation (w, entry),
                         lw_local_time (w, entry));
  if (w->options->mutation == LW_NO_RESTART_HOLD && w->pid[entry] > 1)
    {
      e->grantor.promised_until = 0;
      e->grantor.next_vouch_request_at
          += w->options->timing.promise; /* delays its own promises too */
    }
  lw_trace (w, "e%u: entry starts", entry + 1);
  lw_push (w, w->now, &tick);
}

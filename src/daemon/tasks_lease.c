/* Leases at an entry: connects coordination/lease_grantor.h to the log and
   the sessions.

   A record that the grantor requests is noted at its guard and proposed
   repeatedly until it, or a record that makes it void, is read from the log.
   The entry responsible for the guard proposes at once, the others after
   due_period.  */

#include "daemon/tasks_private.h"

#include <string.h>
#include <xxhash.h>

#include "base/counters.h"
#include "base/log.h"

#define PROPOSE_RETRY (200 * GP_MSEC)

typedef struct
{
  gp_tasks_t *tasks;
  char *guard;
  uint64_t incarnation;
  gp_lease_grantor_action_kind_t kind;
} pending_proposal_t;

static gp_counter_t renewals
    = GP_COUNTER ("entry_leases_renewed_total", "Leases of workers renewed.");
static gp_counter_t vouched_renewals = GP_COUNTER (
    "entry_leases_vouched_total", "Leases renewed without the log.");
static gp_counter_t fences
    = GP_COUNTER ("entry_fences_read_total", "Fences read from the log.");
static gp_counter_t vouches
    = GP_COUNTER ("entry_vouches_given_total", "Vouches given to entries.");

void
gp_tasks_lease_init (gp_tasks_t *tasks)
{
  const gp_settings_t *settings = tasks->settings;
  gp_lease_timing_t timing = gp_lease_timing_of_settings (&settings->timings);

  for (uint32_t i = 0; i < settings->entries_count; i++)
    {
      const gp_settings_member_t *entry = &settings->entries[i];

      if (strcmp (entry->region, settings->region) != 0)
        continue; /* entries of other regions use other logs */
      tasks->entry_set += XXH3_64bits (entry->name, strlen (entry->name));
      if (strcmp (entry->name, settings->name) != 0
          && tasks->n_others < GP_LEASE_GRANTOR_MAX_ENTRIES)
        tasks->others[tasks->n_others++] = entry;
    }
  gp_lease_grantor_init (&tasks->grantor, &timing, tasks->n_others,
                         tasks->entry_set, tasks->incarnation,
                         gp_tasks_now (tasks));
  gp_counter_register (&renewals);
  gp_counter_register (&vouched_renewals);
  gp_counter_register (&fences);
  gp_counter_register (&vouches);
}

void
gp_tasks_lease_finish (gp_tasks_t *tasks)
{
  gp_lease_grantor_finish (&tasks->grantor);
}

/* Requested records.  */

static void
request_record (gp_tasks_t *tasks, const gp_lease_grantor_action_t *action)
{
  gp_tasks_guard_t *guard
      = gp_tasks_ensure_guard (tasks, action->u.guard.name);
  gp_time_t now = gp_tasks_now (tasks);
  uint64_t incarnation = action->u.guard.incarnation;

  guard->propose_at = now + (guard->responsible ? 0 : tasks->due_period);
  gp_list_remove (&guard->to_propose_link);
  gp_list_push_back (&tasks->to_propose, &guard->to_propose_link);
  switch (action->kind)
    {
    case GP_LEASE_GRANTOR_REGISTER:
      guard->adopt_incarnation = incarnation;
      break;
    case GP_LEASE_GRANTOR_FENCE:
      guard->fence_incarnation = incarnation;
      guard->fence_requested_at = now;
      break;
    case GP_LEASE_GRANTOR_FENCE_DONE:
      guard->fence_done_incarnation = incarnation;
      break;
    case GP_LEASE_GRANTOR_REQUEST_VOUCH:
      break;
    }
}

static void
on_proposal_result (gp_proposal_result_t result, gp_fold_verdict_t verdict,
                    void *data)
{
  pending_proposal_t *pending = data;
  gp_tasks_t *tasks = pending->tasks;
  gp_tasks_guard_t *guard = gp_tasks_find_guard (tasks, pending->guard);

  if (guard != NULL)
    {
      guard->proposal_pending = false;
      guard->propose_at = gp_tasks_now (tasks) + PROPOSE_RETRY;
    }
  /* A void record need not be proposed again: the record that made it void
     was read before.  */
  if (guard != NULL && result == GP_PROPOSAL_DECIDED
      && verdict != GP_FOLD_ACCEPTED)
    {
      if (guard->adopt_incarnation == pending->incarnation)
        guard->adopt_incarnation = 0;
      if (guard->fence_incarnation == pending->incarnation)
        guard->fence_incarnation = 0;
      if (guard->fence_done_incarnation == pending->incarnation)
        guard->fence_done_incarnation = 0;
    }
  g_free (pending->guard);
  g_free (pending);
}

static void
propose_record (gp_tasks_t *tasks, gp_tasks_guard_t *guard,
                const Gp__Record__Record *record, uint64_t incarnation)
{
  pending_proposal_t *pending = g_new0 (pending_proposal_t, 1);

  pending->tasks = tasks;
  pending->guard = g_strdup (guard->name);
  pending->incarnation = incarnation;
  guard->proposal_pending = gp_tasks_propose (tasks, record, GP_WRITER_URGENT,
                                              on_proposal_result, pending);
  if (guard->proposal_pending)
    return;
  guard->propose_at = gp_tasks_now (tasks) + PROPOSE_RETRY;
  g_free (pending->guard);
  g_free (pending);
}

static void
propose_adopt (gp_tasks_t *tasks, gp_tasks_guard_t *guard)
{
  guint count = guard->inventory->len;
  Gp__Record__TaskEpoch *epochs = g_new (Gp__Record__TaskEpoch, count);
  Gp__Record__TaskEpoch **running = g_new (Gp__Record__TaskEpoch *, count);
  Gp__Record__Adopt adopt = GP__RECORD__ADOPT__INIT;
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;

  for (guint i = 0; i < count; i++)
    {
      const gp_tasks_epoch_t *epoch
          = &g_array_index (guard->inventory, gp_tasks_epoch_t, i);

      gp__record__task_epoch__init (&epochs[i]);
      epochs[i].task = epoch->task;
      epochs[i].epoch = epoch->epoch;
      running[i] = &epochs[i];
    }
  adopt.guard = guard->name;
  adopt.incarnation = guard->adopt_incarnation;
  adopt.running = running;
  adopt.n_running = count;
  record.record_case = GP__RECORD__RECORD__RECORD_ADOPT;
  record.adopt = &adopt;
  propose_record (tasks, guard, &record, guard->adopt_incarnation);
  g_free (running);
  g_free (epochs);
}

static void
propose_fence (gp_tasks_t *tasks, gp_tasks_guard_t *guard)
{
  Gp__Record__Fence fence = GP__RECORD__FENCE__INIT;
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;

  fence.guard = guard->name;
  fence.incarnation = guard->fence_incarnation;
  record.record_case = GP__RECORD__RECORD__RECORD_FENCE;
  record.fence = &fence;
  propose_record (tasks, guard, &record, guard->fence_incarnation);
}

static void
propose_fence_done (gp_tasks_t *tasks, gp_tasks_guard_t *guard)
{
  Gp__Record__FenceDone done = GP__RECORD__FENCE_DONE__INIT;
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;

  done.guard = guard->name;
  done.incarnation = guard->fence_done_incarnation;
  record.record_case = GP__RECORD__RECORD__RECORD_FENCE_DONE;
  record.fence_done = &done;
  propose_record (tasks, guard, &record, guard->fence_done_incarnation);
}

static void
propose_requested (gp_tasks_t *tasks, gp_tasks_guard_t *guard)
{
  if (guard->fence_incarnation != 0
      && guard->heard_at > guard->fence_requested_at)
    guard->fence_incarnation = 0;
  if (guard->proposal_pending || gp_tasks_now (tasks) < guard->propose_at)
    return;
  if (guard->adopt_incarnation != 0
      && guard->inventory_incarnation == guard->adopt_incarnation)
    propose_adopt (tasks, guard);
  else if (guard->fence_incarnation != 0)
    propose_fence (tasks, guard);
  else if (guard->fence_done_incarnation != 0)
    propose_fence_done (tasks, guard);
}

static void
propose_all_requested (gp_tasks_t *tasks)
{
  GP_LIST_FOREACH_SAFE (pos, &tasks->to_propose)
  {
    gp_tasks_guard_t *guard
        = GP_CONTAINER_OF (pos, gp_tasks_guard_t, to_propose_link);

    propose_requested (tasks, guard);
    if (guard->adopt_incarnation == 0 && guard->fence_incarnation == 0
        && guard->fence_done_incarnation == 0)
      gp_list_remove (&guard->to_propose_link);
  }
}

/* Vouches.  */

static gp_session_t *
find_entry_session (const gp_tasks_t *tasks, const char *process)
{
  GP_LIST_FOREACH (pos, &tasks->host->sessions)
  {
    gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (session->ready && session->role == GP__WIRE__ROLE__ROLE_ENTRY
        && strcmp (session->process, process) == 0)
      return session;
  }
  return NULL;
}

static void
send_vouch_ask (gp_tasks_t *tasks, const gp_lease_grantor_action_t *action)
{
  gp_session_t *session = find_entry_session (
      tasks, tasks->others[action->u.vouch_request.entry]->name);
  Gp__Wire__VouchAsk ask = GP__WIRE__VOUCH_ASK__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (VOUCH_ASK, vouch_ask, &ask);

  if (session == NULL)
    return;
  ask.id = action->u.vouch_request.id;
  ask.entry_set = tasks->entry_set;
  gp_session_send (session, &envelope);
}

void
gp_tasks_on_vouch_ask (gp_tasks_t *tasks, gp_session_t *session,
                       const Gp__Wire__VouchAsk *ask)
{
  GArray *listed = g_array_new (FALSE, FALSE, sizeof (gp_lease_fence_t));
  Gp__Wire__Vouch vouch = GP__WIRE__VOUCH__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (VOUCH, vouch, &vouch);
  char **names;
  uint64_t *incarnations;

  vouch.refused = !gp_lease_grantor_vouch (&tasks->grantor, ask->entry_set,
                                           gp_tasks_now (tasks), listed);
  vouch.id = ask->id;
  vouch.promise_us = (uint64_t)tasks->grantor.timing.promise;
  names = g_new (char *, listed->len);
  incarnations = g_new (uint64_t, listed->len);
  for (guint i = 0; i < listed->len; i++)
    {
      names[i] = g_array_index (listed, gp_lease_fence_t, i).guard;
      incarnations[i]
          = g_array_index (listed, gp_lease_fence_t, i).incarnation;
    }
  vouch.fenced = names;
  vouch.fenced_incarnation = incarnations;
  vouch.n_fenced = vouch.n_fenced_incarnation = listed->len;
  gp_counter_add (&vouches, 1);
  gp_session_send (session, &envelope);
  g_free (names);
  g_free (incarnations);
  g_array_free (listed, TRUE);
}

void
gp_tasks_on_vouch (gp_tasks_t *tasks, gp_session_t *session,
                   const Gp__Wire__Vouch *vouch)
{
  size_t count = vouch->n_fenced;
  gp_lease_fence_t *listed;

  if (vouch->refused || vouch->n_fenced_incarnation != count
      || vouch->promise_us < (uint64_t)tasks->grantor.timing.promise)
    return;
  listed = g_new (gp_lease_fence_t, count);
  for (size_t i = 0; i < count; i++)
    listed[i]
        = (gp_lease_fence_t){ vouch->fenced[i], vouch->fenced_incarnation[i] };
  for (unsigned i = 0; i < tasks->n_others; i++)
    if (strcmp (tasks->others[i]->name, session->process) == 0)
      gp_lease_grantor_vouched (&tasks->grantor, i, vouch->id, listed,
                                (unsigned)count);
  gp_tasks_add_event (tasks, GP_TIMELINE_VOUCH, 0, 0, session->process, NULL);
  g_free (listed);
}

/* Heartbeats and periodic work.  */

static void
execute_actions (gp_tasks_t *tasks, const gp_lease_grantor_actions_t *actions)
{
  for (unsigned i = 0; i < actions->count; i++)
    {
      const gp_lease_grantor_action_t *action = &actions->items[i];

      if (action->kind == GP_LEASE_GRANTOR_REQUEST_VOUCH)
        send_vouch_ask (tasks, action);
      else
        request_record (tasks, action);
    }
}

/* Reports to the grantor that GUARD is alive if only other entries receive its
   heartbeats.  */
static void
record_heard_by_others (gp_tasks_t *tasks, const gp_tasks_guard_t *guard)
{
  if (guard->member != NULL && guard->member->state == GP_MEMBER_SERVING
      && !guard->member->direct)
    gp_lease_grantor_heard (&tasks->grantor, guard->name,
                            gp_tasks_now (tasks));
}

void
gp_tasks_lease_tick (gp_tasks_t *tasks)
{
  gp_lease_grantor_actions_t actions = { .count = 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, tasks->guards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    record_heard_by_others (tasks, value);
  gp_lease_grantor_tick (&tasks->grantor, gp_tasks_now (tasks), &actions);
  execute_actions (tasks, &actions);
  if (!gp_store_ready (tasks->store))
    return;
  propose_all_requested (tasks);
}

static void
record_heartbeat (gp_tasks_t *tasks, gp_tasks_guard_t *guard,
                  const Gp__Wire__Heartbeat *heartbeat)
{
  gp_resources_t headroom;

  guard->heard_at = gp_tasks_now (tasks);
  if (heartbeat->load != NULL && guard->slots > 0)
    guard->worker.load_permille = (uint16_t)MIN (
        1000, 1000 * (uint64_t)heartbeat->load->running / guard->slots);
  if (heartbeat->free == NULL || !guard->in_fleet)
    return;
  headroom = (gp_resources_t){ heartbeat->free->millicores,
                               heartbeat->free->memory_mib,
                               heartbeat->free->accelerators };
  if (!gp_resources_equal (&headroom, &guard->worker.reported))
    gp_tasks_schedule_placement (tasks);
  gp_fleet_report (&tasks->fleet, &guard->worker, &headroom);
}

static void
renew_lease (gp_tasks_t *tasks, gp_tasks_guard_t *guard,
             const Gp__Wire__Heartbeat *heartbeat,
             Gp__Wire__HeartbeatReply *reply)
{
  gp_lease_request_t request = { .incarnation = heartbeat->lease_incarnation,
                                 .inherits = heartbeat->inherits,
                                 .held = heartbeat->held,
                                 .wants_vouch = heartbeat->wants_vouch };
  gp_lease_grantor_actions_t actions = { .count = 0 };
  gp_time_t now = gp_tasks_now (tasks);
  gp_lease_grant_t grant;

  gp_lease_grantor_heartbeat (&tasks->grantor, guard->name, &request, now,
                              &grant, &actions);
  execute_actions (tasks, &actions);
  if (actions.count > 0)
    propose_requested (tasks, guard);
  reply->lease_remaining_us = (uint64_t)grant.remaining;
  reply->vouched = grant.vouched;
  reply->fenced = grant.fenced;
  reply->superseded_by = grant.superseded_by;
  gp_counter_add (&renewals, grant.remaining > 0);
  gp_counter_add (&vouched_renewals, grant.remaining > 0 && grant.vouched);
  if (heartbeat->lease_incarnation == guard->incarnation)
    guard->lease_until = now + grant.remaining;
  gp_tasks_guard_check_by (tasks, guard, MAX (guard->lease_until, now));
}

void
gp_tasks_on_heartbeat (gp_tasks_t *tasks, gp_session_t *session,
                       const Gp__Wire__Heartbeat *heartbeat)
{
  gp_tasks_guard_t *guard = gp_tasks_find_guard (tasks, session->process);
  Gp__Wire__HeartbeatReply reply = GP__WIRE__HEARTBEAT_REPLY__INIT;
  Gp__Wire__Envelope envelope
      = GP_ENVELOPE (HEARTBEAT_REPLY, heartbeat_reply, &reply);

  reply.sequence = heartbeat->sequence;
  reply.lease_incarnation = heartbeat->lease_incarnation;
  reply.config_revision = tasks->revision;
  if (guard != NULL && guard->session == session)
    {
      record_heartbeat (tasks, guard, heartbeat);
      if (heartbeat->renew && heartbeat->lease_incarnation != 0)
        renew_lease (tasks, guard, heartbeat, &reply);
    }
  gp_session_send (session, &envelope);
  if (guard != NULL)
    gp_tasks_guard_update_state (tasks, guard);
}

/* Changes read from the log.  */

static void
on_adopted (gp_tasks_t *tasks, const gp_fold_guard_t *state)
{
  gp_tasks_guard_t *guard = gp_tasks_ensure_guard (tasks, state->name);

  if (guard->adopt_incarnation <= state->incarnation)
    guard->adopt_incarnation = 0;
  guard->fence_incarnation = guard->fence_done_incarnation = 0;
  gp_lease_grantor_registered (&tasks->grantor, state->name,
                               state->incarnation, gp_tasks_now (tasks));
  gp_tasks_guard_check_by (tasks, guard, gp_tasks_now (tasks));
  gp_tasks_guard_update_state (tasks, guard);
}

static void
on_fenced (gp_tasks_t *tasks, const gp_fold_guard_t *state)
{
  gp_tasks_guard_t *guard = gp_tasks_ensure_guard (tasks, state->name);

  guard->fence_incarnation = 0;
  gp_lease_grantor_fence_read (&tasks->grantor, state->name,
                               state->incarnation, gp_tasks_now (tasks));
  gp_tasks_guard_check_by (tasks, guard, gp_tasks_now (tasks));
  gp_tasks_guard_update_state (tasks, guard);
}

static void
on_gone (gp_tasks_t *tasks, const gp_fold_guard_t *state)
{
  gp_tasks_ensure_guard (tasks, state->name)->fence_done_incarnation = 0;
  gp_lease_grantor_fence_done_read (&tasks->grantor, state->name,
                                    state->incarnation);
}

void
gp_tasks_lease_change (gp_tasks_t *tasks, const gp_fold_change_t *change)
{
  const gp_fold_guard_t *state = change->u.guard;

  switch ((int)change->kind)
    {
    case GP_FOLD_GUARD_ADOPTED:
      on_adopted (tasks, state);
      break;
    case GP_FOLD_GUARD_FENCED:
      gp_counter_add (&fences, 1);
      gp_log (GP_LOG_WARNING, "guard.fenced", GP_LOG_S ("guard", state->name),
              GP_LOG_I ("incarnation", state->incarnation));
      gp_tasks_add_event (tasks, GP_TIMELINE_FENCE, 0, 0, state->name,
                          "fenced");
      on_fenced (tasks, state);
      break;
    case GP_FOLD_GUARD_GONE:
      gp_log (GP_LOG_WARNING, "guard.gone", GP_LOG_S ("guard", state->name),
              GP_LOG_I ("incarnation", state->incarnation));
      gp_tasks_add_event (tasks, GP_TIMELINE_FENCE, 0, 0, state->name, "done");
      on_gone (tasks, state);
      break;
    case GP_FOLD_GUARD_DROPPED:
      gp_lease_grantor_removed (&tasks->grantor, state->name);
      gp_tasks_guard_check_by (tasks,
                               gp_tasks_ensure_guard (tasks, state->name),
                               gp_tasks_now (tasks));
      break;
    default:
      break;
    }
}

void
gp_tasks_lease_rebuild (gp_tasks_t *tasks)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, tasks->guards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    gp_tasks_guard_check_by (tasks, value, gp_tasks_now (tasks));
  g_hash_table_iter_init (&iter, gp_store_fold (tasks->store)->guards);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const gp_fold_guard_t *state = key;

      on_adopted (tasks, state);
      if (state->fenced)
        on_fenced (tasks, state);
      if (state->gone)
        on_gone (tasks, state);
    }
}

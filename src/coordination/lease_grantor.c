#include "coordination/lease_grantor.h"

/* Vouches are requested when the last log read is older than length /
   STALE_READ_DIVISOR.  */
#define STALE_READ_DIVISOR 4
/* Vouches are requested this many times within the duration of a promise.  */
#define VOUCH_REQUESTS_PER_PROMISE 5
/* A guard that needs vouches says so in every heartbeat; the request is
   considered current for this many heartbeat periods.  */
#define VOUCH_WANTED_HEARTBEATS 2
/* A delay of more than silence / PAUSE_DIVISOR between ticks means that the
   process was paused and may have missed heartbeats.  */
#define PAUSE_DIVISOR 4

typedef struct
{
  gp_list_t link; /* in by_heard or fenced, or empty */
  char *name;
  uint64_t current;           /* the registered incarnation, or 0 */
  uint64_t register_proposed; /* last incarnation proposed to register */
  uint64_t fence_proposed;    /* last incarnation proposed to fence */
  gp_time_t fence_proposed_at;
  bool fenced;           /* the current incarnation is fenced */
  bool done_proposed;    /* FENCE_DONE was proposed */
  gp_time_t heard_at;    /* when any entry last received a heartbeat, or -1 */
  gp_time_t done_due_at; /* when the fence may be acted on */
} gp_lease_guard_t;

static void
guard_free (gpointer data)
{
  gp_lease_guard_t *guard = data;

  gp_list_remove (&guard->link);
  g_free (guard->name);
  g_free (guard);
}

void
gp_lease_grantor_init (gp_lease_grantor_t *grantor,
                       const gp_lease_timing_t *timing, unsigned num_others,
                       uint64_t entry_set, uint64_t incarnation, gp_time_t now)
{
  g_assert (num_others <= GP_LEASE_GRANTOR_MAX_ENTRIES);
  *grantor = (gp_lease_grantor_t){ .timing = *timing,
                                   .entry_set = entry_set,
                                   .num_others = num_others,
                                   .fresh_at = -1,
                                   .valid_from = now,
                                   .last_tick = now,
                                   .listening_since = now,
                                   .next_vouch_request_at = now,
                                   .vouch_wanted_at = -1,
                                   .next_vouch_request_id = incarnation };
  /* The predecessor's promises; its last vouch was given before this
     start.  */
  grantor->promised_until
      = now + gp_lease_timing_wait (timing, timing->promise);
  grantor->guards
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, guard_free);
  gp_list_init (&grantor->by_heard);
  gp_list_init (&grantor->fenced);
  for (unsigned i = 0; i < num_others; i++)
    {
      grantor->others[i].vouched_since = -1;
      grantor->others[i].fences
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    }
}

void
gp_lease_grantor_finish (gp_lease_grantor_t *grantor)
{
  for (unsigned i = 0; i < grantor->num_others; i++)
    g_hash_table_destroy (grantor->others[i].fences);
  g_hash_table_destroy (grantor->guards);
}

static gp_lease_guard_t *
find_or_add_guard (gp_lease_grantor_t *grantor, const char *name)
{
  gp_lease_guard_t *guard = g_hash_table_lookup (grantor->guards, name);

  if (guard != NULL)
    return guard;
  guard = g_new0 (gp_lease_guard_t, 1);
  guard->name = g_strdup (name);
  guard->heard_at = -1;
  gp_list_init (&guard->link);
  g_hash_table_insert (grantor->guards, guard->name, guard);
  return guard;
}

/* Inserts GUARD in by_heard, which is sorted by the time last heard.  That
   time is usually recent, so searching from the end is fast.  */
static void
guard_insert_sorted (gp_lease_grantor_t *grantor, gp_lease_guard_t *guard)
{
  gp_list_t *pos = &grantor->by_heard;

  gp_list_remove (&guard->link);
  while (pos->prev != &grantor->by_heard
         && GP_CONTAINER_OF (pos->prev, gp_lease_guard_t, link)->heard_at
                > guard->heard_at)
    pos = pos->prev;
  gp_list_insert_before (pos, &guard->link);
}

static void
guard_set_heard (gp_lease_grantor_t *grantor, gp_lease_guard_t *guard,
                 gp_time_t heard)
{
  if (heard <= guard->heard_at)
    return;
  guard->heard_at = heard;
  if (guard->current != 0 && !guard->fenced)
    guard_insert_sorted (grantor, guard);
}

void
gp_lease_grantor_registered (gp_lease_grantor_t *grantor, const char *name,
                             uint64_t incarnation, gp_time_t now)
{
  gp_lease_guard_t *guard = find_or_add_guard (grantor, name);

  if (incarnation <= guard->current)
    return;
  guard->current = incarnation;
  guard->fenced = false;
  guard->done_proposed = false;
  guard->heard_at = MAX (guard->heard_at, now);
  guard_insert_sorted (grantor, guard);
}

void
gp_lease_grantor_fence_read (gp_lease_grantor_t *grantor, const char *name,
                             uint64_t incarnation, gp_time_t now)
{
  gp_lease_guard_t *guard = g_hash_table_lookup (grantor->guards, name);
  gp_time_t lapsed;

  if (guard == NULL || guard->current != incarnation || guard->fenced)
    return;
  lapsed
      = now + gp_lease_timing_wait (&grantor->timing, grantor->timing.length);
  guard->fenced = true;
  /* Vouches given from now on list this fence, so they do not delay acting
     on it.  */
  guard->done_due_at = MAX (lapsed, grantor->promised_until);
  gp_list_remove (&guard->link);
  gp_list_push_back (&grantor->fenced, &guard->link);
}

void
gp_lease_grantor_fence_done_read (gp_lease_grantor_t *grantor,
                                  const char *name, uint64_t incarnation)
{
  gp_lease_guard_t *guard = g_hash_table_lookup (grantor->guards, name);

  if (guard != NULL && guard->current == incarnation && guard->fenced)
    gp_list_remove (&guard->link);
}

void
gp_lease_grantor_removed (gp_lease_grantor_t *grantor, const char *name)
{
  g_hash_table_remove (grantor->guards, name);
}

void
gp_lease_grantor_read_done (gp_lease_grantor_t *grantor, gp_time_t sent)
{
  if (sent >= grantor->valid_from)
    grantor->fresh_at = MAX (grantor->fresh_at, sent);
}

void
gp_lease_grantor_log_gap (gp_lease_grantor_t *grantor, gp_time_t now)
{
  grantor->fresh_at = -1;
  grantor->valid_from = now;
  g_hash_table_remove_all (grantor->guards);
}

gp_time_t
gp_lease_grantor_fresh_until (const gp_lease_grantor_t *grantor)
{
  return grantor->fresh_at < 0 ? -1
                               : grantor->fresh_at + grantor->timing.length;
}

gp_time_t
gp_lease_grantor_vouched_until (const gp_lease_grantor_t *grantor)
{
  /* This entry's own promise, made with its last requests, counts like
     those of the others.  */
  gp_time_t until
      = grantor->promised_until
        - gp_lease_timing_wait (&grantor->timing, grantor->timing.promise)
        + grantor->timing.promise;

  for (unsigned i = 0; i < grantor->num_others; i++)
    {
      gp_time_t since = grantor->others[i].vouched_since;

      if (since < 0)
        return -1;
      until = MIN (until, since + grantor->timing.promise);
    }
  return until;
}

/* Returns true if some vouch lists a fence for NAME on an incarnation up
   to INCARNATION.  */
static bool
fence_listed (const gp_lease_grantor_t *grantor, const char *name,
              uint64_t incarnation)
{
  for (unsigned i = 0; i < grantor->num_others; i++)
    {
      const uint64_t *fenced
          = g_hash_table_lookup (grantor->others[i].fences, name);

      if (fenced != NULL && *fenced <= incarnation)
        return true;
    }
  return false;
}

static gp_time_t
fresh_remaining (const gp_lease_grantor_t *grantor,
                 const gp_lease_guard_t *guard,
                 const gp_lease_request_t *request, gp_time_t now)
{
  bool inherited = request->held && request->inherits != 0
                   && request->inherits == guard->current;

  if (grantor->fresh_at < 0 || guard->current == 0 || guard->fenced)
    return 0;
  if (request->incarnation != guard->current && !inherited)
    return 0;
  return MAX (gp_lease_grantor_fresh_until (grantor) - now, 0);
}

static gp_time_t
vouched_remaining (const gp_lease_grantor_t *grantor,
                   const gp_lease_guard_t *guard,
                   const gp_lease_request_t *request, gp_time_t now)
{
  if (!request->held || guard->fenced)
    return 0;
  if (fence_listed (grantor, guard->name, request->incarnation))
    return 0;
  return MAX (gp_lease_grantor_vouched_until (grantor) - now, 0);
}

static gp_lease_grantor_action_t *
action_add (gp_lease_grantor_actions_t *actions,
            gp_lease_grantor_action_kind_t kind)
{
  gp_lease_grantor_action_t *action;

  if (actions->count >= GP_LEASE_GRANTOR_MAX_ACTIONS)
    return NULL;
  action = &actions->items[actions->count++];
  action->kind = kind;
  return action;
}

static bool
propose (gp_lease_grantor_actions_t *actions,
         gp_lease_grantor_action_kind_t kind, const gp_lease_guard_t *guard,
         uint64_t incarnation)
{
  gp_lease_grantor_action_t *action = action_add (actions, kind);

  if (action == NULL)
    return false;
  action->u.guard.name = guard->name;
  action->u.guard.incarnation = incarnation;
  return true;
}

static void
register_if_new (const gp_lease_grantor_t *grantor, gp_lease_guard_t *guard,
                 uint64_t incarnation, gp_lease_grantor_actions_t *actions)
{
  if (grantor->fresh_at < 0 || incarnation <= guard->current
      || incarnation <= guard->register_proposed)
    return;
  if (propose (actions, GP_LEASE_GRANTOR_REGISTER, guard, incarnation))
    guard->register_proposed = incarnation;
}

void
gp_lease_grantor_heartbeat (gp_lease_grantor_t *grantor, const char *name,
                            const gp_lease_request_t *request, gp_time_t now,
                            gp_lease_grant_t *grant,
                            gp_lease_grantor_actions_t *actions)
{
  gp_lease_guard_t *guard = find_or_add_guard (grantor, name);
  gp_time_t vouched;

  *grant = (gp_lease_grant_t){ 0 };
  if (request->incarnation < guard->current)
    {
      grant->superseded_by = guard->current;
      return;
    }
  guard_set_heard (grantor, guard, now);
  if (request->wants_vouch)
    grantor->vouch_wanted_at = now;
  register_if_new (grantor, guard, request->incarnation, actions);
  if (guard->fenced && request->incarnation == guard->current)
    {
      grant->fenced = true;
      return;
    }
  grant->remaining = fresh_remaining (grantor, guard, request, now);
  vouched = vouched_remaining (grantor, guard, request, now);
  if (vouched <= grant->remaining)
    return;
  grant->remaining = vouched;
  grant->vouched = true;
}

void
gp_lease_grantor_heard (gp_lease_grantor_t *grantor, const char *name,
                        gp_time_t heard)
{
  gp_lease_guard_t *guard = g_hash_table_lookup (grantor->guards, name);

  if (guard != NULL)
    guard_set_heard (grantor, guard, heard);
}

static void
extend_promise (gp_lease_grantor_t *grantor, gp_time_t now)
{
  gp_time_t until
      = now + gp_lease_timing_wait (&grantor->timing, grantor->timing.promise);

  grantor->promised_until = MAX (grantor->promised_until, until);
}

bool
gp_lease_grantor_vouch (gp_lease_grantor_t *grantor, uint64_t entry_set,
                        gp_time_t now, GArray *fences)
{
  if (entry_set != grantor->entry_set)
    return false;
  extend_promise (grantor, now);
  GP_LIST_FOREACH (pos, &grantor->fenced)
  {
    gp_lease_guard_t *guard = GP_CONTAINER_OF (pos, gp_lease_guard_t, link);
    gp_lease_fence_t fence = { guard->name, guard->current };

    g_array_append_val (fences, fence);
  }
  return true;
}

void
gp_lease_grantor_vouched (gp_lease_grantor_t *grantor, unsigned entry,
                          uint64_t id, const gp_lease_fence_t *fences,
                          unsigned num_fences)
{
  gp_lease_voucher_t *other = &grantor->others[entry];

  if (id == 0 || other->vouch_request_id != id)
    return;
  other->vouch_request_id = 0;
  other->vouched_since = other->vouch_requested_at;
  g_hash_table_remove_all (other->fences);
  for (unsigned i = 0; i < num_fences; i++)
    g_hash_table_insert (
        other->fences, g_strdup (fences[i].guard),
        g_memdup2 (&fences[i].incarnation, sizeof fences[i].incarnation));
}

/* After a pause of this process, missing heartbeats do not indicate that a
   guard is down.  */
static void
check_pause (gp_lease_grantor_t *grantor, gp_time_t now)
{
  gp_time_t late = grantor->timing.silence / PAUSE_DIVISOR;

  if (now - grantor->last_tick > late)
    grantor->listening_since = now;
  grantor->last_tick = now;
}

static void
request_vouches (gp_lease_grantor_t *grantor, gp_time_t now,
                 gp_lease_grantor_actions_t *actions)
{
  gp_time_t late = grantor->timing.length / STALE_READ_DIVISOR;

  if (now < grantor->next_vouch_request_at || grantor->vouch_wanted_at < 0)
    return;
  if (now - grantor->vouch_wanted_at
      > VOUCH_WANTED_HEARTBEATS * grantor->timing.heartbeat)
    return;
  if (grantor->fresh_at >= 0 && now - grantor->fresh_at < late)
    return;
  grantor->next_vouch_request_at
      = now + grantor->timing.promise / VOUCH_REQUESTS_PER_PROMISE;
  extend_promise (grantor, now);
  for (unsigned i = 0; i < grantor->num_others; i++)
    {
      gp_lease_voucher_t *other = &grantor->others[i];
      gp_lease_grantor_action_t *action
          = action_add (actions, GP_LEASE_GRANTOR_REQUEST_VOUCH);

      if (action == NULL)
        return;
      other->vouch_request_id = grantor->next_vouch_request_id++;
      other->vouch_requested_at = now;
      action->u.vouch_request.entry = i;
      action->u.vouch_request.id = other->vouch_request_id;
    }
}

/* Returns true if the last read of the log tail is recent enough to decide
   whether a guard is silent.  */
static bool
log_is_current (const gp_lease_grantor_t *grantor, gp_time_t now)
{
  return grantor->fresh_at >= 0
         && now - grantor->fresh_at
                < grantor->timing.length / STALE_READ_DIVISOR;
}

static void
fence_silent (gp_lease_grantor_t *grantor, gp_time_t now,
              gp_lease_grantor_actions_t *actions)
{
  gp_time_t silence = grantor->timing.silence;

  if (!log_is_current (grantor, now)
      || now - grantor->listening_since < silence)
    return;
  GP_LIST_FOREACH (pos, &grantor->by_heard)
  {
    gp_lease_guard_t *guard = GP_CONTAINER_OF (pos, gp_lease_guard_t, link);

    if (now - guard->heard_at < silence)
      return;
    if (guard->fence_proposed == guard->current
        && guard->heard_at <= guard->fence_proposed_at)
      continue;
    if (!propose (actions, GP_LEASE_GRANTOR_FENCE, guard, guard->current))
      return;
    guard->fence_proposed = guard->current;
    guard->fence_proposed_at = now;
  }
}

static void
propose_fences_done (gp_lease_grantor_t *grantor, gp_time_t now,
                     gp_lease_grantor_actions_t *actions)
{
  GP_LIST_FOREACH (pos, &grantor->fenced)
  {
    gp_lease_guard_t *guard = GP_CONTAINER_OF (pos, gp_lease_guard_t, link);

    if (guard->done_proposed || now < guard->done_due_at)
      continue;
    if (!propose (actions, GP_LEASE_GRANTOR_FENCE_DONE, guard, guard->current))
      return;
    guard->done_proposed = true;
  }
}

void
gp_lease_grantor_tick (gp_lease_grantor_t *grantor, gp_time_t now,
                       gp_lease_grantor_actions_t *actions)
{
  check_pause (grantor, now);
  request_vouches (grantor, now, actions);
  fence_silent (grantor, now, actions);
  propose_fences_done (grantor, now, actions);
}

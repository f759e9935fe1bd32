/* Queue of pending tasks.

   Invariants: a ready task is in the heap of its team and class, a
   deferred one in the heap of deferred tasks; ready[] counts the ready
   tasks.  A team reserves quota for at most one task, which is in the
   queue.  */

#include "coordination/pending.h"

#include <math.h>

#include "base/list.h"

typedef struct
{
  gp_task_heap_t ready[GP_PENDING_CLASSES];
  gp_pending_task_t *quota_reserved_for; /* or NULL */
} gp_pending_team_t;

/* Returns the priority rank of a class; 0 is the highest.  */
static unsigned int
rank_of (gp_work_class_t work_class)
{
  switch (work_class)
    {
    case GP_WORK_LATENCY_CRITICAL:
      return 0;
    case GP_WORK_WATCHER:
      return 1;
    case GP_WORK_BATCH:
      return 2;
    }
  return 2;
}

static gp_pending_task_t *
task_of (gp_task_heap_node_t *node)
{
  if (node == NULL)
    return NULL;
  return GP_CONTAINER_OF (node, gp_pending_task_t, node);
}

static gp_pending_team_t *
team_at (const gp_pending_t *pending, uint32_t team)
{
  return &g_array_index (pending->teams, gp_pending_team_t, team);
}

void
gp_pending_init (gp_pending_t *pending, const gp_pending_settings_t *settings)
{
  *pending = (gp_pending_t){ .settings = *settings };
  pending->teams = g_array_new (FALSE, TRUE, sizeof (gp_pending_team_t));
  gp_task_heap_init (&pending->deferred);
}

void
gp_pending_finish (gp_pending_t *pending)
{
  for (guint i = 0; i < pending->teams->len; i++)
    for (unsigned int rank = 0; rank < GP_PENDING_CLASSES; rank++)
      gp_task_heap_finish (&team_at (pending, i)->ready[rank]);
  g_array_free (pending->teams, TRUE);
  gp_task_heap_finish (&pending->deferred);
}

static gp_pending_team_t *
find_or_add_team (gp_pending_t *pending, uint32_t team)
{
  gp_pending_team_t added = { .quota_reserved_for = NULL };

  while (team >= pending->teams->len)
    {
      for (unsigned int rank = 0; rank < GP_PENDING_CLASSES; rank++)
        gp_task_heap_init (&added.ready[rank]);
      g_array_append_val (pending->teams, added);
    }
  return team_at (pending, team);
}

void
gp_pending_task_init (gp_pending_task_t *task, uint64_t id, uint32_t team,
                      gp_work_class_t work_class, const gp_resources_t *demand,
                      gp_time_t latest_start)
{
  *task
      = (gp_pending_task_t){ .node = { .task = id },
                             .charge = { .team = team, .resources = *demand },
                             .work_class = work_class,
                             .latest_start = latest_start };
}

static void
make_ready (gp_pending_t *pending, gp_pending_task_t *task)
{
  unsigned int rank = rank_of (task->work_class);

  task->state = GP_PENDING_READY;
  task->node.key = task->latest_start;
  gp_task_heap_push (
      &find_or_add_team (pending, task->charge.team)->ready[rank],
      &task->node);
  pending->ready[rank]++;
}

void
gp_pending_add (gp_pending_t *pending, gp_pending_task_t *task, gp_time_t now)
{
  unsigned int rank = rank_of (task->work_class);

  g_assert (task->state == GP_PENDING_OUT);
  if (task->latest_start == GP_TIME_NEVER)
    task->latest_start = now + pending->settings.default_wait[rank];
  task->deferrals = 0;
  task->no_capacity = 0;
  task->no_quota = 0;
  make_ready (pending, task);
}

/* Removes TASK from its heap.  */
static void
remove_from_heap (gp_pending_t *pending, gp_pending_task_t *task)
{
  unsigned int rank = rank_of (task->work_class);

  switch (task->state)
    {
    case GP_PENDING_OUT:
      break;
    case GP_PENDING_READY:
      gp_task_heap_remove (&team_at (pending, task->charge.team)->ready[rank],
                           &task->node);
      pending->ready[rank]--;
      break;
    case GP_PENDING_DEFERRED:
      gp_task_heap_remove (&pending->deferred, &task->node);
      break;
    }
  task->state = GP_PENDING_OUT;
}

/* Ends the quota reservation for TASK, if its team has one.  */
static void
end_quota_reservation (gp_pending_t *pending, const gp_pending_task_t *task)
{
  gp_pending_team_t *team = find_or_add_team (pending, task->charge.team);

  if (team->quota_reserved_for == task)
    team->quota_reserved_for = NULL;
}

void
gp_pending_remove (gp_pending_t *pending, gp_quota_t *quota,
                   gp_pending_task_t *task)
{
  remove_from_heap (pending, task);
  end_quota_reservation (pending, task);
  gp_quota_release (quota, &task->charge);
}

static gp_time_t
backoff_of (const gp_pending_settings_t *settings,
            const gp_pending_task_t *task)
{
  gp_time_t most = task->work_class == GP_WORK_LATENCY_CRITICAL
                       ? settings->backoff_urgent
                       : settings->backoff_max;
  gp_time_t backoff = settings->backoff_first;

  for (unsigned int i = 1; i < task->deferrals && backoff < most; i++)
    backoff *= 2;
  return MIN (backoff, most);
}

static void
increment_saturating (uint16_t *count)
{
  if (*count < UINT16_MAX)
    (*count)++;
}

bool
gp_pending_defer (gp_pending_t *pending, gp_quota_t *quota,
                  gp_pending_task_t *task, gp_pending_cause_t cause,
                  gp_time_t now)
{
  const gp_pending_settings_t *settings = &pending->settings;

  g_assert (task->state == GP_PENDING_OUT);
  gp_quota_release (quota, &task->charge);
  increment_saturating (&task->deferrals);
  if (cause == GP_PENDING_NO_CAPACITY)
    increment_saturating (&task->no_capacity);
  if (cause == GP_PENDING_NO_QUOTA)
    increment_saturating (&task->no_quota);
  task->state = GP_PENDING_DEFERRED;
  task->node.key = now + backoff_of (settings, task);
  gp_task_heap_push (&pending->deferred, &task->node);
  return task->no_capacity >= settings->hold_after;
}

/* Returns true if the quota has room for TASK and, unless TASK is of a
   higher class, also for the task for which its team reserves quota.  */
static bool
has_room (gp_pending_t *pending, const gp_quota_t *quota,
          const gp_pending_task_t *task)
{
  const gp_pending_task_t *saving
      = team_at (pending, task->charge.team)->quota_reserved_for;
  gp_resources_t need = task->charge.resources;

  if (saving != NULL && saving != task
      && rank_of (task->work_class) >= rank_of (saving->work_class))
    gp_resources_add (&need, &saving->charge.resources);
  return gp_quota_has_room (quota, task->charge.team, &need);
}

/* Reserves quota for TASK if it was deferred for lack of quota often
   enough and its demand fits the whole quota of its team.  */
static void
begin_quota_reservation (gp_pending_t *pending, const gp_quota_t *quota,
                         gp_pending_task_t *task)
{
  gp_pending_team_t *team = team_at (pending, task->charge.team);

  if (team->quota_reserved_for != NULL
      || task->no_quota < pending->settings.hold_after)
    return;
  if (gp_quota_can_ever_fit (quota, task->charge.team,
                             &task->charge.resources))
    team->quota_reserved_for = task;
}

/* Returns the first task of TEAM at RANK for which its quota has room;
   tasks before it are deferred.  */
static gp_pending_task_t *
first_within_quota (gp_pending_t *pending, gp_quota_t *quota,
                    gp_pending_team_t *team, unsigned int rank, gp_time_t now)
{
  gp_pending_task_t *task;

  while ((task = task_of (gp_task_heap_first (&team->ready[rank]))) != NULL)
    {
      if (has_room (pending, quota, task))
        return task;
      remove_from_heap (pending, task);
      (void)gp_pending_defer (pending, quota, task, GP_PENDING_NO_QUOTA, now);
      begin_quota_reservation (pending, quota, task);
    }
  return NULL;
}

/* Returns the first task at RANK of the team with the smallest quota
   share, or NULL.  */
static gp_pending_task_t *
first_of_least_served_team (gp_pending_t *pending, gp_quota_t *quota,
                            unsigned int rank, gp_time_t now)
{
  gp_pending_task_t *best = NULL;
  double best_share = INFINITY;

  if (pending->ready[rank] == 0)
    return NULL;
  for (guint i = 0; i < pending->teams->len; i++)
    {
      gp_pending_task_t *task = first_within_quota (
          pending, quota, team_at (pending, i), rank, now);
      double share;

      if (task == NULL)
        continue;
      share = gp_quota_share (quota, i);
      if (best != NULL && share >= best_share)
        continue;
      best = task;
      best_share = share;
    }
  return best;
}

/* Returns the watcher or batch task with the earliest latest start if that
   is at risk, or NULL.  */
static gp_pending_task_t *
earliest_at_risk (gp_pending_t *pending, gp_quota_t *quota, gp_time_t now)
{
  gp_pending_task_t *best = NULL;

  for (guint i = 0; i < pending->teams->len; i++)
    for (unsigned int rank = 1; rank < GP_PENDING_CLASSES; rank++)
      {
        gp_pending_task_t *task = first_within_quota (
            pending, quota, team_at (pending, i), rank, now);

        if (task != NULL
            && (best == NULL || task->latest_start < best->latest_start))
          best = task;
      }
  if (best != NULL
      && best->latest_start > now + pending->settings.risk_horizon)
    return NULL;
  return best;
}

static void
requeue_due (gp_pending_t *pending, gp_time_t now)
{
  gp_task_heap_node_t *node;

  while ((node = gp_task_heap_first (&pending->deferred)) != NULL
         && node->key <= now)
    {
      remove_from_heap (pending, task_of (node));
      make_ready (pending, task_of (node));
    }
}

void
gp_pending_end_backoffs (gp_pending_t *pending, unsigned int most)
{
  gp_task_heap_node_t *node;

  while (most-- > 0
         && (node = gp_task_heap_first (&pending->deferred)) != NULL)
    {
      remove_from_heap (pending, task_of (node));
      make_ready (pending, task_of (node));
    }
}

static void
refill (gp_pending_t *pending, gp_time_t now)
{
  double earned = pending->rate * (double)(now - pending->refilled) / GP_SEC;

  pending->tokens = fmin (pending->burst, pending->tokens + earned);
  pending->refilled = now;
}

/* Returns true if the rate limit allows a start at RANK.  */
static bool
rate_allows (const gp_pending_t *pending, unsigned int rank)
{
  double least = rank == 0 ? 1.0 - pending->burst : 1.0;

  return pending->rate <= 0.0 || pending->tokens >= least;
}

static gp_pending_task_t *
pick (gp_pending_t *pending, gp_quota_t *quota, gp_time_t now)
{
  gp_pending_task_t *task = NULL;

  if (pending->picks + 1 >= GP_PENDING_AT_RISK_INTERVAL
      && rate_allows (pending, 1))
    task = earliest_at_risk (pending, quota, now);
  if (task != NULL)
    {
      pending->picks = 0;
      return task;
    }
  for (unsigned int rank = 0; rank < GP_PENDING_CLASSES && task == NULL;
       rank++)
    if (rate_allows (pending, rank))
      task = first_of_least_served_team (pending, quota, rank, now);
  if (task != NULL && pending->picks + 1 < GP_PENDING_AT_RISK_INTERVAL)
    pending->picks++;
  return task;
}

gp_pending_task_t *
gp_pending_next (gp_pending_t *pending, gp_quota_t *quota, gp_time_t now)
{
  gp_pending_task_t *task;

  requeue_due (pending, now);
  if (pending->rate > 0.0)
    refill (pending, now);
  task = pick (pending, quota, now);
  if (task == NULL)
    return NULL;
  remove_from_heap (pending, task);
  end_quota_reservation (pending, task);
  if (pending->rate > 0.0)
    pending->tokens -= 1.0;
  (void)gp_quota_propose (quota, &task->charge);
  return task;
}

/* Returns the time at which the rate limit allows a start at RANK.  */
static gp_time_t
rate_allows_at (const gp_pending_t *pending, unsigned int rank, gp_time_t now)
{
  double least = rank == 0 ? 1.0 - pending->burst : 1.0;
  double missing = least - pending->tokens;

  if (pending->rate <= 0.0 || missing <= 0.0)
    return now;
  return MAX (now, pending->refilled
                       + (gp_time_t)ceil (missing / pending->rate * GP_SEC));
}

gp_time_t
gp_pending_next_wake (const gp_pending_t *pending, gp_time_t now)
{
  const gp_task_heap_node_t *node = gp_task_heap_first (&pending->deferred);
  gp_time_t wake = node == NULL ? GP_TIME_NEVER : MAX (now, node->key);

  for (unsigned int rank = 0; rank < GP_PENDING_CLASSES; rank++)
    if (pending->ready[rank] > 0)
      wake = MIN (wake, rate_allows_at (pending, rank, now));
  return wake;
}

void
gp_pending_set_rate (gp_pending_t *pending, double rate, double burst,
                     gp_time_t now)
{
  pending->rate = rate;
  pending->burst = burst;
  pending->tokens = burst;
  pending->refilled = now;
}

uint32_t
gp_pending_length (const gp_pending_t *pending)
{
  return pending->ready[0] + pending->ready[1] + pending->ready[2]
         + pending->deferred.nodes->len;
}

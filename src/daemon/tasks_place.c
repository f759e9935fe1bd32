/* Placement, grants and starts of queued tasks.

   The queue holds the pending tasks of the teams that this entry places.  For
   a chosen worker, resources are reserved and a Grant is proposed; everything
   else follows from the log.  The Start is sent when the grant is read, and
   repeated until the guard answers, by whichever entry is responsible at that
   time; guards ignore duplicates.  A grant that exceeds the team's quota in
   log order is not started: its guard gets a Stop and ends it as refused.  */

#include "daemon/tasks_private.h"

#include <math.h>

#include "base/counters.h"

#define MAX_PLACED_PER_ROUND 256
#define HOLD_TIME (60 * GP_SEC)
/* After this many tasks in a row that could not be placed, the rest stay
   queued until resources come free, but at most for FULL_RETRY_TIME.  */
#define MAX_MISSES_PER_ROUND 32
#define FULL_RETRY_TIME (500 * GP_MSEC)
/* Minimum time between two reactions to resources that came free.  */
#define GROWTH_CHECK_INTERVAL (5 * GP_MSEC)
#define MIN_ZONES 16
#define MIN_WORKERS 64
/* A batch task with more laxity than this waits for a worker where its
   expected interference is at most MAX_INTERFERENCE_WITH_LAXITY.  */
#define MIN_LAXITY_TO_WAIT (60 * GP_SEC)
#define MAX_INTERFERENCE_WITH_LAXITY 0.02
/* If this many epochs are lost within one second, the rate of starts is
   limited.  */
#define LOST_TO_LIMIT_STARTS 300
#define START_RATE 1300.0
#define START_BURST 200.0
/* Entries that are not responsible act after this many due_periods.  */
#define PERIODS_BEFORE_OTHERS_ACT 5

typedef struct
{
  gp_tasks_t *tasks;
  uint64_t task;
  uint64_t epoch;
} grant_proposal_t;

static gp_counter_t grants_proposed
    = GP_COUNTER ("entry_grants_proposed_total", "Grants proposed.");
static gp_counter_t grants_void = GP_COUNTER (
    "entry_grants_void_total", "Proposed grants that the log voided.");
static gp_counter_t starts_sent
    = GP_COUNTER ("entry_starts_sent_total", "Starts sent to guards.");
static gp_counter_t over_quota = GP_COUNTER (
    "entry_grants_over_quota_total", "Grants over a quota in log order.");

void
gp_tasks_place_init (gp_tasks_t *tasks)
{
  uint32_t zones = MIN_ZONES;

  for (uint32_t i = 0; i < tasks->settings->regions_count; i++)
    zones += tasks->settings->regions[i].zones_count;
  tasks->n_zones = MIN (zones, GP_FLEET_ZONES_MAX);
  gp_pending_init (&tasks->pending, &GP_PENDING_DEFAULTS);
  gp_quota_init (&tasks->quota);
  gp_fleet_init (&tasks->fleet, tasks->n_zones);
  gp_spread_init (&tasks->spread);
  gp_interference_init (&tasks->interference, &GP_INTERFERENCE_DEFAULTS);
  gp_placement_init (&tasks->placement, &GP_PLACEMENT_WEIGHTS_DEFAULT,
                     &tasks->fleet, &tasks->spread, &tasks->interference);
  gp_suspects_init (&tasks->suspects, &GP_SUSPECTS_DEFAULTS,
                    g_new (gp_suspects_worker_t, MIN_WORKERS), MIN_WORKERS);
  gp_counter_register (&grants_proposed);
  gp_counter_register (&grants_void);
  gp_counter_register (&starts_sent);
  gp_counter_register (&over_quota);
}

void
gp_tasks_place_finish (gp_tasks_t *tasks)
{
  gp_pending_finish (&tasks->pending);
  gp_quota_finish (&tasks->quota);
  gp_fleet_finish (&tasks->fleet);
  gp_spread_finish (&tasks->spread);
  gp_interference_finish (&tasks->interference);
  g_free (tasks->suspects.workers);
}

/* The queue.  */

void
gp_tasks_enqueue (gp_tasks_t *tasks, gp_tasks_task_t *task, bool backoff)
{
  gp_time_t now = gp_tasks_now (tasks);

  if (!task->team->responsible)
    return;
  task->stage = GP_TASKS_QUEUED;
  tasks->release_count++;
  if (backoff)
    (void)gp_pending_defer (&tasks->pending, &tasks->quota, &task->pending,
                            GP_PENDING_OTHER, now);
  else
    gp_pending_add (&tasks->pending, &task->pending, now);
  gp_tasks_schedule_placement (tasks);
}

void
gp_tasks_dequeue (gp_tasks_t *tasks, gp_tasks_task_t *task)
{
  gp_pending_remove (&tasks->pending, &tasks->quota, &task->pending);
  task->stage = GP_TASKS_IDLE;
}

/* Reservations in the fleet.  */

static void
count_running (gp_tasks_task_t *task, bool running)
{
  if (task->counted_as_running == running)
    return;
  task->counted_as_running = running;
  task->team->running_count += running ? 1U : UINT32_MAX;
}

void
gp_tasks_reserve (gp_tasks_t *tasks, gp_tasks_task_t *task,
                  gp_tasks_guard_t *guard)
{
  task->guard = guard;
  task->confirmed = false;
  gp_list_push_back (&guard->placed, &task->placed_link);
  count_running (task, true);
  if (guard->in_fleet)
    gp_placement_reserve (&tasks->placement, &task->request, &guard->worker);
  task->request.held = GP_WORKER_NONE;
  gp_tasks_record_residency (tasks, guard, task, GP_RESIDENCY_UNTHROTTLED);
}

void
gp_tasks_release (gp_tasks_t *tasks, gp_tasks_task_t *task)
{
  gp_tasks_guard_t *guard = task->guard;

  count_running (task, false);
  if (guard == NULL)
    return;
  gp_tasks_confirm (tasks, task);
  gp_list_remove (&task->placed_link);
  if (guard->in_fleet)
    gp_placement_release (&tasks->placement, &task->request, &guard->worker);
  gp_tasks_record_residency (tasks, guard, task,
                             task->throttled ? -GP_RESIDENCY_THROTTLED
                                             : -GP_RESIDENCY_UNTHROTTLED);
  task->guard = NULL;
}

void
gp_tasks_confirm (gp_tasks_t *tasks, gp_tasks_task_t *task)
{
  if (task->confirmed || task->guard == NULL)
    return;
  task->confirmed = true;
  if (task->guard->in_fleet)
    gp_fleet_confirm (&tasks->fleet, &task->guard->worker,
                      &task->request.demand);
}

/* Placement.  */

/* The maximum capacity of any worker, separately for each resource.  */
static gp_resources_t
max_capacity (const gp_tasks_t *tasks)
{
  gp_resources_t maximum = { 0, 0, 0 };

  for (guint i = 0; i < tasks->fleet.shapes->len; i++)
    {
      const gp_resources_t *capacity
          = &g_array_index (tasks->fleet.shapes, gp_fleet_shape_t, i).capacity;

      maximum.millicores = MAX (maximum.millicores, capacity->millicores);
      maximum.memory_mib = MAX (maximum.memory_mib, capacity->memory_mib);
      maximum.accelerators
          = MAX (maximum.accelerators, capacity->accelerators);
    }
  return maximum;
}

static void
hold_worker (gp_tasks_t *tasks, gp_tasks_task_t *task, gp_time_t until)
{
  gp_worker_t *worker;

  task->request.held
      = gp_placement_hold (&tasks->placement, &task->request, until);
  worker = gp_fleet_worker (&tasks->fleet, task->request.held);
  if (worker != NULL)
    gp_tasks_guard_check_by (tasks, gp_tasks_guard_of_worker (worker), until);
}

static void
defer (gp_tasks_t *tasks, gp_tasks_task_t *task, gp_pending_cause_t cause)
{
  gp_time_t now = gp_tasks_now (tasks);
  bool hold = gp_pending_defer (&tasks->pending, &tasks->quota, &task->pending,
                                cause, now);

  task->stage = GP_TASKS_QUEUED;
  if (hold && cause == GP_PENDING_NO_CAPACITY
      && task->request.held == GP_WORKER_NONE)
    hold_worker (tasks, task, now + HOLD_TIME);
}

/* Releases the worker and queues TASK again after its grant was not
   accepted.  */
static void
requeue_after_grant (gp_tasks_t *tasks, gp_tasks_task_t *task)
{
  gp_tasks_release (tasks, task);
  gp_tasks_dequeue (tasks, task);
  gp_tasks_enqueue (tasks, task, true);
}

static void
on_grant_decided (gp_proposal_result_t result, gp_fold_verdict_t verdict,
                  void *data)
{
  grant_proposal_t *proposal = data;
  gp_tasks_t *tasks = proposal->tasks;
  gp_tasks_task_t *task = gp_tasks_find (tasks, proposal->task);
  bool accepted = result == GP_PROPOSAL_DECIDED && verdict == GP_FOLD_ACCEPTED;

  if (!accepted)
    gp_counter_add (&grants_void, 1);
  /* An accepted grant has changed the stage in gp_tasks_on_granted before this
     call.  */
  if (task != NULL && task->stage == GP_TASKS_PROPOSED
      && task->epoch == proposal->epoch)
    requeue_after_grant (tasks, task);
  g_free (proposal);
}

static bool
propose_grant (gp_tasks_t *tasks, gp_tasks_task_t *task,
               gp_tasks_guard_t *guard)
{
  Gp__Record__Grant grant = GP__RECORD__GRANT__INIT;
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  grant_proposal_t *proposal;

  grant.task = task->id;
  grant.epoch = task->epoch;
  grant.guard = guard->name;
  grant.guard_incarnation = guard->incarnation;
  record.record_case = GP__RECORD__RECORD__RECORD_GRANT;
  record.grant = &grant;
  proposal = g_new (grant_proposal_t, 1);
  *proposal = (grant_proposal_t){ tasks, task->id, task->epoch };
  if (gp_tasks_propose (tasks, &record, GP_WRITER_NORMAL, on_grant_decided,
                        proposal))
    return true;
  g_free (proposal);
  return false;
}

static void
fill_request (gp_tasks_t *tasks, gp_tasks_task_t *task)
{
  gp_placement_request_t *request = &task->request;
  gp_resources_t maximum = max_capacity (tasks);
  gp_time_t laxity = task->pending.latest_start - gp_tasks_now (tasks);

  request->zones = tasks->zones & ~tasks->evacuated;
  request->demand = gp_estimate_reservation (
      &task->kind->estimate, &task->pending.charge.resources, &maximum);
  request->harm_limit
      = request->work_class == GP_WORK_BATCH && laxity > MIN_LAXITY_TO_WAIT
            ? MAX_INTERFERENCE_WITH_LAXITY
            : (double)INFINITY;
  request->n_avoided = MIN (task->failures.n, GP_PLACEMENT_AVOIDED_MAX);
  for (unsigned i = 0; i < request->n_avoided; i++)
    request->avoided[i] = task->failures.workers[i];
}

/* Proposes the grant of TASK on WORKER and reserves its resources; false if
   the log accepts no records.  */
static bool
choose_worker (gp_tasks_t *tasks, gp_tasks_task_t *task, gp_worker_t *worker,
               const gp_fold_task_t *state)
{
  gp_tasks_guard_t *guard = gp_tasks_guard_of_worker (worker);
  const gp_fold_t *fold = gp_store_fold (tasks->store);

  if (!gp_fold_may_grant (fold, state, gp_fold_guard (fold, guard->name),
                          guard->incarnation))
    {
      defer (tasks, task, GP_PENDING_OTHER);
      return true;
    }
  task->epoch = state->epoch + 1;
  if (!propose_grant (tasks, task, guard))
    {
      defer (tasks, task, GP_PENDING_OTHER);
      return false;
    }
  gp_counter_add (&grants_proposed, 1);
  task->stage = GP_TASKS_PROPOSED;
  gp_tasks_reserve (tasks, task, guard);
  if (guard->in_fleet)
    gp_suspects_started (&tasks->suspects, task->id, worker->index,
                         gp_tasks_now (tasks));
  gp_tasks_guard_check_by (tasks, guard, gp_tasks_now (tasks));
  gp_tasks_guard_update_state (tasks, guard);
  return true;
}

/* Tries to place TASK, which was taken from the queue; false if the log
   accepts no records.  */
static bool
place_one (gp_tasks_t *tasks, gp_tasks_task_t *task)
{
  const gp_fold_task_t *state
      = gp_fold_task (gp_store_fold (tasks->store), task->id);
  gp_placement_choice_t choice;

  task->stage = GP_TASKS_IDLE;
  if (task->team->running_count >= task->team->max_tasks)
    {
      defer (tasks, task, GP_PENDING_NO_QUOTA);
      task->outcome = GP_PLACEMENT_QUOTA;
      return true;
    }
  if (gp_suspects_should_park (&tasks->suspects, &task->failures)
      || gp_fold_loss_limit_reached (state))
    {
      gp_tasks_park (tasks, task, GP__RECORD__PARK_REASON__PARK_REASON_FAILS);
      return true;
    }
  fill_request (tasks, task);
  choice = gp_placement_choose (&tasks->placement, &task->request);
  task->outcome = choice.outcome;
  task->cost = choice.cost;
  switch (choice.outcome)
    {
    case GP_PLACEMENT_CHOSEN:
      return choose_worker (tasks, task, choice.worker, state);
    case GP_PLACEMENT_NEVER_FITS:
      if (gp_tasks_may_ever_fit (tasks, &task->pending.charge.resources))
        defer (tasks, task, GP_PENDING_NO_CAPACITY);
      else
        gp_tasks_park (tasks, task,
                       GP__RECORD__PARK_REASON__PARK_REASON_TOO_LARGE);
      return true;
    case GP_PLACEMENT_ZONE_EVACUATED:
    case GP_PLACEMENT_NO_CAPACITY_NOW:
      defer (tasks, task, GP_PENDING_NO_CAPACITY);
      return true;
    case GP_PLACEMENT_QUOTA:
    case GP_PLACEMENT_AVOIDED:
    case GP_PLACEMENT_HARMFUL:
    case GP_PLACEMENT_PARKED:
      defer (tasks, task, GP_PENDING_OTHER);
      return true;
    }
  return true;
}

/* Limits the rate of starts after the loss of LOST_TO_LIMIT_STARTS epochs
   within one second, until the queue is empty.  */
static void
limit_start_rate (gp_tasks_t *tasks, gp_time_t now)
{
  if (!tasks->starts_limited && tasks->lost_count >= LOST_TO_LIMIT_STARTS)
    {
      gp_pending_set_rate (&tasks->pending, START_RATE, START_BURST, now);
      tasks->starts_limited = true;
    }
  if (tasks->starts_limited && gp_pending_length (&tasks->pending) == 0)
    {
      gp_pending_set_rate (&tasks->pending, 0, 0, now);
      tasks->starts_limited = false;
    }
  if (now - tasks->lost_count_since < GP_SEC)
    return;
  tasks->lost_count = 0;
  tasks->lost_count_since = now;
}

static bool
capacity_has_grown (const gp_tasks_t *tasks)
{
  return tasks->seen_growth
         != tasks->fleet.growth_count + tasks->release_count;
}

static bool
is_full (const gp_tasks_t *tasks, gp_time_t now)
{
  return now < tasks->full_until
         && (!capacity_has_grown (tasks) || now < tasks->next_growth_check);
}

static void
place_batch (gp_tasks_t *tasks, gp_time_t now)
{
  unsigned int misses = 0;

  if (capacity_has_grown (tasks) && now >= tasks->next_growth_check)
    {
      gp_pending_end_backoffs (&tasks->pending, MAX_MISSES_PER_ROUND);
      tasks->seen_growth = tasks->fleet.growth_count + tasks->release_count;
      tasks->next_growth_check = now + GROWTH_CHECK_INTERVAL;
    }
  for (int i = 0; i < MAX_PLACED_PER_ROUND && misses < MAX_MISSES_PER_ROUND;
       i++)
    {
      gp_pending_task_t *next
          = gp_pending_next (&tasks->pending, &tasks->quota, now);
      gp_tasks_task_t *task;

      if (next == NULL)
        break;
      task = GP_CONTAINER_OF (next, gp_tasks_task_t, pending);
      if (!place_one (tasks, task))
        return;
      misses = task->stage == GP_TASKS_PROPOSED ? 0 : misses + 1;
    }
  if (misses >= MAX_MISSES_PER_ROUND)
    tasks->full_until = now + FULL_RETRY_TIME;
}

void
gp_tasks_place (gp_tasks_t *tasks)
{
  gp_time_t now = gp_tasks_now (tasks);
  gp_time_t wake;

  limit_start_rate (tasks, now);
  if (gp_store_ready (tasks->store) && !is_full (tasks, now))
    place_batch (tasks, now);
  wake = MAX (gp_pending_next_wake (&tasks->pending, now), now + GP_MSEC);
  if (is_full (tasks, now))
    wake = MAX (wake, tasks->full_until);
  if (capacity_has_grown (tasks))
    wake = MIN (wake, MAX (tasks->next_growth_check, now + GP_MSEC));
  gp_timer_arm (&tasks->timer, MIN (wake, tasks->next_tick));
}

/* Grants read from the log.  */

void
gp_tasks_on_granted (gp_tasks_t *tasks, gp_tasks_task_t *task,
                     const gp_fold_task_t *state,
                     const gp_fold_guard_t *fold_guard)
{
  gp_tasks_guard_t *guard = gp_tasks_ensure_guard (tasks, fold_guard->name);
  bool own = task->stage == GP_TASKS_PROPOSED && task->guard == guard
             && task->epoch == state->epoch;

  if (!own)
    {
      gp_tasks_dequeue (tasks, task);
      gp_tasks_release (tasks, task);
      task->request.demand = task->pending.charge.resources;
      gp_tasks_reserve (tasks, task, guard);
      gp_tasks_confirm (tasks, task);
    }
  task->over_quota = !gp_quota_grant (&tasks->quota, &task->pending.charge);
  gp_counter_add (&over_quota, task->over_quota);
  task->stage = GP_TASKS_GRANTED;
  task->epoch = state->epoch;
  task->running = task->end_proposed = task->checkpoint_proposed = false;
  task->progress_saved_at = gp_tasks_now (tasks);
  task->waiting_since = task->progress_saved_at;
  task->reported_at = 0;
  gp_tasks_add_event (tasks, GP_TIMELINE_TASK_GRANTED, state->id, state->epoch,
                      fold_guard->name, NULL);
  gp_tasks_set_due (tasks, task);
  if (own)
    gp_tasks_send_pending (tasks, task);
}

static void
fill_start (const gp_tasks_task_t *task, const gp_fold_task_t *state,
            Gp__Wire__Start *start, Gp__Wire__Resources *resources)
{
  start->task = state->id;
  start->epoch = state->epoch;
  start->guard_incarnation = state->guard->incarnation;
  start->kind = state->kind;
  start->work_class = (Gp__Wire__WorkClass)state->work_class;
  start->team = state->team;
  start->resources = resources;
  resources->millicores = task->request.demand.millicores;
  resources->memory_mib = task->request.demand.memory_mib;
  resources->accelerators = task->request.demand.accelerators;
  start->checkpoint.data = gp_blob_data (state->checkpoint);
  start->checkpoint.len = gp_blob_size (state->checkpoint);
}

static void
send_start (gp_tasks_t *tasks, const gp_tasks_task_t *task,
            const gp_fold_task_t *state)
{
  Gp__Wire__Start start = GP__WIRE__START__INIT;
  Gp__Wire__Resources resources = GP__WIRE__RESOURCES__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (START, start, &start);
  char *payload = g_strndup ((const char *)gp_blob_data (state->payload),
                             gp_blob_size (state->payload));

  fill_start (task, state, &start, &resources);
  start.payload = payload;
  gp_counter_add (&starts_sent, 1);
  gp_session_send (task->guard->session, &envelope);
  g_free (payload);
}

/* Whether this entry may send messages about TASK now.  The responsible entry
   and the one that proposed the grant do so at once, the others when the task
   still waits after PERIODS_BEFORE_OTHERS_ACT periods.  */
static bool
may_act_on (const gp_tasks_t *tasks, const gp_tasks_task_t *task)
{
  gp_time_t waited = gp_tasks_now (tasks) - task->waiting_since;

  return task->team->responsible || !task->confirmed
         || waited >= PERIODS_BEFORE_OTHERS_ACT * tasks->due_period;
}

void
gp_tasks_send_pending (gp_tasks_t *tasks, gp_tasks_task_t *task)
{
  const gp_fold_task_t *state
      = gp_fold_task (gp_store_fold (tasks->store), task->id);

  if (state == NULL || task->guard == NULL
      || state->phase != GP__RECORD__TASK_PHASE__TASK_PHASE_GRANTED)
    return;
  if (task->running && !state->cancelled)
    return;
  gp_tasks_set_due (tasks, task);
  if (task->guard->session == NULL || !may_act_on (tasks, task))
    return;
  /* Another entry with an older configuration, in which the task is within
     the quota, may have started it: only the guard knows.  */
  if (state->cancelled)
    gp_tasks_stop (tasks, task, GP__WIRE__STOP_MODE__STOP_MODE_CANCEL);
  else if (task->over_quota)
    gp_tasks_stop (tasks, task, GP__WIRE__STOP_MODE__STOP_MODE_EVICT);
  else
    send_start (tasks, task, state);
}

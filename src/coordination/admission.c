/* Admission of requests to one upstream.

   Rules.  A request may start when a slot and a connection are free and its
   team and kind run fewer than their limits.  Of those that may:

   1. Urgent batch (its laxity has run out: URGENT_AT has come) goes first
      while batch holds fewer than BATCH_SHARE slots, by earliest URGENT_AT.
   2. Latency-critical requests are next, by earliest deadline.
   3. Other batch is last, by earliest URGENT_AT, and only while batch holds
      fewer than SLOTS - CRITICAL_RESERVE slots.  The reserve lapses when no
      latency-critical request has come for RESERVE_DURATION.

   So a latency-critical request is passed over by batch only through rule 1,
   in at most BATCH_SHARE slots; and batch that is out of laxity is passed
   over by latency-critical requests only when batch has its share.

   Refusal.  A request that cannot start at once is refused if its predicted
   end is past its deadline.  At its turn a request that is hopeless (NOW plus
   the mean of its kind is past its deadline) is refused if another of its
   class waits behind it; the last one is tried, so that an estimate which is
   far too high is corrected by measurement.  At its deadline a request is
   refused wherever it waits.

   Structure.  A queued request is in EXPIRY and in one of READY (it lacks
   only a slot) or a group's BLOCKED (the group is at its running limit).  A
   request moves from READY to BLOCKED when its turn comes, and back when the
   group has room.  Invariant: if a group has room and has blocked requests
   of a class, then READY of that class holds a request of that group for
   each place that the group has; so none is forgotten.  Whatever takes a
   request out of READY wakes one of its groups to keep this true.  */

#include "coordination/admission.h"

#include <glib.h>

enum
{
  /* Urgent when the rest of the time is this many high estimates.  */
  URGENT_ESTIMATES = 2
};

/* Bounds of the hint when to retry.  */
#define RETRY_MIN (20 * GP_MSEC)
#define RETRY_MAX (5 * GP_SEC)

#define CRITICAL GP_ADMISSION_LATENCY_CRITICAL
#define BATCH GP_ADMISSION_BATCH

/* Orders.  */

static bool
deadline_before (const gp_admission_request_t *a,
                 const gp_admission_request_t *b)
{
  if (a->deadline != b->deadline)
    return a->deadline < b->deadline;
  return a->sequence < b->sequence;
}

static bool
critical_before (const gp_heap_node_t *a, const gp_heap_node_t *b)
{
  return deadline_before (GP_CONTAINER_OF (a, gp_admission_request_t, order),
                          GP_CONTAINER_OF (b, gp_admission_request_t, order));
}

static bool
batch_before (const gp_heap_node_t *na, const gp_heap_node_t *nb)
{
  const gp_admission_request_t *a
      = GP_CONTAINER_OF (na, gp_admission_request_t, order);
  const gp_admission_request_t *b
      = GP_CONTAINER_OF (nb, gp_admission_request_t, order);

  if (a->urgent_at != b->urgent_at)
    return a->urgent_at < b->urgent_at;
  return a->sequence < b->sequence;
}

static bool
expiry_before (const gp_heap_node_t *a, const gp_heap_node_t *b)
{
  return deadline_before (GP_CONTAINER_OF (a, gp_admission_request_t, expiry),
                          GP_CONTAINER_OF (b, gp_admission_request_t, expiry));
}

/* The most slack first; of equals the latest arrival.  */
static bool
slack_before (const gp_heap_node_t *na, const gp_heap_node_t *nb)
{
  const gp_admission_request_t *a
      = GP_CONTAINER_OF (na, gp_admission_request_t, slack);
  const gp_admission_request_t *b
      = GP_CONTAINER_OF (nb, gp_admission_request_t, slack);

  if (a->urgent_at != b->urgent_at)
    return a->urgent_at > b->urgent_at;
  return a->sequence > b->sequence;
}

static void
init_order (gp_heap_t heaps[GP_ADMISSION_CLASSES])
{
  gp_heap_init (&heaps[CRITICAL], critical_before);
  gp_heap_init (&heaps[BATCH], batch_before);
}

static gp_admission_request_t *
first_in_order (const gp_heap_t *heap)
{
  gp_heap_node_t *node = gp_heap_first (heap);

  if (node == NULL)
    return NULL;
  return GP_CONTAINER_OF (node, gp_admission_request_t, order);
}

static gp_admission_request_t *
first_to_expire (const gp_admission_t *admission)
{
  gp_heap_node_t *node = gp_heap_first (&admission->expiry);

  if (node == NULL)
    return NULL;
  return GP_CONTAINER_OF (node, gp_admission_request_t, expiry);
}

/* Limits.  */

static uint32_t
all_running (const gp_admission_t *admission)
{
  return admission->running[CRITICAL] + admission->running[BATCH];
}

static uint32_t
all_queued (const gp_admission_t *admission)
{
  return admission->queued[CRITICAL] + admission->queued[BATCH];
}

static bool
slot_free (const gp_admission_t *admission)
{
  const gp_admission_options_t *options = &admission->options;

  return all_running (admission) < options->slots
         && (admission->idle_connections > 0
             || admission->open_connections < options->connections);
}

/* Slots that batch may hold when nothing latency-critical waits.  */
static uint32_t
batch_limit (const gp_admission_t *admission, gp_time_t now)
{
  const gp_admission_options_t *options = &admission->options;

  if (now >= admission->reserve_until)
    return options->slots;
  return options->slots - options->critical_reserve;
}

static bool
class_may_start (const gp_admission_t *admission,
                 gp_admission_class_t work_class, gp_time_t now)
{
  if (!slot_free (admission))
    return false;
  return work_class == CRITICAL
         || admission->running[BATCH] < batch_limit (admission, now);
}

static bool
group_full (const gp_admission_group_t *group)
{
  return group->running >= group->max_running;
}

/* The group at its running limit that keeps REQUEST waiting, or NULL.  */
static gp_admission_group_t *
find_blocker (const gp_admission_request_t *request)
{
  if (group_full (request->team))
    return request->team;
  if (group_full (&request->kind->group))
    return &request->kind->group;
  return NULL;
}

/* Estimates.  */

/* Slots that drain the queue of WORK_CLASS; at least one.  */
static uint32_t
drain_slots (const gp_admission_t *admission, gp_admission_class_t work_class)
{
  const gp_admission_options_t *options = &admission->options;
  uint32_t batch = admission->running[BATCH] + admission->queued[BATCH];
  uint32_t slots;

  if (work_class == CRITICAL)
    slots = options->slots - MIN (batch, options->batch_share);
  else
    slots = MAX (options->batch_share, admission->running[BATCH]);
  return MAX (slots, 1);
}

/* Duration until a request of WORK_CLASS that joins the queue and takes
   MEAN would get a slot, at the present drain rate.  */
static gp_time_t
predicted_wait (const gp_admission_t *admission,
                gp_admission_class_t work_class, gp_time_t mean)
{
  gp_time_t work = admission->queued_work[work_class] + mean;

  return work / drain_slots (admission, work_class);
}

static bool
can_meet_deadline (const gp_admission_t *admission,
                   const gp_admission_request_t *request, gp_time_t now)
{
  const gp_service_time_t *time = &request->kind->service_time;
  gp_time_t wait = predicted_wait (admission, request->work_class, time->mean);

  return now + wait + gp_service_time_high (time) <= request->deadline;
}

static bool
hopeless (const gp_admission_request_t *request, gp_time_t now)
{
  return now + request->kind->service_time.mean > request->deadline;
}

static gp_time_t
retry_hint (const gp_admission_t *admission,
            const gp_admission_request_t *request, gp_time_t now)
{
  gp_time_t wait = predicted_wait (admission, request->work_class,
                                   request->kind->service_time.mean);

  if (admission->leaving)
    return now; /* elsewhere, at once */
  return now + CLAMP (wait, RETRY_MIN, RETRY_MAX);
}

/* Steps of a request.  */

static void
refuse (gp_admission_t *admission, gp_admission_request_t *request,
        gp_admission_reason_t reason, gp_time_t now)
{
  request->state = GP_ADMISSION_REFUSED;
  request->reason = reason;
  request->retry_at = retry_hint (admission, request, now);
  gp_list_push_back (&admission->actions, &request->action);
}

static void
start (gp_admission_t *admission, gp_admission_request_t *request,
       gp_time_t now)
{
  request->state = GP_ADMISSION_STARTED;
  request->started_at = now;
  admission->running[request->work_class]++;
  request->team->running++;
  request->kind->group.running++;
  if (admission->idle_connections > 0)
    admission->idle_connections--;
  else
    admission->open_connections++;
  gp_list_push_back (&admission->actions, &request->action);
}

static void
make_ready (gp_admission_t *admission, gp_admission_request_t *request)
{
  request->blocker = NULL;
  gp_heap_insert (&admission->ready[request->work_class], &request->order);
}

/* Move the first blocked request of GROUP and WORK_CLASS to READY if the
   group has room.  */
static void
wake (gp_admission_t *admission, gp_admission_group_t *group,
      gp_admission_class_t work_class)
{
  gp_admission_request_t *request
      = first_in_order (&group->blocked[work_class]);

  if (request == NULL || group_full (group))
    return;
  gp_heap_remove (&group->blocked[work_class], &request->order);
  make_ready (admission, request);
}

static void
wake_all (gp_admission_t *admission, gp_admission_group_t *group)
{
  for (int c = 0; c < GP_ADMISSION_CLASSES; c++)
    {
      while (!group_full (group) && !gp_heap_empty (&group->blocked[c]))
        wake (admission, group, c);
    }
}

/* Take REQUEST out of READY or BLOCKED.  */
static void
leave_order (gp_admission_t *admission, gp_admission_request_t *request)
{
  gp_admission_class_t work_class = request->work_class;

  if (request->blocker != NULL)
    {
      gp_heap_remove (&request->blocker->blocked[work_class], &request->order);
      return;
    }
  gp_heap_remove (&admission->ready[work_class], &request->order);
  wake (admission, request->team, work_class);
  wake (admission, &request->kind->group, work_class);
}

static void
block (gp_admission_t *admission, gp_admission_request_t *request,
       gp_admission_group_t *blocker)
{
  leave_order (admission, request);
  request->blocker = blocker;
  gp_heap_insert (&blocker->blocked[request->work_class], &request->order);
}

static void
enqueue (gp_admission_t *admission, gp_admission_request_t *request)
{
  gp_admission_class_t work_class = request->work_class;

  request->state = GP_ADMISSION_QUEUED;
  request->sequence = admission->next_sequence++;
  request->work = request->kind->service_time.mean;
  request->urgent_at
      = request->deadline
        - URGENT_ESTIMATES
              * gp_service_time_high (&request->kind->service_time);
  admission->queued[work_class]++;
  admission->queued_work[work_class] += request->work;
  request->team->queued++;
  request->kind->group.queued++;
  gp_heap_insert (&admission->expiry, &request->expiry);
  if (work_class == BATCH)
    gp_heap_insert (&admission->slack, &request->slack);
  make_ready (admission, request);
}

static void
dequeue (gp_admission_t *admission, gp_admission_request_t *request)
{
  gp_admission_class_t work_class = request->work_class;

  admission->queued[work_class]--;
  admission->queued_work[work_class] -= request->work;
  request->team->queued--;
  request->kind->group.queued--;
  gp_heap_remove (&admission->expiry, &request->expiry);
  if (work_class == BATCH)
    gp_heap_remove (&admission->slack, &request->slack);
  leave_order (admission, request);
}

static void
refuse_queued (gp_admission_t *admission, gp_admission_request_t *request,
               gp_admission_reason_t reason, gp_time_t now)
{
  dequeue (admission, request);
  refuse (admission, request, reason, now);
}

/* Dispatch.  */

/* The first ready request of WORK_CLASS that no group blocks, or NULL.  */
static gp_admission_request_t *
first_startable (gp_admission_t *admission, gp_admission_class_t work_class)
{
  gp_admission_request_t *request;

  while ((request = first_in_order (&admission->ready[work_class])) != NULL)
    {
      gp_admission_group_t *blocker = find_blocker (request);

      if (blocker == NULL)
        return request;
      block (admission, request, blocker);
    }
  return NULL;
}

/* The request whose turn it is by the rules, or NULL.  A slot is free.  */
static gp_admission_request_t *
choose (gp_admission_t *admission, gp_time_t now)
{
  gp_admission_request_t *critical = first_startable (admission, CRITICAL);
  gp_admission_request_t *batch = NULL;

  if (class_may_start (admission, BATCH, now))
    batch = first_startable (admission, BATCH);
  if (batch != NULL && batch->urgent_at <= now
      && admission->running[BATCH] < admission->options.batch_share)
    return batch;
  return critical != NULL ? critical : batch;
}

static void
expire (gp_admission_t *admission, gp_time_t now)
{
  gp_admission_request_t *request;

  while ((request = first_to_expire (admission)) != NULL
         && request->deadline <= now)
    refuse_queued (admission, request, GP_ADMISSION_DEADLINE, now);
}

void
gp_admission_advance (gp_admission_t *admission, gp_time_t now)
{
  expire (admission, now);
  while (slot_free (admission))
    {
      gp_admission_request_t *request = choose (admission, now);

      if (request == NULL)
        return;
      if (hopeless (request, now)
          && admission->queued[request->work_class] > 1)
        {
          refuse_queued (admission, request, GP_ADMISSION_DEADLINE, now);
          continue;
        }
      dequeue (admission, request);
      start (admission, request, now);
    }
}

gp_time_t
gp_admission_next_deadline (const gp_admission_t *admission)
{
  gp_admission_request_t *request = first_to_expire (admission);

  if (request == NULL)
    return GP_TIME_NEVER;
  if (slot_free (admission)
      && !gp_heap_empty (&admission->ready[GP_ADMISSION_BATCH]))
    return MIN (request->deadline, admission->reserve_until);
  return request->deadline;
}

/* Submission.  */

/* The queued request that makes place for ARRIVAL, or NULL: one that is
   hopeless, else for a latency-critical one the batch with most slack.  */
static gp_admission_request_t *
find_victim (const gp_admission_t *admission,
             const gp_admission_request_t *arrival, gp_time_t now)
{
  gp_admission_request_t *oldest = first_to_expire (admission);
  gp_heap_node_t *slack = gp_heap_first (&admission->slack);

  if (oldest != NULL && hopeless (oldest, now))
    return oldest;
  if (arrival->work_class != CRITICAL || slack == NULL)
    return NULL;
  return GP_CONTAINER_OF (slack, gp_admission_request_t, slack);
}

static bool
queue_limit_reached (const gp_admission_group_t *group)
{
  return group->queued >= group->max_queued;
}

static void
submit_to_queue (gp_admission_t *admission, gp_admission_request_t *request,
                 gp_time_t now)
{
  if (queue_limit_reached (request->team)
      || queue_limit_reached (&request->kind->group))
    {
      refuse (admission, request, GP_ADMISSION_LIMIT, now);
      return;
    }
  if (!can_meet_deadline (admission, request, now))
    {
      refuse (admission, request, GP_ADMISSION_DEADLINE, now);
      return;
    }
  if (all_queued (admission) >= admission->options.max_queued)
    {
      gp_admission_request_t *victim = find_victim (admission, request, now);

      if (victim == NULL)
        {
          refuse (admission, request, GP_ADMISSION_QUEUE_FULL, now);
          return;
        }
      refuse_queued (admission, victim,
                     hopeless (victim, now) ? GP_ADMISSION_DEADLINE
                                            : GP_ADMISSION_QUEUE_FULL,
                     now);
    }
  enqueue (admission, request);
  gp_admission_advance (admission, now);
}

void
gp_admission_submit (gp_admission_t *admission,
                     gp_admission_request_t *request, gp_time_t now)
{
  gp_admission_class_t work_class = request->work_class;

  gp_list_init (&request->action);
  if (work_class == CRITICAL)
    admission->reserve_until
        = gp_time_add (now, admission->options.reserve_duration);
  gp_admission_advance (admission, now);
  if (admission->leaving)
    refuse (admission, request, GP_ADMISSION_LEAVING, now);
  else if (request->deadline <= now)
    refuse (admission, request, GP_ADMISSION_DEADLINE, now);
  else if (class_may_start (admission, work_class, now)
           && find_blocker (request) == NULL)
    start (admission, request, now);
  else
    submit_to_queue (admission, request, now);
}

bool
gp_admission_cancel (gp_admission_t *admission,
                     gp_admission_request_t *request, gp_time_t now)
{
  gp_admission_advance (admission, now);
  if (request->state != GP_ADMISSION_QUEUED)
    return false;
  refuse_queued (admission, request, GP_ADMISSION_CANCELLED, now);
  gp_admission_advance (admission, now);
  return true;
}

void
gp_admission_finish (gp_admission_t *admission,
                     gp_admission_request_t *request, gp_admission_end_t end,
                     bool keep, gp_time_t now)
{
  if (request->state != GP_ADMISSION_STARTED)
    return;
  request->state = GP_ADMISSION_DONE;
  admission->running[request->work_class]--;
  request->team->running--;
  request->kind->group.running--;
  if (keep)
    admission->idle_connections++;
  if (end == GP_ADMISSION_ANSWERED)
    gp_service_time_add (&request->kind->service_time,
                         now - request->started_at);
  for (int c = 0; c < GP_ADMISSION_CLASSES; c++)
    {
      wake (admission, request->team, c);
      wake (admission, &request->kind->group, c);
    }
  gp_admission_advance (admission, now);
}

void
gp_admission_close_connection (gp_admission_t *admission, bool idle,
                               gp_time_t now)
{
  admission->open_connections--;
  if (idle)
    admission->idle_connections--;
  gp_admission_advance (admission, now);
}

void
gp_admission_leave (gp_admission_t *admission, gp_time_t now)
{
  gp_admission_request_t *request;

  admission->leaving = true;
  while ((request = first_to_expire (admission)) != NULL)
    refuse_queued (admission, request, GP_ADMISSION_LEAVING, now);
}

bool
gp_admission_drained (const gp_admission_t *admission)
{
  return all_running (admission) == 0 && all_queued (admission) == 0;
}

gp_admission_request_t *
gp_admission_next_action (gp_admission_t *admission)
{
  gp_list_t *link = gp_list_pop_front (&admission->actions);

  if (link == NULL)
    return NULL;
  return GP_CONTAINER_OF (link, gp_admission_request_t, action);
}

/* Set-up.  */

void
gp_admission_group_init (gp_admission_group_t *group, uint32_t max_running,
                         uint32_t max_queued)
{
  *group = (gp_admission_group_t){ .max_running = max_running,
                                   .max_queued = max_queued };
  init_order (group->blocked);
}

void
gp_admission_kind_init (gp_admission_kind_t *kind, uint32_t max_running,
                        uint32_t max_queued, gp_time_t declared)
{
  gp_admission_group_init (&kind->group, max_running, max_queued);
  gp_service_time_init (&kind->service_time, declared);
}

void
gp_admission_init (gp_admission_t *admission,
                   const gp_admission_options_t *options)
{
  *admission = (gp_admission_t){ .options = *options };
  init_order (admission->ready);
  gp_heap_init (&admission->expiry, expiry_before);
  gp_heap_init (&admission->slack, slack_before);
  gp_list_init (&admission->actions);
}

void
gp_admission_configure (gp_admission_t *admission,
                        const gp_admission_options_t *options, gp_time_t now)
{
  admission->options = *options;
  gp_admission_advance (admission, now);
}

void
gp_admission_set_limits (gp_admission_t *admission,
                         gp_admission_group_t *group, uint32_t max_running,
                         uint32_t max_queued, gp_time_t now)
{
  group->max_running = max_running;
  group->max_queued = max_queued;
  wake_all (admission, group);
  gp_admission_advance (admission, now);
}

/* Admission control for requests to one upstream.

   Scheduling.  A request may start when a slot and a connection are free
   and its team and kind are below their limits on running requests.  Among
   the requests that may start:

   1. Batch that is out of laxity is first, by earliest URGENT_AT, while
      batch holds fewer than BATCH_SHARE slots.  Batch is out of laxity
      when the earliest URGENT_AT has passed, or when draining all queued
      batch with BATCH_SHARE slots would extend past the latest URGENT_AT.
      URGENT_AT is the deadline minus four times the high service time
      estimate of the kind.
   2. Latency-critical requests are second, ordered by the time at which
      their latency target is due (DUE, or the deadline if that is earlier
      or there is no target).
   3. Other batch is last, by earliest URGENT_AT, and only while batch
      holds fewer than SLOTS - CRITICAL_RESERVE slots.  The reserve is not
      in effect when no latency-critical request has arrived for
      RESERVE_DURATION.

   Batch can therefore overtake a latency-critical request only by rule 1,
   in at most BATCH_SHARE slots; and latency-critical requests can overtake
   batch that is out of laxity only when batch already holds its share.

   Refusal.  A request that cannot start at once is refused if its
   predicted completion is after its deadline (for batch, with a margin).
   A latency-critical request is also refused if its predicted wait exceeds
   MAX_CRITICAL_WAIT or a third of the time to its deadline.  The queue is
   thereby bounded in time, and the bound follows the measured service
   times.  A quarter of the queue's capacity is not available to batch;
   when the queue is full, a latency-critical request displaces the batch
   request with the most slack.  When a request is selected to start but
   cannot meet its deadline (NOW plus the mean service time of its kind is
   past the deadline), it is refused if another request of its class is
   queued; the last one is started, so that an estimate that is far too
   high is corrected by measurement.  A queued request is always refused
   when its deadline passes.

   Each public call first does the work that is due, so that on return no
   request that may start is still queued.  */

#include "coordination/admission.h"

#include <glib.h>

enum
{
  /* A request becomes urgent this many high estimates before its deadline.  */
  URGENT_ESTIMATES = 4,
  /* Time that must remain after the predicted wait for a request to be
     accepted, in high estimates.  */
  CRITICAL_ESTIMATES = 1,
  BATCH_ESTIMATES = 2,
  /* A latency-critical request may wait for at most 1/WAIT_FRACTION of the
     time to its deadline.  */
  WAIT_FRACTION = 3,
  /* Batch may not use one of every CRITICAL_PLACES_DIVISOR places in the
     queue.  */
  CRITICAL_PLACES_DIVISOR = 4
};

/* Bounds of the retry hint.  */
#define RETRY_MIN (20 * GP_MSEC)
#define RETRY_MAX (5 * GP_SEC)

#define CRITICAL GP_ADMISSION_LATENCY_CRITICAL
#define BATCH GP_ADMISSION_BATCH

/* Limits.  */

static uint32_t
running_total (const gp_admission_t *admission)
{
  return admission->running[CRITICAL] + admission->running[BATCH];
}

static bool
slot_free (const gp_admission_t *admission)
{
  const gp_admission_options_t *options = &admission->options;

  return running_total (admission) < options->slots
         && (admission->idle_connections > 0
             || admission->open_connections < options->connections);
}

/* The number of slots that batch may hold when no latency-critical request
   is queued.  */
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

/* Estimates.  */

/* The number of slots assumed to serve the queue of WORK_CLASS; at least
   one.  */
static uint32_t
serving_slots (const gp_admission_t *admission,
               gp_admission_class_t work_class)
{
  const gp_admission_options_t *options = &admission->options;
  uint32_t batch = admission->running[BATCH] + admission->queue.count[BATCH];
  uint32_t slots;

  if (work_class == CRITICAL)
    slots = options->slots - MIN (batch, options->batch_share);
  else
    slots = MAX (options->batch_share, admission->running[BATCH]);
  return MAX (slots, 1);
}

/* The predicted time until a request of WORK_CLASS with mean service time
   MEAN, if queued now, would get a slot at the present drain rate.  */
static gp_time_t
predicted_wait (const gp_admission_t *admission,
                gp_admission_class_t work_class, gp_time_t mean)
{
  gp_time_t work = admission->queue.work[work_class] + mean;

  return work / serving_slots (admission, work_class);
}

static bool
can_meet_deadline (const gp_admission_t *admission,
                   const gp_admission_request_t *request, gp_time_t now)
{
  const gp_service_time_t *time = &request->kind->service_time;
  gp_time_t wait = predicted_wait (admission, request->work_class, time->mean);
  int estimates
      = request->work_class == CRITICAL ? CRITICAL_ESTIMATES : BATCH_ESTIMATES;

  return now + wait + estimates * gp_service_time_high (time)
         <= request->deadline;
}

/* Returns true if the predicted wait of a latency-critical request is
   within its bound.  Batch has no bound other than its deadline.  */
static bool
wait_within_bound (const gp_admission_t *admission,
                   const gp_admission_request_t *request, gp_time_t now)
{
  gp_time_t bound = (request->deadline - now) / WAIT_FRACTION;
  gp_time_t wait = predicted_wait (admission, request->work_class,
                                   request->kind->service_time.mean);

  if (request->work_class != CRITICAL)
    return true;
  return wait <= MIN (bound, admission->options.max_critical_wait);
}

static bool
will_miss_deadline (const gp_admission_request_t *request, gp_time_t now)
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
    return now; /* retry at once, at another guard */
  return now + CLAMP (wait, RETRY_MIN, RETRY_MAX);
}

/* State transitions of a request.  */

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
  request->kind->quota.running++;
  if (admission->idle_connections > 0)
    admission->idle_connections--;
  else
    admission->open_connections++;
  gp_list_push_back (&admission->actions, &request->action);
}

static void
enqueue (gp_admission_t *admission, gp_admission_request_t *request)
{
  const gp_service_time_t *time = &request->kind->service_time;

  request->work = time->mean;
  request->urgent_at
      = request->deadline - URGENT_ESTIMATES * gp_service_time_high (time);
  gp_request_queue_insert (&admission->queue, request);
}

static void
refuse_queued (gp_admission_t *admission, gp_admission_request_t *request,
               gp_admission_reason_t reason, gp_time_t now)
{
  gp_request_queue_remove (&admission->queue, request);
  refuse (admission, request, reason, now);
}

/* Dispatch.  */

/* Returns true if FIRST, the first batch request, is urgent, or if the
   batch request with the most slack would start too late after all other
   queued batch served with BATCH_SHARE slots.  */
static bool
out_of_laxity (const gp_admission_t *admission,
               const gp_admission_request_t *first, gp_time_t now)
{
  const gp_admission_request_t *last
      = gp_request_queue_most_slack (&admission->queue);
  gp_time_t backlog
      = admission->queue.work[BATCH] / admission->options.batch_share;

  return first->urgent_at <= now || last->urgent_at <= now + backlog;
}

/* The request to start next by the scheduling rules, or NULL.  A slot is
   free.  */
static gp_admission_request_t *
choose_next (gp_admission_t *admission, gp_time_t now)
{
  gp_admission_request_t *critical
      = gp_request_queue_first (&admission->queue, CRITICAL);
  gp_admission_request_t *batch = NULL;

  if (class_may_start (admission, BATCH, now))
    batch = gp_request_queue_first (&admission->queue, BATCH);
  if (batch != NULL
      && admission->running[BATCH] < admission->options.batch_share
      && out_of_laxity (admission, batch, now))
    return batch;
  return critical != NULL ? critical : batch;
}

static void
refuse_expired (gp_admission_t *admission, gp_time_t now)
{
  gp_admission_request_t *request;

  while ((request = gp_request_queue_first_to_expire (&admission->queue))
             != NULL
         && request->deadline <= now)
    refuse_queued (admission, request, GP_ADMISSION_DEADLINE, now);
}

void
gp_admission_advance (gp_admission_t *admission, gp_time_t now)
{
  refuse_expired (admission, now);
  while (slot_free (admission))
    {
      gp_admission_request_t *request = choose_next (admission, now);

      if (request == NULL)
        return;
      if (will_miss_deadline (request, now)
          && admission->queue.count[request->work_class] > 1)
        {
          refuse_queued (admission, request, GP_ADMISSION_DEADLINE, now);
          continue;
        }
      gp_request_queue_remove (&admission->queue, request);
      start (admission, request, now);
    }
}

gp_time_t
gp_admission_next_deadline (const gp_admission_t *admission)
{
  gp_admission_request_t *request
      = gp_request_queue_first_to_expire (&admission->queue);

  if (request == NULL)
    return GP_TIME_NEVER;
  if (slot_free (admission) && !gp_heap_empty (&admission->queue.ready[BATCH]))
    return MIN (request->deadline, admission->reserve_until);
  return request->deadline;
}

/* Submission.  */

/* The queue length at which the queue is full for WORK_CLASS.  It is lower
   for batch, so that latency-critical requests rarely displace batch that
   has been accepted.  */
static uint32_t
queue_limit (const gp_admission_t *admission, gp_admission_class_t work_class)
{
  uint32_t limit = admission->options.max_queued;

  return work_class == CRITICAL ? limit
                                : limit - limit / CRITICAL_PLACES_DIVISOR;
}

/* The queued request to refuse in favour of ARRIVAL, or NULL: one that
   cannot meet its deadline; otherwise, if ARRIVAL is latency-critical, the
   batch request with the most slack.  */
static gp_admission_request_t *
find_victim (const gp_admission_t *admission,
             const gp_admission_request_t *arrival, gp_time_t now)
{
  gp_admission_request_t *oldest
      = gp_request_queue_first_to_expire (&admission->queue);

  if (oldest != NULL && will_miss_deadline (oldest, now))
    return oldest;
  if (arrival->work_class != CRITICAL)
    return NULL;
  return gp_request_queue_most_slack (&admission->queue);
}

static void
submit_to_queue (gp_admission_t *admission, gp_admission_request_t *request,
                 gp_time_t now)
{
  if (gp_request_quota_queue_full (request->team)
      || gp_request_quota_queue_full (&request->kind->quota))
    {
      refuse (admission, request, GP_ADMISSION_LIMIT, now);
      return;
    }
  if (!can_meet_deadline (admission, request, now))
    {
      refuse (admission, request, GP_ADMISSION_DEADLINE, now);
      return;
    }
  if (!wait_within_bound (admission, request, now))
    {
      refuse (admission, request, GP_ADMISSION_QUEUE_FULL, now);
      return;
    }
  if (gp_request_queue_length (&admission->queue)
      >= queue_limit (admission, request->work_class))
    {
      gp_admission_request_t *victim = find_victim (admission, request, now);

      if (victim == NULL)
        {
          refuse (admission, request, GP_ADMISSION_QUEUE_FULL, now);
          return;
        }
      refuse_queued (admission, victim,
                     will_miss_deadline (victim, now)
                         ? GP_ADMISSION_DEADLINE
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
           && gp_request_queue_blocking_quota (request) == NULL)
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
  request->kind->quota.running--;
  if (keep)
    admission->idle_connections++;
  if (end == GP_ADMISSION_ANSWERED)
    gp_service_time_add (&request->kind->service_time,
                         now - request->started_at);
  gp_request_queue_wake (&admission->queue, request->team);
  gp_request_queue_wake (&admission->queue, &request->kind->quota);
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
  while ((request = gp_request_queue_first_to_expire (&admission->queue))
         != NULL)
    refuse_queued (admission, request, GP_ADMISSION_LEAVING, now);
}

bool
gp_admission_drained (const gp_admission_t *admission)
{
  return running_total (admission) == 0
         && gp_request_queue_length (&admission->queue) == 0;
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
gp_admission_kind_init (gp_admission_kind_t *kind, uint32_t max_running,
                        uint32_t max_queued, gp_time_t declared)
{
  gp_request_quota_init (&kind->quota, max_running, max_queued);
  gp_service_time_init (&kind->service_time, declared);
}

/* Copies OPTIONS, limiting the shares to the number of slots.  */
static void
set_options (gp_admission_t *admission, const gp_admission_options_t *options)
{
  uint32_t slots = options->slots;

  admission->options = *options;
  admission->options.batch_share = MIN (options->batch_share, slots);
  admission->options.critical_reserve = MIN (options->critical_reserve, slots);
  if (options->max_critical_wait == 0)
    admission->options.max_critical_wait = GP_TIME_NEVER;
}

void
gp_admission_init (gp_admission_t *admission,
                   const gp_admission_options_t *options)
{
  *admission = (gp_admission_t){ .leaving = false };
  set_options (admission, options);
  gp_request_queue_init (&admission->queue);
  gp_list_init (&admission->actions);
}

void
gp_admission_configure (gp_admission_t *admission,
                        const gp_admission_options_t *options, gp_time_t now)
{
  set_options (admission, options);
  gp_admission_advance (admission, now);
}

void
gp_admission_set_limits (gp_admission_t *admission, gp_request_quota_t *quota,
                         uint32_t max_running, uint32_t max_queued,
                         gp_time_t now)
{
  quota->max_running = max_running;
  quota->max_queued = max_queued;
  gp_request_queue_wake_all (&admission->queue, quota);
  gp_admission_advance (admission, now);
}

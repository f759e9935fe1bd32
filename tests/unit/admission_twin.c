/* Reference implementation of admission, by linear scans.  */

#include "admission_twin.h"

#define CRITICAL GP_ADMISSION_LATENCY_CRITICAL
#define BATCH GP_ADMISSION_BATCH

/* Returns the number of requests in STATE of WORK_CLASS (any if -1) and
   GROUP (any if NULL).  */
static uint32_t
count (const admission_twin_t *twin, gp_admission_state_t state,
       int work_class, const gp_request_quota_t *group)
{
  uint32_t n = 0;

  for (guint i = 0; i < twin->requests->len; i++)
    {
      const gp_admission_request_t *r = twin->requests->pdata[i];

      if (r->state == state
          && (work_class < 0 || (int)r->work_class == work_class)
          && (group == NULL || r->team == group || &r->kind->quota == group))
        n++;
    }
  return n;
}

static gp_time_t
queued_work (const admission_twin_t *twin, gp_admission_class_t work_class)
{
  gp_time_t work = 0;

  for (guint i = 0; i < twin->requests->len; i++)
    {
      const gp_admission_request_t *r = twin->requests->pdata[i];

      if (r->state == GP_ADMISSION_QUEUED && r->work_class == work_class)
        work += r->work;
    }
  return work;
}

static bool
group_full (const admission_twin_t *twin, const gp_request_quota_t *group)
{
  return count (twin, GP_ADMISSION_STARTED, -1, group) >= group->max_running;
}

static bool
class_may_start (const admission_twin_t *twin, int work_class, gp_time_t now)
{
  uint32_t limit = twin->options.slots;

  if (count (twin, GP_ADMISSION_STARTED, -1, NULL) >= limit)
    return false;
  if (twin->idle == 0 && twin->open >= twin->options.connections)
    return false;
  if (now < twin->reserve_until)
    limit -= twin->options.critical_reserve;
  return work_class == CRITICAL
         || count (twin, GP_ADMISSION_STARTED, BATCH, NULL) < limit;
}

static bool
may_start (const admission_twin_t *twin, const gp_admission_request_t *r,
           gp_time_t now)
{
  return class_may_start (twin, r->work_class, now)
         && !group_full (twin, r->team) && !group_full (twin, &r->kind->quota);
}

static gp_time_t
predicted_wait (const admission_twin_t *twin, const gp_admission_request_t *r)
{
  const gp_admission_options_t *o = &twin->options;
  uint32_t running = count (twin, GP_ADMISSION_STARTED, BATCH, NULL);
  uint32_t queued = count (twin, GP_ADMISSION_QUEUED, BATCH, NULL);
  uint32_t slots = r->work_class == CRITICAL
                       ? o->slots - MIN (running + queued, o->batch_share)
                       : MAX (o->batch_share, running);

  return (queued_work (twin, r->work_class) + r->kind->service_time.mean)
         / MAX (slots, 1);
}

static bool
will_miss_deadline (const gp_admission_request_t *r, gp_time_t now)
{
  return now + r->kind->service_time.mean > r->deadline;
}

static void
refuse (admission_twin_t *twin, gp_admission_request_t *r,
        gp_admission_reason_t reason, gp_time_t now)
{
  r->state = GP_ADMISSION_REFUSED;
  r->reason = reason;
  r->retry_at = now;
  if (!twin->leaving)
    r->retry_at += CLAMP (predicted_wait (twin, r), 20 * GP_MSEC, 5 * GP_SEC);
  g_ptr_array_add (twin->actions, r);
}

/* Returns the sort key of R within its class.  */
static gp_time_t
sort_key (const gp_admission_request_t *r)
{
  if (r->work_class == BATCH)
    return r->urgent_at;
  return r->due == 0 ? r->deadline : MIN (r->due, r->deadline);
}

static gp_admission_request_t *
most_slack (const admission_twin_t *twin)
{
  gp_admission_request_t *best = NULL;

  for (guint i = 0; i < twin->requests->len; i++)
    {
      gp_admission_request_t *r = twin->requests->pdata[i];

      if (r->state == GP_ADMISSION_QUEUED && r->work_class == BATCH
          && (best == NULL || r->urgent_at >= best->urgent_at))
        best = r;
    }
  return best;
}

/* Returns true if BATCH, the first of its class, precedes latency-critical
   requests.  */
static bool
takes_share (const admission_twin_t *twin, const gp_admission_request_t *batch,
             gp_time_t now)
{
  uint32_t share = twin->options.batch_share;
  gp_time_t end = now;

  if (count (twin, GP_ADMISSION_STARTED, BATCH, NULL) >= share)
    return false;
  end += queued_work (twin, BATCH) / share;
  return batch->urgent_at <= now || most_slack (twin)->urgent_at <= end;
}

/* Counts the violations of the scheduling rules by starting R.  R is still
   queued; or it is new, and no request that may start is queued.  */
static void
check_start (admission_twin_t *twin, const gp_admission_request_t *r,
             gp_time_t now)
{
  for (guint i = 0; i < twin->requests->len; i++)
    {
      const gp_admission_request_t *o = twin->requests->pdata[i];

      if (o->state != GP_ADMISSION_QUEUED || o == r
          || !may_start (twin, o, now))
        continue;
      if (r->work_class == o->work_class)
        twin->breaches += sort_key (o) < sort_key (r);
      else if (r->work_class == BATCH) /* batch overtakes latency-critical */
        twin->breaches += !takes_share (twin, r, now);
      else /* another request overtakes batch that is out of laxity */
        twin->breaches += takes_share (twin, o, now);
    }
}

static void
start (admission_twin_t *twin, gp_admission_request_t *r, gp_time_t now)
{
  check_start (twin, r, now);
  r->state = GP_ADMISSION_STARTED;
  r->started_at = now;
  if (twin->idle > 0)
    twin->idle--;
  else
    twin->open++;
  g_ptr_array_add (twin->actions, r);
}

/* Returns the first queued request of WORK_CLASS that may start, or NULL.  */
static gp_admission_request_t *
first (const admission_twin_t *twin, gp_admission_class_t work_class,
       gp_time_t now)
{
  gp_admission_request_t *best = NULL;

  for (guint i = 0; i < twin->requests->len; i++)
    {
      gp_admission_request_t *r = twin->requests->pdata[i];

      if (r->state == GP_ADMISSION_QUEUED && r->work_class == work_class
          && may_start (twin, r, now)
          && (best == NULL || sort_key (r) < sort_key (best)))
        best = r;
    }
  return best;
}

static gp_admission_request_t *
earliest_deadline (const admission_twin_t *twin)
{
  gp_admission_request_t *best = NULL;

  for (guint i = 0; i < twin->requests->len; i++)
    {
      gp_admission_request_t *r = twin->requests->pdata[i];

      if (r->state == GP_ADMISSION_QUEUED
          && (best == NULL || r->deadline < best->deadline))
        best = r;
    }
  return best;
}

void
admission_twin_advance (admission_twin_t *twin, gp_time_t now)
{
  gp_admission_request_t *r;

  while ((r = earliest_deadline (twin)) != NULL && r->deadline <= now)
    refuse (twin, r, GP_ADMISSION_DEADLINE, now);
  for (;;)
    {
      gp_admission_request_t *batch = first (twin, BATCH, now);

      r = first (twin, CRITICAL, now);
      if (batch != NULL && (r == NULL || takes_share (twin, batch, now)))
        r = batch;
      if (r == NULL)
        return;
      if (will_miss_deadline (r, now)
          && count (twin, GP_ADMISSION_QUEUED, r->work_class, NULL) > 1)
        refuse (twin, r, GP_ADMISSION_DEADLINE, now);
      else
        start (twin, r, now);
    }
}

/* Returns the reason why R cannot be queued, or -1.  May refuse another
   request to make room.  */
static int
queue_refusal (admission_twin_t *twin, gp_admission_request_t *r,
               gp_time_t now)
{
  const gp_service_time_t *time = &r->kind->service_time;
  gp_request_quota_t *kind = &r->kind->quota;
  gp_admission_request_t *victim = earliest_deadline (twin);
  uint32_t limit = twin->options.max_queued;

  if (count (twin, GP_ADMISSION_QUEUED, -1, r->team) >= r->team->max_queued
      || count (twin, GP_ADMISSION_QUEUED, -1, kind) >= kind->max_queued)
    return GP_ADMISSION_LIMIT;
  if (now + predicted_wait (twin, r)
          + (r->work_class == BATCH ? 2 : 1)
                * (time->mean + 2 * time->deviation)
      > r->deadline)
    return GP_ADMISSION_DEADLINE;
  if (r->work_class == CRITICAL
      && predicted_wait (twin, r)
             > MIN ((r->deadline - now) / 3, twin->options.max_critical_wait))
    return GP_ADMISSION_QUEUE_FULL;
  if (r->work_class == BATCH)
    limit -= limit / 4;
  if (count (twin, GP_ADMISSION_QUEUED, -1, NULL) < limit)
    return -1;
  if (victim == NULL || !will_miss_deadline (victim, now))
    victim = r->work_class == CRITICAL ? most_slack (twin) : NULL;
  if (victim == NULL)
    return GP_ADMISSION_QUEUE_FULL;
  refuse (twin, victim,
          will_miss_deadline (victim, now) ? GP_ADMISSION_DEADLINE
                                           : GP_ADMISSION_QUEUE_FULL,
          now);
  return -1;
}

void
admission_twin_submit (admission_twin_t *twin, gp_admission_request_t *r,
                       gp_time_t now)
{
  const gp_service_time_t *time = &r->kind->service_time;
  int reason;

  if (r->work_class == CRITICAL)
    twin->reserve_until = now + twin->options.reserve_duration;
  admission_twin_advance (twin, now);
  if (twin->leaving)
    refuse (twin, r, GP_ADMISSION_LEAVING, now);
  else if (r->deadline <= now)
    refuse (twin, r, GP_ADMISSION_DEADLINE, now);
  else if (may_start (twin, r, now))
    start (twin, r, now);
  else if ((reason = queue_refusal (twin, r, now)) >= 0)
    refuse (twin, r, reason, now);
  else
    {
      r->state = GP_ADMISSION_QUEUED;
      r->work = time->mean;
      r->urgent_at = r->deadline - 4 * (time->mean + 2 * time->deviation);
    }
  g_ptr_array_add (twin->requests, r);
  admission_twin_advance (twin, now);
}

void
admission_twin_cancel (admission_twin_t *twin, gp_admission_request_t *r,
                       gp_time_t now)
{
  admission_twin_advance (twin, now);
  if (r->state == GP_ADMISSION_QUEUED)
    refuse (twin, r, GP_ADMISSION_CANCELLED, now);
  admission_twin_advance (twin, now);
}

void
admission_twin_finish (admission_twin_t *twin, gp_admission_request_t *r,
                       gp_admission_end_t end, bool keep, gp_time_t now)
{
  r->state = GP_ADMISSION_DONE;
  twin->idle += keep;
  if (end == GP_ADMISSION_ANSWERED)
    gp_service_time_add (&r->kind->service_time, now - r->started_at);
  admission_twin_advance (twin, now);
}

void
admission_twin_leave (admission_twin_t *twin, gp_time_t now)
{
  gp_admission_request_t *r;

  twin->leaving = true;
  while ((r = earliest_deadline (twin)) != NULL)
    refuse (twin, r, GP_ADMISSION_LEAVING, now);
}

void
admission_twin_init (admission_twin_t *twin,
                     const gp_admission_options_t *options)
{
  *twin = (admission_twin_t){ .options = *options,
                              .requests = g_ptr_array_new (),
                              .actions = g_ptr_array_new () };
}

void
admission_twin_clear (admission_twin_t *twin)
{
  g_ptr_array_free (twin->requests, TRUE);
  g_ptr_array_free (twin->actions, TRUE);
}

/* Queue of the requests waiting at a guard, in scheduling order.  */

#include "coordination/request_queue.h"

#define CRITICAL GP_ADMISSION_LATENCY_CRITICAL
#define BATCH GP_ADMISSION_BATCH

static bool
sort_key_before (const gp_heap_node_t *na, const gp_heap_node_t *nb)
{
  const gp_admission_request_t *a
      = GP_CONTAINER_OF (na, gp_admission_request_t, order);
  const gp_admission_request_t *b
      = GP_CONTAINER_OF (nb, gp_admission_request_t, order);

  if (a->sort_key != b->sort_key)
    return a->sort_key < b->sort_key;
  return a->sequence < b->sequence;
}

static bool
expiry_before (const gp_heap_node_t *na, const gp_heap_node_t *nb)
{
  const gp_admission_request_t *a
      = GP_CONTAINER_OF (na, gp_admission_request_t, expiry);
  const gp_admission_request_t *b
      = GP_CONTAINER_OF (nb, gp_admission_request_t, expiry);

  if (a->deadline != b->deadline)
    return a->deadline < b->deadline;
  return a->sequence < b->sequence;
}

/* Returns the sort key of REQUEST within its class.  Latency-critical
   requests are ordered by their latency target; their deadline is often
   far later, and a caller that is willing to wait longer must not be
   served later for that reason.  */
static gp_time_t
sort_key (const gp_admission_request_t *request)
{
  if (request->work_class == BATCH)
    return request->urgent_at;
  if (request->due == 0 || request->due > request->deadline)
    return request->deadline;
  return request->due;
}

/* Orders by descending slack, then latest arrival first.  */
static bool
more_slack_before (const gp_heap_node_t *na, const gp_heap_node_t *nb)
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
  gp_heap_init (&heaps[CRITICAL], sort_key_before);
  gp_heap_init (&heaps[BATCH], sort_key_before);
}

static gp_admission_request_t *
first_in_order (const gp_heap_t *heap)
{
  gp_heap_node_t *node = gp_heap_first (heap);

  if (node == NULL)
    return NULL;
  return GP_CONTAINER_OF (node, gp_admission_request_t, order);
}

gp_admission_request_t *
gp_request_queue_first_to_expire (const gp_request_queue_t *queue)
{
  gp_heap_node_t *node = gp_heap_first (&queue->expiry);

  if (node == NULL)
    return NULL;
  return GP_CONTAINER_OF (node, gp_admission_request_t, expiry);
}

gp_admission_request_t *
gp_request_queue_most_slack (const gp_request_queue_t *queue)
{
  gp_heap_node_t *node = gp_heap_first (&queue->slack);

  if (node == NULL)
    return NULL;
  return GP_CONTAINER_OF (node, gp_admission_request_t, slack);
}

gp_request_quota_t *
gp_request_queue_blocking_quota (const gp_admission_request_t *request)
{
  if (gp_request_quota_full (request->team))
    return request->team;
  if (gp_request_quota_full (&request->kind->quota))
    return &request->kind->quota;
  return NULL;
}

static void
make_ready (gp_request_queue_t *queue, gp_admission_request_t *request)
{
  request->blocker = NULL;
  gp_heap_insert (&queue->ready[request->work_class], &request->order);
}

/* Moves the first blocked request of QUOTA and WORK_CLASS to READY if the
   quota has room.  */
static void
wake (gp_request_queue_t *queue, gp_request_quota_t *quota,
      gp_admission_class_t work_class)
{
  gp_admission_request_t *request
      = first_in_order (&quota->blocked[work_class]);

  if (request == NULL || gp_request_quota_full (quota))
    return;
  gp_heap_remove (&quota->blocked[work_class], &request->order);
  make_ready (queue, request);
}

void
gp_request_queue_wake (gp_request_queue_t *queue, gp_request_quota_t *quota)
{
  wake (queue, quota, CRITICAL);
  wake (queue, quota, BATCH);
}

void
gp_request_queue_wake_all (gp_request_queue_t *queue,
                           gp_request_quota_t *quota)
{
  if (gp_request_quota_full (quota))
    return;
  while (!gp_heap_empty (&quota->blocked[CRITICAL]))
    wake (queue, quota, CRITICAL);
  while (!gp_heap_empty (&quota->blocked[BATCH]))
    wake (queue, quota, BATCH);
}

/* Removes REQUEST from READY or BLOCKED.  */
static void
remove_from_order (gp_request_queue_t *queue, gp_admission_request_t *request)
{
  gp_admission_class_t work_class = request->work_class;

  if (request->blocker != NULL)
    {
      gp_heap_remove (&request->blocker->blocked[work_class], &request->order);
      return;
    }
  gp_heap_remove (&queue->ready[work_class], &request->order);
  wake (queue, request->team, work_class);
  wake (queue, &request->kind->quota, work_class);
}

static void
block (gp_request_queue_t *queue, gp_admission_request_t *request,
       gp_request_quota_t *blocker)
{
  remove_from_order (queue, request);
  request->blocker = blocker;
  gp_heap_insert (&blocker->blocked[request->work_class], &request->order);
}

gp_admission_request_t *
gp_request_queue_first (gp_request_queue_t *queue,
                        gp_admission_class_t work_class)
{
  gp_admission_request_t *request;

  while ((request = first_in_order (&queue->ready[work_class])) != NULL)
    {
      gp_request_quota_t *blocker = gp_request_queue_blocking_quota (request);

      if (blocker == NULL)
        return request;
      block (queue, request, blocker);
    }
  return NULL;
}

void
gp_request_queue_insert (gp_request_queue_t *queue,
                         gp_admission_request_t *request)
{
  gp_admission_class_t work_class = request->work_class;

  request->state = GP_ADMISSION_QUEUED;
  request->sequence = queue->next_sequence++;
  request->sort_key = sort_key (request);
  queue->count[work_class]++;
  queue->work[work_class] += request->work;
  request->team->queued++;
  request->kind->quota.queued++;
  gp_heap_insert (&queue->expiry, &request->expiry);
  if (work_class == BATCH)
    gp_heap_insert (&queue->slack, &request->slack);
  make_ready (queue, request);
}

void
gp_request_queue_remove (gp_request_queue_t *queue,
                         gp_admission_request_t *request)
{
  gp_admission_class_t work_class = request->work_class;

  queue->count[work_class]--;
  queue->work[work_class] -= request->work;
  request->team->queued--;
  request->kind->quota.queued--;
  gp_heap_remove (&queue->expiry, &request->expiry);
  if (work_class == BATCH)
    gp_heap_remove (&queue->slack, &request->slack);
  remove_from_order (queue, request);
}

void
gp_request_quota_init (gp_request_quota_t *quota, uint32_t max_running,
                       uint32_t max_queued)
{
  *quota = (gp_request_quota_t){ .max_running = max_running,
                                 .max_queued = max_queued };
  init_order (quota->blocked);
}

void
gp_request_queue_init (gp_request_queue_t *queue)
{
  *queue = (gp_request_queue_t){ 0 };
  init_order (queue->ready);
  gp_heap_init (&queue->expiry, expiry_before);
  gp_heap_init (&queue->slack, more_slack_before);
}

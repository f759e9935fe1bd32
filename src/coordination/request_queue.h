/* Queue of the requests waiting at a guard, in scheduling order.

   A queued request is in EXPIRY and in either READY (it lacks only a slot)
   or BLOCKED of a quota that is used up.  It moves from READY to BLOCKED
   when it is first in order, and back when the quota has room.  Invariant:
   if a quota has room and blocked requests of a class, READY of that class
   contains at least as many requests of that quota as it has free places,
   so that no blocked request is missed.  To maintain this, removing a
   request from READY wakes one request of each of its quotas.

   Requests and quotas are allocated by the caller and linked intrusively;
   nothing is allocated here.  Each operation is O(log n) amortized.  */

#ifndef GP_COORDINATION_REQUEST_QUEUE_H
#define GP_COORDINATION_REQUEST_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/heap.h"
#include "base/list.h"
#include "base/time.h"
#include "coordination/service_time.h"

#define GP_ADMISSION_UNLIMITED UINT32_MAX

typedef enum
{
  GP_ADMISSION_LATENCY_CRITICAL,
  GP_ADMISSION_BATCH,
  GP_ADMISSION_CLASSES /* number of classes */
} gp_admission_class_t;

typedef enum
{
  GP_ADMISSION_IDLE, /* not submitted yet */
  GP_ADMISSION_QUEUED,
  GP_ADMISSION_STARTED,
  GP_ADMISSION_DONE,
  GP_ADMISSION_REFUSED
} gp_admission_state_t;

/* Reasons for refusing a request; in every case it did not run.  */
typedef enum
{
  GP_ADMISSION_QUEUE_FULL,
  GP_ADMISSION_DEADLINE, /* it has passed or cannot be met */
  GP_ADMISSION_LEAVING,
  GP_ADMISSION_CANCELLED, /* by the caller */
  GP_ADMISSION_LIMIT      /* queue limit of its team or kind */
} gp_admission_reason_t;

/* Limits on the requests of one team or one kind, and their present usage.  */
typedef struct
{
  uint32_t max_running; /* at least 1, or GP_ADMISSION_UNLIMITED */
  uint32_t max_queued;  /* or GP_ADMISSION_UNLIMITED */
  uint32_t running;
  uint32_t queued;
  gp_heap_t blocked[GP_ADMISSION_CLASSES]; /* queued requests waiting for
                                              RUNNING to fall */
} gp_request_quota_t;

typedef struct
{
  gp_request_quota_t quota;
  gp_service_time_t service_time;
} gp_admission_kind_t;

typedef struct
{
  /* Set by the caller before submission.  */
  gp_admission_class_t work_class;
  gp_time_t deadline;
  gp_request_quota_t *team;
  gp_admission_kind_t *kind;
  gp_time_t due; /* when its latency target is due; 0: use the deadline */

  /* Read-only for the caller.  */
  gp_admission_state_t state;
  gp_time_t started_at;         /* when STARTED or DONE */
  gp_admission_reason_t reason; /* when REFUSED */
  gp_time_t retry_at;           /* when REFUSED: earliest useful retry */

  /* Private.  */
  gp_list_t action;            /* in the actions of gp_admission_t */
  gp_heap_node_t order;        /* in READY or a quota's BLOCKED */
  gp_heap_node_t expiry;       /* in EXPIRY */
  gp_heap_node_t slack;        /* in SLACK, batch only */
  gp_request_quota_t *blocker; /* NULL if in READY */
  gp_time_t urgent_at;         /* when batch becomes urgent */
  gp_time_t sort_key;          /* sort key in READY or BLOCKED */
  gp_time_t work;              /* estimated duration, part of the sum WORK */
  uint64_t sequence;           /* arrival order, to break ties */
} gp_admission_request_t;

typedef struct
{
  uint32_t count[GP_ADMISSION_CLASSES];
  gp_time_t work[GP_ADMISSION_CLASSES]; /* sum of the estimated durations */
  uint64_t next_sequence;
  gp_heap_t ready[GP_ADMISSION_CLASSES];
  gp_heap_t expiry; /* all requests, by deadline */
  gp_heap_t slack;  /* batch requests, latest urgent_at first */
} gp_request_queue_t;

void gp_request_quota_init (gp_request_quota_t *quota, uint32_t max_running,
                            uint32_t max_queued);

static inline bool
gp_request_quota_full (const gp_request_quota_t *quota)
{
  return quota->running >= quota->max_running;
}

static inline bool
gp_request_quota_queue_full (const gp_request_quota_t *quota)
{
  return quota->queued >= quota->max_queued;
}

void gp_request_queue_init (gp_request_queue_t *queue);

static inline uint32_t
gp_request_queue_length (const gp_request_queue_t *queue)
{
  return queue->count[GP_ADMISSION_LATENCY_CRITICAL]
         + queue->count[GP_ADMISSION_BATCH];
}

/* Adds REQUEST, whose work and urgent_at are set, and makes it QUEUED.
   Its sort key is derived from its fields.  */
void gp_request_queue_insert (gp_request_queue_t *queue,
                              gp_admission_request_t *request);

/* Removes REQUEST, which is in QUEUE.  */
void gp_request_queue_remove (gp_request_queue_t *queue,
                              gp_admission_request_t *request);

/* Returns the first request of WORK_CLASS that is not blocked by a quota
   (latency-critical by due, batch by urgent_at), or NULL.  */
gp_admission_request_t *
gp_request_queue_first (gp_request_queue_t *queue,
                        gp_admission_class_t work_class);

/* Returns the request with the earliest deadline, or NULL.  */
gp_admission_request_t *
gp_request_queue_first_to_expire (const gp_request_queue_t *queue);

/* Returns the batch request with the most slack, or NULL.  */
gp_admission_request_t *
gp_request_queue_most_slack (const gp_request_queue_t *queue);

/* Called when QUOTA has room for one more request.  */
void gp_request_queue_wake (gp_request_queue_t *queue,
                            gp_request_quota_t *quota);

/* Called when the limits of QUOTA have changed.  */
void gp_request_queue_wake_all (gp_request_queue_t *queue,
                                gp_request_quota_t *quota);

/* Returns the quota that prevents REQUEST from running now, or NULL.  */
gp_request_quota_t *
gp_request_queue_blocking_quota (const gp_admission_request_t *request);

#endif

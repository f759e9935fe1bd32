/* What is reserved on one worker: the guard's decision.

   The guard reserves processors, memory and accelerators for a task before
   it asks the runtime to start it, and releases them only when the runtime
   has confirmed that the task is gone.  The worker's services have a
   reservation of their own.  The sum is never raised above what the worker
   has; it can be found above it only when a restarted guard adopts tasks
   that already run, or when the worker or its services change, and then
   tasks are evicted.

   Declared sizes are often wrong.  A task whose observed use exceeds its
   reservation gets more if there is room; else it is throttled, and when
   that does not help, evicted.

   The module does no I/O and reads no clock.  Tasks are memory of the
   caller.  Calls are linear in the tasks of the worker, some tens.  */

#ifndef GP_COORDINATION_CAPACITY_H
#define GP_COORDINATION_CAPACITY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"
#include "coordination/resources.h"

typedef enum
{
  GP_CAPACITY_NONE,
  GP_CAPACITY_RAISE,      /* the reservation has grown */
  GP_CAPACITY_THROTTLE,   /* ask the runtime to */
  GP_CAPACITY_UNTHROTTLE, /* ask the runtime to */
  GP_CAPACITY_EVICT       /* ask the runtime to checkpoint and stop */
} gp_capacity_action_kind_t;

typedef enum
{
  GP_CAPACITY_OVER_RESERVATION, /* it uses more than there is room for */
  GP_CAPACITY_SHORTAGE          /* the worker has become too small */
} gp_capacity_evict_reason_t;

typedef struct
{
  gp_capacity_action_kind_t kind;
  uint64_t task;
  uint64_t epoch;
  union
  {
    gp_resources_t raise; /* RAISE, UNTHROTTLE: the reservation now */
    gp_capacity_evict_reason_t evict;
  } u;
} gp_capacity_action_t;

typedef enum
{
  GP_CAPACITY_RESERVED,
  GP_CAPACITY_NO_ROOM,
  GP_CAPACITY_PRESENT /* the task is here, under this or another epoch */
} gp_capacity_verdict_t;

typedef struct
{
  /* Set by the caller before it is reserved or adopted.  */
  uint64_t id;
  uint64_t epoch;
  uint32_t eviction_cost;  /* the lowest is evicted first */
  gp_resources_t reserved; /* at first what it is expected to need */

  /* To be read by the caller.  */
  gp_resources_t observed;
  bool throttled;
  bool stopping; /* on its way out, still reserved */

  /* Private.  */
  gp_list_t link;
  gp_list_t pending;           /* in the capacity's ACTIONS */
  gp_capacity_action_t action; /* the one that is pending */
  gp_resources_t wanted;       /* while throttled */
  gp_time_t changed_at;        /* older measurements don't count */
  uint32_t samples_over;       /* in a row */
  uint32_t samples_under;      /* in a row */
  uint32_t calm_samples;       /* in a row that lift a throttle */
} gp_capacity_task_t;

typedef struct
{
  gp_resources_t total;
  gp_resources_t service; /* reserved for the worker's services */
  gp_list_t tasks;        /* oldest first */
  gp_list_t actions;
} gp_capacity_t;

void gp_capacity_init (gp_capacity_t *capacity, const gp_resources_t *total,
                       const gp_resources_t *service);

/* What could be reserved now.  */
gp_resources_t gp_capacity_headroom (const gp_capacity_t *capacity);

/* Reserve for TASK or refuse.  HEADROOM, unless NULL, is set to what is left
   after the decision, for the answer to the entry.  */
gp_capacity_verdict_t gp_capacity_reserve (gp_capacity_t *capacity,
                                           gp_capacity_task_t *task,
                                           gp_time_t now,
                                           gp_resources_t *headroom);

/* Take over TASK, which runs already: it counts whether there is room or
   not.  Returns RESERVED or PRESENT.  */
gp_capacity_verdict_t gp_capacity_adopt (gp_capacity_t *capacity,
                                         gp_capacity_task_t *task,
                                         gp_time_t now);

/* The runtime has confirmed the end of (ID, EPOCH).  Returns the task, which
   is the caller's again, or NULL if there is none under this epoch.  */
gp_capacity_task_t *gp_capacity_release (gp_capacity_t *capacity, uint64_t id,
                                         uint64_t epoch, gp_time_t now);

/* TASK has been asked to stop by another than this module: it stays reserved
   until its release and causes no more actions.  */
void gp_capacity_set_stopping (gp_capacity_task_t *task);

/* The task here with this id, or NULL.  */
gp_capacity_task_t *gp_capacity_find (const gp_capacity_t *capacity,
                                      uint64_t id);

/* (ID, EPOCH) used OBSERVED in a span of measurement that began at
   SPAN_START; a stale epoch is ignored.  */
void gp_capacity_observe (gp_capacity_t *capacity, uint64_t id, uint64_t epoch,
                          const gp_resources_t *observed, gp_time_t span_start,
                          gp_time_t now);

/* The worker or its services have changed.  */
void gp_capacity_resize (gp_capacity_t *capacity, const gp_resources_t *total,
                         const gp_resources_t *service, gp_time_t now);

/* Take the oldest action into ACTION; false: no more.  A task has one action
   pending at most, the latest, and none after EVICT.  */
bool gp_capacity_next_action (gp_capacity_t *capacity,
                              gp_capacity_action_t *action);

#endif

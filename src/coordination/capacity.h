/* Resource reservations on one worker, as the guard makes them.

   The guard reserves processors, memory and accelerators for a task before
   it asks the runtime to start it, and releases them only when the runtime
   has confirmed that the task has ended.  The worker's services have a
   reservation of their own.  No decision of this module raises the sum of
   the reservations above the worker's capacity.  The sum can exceed it
   only when a restarted guard adopts tasks that are already running, or
   when the capacity of the worker or the reservation of its services
   changes; tasks are then evicted.

   Declared sizes are often wrong.  If the observed usage of a task exceeds
   its reservation, the reservation is raised if there is headroom; otherwise
   the task is throttled, and if that does not help, evicted.

   The module does no I/O and reads no clock.  Tasks are allocated by the
   caller.  Calls are linear in the number of tasks on the worker, some
   tens.  */

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
  GP_CAPACITY_RAISE,      /* the reservation was raised */
  GP_CAPACITY_THROTTLE,   /* ask the runtime to do so */
  GP_CAPACITY_UNTHROTTLE, /* ask the runtime to do so */
  GP_CAPACITY_EVICT       /* ask the runtime to checkpoint and stop the task */
} gp_capacity_action_kind_t;

typedef enum
{
  GP_CAPACITY_OVER_RESERVATION, /* uses more than can be reserved for it */
  GP_CAPACITY_SHORTAGE /* the reservations exceed the worker's capacity */
} gp_capacity_evict_reason_t;

typedef struct
{
  gp_capacity_action_kind_t kind;
  uint64_t task;
  uint64_t epoch;
  union
  {
    gp_resources_t raise; /* RAISE, UNTHROTTLE: the new reservation */
    gp_capacity_evict_reason_t evict;
  } u;
} gp_capacity_action_t;

typedef enum
{
  GP_CAPACITY_RESERVED,
  GP_CAPACITY_NO_ROOM,
  GP_CAPACITY_PRESENT /* the task is already present, under this or another
                         epoch */
} gp_capacity_verdict_t;

typedef struct
{
  /* Set by the caller before gp_capacity_reserve or gp_capacity_adopt.  */
  uint64_t id;
  uint64_t epoch;
  uint32_t eviction_cost;  /* tasks with the lowest cost are evicted first */
  gp_resources_t reserved; /* initially the expected need */

  /* Read-only for the caller.  */
  gp_resources_t observed;
  bool throttled;
  bool stopping; /* asked to stop; still reserved */

  /* Private.  */
  gp_list_t link;
  gp_list_t pending;                 /* in the ACTIONS list of the capacity */
  gp_capacity_action_t action;       /* the pending action */
  gp_resources_t needed_reservation; /* to lift the throttle */
  gp_time_t changed_at;   /* measurements from before this are ignored */
  uint32_t samples_over;  /* consecutive samples above the reservation */
  uint32_t samples_under; /* consecutive samples within 7/8 of it */
  uint32_t calm_samples;  /* consecutive samples needed to lift the throttle */
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

/* Returns the unreserved resources.  */
gp_resources_t gp_capacity_headroom (const gp_capacity_t *capacity);

/* Reserves resources for TASK or refuses.  HEADROOM, unless NULL, is set
   to the unreserved resources after the decision, for the reply to the
   entry.  */
gp_capacity_verdict_t gp_capacity_reserve (gp_capacity_t *capacity,
                                           gp_capacity_task_t *task,
                                           gp_time_t now,
                                           gp_resources_t *headroom);

/* Adds TASK, which is already running, whether there is headroom or not.
   Returns RESERVED or PRESENT.  */
gp_capacity_verdict_t gp_capacity_adopt (gp_capacity_t *capacity,
                                         gp_capacity_task_t *task,
                                         gp_time_t now);

/* Releases the reservation of (ID, EPOCH) after the runtime has confirmed
   its end.  Returns the task, which the caller owns again, or NULL if
   there is none with this epoch.  */
gp_capacity_task_t *gp_capacity_release (gp_capacity_t *capacity, uint64_t id,
                                         uint64_t epoch, gp_time_t now);

/* Records that TASK has been asked to stop for a reason outside this
   module.  It stays reserved until its release and causes no further
   actions.  */
void gp_capacity_set_stopping (gp_capacity_task_t *task);

/* Returns the task with this id, or NULL.  */
gp_capacity_task_t *gp_capacity_find (const gp_capacity_t *capacity,
                                      uint64_t id);

/* Records that (ID, EPOCH) used OBSERVED in a measurement interval that
   began at SPAN_START.  Measurements of another epoch are ignored.  */
void gp_capacity_observe (gp_capacity_t *capacity, uint64_t id, uint64_t epoch,
                          const gp_resources_t *observed, gp_time_t span_start,
                          gp_time_t now);

/* Sets the capacity of the worker and the reservation of its services.  */
void gp_capacity_resize (gp_capacity_t *capacity, const gp_resources_t *total,
                         const gp_resources_t *service, gp_time_t now);

/* Stores the oldest pending action in ACTION; returns false if there is
   none.  A task has at most one pending action, the latest, and none after
   EVICT.  */
bool gp_capacity_next_action (gp_capacity_t *capacity,
                              gp_capacity_action_t *action);

#endif

/* The workers as seen by one entry, indexed by headroom.

   An entry's view is optimistic: the free resources of a worker are those
   that its guard last reported, minus those that this entry has reserved
   there and the guard has not yet confirmed.  The guard makes the final
   decision; a refusal carries the actual headroom and updates the view.
   If a report and a confirmation cross on the way, the view is too low or
   too high until the next report; the guard's own accounting is not
   affected.

   Each zone has two cells, one for workers with accelerators and one for
   those without.  A cell is a grid of buckets by size class of free
   processors and of free memory, two classes per octave, with bit masks of
   the non-empty buckets.  A search visits only buckets that can contain a
   fitting worker, so its cost depends on the number of candidates
   requested, not on the number of workers.  Moving a worker between
   buckets takes constant time.

   Workers are allocated by the caller; the fleet only links them.  Zones,
   racks, services and kinds are small integers assigned by the caller.  */

#ifndef GP_COORDINATION_FLEET_H
#define GP_COORDINATION_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"
#include "coordination/resources.h"

#define GP_WORKER_NONE UINT32_MAX
#define GP_SERVICE_NONE UINT16_MAX
#define GP_FLEET_ZONES_MAX 64

typedef enum
{
  GP_WORKER_SERVING,
  GP_WORKER_SUSPECTED, /* keeps its tasks, gets no new ones */
  GP_WORKER_LEAVING,
  GP_WORKER_LOST
} gp_worker_state_t;

/* The number of tasks of one kind on a worker.  */
typedef struct
{
  uint16_t kind;
  uint16_t count;
} gp_resident_t;

typedef struct
{
  gp_list_t link; /* in its bucket; empty if it takes no new work */
  uint32_t index; /* set by gp_fleet_add */
  uint32_t rack;
  uint16_t zone;
  uint16_t region;
  uint16_t service;       /* the service on this worker, or GP_SERVICE_NONE */
  uint16_t load_permille; /* slots of the service in use */
  gp_worker_state_t state;
  gp_resources_t capacity;
  gp_resources_t reported;    /* free resources in the guard's last report */
  gp_resources_t unconfirmed; /* reserved by this entry, not yet confirmed */
  gp_resources_t free;        /* reported minus unconfirmed */
  uint64_t held_for;          /* task for which the worker is held, or 0 */
  gp_time_t held_until;
  gp_resident_t *residents;
  uint16_t n_residents;
  uint16_t residents_size;
} gp_worker_t;

typedef struct gp_fleet_cell gp_fleet_cell_t;

/* A distinct capacity and the number of workers in a zone that have it.  */
typedef struct
{
  gp_resources_t capacity;
  uint32_t zone;
  uint32_t workers;
} gp_fleet_shape_t;

typedef struct
{
  GPtrArray *workers;     /* gp_worker_t by index; NULL if removed */
  GArray *vacant;         /* indices of removed workers */
  gp_fleet_cell_t *cells; /* two per zone */
  uint32_t n_zones;
  GArray *shapes;        /* gp_fleet_shape_t */
  uint32_t n_held;       /* number of held workers */
  uint64_t growth_count; /* incremented when the headroom of a worker may have
                            grown */
} gp_fleet_t;

void gp_fleet_init (gp_fleet_t *fleet, uint32_t n_zones);
void gp_fleet_finish (gp_fleet_t *fleet);

/* Initializes WORKER as serving and empty.  The caller sets its location,
   service and capacity before gp_fleet_add.  */
void gp_worker_init (gp_worker_t *worker);
void gp_worker_finish (gp_worker_t *worker);

/* Adds WORKER with all its capacity free.  Its index is new or that of a
   removed worker.  The worker must stay valid until it is removed.  */
void gp_fleet_add (gp_fleet_t *fleet, gp_worker_t *worker);
void gp_fleet_remove (gp_fleet_t *fleet, gp_worker_t *worker);
void gp_fleet_set_state (gp_fleet_t *fleet, gp_worker_t *worker,
                         gp_worker_state_t state);

/* Returns the worker with INDEX, or NULL.  */
gp_worker_t *gp_fleet_worker (const gp_fleet_t *fleet, uint32_t index);

/* Records the free resources reported by the guard.  */
void gp_fleet_report (gp_fleet_t *fleet, gp_worker_t *worker,
                      const gp_resources_t *headroom);

/* Reserves DEMAND on WORKER for a task of KIND until the guard confirms or
   refuses it.  */
void gp_fleet_reserve (gp_fleet_t *fleet, gp_worker_t *worker, uint16_t kind,
                       const gp_resources_t *demand);
/* The guard has started the task: the reservation becomes part of the
   reported usage.  */
void gp_fleet_confirm (gp_fleet_t *fleet, gp_worker_t *worker,
                       const gp_resources_t *demand);
/* Removes a reservation.  Either the guard refused and reported its
   HEADROOM, or the grant was voided and HEADROOM is the worker's last
   report.  */
void gp_fleet_refuse (gp_fleet_t *fleet, gp_worker_t *worker, uint16_t kind,
                      const gp_resources_t *demand,
                      const gp_resources_t *headroom);
/* Releases the resources of a confirmed task of KIND that has ended.  */
void gp_fleet_release (gp_fleet_t *fleet, gp_worker_t *worker, uint16_t kind,
                       const gp_resources_t *demand);

/* Holds WORKER, which is not held, for TASK until UNTIL: no other task is
   placed there, so that its headroom grows as tasks end.  TASK 0 ends the
   hold.  */
void gp_fleet_hold (gp_fleet_t *fleet, gp_worker_t *worker, uint64_t task,
                    gp_time_t until);
/* Ends the hold on WORKER if it has expired at NOW.  */
void gp_fleet_expire_hold (gp_fleet_t *fleet, gp_worker_t *worker,
                           gp_time_t now);

/* Returns true if DEMAND fits the total capacity of some worker in ZONES
   (a bit mask), whatever the worker's state.  */
bool gp_fleet_can_ever_fit (const gp_fleet_t *fleet,
                            const gp_resources_t *demand, uint64_t zones);

/* Adds or removes a task of KIND that this entry did not reserve to the
   counts of WORKER.  Its resources are already part of the guard's
   reports.  */
void gp_worker_add_resident (gp_worker_t *worker, uint16_t kind);
void gp_worker_remove_resident (gp_worker_t *worker, uint16_t kind);

/* Returns the number of tasks of KIND on WORKER.  */
uint32_t gp_worker_count_residents (const gp_worker_t *worker, uint16_t kind);

/* Stores in OUT up to MAX workers that can take DEMAND now, from the zones
   whose bit is set in ZONES, both nearly full and mostly empty ones.
   Returns their number, which is zero only if there are none.  MAX must be
   at least two per zone of the fleet.  Workers with accelerators are
   returned for a demand without accelerators only if no others fit.
   Repeated searches rotate through the workers of a bucket.  */
unsigned int gp_fleet_search (gp_fleet_t *fleet, const gp_resources_t *demand,
                              uint64_t zones, gp_worker_t **out,
                              unsigned int max);

#endif

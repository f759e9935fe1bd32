/* The workers as one entry sees them, indexed by headroom.

   An entry's view is optimistic: a worker's free resources are what its guard
   reported last, less what this entry has reserved there and the guard has
   not confirmed.  The guard decides; its refusal carries the true headroom
   and refreshes the view.  A report that crosses a confirmation on its way
   makes the view too low or too high until the next one, never the guard's.

   Each zone has two cells, one for workers with accelerators and one for
   those without.  A cell is a grid of buckets by class of free processors
   and of free memory, two classes an octave, with bit masks of the buckets
   that are not empty.  A search visits only buckets that can hold the
   demand, so its cost follows the candidates asked for and not the workers.
   Moving a worker between buckets is constant time.

   Workers are memory of the caller; the fleet only links them.  Zones, racks,
   services and kinds are small integers interned by the caller.  */

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
  GP_WORKER_SUSPECTED, /* runs what it has, gets nothing new */
  GP_WORKER_LEAVING,
  GP_WORKER_LOST
} gp_worker_state_t;

/* How many tasks of a kind are on a worker.  */
typedef struct
{
  uint16_t kind;
  uint16_t count;
} gp_resident_t;

typedef struct
{
  gp_list_t link; /* in its bucket; empty when it gets no new work */
  uint32_t index; /* set by gp_fleet_add */
  uint32_t rack;
  uint16_t zone;
  uint16_t region;
  uint16_t service;       /* that runs beside the tasks, or none */
  uint16_t load_permille; /* of that service's slots in use */
  gp_worker_state_t state;
  gp_resources_t capacity;
  gp_resources_t reported;    /* free, as the guard said last */
  gp_resources_t unconfirmed; /* reserved here, not yet confirmed */
  gp_resources_t free;        /* reported less unconfirmed */
  uint64_t held_for;          /* task for which it is emptied, 0: none */
  gp_time_t held_until;
  gp_resident_t *residents;
  uint16_t n_residents;
  uint16_t residents_size;
} gp_worker_t;

typedef struct gp_fleet_cell gp_fleet_cell_t;

/* A capacity and how many workers of a zone have it.  */
typedef struct
{
  gp_resources_t capacity;
  uint32_t zone;
  uint32_t workers;
} gp_fleet_shape_t;

typedef struct
{
  GPtrArray *workers;     /* gp_worker_t by index, NULL when removed */
  GArray *vacant;         /* indices of removed workers */
  gp_fleet_cell_t *cells; /* two for each zone */
  uint32_t n_zones;
  GArray *shapes;  /* gp_fleet_shape_t */
  uint32_t holds;  /* workers kept for one task */
  uint64_t growth; /* changes whenever some headroom may have grown */
} gp_fleet_t;

void gp_fleet_init (gp_fleet_t *fleet, uint32_t n_zones);
void gp_fleet_finish (gp_fleet_t *fleet);

/* Prepare WORKER as serving and empty; the caller sets its places, service
   and capacity before gp_fleet_add.  */
void gp_worker_init (gp_worker_t *worker);
void gp_worker_finish (gp_worker_t *worker);

/* Add WORKER, wholly free; its index is that of a removed worker or new.
   The worker must stay valid until it is removed.  */
void gp_fleet_add (gp_fleet_t *fleet, gp_worker_t *worker);
void gp_fleet_remove (gp_fleet_t *fleet, gp_worker_t *worker);
void gp_fleet_set_state (gp_fleet_t *fleet, gp_worker_t *worker,
                         gp_worker_state_t state);

/* The worker with INDEX, or NULL.  */
gp_worker_t *gp_fleet_worker (const gp_fleet_t *fleet, uint32_t index);

/* Take note of the free resources that the guard reports.  */
void gp_fleet_report (gp_fleet_t *fleet, gp_worker_t *worker,
                      const gp_resources_t *headroom);

/* Reserve DEMAND on WORKER for a task of KIND until the guard confirms or
   refuses it.  */
void gp_fleet_reserve (gp_fleet_t *fleet, gp_worker_t *worker, uint16_t kind,
                       const gp_resources_t *demand);
/* The guard runs the task: the reservation becomes part of the report.  */
void gp_fleet_confirm (gp_fleet_t *fleet, gp_worker_t *worker,
                       const gp_resources_t *demand);
/* The guard refused and told its HEADROOM; or the grant was voided, and
   HEADROOM is the worker's last report.  */
void gp_fleet_refuse (gp_fleet_t *fleet, gp_worker_t *worker, uint16_t kind,
                      const gp_resources_t *demand,
                      const gp_resources_t *headroom);
/* A confirmed task of KIND is known to be gone.  */
void gp_fleet_release (gp_fleet_t *fleet, gp_worker_t *worker, uint16_t kind,
                       const gp_resources_t *demand);

/* Keep WORKER, which is not held, for TASK until UNTIL: others get nothing
   there, so that its headroom grows as tasks end.  TASK 0 lets it go.  */
void gp_fleet_hold (gp_fleet_t *fleet, gp_worker_t *worker, uint64_t task,
                    gp_time_t until);
/* Let go of WORKER when it is held for no longer than NOW.  */
void gp_fleet_expire_hold (gp_fleet_t *fleet, gp_worker_t *worker,
                           gp_time_t now);

/* Whether a task of DEMAND fits some worker of ZONES (a bit each) when that
   is empty, whatever the worker's state.  */
bool gp_fleet_can_ever_fit (const gp_fleet_t *fleet,
                            const gp_resources_t *demand, uint64_t zones);

/* Count a task of KIND on WORKER, or no longer, that this entry did not
   reserve: the guard's reports hold its resources already.  */
void gp_worker_add_resident (gp_worker_t *worker, uint16_t kind);
void gp_worker_remove_resident (gp_worker_t *worker, uint16_t kind);

/* How many tasks of KIND are on WORKER.  */
uint32_t gp_worker_count (const gp_worker_t *worker, uint16_t kind);

/* Store up to MAX workers into OUT that can take DEMAND now, from the zones
   whose bit is set in ZONES, both tight and roomy ones; return their number,
   which is zero only when there is none.  MAX is at least two for each zone
   of the fleet.  Workers with accelerators are
   offered to a demand without them only when no other fits.  Repeated
   searches rotate through workers of one class.  */
unsigned int gp_fleet_search (gp_fleet_t *fleet, const gp_resources_t *demand,
                              uint64_t zones, gp_worker_t **out,
                              unsigned int max);

#endif

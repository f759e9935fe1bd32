/* Workers indexed by headroom.

   Invariants: a worker is linked in the bucket of its free resources if
   and only if it is serving and not held; a bit in a mask is set if and
   only if the bucket is not empty.  */

#include "coordination/fleet.h"

#include <string.h>

enum
{
  CLASSES = 32,        /* size classes of free processors and of free memory */
  SMALLEST_OCTAVE = 6, /* amounts below 64 share one class */
  VISITS_PER_CANDIDATE = 8 /* limit on workers visited in a zone */
};

struct gp_fleet_cell
{
  uint32_t rows;             /* bit mask of non-empty processor classes */
  uint32_t columns[CLASSES]; /* bit masks of non-empty memory classes, by
                                processor class */
  gp_list_t buckets[CLASSES * CLASSES];
};

static unsigned int
size_class (uint32_t amount)
{
  unsigned int octave;
  unsigned int half;
  unsigned int class;

  if (amount < (1U << SMALLEST_OCTAVE))
    return 0;
  octave = 31U - (unsigned int)__builtin_clz (amount);
  half = (amount >> (octave - 1)) & 1U;
  class = 2 * (octave - SMALLEST_OCTAVE) + half;
  return class < CLASSES ? class : CLASSES - 1;
}

static gp_fleet_cell_t *
cell_of (gp_fleet_t *fleet, uint32_t zone, bool accelerated)
{
  return &fleet->cells[2 * zone + (accelerated ? 1 : 0)];
}

static void
cell_init (gp_fleet_cell_t *cell)
{
  cell->rows = 0;
  memset (cell->columns, 0, sizeof cell->columns);
  for (unsigned int i = 0; i < CLASSES * CLASSES; i++)
    gp_list_init (&cell->buckets[i]);
}

void
gp_fleet_init (gp_fleet_t *fleet, uint32_t n_zones)
{
  g_assert (n_zones <= GP_FLEET_ZONES_MAX);
  fleet->workers = g_ptr_array_new ();
  fleet->vacant = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  fleet->cells = g_new (gp_fleet_cell_t, 2 * (gsize)n_zones);
  fleet->n_zones = n_zones;
  fleet->shapes = g_array_new (FALSE, FALSE, sizeof (gp_fleet_shape_t));
  fleet->n_held = 0;
  fleet->growth_count = 1;
  for (uint32_t i = 0; i < 2 * n_zones; i++)
    cell_init (&fleet->cells[i]);
}

void
gp_fleet_finish (gp_fleet_t *fleet)
{
  g_ptr_array_free (fleet->workers, TRUE);
  g_array_free (fleet->vacant, TRUE);
  g_array_free (fleet->shapes, TRUE);
  g_free (fleet->cells);
}

void
gp_worker_init (gp_worker_t *worker)
{
  memset (worker, 0, sizeof *worker);
  gp_list_init (&worker->link);
  worker->index = GP_WORKER_NONE;
  worker->service = GP_SERVICE_NONE;
  worker->state = GP_WORKER_SERVING;
}

void
gp_worker_finish (gp_worker_t *worker)
{
  g_free (worker->residents);
  worker->residents = NULL;
}

static void
unlink_worker (gp_fleet_t *fleet, gp_worker_t *worker)
{
  gp_fleet_cell_t *cell
      = cell_of (fleet, worker->zone, worker->capacity.accelerators > 0);
  unsigned int row = size_class (worker->free.millicores);
  unsigned int column = size_class (worker->free.memory_mib);

  if (gp_list_empty (&worker->link))
    return;
  gp_list_remove (&worker->link);
  if (!gp_list_empty (&cell->buckets[row * CLASSES + column]))
    return;
  cell->columns[row] &= ~(1U << column);
  if (cell->columns[row] == 0)
    cell->rows &= ~(1U << row);
}

static void
link_worker (gp_fleet_t *fleet, gp_worker_t *worker)
{
  gp_fleet_cell_t *cell
      = cell_of (fleet, worker->zone, worker->capacity.accelerators > 0);
  unsigned int row = size_class (worker->free.millicores);
  unsigned int column = size_class (worker->free.memory_mib);

  if (worker->state != GP_WORKER_SERVING || worker->held_for != 0)
    return;
  gp_list_push_back (&cell->buckets[row * CLASSES + column], &worker->link);
  cell->columns[row] |= 1U << column;
  cell->rows |= 1U << row;
}

/* Recomputes the free resources of WORKER and moves it to its bucket.  */
static void
update_free (gp_fleet_t *fleet, gp_worker_t *worker)
{
  gp_resources_t before = worker->free;
  gp_resources_t after = worker->reported;

  gp_resources_subtract (&after, &worker->unconfirmed);
  if (gp_resources_equal (&before, &after))
    return;
  unlink_worker (fleet, worker);
  worker->free = after;
  link_worker (fleet, worker);
  if (!gp_resources_fit (&after, &before))
    fleet->growth_count++;
}

static gp_fleet_shape_t *
find_shape (const gp_fleet_t *fleet, const gp_worker_t *worker)
{
  for (guint i = 0; i < fleet->shapes->len; i++)
    {
      gp_fleet_shape_t *shape
          = &g_array_index (fleet->shapes, gp_fleet_shape_t, i);

      if (shape->zone == worker->zone
          && gp_resources_equal (&shape->capacity, &worker->capacity))
        return shape;
    }
  return NULL;
}

static void
add_shape (gp_fleet_t *fleet, const gp_worker_t *worker)
{
  gp_fleet_shape_t *shape = find_shape (fleet, worker);
  gp_fleet_shape_t added = { worker->capacity, worker->zone, 1 };

  if (shape != NULL)
    shape->workers++;
  else
    g_array_append_val (fleet->shapes, added);
}

static void
remove_shape (gp_fleet_t *fleet, const gp_worker_t *worker)
{
  gp_fleet_shape_t *shape = find_shape (fleet, worker);

  if (shape == NULL || --shape->workers > 0)
    return;
  *shape = g_array_index (fleet->shapes, gp_fleet_shape_t,
                          fleet->shapes->len - 1);
  g_array_set_size (fleet->shapes, fleet->shapes->len - 1);
}

void
gp_fleet_add (gp_fleet_t *fleet, gp_worker_t *worker)
{
  GArray *vacant = fleet->vacant;

  g_assert (worker->zone < fleet->n_zones);
  if (vacant->len > 0)
    {
      worker->index = g_array_index (vacant, uint32_t, vacant->len - 1);
      g_array_set_size (vacant, vacant->len - 1);
      fleet->workers->pdata[worker->index] = worker;
    }
  else
    {
      worker->index = fleet->workers->len;
      g_ptr_array_add (fleet->workers, worker);
    }
  worker->reported = worker->capacity;
  worker->free = worker->capacity;
  add_shape (fleet, worker);
  link_worker (fleet, worker);
  fleet->growth_count++;
}

void
gp_fleet_remove (gp_fleet_t *fleet, gp_worker_t *worker)
{
  if (worker->held_for != 0)
    gp_fleet_hold (fleet, worker, 0, 0);
  unlink_worker (fleet, worker);
  remove_shape (fleet, worker);
  fleet->workers->pdata[worker->index] = NULL;
  g_array_append_val (fleet->vacant, worker->index);
  worker->index = GP_WORKER_NONE;
}

void
gp_fleet_set_state (gp_fleet_t *fleet, gp_worker_t *worker,
                    gp_worker_state_t state)
{
  if (worker->state == state)
    return;
  unlink_worker (fleet, worker);
  worker->state = state;
  link_worker (fleet, worker);
  fleet->growth_count++;
}

gp_worker_t *
gp_fleet_worker (const gp_fleet_t *fleet, uint32_t index)
{
  if (index >= fleet->workers->len)
    return NULL;
  return g_ptr_array_index (fleet->workers, index);
}

void
gp_fleet_report (gp_fleet_t *fleet, gp_worker_t *worker,
                 const gp_resources_t *headroom)
{
  worker->reported = *headroom;
  update_free (fleet, worker);
}

static gp_resident_t *
find_resident (const gp_worker_t *worker, uint16_t kind)
{
  for (unsigned int i = 0; i < worker->n_residents; i++)
    if (worker->residents[i].kind == kind)
      return &worker->residents[i];
  return NULL;
}

void
gp_worker_add_resident (gp_worker_t *worker, uint16_t kind)
{
  gp_resident_t *resident = find_resident (worker, kind);

  if (resident != NULL)
    {
      resident->count++;
      return;
    }
  if (worker->n_residents == worker->residents_size)
    {
      worker->residents_size += 4;
      worker->residents
          = g_renew (gp_resident_t, worker->residents, worker->residents_size);
    }
  worker->residents[worker->n_residents].kind = kind;
  worker->residents[worker->n_residents].count = 1;
  worker->n_residents++;
}

void
gp_worker_remove_resident (gp_worker_t *worker, uint16_t kind)
{
  gp_resident_t *resident = find_resident (worker, kind);

  if (resident == NULL)
    return;
  resident->count--;
  if (resident->count > 0)
    return;
  worker->n_residents--;
  *resident = worker->residents[worker->n_residents];
}

uint32_t
gp_worker_count_residents (const gp_worker_t *worker, uint16_t kind)
{
  const gp_resident_t *resident = find_resident (worker, kind);

  return resident == NULL ? 0 : resident->count;
}

void
gp_fleet_reserve (gp_fleet_t *fleet, gp_worker_t *worker, uint16_t kind,
                  const gp_resources_t *demand)
{
  gp_resources_add (&worker->unconfirmed, demand);
  gp_worker_add_resident (worker, kind);
  update_free (fleet, worker);
}

void
gp_fleet_confirm (gp_fleet_t *fleet, gp_worker_t *worker,
                  const gp_resources_t *demand)
{
  gp_resources_subtract (&worker->unconfirmed, demand);
  gp_resources_subtract (&worker->reported, demand);
  update_free (fleet, worker);
}

void
gp_fleet_refuse (gp_fleet_t *fleet, gp_worker_t *worker, uint16_t kind,
                 const gp_resources_t *demand, const gp_resources_t *headroom)
{
  gp_resources_subtract (&worker->unconfirmed, demand);
  worker->reported = *headroom;
  gp_worker_remove_resident (worker, kind);
  update_free (fleet, worker);
}

void
gp_fleet_release (gp_fleet_t *fleet, gp_worker_t *worker, uint16_t kind,
                  const gp_resources_t *demand)
{
  const gp_resources_t *most = &worker->capacity;
  gp_resources_t *reported = &worker->reported;

  gp_resources_add (reported, demand);
  reported->millicores = MIN (reported->millicores, most->millicores);
  reported->memory_mib = MIN (reported->memory_mib, most->memory_mib);
  reported->accelerators = MIN (reported->accelerators, most->accelerators);
  gp_worker_remove_resident (worker, kind);
  update_free (fleet, worker);
}

void
gp_fleet_hold (gp_fleet_t *fleet, gp_worker_t *worker, uint64_t task,
               gp_time_t until)
{
  unlink_worker (fleet, worker);
  fleet->n_held += (task != 0) - (worker->held_for != 0);
  worker->held_for = task;
  worker->held_until = until;
  link_worker (fleet, worker);
  if (task == 0)
    fleet->growth_count++;
}

void
gp_fleet_expire_hold (gp_fleet_t *fleet, gp_worker_t *worker, gp_time_t now)
{
  if (worker->held_for != 0 && worker->held_until <= now)
    gp_fleet_hold (fleet, worker, 0, 0);
}

bool
gp_fleet_can_ever_fit (const gp_fleet_t *fleet, const gp_resources_t *demand,
                       uint64_t zones)
{
  for (guint i = 0; i < fleet->shapes->len; i++)
    {
      const gp_fleet_shape_t *shape
          = &g_array_index (fleet->shapes, gp_fleet_shape_t, i);

      if ((zones & (UINT64_C (1) << shape->zone)) != 0
          && gp_resources_fit (demand, &shape->capacity))
        return true;
    }
  return false;
}

/* Parameters and results of one search.  */
typedef struct
{
  const gp_resources_t *demand;
  gp_worker_t **out;
  unsigned int found;
  unsigned int wanted; /* stop when this many were found */
  unsigned int visits; /* remaining */
} search_t;

static bool
search_done (const search_t *search)
{
  return search->found >= search->wanted || search->visits == 0;
}

static bool
already_found (const search_t *search, const gp_worker_t *worker)
{
  for (unsigned int i = 0; i < search->found; i++)
    if (search->out[i] == worker)
      return true;
  return false;
}

/* Adds the workers of BUCKET that fit, then rotates the list so that the
   next search begins after the last one visited.  */
static void
search_bucket (search_t *search, gp_list_t *bucket)
{
  gp_list_t *link = bucket->next;

  while (link != bucket && !search_done (search))
    {
      gp_worker_t *worker = GP_CONTAINER_OF (link, gp_worker_t, link);

      search->visits--;
      link = link->next;
      if (gp_resources_fit (search->demand, &worker->free)
          && !already_found (search, worker))
        search->out[search->found++] = worker;
    }
  if (link != bucket && link != bucket->next)
    {
      gp_list_remove (bucket);
      gp_list_insert_before (link, bucket);
    }
}

/* Searches the buckets of CELL that can fit the demand, in ascending order
   of free resources, or in descending order if LARGEST_FIRST.  */
static void
search_cell (search_t *search, gp_fleet_cell_t *cell, bool largest_first)
{
  uint32_t rows
      = cell->rows & (~0U << size_class (search->demand->millicores));
  uint32_t least = ~0U << size_class (search->demand->memory_mib);

  while (rows != 0 && !search_done (search))
    {
      unsigned int row = largest_first
                             ? 31U - (unsigned int)__builtin_clz (rows)
                             : (unsigned int)__builtin_ctz (rows);
      uint32_t columns = cell->columns[row] & least;

      rows &= ~(1U << row);
      while (columns != 0 && !search_done (search))
        {
          unsigned int column
              = largest_first ? 31U - (unsigned int)__builtin_clz (columns)
                              : (unsigned int)__builtin_ctz (columns);

          columns &= ~(1U << column);
          search_bucket (search, &cell->buckets[row * CLASSES + column]);
        }
    }
}

/* Searches the cells of all ZONES with or without accelerators.  Each zone
   provides an equal part of MAX, half of it from the workers with the most
   headroom.  With BOUNDED the number of workers visited is limited as well. */
static void
search_zones (gp_fleet_t *fleet, search_t *search, uint64_t zones,
              bool accelerated, unsigned int max, bool bounded)
{
  unsigned int n_zones = (unsigned int)__builtin_popcountll (zones);
  unsigned int per_zone = MAX (2, max / MAX (1, n_zones));

  for (uint32_t zone = 0; zone < fleet->n_zones; zone++)
    {
      gp_fleet_cell_t *cell = cell_of (fleet, zone, accelerated);
      unsigned int before = search->found;

      if ((zones & (UINT64_C (1) << zone)) == 0 || cell->rows == 0)
        continue;
      search->visits = bounded ? VISITS_PER_CANDIDATE * per_zone : UINT32_MAX;
      search->wanted = MIN (max, before + per_zone / 2);
      search_cell (search, cell, true);
      search->visits = bounded ? VISITS_PER_CANDIDATE * per_zone : UINT32_MAX;
      search->wanted = MIN (max, before + per_zone);
      search_cell (search, cell, false);
    }
}

unsigned int
gp_fleet_search (gp_fleet_t *fleet, const gp_resources_t *demand,
                 uint64_t zones, gp_worker_t **out, unsigned int max)
{
  search_t search = { .demand = demand, .out = out };
  bool accelerated = demand->accelerators > 0;

  if (fleet->n_zones < GP_FLEET_ZONES_MAX)
    zones &= (UINT64_C (1) << fleet->n_zones) - 1;
  search_zones (fleet, &search, zones, accelerated, max, true);
  if (search.found == 0)
    search_zones (fleet, &search, zones, accelerated, max, false);
  if (search.found == 0 && !accelerated)
    search_zones (fleet, &search, zones, true, max, true);
  if (search.found == 0 && !accelerated)
    search_zones (fleet, &search, zones, true, max, false);
  return search.found;
}

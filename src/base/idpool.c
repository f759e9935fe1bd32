/* Handles with generations, on a growing array with a free list.  */

#include "base/idpool.h"

#include <glib.h>

#define NO_PLACE UINT32_MAX
#define FIRST_SIZE 64

void
gp_idpool_init (gp_idpool_t *pool)
{
  *pool = (gp_idpool_t){ .first_free = NO_PLACE };
}

void
gp_idpool_finish (gp_idpool_t *pool)
{
  g_free (pool->places);
  gp_idpool_init (pool);
}

static uint32_t
take_place (gp_idpool_t *pool)
{
  uint32_t index = pool->first_free;

  if (index != NO_PLACE)
    {
      pool->first_free = pool->places[index].next_free;
      return index;
    }
  if (pool->used == pool->size)
    {
      pool->size = pool->size == 0 ? FIRST_SIZE : pool->size * 2;
      pool->places = g_renew (gp_idpool_place_t, pool->places, pool->size);
    }
  index = pool->used++;
  pool->places[index] = (gp_idpool_place_t){ .generation = 1 };
  return index;
}

uint64_t
gp_idpool_add (gp_idpool_t *pool, void *object)
{
  uint32_t index = take_place (pool);
  gp_idpool_place_t *place = &pool->places[index];

  place->object = object;
  pool->count++;
  return (uint64_t)place->generation << 32 | index;
}

static gp_idpool_place_t *
find_place (const gp_idpool_t *pool, uint64_t handle)
{
  uint32_t index = (uint32_t)handle;
  gp_idpool_place_t *place;

  if (index >= pool->used)
    return NULL;
  place = &pool->places[index];
  if (place->generation != handle >> 32 || place->object == NULL)
    return NULL;
  return place;
}

void *
gp_idpool_get (const gp_idpool_t *pool, uint64_t handle)
{
  gp_idpool_place_t *place = find_place (pool, handle);

  return place == NULL ? NULL : place->object;
}

void
gp_idpool_remove (gp_idpool_t *pool, uint64_t handle)
{
  gp_idpool_place_t *place = find_place (pool, handle);

  if (place == NULL)
    return;
  place->object = NULL;
  place->generation++;
  if (place->generation == 0)
    place->generation = 1;
  place->next_free = pool->first_free;
  pool->first_free = (uint32_t)handle;
  pool->count--;
}

void
gp_idpool_foreach (gp_idpool_t *pool, void (*visit) (void *object, void *data),
                   void *data)
{
  for (uint32_t i = 0; i < pool->used; i++)
    if (pool->places[i].object != NULL)
      visit (pool->places[i].object, data);
}

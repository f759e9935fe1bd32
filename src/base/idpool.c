/* Handles with generations, on a growing array with a free list.  */

#include "base/idpool.h"

#include <glib.h>

#define NO_SLOT UINT32_MAX
#define INITIAL_SIZE 64

void
gp_idpool_init (gp_idpool_t *pool)
{
  *pool = (gp_idpool_t){ .first_free = NO_SLOT };
}

void
gp_idpool_finish (gp_idpool_t *pool)
{
  g_free (pool->slots);
  gp_idpool_init (pool);
}

static uint32_t
allocate_slot (gp_idpool_t *pool)
{
  uint32_t index = pool->first_free;

  if (index != NO_SLOT)
    {
      pool->first_free = pool->slots[index].next_free;
      return index;
    }
  if (pool->used == pool->size)
    {
      pool->size = pool->size == 0 ? INITIAL_SIZE : pool->size * 2;
      pool->slots = g_renew (gp_idpool_slot_t, pool->slots, pool->size);
    }
  index = pool->used++;
  pool->slots[index] = (gp_idpool_slot_t){ .generation = 1 };
  return index;
}

uint64_t
gp_idpool_add (gp_idpool_t *pool, void *object)
{
  uint32_t index = allocate_slot (pool);
  gp_idpool_slot_t *slot = &pool->slots[index];

  slot->object = object;
  pool->count++;
  return (uint64_t)slot->generation << 32 | index;
}

static gp_idpool_slot_t *
find_slot (const gp_idpool_t *pool, uint64_t handle)
{
  uint32_t index = (uint32_t)handle;
  gp_idpool_slot_t *slot;

  if (index >= pool->used)
    return NULL;
  slot = &pool->slots[index];
  if (slot->generation != handle >> 32 || slot->object == NULL)
    return NULL;
  return slot;
}

void *
gp_idpool_get (const gp_idpool_t *pool, uint64_t handle)
{
  gp_idpool_slot_t *slot = find_slot (pool, handle);

  return slot == NULL ? NULL : slot->object;
}

void
gp_idpool_remove (gp_idpool_t *pool, uint64_t handle)
{
  gp_idpool_slot_t *slot = find_slot (pool, handle);

  if (slot == NULL)
    return;
  slot->object = NULL;
  slot->generation++;
  if (slot->generation == 0)
    slot->generation = 1;
  slot->next_free = pool->first_free;
  pool->first_free = (uint32_t)handle;
  pool->count--;
}

void
gp_idpool_foreach (gp_idpool_t *pool, void (*visit) (void *object, void *data),
                   void *data)
{
  for (uint32_t i = 0; i < pool->used; i++)
    if (pool->slots[i].object != NULL)
      visit (pool->slots[i].object, data);
}

/* Table that maps integer handles to objects.

   A handle contains the generation of its slot, so a late message for an
   exchange that has ended finds no object, even if the slot has been reused.
   All operations take constant time, apart from growing the table.  */

#ifndef GP_BASE_IDPOOL_H
#define GP_BASE_IDPOOL_H

#include <stdint.h>
#include <stddef.h>

typedef struct
{
  void *object;
  uint32_t generation;
  uint32_t next_free;
} gp_idpool_slot_t;

typedef struct
{
  gp_idpool_slot_t *slots;
  uint32_t size;
  uint32_t used;
  uint32_t first_free;
  uint32_t count;
} gp_idpool_t;

void gp_idpool_init (gp_idpool_t *pool);
void gp_idpool_finish (gp_idpool_t *pool);

/* Add OBJECT and return its handle, which is never 0.  */
uint64_t gp_idpool_add (gp_idpool_t *pool, void *object);

/* Return the object of HANDLE, or NULL when HANDLE was removed or never
   existed.  */
void *gp_idpool_get (const gp_idpool_t *pool, uint64_t handle);

/* Remove HANDLE; an unknown handle is ignored.  */
void gp_idpool_remove (gp_idpool_t *pool, uint64_t handle);

/* Call VISIT for each object.  VISIT may remove the handle of its object.  */
void gp_idpool_foreach (gp_idpool_t *pool,
                        void (*visit) (void *object, void *data), void *data);

#endif

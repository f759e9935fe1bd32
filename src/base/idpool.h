/* Table from small integer handles to objects.

   A handle carries the generation of its place, so a late message for an
   exchange that has ended finds nothing, even after the place was used
   again.  All operations are constant time.  */

#ifndef GP_BASE_IDPOOL_H
#define GP_BASE_IDPOOL_H

#include <stdint.h>
#include <stddef.h>

typedef struct
{
  void *object;
  uint32_t generation;
  uint32_t next_free;
} gp_idpool_place_t;

typedef struct
{
  gp_idpool_place_t *places;
  uint32_t size;
  uint32_t used;
  uint32_t first_free;
  uint32_t count;
} gp_idpool_t;

void gp_idpool_init (gp_idpool_t *pool);
void gp_idpool_finish (gp_idpool_t *pool);

/* A handle for OBJECT, never 0.  */
uint64_t gp_idpool_add (gp_idpool_t *pool, void *object);

/* The object of HANDLE, or NULL when it was removed or never given.  */
void *gp_idpool_get (const gp_idpool_t *pool, uint64_t handle);

/* Forget HANDLE; an unknown one is ignored.  */
void gp_idpool_remove (gp_idpool_t *pool, uint64_t handle);

/* Call VISIT for each object.  VISIT may remove its own handle.  */
void gp_idpool_foreach (gp_idpool_t *pool,
                        void (*visit) (void *object, void *data), void *data);

#endif

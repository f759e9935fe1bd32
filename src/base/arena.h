/* Bump allocator for objects that are freed together, such as those of one
   decoded frame.

   Blocks are kept across gp_arena_reset, so a steady load causes no
   allocations.  */

#ifndef GP_BASE_ARENA_H
#define GP_BASE_ARENA_H

#include <stddef.h>

typedef struct gp_arena_block gp_arena_block_t;

typedef struct
{
  gp_arena_block_t *first;
  gp_arena_block_t *current;
} gp_arena_t;

void gp_arena_init (gp_arena_t *arena);
void gp_arena_finish (gp_arena_t *arena);

/* Allocate SIZE bytes, aligned for any type and valid until the next
   reset.  */
void *gp_arena_alloc (gp_arena_t *arena, size_t size);

/* Release all objects.  Blocks larger than the default size are freed.  */
void gp_arena_reset (gp_arena_t *arena);

#endif

/* Bump allocator over a linked list of blocks.  */

#include "base/arena.h"

#include <glib.h>
#include <stdalign.h>
#include <stdint.h>

#define BLOCK_SIZE ((size_t)64 * 1024)

struct gp_arena_block
{
  gp_arena_block_t *next;
  size_t size;
  size_t used;
  alignas (max_align_t) uint8_t bytes[];
};

void
gp_arena_init (gp_arena_t *arena)
{
  arena->first = NULL;
  arena->current = NULL;
}

void
gp_arena_finish (gp_arena_t *arena)
{
  gp_arena_block_t *block = arena->first;

  while (block != NULL)
    {
      gp_arena_block_t *next = block->next;

      g_free (block);
      block = next;
    }
  gp_arena_init (arena);
}

static gp_arena_block_t *
append_block (gp_arena_t *arena, size_t size)
{
  size_t block_size = MAX (size, BLOCK_SIZE);
  gp_arena_block_t *block = g_malloc (sizeof *block + block_size);

  block->next = NULL;
  block->size = block_size;
  block->used = 0;
  if (arena->current != NULL)
    {
      block->next = arena->current->next;
      arena->current->next = block;
    }
  else
    arena->first = block;
  arena->current = block;
  return block;
}

static gp_arena_block_t *
find_block (gp_arena_t *arena, size_t size)
{
  gp_arena_block_t *block = arena->current;

  if (block != NULL && block->size - block->used >= size)
    return block;
  if (block != NULL && block->next != NULL && block->next->size >= size)
    {
      arena->current = block->next;
      return block->next;
    }
  return append_block (arena, size);
}

void *
gp_arena_alloc (gp_arena_t *arena, size_t size)
{
  size_t rounded
      = (size + alignof (max_align_t) - 1) & ~(alignof (max_align_t) - 1);
  gp_arena_block_t *block = find_block (arena, rounded);
  void *object = block->bytes + block->used;

  block->used += rounded;
  return object;
}

void
gp_arena_reset (gp_arena_t *arena)
{
  gp_arena_block_t **link = &arena->first;

  while (*link != NULL)
    {
      gp_arena_block_t *block = *link;

      block->used = 0;
      if (block->size > BLOCK_SIZE)
        {
          *link = block->next;
          g_free (block);
        }
      else
        link = &block->next;
    }
  arena->current = arena->first;
}

/* Intrusive pairing heap.

   An element embeds a gp_heap_node_t; GP_CONTAINER_OF (base/list.h) converts
   the node back to the element.  The heap allocates no memory.  Insertion and
   access to the first element take constant time, removal of any element is
   O(log n) amortized.  The order of elements that compare equal is
   unspecified; a caller that needs one must break ties in its comparison.  */

#ifndef GP_BASE_HEAP_H
#define GP_BASE_HEAP_H

#include <stdbool.h>
#include <stddef.h>

typedef struct gp_heap_node gp_heap_node_t;

struct gp_heap_node
{
  gp_heap_node_t *child; /* leftmost child */
  gp_heap_node_t *next;  /* right sibling */
  gp_heap_node_t *prev;  /* left sibling, or parent of a leftmost child */
};

/* Return whether A sorts before B; must be a strict weak order.  */
typedef bool (*gp_heap_before_t) (const gp_heap_node_t *a,
                                  const gp_heap_node_t *b);

typedef struct
{
  gp_heap_node_t *root;
  gp_heap_before_t before;
} gp_heap_t;

void gp_heap_init (gp_heap_t *heap, gp_heap_before_t before);

static inline bool
gp_heap_empty (const gp_heap_t *heap)
{
  return heap->root == NULL;
}

/* Return the first element, or NULL when the heap is empty.  */
static inline gp_heap_node_t *
gp_heap_first (const gp_heap_t *heap)
{
  return heap->root;
}

/* Insert NODE, which must not be in any heap.  */
void gp_heap_insert (gp_heap_t *heap, gp_heap_node_t *node);

/* Remove NODE, which must be in HEAP.  */
void gp_heap_remove (gp_heap_t *heap, gp_heap_node_t *node);

/* Remove and return the first element, or NULL when the heap is empty.  */
gp_heap_node_t *gp_heap_pop (gp_heap_t *heap);

#endif

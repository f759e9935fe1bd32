/* Binary heap of pending tasks, least key first, with removal of any task.

   Tasks store their position, so removal is logarithmic.  Equal keys are
   ordered by task id, so that the order is deterministic.  */

#ifndef GP_COORDINATION_TASK_HEAP_H
#define GP_COORDINATION_TASK_HEAP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

/* Embedded in the queued object.  */
typedef struct
{
  gp_time_t key;
  uint64_t task;
  uint32_t position;
} gp_task_heap_node_t;

typedef struct
{
  GPtrArray *nodes;
} gp_task_heap_t;

void gp_task_heap_init (gp_task_heap_t *heap);
void gp_task_heap_finish (gp_task_heap_t *heap);

void gp_task_heap_push (gp_task_heap_t *heap, gp_task_heap_node_t *node);
/* Removes NODE, which is in HEAP.  */
void gp_task_heap_remove (gp_task_heap_t *heap, gp_task_heap_node_t *node);

/* Returns the node with the least key, or NULL.  */
static inline gp_task_heap_node_t *
gp_task_heap_first (const gp_task_heap_t *heap)
{
  return heap->nodes->len == 0 ? NULL : heap->nodes->pdata[0];
}

#endif

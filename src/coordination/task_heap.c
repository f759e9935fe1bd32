/* Binary heap whose nodes store their positions.  */

#include "coordination/task_heap.h"

void
gp_task_heap_init (gp_task_heap_t *heap)
{
  heap->nodes = g_ptr_array_new ();
}

void
gp_task_heap_finish (gp_task_heap_t *heap)
{
  g_ptr_array_free (heap->nodes, TRUE);
}

static bool
before (const gp_task_heap_node_t *a, const gp_task_heap_node_t *b)
{
  return a->key != b->key ? a->key < b->key : a->task < b->task;
}

static gp_task_heap_node_t *
node_at (const gp_task_heap_t *heap, uint32_t position)
{
  return heap->nodes->pdata[position];
}

static void
set_node (gp_task_heap_t *heap, uint32_t position, gp_task_heap_node_t *node)
{
  heap->nodes->pdata[position] = node;
  node->position = position;
}

static void
sift_up (gp_task_heap_t *heap, gp_task_heap_node_t *node)
{
  uint32_t position = node->position;

  while (position > 0 && before (node, node_at (heap, (position - 1) / 2)))
    {
      set_node (heap, position, node_at (heap, (position - 1) / 2));
      position = (position - 1) / 2;
    }
  set_node (heap, position, node);
}

static void
sift_down (gp_task_heap_t *heap, gp_task_heap_node_t *node)
{
  uint32_t position = node->position;
  uint32_t child;

  while ((child = 2 * position + 1) < heap->nodes->len)
    {
      if (child + 1 < heap->nodes->len
          && before (node_at (heap, child + 1), node_at (heap, child)))
        child++;
      if (!before (node_at (heap, child), node))
        break;
      set_node (heap, position, node_at (heap, child));
      position = child;
    }
  set_node (heap, position, node);
}

void
gp_task_heap_push (gp_task_heap_t *heap, gp_task_heap_node_t *node)
{
  g_ptr_array_add (heap->nodes, node);
  node->position = heap->nodes->len - 1;
  sift_up (heap, node);
}

void
gp_task_heap_remove (gp_task_heap_t *heap, gp_task_heap_node_t *node)
{
  uint32_t position = node->position;
  gp_task_heap_node_t *last = node_at (heap, heap->nodes->len - 1);

  g_assert (node_at (heap, position) == node);
  g_ptr_array_set_size (heap->nodes, (gint)heap->nodes->len - 1);
  if (last == node)
    return;
  set_node (heap, position, last);
  sift_up (heap, last);
  sift_down (heap, last);
}

/* Intrusive pairing heap.

   No node sorts after any of its children.  Two trees are melded by making
   the root that sorts later the leftmost child of the other.  The children of
   a removed node are melded in pairs from left to right, and then the pairs
   from right to left, which gives the amortized bound.  No function recurses,
   so a long list of children needs no stack.  */

#include "base/heap.h"

void
gp_heap_init (gp_heap_t *heap, gp_heap_before_t before)
{
  heap->root = NULL;
  heap->before = before;
}

/* Make the root LOWER the leftmost child of the root UPPER.  */
static void
attach_child (gp_heap_node_t *upper, gp_heap_node_t *lower)
{
  lower->next = upper->child;
  if (lower->next != NULL)
    lower->next->prev = lower;
  lower->prev = upper;
  upper->child = lower;
}

/* Meld two trees, either of which may be NULL, and return the root.  */
static gp_heap_node_t *
meld (const gp_heap_t *heap, gp_heap_node_t *a, gp_heap_node_t *b)
{
  if (a == NULL)
    return b;
  if (b == NULL)
    return a;
  if (heap->before (b, a))
    {
      attach_child (b, a);
      return b;
    }
  attach_child (a, b);
  return a;
}

/* Meld FIRST and the siblings after it into one tree and return its root.  */
static gp_heap_node_t *
meld_siblings (const gp_heap_t *heap, gp_heap_node_t *first)
{
  gp_heap_node_t *melded_pairs = NULL;
  gp_heap_node_t *root = NULL;

  while (first != NULL)
    {
      gp_heap_node_t *second = first->next;
      gp_heap_node_t *rest = second != NULL ? second->next : NULL;
      gp_heap_node_t *pair;

      first->next = NULL;
      if (second != NULL)
        second->next = NULL;
      pair = meld (heap, first, second);
      pair->next = melded_pairs;
      melded_pairs = pair;
      first = rest;
    }
  while (melded_pairs != NULL)
    {
      gp_heap_node_t *rest = melded_pairs->next;

      melded_pairs->next = NULL;
      root = meld (heap, root, melded_pairs);
      melded_pairs = rest;
    }
  if (root != NULL)
    root->prev = NULL;
  return root;
}

void
gp_heap_insert (gp_heap_t *heap, gp_heap_node_t *node)
{
  *node = (gp_heap_node_t){ NULL, NULL, NULL };
  heap->root = meld (heap, heap->root, node);
}

/* Unlink NODE, with its children, from its parent and siblings.  */
static void
unlink_subtree (gp_heap_node_t *node)
{
  if (node->prev->child == node)
    node->prev->child = node->next;
  else
    node->prev->next = node->next;
  if (node->next != NULL)
    node->next->prev = node->prev;
}

void
gp_heap_remove (gp_heap_t *heap, gp_heap_node_t *node)
{
  gp_heap_node_t *children;

  if (node == heap->root)
    {
      heap->root = meld_siblings (heap, node->child);
    }
  else
    {
      unlink_subtree (node);
      children = meld_siblings (heap, node->child);
      heap->root = meld (heap, heap->root, children);
    }
  *node = (gp_heap_node_t){ NULL, NULL, NULL };
}

gp_heap_node_t *
gp_heap_pop (gp_heap_t *heap)
{
  gp_heap_node_t *node = heap->root;

  if (node != NULL)
    gp_heap_remove (heap, node);
  return node;
}

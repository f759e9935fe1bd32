/* Tests of the pairing heap against a linear search.  */

#include <glib.h>

#include "base/heap.h"
#include "base/list.h"
#include "runner.h"

enum
{
  ITEMS = 300,
  STEPS = 20000,
  SEEDS = 8,
  KEYS = 50 /* few, so that equal keys are frequent */
};

typedef struct
{
  gp_heap_node_t node;
  int key;
  bool in_heap;
} item_t;

static bool
item_before (const gp_heap_node_t *a, const gp_heap_node_t *b)
{
  return GP_CONTAINER_OF (a, item_t, node)->key
         < GP_CONTAINER_OF (b, item_t, node)->key;
}

/* Return the smallest key in the heap, or KEYS when it is empty.  */
static int
least_key (const item_t *items)
{
  int least = KEYS;

  for (int i = 0; i < ITEMS; i++)
    {
      if (items[i].in_heap && items[i].key < least)
        least = items[i].key;
    }
  return least;
}

static int
first_key (const gp_heap_t *heap)
{
  gp_heap_node_t *node = gp_heap_first (heap);

  return node == NULL ? KEYS : GP_CONTAINER_OF (node, item_t, node)->key;
}

static void
run_random (guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  item_t items[ITEMS] = { 0 };
  gp_heap_t heap;
  int n_wrong = 0;

  gp_heap_init (&heap, item_before);
  for (int step = 0; step < STEPS; step++)
    {
      item_t *item = &items[g_rand_int_range (random, 0, ITEMS)];

      if (g_rand_int_range (random, 0, 8) == 0 && !gp_heap_empty (&heap))
        item = GP_CONTAINER_OF (gp_heap_first (&heap), item_t, node);
      if (item->in_heap)
        gp_heap_remove (&heap, &item->node);
      else
        {
          item->key = g_rand_int_range (random, 0, KEYS);
          gp_heap_insert (&heap, &item->node);
        }
      item->in_heap = !item->in_heap;
      n_wrong += first_key (&heap) != least_key (items);
    }
  while (!gp_heap_empty (&heap))
    {
      int least = least_key (items);
      item_t *item = GP_CONTAINER_OF (gp_heap_pop (&heap), item_t, node);

      n_wrong += item->key != least;
      item->in_heap = false;
    }
  CU_ASSERT_EQUAL (n_wrong, 0);
  CU_ASSERT_EQUAL (least_key (items), KEYS);
  CU_ASSERT_PTR_NULL (gp_heap_pop (&heap));
  g_rand_free (random);
}

static void
test_differential (void)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    run_random (seed);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "differential", test_differential }, CU_TEST_INFO_NULL };

  return runner_main ("heap", tests);
}

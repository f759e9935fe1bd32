/* Tests of the queue of batches that go into one append.  */

#include <glib.h>
#include <stdio.h>

#include "jobs/append_batch.h"
#include "runner.h"

/* Guards against appends with batches out of order, above the limit of size,
   or of senders that do not wait any more; a batch above the limit goes alone.
 */
static void
test_queue (void)
{
  static const size_t sizes[]
      = { 100, 200, GP_APPEND_MAX_SIZE - 200, GP_APPEND_MAX_SIZE + 1, 50 };
  gp_append_batch_t batches[G_N_ELEMENTS (sizes)];
  gp_append_batch_t last;
  gp_append_queue_t queue;
  gp_list_t ended;
  gp_time_t now = GP_SEC;

  gp_append_queue_init (&queue);
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    CU_ASSERT_TRUE (gp_append_queue_add (&queue, &batches[i], sizes[i], 3));
  CU_ASSERT_FALSE (
      gp_append_queue_add (&queue, &last, 3 * GP_APPEND_MAX_SIZE, 1));
  gp_append_queue_remove (&queue, &batches[0]);
  printf ("appends of the queue\n");
  while (gp_append_queue_start (&queue, now))
    {
      CU_ASSERT_FALSE (gp_append_queue_start (&queue, now));
      for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
        if (batches[i].in_append && !gp_list_empty (&batches[i].link))
          {
            printf ("  batch %zu at %d", i, (int)batches[i].place);
            gp_append_queue_remove (&queue, &batches[i]);
          }
      printf (", given up after %d ms\n",
              (int)((gp_append_queue_deadline (&queue) - now) / GP_MSEC));
      now += 384 * GP_MSEC;
      gp_append_queue_end (&queue, GP_APPEND_DONE, now, &ended);
      now += 20 * GP_MSEC;
    }
  CU_ASSERT_EQUAL (queue.waiting_size, 0);
}

#define BATCHES 200

/* Differential run over random events, against a plain array in the order of
   arrival: each append has the oldest batches that fit, and the place of each
   is the number of records before it.  */
static void
test_queue_random (void)
{
  GRand *random = g_rand_new_with_seed (1);
  gp_append_batch_t batches[BATCHES];
  bool gone[BATCHES] = { false };
  gp_append_queue_t queue;
  gp_list_t ended;
  int first = 0; /* all before have been in an append, or are gone */
  int added = 0;

  gp_append_queue_init (&queue);
  for (gp_time_t now = 0; first < BATCHES; now += GP_MSEC)
    {
      int which = first + g_rand_int_range (random, 0, 5);
      size_t size = 0;
      uint64_t place = 0;

      if (added < BATCHES && g_rand_boolean (random)
          && gp_append_queue_add (&queue, &batches[added],
                                  (size_t)g_rand_int_range (random, 1, 100000),
                                  (unsigned)g_rand_int_range (random, 1, 9)))
        added++;
      if (which < added && !gone[which]
          && g_rand_int_range (random, 0, 9) == 0)
        {
          gp_append_queue_remove (&queue, &batches[which]);
          gone[which] = true;
        }
      if (queue.busy && g_rand_boolean (random))
        gp_append_queue_end (&queue, GP_APPEND_DONE, now, &ended);
      if (gp_append_queue_start (&queue, now))
        for (; first < added && (gone[first] || batches[first].in_append);
             first++)
          {
            if (gone[first])
              continue;
            CU_ASSERT_EQUAL (batches[first].place, place);
            place += batches[first].records;
            size += batches[first].size;
          }
      while (first < added && gone[first])
        first++;
      CU_ASSERT_TRUE (size <= GP_APPEND_MAX_SIZE);
      CU_ASSERT_FALSE (size > 0 && first < added
                       && size + batches[first].size <= GP_APPEND_MAX_SIZE);
      size = 0;
      for (int i = first; i < added; i++)
        size += gone[i] ? 0 : batches[i].size;
      CU_ASSERT_EQUAL (queue.waiting_size, size);
    }
  g_rand_free (random);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "queue", test_queue },
                                 { "queue_random", test_queue_random },
                                 CU_TEST_INFO_NULL };

  return runner_main ("append_queue", tests);
}

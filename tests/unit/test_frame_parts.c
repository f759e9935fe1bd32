/* Tests that messages which are too large for a frame go in several.  Guards
   against lost orders and leases: a frame that is too large is not sent, and
   the sender did not part it.  */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent_messages.h"
#include "jobs/frame_parts.h"
#include "protocol/message.h"
#include "runner.h"
#include "transport/peer.h"

#define CHECKPOINT_SIZE 4096
#define PARTS 3
#define PART_RUNS 4

static Gp__Jobs__Start *
large_start (unsigned index)
{
  char name[64];
  Gp__Jobs__Start *start;

  g_snprintf (name, sizeof name, "00000000000000aa.0.0.%u", index);
  start = agent_start_new (name, 1);
  start->checkpoint.data = calloc (1, CHECKPOINT_SIZE);
  start->checkpoint.len = CHECKPOINT_SIZE;
  return start;
}

/* The number of frames grows with the number of rows, and each is accepted by
   the receiver.  */
static void
test_frames (void)
{
  static const size_t counts[] = { 0, 1, 250, 260, 1000, 5000 };

  for (guint i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      Gp__Jobs__Start **starts = g_new0 (Gp__Jobs__Start *, counts[i] + 1);
      size_t done = 0;
      unsigned frames = 0;

      for (size_t k = 0; k < counts[i]; k++)
        starts[k] = large_start ((unsigned)k);
      while (done < counts[i])
        {
          Gp__Jobs__Orders orders = GP__JOBS__ORDERS__INIT;
          Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;
          size_t size;
          GBytes *bytes;

          orders.executor = (char *)"x1";
          size = gp__jobs__orders__get_packed_size (&orders);
          orders.starts = starts + done;
          orders.n_starts = gp_frame_rows_that_fit (
              (ProtobufCMessage **)orders.starts, counts[i] - done, &size);
          CU_ASSERT_FATAL (orders.n_starts > 0);
          done += orders.n_starts;
          frame.message_case = GP__JOBS__FRAME__MESSAGE_ORDERS;
          frame.orders = &orders;
          bytes = gp_message_pack (&frame.base);
          CU_ASSERT (g_bytes_get_size (bytes) <= GP_FRAME_MAX_SIZE);
          g_bytes_unref (bytes);
          frames++;
        }
      printf ("%zu starts with checkpoints of %d: %u frames\n", counts[i],
              CHECKPOINT_SIZE, frames);
      for (size_t k = 0; k < counts[i]; k++)
        gp__jobs__start__free_unpacked (starts[k], NULL);
      g_free (starts);
    }
}

/* Part PART of PARTS of sync NUMBER of the executor x1.  */
static void
sync_part (gp_agent_t *agent, uint64_t number, unsigned part)
{
  Gp__Jobs__Sync *sync = g_new (Gp__Jobs__Sync, 1);

  gp__jobs__sync__init (sync);
  sync->number = number;
  sync->executor = g_strdup ("x1");
  sync->starts = g_new (Gp__Jobs__Start *, PART_RUNS);
  for (unsigned i = 0; i < PART_RUNS; i++)
    sync->starts[sync->n_starts++] = large_start (part * PART_RUNS + i);
  sync->more = part + 1 < PARTS;
  gp_agent_sync (agent, sync);
  gp__jobs__sync__free_unpacked (sync, NULL);
}

/* Returns how many runs of AGENT are to be stopped.  */
static unsigned
count_stops (const gp_agent_t *agent)
{
  GHashTableIter iter;
  gpointer value;
  unsigned stops = 0;

  g_hash_table_iter_init (&iter, agent->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    stops += ((const gp_agent_run_t *)value)->stop_ordered;
  return stops;
}

/* A guard that starts anew finds all runs on its executor.  Guards against
   stopping those that another part of the sync names.  */
static void
test_sync (void)
{
  gp_agent_row_t rows[PARTS * PART_RUNS];
  char names[PARTS * PART_RUNS][GP_TASK_NAME_SIZE];
  gp_agent_t agent;

  gp_agent_init (&agent, 0, 0);
  gp_agent_set_executor (&agent, agent_executor_new ("x1"), 1000, 0);
  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_snprintf (names[i], sizeof names[i], "00000000000000aa.0.0.%u", i);
      rows[i] = (gp_agent_row_t){ .task = names[i], .run = 1 };
    }
  gp_agent_listed (&agent,
                   &(gp_agent_list_t){ .runs = rows,
                                       .run_count = G_N_ELEMENTS (rows),
                                       .clock_ms = 1000,
                                       .complete = true },
                   0);
  for (unsigned part = 0; part + 1 < PARTS; part++)
    {
      sync_part (&agent, 1, part);
      CU_ASSERT (!agent.is_synced);
    }
  sync_part (&agent, 1, PARTS - 1);
  CU_ASSERT (agent.is_synced);
  CU_ASSERT_EQUAL (g_hash_table_size (agent.runs), PARTS * PART_RUNS);
  CU_ASSERT_EQUAL (count_stops (&agent), 0);
  gp_agent_finish (&agent);
}

/* The connection breaks after a part: the parts of the next sync, which may
   have the same number from another leader, are not mixed with it.  */
static void
test_broken_sync (void)
{
  gp_agent_t agent;

  gp_agent_init (&agent, 0, 0);
  gp_agent_set_executor (&agent, agent_executor_new ("x1"), 1000, 0);
  sync_part (&agent, 1, 0);
  gp_agent_clear_sync (&agent);
  sync_part (&agent, 1, PARTS - 1);
  CU_ASSERT (agent.is_synced);
  CU_ASSERT_EQUAL (g_hash_table_size (agent.runs), PART_RUNS);
  sync_part (&agent, 2, 0);
  sync_part (&agent, 3, PARTS - 1);
  CU_ASSERT_EQUAL (agent.synced, 3);
  CU_ASSERT_EQUAL (agent.sync_starts->len, 0);
  gp_agent_finish (&agent);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "frames", test_frames },
                                 { "sync", test_sync },
                                 { "broken sync", test_broken_sync },
                                 CU_TEST_INFO_NULL };

  return runner_main ("frame parts", tests);
}

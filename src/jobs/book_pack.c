/* Packs the progress of a job's tasks into a record.

   A record that would be too large for the log names each executor once, and
   leaves out as many checkpoints as necessary.  */

#include "jobs/book.h"

#include <string.h>

#include "jobs/progress_compact.h"

/* Bytes of the tag of a row within a record.  */
#define ROW_TAG_SIZE 1
/* Bits of a number that are in each of its bytes, as protobuf encodes it.  */
#define VARINT_BITS 7

/* Returns whether TASK has a row in its job's record.  If the job has ended,
   only tasks that may still be running have one; otherwise those that are done
   and not running are only listed as done.  */
static bool
has_row (const gp_job_task_t *task, bool ended)
{
  if (ended || task->state == GP_TASK_DONE)
    return task->executor != NULL;
  return task->state != GP_TASK_WAITING || task->run != 0;
}

static void
pack_task (const gp_job_task_t *task, Gp__Jobs__TaskProgress *progress)
{
  gp__jobs__task_progress__init (progress);
  progress->index = task->index;
  progress->run = task->run;
  progress->failures = task->failures;
  progress->failed_run = task->failed_run;
  progress->crashes = task->crashes;
  progress->evidence = task->evidence;
  progress->alone = task->alone;
  progress->in_group = task->in_group;
  progress->stopping = task->state == GP_TASK_STOPPING;
  progress->done = task->state == GP_TASK_DONE;
  if (task->executor != NULL)
    progress->executor = task->executor->id;
  if (task->checkpoint != NULL)
    {
      progress->checkpoint.data = (uint8_t *)task->checkpoint;
      progress->checkpoint.len = strlen (task->checkpoint);
    }
}

/* A record that is being packed.  */
typedef struct
{
  Gp__Jobs__Progress message;
  Gp__Jobs__TaskProgress *rows; /* one for each task, used up to n_tasks */
  GPtrArray *executors;         /* names to which the rows refer, if they do */
} packing_t;

static void
packing_init (packing_t *packing, const gp_job_t *job)
{
  Gp__Jobs__Progress *message = &packing->message;
  bool ended = gp_job_ended (job);

  gp__jobs__progress__init (message);
  message->state = job->state;
  message->ended_wall_ms = job->ended_wall_ms;
  message->done = g_new (uint32_t, job->known_tasks);
  message->tasks = g_new (Gp__Jobs__TaskProgress *, job->known_tasks);
  packing->rows = g_new (Gp__Jobs__TaskProgress, job->known_tasks);
  packing->executors = g_ptr_array_new ();
  for (uint32_t i = 0; i < job->known_tasks; i++)
    if (has_row (&job->tasks[i], ended))
      {
        Gp__Jobs__TaskProgress *row = &packing->rows[message->n_tasks];

        pack_task (&job->tasks[i], row);
        message->tasks[message->n_tasks++] = row;
      }
    else if (job->tasks[i].state == GP_TASK_DONE && !ended)
      message->done[message->n_done++] = i;
}

static void
packing_finish (packing_t *packing)
{
  g_free (packing->message.done);
  g_free (packing->message.tasks);
  g_free (packing->rows);
  g_ptr_array_unref (packing->executors);
}

/* Returns how many bytes ROW takes in a record.  */
static size_t
row_size (const Gp__Jobs__TaskProgress *row)
{
  size_t size = gp__jobs__task_progress__get_packed_size (row);
  size_t length_size = 1;

  for (size_t rest = size >> VARINT_BITS; rest > 0; rest >>= VARINT_BITS)
    length_size++;
  return ROW_TAG_SIZE + length_size + size;
}

/* Returns by how many bytes a record grows if CHECKPOINT is added to ROW,
   which has none.  */
static size_t
checkpoint_size (Gp__Jobs__TaskProgress *row, ProtobufCBinaryData checkpoint)
{
  size_t before = row_size (row);
  size_t after;

  row->checkpoint = checkpoint;
  after = row_size (row);
  row->checkpoint.len = 0;
  return after - before;
}

/* Takes the checkpoints out of PACKING, whose rows refer to their executors,
   and puts those back that fit into LIMIT bytes beside the rest.  Returns the
   number of the others.  */
static unsigned
limit_checkpoints (packing_t *packing, size_t limit)
{
  size_t count = packing->message.n_tasks;
  ProtobufCBinaryData *checkpoints = g_new (ProtobufCBinaryData, count);
  unsigned left_out = 0;
  size_t size;
  GBytes *bytes;

  for (size_t i = 0; i < count; i++)
    {
      checkpoints[i] = packing->rows[i].checkpoint;
      packing->rows[i].checkpoint.len = 0;
    }
  bytes = gp_progress_pack (&packing->message);
  size = g_bytes_get_size (bytes);
  g_bytes_unref (bytes);
  for (size_t i = 0; i < count; i++)
    {
      Gp__Jobs__TaskProgress *row = &packing->rows[i];
      size_t added = checkpoint_size (row, checkpoints[i]);

      if (checkpoints[i].len == 0)
        continue;
      if (size + added > limit)
        {
          left_out++;
          continue;
        }
      size += added;
      row->checkpoint = checkpoints[i];
    }
  g_free (checkpoints);
  return left_out;
}

GBytes *
gp_book_pack_within (const gp_job_t *job, size_t limit, unsigned *left_out)
{
  packing_t packing;
  GBytes *bytes;

  packing_init (&packing, job);
  *left_out = 0;
  bytes = gp_progress_pack (&packing.message);
  if (g_bytes_get_size (bytes) > limit)
    {
      g_bytes_unref (bytes);
      gp_progress_share_executors (&packing.message, packing.executors);
      *left_out = limit_checkpoints (&packing, limit);
      bytes = gp_progress_pack (&packing.message);
    }
  packing_finish (&packing);
  return bytes;
}

GBytes *
gp_book_pack (const gp_job_t *job)
{
  unsigned left_out;

  return gp_book_pack_within (job, SIZE_MAX, &left_out);
}

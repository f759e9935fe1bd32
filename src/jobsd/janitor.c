/* Deletion of the records of jobs that ended long ago.  */

#include "jobsd/janitor.h"

#include "base/log.h"
#include "jobsd/jobs_api.h"

/* Number of scans of the book in the time for which ends are reported.  */
#define SCANS 8
#define DROP_TIMEOUT (2 * GP_SEC)
/* Limit of jobs in one append.  */
#define DROPS_MAX 500

static void
on_dropped (const gp_platform_store_answer_t *answer, void *data)
{
  gp_janitor_t *janitor = data;

  if (answer->result != GP_PLATFORM_STORE_DONE)
    gp_log (GP_LOG_INFO, "drop.failed", GP_LOG_S ("why", answer->reason));
  else
    for (guint i = 0; i < janitor->dropping->len; i++)
      {
        gp_job_t *job = gp_book_find (
            janitor->book, g_ptr_array_index (janitor->dropping, i));

        if (job != NULL)
          job->dropped = true;
      }
  g_ptr_array_set_size (janitor->dropping, 0);
}

/* Delete the submissions and cancellations of jobs that ended before WALL_MS
   and have no run left, whose resources only the submission tells, and
   cancellations that have had no submission since then.  Doing so twice is
   harmless.  */
static void
drop_submissions (gp_janitor_t *janitor, int64_t wall_ms)
{
  GByteArray *batch = g_byte_array_new ();
  GPtrArray *drops = janitor->dropping;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, janitor->book->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value)
         && drops->len < DROPS_MAX)
    {
      gp_job_t *job = value;
      char key[sizeof GP_CANCEL_PREFIX + GP_JOB_ID_SIZE];

      if (job->dropped || !gp_book_expired (job, wall_ms))
        continue;
      g_ptr_array_add (drops, g_strdup (job->id));
      gp_platform_store_batch_add (batch, job->id, NULL, 0);
      g_snprintf (key, sizeof key, GP_CANCEL_PREFIX "%s", job->id);
      if (job->cancelled)
        gp_platform_store_batch_add (batch, key, NULL, 0);
    }
  if (drops->len > 0)
    {
      gp_log (GP_LOG_INFO, "jobs.dropped", GP_LOG_I ("jobs", drops->len));
      gp_platform_store_append (janitor->store, GP_TOPIC_JOBS, batch,
                                GP_PLATFORM_STORE_UNCONDITIONAL,
                                gp_loop_now (janitor->loop) + DROP_TIMEOUT,
                                on_dropped, janitor);
    }
  g_byte_array_unref (batch);
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_janitor_t *janitor = data;
  int64_t wall_ms = gp_time_wall_ms ();
  gp_time_t pause = janitor->retention_ms * GP_MSEC / SCANS;

  gp_timer_arm (&janitor->timer, gp_loop_now (janitor->loop) + pause);
  /* Orders refer to tasks until they are sent.  */
  if (janitor->leader->scheduler.orders->len == 0)
    gp_book_forget_ended_tasks (janitor->book);
  gp_book_note_undefined (janitor->book, wall_ms);
  if (janitor->leader->role == GP_LEADER_LEADING)
    {
      if (janitor->dropping->len == 0)
        drop_submissions (janitor, wall_ms - janitor->retention_ms * 3 / 2);
      gp_leader_drop_progress (janitor->leader,
                               wall_ms - janitor->retention_ms * 2);
    }
  else
    gp_book_expire (janitor->book, wall_ms - janitor->retention_ms * 2);
}

void
gp_janitor_init (gp_janitor_t *janitor, gp_loop_t *loop,
                 gp_platform_store_t *store, gp_book_t *book,
                 gp_leader_t *leader, gp_time_t keep)
{
  *janitor
      = (gp_janitor_t){ .loop = loop,
                        .store = store,
                        .book = book,
                        .leader = leader,
                        .retention_ms = keep / GP_MSEC,
                        .dropping = g_ptr_array_new_with_free_func (g_free) };
  gp_timer_init (&janitor->timer, loop, on_timer, janitor);
  gp_timer_arm (&janitor->timer, gp_loop_now (loop) + keep / SCANS);
}

void
gp_janitor_finish (gp_janitor_t *janitor)
{
  gp_timer_finish (&janitor->timer);
  g_ptr_array_unref (janitor->dropping);
}

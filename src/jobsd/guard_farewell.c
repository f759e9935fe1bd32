/* Goodbyes of the executor on a guard's VM.

   An executor sends its goodbye as the last thing before it ends, and all that
   ran on it ends with it, also what it has not listed.  The leader is told, so
   that those runs go on elsewhere at once.  Without that they would wait for
   the lease to run out, and where the VM is stopped meanwhile, for those of
   former leaders.

   A goodbye alone proves nothing yet: its sender may be about to end, or be
   somebody else.  It counts once nobody listens at the executor's address.  */

#include "jobsd/guard_private.h"

#include <string.h>

#include "base/log.h"

/* Between two questions whether the executor is still there.  */
#define ASK_TIME (50 * GP_MSEC)
/* An executor that is still there after this stays: "some seconds" are known
   between a planned end and the end.  */
#define FAREWELL_TIME (10 * GP_SEC)

static void
end_farewell (gp_farewell_t *farewell)
{
  g_clear_pointer (&farewell->executor, g_free);
  gp_timer_disarm (&farewell->ask);
}

/* A question to an executor, whose life may not be the current one any more
   when the answer comes.  */
typedef struct
{
  gp_job_guard_t *guard;
  uint64_t life;
} question_t;

static void ask (gp_job_guard_t *guard);

static void
take_answer (gp_job_guard_t *guard, gp_agent_result_t result)
{
  gp_farewell_t *farewell = &guard->farewell;
  gp_time_t now = gp_loop_now (&guard->loop);

  if (farewell->life != guard->agent.incarnation_number)
    end_farewell (farewell);
  else if (result == GP_AGENT_CONNECTION_REFUSED
           || result == GP_AGENT_REPLACED)
    {
      end_farewell (farewell);
      gp_agent_executor_ended (&guard->agent);
      guard->end_known = false;
      guard->ended_at = guard->report_sent_at;
      gp_guard_send_report (guard);
    }
  else if (now < farewell->until)
    gp_timer_arm (&farewell->ask, now + ASK_TIME);
  else
    {
      gp_log (GP_LOG_WARNING, "executor.stays",
              GP_LOG_S ("executor", farewell->executor));
      end_farewell (farewell);
      gp_guard_leave_if_done (guard);
    }
}

static void
on_asked (const gp_runtime_list_t *list, void *data)
{
  question_t *question = data;
  gp_job_guard_t *guard = question->guard;

  guard->farewell.asking = false;
  if (guard->farewell.executor != NULL)
    {
      if (guard->farewell.life == question->life)
        take_answer (guard, list->result);
      else
        ask (guard);
    }
  g_free (question);
}

static void
ask (gp_job_guard_t *guard)
{
  gp_farewell_t *farewell = &guard->farewell;
  question_t *question;
  /* The lowest fence: an executor that is there refuses it, and is known by
     that.  */
  const gp_runtime_order_t order
      = { .executor = farewell->executor,
          .deadline = gp_loop_now (&guard->loop) + GP_GUARD_ORDER_TIME };

  if (farewell->asking)
    return;
  farewell->asking = true;
  question = g_new (question_t, 1);
  *question = (question_t){ guard, farewell->life };
  gp_platform_runtime_identify (guard->runtime, &order, on_asked, question);
}

static void
on_ask_due (gp_timer_t *timer, void *data)
{
  ask (data);
}

void
gp_guard_farewell_init (gp_job_guard_t *guard)
{
  gp_timer_init (&guard->farewell.ask, &guard->loop, on_ask_due, guard);
}

void
gp_guard_farewell_finish (gp_job_guard_t *guard)
{
  end_farewell (&guard->farewell);
  gp_timer_finish (&guard->farewell.ask);
}

void
gp_guard_goodbye (gp_job_guard_t *guard, const char *id, gp_http_text_t body)
{
  gp_farewell_t *farewell = &guard->farewell;
  int64_t born_ms = gp_platform_goodbye_born (body.base, body.size);
  bool known = gp_guard_executor_is (guard, id)
               && (born_ms == 0 || born_ms == guard->agent.executor->born_ms);

  gp_log (GP_LOG_INFO, "executor.left", GP_LOG_S ("executor", id),
          GP_LOG_I ("known", known), GP_LOG_I ("born_ms", born_ms),
          GP_LOG_I ("runs", g_hash_table_size (guard->agent.runs)));
  if (!known)
    return;
  g_free (farewell->executor);
  farewell->executor = g_strdup (id);
  farewell->life = guard->agent.incarnation_number;
  farewell->until = gp_loop_now (&guard->loop) + FAREWELL_TIME;
  ask (guard);
}

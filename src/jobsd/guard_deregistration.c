/* Deregistration of the executor on a guard's VM.

   An executor deregisters as the last thing before it ends, and everything
   that runs on it ends with it, including what it has not listed.  This is
   reported to the leader, so that these runs continue elsewhere at once.
   Otherwise they would wait for the lease to expire and, if the VM is stopped
   in the meantime, for the leases of previous leaders.

   A deregistration by itself proves nothing: its sender may only be about to
   end, or be another process.  It counts once nothing listens at the
   executor's address any more.  */

#include "jobsd/guard_private.h"

#include <string.h>

#include "base/log.h"

/* Interval between two checks whether the executor is still there.  */
#define CHECK_INTERVAL (50 * GP_MSEC)
/* An executor that is still there after this time has not ended: a planned end
   is known to take "some seconds".  */
#define DEREGISTRATION_TIMEOUT (10 * GP_SEC)

static void
end_deregistration (gp_deregistration_t *deregistration)
{
  g_clear_pointer (&deregistration->executor, g_free);
  gp_timer_disarm (&deregistration->timer);
}

/* A check whether an executor is still there.  Its incarnation may not be the
   current one any more when the answer arrives.  */
typedef struct
{
  gp_job_guard_t *guard;
  uint64_t incarnation;
} check_t;

static void check_presence (gp_job_guard_t *guard);

static void
apply_answer (gp_job_guard_t *guard, gp_agent_result_t result)
{
  gp_deregistration_t *deregistration = &guard->deregistration;
  gp_time_t now = gp_loop_now (&guard->loop);

  if (deregistration->incarnation != guard->agent.incarnation_number)
    {
      end_deregistration (deregistration);
      gp_guard_stop_if_done (guard);
    }
  else if (result == GP_AGENT_CONNECTION_REFUSED
           || result == GP_AGENT_REPLACED)
    {
      end_deregistration (deregistration);
      gp_agent_executor_ended (&guard->agent);
      gp_guard_send_report (guard);
    }
  else if (now < deregistration->until)
    gp_timer_arm (&deregistration->timer, now + CHECK_INTERVAL);
  else
    {
      gp_log (GP_LOG_WARNING, "executor.stays",
              GP_LOG_S ("executor", deregistration->executor));
      end_deregistration (deregistration);
      gp_guard_stop_if_done (guard);
    }
}

static void
on_checked (const gp_runtime_list_answer_t *answer, void *data)
{
  check_t *check = data;
  gp_job_guard_t *guard = check->guard;

  guard->deregistration.checking = false;
  if (guard->deregistration.executor != NULL)
    {
      if (guard->deregistration.incarnation == check->incarnation)
        apply_answer (guard, answer->result);
      else
        check_presence (guard);
    }
  g_free (check);
}

static void
check_presence (gp_job_guard_t *guard)
{
  gp_deregistration_t *deregistration = &guard->deregistration;
  check_t *check;
  /* The fence is left at its lowest value: an executor that is there refuses
     the call, and that refusal shows that it is there.  */
  const gp_runtime_order_t order
      = { .executor = deregistration->executor,
          .deadline = gp_loop_now (&guard->loop) + GP_GUARD_ORDER_TIMEOUT };

  if (deregistration->checking)
    return;
  deregistration->checking = true;
  check = g_new (check_t, 1);
  *check = (check_t){ guard, deregistration->incarnation };
  gp_platform_runtime_identify (guard->runtime, &order, on_checked, check);
}

static void
on_check_due (gp_timer_t *timer, void *data)
{
  check_presence (data);
}

void
gp_guard_deregistration_init (gp_job_guard_t *guard)
{
  gp_timer_init (&guard->deregistration.timer, &guard->loop, on_check_due,
                 guard);
}

void
gp_guard_deregistration_finish (gp_job_guard_t *guard)
{
  end_deregistration (&guard->deregistration);
  gp_timer_finish (&guard->deregistration.timer);
}

void
gp_guard_deregister (gp_job_guard_t *guard, const char *id,
                     gp_http_text_t body)
{
  gp_deregistration_t *deregistration = &guard->deregistration;
  int64_t born_ms = gp_platform_deregistration_born (body.base, body.size);
  bool known = gp_guard_executor_is (guard, id)
               && (born_ms == 0 || born_ms == guard->agent.executor->born_ms);

  gp_log (GP_LOG_INFO, "executor.left", GP_LOG_S ("executor", id),
          GP_LOG_I ("known", known), GP_LOG_I ("born_ms", born_ms),
          GP_LOG_I ("runs", g_hash_table_size (guard->agent.runs)));
  if (!known)
    return;
  g_free (deregistration->executor);
  deregistration->executor = g_strdup (id);
  deregistration->incarnation = guard->agent.incarnation_number;
  deregistration->until = gp_loop_now (&guard->loop) + DEREGISTRATION_TIMEOUT;
  check_presence (guard);
}

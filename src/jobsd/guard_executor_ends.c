/* Ends of executors that only this guard can tell, until they are on record.

   That a leader has received a report is not enough: it acknowledges reports
   for a while after it has lost the store, and the next leader then knows
   nothing of what only they told.  A guard that stopped for good in between
   would leave the runs waiting for the leases of the earlier leader.  */

#include "jobsd/guard_private.h"

#include "base/log.h"

/* Returns whether the executor of this VM has ended, lost its lease or given
   way to another incarnation since it was last looked at.  */
static bool
has_new_end (gp_job_guard_t *guard, gp_time_t now)
{
  gp_agent_t *agent = &guard->agent;
  gp_guard_executor_ends_t *ends = &guard->executor_ends;
  bool lapsed = gp_agent_lease_lapsed (agent, now);
  bool replaced = agent->incarnation_number != ends->incarnation;
  bool found = (replaced && agent->predecessor != NULL)
               || (agent->ended && (replaced || !ends->ended))
               || (lapsed && (replaced || !ends->lapsed));

  ends->incarnation = agent->incarnation_number;
  ends->ended = agent->ended;
  ends->lapsed = lapsed;
  return found;
}

void
gp_guard_note_executor_ends (gp_job_guard_t *guard)
{
  gp_time_t now = gp_loop_now (&guard->loop);

  /* Later than all reports so far, of which each has its own send time.  */
  if (has_new_end (guard, now))
    guard->executor_ends.since = MAX (now, guard->report_sent_at + 1);
}

void
gp_guard_reports_recorded (gp_job_guard_t *guard, gp_time_t sent_at)
{
  if (guard->executor_ends.since == 0 || sent_at < guard->executor_ends.since)
    return;
  gp_log (GP_LOG_INFO, "executor.end_recorded",
          GP_LOG_I ("epoch", guard->epoch),
          GP_LOG_I ("after_ms",
                    (gp_loop_now (&guard->loop) - guard->executor_ends.since)
                        / GP_MSEC));
  guard->executor_ends.since = 0;
  gp_guard_stop_if_done (guard);
}

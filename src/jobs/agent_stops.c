/* Guard: checks stops that were confirmed against the executor's lists.  */

#include "jobs/agent_private.h"

#include "base/counters.h"
#include "base/log.h"

static gp_counter_t void_stops_count = GP_COUNTER (
    "guard_stops_void_total", "Confirmed stops of runs that are listed later");

void
gp_agent_register_stop_counters (void)
{
  gp_counter_register (&void_stops_count);
}

/* Returns whether RUN, which is on a list, is still wanted, and no stop of it
   was taken.  The leader has not been told of anything yet.  */
static bool
goes_on (const gp_agent_run_t *run)
{
  if (run->stop_ordered || run->start == NULL || run->in_flight)
    return false;
  return run->phase == GP_RUN_STOPPING
         || (run->phase == GP_RUN_STOPPED && run->stop_refused);
}

static void
resume (const gp_agent_t *agent, gp_agent_run_t *run, gp_time_t now)
{
  run->phase = GP_RUN_STARTED;
  run->confirmed_at = now;
  gp_log (GP_LOG_INFO, "run.goes_on", GP_LOG_S ("task", run->name),
          GP_LOG_I ("run", run->run),
          GP_LOG_S ("executor", agent->executor->id));
}

static void
repeat_stop (const gp_agent_t *agent, gp_agent_run_t *run, gp_time_t now)
{
  run->phase = GP_RUN_STOPPING;
  run->retry_at = now;
  gp_counter_add (&void_stops_count, 1);
  gp_log (GP_LOG_WARNING, "run.outlives_stop", GP_LOG_S ("task", run->name),
          GP_LOG_I ("run", run->run),
          GP_LOG_S ("executor", agent->executor->id),
          GP_LOG_I ("confirmed_ms_ago", (now - run->confirmed_at) / GP_MSEC));
}

/* Returns whether RUN, which is on a list that was requested at SENT_AT, would
   not be there if its stop had taken effect.  */
static bool
outlives_stop (const gp_agent_run_t *run, gp_time_t sent_at)
{
  switch (run->phase)
    {
    case GP_RUN_STARTING:
    case GP_RUN_STARTED:
    case GP_RUN_STOPPING:
      return false;
    case GP_RUN_STOPPED:
      return sent_at >= run->gone_by;
    case GP_RUN_ABSENT:
      return true;
    }
  return false;
}

void
gp_agent_check_stop (const gp_agent_t *agent, gp_agent_run_t *run,
                     gp_time_t sent_at, gp_time_t now)
{
  if (goes_on (run))
    resume (agent, run, now);
  else if (outlives_stop (run, sent_at))
    repeat_stop (agent, run, now);
}

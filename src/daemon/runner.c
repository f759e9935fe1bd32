/* The runner: tasks on a guard's worker.  */

#include "daemon/runner.h"

struct gp_runner
{
  gp_session_host_t *host;
  gp_timer_t timer;
  void (*on_drained) (void *data);
  void *drained_data;
};

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_runner_t *runner = data;

  (void)timer;
  runner->on_drained (runner->drained_data);
}

gp_runner_t *
gp_runner_new (gp_session_host_t *host, const gp_settings_t *settings,
               uint64_t incarnation, GRand *rand, gp_timeline_t *timeline,
               void (*on_renewed) (void *data), void *data, GError **error)
{
  gp_runner_t *runner = g_new0 (gp_runner_t, 1);

  (void)settings, (void)incarnation, (void)rand, (void)timeline;
  (void)on_renewed, (void)data, (void)error;
  runner->host = host;
  gp_timer_init (&runner->timer, host->loop, on_timer, runner);
  return runner;
}

void
gp_runner_free (gp_runner_t *runner)
{
  gp_timer_finish (&runner->timer);
  g_free (runner);
}

void
gp_runner_fill_announce (gp_runner_t *runner, Gp__Wire__Announce *announce)
{
  (void)runner, (void)announce;
}

void
gp_runner_on_ready (gp_runner_t *runner, gp_session_t *session)
{
  (void)runner, (void)session;
}

void
gp_runner_fill_heartbeat (gp_runner_t *runner, Gp__Wire__Heartbeat *heartbeat)
{
  (void)runner, (void)heartbeat;
}

void
gp_runner_on_message (gp_runner_t *runner, gp_session_t *session,
                      const Gp__Wire__Envelope *envelope)
{
  (void)runner, (void)session, (void)envelope;
}

void
gp_runner_leave (gp_runner_t *runner, gp_time_t deadline,
                 void (*on_drained) (void *data), void *data)
{
  (void)deadline;
  runner->on_drained = on_drained;
  runner->drained_data = data;
  gp_timer_arm (&runner->timer, gp_loop_now (runner->host->loop));
}

/* Logging the bytes transferred, by purpose, at regular intervals.  */

#include "jobsd/traffic_reporter.h"

#include "transport/traffic.h"

/* Interval between two lines: every ten seconds the log shows which traffic
   uses the link, at a cost of about forty bytes of log per second.  */
#define REPORT_INTERVAL (10 * GP_SEC)

static void
on_due (gp_timer_t *timer, void *data)
{
  gp_traffic_reporter_t *reporter = data;

  gp_traffic_log ();
  gp_timer_arm (&reporter->timer,
                gp_loop_now (reporter->loop) + REPORT_INTERVAL);
}

void
gp_traffic_reporter_init (gp_traffic_reporter_t *reporter, gp_loop_t *loop)
{
  reporter->loop = loop;
  gp_timer_init (&reporter->timer, loop, on_due, reporter);
  gp_timer_arm (&reporter->timer, gp_loop_now (loop) + REPORT_INTERVAL);
}

void
gp_traffic_reporter_finish (gp_traffic_reporter_t *reporter)
{
  gp_timer_finish (&reporter->timer);
}

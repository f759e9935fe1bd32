/* Logging the bytes transferred, by purpose, at regular intervals.  */

#include "jobsd/traffic_reporter.h"

#include "transport/traffic.h"

/* Interval between two lines: any ten seconds of a log show what fills a link,
   at a cost of some forty bytes of log a second.  */
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

/* Logging the bytes transferred, by purpose, at regular intervals.  */

#ifndef GP_JOBSD_TRAFFIC_REPORTER_H
#define GP_JOBSD_TRAFFIC_REPORTER_H

#include "transport/loop.h"

typedef struct
{
  gp_loop_t *loop;
  gp_timer_t timer;
} gp_traffic_reporter_t;

void gp_traffic_reporter_init (gp_traffic_reporter_t *reporter,
                               gp_loop_t *loop);
void gp_traffic_reporter_finish (gp_traffic_reporter_t *reporter);

#endif

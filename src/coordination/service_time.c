/* Running estimate of the duration of one kind of work.  */

#include "coordination/service_time.h"

enum
{
  MEAN_WEIGHT = 16,     /* one sample moves the mean by 1/16 of the error */
  DEVIATION_WEIGHT = 4, /* and the deviation by 1/4 of its error */
  HIGH_DEVIATIONS = 2   /* gp_service_time_high, in deviations */
};

void
gp_service_time_init (gp_service_time_t *time, gp_time_t declared)
{
  time->mean = declared;
  time->deviation = 0;
  time->measured = false;
}

void
gp_service_time_add (gp_service_time_t *time, gp_time_t duration)
{
  gp_time_t error;

  if (!time->measured)
    {
      time->measured = true;
      time->mean = duration;
      time->deviation = duration / 2;
      return;
    }
  error = duration - time->mean;
  time->mean += error / MEAN_WEIGHT;
  error = error < 0 ? -error : error;
  time->deviation += (error - time->deviation) / DEVIATION_WEIGHT;
}

gp_time_t
gp_service_time_high (const gp_service_time_t *time)
{
  return time->mean + HIGH_DEVIATIONS * time->deviation;
}

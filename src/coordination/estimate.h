/* Estimates of the resource usage and run time of a kind of task, learned
   from observed tasks.

   Declared sizes are often far off.  Each quantity has a histogram of 128
   buckets, four per octave, so that a quantile is accurate to within a
   quarter of its value.  Counts are halved when their total reaches a
   bound, which gives newer tasks more weight.  Until enough tasks have
   been observed the declared values are used.  */

#ifndef GP_COORDINATION_ESTIMATE_H
#define GP_COORDINATION_ESTIMATE_H

#include <stdint.h>

#include "base/time.h"
#include "coordination/resources.h"

#define GP_ESTIMATE_BUCKETS 128
#define GP_ESTIMATE_MIN_SAMPLES 8 /* with fewer, declared values are used */
#define GP_ESTIMATE_RESERVED_QUANTILE 0.95
#define GP_ESTIMATE_EXPECTED_QUANTILE 0.5
#define GP_ESTIMATE_LATEST_START_QUANTILE 0.9

/* Histogram with a logarithmic scale for values from 1 to 2^32.  */
typedef struct
{
  uint16_t counts[GP_ESTIMATE_BUCKETS];
  uint32_t total;
} gp_estimate_histogram_t;

void gp_estimate_histogram_add (gp_estimate_histogram_t *histogram,
                                uint64_t value);
/* Returns the upper bound of the bucket that contains quantile Q; 0 if the
   histogram is empty.  */
uint64_t
gp_estimate_histogram_quantile (const gp_estimate_histogram_t *histogram,
                                double q);

typedef struct
{
  gp_estimate_histogram_t millicores;
  gp_estimate_histogram_t memory_mib;
  gp_estimate_histogram_t run_time_ms;
} gp_estimate_t;

void gp_estimate_init (gp_estimate_t *estimate);

/* Adds the peak usage of one task.  */
void gp_estimate_observe_use (gp_estimate_t *estimate,
                              const gp_resources_t *peak);
/* Adds the run time of one completed task, excluding throttled and paused
   time.  */
void gp_estimate_observe_run (gp_estimate_t *estimate, gp_time_t run_time);

/* Returns the resources to reserve: for processors and memory, the maximum
   of DECLARED and the learned high quantile.  The learned value is limited
   to MOST, the capacity of the largest worker, so that learning alone
   cannot make a task unplaceable.  Accelerators are as declared.  */
gp_resources_t gp_estimate_reservation (const gp_estimate_t *estimate,
                                        const gp_resources_t *declared,
                                        const gp_resources_t *most);

/* Returns the new reservation of a running task that was observed to USE
   more than it RESERVED; equals RESERVED if it did not.  */
gp_resources_t gp_estimate_raise (const gp_resources_t *reserved,
                                  const gp_resources_t *use);

/* Returns the run time at quantile Q, or DECLARED if too few tasks have
   ended.  */
gp_time_t gp_estimate_run_time (const gp_estimate_t *estimate, double q,
                                gp_time_t declared);

/* Returns the latest time at which a task with DEADLINE should start.  */
gp_time_t gp_estimate_latest_start (const gp_estimate_t *estimate,
                                    gp_time_t deadline, gp_time_t declared);

#endif

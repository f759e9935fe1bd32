/* Sizes and run times of a kind of task, learned from what was observed.

   Declared sizes are often far off.  Each quantity has a histogram of 128
   classes, four an octave, so a quantile is known to within a quarter; counts
   are halved when they reach a bound, so that newer tasks weigh more.  Before
   enough tasks were seen the declared values stand.  */

#ifndef GP_COORDINATION_ESTIMATE_H
#define GP_COORDINATION_ESTIMATE_H

#include <stdint.h>

#include "base/time.h"
#include "coordination/resources.h"

#define GP_ESTIMATE_CLASSES 128
#define GP_ESTIMATE_ENOUGH 8 /* observations, before they are believed */
#define GP_ESTIMATE_RESERVED 0.95
#define GP_ESTIMATE_EXPECTED 0.5
#define GP_ESTIMATE_CAUTIOUS 0.9 /* for the latest start of a deadline */

/* A histogram on a logarithmic scale of values from 1 to 2^32.  */
typedef struct
{
  uint16_t counts[GP_ESTIMATE_CLASSES];
  uint32_t total;
} gp_estimate_histogram_t;

void gp_estimate_histogram_add (gp_estimate_histogram_t *histogram,
                                uint64_t value);
/* The upper edge of the class that holds quantile Q; 0 without values.  */
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

/* Learn from the peak use of one task.  */
void gp_estimate_observe_use (gp_estimate_t *estimate,
                              const gp_resources_t *peak);
/* Learn from a task that ran to its end in RUN_TIME, throttling and pauses
   excluded.  */
void gp_estimate_observe_run (gp_estimate_t *estimate, gp_time_t run_time);

/* What to reserve: for processors and memory the greater of DECLARED and the
   learned high quantile, which is kept within MOST, the largest worker, so
   that learning alone makes no task unplaceable.  Accelerators are whole and
   stay as declared.  */
gp_resources_t gp_estimate_reservation (const gp_estimate_t *estimate,
                                        const gp_resources_t *declared,
                                        const gp_resources_t *most);

/* What to reserve from now on for a running task that was seen to USE more
   than it RESERVED; equal to RESERVED when it was not.  */
gp_resources_t gp_estimate_raise (const gp_resources_t *reserved,
                                  const gp_resources_t *use);

/* The run time at quantile Q, or DECLARED before enough tasks ended.  */
gp_time_t gp_estimate_run_time (const gp_estimate_t *estimate, double q,
                                gp_time_t declared);

/* The last point at which a task with DEADLINE should start.  */
gp_time_t gp_estimate_latest_start (const gp_estimate_t *estimate,
                                    gp_time_t deadline, gp_time_t declared);

#endif

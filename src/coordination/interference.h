/* Online estimate of how much tasks slow down the services on the same
   worker.

   For each service, the ratio of tail latency to target is modelled as a
   linear function of the service's load and of the number of tasks of each
   kind on the worker.  The task counts are weighted by one plus the load,
   because a busy service suffers more from the same neighbour.  The
   coefficients are estimated by recursive least squares in Kalman form:
   the prior regularises the estimate, a random walk lets old data decay,
   no slope becomes less certain than its prior, and outliers are clipped.

   The harm of a placement is the increase of the expected excess of the
   ratio over a knee below the target, for a normal distribution with the
   mean and variance of the estimate.  A high mean and an unknown slope
   therefore both count, and neither counts where the ratio is far below
   the knee.  */

#ifndef GP_COORDINATION_INTERFERENCE_H
#define GP_COORDINATION_INTERFERENCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "coordination/fleet.h"
#include "coordination/residency.h"

typedef struct
{
  double slope_mean; /* prior effect of one task on the ratio */
  double slope_deviation;
  double base_mean; /* prior ratio of a service without tasks on its worker */
  double base_deviation;
  double noise_deviation; /* initial value, for one measurement */
  double drift;           /* fraction of the prior variance added per hour */
  double knee;            /* ratio above which latency counts as harm */
} gp_interference_settings_t;

#define GP_INTERFERENCE_DEFAULTS                                              \
  ((gp_interference_settings_t){ .slope_mean = 0.02,                          \
                                 .slope_deviation = 0.05,                     \
                                 .base_mean = 0.5,                            \
                                 .base_deviation = 0.3,                       \
                                 .noise_deviation = 0.2,                      \
                                 .drift = 0.02,                               \
                                 .knee = 0.85 })

typedef struct gp_interference_model gp_interference_model_t;

typedef struct
{
  gp_interference_settings_t settings;
  GPtrArray *models;     /* by service; NULL before its first measurement */
  uint64_t measurements; /* used to update a model */
  uint64_t too_old; /* dropped because the residency does not reach back far
                       enough */
} gp_interference_t;

void gp_interference_init (gp_interference_t *interference,
                           const gp_interference_settings_t *settings);
void gp_interference_finish (gp_interference_t *interference);

/* Updates the model of SERVICE with a measurement of RATIO = p99 / target
   at LOAD (0 to 1), taken from FROM to TO on the worker of RESIDENCY.
   Returns false if RESIDENCY does not reach back to FROM.  */
bool gp_interference_measure (gp_interference_t *interference,
                              uint16_t service, double load,
                              const gp_residency_t *residency, gp_time_t from,
                              gp_time_t to, double ratio);

/* Estimate of a slope or ratio, with its standard deviation.  */
typedef struct
{
  double mean;
  double deviation;
} gp_interference_estimate_t;

/* Returns the estimated increase of the ratio of SERVICE, when it is idle,
   caused by one task of KIND.  */
gp_interference_estimate_t
gp_interference_slope (const gp_interference_t *interference, uint16_t service,
                       uint16_t kind);

/* Returns the expected ratio on WORKER with its present tasks and load.  */
gp_interference_estimate_t
gp_interference_predict (const gp_interference_t *interference,
                         const gp_worker_t *worker);

/* Returns the expected harm of adding a task of KIND to WORKER; 0 for a
   worker without a service.  */
double gp_interference_harm (const gp_interference_t *interference,
                             const gp_worker_t *worker, uint16_t kind);

#endif

/* How much tasks slow down the services beside them, learned online.

   For each service the tail latency, as a ratio to its target, is a linear
   function of the service's load and of the number of tasks of each kind
   that were on the worker, each weighed by one plus the load, since a busy
   service suffers more from the same neighbour.  The slopes are estimated by
   recursive least squares in Kalman form: the prior regularises, a random
   walk forgets, no slope becomes less certain than the prior, and outliers
   are clipped.

   The harm of a placement is the rise of the expected excess of the ratio
   over a knee below the target, under a normal distribution with the
   estimate's mean and variance.  So both a high mean and an unknown slope
   count, and neither counts where there is room.  */

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
  double slope_mean; /* of one task on the ratio, before it is known */
  double slope_deviation;
  double base_mean; /* ratio of a service alone */
  double base_deviation;
  double noise_deviation; /* of one measurement, to begin with */
  double drift;           /* part of the prior variance regained an hour */
  double knee;            /* ratio from which latency counts as harm */
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
  GPtrArray *models;     /* by service, NULL before its first measurement */
  uint64_t measurements; /* taken in */
  uint64_t too_old;      /* dropped: the residency does not reach back */
} gp_interference_t;

void gp_interference_init (gp_interference_t *interference,
                           const gp_interference_settings_t *settings);
void gp_interference_finish (gp_interference_t *interference);

/* Learn from a measurement of SERVICE, RATIO = p99 / target at LOAD (0 to 1),
   over the time FROM to TO on the worker of RESIDENCY; false when that does
   not reach back to FROM.  */
bool gp_interference_measure (gp_interference_t *interference,
                              uint16_t service, double load,
                              const gp_residency_t *residency, gp_time_t from,
                              gp_time_t to, double ratio);

/* A slope or ratio with its standard deviation.  */
typedef struct
{
  double mean;
  double deviation;
} gp_interference_estimate_t;

/* What one task of KIND adds to the ratio of SERVICE when it is idle.  */
gp_interference_estimate_t
gp_interference_slope (const gp_interference_t *interference, uint16_t service,
                       uint16_t kind);

/* The ratio to be expected on WORKER as it is.  */
gp_interference_estimate_t
gp_interference_predict (const gp_interference_t *interference,
                         const gp_worker_t *worker);

/* The expected harm of one more task of KIND on WORKER; 0 on a worker
   without a service.  */
double gp_interference_harm (const gp_interference_t *interference,
                             const gp_worker_t *worker, uint16_t kind);

#endif

/* A small site for the tests of placement decisions.  */

#ifndef GP_TESTS_POLICY_SITE_H
#define GP_TESTS_POLICY_SITE_H

#include "coordination/placement.h"

/* A fleet of workers with its spread and placement.  */
typedef struct
{
  gp_fleet_t fleet;
  gp_spread_t spread;
  gp_placement_t placement;
  gp_worker_t *workers;
  unsigned int n_workers;
} policy_site_t;

/* Sets up N equal workers of CAPACITY, three to a rack, assigned to ZONES
   zones in turn.  */
void policy_site_init (policy_site_t *site, unsigned int n, uint32_t zones,
                       const gp_resources_t *capacity);
void policy_site_finish (policy_site_t *site);

/* Returns a request to place a batch task that may run anywhere.  */
gp_placement_request_t policy_request (uint64_t task, uint32_t millicores,
                                       uint32_t memory_mib);

#endif

/* Running the suites of the placement decisions.

   Their transcripts go to standard output, so the runner is silent there and
   tells of failures on standard error.  */

#ifndef GP_TESTS_POLICY_SUITE_H
#define GP_TESTS_POLICY_SUITE_H

#include <CUnit/CUnit.h>

#include "coordination/placement.h"

typedef struct
{
  const char *name;
  CU_TestFunc run;
} policy_test_t;

/* Run the tests up to a NULL name and return the exit status.  */
int policy_suite_run (const char *name, const policy_test_t *tests);

/* A fleet of workers with its spread and placement.  */
typedef struct
{
  gp_fleet_t fleet;
  gp_spread_t spread;
  gp_placement_t placement;
  gp_worker_t *workers;
  unsigned int n_workers;
} policy_site_t;

/* N equal workers of CAPACITY, three to a rack, in turn over ZONES zones.  */
void policy_site_init (policy_site_t *site, unsigned int n, uint32_t zones,
                       const gp_resources_t *capacity);
void policy_site_finish (policy_site_t *site);

/* A batch task that may run anywhere.  */
gp_placement_ask_t policy_ask (uint64_t task, uint32_t millicores,
                               uint32_t memory_mib);

#endif

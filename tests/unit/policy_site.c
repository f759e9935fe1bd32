/* A small site for the tests of placement decisions.  */

#include "policy_site.h"

#include <math.h>

void
policy_site_init (policy_site_t *site, unsigned int n, uint32_t zones,
                  const gp_resources_t *capacity)
{
  gp_fleet_init (&site->fleet, zones);
  gp_spread_init (&site->spread);
  gp_placement_init (&site->placement, &GP_PLACEMENT_WEIGHTS_DEFAULT,
                     &site->fleet, &site->spread, NULL);
  site->workers = g_new (gp_worker_t, n);
  site->n_workers = n;
  for (unsigned int i = 0; i < n; i++)
    {
      gp_worker_init (&site->workers[i]);
      site->workers[i].capacity = *capacity;
      site->workers[i].zone = (uint16_t)(i % zones);
      site->workers[i].rack = i / 3;
      gp_fleet_add (&site->fleet, &site->workers[i]);
    }
}

void
policy_site_finish (policy_site_t *site)
{
  for (unsigned int i = 0; i < site->n_workers; i++)
    gp_worker_finish (&site->workers[i]);
  g_free (site->workers);
  gp_spread_finish (&site->spread);
  gp_fleet_finish (&site->fleet);
}

gp_placement_request_t
policy_request (uint64_t task, uint32_t millicores, uint32_t memory_mib)
{
  return (gp_placement_request_t){ .task = task,
                                   .work_class = GP_WORK_BATCH,
                                   .demand = { millicores, memory_mib, 0 },
                                   .zones = GP_PLACEMENT_ALL_ZONES,
                                   .previous = GP_WORKER_NONE,
                                   .held = GP_WORKER_NONE,
                                   .harm_limit = INFINITY };
}

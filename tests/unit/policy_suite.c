/* Silent runner and a small site for the placement tests.  */

#include "policy_suite.h"

#include <CUnit/TestRun.h>
#include <math.h>
#include <stdio.h>

static void
print_failures (void)
{
  for (CU_pFailureRecord failure = CU_get_failure_list (); failure != NULL;
       failure = failure->pNext)
    fprintf (stderr, "%s:%u: %s\n", failure->strFileName,
             failure->uiLineNumber, failure->strCondition);
}

int
policy_suite_run (const char *name, const policy_test_t *tests)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite (name, NULL, NULL);
  for (; tests->name != NULL; tests++)
    CU_add_test (suite, tests->name, tests->run);
  CU_run_all_tests ();
  print_failures ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}

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

gp_placement_ask_t
policy_ask (uint64_t task, uint32_t millicores, uint32_t memory_mib)
{
  return (gp_placement_ask_t){ .task = task,
                               .work_class = GP_WORK_BATCH,
                               .demand = { millicores, memory_mib, 0 },
                               .zones = GP_PLACEMENT_ALL_ZONES,
                               .previous = GP_WORKER_NONE,
                               .held = GP_WORKER_NONE,
                               .harm_limit = INFINITY };
}

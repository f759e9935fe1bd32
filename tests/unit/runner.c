/* Runs the tests of one program without writing to standard output.  */

#include "runner.h"

#include <stdio.h>
#include <string.h>

static void
print_failures (void)
{
  CU_pFailureRecord failure = CU_get_failure_list ();

  for (; failure != NULL; failure = failure->pNext)
    fprintf (stderr, "%s:%u: %s: %s\n", failure->strFileName,
             failure->uiLineNumber,
             failure->pTest != NULL ? failure->pTest->pName : "",
             failure->strCondition);
}

int
runner_main (const char *name, CU_TestInfo *tests)
{
  unsigned int failures;
  CU_SuiteInfo suites[]
      = { { name, NULL, NULL, NULL, NULL, tests }, CU_SUITE_INFO_NULL };

  if (CU_initialize_registry () != CUE_SUCCESS
      || CU_register_suites (suites) != CUE_SUCCESS)
    return 1;
  CU_run_all_tests ();
  print_failures ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}

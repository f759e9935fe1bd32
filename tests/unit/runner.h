/* Runs the tests of one program without a word on standard output, which is
   left to the transcript that NAME.expected is compared with.  */

#ifndef GP_TESTS_RUNNER_H
#define GP_TESTS_RUNNER_H

#include <CUnit/CUnit.h>
#include <CUnit/TestDB.h>
#include <CUnit/TestRun.h>

/* Run TESTS, which end with CU_TEST_INFO_NULL, as suite NAME; failures go to
   standard error.  Returns the exit status of the program.  */
int runner_main (const char *name, CU_TestInfo *tests);

#endif

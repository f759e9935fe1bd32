/* Runs the tests of one program without writing to standard output, which is
   reserved for the transcript that is compared with NAME.expected.  */

#ifndef GP_TESTS_RUNNER_H
#define GP_TESTS_RUNNER_H

#include <CUnit/CUnit.h>
#include <CUnit/TestDB.h>
#include <CUnit/TestRun.h>

/* Run TESTS (terminated by CU_TEST_INFO_NULL) as suite NAME and print failures
   to standard error.  Returns the exit status of the program.  */
int runner_main (const char *name, CU_TestInfo *tests);

#endif

/* Tests of the request limits that a guard applies from the document.  */

#include <string.h>

#include "daemon/execution_limits.h"
#include "runner.h"

#define HEAD "version: 1\nsite: s\nregions: [{name: r, zones: [a]}]\n"
#define SERVICE                                                               \
  "services:\n  - name: api\n    latency_target_ms: 100\n"                    \
  "    timeout_ms: 1000\n    slots: 4\n    connections: 8\n"

static const char limited[] = HEAD
    "teams:\n  - {name: t, requests: {concurrent: 10}}\n" SERVICE
    "    executors: 3\n    queue: 5\n    kinds:\n"
    "      - {name: k, path_prefix: /k, class: batch, idempotent: true, "
    "expected_ms: 70, limits: {concurrent: 2}}\n";

static const char unlimited[]
    = HEAD "teams:\n  - name: t\n" SERVICE "    kinds:\n"
           "      - {name: other, path_prefix: /o, "
           "class: batch, idempotent: true}\n";

static void
configure (gp_executor_t *executor, const char *text)
{
  GPtrArray *issues = gp_issues_new ();
  gp_document_t document;

  CU_ASSERT_FATAL (gp_document_load (&document, text, strlen (text), issues));
  gp_executor_configure (executor, &document);
  gp_document_finish (&document);
  g_ptr_array_unref (issues);
}

static void
test_limits (void)
{
  gp_settings_upstream_t upstream = { .service = (char *)"api",
                                      .address = (char *)"127.0.0.1:1",
                                      .slots = 4,
                                      .connections = 8 };
  gp_loop_t loop;
  gp_executor_t executor;
  gp_admission_kind_t *kind;
  gp_request_quota_t *team;

  gp_loop_init (&loop, NULL);
  CU_ASSERT_FATAL (
      gp_executor_init (&executor, &loop, &upstream, 1, GP_SEC, NULL));
  kind = gp_executor_kind_limits (&executor, "k");
  team = gp_executor_team_quota (&executor, "t");
  CU_ASSERT (kind->quota.max_running == GP_ADMISSION_UNLIMITED);
  configure (&executor, limited);
  CU_ASSERT (executor.admission.options.max_queued == 5);
  CU_ASSERT (kind->quota.max_running
             == 1); /* share of 2 among 3 executors, at least 1 */
  CU_ASSERT (kind->service_time.mean == 70 * GP_MSEC);
  CU_ASSERT (team->max_running == 4); /* share of 10 among 3, rounded up */
  configure (&executor, unlimited);
  CU_ASSERT (executor.admission.options.max_queued == 64);
  CU_ASSERT (kind->quota.max_running == GP_ADMISSION_UNLIMITED);
  CU_ASSERT (team->max_running == GP_ADMISSION_UNLIMITED);
  gp_executor_finish (&executor);
  gp_loop_finish (&loop);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "limits", test_limits }, CU_TEST_INFO_NULL };

  return runner_main ("execution limits", tests);
}

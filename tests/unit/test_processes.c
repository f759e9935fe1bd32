/* Tests of the table of processes that an entry has or had sessions with.  */

#include <CUnit/CUnit.h>

#include "daemon/processes.h"
#include "runner.h"

#define HOUR_US ((int64_t)3600 * 1000000)

static gp_session_t
session_of (char *name, uint64_t incarnation)
{
  return (gp_session_t){ .ready = true,
                         .process = name,
                         .zone = "a",
                         .role = GP__WIRE__ROLE__ROLE_GUARD,
                         .incarnation = incarnation };
}

static void
test_revision_since (void)
{
  gp_processes_t processes;
  gp_session_t session = session_of ("g", 1);
  const gp_process_t *process;

  gp_processes_init (&processes);
  gp_processes_session_opened (&processes, &session, 100);
  gp_processes_set_revision (&processes, &session, 7, 200);
  gp_processes_set_revision (&processes, &session, 7, 300);
  process = gp_processes_find (&processes, "g");
  CU_ASSERT_EQUAL (process->config_revision, 7);
  CU_ASSERT_EQUAL (process->config_since_us, 200);
  gp_processes_session_closed (&processes, &session, 400);
  CU_ASSERT_EQUAL (process->sessions, 0);
  CU_ASSERT_EQUAL (process->since_us, 400);
  gp_processes_session_opened (&processes, &session, 500);
  process = gp_processes_find (&processes, "g");
  CU_ASSERT_EQUAL (process->sessions, 1);
  CU_ASSERT_EQUAL (process->config_revision, 7);
  gp_processes_finish (&processes);
}

/* Late calls for sessions of an older incarnation change nothing.  */
static void
test_older_incarnation (void)
{
  gp_processes_t processes;
  gp_session_t old = session_of ("g", 1);
  gp_session_t new = session_of ("g", 2);
  const gp_process_t *process;

  gp_processes_init (&processes);
  gp_processes_session_opened (&processes, &old, 100);
  gp_processes_set_revision (&processes, &old, 9, 100);
  gp_processes_session_opened (&processes, &new, 200);
  gp_processes_session_closed (&processes, &old, 300);
  gp_processes_set_revision (&processes, &old, 8, 300);
  gp_processes_session_opened (&processes, &old, 300);
  process = gp_processes_find (&processes, "g");
  CU_ASSERT_EQUAL (process->incarnation, 2);
  CU_ASSERT_EQUAL (process->sessions, 1);
  CU_ASSERT_EQUAL (process->config_revision, 0);
  CU_ASSERT_EQUAL (process->since_us, 200);
  gp_processes_finish (&processes);
}

/* Both sides have connected: after one of the two sessions has closed, the
   process still counts as connected.  */
static void
test_two_sessions (void)
{
  gp_processes_t processes;
  gp_session_t session = session_of ("g", 1);
  const gp_process_t *process;

  gp_processes_init (&processes);
  gp_processes_session_opened (&processes, &session, 100);
  gp_processes_session_opened (&processes, &session, 200);
  gp_processes_session_closed (&processes, &session, 300);
  process = gp_processes_find (&processes, "g");
  CU_ASSERT_EQUAL (process->sessions, 1);
  CU_ASSERT_EQUAL (process->since_us, 100);
  gp_processes_finish (&processes);
}

static void
test_state (void)
{
  gp_processes_t processes;
  gp_session_t session = session_of ("e", 1);
  Gp__Wire__ProcessState state = GP__WIRE__PROCESS_STATE__INIT;
  const gp_process_t *process;

  gp_processes_init (&processes);
  gp_processes_session_opened (&processes, &session, 100);
  state.state = GP__WIRE__MEMBER_STATE__MEMBER_STATE_LEAVING;
  state.config_revision = 3;
  gp_processes_set_state (&processes, &session, &state, 200);
  process = gp_processes_find (&processes, "e");
  CU_ASSERT_EQUAL (process->state,
                   GP__WIRE__MEMBER_STATE__MEMBER_STATE_LEAVING);
  CU_ASSERT_EQUAL (process->config_revision, 3);
  gp_processes_finish (&processes);
}

/* Processes that do not return are removed.  */
static void
test_forgotten (void)
{
  gp_processes_t processes;
  gp_session_t gone = session_of ("gone", 1);
  gp_session_t kept = session_of ("kept", 1);
  gp_session_t new = session_of ("new", 1);

  gp_processes_init (&processes);
  gp_processes_session_opened (&processes, &gone, 0);
  gp_processes_session_opened (&processes, &kept, 0);
  gp_processes_session_closed (&processes, &gone, 1);
  gp_processes_session_opened (&processes, &new, HOUR_US + 2);
  CU_ASSERT_PTR_NULL (gp_processes_find (&processes, "gone"));
  CU_ASSERT_PTR_NOT_NULL (gp_processes_find (&processes, "kept"));
  CU_ASSERT_PTR_NOT_NULL (gp_processes_find (&processes, "new"));
  gp_processes_finish (&processes);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "revision since", test_revision_since },
                          { "older incarnation", test_older_incarnation },
                          { "state", test_state },
                          { "two sessions", test_two_sessions },
                          { "forgotten", test_forgotten },
                          CU_TEST_INFO_NULL };

  return runner_main ("processes", tests);
}

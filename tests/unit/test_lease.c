/* Scripted runs of the lease protocol, one for each row of the table in
   docs/design/leases.md.  The transcript is compared with
   test_lease.expected.  Times are virtual; the longest time without a
   running task is the recovery time of the row.  */

#include "lease_world.h"
#include "runner.h"

#define MAX_FAULTS 4
#define NO_RETURN 200
#define END 130
#define TRACE_FROM 15

typedef struct
{
  const char *title;
  lease_world_fault_t faults[MAX_FAULTS]; /* in seconds */
  gp_time_t length, promise;              /* in seconds; 0 for the default */
} row_t;

/* Both tasks are running on w1 when the faults begin.  */
static const row_t rows[] = {
  { .title = "log down for all, 60 s",
    .faults = { { LW_LOG_DOWN, 0, 0, 20, 80 } } },
  { .title = "one entry cut off from the log, 60 s",
    .faults = { { LW_LOG_CUT, 0, 0, 20, 80 } } },
  { .title = "worker cut off from one entry, 60 s",
    .faults = { { LW_CUT_GUARD, 0, 0, 20, 80 } } },
  { .title = "worker cut off from all entries",
    .faults = { { LW_CUT_ALL, 0, 0, 20, 80 } } },
  { .title = "holder paused past its lease",
    .faults = { { LW_PAUSE_GUARD, 0, 0, 20, 60 } } },
  { .title = "VM suspended past its lease",
    .faults = { { LW_PAUSE_VM, 0, 0, 20, 60 } } },
  { .title = "guard restarts in 1 s",
    .faults = { { LW_KILL_GUARD, 0, 0, 20, 21 } } },
  { .title = "guard does not return",
    .faults = { { LW_KILL_GUARD, 0, 0, 20, NO_RETURN } } },
  { .title = "VM restarts in 5 s",
    .faults = { { LW_KILL_VM, 0, 0, 20, 25 } } },
  { .title = "VM does not return",
    .faults = { { LW_KILL_VM, 0, 0, 20, NO_RETURN } } },
  { .title = "entry restarts in 5 s",
    .faults = { { LW_KILL_ENTRY, 0, 0, 20, 25 } } },
  { .title = "entry paused for 30 s",
    .faults = { { LW_PAUSE_ENTRY, 0, 0, 20, 50 } } },
  { .title = "log down, guard restarts",
    .faults
    = { { LW_LOG_DOWN, 0, 0, 20, 80 }, { LW_KILL_GUARD, 0, 0, 40, 41 } } },
  { .title = "log down, entry restarts in 5 s",
    .faults
    = { { LW_LOG_DOWN, 0, 0, 20, 80 }, { LW_KILL_ENTRY, 0, 0, 40, 45 } } },
  { .title = "log down, entry away for 30 s",
    .faults
    = { { LW_LOG_DOWN, 0, 0, 20, 80 }, { LW_KILL_ENTRY, 0, 0, 40, 70 } } },
  { .title = "log down, VM does not return",
    .faults
    = { { LW_LOG_DOWN, 0, 0, 20, 50 }, { LW_KILL_VM, 0, 0, 30, NO_RETURN } } },
  { .title = "one entry cut off from the log, VM does not return",
    .faults
    = { { LW_LOG_CUT, 0, 0, 20, 80 }, { LW_KILL_VM, 0, 0, 30, NO_RETURN } } },
  { .title = "one entry cut off from the log, worker from the others",
    .faults = { { LW_LOG_CUT, 0, 0, 20, 80 },
                { LW_CUT_GUARD, 1, 0, 20, 80 },
                { LW_CUT_GUARD, 2, 0, 20, 80 } } },
  { .title
    = "one entry cut off from the log and the others, worker from the others",
    .faults = { { LW_LOG_CUT, 0, 0, 20, 80 },
                { LW_CUT_GUARD, 1, 0, 20, 80 },
                { LW_CUT_GUARD, 2, 0, 20, 80 },
                { LW_CUT_ENTRY, 0, 0, 20, 80 } } },
  { .title = "VM does not return, entry restarts before the wait is over",
    .faults = { { LW_KILL_VM, 0, 0, 20, NO_RETURN },
                { LW_KILL_ENTRY, 0, 0, 39, 40 } } },
  { .title = "P = 60 s: log down, entry away for 30 s",
    .faults
    = { { LW_LOG_DOWN, 0, 0, 20, 80 }, { LW_KILL_ENTRY, 0, 0, 40, 70 } },
    .promise = 60 },
  { .title = "P = 60 s: log down, VM does not return",
    .faults
    = { { LW_LOG_DOWN, 0, 0, 20, 50 }, { LW_KILL_VM, 0, 0, 30, NO_RETURN } },
    .promise = 60 },
  { .title = "P = 60 s: VM does not return",
    .faults = { { LW_KILL_VM, 0, 0, 80, NO_RETURN } },
    .promise = 60 },
  { .title = "P = 60 s: one entry cut off from the log, VM does not return",
    .faults
    = { { LW_LOG_CUT, 0, 0, 75, 125 }, { LW_KILL_VM, 0, 0, 85, NO_RETURN } },
    .promise = 60 },
  { .title = "L = 8 s: VM does not return",
    .faults = { { LW_KILL_VM, 0, 0, 20, NO_RETURN } },
    .length = 8 },
  { .title = "L = 8 s: log down for all, 60 s",
    .faults = { { LW_LOG_DOWN, 0, 0, 20, 80 } },
    .length = 8 },
};

static void
run_row (const row_t *row)
{
  lease_world_options_t options = { .timing = gp_lease_timing_default (),
                                    .num_entries = LW_ENTRIES,
                                    .tick = 100 * GP_MSEC,
                                    .seed = 5,
                                    .trace = stdout,
                                    .trace_from = TRACE_FROM * GP_SEC };
  lease_world_fault_t faults[MAX_FAULTS];
  unsigned num_faults = 0;
  lease_world_result_t result;

  for (; num_faults < MAX_FAULTS && row->faults[num_faults].end != 0;
       num_faults++)
    {
      faults[num_faults] = row->faults[num_faults];
      faults[num_faults].at *= GP_SEC;
      faults[num_faults].end *= GP_SEC;
    }
  if (row->length != 0)
    options.timing.length = row->length * GP_SEC;
  if (row->promise != 0)
    options.timing.promise = row->promise * GP_SEC;
  printf ("%s\n", row->title);
  result = lease_world_run (&options, faults, num_faults, END * GP_SEC);
  CU_ASSERT_PTR_NULL (result.violation);
  CU_ASSERT_TRUE (result.running[0] && result.running[1]);
  printf ("longest time not running: %.1f s, starts: %u\n\n",
          (double)MAX (result.worst[0], result.worst[1]) / GP_SEC,
          result.starts);
}

static void
test_rows (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    run_row (&rows[i]);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "rows", test_rows }, CU_TEST_INFO_NULL };

  return runner_main ("lease", tests);
}

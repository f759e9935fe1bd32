"""A cancelled job whose start reached its guard, but not the executor.

Guards against room that stays reserved for ever: the guard that knew of the
start is replaced, and the executor lists the run neither as active nor as
ended, so that no report ever told the leader that the run is gone.
"""

import sys
import time

from platform_site import (JOB_A, JOB_B, print_breaches, start_site, until)

ALL_CORES = [{"count": 1, "cpu": 16000, "memMb": 10, "estimateMs": 300}]
# Longer than the scenario lasts.
NEVER_S = 120.0


def guard_replaced(build):
    print("a guard is replaced before its start reached the executor")
    with start_site(build, workers=1) as site:
        leader = site.leader()
        task = JOB_A + ".0.0.0"
        site.executors["w1"].start_delays[task] = NEVER_S
        site.submit(leader, JOB_A, ALL_CORES)
        until(lambda: '"run.assigned"' in site.processes[leader].log(),
              what="assigned")
        time.sleep(0.2)
        site.processes["w1"].kill()
        print("  cancelled:", site.call(leader, "DELETE", "/q/" + JOB_A)[0])
        time.sleep(0.5)
        site.processes["w1"].start()
        site.submit(leader, JOB_B, ALL_CORES)
        site.await_state(leader, JOB_B, "completed")
        print("  next job: completed")
        print_breaches(site)


def main(build):
    guard_replaced(build)


main(sys.argv[1])

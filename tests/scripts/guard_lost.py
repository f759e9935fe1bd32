"""Guards that are lost just after the starts of a task that crashes executors.

Guards against a fault in which such an end was weak evidence only.  When the
guard was lost counts if nobody is left to tell: just after the order, the
executor went with it.  The leader dials a lost guard again and again, and each
attempt that failed passed for the loss.
"""

import json
import sys
import threading

from crashes import STARTS_MAX
from platform_site import JOB_A, print_breaches, start_site, until

import platform_executor  # found through platform_site

CRASHER = JOB_A + ".0.0.0"
STEP = [{"count": 1, "cpu": 1000, "memMb": 10, "estimateMs": 300}]
# Time from the start until the executor crashes, once its guard is killed.
platform_executor.CRASH_S = 0.05
# Less than the time between two attempts to connect to a guard, 0.2 s.
TOLERANCE_US = 100_000
# Under how many starts the guard is killed, and for how long it is away then:
# several attempts to connect to it fail.
KILLS = 2
AWAY_S = 0.8


def events(leader, name):
    """Return the log lines of LEADER with the event NAME, parsed."""
    return [json.loads(line) for line in leader.log().splitlines()
            if f'"{name}"' in line]


def is_dated_rightly(leader, lost):
    """Return whether LOST tells when the connection to its guard ended."""
    gone_at = lost["time"] - lost["guard_gone_ms_ago"] * 1000
    guard = lost["executor"].split("-")[0]
    return any(down["guard"] == guard
               and abs(down["time"] - gone_at) <= TOLERANCE_US
               for down in events(leader, "guard.down"))


def kill_guards_at_starts(site):
    """Kill the guard under each of the first starts of CRASHER for AWAY_S."""
    judge_start = site.judge.start

    def start(executor, task, run, *more):
        judge_start(executor, task, run, *more)
        if task == CRASHER and site.judge.starts[CRASHER] <= KILLS:
            guard = site.processes[executor.split("-")[0]]
            guard.kill()
            threading.Timer(AWAY_S, guard.start).start()
    site.judge.start = start


def main(build):
    print("guards are lost just after the starts of a task that crashes its "
          "executors")
    with start_site(build, entries=2) as site:
        site.judge.crashers.add(CRASHER)
        kill_guards_at_starts(site)
        leader = site.processes[site.leader()]
        site.submit("e1", JOB_A, STEP)
        until(lambda: len(events(leader, "run.lost")) >= KILLS,
              what="lost runs")
        for lost in events(leader, "run.lost")[:KILLS]:
            print("  told:", bool(lost["told"]), "alone:", bool(lost["alone"]),
                  "guard's end dated rightly:", is_dated_rightly(leader, lost))
            print("  evidence:", lost["evidence"], file=sys.stderr)
        site.await_state("e1", JOB_A, "failed")
        print("  given up, started at most five times:",
              site.judge.starts[CRASHER] <= STARTS_MAX)
        print_breaches(site)


main(sys.argv[1])

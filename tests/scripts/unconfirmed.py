"""A start that goes unanswered for over a second, under a guard that is lost.

Guards against a fault in which the first end of a task that crashes its
executors did not count.  The executor carried out the start three seconds after
its order and crashed, and the guard was lost with it.  The leader took the run
for settled, as it had been ordered over a second before the guard's last
report.
"""

import json
import signal
import sys
import time

from crashes import STARTS_MAX
from platform_site import JOB_A, start_site, until

CRASHER = JOB_A + ".0.0.0"
STEP = [{"count": 1, "cpu": 1000, "memMb": 10, "estimateMs": 300}]
# How late starts are carried out.
LATE_S = 3.0
# When the guard is stopped, counted from the first start that goes unanswered,
# 0.3 s after it was sent: before the run begins, and so late that the last
# report is sent over a second after the order, as guards report each 0.3 s.
STOP_AFTER_S = 1.5
# Plays at the most until the guard is stopped in time.
PLAYS_MAX = 4


def events(process, name):
    """Return the log lines of PROCESS with the event NAME, parsed."""
    return [json.loads(line) for line in process.log().splitlines()
            if f'"{name}"' in line]


def starts_late(site, late):
    """Have all executors carry out starts late, without an answer, or not."""
    for executor in site.executors.values():
        executor.late_s, executor.late_calls = (LATE_S, LATE_S), ("run-start",)
        executor.late = 1.0 if late else 0.0


def lose_with_guard(site, leader):
    """Let the first run of CRASHER begin late and be lost with its guard."""
    until(lambda: events(leader, "run.assigned"), what="assignment")
    worker = events(leader, "run.assigned")[0]["executor"].split("-")[0]
    guard = site.processes[worker]
    until(lambda: events(guard, "order.answered"), what="unanswered start")
    stop_at = time.monotonic() + STOP_AFTER_S
    until(lambda: time.monotonic() > stop_at, what="time to stop")
    guard.signal(signal.SIGSTOP)
    until(lambda: site.judge.crashes, what="crash")
    guard.kill()
    starts_late(site, False)
    guard.start()


def play(build):
    """Play once on a new site.

    Returns how the first run of CRASHER was lost, how often it was started
    and the breaches.
    """
    with start_site(build, entries=2) as site:
        site.judge.crashers.add(CRASHER)
        starts_late(site, True)
        leader = site.processes[site.leader()]
        site.submit("e1", JOB_A, STEP)
        lose_with_guard(site, leader)
        until(lambda: events(leader, "run.lost"), what="lost run")
        site.await_state("e1", JOB_A, "failed")
        return (events(leader, "run.lost")[0], site.judge.starts[CRASHER],
                site.judge.breaches)


def main(build):
    print("a run begins three seconds after its order and is lost with its "
          "guard")
    for _ in range(PLAYS_MAX):
        lost, starts, breaches = play(build)
        if not lost["told"]:
            break
        # The guard was stopped too late, and has told of the crash.
        print("told", lost, file=sys.stderr)
    print("  told by its guard:", bool(lost["told"]),
          "counts:", bool(lost["suspect"]))
    print("  given up, started at most five times:", starts <= STARTS_MAX)
    print("  breaches:", breaches)


main(sys.argv[1])

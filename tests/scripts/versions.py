"""Processes of two versions side by side during a rolling restart.

usage: versions.py BUILD BUILD_BEFORE [entries|guards|back]

CI has only one build, so this is run by hand, with a build of an earlier
version.  All processes begin with BUILD_BEFORE and are restarted with BUILD
one by one, entries or guards first; `back` is a downgrade.  Meanwhile small
jobs are submitted, executors crash, and one task crashes its executors.  All
accepted jobs must complete, no task may run twice or again, and that task must
be given up.
"""

import signal
import subprocess
import sys
import threading
import time

from ordered_late import (CRASHERS, GIVE_UP_LIMIT_S, JOBS, SMALL, STARTS_MAX,
                          STEP, holds_within, state_from_any)
from platform_site import GRACE_S, LONG_RUNNING, start_site
from same_id import JobStream

JOB_LONG_RUNNING = "00000000beef00bb"
PAUSE_S = 2.0
CRASH_EVERY_S = 3.0


def replace(process, build):
    """Stop PROCESS by a planned shutdown and start the program of BUILD."""
    process.signal(signal.SIGTERM)
    try:
        process.wait(GRACE_S)
    except subprocess.TimeoutExpired:
        process.kill()
    process.arguments[-2] = build + "/galenapier-node"
    process.start()


def crash_in_turn(site, over):
    """Crash executors one after the other until OVER; their ids change."""
    names = list(site.executors)
    turn = 0
    while not over.wait(CRASH_EVERY_S):
        site.executors[names[turn % len(names)]].crash(0.5, min_run_age_s=0.15)
        turn += 1


def run_upgrade(initial_build, target_build, order):
    """Replace the processes of INITIAL_BUILD by those of TARGET_BUILD.

    ORDER is "guards" if the guards come first, otherwise the entries do.
    """
    with start_site(initial_build, entries=3, workers=4) as site:
        site.judge.crashers.add(CRASHERS[JOBS[0]])
        site.submit("e1", JOB_LONG_RUNNING, LONG_RUNNING, spec="lasts")
        stream = JobStream(site, SMALL)
        over = threading.Event()
        crashes = threading.Thread(target=crash_in_turn, args=(site, over))
        crashes.start()
        names = [*site.entries, *site.executors]
        if order == "guards":
            names = [*site.executors, *site.entries]
        for i, name in enumerate(names):
            if i == len(names) // 2:
                holds_within(
                    lambda: site.submit("e1", JOBS[0], [STEP]) == 200, 10)
            time.sleep(PAUSE_S)
            replace(site.processes[name], target_build)
        given_up = holds_within(
            lambda: state_from_any(site, JOBS[0]) == "failed",
            GIVE_UP_LIMIT_S)
        over.set()
        crashes.join()
        stream.end()
        back = holds_within(
            lambda: len(site.judge.at_work(JOB_LONG_RUNNING)) == 3, 15)
        starts = site.judge.starts.get(CRASHERS[JOBS[0]], 0)
        print("  given up:", given_up, "started at most five times:",
              starts <= STARTS_MAX, "beside it at work:", back,
              "breaches:", site.judge.breaches)


def main(build, before, orders):
    for order in orders or ["entries", "guards", "back"]:
        print(order)
        if order == "back":
            run_upgrade(build, before, "entries")
        else:
            run_upgrade(before, build, order)


main(sys.argv[1], sys.argv[2], sys.argv[3:])

"""Processes of two versions side by side during a rolling restart.

usage: versions.py BUILD BUILD_BEFORE [entries|guards|back]

Not run by CI, which has one build: by hand, with a build of an earlier version.
All processes are of the one before, and are stopped and started as BUILD one by
one, entries or guards first; `back` goes the other way.  Meanwhile small jobs
come, executors go down, and a task takes its executors down.  All that was
accepted is completed, nothing runs twice or again, and that task is given up.
"""

import signal
import subprocess
import sys
import threading
import time

from ordered_late import (CRASHERS, GIVEN_UP_S, JOBS, SMALL, STARTS_MAX, STEP,
                          answered, wait_for)
from platform_site import GRACE_S, LASTING, site_of
from same_id import Stream

JOB_LASTING = "00000000beef00bb"
PAUSE_S = 2.0
CRASH_EVERY_S = 3.0


def replace(process, build):
    """Stop PROCESS as planned, and start it as of BUILD."""
    process.signal(signal.SIGTERM)
    try:
        process.wait(GRACE_S)
    except subprocess.TimeoutExpired:
        process.kill()
    process.arguments[-2] = build + "/galenapier-node"
    process.start()


def crash_in_turn(site, over):
    """Executors go down by themselves, with another id."""
    names = list(site.executors)
    turn = 0
    while not over.wait(CRASH_EVERY_S):
        site.executors[names[turn % len(names)]].crash(0.5, min_run_age_s=0.15)
        turn += 1


def play(first, then, order):
    with site_of(first, entries=3, workers=4) as site:
        site.judge.crashers.add(CRASHERS[JOBS[0]])
        site.submit("e1", JOB_LASTING, LASTING, spec="lasts")
        stream = Stream(site, SMALL)
        over = threading.Event()
        crashes = threading.Thread(target=crash_in_turn, args=(site, over))
        crashes.start()
        names = [*site.entries, *site.executors]
        if order == "guards":
            names = [*site.executors, *site.entries]
        for i, name in enumerate(names):
            if i == len(names) // 2:
                wait_for(lambda: site.submit("e1", JOBS[0], [STEP]) == 200, 10)
            time.sleep(PAUSE_S)
            replace(site.processes[name], then)
        given_up = wait_for(lambda: answered(site, JOBS[0]) == "failed",
                            GIVEN_UP_S)
        over.set()
        crashes.join()
        stream.end()
        back = wait_for(lambda: len(site.judge.at_work(JOB_LASTING)) == 3, 15)
        starts = site.judge.starts.get(CRASHERS[JOBS[0]], 0)
        print("  given up:", given_up, "started at most five times:",
              starts <= STARTS_MAX, "beside it at work:", back,
              "breaches:", site.judge.breaches)


def main(build, before, orders):
    for order in orders or ["entries", "guards", "back"]:
        print(order)
        if order == "back":
            play(build, before, "entries")
        else:
            play(before, build, order)


main(sys.argv[1], sys.argv[2], sys.argv[3:])

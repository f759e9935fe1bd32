"""A task that crashes the runtime of every worker that starts it.

Guards against a fault in which such a task crashes one runtime after the other
without end: only an epoch that ends FAILED counted against a task; one whose
runtime is gone ends LOST, and the task was granted again at once.
"""

import sys

from tasks_site import (await_watchers, configure, fetch_job, start_site,
                        submit, until)

# The task may crash three runtimes, and two more before that is noticed.
STARTS_MAX = 5


def is_over(state):
    return state in ("failed", "parked")


def await_start(site, name, epoch):
    """Wait until the job runs in EPOCH or later, or is over; return it."""
    def look():
        now = fetch_job(site, name)
        at_work = now["state"] == "running" and now["epoch"] >= epoch
        return now if at_work or is_over(now["state"]) else None
    return until(look, what=f"{name} running or over")


def main(build):
    print("a task takes down the runtime of each worker that starts it")
    with start_site(build, entries=1, guards=3) as site:
        configure(site, watchers=0)
        await_watchers(site, 0)
        name = submit(site, run_ms=600000)[0]
        starts = 0
        while starts <= STARTS_MAX:
            now = await_start(site, name, starts + 1)
            if is_over(now["state"]):
                break
            starts = now["epoch"]
            runtime = site.processes[now["worker"] + ".worker"]
            runtime.kill()
            runtime.start()
        print("  starts:", starts, file=sys.stderr)
        print("  it is given up or parked:",
              is_over(fetch_job(site, name)["state"]))
        print("  started at most five times:", starts <= STARTS_MAX)


main(sys.argv[1])

"""A task that takes down the runtime of every worker that starts it.

What users would see: runtimes go down one after the other, each just after one
and the same task was granted to its worker, without end.  The cause, read in
the code: only an epoch that ends FAILED counts against a task; one whose
runtime has gone ends LOST, and is granted anew at once.
"""

import sys

from tasks_site import await_watchers, job, ready, start_site, submit, until

# Three runtimes may go down under it, and two more while that is noticed.
STARTS_MAX = 5


def is_over(state):
    return state in ("failed", "parked")


def start_of(site, name, epoch):
    """The job as it runs in EPOCH or a later one, or as it is over."""
    def look():
        now = job(site, name)
        at_work = now["state"] == "running" and now["epoch"] >= epoch
        return now if at_work or is_over(now["state"]) else None
    return until(look, what=f"{name} at work or over")


def main(build):
    print("a task takes down the runtime of each worker that starts it")
    with start_site(build, entries=1, guards=3) as site:
        ready(site, watchers=0)
        await_watchers(site, 0)
        name = submit(site, run_ms=600000)[0]
        starts = 0
        while starts <= STARTS_MAX:
            now = start_of(site, name, starts + 1)
            if is_over(now["state"]):
                break
            starts = now["epoch"]
            runtime = site.processes[now["worker"] + ".worker"]
            runtime.kill()
            runtime.start()
        print("  starts:", starts, file=sys.stderr)
        print("  it is given up or parked:",
              is_over(job(site, name)["state"]))
        print("  started at most five times:", starts <= STARTS_MAX)


main(sys.argv[1])

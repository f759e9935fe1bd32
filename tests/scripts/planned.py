"""Planned stops on the platform: an executor drains and leaves, its VM is
stopped for good, and the leading entry is stopped in between.  What lasts is
at work elsewhere soon after the executor's end."""

import signal
import sys
import threading
import time

from platform_site import (JOB_A, JOB_B, STEPS, other, site_of, until,
                           verdict)

# From the end of an executor until what lasted on it is at work elsewhere.
MOVED_S = 6.0


def worker_of(site, job):
    """A worker on which a task of JOB runs."""
    return next(name for name, executor in site.executors.items()
                if any(task.startswith(job)
                       for task in site.judge.on(executor.id)))


def begin_leaving(site, name, drain_s=1.0, extra_s=0.5):
    """Let the worker leave; a function that waits until its executor has
    ended and what lasts is at work."""
    thread = threading.Thread(target=site.retire,
                              args=(name, drain_s, extra_s))
    executor = site.executors[name]
    thread.start()

    def await_moved():
        until(lambda: executor.closed, what="the executor's end")
        ended_at = time.monotonic()
        until(lambda: len(site.judge.at_work(JOB_A)) == 3,
              timeout_s=MOVED_S, what="at work elsewhere")
        print(f"  moved in {time.monotonic() - ended_at:.2f} s",
              file=sys.stderr)
        thread.join()
    return await_moved


def finish(site, entry):
    """Work goes on as before."""
    print("  still at work:", len(site.judge.at_work(JOB_A)))
    print("  submitted:", site.submit(entry, JOB_B, STEPS))
    site.await_state(entry, JOB_B, "completed")
    verdict(site)


def drained(build):
    print("an executor drains and leaves, and its VM is stopped for good")
    with site_of(build) as site:
        site.submit_lasting("e1", JOB_A)
        begin_leaving(site, worker_of(site, JOB_A))()
        finish(site, "e1")


def all_but_one(build):
    print("executors leave with their VMs until one is left")
    with site_of(build) as site:
        site.submit_lasting("e1", JOB_A)
        for name in ("w1", "w2"):
            begin_leaving(site, name)()
        finish(site, "e1")


def stopped_leader(build):
    print("the leading entry is stopped while an executor drains")
    with site_of(build) as site:
        site.submit_lasting("e1", JOB_A)
        leader = site.leader()
        await_moved = begin_leaving(site, worker_of(site, JOB_A))
        site.processes[leader].signal(signal.SIGTERM)
        await_moved()
        finish(site, other(site, leader))


def new_leader(build):
    print("an executor drains right after a change of the leader")
    with site_of(build) as site:
        site.submit_lasting("e1", JOB_A)
        leader = site.leader()
        heir = other(site, leader)
        site.processes[leader].signal(signal.SIGTERM)
        until(lambda: site.leader() == heir, what="another leader")
        begin_leaving(site, worker_of(site, JOB_A))()
        finish(site, heir)


def short_notice(build):
    print("an executor leaves before it can be emptied")
    with site_of(build) as site:
        site.submit_lasting("e1", JOB_A)
        begin_leaving(site, worker_of(site, JOB_A), 0.0, 0.0)()
        finish(site, "e1")


def end_in_between(build):
    print("an executor ends between two leaders")
    with site_of(build) as site:
        site.submit_lasting("e1", JOB_A)
        leader = site.leader()
        heir = other(site, leader)
        site.processes[leader].signal(signal.SIGTERM)
        until(lambda: '"lead.resigned"' in
              site.processes[leader].log_since_start(), what="resigned")
        begin_leaving(site, worker_of(site, JOB_A), 0.0, 0.0)()
        finish(site, heir)


def killed_leader(build):
    print("the leader is killed, and an executor ends while it drains")
    with site_of(build) as site:
        site.submit_lasting("e1", JOB_A)
        leader = site.leader()
        heir = other(site, leader)
        await_moved = begin_leaving(site, worker_of(site, JOB_A))
        site.processes[leader].kill()
        until(lambda: site.leader() == heir, what="another leader")
        await_moved()
        finish(site, heir)


SCENARIOS = {scenario.__name__: scenario
             for scenario in (drained, all_but_one, short_notice,
                              stopped_leader, new_leader, end_in_between,
                              killed_leader)}

if __name__ == "__main__":
    for wanted in sys.argv[2:] or SCENARIOS:
        SCENARIOS[wanted](sys.argv[1])

"""Planned shutdowns on the platform.

An executor drains and deregisters, its VM is stopped for good, and the leader
is stopped meanwhile.  Long-running tasks must run elsewhere soon after the end
of the executor.
"""

import signal
import sys
import threading
import time

from platform_site import (JOB_A, JOB_B, STEPS, other_entry, print_breaches,
                           start_site, until)

# Limit from the end of an executor until its long-running tasks run elsewhere.
MOVE_LIMIT_S = 6.0


def worker_of(site, job):
    """Return a worker on which a task of JOB runs."""
    return next(name for name, executor in site.executors.items()
                if any(task.startswith(job)
                       for task in site.judge.on(executor.id)))


def start_shutdown(site, name, drain_s=1.0, extra_s=0.5):
    """Start the planned shutdown of the worker NAME.

    Returns a function that waits until its executor has ended and the
    long-running tasks run elsewhere.
    """
    thread = threading.Thread(target=site.retire,
                              args=(name, drain_s, extra_s))
    executor = site.executors[name]
    thread.start()

    def await_moved():
        until(lambda: executor.closed, what="the executor's end")
        ended_at = time.monotonic()
        until(lambda: len(site.judge.at_work(JOB_A)) == 3,
              timeout_s=MOVE_LIMIT_S, what="tasks running elsewhere")
        print(f"  moved in {time.monotonic() - ended_at:.2f} s",
              file=sys.stderr)
        thread.join()
    return await_moved


def check_site(site, entry):
    """Print that the long-running tasks run and that a job completes."""
    print("  still at work:", len(site.judge.at_work(JOB_A)))
    print("  submitted:", site.submit(entry, JOB_B, STEPS))
    site.await_state(entry, JOB_B, "completed")
    print_breaches(site)


def drained(build):
    print("an executor drains and leaves, and its VM is stopped for good")
    with start_site(build) as site:
        site.submit_long_running("e1", JOB_A)
        start_shutdown(site, worker_of(site, JOB_A))()
        check_site(site, "e1")


def all_but_one(build):
    print("executors leave with their VMs until one is left")
    with start_site(build) as site:
        site.submit_long_running("e1", JOB_A)
        for name in ("w1", "w2"):
            start_shutdown(site, name)()
        check_site(site, "e1")


def stopped_leader(build):
    print("the leading entry is stopped while an executor drains")
    with start_site(build) as site:
        site.submit_long_running("e1", JOB_A)
        leader = site.leader()
        await_moved = start_shutdown(site, worker_of(site, JOB_A))
        site.processes[leader].signal(signal.SIGTERM)
        await_moved()
        check_site(site, other_entry(site, leader))


def new_leader(build):
    print("an executor drains right after a change of the leader")
    with start_site(build) as site:
        site.submit_long_running("e1", JOB_A)
        leader = site.leader()
        successor = other_entry(site, leader)
        site.processes[leader].signal(signal.SIGTERM)
        until(lambda: site.leader() == successor, what="another leader")
        start_shutdown(site, worker_of(site, JOB_A))()
        check_site(site, successor)


def short_notice(build):
    print("an executor leaves before it can be emptied")
    with start_site(build) as site:
        site.submit_long_running("e1", JOB_A)
        start_shutdown(site, worker_of(site, JOB_A), 0.0, 0.0)()
        check_site(site, "e1")


def end_in_between(build):
    print("an executor ends between two leaders")
    with start_site(build) as site:
        site.submit_long_running("e1", JOB_A)
        leader = site.leader()
        successor = other_entry(site, leader)
        site.processes[leader].signal(signal.SIGTERM)
        until(lambda: '"lead.resigned"' in
              site.processes[leader].log_since_start(), what="resigned")
        start_shutdown(site, worker_of(site, JOB_A), 0.0, 0.0)()
        check_site(site, successor)


def killed_leader(build):
    print("the leader is killed, and an executor ends while it drains")
    with start_site(build) as site:
        site.submit_long_running("e1", JOB_A)
        leader = site.leader()
        successor = other_entry(site, leader)
        await_moved = start_shutdown(site, worker_of(site, JOB_A))
        site.processes[leader].kill()
        until(lambda: site.leader() == successor, what="another leader")
        await_moved()
        check_site(site, successor)


SCENARIOS = {scenario.__name__: scenario
             for scenario in (drained, all_but_one, short_notice,
                              stopped_leader, new_leader, end_in_between,
                              killed_leader)}

if __name__ == "__main__":
    for wanted in sys.argv[2:] or SCENARIOS:
        SCENARIOS[wanted](sys.argv[1])

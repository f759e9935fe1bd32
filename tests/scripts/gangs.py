"""Gangs on executors whose members end some time apart.

Guards against two faults that have occurred: a job that failed after one run
of its gang, as each member that failed counted as an attempt, and starts on
executors whose runs had not ended yet, as the first end of a gang freed the
room of all its members.
"""

import random
import sys
import time

from platform_site import (JOB_A, Executor, other_entry, print_breaches,
                           start_site, until)

CORES = 16
SEED = 1
FULL_GANGS = 24
# Upper bound of the time between the ends of two members of a run.
SPREAD_S = 0.1
FAIL_S = 0.02


class GangExecutor(Executor):
    """An executor that ends the members of a gang up to SPREAD_S apart.

    If it fails, each member on it ends `failed` by itself.
    """

    alone = 0  # members that ended as others did not arrive

    def end(self, task, how, listed=True):
        GangExecutor.alone += how == "alone"
        super().end(task, how, listed)

    def end_work(self, task, run, now):
        gang = self.judge.gang(task, run["run"])
        if self.fails and now >= run["began_at"] + FAIL_S:
            self.end(task, "failed")
        elif self.fails:
            return
        elif gang is None or gang.outcome is None:
            super().end_work(task, run, now)
        elif now >= run.setdefault(
                "ends_at", now + self.random.uniform(0, SPREAD_S)):
            self.end(task, gang.outcome)


def gang(count):
    return [{"count": count, "cpu": 1000, "memMb": 10, "estimateMs": 300,
             "gang": True}]


def submit(site, job, count):
    site.judge.gang_counts[job + ".0.0"] = count
    return site.submit("e1", job, gang(count))


def fill(build, enforces):
    print("gangs fill the executors, which refuse what does not fit:",
          enforces)
    GangExecutor.alone = 0
    draw = random.Random(SEED)
    with start_site(build, executor_type=GangExecutor) as site:
        for executor in site.executors.values():
            executor.enforces_capacity = enforces
        jobs = [f"{i:016x}" for i in range(1, FULL_GANGS + 1)]
        for job in jobs:
            submit(site, job, draw.randint(4, 2 * CORES))
        for job in jobs:
            site.await_state("e2", job, "completed")
        print("  completed:", len(jobs), "ends alone:", GangExecutor.alone)
        print_breaches(site)


def sick(build):
    print("one executor fails all its members")
    with start_site(build, executor_type=GangExecutor) as site:
        site.executors["w1"].fails = True
        submit(site, JOB_A, 2 * CORES + 4)
        time.sleep(1.0)
        site.executors["w1"].fails = False
        site.await_state("e2", JOB_A, "completed")
        print("  completed")
        print_breaches(site)


def all_sick(build):
    print("all executors fail all their members, and the leader is killed")
    with start_site(build, executor_type=GangExecutor) as site:
        for executor in site.executors.values():
            executor.fails = True
        first = site.leader()
        submit(site, JOB_A, 2 * CORES + 4)
        task = JOB_A + ".0.0.0"
        until(lambda: site.judge.starts.get(task, 0) > 0, what="started")
        site.processes[first].kill()
        site.await_state(other_entry(site, first), JOB_A, "failed")
        print("  failed after runs:", site.judge.starts[task])
        print_breaches(site)


def main(build):
    fill(build, enforces=False)
    fill(build, enforces=True)
    sick(build)
    all_sick(build)


main(sys.argv[1])

"""Progress that is larger than a record, or an append, of the store may be.

Guards against one job that stops all others: the store refused the leader's
append for its size, and the leader repeated it for ever.
"""

import sys
import time

from platform_site import JOB_A, Executor, start_site, until

import platform_store  # found by way of platform_site

# Smaller than those of a real store, so that small jobs reach them.
RECORD_BYTES = 65536
APPEND_BYTES = 131072
CHECKPOINT = "c" * 2000
LARGE_TASKS = 40  # whose checkpoints take more than a record
JOBS = 60
TASKS = 4  # of each; together they take more than an append
CORES = 200


class CheckpointExecutor(Executor):
    """An executor of CORES cores whose failed runs leave CHECKPOINT."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **{**more, "cores": CORES})

    def end(self, task, how, listed=True):
        super().end(task, how, listed)
        if how == "failed":
            self.ended[-1][4] = CHECKPOINT


def steps(count):
    return [{"count": count, "cpu": 1000, "memMb": 10, "estimateMs": 300,
             "checkpointing": True}]


def fail(site, on):
    for executor in site.executors.values():
        executor.fails = on


def site_with_bounds(build):
    platform_store.RECORD_MAX = RECORD_BYTES
    platform_store.CALL_MAX = APPEND_BYTES
    return start_site(build, executor_type=CheckpointExecutor,
                      store_bounds={"recordBytes": RECORD_BYTES,
                                    "callBytes": APPEND_BYTES})


def large_record(build):
    print("a job whose checkpoints take more than a record")
    with site_with_bounds(build) as site:
        fail(site, True)
        site.submit("e1", JOB_A, steps(LARGE_TASKS))
        until(lambda: len(site.judge.starts) == LARGE_TASKS, what="started")
        fail(site, False)
        jobs = [f"{i:016x}" for i in range(1, 4)]
        for job in jobs:
            site.submit("e1", job, steps(1))
        for job in jobs + [JOB_A]:
            site.await_state("e2", job, "completed")
        print("  completed:", 1 + len(jobs))
        print("  appends refused for their size:", site.store.oversized)


def large_append(build):
    print("changes of many jobs at one moment that take more than an append")
    with site_with_bounds(build) as site:
        leader = site.leader()
        for executor in site.executors.values():
            executor.work_s = 1.5
        fail(site, True)
        jobs = [f"{i:016x}" for i in range(1, JOBS + 1)]
        for job in jobs:
            site.submit("e1", job, steps(TASKS))
        until(lambda: len(site.judge.starts) == JOBS * TASKS, what="started")
        site.store.down = "busy"
        time.sleep(2.0)  # all runs end, and none of the ends is on record
        fail(site, False)
        site.store.down = None
        for job in jobs:
            site.await_state(leader, job, "completed")
        print("  completed:", len(jobs))
        print("  appends refused for their size:", site.store.oversized)


def main(build):
    large_record(build)
    large_append(build)


main(sys.argv[1])

"""Progress that is larger than a record, an append or a frame may be.

Guards against one job that stops all others: the store refused the leader's
append for its size, and the leader repeated it for ever.  And against jobs that
are never started: a frame that was too large was not sent, and with it all
orders for a guard, all runs of a sync or all ends of a report were lost.
"""

import sys
import time

from platform_site import (JOB_A, JOB_B, Executor, print_breaches, start_site,
                           until)

import platform_store  # found by way of platform_site

# Smaller than those of a real store, so that small jobs reach them.
RECORD_BYTES = 65536
APPEND_BYTES = 131072
CHECKPOINT = "c" * 2000
LARGE_TASKS = 40  # whose checkpoints take more than a record
JOBS = 60
TASKS = 4  # of each; together they take more than an append
CORES = 400
FRAME_TASKS = 400  # whose checkpoints take more than a frame
FRAME_CHECKPOINT = "c" * 4000


class CheckpointExecutor(Executor):
    """An executor of CORES cores whose failed runs leave a checkpoint."""

    checkpoint = CHECKPOINT
    failures = 0

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **{**more, "cores": CORES})

    def end(self, task, how, listed=True):
        super().end(task, how, listed)
        if how == "failed":
            self.ended[-1][4] = self.checkpoint
            self.failures += 1


def steps(count):
    return [{"count": count, "cpu": 1000, "memMb": 10, "estimateMs": 300,
             "checkpointing": True}]


def fail(site, on):
    for executor in site.executors.values():
        executor.fails = on


def site_with_bounds(build, record_bytes=RECORD_BYTES,
                     append_bytes=APPEND_BYTES, **more):
    platform_store.RECORD_MAX = record_bytes
    platform_store.CALL_MAX = append_bytes
    return start_site(build, executor_type=CheckpointExecutor,
                      store_bounds={"recordBytes": record_bytes,
                                    "callBytes": append_bytes}, **more)


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


def print_unsent(site):
    """Print how many frames were not sent, as they were too large."""
    print("  frames that were too large:",
          sum(site.metric(name, "frames_too_large_total")
              for name in site.processes))


def large_frames(build):
    print("checkpoints of one executor that take more than a frame")
    with site_with_bounds(build, 262144, 2097152, workers=1) as site:
        executor = site.executors["w1"]
        executor.checkpoint = FRAME_CHECKPOINT
        executor.work_s = 1.0
        fail(site, True)
        site.submit("e1", JOB_A, steps(FRAME_TASKS))
        until(lambda: sum(site.judge.starts.values()) == FRAME_TASKS,
              what="started")
        until(lambda: executor.failures == FRAME_TASKS, what="failed")
        fail(site, False)
        executor.work_s = 4.0
        until(lambda: sum(site.judge.starts.values()) >= 2 * FRAME_TASKS,
              what="started again")
        site.processes["w1"].kill()
        site.processes["w1"].start()
        site.submit("e1", JOB_B, steps(1))
        for job in (JOB_A, JOB_B):
            site.await_state("e2", job, "completed")
        print("  starts:", sum(site.judge.starts.values()))
        print_unsent(site)
        print_breaches(site)


def main(build):
    large_record(build)
    large_append(build)
    large_frames(build)


main(sys.argv[1])

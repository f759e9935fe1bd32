"""galenapier losses, on a log written here: where jobs lost their time."""

import json
import os
import subprocess
import sys
import tempfile

BEGAN_US = 1796236245000000


class Log:
    """Log lines of an entry that accepts jobs, e1, and of the leader, e2."""

    def __init__(self):
        self.lines = ["a line that is none"]

    def event(self, at_s, process, event, **fields):
        self.lines.append(json.dumps(
            {"time": BEGAN_US + int(at_s * 1e6), "level": "info",
             "process": process, "event": event, **fields}))

    def answered(self, at_s, job, status=200, why="on the log"):
        self.event(at_s, "e1", "job.answered", job=job, status=status,
                   why=why, after_ms=20, doubtful=0)

    def run(self, job, queue, run, begins_s, ends_s, how):
        task = f"{job}.0.0.0"
        self.event(begins_s, "e2", "run.assigned", task=task, queue=queue,
                   run=run, executor="w1-1")
        if how is not None:
            self.event(ends_s, "e2", "run.ended", task=task, run=run,
                       executor="w1-1", how=how, after_ms=0)

    def lost(self, at_s, job, executor, suspects):
        self.event(at_s, "e2", "run.lost", task=f"{job}.0.0.0", run=1,
                   executor=executor, suspect=0, suspects=suspects)

    def next_life(self, at_s, executor, lost, carried):
        self.event(at_s, "e2", "executor.next_life", executor=executor,
                   born_ms=2, born_before_ms=1, carried=carried, lost=lost)

    def ended(self, at_s, job, state, took_ms, objective_ms=2000):
        self.event(at_s, "e2", "job.ended", job=job, state=state, done=1,
                   tasks=1, took_ms=took_ms, objective_ms=objective_ms)


def write(log):
    """Write to LOG a job, or a request for one, for each kind of loss."""
    in_time, no_room, again, at_work, refused, unknown, second, cancelled = (
        f"{number:016x}" for number in range(1, 9))
    log.answered(0.02, in_time)
    log.run(in_time, "check", 1, 0.1, 0.9, "done")
    log.ended(0.9, in_time, "completed", 880)
    log.answered(0.12, no_room)
    log.run(no_room, "check", 1, 5.1, 5.9, "done")
    log.ended(5.9, no_room, "completed", 5780)
    log.answered(0.22, again)
    log.run(again, "check", 1, 0.3, 3.3, "failed")
    log.run(again, "check", 2, 3.3, 4.0, "done")
    log.ended(4.0, again, "completed", 3780)
    log.answered(11.02, at_work)
    log.run(at_work, "work", 1, 11.1, 15.1, "done")
    log.ended(15.1, at_work, "failed", 4080)
    log.answered(12.2, refused, 503, "not available")
    log.answered(13.4, refused, 503, "not available")
    log.answered(12.3, unknown, 504, "the store does not answer")
    log.answered(12.4, second, 503, "not available")
    log.answered(13.6, second)
    log.run(second, "check", 1, 13.7, 0, None)
    log.lost(13.9, refused, "w2-1", "")
    log.lost(13.91, cancelled, "w3-1", f"{again} {at_work}")
    log.lost(13.92, refused, "w3-1", f"{again} {at_work}")
    log.lost(13.8, unknown, "w4-1", again)
    log.next_life(13.95, "w2-1", 3, 1)
    log.next_life(13.97, "w2-1", 2, 0)
    log.answered(14.0, cancelled)
    log.ended(14.5, cancelled, "cancelled", 490, -1)


def show(build, *arguments):
    print("$ galenapier losses", *(os.path.basename(a) for a in arguments),
          flush=True)
    done = subprocess.run([os.path.join(build, "galenapier"), "losses",
                           *arguments], stdout=subprocess.PIPE,
                          stderr=subprocess.STDOUT, check=False)
    sys.stdout.write(done.stdout.decode())
    print("exit:", done.returncode)


def main(build):
    log = Log()
    write(log)
    with tempfile.TemporaryDirectory() as folder:
        # Each process logs only what it knows.
        paths = [os.path.join(folder, name) for name in ("e1.log", "e2.log")]
        for path in paths:
            name = os.path.basename(path).removesuffix(".log")
            with open(path, "w", encoding="utf-8") as out:
                out.write("\n".join(line for line in log.lines
                                    if f'"{name}"' in line) + "\n")
        show(build, *paths)
        show(build, "--every", "12", "--json", *paths)
        show(build, "--every", "0", *paths)
        show(build)


main(sys.argv[1])

"""Tasks that take their executors down, and starts that are ordered or carried
out late.

What users saw: such a task was started six times and more.  A start of it that
was to be alone, so that its end tells, was not: the store was away between the
decision and the order, and its executor was kept for it from the decision on;
or a start of another task, which the executor had not answered, was still on
its way there, and might have begun at any time.

Set KEEP_LOGS to a path's beginning to keep the logs of what failed.

Each of four such tasks is started five times at the most, its job is given up
within a minute of the last fault, and nothing happens to the jobs beside them.
"""

import contextlib
import os
import shutil
import signal
import struct
import sys
import threading
import time

from crashes import GIVEN_UP_S, STARTS_MAX, answered, wait_for
from platform_site import site_of
from same_id import Stream
from site_processes import request

JOB_LASTING = "00000000beef00bb"
JOBS = [f"{i:015x}a" for i in range(0xc0, 0xc4)]
CRASHERS = {job: job + ".0.0.0" for job in JOBS}
STEP = {"count": 3, "cpu": 1000, "memMb": 10, "estimateMs": 300}
SMALL = [{"count": 6, "cpu": 1000, "memMb": 10, "estimateMs": 300}]
LASTING = [{"count": 2, "cpu": 1000, "memMb": 10, "longRunning": True}]
# Longer than an executor is kept for a start that can't be begun.
AWAY_S = 5.0
# Orders are carried out late for so long after each crash, and so much later.
LATE_FOR_S = 4.0
LATE_S = (0.1, 4.5)
LATER_S = (2.0, 12.0)
LATE_SHARE = 0.8
# For so long guards are stopped.
PAUSED_S = 3.0
# So many faults, each at another start.
FAULTS = 3
# As TaskProgress.alone stands in a record.
ALONE = b"\x40\x01"


def alone_in(body, jobs):
    """The first of JOBS of which a record in BODY starts a task alone, or
    None."""
    while body:
        size = struct.unpack(">I", body[:4])[0]
        record, body = body[4:4 + size], body[4 + size:]
        key = record[1:1 + record[0]].decode()
        if key in jobs and ALONE in record[1 + record[0]:]:
            return key
    return None


class Trap:
    """Does something when the leader writes down that a task in CRASHERS is
    started alone: the order waits for the record.  Once for each start."""

    def __init__(self, site, do):
        self.site = site
        self.do = do
        self.left = FAULTS
        self.sprung = set()
        self.over_at = time.monotonic()
        self.append = site.store.append
        site.store.append = self.on_append

    def is_sprung(self, query, body):
        """Is the last fault past, and does BODY start one of them alone?"""
        if self.left == 0 or query["topic"] != "keyed.progress" \
                or time.monotonic() < self.over_at:
            return False
        job = alone_in(body, JOBS)
        start = job, self.site.judge.starts.get(CRASHERS.get(job), 0)
        if job is None or start in self.sprung:
            return False
        self.sprung.add(start)
        return True

    def on_append(self, query, body):
        if self.is_sprung(query, body):
            self.left -= 1
            self.over_at = time.monotonic() + AWAY_S
            return self.do(query, body)
        return self.append(query, body)


def away(site, how):
    """A trap that takes the store away with the append that it is sprung by."""
    def do(query, body):
        site.store.down = how
        threading.Timer(AWAY_S, come_back, (site,)).start()
        return (503, b"{}") if how == "busy" else None
    return Trap(site, do)


def come_back(site):
    site.store.down = None


def late_for(executor, late_s):
    """EXECUTOR leaves most starts unanswered for a while."""
    executor.late, executor.late_s = LATE_SHARE, late_s
    executor.late_calls = ("run-start",)
    time.sleep(LATE_FOR_S)
    executor.late = 0.0


def all_late_for(late_s):
    """What is to be done at a crash: all executors leave starts unanswered."""
    def do(site, worker):
        for executor in site.executors.values():
            threading.Thread(target=late_for, args=(executor, late_s)).start()
    return do


class Crashes:
    """DO (name of the worker) in a thread at each crash, until `end`; what is
    done lasts for LATE_FOR_S at the most."""

    def __init__(self, site, faults, do):
        self.site = site
        self.faults = faults
        self.do = do
        self.over = threading.Event()
        self.acts = []
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        seen = 0
        while not self.over.wait(0.005):
            crashes = self.site.judge.crashes
            if len(crashes) > seen:
                worker = crashes[seen].rsplit("-", 1)[0]
                seen += 1
                self.faults.last(LATE_FOR_S)
                act = threading.Thread(target=self.do, args=(worker,))
                act.start()
                self.acts.append(act)

    def end(self):
        self.over.set()
        self.thread.join()
        for act in self.acts:
            act.join()


class Faults:
    """When the last one was over, or will be."""

    def __init__(self):
        self.over_at = time.monotonic()

    def last(self, seconds):
        self.over_at = max(self.over_at, time.monotonic() + seconds)


def are_given_up(site, faults):
    """Are all of JOBS, within GIVEN_UP_S of the last of FAULTS?"""
    while time.monotonic() < faults.over_at + GIVEN_UP_S:
        if all(answered(site, job) == "failed" for job in JOBS):
            return True
        time.sleep(0.2)
    return False


def judge(site, faults):
    """Whatever went on: what became of JOBS?"""
    starts = site.judge.starts
    ended = are_given_up(site, faults)
    counts = [starts.get(CRASHERS[job], 0) for job in JOBS]
    print("  starts:", counts, file=sys.stderr)
    if "KEEP_LOGS" in os.environ and (not ended or max(counts) > STARTS_MAX):
        shutil.copytree(site.folder, os.environ["KEEP_LOGS"] + str(os.getpid()))
    print("  given up:", ended, "started at most five times:",
          max(counts) <= STARTS_MAX)


def submit(site, job):
    """Is JOB accepted?"""
    with contextlib.suppress(OSError):
        return site.submit("e1", job, [STEP]) == 200
    return False


def play(build, do=lambda site, worker: None, trap=lambda site: None):
    """DO at each crash; TRAP (site) is set before the first one."""
    with site_of(build, entries=3, workers=6) as site:
        site.judge.crashers.update(CRASHERS.values())
        site.submit("e1", JOB_LASTING, LASTING, spec="lasts")
        wait_for(lambda: len(site.judge.at_work(JOB_LASTING)) == 2, 10)
        stream = Stream(site, SMALL)
        faults = Faults()
        crashes = Crashes(site, faults, lambda worker: do(site, worker))
        trap(site)
        for job in JOBS:
            wait_for(lambda j=job: submit(site, j), GIVEN_UP_S)
        judge(site, faults)
        crashes.end()
        come_back(site)
        stream.end()
        back = wait_for(lambda: len(site.judge.at_work(JOB_LASTING)) == 2, 15)
        print("  beside them:", answered(site, JOB_LASTING), "at work:", back,
              "breaches:", site.judge.breaches)


def leader_killed(site):
    """Kill the leader while an order waits for its record, which is lost, or
    has been written."""
    first = site.leader()
    site.processes[first].kill()
    wait_for(lambda: site.leader() not in (None, first), 10)
    site.processes[first].start()


def starts_late(build):
    print("executors carry starts out late, for a while after each crash")
    play(build, all_late_for(LATE_S))


def starts_later(build):
    print("they carry them out up to twelve seconds late")
    play(build, all_late_for(LATER_S))


def store_silent(build):
    print("the store is silent when such a start is written down")
    play(build, trap=lambda site: away(site, "silent"))


def store_refusing(build):
    print("the store refuses it")
    play(build, trap=lambda site: away(site, "busy"))


def store_slow(build):
    print("the store takes seconds for it")

    def trap(site):
        def do(query, body):
            time.sleep(0.9)
            return trap.append(query, body)
        trap = Trap(site, do)
    play(build, trap=trap)


def answers_lost(build):
    print("the store writes it down, and its answer is lost; then it is silent")

    def trap(site):
        def do(query, body):
            trap.append(query, body)
            site.store.down = "silent"
            threading.Timer(AWAY_S, come_back, (site,)).start()
        trap = Trap(site, do)
    play(build, trap=trap)


def guard_killed(build):
    print("a guard is killed under each start, and the store is silent at the "
          "next one")

    def restart(site, worker):
        site.processes[worker].kill()
        time.sleep(0.5)
        site.processes[worker].start()
    play(build, restart, lambda site: away(site, "silent"))


def guards_stopped(build):
    print("guards are stopped between the record and the start")

    def stop(site, worker):
        others = [name for name in site.executors if name != worker]
        for name in others[::2]:
            pause(site.processes[name])
    play(build, stop)


def pause(process):
    process.signal(signal.SIGSTOP)
    threading.Timer(PAUSED_S, process.signal, (signal.SIGCONT,)).start()


def leader_waits(build):
    print("the leader is killed while such a start waits for its record")

    def trap(site):
        def do(query, body):
            threading.Thread(target=leader_killed, args=(site,)).start()
            if trap.left % 2:
                trap.append(query, body)
        trap = Trap(site, do)
    play(build, trap=trap)


def late_and_refusing(build):
    print("executors carry starts out late while the store refuses")
    play(build, all_late_for(LATE_S), lambda site: away(site, "busy"))


def told_as_put_off(build):
    """What operators saw: a store that refused an append for seconds passed for
    one that took milliseconds, and its orders for orders made at once."""
    print("an append that the store puts off for seconds is told so")
    for how in ("silent", "busy"):
        with site_of(build, workers=1) as site:
            site.submit("e1", JOBS[0], SMALL)
            site.store.down = how
            time.sleep(AWAY_S)
            come_back(site)
            wait_for(lambda s=site: answered(s, JOBS[0]) == "completed", 20)
            print(f"  {how}: told by the counter:", slow_appends(site) > 0,
                  "by the log:", puts_off(site) > 0)


def slow_appends(site):
    """How many appends took longer than half of AWAY_S, by the leader."""
    counts = {}
    _, _, data = request(site.metrics[site.leader()], "GET", "/metrics")
    for line in data.decode().splitlines():
        name, _, value = line.rpartition(" ")
        if name.startswith("galenapier_progress_append_seconds_bucket"):
            counts[name.split('"')[1]] = int(value)
    within = max((count for bound, count in counts.items()
                  if bound != "+Inf" and float(bound) <= AWAY_S / 2),
                 default=0)
    return counts["+Inf"] - within


def puts_off(site):
    return site.processes[site.leader()].log().count('"append.put_off"')


SCENARIOS = {scenario.__name__: scenario
             for scenario in (starts_late, starts_later, store_silent,
                              store_refusing, store_slow, answers_lost,
                              guard_killed, guards_stopped, leader_waits,
                              late_and_refusing, told_as_put_off)}

if __name__ == "__main__":
    for wanted in sys.argv[2:] or SCENARIOS:
        SCENARIOS[wanted](sys.argv[1])

"""Tasks that crash their executors while starts are ordered or run late.

Guards against a fault in which such a task was started six times or more.  Its
isolated start, which is to show whether the task is at fault, was not isolated:
the store was unavailable between the decision and the order, while the time
for which the executor was dedicated to the task counted from the decision; or
a start of another task that the executor had not answered was still pending
and could have begun at any time.

Each of four such tasks is started at most five times, its job is given up
within a minute of the last fault, and the other jobs are not affected.

If KEEP_LOGS is set, the logs of a failed scenario are copied to a directory
whose path is KEEP_LOGS with the process id appended.
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
# Longer than an executor stays dedicated to a start that cannot be sent.
AWAY_S = 5.0
# For how long after each crash starts run late, and by how many seconds.
LATE_FOR_S = 4.0
LATE_S = (0.1, 4.5)
LATER_S = (2.0, 12.0)
LATE_SHARE = 0.8
# For how long guards are stopped.
PAUSED_S = 3.0
# Number of faults, each injected at another start.
FAULTS = 3
# TaskProgress.alone set to true, as encoded in a record.
ALONE = b"\x40\x01"


def alone_in(body, jobs):
    """Return the first of JOBS that has an isolated start in BODY, or None.

    BODY is an append of records to the progress stream.
    """
    while body:
        size = struct.unpack(">I", body[:4])[0]
        record, body = body[4:4 + size], body[4 + size:]
        key = record[1:1 + record[0]].decode()
        if key in jobs and ALONE in record[1 + record[0]:]:
            return key
    return None


class Trap:
    """Calls DO instead of the append that records an isolated start.

    The leader sends the order for the start only once it is recorded.  DO is
    called at most once for each start of a task in CRASHERS.
    """

    def __init__(self, site, do):
        self.site = site
        self.do = do
        self.left = FAULTS
        self.sprung = set()
        self.over_at = time.monotonic()
        self.append = site.store.append
        site.store.append = self.on_append

    def is_sprung(self, query, body):
        """Return whether to inject a fault at this append.

        BODY must record an isolated start, and the last fault must be over.
        """
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
        """Handle an append in place of the store."""
        if self.is_sprung(query, body):
            self.left -= 1
            self.over_at = time.monotonic() + AWAY_S
            return self.do(query, body)
        return self.append(query, body)


def away(site, how):
    """Make the store unavailable from the append of an isolated start on.

    HOW is "silent" (no answer) or "busy" (status 503).
    """
    def do(query, body):
        site.store.down = how
        threading.Timer(AWAY_S, come_back, (site,)).start()
        return (503, b"{}") if how == "busy" else None
    return Trap(site, do)


def come_back(site):
    """Make the store of SITE available again."""
    site.store.down = None


def late_for(executor, late_s):
    """Have EXECUTOR run most starts late, without an answer, for a while."""
    executor.late, executor.late_s = LATE_SHARE, late_s
    executor.late_calls = ("run-start",)
    time.sleep(LATE_FOR_S)
    executor.late = 0.0


def all_late_for(late_s):
    """Return a function for `play` that has all executors run starts late."""
    def do(site, worker):
        for executor in site.executors.values():
            threading.Thread(target=late_for, args=(executor, late_s)).start()
    return do


class Crashes:
    """Calls DO with the worker's name in a thread at each crash until `end`.

    A call of DO takes at most LATE_FOR_S.
    """

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
    """Keeps the time at which the last injected fault is over."""

    def __init__(self):
        self.over_at = time.monotonic()

    def last(self, seconds):
        """Note a fault that lasts for SECONDS from now."""
        self.over_at = max(self.over_at, time.monotonic() + seconds)


def are_given_up(site, faults):
    """Return whether all JOBS fail within GIVEN_UP_S of the last fault."""
    while time.monotonic() < faults.over_at + GIVEN_UP_S:
        if all(answered(site, job) == "failed" for job in JOBS):
            return True
        time.sleep(0.2)
    return False


def judge(site, faults):
    """Print whether JOBS were given up, after at most STARTS_MAX starts."""
    starts = site.judge.starts
    ended = are_given_up(site, faults)
    counts = [starts.get(CRASHERS[job], 0) for job in JOBS]
    print("  starts:", counts, file=sys.stderr)
    if "KEEP_LOGS" in os.environ and (not ended or max(counts) > STARTS_MAX):
        shutil.copytree(site.folder, os.environ["KEEP_LOGS"] + str(os.getpid()))
    print("  given up:", ended, "started at most five times:",
          max(counts) <= STARTS_MAX)


def submit(site, job):
    """Submit JOB and return whether it is accepted."""
    with contextlib.suppress(OSError):
        return site.submit("e1", job, [STEP]) == 200
    return False


def play(build, do=lambda site, worker: None, trap=lambda site: None):
    """Run JOBS while DO injects faults at each crash.

    TRAP is called with the site before JOBS are submitted.
    """
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
    """Kill the leader, wait for another one and restart the process.

    Its order is still waiting for the record, which was either lost or written.
    """
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
    """Stop PROCESS for PAUSED_S."""
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
    """The metrics and the log must show appends that the store put off.

    Appends that the store refused for seconds counted as taking milliseconds,
    and the orders that depended on them as sent without delay.
    """
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
    """Return how many appends of the leader took more than half of AWAY_S."""
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
    """Return how many times the leader logged that an append was put off."""
    return site.processes[site.leader()].log().count('"append.put_off"')


SCENARIOS = {scenario.__name__: scenario
             for scenario in (starts_late, starts_later, store_silent,
                              store_refusing, store_slow, answers_lost,
                              guard_killed, guards_stopped, leader_waits,
                              late_and_refusing, told_as_put_off)}

if __name__ == "__main__":
    for wanted in sys.argv[2:] or SCENARIOS:
        SCENARIOS[wanted](sys.argv[1])

"""Tasks that crash their executors while starts are ordered or run late.

Guards against a fault in which such a task was started six times or more.  Its
isolated start, which is to show whether the task is at fault, was not
isolated: the store was unavailable between the decision and the order, while
the time for which the executor was dedicated to the task counted from the
decision; or a start of another task that the executor had not answered was
still pending and could have begun at any time.

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

from crashes import GIVE_UP_LIMIT_S, STARTS_MAX, holds_within, state_from_any
from platform_site import start_site
from same_id import JobStream
from site_processes import request

JOB_LONG_RUNNING = "00000000beef00bb"
JOBS = [f"{i:015x}a" for i in range(0xc0, 0xc4)]
CRASHERS = {job: job + ".0.0.0" for job in JOBS}
STEP = {"count": 3, "cpu": 1000, "memMb": 10, "estimateMs": 300}
SMALL = [{"count": 6, "cpu": 1000, "memMb": 10, "estimateMs": 300}]
LONG_RUNNING = [{"count": 2, "cpu": 1000, "memMb": 10, "longRunning": True}]
# Longer than an executor stays dedicated to a start that cannot be sent.
OUTAGE_S = 5.0
# For how long after each crash starts run late, and by how many seconds.
LATE_PERIOD_S = 4.0
LATE_S = (0.1, 4.5)
LATER_S = (2.0, 12.0)
LATE_SHARE = 0.8
# For how long guards are stopped.
GUARD_PAUSE_S = 3.0
# Number of faults, each injected at another start.
FAULTS = 3
# TaskProgress.alone set to true, as encoded in a record.
ISOLATED_START = b"\x40\x01"


def isolated_start_in(body, jobs):
    """Return the first of JOBS that has an isolated start in BODY, or None.

    BODY is an append of records to the progress stream.
    """
    while body:
        size = struct.unpack(">I", body[:4])[0]
        record, body = body[4:4 + size], body[4 + size:]
        key = record[1:1 + record[0]].decode()
        if key in jobs and ISOLATED_START in record[1 + record[0]:]:
            return key
    return None


class IsolatedStartHook:
    """Calls DO instead of the append that records an isolated start.

    The leader sends the order for the start only once it is recorded.  DO is
    called at most once for each start of a task in CRASHERS.
    """

    def __init__(self, site, do):
        self.site = site
        self.do = do
        self.left = FAULTS
        self.triggered = set()
        self.over_at = time.monotonic()
        self.append = site.store.append
        site.store.append = self.on_append

    def is_triggered_by(self, query, body):
        """Return whether to inject a fault at this append.

        BODY must record an isolated start, and the last fault must be over.
        """
        if self.left == 0 or query["topic"] != "keyed.progress" \
                or time.monotonic() < self.over_at:
            return False
        job = isolated_start_in(body, JOBS)
        start = job, self.site.judge.starts.get(CRASHERS.get(job), 0)
        if job is None or start in self.triggered:
            return False
        self.triggered.add(start)
        return True

    def on_append(self, query, body):
        """Handle an append in place of the store."""
        if self.is_triggered_by(query, body):
            self.left -= 1
            self.over_at = time.monotonic() + OUTAGE_S
            return self.do(query, body)
        return self.append(query, body)


def store_outage(site, how):
    """Make the store unavailable from the append of an isolated start on.

    HOW is "silent" (no answer) or "busy" (status 503).
    """
    def do(query, body):
        site.store.down = how
        threading.Timer(OUTAGE_S, restore_store, (site,)).start()
        return (503, b"{}") if how == "busy" else None
    return IsolatedStartHook(site, do)


def restore_store(site):
    """Make the store of SITE available again."""
    site.store.down = None


def run_starts_late(executor, late_s):
    """Have EXECUTOR run most starts late, without an answer, for a while."""
    executor.late, executor.late_s = LATE_SHARE, late_s
    executor.late_calls = ("run-start",)
    time.sleep(LATE_PERIOD_S)
    executor.late = 0.0


def run_all_starts_late(late_s):
    """Return a fault for `run_scenario`: all executors run starts late."""
    def do(site, worker):
        for executor in site.executors.values():
            threading.Thread(target=run_starts_late,
                             args=(executor, late_s)).start()
    return do


class CrashWatcher:
    """Calls DO with the worker's name in a thread at each crash until `end`.

    A call of DO takes at most LATE_PERIOD_S.
    """

    def __init__(self, site, faults, do):
        self.site = site
        self.faults = faults
        self.do = do
        self.over = threading.Event()
        self.threads = []
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        seen = 0
        while not self.over.wait(0.005):
            crashes = self.site.judge.crashes
            if len(crashes) > seen:
                worker = crashes[seen].rsplit("-", 1)[0]
                seen += 1
                self.faults.extend(LATE_PERIOD_S)
                thread = threading.Thread(target=self.do, args=(worker,))
                thread.start()
                self.threads.append(thread)

    def end(self):
        self.over.set()
        self.thread.join()
        for thread in self.threads:
            thread.join()


class FaultPeriod:
    """Keeps the time at which the last injected fault is over."""

    def __init__(self):
        self.over_at = time.monotonic()

    def extend(self, seconds):
        """Note a fault that lasts for SECONDS from now."""
        self.over_at = max(self.over_at, time.monotonic() + seconds)


def are_given_up(site, faults):
    """Return whether all JOBS fail in time after the last of FAULTS."""
    while time.monotonic() < faults.over_at + GIVE_UP_LIMIT_S:
        if all(state_from_any(site, job) == "failed" for job in JOBS):
            return True
        time.sleep(0.2)
    return False


def print_outcome(site, faults):
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


def run_scenario(build, do=lambda site, worker: None, hook=lambda site: None):
    """Run JOBS while DO injects faults at each crash.

    HOOK is called with the site before JOBS are submitted.
    """
    with start_site(build, entries=3, workers=6) as site:
        site.judge.crashers.update(CRASHERS.values())
        site.submit("e1", JOB_LONG_RUNNING, LONG_RUNNING, spec="lasts")
        holds_within(
            lambda: len(site.judge.at_work(JOB_LONG_RUNNING)) == 2, 10)
        stream = JobStream(site, SMALL)
        faults = FaultPeriod()
        crashes = CrashWatcher(site, faults, lambda worker: do(site, worker))
        hook(site)
        for job in JOBS:
            holds_within(lambda j=job: submit(site, j), GIVE_UP_LIMIT_S)
        print_outcome(site, faults)
        crashes.end()
        restore_store(site)
        stream.end()
        back = holds_within(
            lambda: len(site.judge.at_work(JOB_LONG_RUNNING)) == 2, 15)
        print("  beside them:", state_from_any(site, JOB_LONG_RUNNING),
              "at work:", back, "breaches:", site.judge.breaches)


def replace_leader(site):
    """Kill the leader, wait for another one and restart the process.

    Its order is still waiting for the record, which was either lost or
    written.
    """
    first = site.leader()
    site.processes[first].kill()
    holds_within(lambda: site.leader() not in (None, first), 10)
    site.processes[first].start()


def starts_late(build):
    print("executors carry starts out late, for a while after each crash")
    run_scenario(build, run_all_starts_late(LATE_S))


def starts_later(build):
    print("they carry them out up to twelve seconds late")
    run_scenario(build, run_all_starts_late(LATER_S))


def store_silent(build):
    print("the store is silent when such a start is written down")
    run_scenario(build, hook=lambda site: store_outage(site, "silent"))


def store_refusing(build):
    print("the store refuses it")
    run_scenario(build, hook=lambda site: store_outage(site, "busy"))


def store_slow(build):
    print("the store takes seconds for it")

    def hook(site):
        def do(query, body):
            time.sleep(0.9)
            return hook.append(query, body)
        hook = IsolatedStartHook(site, do)
    run_scenario(build, hook=hook)


def answers_lost(build):
    print("the store writes it down, and its answer is lost; then it is silent")

    def hook(site):
        def do(query, body):
            hook.append(query, body)
            site.store.down = "silent"
            threading.Timer(OUTAGE_S, restore_store, (site,)).start()
        hook = IsolatedStartHook(site, do)
    run_scenario(build, hook=hook)


def guard_killed(build):
    print("a guard is killed under each start, and the store is silent at the "
          "next one")

    def restart(site, worker):
        site.processes[worker].kill()
        time.sleep(0.5)
        site.processes[worker].start()
    run_scenario(build, restart, lambda site: store_outage(site, "silent"))


def guards_stopped(build):
    print("guards are stopped between the record and the start")

    def stop(site, worker):
        others = [name for name in site.executors if name != worker]
        for name in others[::2]:
            pause(site.processes[name])
    run_scenario(build, stop)


def pause(process):
    """Stop PROCESS for GUARD_PAUSE_S."""
    process.signal(signal.SIGSTOP)
    threading.Timer(GUARD_PAUSE_S, process.signal, (signal.SIGCONT,)).start()


def leader_waits(build):
    print("the leader is killed while such a start waits for its record")

    def hook(site):
        def do(query, body):
            threading.Thread(target=replace_leader, args=(site,)).start()
            if hook.left % 2:
                hook.append(query, body)
        hook = IsolatedStartHook(site, do)
    run_scenario(build, hook=hook)


def late_and_refusing(build):
    print("executors carry starts out late while the store refuses")
    run_scenario(build, run_all_starts_late(LATE_S),
                 lambda site: store_outage(site, "busy"))


def told_as_put_off(build):
    """The metrics and the log must show appends that the store put off.

    Appends that the store refused for seconds counted as taking milliseconds,
    and the orders that depended on them as sent without delay.
    """
    print("an append that the store puts off for seconds is told so")
    for how in ("silent", "busy"):
        with start_site(build, workers=1) as site:
            site.submit("e1", JOBS[0], SMALL)
            site.store.down = how
            time.sleep(OUTAGE_S)
            restore_store(site)
            holds_within(
                lambda s=site: state_from_any(s, JOBS[0]) == "completed", 20)
            print(f"  {how}: told by the counter:", slow_appends(site) > 0,
                  "by the log:", count_put_off(site) > 0)


def slow_appends(site):
    """Return how many appends of the leader took over half of OUTAGE_S."""
    counts = {}
    _, _, data = request(site.metrics[site.leader()], "GET", "/metrics")
    for line in data.decode().splitlines():
        name, _, value = line.rpartition(" ")
        if name.startswith("galenapier_progress_append_seconds_bucket"):
            counts[name.split('"')[1]] = int(value)
    within = max((count for bound, count in counts.items()
                  if bound != "+Inf" and float(bound) <= OUTAGE_S / 2),
                 default=0)
    return counts["+Inf"] - within


def count_put_off(site):
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

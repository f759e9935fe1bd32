"""Rounds of the soak in which workers are removed while leaders change.

In each round one or two executors drain, deregister and leave, and their
guards get SIGTERM a second later and are not started again; as many workers
join.  Around the time at which the first of them leaves, the store turns only
the leading entry away, and the leader is killed, paused or stopped, and
open connections go silent for good.  Then the site is left alone for the rest
of the round, so that the bounds of calm stretches apply.
"""

import contextlib
import random
import threading
import time

from platform_executor import STOP_S
from soak_callers import Caller

WARM_UP_S = 6.0  # until long-running tasks are everywhere
ROUND_S = 22.0
# From the start of a round to the start of the drains.
DRAIN_AT_S = 1.0
# Bounds of the time from the acknowledgement of a drain to the departure.
DRAIN_S = (0.2, 2.5)
# Bounds of times from the planned departure of the first worker.
STORE_AT_S = (-2.0, 0.3)
LEADER_AT_S = (-0.5, 2.0)
SILENCE_AT_S = (-1.5, 1.5)
JOIN_AT_S = (0.2, 5.0)  # from the start of the round
STORE_AWAY_S = (2.0, 6.0)
# The store may also be away from before the drain until after the departure,
# so that nothing is moved in time.
STORE_BEFORE_DRAIN_S = (0.0, 1.0)
LEADER_CHECK_S = 0.1
LEADER_PAUSE_S = (1.0, 4.0)
GUARD_AFTER_S = 1.0
MAX_LEAVING = 2

CHECK_INTERVAL_S = 0.05
# A long-running task must run again when all of these are over: the time
# since the end of its last run, of calm, and with room for it.
RESTART_S = 9.0
CALM_S = 7.0
ROOM_S = 3.0
ROOM_FOR = 2  # "room" is as many times the room that the task needs
# Tasks must be gone this long after an acknowledged cancellation, in calm.
CANCEL_S = 3.0

CANCEL_SHARE = 0.15  # of the jobs, as soon as they are accepted


class Calm:
    """When the site was last disturbed, apart from executors that leave."""

    def __init__(self):
        self.lock = threading.Lock()
        self.disturbances = 0  # in progress
        self.last = time.monotonic()

    @contextlib.contextmanager
    def disturbed(self):
        """Count the with block as a disturbance."""
        with self.lock:
            self.disturbances += 1
        try:
            yield
        finally:
            with self.lock:
                self.disturbances -= 1
                self.last = time.monotonic()

    def since(self):
        """Return since when the site has been calm; now if it is not."""
        with self.lock:
            return time.monotonic() if self.disturbances else self.last


class Removals:
    """Plays count rounds at site, with its own random generator."""

    def __init__(self, site, faults, book, seed, count):
        self.site = site
        self.faults = faults
        self.book = book
        self.count = count
        self.random = random.Random(f"removals {seed}")
        self.calm = Calm()

    def run(self):
        """Play all rounds, each of which takes ROUND_S."""
        time.sleep(WARM_UP_S)
        began = time.monotonic()
        for i in range(self.count):
            self.begin_round()
            time.sleep(max(0.0, began + (i + 1) * ROUND_S - time.monotonic()))

    def begin_round(self):
        """Draw the faults of a round and let them begin in threads."""
        names = self.with_long_running_tasks()
        leaving = self.random.sample(
            names, min(len(names), self.random.randint(1, MAX_LEAVING)))
        drains_s = [self.random.uniform(*DRAIN_S) for _ in leaving]
        departs_s = DRAIN_AT_S + drains_s[0]
        self.faults.note(f"round: {leaving} leave, {drains_s[0]:.1f} s")
        self.draw_store_fault(drains_s[0])
        for what, share, bounds_s in (
                (self.disturb_leader, 0.5, LEADER_AT_S),
                (self.silence, 0.6, SILENCE_AT_S)):
            occurs = self.random.random() < share
            at_s = max(0.0, departs_s + self.random.uniform(*bounds_s))
            draws = random.Random(self.random.random())
            if occurs:
                self.faults.later(at_s, what, draws)
        for name, drain_s in zip(leaving, drains_s):
            self.faults.later(DRAIN_AT_S, self.remove, name, drain_s)
            self.faults.later(self.random.uniform(*JOIN_AT_S), self.join,
                              self.random.getrandbits(32),
                              self.random.choice(self.site.zones))

    def with_long_running_tasks(self):
        """Return the executors with such tasks, all if there is none."""
        tasks = set(self.book.long_running_tasks())
        found = [name for name, executor in list(self.site.executors.items())
                 if tasks.intersection(list(executor.runs))]
        return sorted(found or self.site.executors)

    def draw_store_fault(self, drain_s):
        """Let the store turn the leader away around a departure.

        The drain takes drain_s.
        """
        from_before_drain = self.random.random() < 0.5
        away_s = self.random.uniform(*STORE_AWAY_S)
        if from_before_drain:
            at_s = DRAIN_AT_S - self.random.uniform(*STORE_BEFORE_DRAIN_S)
            away_s += drain_s
        else:
            at_s = DRAIN_AT_S + drain_s + self.random.uniform(*STORE_AT_S)
        how = self.random.choice(["refuses", "is silent to"])
        follows = self.random.random() < 0.5
        self.faults.later(max(0.0, at_s), self.store_turns_leader_away, how,
                          away_s, follows)

    def remove(self, name, drain_s):
        if self.faults.claim(name) is None:
            return
        executor, guard = self.site.executors[name], self.site.processes[name]
        self.faults.note(f"{name} drains")
        executor.drain(drain_s, 0.0)
        self.faults.note(f"{name} has left")
        self.site.executors.pop(name)
        time.sleep(GUARD_AFTER_S)
        self.faults.note(f"SIGTERM to {name}")
        with self.calm.disturbed():
            self.site.end_guard(name)
        self.faults.note(f"{name} has ended: {guard.popen.returncode}")

    def join(self, seed, zone):
        with self.calm.disturbed():
            self.faults.worker_joins(seed, zone)

    def store_turns_leader_away(self, how, seconds, follows):
        """Let the store turn the leader away for seconds.

        If it follows, each next leader is turned away in place of the former.
        """
        store = self.site.store
        turned_away = store.refused if how == "refuses" else store.silent
        until = time.monotonic() + seconds
        away = None
        with self.calm.disturbed():
            while time.monotonic() < until:
                leader = self.site.leader()
                if leader not in (None, away) and (follows or not away):
                    self.faults.note(f"store {how} {leader}")
                    self.faults.trouble(seconds, [leader])
                    turned_away.clear()
                    turned_away.add(self.site.store_addresses[leader])
                    away = leader
                time.sleep(LEADER_CHECK_S)
            turned_away.clear()
        self.faults.note(f"store serves {away}")

    def disturb_leader(self, draws):
        leader, pause_s = self.site.leader(), draws.uniform(*LEADER_PAUSE_S)
        action = draws.choice([self.faults.kill, self.faults.pause,
                               self.faults.stop])
        with self.calm.disturbed():
            action(leader, pause_s)

    def silence(self, draws):
        """Silence the open connections of one process or of one kind."""
        names = sorted(self.site.links)
        word = draws.choice(draws.choice(names).split())
        self.faults.note(f"silence {word}")
        self.faults.trouble(0)
        with self.calm.disturbed():
            for name in names:
                if word in name.split():
                    self.site.links[name].silence()


class CancellingCaller(Caller):
    """A caller that cancels some jobs as soon as they are accepted."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.cancel_random = random.Random(f"{arguments[3]} cancels")

    def submit(self):
        job = super().submit()
        if job is not None and self.cancel_random.random() < CANCEL_SHARE:
            self.cancel_job(job)
        return job


class CalmWatch:
    """Checks the bounds of calm stretches in a thread."""

    def __init__(self, site, faults, book, calm):
        self.site = site
        self.faults = faults
        self.book = book
        self.calm = calm
        self.idle_since = {}  # task: since when it has not been running
        self.room_since = 0.0
        self.worst_idle_s = 0.0
        self.breaches = {}
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def begin(self):
        self.thread.start()

    def run(self):
        while not self.ended.wait(CHECK_INTERVAL_S):
            self.check(time.monotonic(), self.calm.since())

    def check(self, now, calm_since):
        """Check the bounds at the time now, with calm since calm_since."""
        at_work = set(self.site.judge.at_work(""))
        if not self.has_room():
            self.room_since = now
        for task in self.book.long_running_tasks():
            self.check_running(task, task in at_work, now, calm_since)
        for task in at_work:
            self.check_cancelled(task, now, calm_since)

    def has_room(self):
        """Return whether an executor that stays has room for a task."""
        return any(executor.drained_at is None and not executor.closed
                   and executor.cores - len(executor.runs) >= ROOM_FOR
                   for executor in list(self.site.executors.values()))

    def check_running(self, task, is_at_work, now, calm_since):
        if is_at_work:
            self.idle_since.pop(task, None)
            return
        idle_s = now - self.idle_since.setdefault(task, now)
        is_due = now - calm_since >= CALM_S and now - self.room_since >= ROOM_S
        if is_due:
            self.worst_idle_s = max(self.worst_idle_s, idle_s)
        if is_due and idle_s > RESTART_S:
            self.breach(task, f"{task} lasts and has not been at work for "
                        f"{idle_s:.1f} s, {now - calm_since:.1f} s calm")

    def check_cancelled(self, task, now, calm_since):
        acknowledged = self.book.cancel_acknowledged.get(task.split(".")[0])
        if acknowledged is None:
            return
        allowed_until = max(acknowledged, calm_since) + CANCEL_S + STOP_S
        if now > allowed_until:
            self.breach(task, f"{task} is at work {now - acknowledged:.1f} s "
                        "after the acknowledged cancellation of its job, "
                        f"{now - calm_since:.1f} s calm")

    def breach(self, task, text):
        if task not in self.breaches:
            self.breaches[task] = text
            self.faults.note(text)

    def end(self):
        self.ended.set()
        self.thread.join()


def check_cancelled_ends(site, book):
    """Return the cancelled jobs that are not shown as ended.

    To be called when all jobs have ended.
    """
    entry = next(iter(site.entries))
    states = {job: site.state(entry, job) for job in book.cancel_acknowledged}
    return [f"{job} is {state}, its cancellation was acknowledged"
            for job, state in states.items()
            if state not in ("cancelled", "completed")]

"""Faults of the soak that delay the starts of tasks that crash executors.

They delay isolated starts, so that the crash of the executor may not be
attributed to the task.
"""

import random
import threading

from ordered_late import isolated_start_in

# Bounds of the delay with which executors carry out starts.
LATE_S = [(0.1, 4.5), (2.0, 12.0)]
LATE_SHARE = 0.8
KINDS_AT_ONCE = 2
CHECK_INTERVAL_S = 0.005


class LateStarts:
    """Begins two random faults at each crash of an executor at the site.

    It has its own random generator.  No fault begins after end().
    """

    def __init__(self, site, faults, crashers, seed):
        self.site = site
        self.faults = faults
        self.crashers = crashers
        self.random = random.Random(f"late {seed}")
        self.over = threading.Event()
        # How the store fails at the next isolated start, and for how long.
        self.store_fault = None
        self.append = site.store.append
        site.store.append = self.on_append
        self.kinds = [self.starts_late, self.store_away, self.guard_killed,
                      self.guards_paused, self.leader_killed]
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        seen = 0
        while not self.over.wait(CHECK_INTERVAL_S):
            crashes = self.site.judge.crashes
            if len(crashes) > seen:
                worker = crashes[seen].rsplit("-", 1)[0]
                seen += 1
                for kind in self.random.sample(self.kinds, KINDS_AT_ONCE):
                    kind(worker)

    def end(self):
        self.over.set()
        self.thread.join()
        self.store_fault = None

    def starts_late(self, worker):
        seconds, late_s = self.random.uniform(2, 5), self.random.choice(LATE_S)
        self.faults.note(f"starts late by {late_s} for {seconds:.1f} s")
        self.faults.trouble(seconds + late_s[1])
        for executor in list(self.site.executors.values()):
            executor.late, executor.late_s = LATE_SHARE, late_s
            executor.late_calls = ("run-start",)
        self.faults.later(seconds, self.end_late_starts)

    def end_late_starts(self):
        for executor in list(self.site.executors.values()):
            executor.late, executor.late_s, executor.late_calls = 0.0, 1.0, None

    def store_away(self, worker):
        """Make the store fail at the append of the next isolated start."""
        self.store_fault = (self.random.choice(["busy", "silent"]),
                     self.random.uniform(1, 8))

    def on_append(self, query, body):
        store_fault = self.store_fault
        if store_fault is None or query["topic"] != "keyed.progress" \
                or isolated_start_in(body, list(self.crashers.tasks)) is None:
            return self.append(query, body)
        self.store_fault = None
        how, seconds = store_fault
        self.faults.note(f"store {how} {seconds:.1f} s under a start")
        self.faults.trouble(seconds)
        self.site.store.down = how
        self.faults.later(seconds, self.restore_store)
        return (503, b"{}") if how == "busy" else None

    def restore_store(self):
        self.site.store.down = None

    def guard_killed(self, worker):
        self.faults.in_background(self.faults.kill, worker,
                                  self.random.uniform(0.1, 2))

    def guards_paused(self, worker):
        names = [name for name in list(self.site.executors) if name != worker]
        for name in self.random.sample(names, min(2, len(names))):
            self.faults.in_background(self.faults.pause, name,
                                      self.random.uniform(0.5, 4))

    def leader_killed(self, worker):
        leader = self.site.leader()
        if leader is not None:
            self.faults.in_background(self.faults.kill, leader,
                                      self.random.uniform(0.1, 2))

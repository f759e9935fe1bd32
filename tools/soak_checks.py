"""Checks of the soak.

Accepted jobs must end, refused jobs must not run, and long-running tasks must
be running again soon after an interruption.
"""

import threading
import time

from platform_site import until

SETTLE_S = 40
CHECK_INTERVAL_S = 0.05
# Time within which long-running tasks must run again without unplanned faults.
LONG_RUNNING_RESTART_S = 6.0
LONG_RUNNING_COUNT = 2


class LongRunningWatch:
    """Watches the long-running tasks in a thread."""

    def __init__(self, site, faults, book):
        self.site = site
        self.faults = faults
        self.book = book
        self.missing_since = {}  # job: time since which a task is not running
        self.worst_s = 0.0
        self.breaches = {}
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.ended.wait(CHECK_INTERVAL_S):
            now = time.monotonic()
            for job in self.book.long_running():
                self.check(job, now)

    def check(self, job, now):
        if len(self.site.judge.at_work(job)) == LONG_RUNNING_COUNT:
            self.missing_since.pop(job, None)
            return
        since = self.missing_since.setdefault(job, now)
        if now < self.faults.unplanned_until:
            self.missing_since[job] = now
            return
        self.worst_s = max(self.worst_s, now - since)
        if now - since > LONG_RUNNING_RESTART_S and job not in self.breaches:
            self.breaches[job] = (f"{job} lasts and was not at work for "
                                  f"{LONG_RUNNING_RESTART_S} s")
            self.faults.note(self.breaches[job])

    def end(self):
        self.ended.set()
        self.thread.join()


def check_ends(site, book):
    """Return the violations by jobs that do not end.

    To be called when all faults are over.
    """
    breaches = []
    entry = next(iter(site.entries))
    deadline = time.monotonic() + SETTLE_S
    for job, is_long_running in book.accepted.items():
        left = max(deadline - time.monotonic(), 1.0)
        try:
            until(lambda j=job, k=is_long_running:
                  has_ended(site, book, entry, j, k),
                  timeout_s=left, what=job)
        except TimeoutError:
            breaches.append(
                f"{job} (lasts: {is_long_running}, cancelled: "
                f"{job in book.cancelled}) is {site.state(entry, job)}, "
                f"{len(site.judge.at_work(job))} at work")
    return breaches


def has_ended(site, book, entry, job, is_long_running):
    state = site.state(entry, job)
    at_work = len(site.judge.at_work(job))
    if job in book.cancelled and state == "cancelled":
        return at_work == 0
    if is_long_running:
        return (job in book.cancelled or state == "running") \
            and at_work == LONG_RUNNING_COUNT
    return state == "completed"


def check_refused(site, book):
    return [f"{job} was refused and has run" for job in book.refused
            if any(task.startswith(job) for task in site.judge.starts)]

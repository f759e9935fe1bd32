"""Entries that append to a slow store.

Guards against a slow store that accepts nothing, as direct appends that
entries have given up take all of its time.  Appends are shared through the
leader, so submissions are accepted.  The leader is killed with batches in
flight: guards against refused submissions that are on the log, and accepted
ones that are not.
"""

import os
import sys
import threading
import time

from platform_site import start_site

ENTRIES = 6
# The appends of all entries together take 1.5 s, more than the timeout of an
# attempt (0.5 to 1.2 s).
APPEND_S = 0.25
ANSWER_S = 0.1
INTERVAL_S = 0.4
# Time until the direct appends by which the entries find the store slow are
# done.
TRANSITION_S = 3.0
STEADY_S = 5.0
# A caller is answered within this time.
CALLER_S = 3.0
LEADER_CHANGE_S = 6.0
STEPS = [{"count": 1, "cpu": 10, "memMb": 10, "estimateMs": 50}]


class Callers:
    """Callers that submit a new job to each entry every INTERVAL_S."""

    def __init__(self, site):
        self.site = site
        self.entries = list(site.entries)
        self.results = []  # time of the submission, job, status
        self.lock = threading.Lock()
        self.stopped = False
        self.threads = []
        self.feeder = threading.Thread(target=self.feed)
        self.feeder.start()

    def feed(self):
        number = 0
        while not self.stopped:
            for entry in list(self.entries):
                number += 1
                thread = threading.Thread(
                    target=self.submit, args=(entry, f"{number:016x}"))
                thread.start()
                self.threads.append(thread)
                time.sleep(INTERVAL_S / ENTRIES)

    def submit(self, entry, job):
        at = time.monotonic()
        try:
            status = self.site.submit(entry, job, STEPS)
        except OSError:
            status = None  # the entry was killed
        with self.lock:
            self.results.append((at, job, status))

    def stop(self):
        self.stopped = True
        self.feeder.join()
        for thread in self.threads:
            thread.join()

    def count(self, start, end):
        """Return how many were accepted, and how many there were."""
        statuses = [s for at, _, s in self.results if start <= at < end]
        return statuses.count(200), len(statuses)


def on_log(site):
    """Return the jobs whose submissions are on the log."""
    with site.store.lock:
        return set(site.store.topics["keyed.jobs"].newest)


def print_answers(site, callers):
    jobs = on_log(site)
    print("  accepted and not on the log:",
          [j for _, j, s in callers.results if s == 200 and j not in jobs])
    print("  refused and on the log:",
          [j for _, j, s in callers.results if s == 503 and j in jobs])


def slow(build, shared):
    """Submit jobs while the store is slow, then without the leader.

    Return how many appends of submissions the store got while it was slow and
    the leader was there.
    """
    print("appends are shared" if shared else "direct appends only")
    os.environ["GALENAPIER_SHARE_APPENDS"] = "on" if shared else "off"
    with start_site(build, entries=ENTRIES, workers=1) as site:
        callers = Callers(site)
        site.store.answer_s, site.store.append_s = ANSWER_S, APPEND_S
        time.sleep(TRANSITION_S)
        start = time.monotonic()
        calls = site.store.topics["keyed.jobs"].calls
        time.sleep(STEADY_S)
        end = time.monotonic()
        calls = site.store.topics["keyed.jobs"].calls - calls
        time.sleep(CALLER_S)
        if shared:
            leader = site.leader()
            site.processes[leader].kill()
            callers.entries.remove(leader)
            killed = time.monotonic()
            time.sleep(LEADER_CHANGE_S)
        last = time.monotonic()
        time.sleep(STEADY_S / 2)
        callers.stop()
        site.store.answer_s = site.store.append_s = 0
        accepted, count = callers.count(start, end)
        print("  slow:", accepted, "of", count,
              [(round(at - start, 1), status) for at, _, status
               in callers.results if start <= at < end and status != 200],
              file=sys.stderr)
        print("  slow: most are accepted:", accepted >= 0.9 * count)
        if shared:
            accepted, count = callers.count(killed, last)
            print("  leader killed:", accepted, "of", count, file=sys.stderr)
            accepted, count = callers.count(last, time.monotonic())
            print("  next leader:", accepted, "of", count, file=sys.stderr)
            print("  with the next leader: most are accepted:",
                  accepted >= 0.9 * count)
        time.sleep(CALLER_S)
        print_answers(site, callers)
    return calls


def main(build):
    direct = slow(build, False)
    shared = slow(build, True)
    print("calls to the store:", direct, shared, file=sys.stderr)
    print("no more calls to the store:", shared <= direct)


main(sys.argv[1])

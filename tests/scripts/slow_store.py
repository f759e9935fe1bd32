"""Entries whose store is 64 times slower than usual.

Guards against a slow store that accepts nothing, as what its callers have
given up waits in its queue, and against a refused submission that runs.
"""

import collections
import json
import sys
import threading
import time

from platform_site import (HOST, JOB_A, JOB_B, JOB_C, other_entry,
                           print_breaches, request, start_site, until)

APPEND_S = 0.002
# With this duration of an append, the queue that three entries fill takes as
# long as that of eleven entries with APPEND_S.
CROWDED_APPEND_S = APPEND_S * 11 / 3
ANSWER_S = 0.004
SLOWER = 64
CONFIRM, BOTH = ["confirm_appends"], ["confirm_appends", "share_appends"]
STEP = [{"count": 1, "cpu": 100, "memMb": 1, "estimateMs": 50}]
SLOW_S = 5.0
SILENT_S = 4.0
# Delay of an answer, so that the entry can be killed before it.
LATE_S = 0.4
# A caller with this timeout has no time for a second attempt, so that it is not
# refused at once; it waits for at least WAITING_S.
HURRIED_MS = "1200"
WAITING_S = 0.2
# Between two submissions at an entry.
INTERVAL_S = 0.15
WORK = json.dumps({"spec": "work", "steps": STEP})


class Callers:
    """Submit a new job at each of ENTRIES every INTERVAL_S until stopped.

    A caller that gets no response asks the next entry; any other response is
    final.  `answers` has a tuple (time, id, status, body) for each job.
    """

    def __init__(self, site, entries):
        self.site = site
        self.entries = entries
        self.lock = threading.Lock()
        self.answers = []
        self.stopped = threading.Event()
        self.numbers = 0
        self.threads = []
        for entry in entries:
            self.start(self.submit_regularly, entry)

    def start(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        with self.lock:
            self.threads.append(thread)
        thread.start()

    def submit_regularly(self, entry):
        while not self.stopped.wait(INTERVAL_S):
            with self.lock:
                self.numbers += 1
                job = f"{self.numbers:016x}"
            self.start(self.submit, entry, job)

    def submit(self, entry, job):
        began = time.monotonic()
        first = self.entries.index(entry)
        for name in self.entries[first:] + self.entries[:first]:
            status, _, body = request(self.site.entries[name][0], "POST",
                                      "/q/" + job, WORK, HOST)
            if status != 0:
                break
        with self.lock:
            self.answers.append((began, job, status, body))

    def stop(self):
        """Wait until all callers have their responses."""
        self.stopped.set()
        for thread in list(self.threads):
            thread.join()

    def jobs(self, status):
        return [job for _, job, got, _ in self.answers if got == status]

    def count_between(self, begin, end):
        """Return how many callers of that time got each status."""
        return collections.Counter(
            status for began, _, status, _ in self.answers
            if begin <= began < end)


def slow_down(site, append_s=APPEND_S):
    site.store.append_s, site.store.answer_s = append_s, ANSWER_S
    site.store.slower = SLOWER


def check_jobs(site, callers):
    """Print whether accepted jobs have run once, and refused ones not."""
    accepted = set(callers.jobs(200))
    refused = set(callers.jobs(503))
    for job in accepted:
        site.await_state("e1", job, "completed")
    started = {task.split(".")[0] for task in site.judge.starts}
    print("  accepted jobs completed:", len(accepted) > 0)
    print("  refused jobs that ran:", len(started & refused))
    print("  other answers:",
          sorted({status for _, _, status, _ in callers.answers}
                 - {200, 503, 504}))
    print_breaches(site)


def slow(build):
    print("a store 64 times slower, then silent")
    with start_site(build, entries=3, features=BOTH) as site:
        callers = Callers(site, list(site.entries))
        time.sleep(1)
        slow_down(site)
        slow_at = time.monotonic()
        time.sleep(SLOW_S)
        silent_at = time.monotonic()
        site.store.down = "silent"
        time.sleep(SILENT_S)
        site.store.down = None
        site.store.slower = 1
        up_at = time.monotonic()
        time.sleep(2)
        callers.stop()
        while_slow = callers.count_between(slow_at, silent_at - 1)
        while_silent = callers.count_between(silent_at, up_at)
        print("slow", while_slow, "silent", while_silent, "then",
              callers.count_between(up_at, up_at + 10), file=sys.stderr)
        print("  nine of ten accepted while it is slow:",
              while_slow[200] * 10 >= while_slow.total() * 9 > 0)
        print("  refused while it is silent:", while_silent[503] > 0)
        print("  accepted then:", callers.count_between(
            up_at + 1, up_at + 10)[200] > 0)
        check_jobs(site, callers)


def crowded(build):
    print("a store 64 times slower, with a queue of 1.4 s")
    with start_site(build, entries=3, features=CONFIRM) as site:
        callers = Callers(site, list(site.entries))
        time.sleep(1)
        slow_down(site, CROWDED_APPEND_S)
        slow_at = time.monotonic()
        time.sleep(SLOW_S)
        site.store.slower = 1
        fast_at = time.monotonic()
        time.sleep(1)
        callers.stop()
        while_slow = callers.count_between(slow_at, fast_at)
        print("crowded", while_slow, file=sys.stderr)
        print("  more than a third accepted while it is slow:",
              while_slow[200] * 3 > while_slow.total())
        check_jobs(site, callers)


def leader_killed(build):
    print("the leading entry is killed with a collected append in flight")
    with start_site(build, entries=3, features=BOTH) as site:
        leader = site.leader()
        callers = Callers(site, list(site.entries))
        slow_down(site)
        time.sleep(2)
        shared = sum(site.metric(name, "appends_shared_total")
                     for name in site.entries)
        until(lambda: len(site.store.topics["keyed.jobs"].queue) > 0,
              what="append in flight")
        site.processes[leader].kill()
        killed_at = time.monotonic()
        time.sleep(2)
        site.store.slower = 1
        time.sleep(1)
        callers.stop()
        site.processes[leader].start()
        print(callers.count_between(0, killed_at),
              callers.count_between(killed_at, killed_at + 10),
              file=sys.stderr)
        print("  appends were shared:", shared > 0)
        print("  accepted after that:", callers.count_between(
            killed_at, killed_at + 10)[200] > 0)
        check_jobs(site, callers)


def stopped(build):
    print("an answer is lost, and the entry is killed before it reads back")
    with start_site(build, entries=3, features=CONFIRM) as site:
        entry = other_entry(site, site.leader())
        callers = Callers(site, [entry, site.leader()])
        callers.stop()
        site.store.answer_s = LATE_S
        callers.start(callers.submit, entry, JOB_A)
        until(lambda: JOB_A in site.store.topics["keyed.jobs"].newest,
              what="record")
        site.processes[entry].kill()
        site.store.answer_s = 0
        callers.stop()
        print("  answered by another entry:", JOB_A in callers.jobs(200)
              and JOB_A not in site.processes[entry].log())
        site.processes[entry].start()
        check_jobs(site, callers)


def cut_off(build):
    print("an entry gets no answer of the store, the others do")
    with start_site(build, entries=3, features=CONFIRM) as site:
        entry = other_entry(site, site.leader())
        callers = Callers(site, [entry])
        time.sleep(1)
        site.store.silent = {site.store_addresses[entry]}
        cut_at = time.monotonic()
        time.sleep(3)
        callers.stop()
        after = callers.count_between(cut_at, cut_at + 3)
        print("cut off", after, file=sys.stderr)
        print("  most are accepted:", after[200] * 4 > after.total() * 3)
        print("  by a peer:", site.metric(entry, "store_by_relay") == 1)
        check_jobs(site, callers)


def asked_twice(build):
    """The second request must not be answered as not run."""
    print("a caller asks again while its append is in flight")
    with start_site(build, entries=3, features=CONFIRM) as site:
        entry = other_entry(site, site.leader())
        callers = Callers(site, [entry])
        site.store.down = "silent"
        callers.start(callers.submit, entry, JOB_A)
        until(lambda: site.metric(entry, "store_unavailable") == 1,
              what="unavailable")
        print("  another job:", site.submit(entry, JOB_B, STEP))
        print("  the same job:", site.submit(entry, JOB_A, STEP))
        # It is not in an append yet, as the store answers nothing, but would
        # be sent later.
        callers.start(request, site.entries[entry][0], "POST", "/q/" + JOB_C,
                      WORK, {**HOST, "X-Request-Deadline": HURRIED_MS})
        time.sleep(WAITING_S)
        print("  a job whose first request waits:",
              site.submit(entry, JOB_C, STEP))
        site.store.down = None
        callers.stop()
        site.submit(entry, JOB_A, STEP)
        site.await_state(entry, JOB_A, "completed")
        print_breaches(site)


SCENARIOS = {"slow": slow, "crowded": crowded, "leader_killed": leader_killed,
             "stopped": stopped, "cut_off": cut_off,
             "asked_twice": asked_twice}

if __name__ == "__main__":
    SCENARIOS[sys.argv[2]](sys.argv[1])

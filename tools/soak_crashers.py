"""Jobs of the soak with a task that crashes every executor that starts it.

Each such job must fail in time, whatever other faults there are, and no other
job may fail because of it.
"""

import contextlib
import json
import random
import threading
import time

from platform_site import until

# A task may crash three executors, and two more until that is noticed.
MAX_STARTS = 5
GIVE_UP_LIMIT_S = 60
# How long end() waits for the last submission, which may need several entries.
SUBMIT_LIMIT_S = 30
CHECK_INTERVAL_S = 0.05
STEP = {"count": 3, "cpu": 1000, "memMb": 10, "estimateMs": 300}
KINDS = [{}, {"longRunning": True}, {"gang": True}]


class Crashers:
    """Submits count such jobs at random times within seconds, in a thread."""

    def __init__(self, site, faults, seed, count, seconds):
        self.site = site
        self.faults = faults
        self.random = random.Random(f"crashers {seed}")
        self.moments = sorted(self.random.uniform(0, seconds)
                              for _ in range(count))
        self.tasks = {}  # job: its task
        self.seen = 0
        self.submitted = threading.Event()  # set when all are submitted
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        began = time.monotonic()
        while not self.ended.is_set():
            if self.moments and time.monotonic() - began > self.moments[0]:
                self.moments.pop(0)
                self.submit()
            if not self.moments:
                self.submitted.set()
            # A crash of an executor counts as an unplanned fault.
            if len(self.site.judge.crashes) > self.seen:
                self.seen += 1
                self.faults.trouble(1.0)
            time.sleep(CHECK_INTERVAL_S)

    def submit(self):
        job = f"{self.random.getrandbits(64):016x}"
        kind = self.random.choice(KINDS)
        task = f"{job}.0.0.{self.random.randrange(STEP['count'])}"
        self.site.judge.crashers.add(task)
        if "gang" in kind:
            self.site.judge.gang_counts[f"{job}.0.0"] = STEP["count"]
        spec = "lasts" if "longRunning" in kind else "work"
        body = json.dumps({"spec": spec, "steps": [{**STEP, **kind}]})
        for entry in list(self.site.entries):
            with contextlib.suppress(OSError):
                status, _ = self.site.call(entry, "POST", "/q/" + job, body)
                if status == 200:
                    self.tasks[job] = task
                    self.faults.note(f"job {job}, {kind}: {task} takes its "
                                     "executors down")
                    return

    def most_starts(self):
        """Return the highest number of starts of any such task."""
        return max((self.site.judge.starts.get(task, 0)
                    for task in self.tasks.values()), default=0)

    def end(self):
        """Stop and return the violations.

        To be called when all faults are over.
        """
        entry = next(iter(self.site.entries))
        breaches = []
        if not self.submitted.wait(SUBMIT_LIMIT_S):
            breaches.append("jobs that take executors down: not all submitted")
        for job, task in self.tasks.items():
            try:
                until(lambda j=job: self.site.state(entry, j) == "failed",
                      timeout_s=GIVE_UP_LIMIT_S, what=job)
            except TimeoutError:
                breaches.append(f"{task} takes its executors down, its job is "
                                f"{self.site.state(entry, job)}")
            starts = self.site.judge.starts.get(task, 0)
            if starts > MAX_STARTS:
                breaches.append(f"{task} takes its executors down and was "
                                f"started {starts} times")
        self.ended.set()
        self.thread.join()
        return breaches

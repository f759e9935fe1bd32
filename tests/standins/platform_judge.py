"""Judges what executors run: nothing runs twice, nothing runs again after its
end, and nothing starts that must not."""

import threading


class Judge:
    """Sees every start and end on all executors and notes what breaks a
    promise."""

    def __init__(self):
        self.lock = threading.Lock()
        self.running = {}  # task: set of (executor, run)
        self.done = set()
        self.starts = {}
        self.forbidden = set()  # jobs of which nothing may start
        self.breaches = []

    def start(self, executor, task, run):
        with self.lock:
            others = self.running.setdefault(task, set())
            if others:
                self.breaches.append(
                    f"{task} runs twice: {sorted(others)}, "
                    f"{executor}/{run}")
            if task in self.done:
                self.breaches.append(f"{task} runs again after it was done")
            if task.split(".", 1)[0] in self.forbidden:
                self.breaches.append(f"{task} started and is no job")
            others.add((executor, run))
            self.starts[task] = self.starts.get(task, 0) + 1

    def end(self, executor, task, run, how, lasts):
        with self.lock:
            self.running.get(task, set()).discard((executor, run))
            if how == "done" and not lasts:
                self.done.add(task)

    def void(self, task):
        """The lease of the executor ran out before the end was confirmed:
        the task may run again."""
        with self.lock:
            self.done.discard(task)

    def forbid(self, job):
        with self.lock:
            self.forbidden.add(job)

    def at_work(self, prefix):
        with self.lock:
            return sorted(task for task, runs in self.running.items()
                          if runs and task.startswith(prefix))

    def on(self, executor):
        """Tasks that run on EXECUTOR."""
        with self.lock:
            return sorted(task for task, runs in self.running.items()
                          if any(where == executor for where, _ in runs))

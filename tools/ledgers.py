"""Read the ledgers of a run, written by the stand-ins and the experiment tool.

docs/internals/ledger.md describes each line.  The system's own processes write
no ledger.
"""

import dataclasses
import glob
import json
import os

FOREVER = float("inf")
SECOND = 1_000_000  # times in ledgers are in microseconds


@dataclasses.dataclass
class Execution:
    """One execution of a request by an upstream."""
    node: str
    request: str
    key: str
    method: str
    path: str
    start: float
    end: float = FOREVER


@dataclasses.dataclass
class Run:
    """One run of a task on a worker, with one epoch."""
    node: str
    boot: str
    task: str
    epoch: int
    kind: str
    start: float
    progress: int  # progress at its start
    end: float = FOREVER
    state: str = ""  # final state; empty if no end was written
    final_progress: int = 0  # progress at its end
    checkpoints: list = dataclasses.field(default_factory=list)


class ProcessHistory:
    """When each process was killed, paused or drained by the tool."""

    def __init__(self, facts):
        # Intervals by process.
        self.disruptions = {}  # from a kill until ready, or paused
        self.drains = {}  # from SIGTERM until the exit
        self.unavailable = {}  # any of these, until ready again
        # Times by process.
        self.kills = {}
        self.starts = {}
        for fact in facts:
            if fact["event"] == "process":
                self._add(fact["process"], fact["action"], fact["time_us"])

    def _add(self, name, action, time):
        disruptions = self.disruptions.setdefault(name, [])
        drains = self.drains.setdefault(name, [])
        unavailable = self.unavailable.setdefault(name, [])
        if action == "kill":
            self._kill(name, time)
        elif action == "stop":
            disruptions.append([time, FOREVER])
            unavailable.append([time, FOREVER])
        elif action == "terminate":
            drains.append([time, FOREVER])
            unavailable.append([time, FOREVER])
        elif action == "exited":
            drains[-1][1] = time
        elif action == "start":
            self.starts.setdefault(name, []).append(time)
        elif action in ("continue", "ready"):
            self._close(disruptions, time)
            self._close(unavailable, time)

    def _kill(self, name, time):
        stopped = [i[0] for i in self.disruptions[name] if i[1] == FOREVER]
        self.kills.setdefault(name, []).append(min(stopped + [time]))
        self.disruptions[name].append([time, FOREVER])
        self.unavailable[name].append([time, FOREVER])

    @staticmethod
    def _close(intervals, time):
        for interval in intervals:
            interval[1] = min(interval[1], time)

    @staticmethod
    def _overlaps(intervals, start, end):
        return any(i[0] <= end and i[1] >= start for i in intervals)

    def disturbed(self, names, start, end):
        """Return whether any of names was killed or paused in the interval."""
        return any(self._overlaps(self.disruptions.get(n, ()), start, end)
                   for n in names)

    def drained(self, names, start, end):
        return any(self._overlaps(self.drains.get(n, ()), start, end)
                   for n in names)

    def settled(self, name, time, grace):
        """Return whether name has run undisturbed for grace before time."""
        return not self._overlaps(self.unavailable.get(name, ()),
                                  time - grace, time)

    def leaving(self, name):
        """Yield the intervals from each SIGTERM to the next start of name."""
        for since, _ in self.drains.get(name, ()):
            later = [s for s in self.starts.get(name, ()) if s > since]
            yield since, min(later, default=FOREVER)

    def killed_after(self, name, time):
        """Return when name was first killed at or after time."""
        kills = [k for k in self.kills.get(name, ()) if k >= time]
        return min(kills, default=FOREVER)


class Ledgers:
    """All facts in the ledgers of a folder, up to the end of the run."""

    def __init__(self, folder):
        self.facts = {}  # by event
        self.executions = []
        self.runs = []
        self.site = {"entries": {}}
        self.incomplete_lines = 0
        files = {}
        for path in sorted(glob.glob(os.path.join(folder, "*.ledger"))):
            files[path] = self._read(path)
        ends = [f["time_us"] for facts in files.values() for f in facts
                if f["event"] == "end"]
        self.end = min(ends, default=FOREVER)
        for facts in files.values():
            self._add_facts([f for f in facts if f["time_us"] <= self.end])
        self.history = ProcessHistory(self.facts_of("process"))
        self._end_open_runs()

    def facts_of(self, event):
        return self.facts.get(event, [])

    def _read(self, path):
        facts = []
        with open(path, encoding="utf-8") as file:
            for line in file:
                try:
                    facts.append(json.loads(line))
                except ValueError:
                    # The process was killed while writing.
                    self.incomplete_lines += 1
        return facts

    def _add_facts(self, facts):
        executing = {}
        running = {}
        for fact in facts:
            event = fact["event"]
            self.facts.setdefault(event, []).append(fact)
            if event == "site":
                self.site = fact
            elif event == "execution_start":
                executing[fact["execution"]] = self._execution(fact)
            elif event == "execution_end":
                execution = executing.pop(fact["execution"], None)
                if execution is not None:
                    execution.end = fact["time_us"]
            elif event == "task_start":
                running[fact["boot"], fact["task"]] = self._run(fact)
            elif event == "checkpoint":
                run = running[fact["boot"], fact["task"]]
                run.checkpoints.append(fact["progress_ms"])
            elif event in ("task_end", "lease_expired"):
                run = running.pop((fact["boot"], fact["task"]))
                run.end = fact["until_us"]
                run.state = fact["state"]
                run.final_progress = fact["progress_ms"]

    def _execution(self, fact):
        execution = Execution(fact["node"], fact["request"], fact["key"],
                              fact["method"], fact["path"], fact["time_us"])
        self.executions.append(execution)
        return execution

    def _run(self, fact):
        run = Run(fact["node"], fact["boot"], fact["task"], fact["epoch"],
                  fact["kind"], fact["time_us"], fact["progress_ms"])
        self.runs.append(run)
        return run

    def _end_open_runs(self):
        """Let runs and executions without an end last until a kill."""
        for run in self.runs:
            if not run.state:
                run.end = self.history.killed_after(f"{run.node}.worker",
                                                  run.start)
        for execution in self.executions:
            if execution.end == FOREVER:
                execution.end = self.history.killed_after(
                    f"{execution.node}.upstream", execution.start)

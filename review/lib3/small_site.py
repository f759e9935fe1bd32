"""A small deployment of galenapier on loopback for the scripts of this review.

The project's own stand-ins of the store, the executors and the network links
are used.  The processes are those of the deploy file: its `run` commands, with
the environment that it names for each role.  Every call of a client, every
order to an executor and every begin and end of a run is written to record.txt
in the case's folder.
"""

import json
import os
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
for folder in ("tests/scripts", "tests/standins", "tools"):
    sys.path.insert(0, os.path.join(ROOT, folder))

import platform_site  # noqa: E402
from platform_executor import Executor  # noqa: E402
from platform_judge import Judge  # noqa: E402
from site_processes import Process, free_port, request, until  # noqa: E402

# The bounds of the small sheets in SYSTEM.md (stopMs is that of the first).
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configDeadlineMs": 2000, "rollbackSlackMs": 250,
    "maxExtensionMs": 5000, "recoveryS": 12, "maxHoldMs": 10000,
    "stopMs": 900, "gangTimeoutMs": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "remoteSlowdown": 1.5, "checkpointS": 2, "restoreMs": 100,
    "noticeMs": 4500, "migrateS": 1.5, "maintenanceS": 2,
    "enforceFencing": "false", "leaseMs": 3000, "thawMs": 300,
    "paceMs": 100, "harmMs": 4000}
HEARTBEAT_S = 1.1
APPEND_S, ANSWER_S = 0.002, 0.004
# Set by the platform in an environment of its own; here each process has its
# ports on one address, so the metrics stay on the internal port.
PORT_VARIABLE = "GALENAPIER_METRICS_PORT"


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def write(self, *words):
        with self.lock:
            if self.file.closed:
                return
            self.file.write(f"{time.monotonic() - self.began:8.3f} "
                            + " ".join(str(word) for word in words) + "\n")
            self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


class RecordingJudge(Judge):
    """Also keeps how each run ended."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.ends = {}  # task: list of (executor, run, how)

    def start(self, executor, task, run, early=False):
        super().start(executor, task, run, early)
        self.record.write("begin", task, "run", run, "on", executor)

    def end(self, executor, task, run, how, is_long_running):
        super().end(executor, task, run, how, is_long_running)
        self.ends.setdefault(task, []).append((executor, run, how))
        self.record.write("end", task, "run", run, "on", executor, how)

    def ends_of(self, job, how):
        """Return the runs of JOB that ended as HOW."""
        return [(task, *end) for task, ends in self.ends.items()
                if task.startswith(job) for end in ends if end[2] == how]


class RecordingExecutor(Executor):
    """Also records orders, and has accelerators if GPUS says so."""

    GPUS = {}  # name of the worker: number of its accelerators

    def __init__(self, *arguments, **more):
        # How often it goes down when an order to start arrives, and for how
        # long.
        self.dies_at_starts, self.dies_for_s = 0, 1.0
        super().__init__(*arguments, **more)
        self.heartbeat_s = HEARTBEAT_S

    def handle(self, method, path, query, headers, body):
        if path.endswith("/run-start") and self.dies_at_starts > 0 \
                and not self.unreachable and not self.closed:
            order = json.loads(body)
            self.dies_at_starts -= 1
            self.judge.record.write(
                "order run-start", order["task"], "run", order["run"], "to",
                self.incarnation_name, "-> none, it goes down first")
            threading.Thread(target=self.go_down,
                             args=(self.dies_for_s,)).start()
            return None
        return super().handle(method, path, query, headers, body)

    def go_down(self, seconds):
        """Crash, and register again as another executor after SECONDS."""
        self.judge.record.write("trouble: the executor on", self.name,
                                "goes down")
        self.crash(seconds)
        self.judge.record.write("trouble: it is up again as",
                                self.incarnation_name)
        self.send_own_heartbeat()

    def heartbeat_body(self, sequence):
        body = super().heartbeat_body(sequence)
        body["capacity"]["gpu"] = self.GPUS.get(self.name, 0)
        return body

    def carry_out(self, call, order, target, late=False):
        answer = super().carry_out(call, order, target, late)
        if call in ("run-start", "run-stop"):
            self.judge.record.write(
                "order", call, order["task"], "run", order["run"], "to",
                self.incarnation_name, "late" if late else "", "->",
                answer[0] if answer else "no answer")
        return answer


def role_environment(role):
    """Return the environment that the deploy file gives ROLE."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        environment = tomllib.load(file)["roles"][role].get("env", {})
    return {name: value for name, value in environment.items()
            if name != PORT_VARIABLE}


class SmallSite(platform_site.PlatformSite):
    """Entries and workers with the settings of the small sheets."""

    def __init__(self, folder, record, **more):
        self.record = record
        more.setdefault("executor_type", RecordingExecutor)
        super().__init__(os.path.join(ROOT, "target"), folder, links=True,
                         **more)
        self.store.append_s, self.store.answer_s = APPEND_S, ANSWER_S

    # PlatformSite makes its own judge before it adds workers.
    @property
    def judge(self):
        return self._judge

    @judge.setter
    def judge(self, _value):
        self._judge = RecordingJudge(self.record)

    def settings(self, name, more, zone):
        path = super().settings(name, more, zone)
        with open(path, encoding="utf-8") as file:
            lines = file.read().splitlines()
        at = lines.index("bounds:")
        end = next(i for i in range(at + 1, len(lines))
                   if not lines[i].startswith(" "))
        lines[at + 1:end] = [f"  {key}: {value}"
                             for key, value in BOUNDS.items()]
        lines += ["heartbeatMs: 1100", 'orders: "call"', 'discovery: "local"']
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def start(self, name, role, path):
        program = os.path.join(self.build, "galenapier-node")
        if not os.path.exists(program):
            raise CannotRun("target/galenapier-node is not built")
        switches = [f"{key}={value}"
                    for key, value in role_environment(role).items()]
        self.processes[name] = Process(
            self, name, ["/usr/bin/env", f"GALENAPIER_SETTINGS={path}",
                         *switches, program, role])

    def call(self, entry, method, path, body=None):
        try:
            answer = super().call(entry, method, path, body)
        except OSError as error:
            self.record.write("client", method, path, "to", entry, "->",
                              type(error).__name__)
            raise
        self.record.write("client", method, path, "to", entry, "->",
                          answer[0], answer[1].decode(errors="replace"))
        return answer


def play(folder, case, **site):
    """Play CASE(site, trouble) and exit as the review's scripts have to.

    CASE returns a list of the breaches of the rule.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = 2
    try:
        with tempfile.TemporaryDirectory() as temporary:
            deployment = SmallSite(temporary, record, **site)
            try:
                deployment.ready()
                breaches = case(deployment, trouble)
                for breach in breaches:
                    record.write("BREACH", breach)
                status = 1 if breaches else 0
            finally:
                deployment.close()
    except (CannotRun, OSError, TimeoutError) as error:
        record.write("could not run:", repr(error))
    record.write("exit", status)
    record.close()
    print({0: "the rule held", 1: "the rule was broken",
           2: "the case could not run"}[status])
    sys.stdout.flush()
    os._exit(status)


__all__ = ["BOUNDS", "CannotRun", "RecordingExecutor", "SmallSite", "json",
           "play", "until", "free_port", "request"]

"""A small site on loopback: the product's processes with the commands and the
environment of deploy/system.toml, a store, executors and a ledger.

Each machine has a loopback address of its own, as all processes of a role
listen on the same ports.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from executor import Executor
from store import Store
from web import call

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = {"Host": "jobs.example", "Content-Type": "application/json",
        "X-Request-Deadline": "3000"}
FRONT, READY, CONTROL, INTERNAL = 8161, 8167, 8166, 7720
STORE_PORT, APP_PORT = 8169, 8165
METRICS = 9464


def document(version=3, **queue):
    return {"version": version,
            "routes": [{"name": "q", "host": "jobs.example",
                        "pathPrefix": "/q/", "service": "work", "priority": 0,
                        "maxAttempts": 3, "stretch": 2.0,
                        "targetCompletionMs": 1000, **queue}],
            "services": [{"name": "work", "enforcesCapacity": True}],
            "limits": {}}


class Ledger:
    """What was sent, answered and run; it also judges rule TWICE."""

    def __init__(self, path):
        self.lock = threading.RLock()
        self.file = open(path, "w", encoding="utf-8")
        self.zero = time.monotonic()
        self.cpus = {}
        self.active = {}    # task: {executor: run}
        self.starts = {}    # task: [(time, executor, run)]
        self.done = {}      # (executor, end number): (task, run, time)
        self.void = set()   # ends whose lease lapsed before they were noted
        self.twice = []     # starts after a `done`, or beside another run
        self.after_done = []
        self.most_ends = 0
        self.failed = {}     # task: runs that ended `failed`
        self.noted_done = set()
        self.specs = {}

    def note(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.zero:8.3f} {text}\n")
            self.file.flush()

    def cpu(self, task):
        job, _, step, _ = task.split(".")
        return self.cpus.get((job, int(step)), 0)

    def start(self, executor, task, run, spec):
        with self.lock:
            now = time.monotonic()
            self.note(f"{executor} starts {task} run {run}")
            others = self.active.setdefault(task, {})
            if others:
                self.twice.append(f"{task} run {run} starts at {executor} "
                                  f"while it runs at {sorted(others)}")
            for key, (name, before, when) in self.done.items():
                if name == task:
                    self.after_done.append((key, task, before, run, executor))
            others[executor] = run
            self.starts.setdefault(task, []).append((now, executor, run))
            self.specs.setdefault(task, set()).add(spec)

    def lost(self, executor, task, run):
        with self.lock:
            self.note(f"{executor} crashes with {task} run {run}")
            self.active.get(task, {}).pop(executor, None)

    def crashed(self, executor):
        self.note(f"{executor} crashes")

    def end(self, executor, number, task, run, how):
        with self.lock:
            self.note(f"{executor} end {number}: {task} run {run} {how}")
            self.active.get(task, {}).pop(executor, None)
            if how == "failed":
                self.failed.setdefault(task, []).append(run)
            if how == "done":
                self.done[executor, number] = (task, run, time.monotonic())

    def noted(self, executor, row):
        with self.lock:
            self.note(f"{executor} end {row[0]} is taken note of")
            if row[3] == "done" and (executor, row[0]) not in self.void:
                self.noted_done.add((executor, row[0]))

    def lapsed(self, executor):
        with self.lock:
            for key in self.done:
                if key[0] == executor and key not in self.noted_done:
                    self.void.add(key)

    def listed(self, executor, running, ends):
        with self.lock:
            if ends > 100 and ends > self.most_ends:
                self.note(f"{executor} has {running} runs and {ends} ends "
                          "that are not taken note of")
            self.most_ends = max(self.most_ends, ends)

    def breaches(self):
        """Rule TWICE: two runs at once, or a start after a run ended `done`
        if that end was taken note of then or later."""
        with self.lock:
            found = list(self.twice)
            for key, task, before, run, executor in self.after_done:
                if key in self.noted_done:
                    found.append(f"{task} run {run} starts at {executor} "
                                 f"after run {before} ended done at {key[0]} "
                                 f"(end {key[1]}, taken note of)")
            return found


class Site:
    def __init__(self, folder, zones=("a", "b"), workers_a_zone=1, cores=16,
                 work_s=lambda task: 1.0, settings=None, configuration=None):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.ledger = Ledger(os.path.join(folder, "record.txt"))
        self.scratch = tempfile.TemporaryDirectory(prefix="review-")
        self.settings = settings or {}
        self.processes, self.commands, self.entries = {}, {}, {}
        self.executors = {}
        self.zones = zones
        self.store_address = f"{self.host()}:{STORE_PORT}"
        self.store = Store(self.store_address, self.ledger.note)
        self.store.put("keyed.op", "config",
                       json.dumps(configuration or document()).encode())
        self.begun = time.monotonic()
        for zone in zones:
            self.add_entry(f"edge-{zone}-1", zone)
            for i in range(1, workers_a_zone + 1):
                self.add_worker(f"side-{zone}-{i}", zone, cores, work_s)

    def host(self):
        """Return a loopback address on which all ports of a machine are
        free."""
        draw = random.SystemRandom().randrange
        for _ in range(100):
            host = f"127.{draw(20, 250)}.{draw(1, 250)}.{draw(1, 250)}"
            try:
                for port in (FRONT, READY, CONTROL, STORE_PORT, APP_PORT,
                             METRICS, INTERNAL, INTERNAL + 2):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET,
                                         socket.SO_REUSEADDR, 1)
                        probe.bind((host, port))
                return host
            except OSError:
                continue
        raise RuntimeError("no free loopback address")

    def write_settings(self, name, role, kind, host, zone):
        text = {
            "node": name, "role": role, "machineClass": kind,
            "serves": [kind], "ip": host, "zone": zone, "region": "r",
            "zones": {z: "r" for z in self.zones},
            "listen": {"front": f"{host}:{FRONT}", "ready": f"{host}:{READY}"}
            if kind == "edge" else {"control": f"{host}:{CONTROL}"},
            "internalPorts": [INTERNAL, INTERNAL + 15], "seeds": [],
            "bootstrap": True,
            "limits": {"cpuShare": 0.25 if kind == "edge" else 0.15,
                       "cores": 1, "memoryMb": 260 if kind == "edge" else 128,
                       "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "local", "entry": "vip",
            "heartbeatMs": 1100,
            "contracts": ["base", "drain", "config", "cost", "recover",
                          "sched", "platform", "advice", "upkeep", "sharing"],
            "bounds": {"contactMs": 3000, "ackTimeoutMs": 4000,
                       "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
                       "configDeadlineMs": 2000, "maxHoldMs": 10000,
                       "stopMs": 900, "gangTimeoutMs": 3000,
                       "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
                       "finish_s": 14, "status_s": 120, "checkpointS": 2,
                       "enforceFencing": False, "leaseMs": 3000},
            "orders": "call",
            "platform": {"address": self.store_address, "form": "log",
                         "writesPerS": 800, "readsPerS": 2000, "parts": 12,
                         "appendMs": 2.0, "recordBytes": 262144,
                         "callBytes": 2097152, "keep_s": 300},
            **self.settings}
        if kind == "side":
            text["app"] = f"{host}:{APP_PORT}"
        path = os.path.join(self.scratch.name, name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(text, file)  # JSON is YAML
        return path

    def start(self, name, role, path):
        words = self.roles[role]["run"].split()
        program = os.path.join(ROOT, words[0])
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env.update(self.roles[role].get("env", {}))
        env["GALENAPIER_SETTINGS"] = path
        self.commands[name] = ([program, *words[1:]], env)
        self.restart(name)

    def restart(self, name):
        words, env = self.commands[name]
        log = open(os.path.join(self.scratch.name, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            words, env=env, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
            stderr=log)
        self.ledger.note(f"{name} started")

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.ledger.note(f"{name} gets {signal.Signals(number).name}")

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def add_entry(self, name, zone):
        host = self.host()
        self.entries[name] = host
        self.start(name, "entry",
                   self.write_settings(name, "entry", "edge", host, zone))

    def add_worker(self, name, zone, cores, work_s):
        host = self.host()
        self.start(name, "guard",
                   self.write_settings(name, "guard", "side", host, zone))
        self.executors[name] = Executor(
            name, f"{host}:{APP_PORT}", f"{host}:{CONTROL}", zone,
            f"{zone}-r1", cores, work_s, self.ledger)

    def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(0.05)
        self.ledger.note(f"not within {seconds} s: {what}")
        return False

    def ready(self):
        """All entries are ready, and the executors have had the 10 s before
        traffic that the pages give them."""
        good = self.until(
            lambda: all(call(f"{h}:{READY}", "GET", "/api/ready")[0] == 200
                        for h in self.entries.values()), 15, "ready")
        time.sleep(max(0, self.begun + 10 - time.monotonic()))
        return good

    def call(self, entry, method, path, body=None, timeout_s=3.0, host=None):
        text = json.dumps(body) if body is not None else None
        headers = dict(HOST, **({"Host": host} if host else {}))
        status, data = call(f"{self.entries[entry]}:{FRONT}", method, path,
                            text, headers, timeout_s)
        shown = data[:80].decode(errors="replace")
        self.ledger.note(f"client {method} {path} at {entry}: {status} "
                         f"{shown}")
        return status, data

    def submit(self, entry, job, steps, spec="work", **more):
        """Send until there is a final answer, as a client does: no answer,
        502 and 504 are tried again at the next node."""
        for i, step in enumerate(steps):
            # The cpu of a step that fills takes none of the capacity.
            self.ledger.cpus[job, i] = 0 if step.get("fills") \
                else step.get("cpu", 0)
        names = list(self.entries)
        for attempt in range(4):
            node = names[(names.index(entry) + attempt) % len(names)]
            status, _ = self.call(node, "POST", "/q/" + job,
                                  {"spec": spec, "steps": steps, **more})
            if status not in (0, 502, 504):
                return status
        return status

    def state(self, entry, job):
        status, data = self.call(entry, "GET", "/q/" + job)
        return json.loads(data)["state"] if status == 200 else status

    def logs(self, name):
        with open(os.path.join(self.scratch.name, name + ".log"),
                  encoding="utf-8", errors="replace") as file:
            return file.read()

    def keep(self):
        """Copy the logs of the processes to KEEP_LOGS, if that is set."""
        folder = os.environ.get("KEEP_LOGS")
        if folder:
            shutil.copytree(self.scratch.name, folder, dirs_exist_ok=True)

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for executor in self.executors.values():
            executor.close()
        self.store.server.shutdown()
        self.keep()
        self.scratch.cleanup()


def run(case):
    """Play CASE(site folder, with trouble) and exit with 0, 1 or 2.

    SIGTERM, also that of the time limit in run.sh, ends what was started.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    folder = os.environ["CASE_FOLDER"]
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = case(folder, trouble)
    except Exception as error:  # the case could not run
        print(f"could not run: {type(error).__name__}: {error}")
        code = 2
    raise SystemExit(code)

"""A small site of real processes on loopback.

It is used by the scripted tests and the experiment tool.  A Site has the log
stand-in, entries, and guards with their upstreams and worker runtimes.  Only
this module starts the processes.  Each has a name, and is ended by its id when
the Site is closed, also after an error.
"""

import contextlib
import fcntl
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

TOKEN = "operator-token-of-a-test-site"
REQUEST_TIMEOUT_S = 20
START_TIMEOUT_S = 20
LOWEST_PORT = 10000
SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
WORKER_SIZE = {"millicores": 16000, "memory_mib": 61440, "accelerators": 0}


_allocated_ports = set()
# Each reserved port is a locked byte of this file, which all runs share.
_ports_file = None


def _reserve(port):
    """Reserve port for this run until it ends; return False if it is in use.

    The reservation also holds while the process that listens there is down.
    """
    global _ports_file
    if _ports_file is None:
        path = os.path.join(tempfile.gettempdir(), "galenapier-ports")
        _ports_file = open(path, "ab")
    try:
        fcntl.lockf(_ports_file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
        return True
    except OSError:
        return False


def free_port(count=1):
    """Reserve count consecutive TCP ports of loopback; return the first.

    Ports of the kernel's range for outgoing connections are not used: such a
    connection could take one while the process that listens there is down.
    """
    with open("/proc/sys/net/ipv4/ip_local_port_range",
              encoding="ascii") as file:
        above = int(file.read().split()[0])
    while True:
        port = random.SystemRandom().randrange(LOWEST_PORT, above - count)
        ports = range(port, port + count)
        if _allocated_ports.isdisjoint(ports) and all(map(_reserve, ports)):
            _allocated_ports.update(ports)
            return port


def until(condition, timeout_s=START_TIMEOUT_S, what="condition"):
    """Wait until condition() is true and return its value."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"{what}: not within {timeout_s} s")
        time.sleep(0.02)


def request(address, method, path, body=None, headers=None,
            timeout_s=REQUEST_TIMEOUT_S):
    """Send a request; return the status, the headers and the body.

    Header names are in lower case.  The status is 0 if no complete response
    is received.
    """
    client = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        try:
            client.request(method, path, body, headers or {})
        except (BrokenPipeError, ConnectionResetError):
            # The server may have refused the request before it received the
            # complete body: read the response if there was a connection.
            if client.sock is None:
                return 0, {}, b""
        answer = client.getresponse()
        names = {k.lower(): v for k, v in answer.getheaders()}
        return answer.status, names, answer.read()
    except (http.client.HTTPException, OSError):
        return 0, {}, b""
    finally:
        client.close()


def complete_lines(path, start=0, errors="strict"):
    """Return the complete lines of the file at path, from byte start on.

    The file may be growing: a line without its end is omitted, and nothing
    that follows it is read.  For errors see bytes.decode().
    """
    with open(path, "rb") as file:
        file.seek(start)
        data = file.read()
    complete = data[:data.rfind(b"\n") + 1]
    return complete.decode("utf-8", errors).split("\n")[:-1]


@contextlib.contextmanager
def deferred_signals():
    """Defer the handling of SIGNALS to the end of the with block.

    Otherwise a signal could leave a process that was started but not yet
    recorded.  Does nothing outside the main thread, which handles all signals.
    """
    if threading.current_thread() is not threading.main_thread():
        yield
        return
    came = []
    before = {number: signal.signal(number, lambda n, _: came.append(n))
              for number in SIGNALS}
    try:
        yield
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
        for number in came:
            signal.raise_signal(number)


class Process:
    """A started program, whose output is appended to a log file."""

    def __init__(self, site, name, arguments):
        self.name = name
        self.arguments = arguments
        self.log_path = os.path.join(site.folder, name + ".log")
        self.log_start = 0
        self.popen = None
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.log_start = log.tell()
            self.popen = subprocess.Popen(self.arguments, stdout=log,
                                          stderr=log,
                                          stdin=subprocess.DEVNULL)

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def wait(self, timeout_s=START_TIMEOUT_S):
        return self.popen.wait(timeout_s)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()

    def lines_since_start(self):
        """Return the complete lines of output since the last start."""
        return complete_lines(self.log_path, self.log_start, "replace")

    def log_since_start(self):
        """Return the output since the last start, maybe with half a line."""
        with open(self.log_path, "rb") as log:
            log.seek(self.log_start)
            return log.read().decode(errors="replace")


class Site:
    """The processes of one site.

    Zones are assigned to entries and guards round-robin.  timings is the
    section of that name in the settings.
    """

    def __init__(self, build, name="test", zones=("a", "b"), entries=1,
                 guards=1, service="reclamos-api", slots=8, connections=64,
                 upstream=True, worker=False, upstream_options=(),
                 worker_options=(), timings=None, max_body_kib=1024,
                 with_log=True, tls=False, region="r", guards_per_rack=0,
                 regions=None,
                 reserve=None, worker_size=None, folder=None,
                 start=True):
        self.build = os.path.abspath(build)
        self.folder = folder or tempfile.mkdtemp(prefix="galenapier-")
        self.name = name
        self.region = region
        # Regions are assigned to entries and guards round-robin.  Each has its
        # own log; the configuration is in the log of the first.
        self.regions = regions or [region]
        self.logs = ["log"] + [f"log-{i + 1}"
                               for i in range(1, len(self.regions))]
        self.zones = zones
        self.guards_per_rack = guards_per_rack
        self.timings = timings or {}
        self.max_body_kib = max_body_kib
        self.processes = {}
        self.closing = False  # once set, no process is started
        self.lock = threading.Lock()
        self.addresses = {}
        self.guard_options = {
            "service": service, "slots": slots, "connections": connections,
            "upstream": upstream, "worker": worker,
            "upstream_options": list(upstream_options),
            "worker_options": list(worker_options),
            "reserve": reserve,
            "worker_size": worker_size or WORKER_SIZE}
        self.entry_names = [f"entry-{i + 1}" for i in range(entries)]
        self.guard_names = [f"guard-{i + 1}" for i in range(guards)]
        self.tls = tls
        self.with_log = with_log
        self._allocate()
        if start:
            self.start()

    def start(self):
        """Start all processes; if that fails, end those started."""
        try:
            if self.tls:
                self._make_certificates()
            if self.with_log:
                for log in self.logs:
                    self.start_log(log)
            for entry in self.entry_names:
                self.start_entry(entry)
            for guard in self.guard_names:
                self.start_guard(guard)
        except BaseException:
            self.close()
            raise

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def kill_all(self):
        with self.lock:
            self.closing = True
        for process in self.processes.values():
            process.kill()

    def close(self):
        self.kill_all()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _make_certificates(self):
        tool = os.path.join(os.path.dirname(__file__), "make-certs")
        subprocess.run([tool, self.folder, *self.entry_names,
                        *self.guard_names], check=True,
                       stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)

    def _allocate(self):
        for name in self.entry_names:
            for port in ("callers", "operators", "peers"):
                self.addresses[f"{name}.{port}"] = \
                    f"127.0.0.1:{free_port()}"
        for name in self.guard_names:
            for port in ("peers", "upstream", "upstream-control", "runtime",
                         "runtime-control"):
                self.addresses[f"{name}.{port}"] = \
                    f"127.0.0.1:{free_port()}"
        for log in self.logs:
            for port in (log, f"{log}-control"):
                self.addresses[port] = f"127.0.0.1:{free_port()}"

    def zone_of(self, name):
        number = int(name.rsplit("-", 1)[1]) - 1
        return self.zones[number % len(self.zones)]

    def region_of(self, name):
        number = int(name.rsplit("-", 1)[1]) - 1
        return self.regions[number % len(self.regions)]

    def _peer_address(self, name, entry):
        """Return the peer address at which the process name reaches entry."""
        return self.addresses.get(f"{name}>{entry}",
                                  self.addresses[f"{entry}.peers"])

    def _log_settings(self, name):
        region = self.region_of(name)
        if len(self.regions) == 1:
            return {"address": self.addresses["log"], "stream": self.name}
        log = self.logs[self.regions.index(region)]
        return {"address": self.addresses[log],
                "stream": f"{self.name}-{region}",
                "config_address": self.addresses.get(
                    f"{name}>log", self.addresses["log"]),
                "config_stream": f"{self.name}-config"}

    def _settings(self, name):
        settings = {
            "site": self.name, "name": name, "region": self.region_of(name),
            "zone": self.zone_of(name),
            "entries": [{"name": e, "region": self.region_of(e),
                         "zone": self.zone_of(e),
                         "peers": self._peer_address(name, e)}
                        for e in self.entry_names]}
        if self.timings:
            settings["timings"] = self.timings
        if self.tls:
            settings["tls"] = {
                "authority": f"{self.folder}/authority.pem",
                "certificate": f"{self.folder}/{name}.pem",
                "key": f"{self.folder}/{name}.key"}
        return settings

    def _write(self, name, settings):
        path = os.path.join(self.folder, name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)  # JSON is YAML
        return path

    def _start(self, name, *arguments):
        with deferred_signals(), self.lock:
            if self.closing:
                raise RuntimeError("the site is being closed")
            if name in self.processes:
                self.processes[name].start()
            else:
                self.processes[name] = Process(self, name, list(arguments))
            return self.processes[name]

    def ledger(self, name):
        return os.path.join(self.folder, name + ".ledger")

    def start_log(self, name="log"):
        self._start(name, f"{self.build}/standins/logd",
                    "--listen", self.addresses[name],
                    "--control", self.addresses[f"{name}-control"],
                    "--ledger", self.ledger(name), "--node", name)
        self._await_ready(name)

    def _await_ready(self, name):
        process = self.processes[name]
        until(lambda: "ready " in process.log_since_start()
              or process.popen.poll() is not None, what=f"{name} ready")

    def start_entry(self, name):
        settings = self._settings(name)
        settings["platform_log"] = self._log_settings(name)
        settings["entry"] = {
            "callers": self.addresses[f"{name}.callers"],
            "operators": self.addresses[f"{name}.operators"],
            "peers": self.addresses[f"{name}.peers"],
            "operator_token": TOKEN, "max_body_kib": self.max_body_kib}
        path = self._write(name, settings)
        self._start(name, f"{self.build}/galenapier-entry", "--config", path)

    def start_upstream(self, guard):
        options = self.guard_options
        self._start(f"{guard}.upstream", f"{self.build}/standins/upstream",
                    "--listen", self.addresses[f"{guard}.upstream"],
                    "--control", self.addresses[f"{guard}.upstream-control"],
                    "--slots", str(options["slots"]),
                    "--connections", str(options["connections"]),
                    "--ledger", self.ledger(f"{guard}.upstream"),
                    "--node", guard, *options["upstream_options"])
        self._await_ready(f"{guard}.upstream")

    def _worker_size(self):
        return [option for name, value
                in self.guard_options["worker_size"].items()
                for option in (f"--{name.replace('_', '-')}", str(value))]

    def start_worker(self, guard):
        self._start(f"{guard}.worker", f"{self.build}/standins/worker",
                    "--listen", self.addresses[f"{guard}.runtime"],
                    "--control", self.addresses[f"{guard}.runtime-control"],
                    "--ledger", self.ledger(f"{guard}.worker"),
                    "--node", guard, *self._worker_size(),
                    *self.guard_options["worker_options"])
        self._await_ready(f"{guard}.worker")

    def start_caller(self, name, *arguments):
        """Start a load generator with arguments; return its Process."""
        return self._start(name, f"{self.build}/standins/caller",
                           "--name", name, "--ledger", self.ledger(name),
                           *arguments)

    def start_guard(self, name, alone=False):
        """Start a guard.

        Unless alone, first start its upstream and its worker.
        """
        options = self.guard_options
        settings = self._settings(name)
        guard = {"peers": self.addresses[f"{name}.peers"]}
        if options["upstream"]:
            if not alone:
                self.start_upstream(name)
            guard["upstream"] = {
                "service": options["service"],
                "address": self.addresses[f"{name}.upstream"],
                "slots": options["slots"],
                "connections": options["connections"]}
            if options["reserve"]:
                guard["upstream"]["reserve"] = options["reserve"]
        if options["worker"]:
            if not alone:
                self.start_worker(name)
            guard["worker"] = {
                "runtime": self.addresses[f"{name}.runtime"],
                **options["worker_size"]}
        settings["guard"] = guard
        if self.guards_per_rack:
            in_zone = self.guard_names.index(name) // len(self.zones)
            rack = in_zone // self.guards_per_rack + 1
            settings["rack"] = f"{settings['zone']}-r{rack}"
        path = self._write(name, settings)
        self._start(name, f"{self.build}/galenapier-guard", "--config", path)

    def call(self, entry, method, path, body=None, headers=None):
        return request(self.addresses[f"{entry}.callers"], method, path,
                       body, headers)

    def operate(self, entry, method, path, body=None, headers=None):
        return request(self.addresses[f"{entry}.operators"], method, path,
                       body, {"Authorization": "Bearer " + TOKEN,
                              **(headers or {})})

    def fault(self, name, faults):
        """Set faults of the stand-in name.

        Names are "log", "GUARD.upstream" and "GUARD.runtime".
        """
        self.control(name, "POST", faults)

    def control(self, name, method, faults=None):
        """Set or get the faults of a stand-in; return all of them."""
        body = json.dumps(faults) if faults is not None else None
        status, _, answer = request(self.addresses[f"{name}-control"], method,
                                    "/faults", body)
        if status != 200:
            raise RuntimeError(f"faults of {name}: {status} {answer}")
        return json.loads(answer)

    def counter(self, entry, name):
        _, _, body = self.operate(entry, "GET", "/v1/counters")
        for line in body.decode().splitlines():
            if line.startswith(f"galenapier_{name} "):
                return int(line.split()[1])
        return 0

    def await_targets_of(self, entry, count):
        """Wait until entry routes to count upstreams.

        If count is not 0, also wait until it is ready for callers.
        """
        until(lambda: self.counter(entry, "entry_targets_routed") == count,
              what=f"{count} targets at {entry}")
        if count > 0:
            until(lambda: self.call(entry, "GET", "/-/ready")[0] == 200,
                  what=f"{entry} ready")

    def await_targets(self, count):
        """Wait until each entry routes to count upstreams."""
        for entry in self.entry_names:
            self.await_targets_of(entry, count)

    def facts(self, name):
        """Return the complete lines in the ledger of a stand-in.

        A line that is still being written is omitted.
        """
        return [json.loads(line) for line in complete_lines(self.ledger(name))
                if line.strip()]

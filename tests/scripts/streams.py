"""Long answers, slow readers and writers, and peers that are stopped."""

import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tools"))
from site_processes import Site, until  # noqa: E402

LARGE = 64 * 1024 * 1024
# A larger quarantine of the sanitizer would count as growth of the process.
os.environ.setdefault("ASAN_OPTIONS", "quarantine_size_mb=1")
MEMORY_LIMIT_KIB = 16 * 1024
STEP = 1024 * 1024


def resident_kib(process):
    """Return the peak resident size of PROCESS."""
    with open(f"/proc/{process.popen.pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
    return 0


def connect(site, entry, text, buffer_size=64 * 1024):
    host, port = site.addresses[f"{entry}.callers"].rsplit(":", 1)
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_size)
    caller.settimeout(20)
    caller.connect((host, int(port)))
    caller.sendall(text.encode())
    return caller


def get(path, **headers):
    lines = [f"GET {path} HTTP/1.1", "Host: x", "Connection: close"]
    lines += [f"{name.replace('_', '-')}: {value}"
              for name, value in headers.items()]
    return "\r\n".join(lines) + "\r\n\r\n"


def read_all(caller, step_s=0.0):
    """Read until the connection ends and return the size of the body.

    Pauses for STEP_S after each STEP bytes.
    """
    data = caller.recv(4096)
    while b"\r\n\r\n" not in data:
        data += caller.recv(4096)
    size = len(data.split(b"\r\n\r\n", 1)[1])
    since = 0
    while True:
        try:
            piece = caller.recv(65536)
        except ConnectionResetError:
            return size
        if not piece:
            return size
        size += len(piece)
        since += len(piece)
        if since >= STEP:
            since = 0
            time.sleep(step_s)


def slow_reader(site):
    """Reading the answer takes longer than the deadline for its head."""
    before = {n: resident_kib(site.processes[n])
              for n in ("entry-1", "guard-1", "guard-2")}
    caller = connect(site, "entry-1",
                     get(f"/reclamos-api/photo?ms=1&size={LARGE}",
                         galenapier_timeout_ms=1000))
    started = time.monotonic()
    size = read_all(caller, 0.03)
    print("slow reader: whole", size == LARGE, "past the deadline",
          time.monotonic() - started > 1.0)
    for name, kib in before.items():
        grown = resident_kib(site.processes[name]) - kib
        print(f"{name} grew by less than 16 MiB:", grown < MEMORY_LIMIT_KIB)
        print(f"{name} grew by {grown} KiB", file=sys.stderr)


def stalled_reader(site):
    caller = connect(site, "entry-1",
                     get(f"/reclamos-api/photo?ms=1&size={LARGE}"))
    until(lambda: site.counter("entry-1", "entry_answers_cut_total") == 1,
          what="stalled reader cut")
    print("stalled reader: cut", read_all(caller) < LARGE)


def stalled_upstream(site):
    caller = connect(site, "entry-1",
                     get(f"/reclamos-api/photo?ms=1&size={LARGE}"))
    caller.recv(1, socket.MSG_PEEK)
    for name in ("guard-1.upstream", "guard-2.upstream"):
        site.processes[name].signal(signal.SIGSTOP)
    print("stalled upstream: cut", read_all(caller) < LARGE)
    for name in ("guard-1.upstream", "guard-2.upstream"):
        site.processes[name].signal(signal.SIGCONT)


def slow_writer(site):
    caller = connect(site, "entry-1", "GET /reclamos-api/check HTTP/1.1\r\nHo")
    answers = [site.call("entry-1", "GET", "/reclamos-api/check?ms=1")[0]
               for _ in range(3)]
    print("slow writer: closed", caller.recv(4096) == b"", "others", answers)


def hang_up(site):
    """A caller closes its connection while its request waits for a slot."""
    both = ("guard-1.upstream", "guard-2.upstream")
    for name in both:
        site.fault(name, {"hang": True})
    holders = [connect(site, "entry-1", get("/reclamos-api/hold?ms=1"))
               for _ in range(4)]
    until(lambda: sum(len(site.facts(n)) for n in both)
          - initial_ledger_lines(site) == 4, what="all slots taken")
    victim = connect(site, "entry-1",
                     get("/reclamos-api/check?ms=1", x_request_id="victim"))
    until(lambda: site.counter("entry-1", "entry_requests_open") == 5,
          what="victim open")
    gone = site.counter("entry-1", "entry_callers_gone_total")
    victim.close()
    until(lambda: site.counter("entry-1", "entry_callers_gone_total")
          == gone + 1, what="victim gone")
    for name in both:
        site.fault(name, {"hang": False})
    print("holders:", [h.recv(4096).split(b"\r\n")[0].decode()
                       for h in holders])
    site.call("entry-1", "GET", "/reclamos-api/check?ms=1")
    started = [f for n in both for f in site.facts(n)
               if f.get("request") == "victim"]
    print("hang up: started", len(started))


def initial_ledger_lines(site, cache={}):
    """Return the number of ledger lines at the first call."""
    if "n" not in cache:
        cache["n"] = sum(len(site.facts(n)) for n in
                         ("guard-1.upstream", "guard-2.upstream"))
    return cache["n"]


def stopped_guard(site):
    """A stopped guard neither answers nor closes its connections."""
    site.processes["guard-1"].signal(signal.SIGSTOP)
    answers = []

    def one():
        answers.append(site.call("entry-1", "GET",
                                 "/reclamos-api/check?ms=1", None,
                                 {"Galenapier-Timeout-Ms": "3000"}))

    threads = [threading.Thread(target=one) for _ in range(20)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    outcomes = {(a[0], a[1].get("galenapier-verdict")) for a in answers}
    print("stopped guard:", len(answers), "answers, each run or unknown",
          outcomes <= {(200, "ran"), (504, "unknown"), (502, "unknown")})
    site.await_targets(1)
    print("guard-2 serves",
          site.call("entry-1", "GET", "/reclamos-api/check?ms=1")[0])
    site.processes["guard-1"].signal(signal.SIGCONT)
    site.await_targets(2)
    print("guard-1 is back")


def count_started(site, guard):
    """Return how many requests of resumed_guard were started at GUARD."""
    return len([f for f in site.facts(f"{guard}.upstream")
                if f["event"] == "execution_start"
                and f["request"].startswith("resumed-")])


def resumed_guard(site):
    """Requests at a guard that is stopped and resumed are answered as unknown.

    Requests at the other guard, and later ones at both, are served.
    """
    for name in ("guard-1.upstream", "guard-2.upstream"):
        site.fault(name, {"hang": True})
    callers = [connect(site, "entry-1",
                       "POST" + get("/reclamos-api/x",
                                    x_request_id=f"resumed-{i}")[3:])
               for i in range(4)]
    until(lambda: count_started(site, "guard-1")
          + count_started(site, "guard-2") == 4, what="requests started")
    site.processes["guard-1"].signal(signal.SIGSTOP)
    site.await_targets(1)
    site.processes["guard-1"].signal(signal.SIGCONT)
    site.await_targets(2)
    for name in ("guard-1.upstream", "guard-2.upstream"):
        site.fault(name, {"hang": False})
    outcomes = [c.recv(4096).split(b"\r\n")[0].decode().split(" ")[1]
                for c in callers]
    print("resumed guard:", len(outcomes), "answers, unknown as many as it ran",
          outcomes.count("502") == count_started(site, "guard-1"), "others ran",
          outcomes.count("200") == count_started(site, "guard-2"))
    print("served again:", [site.call("entry-1", "POST", "/reclamos-api/x")[0]
                            for _ in range(4)])


def main(build):
    with Site(build, guards=2, slots=2,
              timings={"stall_ms": 1000, "header_ms": 700,
                       "heartbeat_ms": 200, "suspect_ms": 1000}) as site:
        site.await_targets(2)
        slow_reader(site)
        stalled_reader(site)
        stalled_upstream(site)
        slow_writer(site)
        initial_ledger_lines(site)
        hang_up(site)
        stopped_guard(site)
        resumed_guard(site)


main(sys.argv[1])

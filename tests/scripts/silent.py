"""A guard that is stopped while it has open requests.

Its connections stay open, but nothing is received over them any more.
"""

import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tools"))
from site_processes import Site, until  # noqa: E402

LARGE = 16 * 1024 * 1024
TIMEOUT_S = 15
EARLY_ANSWER_S = 7
SUSPECT_MS = 1000


def send(site, method, path, name):
    """Send a request to entry-1 and return the socket."""
    host, port = site.addresses["entry-1.callers"].rsplit(":", 1)
    caller = socket.create_connection((host, int(port)), 2 * TIMEOUT_S)
    caller.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\n"
                   f"X-Request-Id: {name}\r\nConnection: close\r\n"
                   f"Galenapier-Timeout-Ms: {TIMEOUT_S * 1000}\r\n\r\n"
                   .encode())
    return caller


def receive(caller):
    """Return status, verdict and size of the body of the answer."""
    data = b""
    while piece := caller.recv(1024 * 1024):
        data += piece
    head, body = data.split(b"\r\n\r\n", 1)
    lines = head.decode().lower().split("\r\n")
    verdict = [line.split(": ")[1] for line in lines
               if line.startswith("galenapier-verdict: ")]
    return int(lines[0].split(" ")[1]), verdict[0], len(body)


def starts(site, name):
    """Return the guards whose upstreams started request NAME."""
    return [guard for guard in site.guard_names
            for fact in site.facts(f"{guard}.upstream")
            if fact["event"] == "execution_start"
            and fact["request"] == name]


def hang(site, guards, on):
    for guard in guards:
        site.fault(f"{guard}.upstream", {"hang": on})


def resume(site, guard):
    site.processes[guard].signal(signal.SIGCONT)
    hang(site, site.guard_names, False)
    site.await_targets(2)


def stop_while_waiting(site, method, name):
    """The guard at which a request waits is stopped."""
    hang(site, site.guard_names, True)
    caller = send(site, method, "/reclamos-api/check?ms=1", name)
    guard = until(lambda: starts(site, name), what="started")[0]
    hang(site, [g for g in site.guard_names if g != guard], False)
    stopped_at = time.monotonic()
    site.processes[guard].signal(signal.SIGSTOP)
    status, verdict, _ = receive(caller)
    print(f"{method}: {status} {verdict}, long before its deadline:",
          time.monotonic() - stopped_at < EARLY_ANSWER_S)
    resume(site, guard)
    print("starts", len(starts(site, name)), "given up",
          site.counter("entry-1", "entry_tries_given_up_total"))


def streaming(site):
    """An answer that has begun continues when its guard does."""
    caller = send(site, "GET", f"/reclamos-api/photo?ms=1&size={LARGE}",
                  "photo")
    caller.recv(1, socket.MSG_PEEK)
    guard = starts(site, "photo")[0]
    site.processes[guard].signal(signal.SIGSTOP)
    site.await_targets(1)
    resume(site, guard)
    status, verdict, size = receive(caller)
    print(f"streaming: {status} {verdict}, whole {size == LARGE}, starts",
          len(starts(site, "photo")))


def stopped_entry(site):
    """An entry that was itself stopped does not give up its requests."""
    hang(site, site.guard_names, True)
    callers = [send(site, "POST", "/reclamos-api/claim?ms=1", f"claim-{i}")
               for i in range(4)]
    until(lambda: all(starts(site, f"claim-{i}") for i in range(4)),
          what="claims started")
    site.processes["entry-1"].signal(signal.SIGSTOP)
    time.sleep(2 * SUSPECT_MS / 1000)
    site.processes["entry-1"].signal(signal.SIGCONT)
    site.await_targets(2)
    hang(site, site.guard_names, False)
    print("stopped entry:", [receive(caller)[:2] for caller in callers])


def main(build):
    with Site(build, guards=2, slots=4,
              timings={"heartbeat_ms": 200,
                       "suspect_ms": SUSPECT_MS}) as site:
        site.await_targets(2)
        stop_while_waiting(site, "GET", "check")
        stop_while_waiting(site, "POST", "claim")
        streaming(site)
        stopped_entry(site)


main(sys.argv[1])
